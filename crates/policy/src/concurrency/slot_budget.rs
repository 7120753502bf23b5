//! The concurrency slots of this gateway: its share of the slots of all hosts.

use super::adaptive_share::AdaptiveShare;
use crate::api::{HostId, Time};
use crate::time::seconds_between;

/// Slots below which unused slot time is saved up, to be spent on this many slots for a while.
pub(super) const BURST_SLOTS: f64 = 2.0;
/// Seconds for which unused slots are saved up.
const MAX_SAVING: f64 = 2.0;
/// Slot time that is saved at the start, in seconds.
const INITIAL_SAVING: f64 = 1.0;

/// The concurrency slots that this gateway may use.
pub(crate) struct SlotBudget {
    /// Slots of all hosts, divided evenly among the gateways.
    even_share: f64,
    share: AdaptiveShare,
    /// Slots multiplied by seconds that were left unused, less those overdrawn.
    saved_slot_seconds: f64,
    saved_at: Time,
    /// Requests had to wait for a slot in this control period.
    pub have_requests_waited: bool,
    /// Hosts whose limits may change at the end of the control period, each once.
    pub hosts_to_adjust: Vec<HostId>,
}

impl SlotBudget {
    /// Returns the budget of one of this number of gateways, which knows no hosts.
    pub fn new(gateways: u32) -> SlotBudget {
        SlotBudget {
            even_share: 0.0,
            share: AdaptiveShare::new(gateways),
            saved_slot_seconds: INITIAL_SAVING,
            saved_at: 0,
            have_requests_waited: false,
            hosts_to_adjust: Vec::new(),
        }
    }

    /// Begins to save slot time from now on.
    pub fn start(&mut self, now: Time) {
        self.saved_at = now;
    }

    /// Returns the slots that this gateway may use.
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

    /// Takes in a response by its latency as a multiple of the baseline latency of its class.
    pub fn record_response(&mut self, latency_ratio: f64) {
        self.share.record_response(latency_ratio);
    }

    /// Adjusts the share at the end of a control period, and returns it.
    pub fn adjust_share(&mut self) -> AdaptiveShare {
        self.share.adjust();
        self.share
    }

    /// Returns whether the hosts are loaded fully, where the even share is too small to tell.
    pub fn is_overloaded(&self) -> bool {
        self.share.is_overloaded(self.even_share)
    }

    /// Returns the whole number of slots that may be in use now, where `in_use` are. A gateway whose share is
    /// below two slots saves it up, and uses two for a while.
    pub fn usable_slots(&mut self, now: Time, in_use: f64) -> f64 {
        let slots = self.slots();
        let elapsed = seconds_between(self.saved_at, now);
        self.saved_at = now;
        let saved = self.saved_slot_seconds + (slots - in_use) * elapsed;
        self.saved_slot_seconds = saved.clamp(-1.0, MAX_SAVING * slots);
        if slots >= BURST_SLOTS {
            slots.floor()
        } else if self.saved_slot_seconds > 0.0 {
            BURST_SLOTS
        } else {
            0.0
        }
    }
}
