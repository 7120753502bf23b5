//! What clients saw: counts, and how long answers took from the moment a request was due, in histograms.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With the value made for it.
    Served,
    /// Told to come again.
    Refused,
    /// With an error.
    Failed,
    /// Not at all: the connection ended.
    Lost,
    /// With a value that is not its own.
    Wrong,
}

/// A group of requests: what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were due.
    pub due: u64,
    /// Served, and of those within the aim of their class.
    pub served: u64,
    /// See `served`.
    pub in_aim: u64,
    /// Told to come again.
    pub refused: u64,
    /// Ended with an error.
    pub failed: u64,
    /// Had no answer: the connection ended.
    pub lost: u64,
    /// Got a value that was made for another.
    pub wrong: u64,
}

impl Counts {
    fn count(&mut self, end: End, in_aim: bool) {
        self.due += 1;
        let of = match end {
            End::Served => &mut self.served,
            End::Refused => &mut self.refused,
            End::Failed => &mut self.failed,
            End::Lost => &mut self.lost,
            End::Wrong => &mut self.wrong,
        };
        *of += 1;
        self.in_aim += u64::from(end == End::Served && in_aim);
    }

    fn add(&mut self, other: &Counts) {
        self.due += other.due;
        self.served += other.served;
        self.in_aim += other.in_aim;
        self.refused += other.refused;
        self.failed += other.failed;
        self.lost += other.lost;
        self.wrong += other.wrong;
    }

    /// Share of those due that were served within their aim.
    pub fn good(&self) -> f64 {
        self.in_aim as f64 / self.due.max(1) as f64
    }
}

/// What kind of request it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// An order; else a read.
    pub is_order: bool,
    /// Of the premium plan.
    pub is_premium: bool,
    /// Of a regular customer.
    pub is_regular: bool,
}

/// All that clients saw, or one of several parts of it.
#[derive(Clone, Debug)]
pub struct Stats {
    /// All, orders, of the premium plan, of regular customers.
    pub all: Counts,
    /// See `all`.
    pub orders: Counts,
    /// See `all`.
    pub premium: Counts,
    /// See `all`.
    pub regular: Counts,
    /// Microseconds until a served answer, from when the request was due.
    served: Histogram<u64>,
    /// The same of refusals.
    refused: Histogram<u64>,
}

/// Two digits of microseconds up to two minutes.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 2).expect("bounds that are sound")
}

impl Default for Stats {
    fn default() -> Stats {
        let none = Counts::default();
        let (served, refused) = (histogram(), histogram());
        Stats { all: none, orders: none, premium: none, regular: none, served, refused }
    }
}

impl Stats {
    /// A request has ended, so long after it was due.
    pub fn end(&mut self, kind: Kind, end: End, took: Duration, aim: Duration) {
        let in_aim = took <= aim;
        self.all.count(end, in_aim);
        let groups = [
            (kind.is_order, &mut self.orders),
            (kind.is_premium, &mut self.premium),
            (kind.is_regular, &mut self.regular),
        ];
        groups.into_iter().filter(|(is_in, _)| *is_in).for_each(|(_, group)| group.count(end, in_aim));
        let micros = (took.as_micros() as u64).max(1);
        match end {
            End::Served => self.served.saturating_record(micros),
            End::Refused => self.refused.saturating_record(micros),
            _ => {}
        }
    }

    /// Takes in another part.
    pub fn add(&mut self, other: &Stats) {
        self.all.add(&other.all);
        self.orders.add(&other.orders);
        self.premium.add(&other.premium);
        self.regular.add(&other.regular);
        // Both have the same bounds.
        let _ = self.served.add(&other.served);
        let _ = self.refused.add(&other.refused);
    }

    /// How long served answers took.
    pub fn latency(&self) -> Latency {
        Latency::of(&self.served)
    }

    /// How long refusals took.
    pub fn refusals(&self) -> Latency {
        Latency::of(&self.refused)
    }
}

/// How long answers took, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Half took longer.
    pub p50_ms: f64,
    /// One in ten took longer.
    pub p90_ms: f64,
    /// One in a hundred.
    pub p99_ms: f64,
    /// One in a thousand.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Latency {
    fn of(all: &Histogram<u64>) -> Latency {
        let at = |quantile: f64| all.value_at_quantile(quantile) as f64 / 1e3;
        if all.is_empty() {
            return Latency::default();
        }
        Latency { p50_ms: at(0.5), p90_ms: at(0.9), p99_ms: at(0.99), p999_ms: at(0.999), max_ms: at(1.0) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_add_up() {
        let (mut one, mut other) = (Stats::default(), Stats::default());
        let order = Kind { is_order: true, is_premium: false, is_regular: true };
        let read = Kind { is_order: false, is_premium: true, is_regular: true };
        let (ms, aim) = (Duration::from_millis, Duration::from_millis(500));
        (1..=98).for_each(|n| one.end(order, End::Served, ms(n), aim));
        other.end(read, End::Served, ms(800), aim);
        other.end(read, End::Refused, ms(1), aim);
        one.add(&other);
        assert_eq!((one.all.due, one.all.served, one.all.in_aim, one.all.refused), (100, 99, 98, 1));
        assert_eq!((one.orders.due, one.premium.due, one.regular.due), (98, 2, 100));
        let latency = one.latency();
        assert!((latency.p50_ms - 50.0).abs() < 1.0 && (latency.max_ms - 800.0).abs() < 8.0, "{latency:?}");
        assert!((one.refusals().p50_ms - 1.0).abs() < 0.1);
    }
}
