//! Discovery: delivery of changes to agents, messages, and faults.

use cluster_model::agent::{
    Detection, DiscoveryMessage, Endpoint, EndpointStatus, Registry, Watch, FIRST_GENERATION,
    HEARTBEAT_INTERVAL,
};
use cluster_model::observation::Lifecycle;
use cluster_model::scenario::{DiscoveryFault, DiscoverySpec};
use cluster_model::{Time, MS, SECOND};
use serde_json::Value;
use std::net::SocketAddr;

const START: Time = 1000 * SECOND;
const END: Time = START + 600 * SECOND;

fn endpoint(host: u32) -> Endpoint {
    let addr = |gateway: u8| SocketAddr::from(([10, gateway, 0, host as u8], 6379));
    Endpoint {
        id: format!("s-{host:08x}"),
        host,
        addrs: (1..=3).map(addr).collect(),
        zone: "a".into(),
        machine_type: "m2".into(),
        cell: 3,
        lifecycle: Lifecycle::InService,
        weight: 1.0,
        started_ms: 0,
    }
}

fn draining(host: u32) -> Endpoint {
    Endpoint { lifecycle: Lifecycle::Draining, ..endpoint(host) }
}

fn removed(host: u32) -> Endpoint {
    Endpoint { lifecycle: Lifecycle::Removed, ..endpoint(host) }
}

fn registry() -> Registry {
    // Out of order, to check that lists are sorted.
    Registry::new(&DiscoverySpec::default(), 5, 3, vec![endpoint(1), endpoint(0)])
}

fn parse_json(message: &DiscoveryMessage) -> Value {
    serde_json::from_str(&message.text).expect("a JSON object")
}

fn generations(messages: &[DiscoveryMessage]) -> Vec<u64> {
    messages.iter().filter_map(|message| parse_json(message)["generation"].as_u64()).collect()
}

/// Ids and states of the endpoints in a message, in order.
fn hosts(message: &DiscoveryMessage) -> Vec<(String, String)> {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let list = parse_json(message)["instances"].as_array().cloned().unwrap_or_default();
    list.iter().map(|entry| (text(&entry["instanceId"]), text(&entry["lifecycle"]))).collect()
}

fn entry(host: u32, lifecycle: &str) -> (String, String) {
    (endpoint(host).id, lifecycle.into())
}

/// Follows a watch and returns the generations that it sends with their times.
fn follow_watch(registry: &mut Registry, agent: u32, from: Time) -> Vec<(Time, u64)> {
    let (mut watch, _) = Watch::open(registry, from, agent, None).expect("the agent is not silent");
    let mut sent = Vec::new();
    let mut now = from;
    while let Some(at) = registry.next_update(now, agent) {
        now = at.max(now);
        let messages = watch.take_messages(registry, now);
        sent.extend(generations(&messages).into_iter().map(|generation| (now, generation)));
    }
    sent
}

/// The new host states that an agent has learned of.
fn new_states(registry: &mut Registry, now: Time, agent: u32) -> Vec<(u32, Lifecycle)> {
    registry.take_updates(now, agent).iter().map(|entry| (entry.host, entry.state)).collect()
}

#[test]
fn messages_have_the_form_of_the_protocol() {
    let mut registry = registry();
    let list = registry.endpoint_list(START, 1).expect("the agent is not silent");
    assert_eq!(
        list.text,
        concat!(
            r#"{"generation":1,"reset":true,"instances":["#,
            r#"{"instanceId":"s-00000000","hostPort":"10.2.0.0:6379","zone":"a","machineType":"m2","#,
            r#""cell":3,"lifecycle":"in_service","weight":1.0,"startedAtMs":0},"#,
            r#"{"instanceId":"s-00000001","hostPort":"10.2.0.1:6379","zone":"a","machineType":"m2","#,
            r#""cell":3,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}]}"#
        )
    );
    let started = Endpoint { started_ms: 1_000_500, ..draining(1) };
    registry.update(START, started, Detection::Announced);
    let (mut watch, _) = Watch::open(&mut registry, START, 1, None).expect("the agent is not silent");
    let messages = watch.take_messages(&mut registry, START + 3 * SECOND);
    assert_eq!(generations(&messages), [2]);
    assert_eq!(parse_json(&messages[0])["reset"], false);
    assert_eq!(hosts(&messages[0]), [entry(1, "terminating")]);
    let status = EndpointStatus { host: 1, state: Lifecycle::Draining, started: 1_000_500 * MS };
    assert_eq!(messages[0].endpoints, [status]);
}

#[test]
fn names_are_escaped() {
    let unusual = Endpoint { id: "a\"b\\".into(), ..endpoint(0) };
    let mut registry = Registry::new(&DiscoverySpec::default(), 5, 1, vec![unusual]);
    let list = registry.endpoint_list(START, 0).expect("the agent is not silent");
    assert_eq!(parse_json(&list)["instances"][0]["instanceId"], "a\"b\\");
}

#[test]
fn delays_differ_by_agent_and_change_and_preserve_the_order() {
    let mut registry = registry();
    let changes: Vec<Time> = (0..40).map(|n| START + n * 500 * MS).collect();
    changes.iter().enumerate().for_each(|(n, at)| {
        registry.update(*at, if n % 2 == 0 { draining(1) } else { endpoint(1) }, Detection::Announced);
    });
    let sent: Vec<_> = (0..3).map(|agent| follow_watch(&mut registry, agent, START)).collect();
    for times in &sent {
        let order: Vec<u64> = times.iter().map(|(_, generation)| *generation).collect();
        assert_eq!(order, (2..42).collect::<Vec<_>>());
        let delays: Vec<_> = times.iter().zip(&changes).map(|((at, _), change)| at - change).collect();
        assert!(delays.iter().all(|delay| (500 * MS..=3 * SECOND).contains(delay)), "{delays:?}");
        assert!(delays.iter().max() > delays.iter().min());
    }
    assert_ne!(sent[0], sent[1]);
    assert_ne!(sent[1], sent[2]);
}

#[test]
fn a_silent_crash_is_detected_after_a_timeout() {
    let mut registry = registry();
    registry.update(START, removed(1), Detection::TimedOut);
    assert_eq!(registry.endpoints().len(), 1, "the registry changes at once");
    let (at, _) = follow_watch(&mut registry, 0, START)[0];
    assert!((START + 6 * SECOND..=START + 11 * SECOND).contains(&at));
}

#[test]
fn an_agent_sends_the_changes_after_a_known_generation() {
    let mut registry = registry();
    registry.update(START, draining(0), Detection::Announced);
    registry.update(START, endpoint(2), Detection::Announced);
    registry.update(START, removed(0), Detection::Announced);
    let after =
        |registry: &mut Registry, n| registry.changes_after(END, 0, n).expect("the agent is not silent");
    let message = after(&mut registry, FIRST_GENERATION);
    assert_eq!(hosts(&message), [entry(0, "terminated"), entry(2, "in_service")]);
    assert_eq!(
        (parse_json(&message)["generation"].clone(), parse_json(&message)["reset"].clone()),
        (4.into(), false.into())
    );
    assert_eq!(hosts(&after(&mut registry, 2)), hosts(&message), "the host has changed again");
    assert_eq!(hosts(&after(&mut registry, 3)), [entry(0, "terminated")]);
    assert_eq!(hosts(&after(&mut registry, 4)), []);
    assert_eq!(parse_json(&after(&mut registry, 4))["reset"], false);
}

#[test]
fn an_agent_sends_the_complete_list_for_an_unknown_generation() {
    let mut registry = registry();
    registry.update(START, removed(0), Detection::Announced);
    for unknown in [0, 3, u64::MAX] {
        let message = registry.changes_after(END, 0, unknown).expect("the agent is not silent");
        assert_eq!(parse_json(&message)["reset"], true, "{unknown}");
        assert_eq!(hosts(&message), [entry(1, "in_service")]);
        let states: Vec<_> = message.endpoints.iter().map(|status| (status.host, status.state)).collect();
        assert_eq!(
            states,
            [(0, Lifecycle::Removed), (1, Lifecycle::InService)],
            "the list covers the removed host by its absence"
        );
    }
    let early = registry.changes_after(START, 1, 2).expect("the agent is not silent");
    assert_eq!(parse_json(&early)["reset"], true, "this agent does not know the generation yet");
    assert_eq!(parse_json(&early)["generation"], 1);
}

#[test]
fn a_silent_agent_sends_pending_changes_after_the_silence() {
    let mut registry = registry();
    let (mut watch, _) = Watch::open(&mut registry, START, 0, None).expect("the agent is not silent");
    let over = START + 20 * SECOND;
    registry.inject_fault(START, DiscoveryFault::Stalled, over);
    registry.update(START, draining(0), Detection::Announced);
    registry.update(START, removed(0), Detection::Announced);
    assert_eq!(watch.next_message_at(&registry, START), over);
    assert!(registry.take_updates(over - 1, 0).is_empty(), "the agent learns of nothing either");
    assert!(watch.take_messages(&mut registry, over - 1).is_empty(), "not even a heartbeat");
    assert!(Watch::open(&mut registry, over - 1, 0, Some(FIRST_GENERATION)).is_none());
    assert!(registry.endpoint_list(over - 1, 0).is_none());
    assert_eq!(registry.silent_until(over - 1), Some(over));
    assert_eq!(new_states(&mut registry, over, 0), [(0, Lifecycle::Draining), (0, Lifecycle::Removed)]);
    assert_eq!(generations(&watch.take_messages(&mut registry, over)), [2, 3]);
    let (_, message) =
        Watch::open(&mut registry, over, 0, Some(FIRST_GENERATION)).expect("the agent is no longer silent");
    assert_eq!(hosts(&message), [entry(0, "terminated")]);
}

#[test]
fn a_late_fault_delays_changes_by_its_duration() {
    let (mut usual, mut late) = (registry(), registry());
    late.inject_fault(START, DiscoveryFault::Delayed(20 * SECOND), START + SECOND);
    for registry in [&mut usual, &mut late] {
        registry.update(START, draining(0), Detection::Announced);
    }
    let (usual, late) = (follow_watch(&mut usual, 0, START), follow_watch(&mut late, 0, START));
    assert_eq!(late[0], (usual[0].0 + 20 * SECOND, 2));
}

#[test]
fn a_repeats_fault_sends_changes_twice() {
    let mut registry = registry();
    registry.inject_fault(START, DiscoveryFault::Duplicated, START + 30 * SECOND);
    registry.update(START, draining(0), Detection::Announced);
    registry.update(START, removed(0), Detection::Announced);
    let sent_generations: Vec<u64> =
        follow_watch(&mut registry, 0, START).iter().map(|(_, generation)| *generation).collect();
    assert_eq!(sent_generations, [2, 2, 3, 3]);
    assert_eq!(
        new_states(&mut registry, END, 0),
        [(0, Lifecycle::Draining), (0, Lifecycle::Removed)],
        "updates are reported once"
    );
    registry.update(START + 30 * SECOND, endpoint(2), Detection::Announced);
    assert_eq!(follow_watch(&mut registry, 0, START + 30 * SECOND).len(), 1, "the fault has ended");
}

#[test]
fn reordered_changes_are_swapped_and_the_list_is_still_correct() {
    let mut registry = registry();
    registry.inject_fault(START, DiscoveryFault::Reordered, START + 30 * SECOND);
    registry.update(START, draining(0), Detection::Announced);
    registry.update(START + MS, removed(0), Detection::Announced);
    registry.update(START + 2 * MS, endpoint(2), Detection::Announced);
    let sent = follow_watch(&mut registry, 0, START);
    let sent_generations: Vec<u64> = sent.iter().map(|(_, generation)| *generation).collect();
    assert_eq!(sent_generations, [3, 2, 4], "the older change is sent later");
    assert!(sent.windows(2).all(|pair| pair[0].0 <= pair[1].0));
    let list = registry.endpoint_list(END, 0).expect("the agent is not silent");
    assert_eq!(
        hosts(&list),
        [entry(1, "in_service"), entry(2, "in_service")],
        "a removed host stays removed"
    );
    assert_eq!(parse_json(&list)["generation"], 4);
    assert_eq!(
        new_states(&mut registry, END, 0),
        [(0, Lifecycle::Removed), (2, Lifecycle::InService)],
        "the older change is not an update"
    );
}

#[test]
fn resuming_between_swapped_changes_misses_neither() {
    let mut registry = registry();
    registry.inject_fault(START, DiscoveryFault::Reordered, START + 30 * SECOND);
    registry.update(START, draining(0), Detection::Announced);
    registry.update(START, draining(1), Detection::Announced);
    let first = registry.next_update(START, 0).expect("a pending change");
    assert_eq!(new_states(&mut registry, first, 0), [(1, Lifecycle::Draining)]);
    // The agent has sent generation 3, and learns of generation 2 while no watch is open.
    let message = registry.changes_after(END, 0, 3).expect("the agent is not silent");
    assert_eq!(hosts(&message), [entry(0, "terminating")]);
    let message = registry.changes_after(END, 0, 2).expect("the agent is not silent");
    assert_eq!(hosts(&message), [entry(1, "terminating")]);
}

#[test]
fn a_watch_sends_changes_on_time_and_a_heartbeat_every_two_seconds_otherwise() {
    let mut registry = registry();
    let (mut watch, first) =
        Watch::open(&mut registry, START, 0, Some(FIRST_GENERATION)).expect("the agent is not silent");
    assert_eq!((parse_json(&first)["reset"].clone(), hosts(&first).len()), (false.into(), 0));
    assert_eq!(watch.next_message_at(&registry, START), START + HEARTBEAT_INTERVAL);
    assert!(watch.take_messages(&mut registry, START + HEARTBEAT_INTERVAL - 1).is_empty());
    assert_eq!(watch.take_messages(&mut registry, START + HEARTBEAT_INTERVAL), [DiscoveryMessage::default()]);
    registry.update(START + HEARTBEAT_INTERVAL, draining(0), Detection::Announced);
    let mut now = START + HEARTBEAT_INTERVAL;
    let mut messages = Vec::new();
    while messages.is_empty() {
        now = watch.next_message_at(&registry, now);
        messages = watch.take_messages(&mut registry, now);
        messages.retain(|message| !message.text.is_empty());
    }
    assert_eq!(generations(&messages), [2]);
    assert_eq!(
        watch.next_message_at(&registry, now),
        now + HEARTBEAT_INTERVAL,
        "two seconds after the last message"
    );
}

#[test]
fn each_watch_on_an_agent_sends_every_change_once() {
    let mut registry = registry();
    let (mut one, _) = Watch::open(&mut registry, START, 0, None).expect("the agent is not silent");
    let (mut other, _) = Watch::open(&mut registry, START, 0, None).expect("the agent is not silent");
    registry.update(START, draining(0), Detection::Announced);
    assert_eq!(generations(&one.take_messages(&mut registry, START + 3 * SECOND)), [2]);
    assert_eq!(other.next_message_at(&registry, START + 3 * SECOND), START + 3 * SECOND);
    assert_eq!(generations(&other.take_messages(&mut registry, START + 3 * SECOND)), [2]);
    assert!(other.take_messages(&mut registry, START + 3 * SECOND).is_empty());
}

#[test]
fn an_agent_learns_of_changes_on_time_without_a_watch() {
    let mut registry = registry();
    let started = Endpoint { started_ms: 1_000_500, ..endpoint(2) };
    registry.update(START, started, Detection::Announced);
    let at = registry.next_update(START, 1).expect("a pending change");
    assert_eq!(registry.take_updates(at - 1, 1), []);
    let entry = EndpointStatus { host: 2, state: Lifecycle::InService, started: 1_000_500 * MS };
    assert_eq!(registry.take_updates(at, 1), [entry]);
    assert_eq!(registry.take_updates(END, 1), [], "reported once");
    assert_eq!(registry.next_update(at, 1), None);
    // Agents learn independently, and an update delivered by a list request is still reported.
    registry.endpoint_list(END, 0).expect("the agent is not silent");
    assert_eq!(registry.take_updates(END, 0), [entry]);
}

#[test]
fn a_gateway_is_not_notified_of_a_host_without_an_address_for_it() {
    let mut registry = registry();
    let partly_reachable = Endpoint { addrs: endpoint(2).addrs[..1].into(), ..endpoint(2) };
    registry.update(START, partly_reachable, Detection::Announced);
    assert_eq!(new_states(&mut registry, END, 0), [(2, Lifecycle::InService)]);
    assert_eq!(new_states(&mut registry, END, 1), []);
}

#[test]
fn clearing_the_faults_ends_a_silence() {
    let mut registry = registry();
    registry.inject_fault(START, DiscoveryFault::Stalled, END);
    assert!(registry.endpoint_list(START, 0).is_none());
    registry.clear_faults();
    assert!(registry.endpoint_list(START, 0).is_some());
}
