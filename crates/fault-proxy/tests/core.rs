//! Runs a link in virtual time. A script has one line per input: the time in milliseconds, and `open`,
//! `>1 abc` (the client of connection 1 sends bytes), `<1 abc` (the target does), `>1 end`, `>1 break`,
//! `signal go`, or nothing. The log has one line per output.

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

struct Simulation {
    link: Link,
    now: u64,
    open: BTreeSet<u64>,
    log: Vec<String>,
    trace: Trace,
}

impl Simulation {
    fn new(plan: &Plan, messages: Framing, bound: usize) -> Simulation {
        let link = Link::new(LINK, 7, messages, bound);
        let mut simulation =
            Simulation { link, now: 0, open: BTreeSet::new(), log: Vec::new(), trace: Trace::new(1000) };
        for entry in plan.entries() {
            simulation.link.plan(0, entry.clone());
        }
        simulation.run_actions();
        simulation
    }

    fn log_line(&mut self, text: String) {
        self.log.push(format!("{} {text}", self.now / MS));
    }

    fn run_actions(&mut self) {
        loop {
            let actions = self.link.take_actions();
            self.link.take_events().into_iter().for_each(|event| self.trace.push(event));
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    Action::Connect(number) => {
                        self.log_line(format!("{number} connected"));
                        self.link.target_connected(self.now, number);
                    }
                    Action::Reset(number) | Action::Close(number) => {
                        self.open.remove(&number);
                        let outcome = if action == Action::Reset(number) { "reset" } else { "closed" };
                        self.log_line(format!("{number} {outcome}"));
                    }
                    Action::Listen(listening) => self.log_line(format!("{listening:?}")),
                    Action::Process(_) | Action::ProcessAll => {}
                }
            }
            for number in self.open.clone() {
                for direction in Direction::BOTH {
                    self.forward(number, direction);
                }
            }
        }
    }

    fn forward(&mut self, number: u64, direction: Direction) {
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
            self.log_line(format!("{sign}{number} {passed}"));
        }
    }

    fn forward_all(&mut self) {
        for number in self.open.clone() {
            Direction::BOTH.into_iter().for_each(|direction| self.forward(number, direction));
        }
        self.run_actions();
    }

    fn advance_to(&mut self, time: u64) {
        while let Some(wake) = self.link.next_wake().filter(|wake| *wake <= time) {
            self.now = wake.max(self.now);
            self.link.poll(self.now);
            self.run_actions();
        }
        self.now = time;
    }

    fn open(&mut self) {
        let (number, opening) = self.link.accept(self.now);
        if opening == Opening::Reset {
            return self.log_line(format!("{number} rejected"));
        }
        self.open.insert(number);
        if opening == Opening::Connect {
            self.link.target_connected(self.now, number);
        }
        self.run_actions();
    }

    fn run_line(&mut self, line: &str) {
        let mut words = line.splitn(3, ' ');
        let time: u64 = words.next().and_then(|word| word.parse().ok()).expect("a time");
        self.advance_to(time * MS);
        let (verb, rest) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        match (verb.as_bytes().first(), rest) {
            (None, _) => {}
            (Some(b'o'), _) => self.open(),
            (Some(b's'), name) => self.link.signal(self.now, name),
            (Some(sign), input) => {
                let direction = if *sign == b'>' { Calls } else { Answers };
                let number = verb[1..].parse().expect("a connection");
                match input {
                    "end" => self.link.sender_ended(self.now, number, direction),
                    "break" => self.link.socket_failed(self.now, number, direction),
                    bytes => self.link.bytes_received(self.now, number, direction, bytes.as_bytes()),
                }
            }
        }
        self.forward_all();
    }
}

fn run_script(plan: &Plan, messages: Framing, script: &[&str]) -> Simulation {
    let mut simulation = Simulation::new(plan, messages, 1 << 16);
    script.iter().for_each(|line| simulation.run_line(line));
    simulation
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

fn cut_fault(way: Directions) -> Fault {
    Fault::Cut { way }
}

type Case = (&'static str, Plan, &'static [&'static str], &'static [&'static str]);

fn check(cases: Vec<Case>, messages: Framing) {
    for (name, plan, script, expected) in cases {
        assert_eq!(run_script(&plan, messages, script).log, expected, "{name}");
    }
}

#[test]
fn lasting_faults_delay_or_block_bytes_until_they_end() {
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
            "a rate limit applies after its burst",
            now(Fault::Rate { way: Directions::Calls, bytes_per_s: 200 }),
            &["0 open", "100 >1 abcd", "999"],
            &["100 >1 abc", "105 >1 d"],
        ),
        (
            "the lowest rate applies",
            now(Fault::Rate { way: both, bytes_per_s: 1 }).at(
                LINK,
                Trigger::At(ms(0)),
                Fault::Rate { way: both, bytes_per_s: 100 },
            ),
            &["0 open", "10 >1 ab", "3000"],
            &["10 >1 a", "1000 >1 b"],
        ),
        (
            "held bytes are forwarded all at once",
            during(1, 30_000, Fault::Hold { way: Directions::Answers }),
            &["0 open", "1 >1 ab", "2 <1 cd", "9000 <1 ef", "20000 <1 end", "99999"],
            &["1 >1 ab", "30000 <1 cdef|"],
        ),
        (
            "held bytes of a failed sender are forwarded before its reset",
            during(1, 9, Fault::Hold { way: both }),
            &["0 open", "2 <1 cd", "3 <1 break", "99"],
            &["9 <1 cd", "9 1 reset"],
        ),
        (
            "a cut forwards queued bytes in order when it ends",
            during(1, 9, cut_fault(both)),
            &["0 open", "2 >1 ab", "3 <1 cd", "4 >1 end", "99"],
            &["9 >1 ab|", "9 <1 cd"],
        ),
        (
            "cut in one direction",
            now(cut_fault(Directions::Answers)),
            &["0 open", "1 >1 ab", "2 <1 cd", "99"],
            &["1 >1 ab"],
        ),
        (
            "a sender that failed during a cut",
            during(1, 9, cut_fault(both)),
            &["0 open", "2 <1 cd", "3 <1 break", "99"],
            &["9 1 reset"],
        ),
        (
            "new connections while calls are cut",
            during(1, 9, cut_fault(Directions::Calls)),
            &["2 open", "3 >1 ab", "99"],
            &["9 1 connected", "9 >1 ab"],
        ),
        (
            "new connections while answers are cut",
            during(1, 9, cut_fault(Directions::Answers)),
            &["2 open", "3 >1 ab", "4 <1 cd", "99"],
            &["3 >1 ab", "9 <1 cd"],
        ),
        (
            "silent",
            during(1, 9, Fault::Silent),
            &["0 open", "2 open", "3 >1 ab", "3 >2 cd", "99"],
            &["3 >1 ab", "9 2 connected", "9 >2 cd"],
        ),
        (
            "a waiting client that fails",
            during(1, 9, Fault::Silent),
            &["2 open", "3 >1 ab", "4 >1 break", "99"],
            &["4 1 reset"],
        ),
        (
            "rejected",
            during(1, 9, Fault::ResetNew),
            &["0 open", "2 open", "9 open", "10 >1 ab", "11 >3 cd"],
            &["2 2 rejected", "10 >1 ab", "11 >3 cd"],
        ),
        (
            "Refuse takes precedence over Unanswered",
            during(1, 5, Fault::Refuse).during(LINK, Trigger::At(ms(2)), ms(7), Fault::Unanswered),
            &["99"],
            &["1 Refusing", "5 Unanswering", "9 Open"],
        ),
        (
            "flap",
            now(Fault::Flap { way: both, down: ms(10), up: ms(5) }),
            &["0 open", "1 >1 a", "12 >1 b", "16 >1 c", "24 >1 d", "35"],
            &["10 1 connected", "10 >1 a", "12 >1 b", "25 >1 cd"],
        ),
        (
            "on one connection",
            Plan::new().entry(Entry {
                link: LINK,
                when: Trigger::At(ms(0)),
                who: ConnectionSelector::Nth(2),
                fault: Some(cut_fault(Directions::Calls)),
                lasts: None,
            }),
            &["0 open", "0 open", "1 >1 a", "1 >2 b"],
            &["1 >1 a"],
        ),
        (
            "heal",
            now(cut_fault(both)).at(LINK, Trigger::At(ms(0)), delay(both, 50)).heal(LINK, Trigger::At(ms(9))),
            &["0 open", "1 >1 a", "10 >1 b", "99"],
            &["9 1 connected", "51 >1 ab"],
        ),
    ];
    check(cases, Framing::None);
}

#[test]
fn terminating_faults_end_connections_at_the_exact_byte() {
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
            "drop with silence, then heal",
            now(drop(3, End::Silence)).heal(LINK, Trigger::At(ms(9))),
            &["0 open", "1 >1 abcd", "2 <1 x", "9"],
            &["1 >1 abc", "9 >1 d", "9 <1 x"],
        ),
        (
            "drop of a connection beyond the byte count",
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
            "a shorter message is forwarded completely",
            now(cut_message(2, 99, End::Reset)),
            &["0 open", "1 <1 +a\r\n+b\r\n+c\r\n"],
            &["1 <1 +a\r\n+b\r\n", "1 1 reset"],
        ),
        (
            "the current message",
            at(Trigger::At(ms(5)), cut_message(1, 4, End::Reset)),
            &["0 open", "1 <1 +a", "6 <1 bcd"],
            &["1 <1 +a", "6 <1 bc", "6 1 reset"],
        ),
        ("both sides break", Plan::new(), &["0 open", "1 >1 break", "2"], &["1 1 reset"]),
    ];
    check(cases, Framing::Resp);
}

fn within(trigger: Trigger, wait: u64) -> Trigger {
    Trigger::Within { moment: Box::new(trigger), wait: ms(wait) }
}

#[test]
fn planned_faults_start_at_the_exact_position_of_their_trigger() {
    let cut = || cut_fault(Directions::Both);
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
    let positions = [
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
    for (trigger, position) in positions {
        let name = format!("{trigger:?}");
        let simulation = run_script(&at(trigger, cut()), Framing::Resp, both);
        let passed: String =
            simulation.log.iter().map(|line| line.split_once(">1 ").expect("calls").1).collect();
        assert_eq!(passed, until(position), "{name}");
    }
    let cases: Vec<Case> = vec![
        (
            "only the n-th connection",
            Plan::new().here(LINK, Trigger::Connection(2), cut()),
            &["0 open", "1 open", "2 >1 a", "3 >2 b"],
            &["2 >1 a"],
        ),
        (
            "messages of all connections are counted",
            Plan::new().here(LINK, Trigger::after(Calls, 2), Fault::Reset),
            &["0 open", "0 open", "1 >1 a\n", "2 >2 b\n", "3 >1 c\n"],
            &["1 >1 a\n", "2 >2 b\n", "2 2 reset", "3 >1 c\n"],
        ),
        (
            "a reset of the n-th connection",
            Plan::new().here(LINK, Trigger::Connection(2), Fault::Reset),
            &["0 open", "1 open", "2 >1 a"],
            &["1 2 rejected", "2 >1 a"],
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
            "a position that is reached in time does not fire again at the timeout",
            Plan::new().here(
                LINK,
                within(Trigger::Bytes { connection: 1, way: Calls, bytes: 2 }, 5),
                Fault::Reset,
            ),
            &["0 open", "1 open", "2 >1 abc", "9 >2 d"],
            &["2 >1 ab", "2 1 reset", "9 >2 d"],
        ),
        (
            "a position that is not reached in time",
            at(within(Trigger::Bytes { connection: 3, way: Calls, bytes: 2 }, 5), Fault::Reset),
            &["0 open", "2 >1 abc", "9 open", "10 >2 abc"],
            &["2 >1 abc", "5 1 reset", "10 >2 abc"],
        ),
        (
            "a fault for a position that has been passed",
            at(Trigger::At(ms(5)), Fault::DropAfter { way: Calls, bytes: 0, end: End::Reset }),
            &["0 open", "1 >1 ab", "9"],
            &["1 >1 ab", "5 1 reset"],
        ),
    ];
    check(cases, Framing::Lines);
}

#[test]
fn events_at_the_same_instant_run_in_a_fixed_order() {
    let hold = || Fault::Hold { way: Directions::Both };
    let reset = |plan: Plan| plan.at(LINK, Trigger::At(ms(5)), Fault::Reset);
    let half = |plan: Plan| plan.at(LINK, Trigger::At(ms(5)), Fault::HalfClose { way: Directions::Both });
    let cases: Vec<Case> = vec![
        (
            "nothing is forwarded between a release and a reset",
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
            "faults run before bytes that are ready",
            reset(now(Fault::Delay { way: Directions::Both, base: ms(4), jitter: ms(0) })),
            &["0 open", "1 >1 ab", "9"],
            &["5 1 reset"],
        ),
        ("reset, then half-close", half(reset(Plan::new())), &["0 open", "9"], &["5 1 reset"]),
    ];
    check(cases, Framing::None);
    // Ends of faults run first, then starts in the order of the plan, independent of the order of the timers.
    let plan = half(reset(Plan::new())).during(LINK, Trigger::At(ms(1)), ms(4), hold());
    let order: Vec<String> =
        run_script(&plan, Framing::None, &["9"]).trace.events().map(|event| event.to_string()).collect();
    let order: Vec<&str> = order.iter().filter_map(|line| line.split(' ').nth(3)).collect();
    assert_eq!(order, ["Began", "Ended", "Began", "Began"], "hold starts and ends, then reset, half-close");
}

#[test]
fn jitter_is_seeded_and_keeps_order() {
    let plan = now(Fault::Delay { way: Directions::Calls, base: ms(2), jitter: ms(20) });
    let script: Vec<String> = ('a'..='z').enumerate().map(|(at, byte)| format!("{at} >1 {byte}")).collect();
    let mut script: Vec<&str> = script.iter().map(String::as_str).collect();
    script.insert(0, "0 open");
    script.push("99");
    let (one, two) =
        (run_script(&plan, Framing::None, &script).log, run_script(&plan, Framing::None, &script).log);
    assert_eq!(one, two);
    let passed: String = one.iter().map(|line| line.split_once(">1 ").expect("calls").1).collect();
    assert_eq!(passed, ('a'..='z').collect::<String>());
    assert!(one.len() > 3 && one.len() < 26, "delays vary by more than the interval between pieces: {one:?}");
}

#[test]
fn a_trace_replays_faults_at_the_same_stream_positions() {
    let plan = Plan::new()
        .here(LINK, Trigger::Pattern { way: Calls, bytes: b"buy".to_vec(), n: 1 }, Fault::Reset)
        .during(LINK, Trigger::Connection(1), ms(3), Fault::Hold { way: Directions::Calls })
        .during(LINK, Trigger::At(ms(3)), ms(40), cut_fault(Directions::Answers))
        .at(
            LINK,
            Trigger::Connection(2),
            Fault::CutMessage { way: Answers, message: 2, bytes: 1, end: End::Reset },
        );
    let script =
        ["0 open", "1 >1 ask\n", "2 <1 one\n", "4 <1 two\n", "50 open", "51 <2 +\nxy\n", "52 >1 buy\n"];
    let first = run_script(&plan, Framing::Lines, &script);
    assert!(first.log.iter().any(|line| line == "43 <1 two\n"), "{:?}", first.log);
    assert_eq!(first.log[first.log.len() - 2..], ["52 >1 buy", "52 1 reset"]);
    let replay_plan = first.trace.to_plan().expect("a complete trace");
    // The same bytes at other times.
    let late: Vec<String> = script.iter().map(|line| format!("7{line}")).collect();
    let late: Vec<&str> = late.iter().map(String::as_str).collect();
    let second = run_script(&replay_plan, Framing::Lines, &late);
    let without_times = |simulation: &Simulation| -> Vec<String> {
        simulation.log.iter().map(|line| line.split_once(' ').expect("a time").1.to_string()).collect()
    };
    assert_eq!(without_times(&second), without_times(&first));

    let mut truncated = Trace::new(1);
    first.trace.events().for_each(|event| truncated.push(event.clone()));
    assert!(truncated.to_plan().is_err() && truncated.lost() > 0, "an incomplete trace reports the loss");
    assert!(truncated.to_string().starts_with("# the first"));
}

#[test]
fn a_full_direction_is_not_read() {
    let mut simulation = Simulation::new(&now(cut_fault(Directions::Calls)), Framing::None, 10);
    simulation.open();
    assert_eq!(simulation.link.read_capacity(1, Calls), 10);
    simulation.run_line("1 >1 abcdefg");
    assert_eq!((simulation.link.read_capacity(1, Calls), simulation.link.read_capacity(1, Answers)), (3, 10));
    simulation.run_line("2 >1 hij");
    assert_eq!((simulation.link.read_capacity(1, Calls), simulation.link.most_waiting()), (0, 10));
    simulation.link.heal(2 * MS);
    simulation.run_actions();
    assert_eq!(simulation.link.read_capacity(1, Calls), 10);
    assert!(simulation
        .trace
        .events()
        .any(|event| event.bytes == 10 && matches!(event.what, EventKind::Ended { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn bytes_arrive_unchanged_and_in_order(
        chunks in prop::collection::vec((prop::collection::vec(prop::sample::select(b"*$1\r\nab".to_vec()), 0..40), 0_u64..4), 0..60),
        write_sizes in prop::collection::vec(1_usize..30, 1..20),
        messages in prop::sample::select(vec![Framing::Resp, Framing::Lines, Framing::None]),
        delay in 0_u64..5,
        rate in prop::option::of(500_u64..50_000),
        message in 0_u64..20,
    ) {
        let mut link = Link::new(LINK, 1, messages, 64);
        // Faults that change no byte, and triggers that stop the scan without any effect.
        let way = Directions::Both;
        link.begin(0, None, Fault::Delay { way, base: ms(delay), jitter: ms(delay) }, None);
        if let Some(bytes_per_s) = rate {
            link.begin(0, None, Fault::Rate { way, bytes_per_s }, None);
        }
        for when in [Trigger::Message { way: Calls, n: message + 1, after: 3 }, Trigger::Pattern { way: Calls, bytes: b"a\r\nb".to_vec(), n: 1 }] {
            link.plan(0, Entry { link: LINK, when, who: ConnectionSelector::Every, fault: Some(Fault::Rate { way, bytes_per_s: u64::MAX }), lasts: None });
        }
        link.accept(0);
        link.target_connected(0, 1);
        let (mut now, mut received, mut turn) = (0, Vec::new(), 0);
        let mut drain = |link: &mut Link, now: u64| {
            while let Output::Bytes(bytes) = link.next_output(now, 1, Calls) {
                let count = bytes.len().min(write_sizes[turn % write_sizes.len()]);
                turn += 1;
                received.extend_from_slice(&bytes[..count]);
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
        prop_assert_eq!(received, chunks.concat_bytes());
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
