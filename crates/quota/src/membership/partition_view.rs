//! The view of a partition: the gateways of a customer's set that reach the same counter as this one, and the fraction
//! of the customer's quota that they hold together.

use super::failure_detector::FailureDetector;
use super::gateway_set::GatewaySet;
use super::traffic_fractions::TrafficFractions;
use crate::idempotent_add::{MarkScheme, MemberCounters, MAX_MEMBERS};
use crate::time::{Span, Time};

#[cfg(test)]
mod tests;

/// Time without an add after which a member may be partitioned off, in nanoseconds, if the customer makes requests
/// to all members of the set all the time.
const QUIET_TIME: Span = 900_000_000;
/// Upper bound of the usual interval, in nanoseconds, at which a gateway that serves a customer reads its total.
const USUAL_TOTAL_INTERVAL: Span = 3_000_000_000;

/// Whether the counter can be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterReachability {
    /// The counter answers.
    Reachable,
    /// The counter answers again; other gateways may not have noticed yet and still grant units locally.
    Recovering,
    /// The counter does not answer.
    Unreachable,
    /// There is no counter: each gateway holds an even fraction.
    NoCounter,
}

/// How a quota is split while not all members are in one partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FractionPolicy {
    /// By the traffic that came through each member.
    Learned,
    /// Evenly, and without any units while the counter is unreachable.
    Even,
}

/// The assumption about a member that has not added for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuietMembers {
    /// The member is alive as long as its heartbeats are recent.
    Alive,
    /// The member is partitioned off until a later heartbeat proves otherwise: the customer requests more than its
    /// quota, so that each member has reason to add.
    Partitioned,
}

/// The input of an update of a view.
pub(crate) struct ViewUpdate<'a> {
    pub(crate) now: Time,
    pub(crate) detector: &'a FailureDetector,
    pub(crate) reachability: CounterReachability,
    pub(crate) fraction_policy: FractionPolicy,
    pub(crate) quiet_members: QuietMembers,
}

/// The members' adds between two totals of a customer's number.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberAdds {
    pub(crate) scheme: MarkScheme,
    pub(crate) before: MemberCounters,
    pub(crate) after: MemberCounters,
}

impl MemberAdds {
    /// Returns how often a member has added.
    fn by(&self, member: u32) -> f64 {
        f64::from(self.scheme.adds_between(member, self.before, self.after))
    }
}

/// The units that were used between two totals.
pub(crate) struct Usage<'a> {
    pub(crate) now: Time,
    pub(crate) detector: &'a FailureDetector,
    /// Units used through this gateway.
    pub(crate) own_units: f64,
    /// Units used through the other gateways of the set.
    pub(crate) other_units: f64,
    /// `None` if the totals show no marks.
    pub(crate) adds: Option<MemberAdds>,
}

impl Usage<'_> {
    fn adds_by(&self, member: u32) -> f64 {
        self.adds.map_or(0.0, |adds| adds.by(member))
    }
}

/// State kept for a customer whose total was read more than once.
#[derive(Clone, Copy, Debug)]
struct History {
    /// Recent and earlier fractions: one of them was learned while all members were known to be in one partition.
    recent: TrafficFractions,
    earlier: TrafficFractions,
    /// The latest time after which each member is known to have added.
    last_adds: [Time; MAX_MEMBERS as usize],
}

/// The members of the set that reach the counter, and their fraction of the quota.
struct Members {
    alive: u32,
    fraction: f64,
}

/// This gateway's view of the partition that it is in, for one customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartitionView {
    set: GatewaySet,
    fractions: TrafficFractions,
    /// Boxed, since only few customers have one.
    history: Option<Box<History>>,
    /// Members of the set that are alive; zero while the counter is unreachable.
    alive_members: u32,
    fraction: f64,
    /// Time, beyond the usual interval, for which this gateway had read no total when the view was last complete.
    unobserved: Span,
    /// Whether a total has been read.
    has_total: bool,
    /// The latest time at which the view is known to have been complete.
    complete_at: Time,
    last_total_at: Time,
}

impl PartitionView {
    /// Returns the complete view of a customer with this rate, in units per second, at its first request.
    pub(crate) fn new(now: Time, set: GatewaySet, rate: f64) -> PartitionView {
        PartitionView {
            set,
            fractions: TrafficFractions::new(now, set.set_size, rate),
            history: None,
            alive_members: set.set_size,
            fraction: 1.0,
            unobserved: 0,
            has_total: false,
            complete_at: now,
            last_total_at: now,
        }
    }

    /// Returns the fraction of the quota that this partition holds: 1 while it contains all members.
    pub(crate) fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Returns the fraction of the burst that this partition holds. For a customer whose traffic is not known it is at
    /// least an even one, regardless of the other partitions: the customer may be new, and its larger requests need
    /// that much.
    pub(crate) fn burst_fraction(&self) -> f64 {
        let even = 1.0 / f64::from(self.set.set_size.max(1));
        if self.fraction == 0.0 {
            0.0
        } else {
            self.fraction.max(even * (1.0 - self.fractions.confidence()))
        }
    }

    /// Returns whether all members of the set are in this partition.
    pub(crate) fn is_complete(&self) -> bool {
        self.fraction >= 1.0
    }

    /// Updates the view. Returns the previous fraction if the number of members in the partition has changed.
    pub(crate) fn update(&mut self, update: &ViewUpdate) -> Option<f64> {
        let complete_until = self.complete_until(update.detector);
        if self.is_complete() {
            self.unobserved = complete_until.saturating_sub(self.last_total_at + USUAL_TOTAL_INTERVAL);
            self.complete_at =
                if self.has_total { complete_until.max(self.last_total_at) } else { complete_until };
        }
        let members = self.present_members(update, complete_until);
        let previous_fraction = self.fraction;
        let has_changed = members.alive != self.alive_members;
        self.fraction = members.fraction;
        self.alive_members = members.alive;
        has_changed.then_some(previous_fraction)
    }

    fn present_members(&self, update: &ViewUpdate, complete_until: Time) -> Members {
        let set_size = self.set.set_size;
        let even = 1.0 / f64::from(set_size);
        let learned = self.last_complete_fractions(complete_until);
        let elapsed = update.now.saturating_sub(self.complete_at);
        let fraction_of = |member| match update.fraction_policy {
            FractionPolicy::Even => even,
            FractionPolicy::Learned if self.has_total => {
                learned.fraction_of(member, self.unobserved, elapsed)
            }
            FractionPolicy::Learned => learned.fraction_of_new_customer(elapsed),
        };
        match update.reachability {
            CounterReachability::NoCounter => Members { alive: 0, fraction: even },
            CounterReachability::Unreachable if update.fraction_policy == FractionPolicy::Even => {
                Members { alive: 0, fraction: 0.0 }
            }
            CounterReachability::Unreachable | CounterReachability::Recovering => {
                Members { alive: 0, fraction: fraction_of(self.set.member_index()) }
            }
            CounterReachability::Reachable => {
                let alive_members = || (0..set_size).filter(|member| self.is_member_alive(update, *member));
                let alive = alive_members().count() as u32;
                let fraction = if alive == set_size { 1.0 } else { alive_members().map(fraction_of).sum() };
                Members { alive, fraction }
            }
        }
    }

    fn is_member_alive(&self, update: &ViewUpdate, member: u32) -> bool {
        let gateway = self.set.gateway_at(member);
        if !update.detector.is_alive(gateway, update.now) {
            return false;
        }
        update.quiet_members == QuietMembers::Alive
            || !self.is_quiet(update.now, member, update.detector.last_heartbeat_at(gateway))
    }

    /// Returns whether a member has not added for a while, and has sent no heartbeat since.
    fn is_quiet(&self, now: Time, member: u32, last_heartbeat: Time) -> bool {
        let Some(history) = &self.history else { return false };
        let last_add = history.last_adds.get(member as usize).copied().unwrap_or(Time::MAX);
        member != self.set.member_index()
            && now > last_add.saturating_add(QUIET_TIME)
            && last_heartbeat <= last_add
    }

    /// Returns the time up to which all members are known to have reached one counter.
    fn complete_until(&self, detector: &FailureDetector) -> Time {
        let own_member = self.set.member_index();
        let others = (0..self.set.set_size).filter(|member| *member != own_member);
        let last_heartbeats = others.map(|member| detector.last_heartbeat_at(self.set.gateway_at(member)));
        last_heartbeats.min().unwrap_or(0)
    }

    /// Returns the latest fractions that are known to have been learned while all members were in one partition: after
    /// a split each partition observes only its own traffic.
    fn last_complete_fractions(&self, complete_until: Time) -> TrafficFractions {
        let Some(history) = &self.history else { return self.fractions.learned_by(complete_until) };
        let candidates = [self.fractions, history.recent];
        let was_learned_in_time = |fractions: &TrafficFractions| fractions.updated_at() <= complete_until;
        candidates.into_iter().find(was_learned_in_time).unwrap_or(history.earlier)
    }

    /// Treats all members as in one partition again, with this fraction, since the counter answers again.
    pub(crate) fn assume_complete(&mut self, fraction: f64) {
        self.alive_members = self.set.set_size;
        self.fraction = fraction;
    }

    /// Records the units that were used since the latest total. The fractions are learned only in a complete view.
    pub(crate) fn record_usage(&mut self, usage: &Usage) {
        let previous_total_at = self.last_total_at;
        self.last_total_at = usage.now;
        self.has_total = true;
        // The first total has no previous one to compare with: no history is kept for a customer with a single request.
        if usage.adds.is_some() {
            self.record_adds(usage, previous_total_at);
        }
        if self.is_complete() {
            self.learn_fractions(usage);
        }
    }

    /// Records which members have added since the previous total.
    fn record_adds(&mut self, usage: &Usage, previous_total_at: Time) {
        let unlearned = self.fractions.unlearned();
        let history = self.history.get_or_insert_with(|| {
            Box::new(History { recent: unlearned, earlier: unlearned, last_adds: [0; MAX_MEMBERS as usize] })
        });
        for (member, last_add) in (0..).zip(&mut history.last_adds) {
            if usage.adds_by(member) > 0.0 {
                *last_add = previous_total_at;
            }
        }
    }

    /// Learns the fractions from the units used. The units of the other members are split by the number of their adds.
    fn learn_fractions(&mut self, usage: &Usage) {
        let complete_until = self.complete_until(usage.detector);
        let own_member = self.set.member_index();
        let members = self.set.set_size.min(MAX_MEMBERS);
        let others = (0..members).filter(|member| *member != own_member);
        let other_adds: f64 = others.map(|member| usage.adds_by(member)).sum();
        let even = 1.0 / f64::from(members.max(2) - 1);
        let units_of = |member| {
            if member == own_member {
                usage.own_units
            } else if other_adds > 0.0 {
                usage.other_units * usage.adds_by(member) / other_adds
            } else {
                usage.other_units * even
            }
        };
        self.fractions.record_usage(usage.now, (0..members).map(|member| (member, units_of(member))));
        if let Some(history) = &mut self.history {
            if history.recent.updated_at() <= complete_until {
                history.earlier = history.recent;
                history.recent = self.fractions;
            }
        }
    }

    /// Returns the units per second through the other gateways of the set, as last observed.
    pub(crate) fn usage_by_others(&self) -> f64 {
        self.fractions.usage_by_others(self.set.member_index())
    }
}
