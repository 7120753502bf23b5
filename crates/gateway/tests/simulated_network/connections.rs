//! Connections to hosts and what crosses on them: a request half written, a host that goes or moves, an end, half a line,
//! an answer that nobody asked for.

use crate::host_crossings::{ask_at, calls, length_at_host, narrow};
use crate::support::{
    entry, get, list, name, post, served, Client, Manner, Peer, Plan, Room, Seen, CLIENT, END, HERE, HOST,
};
use cluster_model::{MS, SECOND};
use runtime::Span;
use serde_json::Value;
use simulated_runtime::Cut;

/// All connections between the gateway and a host are reset.
pub fn reset(room: &Room, host: &Peer) {
    let cut = room.sim.cut(vec![host.machine.id()], vec![room.gateway()], Cut::Reset);
    room.sim.heal(cut);
}

/// What asks for a connection to a host now is lost, and comes again after a second; all else passes.
pub fn lose_what_asks(room: &Room, host: &Peer) {
    let cut = room.sim.cut(vec![host.machine.id()], vec![room.gateway()], Cut::Silent);
    room.run(2 * HOST);
    room.sim.heal(cut);
}

pub fn lines(seen: &[Seen]) -> Vec<usize> {
    seen.iter().map(|seen| seen.line).collect()
}

/// Lists that take a host out.
fn goes(room: &Room, number: usize) -> [(&'static str, Value); 3] {
    let others = (0..room.hosts.len()).filter(|n| *n != number);
    let others: Vec<Value> = others.map(|n| entry(&room.hosts, n, "in_service")).collect();
    let with = |state| list(2, false, &[&others[..], &[entry(&room.hosts, number, state)]].concat());
    [
        ("drains", with("terminating")),
        ("is gone", with("terminated")),
        ("is left out", list(2, true, &others)),
    ]
}

/// A send counts from its first byte: it goes on, once, and its connection is not used again.
#[test]
fn a_request_of_which_a_part_is_written_when_its_host_goes_is_finished_there_and_ends_its_connection() {
    for case in 0..3 {
        let mut plan = Plan { hosts: 2, known: (1, vec!["in_service", "terminating"]), ..Plan::default() };
        plan.network.window = length_at_host(1) as u32 - 10;
        let room = Room::start(plan);
        let (host, other, client) = (&room.hosts[0], &room.hosts[1], room.client());
        room.hosts.iter().for_each(|host| host.manner(Manner::serve(1, 0)));
        host.deaf(0);
        client.get(1);
        room.run_to(10 * MS);
        let (what, news) = &goes(&room, 0)[case];
        room.discovery.tell(0, news);
        room.run(100 * MS);
        assert_eq!((host.lines(), host.seen(), client.heard()), (1, vec![], vec![]), "{what}");
        host.hear();
        room.run(100 * MS);
        assert_eq!(client.heard(), [name(1)], "{what}");
        let seen = host.seen();
        assert_eq!((seen.len(), lines(&seen), &*seen[1].text), (2, vec![0, 0], END), "{what}: {seen:?}");
        client.post(2);
        room.run(SECOND);
        assert_eq!((client.heard(), calls(other).len()), (vec![name(2)], 1), "{what}");
        assert_eq!((host.lines(), host.seen()), (1, vec![]), "{what}");
    }
}

/// Half a line comes just before we close an idle connection at its age, in that instant, just after, or to an end that is
/// on its way; the next request comes at once or when that end is there.
#[test]
fn half_a_line_that_crosses_our_close_of_an_idle_connection_touches_no_request() {
    for (half, asked) in
        [(-1, 1), (0, 1), (1, 2), (1, 2 * HOST), (HOST as i64 / 2, 1), (HOST as i64, 2 * HOST)]
    {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        host.manner(Manner::serve(1, 0));
        client.post(1);
        room.run_to(SECOND);
        let closed = client.seen()[0].0 - CLIENT + 5 * SECOND;
        host.seen();
        let wire = room.wire();
        room.run_to(closed.saturating_add_signed(half) - HOST);
        host.say(0, served("nobody asked").slice(..9));
        ask_at(&room, &client, closed + asked, post(2, 1, 1.0));
        room.run(SECOND);
        assert_eq!(client.heard(), [name(2)], "{half}, {asked}");
        assert_eq!(lines(&calls(host)), [1], "{half}, {asked}");
        drop(wire);
    }
}

/// What discovery says of a host while a connection to it is on its way.
const NEWS: [&str; 5] = ["drains", "is gone", "is left out", "has another address", "has started anew"];

/// The connection is closed unused, and the request goes elsewhere, once; where it came up before, the request is out.
#[test]
fn a_connection_that_comes_up_as_its_host_goes_or_moves_carries_nothing() {
    for (case, what) in NEWS.into_iter().enumerate() {
        for offset in [-500 * MS as i64, -1, 0, 1] {
            let states = vec!["in_service", "terminating", "terminating"];
            let mut plan = Plan { hosts: 3, known: (1, states), ..Plan::default() };
            plan.settings["allowed"]["dial-timeout"] = (4 * SECOND).into();
            let room = Room::start(plan);
            let (host, client) = (&room.hosts[0], room.client());
            room.hosts.iter().for_each(|host| host.manner(Manner::serve(1, 0)));
            let mut moved = entry(&room.hosts, 0, "in_service");
            match case {
                3 => moved["hostPort"] = room.hosts[2].addr.to_string().into(),
                _ => moved["startedAtMs"] = 1_000.into(),
            }
            let news = match case {
                0..3 => goes(&room, 0)[case].1.clone(),
                _ => list(2, false, &[moved]),
            };
            room.run_to(10 * MS);
            client.post(1);
            room.run(CLIENT);
            lose_what_asks(&room, host);
            let up = 10 * MS + CLIENT + SECOND + 2 * HOST;
            let told = up.saturating_add_signed(offset);
            room.run_to(told - HERE);
            room.discovery.tell(0, &news);
            room.run_to(3 * SECOND);
            assert_eq!(client.heard(), [name(1)], "{what} {offset}");
            let seen: Vec<_> = room.hosts.iter().map(Peer::seen).collect();
            let [there, elsewhere @ ..] = &seen[..] else { panic!("hosts") };
            let [of_it, again] = [0, 1].map(|line| there.iter().filter(move |seen| seen.line == line));
            let of_it: Vec<&str> = of_it.map(|seen| &*seen.text).collect();
            let before = there.iter().filter(|seen| seen.line == 0 && seen.text != END).count();
            assert!(
                before == usize::from(offset > 0) || offset == 0 && before == 1,
                "{what} {offset}: {there:?}"
            );
            assert_eq!(of_it.last(), Some(&END), "{what} {offset}: it ends, used or not");
            let others = elsewhere.iter().flatten().filter(|seen| seen.text != END).count();
            assert_eq!(before + again.count() + others, 1, "{what} {offset}: {seen:?}");
        }
    }
}

/// The failure of a dial says nothing of an address that it was not made to.
#[test]
fn a_dial_to_an_address_that_is_no_more_fails_nothing() {
    for is_refused in [false, true] {
        let mut plan = Plan { hosts: 2, known: (1, vec!["in_service", "terminating"]), ..Plan::default() };
        plan.settings["allowed"]["max-attempts"] = 1.into();
        let room = Room::start(plan);
        let (host, next, client) = (&room.hosts[0], &room.hosts[1], room.client());
        next.manner(Manner::serve(1, 0));
        client.post(1);
        let how = if is_refused { Cut::Reset } else { Cut::Silent };
        room.sim.cut(vec![host.machine.id()], vec![room.gateway()], how);
        // Asked for, and not yet answered.
        room.run_to(3 * CLIENT + HOST);
        let mut moved = entry(&room.hosts, 0, "in_service");
        moved["hostPort"] = next.addr.to_string().into();
        room.discovery.tell(0, &list(2, false, &[moved]));
        room.run_to(SECOND);
        assert_eq!(client.heard(), [name(1)], "refused: {is_refused}");
        let dialed = 3 * CLIENT + if is_refused { 2 * HOST } else { 250 * MS };
        assert_eq!(next.one().at, dialed + 3 * HOST, "refused: {is_refused}");
    }
}

/// What a host says while the rest of a request waits for room; none: it closes. It begins a command at its last byte, so
/// nothing of it is an answer, and of what it has turned away it may not get the rest.
const EARLY: [Option<&str>; 6] = [
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
    for (early, (is_kept, offset)) in EARLY.iter().flat_map(|early| offsets.map(|offset| (early, offset))) {
        let length = post(1, 1, 1.0).len();
        let room = narrow(length - 10);
        let (host, client) = (&room.hosts[0], room.client());
        host.manner(Manner::serve(1, 0));
        host.deaf(if is_kept { length } else { 0 });
        room.run_to(10 * MS);
        if is_kept {
            client.post(1);
            room.run(100 * MS);
            assert_eq!((client.heard(), calls(host).len()), (vec![name(1)], 1));
        }
        let asked = room.now() + SECOND;
        ask_at(&room, &client, asked, post(2, 1, 1.0));
        room.run_to(asked.saturating_add_signed(offset) - HOST);
        match early {
            Some(text) => host.say(0, *text),
            None => host.close(0),
        }
        host.deaf(usize::MAX);
        room.run(100 * MS);
        assert_eq!(client.heard(), [name(2)], "{early:?}, kept: {is_kept}, {offset}: before it has read on");
        host.hear();
        room.run(SECOND);
        assert_eq!(lines(&calls(host)), [1], "{early:?}, kept: {is_kept}, {offset}");
        assert_eq!(client.heard(), [""; 0], "{early:?}, kept: {is_kept}, {offset}");
    }
}

/// It says half a line long after an answer, just before that to the next request. Where exactly two bytes of its value
/// lack, the head of the true answer stands for them; wherever else it is cut, the two are not taken for a value.
#[test]
fn half_a_line_before_an_answer_is_no_part_of_a_value_but_where_two_bytes_of_one_lack() {
    let stale = served("first");
    let mut wrong = Vec::new();
    for (cut, is_safe) in (1..stale.len()).flat_map(|cut| [(cut, false), (cut, true)]) {
        let room = Room::start(Plan::default());
        let (host, client) = (&room.hosts[0], room.client());
        client.post(1);
        room.run_to(10 * MS);
        host.say(host.one().line, stale.clone());
        room.run(SECOND);
        let asked = room.now() + CLIENT;
        client.say(if is_safe { get(2) } else { post(2, 1, 1.0) });
        // It comes just after the request has left, and the answer behind it.
        room.run_to(asked + 1 - HOST);
        host.say(0, stale.slice(..cut));
        room.run_to(asked + 10 * MS);
        host.say(0, served("second"));
        host.manner(Manner::serve(1, 0));
        room.run(SECOND);
        let answer = if is_safe { name(2) } else { "-ERR failed".to_owned() };
        let heard = client.heard();
        assert_eq!(heard.len(), 2, "cut at {cut}, safe: {is_safe}: {heard:?}");
        if heard[1] != answer {
            wrong.push(cut);
            continue;
        }
        assert_eq!(lines(&calls(host)), [vec![0], vec![1; usize::from(is_safe)]].concat(), "cut at {cut}");
    }
    let lacks_two = "*3\r\n$5\r\nfir".len();
    assert_eq!(wrong, [lacks_two; 2], "what the page says does not hold");
}

/// An answer that passed for another's, since it came when it could not be told from that: each request gets one answer,
/// and the true one, which nobody waits for any more, ends the connection, so that the next gets its own.
#[test]
fn a_second_answer_that_cannot_be_told_goes_to_one_request_and_ends_its_connection() {
    let room = Room::start(Plan::default());
    let (host, client) = (&room.hosts[0], room.client());
    client.post(1);
    room.run_to(10 * MS);
    host.say(host.one().line, served("first"));
    room.run(SECOND);
    client.post(2);
    room.run(CLIENT - HOST + 1);
    host.say(0, served("first"));
    room.run(2 * HOST);
    assert_eq!(lines(&calls(host)), [0]);
    host.say(0, served("second"));
    room.run(100 * MS);
    assert_eq!(client.heard(), ["first", "first"], "what the page says does not hold");
    host.manner(Manner::serve(1, 0));
    client.post(3);
    room.run(100 * MS);
    assert_eq!(client.heard(), [name(3)]);
    let seen = host.seen();
    assert_eq!((lines(&seen), &*seen[0].text), (vec![0, 1], END), "{seen:?}");
}

/// A connection that nobody wanted when it came up, or that has answered, and how long it stands idle before a request,
/// which may run only once or not; whether that goes out on it. It may be dead by then, and nothing has shown that it is not.
const STANDS: [(Span, bool, bool); 4] =
    [(SECOND, true, true), (2 * SECOND, true, false), (2 * SECOND, false, true), (6 * SECOND, false, false)];

#[test]
fn a_connection_is_trusted_by_how_long_it_has_stood_idle_whether_or_not_it_was_used_before() {
    for (is_used, (idle, is_once, is_kept)) in
        [false, true].iter().flat_map(|used| STANDS.map(|c| (*used, c)))
    {
        let room = Room::start(Plan::default());
        let (host, leaver) = (&room.hosts[0], room.client());
        host.manner(Manner::serve(1, 0));
        room.run_to(10 * MS);
        leaver.post(1);
        if !is_used {
            // It leaves while its connection is on its way.
            room.run(HOST);
            leaver.close();
        }
        room.run(idle);
        assert_eq!((calls(host).len(), host.lines()), (usize::from(is_used), 1));
        let client = room.client_that_says(if is_once { post(2, 1, 1.0) } else { get(2) }, usize::MAX);
        room.run(100 * MS);
        assert_eq!(client.heard(), [name(2)]);
        let line = usize::from(!is_kept);
        assert_eq!(lines(&calls(host)), [line], "used: {is_used}, {idle}, once: {is_once}");
    }
}

/// Two wait for connections that rest, whose host is slow to take others. The one that would be through with it first
/// ends; word of it comes all the same, and is not the last.
#[test]
fn a_connection_that_ends_while_it_rests_does_not_hold_up_what_waits_for_the_next_one() {
    let room = Room::start(Plan::default());
    let (host, client, other) = (&room.hosts[0], room.client(), room.client());
    client.get(1);
    other.get(2);
    room.run_to(10 * MS);
    assert_eq!((calls(host).len(), host.lines()), (2, 2));
    host.say(0, served("first"));
    room.run(HOST);
    client.get(3);
    room.run(CLIENT);
    lose_what_asks(&room, host);
    host.say(1, served("second"));
    host.close(0);
    room.run(200 * MS);
    assert_eq!(lines(&calls(host)), [1], "long before what asked for another comes again");
    host.say(1, served("third"));
    room.run(10 * MS);
    assert_eq!(client.heard(), ["first", "third"]);
}

/// Gives the gateway the operators' file anew, with a change to it.
fn reload(room: &Room) {
    room.reload_operators(
        "pool \"all\" {\nids = [\"s-0\", \"s-1\"]\n}\nroute \"all\" {\npool = \"all\"\n}\n",
    );
}

/// A whole list has left a host out, which still has work of ours, when the operators' files are read again.
#[test]
fn a_host_that_a_whole_list_leaves_out_is_not_put_back_by_a_reload_of_the_operators_files() {
    for is_reloaded in [false, true] {
        let room = Room::start(Plan { hosts: 2, ..Plan::default() });
        let clients: Vec<Client> = (0..2).map(|_| room.client()).collect();
        clients.iter().zip(1..).for_each(|(client, id)| client.post(id));
        room.run_to(10 * MS);
        let (gone, left) = (&room.hosts[0], &room.hosts[1]);
        let [taken, others] = [gone, left].map(calls);
        assert_eq!((taken.len(), others.len()), (1, 1), "so that both look alike");
        room.discovery.tell(0, &list(2, true, &[entry(&room.hosts, 1, "in_service")]));
        room.run(10 * MS);
        if is_reloaded {
            reload(&room);
            room.run(10 * MS);
        }
        left.manner(Manner::serve(10, MS));
        let client = room.client();
        for id in 100..200 {
            client.post(id);
            room.run(5 * MS);
            assert_eq!(client.heard(), [name(id)], "reloaded: {is_reloaded}");
        }
        assert_eq!(calls(gone), []);
        taken.iter().for_each(|seen| gone.say(seen.line, served("finished")));
        others.iter().for_each(|seen| left.say(seen.line, served("finished")));
        room.run(10 * MS);
        let heard: Vec<_> = clients.iter().flat_map(Client::heard).collect();
        assert_eq!(heard, ["finished"; 2], "reloaded: {is_reloaded}");
    }
}

/// Connections to hosts that a gateway with 64 descriptors may have.
const MOST: usize = 8;

/// All are in use: what comes beyond them is told at once that trying again is harmless, and nothing goes round in circles.
#[test]
fn requests_that_no_descriptor_is_left_for_are_refused_at_once_and_take_no_turn_of_others() {
    let room = Room::start(Plan { hosts: 3, sockets: 64, ..Plan::default() });
    let clients: Vec<Client> = (0..MOST + 4).map(|_| room.client()).collect();
    room.run_to(10 * MS);
    clients.iter().zip(1..).for_each(|(client, id)| client.post(id));
    room.run(10 * MS);
    let seen: Vec<Vec<Seen>> = room.hosts.iter().map(calls).collect();
    assert_eq!(seen.iter().flatten().count(), MOST);
    let refused: Vec<_> = clients.iter().flat_map(Client::seen).collect();
    assert_eq!(refused, vec![(10 * MS + 2 * CLIENT, "-BUSY".to_owned()); 4]);
    for (host, seen) in room.hosts.iter().zip(&seen) {
        seen.iter().for_each(|seen| host.say(seen.line, served("served")));
        host.manner(Manner::serve(4, 0));
    }
    room.run(100 * MS);
    assert_eq!(clients.iter().flat_map(Client::heard).collect::<Vec<_>>(), vec!["served"; MOST]);
    clients[0].post(100);
    room.run(100 * MS);
    assert_eq!(clients[0].heard(), [name(100)]);
}
