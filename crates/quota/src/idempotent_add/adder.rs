//! Adds of one member to one number of the counter. Each add carries a contribution mark, so that a later total
//! proves whether an add without an answer was carried out.

use super::contribution_marks::{ContributionMark, MarkScheme, MemberCounters};

#[cfg(test)]
mod tests;

/// Consecutive answers with the expected own counter that are required before an unexpected one proves a reset:
/// gateways of an older version add without marks and change the counters at random.
const CONSISTENT_ANSWERS_REQUIRED: u8 = 3;
/// Units by which a total may be below the sum of the own adds because of rounding.
const ROUNDING_UNITS: f64 = 0.5;

/// An add that is in flight or in doubt.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Add {
    units: f64,
    /// `None` for an add that no later total can prove.
    mark: Option<ContributionMark>,
}

impl Add {
    /// A call that adds nothing and only reads the total.
    const READ: Add = Add { units: 0.0, mark: None };

    /// Returns whether a total shows this add; `own_counter` is the member's counter in it.
    fn is_proven_by(&self, own_counter: Option<u8>) -> bool {
        self.mark.is_some_and(|mark| Some(mark.counter) == own_counter)
    }
}

/// What the answer to a call shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AddOutcome {
    /// Units that all members have added.
    pub(crate) total_units: f64,
    /// Own units that are newly known to be added: those of this call, and of an earlier call that was in doubt.
    pub confirmed_units: f64,
    /// Counters of all members; `None` if the total shows none.
    pub(crate) member_counters: Option<MemberCounters>,
    /// Own units that the number contained before the counter was reset and lost in the reset.
    pub lost_units: f64,
}

/// Adds units to one number of the counter on behalf of one member, at most one call at a time.
///
/// Numbers begin at zero in each epoch. An add without an answer is *in doubt*: until a later total proves whether it
/// was carried out, calls only read.
#[derive(Clone, Debug, Default)]
pub struct IdempotentAdder {
    /// `None` if the number has no room for marks.
    scheme: Option<MarkScheme>,
    member: u32,
    epoch: u64,
    /// Own counter as found in the latest total; zero when an epoch begins. `None` in an epoch that began before this
    /// member started: an earlier process may have left any value. Adds before the first answer carry no mark then,
    /// since a mark on a full counter would overflow into the next member's counter.
    own_counter: Option<u8>,
    /// Own units that are known to be added in this epoch.
    added_units: f64,
    in_flight: Option<Add>,
    in_doubt: Option<Add>,
    /// Adds of this epoch that the total which settled them did not prove: each may still have been carried out later.
    unproven_adds: u8,
    /// Consecutive answers with the expected own counter. `None` after a reset in this epoch, from which on a counter
    /// that wraps to zero changes the counters of other members.
    consistent_answers: Option<u8>,
}

/// The compact state of an adder without a call in flight or in doubt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CompactAdder {
    epoch: u32,
    added_units: f32,
    own_counter: Option<u8>,
    unproven_adds: u8,
    consistent_answers: Option<u8>,
}

impl CompactAdder {
    /// Returns whether own units are known to be added in this epoch.
    pub(crate) fn has_added_in(&self, epoch: u64) -> bool {
        u64::from(self.epoch) == epoch && self.added_units > 0.0
    }
}

impl IdempotentAdder {
    /// Returns the adder of the member with this index among `members`, in an epoch that began before the member
    /// started. Totals do not exceed `max_total` units.
    pub fn new(member: u32, members: u32, max_total: f64, epoch: u64) -> IdempotentAdder {
        let scheme = MarkScheme::new(members, max_total).filter(|_| member < members);
        IdempotentAdder {
            scheme,
            member,
            epoch,
            own_counter: None,
            added_units: 0.0,
            in_flight: None,
            in_doubt: None,
            unproven_adds: 0,
            consistent_answers: Some(0),
        }
    }

    /// Returns whether a call has no answer yet.
    pub fn is_call_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns whether a later total will settle the next add if that gets no answer.
    pub(crate) fn can_prove_next_add(&self) -> bool {
        self.scheme.is_none() || self.own_counter.is_some()
    }

    /// Returns the scheme of the number's marks; `None` if it has none.
    pub fn mark_scheme(&self) -> Option<MarkScheme> {
        self.scheme
    }

    /// Returns the units of the add that is in doubt.
    pub(crate) fn in_doubt_units(&self) -> f64 {
        self.in_doubt.map_or(0.0, |add| add.units)
    }

    /// Returns whether own units are known to be added in this epoch.
    pub fn has_added_in(&self, epoch: u64) -> bool {
        epoch == self.epoch && self.added_units > 0.0
    }

    /// Starts a call that adds these units, rounded up to an integer, and returns the amount to send.
    ///
    /// The call only reads while an earlier add is in doubt. It also only reads if a reset of the counter is suspected
    /// and the own counter is full: wrapping to zero on a number that no longer contains the own counter would change
    /// the counter of another member.
    pub fn start_call(&mut self, epoch: u64, units: f64, reset_suspected: bool) -> f64 {
        self.enter_epoch(epoch);
        let add = self.next_add(units, reset_suspected);
        self.in_flight = Some(add);
        add.units + add.mark.map_or(0.0, |mark| mark.fraction)
    }

    fn next_add(&self, units: f64, reset_suspected: bool) -> Add {
        if self.in_doubt.is_some() {
            return Add::READ;
        }
        let Some(scheme) = self.scheme else {
            return Add { units, mark: None };
        };
        if reset_suspected && self.is_own_counter_full(scheme) {
            return Add::READ;
        }
        let marked_counter = self.own_counter.filter(|_| units > 0.0);
        let mark = marked_counter.map(|counter| scheme.next_mark(self.member, counter));
        Add { units: units.max(0.0).ceil(), mark }
    }

    fn is_own_counter_full(&self, scheme: MarkScheme) -> bool {
        self.own_counter.is_some_and(|counter| u32::from(counter) + 1 >= scheme.base())
    }

    /// Switches to a new number if the epoch has changed. Whether an add in doubt was carried out remains unknown.
    fn enter_epoch(&mut self, epoch: u64) {
        if epoch == self.epoch {
            return;
        }
        self.epoch = epoch;
        self.own_counter = Some(0);
        self.added_units = 0.0;
        self.in_doubt = None;
        self.unproven_adds = 0;
        self.consistent_answers = Some(0);
    }

    /// Completes the call in flight with its total, in the epoch in which the call was started. `reset_suspected`: the
    /// counter is known to have been reset since the latest total.
    pub fn complete_call(&mut self, epoch: u64, total: f64, reset_suspected: bool) -> AddOutcome {
        let marked_total = self.scheme.map(|scheme| scheme.decode(total));
        let total_units = marked_total.map_or(total, |marked| marked.units);
        let member_counters = marked_total.and_then(|marked| marked.counters);
        let answered = self.in_flight.take();
        let answered_units = answered.map_or(0.0, |add| add.units);
        if epoch != self.epoch {
            let confirmed_units = answered_units;
            return AddOutcome { total_units, confirmed_units, member_counters, lost_units: 0.0 };
        }
        let found_counter = member_counters.map(|counters| counters.get(self.member));
        let proven = self.settle_add_in_doubt(found_counter);
        let confirmed_units = answered_units + proven.map_or(0.0, |add| add.units);
        let latest_mark = proven.or(answered).and_then(|add| add.mark);
        let expected_counter = latest_mark.map(|mark| mark.counter).or(self.own_counter);
        // A total below the sum of the own adds proves a reset; if others have added enough since, the own counter
        // does.
        let was_reset = total_units + ROUNDING_UNITS < self.added_units + confirmed_units
            || self.detect_reset(expected_counter, found_counter, reset_suspected);
        if was_reset {
            self.consistent_answers = None;
        }
        let lost_units = if was_reset { self.added_units + confirmed_units - answered_units } else { 0.0 };
        self.added_units += confirmed_units - lost_units;
        self.own_counter = found_counter.or(expected_counter);
        AddOutcome { total_units, confirmed_units, member_counters, lost_units }
    }

    /// Settles the add in doubt, and returns it if the own counter in a total proves that it was carried out.
    fn settle_add_in_doubt(&mut self, found_counter: Option<u8>) -> Option<Add> {
        let add = self.in_doubt.take()?;
        if add.is_proven_by(found_counter) {
            return Some(add);
        }
        self.unproven_adds = self.unproven_adds.saturating_add(1);
        None
    }

    /// Returns whether the own counter in a total is impossible on a number that was not reset.
    fn detect_reset(&mut self, expected: Option<u8>, found: Option<u8>, reset_suspected: bool) -> bool {
        let (Some(expected), Some(found), Some(scheme)) = (expected, found, self.scheme) else {
            return false;
        };
        let base = scheme.base();
        let ahead = (u32::from(found) + base - u32::from(expected) % base) % base;
        if ahead <= u32::from(self.unproven_adds) {
            self.consistent_answers = self.consistent_answers.map(|answers| answers.saturating_add(1));
            return false;
        }
        let earlier_answers = self.consistent_answers;
        self.consistent_answers = earlier_answers.map(|_| 0);
        reset_suspected || earlier_answers.is_some_and(|answers| answers >= CONSISTENT_ANSWERS_REQUIRED)
    }

    /// Ends the call in flight without an answer. `may_have_counted`: the add may have been carried out.
    pub fn fail_call(&mut self, may_have_counted: bool) {
        let Some(add) = self.in_flight.take() else { return };
        if may_have_counted && add.units > 0.0 && self.in_doubt.is_none() {
            self.in_doubt = Some(add);
        }
    }

    /// Returns the compact state; `None` while a call is in flight or in doubt, or if 32 bits cannot hold the added
    /// units exactly. They usually can, since added units are integers with few digits.
    pub(crate) fn compact(&self) -> Option<CompactAdder> {
        let epoch = u32::try_from(self.epoch).ok()?;
        let added_units = self.added_units as f32;
        let is_idle = self.in_flight.is_none() && self.in_doubt.is_none();
        if !is_idle || f64::from(added_units) != self.added_units {
            return None;
        }
        Some(CompactAdder {
            epoch,
            added_units,
            own_counter: self.own_counter,
            unproven_adds: self.unproven_adds,
            consistent_answers: self.consistent_answers,
        })
    }

    /// Returns this new adder, continued from the compact state of an earlier one.
    pub(crate) fn restored(self, state: CompactAdder) -> IdempotentAdder {
        IdempotentAdder {
            epoch: state.epoch.into(),
            added_units: state.added_units.into(),
            own_counter: state.own_counter,
            unproven_adds: state.unproven_adds,
            consistent_answers: state.consistent_answers,
            ..self
        }
    }
}
