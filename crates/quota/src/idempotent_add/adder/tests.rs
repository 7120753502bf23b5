use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Returns a total as the counter writes it: with seven significant digits.
fn round_to_seven_digits(total: f64) -> f64 {
    format!("{total:.6e}").parse().unwrap()
}

#[test]
fn an_add_without_an_answer_is_settled_by_the_next_total() {
    for was_added in [true, false] {
        let mut adder = IdempotentAdder::new(0, 3, 900.0, 0);
        let mut total = adder.start_call(1, 10.0, false);
        assert_eq!(adder.complete_call(1, round_to_seven_digits(total), false).confirmed_units, 10.0);
        let unanswered = adder.start_call(1, 7.0, false);
        total += if was_added { unanswered } else { 0.0 };
        adder.fail_call(true);
        assert_eq!(adder.in_doubt_units(), 7.0);
        assert_eq!(adder.start_call(1, 5.0, false), 0.0, "the call only reads while an add is in doubt");
        // Another member has added the same number of units meanwhile.
        total += 7.0;
        let outcome = adder.complete_call(1, round_to_seven_digits(total), false);
        assert_eq!(outcome.confirmed_units, if was_added { 7.0 } else { 0.0 });
        assert_eq!(adder.in_doubt_units(), 0.0);
    }
}

#[test]
fn a_total_below_the_own_adds_proves_a_reset() {
    let mut adder = IdempotentAdder::new(1, 3, 900.0, 0);
    let first = adder.start_call(1, 40.0, false);
    assert_eq!(adder.complete_call(1, round_to_seven_digits(first), false).lost_units, 0.0);
    let second = adder.start_call(1, 5.0, false);
    let outcome = adder.complete_call(1, round_to_seven_digits(second), false);
    assert_eq!((outcome.confirmed_units, outcome.lost_units), (5.0, 40.0));
    assert_eq!(adder.added_units, 5.0);
}

#[test]
fn the_own_counter_proves_a_reset_after_which_others_added_more_than_the_own_adds() {
    let mut adder = IdempotentAdder::new(1, 3, 900.0, 0);
    let mut total = 0.0;
    for _ in 0..4 {
        total += adder.start_call(1, 15.0, false);
        adder.complete_call(1, round_to_seven_digits(total), false);
    }
    // The counter was reset; another member has leased 80 units of the new number before the next own call.
    let outcome = {
        let reset_total = 80.0
            + MarkScheme::new(3, 900.0).unwrap().next_mark(0, 0).fraction
            + adder.start_call(1, 5.0, false);
        adder.complete_call(1, round_to_seven_digits(reset_total), false)
    };
    assert_eq!((outcome.confirmed_units, outcome.lost_units), (5.0, 60.0));
    assert_eq!(adder.added_units, 5.0);
}

#[test]
fn a_member_s_counter_that_wraps_after_a_reset_is_not_taken_for_a_second_reset() {
    let (mut full, mut other) =
        (IdempotentAdder::new(0, 3, 3000.0, 0), IdempotentAdder::new(1, 3, 3000.0, 0));
    let mut total = 0.0;
    for _ in 0..6 {
        total += full.start_call(1, 5.0, false) + other.start_call(1, 5.0, false);
        full.complete_call(1, round_to_seven_digits(total), false);
        other.complete_call(1, round_to_seven_digits(total), false);
    }
    // The counter was reset. The full member wraps, which changes the counter of the other one.
    let mut total = 0.0;
    let mut lost_units = 0.0;
    for step in 0..12 {
        total += other.start_call(1, 5.0, false);
        lost_units += other.complete_call(1, round_to_seven_digits(total), false).lost_units;
        if step == 6 {
            total += full.start_call(1, 5.0, false);
            full.complete_call(1, round_to_seven_digits(total), false);
        }
    }
    assert_eq!(lost_units, 30.0, "the reset is reported once");
}

#[test]
fn adds_without_marks_are_not_taken_for_a_reset() {
    let mut adder = IdempotentAdder::new(0, 3, 900.0, 0);
    let mut total = 0.0;
    for step in 0..60 {
        total += adder.start_call(1, 2.0, false);
        let outcome = adder.complete_call(1, round_to_seven_digits(total), false);
        assert_eq!(outcome.lost_units, 0.0, "step {step}");
        // A gateway of an older version leases fractions of units.
        total += 1.237_4 + 0.311 * f64::from(step % 7);
    }
}

#[test]
fn an_add_carried_out_after_it_was_settled_is_not_taken_for_a_reset() {
    let mut adder = IdempotentAdder::new(0, 3, 900.0, 0);
    let mut first = 0.0;
    for _ in 0..4 {
        first += adder.start_call(1, 10.0, false);
        adder.complete_call(1, round_to_seven_digits(first), false);
    }
    let delayed = adder.start_call(1, 7.0, false);
    adder.fail_call(true);
    adder.start_call(1, 0.0, false);
    assert_eq!(
        adder.complete_call(1, round_to_seven_digits(first), false).confirmed_units,
        0.0,
        "not carried out yet"
    );
    let next = adder.start_call(1, 4.0, false);
    let outcome = adder.complete_call(1, round_to_seven_digits(first + delayed + next), false);
    assert_eq!((outcome.confirmed_units, outcome.lost_units), (4.0, 0.0));
}

#[test]
fn a_member_that_starts_within_an_epoch_continues_from_the_counter_in_the_first_total() {
    let mut adder = IdempotentAdder::new(0, 2, 900.0, 3);
    let first = adder.start_call(3, 4.0, false);
    assert_eq!(first, 4.0, "without a mark, as the own counter is not known");
    // The member's earlier process has left its counter at two.
    adder.complete_call(3, round_to_seven_digits(30.0 + 2.0 * 0.0002 + first), false);
    adder.start_call(3, 4.0, false);
    adder.fail_call(true);
    adder.start_call(3, 4.0, false);
    let outcome = adder.complete_call(3, round_to_seven_digits(38.0 + 3.0 * 0.0002), false);
    assert_eq!(outcome.confirmed_units, 4.0);
}

#[test]
fn a_member_that_restarts_with_a_full_counter_does_not_change_the_next_member_s_counter() {
    let (mut first, mut other) =
        (IdempotentAdder::new(0, 3, 3000.0, 0), IdempotentAdder::new(1, 3, 3000.0, 0));
    let mut total = other.start_call(1, 1.0, false);
    other.complete_call(1, round_to_seven_digits(total), false);
    for _ in 0..6 {
        total += first.start_call(1, 5.0, false);
        first.complete_call(1, round_to_seven_digits(total), false);
    }
    let counters =
        |outcome: AddOutcome| outcome.member_counters.map(|counters| [counters.get(0), counters.get(1)]);
    // The first member restarts in the same epoch.
    let mut first = IdempotentAdder::new(0, 3, 3000.0, 1);
    total += first.start_call(1, 5.0, false);
    assert_eq!(counters(first.complete_call(1, round_to_seven_digits(total), false)), Some([6, 1]));
    total += first.start_call(1, 5.0, false);
    assert_eq!(counters(first.complete_call(1, round_to_seven_digits(total), false)), Some([0, 1]));
}

#[test]
fn a_member_s_counter_that_wraps_after_a_reset_does_not_lower_the_units() {
    let mut adder = IdempotentAdder::new(0, 3, 3000.0, 0);
    let mut total = 0.0;
    for _ in 0..6 {
        total += adder.start_call(1, 5.0, false);
        adder.complete_call(1, round_to_seven_digits(total), false);
    }
    // The counter service was reset: a member's counter that wraps lowers the total below its units.
    let mut reset_total = adder.start_call(1, 5.0, false);
    let outcome = adder.complete_call(1, round_to_seven_digits(reset_total), false);
    assert_eq!((outcome.total_units, outcome.confirmed_units, outcome.lost_units), (5.0, 5.0, 30.0));
    reset_total += adder.start_call(1, 5.0, false);
    let outcome = adder.complete_call(1, round_to_seven_digits(reset_total), false);
    assert_eq!((outcome.total_units, outcome.confirmed_units, outcome.lost_units), (10.0, 5.0, 0.0));
}

#[test]
fn the_first_unexpected_counter_proves_a_suspected_reset() {
    let lost_units = |reset_suspected| {
        let mut adder = IdempotentAdder::new(1, 3, 900.0, 0);
        let first = adder.start_call(1, 15.0, false);
        adder.complete_call(1, round_to_seven_digits(first), false);
        // The counter was reset; another member has leased 80 units before this one adds.
        let second = adder.start_call(1, 5.0, false);
        adder.complete_call(1, round_to_seven_digits(80.0 + second), reset_suspected).lost_units
    };
    assert_eq!(
        [lost_units(false), lost_units(true)],
        [0.0, 15.0],
        "one consistent answer is not enough without a suspicion"
    );
}

#[test]
fn a_full_counter_does_not_wrap_while_a_reset_is_suspected() {
    let mut adder = IdempotentAdder::new(0, 3, 3000.0, 0);
    let mut total = 0.0;
    for _ in 0..6 {
        total += adder.start_call(1, 5.0, false);
        adder.complete_call(1, round_to_seven_digits(total), false);
    }
    // The own counter is full. Another member has added to the number after the reset.
    let mut total = MarkScheme::new(3, 3000.0).unwrap().next_mark(1, 0).fraction + 7.0;
    assert_eq!(adder.start_call(1, 5.0, true), 0.0, "the call reads first");
    let outcome = adder.complete_call(1, round_to_seven_digits(total), true);
    assert_eq!((outcome.confirmed_units, outcome.lost_units), (0.0, 30.0));
    total += adder.start_call(1, 5.0, true);
    let outcome = adder.complete_call(1, round_to_seven_digits(total), true);
    assert_eq!((outcome.total_units, outcome.confirmed_units), (12.0, 5.0));
    assert_eq!(
        outcome.member_counters.map(|counters| [counters.get(0), counters.get(1)]),
        Some([1, 1]),
        "the other member's counter is unchanged"
    );
}

#[derive(Clone, Debug)]
enum CallOutcome {
    Answered,
    AddedWithoutAnswer,
    Lost,
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() })]

    #[test]
    fn confirmed_units_equal_the_units_that_the_counter_added(
        steps in prop::collection::vec(
            (0_u32..3, 1_u32..20, prop_oneof![Just(CallOutcome::Answered), Just(CallOutcome::AddedWithoutAnswer), Just(CallOutcome::Lost)]),
            1..80,
        ),
    ) {
        let mut adders: Vec<IdempotentAdder> = (0..3).map(|member| IdempotentAdder::new(member, 3, 3000.0, 0)).collect();
        let mut total = 0.0;
        let mut added_units = [0.0; 3];
        for (member, units, call_outcome) in steps {
            let adder = &mut adders[member as usize];
            let amount = adder.start_call(1, f64::from(units), false);
            if !matches!(call_outcome, CallOutcome::Lost) {
                total += amount;
                added_units[member as usize] += if amount == 0.0 { 0.0 } else { f64::from(units) };
            }
            match call_outcome {
                CallOutcome::Answered => {
                    let outcome = adder.complete_call(1, round_to_seven_digits(total), false);
                    prop_assert_eq!(outcome.lost_units, 0.0);
                    prop_assert_eq!(adder.added_units, added_units[member as usize]);
                    prop_assert_eq!(outcome.total_units, added_units.iter().sum::<f64>());
                }
                CallOutcome::AddedWithoutAnswer | CallOutcome::Lost => adder.fail_call(true),
            }
        }
    }
}
