//! Checks the history of a run after the fact: what the wires showed, against rules that hold for any run of any
//! fleet, in virtual time or on sockets. A breach is explained by the shortest chain of events that makes it.
//!
//! A [`History`] takes the judge's [sightings](cluster_model::observation::Observation), in any order, and
//! [`StateUse`]s. It does no I/O and reads no clock. [`History::check`] goes over the whole of it at the end:
//!
//! 1. `tale` holds what was seen of each request, `downs` which gateways ran, `news` who was told what of hosts,
//!    `ears` what could not be heard or came late meanwhile.
//! 2. `answers`: each request got one final answer at most, and one that a running gateway had taken got one.
//! 3. `twice`: nothing that may have run was sent again, or refused, where the class forbids it.
//! 4. `units`: what a customer was sent on keeps to `rate * span + burst + allowance` in *every* window.
//! 5. `drains`: nothing new to a host that drains or is gone, counted from when the gateway was told.
//! 6. `claims`: no verdict was used that was older than stated. Of today's program that is the news of a host's start;
//!    subsystems that share verdicts add [`StateUse`]s of their own.
//!
//! It differs from the judge in this: the judge rules while the run goes on and keeps running sums, so it says *that*
//! a rule broke; the history keeps all events and says *by which*. Whether an answer came in time, cold hosts and
//! ceilings stay with the judge.
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

mod answers;
mod claims;
mod downs;
mod drains;
mod ears;
mod finding;
mod history;
mod news;
mod tale;
mod terms;
mod twice;
mod units;

pub use claims::StateUse;
pub use finding::{Finding, Rule, Step};
pub use history::History;
pub use terms::{Limits, QuotaBound};

use cluster_model::{Span, Time, MS, SECOND};

/// Time limits of the rules are this much longer on sockets (the protocol's "50 ms longer").
const ALLOWANCE: Span = 50 * MS;
/// What an agent has heard counts as told to its gateway so much later at the latest (the protocol's 6 s).
const LATEST: Span = 6 * SECOND;

/// A machine as people count: from 1, as scenarios do.
fn nth(number: u32) -> u64 {
    u64::from(number) + 1
}

/// A span in words, in milliseconds.
fn ms(span: Span) -> String {
    format!("{:.1} ms", span as f64 / 1e6)
}

/// The later of two moments less the earlier one, 0 if they are the other way round.
fn after(later: Time, earlier: Time) -> Span {
    later.saturating_sub(earlier)
}
