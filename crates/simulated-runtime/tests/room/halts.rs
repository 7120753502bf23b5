//! Runs that cannot go on.

use crate::support::{pair, START};
use cluster_model::{MS, SECOND};
use runtime::Env;
use simulated_runtime::{Halt, Watchdog};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

#[test]
fn a_panic_ends_the_run_and_names_the_process() {
    let room = pair();
    let env = room.host.clone();
    room.host.spawn(async move {
        env.sleep(3 * MS).await;
        panic!("no {} left", "beans");
    });
    let halt = room.sim.run_until(START + SECOND).unwrap_err();
    assert_eq!(room.sim.now(), START + 3 * MS);
    let Halt::Panicked { process, text } = &halt else { panic!("{halt}") };
    assert_eq!(process, "host");
    assert!(text.starts_with("no beans left (") && text.contains("halts.rs:"), "{text}");
    assert!(halt.to_string().starts_with("process host panicked: no beans left"));
    assert_eq!(room.sim.run_until(START + SECOND), Err(halt));
}

#[test]
fn a_panic_while_being_dropped_ends_the_run_too() {
    struct Bad;
    impl Drop for Bad {
        fn drop(&mut self) {
            panic!("in passing");
        }
    }
    let room = pair();
    let bad = Bad;
    room.host.spawn(async move {
        std::future::pending::<()>().await;
        drop(bad);
    });
    room.sim.run_until(START + MS).unwrap();
    room.sim.kill(room.host.process_id());
    let halt = room.sim.run_until(START + SECOND).unwrap_err();
    assert!(halt.to_string().starts_with("process host panicked: in passing"), "{halt}");
}

#[test]
fn a_task_that_spins_ends_the_run_and_names_the_process() {
    let room = pair();
    room.sim.limit_polls(1000);
    let env = room.client.clone();
    room.client.spawn(async move {
        env.sleep(MS).await;
        loop {
            tokio::task::yield_now().await;
        }
    });
    let halt = room.sim.run_until(START + SECOND).unwrap_err();
    assert_eq!(halt, Halt::Spins { process: "client".into(), polls: 1001 });
    let sentence = "process client spins: its tasks were polled 1001 times at one instant";
    assert_eq!(halt.to_string(), sentence);
}

#[test]
fn much_work_at_many_instants_is_no_spinning() {
    let room = pair();
    room.sim.limit_polls(10);
    let env = room.client.clone();
    room.client.spawn(async move {
        for _ in 0..1000 {
            env.sleep(1).await;
        }
    });
    room.sim.run_until(START + SECOND).unwrap();
    assert!(room.sim.stats().polls >= 1000);
}

#[test]
fn the_watchdog_names_who_does_not_give_the_turn_back() {
    let room = pair();
    let (told, hear) = mpsc::channel();
    let free = Arc::new(AtomicBool::new(false));
    let freed = free.clone();
    let _dog = Watchdog::start(&room.sim, Duration::from_millis(20), move |text| {
        told.send(text).unwrap();
        freed.store(true, Ordering::Relaxed);
    });
    room.host.spawn(async move {
        // Ends only by the watchdog's word.
        while !free.load(Ordering::Relaxed) {
            std::thread::yield_now();
        }
    });
    room.sim.run_until(START + SECOND).unwrap();
    let text = hear.recv().unwrap();
    assert_eq!(text, "process host is stuck: one turn of a task has lasted over 20ms");
}

#[test]
fn a_watchdog_that_is_dropped_stops_at_once() {
    let room = pair();
    let (told, hear) = mpsc::channel::<String>();
    let dog = Watchdog::start(&room.sim, Duration::from_secs(3600), move |text| told.send(text).unwrap());
    room.sim.run_until(START + SECOND).unwrap();
    drop(dog);
    assert!(hear.recv().is_err());
}

#[test]
#[should_panic(expected = "not from inside itself")]
fn a_room_is_not_run_from_inside_itself() {
    let room = pair();
    room.sim.at(START, |sim| sim.run_until(START + SECOND).unwrap());
    let _ = room.sim.run_until(START + SECOND);
}
