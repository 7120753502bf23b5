//! What figures measure, and their units. Spans, sizes and counts are whole numbers throughout; shares shift the
//! decimal point in the text, so that `41 %` is the number nearest to 0.41.

/// What a figure measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dimension {
    /// Units a second.
    Rate,
    /// Units.
    Units,
    /// Requests a second.
    Requests,
    /// Attempts, whole.
    Attempts,
    /// Nanoseconds, whole.
    Span,
    /// Bytes, whole.
    Size,
    /// A part of one.
    Share,
}

/// A unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Unit {
    /// Its word.
    pub word: &'static str,
    /// What it measures.
    pub dimension: Dimension,
    /// How many of the smallest it is. For rates, the seconds it counts in.
    pub size: u64,
}

const fn unit(word: &'static str, dimension: Dimension, size: u64) -> Unit {
    Unit { word, dimension, size }
}

/// All units. The first of a dimension is the one that examples use.
pub const UNITS: [Unit; 21] = [
    unit("units/s", Dimension::Rate, 1),
    unit("units/min", Dimension::Rate, 60),
    unit("units/h", Dimension::Rate, 3600),
    unit("units", Dimension::Units, 1),
    unit("unit", Dimension::Units, 1),
    unit("requests/s", Dimension::Requests, 1),
    unit("requests/min", Dimension::Requests, 60),
    unit("attempts", Dimension::Attempts, 1),
    unit("attempt", Dimension::Attempts, 1),
    unit("s", Dimension::Span, 1_000_000_000),
    unit("ms", Dimension::Span, 1_000_000),
    unit("us", Dimension::Span, 1_000),
    unit("ns", Dimension::Span, 1),
    unit("min", Dimension::Span, 60_000_000_000),
    unit("h", Dimension::Span, 3_600_000_000_000),
    unit("KiB", Dimension::Size, 1024),
    unit("MiB", Dimension::Size, 1024 * 1024),
    unit("GiB", Dimension::Size, 1024 * 1024 * 1024),
    unit("B", Dimension::Size, 1),
    unit("%", Dimension::Share, 1),
    // Reads well in `41 percent`; `%` is what is written back.
    unit("percent", Dimension::Share, 1),
];

/// Words that mean two things, and what to write instead.
const AMBIGUOUS: [(&str, &str, &str); 13] = [
    ("m", "minutes or milliseconds", "`min` or `ms`"),
    ("M", "minutes, months or millions", "`min`, or the whole number"),
    ("units/m", "by the minute or by the millisecond", "`units/min`, or the number in `units/s`"),
    ("units/M", "by the minute or by the month", "`units/min`, or the number in `units/s`"),
    ("requests/m", "by the minute or by the millisecond", "`requests/min`, or the number in `requests/s`"),
    ("/m", "by the minute or by the millisecond, and of what", "`units/min`"),
    ("k", "thousands or kibibytes", "the whole number, or `KiB`"),
    ("K", "thousands or kibibytes", "the whole number, or `KiB`"),
    ("KB", "1000 or 1024 bytes", "`KiB`, or the number in `B`"),
    ("kB", "1000 or 1024 bytes", "`KiB`, or the number in `B`"),
    ("kb", "kilobits or kilobytes", "`KiB`, or the number in `B`"),
    ("MB", "1000 * 1000 or 1024 * 1024 bytes", "`MiB`, or the number in `B`"),
    ("GB", "1000 or 1024 to the third of bytes", "`GiB`, or the number in `B`"),
];

/// Words of others for our units.
const SYNONYMS: [(&str, &str); 31] = [
    ("unit/min", "units/min"),
    ("unit/h", "units/h"),
    ("sec", "s"),
    ("secs", "s"),
    ("second", "s"),
    ("seconds", "s"),
    ("millis", "ms"),
    ("msec", "ms"),
    ("milliseconds", "ms"),
    ("usec", "us"),
    ("\u{b5}s", "us"),
    ("\u{3bc}s", "us"),
    ("mins", "min"),
    ("minute", "min"),
    ("minutes", "min"),
    ("hour", "h"),
    ("hours", "h"),
    ("pct", "%"),
    ("unit/s", "units/s"),
    ("units/sec", "units/s"),
    ("units/second", "units/s"),
    ("ups", "units/s"),
    ("rps", "requests/s"),
    ("req/s", "requests/s"),
    ("request/s", "requests/s"),
    ("requests/sec", "requests/s"),
    ("requests/minute", "requests/min"),
    ("units/minute", "units/min"),
    ("units/hour", "units/h"),
    ("tries", "attempts"),
    ("requests", "attempts"),
];

/// What a word behind a number is.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Meaning {
    Unit(Unit),
    /// Two things: which, and what to write.
    Ambiguous(&'static str, &'static str),
    /// A rate of nothing.
    OfWhat,
    /// Nothing; a unit that it is another word for.
    Unknown(Option<&'static str>),
}

pub(crate) fn meaning(word: &str) -> Meaning {
    if let Some(unit) = UNITS.iter().find(|unit| unit.word == word) {
        return Meaning::Unit(*unit);
    }
    if let Some((_, readings, instead)) = AMBIGUOUS.iter().find(|(known, ..)| *known == word) {
        return Meaning::Ambiguous(readings, instead);
    }
    if word.starts_with('/') {
        return Meaning::OfWhat;
    }
    let known = SYNONYMS.iter().find(|(other, _)| *other == word).map(|(_, ours)| *ours);
    let folded = || UNITS.iter().find(|unit| unit.word.eq_ignore_ascii_case(word)).map(|unit| unit.word);
    Meaning::Unknown(known.or_else(folded))
}

impl Dimension {
    /// Its units, as a list in words.
    pub fn units(self) -> &'static str {
        match self {
            Dimension::Rate => "units/s, units/min or units/h",
            Dimension::Units => "units",
            Dimension::Requests => "requests/s or requests/min",
            Dimension::Attempts => "attempts",
            Dimension::Span => "s, ms, us, ns, min or h",
            Dimension::Size => "KiB, MiB, GiB or B",
            Dimension::Share => "%",
        }
    }

    /// The unit for an example.
    pub(crate) fn example(self) -> &'static str {
        UNITS.iter().find(|unit| unit.dimension == self).map_or("", |unit| unit.word)
    }

    /// The smallest unit of those that are whole.
    pub(crate) fn smallest(self) -> &'static str {
        match self {
            Dimension::Span => "1 ns",
            Dimension::Size => "1 B",
            _ => "1 attempt",
        }
    }

    /// The figure with its unit, as the language writes it: digits of thousands apart by `separator`.
    pub fn text(self, value: f64, separator: &str) -> String {
        let with = |value: f64, unit: &str| format!("{} {unit}", grouped(value, separator));
        match self {
            Dimension::Rate | Dimension::Requests => {
                let (value, unit) = self.rate(value);
                with(value, unit)
            }
            Dimension::Units => with(value, if value == 1.0 { "unit" } else { "units" }),
            Dimension::Attempts => with(value, if value == 1.0 { "attempt" } else { "attempts" }),
            Dimension::Share => with(percent(value), "%"),
            Dimension::Span => with_largest(value, &["h", "min", "s", "ms", "us", "ns"], "s", separator),
            Dimension::Size => with_largest(value, &["GiB", "MiB", "KiB", "B"], "B", separator),
        }
    }

    /// A rate in the unit in which it is short: `10 units/h` has no end in seconds.
    fn rate(self, value: f64) -> (f64, &'static str) {
        let is_short = |value: f64| format!("{value}").len() <= 8;
        let longer = UNITS.iter().filter(|unit| unit.dimension == self && unit.size > 1);
        let mut rounded = longer.map(|unit| ((value * unit.size as f64 * 1e6).round() / 1e6, unit));
        let fits = rounded.find(|(number, unit)| is_short(*number) && *number / unit.size as f64 == value);
        match fits {
            Some((number, unit)) if !is_short(value) => (number, unit.word),
            _ => (value, self.example()),
        }
    }
}

/// The percentage that was written: the shortest that reads as this share.
fn percent(share: f64) -> f64 {
    format!("{share}e2").parse().unwrap_or(share * 100.0)
}

/// In the largest unit that is whole, or has three digits behind the point at the most.
fn with_largest(value: f64, words: &[&str], of_nothing: &str, separator: &str) -> String {
    let fits = |word: &&&str| {
        let size = size_of(word);
        // Nobody says 1 min for 60 s between 59 s and 61 s; parts of hours and minutes are hard to read.
        let least = if matches!(**word, "h" | "min") { 2.0 * size } else { size };
        let finer = if matches!(**word, "s" | "ms" | "us") { 1000.0 } else { 1.0 };
        value >= least && (value * finer) % size == 0.0
    };
    let word = words.iter().find(fits).copied().unwrap_or(of_nothing);
    format!("{} {word}", grouped(value / size_of(word), separator))
}

fn size_of(word: &str) -> f64 {
    UNITS.iter().find(|unit| unit.word == word).map_or(1.0, |unit| unit.size as f64)
}

/// A number with its thousands apart, where it has five digits or more.
pub(crate) fn grouped(value: f64, separator: &str) -> String {
    let text = format!("{value}");
    let (whole, rest) = text.split_once('.').map_or((text.as_str(), None), |(w, r)| (w, Some(r)));
    let mut out = String::new();
    for (i, digit) in whole.chars().enumerate() {
        if i > 0 && whole.len() > 4 && (whole.len() - i) % 3 == 0 {
            out.push_str(separator);
        }
        out.push(digit);
    }
    match rest {
        Some(rest) => out + "." + rest,
        None => out,
    }
}

/// So many of a unit, as a whole number, at the most [`u64::MAX`]; nothing if it is no whole number.
fn whole(text: &str, unit: u64) -> Option<u64> {
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

/// The value of digits (and a point) with this unit, in the smallest unit of its dimension; nothing if it is
/// finer than that.
pub(crate) fn value(digits: &str, unit: Unit) -> Option<f64> {
    let number = || digits.parse::<f64>().unwrap_or(f64::INFINITY);
    match unit.dimension {
        Dimension::Rate | Dimension::Requests => Some(number() / unit.size as f64),
        Dimension::Units => Some(number()),
        Dimension::Share => Some(format!("{digits}e-2").parse().unwrap_or(f64::INFINITY)),
        Dimension::Attempts | Dimension::Span | Dimension::Size => {
            whole(digits, unit.size).map(|whole| whole as f64)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(digits: &str, word: &str) -> Option<f64> {
        match meaning(word) {
            Meaning::Unit(unit) => value(digits, unit),
            other => panic!("{word}: {other:?}"),
        }
    }

    #[test]
    fn figures_are_exact_and_nothing_is_finer_than_its_smallest_unit() {
        assert_eq!(read("41", "%"), Some(0.41));
        assert_eq!(read("1.5", "s"), Some(1_500_000_000.0));
        assert_eq!(read("64", "KiB"), Some(65_536.0));
        assert_eq!(read("90", "units/min"), Some(1.5));
        assert_eq!(read("90", "requests/min"), Some(1.5));
        assert_eq!(read("0.5", "ns"), None);
        assert_eq!(read("1.5", "attempts"), None);
        assert_eq!(read(&"9".repeat(400), "h"), Some(u64::MAX as f64));
        assert_eq!(read(&"9".repeat(400), "units"), Some(f64::INFINITY));
    }

    #[test]
    fn figures_are_written_as_people_write_them() {
        let text = |dimension: Dimension, value| dimension.text(value, " ");
        assert_eq!(text(Dimension::Rate, 30_000.0), "30 000 units/s");
        assert_eq!(text(Dimension::Rate, 1500.0), "1500 units/s");
        assert_eq!(text(Dimension::Rate, 10.0 / 3600.0), "10 units/h");
        assert_eq!(text(Dimension::Rate, 1801.0 / 60.0), "1801 units/min");
        assert_eq!(text(Dimension::Rate, 0.25), "0.25 units/s");
        assert_eq!(text(Dimension::Requests, 12_000.0), "12 000 requests/s");
        assert_eq!(text(Dimension::Requests, 10.0 / 60.0), "10 requests/min");
        assert_eq!(text(Dimension::Units, 1.0), "1 unit");
        assert_eq!(text(Dimension::Attempts, 1_234_567.0), "1 234 567 attempts");
        assert_eq!(text(Dimension::Share, 0.41), "41 %");
        assert_eq!(text(Dimension::Share, 0.07), "7 %");
        assert_eq!(text(Dimension::Span, 1.5e9), "1.5 s");
        assert_eq!(text(Dimension::Span, 60e9), "60 s");
        assert_eq!(text(Dimension::Span, 120e9), "2 min");
        assert_eq!(text(Dimension::Span, 0.0), "0 s");
        assert_eq!(text(Dimension::Size, 65_536.0), "64 KiB");
        assert_eq!(text(Dimension::Size, 1025.0), "1025 B");
    }

    #[test]
    fn each_dimension_names_all_its_units() {
        for unit in UNITS {
            let plural = match unit.word {
                "unit" => "units",
                "attempt" => "attempts",
                "percent" => "%",
                word => word,
            };
            assert!(unit.dimension.units().contains(plural), "{}", unit.word);
        }
    }
}
