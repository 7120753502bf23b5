//! Places for records, given again when free, in chunks: so that growth copies nothing and costs no pause.
//! Each place stands in one line at the most, in the order in which it was put there.

/// Places in a chunk.
const CHUNK: usize = 1024;
/// No place.
const NONE: u32 = u32::MAX;

struct Chunk<T> {
    records: Vec<T>,
    /// Of each place the next in its line, or the next free one.
    nexts: Vec<u32>,
}

/// Places in chunks. A free one keeps its last record until it is given again.
pub(crate) struct Slab<T> {
    chunks: Vec<Chunk<T>>,
    free: u32,
}

/// Some places of a slab in a line, first in first out.
#[derive(Debug)]
pub(crate) struct Line {
    first: u32,
    last: u32,
}

impl Default for Line {
    fn default() -> Line {
        Line { first: NONE, last: NONE }
    }
}

impl<T> Slab<T> {
    pub fn new() -> Slab<T> {
        Slab { chunks: Vec::new(), free: NONE }
    }

    /// What a place costs, in bytes.
    pub const fn bytes() -> usize {
        size_of::<T>() + size_of::<u32>()
    }

    /// Places that there are, given or free.
    pub fn len(&self) -> usize {
        self.chunks.last().map_or(0, |last| (self.chunks.len() - 1) * CHUNK + last.records.len())
    }

    pub fn get(&self, place: u32) -> Option<&T> {
        self.chunks.get(place as usize / CHUNK)?.records.get(place as usize % CHUNK)
    }

    pub fn get_mut(&mut self, place: u32) -> Option<&mut T> {
        self.chunks.get_mut(place as usize / CHUNK)?.records.get_mut(place as usize % CHUNK)
    }

    fn next(&mut self, place: u32) -> Option<&mut u32> {
        self.chunks.get_mut(place as usize / CHUNK)?.nexts.get_mut(place as usize % CHUNK)
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.chunks.iter_mut().flat_map(|chunk| &mut chunk.records)
    }

    /// Gives a place to a record.
    pub fn give(&mut self, record: T) -> u32 {
        let given = self.free;
        if let Some(next) = self.next(given) {
            self.free = std::mem::replace(next, NONE);
            if let Some(place) = self.get_mut(given) {
                *place = record;
            }
            return given;
        }
        let new = self.len() as u32;
        if self.chunks.last().is_none_or(|last| last.records.len() == CHUNK) {
            let (records, nexts) = (Vec::with_capacity(CHUNK), Vec::with_capacity(CHUNK));
            self.chunks.push(Chunk { records, nexts });
        }
        if let Some(last) = self.chunks.last_mut() {
            last.records.push(record);
            last.nexts.push(NONE);
        }
        new
    }

    /// A place that stands in no line is free from now on, and its record is this.
    pub fn take_back(&mut self, place: u32, record: T) {
        let free = self.free;
        if let Some(given) = self.get_mut(place) {
            *given = record;
            self.next(place).into_iter().for_each(|next| *next = free);
            self.free = place;
        }
    }

    /// Puts a place that stands in no line at the end of this one.
    pub fn push(&mut self, line: &mut Line, place: u32) {
        match self.next(line.last) {
            Some(next) => *next = place,
            None => line.first = place,
        }
        line.last = place;
    }

    /// The first of a line leaves it.
    pub fn pop(&mut self, line: &mut Line) -> Option<u32> {
        let first = line.first;
        line.first = std::mem::replace(self.next(first)?, NONE);
        if line.first == NONE {
            line.last = NONE;
        }
        Some(first)
    }

    /// The first of a line.
    pub fn first(&self, line: &Line) -> Option<&T> {
        self.get(line.first)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn places_are_given_again_and_lines_keep_their_order() {
        let mut slab = Slab::new();
        let (mut even, mut odd) = (Line::default(), Line::default());
        for n in 0..3 * CHUNK as u32 {
            let place = slab.give(n);
            assert_eq!(place, n);
            slab.push(if n % 2 == 0 { &mut even } else { &mut odd }, place);
        }
        for n in (0..3 * CHUNK as u32).step_by(2) {
            assert_eq!(slab.first(&even), Some(&n));
            let place = slab.pop(&mut even).unwrap();
            slab.take_back(place, 0);
        }
        assert_eq!((slab.pop(&mut even), slab.len()), (None, 3 * CHUNK));
        // Free places come again, the latest first, and no other grows.
        let again = slab.give(7);
        assert_eq!(again, 3 * CHUNK as u32 - 2);
        slab.push(&mut even, again);
        assert_eq!((slab.first(&even), slab.first(&odd), slab.len()), (Some(&7), Some(&1), 3 * CHUNK));
        assert_eq!(std::iter::from_fn(|| slab.pop(&mut odd)).count(), 3 * CHUNK / 2);
    }
}
