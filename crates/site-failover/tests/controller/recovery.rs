//! The recovery of a lost site.

use crate::simulation::{
    all_answer, plan, site_of, site_times_out, EndingOf, Simulation, ANSWERED, HOSTS_PER_SITE, MILLISECOND,
    SECOND, TIMED_OUT,
};
use policy::api::{HostId, Outcome, RequestId, Span, Time};
use site_failover::SiteHealth::{Healthy, Lost, Probing, Recovering};
use site_failover::{FailoverController, GatewayIdentity, SiteSet};

/// Reports to a controller whether a part of the control plane is in doubt.
type ReportDoubt = fn(&mut FailoverController, Time, bool);

/// The expected progress of a recovery for given endings of attempts.
struct RecoveryCase<'a> {
    title: &'a str,
    ending_of: EndingOf<'a>,
    /// Seconds since the recovery could begin, and the range of the traffic fraction then.
    expected: [(Span, f64, f64); 2],
}

/// Returns a simulation whose second site has been failing for 30 s and is lost.
fn after_a_loss() -> Simulation {
    let mut simulation = Simulation::usual();
    simulation.run(30 * SECOND, 200.0, &all_answer);
    simulation.run(30 * SECOND, 200.0, &site_times_out(1));
    assert_eq!(simulation.health(), [Healthy, Lost, Healthy]);
    simulation
}

#[test]
fn a_recovery_advances_as_far_as_the_sites_answers_allow() {
    let slow = |_, host| if site_of(host) == 1 { (Outcome::Ok, 22 * MILLISECOND) } else { ANSWERED };
    let two_of_three_fail = |now: Time, host| match site_of(host) {
        1 if now / MILLISECOND % 3 != 0 => TIMED_OUT,
        _ => ANSWERED,
    };
    let half = |_, host| if site_of(host) == 1 && host % 2 == 0 { TIMED_OUT } else { ANSWERED };
    let one = |_, host| if site_of(host) == 1 && host != 8 { TIMED_OUT } else { ANSWERED };
    let case = |title, ending_of, expected| RecoveryCase { title, ending_of, expected };
    let cases = [
        case("one host", &one, [(30, 0.0, 0.0), (120, 0.0, 0.0)]),
        case("warm", &all_answer, [(30, 0.1, 0.6), (90, 1.0, 1.0)]),
        case("slow", &slow, [(30, 0.05, 0.1), (90, 0.05, 0.2)]),
        case("two of three attempts fail", &two_of_three_fail, [(30, 0.0, 0.05), (90, 0.0, 0.1)]),
        case("half the hosts", &half, [(60, 0.1, 0.6), (180, 1.0, 1.0)]),
    ];
    for RecoveryCase { title, ending_of, expected } in cases {
        let mut simulation = after_a_loss();
        let start = simulation.now;
        for (seconds, min, max) in expected {
            simulation.run(start + seconds * SECOND - simulation.now, 200.0, ending_of);
            let fraction = simulation.traffic_fraction(1);
            assert!((min..=max).contains(&fraction), "{title}: {fraction} after {seconds} s");
        }
    }
}

#[test]
fn the_traffic_fraction_decreases_when_a_recovering_site_becomes_slower() {
    let mut simulation = after_a_loss();
    simulation.run(40 * SECOND, 200.0, &all_answer);
    let before = simulation.traffic_fraction(1);
    simulation.run(6 * SECOND, 200.0, &|_, host| match site_of(host) {
        1 => (Outcome::Ok, 80 * MILLISECOND),
        _ => ANSWERED,
    });
    let after = simulation.traffic_fraction(1);
    assert!(after < before && simulation.health()[1] == Recovering, "{before} {after}");
    simulation.run(240 * SECOND, 200.0, &all_answer);
    assert_eq!(simulation.health()[1], Healthy);
}

#[test]
fn a_recovering_site_receives_its_traffic_fraction_of_requests() {
    let mut simulation = after_a_loss();
    simulation.run(5 * SECOND, 200.0, &all_answer);
    for _ in 0..8 {
        let fraction = simulation.traffic_fraction(1);
        if fraction == 1.0 {
            break;
        }
        let mut admitted = 0;
        for id in 0..30_000 {
            let request = RequestId(1_000_000 + id);
            let allowed = simulation.controller.allowed_sites(simulation.now, request, true);
            let repeated = simulation.controller.allowed_sites(simulation.now, request, true);
            assert_eq!(allowed, repeated, "always the same");
            admitted += u32::from(allowed.contains(1));
        }
        let admitted_fraction = f64::from(admitted) / 30_000.0 * 3.0;
        assert!((admitted_fraction - fraction).abs() < 0.03, "{admitted_fraction} of {fraction}");
        simulation.run(8 * SECOND, 200.0, &all_answer);
    }
}

#[test]
fn non_idempotent_requests_go_neither_to_a_lost_site_nor_to_one_at_the_start_of_its_recovery() {
    let mut simulation = after_a_loss();
    let mut probes = 0;
    for n in 0..200 {
        simulation.now += 50 * MILLISECOND;
        simulation.tick();
        let (now, controller) = (simulation.now, &mut simulation.controller);
        // A set that contains the site is of no use while all its hosts are excluded.
        let mut hosts = (HOSTS_PER_SITE..2 * HOSTS_PER_SITE).map(HostId);
        let is_open = hosts.any(|host| !controller.is_excluded(host));
        assert!(!is_open || !controller.allowed_sites(now, RequestId(n), false).contains(1));
        probes += u32::from(controller.allowed_sites(now, RequestId(n), true) == SiteSet::one(1));
    }
    assert!((5..=11).contains(&probes), "an idempotent request is a probe each second: {probes}");
    simulation.run(5 * SECOND, 200.0, &all_answer);
    assert_eq!((simulation.health()[1], simulation.traffic_fraction(1)), (Recovering, 0.05));
    for n in 0..5_000 {
        let allowed = simulation.controller.allowed_sites(simulation.now, RequestId(n), false);
        assert!(!allowed.contains(1));
    }
}

#[test]
fn a_flapping_site_recovers_at_most_once_a_minute_and_at_growing_intervals() {
    let mut simulation = Simulation::usual();
    simulation.run(30 * SECOND, 200.0, &all_answer);
    let flaps = |now: Time, host| match site_of(host) {
        1 if now / (10 * SECOND) % 2 == 1 => TIMED_OUT,
        _ => ANSWERED,
    };
    simulation.run(900 * SECOND, 200.0, &flaps);
    let started = simulation.times_entered(1, Recovering);
    let spans: Vec<Span> = started.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(!spans.is_empty() && spans.iter().all(|span| *span >= 60 * SECOND), "{spans:?}");
    assert!(spans.windows(2).all(|pair| pair[1] > pair[0]), "{spans:?}");
    // Once the site has been healthy for long, the backoff is reset: two recoveries take three minutes, not ten.
    simulation.run(1_500 * SECOND, 200.0, &all_answer);
    assert_eq!(simulation.health()[1], Healthy);
    let reset = simulation.now;
    simulation.run(5 * SECOND, 200.0, &site_times_out(1));
    simulation.run(15 * SECOND, 200.0, &all_answer);
    simulation.run(5 * SECOND, 200.0, &site_times_out(1));
    simulation.run(155 * SECOND, 200.0, &all_answer);
    let started = simulation.times_entered(1, Recovering);
    assert_eq!(started.iter().filter(|at| **at >= reset).count(), 2);
}

#[test]
fn doubt_in_the_control_plane_delays_a_recovery_and_then_slows_it_down() {
    let cases: [(&str, ReportDoubt); 2] = [
        ("discovery", FailoverController::on_discovery_status),
        ("the counter", FailoverController::on_counter_status),
    ];
    for (case, report_doubt) in cases {
        let mut simulation = after_a_loss();
        report_doubt(&mut simulation.controller, simulation.now, true);
        simulation.run(25 * SECOND, 200.0, &all_answer);
        assert_eq!(simulation.health()[1], Probing, "{case}");
        simulation.run(15 * SECOND, 200.0, &all_answer);
        assert_eq!(simulation.health()[1], Recovering, "{case}");
        simulation.run(90 * SECOND, 200.0, &all_answer);
        assert_eq!(simulation.health()[1], Recovering, "{case}: half speed");
        simulation.run(90 * SECOND, 200.0, &all_answer);
        assert_eq!(simulation.health()[1], Healthy, "{case}");
    }
}

#[test]
fn two_sites_that_recover_at_the_same_time_do_so_at_half_speed() {
    let mut simulation = after_a_loss();
    simulation.run(25 * SECOND, 200.0, &all_answer);
    assert_eq!(simulation.health(), [Healthy, Recovering, Healthy]);
    simulation.run(10 * SECOND, 200.0, &site_times_out(2));
    assert_eq!(simulation.health(), [Healthy, Recovering, Lost]);
    let start = simulation.now;
    simulation.run(65 * SECOND, 200.0, &all_answer);
    assert_ne!(simulation.health()[2], Healthy);
    simulation.run(120 * SECOND, 200.0, &all_answer);
    assert_eq!(simulation.health(), [Healthy; 3]);
    assert!(simulation.times_entered(2, Healthy)[0] - start > 70 * SECOND);
}

#[test]
fn the_fleet_probes_a_lost_site_at_a_bounded_rate_whatever_its_size() {
    for gateways in [3, 30, 300] {
        let mut probes = 0;
        let mut probing_gateways = 0;
        for gateway_index in 0..gateways {
            let identity = GatewayIdentity { gateways, gateway_index, zone: 0 };
            let mut simulation = Simulation::new(plan(), identity);
            simulation.run(10 * SECOND, 50.0, &all_answer);
            simulation.run(10 * SECOND, 50.0, &site_times_out(1));
            assert_eq!(simulation.health()[1], Lost);
            simulation.probes = 0;
            simulation.run(30 * SECOND, 50.0, &site_times_out(1));
            probes += simulation.probes;
            probing_gateways += u32::from(simulation.probes > 0);
        }
        assert!(probes <= 31 * 30 && probes <= 31 * gateways, "{gateways}: {probes} in 30 s");
        assert_eq!(probing_gateways, gateways, "each has its turns");
    }
}
