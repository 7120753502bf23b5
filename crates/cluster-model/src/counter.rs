//! The counter service: names with their totals, queues of calls, and faults.
//!
//! A call waits until its shard can start it, is added at that time, and is answered a little later. An accepted
//! call is added even if its caller no longer waits for it. Gateways are numbered from 0 here, and from 1 in
//! [`CounterFault::SplitBrain`], as in scenarios.

mod amount;
mod replica;

pub use amount::Amount;
pub use replica::MAX_NAME_LIFETIME;

use crate::rng::Rng;
use crate::scenario::{CounterFault, CounterSpec};
use crate::{Span, Time, SECOND};
use replica::Replica;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Name of a total: any bytes.
pub type Name = Box<[u8]>;

/// Interval at which expired names are removed.
const CLEANUP_INTERVAL: Span = SECOND;

/// Identifies an accepted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// Response of the counter to a new call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAdmission {
    /// The call was accepted; [`Counter::advance`] returns its outcome.
    Accepted(CallId),
    /// The call was rejected; nothing is added.
    Rejected,
    /// The counter cannot be reached; nothing is added.
    Unreachable,
}

/// Outcome of an accepted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The amount was added; the reply contains this total.
    Replied(Amount),
    /// The amount was added; there is no reply.
    NoReply,
    /// The amount was not added; there is no reply.
    Dropped,
}

/// An accepted call that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedCall {
    /// Id of the call.
    pub call: CallId,
    /// When the call ended.
    pub at: Time,
    /// How the call ended.
    pub outcome: CallOutcome,
}

#[derive(Debug)]
struct Call {
    id: CallId,
    gateway: u32,
    name: Name,
    amount: Amount,
    lifetime: Span,
}

#[derive(Debug)]
enum Step {
    Start(Call),
    Reply(CallId, Amount),
}

#[derive(Debug)]
struct ActiveFault {
    fault: CounterFault,
    since: Time,
    until: Time,
}

/// Identifies the replica that a gateway reaches during a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReplicaKey {
    Group(usize),
    /// A gateway that is in no group.
    Isolated(u32),
}

#[derive(Debug)]
struct Partition {
    groups: Vec<Vec<u32>>,
    replicas: BTreeMap<ReplicaKey, Replica>,
}

/// The counter.
#[derive(Debug)]
pub struct Counter {
    /// How long a call occupies its shard.
    service_time: Span,
    /// Time from the start of a call to its reply.
    reply_delay: Span,
    queue_capacity: u32,
    rng: Rng,
    /// During a partition: the state at its start.
    main: Replica,
    partition: Option<Partition>,
    /// In the order in which they began.
    faults: Vec<ActiveFault>,
    /// Scheduled steps, by time and then in the order in which they were scheduled.
    steps: BTreeMap<(Time, u64), Step>,
    last_number: u64,
    finished: Vec<FinishedCall>,
    clock: Time,
    last_cleanup: Time,
    unreachable: bool,
    connection_resets: u64,
}

impl Counter {
    /// Creates a counter without any names.
    pub fn new(spec: &CounterSpec, seed: u64) -> Counter {
        let shards = f64::from(spec.shards.max(1));
        let service_time = shards / spec.calls_per_s.max(1e-3) * SECOND as f64;
        Counter {
            service_time: libm::round(service_time) as Span,
            reply_delay: spec.service_time,
            queue_capacity: spec.queue,
            rng: Rng::stream(seed, "counter", 0),
            main: Replica::new(spec.shards),
            partition: None,
            faults: Vec::new(),
            steps: BTreeMap::new(),
            last_number: 0,
            finished: Vec::new(),
            clock: 0,
            last_cleanup: 0,
            unreachable: false,
            connection_resets: 0,
        }
    }

    /// Receives a call from a gateway. A new name expires after `lifetime`, at most [`MAX_NAME_LIFETIME`].
    pub fn call(
        &mut self,
        now: Time,
        gateway: u32,
        name: &[u8],
        amount: Amount,
        lifetime: Span,
    ) -> CallAdmission {
        self.run(now, now.saturating_add(1));
        if self.unreachable {
            return CallAdmission::Unreachable;
        }
        let id = CallId(self.next_number());
        if self.has_fault(|fault| matches!(fault, CounterFault::DropCalls)) {
            self.finish(id, now, CallOutcome::Dropped);
            return CallAdmission::Accepted(id);
        }
        if self.has_fault(|fault| matches!(fault, CounterFault::Overloaded)) {
            return CallAdmission::Rejected;
        }
        let (service_time, capacity) = (self.service_time, self.queue_capacity);
        let Some(start) = self.replica(gateway).enqueue(now, name, service_time, capacity) else {
            return CallAdmission::Rejected;
        };
        let call = Call { id, gateway, name: name.into(), amount, lifetime };
        if start > now {
            self.schedule(start, Step::Start(call));
        } else {
            self.start(now, call);
        }
        CallAdmission::Accepted(id)
    }

    /// When [`Counter::advance`] is to be called next; `None` if nothing is scheduled.
    pub fn next_event(&self) -> Option<Time> {
        let finished = self.finished.first().map(|finished| finished.at);
        let step = self.steps.keys().next().map(|(at, _)| *at);
        [finished, step, self.next_fault_change()].into_iter().flatten().min()
    }

    /// Runs all steps up to `now` and returns the calls that have ended since the last call of this function.
    pub fn advance(&mut self, now: Time) -> Vec<FinishedCall> {
        self.run(now, now.saturating_add(1));
        std::mem::take(&mut self.finished)
    }

    /// Adds a fault that lasts until `until`, in addition to those already active; of partitions only the last one
    /// is active. [`CounterFault::Reset`] takes effect immediately and does not last.
    pub fn inject_fault(&mut self, now: Time, fault: CounterFault, until: Time) {
        self.run(now, now);
        if matches!(fault, CounterFault::Reset) {
            self.reset();
            return;
        }
        if until <= now {
            return;
        }
        if let CounterFault::SplitBrain(groups) = &fault {
            self.end_partition(now);
            self.faults.retain(|active| !matches!(active.fault, CounterFault::SplitBrain(_)));
            self.main.mark_shared();
            self.partition = Some(Partition { groups: groups.clone(), replicas: BTreeMap::new() });
        }
        self.faults.push(ActiveFault { fault, since: now, until });
        self.update_reachability();
    }

    /// Ends all faults.
    pub fn clear_faults(&mut self, now: Time) {
        self.run(now, now);
        self.faults.clear();
        self.end_partition(now);
        self.update_reachability();
    }

    /// Whether the counter refuses connections.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// How many times the counter has reset all its connections.
    pub fn connection_resets(&self) -> u64 {
        self.connection_resets
    }

    /// The total of a name, if the name exists; during a partition the total that its end will give. Calls that
    /// are still queued are not included.
    pub fn total(&self, now: Time, name: &[u8]) -> Option<Amount> {
        self.merged(now).total(now, name)
    }

    /// All names that have not expired, with their totals as in [`Counter::total`].
    pub fn totals(&self, now: Time) -> BTreeMap<Name, Amount> {
        let merged = self.merged(now);
        merged.totals(now).map(|(name, total)| (name.clone(), total)).collect()
    }

    /// All names that have not expired.
    pub fn names(&self, now: Time) -> Vec<Name> {
        self.totals(now).into_keys().collect()
    }

    /// Number of names that have not expired.
    pub fn name_count(&self, now: Time) -> usize {
        self.merged(now).totals(now).count()
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn schedule(&mut self, at: Time, step: Step) {
        let number = self.next_number();
        self.steps.insert((at, number), step);
    }

    fn finish(&mut self, call: CallId, at: Time, outcome: CallOutcome) {
        self.finished.push(FinishedCall { call, at, outcome });
    }

    fn has_fault(&self, is_match: impl Fn(&CounterFault) -> bool) -> bool {
        self.faults.iter().any(|active| is_match(&active.fault))
    }

    /// Begins and ends faults up to `now` and runs steps before `bound`. Fault changes take precedence over calls
    /// and replies at the same time.
    fn run(&mut self, now: Time, bound: Time) {
        loop {
            let step = self.steps.keys().next().map(|(at, _)| *at).filter(|at| *at < bound);
            let fault_change = self.next_fault_change().filter(|at| *at <= now);
            match (fault_change, step) {
                (Some(at), step) if step.is_none_or(|step| at <= step) => self.change_faults(at),
                (_, Some(_)) => self.run_step(),
                _ => break,
            }
        }
        self.clock = self.clock.max(now);
        if self.clock >= self.last_cleanup.saturating_add(CLEANUP_INTERVAL) {
            self.remove_expired();
        }
    }

    fn run_step(&mut self) {
        let Some(((at, _), step)) = self.steps.pop_first() else { return };
        self.clock = self.clock.max(at);
        match step {
            Step::Start(call) => self.start(at, call),
            Step::Reply(id, total) => {
                let outcome =
                    if self.omits_replies() { CallOutcome::NoReply } else { CallOutcome::Replied(total) };
                self.finish(id, at, outcome);
            }
        }
    }

    fn omits_replies(&self) -> bool {
        self.has_fault(|fault| matches!(fault, CounterFault::DropReplies | CounterFault::DropCalls))
    }

    /// Adds a call's amount and schedules the reply.
    fn start(&mut self, at: Time, call: Call) {
        if self.has_fault(|fault| matches!(fault, CounterFault::DropCalls)) {
            return self.finish(call.id, at, CallOutcome::Dropped);
        }
        let total = self.replica(call.gateway).add(at, &call.name, call.amount, call.lifetime);
        if self.omits_replies() {
            return self.finish(call.id, at, CallOutcome::NoReply);
        }
        let ready = at.saturating_add(self.draw_reply_delay());
        let ready = self.replica(call.gateway).reply_at(&call.name, ready);
        self.schedule(ready, Step::Reply(call.id, total));
    }

    fn draw_reply_delay(&mut self) -> Span {
        let slow = self.faults.iter().rev().find_map(|active| match active.fault {
            CounterFault::DelayReplies(from, to) => Some((from, to)),
            _ => None,
        });
        match slow {
            Some((from, to)) => from + self.rng.below(to.saturating_sub(from).saturating_add(1)),
            None => self.reply_delay,
        }
    }

    /// The replica that a gateway reaches.
    fn replica(&mut self, gateway: u32) -> &mut Replica {
        let Some(partition) = &mut self.partition else { return &mut self.main };
        let group = partition.groups.iter().position(|group| group.contains(&(gateway + 1)));
        let key = group.map_or(ReplicaKey::Isolated(gateway), ReplicaKey::Group);
        partition.replicas.entry(key).or_insert_with(|| self.main.clone())
    }

    fn replicas(&mut self) -> impl Iterator<Item = &mut Replica> {
        let replicas = self.partition.iter_mut().flat_map(|partition| partition.replicas.values_mut());
        std::iter::once(&mut self.main).chain(replicas)
    }

    /// Ends a partition by merging the additions of its replicas.
    fn end_partition(&mut self, now: Time) {
        if let Some(partition) = self.partition.take() {
            partition.replicas.into_values().for_each(|replica| self.main.merge(now, replica));
        }
    }

    fn merged(&self, now: Time) -> Cow<'_, Replica> {
        let Some(partition) = &self.partition else { return Cow::Borrowed(&self.main) };
        let mut merged = self.main.clone();
        partition.replicas.values().for_each(|replica| merged.merge(now, replica.clone()));
        Cow::Owned(merged)
    }

    /// Replaces the counter's process; all names and calls of the old one are lost.
    fn reset(&mut self) {
        self.replicas().for_each(Replica::clear);
        for (_, step) in std::mem::take(&mut self.steps) {
            let (id, outcome) = match step {
                Step::Start(call) => (call.id, CallOutcome::Dropped),
                Step::Reply(id, _) => (id, CallOutcome::NoReply),
            };
            self.finish(id, self.clock, outcome);
        }
        self.connection_resets += 1;
    }

    fn remove_expired(&mut self) {
        let now = self.clock;
        self.last_cleanup = now;
        self.replicas().for_each(|replica| replica.remove_expired(now));
    }

    /// When a fault ends next, or a flapping one changes its state.
    fn next_fault_change(&self) -> Option<Time> {
        self.faults.iter().map(|active| active.next_change(self.clock)).min()
    }

    fn change_faults(&mut self, at: Time) {
        self.clock = self.clock.max(at);
        let has_ended = |active: &ActiveFault| active.until <= at;
        let ends_partition =
            |active: &ActiveFault| has_ended(active) && matches!(active.fault, CounterFault::SplitBrain(_));
        if self.faults.iter().any(ends_partition) {
            self.end_partition(at);
        }
        self.faults.retain(|active| !has_ended(active));
        self.update_reachability();
    }

    fn update_reachability(&mut self) {
        let unreachable = self.faults.iter().any(|active| active.is_unreachable(self.clock));
        if unreachable && !self.unreachable {
            self.connection_resets += 1;
        }
        self.unreachable = unreachable;
    }
}

impl ActiveFault {
    fn is_unreachable(&self, now: Time) -> bool {
        match self.fault {
            CounterFault::Unreachable => true,
            CounterFault::Flapping(period) => self.completed_periods(now, period) % 2 == 0,
            _ => false,
        }
    }

    /// Number of completed periods of a flapping counter.
    fn completed_periods(&self, now: Time, period: Span) -> u64 {
        now.saturating_sub(self.since) / period.max(1)
    }

    fn next_change(&self, now: Time) -> Time {
        match self.fault {
            CounterFault::Flapping(period) => {
                let periods = self.completed_periods(now, period).saturating_add(1);
                self.since.saturating_add(periods.saturating_mul(period.max(1))).min(self.until)
            }
            _ => self.until,
        }
    }
}
