//! Marks: a total tells which gateways have added to it, and how often.
//!
//! Amounts are whole numbers, and what stands behind the point of a total is a number with a digit for each
//! gateway that may add to it (its members). With each add a member counts its own digit up by one, and from the
//! highest digit back to nought, so that no digit ever carries into the next. A total has seven digits that are
//! exact; those that its whole part does not need hold the marks.

/// Members whose digits there is room for at the most, also in a digit of two values each.
pub const MOST_MEMBERS: u32 = 8;
/// Steps of a total that seven digits tell apart, with half a digit to spare.
const EXACT: f64 = 5e6;
/// A digit of fewer values tells too little.
const LEAST_BASE: u32 = 2;

/// How the adds of one number's members are told apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarkScheme {
    base: u32,
    members: u32,
    /// Steps in one unit.
    scale: f64,
}

/// The digits of all members, first one first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounters([u8; MOST_MEMBERS as usize]);

/// A total, taken apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarkedTotal {
    /// Units.
    pub units: f64,
    /// Marks; `None`: what stands there is none.
    pub counters: Option<MemberCounters>,
}

/// The mark of one add.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContributionMark {
    /// What it adds to the amount.
    pub fraction: f64,
    /// The member's digit once it has been added.
    pub counter: u8,
}

impl MarkScheme {
    /// For so many members and totals up to `most`. `None`: there is no room for their digits.
    pub fn new(members: u32, most: f64) -> Option<MarkScheme> {
        if members == 0 || members > MOST_MEMBERS {
            return None;
        }
        let mut scale = EXACT;
        let mut whole = 1.0;
        while whole < most {
            whole *= 10.0;
            scale /= 10.0;
        }
        // Half the last exact digit is the smallest step that a reading is sure to show.
        let fits = |base: u32| u64::from(base).saturating_pow(members) as f64 <= scale;
        let base = (LEAST_BASE..=200).rev().find(|base| fits(*base))?;
        Some(MarkScheme { base, members, scale })
    }

    /// One for whole numbers only, with room for `base` values a member.
    pub fn heartbeat(members: u32, base: u32) -> MarkScheme {
        MarkScheme { base, members: members.min(MOST_MEMBERS), scale: 1.0 }
    }

    /// Values of a digit.
    pub fn base(&self) -> u32 {
        self.base
    }

    fn step(&self, member: u32) -> f64 {
        u64::from(self.base).saturating_pow(member) as f64 / self.scale
    }

    /// The mark of a member's next add, after its digit was this.
    pub fn next_mark(&self, member: u32, digit: u8) -> ContributionMark {
        let last = (self.base - 1) as u8;
        if digit >= last {
            return ContributionMark { fraction: -f64::from(last) * self.step(member), counter: 0 };
        }
        ContributionMark { fraction: self.step(member), counter: digit + 1 }
    }

    /// Takes a total apart.
    pub fn decode(&self, total: f64) -> MarkedTotal {
        let steps = (total * self.scale).round();
        if !(0.0..1e15).contains(&steps) {
            return MarkedTotal { units: total, counters: None };
        }
        let (steps, scale) = (steps as u64, self.scale as u64);
        // A pulse is all marks.
        let (whole, mut rest) = if scale <= 1 { (0, steps) } else { (steps / scale, steps % scale) };
        let mut digits = MemberCounters::default();
        for digit in digits.0.iter_mut().take(self.members as usize) {
            *digit = (rest % u64::from(self.base)) as u8;
            rest /= u64::from(self.base);
        }
        // Beyond what it was made for, the last digits are not exact.
        if rest == 0 && (scale <= 1 || (whole * scale) as f64 <= EXACT) {
            return MarkedTotal { units: whole as f64, counters: Some(digits) };
        }
        // A mark that went back to nought on a number that began anew leaves it a little below its units.
        MarkedTotal { units: total.round(), counters: None }
    }

    /// How often a member has added between two readings, at the least.
    pub fn additions_between(&self, member: u32, before: MemberCounters, after: MemberCounters) -> u32 {
        let (before, after) = (u32::from(before.get(member)), u32::from(after.get(member)));
        (after + self.base - before) % self.base
    }
}

impl MemberCounters {
    /// A member's digit.
    pub fn get(&self, member: u32) -> u8 {
        self.0.get(member as usize).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngSeed};

    /// A total as the counter writes it: seven digits.
    fn seven(total: f64) -> f64 {
        format!("{total:.6e}").parse().unwrap()
    }

    #[test]
    fn there_is_room_for_the_gateways_of_a_site() {
        let base = |members, most| MarkScheme::new(members, most).map(|marks| marks.base);
        assert_eq!(
            [base(3, 900.0), base(4, 900.0), base(3, 3000.0), base(4, 3000.0)],
            [Some(17), Some(8), Some(7), Some(4)]
        );
        assert_eq!(base(8, 3000.0), Some(2));
        assert_eq!(base(9, 10.0), None);
        assert_eq!(base(8, 1e5), None);
    }

    #[test]
    fn a_digit_that_is_full_goes_back_and_leaves_its_neighbour() {
        let marks = MarkScheme::new(3, 3000.0).unwrap();
        let (mut total, mut digit) = (0.0, 0);
        for n in 1..=20 {
            let mark = marks.next_mark(1, digit);
            total += 5.0 + mark.fraction;
            digit = mark.counter;
            let reading = marks.decode(seven(total));
            assert_eq!(reading.units, 5.0 * f64::from(n));
            let digits = reading.counters.unwrap();
            assert_eq!([digits.get(0), digits.get(1), digits.get(2)], [0, (n % 7) as u8, 0]);
        }
    }

    #[test]
    fn what_is_no_mark_is_not_read_as_one() {
        let marks = MarkScheme::new(3, 3000.0).unwrap();
        assert_eq!(marks.decode(12.9).counters, None);
        assert_eq!(marks.decode(-3.0).counters, None);
        assert_eq!(marks.decode(f64::NAN).counters, None);
        assert_eq!(marks.decode(12.0).counters, Some(MemberCounters::default()));
    }

    proptest! {
        #![proptest_config(Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

        #[test]
        fn totals_tell_who_has_added(
            members in 1_u32..=8,
            most in 100.0_f64..9000.0,
            adds in prop::collection::vec((0_u32..8, 1_u32..40), 0..60),
        ) {
            let Some(marks) = MarkScheme::new(members, most) else { return Ok(()) };
            let (mut total, mut whole, mut digits) = (0.0, 0.0, [0_u8; 8]);
            for (member, amount) in adds {
                let member = member % members;
                if whole + f64::from(amount) > most {
                    break;
                }
                let mark = marks.next_mark(member, digits[member as usize]);
                total += f64::from(amount) + mark.fraction;
                whole += f64::from(amount);
                digits[member as usize] = mark.counter;
                let reading = marks.decode(seven(total));
                prop_assert_eq!(reading.units, whole);
                // The simulator's wire carries four bytes.
                prop_assert_eq!(marks.decode(f64::from(total as f32)), reading);
                let read = reading.counters.unwrap();
                for member in 0..members {
                    prop_assert_eq!(read.get(member), digits[member as usize]);
                }
            }
        }
    }
}
