//! Requests that wait for units while another event races with the counter's response: a client that disconnects, a
//! drain, the timeout, a reload, the end of the connection, the shutdown of the gateway. Each race runs in either order
//! and with both events at the same instant.

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

/// Timeout of a counter call.
const COUNTER_TIMEOUT: Span = 100 * MS;
/// Offset of the racing event, in nanoseconds: well before the other one, just before, at the same instant, just after,
/// and well after.
const OFFSETS: [i64; 5] = [-(MS as i64), -1, 0, 1, MS as i64];

/// Starts a gateway with a client and an open watch, in an epoch in which the total after a counter call proves what the
/// call added. Customers have a burst of ten units and almost no refill.
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

/// Sends a call for two units, and returns the counter call whose response it waits for.
fn wait_for_counter_call(network: &SimulatedNetwork, client: &Client, id: u64) -> Received {
    client.send(post(id, 1, 2.0));
    network.run_for(5 * MS);
    network.counter.take_single()
}

fn offset_time(moment: Span, offset: i64) -> Span {
    moment.checked_add_signed(offset).unwrap()
}

/// Lets the counter respond by itself from now on, with this call already added.
fn count_from(counter: &Peer, call: &Received) {
    let words: Vec<&str> = call.text.split(' ').collect();
    let total = BTreeMap::from([(words[1].to_owned(), words[2].parse().unwrap())]);
    counter.set_behavior(Behavior::Counter(total));
}

/// Encodes the total after this call alone.
fn total(call: &Received) -> bytes::Bytes {
    bulk(call.text.split(' ').nth(2).unwrap())
}

/// Returns the ids of the calls that a host has received since the last call of this function.
fn calls(host: &Peer) -> Vec<String> {
    let received = host.take_received().into_iter();
    received
        .filter(|received| received.text.starts_with("CALL"))
        .map(|received| received.text.split(' ').nth(2).unwrap().into())
        .collect()
}

#[test]
fn a_client_that_disconnects_while_its_units_arrive_uses_up_no_quota() {
    for offset in OFFSETS {
        let (network, client) = start(1);
        let call = wait_for_counter_call(&network, &client, 1);
        let race_at = network.now() + 10 * MS;
        let (disconnects_at, responds_at) =
            (offset_time(race_at - CLIENT_DELAY, offset), race_at - HOST_DELAY);
        let mut steps = [(disconnects_at, true), (responds_at, false)];
        steps.sort();
        for (when, is_disconnect) in steps {
            network.run_until(when);
            if is_disconnect {
                client.close();
            } else {
                network.counter.send(call.connection, total(&call));
                count_from(&network.counter, &call);
            }
        }
        network.run_for(200 * MS);
        let sent = calls(&network.hosts[0]);
        assert!(sent.len() <= usize::from(offset >= 0), "{offset}: forwarded without a client");
        // The granted units serve other requests of the customer: ten units admit five requests of two.
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
fn units_that_arrive_after_the_client_has_disconnected_are_used_by_the_next_request() {
    let (network, client) = start(1);
    let call = wait_for_counter_call(&network, &client, 1);
    client.close();
    network.run_for(10 * COUNTER_TIMEOUT);
    network.counter.send(call.connection, total(&call));
    count_from(&network.counter, &call);
    network.run_for(10 * MS);
    assert_eq!(calls(&network.hosts[0]), [""; 0], "no request waits for the units");
    let other = network.client();
    for id in 2..=6 {
        other.send(post(id, 1, 2.0));
        network.run_for(SECOND);
        assert_eq!(other.take_replies(), [format_id(id)]);
    }
}

#[test]
fn a_request_that_waits_for_units_is_not_forwarded_to_a_host_that_has_drained() {
    for (hosts, offset) in [1, 2].into_iter().flat_map(|hosts| OFFSETS.map(|offset| (hosts, offset))) {
        let (network, client) = start(hosts);
        let call = wait_for_counter_call(&network, &client, 1);
        let race_at = network.now() + 10 * MS;
        let mut steps = [(offset_time(race_at - LOCAL_DELAY, offset), true), (race_at - HOST_DELAY, false)];
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
        // Without a host the request waits for one until its deadline.
        network.run_for(9 * SECOND);
        let notified_at = offset_time(race_at, offset);
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
fn a_response_that_races_with_its_timeout_gives_one_reply_and_loses_no_units() {
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
fn a_reload_that_races_with_a_counter_response_gives_one_reply() {
    for offset in OFFSETS {
        let (network, client) = start(1);
        let new = network.start_peer("new counter", 7000);
        new.set_behavior(Behavior::counter());
        let call = wait_for_counter_call(&network, &client, 1);
        let race_at = network.now() + 10 * MS;
        let mut steps = [(offset_time(race_at, offset), true), (race_at - HOST_DELAY, false)];
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
        // From now on the new counter is asked.
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
fn totals_of_the_old_and_the_new_counter_together_admit_no_more_than_the_quota() {
    // A call is in flight at the old counter when the address changes. Its response arrives before, at or after the
    // change, or after the call's timeout, when the new counter has responded as well.
    for offset in OFFSETS.into_iter().chain([3 * COUNTER_TIMEOUT as i64]) {
        let (network, client) = start(1);
        let new = network.start_peer("new counter", 7000);
        new.set_behavior(Behavior::counter());
        let call = wait_for_counter_call(&network, &client, 1);
        let race_at = network.now() + 10 * MS;
        client.send(post(2, 1, 2.0));
        let mut steps = [(race_at, true), (offset_time(race_at - HOST_DELAY, offset), false)];
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
        assert_eq!(replies.len(), 12, "{offset}: one reply each: {replies:?}");
        let served = replies.iter().filter(|text| !text.starts_with('-')).count();
        assert_eq!(served, 5, "{offset}: {replies:?}");
        assert_eq!(calls(&network.hosts[0]).len(), served, "{offset}");
    }
}

#[test]
fn a_counter_address_that_changes_to_an_unreachable_one_and_back_gives_each_request_one_reply() {
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
    // The call to the address in between hangs until its timeout, and delays neither of the others.
    let third_call = network.counter.take_single();
    for call in [&third_call, &call] {
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
fn a_counter_call_that_its_connection_lost_half_written_adds_nothing_and_is_made_at_the_new_address() {
    let mut setup = Setup::default();
    // A call takes over 60 bytes: half of it is in transit when the counter is killed.
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
        "nothing was added at the killed counter, and no units are lost or counted twice"
    );
}

#[test]
fn a_shutdown_answers_requests_that_wait_for_units_with_and_without_a_counter_response() {
    for counter_responds in [true, false] {
        let (network, client) = start(1);
        network.signal(Signal::Terminate);
        // The call is in flight when the gateway stops accepting, 450 ms later.
        network.run_for(440 * MS);
        let call = wait_for_counter_call(&network, &client, 1);
        network.run_for(40 * MS);
        assert_eq!(client.take_replies(), [""; 0]);
        if counter_responds {
            network.counter.send(call.connection, total(&call));
        }
        network.run_for(2 * SECOND);
        assert_eq!(client.take_replies()[0], format_id(1), "{counter_responds}");
        assert!(network.ended_at().is_some());
    }
}
