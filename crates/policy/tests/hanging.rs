//! How soon an attempt that nobody answers is told from one that takes long, and how often one that takes long is taken
//! for one that nobody answers.
mod common;
use common::world::{alone, HostSpec, World, USUAL};
use common::*;
use policy::api::*;

/// Lognormal, about 38 ms in the median, now and then five times as long.
fn work(dice: &mut Dice) -> Span {
    let sum: f64 = (0..12).map(|_| dice.unit()).sum();
    (38.0 * libm::exp(0.6 * (sum - 6.0)) * MS as f64) as Span
}

/// What came of a minute, after one in which it was learnt: of ten hosts some are like this.
struct Seen {
    /// Half of the swallowed attempts that got another beside them got it within this.
    median: Span,
    /// The share of them that got one, and that of all attempts which got one though they were to be answered.
    told: f64,
    alarms: f64,
    served: f64,
}

fn play(count: usize, like: HostSpec) -> Seen {
    let class = Class {
        latency_objective: 240 * MS,
        deadline: 600 * MS,
        late_fraction: 0.2,
        ..class(1.0, Idempotency::Idempotent)
    };
    let mut settings = Settings { may_hedge: true, ..alone() };
    settings.classes[0] = class;
    let usual = HostSpec { cores: 4, ..USUAL };
    let hosts: Vec<HostSpec> =
        (0..10).map(|n| if n < count { HostSpec { cores: 4, ..like } } else { usual }).collect();
    let mut world = World::new(settings, &hosts, work);
    world.play(60, 100, 580 * MS);
    world.count_anew();
    world.play(60, 100, 580 * MS);
    world.told.sort_unstable();
    let sent: u64 = world.sent.values().sum();
    Seen {
        median: world.told.get(world.told.len() / 2).copied().unwrap_or(0),
        told: world.told.len() as f64 / world.swallowed.max(1) as f64,
        alarms: world.false_alarms as f64 / sent as f64,
        served: world.served as f64 / world.asked as f64,
    }
}

#[test]
fn silence_is_told_from_slowness() {
    let swallows = |swallows| HostSpec { swallows, ..USUAL };
    let slow = |slow| HostSpec { slow, ..USUAL };
    // How many hosts are like what; told within ms, at least so many of the swallowed, false alarms, served.
    let cases = [
        (10, swallows(0.01), 200, 0.8, 0.01, 0.99),
        (10, swallows(0.05), 180, 0.9, 0.02, 0.99),
        (10, swallows(0.20), 180, 0.55, 0.04, 0.88),
        (2, swallows(1.0), 180, 0.9, 0.01, 0.99),
        (2, slow(2.0), 0, 0.0, 0.01, 0.99),
        (2, slow(4.0), 0, 0.0, 0.01, 0.99),
        (2, slow(9.0), 0, 0.0, 0.01, 0.99),
    ];
    for (count, like, within, least, alarms, served) in cases {
        let seen = play(count, like);
        let Seen { median, told, .. } = seen;
        println!(
            "{count} {like:?}: {} ms, told {told:.2}, alarms {:.4}, served {:.3}",
            median / MS,
            seen.alarms,
            seen.served
        );
        assert!(median <= within * MS && told >= least, "{count} {like:?}: {} ms, {told}", median / MS);
        assert!(
            seen.alarms <= alarms && seen.served >= served,
            "{count} {like:?}: {} {}",
            seen.alarms,
            seen.served
        );
    }
}
