//! The observations of one request.

use crate::observability::ObservabilityGaps;
use cluster_model::observation::{ClientOutcome, HostOutcome};
use cluster_model::{Span, Time};

/// A client wrote the request to a gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestWrite {
    pub at: Time,
    pub gateway: u32,
    pub timeout: Span,
}

/// The end of the request as observed by the client.
#[derive(Clone, Copy, Debug)]
pub(crate) enum End {
    Outcome(u32, ClientOutcome),
    Disconnected,
}

/// An attempt that a host has received completely.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub host: u32,
    pub gateway: u32,
    pub first_byte: Time,
    pub received_at: Time,
    /// Time when the host finished the attempt, and the outcome.
    pub ended: Option<(Time, HostOutcome)>,
}

impl Attempt {
    /// Returns whether the attempt may have been executed, as far as is known at `by`. Only a host that rejected the attempt,
    /// or dropped it before its execution, proves that it was never executed.
    pub fn may_have_run(&self, by: Time) -> bool {
        !matches!(self.ended, Some((at, HostOutcome::Rejected | HostOutcome::Dropped)) if at <= by)
    }
}

/// A host finished an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub at: Time,
    pub host: u32,
    pub gateway: u32,
    pub outcome: HostOutcome,
    pub units: Option<f64>,
}

/// All observations of one request, in the order in which they were recorded.
#[derive(Debug, Default)]
pub(crate) struct RequestTimeline {
    pub customer: u64,
    pub class: usize,
    pub plan: usize,
    pub units: f64,
    /// More than one entry if a gateway closed the connection without reading the request, and the client wrote it again.
    pub writes: Vec<RequestWrite>,
    pub ends: Vec<(Time, End)>,
    pub attempts: Vec<Attempt>,
    pub attempt_ends: Vec<AttemptEnd>,
}

impl RequestTimeline {
    /// Sorts the observations chronologically and assigns each end to its attempt: observations with the same timestamp may be
    /// recorded in any order.
    pub fn finish(&mut self, gaps: &ObservabilityGaps) {
        for attempt in &mut self.attempts {
            attempt.first_byte = gaps.earliest_send((attempt.gateway, attempt.host), attempt.first_byte);
        }
        self.writes.sort_by_key(|write| write.at);
        self.ends.sort_by_key(|(at, _)| *at);
        self.attempts.sort_by_key(|attempt| attempt.received_at);
        self.attempt_ends.sort_by_key(|end| end.at);
        for end in &self.attempt_ends {
            let mine = |attempt: &&mut Attempt| {
                attempt.ended.is_none() && (attempt.host, attempt.gateway) == (end.host, end.gateway)
            };
            if let Some(attempt) = self.attempts.iter_mut().find(mine) {
                attempt.ended = Some((end.at, end.outcome));
            }
        }
    }

    /// Returns the actual units and the time when they were reported, if the first successful response reported them.
    pub fn true_units(&self) -> Option<(Time, f64)> {
        let reported = |end: &AttemptEnd| match end.outcome {
            HostOutcome::Served => end.units.map(|units| (end.at, units)),
            _ => None,
        };
        self.attempt_ends.iter().find_map(reported)
    }
}
