//! Checks the recorded history of a run after its end: the observed traffic, against rules that hold for any run of
//! any fleet, in virtual time or on sockets. Each violation is explained by the shortest chain of events that causes it.
//!
//! A [`History`] records the same [observations](cluster_model::observation::Observation) as the invariant checker, in
//! any order, and each [`StateUse`]. It does no I/O and reads no clock. [`History::check`] checks all of them at the end:
//!
//! 1. `timeline` holds the observations of each request, `availability` when each gateway ran, `notifications` who was
//!    notified of which host state, and `observability` the gaps in notifications and the delays of traffic.
//! 2. `responses`: each request got at most one final response, and one that a running gateway had accepted got one.
//! 3. `duplicate_execution`: no request that may have been executed was forwarded again, or rejected, if its class forbids
//!    that.
//! 4. `quota_windows`: the units forwarded for a customer are within `rate * span + burst + allowance` in *every* window.
//! 5. `drains`: no request was forwarded to a draining or removed host, counted from the notification of the gateway.
//! 6. `state_use`: no cached state was used that was older than stated. In the present program this is the notification of
//!    a host's start; subsystems that share state record each [`StateUse`] themselves.
//!
//! The invariant checker works during the run with running sums, so it reports *that* a rule was violated. The history
//! keeps all events and reports *by which*. Only the invariant checker covers the deadlines of responses, hosts that are
//! warming up, and hard limits.
//!
//! ```
//! use history_checker::{StateUse, History, Rule, Limits};
//! use cluster_model::scenario::Site;
//! use cluster_model::SECOND;
//!
//! let mut history = History::new(Limits::for_site(&Site::default()), 0);
//! history.record_state_use(StateUse {
//!     user: "gateway 2".into(),
//!     subject: "host 4".into(),
//!     value: "slow".into(),
//!     confirmed_at: 3 * SECOND,
//!     used_at: 9 * SECOND,
//!     max_age: 5 * SECOND,
//! });
//! let findings = history.check(10 * SECOND);
//! assert_eq!(findings[0].rule, Rule::StaleState);
//! println!("{}", findings[0]);
//! ```

mod availability;
mod drains;
mod duplicate_execution;
mod finding;
mod history;
mod limits;
mod notifications;
mod observability;
mod quota_windows;
mod responses;
mod state_use;
mod timeline;

pub use finding::{Finding, Rule, Step};
pub use history::History;
pub use limits::{Limits, QuotaBound};
pub use state_use::StateUse;

use cluster_model::{Span, Time, MS, SECOND};

/// Extension of every time limit of the rules for runs on sockets (the protocol's "50 ms longer").
const SOCKET_TOLERANCE: Span = 50 * MS;
/// A gateway is considered notified at the latest this long after its agent (the protocol's 6 s).
const MAX_NOTIFICATION_DELAY: Span = 6 * SECOND;

/// Returns the number of a machine counted from 1, as in scenarios.
fn nth(number: u32) -> u64 {
    u64::from(number) + 1
}

/// Formats a duration in milliseconds.
fn ms(span: Span) -> String {
    format!("{:.1} ms", span as f64 / 1e6)
}

/// Returns the time from `earlier` to `later`, or 0 if `later` is the earlier one.
fn after(later: Time, earlier: Time) -> Span {
    later.saturating_sub(earlier)
}
