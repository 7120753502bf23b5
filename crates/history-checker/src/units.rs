//! What a customer is sent on keeps to `rate * seconds + burst + allowance` in every window, not only over the whole
//! run.
//!
//! With the events of one customer in the order of time, `S` the sum up to and with an event and `P` the sum before
//! it, a window from event i to event j goes beyond the quota by `(S(j) - rate * t(j)) - (P(i) - rate * t(i)) - burst`.
//! So the worst window that ends at j begins where `P - rate * t` was least so far: one pass with a running minimum,
//! `O(n log n)` with the sort.

use crate::finding::{Findings, Rule};
use crate::terms::QuotaBound;
use cluster_model::Time;

/// Sums of floating-point numbers may be off by this many units.
const ROUNDING: f64 = 1e-6;
/// Of the events of a window a chain shows so many of the earliest, and as many of the latest.
const SHOWN: usize = 3;

/// Units that a customer was sent on, or that turned out to be more or fewer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spent {
    pub at: Time,
    pub request: u64,
    /// As named at the first attempt; or, when the answer told the truth, by how many more.
    pub units: f64,
    /// It is such a correction.
    pub corrects: bool,
}

/// The window that goes furthest beyond the quota: its first and its last event, and by how many units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Window {
    pub first: usize,
    pub last: usize,
    pub beyond: f64,
}

/// The worst window of events in the order of time; `None`: there are none.
pub(crate) fn worst(events: &[Spent], bound: &QuotaBound) -> Option<Window> {
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
pub(crate) fn check(customer: u64, events: &mut [Spent], bound: &QuotaBound, found: &mut Findings) {
    events.sort_by_key(|event| event.at);
    let Some(window) = worst(events, bound) else { return };
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
        "customer {customer:016x} was sent on {units:.1} units within {span:.3} s, {over:.1} more than \
         {rate:.1} x {span:.3} + {burst:.1} + {allowance:.1}"
    );
    found.add(Rule::QuotaWindow, to, text, chain(inside));
}

/// The earliest and the latest events of a window, and how many lie between them.
fn chain(inside: &[Spent]) -> Vec<(Time, String)> {
    let step = |event: &Spent| {
        let Spent { at, request, units, corrects } = *event;
        let what = if corrects { "turned out to be" } else { "sent on for" };
        let more = if corrects { " more" } else { "" };
        (at, format!("request {request:016x} {what} {units:.1} units{more}"))
    };
    if inside.len() <= 2 * SHOWN {
        return inside.iter().map(step).collect();
    }
    let (head, rest) = inside.split_at(SHOWN);
    let (middle, tail) = rest.split_at(rest.len() - SHOWN);
    let units: f64 = middle.iter().map(|event| event.units).sum();
    let between = (middle[0].at, format!("... and {} more, {units:.1} units", middle.len()));
    head.iter().map(step).chain([between]).chain(tail.iter().map(step)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// All windows, one by one.
    fn by_hand(events: &[Spent], bound: &QuotaBound) -> f64 {
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
            let events: Vec<Spent> = (0..draw(40) + 1)
                .map(|request| {
                    at += draw(1_500_000_000);
                    let units = draw(60) as f64 / 10.0 - 1.0;
                    Spent { at, request, units, corrects: false }
                })
                .collect();
            let window = worst(&events, &bound).unwrap();
            assert!((window.beyond - by_hand(&events, &bound)).abs() < 1e-6, "{events:?}");
            let alone = &events[window.first..=window.last];
            assert!((by_hand(alone, &bound) - window.beyond).abs() < 1e-6, "it is the window that is named");
        }
    }
}
