//! The memory for the state of customers stays within the configured limit. The allocator counts it, so that
//! the result is the same on each machine.
mod common;
use cap::Cap;
use common::load::LoadedGateway;
use common::*;
use policy::customers_within;
use std::alloc::System;
use std::sync::Mutex;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);
/// Held by each test, so that no other test allocates at the same time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const MB: usize = 1 << 20;

/// Returns a gateway with this limit on the memory for customers' state, in bytes.
fn new_gateway(bytes: usize) -> LoadedGateway {
    let mut settings = settings();
    settings.gateways = 1;
    (settings.plans[0].rate, settings.plans[0].burst) = (100.0, 100.0);
    settings.customer_bytes = bytes as u64;
    LoadedGateway::with_settings(settings, 500, 0)
}

/// Returns the memory that the decision module has allocated, in bytes.
fn allocated_by(gateway: LoadedGateway) -> usize {
    let before = ALLOCATOR.allocated();
    drop(gateway.policy);
    before - ALLOCATOR.allocated()
}

#[test]
fn a_customer_takes_the_stated_memory_in_full_and_in_compact_form() {
    let _alone = ONE_AT_A_TIME.lock();
    let without_customers = allocated_by(new_gateway(0));
    // Three requests of each customer, at different times, so that each has a history and is kept in full
    // form.
    let mut full_form = new_gateway(0);
    for n in 0..6_000 {
        full_form.send_request(n % 2_000);
        full_form.advance(MS);
    }
    full_form.advance(1_000 * MS);
    let full_form = (allocated_by(full_form) - without_customers) / 2_000;
    // The limit is too small for the full form, so that most customers are kept in compact form.
    let limit = 3 * MB;
    let (few, many) = customers_within(limit);
    let mut compact_form = new_gateway(limit);
    for n in 0..2 * many as u64 {
        compact_form.send_request(n);
        if n % 20 == 0 {
            compact_form.advance(MS);
        }
    }
    compact_form.advance(1_000 * MS);
    let known = compact_form.policy.record_count();
    let compact_form = allocated_by(compact_form) - without_customers;
    assert!(
        known >= many && many > 7 * few,
        "{known} of {many} customers are known, {few} would fit in full form"
    );
    assert!(
        limit / many <= 150 && full_form <= 1_100,
        "{} bytes per customer in compact form, {full_form} in full form",
        limit / many
    );
    // The limit on the number of customers is computed from the stated sizes, so these must not be too small.
    assert!(
        compact_form <= limit + limit / 32 && full_form <= limit / few,
        "{compact_form} of {limit} bytes; {full_form} per customer in full form"
    );
}

#[test]
fn customers_with_one_request_stay_within_the_memory_and_displace_no_regular_ones() {
    let _alone = ONE_AT_A_TIME.lock();
    let limit = 4 * MB;
    let run = |requests_of_new_customers: u64| {
        let mut gateway = new_gateway(limit);
        let (mut max_bytes, mut admitted_regular) = (0, 0);
        for ms in 0..4_000 {
            (0..requests_of_new_customers)
                .for_each(|n| gateway.send_request(1_000_000 + ms * requests_of_new_customers + n));
            // Two hundred regular customers with five requests per second each.
            let before = gateway.rejected;
            gateway.send_request(ms % 200);
            admitted_regular += u64::from(gateway.rejected == before);
            gateway.advance(MS);
            if ms % 500 == 0 {
                max_bytes = max_bytes.max(gateway.policy.customer_bytes());
            }
        }
        gateway.advance(1_000 * MS);
        (admitted_regular, gateway.rejected, max_bytes, allocated_by(gateway))
    };
    let (without_new, with_new) = (run(0), run(25));
    assert_eq!(
        (with_new.0, with_new.1),
        (4_000, 0),
        "requests of regular customers that are admitted, and rejections of all 104,000 requests"
    );
    assert_eq!(without_new.0, 4_000);
    assert!(with_new.2 <= limit, "{} of {limit} bytes", with_new.2);
    assert!(with_new.3 <= limit + 2 * MB, "{} bytes allocated", with_new.3);
}

#[test]
fn where_all_customers_are_busy_another_is_rejected_and_none_is_removed() {
    let _alone = ONE_AT_A_TIME.lock();
    let mut gateway = new_gateway(200_000);
    let (max_customers, _) = customers_within(200_000);
    // No request has its response yet.
    (0..2 * max_customers as u64).for_each(|n| gateway.send_request(n));
    assert_eq!((gateway.in_flight.len(), gateway.rejected), (max_customers, max_customers as u64));
    gateway.advance(100 * MS);
    assert_eq!(gateway.served, max_customers as u64);
    gateway.send_request(1_000_000);
    assert_eq!(gateway.rejected, max_customers as u64, "there is memory for another customer again");
}
