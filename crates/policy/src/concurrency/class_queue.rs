//! Queue of the requests of one class that wait for a concurrency slot.
//!
//! Each route has a separate queue, so that a pool without free slots does not delay other pools. Sequence
//! numbers preserve the order across routes.

use crate::api::{RequestId, Route};
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// Number of route queues above which empty ones are removed. Up to this number they are kept, so that
/// frequent routes do not allocate a queue for each request.
const MAX_EMPTY_QUEUES: usize = 16;

/// Queued requests of one route, with their sequence numbers in the class.
#[derive(Default)]
struct RouteQueue {
    requests: VecDeque<(i64, RequestId)>,
    /// No host was found for the first request, so there is none for the others either until hosts change.
    is_blocked: bool,
}

impl RouteQueue {
    fn is_ready(&self) -> bool {
        !self.requests.is_empty() && !self.is_blocked
    }
}

/// Requests of a class that are queued for a slot, in order.
#[derive(Default)]
pub(crate) struct ClassQueue {
    routes: BTreeMap<Route, RouteQueue>,
    len: usize,
    blocked_routes: usize,
    first_sequence: i64,
    last_sequence: i64,
}

impl ClassQueue {
    /// Queues a request behind all others.
    pub fn push_back(&mut self, route: Route, id: RequestId) {
        self.last_sequence += 1;
        self.len += 1;
        self.routes.entry(route).or_default().requests.push_back((self.last_sequence, id));
    }

    /// Queues a request before all others.
    pub fn push_front(&mut self, route: Route, id: RequestId) {
        self.first_sequence -= 1;
        self.len += 1;
        self.routes.entry(route).or_default().requests.push_front((self.first_sequence, id));
    }

    /// Removes and returns the first request whose route has a free slot and is not blocked.
    pub fn pop(&mut self, has_free_slot: impl Fn(&Route) -> bool) -> Option<RequestId> {
        let ready = self.routes.iter().filter(|(route, queue)| queue.is_ready() && has_free_slot(route));
        let first = ready.min_by_key(|(_, queue)| queue.requests.front().map(|(sequence, _)| *sequence));
        let route = *first?.0;
        let queue = self.routes.get_mut(&route)?;
        let (_, id) = queue.requests.pop_front()?;
        if queue.requests.is_empty() && self.routes.len() > MAX_EMPTY_QUEUES {
            self.routes.remove(&route);
        }
        self.len -= 1;
        Some(id)
    }

    /// Returns whether a request is queued whose route has a free slot and is not blocked.
    pub fn any_ready(&self, has_free_slot: impl Fn(&Route) -> bool) -> bool {
        self.len > 0 && self.routes.iter().any(|(route, queue)| queue.is_ready() && has_free_slot(route))
    }

    /// Skips a route's requests until [`ClassQueue::unblock`], because no host was found for the first of
    /// them.
    pub fn block(&mut self, route: Route) {
        let Some(queue) = self.routes.get_mut(&route) else { return };
        if !queue.is_blocked {
            queue.is_blocked = true;
            self.blocked_routes += 1;
        }
    }

    /// Unblocks all routes, because hosts have changed.
    pub fn unblock(&mut self) {
        if self.blocked_routes == 0 {
            return;
        }
        self.blocked_routes = 0;
        for queue in self.routes.values_mut() {
            queue.is_blocked = false;
        }
    }

    /// Returns whether any route is blocked.
    pub fn is_blocked(&self) -> bool {
        self.blocked_routes > 0
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
