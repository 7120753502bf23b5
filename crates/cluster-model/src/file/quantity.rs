//! Parses and formats numbers with units without loss. Spans and sizes are integers throughout. For shares,
//! the decimal point is shifted in the text, so that `41 %` gives the floating-point number nearest to 0.41.

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
/// Names of the span units, for messages.
pub(super) const SPAN_UNIT_NAMES: &str = "ns, us, ms, s, min or h";
/// Units of sizes, in bytes.
pub(super) const SIZE_UNITS: [(&str, u64); 3] = [("B", 1), ("KiB", 1024), ("MiB", 1024 * 1024)];
/// Names of the size units, for messages.
pub(super) const SIZE_UNIT_NAMES: &str = "B, KiB or MiB";

/// Returns the number in `text` times `unit`, saturating at [`u64::MAX`], or `None` if the product is not an
/// integer.
pub(super) fn scaled_integer(text: &str, unit: u64) -> Option<u64> {
    let (integer, fraction) = text.split_once('.').unwrap_or((text, ""));
    // The text consists of digits only, so parsing fails only on overflow.
    let integer = integer.parse::<u128>().unwrap_or(u128::MAX).saturating_mul(u128::from(unit));
    let fraction = fraction.trim_end_matches('0');
    // No unit of time is divisible by 2^17 or 5^17: with more than 16 decimals, the result is never an
    // integer number of nanoseconds.
    if fraction.len() > 16 {
        return None;
    }
    let scale = 10_u128.pow(fraction.len() as u32);
    let numerator = fraction.parse::<u128>().unwrap_or(0) * u128::from(unit);
    let product = integer.saturating_add(numerator / scale).min(u128::from(u64::MAX));
    (numerator % scale == 0).then_some(product as u64)
}

/// Parses a percentage as a share, rounding only once.
pub(super) fn share(text: &str) -> f64 {
    format!("{text}e-2").parse().unwrap_or(f64::INFINITY)
}

/// Parses a number without a unit.
pub(super) fn number(text: &str) -> f64 {
    text.parse().unwrap_or(f64::INFINITY)
}

/// Formats a span in the largest unit that needs at most three decimals.
pub(super) fn span_text(span: Span) -> String {
    if span == 0 {
        return "0 s".into();
    }
    // Minutes and hours are used only for integers of at least 2: 60 s reads better than 1 min between 59 s
    // and 61 s.
    let is_multiple = |(_, unit): &&(&str, u64)| span >= 2 * unit && span % unit == 0;
    if let Some((name, unit)) = SPAN_UNITS[4..].iter().rev().find(is_multiple) {
        return format!("{} {name}", span / unit);
    }
    let fits = |(_, unit): &&(&str, u64)| span >= *unit && span % unit.div_ceil(1000) == 0;
    let (name, unit) = SPAN_UNITS[..4].iter().rev().find(fits).unwrap_or(&SPAN_UNITS[0]);
    let text = format!("{}.{:03}", span / unit, span % unit * 1000 / unit);
    format!("{} {name}", text.trim_end_matches('0').trim_end_matches('.'))
}

/// Formats a size in the largest unit of which it is a multiple.
pub(super) fn size_text(size: u32) -> String {
    let size = u64::from(size);
    let fits = |(_, unit): &&(&str, u64)| size >= *unit && size % unit == 0;
    let (name, unit) = SIZE_UNITS.iter().rev().find(fits).unwrap_or(&SIZE_UNITS[0]);
    format!("{} {name}", size / unit)
}

/// Formats a number with the fewest digits that parse back to the same number.
pub(super) fn number_text(number: f64) -> String {
    // Adding 0 removes the sign of -0.
    format!("{}", number + 0.0)
}

/// Formats a share as a percentage.
pub(super) fn share_text(share: f64) -> String {
    let scientific = format!("{:e}", share + 0.0);
    let Some((mantissa, exponent)) = scientific.split_once('e') else { return scientific };
    let digits = mantissa.replace('.', "");
    // Number of digits before the decimal point of the percentage.
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
    fn formats_spans_and_sizes_in_the_most_readable_unit() {
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
    fn shares_round_only_once() {
        let shares = [0.0, -0.0, 0.41, 1.0, 0.001, 0.07, 12.5, 0.123456789, 1e-9];
        let texts = ["0 %", "0 %", "41 %", "100 %", "0.1 %", "7 %", "1250 %", "12.3456789 %", "0.0000001 %"];
        assert_eq!(shares.map(share_text), texts);
        assert_eq!(share("41"), 0.41);
        assert_eq!(share("7"), 0.07);
    }

    #[test]
    fn rejects_a_fraction_of_a_nanosecond_and_saturates_on_overflow() {
        assert_eq!(scaled_integer("1.5", 1_000_000_000), Some(1_500_000_000));
        assert_eq!(scaled_integer("0.50", 1_000), Some(500));
        assert_eq!(scaled_integer("0.0001", 1_000), None);
        assert_eq!(scaled_integer("0.00000000000000000000001", 3_600_000_000_000), None);
        assert_eq!(scaled_integer(&"9".repeat(500), 1_000), Some(u64::MAX));
    }
}
