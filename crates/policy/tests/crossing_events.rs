//! Events that cross: in either order the decisions and the remaining state are the same.
mod common;
use common::*;
use policy::api::*;
use std::collections::BTreeMap;

/// A single gateway, which alone adds to the counter.
struct One {
    g: Harness,
    totals: BTreeMap<CounterKey, f64>,
}

impl One {
    fn new(change: impl FnOnce(&mut Settings), hosts: u64) -> One {
        let mut settings = Settings { gateways: 1, ..settings() };
        change(&mut settings);
        One { g: Harness::new(settings, hosts), totals: BTreeMap::new() }
    }

    /// Includes the replies of the counter, and what follows from them.
    fn on(&mut self, event: Event) -> Vec<Action> {
        let mut all = self.g.on(event);
        let mut next = 0;
        while let Some((name, amount)) = calls_in(&all).get(next).copied() {
            next += 1;
            let total = self.totals.entry(name).or_default();
            *total += amount;
            let total = *total;
            all.extend(self.g.counter_replied(name, Outcome::Ok, total));
        }
        all
    }

    fn ask(&mut self, id: u64, customer: u64, units: f64) -> Vec<Action> {
        let (id, customer, remaining) = (RequestId(id), CustomerId(customer), 4_000 * MS);
        self.on(Event::Request(Request { id, customer, remaining, units, set_size: 1, ..Request::default() }))
    }

    fn pass(&mut self, seconds: u64) {
        for _ in 0..50 * seconds {
            self.g.now += 20 * MS;
            self.on(Event::TimerExpired { token: 0 });
        }
    }

    fn end(
        &mut self,
        (id, host): (RequestId, HostId),
        attempt: u32,
        outcome: Outcome,
        units: f64,
    ) -> Vec<Action> {
        let (elapsed, closed, true_units) = (50 * MS, outcome == Outcome::Ok, Some(units));
        let (used, report) = (None, None);
        self.on(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            host,
            outcome,
            elapsed,
            is_request_closed: closed,
            quota_used: used,
            actual_units: true_units,
            report,
        }))
    }
}

#[test]
fn a_client_that_disconnects_while_its_request_waits_for_units_leaves_no_state() {
    let mut one = One::new(|_| {}, 30);
    let before = one.g.policy.record_count();
    // The last units are reserved for the other class: in the end one request waits for the token bucket to
    // fill.
    let waits = (1..40).find(|id| {
        let actions = one.ask(*id, 7, 2.0);
        attempts_in(&actions).into_iter().for_each(|attempt| drop(one.end(attempt, 0, Outcome::Ok, 2.0)));
        attempts_in(&actions).is_empty() && !is_rejected(&actions, *id) && calls_in(&actions).is_empty()
    });
    one.on(Event::ClientDisconnected { id: RequestId(waits.expect("one waits")) });
    one.pass(150);
    assert_eq!(one.g.policy.record_count(), before, "its customer is kept for good");
}

#[test]
fn actual_units_are_settled_once_even_if_two_attempts_respond() {
    // Returns the units that a customer can still get after a request that was estimated at one unit and cost
    // six.
    let left_after = |second: Outcome| {
        let mut one = One::new(|s| (s.may_hedge, s.may_cancel) = (true, false), 4);
        for id in 100..120 {
            let attempt = attempts_in(&one.ask(id, id, 1.0))[0];
            one.end(attempt, 0, Outcome::Ok, 1.0);
        }
        let first = attempts_in(&one.ask(1, 7, 1.0))[0];
        let hangs = (0..50).find_map(|_| {
            one.g.now += 20 * MS;
            attempts_in(&one.on(Event::TimerExpired { token: 0 })).pop()
        });
        let beside = hangs.expect("another attempt beside the first");
        one.end(first, 0, Outcome::Ok, 6.0);
        one.end(beside, 1, second, 6.0);
        (2..60).filter(|id| !attempts_in(&one.ask(*id, 7, 1.0)).is_empty()).count()
    };
    assert_eq!(left_after(Outcome::Ok), left_after(Outcome::Cancelled));
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_where_its_first_attempt_ran_even_if_that_host_restarted_elsewhere(
) {
    for (scope, elsewhere) in [(DedupScope::Cell, (0, 2)), (DedupScope::Zone, (1, 1))] {
        for ends_first in [false, true] {
            let keyed = |s: &mut Settings| {
                s.classes[0].idempotency = Idempotency::WithKey(scope, 3_000 * MS);
                s.plans[0].rate = 0.0;
            };
            let mut one = One::new(keyed, 0);
            let at = |id, (zone, cell)| HostEntry { zone, cell, ..entry(id) };
            let entries = vec![at(1, (0, 1)), at(2, (0, 1)), at(3, elsewhere), at(4, elsewhere)];
            one.on(Event::HostList { kind: HostListKind::Full, entries });
            // The first two are in one place, and so are the others.
            let first =
                (1..).find_map(|id| attempts_in(&one.ask(id, 7, 1.0)).pop().filter(|(_, host)| host.0 < 3));
            let first = first.expect("one is forwarded there");
            let entries = vec![HostEntry { started_at: one.g.now, ..at(first.1 .0, elsewhere) }];
            let moved = Event::HostList { kind: HostListKind::Delta, entries };
            let again = if ends_first {
                let again = one.end(first, 0, Outcome::Error, 1.0);
                one.on(moved);
                again
            } else {
                one.on(moved);
                one.end(first, 0, Outcome::Error, 1.0)
            };
            let to: Vec<u64> = attempts_in(&again).iter().map(|(_, host)| host.0).collect();
            assert_eq!(to, [3 - first.1 .0], "{scope:?}, its end reported first: {ends_first}");
        }
    }
}

/// Returns the units that a ceiling of 3 a second and 8 at once admits in one moment, after a lease of 4 that
/// was not used.
#[test]
fn units_leased_long_ago_do_not_add_to_a_full_token_bucket() {
    let ceiling = |s: &mut Settings| {
        s.classes.truncate(1);
        s.plans = vec![Plan { ceiling_rate: 3.0, ceiling_burst: 8.0, ..Plan::default() }];
    };
    let mut one = One::new(ceiling, 30);
    let (name, amount) = calls_in(&one.g.request(1, 0, 7, 4.0))[0];
    one.on(Event::ClientDisconnected { id: RequestId(1) });
    one.totals.insert(name, amount);
    one.g.counter_replied(name, Outcome::Ok, amount);
    one.pass(10);
    let units: f64 = (2..40)
        .map(|id| (id, if id % 2 == 0 { 4.0 } else { 1.0 }))
        .filter(|(id, units)| !attempts_in(&one.ask(*id, 7, *units)).is_empty())
        .map(|(_, units)| units)
        .sum();
    assert!(units <= 8.0, "{units}");
}

#[test]
fn a_customer_removed_to_free_memory_does_not_get_its_ceiling_twice() {
    let ceiling = |s: &mut Settings| {
        s.has_counter = false;
        s.customer_bytes = 4_000;
        s.plans = vec![Plan { ceiling_rate: 3.0, ceiling_burst: 8.0, ..Plan::default() }];
    };
    let mut one = One::new(ceiling, 30);
    let mut units = 0.0;
    // Far more customers than fit into memory come in between.
    for id in 1..200 {
        for (request, host) in attempts_in(&one.ask(id, if id % 10 == 1 { 7 } else { id }, 2.0)) {
            units += if id % 10 == 1 { 2.0 } else { 0.0 };
            one.end((request, host), 0, Outcome::Ok, 2.0);
        }
    }
    assert!(units > 0.0 && units <= 8.0, "{units}");
}

/// The state of a request when its client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stands {
    /// The request waits for the counter.
    Units,
    /// The request waits for a slot.
    Queued,
    /// Its attempt is in flight, and ends like this after the disconnection is reported.
    Out(Outcome),
}

/// Returns the attempts that others get at once, and the requests of the customer that are admitted, after
/// some of its clients have disconnected.
fn after_leaving(stands: Option<Stands>) -> (usize, usize) {
    // A ceiling: a quota could have a full token bucket and an unused lease at once.
    let ceiling = Plan { ceiling_rate: 10.0, ceiling_burst: 20.0, weight_factor: 1.0, ..Plan::default() };
    let settings = |s: &mut Settings| {
        s.classes.truncate(1);
        s.plans = vec![ceiling];
    };
    let mut one = One::new(settings, 4);
    // A customer that was removed has no known total.
    one.ask(99, 7, 1.0);
    one.pass(10);
    // Others use all slots, four at each host.
    let busy = if stands == Some(Stands::Queued) { 16 } else { 0 };
    let others: Vec<_> = (500..500 + busy).flat_map(|id| attempts_in(&one.ask(id, id, 1.0))).collect();
    // Units that come too late for one request are available to the next.
    let leave = match stands {
        None => 0,
        Some(Stands::Units) => 1,
        Some(_) => 12,
    };
    for id in 1..=leave {
        let actions = match stands {
            Some(Stands::Units) => one.g.request(id, 0, 7, 1.0),
            _ => one.ask(id, 7, 1.0),
        };
        let sent = attempts_in(&actions).pop();
        assert_eq!(sent.is_some(), matches!(stands, Some(Stands::Out(_))), "{stands:?}");
        one.on(Event::ClientDisconnected { id: RequestId(id) });
        if let (Some(Stands::Out(outcome)), Some(attempt)) = (stands, sent) {
            one.end(attempt, 0, outcome, 1.0);
        }
        for (name, amount) in calls_in(&actions).into_iter().filter(|_| stands == Some(Stands::Units)) {
            *one.totals.entry(name).or_default() += amount;
            let total = one.totals[&name];
            one.g.counter_replied(name, Outcome::Ok, total);
        }
    }
    for attempt in others {
        one.end(attempt, 0, Outcome::Ok, 1.0);
    }
    let out: Vec<_> = (600..).map_while(|id| attempts_in(&one.ask(id, id, 1.0)).pop()).collect();
    one.on(Event::ClientDisconnected { id: RequestId(600 + out.len() as u64) });
    out.iter().for_each(|attempt| drop(one.end(*attempt, 0, Outcome::Ok, 1.0)));
    let gets_in = |id: &u64| {
        let sent = attempts_in(&one.ask(*id, 7, 1.0)).pop();
        sent.map(|attempt| one.end(attempt, 0, Outcome::Ok, 1.0)).is_some()
    };
    (out.len(), (700..760).filter(gets_in).count())
}

#[test]
fn clients_that_disconnect_release_slots_queues_and_units() {
    use Outcome::*;
    let (slots, units) = after_leaving(None);
    assert!(units > 12, "{units}");
    let stands = [Stands::Units, Stands::Queued].into_iter();
    for stands in stands
        .chain([NotSent, ConnectFailed, Rejected, Cancelled, Ok, Timeout, ConnectionReset].map(Stands::Out))
    {
        let (slots_then, units_then) = after_leaving(Some(stands));
        assert_eq!(slots_then, slots, "{stands:?}");
        // A request that reached a host has spent its units.
        let elapsed = matches!(stands, Stands::Out(Rejected | Cancelled | Ok | Timeout | ConnectionReset));
        let left = if elapsed { units - 12..=units - 11 } else { units..=units };
        assert!(left.contains(&units_then), "{stands:?}: {units_then} units, where else {units}");
    }
}
