//! One decision module under random legal events, and a gateway in its smallest form that carries out the
//! actions. After each event the rules are checked, and the state of the module is compared with what there
//! is.

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
use crate::quota::counter_keys::CounterNumber;
use std::collections::{BTreeMap, VecDeque};

/// A request has its final answer this long after its deadline at the latest: timers are rounded up.
const ANSWER_TOLERANCE: Span = 8 * MILLISECOND;

/// An attempt that the module has started.
struct SentAttempt {
    host: HostId,
    /// Where the host was at the time of sending.
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
    /// The client has disconnected, which is not reported yet.
    Disconnecting,
    Disconnected,
    Answered,
}

/// A request that is not answered or has attempts in flight.
struct TrackedRequest {
    request: Request,
    deadline: Time,
    client: Client,
    /// When its units were charged to its customer's ceiling.
    charged_at: Option<Time>,
    attempts: Vec<SentAttempt>,
}

impl TrackedRequest {
    fn needs_no_answer(&self) -> bool {
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

/// A ceiling as the operators count it.
struct Ceiling {
    level: f64,
    /// Seconds for which units were held that were refunded.
    overflow: f64,
    at: Time,
}

/// The module, its gateway, and everything around them.
pub struct World {
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
    /// Attempts of the run, and those of them that were not the first of their request.
    pub attempts: u64,
    pub retries: u64,
}

impl World {
    pub fn new(deployment: Deployment, seed: u64) -> World {
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
        let mut world = World {
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
        world.report(Event::HostList { kind: HostListKind::Cached, entries });
        world
    }

    /// Reports an event and carries out the actions, one event after the other, as the gateway does.
    fn report(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            if let Event::ClientDisconnected { id } = event {
                let request = self.tracked.get_mut(&id).filter(|request| !request.needs_no_answer());
                if let Some(request) = request {
                    request.client = Client::Disconnected;
                    self.refund(id);
                }
            }
            let mut actions = Vec::new();
            self.policy.handle(self.now, event, &mut actions);
            self.charge_admitted(&actions);
            actions.into_iter().for_each(|action| self.carry_out(action));
        }
        self.drop_answered();
        self.audit();
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Forward { id, host, deadline, write_by } => self.forward(id, host, deadline, write_by),
            Action::Cancel { id, attempt } => self.cancel(id, attempt as usize),
            Action::Reject { id, .. } => self.answer(id, true),
            Action::Fail { id, .. } => self.answer(id, false),
            Action::AddToCounter { key, amount, .. } => {
                assert!(self.deployment.settings.has_counter && amount.is_finite() && amount.abs() < 1e9);
                // Heartbeats continue while the reply to the one before is late: their total is read, not
                // added up.
                let is_heartbeat = matches!(
                    self.policy.counter.pending_calls.get(&key),
                    Some(CounterNumber::Heartbeat { .. })
                );
                let is_first = self.calls.iter().all(|call| call.key != key);
                assert!(
                    is_heartbeat || is_first || self.has_irregular_plans,
                    "one call for a number is in flight at a time"
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

    fn drop_answered(&mut self) {
        self.tracked.retain(|_, request| !request.needs_no_answer() || request.in_flight().count() > 0);
    }

    fn waiting_request(&self, pick: usize) -> Option<RequestId> {
        let unanswered = self.tracked.iter().filter(|(_, request)| !request.needs_no_answer());
        let waiting: Vec<RequestId> = unanswered.map(|(id, _)| *id).collect();
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
