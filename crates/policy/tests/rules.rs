//! The invariants of attempts and final answers under random legal events, with a fixed seed.
mod common;
use common::*;
use policy::api::*;
use policy::policy::Policy;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, customer: u64, units: u8, remaining: u16 },
    EndAttempt { pick: usize, outcome: u8 },
    CounterReply { pick: usize },
    Disconnect { pick: usize },
    ChangeHost { id: u64, state: u8, is_restarted: bool },
    Advance { ms: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4usize, 0..4u64, 0..9u8, 1..4000u16).prop_map(|(class, customer, units, remaining)| {
            Step::Request { class, customer, units, remaining }
        }),
        4 => (any::<usize>(), 0..7u8).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        4 => any::<usize>().prop_map(|pick| Step::CounterReply { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        1 => (1..7u64, 0..3u8, any::<bool>())
            .prop_map(|(id, state, is_restarted)| Step::ChangeHost { id, state, is_restarted }),
        3 => (1..300u16).prop_map(|ms| Step::Advance { ms }),
    ]
}

#[derive(Default)]
struct TrackedRequest {
    class: usize,
    deadline: Time,
    final_answers: u32,
    has_disconnected: bool,
    /// Host, time of forwarding, time of the timeout, and the outcome once the attempt has ended.
    attempts: Vec<(HostId, Time, Time, Option<Outcome>)>,
}

struct TestSite {
    settings: Settings,
    policy: Policy,
    now: Time,
    requests: BTreeMap<RequestId, TrackedRequest>,
    hosts: BTreeMap<HostId, HostEntry>,
    calls: Vec<(CounterKey, f64)>,
    totals: BTreeMap<CounterKey, f64>,
    timers: Vec<Time>,
}

fn was_not_executed(outcome: Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
}

impl TestSite {
    fn new(may_hedge: bool, has_counter: bool) -> Self {
        let class_with_key = |scope| class(3.0, Idempotency::WithKey(scope, 2_000 * MS));
        let mut settings = settings();
        settings.classes.extend([class_with_key(DedupScope::Cell), class_with_key(DedupScope::All)]);
        settings.plans[0].max_concurrent = 6;
        (settings.may_hedge, settings.has_counter) = (may_hedge, has_counter);
        let policy = Policy::new(settings.clone(), 3);
        let mut site = TestSite {
            settings,
            policy,
            now: 1_000_000 * MS,
            requests: BTreeMap::new(),
            hosts: BTreeMap::new(),
            calls: Vec::new(),
            totals: BTreeMap::new(),
            timers: Vec::new(),
        };
        let entries: Vec<_> = (1..=6).map(|id| HostEntry { cell: id as u32 / 3, ..entry(id) }).collect();
        site.hosts = entries.iter().map(|e| (e.id, e.clone())).collect();
        site.report(Event::HostList { kind: HostListKind::Cached, entries });
        site
    }

    fn report(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.check(action));
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Forward { id, host, deadline, write_by } => {
                let target = self.hosts.get(&host).expect("a listed host");
                assert_eq!(target.state, HostState::Ready, "no attempt at a draining host");
                let request = self.requests.get_mut(&id).expect("a known request");
                assert!(
                    request.final_answers == 0 && !request.has_disconnected,
                    "no attempt after the final answer"
                );
                assert!(self.settings.may_hedge || request.attempts.iter().all(|a| a.3.is_some()));
                assert!((request.attempts.len() as u32) < self.settings.max_attempts);
                if let Some(first) = request.attempts.iter().find(|a| !was_not_executed(a.3)) {
                    match self.settings.classes[request.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NotIdempotent => {
                            panic!("a non-idempotent request may have been executed twice")
                        }
                        Idempotency::WithKey(scope, window) => {
                            assert!(
                                self.now < write_by && write_by < first.1 + window,
                                "the last byte has to be written within the deduplication window"
                            );
                            let first_host = &self.hosts[&first.0];
                            assert!(scope == DedupScope::All || first_host.cell == target.cell);
                        }
                    }
                }
                request.attempts.push((host, self.now, deadline.min(request.deadline), None));
            }
            Action::Reject { id, .. } | Action::Fail { id, .. } => {
                let request = self.requests.get_mut(&id).expect("a known request");
                assert!(request.final_answers == 0 && !request.has_disconnected, "only one final answer");
                assert!(self.now <= request.deadline + 8 * MS, "the final answer is in time");
                request.final_answers += 1;
                let may_be_repeated = matches!(
                    self.settings.classes[request.class].idempotency,
                    Idempotency::Idempotent | Idempotency::WithKey(DedupScope::All, _)
                );
                if matches!(action, Action::Reject { .. }) && !may_be_repeated {
                    assert!(
                        request.attempts.iter().all(|a| was_not_executed(a.3)),
                        "a rejected request was not executed"
                    );
                }
            }
            Action::Cancel { id, attempt } => {
                assert!(
                    self.requests[&id].attempts.len() > attempt as usize,
                    "the cancelled attempt was forwarded"
                )
            }
            Action::AddToCounter { key, amount, .. } => {
                assert!(self.settings.has_counter && amount.is_finite());
                self.calls.push((key, amount));
            }
            Action::SetTimer { after, .. } => self.timers.push(self.now + after),
            Action::SubscribeToHosts => {}
        }
    }

    fn end_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let request = self.requests.get_mut(&id).expect("known");
        let (host, sent, ..) = request.attempts[attempt];
        request.attempts[attempt].3 = Some(outcome);
        if outcome == Outcome::Ok && request.final_answers == 0 && !request.has_disconnected {
            request.final_answers += 1;
        }
        let is_request_closed = request.final_answers > 0 || request.has_disconnected;
        let elapsed = self.now - sent;
        let (quota_used, actual_units, report, attempt) = (None, Some(2.0), None, attempt as u32);
        let end = AttemptEnded {
            id,
            attempt,
            host,
            outcome,
            elapsed,
            is_request_closed,
            quota_used,
            actual_units,
            report,
        };
        self.report(Event::AttemptEnded(end));
    }

    fn in_flight(&self) -> Vec<(RequestId, usize)> {
        let attempts = self.requests.iter().flat_map(|(id, request)| {
            request.attempts.iter().enumerate().filter(|(_, a)| a.3.is_none()).map(|(i, _)| (*id, i))
        });
        attempts.collect()
    }

    /// Advances time in steps, in which attempts without a response time out and timers expire.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(2) {
            self.now += 2 * MS;
            for (id, attempt) in self.in_flight() {
                if self.requests[&id].attempts[attempt].2 <= self.now {
                    self.end_attempt(id, attempt, Outcome::Timeout);
                }
            }
            let expired = self.timers.iter().filter(|t| **t <= self.now).count();
            self.timers.retain(|t| *t > self.now);
            (0..expired).for_each(|_| self.report(Event::TimerExpired { token: 0 }));
        }
    }

    fn step(&mut self, id: u64, step: Step) {
        match step {
            Step::Request { class, customer, units, remaining } => {
                let (id, remaining) = (RequestId(id), remaining as u64 * MS);
                let deadline = self.now + remaining;
                self.requests.insert(id, TrackedRequest { class, deadline, ..TrackedRequest::default() });
                let (customer, units) = (CustomerId(customer), units as f64);
                let request =
                    Request { id, class, customer, remaining, units, set_size: 2, ..Request::default() };
                self.report(Event::Request(request));
            }
            Step::EndAttempt { pick, outcome } => {
                let in_flight = self.in_flight();
                if let Some((id, attempt)) = in_flight.get(pick % in_flight.len().max(1)).copied() {
                    use Outcome::*;
                    self.end_attempt(
                        id,
                        attempt,
                        [Ok, Ok, Error, Rejected, ConnectFailed, ConnectionReset, Cancelled]
                            [outcome as usize],
                    );
                }
            }
            Step::CounterReply { pick } if !self.calls.is_empty() => {
                let (key, amount) = self.calls.remove(pick % self.calls.len());
                let total = self.totals.entry(key).or_default();
                let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Timeout, Outcome::Rejected];
                let outcome = outcome[pick % 5];
                *total = if pick % 50 == 0 { 0.0 } else { *total };
                *total += if outcome == Outcome::Rejected { 0.0 } else { amount };
                let total = *total;
                self.report(Event::CounterReplied { key, outcome, total, elapsed: 2 * MS });
            }
            Step::Disconnect { pick } if !self.requests.is_empty() => {
                let id = *self.requests.keys().nth(pick % self.requests.len()).expect("in range");
                let request = self.requests.get_mut(&id).expect("known");
                request.has_disconnected |= request.final_answers == 0;
                self.report(Event::ClientDisconnected { id });
            }
            Step::ChangeHost { id, state, is_restarted } => {
                let state = [HostState::Ready, HostState::Draining, HostState::Gone][state as usize];
                let entry = self.hosts.get_mut(&HostId(id)).expect("listed");
                entry.state = state;
                entry.started_at = if is_restarted { self.now } else { entry.started_at };
                let entries = vec![entry.clone()];
                self.report(Event::HostList { kind: HostListKind::Delta, entries });
            }
            Step::Advance { ms } => self.advance(ms as u64),
            _ => {}
        }
    }
}

#[test]
fn random_legal_events_violate_no_invariant() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (any::<bool>(), any::<bool>(), prop::collection::vec(step(), 1..120));
    let run = |(may_hedge, has_counter, steps): (bool, bool, Vec<Step>)| {
        let mut site = TestSite::new(may_hedge, has_counter);
        for (id, step) in steps.into_iter().enumerate() {
            site.step(id as u64, step);
        }
        site.advance(4_100);
        for (id, request) in &site.requests {
            assert!(
                request.has_disconnected || request.final_answers == 1,
                "request {id:?} has {} final answers",
                request.final_answers
            );
        }
        Ok(())
    };
    runner.run(&input, run).unwrap();
}

#[test]
fn many_gateways_together_forward_no_more_than_its_fraction_to_a_host_in_slow_start() {
    // Each of 200 gateways gets two requests per second, and one of 20 hosts restarts.
    let settings_without_quota = Settings { gateways: 200, plans: vec![Plan::default()], ..settings() };
    let mut gateways: Vec<_> = (0..200)
        .map(|seed| {
            let mut gateway = TestGateway::new(settings_without_quota.clone(), 20);
            gateway.policy = policy::policy::Policy::new(settings_without_quota.clone(), seed);
            gateway.report_host_list(HostListKind::Full, (1..=20).map(entry).collect());
            gateway
        })
        .collect();
    let (mut id, mut at_restarted_host, mut at_all_hosts) = (0, 0, 0);
    for step in 0..24 {
        for gateway in &mut gateways {
            if step == 12 {
                gateway.report_host_list(
                    HostListKind::Delta,
                    vec![HostEntry { started_at: gateway.now, ..entry(1) }],
                );
            }
            id += 1;
            let sent = attempts_in(&gateway.request(id, 0, id, 1.0));
            for (request, host) in &sent {
                gateway.end_attempt(request.0, 0, *host, Outcome::Ok);
                at_restarted_host += usize::from(step >= 12 && *host == HostId(1));
                at_all_hosts += usize::from(step >= 12);
            }
            gateway.advance(500 * MS);
        }
    }
    // Six seconds of a warm-up of ten seconds, which starts at a fifth of the capacity: less than an even
    // share.
    let even_share = at_all_hosts as f64 / 20.0;
    assert!(
        at_restarted_host > 0 && (at_restarted_host as f64) < 0.6 * even_share,
        "{at_restarted_host} attempts at the restarted host, {even_share} in an even share"
    );
}

#[test]
fn a_request_without_a_counter_reply_is_rejected_before_its_deadline() {
    let mut gateway = TestGateway::new(settings(), 3);
    let request = Request { id: RequestId(1), remaining: 43 * MS, units: 1.0, ..Request::default() };
    let actions = gateway.report(Event::Request(request));
    assert_eq!(counter_calls_in(&actions).len(), 1);
    assert!(is_rejected(&gateway.advance(40 * MS), 1));
}
