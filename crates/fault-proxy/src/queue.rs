//! Bytes on their way through a link, each piece with the time at which it may pass.

use std::collections::VecDeque;

use cluster_model::Time;

/// Pieces that are told apart; more share the time of the last, so that single bytes cost no more than this.
const PIECES: usize = 4096;
/// An empty queue gives its memory back beyond this.
const KEEP: usize = 4096;

/// A queue of bytes in order. It has no bound of its own: who fills it looks at [`Queue::len`] first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    bytes: VecDeque<u8>,
    /// Ends of pieces that are not due yet, as bytes since the beginning, and when they are.
    pieces: VecDeque<(u64, Time)>,
    taken: u64,
    /// Bytes since the beginning that are due.
    due: u64,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Adds bytes that may pass at a time, or with those before them if that is later.
    pub fn push(&mut self, bytes: &[u8], due: Time) {
        self.bytes.extend(bytes);
        let end = self.taken + self.bytes.len() as u64;
        let full = self.pieces.len() >= PIECES;
        match self.pieces.back_mut() {
            Some(last) if full || last.1 == due => *last = (end, due.max(last.1)),
            _ => self.pieces.push_back((end, due)),
        }
    }

    /// How many bytes may pass now.
    pub fn ready(&mut self, now: Time) -> usize {
        while let Some((end, _)) = self.pieces.front().filter(|(_, due)| *due <= now) {
            self.due = *end;
            self.pieces.pop_front();
        }
        self.due.saturating_sub(self.taken) as usize
    }

    /// When the first piece that is not due will be.
    pub fn next_due(&self) -> Option<Time> {
        self.pieces.front().map(|(_, due)| *due)
    }

    /// The first bytes, up to so many, as far as they lie in one piece of memory.
    pub fn front(&self, most: usize) -> &[u8] {
        let (front, _) = self.bytes.as_slices();
        &front[..front.len().min(most)]
    }

    /// Takes the first bytes away.
    pub fn pop(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.taken += count as u64;
        if self.bytes.is_empty() && self.bytes.capacity() > KEEP {
            self.bytes = VecDeque::new();
        }
    }

    /// Loses all; how much it was.
    pub fn clear(&mut self) -> usize {
        let lost = self.bytes.len();
        *self = Queue { taken: self.taken, due: self.taken, ..Queue::default() };
        lost
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn single_bytes_that_are_late_cost_a_bounded_list() {
        let mut queue = Queue::default();
        for at in 0..10 * PIECES as Time {
            queue.push(b"x", at);
        }
        assert_eq!((queue.len(), queue.pieces.len()), (10 * PIECES, PIECES));
        assert_eq!(queue.ready(7), 8, "the first are as they were");
        assert_eq!(queue.ready(10 * PIECES as Time - 2), PIECES - 1, "the others wait for the last");
        assert_eq!(queue.ready(10 * PIECES as Time - 1), 10 * PIECES);
    }
}
