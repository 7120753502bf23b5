//! Contribution marks: a total of the counter shows which members have added to it, and how often.
//!
//! The counter adds an amount to a named number and returns the total. Units are integers, so the decimals of a total
//! are unused. They hold one small counter for each gateway that may add to the number (a *member*), as the digits of
//! one integer whose base is the number of values of a counter. With each add a member increments its own counter,
//! which wraps from the highest value to zero, so that no carry reaches the counter of the next member.
//!
//! The counter keeps seven significant digits of a total. The digits that the units do not need hold the marks.

#[cfg(test)]
mod tests;

/// Maximum number of members of one number. Seven digits have room for eight counters of two values each.
pub(crate) const MAX_MEMBERS: u32 = 8;
/// Steps of a total that seven significant digits distinguish: half of ten million, so that each step is at least two
/// units of the last digit.
const EXACT_STEPS: f64 = 5e6;
/// Minimum number of values of a member's counter: fewer could not show a change.
const MIN_BASE: u32 = 2;
/// Maximum number of values of a member's counter, which has to fit into a byte.
const MAX_BASE: u32 = 200;
/// Totals of at least this many steps exceed those of every scheme and are not decoded.
const UNREADABLE_STEPS: f64 = 1e15;

/// The encoding of contribution marks in the totals of one number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarkScheme {
    /// Number of values of one member's counter.
    base: u32,
    members: u32,
    /// Number of steps in one unit.
    scale: f64,
}

/// The counters of all members, in the order of their member index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MemberCounters([u8; MAX_MEMBERS as usize]);

/// A total, split into units and marks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MarkedTotal {
    /// Units that all members have added.
    pub(crate) units: f64,
    /// The members' counters; `None` if the decimals of the total are not valid marks.
    pub(crate) counters: Option<MemberCounters>,
}

/// The mark of one add.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ContributionMark {
    /// The decimals that are added to the amount; negative where the member's counter wraps to zero.
    pub(crate) fraction: f64,
    /// The member's counter after the add.
    pub(crate) counter: u8,
}

impl MarkScheme {
    /// Returns the scheme for this number of members and totals up to `max_total` units, with the largest base that
    /// fits; `None` if there is no room for the members' counters.
    pub(crate) fn new(members: u32, max_total: f64) -> Option<MarkScheme> {
        if members == 0 || members > MAX_MEMBERS {
            return None;
        }
        let mut scale = EXACT_STEPS;
        let mut covered_total = 1.0;
        while covered_total < max_total {
            covered_total *= 10.0;
            scale /= 10.0;
        }
        let fits = |base: &u32| u64::from(*base).saturating_pow(members) as f64 <= scale;
        let base = (MIN_BASE..=MAX_BASE).rev().find(fits)?;
        Some(MarkScheme { base, members, scale })
    }

    /// Returns the scheme of a heartbeat number, which holds marks and no units: each step is one unit, and a
    /// member's counter has `base` values.
    pub(crate) fn heartbeat(members: u32, base: u32) -> MarkScheme {
        MarkScheme { base, members: members.min(MAX_MEMBERS), scale: 1.0 }
    }

    /// Returns the number of values of a member's counter.
    pub(crate) fn base(&self) -> u32 {
        self.base
    }

    /// Returns the amount that increments a member's counter.
    fn step(&self, member: u32) -> f64 {
        u64::from(self.base).saturating_pow(member) as f64 / self.scale
    }

    /// Returns the mark of a member's next add, given the current value of its counter.
    pub(crate) fn next_mark(&self, member: u32, counter: u8) -> ContributionMark {
        let highest = (self.base - 1) as u8;
        if counter >= highest {
            return ContributionMark { fraction: -f64::from(highest) * self.step(member), counter: 0 };
        }
        ContributionMark { fraction: self.step(member), counter: counter + 1 }
    }

    /// Splits a total into units and marks.
    pub(crate) fn decode(&self, total: f64) -> MarkedTotal {
        let steps = (total * self.scale).round();
        if !(0.0..UNREADABLE_STEPS).contains(&steps) {
            return MarkedTotal { units: total, counters: None };
        }
        let steps = steps as u64;
        let steps_per_unit = self.scale as u64;
        let is_heartbeat = steps_per_unit <= 1;
        let units = if is_heartbeat { 0 } else { steps / steps_per_unit };
        let marks = if is_heartbeat { steps } else { steps % steps_per_unit };
        let (counters, remainder) = self.split_counters(marks);
        // Above the largest total of the scheme, the last digits are not exact.
        let is_exact = is_heartbeat || (units * steps_per_unit) as f64 <= EXACT_STEPS;
        if remainder == 0 && is_exact {
            return MarkedTotal { units: units as f64, counters: Some(counters) };
        }
        // A counter that wrapped to zero on a number that was reset leaves the total slightly below its units.
        MarkedTotal { units: total.round(), counters: None }
    }

    /// Splits the marks of a total into the members' counters, and returns the remainder that no member's counter
    /// accounts for.
    fn split_counters(&self, marks: u64) -> (MemberCounters, u64) {
        let base = u64::from(self.base);
        let mut counters = MemberCounters::default();
        let mut remainder = marks;
        for counter in counters.0.iter_mut().take(self.members as usize) {
            *counter = (remainder % base) as u8;
            remainder /= base;
        }
        (counters, remainder)
    }

    /// Returns how often a member has added between two totals, modulo the base: a counter that wraps completely shows
    /// no add.
    pub(crate) fn adds_between(&self, member: u32, before: MemberCounters, after: MemberCounters) -> u32 {
        let before = u32::from(before.get(member));
        let after = u32::from(after.get(member));
        (after + self.base - before) % self.base
    }
}

impl MemberCounters {
    /// Returns a member's counter; zero for a member beyond the last one.
    pub(crate) fn get(&self, member: u32) -> u8 {
        self.0.get(member as usize).copied().unwrap_or(0)
    }
}
