//! Connections to hosts and events that race on them: a half-written request, a host that is removed or changes its
//! address, the close of a connection, part of a response, an unsolicited response.

use crate::host_races::{call_at, calls, forwarded_call_len, start_with_window};
use crate::support::{
    endpoint_list, format_id, get, host_entry, post, value_reply, Behavior, Client, Peer, Received, Setup,
    SimulatedNetwork, CLIENT_DELAY, CLOSED, HOST_DELAY, LOCAL_DELAY,
};
use cluster_model::{MS, SECOND};
use runtime::Span;
use serde_json::Value;
use simulated_runtime::Cut;

/// Resets all connections between the gateway and a host.
pub fn reset_connections(network: &SimulatedNetwork, host: &Peer) {
    let cut = network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Reset);
    network.sim.heal(cut);
}

/// Loses requests for a connection to a host that are sent now; they are resent after a second. Other packets pass.
pub fn lose_connection_requests(network: &SimulatedNetwork, host: &Peer) {
    let cut = network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Silent);
    network.run_for(2 * HOST_DELAY);
    network.sim.heal(cut);
}

pub fn connection_numbers(received: &[Received]) -> Vec<usize> {
    received.iter().map(|received| received.connection).collect()
}

/// Returns the endpoint lists that take a host out of service, each with a description.
fn removal_lists(network: &SimulatedNetwork, number: usize) -> [(&'static str, Value); 3] {
    let others = (0..network.hosts.len()).filter(|n| *n != number);
    let others: Vec<Value> = others.map(|n| host_entry(&network.hosts, n, "in_service")).collect();
    let with = |state| {
        endpoint_list(2, false, &[&others[..], &[host_entry(&network.hosts, number, state)]].concat())
    };
    [
        ("drains", with("terminating")),
        ("is removed", with("terminated")),
        ("is left out", endpoint_list(2, true, &others)),
    ]
}

/// A request counts as sent from its first byte on: it is completed, once, and its connection is not reused.
#[test]
fn a_partly_written_request_is_completed_at_its_removed_host_and_its_connection_is_closed() {
    for case in 0..3 {
        let mut setup =
            Setup { hosts: 2, initial_list: (1, vec!["in_service", "terminating"]), ..Setup::default() };
        setup.network.window = forwarded_call_len(1) as u32 - 10;
        let network = SimulatedNetwork::start(setup);
        let (host, other, client) = (&network.hosts[0], &network.hosts[1], network.client());
        network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(1, 0)));
        host.set_read_limit(0);
        client.get(1);
        network.run_until(10 * MS);
        let (what, update) = &removal_lists(&network, 0)[case];
        network.discovery.send_list(0, update);
        network.run_for(100 * MS);
        assert_eq!(
            (host.connection_count(), host.take_received(), client.take_replies()),
            (1, vec![], vec![]),
            "{what}"
        );
        host.read_all();
        network.run_for(100 * MS);
        assert_eq!(client.take_replies(), [format_id(1)], "{what}");
        let received = host.take_received();
        assert_eq!(
            (received.len(), connection_numbers(&received), &*received[1].text),
            (2, vec![0, 0], CLOSED),
            "{what}: {received:?}"
        );
        client.post(2);
        network.run_for(SECOND);
        assert_eq!((client.take_replies(), calls(other).len()), (vec![format_id(2)], 1), "{what}");
        assert_eq!((host.connection_count(), host.take_received()), (1, vec![]), "{what}");
    }
}

/// Part of a response arrives just before the gateway closes an idle connection at its idle lifetime, at that instant,
/// just after, or while the close is in transit; the next request arrives at once or when the close has arrived.
#[test]
fn part_of_a_response_that_races_with_closing_an_idle_connection_affects_no_request() {
    for (partial_response_offset, request_at) in [
        (-1, 1),
        (0, 1),
        (1, 2),
        (1, 2 * HOST_DELAY),
        (HOST_DELAY as i64 / 2, 1),
        (HOST_DELAY as i64, 2 * HOST_DELAY),
    ] {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        client.post(1);
        network.run_until(SECOND);
        let closed = client.take_timed_replies()[0].0 - CLIENT_DELAY + 5 * SECOND;
        host.take_received();
        let trace = network.trace_packets();
        network.run_until(closed.saturating_add_signed(partial_response_offset) - HOST_DELAY);
        host.send(0, value_reply("nobody asked").slice(..9));
        call_at(&network, &client, closed + request_at, post(2, 1, 1.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(2)], "{partial_response_offset}, {request_at}");
        assert_eq!(connection_numbers(&calls(host)), [1], "{partial_response_offset}, {request_at}");
        drop(trace);
    }
}

/// What discovery reports of a host while a connection to it is being opened.
const UPDATES: [&str; 5] = ["drains", "is removed", "is left out", "has another address", "has restarted"];

/// The connection is closed unused, and the request is sent elsewhere, once. If the connection was established before the
/// update, the request has been sent on it.
#[test]
fn a_connection_established_after_its_host_is_removed_or_changed_carries_no_request() {
    for (case, what) in UPDATES.into_iter().enumerate() {
        for offset in [-500 * MS as i64, -1, 0, 1] {
            let states = vec!["in_service", "terminating", "terminating"];
            let mut setup = Setup { hosts: 3, initial_list: (1, states), ..Setup::default() };
            setup.settings["allowed"]["dial-timeout"] = (4 * SECOND).into();
            let network = SimulatedNetwork::start(setup);
            let (host, client) = (&network.hosts[0], network.client());
            network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(1, 0)));
            let mut moved = host_entry(&network.hosts, 0, "in_service");
            match case {
                3 => moved["hostPort"] = network.hosts[2].addr.to_string().into(),
                _ => moved["startedAtMs"] = 1_000.into(),
            }
            let update = match case {
                0..3 => removal_lists(&network, 0)[case].1.clone(),
                _ => endpoint_list(2, false, &[moved]),
            };
            network.run_until(10 * MS);
            client.post(1);
            network.run_for(CLIENT_DELAY);
            lose_connection_requests(&network, host);
            let up = 10 * MS + CLIENT_DELAY + SECOND + 2 * HOST_DELAY;
            let notified_at = up.saturating_add_signed(offset);
            network.run_until(notified_at - LOCAL_DELAY);
            network.discovery.send_list(0, &update);
            network.run_until(3 * SECOND);
            assert_eq!(client.take_replies(), [format_id(1)], "{what} {offset}");
            let received: Vec<_> = network.hosts.iter().map(Peer::take_received).collect();
            let [at_host, elsewhere @ ..] = &received[..] else { panic!("hosts") };
            let [on_first_connection, on_new_connection] = [0, 1]
                .map(|connection| at_host.iter().filter(move |received| received.connection == connection));
            let on_first_connection: Vec<&str> =
                on_first_connection.map(|received| &*received.text).collect();
            let before =
                at_host.iter().filter(|received| received.connection == 0 && received.text != CLOSED).count();
            assert!(
                before == usize::from(offset > 0) || offset == 0 && before == 1,
                "{what} {offset}: {at_host:?}"
            );
            assert_eq!(
                on_first_connection.last(),
                Some(&CLOSED),
                "{what} {offset}: the connection closes, used or not"
            );
            let others = elsewhere.iter().flatten().filter(|received| received.text != CLOSED).count();
            assert_eq!(before + on_new_connection.count() + others, 1, "{what} {offset}: {received:?}");
        }
    }
}

/// A failed dial does not count against an address that it did not connect to.
#[test]
fn a_failed_dial_to_a_replaced_address_fails_no_request() {
    for is_refused in [false, true] {
        let mut setup =
            Setup { hosts: 2, initial_list: (1, vec!["in_service", "terminating"]), ..Setup::default() };
        setup.settings["allowed"]["max-attempts"] = 1.into();
        let network = SimulatedNetwork::start(setup);
        let (host, next, client) = (&network.hosts[0], &network.hosts[1], network.client());
        next.set_behavior(Behavior::serve(1, 0));
        client.post(1);
        let how = if is_refused { Cut::Reset } else { Cut::Silent };
        network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], how);
        // The connection has been requested, but not yet answered.
        network.run_until(3 * CLIENT_DELAY + HOST_DELAY);
        let mut moved = host_entry(&network.hosts, 0, "in_service");
        moved["hostPort"] = next.addr.to_string().into();
        network.discovery.send_list(0, &endpoint_list(2, false, &[moved]));
        network.run_until(SECOND);
        assert_eq!(client.take_replies(), [format_id(1)], "refused: {is_refused}");
        let dialed = 3 * CLIENT_DELAY + if is_refused { 2 * HOST_DELAY } else { 250 * MS };
        assert_eq!(next.take_single().at, dialed + 3 * HOST_DELAY, "refused: {is_refused}");
    }
}

/// What a host sends while the rest of a request waits for the window; none: it closes. A host starts a command at its
/// last byte, so nothing that it sends before is a response, and it must not get the rest of a request that it has
/// rejected.
const EARLY_RESPONSES: [Option<&str>; 6] = [
    Some("-BUSY\r\n"),
    Some("-ERR failed\r\n"),
    Some("*3\r\n$5\r\nearly\r\n$-1\r\n$-1\r\n"),
    Some("*3\r\n$5\r\nea"),
    Some("+OK\r\n"),
    None,
];

#[test]
fn bytes_sent_before_the_request_is_complete_are_no_response_and_its_rest_is_not_sent() {
    // Whether the connection was used before, and the time after the first bytes are written. On a new connection the host
    // can send only later.
    let offsets = [(true, -1), (true, 0), (true, 1), (true, 50 * MS as i64), (false, 50 * MS as i64)];
    for (early, (is_kept, offset)) in
        EARLY_RESPONSES.iter().flat_map(|early| offsets.map(|offset| (early, offset)))
    {
        let length = post(1, 1, 1.0).len();
        let network = start_with_window(length - 10);
        let (host, client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        host.set_read_limit(if is_kept { length } else { 0 });
        network.run_until(10 * MS);
        if is_kept {
            client.post(1);
            network.run_for(100 * MS);
            assert_eq!((client.take_replies(), calls(host).len()), (vec![format_id(1)], 1));
        }
        let request_at = network.now() + SECOND;
        call_at(&network, &client, request_at, post(2, 1, 1.0));
        network.run_until(request_at.saturating_add_signed(offset) - HOST_DELAY);
        match early {
            Some(text) => host.send(0, *text),
            None => host.close(0),
        }
        host.set_read_limit(usize::MAX);
        network.run_for(100 * MS);
        assert_eq!(
            client.take_replies(),
            [format_id(2)],
            "{early:?}, kept: {is_kept}, {offset}: before the host reads on"
        );
        host.read_all();
        network.run_for(SECOND);
        assert_eq!(connection_numbers(&calls(host)), [1], "{early:?}, kept: {is_kept}, {offset}");
        assert_eq!(client.take_replies(), [""; 0], "{early:?}, kept: {is_kept}, {offset}");
    }
}

/// A host sends part of a response long after one response and just before the next. Where exactly two bytes of its value
/// are missing, the first two bytes of the true response complete it; cut anywhere else, the two together are not accepted
/// as a value.
#[test]
fn a_stale_partial_response_corrupts_a_value_only_where_two_bytes_of_it_are_missing() {
    let stale = value_reply("first");
    let mut corrupted = Vec::new();
    for (cut, is_safe) in (1..stale.len()).flat_map(|cut| [(cut, false), (cut, true)]) {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        client.post(1);
        network.run_until(10 * MS);
        host.send(host.take_single().connection, stale.clone());
        network.run_for(SECOND);
        let request_at = network.now() + CLIENT_DELAY;
        client.send(if is_safe { get(2) } else { post(2, 1, 1.0) });
        // The partial response arrives just after the request has been sent, and the true response follows.
        network.run_until(request_at + 1 - HOST_DELAY);
        host.send(0, stale.slice(..cut));
        network.run_until(request_at + 10 * MS);
        host.send(0, value_reply("second"));
        host.set_behavior(Behavior::serve(1, 0));
        network.run_for(SECOND);
        let answer = if is_safe { format_id(2) } else { "-ERR failed".to_owned() };
        let replies = client.take_replies();
        assert_eq!(replies.len(), 2, "cut at {cut}, safe: {is_safe}: {replies:?}");
        if replies[1] != answer {
            corrupted.push(cut);
            continue;
        }
        assert_eq!(
            connection_numbers(&calls(host)),
            [vec![0], vec![1; usize::from(is_safe)]].concat(),
            "cut at {cut}"
        );
    }
    let two_bytes_missing = "*3\r\n$5\r\nfir".len();
    assert_eq!(corrupted, [two_bytes_missing; 2], "the documented limitation does not hold");
}

/// A duplicate response that arrives when it cannot be told from the response to the next request is taken for that: each
/// request gets one reply. The true response, which no request waits for any more, closes the connection, so that the next
/// request gets its own response.
#[test]
fn an_undetectable_duplicate_response_reaches_one_request_and_its_connection_is_closed() {
    let network = SimulatedNetwork::start(Setup::default());
    let (host, client) = (&network.hosts[0], network.client());
    client.post(1);
    network.run_until(10 * MS);
    host.send(host.take_single().connection, value_reply("first"));
    network.run_for(SECOND);
    client.post(2);
    network.run_for(CLIENT_DELAY - HOST_DELAY + 1);
    host.send(0, value_reply("first"));
    network.run_for(2 * HOST_DELAY);
    assert_eq!(connection_numbers(&calls(host)), [0]);
    host.send(0, value_reply("second"));
    network.run_for(100 * MS);
    assert_eq!(client.take_replies(), ["first", "first"], "the documented limitation does not hold");
    host.set_behavior(Behavior::serve(1, 0));
    client.post(3);
    network.run_for(100 * MS);
    assert_eq!(client.take_replies(), [format_id(3)]);
    let received = host.take_received();
    assert_eq!((connection_numbers(&received), &*received[0].text), (vec![0, 1], CLOSED), "{received:?}");
}

/// How long a connection is idle before a request, whether the request is unsafe, and whether it is sent on that
/// connection. The connection was never used, or has carried a response; it may be dead by then, and nothing has shown that
/// it is not.
const IDLE_CASES: [(Span, bool, bool); 4] =
    [(SECOND, true, true), (2 * SECOND, true, false), (2 * SECOND, false, true), (6 * SECOND, false, false)];

#[test]
fn a_connection_is_reused_depending_on_its_idle_time_whether_or_not_it_was_used_before() {
    for (is_used, (idle, is_unsafe, is_kept)) in
        [false, true].iter().flat_map(|used| IDLE_CASES.map(|c| (*used, c)))
    {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, leaving_client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        network.run_until(10 * MS);
        leaving_client.post(1);
        if !is_used {
            // The client disconnects while the connection to the host is being opened.
            network.run_for(HOST_DELAY);
            leaving_client.close();
        }
        network.run_for(idle);
        assert_eq!((calls(host).len(), host.connection_count()), (usize::from(is_used), 1));
        let client = network.client_with_call(if is_unsafe { post(2, 1, 1.0) } else { get(2) }, usize::MAX);
        network.run_for(100 * MS);
        assert_eq!(client.take_replies(), [format_id(2)]);
        let connection = usize::from(!is_kept);
        assert_eq!(
            connection_numbers(&calls(host)),
            [connection],
            "used: {is_used}, {idle}, unsafe: {is_unsafe}"
        );
    }
}

/// A request waits for connections within their reuse delay, while opening others to the host is slow. The connection
/// whose delay would end first is closed; the gateway's timer for it still expires, and must not be the last one.
#[test]
fn a_connection_that_closes_within_its_reuse_delay_does_not_block_requests_waiting_for_the_next_one() {
    let network = SimulatedNetwork::start(Setup::default());
    let (host, client, other) = (&network.hosts[0], network.client(), network.client());
    client.get(1);
    other.get(2);
    network.run_until(10 * MS);
    assert_eq!((calls(host).len(), host.connection_count()), (2, 2));
    host.send(0, value_reply("first"));
    network.run_for(HOST_DELAY);
    client.get(3);
    network.run_for(CLIENT_DELAY);
    lose_connection_requests(&network, host);
    host.send(1, value_reply("second"));
    host.close(0);
    network.run_for(200 * MS);
    assert_eq!(connection_numbers(&calls(host)), [1], "long before the lost connection request is resent");
    host.send(1, value_reply("third"));
    network.run_for(10 * MS);
    assert_eq!(client.take_replies(), ["first", "third"]);
}

/// Reloads the operators' file with a change.
fn reload(network: &SimulatedNetwork) {
    network.reload_operators(
        "pool \"all\" {\nids = [\"s-0\", \"s-1\"]\n}\nroute \"all\" {\npool = \"all\"\n}\n",
    );
}

/// A full list omits a host that is still executing a request of this gateway when the operators' files are reloaded.
#[test]
fn a_host_omitted_from_a_full_list_is_not_restored_by_reloading_the_operators_files() {
    for is_reloaded in [false, true] {
        let network = SimulatedNetwork::start(Setup { hosts: 2, ..Setup::default() });
        let clients: Vec<Client> = (0..2).map(|_| network.client()).collect();
        clients.iter().zip(1..).for_each(|(client, id)| client.post(id));
        network.run_until(10 * MS);
        let (omitted, remaining) = (&network.hosts[0], &network.hosts[1]);
        let [taken, others] = [omitted, remaining].map(calls);
        assert_eq!((taken.len(), others.len()), (1, 1), "both hosts have the same load");
        network
            .discovery
            .send_list(0, &endpoint_list(2, true, &[host_entry(&network.hosts, 1, "in_service")]));
        network.run_for(10 * MS);
        if is_reloaded {
            reload(&network);
            network.run_for(10 * MS);
        }
        remaining.set_behavior(Behavior::serve(10, MS));
        let client = network.client();
        for id in 100..200 {
            client.post(id);
            network.run_for(5 * MS);
            assert_eq!(client.take_replies(), [format_id(id)], "reloaded: {is_reloaded}");
        }
        assert_eq!(calls(omitted), []);
        taken.iter().for_each(|received| omitted.send(received.connection, value_reply("finished")));
        others.iter().for_each(|received| remaining.send(received.connection, value_reply("finished")));
        network.run_for(10 * MS);
        let replies: Vec<_> = clients.iter().flat_map(Client::take_replies).collect();
        assert_eq!(replies, ["finished"; 2], "reloaded: {is_reloaded}");
    }
}

/// Maximum number of connections to hosts of a gateway with 64 descriptors.
const MAX_HOST_CONNECTIONS: usize = 8;

/// All connections are in use: further requests are rejected at once with a retryable error, and are not queued again and
/// again.
#[test]
fn requests_without_a_free_descriptor_are_rejected_at_once_without_affecting_others() {
    let network = SimulatedNetwork::start(Setup { hosts: 3, sockets: 64, ..Setup::default() });
    let clients: Vec<Client> = (0..MAX_HOST_CONNECTIONS + 4).map(|_| network.client()).collect();
    network.run_until(10 * MS);
    clients.iter().zip(1..).for_each(|(client, id)| client.post(id));
    network.run_for(10 * MS);
    let received: Vec<Vec<Received>> = network.hosts.iter().map(calls).collect();
    assert_eq!(received.iter().flatten().count(), MAX_HOST_CONNECTIONS);
    let refused: Vec<_> = clients.iter().flat_map(Client::take_timed_replies).collect();
    assert_eq!(refused, vec![(10 * MS + 2 * CLIENT_DELAY, "-BUSY".to_owned()); 4]);
    for (host, received) in network.hosts.iter().zip(&received) {
        received.iter().for_each(|received| host.send(received.connection, value_reply("served")));
        host.set_behavior(Behavior::serve(4, 0));
    }
    network.run_for(100 * MS);
    assert_eq!(
        clients.iter().flat_map(Client::take_replies).collect::<Vec<_>>(),
        vec!["served"; MAX_HOST_CONNECTIONS]
    );
    clients[0].post(100);
    network.run_for(100 * MS);
    assert_eq!(clients[0].take_replies(), [format_id(100)]);
}
