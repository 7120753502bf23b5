//! What a site is held for, by what is seen of it.

use crate::common::{entry, plan, site_of, Bench, Ends, HOSTS, MILLISECOND, OK, SECOND, SILENT};
use policy::api::{HostListKind, HostState, Outcome, Span, Time};
use site_failover::{FailoverController, FailoverPlan, GatewayIdentity, OperatorOverride, SiteHealth};
use SiteHealth::{Healthy, Lost, Slow, Suspect, Unreachable};

/// A number that looks random, from 0 to 1, for each host and moment.
fn drawn(now: Time, host: u64) -> f64 {
    let bits = ((now / 1_000) ^ (host << 40)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ((bits ^ (bits >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11) as f64 / (1_u64 << 53) as f64
}

fn share_fails(share: f64) -> impl Fn(Time, u64) -> (Outcome, Span) {
    move |now, host| if drawn(now, host) < share { SILENT } else { OK }
}

fn lost(site: usize) -> impl Fn(Time, u64) -> (Outcome, Span) {
    move |_, host| if site_of(host) == site { SILENT } else { OK }
}

#[test]
fn a_site_is_held_for_what_its_attempts_show() {
    let all_well = |_, _| OK;
    let reset = |_, host| if site_of(host) == 1 { (Outcome::ConnectionReset, MILLISECOND) } else { OK };
    let withdrawn = |_, host| match site_of(host) {
        1 => (Outcome::Cancelled, 80 * MILLISECOND),
        _ => OK,
    };
    let soon = |_, host| if site_of(host) == 1 { (Outcome::Cancelled, 12 * MILLISECOND) } else { OK };
    let half = |_, host| if site_of(host) == 1 && host % 2 == 0 { SILENT } else { OK };
    let one = |_, host| if host == 8 { SILENT } else { OK };
    let two = |_, host| if site_of(host) < 2 { SILENT } else { OK };
    let all = |_, _| SILENT;
    let errors = |_, host| if site_of(host) == 1 { (Outcome::Error, 10 * MILLISECOND) } else { OK };
    let full = |_, host| if site_of(host) == 1 { (Outcome::Rejected, MILLISECOND) } else { OK };
    let slow = |_, host| if site_of(host) == 1 { (Outcome::Ok, 60 * MILLISECOND) } else { OK };
    let all_slow = |_, _| (Outcome::Ok, 60 * MILLISECOND);
    let cases: [(&str, Ends, [SiteHealth; 3]); 14] = [
        ("nothing is wrong", &all_well, [Healthy; 3]),
        ("silent", &lost(1), [Healthy, Lost, Healthy]),
        ("reset", &reset, [Healthy, Lost, Healthy]),
        ("withdrawn after several usual times", &withdrawn, [Healthy, Lost, Healthy]),
        ("withdrawn soon", &soon, [Healthy; 3]),
        ("half the hosts", &half, [Healthy; 3]),
        ("one bad host", &one, [Healthy; 3]),
        ("two of three sites", &two, [Lost, Lost, Healthy]),
        ("all sites alike", &all, [Unreachable; 3]),
        ("errors", &errors, [Healthy; 3]),
        ("turned away", &full, [Healthy; 3]),
        ("slow", &slow, [Healthy, Slow, Healthy]),
        ("all slow", &all_slow, [Healthy; 3]),
        ("a third of all attempts", &share_fails(0.33), [Healthy; 3]),
    ];
    for (case, ends, wanted) in cases {
        let mut bench = Bench::usual();
        bench.play(30 * SECOND, 100.0, &all_well);
        bench.play(10 * SECOND, 100.0, ends);
        // A run of failures that is not over yet is a remark, and moves nothing.
        let states = bench.states().into_iter().map(|state| if state == Suspect { Healthy } else { state });
        assert_eq!(states.collect::<Vec<_>>(), wanted, "{case}");
        let withheld: Vec<bool> = wanted.iter().map(|state| *state == Lost).collect();
        assert_eq!(bench.withheld(), withheld, "{case}");
        let moved = bench.changes.iter().filter(|change| change.4 == 0.0).count();
        assert_eq!(moved, withheld.iter().filter(|withheld| **withheld).count(), "{case}");
    }
}

#[test]
fn a_moments_trouble_on_the_way_moves_nothing() {
    let mut bench = Bench::usual();
    bench.play(30 * SECOND, 1_000.0, &|_, _| OK);
    bench.play(150 * MILLISECOND, 1_000.0, &|_, host| match site_of(host) {
        1 => (Outcome::ConnectFailed, MILLISECOND),
        _ => OK,
    });
    assert_eq!(bench.withheld(), [false; 3]);
    bench.play(10 * SECOND, 1_000.0, &|_, _| OK);
    assert!(bench.changes.iter().all(|change| change.4 == 1.0), "{:?}", bench.changes);
}

#[test]
fn one_host_condemns_no_site_however_much_of_its_traffic_it_has() {
    let mut bench = Bench::usual();
    bench.play(30 * SECOND, 100.0, &|_, _| OK);
    // From here on only one host of the site is sent to, and it is silent.
    for _ in 0..1_000 {
        bench.play(10 * MILLISECOND, 100.0, &|_, host| {
            if site_of(host) == 1 {
                (Outcome::NotSent, 0)
            } else {
                OK
            }
        });
        bench.ended(HOSTS, Outcome::Timeout, 300 * MILLISECOND);
    }
    assert_eq!(bench.withheld(), [false; 3]);
    // Four are enough.
    for host in HOSTS..HOSTS + 4 {
        (0..10).for_each(|_| bench.ended(host, Outcome::Timeout, 300 * MILLISECOND));
    }
    bench.play(SECOND, 100.0, &|_, host| if site_of(host) == 1 { (Outcome::NotSent, 0) } else { OK });
    assert_eq!(bench.states()[1], Lost);
}

#[test]
fn a_site_that_others_answer_through_fails_for_long_before_it_is_lost() {
    // A third of one site's attempts fail for ten minutes; and all sites' two thirds do.
    let here = |now, host| if site_of(host) == 1 { share_fails(0.33)(now, host) } else { OK };
    let everywhere = share_fails(0.66);
    let cases: [(&str, Ends); 2] = [("one site", &here), ("everywhere", &everywhere)];
    for (case, ends) in cases {
        let mut bench = Bench::usual();
        bench.play(30 * SECOND, 100.0, &|_, _| OK);
        bench.play(600 * SECOND, 100.0, ends);
        assert!(bench.changes.iter().all(|change| change.4 == 1.0), "{case}: {:?}", bench.changes);
    }
}

#[test]
fn a_gateway_that_is_cut_off_acts_for_what_still_answers() {
    // All but the own site fail; whether discovery and the counter are silent as well tells who is cut off.
    for (silent, state) in [(true, Unreachable), (false, Lost)] {
        let mut bench = Bench::usual();
        bench.play(30 * SECOND, 100.0, &|_, _| OK);
        bench.sites.on_discovery_status(bench.now, silent);
        bench.sites.on_counter_status(bench.now, silent);
        bench.play(10 * SECOND, 100.0, &|_, host| if site_of(host) == 0 { OK } else { SILENT });
        assert_eq!(bench.states(), [Healthy, state, state], "{silent}");
        assert_eq!(bench.withheld(), [false, true, true]);
    }
}

#[test]
fn no_gateway_withholds_all_sites() {
    let mut bench = Bench::usual();
    bench.play(30 * SECOND, 100.0, &|_, _| OK);
    for gone in 1..=3 {
        bench.play(20 * SECOND, 100.0, &|_, host| if site_of(host) < gone { SILENT } else { OK });
        let withheld = bench.withheld().iter().filter(|withheld| **withheld).count();
        assert_eq!(withheld, if gone == 3 { 0 } else { gone }, "{gone} gone");
    }
    assert_eq!(bench.states(), [Unreachable; 3]);
    let mut all_told = plan();
    all_told.sites.iter_mut().for_each(|site| site.operator_override = Some(OperatorOverride::Lost));
    bench.sites.apply_plan(all_told, bench.now);
    bench.play(5 * SECOND, 100.0, &|_, _| OK);
    assert!(bench.withheld().contains(&false), "told by hand");
}

#[test]
fn discovery_that_empties_a_site_is_doubted_while_its_hosts_answer() {
    for (answers, started, after, at_last) in [
        (true, 0, Suspect, Healthy),
        (false, 0, Lost, SiteHealth::Recovering),
        // Listed anew with hosts that started since: they are cold.
        (true, 60 * SECOND, Suspect, SiteHealth::Recovering),
    ] {
        let mut bench = Bench::usual();
        bench.play(30 * SECOND, 100.0, &|_, _| OK);
        bench.list(HOSTS..2 * HOSTS, HostState::Gone, 0);
        for _ in 0..50 {
            bench.play(100 * MILLISECOND, 100.0, &|_, _| OK);
            if answers {
                bench.ended(HOSTS, Outcome::Ok, 10 * MILLISECOND);
            }
        }
        assert_eq!(bench.states(), [Healthy, after, Healthy]);
        bench.list(HOSTS..2 * HOSTS, HostState::Ready, started);
        bench.play(8 * SECOND, 100.0, &|_, _| OK);
        assert_eq!(bench.states(), [Healthy, at_last, Healthy], "{answers} {started}");
    }
}

#[test]
fn with_thin_traffic_a_loss_is_found_late_and_none_is_made_up() {
    let ten_a_minute = 1.0 / 6.0;
    let mut bench = Bench::usual();
    bench.play(7_200 * SECOND, ten_a_minute, &share_fails(0.05));
    assert!(bench.changes.iter().all(|change| change.4 == 1.0), "{:?}", bench.changes);
    bench.play(40 * SECOND, ten_a_minute, &lost(1));
    assert_eq!(bench.withheld(), [false; 3], "two or three failures tell nothing");
    bench.play(600 * SECOND, ten_a_minute, &lost(1));
    assert_eq!(bench.states(), [Healthy, Lost, Healthy]);
}

#[test]
fn a_gateway_that_starts_during_the_outage_finds_it() {
    let mut bench = Bench::usual();
    bench.play(5 * SECOND, 100.0, &lost(2));
    assert_eq!(bench.states(), [Healthy, Healthy, Lost]);
    // One that discovery does not even list is not lost to it, and its part falls to nobody.
    let mut sites =
        FailoverController::new(plan(), GatewayIdentity { gateways: 8, gateway_index: 1, zone: 0 }, 1, 0);
    let entries: Vec<_> = (0..2 * HOSTS).map(|host| entry(host, HostState::Ready, 0)).collect();
    sites.on_host_list(0, HostListKind::Full, &entries);
    (0..600).for_each(|n| drop(sites.tick(n * 100 * MILLISECOND)));
    assert!(sites.statuses().all(|site| site.health == Healthy));
    // As it comes up it is cold, and returns like any.
    let entries: Vec<_> =
        (2 * HOSTS..3 * HOSTS).map(|host| entry(host, HostState::Ready, 61 * SECOND)).collect();
    sites.on_host_list(62 * SECOND, HostListKind::Delta, &entries);
    sites.tick(62 * SECOND);
    assert_eq!(sites.statuses().nth(2).unwrap().traffic_fraction, 0.0);
}

#[test]
fn what_is_told_by_hand_goes_first() {
    let mut bench = Bench::usual();
    bench.play(10 * SECOND, 100.0, &|_, _| OK);
    let mut told = plan();
    told.sites[1].operator_override = Some(OperatorOverride::Lost);
    bench.sites.apply_plan(told.clone(), bench.now);
    bench.sent = [0; 3];
    bench.play(30 * SECOND, 100.0, &|_, _| OK);
    assert_eq!((bench.states()[1], bench.sent[1]), (Lost, 0), "not even trials");
    told.sites[1].operator_override = Some(OperatorOverride::Healthy);
    bench.sites.apply_plan(told, bench.now);
    bench.play(10 * SECOND, 100.0, &lost(1));
    assert_eq!(bench.withheld(), [false; 3]);
    // Told nothing any more, it is judged again.
    bench.sites.apply_plan(plan(), bench.now);
    bench.play(10 * SECOND, 100.0, &lost(1));
    assert_eq!(bench.states()[1], Lost);
}

#[test]
fn another_plan_in_mid_loss_keeps_the_course_of_sites_that_keep_their_names() {
    let mut bench = Bench::usual();
    bench.play(30 * SECOND, 100.0, &|_, _| OK);
    bench.play(5 * SECOND, 100.0, &lost(1));
    let mut other = plan();
    other.sites.swap(0, 1);
    other.sites.iter_mut().for_each(|site| site.failover_targets.clear());
    let before = bench.changes.len();
    bench.sites.apply_plan(other, bench.now);
    bench.play(5 * SECOND, 100.0, &lost(1));
    assert_eq!(bench.states(), [Lost, Healthy, Healthy], "south comes first now");
    assert_eq!(bench.changes.len(), before, "and is not lost anew: {:?}", bench.changes);
    // No sites any more, though there is a ladder still.
    bench.sites.apply_plan(FailoverPlan { sites: vec![], ..plan() }, bench.now);
    assert!(bench.sites.is_idle() && bench.sites.next_tick_at() <= bench.now);
    let turn = bench.sites.tick(bench.now).unwrap();
    assert!(turn.changed_hosts.len() as u64 >= HOSTS - 1, "what was withheld is let go: {turn:?}");
    assert!(bench.sites.next_tick_at() == Time::MAX && bench.sites.tick(bench.now).is_none());
    assert!((0..3 * HOSTS).all(|host| !bench.sites.is_excluded(policy::api::HostId(host))));
}

#[test]
fn what_fails_elsewhere_too_is_held_against_no_site() {
    // Fourteen failures in a row at a site, while others answer all, or three of five.
    for (elsewhere, wanted) in [(0, Lost), (2, Healthy)] {
        let mut bench = Bench::usual();
        bench.play(30 * SECOND, 100.0, &|_, _| OK);
        let count = std::cell::Cell::new(0);
        let others = |_, host| {
            count.set(count.get() + 1);
            match site_of(host) {
                1 => (Outcome::NotSent, 0),
                _ if count.get() % 5 < elsewhere => SILENT,
                _ => OK,
            }
        };
        bench.play(4 * SECOND, 100.0, &others);
        for n in 0..14 {
            bench.ended(HOSTS + n % HOSTS, Outcome::Timeout, 300 * MILLISECOND);
            bench.play(50 * MILLISECOND, 100.0, &others);
        }
        assert_eq!(bench.withheld()[1], wanted == Lost, "{elsewhere} of 5 fail elsewhere");
    }
}

#[test]
fn a_site_is_not_lost_while_nobody_tells_whether_others_are() {
    // Nothing is answered anywhere, and nearly all is sent to one site, so that its failures are seen first.
    let mut bench = Bench::usual();
    bench.play(30 * SECOND, 100.0, &|_, _| OK);
    for n in 0..300 {
        bench.ended(HOSTS + n % HOSTS, Outcome::Timeout, 300 * MILLISECOND);
        if n % 10 == 0 {
            bench.ended(n / 10 % 2 * 2 * HOSTS + n / 20 % HOSTS, Outcome::Timeout, 300 * MILLISECOND);
        }
        bench.play(20 * MILLISECOND, 100.0, &|_, _| (Outcome::NotSent, 0));
    }
    assert!(bench.changes.iter().all(|change| change.4 == 1.0), "{:?}", bench.changes);
    assert_eq!(bench.states()[1], Unreachable);
}

#[test]
fn a_site_that_has_been_answering_now_and_then_is_not_lost_to_a_longer_run() {
    let mut bench = Bench::usual();
    bench.play(600 * SECOND, 100.0, &|_, _| OK);
    let others = |_, host| if site_of(host) == 1 { (Outcome::NotSent, 0) } else { OK };
    let fails = |bench: &mut Bench, count: u64| {
        (0..count).for_each(|n| bench.ended(HOSTS + n % HOSTS, Outcome::Timeout, 300 * MILLISECOND));
        bench.play(400 * MILLISECOND, 100.0, &others);
    };
    // Ten of eleven fail, for a while; then twenty in a row.
    for _ in 0..20 {
        fails(&mut bench, 10);
        bench.ended(HOSTS, Outcome::Ok, 10 * MILLISECOND);
    }
    fails(&mut bench, 20);
    assert_eq!(bench.withheld(), [false; 3]);
    fails(&mut bench, 600);
    assert_eq!(bench.states()[1], Lost, "but it is found");
}
