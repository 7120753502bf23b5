//! Pools and routes: the hosts that requests are forwarded to, full and empty pools, and concurrency limits
//! of routes.
mod common;
use common::*;
use policy::api::*;
use std::collections::BTreeSet;

const A: u64 = 1;
const B: u64 = 2;

fn settings_without_quota() -> Settings {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    settings.max_retry_after = Some(800 * MS);
    settings
}

fn member(id: u64, pools: u64) -> HostEntry {
    HostEntry { pools, ..entry(id) }
}

fn route_to(pools: u64) -> Route {
    Route { pools, ..Route::default() }
}

/// Returns a gateway with two hosts in pool A, two in pool B and one in no pool.
fn gateway_with_two_pools() -> TestGateway {
    let mut gateway = TestGateway::new(settings_without_quota(), 0);
    let hosts = vec![member(1, A), member(2, A), member(3, B), member(4, B), member(5, 0)];
    gateway.report_host_list(HostListKind::Full, hosts);
    gateway
}

fn request(gateway: &mut TestGateway, id: u64, class: usize, route: Route) -> Vec<Action> {
    let request = Request {
        id: RequestId(id),
        class,
        customer: CustomerId(id),
        units: 1.0,
        route,
        ..Request::default()
    };
    gateway.report(Event::Request(Request { remaining: 4_000 * MS, set_size: 2, ..request }))
}

/// Sends more requests than there are slots, and returns the hosts of those that are forwarded.
fn fill_slots(gateway: &mut TestGateway, from: u64, route: Route) -> Vec<HostId> {
    (from..from + 100)
        .flat_map(|id| attempts_in(&request(gateway, id, 0, route)))
        .map(|(_, host)| host)
        .collect()
}

#[test]
fn requests_are_forwarded_to_their_pool_only() {
    let mut gateway = gateway_with_two_pools();
    for id in 1..60 {
        let pools = [A, B, A | B, 0][id as usize % 4];
        let (_, host) = attempts_in(&request(&mut gateway, id, 0, route_to(pools)))[0];
        let members: &[u64] = match pools {
            A => &[1, 2],
            B => &[3, 4],
            0 => &[1, 2, 3, 4, 5],
            _ => &[1, 2, 3, 4],
        };
        assert!(members.contains(&host.0), "{pools}: {host:?}");
        gateway.end_attempt(id, 0, host, Outcome::Ok);
    }
}

#[test]
fn a_host_in_two_pools_serves_both_and_its_slots_count_in_both() {
    let gateway_with_shared_host = || {
        let mut gateway = gateway_with_two_pools();
        gateway.report_host_list(HostListKind::Full, vec![member(1, A | B), member(2, B)]);
        gateway
    };
    assert_eq!(
        fill_slots(&mut gateway_with_shared_host(), 1, route_to(A)),
        [HostId(1), HostId(1)],
        "one host in A: ceil(4 / 3) slots"
    );
    let mut gateway = gateway_with_shared_host();
    let served = |id: u64| {
        let (_, host) = attempts_in(&request(&mut gateway, id, 0, route_to(B)))[0];
        gateway.end_attempt(id, 0, host, Outcome::Ok);
        host.0
    };
    let both: BTreeSet<u64> = (500..530).map(served).collect();
    assert_eq!(both, BTreeSet::from([1, 2]));
}

#[test]
fn a_retry_stays_in_the_pool() {
    let mut gateway = gateway_with_two_pools();
    for id in 1..20 {
        let (_, first) = attempts_in(&request(&mut gateway, id, 0, route_to(A)))[0];
        let retries = attempts_in(&gateway.end_attempt(id, 0, first, Outcome::Error));
        for (_, host) in retries {
            assert!([1, 2].contains(&host.0) && host != first, "{host:?} after {first:?}");
            gateway.end_attempt(id, 1, host, Outcome::Ok);
        }
        gateway.advance(1_000 * MS);
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_is_not_forwarded_to_the_fallback() {
    let mut gateway = gateway_with_two_pools();
    let route = Route { fallback: B, ..route_to(A) };
    let (_, host) = attempts_in(&request(&mut gateway, 1, 1, route))[0];
    gateway.report_host_list(
        HostListKind::Delta,
        vec![member(5, 0), HostEntry { state: HostState::Gone, ..member(1, A) }],
    );
    gateway.report_host_list(HostListKind::Delta, vec![HostEntry { state: HostState::Gone, ..member(2, A) }]);
    let actions = gateway.end_attempt(1, 0, host, Outcome::ConnectionReset);
    assert!(is_failed(&actions, 1) && attempts_in(&actions).is_empty());
}

#[test]
fn the_fallback_takes_over_only_while_no_host_of_the_pool_is_ready() {
    let mut gateway = gateway_with_two_pools();
    let route = Route { fallback: B, ..route_to(A) };
    let forwarded_to = |gateway: &mut TestGateway, id| {
        let (_, host) = attempts_in(&request(gateway, id, 0, route))[0];
        gateway.end_attempt(id, 0, host, Outcome::Ok);
        host.0
    };
    gateway.report_host_list(
        HostListKind::Delta,
        vec![HostEntry { state: HostState::Draining, ..member(1, A) }],
    );
    assert!((1..10).all(|id| forwarded_to(&mut gateway, id) == 2), "one ready host remains");
    gateway.report_host_list(
        HostListKind::Delta,
        vec![HostEntry { state: HostState::Draining, ..member(2, A) }],
    );
    assert!((10..20).all(|id| [3, 4].contains(&forwarded_to(&mut gateway, id))));
    gateway.report_host_list(HostListKind::Delta, vec![member(1, A)]);
    assert!((20..30).all(|id| forwarded_to(&mut gateway, id) == 1), "the host is ready again");
}

#[test]
fn a_request_that_no_host_can_serve_is_rejected_at_once_with_retry_after() {
    let mut gateway = gateway_with_two_pools();
    gateway.report_host_list(HostListKind::Full, vec![member(3, B)]);
    let actions = request(&mut gateway, 1, 0, route_to(A));
    let rejection =
        Action::Reject { id: RequestId(1), retry_after: Some(800 * MS), reason: RejectReason::NoHost };
    assert!(actions.contains(&rejection), "{actions:?}");
    // Before the first endpoint list no pool is known to be empty, so the request waits.
    let mut new = TestGateway::just_started(settings_without_quota(), 0);
    assert!(!is_rejected(&request(&mut new, 1, 0, route_to(A)), 1));
    assert_eq!(
        attempts_in(&new.report_host_list(HostListKind::Full, vec![member(1, A)])),
        [(RequestId(1), HostId(1))]
    );
}

#[test]
fn a_full_pool_does_not_delay_another() {
    let mut gateway = gateway_with_two_pools();
    // Each host has four slots, which three gateways share: ceil(2 x 4 / 3) slots in A.
    let sent = fill_slots(&mut gateway, 1, route_to(A));
    assert_eq!(sent.len(), 3, "{sent:?}");
    let (_, other) = attempts_in(&request(&mut gateway, 500, 0, route_to(B)))[0];
    assert!([3, 4].contains(&other.0));
    // A response releases the slot for the request that has waited longest.
    let next = attempts_in(&gateway.end_attempt(1, 0, sent[0], Outcome::Ok));
    assert_eq!(next.iter().map(|(id, _)| id.0).collect::<Vec<_>>(), [4]);
}

#[test]
fn hosts_that_leave_a_pool_get_no_new_attempts_for_it() {
    let mut gateway = gateway_with_two_pools();
    gateway.report_host_list(HostListKind::Delta, vec![member(1, B)]);
    let sent: Vec<_> = (1..20)
        .map(|id| {
            let (_, host) = attempts_in(&request(&mut gateway, id, 0, route_to(A)))[0];
            gateway.end_attempt(id, 0, host, Outcome::Ok);
            host.0
        })
        .collect();
    assert!(sent.iter().all(|host| *host == 2), "{sent:?}");
    // The pool no longer has the slots of that host, only those of the remaining one.
    assert_eq!(fill_slots(&mut gateway, 100, route_to(A)).len(), 2);
}

#[test]
fn a_route_has_no_more_attempts_in_flight_than_its_limit() {
    let mut gateway = gateway_with_two_pools();
    let limited =
        |route, max_in_flight| Route { limit: Some(RouteLimit { route, max_in_flight }), ..route_to(0) };
    let sent = fill_slots(&mut gateway, 1, limited(7, 2));
    assert_eq!(sent.len(), 2, "{sent:?}");
    assert_eq!(fill_slots(&mut gateway, 200, limited(8, 1)).len(), 1, "another route has its own limit");
    assert!(
        !attempts_in(&request(&mut gateway, 400, 0, route_to(0))).is_empty(),
        "a route without a limit is not affected"
    );
    let next = attempts_in(&gateway.end_attempt(1, 0, sent[0], Outcome::Ok));
    assert_eq!(next.iter().map(|(id, _)| id.0).collect::<Vec<_>>(), [3]);
    // A failed attempt no longer counts either, and its retry counts towards the limit.
    let retries = attempts_in(&gateway.end_attempt(2, 0, sent[1], Outcome::Error));
    assert_eq!(retries.len(), 1, "{retries:?}");
}

#[test]
fn a_limit_of_zero_rejects_at_once() {
    let mut gateway = gateway_with_two_pools();
    let zero_limit = Route { limit: Some(RouteLimit { route: 1, max_in_flight: 0 }), ..route_to(A) };
    assert!(is_rejected(&request(&mut gateway, 1, 0, zero_limit), 1));
}

#[test]
fn an_overdue_attempt_releases_its_slot_and_still_counts_towards_the_limit() {
    let with_overdue_attempts = |limit| {
        let mut gateway = TestGateway::new(Settings { may_hedge: true, ..settings_without_quota() }, 0);
        gateway.report_host_list(HostListKind::Full, vec![member(1, A), member(2, A), member(3, B)]);
        let sent = fill_slots(&mut gateway, 1, Route { limit, ..route_to(A) });
        // The attempts get no response within the objective, and queued requests are rejected.
        gateway.advance(1_100 * MS);
        (sent.len(), attempts_in(&request(&mut gateway, 500, 0, Route { limit, ..route_to(A) })).len())
    };
    assert_eq!(
        with_overdue_attempts(None),
        (3, 1),
        "a new request is forwarded in place of the overdue attempts"
    );
    assert_eq!(
        with_overdue_attempts(Some(RouteLimit { route: 1, max_in_flight: 2 })),
        (2, 0),
        "the overdue attempts still count towards the limit"
    );
}

#[test]
fn completed_requests_of_many_routes_leave_all_slots_available() {
    let mut gateway = gateway_with_two_pools();
    for id in 1..2_000 {
        let route = Route {
            limit: Some(RouteLimit { route: id as u32, max_in_flight: 3 }),
            ..route_to([A, B][id as usize % 2])
        };
        let (_, host) = attempts_in(&request(&mut gateway, id, 0, route))[0];
        gateway.end_attempt(id, 0, host, Outcome::Ok);
    }
    // If the counts of attempts were wrong, fewer slots would be available.
    assert_eq!(fill_slots(&mut gateway, 5_000, route_to(A)).len(), 3);
}
