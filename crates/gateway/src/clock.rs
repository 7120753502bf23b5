//! The gateway's clock: it never goes back, and reads as Unix time so that hosts' start times and the
//! epochs of shared counts compare with it.

use fennelbeam_policy::api::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time at the start, carried on by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Time,
    started: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: unix.as_nanos() as Time, started: Instant::now() }
    }

    pub fn now(&self) -> Time {
        self.base + self.started.elapsed().as_nanos() as Time
    }

    /// The moment of the runtime's timers that belongs to `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.started + Duration::from_nanos(time.saturating_sub(self.base))
    }
}
