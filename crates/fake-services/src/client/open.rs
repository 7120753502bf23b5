//! Counts what has not ended yet.

use super::lock;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

#[derive(Default)]
struct Count {
    open: Mutex<usize>,
    none: Notify,
}

/// Tells when all holds have been dropped.
#[derive(Clone, Default)]
pub(super) struct Open(Arc<Count>);

impl Open {
    /// Something that is open until this is dropped.
    pub(super) fn hold(&self) -> Hold {
        Hold::new(self.0.clone())
    }

    /// Waits until nothing is open.
    pub(super) async fn ended(&self) {
        loop {
            // Made before the look, so that an end in between is not missed.
            let none = self.0.none.notified();
            if *lock(&self.0.open) == 0 {
                return;
            }
            none.await;
        }
    }
}

/// Something that has not ended yet.
pub(super) struct Hold(Arc<Count>);

impl Hold {
    fn new(count: Arc<Count>) -> Hold {
        *lock(&count.open) += 1;
        Hold(count)
    }
}

impl Clone for Hold {
    fn clone(&self) -> Hold {
        Hold::new(self.0.clone())
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut open = lock(&self.0.open);
        *open -= 1;
        if *open == 0 {
            self.0.none.notify_waiters();
        }
    }
}
