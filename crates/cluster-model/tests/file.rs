//! Scenario files: parsing, the message for each error, and formatting.

use cluster_model::file::{find, parse, shipped, to_text, MAX_LENGTH};
use cluster_model::rng::Rng;
use cluster_model::scenario::*;
use cluster_model::{MS, SECOND};

/// Sets the line numbers of all events to 0, since a formatted scenario has other line numbers than the
/// original.
fn without_line_numbers(mut scenario: Scenario) -> Scenario {
    scenario.events.iter_mut().for_each(|scheduled| scheduled.line = 0);
    scenario
}

fn parse_valid(text: &str) -> Scenario {
    parse("test.scenario", text).unwrap_or_else(|error| panic!("{error}\n{text}"))
}

/// Parses the events of lines such as `at 10 s: kill all hosts`.
fn events(lines: &str) -> Vec<Event> {
    let text = format!("scenario \"x\"\nlength 1 h\n{lines}");
    parse_valid(&text).events.into_iter().map(|scheduled| scheduled.event).collect()
}

#[test]
fn a_file_with_only_a_title_is_the_default_scenario() {
    let calm = Scenario { name: "test".into(), title: "x".into(), ..Scenario::default() };
    assert_eq!(parse_valid("scenario \"x\""), calm);
    // A byte order mark, CRLF line endings, empty sections and blanks change nothing.
    assert_eq!(
        parse_valid("\u{feff}# today\r\n\r\n\tscenario  \"x\"# so\r\nsite\r\n   \t\r\ntraffic\r\n"),
        calm
    );
}

#[test]
fn parses_all_keys_with_their_units() {
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
            thrash_threshold: 5.5,
            thrash_loss: 0.04,
            warmup_share: 0.3,
            warmup: 12 * SECOND,
            connections: 900,
            handshake: 1_200_000,
            error_rate: 0.002,
            idle_timeout: 9 * SECOND,
        },
        counter: CounterSpec {
            enabled: false,
            shards: 3,
            calls_per_s: 740.0,
            service_time: 500_000,
            queue: 41,
            timeout: 60 * MS,
            building: 2,
        },
        discovery: DiscoverySpec {
            update_delay: (SECOND, 2 * SECOND),
            crash_detection_delay: (7 * SECOND, 8 * SECOND),
        },
        network: NetworkSpec {
            intra_building: 150_000,
            inter_building: 900_000,
            client: 500_000,
            jitter: 0.2,
            window: 32_768,
        },
        classes: vec![
            ClassSpec {
                name: "bulk".into(),
                share: 0.6,
                work: 90 * MS,
                work_cv: 1.1,
                latency_objective: SECOND,
                deadline: 3 * SECOND,
                priority_weight: 1.5,
                late_weight_share: 0.3,
                idempotency: Idempotency::Keyed(5 * SECOND),
            },
            ClassSpec {
                share: 0.4,
                latency_objective: 500 * MS,
                deadline: SECOND,
                ..Site::default().classes[0].clone()
            },
        ],
        plans: vec![PlanSpec {
            name: "gold".into(),
            share: 1.0,
            rate: 12.5,
            burst: 1.0,
            max_in_flight: 5,
            weight_factor: 2.0,
            over_quota_weight_share: 0.1,
            over_quota_cost: 1.5,
            ceiling_rate: 20.0,
            ceiling_burst: 30.0,
            ceiling_slack: 2.0,
            spread: 4,
        }],
        rules: RulesSpec {
            drain_grace: 300 * MS,
            overload_factor: 2.5,
            overload_span: 2 * SECOND,
            deadline_slack: 70 * MS,
        },
        file_descriptors: 512,
        memory_mb: 100,
        retry_after: Some(800 * MS),
        max_attempts: 3,
        start_jitter: 700 * MS,
        hedging: false,
    };
    let traffic = Traffic {
        rate: 55.5,
        max_units: 1,
        estimate_cv: 0.0,
        normal_use: (0.1, 0.2),
        near_quota: 0.3,
        heavy: (0.05, 2.0),
        bursty: (0.06, 3.5),
        greedy: (0.01, 4.0),
        max_excess: 1.2,
        skew: 0.5,
        gateway_imbalance: 3.0,
        imbalance_interval: 9 * SECOND,
        retries: 2,
        backoff: 50 * MS,
        follows_retry_after: 0.6,
        request_timeout_share: (0.4, 0.9),
        early_disconnects: 0.01,
        front_detection_delay: SECOND,
    };
    let expected = Scenario {
        name: "test".into(),
        title: r#"all "keys" \"#.into(),
        length: 90 * SECOND,
        site,
        traffic,
        events: Vec::new(),
    };
    assert_eq!(parse_valid(text), expected);
}

#[test]
fn parses_all_events() {
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
    let expected = vec![
        KillGateways(Selector::Share(0.41), Some(6 * SECOND)),
        KillGateways(Selector::All, None),
        KillGateways(Selector::Numbers(vec![1, 3]), None),
        KillHosts(Selector::Numbers(vec![2, 5, 7]), Some(10 * SECOND)),
        KillHosts(Selector::Count(2), Some(60 * SECOND)),
        RestartGateways(Selector::Numbers(vec![2]), 0),
        RestartGateways(Selector::All, 40 * SECOND),
        KillGateways(Selector::Building(2), Some(5 * SECOND)),
        SkewTraffic(3, 1.8, 15 * SECOND),
        RestartHosts(Selector::All),
        ReloadGateways(Selector::Count(1)),
        Traffic(1.8, 8 * SECOND, 500 * MS),
        Traffic(0.0, 8 * SECOND, 0),
        SlowHosts(Selector::Share(0.2), 6.0, 20 * SECOND),
        PauseHosts(Selector::Numbers(vec![3]), 2 * SECOND),
        DrainHosts(Selector::Count(3), 10 * SECOND, 5 * SECOND),
        DrainHosts(Selector::All, 0, 0),
        AddHosts(4),
        ReplaceHosts(Selector::Count(3), false),
        ReplaceHosts(Selector::Count(3), true),
        ExpensiveRequests("price-read".into(), 0.02, 20.0, 20 * SECOND),
        CorruptHostResponses(0.03, 20 * SECOND),
        CorruptCounterReplies(0.03, 10 * SECOND),
        Partition(PartitionSide::Building(1), PartitionSide::Building(2), 5 * SECOND, false),
        Partition(PartitionSide::Gateway(1), PartitionSide::Counter, 5 * SECOND, true),
        Partition(PartitionSide::Clients, PartitionSide::Host(2), 5 * SECOND, false),
        Counter(CounterFault::Unreachable, 120 * SECOND),
        Counter(CounterFault::DropCalls, SECOND),
        Counter(CounterFault::DropReplies, SECOND),
        Counter(CounterFault::DelayReplies(80 * MS, 500 * MS), SECOND),
        Counter(CounterFault::SplitBrain(vec![vec![1, 2], vec![3]]), SECOND),
        Counter(CounterFault::Reset, 0),
        Counter(CounterFault::Flapping(700 * MS), 10 * SECOND),
        Counter(CounterFault::Overloaded, SECOND),
        Discovery(DiscoveryFault::Stalled, SECOND),
        Discovery(DiscoveryFault::Delayed(3 * SECOND), 10 * SECOND),
        Discovery(DiscoveryFault::Duplicated, SECOND),
        Discovery(DiscoveryFault::Reordered, SECOND),
        Discovery(DiscoveryFault::WatchReset(700 * MS), 5 * SECOND),
        RequestFaults(RequestFault::Dropped, 0.037, Selector::All, 20 * SECOND),
        RequestFaults(RequestFault::ConnectionReset, 0.05, Selector::Numbers(vec![1, 2]), 20 * SECOND),
        StaleConnections(300 * MS, Selector::Count(2), 20 * SECOND),
        EarlyDisconnects(0.1, 10 * SECOND),
        Links(
            Selector::Numbers(vec![1, 2]),
            LinkEnd::Counter,
            LinkFault::Hold(LinkDirection::Both),
            5 * SECOND,
        ),
        Links(Selector::All, LinkEnd::Clients, LinkFault::Hold(LinkDirection::ToInitiator), 5 * SECOND),
        Links(
            Selector::Numbers(vec![2]),
            LinkEnd::Hosts(Selector::Numbers(vec![3])),
            LinkFault::Blackhole(LinkDirection::FromInitiator),
            5 * SECOND,
        ),
        Links(
            Selector::Count(1),
            LinkEnd::Hosts(Selector::Count(2)),
            LinkFault::Blackhole(LinkDirection::ToInitiator),
            5 * SECOND,
        ),
        Links(Selector::All, LinkEnd::Hosts(Selector::All), LinkFault::Delay(50 * MS, 200 * MS), 5 * SECOND),
        Links(
            Selector::All,
            LinkEnd::Hosts(Selector::Numbers(vec![1, 2])),
            LinkFault::RateLimit(10.0),
            5 * SECOND,
        ),
        Links(Selector::Numbers(vec![1]), LinkEnd::Discovery, LinkFault::Reset, 0),
        Links(Selector::Numbers(vec![1]), LinkEnd::Discovery, LinkFault::Flap(700 * MS), 10 * SECOND),
        SuspendGateways(Selector::Numbers(vec![2]), 5 * SECOND),
        SlowGateways(Selector::Numbers(vec![2]), 4.0, 10 * SECOND),
        SuspendHosts(Selector::Numbers(vec![3]), 2 * SECOND),
        SuspendCounter(5 * SECOND),
        FreezeGateways(Selector::Numbers(vec![2]), 5 * SECOND),
        ClockOffset(Selector::Numbers(vec![1, 2]), -2_000_000_000),
        ClockOffset(Selector::All, 1_500_000_000),
        PowerLoss(2, 30 * SECOND),
        IsolateBuilding(2, 10 * SECOND),
    ];
    let parsed = events(lines);
    for (parsed, expected) in parsed.iter().zip(&expected) {
        assert_eq!(parsed, expected);
    }
    assert_eq!(parsed.len(), expected.len());
}

#[test]
fn events_keep_their_order_time_and_line() {
    let scenario = parse_valid(
        "scenario \"x\"\n\nat 20 s: add 1 host\nat 0.25 s: add 2 hosts # earlier\nat 20 s: add 3 hosts",
    );
    let parsed: Vec<_> = scenario.events.iter().map(|event| (event.at, event.line)).collect();
    assert_eq!(parsed, [(20 * SECOND, 3), (250 * MS, 4), (20 * SECOND, 5)]);
}

#[test]
fn an_event_may_name_a_host_only_after_the_host_has_joined() {
    events(
        "at 2 s: add 2 hosts\nat 2 s: pause host 12 for 1 s\nat 3 s: replace 2 hosts\nat 4 s: kill host 14",
    );
    let early = parse("x", "scenario \"x\"\nat 2 s: pause host 12 for 1 s\nat 2 s: add 2 hosts").unwrap_err();
    assert_eq!(early.to_string(), "x:2:20: there is no host 12: the total by then is 10 hosts");
}

#[test]
fn triggers_are_formatted_as_parsed_and_expire_at_the_end_of_the_run_by_default() {
    use cluster_model::observation::Lifecycle::{Draining, InService, Removed};
    let triggers = [
        ("call 100 from gateway 1 to the counter", Trigger::CounterCall(1, 100)),
        ("call 5 from gateway 1 to host 3", Trigger::HostAttempt(1, Some(3), 5)),
        ("call 5 from gateway 1 to any host", Trigger::HostAttempt(1, None, 5)),
        ("call 50 from the clients to gateway 2", Trigger::Request(2, 50)),
        ("answer 50 from gateway 2 to the clients", Trigger::Response(2, 50)),
        ("gateway 1 is told that host 3 drains", Trigger::DiscoveryUpdate(1, 3, Draining)),
        ("gateway 1 is told that host 3 is gone", Trigger::DiscoveryUpdate(1, 3, Removed)),
        ("gateway 1 is told that host 3 is there", Trigger::DiscoveryUpdate(1, 3, InService)),
        ("host 3 is told to drain", Trigger::HostDrain(3)),
        ("gateway 2 ends", Trigger::GatewayProcess(2, false)),
        ("host 3 starts", Trigger::HostProcess(3, true)),
        ("gateway 2 logs \"a \\\"b\\\" \\\\\"", Trigger::LogLine(2, "a \"b\" \\".into())),
    ];
    for (words, trigger) in triggers {
        for (by, at) in [("", 9 * SECOND), (", by 4.5 s", 4500 * MS)] {
            // The default also holds if the length is given after the event.
            let scenario = parse_valid(&format!("scenario \"x\"\nwhen {words}{by}: add 1 host\nlength 9 s"));
            let expected =
                ScheduledEvent { at, trigger: Some(trigger.clone()), line: 2, event: Event::AddHosts(1) };
            assert_eq!(scenario.events, [expected]);
            assert!(to_text(&scenario).ends_with(&format!("when {words}{by}: add 1 host\n")), "{words}");
        }
    }
}

#[test]
fn the_default_spread_of_plans_is_limited_to_the_number_of_gateways() {
    let site = parse_valid("scenario \"x\"\nsite\n gateways 1").site;
    assert_eq!(site.plans.iter().map(|plan| plan.spread).collect::<Vec<_>>(), [1, 1]);
}

#[test]
fn accepts_shares_that_miss_100_percent_only_by_rounding() {
    let third = |name| {
        format!("plan {name} share 33.3 %, rate 1 units/s, burst 5 units, price 1, spread 1 gateway\n")
    };
    let text = format!("scenario \"x\"\nsite\n{}{}{}only plans a, b, c", third("a"), third("b"), third("c"));
    assert_eq!(parse_valid(&text).site.plans.len(), 3);
}

/// Returns invalid files, each with its only message. The lines given to `site` begin at line 3.
fn invalid_files() -> Vec<(String, &'static str)> {
    let top = |line: &str| format!("scenario \"x\"\n{line}");
    let site = |lines: &str| format!("scenario \"x\"\nsite\n{lines}");
    let traffic = |line: &str| format!("scenario \"x\"\ntraffic\n{line}");
    let plan = "plan p share 100 %, rate 1 units/s, burst 5 units, price 1, spread 1 gateway";
    vec![
        // File size, lines, characters and title.
        (String::new(), "1:1: a file must begin with `scenario` and a title in quotes"),
        ("# nothing\n\n".into(), "1:1: a file must begin with `scenario` and a title in quotes"),
        ("site\n".into(), "1:1: a file must begin with `scenario` and a title in quotes"),
        (" ".repeat(262_145), "1:1: the file has 262145 bytes; the maximum is 262144"),
        (top(&"#".repeat(1001)), "2:1: the line has 1001 bytes; the maximum is 1000"),
        (top("length\u{7} 5 s"), "2:7: the character U+0007 is not allowed"),
        (top("# a\rb"), "2:4: the character U+000D is not allowed"),
        (top("# \u{202e}b"), "2:3: the character U+202E is not allowed"),
        (top("length 5 s; site"), "2:11: unexpected character `;`"),
        ("scenario \"a night".into(), "1:10: the quoted string that begins here has no closing quote"),
        ("scenario \"a night\\".into(), "1:10: the quoted string that begins here has no closing quote"),
        ("scenario \"a\\night\"".into(), "1:12: in a quoted string, `\\` is only allowed before `\"` and `\\`"),
        ("scenario \"\"".into(), "1:10: a title must have 1 to 200 characters, and this one has 0"),
        ("scenario night".into(), "1:10: expected a title in quotes, found `night`"),
        ("scenario \"x\" 60 s".into(), "1:14: expected the end of the line, found `60`"),
        (top("scenario \"y\""), "2:1: `scenario` is given twice, first in line 1"),
        (site("traffic\nsite"), "4:1: `site` is given twice, first in line 2"),
        (top("length 5 s\nlength 5 s"), "3:1: `length` is given twice, first in line 2"),
        (top("41 % of the hosts"), "2:1: expected a keyword, found `41`"),
        // Unknown and misplaced words.
        (top("sites"), "2:1: unknown key `sites`; did you mean `site`?"),
        (top("balance 3"), "2:1: unknown key `balance`"),
        (top("hosts 3"), "2:1: `hosts` is not allowed here: it belongs in the section `site`"),
        (top("kill all hosts"), "2:1: `kill` is not allowed here: it belongs after `at` and a time, as in `at 10 s: ...`"),
        (site("cores 3"), "3:1: `cores` is not allowed here: it belongs in a line `host` of the section `site`"),
        (traffic("hosts 3"), "3:1: `hosts` is not allowed here: it belongs in the section `site`"),
        (site("hsots 3"), "3:1: unknown key `hsots`; did you mean `hosts`?"),
        (site("host cores 2, slot 3"), "3:15: unknown key `slot`; did you mean `slots`?"),
        (site("host cores 2 slots 3"), "3:14: expected a comma or the end of the line, found `slots`"),
        (site("host cores 2,"), "3:14: expected a key, found the end of the line"),
        (site("host cores 2\nhost cores 3"), "4:6: `cores` is given twice, first in line 3"),
        (site("counter on, off"), "3:13: `off` is given twice, first in line 3"),
        (site("second-copies maybe"), "3:15: unknown value `maybe`"),
        // Numbers and units.
        (top("length 60"), "2:10: `length` needs a unit: ns, us, ms, s, min or h"),
        (top("length 60 seconds"), "2:11: `length` is given in ns, us, ms, s, min or h, not in `seconds`"),
        (top("length 60 %"), "2:11: `length` is given in ns, us, ms, s, min or h, not in `%`"),
        (top("length five s"), "2:8: expected a number for `length`, found `five`"),
        (top("length NaN s"), "2:8: expected a number for `length`, found `NaN`"),
        (top("length -5 s"), "2:8: `length` is -5, but must not be negative"),
        (top("length 0.0000000001 s"), "2:8: `length` is finer than a nanosecond"),
        (top("length 3 h"), "2:8: `length` is 3, but must be from 1 ms to 2 h"),
        (top("length 0 s"), "2:8: `length` is 0, but must be from 1 ms to 2 h"),
        (
            top(&format!("length {} s", "9".repeat(60))),
            "2:8: `length` is 9999999999999999999999999999999999999999..., but must be from 1 ms to 2 h",
        ),
        (site("gateways 0"), "3:10: `gateways` is 0, but must be from 1 to 1000"),
        (site("gateways 1001"), "3:10: `gateways` is 1001, but must be from 1 to 1000"),
        (site("gateways 2.5"), "3:10: `gateways` is 2.5, but must be an integer"),
        (site("gateways 1e2"), "3:11: expected a comma or the end of the line, found `e2`"),
        (site("hosts 0"), "3:7: `hosts` is 0, but must be from 1 to 1000"),
        (site("hosts 4294967297"), "3:7: `hosts` is 4294967297, but must be from 1 to 1000"),
        (site("hosts 1,000"), "3:9: expected a key, found `000`"),
        (site("memory 192"), "3:11: `memory` needs a unit: MB"),
        (site("memory 192 MiB"), "3:12: `memory` is given in MB, not in `MiB`"),
        (site("host cold 125 % for 10 s"), "3:11: `cold` is 125, but must be from 1 % to 100 %"),
        (site("host cold 25 for 10 s"), "3:14: `cold` needs a unit: %"),
        (site("host cold 0.25 s"), "3:16: `cold` is given in %, not in `s`"),
        (site("host cold 25 % over 10 s"), "3:16: expected `for`, found `over`"),
        (site("network window 1.0001 KiB"), "3:16: `window` is finer than a byte"),
        (site("discovery notice 3 s to 1 s"), "3:18: the range of `notice` is inverted: 3 s to 1 s"),
        (traffic("rate 130"), "3:9: `rate` needs a unit: requests/s"),
        (traffic("rate 130 requests/min"), "3:10: `rate` is given in requests/s, not in `requests/min`"),
        (
            traffic("rate 100001 requests/s"),
            "3:6: `rate` is 100001, but must be from 0.1 requests/s to 100000 requests/s",
        ),
        (traffic("heavy 10 % 4.9"), "3:12: expected `x`, found `4.9`"),
        (traffic("calm-use 50 % to 15 %"), "3:10: the range of `calm-use` is inverted: 50 % to 15 %"),
        (traffic("full 60 %, heavy 45 % x 2"), "3:12: `full`, `heavy`, `spiky` and `greedy` add up to 120 % of the customers"),
        // Classes and plans.
        (site("class price-read aim 2 s"), "3:18: class `price-read` has a deadline of 1.5 s, which is shorter than its aim of 2 s"),
        (site("class price-read share 80 %"), "3:18: the shares of the classes add up to 96 %, not to 100 %"),
        (site("only plans premium"), "3:6: the shares of the plans add up to 52 %, not to 100 %"),
        (site("only classes price-raed"), "3:14: unknown class `price-raed`; did you mean `price-read`?"),
        (site("only plans premium, premium"), "3:21: plan `premium` is named twice"),
        (site("only hosts 3"), "3:6: unknown list `hosts`"),
        (site("class bulk/day share 3 %"), "3:7: invalid name `bulk/day`: a name has 1 to 32 letters, digits, `-` and `_`, and begins with a letter"),
        (site("class bulk share 0 %, work 5 ms, safe"), "3:7: class `bulk` is new and also needs `aim`, `deadline` and `worth`"),
        (site("plan p share 0 %, rate 5 units/s, burst 5 units, price 1"), "3:6: plan `p` is new and also needs `spread`"),
        (site(&format!("{plan}\nonly plans premium")), "3:6: plan `p` is defined here but left out in line 4"),
        (site("gateways 2\nplan premium spread 3 gateways"), "4:14: plan `premium` has a spread of 3, and the site has 2 gateways"),
        (site("plan premium ceiling-rate 9 units/s"), "3:14: plan `premium` has a ceiling, which needs a `ceiling-burst` above 0 units"),
        (
            site("plan standard rate 0.01 units/s\ntraffic\nrate 10000 requests/s"),
            "5:1: plan `standard` would need 1175510 customers or more to reach its share; the maximum is 100000",
        ),
        (site("class price-read keyed 5 s"), "3:24: expected `for`, found `5`"),
        (
            site(&(1..20).map(|n| format!("{}\n", plan.replace("plan p", &format!("plan p{n}")))).collect::<String>()),
            "21:6: there are 21 plans; the maximum is 20",
        ),
        // Events.
        (top("at 10: add 4 hosts"), "2:6: `at` needs a unit: ns, us, ms, s, min or h"),
        (top("at 10 s add 4 hosts"), "2:9: expected `:`, found `add`"),
        (top("at 10 s:"), "2:9: expected an event, found the end of the line"),
        (top("at 10 s: kil all hosts"), "2:10: unknown event `kil`; did you mean `kill`?"),
        (top("at 61 s: add 4 hosts"), "2:4: the run ends after 60 s"),
        (top("at 10 s: add 4"), "2:15: `add` needs a unit: hosts"),
        (top("at 10 s: add 991 hosts"), "2:10: this event brings the total to 1001 hosts; the maximum is 1000"),
        (top("at 10 s: add 4 hosts now"), "2:22: expected the end of the line, found `now`"),
        (top("at 10 s: kill 41 % of the servers"), "2:27: expected `gateways` or `hosts`, found `servers`"),
        (top("at 10 s: kill 0 % of the hosts"), "2:15: `share` is 0, but must be from 0.01 % to 100 %"),
        (top("at 10 s: kill 0 hosts"), "2:15: `count` is 0, but must be from 1 to 1000"),
        (top("at 10 s: kill 4 gateways"), "2:15: there are no 4 gateways: the site has 3 gateways"),
        (top("at 10 s: kill gateways 1, 4"), "2:27: there is no gateway 4: the site has 3 gateways"),
        (top("at 10 s: kill host 0"), "2:20: `host` is 0, but must be from 1 to 1000"),
        (top("at 10 s: kill hosts 2, 2"), "2:24: host 2 is named twice"),
        (top("at 10 s: kill hosts 11 for 3 s"), "2:21: there is no host 11: the total by then is 10 hosts"),
        (top("at 10 s: kill all hosts for ever"), "2:29: expected a number for `for`, found `ever`"),
        (
            top(&format!("at 10 s: kill hosts {}1", "1, ".repeat(100))),
            "2:321: an event may list at most 100 machines; use a share or a count for more",
        ),
        // Triggers.
        (top("when: add 4 hosts"), "2:5: expected a trigger, found `:`"),
        (top("when cal 3 from gateway 1 to the counter: add 4 hosts"), "2:6: unknown trigger `cal`; did you mean `call`?"),
        (top("when call 0 from gateway 1 to the counter: add 4 hosts"), "2:11: `call` is 0, but must be from 1 to 1000000"),
        (top("when call 3 from gateway 4 to the counter: add 4 hosts"), "2:26: there is no gateway 4: the site has 3 gateways"),
        (top("when call 3 from gateway 1 to host 11: add 4 hosts"), "2:36: there is no host 11: the total by then is 10 hosts"),
        (top("when call 3 from gateway 1 to the clients: add 4 hosts"), "2:35: expected `counter`, found `clients`"),
        (site("counter off\nwhen call 3 from gateway 1 to the counter: add 4 hosts"), "4:26: the site has no counter"),
        (top("when gateway 2 says \"x\": add 4 hosts"), "2:16: unknown trigger of a gateway `says`"),
        (top("when gateway 2 logs \"\": add 4 hosts"), "2:21: the text of a log line must have 1 to 200 characters, and this one has 0"),
        (top("when gateway 2 logs counter: add 4 hosts"), "2:21: expected a part of a log line in quotes, found `counter`"),
        (top("when gateway 2 is told that host 3 runs: add 4 hosts"), "2:36: unknown state of a host `runs`"),
        (top("when host 3 is drained: add 4 hosts"), "2:16: expected `told`, found `drained`"),
        (top("when host 3 ends by 5 s: add 4 hosts"), "2:18: expected `:`, found `by`"),
        (top("when host 3 ends, by 61 s: add 4 hosts"), "2:22: the run ends after 60 s"),
        (top("when host 3 ends, by 5: add 4 hosts"), "2:23: `by` needs a unit: ns, us, ms, s, min or h"),
        (top("when host 3 ends: traffic x 2 for 3 s"), "2:19: `traffic` is only allowed after `at`: clients plan their load in advance"),
        (top("when host 3 ends: lean to building 1 x 2 for 3 s"), "2:19: `lean` is only allowed after `at`: clients plan their load in advance"),
        (top("at 10 s: pause 2 gateways for 3 s"), "2:18: expected `hosts`, found `gateways`"),
        (top("at 10 s: slow 2 clients x 3 for 3 s"), "2:17: expected `gateways` or `hosts`, found `clients`"),
        (top("at 10 s: freeze 2 hosts for 3 s"), "2:19: expected `gateways`, found `hosts`"),
        (top("at 10 s: links gateway 1 to hots 3 hold for 3 s"), "2:29: expected `hosts`, found `hots`"),
        (top("at 10 s: links gateway 1 to host 30 hold for 3 s"), "2:34: there is no host 30: the total by then is 10 hosts"),
        (top("at 10 s: links gateway 1 to host 3 holds for 3 s"), "2:36: unknown link fault `holds`; did you mean `hold`?"),
        (top("at 10 s: links gateway 4 to host 3 hold for 3 s"), "2:24: there is no gateway 4: the site has 3 gateways"),
        (top("at 10 s: links gateway 1 to host 3 narrow 10 for 3 s"), "2:46: `narrow` needs a unit: KiB/s"),
        (top("at 10 s: links gateway 1 to host 3 hold"), "2:40: expected `for`, found the end of the line"),
        (top("at 10 s: lose building 4 for 3 s"), "2:24: there is no building 4: the site has 3 buildings"),
        (top("at 10 s: cut off building 4 for 3 s"), "2:27: there is no building 4: the site has 3 buildings"),
        (site("counter building 4"), "3:9: there is no building 4: the site has 3 buildings"),
        (site("counter off\nat 10 s: links gateway 1 to the counter reset"), "4:10: the site has no counter"),
        (top("at 10 s: slow 2 hosts x 0.5 for 3 s"), "2:25: `x` is 0.5, but must be from x 1 to x 1000"),
        (top("at 10 s: drain 3 hosts over 5 s"), "2:32: expected `,`, found the end of the line"),
        (top("at 10 s: traffic x 2 for 3 s, rising in 2 s"), "2:10: traffic rises for 2 s and falls for as long, but the event lasts only 3 s"),
        (top("at 10 s: heavy 2 % of price-reed x 20 for 20 s"), "2:23: unknown class `price-reed`; did you mean `price-read`?"),
        (top("at 10 s: garble 3 % of the host's answers for 20 s"), "2:28: unknown owner of answers `host's`; did you mean `hosts'`?"),
        (top("at 10 s: cut building 4 from gateway 1 for 3 s"), "2:23: there is no building 4: the site has 3 buildings"),
        (top("at 10 s: cut host 2 from host 2 for 3 s"), "2:10: both sides of the cut are the same"),
        (top("at 10 s: cut host 2 from building 1 for 3 s, with reset"), "2:51: expected `resets`, found `reset`"),
        (top("at 10 s: counter gone for 3 s"), "2:18: unknown counter fault `gone`"),
        (top("at 10 s: counter slow 80 to 500 ms for 3 s"), "2:26: `slow` needs a unit: ns, us, ms, s, min or h"),
        (top("at 10 s: counter split 1 2 3 for 3 s"), "2:30: expected `|` and another group of gateways, found `for`"),
        (top("at 10 s: counter split 1 | 3 for 3 s"), "2:10: a split must assign each gateway to a group: gateway 2 is missing"),
        (top("at 10 s: counter split 1 2 | 2 3 for 3 s"), "2:30: gateway 2 is named twice"),
        (top("at 10 s: counter fresh for 3 s"), "2:24: expected the end of the line, found `for`"),
        (site("counter off\nat 10 s: counter lost for 3 s"), "4:10: the site has no counter"),
        (site("counter off\nat 10 s: garble 2 % of the counter's answers for 3 s"), "4:10: the site has no counter"),
        (site("counter off\nat 10 s: stop the counter for 3 s"), "4:10: the site has no counter"),
        (site("counter off\nat 10 s: cut the counter from host 1 for 3 s"), "4:10: the site has no counter"),
        (top("at 10 s: discovery late for 3 s"), "2:25: expected `by`, found `for`"),
        (top("at 10 s: 10 % of clients leave early for 3 s"), "2:18: expected `the`, found `clients`"),
        // Of several errors, the first in the order of the text.
        (top("length 5\nlengt 5 s"), "2:9: `length` needs a unit: ns, us, ms, s, min or h"),
        (top("at 90 s: kill host 12\nsite\nclass price-read share 5 %"), "2:4: the run ends after 60 s"),
    ]
}

#[test]
fn each_invalid_file_gets_one_message_with_file_position_and_reason() {
    let invalid = invalid_files();
    assert!(invalid.len() >= 40);
    let mismatches: Vec<String> = invalid
        .iter()
        .filter_map(|(text, expected)| {
            let message = match parse("dir/bad.scenario", text) {
                Ok(_) => "no message".to_owned(),
                Err(error) => error.to_string(),
            };
            (message != format!("dir/bad.scenario:{expected}"))
                .then(|| format!("{message}\n  not {expected}\n"))
        })
        .collect();
    assert!(mismatches.is_empty(), "{}", mismatches.concat());
}

#[test]
fn a_message_is_one_line_for_a_file_name_with_control_characters() {
    let error = parse("a\nb\u{1b}[2J", "scenario").unwrap_err();
    assert_eq!(error.to_string(), "a?b?[2J:1:9: expected a title in quotes, found the end of the line");
}

/// Truncates a random scenario, or changes or removes one of its characters, at random positions: the parser
/// must not panic, and an error must be one line.
#[test]
fn damaged_files_are_parsed_or_rejected_without_a_panic() {
    let mut rng = Rng::stream(3, "spoil", 0);
    let text = to_text(&random_scenario(&mut rng));
    let alphabet: Vec<char> = "x1 %:,|\"\\#-.\n\t\u{e9}\u{0}".chars().collect();
    for _ in 0..3000 {
        let mut characters: Vec<char> = text.chars().collect();
        let at = rng.below(characters.len() as u64) as usize;
        match rng.below(3) {
            0 => characters.truncate(at),
            1 => characters[at] = alphabet[rng.below(alphabet.len() as u64) as usize],
            _ => drop(characters.remove(at)),
        }
        let damaged: String = characters.into_iter().collect();
        if let Err(error) = parse("x", &damaged) {
            let message = error.to_string();
            assert!(message.starts_with("x:") && message.lines().count() == 1, "{message}");
        }
    }
}

#[test]
fn random_scenarios_are_unchanged_after_formatting_and_parsing() {
    for number in 0..400 {
        let scenario = random_scenario(&mut Rng::stream(11, "scenario", number));
        let text = to_text(&scenario);
        let file = format!("{}.scenario", scenario.name);
        let parsed = parse(&file, &text).unwrap_or_else(|error| panic!("{error}\n{text}"));
        assert_eq!(without_line_numbers(parsed.clone()), scenario, "{text}");
        assert_eq!(to_text(&parsed), text);
        assert!(text.lines().all(|line| line.len() <= 1000));
    }
}

#[test]
fn default_values_are_not_formatted() {
    assert_eq!(Scenario::default().to_string(), "scenario \"A calm day\"\nlength 60 s\n");
    // The spread that a smaller site limits by default is not formatted either.
    let small = "scenario \"x\"\nlength 60 s\n\nsite\n  gateways 1\n";
    assert_eq!(parse_valid(small).to_string(), small);
    let mut scenario =
        parse_valid("scenario \"x\"\nsite\nhost cores 4, cold 30 % for 1 s\nat 5 s: add 1 hosts");
    scenario.site.plans.swap(0, 1);
    scenario.site.plans[0].burst = 70.5;
    assert_eq!(
        scenario.to_string(),
        "scenario \"x\"\nlength 60 s\n\nsite\n  host cores 4, cold 30 % for 1 s\n  plan premium burst 70.5 units\n  \
         only plans premium, standard\n\nat 5 s: add 1 host\n"
    );
}

#[test]
fn shipped_scenarios_are_valid_and_have_the_expected_sites_and_events() {
    let names: Vec<&str> = shipped().iter().map(|(name, _)| *name).collect();
    let expected = [
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
    assert_eq!(names, expected);
    let (sites, fleets) = shipped().split_at(18);
    for (name, text) in fleets {
        let scenario = parse(name, text).unwrap();
        assert_eq!((scenario.site.gateways, scenario.site.hosts), (300, 150), "{name}");
        for gateways in [3, 30, 60, 150, 1000] {
            // Each event also fits a site of a few machines.
            let resized = to_text(&scenario.clone().with_gateways(gateways));
            parse(name, &resized).unwrap_or_else(|error| panic!("{gateways}: {error}"));
        }
    }
    for (name, text) in sites {
        let scenario = parse(&format!("scenarios/{name}.scenario"), text).unwrap();
        assert_eq!((scenario.name.as_str(), find(name)), (*name, Some(*text)));
        let has_default_site = !["building-lost", "site-lost"].contains(name);
        assert_eq!(scenario.site == Site::default(), has_default_site, "{name}");
        assert_eq!(scenario.traffic, Traffic::default(), "{name}");
        assert_eq!(scenario.events.is_empty(), *name == "calm");
    }
    let night = parse("night", find("night").unwrap()).unwrap();
    let events: Vec<_> =
        night.events.into_iter().map(|scheduled| (scheduled.at / SECOND, scheduled.event)).collect();
    let expected = [
        (20, Event::Traffic(1.8, 10 * SECOND, 500 * MS)),
        (22, Event::KillGateways(Selector::Share(0.41), Some(6 * SECOND))),
    ];
    assert_eq!(events, expected);
    assert_eq!(find("no-such"), None);
}

// Random scenarios. The struct literals name all fields, so that a new field does not compile until it is
// generated here as well.

fn random_scenario(rng: &mut Rng) -> Scenario {
    let site = random_site(rng);
    let length = span(rng, 10 * SECOND, MAX_LENGTH);
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

/// Returns a random span, often a multiple of a larger unit.
fn span(rng: &mut Rng, low: u64, high: u64) -> u64 {
    let unit = [1, 1_000, MS, 10 * MS, SECOND, 60 * SECOND][rng.below(6) as usize];
    let value = low + rng.below(high - low + 1);
    (value / unit * unit).max(low)
}

/// Returns a random number, often with two decimals or one of the bounds.
fn number(rng: &mut Rng, low: f64, high: f64) -> f64 {
    let value = rng.between(low, high);
    match rng.below(4) {
        0 => value,
        1 => low,
        2 => high,
        _ => ((value * 100.0) as u64 as f64 / 100.0).max(low),
    }
}

fn share(rng: &mut Rng) -> f64 {
    number(rng, 0.0, 1.0)
}

fn nonzero_share(rng: &mut Rng) -> f64 {
    number(rng, 0.01, 1.0)
}

fn ordered<T: PartialOrd>(a: T, b: T) -> (T, T) {
    if a <= b {
        (a, b)
    } else {
        (b, a)
    }
}

/// Returns `count` shares that add up to 1.
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
            enabled: rng.chance(0.8),
            shards: count(rng, 1, 100),
            calls_per_s: number(rng, 1.0, 1e6),
            service_time: span(rng, 0, SECOND),
            queue: count(rng, 0, 1000),
            timeout: span(rng, MS, SECOND),
            building: 1,
        },
        discovery: DiscoverySpec { update_delay: span_range(rng), crash_detection_delay: span_range(rng) },
        network: NetworkSpec {
            intra_building: span(rng, 1_000, SECOND),
            inter_building: span(rng, 1_000, SECOND),
            client: span(rng, 1_000, SECOND),
            jitter: share(rng),
            window: count(rng, 1024, 16 << 20),
        },
        classes: random_classes(rng),
        plans: random_plans(rng, gateways),
        rules: RulesSpec {
            drain_grace: span(rng, 0, SECOND),
            overload_factor: number(rng, 0.1, 1000.0),
            overload_span: span(rng, MS, 10 * SECOND),
            deadline_slack: span(rng, 0, SECOND),
        },
        file_descriptors: count(rng, 64, 1_000_000),
        memory_mb: count(rng, 16, 1_000_000),
        retry_after: rng.chance(0.5).then(|| span(rng, MS, 60 * SECOND)),
        max_attempts: count(rng, 1, 16),
        start_jitter: span(rng, 0, 1500 * MS),
        hedging: rng.chance(0.5),
    };
    if rng.chance(0.3) {
        site.host = HostSpec::default();
        site.network = NetworkSpec { window: site.network.window, ..NetworkSpec::default() };
        site.rules = RulesSpec::default();
    }
    site
}

fn span_range(rng: &mut Rng) -> (u64, u64) {
    ordered(span(rng, 0, 600 * SECOND), span(rng, 0, 600 * SECOND))
}

fn random_host(rng: &mut Rng) -> HostSpec {
    HostSpec {
        cores: count(rng, 1, 256),
        speed: number(rng, 0.01, 100.0),
        speed_spread: number(rng, 0.0, 0.9),
        slots: count(rng, 1, 10_000),
        queue: count(rng, 0, 100_000),
        thrash_threshold: number(rng, 0.1, 1000.0),
        thrash_loss: share(rng),
        warmup_share: nonzero_share(rng),
        warmup: span(rng, 0, 60 * SECOND),
        connections: count(rng, 1, 1_000_000),
        handshake: span(rng, 0, SECOND),
        error_rate: share(rng),
        idle_timeout: span(rng, 10 * MS, 60 * SECOND),
    }
}

/// Returns some of the default names and some new ones, in random order.
fn names(rng: &mut Rng, defaults: [&str; 2]) -> Vec<String> {
    let mut names: Vec<String> = defaults.iter().map(|name| name.to_string()).collect();
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
        let (latency_objective, deadline) = ordered(span(rng, MS, 60 * SECOND), span(rng, MS, 60 * SECOND));
        let effects = [
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
            Idempotency::Keyed(span(rng, MS, 60 * SECOND)),
        ];
        ClassSpec {
            name,
            share,
            work: span(rng, 1_000, SECOND),
            work_cv: number(rng, 0.0, 10.0),
            latency_objective,
            deadline,
            priority_weight: number(rng, 0.0, 1e6),
            late_weight_share: rng.unit(),
            idempotency: effects[rng.below(3) as usize],
        }
    };
    names.into_iter().zip(shares).map(class).collect()
}

fn random_plans(rng: &mut Rng, gateways: u32) -> Vec<PlanSpec> {
    let names = names(rng, ["standard", "premium"]);
    let shares = shares(rng, names.len());
    let plan = |(name, share): (String, f64)| {
        let has_ceiling = rng.chance(0.5);
        PlanSpec {
            name,
            share,
            rate: number(rng, 10.0, 1e6),
            burst: number(rng, 0.1, 1e6),
            max_in_flight: count(rng, 0, 100),
            weight_factor: number(rng, 0.0, 100.0),
            over_quota_weight_share: rng.unit(),
            over_quota_cost: number(rng, 0.0, 10.0),
            ceiling_rate: if has_ceiling { number(rng, 0.0, 1e6) } else { 0.0 },
            ceiling_burst: if has_ceiling { number(rng, 0.1, 1e6) } else { 0.0 },
            ceiling_slack: number(rng, 0.0, 100.0),
            spread: count(rng, 1, gateways),
        }
    };
    names.into_iter().zip(shares).map(plan).collect()
}

fn random_traffic(rng: &mut Rng) -> Traffic {
    Traffic {
        rate: number(rng, 0.1, 5000.0),
        max_units: count(rng, 1, 1000),
        estimate_cv: number(rng, 0.0, 10.0),
        normal_use: ordered(share(rng), share(rng)),
        near_quota: rng.between(0.0, 0.3),
        heavy: (rng.between(0.0, 0.3), number(rng, 1.0, 100.0)),
        bursty: (rng.between(0.0, 0.3), number(rng, 1.0, 100.0)),
        greedy: (rng.between(0.0, 0.1), number(rng, 1.0, 100.0)),
        max_excess: number(rng, 0.0, 10.0),
        skew: number(rng, 0.0, 10.0),
        gateway_imbalance: number(rng, 0.0, 10.0),
        imbalance_interval: span(rng, 100 * MS, 3600 * SECOND),
        retries: count(rng, 0, 10),
        backoff: span(rng, 0, 60 * SECOND),
        follows_retry_after: share(rng),
        request_timeout_share: ordered(nonzero_share(rng), nonzero_share(rng)),
        early_disconnects: share(rng),
        front_detection_delay: span(rng, 0, 60 * SECOND),
    }
}

fn random_events(rng: &mut Rng, site: &Site, length: u64) -> Vec<ScheduledEvent> {
    let count = rng.below(12);
    let at = |rng: &mut Rng| if rng.chance(0.2) { length } else { span(rng, 0, length) };
    let mut events: Vec<ScheduledEvent> = (0..count)
        .map(|_| ScheduledEvent { at: at(rng), trigger: None, line: 0, event: random_event(rng, site) })
        .collect();
    if !site.counter.enabled {
        events.retain(|scheduled| !format!("{}", scheduled.event).contains("counter"));
    }
    events
}

/// Returns a random selector for `all` machines.
fn selector(rng: &mut Rng, all: u32) -> Selector {
    match rng.below(4) {
        0 => Selector::All,
        1 => Selector::Share(nonzero_share(rng)),
        2 => Selector::Count(count(rng, 1, all)),
        _ => {
            let mut numbers: Vec<u32> = (1..=all).collect();
            rng.shuffle(&mut numbers);
            numbers.truncate(count(rng, 1, 100) as usize);
            Selector::Numbers(numbers)
        }
    }
}

fn duration(rng: &mut Rng) -> u64 {
    span(rng, MS, MAX_LENGTH)
}

fn random_event(rng: &mut Rng, site: &Site) -> Event {
    let (gateways, hosts) = (selector(rng, site.gateways), selector(rng, site.hosts));
    let (duration_ns, factor, part) = (duration(rng), number(rng, 1.0, 1000.0), nonzero_share(rng));
    let downtime = rng.chance(0.5).then_some(duration_ns);
    match rng.below(30) {
        0 => Event::KillGateways(gateways, downtime),
        1 => Event::RestartGateways(gateways, if rng.chance(0.5) { 0 } else { duration_ns }),
        2 => Event::ReloadGateways(gateways),
        3 => Event::Traffic(
            number(rng, 0.0, 1000.0),
            duration_ns,
            if rng.chance(0.5) { 0 } else { duration_ns / 2 },
        ),
        4 => Event::SlowHosts(hosts, factor, duration_ns),
        5 => Event::PauseHosts(hosts, duration_ns),
        6 => Event::DrainHosts(hosts, span(rng, 0, 60 * SECOND), span(rng, 0, 60 * SECOND)),
        7 => Event::KillHosts(hosts, downtime),
        8 => Event::RestartHosts(hosts),
        9 => Event::AddHosts(count(rng, 1, 10)),
        // Only a few, since the total number of hosts is limited.
        10 => Event::ReplaceHosts(Selector::Count(count(rng, 1, site.hosts.min(10))), rng.chance(0.5)),
        11 => Event::ExpensiveRequests(site.classes[0].name.clone(), part, factor, duration_ns),
        12 => Event::CorruptHostResponses(part, duration_ns),
        13 => Event::CorruptCounterReplies(part, duration_ns),
        14 => random_partition(rng, site),
        15 => random_counter_fault(rng, site.gateways),
        17 => Event::RequestFaults(RequestFault::Dropped, part, hosts, duration_ns),
        18 => Event::RequestFaults(RequestFault::ConnectionReset, part, hosts, duration_ns),
        25 => Event::SkewTraffic(count(rng, 1, site.buildings), number(rng, 0.01, 100.0), duration_ns),
        19 => Event::StaleConnections(duration_ns, hosts, duration(rng)),
        20 => Event::SuspendGateways(gateways, duration_ns),
        26 => Event::FreezeGateways(gateways, duration_ns),
        27 => Event::SuspendHosts(hosts, duration_ns),
        28 => Event::SuspendCounter(duration_ns),
        29 => Event::ClockOffset(
            gateways,
            if rng.chance(0.5) { duration_ns as i64 } else { -(duration_ns as i64) },
        ),
        21 => Event::SlowGateways(gateways, factor, duration_ns),
        22 => Event::PowerLoss(count(rng, 1, site.buildings), duration_ns),
        23 => Event::IsolateBuilding(count(rng, 1, site.buildings), duration_ns),
        24 => random_links(rng, gateways, site.hosts),
        16 => {
            let delayed = DiscoveryFault::Delayed(duration(rng));
            let watch_reset = DiscoveryFault::WatchReset(duration(rng));
            let faults = [
                DiscoveryFault::Stalled,
                delayed,
                DiscoveryFault::Duplicated,
                DiscoveryFault::Reordered,
                watch_reset,
            ];
            Event::Discovery(faults[rng.below(5) as usize].clone(), duration_ns)
        }
        _ => Event::EarlyDisconnects(part, duration_ns),
    }
}

fn random_links(rng: &mut Rng, gateways: Selector, hosts: u32) -> Event {
    // Two long lists of numbers would exceed the maximum length of a line.
    let hosts = Selector::Count(count(rng, 1, hosts));
    let ends = [LinkEnd::Clients, LinkEnd::Hosts(hosts), LinkEnd::Counter, LinkEnd::Discovery];
    let end = ends[rng.below(4) as usize].clone();
    let direction = [LinkDirection::Both, LinkDirection::FromInitiator, LinkDirection::ToInitiator]
        [rng.below(3) as usize];
    let (from, to) = ordered(span(rng, 0, SECOND), span(rng, 0, SECOND));
    let fault = match rng.below(6) {
        0 => LinkFault::Hold(direction),
        1 => LinkFault::Blackhole(direction),
        2 => LinkFault::Delay(from, to),
        3 => LinkFault::RateLimit(number(rng, 0.1, 1e6)),
        4 => return Event::Links(gateways, end, LinkFault::Reset, 0),
        _ => LinkFault::Flap(duration(rng)),
    };
    Event::Links(gateways, end, fault, duration(rng))
}

fn random_partition(rng: &mut Rng, site: &Site) -> Event {
    let one = [
        PartitionSide::Building(count(rng, 1, site.buildings)),
        PartitionSide::Gateway(count(rng, 1, site.gateways)),
    ];
    let other =
        [PartitionSide::Host(count(rng, 1, site.hosts)), PartitionSide::Counter, PartitionSide::Clients];
    let (one, other) = (one[rng.below(2) as usize].clone(), other[rng.below(3) as usize].clone());
    Event::Partition(one, other, duration(rng), rng.chance(0.5))
}

fn random_counter_fault(rng: &mut Rng, gateways: u32) -> Event {
    let duration_ns = duration(rng);
    let fault = match rng.below(8) {
        0 => CounterFault::Unreachable,
        1 => CounterFault::DropCalls,
        2 => CounterFault::DropReplies,
        3 => {
            let (from, to) = span_range(rng);
            CounterFault::DelayReplies(from, to)
        }
        4 if gateways > 1 => {
            let mut first_group: Vec<u32> = (1..=gateways).collect();
            rng.shuffle(&mut first_group);
            let second_group = first_group.split_off(count(rng, 1, gateways - 1) as usize);
            CounterFault::SplitBrain(vec![first_group, second_group])
        }
        5 => return Event::Counter(CounterFault::Reset, 0),
        6 => CounterFault::Flapping(duration(rng)),
        _ => CounterFault::Overloaded,
    };
    Event::Counter(fault, duration_ns)
}
