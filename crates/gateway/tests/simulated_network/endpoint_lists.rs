//! How the endpoint list reaches the gateway while discovery fails in every possible way, and which list a new process
//! uses.
//!
//! The agent in these tests is a script: its response to a request depends only on the time of the request. Calls are
//! sent all the time, so the last call that is sent to a draining host shows when the drain took effect.

use crate::support::{
    chunk, endpoint_list, host_entry, Action, Behavior, Client, Peer, Setup, SimulatedNetwork, TimedActions,
    CHUNKED_HEAD, CLOSED, HOST_DELAY, LOCAL_DELAY,
};
use cluster_model::{MS, SECOND};
use runtime::Span;
use serde_json::Value;
use simulated_runtime::Cut;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Time within which a change takes effect once discovery is reachable.
const EFFECTIVE_WITHIN: Span = 6 * SECOND;
/// Time within which a change at a new discovery address takes effect after SIGHUP.
const EFFECTIVE_AFTER_MOVE: Span = 4 * SECOND;
/// Time between two calls of a client.
const CALL_INTERVAL: Span = 40 * MS;
/// Interval of the empty lines on a watch.
const KEEP_ALIVE_INTERVAL: Span = 2 * SECOND;

/// What goes wrong with a discovery request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// There is no response.
    Hang,
    /// The connection closes without a response.
    Close,
    /// The response is an error.
    Refuse,
    /// The agent sends nothing more.
    Silent,
    /// The head of the response arrives late, and nothing follows.
    Late,
    /// The connection closes.
    End,
    /// Half of a list arrives, and nothing follows.
    Half,
    /// A list arrives at a byte per second.
    Dribble,
    /// Empty lines continue, but no list arrives.
    Mute,
    /// The list cannot be parsed.
    Garbage,
    /// A full list without hosts arrives.
    Empty,
}

use Fault::*;

const ALL_FAULTS: [Fault; 11] = [Hang, Close, Refuse, Silent, Late, End, Half, Dribble, Mute, Garbage, Empty];

fn write(text: impl Into<String>) -> Action {
    Action::Write(text.into().into())
}

/// Returns empty lines between two times.
fn keep_alives(from: Span, to: Span) -> impl Iterator<Item = (Span, Action)> {
    (1..)
        .map(move |n| from + n * KEEP_ALIVE_INTERVAL)
        .take_while(move |at| *at < to)
        .map(|at| (at, write(chunk("\n"))))
}

/// Returns a correct response: for a watch the update and empty lines until a time, else the full list.
fn good_response(words: &str, update: Option<&Value>, full_list: &Value, until: Span) -> TimedActions {
    if !words.contains("watch=1") {
        let text = full_list.to_string();
        return vec![(0, write(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())))];
    }
    let update = update.map(|update| (0, write(chunk(&format!("{update}\n")))));
    [(0, write(CHUNKED_HEAD))].into_iter().chain(update).chain(keep_alives(0, until)).collect()
}

/// Returns a response that is correct until `at` after the request, and then has the fault.
fn faulty(fault: Fault, at: Span, update: &Value) -> TimedActions {
    let text = format!("{update}\n");
    let faulty_part = match fault {
        Hang => return Vec::new(),
        Close => return vec![(0, Action::Close)],
        Late if at == 0 => return vec![(2400 * MS, write(CHUNKED_HEAD))],
        Refuse => return vec![(0, write("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n"))],
        Silent | Late => Vec::new(),
        End => vec![(at, Action::Close)],
        Half => vec![(at, write(chunk(&text[..text.len() / 2])))],
        Dribble => {
            let byte = |n: usize| (at + n as Span * SECOND, write(chunk(&text[n..=n])));
            (0..text.len()).map(byte).collect()
        }
        Mute => keep_alives(0, at + 60 * SECOND).skip_while(|(keep_alive, _)| *keep_alive < at).collect(),
        Garbage => vec![(at, write(chunk("{\"generation\": \"three\"}\n")))],
        Empty => vec![(at, write(chunk(&format!("{}\n", endpoint_list(9, true, &[])))))],
    };
    [(0, write(CHUNKED_HEAD))].into_iter().chain(keep_alives(0, at)).chain(faulty_part).collect()
}

/// Starts a network of two hosts that serve, and a client.
fn start_two_hosts() -> (SimulatedNetwork, Client) {
    let network = SimulatedNetwork::start(Setup { hosts: 2, ..Setup::default() });
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
    let client = network.client();
    (network, client)
}

/// Advances the simulated time until `until`, with calls at a regular interval.
fn call_periodically_until(network: &SimulatedNetwork, client: &Client, ids: &mut u64, until: Span) {
    while network.now() < until {
        *ids += 1;
        client.get(*ids);
        network.run_for(CALL_INTERVAL.min(until - network.now()));
    }
}

/// Returns when the last call to a host was sent.
fn last_call(host: &Peer) -> Option<Span> {
    let calls = host.take_received().into_iter().filter(|received| received.text.starts_with("CALL"));
    calls.map(|received| received.sent).max()
}

/// Returns the list before the change, the change, and the list after it: the first host drains from generation 2 on.
fn initial_and_changed_lists(network: &SimulatedNetwork) -> (Value, Value, Value) {
    let (in_service, drains) =
        (host_entry(&network.hosts, 1, "in_service"), host_entry(&network.hosts, 0, "terminating"));
    let before = endpoint_list(1, true, &[host_entry(&network.hosts, 0, "in_service"), in_service.clone()]);
    let full_list = endpoint_list(2, true, &[drains.clone(), in_service]);
    (before, endpoint_list(2, false, &[drains]), full_list)
}

/// Returns how long a drain that discovery has from `at` on takes to be effective. Responses to requests
/// before `at` are correct until `at` and then have the fault `first`, or have it from the start; the next request has
/// the fault `then`, and all further ones succeed.
fn effective_after(first: Fault, then: Option<Fault>, at: Span) -> Span {
    let (network, client) = start_two_hosts();
    let (before, update, full_list) = initial_and_changed_lists(&network);
    let then_faults_left = AtomicUsize::new(usize::from(then.is_some()));
    network.discovery.set_behavior(Behavior::script(move |now, words| {
        if now < at {
            return faulty_list_or_watch(words, first, at - now, &update, &before);
        }
        match then.filter(|_| then_faults_left.swap(0, Ordering::Relaxed) > 0) {
            Some(fault) => faulty_list_or_watch(words, fault, 0, &update, &full_list),
            None => good_response(words, Some(&update), &full_list, 60 * SECOND),
        }
    }));
    let mut ids = 0;
    call_periodically_until(&network, &client, &mut ids, at + EFFECTIVE_WITHIN + 2 * SECOND);
    let replies = client.take_replies();
    let served = replies.iter().filter(|reply| !reply.starts_with('-')).count();
    assert_eq!(replies.len() as u64, ids, "one reply each");
    // Calls of the first second may have arrived before the gateway was ready.
    assert!(served as u64 + SECOND / CALL_INTERVAL >= ids, "{served} of {ids}");
    last_call(&network.hosts[0]).map_or(0, |last| last.saturating_sub(at))
}

/// Returns a response like [`faulty`], also for a request for the full list, which has no empty lines.
fn faulty_list_or_watch(
    words: &str,
    fault: Fault,
    at: Span,
    update: &Value,
    full_list: &Value,
) -> TimedActions {
    let is_watch = words.contains("watch=1");
    match fault {
        Hang | Close | Refuse => faulty(fault, at, update),
        _ if !is_watch && at > 0 => good_response(words, None, full_list, 0),
        _ => faulty(fault, at, if is_watch { update } else { full_list }),
    }
}

#[test]
fn a_change_takes_effect_within_six_seconds_after_any_two_faults() {
    let mut slowest = (0, None);
    for first in ALL_FAULTS {
        for then in [None].into_iter().chain(ALL_FAULTS.map(Some)) {
            // At several times between two empty lines and between two watches.
            for at in [2300, 3700, 4100, 4990, 5600].map(|ms| ms * MS) {
                let delay = effective_after(first, then, at);
                assert!(delay < EFFECTIVE_WITHIN, "{first:?}, {then:?} at {at}: {} ms", delay / MS);
                slowest = slowest.max((delay, Some((format!("{first:?} {then:?}"), at))));
            }
        }
    }
    println!("slowest: {slowest:?}");
}

#[test]
fn a_change_takes_effect_within_a_millisecond_whatever_the_age_of_the_watch() {
    // Without faults a change arrives at once, however old the watch is.
    for at in (20..80).map(|n| n * 113 * MS) {
        let (network, client) = start_two_hosts();
        let (before, update, _) = initial_and_changed_lists(&network);
        let update_to_send = update.clone();
        network
            .discovery
            .set_behavior(Behavior::script(move |_, words| good_response(words, None, &before, 60 * SECOND)));
        let mut ids = 0;
        call_periodically_until(&network, &client, &mut ids, at);
        // The agent sends the update on all connections; only the newest watch is open.
        (0..network.discovery.connection_count())
            .for_each(|connection| network.discovery.send_list(connection, &update_to_send));
        network.hosts[0].take_received();
        call_periodically_until(&network, &client, &mut ids, at + SECOND);
        assert!(last_call(&network.hosts[0]).is_none_or(|last| last < at + MS), "notified at {at}");
    }
}

/// Returns the encodings in which a list may arrive on a watch.
fn forms(update: &Value) -> Vec<(&'static str, TimedActions)> {
    let plain = format!("{update}\n");
    let indented = format!("{}\n", serde_json::to_string_pretty(update).unwrap());
    let mut odd = update.clone();
    odd["instances"][0]["note"] = "}{][\"\\ \u{e9}".into();
    let frames = |text: &str, size: usize| -> TimedActions {
        let parts = text.as_bytes().chunks(size).enumerate();
        let part = |(n, part): (usize, &[u8])| {
            (n as Span * 100_000, Action::Write([b"1\r\n", part, b"\r\n"].concat().into()))
        };
        [(0, write(CHUNKED_HEAD))].into_iter().chain(parts.map(part)).collect()
    };
    let one_chunk = |text: String| vec![(0, write(format!("{CHUNKED_HEAD}{}", chunk(&text))))];
    let bare = |text: &str| format!("HTTP/1.1 200 OK\r\n\r\n{text}");
    let half = plain.len() / 2;
    vec![
        ("a line", one_chunk(plain.clone())),
        ("indented", one_chunk(indented.clone())),
        ("indented, a byte a frame", frames(&indented, 1)),
        ("a byte a frame", frames(&plain, 1)),
        ("with brackets and quotes in a text, a byte a frame", frames(&odd.to_string(), 1)),
        ("without a line end", one_chunk(update.to_string())),
        (
            "after another one in the same frame",
            one_chunk(format!("{}{plain}", endpoint_list(1, false, &[]))),
        ),
        ("without a length, left open", vec![(0, write(bare(&indented)))]),
        ("without a length, to the end", vec![(0, write(bare(&plain))), (MS, Action::Close)]),
        (
            "without a length, in halves",
            vec![(0, write(bare(&plain[..half]))), (MS, write(&plain[half..])), (2 * MS, Action::Close)],
        ),
    ]
}

#[test]
fn a_list_on_a_watch_is_accepted_in_every_encoding() {
    let (network, _) = start_two_hosts();
    let count = forms(&initial_and_changed_lists(&network).1).len();
    for number in 0..count {
        let (network, client) = start_two_hosts();
        let (before, update, _) = initial_and_changed_lists(&network);
        let (name, actions) = forms(&update).swap_remove(number);
        // The full list does not contain the update: it has to arrive on the watch itself.
        let mut actions = Some(actions);
        network.discovery.set_behavior(Behavior::script(move |_, words| {
            let is_watch = words.contains("watch=1");
            actions.take_if(|_| is_watch).unwrap_or_else(|| good_response(words, None, &before, 60 * SECOND))
        }));
        call_periodically_until(&network, &client, &mut 0, 3 * SECOND);
        let last = last_call(&network.hosts[0]).unwrap_or_default();
        assert!(last < 100 * MS, "{name}: {} ms", last / MS);
        assert!(last_call(&network.hosts[1]).is_some());
    }
}

#[test]
fn a_full_list_without_a_length_counts_once_complete_and_an_incomplete_one_never() {
    // At a new address; each of these faults occurs once, then all requests succeed.
    let cases =
        [(Half, 0), (End, 0), (Hang, 0), (Close, 0), (Refuse, 0), (Dribble, 0), (Garbage, 0), (Empty, 0)];
    let open = [(false, "left open"), (true, "ended at once")];
    for (ends, name) in open {
        let (network, client) = start_two_hosts();
        let (before, _, full_list) = initial_and_changed_lists(&network);
        network
            .discovery
            .set_behavior(Behavior::script(move |_, words| good_response(words, None, &before, 60 * SECOND)));
        let new = network.start_peer("new agent", 8500);
        new.set_behavior(Behavior::script(move |_, words| {
            if words.contains("watch=1") {
                return good_response(words, None, &full_list, 60 * SECOND);
            }
            let text = serde_json::to_string_pretty(&full_list).unwrap();
            let actions = (0, write(format!("HTTP/1.1 200 OK\r\n\r\n{text}")));
            [actions].into_iter().chain(ends.then_some((MS, Action::Close))).collect()
        }));
        let mut ids = 0;
        call_periodically_until(&network, &client, &mut ids, 2 * SECOND);
        network.reload(new.addr, network.counter.addr);
        call_periodically_until(&network, &client, &mut ids, 4 * SECOND);
        let last = last_call(&network.hosts[0]).unwrap();
        assert!(last < 2 * SECOND + 100 * MS, "{name}: {} ms", last / MS);
    }
    for (fault, _) in cases {
        let last = delay_after_move_while_a_call_hangs(Some(fault));
        assert!(last < EFFECTIVE_AFTER_MOVE, "{fault:?}: {} ms", last / MS);
    }
}

/// Changes the discovery address while a request hangs at the old one; the first request at the new one has the fault.
/// Returns how long a drain that only the new agent knows takes to be effective.
fn delay_after_move_while_a_call_hangs(fault: Option<Fault>) -> Span {
    let (network, client) = start_two_hosts();
    let (_, update, full_list) = initial_and_changed_lists(&network);
    let new = network.start_peer("new agent", 8500);
    let mut fault = fault;
    new.set_behavior(Behavior::script(move |_, words| match fault.take() {
        Some(fault) => faulty(fault, 0, &full_list),
        None => good_response(words, Some(&update), &full_list, 60 * SECOND),
    }));
    let mut ids = 0;
    // No request at the old address gets a response.
    call_periodically_until(&network, &client, &mut ids, 2 * SECOND);
    network.reload(new.addr, network.counter.addr);
    call_periodically_until(&network, &client, &mut ids, 9 * SECOND);
    last_call(&network.hosts[0]).unwrap().saturating_sub(2 * SECOND)
}

#[test]
fn a_new_discovery_address_takes_effect_within_four_seconds_while_a_request_hangs() {
    for fault in [None].into_iter().chain(ALL_FAULTS.map(Some)) {
        let delay = delay_after_move_while_a_call_hangs(fault);
        assert!(delay < EFFECTIVE_AFTER_MOVE, "{fault:?}: {} ms", delay / MS);
    }
}

#[test]
fn a_new_discovery_address_without_a_listener_takes_effect_within_four_seconds_of_being_reachable() {
    // How long after SIGHUP the agent becomes reachable; until then connections are refused, or packets are lost.
    for (is_cut, after) in
        [false, true].into_iter().flat_map(|cut| [0, 1, 999, 1500, 2510, 3700, 6100].map(|ms| (cut, ms * MS)))
    {
        let (network, client) = start_two_hosts();
        let (before, update, full_list) = initial_and_changed_lists(&network);
        network
            .discovery
            .set_behavior(Behavior::script(move |_, words| good_response(words, None, &before, 60 * SECOND)));
        let machine = network.add_machine("new agent");
        let cut = is_cut
            .then(|| network.sim.cut(vec![machine.id()], vec![network.gateway_machine_id()], Cut::Silent));
        let mut ids = 0;
        call_periodically_until(&network, &client, &mut ids, 2 * SECOND);
        network.reload(SocketAddr::new(machine.ip(), 8500), network.counter.addr);
        call_periodically_until(&network, &client, &mut ids, 2 * SECOND + after);
        let new = network.listen(&machine, "new agent", 8500);
        new.set_behavior(Behavior::script(move |_, words| {
            good_response(words, Some(&update), &full_list, 60 * SECOND)
        }));
        cut.into_iter().for_each(|cut| network.sim.heal(cut));
        network.hosts[0].take_received();
        call_periodically_until(
            &network,
            &client,
            &mut ids,
            2 * SECOND + after + EFFECTIVE_AFTER_MOVE + SECOND,
        );
        let delay = last_call(&network.hosts[0]).map_or(0, |last| last - 2 * SECOND - after);
        assert!(delay < EFFECTIVE_AFTER_MOVE, "cut {is_cut}, {} ms: {} ms", after / MS, delay / MS);
        assert_eq!(client.take_replies().len() as u64, ids, "one reply each");
        assert!(last_call(&network.hosts[1]).is_some());
    }
}

/// Returns times around one: a millisecond and a nanosecond before and after it, and the time itself.
fn around(moment: Span) -> [Span; 5] {
    [moment - MS, moment - 1, moment, moment + 1, moment + MS]
}

#[test]
fn a_drain_that_arrives_when_the_initial_list_becomes_active_takes_effect_at_once() {
    for (changes, notified_at) in
        [true, false].into_iter().flat_map(|changes| around(SECOND).map(|at| (changes, at)))
    {
        let (network, client) = start_two_hosts();
        let (_, update, full_list) = initial_and_changed_lists(&network);
        network.discovery.set_behavior(Behavior::Manual);
        (1..=16).for_each(|id| client.get(id));
        network.run_until(notified_at - LOCAL_DELAY);
        let list = if changes { &update } else { &full_list };
        network.discovery.send(0, format!("{CHUNKED_HEAD}{}", chunk(&format!("{list}\n"))));
        network.run_for(2 * SECOND);
        let case = format!("{notified_at} ns, changes {changes}");
        assert_eq!(client.take_replies().len(), 16, "{case}: one reply each");
        if notified_at < SECOND {
            assert_eq!(network.hosts[0].connection_count(), 0, "{case}: no connection either");
        }
        match last_call(&network.hosts[0]) {
            Some(last) => assert!(last <= notified_at, "{case}: sent at {last} ns"),
            None => {
                assert!(notified_at <= SECOND + 1, "{case}: the host gets calls until the drain is known")
            }
        }
    }
}

#[test]
fn a_drain_from_the_old_agent_counts_while_the_discovery_address_changes() {
    // Updates that the old agent wrote before the change may be read shortly after it.
    for notified_at in [2 * SECOND - 1, 2 * SECOND, 2 * SECOND + 1, 2 * SECOND + 4 * MS] {
        let (network, client) = start_two_hosts();
        let (before, update, _) = initial_and_changed_lists(&network);
        network
            .discovery
            .set_behavior(Behavior::script(move |_, words| good_response(words, None, &before, 60 * SECOND)));
        // The new agent never responds.
        let new = network.start_peer("new agent", 8500);
        let mut ids = 0;
        let mut steps = [(notified_at - LOCAL_DELAY, false), (2 * SECOND, true)];
        steps.sort();
        for (when, is_move) in steps {
            call_periodically_until(&network, &client, &mut ids, when);
            if is_move {
                network.reload(new.addr, network.counter.addr);
            } else {
                (0..network.discovery.connection_count())
                    .for_each(|connection| network.discovery.send_list(connection, &update));
            }
        }
        call_periodically_until(&network, &client, &mut ids, 5 * SECOND);
        assert!(new.connection_count() > 0 && client.take_replies().len() as u64 == ids);
        let last = last_call(&network.hosts[0]).unwrap();
        assert!(last <= notified_at, "notified at {notified_at}, sent at {last}");
    }
}

#[test]
fn a_new_process_whose_discovery_address_changes_in_its_first_second_uses_the_list_from_the_new_one() {
    for moved in [0, 500 * MS, SECOND - 4 * LOCAL_DELAY].into_iter().chain(around(SECOND)) {
        let (network, client) = start_two_hosts();
        let (_, update, full_list) = initial_and_changed_lists(&network);
        // The old agent never responds.
        network.discovery.set_behavior(Behavior::Manual);
        let new = network.start_peer("new agent", 8500);
        new.set_behavior(Behavior::script(move |_, words| {
            good_response(words, Some(&update), &full_list, 60 * SECOND)
        }));
        (1..=16).for_each(|id| client.get(id));
        network.run_until(moved);
        network.reload(new.addr, network.counter.addr);
        // Time for the last updates of the old agent, then for connecting, the request and its response.
        let notified_at = moved + 5 * MS + 4 * HOST_DELAY;
        network.run_until(moved + 3 * SECOND);
        assert_eq!(client.take_replies().len(), 16, "{moved}: one reply each");
        assert!(last_call(&network.hosts[0]).is_none_or(|last| last <= notified_at), "{moved}");
        assert!(
            notified_at >= SECOND || network.hosts[0].connection_count() == 0,
            "{moved}: no connection either"
        );
    }
}

#[test]
fn generations_may_start_over_at_another_address_but_not_at_the_same_one() {
    for moves in [false, true] {
        let (network, client) = start_two_hosts();
        let (before, _, _) = initial_and_changed_lists(&network);
        let drains = endpoint_list(9, false, &[host_entry(&network.hosts, 0, "terminating")]);
        let agent = |update: Value, full_list: Value| {
            Behavior::script(move |_, words| good_response(words, Some(&update), &full_list, 60 * SECOND))
        };
        network.discovery.set_behavior(agent(drains, before.clone()));
        let new = network.start_peer("new agent", 8500);
        new.set_behavior(agent(endpoint_list(1, false, &[]), before.clone()));
        let mut ids = 0;
        call_periodically_until(&network, &client, &mut ids, 2 * SECOND);
        assert_eq!(last_call(&network.hosts[0]), None);
        if moves {
            network.reload(new.addr, network.counter.addr);
        } else {
            (0..network.discovery.connection_count())
                .for_each(|connection| network.discovery.send_list(connection, &before));
        }
        call_periodically_until(&network, &client, &mut ids, 3 * SECOND);
        assert_eq!(last_call(&network.hosts[0]).is_some(), moves, "by a full list of generation 1");
        assert!(last_call(&network.hosts[1]).is_some());
    }
}

#[test]
fn a_drain_in_the_initial_list_is_not_undone_by_an_older_list() {
    let mut setup = Setup { hosts: 2, ..Setup::default() };
    setup.initial_list = (5, vec!["terminating", "in_service"]);
    let network = SimulatedNetwork::start(setup);
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
    let (before, client) = (initial_and_changed_lists(&network).0, network.client());
    network.discovery.set_behavior(Behavior::script(move |_, words| {
        good_response(words, Some(&before), &before, 60 * SECOND)
    }));
    call_periodically_until(&network, &client, &mut 0, 2 * SECOND);
    assert_eq!(last_call(&network.hosts[0]), None);
    assert!(last_call(&network.hosts[1]).is_some());
}

#[test]
fn an_empty_or_invalid_list_stops_no_traffic_and_is_not_requested_in_a_tight_loop() {
    for fault in [Garbage, Empty] {
        let (network, client) = start_two_hosts();
        let (requests, full_list) = (Arc::new(AtomicUsize::new(0)), initial_and_changed_lists(&network).0);
        let count = requests.clone();
        network.discovery.set_behavior(Behavior::script(move |_, words| {
            count.fetch_add(1, Ordering::Relaxed);
            match words.contains("watch=1") {
                true => faulty(fault, 0, &full_list),
                false => {
                    let text =
                        if fault == Empty { endpoint_list(7, true, &[]).to_string() } else { "[]".into() };
                    vec![(
                        0,
                        write(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())),
                    )]
                }
            }
        }));
        let mut ids = 0;
        call_periodically_until(&network, &client, &mut ids, 2 * SECOND);
        client.take_replies();
        let before = ids;
        call_periodically_until(&network, &client, &mut ids, 10 * SECOND);
        let replies = client.take_replies();
        assert_eq!(
            replies.iter().filter(|text| !text.starts_with('-')).count() as u64,
            ids - before,
            "{fault:?}"
        );
        let requests = requests.load(Ordering::Relaxed);
        assert!(requests < 15, "{fault:?}: {requests} requests in 10 s");
    }
}

#[test]
fn a_new_process_sends_nothing_to_a_host_that_its_agent_reports_as_draining() {
    // Delay in ms of the responses, whether the first contains the changes or all hosts, and how many requests hang.
    for (after, changes, hangs) in [
        (0, true, 0),
        (0, false, 0),
        (300, true, 0),
        (900, true, 0),
        (900, false, 0),
        (0, true, 1),
        (200, false, 1),
    ] {
        let (network, client) = start_two_hosts();
        let (_, update, full_list) = initial_and_changed_lists(&network);
        let mut hanging_requests_left = hangs;
        network.discovery.set_behavior(Behavior::script(move |_, words| {
            if hanging_requests_left > 0 {
                hanging_requests_left -= 1;
                return Vec::new();
            }
            let update = if changes { &update } else { &full_list };
            good_response(words, Some(update), &full_list, 60 * SECOND)
                .into_iter()
                .map(|(at, action)| (at + after * MS, action))
                .collect()
        }));
        let mut ids = 0;
        call_periodically_until(&network, &client, &mut ids, 3 * SECOND);
        let case = format!("{after} ms, changes {changes}, {hangs} hang");
        assert_eq!(last_call(&network.hosts[0]), None, "{case}");
        assert_eq!(network.hosts[0].connection_count(), 0, "{case}: no connection either");
        let replies = client.take_replies();
        assert_eq!(replies.len() as u64, ids, "{case}: one reply each");
        let served = replies.iter().filter(|text| !text.starts_with('-')).count();
        assert_eq!(served as u64, ids, "{case}: requests that arrived early wait");
    }
}

#[test]
fn a_new_process_without_a_list_from_discovery_is_ready_after_a_second() {
    for fault in [Hang, Close, Refuse, Silent, Mute, Dribble, Garbage, Empty] {
        let (network, client) = start_two_hosts();
        let update = initial_and_changed_lists(&network).0;
        network.discovery.set_behavior(Behavior::script(move |_, _| faulty(fault, 0, &update)));
        let ping = network.client();
        client.get(1);
        let pings = || ping.send(crate::support::command(&["PING"]));
        pings();
        network.run_until(990 * MS);
        assert_eq!(ping.take_replies(), ["-ERR starting"], "{fault:?}");
        assert_eq!(client.take_replies(), [""; 0], "{fault:?}: the call waits");
        pings();
        network.run_until(1010 * MS);
        pings();
        network.run_until(1030 * MS);
        let replies = ping.take_replies();
        assert_eq!(replies.last().map(String::as_str), Some("+PONG"), "{fault:?}: {replies:?}");
        assert_eq!(client.take_replies(), [crate::support::format_id(1)], "{fault:?}");
    }
}

#[test]
fn an_old_watch_is_closed_when_its_successor_responds() {
    let (network, client) = start_two_hosts();
    let before = initial_and_changed_lists(&network).0;
    network
        .discovery
        .set_behavior(Behavior::script(move |_, words| good_response(words, None, &before, 60 * SECOND)));
    call_periodically_until(&network, &client, &mut 0, 30 * SECOND);
    let ends =
        network.discovery.take_received().into_iter().filter(|received| received.text == CLOSED).count();
    assert_eq!(ends + 1, network.discovery.connection_count(), "one watch is open");
    // Bounds the load on discovery, since every gateway of a fleet opens watches at this rate.
    assert!(
        (5..=13).contains(&network.discovery.connection_count()),
        "{}",
        network.discovery.connection_count()
    );
}
