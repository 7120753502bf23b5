use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Returns a total as the counter writes it: with seven significant digits.
fn round_to_seven_digits(total: f64) -> f64 {
    format!("{total:.6e}").parse().unwrap()
}

#[test]
fn the_base_is_the_largest_that_fits_the_members_and_totals() {
    let base = |members, max_total| MarkScheme::new(members, max_total).map(|scheme| scheme.base);
    assert_eq!(
        [base(3, 900.0), base(4, 900.0), base(3, 3000.0), base(4, 3000.0)],
        [Some(17), Some(8), Some(7), Some(4)]
    );
    assert_eq!(base(8, 3000.0), Some(2));
    assert_eq!(base(9, 10.0), None);
    assert_eq!(base(8, 1e5), None);
}

#[test]
fn a_full_counter_wraps_without_changing_the_next_member_s_counter() {
    let scheme = MarkScheme::new(3, 3000.0).unwrap();
    let mut total = 0.0;
    let mut counter = 0;
    for n in 1..=20 {
        let mark = scheme.next_mark(1, counter);
        total += 5.0 + mark.fraction;
        counter = mark.counter;
        let marked_total = scheme.decode(round_to_seven_digits(total));
        assert_eq!(marked_total.units, 5.0 * f64::from(n));
        let counters = marked_total.counters.unwrap();
        assert_eq!([counters.get(0), counters.get(1), counters.get(2)], [0, (n % 7) as u8, 0]);
    }
}

#[test]
fn decimals_that_are_not_valid_marks_are_not_decoded() {
    let scheme = MarkScheme::new(3, 3000.0).unwrap();
    assert_eq!(scheme.decode(12.9).counters, None);
    assert_eq!(scheme.decode(-3.0).counters, None);
    assert_eq!(scheme.decode(f64::NAN).counters, None);
    assert_eq!(scheme.decode(12.0).counters, Some(MemberCounters::default()));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    #[test]
    fn a_total_shows_the_units_and_the_counter_of_each_member(
        members in 1_u32..=8,
        max_total in 100.0_f64..9000.0,
        adds in prop::collection::vec((0_u32..8, 1_u32..40), 0..60),
    ) {
        let Some(scheme) = MarkScheme::new(members, max_total) else { return Ok(()) };
        let mut total = 0.0;
        let mut units = 0.0;
        let mut counters = [0_u8; 8];
        for (member, added) in adds {
            let member = member % members;
            if units + f64::from(added) > max_total {
                break;
            }
            let mark = scheme.next_mark(member, counters[member as usize]);
            total += f64::from(added) + mark.fraction;
            units += f64::from(added);
            counters[member as usize] = mark.counter;
            let marked_total = scheme.decode(round_to_seven_digits(total));
            prop_assert_eq!(marked_total.units, units);
            // The simulator's protocol carries totals as 32-bit floats.
            prop_assert_eq!(scheme.decode(f64::from(total as f32)), marked_total);
            let found = marked_total.counters.unwrap();
            for member in 0..members {
                prop_assert_eq!(found.get(member), counters[member as usize]);
            }
        }
    }
}
