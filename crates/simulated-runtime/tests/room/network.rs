//! Connections as they should be.

use crate::support::{echo, network, note_what_comes, pair, pair_in, CLIENT, START};
use cluster_model::scenario::NetworkSpec;
use cluster_model::{MS, SECOND};
use runtime::{Env, Listener, Stream, Writer};
use simulated_runtime::{Place, What};
use std::io::ErrorKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[test]
fn a_ping_pong_takes_its_delays_to_the_nanosecond() {
    let spec =
        NetworkSpec { client: 1_300_001, intra_building: 200_003, inter_building: 1_000_007, ..network() };
    let places = [(Place::Client, 1_300_001), (Place::Building(1), 200_003), (Place::Building(2), 1_000_007)];
    for (place, delay) in places {
        let room = pair_in(1, spec.clone());
        room.serve(echo);
        let env = room.sim.machine("other", place).process("other");
        let (notes, addr, start) = (room.notes.clone(), room.addr(), env.now());
        env.clone().spawn(async move {
            let mut stream = env.connect(addr).await.unwrap();
            let connected = env.now() - start;
            stream.write_all(b"ping").await.unwrap();
            stream.read_exact(&mut [0; 4]).await.unwrap();
            notes.add(&env, format!("{connected} {}", env.now() - start));
        });
        let expected = format!("{} {} {}", (4 * delay) as f64 / MS as f64, 2 * delay, 4 * delay);
        assert_eq!(room.run(SECOND), [expected]);
    }
}

#[test]
fn a_machine_reaches_itself_by_its_own_and_the_usual_names() {
    let room = pair();
    room.serve(echo);
    let (env, notes) = (room.host_machine.process("neighbour"), room.notes.clone());
    env.clone().spawn(async move {
        let mut stream = env.connect("127.0.0.1:80".parse().unwrap()).await.unwrap();
        stream.write_all(b"ping").await.unwrap();
        stream.read_exact(&mut [0; 4]).await.unwrap();
        notes.add(&env, stream.peer_addr().unwrap());
    });
    assert_eq!(room.run(SECOND), ["0.08 127.0.0.1:80"]);
}

#[test]
fn jitter_delays_and_nothing_overtakes() {
    let room = pair_in(3, NetworkSpec { jitter: 0.5, ..network() });
    let wire = room.wire();
    room.serve(
        |env, mut stream| async move { note_what_comes(&env, &Default::default(), &mut stream).await },
    );
    room.ask(|env, mut stream| async move {
        for number in 0..100_u8 {
            stream.write_all(&[number]).await.unwrap();
            env.sleep(10_000).await;
        }
    });
    room.run(SECOND);
    let wire = wire.lock().unwrap();
    let bytes = wire.iter().filter_map(|(at, _, what)| match what {
        What::Data(bytes) => Some((*at, bytes[0])),
        _ => None,
    });
    let came: Vec<_> = bytes.collect();
    assert_eq!(came.iter().map(|(_, byte)| *byte).collect::<Vec<_>>(), (0..100).collect::<Vec<_>>());
    let connected = wire.iter().find(|(_, _, what)| *what == What::SynAck).unwrap().0;
    let delays: Vec<_> = (0..100).map(|n| came[n as usize].0 - (connected + n * 10_000)).collect();
    assert!(delays.iter().all(|delay| (CLIENT..CLIENT * 3 / 2).contains(delay)), "{delays:?}");
    assert!(delays.iter().max() > delays.iter().min());
}

#[test]
fn a_refusal_takes_a_round_trip() {
    let room = pair();
    let (env, addr, notes) = (room.client.clone(), room.addr(), room.notes.clone());
    env.clone().spawn(async move {
        notes.add(&env, format!("{:?}", env.connect(addr).await.err().unwrap().kind()));
    });
    assert_eq!(room.run(SECOND), ["1.2 ConnectionRefused"]);
}

#[test]
fn an_address_of_nobody_is_given_up_after_63_seconds() {
    let room = pair();
    let (env, notes) = (room.client.clone(), room.notes.clone());
    env.clone().spawn(async move {
        let error = env.connect("10.9.9.9:80".parse().unwrap()).await.err().unwrap();
        notes.add(&env, format!("{:?}", error.kind()));
    });
    assert_eq!(room.run(100 * SECOND), ["63000 TimedOut"]);
}

#[test]
fn one_listens_only_at_ones_own_free_addresses() {
    let room = pair();
    let kind = |addr: &str| room.host.listen(addr.parse().unwrap(), 1).err().map(|error| error.kind());
    assert_eq!(kind("10.0.0.2:80"), Some(ErrorKind::AddrNotAvailable));
    let listener = room.host.listen("0.0.0.0:80".parse().unwrap(), 1).unwrap();
    assert_eq!(listener.local_addr().unwrap(), room.addr());
    assert_eq!(kind("127.0.0.1:80"), Some(ErrorKind::AddrInUse));
    drop(listener);
    assert_eq!(kind("10.0.0.1:80"), None);
    let free = || room.host.listen("127.0.0.1:0".parse().unwrap(), 1).unwrap();
    let (one, two) = (free(), free());
    assert_ne!(one.local_addr().unwrap(), two.local_addr().unwrap());
}

#[test]
fn a_full_queue_loses_requests_which_come_again() {
    let room = pair();
    let mut listener = room.host.listen(room.addr(), 2).unwrap();
    let (host, notes) = (room.host.clone(), room.notes.clone());
    room.host.spawn(async move {
        host.sleep(500 * MS).await;
        while let Ok((stream, _)) = listener.accept().await {
            drop(stream);
        }
    });
    for number in 0..3 {
        let (env, addr, notes) = (room.client.clone(), room.addr(), notes.clone());
        room.client.spawn(async move {
            env.connect(addr).await.unwrap();
            notes.add(&env, number);
        });
    }
    assert_eq!(room.run(2 * SECOND), ["1.2 0", "1.2 1", "1001.2 2"]);
}

#[test]
fn a_window_blocks_a_writer_and_opens_again() {
    let room = pair_in(1, NetworkSpec { window: 1000, ..network() });
    let notes = room.notes.clone();
    room.serve(|env, mut stream| async move {
        env.sleep(50 * MS).await;
        stream.read_exact(&mut [0; 400]).await.unwrap();
        env.sleep(50 * MS).await;
        stream.read_exact(&mut [0; 600]).await.unwrap();
    });
    room.ask(|env, mut stream| async move {
        for _ in 0..2 {
            let taken = stream.write(&[7; 900]).await.unwrap();
            notes.add(&env, taken);
        }
        let taken = stream.write(&[7; 900]).await.unwrap();
        notes.add(&env, taken);
    });
    // The host has the connection at 1.8 ms.
    assert_eq!(room.run(SECOND), ["1.2 900", "1.2 100", "51.8 400"]);
}

#[test]
fn one_half_may_end_and_the_other_go_on() {
    let room = pair();
    let notes = room.notes.clone();
    room.serve(|env, mut stream| async move {
        let mut request = Vec::new();
        stream.read_to_end(&mut request).await.unwrap();
        env.sleep(10 * MS).await;
        stream.write_all(&request).await.unwrap();
    });
    room.ask(|env, stream| async move {
        let (mut reader, mut writer) = stream.into_split();
        writer.write_all(b"question").await.unwrap();
        drop(writer);
        let mut answer = String::new();
        reader.read_to_string(&mut answer).await.unwrap();
        notes.add(&env, answer);
    });
    assert_eq!(room.run(SECOND), ["12.4 question"]);
}

#[test]
fn after_its_shutdown_a_writer_is_a_broken_pipe() {
    let room = pair();
    let notes = room.notes.clone();
    room.serve(echo);
    room.ask(|env, mut stream| async move {
        stream.shutdown().await.unwrap();
        stream.shutdown().await.unwrap();
        notes.add(&env, format!("{:?}", stream.write(b"x").await.unwrap_err().kind()));
    });
    assert_eq!(room.run(SECOND), ["1.2 BrokenPipe"]);
}

#[test]
fn bytes_and_each_kind_of_end_disturb_the_quiet() {
    for reset in [false, true] {
        let room = pair();
        let notes = room.notes.clone();
        room.serve(move |env, stream| async move {
            let (reader, mut writer) = stream.into_split();
            env.sleep(10 * MS).await;
            writer.write_all(b"x").await.unwrap();
            env.sleep(10 * MS).await;
            if reset {
                writer.reset();
            }
            drop(reader);
        });
        room.ask(|env, stream| async move {
            let (mut reader, writer) = stream.into_split();
            for _ in 0..3 {
                notes.add(&env, writer.has_no_unread_input());
                env.sleep(9 * MS).await;
                notes.add(&env, writer.has_no_unread_input());
                env.sleep(3 * MS).await;
                notes.add(&env, writer.has_no_unread_input());
                let _ = reader.read(&mut [0; 10]).await;
            }
        });
        // A byte comes at 12.4 ms, the end at 22.4; once read it is still there.
        let bytes = ["1.2 true", "10.2 true", "13.2 false"];
        let end = ["13.2 true", "22.2 true", "25.2 false"];
        let still = ["25.2 false", "34.2 false", "37.2 false"];
        assert_eq!(room.run(SECOND), [bytes, end, still].concat());
    }
}

#[test]
fn a_reset_comes_after_what_was_on_its_way() {
    let room = pair();
    room.serve(|_, stream| async move {
        let (_reader, mut writer) = stream.into_split();
        writer.write_all(b"half").await.unwrap();
        writer.reset();
    });
    room.note_what_comes();
    assert_eq!(room.run(SECOND), ["1.2 open", "2.4 half", "2.4 ConnectionReset"]);
}

#[test]
fn closing_over_unread_bytes_resets_and_else_it_ends() {
    for (question, how) in [("x", "ConnectionReset"), ("", "end")] {
        let room = pair();
        let notes = room.notes.clone();
        room.serve(|env, stream| async move {
            env.sleep(10 * MS).await;
            drop(stream);
        });
        room.ask(move |env, mut stream| async move {
            stream.write_all(question.as_bytes()).await.unwrap();
            note_what_comes(&env, &notes, &mut stream).await;
        });
        assert_eq!(room.run(SECOND), [format!("12.4 {how}")]);
    }
}

#[test]
fn bytes_to_a_closed_end_are_answered_with_a_reset() {
    let room = pair();
    let notes = room.notes.clone();
    room.serve(|_, stream| async move { drop(stream) });
    room.ask(|env, mut stream| async move {
        env.sleep(10 * MS).await;
        stream.write_all(b"x").await.unwrap();
        env.sleep(1_199_999).await;
        stream.write_all(b"x").await.unwrap();
        env.sleep(2).await;
        notes.add(&env, format!("{:?}", stream.write(b"x").await.unwrap_err().kind()));
    });
    // The host's end had come before, so the pipe is broken.
    assert_eq!(room.run(SECOND), ["12.400001 BrokenPipe"]);
}

#[test]
fn a_connection_that_nobody_wants_any_more_is_not_accepted() {
    let room = pair();
    let wire = room.wire();
    let notes = room.notes.clone();
    room.serve(move |env, _| async move { notes.add(&env, "accepted") });
    let (env, addr) = (room.client.clone(), room.addr());
    room.client.spawn(async move {
        assert!(env.timeout(MS, env.connect(addr)).await.is_err());
    });
    assert!(room.run(SECOND).is_empty());
    let last = wire.lock().unwrap().last().cloned().unwrap();
    assert_eq!(last, (3 * CLIENT, "client".into(), What::Reset));
    assert_eq!(room.client.open_descriptors(), 0);
    assert_eq!(room.sim.now(), START + SECOND);
}
