//! Checks that the module's state matches the requests, hosts and calls of the test gateway, after each event
//! and at the end of a run.

use super::*;
use crate::attempts::request::RequestState;
use crate::tests::steps::ROUTES;
use std::collections::BTreeSet;

impl TestGateway {
    /// Compares the module's state with that of the test gateway.
    pub(super) fn check_state(&self) {
        let known: BTreeSet<RequestId> = self.policy.requests.keys().copied().collect();
        assert!(known.iter().eq(self.tracked.keys()), "requests in flight: {known:?}");
        self.check_slots();
        self.check_hosts();
        self.check_customers();
        assert!(self.policy.counter.pending_calls.len() <= self.calls.len());
        assert!(!self.timers.is_empty(), "no wake-up is scheduled");
    }

    fn check_slots(&self) {
        let policy = &self.policy;
        for (class, class_slots) in policy.concurrency.classes.iter().enumerate() {
            let of_class = || policy.requests.values().filter(|request| request.class == class);
            let slots = of_class().flat_map(|request| &request.attempts);
            let slots = slots.filter(|attempt| attempt.occupied_pools.is_some()).count();
            let queued = of_class().filter(|request| request.is_queued()).count();
            assert_eq!(
                (class_slots.in_use, class_slots.waiting()),
                (slots, queued as f64),
                "slots in use, and requests that wait for a slot"
            );
        }
    }

    fn check_hosts(&self) {
        for (id, entry) in &self.hosts {
            let attempts = self.tracked.values().flat_map(TrackedRequest::in_flight);
            let in_flight = attempts.filter(|attempt| attempt.host == *id).count();
            let host = self.policy.hosts.get(*id);
            let known_in_flight = host.map_or(0, |host| host.in_flight) as usize;
            assert_eq!(known_in_flight, in_flight, "attempts in flight at a host");
            assert!(host.is_some() || entry.state != HostState::Ready);
        }
    }

    fn check_customers(&self) {
        for id in 0..4 {
            let customer = CustomerId(id);
            let requests_in = |is_in_state: fn(RequestState) -> bool| -> BTreeSet<RequestId> {
                let requests = self.policy.requests.iter().filter(move |(_, request)| {
                    request.is_counted_by_customer
                        && request.customer == customer
                        && is_in_state(request.state)
                });
                requests.map(|(id, _)| *id).collect()
            };
            let Some(record) = self.policy.customers.get(customer) else {
                assert!(requests_in(|_| true).is_empty(), "a customer with requests in flight is unknown");
                continue;
            };
            let is_admitted = |state| !matches!(state, RequestState::AwaitingUnits | RequestState::Closed);
            let admitted = requests_in(is_admitted).len();
            let in_flight = requests_in(|_| true).len();
            assert_eq!((record.in_flight as usize, record.admitted as usize), (in_flight, admitted));
            let waiting: BTreeSet<RequestId> = record.waiting.iter().copied().collect();
            assert_eq!(waiting.len(), record.waiting.len(), "a request is in the waiting list twice");
            let awaiting_units = requests_in(|state| state == RequestState::AwaitingUnits);
            assert_eq!(waiting, awaiting_units, "requests that wait for units");
        }
    }

    /// Runs until all requests and calls have ended, and checks that the module has no more state than at the
    /// start.
    pub fn finish(&mut self) {
        let end = self.now + 10_000 * MILLISECOND;
        self.advance_to(end);
        assert!(self.tracked.is_empty(), "requests have no final answer at the end of the run");
        // The counter replies to all calls, and no further requests arrive.
        while self.now < end + 140_000 * MILLISECOND {
            let Some(next) = self.next_expiry() else { break };
            self.now = self.now.max(next.min(self.now + 1_000 * MILLISECOND));
            self.expire();
            while !self.calls.is_empty() {
                self.reply_to_call(0, 4);
            }
        }
        let ready = self.hosts.values().filter(|entry| entry.state == HostState::Ready).count();
        let policy = &self.policy;
        let calls = policy.counter.pending_calls.len();
        assert_eq!((policy.requests.len(), calls, policy.concurrency.unplaced_count()), (0, 0, 0));
        assert_eq!(
            (policy.customers.len(), policy.hosts.len()),
            (0, ready),
            "customers and gone hosts are removed"
        );
        assert_eq!(policy.concurrency.in_use(), 0.0);
        let has_host = |pools| {
            self.hosts.values().any(|entry| entry.state == HostState::Ready && entry.pools & pools != 0)
        };
        for route in ROUTES.iter().filter(|route| route.pools == 0 || has_host(route.pools)) {
            assert!(policy.pools.has_free_slot(route), "{route:?} has a free slot again");
        }
    }
}
