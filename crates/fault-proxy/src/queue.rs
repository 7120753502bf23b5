//! Queue of bytes in a link; each piece has the time at which it may be forwarded.

use std::collections::VecDeque;

use cluster_model::Time;

/// Maximum number of pieces with a time of their own. Further pieces share the time of the last one, which
/// bounds the memory used when bytes arrive one by one.
const MAX_PIECES: usize = 4096;
/// Capacity in bytes above which an empty queue frees its memory.
const MAX_IDLE_CAPACITY: usize = 4096;

/// FIFO queue of bytes. The queue itself is unbounded; the caller checks [`Queue::len`] before pushing.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    bytes: VecDeque<u8>,
    /// Ends of pieces that are not ready yet, as byte offsets since the beginning, and when they become
    /// ready.
    pieces: VecDeque<(u64, Time)>,
    popped: u64,
    /// Offset since the beginning up to which bytes are ready.
    ready: u64,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends bytes that become ready at a time, or together with the bytes before them if that is later.
    pub fn push(&mut self, bytes: &[u8], ready_at: Time) {
        self.bytes.extend(bytes);
        let end = self.popped + self.bytes.len() as u64;
        let full = self.pieces.len() >= MAX_PIECES;
        match self.pieces.back_mut() {
            Some(last) if full || last.1 == ready_at => *last = (end, ready_at.max(last.1)),
            _ => self.pieces.push_back((end, ready_at)),
        }
    }

    /// Returns how many bytes are ready.
    pub fn ready(&mut self, now: Time) -> usize {
        while let Some((end, _)) = self.pieces.front().filter(|(_, ready_at)| *ready_at <= now) {
            self.ready = *end;
            self.pieces.pop_front();
        }
        self.ready.saturating_sub(self.popped) as usize
    }

    /// Returns when the first piece that is not ready becomes ready.
    pub fn next_ready_at(&self) -> Option<Time> {
        self.pieces.front().map(|(_, ready_at)| *ready_at)
    }

    /// Returns at most `most` of the first bytes, as far as they are contiguous in memory.
    pub fn front(&self, most: usize) -> &[u8] {
        let (front, _) = self.bytes.as_slices();
        &front[..front.len().min(most)]
    }

    /// Removes the first bytes.
    pub fn pop(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.popped += count as u64;
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_IDLE_CAPACITY {
            self.bytes = VecDeque::new();
        }
    }

    /// Discards all bytes and returns their number.
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
    fn single_delayed_bytes_use_a_bounded_number_of_pieces() {
        let mut queue = Queue::default();
        for at in 0..10 * MAX_PIECES as Time {
            queue.push(b"x", at);
        }
        assert_eq!((queue.len(), queue.pieces.len()), (10 * MAX_PIECES, MAX_PIECES));
        assert_eq!(queue.ready(7), 8, "the first pieces keep their times");
        assert_eq!(
            queue.ready(10 * MAX_PIECES as Time - 2),
            MAX_PIECES - 1,
            "the others share the time of the last"
        );
        assert_eq!(queue.ready(10 * MAX_PIECES as Time - 1), 10 * MAX_PIECES);
    }
}
