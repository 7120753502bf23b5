//! Links that fail one way or both, and processes that stand still.

use crate::support::*;
use cluster_model::scenario::LinkDirection;
use cluster_model::{MS, SECOND};
use runtime::Env;
use simulated_runtime::{LinkFault, Sim};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The host answers each byte with the next letter and notes it; the client asks for one each 100 ms.
fn letters(room: &Pair) {
    let notes = room.notes.clone();
    room.serve(move |env, mut stream| async move {
        while let Ok(byte) = stream.read_u8().await {
            notes.add(&env, format!("host {}", byte as char));
            if stream.write_u8(byte.to_ascii_uppercase()).await.is_err() {
                return;
            }
        }
    });
    let notes = room.notes.clone();
    room.ask(move |env, stream| async move {
        let (mut reader, mut writer) = tokio::io::split(stream);
        let there = env.clone();
        env.spawn(async move { note_what_comes_on(&there, &notes, &mut reader).await });
        for letter in b"abc" {
            let _ = writer.write_u8(*letter).await;
            env.sleep(100 * MS).await;
        }
        std::future::pending::<()>().await;
    });
}

async fn note_what_comes_on(env: &impl Env, notes: &Notes, reader: &mut (impl AsyncReadExt + Unpin)) {
    let mut buf = [0; 100];
    loop {
        match reader.read(&mut buf).await {
            Ok(0) => return notes.add(env, "end"),
            Ok(count) => notes.add(env, String::from_utf8_lossy(&buf[..count])),
            Err(error) => return notes.add(env, format!("{:?}", error.kind())),
        }
    }
}

fn fault(room: &Pair, fault: LinkFault, from: u64, to: u64) {
    let pairs = vec![(room.client_machine.id(), room.host_machine.id())];
    room.sim.at(START + from, move |sim: &Sim| {
        let id = sim.begin_link(pairs, fault);
        sim.at(START + to, move |sim| sim.end_link(id));
    });
}

#[test]
fn each_fault_of_a_link_is_seen_by_both_sides_and_is_over_when_it_is() {
    let cases: &[(LinkFault, &[&str])] = &[
        // Held: all at once when it is over.
        (
            LinkFault::Hold(LinkDirection::ToInitiator),
            &["1.8 host a", "101.8 host b", "201.8 host c", "250 A", "250 B", "250 C"],
        ),
        (
            LinkFault::Hold(LinkDirection::FromInitiator),
            &["250 host a", "250 host b", "250 host c", "250.6 A", "250.6 B", "250.6 C"],
        ),
        // Cut: sent again 200 ms after the first loss, and then 400 ms after that.
        (
            LinkFault::Cut(LinkDirection::ToInitiator),
            &["1.8 host a", "101.8 host b", "201.8 host c", "602.4 ABC"],
        ),
        (LinkFault::Slow(10 * MS, 10 * MS), &["1.8 host a", "12.4 A", "111.8 host b", "122.4 B"]),
        // A byte a tenth of a second, each way; the first one was on its way.
        (LinkFault::Narrow(10.0), &["1.8 host a", "102.4 A", "201.8 host b", "301.8 host c", "302.4 B"]),
    ];
    for (what, wanted) in cases {
        let room = pair();
        letters(&room);
        fault(&room, *what, MS + 300_000, 250 * MS);
        let seen = room.run(2 * SECOND);
        let seen: Vec<&str> = seen.iter().map(String::as_str).take(wanted.len()).collect();
        assert_eq!(seen, *wanted, "{what:?}");
    }
}

#[test]
fn held_bytes_of_a_process_that_died_come_and_then_the_reset() {
    let room = pair();
    letters(&room);
    fault(&room, LinkFault::Hold(LinkDirection::FromInitiator), MS, 500 * MS);
    let process = room.client.process_id();
    room.sim.at(START + 250 * MS, move |sim| sim.kill(process));
    assert_eq!(room.run(SECOND), ["500 host a", "500 host b", "500 host c"]);
}

#[test]
fn links_that_are_reset_break_at_both_ends_and_no_others_do() {
    let room = pair();
    letters(&room);
    let (there, back) = (
        (room.client_machine.id(), room.host_machine.id()),
        (room.host_machine.id(), room.client_machine.id()),
    );
    room.sim.at(START + 50 * MS, move |sim| sim.reset_links(&[back]));
    room.sim.at(START + 150 * MS, move |sim| sim.reset_links(&[there]));
    assert_eq!(room.run(SECOND), ["1.8 host a", "2.4 A", "101.8 host b", "102.4 B", "150 ConnectionReset"]);
}

#[test]
fn a_process_that_stands_still_does_nothing_and_its_clock_goes_on() {
    let room = pair();
    letters(&room);
    let process = room.client.process_id();
    room.sim.at(START + 50 * MS, move |sim| sim.stop(process, true));
    room.sim.at(START + 450 * MS, move |sim| sim.stop(process, false));
    // Its pause of 100 ms ends late, and the next one counts from there.
    let wanted = ["1.8 host a", "2.4 A", "450.6 host b", "451.2 B", "550.6 host c", "551.2 C"];
    assert_eq!(room.run(SECOND), wanted);
}
