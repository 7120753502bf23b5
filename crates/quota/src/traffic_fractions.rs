//! Whose part of a customer's traffic came through which gateway of its set: remembered for the time in which
//! nobody can ask. All gateways see the same totals, so their shares of one customer add up to one.

use crate::bound::FRACTION_DECAY_S;
use crate::idempotent_add::MAX_MEMBERS;
use crate::time::{seconds_between, Span, Time, NANOS_PER_SECOND};

/// Seconds that the shares look back.
const LOOKS_BACK: f64 = 8.0;
/// Seconds of sightings after which they are believed in full: at first each gateway has seen other totals.
const LEARNS: f64 = 3.0;
/// Part of the customer's rate that all members are taken to use evenly, whatever was seen.
const EVEN: f64 = 0.3;
/// Seconds without a look after which a third of the share is left that a gateway held of a customer who used all
/// of its quota: the others have seen by then that nothing comes through this one.
const STALE: f64 = 10.0;
/// Part of an even share for a customer that is met for the first time when the others cannot be heard any more: it
/// may be new, or have come through them.
const UNMET: f64 = 0.45;

/// What of a customer's traffic came through each member, as this gateway last saw it.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficFractions {
    members: u32,
    /// Units a second that came through each, as last seen.
    used: [f32; MAX_MEMBERS as usize],
    rate: f32,
    at: Time,
    /// Seconds of sightings, up to those that it takes to be believed.
    learnt: f32,
}

impl TrafficFractions {
    /// Of a customer with this rate and so many members in its set.
    pub fn new(now: Time, members: u32, rate: f64) -> TrafficFractions {
        TrafficFractions {
            members: members.max(1),
            used: [0.0; MAX_MEMBERS as usize],
            rate: rate.max(1e-9) as f32,
            at: now,
            learnt: 0.0,
        }
    }

    /// Members are kept apart, not too many of them.
    pub fn are_tracked(&self) -> bool {
        self.members <= MAX_MEMBERS
    }

    /// How far what was seen is believed, 0 to 1.
    pub fn confidence(&self) -> f64 {
        f64::from(self.learnt) / LEARNS
    }

    /// When something was seen last.
    pub fn updated_at(&self) -> Time {
        self.at
    }

    /// As they were before anything was seen.
    pub fn unlearned(&self) -> TrafficFractions {
        TrafficFractions { used: [0.0; MAX_MEMBERS as usize], learnt: 0.0, ..*self }
    }

    /// These, if they were learnt by then; else as they were before anything was seen.
    pub fn learned_by(&self, by: Time) -> TrafficFractions {
        if self.at <= by {
            *self
        } else {
            self.unlearned()
        }
    }

    /// Units went through these members since the last sighting: (member, units) for each that is not nought.
    pub fn record_usage(&mut self, now: Time, units: impl Iterator<Item = (u32, f64)>) {
        let fading = libm::exp(-seconds_between(self.at, now) / LOOKS_BACK) as f32;
        self.learnt = (f64::from(self.learnt) + seconds_between(self.at, now)).min(LEARNS) as f32;
        self.used.iter_mut().for_each(|used| *used *= fading);
        for (member, units) in units {
            if let Some(used) = self.used.get_mut(member as usize) {
                *used += (units.max(0.0) / LOOKS_BACK) as f32;
            }
        }
        self.at = now;
    }

    /// A member's share, 0 to 1: the less is known of it the more even. `unseen`: for so long this gateway had not
    /// looked when it could no longer, which is so long ago.
    pub fn fraction_of(&self, member: u32, unseen: Span, ago: Span) -> f64 {
        let even = 1.0 / f64::from(self.members);
        if !self.are_tracked() || member >= self.members {
            return even;
        }
        let floor = EVEN * f64::from(self.rate) / f64::from(self.members);
        let part = |member: usize| f64::from(self.used[member]) + floor;
        let all: f64 = (0..self.members as usize).map(part).sum();
        let seen = if all > 0.0 { part(member as usize) / all } else { even };
        let learnt = self.confidence();
        let known = even + (seen - even) * learnt;
        // What a busy customer's other gateways have seen meanwhile they count as theirs; of one that leaves room
        // it only grows old. One of whom little is known may be either.
        let used: f64 = self.used.iter().map(|used| f64::from(*used)).sum();
        let busy = libm::pow((used / f64::from(self.rate)).min(1.0), 4.0).max(1.0 - learnt);
        let unseen = unseen as f64 / NANOS_PER_SECOND;
        let kept = libm::exp(-unseen * busy / STALE);
        self.faded(known * kept, ago as f64 / NANOS_PER_SECOND + unseen * (1.0 - busy))
    }

    /// The share of a member that has never seen anything of the customer, where the others may have: with them it
    /// makes no more than [`FRACTION_SUM_EXCESS`](crate::bound::FRACTION_SUM_EXCESS) beyond the whole.
    pub fn fraction_of_unseen(&self, ago: Span) -> f64 {
        self.faded(UNMET / f64::from(self.members), ago as f64 / NANOS_PER_SECOND)
    }

    /// What is left of a share after so many seconds; the rest is even.
    fn faded(&self, share: f64, age: f64) -> f64 {
        let even = 1.0 / f64::from(self.members);
        even + (share - even) * libm::exp(-age / FRACTION_DECAY_S)
    }

    /// Units a second through all members but this one, as last seen.
    pub fn usage_by_others(&self, me: u32) -> f64 {
        let others = self.used.iter().enumerate().filter(|(member, _)| *member != me as usize);
        others.map(|(_, used)| f64::from(*used)).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000_000;

    #[test]
    fn shares_add_up_to_one_and_follow_what_was_seen() {
        let mut shares = TrafficFractions::new(0, 3, 30.0);
        assert!((0..3).all(|member| (shares.fraction_of(member, 0, 0) - 1.0 / 3.0).abs() < 1e-9));
        for second in 1..=30 {
            shares.record_usage(second * S, [(0, 20.0), (1, 10.0)].into_iter());
        }
        let all: Vec<f64> = (0..3).map(|member| shares.fraction_of(member, 0, 0)).collect();
        assert!((all.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        assert!(all[0] > 0.5 && all[1] > 0.28 && all[2] < 0.1, "{all:?}");
        assert!((shares.usage_by_others(0) - 10.0).abs() < 1.0);
    }

    #[test]
    fn what_is_long_ago_counts_for_less() {
        let mut shares = TrafficFractions::new(0, 3, 30.0);
        (1..=30).for_each(|second| shares.record_usage(second * S, [(0, 30.0)].into_iter()));
        let (now, later, late) = (
            shares.fraction_of(0, 0, 0),
            shares.fraction_of(0, 0, 15 * S),
            shares.fraction_of(0, 0, 600 * S),
        );
        assert!(
            now > 0.7 && later > 0.5 && later < now && (late - 1.0 / 3.0).abs() < 0.01,
            "{now} {later} {late}"
        );
    }

    #[test]
    fn a_share_that_nobody_looked_at_shrinks_the_faster_the_more_of_the_quota_was_used() {
        let held = |used: f64| {
            let mut shares = TrafficFractions::new(0, 2, 30.0);
            (1..=30).for_each(|second| {
                shares.record_usage(second * S, [(0, used / 2.0), (1, used / 2.0)].into_iter())
            });
            shares.fraction_of(0, 20 * S, 0) / shares.fraction_of(0, 0, 0)
        };
        let all: Vec<f64> = [3.0, 10.0, 20.0, 30.0].map(held).to_vec();
        assert!(all.windows(2).all(|two| two[0] > two[1]) && all[0] > 0.99 && all[3] < 0.2, "{all:?}");
    }

    #[test]
    fn too_many_members_share_evenly() {
        let mut shares = TrafficFractions::new(0, 20, 30.0);
        shares.record_usage(S, [(0, 30.0)].into_iter());
        assert!((shares.fraction_of(0, 0, 0) - 0.05).abs() < 1e-9);
    }
}
