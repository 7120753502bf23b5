//! Windows in which there is more or less traffic than usual.

use crate::scenario::{Event, Timed};
use crate::Span;

/// Traffic is `factor` times the usual in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficWindow {
    /// Begins.
    pub from: Span,
    /// Is over.
    pub until: Span,
    /// How many times.
    pub factor: f64,
    /// It rises evenly over this span at the beginning, and falls over as much at the end.
    pub ramp: Span,
}

impl TrafficWindow {
    /// The windows of a scenario.
    pub fn from_events(events: &[Timed]) -> Vec<TrafficWindow> {
        let window = |timed: &Timed| match timed.event {
            Event::Traffic(factor, length, rise) => Some(TrafficWindow {
                from: timed.at,
                until: timed.at.saturating_add(length),
                factor,
                ramp: rise,
            }),
            _ => None,
        };
        events.iter().filter_map(window).collect()
    }

    /// Share of the change that is in force: 0 outside, 1 after the rise.
    fn share(&self, at: Span) -> f64 {
        if at < self.from || at >= self.until {
            return 0.0;
        }
        let rise = self.ramp.min((self.until - self.from) / 2);
        if rise == 0 {
            return 1.0;
        }
        let near = (at - self.from).min(self.until - at);
        (near as f64 / rise as f64).min(1.0)
    }

    /// Greatest traffic on top of the usual, as a share of that.
    pub(super) fn most_more(&self) -> f64 {
        (self.factor - 1.0).max(0.0)
    }

    /// Traffic on top of the usual, as a share of that.
    pub(super) fn more(&self, at: Span) -> f64 {
        self.most_more() * self.share(at)
    }

    /// Share of the traffic that is left.
    pub(super) fn left(&self, at: Span) -> f64 {
        1.0 - (1.0 - self.factor.clamp(0.0, 1.0)) * self.share(at)
    }
}

/// How many times the usual traffic there is: rises add up, falls multiply.
pub(super) fn factor(scales: &[TrafficWindow], at: Span) -> f64 {
    let more: f64 = scales.iter().map(|scale| scale.more(at)).sum();
    (1.0 + more) * left(scales, at)
}

/// Share of the traffic that is left by all windows.
pub(super) fn left(scales: &[TrafficWindow], at: Span) -> f64 {
    scales.iter().map(|scale| scale.left(at)).product()
}
