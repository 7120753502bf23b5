//! What is kept of one class: its slots and who waits for them, how long they waited, and how its attempts
//! fare.

use crate::api::{AttemptEnded, Outcome};
use crate::host::Host;
use crate::pace::SECOND;
use crate::pools::Waiting;
use crate::room::Usual;
use crate::strain::Ease;
use hedging::{LatencyDistribution, LossRate};

#[derive(Default)]
pub(crate) struct ClassState {
    pub reserve: f64,
    pub out: usize,
    pub queue: Waiting,
    pub held: f64,       // requests that wait for a slot
    pub held_since: f64, // the moments from which they have, in seconds, added up
    pub waits: f64,
    pub wait_count: f64,
    pub error: f64,
    pub latency: f64, // usual latency in seconds: a geometric mean, which rare long answers hardly move
    pub ease: Ease,
    pub usual: Usual,
    pub times: LatencyDistribution, // what answers take, in seconds at a host of usual speed
    pub silence: LossRate,          // the share of attempts that nobody answers
    pub hung: LossRate,             // the same of those that counted as hanging
    pub failing: f64,               // share of its latest attempts that failed
}

/// Of all attempts so many get no answer, as far as nothing is known; and how many attempts that is worth, of
/// a class and of a host.
const UNHEARD: f64 = 0.005;
const THIN: (f64, f64) = (50.0, 60.0);
/// Of hanging attempts none is held for lost, as far as nothing is known; and how many attempts that is
/// worth.
const HUNG: (f64, f64) = (0.0, 6.0);

impl ClassState {
    /// How many times slower a host is than usual, at least once, and the share of attempts that it does not
    /// answer.
    pub fn silence(&self, host: Option<&Host>) -> (f64, f64) {
        let usual = self.silence.estimate(UNHEARD, THIN.0);
        let known = host.map(|s| ((1.0 + s.slower).max(1.0), s.silence.estimate(usual, THIN.1)));
        known.unwrap_or((1.0, usual))
    }

    /// An attempt has ended that had counted as hanging or not: what that says of answers that never come.
    pub fn resolved(&mut self, host: &mut Host, end: &AttemptEnded, hung: bool) {
        let seconds = end.elapsed as f64 / SECOND / (1.0 + host.slower).max(1.0);
        let never = match end.outcome {
            Outcome::Ok => 0.0,
            Outcome::Timeout => 1.0,
            // One that breaks after a long silence was one; a spoilt answer, or one torn off, came in its
            // time.
            Outcome::ConnectionReset => f64::from(u8::from(hung)),
            // One that was given up for another's answer is taken for what others like it turned out to be.
            Outcome::Cancelled if hung => self.hung.estimate(HUNG.0, HUNG.1),
            _ => return,
        };
        match end.outcome {
            Outcome::Ok => self.times.record_response(seconds),
            Outcome::Cancelled => self.times.record_abandoned(seconds, never),
            _ => {}
        }
        if hung && end.outcome != Outcome::Cancelled {
            self.hung.record(never);
        }
        self.silence.record(never);
        host.silence.record(never);
    }

    /// A request begins to wait for a slot at this moment of the gateway's life.
    pub fn hold(&mut self, since: f64) {
        self.held += 1.0;
        self.held_since += since;
    }

    /// One that waited since then does not any more.
    pub fn let_go(&mut self, since: f64) {
        self.held = (self.held - 1.0).max(0.0);
        // Rounding must not add up.
        self.held_since = if self.held == 0.0 { 0.0 } else { self.held_since - since };
    }
}
