//! A counter in memory with unlimited room, and the ways in which it fails. A stand-in: it has no parts.
//!
//! What it can be asked beside what a gateway asks is what was truly added: the sum over the lives of a name.
use super::MS;
use policy::api::*;
use std::collections::BTreeMap;

/// How it fails.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// No connection, nothing is added.
    Lost,
    /// Nothing is added, and no answer comes.
    Silent,
    /// Calls are added, and no answer comes.
    Mute,
    /// Calls are added at once and answered after so long; where that is beyond the time-out nothing comes.
    Slow(Span, Span),
    /// All calls are turned away.
    Full,
    /// Lost for so long, there for so long, and so on.
    Flapping(Span),
    /// Each gateway reaches the side with this number. Sides begin alike; in the end what they added adds up.
    Split(Vec<usize>),
    /// All names are forgotten at the beginning.
    Fresh,
}

/// A fault over a span of time, for one gateway or for all.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub fault: Fault,
    pub gateway: Option<usize>,
    pub from: Time,
    pub until: Time,
}

impl Trouble {
    fn is_on(&self, now: Time, gateway: usize) -> bool {
        (self.from..self.until).contains(&now) && self.gateway.is_none_or(|only| only == gateway)
    }
}

#[derive(Clone, Copy, Default)]
struct Entry {
    shared: f64, // known to all sides
    own: f64,    // added by this side since
    expires: Time,
}

/// What becomes of a call, and when its caller is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    pub outcome: Outcome,
    pub total: f64,
    pub took: Span,
}

pub struct Counter {
    delay: Span,
    timeout: Span,
    troubles: Vec<Trouble>,
    begun: Vec<bool>, // troubles that changed its names when they began
    sides: Vec<BTreeMap<CounterKey, Entry>>,
    side_of: Vec<usize>,
    /// What was added to each name over all its lives.
    pub added: BTreeMap<CounterKey, f64>,
    /// What was forgotten of each name, and when.
    pub forgotten: BTreeMap<CounterKey, Vec<(Time, f64)>>,
    /// Moments of all calls, also of those that found no counter.
    pub calls: Vec<Time>,
}

impl Counter {
    pub fn new(gateways: usize, timeout: Span, troubles: Vec<Trouble>) -> Counter {
        Counter {
            delay: MS,
            timeout,
            begun: vec![false; troubles.len()],
            troubles,
            sides: vec![BTreeMap::new(); gateways],
            side_of: vec![0; gateways],
            added: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    /// A call comes. `lot`: drawn from 0 to 1.
    pub fn call(&mut self, now: Time, from: usize, call: (CounterKey, f64, Span), lot: f64) -> Reply {
        self.turn(now);
        self.calls.push(now);
        let (name, amount, keep) = call;
        let fault = self.troubles.iter().find(|t| t.is_on(now, from) && does_answer_ill(t, now));
        let fault = fault.map(|trouble| trouble.fault.clone());
        match fault {
            Some(Fault::Lost | Fault::Flapping(_)) => self.unanswered(Outcome::ConnectFailed, self.delay),
            Some(Fault::Full) => self.unanswered(Outcome::Rejected, self.delay),
            Some(Fault::Silent) => self.unanswered(Outcome::Timeout, self.timeout),
            Some(Fault::Mute) => {
                self.add(now, from, name, amount, keep);
                self.unanswered(Outcome::Timeout, self.timeout)
            }
            Some(Fault::Slow(least, most)) => {
                let total = self.add(now, from, name, amount, keep);
                let took = least + (lot * (most - least) as f64) as Span;
                if took >= self.timeout {
                    return self.unanswered(Outcome::Timeout, self.timeout);
                }
                Reply { outcome: Outcome::Ok, total, took }
            }
            _ => {
                let total = self.add(now, from, name, amount, keep);
                Reply { outcome: Outcome::Ok, total, took: self.delay }
            }
        }
    }

    fn unanswered(&self, outcome: Outcome, took: Span) -> Reply {
        Reply { outcome, total: 0.0, took }
    }

    fn add(&mut self, now: Time, from: usize, name: CounterKey, amount: f64, keep: Span) -> f64 {
        *self.added.entry(name).or_default() += amount;
        let entry = self.sides[self.side_of[from]].entry(name).or_default();
        if entry.expires <= now {
            *entry = Entry { expires: now + keep.clamp(1, 60_000 * MS), ..Entry::default() };
        }
        entry.own += amount;
        // A total comes with seven digits.
        f64::from((entry.shared + entry.own) as f32)
    }

    /// Splits, joins and forgets as it is time to.
    fn turn(&mut self, now: Time) {
        for n in 0..self.troubles.len() {
            let trouble = self.troubles[n].clone();
            match &trouble.fault {
                Fault::Fresh if !self.begun[n] && now >= trouble.from => {
                    self.begun[n] = true;
                    self.forget(now);
                }
                Fault::Split(sides) if !self.begun[n] && now >= trouble.from => {
                    self.begun[n] = true;
                    self.join(now);
                    self.split(sides);
                }
                Fault::Split(sides) if now >= trouble.until && self.side_of == *sides => self.join(now),
                _ => {}
            }
        }
    }

    fn forget(&mut self, now: Time) {
        let shared = self.sides[0].iter().map(|(name, entry)| (*name, entry.shared, entry.expires));
        let own = self.sides.iter().flatten().map(|(name, entry)| (*name, entry.own, entry.expires));
        for (name, amount, _) in shared.chain(own).filter(|(_, _, expires)| *expires > now) {
            self.forgotten.entry(name).or_default().push((now, amount));
        }
        self.sides.iter_mut().for_each(BTreeMap::clear);
    }

    fn split(&mut self, sides: &[usize]) {
        for entry in self.sides[0].values_mut() {
            (entry.shared, entry.own) = (entry.shared + entry.own, 0.0);
        }
        let whole = self.sides[0].clone();
        self.sides.iter_mut().for_each(|side| side.clone_from(&whole));
        self.side_of = sides.to_vec();
    }

    fn join(&mut self, now: Time) {
        let (whole, others) = self.sides.split_at_mut(1);
        for (name, theirs) in others.iter_mut().flat_map(std::mem::take) {
            let ours = whole[0].entry(name).or_default();
            if theirs.expires > now {
                ours.shared = if ours.expires > now { ours.shared } else { theirs.shared };
                ours.own = if ours.expires > now { ours.own + theirs.own } else { theirs.own };
                ours.expires = ours.expires.max(theirs.expires);
            }
        }
        self.side_of.fill(0);
    }

    /// What a name's total is now on the whole counter.
    pub fn total(&mut self, now: Time, name: CounterKey) -> f64 {
        self.turn(now);
        let entry = self.sides[0].get(&name).filter(|entry| entry.expires > now);
        entry.map_or(0.0, |entry| entry.shared + entry.own)
    }
}

/// Whether this trouble is what a call meets now.
fn does_answer_ill(trouble: &Trouble, now: Time) -> bool {
    match trouble.fault {
        Fault::Split(_) | Fault::Fresh => false,
        Fault::Flapping(half) => (now - trouble.from) / half.max(1) % 2 == 0,
        _ => true,
    }
}
