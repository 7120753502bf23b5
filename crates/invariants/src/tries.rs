//! One try of a client, as far as rules and figures need to know it.

use crate::answers::Answer;
use crate::effects::Attempts;
use crate::quota::Passed;
use cluster_model::{Span, Time};

#[derive(Debug)]
pub(crate) struct Try {
    pub(crate) id: u64,
    /// Position of the thing that it is a try of.
    pub(crate) thing: usize,
    pub(crate) gateway: u32,
    pub(crate) customer: u64,
    pub(crate) class: usize,
    pub(crate) plan: usize,
    /// As the request names them.
    pub(crate) units: f64,
    pub(crate) asked: Time,
    pub(crate) patience: Span,
    /// The gateway that it was written to before, and when, if its connection there was closed on it unread.
    pub(crate) former: Option<(u32, Time)>,
    pub(crate) answer: Answer,
    pub(crate) attempts: Attempts,
    pub(crate) passed: Passed,
}
