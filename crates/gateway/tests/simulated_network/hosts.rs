//! Hosts that die, hang or close halfway.

use crate::support::{bulk, name, served, Manner, Peer, Plan, Room, CLIENT, END, HOST};
use cluster_model::{MS, SECOND};
use runtime::Span;
use simulated_runtime::Cut;

/// The host to which the one command has gone, and the other one.
fn asked(room: &Room) -> (&Peer, &Peer) {
    let [a, b] = &room.hosts[..] else { panic!("two hosts") };
    match (a.seen().len(), b.seen().len()) {
        (1, 0) => (a, b),
        (0, 1) => (b, a),
        other => panic!("{other:?}"),
    }
}

fn pair() -> Room {
    Room::start(Plan { hosts: 2, ..Plan::default() })
}

#[test]
fn an_unsafe_call_fails_where_its_host_is_killed_between_the_bytes_of_the_answer() {
    let mut failed = 0;
    for seed in 0..60 {
        let room = Room::start(Plan { seed, hosts: 2, ..Plan::default() });
        let client = room.client();
        client.post(1);
        room.run_to(10 * MS);
        let (host, other) = asked(&room);
        host.say(0, served("value"));
        // Some first part of what is on its way comes, and then a reset.
        room.run(HOST / 2);
        room.sim.kill(host.process());
        room.run(10 * SECOND);
        assert!(other.seen().is_empty(), "repeated, seed {seed}");
        let heard = client.seen();
        match heard.iter().map(|(at, text)| (*at, text.as_str())).collect::<Vec<_>>()[..] {
            [(at, "-ERR failed")] => {
                failed += 1;
                assert_eq!(at, 10 * MS + HOST * 3 / 2 + CLIENT, "seed {seed}");
            }
            // All of it came before the reset.
            [(_, "value")] => {}
            _ => panic!("seed {seed}: {heard:?}"),
        }
    }
    assert!((50..60).contains(&failed), "{failed}");
}

#[test]
fn a_safe_call_is_repeated_where_its_host_is_killed_between_the_bytes_of_the_answer() {
    let mut repeated = 0;
    for seed in 0..60 {
        let room = Room::start(Plan { seed, hosts: 2, ..Plan::default() });
        let client = room.client();
        client.get(1);
        room.run_to(10 * MS);
        let (host, other) = asked(&room);
        other.manner(Manner::serve(1, MS));
        host.say(0, served("first value"));
        room.run(HOST / 2);
        room.sim.kill(host.process());
        room.run(SECOND);
        let again = other.seen().len();
        let value = if again == 0 { "first value".to_owned() } else { name(1) };
        assert_eq!(client.heard(), [value], "seed {seed}");
        repeated += again;
    }
    assert!((50..60).contains(&repeated), "{repeated}");
}

#[test]
fn an_answer_that_is_stuck_halfway_is_spoilt_after_a_fifth_of_a_second() {
    for safe in [false, true] {
        let room = pair();
        let client = room.client();
        if safe {
            client.get(1);
        } else {
            client.post(1);
        }
        room.run_to(10 * MS);
        let (host, other) = asked(&room);
        other.manner(Manner::serve(1, 0));
        let answer = served("value");
        // It gets on, if slowly, and then no more.
        host.say(0, answer.slice(..5));
        room.run(199 * MS);
        host.say(0, answer.slice(5..9));
        let stuck = room.now() + HOST + 200 * MS;
        room.run(SECOND);
        let elsewhere: Vec<Span> = other.seen().iter().map(|seen| seen.sent).collect();
        if safe {
            assert_eq!(elsewhere, [stuck + 2 * HOST], "on a new connection");
            assert_eq!(client.seen(), [(stuck + 4 * HOST + CLIENT, name(1))]);
        } else {
            assert!(elsewhere.is_empty());
            assert_eq!(client.seen(), [(stuck + CLIENT, "-ERR failed".to_owned())]);
        }
        assert_eq!(host.one().text, END, "it is given up by closing");
    }
}

#[test]
fn a_dial_that_does_not_come_up_in_time_never_ran_and_moves_on() {
    let room = pair();
    let machines = |peers: &[Peer]| peers.iter().map(|peer| peer.machine.id()).collect::<Vec<_>>();
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(1, 0)));
    let cuts = [0, 1].map(|n| room.sim.cut(machines(&room.hosts[n..=n]), vec![room.gateway()], Cut::Silent));
    let client = room.client();
    client.post(1);
    // Whichever is tried first does not come up; the other one does from then on.
    let arrived = 3 * CLIENT;
    room.run_to(arrived + 249 * MS);
    cuts.into_iter().for_each(|cut| room.sim.heal(cut));
    room.run(SECOND);
    let dialed = arrived + 250 * MS;
    let received: Vec<Span> = room.hosts.iter().flat_map(|host| host.seen()).map(|seen| seen.at).collect();
    assert_eq!(received, [dialed + 3 * HOST]);
    assert_eq!(client.seen(), [(dialed + 4 * HOST + CLIENT, name(1))]);
}

#[test]
fn an_idle_connection_is_retired_at_half_of_the_hosts_idle_time() {
    let room = Room::start(Plan::default());
    let (host, client) = (&room.hosts[0], room.client());
    host.manner(Manner::serve(1, 0));
    // The second comes to the gateway just in time for the same connection.
    client.get(1);
    room.run_to(SECOND);
    let answered = client.seen()[0].0 - CLIENT;
    room.run_to(answered + 5 * SECOND - 1 - CLIENT);
    client.get(2);
    room.run(SECOND);
    let answered = client.seen()[0].0 - CLIENT;
    assert_eq!(host.seen().iter().map(|seen| seen.line).collect::<Vec<_>>(), [0, 0]);
    // The third finds it gone.
    room.run_to(answered + 5 * SECOND - CLIENT);
    client.get(3);
    room.run(SECOND);
    let [end, command] = &host.seen()[..] else { panic!("an end and a command") };
    assert_eq!((end.line, end.at, &*end.text), (0, answered + 5 * SECOND + HOST, END));
    assert_eq!((command.line, command.at), (1, answered + 5 * SECOND + 3 * HOST));
    assert_eq!(client.heard(), [name(3)]);
}

#[test]
fn what_follows_an_answer_ends_the_connection_and_not_the_call() {
    let room = Room::start(Plan::default());
    let (host, client) = (&room.hosts[0], room.client());
    client.post(1);
    room.run_to(10 * MS);
    host.seen();
    host.say(0, [served("value"), bulk("more")].concat());
    room.run(10 * MS);
    assert_eq!(client.heard(), ["value"]);
    assert_eq!(host.one().text, END);
    client.post(2);
    room.run(10 * MS);
    assert_eq!(host.one().line, 1);
}
