//! The side that a gateway is on: which gateways of a customer's set reach the counter that it reaches, and what
//! part of the customer's quota is theirs.

use crate::failure_detector::FailureDetector;
use crate::idempotent_add::{MarkScheme, MemberCounters, MAX_MEMBERS};
use crate::time::{Span, Time};
use crate::traffic_fractions::TrafficFractions;

/// Of a customer that all its gateways ask for all the time, one that has not for this long may be apart.
const QUIET: Span = 900_000_000;
/// A gateway through which a customer comes looks at its total more often than this.
const OFTEN: Span = 3_000_000_000;

/// The gateways that a customer comes through: `spread` in a row from `first`, counted round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewaySet {
    /// Number of the first one.
    pub first_gateway: u32,
    /// How many they are.
    pub set_size: u32,
    /// This gateway.
    pub gateway_index: u32,
    /// All gateways.
    pub gateways: u32,
}

impl GatewaySet {
    /// With a spread from 1 to all gateways.
    pub fn normalized(self) -> GatewaySet {
        let gateways = self.gateways.max(1);
        GatewaySet {
            first_gateway: self.first_gateway % gateways,
            set_size: self.set_size.clamp(1, gateways),
            gateways,
            ..self
        }
    }

    /// This gateway's place among them; one outside them has a place behind the last.
    pub fn member_index(&self) -> u32 {
        (self.gateway_index + self.gateways - self.first_gateway) % self.gateways.max(1)
    }

    /// A span that is the same at all its gateways, and another for most other sets.
    pub fn phase(&self) -> Span {
        let set = u64::from(self.first_gateway) << 32 | u64::from(self.set_size);
        set.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24
    }

    /// The gateway at this place of the set.
    pub fn gateway_at(&self, member: u32) -> u32 {
        (self.first_gateway + member) % self.gateways.max(1)
    }
}

/// What a gateway can reach at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterReachability {
    /// The counter answers, and may be believed as far as others are heard through it.
    Reachable,
    /// It answers again, and other gateways may not have found out and still lend their shares.
    Recovering,
    /// It does not.
    Unreachable,
    /// There is none: everybody holds an even part.
    NoCounter,
}

/// What is kept of a customer whose total was looked at more than once.
#[derive(Clone, Copy, Debug)]
struct History {
    /// The shares as they were lately, and before that: one of them was learnt while all were surely heard.
    lately: TrafficFractions,
    before: TrafficFractions,
    /// When each member was seen to add last, as far as that is sure.
    seen: [Time; MAX_MEMBERS as usize],
}

/// This gateway's side, for one customer.
#[derive(Clone, Debug, Default)]
pub struct PartitionView {
    set: GatewaySet,
    shares: TrafficFractions,
    history: Option<Box<History>>,
    /// How many of the set are heard; none in the dark.
    heard: u32,
    part: f64,
    /// For so long this gateway had not looked when its side was whole last, beyond the usual.
    unseen: Span,
    /// A total has been seen.
    is_met: bool,
    /// When it was whole last, as far as known.
    whole_at: Time,
    looked: Time,
}

impl PartitionView {
    /// Of a customer with this rate, in units a second, met now.
    pub fn new(now: Time, set: GatewaySet, rate: f64) -> PartitionView {
        PartitionView {
            set,
            shares: TrafficFractions::new(now, set.set_size, rate),
            history: None,
            heard: set.set_size,
            part: 1.0,
            unseen: 0,
            is_met: false,
            whole_at: now,
            looked: now,
        }
    }

    /// Part of the quota that is this side's: 1 while all are heard.
    pub fn fraction(&self) -> f64 {
        self.part
    }

    /// Part of the burst that is this side's: of a customer of whom nothing was learnt an even one, whatever the
    /// others hold. It may be new, and less would not do for its larger requests.
    pub fn burst_fraction(&self) -> f64 {
        let even = 1.0 / f64::from(self.set.set_size.max(1));
        if self.part == 0.0 {
            0.0
        } else {
            self.part.max(even * (1.0 - self.shares.confidence()))
        }
    }

    /// Whether all of the set are on it.
    pub fn is_complete(&self) -> bool {
        self.part >= 1.0
    }

    /// Looks who is heard. `strict`: parts do not follow what was seen, and in the dark there is none. `wary`: the customer asks for more
    /// than all of its quota, so that a member of which nothing is seen is taken to be apart until its pulse
    /// proves that it is not. Gives the part before, where the side has changed.
    pub fn update(
        &mut self,
        now: Time,
        hearing: &FailureDetector,
        light: CounterReachability,
        strict: bool,
        wary: bool,
    ) -> Option<f64> {
        let whole_until = self.whole_until(hearing);
        if self.is_complete() {
            self.unseen = whole_until.saturating_sub(self.looked + OFTEN);
            self.whole_at = if self.is_met { whole_until.max(self.looked) } else { whole_until };
        }
        let (heard, part) = self.now(now, hearing, light, strict, wary);
        let before = std::mem::replace(&mut self.part, part);
        (std::mem::replace(&mut self.heard, heard) != heard).then_some(before)
    }

    fn now(
        &self,
        now: Time,
        hearing: &FailureDetector,
        light: CounterReachability,
        strict: bool,
        wary: bool,
    ) -> (u32, f64) {
        let all = self.set.set_size;
        let (sure, ago) = (self.sure(self.whole_until(hearing)), now.saturating_sub(self.whole_at));
        let share = |member| match self.is_met {
            _ if strict => 1.0 / f64::from(all),
            true => sure.fraction_of(member, self.unseen, ago),
            false => sure.fraction_of_unseen(ago),
        };
        match light {
            CounterReachability::NoCounter => (0, 1.0 / f64::from(all)),
            CounterReachability::Unreachable if strict => (0, 0.0),
            CounterReachability::Unreachable | CounterReachability::Recovering => {
                (0, share(self.set.member_index()))
            }
            CounterReachability::Reachable => {
                let heard = |member: &u32| {
                    let gateway = self.set.gateway_at(*member);
                    hearing.is_alive(gateway, now)
                        && !(wary && self.is_quiet(now, *member, hearing.last_heartbeat_at(gateway)))
                };
                let count = (0..all).filter(heard).count() as u32;
                let theirs = (0..all).filter(heard).map(share);
                let part = if count == all { 1.0 } else { theirs.sum() };
                (count, part)
            }
        }
    }

    /// Up to when all of the set are known to have reached one counter.
    fn whole_until(&self, hearing: &FailureDetector) -> Time {
        let others = (0..self.set.set_size).filter(|member| *member != self.set.member_index());
        let heard = others.map(|member| hearing.last_heartbeat_at(self.set.gateway_at(member)));
        heard.min().unwrap_or(0)
    }

    /// The latest shares of which it is sure that nobody was apart when they were learnt: from then on each side
    /// sees only itself.
    fn sure(&self, whole_until: Time) -> TrafficFractions {
        let Some(history) = &self.history else { return self.shares.learned_by(whole_until) };
        let all = [self.shares, history.lately];
        all.into_iter().find(|shares| shares.updated_at() <= whole_until).unwrap_or(history.before)
    }

    /// Whether a member has not been seen for a while, nor heard since.
    fn is_quiet(&self, now: Time, member: u32, heard: Time) -> bool {
        let Some(history) = &self.history else { return false };
        let seen = history.seen.get(member as usize).copied().unwrap_or(Time::MAX);
        member != self.set.member_index() && now > seen.saturating_add(QUIET) && heard <= seen
    }

    /// The counter answers again: for now as if all had been heard all the while.
    pub fn assume_complete(&mut self, part: f64) {
        self.heard = self.set.set_size;
        self.part = part;
    }

    /// Units went through since the last total, with these marks before and after: our own, and those of others,
    /// which are taken to be spread as their adds are. Only a whole side learns whose they are.
    pub fn record_usage(
        &mut self,
        now: Time,
        hearing: &FailureDetector,
        mine: f64,
        others: f64,
        marks: Option<(MarkScheme, MemberCounters, MemberCounters)>,
    ) {
        let whole_until = self.whole_until(hearing);
        let me = self.set.member_index();
        let adds = |member| {
            marks.map_or(0.0, |(marks, before, after)| {
                f64::from(marks.additions_between(member, before, after))
            })
        };
        let since = std::mem::replace(&mut self.looked, now);
        self.is_met = true;
        // The first total of all has nothing before it: of who comes once nothing need be kept.
        if marks.is_some() {
            let unlearnt = self.shares.unlearned();
            let new = || Box::new(History { lately: unlearnt, before: unlearnt, seen: [0; 8] });
            let history = self.history.get_or_insert_with(new);
            for (member, seen) in (0..).zip(&mut history.seen) {
                if adds(member) > 0.0 {
                    *seen = since;
                }
            }
        }
        if !self.is_complete() {
            return;
        }
        let theirs = |member: &u32| *member != me;
        let kept = self.set.set_size.min(MAX_MEMBERS);
        let all: f64 = (0..kept).filter(theirs).map(adds).sum();
        let even = 1.0 / f64::from(kept.max(2) - 1);
        let units = |member| match member {
            member if member == me => (member, mine),
            member if all > 0.0 => (member, others * adds(member) / all),
            member => (member, others * even),
        };
        self.shares.record_usage(now, (0..kept).map(units));
        if let Some(history) =
            self.history.as_mut().filter(|history| history.lately.updated_at() <= whole_until)
        {
            history.before = std::mem::replace(&mut history.lately, self.shares);
        }
    }

    /// Units a second through the other gateways of the set, as last seen.
    pub fn usage_by_others(&self) -> f64 {
        self.shares.usage_by_others(self.set.member_index())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::failure_detector::{HEARTBEAT_EPOCH, HEARTBEAT_INTERVAL};

    fn set(me: u32) -> GatewaySet {
        GatewaySet { first_gateway: 1, set_size: 2, gateway_index: me, gateways: 3 }.normalized()
    }

    /// One that has heard these others, beat by beat from the epoch's beginning on.
    struct Heard {
        hearing: FailureDetector,
        total: f64,
        beats: u64,
    }

    impl Heard {
        fn new(me: u32) -> Heard {
            Heard { hearing: FailureDetector::new(me, 3), total: 0.0, beats: 0 }
        }

        /// So many beats later, all of them with these others.
        fn beat(&mut self, beats: u64, others: &[u32]) -> Time {
            for _ in 0..beats {
                self.beats += 1;
                let now = HEARTBEAT_EPOCH + self.beats * HEARTBEAT_INTERVAL;
                for pulse in self.hearing.heartbeat_calls(now) {
                    self.total +=
                        pulse.amount + others.iter().map(|other| 56_f64.powi(*other as i32)).sum::<f64>();
                    self.hearing.record_total(now, pulse.group, pulse.epoch, self.total);
                }
            }
            HEARTBEAT_EPOCH + self.beats * HEARTBEAT_INTERVAL
        }
    }

    fn hearing(me: u32, others: &[u32]) -> FailureDetector {
        let mut heard = Heard::new(me);
        heard.beat(3, others);
        heard.hearing
    }

    /// A side that saw so many units at each beat go through itself and through the other, of a whole set.
    fn learnt(me: u32, beats: u64, mine: f64, others: f64) -> (PartitionView, Heard) {
        let marks = MarkScheme::new(2, 900.0).unwrap();
        let digits = marks.decode(0.0).counters.unwrap();
        let (mut side, mut heard) = (PartitionView::new(HEARTBEAT_EPOCH, set(me), 10.0), Heard::new(me));
        for _ in 0..beats {
            let now = heard.beat(1, &[3 - me]);
            side.record_usage(now, &heard.hearing, mine, others, Some((marks, digits, digits)));
        }
        (side, heard)
    }

    #[test]
    fn places_are_counted_round() {
        let sets = [0, 1, 2].map(|me| {
            GatewaySet { first_gateway: 2, set_size: 2, gateway_index: me, gateways: 3 }
                .normalized()
                .member_index()
        });
        assert_eq!(sets, [1, 2, 0]);
        assert_eq!(
            GatewaySet { first_gateway: 9, set_size: u32::MAX, gateway_index: 0, gateways: 3 }
                .normalized()
                .set_size,
            3
        );
    }

    #[test]
    fn only_gateways_of_the_set_matter() {
        let now = HEARTBEAT_EPOCH + 3 * HEARTBEAT_INTERVAL;
        let mut side = PartitionView::new(0, set(1), 10.0);
        assert_eq!(side.update(now, &hearing(1, &[2]), CounterReachability::Reachable, false, false), None);
        assert!(side.is_complete());
        assert_eq!(
            side.update(now, &hearing(1, &[0]), CounterReachability::Reachable, false, false),
            Some(1.0)
        );
        assert!(!side.is_complete());
    }

    #[test]
    fn in_the_dark_each_has_the_share_that_it_had_and_the_shares_add_up() {
        let mut parts = Vec::new();
        for (me, mine, others) in [(1, 6.0, 2.0), (2, 2.0, 6.0)] {
            let (mut side, heard) = learnt(me, 20, mine, others);
            side.update(
                HEARTBEAT_EPOCH + 20 * HEARTBEAT_INTERVAL,
                &heard.hearing,
                CounterReachability::Unreachable,
                false,
                false,
            );
            parts.push(side.fraction());
        }
        assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{parts:?}");
        assert!(parts[0] > 0.65, "{parts:?}");
    }

    #[test]
    fn while_others_may_still_lend_the_part_stays_as_in_the_dark() {
        let (mut side, heard) = learnt(1, 20, 6.0, 2.0);
        let now = HEARTBEAT_EPOCH + 20 * HEARTBEAT_INTERVAL;
        side.update(now, &heard.hearing, CounterReachability::Unreachable, false, false);
        let dark = side.fraction();
        assert_eq!(side.update(now, &heard.hearing, CounterReachability::Recovering, false, false), None);
        assert_eq!(side.fraction(), dark);
        assert_eq!(
            side.update(now, &heard.hearing, CounterReachability::Reachable, false, false),
            Some(dark)
        );
        assert!(side.is_complete());
    }

    #[test]
    fn who_had_not_looked_for_long_holds_little_of_what_a_busy_customer_left() {
        // It used all of its quota through both alike. Then all came through the other, and none of it was seen.
        let hold = |quiet: u64| {
            let (mut side, mut heard) = learnt(1, 14, 3.75, 3.75);
            let now = heard.beat(quiet, &[2]);
            side.update(now, &heard.hearing, CounterReachability::Reachable, false, false);
            side.update(now, &heard.hearing, CounterReachability::Unreachable, false, false);
            side.fraction()
        };
        assert!(hold(0) > 0.45, "{}", hold(0));
        assert!(hold(18) < 0.8 * hold(0), "{} of {}", hold(18), hold(0));
        // Of one that used a third of it there is enough for both.
        let (mut side, mut heard) = learnt(1, 14, 1.25, 1.25);
        let now = heard.beat(18, &[2]);
        side.update(now, &heard.hearing, CounterReachability::Reachable, false, false);
        side.update(now, &heard.hearing, CounterReachability::Unreachable, false, false);
        assert!(side.fraction() > 0.4, "{}", side.fraction());
    }

    #[test]
    fn of_a_greedy_customer_who_falls_quiet_is_apart_until_it_is_heard_again() {
        let marks = MarkScheme::new(2, 900.0).unwrap();
        let digits = |total: f64| marks.decode(total).counters.unwrap();
        // The other one, gateway 2, has added between two totals.
        let added = Some((marks, digits(0.0), digits(marks.next_mark(1, 0).fraction)));
        let (start, nothing) =
            (HEARTBEAT_EPOCH + 3 * HEARTBEAT_INTERVAL, Some((marks, digits(0.0), digits(0.0))));
        let heard = hearing(1, &[2]);
        let mut side = PartitionView::new(start, set(1), 10.0);
        let look = |side: &mut PartitionView, after, wary| {
            side.update(start + after, &heard, CounterReachability::Reachable, false, wary);
            side.is_complete()
        };
        side.record_usage(start + HEARTBEAT_INTERVAL / 4, &heard, 1.0, 1.0, added);
        assert!(look(&mut side, HEARTBEAT_INTERVAL, true));
        side.record_usage(start + HEARTBEAT_INTERVAL * 3 / 2, &heard, 1.0, 0.0, nothing);
        assert!(!look(&mut side, HEARTBEAT_INTERVAL * 3 / 2, true), "quiet, and heard only before");
        assert!(look(&mut side, HEARTBEAT_INTERVAL * 3 / 2, false), "of a usual customer that is nothing");
    }

    #[test]
    fn what_a_side_learnt_before_it_missed_the_others_makes_its_part_no_larger() {
        let marks = MarkScheme::new(2, 900.0).unwrap();
        let digits = marks.decode(0.0).counters.unwrap();
        let mut parts = Vec::new();
        for me in [1, 2] {
            let (mut side, mut heard) = learnt(me, 20, 4.0, 4.0);
            // Split, and not missed yet: each sees only what goes through itself.
            for _ in 0..4 {
                let now = heard.beat(1, &[]);
                side.record_usage(now, &heard.hearing, 4.0, 0.0, Some((marks, digits, digits)));
            }
            side.update(heard.beat(1, &[]), &heard.hearing, CounterReachability::Reachable, false, false);
            parts.push(side.fraction());
        }
        assert!(parts.iter().sum::<f64>() < 1.02, "{parts:?}");
    }

    #[test]
    fn who_is_apart_learns_nothing_of_the_others() {
        // Nobody was ever heard: even parts.
        let deaf = FailureDetector::new(1, 3);
        let mut side = PartitionView::new(100 * HEARTBEAT_INTERVAL, set(1), 10.0);
        side.update(110 * HEARTBEAT_INTERVAL, &deaf, CounterReachability::Reachable, false, false);
        (111..140).for_each(|beat| side.record_usage(beat * HEARTBEAT_INTERVAL, &deaf, 9.0, 0.0, None));
        side.update(140 * HEARTBEAT_INTERVAL, &deaf, CounterReachability::Reachable, false, false);
        assert!((side.fraction() - 0.5).abs() < 0.02, "{}", side.fraction());
        side.update(140 * HEARTBEAT_INTERVAL, &deaf, CounterReachability::Unreachable, false, false);
        assert!((side.fraction() - 0.5).abs() < 0.02, "{}", side.fraction());
    }

    #[test]
    fn one_that_is_met_in_the_dark_gets_less_than_even_at_first_but_room_for_its_requests() {
        let mut heard = Heard::new(1);
        let start = heard.beat(20, &[2]);
        let mut side = PartitionView::new(start, set(1), 10.0);
        side.update(start, &heard.hearing, CounterReachability::Unreachable, false, false);
        let first = side.fraction();
        assert!(first < 0.3 && side.burst_fraction() == 0.5, "{first}");
        side.update(
            start + 60 * 1_000_000_000,
            &heard.hearing,
            CounterReachability::Unreachable,
            false,
            false,
        );
        assert!(side.fraction() > 0.45, "{}", side.fraction());
    }
}
