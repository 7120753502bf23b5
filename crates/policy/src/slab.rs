//! A slab: records in numbered slots that are reused when free.
//!
//! Slots are allocated in chunks, so that growth copies nothing and causes no pause. Each slot stands in at
//! most one [`SlotQueue`], a linked list through the slab, first in first out.

#[cfg(test)]
mod tests;

/// Slots in a chunk.
const CHUNK: usize = 1024;
/// The index that stands for no slot.
const NONE: u32 = u32::MAX;

struct Chunk<T> {
    records: Vec<T>,
    /// For each slot the next one in its queue, or in the list of free slots.
    nexts: Vec<u32>,
}

/// Records in slots. A free slot keeps its last record until it is reused.
pub(crate) struct Slab<T> {
    chunks: Vec<Chunk<T>>,
    first_free: u32,
}

/// Some slots of a slab in a queue, first in first out.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    first: u32,
    last: u32,
}

impl Default for SlotQueue {
    fn default() -> SlotQueue {
        SlotQueue { first: NONE, last: NONE }
    }
}

impl<T> Slab<T> {
    /// Returns a slab without slots.
    pub fn new() -> Slab<T> {
        Slab { chunks: Vec::new(), first_free: NONE }
    }

    /// Returns the memory that one slot takes, in bytes.
    pub const fn slot_bytes() -> usize {
        size_of::<T>() + size_of::<u32>()
    }

    /// Returns the number of slots, in use or free.
    pub fn len(&self) -> usize {
        self.chunks.last().map_or(0, |last| (self.chunks.len() - 1) * CHUNK + last.records.len())
    }

    /// Returns the record in a slot.
    pub fn get(&self, slot: u32) -> Option<&T> {
        self.chunks.get(slot as usize / CHUNK)?.records.get(slot as usize % CHUNK)
    }

    /// Returns the record in a slot, to be changed.
    pub fn get_mut(&mut self, slot: u32) -> Option<&mut T> {
        self.chunks.get_mut(slot as usize / CHUNK)?.records.get_mut(slot as usize % CHUNK)
    }

    fn next_mut(&mut self, slot: u32) -> Option<&mut u32> {
        self.chunks.get_mut(slot as usize / CHUNK)?.nexts.get_mut(slot as usize % CHUNK)
    }

    /// Iterates over the records of all slots, in use or free.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.chunks.iter_mut().flat_map(|chunk| &mut chunk.records)
    }

    /// Stores a record and returns its slot: the slot that was freed last, else a new one.
    pub fn insert(&mut self, record: T) -> u32 {
        let free = self.first_free;
        let Some(next) = self.next_mut(free) else { return self.append(record) };
        self.first_free = std::mem::replace(next, NONE);
        if let Some(stored) = self.get_mut(free) {
            *stored = record;
        }
        free
    }

    fn append(&mut self, record: T) -> u32 {
        let slot = self.len() as u32;
        if self.chunks.last().is_none_or(|last| last.records.len() == CHUNK) {
            self.chunks.push(Chunk { records: Vec::with_capacity(CHUNK), nexts: Vec::with_capacity(CHUNK) });
        }
        if let Some(last) = self.chunks.last_mut() {
            last.records.push(record);
            last.nexts.push(NONE);
        }
        slot
    }

    /// Frees a slot that stands in no queue, and leaves this record in it.
    pub fn remove(&mut self, slot: u32, vacant: T) {
        let first_free = self.first_free;
        let Some(stored) = self.get_mut(slot) else { return };
        *stored = vacant;
        if let Some(next) = self.next_mut(slot) {
            *next = first_free;
        }
        self.first_free = slot;
    }

    /// Appends a slot that stands in no queue to this one.
    pub fn push_back(&mut self, queue: &mut SlotQueue, slot: u32) {
        match self.next_mut(queue.last) {
            Some(next) => *next = slot,
            None => queue.first = slot,
        }
        queue.last = slot;
    }

    /// Removes and returns the first slot of a queue.
    pub fn pop_front(&mut self, queue: &mut SlotQueue) -> Option<u32> {
        let first = queue.first;
        queue.first = std::mem::replace(self.next_mut(first)?, NONE);
        if queue.first == NONE {
            queue.last = NONE;
        }
        Some(first)
    }

    /// Returns the record in the first slot of a queue.
    pub fn front(&self, queue: &SlotQueue) -> Option<&T> {
        self.get(queue.first)
    }
}
