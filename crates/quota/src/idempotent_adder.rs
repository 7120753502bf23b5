//! Adds to one number of the counter, each told apart from the others by its mark, so that a call that got no
//! answer is settled by what a later total proves.

use crate::contribution_marks::{ContributionMark, MarkScheme, MemberCounters};

/// One add on its way, or in doubt.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Add {
    units: f64,
    /// `None`: it carries no mark, and nothing will prove it.
    mark: Option<ContributionMark>,
}

/// What an answer tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AddOutcome {
    /// Units that all members have added.
    pub total_units: f64,
    /// Of those, own ones that are known of only now: of this call, and of one before that was in doubt.
    pub confirmed_units: f64,
    /// Marks of all members.
    pub member_counters: Option<MemberCounters>,
    /// Own units that had stood there and are gone: the number began anew.
    pub forgotten_units: f64,
}

/// A member's side of one number.
#[derive(Clone, Debug, Default)]
pub struct IdempotentAdder {
    marks: Option<MarkScheme>,
    member: u32,
    epoch: u64,
    /// Own digit, as it was found last; nought where an epoch begins. In one that had begun before this member
    /// did, a process before this one may have left another, and the first answer tells: an add until then
    /// carries no mark, for one on a full digit would carry into the next member's.
    digit: Option<u8>,
    /// Own units in this epoch that are known to have been added.
    added: f64,
    out: Option<Add>,
    doubt: Option<Add>,
    /// Adds in this epoch that were not proven when they were in doubt: each may have been added after that.
    unproven: u8,
    /// Answers in a row in which our digit was found as it was expected: only then does another one prove
    /// anything. Gateways of another version, which set no marks, make digits a matter of chance. `None`: the
    /// number has begun anew in this epoch, and whoever goes back to nought there changes the digits of others.
    agreed: Option<u8>,
}

/// All that an adder at rest has to remember: see [`Adder::rest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CompactAdder {
    epoch: u32,
    added: f32,
    digit: Option<u8>,
    unproven: u8,
    agreed: Option<u8>,
}

impl CompactAdder {
    /// Whether own units are known to stand there in this epoch.
    pub(crate) fn has_added_in(&self, epoch: u64) -> bool {
        u64::from(self.epoch) == epoch && self.added > 0.0
    }
}

/// Answers that make digits believed.
const BELIEVED: u8 = 3;

impl IdempotentAdder {
    /// Of this member, counted from 0, among so many, in an epoch that has begun before this member did. Totals
    /// are not above `most`.
    pub fn new(member: u32, members: u32, most: f64, epoch: u64) -> IdempotentAdder {
        let marks = MarkScheme::new(members, most).filter(|_| member < members);
        IdempotentAdder {
            marks,
            member,
            epoch,
            digit: None,
            added: 0.0,
            out: None,
            doubt: None,
            unproven: 0,
            agreed: Some(0),
        }
    }

    /// Whether a call has no answer yet.
    pub fn is_call_in_flight(&self) -> bool {
        self.out.is_some()
    }

    /// Whether a call that gets no answer will be settled by the next total.
    pub fn can_prove_next_add(&self) -> bool {
        self.marks.is_none() || self.digit.is_some()
    }

    /// Own units in this epoch that are known to have been added.
    pub fn added_units(&self) -> f64 {
        self.added
    }

    /// Marks of the number.
    pub fn mark_scheme(&self) -> Option<MarkScheme> {
        self.marks
    }

    /// A call that adds these units, rounded up to whole ones: gives the amount. While an earlier one is in
    /// doubt it only reads; also where the counter is `suspected` to have begun anew and the own digit is full:
    /// to go back to nought from a digit that is not there would change another member's.
    pub fn start_call(&mut self, epoch: u64, units: f64, suspected: bool) -> f64 {
        self.turn(epoch);
        let goes_back =
            |marks: MarkScheme| self.digit.is_some_and(|digit| u32::from(digit) + 1 >= marks.base());
        let add = match (self.doubt, self.marks) {
            (Some(_), _) => Add { units: 0.0, mark: None },
            (None, Some(marks)) if suspected && goes_back(marks) => Add { units: 0.0, mark: None },
            (None, None) => Add { units, mark: None },
            (None, Some(marks)) => {
                let digit = self.digit.filter(|_| units > 0.0);
                let mark = digit.map(|digit| marks.next_mark(self.member, digit));
                Add { units: units.max(0.0).ceil(), mark }
            }
        };
        self.out = Some(add);
        add.units + add.mark.map_or(0.0, |mark| mark.fraction)
    }

    /// Numbers start anew with each epoch; what was in doubt is never known.
    fn turn(&mut self, epoch: u64) {
        if epoch != self.epoch {
            self.epoch = epoch;
            self.digit = Some(0);
            self.added = 0.0;
            self.doubt = None;
            self.unproven = 0;
            self.agreed = Some(0);
        }
    }

    /// Whether own units are known to stand there in this epoch.
    pub fn has_added_in(&self, epoch: u64) -> bool {
        epoch == self.epoch && self.added > 0.0
    }

    /// The call got this total, in the epoch that it was made in. `suspected`: the counter is known to have begun
    /// anew since the total before.
    pub fn complete_call(&mut self, epoch: u64, total: f64, suspected: bool) -> AddOutcome {
        let reading = self.marks.map(|marks| marks.decode(total));
        let whole = reading.map_or(total, |reading| reading.units);
        let digits = reading.and_then(|reading| reading.counters);
        let out = self.out.take();
        let units = out.map_or(0.0, |add| add.units);
        if epoch != self.epoch {
            return AddOutcome {
                total_units: whole,
                confirmed_units: units,
                member_counters: digits,
                forgotten_units: 0.0,
            };
        }
        let doubt = self.doubt.take();
        let found = digits.map(|digits| digits.get(self.member));
        let proven = doubt.filter(|doubt| doubt.mark.is_some_and(|mark| Some(mark.counter) == found));
        let landed = units + proven.map_or(0.0, |doubt| doubt.units);
        let expected = proven.or(out).and_then(|add| add.mark).map(|mark| mark.counter).or(self.digit);
        self.unproven = self.unproven.saturating_add(u8::from(doubt.is_some() && proven.is_none()));
        // The smallest total that holds all of ours; where others have added as much meanwhile, our digit tells.
        let is_fresh = whole + 0.5 < self.added + landed || self.began_anew(expected, found, suspected);
        if is_fresh {
            self.agreed = None;
        }
        let lost = if is_fresh { self.added + landed - units } else { 0.0 };
        self.added += landed - lost;
        self.digit = found.or(expected);
        AddOutcome {
            total_units: whole,
            confirmed_units: landed,
            member_counters: digits,
            forgotten_units: lost,
        }
    }

    /// Whether a digit is found that cannot be, on a number that goes on.
    fn began_anew(&mut self, expected: Option<u8>, found: Option<u8>, suspected: bool) -> bool {
        let Some(((expected, found), marks)) = expected.zip(found).zip(self.marks) else { return false };
        let base = marks.base();
        let ahead = (u32::from(found) + base - u32::from(expected) % base) % base;
        if ahead <= u32::from(self.unproven) {
            self.agreed = self.agreed.map(|answers| answers.saturating_add(1));
            return false;
        }
        let agreed = self.agreed;
        self.agreed = agreed.map(|_| 0);
        suspected || agreed.is_some_and(|answers| answers >= BELIEVED)
    }

    /// The call got none. `may_count`: it may have been added all the same.
    pub fn fail_call(&mut self, may_count: bool) {
        let Some(add) = self.out.take().filter(|_| may_count) else { return };
        if add.units > 0.0 && self.doubt.is_none() {
            self.doubt = Some(add);
        }
    }

    /// Units of which nobody knows whether they were added.
    pub fn in_doubt_units(&self) -> f64 {
        self.doubt.map_or(0.0, |doubt| doubt.units)
    }

    /// What there is to remember of one with no call out and none in doubt; else `None`. Units added are whole
    /// numbers of few digits, so the small figures are exact; where one is not, there is no rest either.
    pub(crate) fn rest(&self) -> Option<CompactAdder> {
        let (epoch, added) = (u32::try_from(self.epoch).ok()?, self.added as f32);
        let IdempotentAdder { digit, unproven, agreed, .. } = *self;
        let is_still = self.out.is_none() && self.doubt.is_none() && f64::from(added) == self.added;
        is_still.then_some(CompactAdder { epoch, added, digit, unproven, agreed })
    }

    /// This one, which is new, with what another had to remember when it came to rest.
    pub(crate) fn woken(self, rest: CompactAdder) -> IdempotentAdder {
        let CompactAdder { epoch, added, digit, unproven, agreed } = rest;
        IdempotentAdder { epoch: epoch.into(), added: added.into(), digit, unproven, agreed, ..self }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngSeed};

    fn seven(total: f64) -> f64 {
        format!("{total:.6e}").parse().unwrap()
    }

    #[test]
    fn an_add_without_an_answer_is_proven_by_the_next_total() {
        for counts in [true, false] {
            let mut adder = IdempotentAdder::new(0, 3, 900.0, 0);
            let mut total = adder.start_call(1, 10.0, false);
            assert_eq!(adder.complete_call(1, seven(total), false).confirmed_units, 10.0);
            let lost = adder.start_call(1, 7.0, false);
            total += if counts { lost } else { 0.0 };
            adder.fail_call(true);
            assert_eq!(adder.in_doubt_units(), 7.0);
            assert_eq!(adder.start_call(1, 5.0, false), 0.0, "it only reads");
            // Others have added just as much meanwhile.
            total += 7.0;
            let told = adder.complete_call(1, seven(total), false);
            assert_eq!(told.confirmed_units, if counts { 7.0 } else { 0.0 });
            assert_eq!(adder.in_doubt_units(), 0.0);
        }
    }

    #[test]
    fn a_number_that_has_forgotten_our_adds_is_told_from_one_that_has_not() {
        let mut adder = IdempotentAdder::new(1, 3, 900.0, 0);
        let first = adder.start_call(1, 40.0, false);
        assert_eq!(adder.complete_call(1, seven(first), false).forgotten_units, 0.0);
        let second = adder.start_call(1, 5.0, false);
        let told = adder.complete_call(1, seven(second), false);
        assert_eq!((told.confirmed_units, told.forgotten_units), (5.0, 40.0));
        assert_eq!(adder.added_units(), 5.0);
    }

    #[test]
    fn a_number_that_others_have_filled_anew_beyond_our_adds_is_told_by_our_digit() {
        let mut adder = IdempotentAdder::new(1, 3, 900.0, 0);
        let mut total = 0.0;
        for _ in 0..4 {
            total += adder.start_call(1, 15.0, false);
            adder.complete_call(1, seven(total), false);
        }
        // Replaced; another has leased 80 of the fresh one before our next call.
        let told = {
            let fresh = 80.0
                + MarkScheme::new(3, 900.0).unwrap().next_mark(0, 0).fraction
                + adder.start_call(1, 5.0, false);
            adder.complete_call(1, seven(fresh), false)
        };
        assert_eq!((told.confirmed_units, told.forgotten_units), (5.0, 60.0));
        assert_eq!(adder.added_units(), 5.0);
    }

    #[test]
    fn a_neighbour_that_goes_back_on_a_number_begun_anew_is_no_second_beginning() {
        let (mut full, mut other) =
            (IdempotentAdder::new(0, 3, 3000.0, 0), IdempotentAdder::new(1, 3, 3000.0, 0));
        let mut total = 0.0;
        for _ in 0..6 {
            total += full.start_call(1, 5.0, false) + other.start_call(1, 5.0, false);
            full.complete_call(1, seven(total), false);
            other.complete_call(1, seven(total), false);
        }
        // Replaced: one goes on from a full digit, and takes what is missing from the other's.
        let mut total = 0.0;
        let mut lost = 0.0;
        for step in 0..12 {
            total += other.start_call(1, 5.0, false);
            lost += other.complete_call(1, seven(total), false).forgotten_units;
            if step == 6 {
                total += full.start_call(1, 5.0, false);
                full.complete_call(1, seven(total), false);
            }
        }
        assert_eq!(lost, 30.0, "told once");
    }

    #[test]
    fn adds_without_marks_are_no_sign_of_a_number_begun_anew() {
        let mut adder = IdempotentAdder::new(0, 3, 900.0, 0);
        let mut total = 0.0;
        for step in 0..60 {
            total += adder.start_call(1, 2.0, false);
            let told = adder.complete_call(1, seven(total), false);
            assert_eq!(told.forgotten_units, 0.0, "step {step}");
            // A gateway of another version leases fractions.
            total += 1.237_4 + 0.311 * f64::from(step % 7);
        }
    }

    #[test]
    fn an_add_that_is_carried_out_long_after_its_doubt_is_no_sign_of_a_number_begun_anew() {
        let mut adder = IdempotentAdder::new(0, 3, 900.0, 0);
        let mut first = 0.0;
        for _ in 0..4 {
            first += adder.start_call(1, 10.0, false);
            adder.complete_call(1, seven(first), false);
        }
        let late = adder.start_call(1, 7.0, false);
        adder.fail_call(true);
        adder.start_call(1, 0.0, false);
        assert_eq!(adder.complete_call(1, seven(first), false).confirmed_units, 0.0, "not there yet");
        let next = adder.start_call(1, 4.0, false);
        let told = adder.complete_call(1, seven(first + late + next), false);
        assert_eq!((told.confirmed_units, told.forgotten_units), (4.0, 0.0));
    }

    #[test]
    fn who_starts_in_the_middle_of_an_epoch_goes_on_from_the_digit_that_it_finds() {
        let mut adder = IdempotentAdder::new(0, 2, 900.0, 3);
        let first = adder.start_call(3, 4.0, false);
        assert_eq!(first, 4.0, "without a mark, whatever stands there");
        // One that died has left two steps behind.
        adder.complete_call(3, seven(30.0 + 2.0 * 0.0002 + first), false);
        adder.start_call(3, 4.0, false);
        adder.fail_call(true);
        adder.start_call(3, 4.0, false);
        let told = adder.complete_call(3, seven(38.0 + 3.0 * 0.0002), false);
        assert_eq!(told.confirmed_units, 4.0);
    }

    #[test]
    fn who_starts_anew_on_a_full_digit_leaves_its_neighbour_s() {
        let (mut first, mut other) =
            (IdempotentAdder::new(0, 3, 3000.0, 0), IdempotentAdder::new(1, 3, 3000.0, 0));
        let mut total = other.start_call(1, 1.0, false);
        other.complete_call(1, seven(total), false);
        for _ in 0..6 {
            total += first.start_call(1, 5.0, false);
            first.complete_call(1, seven(total), false);
        }
        let digits = |told: AddOutcome| told.member_counters.map(|digits| [digits.get(0), digits.get(1)]);
        // Killed, and back in the same epoch.
        let mut first = IdempotentAdder::new(0, 3, 3000.0, 1);
        total += first.start_call(1, 5.0, false);
        assert_eq!(digits(first.complete_call(1, seven(total), false)), Some([6, 1]));
        total += first.start_call(1, 5.0, false);
        assert_eq!(digits(first.complete_call(1, seven(total), false)), Some([0, 1]));
    }

    #[test]
    fn a_step_back_on_a_number_that_began_anew_is_not_read_as_a_unit_less() {
        let mut adder = IdempotentAdder::new(0, 3, 3000.0, 0);
        let mut total = 0.0;
        for _ in 0..6 {
            total += adder.start_call(1, 5.0, false);
            adder.complete_call(1, seven(total), false);
        }
        // Replaced by a fresh one: what goes back to nought goes below it.
        let mut fresh = adder.start_call(1, 5.0, false);
        let told = adder.complete_call(1, seven(fresh), false);
        assert_eq!((told.total_units, told.confirmed_units, told.forgotten_units), (5.0, 5.0, 30.0));
        fresh += adder.start_call(1, 5.0, false);
        let told = adder.complete_call(1, seven(fresh), false);
        assert_eq!((told.total_units, told.confirmed_units, told.forgotten_units), (10.0, 5.0, 0.0));
    }

    #[test]
    fn a_counter_known_to_have_begun_anew_is_believed_by_the_first_digit_that_cannot_be() {
        let found = |suspected| {
            let mut adder = IdempotentAdder::new(1, 3, 900.0, 0);
            let first = adder.start_call(1, 15.0, false);
            adder.complete_call(1, seven(first), false);
            // Replaced; another has leased 80 of the fresh one, and this one adds to it.
            let second = adder.start_call(1, 5.0, false);
            adder.complete_call(1, seven(80.0 + second), suspected).forgotten_units
        };
        assert_eq!([found(false), found(true)], [0.0, 15.0], "one agreement alone is not enough");
    }

    #[test]
    fn nobody_goes_back_to_nought_on_a_number_that_may_have_begun_anew() {
        let mut adder = IdempotentAdder::new(0, 3, 3000.0, 0);
        let mut total = 0.0;
        for _ in 0..6 {
            total += adder.start_call(1, 5.0, false);
            adder.complete_call(1, seven(total), false);
        }
        // Full. Another one has added to the fresh number.
        let mut total = MarkScheme::new(3, 3000.0).unwrap().next_mark(1, 0).fraction + 7.0;
        assert_eq!(adder.start_call(1, 5.0, true), 0.0, "it looks first");
        let told = adder.complete_call(1, seven(total), true);
        assert_eq!((told.confirmed_units, told.forgotten_units), (0.0, 30.0));
        total += adder.start_call(1, 5.0, true);
        let told = adder.complete_call(1, seven(total), true);
        assert_eq!((told.total_units, told.confirmed_units), (12.0, 5.0));
        assert_eq!(
            told.member_counters.map(|digits| [digits.get(0), digits.get(1)]),
            Some([1, 1]),
            "the neighbour's stays"
        );
    }

    #[derive(Clone, Debug)]
    enum Fate {
        Answered,
        Added,
        Lost,
    }

    proptest! {
        #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() })]

        #[test]
        fn what_counts_as_added_is_what_was_added(
            steps in prop::collection::vec(
                (0_u32..3, 1_u32..20, prop_oneof![Just(Fate::Answered), Just(Fate::Added), Just(Fate::Lost)]),
                1..80,
            ),
        ) {
            let mut all: Vec<IdempotentAdder> = (0..3).map(|member| IdempotentAdder::new(member, 3, 3000.0, 0)).collect();
            let (mut total, mut truth) = (0.0, [0.0; 3]);
            for (member, units, fate) in steps {
                let adder = &mut all[member as usize];
                let amount = adder.start_call(1, f64::from(units), false);
                if !matches!(fate, Fate::Lost) {
                    total += amount;
                    truth[member as usize] += if amount == 0.0 { 0.0 } else { f64::from(units) };
                }
                match fate {
                    Fate::Answered => {
                        let told = adder.complete_call(1, seven(total), false);
                        prop_assert_eq!(told.forgotten_units, 0.0);
                        prop_assert_eq!(adder.added_units(), truth[member as usize]);
                        prop_assert_eq!(told.total_units, truth.iter().sum::<f64>());
                    }
                    Fate::Added | Fate::Lost => adder.fail_call(true),
                }
            }
        }
    }
}
