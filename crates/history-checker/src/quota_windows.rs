//! Checks that the units forwarded for a customer are within `rate * seconds + burst + allowance` in every window, not only
//! over the entire run.
//!
//! Let the events of one customer be in chronological order, `S` the sum up to and including an event, and `P` the sum
//! before it. A window from event i to event j exceeds the quota by `(S(j) - rate * t(j)) - (P(i) - rate * t(i)) - burst`.
//! The worst window that ends at j therefore begins where `P - rate * t` is lowest so far: one pass with a running minimum,
//! `O(n log n)` with the sort.

use crate::finding::{Findings, Rule};
use crate::limits::QuotaBound;
use cluster_model::Time;

/// Tolerance in units for the rounding errors of floating-point sums.
const ROUNDING: f64 = 1e-6;
/// Number of earliest events, and of latest events, of a window that a chain shows.
const MAX_SHOWN: usize = 3;

/// Units forwarded for a customer, or a correction of that number.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnitsForwarded {
    pub at: Time,
    pub request: u64,
    /// Units named at the first attempt, or the difference to the actual units that the response reported.
    pub units: f64,
    /// Whether this is a correction.
    pub is_correction: bool,
}

/// The window that exceeds the quota most: its first and last event, and the excess in units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Window {
    pub first: usize,
    pub last: usize,
    pub beyond: f64,
}

/// Returns the worst window of events in chronological order, or `None` if there are no events.
pub(crate) fn worst_window(events: &[UnitsForwarded], bound: &QuotaBound) -> Option<Window> {
    let begin = events.first()?.at;
    let (mut sum, mut least, mut from) = (0.0, f64::INFINITY, 0);
    let mut worst: Option<Window> = None;
    for (place, event) in events.iter().enumerate() {
        let granted = bound.rate * (event.at - begin) as f64 / 1e9;
        if sum - granted < least {
            (least, from) = (sum - granted, place);
        }
        sum += event.units;
        let beyond = sum - granted - least - bound.burst;
        if worst.is_none_or(|worst| beyond > worst.beyond) {
            worst = Some(Window { first: from, last: place, beyond });
        }
    }
    worst
}

/// Checks one customer.
pub(crate) fn check(customer: u64, events: &mut [UnitsForwarded], bound: &QuotaBound, found: &mut Findings) {
    events.sort_by_key(|event| event.at);
    let Some(window) = worst_window(events, bound) else { return };
    let over = window.beyond - bound.allowance;
    if over <= ROUNDING {
        return;
    }
    let inside = &events[window.first..=window.last];
    let (from, to) = (inside[0].at, inside[inside.len() - 1].at);
    let span = (to - from) as f64 / 1e9;
    let units: f64 = inside.iter().map(|event| event.units).sum();
    let QuotaBound { rate, burst, allowance } = bound;
    let text = format!(
        "customer {customer:016x} was admitted {units:.1} units within {span:.3} s, {over:.1} more than \
         {rate:.1} x {span:.3} + {burst:.1} + {allowance:.1}"
    );
    found.add(Rule::QuotaWindow, to, text, chain(inside));
}

/// Describes the earliest and the latest events of a window, and the number of events between them.
fn chain(inside: &[UnitsForwarded]) -> Vec<(Time, String)> {
    let step = |event: &UnitsForwarded| {
        let UnitsForwarded { at, request, units, is_correction } = *event;
        let what = if is_correction { "was corrected by" } else { "was forwarded for" };
        let more = if is_correction { " more" } else { "" };
        (at, format!("request {request:016x} {what} {units:.1} units{more}"))
    };
    if inside.len() <= 2 * MAX_SHOWN {
        return inside.iter().map(step).collect();
    }
    let (head, rest) = inside.split_at(MAX_SHOWN);
    let (middle, tail) = rest.split_at(rest.len() - MAX_SHOWN);
    let units: f64 = middle.iter().map(|event| event.units).sum();
    let between = (middle[0].at, format!("... and {} more, {units:.1} units", middle.len()));
    head.iter().map(step).chain([between]).chain(tail.iter().map(step)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Computes every window separately.
    fn brute_force_worst(events: &[UnitsForwarded], bound: &QuotaBound) -> f64 {
        let mut worst = f64::NEG_INFINITY;
        for first in 0..events.len() {
            for last in first..events.len() {
                let units: f64 = events[first..=last].iter().map(|event| event.units).sum();
                let span = (events[last].at - events[first].at) as f64 / 1e9;
                worst = worst.max(units - bound.rate * span - bound.burst);
            }
        }
        worst
    }

    #[test]
    fn the_running_minimum_finds_the_worst_of_all_windows() {
        let bound = QuotaBound { rate: 3.0, burst: 5.0, allowance: 0.0 };
        let mut state = 1_u64;
        let mut draw = |below: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % below
        };
        for _ in 0..200 {
            let mut at = 1_000;
            let events: Vec<UnitsForwarded> = (0..draw(40) + 1)
                .map(|request| {
                    at += draw(1_500_000_000);
                    let units = draw(60) as f64 / 10.0 - 1.0;
                    UnitsForwarded { at, request, units, is_correction: false }
                })
                .collect();
            let window = worst_window(&events, &bound).unwrap();
            assert!((window.beyond - brute_force_worst(&events, &bound)).abs() < 1e-6, "{events:?}");
            let alone = &events[window.first..=window.last];
            assert!(
                (brute_force_worst(alone, &bound) - window.beyond).abs() < 1e-6,
                "the reported window has the reported excess"
            );
        }
    }
}
