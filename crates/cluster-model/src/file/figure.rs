//! Figures and their units, from text and back without loss: spans and sizes are whole numbers throughout,
//! shares shift the decimal point in the text, so that `41 %` is the number nearest to 0.41.

use crate::Span;

/// Units of spans, in nanoseconds.
pub(super) const SPAN_UNITS: [(&str, u64); 6] = [
    ("ns", 1),
    ("us", 1_000),
    ("ms", 1_000_000),
    ("s", 1_000_000_000),
    ("min", 60_000_000_000),
    ("h", 3_600_000_000_000),
];
/// Their names, for messages.
pub(super) const SPAN_NAMES: &str = "ns, us, ms, s, min or h";
/// Units of sizes, in bytes.
pub(super) const SIZE_UNITS: [(&str, u64); 3] = [("B", 1), ("KiB", 1024), ("MiB", 1024 * 1024)];
/// Their names, for messages.
pub(super) const SIZE_NAMES: &str = "B, KiB or MiB";

/// So many of a unit, as a whole number, at the most [`u64::MAX`]; nothing if it is no whole number.
pub(super) fn whole(text: &str, unit: u64) -> Option<u64> {
    let (before, after) = text.split_once('.').unwrap_or((text, ""));
    // Digits only, so this fails for want of room alone.
    let before = before.parse::<u128>().unwrap_or(u128::MAX).saturating_mul(u128::from(unit));
    let after = after.trim_end_matches('0');
    // No unit has so many divisors of ten.
    if after.len() > 16 {
        return None;
    }
    let scale = 10_u128.pow(after.len() as u32);
    let part = after.parse::<u128>().unwrap_or(0) * u128::from(unit);
    let all = before.saturating_add(part / scale).min(u128::from(u64::MAX));
    (part % scale == 0).then_some(all as u64)
}

/// A share from its percentage, rounded once.
pub(super) fn share(text: &str) -> f64 {
    format!("{text}e-2").parse().unwrap_or(f64::INFINITY)
}

/// A plain number.
pub(super) fn number(text: &str) -> f64 {
    text.parse().unwrap_or(f64::INFINITY)
}

/// Writes a span in the largest unit that leaves three digits after the point at the most.
pub(super) fn span_text(span: Span) -> String {
    if span == 0 {
        return "0 s".into();
    }
    // Whole minutes and hours only, and not the first: nobody says 1 min for 60 s between 59 s and 61 s.
    let whole = |(_, unit): &&(&str, u64)| span >= 2 * unit && span % unit == 0;
    if let Some((name, unit)) = SPAN_UNITS[4..].iter().rev().find(whole) {
        return format!("{} {name}", span / unit);
    }
    let fits = |(_, unit): &&(&str, u64)| span >= *unit && span % unit.div_ceil(1000) == 0;
    let (name, unit) = SPAN_UNITS[..4].iter().rev().find(fits).unwrap_or(&SPAN_UNITS[0]);
    let text = format!("{}.{:03}", span / unit, span % unit * 1000 / unit);
    format!("{} {name}", text.trim_end_matches('0').trim_end_matches('.'))
}

/// Writes a size in the largest unit of which it is a multiple.
pub(super) fn size_text(size: u32) -> String {
    let size = u64::from(size);
    let fits = |(_, unit): &&(&str, u64)| size >= *unit && size % unit == 0;
    let (name, unit) = SIZE_UNITS.iter().rev().find(fits).unwrap_or(&SIZE_UNITS[0]);
    format!("{} {name}", size / unit)
}

/// Writes a number with as many digits as it takes to read the same one back.
pub(super) fn number_text(number: f64) -> String {
    // Adding nothing takes the sign from -0.
    format!("{}", number + 0.0)
}

/// Writes a share as a percentage.
pub(super) fn share_text(share: f64) -> String {
    let scientific = format!("{:e}", share + 0.0);
    let Some((mantissa, exponent)) = scientific.split_once('e') else { return scientific };
    let digits = mantissa.replace('.', "");
    // The point stands after so many of the digits.
    let point = exponent.parse::<i32>().unwrap_or(0) + 3;
    let text = match usize::try_from(point) {
        Ok(point) if point >= digits.len() => format!("{digits:0<point$}"),
        Ok(point) if point > 0 => format!("{}.{}", &digits[..point], &digits[point..]),
        _ => format!("0.{}{digits}", "0".repeat(point.unsigned_abs() as usize)),
    };
    let text = if text.chars().all(|c| c == '0') { "0" } else { &text };
    format!("{text} %")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_are_written_as_people_say_them() {
        let spans = [0, 1, 1_500, 900_000, 1_000_001, 1_500_000_000, 60_000_000_000, 7_200_000_000_000];
        assert_eq!(
            spans.map(span_text),
            ["0 s", "1 ns", "1.5 us", "900 us", "1000.001 us", "1.5 s", "60 s", "2 h"]
        );
        assert_eq!(
            [512, 1024, 1536, 65_536, 1 << 20].map(size_text),
            ["512 B", "1 KiB", "1536 B", "64 KiB", "1 MiB"]
        );
    }

    #[test]
    fn shares_shift_the_point_and_round_once() {
        let shares = [0.0, -0.0, 0.41, 1.0, 0.001, 0.07, 12.5, 0.123456789, 1e-9];
        let texts = ["0 %", "0 %", "41 %", "100 %", "0.1 %", "7 %", "1250 %", "12.3456789 %", "0.0000001 %"];
        assert_eq!(shares.map(share_text), texts);
        assert_eq!(share("41"), 0.41);
        assert_eq!(share("7"), 0.07);
    }

    #[test]
    fn a_part_of_a_nanosecond_is_no_span_and_too_much_is_the_most() {
        assert_eq!(whole("1.5", 1_000_000_000), Some(1_500_000_000));
        assert_eq!(whole("0.50", 1_000), Some(500));
        assert_eq!(whole("0.0001", 1_000), None);
        assert_eq!(whole("0.00000000000000000000001", 3_600_000_000_000), None);
        assert_eq!(whole(&"9".repeat(500), 1_000), Some(u64::MAX));
    }
}
