//! Time windows with more or less traffic than usual.

use crate::scenario::{Event, ScheduledEvent};
use crate::Span;

/// A time window in which the traffic is `factor` times the usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficWindow {
    /// Start of the window, from the start of the traffic.
    pub from: Span,
    /// End of the window.
    pub until: Span,
    /// Multiple of the usual traffic.
    pub factor: f64,
    /// Duration of the linear ramps at the start and at the end of the window.
    pub ramp: Span,
}

impl TrafficWindow {
    /// The traffic windows of a scenario.
    pub fn from_events(events: &[ScheduledEvent]) -> Vec<TrafficWindow> {
        let window = |timed: &ScheduledEvent| match timed.event {
            Event::Traffic(factor, length, ramp) => {
                Some(TrafficWindow { from: timed.at, until: timed.at.saturating_add(length), factor, ramp })
            }
            _ => None,
        };
        events.iter().filter_map(window).collect()
    }

    /// Share of the change that is in effect at `at`: 0 outside the window, 1 after the ramp.
    fn share(&self, at: Span) -> f64 {
        if at < self.from || at >= self.until {
            return 0.0;
        }
        let ramp = self.ramp.min((self.until - self.from) / 2);
        if ramp == 0 {
            return 1.0;
        }
        let to_edge = (at - self.from).min(self.until - at);
        (to_edge as f64 / ramp as f64).min(1.0)
    }

    /// Maximum additional traffic, as a multiple of the usual traffic.
    pub(super) fn max_increase(&self) -> f64 {
        (self.factor - 1.0).max(0.0)
    }

    /// Additional traffic at `at`, as a multiple of the usual traffic.
    pub(super) fn increase(&self, at: Span) -> f64 {
        self.max_increase() * self.share(at)
    }

    /// Share of the usual traffic that remains at `at`.
    pub(super) fn remaining_share(&self, at: Span) -> f64 {
        1.0 - (1.0 - self.factor.clamp(0.0, 1.0)) * self.share(at)
    }
}

/// Traffic at `at` as a multiple of the usual traffic. Increases of overlapping windows add up; decreases
/// multiply.
pub(super) fn traffic_factor(windows: &[TrafficWindow], at: Span) -> f64 {
    let increase: f64 = windows.iter().map(|window| window.increase(at)).sum();
    (1.0 + increase) * remaining_share(windows, at)
}

/// Share of the usual traffic that remains at `at` under all windows.
pub(super) fn remaining_share(windows: &[TrafficWindow], at: Span) -> f64 {
    windows.iter().map(|window| window.remaining_share(at)).product()
}
