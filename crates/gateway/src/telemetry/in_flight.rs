//! How many requests have no final answer yet: for the gateway a number, for whoever stops it something to wait for.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// Requests without an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unanswered(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    count: AtomicUsize,
    none: Notify,
}

impl Unanswered {
    /// One more.
    pub fn taken(&self) {
        self.0.count.fetch_add(1, Ordering::Relaxed);
    }

    /// One less.
    pub fn answered(&self) {
        if self.0.count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.none.notify_waiters();
        }
    }

    /// Until there is none.
    pub async fn until_none(&self) {
        loop {
            let none = self.0.none.notified();
            if self.0.count.load(Ordering::Relaxed) == 0 {
                return;
            }
            none.await;
        }
    }
}
