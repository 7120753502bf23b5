//! Requests that wait for units, and what may cross the counter's answer: a client that leaves, a drain, the time-out,
//! a reload, the end of the connection, the end of the gateway. Each crossing is played in either order and at once.

use crate::support::{
    bulk, customer_plan, endpoint_list, format_id, host_entry, post, Behavior, Client, Peer, Received, Setup,
    SimulatedNetwork, CLIENT_DELAY, HOST_DELAY, LOCAL_DELAY,
};
use cluster_model::{MS, SECOND};
use gateway::Signal;
use policy::counter_keys::EPOCH;
use runtime::Span;
use serde_json::json;
use simulated_runtime::{Cut, What};
use std::collections::BTreeMap;

/// How long a call to the counter may take.
const COUNTER_TIMEOUT: Span = 100 * MS;
/// After what the crossing event comes: just before, in the same instant, just after, and well after.
const OFFSETS: [i64; 5] = [-(MS as i64), -1, 0, 1, MS as i64];

/// A gateway whose customers have ten units and next to nothing more, in an epoch in which calls to the counter prove
/// what they added; a client, and a watch.
fn start(hosts: usize) -> (SimulatedNetwork, Client) {
    let mut setup = Setup { hosts, ..Setup::default() };
    setup.settings["domain"]["shared-counter"] = true.into();
    setup.settings["tariffs"] = json!([customer_plan(0.001, 10.0)]);
    let network = SimulatedNetwork::start(setup);
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
    network.run_until(MS);
    let mut at = MS;
    while at < EPOCH {
        at = (at + 2 * SECOND).min(EPOCH);
        network.discovery.send_keep_alive(0);
        network.run_until(at);
    }
    let client = network.client();
    network.run_for(5 * MS);
    (network, client)
}

/// A call that the client has made for two units waits for this answer.
fn wait_for_counter_call(network: &SimulatedNetwork, client: &Client, id: u64) -> Received {
    client.send(post(id, 1, 2.0));
    network.run_for(5 * MS);
    network.counter.take_single()
}

fn offset_time(moment: Span, offset: i64) -> Span {
    moment.checked_add_signed(offset).unwrap()
}

/// From now on the counter adds by itself, and has added this call.
fn count_from(counter: &Peer, call: &Received) {
    let words: Vec<&str> = call.text.split(' ').collect();
    let total = BTreeMap::from([(words[1].to_owned(), words[2].parse().unwrap())]);
    counter.set_behavior(Behavior::Counter(total));
}

/// The total after this call alone.
fn total(call: &Received) -> bytes::Bytes {
    bulk(call.text.split(' ').nth(2).unwrap())
}

/// Calls that came to a host, by id.
fn calls(host: &Peer) -> Vec<String> {
    let received = host.take_received().into_iter();
    received
        .filter(|received| received.text.starts_with("CALL"))
        .map(|received| received.text.split(' ').nth(2).unwrap().into())
        .collect()
}

#[test]
fn a_client_that_leaves_while_units_come_takes_nothing_of_its_customer_s_quota() {
    for offset in OFFSETS {
        let (network, client) = start(1);
        let call = wait_for_counter_call(&network, &client, 1);
        let crossing = network.now() + 10 * MS;
        let (leaves, answers) = (offset_time(crossing - CLIENT_DELAY, offset), crossing - HOST_DELAY);
        let mut steps = [(leaves, true), (answers, false)];
        steps.sort();
        for (when, is_leave) in steps {
            network.run_until(when);
            if is_leave {
                client.close();
            } else {
                network.counter.send(call.connection, total(&call));
                count_from(&network.counter, &call);
            }
        }
        network.run_for(200 * MS);
        let sent = calls(&network.hosts[0]);
        assert!(sent.len() <= usize::from(offset >= 0), "{offset}: sent for nobody");
        // What was bought serves others of the customer: ten units are five requests of two.
        let (other, left) = (network.client(), 5 - sent.len() as u64);
        for id in 2..2 + left {
            other.send(post(id, 1, 2.0));
            network.run_for(300 * MS);
            assert_eq!(other.take_replies(), [format_id(id)], "{offset}");
        }
        other.send(post(99, 1, 2.0));
        network.run_for(300 * MS);
        assert!(other.take_replies()[0].starts_with("-BUSY"), "{offset}: no more than the quota");
    }
}

#[test]
fn a_counter_that_is_back_after_the_client_left_buys_for_the_next_one() {
    let (network, client) = start(1);
    let call = wait_for_counter_call(&network, &client, 1);
    client.close();
    network.run_for(10 * COUNTER_TIMEOUT);
    network.counter.send(call.connection, total(&call));
    count_from(&network.counter, &call);
    network.run_for(10 * MS);
    assert_eq!(calls(&network.hosts[0]), [""; 0], "nobody waits for it");
    let other = network.client();
    for id in 2..=6 {
        other.send(post(id, 1, 2.0));
        network.run_for(SECOND);
        assert_eq!(other.take_replies(), [format_id(id)]);
    }
}

#[test]
fn a_host_that_drains_while_a_request_waits_for_units_does_not_get_it() {
    for (hosts, offset) in [1, 2].into_iter().flat_map(|hosts| OFFSETS.map(|offset| (hosts, offset))) {
        let (network, client) = start(hosts);
        let call = wait_for_counter_call(&network, &client, 1);
        let crossing = network.now() + 10 * MS;
        let mut steps = [(offset_time(crossing - LOCAL_DELAY, offset), true), (crossing - HOST_DELAY, false)];
        steps.sort();
        for (when, is_drain) in steps {
            network.run_until(when);
            if is_drain {
                network
                    .discovery
                    .send_list(0, &endpoint_list(2, false, &[host_entry(&network.hosts, 0, "terminating")]));
            } else {
                network.counter.send(call.connection, total(&call));
            }
        }
        // Without a host it waits for one, as long as that may help.
        network.run_for(9 * SECOND);
        let notified_at = offset_time(crossing, offset);
        let late = network.hosts[0]
            .take_received()
            .into_iter()
            .filter(|received| received.text.starts_with("CALL") && received.sent > notified_at);
        assert_eq!(late.count(), 0, "{hosts} hosts, {offset}");
        let replies = client.take_replies();
        assert_eq!(replies.len(), 1, "{hosts} hosts, {offset}: {replies:?}");
        let is_served = replies[0] == format_id(1);
        assert!(
            is_served || (hosts == 1 && replies[0].starts_with("-BUSY")),
            "{hosts} hosts, {offset}: {replies:?}"
        );
    }
}

#[test]
fn an_answer_and_its_time_out_at_once_are_one_end_and_lose_no_units() {
    for offset in OFFSETS {
        let (network, client) = start(1);
        let call = wait_for_counter_call(&network, &client, 1);
        network.run_until(offset_time(call.sent + COUNTER_TIMEOUT - HOST_DELAY, offset));
        network.counter.send(call.connection, total(&call));
        count_from(&network.counter, &call);
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(1)], "{offset}");
        assert_eq!(calls(&network.hosts[0]), [format_id(1)], "{offset}");
        for id in 2..=5 {
            client.send(post(id, 1, 2.0));
            network.run_for(SECOND);
            assert_eq!(client.take_replies(), [format_id(id)], "{offset}");
        }
    }
}

#[test]
fn a_reload_while_a_call_is_out_gives_one_answer_in_either_order() {
    for offset in OFFSETS {
        let (network, client) = start(1);
        let new = network.start_peer("new counter", 7000);
        new.set_behavior(Behavior::counter());
        let call = wait_for_counter_call(&network, &client, 1);
        let crossing = network.now() + 10 * MS;
        let mut steps = [(offset_time(crossing, offset), true), (crossing - HOST_DELAY, false)];
        steps.sort();
        for (when, is_reload) in steps {
            network.run_until(when);
            if is_reload {
                network.reload(network.discovery.addr, new.addr);
            } else {
                network.counter.send(call.connection, total(&call));
            }
        }
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(1)], "{offset}");
        // Whoever is asked for from now on is the new one.
        client.send(post(2, 2, 2.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(2)], "{offset}");
        assert!(new.take_received().iter().any(|received| received.text.starts_with("ADDGET")), "{offset}");
        assert!(
            !network.counter.take_received().iter().any(|received| received.text.starts_with("ADDGET")),
            "{offset}"
        );
    }
}

#[test]
fn totals_of_a_counter_and_of_the_one_that_it_moved_from_let_in_no_more_than_the_quota() {
    // A call is out at the old one when it moves; its answer comes before, at or after the move, or after the time of
    // the call, when the new one has answered as well.
    for offset in OFFSETS.into_iter().chain([3 * COUNTER_TIMEOUT as i64]) {
        let (network, client) = start(1);
        let new = network.start_peer("new counter", 7000);
        new.set_behavior(Behavior::counter());
        let call = wait_for_counter_call(&network, &client, 1);
        let crossing = network.now() + 10 * MS;
        client.send(post(2, 1, 2.0));
        let mut steps = [(crossing, true), (offset_time(crossing - HOST_DELAY, offset), false)];
        steps.sort();
        for (when, is_reload) in steps {
            network.run_until(when);
            if is_reload {
                network.reload(network.discovery.addr, new.addr);
                client.send(post(3, 1, 2.0));
            } else {
                network.counter.send(call.connection, total(&call));
            }
        }
        for id in 4..=12 {
            network.run_for(300 * MS);
            client.send(post(id, 1, 2.0));
        }
        network.run_for(9 * SECOND);
        let replies = client.take_replies();
        assert_eq!(replies.len(), 12, "{offset}: one answer each: {replies:?}");
        let served = replies.iter().filter(|text| !text.starts_with('-')).count();
        assert_eq!(served, 5, "{offset}: {replies:?}");
        assert_eq!(calls(&network.hosts[0]).len(), served, "{offset}");
    }
}

#[test]
fn a_counter_moved_to_where_nothing_answers_and_back_answers_each_request_once() {
    let (network, client) = start(1);
    let unreachable = network.start_peer("cut counter", 7000);
    network.sim.cut(vec![unreachable.machine.id()], vec![network.gateway_machine_id()], Cut::Silent);
    let call = wait_for_counter_call(&network, &client, 1);
    network.reload(network.discovery.addr, unreachable.addr);
    client.send(post(2, 2, 2.0));
    network.run_for(MS);
    network.reload(network.discovery.addr, network.counter.addr);
    client.send(post(3, 3, 2.0));
    network.run_for(10 * MS);
    // The call to the address between hangs until its time is over, and holds up neither of the others.
    let third = network.counter.take_single();
    for call in [&third, &call] {
        network.counter.send(call.connection, total(call));
    }
    network.run_for(10 * MS);
    assert_eq!(calls(&network.hosts[0]), [format_id(3), format_id(1)]);
    network.run_for(10 * COUNTER_TIMEOUT);
    assert_eq!(client.take_replies(), [format_id(1), format_id(2), format_id(3)]);
    assert_eq!(calls(&network.hosts[0]), [format_id(2)]);
    assert!(unreachable.take_received().is_empty());
}

#[test]
fn a_connection_that_dies_with_a_call_half_written_added_nothing_and_units_come_by_another() {
    let mut setup = Setup::default();
    // A call takes over 60 bytes: half of it is on its way when the counter dies.
    setup.network.window = 32;
    setup.settings["domain"]["shared-counter"] = true.into();
    setup.settings["tariffs"] = json!([customer_plan(0.001, 10.0)]);
    let network = SimulatedNetwork::start(setup);
    network.hosts[0].set_behavior(Behavior::serve(4, 0));
    network.run_until(EPOCH);
    let (new, client, trace) =
        (network.start_peer("new counter", 7000), network.client(), network.trace_packets());
    new.set_behavior(Behavior::counter());
    network.counter.set_read_limit(0);
    client.send(post(1, 1, 2.0));
    network.run_for(10 * MS);
    assert!(network.counter.take_received().is_empty() && trace.count("gateway", &What::Fin) == 0);
    network.reload(network.discovery.addr, new.addr);
    network.run_for(MS);
    network.sim.kill(network.counter.process());
    network.run_for(SECOND);
    assert_eq!(client.take_replies(), [format_id(1)]);
    for id in 2..=5 {
        client.send(post(id, 1, 2.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(id)]);
    }
    client.send(post(6, 1, 2.0));
    network.run_for(SECOND);
    assert!(
        client.take_replies()[0].starts_with("-BUSY"),
        "nothing was added where it died, and nothing is lost or doubled"
    );
}

#[test]
fn a_stop_answers_requests_that_wait_for_units_whether_the_counter_does_or_not() {
    for answers in [true, false] {
        let (network, client) = start(1);
        network.signal(Signal::Terminate);
        // When it accepts no more, 450 ms later, the call is out.
        network.run_for(440 * MS);
        let call = wait_for_counter_call(&network, &client, 1);
        network.run_for(40 * MS);
        assert_eq!(client.take_replies(), [""; 0]);
        if answers {
            network.counter.send(call.connection, total(&call));
        }
        network.run_for(2 * SECOND);
        assert_eq!(client.take_replies()[0], format_id(1), "{answers}");
        assert!(network.ended_at().is_some());
    }
}
