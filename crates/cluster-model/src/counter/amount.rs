//! Decimal amounts.

use std::fmt;
use std::ops::{Add, AddAssign};

/// Internal units per 1.
const UNITS_PER_ONE: i128 = 1_000_000_000_000_000;
/// Decimal places of an amount.
const DECIMAL_PLACES: usize = 15;
/// Significant digits in the counter's replies.
const REPLY_DIGITS: u32 = 7;

/// A decimal amount, exact to 15 decimal places: sums do not depend on the order of addition, and adding and
/// then subtracting an amount leaves no remainder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Amount(i128);

impl Amount {
    /// Maximum amount of a call; the minimum is its negative.
    pub const MAX: Amount = Amount(1_000_000_000 * UNITS_PER_ONE);

    /// Parses a decimal number such as `-2.5`. Returns `None` if the text is not a number or exceeds
    /// [`Amount::MAX`]. Decimal places after the 15th are truncated.
    pub fn parse(text: &[u8]) -> Option<Amount> {
        let (negative, digits) = match text.split_first()? {
            (b'-', rest) => (true, rest),
            (b'+', rest) => (false, rest),
            _ => (false, text),
        };
        let point = digits.iter().position(|b| *b == b'.');
        let (integer, fraction) = match point {
            Some(at) => (&digits[..at], &digits[at + 1..]),
            None => (digits, &[][..]),
        };
        let is_number = !(integer.is_empty() && fraction.is_empty());
        if !is_number || !integer.iter().chain(fraction).all(u8::is_ascii_digit) {
            return None;
        }
        let padded = fraction.iter().chain(std::iter::repeat(&b'0')).take(DECIMAL_PLACES);
        let magnitude = integer
            .iter()
            .chain(padded)
            .try_fold(0_i128, |sum, digit| sum.checked_mul(10)?.checked_add(i128::from(digit - b'0')))?;
        let amount = Amount(if negative { -magnitude } else { magnitude });
        (magnitude <= Amount::MAX.0).then_some(amount)
    }

    /// Converts to the nearest float, or one adjacent to it.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / UNITS_PER_ONE as f64
    }
}

impl Add for Amount {
    type Output = Amount;
    fn add(self, other: Amount) -> Amount {
        Amount(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Amount) {
        *self = *self + other;
    }
}

/// Formats as in the counter's replies: only the seven digits that the counter guarantees, so that no client comes
/// to depend on more.
impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let magnitude = self.0.unsigned_abs();
        let length = magnitude.checked_ilog10().map_or(1, |log| log + 1);
        let step = 10_u128.pow(length.saturating_sub(REPLY_DIGITS));
        let rounded = (magnitude.saturating_add(step / 2)) / step * step;
        let (integer, fraction) = (rounded / UNITS_PER_ONE as u128, rounded % UNITS_PER_ONE as u128);
        let sign = if self.0 < 0 { "-" } else { "" };
        if fraction == 0 {
            return write!(f, "{sign}{integer}");
        }
        let fraction = format!("{fraction:0DECIMAL_PLACES$}");
        write!(f, "{sign}{integer}.{}", fraction.trim_end_matches('0'))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Option<Amount> {
        Amount::parse(text.as_bytes())
    }

    #[test]
    fn parses_decimal_numbers_and_nothing_else() {
        for (text, formatted) in [
            ("-2.5", "-2.5"),
            ("+3", "3"),
            (".25", "0.25"),
            ("7.", "7"),
            ("0", "0"),
            ("-0", "0"),
            ("1000000000", "1000000000"),
            ("0.0000001", "0.0000001"),
        ] {
            assert_eq!(parse(text).map(|amount| amount.to_string()).as_deref(), Some(formatted), "{text}");
        }
        let long = "9".repeat(100);
        for text in ["", "-", ".", "1e3", "nan", "inf", "1,5", "0x1", " 1", "--1", "1000000000.1", &long] {
            assert_eq!(parse(text), None, "{text}");
        }
    }

    #[test]
    fn sums_are_exact_and_formatted_with_seven_digits() {
        let sum =
            |parts: &[&str]| parts.iter().filter_map(|part| parse(part)).fold(Amount::default(), Add::add);
        assert_eq!(sum(&["0.1", "0.2", "-0.3"]), Amount::default());
        assert_eq!(sum(&["1000000000", "0.000001", "-1000000000"]).to_string(), "0.000001");
        assert_eq!(sum(&["123456.75"]).to_string(), "123456.8");
        assert_eq!(sum(&["-9999999.6"]).to_string(), "-10000000");
        assert_eq!(sum(&["1.00000049"]).to_string(), "1");
        assert!((sum(&["123456.789"]).as_f64() - 123_456.789).abs() < 1e-9);
    }
}
