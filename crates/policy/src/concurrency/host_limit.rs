//! The adaptive concurrency limit of a host, derived from its responses.
//!
//! Each host starts with [`MIN_SLOTS`] slots, for all gateways together, which is also the minimum. The limit
//! is increased if latencies are no higher while this gateway's entire share is in use than while few slots
//! are, and requests had to wait for a slot. The limit is decreased if latencies are higher or the host
//! rejects attempts.
//!
//! A host that was never observed unloaded is probed with more slots: if its latency then rises by at least
//! half of the relative increase in slots, it has no spare capacity, and is not probed again for
//! [`PROBE_BACKOFF`]. Every change requires a statistically significant difference; the more the response
//! times vary, the more responses this takes.

use super::running_mean::{RunningMean, CONFIDENCE_STANDARD_ERRORS, SIGNIFICANT_COUNT};
use crate::api::{Span, Time};

#[cfg(test)]
mod tests;

/// Minimum and initial number of slots of a host: well above the normal usage of a small machine.
pub(crate) const MIN_SLOTS: f64 = 4.0;
/// Maximum number of slots of a host.
const MAX_SLOTS: f64 = 64.0;
/// Utilisation of this gateway's share of the slots, when an attempt is sent, up to which a host counts as
/// unloaded.
pub(super) const UNLOADED_UTILISATION: f64 = 0.5;
/// Utilisation at and above which a host counts as saturated.
const SATURATED_UTILISATION: f64 = 0.9;
/// Latency inflation of a saturated host, as a natural logarithm, up to which it has spare capacity.
const LOW_INFLATION: f64 = 0.14;
/// Latency inflation of a saturated host, as a natural logarithm, above which it is overloaded.
const HIGH_INFLATION: f64 = 0.4;
/// Factor on the slots in a control period with an increase.
const INCREASE_FACTOR: f64 = 1.25;
/// Factor on the slots in a control period with a decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Latency inflation, as a natural logarithm, up to which a probe succeeds and its slots are kept: half of
/// the logarithm of [`INCREASE_FACTOR`].
const MAX_PROBE_INFLATION: f64 = 0.11;
/// Time without probes of a host after a failed probe; also the maximum duration of a probe.
const PROBE_BACKOFF: Span = 60_000_000_000;
/// Expected time to decide a probe above which none is started.
const PROBE_DURATION: Span = 20_000_000_000;

/// A probe with more slots, and the state before it as a reference.
#[derive(Clone, Copy, Debug)]
struct Probe {
    saturated_before: RunningMean,
    slots_before: f64,
}

/// The concurrency limit of one host.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    /// Maximum number of attempts in flight at the host, from all gateways.
    slots: f64,
    /// Logarithmic latency inflation of attempts sent while the host was unloaded.
    unloaded: RunningMean,
    /// The same for attempts sent while the host was saturated, with the current number of slots.
    saturated: RunningMean,
    slots_changed_at: Time,
    probe: Option<Probe>,
    /// No probe starts before this time.
    next_probe_at: Time,
    has_rejected_in_period: bool,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit {
            slots: MIN_SLOTS,
            unloaded: RunningMean::default(),
            saturated: RunningMean::default(),
            slots_changed_at: 0,
            probe: None,
            next_probe_at: 0,
            has_rejected_in_period: false,
        }
    }
}

impl ConcurrencyLimit {
    /// Returns the maximum number of attempts in flight at the host, from all gateways.
    pub fn slots(&self) -> f64 {
        self.slots
    }

    /// Records a response by the logarithm of the ratio of its latency to the unloaded latency of its class.
    /// `utilisation` is the fraction of this gateway's share of the slots that was in use when the attempt
    /// was sent.
    pub fn record_response(&mut self, sent_at: Time, utilisation: f64, log_inflation: f64) {
        if utilisation <= UNLOADED_UTILISATION {
            self.unloaded.add(log_inflation);
        } else if utilisation >= SATURATED_UTILISATION && sent_at >= self.slots_changed_at {
            self.saturated.add(log_inflation);
        }
    }

    /// Records that the host has rejected an attempt.
    pub fn record_rejection(&mut self) {
        self.has_rejected_in_period = true;
    }

    /// Adjusts the slots at the end of a control period, and returns the change. `is_demand_unmet`: requests
    /// had to wait for a slot in this period.
    pub fn adjust(&mut self, now: Time, is_demand_unmet: bool) -> f64 {
        let slots_before = self.slots;
        let has_rejected = std::mem::take(&mut self.has_rejected_in_period);
        let saturated = self.saturated.if_significant();
        let unloaded = self.unloaded.if_significant();
        match (saturated, unloaded) {
            _ if has_rejected => {
                self.probe = None;
                self.set_slots(now, self.slots * DECREASE_FACTOR);
            }
            (Some(saturated), Some(unloaded)) => {
                self.compare_with_unloaded(now, is_demand_unmet, &saturated, &unloaded);
            }
            (Some(saturated), None) => self.continue_probing(now, is_demand_unmet, saturated),
            (None, _) => {}
        }
        self.slots - slots_before
    }

    fn compare_with_unloaded(
        &mut self,
        now: Time,
        is_demand_unmet: bool,
        saturated: &RunningMean,
        unloaded: &RunningMean,
    ) {
        let inflation = saturated.value - unloaded.value;
        let uncertainty = saturated.uncertainty(unloaded);
        if inflation - uncertainty > HIGH_INFLATION {
            self.set_slots(now, self.slots * DECREASE_FACTOR);
        } else if is_demand_unmet && inflation + uncertainty < LOW_INFLATION {
            self.set_slots(now, self.slots * INCREASE_FACTOR);
        }
    }

    /// Starts or concludes a probe of a host that was never observed unloaded.
    fn continue_probing(&mut self, now: Time, is_demand_unmet: bool, saturated: RunningMean) {
        let Some(probe) = self.probe else {
            if is_demand_unmet && now >= self.next_probe_at && self.can_decide_probe(now) {
                self.probe = Some(Probe { saturated_before: saturated, slots_before: self.slots });
                self.set_slots(now, self.slots * INCREASE_FACTOR);
            }
            return;
        };
        let inflation = saturated.value - probe.saturated_before.value;
        let uncertainty = saturated.uncertainty(&probe.saturated_before);
        if inflation + uncertainty < MAX_PROBE_INFLATION {
            self.probe = None;
        } else if inflation - uncertainty > MAX_PROBE_INFLATION || now > self.slots_changed_at + PROBE_BACKOFF
        {
            self.probe = None;
            self.next_probe_at = now + PROBE_BACKOFF;
            self.set_slots(now, probe.slots_before);
        }
    }

    /// Returns whether responses are frequent enough to decide a probe in time; a probe that cannot be
    /// decided adds load for no benefit.
    fn can_decide_probe(&self, now: Time) -> bool {
        let span = now.saturating_sub(self.slots_changed_at) as f64;
        let needed = 2.0
            * self.saturated.variance
            * (2.0 * CONFIDENCE_STANDARD_ERRORS / MAX_PROBE_INFLATION)
            * (2.0 * CONFIDENCE_STANDARD_ERRORS / MAX_PROBE_INFLATION)
            + SIGNIFICANT_COUNT;
        self.saturated.count * PROBE_DURATION as f64 >= needed * span
    }

    fn set_slots(&mut self, now: Time, slots: f64) {
        let slots = slots.clamp(MIN_SLOTS, MAX_SLOTS);
        if slots != self.slots {
            self.slots = slots;
            self.saturated = RunningMean::default();
            self.slots_changed_at = now;
        }
    }

    /// Returns the number of attempts in flight, normalised to a host with [`MIN_SLOTS`] slots.
    pub fn normalised_load(&self, in_flight: u32) -> f64 {
        f64::from(in_flight) * MIN_SLOTS / self.slots
    }
}
