//! SIGTERM with calls in flight and orders still coming.

use crate::support::{
    chunk, command, entry, get, list, name, post, served, Manner, Plan, Room, Seen, BROKEN, CHUNKED, CLIENT,
    END,
};
use cluster_model::rng::Rng;
use cluster_model::{MS, SECOND};
use gateway::Signal;
use runtime::Span;
use simulated_runtime::What;
use std::collections::BTreeMap;

/// When SIGTERM comes, and for how long after it new connections are taken.
const TERM: Span = 505 * MS;
const STILL_ACCEPTING: Span = 450 * MS;
/// Orders have this long; hosts that take under half of it answer well within time, as an order may wait for
/// the other half until it is sent.
const AIM: Span = 600 * MS;
/// Ids of orders start here.
const ORDERS: u64 = 1_000;

/// A gateway with 40 calls in flight, and ten orders before, during and after its stop.
struct Scene {
    seed: u64,
    /// Hosts take this long for each call, and for four at once.
    each: Span,
    signal: bool,
}

/// What became of an order.
#[derive(Debug)]
struct Order {
    asked: Span,
    answers: Vec<(Span, String)>,
    /// How often it came whole to a host.
    received: usize,
}

impl Order {
    fn texts(&self) -> Vec<&str> {
        self.answers.iter().map(|(_, text)| text.as_str()).collect()
    }

    /// What it was answered, whatever came after.
    fn answer(&self) -> Option<&str> {
        self.texts().into_iter().find(|text| ![END, BROKEN].contains(text))
    }
}

impl Scene {
    fn start(&self) -> Room {
        let mut plan = Plan { seed: self.seed, hosts: 10, ..Plan::default() };
        plan.network.jitter = 0.5;
        for class in plan.settings["services"].as_array_mut().unwrap() {
            class["aim"] = AIM.into();
        }
        let room = Room::start(plan);
        room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, self.each)));
        room
    }

    fn play(&self) -> Vec<Order> {
        let room = self.start();
        let mut rng = Rng::stream(self.seed, "orders", 0);
        let mut kept: Vec<_> = (0..50).map(|_| room.client()).collect();
        room.run_to(500 * MS);
        let in_flight: Vec<_> = kept.drain(..40).collect();
        (1..).zip(&in_flight).for_each(|(id, client)| client.say(get(id)));
        if self.signal {
            let signals = room.signals();
            room.at(TERM, move |_| signals.send(Signal::Terminate).unwrap());
        }
        let mut asked: Vec<Span> = (0..10).map(|_| 500 * MS + rng.below(900 * MS)).collect();
        asked.sort_unstable();
        // Every other one on a connection that has stood open, the rest on new ones.
        for (number, (at, client)) in asked.iter().zip(&mut kept).enumerate() {
            room.run_to(*at);
            if number % 2 == 0 {
                *client = room.client();
            }
            client.say(post(ORDERS + number as u64, 1, 1.0));
        }
        room.run(4 * SECOND);
        assert_eq!(room.ended().is_some(), self.signal);
        for (id, client) in (1..).zip(&in_flight) {
            assert_eq!(client.heard()[0], name(id), "a call that was in flight, seed {}", self.seed);
        }
        let received: Vec<Seen> = room.hosts.iter().flat_map(|host| host.seen()).collect();
        let count = |id: u64| received.iter().filter(|seen| seen.text.contains(&name(id))).count();
        let orders = (ORDERS..).zip(asked.into_iter().zip(&kept));
        orders
            .map(|(id, (asked, client))| Order { asked, answers: client.seen(), received: count(id) })
            .collect()
    }
}

#[test]
fn orders_around_the_stop_are_served_or_closed_unread_and_never_fail() {
    let mut outcomes = BTreeMap::new();
    for seed in 0..200 {
        let each = (10 + Rng::stream(seed, "each", 0).below(280)) * MS;
        for (id, order) in (ORDERS..).zip((Scene { seed, each, signal: true }).play()) {
            let value = name(id);
            let how = match order.texts()[..] {
                [text, END] if text == value => "served",
                // The client sends it again elsewhere, since it cannot have run.
                [END | BROKEN] => "closed unread",
                _ => panic!("seed {seed}: {order:?}"),
            };
            assert_eq!(order.received, usize::from(how == "served"), "seed {seed}: {order:?}");
            let late = order.asked > TERM + STILL_ACCEPTING - 5 * MS;
            assert!(how == "served" || late, "seed {seed}: {order:?}");
            *outcomes.entry(how).or_insert(0) += 1;
        }
    }
    assert!(outcomes["served"] > 900 && outcomes["closed unread"] > 900, "{outcomes:?}");
}

/// Where a stop was seen to fail orders, hosts took longer than what was left of the orders' time: an attempt
/// was given up that may have run. The stop has no part in it.
#[test]
fn orders_fail_by_hosts_that_take_too_long_with_a_stop_and_without() {
    let mut failed = 0;
    for seed in 0..20 {
        let [stopped, served] = [true, false].map(|signal| Scene { seed, each: 400 * MS, signal }.play());
        for (order, without) in stopped.iter().zip(&served) {
            if order.asked < TERM + STILL_ACCEPTING - 5 * MS {
                assert_eq!(order.answer(), without.answer(), "seed {seed}: {order:?}");
            }
            if order.answer() == Some("-ERR failed") {
                failed += 1;
                assert_eq!(order.received, 1, "seed {seed}: {order:?}");
                let took = order.answers[0].0 - order.asked;
                assert!((AIM..AIM + 5 * MS).contains(&took), "seed {seed}: {order:?}");
            }
        }
    }
    assert!(failed > 20, "{failed}");
}

#[test]
fn a_client_that_writes_on_gets_its_last_answer_whole_and_no_reset() {
    let room = Room::start(Plan::default());
    let (wire, client) = (room.wire(), room.client());
    client.get(1);
    room.run_to(10 * MS);
    room.signal(Signal::Terminate);
    room.run_to(500 * MS);
    let value = "x".repeat(60_000);
    room.hosts[0].say(0, served(&value));
    // It sends a command each 50 us, up to a while after the gateway has ended its sending.
    let mut heard = Vec::new();
    while !heard.contains(&END.to_owned()) {
        client.say(command(&["PING"]));
        room.run(50_000);
        heard.extend(client.heard());
    }
    for _ in 0..100 {
        client.say(command(&["PING"]));
        room.run(50_000);
    }
    let before = room.ended();
    client.close();
    let closed = room.now();
    room.run(SECOND);
    assert_eq!(heard[0], value);
    assert!(heard[1..heard.len() - 1].iter().all(|text| text == "-ERR stopping"), "{:?}", &heard[1..]);
    // A reset would make its system throw away what it has not read.
    assert_eq!(wire.arrivals("gateway", "clients", &What::Reset).len(), 0);
    assert_eq!((before, room.ended()), (None, Some(closed + CLIENT)));
}

#[test]
fn a_client_that_stays_holds_up_the_stop_for_half_a_second() {
    let room = Room::start(Plan::default());
    let client = room.client();
    room.run_to(10 * MS);
    room.signal(Signal::Terminate);
    room.run(2 * SECOND);
    let closing = 10 * MS + STILL_ACCEPTING;
    assert_eq!(client.seen(), [(closing + CLIENT, END.to_owned())]);
    assert_eq!(room.ended(), Some(closing + 500 * MS));
}

#[test]
fn a_gateway_that_is_told_to_end_before_it_is_ready_never_says_that_it_is() {
    // It is ready after a second, as no list comes.
    let around = [SECOND - MS, SECOND - 1, SECOND, SECOND + 1];
    for term in [0, 1, 500 * MS, 560 * MS].into_iter().chain(around) {
        let room = Room::start(Plan { hosts: 2, ..Plan::default() });
        room.discovery.manner(Manner::Wait);
        room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 0)));
        let waits = room.client_that_says(get(1), usize::MAX);
        room.run_to(term);
        room.signal(Signal::Terminate);
        // As long as it accepts, a front may ask.
        let mut pings = Vec::new();
        while room.now() < term + STILL_ACCEPTING - 2 * CLIENT {
            pings.push(room.client_that_says(command(&["PING"]), usize::MAX));
            room.run(10 * MS);
        }
        room.run(SECOND);
        assert!(pings.len() > 40);
        for ping in &pings {
            assert_eq!(ping.heard()[0], "-ERR stopping", "{term}");
        }
        assert_eq!(waits.heard(), [name(1), END.to_owned()], "{term}: what waited for a list is served");
        room.run(2 * SECOND);
        assert!(room.ended().is_some(), "{term}");
    }
}

#[test]
fn a_reload_and_the_stop_in_one_instant_both_count_in_either_order() {
    for signals in [[Signal::Reload, Signal::Terminate], [Signal::Terminate, Signal::Reload]] {
        let room = Room::start(Plan::default());
        let (agent, client) = (room.peer("new agent", 8500), room.client());
        client.post(1);
        room.run_to(10 * MS);
        let call = room.hosts[0].one();
        room.write_document(|document| document["discovery"] = agent.addr.to_string().into());
        signals.into_iter().for_each(|signal| room.signal(signal));
        room.run(10 * MS);
        assert!(agent.one().text.starts_with("GET /registry/instances "), "{signals:?}");
        assert_eq!(room.discovery.seen().last().map(|seen| seen.text.as_str()), Some(END), "{signals:?}");
        room.hosts[0].say(call.line, served("served"));
        room.run(3 * SECOND);
        let closing = 10 * MS + STILL_ACCEPTING;
        assert_eq!(client.heard(), ["served", END], "{signals:?}");
        assert_eq!(room.ended(), Some(closing + 500 * MS), "{signals:?}");
    }
}

#[test]
fn a_drain_and_a_reload_after_a_second_word_to_end_still_count() {
    for terms in 1..=3 {
        let room = Room::start(Plan { hosts: 2, ..Plan::default() });
        room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 0)));
        let (agent, client) = (room.peer("new agent", 8500), room.client());
        room.run_to(10 * MS);
        (0..terms).for_each(|_| room.signal(Signal::Terminate));
        room.run_to(50 * MS);
        room.discovery.tell(0, &list(2, false, &[entry(&room.hosts, 0, "terminating")]));
        room.run_to(51 * MS);
        for id in 1..=16 {
            client.get(id);
            room.run(20 * MS);
        }
        assert_eq!(client.heard().len(), 16, "told to end {terms} times");
        assert!(room.hosts[0].seen().iter().all(|seen| !seen.text.starts_with("CALL")), "{terms} times");
        room.reload(agent.addr, room.counter.addr);
        room.run(10 * MS);
        assert!(agent.one().text.starts_with("GET /registry/instances "), "{terms} times");
    }
}

#[test]
fn a_malformed_command_and_the_stop_are_one_error_behind_what_is_owed_in_either_order() {
    let error = "-ERR protocol error: ";
    // Two calls are owed, or nothing is; the stop, and the moment at which connections begin to close, cross it.
    for (owed, at, offset) in [true, false].into_iter().flat_map(|owed| {
        [0, STILL_ACCEPTING]
            .into_iter()
            .flat_map(move |at| [-(MS as i64), -1, 0, 1, MS as i64].map(|by| (owed, at, by)))
    }) {
        let room = Room::start(Plan::default());
        let (client, other) = (room.client(), room.client());
        room.run_to(10 * MS);
        if owed {
            client.get(1);
            client.get(2);
        }
        other.get(3);
        room.run_to(TERM - at);
        room.hosts[0].manner(Manner::Wait);
        let calls = room.hosts[0].seen();
        let signals = room.signals();
        room.at(TERM - at, move |_| signals.send(Signal::Terminate).unwrap());
        room.run_to((TERM - CLIENT).checked_add_signed(offset).unwrap().max(room.now()));
        client.say("*-7\r\n");
        client.say(command(&["PING"]));
        room.run_to(TERM + 100 * MS);
        // The last first: answers go in the order of the commands.
        calls
            .iter()
            .rev()
            .for_each(|call| room.hosts[0].say(call.line, served(call.text.split(' ').nth(2).unwrap())));
        room.run(SECOND);
        let (heard, case) = (client.heard(), format!("owed {owed}, {at}, {offset}"));
        let Some((answers, rest)) = heard.split_at_checked(if owed { 2 } else { 0 }) else {
            panic!("{case}: {heard:?}")
        };
        assert_eq!(answers, &[name(1), name(2)][..answers.len()], "{case}");
        match rest {
            [text, end] => assert!(text.starts_with(error) && end == END, "{case}: {heard:?}"),
            // It came to a connection that was closed between two requests.
            [end] => assert!(
                !owed && at > 0 && offset >= 0 && [END, BROKEN].contains(&end.as_str()),
                "{case}: {heard:?}"
            ),
            _ => panic!("{case}: {heard:?}"),
        }
        assert_eq!(other.heard(), [name(3), END.to_owned()], "{case}: nobody else is touched");
        assert!(room.hosts[0].seen().iter().all(|seen| !seen.text.starts_with("CALL")), "{case}");
        room.run(2 * SECOND);
        assert!(room.ended().is_some(), "{case}");
    }
}

/// SIGTERM comes before the first list does, which is told during the stop or never: then the list known before the
/// start has to do, a second after it.
#[test]
fn a_stop_before_the_gateway_is_ready_answers_what_has_come_and_is_never_ready() {
    for tells in [true, false] {
        let room = Room::start(Plan::default());
        room.discovery.manner(Manner::Wait);
        room.hosts[0].manner(Manner::serve(1, MS));
        let (client, asker) = (room.client(), room.client());
        client.get(1);
        for at in [50 * MS, 150 * MS, 350 * MS] {
            room.run_to(at);
            asker.say(command(&["PING"]));
            if at == 50 * MS {
                room.run_to(100 * MS);
                room.signal(Signal::Terminate);
            } else if at == 150 * MS && tells {
                let asked = room.discovery.seen().remove(0);
                let news = chunk(&format!("{}\n", list(1, false, &[])));
                room.discovery.say(asked.line, format!("{CHUNKED}{news}"));
            }
        }
        room.run_to(3 * SECOND);
        assert_eq!(client.heard(), [&name(1), END], "tells: {tells}");
        assert_eq!(asker.heard(), ["-ERR starting", "-ERR stopping", "-ERR stopping", END], "tells: {tells}");
        let last = if tells { 100 * MS + STILL_ACCEPTING } else { SECOND } + 10 * MS + 500 * MS;
        assert!(room.ended().is_some_and(|at| at <= last), "{:?}, tells: {tells}", room.ended());
    }
}
