//! A discovery agent that goes silent, and addresses that a reload changes while calls are in flight.

use crate::support::{
    bulk, customer_plan, endpoint_list, format_id, host_entry, post, Behavior, Peer, Received, Setup,
    SimulatedNetwork, CLIENT_DELAY, CLOSED, HOST_DELAY, LOCAL_DELAY,
};
use cluster_model::{MS, SECOND};
use gateway::Signal;
use runtime::Span;
use serde_json::json;

/// Time from connecting on one machine until the request has arrived.
const REQUEST_ARRIVAL: Span = 3 * LOCAL_DELAY;

fn texts(received: &[Received]) -> Vec<&str> {
    received.iter().map(|received| received.text.as_str()).collect()
}

fn watch(after: u64) -> String {
    format!("GET /registry/instances?watch=1&after={after} HTTP/1.1")
}

/// Returns the only message received, after checking its text.
fn single_request(peer: &Peer, text: &str) -> Received {
    let single_request = peer.take_single();
    assert_eq!(single_request.text, text);
    single_request
}

#[test]
fn a_silent_watch_is_replaced_after_two_and_a_half_seconds_and_its_successor_after_a_longer_backoff() {
    let network = SimulatedNetwork::start(Setup::default());
    network.run_until(REQUEST_ARRIVAL);
    let first = single_request(&network.discovery, &watch(1));
    network
        .discovery
        .send_list(first.connection, &endpoint_list(2, true, &[host_entry(&network.hosts, 0, "in_service")]));
    let last_response_at = REQUEST_ARRIVAL + LOCAL_DELAY;
    network.run_until(6 * SECOND);
    let received = network.discovery.take_received();
    // The second watch, unlike the first, is silent from the start; the backoff after it is longer.
    let second = last_response_at + 2500 * MS + 20 * MS;
    let third = second + 2500 * MS + 40 * MS;
    let expected = [
        (last_response_at + 2500 * MS + LOCAL_DELAY, 0, CLOSED.to_owned()),
        (second + REQUEST_ARRIVAL, 1, watch(2)),
        (second + 2500 * MS + LOCAL_DELAY, 1, CLOSED.to_owned()),
        (third + REQUEST_ARRIVAL, 2, watch(2)),
    ];
    let received: Vec<_> =
        received.into_iter().map(|received| (received.at, received.connection, received.text)).collect();
    assert_eq!(received, expected);
}

#[test]
fn bytes_of_an_incomplete_list_do_not_keep_a_watch_open() {
    let network = SimulatedNetwork::start(Setup::default());
    network.run_until(REQUEST_ARRIVAL);
    let connection = single_request(&network.discovery, &watch(1)).connection;
    let text = endpoint_list(2, true, &[host_entry(&network.hosts, 0, "in_service")]).to_string();
    for byte in text.chars().take(8) {
        network.discovery.send(connection, crate::support::chunk(&byte.to_string()));
        network.run_for(400 * MS);
    }
    let closed =
        network.discovery.take_received().into_iter().find(|received| received.connection == connection);
    let end = closed.map(|received| (received.at, received.text));
    assert_eq!(end, Some((REQUEST_ARRIVAL + LOCAL_DELAY + 2500 * MS + LOCAL_DELAY, CLOSED.to_owned())));
}

#[test]
fn a_watch_with_only_keep_alives_stays_open_until_a_successor_responds() {
    let network = SimulatedNetwork::start(Setup::default());
    network.run_until(REQUEST_ARRIVAL);
    let connection = single_request(&network.discovery, &watch(1)).connection;
    for _ in 0..30 {
        network.run_for(2 * SECOND);
        network.discovery.send_keep_alive(connection);
    }
    network.run_for(SECOND);
    // The watch might withhold changes that exist. So the gateway opens another watch when this one has brought no list
    // for 2.5 s, and again whenever that one has not responded for as long.
    let (received, last_response_at) = (network.discovery.take_received(), REQUEST_ARRIVAL + LOCAL_DELAY);
    assert!(received
        .iter()
        .all(|received| received.connection != connection
            && [&watch(1), CLOSED].contains(&received.text.as_str())));
    let requested_at: Vec<_> =
        received.iter().filter(|received| received.text != CLOSED).map(|received| received.at).collect();
    let expected: Vec<_> =
        (0..22).map(|n| last_response_at + 2500 * MS + n * 2700 * MS + REQUEST_ARRIVAL).collect();
    assert_eq!(requested_at, expected);
    let last = received.iter().map(|received| received.connection).max().unwrap();
    network.discovery.start_watch_response(last);
    network.run_for(MS);
    let [end] = &network.discovery.take_received()[..] else { panic!("exactly one watch has ended") };
    assert_eq!((end.connection, end.text.as_str()), (connection, CLOSED));
}

#[test]
fn a_list_on_the_old_watch_cancels_its_pending_successor_and_the_next_one_asks_for_later_changes() {
    // The list arrives this long after the successor's request, which gets no response.
    for after in [0, 1, 500 * MS, 2400 * MS] {
        let network = SimulatedNetwork::start(Setup::default());
        network.run_until(REQUEST_ARRIVAL);
        let old = single_request(&network.discovery, &watch(1)).connection;
        let requested_at = REQUEST_ARRIVAL + LOCAL_DELAY + 2500 * MS + REQUEST_ARRIVAL;
        for keep_alive_at in [2 * SECOND, 4 * SECOND] {
            network.run_until(keep_alive_at.min(requested_at + after));
            network.discovery.send_keep_alive(old);
        }
        network.run_until(requested_at + after);
        let successor = single_request(&network.discovery, &watch(1));
        assert_eq!(successor.at, requested_at);
        network
            .discovery
            .send_list(old, &endpoint_list(2, false, &[host_entry(&network.hosts, 0, "terminating")]));
        let notified_at = network.now() + LOCAL_DELAY;
        network.run_until(notified_at + 2 * SECOND);
        network.discovery.send_keep_alive(old);
        network.run_until(notified_at + 2500 * MS + REQUEST_ARRIVAL);
        let received: Vec<_> = network
            .discovery
            .take_received()
            .into_iter()
            .map(|received| (received.at, received.connection, received.text))
            .collect();
        let expected = [
            (notified_at + LOCAL_DELAY, successor.connection, CLOSED.to_owned()),
            (notified_at + 2500 * MS + REQUEST_ARRIVAL, successor.connection + 1, watch(2)),
        ];
        assert_eq!(received, expected, "{after}");
    }
}

#[test]
fn a_list_on_the_old_watch_and_its_successor_leaves_open_the_watch_that_was_first() {
    for offset in [-(MS as i64), -1, 0, 1, MS as i64] {
        let network = SimulatedNetwork::start(Setup::default());
        network.run_until(REQUEST_ARRIVAL);
        let old = single_request(&network.discovery, &watch(1)).connection;
        network.run_until(2 * SECOND);
        network.discovery.send_keep_alive(old);
        network.run_until(3 * SECOND);
        let successor = single_request(&network.discovery, &watch(1)).connection;
        let update = endpoint_list(2, false, &[host_entry(&network.hosts, 0, "terminating")]);
        let responds_at = (3 * SECOND + 10 * MS).checked_add_signed(offset).unwrap();
        let mut steps = [(responds_at, successor), (3 * SECOND + 10 * MS, old)];
        steps.sort();
        for (when, connection) in steps {
            network.run_until(when);
            let head = if connection == successor { crate::support::CHUNKED_HEAD } else { "" };
            network
                .discovery
                .send(connection, format!("{head}{}", crate::support::chunk(&format!("{update}\n"))));
        }
        network.run_for(2 * SECOND);
        let closed_connections: Vec<_> = network
            .discovery
            .take_received()
            .into_iter()
            .map(|received| (received.connection, received.text))
            .collect();
        let (closed, still_open) = if offset < 0 { (old, successor) } else { (successor, old) };
        assert_eq!(closed_connections, [(closed, CLOSED.to_owned())], "{offset}");
        network.discovery.send_keep_alive(still_open);
        network.run_for(SECOND);
        assert_eq!(
            texts(&network.discovery.take_received()),
            [watch(2)],
            "{offset}: the list counts once, whichever watch brought it"
        );
    }
}

#[test]
fn a_keep_alive_counts_even_with_half_a_list_in_the_same_chunk() {
    let network = SimulatedNetwork::start(Setup::default());
    network.run_until(REQUEST_ARRIVAL);
    let connection = single_request(&network.discovery, &watch(1)).connection;
    let text = endpoint_list(2, false, &[host_entry(&network.hosts, 0, "in_service")]).to_string();
    let (half, rest) = text.split_at(text.len() / 2);
    network.run_until(2 * SECOND);
    network.discovery.send(connection, crate::support::chunk(&format!("\n{half}")));
    network.run_for(SECOND);
    network.discovery.send(connection, crate::support::chunk(&format!("{rest}\n")));
    network.run_for(2 * SECOND);
    network.discovery.send_keep_alive(connection);
    network.run_for(600 * MS);
    let received = network.discovery.take_received();
    let closed = received.iter().filter(|received| received.connection == connection).count();
    assert_eq!(closed, 0, "{received:?}");
    assert_eq!(texts(&received).last(), Some(&watch(2).as_str()), "the list has been applied");
}

/// Starts a gateway whose customers have a burst of ten units and almost no refill.
fn with_quota() -> SimulatedNetwork {
    let mut setup = Setup::default();
    setup.settings["domain"]["shared-counter"] = true.into();
    setup.settings["tariffs"] = json!([customer_plan(0.001, 10.0)]);
    let network = SimulatedNetwork::start(setup);
    network.hosts[0].set_behavior(Behavior::serve(4, 0));
    network
}

#[test]
fn sighup_changes_the_counter_address_and_a_call_in_flight_at_the_old_one_still_counts() {
    let network = with_quota();
    let (new, client) = (network.start_peer("new counter", 7000), network.client());
    client.send(post(1, 1, 2.0));
    network.run_until(10 * MS);
    let old_call = network.counter.take_single();
    network.reload(network.discovery.addr, new.addr);
    client.send(post(2, 2, 2.0));
    network.run_until(20 * MS);
    let new_call = new.take_single();
    assert!(old_call.text.starts_with("ADDGET ") && new_call.text.starts_with("ADDGET "));
    // The response to the later call arrives first, as responses for other customers may.
    new.send(new_call.connection, bulk("2"));
    network.run_until(50 * MS);
    assert_eq!(texts(&network.hosts[0].take_received()).len(), 1);
    network.counter.send(old_call.connection, bulk("2"));
    network.run_until(90 * MS);
    assert_eq!(client.take_replies(), [format_id(1), format_id(2)]);
    let [end] = &network.counter.take_received()[..] else { panic!("a closed connection, and no call") };
    assert_eq!(end.text, CLOSED, "no further response is expected there");
}

#[test]
fn sighup_changes_the_discovery_address_and_the_new_list_applies_while_calls_are_in_flight() {
    let network = SimulatedNetwork::start(Setup { hosts: 2, ..Setup::default() });
    let (new, client) = (network.start_peer("new agent", 8500), network.client());
    network.run_until(REQUEST_ARRIVAL);
    client.post(1);
    network.run_until(10 * MS);
    network.discovery.take_received();
    let busy = network.hosts.iter().position(|host| !host.take_received().is_empty()).unwrap();
    network.reload(new.addr, network.counter.addr);
    network.run_for(10 * MS);
    assert_eq!(network.discovery.take_single().text, CLOSED);
    let connection = single_request(&new, "GET /registry/instances HTTP/1.1").connection;
    // The list omits the host that is executing the call.
    let full_list = endpoint_list(3, true, &[host_entry(&network.hosts, 1 - busy, "in_service")]).to_string();
    new.send(
        connection,
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{full_list}", full_list.len()),
    );
    network.run_for(10 * MS);
    assert!(texts(&new.take_received()).contains(&watch(3).as_str()));
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(1, 0)));
    network.hosts[busy].send(0, crate::support::value_reply("late"));
    for id in 2..10 {
        client.post(id);
        network.run_for(10 * MS);
    }
    assert_eq!(client.take_replies()[0], "late", "the host completes its call");
    assert_eq!(
        texts(&network.hosts[busy].take_received()),
        [CLOSED],
        "the host receives no new call, and its connection closes"
    );
}

#[test]
fn sighup_during_shutdown_changes_the_counter_address_and_a_failed_reload_changes_nothing() {
    let network = with_quota();
    let (new, client) = (network.start_peer("new counter", 7000), network.client());
    new.set_behavior(Behavior::counter());
    client.send(post(1, 1, 2.0));
    network.run_until(10 * MS);
    let old_call = network.counter.take_single();
    network.signal(Signal::Terminate);
    network.run_for(50 * MS);
    network.reload(network.discovery.addr, new.addr);
    network.run_for(MS);
    network.remove_configuration();
    network.signal(Signal::Reload);
    network.signal(Signal::Terminate);
    network.counter.send(old_call.connection, bulk("2"));
    client.send(post(2, 2, 2.0));
    network.run_for(100 * MS);
    assert_eq!(client.take_replies(), [format_id(1), format_id(2)]);
    assert_eq!(new.take_received().len(), 1);
    network.run_for(SECOND);
    let closing = 10 * MS + 450 * MS;
    assert_eq!(client.take_timed_replies(), [(closing + CLIENT_DELAY, CLOSED.to_owned())]);
    assert_eq!(network.ended_at(), Some(closing + 500 * MS));
}

#[test]
fn a_reload_with_invalid_operators_files_changes_no_address() {
    let network = with_quota();
    let (counter, agent, client) =
        (network.start_peer("new counter", 7000), network.start_peer("new agent", 8500), network.client());
    network.run_until(REQUEST_ARRIVAL);
    network.discovery.take_received();
    // Names a class that is missing in the active settings; the loader here does not know the settings.
    let route = |class: &str| {
        format!("pool \"p\" {{}}\nroute \"r\" {{\n  classes = \"{class}\"\n  pool = \"p\"\n}}\n")
    };
    network.write_operators(&route("gone"));
    network.reload(agent.addr, counter.addr);
    network.run_for(10 * MS);
    client.send(post(1, 1, 2.0));
    network.run_for(10 * MS);
    assert!(
        counter.take_received().is_empty()
            && agent.take_received().is_empty()
            && network.discovery.take_received().is_empty()
    );
    let call = network.counter.take_single();
    network.counter.send(call.connection, bulk("2"));
    network.run_for(10 * MS);
    assert_eq!(client.take_replies(), [format_id(1)], "and the previous configuration stays active");
    // The same addresses take effect at once, with valid files.
    network.write_operators(&route("order"));
    network.signal(Signal::Reload);
    client.send(post(2, 2, 2.0));
    network.run_for(10 * MS);
    assert_eq!(network.discovery.take_single().text, CLOSED);
    assert!(
        agent.take_single().text.starts_with("GET /registry/instances ")
            && counter.take_single().text.starts_with("ADDGET ")
    );
}

#[test]
fn sighup_that_removes_the_counter_lets_calls_in_flight_finish_and_starts_no_more() {
    for (offset, counter_responds) in
        [-1_i64, 0, 1].into_iter().flat_map(|offset| [(offset, true), (offset, false)])
    {
        let network = with_quota();
        let client = network.client();
        client.send(post(1, 1, 2.0));
        network.run_until(10 * MS);
        let call = network.counter.take_single();
        // A reload keeps the settings of the start; without a counter in them the document needs no address.
        network.write_document(|document| {
            document["counter"] = json!(null);
            document["settings"]["domain"]["shared-counter"] = false.into();
        });
        let mut steps =
            [((20 * MS).checked_add_signed(offset).unwrap(), true), (20 * MS - HOST_DELAY, false)];
        steps.sort();
        for (when, is_reload) in steps {
            network.run_until(when);
            if is_reload {
                network.signal(Signal::Reload);
            } else if counter_responds {
                network.counter.send(call.connection, bulk("2"));
            }
        }
        // For another customer: the counter cannot be asked, and a local grant admits the request.
        client.send(post(2, 2, 2.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(1), format_id(2)], "{offset}, {counter_responds}");
        assert_eq!(
            texts(&network.counter.take_received()),
            [CLOSED],
            "{offset}, {counter_responds}: no call, and the connection closes"
        );
        // Calls resume when the address is configured again.
        network.counter.set_behavior(Behavior::counter());
        network.write_document(|document| document["settings"]["domain"]["shared-counter"] = true.into());
        network.reload(network.discovery.addr, network.counter.addr);
        network.run_for(3 * SECOND);
        client.send(post(3, 3, 2.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(3)], "{offset}, {counter_responds}");
        assert!(
            network.counter.take_received().iter().any(|received| received.text.starts_with("ADDGET")),
            "{offset}, {counter_responds}"
        );
    }
}
