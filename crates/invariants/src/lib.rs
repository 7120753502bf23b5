//! Checks a site by the traffic observed between its machines, never by a gateway's own statistics.
//!
//! An [`InvariantChecker`] does no I/O and reads no clock. It consumes
//! [observations](cluster_model::observation::Observation) in chronological order, checks the rules of the site and
//! the conditions that any run has to meet, and returns a [`Verdict`] at the end. Each rule has a module: `responses`
//! (one response for each request), `duplicate_execution`, `drain_grace`, `slow_start` (no host overloaded while
//! warming up) and `ceilings`. `quota` accounts the units that customers were admitted, `weight` their value, and
//! `figures` the other statistics.
//!
//! Hosts, gateways, classes and plans are identified by their numbers in the observations, which count from 0.
//!
//! Observations with the same timestamp may arrive in any order in which fake services record them: an observation
//! of a request that was not sent yet, or of an attempt that was not received yet, waits for that event.
//!
//! ```
//! use invariants::{InvariantChecker, Rule};
//! use cluster_model::scenario::{Site, Traffic};
//! use cluster_model::observation::{Observation, ObservationKind};
//!
//! let mut checker = InvariantChecker::new(&Site::default(), &Traffic::default(), 0);
//! checker.observe(&Observation { at: 5, kind: ObservationKind::GatewayDown { gateway: 1, expected: false } });
//! assert_eq!(checker.violations()[0].rule, Rule::NoCrash);
//! assert_eq!(checker.finish(10).counts.asked, 0);
//! ```

mod ceilings;
mod checker;
mod drain_grace;
mod duplicate_execution;
mod figures;
mod fleet;
mod gateways;
mod notification;
mod observability;
mod quota;
mod request;
mod responses;
mod slow_start;
mod token_bucket;
mod verdict;
mod violations;
mod weight;

pub use checker::InvariantChecker;
pub use verdict::*;

use cluster_model::{Span, Time, MS};

/// Extension of every time limit of the rules for runs on sockets.
const SOCKET_TOLERANCE: Span = 50 * MS;

/// Returns the seconds from `start` to `at`, negative if `at` is earlier.
fn seconds(start: Time, at: Time) -> f64 {
    let apart = at.abs_diff(start) as f64 / 1e9;
    if at < start {
        -apart
    } else {
        apart
    }
}
