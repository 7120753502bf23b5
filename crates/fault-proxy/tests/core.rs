//! Links in virtual time. A script has a line for each thing that happens: the millisecond, and
//! `open`, `>1 abc` (the caller of connection 1 sends), `<1 abc` (the other side does), `>1 end`, `>1 break`,
//! `signal go`, or nothing. The outcome has a line for each thing that passes.

use std::collections::BTreeSet;
use std::time::Duration;

use fault_proxy::core::{Action, Link, Opening, Output};
use fault_proxy::plan::{
    ConnectionSelector, Direction, Directions, End, Entry, Fault, LinkId, Plan, Trigger,
};
use fault_proxy::{EventKind, Framing, Trace};
use proptest::prelude::*;

const LINK: LinkId = LinkId(0);
const MS: u64 = 1_000_000;
use Direction::{Answers, Calls};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct World {
    link: Link,
    now: u64,
    open: BTreeSet<u64>,
    log: Vec<String>,
    trace: Trace,
}

impl World {
    fn new(plan: &Plan, messages: Framing, bound: usize) -> World {
        let link = Link::new(LINK, 7, messages, bound);
        let mut world =
            World { link, now: 0, open: BTreeSet::new(), log: Vec::new(), trace: Trace::new(1000) };
        for entry in plan.entries() {
            world.link.plan(0, entry.clone());
        }
        world.settle();
        world
    }

    fn say(&mut self, what: String) {
        self.log.push(format!("{} {what}", self.now / MS));
    }

    fn settle(&mut self) {
        loop {
            let actions = self.link.take_actions();
            self.link.take_events().into_iter().for_each(|note| self.trace.push(note));
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    Action::Connect(number) => {
                        self.say(format!("{number} joins"));
                        self.link.target_connected(self.now, number);
                    }
                    Action::Reset(number) | Action::Close(number) => {
                        self.open.remove(&number);
                        let how = if action == Action::Reset(number) { "reset" } else { "closed" };
                        self.say(format!("{number} {how}"));
                    }
                    Action::Listen(listening) => self.say(format!("{listening:?}")),
                    Action::Process(_) | Action::ProcessAll => {}
                }
            }
            for number in self.open.clone() {
                for direction in Direction::BOTH {
                    self.pass(number, direction);
                }
            }
        }
    }

    fn pass(&mut self, number: u64, direction: Direction) {
        let sign = if direction == Calls { '>' } else { '<' };
        let mut passed = String::new();
        loop {
            match self.link.next_output(self.now, number, direction) {
                Output::Nothing => break,
                Output::Bytes(bytes) => {
                    let count = bytes.len();
                    passed.push_str(&String::from_utf8_lossy(bytes));
                    self.link.bytes_written(self.now, number, direction, count);
                }
                Output::End => {
                    passed.push('|');
                    self.link.end_written(self.now, number, direction);
                }
            }
        }
        if !passed.is_empty() {
            self.say(format!("{sign}{number} {passed}"));
        }
    }

    fn look(&mut self) {
        for number in self.open.clone() {
            Direction::BOTH.into_iter().for_each(|direction| self.pass(number, direction));
        }
        self.settle();
    }

    fn go_to(&mut self, time: u64) {
        while let Some(wake) = self.link.next_wake().filter(|wake| *wake <= time) {
            self.now = wake.max(self.now);
            self.link.poll(self.now);
            self.settle();
        }
        self.now = time;
    }

    fn open(&mut self) {
        let (number, opening) = self.link.accept(self.now);
        if opening == Opening::Reset {
            return self.say(format!("{number} turned away"));
        }
        self.open.insert(number);
        if opening == Opening::Connect {
            self.link.target_connected(self.now, number);
        }
        self.settle();
    }

    fn line(&mut self, line: &str) {
        let mut words = line.splitn(3, ' ');
        let time: u64 = words.next().and_then(|word| word.parse().ok()).expect("a time");
        self.go_to(time * MS);
        let (verb, rest) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        match (verb.as_bytes().first(), rest) {
            (None, _) => {}
            (Some(b'o'), _) => self.open(),
            (Some(b's'), name) => self.link.signal(self.now, name),
            (Some(sign), what) => {
                let direction = if *sign == b'>' { Calls } else { Answers };
                let number = verb[1..].parse().expect("a connection");
                match what {
                    "end" => self.link.sender_ended(self.now, number, direction),
                    "break" => self.link.socket_failed(self.now, number, direction),
                    bytes => self.link.bytes_received(self.now, number, direction, bytes.as_bytes()),
                }
            }
        }
        self.look();
    }
}

fn play(plan: &Plan, messages: Framing, script: &[&str]) -> World {
    let mut world = World::new(plan, messages, 1 << 16);
    script.iter().for_each(|line| world.line(line));
    world
}

fn at(when: Trigger, fault: Fault) -> Plan {
    Plan::new().at(LINK, when, fault)
}

fn now(fault: Fault) -> Plan {
    at(Trigger::At(ms(0)), fault)
}

fn during(from: u64, to: u64, fault: Fault) -> Plan {
    Plan::new().during(LINK, Trigger::At(ms(from)), ms(to - from), fault)
}

fn cut(way: Directions) -> Fault {
    Fault::Cut { way }
}

type Case = (&'static str, Plan, &'static [&'static str], &'static [&'static str]);

fn check(cases: Vec<Case>, messages: Framing) {
    for (name, plan, script, wanted) in cases {
        assert_eq!(play(&plan, messages, script).log, wanted, "{name}");
    }
}

#[test]
fn faults_that_last() {
    let both = Directions::Both;
    let delay = |way, base| Fault::Delay { way, base: ms(base), jitter: ms(0) };
    let cases: Vec<Case> = vec![
        (
            "no fault",
            Plan::new(),
            &["0 open", "1 >1 ab", "2 <1 cd", "3 >1 end", "4 <1 end"],
            &["1 >1 ab", "2 <1 cd", "3 >1 |", "4 <1 |", "4 1 closed"],
        ),
        (
            "delays add up",
            now(delay(Directions::Calls, 5)).at(LINK, Trigger::At(ms(0)), delay(both, 2)),
            &["0 open", "1 >1 ab", "1 <1 cd", "1 >1 end", "99"],
            &["3 <1 cd", "8 >1 ab|"],
        ),
        (
            "order is kept where a delay ends",
            during(0, 2, delay(Directions::Calls, 9)),
            &["0 open", "1 >1 ab", "3 >1 cd", "99"],
            &["10 >1 abcd"],
        ),
        (
            "a rate, after its burst",
            now(Fault::Rate { way: Directions::Calls, bytes_per_s: 200 }),
            &["0 open", "100 >1 abcd", "999"],
            &["100 >1 abc", "105 >1 d"],
        ),
        (
            "the lowest rate counts",
            now(Fault::Rate { way: both, bytes_per_s: 1 }).at(
                LINK,
                Trigger::At(ms(0)),
                Fault::Rate { way: both, bytes_per_s: 100 },
            ),
            &["0 open", "10 >1 ab", "3000"],
            &["10 >1 a", "1000 >1 b"],
        ),
        (
            "held for long, and then all at once",
            during(1, 30_000, Fault::Hold { way: Directions::Answers }),
            &["0 open", "1 >1 ab", "2 <1 cd", "9000 <1 ef", "20000 <1 end", "99999"],
            &["1 >1 ab", "30000 <1 cdef|"],
        ),
        (
            "held bytes of a sender that died",
            during(1, 9, Fault::Hold { way: both }),
            &["0 open", "2 <1 cd", "3 <1 break", "99"],
            &["9 <1 cd", "9 1 reset"],
        ),
        (
            "cut, and then in order",
            during(1, 9, cut(both)),
            &["0 open", "2 >1 ab", "3 <1 cd", "4 >1 end", "99"],
            &["9 >1 ab|", "9 <1 cd"],
        ),
        ("cut one way", now(cut(Directions::Answers)), &["0 open", "1 >1 ab", "2 <1 cd", "99"], &["1 >1 ab"]),
        (
            "a sender that died while cut",
            during(1, 9, cut(both)),
            &["0 open", "2 <1 cd", "3 <1 break", "99"],
            &["9 1 reset"],
        ),
        (
            "new ones while calls are cut",
            during(1, 9, cut(Directions::Calls)),
            &["2 open", "3 >1 ab", "99"],
            &["9 1 joins", "9 >1 ab"],
        ),
        (
            "new ones while answers are cut",
            during(1, 9, cut(Directions::Answers)),
            &["2 open", "3 >1 ab", "4 <1 cd", "99"],
            &["3 >1 ab", "9 <1 cd"],
        ),
        (
            "silent",
            during(1, 9, Fault::Silent),
            &["0 open", "2 open", "3 >1 ab", "3 >2 cd", "99"],
            &["3 >1 ab", "9 2 joins", "9 >2 cd"],
        ),
        (
            "who waits and dies",
            during(1, 9, Fault::Silent),
            &["2 open", "3 >1 ab", "4 >1 break", "99"],
            &["4 1 reset"],
        ),
        (
            "turned away",
            during(1, 9, Fault::ResetNew),
            &["0 open", "2 open", "9 open", "10 >1 ab", "11 >3 cd"],
            &["2 2 turned away", "10 >1 ab", "11 >3 cd"],
        ),
        (
            "refuse before not to answer",
            during(1, 5, Fault::Refuse).during(LINK, Trigger::At(ms(2)), ms(7), Fault::Unanswered),
            &["99"],
            &["1 Refusing", "5 Unanswering", "9 Open"],
        ),
        (
            "flap",
            now(Fault::Flap { way: both, down: ms(10), up: ms(5) }),
            &["0 open", "1 >1 a", "12 >1 b", "16 >1 c", "24 >1 d", "35"],
            &["10 1 joins", "10 >1 a", "12 >1 b", "25 >1 cd"],
        ),
        (
            "on one connection",
            Plan::new().entry(Entry {
                link: LINK,
                when: Trigger::At(ms(0)),
                who: ConnectionSelector::Nth(2),
                fault: Some(cut(Directions::Calls)),
                lasts: None,
            }),
            &["0 open", "0 open", "1 >1 a", "1 >2 b"],
            &["1 >1 a"],
        ),
        (
            "heal",
            now(cut(both)).at(LINK, Trigger::At(ms(0)), delay(both, 50)).heal(LINK, Trigger::At(ms(9))),
            &["0 open", "1 >1 a", "10 >1 b", "99"],
            &["9 1 joins", "51 >1 ab"],
        ),
    ];
    check(cases, Framing::None);
}

#[test]
fn faults_that_end_connections() {
    let drop = |bytes, end| Fault::DropAfter { way: Calls, bytes, end };
    let cut_message = |message, bytes, end| Fault::CutMessage { way: Answers, message, bytes, end };
    let cases: Vec<Case> = vec![
        (
            "reset",
            at(Trigger::At(ms(5)), Fault::Reset),
            &["0 open", "1 open", "6 open", "7 >3 a"],
            &["5 1 reset", "5 2 reset", "7 >3 a"],
        ),
        (
            "half-close",
            at(Trigger::At(ms(5)), Fault::HalfClose { way: Directions::Answers }),
            &["0 open", "6 <1 ab", "7 >1 cd", "8 <1 end", "9 >1 end"],
            &["5 <1 |", "7 >1 cd", "9 >1 |", "9 1 closed"],
        ),
        (
            "a half-closed sender breaks",
            at(Trigger::At(ms(5)), Fault::HalfClose { way: Directions::Answers }),
            &["0 open", "6 <1 ab", "8 <1 break"],
            &["5 <1 |", "8 1 reset"],
        ),
        (
            "drop with a reset",
            now(drop(3, End::Reset)),
            &["0 open", "1 >1 ab", "2 >1 cd"],
            &["1 >1 ab", "2 >1 c", "2 1 reset"],
        ),
        (
            "drop with an end",
            now(drop(3, End::Close)),
            &["0 open", "1 >1 abcd", "2 <1 x", "3 >1 end", "4 <1 end"],
            &["1 >1 abc|", "1 <1 |", "4 1 closed"],
        ),
        (
            "drop in silence, and heal",
            now(drop(3, End::Silence)).heal(LINK, Trigger::At(ms(9))),
            &["0 open", "1 >1 abcd", "2 <1 x", "9"],
            &["1 >1 abc", "9 >1 d", "9 <1 x"],
        ),
        (
            "drop of one that is further",
            at(Trigger::At(ms(5)), drop(3, End::Reset)),
            &["0 open", "1 >1 abcd", "6"],
            &["1 >1 abcd", "5 1 reset"],
        ),
        (
            "a cut message",
            now(cut_message(2, 2, End::Reset)),
            &["0 open", "1 <1 $1\r\na\r\n+OK\r\n"],
            &["1 <1 $1\r\na\r\n+O", "1 1 reset"],
        ),
        (
            "a message that is shorter ends whole",
            now(cut_message(2, 99, End::Reset)),
            &["0 open", "1 <1 +a\r\n+b\r\n+c\r\n"],
            &["1 <1 +a\r\n+b\r\n", "1 1 reset"],
        ),
        (
            "the message at hand",
            at(Trigger::At(ms(5)), cut_message(1, 4, End::Reset)),
            &["0 open", "1 <1 +a", "6 <1 bcd"],
            &["1 <1 +a", "6 <1 bc", "6 1 reset"],
        ),
        ("both sides break", Plan::new(), &["0 open", "1 >1 break", "2"], &["1 1 reset"]),
    ];
    check(cases, Framing::Resp);
}

fn within(moment: Trigger, wait: u64) -> Trigger {
    Trigger::Within { moment: Box::new(moment), wait: ms(wait) }
}

#[test]
fn planned() {
    let cut = || cut(Directions::Both);
    let get = "*2\r\n$3\r\nGET\r\n$4\r\na\r\nb\r\n";
    let nested = "*2\r\n*1\r\n:1\r\n$-1\r\n";
    let both: &[&str] = &[
        "0 open",
        "1 >1 *2\r\n$3\r\nGET\r\n$4\r\na\r\nb\r\nPI",
        "2 >1 NG\r\n*2\r\n*1\r\n:1\r\n$-1\r\n",
        "3 >1 x",
    ];
    let until = |count: usize| {
        let all = format!("{get}PING\r\n{nested}x");
        all[..count].to_string()
    };
    let (first, second) = (get.len(), get.len() + 6);
    let places = [
        (Trigger::before(Calls, 1), 0),
        (Trigger::after(Calls, 1), first),
        (Trigger::Message { way: Calls, n: 2, after: 3 }, first + 3),
        (Trigger::Message { way: Calls, n: 2, after: 99 }, second),
        (Trigger::before(Calls, 3), second),
        (Trigger::after(Calls, 3), second + nested.len()),
        (Trigger::Pattern { way: Calls, bytes: b"\r\n$".to_vec(), n: 2 }, 14),
        (Trigger::Pattern { way: Calls, bytes: b"PING".to_vec(), n: 1 }, first + 4),
        (Trigger::Bytes { connection: 1, way: Calls, bytes: 7 }, 7),
    ];
    for (moment, place) in places {
        let name = format!("{moment:?}");
        let world = play(&at(moment, cut()), Framing::Resp, both);
        let passed: String = world.log.iter().map(|line| line.split_once(">1 ").expect("calls").1).collect();
        assert_eq!(passed, until(place), "{name}");
    }
    let cases: Vec<Case> = vec![
        (
            "the n-th connection, and it alone",
            Plan::new().here(LINK, Trigger::Connection(2), cut()),
            &["0 open", "1 open", "2 >1 a", "3 >2 b"],
            &["2 >1 a"],
        ),
        (
            "messages of all connections count",
            Plan::new().here(LINK, Trigger::after(Calls, 2), Fault::Reset),
            &["0 open", "0 open", "1 >1 a\n", "2 >2 b\n", "3 >1 c\n"],
            &["1 >1 a\n", "2 >2 b\n", "2 2 reset", "3 >1 c\n"],
        ),
        (
            "a reset of the n-th connection",
            Plan::new().here(LINK, Trigger::Connection(2), Fault::Reset),
            &["0 open", "1 open", "2 >1 a"],
            &["1 2 turned away", "2 >1 a"],
        ),
        (
            "occurrences may overlap",
            at(Trigger::Pattern { way: Calls, bytes: b"aba".to_vec(), n: 2 }, cut()),
            &["0 open", "1 >1 abab", "2 >1 ab"],
            &["1 >1 abab", "2 >1 a"],
        ),
        (
            "a signal, once",
            at(Trigger::Signal("go".into()), Fault::Reset),
            &["0 open", "1 signal stop", "2 signal go", "3 open", "4 signal go"],
            &["2 1 reset"],
        ),
        (
            "a place that comes in time, and not once more when the time is over",
            Plan::new().here(
                LINK,
                within(Trigger::Bytes { connection: 1, way: Calls, bytes: 2 }, 5),
                Fault::Reset,
            ),
            &["0 open", "1 open", "2 >1 abc", "9 >2 d"],
            &["2 >1 ab", "2 1 reset", "9 >2 d"],
        ),
        (
            "a place that does not",
            at(within(Trigger::Bytes { connection: 3, way: Calls, bytes: 2 }, 5), Fault::Reset),
            &["0 open", "2 >1 abc", "9 open", "10 >2 abc"],
            &["2 >1 abc", "5 1 reset", "10 >2 abc"],
        ),
        (
            "a plan for a place that is over",
            at(Trigger::At(ms(5)), Fault::DropAfter { way: Calls, bytes: 0, end: End::Reset }),
            &["0 open", "1 >1 ab", "9"],
            &["1 >1 ab", "5 1 reset"],
        ),
    ];
    check(cases, Framing::Lines);
}

#[test]
fn what_comes_at_the_same_instant_has_an_order() {
    let hold = || Fault::Hold { way: Directions::Both };
    let reset = |plan: Plan| plan.at(LINK, Trigger::At(ms(5)), Fault::Reset);
    let half = |plan: Plan| plan.at(LINK, Trigger::At(ms(5)), Fault::HalfClose { way: Directions::Both });
    let cases: Vec<Case> = vec![
        (
            "a release and a reset: nothing passes between",
            reset(during(1, 5, hold())),
            &["0 open", "2 >1 ab", "9"],
            &["5 1 reset"],
        ),
        (
            "a release and the next hold",
            during(1, 5, hold()).at(LINK, Trigger::At(ms(5)), hold()),
            &["0 open", "2 >1 ab", "9"],
            &[],
        ),
        (
            "before bytes that are due",
            reset(now(Fault::Delay { way: Directions::Both, base: ms(4), jitter: ms(0) })),
            &["0 open", "1 >1 ab", "9"],
            &["5 1 reset"],
        ),
        ("reset, then half-close", half(reset(Plan::new())), &["0 open", "9"], &["5 1 reset"]),
    ];
    check(cases, Framing::None);
    // Ends first, then beginnings in the order of the plan, whatever the order in which timers were set.
    let plan = half(reset(Plan::new())).during(LINK, Trigger::At(ms(1)), ms(4), hold());
    let order: Vec<String> =
        play(&plan, Framing::None, &["9"]).trace.events().map(|event| event.to_string()).collect();
    let order: Vec<&str> = order.iter().filter_map(|line| line.split(' ').nth(3)).collect();
    assert_eq!(order, ["Began", "Ended", "Began", "Began"], "hold begins and ends, reset, half-close");
}

#[test]
fn jitter_is_seeded_and_keeps_order() {
    let plan = now(Fault::Delay { way: Directions::Calls, base: ms(2), jitter: ms(20) });
    let script: Vec<String> = ('a'..='z').enumerate().map(|(at, byte)| format!("{at} >1 {byte}")).collect();
    let mut script: Vec<&str> = script.iter().map(String::as_str).collect();
    script.insert(0, "0 open");
    script.push("99");
    let (one, two) = (play(&plan, Framing::None, &script).log, play(&plan, Framing::None, &script).log);
    assert_eq!(one, two);
    let passed: String = one.iter().map(|line| line.split_once(">1 ").expect("calls").1).collect();
    assert_eq!(passed, ('a'..='z').collect::<String>());
    assert!(one.len() > 3 && one.len() < 26, "delays differ by more than what lies between pieces: {one:?}");
}

#[test]
fn a_trace_is_played_again_by_places_in_streams() {
    let plan = Plan::new()
        .here(LINK, Trigger::Pattern { way: Calls, bytes: b"buy".to_vec(), n: 1 }, Fault::Reset)
        .during(LINK, Trigger::Connection(1), ms(3), Fault::Hold { way: Directions::Calls })
        .during(LINK, Trigger::At(ms(3)), ms(40), cut(Directions::Answers))
        .at(
            LINK,
            Trigger::Connection(2),
            Fault::CutMessage { way: Answers, message: 2, bytes: 1, end: End::Reset },
        );
    let script =
        ["0 open", "1 >1 ask\n", "2 <1 one\n", "4 <1 two\n", "50 open", "51 <2 +\nxy\n", "52 >1 buy\n"];
    let first = play(&plan, Framing::Lines, &script);
    assert!(first.log.iter().any(|line| line == "43 <1 two\n"), "{:?}", first.log);
    assert_eq!(first.log[first.log.len() - 2..], ["52 >1 buy", "52 1 reset"]);
    let again = first.trace.to_plan().expect("a whole trace");
    // The same bytes at other times.
    let late: Vec<String> = script.iter().map(|line| format!("7{line}")).collect();
    let late: Vec<&str> = late.iter().map(String::as_str).collect();
    let second = play(&again, Framing::Lines, &late);
    let bare = |world: &World| -> Vec<String> {
        world.log.iter().map(|line| line.split_once(' ').expect("a time").1.to_string()).collect()
    };
    assert_eq!(bare(&second), bare(&first));

    let mut short = Trace::new(1);
    first.trace.events().for_each(|event| short.push(event.clone()));
    assert!(short.to_plan().is_err() && short.lost() > 0, "a trace that has lost something says so");
    assert!(short.to_string().starts_with("# the first"));
}

#[test]
fn a_full_direction_is_not_read() {
    let mut world = World::new(&now(cut(Directions::Calls)), Framing::None, 10);
    world.open();
    assert_eq!(world.link.read_capacity(1, Calls), 10);
    world.line("1 >1 abcdefg");
    assert_eq!((world.link.read_capacity(1, Calls), world.link.read_capacity(1, Answers)), (3, 10));
    world.line("2 >1 hij");
    assert_eq!((world.link.read_capacity(1, Calls), world.link.most_waiting()), (0, 10));
    world.link.heal(2 * MS);
    world.settle();
    assert_eq!(world.link.read_capacity(1, Calls), 10);
    assert!(world
        .trace
        .events()
        .any(|event| event.bytes == 10 && matches!(event.what, EventKind::Ended { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn bytes_arrive_unchanged_and_in_order(
        chunks in prop::collection::vec((prop::collection::vec(prop::sample::select(b"*$1\r\nab".to_vec()), 0..40), 0_u64..4), 0..60),
        takes in prop::collection::vec(1_usize..30, 1..20),
        messages in prop::sample::select(vec![Framing::Resp, Framing::Lines, Framing::None]),
        delay in 0_u64..5,
        rate in prop::option::of(500_u64..50_000),
        moment in 0_u64..20,
    ) {
        let mut link = Link::new(LINK, 1, messages, 64);
        // Faults that change no byte, and moments that stop the scan without doing anything.
        let way = Directions::Both;
        link.begin(0, None, Fault::Delay { way, base: ms(delay), jitter: ms(delay) }, None);
        if let Some(bytes_per_s) = rate {
            link.begin(0, None, Fault::Rate { way, bytes_per_s }, None);
        }
        for when in [Trigger::Message { way: Calls, n: moment + 1, after: 3 }, Trigger::Pattern { way: Calls, bytes: b"a\r\nb".to_vec(), n: 1 }] {
            link.plan(0, Entry { link: LINK, when, who: ConnectionSelector::Every, fault: Some(Fault::Rate { way, bytes_per_s: u64::MAX }), lasts: None });
        }
        link.accept(0);
        link.target_connected(0, 1);
        let (mut now, mut got, mut turn) = (0, Vec::new(), 0);
        let mut drain = |link: &mut Link, now: u64| {
            while let Output::Bytes(bytes) = link.next_output(now, 1, Calls) {
                let count = bytes.len().min(takes[turn % takes.len()]);
                turn += 1;
                got.extend_from_slice(&bytes[..count]);
                link.bytes_written(now, 1, Calls, count);
            }
        };
        for (chunk, wait) in &chunks {
            let mut rest = &chunk[..];
            now += wait * MS;
            while !rest.is_empty() {
                let room = link.read_capacity(1, Calls).min(rest.len());
                link.bytes_received(now, 1, Calls, &rest[..room]);
                rest = &rest[room..];
                link.poll(now);
                drain(&mut link, now);
                now = link.next_wake().filter(|_| link.read_capacity(1, Calls) == 0).unwrap_or(now);
            }
        }
        while link.waiting() > 0 {
            link.poll(now);
            drain(&mut link, now);
            now = link.next_wake().unwrap_or(now);
        }
        prop_assert_eq!(got, chunks.concat_bytes());
        prop_assert!(link.most_waiting() <= 64);
    }
}

trait Chunks {
    fn concat_bytes(&self) -> Vec<u8>;
}

impl Chunks for Vec<(Vec<u8>, u64)> {
    fn concat_bytes(&self) -> Vec<u8> {
        self.iter().flat_map(|(chunk, _)| chunk.clone()).collect()
    }
}
