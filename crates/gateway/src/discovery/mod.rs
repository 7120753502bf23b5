//! The endpoint list: one watch at a discovery agent, resumed at the known version after each failure.
//!
//! `watch` keeps the watch open and reports lists to the gateway, `agent` calls the agent, `json_stream` splits
//! response bodies into documents, `endpoint_list` parses these, and `stale_entries` removes outdated entries.

mod agent;
pub(crate) mod endpoint_list;
mod json_stream;
mod stale_entries;
mod watch;

pub(crate) use watch::watch_endpoints;

/// Why a list cannot be used. The latest list stays in effect, and the complete list is requested next.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ListError {
    #[error("not a list of hosts")]
    NoDocument,
    #[error("the list of hosts is too long")]
    TooLong,
    #[error("not a list of hosts: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("a complete list without hosts")]
    Empty,
}
