//! Logs lasting changes of the counter's state, with the units granted locally meanwhile and the amount by which quotas
//! may have been exceeded. No line is written per request.

use crate::telemetry::debounced_state::DebouncedState;
use policy::api::Settings;
use quota::bound::{max_overshoot, Failure, Quota};
use quota::{CounterReport, CounterState, LocalGrants};
use runtime::{Span, Time};

const SECOND: Span = 1_000_000_000;
/// Time between the first line about a fault and the first reminder; it doubles with each reminder.
const FIRST_REMINDER: Span = 10 * SECOND;
const MAX_REMINDER_INTERVAL: Span = 600 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Severity {
    Info,
    Warn,
}

/// A log line: a fixed message with fields.
#[derive(Debug, PartialEq)]
pub(crate) struct LogLine {
    severity: Severity,
    message: &'static str,
    state: CounterState,
    /// Number of counter resets since the start, in a line about a reset.
    resets: Option<u32>,
    consequences: Option<Consequences>,
}

impl LogLine {
    /// Writes the line to the log.
    pub fn log(&self) {
        let LogLine { severity, message, state, resets, consequences } = self;
        let consequences = consequences.as_ref();
        let outage_s = consequences.map(|it| it.duration_s);
        let granted_units = consequences.map(|it| it.grants.units.round() as u64);
        let overshoot_units = consequences.map(|it| it.grants.overshoot_units.round() as u64);
        let max_customer_overshoot = consequences.map(|it| it.grants.max_customer_overshoot.round() as u64);
        let max_overshoot = consequences.map(|it| it.max_overshoot.as_str());
        match severity {
            Severity::Info => tracing::info!(
                %state, resets, outage_s, granted_units, overshoot_units, max_customer_overshoot, max_overshoot,
                "{message}"
            ),
            Severity::Warn => tracing::warn!(
                %state, resets, outage_s, granted_units, overshoot_units, max_customer_overshoot, max_overshoot,
                "{message}"
            ),
        }
    }
}

/// The name of a plan with its quota.
pub(crate) type NamedQuota = (String, Quota);

/// The state of the log about the counter.
pub(crate) struct CounterLog {
    state: DebouncedState<CounterState>,
    /// The ongoing fault that has been logged.
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
    /// Creates the log at the start of a gateway.
    pub fn new(now: Time, quotas: Vec<NamedQuota>) -> CounterLog {
        let state = DebouncedState::new(CounterState::Unused, now);
        CounterLog { state, fault: None, resets: 0, quotas }
    }

    /// Returns whether the counter's state should be passed to [`CounterLog::update`].
    pub fn needs_update(&self, now: Time) -> bool {
        self.state.needs_sample(now)
    }

    /// Records the counter's state, and returns the lines to be written.
    pub fn update(&mut self, now: Time, report: &CounterReport) -> Vec<LogLine> {
        let mut lines = Vec::new();
        lines.extend(self.reset_line(report.state, report.counter_resets));
        match self.state.sample(now, report.state) {
            Some(state) if state.is_degraded() => lines.push(self.begin_fault(now, state)),
            Some(state) => lines.push(self.end_fault(now, state, &report.local_grants)),
            None => lines.extend(self.remind(now, &report.local_grants)),
        }
        lines
    }

    /// Returns whether there is no fault, neither logged nor about to be logged. Local grants are counted from the last
    /// time at which this was true.
    pub fn is_healthy(&self, report: &CounterReport) -> bool {
        self.fault.is_none() && !report.state.is_degraded()
    }

    fn reset_line(&mut self, state: CounterState, resets: u32) -> Option<LogLine> {
        if resets <= self.resets {
            return None;
        }
        self.resets = resets;
        Some(LogLine {
            severity: Severity::Warn,
            message: "counter was reset, gateways report to it what it has lost",
            state,
            resets: Some(resets),
            consequences: None,
        })
    }

    fn begin_fault(&mut self, now: Time, state: CounterState) -> LogLine {
        let since = self.fault.map_or(now, |fault| fault.since);
        let reminder_interval = FIRST_REMINDER;
        self.fault = Some(CounterFault { state, since, logged_at: now, reminder_interval });
        let message = "counter is degraded";
        LogLine { severity: Severity::Warn, message, state, resets: None, consequences: None }
    }

    fn end_fault(&mut self, now: Time, state: CounterState, grants: &LocalGrants) -> LogLine {
        let fault = self.fault.take();
        let consequences = fault.map(|fault| self.consequences(now, &fault, grants));
        let message = "counter state has changed";
        LogLine { severity: Severity::Info, message, state, resets: None, consequences }
    }

    fn remind(&mut self, now: Time, grants: &LocalGrants) -> Option<LogLine> {
        let mut fault = self.fault?;
        if now < fault.logged_at.saturating_add(fault.reminder_interval) {
            return None;
        }
        fault.logged_at = now;
        fault.reminder_interval = (2 * fault.reminder_interval).min(MAX_REMINDER_INTERVAL);
        self.fault = Some(fault);
        Some(LogLine {
            severity: Severity::Warn,
            message: "counter is still degraded",
            state: fault.state,
            resets: None,
            consequences: Some(self.consequences(now, &fault, grants)),
        })
    }

    /// Returns the consequences of a fault up to now.
    fn consequences(&self, now: Time, fault: &CounterFault, grants: &LocalGrants) -> Consequences {
        let duration = now - fault.since;
        let bound = |(plan, quota): &NamedQuota| {
            let failure = Failure {
                duration_s: duration as f64 / SECOND as f64,
                partitions: quota.set_size,
                counter_answers: fault.state != CounterState::Unreachable,
                counter_resets: 0,
            };
            let units = max_overshoot(quota, &failure, true).ceil();
            format!("{units:.0} units of plan {plan}")
        };
        let bounds: Vec<String> = self.quotas.iter().map(bound).collect();
        Consequences { duration_s: duration / SECOND, grants: *grants, max_overshoot: bounds.join(", ") }
    }
}

/// The consequences of a fault.
#[derive(Debug, PartialEq)]
struct Consequences {
    duration_s: u64,
    grants: LocalGrants,
    /// For each plan, the maximum units by which a customer can exceed its quota, over all gateways.
    max_overshoot: String,
}

/// Returns the quotas of the plans that have one.
pub(crate) fn named_quotas(
    settings: &Settings,
    plan_names: &[String],
    max_request_units: f64,
) -> Vec<NamedQuota> {
    let plans = plan_names.iter().zip(&settings.plans);
    let plans_with_quota = plans.filter(|(_, plan)| plan.rate > 0.0);
    let named = plans_with_quota.map(|(name, plan)| {
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
