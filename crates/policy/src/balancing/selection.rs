//! Selection of a host for an attempt: the one with the lowest expected wait.

use super::host::Host;
use super::host_set::Eligible;
use super::slow_start::SlowStartBudget;
use crate::api::{DedupScope, HostId, Idempotency, RequestId, Time};
use crate::attempts::request::InFlightRequest;
use crate::policy::Policy;
use crate::time::seconds_between;
use libm::exp;

/// Cost of a certain failure for an idempotent request, in queued requests.
const FAILURE_WEIGHT: f64 = 1.0;
/// The same for a request that cannot be retried at every host.
const FAILURE_WEIGHT_NOT_REPEATABLE: f64 = 4.0;
/// Additional cost of a host that is presumed unreachable, in queued requests.
const UNREACHABLE_COST: f64 = 4.0;
/// Additional cost of a host in another zone, in queued requests.
const OTHER_ZONE_COST: f64 = 0.1;
/// Additional cost of a host at which this request was already attempted, in queued requests.
const ATTEMPTED_COST: f64 = 100.0;
/// Maximum random cost, in queued requests, so that equal hosts get equal traffic.
const MAX_RANDOM_COST: f64 = 0.05;
/// Time constant in seconds in which a host's excess latency decays, because a host may warm up without
/// attempts.
const LATENCY_DECAY_SECONDS: f64 = 3.0;
/// Maximum number of hosts for which a selection examines all of them.
const MAX_EXHAUSTIVE_CANDIDATES: usize = 16;
/// Number of hosts sampled at random from a larger number, which is about as good as examining all.
const SAMPLE_SIZE: usize = 8;

/// Input to the cost function that is common to all hosts for one request.
struct CostInput {
    now: Time,
    class: usize,
    classes: usize,
    /// Failure fraction of the class over all hosts.
    class_failure_fraction: f64,
    failure_weight: f64,
    mean_reported_load: f64,
    zone: u32,
}

impl CostInput {
    /// Returns the cost of a host: its expected wait in executions of a request, with penalties for failures.
    fn cost(&self, host: &Host, noise: f64) -> f64 {
        // A host without a recent load report counts as loaded as the mean, not as idle.
        let reported_load = host.reported_load.map_or(0.0, |report| {
            (report.load - self.mean_reported_load) * exp(-seconds_between(report.at, self.now))
        });
        let load = 1.0 + host.limit.normalised_load(host.in_flight) + self.mean_reported_load + reported_load;
        let mut cost = self.latency_factor(host) * load + noise * MAX_RANDOM_COST;
        // A host without history for this class is expected to fail as often as the others.
        let class_failure = host.expected_failure(self.class, self.class_failure_fraction, self.now);
        cost += self.failure_weight * class_failure.max(host.failure_level(self.classes, self.now));
        cost += if self.now < host.unreachable_until { UNREACHABLE_COST } else { 0.0 };
        cost += if host.entry.zone != self.zone { OTHER_ZONE_COST } else { 0.0 };
        cost
    }

    /// Returns the latency of a host as a multiple of the typical latency. A host that is used on credit is a
    /// last resort and counts with its maximum latency.
    fn latency_factor(&self, host: &Host) -> f64 {
        let decay = exp(-seconds_between(host.last_response_at, self.now) / LATENCY_DECAY_SECONDS);
        let max_while_warming_up = if host.has_token() { 0.0 } else { 1.0 / host.warm_up_capacity.max(0.01) };
        (1.0 + host.excess_latency * decay).max(max_while_warming_up)
    }
}

impl Policy {
    /// Returns the hosts that a request may be forwarded to, considering which of its attempts may have been
    /// executed; `None` for no host.
    fn eligible_hosts(&self, now: Time, request: &InFlightRequest) -> Option<Eligible> {
        let any = Eligible::Pools(self.pools.serving_pools(&request.route));
        let Some(first) = request.first_possibly_executed() else { return Some(any) };
        let idempotency = self.settings.classes[request.class].idempotency;
        match idempotency {
            Idempotency::Idempotent => Some(any),
            Idempotency::NotIdempotent => None,
            Idempotency::WithKey(..) if now >= request.write_by(idempotency) => None,
            Idempotency::WithKey(DedupScope::All, _) => Some(any),
            Idempotency::WithKey(DedupScope::Zone, _) => Some(Eligible::Zone(first.location.zone)),
            Idempotency::WithKey(DedupScope::Cell, _) => Some(Eligible::Cell(first.location)),
        }
    }

    /// Returns whether any host is eligible for another attempt of a request.
    pub(crate) fn has_eligible_host(&self, now: Time, request: &InFlightRequest) -> bool {
        let Some(eligible) = self.eligible_hosts(now, request) else { return false };
        let lists = self.hosts.lists(eligible);
        if matches!(eligible, Eligible::Pools(_)) && lists.iter().any(|list| !list.is_empty()) {
            return true;
        }
        let is_eligible = |id: &HostId| {
            self.hosts.get(*id).is_some_and(|host| self.pools.is_eligible(&request.route, &host.entry))
        };
        lists.into_iter().any(|list| list.iter().any(is_eligible))
    }

    /// Returns the host with the lowest cost for a request, or `None` if no eligible host is available now.
    pub(crate) fn select_host(&mut self, now: Time, id: RequestId) -> Option<HostId> {
        let eligible = self.eligible_hosts(now, self.requests.get(&id)?)?;
        let mut candidates = std::mem::take(&mut self.hosts.candidates);
        let is_complete = self.select_candidates(eligible, &mut candidates);
        let mut best = self.least_cost_host(now, id, &candidates);
        if best.is_none() && !is_complete {
            candidates.clear();
            for list in self.hosts.lists(eligible) {
                candidates.extend_from_slice(list);
            }
            best = self.least_cost_host(now, id, &candidates);
        }
        self.hosts.candidates = candidates;
        best
    }

    /// Fills `candidates` with eligible hosts: all of them if there are at most
    /// [`MAX_EXHAUSTIVE_CANDIDATES`], otherwise a random sample. Requests for any host consider this
    /// gateway's subset only. Returns whether these are all eligible hosts.
    fn select_candidates(&mut self, eligible: Eligible, candidates: &mut Vec<HostId>) -> bool {
        let lists = match eligible {
            Eligible::Pools(0) => std::iter::once(self.hosts.subset()).collect(),
            _ => self.hosts.lists(eligible),
        };
        let count = lists.iter().map(|list| list.len()).sum::<usize>();
        let all = || lists.iter().copied().flatten();
        candidates.clear();
        let mut add = |id: &HostId| {
            if !candidates.contains(id) {
                candidates.push(*id);
            }
        };
        if count <= MAX_EXHAUSTIVE_CANDIDATES {
            all().for_each(add);
        } else {
            for _ in 0..SAMPLE_SIZE {
                let index = (self.rng.unit() * count as f64) as usize;
                all().nth(index).into_iter().for_each(&mut add);
            }
        }
        count <= MAX_EXHAUSTIVE_CANDIDATES && self.hosts.is_subset_complete()
    }

    fn least_cost_host(&mut self, now: Time, id: RequestId, candidates: &[HostId]) -> Option<HostId> {
        let budget = self.slow_start_budget(now, candidates.len());
        let request = self.requests.get(&id)?;
        let input = self.cost_input(now, request);
        let mut best: Option<(f64, HostId)> = None;
        for host_id in candidates {
            let Some(host) = self.hosts.get_mut(*host_id) else { continue };
            if let Some(budget) = budget {
                host.refill(now, budget, &self.settings);
            }
            let is_available = host.has_token() || host.has_credit();
            if !is_available || !self.pools.is_eligible(&request.route, &host.entry) {
                continue;
            }
            let mut cost = input.cost(host, self.rng.unit());
            cost += if request.was_attempted_at(*host_id) { ATTEMPTED_COST } else { 0.0 };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *host_id));
            }
        }
        self.work += candidates.len() as u64;
        best.map(|(_, host)| host)
    }

    /// Returns the slow-start budget if there may be hosts among the candidates that are warming up.
    fn slow_start_budget(&self, now: Time, candidates: usize) -> Option<SlowStartBudget> {
        let may_be_outside_subset = candidates > MAX_EXHAUSTIVE_CANDIDATES.max(SAMPLE_SIZE);
        if self.hosts.is_subset_warm() && !may_be_outside_subset {
            return None;
        }
        Some(self.hosts.slow_start_budget(now, &self.settings))
    }

    fn cost_input(&self, now: Time, request: &InFlightRequest) -> CostInput {
        let is_idempotent = self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
        CostInput {
            now,
            class: request.class,
            classes: self.settings.classes.len(),
            class_failure_fraction: self.class_statistics[request.class].failure_fraction,
            failure_weight: if is_idempotent { FAILURE_WEIGHT } else { FAILURE_WEIGHT_NOT_REPEATABLE },
            mean_reported_load: self.hosts.mean_reported_load(),
            zone: self.settings.zone,
        }
    }
}
