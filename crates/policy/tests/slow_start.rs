//! Slow start in a small simulated site: hosts that have just started get requests, and none is overloaded.
mod common;
use common::slow_start::*;
use common::*;
use policy::api::*;
use policy::policy::Policy;

const SEEDS: u64 = 20;
const FEW_SEEDS: u64 = 3; // for runs that take long because of many gateways

/// The results of a scenario with each seed.
struct Results {
    runs: Vec<Counts>,
}

impl Results {
    fn of(name: &str, seeds: u64, scenario: impl Fn(u64) -> World) -> Results {
        let run = |seed| {
            let mut world = scenario(seed);
            world.finish();
            world.counts
        };
        let results = Results { runs: (1..=seeds).map(run).collect() };
        println!(
            "{name}: {:.3} within the objective, {:.3} served, {} hosts overloaded, budget used {:.2} (mean) {:.2} (most)",
            results.fraction_of_requests(|counts| counts.within_objective),
            results.fraction_of_requests(|counts| counts.served),
            results.count(|counts| counts.overloaded),
            results.mean_peak(),
            results.max_peak(),
        );
        results
    }
    fn count(&self, field: fn(&Counts) -> u32) -> u32 {
        self.runs.iter().map(field).sum()
    }
    fn fraction_of_requests(&self, field: fn(&Counts) -> u32) -> f64 {
        f64::from(self.count(field)) / f64::from(self.count(|counts| counts.requests))
    }
    fn max_peak(&self) -> f64 {
        self.runs.iter().map(|counts| counts.peak_budget_used).fold(0.0, f64::max)
    }
    fn mean_peak(&self) -> f64 {
        self.runs.iter().map(|counts| counts.peak_budget_used).sum::<f64>() / self.runs.len() as f64
    }
}

/// Simulates ten hosts under load, of which those from `first` on are replaced by new ones. The load
/// continues for four seconds and is then reduced to a normal one.
fn hosts_replaced(seed: u64, gateways: u32, work: f64, request_rate: f64, first: u64) -> World {
    let mut world = World::new(seed, gateways, false);
    world.mean_work = work;
    world.run(5_000 * MS);
    world.reset_counts();
    world.restart(first..=HOSTS, true);
    world.request_rate = request_rate;
    world.run(4_000 * MS);
    world.request_rate = 130.0;
    world.run(7_000 * MS);
    world
}

fn power_restored(seed: u64, gateways: u32) -> World {
    let mut world = World::new(seed, gateways, true);
    world.run(18_000 * MS);
    world
}

/// While all hosts warm up, only responses show how many requests they can execute.
#[test]
fn after_a_power_failure_requests_are_served_at_once_and_no_host_is_overloaded() {
    let results = Results::of("power restored, 3 gateways", SEEDS, |seed| power_restored(seed, 3));
    assert!(
        results.runs.iter().all(|counts| counts.first_forwarded_ms.is_some_and(|ms| ms <= 5)),
        "the first request is forwarded at once"
    );
    assert_eq!(results.count(|counts| counts.overloaded), 0);
    // The hosts have capacity for 0.91 of the load: at the start they can execute 56 of the 130 requests per
    // second.
    assert!(
        results.fraction_of_requests(|counts| counts.within_objective) > 0.82
            && results.fraction_of_requests(|counts| counts.served) > 0.88
    );
    assert!(results.mean_peak() < 0.55, "one attempt in flight at each host from each gateway");
}

#[test]
fn many_gateways_use_hosts_that_all_warm_up_and_overload_none() {
    let results = Results::of("power restored, 20 gateways", FEW_SEEDS, |seed| power_restored(seed, 20));
    assert_eq!(results.count(|counts| counts.overloaded), 0);
    assert!(results.fraction_of_requests(|counts| counts.within_objective) > 0.75);
}

#[test]
fn hosts_that_all_restart_under_load_are_used_and_not_overloaded() {
    let results =
        Results::of("all restart, 3 gateways", SEEDS, |seed| hosts_replaced(seed, 3, 0.075, 130.0, 1));
    assert_eq!(results.count(|counts| counts.overloaded), 0);
    assert!(results.fraction_of_requests(|counts| counts.within_objective) > 0.76);
}

/// The only warmed-up host gets far more load than it can execute. Its slow responses say nothing about the
/// capacity of the others.
#[test]
fn nine_hosts_of_ten_replaced_under_load_are_not_overloaded() {
    let results =
        Results::of("nine replaced, 3 gateways", SEEDS, |seed| hosts_replaced(seed, 3, 0.1, 260.0, 2));
    assert_eq!(results.count(|counts| counts.overloaded), 0);
    assert!(results.mean_peak() < 0.75);
    let results =
        Results::of("nine replaced, 20 gateways", FEW_SEEDS, |seed| hosts_replaced(seed, 20, 0.1, 130.0, 2));
    assert_eq!(results.count(|counts| counts.overloaded), 0);
}

#[test]
fn one_host_of_ten_that_restarts_is_used_and_not_overloaded() {
    let results =
        Results::of("one restarts, 3 gateways", SEEDS, |seed| hosts_replaced(seed, 3, 0.075, 130.0, HOSTS));
    assert_eq!(results.count(|counts| counts.overloaded), 0);
    assert!(
        results.runs.iter().all(|counts| counts.at_warming_hosts > 10),
        "the restarted host gets attempts"
    );
    assert!(results.fraction_of_requests(|counts| counts.within_objective) > 0.99);
    assert!(
        results.mean_peak() < 0.25,
        "while warmed-up hosts have free capacity, the restarted host gets no attempts on credit"
    );
}

/// A host that refused connections gets attempts again later. Without a limit each refused connection would
/// cause the next attempt.
#[test]
fn hosts_that_refuse_connections_while_they_warm_up_get_few_attempts_and_are_used_again_later() {
    let results = Results::of("not connected for 10 s", SEEDS, |seed| {
        let mut world = World::new(seed, 3, true);
        world.refuse_connections(10_000 * MS);
        world.run(10_000 * MS);
        let refused = world.counts.connections_refused;
        assert!(refused > 0 && refused < 400, "four per second at each of ten hosts: {refused}");
        world.reset_counts();
        world.run(4_000 * MS);
        world
    });
    assert_eq!(results.count(|counts| counts.overloaded), 0);
    assert!(results.fraction_of_requests(|counts| counts.within_objective) > 0.9);
}

#[test]
fn many_gateways_do_not_all_use_a_restarted_host_at_once() {
    let settings_without_quota = Settings { gateways: 200, plans: vec![Plan::default()], ..settings() };
    let attempts_of = |seed| {
        let mut gateway = TestGateway::new(settings_without_quota.clone(), 0);
        gateway.policy = Policy::new(settings_without_quota.clone(), seed);
        gateway.report_host_list(HostListKind::Full, vec![HostEntry { started_at: gateway.now, ..entry(1) }]);
        attempts_in(&gateway.request(1, 0, 1, 1.0)).len()
    };
    let sent: usize = (0..200).map(attempts_of).sum();
    assert!((1..=6).contains(&sent), "two of two hundred on average: {sent}");
}
