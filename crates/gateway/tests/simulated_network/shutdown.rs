//! Graceful shutdown with calls in flight while orders keep arriving.

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

/// Time at which SIGTERM is sent.
const SIGTERM_AT: Span = 505 * MS;
/// How long new connections are accepted after SIGTERM.
const STILL_ACCEPTING: Span = 450 * MS;
/// Latency objective of orders. Hosts that take under half of it answer well in time, as an order may wait for the other
/// half before it is forwarded.
const LATENCY_OBJECTIVE: Span = 600 * MS;
/// Id of the first order; the others follow.
const FIRST_ORDER_ID: u64 = 1_000;

/// A gateway with 40 calls in flight, and ten orders before, during and after its shutdown.
struct Scenario {
    seed: u64,
    /// Service time of a call at a host; each host serves four calls at once.
    service_time: Span,
    signal: bool,
}

/// The outcome of an order.
#[derive(Debug)]
struct Order {
    sent_at: Span,
    replies: Vec<(Span, String)>,
    /// How often a host has received the complete order.
    received: usize,
}

impl Order {
    fn texts(&self) -> Vec<&str> {
        self.replies.iter().map(|(_, text)| text.as_str()).collect()
    }

    /// Returns the reply to the order, ignoring the end of the connection.
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
        let mut send_times: Vec<Span> = (0..10).map(|_| 500 * MS + rng.below(900 * MS)).collect();
        send_times.sort_unstable();
        // Every other order is sent on a new connection, the rest on connections that have been open for long.
        for (number, (at, client)) in send_times.iter().zip(&mut clients).enumerate() {
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
        let orders = (FIRST_ORDER_ID..).zip(send_times.into_iter().zip(&clients));
        orders
            .map(|(id, (sent_at, client))| Order {
                sent_at,
                replies: client.take_timed_replies(),
                received: count(id),
            })
            .collect()
    }
}

#[test]
fn orders_around_the_shutdown_are_served_or_closed_unread_and_never_fail() {
    let mut outcomes = BTreeMap::new();
    for seed in 0..200 {
        let service_time = (10 + Rng::stream(seed, "each", 0).below(280)) * MS;
        for (id, order) in (FIRST_ORDER_ID..).zip((Scenario { seed, service_time, signal: true }).run()) {
            let value = format_id(id);
            let outcome = match order.texts()[..] {
                [text, CLOSED] if text == value => "served",
                // The client may retry elsewhere, since the order cannot have been executed.
                [CLOSED | CONNECTION_ERROR] => "closed unread",
                _ => panic!("seed {seed}: {order:?}"),
            };
            assert_eq!(order.received, usize::from(outcome == "served"), "seed {seed}: {order:?}");
            let late = order.sent_at > SIGTERM_AT + STILL_ACCEPTING - 5 * MS;
            assert!(outcome == "served" || late, "seed {seed}: {order:?}");
            *outcomes.entry(outcome).or_insert(0) += 1;
        }
    }
    assert!(outcomes["served"] > 900 && outcomes["closed unread"] > 900, "{outcomes:?}");
}

/// Orders were seen to fail during a shutdown because hosts took longer than the remaining deadline: the gateway gave up
/// an attempt that may have been executed. The shutdown does not cause this.
#[test]
fn orders_fail_at_slow_hosts_with_and_without_a_shutdown() {
    let mut failed = 0;
    for seed in 0..20 {
        let [stopped, served] =
            [true, false].map(|signal| Scenario { seed, service_time: 400 * MS, signal }.run());
        for (order, order_without_shutdown) in stopped.iter().zip(&served) {
            if order.sent_at < SIGTERM_AT + STILL_ACCEPTING - 5 * MS {
                assert_eq!(order.answer(), order_without_shutdown.answer(), "seed {seed}: {order:?}");
            }
            if order.answer() == Some("-ERR failed") {
                failed += 1;
                assert_eq!(order.received, 1, "seed {seed}: {order:?}");
                let latency = order.replies[0].0 - order.sent_at;
                assert!(
                    (LATENCY_OBJECTIVE..LATENCY_OBJECTIVE + 5 * MS).contains(&latency),
                    "seed {seed}: {order:?}"
                );
            }
        }
    }
    assert!(failed > 20, "{failed}");
}

#[test]
fn a_client_that_keeps_writing_during_shutdown_gets_its_last_reply_complete_and_no_reset() {
    let network = SimulatedNetwork::start(Setup::default());
    let (trace, client) = (network.trace_packets(), network.client());
    client.get(1);
    network.run_until(10 * MS);
    network.signal(Signal::Terminate);
    network.run_until(500 * MS);
    let value = "x".repeat(60_000);
    network.hosts[0].send(0, value_reply(&value));
    // The client sends a command every 50 us, also for a while after the gateway has closed its side.
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
    // A reset would make the client's kernel discard replies that it has not read.
    assert_eq!(trace.arrivals("gateway", "clients", &What::Reset).len(), 0);
    assert_eq!((before, network.ended_at()), (None, Some(closed + CLIENT_DELAY)));
}

#[test]
fn a_client_that_does_not_close_delays_the_shutdown_by_half_a_second() {
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
fn a_gateway_that_gets_sigterm_before_it_is_ready_never_reports_ready() {
    // Without a list from discovery the gateway is ready after a second.
    let around = [SECOND - MS, SECOND - 1, SECOND, SECOND + 1];
    for term in [0, 1, 500 * MS, 560 * MS].into_iter().chain(around) {
        let network = SimulatedNetwork::start(Setup { hosts: 2, ..Setup::default() });
        network.discovery.set_behavior(Behavior::Manual);
        network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
        let waiting_client = network.client_with_call(get(1), usize::MAX);
        network.run_until(term);
        network.signal(Signal::Terminate);
        // Load balancers may send health checks as long as the gateway accepts connections.
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
            waiting_client.take_replies(),
            [format_id(1), CLOSED.to_owned()],
            "{term}: the call that waited for a list is served"
        );
        network.run_for(2 * SECOND);
        assert!(network.ended_at().is_some(), "{term}");
    }
}

#[test]
fn a_reload_and_a_sigterm_at_the_same_instant_both_take_effect_in_either_order() {
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
fn a_drain_and_a_reload_take_effect_after_repeated_sigterm() {
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
        assert_eq!(client.take_replies().len(), 16, "{terms} times SIGTERM");
        assert!(
            network.hosts[0].take_received().iter().all(|received| !received.text.starts_with("CALL")),
            "{terms} times SIGTERM"
        );
        network.reload(agent.addr, network.counter.addr);
        network.run_for(10 * MS);
        assert!(agent.take_single().text.starts_with("GET /registry/instances "), "{terms} times SIGTERM");
    }
}

#[test]
fn a_malformed_command_that_races_with_the_shutdown_gives_one_error_after_the_pending_replies() {
    let error = "-ERR protocol error: ";
    // With two pending calls or none, the malformed command races with the SIGTERM, or with the time at which connections
    // begin to close.
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
        // Hosts respond in reverse order; replies are sent in the order of the commands.
        calls.iter().rev().for_each(|call| {
            network.hosts[0].send(call.connection, value_reply(call.text.split(' ').nth(2).unwrap()))
        });
        network.run_for(SECOND);
        let (replies, case) =
            (client.take_replies(), format!("pending calls: {has_pending_calls}, {at}, {offset}"));
        let Some((pending_replies, rest)) = replies.split_at_checked(if has_pending_calls { 2 } else { 0 })
        else {
            panic!("{case}: {replies:?}")
        };
        assert_eq!(pending_replies, &[format_id(1), format_id(2)][..pending_replies.len()], "{case}");
        match rest {
            [text, end] => assert!(text.starts_with(error) && end == CLOSED, "{case}: {replies:?}"),
            // The command arrived on a connection that was closed between two requests.
            [end] => assert!(
                !has_pending_calls
                    && at > 0
                    && offset >= 0
                    && [CLOSED, CONNECTION_ERROR].contains(&end.as_str()),
                "{case}: {replies:?}"
            ),
            _ => panic!("{case}: {replies:?}"),
        }
        assert_eq!(
            other.take_replies(),
            [format_id(3), CLOSED.to_owned()],
            "{case}: other clients are not affected"
        );
        assert!(
            network.hosts[0].take_received().iter().all(|received| !received.text.starts_with("CALL")),
            "{case}"
        );
        network.run_for(2 * SECOND);
        assert!(network.ended_at().is_some(), "{case}");
    }
}

/// SIGTERM arrives before the first list, which arrives during the shutdown or never. In the latter case the gateway uses
/// its initial list, a second after the start.
#[test]
fn a_shutdown_before_the_gateway_is_ready_answers_received_calls_and_never_reports_ready() {
    for list_arrives in [true, false] {
        let network = SimulatedNetwork::start(Setup::default());
        network.discovery.set_behavior(Behavior::Manual);
        network.hosts[0].set_behavior(Behavior::serve(1, MS));
        let (client, health_checker) = (network.client(), network.client());
        client.get(1);
        for at in [50 * MS, 150 * MS, 350 * MS] {
            network.run_until(at);
            health_checker.send(command(&["PING"]));
            if at == 50 * MS {
                network.run_until(100 * MS);
                network.signal(Signal::Terminate);
            } else if at == 150 * MS && list_arrives {
                let watch_request = network.discovery.take_received().remove(0);
                let update = chunk(&format!("{}\n", endpoint_list(1, false, &[])));
                network.discovery.send(watch_request.connection, format!("{CHUNKED_HEAD}{update}"));
            }
        }
        network.run_until(3 * SECOND);
        assert_eq!(client.take_replies(), [&format_id(1), CLOSED], "list arrives: {list_arrives}");
        assert_eq!(
            health_checker.take_replies(),
            ["-ERR starting", "-ERR stopping", "-ERR stopping", CLOSED],
            "list arrives: {list_arrives}"
        );
        let last = if list_arrives { 100 * MS + STILL_ACCEPTING } else { SECOND } + 10 * MS + 500 * MS;
        assert!(
            network.ended_at().is_some_and(|at| at <= last),
            "{:?}, list arrives: {list_arrives}",
            network.ended_at()
        );
    }
}
