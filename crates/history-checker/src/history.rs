//! Records the observations and checks all of them at the end.

use crate::availability::Availability;
use crate::finding::{Finding, Findings};
use crate::limits::Limits;
use crate::notifications::{Notification, Pairs, Sent};
use crate::observability::ObservabilityGaps;
use crate::quota_windows::UnitsForwarded;
use crate::timeline::{Attempt, AttemptEnd, End, RequestTimeline, RequestWrite};
use crate::{drains, duplicate_execution, quota_windows, responses, state_use, StateUse};
use cluster_model::observation::{Lifecycle, Observation, ObservationKind};
use cluster_model::Time;
use std::collections::BTreeMap;

/// The history of one run.
#[derive(Debug)]
pub struct History {
    limits: Limits,
    start: Time,
    timelines: BTreeMap<u64, RequestTimeline>,
    pairs: Pairs,
    availability: Availability,
    gaps: ObservabilityGaps,
    unexpected: Vec<(Time, u32)>,
    state_uses: Vec<StateUse>,
}

impl History {
    /// Creates the history of a run whose first request is scheduled at `start`, in nanoseconds on the clock of the
    /// observations.
    pub fn new(limits: Limits, start: Time) -> History {
        History {
            limits,
            start,
            timelines: BTreeMap::new(),
            pairs: Pairs::new(),
            availability: Availability::default(),
            gaps: ObservabilityGaps::default(),
            unexpected: Vec::new(),
            state_uses: Vec::new(),
        }
    }

    /// Records an observation; the order of the calls does not matter. Observations that no rule uses are ignored.
    pub fn observe(&mut self, observation: &Observation) {
        let at = observation.at;
        match observation.kind {
            ObservationKind::RequestSent { .. } => self.request_written(observation),
            ObservationKind::RequestEnded { request, gateway, outcome } => {
                self.timeline(request).ends.push((at, End::Outcome(gateway, outcome)));
            }
            ObservationKind::ClientDisconnected { request } => {
                self.timeline(request).ends.push((at, End::Disconnected))
            }
            ObservationKind::AttemptReceived { request, host, gateway, first_byte, .. } => {
                let attempt = Attempt { host, gateway, first_byte, received_at: at, ended: None };
                self.timeline(request).attempts.push(attempt);
                let pair = self.pairs.entry((gateway, host)).or_default();
                pair.sent.push(Sent { first_byte, request });
            }
            ObservationKind::AttemptEnded { request, host, gateway, outcome, units } => {
                self.timeline(request).attempt_ends.push(AttemptEnd { at, host, gateway, outcome, units });
            }
            ObservationKind::AgentNotified { gateway, host, state, started } => {
                self.record_notification(at, false, (gateway, host), state, started)
            }
            ObservationKind::GatewayNotified { gateway, host, state, started } => {
                self.record_notification(at, true, (gateway, host), state, started)
            }
            ObservationKind::UnexpectedResponse { gateway } => self.unexpected.push((at, gateway)),
            _ => {
                self.availability.observe(at, &observation.kind);
                self.gaps.observe(at, &observation.kind);
            }
        }
    }

    /// Records a use of cached state.
    pub fn record_state_use(&mut self, state_use: StateUse) {
        self.state_uses.push(state_use);
    }

    fn timeline(&mut self, request: u64) -> &mut RequestTimeline {
        self.timelines.entry(request).or_default()
    }

    fn request_written(&mut self, observation: &Observation) {
        let ObservationKind::RequestSent { request, gateway, customer, class, plan, units, timeout, .. } =
            observation.kind
        else {
            return;
        };
        let timeline = self.timeline(request);
        (timeline.customer, timeline.class, timeline.plan, timeline.units) =
            (customer, class as usize, plan as usize, units);
        timeline.writes.push(RequestWrite { at: observation.at, gateway, timeout });
    }

    fn record_notification(
        &mut self,
        at: Time,
        to_gateway: bool,
        pair: (u32, u32),
        state: Lifecycle,
        started: Time,
    ) {
        self.pairs.entry(pair).or_default().notifications.push(Notification {
            at,
            to_gateway,
            state,
            started,
        });
    }

    /// Returns the violations in the history of a run that ended at `end`, in chronological order. For each request,
    /// customer, and pair of gateway and host, only the first violation of each rule is reported.
    pub fn check(mut self, end: Time) -> Vec<Finding> {
        let mut found = Findings::new(self.start);
        self.availability.finish();
        self.gaps.finish();
        self.unexpected.iter().for_each(|(at, gateway)| responses::unexpected(*at, *gateway, &mut found));
        let mut customers: BTreeMap<(u64, usize), Vec<UnitsForwarded>> = BTreeMap::new();
        for (id, timeline) in &mut self.timelines {
            timeline.finish(&self.gaps);
            responses::check(*id, timeline, &self.availability, &self.limits, end, &mut found);
            duplicate_execution::check(*id, timeline, &self.availability, &self.limits, &mut found);
            record_units(*id, timeline, customers.entry((timeline.customer, timeline.plan)).or_default());
        }
        for ((customer, plan), events) in &mut customers {
            if let Some(Some(bound)) = self.limits.quota_bounds.get(*plan) {
                quota_windows::check(*customer, events, bound, &mut found);
            }
        }
        for (who, pair) in &mut self.pairs {
            pair.finish(*who, &self.gaps);
            drains::check(*who, pair, (&self.availability, &self.gaps), &self.limits, &mut found);
            self.state_uses.extend(state_use::of_starts(*who, pair, &self.availability, &self.gaps));
        }
        self.state_uses.iter().for_each(|state_use| state_use::check(state_use, &mut found));
        found.finish()
    }
}

/// Records the units that a request took from its customer's quota: the units that it names when it was first forwarded, and
/// the difference when a response reported the actual units.
fn record_units(request: u64, timeline: &RequestTimeline, events: &mut Vec<UnitsForwarded>) {
    let Some(first) = timeline.attempts.first().filter(|_| !timeline.writes.is_empty()) else { return };
    events.push(UnitsForwarded {
        at: first.received_at,
        request,
        units: timeline.units,
        is_correction: false,
    });
    if let Some((at, units)) = timeline.true_units().filter(|(_, units)| *units != timeline.units) {
        events.push(UnitsForwarded { at, request, units: units - timeline.units, is_correction: true });
    }
}
