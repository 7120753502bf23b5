//! Measurements of the gateway itself, and rate limits for its log.

pub(crate) mod client_limits;
pub(crate) mod debounced_state;
pub(crate) mod event_loop_delay;
pub(crate) mod failure_stats;
pub(crate) mod in_flight;
pub(crate) mod outage_log;
