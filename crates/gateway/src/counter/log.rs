//! Logs changes of the counter's state that last: how much has been granted locally meanwhile, and how far quotas may be
//! exceeded by then. There is never a line per request.

use crate::telemetry::debounced_state::DebouncedState;
use policy::api::Settings;
use quota::bound::{max_overshoot, Failure, Quota};
use quota::{CounterReport, CounterState, LocalGrants};
use runtime::{Span, Time};
use std::fmt;

const SECOND: Span = 1_000_000_000;
/// Time between the first line about a fault and the first reminder; it doubles with each further one.
const FIRST_REMINDER: Span = 10 * SECOND;
const MAX_REMINDER_INTERVAL: Span = 600 * SECOND;

/// A line of the log.
#[derive(Debug, PartialEq)]
pub(crate) enum LogLine {
    Info(String),
    Warn(String),
}

impl LogLine {
    /// Writes the line to the log.
    pub fn log(&self) {
        match self {
            LogLine::Info(text) => tracing::info!("{text}"),
            LogLine::Warn(text) => tracing::warn!("{text}"),
        }
    }
}

/// The name of a plan with its quota.
pub(crate) type NamedQuota = (String, Quota);

/// What has been logged of the counter.
pub(crate) struct CounterLog {
    state: DebouncedState<CounterState>,
    /// The fault that has been logged and is not over.
    fault: Option<CounterFault>,
    /// Number of counter resets that have been logged.
    resets: u32,
    quotas: Vec<NamedQuota>,
}

/// A fault of the counter.
#[derive(Clone, Copy)]
struct CounterFault {
    state: CounterState,
    since: Time,
    logged_at: Time,
    reminder_interval: Span,
}

impl CounterLog {
    /// Creates the log of a gateway that starts now.
    pub fn new(now: Time, quotas: Vec<NamedQuota>) -> CounterLog {
        let state = DebouncedState::new(CounterState::Unused, now);
        CounterLog { state, fault: None, resets: 0, quotas }
    }

    /// Returns whether the counter's state should be passed to [`CounterLog::update`].
    pub fn needs_update(&self, now: Time) -> bool {
        self.state.needs_sample(now)
    }

    /// Takes in the counter's state, and returns the lines to be written.
    pub fn update(&mut self, now: Time, report: &CounterReport) -> Vec<LogLine> {
        let mut lines = Vec::new();
        lines.extend(self.reset_line(report.counter_resets));
        match self.state.sample(now, report.state) {
            Some(state) if state.is_degraded() => lines.push(self.begin_fault(now, state)),
            Some(state) => lines.push(self.end_fault(now, state, &report.local_grants)),
            None => lines.extend(self.remind(now, &report.local_grants)),
        }
        lines
    }

    /// Returns whether there is no fault, logged or about to be: local grants count from here on.
    pub fn is_healthy(&self, report: &CounterReport) -> bool {
        self.fault.is_none() && !report.state.is_degraded()
    }

    fn reset_line(&mut self, resets: u32) -> Option<LogLine> {
        if resets <= self.resets {
            return None;
        }
        self.resets = resets;
        Some(LogLine::Warn(format!(
            "counter replaced: it has begun anew (time {resets} since the start); gateways tell it what it has forgotten"
        )))
    }

    fn begin_fault(&mut self, now: Time, state: CounterState) -> LogLine {
        let since = self.fault.map_or(now, |fault| fault.since);
        let reminder_interval = FIRST_REMINDER;
        self.fault = Some(CounterFault { state, since, logged_at: now, reminder_interval });
        LogLine::Warn(format!("counter {state}"))
    }

    fn end_fault(&mut self, now: Time, state: CounterState, grants: &LocalGrants) -> LogLine {
        let consequences = match self.fault.take() {
            Some(fault) => format!("; {}", self.consequences(now, &fault, grants)),
            None => String::new(),
        };
        LogLine::Info(format!("counter {state}{consequences}"))
    }

    fn remind(&mut self, now: Time, grants: &LocalGrants) -> Option<LogLine> {
        let mut fault = self.fault?;
        if now < fault.logged_at.saturating_add(fault.reminder_interval) {
            return None;
        }
        fault.logged_at = now;
        fault.reminder_interval = (2 * fault.reminder_interval).min(MAX_REMINDER_INTERVAL);
        self.fault = Some(fault);
        let state = if fault.state == CounterState::Unreachable { "away" } else { "apart" };
        let consequences = self.consequences(now, &fault, grants);
        Some(LogLine::Warn(format!("counter still {state}; {consequences}")))
    }

    /// What a fault has led to by now.
    fn consequences(&self, now: Time, fault: &CounterFault, grants: &LocalGrants) -> Consequences<'_> {
        let duration = now - fault.since;
        let max_overshoot = |quota: &Quota| {
            let failure = Failure {
                duration_s: duration as f64 / SECOND as f64,
                partitions: quota.set_size,
                counter_answers: fault.state != CounterState::Unreachable,
                counter_resets: 0,
            };
            max_overshoot(quota, &failure, true).ceil()
        };
        let plans = self.quotas.iter();
        let max_overshoots = plans.map(|(plan, quota)| (&**plan, max_overshoot(quota))).collect();
        Consequences { duration_s: duration / SECOND, grants: *grants, max_overshoots }
    }
}

/// What a fault has led to: local grants, and the bound on each plan's overshoot in units.
struct Consequences<'a> {
    duration_s: u64,
    grants: LocalGrants,
    max_overshoots: Vec<(&'a str, f64)>,
}

impl fmt::Display for Consequences<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LocalGrants { units, overshoot_units, max_customer_overshoot } = self.grants;
        write!(
            f,
            "in {} s this gateway let in {units:.0} units on its own word, {overshoot_units:.0} of them beyond its parts \
             of the quotas, {max_customer_overshoot:.0} of one customer",
            self.duration_s
        )?;
        if self.max_overshoots.is_empty() {
            return Ok(());
        }
        let bounds =
            self.max_overshoots.iter().map(|(plan, units)| format!("{units:.0} units of plan {plan}"));
        let bounds: Vec<String> = bounds.collect();
        write!(f, ". No customer gets more beyond its quota than {}", bounds.join(" or "))
    }
}

/// Returns the quotas of the plans that have one.
pub(crate) fn named_quotas(
    settings: &Settings,
    plan_names: &[String],
    max_request_units: f64,
) -> Vec<NamedQuota> {
    let plans = plan_names.iter().zip(&settings.plans);
    let with_quota = plans.filter(|(_, plan)| plan.rate > 0.0);
    let named = with_quota.map(|(name, plan)| {
        let quota = Quota {
            rate: plan.rate,
            burst: plan.burst,
            set_size: settings.gateways.max(1),
            max_request_units,
        };
        (name.clone(), quota)
    });
    named.collect()
}

#[cfg(test)]
mod tests;
