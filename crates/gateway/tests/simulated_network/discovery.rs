//! Discovery that falls silent, and addresses that move while calls are out.

use crate::support::{
    bulk, customer_plan, endpoint_list, format_id, host_entry, post, Behavior, Peer, Received, Setup,
    SimulatedNetwork, CLIENT_DELAY, CLOSED, HOST_DELAY, LOCAL_DELAY,
};
use cluster_model::{MS, SECOND};
use gateway::Signal;
use runtime::Span;
use serde_json::json;

/// Between asking for a connection on one machine and a question that is there.
const REQUEST_ARRIVAL: Span = 3 * LOCAL_DELAY;

fn texts(received: &[Received]) -> Vec<&str> {
    received.iter().map(|received| received.text.as_str()).collect()
}

fn watch(after: u64) -> String {
    format!("GET /registry/instances?watch=1&after={after} HTTP/1.1")
}

/// The only thing seen, which is a question.
fn single_request(peer: &Peer, text: &str) -> Received {
    let single_request = peer.take_single();
    assert_eq!(single_request.text, text);
    single_request
}

#[test]
fn a_silent_watch_is_replaced_after_two_and_a_half_seconds_and_twice_within_six() {
    let network = SimulatedNetwork::start(Setup::default());
    network.run_until(REQUEST_ARRIVAL);
    let first = single_request(&network.discovery, &watch(1));
    network
        .discovery
        .send_list(first.connection, &endpoint_list(2, true, &[host_entry(&network.hosts, 0, "in_service")]));
    let last_response_at = REQUEST_ARRIVAL + LOCAL_DELAY;
    network.run_until(6 * SECOND);
    let received = network.discovery.take_received();
    // The second, unlike the first, is silent from the start; the pause after it is longer.
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
fn half_a_list_keeps_no_watch_alive() {
    let network = SimulatedNetwork::start(Setup::default());
    network.run_until(REQUEST_ARRIVAL);
    let connection = single_request(&network.discovery, &watch(1)).connection;
    let text = endpoint_list(2, true, &[host_entry(&network.hosts, 0, "in_service")]).to_string();
    for byte in text.chars().take(8) {
        network.discovery.send(connection, crate::support::chunk(&byte.to_string()));
        network.run_for(400 * MS);
    }
    let ends =
        network.discovery.take_received().into_iter().find(|received| received.connection == connection);
    let end = ends.map(|received| (received.at, received.text));
    assert_eq!(end, Some((REQUEST_ARRIVAL + LOCAL_DELAY + 2500 * MS + LOCAL_DELAY, CLOSED.to_owned())));
}

#[test]
fn a_watch_with_empty_lines_alone_stays_until_a_successor_answers() {
    let network = SimulatedNetwork::start(Setup::default());
    network.run_until(REQUEST_ARRIVAL);
    let connection = single_request(&network.discovery, &watch(1)).connection;
    for _ in 0..30 {
        network.run_for(2 * SECOND);
        network.discovery.send_keep_alive(connection);
    }
    network.run_for(SECOND);
    // It may tell nothing where there is something to tell: another is asked for when it has told nothing for so
    // long, and again when that one has not answered for as long.
    let (received, last_response_at) = (network.discovery.take_received(), REQUEST_ARRIVAL + LOCAL_DELAY);
    assert!(received
        .iter()
        .all(|received| received.connection != connection
            && [&watch(1), CLOSED].contains(&received.text.as_str())));
    let asked: Vec<_> =
        received.iter().filter(|received| received.text != CLOSED).map(|received| received.at).collect();
    let expected: Vec<_> =
        (0..22).map(|n| last_response_at + 2500 * MS + n * 2700 * MS + REQUEST_ARRIVAL).collect();
    assert_eq!(asked, expected);
    let last = received.iter().map(|received| received.connection).max().unwrap();
    network.discovery.start_watch_response(last);
    network.run_for(MS);
    let [end] = &network.discovery.take_received()[..] else { panic!("one has ended") };
    assert_eq!((end.connection, end.text.as_str()), (connection, CLOSED));
}

#[test]
fn a_list_on_the_old_watch_drops_the_call_for_its_successor_and_another_asks_for_what_follows() {
    // So long after the question for the successor, which gets no answer.
    for after in [0, 1, 500 * MS, 2400 * MS] {
        let network = SimulatedNetwork::start(Setup::default());
        network.run_until(REQUEST_ARRIVAL);
        let old = single_request(&network.discovery, &watch(1)).connection;
        let asked = REQUEST_ARRIVAL + LOCAL_DELAY + 2500 * MS + REQUEST_ARRIVAL;
        for keep_alive_at in [2 * SECOND, 4 * SECOND] {
            network.run_until(keep_alive_at.min(asked + after));
            network.discovery.send_keep_alive(old);
        }
        network.run_until(asked + after);
        let successor = single_request(&network.discovery, &watch(1));
        assert_eq!(successor.at, asked);
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
fn a_list_on_the_old_watch_and_the_answer_of_its_successor_leave_one_open_that_has_told_it() {
    for offset in [-(MS as i64), -1, 0, 1, MS as i64] {
        let network = SimulatedNetwork::start(Setup::default());
        network.run_until(REQUEST_ARRIVAL);
        let old = single_request(&network.discovery, &watch(1)).connection;
        network.run_until(2 * SECOND);
        network.discovery.send_keep_alive(old);
        network.run_until(3 * SECOND);
        let successor = single_request(&network.discovery, &watch(1)).connection;
        let update = endpoint_list(2, false, &[host_entry(&network.hosts, 0, "terminating")]);
        let answers = (3 * SECOND + 10 * MS).checked_add_signed(offset).unwrap();
        let mut steps = [(answers, successor), (3 * SECOND + 10 * MS, old)];
        steps.sort();
        for (when, connection) in steps {
            network.run_until(when);
            let head = if connection == successor { crate::support::CHUNKED_HEAD } else { "" };
            network
                .discovery
                .send(connection, format!("{head}{}", crate::support::chunk(&format!("{update}\n"))));
        }
        network.run_for(2 * SECOND);
        let ends: Vec<_> = network
            .discovery
            .take_received()
            .into_iter()
            .map(|received| (received.connection, received.text))
            .collect();
        let (closed, stays) = if offset < 0 { (old, successor) } else { (successor, old) };
        assert_eq!(ends, [(closed, CLOSED.to_owned())], "{offset}");
        network.discovery.send_keep_alive(stays);
        network.run_for(SECOND);
        assert_eq!(
            texts(&network.discovery.take_received()),
            [watch(2)],
            "{offset}: told once, whoever told it"
        );
    }
}

#[test]
fn an_empty_line_counts_also_where_half_a_list_comes_in_one_piece_with_it() {
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
    let ends = received.iter().filter(|received| received.connection == connection).count();
    assert_eq!(ends, 0, "{received:?}");
    assert_eq!(texts(&received).last(), Some(&watch(2).as_str()), "the list counts");
}

/// A gateway whose customers have a quota of ten units and next to nothing more.
fn with_quota() -> SimulatedNetwork {
    let mut setup = Setup::default();
    setup.settings["domain"]["shared-counter"] = true.into();
    setup.settings["tariffs"] = json!([customer_plan(0.001, 10.0)]);
    let network = SimulatedNetwork::start(setup);
    network.hosts[0].set_behavior(Behavior::serve(4, 0));
    network
}

#[test]
fn sighup_moves_the_counter_and_a_call_that_is_out_counts_where_it_is() {
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
    // The later one comes back first, as answers to other customers may.
    new.send(new_call.connection, bulk("2"));
    network.run_until(50 * MS);
    assert_eq!(texts(&network.hosts[0].take_received()).len(), 1);
    network.counter.send(old_call.connection, bulk("2"));
    network.run_until(90 * MS);
    assert_eq!(client.take_replies(), [format_id(1), format_id(2)]);
    let [end] = &network.counter.take_received()[..] else { panic!("an end, and no call") };
    assert_eq!(end.text, CLOSED, "nothing more is to come there");
}

#[test]
fn sighup_moves_discovery_and_the_list_from_there_counts_for_calls_in_flight_too() {
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
    // The host that is at work is not on it.
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
    assert_eq!(client.take_replies()[0], "late", "what it has, it finishes");
    assert_eq!(
        texts(&network.hosts[busy].take_received()),
        [CLOSED],
        "it gets nothing new, and its connection goes"
    );
}

#[test]
fn sighup_while_stopping_still_moves_the_counter_and_a_bad_one_changes_nothing() {
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
fn a_reload_whose_operators_files_cannot_be_put_in_force_moves_no_address() {
    let network = with_quota();
    let (counter, agent, client) =
        (network.start_peer("new counter", 7000), network.start_peer("new agent", 8500), network.client());
    network.run_until(REQUEST_ARRIVAL);
    network.discovery.take_received();
    // A class that the settings in force do not have; the loader here knows no settings.
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
    assert_eq!(client.take_replies(), [format_id(1)], "and what runs goes on");
    // The same addresses, with files that can be used, count at once.
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
fn sighup_that_takes_the_counter_away_lets_calls_that_are_out_finish_and_makes_no_more() {
    for (offset, answers) in [-1_i64, 0, 1].into_iter().flat_map(|offset| [(offset, true), (offset, false)]) {
        let network = with_quota();
        let client = network.client();
        client.send(post(1, 1, 2.0));
        network.run_until(10 * MS);
        let call = network.counter.take_single();
        // The settings are those of the start; without a counter in them the document needs no address.
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
            } else if answers {
                network.counter.send(call.connection, bulk("2"));
            }
        }
        // Of another customer: nothing can be asked, and what rests on this gateway's word is served.
        client.send(post(2, 2, 2.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(1), format_id(2)], "{offset}, {answers}");
        assert_eq!(
            texts(&network.counter.take_received()),
            [CLOSED],
            "{offset}, {answers}: no call, and the connection goes"
        );
        // Back at the address, calls go on.
        network.counter.set_behavior(Behavior::counter());
        network.write_document(|document| document["settings"]["domain"]["shared-counter"] = true.into());
        network.reload(network.discovery.addr, network.counter.addr);
        network.run_for(3 * SECOND);
        client.send(post(3, 3, 2.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(3)], "{offset}, {answers}");
        assert!(
            network.counter.take_received().iter().any(|received| received.text.starts_with("ADDGET")),
            "{offset}, {answers}"
        );
    }
}
