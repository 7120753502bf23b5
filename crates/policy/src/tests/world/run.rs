//! Execution of the steps of a run.

use super::*;
use crate::tests::steps::{RequestStep, Start, Step, ROUTES};

impl TestGateway {
    pub fn step(&mut self, step: Step) {
        match step {
            Step::Request(request) => self.send_request(&request),
            Step::AttemptEnd { pick, outcome, units } => {
                let in_flight = self.attempts_where(|attempt| attempt.outcome.is_none());
                if let Some((id, attempt)) = in_flight.get(pick % in_flight.len().max(1)).copied() {
                    self.end_attempt(id, attempt, outcome, units);
                    self.report_last();
                }
            }
            Step::CounterReply { pick, reply_kind } if !self.calls.is_empty() => {
                self.reply_to_call(pick % self.calls.len(), reply_kind)
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
                self.change_host(HostId(1 + id % self.deployment.hosts), state, start)
            }
            Step::FullList { mask, kind } => self.report_host_list(mask, kind),
            Step::Plans { change } => self.change_plan(change),
            Step::Shed { cell, admitted_thirds } => {
                let mut fractions = vec![1.0; cell];
                fractions.push(f64::from(admitted_thirds) / 3.0);
                self.report(Event::AdmissionFractionsChanged(if admitted_thirds == 3 {
                    Vec::new()
                } else {
                    fractions
                }));
            }
            Step::HealthCheck { id, outcome, queue } => {
                let report = LoadReport { queued: Some(f64::from(queue)), ..LoadReport::default() };
                self.report(Event::HealthCheckEnded { host: HostId(id), outcome, report: Some(report) });
            }
            Step::Timer { token } => self.report(Event::TimerExpired { token }),
            Step::Stale { kind } => self.report_stale(kind),
            Step::Elapse { ms } => self.advance_to(self.now + u64::from(ms) * MILLISECOND),
            Step::Pause { ms } => {
                self.now += u64::from(ms) * MILLISECOND;
                self.resumed_at = self.now;
            }
            Step::AdvanceToInstant { pick, kind, offset_ns } => {
                self.advance_to_instant(pick, kind, offset_ns)
            }
            Step::CounterReply { .. } => {}
        }
    }

    fn send_request(&mut self, step: &RequestStep) {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let settings = &self.deployment.settings;
        let request = Request {
            id,
            class: step.class % settings.classes.len(),
            plan: step.customer as usize % 2 % settings.plans.len(),
            customer: CustomerId(step.customer),
            remaining: u64::from(step.remaining_ms) * MILLISECOND,
            units: f64::from(step.units),
            set_size: step.plan as u32 + 1,
            route: ROUTES[if step.route < 4 { step.route } else { 0 }],
            arrived_at: self.now - u64::from(step.ago_ms.saturating_sub(40)) * MILLISECOND,
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

    fn change_host(&mut self, id: HostId, state: HostState, start: Start) {
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

    fn report_host_list(&mut self, mask: u8, kind: HostListKind) {
        let mut entries = Vec::new();
        for entry in self.hosts.values_mut().filter(|_| kind != HostListKind::Failed) {
            let is_named = mask >> (entry.id.0 % 8) & 1 == 1;
            entry.state = if is_named { HostState::Ready } else { HostState::Gone };
            entries.extend(Some(entry.clone()).filter(|_| is_named));
        }
        self.report(Event::HostList { kind, entries });
    }

    /// Changes a plan: to a lower quota, a higher one, or other limits.
    fn change_plan(&mut self, change: usize) {
        let plans = &mut self.deployment.settings.plans;
        let at = change % plans.len();
        let plan = &mut plans[at];
        match change / 8 % 5 {
            0 => plan.rate *= 0.5,
            1 => plan.burst = (0.5 * plan.burst).max(0.5),
            2 => plan.max_concurrent = 1,
            3 => plan.rate = 1_000.0,
            // Operators never configure this, but the module must handle it.
            _ => {
                plan.rate = 0.0;
                self.has_irregular_plans = true;
            }
        }
        self.has_irregular_plans |= change / 8 % 5 == 3;
        let plans = plans.clone();
        self.report(Event::PlansChanged(plans));
    }

    /// Reports an event that is duplicated, stale, or refers to an unknown request, host or key.
    fn report_stale(&mut self, kind: usize) {
        let id = RequestId(1 + kind as u64 % self.last_request.max(1));
        let host = HostId(1 + kind as u64 % 9);
        let is_known = self.tracked.contains_key(&id);
        match kind / 16 % 5 {
            0 if !is_known => self.report(Event::ClientDisconnected { id }),
            1 => {
                let key = CounterKey(kind as u64);
                self.report(Event::CounterReplied {
                    key,
                    outcome: Outcome::Ok,
                    total: 7.0,
                    elapsed: MILLISECOND,
                });
            }
            // The end of an attempt that has already ended, or that was never made.
            2 | 3 => self.report_stale_attempt(id, host),
            // The reply to a call that has already received one.
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

    fn report_stale_attempt(&mut self, id: RequestId, host: HostId) {
        let tracked = self.tracked.get(&id);
        let ended = |request: &TrackedRequest| {
            let index = request.attempts.iter().position(|attempt| attempt.outcome.is_some());
            index.map_or((request.attempts.len(), host), |index| (index, request.attempts[index].host))
        };
        let (attempt, host) = tracked.map_or((0, host), ended);
        let end = AttemptEnded {
            id,
            attempt: attempt as u32,
            host,
            outcome: Outcome::Ok,
            elapsed: MILLISECOND,
            is_request_closed: tracked.is_none_or(TrackedRequest::is_complete),
            quota_used: None,
            actual_units: Some(3.0),
            report: None,
        };
        self.report(Event::AttemptEnded(end));
    }
}
