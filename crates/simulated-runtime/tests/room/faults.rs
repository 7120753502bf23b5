//! Processes, machines and wires that fail.

use crate::support::{echo, network, note_what_comes, pair, pair_in, Pair, CLIENT, START};
use cluster_model::scenario::NetworkSpec;
use cluster_model::{MS, SECOND};
use runtime::{Env, Listener, Stream};
use simulated_runtime::{Cut, What};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The host writes 1000 bytes at 1.8 ms and is killed 0.1 ms later: what the client reads.
fn killed_mid_answer(seed: u64) -> Vec<String> {
    let room = pair_in(seed, network());
    room.serve(|_, mut stream| async move {
        stream.write_all(&[b'x'; 500]).await.unwrap();
        stream.write_all(&[b'y'; 500]).await.unwrap();
        stream.shutdown().await.unwrap();
        std::future::pending::<()>().await;
    });
    room.note_what_comes();
    let host = room.host.process_id();
    room.sim.at(START + 1_900_000, move |sim| sim.kill(host));
    room.run(SECOND)
}

#[test]
fn a_process_killed_mid_answer_leaves_a_part_of_it_and_a_reset() {
    let came: Vec<_> = (0..40).map(killed_mid_answer).collect();
    for notes in &came {
        assert_eq!(notes.last().unwrap(), "2.5 ConnectionReset");
        assert!(notes.len() <= 4, "{notes:?}");
    }
    let torn = |notes: &Vec<String>| notes.iter().any(|n| n.starts_with("2.4 ") && !n.contains(" 500 "));
    assert!(came.iter().filter(|notes| torn(notes)).count() > 30, "{came:?}");
    assert!(came[0] != came[1] && came[0] == killed_mid_answer(0));
}

#[test]
fn a_killed_process_refuses_and_its_name_may_come_again() {
    let room = pair();
    room.serve(echo);
    room.run(MS);
    room.sim.kill(room.host.process_id());
    assert!(!room.host.is_alive());
    let connect = |room: &Pair| {
        let (env, addr, notes) = (room.client.clone(), room.addr(), room.notes.clone());
        room.client.spawn(async move {
            let result = env.connect(addr).await;
            notes.add(&env, format!("{:?}", result.err().map(|error| error.kind())));
        });
    };
    connect(&room);
    assert_eq!(room.run(3 * MS), ["2.2 Some(ConnectionRefused)"]);
    let again = room.host_machine.process("host");
    let _listener = again.listen(room.addr(), 4).unwrap();
    connect(&room);
    assert_eq!(room.run(6 * MS), ["4.2 None"]);
    assert!(room.host.listen("0.0.0.0:81".parse().unwrap(), 1).is_err());
}

#[test]
fn what_tasks_do_as_they_are_killed_reaches_nobody() {
    struct Last(Option<Box<dyn FnOnce() + Send>>);
    impl Drop for Last {
        fn drop(&mut self) {
            self.0.take().unwrap()();
        }
    }
    let room = pair();
    let (host, notes) = (room.host.clone(), room.notes.clone());
    let last = Last(Some(Box::new(move || {
        notes.add(&host, "dropped");
        let notes = notes.clone();
        host.clone().spawn(async move { notes.add(&host, "never") });
    })));
    room.host.spawn(async move {
        std::future::pending::<()>().await;
        drop(last);
    });
    room.run(MS);
    room.sim.kill(room.host.process_id());
    assert_eq!(room.run(SECOND), ["1 dropped"]);
}

#[test]
fn a_task_may_kill_its_own_process() {
    let room = pair();
    let (host, notes) = (room.host.clone(), room.notes.clone());
    let (kill, id) = (room.sim.clone(), room.host.process_id());
    let held = Arc::new(());
    let left = Arc::downgrade(&held);
    room.host.spawn(async move {
        let _held = held;
        kill.kill(id);
        notes.add(&host, "its last");
        host.sleep(0).await;
        host.sleep(MS).await;
        notes.add(&host, "never");
    });
    assert_eq!(room.run(SECOND), ["0 its last"]);
    assert!(left.upgrade().is_none());
}

#[test]
fn a_process_that_exits_ends_its_connections_as_a_system_does() {
    for (question, how) in [("", "end"), ("unread", "ConnectionReset")] {
        let room = pair();
        let wire = room.wire();
        let notes = room.notes.clone();
        room.serve(|_, mut stream| async move {
            stream.write_all(b"answer").await.unwrap();
            std::future::pending::<()>().await;
        });
        room.ask(move |env, mut stream| async move {
            stream.write_all(question.as_bytes()).await.unwrap();
            note_what_comes(&env, &notes, &mut stream).await;
        });
        let host = room.host.process_id();
        // The answer is written and the question has come at 1.8 ms.
        room.sim.at(START + 1_900_000, move |sim| sim.exit(host));
        assert_eq!(room.run(SECOND), ["2.4 answer".to_owned(), format!("2.5 {how}")]);
        // The system goes on knowing a connection that was closed in order, and takes its end.
        let resets = wire.lock().unwrap().iter().filter(|(_, _, what)| *what == What::Reset).count();
        assert_eq!(resets, usize::from(how == "ConnectionReset"));
    }
}

#[test]
fn connections_opened_in_a_silent_cut_complete_after_it() {
    let room = pair();
    room.serve(
        |env, mut stream| async move { note_what_comes(&env, &Default::default(), &mut stream).await },
    );
    let cut = room.sim.cut(vec![room.client_machine.id()], vec![room.host_machine.id()], Cut::Silent);
    room.note_what_comes();
    room.sim.at(START + 2 * SECOND, move |sim| sim.heal(cut));
    assert_eq!(room.run(20 * SECOND), ["3001.2 open"]);
}

#[test]
fn a_grant_that_a_cut_swallows_is_given_again() {
    let room = pair();
    room.serve(echo);
    room.note_what_comes();
    let (a, b) = (vec![room.client_machine.id()], vec![room.host_machine.id()]);
    // The request has passed at 0.6 ms.
    room.sim.at(START + 700_000, move |sim| {
        let cut = sim.cut(a, b, Cut::Silent);
        sim.at(START + 100 * MS, move |sim| sim.heal(cut));
    });
    assert_eq!(room.run(20 * SECOND), ["201.2 open"]);
}

#[test]
fn bytes_cross_a_cut_in_order_after_it() {
    let room = pair();
    let notes = room.notes.clone();
    room.serve(move |env, mut stream| async move { note_what_comes(&env, &notes, &mut stream).await });
    room.ask(|env, mut stream| async move {
        for word in ["one ", "two ", "three ", "four "] {
            stream.write_all(word.as_bytes()).await.unwrap();
            env.sleep(100 * MS).await;
        }
        env.sleep(SECOND).await;
        stream.write_all(b"five").await.unwrap();
    });
    let (a, b) = (vec![room.client_machine.id()], vec![room.host_machine.id()]);
    room.sim.at(START + 2 * MS, move |sim| {
        let cut = sim.cut(a, b, Cut::Silent);
        sim.at(START + 900 * MS, move |sim| sim.heal(cut));
    });
    // "two" is lost at 101.8 ms, and again at 301.8 and 701.8.
    let expected = ["1.8 one ", "1501.8 two three four five", "1501.8 end"];
    assert_eq!(room.run(20 * SECOND), expected);
}

#[test]
fn a_cut_that_resets_does_so_at_both_ends_and_refuses() {
    let room = pair();
    let notes = room.notes.clone();
    room.serve(move |env, mut stream| async move { note_what_comes(&env, &notes, &mut stream).await });
    room.note_what_comes();
    let (a, b) = (vec![room.client_machine.id()], vec![room.host_machine.id()]);
    room.sim.at(START + 5 * MS, move |sim| {
        let cut = sim.cut(a, b, Cut::Reset);
        sim.at(START + 20 * MS, move |sim| sim.heal(cut));
    });
    let mut notes = room.run(10 * MS);
    notes.sort();
    assert_eq!(notes, ["1.2 open", "5 ConnectionReset", "5 ConnectionReset"]);
    let (env, addr, notes) = (room.client.clone(), room.addr(), room.notes.clone());
    room.client.spawn(async move {
        notes.add(&env, format!("{:?}", env.connect(addr).await.err().unwrap().kind()));
        env.sleep(20 * MS).await;
        notes.add(&env, env.connect(addr).await.is_ok());
    });
    assert_eq!(room.run(SECOND), ["11.2 ConnectionRefused", "32.4 true"]);
}

#[test]
fn a_cut_leaves_others_and_each_machine_to_itself_alone() {
    let room = pair();
    room.serve(echo);
    let both = vec![room.client_machine.id(), room.host_machine.id()];
    room.sim.cut(both.clone(), both, Cut::Silent);
    let (near, notes) = (room.host_machine.process("near"), room.notes.clone());
    let addr = room.addr();
    near.clone().spawn(async move { notes.add(&near, near.connect(addr).await.is_ok()) });
    assert_eq!(room.run(SECOND), ["0.04 true"]);
}

#[test]
fn a_reset_in_a_cut_is_lost_and_learnt_by_the_next_bytes() {
    let room = pair();
    room.serve(echo);
    let notes = room.notes.clone();
    room.ask(|env, mut stream| async move {
        env.sleep(5 * SECOND).await;
        stream.write_all(b"anyone?").await.unwrap();
        note_what_comes(&env, &notes, &mut stream).await;
    });
    let (a, b) = (vec![room.client_machine.id()], vec![room.host_machine.id()]);
    let host = room.host.process_id();
    room.sim.at(START + 5 * MS, move |sim| {
        let cut = sim.cut(a, b, Cut::Silent);
        sim.kill(host);
        sim.at(START + SECOND, move |sim| sim.heal(cut));
    });
    assert_eq!(room.run(20 * SECOND), ["5002.4 ConnectionReset"]);
}

/// The host writes at 10 ms into a cut that ends at 100 ms; it would send that again at 210.6 ms.
fn written_into_a_cut() -> Pair {
    let room = pair();
    let (a, b) = (vec![room.client_machine.id()], vec![room.host_machine.id()]);
    room.sim.at(START + 5 * MS, move |sim| {
        let cut = sim.cut(a, b, Cut::Silent);
        sim.at(START + 100 * MS, move |sim| sim.heal(cut));
    });
    room
}

#[test]
fn what_a_process_wrote_into_a_cut_dies_with_it() {
    let room = written_into_a_cut();
    room.serve(|env, mut stream| async move {
        env.sleep_until(START + 10 * MS).await;
        stream.write_all(b"lost").await.unwrap();
        std::future::pending::<()>().await;
    });
    room.note_what_comes();
    let host = room.host.process_id();
    room.sim.at(START + 20 * MS, move |sim| sim.kill(host));
    assert_eq!(room.run(20 * SECOND), ["1.2 open"]);
}

#[test]
fn a_closed_end_that_meets_bytes_gives_up_what_it_had_to_send_again() {
    let room = written_into_a_cut();
    room.serve(|env, mut stream| async move {
        env.sleep_until(START + 10 * MS).await;
        stream.write_all(b"lost").await.unwrap();
    });
    let notes = room.notes.clone();
    room.ask(|env, mut stream| async move {
        env.sleep_until(START + 110 * MS).await;
        stream.write_all(b"anyone?").await.unwrap();
        note_what_comes(&env, &notes, &mut stream).await;
    });
    assert_eq!(room.run(20 * SECOND), ["111.2 ConnectionReset"]);
}

#[test]
fn a_writer_whose_reset_was_lost_in_a_cut_learns_by_what_it_writes_next() {
    let room = pair_in(1, NetworkSpec { window: 10, ..network() });
    room.serve(|_, stream| async move { drop(stream) });
    let notes = room.notes.clone();
    room.ask(|env, mut stream| async move {
        env.sleep(10 * MS).await;
        // Ten bytes arrive at 11.8 ms; the reset for them would at 12.4.
        let kind = stream.write_all(&[7; 100]).await.unwrap_err().kind();
        notes.add(&env, format!("{kind:?}"));
    });
    let (a, b) = (vec![room.client_machine.id()], vec![room.host_machine.id()]);
    room.sim.at(START + 12 * MS, move |sim| {
        let cut = sim.cut(a, b, Cut::Silent);
        sim.at(START + 13 * MS, move |sim| sim.heal(cut));
    });
    assert_eq!(room.run(20 * SECOND), ["13.6 BrokenPipe"]);
}

#[test]
fn a_vanished_machine_is_silent_and_answers_with_resets_when_it_is_back() {
    let room = pair();
    room.serve(echo);
    let notes = room.notes.clone();
    room.ask(|env, mut stream| async move {
        env.sleep(20 * MS).await;
        stream.write_all(b"anyone?").await.unwrap();
        note_what_comes(&env, &notes, &mut stream).await;
    });
    let (env, addr, notes) = (room.client.clone(), room.addr(), room.notes.clone());
    room.client.spawn(async move {
        env.sleep(10 * MS).await;
        notes.add(&env, format!("{:?}", env.connect(addr).await.err().map(|error| error.kind())));
    });
    let (gone, back) = (room.host_machine.clone(), room.host_machine.clone());
    room.sim.at(START + 5 * MS, move |_| gone.vanish());
    room.sim.at(START + 300 * MS, move |_| back.back());
    // Lost at 21.8 and 221.8 ms; the next time-out is 400 ms.
    let expected = ["622.4 ConnectionReset", "1011.2 Some(ConnectionRefused)"];
    assert_eq!(room.run(20 * SECOND), expected);
    assert!(!room.host.is_alive());
}

#[test]
fn a_machine_that_vanishes_for_a_moment_says_nothing_either() {
    let room = pair();
    room.serve(|_, mut stream| async move {
        stream.write_all(b"lost").await.unwrap();
        std::future::pending::<()>().await;
    });
    room.note_what_comes();
    let (gone, back) = (room.host_machine.clone(), room.host_machine.clone());
    // The answer is written at 1.8 ms.
    room.sim.at(START + 2 * MS, move |_| gone.vanish());
    room.sim.at(START + 2 * MS + 1, move |_| back.back());
    assert_eq!(room.run(100 * SECOND), ["1.2 open"]);
}

#[test]
fn a_machine_that_vanishes_between_request_and_grant_is_asked_again() {
    let room = pair();
    room.serve(echo);
    room.note_what_comes();
    let (gone, back, addr) = (room.host_machine.clone(), room.host_machine.clone(), room.addr());
    room.sim.at(START + CLIENT + 1, move |_| gone.vanish());
    let kept = std::sync::Mutex::new(None);
    room.sim.at(START + 100 * MS, move |_| {
        back.back();
        *kept.lock().unwrap() = Some(back.process("host").listen(addr, 4).unwrap());
        std::mem::forget(kept);
    });
    assert_eq!(room.run(20 * SECOND), ["1001.2 open"]);
}

#[test]
fn two_things_at_one_instant_happen_in_their_order() {
    // A request is written at the instant of the kill: scripted actions come before messages.
    let room = pair_in(1, NetworkSpec { client: MS, ..network() });
    let mut listener = room.listen();
    let (host, notes) = (room.host.clone(), room.notes.clone());
    room.host.spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_u8().await.unwrap();
        notes.add(&host, "never");
    });
    room.ask(|env, mut stream| async move {
        stream.write_all(b"x").await.unwrap();
        env.sleep(SECOND).await;
    });
    let (host, notes) = (room.host.process_id(), room.notes.clone());
    let (first, second) = (room.client.clone(), room.client.clone());
    let third = notes.clone();
    room.sim.at(START + 3 * MS, move |sim| {
        notes.add(&first, "first");
        sim.kill(host);
    });
    room.sim.at(START + 3 * MS, move |_| third.add(&second, "second"));
    assert_eq!(room.run(SECOND), ["3 first", "3 second"]);
}

#[test]
fn an_unaccepted_connection_is_reset_with_its_listener() {
    let room = pair();
    let listener = room.listen();
    room.note_what_comes();
    assert_eq!(room.run(10 * MS), ["1.2 open"]);
    drop(listener);
    assert_eq!(room.run(SECOND), ["10.6 ConnectionReset"]);
}

#[test]
fn a_stream_is_told_by_whom() {
    let room = pair();
    let notes = room.notes.clone();
    room.serve(move |env, stream| async move { notes.add(&env, stream.peer_addr().unwrap()) });
    room.ask(|_, mut stream| async move { drop(stream.read_u8().await) });
    assert_eq!(room.run(SECOND), ["1.8 10.0.0.2:32768"]);
}
