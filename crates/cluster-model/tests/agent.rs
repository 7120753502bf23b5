//! Discovery: what agents hear when, what they tell, and each of its ways to fail.

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

fn member(host: u32) -> Endpoint {
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
    Endpoint { lifecycle: Lifecycle::Draining, ..member(host) }
}

fn gone(host: u32) -> Endpoint {
    Endpoint { lifecycle: Lifecycle::Removed, ..member(host) }
}

fn registry() -> Registry {
    // Not in order: lists are.
    Registry::new(&DiscoverySpec::default(), 5, 3, vec![member(1), member(0)])
}

fn json(line: &DiscoveryMessage) -> Value {
    serde_json::from_str(&line.text).expect("an object")
}

fn generations(lines: &[DiscoveryMessage]) -> Vec<u64> {
    lines.iter().filter_map(|line| json(line)["generation"].as_u64()).collect()
}

/// Ids and states, in the order in which they stand.
fn hosts(line: &DiscoveryMessage) -> Vec<(String, String)> {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let list = json(line)["instances"].as_array().cloned().unwrap_or_default();
    list.iter().map(|entry| (text(&entry["instanceId"]), text(&entry["lifecycle"]))).collect()
}

fn entry(host: u32, lifecycle: &str) -> (String, String) {
    (member(host).id, lifecycle.into())
}

/// When an agent tells of what, step by step, to a watch that has been open for long.
fn hear(registry: &mut Registry, agent: u32, from: Time) -> Vec<(Time, u64)> {
    let (mut watch, _) = Watch::open(registry, from, agent, None).expect("it speaks");
    let mut heard = Vec::new();
    let mut now = from;
    while let Some(due) = registry.next_update(now, agent) {
        now = due.max(now);
        let lines = watch.take_messages(registry, now);
        heard.extend(generations(&lines).into_iter().map(|generation| (now, generation)));
    }
    heard
}

/// What an agent hears of that is new to it: hosts and their states.
fn news(registry: &mut Registry, now: Time, agent: u32) -> Vec<(u32, Lifecycle)> {
    registry.take_updates(now, agent).iter().map(|entry| (entry.host, entry.state)).collect()
}

#[test]
fn lines_are_in_the_form_of_the_protocol() {
    let mut registry = registry();
    let list = registry.endpoint_list(START, 1).expect("it speaks");
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
    let (mut watch, _) = Watch::open(&mut registry, START, 1, None).expect("it speaks");
    let lines = watch.take_messages(&mut registry, START + 3 * SECOND);
    assert_eq!(generations(&lines), [2]);
    assert_eq!(json(&lines[0])["reset"], false);
    assert_eq!(hosts(&lines[0]), [entry(1, "terminating")]);
    let told = EndpointStatus { host: 1, state: Lifecycle::Draining, started: 1_000_500 * MS };
    assert_eq!(lines[0].endpoints, [told]);
}

#[test]
fn names_are_quoted() {
    let odd = Endpoint { id: "a\"b\\".into(), ..member(0) };
    let mut registry = Registry::new(&DiscoverySpec::default(), 5, 1, vec![odd]);
    let list = registry.endpoint_list(START, 0).expect("it speaks");
    assert_eq!(json(&list)["instances"][0]["instanceId"], "a\"b\\");
}

#[test]
fn delays_differ_by_agent_and_change_and_the_order_holds() {
    let mut registry = registry();
    let changes: Vec<Time> = (0..40).map(|n| START + n * 500 * MS).collect();
    changes.iter().enumerate().for_each(|(n, at)| {
        registry.update(*at, if n % 2 == 0 { draining(1) } else { member(1) }, Detection::Announced);
    });
    let heard: Vec<_> = (0..3).map(|agent| hear(&mut registry, agent, START)).collect();
    for times in &heard {
        let order: Vec<u64> = times.iter().map(|(_, generation)| *generation).collect();
        assert_eq!(order, (2..42).collect::<Vec<_>>());
        let took: Vec<_> = times.iter().zip(&changes).map(|((at, _), change)| at - change).collect();
        assert!(took.iter().all(|took| (500 * MS..=3 * SECOND).contains(took)), "{took:?}");
        assert!(took.iter().max() > took.iter().min());
    }
    assert_ne!(heard[0], heard[1]);
    assert_ne!(heard[1], heard[2]);
}

#[test]
fn a_host_that_died_without_a_word_is_missed_later() {
    let mut registry = registry();
    registry.update(START, gone(1), Detection::TimedOut);
    assert_eq!(registry.endpoints().len(), 1, "the truth is at once");
    let (at, _) = hear(&mut registry, 0, START)[0];
    assert!((START + 6 * SECOND..=START + 11 * SECOND).contains(&at));
}

#[test]
fn an_agent_tells_what_changed_after_a_version_it_knows() {
    let mut registry = registry();
    registry.update(START, draining(0), Detection::Announced);
    registry.update(START, member(2), Detection::Announced);
    registry.update(START, gone(0), Detection::Announced);
    let after = |registry: &mut Registry, n| registry.changes_after(END, 0, n).expect("it speaks");
    let line = after(&mut registry, FIRST_GENERATION);
    assert_eq!(hosts(&line), [entry(0, "terminated"), entry(2, "in_service")]);
    assert_eq!((json(&line)["generation"].clone(), json(&line)["reset"].clone()), (4.into(), false.into()));
    assert_eq!(hosts(&after(&mut registry, 2)), hosts(&line), "the host has changed once more");
    assert_eq!(hosts(&after(&mut registry, 3)), [entry(0, "terminated")]);
    assert_eq!(hosts(&after(&mut registry, 4)), []);
    assert_eq!(json(&after(&mut registry, 4))["reset"], false);
}

#[test]
fn of_a_version_it_does_not_know_it_tells_the_whole_list() {
    let mut registry = registry();
    registry.update(START, gone(0), Detection::Announced);
    for unknown in [0, 3, u64::MAX] {
        let line = registry.changes_after(END, 0, unknown).expect("it speaks");
        assert_eq!(json(&line)["reset"], true, "{unknown}");
        assert_eq!(hosts(&line), [entry(1, "in_service")]);
        let told: Vec<_> = line.endpoints.iter().map(|told| (told.host, told.state)).collect();
        assert_eq!(
            told,
            [(0, Lifecycle::Removed), (1, Lifecycle::InService)],
            "who is missing is told to be gone"
        );
    }
    let early = registry.changes_after(START, 1, 2).expect("it speaks");
    assert_eq!(json(&early)["reset"], true, "this agent has not heard of it yet");
    assert_eq!(json(&early)["generation"], 1);
}

#[test]
fn a_silent_agent_says_nothing_and_tells_what_came_meanwhile_after_it() {
    let mut registry = registry();
    let (mut watch, _) = Watch::open(&mut registry, START, 0, None).expect("it speaks");
    let over = START + 20 * SECOND;
    registry.inject_fault(START, DiscoveryFault::Silent, over);
    registry.update(START, draining(0), Detection::Announced);
    registry.update(START, gone(0), Detection::Announced);
    assert_eq!(watch.next_message_at(&registry, START), over);
    assert!(registry.take_updates(over - 1, 0).is_empty(), "nor has it heard of anything");
    assert!(watch.take_messages(&mut registry, over - 1).is_empty(), "not even an empty line");
    assert!(Watch::open(&mut registry, over - 1, 0, Some(FIRST_GENERATION)).is_none());
    assert!(registry.endpoint_list(over - 1, 0).is_none());
    assert_eq!(registry.silent_until(over - 1), Some(over));
    assert_eq!(news(&mut registry, over, 0), [(0, Lifecycle::Draining), (0, Lifecycle::Removed)]);
    assert_eq!(generations(&watch.take_messages(&mut registry, over)), [2, 3]);
    let (_, line) = Watch::open(&mut registry, over, 0, Some(FIRST_GENERATION)).expect("it speaks again");
    assert_eq!(hosts(&line), [entry(0, "terminated")]);
}

#[test]
fn late_news_comes_so_much_later() {
    let (mut usual, mut late) = (registry(), registry());
    late.inject_fault(START, DiscoveryFault::Late(20 * SECOND), START + SECOND);
    for registry in [&mut usual, &mut late] {
        registry.update(START, draining(0), Detection::Announced);
    }
    let (usual, late) = (hear(&mut usual, 0, START), hear(&mut late, 0, START));
    assert_eq!(late[0], (usual[0].0 + 20 * SECOND, 2));
}

#[test]
fn repeated_news_is_told_twice() {
    let mut registry = registry();
    registry.inject_fault(START, DiscoveryFault::Repeats, START + 30 * SECOND);
    registry.update(START, draining(0), Detection::Announced);
    registry.update(START, gone(0), Detection::Announced);
    let told: Vec<u64> = hear(&mut registry, 0, START).iter().map(|(_, generation)| *generation).collect();
    assert_eq!(told, [2, 2, 3, 3]);
    assert_eq!(news(&mut registry, END, 0), [(0, Lifecycle::Draining), (0, Lifecycle::Removed)], "new once");
    registry.update(START + 30 * SECOND, member(2), Detection::Announced);
    assert_eq!(hear(&mut registry, 0, START + 30 * SECOND).len(), 1, "it is over");
}

#[test]
fn reordered_news_swaps_places_and_the_list_is_right_all_the_same() {
    let mut registry = registry();
    registry.inject_fault(START, DiscoveryFault::Reordered, START + 30 * SECOND);
    registry.update(START, draining(0), Detection::Announced);
    registry.update(START + MS, gone(0), Detection::Announced);
    registry.update(START + 2 * MS, member(2), Detection::Announced);
    let heard = hear(&mut registry, 0, START);
    let told: Vec<u64> = heard.iter().map(|(_, generation)| *generation).collect();
    assert_eq!(told, [3, 2, 4], "the older one later");
    assert!(heard.windows(2).all(|pair| pair[0].0 <= pair[1].0));
    let list = registry.endpoint_list(END, 0).expect("it speaks");
    assert_eq!(hosts(&list), [entry(1, "in_service"), entry(2, "in_service")], "gone is gone");
    assert_eq!(json(&list)["generation"], 4);
    assert_eq!(
        news(&mut registry, END, 0),
        [(0, Lifecycle::Removed), (2, Lifecycle::InService)],
        "the older one is no news"
    );
}

#[test]
fn who_resumes_between_swapped_news_misses_neither() {
    let mut registry = registry();
    registry.inject_fault(START, DiscoveryFault::Reordered, START + 30 * SECOND);
    registry.update(START, draining(0), Detection::Announced);
    registry.update(START, draining(1), Detection::Announced);
    let first = registry.next_update(START, 0).expect("news");
    assert_eq!(news(&mut registry, first, 0), [(1, Lifecycle::Draining)]);
    // It has told of 3, and tells of 2 while nobody watches.
    let line = registry.changes_after(END, 0, 3).expect("it speaks");
    assert_eq!(hosts(&line), [entry(0, "terminating")]);
    let line = registry.changes_after(END, 0, 2).expect("it speaks");
    assert_eq!(hosts(&line), [entry(1, "terminating")]);
}

#[test]
fn a_watch_tells_news_when_it_is_due_and_else_an_empty_line_every_two_seconds() {
    let mut registry = registry();
    let (mut watch, first) = Watch::open(&mut registry, START, 0, Some(FIRST_GENERATION)).expect("it speaks");
    assert_eq!((json(&first)["reset"].clone(), hosts(&first).len()), (false.into(), 0));
    assert_eq!(watch.next_message_at(&registry, START), START + HEARTBEAT_INTERVAL);
    assert!(watch.take_messages(&mut registry, START + HEARTBEAT_INTERVAL - 1).is_empty());
    assert_eq!(watch.take_messages(&mut registry, START + HEARTBEAT_INTERVAL), [DiscoveryMessage::default()]);
    registry.update(START + HEARTBEAT_INTERVAL, draining(0), Detection::Announced);
    let mut now = START + HEARTBEAT_INTERVAL;
    let mut news = Vec::new();
    while news.is_empty() {
        now = watch.next_message_at(&registry, now);
        news = watch.take_messages(&mut registry, now);
        news.retain(|line| !line.text.is_empty());
    }
    assert_eq!(generations(&news), [2]);
    assert_eq!(
        watch.next_message_at(&registry, now),
        now + HEARTBEAT_INTERVAL,
        "two seconds from the last line"
    );
}

#[test]
fn each_watch_on_an_agent_hears_everything_once() {
    let mut registry = registry();
    let (mut one, _) = Watch::open(&mut registry, START, 0, None).expect("it speaks");
    let (mut other, _) = Watch::open(&mut registry, START, 0, None).expect("it speaks");
    registry.update(START, draining(0), Detection::Announced);
    assert_eq!(generations(&one.take_messages(&mut registry, START + 3 * SECOND)), [2]);
    assert_eq!(other.next_message_at(&registry, START + 3 * SECOND), START + 3 * SECOND);
    assert_eq!(generations(&other.take_messages(&mut registry, START + 3 * SECOND)), [2]);
    assert!(other.take_messages(&mut registry, START + 3 * SECOND).is_empty());
}

#[test]
fn an_agent_hears_of_news_when_it_is_due_whether_or_not_anyone_watches() {
    let mut registry = registry();
    let started = Endpoint { started_ms: 1_000_500, ..member(2) };
    registry.update(START, started, Detection::Announced);
    let due = registry.next_update(START, 1).expect("news");
    assert_eq!(registry.take_updates(due - 1, 1), []);
    let entry = EndpointStatus { host: 2, state: Lifecycle::InService, started: 1_000_500 * MS };
    assert_eq!(registry.take_updates(due, 1), [entry]);
    assert_eq!(registry.take_updates(END, 1), [], "once");
    assert_eq!(registry.next_update(due, 1), None);
    // Each agent has an ear of its own, and what it heard on the way to telling is not lost.
    registry.endpoint_list(END, 0).expect("it speaks");
    assert_eq!(registry.take_updates(END, 0), [entry]);
}

#[test]
fn a_gateway_hears_of_no_host_that_it_cannot_reach() {
    let mut registry = registry();
    let elsewhere = Endpoint { addrs: member(2).addrs[..1].into(), ..member(2) };
    registry.update(START, elsewhere, Detection::Announced);
    assert_eq!(news(&mut registry, END, 0), [(2, Lifecycle::InService)]);
    assert_eq!(news(&mut registry, END, 1), []);
}

#[test]
fn healing_ends_a_silence() {
    let mut registry = registry();
    registry.inject_fault(START, DiscoveryFault::Silent, END);
    assert!(registry.endpoint_list(START, 0).is_none());
    registry.clear_faults();
    assert!(registry.endpoint_list(START, 0).is_some());
}
