//! What a history is held to, in figures.

use crate::ALLOWANCE;
use cluster_model::scenario::{Idempotency, Site};
use cluster_model::Span;
use std::collections::BTreeMap;

/// How many units a customer may be sent on in any window: `rate * seconds + burst + allowance`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBound {
    /// Units a second.
    pub rate: f64,
    /// Units of the store.
    pub burst: f64,
    /// Units beyond those two that are stated in advance for what may fail.
    pub allowance: f64,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// What may run again, by class.
    pub idempotency: Vec<Idempotency>,
    /// The group of a host, within which repeats of a keyed request are dropped. Hosts that are not named are all of
    /// one group.
    pub dedup_groups: BTreeMap<u32, u32>,
    /// By plan; `None`: its customers have no quota, or nothing is stated.
    pub quota_bounds: Vec<Option<QuotaBound>>,
    /// Nothing new to a host later than this after the news that it drains or is gone.
    pub drain_grace: Span,
    /// An answer counts until this long after the client's time.
    pub response_slack: Span,
    /// The longest time that a client gives a request; a planned restart kills no sooner.
    pub max_deadline: Span,
}

impl Limits {
    /// Those of a site. Nothing is allowed beyond the quotas: whoever knows what may fail adds that.
    pub fn for_site(site: &Site) -> Limits {
        let bound =
            |rate: f64, burst: f64| (rate > 0.0).then_some(QuotaBound { rate, burst, allowance: 0.0 });
        Limits {
            idempotency: site.classes.iter().map(|class| class.idempotency).collect(),
            dedup_groups: BTreeMap::new(),
            quota_bounds: site.plans.iter().map(|plan| bound(plan.rate, plan.burst)).collect(),
            drain_grace: site.rules.drain_grace + ALLOWANCE,
            response_slack: site.rules.deadline_slack,
            max_deadline: site.classes.iter().map(|class| class.deadline).max().unwrap_or(0),
        }
    }

    pub(crate) fn group(&self, host: u32) -> Option<u32> {
        self.dedup_groups.get(&host).copied()
    }
}
