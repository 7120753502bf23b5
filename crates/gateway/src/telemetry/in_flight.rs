//! Counts the requests without a final answer, so that a shutdown can wait for them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// The number of requests without a final answer; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightGauge(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    count: AtomicUsize,
    is_zero: Notify,
}

impl InFlightGauge {
    /// Counts an accepted request.
    pub fn increment(&self) {
        self.0.count.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops counting a request that has received its final answer.
    pub fn decrement(&self) {
        if self.0.count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.is_zero.notify_waiters();
        }
    }

    /// Waits until every request has its final answer.
    pub async fn wait_until_zero(&self) {
        loop {
            let is_zero = self.0.is_zero.notified();
            if self.0.count.load(Ordering::Relaxed) == 0 {
                return;
            }
            is_zero.await;
        }
    }
}
