//! Events at hosts that cross: an answer and the next request, a drain and a request that waits, a window that ends and
//! a connection that comes up late.

use crate::support::{
    command, endpoint_list, format_id, get, host_entry, post, value_reply, Behavior, Client, Peer, Received,
    Setup, SimulatedNetwork, CLIENT_DELAY, CLOSED, HOST_DELAY, LOCAL_DELAY,
};
use cluster_model::{MS, SECOND};
use runtime::Span;
use simulated_runtime::Cut;

pub fn calls(host: &Peer) -> Vec<Received> {
    host.take_received().into_iter().filter(|received| received.text.starts_with("CALL")).collect()
}

/// How long a call for a host is that has four digits of time left.
pub fn forwarded_call_len(id: u64) -> usize {
    command(&["CALL.GET", &format_id(1), &format_id(id), "c=read,t=team,d=7999,units=1,spread=1,first=0"])
        .len()
}

/// Sent so that it comes to the gateway then, and to a host that it has a connection to one way later.
pub fn call_at(network: &SimulatedNetwork, client: &Client, at: Span, call: bytes::Bytes) {
    network.run_until(at - CLIENT_DELAY);
    client.send(call);
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
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        client.post(1);
        network.run_until(10 * MS);
        let first = host.take_single();
        host.send(first.connection, value_reply("first"));
        network.run_for(HOST_DELAY);
        // The rest comes to the gateway so long after the answer, and just after the next request has left it.
        let answered = network.now();
        network.run_until(answered + (later / 2).max(HOST_DELAY) - HOST_DELAY);
        host.send(first.connection, value_reply("first").slice(..before));
        call_at(&network, &client, answered + later.max(2 * CLIENT_DELAY) - 1, post(2, 1, 1.0));
        network.run_until(answered + later.max(2 * CLIENT_DELAY) - HOST_DELAY);
        host.send(first.connection, value_reply("first").slice(before..));
        network.run_for(10 * MS);
        let second = calls(host);
        assert_eq!(second.len(), 1, "{what}: {second:?}");
        host.send(second[0].connection, value_reply("second"));
        network.run_for(SECOND);
        if client.take_replies() != ["first", "second"] {
            wrong.push(what);
        }
    }
    assert_eq!(wrong, [""; 0]);
}

/// How long a connection rests after an answer.
const REUSE_DELAY: Span = 10 * MS;

#[test]
fn a_connection_that_has_rested_since_its_answer_is_used_again() {
    // How long after the answer the next request comes, and which connection it goes out on.
    for (later, connection) in [(MS, 1), (REUSE_DELAY - MS, 1), (REUSE_DELAY, 0), (SECOND, 0)] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.post(1);
        network.run_until(10 * MS);
        let answered = client.take_timed_replies()[0].0 - CLIENT_DELAY;
        host.take_received();
        call_at(&network, &client, (answered + later).max(network.now() + CLIENT_DELAY), post(2, 1, 1.0));
        network.run_for(100 * MS);
        assert_eq!(
            calls(host).iter().map(|received| received.connection).collect::<Vec<_>>(),
            [connection],
            "{later}"
        );
    }
}

/// Another one is opened, and what is ready first takes the request.
#[test]
fn a_request_does_not_wait_for_a_new_connection_longer_than_for_a_rested_one() {
    for is_lost in [false, true] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.get(1);
        network.run_until(10 * MS);
        let answered = client.take_timed_replies()[0].0 - CLIENT_DELAY;
        assert_eq!((calls(host).len(), host.connection_count()), (1, 1));
        client.get(2);
        network.run_for(CLIENT_DELAY);
        // What asks for another connection may be lost, and comes again after a second.
        let machines = if is_lost { vec![host.machine.id()] } else { vec![] };
        let cut = network.sim.cut(machines, vec![network.gateway_machine_id()], Cut::Silent);
        network.run_for(2 * HOST_DELAY);
        network.sim.heal(cut);
        network.run_for(100 * MS);
        let received = calls(host);
        assert_eq!(received.len(), 1);
        let expected = if is_lost { answered + REUSE_DELAY } else { 10 * MS + CLIENT_DELAY + 2 * HOST_DELAY };
        assert_eq!((received[0].sent, received[0].connection == 1), (expected, !is_lost));
    }
}

/// The host answers without having read, so the next request finds no room for a byte.
#[test]
fn a_line_that_takes_no_byte_does_not_hold_a_request_up_past_a_drain() {
    let mut setup = Setup::default();
    setup.network.window = forwarded_call_len(1) as u32;
    let network = SimulatedNetwork::start(setup);
    let (host, client) = (&network.hosts[0], network.client());
    host.set_read_limit(0);
    client.get(1);
    network.run_until(10 * MS);
    host.send(0, value_reply("first"));
    network.run_for(100 * MS);
    assert_eq!(client.take_replies(), ["first"]);
    client.get(2);
    network.run_for(10 * MS);
    let notified_at = network.now() + LOCAL_DELAY;
    network.discovery.send_list(0, &endpoint_list(2, false, &[host_entry(&network.hosts, 0, "terminating")]));
    network.run_for(100 * MS);
    host.set_behavior(Behavior::serve(1, 0));
    host.read_all();
    network.run_for(SECOND);
    let late: Vec<_> = calls(host).into_iter().filter(|received| received.sent > notified_at).collect();
    assert!(late.is_empty(), "told at {notified_at}: {late:?}");
    assert_eq!(client.take_replies(), [format_id(2)], "another connection took it before");
}

/// A room whose connections take so much of a request and no more.
pub fn start_with_window(window: usize) -> SimulatedNetwork {
    let mut setup = Setup::default();
    setup.network.window = window as u32;
    SimulatedNetwork::start(setup)
}

/// A kept connection has a part of a request when its client leaves and then the connection breaks.
#[test]
fn a_request_that_its_connection_lost_goes_nowhere_once_its_client_has_left() {
    for is_left_first in [false, true] {
        let network = start_with_window(forwarded_call_len(1) - 10);
        let (host, client, leaving_client) = (&network.hosts[0], network.client(), network.client());
        host.set_behavior(Behavior::serve(1, 0));
        // It reads the first request and no more.
        host.set_read_limit(forwarded_call_len(1));
        client.get(1);
        network.run_until(100 * MS);
        assert_eq!(client.take_replies(), [format_id(1)]);
        host.take_received();
        leaving_client.get(2);
        network.run_for(10 * MS);
        if is_left_first {
            leaving_client.close();
            network.run_for(10 * MS);
        }
        host.set_read_limit(usize::MAX);
        let cut = network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Reset);
        network.sim.heal(cut);
        network.run_for(100 * MS);
        let again: Vec<_> = calls(host).into_iter().map(|received| received.connection).collect();
        assert_eq!(again, if is_left_first { vec![] } else { vec![1] }, "left first: {is_left_first}");
    }
}

/// The same where the host drains meanwhile: what has begun there may go on, and nothing begins there anew.
#[test]
fn a_request_that_its_connection_lost_does_not_begin_anew_at_a_host_that_drains() {
    let network = start_with_window(forwarded_call_len(1) - 10);
    let (host, client) = (&network.hosts[0], network.client());
    host.set_behavior(Behavior::serve(1, 0));
    host.set_read_limit(forwarded_call_len(1));
    client.get(1);
    network.run_until(100 * MS);
    host.take_received();
    client.get(2);
    network.run_for(10 * MS);
    network.discovery.send_list(0, &endpoint_list(2, false, &[host_entry(&network.hosts, 0, "terminating")]));
    network.run_for(10 * MS);
    host.set_read_limit(usize::MAX);
    let cut = network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Reset);
    network.sim.heal(cut);
    network.run_for(10 * SECOND);
    assert!(calls(host).is_empty());
    assert_eq!(client.take_replies(), [format_id(1), "-BUSY".to_owned()]);
}

/// A room with two hosts, and the keyed class in place of the unsafe one.
fn start_keyed(window: Span) -> SimulatedNetwork {
    let mut setup = Setup { hosts: 2, ..Setup::default() };
    setup.settings["allowed"]["dial-timeout"] = (4 * SECOND).into();
    let order = &mut setup.settings["services"][1];
    order["semantics"] = "keyed".into();
    order["dedup-scope"] = "all".into();
    order["key-ttl"] = window.into();
    SimulatedNetwork::start(setup)
}

/// The window, and whether the repeat is made where the other host is reached a second after the first failed.
const WINDOWS: [(Span, bool); 4] =
    [(100 * MS, false), (SECOND, false), (2 * SECOND, true), (5 * SECOND, true)];

#[test]
fn a_keyed_request_is_not_written_again_after_its_window() {
    for (window, is_repeated) in WINDOWS {
        let network = start_keyed(window);
        let client = network.client();
        client.post(1);
        network.run_until(10 * MS);
        let first = network.hosts.iter().position(|host| host.connection_count() == 1).unwrap();
        let (host, other) = (&network.hosts[first], &network.hosts[1 - first]);
        let sent = host.take_single().sent;
        other.set_behavior(Behavior::serve(1, 0));
        let cut = network.sim.cut(vec![other.machine.id()], vec![network.gateway_machine_id()], Cut::Silent);
        host.send(0, "-ERR failed\r\n");
        network.run_for(500 * MS);
        network.sim.heal(cut);
        network.run_for(7 * SECOND);
        let again = calls(other);
        assert_eq!(again.len(), usize::from(is_repeated), "{window}: {again:?}");
        assert!(again.iter().all(|received| received.at < sent + window), "{window}");
        let replies = client.take_timed_replies();
        let [(at, answer)] = &replies[..] else { panic!("{window}: {replies:?}") };
        if is_repeated {
            assert_eq!(*answer, format_id(1));
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
    let mut setup = Setup { hosts: 2, ..Setup::default() };
    setup.network.window = 64;
    let order = &mut setup.settings["services"][1];
    order["semantics"] = "keyed".into();
    order["dedup-scope"] = "all".into();
    order["key-ttl"] = window.into();
    let network = SimulatedNetwork::start(setup);
    let client = network.client();
    client.post(1);
    network.run_until(10 * MS);
    let first = network.hosts.iter().position(|host| host.connection_count() == 1).unwrap();
    let (host, other) = (&network.hosts[first], &network.hosts[1 - first]);
    let sent = host.take_single().sent;
    other.set_read_limit(0);
    host.send(0, "-ERR failed\r\n");
    network.run_until(sent + 950 * MS);
    other.read_all();
    network.run_for(SECOND);
    assert!(calls(other).is_empty());
    assert_eq!(client.take_replies(), ["-BUSY"]);
}

/// It dialed for a request that was given up long before.
#[test]
fn a_connection_that_comes_up_late_serves_the_next_request() {
    let mut setup = Setup::default();
    setup.settings["allowed"]["dial-timeout"] = (4 * SECOND).into();
    let network = SimulatedNetwork::start(setup);
    let (host, client, leaving_client) = (&network.hosts[0], network.client(), network.client());
    host.set_behavior(Behavior::serve(1, 0));
    let cut = network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Silent);
    leaving_client.post(1);
    network.run_until(100 * MS);
    leaving_client.close();
    network.run_until(500 * MS);
    network.sim.heal(cut);
    network.run_until(2 * SECOND);
    assert_eq!((host.connection_count(), host.take_received()), (1, vec![]));
    client.post(2);
    network.run_for(100 * MS);
    assert_eq!(client.take_replies(), [format_id(2)]);
    assert_eq!(host.take_single().connection, 0);
}

/// The failure of a dial is that of the request it was made for, not of one that came just before its end.
#[test]
fn a_dial_whose_request_has_gone_fails_no_other() {
    let mut setup = Setup::default();
    setup.settings["allowed"]["max-attempts"] = 1.into();
    let network = SimulatedNetwork::start(setup);
    let (host, client, leaving_client) = (&network.hosts[0], network.client(), network.client());
    host.set_behavior(Behavior::serve(1, 0));
    let cut = network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Silent);
    leaving_client.post(1);
    network.run_until(100 * MS);
    leaving_client.close();
    network.run_until(240 * MS);
    network.sim.heal(cut);
    client.post(2);
    network.run_until(2 * SECOND);
    assert_eq!(client.take_replies(), [format_id(2)]);
    let received = host.take_single();
    assert!(received.at < 255 * MS, "at once when the dial had failed: {received:?}");
}

/// The host's end of an idle connection and a request on it cross on the way.
#[test]
fn a_request_that_crosses_the_hosts_close_of_an_idle_connection() {
    for (call, is_repeated) in [(get(2), true), (post(2, 1, 1.0), false)] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.get(1);
        network.run_until(500 * MS);
        host.take_received();
        client.take_replies();
        // Half a way before the request leaves the gateway, so that each is on its way when the other is.
        network.run_until(SECOND - CLIENT_DELAY);
        client.send(call);
        network.run_until(SECOND - HOST_DELAY / 2);
        host.close(0);
        network.run_for(SECOND);
        let received = calls(host);
        assert_eq!(received.len(), usize::from(is_repeated), "{received:?}");
        let answer = if is_repeated { format_id(2) } else { "-ERR failed".to_owned() };
        assert_eq!(client.take_replies(), [answer], "it may have run, as far as anybody can tell");
    }
}

/// Our own close of an idle connection at its age, and requests just before, at and after that instant.
#[test]
fn a_request_that_crosses_our_close_of_an_idle_connection_goes_out_once() {
    for offset in [-1_i64, 0, 1] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.post(1);
        network.run_until(SECOND);
        let answered = client.take_timed_replies()[0].0 - CLIENT_DELAY;
        host.take_received();
        let at = (answered + 5 * SECOND).saturating_add_signed(offset);
        call_at(&network, &client, at, post(2, 1, 1.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(2)], "{offset}");
        assert_eq!(calls(host).len(), 1, "{offset}");
        assert!(host.connection_count() <= 2, "{offset}");
    }
}

/// Half a line lies there, or comes when the connection has stood idle for long: it ends, and nothing is lost.
#[test]
fn half_a_line_on_an_idle_connection_ends_it_and_no_request() {
    for before in [1, MS, SECOND] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.post(1);
        network.run_until(2 * SECOND - before - HOST_DELAY);
        host.take_received();
        client.take_replies();
        host.send(0, value_reply("nobody asked").slice(..9));
        call_at(&network, &client, 2 * SECOND, post(2, 1, 1.0));
        network.run_for(10 * MS);
        host.send(0, value_reply("nobody asked").slice(9..));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(2)], "{before}");
        let received: Vec<_> =
            host.take_received().into_iter().filter(|received| received.text != CLOSED).collect();
        assert_eq!(received.iter().map(|received| received.connection).collect::<Vec<_>>(), [1], "{before}");
    }
}

/// A drain is told while a request waits for a connection that rests, and for another that does not come up.
#[test]
fn a_request_that_waits_for_a_rested_connection_does_not_go_out_after_a_drain() {
    for is_drained in [false, true] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.get(1);
        network.run_until(10 * MS);
        host.take_received();
        let answered = client.take_timed_replies()[0].0 - CLIENT_DELAY;
        let cut = network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Silent);
        client.get(2);
        network.run_for(2 * MS);
        network.sim.heal(cut);
        if is_drained {
            network.run_until(answered + REUSE_DELAY - LOCAL_DELAY - 1);
            network
                .discovery
                .send_list(0, &endpoint_list(2, false, &[host_entry(&network.hosts, 0, "terminating")]));
        }
        network.run_for(SECOND);
        assert_eq!(calls(host).len(), usize::from(!is_drained));
    }
}

/// It hangs in the middle of its work, is given up, and comes back with an answer that nobody waits for.
#[test]
fn a_host_that_comes_back_after_it_was_given_up_answers_nobody() {
    for (call, answer) in [(get(1), "-BUSY"), (post(1, 1, 1.0), "-ERR failed")] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        client.send(call);
        network.run_until(9 * SECOND);
        assert_eq!(client.take_replies(), [answer]);
        let given_up = calls(host);
        given_up.iter().for_each(|received| host.send(received.connection, value_reply("late")));
        client.post(2);
        network.run_for(10 * MS);
        given_up.iter().for_each(|received| host.send(received.connection, value_reply("later")));
        let [second] = &calls(host)[..] else { panic!("one more") };
        assert!(
            given_up.iter().all(|received| received.connection != second.connection),
            "on a connection of its own"
        );
        host.send(second.connection, value_reply("second"));
        network.run_for(10 * MS);
        assert_eq!(client.take_replies(), ["second"]);
    }
}

/// All connections to a host are reset: an idle one, or one with a request that has begun, and that at once or long after.
#[test]
fn resets_of_idle_connections_and_under_requests() {
    // How long after the request the reset comes; none: before it. Whether the request may be repeated.
    for (after, safe) in
        [None, Some(MS), Some(5 * SECOND)].iter().flat_map(|after| [(*after, true), (*after, false)])
    {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        client.get(1);
        network.run_until(10 * MS);
        host.send(host.take_single().connection, value_reply("first"));
        network.run_for(2 * SECOND);
        let reset = || {
            let cut =
                network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Reset);
            network.sim.heal(cut);
        };
        let ask = || if safe { client.get(2) } else { client.post(2) };
        match after {
            None => {
                reset();
                network.run_for(SECOND);
                ask();
            }
            Some(after) => {
                ask();
                network.run_for(CLIENT_DELAY + HOST_DELAY + after);
                assert_eq!(calls(host).len(), 1);
                reset();
            }
        }
        host.set_behavior(Behavior::serve(1, 0));
        network.run_for(SECOND);
        let is_sent = after.is_none() || safe;
        assert_eq!(calls(host).len(), usize::from(is_sent), "{after:?}, safe: {safe}");
        let answer = if is_sent { format_id(2) } else { "-ERR failed".to_owned() };
        assert_eq!(client.take_replies(), ["first".to_owned(), answer], "{after:?}, safe: {safe}");
    }
}

/// It never ends, and gets on each time: its request's time ends it.
#[test]
fn an_answer_that_never_ends_ends_with_the_time_of_its_request() {
    let network = SimulatedNetwork::start(Setup::default());
    let (host, client) = (&network.hosts[0], network.client());
    client.post(1);
    network.run_until(10 * MS);
    let connection = host.take_single().connection;
    host.send(connection, "*3\r\n$60000\r\n");
    while network.now() < 10 * SECOND {
        host.send(connection, "x");
        network.run_for(100 * MS);
    }
    assert_eq!(
        client.take_timed_replies(),
        [(3 * CLIENT_DELAY + 8 * SECOND + CLIENT_DELAY, "-ERR failed".to_owned())]
    );
    assert_eq!(host.take_received()[0].text, CLOSED);
}

#[test]
fn a_connection_is_given_back_after_its_answer_where_hosts_turn_new_ones_away() {
    for (turned_away, is_kept) in [(0, true), (2, true), (4, false)] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        for id in 2..2 + turned_away {
            client.post(id);
            let call = loop {
                network.run_for(HOST_DELAY / 2);
                if let Some(call) = calls(host).pop() {
                    break call;
                }
            };
            host.close(call.connection);
            network.run_for(5 * MS);
        }
        client.post(1);
        network.run_for(5 * MS);
        let connection = calls(host).last().unwrap().connection;
        host.send(connection, value_reply("first"));
        network.run_for(5 * MS);
        assert_eq!(client.take_replies().last().unwrap(), "first");
        let has_ended = host
            .take_received()
            .iter()
            .any(|received| received.connection == connection && received.text == CLOSED);
        assert_eq!(has_ended, !is_kept, "{turned_away} turned away");
    }
}
