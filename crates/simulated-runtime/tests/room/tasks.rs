//! Tasks, timers and scripts.

use crate::support::{pair, START};
use cluster_model::{MS, SECOND};
use runtime::{Env, Sleep, Task};
use simulated_runtime::{Place, Sim, SimConfig};
use std::pin::pin;
use std::sync::{Arc, Weak};

#[test]
fn timers_for_one_moment_fall_due_in_the_order_of_their_making() {
    let room = pair();
    let (env, notes) = (room.host.clone(), room.notes.clone());
    let early = env.sleep(5 * MS);
    for number in 0..3 {
        let (env, notes) = (env.clone(), notes.clone());
        room.host.spawn(async move {
            env.sleep_until(START + 5 * MS).await;
            notes.add(&env, number);
        });
    }
    let late = env.clone();
    room.host.spawn(async move {
        // Awaited last, made first.
        late.sleep(MS).await;
        early.await;
        notes.add(&late, "early");
    });
    assert_eq!(room.run(SECOND), ["5 early", "5 0", "5 1", "5 2"]);
}

#[test]
fn a_timer_that_is_reset_or_dropped_falls_due_then_or_never() {
    let room = pair();
    let (env, notes) = (room.host.clone(), room.notes.clone());
    room.host.spawn(async move {
        let mut sleep = pin!(env.sleep(5 * MS));
        assert!(env.timeout(MS, sleep.as_mut()).await.is_err());
        sleep.as_mut().reset(START + 9 * MS);
        assert_eq!(sleep.deadline(), START + 9 * MS);
        sleep.as_mut().await;
        notes.add(&env, "reset");
        sleep.as_mut().reset(START);
        sleep.as_mut().await;
        notes.add(&env, "past");
    });
    assert_eq!(room.run(SECOND), ["9 reset", "9 past"]);
    // The time-out's timer and the reset one; the first deadline of the latter woke nobody.
    assert_eq!(room.sim.stats().timers, 2);
}

#[test]
fn a_timer_that_is_reset_takes_its_turn_anew() {
    let room = pair();
    let mut first = Box::pin(room.host.sleep(5 * MS));
    let second = room.host.sleep(5 * MS);
    first.as_mut().reset(START + 5 * MS);
    let (env, notes) = (room.host.clone(), room.notes.clone());
    room.host.spawn(async move {
        first.await;
        notes.add(&env, "first");
    });
    let (env, notes) = (room.host.clone(), room.notes.clone());
    room.host.spawn(async move {
        second.await;
        notes.add(&env, "second");
    });
    assert_eq!(room.run(SECOND), ["5 second", "5 first"]);
}

#[test]
fn a_reset_timer_wakes_the_one_who_waits() {
    let room = pair();
    let (env, notes) = (room.host.clone(), room.notes.clone());
    let sleep = Arc::new(tokio::sync::Mutex::new(Box::pin(env.sleep(SECOND))));
    let shared = sleep.clone();
    let waiting = env.clone();
    room.host.spawn(async move {
        std::future::poll_fn(|cx| {
            use std::future::Future;
            shared.try_lock().unwrap().as_mut().poll(cx)
        })
        .await;
        notes.add(&waiting, "woken");
    });
    room.host.spawn(async move {
        env.sleep(MS).await;
        sleep.lock().await.as_mut().reset(START + 3 * MS);
    });
    assert_eq!(room.run(SECOND), ["3 woken"]);
}

#[test]
fn tasks_run_in_the_order_in_which_they_were_woken() {
    let room = pair();
    let notify = Arc::new(tokio::sync::Notify::new());
    for number in [2, 0, 1] {
        let (env, notes, notify) = (room.host.clone(), room.notes.clone(), notify.clone());
        room.host.spawn(async move {
            notify.notified().await;
            notes.add(&env, number);
        });
    }
    room.run(MS);
    notify.notify_waiters();
    assert_eq!(room.run(2 * MS), ["1 2", "1 0", "1 1"]);
}

#[test]
fn an_aborted_task_is_dropped_at_its_next_turn_not_in_the_callers_stack() {
    struct Held(Box<dyn Fn() + Send>);
    impl Drop for Held {
        fn drop(&mut self) {
            self.0();
        }
    }
    let room = pair();
    let (env, notes) = (room.host.clone(), room.notes.clone());
    let held = Held(Box::new({
        let (env, notes) = (env.clone(), notes.clone());
        move || notes.add(&env, "dropped")
    }));
    let task = room.host.spawn(async move {
        std::future::pending::<()>().await;
        drop(held);
    });
    room.host.spawn(async move {
        env.sleep(MS).await;
        task.abort();
        task.abort();
        notes.add(&env, "aborted");
        env.sleep(MS).await;
        task.abort();
    });
    assert_eq!(room.run(SECOND), ["1 aborted", "1 dropped"]);
}

#[test]
fn an_action_comes_before_what_is_due_then_and_a_late_one_at_once() {
    let room = pair();
    let (env, notes) = (room.host.clone(), room.notes.clone());
    let noted = |what: &'static str| {
        let (env, notes) = (env.clone(), notes.clone());
        move |_: &Sim| notes.add(&env, what)
    };
    let timer = env.sleep(5 * MS);
    let (env, notes) = (env.clone(), notes.clone());
    room.host.spawn(async move {
        timer.await;
        notes.add(&env, "timer");
    });
    room.run(MS);
    room.sim.at(START + 5 * MS, noted("one"));
    room.sim.at(START + 5 * MS, noted("two"));
    room.sim.at(START, noted("late"));
    assert_eq!(room.run(SECOND), ["1 late", "5 one", "5 two", "5 timer"]);
    assert_eq!(room.sim.now(), START + SECOND);
    room.sim.run_until(START).unwrap();
    assert_eq!(room.sim.now(), START + SECOND);
}

#[test]
fn a_room_that_is_dropped_leaves_nothing_behind() {
    let network = crate::support::network();
    let sim = Sim::new(SimConfig { seed: 1, start: START, network });
    let env = sim.machine("host", Place::Building(1)).process("host");
    let held = Arc::new(());
    let left: Weak<()> = Arc::downgrade(&held);
    let task = env.clone();
    env.spawn(async move {
        task.sleep(SECOND).await;
        drop(held);
    });
    let action = left.upgrade();
    sim.at(START + SECOND, move |_| drop(action));
    sim.run_until(START + MS).unwrap();
    assert!(left.upgrade().is_some());
    drop(sim);
    assert!(left.upgrade().is_none());
}

#[test]
fn a_clock_of_a_processs_own_moves_no_timer_and_one_that_stood_still_moves_them_all() {
    let room = pair();
    let (ahead, behind) =
        (room.host.clone().with_clock(2_000_000_000), room.client.clone().with_clock(-2_000_000_000));
    for (env, shown) in [(ahead, START + 2 * SECOND), (behind.clone(), START - 2 * SECOND)] {
        let (room_clock, notes) = (room.host.clone(), room.notes.clone());
        env.clone().spawn(async move {
            assert_eq!(env.now(), shown);
            env.sleep(5 * MS).await;
            let mut at = pin!(env.sleep_until(shown + 9 * MS));
            assert_eq!(at.deadline(), shown + 9 * MS);
            at.as_mut().await;
            assert_eq!(env.now(), shown + 9 * MS);
            at.as_mut().reset(shown + 20 * MS);
            at.await;
            notes.add(&room_clock, "both");
        });
    }
    let (still, process) = (behind.clone(), behind.process_id());
    room.sim.at(START + 10 * MS, move |sim| sim.stop(process, true));
    room.sim.at(START + 110 * MS, move |sim| {
        still.clock_stood_still(100 * MS);
        sim.stop(process, false);
    });
    assert_eq!(room.run(SECOND), ["20 both", "120 both"]);
}
