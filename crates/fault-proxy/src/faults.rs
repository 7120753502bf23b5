//! The faults in force on a link, and what they come to together.

use std::time::Duration;

use cluster_model::rng::Rng;
use cluster_model::{Span, Time, MS};

use crate::plan::{Direction, Fault, FaultId};

/// Parts of a flapping link's period are no shorter, or it would do nothing else.
const MIN_FLAP_PHASE: Span = MS / 10;

/// A fault in force.
#[derive(Clone, Debug)]
pub(crate) struct ActiveFault {
    pub id: FaultId,
    pub fault: Fault,
    /// The only connection that it concerns.
    pub only: Option<u64>,
    since: Time,
}

impl ActiveFault {
    fn concerns(&self, connection: u64) -> bool {
        self.only.is_none_or(|only| only == connection)
    }

    /// Whether it stops all that passes in a direction just now, as a cut does.
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

/// Whether a flapping link is cut when it has flapped for so long, and how long that lasts.
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

/// A duration as a span; what is beyond 500 years is for ever.
pub(crate) fn nanos(duration: Duration) -> Span {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

/// What is done with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// It is led to the target.
    Connect,
    /// It is kept, and hears nothing until [`Action::Connect`](crate::core::Action::Connect).
    Wait,
    /// It is reset.
    Reset,
}

/// What the system does with those who ask for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listening {
    /// It takes them.
    Open,
    /// It refuses them.
    Refusing,
    /// It does not answer them.
    Unanswering,
}

/// Those of one link.
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

    /// Those that concern a connection.
    pub fn on(&self, connection: u64) -> impl Iterator<Item = &ActiveFault> {
        self.list.iter().filter(move |active| active.concerns(connection))
    }

    /// How long what comes now is on its way.
    pub fn delay(&self, connection: u64, direction: Direction, rng: &mut Rng) -> Span {
        self.on(connection).fold(0, |sum: Span, active| match &active.fault {
            Fault::Delay { way, base, jitter } if way.covers(direction) => {
                let more = (nanos(*jitter) as f64 * rng.unit()) as Span;
                sum.saturating_add(nanos(*base)).saturating_add(more)
            }
            _ => sum,
        })
    }

    /// Bytes a second, where that is bound.
    pub fn rate(&self, connection: u64, direction: Direction) -> Option<u64> {
        let rates = self.on(connection).filter_map(|active| match &active.fault {
            Fault::Rate { way, bytes_per_s } if way.covers(direction) => Some((*bytes_per_s).max(1)),
            _ => None,
        });
        rates.min()
    }

    /// Whether nothing passes in a direction of a connection.
    pub fn blocks(&self, now: Time, connection: u64, direction: Direction) -> bool {
        self.on(connection).any(|active| active.blocks(now, direction))
    }

    /// The same, and what its sender's end leaves behind is lost.
    pub fn cuts(&self, now: Time, connection: u64, direction: Direction) -> bool {
        self.on(connection).any(|active| active.cuts(now, direction))
    }

    /// The faults that end messages in a direction of a connection: which, in which message, behind how many bytes.
    pub fn cut_messages(&self, connection: u64, direction: Direction) -> Vec<(FaultId, u64, u64)> {
        let cuts = self.on(connection).filter_map(|active| match &active.fault {
            Fault::CutMessage { way, message, bytes, .. } if *way == direction => {
                Some((active.id, *message, *bytes))
            }
            _ => None,
        });
        cuts.collect()
    }

    /// What becomes of a connection that is new, or has waited so far.
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

    /// What the listener does; to refuse goes before not to answer.
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

    /// Whether a flapping link is cut now, and when that changes.
    pub fn flapping(&self, now: Time, id: FaultId) -> Option<(bool, Time)> {
        let active = self.get(id)?;
        let Fault::Flap { down, up, .. } = &active.fault else { return None };
        let (cut, lasts) = flap(now - active.since, *down, *up);
        Some((cut, now.saturating_add(lasts)))
    }
}
