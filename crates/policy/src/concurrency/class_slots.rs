//! The concurrency slots of one class: its reservation, its slots in use and its queued requests.

use super::class_queue::ClassQueue;
use super::fuzzy::{controller_output, MAX_STEP_FRACTION};
use crate::api::{Span, Time};
use crate::time::{as_seconds, seconds_between};

/// Set point of the mean wait for a slot, as a fraction of the latency objective of the class.
const SET_POINT_FRACTION: f64 = 0.05;
/// Minimum set point of the mean wait, in seconds.
const MIN_SET_POINT_SECONDS: f64 = 1e-3;
/// Maximum change of the error per period, as a multiple of the set point.
const CHANGE_CLAMP: f64 = 1.25;
/// Number of waits for a significant mean. With fewer, the error is scaled down in proportion.
const SIGNIFICANT_WAITS: f64 = 5.0;

/// Input to the reservation controller in a control period.
pub(super) struct ControlInput {
    /// Latency objective of the class.
    pub latency_objective: Span,
    /// Seconds since the gateway started.
    pub uptime: f64,
    /// Total slots of this gateway.
    pub slots: f64,
    /// Slots that are not reserved by classes of higher priority.
    pub available: f64,
}

/// The concurrency state of one request class.
#[derive(Default)]
pub(crate) struct ClassSlots {
    /// Number of slots reserved for the class.
    pub reservation: f64,
    /// Number of slots occupied by attempts of the class.
    pub in_use: usize,
    /// Requests that can be forwarded as soon as a slot and a host are available.
    pub queue: ClassQueue,
    /// Number of requests that wait for a slot or a host: those in the queue and those without a host.
    waiting: f64,
    /// Sum of the start times of these waits, in seconds of the gateway's uptime.
    waiting_since_sum: f64,
    /// Sum of the waits that ended in this period, in seconds.
    ended_waits: f64,
    ended_wait_count: f64,
    /// Error of the mean wait in the last period, in seconds.
    last_error: f64,
}

impl ClassSlots {
    /// Returns the number of requests that wait for a slot or for a host.
    pub fn waiting(&self) -> f64 {
        self.waiting
    }

    /// Records that a request starts to wait, at `since` in seconds of the gateway's uptime.
    pub fn start_wait(&mut self, since: f64) {
        self.waiting += 1.0;
        self.waiting_since_sum += since;
    }

    /// Records the end of a wait that started at `since`, in seconds of the gateway's uptime.
    pub fn end_wait(&mut self, since: f64) {
        self.waiting = (self.waiting - 1.0).max(0.0);
        // Resetting to zero keeps rounding errors from accumulating.
        self.waiting_since_sum = if self.waiting == 0.0 { 0.0 } else { self.waiting_since_sum - since };
    }

    /// Records the duration of a wait that ends with the first attempt of a request.
    pub fn record_wait(&mut self, since: Time, now: Time) {
        self.ended_waits += seconds_between(since, now);
        self.ended_wait_count += 1.0;
    }

    /// Adjusts the reservation by the fuzzy controller at the end of a control period, and returns it.
    pub(super) fn adjust_reservation(&mut self, input: &ControlInput) -> f64 {
        let set_point = (as_seconds(input.latency_objective) * SET_POINT_FRACTION).max(MIN_SET_POINT_SECONDS);
        let ongoing_waits = self.waiting * input.uptime - self.waiting_since_sum;
        let count = self.ended_wait_count + self.waiting;
        let mean_wait = if count > 0.0 { (self.ended_waits + ongoing_waits) / count } else { set_point };
        let error =
            (mean_wait - set_point).clamp(-set_point, set_point) * (count / SIGNIFICANT_WAITS).min(1.0);
        let max_change = CHANGE_CLAMP * set_point;
        let change = (error - self.last_error).clamp(-CHANGE_CLAMP * set_point, max_change);
        let output = controller_output(error / set_point, change / max_change);
        let reservation = self.reservation + output * MAX_STEP_FRACTION * input.slots;
        self.reservation = reservation.clamp(0.0, input.available);
        self.last_error = error;
        self.ended_waits = 0.0;
        self.ended_wait_count = 0.0;
        self.reservation
    }
}
