//! The active faults of a link and their combined effect.

use std::time::Duration;

use cluster_model::rng::Rng;
use cluster_model::{Span, Time, MS};

use crate::plan::{Direction, Fault, FaultId};

/// Minimum duration of each phase of a flapping link; shorter phases would keep the link busy with nothing
/// but phase changes.
const MIN_FLAP_PHASE: Span = MS / 10;

/// An active fault.
#[derive(Clone, Debug)]
pub(crate) struct ActiveFault {
    pub id: FaultId,
    pub fault: Fault,
    /// The only affected connection; `None` for all.
    pub only: Option<u64>,
    since: Time,
}

impl ActiveFault {
    fn affects(&self, connection: u64) -> bool {
        self.only.is_none_or(|only| only == connection)
    }

    /// Returns whether the fault currently blocks all data in a direction, as a cut does.
    fn cuts(&self, now: Time, direction: Direction) -> bool {
        match &self.fault {
            Fault::Cut { way } => way.covers(direction),
            Fault::Flap { way, down, up } => way.covers(direction) && flap(now - self.since, *down, *up).0,
            _ => false,
        }
    }

    fn blocks(&self, now: Time, direction: Direction) -> bool {
        matches!(&self.fault, Fault::Hold { way } if way.covers(direction)) || self.cuts(now, direction)
    }
}

/// Returns whether a link that has flapped for `since` is cut, and how long that phase still lasts.
fn flap(since: Span, down: Duration, up: Duration) -> (bool, Span) {
    let down = nanos(down).max(MIN_FLAP_PHASE);
    let up = nanos(up).max(MIN_FLAP_PHASE);
    let period = down.saturating_add(up);
    let at = since % period;
    if at < down {
        (true, down - at)
    } else {
        (false, period - at)
    }
}

/// Converts a duration to nanoseconds; durations above 500 years are clamped to the maximum.
pub(crate) fn nanos(duration: Duration) -> Span {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

/// How a new connection is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The connection is connected to the target.
    Connect,
    /// The connection is kept but receives nothing until [`Action::Connect`](crate::core::Action::Connect).
    Wait,
    /// The connection is reset.
    Reset,
}

/// How the listener treats connection attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    /// Connections are accepted.
    Open,
    /// Connections are refused.
    Refusing,
    /// Connection attempts are not answered.
    Unanswering,
}

/// The active faults of one link.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    list: Vec<ActiveFault>,
    count: u32,
}

impl Faults {
    pub fn number(&mut self) -> FaultId {
        self.count += 1;
        FaultId(self.count)
    }

    pub fn add(&mut self, now: Time, id: FaultId, only: Option<u64>, fault: Fault) {
        self.list.push(ActiveFault { id, fault, only, since: now });
    }

    pub fn remove(&mut self, id: FaultId) -> Option<ActiveFault> {
        let index = self.list.iter().position(|active| active.id == id)?;
        Some(self.list.remove(index))
    }

    pub fn get(&self, id: FaultId) -> Option<&ActiveFault> {
        self.list.iter().find(|active| active.id == id)
    }

    pub fn ids(&self) -> Vec<FaultId> {
        self.list.iter().map(|active| active.id).collect()
    }

    /// Returns the faults that affect a connection.
    pub fn on(&self, connection: u64) -> impl Iterator<Item = &ActiveFault> {
        self.list.iter().filter(move |active| active.affects(connection))
    }

    /// Returns the delay of bytes that arrive now.
    pub fn delay(&self, connection: u64, direction: Direction, rng: &mut Rng) -> Span {
        self.on(connection).fold(0, |sum: Span, active| match &active.fault {
            Fault::Delay { way, base, jitter } if way.covers(direction) => {
                let more = (nanos(*jitter) as f64 * rng.unit()) as Span;
                sum.saturating_add(nanos(*base)).saturating_add(more)
            }
            _ => sum,
        })
    }

    /// Returns the rate limit in bytes per second, if there is one.
    pub fn rate(&self, connection: u64, direction: Direction) -> Option<u64> {
        let rates = self.on(connection).filter_map(|active| match &active.fault {
            Fault::Rate { way, bytes_per_s } if way.covers(direction) => Some((*bytes_per_s).max(1)),
            _ => None,
        });
        rates.min()
    }

    /// Returns whether nothing can be forwarded in a direction of a connection.
    pub fn blocks(&self, now: Time, connection: u64, direction: Direction) -> bool {
        self.on(connection).any(|active| active.blocks(now, direction))
    }

    /// Returns whether a direction of a connection is cut: nothing can be forwarded, and the queued bytes are
    /// lost if the sender's socket fails.
    pub fn cuts(&self, now: Time, connection: u64, direction: Direction) -> bool {
        self.on(connection).any(|active| active.cuts(now, direction))
    }

    /// Returns the faults that terminate messages in a direction of a connection: id, message number and byte
    /// count.
    pub fn cut_messages(&self, connection: u64, direction: Direction) -> Vec<(FaultId, u64, u64)> {
        let cuts = self.on(connection).filter_map(|active| match &active.fault {
            Fault::CutMessage { way, message, bytes, .. } if *way == direction => {
                Some((active.id, *message, *bytes))
            }
            _ => None,
        });
        cuts.collect()
    }

    /// Returns how to treat a new or waiting connection.
    pub fn opening(&self, now: Time, connection: u64) -> Opening {
        if self.list.iter().any(|active| active.fault == Fault::ResetNew) {
            return Opening::Reset;
        }
        let silent = self.list.iter().any(|active| active.fault == Fault::Silent);
        if silent || self.cuts(now, connection, Direction::Calls) {
            Opening::Wait
        } else {
            Opening::Connect
        }
    }

    /// Returns the state of the listener; `Refuse` takes precedence over `Unanswered`.
    pub fn listening(&self) -> Listening {
        let any = |fault| self.list.iter().any(|active| active.fault == fault);
        if any(Fault::Refuse) {
            Listening::Refusing
        } else if any(Fault::Unanswered) {
            Listening::Unanswering
        } else {
            Listening::Open
        }
    }

    /// Returns whether a flapping link is cut now, and when that changes.
    pub fn flapping(&self, now: Time, id: FaultId) -> Option<(bool, Time)> {
        let active = self.get(id)?;
        let Fault::Flap { down, up, .. } = &active.fault else { return None };
        let (cut, lasts) = flap(now - active.since, *down, *up);
        Some((cut, now.saturating_add(lasts)))
    }
}
