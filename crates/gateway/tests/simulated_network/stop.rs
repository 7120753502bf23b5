//! SIGTERM with calls in flight and orders still coming.

use crate::support::{
    chunk, command, endpoint_list, format_id, get, host_entry, post, value_reply, Behavior, Received, Setup,
    SimulatedNetwork, CHUNKED_HEAD, CLIENT_DELAY, CLOSED, CONNECTION_ERROR,
};
use cluster_model::rng::Rng;
use cluster_model::{MS, SECOND};
use gateway::Signal;
use runtime::Span;
use simulated_runtime::What;
use std::collections::BTreeMap;

/// When SIGTERM comes, and for how long after it new connections are taken.
const SIGTERM_AT: Span = 505 * MS;
const STILL_ACCEPTING: Span = 450 * MS;
/// Orders have this long; hosts that take under half of it answer well within time, as an order may wait for
/// the other half until it is sent.
const LATENCY_OBJECTIVE: Span = 600 * MS;
/// Ids of orders start here.
const FIRST_ORDER_ID: u64 = 1_000;

/// A gateway with 40 calls in flight, and ten orders before, during and after its stop.
struct Scenario {
    seed: u64,
    /// Hosts take this long for each call, and for four at once.
    service_time: Span,
    signal: bool,
}

/// What became of an order.
#[derive(Debug)]
struct Order {
    sent_at: Span,
    answers: Vec<(Span, String)>,
    /// How often it came whole to a host.
    received: usize,
}

impl Order {
    fn texts(&self) -> Vec<&str> {
        self.answers.iter().map(|(_, text)| text.as_str()).collect()
    }

    /// What it was answered, whatever came after.
    fn answer(&self) -> Option<&str> {
        self.texts().into_iter().find(|text| ![CLOSED, CONNECTION_ERROR].contains(text))
    }
}

impl Scenario {
    fn start(&self) -> SimulatedNetwork {
        let mut setup = Setup { seed: self.seed, hosts: 10, ..Setup::default() };
        setup.network.jitter = 0.5;
        for class in setup.settings["services"].as_array_mut().unwrap() {
            class["aim"] = LATENCY_OBJECTIVE.into();
        }
        let network = SimulatedNetwork::start(setup);
        network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, self.service_time)));
        network
    }

    fn run(&self) -> Vec<Order> {
        let network = self.start();
        let mut rng = Rng::stream(self.seed, "orders", 0);
        let mut clients: Vec<_> = (0..50).map(|_| network.client()).collect();
        network.run_until(500 * MS);
        let in_flight: Vec<_> = clients.drain(..40).collect();
        (1..).zip(&in_flight).for_each(|(id, client)| client.send(get(id)));
        if self.signal {
            let signals = network.signal_sender();
            network.schedule(SIGTERM_AT, move |_| signals.send(Signal::Terminate).unwrap());
        }
        let mut asked: Vec<Span> = (0..10).map(|_| 500 * MS + rng.below(900 * MS)).collect();
        asked.sort_unstable();
        // Every other one on a connection that has stood open, the rest on new ones.
        for (number, (at, client)) in asked.iter().zip(&mut clients).enumerate() {
            network.run_until(*at);
            if number % 2 == 0 {
                *client = network.client();
            }
            client.send(post(FIRST_ORDER_ID + number as u64, 1, 1.0));
        }
        network.run_for(4 * SECOND);
        assert_eq!(network.ended_at().is_some(), self.signal);
        for (id, client) in (1..).zip(&in_flight) {
            assert_eq!(
                client.take_replies()[0],
                format_id(id),
                "a call that was in flight, seed {}",
                self.seed
            );
        }
        let received: Vec<Received> = network.hosts.iter().flat_map(|host| host.take_received()).collect();
        let count =
            |id: u64| received.iter().filter(|received| received.text.contains(&format_id(id))).count();
        let orders = (FIRST_ORDER_ID..).zip(asked.into_iter().zip(&clients));
        orders
            .map(|(id, (sent_at, client))| Order {
                sent_at,
                answers: client.take_timed_replies(),
                received: count(id),
            })
            .collect()
    }
}

#[test]
fn orders_around_the_stop_are_served_or_closed_unread_and_never_fail() {
    let mut outcomes = BTreeMap::new();
    for seed in 0..200 {
        let service_time = (10 + Rng::stream(seed, "each", 0).below(280)) * MS;
        for (id, order) in (FIRST_ORDER_ID..).zip((Scenario { seed, service_time, signal: true }).run()) {
            let value = format_id(id);
            let how = match order.texts()[..] {
                [text, CLOSED] if text == value => "served",
                // The client sends it again elsewhere, since it cannot have run.
                [CLOSED | CONNECTION_ERROR] => "closed unread",
                _ => panic!("seed {seed}: {order:?}"),
            };
            assert_eq!(order.received, usize::from(how == "served"), "seed {seed}: {order:?}");
            let late = order.sent_at > SIGTERM_AT + STILL_ACCEPTING - 5 * MS;
            assert!(how == "served" || late, "seed {seed}: {order:?}");
            *outcomes.entry(how).or_insert(0) += 1;
        }
    }
    assert!(outcomes["served"] > 900 && outcomes["closed unread"] > 900, "{outcomes:?}");
}

/// Where a stop was seen to fail orders, hosts took longer than what was left of the orders' time: an attempt
/// was given up that may have run. The stop has no part in it.
#[test]
fn orders_fail_by_hosts_that_take_too_long_with_a_stop_and_without() {
    let mut failed = 0;
    for seed in 0..20 {
        let [stopped, served] =
            [true, false].map(|signal| Scenario { seed, service_time: 400 * MS, signal }.run());
        for (order, without) in stopped.iter().zip(&served) {
            if order.sent_at < SIGTERM_AT + STILL_ACCEPTING - 5 * MS {
                assert_eq!(order.answer(), without.answer(), "seed {seed}: {order:?}");
            }
            if order.answer() == Some("-ERR failed") {
                failed += 1;
                assert_eq!(order.received, 1, "seed {seed}: {order:?}");
                let took = order.answers[0].0 - order.sent_at;
                assert!(
                    (LATENCY_OBJECTIVE..LATENCY_OBJECTIVE + 5 * MS).contains(&took),
                    "seed {seed}: {order:?}"
                );
            }
        }
    }
    assert!(failed > 20, "{failed}");
}

#[test]
fn a_client_that_writes_on_gets_its_last_answer_whole_and_no_reset() {
    let network = SimulatedNetwork::start(Setup::default());
    let (trace, client) = (network.trace_packets(), network.client());
    client.get(1);
    network.run_until(10 * MS);
    network.signal(Signal::Terminate);
    network.run_until(500 * MS);
    let value = "x".repeat(60_000);
    network.hosts[0].send(0, value_reply(&value));
    // It sends a command each 50 us, up to a while after the gateway has ended its sending.
    let mut replies = Vec::new();
    while !replies.contains(&CLOSED.to_owned()) {
        client.send(command(&["PING"]));
        network.run_for(50_000);
        replies.extend(client.take_replies());
    }
    for _ in 0..100 {
        client.send(command(&["PING"]));
        network.run_for(50_000);
    }
    let before = network.ended_at();
    client.close();
    let closed = network.now();
    network.run_for(SECOND);
    assert_eq!(replies[0], value);
    assert!(replies[1..replies.len() - 1].iter().all(|text| text == "-ERR stopping"), "{:?}", &replies[1..]);
    // A reset would make its system throw away what it has not read.
    assert_eq!(trace.arrivals("gateway", "clients", &What::Reset).len(), 0);
    assert_eq!((before, network.ended_at()), (None, Some(closed + CLIENT_DELAY)));
}

#[test]
fn a_client_that_stays_holds_up_the_stop_for_half_a_second() {
    let network = SimulatedNetwork::start(Setup::default());
    let client = network.client();
    network.run_until(10 * MS);
    network.signal(Signal::Terminate);
    network.run_for(2 * SECOND);
    let closing = 10 * MS + STILL_ACCEPTING;
    assert_eq!(client.take_timed_replies(), [(closing + CLIENT_DELAY, CLOSED.to_owned())]);
    assert_eq!(network.ended_at(), Some(closing + 500 * MS));
}

#[test]
fn a_gateway_that_is_told_to_end_before_it_is_ready_never_says_that_it_is() {
    // It is ready after a second, as no list comes.
    let around = [SECOND - MS, SECOND - 1, SECOND, SECOND + 1];
    for term in [0, 1, 500 * MS, 560 * MS].into_iter().chain(around) {
        let network = SimulatedNetwork::start(Setup { hosts: 2, ..Setup::default() });
        network.discovery.set_behavior(Behavior::Manual);
        network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
        let waits = network.client_with_call(get(1), usize::MAX);
        network.run_until(term);
        network.signal(Signal::Terminate);
        // As long as it accepts, a front may ask.
        let mut pings = Vec::new();
        while network.now() < term + STILL_ACCEPTING - 2 * CLIENT_DELAY {
            pings.push(network.client_with_call(command(&["PING"]), usize::MAX));
            network.run_for(10 * MS);
        }
        network.run_for(SECOND);
        assert!(pings.len() > 40);
        for ping in &pings {
            assert_eq!(ping.take_replies()[0], "-ERR stopping", "{term}");
        }
        assert_eq!(
            waits.take_replies(),
            [format_id(1), CLOSED.to_owned()],
            "{term}: what waited for a list is served"
        );
        network.run_for(2 * SECOND);
        assert!(network.ended_at().is_some(), "{term}");
    }
}

#[test]
fn a_reload_and_the_stop_in_one_instant_both_count_in_either_order() {
    for signals in [[Signal::Reload, Signal::Terminate], [Signal::Terminate, Signal::Reload]] {
        let network = SimulatedNetwork::start(Setup::default());
        let (agent, client) = (network.start_peer("new agent", 8500), network.client());
        client.post(1);
        network.run_until(10 * MS);
        let call = network.hosts[0].take_single();
        network.write_document(|document| document["discovery"] = agent.addr.to_string().into());
        signals.into_iter().for_each(|signal| network.signal(signal));
        network.run_for(10 * MS);
        assert!(agent.take_single().text.starts_with("GET /registry/instances "), "{signals:?}");
        assert_eq!(
            network.discovery.take_received().last().map(|received| received.text.as_str()),
            Some(CLOSED),
            "{signals:?}"
        );
        network.hosts[0].send(call.connection, value_reply("served"));
        network.run_for(3 * SECOND);
        let closing = 10 * MS + STILL_ACCEPTING;
        assert_eq!(client.take_replies(), ["served", CLOSED], "{signals:?}");
        assert_eq!(network.ended_at(), Some(closing + 500 * MS), "{signals:?}");
    }
}

#[test]
fn a_drain_and_a_reload_after_a_second_word_to_end_still_count() {
    for terms in 1..=3 {
        let network = SimulatedNetwork::start(Setup { hosts: 2, ..Setup::default() });
        network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
        let (agent, client) = (network.start_peer("new agent", 8500), network.client());
        network.run_until(10 * MS);
        (0..terms).for_each(|_| network.signal(Signal::Terminate));
        network.run_until(50 * MS);
        network
            .discovery
            .send_list(0, &endpoint_list(2, false, &[host_entry(&network.hosts, 0, "terminating")]));
        network.run_until(51 * MS);
        for id in 1..=16 {
            client.get(id);
            network.run_for(20 * MS);
        }
        assert_eq!(client.take_replies().len(), 16, "told to end {terms} times");
        assert!(
            network.hosts[0].take_received().iter().all(|received| !received.text.starts_with("CALL")),
            "{terms} times"
        );
        network.reload(agent.addr, network.counter.addr);
        network.run_for(10 * MS);
        assert!(agent.take_single().text.starts_with("GET /registry/instances "), "{terms} times");
    }
}

#[test]
fn a_malformed_command_and_the_stop_are_one_error_behind_what_is_owed_in_either_order() {
    let error = "-ERR protocol error: ";
    // Two calls are owed, or nothing is; the stop, and the moment at which connections begin to close, cross it.
    for (has_pending_calls, at, offset) in [true, false].into_iter().flat_map(|has_pending_calls| {
        [0, STILL_ACCEPTING]
            .into_iter()
            .flat_map(move |at| [-(MS as i64), -1, 0, 1, MS as i64].map(|by| (has_pending_calls, at, by)))
    }) {
        let network = SimulatedNetwork::start(Setup::default());
        let (client, other) = (network.client(), network.client());
        network.run_until(10 * MS);
        if has_pending_calls {
            client.get(1);
            client.get(2);
        }
        other.get(3);
        network.run_until(SIGTERM_AT - at);
        network.hosts[0].set_behavior(Behavior::Manual);
        let calls = network.hosts[0].take_received();
        let signals = network.signal_sender();
        network.schedule(SIGTERM_AT - at, move |_| signals.send(Signal::Terminate).unwrap());
        network.run_until((SIGTERM_AT - CLIENT_DELAY).checked_add_signed(offset).unwrap().max(network.now()));
        client.send("*-7\r\n");
        client.send(command(&["PING"]));
        network.run_until(SIGTERM_AT + 100 * MS);
        // The last first: answers go in the order of the commands.
        calls.iter().rev().for_each(|call| {
            network.hosts[0].send(call.connection, value_reply(call.text.split(' ').nth(2).unwrap()))
        });
        network.run_for(SECOND);
        let (replies, case) = (client.take_replies(), format!("owed {has_pending_calls}, {at}, {offset}"));
        let Some((answers, rest)) = replies.split_at_checked(if has_pending_calls { 2 } else { 0 }) else {
            panic!("{case}: {replies:?}")
        };
        assert_eq!(answers, &[format_id(1), format_id(2)][..answers.len()], "{case}");
        match rest {
            [text, end] => assert!(text.starts_with(error) && end == CLOSED, "{case}: {replies:?}"),
            // It came to a connection that was closed between two requests.
            [end] => assert!(
                !has_pending_calls
                    && at > 0
                    && offset >= 0
                    && [CLOSED, CONNECTION_ERROR].contains(&end.as_str()),
                "{case}: {replies:?}"
            ),
            _ => panic!("{case}: {replies:?}"),
        }
        assert_eq!(other.take_replies(), [format_id(3), CLOSED.to_owned()], "{case}: nobody else is touched");
        assert!(
            network.hosts[0].take_received().iter().all(|received| !received.text.starts_with("CALL")),
            "{case}"
        );
        network.run_for(2 * SECOND);
        assert!(network.ended_at().is_some(), "{case}");
    }
}

/// SIGTERM comes before the first list does, which is told during the stop or never: then the list known before the
/// start has to do, a second after it.
#[test]
fn a_stop_before_the_gateway_is_ready_answers_what_has_come_and_is_never_ready() {
    for list_arrives in [true, false] {
        let network = SimulatedNetwork::start(Setup::default());
        network.discovery.set_behavior(Behavior::Manual);
        network.hosts[0].set_behavior(Behavior::serve(1, MS));
        let (client, asker) = (network.client(), network.client());
        client.get(1);
        for at in [50 * MS, 150 * MS, 350 * MS] {
            network.run_until(at);
            asker.send(command(&["PING"]));
            if at == 50 * MS {
                network.run_until(100 * MS);
                network.signal(Signal::Terminate);
            } else if at == 150 * MS && list_arrives {
                let asked = network.discovery.take_received().remove(0);
                let update = chunk(&format!("{}\n", endpoint_list(1, false, &[])));
                network.discovery.send(asked.connection, format!("{CHUNKED_HEAD}{update}"));
            }
        }
        network.run_until(3 * SECOND);
        assert_eq!(client.take_replies(), [&format_id(1), CLOSED], "tells: {list_arrives}");
        assert_eq!(
            asker.take_replies(),
            ["-ERR starting", "-ERR stopping", "-ERR stopping", CLOSED],
            "tells: {list_arrives}"
        );
        let last = if list_arrives { 100 * MS + STILL_ACCEPTING } else { SECOND } + 10 * MS + 500 * MS;
        assert!(
            network.ended_at().is_some_and(|at| at <= last),
            "{:?}, tells: {list_arrives}",
            network.ended_at()
        );
    }
}
