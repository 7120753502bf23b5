//! How attempts end: with an answer, in time or not, spoilt, broken, or never; and what follows for requests that may be
//! repeated, that hosts drop the repeats of for a while, and that may run only once.

use crate::connections::{lines, lose_what_asks, reset};
use crate::host_crossings::calls;
use crate::support::{
    entry, get, list, name, post, served, Client, Manner, Order, Plan, Room, Says, Seen, CLIENT, END, HERE,
    HOST,
};
use bytes::Bytes;
use cluster_model::{MS, SECOND};
use runtime::Span;
use serde_json::Value;
use simulated_runtime::What;

/// Up to when a request may be answered, since it came.
const AIM: Span = 8 * SECOND;

/// What it means that a request runs twice.
#[derive(Clone, Copy, Debug)]
enum Effect {
    Safe,
    /// Hosts drop its repeats for so long.
    Keyed(Span),
    Unsafe,
}

const EFFECTS: [Effect; 4] =
    [Effect::Safe, Effect::Keyed(300 * MS), Effect::Keyed(6 * SECOND), Effect::Unsafe];

impl Effect {
    /// Two hosts, the second of which is not in service at first.
    fn plan(self) -> Plan {
        let mut plan = Plan { hosts: 2, known: (1, vec!["in_service", "terminating"]), ..Plan::default() };
        if let Effect::Keyed(window) = self {
            let order = &mut plan.settings["services"][1];
            order["semantics"] = "keyed".into();
            order["dedup-scope"] = "all".into();
            order["key-ttl"] = window.into();
        }
        plan
    }

    fn call(self, id: u64) -> Bytes {
        match self {
            Effect::Safe => get(id),
            _ => post(id, 1, 1.0),
        }
    }

    /// Whether a request is sent again that failed so long after it was sent.
    fn is_repeated(self, after: Span) -> bool {
        match self {
            Effect::Safe => after < AIM,
            Effect::Keyed(window) => after < window - (100 * MS).max(window / 10),
            Effect::Unsafe => false,
        }
    }

    /// What a client is told of one that may have run and is not sent again.
    fn failure(self) -> String {
        match self {
            Effect::Unsafe => "-ERR failed",
            _ => "-BUSY",
        }
        .to_owned()
    }
}

/// The hosts in these states from now on.
fn turn(room: &Room, version: u64, states: [&str; 2]) {
    let entries: Vec<Value> = (0..2).map(|number| entry(&room.hosts, number, states[number])).collect();
    room.discovery.tell(0, &list(version, false, &entries));
    room.run(HERE);
}

fn half() -> Order {
    Order::Say(served("half of it").slice(..12))
}

fn say(text: &str) -> Order {
    Order::Say(text.to_owned().into())
}

/// When the other host is in service.
const SOON: Span = 20 * MS;

/// What a host does with a request, from when it has it, and after how long its attempt has failed.
fn failures() -> Vec<(&'static str, Says, Span)> {
    let endless = std::iter::once((SOON, say("*3\r\n$60000\r\n")));
    let endless = endless.chain((1..100).map(|n| (SOON + n * 100 * MS, say("x")))).collect();
    vec![
        ("an error", vec![(SOON, say("-ERR failed\r\n"))], SOON),
        ("nonsense", vec![(SOON, say("+OK\r\n"))], SOON),
        ("no value", vec![(SOON, say("*3\r\n$-1\r\n$-1\r\n$-1\r\n"))], SOON),
        ("a value too long", vec![(SOON, say("*3\r\n$65537\r\n"))], SOON),
        ("too many parts", vec![(SOON, say("*17\r\n"))], SOON),
        ("half an answer, then an end", vec![(SOON, half()), (2 * SOON, Order::Close)], 2 * SOON),
        ("half an answer, then a reset", vec![(SOON, half()), (2 * SOON, Order::Reset)], 2 * SOON),
        ("half an answer and no more", vec![(SOON, half())], SOON + 200 * MS),
        (
            "half an answer and the rest too late",
            vec![(SOON, half()), (500 * MS, say("rest"))],
            SOON + 200 * MS,
        ),
        ("an end after long", vec![(5 * SECOND, Order::Close)], 5 * SECOND),
        ("a reset after long", vec![(5 * SECOND, Order::Reset)], 5 * SECOND),
        ("half an answer after long", vec![(5 * SECOND, half())], 5 * SECOND + 200 * MS),
        ("an answer that never ends", endless, AIM),
        ("nothing", vec![], AIM),
        ("an answer that comes too late", vec![(9 * SECOND, Order::Say(served("late")))], AIM),
    ]
}

#[test]
fn a_failed_attempt_is_followed_by_another_only_where_its_effect_and_its_window_allow_it() {
    for (effect, number) in EFFECTS.iter().flat_map(|effect| (0..failures().len()).map(move |n| (*effect, n)))
    {
        let (what, mut says, after) = failures().remove(number);
        let room = Room::start(effect.plan());
        let (host, other) = (&room.hosts[0], &room.hosts[1]);
        host.manner(Manner::script(move |_, _| std::mem::take(&mut says)));
        other.manner(Manner::serve(1, 0));
        room.run_to(10 * MS);
        let client = room.client_that_says(effect.call(1), usize::MAX);
        room.run(10 * MS);
        let [sent] = &calls(host)[..] else { panic!("one attempt") };
        turn(&room, 2, ["in_service", "in_service"]);
        room.run_to(12 * SECOND);
        // The attempt began when its connection was asked for, two ways before.
        let begun = sent.sent - 2 * HOST;
        let is_repeated = effect.is_repeated(sent.at + after + HOST - begun);
        let again = calls(other);
        assert_eq!(again.len(), usize::from(is_repeated), "{effect:?}, {what}: {again:?}");
        // Of what was left when it was written, and no more.
        assert!(again.iter().all(|seen| told(seen) == (begun + AIM - seen.sent) / MS), "{what}: {again:?}");
        if let Effect::Keyed(window) = effect {
            assert!(again.iter().all(|seen| seen.at < begun + window), "{effect:?}, {what}: {again:?}");
        }
        let answer = if is_repeated { name(1) } else { effect.failure() };
        assert_eq!(client.heard(), [answer], "{effect:?}, {what}");
        assert!(calls(host).is_empty(), "{effect:?}, {what}");
        assert_eq!(host.lines(), 1, "{effect:?}, {what}");
    }
}

/// Milliseconds that an attempt tells its host to have.
fn told(seen: &Seen) -> Span {
    let list = seen.text.split(' ').find(|word| word.starts_with("c=")).unwrap();
    list.split(',').find_map(|pair| pair.strip_prefix("d=")).unwrap().parse().unwrap()
}

/// An attempt's time is up 1 ns after its answer, in that instant, 1 ns before.
#[test]
fn an_answer_in_the_instant_in_which_its_attempt_s_time_is_up_is_one_end_and_one_answer() {
    for (effect, offset) in EFFECTS.iter().flat_map(|effect| [-1_i64, 0, 1].map(|offset| (*effect, offset))) {
        let room = Room::start(effect.plan());
        let (host, other) = (&room.hosts[0], &room.hosts[1]);
        room.run_to(10 * MS);
        let client = room.client_that_says(effect.call(1), usize::MAX);
        room.run(10 * MS);
        let sent = host.one();
        turn(&room, 2, ["in_service", "in_service"]);
        let over = sent.sent - 2 * HOST + AIM;
        room.run_to(over.saturating_add_signed(offset) - HOST);
        host.say(sent.line, served("answer"));
        room.run(SECOND);
        let heard = client.heard();
        let is_served = heard == ["answer"];
        assert!(is_served || heard == [effect.failure()], "{effect:?}, {offset}: {heard:?}");
        assert!(offset == 0 || is_served == (offset < 0), "{effect:?}, {offset}: {heard:?}");
        assert_eq!(other.lines(), 0, "{effect:?}, {offset}");
        // Whichever came first, the next request has an answer of its own.
        room.hosts.iter().for_each(|host| host.manner(Manner::serve(1, 0)));
        let client = room.client_that_says(effect.call(2), usize::MAX);
        room.run(SECOND);
        assert_eq!(client.heard(), [name(2)], "{effect:?}, {offset}");
    }
}

/// A begun answer is spoilt 0.2 s after its last byte: the rest comes 1 ns before, in that instant, 1 ns after.
#[test]
fn the_rest_of_an_answer_in_the_instant_in_which_it_is_spoilt_makes_one_answer() {
    let answer = served("whole");
    for (effect, offset) in EFFECTS.iter().flat_map(|effect| [-1_i64, 0, 1].map(|offset| (*effect, offset))) {
        let room = Room::start(effect.plan());
        let (host, other) = (&room.hosts[0], &room.hosts[1]);
        other.manner(Manner::serve(1, 0));
        room.run_to(10 * MS);
        let client = room.client_that_says(effect.call(1), usize::MAX);
        room.run(10 * MS);
        let sent = host.one();
        turn(&room, 2, ["in_service", "in_service"]);
        host.say(0, answer.slice(..12));
        room.run((200 * MS).saturating_add_signed(offset));
        let after = room.now() + HOST - (sent.sent - 2 * HOST);
        host.say(0, answer.slice(12..));
        room.run(SECOND);
        let is_repeated = effect.is_repeated(after);
        let spoilt = if is_repeated { name(1) } else { effect.failure() };
        let (heard, again) = (client.heard(), calls(other).len());
        let is_whole = heard == ["whole"];
        assert!(is_whole || heard == [spoilt], "{effect:?}, {offset}: {heard:?}");
        assert!(offset == 0 || is_whole == (offset < 0), "{effect:?}, {offset}: {heard:?}");
        assert_eq!(again, usize::from(is_repeated && !is_whole), "{effect:?}, {offset}");
    }
}

/// A connection comes up 1 ns before its time is up, in that instant, 1 ns after.
#[test]
fn a_connection_that_comes_up_in_the_instant_in_which_it_is_given_up_carries_its_request_or_nothing() {
    for (effect, offset) in EFFECTS.iter().flat_map(|effect| [-1_i64, 0, 1].map(|offset| (*effect, offset))) {
        let mut plan = effect.plan();
        let late = SECOND + 2 * HOST;
        plan.settings["allowed"]["dial-timeout"] = late.saturating_add_signed(-offset).into();
        let room = Room::start(plan);
        let host = &room.hosts[0];
        host.manner(Manner::serve(1, 0));
        let client = room.client();
        room.run_to(10 * MS);
        client.say(effect.call(1));
        room.run(CLIENT);
        let up = room.now() + late;
        lose_what_asks(&room, host);
        room.run(3 * SECOND);
        assert_eq!(client.heard(), [name(1)], "{effect:?}, {offset}");
        let [seen] = &calls(host)[..] else { panic!("{effect:?}, {offset}: once") };
        let is_first = seen.sent == up;
        assert!(is_first || seen.sent > up, "{effect:?}, {offset}: {seen:?}");
        assert!(offset == 0 || is_first == (offset < 0), "{effect:?}, {offset}: {seen:?}");
    }
}

/// The module gives a safe attempt up that hangs, and makes another in its place; its answer comes 1 ns before, in that
/// instant, 1 ns after.
#[test]
fn an_answer_in_the_instant_in_which_its_attempt_is_withdrawn_is_one_answer() {
    let play = |answered: Option<Span>| {
        let mut plan = Effect::Safe.plan();
        plan.settings["allowed"]["cancel"] = true.into();
        let room = Room::start(plan);
        learn(&room);
        let (host, other, wire) = (&room.hosts[0], &room.hosts[1], room.wire());
        let client = room.client_that_says(get(1), usize::MAX);
        room.run(3 * CLIENT + 3 * HOST);
        assert_eq!(calls(host).len(), 1);
        turn(&room, 4, ["in_service", "in_service"]);
        if let Some(at) = answered {
            room.run_to(at - HOST);
            host.say(0, served("first"));
        }
        room.run(SECOND);
        let withdrawn = wire.arrivals("gateway", "host 0", &What::Fin).first().map(|at| at - HOST);
        (withdrawn, client.heard(), calls(other).len())
    };
    let (withdrawn, heard, again) = play(None);
    assert_eq!((heard, again), (vec![name(1)], 1));
    let withdrawn = withdrawn.expect("its connection closes");
    for offset in [-1_i64, 0, 1] {
        let (_, heard, again) = play(Some(withdrawn.saturating_add_signed(offset)));
        let is_first = heard == ["first"];
        assert!(is_first || heard == [name(1)], "{offset}: {heard:?}");
        assert!(offset == 0 || is_first == (offset < 0), "{offset}: {heard:?}");
        assert_eq!(again, usize::from(!is_first), "{offset}");
    }
}

/// With connections that take all but the last bytes of this call, where their host does not read.
fn narrow(mut plan: Plan, call: &Bytes) -> Plan {
    plan.network.window = call.len() as u32 - 10;
    plan
}

/// The first host serves a request on a connection and reads no more on that: all but the last bytes of the next request
/// are written there. Its client, and when its attempt began.
fn half_written(room: &Room, effect: Effect) -> (Client, Span) {
    let (host, client) = (&room.hosts[0], room.client_that_says(effect.call(1), usize::MAX));
    host.manner(Manner::serve(1, 0));
    // Calls differ in the time that they tell, not in its digits.
    host.deaf(effect.call(1).len());
    room.run(100 * MS);
    assert_eq!((client.heard(), calls(host).len()), (vec![name(1)], 1));
    host.deaf(usize::MAX);
    client.say(effect.call(2));
    // Its last bytes come when the first have been read.
    room.run(2 * CLIENT);
    (client, room.now())
}

#[test]
fn a_request_whose_time_is_over_is_not_written_again_where_its_connection_lost_a_part_of_it() {
    for (effect, offset) in EFFECTS.iter().flat_map(|effect| [-1_i64, 0, 1].map(|offset| (*effect, offset))) {
        let room = Room::start(narrow(effect.plan(), &effect.call(1)));
        room.run_to(10 * MS);
        let host = &room.hosts[0];
        let (client, begun) = half_written(&room, effect);
        room.run_to((begun + AIM).saturating_add_signed(offset));
        reset(&room, host);
        host.hear();
        room.run(SECOND);
        assert_eq!(calls(host), [], "{effect:?}, {offset}");
        let heard = client.seen();
        assert_eq!(heard, [(begun + AIM + CLIENT, "-BUSY".to_owned())], "{effect:?}, {offset}: it never ran");
    }
}

/// All go to both hosts, but reads to the first alone.
const READS_APART: &str = "pool \"first\" {\nids = \"s-0\"\n}\npool \"all\" {\nids = [\"s-0\", \"s-1\"]\n}\n\
    route \"reads\" {\nclasses = \"read\"\npool = \"first\"\n}\nroute \"rest\" {\npool = \"all\"\n}\n";

/// The window of a keyed request leaves 100 ms for the way of its last bytes.
#[test]
fn a_keyed_request_is_not_written_again_after_its_window_where_its_connection_lost_a_part_of_it() {
    let window = SECOND;
    let call = post(1, 1, 1.0);
    for (offset, is_again) in [(-400 * MS as i64, true), (-1, false), (0, false), (1, false)] {
        let mut plan = narrow(Effect::Keyed(window).plan(), &call);
        plan.operators = READS_APART.into();
        let room = Room::start(plan);
        let (host, other, client) = (&room.hosts[0], &room.hosts[1], room.client());
        room.run_to(10 * MS);
        // One read is out at the first host, so that the next request of all goes to the second.
        let _reader = room.client_that_says(get(9), usize::MAX);
        room.run(10 * MS);
        host.manner(Manner::serve(1, 0));
        host.deaf(call.len());
        client.post(1);
        room.run(100 * MS);
        assert_eq!((client.heard(), lines(&calls(host))), (vec![name(1)], vec![0, 1]));
        host.deaf(usize::MAX);
        turn(&room, 2, ["in_service", "in_service"]);
        other.manner(Manner::script(|_, _| vec![(0, say("-ERR failed\r\n"))]));
        client.post(2);
        room.run(2 * CLIENT);
        let begun = room.now();
        room.run(50 * MS);
        assert_eq!((calls(other).len(), calls(host).len(), host.lines()), (1, 0, 2));
        let write_by = begun + window - 100 * MS;
        room.run_to(write_by.saturating_add_signed(offset));
        reset(&room, host);
        host.hear();
        room.run(SECOND);
        let again = calls(host).into_iter().filter(|seen| seen.text.contains(&name(2)));
        let again: Vec<Seen> = again.collect();
        assert_eq!(again.len(), usize::from(is_again), "{offset}: {again:?}");
        let answers = client.seen();
        let [(at, answer)] = &answers[..] else { panic!("{offset}: {answers:?}") };
        assert_eq!(*answer, if is_again { name(2) } else { "-BUSY".to_owned() }, "{offset}");
        assert!(*at <= write_by + 10 * MS, "{offset}: told when no more can be done, not later: {at}");
    }
}

/// A room in which second copies are allowed, and answers have been quick so far, so that a request
/// which takes longer is given a second copy.
fn with_copies(mut plan: Plan) -> Room {
    plan.settings["allowed"]["may-duplicate"] = true.into();
    plan.settings["allowed"]["max-attempts"] = 2.into();
    plan.settings["allowed"]["dial-timeout"] = (4 * SECOND).into();
    let room = Room::start(plan);
    learn(&room);
    room
}

/// The second host alone answers for a while, each request at once; then the first alone is in service.
fn learn(room: &Room) {
    let other = &room.hosts[1];
    other.manner(Manner::serve(1, 0));
    room.run_to(10 * MS);
    turn(room, 2, ["terminating", "in_service"]);
    let client = room.client();
    for id in 1_000..1_040 {
        client.get(id);
        room.run(10 * MS);
    }
    assert_eq!((client.heard().len(), calls(other).len()), (40, 40));
    turn(room, 3, ["in_service", "terminating"]);
}

/// What the host does that has a part of a request, of which another has a second copy.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Then {
    /// It is reset, after the copy was answered or before.
    Reset,
    /// It reads on.
    Reads,
}

#[test]
fn what_is_half_written_goes_no_further_once_a_second_copy_is_answered() {
    for (then, is_answered) in [(Then::Reset, true), (Then::Reads, true), (Then::Reset, false)] {
        let room = with_copies(narrow(Effect::Safe.plan(), &get(1)));
        let (host, other) = (&room.hosts[0], &room.hosts[1]);
        let (client, _) = half_written(&room, Effect::Safe);
        if !is_answered {
            other.manner(Manner::Wait);
        }
        turn(&room, 4, ["in_service", "in_service"]);
        room.run(SECOND);
        let copies = calls(other);
        assert_eq!(copies.len(), 1, "{then:?}: a second copy");
        assert_eq!(client.heard().len(), usize::from(is_answered));
        match then {
            Then::Reset => reset(&room, host),
            Then::Reads => {}
        }
        host.hear();
        room.run(100 * MS);
        if !is_answered {
            other.say(copies[0].line, served("late"));
        }
        room.run(10 * SECOND);
        let expected = if is_answered { vec![] } else { vec![1] };
        assert_eq!(lines(&calls(host)), expected, "{then:?}, answered: {is_answered}");
        let heard = if is_answered { vec![] } else { vec![name(2)] };
        assert_eq!(client.heard(), heard, "{then:?}, answered: {is_answered}");
    }
}

/// The connection to the first host comes up a second late. Where a second copy may be made, and is answered, nothing is
/// written to it.
#[test]
fn a_connection_that_comes_up_after_a_second_copy_was_answered_carries_nothing() {
    for (effect, has_copy) in EFFECTS.map(|effect| (effect, matches!(effect, Effect::Safe))) {
        let room = with_copies(effect.plan());
        let (host, other) = (&room.hosts[0], &room.hosts[1]);
        host.manner(Manner::serve(1, 0));
        let client = room.client();
        room.run(10 * MS);
        client.say(effect.call(1));
        room.run(CLIENT);
        lose_what_asks(&room, host);
        turn(&room, 4, ["in_service", "in_service"]);
        room.run(500 * MS);
        assert_eq!(calls(other).len(), usize::from(has_copy), "{effect:?}");
        assert_eq!(client.heard().len(), usize::from(has_copy), "{effect:?}");
        room.run(2 * SECOND);
        let late = calls(host);
        assert_eq!((late.len(), host.lines()), (usize::from(!has_copy), 1), "{effect:?}");
        assert!(late.iter().all(|seen| told(seen) == (AIM - SECOND - 2 * HOST) / MS), "{effect:?}: {late:?}");
        assert_eq!(client.heard().len(), usize::from(!has_copy), "{effect:?}");
        assert!(calls(other).is_empty(), "{effect:?}");
    }
}

/// A host hangs in its work and comes back; meanwhile discovery says that it started anew, or that another listens at its
/// address. Its answer is that to its own request, as long as somebody waits for it, and to no other.
#[test]
fn a_host_that_hangs_and_comes_back_under_another_start_or_name_answers_its_own_request_alone() {
    for (effect, is_given_up) in
        EFFECTS.iter().flat_map(|effect| [false, true].map(|given_up| (*effect, given_up)))
    {
        for is_renamed in [false, true] {
            let room = Room::start(effect.plan());
            let host = &room.hosts[0];
            room.run_to(10 * MS);
            let client = room.client_that_says(effect.call(1), usize::MAX);
            room.run(10 * MS);
            assert_eq!(lines(&calls(host)), [0]);
            let mut started = entry(&room.hosts, 0, "in_service");
            match is_renamed {
                true => started["instanceId"] = "s-9".into(),
                false => started["startedAtMs"] = 1_000.into(),
            }
            room.discovery.tell(0, &list(2, true, &[started]));
            room.run_to(if is_given_up { 9 * SECOND } else { SECOND });
            let next = room.client_that_says(effect.call(2), usize::MAX);
            room.run(10 * MS);
            assert_eq!(lines(&calls(host)), [1]);
            host.say(0, served("of the first"));
            room.run(10 * MS);
            host.say(1, served("of the second"));
            room.run(10 * MS);
            let first = if is_given_up { effect.failure() } else { "of the first".to_owned() };
            let case = format!("{effect:?}, given up: {is_given_up}, renamed: {is_renamed}");
            assert_eq!(
                (client.heard(), next.heard()),
                (vec![first], vec!["of the second".to_owned()]),
                "{case}"
            );
            // The old connection ends when it was given up, or has answered.
            let ends = host.seen().into_iter().map(|seen| (seen.line, seen.text));
            let expected = (!is_given_up).then(|| (0, END.to_owned()));
            assert_eq!(ends.collect::<Vec<_>>(), expected.into_iter().collect::<Vec<_>>(), "{case}");
        }
    }
}
