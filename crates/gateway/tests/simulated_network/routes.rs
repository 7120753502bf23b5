//! Pools, routes and quota policies of the operators' files, also when those are read again in service.

use crate::support::{entry, get, list, name, post, served, tariff, Client, Manner, Peer, Plan, Room, Seen};
use cluster_model::rng::Rng;
use cluster_model::{MS, SECOND};
use gateway::Signal;
use runtime::Span;
use serde_json::json;
use simulated_runtime::Cut;
use std::collections::{BTreeMap, BTreeSet};

/// Reads go to the first two hosts, all else to the others.
const TWO_POOLS: &str = r#"
pool "first" { ids = ["s-0", "s-1"] }
pool "second" { ids = ["s-2", "s-3"] }
route "reads" { classes = "read"  pool = "first" }
route "rest" { pool = "second" }
"#;

/// On lines of their own, as the language wants it.
fn spaced(text: &str) -> String {
    text.replace("{ ", "{\n").replace("  ", "\n").replace(" }", "\n}")
}

fn room(operators: &str, hosts: usize) -> Room {
    let room = Room::start(Plan { hosts, operators: spaced(operators), ..Plan::default() });
    room.run_to(10 * MS);
    room
}

/// The ids that came to each host since this was last asked.
fn calls(room: &Room) -> Vec<Vec<u64>> {
    let id = |text: &str| text.split_whitespace().nth(2).map(|id| u64::from_str_radix(id, 16).unwrap());
    let of = |host: &Peer| {
        let seen = host.seen();
        let calls = seen.iter().filter(|seen| seen.text.starts_with("CALL"));
        calls.filter_map(|seen| id(&seen.text)).collect()
    };
    room.hosts.iter().map(of).collect()
}

fn one(client: &Client) -> String {
    let heard = client.heard();
    assert_eq!(heard.len(), 1, "{heard:?}");
    heard.into_iter().next().unwrap()
}

#[test]
fn requests_go_to_the_pool_of_their_route_and_nowhere_else() {
    let room = room(TWO_POOLS, 5);
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 0)));
    let client = room.client();
    for id in 1..=40 {
        client.say(if id % 2 == 0 { get(id) } else { post(id, id, 1.0) });
        room.run(10 * MS);
        assert_eq!(one(&client), name(id));
    }
    let seen = calls(&room);
    let even = |ids: &Vec<u64>| ids.iter().all(|id| id % 2 == 0);
    assert!(seen[..2].iter().all(even) && seen[..2].iter().all(|ids| !ids.is_empty()), "{seen:?}");
    assert!(seen[2..4].iter().flatten().all(|id| id % 2 == 1), "{seen:?}");
    assert_eq!(seen[4], [0; 0], "in no pool");
}

#[test]
fn a_request_in_hand_is_tried_again_under_the_route_that_it_began_with() {
    let room = room(TWO_POOLS, 4);
    let client = room.client();
    client.get(2);
    room.run(10 * MS);
    let at = calls(&room).iter().position(|ids| ids == &[2]).unwrap();
    assert!(at < 2);
    // The route is gone, and reads go elsewhere.
    let without = r#"pool "second" { ids = ["s-2", "s-3"] }
route "all" { pool = "second" }
"#;
    room.reload_operators(&spaced(without));
    room.run(10 * MS);
    client.get(4);
    room.run(10 * MS);
    let moved = calls(&room);
    assert!(moved[2..].iter().flatten().eq(&[4]), "{moved:?}");
    // The first attempt fails: the next goes to the other host of the pool that is no longer there.
    room.hosts[at].say(0, "-ERR failed\r\n");
    room.run(10 * MS);
    let again = calls(&room);
    assert_eq!(again[1 - at], [2], "{again:?}");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_repeated_whatever_its_route_becomes() {
    let room = room(TWO_POOLS, 4);
    let client = room.client();
    client.post(1);
    room.run(10 * MS);
    let at = calls(&room).iter().position(|ids| ids == &[1]).unwrap();
    room.reload_operators(&spaced(
        "pool \"first\" { ids = [\"s-0\", \"s-1\"] }\nroute \"all\" { pool = \"first\" }\n",
    ));
    room.run(10 * MS);
    room.hosts[at].say(0, "-ERR failed\r\n");
    room.run(10 * MS);
    assert!(one(&client).starts_with("-ERR"));
    assert!(calls(&room).iter().all(Vec::is_empty));
}

#[test]
fn a_host_that_leaves_a_pool_takes_nothing_new_for_it() {
    let room = room(TWO_POOLS, 4);
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 0)));
    let client = room.client();
    room.reload_operators(&spaced(&TWO_POOLS.replace("ids = [\"s-0\", \"s-1\"]", "ids = \"s-1\"")));
    // Whatever was decided before goes on; all that comes from now on knows.
    room.run(MS);
    for id in (2..40).step_by(2) {
        client.get(id);
        room.run(5 * MS);
    }
    let seen = calls(&room);
    assert_eq!(seen[0], [0; 0], "{seen:?}");
    assert_eq!(seen[1].len(), 19);
}

#[test]
fn what_waits_for_a_connection_at_a_host_that_leaves_the_pool_goes_elsewhere_unsent() {
    let room = room("pool \"first\" { ids = \"s-0\" }\nroute \"all\" { pool = \"first\" }\n", 2);
    let client = room.client();
    // Nothing gets there: the attempt waits for its connection.
    room.sim.cut(vec![room.hosts[0].machine.id()], vec![room.gateway()], Cut::Silent);
    client.post(1);
    room.run(20 * MS);
    room.reload_operators(&spaced("pool \"first\" { ids = \"s-1\" }\nroute \"all\" { pool = \"first\" }\n"));
    room.run(20 * MS);
    assert_eq!(calls(&room)[1], [1], "not after the time that a connection may take");
}

#[test]
fn files_read_again_put_back_no_host_that_a_whole_list_left_out_while_it_still_works() {
    let both = "pool \"first\" { ids = [\"s-0\", \"s-1\"] }\nroute \"all\" { pool = \"first\" }\n";
    let room = room(both, 2);
    let client = room.client();
    client.get(2);
    room.run(10 * MS);
    let at = calls(&room).iter().position(|ids| ids == &[2]).unwrap();
    room.hosts[1 - at].manner(Manner::serve(4, 0));
    room.discovery.tell(0, &list(2, true, &[entry(&room.hosts, 1 - at, "in_service")]));
    room.run(10 * MS);
    room.reload_operators(&spaced(&format!("pool \"second\" {{ ids = \"s-9\" }}\n{both}")));
    room.run(10 * MS);
    // Each attempt at a host that is gone ends unsent, and costs one of the few further attempts.
    for id in (4..60).step_by(2) {
        client.get(id);
        room.run(5 * MS);
    }
    assert_eq!(calls(&room)[at], [0; 0]);
    room.hosts[at].say(0, served(&name(2)));
    room.run(10 * MS);
    let heard = client.heard();
    assert!(heard.iter().eq((2..60).step_by(2).map(name).collect::<Vec<_>>().iter()), "{heard:?}");
}

#[test]
fn what_waits_for_a_connection_at_a_host_that_starts_anew_is_decided_on_anew() {
    let room = room("", 2);
    let client = room.client();
    // Nothing gets there: attempts wait for their connections.
    room.sim.cut(vec![room.hosts[0].machine.id()], vec![room.gateway()], Cut::Silent);
    (1..=8).for_each(|id| client.get(id));
    room.run(20 * MS);
    let came = calls(&room)[1].len();
    assert!(came <= 6, "{came} of 8 went to the other host");
    let mut anew = entry(&room.hosts, 0, "in_service");
    anew["startedAtMs"] = json!((1_000_000 * SECOND + room.now()) / MS);
    room.discovery.tell(0, &list(2, false, &[anew]));
    room.run(5 * MS);
    // The cold host may get one.
    let moved = calls(&room)[1].len();
    assert!(came + moved >= 7, "{came} of 8 before the list, {moved} after it");
}

#[test]
fn a_bad_file_changes_nothing() {
    let room = room(TWO_POOLS, 4);
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 0)));
    let client = room.client();
    let (broken, unknown) = ("pool \"first\" {\n ids =\n", "route \"all\" {\n pool = \"third\"\n}\n");
    let cut = &spaced(TWO_POOLS)[..60];
    for (n, text) in [broken, unknown, cut, "include \"nothing.fb\"\n"].into_iter().enumerate() {
        room.reload_operators(text);
        room.run(10 * MS);
        let id = 2 * n as u64 + 2;
        client.get(id);
        room.run(10 * MS);
        assert_eq!(one(&client), name(id));
        let seen = calls(&room);
        assert_eq!(seen[0].len() + seen[1].len(), 1, "{text}: {seen:?}");
    }
}

#[test]
fn the_fallback_takes_over_while_discovery_has_no_host_of_the_pool() {
    let with = "pool \"a\" { ids = \"s-0\" }\npool \"b\" { ids = \"s-1\" }\n\
                route \"all\" { pool = \"a\"  fallback = \"b\" }\n";
    let room = room(with, 2);
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 0)));
    let client = room.client();
    room.run_to(SECOND + 100 * MS);
    for (generation, lifecycle, expected) in
        [(2, "terminating", 1), (3, "in_service", 0), (4, "terminated", 1)]
    {
        let line = list(generation, false, &[entry(&room.hosts, 0, lifecycle)]);
        room.discovery.tell(0, &line);
        room.run(10 * MS);
        calls(&room);
        client.get(generation);
        room.run(10 * MS);
        assert_eq!(calls(&room)[expected], [generation], "{lifecycle}");
    }
}

#[test]
fn a_quota_policy_tightens_and_its_removal_gives_back_what_the_platform_grants() {
    let mut plan = Plan { hosts: 1, ..Plan::default() };
    plan.settings["tariffs"] = json!([tariff(1.0, 20.0)]);
    let room = Room::start(plan);
    room.hosts[0].manner(Manner::serve(4, 0));
    room.run_to(10 * MS);
    let client = room.client();
    let served = |from: u64, customer: u64| {
        let mut count = 0;
        for id in from..from + 30 {
            client.say(post(id, customer, 1.0));
            room.run(5 * MS);
            count += usize::from(one(&client) == name(id));
        }
        count
    };
    assert_eq!(served(100, 1), 20);
    let policy = "quota policy \"tight\" {\n plan = \"team\"\n rate = 1 units/s\n burst = 5 units\n}\n";
    room.reload_operators(policy);
    room.run(MS);
    assert_eq!(served(200, 2), 5, "one that is met now");
    assert_eq!(served(300, 1), 0, "one that had nothing left");
    room.run(60 * SECOND);
    assert_eq!(served(400, 1), 5, "its store holds no more");
    room.reload_operators("");
    room.run(60 * SECOND);
    assert_eq!(served(500, 1), 20);
}

#[test]
fn a_route_has_no_more_attempts_out_than_its_limit_also_across_a_reload() {
    let limited =
        "pool \"all\" {}\nroute \"reads\" { classes = \"read\"  pool = \"all\"  most-out = 2 attempts }\n";
    let room = room(limited, 4);
    let clients: Vec<_> = (1..=6).map(|id| room.client_that_says(get(id), usize::MAX)).collect();
    room.run(20 * MS);
    let out = |room: &Room| calls(room).iter().map(Vec::len).sum::<usize>();
    assert_eq!(out(&room), 2);
    // The same route in another place, with another one before it.
    let more = format!("route \"other\" {{ classes = \"order\"  pool = \"all\" }}\n{limited}");
    room.reload_operators(&spaced(&more));
    room.run(20 * MS);
    assert_eq!(out(&room), 0, "the two that are out count on");
    room.reload_operators(&spaced(&limited.replace("2 attempts", "3 attempts")));
    room.run(20 * MS);
    let late = room.client_that_says(get(7), usize::MAX);
    room.run(20 * MS);
    assert_eq!(out(&room), 1);
    drop((clients, late));
}

#[test]
fn a_reload_upon_a_reload_and_one_while_it_stops_count_in_their_order() {
    let room = room(TWO_POOLS, 4);
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 0)));
    let client = room.client();
    let only =
        |host: usize| format!("pool \"one\" {{ ids = \"s-{host}\" }}\nroute \"all\" {{ pool = \"one\" }}\n");
    // Two at the same instant: the later one holds.
    room.reload_operators(&spaced(&only(2)));
    room.reload_operators(&spaced(&only(3)));
    room.run(MS);
    client.get(2);
    room.run(10 * MS);
    assert_eq!(calls(&room)[3], [2]);
    room.signal(Signal::Terminate);
    room.run(50 * MS);
    room.reload_operators(&spaced(&only(1)));
    room.run(MS);
    client.get(4);
    room.run(10 * MS);
    assert_eq!(calls(&room)[1], [4], "for what it still takes");
    assert_eq!(client.heard(), [name(2), name(4)]);
}

#[test]
fn files_that_change_before_the_first_list_has_come_count_for_what_comes_after_them() {
    // The agent tells the list itself, or the known one comes into use.
    for tells in [true, false] {
        let room = Room::start(Plan { hosts: 4, operators: spaced(TWO_POOLS), ..Plan::default() });
        room.discovery.manner(Manner::Wait);
        room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 0)));
        let client = room.client();
        (2..=8).step_by(2).for_each(|id| client.get(id));
        room.run_to(10 * MS);
        room.reload_operators(&spaced(&TWO_POOLS.replace("pool = \"first\"", "pool = \"second\"")));
        room.run_to(20 * MS);
        (10..=16).step_by(2).for_each(|id| client.get(id));
        room.run_to(30 * MS);
        assert!(calls(&room).iter().all(Vec::is_empty), "no list is in use");
        if tells {
            let hosts: Vec<_> = (0..4).map(|number| entry(&room.hosts, number, "in_service")).collect();
            room.discovery.open_watch(0);
            room.discovery.tell(0, &list(2, true, &hosts));
        }
        room.run_to(if tells { 100 * MS } else { SECOND + 100 * MS });
        let seen = calls(&room);
        let came = |pool: &[Vec<u64>]| pool.iter().flatten().copied().collect::<BTreeSet<u64>>();
        assert_eq!(
            came(&seen[..2]),
            BTreeSet::from([2, 4, 6, 8]),
            "{tells}: by the route that they began with"
        );
        assert_eq!(came(&seen[2..]), BTreeSet::from([10, 12, 14, 16]), "{tells}");
        assert_eq!(client.heard().len(), 8, "{tells}");
    }
}

#[test]
fn files_that_change_after_a_whole_list_has_left_out_a_busy_host_do_not_bring_it_back() {
    let mut plan = Plan { hosts: 2, ..Plan::default() };
    // An attempt that could not be made would be the last.
    plan.settings["allowed"]["max-attempts"] = 1.into();
    let room = Room::start(plan);
    room.run_to(10 * MS);
    let (busy, client) = (room.client(), room.client());
    busy.post(1);
    room.run(10 * MS);
    let at = calls(&room).iter().position(|ids| ids == &[1]).unwrap();
    room.hosts[1 - at].manner(Manner::serve(1, 50 * MS));
    room.discovery.tell(0, &list(2, true, &[entry(&room.hosts, 1 - at, "in_service")]));
    room.run(10 * MS);
    room.reload_operators("pool \"all\" {}\n");
    room.run(10 * MS);
    // More at once than the other host takes: those behind wait, and are not spent on one that is gone.
    (2..=17).for_each(|id| client.post(id));
    room.run(4 * SECOND);
    assert_eq!(client.heard(), (2..=17).map(name).collect::<Vec<_>>());
    assert!(calls(&room)[at].is_empty());
    room.hosts[at].say(0, served("late"));
    room.run(10 * MS);
    assert_eq!(one(&busy), "late", "what it has, it finishes");
}

#[test]
fn files_whose_pools_find_no_place_beside_those_in_use_move_no_address_until_they_do() {
    let pools: String = (0..64).map(|n| format!("pool \"p{n}\" {{}}\n")).collect();
    let route = |n: u64| format!("route \"r{n}\" {{ customers = {}  pool = \"p{n}\" }}\n", n + 1);
    let operators = spaced(&(pools + &(0..64).map(route).collect::<String>())).replace("{\n}", "{}");
    let room = Room::start(Plan { sockets: 1024, operators, ..Plan::default() });
    room.run_to(10 * MS);
    let clients: Vec<_> = (0..8).map(|_| room.client()).collect();
    // One request of each customer is in hand, at the host or waiting for it, so each pool is in use.
    for (customer, client) in (1..=64).zip(clients.iter().cycle()) {
        client.say(post(customer, customer, 1.0));
    }
    room.run(10 * MS);
    let id = |call: &Seen| call.text.split(' ').nth(2).unwrap().to_owned();
    let out = room.hosts[0].seen();
    let (agent, counter) = (room.peer("new agent", 8500), room.peer("new counter", 7000));
    room.discovery.seen();
    room.write_operators("pool \"other\" {}\nroute \"all\" {\n pool = \"other\"\n}\n");
    room.reload(agent.addr, counter.addr);
    room.run(10 * MS);
    assert!(agent.seen().is_empty() && room.discovery.seen().is_empty(), "the old watch goes on");
    // One of them is over: the same files find a place.
    room.hosts[0].say(out[0].line, served(&id(&out[0])));
    room.run(MS);
    room.signal(Signal::Reload);
    room.run(10 * MS);
    assert!(agent.one().text.starts_with("GET /registry/instances "));
    room.hosts[0].manner(Manner::serve(4, 0));
    for call in out[1..].iter().chain(&room.hosts[0].seen()) {
        room.hosts[0].say(call.line, served(&id(call)));
    }
    room.run(SECOND);
    let heard: Vec<_> = clients.iter().flat_map(Client::heard).collect();
    assert!(heard.len() == 64 && heard.iter().all(|text| !text.starts_with('-')), "{heard:?}");
}

/// Which hosts reads and orders may go to, by version; the last one is broken, and never in force.
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
fn a_thousand_reloads_under_load_lose_nothing_and_answer_nothing_twice() {
    let room = room(TWO_POOLS, 4);
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 3 * MS)));
    let clients: Vec<_> = (0..8).map(|_| room.client()).collect();
    let mut rng = Rng::stream(5, "reloads", 0);
    // When each request was sent, and when each version came into force.
    let mut sent: BTreeMap<u64, Span> = BTreeMap::new();
    let mut turns = vec![(0, 0)];
    for _ in 0..1_000 {
        for client in &clients {
            let id = sent.len() as u64 + 1;
            client.say(if id % 2 == 0 { get(id) } else { post(id, id, 1.0) });
            sent.insert(id, room.now());
        }
        room.run(rng.below(2_000) * 1_000);
        let next = rng.below(VERSIONS.len() as u64) as usize;
        room.reload_operators(&spaced(VERSIONS[next]));
        turns.extend((next < ALLOWED.len()).then_some((room.now(), next)));
        room.run(rng.below(8) * MS);
    }
    room.run(10 * SECOND);

    let heard: Vec<String> = clients.iter().flat_map(Client::heard).collect();
    assert_eq!(heard.len(), sent.len(), "each is answered, and once");
    let refused = heard.iter().filter(|text| *text == "-BUSY").count();
    let served: BTreeSet<&String> = heard.iter().filter(|text| !text.starts_with('-')).collect();
    assert_eq!(served.len() + refused, sent.len(), "none fails, and no answer is given to two");
    assert!(refused < sent.len() / 5, "{refused} of {}", sent.len());
    // In force at some time from when it was sent by its client up to when it came to the host.
    let in_force = |from: Span, to: Span| {
        let next = |n: usize| turns.get(n + 1).map_or(Span::MAX, |(at, _)| *at);
        let during = turns.iter().enumerate().filter(move |(n, (at, _))| *at <= to && next(*n) >= from);
        during.map(|(_, (_, version))| *version).collect::<BTreeSet<_>>()
    };
    let mut apart = 0;
    for (host, peer) in room.hosts.iter().enumerate() {
        for call in peer.seen().into_iter().filter(|seen| seen.text.starts_with("CALL")) {
            let id =
                call.text.split_whitespace().nth(2).map(|id| u64::from_str_radix(id, 16).unwrap()).unwrap();
            let versions = in_force(sent[&id], call.at);
            let may = |version: &usize| ALLOWED[*version][(id % 2) as usize].contains(&host);
            assert!(versions.iter().any(may), "{id} at host {host}, under {versions:?}");
            apart += usize::from(!versions.contains(&3) && versions.len() == 1);
        }
    }
    assert!(apart > 1_000, "{apart} calls could have gone wrong");
}
