//! Numbers as people read them: fixed digits, thousands apart, and short however large.

/// Stands where there is no number.
pub(crate) const NONE: &str = "-";

/// From here on numbers are shortened, so that columns stay narrow.
const LARGE: f64 = 1e7;

/// A whole number.
pub(crate) fn count(number: u64) -> String {
    let near = number as f64;
    if near < LARGE {
        grouped(&number.to_string())
    } else {
        shortened(near)
    }
}

/// A number with so many digits after the point.
pub(crate) fn fixed(number: f64, digits: usize) -> String {
    if !number.is_finite() {
        return NONE.into();
    }
    if number.abs() >= LARGE {
        return shortened(number);
    }
    let text = format!("{:.digits$}", number.abs());
    // What rounds to nothing has no sign.
    let is_zero = text.bytes().all(|byte| byte == b'0' || byte == b'.');
    let sign = if number < 0.0 && !is_zero { "-" } else { "" };
    match text.split_once('.') {
        Some((whole, rest)) => format!("{sign}{}.{rest}", grouped(whole)),
        None => format!("{sign}{}", grouped(&text)),
    }
}

/// `part` of `whole` in per cent, without its sign.
pub(crate) fn percent(part: f64, whole: f64) -> String {
    if whole > 0.0 {
        share(part / whole)
    } else {
        NONE.into()
    }
}

/// A share in per cent, without its sign. What is not all is never shown as 100, and what is not none never
/// as 0: a single failed request must not hide in the rounding.
pub(crate) fn share(share: f64) -> String {
    if share > 0.0 && share < 0.000_5 {
        "<0.1".into()
    } else if (0.999_5..1.0).contains(&share) {
        ">99.9".into()
    } else {
        fixed(share * 100.0, 1)
    }
}

/// A moment of a run in seconds, to the millisecond.
pub(crate) fn moment(seconds: f64) -> String {
    format!("{} s", fixed(seconds, 3))
}

/// A length of time in words: `60 s`, `12 min 5 s`, `2 h`.
pub(crate) fn length(seconds: f64) -> String {
    if !(180.0..1e9).contains(&seconds) {
        let digits = if seconds.fract() == 0.0 { 0 } else { 1 };
        return format!("{} s", fixed(seconds, digits));
    }
    let whole = seconds as u64;
    let parts = [(whole / 3600, "h"), (whole / 60 % 60, "min"), (whole % 60, "s")];
    let words: Vec<String> =
        parts.iter().filter(|(n, _)| *n > 0).map(|(n, unit)| format!("{n} {unit}")).collect();
    words.join(" ")
}

/// Digits with a comma before each three from the right.
fn grouped(digits: &str) -> String {
    let mut text = String::new();
    for (i, digit) in digits.chars().enumerate() {
        if i > 0 && (digits.len() - i) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// A large number in millions or more.
fn shortened(number: f64) -> String {
    let units = [(1e18, "E"), (1e15, "P"), (1e12, "T"), (1e9, "G"), (1e6, "M")];
    match units.iter().find(|(size, _)| number.abs() >= *size) {
        Some((size, unit)) if number.abs() < 1e21 => format!("{:.2} {unit}", number / size),
        _ => format!("{number:.2e}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_grouped_and_short_however_large() {
        assert_eq!([count(0), count(999), count(1_000)], ["0", "999", "1,000"]);
        assert_eq!([count(9_999_999), count(12_345_678)], ["9,999,999", "12.35 M"]);
        assert_eq!([count(u64::MAX), fixed(1e300, 1)], ["18.45 E", "1.00e300"]);
        assert_eq!([fixed(1234.56, 1), fixed(-1234.56, 0)], ["1,234.6", "-1,235"]);
    }

    #[test]
    fn what_is_no_number_is_a_dash_and_nothing_has_no_sign() {
        assert_eq!([fixed(f64::NAN, 1), fixed(f64::INFINITY, 1), percent(0.0, 0.0)], ["-", "-", "-"]);
        assert_eq!([fixed(-0.01, 1), fixed(-0.0, 3)], ["0.0", "0.000"]);
    }

    #[test]
    fn a_single_miss_does_not_hide_in_the_rounding() {
        assert_eq!([percent(99_999.0, 100_000.0), percent(1.0, 100_000.0)], [">99.9", "<0.1"]);
        assert_eq!([percent(5.0, 5.0), percent(0.0, 5.0), share(0.971)], ["100.0", "0.0", "97.1"]);
    }

    #[test]
    fn lengths_are_in_the_units_people_use() {
        assert_eq!([length(60.0), length(0.5), length(f64::NAN)], ["60 s", "0.5 s", "- s"]);
        assert_eq!([length(725.0), length(7200.0), length(180.0)], ["12 min 5 s", "2 h", "3 min"]);
    }
}
