use super::record::{CUSTOMER_RETENTION, REVIEW_INTERVAL, TICK};
use super::review::{ReviewSummary, MAX_REVIEWED};
use super::*;
use crate::api::Plan;
use ::quota::GatewaySet;

const SECOND: Time = 1_000_000_000;

fn customers(max_bytes: usize) -> Customers {
    let plans = vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }];
    Customers::new(
        1,
        max_bytes,
        GatewayContext { plans, gateway_index: 0, gateways: 1, has_counter: false, start_epoch: 0 },
    )
}

/// Returns the memory for `count` customers in full form.
fn bytes_for_full(count: usize) -> usize {
    count * (COMPACT_BYTES + FULL_BYTES)
}

fn new_customer(now: Time, context: &GatewayContext) -> Customer {
    let gateway_set = GatewaySet { first_gateway: 0, set_size: 1, gateway_index: 0, gateways: 1 };
    Customer::new(now, context, 0, gateway_set, || 0.0)
}

fn request(customers: &mut Customers, now: Time, id: u64) -> bool {
    customers.get_or_insert(now, CustomerId(id), |context| new_customer(now, context)).is_some()
}

fn count_known(customers: &Customers, ids: impl IntoIterator<Item = u64>) -> usize {
    ids.into_iter().filter(|id| customers.find(CustomerId(*id)).is_some()).count()
}

/// Reviews until no customer has to be reviewed; returns the maximum number of customers in one review.
fn review_until_idle(customers: &mut Customers, now: Time) -> u64 {
    let mut max_reviewed = 0;
    loop {
        let reviewed = customers.review_expired(now).reviewed;
        if reviewed == 0 {
            return max_reviewed;
        }
        max_reviewed = max_reviewed.max(reviewed);
    }
}

#[test]
fn customers_without_requests_are_removed_a_bounded_number_at_a_time() {
    let mut customers = customers(0);
    (0..1_000).for_each(|id| assert!(request(&mut customers, SECOND, id)));
    (0..100).for_each(|id| assert!(request(&mut customers, 30 * SECOND, id)));
    assert_eq!(
        review_until_idle(&mut customers, SECOND + CUSTOMER_RETENTION - 1),
        0,
        "no review before the retention time has passed"
    );
    assert_eq!(review_until_idle(&mut customers, SECOND + CUSTOMER_RETENTION), MAX_REVIEWED);
    assert_eq!(customers.len(), 100);
    // Customers with several requests are reviewed in between.
    assert_eq!(review_until_idle(&mut customers, SECOND + CUSTOMER_RETENTION + REVIEW_INTERVAL + TICK), 100);
    assert_eq!(customers.len(), 100);
    review_until_idle(&mut customers, 30 * SECOND + CUSTOMER_RETENTION + REVIEW_INTERVAL + 2 * TICK);
    assert_eq!(customers.len(), 0);
    let empty = ReviewSummary { reviewed: 0, next_review_at: None };
    assert_eq!(customers.review_expired(200 * SECOND), empty);
}

#[test]
fn a_busy_customer_is_not_removed() {
    let mut customers = customers(bytes_for_full(2));
    for id in 0..2 {
        customers
            .get_or_insert(SECOND, CustomerId(id), |context| new_customer(SECOND, context))
            .unwrap()
            .admitted = 1;
    }
    assert!(!request(&mut customers, SECOND, 7), "there is no memory for another customer");
    review_until_idle(&mut customers, 200 * SECOND);
    assert_eq!(customers.len(), 2);
    customers.get_mut(CustomerId(1)).unwrap().admitted = 0;
    assert!(request(&mut customers, 200 * SECOND, 7));
    assert_eq!(count_known(&customers, [0, 7]), 2);
}

#[test]
fn customers_with_one_request_are_evicted_before_regular_ones() {
    let mut customers = customers(bytes_for_full(1_000));
    for n in 0..100_000 {
        let now = SECOND + n * SECOND / 20_000;
        assert!(request(&mut customers, now, 1_000_000 + n));
        // A hundred customers make four requests per second each, so they return within the half second for
        // which others are kept.
        if n % 50 == 0 {
            assert!(request(&mut customers, now, n / 50 % 100));
        }
        assert!(customers.bytes() <= bytes_for_full(1_000));
    }
    let regular = (0..100).filter(|id| customers.get(CustomerId(*id)).is_some()).count();
    assert_eq!(regular, 100, "regular customers stay in full form");
    // Most of the others are compact, so several times as many fit, but not all.
    assert!(customers.full_count > 120, "{}", customers.full_count);
    assert!(customers.len() > 4_000, "{}", customers.len());
}

#[test]
fn a_compacted_customer_keeps_its_quota_when_it_returns() {
    let mut customers = customers(bytes_for_full(10));
    let mut health = ::quota::CounterHealth::new(0, 1);
    let mut spend = |customers: &mut Customers, id: u64, units: f64| {
        let customer =
            customers.get_or_insert(SECOND, CustomerId(id), |context| new_customer(SECOND, context)).unwrap();
        let account = &mut customer.accounts[0];
        account.grant_locally(SECOND, &health);
        account.spend(units, &mut health);
        account.spendable()
    };
    // Without a counter, the gateway grants all units locally.
    assert_eq!([0, 1, 2].map(|id| spend(&mut customers, id, 15.0)), [5.0; 3]);
    (100..130).for_each(|id| assert!(request(&mut customers, SECOND, id)));
    assert!((0..3).all(|id| customers.get(CustomerId(id)).is_none()), "they have been compacted");
    assert_eq!(count_known(&customers, 0..3), 3);
    assert_eq!([0, 1, 2].map(|id| spend(&mut customers, id, 2.0)), [3.0; 3]);
}

#[test]
fn slots_of_removed_customers_are_reused() {
    let mut customers = customers(bytes_for_full(1));
    assert!(request(&mut customers, SECOND, 1));
    (2..40).for_each(|id| assert!(request(&mut customers, 40 * SECOND, id)));
    assert!(customers.records.len() < 12 && count_known(&customers, [1, 2]) == 0);
    review_until_idle(&mut customers, 52 * SECOND);
    assert_eq!(count_known(&customers, [39]), 1, "it was added 12 s ago");
    review_until_idle(&mut customers, 40 * SECOND + CUSTOMER_RETENTION + TICK);
    assert_eq!((customers.len(), customers.full_count, customers.bytes()), (0, 0, 0));
}
