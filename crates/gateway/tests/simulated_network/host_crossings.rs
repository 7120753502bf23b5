//! Events at hosts that cross: an answer and the next request, a drain and a request that waits, a window that ends and
//! a connection that comes up late.

use crate::support::{
    command, entry, get, list, name, post, served, Client, Manner, Peer, Plan, Room, Seen, CLIENT, END, HERE,
    HOST,
};
use cluster_model::{MS, SECOND};
use runtime::Span;
use simulated_runtime::Cut;

pub fn calls(host: &Peer) -> Vec<Seen> {
    host.seen().into_iter().filter(|seen| seen.text.starts_with("CALL")).collect()
}

/// How long a call for a host is that has four digits of time left.
pub fn length_at_host(id: u64) -> usize {
    command(&["CALL.GET", &name(1), &name(id), "c=read,t=team,d=7999,units=1,spread=1,first=0"]).len()
}

/// Sent so that it comes to the gateway then, and to a host that it has a connection to one way later.
pub fn ask_at(room: &Room, client: &Client, at: Span, call: bytes::Bytes) {
    room.run_to(at - CLIENT);
    client.say(call);
}

/// What a host says of an earlier request, some milliseconds after its answer, and how it comes.
const SECOND_ANSWERS: [(&str, Span, usize); 6] = [
    ("at once", 0, 0),
    ("a millisecond later", MS, 0),
    ("five later", 5 * MS, 0),
    ("nine later", 9 * MS, 0),
    ("half of it before the next request, half after", 2 * MS, 12),
    ("all but its end before the next request", 10 * MS, 24),
];

#[test]
fn a_second_answer_that_comes_late_is_no_answer_to_the_next_request() {
    let mut wrong = Vec::new();
    for (what, later, before) in SECOND_ANSWERS {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        client.post(1);
        room.run_to(10 * MS);
        let first = host.one();
        host.say(first.line, served("first"));
        room.run(HOST);
        // The rest comes to the gateway so long after the answer, and just after the next request has left it.
        let answered = room.now();
        room.run_to(answered + (later / 2).max(HOST) - HOST);
        host.say(first.line, served("first").slice(..before));
        ask_at(&room, &client, answered + later.max(2 * CLIENT) - 1, post(2, 1, 1.0));
        room.run_to(answered + later.max(2 * CLIENT) - HOST);
        host.say(first.line, served("first").slice(before..));
        room.run(10 * MS);
        let second = calls(host);
        assert_eq!(second.len(), 1, "{what}: {second:?}");
        host.say(second[0].line, served("second"));
        room.run(SECOND);
        if client.heard() != ["first", "second"] {
            wrong.push(what);
        }
    }
    assert_eq!(wrong, [""; 0]);
}

/// How long a connection rests after an answer.
const REST: Span = 10 * MS;

#[test]
fn a_connection_that_has_rested_since_its_answer_is_used_again() {
    // How long after the answer the next request comes, and which connection it goes out on.
    for (later, line) in [(MS, 1), (REST - MS, 1), (REST, 0), (SECOND, 0)] {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        host.manner(Manner::serve(1, 0));
        client.post(1);
        room.run_to(10 * MS);
        let answered = client.seen()[0].0 - CLIENT;
        host.seen();
        ask_at(&room, &client, (answered + later).max(room.now() + CLIENT), post(2, 1, 1.0));
        room.run(100 * MS);
        assert_eq!(calls(host).iter().map(|seen| seen.line).collect::<Vec<_>>(), [line], "{later}");
    }
}

/// Another one is opened, and what is ready first takes the request.
#[test]
fn a_request_does_not_wait_for_a_new_connection_longer_than_for_a_rested_one() {
    for is_lost in [false, true] {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        host.manner(Manner::serve(1, 0));
        client.get(1);
        room.run_to(10 * MS);
        let answered = client.seen()[0].0 - CLIENT;
        assert_eq!((calls(host).len(), host.lines()), (1, 1));
        client.get(2);
        room.run(CLIENT);
        // What asks for another connection may be lost, and comes again after a second.
        let machines = if is_lost { vec![host.machine.id()] } else { vec![] };
        let cut = room.sim.cut(machines, vec![room.gateway()], Cut::Silent);
        room.run(2 * HOST);
        room.sim.heal(cut);
        room.run(100 * MS);
        let seen = calls(host);
        assert_eq!(seen.len(), 1);
        let expected = if is_lost { answered + REST } else { 10 * MS + CLIENT + 2 * HOST };
        assert_eq!((seen[0].sent, seen[0].line == 1), (expected, !is_lost));
    }
}

/// The host answers without having read, so the next request finds no room for a byte.
#[test]
fn a_line_that_takes_no_byte_does_not_hold_a_request_up_past_a_drain() {
    let mut plan = Plan::default();
    plan.network.window = length_at_host(1) as u32;
    let room = Room::start(plan);
    let (host, client) = (&room.hosts[0], room.client());
    host.deaf(0);
    client.get(1);
    room.run_to(10 * MS);
    host.say(0, served("first"));
    room.run(100 * MS);
    assert_eq!(client.heard(), ["first"]);
    client.get(2);
    room.run(10 * MS);
    let told = room.now() + HERE;
    room.discovery.tell(0, &list(2, false, &[entry(&room.hosts, 0, "terminating")]));
    room.run(100 * MS);
    host.manner(Manner::serve(1, 0));
    host.hear();
    room.run(SECOND);
    let late: Vec<_> = calls(host).into_iter().filter(|seen| seen.sent > told).collect();
    assert!(late.is_empty(), "told at {told}: {late:?}");
    assert_eq!(client.heard(), [name(2)], "another connection took it before");
}

/// A room whose connections take so much of a request and no more.
pub fn narrow(window: usize) -> Room {
    let mut plan = Plan::default();
    plan.network.window = window as u32;
    Room::start(plan)
}

/// A kept connection has a part of a request when its client leaves and then the connection breaks.
#[test]
fn a_request_that_its_connection_lost_goes_nowhere_once_its_client_has_left() {
    for is_left_first in [false, true] {
        let room = narrow(length_at_host(1) - 10);
        let (host, client, leaver) = (&room.hosts[0], room.client(), room.client());
        host.manner(Manner::serve(1, 0));
        // It reads the first request and no more.
        host.deaf(length_at_host(1));
        client.get(1);
        room.run_to(100 * MS);
        assert_eq!(client.heard(), [name(1)]);
        host.seen();
        leaver.get(2);
        room.run(10 * MS);
        if is_left_first {
            leaver.close();
            room.run(10 * MS);
        }
        host.deaf(usize::MAX);
        let cut = room.sim.cut(vec![host.machine.id()], vec![room.gateway()], Cut::Reset);
        room.sim.heal(cut);
        room.run(100 * MS);
        let again: Vec<_> = calls(host).into_iter().map(|seen| seen.line).collect();
        assert_eq!(again, if is_left_first { vec![] } else { vec![1] }, "left first: {is_left_first}");
    }
}

/// The same where the host drains meanwhile: what has begun there may go on, and nothing begins there anew.
#[test]
fn a_request_that_its_connection_lost_does_not_begin_anew_at_a_host_that_drains() {
    let room = narrow(length_at_host(1) - 10);
    let (host, client) = (&room.hosts[0], room.client());
    host.manner(Manner::serve(1, 0));
    host.deaf(length_at_host(1));
    client.get(1);
    room.run_to(100 * MS);
    host.seen();
    client.get(2);
    room.run(10 * MS);
    room.discovery.tell(0, &list(2, false, &[entry(&room.hosts, 0, "terminating")]));
    room.run(10 * MS);
    host.deaf(usize::MAX);
    let cut = room.sim.cut(vec![host.machine.id()], vec![room.gateway()], Cut::Reset);
    room.sim.heal(cut);
    room.run(10 * SECOND);
    assert!(calls(host).is_empty());
    assert_eq!(client.heard(), [name(1), "-BUSY".to_owned()]);
}

/// A room with two hosts, and the keyed class in place of the unsafe one.
fn keyed(window: Span) -> Room {
    let mut plan = Plan { hosts: 2, ..Plan::default() };
    plan.settings["allowed"]["dial-timeout"] = (4 * SECOND).into();
    let order = &mut plan.settings["services"][1];
    order["semantics"] = "keyed".into();
    order["dedup-scope"] = "all".into();
    order["key-ttl"] = window.into();
    Room::start(plan)
}

/// The window, and whether the repeat is made where the other host is reached a second after the first failed.
const WINDOWS: [(Span, bool); 4] =
    [(100 * MS, false), (SECOND, false), (2 * SECOND, true), (5 * SECOND, true)];

#[test]
fn a_keyed_request_is_not_written_again_after_its_window() {
    for (window, is_repeated) in WINDOWS {
        let room = keyed(window);
        let client = room.client();
        client.post(1);
        room.run_to(10 * MS);
        let first = room.hosts.iter().position(|host| host.lines() == 1).unwrap();
        let (host, other) = (&room.hosts[first], &room.hosts[1 - first]);
        let sent = host.one().sent;
        other.manner(Manner::serve(1, 0));
        let cut = room.sim.cut(vec![other.machine.id()], vec![room.gateway()], Cut::Silent);
        host.say(0, "-ERR failed\r\n");
        room.run(500 * MS);
        room.sim.heal(cut);
        room.run(7 * SECOND);
        let again = calls(other);
        assert_eq!(again.len(), usize::from(is_repeated), "{window}: {again:?}");
        assert!(again.iter().all(|seen| seen.at < sent + window), "{window}");
        let heard = client.seen();
        let [(at, answer)] = &heard[..] else { panic!("{window}: {heard:?}") };
        if is_repeated {
            assert_eq!(*answer, name(1));
        } else {
            assert_eq!(answer, "-BUSY", "hosts drop repeats: to try again is harmless");
            assert!(
                *at < sent + window + 10 * MS,
                "{window}: it is told when the window ends, not later: {at}"
            );
        }
    }
}

/// What of it could not be written within the window stays unwritten.
#[test]
fn a_keyed_request_that_waits_for_room_is_not_finished_after_its_window() {
    let window = SECOND;
    let mut plan = Plan { hosts: 2, ..Plan::default() };
    plan.network.window = 64;
    let order = &mut plan.settings["services"][1];
    order["semantics"] = "keyed".into();
    order["dedup-scope"] = "all".into();
    order["key-ttl"] = window.into();
    let room = Room::start(plan);
    let client = room.client();
    client.post(1);
    room.run_to(10 * MS);
    let first = room.hosts.iter().position(|host| host.lines() == 1).unwrap();
    let (host, other) = (&room.hosts[first], &room.hosts[1 - first]);
    let sent = host.one().sent;
    other.deaf(0);
    host.say(0, "-ERR failed\r\n");
    room.run_to(sent + 950 * MS);
    other.hear();
    room.run(SECOND);
    assert!(calls(other).is_empty());
    assert_eq!(client.heard(), ["-BUSY"]);
}

/// It dialed for a request that was given up long before.
#[test]
fn a_connection_that_comes_up_late_serves_the_next_request() {
    let mut plan = Plan::default();
    plan.settings["allowed"]["dial-timeout"] = (4 * SECOND).into();
    let room = Room::start(plan);
    let (host, client, leaver) = (&room.hosts[0], room.client(), room.client());
    host.manner(Manner::serve(1, 0));
    let cut = room.sim.cut(vec![host.machine.id()], vec![room.gateway()], Cut::Silent);
    leaver.post(1);
    room.run_to(100 * MS);
    leaver.close();
    room.run_to(500 * MS);
    room.sim.heal(cut);
    room.run_to(2 * SECOND);
    assert_eq!((host.lines(), host.seen()), (1, vec![]));
    client.post(2);
    room.run(100 * MS);
    assert_eq!(client.heard(), [name(2)]);
    assert_eq!(host.one().line, 0);
}

/// The failure of a dial is that of the request it was made for, not of one that came just before its end.
#[test]
fn a_dial_whose_request_has_gone_fails_no_other() {
    let mut plan = Plan::default();
    plan.settings["allowed"]["max-attempts"] = 1.into();
    let room = Room::start(plan);
    let (host, client, leaver) = (&room.hosts[0], room.client(), room.client());
    host.manner(Manner::serve(1, 0));
    let cut = room.sim.cut(vec![host.machine.id()], vec![room.gateway()], Cut::Silent);
    leaver.post(1);
    room.run_to(100 * MS);
    leaver.close();
    room.run_to(240 * MS);
    room.sim.heal(cut);
    client.post(2);
    room.run_to(2 * SECOND);
    assert_eq!(client.heard(), [name(2)]);
    let seen = host.one();
    assert!(seen.at < 255 * MS, "at once when the dial had failed: {seen:?}");
}

/// The host's end of an idle connection and a request on it cross on the way.
#[test]
fn a_request_that_crosses_the_hosts_close_of_an_idle_connection() {
    for (call, is_repeated) in [(get(2), true), (post(2, 1, 1.0), false)] {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        host.manner(Manner::serve(1, 0));
        client.get(1);
        room.run_to(500 * MS);
        host.seen();
        client.heard();
        // Half a way before the request leaves the gateway, so that each is on its way when the other is.
        room.run_to(SECOND - CLIENT);
        client.say(call);
        room.run_to(SECOND - HOST / 2);
        host.close(0);
        room.run(SECOND);
        let seen = calls(host);
        assert_eq!(seen.len(), usize::from(is_repeated), "{seen:?}");
        let answer = if is_repeated { name(2) } else { "-ERR failed".to_owned() };
        assert_eq!(client.heard(), [answer], "it may have run, as far as anybody can tell");
    }
}

/// Our own close of an idle connection at its age, and requests just before, at and after that instant.
#[test]
fn a_request_that_crosses_our_close_of_an_idle_connection_goes_out_once() {
    for offset in [-1_i64, 0, 1] {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        host.manner(Manner::serve(1, 0));
        client.post(1);
        room.run_to(SECOND);
        let answered = client.seen()[0].0 - CLIENT;
        host.seen();
        let at = (answered + 5 * SECOND).saturating_add_signed(offset);
        ask_at(&room, &client, at, post(2, 1, 1.0));
        room.run(SECOND);
        assert_eq!(client.heard(), [name(2)], "{offset}");
        assert_eq!(calls(host).len(), 1, "{offset}");
        assert!(host.lines() <= 2, "{offset}");
    }
}

/// Half a line lies there, or comes when the connection has stood idle for long: it ends, and nothing is lost.
#[test]
fn half_a_line_on_an_idle_connection_ends_it_and_no_request() {
    for before in [1, MS, SECOND] {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        host.manner(Manner::serve(1, 0));
        client.post(1);
        room.run_to(2 * SECOND - before - HOST);
        host.seen();
        client.heard();
        host.say(0, served("nobody asked").slice(..9));
        ask_at(&room, &client, 2 * SECOND, post(2, 1, 1.0));
        room.run(10 * MS);
        host.say(0, served("nobody asked").slice(9..));
        room.run(SECOND);
        assert_eq!(client.heard(), [name(2)], "{before}");
        let seen: Vec<_> = host.seen().into_iter().filter(|seen| seen.text != END).collect();
        assert_eq!(seen.iter().map(|seen| seen.line).collect::<Vec<_>>(), [1], "{before}");
    }
}

/// A drain is told while a request waits for a connection that rests, and for another that does not come up.
#[test]
fn a_request_that_waits_for_a_rested_connection_does_not_go_out_after_a_drain() {
    for is_drained in [false, true] {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        host.manner(Manner::serve(1, 0));
        client.get(1);
        room.run_to(10 * MS);
        host.seen();
        let answered = client.seen()[0].0 - CLIENT;
        let cut = room.sim.cut(vec![host.machine.id()], vec![room.gateway()], Cut::Silent);
        client.get(2);
        room.run(2 * MS);
        room.sim.heal(cut);
        if is_drained {
            room.run_to(answered + REST - HERE - 1);
            room.discovery.tell(0, &list(2, false, &[entry(&room.hosts, 0, "terminating")]));
        }
        room.run(SECOND);
        assert_eq!(calls(host).len(), usize::from(!is_drained));
    }
}

/// It hangs in the middle of its work, is given up, and comes back with an answer that nobody waits for.
#[test]
fn a_host_that_comes_back_after_it_was_given_up_answers_nobody() {
    for (call, answer) in [(get(1), "-BUSY"), (post(1, 1, 1.0), "-ERR failed")] {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        client.say(call);
        room.run_to(9 * SECOND);
        assert_eq!(client.heard(), [answer]);
        let given_up = calls(host);
        given_up.iter().for_each(|seen| host.say(seen.line, served("late")));
        client.post(2);
        room.run(10 * MS);
        given_up.iter().for_each(|seen| host.say(seen.line, served("later")));
        let [second] = &calls(host)[..] else { panic!("one more") };
        assert!(given_up.iter().all(|seen| seen.line != second.line), "on a connection of its own");
        host.say(second.line, served("second"));
        room.run(10 * MS);
        assert_eq!(client.heard(), ["second"]);
    }
}

/// All connections to a host are reset: an idle one, or one with a request that has begun, and that at once or long after.
#[test]
fn resets_of_idle_connections_and_under_requests() {
    // How long after the request the reset comes; none: before it. Whether the request may be repeated.
    for (after, safe) in
        [None, Some(MS), Some(5 * SECOND)].iter().flat_map(|after| [(*after, true), (*after, false)])
    {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        client.get(1);
        room.run_to(10 * MS);
        host.say(host.one().line, served("first"));
        room.run(2 * SECOND);
        let reset = || {
            let cut = room.sim.cut(vec![host.machine.id()], vec![room.gateway()], Cut::Reset);
            room.sim.heal(cut);
        };
        let ask = || if safe { client.get(2) } else { client.post(2) };
        match after {
            None => {
                reset();
                room.run(SECOND);
                ask();
            }
            Some(after) => {
                ask();
                room.run(CLIENT + HOST + after);
                assert_eq!(calls(host).len(), 1);
                reset();
            }
        }
        host.manner(Manner::serve(1, 0));
        room.run(SECOND);
        let is_sent = after.is_none() || safe;
        assert_eq!(calls(host).len(), usize::from(is_sent), "{after:?}, safe: {safe}");
        let answer = if is_sent { name(2) } else { "-ERR failed".to_owned() };
        assert_eq!(client.heard(), ["first".to_owned(), answer], "{after:?}, safe: {safe}");
    }
}

/// It never ends, and gets on each time: its request's time ends it.
#[test]
fn an_answer_that_never_ends_ends_with_the_time_of_its_request() {
    let room = Room::start(Plan::default());
    let (host, client) = (&room.hosts[0], room.client());
    client.post(1);
    room.run_to(10 * MS);
    let line = host.one().line;
    host.say(line, "*3\r\n$60000\r\n");
    while room.now() < 10 * SECOND {
        host.say(line, "x");
        room.run(100 * MS);
    }
    assert_eq!(client.seen(), [(3 * CLIENT + 8 * SECOND + CLIENT, "-ERR failed".to_owned())]);
    assert_eq!(host.seen()[0].text, END);
}

#[test]
fn a_connection_is_given_back_after_its_answer_where_hosts_turn_new_ones_away() {
    for (turned_away, is_kept) in [(0, true), (2, true), (4, false)] {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        for id in 2..2 + turned_away {
            client.post(id);
            let call = loop {
                room.run(HOST / 2);
                if let Some(call) = calls(host).pop() {
                    break call;
                }
            };
            host.close(call.line);
            room.run(5 * MS);
        }
        client.post(1);
        room.run(5 * MS);
        let line = calls(host).last().unwrap().line;
        host.say(line, served("first"));
        room.run(5 * MS);
        assert_eq!(client.heard().last().unwrap(), "first");
        let has_ended = host.seen().iter().any(|seen| seen.line == line && seen.text == END);
        assert_eq!(has_ended, !is_kept, "{turned_away} turned away");
    }
}
