//! One request of a client, as far as the rules and statistics need it.

use crate::duplicate_execution::Attempts;
use crate::quota::Forwarding;
use crate::responses::ResponseState;
use cluster_model::{Span, Time};

#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) id: u64,
    /// Index of the operation that the request belongs to.
    pub(crate) operation: usize,
    pub(crate) gateway: u32,
    pub(crate) customer: u64,
    pub(crate) class: usize,
    pub(crate) plan: usize,
    /// Units that the request names.
    pub(crate) units: f64,
    pub(crate) sent_at: Time,
    pub(crate) timeout: Span,
    /// The previous gateway and the time when the request was written to it, if that gateway closed the connection
    /// without reading the request.
    pub(crate) previous_gateway: Option<(u32, Time)>,
    pub(crate) response: ResponseState,
    pub(crate) attempts: Attempts,
    pub(crate) forwarding: Forwarding,
}
