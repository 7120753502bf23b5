//! Axes: round numbers for ticks, and places on them.

use crate::number;

/// A tick: its value and its label.
pub(crate) type Tick = (f64, String);

/// An axis of figures that starts at 0.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Upright {
    /// The value at its top, above 0.
    pub top: f64,
    /// Its ticks, 0 and the top among them.
    pub ticks: Vec<Tick>,
}

impl Upright {
    /// An axis that reaches `most` with about `steps` round steps; `whole` keeps its ticks to whole numbers.
    pub(crate) fn reaching(most: f64, steps: f64, whole: bool) -> Upright {
        let most = if most.is_finite() && most > 0.0 { most.min(1e30) } else { 1.0 };
        let step = round_step(most / steps);
        let step = if whole { step.max(1.0) } else { step };
        let digits = [1.0, 0.1, 0.01].iter().position(|unit| step >= *unit).unwrap_or(3);
        let count = (1..40_u32).find(|count| f64::from(*count) * step >= most * 0.999_999).unwrap_or(40);
        let tick = |i: u32| (f64::from(i) * step, number::fixed(f64::from(i) * step, digits));
        Upright { top: f64::from(count) * step, ticks: (0..=count).map(tick).collect() }
    }

    /// Height above the foot of a plot that is `height` high.
    pub(crate) fn rise(&self, value: f64, height: f64) -> f64 {
        (value / self.top).clamp(0.0, 1.0) * height
    }
}

/// The least of 1, 2, 5, 10, 20, ... (and tenths of them) that is no less than `least`.
fn round_step(least: f64) -> f64 {
    let mut unit = 1.0;
    while unit > least && unit > 1e-9 {
        unit /= 10.0;
    }
    while unit * 10.0 < least {
        unit *= 10.0;
    }
    [1.0, 2.0, 5.0, 10.0].iter().map(|times| times * unit).find(|step| *step >= least).unwrap_or(unit * 10.0)
}

/// Ticks of a time axis over so many seconds, at most 12 and round in seconds, minutes and hours.
pub(crate) fn time_ticks(seconds: f64) -> Vec<Tick> {
    const STEPS: [f64; 15] =
        [0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 15.0, 30.0, 60.0, 120.0, 300.0, 600.0, 900.0, 1800.0, 3600.0];
    let fits = |step: &f64| seconds / step <= 12.0;
    // Beyond 12 hours, whole multiples of an hour.
    let hours = |seconds: f64| 3600.0 * round_step(seconds / 3600.0 / 12.0);
    let step = STEPS.iter().copied().find(fits).unwrap_or_else(|| hours(seconds));
    let count = (seconds / step) as u32;
    (0..=count.min(24)).map(|i| f64::from(i) * step).map(|at| (at, clock(at, seconds))).collect()
}

/// A moment of a run of `seconds`: `12`, `1:30` from three minutes on, `1:02:00` from an hour on.
pub(crate) fn clock(at: f64, seconds: f64) -> String {
    if seconds < 180.0 {
        let digits = if at.fract() == 0.0 { 0 } else { 1 };
        return number::fixed(at, digits);
    }
    let at = at as u64;
    if seconds < 3600.0 {
        format!("{}:{:02}", at / 60, at % 60)
    } else {
        format!("{}:{:02}:{:02}", at / 3600, at / 60 % 60, at % 60)
    }
}

/// A moment of a run of `seconds` with digits after the point, in the units of its time axis.
pub(crate) fn moment(at: f64, seconds: f64, digits: u32) -> String {
    let parts = 10_u64.pow(digits);
    if seconds < 180.0 || !(0.0..1e9).contains(&at) {
        return format!("{} s", number::fixed(at, digits as usize));
    }
    let all = (at * parts as f64 + 0.5) as u64;
    let whole = clock((all / parts) as f64, seconds);
    format!("{whole}.{:0width$}", all % parts, width = digits as usize)
}

/// What the labels of a time axis are in.
pub(crate) fn time_unit(seconds: f64) -> &'static str {
    if seconds < 180.0 {
        "s"
    } else if seconds < 3600.0 {
        "min:s"
    } else {
        "h:min:s"
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn labels(ticks: &[Tick]) -> Vec<&str> {
        ticks.iter().map(|(_, label)| label.as_str()).collect()
    }

    #[test]
    fn figures_get_round_ticks_that_reach_them() {
        assert_eq!(labels(&Upright::reaching(230.0, 4.0, false).ticks), ["0", "100", "200", "300"]);
        assert_eq!(labels(&Upright::reaching(3.0, 4.0, true).ticks), ["0", "1", "2", "3"]);
        assert_eq!(labels(&Upright::reaching(0.7, 4.0, false).ticks), ["0.0", "0.2", "0.4", "0.6", "0.8"]);
    }

    #[test]
    fn any_figure_has_an_axis() {
        for most in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e-12, 1e300, 4_294_967_295.0] {
            let axis = Upright::reaching(most, 4.0, false);
            assert!(axis.top > 0.0 && axis.ticks.len() >= 2, "{most}: {axis:?}");
            assert!((0.0..=100.0).contains(&axis.rise(most.max(0.0), 100.0)) || most.is_nan());
        }
    }

    #[test]
    fn moments_are_in_the_units_of_the_axis() {
        assert_eq!([moment(36.4824, 60.0, 3), moment(-0.5, 600.0, 1)], ["36.482 s", "-0.5 s"]);
        assert_eq!([moment(59.9996, 600.0, 3), moment(3599.5, 7200.0, 1)], ["1:00.000", "0:59:59.5"]);
    }

    #[test]
    fn time_has_round_ticks_in_the_units_of_its_length() {
        assert_eq!(labels(&time_ticks(1.0)), ["0", "0.2", "0.4", "0.6", "0.8", "1"]);
        assert_eq!(labels(&time_ticks(60.0)).last(), Some(&"60"));
        assert_eq!(labels(&time_ticks(600.0))[..3], ["0:00", "1:00", "2:00"]);
        assert_eq!(labels(&time_ticks(7200.0))[..3], ["0:00:00", "0:10:00", "0:20:00"]);
        assert!(time_ticks(1e7).len() <= 25);
    }
}
