//! A request in hand, and its attempts.

use crate::api::*;
use crate::due::STEP;
use crate::pace::{MS, SECOND};
use hedging::RemainingTime;
use smallvec::SmallVec;

/// Time that the last bytes of a further attempt have to reach its host, at the least; of a long window a
/// tenth.
const WAY: Span = 100 * MS;

#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    #[default]
    Units, // waits for units
    Queued, // waits for a slot
    Out,
    Begun, // the answer streams: it is the client's now
    Closed,
}

#[derive(Default)]
pub(crate) struct Attempt {
    pub host: HostId,
    pub there: (u32, u32), // zone and cell of its host then: a name may start anew elsewhere
    pub sent: Time,
    pub open: bool,
    pub harmless: bool,    // proven never to have run
    pub reached: bool,     // it came whole to a host, as far as is known
    pub slot: Option<u64>, // the pools where it is counted among the slots in use; a hanging one is not
    pub withdrawn: bool,
    pub hung: bool,
    pub used: f64, // share of our part of its host's slots in use, with it
}

#[derive(Default)]
pub(crate) struct Pending {
    pub class: usize,
    pub route: Route,
    pub customer: CustomerId,
    pub units: f64,
    pub arrived: Time,
    pub queued: Time,
    pub aim_at: Time,
    pub deadline: Time,
    pub stage: Stage,
    pub met: bool,     // its customer is known, and counts it
    pub inside: bool,  // let in on leased units, which are spent by the first send
    pub is_due: bool,  // it is to be looked at again once it has waited for units long enough
    pub counted: bool, // its units are on the way to the counter: a rationed one waits for that answer
    pub attempts: SmallVec<[Attempt; 1]>,
}

impl Pending {
    /// Later than this an answer is not to be expected within the aim; a first attempt keeps half of it.
    /// A further one is made while it may well be in time.
    pub fn start_by(&self, latency: f64) -> Time {
        let aim = (self.aim_at - self.arrived) as f64;
        let (least, usual) = if self.attempts.is_empty() { (0.5 * aim, 1.3) } else { (0.0, 0.6) };
        let takes = (usual * latency * SECOND).clamp(least, 0.6 * aim) as Time;
        self.aim_at - takes.max(2 * STEP).min(self.aim_at)
    }
    /// What time its answer has, at a host so many times slower than usual.
    pub fn left(&self, now: Time, slow: f64, late_worth: f64) -> RemainingTime {
        let until = |at: Time| (at as f64 - now as f64) / SECOND / slow;
        RemainingTime {
            until_objective: until(self.aim_at),
            until_deadline: until(self.deadline),
            late_fraction: late_worth,
        }
    }
    /// The first attempt that may have run.
    pub fn ran(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.harmless)
    }
    /// By when the last byte of another attempt has to be written: hosts drop repeats of a keyed request for
    /// a window, which begins with the first attempt that may have run, and the bytes take a moment to
    /// arrive.
    pub fn write_by(&self, effect: Idempotency) -> Time {
        match (effect, self.ran()) {
            (Idempotency::WithKey(_, window), Some(first)) => {
                first.sent.saturating_add(window.saturating_sub(WAY.max(window / 10)))
            }
            _ => Time::MAX,
        }
    }
    /// Whether an attempt is out.
    pub fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.open)
    }
}
