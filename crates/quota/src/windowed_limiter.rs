//! Windowed admission for a customer whose burst is too small to lease parts of it to all its gateways.
//!
//! Time is divided into *windows*, each about as long as the burst lasts at the customer's rate. Each window has its
//! own number on the counter. A sample of the requests adds the requested units to it, each on behalf of several
//! similar requests. One total thus shows the units recently requested from all gateways, also to a gateway that gets a
//! request of the customer once a minute and keeps no state of it. Requests that the window's part of the quota covers
//! are admitted, those of the highest priority first. A request for which the counter is not called is decided by a
//! recent total, or else by the rate of the customer's requests at this gateway.

use crate::time::{seconds_between, Span, Time, NANOS_PER_SECOND};

#[cfg(test)]
mod tests;

/// Shortest length of a window, in seconds.
const MIN_WINDOW_S: f64 = 1.0;
/// Longest length of a window, in seconds.
const MAX_WINDOW_S: f64 = 5.0;
/// Weight of the previous estimate beside the usage observed in the window, as a part of the window's quota.
const PRIOR_WEIGHT: f64 = 0.25;
/// Part of its quota that a customer over its limit gets, apart from requests of the highest priority: requests
/// admitted without a call to the counter add to it.
const TARGET_UTILIZATION: f64 = 0.9;
/// Age at which a total is no longer used, in nanoseconds.
const TOTAL_EXPIRES_AFTER: Span = 30_000_000_000;
/// Age up to which a total rarely has to be read again and takes precedence over this gateway's own estimate, in
/// nanoseconds.
const TOTAL_IS_RECENT_FOR: Span = 4_000_000_000;
/// Lookback of this gateway's own estimate, in seconds, if it gets enough requests of a customer.
const ESTIMATE_LOOKBACK_S: f64 = 10.0;
/// Part of a window's quota that one call may add; units beyond that may be sampling error.
const MAX_SAMPLE: f64 = 0.15;
/// Maximum number of requests for which credit is saved up.
const MAX_SAVED_REQUESTS: f64 = 2.0;
/// Minimum rate in computations, in units per second.
const MIN_RATE: f64 = 1e-9;
/// Units by which the credit may be too low because of rounding.
const CREDIT_ROUNDING: f64 = 1e-9;

/// The latest total of a window.
#[derive(Clone, Copy, Debug, PartialEq)]
struct WindowTotal {
    window: u64,
    at: Time,
    /// Units requested from all gateways in the window up to this time.
    requested_units: f64,
    /// Demand of the customer as a multiple of its quota.
    demand_ratio: f64,
    /// Units of the total that may be sampling error.
    sampling_error: f64,
}

/// This gateway's own estimate of the demand. It starts at the usual or the last observed demand; each request raises
/// it, and time without a request lowers it.
#[derive(Clone, Copy, Debug, Default)]
struct DemandEstimate {
    /// Demand as a multiple of the quota.
    ratio: f64,
    updated_at: Time,
    /// Units of the latest request, which does not count against itself.
    latest_units: f64,
}

/// Admits the requests of one customer by windows.
#[derive(Clone, Copy, Debug, Default)]
pub struct WindowedLimiter {
    rate: f64,
    burst: f64,
    /// Offset of the windows, so that those of different customers do not begin at the same time.
    phase: Span,
    /// Units per second that the quota covers at one gateway if the traffic is even.
    gateway_rate: f64,
    /// Units credited by the admission probability and not used yet.
    credit: f64,
    latest_total: Option<WindowTotal>,
    estimate: DemandEstimate,
}

/// The compact state of a limiter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CompactLimiter {
    total_at: Time,
    window: u32,
    credit: f32,
    requested_units: f32,
    demand_ratio: f32,
    sampling_error: f32,
    estimated_ratio: f32,
    estimated_at: Time,
    has_total: bool,
}

impl WindowedLimiter {
    /// Returns the limiter of a customer with this rate, in units per second, and burst, in units, that is served by
    /// `set_size` gateways. `phase`: offset of its windows, in nanoseconds.
    pub fn new(rate: f64, burst: f64, phase: Span, set_size: u32) -> WindowedLimiter {
        let rate = rate.max(MIN_RATE);
        let gateway_rate = rate / f64::from(set_size.max(1));
        WindowedLimiter { rate, burst, phase, gateway_rate, ..WindowedLimiter::default() }
    }

    /// Returns the compact state; `None` if the window's number does not fit into it.
    pub(crate) fn compact(&self) -> Option<CompactLimiter> {
        let no_total =
            WindowTotal { window: 0, at: 0, requested_units: 0.0, demand_ratio: 0.0, sampling_error: 0.0 };
        let total = self.latest_total.unwrap_or(no_total);
        let latest_units = self.estimate.latest_units;
        let estimated_ratio = self.estimate.ratio + latest_units / self.estimate_weight(latest_units);
        Some(CompactLimiter {
            total_at: total.at,
            window: u32::try_from(total.window).ok()?,
            credit: self.credit as f32,
            requested_units: total.requested_units as f32,
            demand_ratio: total.demand_ratio as f32,
            sampling_error: total.sampling_error as f32,
            estimated_ratio: estimated_ratio as f32,
            estimated_at: self.estimate.updated_at,
            has_total: self.latest_total.is_some(),
        })
    }

    /// Returns this new limiter, continued from the compact state of an earlier one.
    pub(crate) fn restored(self, state: CompactLimiter) -> WindowedLimiter {
        let total = WindowTotal {
            window: state.window.into(),
            at: state.total_at,
            requested_units: state.requested_units.into(),
            demand_ratio: state.demand_ratio.into(),
            sampling_error: state.sampling_error.into(),
        };
        let estimate = DemandEstimate {
            ratio: state.estimated_ratio.into(),
            updated_at: state.estimated_at,
            latest_units: 0.0,
        };
        WindowedLimiter {
            credit: state.credit.into(),
            latest_total: state.has_total.then_some(total),
            estimate,
            ..self
        }
    }

    /// Changes the rate, in units per second, and the burst, in units, from now on.
    pub fn set_quota(&mut self, rate: f64, burst: f64) {
        let rate = rate.max(MIN_RATE);
        self.gateway_rate = self.gateway_rate * rate / self.rate;
        self.rate = rate;
        self.burst = burst;
    }

    /// Returns the length of a window, in nanoseconds.
    pub fn window_length(&self) -> Span {
        let burst_duration_s = self.burst / self.rate;
        (burst_duration_s.clamp(MIN_WINDOW_S, MAX_WINDOW_S) * NANOS_PER_SECOND) as Span
    }

    /// Returns the number of the current window, which is the same at all gateways whose clocks agree.
    pub fn window_at(&self, now: Time) -> u64 {
        let length = self.window_length();
        (now + self.phase % length) / length
    }

    /// Returns the time at which a window begins.
    pub fn window_start(&self, window: u64) -> Time {
        let length = self.window_length();
        (window * length).saturating_sub(self.phase % length)
    }

    /// Returns a window's part of the quota, in units.
    fn window_quota(&self) -> f64 {
        units_at_rate(self.rate, self.window_length())
    }

    /// Sets the initial credit, in units, from zero to one request: different values keep gateways from all admitting
    /// their first requests alike.
    pub fn set_initial_credit(&mut self, units: f64) {
        self.credit = units;
    }

    /// Returns the weight of the estimate beside a request of this many units, in units: that of one such request, or
    /// the units that the quota covers at this gateway in the lookback if those are more.
    fn estimate_weight(&self, units: f64) -> f64 {
        units.max(ESTIMATE_LOOKBACK_S * self.gateway_rate)
    }

    /// Records that the customer requests these units from this gateway. If this is the customer's first request here,
    /// the estimate starts at `usual_ratio`, the usual demand as a multiple of the quota, at `absent_since`, from which
    /// on it has made no request here.
    pub fn record_request(&mut self, now: Time, units: f64, usual_ratio: f64, absent_since: Time) {
        if self.estimate.updated_at == 0 {
            let updated_at = absent_since.max(now.saturating_sub(TOTAL_EXPIRES_AFTER));
            self.estimate = DemandEstimate { ratio: usual_ratio, updated_at, latest_units: 0.0 };
        }
        let previous = self.estimate;
        let weight = self.estimate_weight(units);
        let covered_units = units_at_rate(self.gateway_rate, now.saturating_sub(previous.updated_at));
        let ratio = (weight * previous.ratio + previous.latest_units) / (weight + covered_units);
        self.estimate = DemandEstimate { ratio, updated_at: now, latest_units: units };
    }

    /// Records a total of a window's number, to which the call itself added `added_units`, on behalf of its request and
    /// of several similar ones.
    pub fn record_total(&mut self, now: Time, window: u64, total: f64, added_units: f64) {
        let window_quota = self.window_quota();
        let requested_units = total - added_units;
        let elapsed = now.saturating_sub(self.window_start(window)).min(self.window_length());
        let covered_units = units_at_rate(self.rate, elapsed);
        let prior_ratio = self.demand_ratio(now).unwrap_or(1.0);
        let prior_units = PRIOR_WEIGHT * window_quota;
        let demand_ratio = (requested_units + prior_units * prior_ratio) / (covered_units + prior_units);
        let sampling_error = (added_units - MAX_SAMPLE * window_quota).max(0.0);
        self.latest_total =
            Some(WindowTotal { window, at: now, requested_units, demand_ratio, sampling_error });
        self.estimate.ratio = demand_ratio;
        self.estimate.updated_at = now;
    }

    /// Returns the customer's demand as a multiple of its quota, if a total has shown it and has not expired.
    pub fn demand_ratio(&self, now: Time) -> Option<f64> {
        let valid_total = self.latest_total.filter(|total| now < total.at + TOTAL_EXPIRES_AFTER);
        valid_total.map(|total| total.demand_ratio)
    }

    /// Returns whether a total was read so recently that it rarely has to be read again.
    pub fn has_recent_total(&self, now: Time) -> bool {
        self.latest_total.is_some_and(|total| now < total.at + TOTAL_IS_RECENT_FOR)
    }

    /// Returns the probability at which to admit a request: zero or one in a window whose total was read, otherwise the
    /// fraction of the demand that the quota covers. `top_priority_fraction`: the fraction of the demand that is of the
    /// highest priority, which is admitted before the remaining demand.
    pub fn admission_probability(&self, now: Time, is_top_priority: bool, top_priority_fraction: f64) -> f64 {
        let window = self.window_at(now);
        let usable_total =
            self.latest_total.filter(|total| total.window == window || now < total.at + TOTAL_IS_RECENT_FOR);
        let demand_ratio = usable_total.map_or(self.estimate.ratio, |total| total.demand_ratio);
        let demand_ratio = demand_ratio.max(TARGET_UTILIZATION);
        let covered_fraction = covered_fraction(demand_ratio, is_top_priority, top_priority_fraction);
        let Some(total) = usable_total.filter(|total| total.window == window) else {
            return covered_fraction;
        };
        let since_total_s = seconds_between(total.at, now);
        let requested_units = total.requested_units + demand_ratio * self.rate * since_total_s;
        let covered_units = covered_fraction * demand_ratio * self.window_quota() + total.sampling_error;
        if requested_units <= covered_units {
            1.0
        } else {
            0.0
        }
    }

    /// Returns whether a request of this many units is admitted at this probability; admissions are spread evenly over
    /// the requests.
    #[must_use]
    pub fn admit(&mut self, units: f64, probability: f64) -> bool {
        let credit = self.credit + units * probability.clamp(0.0, 1.0);
        self.credit = credit.min(MAX_SAVED_REQUESTS * units);
        let is_admitted = self.credit + CREDIT_ROUNDING >= units;
        if is_admitted {
            self.credit -= units;
        }
        is_admitted
    }
}

/// Returns the units of this duration at this rate, in units per second.
fn units_at_rate(rate: f64, duration: Span) -> f64 {
    rate * duration as f64 / NANOS_PER_SECOND
}

/// Returns the fraction of the demand of a request's priority that the quota covers, from 0 to 1.
fn covered_fraction(demand_ratio: f64, is_top_priority: bool, top_priority_fraction: f64) -> f64 {
    if is_top_priority {
        return (1.0 / (top_priority_fraction * demand_ratio)).min(1.0);
    }
    if demand_ratio <= TARGET_UTILIZATION {
        return 1.0;
    }
    let remaining_quota = TARGET_UTILIZATION - top_priority_fraction * demand_ratio;
    (remaining_quota / (demand_ratio * (1.0 - top_priority_fraction))).clamp(0.0, 1.0)
}
