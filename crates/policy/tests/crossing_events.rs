//! Concurrent events, which may be reported in either order: the decisions and the remaining state are the
//! same.
mod common;
use common::*;
use policy::api::*;
use std::collections::BTreeMap;

/// A single gateway with a counter that no other gateway uses.
struct SingleGateway {
    inner: TestGateway,
    totals: BTreeMap<CounterKey, f64>,
}

impl SingleGateway {
    fn new(change: impl FnOnce(&mut Settings), hosts: u64) -> SingleGateway {
        let mut settings = Settings { gateways: 1, ..settings() };
        change(&mut settings);
        SingleGateway { inner: TestGateway::new(settings, hosts), totals: BTreeMap::new() }
    }

    /// Reports an event, and then the counter's reply to each call. Returns all resulting actions.
    fn report(&mut self, event: Event) -> Vec<Action> {
        let mut actions = self.inner.report(event);
        let mut replied = 0;
        while let Some((key, amount)) = counter_calls_in(&actions).get(replied).copied() {
            replied += 1;
            let total = self.totals.entry(key).or_default();
            *total += amount;
            let total = *total;
            actions.extend(self.inner.reply_to_call(key, Outcome::Ok, total));
        }
        actions
    }

    fn send_request(&mut self, id: u64, customer: u64, units: f64) -> Vec<Action> {
        let (id, customer, remaining) = (RequestId(id), CustomerId(customer), 4_000 * MS);
        self.report(Event::Request(Request {
            id,
            customer,
            remaining,
            units,
            set_size: 1,
            ..Request::default()
        }))
    }

    fn advance(&mut self, seconds: u64) {
        for _ in 0..50 * seconds {
            self.inner.now += 20 * MS;
            self.report(Event::TimerExpired { token: 0 });
        }
    }

    fn end_attempt(
        &mut self,
        (id, host): (RequestId, HostId),
        attempt: u32,
        outcome: Outcome,
        units: f64,
    ) -> Vec<Action> {
        let (elapsed, is_request_closed, actual_units) = (50 * MS, outcome == Outcome::Ok, Some(units));
        let (quota_used, report) = (None, None);
        self.report(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            host,
            outcome,
            elapsed,
            is_request_closed,
            quota_used,
            actual_units,
            report,
        }))
    }
}

#[test]
fn a_client_that_disconnects_while_its_request_waits_for_units_leaves_no_state() {
    let mut gateway = SingleGateway::new(|_| {}, 30);
    let before = gateway.inner.policy.record_count();
    // The last units are reserved for the other class, so eventually a request waits until the token bucket
    // has refilled.
    let waiting_id = (1..40).find(|id| {
        let actions = gateway.send_request(*id, 7, 2.0);
        attempts_in(&actions)
            .into_iter()
            .for_each(|attempt| drop(gateway.end_attempt(attempt, 0, Outcome::Ok, 2.0)));
        attempts_in(&actions).is_empty()
            && !is_rejected(&actions, *id)
            && counter_calls_in(&actions).is_empty()
    });
    gateway.report(Event::ClientDisconnected { id: RequestId(waiting_id.expect("a waiting request")) });
    gateway.advance(150);
    assert_eq!(gateway.inner.policy.record_count(), before, "the state of its customer is never removed");
}

#[test]
fn actual_units_are_settled_once_even_if_two_attempts_respond() {
    // Returns the number of units that a customer can still get after a request that was estimated to cost
    // one unit and cost six.
    let available_after = |second: Outcome| {
        let mut gateway = SingleGateway::new(|s| (s.may_hedge, s.may_cancel) = (true, false), 4);
        for id in 100..120 {
            let attempt = attempts_in(&gateway.send_request(id, id, 1.0))[0];
            gateway.end_attempt(attempt, 0, Outcome::Ok, 1.0);
        }
        let first = attempts_in(&gateway.send_request(1, 7, 1.0))[0];
        let hedge = (0..50).find_map(|_| {
            gateway.inner.now += 20 * MS;
            attempts_in(&gateway.report(Event::TimerExpired { token: 0 })).pop()
        });
        let hedged_attempt = hedge.expect("another attempt beside the first");
        gateway.end_attempt(first, 0, Outcome::Ok, 6.0);
        gateway.end_attempt(hedged_attempt, 1, second, 6.0);
        (2..60).filter(|id| !attempts_in(&gateway.send_request(*id, 7, 1.0)).is_empty()).count()
    };
    assert_eq!(available_after(Outcome::Ok), available_after(Outcome::Cancelled));
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_in_its_first_scope_although_the_host_has_moved() {
    for (scope, other_location) in [(DedupScope::Cell, (0, 2)), (DedupScope::Zone, (1, 1))] {
        for ends_first in [false, true] {
            let keyed = |s: &mut Settings| {
                s.classes[0].idempotency = Idempotency::WithKey(scope, 3_000 * MS);
                s.plans[0].rate = 0.0;
            };
            let mut gateway = SingleGateway::new(keyed, 0);
            let at = |id, (zone, cell)| HostEntry { zone, cell, ..entry(id) };
            let entries = vec![at(1, (0, 1)), at(2, (0, 1)), at(3, other_location), at(4, other_location)];
            gateway.report(Event::HostList { kind: HostListKind::Full, entries });
            // Hosts 1 and 2 share their idempotency keys, and so do hosts 3 and 4.
            let first = (1..).find_map(|id| {
                attempts_in(&gateway.send_request(id, 7, 1.0)).pop().filter(|(_, host)| host.0 < 3)
            });
            let first = first.expect("a request forwarded to host 1 or 2");
            let entries = vec![HostEntry { started_at: gateway.inner.now, ..at(first.1 .0, other_location) }];
            let moved = Event::HostList { kind: HostListKind::Delta, entries };
            let retry = if ends_first {
                let retry = gateway.end_attempt(first, 0, Outcome::Error, 1.0);
                gateway.report(moved);
                retry
            } else {
                gateway.report(moved);
                gateway.end_attempt(first, 0, Outcome::Error, 1.0)
            };
            let to: Vec<u64> = attempts_in(&retry).iter().map(|(_, host)| host.0).collect();
            assert_eq!(to, [3 - first.1 .0], "{scope:?}, end of the attempt reported first: {ends_first}");
        }
    }
}

/// A ceiling of 3 units per second with a burst of 8 admits at most 8 units at once, although an earlier
/// lease of 4 units was not used.
#[test]
fn units_leased_long_ago_do_not_add_to_a_full_token_bucket() {
    let ceiling = |s: &mut Settings| {
        s.classes.truncate(1);
        s.plans = vec![Plan { ceiling_rate: 3.0, ceiling_burst: 8.0, ..Plan::default() }];
    };
    let mut gateway = SingleGateway::new(ceiling, 30);
    let (key, amount) = counter_calls_in(&gateway.inner.request(1, 0, 7, 4.0))[0];
    gateway.report(Event::ClientDisconnected { id: RequestId(1) });
    gateway.totals.insert(key, amount);
    gateway.inner.reply_to_call(key, Outcome::Ok, amount);
    gateway.advance(10);
    let units: f64 = (2..40)
        .map(|id| (id, if id % 2 == 0 { 4.0 } else { 1.0 }))
        .filter(|(id, units)| !attempts_in(&gateway.send_request(*id, 7, *units)).is_empty())
        .map(|(_, units)| units)
        .sum();
    assert!(units <= 8.0, "{units}");
}

#[test]
fn a_customer_removed_to_free_memory_does_not_get_a_second_ceiling_burst() {
    let ceiling = |s: &mut Settings| {
        s.has_counter = false;
        s.customer_bytes = 4_000;
        s.plans = vec![Plan { ceiling_rate: 3.0, ceiling_burst: 8.0, ..Plan::default() }];
    };
    let mut gateway = SingleGateway::new(ceiling, 30);
    let mut units = 0.0;
    // In between, requests arrive from far more customers than fit into memory.
    for id in 1..200 {
        for (request, host) in attempts_in(&gateway.send_request(id, if id % 10 == 1 { 7 } else { id }, 2.0))
        {
            units += if id % 10 == 1 { 2.0 } else { 0.0 };
            gateway.end_attempt((request, host), 0, Outcome::Ok, 2.0);
        }
    }
    assert!(units > 0.0 && units <= 8.0, "{units}");
}

/// The state of a request when its client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestState {
    /// The request waits for the counter.
    WaitsForUnits,
    /// The request waits for a slot.
    Queued,
    /// Its attempt is in flight, and ends with this outcome after the disconnection is reported.
    InFlight(Outcome),
}

/// Disconnects some clients of a customer while their requests are in the given state. Returns the number of
/// attempts that can then be in flight for others, and the number of requests of the customer that are
/// admitted.
fn after_disconnections(state: Option<RequestState>) -> (usize, usize) {
    // A ceiling instead of a quota, which could have a full token bucket and an unused lease at the same
    // time.
    let ceiling = Plan { ceiling_rate: 10.0, ceiling_burst: 20.0, weight_factor: 1.0, ..Plan::default() };
    let settings = |s: &mut Settings| {
        s.classes.truncate(1);
        s.plans = vec![ceiling];
    };
    let mut gateway = SingleGateway::new(settings, 4);
    // The state of an idle customer is removed, so that its total is unknown.
    gateway.send_request(99, 7, 1.0);
    gateway.advance(10);
    // Others use all slots, four at each host.
    let busy = if state == Some(RequestState::Queued) { 16 } else { 0 };
    let others: Vec<_> =
        (500..500 + busy).flat_map(|id| attempts_in(&gateway.send_request(id, id, 1.0))).collect();
    // One request is enough: units that arrive too late for it are available to the next.
    let disconnecting = match state {
        None => 0,
        Some(RequestState::WaitsForUnits) => 1,
        Some(_) => 12,
    };
    for id in 1..=disconnecting {
        let actions = match state {
            Some(RequestState::WaitsForUnits) => gateway.inner.request(id, 0, 7, 1.0),
            _ => gateway.send_request(id, 7, 1.0),
        };
        let attempt = attempts_in(&actions).pop();
        assert_eq!(attempt.is_some(), matches!(state, Some(RequestState::InFlight(_))), "{state:?}");
        gateway.report(Event::ClientDisconnected { id: RequestId(id) });
        if let (Some(RequestState::InFlight(outcome)), Some(attempt)) = (state, attempt) {
            gateway.end_attempt(attempt, 0, outcome, 1.0);
        }
        for (key, amount) in
            counter_calls_in(&actions).into_iter().filter(|_| state == Some(RequestState::WaitsForUnits))
        {
            *gateway.totals.entry(key).or_default() += amount;
            let total = gateway.totals[&key];
            gateway.inner.reply_to_call(key, Outcome::Ok, total);
        }
    }
    for attempt in others {
        gateway.end_attempt(attempt, 0, Outcome::Ok, 1.0);
    }
    let attempts: Vec<_> =
        (600..).map_while(|id| attempts_in(&gateway.send_request(id, id, 1.0)).pop()).collect();
    gateway.report(Event::ClientDisconnected { id: RequestId(600 + attempts.len() as u64) });
    attempts.iter().for_each(|attempt| drop(gateway.end_attempt(*attempt, 0, Outcome::Ok, 1.0)));
    let is_admitted = |id: &u64| {
        let attempt = attempts_in(&gateway.send_request(*id, 7, 1.0)).pop();
        attempt.map(|attempt| gateway.end_attempt(attempt, 0, Outcome::Ok, 1.0)).is_some()
    };
    (attempts.len(), (700..760).filter(is_admitted).count())
}

#[test]
fn clients_that_disconnect_release_slots_queues_and_units() {
    use Outcome::*;
    let (slots, units) = after_disconnections(None);
    assert!(units > 12, "{units}");
    let states = [RequestState::WaitsForUnits, RequestState::Queued].into_iter();
    for state in states.chain(
        [NotSent, ConnectFailed, Rejected, Cancelled, Ok, Timeout, ConnectionReset]
            .map(RequestState::InFlight),
    ) {
        let (slots_after, units_after) = after_disconnections(Some(state));
        assert_eq!(slots_after, slots, "{state:?}");
        // A request that reached a host has spent its units.
        let is_spent =
            matches!(state, RequestState::InFlight(Rejected | Cancelled | Ok | Timeout | ConnectionReset));
        let expected = if is_spent { units - 12..=units - 11 } else { units..=units };
        assert!(
            expected.contains(&units_after),
            "{state:?}: {units_after} units, without a disconnection {units}"
        );
    }
}
