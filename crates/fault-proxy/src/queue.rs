//! Bytes on their way through a link, each piece with the time at which it may pass.

use std::collections::VecDeque;

use cluster_model::Time;

/// Pieces that are told apart; more share the time of the last, so that single bytes cost no more than this.
const MAX_PIECES: usize = 4096;
/// An empty queue gives its memory back beyond this.
const MAX_IDLE_CAPACITY: usize = 4096;

/// A queue of bytes in order. It has no bound of its own: who fills it looks at [`Queue::len`] first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    bytes: VecDeque<u8>,
    /// Ends of pieces that are not due yet, as bytes since the beginning, and when they are.
    pieces: VecDeque<(u64, Time)>,
    popped: u64,
    /// Bytes since the beginning that are due.
    ready: u64,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Adds bytes that may pass at a time, or with those before them if that is later.
    pub fn push(&mut self, bytes: &[u8], ready_at: Time) {
        self.bytes.extend(bytes);
        let end = self.popped + self.bytes.len() as u64;
        let full = self.pieces.len() >= MAX_PIECES;
        match self.pieces.back_mut() {
            Some(last) if full || last.1 == ready_at => *last = (end, ready_at.max(last.1)),
            _ => self.pieces.push_back((end, ready_at)),
        }
    }

    /// How many bytes may pass now.
    pub fn ready(&mut self, now: Time) -> usize {
        while let Some((end, _)) = self.pieces.front().filter(|(_, ready_at)| *ready_at <= now) {
            self.ready = *end;
            self.pieces.pop_front();
        }
        self.ready.saturating_sub(self.popped) as usize
    }

    /// When the first piece that is not due will be.
    pub fn next_ready_at(&self) -> Option<Time> {
        self.pieces.front().map(|(_, ready_at)| *ready_at)
    }

    /// The first bytes, up to so many, as far as they lie in one piece of memory.
    pub fn front(&self, most: usize) -> &[u8] {
        let (front, _) = self.bytes.as_slices();
        &front[..front.len().min(most)]
    }

    /// Takes the first bytes away.
    pub fn pop(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.popped += count as u64;
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_IDLE_CAPACITY {
            self.bytes = VecDeque::new();
        }
    }

    /// Loses all; how much it was.
    pub fn clear(&mut self) -> usize {
        let lost = self.bytes.len();
        *self = Queue { popped: self.popped, ready: self.popped, ..Queue::default() };
        lost
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn single_bytes_that_are_late_cost_a_bounded_list() {
        let mut queue = Queue::default();
        for at in 0..10 * MAX_PIECES as Time {
            queue.push(b"x", at);
        }
        assert_eq!((queue.len(), queue.pieces.len()), (10 * MAX_PIECES, MAX_PIECES));
        assert_eq!(queue.ready(7), 8, "the first are as they were");
        assert_eq!(queue.ready(10 * MAX_PIECES as Time - 2), MAX_PIECES - 1, "the others wait for the last");
        assert_eq!(queue.ready(10 * MAX_PIECES as Time - 1), 10 * MAX_PIECES);
    }
}
