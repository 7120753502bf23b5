//! Matches observations and log lines against the triggers of scenario events.

use cluster_model::observation::{ClientOutcome, ObservationKind};
use cluster_model::scenario::{Scenario, Trigger};
use cluster_model::SECOND;
use runtime::{Span, Time};

/// An event that waits for its trigger.
#[derive(Clone, Debug)]
struct PendingTrigger {
    /// Index of the event in the scenario.
    index: usize,
    line: u32,
    trigger: Trigger,
    /// Latest time for the trigger to fire.
    deadline: Time,
    /// Number of matching observations before the deadline.
    matches: u32,
    fired: bool,
}

/// Events that wait for a trigger, each of which fires once.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingTriggers {
    pending: Vec<PendingTrigger>,
}

impl PendingTriggers {
    /// Collects the triggered events of a scenario whose first request is sent at `start`.
    pub fn new(scenario: &Scenario, start: Time) -> PendingTriggers {
        let pending = scenario.events.iter().enumerate().filter_map(|(index, event)| {
            let (trigger, deadline) = (event.trigger.clone()?, start + event.at);
            Some(PendingTrigger { index, line: event.line, trigger, deadline, matches: 0, fired: false })
        });
        PendingTriggers { pending: pending.collect() }
    }

    /// Whether a trigger may still fire.
    pub fn any_pending(&self, now: Time) -> bool {
        self.pending.iter().any(|awaited| !awaited.fired && now <= awaited.deadline)
    }

    /// Processes an observation; returns the indices of the events that it triggers.
    pub fn observe(&mut self, at: Time, kind: &ObservationKind) -> Vec<usize> {
        self.fire_matching(at, |trigger| matches_trigger(trigger, kind))
    }

    /// Processes the start of a drain of a host, numbered from 0.
    pub fn host_drain(&mut self, at: Time, host: u32) -> Vec<usize> {
        self.fire_matching(at, |trigger| *trigger == Trigger::HostDrain(host + 1))
    }

    /// Processes a log line of a gateway, numbered from 0.
    pub fn log_line(&mut self, at: Time, gateway: u32, line: &str) -> Vec<usize> {
        self.fire_matching(
            at,
            |trigger| matches!(trigger, Trigger::LogLine(of, text) if *of == gateway + 1 && line.contains(text)),
        )
    }

    fn fire_matching(&mut self, at: Time, matches: impl Fn(&Trigger) -> bool) -> Vec<usize> {
        let mut started = Vec::new();
        for awaited in self.pending.iter_mut().filter(|awaited| !awaited.fired && at <= awaited.deadline) {
            if matches(&awaited.trigger) {
                awaited.matches += 1;
                awaited.fired = awaited.matches == nth(&awaited.trigger);
                started.extend(awaited.fired.then_some(awaited.index));
            }
        }
        started
    }

    /// Returns a line for each trigger that did not fire: such a run has not tested what its scenario specifies.
    pub fn missed(&self, start: Time) -> Vec<String> {
        let missed = self.pending.iter().filter(|awaited| !awaited.fired);
        missed.map(|awaited| awaited.missed_line(awaited.deadline.saturating_sub(start))).collect()
    }
}

impl PendingTrigger {
    fn missed_line(&self, deadline: Span) -> String {
        let by_s = deadline as f64 / SECOND as f64;
        let progress = match nth(&self.trigger) {
            1 => String::new(),
            n => format!(" ({} of {n} came)", self.matches),
        };
        format!("line {}: the moment never came by {by_s} s: {}{progress}", self.line, self.trigger)
    }
}

/// Returns which matching observation, counted from 1, fires a trigger.
fn nth(trigger: &Trigger) -> u32 {
    match trigger {
        Trigger::CounterCall(_, n)
        | Trigger::HostAttempt(_, _, n)
        | Trigger::Request(_, n)
        | Trigger::Response(_, n) => *n,
        _ => 1,
    }
}

/// Whether an observation counts for a trigger.
fn matches_trigger(trigger: &Trigger, kind: &ObservationKind) -> bool {
    match (trigger, kind) {
        (Trigger::CounterCall(of, _), ObservationKind::CounterCall { gateway, .. })
        | (Trigger::Request(of, _), ObservationKind::RequestSent { gateway, .. })
        | (Trigger::GatewayProcess(of, true), ObservationKind::GatewayUp { gateway })
        | (Trigger::GatewayProcess(of, false), ObservationKind::GatewayDown { gateway, .. }) => {
            *of == gateway + 1
        }
        (Trigger::HostAttempt(of, to, _), ObservationKind::AttemptReceived { gateway, host, .. }) => {
            *of == gateway + 1 && to.is_none_or(|to| to == host + 1)
        }
        (Trigger::Response(of, _), ObservationKind::RequestEnded { gateway, outcome, .. }) => {
            *of == gateway + 1
                && matches!(
                    outcome,
                    ClientOutcome::Served(_) | ClientOutcome::Rejected(_) | ClientOutcome::Failed
                )
        }
        (
            Trigger::DiscoveryUpdate(of, of_host, of_state),
            ObservationKind::GatewayNotified { gateway, host, state, .. },
        ) => (*of, *of_host, *of_state) == (gateway + 1, host + 1, *state),
        (Trigger::HostProcess(of, true), ObservationKind::HostStarted { host, .. })
        | (
            Trigger::HostProcess(of, false),
            ObservationKind::HostStopped { host } | ObservationKind::HostOverloadCrash { host },
        ) => *of == host + 1,
        _ => false,
    }
}
