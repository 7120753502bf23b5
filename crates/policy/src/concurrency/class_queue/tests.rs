use super::*;
use crate::api::RouteLimit;

fn route(pools: u64) -> Route {
    Route { pools, ..Route::default() }
}

#[test]
fn requests_are_dequeued_in_order_across_routes() {
    let mut queue = ClassQueue::default();
    for (id, pools) in [(1, 4), (2, 1), (3, 4), (4, 2)] {
        queue.push_back(route(pools), RequestId(id));
    }
    queue.push_front(route(2), RequestId(5));
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(|_| true)).map(|id| id.0).collect();
    assert_eq!(order, [5, 1, 2, 3, 4]);
    assert!(queue.is_empty() && !queue.any_ready(|_| true));
}

#[test]
fn a_route_without_a_free_slot_is_skipped_and_keeps_its_requests() {
    let mut queue = ClassQueue::default();
    queue.push_back(route(1), RequestId(1));
    queue.push_back(route(2), RequestId(2));
    assert_eq!(queue.pop(|route| route.pools == 2), Some(RequestId(2)));
    assert_eq!(queue.pop(|route| route.pools == 2), None);
    assert_eq!((queue.len(), queue.pop(|_| true)), (1, Some(RequestId(1))));
}

#[test]
fn a_blocked_route_is_skipped_until_unblocked() {
    let mut queue = ClassQueue::default();
    queue.push_back(route(1), RequestId(1));
    queue.push_back(route(2), RequestId(2));
    queue.block(route(1));
    assert_eq!((queue.pop(|_| true), queue.pop(|_| true)), (Some(RequestId(2)), None));
    assert!(queue.is_blocked() && !queue.any_ready(|_| true) && queue.len() == 1);
    queue.unblock();
    assert_eq!(queue.pop(|_| true), Some(RequestId(1)));
    assert!(!queue.is_blocked());
}

#[test]
fn empty_route_queues_do_not_accumulate() {
    let mut queue = ClassQueue::default();
    for route in 0..1_000 {
        let limit = Some(RouteLimit { route, max_in_flight: 1 });
        queue.push_back(Route { limit, ..Route::default() }, RequestId(u64::from(route)));
        queue.pop(|_| true);
    }
    assert!(queue.routes.len() <= MAX_EMPTY_QUEUES + 1, "{}", queue.routes.len());
}
