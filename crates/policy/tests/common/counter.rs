//! A counter in memory without a limit, and the ways in which it fails. It also records what was truly added
//! to each number over all resets.
use super::MS;
use policy::api::*;
use std::collections::BTreeMap;

/// A way in which the counter fails.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// No connection is made; nothing is added.
    Unreachable,
    /// Nothing is added, and no reply comes.
    NoReply,
    /// Amounts are added, and no reply comes.
    AddedWithoutReply,
    /// Amounts are added at once, and replies take between these times; beyond the timeout none comes.
    Slow(Span, Span),
    /// All calls are rejected.
    Overloaded,
    /// Unreachable for this time, reachable for as long, and so on.
    Flapping(Span),
    /// Each gateway reaches the partition with this number. Partitions begin alike; in the end what they
    /// added adds up.
    Partition(Vec<usize>),
    /// All numbers are lost at the beginning.
    Reset,
}

/// A fault for some time, of one gateway or of all.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    pub fault: Fault,
    pub gateway: Option<usize>,
    pub from: Time,
    pub until: Time,
}

impl FaultWindow {
    fn is_on(&self, now: Time, gateway: usize) -> bool {
        (self.from..self.until).contains(&now) && self.gateway.is_none_or(|only| only == gateway)
    }
}

#[derive(Clone, Copy, Default)]
struct Entry {
    shared: f64, // known to all partitions
    local: f64,  // added by this partition since
    expires: Time,
}

/// How a call ends, and after which time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    pub outcome: Outcome,
    pub total: f64,
    pub elapsed: Span,
}

pub struct Counter {
    delay: Span,
    timeout: Span,
    faults: Vec<FaultWindow>,
    started: Vec<bool>, // faults that have changed the numbers
    partitions: Vec<BTreeMap<CounterKey, Entry>>,
    partition_of: Vec<usize>,
    /// What was added to each number, over all resets.
    pub added: BTreeMap<CounterKey, f64>,
    /// What was lost of each number, and when.
    pub forgotten: BTreeMap<CounterKey, Vec<(Time, f64)>>,
    /// Times of all calls, including those that did not reach the counter.
    pub calls: Vec<Time>,
}

impl Counter {
    pub fn new(gateways: usize, timeout: Span, faults: Vec<FaultWindow>) -> Counter {
        Counter {
            delay: MS,
            timeout,
            started: vec![false; faults.len()],
            faults,
            partitions: vec![BTreeMap::new(); gateways],
            partition_of: vec![0; gateways],
            added: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    /// Executes a call. `draw`: a random number from 0 to 1.
    pub fn call(&mut self, now: Time, from: usize, call: (CounterKey, f64, Span), draw: f64) -> Reply {
        self.update(now);
        self.calls.push(now);
        let (name, amount, time_to_live) = call;
        let fault = self.faults.iter().find(|t| t.is_on(now, from) && affects_replies(t, now));
        let fault = fault.map(|fault_window| fault_window.fault.clone());
        match fault {
            Some(Fault::Unreachable | Fault::Flapping(_)) => {
                self.failed_reply(Outcome::ConnectFailed, self.delay)
            }
            Some(Fault::Overloaded) => self.failed_reply(Outcome::Rejected, self.delay),
            Some(Fault::NoReply) => self.failed_reply(Outcome::Timeout, self.timeout),
            Some(Fault::AddedWithoutReply) => {
                self.add(now, from, name, amount, time_to_live);
                self.failed_reply(Outcome::Timeout, self.timeout)
            }
            Some(Fault::Slow(least, most)) => {
                let total = self.add(now, from, name, amount, time_to_live);
                let elapsed = least + (draw * (most - least) as f64) as Span;
                if elapsed >= self.timeout {
                    return self.failed_reply(Outcome::Timeout, self.timeout);
                }
                Reply { outcome: Outcome::Ok, total, elapsed }
            }
            _ => {
                let total = self.add(now, from, name, amount, time_to_live);
                Reply { outcome: Outcome::Ok, total, elapsed: self.delay }
            }
        }
    }

    fn failed_reply(&self, outcome: Outcome, elapsed: Span) -> Reply {
        Reply { outcome, total: 0.0, elapsed }
    }

    fn add(&mut self, now: Time, from: usize, name: CounterKey, amount: f64, time_to_live: Span) -> f64 {
        *self.added.entry(name).or_default() += amount;
        let entry = self.partitions[self.partition_of[from]].entry(name).or_default();
        if entry.expires <= now {
            *entry = Entry { expires: now + time_to_live.clamp(1, 60_000 * MS), ..Entry::default() };
        }
        entry.local += amount;
        // A total has seven digits.
        f64::from((entry.shared + entry.local) as f32)
    }

    /// Starts and ends partitions and resets that are due.
    fn update(&mut self, now: Time) {
        for n in 0..self.faults.len() {
            let fault_window = self.faults[n].clone();
            match &fault_window.fault {
                Fault::Reset if !self.started[n] && now >= fault_window.from => {
                    self.started[n] = true;
                    self.forget(now);
                }
                Fault::Partition(partitions) if !self.started[n] && now >= fault_window.from => {
                    self.started[n] = true;
                    self.join(now);
                    self.split(partitions);
                }
                Fault::Partition(partitions)
                    if now >= fault_window.until && self.partition_of == *partitions =>
                {
                    self.join(now)
                }
                _ => {}
            }
        }
    }

    fn forget(&mut self, now: Time) {
        let shared = self.partitions[0].iter().map(|(name, entry)| (*name, entry.shared, entry.expires));
        let local = self.partitions.iter().flatten().map(|(name, entry)| (*name, entry.local, entry.expires));
        for (name, amount, _) in shared.chain(local).filter(|(_, _, expires)| *expires > now) {
            self.forgotten.entry(name).or_default().push((now, amount));
        }
        self.partitions.iter_mut().for_each(BTreeMap::clear);
    }

    fn split(&mut self, partitions: &[usize]) {
        for entry in self.partitions[0].values_mut() {
            (entry.shared, entry.local) = (entry.shared + entry.local, 0.0);
        }
        let joined = self.partitions[0].clone();
        self.partitions.iter_mut().for_each(|partition| partition.clone_from(&joined));
        self.partition_of = partitions.to_vec();
    }

    fn join(&mut self, now: Time) {
        let (joined, others) = self.partitions.split_at_mut(1);
        for (name, theirs) in others.iter_mut().flat_map(std::mem::take) {
            let ours = joined[0].entry(name).or_default();
            if theirs.expires > now {
                ours.shared = if ours.expires > now { ours.shared } else { theirs.shared };
                ours.local = if ours.expires > now { ours.local + theirs.local } else { theirs.local };
                ours.expires = ours.expires.max(theirs.expires);
            }
        }
        self.partition_of.fill(0);
    }

    /// Returns the total of a number on the joined counter.
    pub fn total(&mut self, now: Time, name: CounterKey) -> f64 {
        self.update(now);
        let entry = self.partitions[0].get(&name).filter(|entry| entry.expires > now);
        entry.map_or(0.0, |entry| entry.shared + entry.local)
    }
}

/// Returns whether a fault affects the replies now.
fn affects_replies(fault_window: &FaultWindow, now: Time) -> bool {
    match fault_window.fault {
        Fault::Partition(_) | Fault::Reset => false,
        Fault::Flapping(half) => (now - fault_window.from) / half.max(1) % 2 == 0,
        _ => true,
    }
}
