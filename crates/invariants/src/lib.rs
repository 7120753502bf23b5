//! Judges a site by what passed on its wires, never by a gateway's own books.
//!
//! A [`InvariantChecker`] does no I/O and reads no clock. It is fed with [sightings](cluster_model::observation::Observation)
//! in the order of time, keeps five rules and a few that any run has to keep, and ends with a [`Verdict`]. Each rule has a
//! module: `answers` (one answer for each request), `effects` (nothing twice), `drains`, `cold` (no cold host
//! pushed over) and `ceilings`. `quota` counts what customers were let in, `worth` what that was good for,
//! `figures` the rest.
//!
//! Hosts, gateways, classes and plans are called by their numbers in the sightings, which count from 0.
//!
//! Sightings of one instant may come in any order that a set of stand-ins would write them down in: what is
//! seen of a request before it was asked, or of an attempt before it was received, waits for that.
//!
//! ```
//! use invariants::{InvariantChecker, Rule};
//! use cluster_model::scenario::{Site, Traffic};
//! use cluster_model::observation::{Observation, ObservationKind};
//!
//! let mut judge = InvariantChecker::new(&Site::default(), &Traffic::default(), 0);
//! let kind = ObservationKind::GatewayDown { gateway: 1, expected: false };
//! judge.observe(&Observation { at: 5, kind });
//! assert_eq!(judge.violations()[0].rule, Rule::NoCrash);
//! assert_eq!(judge.finish(10).counts.asked, 0);
//! ```

mod answers;
mod breaches;
mod ceilings;
mod cold;
mod drains;
mod ears;
mod effects;
mod figures;
mod fleet;
mod gateways;
mod judge;
mod news;
mod quota;
mod store;
mod tries;
mod verdict;
mod worth;

pub use judge::InvariantChecker;
pub use verdict::*;

use cluster_model::{Span, Time, MS};

/// Time limits of the rules are this much longer on sockets.
const ALLOWANCE: Span = 50 * MS;

/// Seconds from `start`, before it below 0.
fn seconds(start: Time, at: Time) -> f64 {
    let apart = at.abs_diff(start) as f64 / 1e9;
    if at < start {
        -apart
    } else {
        apart
    }
}
