//! The rules for attempts and answers under random legal events, with a fixed seed.
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
    End { pick: usize, outcome: u8 },
    Count { pick: usize },
    Leave { pick: usize },
    Host { id: u64, state: u8, is_restarted: bool },
    Pass { ms: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4usize, 0..4u64, 0..9u8, 1..4000u16).prop_map(|(class, customer, units, remaining)| {
            Step::Request { class, customer, units, remaining }
        }),
        4 => (any::<usize>(), 0..7u8).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        4 => any::<usize>().prop_map(|pick| Step::Count { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Leave { pick }),
        1 => (1..7u64, 0..3u8, any::<bool>()).prop_map(|(id, state, is_restarted)| Step::Host { id, state, is_restarted }),
        3 => (1..300u16).prop_map(|ms| Step::Pass { ms }),
    ]
}

#[derive(Default)]
struct TrackedRequest {
    class: usize,
    deadline: Time,
    answers: u32,
    left: bool,
    /// Host, when sent, when it times out, outcome once known.
    attempts: Vec<(HostId, Time, Time, Option<Outcome>)>,
}

struct World {
    settings: Settings,
    policy: Policy,
    now: Time,
    requests: BTreeMap<RequestId, TrackedRequest>,
    hosts: BTreeMap<HostId, HostEntry>,
    counts: Vec<(CounterKey, f64)>,
    totals: BTreeMap<CounterKey, f64>,
    timers: Vec<Time>,
}

fn never_ran(outcome: Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
}

impl World {
    fn new(duplicate: bool, counter: bool) -> Self {
        let keyed = |scope| class(3.0, Idempotency::WithKey(scope, 2_000 * MS));
        let mut settings = settings();
        settings.classes.extend([keyed(DedupScope::Cell), keyed(DedupScope::All)]);
        settings.plans[0].max_concurrent = 6;
        (settings.may_hedge, settings.has_counter) = (duplicate, counter);
        let policy = Policy::new(settings.clone(), 3);
        let mut world = World {
            settings,
            policy,
            now: 1_000_000 * MS,
            requests: BTreeMap::new(),
            hosts: BTreeMap::new(),
            counts: Vec::new(),
            totals: BTreeMap::new(),
            timers: Vec::new(),
        };
        let entries: Vec<_> = (1..=6).map(|id| HostEntry { cell: id as u32 / 3, ..entry(id) }).collect();
        world.hosts = entries.iter().map(|e| (e.id, e.clone())).collect();
        world.report(Event::HostList { kind: HostListKind::Cached, entries });
        world
    }

    fn report(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.check(action));
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Forward { id, host, deadline: until, write_by } => {
                let to = self.hosts.get(&host).expect("a listed host");
                assert_eq!(to.state, HostState::Ready, "drains are kept");
                let r = self.requests.get_mut(&id).expect("a known request");
                assert!(r.answers == 0 && !r.left, "no attempt after the final answer");
                assert!(self.settings.may_hedge || r.attempts.iter().all(|a| a.3.is_some()));
                assert!((r.attempts.len() as u32) < self.settings.max_attempts);
                if let Some(first) = r.attempts.iter().find(|a| !never_ran(a.3)) {
                    match self.settings.classes[r.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NotIdempotent => panic!("an unsafe request may have run twice"),
                        Idempotency::WithKey(scope, ttl) => {
                            assert!(
                                self.now < write_by && write_by < first.1 + ttl,
                                "the last byte is bound too"
                            );
                            let there = &self.hosts[&first.0];
                            assert!(scope == DedupScope::All || there.cell == to.cell);
                        }
                    }
                }
                r.attempts.push((host, self.now, until.min(r.deadline), None));
            }
            Action::Reject { id, .. } | Action::Fail { id, .. } => {
                let r = self.requests.get_mut(&id).expect("a known request");
                assert!(r.answers == 0 && !r.left, "one final answer");
                assert!(self.now <= r.deadline + 8 * MS, "in time");
                r.answers += 1;
                let repeatable = matches!(
                    self.settings.classes[r.class].idempotency,
                    Idempotency::Idempotent | Idempotency::WithKey(DedupScope::All, _)
                );
                if matches!(action, Action::Reject { .. }) && !repeatable {
                    assert!(r.attempts.iter().all(|a| never_ran(a.3)), "a refusal says nothing ran");
                }
            }
            Action::Cancel { id, attempt } => {
                assert!(self.requests[&id].attempts.len() > attempt as usize, "it was sent")
            }
            Action::AddToCounter { key: name, amount, .. } => {
                assert!(self.settings.has_counter && amount.is_finite());
                self.counts.push((name, amount));
            }
            Action::SetTimer { after, .. } => self.timers.push(self.now + after),
            Action::SubscribeToHosts => {}
        }
    }

    fn end(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let r = self.requests.get_mut(&id).expect("known");
        let (host, sent, ..) = r.attempts[attempt];
        r.attempts[attempt].3 = Some(outcome);
        if outcome == Outcome::Ok && r.answers == 0 && !r.left {
            r.answers += 1;
        }
        let closed = r.answers > 0 || r.left;
        let elapsed = self.now - sent;
        let (used, true_units, report, attempt) = (None, Some(2.0), None, attempt as u32);
        let end = AttemptEnded {
            id,
            attempt,
            host,
            outcome,
            elapsed,
            is_request_closed: closed,
            quota_used: used,
            actual_units: true_units,
            report,
        };
        self.report(Event::AttemptEnded(end));
    }

    fn out(&self) -> Vec<(RequestId, usize)> {
        let attempts = self.requests.iter().flat_map(|(id, r)| {
            r.attempts.iter().enumerate().filter(|(_, a)| a.3.is_none()).map(|(i, _)| (*id, i))
        });
        attempts.collect()
    }

    /// Advances time in steps: timers, and attempts without a response, expire.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(2) {
            self.now += 2 * MS;
            for (id, attempt) in self.out() {
                if self.requests[&id].attempts[attempt].2 <= self.now {
                    self.end(id, attempt, Outcome::Timeout);
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
            Step::End { pick, outcome } => {
                let out = self.out();
                if let Some((id, attempt)) = out.get(pick % out.len().max(1)).copied() {
                    use Outcome::*;
                    self.end(
                        id,
                        attempt,
                        [Ok, Ok, Error, Rejected, ConnectFailed, ConnectionReset, Cancelled]
                            [outcome as usize],
                    );
                }
            }
            Step::Count { pick } if !self.counts.is_empty() => {
                let (name, amount) = self.counts.remove(pick % self.counts.len());
                let total = self.totals.entry(name).or_default();
                let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Timeout, Outcome::Rejected];
                let outcome = outcome[pick % 5];
                *total = if pick % 50 == 0 { 0.0 } else { *total };
                *total += if outcome == Outcome::Rejected { 0.0 } else { amount };
                let total = *total;
                self.report(Event::CounterReplied { key: name, outcome, total, elapsed: 2 * MS });
            }
            Step::Leave { pick } if !self.requests.is_empty() => {
                let id = *self.requests.keys().nth(pick % self.requests.len()).expect("in range");
                let r = self.requests.get_mut(&id).expect("known");
                r.left |= r.answers == 0;
                self.report(Event::ClientDisconnected { id });
            }
            Step::Host { id, state, is_restarted } => {
                let state = [HostState::Ready, HostState::Draining, HostState::Gone][state as usize];
                let entry = self.hosts.get_mut(&HostId(id)).expect("listed");
                entry.state = state;
                entry.started_at = if is_restarted { self.now } else { entry.started_at };
                let entries = vec![entry.clone()];
                self.report(Event::HostList { kind: HostListKind::Delta, entries });
            }
            Step::Pass { ms } => self.pass(ms as u64),
            _ => {}
        }
    }
}

#[test]
fn random_legal_events_break_no_rule() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (any::<bool>(), any::<bool>(), prop::collection::vec(step(), 1..120));
    let run = |(duplicate, counter, steps): (bool, bool, Vec<Step>)| {
        let mut world = World::new(duplicate, counter);
        for (id, step) in steps.into_iter().enumerate() {
            world.step(id as u64, step);
        }
        world.pass(4_100);
        for (id, r) in &world.requests {
            assert!(r.left || r.answers == 1, "request {id:?} has {} final answers", r.answers);
        }
        Ok(())
    };
    runner.run(&input, run).unwrap();
}

#[test]
fn many_gateways_together_send_a_host_in_slow_start_no_more_than_its_part() {
    // Each of 200 gateways gets two requests a second; of 20 hosts one restarts.
    let open = Settings { gateways: 200, plans: vec![Plan::default()], ..settings() };
    let mut gateways: Vec<_> = (0..200)
        .map(|seed| {
            let mut g = Harness::new(open.clone(), 20);
            g.policy = policy::policy::Policy::new(open.clone(), seed);
            g.list(HostListKind::Full, (1..=20).map(entry).collect());
            g
        })
        .collect();
    let (mut id, mut cold, mut all) = (0, 0, 0);
    for half in 0..24 {
        for g in &mut gateways {
            if half == 12 {
                g.list(HostListKind::Delta, vec![HostEntry { started_at: g.now, ..entry(1) }]);
            }
            id += 1;
            let sent = attempts_in(&g.request(id, 0, id, 1.0));
            for (request, host) in &sent {
                g.ended(request.0, 0, *host, Outcome::Ok);
                cold += usize::from(half >= 12 && *host == HostId(1));
                all += usize::from(half >= 12);
            }
            g.pass(500 * MS);
        }
    }
    // Six seconds of a warm-up of ten seconds, from a fifth of the capacity: at most its part of an even
    // share.
    let even = all as f64 / 20.0;
    assert!(cold > 0 && (cold as f64) < 0.6 * even, "{cold} sent against {even} to a warm one");
}

#[test]
fn a_request_that_gets_its_units_too_late_is_still_answered_in_time() {
    let mut g = Harness::new(settings(), 3);
    let request = Request { id: RequestId(1), remaining: 43 * MS, units: 1.0, ..Request::default() };
    let actions = g.on(Event::Request(request));
    assert_eq!(calls_in(&actions).len(), 1);
    assert!(is_rejected(&g.pass(40 * MS), 1));
}
