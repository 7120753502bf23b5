//! Which requests are shed, and when.

use crate::simulation::{all_answer, site_times_out, Simulation, SECOND};
use policy::api::{HostState, RejectReason};
use site_failover::SiteHealth::{Healthy, Lost};

/// Returns whether the admitted fraction of a cell is at its floor.
fn is_at(fraction: f64, floor: f64) -> bool {
    (fraction - floor).abs() < 1e-9
}

/// Returns whether the second tier is shed only if the first one is at its floor. Orders belong to no tier and must
/// never be shed.
fn is_in_order(fractions: &[f64]) -> bool {
    match fractions {
        [] => true,
        [batch, browse, orders] => {
            *orders == 1.0 && *browse > 0.29 && (is_at(*browse, 1.0) || is_at(*batch, 0.1))
        }
        _ => false,
    }
}

/// Runs for a second with 100 requests of three classes in equal parts, of which `rejections` are rejected because
/// capacity is exhausted, unless they are shed before. Returns the admitted fractions.
fn run_with_rejections(simulation: &mut Simulation, rejections: u32) -> Vec<f64> {
    for n in 0..100_u32 {
        let class = n as usize % 3;
        simulation.controller.on_request_received(class, 0);
        let admitted = simulation.admission_fractions.get(class).copied().unwrap_or(1.0);
        let is_rejected = n * rejections / 100 != (n + 1) * rejections / 100;
        if is_rejected && (f64::from(n) * 0.618).fract() < admitted {
            simulation.controller.on_request_rejected(RejectReason::QueueTooLong);
        }
    }
    simulation.run(SECOND, 200.0, &site_times_out(1));
    simulation.admission_fractions.clone()
}

#[test]
fn tiers_are_shed_in_order_down_to_their_floors_and_restored_slowly() {
    let mut simulation = Simulation::usual();
    simulation.run(30 * SECOND, 200.0, &all_answer);
    simulation.run(30 * SECOND, 200.0, &site_times_out(1));
    assert_eq!(simulation.health(), [Healthy, Lost, Healthy]);
    assert!(run_with_rejections(&mut simulation, 0).is_empty());
    let overload: Vec<_> = (0..30).map(|_| run_with_rejections(&mut simulation, 30)).collect();
    assert!(overload.iter().all(|fractions| is_in_order(fractions)), "{overload:?}");
    let first = &overload[0];
    assert!(first[0] > 0.1 && first[1] == 1.0, "the first tier is shed first: {first:?}");
    let last = &overload[29];
    assert!(
        is_at(last[0], 0.1) && is_at(last[1], 0.3),
        "the tiers are shed to their floors, and no further: {last:?}"
    );
    let calm: Vec<_> = (0..10).map(|_| run_with_rejections(&mut simulation, 0)).collect();
    assert!(calm.iter().all(|fractions| is_in_order(fractions)), "{calm:?}");
    let last = &calm[9];
    assert!(last[1] > 0.35 && is_at(last[0], 0.1), "the last tier is restored first, slowly: {last:?}");
    let calm: Vec<_> = (0..90).map(|_| run_with_rejections(&mut simulation, 0)).collect();
    assert!(calm[89].is_empty());
}

#[test]
fn nothing_is_shed_while_all_sites_are_healthy() {
    let mut simulation = Simulation::usual();
    for _ in 0..20 {
        (0..100).for_each(|_| simulation.controller.on_request_received(0, 0));
        (0..50).for_each(|_| simulation.controller.on_request_rejected(RejectReason::QueuedTooLong));
        simulation.run(SECOND, 200.0, &all_answer);
    }
    assert!(simulation.admission_fractions.is_empty());
    simulation.list(0..1, HostState::Draining, 0);
    simulation.run(SECOND, 200.0, &all_answer);
    assert_eq!(simulation.health(), [Healthy; 3]);
}
