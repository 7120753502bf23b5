//! Feeds sightings to the rules and figures, each to those that it concerns.

use crate::answers::{self, Answer, Answers};
use crate::breaches::{Log, Nth, Subject};
use crate::ceilings::Ceilings;
use crate::cold::Cold;
use crate::drains::Drains;
use crate::ears::Ears;
use crate::effects::{self, Attempts, Effects};
use crate::figures::{End, Figures};
use crate::fleet::{Call, Fleet, News};
use crate::gateways::Gateways;
use crate::quota::Quotas;
use crate::tries::Try;
use crate::worth::{Outcome, Worth};
use crate::{ClassFigures, Counts, PlanFigures, Rule, Verdict, Violation};
use cluster_model::observation::{ClientOutcome, HostOutcome, Observation, ObservationKind};
use cluster_model::requests::RequestSampler;
use cluster_model::scenario::{Site, Traffic};
use cluster_model::{Span, Time};
use std::collections::BTreeMap;

/// Customers that a verdict names: so many of those most beyond their quotas, and of those refused longest.
const MOST_CUSTOMERS: usize = 200;

/// Judges one run. It remembers a few words of each request, and more of those that are open.
#[derive(Debug)]
pub struct InvariantChecker {
    site: Site,
    /// Mean units of a request.
    mean_units: f64,
    /// The latest moment seen.
    now: Time,
    log: Log,
    ears: Ears,
    gateways: Gateways,
    answers: Answers,
    effects: Effects,
    drains: Drains,
    cold: Cold,
    ceilings: Ceilings,
    quotas: Quotas,
    worth: Worth,
    figures: Figures,
    fleet: Fleet,
    tries: BTreeMap<u64, Try>,
    /// Seen of requests that nobody has asked yet, or of attempts that no host has received yet.
    early: BTreeMap<u64, Vec<Observation>>,
}

impl InvariantChecker {
    /// For a site and its traffic; the first request is due at `start`, in nanoseconds on the clock of the
    /// sightings.
    pub fn new(site: &Site, traffic: &Traffic, start: Time) -> InvariantChecker {
        let longest = site.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        InvariantChecker {
            site: site.clone(),
            mean_units: RequestSampler::new(0, traffic).mean_units(),
            now: 0,
            log: Log::new(start),
            ears: Ears::default(),
            gateways: Gateways::new(site.gateways, longest),
            answers: Answers::new(site.rules.deadline_slack),
            effects: Effects::new(site),
            drains: Drains::new(site.rules.drain_grace),
            cold: Cold::new(site),
            ceilings: Ceilings::new(site, start),
            quotas: Quotas::new(site, start),
            worth: Worth::new(site, start),
            figures: Figures::new(start, site.classes.len(), site.plans.len(), site.gateways),
            fleet: Fleet::new(site, start),
            tries: BTreeMap::new(),
            early: BTreeMap::new(),
        }
    }

    /// Broken rules found so far, in the order in which they were found. Those that are broken by what does not
    /// come are found when the next sighting shows that its time is over.
    pub fn violations(&self) -> &[Violation] {
        self.log.found()
    }

    /// Takes in the next sighting. One that is older than the last is taken as it is, but moves no clock back.
    pub fn observe(&mut self, seen: &Observation) {
        self.now = self.now.max(seen.at);
        self.cold.advance(self.now, &mut self.log);
        self.judge_overdue();
        self.effects.judge_doubts(self.now, &self.gateways, &mut self.log);
        self.take(seen);
    }

    fn judge_overdue(&mut self) {
        while let Some((at, id)) = self.answers.next_due(self.now) {
            self.judge_lost(at, id);
        }
    }

    fn judge_lost(&mut self, at: Time, id: u64) {
        let Some(request) = self.tries.get_mut(&id) else { return };
        let overdue = matches!(request.answer, Answer::Owed(_));
        let blamed = answers::lost(at, request, &self.gateways, &mut self.log);
        if blamed && request.passed.is_none() {
            self.worth.held(request.thing);
        }
        // What was missed has ended for the client before.
        if overdue {
            self.worth.unserved(request.thing, Outcome::Failed);
            self.quotas.not_refused(request.customer);
            self.figures.ended(at, End::Failed);
        }
    }

    fn take(&mut self, seen: &Observation) {
        match &seen.kind {
            ObservationKind::RequestSent { .. } => self.asked(seen),
            ObservationKind::RequestEnded { .. } | ObservationKind::ClientDisconnected { .. } => {
                self.client_saw(seen)
            }
            ObservationKind::AttemptReceived { .. }
            | ObservationKind::AttemptEnded { .. }
            | ObservationKind::AttemptClosed { .. } => self.host_saw(seen),
            ObservationKind::UnexpectedResponse { gateway } => {
                answers::unasked(seen.at, *gateway, &mut self.log)
            }
            ObservationKind::GatewayUp { .. }
            | ObservationKind::GatewayDown { .. }
            | ObservationKind::GatewaySignalled { .. }
            | ObservationKind::ClientLinksCut { .. }
            | ObservationKind::GatewaySuspended { .. }
            | ObservationKind::DiscoveryLinkFault { .. }
            | ObservationKind::HostTrafficDelayed { .. } => self.gateway(seen.at, &seen.kind),
            ObservationKind::CounterCall {
                amount, answered, rejected: turned_away, duration: took, ..
            } => {
                self.figures.counted(seen.at);
                let call =
                    Call { amount: *amount, answered: *answered, turned_away: *turned_away, took: *took };
                self.fleet.counted(seen.at, call);
            }
            ObservationKind::HealthCheckReceived { .. } => self.fleet.probed(seen.at),
            ObservationKind::HostConnectionClosed { .. } => self.fleet.disconnected(),
            ObservationKind::DiscoveryRequest { watch, .. } => {
                self.fleet.news(seen.at, if *watch { News::Watch } else { News::List });
            }
            ObservationKind::DiscoveryMessage { .. } => self.fleet.news(seen.at, News::Line),
            ObservationKind::ScenarioEvent { text } => self.figures.event(seen.at, text),
            ObservationKind::HostConnectionOpened { .. }
            | ObservationKind::HostStarted { .. }
            | ObservationKind::HostSlowed { .. }
            | ObservationKind::HostOverloadCrash { .. }
            | ObservationKind::HostStopped { .. }
            | ObservationKind::AgentNotified { .. }
            | ObservationKind::GatewayNotified { .. }
            | ObservationKind::HostLoad { .. } => self.host(seen.at, &seen.kind),
        }
    }

    fn gateway(&mut self, at: Time, what: &ObservationKind) {
        match *what {
            ObservationKind::GatewayUp { gateway } => self.gateways.up(at, gateway),
            ObservationKind::GatewaySignalled { gateway, kill } => self.gateways.signalled(at, gateway, kill),
            ObservationKind::ClientLinksCut { gateway, cut } => return self.gateways.cut(at, gateway, cut),
            ObservationKind::GatewaySuspended { gateway, suspended: stopped } => {
                self.gateways.stopped(at, gateway, stopped);
                return self.ears.stopped(at, gateway, stopped);
            }
            ObservationKind::DiscoveryLinkFault { gateway, active: cut } => {
                return self.ears.news_cut(at, gateway, cut)
            }
            ObservationKind::HostTrafficDelayed {
                gateway,
                host,
                delayed: late,
                send_time_unknown: blind,
            } => {
                return self.ears.calls_late(at, (gateway, host), late, blind);
            }
            ObservationKind::GatewayDown { gateway, expected: meant } => {
                self.gateways.down(at, gateway);
                if !meant {
                    self.log.breach(at, Rule::NoCrash, Subject::Gateway(gateway), || {
                        format!("gateway {} ended without being told to", Nth(gateway))
                    });
                }
            }
            _ => return,
        }
        self.figures.gateways_up(at, self.gateways.running());
    }

    fn host(&mut self, at: Time, what: &ObservationKind) {
        match *what {
            ObservationKind::HostConnectionOpened { host, .. } => {
                self.figures.connected(host);
                self.fleet.connected(at);
            }
            ObservationKind::HostStarted {
                host,
                full_capacity: full,
                initial_share: share,
                warm_up: cold,
            } => {
                self.cold.started(at, host, full, (share, cold), &mut self.log);
                self.figures.started(host);
            }
            ObservationKind::HostSlowed { host, factor: times } => self.cold.slowed(at, host, times),
            ObservationKind::HostOverloadCrash { host } => {
                self.cold.fell(at, host);
                self.figures.fell(host);
            }
            ObservationKind::AgentNotified { gateway, host, state, started } => {
                self.drains.heard(at, gateway, host, state);
                self.cold.heard(at, gateway, host, started);
            }
            ObservationKind::GatewayNotified { gateway, host, state, started } => {
                self.drains.told(at, gateway, host, state);
                self.cold.told(at, gateway, host, started);
            }
            ObservationKind::HostLoad { host, utilization: busy, .. } => self.figures.load(at, host, busy),
            _ => {}
        }
    }

    fn asked(&mut self, seen: &Observation) {
        let ObservationKind::RequestSent {
            request: id,
            first_request: first_try,
            gateway,
            customer,
            class,
            plan,
            units,
            timeout: patience,
        } = seen.kind
        else {
            return;
        };
        let (class, plan) = (class as usize, plan as usize);
        if class >= self.site.classes.len() || plan >= self.site.plans.len() {
            self.log.note(|| format!("request {id:016x} is of no class or plan of the site"));
            return;
        }
        if self.tries.contains_key(&id) {
            self.asked_once_more(seen.at, id, gateway, patience);
            return;
        }
        let mut request = Try {
            id,
            thing: 0,
            gateway,
            customer,
            class,
            plan,
            units,
            asked: seen.at,
            patience,
            former: None,
            answer: Answer::Unowed,
            attempts: Attempts::default(),
            passed: None,
        };
        let running = self.gateways.is_running(gateway);
        self.figures.asked(seen.at, running);
        self.fleet.asked(seen.at);
        self.answers.asked(&mut request, running);
        request.thing = self.thing(&request, first_try);
        self.tries.insert(id, request);
        self.replay(id);
    }

    /// The thing that this is a try of.
    fn thing(&mut self, request: &Try, first_try: u64) -> usize {
        let known = self.tries.get(&first_try).map(|first| first.thing);
        let work = self.site.classes[request.class].work as f64 * request.units / self.mean_units;
        let lasts = (work / self.site.host.speed.max(f64::MIN_POSITIVE)) as Span;
        let let_in = self.quotas.asked(request, known.is_none(), lasts);
        match known {
            Some(thing) => {
                self.worth.asked_again(thing);
                thing
            }
            None => self.worth.asked(request.asked, request.class, request.plan, request.units, let_in),
        }
    }

    /// A gateway closed the connection as the request came, unread: the client has written it again.
    fn asked_once_more(&mut self, now: Time, id: u64, gateway: u32, patience: Span) {
        let running = self.gateways.is_running(gateway);
        let Some(request) = self.tries.get_mut(&id) else { return };
        if let Answer::Given(_) | Answer::Left = request.answer {
            self.log.note(|| format!("request {id:016x} was asked again after its end"));
            return;
        }
        request.former = Some((request.gateway, request.asked));
        request.gateway = gateway;
        request.asked = now;
        request.patience = patience;
        self.answers.asked(request, running);
    }

    /// What was seen before its time may be taken now.
    fn replay(&mut self, id: u64) {
        for seen in self.early.remove(&id).unwrap_or_default() {
            self.take(&seen);
        }
    }

    fn client_saw(&mut self, seen: &Observation) {
        let (ObservationKind::RequestEnded { request: id, .. }
        | ObservationKind::ClientDisconnected { request: id }) = seen.kind
        else {
            return;
        };
        let Some(request) = self.tries.get_mut(&id) else {
            self.early.entry(id).or_default().push(seen.clone());
            return;
        };
        match seen.kind {
            ObservationKind::RequestEnded { outcome: got, .. } => self.answered(seen.at, id, got),
            _ => {
                if let Answer::Owed(_) | Answer::Unowed = request.answer {
                    self.worth.unserved(request.thing, Outcome::Left);
                    self.quotas.not_refused(request.customer);
                }
                self.answers.left(request);
            }
        }
    }

    fn answered(&mut self, now: Time, id: u64, got: ClientOutcome) {
        let Some(request) = self.tries.get_mut(&id) else { return };
        let open = matches!(request.answer, Answer::Owed(_) | Answer::Unowed);
        let settled = request.answer == Answer::Settled;
        let owed = request.answer != Answer::Unowed;
        self.answers.answered(now, request, got, &mut self.log);
        if let ClientOutcome::Rejected(_) = got {
            self.effects.refused(now, request, &mut self.log);
        }
        if open {
            self.end(now, id, got, owed);
        } else if settled && got == ClientOutcome::Served(true) {
            // Given up for lost, it has ended for the figures already; it may still be worth something.
            let inside = request.passed.is_none_or(|sent| sent.inside);
            self.worth.served(request.thing, now, inside);
            self.figures.latency(request.class, now.saturating_sub(request.asked));
        }
    }

    /// A try has ended for its client. `owed`: a gateway ran that had taken it.
    fn end(&mut self, now: Time, id: u64, got: ClientOutcome, owed: bool) {
        let Some(request) = self.tries.get(&id) else { return };
        let latency = now.saturating_sub(request.asked);
        let inside = request.passed.is_none_or(|sent| sent.inside);
        let held = owed && request.passed.is_none() && latency > request.patience / 2;
        let end = match got {
            ClientOutcome::Served(true) => {
                self.figures.latency(request.class, latency);
                if self.worth.served(request.thing, now, inside) {
                    End::Served
                } else {
                    End::Late
                }
            }
            ClientOutcome::Rejected(_) => {
                self.worth.unserved(request.thing, Outcome::Refused);
                End::Refused
            }
            ClientOutcome::Served(false)
            | ClientOutcome::Failed
            | ClientOutcome::ConnectionClosed
            | ClientOutcome::NoResponse => {
                self.worth.unserved(request.thing, Outcome::Failed);
                End::Failed
            }
        };
        if held && matches!(got, ClientOutcome::Rejected(_) | ClientOutcome::Failed) {
            self.worth.held(request.thing);
        }
        match end {
            End::Refused => self.quotas.refused(now, request),
            _ => self.quotas.not_refused(request.customer),
        }
        self.figures.ended(now, end);
    }

    fn host_saw(&mut self, seen: &Observation) {
        let (ObservationKind::AttemptReceived { request: id, .. }
        | ObservationKind::AttemptEnded { request: id, .. }
        | ObservationKind::AttemptClosed { request: id, .. }) = seen.kind
        else {
            return;
        };
        let known = self.tries.contains_key(&id)
            && match seen.kind {
                ObservationKind::AttemptReceived {
                    host, gateway, first_byte, expected_work: work, ..
                } => {
                    self.received(seen.at, id, (host, gateway), first_byte, work);
                    true
                }
                ObservationKind::AttemptEnded { host, gateway, outcome: dealt, units, .. } => {
                    self.ended(seen.at, id, (host, gateway), dealt, units)
                }
                ObservationKind::AttemptClosed { host, gateway, .. } => self.out(seen.at, id, host, gateway),
                _ => true,
            };
        if !known {
            self.early.entry(id).or_default().push(seen.clone());
        }
    }

    fn received(&mut self, now: Time, id: u64, (host, gateway): (u32, u32), first_byte: Time, work: Span) {
        let first_byte = self.ears.sent(gateway, host, first_byte);
        let Some(request) = self.tries.get_mut(&id) else { return };
        self.answers.sent(request, first_byte, host, &mut self.log);
        let up = self.gateways.up_since(gateway);
        let told = |since| self.ears.told(gateway, since);
        self.drains.received(id, (gateway, up), host, first_byte, &told, &mut self.log);
        self.cold.received(now, host, (gateway, up), first_byte, work, &told);
        self.figures.received(host);
        self.worth.received(request.thing);
        if self.effects.received(now, request, (host, gateway), first_byte, &mut self.log) {
            self.ceilings.sent(now, request.customer, request.plan, request.units, &mut self.log);
            self.fleet.first_attempt(request.asked, first_byte);
            let sent = self.quotas.sent(now, request);
            if !sent.inside {
                self.worth.sent_beyond(request.thing);
            }
            self.figures.passed(now, request.plan, request.units);
        }
        self.quotas.out(request.customer);
        self.replay(id);
    }

    fn ended(
        &mut self,
        now: Time,
        id: u64,
        (host, gateway): (u32, u32),
        dealt: HostOutcome,
        units: Option<f64>,
    ) -> bool {
        let Some(request) = self.tries.get_mut(&id) else { return false };
        if !effects::ended(request, host, gateway, dealt) {
            return false;
        }
        self.figures.dealt(host, dealt);
        self.worth.dealt(request.thing, dealt);
        if let (HostOutcome::Served, Some(units)) = (dealt, units) {
            if let Some((more, let_in)) = self.worth.settle(request.thing, units) {
                self.quotas.settle_thing(now, request.customer, more, let_in);
            }
            let settled = self.quotas.settle(now, request, units);
            if let (Some(more), Some(sent)) = (settled, request.passed) {
                self.figures.passed(sent.at, request.plan, more);
            }
        }
        true
    }

    fn out(&mut self, now: Time, id: u64, host: u32, gateway: u32) -> bool {
        let Some(request) = self.tries.get_mut(&id) else { return false };
        let known = effects::out(now, request, (host, gateway), &self.ears, &mut self.log);
        if known {
            self.quotas.back(request.customer);
        }
        known
    }

    /// The run is over: what was due by `end` and is not there never came.
    pub fn finish(mut self, end: Time) -> Verdict {
        self.now = self.now.max(end);
        for (at, id) in self.answers.rest() {
            let missed =
                self.tries.get(&id).is_some_and(|request| matches!(request.answer, Answer::Missed(_)));
            if missed || at <= end {
                self.judge_lost(at, id);
            }
        }
        self.effects.judge_doubts(Time::MAX, &self.gateways, &mut self.log);
        self.tries.values().for_each(|request| effects::finish(end, request, &self.ears, &mut self.log));
        self.cold.finish(&mut self.log);
        self.note_unmatched();
        self.verdict(end)
    }

    fn note_unmatched(&mut self) {
        for (id, seen) in &self.early {
            let asked = if self.tries.contains_key(id) { "received" } else { "asked" };
            let (first, count) = (seen.first().map(|seen| &seen.kind), seen.len());
            self.log.note(|| {
                format!("request {id:016x} was never {asked} as {count} sightings say, the first of them {first:?}")
            });
        }
    }

    fn verdict(mut self, end: Time) -> Verdict {
        let (counts, classes, plans) = self.worth.counts();
        let shares = self.worth.shares();
        let rates: Vec<f64> = self.site.plans.iter().map(|plan| plan.rate).collect();
        let mut verdict = Verdict {
            counts,
            share_served: if counts.asked == 0 { 1.0 } else { counts.served as f64 / counts.asked as f64 },
            weighted_share: shares.whole,
            weighted_share_worst_10s: shares.worst_10s,
            weighted_share_worst_plan: shares.worst_plan,
            weighted_score: shares.figure,
            causes: self.worth.causes(),
            classes: self.classes(classes),
            plans: self.plans(plans, &shares.plans),
            fleet: self.fleet.finish(self.quotas.units(), self.quotas.tries()),
            hosts: self.figures.hosts(),
            attempts_per_request: self.figures.attempts_per_request(),
            counter_calls_per_request: self.figures.counter_calls_per_request(),
            events: self.figures.take_events(),
            timeline: self.figures.timeline(end, self.quotas.newcomers(), &rates),
            customers: self.quotas.customers(end, MOST_CUSTOMERS),
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
            .map(|(((spec, counts), used), share)| PlanFigures {
                name: spec.name.clone(),
                counts,
                customers: used.customers,
                asked_units: used.asked_units,
                passed_units: used.passed_units,
                beyond_units: used.beyond_units,
                weighted_quota_share: *share,
                rejected_with_quota: used.rejected_with_quota,
            })
            .collect()
    }
}
