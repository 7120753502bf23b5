//! The side that a gateway is on: which gateways of a customer's set reach the counter that it reaches, and what
//! part of the customer's quota is theirs.

use crate::hearing::{Hearing, BEAT, WITHIN};
use crate::marks::{Digits, Marks, MOST_MEMBERS};
use crate::shares::Shares;
use crate::{Span, Time};

/// Of a customer that all its gateways ask for all the time, one that has not for this long may be apart.
const QUIET: Span = 900_000_000;
/// Whoever is apart is missed within so long: shares learnt since then may be those of one side.
const UNSURE: Span = WITHIN + BEAT;

/// The gateways that a customer comes through: `spread` in a row from `first`, counted round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Set {
    /// Number of the first one.
    pub first: u32,
    /// How many they are.
    pub spread: u32,
    /// This gateway.
    pub me: u32,
    /// All gateways.
    pub gateways: u32,
}

impl Set {
    /// With a spread from 1 to all gateways.
    pub fn sound(self) -> Set {
        let gateways = self.gateways.max(1);
        Set { first: self.first % gateways, spread: self.spread.clamp(1, gateways), gateways, ..self }
    }

    /// This gateway's place among them; one outside them has a place behind the last.
    pub fn member(&self) -> u32 {
        (self.me + self.gateways - self.first) % self.gateways.max(1)
    }

    fn gateway(&self, member: u32) -> u32 {
        (self.first + member) % self.gateways.max(1)
    }
}

/// What a gateway can reach at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Light {
    /// The counter answers, and may be believed as far as others are heard through it.
    Answers,
    /// It does not.
    Dark,
    /// There is none: everybody holds an even part.
    None,
}

/// This gateway's side, for one customer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Side {
    set: Set,
    shares: Shares,
    /// The shares as they were lately, and before that: learnt before anybody who is missed now was apart.
    lately: Shares,
    before: Shares,
    kept: Time,
    /// How many of the set are heard; none in the dark.
    heard: u32,
    part: f64,
    /// When each member was seen to add last, as far as that is sure.
    seen: [Time; MOST_MEMBERS as usize],
    looked: Time,
}

impl Side {
    /// Of a customer with this rate, in units a second, met now.
    pub fn new(now: Time, set: Set, rate: f64) -> Side {
        let shares = Shares::new(now, set.spread, rate);
        Side {
            set,
            shares,
            lately: shares,
            before: shares,
            kept: now,
            heard: set.spread,
            part: 1.0,
            seen: [0; 8],
            looked: now,
        }
    }

    /// Part of the quota that is this side's: 1 while all are heard.
    pub fn part(&self) -> f64 {
        self.part
    }

    /// Whether all of the set are on it.
    pub fn is_whole(&self) -> bool {
        self.part >= 1.0
    }

    /// Looks who is heard. `strict`: parts do not follow what was seen, and in the dark there is none. `wary`: the customer asks for more
    /// than all of its quota, so that a member of which nothing is seen is taken to be apart until its pulse
    /// proves that it is not. Gives the part before, where the side has changed.
    pub fn look(
        &mut self,
        now: Time,
        hearing: &Hearing,
        light: Light,
        strict: bool,
        wary: bool,
    ) -> Option<f64> {
        let (heard, part) = self.now(now, hearing, light, strict, wary);
        let before = std::mem::replace(&mut self.part, part);
        (std::mem::replace(&mut self.heard, heard) != heard).then_some(before)
    }

    fn now(&self, now: Time, hearing: &Hearing, light: Light, strict: bool, wary: bool) -> (u32, f64) {
        let all = self.set.spread;
        let share =
            |shares: &Shares, member| if strict { 1.0 / f64::from(all) } else { shares.of(member, now) };
        match light {
            Light::None => (0, 1.0 / f64::from(all)),
            Light::Dark if strict => (0, 0.0),
            Light::Dark => (0, share(&self.before, self.set.member())),
            Light::Answers if !wary && hearing.hears_all(now) => (all, 1.0),
            Light::Answers => {
                let heard = |member: &u32| {
                    let gateway = self.set.gateway(*member);
                    hearing.hears(gateway, now)
                        && !(wary && self.is_quiet(now, *member, hearing.last(gateway)))
                };
                let count = (0..all).filter(heard).count() as u32;
                // What was learnt before anybody could be missed: since then each side has seen only itself.
                let theirs = (0..all).filter(heard).map(|member| share(&self.before, member));
                let part = if count == all { 1.0 } else { theirs.sum() };
                (count, part)
            }
        }
    }

    /// Whether a member has not been seen for a while, nor heard since.
    fn is_quiet(&self, now: Time, member: u32, heard: Time) -> bool {
        let seen = self.seen.get(member as usize).copied().unwrap_or(Time::MAX);
        member != self.set.member() && now > seen.saturating_add(QUIET) && heard <= seen
    }

    /// The counter answers again: for now as if all had been heard all the while.
    pub fn lit(&mut self, part: f64) {
        self.heard = self.set.spread;
        self.part = part;
    }

    /// Units went through since the last total, with these marks before and after: our own, and those of others,
    /// which are taken to be spread as their adds are. Only a whole side learns whose they are.
    pub fn saw(&mut self, now: Time, mine: f64, others: f64, marks: Option<(Marks, Digits, Digits)>) {
        let me = self.set.member();
        let adds =
            |member| marks.map_or(0.0, |(marks, before, after)| f64::from(marks.adds(member, before, after)));
        let since = std::mem::replace(&mut self.looked, now);
        for (member, seen) in (0..).zip(&mut self.seen) {
            if adds(member) > 0.0 {
                *seen = since;
            }
        }
        if !self.is_whole() {
            return;
        }
        let theirs = |member: &u32| *member != me;
        let kept = self.set.spread.min(MOST_MEMBERS);
        let all: f64 = (0..kept).filter(theirs).map(adds).sum();
        let even = 1.0 / f64::from(kept.max(2) - 1);
        let units = |member| match member {
            member if member == me => (member, mine),
            member if all > 0.0 => (member, others * adds(member) / all),
            member => (member, others * even),
        };
        if now > self.kept + UNSURE {
            self.before = std::mem::replace(&mut self.lately, self.shares);
            self.kept = now;
        }
        self.shares.saw(now, (0..kept).map(units));
    }

    /// Units a second through the other gateways of the set, as last seen.
    pub fn others(&self) -> f64 {
        self.shares.others(self.set.member())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::hearing::{BEAT, EPOCH};

    fn set(me: u32) -> Set {
        Set { first: 1, spread: 2, me, gateways: 3 }.sound()
    }

    /// One that has heard these others.
    fn hearing(me: u32, others: &[u32]) -> Hearing {
        let (mut hearing, mut total) = (Hearing::new(me, 3), 0.0);
        for beat in 1..4 {
            for pulse in hearing.beat(EPOCH + beat * BEAT) {
                total += pulse.amount + others.iter().map(|other| 56_f64.powi(*other as i32)).sum::<f64>();
                hearing.read(EPOCH + beat * BEAT, pulse.group, pulse.epoch, total);
            }
        }
        hearing
    }

    #[test]
    fn places_are_counted_round() {
        let sets = [0, 1, 2].map(|me| Set { first: 2, spread: 2, me, gateways: 3 }.sound().member());
        assert_eq!(sets, [1, 2, 0]);
        assert_eq!(Set { first: 9, spread: u32::MAX, me: 0, gateways: 3 }.sound().spread, 3);
    }

    #[test]
    fn only_gateways_of_the_set_matter() {
        let now = EPOCH + 3 * BEAT;
        let mut side = Side::new(0, set(1), 10.0);
        assert_eq!(side.look(now, &hearing(1, &[2]), Light::Answers, false, false), None);
        assert!(side.is_whole());
        assert_eq!(side.look(now, &hearing(1, &[0]), Light::Answers, false, false), Some(1.0));
        assert!((side.part() - 0.5).abs() < 1e-9);
    }

    #[test]
    fn in_the_dark_each_has_the_share_that_it_had_and_the_shares_add_up() {
        let marks = Marks::new(2, 900.0).unwrap();
        let digits = |total: f64| marks.read(total).digits.unwrap();
        let mut parts = Vec::new();
        for (me, mine, others) in [(1, 9.0, 3.0), (2, 3.0, 9.0)] {
            let mut side = Side::new(0, set(me), 10.0);
            (1..40).for_each(|s| side.saw(s * BEAT, mine, others, Some((marks, digits(0.0), digits(0.0)))));
            side.look(40 * BEAT, &hearing(me, &[]), Light::Dark, false, false);
            parts.push(side.part());
        }
        assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{parts:?}");
        assert!(parts[0] > 0.65, "{parts:?}");
    }

    #[test]
    fn of_a_greedy_customer_who_falls_quiet_is_apart_until_it_is_heard_again() {
        let marks = Marks::new(2, 900.0).unwrap();
        let digits = |total: f64| marks.read(total).digits.unwrap();
        // The other one, gateway 2, has added between two totals.
        let added = Some((marks, digits(0.0), digits(marks.next(1, 0).fraction)));
        let (start, nothing) = (EPOCH + 3 * BEAT, Some((marks, digits(0.0), digits(0.0))));
        let heard = hearing(1, &[2]);
        let mut side = Side::new(start, set(1), 10.0);
        let look = |side: &mut Side, after, wary| {
            side.look(start + after, &heard, Light::Answers, false, wary);
            side.is_whole()
        };
        side.saw(start + BEAT / 4, 1.0, 1.0, added);
        assert!(look(&mut side, BEAT, true));
        side.saw(start + BEAT * 3 / 2, 1.0, 0.0, nothing);
        assert!(!look(&mut side, BEAT * 3 / 2, true), "quiet, and heard only before");
        assert!(look(&mut side, BEAT * 3 / 2, false), "of a usual customer that is nothing");
    }

    #[test]
    fn what_a_side_learnt_before_it_missed_the_others_makes_its_part_no_larger() {
        let marks = Marks::new(2, 900.0).unwrap();
        let digits = |total: f64| marks.read(total).digits.unwrap();
        let seen = Some((marks, digits(0.0), digits(0.0)));
        let mut parts = Vec::new();
        for me in [1, 2] {
            let mut side = Side::new(0, set(me), 10.0);
            (1..40).for_each(|beat| side.saw(beat * BEAT, 6.0, 6.0, seen));
            // Split, and not missed yet: each sees only what goes through itself.
            (40..44).for_each(|beat| side.saw(beat * BEAT, 6.0, 0.0, seen));
            side.look(44 * BEAT, &hearing(me, &[]), Light::Answers, false, false);
            parts.push(side.part());
        }
        assert!(parts.iter().sum::<f64>() < 1.02, "{parts:?}");
    }

    #[test]
    fn who_is_apart_learns_nothing_of_the_others() {
        let mut side = Side::new(0, set(1), 10.0);
        side.look(10 * BEAT, &Hearing::new(1, 3), Light::Answers, false, false);
        (11..40).for_each(|s| side.saw(s * BEAT, 9.0, 0.0, None));
        assert!((side.part() - 0.5).abs() < 1e-9);
        side.look(40 * BEAT, &Hearing::new(1, 3), Light::Dark, false, false);
        assert!((side.part() - 0.5).abs() < 1e-9);
    }
}
