//! Things under keys. A key is never mistaken for that of a later thing in the same place.

/// Where a thing stands, and the how-manieth in that place it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    index: u32,
    generation: u32,
}

struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Things under keys, in the order of their places.
pub(crate) struct Slab<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Slab<T> {
    pub(crate) const fn new() -> Self {
        Slab { slots: Vec::new(), free: Vec::new() }
    }

    /// Puts in what `make` gives for its key.
    pub(crate) fn insert_with(&mut self, make: impl FnOnce(Key) -> T) -> Key {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, value: None });
            self.slots.len() as u32 - 1
        });
        let slot = &mut self.slots[index as usize];
        let key = Key { index, generation: slot.generation };
        slot.value = Some(make(key));
        key
    }

    pub(crate) fn insert(&mut self, value: T) -> Key {
        self.insert_with(|_| value)
    }

    pub(crate) fn get(&self, key: Key) -> Option<&T> {
        self.slots.get(key.index as usize).filter(|slot| slot.generation == key.generation)?.value.as_ref()
    }

    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize).filter(|slot| slot.generation == key.generation)?;
        slot.value.as_mut()
    }

    pub(crate) fn remove(&mut self, key: Key) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize).filter(|slot| slot.generation == key.generation)?;
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// All that are in.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = Key { index: index as u32, generation: slot.generation };
            slot.value.as_ref().map(|value| (key, value))
        })
    }

    /// Keys of those that are meant.
    pub(crate) fn keys_of(&self, meant: impl Fn(&T) -> bool) -> Vec<Key> {
        self.iter().filter(|(_, value)| meant(value)).map(|(key, _)| key).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_does_not_reach_what_came_later_to_its_place() {
        let mut slab = Slab::new();
        let first = slab.insert("first");
        assert_eq!(slab.remove(first), Some("first"));
        let second = slab.insert("second");
        assert_eq!(first.index, second.index);
        assert_eq!(slab.get(first), None);
        assert_eq!(slab.get_mut(first), None);
        assert_eq!(slab.remove(first), None);
        assert_eq!(slab.get(second), Some(&"second"));
    }
}
