//! The counter service: names and their totals, lines of calls that have their turns, and the ways to fail.
//!
//! A call waits until its part has a turn for it, is added in that moment, and is answered a little later.
//! Nobody who waits for it is asked: a call that was taken in has its turn also when its caller has gone.
//! Gateways are numbered from 0 here, and from 1 in [`CounterFault::Split`], as scenarios number them.

mod amount;
mod store;

pub use amount::Amount;
pub use store::MAX_NAME_LIFETIME;

use crate::rng::Rng;
use crate::scenario::{CounterFault, CounterSpec};
use crate::{Span, Time, SECOND};
use std::borrow::Cow;
use std::collections::BTreeMap;
use store::Side;

/// A name: any bytes.
pub type Name = Box<[u8]>;

/// Expired names are taken out this often.
const SWEEP: Span = SECOND;

/// Number of a call that was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// What became of a call as it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAdmission {
    /// CallAdmission in: its end comes with [`Counter::advance`].
    Accepted(CallId),
    /// Turned away, nothing added.
    Rejected,
    /// The counter cannot be reached, nothing added.
    Unreachable,
}

/// How a call that was taken in ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Added; this total is to be told.
    Replied(Amount),
    /// Added; nothing is to be said.
    NoReply,
    /// Not added; nothing is to be said.
    Dropped,
}

/// The end of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedCall {
    /// Which call.
    pub call: CallId,
    /// When.
    pub at: Time,
    /// How.
    pub outcome: CallOutcome,
}

#[derive(Debug)]
struct Call {
    ticket: CallId,
    gateway: u32,
    name: Name,
    amount: Amount,
    keep: Span,
}

#[derive(Debug)]
enum Step {
    Turn(Call),
    Answer(CallId, Amount),
}

/// A fault in force.
#[derive(Debug)]
struct Active {
    fault: CounterFault,
    since: Time,
    until: Time,
}

/// Which store a gateway reaches in a split.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    Group(usize),
    /// A gateway in no group.
    Alone(u32),
}

#[derive(Debug)]
struct Split {
    groups: Vec<Vec<u32>>,
    sides: BTreeMap<Part, Side>,
}

/// The counter.
#[derive(Debug)]
pub struct Counter {
    /// A part is taken up by a call for this long.
    slot: Span,
    call: Span,
    room: u32,
    rng: Rng,
    /// In a split: what there was when it began.
    whole: Side,
    split: Option<Split>,
    /// In the order in which they began.
    faults: Vec<Active>,
    /// What is due, by time and then in the order of the calls.
    steps: BTreeMap<(Time, u64), Step>,
    next: u64,
    settled: Vec<FinishedCall>,
    clock: Time,
    swept: Time,
    lost: bool,
    resets: u64,
}

impl Counter {
    /// A counter that knows no names yet.
    pub fn new(spec: &CounterSpec, seed: u64) -> Counter {
        let parts = f64::from(spec.parts.max(1));
        let slot = parts / spec.calls_per_s.max(1e-3) * SECOND as f64;
        Counter {
            slot: libm::round(slot) as Span,
            call: spec.call,
            room: spec.queue,
            rng: Rng::stream(seed, "counter", 0),
            whole: Side::new(spec.parts),
            split: None,
            faults: Vec::new(),
            steps: BTreeMap::new(),
            next: 0,
            settled: Vec::new(),
            clock: 0,
            swept: 0,
            lost: false,
            resets: 0,
        }
    }

    /// A call comes from a gateway (numbered from 0). A new name lives for `keep`, [`MAX_NAME_LIFETIME`] at most.
    pub fn call(
        &mut self,
        now: Time,
        gateway: u32,
        name: &[u8],
        amount: Amount,
        keep: Span,
    ) -> CallAdmission {
        self.run(now, now.saturating_add(1));
        if self.lost {
            return CallAdmission::Unreachable;
        }
        let ticket = CallId(self.number());
        if self.fails(|fault| matches!(fault, CounterFault::Silent)) {
            self.settle(ticket, now, CallOutcome::Dropped);
            return CallAdmission::Accepted(ticket);
        }
        if self.fails(|fault| matches!(fault, CounterFault::Full)) {
            return CallAdmission::Rejected;
        }
        let (slot, room) = (self.slot, self.room);
        let Some(turn) = self.side(gateway).queue(now, name, slot, room) else {
            return CallAdmission::Rejected;
        };
        let call = Call { ticket, gateway, name: name.into(), amount, keep };
        if turn > now {
            self.put(turn, Step::Turn(call));
        } else {
            self.turn(now, call);
        }
        CallAdmission::Accepted(ticket)
    }

    /// When [`Counter::advance`] is to be called next, if it is.
    pub fn next_event(&self) -> Option<Time> {
        let settled = self.settled.first().map(|settled| settled.at);
        let step = self.steps.keys().next().map(|(at, _)| *at);
        [settled, step, self.next_shift()].into_iter().flatten().min()
    }

    /// Does what is due up to `now`, and gives the calls that have ended since this was last asked.
    pub fn advance(&mut self, now: Time) -> Vec<FinishedCall> {
        self.run(now, now.saturating_add(1));
        std::mem::take(&mut self.settled)
    }

    /// The counter fails until `until`, beside what fails already; of splits only the last one is in force.
    /// [`CounterFault::Fresh`] is done with at once.
    pub fn inject_fault(&mut self, now: Time, fault: CounterFault, until: Time) {
        self.run(now, now);
        if matches!(fault, CounterFault::Fresh) {
            self.forget();
            return;
        }
        if until <= now {
            return;
        }
        if let CounterFault::Split(groups) = &fault {
            self.join(now);
            self.faults.retain(|active| !matches!(active.fault, CounterFault::Split(_)));
            self.whole.share();
            self.split = Some(Split { groups: groups.clone(), sides: BTreeMap::new() });
        }
        self.faults.push(Active { fault, since: now, until });
        self.look_whether_lost();
    }

    /// All faults are over.
    pub fn clear_faults(&mut self, now: Time) {
        self.run(now, now);
        self.faults.clear();
        self.join(now);
        self.look_whether_lost();
    }

    /// Whether connections to it are refused.
    pub fn is_unreachable(&self) -> bool {
        self.lost
    }

    /// How many times all connections to it have been reset.
    pub fn connection_resets(&self) -> u64 {
        self.resets
    }

    /// The total of a name, if it has one: in a split what it will be when that is over. Calls that still
    /// wait for their turn are not in it.
    pub fn total(&self, now: Time, name: &[u8]) -> Option<Amount> {
        self.joined(now).total(now, name)
    }

    /// All names that have not expired and their totals, see [`Counter::total`].
    pub fn totals(&self, now: Time) -> BTreeMap<Name, Amount> {
        let whole = self.joined(now);
        whole.totals(now).map(|(name, total)| (name.clone(), total)).collect()
    }

    /// All names that have not expired.
    pub fn names(&self, now: Time) -> Vec<Name> {
        self.totals(now).into_keys().collect()
    }

    /// How many names have not expired.
    pub fn name_count(&self, now: Time) -> usize {
        self.joined(now).totals(now).count()
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn put(&mut self, at: Time, step: Step) {
        let number = self.number();
        self.steps.insert((at, number), step);
    }

    fn settle(&mut self, ticket: CallId, at: Time, end: CallOutcome) {
        self.settled.push(FinishedCall { call: ticket, at, outcome: end });
    }

    fn fails(&self, which: impl Fn(&CounterFault) -> bool) -> bool {
        self.faults.iter().any(|active| which(&active.fault))
    }

    /// Lets faults begin and end up to `now`, and calls have their turns before `bound`: what happens at one
    /// instant goes before the messages that are due then.
    fn run(&mut self, now: Time, bound: Time) {
        loop {
            let step = self.steps.keys().next().map(|(at, _)| *at).filter(|at| *at < bound);
            let shift = self.next_shift().filter(|at| *at <= now);
            match (shift, step) {
                (Some(at), step) if step.is_none_or(|step| at <= step) => self.shift(at),
                (_, Some(_)) => self.step(),
                _ => break,
            }
        }
        self.clock = self.clock.max(now);
        if self.clock >= self.swept.saturating_add(SWEEP) {
            self.sweep();
        }
    }

    fn step(&mut self) {
        let Some(((at, _), step)) = self.steps.pop_first() else { return };
        self.clock = self.clock.max(at);
        match step {
            Step::Turn(call) => self.turn(at, call),
            Step::Answer(ticket, total) => {
                let end = if self.mute() { CallOutcome::NoReply } else { CallOutcome::Replied(total) };
                self.settle(ticket, at, end);
            }
        }
    }

    fn mute(&self) -> bool {
        self.fails(|fault| matches!(fault, CounterFault::Mute | CounterFault::Silent))
    }

    /// A call has its turn.
    fn turn(&mut self, at: Time, call: Call) {
        if self.fails(|fault| matches!(fault, CounterFault::Silent)) {
            return self.settle(call.ticket, at, CallOutcome::Dropped);
        }
        let total = self.side(call.gateway).add(at, &call.name, call.amount, call.keep);
        if self.mute() {
            return self.settle(call.ticket, at, CallOutcome::NoReply);
        }
        let ready = at.saturating_add(self.answer_takes());
        let ready = self.side(call.gateway).answer_at(&call.name, ready);
        self.put(ready, Step::Answer(call.ticket, total));
    }

    fn answer_takes(&mut self) -> Span {
        let slow = self.faults.iter().rev().find_map(|active| match active.fault {
            CounterFault::Slow(from, to) => Some((from, to)),
            _ => None,
        });
        match slow {
            Some((from, to)) => from + self.rng.below(to.saturating_sub(from).saturating_add(1)),
            None => self.call,
        }
    }

    /// The store that a gateway reaches.
    fn side(&mut self, gateway: u32) -> &mut Side {
        let Some(split) = &mut self.split else { return &mut self.whole };
        let group = split.groups.iter().position(|group| group.contains(&(gateway + 1)));
        let part = group.map_or(Part::Alone(gateway), Part::Group);
        split.sides.entry(part).or_insert_with(|| self.whole.clone())
    }

    fn sides(&mut self) -> impl Iterator<Item = &mut Side> {
        let sides = self.split.iter_mut().flat_map(|split| split.sides.values_mut());
        std::iter::once(&mut self.whole).chain(sides)
    }

    /// A split is over: the additions of its sides are summed.
    fn join(&mut self, now: Time) {
        if let Some(split) = self.split.take() {
            split.sides.into_values().for_each(|side| self.whole.merge(now, side));
        }
    }

    fn joined(&self, now: Time) -> Cow<'_, Side> {
        let Some(split) = &self.split else { return Cow::Borrowed(&self.whole) };
        let mut whole = self.whole.clone();
        split.sides.values().for_each(|side| whole.merge(now, side.clone()));
        Cow::Owned(whole)
    }

    /// Another process takes its place: what the old one held goes with it.
    fn forget(&mut self) {
        self.sides().for_each(Side::clear);
        for (_, step) in std::mem::take(&mut self.steps) {
            let (ticket, end) = match step {
                Step::Turn(call) => (call.ticket, CallOutcome::Dropped),
                Step::Answer(ticket, _) => (ticket, CallOutcome::NoReply),
            };
            self.settle(ticket, self.clock, end);
        }
        self.resets += 1;
    }

    fn sweep(&mut self) {
        let now = self.clock;
        self.swept = now;
        self.sides().for_each(|side| side.sweep(now));
    }

    /// When a fault ends, or turns into its other half.
    fn next_shift(&self) -> Option<Time> {
        self.faults.iter().map(|active| active.next_shift(self.clock)).min()
    }

    fn shift(&mut self, at: Time) {
        self.clock = self.clock.max(at);
        let ended = |active: &Active| active.until <= at;
        let joins = |active: &Active| ended(active) && matches!(active.fault, CounterFault::Split(_));
        if self.faults.iter().any(joins) {
            self.join(at);
        }
        self.faults.retain(|active| !ended(active));
        self.look_whether_lost();
    }

    fn look_whether_lost(&mut self) {
        let lost = self.faults.iter().any(|active| active.is_lost(self.clock));
        if lost && !self.lost {
            self.resets += 1;
        }
        self.lost = lost;
    }
}

impl Active {
    fn is_lost(&self, now: Time) -> bool {
        match self.fault {
            CounterFault::Lost => true,
            CounterFault::Flapping(period) => self.turns(now, period) % 2 == 0,
            _ => false,
        }
    }

    /// Turns of a flapping counter that are over.
    fn turns(&self, now: Time, period: Span) -> u64 {
        now.saturating_sub(self.since) / period.max(1)
    }

    fn next_shift(&self, now: Time) -> Time {
        match self.fault {
            CounterFault::Flapping(period) => {
                let turns = self.turns(now, period).saturating_add(1);
                self.since.saturating_add(turns.saturating_mul(period.max(1))).min(self.until)
            }
            _ => self.until,
        }
    }
}
