//! How a site that was lost comes back, and what is refused meanwhile.

use crate::common::{plan, site_of, Bench, Doubt, Return, HOSTS, MILLISECOND, OK, SECOND, SILENT};
use policy::api::{HostId, HostState, Outcome, RejectReason, RequestId, Span, Time};
use site_failover::{FailoverController, GatewayIdentity, SiteHealth, SiteSet};
use SiteHealth::{Healthy, Lost, Probing, Recovering};

fn lost(site: usize) -> impl Fn(Time, u64) -> (Outcome, Span) {
    move |_, host| if site_of(host) == site { SILENT } else { OK }
}

/// A gateway that has lost its second site a while ago.
fn after_a_loss() -> Bench {
    let mut bench = Bench::usual();
    bench.play(30 * SECOND, 200.0, &|_, _| OK);
    bench.play(30 * SECOND, 200.0, &lost(1));
    assert_eq!(bench.states(), [Healthy, Lost, Healthy]);
    bench
}

#[test]
fn a_return_follows_what_the_site_answers() {
    let well = |_, _| OK;
    let slow = |_, host| if site_of(host) == 1 { (Outcome::Ok, 22 * MILLISECOND) } else { OK };
    let fails = |now: Time, host| if site_of(host) == 1 && now / MILLISECOND % 3 != 0 { SILENT } else { OK };
    let half = |_, host| if site_of(host) == 1 && host % 2 == 0 { SILENT } else { OK };
    let one = |_, host| if site_of(host) == 1 && host != 8 { SILENT } else { OK };
    let cases: [Return; 5] = [
        ("one host", &one, [(30, 0.0, 0.0), (120, 0.0, 0.0)]),
        ("warm", &well, [(30, 0.1, 0.6), (90, 1.0, 1.0)]),
        ("slow", &slow, [(30, 0.05, 0.1), (90, 0.05, 0.2)]),
        ("two of three attempts fail", &fails, [(30, 0.0, 0.05), (90, 0.0, 0.1)]),
        ("half the hosts", &half, [(60, 0.1, 0.6), (180, 1.0, 1.0)]),
    ];
    for (case, ends, wanted) in cases {
        let mut bench = after_a_loss();
        let back = bench.now;
        for (after, least, most) in wanted {
            bench.play(back + after * SECOND - bench.now, 200.0, ends);
            let share = bench.share(1);
            assert!((least..=most).contains(&share), "{case}: {share} after {after} s");
        }
    }
}

#[test]
fn a_share_is_taken_back_when_the_site_turns_worse() {
    let mut bench = after_a_loss();
    bench.play(40 * SECOND, 200.0, &|_, _| OK);
    let before = bench.share(1);
    bench.play(6 * SECOND, 200.0, &|_, host| match site_of(host) {
        1 => (Outcome::Ok, 80 * MILLISECOND),
        _ => OK,
    });
    assert!(bench.share(1) < before && bench.states()[1] == Recovering, "{before} {}", bench.share(1));
    bench.play(240 * SECOND, 200.0, &|_, _| OK);
    assert_eq!(bench.states()[1], Healthy);
}

#[test]
fn a_returning_site_gets_its_share_of_its_part_at_most() {
    let mut bench = after_a_loss();
    bench.play(5 * SECOND, 200.0, &|_, _| OK);
    for _ in 0..8 {
        let (share, mut admitted) = (bench.share(1), 0);
        if share == 1.0 {
            break;
        }
        for id in 0..30_000 {
            let to = bench.sites.allowed_sites(bench.now, RequestId(1_000_000 + id), true);
            assert_eq!(
                to,
                bench.sites.allowed_sites(bench.now, RequestId(1_000_000 + id), true),
                "always the same"
            );
            admitted += u32::from(to.contains(1));
        }
        let of_part = f64::from(admitted) / 30_000.0 * 3.0;
        assert!((of_part - share).abs() < 0.03, "{of_part} of {share}");
        bench.play(8 * SECOND, 200.0, &|_, _| OK);
    }
}

/// Hosts that fail are left alone, so evidence on a site runs dry unless it is asked for.
#[test]
fn a_site_in_doubt_is_asked_by_safe_requests_now_and_then_until_it_is_known() {
    let mut bench = Bench::usual();
    bench.play(30 * SECOND, 200.0, &|_, _| OK);
    (0..9).for_each(|n| bench.ended(HOSTS + n % 3, Outcome::Timeout, 300 * MILLISECOND));
    let mut asked = 0;
    for n in 0..100 {
        bench.now += 20 * MILLISECOND;
        // The other sites answer, and nothing is sent to this one.
        (0..2).for_each(|site| bench.ended(2 * HOSTS * site, OK.0, OK.1));
        bench.tick();
        assert_eq!(bench.sites.allowed_sites(bench.now, RequestId(n), false), SiteSet::ALL);
        asked += u32::from(bench.sites.allowed_sites(bench.now, RequestId(n), true) == SiteSet::one(1));
    }
    assert!((6..=10).contains(&asked), "each 0.2 s: {asked}");
    bench.ended(HOSTS, OK.0, OK.1);
    bench.play(SECOND, 200.0, &|_, _| OK);
    let to = (0..100).map(|n| bench.sites.allowed_sites(bench.now, RequestId(n), true));
    assert!(to.into_iter().all(|to| to == SiteSet::ALL), "it has answered");
}

#[test]
fn what_must_not_run_twice_is_no_trial_and_comes_late_in_a_return() {
    let mut bench = after_a_loss();
    let mut tried = 0;
    for n in 0..200 {
        bench.now += 50 * MILLISECOND;
        bench.tick();
        // A set that holds the site is of no use while all its hosts are withheld.
        let mut hosts = (HOSTS..2 * HOSTS).map(HostId);
        let is_open = hosts.any(|host| !bench.sites.is_excluded(host));
        assert!(!is_open || !bench.sites.allowed_sites(bench.now, RequestId(n), false).contains(1));
        tried += u32::from(bench.sites.allowed_sites(bench.now, RequestId(n), true) == SiteSet::one(1));
    }
    assert!((5..=11).contains(&tried), "one that may run twice is, each second: {tried}");
    bench.play(5 * SECOND, 200.0, &|_, _| OK);
    assert_eq!((bench.states()[1], bench.share(1)), (Recovering, 0.05));
    assert!((0..5_000).all(|n| !bench.sites.allowed_sites(bench.now, RequestId(n), false).contains(1)));
}

#[test]
fn a_lost_sites_load_goes_to_its_takers_by_their_shares() {
    // Shares of what is asked for that are bound to the first and the third site, by what the plan says.
    for (shares, capacity, wanted) in [
        ([0.5, 0.5], None, [0.167, 0.167]),
        ([0.9, 0.1], None, [0.3, 0.033]),
        ([0.3, 0.0], None, [0.1, 0.0]),
        // The first has room for a fifth of the lost site's load: 132 x 0.9 - 100 of 100.
        ([1.0, 0.0], Some(133.4), [0.067, 0.0]),
    ] {
        let mut plan = plan();
        plan.sites[1].failover_targets[0].fraction = shares[0];
        plan.sites[1].failover_targets[1].fraction = shares[1];
        for site in &mut plan.sites {
            (site.capacity, site.load, site.headroom) = (capacity, capacity.map(|_| 100.0), 0.1);
        }
        let mut bench = Bench::new(plan, GatewayIdentity { gateways: 8, gateway_index: 0, zone: 0 });
        bench.play(30 * SECOND, 200.0, &|_, _| OK);
        bench.play(5 * SECOND, 200.0, &lost(1));
        let mut bound = [0.0; 3];
        for id in 0..30_000 {
            let to = bench.sites.allowed_sites(bench.now, RequestId(id), false);
            (0..3).filter(|site| to == SiteSet::one(*site)).for_each(|site| bound[site] += 1.0 / 30_000.0);
        }
        let near = |a: f64, b: f64| (a - b).abs() < 0.015;
        assert!(
            near(bound[0], wanted[0]) && near(bound[2], wanted[1]) && bound[1] == 0.0,
            "{shares:?}: {bound:?}"
        );
    }
}

#[test]
fn a_site_that_flaps_begins_to_return_once_a_minute_at_most_and_ever_more_rarely() {
    let mut bench = Bench::usual();
    bench.play(30 * SECOND, 200.0, &|_, _| OK);
    let flaps =
        |now: Time, host| if site_of(host) == 1 && now / (10 * SECOND) % 2 == 1 { SILENT } else { OK };
    bench.play(900 * SECOND, 200.0, &flaps);
    let begun = bench.came_to(1, Recovering);
    let spans: Vec<Time> = begun.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(!spans.is_empty() && spans.iter().all(|span| *span >= 60 * SECOND), "{spans:?}");
    assert!(spans.windows(2).all(|pair| pair[1] > pair[0]), "{spans:?}");
    // Whole for long, it is trusted as before: two returns in three minutes, not in ten.
    bench.play(1_500 * SECOND, 200.0, &|_, _| OK);
    assert_eq!(bench.states()[1], Healthy);
    let from = bench.now;
    bench.play(5 * SECOND, 200.0, &lost(1));
    bench.play(15 * SECOND, 200.0, &|_, _| OK);
    bench.play(5 * SECOND, 200.0, &lost(1));
    bench.play(155 * SECOND, 200.0, &|_, _| OK);
    assert_eq!(bench.came_to(1, Recovering).iter().filter(|at| **at >= from).count(), 2);
}

#[test]
fn no_return_begins_in_doubt_but_doubt_that_stays_only_slows_it() {
    let cases: [(&str, Doubt); 2] = [
        ("discovery", FailoverController::on_discovery_status),
        ("the counter", FailoverController::on_counter_status),
    ];
    for (case, doubt) in cases {
        let mut bench = after_a_loss();
        doubt(&mut bench.sites, bench.now, true);
        bench.play(25 * SECOND, 200.0, &|_, _| OK);
        assert_eq!(bench.states()[1], Probing, "{case}");
        bench.play(15 * SECOND, 200.0, &|_, _| OK);
        assert_eq!(bench.states()[1], Recovering, "{case}");
        bench.play(90 * SECOND, 200.0, &|_, _| OK);
        assert_eq!(bench.states()[1], Recovering, "{case}: half the pace");
        bench.play(90 * SECOND, 200.0, &|_, _| OK);
        assert_eq!(bench.states()[1], Healthy, "{case}");
    }
}

#[test]
fn another_site_is_lost_during_a_return() {
    let mut bench = after_a_loss();
    bench.play(25 * SECOND, 200.0, &|_, _| OK);
    assert_eq!(bench.states(), [Healthy, Recovering, Healthy]);
    bench.play(10 * SECOND, 200.0, &lost(2));
    assert_eq!(bench.states(), [Healthy, Recovering, Lost]);
    // Both return: neither at the full pace.
    let began = bench.now;
    bench.play(65 * SECOND, 200.0, &|_, _| OK);
    assert_ne!(bench.states()[2], Healthy);
    bench.play(120 * SECOND, 200.0, &|_, _| OK);
    assert_eq!(bench.states(), [Healthy; 3]);
    assert!(bench.came_to(2, Healthy)[0] - began > 70 * SECOND);
}

#[test]
fn the_fleet_tries_a_lost_site_with_a_stated_number_of_requests_a_second_whatever_its_size() {
    for gateways in [3, 30, 300] {
        let (mut trials, mut turned) = (0, 0);
        for me in 0..gateways {
            let mut bench = Bench::new(plan(), GatewayIdentity { gateways, gateway_index: me, zone: 0 });
            bench.play(10 * SECOND, 50.0, &|_, _| OK);
            bench.play(10 * SECOND, 50.0, &lost(1));
            assert_eq!(bench.states()[1], Lost);
            bench.trials = 0;
            bench.play(30 * SECOND, 50.0, &lost(1));
            trials += bench.trials;
            turned += u32::from(bench.trials > 0);
        }
        assert!(trials <= 31 * 30 && trials <= 31 * gateways, "{gateways}: {trials} in 30 s");
        assert_eq!(turned, gateways, "each has its turns");
    }
}

#[test]
fn the_ladder_is_climbed_in_its_order_and_left_slowly() {
    let mut bench = after_a_loss();
    // For want of slots: so many requests of 100 a second, of three classes in equal parts, are given up.
    let mut second = |wants: u32| {
        for n in 0..100 {
            let class = n % 3;
            bench.sites.on_request_received(class, 0);
            // What is refused already is not given up.
            let keep = bench.keep.get(class).copied().unwrap_or(1.0);
            let given_up = (n as u32) * wants / 100 != (n as u32 + 1) * wants / 100;
            if given_up && (n as f64 * 0.618).fract() < keep {
                bench.sites.on_request_rejected(RejectReason::QueueTooLong);
            }
        }
        bench.play(SECOND, 200.0, &lost(1));
        bench.keep.clone()
    };
    let at = |share: f64, floor: f64| (share - floor).abs() < 1e-9;
    let in_order = |keep: &[f64]| match keep {
        [] => true,
        [batch, browse, orders] => *orders == 1.0 && *browse > 0.29 && (at(*browse, 1.0) || at(*batch, 0.1)),
        _ => false,
    };
    assert!(second(0).is_empty());
    let keeps: Vec<Vec<f64>> = (0..30).map(|_| second(30)).collect();
    assert!(keeps.iter().all(|keep| in_order(keep)), "{keeps:?}");
    assert!(keeps[0][0] > 0.1 && keeps[0][1] == 1.0, "the first rung goes first: {:?}", keeps[0]);
    assert!(
        at(keeps[29][0], 0.1) && at(keeps[29][1], 0.3),
        "to their floors, and no further: {:?}",
        keeps[29]
    );
    let calm: Vec<Vec<f64>> = (0..10).map(|_| second(0)).collect();
    assert!(calm.iter().all(|keep| in_order(keep)), "{calm:?}");
    assert!(calm[9][1] > 0.35 && at(calm[9][0], 0.1), "the last rung is left first, slowly: {:?}", calm[9]);
    let calm: Vec<Vec<f64>> = (0..90).map(|_| second(0)).collect();
    assert!(calm[89].is_empty());
}

#[test]
fn nothing_is_refused_by_the_ladder_while_all_sites_are_whole() {
    let mut bench = Bench::usual();
    for _ in 0..20 {
        (0..100).for_each(|_| bench.sites.on_request_received(0, 0));
        (0..50).for_each(|_| bench.sites.on_request_rejected(RejectReason::QueuedTooLong));
        bench.play(SECOND, 200.0, &|_, _| OK);
    }
    assert!(bench.keep.is_empty());
    bench.list(0..1, HostState::Draining, 0);
    bench.play(SECOND, 200.0, &|_, _| OK);
    assert_eq!(bench.states(), [Healthy; 3]);
}
