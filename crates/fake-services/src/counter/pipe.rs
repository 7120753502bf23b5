//! What is owed on one connection: answers go out in the order of the commands.

use bytes::{Bytes, BytesMut};
use cluster_model::{Span, Time, SECOND};
use std::collections::VecDeque;

/// A connection on which nothing is owed is closed when it has stood idle for this long.
const IDLE: Span = 10 * SECOND;
/// With so many commands unanswered nothing more is read.
const MAX_OWED: usize = 1024;

/// A call whose fate is to be written down once its answer is written, or is not.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Settled {
    /// Amount.
    pub amount: f64,
    /// It was added.
    pub added: bool,
    /// The answer has the total.
    pub total: bool,
    /// It was turned away.
    pub refused: bool,
    /// When it came.
    pub came: Time,
}

impl Settled {
    /// A call that came then, as long as nothing is said of it.
    pub fn unsaid(amount: f64, added: bool, came: Time) -> Settled {
        Settled { amount, added, total: false, refused: false, came }
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    /// Its bytes.
    pub text: Bytes,
    /// The call it belongs to, if it was one.
    pub call: Option<Settled>,
    /// The connection is of no further use after it.
    pub spoils: bool,
}

#[derive(Debug)]
enum Slot {
    /// The answer is to come.
    Waiting,
    /// No answer will ever come: nothing behind it can be said either.
    Never,
    Ready(Answer),
}

/// Answers on their way out.
#[derive(Debug, Default)]
pub(super) struct Batch {
    /// What is still to be written.
    pub bytes: BytesMut,
    /// The calls that they belong to.
    pub calls: Vec<Settled>,
}

/// A connection.
#[derive(Debug)]
pub(super) struct Pipe {
    /// From where.
    pub gateway: u32,
    /// It is to be reset.
    pub doomed: bool,
    slots: VecDeque<Slot>,
    /// Number of the first slot.
    first: u64,
    waiting: usize,
    spoilt: bool,
    /// When something last passed.
    passed: Time,
}

impl Pipe {
    /// Opened now.
    pub fn new(now: Time, gateway: u32) -> Pipe {
        Pipe {
            gateway,
            doomed: false,
            slots: VecDeque::new(),
            first: 0,
            waiting: 0,
            spoilt: false,
            passed: now,
        }
    }

    /// A command has come; gives its number. `None`: the connection is of no further use.
    pub fn owe(&mut self, now: Time) -> Option<u64> {
        self.passed = now;
        if self.spoilt {
            return None;
        }
        self.slots.push_back(Slot::Waiting);
        self.waiting += 1;
        Some(self.first + self.slots.len() as u64 - 1)
    }

    /// The answer of a command; `None`: there never will be one.
    pub fn settle(&mut self, number: u64, answer: Option<Answer>) {
        let index = number.checked_sub(self.first).and_then(|index| usize::try_from(index).ok());
        let Some(slot) = index.and_then(|index| self.slots.get_mut(index)) else { return };
        *slot = answer.map_or(Slot::Never, Slot::Ready);
        self.waiting -= 1;
    }

    /// The answers whose turn it is.
    pub fn take(&mut self) -> Batch {
        let mut batch = Batch::default();
        while !self.spoilt && matches!(self.slots.front(), Some(Slot::Ready(_))) {
            if let Some(Slot::Ready(answer)) = self.slots.pop_front() {
                self.first += 1;
                self.spoilt = answer.spoils;
                batch.bytes.extend_from_slice(&answer.text);
                batch.calls.extend(answer.call);
            }
        }
        batch
    }

    /// Bytes have gone out.
    pub fn wrote(&mut self, now: Time) {
        self.passed = now;
    }

    /// Whether no more commands are to be read for now.
    pub fn is_full(&self) -> bool {
        self.slots.len() >= MAX_OWED
    }

    /// Whether no answer is to come any more.
    pub fn is_settled(&self) -> bool {
        self.waiting == 0
    }

    /// When it has stood idle for too long. Calls are no reason to close, however long they take.
    pub fn idle_at(&self) -> Option<Time> {
        self.is_settled().then(|| self.passed.saturating_add(IDLE))
    }

    /// The calls whose answers will not be written now that the connection has ended.
    pub fn unsaid(self) -> impl Iterator<Item = Settled> {
        self.slots.into_iter().filter_map(|slot| match slot {
            Slot::Ready(answer) => answer.call,
            _ => None,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn answer(text: &'static str) -> Option<Answer> {
        Some(Answer { text: Bytes::from_static(text.as_bytes()), call: None, spoils: false })
    }

    #[test]
    fn answers_go_out_in_the_order_of_the_commands() {
        let mut pipe = Pipe::new(0, 0);
        let numbers: Vec<u64> = (0..3).filter_map(|_| pipe.owe(0)).collect();
        pipe.settle(numbers[1], answer("b"));
        assert!(pipe.take().bytes.is_empty());
        pipe.settle(numbers[0], answer("a"));
        assert_eq!(pipe.take().bytes, "ab");
        pipe.settle(numbers[2], answer("c"));
        assert_eq!(pipe.take().bytes, "c");
    }

    #[test]
    fn behind_an_answer_that_never_comes_nothing_is_said() {
        let mut pipe = Pipe::new(0, 0);
        let numbers: Vec<u64> = (0..2).filter_map(|_| pipe.owe(0)).collect();
        pipe.settle(numbers[1], answer("b"));
        pipe.settle(numbers[0], None);
        assert!(pipe.take().bytes.is_empty());
        assert!(pipe.owe(0).is_some(), "calls are taken in all the same");
    }

    #[test]
    fn a_spoilt_connection_is_of_no_further_use() {
        let mut pipe = Pipe::new(0, 0);
        let numbers: Vec<u64> = (0..2).filter_map(|_| pipe.owe(0)).collect();
        let noise = Answer { text: Bytes::from_static(b"?"), call: None, spoils: true };
        pipe.settle(numbers[0], Some(noise));
        pipe.settle(numbers[1], answer("b"));
        assert_eq!(pipe.take().bytes, "?");
        assert!(pipe.take().bytes.is_empty());
        assert_eq!(pipe.owe(0), None);
    }

    #[test]
    fn a_connection_is_idle_ten_seconds_after_it_owes_nothing() {
        let mut pipe = Pipe::new(SECOND, 0);
        assert_eq!(pipe.idle_at(), Some(11 * SECOND));
        let number = pipe.owe(5 * SECOND).expect("of use");
        assert_eq!(pipe.idle_at(), None, "a call takes as long as it takes");
        pipe.settle(number, answer("a"));
        pipe.wrote(20 * SECOND);
        assert_eq!(pipe.idle_at(), Some(30 * SECOND));
        pipe.owe(21 * SECOND).into_iter().for_each(|number| pipe.settle(number, None));
        assert_eq!(pipe.idle_at(), Some(31 * SECOND), "nor is there reason to wait for what never comes");
    }

    #[test]
    fn what_may_be_owed_is_bounded() {
        let mut pipe = Pipe::new(0, 0);
        (0..MAX_OWED).for_each(|_| {
            pipe.owe(0);
        });
        assert!(pipe.is_full());
    }
}
