//! The limits that a history is checked against.

use crate::SOCKET_TOLERANCE;
use cluster_model::scenario::{Idempotency, Site};
use cluster_model::Span;
use std::collections::BTreeMap;

/// The units that may be forwarded for a customer in any window: `rate * seconds + burst + allowance`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBound {
    /// Units a second.
    pub rate: f64,
    /// Capacity of the token bucket in units.
    pub burst: f64,
    /// Further units, stated in advance for possible faults.
    pub allowance: f64,
}

/// Limits of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Idempotency, by class.
    pub idempotency: Vec<Idempotency>,
    /// The deduplication group of a host, within which repeats of a keyed request are dropped. Hosts that are not listed form
    /// one group.
    pub dedup_groups: BTreeMap<u32, u32>,
    /// Quota bounds by plan; `None` if the customers have no quota, or no bound is stated.
    pub quota_bounds: Vec<Option<QuotaBound>>,
    /// Grace period after the notification that a host is draining or removed.
    pub drain_grace: Span,
    /// A response counts as in time until this long after the client's timeout.
    pub response_slack: Span,
    /// The longest deadline of a request; a planned restart kills no earlier.
    pub max_deadline: Span,
}

impl Limits {
    /// Returns the limits of a site. No units are allowed beyond the quotas: the caller adds allowances for possible faults.
    pub fn for_site(site: &Site) -> Limits {
        let bound =
            |rate: f64, burst: f64| (rate > 0.0).then_some(QuotaBound { rate, burst, allowance: 0.0 });
        Limits {
            idempotency: site.classes.iter().map(|class| class.idempotency).collect(),
            dedup_groups: BTreeMap::new(),
            quota_bounds: site.plans.iter().map(|plan| bound(plan.rate, plan.burst)).collect(),
            drain_grace: site.rules.drain_grace + SOCKET_TOLERANCE,
            response_slack: site.rules.deadline_slack,
            max_deadline: site.classes.iter().map(|class| class.deadline).max().unwrap_or(0),
        }
    }

    pub(crate) fn group(&self, host: u32) -> Option<u32> {
        self.dedup_groups.get(&host).copied()
    }
}
