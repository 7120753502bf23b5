//! Clients as a scenario describes them: how much is asked for, when, where, and what follows an answer.

use cluster_model::observation::ClientOutcome;
use cluster_model::requests::{self, RequestSampler};
use cluster_model::scenario::{ClassSpec, Effect, Event, Site, Timed, Traffic};
use cluster_model::traffic::{
    Arrival, Arrivals, BuildingBias, ClientBehaviour, GatewaySelector, RequestOutcome, Retry, TrafficWindow,
};
use cluster_model::{Span, MS, SECOND};
use std::collections::{BTreeMap, BTreeSet};

const SEED: u64 = 11;

fn until(arrivals: Arrivals, end: Span) -> Vec<Arrival> {
    arrivals.take_while(|arrival| arrival.at < end).collect()
}

/// Traffic in which nobody asks for more than its rate.
fn modest() -> Traffic {
    Traffic { heavy: (0.0, 1.0), spiky: (0.0, 1.0), ..Traffic::default() }
}

fn units(list: &[Arrival], traffic: &Traffic, plan: u32) -> f64 {
    let draws = RequestSampler::new(SEED, traffic);
    let of_plan = list.iter().filter(|arrival| arrival.plan == plan);
    of_plan.map(|arrival| f64::from(draws.units(requests::request_id(arrival.operation, 0)))).sum()
}

#[test]
fn each_plan_asks_for_its_share_of_the_rate() {
    let (site, traffic) = (Site::default(), modest());
    let arrivals = Arrivals::new(&site, &traffic, SEED);
    let rates = arrivals.rates().to_vec();
    let list = until(arrivals, 600 * SECOND);
    let mean_units = RequestSampler::new(SEED, &traffic).mean_units();
    for (number, plan) in site.plans.iter().enumerate() {
        let wanted = traffic.rate * mean_units * plan.share;
        let asked = units(&list, &traffic, number as u32) / 600.0;
        assert!((asked / wanted - 1.0).abs() < 0.03, "{}: {asked} for {wanted}", plan.name);
        assert!((rates[number].within_quota / wanted - 1.0).abs() < 1e-6);
        assert_eq!(rates[number].beyond_quota, 0.0);
    }
    for (number, class) in site.classes.iter().enumerate() {
        let of_class = list.iter().filter(|arrival| arrival.class == number as u32).count();
        assert!((of_class as f64 / list.len() as f64 - class.share).abs() < 0.01);
    }
}

#[test]
fn arrivals_come_in_the_order_of_time_and_are_counted_from_one() {
    let list = until(Arrivals::new(&Site::default(), &Traffic::default(), SEED), 60 * SECOND);
    assert!(list.len() > 60 * 130);
    assert!(list.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(list.iter().zip(1..).all(|(arrival, number)| arrival.operation == number));
}

#[test]
fn the_same_seed_gives_the_same_list_and_another_seed_another() {
    let list = |seed| until(Arrivals::new(&Site::default(), &Traffic::default(), seed), 20 * SECOND);
    assert_eq!(list(SEED), list(SEED));
    assert_ne!(list(SEED), list(SEED + 1));
}

/// Units that customers ask for beyond their quotas, and all units, by the books of a store for each.
fn beyond(list: &[Arrival], site: &Site, traffic: &Traffic) -> (f64, f64) {
    let draws = RequestSampler::new(SEED, traffic);
    let mut stores: BTreeMap<u64, (Span, f64)> = BTreeMap::new();
    let (mut beyond, mut all) = (0.0, 0.0);
    for arrival in list {
        let plan = &site.plans[arrival.plan as usize];
        let (at, held) = stores.entry(arrival.customer).or_insert((0, plan.burst));
        let filled = (arrival.at - *at) as f64 / SECOND as f64 * plan.rate;
        *held = (*held + filled).min(plan.burst);
        *at = arrival.at;
        let units = f64::from(draws.units(requests::request_id(arrival.operation, 0)));
        all += units;
        if *held >= units {
            *held -= units;
        } else {
            beyond += units;
        }
    }
    (beyond, all)
}

#[test]
fn heavy_and_spiky_customers_ask_for_more_and_the_sum_of_that_is_bounded() {
    let site = Site::default();
    let share = |traffic: &Traffic| {
        let list = until(Arrivals::new(&site, traffic, SEED), 600 * SECOND);
        let (beyond, all) = beyond(&list, &site, traffic);
        beyond / (all - beyond)
    };
    let wild = Traffic { heavy: (0.3, 9.0), spiky: (0.3, 12.0), most_excess: 10.0, ..Traffic::default() };
    assert!(share(&wild) > 1.0, "{}", share(&wild));
    let bounded = Traffic { most_excess: 0.3, ..wild.clone() };
    assert!((0.15..0.36).contains(&share(&bounded)), "{}", share(&bounded));
    assert!(share(&modest()) < 0.03, "{}", share(&modest()));

    let rates = Arrivals::new(&site, &bounded, SEED).rates().to_vec();
    let sum = |of: fn(&_) -> f64| rates.iter().map(of).sum::<f64>();
    assert!((sum(|plan| plan.beyond_quota) / sum(|plan| plan.within_quota) - 0.3).abs() < 1e-6);
}

#[test]
fn spells_of_heavy_customers_are_long() {
    let site = Site::default();
    let traffic = Traffic { heavy: (1.0, 9.0), spiky: (0.0, 1.0), full: 0.0, ..Traffic::default() };
    let traffic = Traffic { most_excess: 100.0, ..traffic };
    let list = until(Arrivals::new(&site, &traffic, SEED), 300 * SECOND);
    let premium = list.iter().find(|arrival| arrival.plan == 1).map(|arrival| arrival.customer);
    let mut by_second = vec![0_u32; 300];
    for arrival in list.iter().filter(|arrival| Some(arrival.customer) == premium) {
        by_second[(arrival.at / SECOND) as usize] += 1;
    }
    // It asks for 12 requests a second at its rate, and for five times as many or more within spells.
    let spells: Vec<usize> = by_second.chunk_by(|a, b| (*a > 25) == (*b > 25)).map(<[u32]>::len).collect();
    assert!((10..=30).contains(&spells.len()), "{spells:?}");
    assert!(spells[1..spells.len() - 1].iter().all(|length| (9..=31).contains(length)), "{spells:?}");
}

#[test]
fn what_comes_outside_a_window_is_the_same_as_without_it() {
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
        let whole = times(12 * SECOND, 18 * SECOND);
        assert!((whole / factor - 1.0).abs() < 0.1, "{whole} for {factor}");
        let rising = times(10 * SECOND, 12 * SECOND);
        assert!((rising / ((1.0 + factor) / 2.0) - 1.0).abs() < 0.2, "{rising} on the way to {factor}");
    }
}

#[test]
fn windows_over_each_other_add_up_and_each_leaves_the_other_alone() {
    let (site, traffic) = (Site::default(), Traffic::default());
    let window = |from, factor| TrafficWindow { from, until: from + 10 * SECOND, factor, ramp: 0 };
    let (first, second) = (window(0, 2.0), window(5 * SECOND, 3.0));
    let alone = until(Arrivals::new(&site, &traffic, SEED).with_windows(&[first]), 5 * SECOND);
    let both = Arrivals::new(&site, &traffic, SEED).with_windows(&[first, second]);
    assert_eq!(both.traffic_factor(7 * SECOND), 4.0);
    let both = until(both, 15 * SECOND);
    assert!(both.starts_with(&alone));
    let things: BTreeSet<u64> = both.iter().map(|arrival| arrival.operation).collect();
    assert_eq!(things.len(), both.len());
}

#[test]
fn windows_are_read_from_a_scenario_s_events() {
    let timed = |event| Timed { at: 4 * SECOND, sign: None, line: 1, event };
    let events = [timed(Event::AddHosts(1)), timed(Event::Traffic(2.0, 6 * SECOND, SECOND))];
    let window = TrafficWindow { from: 4 * SECOND, until: 10 * SECOND, factor: 2.0, ramp: SECOND };
    assert_eq!(TrafficWindow::from_events(&events), [window]);
}

/// Share of each customer's requests at the gateway that gets most of them within a turn of the weights.
fn top_share(skew: f64) -> f64 {
    let mut site = Site::default();
    site.plans.truncate(1);
    site.plans[0].spread = 3;
    let traffic = Traffic { rate: 2000.0, skew, shift: 1000 * SECOND, ..modest() };
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
fn gateways_share_evenly_without_skew_and_unevenly_with_it() {
    assert!((top_share(0.0) - 1.0 / 3.0).abs() < 0.02, "{}", top_share(0.0));
    assert!((0.45..0.6).contains(&top_share(0.8)), "{}", top_share(0.8));
    assert!(top_share(4.0) > 0.75, "{}", top_share(4.0));
}

#[test]
fn weights_shift_now_and_then_and_a_gateway_that_is_down_leaves_the_others_requests_alone() {
    let site = Site { gateways: 5, ..Site::default() };
    let deal = GatewaySelector::new(&site, &Traffic { skew: 3.0, shift: SECOND, ..Traffic::default() }, SEED);
    let arrival = |thing| Arrival {
        at: 0,
        operation: thing,
        customer: 5,
        plan: 0,
        class: 0,
        gateway_set_size: 3,
        first_gateway: 4,
        gateway: 4,
    };
    let counts = |at: Span| {
        let mut counts = [0_u32; 5];
        for thing in 1..2000 {
            counts[deal.select(&arrival(thing), 0, at, |_| true).unwrap() as usize] += 1;
        }
        counts
    };
    assert_eq!(counts(0), counts(SECOND - 1));
    assert_eq!([counts(0)[2], counts(0)[3]], [0, 0], "the set is 4, 0, 1");
    let apart = |other: Span| (0..5).any(|n| counts(0)[n].abs_diff(counts(other)[n]) > 200);
    assert!((1..5).any(|turn| apart(turn * SECOND)));
    for thing in 1..500 {
        let usual = deal.select(&arrival(thing), 0, 0, |_| true);
        let others = deal.select(&arrival(thing), 0, 0, |gateway| gateway != 0);
        assert!(others == usual || usual == Some(0));
        assert_ne!(others, Some(0));
    }
    assert_eq!(deal.select(&arrival(1), 0, 0, |_| false), None);
}

#[test]
fn gateways_may_get_several_times_the_mean_and_buildings_their_times_the_usual() {
    let traffic = |uneven| Traffic { skew: 0.0, uneven, ..Traffic::default() };
    let counts = |uneven, leans: &[BuildingBias], at: Span| {
        let site = Site { gateways: 60, buildings: 3, ..Site::default() };
        let deal = GatewaySelector::new(&site, &traffic(uneven), SEED).with_biases(leans);
        let (spread, first) = (60, 0);
        let mut counts = [0_u32; 60];
        for thing in 1..6000 {
            let arrival = Arrival {
                at,
                operation: thing,
                customer: 5,
                plan: 0,
                class: 0,
                gateway_set_size: spread,
                first_gateway: first,
                gateway: 0,
            };
            counts[deal.select(&arrival, 0, at, |_| true).unwrap() as usize] += 1;
        }
        counts
    };
    let most = |uneven| counts(uneven, &[], 0).into_iter().max().unwrap();
    assert!((100..150).contains(&most(0.0)), "{}", most(0.0));
    assert!((300..450).contains(&most(3.0)), "{}", most(3.0));
    let building = |counts: [u32; 60], number: usize| counts.iter().skip(number).step_by(3).sum::<u32>();
    let event = Event::Lean(2, 3.0, SECOND);
    let leans = BuildingBias::from_events(&[Timed { at: SECOND, sign: None, line: 1, event }]);
    assert_eq!(counts(0.0, &leans, SECOND - 1), counts(0.0, &[], 0));
    assert_eq!(counts(0.0, &leans, 2 * SECOND), counts(0.0, &[], 0));
    // Three parts of five, and one each for the others.
    let shares = [0, 1, 2].map(|number| f64::from(building(counts(0.0, &leans, SECOND), number)) / 5999.0);
    for (share, wanted) in shares.into_iter().zip([0.2, 0.6, 0.2]) {
        assert!((share - wanted).abs() < 0.02, "{shares:?}");
    }
}

#[test]
fn many_customers_of_many_gateways_are_told_apart() {
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

fn behaviour(effect: Effect, traffic: &Traffic) -> ClientBehaviour {
    let class = ClassSpec { deadline: 2 * SECOND, effect, ..Site::default().classes[0].clone() };
    let site = Site { classes: vec![class], retry_after: Some(400 * MS), ..Site::default() };
    ClientBehaviour::new(&site, traffic, SEED)
}

#[test]
fn only_what_cannot_have_run_or_may_run_again_is_tried_again() {
    let traffic = Traffic { retries: 2, ..Traffic::default() };
    for effect in [Effect::Unsafe, Effect::Keyed(SECOND)] {
        let clients = behaviour(effect, &traffic);
        for got in [
            ClientOutcome::Failed,
            ClientOutcome::ConnectionClosed,
            ClientOutcome::NoResponse,
            ClientOutcome::Served(true),
            ClientOutcome::Served(false),
        ] {
            assert_eq!(clients.next_retry(1, 0, 1, 0, got.into()), None, "{effect:?} {got:?}");
        }
        for ended in [RequestOutcome::NoGateway, RequestOutcome::Rejected(None)] {
            assert!(clients.next_retry(1, 0, 1, 0, ended).is_some(), "{effect:?} {ended:?}");
        }
    }
    let clients = behaviour(Effect::Safe, &traffic);
    for got in [
        ClientOutcome::Failed,
        ClientOutcome::ConnectionClosed,
        ClientOutcome::NoResponse,
        ClientOutcome::Rejected(None),
    ] {
        assert!(clients.next_retry(1, 0, 1, 0, got.into()).is_some(), "{got:?}");
    }
    assert_eq!(clients.next_retry(1, 0, 1, 0, ClientOutcome::Served(true).into()), None);
    assert_eq!(clients.next_retry(1, 0, 1, 0, RequestOutcome::Done), None);
    assert!(clients.next_retry(1, 0, 2, 0, RequestOutcome::Failed).is_some());
    assert_eq!(clients.next_retry(1, 0, 3, 0, RequestOutcome::Failed), None, "two more tries are all");
}

#[test]
fn a_client_waits_longer_each_time_and_follows_advice_if_it_is_of_that_kind() {
    let traffic = Traffic { retries: 3, backoff: 100 * MS, honour: 0.6, ..Traffic::default() };
    let clients = behaviour(Effect::Unsafe, &traffic);
    let wait = |thing, tries, advice| {
        clients.next_retry(thing, 0, tries, 0, RequestOutcome::Rejected(advice)).unwrap().delay
    };
    assert_eq!([1, 2, 3].map(|tries| wait(1, tries, None)), [100 * MS, 200 * MS, 400 * MS]);
    let honest = (1..2000).filter(|thing| clients.follows_retry_after(*thing)).count();
    assert!((1100..1300).contains(&honest), "{honest}");
    let follows = (1..).find(|thing| clients.follows_retry_after(*thing)).unwrap();
    let ignores = (1..).find(|thing| !clients.follows_retry_after(*thing)).unwrap();
    assert_eq!(wait(follows, 1, Some(250 * MS)), 250 * MS);
    assert_eq!(wait(follows, 1, Some(20 * MS)), 100 * MS);
    assert_eq!(wait(follows, 1, Some(9 * SECOND)), 400 * MS, "longer than clients follow");
    assert_eq!(wait(ignores, 1, Some(250 * MS)), 100 * MS);
}

#[test]
fn tries_end_within_the_time_of_the_class() {
    let traffic = Traffic { retries: 5, try_share: (0.2, 0.9), backoff: 50 * MS, ..Traffic::default() };
    let clients = behaviour(Effect::Safe, &traffic);
    let deadline = 2 * SECOND;
    for thing in 1..2000_u64 {
        let first = clients.first_timeout(thing, 0);
        assert!((400 * MS..1800 * MS).contains(&first) && first % MS == 0);
        // Some tries end early, some use up their time.
        let mut spent = if thing % 2 == 0 { first } else { first / 3 };
        let mut tries = 1;
        while let Some(Retry { delay: wait, timeout: patience }) =
            clients.next_retry(thing, 0, tries, spent, RequestOutcome::Failed)
        {
            assert!(spent + wait + patience <= deadline);
            assert!(patience >= MS && patience % MS == 0);
            spent += wait + patience / 4;
            tries += 1;
        }
        assert!((2..=6).contains(&tries));
        assert_eq!(clients.next_retry(thing, 0, 1, deadline - 10 * MS, RequestOutcome::Failed), None);
        assert_eq!(clients.next_retry(thing, 0, 1, 2 * deadline, RequestOutcome::Failed), None);
    }
}

#[test]
fn impatient_clients_leave_within_their_time_and_more_of_them_at_a_greater_share() {
    let clients = behaviour(Effect::Safe, &Traffic::default());
    let leaves = |share: f64| -> BTreeMap<u64, Span> {
        (1..5000)
            .filter_map(|thing| Some((thing, clients.disconnects_after(thing, 0, SECOND, share)?)))
            .collect()
    };
    assert!(leaves(0.0).is_empty());
    let (few, many) = (leaves(0.1), leaves(0.5));
    assert!((400..600).contains(&few.len()) && (2300..2700).contains(&many.len()));
    assert!(few.iter().all(|(thing, at)| many.get(thing) == Some(at)));
    assert!(many.values().all(|at| *at < SECOND));
    assert_ne!(clients.disconnects_after(1, 0, SECOND, 1.0), clients.disconnects_after(1, 1, SECOND, 1.0));
}
