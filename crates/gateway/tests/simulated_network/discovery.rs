//! Discovery that falls silent, and addresses that move while calls are out.

use crate::support::{
    bulk, entry, list, name, post, tariff, Manner, Peer, Plan, Room, Seen, CLIENT, END, HERE, HOST,
};
use cluster_model::{MS, SECOND};
use gateway::Signal;
use runtime::Span;
use serde_json::json;

/// Between asking for a connection on one machine and a question that is there.
const QUESTION: Span = 3 * HERE;

fn texts(seen: &[Seen]) -> Vec<&str> {
    seen.iter().map(|seen| seen.text.as_str()).collect()
}

fn watch(after: u64) -> String {
    format!("GET /registry/instances?watch=1&after={after} HTTP/1.1")
}

/// The only thing seen, which is a question.
fn question(peer: &Peer, text: &str) -> Seen {
    let question = peer.one();
    assert_eq!(question.text, text);
    question
}

#[test]
fn a_silent_watch_is_replaced_after_two_and_a_half_seconds_and_twice_within_six() {
    let room = Room::start(Plan::default());
    room.run_to(QUESTION);
    let first = question(&room.discovery, &watch(1));
    room.discovery.tell(first.line, &list(2, true, &[entry(&room.hosts, 0, "in_service")]));
    let heard = QUESTION + HERE;
    room.run_to(6 * SECOND);
    let seen = room.discovery.seen();
    // The second, unlike the first, is silent from the start; the pause after it is longer.
    let second = heard + 2500 * MS + 20 * MS;
    let third = second + 2500 * MS + 40 * MS;
    let expected = [
        (heard + 2500 * MS + HERE, 0, END.to_owned()),
        (second + QUESTION, 1, watch(2)),
        (second + 2500 * MS + HERE, 1, END.to_owned()),
        (third + QUESTION, 2, watch(2)),
    ];
    let seen: Vec<_> = seen.into_iter().map(|seen| (seen.at, seen.line, seen.text)).collect();
    assert_eq!(seen, expected);
}

#[test]
fn half_a_list_keeps_no_watch_alive() {
    let room = Room::start(Plan::default());
    room.run_to(QUESTION);
    let line = question(&room.discovery, &watch(1)).line;
    let text = list(2, true, &[entry(&room.hosts, 0, "in_service")]).to_string();
    for byte in text.chars().take(8) {
        room.discovery.say(line, crate::support::chunk(&byte.to_string()));
        room.run(400 * MS);
    }
    let ends = room.discovery.seen().into_iter().find(|seen| seen.line == line);
    let end = ends.map(|seen| (seen.at, seen.text));
    assert_eq!(end, Some((QUESTION + HERE + 2500 * MS + HERE, END.to_owned())));
}

#[test]
fn a_watch_with_empty_lines_alone_stays_until_a_successor_answers() {
    let room = Room::start(Plan::default());
    room.run_to(QUESTION);
    let line = question(&room.discovery, &watch(1)).line;
    for _ in 0..30 {
        room.run(2 * SECOND);
        room.discovery.keep_watch(line);
    }
    room.run(SECOND);
    // It may tell nothing where there is something to tell: another is asked for when it has told nothing for so
    // long, and again when that one has not answered for as long.
    let (seen, heard) = (room.discovery.seen(), QUESTION + HERE);
    assert!(seen.iter().all(|seen| seen.line != line && [&watch(1), END].contains(&seen.text.as_str())));
    let asked: Vec<_> = seen.iter().filter(|seen| seen.text != END).map(|seen| seen.at).collect();
    let expected: Vec<_> = (0..22).map(|n| heard + 2500 * MS + n * 2700 * MS + QUESTION).collect();
    assert_eq!(asked, expected);
    let last = seen.iter().map(|seen| seen.line).max().unwrap();
    room.discovery.open_watch(last);
    room.run(MS);
    let [end] = &room.discovery.seen()[..] else { panic!("one has ended") };
    assert_eq!((end.line, end.text.as_str()), (line, END));
}

#[test]
fn a_list_on_the_old_watch_drops_the_call_for_its_successor_and_another_asks_for_what_follows() {
    // So long after the question for the successor, which gets no answer.
    for after in [0, 1, 500 * MS, 2400 * MS] {
        let room = Room::start(Plan::default());
        room.run_to(QUESTION);
        let old = question(&room.discovery, &watch(1)).line;
        let asked = QUESTION + HERE + 2500 * MS + QUESTION;
        for beat in [2 * SECOND, 4 * SECOND] {
            room.run_to(beat.min(asked + after));
            room.discovery.keep_watch(old);
        }
        room.run_to(asked + after);
        let successor = question(&room.discovery, &watch(1));
        assert_eq!(successor.at, asked);
        room.discovery.tell(old, &list(2, false, &[entry(&room.hosts, 0, "terminating")]));
        let told = room.now() + HERE;
        room.run_to(told + 2 * SECOND);
        room.discovery.keep_watch(old);
        room.run_to(told + 2500 * MS + QUESTION);
        let seen: Vec<_> =
            room.discovery.seen().into_iter().map(|seen| (seen.at, seen.line, seen.text)).collect();
        let expected = [
            (told + HERE, successor.line, END.to_owned()),
            (told + 2500 * MS + QUESTION, successor.line + 1, watch(2)),
        ];
        assert_eq!(seen, expected, "{after}");
    }
}

#[test]
fn a_list_on_the_old_watch_and_the_answer_of_its_successor_leave_one_open_that_has_told_it() {
    for offset in [-(MS as i64), -1, 0, 1, MS as i64] {
        let room = Room::start(Plan::default());
        room.run_to(QUESTION);
        let old = question(&room.discovery, &watch(1)).line;
        room.run_to(2 * SECOND);
        room.discovery.keep_watch(old);
        room.run_to(3 * SECOND);
        let successor = question(&room.discovery, &watch(1)).line;
        let news = list(2, false, &[entry(&room.hosts, 0, "terminating")]);
        let answers = (3 * SECOND + 10 * MS).checked_add_signed(offset).unwrap();
        let mut steps = [(answers, successor), (3 * SECOND + 10 * MS, old)];
        steps.sort();
        for (when, line) in steps {
            room.run_to(when);
            let head = if line == successor { crate::support::CHUNKED } else { "" };
            room.discovery.say(line, format!("{head}{}", crate::support::chunk(&format!("{news}\n"))));
        }
        room.run(2 * SECOND);
        let ends: Vec<_> = room.discovery.seen().into_iter().map(|seen| (seen.line, seen.text)).collect();
        let (closed, stays) = if offset < 0 { (old, successor) } else { (successor, old) };
        assert_eq!(ends, [(closed, END.to_owned())], "{offset}");
        room.discovery.keep_watch(stays);
        room.run(SECOND);
        assert_eq!(texts(&room.discovery.seen()), [watch(2)], "{offset}: told once, whoever told it");
    }
}

#[test]
fn an_empty_line_counts_also_where_half_a_list_comes_in_one_piece_with_it() {
    let room = Room::start(Plan::default());
    room.run_to(QUESTION);
    let line = question(&room.discovery, &watch(1)).line;
    let text = list(2, false, &[entry(&room.hosts, 0, "in_service")]).to_string();
    let (half, rest) = text.split_at(text.len() / 2);
    room.run_to(2 * SECOND);
    room.discovery.say(line, crate::support::chunk(&format!("\n{half}")));
    room.run(SECOND);
    room.discovery.say(line, crate::support::chunk(&format!("{rest}\n")));
    room.run(2 * SECOND);
    room.discovery.keep_watch(line);
    room.run(600 * MS);
    let seen = room.discovery.seen();
    let ends = seen.iter().filter(|seen| seen.line == line).count();
    assert_eq!(ends, 0, "{seen:?}");
    assert_eq!(texts(&seen).last(), Some(&watch(2).as_str()), "the list counts");
}

/// A gateway whose customers have a quota of ten units and next to nothing more.
fn with_quota() -> Room {
    let mut plan = Plan::default();
    plan.settings["domain"]["shared-counter"] = true.into();
    plan.settings["tariffs"] = json!([tariff(0.001, 10.0)]);
    let room = Room::start(plan);
    room.hosts[0].manner(Manner::serve(4, 0));
    room
}

#[test]
fn sighup_moves_the_counter_and_a_call_that_is_out_counts_where_it_is() {
    let room = with_quota();
    let (new, client) = (room.peer("new counter", 7000), room.client());
    client.say(post(1, 1, 2.0));
    room.run_to(10 * MS);
    let old_call = room.counter.one();
    room.reload(room.discovery.addr, new.addr);
    client.say(post(2, 2, 2.0));
    room.run_to(20 * MS);
    let new_call = new.one();
    assert!(old_call.text.starts_with("ADDGET ") && new_call.text.starts_with("ADDGET "));
    // The later one comes back first, as answers to other customers may.
    new.say(new_call.line, bulk("2"));
    room.run_to(50 * MS);
    assert_eq!(texts(&room.hosts[0].seen()).len(), 1);
    room.counter.say(old_call.line, bulk("2"));
    room.run_to(90 * MS);
    assert_eq!(client.heard(), [name(1), name(2)]);
    let [end] = &room.counter.seen()[..] else { panic!("an end, and no call") };
    assert_eq!(end.text, END, "nothing more is to come there");
}

#[test]
fn sighup_moves_discovery_and_the_list_from_there_counts_for_calls_in_flight_too() {
    let room = Room::start(Plan { hosts: 2, ..Plan::default() });
    let (new, client) = (room.peer("new agent", 8500), room.client());
    room.run_to(QUESTION);
    client.post(1);
    room.run_to(10 * MS);
    room.discovery.seen();
    let busy = room.hosts.iter().position(|host| !host.seen().is_empty()).unwrap();
    room.reload(new.addr, room.counter.addr);
    room.run(10 * MS);
    assert_eq!(room.discovery.one().text, END);
    let line = question(&new, "GET /registry/instances HTTP/1.1").line;
    // The host that is at work is not on it.
    let whole = list(3, true, &[entry(&room.hosts, 1 - busy, "in_service")]).to_string();
    new.say(line, format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len()));
    room.run(10 * MS);
    assert!(texts(&new.seen()).contains(&watch(3).as_str()));
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(1, 0)));
    room.hosts[busy].say(0, crate::support::served("late"));
    for id in 2..10 {
        client.post(id);
        room.run(10 * MS);
    }
    assert_eq!(client.heard()[0], "late", "what it has, it finishes");
    assert_eq!(texts(&room.hosts[busy].seen()), [END], "it gets nothing new, and its connection goes");
}

#[test]
fn sighup_while_stopping_still_moves_the_counter_and_a_bad_one_changes_nothing() {
    let room = with_quota();
    let (new, client) = (room.peer("new counter", 7000), room.client());
    new.manner(Manner::count());
    client.say(post(1, 1, 2.0));
    room.run_to(10 * MS);
    let old_call = room.counter.one();
    room.signal(Signal::Terminate);
    room.run(50 * MS);
    room.reload(room.discovery.addr, new.addr);
    room.run(MS);
    room.lose_configuration();
    room.signal(Signal::Reload);
    room.signal(Signal::Terminate);
    room.counter.say(old_call.line, bulk("2"));
    client.say(post(2, 2, 2.0));
    room.run(100 * MS);
    assert_eq!(client.heard(), [name(1), name(2)]);
    assert_eq!(new.seen().len(), 1);
    room.run(SECOND);
    let closing = 10 * MS + 450 * MS;
    assert_eq!(client.seen(), [(closing + CLIENT, END.to_owned())]);
    assert_eq!(room.ended(), Some(closing + 500 * MS));
}

#[test]
fn a_reload_whose_operators_files_cannot_be_put_in_force_moves_no_address() {
    let room = with_quota();
    let (counter, agent, client) =
        (room.peer("new counter", 7000), room.peer("new agent", 8500), room.client());
    room.run_to(QUESTION);
    room.discovery.seen();
    // A class that the settings in force do not have; the loader here knows no settings.
    let route = |class: &str| {
        format!("pool \"p\" {{}}\nroute \"r\" {{\n  classes = \"{class}\"\n  pool = \"p\"\n}}\n")
    };
    room.write_operators(&route("gone"));
    room.reload(agent.addr, counter.addr);
    room.run(10 * MS);
    client.say(post(1, 1, 2.0));
    room.run(10 * MS);
    assert!(counter.seen().is_empty() && agent.seen().is_empty() && room.discovery.seen().is_empty());
    let call = room.counter.one();
    room.counter.say(call.line, bulk("2"));
    room.run(10 * MS);
    assert_eq!(client.heard(), [name(1)], "and what runs goes on");
    // The same addresses, with files that can be used, count at once.
    room.write_operators(&route("order"));
    room.signal(Signal::Reload);
    client.say(post(2, 2, 2.0));
    room.run(10 * MS);
    assert_eq!(room.discovery.one().text, END);
    assert!(
        agent.one().text.starts_with("GET /registry/instances ") && counter.one().text.starts_with("ADDGET ")
    );
}

#[test]
fn sighup_that_takes_the_counter_away_lets_calls_that_are_out_finish_and_makes_no_more() {
    for (offset, answers) in [-1_i64, 0, 1].into_iter().flat_map(|offset| [(offset, true), (offset, false)]) {
        let room = with_quota();
        let client = room.client();
        client.say(post(1, 1, 2.0));
        room.run_to(10 * MS);
        let call = room.counter.one();
        // The settings are those of the start; without a counter in them the document needs no address.
        room.write_document(|document| {
            document["counter"] = json!(null);
            document["settings"]["domain"]["shared-counter"] = false.into();
        });
        let mut steps = [((20 * MS).checked_add_signed(offset).unwrap(), true), (20 * MS - HOST, false)];
        steps.sort();
        for (when, is_reload) in steps {
            room.run_to(when);
            if is_reload {
                room.signal(Signal::Reload);
            } else if answers {
                room.counter.say(call.line, bulk("2"));
            }
        }
        // Of another customer: nothing can be asked, and what rests on this gateway's word is served.
        client.say(post(2, 2, 2.0));
        room.run(SECOND);
        assert_eq!(client.heard(), [name(1), name(2)], "{offset}, {answers}");
        assert_eq!(
            texts(&room.counter.seen()),
            [END],
            "{offset}, {answers}: no call, and the connection goes"
        );
        // Back at the address, calls go on.
        room.counter.manner(Manner::count());
        room.write_document(|document| document["settings"]["domain"]["shared-counter"] = true.into());
        room.reload(room.discovery.addr, room.counter.addr);
        room.run(3 * SECOND);
        client.say(post(3, 3, 2.0));
        room.run(SECOND);
        assert_eq!(client.heard(), [name(3)], "{offset}, {answers}");
        assert!(
            room.counter.seen().iter().any(|seen| seen.text.starts_with("ADDGET")),
            "{offset}, {answers}"
        );
    }
}
