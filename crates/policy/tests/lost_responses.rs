//! How soon a lost response is detected, and how often a slow response is mistaken for a lost one.
mod common;
use common::world::{single_gateway, HostSpec, World, NORMAL_HOST};
use common::*;
use policy::api::*;

/// Draws a lognormal execution time with a median of about 38 ms; some are five times as long.
fn execution_time(prng: &mut Prng) -> Span {
    let sum: f64 = (0..12).map(|_| prng.uniform()).sum();
    (38.0 * libm::exp(0.6 * (sum - 6.0)) * MS as f64) as Span
}

/// The results of one minute, after a minute in which the gateway learns response times.
struct Measured {
    /// Median time after which another attempt was made beside one whose response was lost.
    median: Span,
    /// Fraction of the attempts with a lost response beside which another attempt was made.
    detected: f64,
    /// Attempts made beside one whose response was not lost, as a fraction of all attempts.
    false_alarms: f64,
    served: f64,
}

fn measure(affected_count: usize, affected: HostSpec) -> Measured {
    let class = Class {
        latency_objective: 240 * MS,
        deadline: 600 * MS,
        late_fraction: 0.2,
        ..class(1.0, Idempotency::Idempotent)
    };
    let mut settings = Settings { may_hedge: true, ..single_gateway() };
    settings.classes[0] = class;
    let normal = HostSpec { cores: 4, ..NORMAL_HOST };
    let hosts: Vec<HostSpec> = (0..10)
        .map(|n| if n < affected_count { HostSpec { cores: 4, ..affected } } else { normal })
        .collect();
    let mut world = World::new(settings, &hosts, execution_time);
    world.run(60, 100, 580 * MS);
    world.reset_counts();
    world.run(60, 100, 580 * MS);
    world.detection_times.sort_unstable();
    let sent: u64 = world.sent.values().sum();
    Measured {
        median: world.detection_times.get(world.detection_times.len() / 2).copied().unwrap_or(0),
        detected: world.detection_times.len() as f64 / world.lost.max(1) as f64,
        false_alarms: world.false_alarms as f64 / sent as f64,
        served: world.served as f64 / world.requests as f64,
    }
}

#[test]
fn lost_responses_are_distinguished_from_slow_ones() {
    let losing = |loss_fraction| HostSpec { loss_fraction, ..NORMAL_HOST };
    let slow_by = |time_factor| HostSpec { time_factor, ..NORMAL_HOST };
    // Number and properties of the affected hosts; maximum of the median detection time in milliseconds,
    // minimum fraction of lost responses that are detected, maximum of the false alarms, minimum fraction of
    // requests served.
    let cases = [
        (10, losing(0.01), 200, 0.8, 0.01, 0.99),
        (10, losing(0.05), 180, 0.9, 0.02, 0.99),
        (10, losing(0.20), 180, 0.55, 0.04, 0.88),
        (2, losing(1.0), 180, 0.9, 0.01, 0.99),
        (2, slow_by(2.0), 0, 0.0, 0.01, 0.99),
        (2, slow_by(4.0), 0, 0.0, 0.01, 0.99),
        (2, slow_by(9.0), 0, 0.0, 0.01, 0.99),
    ];
    for (affected_count, affected, max_median_ms, min_detected, false_alarms, served) in cases {
        let measured = measure(affected_count, affected);
        let Measured { median, detected, .. } = measured;
        println!(
            "{affected_count} {affected:?}: {} ms, detected {detected:.2}, alarms {:.4}, served {:.3}",
            median / MS,
            measured.false_alarms,
            measured.served
        );
        assert!(
            median <= max_median_ms * MS && detected >= min_detected,
            "{affected_count} {affected:?}: {} ms, {detected}",
            median / MS
        );
        assert!(
            measured.false_alarms <= false_alarms && measured.served >= served,
            "{affected_count} {affected:?}: {} {}",
            measured.false_alarms,
            measured.served
        );
    }
}
