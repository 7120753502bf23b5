//! A fake counter service in memory, without a limit on its entries, and the ways in which it fails. It also
//! records the amounts that were in fact added to each entry, including those lost by a reset.
use super::MS;
use policy::api::*;
use std::collections::BTreeMap;

/// A way in which the counter fails.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// No connection is made; nothing is added.
    Unreachable,
    /// Nothing is added, and the call times out.
    NoReply,
    /// Amounts are added, but the call times out.
    AddedWithoutReply,
    /// Amounts are added at once, and the reply takes between these times; after the timeout it is lost.
    Slow(Span, Span),
    /// All calls are rejected.
    Overloaded,
    /// Alternately unreachable and reachable, for this time each.
    Flapping(Span),
    /// The counter is partitioned; the vector holds the partition that each gateway reaches. All partitions
    /// start from the same entries, and their additions are summed when the partition ends.
    Partition(Vec<usize>),
    /// All entries are lost when the fault begins.
    Reset,
}

/// A fault of the counter during a time window, for one gateway or for all.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    pub fault: Fault,
    pub gateway: Option<usize>,
    pub from: Time,
    pub until: Time,
}

impl FaultWindow {
    fn is_active(&self, now: Time, gateway: usize) -> bool {
        (self.from..self.until).contains(&now) && self.gateway.is_none_or(|only| only == gateway)
    }
}

#[derive(Clone, Copy, Default)]
struct Entry {
    shared: f64, // in all partitions
    local: f64,  // added in this partition only
    expires: Time,
}

/// The reply to a call, and the time that the call takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    pub outcome: Outcome,
    pub total: f64,
    pub elapsed: Span,
}

pub struct Counter {
    reply_time: Span,
    timeout: Span,
    faults: Vec<FaultWindow>,
    is_applied: Vec<bool>, // for each fault, whether it has changed the entries
    partitions: Vec<BTreeMap<CounterKey, Entry>>,
    partition_of: Vec<usize>,
    /// Sum of all amounts added to each entry, including those lost by a reset.
    pub added: BTreeMap<CounterKey, f64>,
    /// Amounts of each entry that a reset lost, with the time of the reset.
    pub lost_by_reset: BTreeMap<CounterKey, Vec<(Time, f64)>>,
    /// Times of all calls, including failed ones.
    pub calls: Vec<Time>,
}

impl Counter {
    pub fn new(gateways: usize, timeout: Span, faults: Vec<FaultWindow>) -> Counter {
        Counter {
            reply_time: MS,
            timeout,
            is_applied: vec![false; faults.len()],
            faults,
            partitions: vec![BTreeMap::new(); gateways],
            partition_of: vec![0; gateways],
            added: BTreeMap::new(),
            lost_by_reset: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    /// Executes a call of a gateway. `draw` is a random number from 0 to 1, which determines the time of a
    /// slow reply.
    pub fn call(&mut self, now: Time, gateway: usize, call: (CounterKey, f64, Span), draw: f64) -> Reply {
        self.apply_faults(now);
        self.calls.push(now);
        let (key, amount, time_to_live) = call;
        let fault =
            self.faults.iter().find(|window| window.is_active(now, gateway) && affects_replies(window, now));
        let fault = fault.map(|fault_window| fault_window.fault.clone());
        match fault {
            Some(Fault::Unreachable | Fault::Flapping(_)) => {
                self.failed_reply(Outcome::ConnectFailed, self.reply_time)
            }
            Some(Fault::Overloaded) => self.failed_reply(Outcome::Rejected, self.reply_time),
            Some(Fault::NoReply) => self.failed_reply(Outcome::Timeout, self.timeout),
            Some(Fault::AddedWithoutReply) => {
                self.add(now, gateway, key, amount, time_to_live);
                self.failed_reply(Outcome::Timeout, self.timeout)
            }
            Some(Fault::Slow(min_time, max_time)) => {
                let total = self.add(now, gateway, key, amount, time_to_live);
                let elapsed = min_time + (draw * (max_time - min_time) as f64) as Span;
                if elapsed >= self.timeout {
                    return self.failed_reply(Outcome::Timeout, self.timeout);
                }
                Reply { outcome: Outcome::Ok, total, elapsed }
            }
            _ => {
                let total = self.add(now, gateway, key, amount, time_to_live);
                Reply { outcome: Outcome::Ok, total, elapsed: self.reply_time }
            }
        }
    }

    fn failed_reply(&self, outcome: Outcome, elapsed: Span) -> Reply {
        Reply { outcome, total: 0.0, elapsed }
    }

    fn add(&mut self, now: Time, gateway: usize, key: CounterKey, amount: f64, time_to_live: Span) -> f64 {
        *self.added.entry(key).or_default() += amount;
        let entry = self.partitions[self.partition_of[gateway]].entry(key).or_default();
        if entry.expires <= now {
            *entry = Entry { expires: now + time_to_live.clamp(1, 60_000 * MS), ..Entry::default() };
        }
        entry.local += amount;
        // The total in a reply is rounded to seven digits.
        f64::from((entry.shared + entry.local) as f32)
    }

    /// Applies the resets and partitions that have begun, and merges partitions that have ended.
    fn apply_faults(&mut self, now: Time) {
        for n in 0..self.faults.len() {
            let fault_window = self.faults[n].clone();
            match &fault_window.fault {
                Fault::Reset if !self.is_applied[n] && now >= fault_window.from => {
                    self.is_applied[n] = true;
                    self.reset(now);
                }
                Fault::Partition(partitions) if !self.is_applied[n] && now >= fault_window.from => {
                    self.is_applied[n] = true;
                    self.merge_partitions(now);
                    self.split(partitions);
                }
                Fault::Partition(partitions)
                    if now >= fault_window.until && self.partition_of == *partitions =>
                {
                    self.merge_partitions(now)
                }
                _ => {}
            }
        }
    }

    fn reset(&mut self, now: Time) {
        let shared = self.partitions[0].iter().map(|(key, entry)| (*key, entry.shared, entry.expires));
        let local = self.partitions.iter().flatten().map(|(key, entry)| (*key, entry.local, entry.expires));
        for (key, amount, _) in shared.chain(local).filter(|(_, _, expires)| *expires > now) {
            self.lost_by_reset.entry(key).or_default().push((now, amount));
        }
        self.partitions.iter_mut().for_each(BTreeMap::clear);
    }

    fn split(&mut self, partitions: &[usize]) {
        for entry in self.partitions[0].values_mut() {
            (entry.shared, entry.local) = (entry.shared + entry.local, 0.0);
        }
        let merged = self.partitions[0].clone();
        self.partitions.iter_mut().for_each(|partition| partition.clone_from(&merged));
        self.partition_of = partitions.to_vec();
    }

    fn merge_partitions(&mut self, now: Time) {
        let (merged, others) = self.partitions.split_at_mut(1);
        for (key, source) in others.iter_mut().flat_map(std::mem::take) {
            let target = merged[0].entry(key).or_default();
            if source.expires > now {
                target.shared = if target.expires > now { target.shared } else { source.shared };
                target.local = if target.expires > now { target.local + source.local } else { source.local };
                target.expires = target.expires.max(source.expires);
            }
        }
        self.partition_of.fill(0);
    }

    /// Returns the total of an entry while the counter is not partitioned.
    pub fn total(&mut self, now: Time, key: CounterKey) -> f64 {
        self.apply_faults(now);
        let entry = self.partitions[0].get(&key).filter(|entry| entry.expires > now);
        entry.map_or(0.0, |entry| entry.shared + entry.local)
    }
}

/// Returns whether a fault affects replies at this time.
fn affects_replies(fault_window: &FaultWindow, now: Time) -> bool {
    match fault_window.fault {
        Fault::Partition(_) | Fault::Reset => false,
        Fault::Flapping(half_period) => (now - fault_window.from) / half_period.max(1) % 2 == 0,
        _ => true,
    }
}
