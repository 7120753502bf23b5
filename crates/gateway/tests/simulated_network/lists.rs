//! The list of hosts through a discovery that fails in every way it may, and what a new process makes of it.
//!
//! An agent here is a script: what it says to a question depends on when that comes and on nothing else. Traffic
//! runs all the time, so when a drain is in force is when the last call goes to its host.

use crate::support::{
    chunk, entry, list, Client, Manner, Order, Peer, Plan, Room, Says, CHUNKED, END, HERE, HOST,
};
use cluster_model::{MS, SECOND};
use runtime::Span;
use serde_json::Value;
use simulated_runtime::Cut;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// What discovery has to tell is in force so long after it could be reached.
const IN_FORCE: Span = 6 * SECOND;
/// The same after SIGHUP.
const MOVED: Span = 4 * SECOND;
/// Between two calls of a client.
const CALLS: Span = 40 * MS;
/// The empty line of a watch.
const BEAT: Span = 2 * SECOND;

/// How a question fares.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// No answer.
    Hang,
    /// The connection ends with no answer.
    Close,
    /// An error for an answer.
    Refuse,
    /// Nothing more comes.
    Silent,
    /// The head of an answer, late, and nothing more.
    Late,
    /// The connection ends.
    End,
    /// Half of a list, and no more.
    Half,
    /// A list, of which a byte a second comes.
    Dribble,
    /// The empty lines go on, and no list comes.
    Mute,
    /// A list that means nothing.
    Garbage,
    /// A whole list of no host.
    Empty,
}

use Fault::*;

const ALL: [Fault; 11] = [Hang, Close, Refuse, Silent, Late, End, Half, Dribble, Mute, Garbage, Empty];

fn say(text: impl Into<String>) -> Order {
    Order::Say(text.into().into())
}

/// Empty lines from one moment up to another.
fn beats(from: Span, to: Span) -> impl Iterator<Item = (Span, Order)> {
    (1..).map(move |n| from + n * BEAT).take_while(move |at| *at < to).map(|at| (at, say(chunk("\n"))))
}

/// A good answer: to a watch the news and empty lines up to a moment, else the whole list.
fn good(words: &str, news: Option<&Value>, whole: &Value, until: Span) -> Says {
    if !words.contains("watch=1") {
        let text = whole.to_string();
        return vec![(0, say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())))];
    }
    let news = news.map(|news| (0, say(chunk(&format!("{news}\n")))));
    [(0, say(CHUNKED))].into_iter().chain(news).chain(beats(0, until)).collect()
}

/// A question that fares so, well up to a moment after it.
fn faulty(fault: Fault, at: Span, news: &Value) -> Says {
    let text = format!("{news}\n");
    let bad = match fault {
        Hang => return Vec::new(),
        Close => return vec![(0, Order::Close)],
        Late if at == 0 => return vec![(2400 * MS, say(CHUNKED))],
        Refuse => return vec![(0, say("HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n"))],
        Silent | Late => Vec::new(),
        End => vec![(at, Order::Close)],
        Half => vec![(at, say(chunk(&text[..text.len() / 2])))],
        Dribble => {
            let byte = |n: usize| (at + n as Span * SECOND, say(chunk(&text[n..=n])));
            (0..text.len()).map(byte).collect()
        }
        Mute => beats(0, at + 60 * SECOND).skip_while(|(beat, _)| *beat < at).collect(),
        Garbage => vec![(at, say(chunk("{\"generation\": \"three\"}\n")))],
        Empty => vec![(at, say(chunk(&format!("{}\n", list(9, true, &[])))))],
    };
    [(0, say(CHUNKED))].into_iter().chain(beats(0, at)).chain(bad).collect()
}

/// A room of two hosts that serve, and a client.
fn two_hosts() -> (Room, Client) {
    let room = Room::start(Plan { hosts: 2, ..Plan::default() });
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 0)));
    let client = room.client();
    (room, client)
}

/// Lets time pass up to a moment, with calls.
fn call_until(room: &Room, client: &Client, ids: &mut u64, until: Span) {
    while room.now() < until {
        *ids += 1;
        client.get(*ids);
        room.run(CALLS.min(until - room.now()));
    }
}

/// When the last call to a host was sent.
fn last_call(host: &Peer) -> Option<Span> {
    let calls = host.seen().into_iter().filter(|seen| seen.text.starts_with("CALL"));
    calls.map(|seen| seen.sent).max()
}

/// The first host drains from version 2 on.
fn lists(room: &Room) -> (Value, Value, Value) {
    let (ready, drains) = (entry(&room.hosts, 1, "in_service"), entry(&room.hosts, 0, "terminating"));
    let before = list(1, true, &[entry(&room.hosts, 0, "in_service"), ready.clone()]);
    let whole = list(2, true, &[drains.clone(), ready]);
    (before, list(2, false, &[drains]), whole)
}

/// Up to `at` questions fare well and then fail, or fail from the start; the next that comes fails, and from then
/// on all is well. How long the drain that discovery has at `at` took to be in force.
fn in_force_after(first: Fault, then: Option<Fault>, at: Span) -> Span {
    let (room, client) = two_hosts();
    let (before, news, whole) = lists(&room);
    let left = AtomicUsize::new(usize::from(then.is_some()));
    room.discovery.manner(Manner::script(move |now, words| {
        if now < at {
            return faulty_whole(words, first, at - now, &news, &before);
        }
        match then.filter(|_| left.swap(0, Ordering::Relaxed) > 0) {
            Some(fault) => faulty_whole(words, fault, 0, &news, &whole),
            None => good(words, Some(&news), &whole, 60 * SECOND),
        }
    }));
    let mut ids = 0;
    call_until(&room, &client, &mut ids, at + IN_FORCE + 2 * SECOND);
    let heard = client.heard();
    let served = heard.iter().filter(|answer| !answer.starts_with('-')).count();
    assert_eq!(heard.len() as u64, ids, "one answer each");
    // Those of the first second may have been too early.
    assert!(served as u64 + SECOND / CALLS >= ids, "{served} of {ids}");
    last_call(&room.hosts[0]).map_or(0, |last| last.saturating_sub(at))
}

/// The same for a whole list, which has no empty lines.
fn faulty_whole(words: &str, fault: Fault, at: Span, news: &Value, whole: &Value) -> Says {
    let is_watch = words.contains("watch=1");
    match fault {
        Hang | Close | Refuse => faulty(fault, at, news),
        _ if !is_watch && at > 0 => good(words, None, whole, 0),
        _ => faulty(fault, at, if is_watch { news } else { whole }),
    }
}

#[test]
fn a_change_is_in_force_within_six_seconds_whichever_two_failures_come_before() {
    let mut slowest = (0, None);
    for first in ALL {
        for then in [None].into_iter().chain(ALL.map(Some)) {
            // At any moment between two empty lines and between two watches.
            for at in [2300, 3700, 4100, 4990, 5600].map(|ms| ms * MS) {
                let took = in_force_after(first, then, at);
                assert!(took < IN_FORCE, "{first:?}, {then:?} at {at}: {} ms", took / MS);
                slowest = slowest.max((took, Some((format!("{first:?} {then:?}"), at))));
            }
        }
    }
    println!("slowest: {slowest:?}");
}

#[test]
fn a_watch_that_is_well_is_never_without_a_successor_that_tells() {
    // Where nothing fails, news comes at once, however old the watch is.
    for at in (20..80).map(|n| n * 113 * MS) {
        let (room, client) = two_hosts();
        let (before, news, _) = lists(&room);
        let agent = news.clone();
        room.discovery.manner(Manner::script(move |_, words| good(words, None, &before, 60 * SECOND)));
        let mut ids = 0;
        call_until(&room, &client, &mut ids, at);
        // The newest watch is told: the agent tells all that are open, and the others are closed.
        (0..room.discovery.lines()).for_each(|line| room.discovery.tell(line, &agent));
        room.hosts[0].seen();
        call_until(&room, &client, &mut ids, at + SECOND);
        assert!(last_call(&room.hosts[0]).is_none_or(|last| last < at + MS), "told at {at}");
    }
}

/// Lists in the forms that they may come in, on a watch.
fn forms(news: &Value) -> Vec<(&'static str, Says)> {
    let plain = format!("{news}\n");
    let indented = format!("{}\n", serde_json::to_string_pretty(news).unwrap());
    let mut odd = news.clone();
    odd["instances"][0]["note"] = "}{][\"\\ \u{e9}".into();
    let frames = |text: &str, size: usize| -> Says {
        let parts = text.as_bytes().chunks(size).enumerate();
        let part = |(n, part): (usize, &[u8])| {
            (n as Span * 100_000, Order::Say([b"1\r\n", part, b"\r\n"].concat().into()))
        };
        [(0, say(CHUNKED))].into_iter().chain(parts.map(part)).collect()
    };
    let one = |text: String| vec![(0, say(format!("{CHUNKED}{}", chunk(&text))))];
    let bare = |text: &str| format!("HTTP/1.1 200 OK\r\n\r\n{text}");
    let half = plain.len() / 2;
    vec![
        ("a line", one(plain.clone())),
        ("indented", one(indented.clone())),
        ("indented, a byte a frame", frames(&indented, 1)),
        ("a byte a frame", frames(&plain, 1)),
        ("with brackets and quotes in a text, a byte a frame", frames(&odd.to_string(), 1)),
        ("without a line end", one(news.to_string())),
        ("behind another in one frame", one(format!("{}{plain}", list(1, false, &[])))),
        ("without a length, left open", vec![(0, say(bare(&indented)))]),
        ("without a length, to the end", vec![(0, say(bare(&plain))), (MS, Order::Close)]),
        (
            "without a length, in halves",
            vec![(0, say(bare(&plain[..half]))), (MS, say(&plain[half..])), (2 * MS, Order::Close)],
        ),
    ]
}

#[test]
fn a_list_on_a_watch_is_taken_in_whatever_its_form() {
    let (room, _) = two_hosts();
    let count = forms(&lists(&room).1).len();
    for number in 0..count {
        let (room, client) = two_hosts();
        let (before, news, _) = lists(&room);
        let (name, says) = forms(&news).swap_remove(number);
        // The whole list does not hold the news: it has to come from the watch itself.
        let mut says = Some(says);
        room.discovery.manner(Manner::script(move |_, words| {
            let is_watch = words.contains("watch=1");
            says.take_if(|_| is_watch).unwrap_or_else(|| good(words, None, &before, 60 * SECOND))
        }));
        call_until(&room, &client, &mut 0, 3 * SECOND);
        let last = last_call(&room.hosts[0]).unwrap_or_default();
        assert!(last < 100 * MS, "{name}: {} ms", last / MS);
        assert!(last_call(&room.hosts[1]).is_some());
    }
}

#[test]
fn a_whole_list_without_a_length_counts_when_it_is_whole_and_half_of_one_never() {
    // At a new address; each of these comes once, then all is well.
    let cases =
        [(Half, 0), (End, 0), (Hang, 0), (Close, 0), (Refuse, 0), (Dribble, 0), (Garbage, 0), (Empty, 0)];
    let open = [(false, "left open"), (true, "ended at once")];
    for (ends, name) in open {
        let (room, client) = two_hosts();
        let (before, _, whole) = lists(&room);
        room.discovery.manner(Manner::script(move |_, words| good(words, None, &before, 60 * SECOND)));
        let new = room.peer("new agent", 8500);
        new.manner(Manner::script(move |_, words| {
            if words.contains("watch=1") {
                return good(words, None, &whole, 60 * SECOND);
            }
            let text = serde_json::to_string_pretty(&whole).unwrap();
            let says = (0, say(format!("HTTP/1.1 200 OK\r\n\r\n{text}")));
            [says].into_iter().chain(ends.then_some((MS, Order::Close))).collect()
        }));
        let mut ids = 0;
        call_until(&room, &client, &mut ids, 2 * SECOND);
        room.reload(new.addr, room.counter.addr);
        call_until(&room, &client, &mut ids, 4 * SECOND);
        let last = last_call(&room.hosts[0]).unwrap();
        assert!(last < 2 * SECOND + 100 * MS, "{name}: {} ms", last / MS);
    }
    for (fault, _) in cases {
        let last = moved_while_a_call_hangs(Some(fault));
        assert!(last < MOVED, "{fault:?}: {} ms", last / MS);
    }
}

/// Discovery moves while a call hangs at the old address, and the first call at the new one fails. How long a
/// drain that only the new one knows takes to be in force.
fn moved_while_a_call_hangs(fault: Option<Fault>) -> Span {
    let (room, client) = two_hosts();
    let (_, news, whole) = lists(&room);
    let new = room.peer("new agent", 8500);
    let mut fault = fault;
    new.manner(Manner::script(move |_, words| match fault.take() {
        Some(fault) => faulty(fault, 0, &whole),
        None => good(words, Some(&news), &whole, 60 * SECOND),
    }));
    let mut ids = 0;
    // No call at the old address is ever answered.
    call_until(&room, &client, &mut ids, 2 * SECOND);
    room.reload(new.addr, room.counter.addr);
    call_until(&room, &client, &mut ids, 9 * SECOND);
    last_call(&room.hosts[0]).unwrap().saturating_sub(2 * SECOND)
}

#[test]
fn discovery_that_moves_while_a_call_hangs_is_in_force_within_four_seconds() {
    for fault in [None].into_iter().chain(ALL.map(Some)) {
        let took = moved_while_a_call_hangs(fault);
        assert!(took < MOVED, "{fault:?}: {} ms", took / MS);
    }
}

#[test]
fn discovery_that_moves_to_where_nobody_listens_at_first_is_in_force_within_four_seconds() {
    // How long after SIGHUP it can be reached; until then connections are refused, or nothing comes back at all.
    for (is_cut, after) in
        [false, true].into_iter().flat_map(|cut| [0, 1, 999, 1500, 2510, 3700, 6100].map(|ms| (cut, ms * MS)))
    {
        let (room, client) = two_hosts();
        let (before, news, whole) = lists(&room);
        room.discovery.manner(Manner::script(move |_, words| good(words, None, &before, 60 * SECOND)));
        let machine = room.machine("new agent");
        let cut = is_cut.then(|| room.sim.cut(vec![machine.id()], vec![room.gateway()], Cut::Silent));
        let mut ids = 0;
        call_until(&room, &client, &mut ids, 2 * SECOND);
        room.reload(SocketAddr::new(machine.ip(), 8500), room.counter.addr);
        call_until(&room, &client, &mut ids, 2 * SECOND + after);
        let new = room.listen(&machine, "new agent", 8500);
        new.manner(Manner::script(move |_, words| good(words, Some(&news), &whole, 60 * SECOND)));
        cut.into_iter().for_each(|cut| room.sim.heal(cut));
        room.hosts[0].seen();
        call_until(&room, &client, &mut ids, 2 * SECOND + after + MOVED + SECOND);
        let took = last_call(&room.hosts[0]).map_or(0, |last| last - 2 * SECOND - after);
        assert!(took < MOVED, "cut {is_cut}, {} ms: {} ms", after / MS, took / MS);
        assert_eq!(client.heard().len() as u64, ids, "one answer each");
        assert!(last_call(&room.hosts[1]).is_some());
    }
}

/// Just before, at and just after a moment, to the nanosecond and well.
fn around(moment: Span) -> [Span; 5] {
    [moment - MS, moment - 1, moment, moment + 1, moment + MS]
}

#[test]
fn a_drain_that_comes_as_the_known_list_comes_into_use_counts_from_then_on() {
    for (changes, told) in
        [true, false].into_iter().flat_map(|changes| around(SECOND).map(|at| (changes, at)))
    {
        let (room, client) = two_hosts();
        let (_, news, whole) = lists(&room);
        room.discovery.manner(Manner::Wait);
        (1..=16).for_each(|id| client.get(id));
        room.run_to(told - HERE);
        let list = if changes { &news } else { &whole };
        room.discovery.say(0, format!("{CHUNKED}{}", chunk(&format!("{list}\n"))));
        room.run(2 * SECOND);
        let case = format!("{told} ns, changes {changes}");
        assert_eq!(client.heard().len(), 16, "{case}: one answer each");
        if told < SECOND {
            assert_eq!(room.hosts[0].lines(), 0, "{case}: no connection either");
        }
        match last_call(&room.hosts[0]) {
            Some(last) => assert!(last <= told, "{case}: sent at {last} ns"),
            None => assert!(told <= SECOND + 1, "{case}: before it was told, it could not be known"),
        }
    }
}

#[test]
fn a_drain_that_the_old_agent_tells_as_discovery_moves_counts() {
    // What it wrote before the move may be read a little after it.
    for told in [2 * SECOND - 1, 2 * SECOND, 2 * SECOND + 1, 2 * SECOND + 4 * MS] {
        let (room, client) = two_hosts();
        let (before, news, _) = lists(&room);
        room.discovery.manner(Manner::script(move |_, words| good(words, None, &before, 60 * SECOND)));
        // It never answers.
        let new = room.peer("new agent", 8500);
        let mut ids = 0;
        let mut steps = [(told - HERE, false), (2 * SECOND, true)];
        steps.sort();
        for (when, is_move) in steps {
            call_until(&room, &client, &mut ids, when);
            if is_move {
                room.reload(new.addr, room.counter.addr);
            } else {
                (0..room.discovery.lines()).for_each(|line| room.discovery.tell(line, &news));
            }
        }
        call_until(&room, &client, &mut ids, 5 * SECOND);
        assert!(new.lines() > 0 && client.heard().len() as u64 == ids);
        let last = last_call(&room.hosts[0]).unwrap();
        assert!(last <= told, "told at {told}, sent at {last}");
    }
}

#[test]
fn a_new_process_whose_discovery_moves_in_its_first_second_takes_the_list_from_there() {
    for moved in [0, 500 * MS, SECOND - 4 * HERE].into_iter().chain(around(SECOND)) {
        let (room, client) = two_hosts();
        let (_, news, whole) = lists(&room);
        // The old agent never answers.
        room.discovery.manner(Manner::Wait);
        let new = room.peer("new agent", 8500);
        new.manner(Manner::script(move |_, words| good(words, Some(&news), &whole, 60 * SECOND)));
        (1..=16).for_each(|id| client.get(id));
        room.run_to(moved);
        room.reload(new.addr, room.counter.addr);
        // The last words of the old agent, then a connection, the question and its answer.
        let told = moved + 5 * MS + 4 * HOST;
        room.run_to(moved + 3 * SECOND);
        assert_eq!(client.heard().len(), 16, "{moved}: one answer each");
        assert!(last_call(&room.hosts[0]).is_none_or(|last| last <= told), "{moved}");
        assert!(told >= SECOND || room.hosts[0].lines() == 0, "{moved}: no connection either");
    }
}

#[test]
fn at_another_address_versions_begin_anew_and_at_the_same_one_they_do_not() {
    for moves in [false, true] {
        let (room, client) = two_hosts();
        let (before, _, _) = lists(&room);
        let drains = list(9, false, &[entry(&room.hosts, 0, "terminating")]);
        let agent = |news: Value, whole: Value| {
            Manner::script(move |_, words| good(words, Some(&news), &whole, 60 * SECOND))
        };
        room.discovery.manner(agent(drains, before.clone()));
        let new = room.peer("new agent", 8500);
        new.manner(agent(list(1, false, &[]), before.clone()));
        let mut ids = 0;
        call_until(&room, &client, &mut ids, 2 * SECOND);
        assert_eq!(last_call(&room.hosts[0]), None);
        if moves {
            room.reload(new.addr, room.counter.addr);
        } else {
            (0..room.discovery.lines()).for_each(|line| room.discovery.tell(line, &before));
        }
        call_until(&room, &client, &mut ids, 3 * SECOND);
        assert_eq!(last_call(&room.hosts[0]).is_some(), moves, "by a whole list of version 1");
        assert!(last_call(&room.hosts[1]).is_some());
    }
}

#[test]
fn a_drain_known_before_the_start_is_not_undone_by_an_older_list() {
    let mut plan = Plan { hosts: 2, ..Plan::default() };
    plan.known = (5, vec!["terminating", "in_service"]);
    let room = Room::start(plan);
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 0)));
    let (before, client) = (lists(&room).0, room.client());
    room.discovery.manner(Manner::script(move |_, words| good(words, Some(&before), &before, 60 * SECOND)));
    call_until(&room, &client, &mut 0, 2 * SECOND);
    assert_eq!(last_call(&room.hosts[0]), None);
    assert!(last_call(&room.hosts[1]).is_some());
}

#[test]
fn a_list_that_is_empty_or_cannot_be_read_stops_no_service_and_is_not_asked_for_without_pause() {
    for fault in [Garbage, Empty] {
        let (room, client) = two_hosts();
        let (asked, whole) = (Arc::new(AtomicUsize::new(0)), lists(&room).0);
        let count = asked.clone();
        room.discovery.manner(Manner::script(move |_, words| {
            count.fetch_add(1, Ordering::Relaxed);
            match words.contains("watch=1") {
                true => faulty(fault, 0, &whole),
                false => {
                    let text = if fault == Empty { list(7, true, &[]).to_string() } else { "[]".into() };
                    vec![(0, say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())))]
                }
            }
        }));
        let mut ids = 0;
        call_until(&room, &client, &mut ids, 2 * SECOND);
        client.heard();
        let before = ids;
        call_until(&room, &client, &mut ids, 10 * SECOND);
        let heard = client.heard();
        assert_eq!(
            heard.iter().filter(|text| !text.starts_with('-')).count() as u64,
            ids - before,
            "{fault:?}"
        );
        let asked = asked.load(Ordering::Relaxed);
        assert!(asked < 15, "{fault:?}: asked {asked} times in 10 s");
    }
}

#[test]
fn a_new_process_sends_nothing_to_a_host_whose_drain_its_agent_holds() {
    // When the first question is answered, and whether with the changes or all hosts; the first may hang.
    for (after, changes, hangs) in [
        (0, true, 0),
        (0, false, 0),
        (300, true, 0),
        (900, true, 0),
        (900, false, 0),
        (0, true, 1),
        (200, false, 1),
    ] {
        let (room, client) = two_hosts();
        let (_, news, whole) = lists(&room);
        let mut hangs_left = hangs;
        room.discovery.manner(Manner::script(move |_, words| {
            if hangs_left > 0 {
                hangs_left -= 1;
                return Vec::new();
            }
            let news = if changes { &news } else { &whole };
            good(words, Some(news), &whole, 60 * SECOND)
                .into_iter()
                .map(|(at, order)| (at + after * MS, order))
                .collect()
        }));
        let mut ids = 0;
        call_until(&room, &client, &mut ids, 3 * SECOND);
        let case = format!("{after} ms, changes {changes}, {hangs} hang");
        assert_eq!(last_call(&room.hosts[0]), None, "{case}");
        assert_eq!(room.hosts[0].lines(), 0, "{case}: no connection either");
        let heard = client.heard();
        assert_eq!(heard.len() as u64, ids, "{case}: one answer each");
        let served = heard.iter().filter(|text| !text.starts_with('-')).count();
        assert_eq!(served as u64, ids, "{case}: those that came early wait");
    }
}

#[test]
fn a_new_process_without_news_is_ready_and_serves_after_a_second() {
    for fault in [Hang, Close, Refuse, Silent, Mute, Dribble, Garbage, Empty] {
        let (room, client) = two_hosts();
        let news = lists(&room).0;
        room.discovery.manner(Manner::script(move |_, _| faulty(fault, 0, &news)));
        let ping = room.client();
        client.get(1);
        let pings = || ping.say(crate::support::command(&["PING"]));
        pings();
        room.run_to(990 * MS);
        assert_eq!(ping.heard(), ["-ERR starting"], "{fault:?}");
        assert_eq!(client.heard(), [""; 0], "{fault:?}: it waits");
        pings();
        room.run_to(1010 * MS);
        pings();
        room.run_to(1030 * MS);
        let told = ping.heard();
        assert_eq!(told.last().map(String::as_str), Some("+PONG"), "{fault:?}: {told:?}");
        assert_eq!(client.heard(), [crate::support::name(1)], "{fault:?}");
    }
}

#[test]
fn an_old_watch_is_closed_when_its_successor_answers() {
    let (room, client) = two_hosts();
    let before = lists(&room).0;
    room.discovery.manner(Manner::script(move |_, words| good(words, None, &before, 60 * SECOND)));
    call_until(&room, &client, &mut 0, 30 * SECOND);
    let ends = room.discovery.seen().into_iter().filter(|seen| seen.text == END).count();
    assert_eq!(ends + 1, room.discovery.lines(), "one is open");
    // Every gateway of a fleet asks so often.
    assert!((5..=13).contains(&room.discovery.lines()), "{}", room.discovery.lines());
}
