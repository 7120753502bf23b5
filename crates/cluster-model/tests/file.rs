//! Scenario files: what is read, what is refused in which words, and what is written.

use cluster_model::file::{find, parse, shipped, to_text, MOST_LENGTH};
use cluster_model::rng::Rng;
use cluster_model::scenario::*;
use cluster_model::{MS, SECOND};

/// The scenario without the lines of its events: a text that was written has others.
fn without_lines(mut scenario: Scenario) -> Scenario {
    scenario.events.iter_mut().for_each(|timed| timed.line = 0);
    scenario
}

fn read(text: &str) -> Scenario {
    parse("test.scenario", text).unwrap_or_else(|error| panic!("{error}\n{text}"))
}

/// The events of lines such as `at 10 s: kill all hosts`.
fn events(lines: &str) -> Vec<Event> {
    let text = format!("scenario \"x\"\nlength 1 h\n{lines}");
    read(&text).events.into_iter().map(|timed| timed.event).collect()
}

#[test]
fn a_file_with_nothing_but_a_title_is_the_calm_day() {
    let calm = Scenario { name: "test".into(), title: "x".into(), ..Scenario::default() };
    assert_eq!(read("scenario \"x\""), calm);
    // The signs of other systems, an empty section and blanks change nothing.
    assert_eq!(read("\u{feff}# today\r\n\r\n\tscenario  \"x\"# so\r\nsite\r\n   \t\r\ntraffic\r\n"), calm);
}

#[test]
fn all_keys_are_read_with_their_units() {
    let text = r#"
        scenario "all \"keys\" \\"
        length 1.5 min
        site
          gateways 4, hosts 12, buildings 2
          sockets 512
          memory 100 MB
          retry-after 800 ms
          max-attempts 3
          start-within 700 ms, second-copies no
          host cores 4, speed 1.25, speed-spread 10 %, slots 6, queue 30, thrash-at 5.5 requests/core
          host thrash 4%, cold 30 % for 12 s, connections 900, handshake 1.2 ms, error-rate 0.2 %, idle 9 s
          counter off, parts 3, rate 740 calls/s, call 0.5 ms, queue 41, timeout 60 ms, building 2
          discovery notice 1 s to 2 s, silent-notice 7 s to 8 s
          network same 150 us, cross 900 us, client 0.5 ms, jitter 20 %, window 32 KiB
          rules drain-grace 300 ms, fall x 2.5 for 2 s, answer-slack 70 ms
          class price-read share 40 %, aim 500 ms
          class price-read deadline 1 s
          class bulk share 60 %, work 90 ms, work-cv 1.1, aim 1 s, deadline 3 s, worth 1.5, late-worth 30 %
          class bulk keyed for 5 s
          only classes bulk, price-read
          plan gold share 100 %, rate 12.5 units/s, burst 1 unit, open 5, price 2, extra-worth 10 %
          plan gold overrun-cost 150 %, ceiling-rate 20 units/s, ceiling-burst 30 units
          plan gold ceiling-slack 2 units, spread 4 gateways
          only plans gold
        traffic
          rate 55.5 requests/s, most-units 1 unit, guess-cv 0, calm-use 10 % to 20 %, full 30 %
          heavy 5 % x 2, spiky 6 % x 3.5, greedy 1 % x 4, most-excess 120 %, skew 0.5, uneven 3, shift 9 s
          retries 2, backoff 50 ms
          honour 60 %, try-share 40 % to 90 %, impatient 1 %, front-notice 1 s
    "#;
    let site = Site {
        gateways: 4,
        hosts: 12,
        buildings: 2,
        host: HostSpec {
            cores: 4,
            speed: 1.25,
            speed_spread: 0.1,
            slots: 6,
            queue: 30,
            thrash_at: 5.5,
            thrash: 0.04,
            cold_share: 0.3,
            cold: 12 * SECOND,
            connections: 900,
            handshake: 1_200_000,
            error_rate: 0.002,
            idle: 9 * SECOND,
        },
        counter: CounterSpec {
            on: false,
            parts: 3,
            calls_per_s: 740.0,
            call: 500_000,
            queue: 41,
            timeout: 60 * MS,
            building: 2,
        },
        discovery: DiscoverySpec { notice: (SECOND, 2 * SECOND), silent_notice: (7 * SECOND, 8 * SECOND) },
        network: NetworkSpec { same: 150_000, cross: 900_000, client: 500_000, jitter: 0.2, window: 32_768 },
        classes: vec![
            ClassSpec {
                name: "bulk".into(),
                share: 0.6,
                work: 90 * MS,
                work_cv: 1.1,
                aim: SECOND,
                deadline: 3 * SECOND,
                worth: 1.5,
                late_worth: 0.3,
                effect: Effect::Keyed(5 * SECOND),
            },
            ClassSpec { share: 0.4, aim: 500 * MS, deadline: SECOND, ..Site::default().classes[0].clone() },
        ],
        plans: vec![PlanSpec {
            name: "gold".into(),
            share: 1.0,
            rate: 12.5,
            burst: 1.0,
            open: 5,
            price: 2.0,
            extra_worth: 0.1,
            overrun_cost: 1.5,
            ceiling_rate: 20.0,
            ceiling_burst: 30.0,
            ceiling_slack: 2.0,
            spread: 4,
        }],
        rules: RulesSpec {
            drain_grace: 300 * MS,
            fall_multiple: 2.5,
            fall: 2 * SECOND,
            answer_slack: 70 * MS,
        },
        sockets: 512,
        memory_mb: 100,
        retry_after: Some(800 * MS),
        max_attempts: 3,
        start_within: 700 * MS,
        second_copies: false,
    };
    let traffic = Traffic {
        rate: 55.5,
        most_units: 1,
        guess_cv: 0.0,
        calm_use: (0.1, 0.2),
        full: 0.3,
        heavy: (0.05, 2.0),
        spiky: (0.06, 3.5),
        greedy: (0.01, 4.0),
        most_excess: 1.2,
        skew: 0.5,
        uneven: 3.0,
        shift: 9 * SECOND,
        retries: 2,
        backoff: 50 * MS,
        honour: 0.6,
        try_share: (0.4, 0.9),
        impatient: 0.01,
        front_notice: SECOND,
    };
    let wanted = Scenario {
        name: "test".into(),
        title: r#"all "keys" \"#.into(),
        length: 90 * SECOND,
        site,
        traffic,
        events: Vec::new(),
    };
    assert_eq!(read(text), wanted);
}

#[test]
fn all_events_are_read() {
    let lines = "\
        at 0 s: kill 41 % of the gateways for 6 s\n\
        at 1 s: kill all gateways\n\
        at 1 s: kill gateways 1 and 3 for good\n\
        at 1 s: kill hosts 2, 5, 7 for 10 s\n\
        at 1 s: kill 2 hosts for 1 min\n\
        at 1 s: restart gateway 2\n\
        at 1 s: restart all gateways over 40 s\n\
        at 1 s: kill all gateways of building 2 for 5 s\n\
        at 1 s: lean to building 3 x 1.8 for 15 s\n\
        at 1 s: restart all hosts\n\
        at 1 s: reload 1 gateway\n\
        at 1 s: traffic x 1.8 for 8 s, rising in 0.5 s\n\
        at 1 s: traffic x 0 for 8 s\n\
        at 1 s: slow 20 % of hosts x 6 for 20 s\n\
        at 1 s: pause host 3 for 2 s\n\
        at 1 s: drain 3 hosts over 10 s, gone after 5 s\n\
        at 1 s: drain all hosts, gone after 0 s\n\
        at 1 s: add 4 hosts\n\
        at 1 s: replace 3 hosts\n\
        at 1 s: replace 3 hosts, at the same addresses\n\
        at 1 s: heavy 2 % of price-read x 20 for 20 s\n\
        at 1 s: garble 3 % of the hosts' answers for 20 s\n\
        at 1 s: garble 3 % of the counter's answers for 10 s\n\
        at 1 s: cut building 1 from building 2 for 5 s\n\
        at 1 s: cut gateway 1 from the counter for 5 s, with resets\n\
        at 1 s: cut the clients from host 2 for 5 s\n\
        at 1 s: counter lost for 120 s\n\
        at 1 s: counter silent for 1 s\n\
        at 1 s: counter mute for 1 s\n\
        at 1 s: counter slow 80 ms to 500 ms for 1 s\n\
        at 1 s: counter split 1 2 | 3 for 1 s\n\
        at 1 s: counter fresh\n\
        at 1 s: counter flapping every 700 ms for 10 s\n\
        at 1 s: counter full for 1 s\n\
        at 1 s: discovery silent for 1 s\n\
        at 1 s: discovery late by 3 s for 10 s\n\
        at 1 s: discovery repeats for 1 s\n\
        at 1 s: discovery reordered for 1 s\n\
        at 1 s: discovery cut every 700 ms for 5 s\n\
        at 1 s: swallow 3.7 % of requests at all hosts for 20 s\n\
        at 1 s: reset 5 % of requests at hosts 1 and 2 for 20 s\n\
        at 1 s: stale connections after 300 ms at 2 hosts for 20 s\n\
        at 1 s: 10 % of the clients leave early for 10 s\n\
        at 1 s: links gateways 1, 2 to the counter hold for 5 s\n\
        at 1 s: links all gateways to clients hold answers for 5 s\n\
        at 1 s: links gateway 2 to host 3 cut calls for 5 s\n\
        at 1 s: links 1 gateway to 2 hosts cut answers for 5 s\n\
        at 1 s: links all gateways to all hosts slow 50 ms to 200 ms for 5 s\n\
        at 1 s: links all gateways to hosts 1 and 2 narrow 10 KiB/s for 5 s\n\
        at 1 s: links gateway 1 to discovery reset\n\
        at 1 s: links gateway 1 to discovery flap every 700 ms for 10 s\n\
        at 1 s: stop gateway 2 for 5 s\n\
        at 1 s: slow gateway 2 x 4 for 10 s\n\
        at 1 s: stop host 3 for 2 s\n\
        at 1 s: stop the counter for 5 s\n\
        at 1 s: freeze gateway 2 for 5 s\n\
        at 1 s: clock of gateways 1, 2 behind 2 s\n\
        at 1 s: clock of all gateways ahead 1.5 s\n\
        at 1 s: lose building 2 for 30 s\n\
        at 1 s: cut off building 2 for 10 s";
    use Event::*;
    let wanted = vec![
        KillGateways(Which::Share(0.41), Some(6 * SECOND)),
        KillGateways(Which::All, None),
        KillGateways(Which::These(vec![1, 3]), None),
        KillHosts(Which::These(vec![2, 5, 7]), Some(10 * SECOND)),
        KillHosts(Which::Count(2), Some(60 * SECOND)),
        RestartGateways(Which::These(vec![2]), 0),
        RestartGateways(Which::All, 40 * SECOND),
        KillGateways(Which::Building(2), Some(5 * SECOND)),
        Lean(3, 1.8, 15 * SECOND),
        RestartHosts(Which::All),
        ReloadGateways(Which::Count(1)),
        Traffic(1.8, 8 * SECOND, 500 * MS),
        Traffic(0.0, 8 * SECOND, 0),
        SlowHosts(Which::Share(0.2), 6.0, 20 * SECOND),
        PauseHosts(Which::These(vec![3]), 2 * SECOND),
        DrainHosts(Which::Count(3), 10 * SECOND, 5 * SECOND),
        DrainHosts(Which::All, 0, 0),
        AddHosts(4),
        ReplaceHosts(Which::Count(3), false),
        ReplaceHosts(Which::Count(3), true),
        Heavy("price-read".into(), 0.02, 20.0, 20 * SECOND),
        GarbleHosts(0.03, 20 * SECOND),
        GarbleCounter(0.03, 10 * SECOND),
        Cut(Side::Building(1), Side::Building(2), 5 * SECOND, false),
        Cut(Side::Gateway(1), Side::Counter, 5 * SECOND, true),
        Cut(Side::Clients, Side::Host(2), 5 * SECOND, false),
        Counter(CounterFault::Lost, 120 * SECOND),
        Counter(CounterFault::Silent, SECOND),
        Counter(CounterFault::Mute, SECOND),
        Counter(CounterFault::Slow(80 * MS, 500 * MS), SECOND),
        Counter(CounterFault::Split(vec![vec![1, 2], vec![3]]), SECOND),
        Counter(CounterFault::Fresh, 0),
        Counter(CounterFault::Flapping(700 * MS), 10 * SECOND),
        Counter(CounterFault::Full, SECOND),
        Discovery(DiscoveryFault::Silent, SECOND),
        Discovery(DiscoveryFault::Late(3 * SECOND), 10 * SECOND),
        Discovery(DiscoveryFault::Repeats, SECOND),
        Discovery(DiscoveryFault::Reordered, SECOND),
        Discovery(DiscoveryFault::Cut(700 * MS), 5 * SECOND),
        Mishaps(Mishap::Swallowed, 0.037, Which::All, 20 * SECOND),
        Mishaps(Mishap::Reset, 0.05, Which::These(vec![1, 2]), 20 * SECOND),
        Stale(300 * MS, Which::Count(2), 20 * SECOND),
        Impatient(0.1, 10 * SECOND),
        Links(Which::These(vec![1, 2]), LinkEnd::Counter, LinkFault::Hold(LinkWay::Both), 5 * SECOND),
        Links(Which::All, LinkEnd::Clients, LinkFault::Hold(LinkWay::Answers), 5 * SECOND),
        Links(
            Which::These(vec![2]),
            LinkEnd::Hosts(Which::These(vec![3])),
            LinkFault::Cut(LinkWay::Calls),
            5 * SECOND,
        ),
        Links(Which::Count(1), LinkEnd::Hosts(Which::Count(2)), LinkFault::Cut(LinkWay::Answers), 5 * SECOND),
        Links(Which::All, LinkEnd::Hosts(Which::All), LinkFault::Slow(50 * MS, 200 * MS), 5 * SECOND),
        Links(Which::All, LinkEnd::Hosts(Which::These(vec![1, 2])), LinkFault::Narrow(10.0), 5 * SECOND),
        Links(Which::These(vec![1]), LinkEnd::Discovery, LinkFault::Reset, 0),
        Links(Which::These(vec![1]), LinkEnd::Discovery, LinkFault::Flap(700 * MS), 10 * SECOND),
        StopGateways(Which::These(vec![2]), 5 * SECOND),
        SlowGateways(Which::These(vec![2]), 4.0, 10 * SECOND),
        StopHosts(Which::These(vec![3]), 2 * SECOND),
        StopCounter(5 * SECOND),
        FreezeGateways(Which::These(vec![2]), 5 * SECOND),
        Clock(Which::These(vec![1, 2]), -2_000_000_000),
        Clock(Which::All, 1_500_000_000),
        LoseBuilding(2, 30 * SECOND),
        CutOff(2, 10 * SECOND),
    ];
    let read = events(lines);
    for (read, wanted) in read.iter().zip(&wanted) {
        assert_eq!(read, wanted);
    }
    assert_eq!(read.len(), wanted.len());
}

#[test]
fn events_keep_their_order_time_and_line() {
    let scenario =
        read("scenario \"x\"\n\nat 20 s: add 1 host\nat 0.25 s: add 2 hosts # earlier\nat 20 s: add 3 hosts");
    let seen: Vec<_> = scenario.events.iter().map(|timed| (timed.at, timed.line)).collect();
    assert_eq!(seen, [(20 * SECOND, 3), (250 * MS, 4), (20 * SECOND, 5)]);
}

#[test]
fn a_host_that_comes_later_may_be_named_from_then_on() {
    events(
        "at 2 s: add 2 hosts\nat 2 s: pause host 12 for 1 s\nat 3 s: replace 2 hosts\nat 4 s: kill host 14",
    );
    let early = parse("x", "scenario \"x\"\nat 2 s: pause host 12 for 1 s\nat 2 s: add 2 hosts").unwrap_err();
    assert_eq!(early.to_string(), "x:2:20: there is no host 12: all that have come by then are 10 hosts");
}

#[test]
fn signs_are_read_and_written_alike_and_come_by_the_end() {
    use cluster_model::observation::Lifecycle::{Draining, InService, Removed};
    let signs = [
        ("call 100 from gateway 1 to the counter", Sign::CounterCall(1, 100)),
        ("call 5 from gateway 1 to host 3", Sign::HostCall(1, Some(3), 5)),
        ("call 5 from gateway 1 to any host", Sign::HostCall(1, None, 5)),
        ("call 50 from the clients to gateway 2", Sign::Request(2, 50)),
        ("answer 50 from gateway 2 to the clients", Sign::Answer(2, 50)),
        ("gateway 1 is told that host 3 drains", Sign::Told(1, 3, Draining)),
        ("gateway 1 is told that host 3 is gone", Sign::Told(1, 3, Removed)),
        ("gateway 1 is told that host 3 is there", Sign::Told(1, 3, InService)),
        ("host 3 is told to drain", Sign::Drains(3)),
        ("gateway 2 ends", Sign::Gateway(2, false)),
        ("host 3 starts", Sign::Host(3, true)),
        ("gateway 2 logs \"a \\\"b\\\" \\\\\"", Sign::Log(2, "a \"b\" \\".into())),
    ];
    for (words, sign) in signs {
        for (by, at) in [("", 9 * SECOND), (", by 4.5 s", 4500 * MS)] {
            // The length may stand behind it.
            let scenario = read(&format!("scenario \"x\"\nwhen {words}{by}: add 1 host\nlength 9 s"));
            let timed = Timed { at, sign: Some(sign.clone()), line: 2, event: Event::AddHosts(1) };
            assert_eq!(scenario.events, [timed]);
            assert!(to_text(&scenario).ends_with(&format!("when {words}{by}: add 1 host\n")), "{words}");
        }
    }
}

#[test]
fn plans_come_through_all_gateways_of_a_smaller_site() {
    let site = read("scenario \"x\"\nsite\n gateways 1").site;
    assert_eq!(site.plans.iter().map(|plan| plan.spread).collect::<Vec<_>>(), [1, 1]);
}

#[test]
fn a_range_of_shares_that_miss_the_whole_by_a_rounding_is_taken() {
    let third = |name| {
        format!("plan {name} share 33.3 %, rate 1 units/s, burst 5 units, price 1, spread 1 gateway\n")
    };
    let text = format!("scenario \"x\"\nsite\n{}{}{}only plans a, b, c", third("a"), third("b"), third("c"));
    assert_eq!(read(&text).site.plans.len(), 3);
}

/// A file that cannot be used, and the one message about it. Lines of `site` stand from line 3 on.
fn broken() -> Vec<(String, &'static str)> {
    let top = |line: &str| format!("scenario \"x\"\n{line}");
    let site = |lines: &str| format!("scenario \"x\"\nsite\n{lines}");
    let traffic = |line: &str| format!("scenario \"x\"\ntraffic\n{line}");
    let plan = "plan p share 100 %, rate 1 units/s, burst 5 units, price 1, spread 1 gateway";
    vec![
        // The file as such.
        (String::new(), "1:1: a file begins with `scenario` and a title in quotes"),
        ("# nothing\n\n".into(), "1:1: a file begins with `scenario` and a title in quotes"),
        ("site\n".into(), "1:1: a file begins with `scenario` and a title in quotes"),
        (" ".repeat(262_145), "1:1: the file has 262145 bytes, and 262144 is the most"),
        (top(&"#".repeat(1001)), "2:1: the line has 1001 bytes, and 1000 is the most"),
        (top("length\u{7} 5 s"), "2:7: the character U+0007 is not allowed"),
        (top("# a\rb"), "2:4: the character U+000D is not allowed"),
        (top("# \u{202e}b"), "2:3: the character U+202E is not allowed"),
        (top("length 5 s; site"), "2:11: the character `;` means nothing here"),
        ("scenario \"a night".into(), "1:10: the text that begins here has no closing quote"),
        ("scenario \"a night\\".into(), "1:10: the text that begins here has no closing quote"),
        ("scenario \"a\\night\"".into(), "1:12: in a text, `\\` stands only before `\"` and `\\`"),
        ("scenario \"\"".into(), "1:10: a title has 1 to 200 letters, and this one has 0"),
        ("scenario night".into(), "1:10: expected a title in quotes, found `night`"),
        ("scenario \"x\" 60 s".into(), "1:14: expected the end of the line, found `60`"),
        (top("scenario \"y\""), "2:1: `scenario` is given twice, first in line 1"),
        (site("traffic\nsite"), "4:1: `site` is given twice, first in line 2"),
        (top("length 5 s\nlength 5 s"), "3:1: `length` is given twice, first in line 2"),
        (top("41 % of the hosts"), "2:1: expected a word that begins a line, found `41`"),
        // Words.
        (top("sites"), "2:1: unknown key `sites`; did you mean `site`?"),
        (top("balance 3"), "2:1: unknown key `balance`"),
        (top("hosts 3"), "2:1: `hosts` does not stand here: it belongs in the section `site`"),
        (top("kill all hosts"), "2:1: `kill` does not stand here: it belongs behind `at` and a time, as in `at 10 s: ...`"),
        (site("cores 3"), "3:1: `cores` does not stand here: it belongs in a line `host` of the section `site`"),
        (traffic("hosts 3"), "3:1: `hosts` does not stand here: it belongs in the section `site`"),
        (site("hsots 3"), "3:1: unknown key `hsots`; did you mean `hosts`?"),
        (site("host cores 2, slot 3"), "3:15: unknown key `slot`; did you mean `slots`?"),
        (site("host cores 2 slots 3"), "3:14: expected a comma or the end of the line, found `slots`"),
        (site("host cores 2,"), "3:14: expected a key, found the end of the line"),
        (site("host cores 2\nhost cores 3"), "4:6: `cores` is given twice, first in line 3"),
        (site("counter on, off"), "3:13: `off` is given twice, first in line 3"),
        (site("second-copies maybe"), "3:15: unknown answer `maybe`"),
        // Figures and units.
        (top("length 60"), "2:10: `length` needs a unit: ns, us, ms, s, min or h"),
        (top("length 60 seconds"), "2:11: `length` is given in ns, us, ms, s, min or h, not in `seconds`"),
        (top("length 60 %"), "2:11: `length` is given in ns, us, ms, s, min or h, not in `%`"),
        (top("length five s"), "2:8: expected a figure for `length`, found `five`"),
        (top("length NaN s"), "2:8: expected a figure for `length`, found `NaN`"),
        (top("length -5 s"), "2:8: `length` is -5, and no figure may be negative"),
        (top("length 0.0000000001 s"), "2:8: `length` is finer than a nanosecond"),
        (top("length 3 h"), "2:8: `length` is 3, and has to be from 1 ms to 2 h"),
        (top("length 0 s"), "2:8: `length` is 0, and has to be from 1 ms to 2 h"),
        (
            top(&format!("length {} s", "9".repeat(60))),
            "2:8: `length` is 9999999999999999999999999999999999999999..., and has to be from 1 ms to 2 h",
        ),
        (site("gateways 0"), "3:10: `gateways` is 0, and has to be from 1 to 1000"),
        (site("gateways 1001"), "3:10: `gateways` is 1001, and has to be from 1 to 1000"),
        (site("gateways 2.5"), "3:10: `gateways` is 2.5, and has to be a whole number"),
        (site("gateways 1e2"), "3:11: expected a comma or the end of the line, found `e2`"),
        (site("hosts 0"), "3:7: `hosts` is 0, and has to be from 1 to 1000"),
        (site("hosts 4294967297"), "3:7: `hosts` is 4294967297, and has to be from 1 to 1000"),
        (site("hosts 1,000"), "3:9: expected a key, found `000`"),
        (site("memory 192"), "3:11: `memory` needs a unit: MB"),
        (site("memory 192 MiB"), "3:12: `memory` is given in MB, not in `MiB`"),
        (site("host cold 125 % for 10 s"), "3:11: `cold` is 125, and has to be from 1 % to 100 %"),
        (site("host cold 25 for 10 s"), "3:14: `cold` needs a unit: %"),
        (site("host cold 0.25 s"), "3:16: `cold` is given in %, not in `s`"),
        (site("host cold 25 % over 10 s"), "3:16: expected `for`, found `over`"),
        (site("network window 1.0001 KiB"), "3:16: `window` is finer than a byte"),
        (site("discovery notice 3 s to 1 s"), "3:18: `notice` runs from 3 s down to 1 s"),
        (traffic("rate 130"), "3:9: `rate` needs a unit: requests/s"),
        (traffic("rate 130 requests/min"), "3:10: `rate` is given in requests/s, not in `requests/min`"),
        (
            traffic("rate 100001 requests/s"),
            "3:6: `rate` is 100001, and has to be from 0.1 requests/s to 100000 requests/s",
        ),
        (traffic("heavy 10 % 4.9"), "3:12: expected `x`, found `4.9`"),
        (traffic("calm-use 50 % to 15 %"), "3:10: `calm-use` runs from 50 % down to 15 %"),
        (traffic("full 60 %, heavy 45 % x 2"), "3:12: `full`, `heavy`, `spiky` and `greedy` come to 120 % of the customers"),
        // Classes and plans.
        (site("class price-read aim 2 s"), "3:18: class `price-read` is given up after 1.5 s, before its aim of 2 s"),
        (site("class price-read share 80 %"), "3:18: the shares of the classes come to 96 %, not to 100 %"),
        (site("only plans premium"), "3:6: the shares of the plans come to 52 %, not to 100 %"),
        (site("only classes price-raed"), "3:14: unknown class `price-raed`; did you mean `price-read`?"),
        (site("only plans premium, premium"), "3:21: plan `premium` is named twice"),
        (site("only hosts 3"), "3:6: unknown list `hosts`"),
        (site("class bulk/day share 3 %"), "3:7: `bulk/day` is no name: a name has 1 to 32 letters, digits, `-` and `_`, and begins with a letter"),
        (site("class bulk share 0 %, work 5 ms, safe"), "3:7: class `bulk` is new and also needs `aim`, `deadline` and `worth`"),
        (site("plan p share 0 %, rate 5 units/s, burst 5 units, price 1"), "3:6: plan `p` is new and also needs `spread`"),
        (site(&format!("{plan}\nonly plans premium")), "3:6: plan `p` is described here and left out in line 4"),
        (site("gateways 2\nplan premium spread 3 gateways"), "4:14: plan `premium` has a spread of 3, and the site has 2 gateways"),
        (site("plan premium ceiling-rate 9 units/s"), "3:14: plan `premium` has a ceiling, which needs a `ceiling-burst` above 0 units"),
        (
            site("plan standard rate 0.01 units/s\ntraffic\nrate 10000 requests/s"),
            "5:1: plan `standard` would have 1175510 customers or more to come to its share, and 100000 is the most",
        ),
        (site("class price-read keyed 5 s"), "3:24: expected `for`, found `5`"),
        (
            site(&(1..20).map(|n| format!("{}\n", plan.replace("plan p", &format!("plan p{n}")))).collect::<String>()),
            "21:6: these are 21 plans, and 20 is the most",
        ),
        // Events.
        (top("at 10: add 4 hosts"), "2:6: `at` needs a unit: ns, us, ms, s, min or h"),
        (top("at 10 s add 4 hosts"), "2:9: expected `:`, found `add`"),
        (top("at 10 s:"), "2:9: expected an event, found the end of the line"),
        (top("at 10 s: kil all hosts"), "2:10: unknown event `kil`; did you mean `kill`?"),
        (top("at 61 s: add 4 hosts"), "2:4: the rehearsal is over after 60 s"),
        (top("at 10 s: add 4"), "2:15: `add` needs a unit: hosts"),
        (top("at 10 s: add 991 hosts"), "2:10: with these, 1001 hosts have come in all, and 1000 is the most"),
        (top("at 10 s: add 4 hosts now"), "2:22: expected the end of the line, found `now`"),
        (top("at 10 s: kill 41 % of the servers"), "2:27: expected `gateways` or `hosts`, found `servers`"),
        (top("at 10 s: kill 0 % of the hosts"), "2:15: `share` is 0, and has to be from 0.01 % to 100 %"),
        (top("at 10 s: kill 0 hosts"), "2:15: `count` is 0, and has to be from 1 to 1000"),
        (top("at 10 s: kill 4 gateways"), "2:15: there are no 4 gateways: the site has 3 gateways"),
        (top("at 10 s: kill gateways 1, 4"), "2:27: there is no gateway 4: the site has 3 gateways"),
        (top("at 10 s: kill host 0"), "2:20: `host` is 0, and has to be from 1 to 1000"),
        (top("at 10 s: kill hosts 2, 2"), "2:24: host 2 is named twice"),
        (top("at 10 s: kill hosts 11 for 3 s"), "2:21: there is no host 11: all that have come by then are 10 hosts"),
        (top("at 10 s: kill all hosts for ever"), "2:29: expected a figure for `for`, found `ever`"),
        (
            top(&format!("at 10 s: kill hosts {}1", "1, ".repeat(100))),
            "2:321: an event names 100 machines at the most, a share or a count any number",
        ),
        // Moments by something seen.
        (top("when: add 4 hosts"), "2:5: expected a sign, found `:`"),
        (top("when cal 3 from gateway 1 to the counter: add 4 hosts"), "2:6: unknown sign `cal`; did you mean `call`?"),
        (top("when call 0 from gateway 1 to the counter: add 4 hosts"), "2:11: `call` is 0, and has to be from 1 to 1000000"),
        (top("when call 3 from gateway 4 to the counter: add 4 hosts"), "2:26: there is no gateway 4: the site has 3 gateways"),
        (top("when call 3 from gateway 1 to host 11: add 4 hosts"), "2:36: there is no host 11: all that have come by then are 10 hosts"),
        (top("when call 3 from gateway 1 to the clients: add 4 hosts"), "2:35: expected `counter`, found `clients`"),
        (site("counter off\nwhen call 3 from gateway 1 to the counter: add 4 hosts"), "4:26: the site has no counter"),
        (top("when gateway 2 says \"x\": add 4 hosts"), "2:16: unknown sign of a gateway `says`"),
        (top("when gateway 2 logs \"\": add 4 hosts"), "2:21: what a log says has 1 to 200 letters, and this has 0"),
        (top("when gateway 2 logs counter: add 4 hosts"), "2:21: expected a part of a line of the log, in quotes, found `counter`"),
        (top("when gateway 2 is told that host 3 runs: add 4 hosts"), "2:36: unknown state of a host `runs`"),
        (top("when host 3 is drained: add 4 hosts"), "2:16: expected `told`, found `drained`"),
        (top("when host 3 ends by 5 s: add 4 hosts"), "2:18: expected `:`, found `by`"),
        (top("when host 3 ends, by 61 s: add 4 hosts"), "2:22: the rehearsal is over after 60 s"),
        (top("when host 3 ends, by 5: add 4 hosts"), "2:23: `by` needs a unit: ns, us, ms, s, min or h"),
        (top("when host 3 ends: traffic x 2 for 3 s"), "2:19: `traffic` stands only behind `at`: clients know of it from the start"),
        (top("when host 3 ends: lean to building 1 x 2 for 3 s"), "2:19: `lean` stands only behind `at`: clients know of it from the start"),
        (top("at 10 s: pause 2 gateways for 3 s"), "2:18: expected `hosts`, found `gateways`"),
        (top("at 10 s: slow 2 clients x 3 for 3 s"), "2:17: expected `gateways` or `hosts`, found `clients`"),
        (top("at 10 s: freeze 2 hosts for 3 s"), "2:19: expected `gateways`, found `hosts`"),
        (top("at 10 s: links gateway 1 to hots 3 hold for 3 s"), "2:29: expected `hosts`, found `hots`"),
        (top("at 10 s: links gateway 1 to host 30 hold for 3 s"), "2:34: there is no host 30: all that have come by then are 10 hosts"),
        (top("at 10 s: links gateway 1 to host 3 holds for 3 s"), "2:36: unknown link fault `holds`; did you mean `hold`?"),
        (top("at 10 s: links gateway 4 to host 3 hold for 3 s"), "2:24: there is no gateway 4: the site has 3 gateways"),
        (top("at 10 s: links gateway 1 to host 3 narrow 10 for 3 s"), "2:46: `narrow` needs a unit: KiB/s"),
        (top("at 10 s: links gateway 1 to host 3 hold"), "2:40: expected `for`, found the end of the line"),
        (top("at 10 s: lose building 4 for 3 s"), "2:24: there is no building 4: the site has 3 buildings"),
        (top("at 10 s: cut off building 4 for 3 s"), "2:27: there is no building 4: the site has 3 buildings"),
        (site("counter building 4"), "3:9: there is no building 4: the site has 3 buildings"),
        (site("counter off\nat 10 s: links gateway 1 to the counter reset"), "4:10: the site has no counter"),
        (top("at 10 s: slow 2 hosts x 0.5 for 3 s"), "2:25: `x` is 0.5, and has to be from x 1 to x 1000"),
        (top("at 10 s: drain 3 hosts over 5 s"), "2:32: expected `,`, found the end of the line"),
        (top("at 10 s: traffic x 2 for 3 s, rising in 2 s"), "2:10: traffic rises in 2 s and falls in as much, and all of it is to last 3 s"),
        (top("at 10 s: heavy 2 % of price-reed x 20 for 20 s"), "2:23: unknown class `price-reed`; did you mean `price-read`?"),
        (top("at 10 s: garble 3 % of the host's answers for 20 s"), "2:28: unknown owner of answers `host's`; did you mean `hosts'`?"),
        (top("at 10 s: cut building 4 from gateway 1 for 3 s"), "2:23: there is no building 4: the site has 3 buildings"),
        (top("at 10 s: cut host 2 from host 2 for 3 s"), "2:10: both sides of the cut are the same"),
        (top("at 10 s: cut host 2 from building 1 for 3 s, with reset"), "2:51: expected `resets`, found `reset`"),
        (top("at 10 s: counter gone for 3 s"), "2:18: unknown counter fault `gone`"),
        (top("at 10 s: counter slow 80 to 500 ms for 3 s"), "2:26: `slow` needs a unit: ns, us, ms, s, min or h"),
        (top("at 10 s: counter split 1 2 3 for 3 s"), "2:30: expected `|` and another group of gateways, found `for`"),
        (top("at 10 s: counter split 1 | 3 for 3 s"), "2:10: a split puts each gateway into one group, and leaves out gateway 2"),
        (top("at 10 s: counter split 1 2 | 2 3 for 3 s"), "2:30: gateway 2 is named twice"),
        (top("at 10 s: counter fresh for 3 s"), "2:24: expected the end of the line, found `for`"),
        (site("counter off\nat 10 s: counter lost for 3 s"), "4:10: the site has no counter"),
        (site("counter off\nat 10 s: garble 2 % of the counter's answers for 3 s"), "4:10: the site has no counter"),
        (site("counter off\nat 10 s: stop the counter for 3 s"), "4:10: the site has no counter"),
        (site("counter off\nat 10 s: cut the counter from host 1 for 3 s"), "4:10: the site has no counter"),
        (top("at 10 s: discovery late for 3 s"), "2:25: expected `by`, found `for`"),
        (top("at 10 s: 10 % of clients leave early for 3 s"), "2:18: expected `the`, found `clients`"),
        // The first of several, in the order of the text.
        (top("length 5\nlengt 5 s"), "2:9: `length` needs a unit: ns, us, ms, s, min or h"),
        (top("at 90 s: kill host 12\nsite\nclass price-read share 5 %"), "2:4: the rehearsal is over after 60 s"),
    ]
}

#[test]
fn each_broken_file_gets_one_message_that_names_file_line_and_reason() {
    let broken = broken();
    assert!(broken.len() >= 40);
    let wrong: Vec<String> = broken
        .iter()
        .filter_map(|(text, wanted)| {
            let told = match parse("dir/bad.scenario", text) {
                Ok(_) => "no message".to_owned(),
                Err(error) => error.to_string(),
            };
            (told != format!("dir/bad.scenario:{wanted}")).then(|| format!("{told}\n  not {wanted}\n"))
        })
        .collect();
    assert!(wrong.is_empty(), "{}", wrong.concat());
}

#[test]
fn a_message_is_one_line_whatever_the_file_is_called() {
    let error = parse("a\nb\u{1b}[2J", "scenario").unwrap_err();
    assert_eq!(error.to_string(), "a?b?[2J:1:9: expected a title in quotes, found the end of the line");
}

/// No text makes the reader fall over: all cuts and single changes of a file that uses everything.
#[test]
fn spoilt_files_are_refused_or_read_and_never_more() {
    let mut rng = Rng::stream(3, "spoil", 0);
    let text = to_text(&random(&mut rng));
    let alphabet: Vec<char> = "x1 %:,|\"\\#-.\n\t\u{e9}\u{0}".chars().collect();
    for _ in 0..3000 {
        let mut letters: Vec<char> = text.chars().collect();
        let at = rng.below(letters.len() as u64) as usize;
        match rng.below(3) {
            0 => letters.truncate(at),
            1 => letters[at] = alphabet[rng.below(alphabet.len() as u64) as usize],
            _ => drop(letters.remove(at)),
        }
        let spoilt: String = letters.into_iter().collect();
        if let Err(error) = parse("x", &spoilt) {
            let told = error.to_string();
            assert!(told.starts_with("x:") && told.lines().count() == 1, "{told}");
        }
    }
}

#[test]
fn random_scenarios_read_back_as_they_were_written() {
    for number in 0..400 {
        let scenario = random(&mut Rng::stream(11, "scenario", number));
        let text = to_text(&scenario);
        let file = format!("{}.scenario", scenario.name);
        let again = parse(&file, &text).unwrap_or_else(|error| panic!("{error}\n{text}"));
        assert_eq!(without_lines(again.clone()), scenario, "{text}");
        assert_eq!(to_text(&again), text);
        assert!(text.lines().all(|line| line.len() <= 1000));
    }
}

#[test]
fn what_is_as_usual_is_not_written() {
    assert_eq!(Scenario::default().to_string(), "scenario \"A calm day\"\nlength 60 s\n");
    // Nor the spreads that a smaller site has anyhow.
    let small = "scenario \"x\"\nlength 60 s\n\nsite\n  gateways 1\n";
    assert_eq!(read(small).to_string(), small);
    let mut scenario = read("scenario \"x\"\nsite\nhost cores 4, cold 30 % for 1 s\nat 5 s: add 1 hosts");
    scenario.site.plans.swap(0, 1);
    scenario.site.plans[0].burst = 70.5;
    assert_eq!(
        scenario.to_string(),
        "scenario \"x\"\nlength 60 s\n\nsite\n  host cores 4, cold 30 % for 1 s\n  plan premium burst 70.5 units\n  \
         only plans premium, standard\n\nat 5 s: add 1 host\n"
    );
}

#[test]
fn shipped_scenarios_read_and_are_what_their_names_say() {
    let names: Vec<&str> = shipped().iter().map(|(name, _)| *name).collect();
    let wanted = [
        "calm",
        "night",
        "cold-start",
        "shrinking-fleet",
        "slow-nodes",
        "counter-lost",
        "garbled-answers",
        "stale-connections",
        "resets",
        "deaf-hosts",
        "discovery-cut",
        "planned-restarts",
        "held-links",
        "one-way-cut",
        "stopped-gateway",
        "building-lost",
        "site-lost",
        "two-at-once",
        "calm-fleet",
        "roll-fleet",
        "herd-fleet",
        "zone-fleet",
        "split-fleet",
        "join-fleet",
    ];
    assert_eq!(names, wanted);
    let (sites, fleets) = shipped().split_at(18);
    for (name, text) in fleets {
        let scenario = parse(name, text).unwrap();
        assert_eq!((scenario.site.gateways, scenario.site.hosts), (300, 150), "{name}");
        for gateways in [3, 30, 60, 150, 1000] {
            // A site of a few hosts still has one of what an event names.
            let resized = to_text(&scenario.clone().with_gateways(gateways));
            parse(name, &resized).unwrap_or_else(|error| panic!("{gateways}: {error}"));
        }
    }
    for (name, text) in sites {
        let scenario = parse(&format!("scenarios/{name}.scenario"), text).unwrap();
        assert_eq!((scenario.name.as_str(), find(name)), (*name, Some(*text)));
        let usual = !["building-lost", "site-lost"].contains(name);
        assert_eq!(scenario.site == Site::default(), usual, "{name}");
        assert_eq!(scenario.traffic, Traffic::default(), "{name}");
        assert_eq!(scenario.events.is_empty(), *name == "calm");
    }
    let night = parse("night", find("night").unwrap()).unwrap();
    let events: Vec<_> = night.events.into_iter().map(|timed| (timed.at / SECOND, timed.event)).collect();
    let wanted = [
        (20, Event::Traffic(1.8, 10 * SECOND, 500 * MS)),
        (22, Event::KillGateways(Which::Share(0.41), Some(6 * SECOND))),
    ];
    assert_eq!(events, wanted);
    assert_eq!(find("no-such"), None);
}

// A random scenario. All fields are written out, so that one that is added to the vocabulary is missed here.

fn random(rng: &mut Rng) -> Scenario {
    let site = random_site(rng);
    let length = span(rng, 10 * SECOND, MOST_LENGTH);
    let events = random_events(rng, &site, length);
    Scenario {
        name: format!("swarm-{}", rng.below(1000)),
        title: ["A \"quoted\" title", "back\\slash # no comment", "na\u{ef}ve \u{2014} day"]
            [rng.below(3) as usize]
            .into(),
        length,
        site,
        traffic: if rng.chance(0.3) { Traffic::default() } else { random_traffic(rng) },
        events,
    }
}

fn count(rng: &mut Rng, low: u32, high: u32) -> u32 {
    low + rng.below(u64::from(high - low) + 1) as u32
}

/// Any span, or one that people write.
fn span(rng: &mut Rng, low: u64, high: u64) -> u64 {
    let round = [1, 1_000, MS, 10 * MS, SECOND, 60 * SECOND][rng.below(6) as usize];
    let any = low + rng.below(high - low + 1);
    (any / round * round).max(low)
}

/// Any number, or one that people write.
fn number(rng: &mut Rng, low: f64, high: f64) -> f64 {
    let any = rng.between(low, high);
    match rng.below(4) {
        0 => any,
        1 => low,
        2 => high,
        _ => ((any * 100.0) as u64 as f64 / 100.0).max(low),
    }
}

fn share(rng: &mut Rng) -> f64 {
    number(rng, 0.0, 1.0)
}

fn some_share(rng: &mut Rng) -> f64 {
    number(rng, 0.01, 1.0)
}

fn ordered<T: PartialOrd>(a: T, b: T) -> (T, T) {
    if a <= b {
        (a, b)
    } else {
        (b, a)
    }
}

/// So many shares that come to the whole.
fn shares(rng: &mut Rng, count: usize) -> Vec<f64> {
    let parts: Vec<f64> = (0..count).map(|_| rng.between(0.1, 1.0)).collect();
    let sum: f64 = parts.iter().sum();
    parts.into_iter().map(|part| part / sum).collect()
}

fn random_site(rng: &mut Rng) -> Site {
    let gateways = count(rng, 1, 100);
    let mut site = Site {
        gateways,
        hosts: count(rng, 1, 400),
        buildings: count(rng, 1, 100),
        host: random_host(rng),
        counter: CounterSpec {
            on: rng.chance(0.8),
            parts: count(rng, 1, 100),
            calls_per_s: number(rng, 1.0, 1e6),
            call: span(rng, 0, SECOND),
            queue: count(rng, 0, 1000),
            timeout: span(rng, MS, SECOND),
            building: 1,
        },
        discovery: DiscoverySpec { notice: spans(rng), silent_notice: spans(rng) },
        network: NetworkSpec {
            same: span(rng, 1_000, SECOND),
            cross: span(rng, 1_000, SECOND),
            client: span(rng, 1_000, SECOND),
            jitter: share(rng),
            window: count(rng, 1024, 16 << 20),
        },
        classes: random_classes(rng),
        plans: random_plans(rng, gateways),
        rules: RulesSpec {
            drain_grace: span(rng, 0, SECOND),
            fall_multiple: number(rng, 0.1, 1000.0),
            fall: span(rng, MS, 10 * SECOND),
            answer_slack: span(rng, 0, SECOND),
        },
        sockets: count(rng, 64, 1_000_000),
        memory_mb: count(rng, 16, 1_000_000),
        retry_after: rng.chance(0.5).then(|| span(rng, MS, 60 * SECOND)),
        max_attempts: count(rng, 1, 16),
        start_within: span(rng, 0, 1500 * MS),
        second_copies: rng.chance(0.5),
    };
    if rng.chance(0.3) {
        site.host = HostSpec::default();
        site.network = NetworkSpec { window: site.network.window, ..NetworkSpec::default() };
        site.rules = RulesSpec::default();
    }
    site
}

fn spans(rng: &mut Rng) -> (u64, u64) {
    ordered(span(rng, 0, 600 * SECOND), span(rng, 0, 600 * SECOND))
}

fn random_host(rng: &mut Rng) -> HostSpec {
    HostSpec {
        cores: count(rng, 1, 256),
        speed: number(rng, 0.01, 100.0),
        speed_spread: number(rng, 0.0, 0.9),
        slots: count(rng, 1, 10_000),
        queue: count(rng, 0, 100_000),
        thrash_at: number(rng, 0.1, 1000.0),
        thrash: share(rng),
        cold_share: some_share(rng),
        cold: span(rng, 0, 60 * SECOND),
        connections: count(rng, 1, 1_000_000),
        handshake: span(rng, 0, SECOND),
        error_rate: share(rng),
        idle: span(rng, 10 * MS, 60 * SECOND),
    }
}

/// Some of the usual names and some new ones, in any order.
fn names(rng: &mut Rng, usual: [&str; 2]) -> Vec<String> {
    let mut names: Vec<String> = usual.iter().map(|name| name.to_string()).collect();
    names.extend((0..rng.below(3)).map(|n| format!("other_{n}")));
    if rng.chance(0.7) {
        rng.shuffle(&mut names);
    }
    names.truncate(1 + rng.below(names.len() as u64) as usize);
    names
}

fn random_classes(rng: &mut Rng) -> Vec<ClassSpec> {
    if rng.chance(0.3) {
        return Site::default().classes;
    }
    let names = names(rng, ["price-read", "unit-order"]);
    let shares = shares(rng, names.len());
    let class = |(name, share): (String, f64)| {
        let (aim, deadline) = ordered(span(rng, MS, 60 * SECOND), span(rng, MS, 60 * SECOND));
        let effects = [Effect::Safe, Effect::Unsafe, Effect::Keyed(span(rng, MS, 60 * SECOND))];
        ClassSpec {
            name,
            share,
            work: span(rng, 1_000, SECOND),
            work_cv: number(rng, 0.0, 10.0),
            aim,
            deadline,
            worth: number(rng, 0.0, 1e6),
            late_worth: rng.unit(),
            effect: effects[rng.below(3) as usize],
        }
    };
    names.into_iter().zip(shares).map(class).collect()
}

fn random_plans(rng: &mut Rng, gateways: u32) -> Vec<PlanSpec> {
    let names = names(rng, ["standard", "premium"]);
    let shares = shares(rng, names.len());
    let plan = |(name, share): (String, f64)| {
        let ceiling = rng.chance(0.5);
        PlanSpec {
            name,
            share,
            rate: number(rng, 10.0, 1e6),
            burst: number(rng, 0.1, 1e6),
            open: count(rng, 0, 100),
            price: number(rng, 0.0, 100.0),
            extra_worth: rng.unit(),
            overrun_cost: number(rng, 0.0, 10.0),
            ceiling_rate: if ceiling { number(rng, 0.0, 1e6) } else { 0.0 },
            ceiling_burst: if ceiling { number(rng, 0.1, 1e6) } else { 0.0 },
            ceiling_slack: number(rng, 0.0, 100.0),
            spread: count(rng, 1, gateways),
        }
    };
    names.into_iter().zip(shares).map(plan).collect()
}

fn random_traffic(rng: &mut Rng) -> Traffic {
    Traffic {
        rate: number(rng, 0.1, 5000.0),
        most_units: count(rng, 1, 1000),
        guess_cv: number(rng, 0.0, 10.0),
        calm_use: ordered(share(rng), share(rng)),
        full: rng.between(0.0, 0.3),
        heavy: (rng.between(0.0, 0.3), number(rng, 1.0, 100.0)),
        spiky: (rng.between(0.0, 0.3), number(rng, 1.0, 100.0)),
        greedy: (rng.between(0.0, 0.1), number(rng, 1.0, 100.0)),
        most_excess: number(rng, 0.0, 10.0),
        skew: number(rng, 0.0, 10.0),
        uneven: number(rng, 0.0, 10.0),
        shift: span(rng, 100 * MS, 3600 * SECOND),
        retries: count(rng, 0, 10),
        backoff: span(rng, 0, 60 * SECOND),
        honour: share(rng),
        try_share: ordered(some_share(rng), some_share(rng)),
        impatient: share(rng),
        front_notice: span(rng, 0, 60 * SECOND),
    }
}

fn random_events(rng: &mut Rng, site: &Site, length: u64) -> Vec<Timed> {
    let some = rng.below(12);
    let at = |rng: &mut Rng| if rng.chance(0.2) { length } else { span(rng, 0, length) };
    let mut events: Vec<Timed> = (0..some)
        .map(|_| Timed { at: at(rng), sign: None, line: 0, event: random_event(rng, site) })
        .collect();
    if !site.counter.on {
        events.retain(|timed| !format!("{}", timed.event).contains("counter"));
    }
    events
}

/// Machines of which there are `all`.
fn which(rng: &mut Rng, all: u32) -> Which {
    match rng.below(4) {
        0 => Which::All,
        1 => Which::Share(some_share(rng)),
        2 => Which::Count(count(rng, 1, all)),
        _ => {
            let mut these: Vec<u32> = (1..=all).collect();
            rng.shuffle(&mut these);
            these.truncate(count(rng, 1, 100) as usize);
            Which::These(these)
        }
    }
}

fn lasting(rng: &mut Rng) -> u64 {
    span(rng, MS, MOST_LENGTH)
}

fn random_event(rng: &mut Rng, site: &Site) -> Event {
    let (gateways, hosts) = (which(rng, site.gateways), which(rng, site.hosts));
    let (lasts, times, part) = (lasting(rng), number(rng, 1.0, 1000.0), some_share(rng));
    let back = rng.chance(0.5).then_some(lasts);
    match rng.below(30) {
        0 => Event::KillGateways(gateways, back),
        1 => Event::RestartGateways(gateways, if rng.chance(0.5) { 0 } else { lasts }),
        2 => Event::ReloadGateways(gateways),
        3 => Event::Traffic(number(rng, 0.0, 1000.0), lasts, if rng.chance(0.5) { 0 } else { lasts / 2 }),
        4 => Event::SlowHosts(hosts, times, lasts),
        5 => Event::PauseHosts(hosts, lasts),
        6 => Event::DrainHosts(hosts, span(rng, 0, 60 * SECOND), span(rng, 0, 60 * SECOND)),
        7 => Event::KillHosts(hosts, back),
        8 => Event::RestartHosts(hosts),
        9 => Event::AddHosts(count(rng, 1, 10)),
        // A few only: hosts that have come in all are bounded.
        10 => Event::ReplaceHosts(Which::Count(count(rng, 1, site.hosts.min(10))), rng.chance(0.5)),
        11 => Event::Heavy(site.classes[0].name.clone(), part, times, lasts),
        12 => Event::GarbleHosts(part, lasts),
        13 => Event::GarbleCounter(part, lasts),
        14 => random_cut(rng, site),
        15 => random_counter_fault(rng, site.gateways),
        17 => Event::Mishaps(Mishap::Swallowed, part, hosts, lasts),
        18 => Event::Mishaps(Mishap::Reset, part, hosts, lasts),
        25 => Event::Lean(count(rng, 1, site.buildings), number(rng, 0.01, 100.0), lasts),
        19 => Event::Stale(lasts, hosts, lasting(rng)),
        20 => Event::StopGateways(gateways, lasts),
        26 => Event::FreezeGateways(gateways, lasts),
        27 => Event::StopHosts(hosts, lasts),
        28 => Event::StopCounter(lasts),
        29 => Event::Clock(gateways, if rng.chance(0.5) { lasts as i64 } else { -(lasts as i64) }),
        21 => Event::SlowGateways(gateways, times, lasts),
        22 => Event::LoseBuilding(count(rng, 1, site.buildings), lasts),
        23 => Event::CutOff(count(rng, 1, site.buildings), lasts),
        24 => random_links(rng, gateways, site.hosts),
        16 => {
            let late = DiscoveryFault::Late(lasting(rng));
            let cut = DiscoveryFault::Cut(lasting(rng));
            let faults =
                [DiscoveryFault::Silent, late, DiscoveryFault::Repeats, DiscoveryFault::Reordered, cut];
            Event::Discovery(faults[rng.below(5) as usize].clone(), lasts)
        }
        _ => Event::Impatient(part, lasts),
    }
}

fn random_links(rng: &mut Rng, gateways: Which, hosts: u32) -> Event {
    // Two long lists of numbers would not fit into a line.
    let hosts = Which::Count(count(rng, 1, hosts));
    let ends = [LinkEnd::Clients, LinkEnd::Hosts(hosts), LinkEnd::Counter, LinkEnd::Discovery];
    let end = ends[rng.below(4) as usize].clone();
    let way = [LinkWay::Both, LinkWay::Calls, LinkWay::Answers][rng.below(3) as usize];
    let (from, to) = ordered(span(rng, 0, SECOND), span(rng, 0, SECOND));
    let fault = match rng.below(6) {
        0 => LinkFault::Hold(way),
        1 => LinkFault::Cut(way),
        2 => LinkFault::Slow(from, to),
        3 => LinkFault::Narrow(number(rng, 0.1, 1e6)),
        4 => return Event::Links(gateways, end, LinkFault::Reset, 0),
        _ => LinkFault::Flap(lasting(rng)),
    };
    Event::Links(gateways, end, fault, lasting(rng))
}

fn random_cut(rng: &mut Rng, site: &Site) -> Event {
    let one = [Side::Building(count(rng, 1, site.buildings)), Side::Gateway(count(rng, 1, site.gateways))];
    let other = [Side::Host(count(rng, 1, site.hosts)), Side::Counter, Side::Clients];
    let (one, other) = (one[rng.below(2) as usize].clone(), other[rng.below(3) as usize].clone());
    Event::Cut(one, other, lasting(rng), rng.chance(0.5))
}

fn random_counter_fault(rng: &mut Rng, gateways: u32) -> Event {
    let lasts = lasting(rng);
    let fault = match rng.below(8) {
        0 => CounterFault::Lost,
        1 => CounterFault::Silent,
        2 => CounterFault::Mute,
        3 => {
            let (from, to) = spans(rng);
            CounterFault::Slow(from, to)
        }
        4 if gateways > 1 => {
            let mut all: Vec<u32> = (1..=gateways).collect();
            rng.shuffle(&mut all);
            let rest = all.split_off(count(rng, 1, gateways - 1) as usize);
            CounterFault::Split(vec![all, rest])
        }
        5 => return Event::Counter(CounterFault::Fresh, 0),
        6 => CounterFault::Flapping(lasting(rng)),
        _ => CounterFault::Full,
    };
    Event::Counter(fault, lasts)
}
