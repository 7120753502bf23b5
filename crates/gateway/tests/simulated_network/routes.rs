//! Pools, routes and quota policies of the operators' files, also when they are reloaded in service.

use crate::support::{
    customer_plan, endpoint_list, format_id, get, host_entry, post, value_reply, Behavior, Client, Peer,
    Received, Setup, SimulatedNetwork,
};
use cluster_model::rng::Rng;
use cluster_model::{MS, SECOND};
use gateway::Signal;
use runtime::Span;
use serde_json::json;
use simulated_runtime::Cut;
use std::collections::{BTreeMap, BTreeSet};

/// Reads go to the first two hosts, all other requests to the last two.
const TWO_POOLS: &str = r#"
pool "first" { ids = ["s-0", "s-1"] }
pool "second" { ids = ["s-2", "s-3"] }
route "reads" { classes = "read"  pool = "first" }
route "rest" { pool = "second" }
"#;

/// Puts each statement on its own line, as the language requires.
fn one_statement_per_line(text: &str) -> String {
    text.replace("{ ", "{\n").replace("  ", "\n").replace(" }", "\n}")
}

fn start_network(operators: &str, hosts: usize) -> SimulatedNetwork {
    let network = SimulatedNetwork::start(Setup {
        hosts,
        operators: one_statement_per_line(operators),
        ..Setup::default()
    });
    network.run_until(10 * MS);
    network
}

/// Returns the ids that each host has received since the last call.
fn calls(network: &SimulatedNetwork) -> Vec<Vec<u64>> {
    let id = |text: &str| text.split_whitespace().nth(2).map(|id| u64::from_str_radix(id, 16).unwrap());
    let of = |host: &Peer| {
        let received = host.take_received();
        let calls = received.iter().filter(|received| received.text.starts_with("CALL"));
        calls.filter_map(|received| id(&received.text)).collect()
    };
    network.hosts.iter().map(of).collect()
}

fn single_reply(client: &Client) -> String {
    let replies = client.take_replies();
    assert_eq!(replies.len(), 1, "{replies:?}");
    replies.into_iter().next().unwrap()
}

#[test]
fn requests_go_only_to_the_pool_of_their_route() {
    let network = start_network(TWO_POOLS, 5);
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
    let client = network.client();
    for id in 1..=40 {
        client.send(if id % 2 == 0 { get(id) } else { post(id, id, 1.0) });
        network.run_for(10 * MS);
        assert_eq!(single_reply(&client), format_id(id));
    }
    let received = calls(&network);
    let even = |ids: &Vec<u64>| ids.iter().all(|id| id % 2 == 0);
    assert!(
        received[..2].iter().all(even) && received[..2].iter().all(|ids| !ids.is_empty()),
        "{received:?}"
    );
    assert!(received[2..4].iter().flatten().all(|id| id % 2 == 1), "{received:?}");
    assert_eq!(received[4], [0; 0], "host in no pool");
}

#[test]
fn a_request_in_flight_is_retried_under_its_original_route() {
    let network = start_network(TWO_POOLS, 4);
    let client = network.client();
    client.get(2);
    network.run_for(10 * MS);
    let at = calls(&network).iter().position(|ids| ids == &[2]).unwrap();
    assert!(at < 2);
    // The route is removed, and new reads go to other hosts.
    let without = r#"pool "second" { ids = ["s-2", "s-3"] }
route "all" { pool = "second" }
"#;
    network.reload_operators(&one_statement_per_line(without));
    network.run_for(10 * MS);
    client.get(4);
    network.run_for(10 * MS);
    let moved = calls(&network);
    assert!(moved[2..].iter().flatten().eq(&[4]), "{moved:?}");
    // The first attempt fails: the next one goes to the other host of the removed pool.
    network.hosts[at].send(0, "-ERR failed\r\n");
    network.run_for(10 * MS);
    let again = calls(&network);
    assert_eq!(again[1 - at], [2], "{again:?}");
}

#[test]
fn an_unsafe_request_that_may_have_been_executed_is_not_retried_after_its_route_changes() {
    let network = start_network(TWO_POOLS, 4);
    let client = network.client();
    client.post(1);
    network.run_for(10 * MS);
    let at = calls(&network).iter().position(|ids| ids == &[1]).unwrap();
    network.reload_operators(&one_statement_per_line(
        "pool \"first\" { ids = [\"s-0\", \"s-1\"] }\nroute \"all\" { pool = \"first\" }\n",
    ));
    network.run_for(10 * MS);
    network.hosts[at].send(0, "-ERR failed\r\n");
    network.run_for(10 * MS);
    assert!(single_reply(&client).starts_with("-ERR"));
    assert!(calls(&network).iter().all(Vec::is_empty));
}

#[test]
fn a_host_that_leaves_a_pool_gets_no_new_requests_of_it() {
    let network = start_network(TWO_POOLS, 4);
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
    let client = network.client();
    network.reload_operators(&one_statement_per_line(
        &TWO_POOLS.replace("ids = [\"s-0\", \"s-1\"]", "ids = \"s-1\""),
    ));
    // Requests that were assigned before continue; new ones use the new pool.
    network.run_for(MS);
    for id in (2..40).step_by(2) {
        client.get(id);
        network.run_for(5 * MS);
    }
    let received = calls(&network);
    assert_eq!(received[0], [0; 0], "{received:?}");
    assert_eq!(received[1].len(), 19);
}

#[test]
fn an_attempt_that_waits_for_a_connection_moves_to_another_host_when_its_host_leaves_the_pool() {
    let network = start_network("pool \"first\" { ids = \"s-0\" }\nroute \"all\" { pool = \"first\" }\n", 2);
    let client = network.client();
    // The host is unreachable: the attempt waits for its connection.
    network.sim.cut(vec![network.hosts[0].machine.id()], vec![network.gateway_machine_id()], Cut::Silent);
    client.post(1);
    network.run_for(20 * MS);
    network.reload_operators(&one_statement_per_line(
        "pool \"first\" { ids = \"s-1\" }\nroute \"all\" { pool = \"first\" }\n",
    ));
    network.run_for(20 * MS);
    assert_eq!(calls(&network)[1], [1], "before the dial timeout");
}

#[test]
fn a_reload_does_not_restore_a_host_that_a_full_list_omits_while_it_still_executes_a_request() {
    let both = "pool \"first\" { ids = [\"s-0\", \"s-1\"] }\nroute \"all\" { pool = \"first\" }\n";
    let network = start_network(both, 2);
    let client = network.client();
    client.get(2);
    network.run_for(10 * MS);
    let at = calls(&network).iter().position(|ids| ids == &[2]).unwrap();
    network.hosts[1 - at].set_behavior(Behavior::serve(4, 0));
    network
        .discovery
        .send_list(0, &endpoint_list(2, true, &[host_entry(&network.hosts, 1 - at, "in_service")]));
    network.run_for(10 * MS);
    network
        .reload_operators(&one_statement_per_line(&format!("pool \"second\" {{ ids = \"s-9\" }}\n{both}")));
    network.run_for(10 * MS);
    // Each attempt at a removed host would end unsent, and use up one of the few attempts.
    for id in (4..60).step_by(2) {
        client.get(id);
        network.run_for(5 * MS);
    }
    assert_eq!(calls(&network)[at], [0; 0]);
    network.hosts[at].send(0, value_reply(&format_id(2)));
    network.run_for(10 * MS);
    let replies = client.take_replies();
    assert!(replies.iter().eq((2..60).step_by(2).map(format_id).collect::<Vec<_>>().iter()), "{replies:?}");
}

#[test]
fn attempts_that_wait_for_a_connection_are_reassigned_when_their_host_restarts() {
    let network = start_network("", 2);
    let client = network.client();
    // The host is unreachable: attempts wait for their connections.
    network.sim.cut(vec![network.hosts[0].machine.id()], vec![network.gateway_machine_id()], Cut::Silent);
    (1..=8).for_each(|id| client.get(id));
    network.run_for(20 * MS);
    let came = calls(&network)[1].len();
    assert!(came <= 6, "{came} of 8 went to the other host");
    let mut restarted = host_entry(&network.hosts, 0, "in_service");
    restarted["startedAtMs"] = json!((1_000_000 * SECOND + network.now()) / MS);
    network.discovery.send_list(0, &endpoint_list(2, false, &[restarted]));
    network.run_for(5 * MS);
    // The host in slow start may get one request.
    let moved = calls(&network)[1].len();
    assert!(came + moved >= 7, "{came} of 8 before the list, {moved} after it");
}

#[test]
fn an_invalid_file_changes_nothing() {
    let network = start_network(TWO_POOLS, 4);
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
    let client = network.client();
    let (broken, unknown) = ("pool \"first\" {\n ids =\n", "route \"all\" {\n pool = \"third\"\n}\n");
    let cut = &one_statement_per_line(TWO_POOLS)[..60];
    for (n, text) in [broken, unknown, cut, "include \"nothing.fb\"\n"].into_iter().enumerate() {
        network.reload_operators(text);
        network.run_for(10 * MS);
        let id = 2 * n as u64 + 2;
        client.get(id);
        network.run_for(10 * MS);
        assert_eq!(single_reply(&client), format_id(id));
        let received = calls(&network);
        assert_eq!(received[0].len() + received[1].len(), 1, "{text}: {received:?}");
    }
}

#[test]
fn the_fallback_pool_is_used_while_discovery_has_no_host_of_the_pool_in_service() {
    let with = "pool \"a\" { ids = \"s-0\" }\npool \"b\" { ids = \"s-1\" }\n\
                route \"all\" { pool = \"a\"  fallback = \"b\" }\n";
    let network = start_network(with, 2);
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
    let client = network.client();
    network.run_until(SECOND + 100 * MS);
    for (generation, lifecycle, expected) in
        [(2, "terminating", 1), (3, "in_service", 0), (4, "terminated", 1)]
    {
        let update = endpoint_list(generation, false, &[host_entry(&network.hosts, 0, lifecycle)]);
        network.discovery.send_list(0, &update);
        network.run_for(10 * MS);
        calls(&network);
        client.get(generation);
        network.run_for(10 * MS);
        assert_eq!(calls(&network)[expected], [generation], "{lifecycle}");
    }
}

#[test]
fn a_quota_policy_lowers_the_quota_and_its_removal_restores_that_of_the_plan() {
    let mut setup = Setup { hosts: 1, ..Setup::default() };
    setup.settings["tariffs"] = json!([customer_plan(1.0, 20.0)]);
    let network = SimulatedNetwork::start(setup);
    network.hosts[0].set_behavior(Behavior::serve(4, 0));
    network.run_until(10 * MS);
    let client = network.client();
    let served_count = |from: u64, customer: u64| {
        let mut count = 0;
        for id in from..from + 30 {
            client.send(post(id, customer, 1.0));
            network.run_for(5 * MS);
            count += usize::from(single_reply(&client) == format_id(id));
        }
        count
    };
    assert_eq!(served_count(100, 1), 20);
    let policy = "quota policy \"tight\" {\n plan = \"team\"\n rate = 1 units/s\n burst = 5 units\n}\n";
    network.reload_operators(policy);
    network.run_for(MS);
    assert_eq!(served_count(200, 2), 5, "a customer without earlier requests");
    assert_eq!(served_count(300, 1), 0, "a customer whose units are used up");
    network.run_for(60 * SECOND);
    assert_eq!(served_count(400, 1), 5, "the token bucket holds no more");
    network.reload_operators("");
    network.run_for(60 * SECOND);
    assert_eq!(served_count(500, 1), 20);
}

#[test]
fn a_route_has_no_more_attempts_in_flight_than_its_limit_even_across_a_reload() {
    let limited =
        "pool \"all\" {}\nroute \"reads\" { classes = \"read\"  pool = \"all\"  most-out = 2 attempts }\n";
    let network = start_network(limited, 4);
    let clients: Vec<_> = (1..=6).map(|id| network.client_with_call(get(id), usize::MAX)).collect();
    network.run_for(20 * MS);
    let in_flight = |network: &SimulatedNetwork| calls(network).iter().map(Vec::len).sum::<usize>();
    assert_eq!(in_flight(&network), 2);
    // The same route at another position, after another one.
    let more = format!("route \"other\" {{ classes = \"order\"  pool = \"all\" }}\n{limited}");
    network.reload_operators(&one_statement_per_line(&more));
    network.run_for(20 * MS);
    assert_eq!(in_flight(&network), 0, "the two attempts in flight still count");
    network.reload_operators(&one_statement_per_line(&limited.replace("2 attempts", "3 attempts")));
    network.run_for(20 * MS);
    let late = network.client_with_call(get(7), usize::MAX);
    network.run_for(20 * MS);
    assert_eq!(in_flight(&network), 1);
    drop((clients, late));
}

#[test]
fn reloads_at_the_same_instant_and_during_shutdown_take_effect_in_order() {
    let network = start_network(TWO_POOLS, 4);
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
    let client = network.client();
    let only =
        |host: usize| format!("pool \"one\" {{ ids = \"s-{host}\" }}\nroute \"all\" {{ pool = \"one\" }}\n");
    // Two reloads at the same instant: the later one takes effect.
    network.reload_operators(&one_statement_per_line(&only(2)));
    network.reload_operators(&one_statement_per_line(&only(3)));
    network.run_for(MS);
    client.get(2);
    network.run_for(10 * MS);
    assert_eq!(calls(&network)[3], [2]);
    network.signal(Signal::Terminate);
    network.run_for(50 * MS);
    network.reload_operators(&one_statement_per_line(&only(1)));
    network.run_for(MS);
    client.get(4);
    network.run_for(10 * MS);
    assert_eq!(calls(&network)[1], [4], "for requests accepted during shutdown");
    assert_eq!(client.take_replies(), [format_id(2), format_id(4)]);
}

#[test]
fn files_that_change_before_the_first_list_apply_to_requests_that_arrive_later() {
    // The agent sends the list, or the initial one becomes active.
    for list_arrives in [true, false] {
        let network = SimulatedNetwork::start(Setup {
            hosts: 4,
            operators: one_statement_per_line(TWO_POOLS),
            ..Setup::default()
        });
        network.discovery.set_behavior(Behavior::Manual);
        network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 0)));
        let client = network.client();
        (2..=8).step_by(2).for_each(|id| client.get(id));
        network.run_until(10 * MS);
        network.reload_operators(&one_statement_per_line(
            &TWO_POOLS.replace("pool = \"first\"", "pool = \"second\""),
        ));
        network.run_until(20 * MS);
        (10..=16).step_by(2).for_each(|id| client.get(id));
        network.run_until(30 * MS);
        assert!(calls(&network).iter().all(Vec::is_empty), "no list is active");
        if list_arrives {
            let hosts: Vec<_> =
                (0..4).map(|number| host_entry(&network.hosts, number, "in_service")).collect();
            network.discovery.start_watch_response(0);
            network.discovery.send_list(0, &endpoint_list(2, true, &hosts));
        }
        network.run_until(if list_arrives { 100 * MS } else { SECOND + 100 * MS });
        let received = calls(&network);
        let came = |pool: &[Vec<u64>]| pool.iter().flatten().copied().collect::<BTreeSet<u64>>();
        assert_eq!(
            came(&received[..2]),
            BTreeSet::from([2, 4, 6, 8]),
            "{list_arrives}: by the route at their arrival"
        );
        assert_eq!(came(&received[2..]), BTreeSet::from([10, 12, 14, 16]), "{list_arrives}");
        assert_eq!(client.take_replies().len(), 8, "{list_arrives}");
    }
}

#[test]
fn a_reload_after_a_full_list_has_omitted_a_busy_host_assigns_no_request_to_it() {
    let mut setup = Setup { hosts: 2, ..Setup::default() };
    // With one attempt per request, an attempt at the removed host would fail the request.
    setup.settings["allowed"]["max-attempts"] = 1.into();
    let network = SimulatedNetwork::start(setup);
    network.run_until(10 * MS);
    let (busy, client) = (network.client(), network.client());
    busy.post(1);
    network.run_for(10 * MS);
    let at = calls(&network).iter().position(|ids| ids == &[1]).unwrap();
    network.hosts[1 - at].set_behavior(Behavior::serve(1, 50 * MS));
    network
        .discovery
        .send_list(0, &endpoint_list(2, true, &[host_entry(&network.hosts, 1 - at, "in_service")]));
    network.run_for(10 * MS);
    network.reload_operators("pool \"all\" {}\n");
    network.run_for(10 * MS);
    // More requests than the other host has concurrency slots: the rest waits, and is not sent to the removed host.
    (2..=17).for_each(|id| client.post(id));
    network.run_for(4 * SECOND);
    assert_eq!(client.take_replies(), (2..=17).map(format_id).collect::<Vec<_>>());
    assert!(calls(&network)[at].is_empty());
    network.hosts[at].send(0, value_reply("late"));
    network.run_for(10 * MS);
    assert_eq!(single_reply(&busy), "late", "the host completes its call");
}

#[test]
fn files_with_more_pools_than_fit_beside_those_in_use_change_no_address_until_a_pool_is_free() {
    let pools: String = (0..64).map(|n| format!("pool \"p{n}\" {{}}\n")).collect();
    let route = |n: u64| format!("route \"r{n}\" {{ customers = {}  pool = \"p{n}\" }}\n", n + 1);
    let operators =
        one_statement_per_line(&(pools + &(0..64).map(route).collect::<String>())).replace("{\n}", "{}");
    let network = SimulatedNetwork::start(Setup { sockets: 1024, operators, ..Setup::default() });
    network.run_until(10 * MS);
    let clients: Vec<_> = (0..8).map(|_| network.client()).collect();
    // One request of each customer is in flight at the host or waiting for it, so each pool is in use.
    for (customer, client) in (1..=64).zip(clients.iter().cycle()) {
        client.send(post(customer, customer, 1.0));
    }
    network.run_for(10 * MS);
    let id = |call: &Received| call.text.split(' ').nth(2).unwrap().to_owned();
    let in_flight = network.hosts[0].take_received();
    let (agent, counter) = (network.start_peer("new agent", 8500), network.start_peer("new counter", 7000));
    network.discovery.take_received();
    network.write_operators("pool \"other\" {}\nroute \"all\" {\n pool = \"other\"\n}\n");
    network.reload(agent.addr, counter.addr);
    network.run_for(10 * MS);
    assert!(
        agent.take_received().is_empty() && network.discovery.take_received().is_empty(),
        "the old watch stays open"
    );
    // One request completes, which frees a pool: the same files can be loaded.
    network.hosts[0].send(in_flight[0].connection, value_reply(&id(&in_flight[0])));
    network.run_for(MS);
    network.signal(Signal::Reload);
    network.run_for(10 * MS);
    assert!(agent.take_single().text.starts_with("GET /registry/instances "));
    network.hosts[0].set_behavior(Behavior::serve(4, 0));
    for call in in_flight[1..].iter().chain(&network.hosts[0].take_received()) {
        network.hosts[0].send(call.connection, value_reply(&id(call)));
    }
    network.run_for(SECOND);
    let replies: Vec<_> = clients.iter().flat_map(Client::take_replies).collect();
    assert!(replies.len() == 64 && replies.iter().all(|text| !text.starts_with('-')), "{replies:?}");
}

/// The hosts that reads and orders may go to, for each version of the files but the last one, which is invalid and never
/// takes effect.
const ALLOWED: [[&[usize]; 2]; 4] = {
    let all: &[usize] = &[0, 1, 2, 3];
    [[&[0, 1], &[2, 3]], [&[1, 2], all], [&[0], &[3]], [all, all]]
};
const VERSIONS: [&str; 5] = [
    TWO_POOLS,
    "pool \"first\" { ids = [\"s-1\", \"s-2\"] }\nroute \"reads\" { classes = \"read\"  pool = \"first\" }\n",
    "pool \"second\" { ids = \"s-3\" }\npool \"first\" { ids = \"s-0\" }\n\
     route \"orders\" { classes = \"order\"  pool = \"second\"  fallback = \"first\" }\n\
     route \"reads\" { pool = \"first\"  fallback = \"second\"  most-out = 6 attempts }\n",
    "",
    "pool \"broken\" {",
];

#[test]
fn a_thousand_reloads_under_load_give_each_request_exactly_one_reply() {
    let network = start_network(TWO_POOLS, 4);
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 3 * MS)));
    let clients: Vec<_> = (0..8).map(|_| network.client()).collect();
    let mut rng = Rng::stream(5, "reloads", 0);
    // When each request was sent, and when each version took effect.
    let mut sent: BTreeMap<u64, Span> = BTreeMap::new();
    let mut version_changes = vec![(0, 0)];
    for _ in 0..1_000 {
        for client in &clients {
            let id = sent.len() as u64 + 1;
            client.send(if id % 2 == 0 { get(id) } else { post(id, id, 1.0) });
            sent.insert(id, network.now());
        }
        network.run_for(rng.below(2_000) * 1_000);
        let next = rng.below(VERSIONS.len() as u64) as usize;
        network.reload_operators(&one_statement_per_line(VERSIONS[next]));
        version_changes.extend((next < ALLOWED.len()).then_some((network.now(), next)));
        network.run_for(rng.below(8) * MS);
    }
    network.run_for(10 * SECOND);

    let replies: Vec<String> = clients.iter().flat_map(Client::take_replies).collect();
    assert_eq!(replies.len(), sent.len(), "each request has exactly one reply");
    let rejected = replies.iter().filter(|text| *text == "-BUSY").count();
    let served: BTreeSet<&String> = replies.iter().filter(|text| !text.starts_with('-')).collect();
    assert_eq!(
        served.len() + rejected,
        sent.len(),
        "no request fails, and no response is delivered to two requests"
    );
    assert!(rejected < sent.len() / 5, "{rejected} of {}", sent.len());
    // Returns the versions active at any time from when the client sent a request until the host received it.
    let in_force = |from: Span, to: Span| {
        let next = |n: usize| version_changes.get(n + 1).map_or(Span::MAX, |(at, _)| *at);
        let during =
            version_changes.iter().enumerate().filter(move |(n, (at, _))| *at <= to && next(*n) >= from);
        during.map(|(_, (_, version))| *version).collect::<BTreeSet<_>>()
    };
    let mut distinguishing = 0;
    for (host, peer) in network.hosts.iter().enumerate() {
        for call in peer.take_received().into_iter().filter(|received| received.text.starts_with("CALL")) {
            let id =
                call.text.split_whitespace().nth(2).map(|id| u64::from_str_radix(id, 16).unwrap()).unwrap();
            let versions = in_force(sent[&id], call.at);
            let may = |version: &usize| ALLOWED[*version][(id % 2) as usize].contains(&host);
            assert!(versions.iter().any(may), "{id} at host {host}, under {versions:?}");
            distinguishing += usize::from(!versions.contains(&3) && versions.len() == 1);
        }
    }
    assert!(distinguishing > 1_000, "the check can fail for only {distinguishing} calls");
}
