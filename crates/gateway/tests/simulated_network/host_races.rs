//! Races between events at hosts: a response and the next request, a drain and a waiting request, the end of a
//! deduplication window and a connection that is established late.

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

/// Returns the length of a call as forwarded to a host, with a remaining deadline of four digits.
pub fn forwarded_call_len(id: u64) -> usize {
    command(&["CALL.GET", &format_id(1), &format_id(id), "c=read,t=team,d=7999,units=1,spread=1,first=0"])
        .len()
}

/// Sends a call so that it arrives at the gateway at `at`, and one host delay later at a host with an open connection.
pub fn call_at(network: &SimulatedNetwork, client: &Client, at: Span, call: bytes::Bytes) {
    network.run_until(at - CLIENT_DELAY);
    client.send(call);
}

/// Cases of a second response to the same request: its delay after the first response, and how many of its bytes arrive
/// before the next request.
const SECOND_ANSWERS: [(&str, Span, usize); 6] = [
    ("at once", 0, 0),
    ("a millisecond later", MS, 0),
    ("five later", 5 * MS, 0),
    ("nine later", 9 * MS, 0),
    ("half of it before the next request, half after", 2 * MS, 12),
    ("all but its end before the next request", 10 * MS, 24),
];

#[test]
fn a_late_duplicate_response_does_not_answer_the_next_request() {
    let mut misdelivered = Vec::new();
    for (what, later, before) in SECOND_ANSWERS {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        client.post(1);
        network.run_until(10 * MS);
        let first = host.take_single();
        host.send(first.connection, value_reply("first"));
        network.run_for(HOST_DELAY);
        // The rest arrives at the gateway `later` after the first response, and just after the next request is sent.
        let responded_at = network.now();
        network.run_until(responded_at + (later / 2).max(HOST_DELAY) - HOST_DELAY);
        host.send(first.connection, value_reply("first").slice(..before));
        call_at(&network, &client, responded_at + later.max(2 * CLIENT_DELAY) - 1, post(2, 1, 1.0));
        network.run_until(responded_at + later.max(2 * CLIENT_DELAY) - HOST_DELAY);
        host.send(first.connection, value_reply("first").slice(before..));
        network.run_for(10 * MS);
        let second = calls(host);
        assert_eq!(second.len(), 1, "{what}: {second:?}");
        host.send(second[0].connection, value_reply("second"));
        network.run_for(SECOND);
        if client.take_replies() != ["first", "second"] {
            misdelivered.push(what);
        }
    }
    assert_eq!(misdelivered, [""; 0]);
}

/// How long a connection is not reused after a response, so that a duplicate response shows.
const REUSE_DELAY: Span = 10 * MS;

#[test]
fn a_connection_is_reused_once_its_reuse_delay_has_passed() {
    // How long after the response the next request arrives, and on which connection it is sent.
    for (later, connection) in [(MS, 1), (REUSE_DELAY - MS, 1), (REUSE_DELAY, 0), (SECOND, 0)] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.post(1);
        network.run_until(10 * MS);
        let responded_at = client.take_timed_replies()[0].0 - CLIENT_DELAY;
        host.take_received();
        call_at(&network, &client, (responded_at + later).max(network.now() + CLIENT_DELAY), post(2, 1, 1.0));
        network.run_for(100 * MS);
        assert_eq!(
            calls(host).iter().map(|received| received.connection).collect::<Vec<_>>(),
            [connection],
            "{later}"
        );
    }
}

/// A second connection is opened, and the one that is ready first is used.
#[test]
fn a_request_uses_the_first_of_a_new_connection_and_one_whose_reuse_delay_ends() {
    for is_lost in [false, true] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.get(1);
        network.run_until(10 * MS);
        let responded_at = client.take_timed_replies()[0].0 - CLIENT_DELAY;
        assert_eq!((calls(host).len(), host.connection_count()), (1, 1));
        client.get(2);
        network.run_for(CLIENT_DELAY);
        // The request for the second connection may be lost, and is resent after a second.
        let machines = if is_lost { vec![host.machine.id()] } else { vec![] };
        let cut = network.sim.cut(machines, vec![network.gateway_machine_id()], Cut::Silent);
        network.run_for(2 * HOST_DELAY);
        network.sim.heal(cut);
        network.run_for(100 * MS);
        let received = calls(host);
        assert_eq!(received.len(), 1);
        let expected =
            if is_lost { responded_at + REUSE_DELAY } else { 10 * MS + CLIENT_DELAY + 2 * HOST_DELAY };
        assert_eq!((received[0].sent, received[0].connection == 1), (expected, !is_lost));
    }
}

/// The host responds without having read, so the window has no room for a single byte of the next request.
#[test]
fn a_connection_that_accepts_no_byte_does_not_delay_a_request_past_a_drain() {
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
    assert!(late.is_empty(), "notified at {notified_at}: {late:?}");
    assert_eq!(client.take_replies(), [format_id(2)], "it was sent on another connection before");
}

/// Starts a network whose connections accept `window` unread bytes.
pub fn start_with_window(window: usize) -> SimulatedNetwork {
    let mut setup = Setup::default();
    setup.network.window = window as u32;
    SimulatedNetwork::start(setup)
}

/// Part of a request is written to an established connection when its client disconnects; then the connection fails.
#[test]
fn a_partly_written_request_is_not_resent_after_a_reset_once_its_client_has_disconnected() {
    for disconnects_first in [false, true] {
        let network = start_with_window(forwarded_call_len(1) - 10);
        let (host, client, leaving_client) = (&network.hosts[0], network.client(), network.client());
        host.set_behavior(Behavior::serve(1, 0));
        // The host reads only the first request.
        host.set_read_limit(forwarded_call_len(1));
        client.get(1);
        network.run_until(100 * MS);
        assert_eq!(client.take_replies(), [format_id(1)]);
        host.take_received();
        leaving_client.get(2);
        network.run_for(10 * MS);
        if disconnects_first {
            leaving_client.close();
            network.run_for(10 * MS);
        }
        host.set_read_limit(usize::MAX);
        let cut = network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Reset);
        network.sim.heal(cut);
        network.run_for(100 * MS);
        let resent: Vec<_> = calls(host).into_iter().map(|received| received.connection).collect();
        assert_eq!(
            resent,
            if disconnects_first { vec![] } else { vec![1] },
            "client disconnected first: {disconnects_first}"
        );
    }
}

/// Part of a request is written when its host drains; then the connection fails. Started attempts may continue at the
/// host, but no new one starts there.
#[test]
fn a_partly_written_request_is_not_resent_after_a_reset_to_a_draining_host() {
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

/// Starts a network with two hosts, where the unsafe class is replaced by one with idempotency keys.
fn start_keyed(window: Span) -> SimulatedNetwork {
    let mut setup = Setup { hosts: 2, ..Setup::default() };
    setup.settings["allowed"]["dial-timeout"] = (4 * SECOND).into();
    let order = &mut setup.settings["services"][1];
    order["semantics"] = "keyed".into();
    order["dedup-scope"] = "all".into();
    order["key-ttl"] = window.into();
    SimulatedNetwork::start(setup)
}

/// The deduplication window, and whether the request is retried when the other host becomes reachable a second after the
/// first attempt failed.
const WINDOWS: [(Span, bool); 4] =
    [(100 * MS, false), (SECOND, false), (2 * SECOND, true), (5 * SECOND, true)];

#[test]
fn a_keyed_request_is_not_retried_after_its_deduplication_window() {
    for (window, is_retried) in WINDOWS {
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
        let resent = calls(other);
        assert_eq!(resent.len(), usize::from(is_retried), "{window}: {resent:?}");
        assert!(resent.iter().all(|received| received.at < sent + window), "{window}");
        let replies = client.take_timed_replies();
        let [(at, expected_reply)] = &replies[..] else { panic!("{window}: {replies:?}") };
        if is_retried {
            assert_eq!(*expected_reply, format_id(1));
        } else {
            assert_eq!(expected_reply, "-BUSY", "hosts drop duplicates, so the client may retry");
            assert!(
                *at < sent + window + 10 * MS,
                "{window}: rejected when the window ends, not later: {at}"
            );
        }
    }
}

/// The part of the request that could not be written within the deduplication window is not written.
#[test]
fn a_partly_written_keyed_request_is_not_completed_after_its_deduplication_window() {
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

/// The connection was opened for a request that was abandoned long before.
#[test]
fn a_connection_established_late_serves_the_next_request() {
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

/// A failed dial fails the request it was started for, but not one that arrived just before the failure.
#[test]
fn a_failed_dial_whose_request_was_abandoned_fails_no_other_request() {
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
    assert!(received.at < 255 * MS, "sent as soon as the dial had failed: {received:?}");
}

/// The host closes an idle connection while a request on it is in transit. A safe request is retried, an unsafe one fails.
#[test]
fn only_a_safe_request_that_races_with_the_hosts_close_of_an_idle_connection_is_retried() {
    for (call, is_retried) in [(get(2), true), (post(2, 1, 1.0), false)] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.get(1);
        network.run_until(500 * MS);
        host.take_received();
        client.take_replies();
        // The close is sent half a host delay before the request, so that both are in transit at the same time.
        network.run_until(SECOND - CLIENT_DELAY);
        client.send(call);
        network.run_until(SECOND - HOST_DELAY / 2);
        host.close(0);
        network.run_for(SECOND);
        let received = calls(host);
        assert_eq!(received.len(), usize::from(is_retried), "{received:?}");
        let expected_reply = if is_retried { format_id(2) } else { "-ERR failed".to_owned() };
        assert_eq!(
            client.take_replies(),
            [expected_reply],
            "the gateway cannot rule out that it was executed"
        );
    }
}

/// The gateway closes an idle connection at its idle lifetime; requests arrive just before, at and after that instant.
#[test]
fn a_request_that_races_with_the_gateways_close_of_an_idle_connection_is_sent_once() {
    for offset in [-1_i64, 0, 1] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.post(1);
        network.run_until(SECOND);
        let responded_at = client.take_timed_replies()[0].0 - CLIENT_DELAY;
        host.take_received();
        let at = (responded_at + 5 * SECOND).saturating_add_signed(offset);
        call_at(&network, &client, at, post(2, 1, 1.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(2)], "{offset}");
        assert_eq!(calls(host).len(), 1, "{offset}");
        assert!(host.connection_count() <= 2, "{offset}");
    }
}

/// Part of a response arrives on an idle connection, shortly or long before the next request: the connection is closed,
/// and no request is lost.
#[test]
fn part_of_a_response_on_an_idle_connection_closes_it_and_fails_no_request() {
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

/// A drain arrives while a request waits for a connection within its reuse delay, and for another one that is not
/// established.
#[test]
fn a_request_that_waits_for_a_reuse_delay_is_not_sent_after_a_drain() {
    for is_drained in [false, true] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.get(1);
        network.run_until(10 * MS);
        host.take_received();
        let responded_at = client.take_timed_replies()[0].0 - CLIENT_DELAY;
        let cut = network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Silent);
        client.get(2);
        network.run_for(2 * MS);
        network.sim.heal(cut);
        if is_drained {
            network.run_until(responded_at + REUSE_DELAY - LOCAL_DELAY - 1);
            network
                .discovery
                .send_list(0, &endpoint_list(2, false, &[host_entry(&network.hosts, 0, "terminating")]));
        }
        network.run_for(SECOND);
        assert_eq!(calls(host).len(), usize::from(!is_drained));
    }
}

/// The host hangs while executing a request, the attempt is abandoned, and then a response arrives that no request waits
/// for.
#[test]
fn a_late_response_of_an_abandoned_attempt_answers_no_request() {
    for (call, expected_reply) in [(get(1), "-BUSY"), (post(1, 1, 1.0), "-ERR failed")] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        client.send(call);
        network.run_until(9 * SECOND);
        assert_eq!(client.take_replies(), [expected_reply]);
        let abandoned = calls(host);
        abandoned.iter().for_each(|received| host.send(received.connection, value_reply("late")));
        client.post(2);
        network.run_for(10 * MS);
        abandoned.iter().for_each(|received| host.send(received.connection, value_reply("later")));
        let [second] = &calls(host)[..] else { panic!("one more call") };
        assert!(
            abandoned.iter().all(|received| received.connection != second.connection),
            "on another connection"
        );
        host.send(second.connection, value_reply("second"));
        network.run_for(10 * MS);
        assert_eq!(client.take_replies(), ["second"]);
    }
}

/// All connections to a host are reset: while idle, or with a request in flight, shortly or long after it was sent.
#[test]
fn a_reset_fails_only_an_unsafe_request_in_flight() {
    // How long after the request the reset occurs (none: before it), and whether the request is safe.
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
        let expected_reply = if is_sent { format_id(2) } else { "-ERR failed".to_owned() };
        assert_eq!(client.take_replies(), ["first".to_owned(), expected_reply], "{after:?}, safe: {safe}");
    }
}

/// The response keeps making progress but never ends: the deadline of its request ends it.
#[test]
fn a_response_that_never_ends_is_abandoned_at_the_deadline_of_its_request() {
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
fn a_connection_is_closed_after_its_response_once_the_host_has_closed_four_others() {
    for (closed_before, is_kept) in [(0, true), (2, true), (4, false)] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        for id in 2..2 + closed_before {
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
        assert_eq!(has_ended, !is_kept, "{closed_before} closed");
    }
}
