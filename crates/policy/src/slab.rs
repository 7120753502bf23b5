//! A slab allocator: records in numbered slots that are reused once freed.
//!
//! Slots are allocated in chunks, so that growth copies no records and causes no latency spike. Each slot is
//! in at most one [`SlotQueue`], a FIFO linked list through the slab.

#[cfg(test)]
mod tests;

/// Number of slots per chunk.
const CHUNK_SLOTS: usize = 1024;
/// Sentinel index that means no slot.
const NO_SLOT: u32 = u32::MAX;

struct Chunk<T> {
    records: Vec<T>,
    /// For each slot, the next slot in its queue or in the free list.
    nexts: Vec<u32>,
}

/// A slab of records. A free slot keeps the record passed to [`Slab::remove`] until it is reused.
pub(crate) struct Slab<T> {
    chunks: Vec<Chunk<T>>,
    first_free: u32,
}

/// A FIFO queue of slots of a slab.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    first: u32,
    last: u32,
}

impl Default for SlotQueue {
    fn default() -> SlotQueue {
        SlotQueue { first: NO_SLOT, last: NO_SLOT }
    }
}

impl<T> Slab<T> {
    /// Returns a slab without slots.
    pub fn new() -> Slab<T> {
        Slab { chunks: Vec::new(), first_free: NO_SLOT }
    }

    /// Returns the memory used per slot, in bytes.
    pub const fn slot_bytes() -> usize {
        size_of::<T>() + size_of::<u32>()
    }

    /// Returns the number of slots, in use or free.
    pub fn len(&self) -> usize {
        self.chunks.last().map_or(0, |last| (self.chunks.len() - 1) * CHUNK_SLOTS + last.records.len())
    }

    /// Returns the record in a slot.
    pub fn get(&self, slot: u32) -> Option<&T> {
        self.chunks.get(slot as usize / CHUNK_SLOTS)?.records.get(slot as usize % CHUNK_SLOTS)
    }

    /// Returns a mutable reference to the record in a slot.
    pub fn get_mut(&mut self, slot: u32) -> Option<&mut T> {
        self.chunks.get_mut(slot as usize / CHUNK_SLOTS)?.records.get_mut(slot as usize % CHUNK_SLOTS)
    }

    fn next_mut(&mut self, slot: u32) -> Option<&mut u32> {
        self.chunks.get_mut(slot as usize / CHUNK_SLOTS)?.nexts.get_mut(slot as usize % CHUNK_SLOTS)
    }

    /// Iterates over the records of all slots, in use or free.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.chunks.iter_mut().flat_map(|chunk| &mut chunk.records)
    }

    /// Stores a record and returns its slot: the most recently freed slot, or a new one.
    pub fn insert(&mut self, record: T) -> u32 {
        let free = self.first_free;
        let Some(next) = self.next_mut(free) else { return self.append(record) };
        self.first_free = std::mem::replace(next, NO_SLOT);
        if let Some(stored) = self.get_mut(free) {
            *stored = record;
        }
        free
    }

    fn append(&mut self, record: T) -> u32 {
        let slot = self.len() as u32;
        if self.chunks.last().is_none_or(|last| last.records.len() == CHUNK_SLOTS) {
            self.chunks.push(Chunk {
                records: Vec::with_capacity(CHUNK_SLOTS),
                nexts: Vec::with_capacity(CHUNK_SLOTS),
            });
        }
        if let Some(last) = self.chunks.last_mut() {
            last.records.push(record);
            last.nexts.push(NO_SLOT);
        }
        slot
    }

    /// Frees a slot that is in no queue, and overwrites its record with `vacant`.
    pub fn remove(&mut self, slot: u32, vacant: T) {
        let first_free = self.first_free;
        let Some(stored) = self.get_mut(slot) else { return };
        *stored = vacant;
        if let Some(next) = self.next_mut(slot) {
            *next = first_free;
        }
        self.first_free = slot;
    }

    /// Appends a slot that is in no queue to `queue`.
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
        queue.first = std::mem::replace(self.next_mut(first)?, NO_SLOT);
        if queue.first == NO_SLOT {
            queue.last = NO_SLOT;
        }
        Some(first)
    }

    /// Returns the record in the first slot of a queue.
    pub fn front(&self, queue: &SlotQueue) -> Option<&T> {
        self.get(queue.first)
    }
}
