//! Client behaviour: demand, arrival times, gateway selection, and reactions to outcomes.

use cluster_model::observation::ClientOutcome;
use cluster_model::requests::{self, RequestSampler};
use cluster_model::scenario::{ClassSpec, Event, Idempotency, ScheduledEvent, Site, Traffic};
use cluster_model::traffic::{
    Arrival, Arrivals, BuildingBias, ClientBehaviour, GatewaySelector, RequestOutcome, Retry, TrafficWindow,
};
use cluster_model::{Span, MS, SECOND};
use std::collections::{BTreeMap, BTreeSet};

const SEED: u64 = 11;

fn until(arrivals: Arrivals, end: Span) -> Vec<Arrival> {
    arrivals.take_while(|arrival| arrival.at < end).collect()
}

/// Traffic in which no customer exceeds its quota.
fn traffic_within_quotas() -> Traffic {
    Traffic { heavy: (0.0, 1.0), bursty: (0.0, 1.0), ..Traffic::default() }
}

fn units(list: &[Arrival], traffic: &Traffic, plan: u32) -> f64 {
    let sampler = RequestSampler::new(SEED, traffic);
    let of_plan = list.iter().filter(|arrival| arrival.plan == plan);
    of_plan.map(|arrival| f64::from(sampler.units(requests::request_id(arrival.operation, 0)))).sum()
}

#[test]
fn the_demand_of_each_plan_is_its_share_of_the_rate() {
    let (site, traffic) = (Site::default(), traffic_within_quotas());
    let arrivals = Arrivals::new(&site, &traffic, SEED);
    let rates = arrivals.rates().to_vec();
    let list = until(arrivals, 600 * SECOND);
    let mean_units = RequestSampler::new(SEED, &traffic).mean_units();
    for (number, plan) in site.plans.iter().enumerate() {
        let expected = traffic.rate * mean_units * plan.share;
        let actual = units(&list, &traffic, number as u32) / 600.0;
        assert!((actual / expected - 1.0).abs() < 0.03, "{}: {actual} for {expected}", plan.name);
        assert!((rates[number].within_quota / expected - 1.0).abs() < 1e-6);
        assert_eq!(rates[number].beyond_quota, 0.0);
    }
    for (number, class) in site.classes.iter().enumerate() {
        let of_class = list.iter().filter(|arrival| arrival.class == number as u32).count();
        assert!((of_class as f64 / list.len() as f64 - class.share).abs() < 0.01);
    }
}

#[test]
fn arrivals_are_in_time_order_and_numbered_from_one() {
    let list = until(Arrivals::new(&Site::default(), &Traffic::default(), SEED), 60 * SECOND);
    assert!(list.len() > 60 * 130);
    assert!(list.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(list.iter().zip(1..).all(|(arrival, number)| arrival.operation == number));
}

#[test]
fn the_same_seed_gives_the_same_arrivals_and_another_seed_others() {
    let list = |seed| until(Arrivals::new(&Site::default(), &Traffic::default(), seed), 20 * SECOND);
    assert_eq!(list(SEED), list(SEED));
    assert_ne!(list(SEED), list(SEED + 1));
}

/// Units beyond the quotas, and all units, computed with a token bucket for each customer.
fn beyond(list: &[Arrival], site: &Site, traffic: &Traffic) -> (f64, f64) {
    let sampler = RequestSampler::new(SEED, traffic);
    let mut buckets: BTreeMap<u64, (Span, f64)> = BTreeMap::new();
    let (mut beyond, mut all) = (0.0, 0.0);
    for arrival in list {
        let plan = &site.plans[arrival.plan as usize];
        let (at, available) = buckets.entry(arrival.customer).or_insert((0, plan.burst));
        let filled = (arrival.at - *at) as f64 / SECOND as f64 * plan.rate;
        *available = (*available + filled).min(plan.burst);
        *at = arrival.at;
        let units = f64::from(sampler.units(requests::request_id(arrival.operation, 0)));
        all += units;
        if *available >= units {
            *available -= units;
        } else {
            beyond += units;
        }
    }
    (beyond, all)
}

#[test]
fn heavy_and_spiky_customers_exceed_their_quotas_and_the_total_excess_is_bounded() {
    let site = Site::default();
    let share = |traffic: &Traffic| {
        let list = until(Arrivals::new(&site, traffic, SEED), 600 * SECOND);
        let (beyond, all) = beyond(&list, &site, traffic);
        beyond / (all - beyond)
    };
    let excessive =
        Traffic { heavy: (0.3, 9.0), bursty: (0.3, 12.0), max_excess: 10.0, ..Traffic::default() };
    assert!(share(&excessive) > 1.0, "{}", share(&excessive));
    let bounded = Traffic { max_excess: 0.3, ..excessive.clone() };
    assert!((0.15..0.36).contains(&share(&bounded)), "{}", share(&bounded));
    assert!(share(&traffic_within_quotas()) < 0.03, "{}", share(&traffic_within_quotas()));

    let rates = Arrivals::new(&site, &bounded, SEED).rates().to_vec();
    let sum = |of: fn(&_) -> f64| rates.iter().map(of).sum::<f64>();
    assert!((sum(|plan| plan.beyond_quota) / sum(|plan| plan.within_quota) - 0.3).abs() < 1e-6);
}

#[test]
fn heavy_customers_have_long_phases_of_high_demand() {
    let site = Site::default();
    let traffic = Traffic { heavy: (1.0, 9.0), bursty: (0.0, 1.0), near_quota: 0.0, ..Traffic::default() };
    let traffic = Traffic { max_excess: 100.0, ..traffic };
    let list = until(Arrivals::new(&site, &traffic, SEED), 300 * SECOND);
    let premium = list.iter().find(|arrival| arrival.plan == 1).map(|arrival| arrival.customer);
    let mut by_second = vec![0_u32; 300];
    for arrival in list.iter().filter(|arrival| Some(arrival.customer) == premium) {
        by_second[(arrival.at / SECOND) as usize] += 1;
    }
    // The customer sends 12 requests per second at its quota rate, and at least five times as many in phases of high
    // demand.
    let phases: Vec<usize> = by_second.chunk_by(|a, b| (*a > 25) == (*b > 25)).map(<[u32]>::len).collect();
    assert!((10..=30).contains(&phases.len()), "{phases:?}");
    assert!(phases[1..phases.len() - 1].iter().all(|length| (9..=31).contains(length)), "{phases:?}");
}

#[test]
fn a_window_does_not_change_arrivals_outside_it() {
    let (site, traffic) = (Site::default(), Traffic::default());
    let usual = until(Arrivals::new(&site, &traffic, SEED), 30 * SECOND);
    let window = |factor| TrafficWindow { from: 10 * SECOND, until: 20 * SECOND, factor, ramp: 2 * SECOND };
    let outside = |list: &[Arrival]| -> Vec<Arrival> {
        let inside = 10 * SECOND..20 * SECOND;
        list.iter().filter(|arrival| !inside.contains(&arrival.at)).cloned().collect()
    };
    for factor in [0.25, 4.0] {
        let arrivals = Arrivals::new(&site, &traffic, SEED).with_windows(&[window(factor)]);
        assert_eq!(arrivals.traffic_factor(15 * SECOND), factor);
        assert_eq!(arrivals.traffic_factor(20 * SECOND), 1.0);
        let list = until(arrivals, 30 * SECOND);
        assert_eq!(outside(&list), outside(&usual));
        let count = |list: &[Arrival], from: Span, to: Span| {
            list.iter().filter(|arrival| (from..to).contains(&arrival.at)).count() as f64
        };
        let times = |from, to| count(&list, from, to) / count(&usual, from, to);
        let plateau = times(12 * SECOND, 18 * SECOND);
        assert!((plateau / factor - 1.0).abs() < 0.1, "{plateau} for {factor}");
        let ramp_up = times(10 * SECOND, 12 * SECOND);
        assert!((ramp_up / ((1.0 + factor) / 2.0) - 1.0).abs() < 0.2, "{ramp_up} on the ramp to {factor}");
    }
}

#[test]
fn overlapping_windows_add_up_and_do_not_change_each_other() {
    let (site, traffic) = (Site::default(), Traffic::default());
    let window = |from, factor| TrafficWindow { from, until: from + 10 * SECOND, factor, ramp: 0 };
    let (first, second) = (window(0, 2.0), window(5 * SECOND, 3.0));
    let alone = until(Arrivals::new(&site, &traffic, SEED).with_windows(&[first]), 5 * SECOND);
    let both = Arrivals::new(&site, &traffic, SEED).with_windows(&[first, second]);
    assert_eq!(both.traffic_factor(7 * SECOND), 4.0);
    let both = until(both, 15 * SECOND);
    assert!(both.starts_with(&alone));
    let operations: BTreeSet<u64> = both.iter().map(|arrival| arrival.operation).collect();
    assert_eq!(operations.len(), both.len());
}

#[test]
fn windows_are_created_from_scenario_events() {
    let timed = |event| ScheduledEvent { at: 4 * SECOND, trigger: None, line: 1, event };
    let events = [timed(Event::AddHosts(1)), timed(Event::Traffic(2.0, 6 * SECOND, SECOND))];
    let window = TrafficWindow { from: 4 * SECOND, until: 10 * SECOND, factor: 2.0, ramp: SECOND };
    assert_eq!(TrafficWindow::from_events(&events), [window]);
}

/// Share of the requests that go to the most used gateway of their customer, while the weights stay the same.
fn top_share(skew: f64) -> f64 {
    let mut site = Site::default();
    site.plans.truncate(1);
    site.plans[0].spread = 3;
    let traffic =
        Traffic { rate: 2000.0, skew, imbalance_interval: 1000 * SECOND, ..traffic_within_quotas() };
    site.plans[0].rate = 400.0;
    let list = until(Arrivals::new(&site, &traffic, SEED), 40 * SECOND);
    let mut customers: BTreeMap<u64, [u32; 3]> = BTreeMap::new();
    for arrival in &list {
        customers.entry(arrival.customer).or_default()[arrival.gateway as usize] += 1;
    }
    let top: u32 = customers.values().filter_map(|counts| counts.iter().max()).sum();
    f64::from(top) / list.len() as f64
}

#[test]
fn skew_makes_the_distribution_over_gateways_uneven() {
    assert!((top_share(0.0) - 1.0 / 3.0).abs() < 0.02, "{}", top_share(0.0));
    assert!((0.45..0.6).contains(&top_share(0.8)), "{}", top_share(0.8));
    assert!(top_share(4.0) > 0.75, "{}", top_share(4.0));
}

#[test]
fn weights_change_periodically_and_an_unusable_gateway_does_not_affect_requests_to_others() {
    let site = Site { gateways: 5, ..Site::default() };
    let selector = GatewaySelector::new(
        &site,
        &Traffic { skew: 3.0, imbalance_interval: SECOND, ..Traffic::default() },
        SEED,
    );
    let arrival = |operation| Arrival {
        at: 0,
        operation,
        customer: 5,
        plan: 0,
        class: 0,
        gateway_set_size: 3,
        first_gateway: 4,
        gateway: 4,
    };
    let counts = |at: Span| {
        let mut counts = [0_u32; 5];
        for operation in 1..2000 {
            counts[selector.select(&arrival(operation), 0, at, |_| true).unwrap() as usize] += 1;
        }
        counts
    };
    assert_eq!(counts(0), counts(SECOND - 1));
    assert_eq!([counts(0)[2], counts(0)[3]], [0, 0], "the set is 4, 0, 1");
    let differ = |other: Span| (0..5).any(|n| counts(0)[n].abs_diff(counts(other)[n]) > 200);
    assert!((1..5).any(|period| differ(period * SECOND)));
    for operation in 1..500 {
        let usual = selector.select(&arrival(operation), 0, 0, |_| true);
        let others = selector.select(&arrival(operation), 0, 0, |gateway| gateway != 0);
        assert!(others == usual || usual == Some(0));
        assert_ne!(others, Some(0));
    }
    assert_eq!(selector.select(&arrival(1), 0, 0, |_| false), None);
}

#[test]
fn uneven_weights_and_building_biases_shift_the_traffic() {
    let traffic = |uneven| Traffic { skew: 0.0, gateway_imbalance: uneven, ..Traffic::default() };
    let counts = |uneven, biases: &[BuildingBias], at: Span| {
        let site = Site { gateways: 60, buildings: 3, ..Site::default() };
        let selector = GatewaySelector::new(&site, &traffic(uneven), SEED).with_biases(biases);
        let (gateway_set_size, first_gateway) = (60, 0);
        let mut counts = [0_u32; 60];
        for operation in 1..6000 {
            let arrival = Arrival {
                at,
                operation,
                customer: 5,
                plan: 0,
                class: 0,
                gateway_set_size,
                first_gateway,
                gateway: 0,
            };
            counts[selector.select(&arrival, 0, at, |_| true).unwrap() as usize] += 1;
        }
        counts
    };
    let most = |uneven| counts(uneven, &[], 0).into_iter().max().unwrap();
    assert!((100..150).contains(&most(0.0)), "{}", most(0.0));
    assert!((300..450).contains(&most(3.0)), "{}", most(3.0));
    let building = |counts: [u32; 60], number: usize| counts.iter().skip(number).step_by(3).sum::<u32>();
    let event = Event::SkewTraffic(2, 3.0, SECOND);
    let biases = BuildingBias::from_events(&[ScheduledEvent { at: SECOND, trigger: None, line: 1, event }]);
    assert_eq!(counts(0.0, &biases, SECOND - 1), counts(0.0, &[], 0));
    assert_eq!(counts(0.0, &biases, 2 * SECOND), counts(0.0, &[], 0));
    // Three fifths for the biased building, one fifth for each of the others.
    let shares = [0, 1, 2].map(|number| f64::from(building(counts(0.0, &biases, SECOND), number)) / 5999.0);
    for (share, expected) in shares.into_iter().zip([0.2, 0.6, 0.2]) {
        assert!((share - expected).abs() < 0.02, "{shares:?}");
    }
}

#[test]
fn many_customers_have_numbers_in_range_and_use_only_their_gateway_sets() {
    let site = Site { gateways: 50, ..Site::default() };
    let traffic = Traffic { rate: 250_000.0, ..Traffic::default() };
    let arrivals = Arrivals::new(&site, &traffic, SEED);
    let count: u32 = arrivals.rates().iter().map(|plan| plan.customers).sum();
    assert!(count > 100_000, "{count}");
    let list: Vec<Arrival> = arrivals.take(50_000).collect();
    let customers: BTreeSet<u64> = list.iter().map(|arrival| arrival.customer).collect();
    assert!(customers.len() > 20_000);
    assert!(customers.iter().all(|number| *number < 1 << 33));
    let steps = |arrival: &Arrival| (arrival.gateway + 50 - arrival.first_gateway) % 50;
    assert!(list.iter().all(|arrival| arrival.gateway < 50 && steps(arrival) < arrival.gateway_set_size));
}

fn behaviour(effect: Idempotency, traffic: &Traffic) -> ClientBehaviour {
    let class = ClassSpec { deadline: 2 * SECOND, idempotency: effect, ..Site::default().classes[0].clone() };
    let site = Site { classes: vec![class], retry_after: Some(400 * MS), ..Site::default() };
    ClientBehaviour::new(&site, traffic, SEED)
}

#[test]
fn clients_retry_only_requests_that_have_not_run_or_are_safe_to_repeat() {
    let traffic = Traffic { retries: 2, ..Traffic::default() };
    for effect in [Idempotency::NonIdempotent, Idempotency::Keyed(SECOND)] {
        let clients = behaviour(effect, &traffic);
        for outcome in [
            ClientOutcome::Failed,
            ClientOutcome::ConnectionClosed,
            ClientOutcome::NoResponse,
            ClientOutcome::Served(true),
            ClientOutcome::Served(false),
        ] {
            assert_eq!(clients.next_retry(1, 0, 1, 0, outcome.into()), None, "{effect:?} {outcome:?}");
        }
        for outcome in [RequestOutcome::NoGateway, RequestOutcome::Rejected(None)] {
            assert!(clients.next_retry(1, 0, 1, 0, outcome).is_some(), "{effect:?} {outcome:?}");
        }
    }
    let clients = behaviour(Idempotency::Idempotent, &traffic);
    for outcome in [
        ClientOutcome::Failed,
        ClientOutcome::ConnectionClosed,
        ClientOutcome::NoResponse,
        ClientOutcome::Rejected(None),
    ] {
        assert!(clients.next_retry(1, 0, 1, 0, outcome.into()).is_some(), "{outcome:?}");
    }
    assert_eq!(clients.next_retry(1, 0, 1, 0, ClientOutcome::Served(true).into()), None);
    assert_eq!(clients.next_retry(1, 0, 1, 0, RequestOutcome::Done), None);
    assert!(clients.next_retry(1, 0, 2, 0, RequestOutcome::Failed).is_some());
    assert_eq!(clients.next_retry(1, 0, 3, 0, RequestOutcome::Failed), None, "at most two retries");
}

#[test]
fn the_backoff_doubles_and_some_clients_follow_retry_after() {
    let traffic = Traffic { retries: 3, backoff: 100 * MS, follows_retry_after: 0.6, ..Traffic::default() };
    let clients = behaviour(Idempotency::NonIdempotent, &traffic);
    let delay = |operation, requests, retry_after| {
        clients.next_retry(operation, 0, requests, 0, RequestOutcome::Rejected(retry_after)).unwrap().delay
    };
    assert_eq!([1, 2, 3].map(|requests| delay(1, requests, None)), [100 * MS, 200 * MS, 400 * MS]);
    let followers = (1..2000).filter(|operation| clients.follows_retry_after(*operation)).count();
    assert!((1100..1300).contains(&followers), "{followers}");
    let follows = (1..).find(|operation| clients.follows_retry_after(*operation)).unwrap();
    let ignores = (1..).find(|operation| !clients.follows_retry_after(*operation)).unwrap();
    assert_eq!(delay(follows, 1, Some(250 * MS)), 250 * MS);
    assert_eq!(delay(follows, 1, Some(20 * MS)), 100 * MS);
    assert_eq!(
        delay(follows, 1, Some(9 * SECOND)),
        400 * MS,
        "limited to the longest delay that clients follow"
    );
    assert_eq!(delay(ignores, 1, Some(250 * MS)), 100 * MS);
}

#[test]
fn retries_end_within_the_deadline_of_the_class() {
    let traffic =
        Traffic { retries: 5, request_timeout_share: (0.2, 0.9), backoff: 50 * MS, ..Traffic::default() };
    let clients = behaviour(Idempotency::Idempotent, &traffic);
    let deadline = 2 * SECOND;
    for operation in 1..2000_u64 {
        let first = clients.first_timeout(operation, 0);
        assert!((400 * MS..1800 * MS).contains(&first) && first % MS == 0);
        // Some requests end early, some use up their timeout.
        let mut elapsed = if operation % 2 == 0 { first } else { first / 3 };
        let mut requests = 1;
        while let Some(Retry { delay, timeout }) =
            clients.next_retry(operation, 0, requests, elapsed, RequestOutcome::Failed)
        {
            assert!(elapsed + delay + timeout <= deadline);
            assert!(timeout >= MS && timeout % MS == 0);
            elapsed += delay + timeout / 4;
            requests += 1;
        }
        assert!((2..=6).contains(&requests));
        assert_eq!(clients.next_retry(operation, 0, 1, deadline - 10 * MS, RequestOutcome::Failed), None);
        assert_eq!(clients.next_retry(operation, 0, 1, 2 * deadline, RequestOutcome::Failed), None);
    }
}

#[test]
fn clients_disconnect_within_the_timeout_and_more_of_them_at_a_greater_share() {
    let clients = behaviour(Idempotency::Idempotent, &Traffic::default());
    let disconnects = |share: f64| -> BTreeMap<u64, Span> {
        (1..5000)
            .filter_map(|operation| {
                Some((operation, clients.disconnects_after(operation, 0, SECOND, share)?))
            })
            .collect()
    };
    assert!(disconnects(0.0).is_empty());
    let (few, many) = (disconnects(0.1), disconnects(0.5));
    assert!((400..600).contains(&few.len()) && (2300..2700).contains(&many.len()));
    assert!(few.iter().all(|(operation, at)| many.get(operation) == Some(at)));
    assert!(many.values().all(|at| *at < SECOND));
    assert_ne!(clients.disconnects_after(1, 0, SECOND, 1.0), clients.disconnects_after(1, 1, SECOND, 1.0));
}
