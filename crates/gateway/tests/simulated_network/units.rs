//! Requests that wait for units, and what may cross the counter's answer: a client that leaves, a drain, the time-out,
//! a reload, the end of the connection, the end of the gateway. Each crossing is played in either order and at once.

use crate::support::{
    bulk, entry, list, name, post, tariff, Client, Manner, Peer, Plan, Room, Seen, CLIENT, HERE, HOST,
};
use cluster_model::{MS, SECOND};
use gateway::Signal;
use policy::counter_keys::EPOCH;
use runtime::Span;
use serde_json::json;
use simulated_runtime::{Cut, What};
use std::collections::BTreeMap;

/// How long a call to the counter may take.
const PATIENCE: Span = 100 * MS;
/// After what the crossing event comes: just before, in the same instant, just after, and well after.
const ORDERS: [i64; 5] = [-(MS as i64), -1, 0, 1, MS as i64];

/// A gateway whose customers have ten units and next to nothing more, in an epoch in which calls to the counter prove
/// what they added; a client, and a watch.
fn start(hosts: usize) -> (Room, Client) {
    let mut plan = Plan { hosts, ..Plan::default() };
    plan.settings["domain"]["shared-counter"] = true.into();
    plan.settings["tariffs"] = json!([tariff(0.001, 10.0)]);
    let room = Room::start(plan);
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 0)));
    room.run_to(MS);
    let mut at = MS;
    while at < EPOCH {
        at = (at + 2 * SECOND).min(EPOCH);
        room.discovery.keep_watch(0);
        room.run_to(at);
    }
    let client = room.client();
    room.run(5 * MS);
    (room, client)
}

/// A call that the client has made for two units waits for this answer.
fn waiting(room: &Room, client: &Client, id: u64) -> Seen {
    client.say(post(id, 1, 2.0));
    room.run(5 * MS);
    room.counter.one()
}

fn at(moment: Span, offset: i64) -> Span {
    moment.checked_add_signed(offset).unwrap()
}

/// From now on the counter adds by itself, and has added this call.
fn count_on(counter: &Peer, call: &Seen) {
    let words: Vec<&str> = call.text.split(' ').collect();
    let total = BTreeMap::from([(words[1].to_owned(), words[2].parse().unwrap())]);
    counter.manner(Manner::Count(total));
}

/// The total after this call alone.
fn total(call: &Seen) -> bytes::Bytes {
    bulk(call.text.split(' ').nth(2).unwrap())
}

/// Calls that came to a host, by id.
fn calls(host: &Peer) -> Vec<String> {
    let seen = host.seen().into_iter();
    seen.filter(|seen| seen.text.starts_with("CALL"))
        .map(|seen| seen.text.split(' ').nth(2).unwrap().into())
        .collect()
}

#[test]
fn a_client_that_leaves_while_units_come_takes_nothing_of_its_customer_s_quota() {
    for offset in ORDERS {
        let (room, client) = start(1);
        let call = waiting(&room, &client, 1);
        let crossing = room.now() + 10 * MS;
        let (leaves, answers) = (at(crossing - CLIENT, offset), crossing - HOST);
        let mut steps = [(leaves, true), (answers, false)];
        steps.sort();
        for (when, is_leave) in steps {
            room.run_to(when);
            if is_leave {
                client.close();
            } else {
                room.counter.say(call.line, total(&call));
                count_on(&room.counter, &call);
            }
        }
        room.run(200 * MS);
        let sent = calls(&room.hosts[0]);
        assert!(sent.len() <= usize::from(offset >= 0), "{offset}: sent for nobody");
        // What was bought serves others of the customer: ten units are five requests of two.
        let (other, left) = (room.client(), 5 - sent.len() as u64);
        for id in 2..2 + left {
            other.say(post(id, 1, 2.0));
            room.run(300 * MS);
            assert_eq!(other.heard(), [name(id)], "{offset}");
        }
        other.say(post(99, 1, 2.0));
        room.run(300 * MS);
        assert!(other.heard()[0].starts_with("-BUSY"), "{offset}: no more than the quota");
    }
}

#[test]
fn a_counter_that_is_back_after_the_client_left_buys_for_the_next_one() {
    let (room, client) = start(1);
    let call = waiting(&room, &client, 1);
    client.close();
    room.run(10 * PATIENCE);
    room.counter.say(call.line, total(&call));
    count_on(&room.counter, &call);
    room.run(10 * MS);
    assert_eq!(calls(&room.hosts[0]), [""; 0], "nobody waits for it");
    let other = room.client();
    for id in 2..=6 {
        other.say(post(id, 1, 2.0));
        room.run(SECOND);
        assert_eq!(other.heard(), [name(id)]);
    }
}

#[test]
fn a_host_that_drains_while_a_request_waits_for_units_does_not_get_it() {
    for (hosts, offset) in [1, 2].into_iter().flat_map(|hosts| ORDERS.map(|offset| (hosts, offset))) {
        let (room, client) = start(hosts);
        let call = waiting(&room, &client, 1);
        let crossing = room.now() + 10 * MS;
        let mut steps = [(at(crossing - HERE, offset), true), (crossing - HOST, false)];
        steps.sort();
        for (when, is_drain) in steps {
            room.run_to(when);
            if is_drain {
                room.discovery.tell(0, &list(2, false, &[entry(&room.hosts, 0, "terminating")]));
            } else {
                room.counter.say(call.line, total(&call));
            }
        }
        // Without a host it waits for one, as long as that may help.
        room.run(9 * SECOND);
        let told = at(crossing, offset);
        let late =
            room.hosts[0].seen().into_iter().filter(|seen| seen.text.starts_with("CALL") && seen.sent > told);
        assert_eq!(late.count(), 0, "{hosts} hosts, {offset}");
        let heard = client.heard();
        assert_eq!(heard.len(), 1, "{hosts} hosts, {offset}: {heard:?}");
        let is_served = heard[0] == name(1);
        assert!(
            is_served || (hosts == 1 && heard[0].starts_with("-BUSY")),
            "{hosts} hosts, {offset}: {heard:?}"
        );
    }
}

#[test]
fn an_answer_and_its_time_out_at_once_are_one_end_and_lose_no_units() {
    for offset in ORDERS {
        let (room, client) = start(1);
        let call = waiting(&room, &client, 1);
        room.run_to(at(call.sent + PATIENCE - HOST, offset));
        room.counter.say(call.line, total(&call));
        count_on(&room.counter, &call);
        room.run(SECOND);
        assert_eq!(client.heard(), [name(1)], "{offset}");
        assert_eq!(calls(&room.hosts[0]), [name(1)], "{offset}");
        for id in 2..=5 {
            client.say(post(id, 1, 2.0));
            room.run(SECOND);
            assert_eq!(client.heard(), [name(id)], "{offset}");
        }
    }
}

#[test]
fn a_reload_while_a_call_is_out_gives_one_answer_in_either_order() {
    for offset in ORDERS {
        let (room, client) = start(1);
        let new = room.peer("new counter", 7000);
        new.manner(Manner::count());
        let call = waiting(&room, &client, 1);
        let crossing = room.now() + 10 * MS;
        let mut steps = [(at(crossing, offset), true), (crossing - HOST, false)];
        steps.sort();
        for (when, is_reload) in steps {
            room.run_to(when);
            if is_reload {
                room.reload(room.discovery.addr, new.addr);
            } else {
                room.counter.say(call.line, total(&call));
            }
        }
        room.run(SECOND);
        assert_eq!(client.heard(), [name(1)], "{offset}");
        // Whoever is asked for from now on is the new one.
        client.say(post(2, 2, 2.0));
        room.run(SECOND);
        assert_eq!(client.heard(), [name(2)], "{offset}");
        assert!(new.seen().iter().any(|seen| seen.text.starts_with("ADDGET")), "{offset}");
        assert!(!room.counter.seen().iter().any(|seen| seen.text.starts_with("ADDGET")), "{offset}");
    }
}

#[test]
fn totals_of_a_counter_and_of_the_one_that_it_moved_from_let_in_no_more_than_the_quota() {
    // A call is out at the old one when it moves; its answer comes before, at or after the move, or after the time of
    // the call, when the new one has answered as well.
    for offset in ORDERS.into_iter().chain([3 * PATIENCE as i64]) {
        let (room, client) = start(1);
        let new = room.peer("new counter", 7000);
        new.manner(Manner::count());
        let call = waiting(&room, &client, 1);
        let crossing = room.now() + 10 * MS;
        client.say(post(2, 1, 2.0));
        let mut steps = [(crossing, true), (at(crossing - HOST, offset), false)];
        steps.sort();
        for (when, is_reload) in steps {
            room.run_to(when);
            if is_reload {
                room.reload(room.discovery.addr, new.addr);
                client.say(post(3, 1, 2.0));
            } else {
                room.counter.say(call.line, total(&call));
            }
        }
        for id in 4..=12 {
            room.run(300 * MS);
            client.say(post(id, 1, 2.0));
        }
        room.run(9 * SECOND);
        let heard = client.heard();
        assert_eq!(heard.len(), 12, "{offset}: one answer each: {heard:?}");
        let served = heard.iter().filter(|text| !text.starts_with('-')).count();
        assert_eq!(served, 5, "{offset}: {heard:?}");
        assert_eq!(calls(&room.hosts[0]).len(), served, "{offset}");
    }
}

#[test]
fn a_counter_moved_to_where_nothing_answers_and_back_answers_each_request_once() {
    let (room, client) = start(1);
    let gone = room.peer("cut counter", 7000);
    room.sim.cut(vec![gone.machine.id()], vec![room.gateway()], Cut::Silent);
    let call = waiting(&room, &client, 1);
    room.reload(room.discovery.addr, gone.addr);
    client.say(post(2, 2, 2.0));
    room.run(MS);
    room.reload(room.discovery.addr, room.counter.addr);
    client.say(post(3, 3, 2.0));
    room.run(10 * MS);
    // The call to the address between hangs until its time is over, and holds up neither of the others.
    let third = room.counter.one();
    for call in [&third, &call] {
        room.counter.say(call.line, total(call));
    }
    room.run(10 * MS);
    assert_eq!(calls(&room.hosts[0]), [name(3), name(1)]);
    room.run(10 * PATIENCE);
    assert_eq!(client.heard(), [name(1), name(2), name(3)]);
    assert_eq!(calls(&room.hosts[0]), [name(2)]);
    assert!(gone.seen().is_empty());
}

#[test]
fn a_connection_that_dies_with_a_call_half_written_added_nothing_and_units_come_by_another() {
    let mut plan = Plan::default();
    // A call takes over 60 bytes: half of it is on its way when the counter dies.
    plan.network.window = 32;
    plan.settings["domain"]["shared-counter"] = true.into();
    plan.settings["tariffs"] = json!([tariff(0.001, 10.0)]);
    let room = Room::start(plan);
    room.hosts[0].manner(Manner::serve(4, 0));
    room.run_to(EPOCH);
    let (new, client, wire) = (room.peer("new counter", 7000), room.client(), room.wire());
    new.manner(Manner::count());
    room.counter.deaf(0);
    client.say(post(1, 1, 2.0));
    room.run(10 * MS);
    assert!(room.counter.seen().is_empty() && wire.count("gateway", &What::Fin) == 0);
    room.reload(room.discovery.addr, new.addr);
    room.run(MS);
    room.sim.kill(room.counter.process());
    room.run(SECOND);
    assert_eq!(client.heard(), [name(1)]);
    for id in 2..=5 {
        client.say(post(id, 1, 2.0));
        room.run(SECOND);
        assert_eq!(client.heard(), [name(id)]);
    }
    client.say(post(6, 1, 2.0));
    room.run(SECOND);
    assert!(
        client.heard()[0].starts_with("-BUSY"),
        "nothing was added where it died, and nothing is lost or doubled"
    );
}

#[test]
fn a_stop_answers_requests_that_wait_for_units_whether_the_counter_does_or_not() {
    for answers in [true, false] {
        let (room, client) = start(1);
        room.signal(Signal::Terminate);
        // When it accepts no more, 450 ms later, the call is out.
        room.run(440 * MS);
        let call = waiting(&room, &client, 1);
        room.run(40 * MS);
        assert_eq!(client.heard(), [""; 0]);
        if answers {
            room.counter.say(call.line, total(&call));
        }
        room.run(2 * SECOND);
        assert_eq!(client.heard()[0], name(1), "{answers}");
        assert!(room.ended().is_some());
    }
}
