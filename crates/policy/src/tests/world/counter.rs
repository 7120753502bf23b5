//! Correct and incorrect replies of the counter.

use super::*;

impl TestGateway {
    /// Reports the end of a call.
    pub(super) fn end_call(&mut self, at: usize, outcome: Outcome, total: f64) {
        let CounterCall { key, deadline, .. } = self.calls.remove(at);
        let elapsed = self.deployment.settings.counter_timeout
            - deadline.saturating_sub(self.now).min(30 * MILLISECOND);
        self.report(Event::CounterReplied { key, outcome, total, elapsed });
    }

    /// Ends a call with the outcome and the total selected by `reply_kind`.
    pub(super) fn reply_to_call(&mut self, at: usize, reply_kind: usize) {
        let CounterCall { key, amount, .. } = self.calls[at];
        let total = self.totals.entry(key).or_default();
        let corruption = if self.deployment.is_counter_honest { 0 } else { reply_kind / 10 % 8 };
        match corruption {
            1 => *total = 0.0,
            2 => *total += 30.0,
            3 => *total *= 0.5,
            _ => {}
        }
        let outcome = match reply_kind % 10 {
            0 => Outcome::Timeout,
            1 => Outcome::Rejected,
            2 => Outcome::ConnectFailed,
            3 => Outcome::ConnectionReset,
            _ => Outcome::Ok,
        };
        let is_added = match outcome {
            Outcome::Ok => true,
            Outcome::Timeout => reply_kind % 20 == 0,
            _ => false,
        };
        *total += if is_added { amount } else { 0.0 };
        let reported = match corruption {
            4 => f64::NAN,
            5 => -3.0,
            6 => 1e12,
            _ => *total,
        };
        self.end_call(at, outcome, reported);
    }
}
