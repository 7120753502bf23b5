//! Connections to hosts and what crosses on them: a request half written, a host that goes or moves, an end, half a line,
//! an answer that nobody asked for.

use crate::host_crossings::{call_at, calls, forwarded_call_len, start_with_window};
use crate::support::{
    endpoint_list, format_id, get, host_entry, post, value_reply, Behavior, Client, Peer, Received, Setup,
    SimulatedNetwork, CLIENT_DELAY, CLOSED, HOST_DELAY, LOCAL_DELAY,
};
use cluster_model::{MS, SECOND};
use runtime::Span;
use serde_json::Value;
use simulated_runtime::Cut;

/// All connections between the gateway and a host are reset.
pub fn reset_connections(network: &SimulatedNetwork, host: &Peer) {
    let cut = network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Reset);
    network.sim.heal(cut);
}

/// What asks for a connection to a host now is lost, and comes again after a second; all else passes.
pub fn lose_connection_requests(network: &SimulatedNetwork, host: &Peer) {
    let cut = network.sim.cut(vec![host.machine.id()], vec![network.gateway_machine_id()], Cut::Silent);
    network.run_for(2 * HOST_DELAY);
    network.sim.heal(cut);
}

pub fn connection_numbers(received: &[Received]) -> Vec<usize> {
    received.iter().map(|received| received.connection).collect()
}

/// Lists that take a host out.
fn removal_lists(network: &SimulatedNetwork, number: usize) -> [(&'static str, Value); 3] {
    let others = (0..network.hosts.len()).filter(|n| *n != number);
    let others: Vec<Value> = others.map(|n| host_entry(&network.hosts, n, "in_service")).collect();
    let with = |state| {
        endpoint_list(2, false, &[&others[..], &[host_entry(&network.hosts, number, state)]].concat())
    };
    [
        ("drains", with("terminating")),
        ("is gone", with("terminated")),
        ("is left out", endpoint_list(2, true, &others)),
    ]
}

/// A send counts from its first byte: it goes on, once, and its connection is not used again.
#[test]
fn a_request_of_which_a_part_is_written_when_its_host_goes_is_finished_there_and_ends_its_connection() {
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

/// Half a line comes just before we close an idle connection at its age, in that instant, just after, or to an end that is
/// on its way; the next request comes at once or when that end is there.
#[test]
fn half_a_line_that_crosses_our_close_of_an_idle_connection_touches_no_request() {
    for (half, asked) in [
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
        network.run_until(closed.saturating_add_signed(half) - HOST_DELAY);
        host.send(0, value_reply("nobody asked").slice(..9));
        call_at(&network, &client, closed + asked, post(2, 1, 1.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(2)], "{half}, {asked}");
        assert_eq!(connection_numbers(&calls(host)), [1], "{half}, {asked}");
        drop(trace);
    }
}

/// What discovery says of a host while a connection to it is on its way.
const UPDATES: [&str; 5] = ["drains", "is gone", "is left out", "has another address", "has started anew"];

/// The connection is closed unused, and the request goes elsewhere, once; where it came up before, the request is out.
#[test]
fn a_connection_that_comes_up_as_its_host_goes_or_moves_carries_nothing() {
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
            let [there, elsewhere @ ..] = &received[..] else { panic!("hosts") };
            let [of_it, again] = [0, 1]
                .map(|connection| there.iter().filter(move |received| received.connection == connection));
            let of_it: Vec<&str> = of_it.map(|received| &*received.text).collect();
            let before =
                there.iter().filter(|received| received.connection == 0 && received.text != CLOSED).count();
            assert!(
                before == usize::from(offset > 0) || offset == 0 && before == 1,
                "{what} {offset}: {there:?}"
            );
            assert_eq!(of_it.last(), Some(&CLOSED), "{what} {offset}: it ends, used or not");
            let others = elsewhere.iter().flatten().filter(|received| received.text != CLOSED).count();
            assert_eq!(before + again.count() + others, 1, "{what} {offset}: {received:?}");
        }
    }
}

/// The failure of a dial says nothing of an address that it was not made to.
#[test]
fn a_dial_to_an_address_that_is_no_more_fails_nothing() {
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
        // Asked for, and not yet answered.
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

/// What a host says while the rest of a request waits for room; none: it closes. It begins a command at its last byte, so
/// nothing of it is an answer, and of what it has turned away it may not get the rest.
const EARLY_RESPONSES: [Option<&str>; 6] = [
    Some("-BUSY\r\n"),
    Some("-ERR failed\r\n"),
    Some("*3\r\n$5\r\nearly\r\n$-1\r\n$-1\r\n"),
    Some("*3\r\n$5\r\nea"),
    Some("+OK\r\n"),
    None,
];

#[test]
fn what_a_host_says_before_it_has_the_whole_request_is_no_answer_and_the_rest_is_not_sent() {
    // On a kept connection, how long after its first bytes are written; on a new one its host can speak later only.
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
        let asked = network.now() + SECOND;
        call_at(&network, &client, asked, post(2, 1, 1.0));
        network.run_until(asked.saturating_add_signed(offset) - HOST_DELAY);
        match early {
            Some(text) => host.send(0, *text),
            None => host.close(0),
        }
        host.set_read_limit(usize::MAX);
        network.run_for(100 * MS);
        assert_eq!(
            client.take_replies(),
            [format_id(2)],
            "{early:?}, kept: {is_kept}, {offset}: before it has read on"
        );
        host.read_all();
        network.run_for(SECOND);
        assert_eq!(connection_numbers(&calls(host)), [1], "{early:?}, kept: {is_kept}, {offset}");
        assert_eq!(client.take_replies(), [""; 0], "{early:?}, kept: {is_kept}, {offset}");
    }
}

/// It says half a line long after an answer, just before that to the next request. Where exactly two bytes of its value
/// lack, the head of the true answer stands for them; wherever else it is cut, the two are not taken for a value.
#[test]
fn half_a_line_before_an_answer_is_no_part_of_a_value_but_where_two_bytes_of_one_lack() {
    let stale = value_reply("first");
    let mut wrong = Vec::new();
    for (cut, is_safe) in (1..stale.len()).flat_map(|cut| [(cut, false), (cut, true)]) {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, client) = (&network.hosts[0], network.client());
        client.post(1);
        network.run_until(10 * MS);
        host.send(host.take_single().connection, stale.clone());
        network.run_for(SECOND);
        let asked = network.now() + CLIENT_DELAY;
        client.send(if is_safe { get(2) } else { post(2, 1, 1.0) });
        // It comes just after the request has left, and the answer behind it.
        network.run_until(asked + 1 - HOST_DELAY);
        host.send(0, stale.slice(..cut));
        network.run_until(asked + 10 * MS);
        host.send(0, value_reply("second"));
        host.set_behavior(Behavior::serve(1, 0));
        network.run_for(SECOND);
        let answer = if is_safe { format_id(2) } else { "-ERR failed".to_owned() };
        let replies = client.take_replies();
        assert_eq!(replies.len(), 2, "cut at {cut}, safe: {is_safe}: {replies:?}");
        if replies[1] != answer {
            wrong.push(cut);
            continue;
        }
        assert_eq!(
            connection_numbers(&calls(host)),
            [vec![0], vec![1; usize::from(is_safe)]].concat(),
            "cut at {cut}"
        );
    }
    let lacks_two = "*3\r\n$5\r\nfir".len();
    assert_eq!(wrong, [lacks_two; 2], "what the page says does not hold");
}

/// An answer that passed for another's, since it came when it could not be told from that: each request gets one answer,
/// and the true one, which nobody waits for any more, ends the connection, so that the next gets its own.
#[test]
fn a_second_answer_that_cannot_be_told_goes_to_one_request_and_ends_its_connection() {
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
    assert_eq!(client.take_replies(), ["first", "first"], "what the page says does not hold");
    host.set_behavior(Behavior::serve(1, 0));
    client.post(3);
    network.run_for(100 * MS);
    assert_eq!(client.take_replies(), [format_id(3)]);
    let received = host.take_received();
    assert_eq!((connection_numbers(&received), &*received[0].text), (vec![0, 1], CLOSED), "{received:?}");
}

/// A connection that nobody wanted when it came up, or that has answered, and how long it stands idle before a request,
/// which may run only once or not; whether that goes out on it. It may be dead by then, and nothing has shown that it is not.
const IDLE_CASES: [(Span, bool, bool); 4] =
    [(SECOND, true, true), (2 * SECOND, true, false), (2 * SECOND, false, true), (6 * SECOND, false, false)];

#[test]
fn a_connection_is_trusted_by_how_long_it_has_stood_idle_whether_or_not_it_was_used_before() {
    for (is_used, (idle, is_once, is_kept)) in
        [false, true].iter().flat_map(|used| IDLE_CASES.map(|c| (*used, c)))
    {
        let network = SimulatedNetwork::start(Setup::default());
        let (host, leaving_client) = (&network.hosts[0], network.client());
        host.set_behavior(Behavior::serve(1, 0));
        network.run_until(10 * MS);
        leaving_client.post(1);
        if !is_used {
            // It leaves while its connection is on its way.
            network.run_for(HOST_DELAY);
            leaving_client.close();
        }
        network.run_for(idle);
        assert_eq!((calls(host).len(), host.connection_count()), (usize::from(is_used), 1));
        let client = network.client_with_call(if is_once { post(2, 1, 1.0) } else { get(2) }, usize::MAX);
        network.run_for(100 * MS);
        assert_eq!(client.take_replies(), [format_id(2)]);
        let connection = usize::from(!is_kept);
        assert_eq!(
            connection_numbers(&calls(host)),
            [connection],
            "used: {is_used}, {idle}, once: {is_once}"
        );
    }
}

/// Two wait for connections that rest, whose host is slow to take others. The one that would be through with it first
/// ends; word of it comes all the same, and is not the last.
#[test]
fn a_connection_that_ends_while_it_rests_does_not_hold_up_what_waits_for_the_next_one() {
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
    assert_eq!(connection_numbers(&calls(host)), [1], "long before what asked for another comes again");
    host.send(1, value_reply("third"));
    network.run_for(10 * MS);
    assert_eq!(client.take_replies(), ["first", "third"]);
}

/// Gives the gateway the operators' file anew, with a change to it.
fn reload(network: &SimulatedNetwork) {
    network.reload_operators(
        "pool \"all\" {\nids = [\"s-0\", \"s-1\"]\n}\nroute \"all\" {\npool = \"all\"\n}\n",
    );
}

/// A whole list has left a host out, which still has work of ours, when the operators' files are read again.
#[test]
fn a_host_that_a_whole_list_leaves_out_is_not_put_back_by_a_reload_of_the_operators_files() {
    for is_reloaded in [false, true] {
        let network = SimulatedNetwork::start(Setup { hosts: 2, ..Setup::default() });
        let clients: Vec<Client> = (0..2).map(|_| network.client()).collect();
        clients.iter().zip(1..).for_each(|(client, id)| client.post(id));
        network.run_until(10 * MS);
        let (omitted, remaining) = (&network.hosts[0], &network.hosts[1]);
        let [taken, others] = [omitted, remaining].map(calls);
        assert_eq!((taken.len(), others.len()), (1, 1), "so that both look alike");
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

/// Connections to hosts that a gateway with 64 descriptors may have.
const MAX_HOST_CONNECTIONS: usize = 8;

/// All are in use: what comes beyond them is told at once that trying again is harmless, and nothing goes round in circles.
#[test]
fn requests_that_no_descriptor_is_left_for_are_refused_at_once_and_take_no_turn_of_others() {
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
