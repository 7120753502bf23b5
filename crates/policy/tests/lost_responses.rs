//! How soon a lost response is detected, and how often a slow one is taken for lost.
mod common;
use common::world::{single_gateway, HostSpec, World, USUAL_HOST};
use common::*;
use policy::api::*;

/// Lognormal, about 38 ms in the median, at times five times as long.
fn work(dice: &mut Dice) -> Span {
    let sum: f64 = (0..12).map(|_| dice.unit()).sum();
    (38.0 * libm::exp(0.6 * (sum - 6.0)) * MS as f64) as Span
}

/// The results of a minute, after one to learn from, with some of ten hosts like this.
struct Measured {
    /// Median time until an attempt without a response got another beside it.
    median: Span,
    /// Fraction of these attempts that got another; and fraction of all attempts that got another although
    /// they would have got a response.
    detected: f64,
    alarms: f64,
    served: f64,
}

fn measure(count: usize, like: HostSpec) -> Measured {
    let class = Class {
        latency_objective: 240 * MS,
        deadline: 600 * MS,
        late_fraction: 0.2,
        ..class(1.0, Idempotency::Idempotent)
    };
    let mut settings = Settings { may_hedge: true, ..single_gateway() };
    settings.classes[0] = class;
    let usual = HostSpec { cores: 4, ..USUAL_HOST };
    let hosts: Vec<HostSpec> =
        (0..10).map(|n| if n < count { HostSpec { cores: 4, ..like } } else { usual }).collect();
    let mut world = World::new(settings, &hosts, work);
    world.run(60, 100, 580 * MS);
    world.reset_counts();
    world.run(60, 100, 580 * MS);
    world.detection_times.sort_unstable();
    let sent: u64 = world.sent.values().sum();
    Measured {
        median: world.detection_times.get(world.detection_times.len() / 2).copied().unwrap_or(0),
        detected: world.detection_times.len() as f64 / world.lost.max(1) as f64,
        alarms: world.false_alarms as f64 / sent as f64,
        served: world.served as f64 / world.requests as f64,
    }
}

#[test]
fn lost_responses_are_distinguished_from_slow_ones() {
    let loss_fraction = |loss_fraction| HostSpec { loss_fraction, ..USUAL_HOST };
    let slow = |work_factor| HostSpec { work_factor, ..USUAL_HOST };
    // Number of hosts and what they are like; detected within ms, least fraction of the lost responses that is
    // detected, most false alarms, least fraction served.
    let cases = [
        (10, loss_fraction(0.01), 200, 0.8, 0.01, 0.99),
        (10, loss_fraction(0.05), 180, 0.9, 0.02, 0.99),
        (10, loss_fraction(0.20), 180, 0.55, 0.04, 0.88),
        (2, loss_fraction(1.0), 180, 0.9, 0.01, 0.99),
        (2, slow(2.0), 0, 0.0, 0.01, 0.99),
        (2, slow(4.0), 0, 0.0, 0.01, 0.99),
        (2, slow(9.0), 0, 0.0, 0.01, 0.99),
    ];
    for (count, like, within, least, alarms, served) in cases {
        let measured = measure(count, like);
        let Measured { median, detected, .. } = measured;
        println!(
            "{count} {like:?}: {} ms, detected {detected:.2}, alarms {:.4}, served {:.3}",
            median / MS,
            measured.alarms,
            measured.served
        );
        assert!(
            median <= within * MS && detected >= least,
            "{count} {like:?}: {} ms, {detected}",
            median / MS
        );
        assert!(
            measured.alarms <= alarms && measured.served >= served,
            "{count} {like:?}: {} {}",
            measured.alarms,
            measured.served
        );
    }
}
