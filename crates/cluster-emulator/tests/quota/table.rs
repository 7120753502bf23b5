//! One customer that asks five times its quota, through each way in which the shared counter or the gateways
//! may fail.

use cluster_model::file;
use cluster_model::scenario::Scenario;
use invariants::Verdict;
use quota::bound::{max_overshoot, Failure, Quota};

/// One customer of 25 units a second and a burst of 46, through three gateways; hosts that never bind.
pub const SITE: &str = "
site
  gateways 3
  hosts 12
  only plans platform
  plan platform share 100 %, rate 25 units/s, burst 46 units, spread 3 gateways, price 1.6, overrun-cost 60 %
traffic
  rate 10.21 requests/s
  full 0 %, heavy 0 % x 1, spiky 0 % x 1, most-excess 1000 %
";
/// Its quota.
pub const QUOTA: Quota = Quota { rate: 25.0, burst: 46.0, set_size: 3, max_request_units: 6.0 };

/// It asks for five times its quota, the same at all gateways.
pub const GREEDY: &str = "greedy 100 % x 5";
const ALL_THROUGH_ONE: &str = "greedy 100 % x 5, skew 10, shift 60 s";

/// A way to fail.
pub struct Row {
    pub name: &'static str,
    pub length_s: u32,
    pub traffic: &'static str,
    pub events: &'static str,
    /// What the advance statement takes it for.
    pub failure: Failure,
}

/// No gateway gets an answer for so long.
fn dark(span_s: f64) -> Failure {
    Failure::counter_unreachable(span_s, &QUOTA)
}

fn apart(span_s: f64, sides: u32) -> Failure {
    Failure { duration_s: span_s, partitions: sides, counter_answers: true, counter_resets: 0 }
}

fn replaced(replaced: u32) -> Failure {
    Failure { duration_s: 0.0, partitions: 1, counter_answers: true, counter_resets: replaced }
}

/// All rows.
pub fn rows() -> Vec<Row> {
    let row = |name, events, failure| Row { name, length_s: 20, traffic: GREEDY, events, failure };
    vec![
        row("whole", "", apart(0.0, 1)),
        row("lost for 20 s", "at 0 s: counter lost for 20 s", dark(20.0)),
        row("silent for 20 s", "at 0 s: counter silent for 20 s", dark(20.0)),
        row("refusing for 20 s", "at 0 s: counter full for 20 s", dark(20.0)),
        row("lost from 5 s", "at 5 s: counter lost for 15 s", dark(15.0)),
        row("fresh once", "at 10 s: counter fresh", replaced(1)),
        row(
            "fresh every 3 s",
            "at 3 s: counter fresh\nat 6 s: counter fresh\nat 9 s: counter fresh\nat 12 s: counter fresh\n\
             at 15 s: counter fresh\nat 18 s: counter fresh",
            replaced(6),
        ),
        row("slow for 12 s, then well", "at 2 s: counter slow 80 ms to 500 ms for 12 s", dark(12.0)),
        row("mute for 12 s, then well", "at 2 s: counter mute for 12 s", dark(12.0)),
        row("split three ways", "at 0 s: counter split 1 | 2 | 3 for 20 s", apart(20.0, 3)),
        row("split three ways from 5 s", "at 5 s: counter split 1 | 2 | 3 for 15 s", apart(15.0, 3)),
        row("split 1 + 2 from 5 s", "at 5 s: counter split 1 | 2 3 for 15 s", apart(15.0, 2)),
        row("flapping every 700 ms", "at 0 s: counter flapping every 700 ms for 20 s", dark(20.0)),
        row(
            "whole, gateways killed",
            "at 4 s: kill gateway 1 for 2 s\nat 8 s: kill gateway 2 for 2 s\nat 12 s: kill gateway 3 for 2 s\n\
             at 16 s: kill gateway 1 for 2 s",
            apart(0.0, 1),
        ),
        row(
            "lost, gateways killed",
            "at 0 s: counter lost for 20 s\nat 4 s: kill gateway 1 for 2 s\nat 8 s: kill gateway 2 for 2 s\n\
             at 12 s: kill gateway 3 for 2 s\nat 16 s: kill gateway 1 for 2 s",
            dark(20.0),
        ),
        Row {
            name: "lost, all through one gateway",
            length_s: 20,
            traffic: ALL_THROUGH_ONE,
            events: "at 0 s: counter lost for 20 s",
            failure: dark(20.0),
        },
        Row {
            name: "lost from 10 s, all through one",
            length_s: 30,
            traffic: ALL_THROUGH_ONE,
            events: "at 10 s: counter lost for 20 s",
            failure: dark(20.0),
        },
    ]
}

/// Its scenario.
pub fn scenario(row: &Row) -> Scenario {
    let text = format!(
        "scenario \"{}\"\nlength {} s\n{SITE}  {}\n{}\n",
        row.name, row.length_s, row.traffic, row.events
    );
    file::parse(row.name, &text).unwrap_or_else(|error| panic!("{error}"))
}

/// Shares of what the quota allows, in percent: beyond it (above 0) or below, and what the statement says.
pub fn shares(row: &Row, verdict: &Verdict) -> (f64, f64) {
    let passed: f64 = verdict.customers.iter().map(|customer| customer.passed_units).sum();
    let allowed: f64 = verdict.customers.iter().map(|customer| customer.allowed_units).sum();
    // It asks for too much from its first second on: nobody knows it to keep within its quota.
    let bound = max_overshoot(&QUOTA, &row.failure, false);
    ((passed / allowed - 1.0) * 100.0, bound / allowed * 100.0)
}
