//! The concurrency slots of this gateway: its share of the slots of all hosts.

use super::adaptive_share::AdaptiveShare;
use crate::api::{HostId, Time};
use crate::time::seconds_between;

/// Share in slots below which unused slot time accumulates, and number of slots that the accumulated time is
/// spent on.
pub(super) const BURST_SLOTS: f64 = 2.0;
/// Maximum time for which unused slots accumulate, in seconds.
const MAX_SAVED_SECONDS: f64 = 2.0;
/// Accumulated slot time at the start, in seconds.
const INITIAL_SAVED_SLOT_SECONDS: f64 = 1.0;

/// The concurrency slots that this gateway may use.
pub(crate) struct SlotBudget {
    /// Slots of all hosts, divided by the number of gateways.
    even_share: f64,
    share: AdaptiveShare,
    /// Accumulated unused slot time in slot-seconds, minus overdrafts.
    saved_slot_seconds: f64,
    saved_at: Time,
    /// Requests had to wait for a slot in this control period.
    pub have_requests_waited: bool,
    /// Hosts whose limits are adjusted at the end of the control period, without duplicates.
    pub hosts_to_adjust: Vec<HostId>,
}

impl SlotBudget {
    /// Returns the budget of one of `gateways` gateways, without hosts.
    pub fn new(gateways: u32) -> SlotBudget {
        SlotBudget {
            even_share: 0.0,
            share: AdaptiveShare::new(gateways),
            saved_slot_seconds: INITIAL_SAVED_SLOT_SECONDS,
            saved_at: 0,
            have_requests_waited: false,
            hosts_to_adjust: Vec::new(),
        }
    }

    /// Sets the time from which unused slot time accumulates.
    pub fn start(&mut self, now: Time) {
        self.saved_at = now;
    }

    /// Returns the number of slots that this gateway may use.
    pub fn slots(&self) -> f64 {
        self.share.slots(self.even_share)
    }

    /// Sets the even share of all slots.
    pub fn set_even_share(&mut self, slots: f64) {
        self.even_share = slots;
    }

    /// Changes the even share by this number of slots.
    pub fn change_even_share(&mut self, change: f64) {
        self.even_share += change;
    }

    /// Records the latency of a response as a multiple of the baseline latency of its class.
    pub fn record_response(&mut self, latency_ratio: f64) {
        self.share.record_response(latency_ratio);
    }

    /// Adjusts the share at the end of a control period, and returns it.
    pub fn adjust_share(&mut self) -> AdaptiveShare {
        self.share.adjust();
        self.share
    }

    /// Returns whether the hosts are overloaded, see [`AdaptiveShare::is_overloaded`].
    pub fn is_overloaded(&self) -> bool {
        self.share.is_overloaded(self.even_share)
    }

    /// Returns the maximum number of slots in use now, as an integer; `in_use` slots have been in use since
    /// the last call. A gateway with a share below two slots accumulates unused slot time, and uses two slots
    /// until it is spent.
    pub fn usable_slots(&mut self, now: Time, in_use: f64) -> f64 {
        let slots = self.slots();
        let elapsed = seconds_between(self.saved_at, now);
        self.saved_at = now;
        let saved = self.saved_slot_seconds + (slots - in_use) * elapsed;
        self.saved_slot_seconds = saved.clamp(-1.0, MAX_SAVED_SECONDS * slots);
        if slots >= BURST_SLOTS {
            slots.floor()
        } else if self.saved_slot_seconds > 0.0 {
            BURST_SLOTS
        } else {
            0.0
        }
    }
}
