//! A minimal gateway that reports random legal events to a decision module and executes its actions. After
//! each event the invariants are checked, and the state of the module is compared with that of the gateway.

mod audit;
mod ceilings;
mod clock;
mod counter;
mod forwarding;
mod run;

use super::steps::{Deployment, MILLISECOND};
use crate::api::*;
use crate::balancing::host_set::Location;
use crate::policy::Policy;
use crate::quota::counter_keys::CounterEntry;
use std::collections::{BTreeMap, VecDeque};

/// Maximum delay of a final answer after the deadline of the request, since timers are rounded up.
const ANSWER_TOLERANCE: Span = 8 * MILLISECOND;

/// An attempt started by the module.
struct SentAttempt {
    host: HostId,
    /// Location of the host when the attempt was sent.
    location: Location,
    sent_at: Time,
    deadline: Time,
    is_cancelled: bool,
    outcome: Option<Outcome>,
}

impl SentAttempt {
    fn has_reached_host(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::ConnectFailed | Outcome::NotSent))
    }

    fn may_have_been_executed(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
    }
}

/// The client of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Client {
    Waiting,
    /// The client has disconnected, but this is not reported yet.
    Disconnecting,
    Disconnected,
    Answered,
}

/// A request that has no final answer or has attempts in flight.
struct TrackedRequest {
    request: Request,
    deadline: Time,
    client: Client,
    /// When the request's units were charged to its customer's ceiling.
    charged_at: Option<Time>,
    attempts: Vec<SentAttempt>,
}

impl TrackedRequest {
    fn is_complete(&self) -> bool {
        matches!(self.client, Client::Disconnected | Client::Answered)
    }

    fn in_flight(&self) -> impl Iterator<Item = &SentAttempt> {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none())
    }

    fn first_possibly_executed(&self) -> Option<&SentAttempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_been_executed())
    }
}

/// A call to the counter in flight.
struct CounterCall {
    key: CounterKey,
    amount: f64,
    deadline: Time,
}

/// Token bucket of a hard ceiling, as the operators count it.
struct Ceiling {
    level: f64,
    /// Total time in seconds for which refunded units had been charged.
    overflow: f64,
    at: Time,
}

/// The module, a gateway that executes its actions, and the simulated hosts, clients and counter.
pub struct TestGateway {
    deployment: Deployment,
    policy: Policy,
    now: Time,
    /// When the process last resumed after a pause.
    resumed_at: Time,
    last_request: u64,
    tracked: BTreeMap<RequestId, TrackedRequest>,
    hosts: BTreeMap<HostId, HostEntry>,
    calls: Vec<CounterCall>,
    totals: BTreeMap<CounterKey, f64>,
    timers: Vec<Time>,
    events: VecDeque<Event>,
    ceilings: BTreeMap<CustomerId, Ceiling>,
    has_irregular_plans: bool,
    /// Number of attempts in the run, and number of those that were retries or hedged requests.
    pub attempts: u64,
    pub retries: u64,
}

impl TestGateway {
    pub fn new(deployment: Deployment, seed: u64) -> TestGateway {
        let policy = Policy::new(deployment.settings.clone(), seed);
        let host = |id: u64| HostEntry {
            id: HostId(id),
            zone: id as u32 % 2,
            cell: id as u32 / 3,
            size: 1.0,
            pools: 1 << (id % 3),
            ..HostEntry::default()
        };
        let entries: Vec<HostEntry> = (1..=deployment.hosts).map(host).collect();
        let mut gateway = TestGateway {
            policy,
            now: 1_000_000 * MILLISECOND,
            resumed_at: 0,
            last_request: 0,
            tracked: BTreeMap::new(),
            hosts: entries.iter().map(|entry| (entry.id, entry.clone())).collect(),
            calls: Vec::new(),
            totals: BTreeMap::new(),
            timers: Vec::new(),
            events: VecDeque::new(),
            ceilings: BTreeMap::new(),
            has_irregular_plans: false,
            attempts: 0,
            retries: 0,
            deployment,
        };
        gateway.report(Event::HostList { kind: HostListKind::Cached, entries });
        gateway
    }

    /// Reports an event and executes the actions, one event at a time, as the real gateway does.
    fn report(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            if let Event::ClientDisconnected { id } = event {
                let request = self.tracked.get_mut(&id).filter(|request| !request.is_complete());
                if let Some(request) = request {
                    request.client = Client::Disconnected;
                    self.refund(id);
                }
            }
            let mut actions = Vec::new();
            self.policy.handle(self.now, event, &mut actions);
            self.charge_admitted(&actions);
            actions.into_iter().for_each(|action| self.execute(action));
        }
        self.remove_completed();
        self.check_state();
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Forward { id, host, deadline, write_by } => self.forward(id, host, deadline, write_by),
            Action::Cancel { id, attempt } => self.cancel(id, attempt as usize),
            Action::Reject { id, .. } => self.on_final_answer(id, true),
            Action::Fail { id, .. } => self.on_final_answer(id, false),
            Action::AddToCounter { key, amount, .. } => {
                assert!(self.deployment.settings.has_counter && amount.is_finite() && amount.abs() < 1e9);
                // Heartbeats continue while the reply to the previous one is outstanding, since their total
                // is not accumulated.
                let is_heartbeat = matches!(
                    self.policy.counter.pending_calls.get(&key),
                    Some(CounterEntry::Heartbeat { .. })
                );
                let is_first = self.calls.iter().all(|call| call.key != key);
                assert!(
                    is_heartbeat || is_first || self.has_irregular_plans,
                    "more than one call in flight for a counter entry"
                );
                let deadline = self.now + self.deployment.settings.counter_timeout;
                self.calls.push(CounterCall { key, amount, deadline });
            }
            Action::SetTimer { after, .. } => self.timers.push(self.now + after),
            Action::SubscribeToHosts => assert!(self.deployment.settings.must_subscribe),
        }
    }

    /// Reports the event that was queued last.
    fn report_last(&mut self) {
        if let Some(event) = self.events.pop_back() {
            self.report(event);
        }
    }

    fn remove_completed(&mut self) {
        self.tracked.retain(|_, request| !request.is_complete() || request.in_flight().count() > 0);
    }

    fn waiting_request(&self, pick: usize) -> Option<RequestId> {
        let incomplete = self.tracked.iter().filter(|(_, request)| !request.is_complete());
        let waiting: Vec<RequestId> = incomplete.map(|(id, _)| *id).collect();
        waiting.get(pick % waiting.len().max(1)).copied()
    }

    fn attempts_where(&self, predicate: impl Fn(&SentAttempt) -> bool) -> Vec<(RequestId, u32)> {
        let mut found = Vec::new();
        for (id, request) in &self.tracked {
            let attempts = request.attempts.iter().enumerate().filter(|(_, attempt)| predicate(attempt));
            found.extend(attempts.map(|(index, _)| (*id, index as u32)));
        }
        found
    }
}
