//! The concurrency limit of a host, learnt from its responses.
//!
//! Each host starts with [`MIN_SLOTS`] slots, for all gateways together, and never gets fewer. If its
//! responses take no longer while this gateway's whole share of them is in use than while few are, and more
//! slots are wanted, it gets more; if they take longer, or it rejects attempts, it gets fewer.
//!
//! A host that was never observed unloaded is probed with more slots: if its responses then take longer by
//! half of what was added, it can execute no more than before, and is not probed again for a while. No step
//! is taken before chance is ruled out: responses of very different lengths need many more of them.

use super::running_mean::{RunningMean, CONFIDENCE, SIGNIFICANT_COUNT};
use crate::api::{Span, Time};

#[cfg(test)]
mod tests;

/// Slots of a host at the least, and of an unknown one: well above ordinary use of a small machine.
pub(crate) const MIN_SLOTS: f64 = 4.0;
/// Slots of a host at the most.
const MAX_SLOTS: f64 = 64.0;
/// Utilisation of this gateway's share of the slots, at the time of sending, up to which a host counts as
/// unloaded.
pub(super) const UNLOADED_UTILISATION: f64 = 0.5;
/// Utilisation from which on a host counts as saturated.
const SATURATED_UTILISATION: f64 = 0.9;
/// Latency inflation of a saturated host, as a natural logarithm, up to which it has spare capacity.
const LOW_INFLATION: f64 = 0.14;
/// Latency inflation of a saturated host, as a natural logarithm, from which on it is overloaded.
const HIGH_INFLATION: f64 = 0.4;
/// Factor by which the slots grow in a period.
const INCREASE: f64 = 1.25;
/// Factor by which the slots shrink in a period.
const DECREASE: f64 = 0.8;
/// Latency inflation, as a natural logarithm, up to which probed slots stay: half of [`INCREASE`].
const MAX_PROBE_INFLATION: f64 = 0.11;
/// Time for which a host is not probed again after a probe that failed; also the longest probe.
const PROBE_BACKOFF: Span = 60_000_000_000;
/// Time within which a probe has to be decided by the expected responses, or none is started.
const PROBE_DURATION: Span = 20_000_000_000;

/// A probe with more slots, and the state before it, with which it is compared.
#[derive(Clone, Copy, Debug)]
struct Probe {
    saturated_before: RunningMean,
    slots_before: f64,
}

/// The concurrency limit of one host.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    /// Attempts that may be in flight at the host, from all gateways.
    slots: f64,
    /// Log latency inflation of responses that were sent while the host was unloaded.
    unloaded: RunningMean,
    /// The same while the host was saturated, for the present number of slots.
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
    /// Returns the number of attempts that may be in flight at the host, from all gateways.
    pub fn slots(&self) -> f64 {
        self.slots
    }

    /// Takes in a response by the logarithm of its latency against the unloaded latency of its class.
    /// `utilisation` is the fraction of this gateway's share of the slots that was in use when it was sent.
    pub fn record_response(&mut self, sent_at: Time, utilisation: f64, log_inflation: f64) {
        if utilisation <= UNLOADED_UTILISATION {
            self.unloaded.add(log_inflation);
        } else if utilisation >= SATURATED_UTILISATION && sent_at >= self.slots_changed_at {
            self.saturated.add(log_inflation);
        }
    }

    /// Notes that the host has rejected an attempt.
    pub fn record_rejection(&mut self) {
        self.has_rejected_in_period = true;
    }

    /// Adjusts the slots at the end of a control period, and returns by how much they have changed.
    /// `more_wanted`: requests had to wait for a slot in this period.
    pub fn adjust(&mut self, now: Time, more_wanted: bool) -> f64 {
        let slots_before = self.slots;
        let has_rejected = std::mem::take(&mut self.has_rejected_in_period);
        let saturated = self.saturated.if_significant();
        let unloaded = self.unloaded.if_significant();
        match (saturated, unloaded) {
            _ if has_rejected => {
                self.probe = None;
                self.set_slots(now, self.slots * DECREASE);
            }
            (Some(saturated), Some(unloaded)) => {
                self.compare_with_unloaded(now, more_wanted, &saturated, &unloaded);
            }
            (Some(saturated), None) => self.continue_probing(now, more_wanted, saturated),
            (None, _) => {}
        }
        self.slots - slots_before
    }

    fn compare_with_unloaded(
        &mut self,
        now: Time,
        more_wanted: bool,
        saturated: &RunningMean,
        unloaded: &RunningMean,
    ) {
        let inflation = saturated.value - unloaded.value;
        let uncertainty = saturated.uncertainty(unloaded);
        if inflation - uncertainty > HIGH_INFLATION {
            self.set_slots(now, self.slots * DECREASE);
        } else if more_wanted && inflation + uncertainty < LOW_INFLATION {
            self.set_slots(now, self.slots * INCREASE);
        }
    }

    /// Starts or decides a probe of a host that was never observed unloaded.
    fn continue_probing(&mut self, now: Time, more_wanted: bool, saturated: RunningMean) {
        let Some(probe) = self.probe else {
            if more_wanted && now >= self.next_probe_at && self.can_decide_probe(now) {
                self.probe = Some(Probe { saturated_before: saturated, slots_before: self.slots });
                self.set_slots(now, self.slots * INCREASE);
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

    /// Returns whether responses arrive often enough to decide a probe in time; an undecided probe only does
    /// harm.
    fn can_decide_probe(&self, now: Time) -> bool {
        let span = now.saturating_sub(self.slots_changed_at) as f64;
        let needed = 2.0
            * self.saturated.variance
            * (2.0 * CONFIDENCE / MAX_PROBE_INFLATION)
            * (2.0 * CONFIDENCE / MAX_PROBE_INFLATION)
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

    /// Returns the load of the host with this number of our attempts in flight, as if it had [`MIN_SLOTS`].
    pub fn normalised_load(&self, in_flight: u32) -> f64 {
        f64::from(in_flight) * MIN_SLOTS / self.slots
    }
}
