//! What was seen of one request.

use crate::ears::Ears;
use cluster_model::observation::{ClientOutcome, HostOutcome};
use cluster_model::{Span, Time};

/// A client wrote it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    pub at: Time,
    pub gateway: u32,
    pub patience: Span,
}

/// What a client saw of its end.
#[derive(Clone, Copy, Debug)]
pub(crate) enum End {
    Got(u32, ClientOutcome),
    Left,
}

/// An attempt that came whole to a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub host: u32,
    pub gateway: u32,
    pub first_byte: Time,
    pub came: Time,
    /// When the host was through with it, and how.
    pub ended: Option<(Time, HostOutcome)>,
}

impl Attempt {
    /// Only a host that had turned it away by then, or dropped it before it began, proves that it never ran.
    pub fn may_have_run(&self, by: Time) -> bool {
        !matches!(self.ended, Some((at, HostOutcome::Rejected | HostOutcome::Dropped)) if at <= by)
    }
}

/// A host was through with an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Through {
    pub at: Time,
    pub host: u32,
    pub gateway: u32,
    pub dealt: HostOutcome,
    pub units: Option<f64>,
}

/// All that was seen of one request, in the order in which it was seen.
#[derive(Debug, Default)]
pub(crate) struct Tale {
    pub customer: u64,
    pub class: usize,
    pub plan: usize,
    pub units: f64,
    /// More than once: its connection was closed unread, and it was written again.
    pub asked: Vec<Asked>,
    pub ends: Vec<(Time, End)>,
    pub attempts: Vec<Attempt>,
    pub through: Vec<Through>,
}

impl Tale {
    /// Puts everything in the order of time, and each end to its attempt: sightings of one instant come in any order.
    pub fn settle(&mut self, ears: &Ears) {
        for attempt in &mut self.attempts {
            attempt.first_byte = ears.sent((attempt.gateway, attempt.host), attempt.first_byte);
        }
        self.asked.sort_by_key(|asked| asked.at);
        self.ends.sort_by_key(|(at, _)| *at);
        self.attempts.sort_by_key(|attempt| attempt.came);
        self.through.sort_by_key(|through| through.at);
        for through in &self.through {
            let mine = |attempt: &&mut Attempt| {
                attempt.ended.is_none() && (attempt.host, attempt.gateway) == (through.host, through.gateway)
            };
            if let Some(attempt) = self.attempts.iter_mut().find(mine) {
                attempt.ended = Some((through.at, through.dealt));
            }
        }
    }

    /// The true units and when they were told, where the first good answer did.
    pub fn true_units(&self) -> Option<(Time, f64)> {
        let told = |through: &Through| match through.dealt {
            HostOutcome::Served => through.units.map(|units| (through.at, units)),
            _ => None,
        };
        self.through.iter().find_map(told)
    }
}
