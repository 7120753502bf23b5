//! The memory of known customers stays within the granted bound. It is counted by the allocator, and so the
//! same on each machine.
mod common;
use cap::Cap;
use common::load::Load;
use common::*;
use policy::customers_within;
use std::alloc::System;
use std::sync::Mutex;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);
/// Other tests must not allocate at the same time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const MB: usize = 1 << 20;

/// Returns a gateway whose customers may take this memory, in bytes.
fn load(bytes: usize) -> Load {
    let mut settings = settings();
    settings.gateways = 1;
    (settings.plans[0].rate, settings.plans[0].burst) = (100.0, 100.0);
    settings.customer_bytes = bytes as u64;
    Load::with(settings, 500, 0)
}

/// Returns the memory that the decision module holds, in bytes.
fn held_by(load: Load) -> usize {
    let before = ALLOCATOR.allocated();
    drop(load.policy);
    before - ALLOCATOR.allocated()
}

#[test]
fn a_customer_takes_the_stated_memory_in_either_form() {
    let _alone = ONE_AT_A_TIME.lock();
    let nobody = held_by(load(0));
    // Three requests each, at different times, so that there is history.
    let mut often = load(0);
    for n in 0..6_000 {
        often.ask(n % 2_000);
        often.pass(MS);
    }
    often.pass(1_000 * MS);
    let often = (held_by(often) - nobody) / 2_000;
    // Only a few fit in full form.
    let granted = 3 * MB;
    let (few, many) = customers_within(granted);
    let mut once = load(granted);
    for n in 0..2 * many as u64 {
        once.ask(n);
        if n % 20 == 0 {
            once.pass(MS);
        }
    }
    once.pass(1_000 * MS);
    let known = once.policy.record_count();
    let once = held_by(once) - nobody;
    assert!(known >= many && many > 7 * few, "{known} of {many} are known, in full there is room for {few}");
    assert!(granted / many <= 150 && often <= 1_100, "{} bytes, and {often} in full", granted / many);
    // The bound is computed from these, so they must not be too small.
    assert!(once <= granted + granted / 32 && often <= granted / few, "{once} of {granted}; {often} in full");
}

#[test]
fn customers_with_one_request_stay_within_the_memory_and_displace_no_regular_ones() {
    let _alone = ONE_AT_A_TIME.lock();
    let granted = 4 * MB;
    let run = |flood: u64| {
        let mut load = load(granted);
        let (mut most, mut regular) = (0, 0);
        for ms in 0..4_000 {
            (0..flood).for_each(|n| load.ask(1_000_000 + ms * flood + n));
            // Two hundred with five requests a second.
            let before = load.rejected;
            load.ask(ms % 200);
            regular += u64::from(load.rejected == before);
            load.pass(MS);
            if ms % 500 == 0 {
                most = most.max(load.policy.customer_bytes());
            }
        }
        load.pass(1_000 * MS);
        (regular, load.rejected, most, held_by(load))
    };
    let (calm, flooded) = (run(0), run(25));
    assert_eq!(
        (flooded.0, flooded.1),
        (4_000, 0),
        "of 104,000 requests none was rejected; regular ones, rejected"
    );
    assert_eq!(calm.0, 4_000);
    assert!(flooded.2 <= granted, "{} bytes of {granted}", flooded.2);
    assert!(flooded.3 <= granted + 2 * MB, "{} bytes held", flooded.3);
}

#[test]
fn where_all_customers_are_busy_another_is_rejected_and_none_is_removed() {
    let _alone = ONE_AT_A_TIME.lock();
    let mut load = load(200_000);
    let (most, _) = customers_within(200_000);
    // No request is answered yet.
    (0..2 * most as u64).for_each(|n| load.ask(n));
    assert_eq!((load.in_flight.len(), load.rejected), (most, most as u64));
    load.pass(100 * MS);
    assert_eq!(load.served, most as u64);
    load.ask(1_000_000);
    assert_eq!(load.rejected, most as u64, "there is room again");
}
