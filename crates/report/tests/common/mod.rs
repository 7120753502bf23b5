//! Verdicts made by hand, for tests and the example: no site has played them.

use cluster_model::rng::Rng;
use invariants::*;
use report::Heading;

/// Seconds of the night.
const SECONDS: u32 = 60;
/// Hosts at its start; two more come later.
const HOSTS: usize = 10;

/// A night of 60 s: traffic jumps at 20 s, a gateway is killed at 22 s, and one rule is broken.
pub fn night() -> (Verdict, Heading) {
    let mut rng = Rng::stream(41, "night", 0);
    let timeline: Vec<SecondFigures> = (0..SECONDS).map(|second| one_second(&mut rng, second)).collect();
    let sum = |figure: fn(&SecondFigures) -> u32| timeline.iter().map(|s| u64::from(figure(s))).sum::<u64>();
    let counts = Counts {
        asked: sum(|s| s.offered),
        served: sum(|s| s.served) + sum(|s| s.late),
        within_objective: sum(|s| s.served),
        refused: sum(|s| s.refused),
        failed: sum(|s| s.failed),
        left: 9,
    };
    let verdict = Verdict {
        violations: vec![breach()],
        counts,
        share_served: counts.served as f64 / counts.asked as f64,
        weighted_share: 0.951,
        weighted_share_worst_10s: 0.842,
        weighted_share_worst_plan: 0.933,
        weighted_score: 0.925,
        causes: vec![
            CauseFigures { cause: Cause::ResponseLost, operations: 41, share: 0.0307 },
            CauseFigures { cause: Cause::Unsent, operations: 23, share: 0.0192 },
            CauseFigures { cause: Cause::OverQuotaCost, operations: 4, share: -0.0009 },
        ],
        classes: classes(counts),
        plans: plans(counts),
        customers: customers(&mut rng),
        hosts: hosts(&mut rng),
        attempts_per_request: 1.0371,
        counter_calls_per_request: 0.4127,
        fleet: FleetFigures {
            gateways: 3,
            counter_calls_per_s: 71.26,
            counter_rejected: 0.0124,
            connections_per_s: 12.5,
            peak_open_connections: 1_234,
            beyond_quota: 0.0431,
            first_attempt_p50_ms: 1.25,
            ..FleetFigures::default()
        },
        timeline,
        events: events(),
        notes: vec!["host 6 fell, but was not cold".into()],
    };
    (verdict, heading("The operators' night: 41 % of the gateways lost during a traffic jump"))
}

/// What a night is called.
pub fn heading(title: &str) -> Heading {
    Heading {
        title: title.into(),
        site: "iasi-park".into(),
        seed: 7,
        length_s: f64::from(SECONDS),
        virtual_time: true,
        wall_s: Some(1.62),
        digest: Some("5f0c6e1b9d3a47c2a8e4f7106b92d35c1e8f04a7b6d9325cc07e41f8a2b3d596".into()),
    }
}

fn breach() -> Violation {
    Violation {
        rule: Rule::SlowStart,
        at_s: 36.482,
        text: "Host 10 was pushed over 4.48 s after it had started: gateways 1 and 3, which knew it to be \
               cold, had sent 3.4 times what it could do for 1.5 s."
            .into(),
    }
}

fn events() -> Vec<(f64, String)> {
    let event = |at: f64, text: &str| (at, text.to_owned());
    vec![
        event(20.0, "traffic is 1.8 times the usual for 18 s"),
        event(22.0, "kill 41 % of the gateways (gateway 2) for 6 s"),
        event(22.0, "host 3 works 4 times slower for 10 s"),
        event(23.0, "host 7 dies without a word and comes back after 8 s"),
        event(32.0, "2 new hosts come into service, cold"),
        event(45.0, "the counter is lost for 6 s"),
    ]
}

fn one_second(rng: &mut Rng, second: u32) -> SecondFigures {
    let jump = (20..38).contains(&second);
    let outage = (22..28).contains(&second);
    let no_counter = (45..51).contains(&second);
    let offered = (130.0 * if jump { 1.8 } else { 1.0 } + 9.0 * rng.normal()) as u32;
    let part = |share: f64, rng: &mut Rng| (f64::from(offered) * share * rng.between(0.6, 1.4)) as u32;
    let refused = part(if jump { 0.09 } else { 0.012 }, rng);
    let failed = part(if (22..24).contains(&second) { 0.14 } else { 0.001 }, rng);
    let late = part(if jump { 0.05 } else { 0.006 }, rng);
    let units = f64::from(offered - refused) * 2.1;
    SecondFigures {
        offered,
        served: offered - refused - failed - late,
        late,
        refused,
        failed,
        units: vec![units * 0.47 * rng.between(0.9, 1.1), units * 0.53 * rng.between(0.9, 1.1)],
        quota: vec![
            196.0_f64.min(60.0 + 14.0 * f64::from(second)),
            290.0_f64.min(90.0 + 20.0 * f64::from(second)),
        ],
        busy: (0..HOSTS + 2).map(|host| busy(rng, host, second, jump)).collect(),
        gateways_up: if outage { 2 } else { 3 },
        counter_calls: if no_counter { 0 } else { part(0.41, rng) },
    }
}

fn busy(rng: &mut Rng, host: usize, second: u32, jump: bool) -> Option<f64> {
    let there = match host {
        6 => !(23..31).contains(&second),
        10 => (32..37).contains(&second),
        11 => second >= 32,
        _ => true,
    };
    let slow = host == 2 && (22..32).contains(&second);
    let cold = host >= 10 && second < 42;
    let usual = if jump { 0.82 } else { 0.5 } + if slow || cold { 0.3 } else { 0.0 };
    there.then(|| (usual + 0.07 * rng.normal()).clamp(0.0, 1.0))
}

fn classes(all: Counts) -> Vec<ClassFigures> {
    let class = |name: &str, share: f64, latency| ClassFigures {
        name: name.into(),
        counts: part(all, share),
        latency,
    };
    vec![
        class("price-read", 0.84, Latency { p50_ms: 91.4, p95_ms: 318.2, p99_ms: 742.9, max_ms: 1488.0 }),
        class("unit-order", 0.16, Latency { p50_ms: 96.0, p95_ms: 341.7, p99_ms: 918.4, max_ms: 1961.5 }),
    ]
}

fn part(all: Counts, share: f64) -> Counts {
    let of = |number: u64| (number as f64 * share) as u64;
    Counts {
        asked: of(all.asked),
        served: of(all.served),
        within_objective: of(all.within_objective),
        refused: of(all.refused),
        failed: of(all.failed),
        left: of(all.left),
    }
}

fn plans(all: Counts) -> Vec<PlanFigures> {
    let standard = PlanFigures {
        name: "standard".into(),
        counts: part(all, 0.48),
        customers: 43,
        asked_units: 9128.4,
        passed_units: 8012.7,
        beyond_units: 61.3,
        weighted_quota_share: 0.933,
        rejected_with_quota: 0.0121,
    };
    let premium = PlanFigures {
        name: "premium".into(),
        counts: part(all, 0.52),
        customers: 9,
        asked_units: 9790.0,
        passed_units: 9514.2,
        beyond_units: 7.4,
        weighted_quota_share: 0.968,
        rejected_with_quota: 0.004,
    };
    vec![standard, premium]
}

fn customers(rng: &mut Rng) -> Vec<CustomerFigures> {
    let customer = |i: u64| {
        let premium = i % 5 == 4;
        let rate = if premium { 30.0 } else { 4.5 };
        let beyond_units = (38.0 - 6.5 * i as f64).max(0.0);
        let allowed_units = rate * f64::from(SECONDS) + 23.0;
        CustomerFigures {
            customer: rng.bits(),
            plan: u32::from(premium),
            asked_units: allowed_units * rng.between(1.1, 2.4),
            passed_units: allowed_units * rng.between(0.6, 1.0),
            allowed_units,
            beyond_units,
            asked: 120 + i,
            refused: if i < 9 { 12 + i } else { 0 },
            longest_refused_s: if i < 9 { 0.4 + 0.3 * i as f64 } else { 0.0 },
        }
    };
    (0..52).map(customer).collect()
}

fn hosts(rng: &mut Rng) -> Vec<HostFigures> {
    let host = |host: u32| {
        let received = if host < 10 { 700 + rng.below(250) } else { 60 + 300 * u64::from(host - 10) };
        HostFigures {
            host,
            received,
            served: received - rng.below(12),
            rejected: rng.below(9),
            connections: 9 + rng.below(30),
            overload_crashed: host == 10,
        }
    };
    (0..12).map(host).collect()
}
