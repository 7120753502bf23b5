//! Dispatches observations to the rules and statistics that they concern.

use crate::ceilings::Ceilings;
use crate::drain_grace::DrainGrace;
use crate::duplicate_execution::{self, Attempts, DuplicateExecution};
use crate::figures::{Figures, RequestEnd};
use crate::fleet::{CounterCall, DiscoveryTraffic, Fleet};
use crate::gateways::Gateways;
use crate::observability::ObservabilityGaps;
use crate::quota::Quotas;
use crate::request::Request;
use crate::responses::{self, ResponseState, Responses};
use crate::slow_start::SlowStart;
use crate::violations::{OneBased, Subject, ViolationLog};
use crate::weight::{OperationWeights, Outcome};
use crate::{ClassFigures, Counts, PlanFigures, Rule, Verdict, Violation};
use cluster_model::observation::{ClientOutcome, HostOutcome, Observation, ObservationKind};
use cluster_model::requests::RequestSampler;
use cluster_model::scenario::{Site, Traffic};
use cluster_model::{Span, Time};
use std::collections::BTreeMap;

/// Customers listed in a verdict: this many of those furthest beyond their quotas, and this many of those rejected
/// longest.
const MAX_CUSTOMERS: usize = 200;

/// Checks one run. It keeps a small record of every request, and a larger one of each open request.
#[derive(Debug)]
pub struct InvariantChecker {
    site: Site,
    /// Mean units of a request.
    mean_units: f64,
    /// Time of the latest observation.
    now: Time,
    log: ViolationLog,
    gaps: ObservabilityGaps,
    gateways: Gateways,
    responses: Responses,
    duplicate_execution: DuplicateExecution,
    drain_grace: DrainGrace,
    slow_start: SlowStart,
    ceilings: Ceilings,
    quotas: Quotas,
    weights: OperationWeights,
    figures: Figures,
    fleet: Fleet,
    requests: BTreeMap<u64, Request>,
    /// Observations of requests that no client has sent yet, or of attempts that no host has received yet.
    early: BTreeMap<u64, Vec<Observation>>,
}

impl InvariantChecker {
    /// Creates the checker for a site and its traffic. The first request is scheduled at `start`, in nanoseconds on the
    /// clock of the observations.
    pub fn new(site: &Site, traffic: &Traffic, start: Time) -> InvariantChecker {
        let max_deadline = site.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        InvariantChecker {
            site: site.clone(),
            mean_units: RequestSampler::new(0, traffic).mean_units(),
            now: 0,
            log: ViolationLog::new(start),
            gaps: ObservabilityGaps::default(),
            gateways: Gateways::new(site.gateways, max_deadline),
            responses: Responses::new(site.rules.deadline_slack),
            duplicate_execution: DuplicateExecution::new(site),
            drain_grace: DrainGrace::new(site.rules.drain_grace),
            slow_start: SlowStart::new(site),
            ceilings: Ceilings::new(site, start),
            quotas: Quotas::new(site, start),
            weights: OperationWeights::new(site, start),
            figures: Figures::new(start, site.classes.len(), site.plans.len(), site.gateways),
            fleet: Fleet::new(site, start),
            requests: BTreeMap::new(),
            early: BTreeMap::new(),
        }
    }

    /// Returns the violations found so far, in the order in which they were found. A violation by a missing event is
    /// found when the next observation shows that its deadline has expired.
    pub fn violations(&self) -> &[Violation] {
        self.log.violations()
    }

    /// Handles the next observation. An observation older than the last one is accepted, but does not move the clock
    /// back.
    pub fn observe(&mut self, observation: &Observation) {
        self.now = self.now.max(observation.at);
        self.slow_start.advance(self.now, &mut self.log);
        self.check_expired();
        self.duplicate_execution.check_pending(self.now, &self.gateways, &mut self.log);
        self.dispatch(observation);
    }

    fn check_expired(&mut self) {
        while let Some((at, id)) = self.responses.next_expired(self.now) {
            self.check_lost(at, id);
        }
    }

    fn check_lost(&mut self, at: Time, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let expired = matches!(request.response, ResponseState::Expected(_));
        let at_fault = responses::check_lost(at, request, &self.gateways, &mut self.log);
        if at_fault && request.forwarding.is_none() {
            self.weights.held(request.operation);
        }
        // A request with a missing response ended for its client before.
        if expired {
            self.weights.unserved(request.operation, Outcome::Failed);
            self.quotas.request_not_rejected(request.customer);
            self.figures.request_ended(at, RequestEnd::Failed);
        }
    }

    fn dispatch(&mut self, observation: &Observation) {
        match &observation.kind {
            ObservationKind::RequestSent { .. } => self.request_sent(observation),
            ObservationKind::RequestEnded { .. } | ObservationKind::ClientDisconnected { .. } => {
                self.client_observation(observation)
            }
            ObservationKind::AttemptReceived { .. }
            | ObservationKind::AttemptEnded { .. }
            | ObservationKind::AttemptClosed { .. } => self.host_observation(observation),
            ObservationKind::UnexpectedResponse { gateway } => {
                responses::unexpected_response(observation.at, *gateway, &mut self.log)
            }
            ObservationKind::GatewayUp { .. }
            | ObservationKind::GatewayDown { .. }
            | ObservationKind::GatewaySignalled { .. }
            | ObservationKind::ClientLinksCut { .. }
            | ObservationKind::GatewaySuspended { .. }
            | ObservationKind::DiscoveryLinkFault { .. }
            | ObservationKind::HostTrafficDelayed { .. } => {
                self.gateway_observation(observation.at, &observation.kind)
            }
            ObservationKind::CounterCall { amount, answered, rejected, duration, .. } => {
                self.figures.counter_call(observation.at);
                let call = CounterCall {
                    amount: *amount,
                    answered: *answered,
                    rejected: *rejected,
                    duration: *duration,
                };
                self.fleet.counter_call(observation.at, call);
            }
            ObservationKind::HealthCheckReceived { .. } => self.fleet.health_check(observation.at),
            ObservationKind::HostConnectionClosed { .. } => self.fleet.connection_closed(),
            ObservationKind::DiscoveryRequest { watch, .. } => {
                self.fleet.discovery_traffic(
                    observation.at,
                    if *watch { DiscoveryTraffic::Watch } else { DiscoveryTraffic::List },
                );
            }
            ObservationKind::DiscoveryMessage { .. } => {
                self.fleet.discovery_traffic(observation.at, DiscoveryTraffic::Message)
            }
            ObservationKind::ScenarioEvent { text } => self.figures.event(observation.at, text),
            ObservationKind::HostConnectionOpened { .. }
            | ObservationKind::HostStarted { .. }
            | ObservationKind::HostSlowed { .. }
            | ObservationKind::HostOverloadCrash { .. }
            | ObservationKind::HostStopped { .. }
            | ObservationKind::AgentNotified { .. }
            | ObservationKind::GatewayNotified { .. }
            | ObservationKind::HostLoad { .. } => self.host_event(observation.at, &observation.kind),
        }
    }

    fn gateway_observation(&mut self, at: Time, kind: &ObservationKind) {
        match *kind {
            ObservationKind::GatewayUp { gateway } => self.gateways.up(at, gateway),
            ObservationKind::GatewaySignalled { gateway, kill } => self.gateways.signalled(at, gateway, kill),
            ObservationKind::ClientLinksCut { gateway, cut } => {
                return self.gateways.client_links_cut(at, gateway, cut)
            }
            ObservationKind::GatewaySuspended { gateway, suspended } => {
                self.gateways.suspended(at, gateway, suspended);
                return self.gaps.gateway_suspended(at, gateway, suspended);
            }
            ObservationKind::DiscoveryLinkFault { gateway, active } => {
                return self.gaps.discovery_link_fault(at, gateway, active)
            }
            ObservationKind::HostTrafficDelayed { gateway, host, delayed, send_time_unknown } => {
                return self.gaps.host_traffic_delayed(at, (gateway, host), delayed, send_time_unknown);
            }
            ObservationKind::GatewayDown { gateway, expected } => {
                self.gateways.down(at, gateway);
                if !expected {
                    self.log.violation(at, Rule::NoCrash, Subject::Gateway(gateway), || {
                        format!("gateway {} exited unexpectedly", OneBased(gateway))
                    });
                }
            }
            _ => return,
        }
        self.figures.set_running_gateways(at, self.gateways.running_count());
    }

    fn host_event(&mut self, at: Time, kind: &ObservationKind) {
        match *kind {
            ObservationKind::HostConnectionOpened { host, .. } => {
                self.figures.connection_opened(host);
                self.fleet.connection_opened(at);
            }
            ObservationKind::HostStarted { host, full_capacity, initial_share, warm_up } => {
                self.slow_start.host_started(
                    at,
                    host,
                    full_capacity,
                    (initial_share, warm_up),
                    &mut self.log,
                );
                self.figures.host_started(host);
            }
            ObservationKind::HostSlowed { host, factor } => self.slow_start.host_slowed(at, host, factor),
            ObservationKind::HostOverloadCrash { host } => {
                self.slow_start.host_crashed(at, host);
                self.figures.host_crashed(host);
            }
            ObservationKind::AgentNotified { gateway, host, state, started } => {
                self.drain_grace.agent_notified(at, gateway, host, state);
                self.slow_start.agent_notified(at, gateway, host, started);
            }
            ObservationKind::GatewayNotified { gateway, host, state, started } => {
                self.drain_grace.gateway_notified(at, gateway, host, state);
                self.slow_start.gateway_notified(at, gateway, host, started);
            }
            ObservationKind::HostLoad { host, utilization, .. } => {
                self.figures.host_load(at, host, utilization)
            }
            _ => {}
        }
    }

    fn request_sent(&mut self, observation: &Observation) {
        let ObservationKind::RequestSent {
            request: id,
            first_request,
            gateway,
            customer,
            class,
            plan,
            units,
            timeout,
        } = observation.kind
        else {
            return;
        };
        let (class, plan) = (class as usize, plan as usize);
        if class >= self.site.classes.len() || plan >= self.site.plans.len() {
            self.log.note(|| format!("request {id:016x} names a class or plan that the site does not have"));
            return;
        }
        if self.requests.contains_key(&id) {
            self.request_rewritten(observation.at, id, gateway, timeout);
            return;
        }
        let mut request = Request {
            id,
            operation: 0,
            gateway,
            customer,
            class,
            plan,
            units,
            sent_at: observation.at,
            timeout,
            previous_gateway: None,
            response: ResponseState::NotExpected,
            attempts: Attempts::default(),
            forwarding: None,
        };
        let running = self.gateways.is_running(gateway);
        self.figures.request_sent(observation.at, running);
        self.fleet.request_sent(observation.at);
        self.responses.request_sent(&mut request, running);
        request.operation = self.operation_index(&request, first_request);
        self.requests.insert(id, request);
        self.replay(id);
    }

    /// Returns the index of the operation that the request belongs to.
    fn operation_index(&mut self, request: &Request, first_request: u64) -> usize {
        let known = self.requests.get(&first_request).map(|first| first.operation);
        let work = self.site.classes[request.class].work as f64 * request.units / self.mean_units;
        let duration = (work / self.site.host.speed.max(f64::MIN_POSITIVE)) as Span;
        let admitted = self.quotas.request_sent(request, known.is_none(), duration);
        match known {
            Some(operation) => {
                self.weights.retried(operation);
                operation
            }
            None => self.weights.start_operation(
                request.sent_at,
                request.class,
                request.plan,
                request.units,
                admitted,
            ),
        }
    }

    /// Handles a request that the client has written again, because a gateway closed the connection without reading it.
    fn request_rewritten(&mut self, now: Time, id: u64, gateway: u32, timeout: Span) {
        let running = self.gateways.is_running(gateway);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let ResponseState::Received(_) | ResponseState::ClientLeft = request.response {
            self.log.note(|| format!("request {id:016x} was sent again after it had ended"));
            return;
        }
        request.previous_gateway = Some((request.gateway, request.sent_at));
        request.gateway = gateway;
        request.sent_at = now;
        request.timeout = timeout;
        self.responses.request_sent(request, running);
    }

    /// Handles the observations that waited for this request or attempt.
    fn replay(&mut self, id: u64) {
        for observation in self.early.remove(&id).unwrap_or_default() {
            self.dispatch(&observation);
        }
    }

    fn client_observation(&mut self, observation: &Observation) {
        let (ObservationKind::RequestEnded { request: id, .. }
        | ObservationKind::ClientDisconnected { request: id }) = observation.kind
        else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            self.early.entry(id).or_default().push(observation.clone());
            return;
        };
        match observation.kind {
            ObservationKind::RequestEnded { outcome, .. } => self.request_ended(observation.at, id, outcome),
            _ => {
                if let ResponseState::Expected(_) | ResponseState::NotExpected = request.response {
                    self.weights.unserved(request.operation, Outcome::ClientLeft);
                    self.quotas.request_not_rejected(request.customer);
                }
                self.responses.client_disconnected(request);
            }
        }
    }

    fn request_ended(&mut self, now: Time, id: u64, outcome: ClientOutcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let open = matches!(request.response, ResponseState::Expected(_) | ResponseState::NotExpected);
        let settled = request.response == ResponseState::Settled;
        let was_running = request.response != ResponseState::NotExpected;
        self.responses.request_ended(now, request, outcome, &mut self.log);
        if let ClientOutcome::Rejected(_) = outcome {
            self.duplicate_execution.request_rejected(now, request, &mut self.log);
        }
        if open {
            self.end_request(now, id, outcome, was_running);
        } else if settled && outcome == ClientOutcome::Served(true) {
            // The request counted as lost and has ended in the statistics already, but may still earn weight.
            let inside = request.forwarding.is_none_or(|forwarded| forwarded.inside);
            self.weights.served(request.operation, now, inside);
            self.figures.record_latency(request.class, now.saturating_sub(request.sent_at));
        }
    }

    /// Handles the end of a request at its client. `was_running` tells whether a running gateway had accepted it.
    fn end_request(&mut self, now: Time, id: u64, outcome: ClientOutcome, was_running: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        let latency = now.saturating_sub(request.sent_at);
        let inside = request.forwarding.is_none_or(|forwarded| forwarded.inside);
        let held = was_running && request.forwarding.is_none() && latency > request.timeout / 2;
        let end = match outcome {
            ClientOutcome::Served(true) => {
                self.figures.record_latency(request.class, latency);
                if self.weights.served(request.operation, now, inside) {
                    RequestEnd::Served
                } else {
                    RequestEnd::Late
                }
            }
            ClientOutcome::Rejected(_) => {
                self.weights.unserved(request.operation, Outcome::Rejected);
                RequestEnd::Rejected
            }
            ClientOutcome::Served(false)
            | ClientOutcome::Failed
            | ClientOutcome::ConnectionClosed
            | ClientOutcome::NoResponse => {
                self.weights.unserved(request.operation, Outcome::Failed);
                RequestEnd::Failed
            }
        };
        if held && matches!(outcome, ClientOutcome::Rejected(_) | ClientOutcome::Failed) {
            self.weights.held(request.operation);
        }
        match end {
            RequestEnd::Rejected => self.quotas.request_rejected(now, request),
            _ => self.quotas.request_not_rejected(request.customer),
        }
        self.figures.request_ended(now, end);
    }

    fn host_observation(&mut self, observation: &Observation) {
        let (ObservationKind::AttemptReceived { request: id, .. }
        | ObservationKind::AttemptEnded { request: id, .. }
        | ObservationKind::AttemptClosed { request: id, .. }) = observation.kind
        else {
            return;
        };
        let known = self.requests.contains_key(&id)
            && match observation.kind {
                ObservationKind::AttemptReceived { host, gateway, first_byte, expected_work, .. } => {
                    self.attempt_received(observation.at, id, (host, gateway), first_byte, expected_work);
                    true
                }
                ObservationKind::AttemptEnded { host, gateway, outcome, units, .. } => {
                    self.attempt_ended(observation.at, id, (host, gateway), outcome, units)
                }
                ObservationKind::AttemptClosed { host, gateway, .. } => {
                    self.attempt_closed(observation.at, id, host, gateway)
                }
                _ => true,
            };
        if !known {
            self.early.entry(id).or_default().push(observation.clone());
        }
    }

    fn attempt_received(
        &mut self,
        now: Time,
        id: u64,
        (host, gateway): (u32, u32),
        first_byte: Time,
        work: Span,
    ) {
        let first_byte = self.gaps.earliest_send(gateway, host, first_byte);
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.responses.attempt_sent(request, first_byte, host, &mut self.log);
        let up = self.gateways.up_since(gateway);
        let after_gaps = |since| self.gaps.notified_at(gateway, since);
        self.drain_grace.attempt_received(id, (gateway, up), host, first_byte, &after_gaps, &mut self.log);
        self.slow_start.attempt_received(now, host, (gateway, up), first_byte, work, &after_gaps);
        self.figures.attempt_received(host);
        self.weights.attempt_received(request.operation);
        if self.duplicate_execution.attempt_received(now, request, (host, gateway), first_byte, &mut self.log)
        {
            self.ceilings.request_forwarded(
                now,
                request.customer,
                request.plan,
                request.units,
                &mut self.log,
            );
            self.fleet.first_attempt(request.sent_at, first_byte);
            let forwarded = self.quotas.request_forwarded(now, request);
            if !forwarded.inside {
                self.weights.forwarded_beyond_quota(request.operation);
            }
            self.figures.units_forwarded(now, request.plan, request.units);
        }
        self.quotas.attempt_started(request.customer);
        self.replay(id);
    }

    fn attempt_ended(
        &mut self,
        now: Time,
        id: u64,
        (host, gateway): (u32, u32),
        outcome: HostOutcome,
        units: Option<f64>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if !duplicate_execution::attempt_ended(request, host, gateway, outcome) {
            return false;
        }
        self.figures.attempt_ended(host, outcome);
        self.weights.attempt_ended(request.operation, outcome);
        if let (HostOutcome::Served, Some(units)) = (outcome, units) {
            if let Some((more, admitted)) = self.weights.settle(request.operation, units) {
                self.quotas.settle_operation(now, request.customer, more, admitted);
            }
            let settled = self.quotas.settle_request(now, request, units);
            if let (Some(more), Some(forwarded)) = (settled, request.forwarding) {
                self.figures.units_forwarded(forwarded.at, request.plan, more);
            }
        }
        true
    }

    fn attempt_closed(&mut self, now: Time, id: u64, host: u32, gateway: u32) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let known =
            duplicate_execution::attempt_closed(now, request, (host, gateway), &self.gaps, &mut self.log);
        if known {
            self.quotas.attempt_closed(request.customer);
        }
        known
    }

    /// Finishes the check at the end of the run: events that were due by `end` and were not observed count as missing.
    pub fn finish(mut self, end: Time) -> Verdict {
        self.now = self.now.max(end);
        for (at, id) in self.responses.take_remaining() {
            let missing = self
                .requests
                .get(&id)
                .is_some_and(|request| matches!(request.response, ResponseState::Missing(_)));
            if missing || at <= end {
                self.check_lost(at, id);
            }
        }
        self.duplicate_execution.check_pending(Time::MAX, &self.gateways, &mut self.log);
        self.requests
            .values()
            .for_each(|request| duplicate_execution::finish(end, request, &self.gaps, &mut self.log));
        self.slow_start.finish(&mut self.log);
        self.note_unmatched();
        self.verdict(end)
    }

    fn note_unmatched(&mut self) {
        for (id, observations) in &self.early {
            let missing = if self.requests.contains_key(id) { "received" } else { "sent" };
            let (first, count) = (observations.first().map(|first| &first.kind), observations.len());
            self.log.note(|| {
                format!("request {id:016x} was never {missing} although {count} observations refer to it, the first being {first:?}")
            });
        }
    }

    fn verdict(mut self, end: Time) -> Verdict {
        let (counts, classes, plans) = self.weights.counts();
        let shares = self.weights.shares();
        let rates: Vec<f64> = self.site.plans.iter().map(|plan| plan.rate).collect();
        let mut verdict = Verdict {
            counts,
            share_served: if counts.asked == 0 { 1.0 } else { counts.served as f64 / counts.asked as f64 },
            weighted_share: shares.total,
            weighted_share_worst_10s: shares.worst_10s,
            weighted_share_worst_plan: shares.worst_plan,
            weighted_score: shares.score,
            causes: self.weights.causes(),
            classes: self.classes(classes),
            plans: self.plans(plans, &shares.plans),
            fleet: self.fleet.finish(self.quotas.units(), self.quotas.requests()),
            hosts: self.figures.hosts(),
            attempts_per_request: self.figures.attempts_per_request(),
            counter_calls_per_request: self.figures.counter_calls_per_request(),
            events: self.figures.take_events(),
            timeline: self.figures.timeline(end, self.quotas.first_seen(), &rates),
            customers: self.quotas.customers(end, MAX_CUSTOMERS),
            ..Verdict::default()
        };
        (verdict.violations, verdict.notes) = self.log.finish();
        verdict
    }

    fn classes(&mut self, counts: Vec<Counts>) -> Vec<ClassFigures> {
        let classes = self.site.classes.iter().zip(counts).zip(self.figures.latencies());
        classes
            .map(|((spec, counts), latency)| ClassFigures { name: spec.name.clone(), counts, latency })
            .collect()
    }

    fn plans(&self, counts: Vec<Counts>, shares: &[f64]) -> Vec<PlanFigures> {
        let plans = self.site.plans.iter().zip(counts).zip(self.quotas.plans()).zip(shares);
        plans
            .map(|(((spec, counts), usage), share)| PlanFigures {
                name: spec.name.clone(),
                counts,
                customers: usage.customers,
                asked_units: usage.requested_units,
                passed_units: usage.forwarded_units,
                beyond_units: usage.beyond_units,
                weighted_quota_share: *share,
                rejected_with_quota: usage.rejected_with_quota,
            })
            .collect()
    }
}
