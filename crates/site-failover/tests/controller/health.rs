//! The health that a gateway decides for a site from its observations.

use crate::simulation::{
    all_answer, entry, plan, site_of, site_times_out, Ending, EndingOf, Simulation, ANSWERED, HOSTS_PER_SITE,
    MILLISECOND, SECOND, TIMED_OUT,
};
use policy::api::{HostListKind, HostState, Outcome, Time};
use site_failover::SiteHealth::{Healthy, Lost, Recovering, Slow, Suspect, Unreachable};
use site_failover::{FailoverController, GatewayIdentity, OperatorOverride, SiteHealth};

const NOT_SENT: Ending = (Outcome::NotSent, 0);

/// Returns a pseudo-random number in `[0, 1)` for each host and time.
fn pseudo_random(now: Time, host: u64) -> f64 {
    let bits = ((now / 1_000) ^ (host << 40)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ((bits ^ (bits >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns endings with which a fraction of all attempts times out.
fn fraction_times_out(fraction: f64) -> impl Fn(Time, u64) -> Ending {
    move |now, host| if pseudo_random(now, host) < fraction { TIMED_OUT } else { ANSWERED }
}

/// Returns endings with which all attempts at the second site end as given, and those at the others are answered.
fn second_site_ends(ending: Ending) -> impl Fn(Time, u64) -> Ending {
    move |_, host| if site_of(host) == 1 { ending } else { ANSWERED }
}

#[test]
fn a_sites_health_follows_from_how_its_attempts_end() {
    let half_of_second = |_, host| if site_of(host) == 1 && host % 2 == 0 { TIMED_OUT } else { ANSWERED };
    let one_host = |_, host| if host == 8 { TIMED_OUT } else { ANSWERED };
    let two_sites = |_, host| if site_of(host) < 2 { TIMED_OUT } else { ANSWERED };
    let all_time_out = |_, _| TIMED_OUT;
    let all_slow = |_, _| (Outcome::Ok, 60 * MILLISECOND);
    let reset = second_site_ends((Outcome::ConnectionReset, MILLISECOND));
    let cancelled_late = second_site_ends((Outcome::Cancelled, 80 * MILLISECOND));
    let cancelled_early = second_site_ends((Outcome::Cancelled, 12 * MILLISECOND));
    let errors = second_site_ends((Outcome::Error, 10 * MILLISECOND));
    let rejected = second_site_ends((Outcome::Rejected, MILLISECOND));
    let slow = second_site_ends((Outcome::Ok, 60 * MILLISECOND));
    let cases: [(&str, EndingOf, [SiteHealth; 3]); 14] = [
        ("nothing is wrong", &all_answer, [Healthy; 3]),
        ("time-outs", &site_times_out(1), [Healthy, Lost, Healthy]),
        ("resets", &reset, [Healthy, Lost, Healthy]),
        ("cancelled after several usual response times", &cancelled_late, [Healthy, Lost, Healthy]),
        ("cancelled early", &cancelled_early, [Healthy; 3]),
        ("half the hosts", &half_of_second, [Healthy; 3]),
        ("one bad host", &one_host, [Healthy; 3]),
        ("two of three sites", &two_sites, [Lost, Lost, Healthy]),
        ("all sites alike", &all_time_out, [Unreachable; 3]),
        ("errors", &errors, [Healthy; 3]),
        ("rejected by hosts", &rejected, [Healthy; 3]),
        ("slow", &slow, [Healthy, Slow, Healthy]),
        ("all slow", &all_slow, [Healthy; 3]),
        ("a third of all attempts", &fraction_times_out(0.33), [Healthy; 3]),
    ];
    for (case, ending_of, expected) in cases {
        let mut simulation = Simulation::usual();
        simulation.run(30 * SECOND, 100.0, &all_answer);
        simulation.run(10 * SECOND, 100.0, ending_of);
        // A run of failures that has not ended yet makes a site suspect, which moves no load.
        let health = simulation.health().into_iter();
        let health = health.map(|health| if health == Suspect { Healthy } else { health });
        assert_eq!(health.collect::<Vec<_>>(), expected, "{case}");
        let excluded: Vec<bool> = expected.iter().map(|health| *health == Lost).collect();
        assert_eq!(simulation.excluded(), excluded, "{case}");
        let exclusions = simulation.changes.iter().filter(|change| change.traffic_fraction == 0.0).count();
        assert_eq!(exclusions, excluded.iter().filter(|is_excluded| **is_excluded).count(), "{case}");
    }
}

#[test]
fn a_short_network_glitch_moves_no_load() {
    let mut simulation = Simulation::usual();
    simulation.run(30 * SECOND, 1_000.0, &all_answer);
    let connect_failed = second_site_ends((Outcome::ConnectFailed, MILLISECOND));
    simulation.run(150 * MILLISECOND, 1_000.0, &connect_failed);
    assert_eq!(simulation.excluded(), [false; 3]);
    simulation.run(10 * SECOND, 1_000.0, &all_answer);
    assert!(simulation.has_moved_no_load(), "{:?}", simulation.changes);
}

#[test]
fn failures_of_one_host_do_not_exclude_its_site_even_if_it_receives_all_requests_for_it() {
    let mut simulation = Simulation::usual();
    simulation.run(30 * SECOND, 100.0, &all_answer);
    // From here on requests go to one host of the site only, and it does not respond.
    let second_site_not_sent = second_site_ends(NOT_SENT);
    for _ in 0..1_000 {
        simulation.run(10 * MILLISECOND, 100.0, &second_site_not_sent);
        simulation.end_attempt(HOSTS_PER_SITE, TIMED_OUT);
    }
    assert_eq!(simulation.excluded(), [false; 3]);
    // Failures of four hosts are enough.
    for host in HOSTS_PER_SITE..HOSTS_PER_SITE + 4 {
        (0..10).for_each(|_| simulation.end_attempt(host, TIMED_OUT));
    }
    simulation.run(SECOND, 100.0, &second_site_not_sent);
    assert_eq!(simulation.health()[1], Lost);
}

#[test]
fn failures_move_no_load_while_the_sites_still_answer_some_attempts() {
    // For ten minutes, a third of one site's attempts fail, or two thirds of all sites' attempts.
    let one_site = |now, host| match site_of(host) {
        1 => fraction_times_out(0.33)(now, host),
        _ => ANSWERED,
    };
    let everywhere = fraction_times_out(0.66);
    let cases: [(&str, EndingOf); 2] = [("one site", &one_site), ("everywhere", &everywhere)];
    for (case, ending_of) in cases {
        let mut simulation = Simulation::usual();
        simulation.run(30 * SECOND, 100.0, &all_answer);
        simulation.run(600 * SECOND, 100.0, ending_of);
        assert!(simulation.has_moved_no_load(), "{case}: {:?}", simulation.changes);
    }
}

#[test]
fn a_gateway_whose_site_may_be_isolated_considers_the_others_unreachable_rather_than_lost() {
    // All but the gateway's own site fail. Whether the control plane is silent as well shows which side is isolated.
    for (is_silent, expected) in [(true, Unreachable), (false, Lost)] {
        let mut simulation = Simulation::usual();
        simulation.run(30 * SECOND, 100.0, &all_answer);
        simulation.controller.on_discovery_status(simulation.now, is_silent);
        simulation.controller.on_counter_status(simulation.now, is_silent);
        let others_time_out = |_, host| if site_of(host) == 0 { ANSWERED } else { TIMED_OUT };
        simulation.run(10 * SECOND, 100.0, &others_time_out);
        assert_eq!(simulation.health(), [Healthy, expected, expected], "{is_silent}");
        assert_eq!(simulation.excluded(), [false, true, true]);
    }
}

#[test]
fn all_sites_are_never_excluded_at_once() {
    let mut simulation = Simulation::usual();
    simulation.run(30 * SECOND, 100.0, &all_answer);
    for failed in 1..=3 {
        let first_sites_time_out = |_, host| if site_of(host) < failed { TIMED_OUT } else { ANSWERED };
        simulation.run(20 * SECOND, 100.0, &first_sites_time_out);
        let excluded = simulation.excluded().iter().filter(|is_excluded| **is_excluded).count();
        assert_eq!(excluded, if failed == 3 { 0 } else { failed }, "{failed} failed");
    }
    assert_eq!(simulation.health(), [Unreachable; 3]);
    let mut all_set_lost = plan();
    all_set_lost.sites.iter_mut().for_each(|site| site.operator_override = Some(OperatorOverride::Lost));
    simulation.controller.apply_plan(all_set_lost, simulation.now);
    simulation.run(5 * SECOND, 100.0, &all_answer);
    assert!(simulation.excluded().contains(&false), "set by operators");
}

#[test]
fn a_site_without_listed_hosts_is_suspect_while_they_answer_and_lost_otherwise() {
    for (answers, started, without_hosts, with_hosts) in [
        (true, 0, Suspect, Healthy),
        (false, 0, Lost, Recovering),
        // Listed again with hosts that have been restarted: they have to warm up.
        (true, 60 * SECOND, Suspect, Recovering),
    ] {
        let mut simulation = Simulation::usual();
        simulation.run(30 * SECOND, 100.0, &all_answer);
        simulation.list(HOSTS_PER_SITE..2 * HOSTS_PER_SITE, HostState::Gone, 0);
        for _ in 0..50 {
            simulation.run(100 * MILLISECOND, 100.0, &all_answer);
            if answers {
                simulation.end_attempt(HOSTS_PER_SITE, ANSWERED);
            }
        }
        assert_eq!(simulation.health(), [Healthy, without_hosts, Healthy]);
        simulation.list(HOSTS_PER_SITE..2 * HOSTS_PER_SITE, HostState::Ready, started);
        simulation.run(8 * SECOND, 100.0, &all_answer);
        assert_eq!(simulation.health(), [Healthy, with_hosts, Healthy], "{answers} {started}");
    }
}

#[test]
fn with_little_traffic_a_loss_is_detected_within_minutes_and_without_false_alarms() {
    let ten_per_minute = 1.0 / 6.0;
    let mut simulation = Simulation::usual();
    simulation.run(7_200 * SECOND, ten_per_minute, &fraction_times_out(0.05));
    assert!(simulation.has_moved_no_load(), "{:?}", simulation.changes);
    simulation.run(40 * SECOND, ten_per_minute, &site_times_out(1));
    assert_eq!(simulation.excluded(), [false; 3], "two or three failures are no evidence");
    simulation.run(600 * SECOND, ten_per_minute, &site_times_out(1));
    assert_eq!(simulation.health(), [Healthy, Lost, Healthy]);
}

#[test]
fn a_gateway_that_starts_during_a_loss_detects_it() {
    let mut simulation = Simulation::usual();
    simulation.run(5 * SECOND, 100.0, &site_times_out(2));
    assert_eq!(simulation.health(), [Healthy, Healthy, Lost]);
    // A site that discovery does not list at all is not considered lost, and its capacity is unknown.
    let identity = GatewayIdentity { gateways: 8, gateway_index: 1, zone: 0 };
    let mut controller = FailoverController::new(plan(), identity, 1, 0);
    let listed = |hosts: std::ops::Range<u64>, started| -> Vec<_> {
        hosts.map(|host| entry(host, HostState::Ready, started)).collect()
    };
    controller.on_host_list(0, HostListKind::Full, &listed(0..2 * HOSTS_PER_SITE, 0));
    (0..600).for_each(|n| drop(controller.tick(n * 100 * MILLISECOND)));
    assert!(controller.statuses().all(|status| status.health == Healthy));
    // When the site appears, its hosts have to warm up, so it recovers like a lost site.
    let third_site = listed(2 * HOSTS_PER_SITE..3 * HOSTS_PER_SITE, 61 * SECOND);
    controller.on_host_list(62 * SECOND, HostListKind::Delta, &third_site);
    drop(controller.tick(62 * SECOND));
    assert_eq!(controller.statuses().nth(2).unwrap().traffic_fraction, 0.0);
}

#[test]
fn failures_that_other_sites_have_too_are_no_evidence_against_a_site() {
    // Fourteen failures in a row at a site, while others answer all attempts, or three of five.
    for (failing_of_five, expected) in [(0, Lost), (2, Healthy)] {
        let mut simulation = Simulation::usual();
        simulation.run(30 * SECOND, 100.0, &all_answer);
        let count = std::cell::Cell::new(0);
        let others = |_, host| {
            count.set(count.get() + 1);
            match site_of(host) {
                1 => NOT_SENT,
                _ if count.get() % 5 < failing_of_five => TIMED_OUT,
                _ => ANSWERED,
            }
        };
        simulation.run(4 * SECOND, 100.0, &others);
        for n in 0..14 {
            simulation.end_attempt(HOSTS_PER_SITE + n % HOSTS_PER_SITE, TIMED_OUT);
            simulation.run(50 * MILLISECOND, 100.0, &others);
        }
        assert_eq!(simulation.excluded()[1], expected == Lost, "{failing_of_five} of 5 fail elsewhere");
    }
}

#[test]
fn a_site_is_not_lost_while_no_other_site_answers_as_a_reference() {
    // No site answers, and nearly all attempts are sent to one site, so that its failures are observed first.
    let mut simulation = Simulation::usual();
    simulation.run(30 * SECOND, 100.0, &all_answer);
    for n in 0..300 {
        simulation.end_attempt(HOSTS_PER_SITE + n % HOSTS_PER_SITE, TIMED_OUT);
        if n % 10 == 0 {
            let other_site = n / 10 % 2 * 2;
            simulation.end_attempt(other_site * HOSTS_PER_SITE + n / 20 % HOSTS_PER_SITE, TIMED_OUT);
        }
        simulation.run(20 * MILLISECOND, 100.0, &|_, _| NOT_SENT);
    }
    assert!(simulation.has_moved_no_load(), "{:?}", simulation.changes);
    assert_eq!(simulation.health()[1], Unreachable);
}

#[test]
fn a_site_that_answers_occasionally_is_lost_only_after_a_much_longer_run_of_failures() {
    let mut simulation = Simulation::usual();
    simulation.run(600 * SECOND, 100.0, &all_answer);
    let second_site_not_sent = second_site_ends(NOT_SENT);
    let fail = |simulation: &mut Simulation, count: u64| {
        (0..count).for_each(|n| simulation.end_attempt(HOSTS_PER_SITE + n % HOSTS_PER_SITE, TIMED_OUT));
        simulation.run(400 * MILLISECOND, 100.0, &second_site_not_sent);
    };
    // Ten of eleven attempts fail, for a while; then twenty in a row.
    for _ in 0..20 {
        fail(&mut simulation, 10);
        simulation.end_attempt(HOSTS_PER_SITE, ANSWERED);
    }
    fail(&mut simulation, 20);
    assert_eq!(simulation.excluded(), [false; 3]);
    fail(&mut simulation, 600);
    assert_eq!(simulation.health()[1], Lost, "the loss is detected in the end");
}
