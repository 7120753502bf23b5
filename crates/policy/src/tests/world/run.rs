//! The steps of a run.

use super::*;
use crate::tests::steps::{Start, Step, ROUTES};

impl World {
    pub fn step(&mut self, step: Step) {
        match step {
            Step::Request { class, plan, customer, units, remaining, ago, route } => {
                self.last_request += 1;
                let id = RequestId(self.last_request);
                let settings = &self.deployment.settings;
                let request = Request {
                    id,
                    class: class % settings.classes.len(),
                    plan: customer as usize % 2 % settings.plans.len(),
                    customer: CustomerId(customer),
                    remaining: u64::from(remaining) * MILLISECOND,
                    units: f64::from(units),
                    set_size: plan as u32 + 1,
                    route: ROUTES[if route < 4 { route } else { 0 }],
                    arrived_at: self.now - u64::from(ago.saturating_sub(40)) * MILLISECOND,
                    ..Request::default()
                };
                let tracked = TrackedRequest {
                    request: request.clone(),
                    deadline: request.arrived_at + request.remaining,
                    client: Client::Waiting,
                    charged_at: None,
                    attempts: Vec::new(),
                };
                self.tracked.insert(id, tracked);
                self.report(Event::Request(request));
            }
            Step::AttemptEnd { pick, outcome, units } => {
                let in_flight = self.attempts_where(|attempt| attempt.outcome.is_none());
                if let Some((id, attempt)) = in_flight.get(pick % in_flight.len().max(1)).copied() {
                    self.end(id, attempt, outcome, units);
                    self.report_last();
                }
            }
            Step::CounterReply { pick, answer } if !self.calls.is_empty() => {
                self.reply_to_call(pick % self.calls.len(), answer)
            }
            Step::Disconnect { pick } => {
                if let Some(id) = self.waiting_request(pick) {
                    self.report(Event::ClientDisconnected { id });
                }
            }
            Step::DisconnectUnreported { pick } => {
                let id = self.waiting_request(pick);
                if let Some(request) = id.and_then(|id| self.tracked.get_mut(&id)) {
                    request.client = Client::Disconnecting;
                }
            }
            Step::Host { id, state, start } => {
                self.host(HostId(1 + id % self.deployment.hosts), state, start)
            }
            Step::FullList { mask, kind } => self.list(mask, kind),
            Step::Plans { change } => self.plans(change),
            Step::Shed { cell, keep } => {
                let mut fractions = vec![1.0; cell];
                fractions.push(f64::from(keep) / 3.0);
                self.report(Event::AdmissionFractionsChanged(if keep == 3 { Vec::new() } else { fractions }));
            }
            Step::HealthCheck { id, outcome, queue } => {
                let report = LoadReport { queued: Some(f64::from(queue)), ..LoadReport::default() };
                self.report(Event::HealthCheckEnded { host: HostId(id), outcome, report: Some(report) });
            }
            Step::Timer { token } => self.report(Event::TimerExpired { token }),
            Step::Stale { what } => self.report_stale(what),
            Step::Elapse { ms } => self.pass(self.now + u64::from(ms) * MILLISECOND),
            Step::Pause { ms } => {
                self.now += u64::from(ms) * MILLISECOND;
                self.resumed_at = self.now;
            }
            Step::AdvanceToMoment { pick, moment, off } => self.advance_to_moment(pick, moment, off),
            Step::CounterReply { .. } => {}
        }
    }

    pub(super) fn host(&mut self, id: HostId, state: HostState, start: Start) {
        let now = self.now;
        let Some(entry) = self.hosts.get_mut(&id) else { return };
        entry.state = state;
        entry.started_at = if start == Start::Same { entry.started_at } else { now };
        if start == Start::Moved {
            entry.zone = (entry.zone + 1) % 2;
            entry.cell = (entry.cell + 1) % 3;
        }
        let entries = vec![entry.clone()];
        self.report(Event::HostList { kind: HostListKind::Delta, entries });
    }

    pub(super) fn list(&mut self, mask: u8, kind: HostListKind) {
        let mut entries = Vec::new();
        for entry in self.hosts.values_mut().filter(|_| kind != HostListKind::Failed) {
            let is_named = mask >> (entry.id.0 % 8) & 1 == 1;
            entry.state = if is_named { HostState::Ready } else { HostState::Gone };
            entries.extend(Some(entry.clone()).filter(|_| is_named));
        }
        self.report(Event::HostList { kind, entries });
    }

    /// Changes a plan: a tighter quota, a wider one, or other limits.
    pub(super) fn plans(&mut self, change: usize) {
        let plans = &mut self.deployment.settings.plans;
        let at = change % plans.len();
        let plan = &mut plans[at];
        match change / 8 % 5 {
            0 => plan.rate *= 0.5,
            1 => plan.burst = (0.5 * plan.burst).max(0.5),
            2 => plan.max_concurrent = 1,
            3 => plan.rate = 1_000.0,
            // No configuration of the operators does this, but the module has to cope with it.
            _ => {
                plan.rate = 0.0;
                self.has_irregular_plans = true;
            }
        }
        self.has_irregular_plans |= change / 8 % 5 == 3;
        let plans = plans.clone();
        self.report(Event::PlansChanged(plans));
    }

    /// Reports an event that is repeated, too late, or about something unknown.
    pub(super) fn report_stale(&mut self, what: usize) {
        let id = RequestId(1 + what as u64 % self.last_request.max(1));
        let host = HostId(1 + what as u64 % 9);
        let is_known = self.tracked.contains_key(&id);
        match what / 16 % 5 {
            0 if !is_known => self.report(Event::ClientDisconnected { id }),
            1 => {
                let key = CounterKey(what as u64);
                self.report(Event::CounterReplied {
                    key,
                    outcome: Outcome::Ok,
                    total: 7.0,
                    elapsed: MILLISECOND,
                });
            }
            // The end of an attempt that has ended before, or that was never made.
            2 | 3 => {
                let ended = |request: &TrackedRequest| {
                    let index = request.attempts.iter().position(|attempt| attempt.outcome.is_some());
                    index
                        .map_or((request.attempts.len(), host), |index| (index, request.attempts[index].host))
                };
                let tracked = self.tracked.get(&id);
                let (attempt, host) = tracked.map_or((0, host), ended);
                let end = AttemptEnded {
                    id,
                    attempt: attempt as u32,
                    host,
                    outcome: Outcome::Ok,
                    elapsed: MILLISECOND,
                    is_request_closed: tracked.is_none_or(TrackedRequest::needs_no_answer),
                    quota_used: None,
                    actual_units: Some(3.0),
                    report: None,
                };
                self.report(Event::AttemptEnded(end));
            }
            // The reply to a call that was answered before.
            _ => {
                let is_in_flight = |key: &CounterKey| self.calls.iter().any(|call| call.key == *key);
                if let Some(key) = self.totals.keys().find(|key| !is_in_flight(key)).copied() {
                    self.report(Event::CounterReplied {
                        key,
                        outcome: Outcome::Ok,
                        total: 9.0,
                        elapsed: MILLISECOND,
                    });
                }
            }
        }
    }
}
