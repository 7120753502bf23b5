//! The operators' pages on counter failures say what the program says.

use quota::bound::{max_overshoot, Failure, Quota};
use quota::CounterState;
use std::process::Command;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json");
const OPERATORS: &str = include_str!("../../../docs/counter-failures.md");
const DESIGN: &str = include_str!("../../../docs/quota-doubt.md");

/// A quota at a site of three gateways with requests of up to six units.
fn quota(rate: f64, burst: f64) -> Quota {
    Quota { rate, burst, set_size: 3, max_request_units: 6.0 }
}

fn two_minutes(sides: u32, answers: bool, replaced: u32) -> Failure {
    Failure { duration_s: 120.0, partitions: sides, counter_answers: answers, counter_resets: replaced }
}

/// The bound in whole units, rounded up: for a known customer, and for one that asks for too much.
fn bounds(quota: &Quota, failure: &Failure) -> [f64; 2] {
    [true, false].map(|known| (max_overshoot(quota, failure, known) - 1e-6).ceil())
}

#[test]
fn each_line_that_the_log_may_say_stands_in_the_page() {
    let apart = CounterState::Partitioned { alive: 2, gateways: 3 };
    for state in [CounterState::Unused, CounterState::Complete, apart, CounterState::Unreachable] {
        let line = format!(" state={state}\n");
        assert!(OPERATORS.contains(&line), "the page lacks: {line}");
    }
}

#[test]
fn what_check_says_of_the_plans_stands_in_the_page() {
    let checked = Command::new(env!("CARGO_BIN_EXE_api-gateway")).args(["check", EXAMPLE]).output().unwrap();
    let said = String::from_utf8(checked.stdout).unwrap();
    let plans: Vec<&str> = said.lines().filter(|line| line.starts_with("  plan ")).collect();
    assert_eq!(plans.len(), 2, "{said}");
    for line in plans {
        assert!(OPERATORS.contains(&format!("\n{line}\n")), "the page lacks: {line}");
    }
}

#[test]
fn the_bounds_over_the_range_of_plans_stand_in_the_page() {
    let plans = [
        ("standard, smallest", 3.3, 14.2),
        ("standard, largest", 5.7, 34.2),
        ("premium, smallest", 22.0, 28.6),
        ("premium, largest", 38.0, 114.0),
    ];
    for (name, rate, burst) in plans {
        let quota = quota(rate, burst);
        let [known, greedy] = bounds(&quota, &Failure::counter_unreachable(120.0, &quota));
        let row = format!("| {name} | {rate} and {burst} | {known} units | {greedy} units |\n");
        assert!(OPERATORS.contains(&row), "the page lacks: {row}");
    }
}

#[test]
fn the_bounds_of_each_failure_stand_in_the_design_note() {
    let failures = [
        ("lost for 120 s", two_minutes(3, false, 0)),
        ("split 1 + 2 for 120 s", two_minutes(2, true, 0)),
        ("split 1 + 1 + 1 for 120 s", two_minutes(3, true, 0)),
        ("replaced three times", two_minutes(1, true, 3)),
    ];
    for (name, failure) in failures {
        let [known, greedy] = bounds(&quota(4.0, 20.0), &failure);
        let [premium_known, premium_greedy] = bounds(&quota(30.0, 60.0), &failure);
        let row = format!("| {name} | {known} | {greedy} | {premium_known} | {premium_greedy} |\n");
        assert!(DESIGN.contains(&row), "the note lacks: {row}");
    }
}
