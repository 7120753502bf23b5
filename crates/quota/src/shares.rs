//! Whose part of a customer's traffic came through which gateway of its set: remembered for the time in which
//! nobody can ask. All gateways see the same totals, so their shares of one customer add up to one.

use crate::marks::MOST_MEMBERS;
use crate::{Span, Time, SECOND};

/// Seconds that the shares look back.
const LOOKS_BACK: f64 = 8.0;
/// Seconds after which what is remembered counts for a third, and the rest is even.
const FADES: f64 = 60.0;
/// Seconds of sightings after which they are believed in full: at first each gateway has seen other totals.
const LEARNS: f64 = 10.0;
/// Part of the customer's rate that all members are taken to use evenly, whatever was seen.
const EVEN: f64 = 0.1;

/// A customer's shares.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shares {
    members: u32,
    /// Units a second that came through each, as last seen.
    used: [f32; MOST_MEMBERS as usize],
    rate: f32,
    at: Time,
    /// Seconds of sightings, up to those that it takes to be believed.
    learnt: f32,
}

impl Shares {
    /// Of a customer with this rate and so many members in its set.
    pub fn new(now: Time, members: u32, rate: f64) -> Shares {
        Shares {
            members: members.max(1),
            used: [0.0; MOST_MEMBERS as usize],
            rate: rate as f32,
            at: now,
            learnt: 0.0,
        }
    }

    /// Members are kept apart, not too many of them.
    pub fn are_kept(&self) -> bool {
        self.members <= MOST_MEMBERS
    }

    /// Units went through these members since the last sighting: (member, units) for each that is not nought.
    pub fn saw(&mut self, now: Time, units: impl Iterator<Item = (u32, f64)>) {
        let fading = libm::exp(-seconds(self.at, now) / LOOKS_BACK) as f32;
        self.learnt = (f64::from(self.learnt) + seconds(self.at, now)).min(LEARNS) as f32;
        self.used.iter_mut().for_each(|used| *used *= fading);
        for (member, units) in units {
            if let Some(used) = self.used.get_mut(member as usize) {
                *used += (units.max(0.0) / LOOKS_BACK) as f32;
            }
        }
        self.at = now;
    }

    /// A member's share, 0 to 1: the less is known of it the more even.
    pub fn of(&self, member: u32, now: Time) -> f64 {
        let even = 1.0 / f64::from(self.members);
        if !self.are_kept() || member >= self.members {
            return even;
        }
        let floor = EVEN * f64::from(self.rate) / f64::from(self.members);
        let part = |member: usize| f64::from(self.used[member]) + floor;
        let all: f64 = (0..self.members as usize).map(part).sum();
        let seen = if all > 0.0 { part(member as usize) / all } else { even };
        even + (seen - even) * f64::from(self.learnt) / LEARNS * libm::exp(-seconds(self.at, now) / FADES)
    }

    /// Units a second through all members but this one, as last seen.
    pub fn others(&self, me: u32) -> f64 {
        let others = self.used.iter().enumerate().filter(|(member, _)| *member != me as usize);
        others.map(|(_, used)| f64::from(*used)).sum()
    }
}

fn seconds(from: Time, to: Time) -> f64 {
    let span: Span = to.saturating_sub(from);
    span as f64 / SECOND
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000_000;

    #[test]
    fn shares_add_up_to_one_and_follow_what_was_seen() {
        let mut shares = Shares::new(0, 3, 30.0);
        assert!((0..3).all(|member| (shares.of(member, 0) - 1.0 / 3.0).abs() < 1e-9));
        for second in 1..=30 {
            shares.saw(second * S, [(0, 20.0), (1, 10.0)].into_iter());
        }
        let all: Vec<f64> = (0..3).map(|member| shares.of(member, 30 * S)).collect();
        assert!((all.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        assert!(all[0] > 0.55 && all[1] > 0.28 && all[2] < 0.1, "{all:?}");
        assert!((shares.others(0) - 10.0).abs() < 1.0);
    }

    #[test]
    fn what_is_old_counts_for_less() {
        let mut shares = Shares::new(0, 3, 30.0);
        (1..=30).for_each(|second| shares.saw(second * S, [(0, 30.0)].into_iter()));
        let (now, later, late) = (shares.of(0, 30 * S), shares.of(0, 60 * S), shares.of(0, 630 * S));
        assert!(
            now > 0.9 && later > 0.65 && later < now && (late - 1.0 / 3.0).abs() < 0.01,
            "{now} {later} {late}"
        );
    }

    #[test]
    fn too_many_members_share_evenly() {
        let mut shares = Shares::new(0, 20, 30.0);
        shares.saw(S, [(0, 30.0)].into_iter());
        assert!((shares.of(0, S) - 0.05).abs() < 1e-9);
    }
}
