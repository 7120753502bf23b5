//! A host: a queue, cold after its start, that falls over if it is sent too much while it is cold.

use cluster_model::rng::Rng;
use policy::api::{Outcome, Span, Time};

use crate::setting::{Down, Trouble, MILLISECOND, SECOND};

/// A cold host that has more than this in its queue falls over, and is down for a while; a warm one turns away.
const QUEUE: Span = 400 * MILLISECOND;
const FALLEN: Span = 10 * SECOND;
/// Nobody waits longer for an answer.
pub(crate) const PATIENCE: Span = 300 * MILLISECOND;

/// A host.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub site: usize,
    pub rate: f64,
    pub down: Option<Down>,
    /// Times longer than usual.
    pub slow: f64,
    pub started: Option<Time>,
    pub cold_share: f64,
    pub cold: Span,
    free_at: Time,
    fallen_until: Time,
    pub fell: u32,
}

impl Host {
    pub fn new(site: usize, rate: f64, cold_share: f64, cold: Span) -> Host {
        Host {
            site,
            rate,
            down: None,
            slow: 1.0,
            started: None,
            cold_share,
            cold,
            free_at: 0,
            fallen_until: 0,
            fell: 0,
        }
    }

    fn warmth(&self, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now.saturating_sub(started)) as f64 / self.cold.max(1) as f64;
        (self.cold_share + (1.0 - self.cold_share) * age).min(1.0)
    }

    /// What waits in its queue.
    pub fn wait(&self, now: Time) -> Span {
        self.free_at.saturating_sub(now)
    }

    /// One attempt: how it ends, and after what span.
    pub fn serve(&mut self, now: Time, trouble: &Trouble, rng: &mut Rng) -> (Outcome, Span) {
        match self.down {
            Some(Down::Silent) => return (Outcome::Timeout, PATIENCE),
            Some(Down::Refused) => return (Outcome::ConnectFailed, MILLISECOND),
            Some(Down::Reset) => return (Outcome::ConnectionReset, MILLISECOND),
            None if now < self.fallen_until => return (Outcome::ConnectFailed, MILLISECOND),
            None => {}
        }
        let warmth = self.warmth(now);
        if self.wait(now) > QUEUE {
            if warmth < 0.9 {
                self.fell += 1;
                self.fallen_until = now + FALLEN;
                self.started = Some(now + FALLEN);
                self.free_at = 0;
                return (Outcome::ConnectionReset, MILLISECOND);
            }
            return (Outcome::Rejected, MILLISECOND);
        }
        let work = SECOND as f64 * self.slow / (self.rate * warmth);
        let own = (6.0 + rng.exponential(6.0)) * self.slow * MILLISECOND as f64;
        let took = self.wait(now) + own as Span;
        self.free_at = self.free_at.max(now) + work as Span;
        let drawn = rng.unit();
        if took > PATIENCE {
            (Outcome::Timeout, PATIENCE)
        } else if drawn < trouble.breaks {
            (Outcome::ConnectionReset, took)
        } else if drawn < trouble.breaks + trouble.errors {
            (Outcome::Error, took)
        } else {
            (Outcome::Ok, took)
        }
    }
}
