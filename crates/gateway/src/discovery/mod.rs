//! The endpoint list: one watch at a discovery agent, resumed at the known version after each failure.
//!
//! `watch` keeps the watch open and reports lists to the gateway, `agent` makes the calls, `json_stream` splits what they
//! bring into documents, `endpoint_list` reads these, and `stale_entries` removes what is older than what is known.

mod agent;
pub(crate) mod endpoint_list;
mod json_stream;
mod stale_entries;
mod watch;

pub(crate) use watch::watch_endpoints;

/// Why a list cannot be used. The latest one stays in effect, and the complete list is requested next.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ListError {
    #[error("not a list of hosts")]
    NoDocument,
    #[error("too long a list of hosts")]
    TooLong,
    #[error("not a list of hosts: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("a whole list without hosts")]
    Empty,
}
