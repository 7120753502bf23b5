//! The documentation pages on counter failures match the output of the program.

use quota::bound::{max_overshoot, Failure, Quota};
use quota::CounterState;
use std::process::Command;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json");
const OPERATORS: &str = include_str!("../../../docs/counter-failures.md");
const DESIGN: &str = include_str!("../../../docs/quota-doubt.md");

/// Returns a quota at a site of three gateways with requests of up to six units.
fn quota(rate: f64, burst: f64) -> Quota {
    Quota { rate, burst, set_size: 3, max_request_units: 6.0 }
}

fn two_minutes(partitions: u32, counter_answers: bool, counter_resets: u32) -> Failure {
    Failure { duration_s: 120.0, partitions, counter_answers, counter_resets }
}

/// Returns the bound rounded up to integer units: for a customer within its quota, and for one over its limit.
fn bounds(quota: &Quota, failure: &Failure) -> [f64; 2] {
    [true, false].map(|is_within_limit| (max_overshoot(quota, failure, is_within_limit) - 1e-6).ceil())
}

#[test]
fn the_page_lists_each_counter_state_of_the_log() {
    let partitioned = CounterState::Partitioned { alive: 2, gateways: 3 };
    for state in [CounterState::Unused, CounterState::Complete, partitioned, CounterState::Unreachable] {
        let line = format!(" state={state}\n");
        assert!(OPERATORS.contains(&line), "the page lacks: {line}");
    }
}

#[test]
fn the_page_has_the_output_of_check_for_the_plans() {
    let checked = Command::new(env!("CARGO_BIN_EXE_api-gateway")).args(["check", EXAMPLE]).output().unwrap();
    let output = String::from_utf8(checked.stdout).unwrap();
    let plans: Vec<&str> = output.lines().filter(|line| line.starts_with("  plan ")).collect();
    assert_eq!(plans.len(), 2, "{output}");
    for line in plans {
        assert!(OPERATORS.contains(&format!("\n{line}\n")), "the page lacks: {line}");
    }
}

#[test]
fn the_page_has_the_bounds_of_the_range_of_plans() {
    let plans = [
        ("standard, smallest", 3.3, 14.2),
        ("standard, largest", 5.7, 34.2),
        ("premium, smallest", 22.0, 28.6),
        ("premium, largest", 38.0, 114.0),
    ];
    for (name, rate, burst) in plans {
        let quota = quota(rate, burst);
        let [within_limit, over_limit] = bounds(&quota, &Failure::counter_unreachable(120.0, &quota));
        let row = format!("| {name} | {rate} and {burst} | {within_limit} units | {over_limit} units |\n");
        assert!(OPERATORS.contains(&row), "the page lacks: {row}");
    }
}

#[test]
fn the_design_note_has_the_bounds_of_each_failure() {
    let failures = [
        ("lost for 120 s", two_minutes(3, false, 0)),
        ("split 1 + 2 for 120 s", two_minutes(2, true, 0)),
        ("split 1 + 1 + 1 for 120 s", two_minutes(3, true, 0)),
        ("replaced three times", two_minutes(1, true, 3)),
    ];
    for (name, failure) in failures {
        let [within_limit, over_limit] = bounds(&quota(4.0, 20.0), &failure);
        let [premium_within_limit, premium_over_limit] = bounds(&quota(30.0, 60.0), &failure);
        let row = format!(
            "| {name} | {within_limit} | {over_limit} | {premium_within_limit} | {premium_over_limit} |\n"
        );
        assert!(DESIGN.contains(&row), "the note lacks: {row}");
    }
}
