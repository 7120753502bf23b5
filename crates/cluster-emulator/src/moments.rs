//! Moments of a scenario that are named by something seen, and which of them have come.

use cluster_model::observation::{ClientOutcome, ObservationKind};
use cluster_model::scenario::{Scenario, Trigger};
use cluster_model::SECOND;
use runtime::{Span, Time};

/// An event that waits for its sign.
#[derive(Clone, Debug)]
struct Awaited {
    /// Its place in the scenario.
    place: usize,
    line: u32,
    sign: Trigger,
    /// The latest at which the sign may come.
    by: Time,
    /// So often it was seen in time; it counts from 1.
    seen: u32,
    come: bool,
}

/// Events that begin by something seen, each once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Moments {
    awaited: Vec<Awaited>,
}

impl Moments {
    /// Of a scenario whose first request comes at `start`.
    pub fn new(scenario: &Scenario, start: Time) -> Moments {
        let awaited = scenario.events.iter().enumerate().filter_map(|(place, timed)| {
            let (sign, by) = (timed.trigger.clone()?, start + timed.at);
            Some(Awaited { place, line: timed.line, sign, by, seen: 0, come: false })
        });
        Moments { awaited: awaited.collect() }
    }

    /// Whether anything may still come.
    pub fn wait(&self, now: Time) -> bool {
        self.awaited.iter().any(|awaited| !awaited.come && now <= awaited.by)
    }

    /// Something was seen: places of the events that begin by it.
    pub fn see(&mut self, at: Time, what: &ObservationKind) -> Vec<usize> {
        self.notice(at, |sign| shows(sign, what))
    }

    /// A host, numbered from 0, is told to drain.
    pub fn drains(&mut self, at: Time, host: u32) -> Vec<usize> {
        self.notice(at, |sign| *sign == Trigger::HostDrain(host + 1))
    }

    /// A line of a gateway's log, numbered from 0.
    pub fn logged(&mut self, at: Time, gateway: u32, line: &str) -> Vec<usize> {
        self.notice(
            at,
            |sign| matches!(sign, Trigger::LogLine(of, text) if *of == gateway + 1 && line.contains(text)),
        )
    }

    fn notice(&mut self, at: Time, shows: impl Fn(&Trigger) -> bool) -> Vec<usize> {
        let mut begin = Vec::new();
        for awaited in self.awaited.iter_mut().filter(|awaited| !awaited.come && at <= awaited.by) {
            if shows(&awaited.sign) {
                awaited.seen += 1;
                awaited.come = awaited.seen == nth(&awaited.sign);
                begin.extend(awaited.come.then_some(awaited.place));
            }
        }
        begin
    }

    /// What never came, a line for each: a run without it has not rehearsed what its scenario says.
    pub fn missed(&self, start: Time) -> Vec<String> {
        let missed = self.awaited.iter().filter(|awaited| !awaited.come);
        missed.map(|awaited| awaited.told(awaited.by.saturating_sub(start))).collect()
    }
}

impl Awaited {
    fn told(&self, by: Span) -> String {
        let by_s = by as f64 / SECOND as f64;
        let so_far = match nth(&self.sign) {
            1 => String::new(),
            n => format!(" ({} of {n} came)", self.seen),
        };
        format!("line {}: the moment never came by {by_s} s: {}{so_far}", self.line, self.sign)
    }
}

/// How manieth sighting a sign is.
fn nth(sign: &Trigger) -> u32 {
    match sign {
        Trigger::CounterCall(_, n)
        | Trigger::HostAttempt(_, _, n)
        | Trigger::Request(_, n)
        | Trigger::Response(_, n) => *n,
        _ => 1,
    }
}

/// Whether a sighting is one of those that a sign counts.
fn shows(sign: &Trigger, what: &ObservationKind) -> bool {
    match (sign, what) {
        (Trigger::CounterCall(of, _), ObservationKind::CounterCall { gateway, .. })
        | (Trigger::Request(of, _), ObservationKind::RequestSent { gateway, .. })
        | (Trigger::GatewayProcess(of, true), ObservationKind::GatewayUp { gateway })
        | (Trigger::GatewayProcess(of, false), ObservationKind::GatewayDown { gateway, .. }) => {
            *of == gateway + 1
        }
        (Trigger::HostAttempt(of, to, _), ObservationKind::AttemptReceived { gateway, host, .. }) => {
            *of == gateway + 1 && to.is_none_or(|to| to == host + 1)
        }
        (Trigger::Response(of, _), ObservationKind::RequestEnded { gateway, outcome: got, .. }) => {
            *of == gateway + 1
                && matches!(
                    got,
                    ClientOutcome::Served(_) | ClientOutcome::Rejected(_) | ClientOutcome::Failed
                )
        }
        (
            Trigger::DiscoveryUpdate(of, about, told),
            ObservationKind::GatewayNotified { gateway, host, state, .. },
        ) => (*of, *about, *told) == (gateway + 1, host + 1, *state),
        (Trigger::HostProcess(of, true), ObservationKind::HostStarted { host, .. })
        | (
            Trigger::HostProcess(of, false),
            ObservationKind::HostStopped { host } | ObservationKind::HostOverloadCrash { host },
        ) => *of == host + 1,
        _ => false,
    }
}
