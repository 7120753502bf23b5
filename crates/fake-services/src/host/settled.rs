//! Which requests have had their first good answer.

use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

/// The oldest beyond so many are forgotten: far more than any site has out at once.
const MOST: usize = 1 << 16;

/// Requests whose true units have been told. All hosts of a site share it, since units are told once: with a
/// request's first good answer, wherever that was made.
#[derive(Clone, Debug, Default)]
pub struct Settled(Arc<Mutex<Known>>);

#[derive(Debug, Default)]
struct Known {
    ids: BTreeSet<u64>,
    order: VecDeque<u64>,
}

impl Settled {
    /// Whether this request's units are still to be told.
    pub(super) fn is_open(&self, id: u64) -> bool {
        !self.0.lock().unwrap_or_else(PoisonError::into_inner).ids.contains(&id)
    }

    /// They have been told.
    pub(super) fn close(&self, id: u64) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if known.ids.insert(id) {
            known.order.push_back(id);
        }
        if known.order.len() > MOST {
            if let Some(oldest) = known.order.pop_front() {
                known.ids.remove(&oldest);
            }
        }
    }
}
