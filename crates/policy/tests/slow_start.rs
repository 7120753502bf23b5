//! Slow start in a small simulated site: hosts that have just started are used, and none is overloaded.
mod common;
use common::slow_start::*;
use common::*;
use policy::api::*;
use policy::policy::Policy;

const SEEDS: u64 = 20;
const FEW: u64 = 3; // seeds where many gateways make a run long

/// The outcome of a scenario over all seeds.
struct Sum {
    runs: Vec<Counts>,
}

impl Sum {
    fn of(name: &str, seeds: u64, scenario: impl Fn(u64) -> World) -> Sum {
        let run = |seed| {
            let mut world = scenario(seed);
            world.close();
            world.counts
        };
        let sum = Sum { runs: (1..=seeds).map(run).collect() };
        println!(
            "{name}: {:.3} within the objective, {:.3} served, {} hosts overloaded, budget used {:.2} (mean) {:.2} (most)",
            sum.share(|t| t.within_objective),
            sum.share(|t| t.served),
            sum.count(|t| t.overloaded),
            sum.mean_peak(),
            sum.peak(),
        );
        sum
    }
    fn count(&self, of: fn(&Counts) -> u32) -> u32 {
        self.runs.iter().map(of).sum()
    }
    fn share(&self, of: fn(&Counts) -> u32) -> f64 {
        f64::from(self.count(of)) / f64::from(self.count(|t| t.requests))
    }
    fn peak(&self) -> f64 {
        self.runs.iter().map(|t| t.peak).fold(0.0, f64::max)
    }
    fn mean_peak(&self) -> f64 {
        self.runs.iter().map(|t| t.peak).sum::<f64>() / self.runs.len() as f64
    }
}

/// Ten hosts under load; then those from `first` on are replaced by new ones, and the load stays for four
/// seconds.
fn replaced(seed: u64, gateways: u32, work: f64, load: f64, first: u64) -> World {
    let mut world = World::new(seed, gateways, false);
    world.work = work;
    world.run(5_000 * MS);
    world.reset_counts();
    world.restart(first..=HOSTS, true);
    world.offered = load;
    world.run(4_000 * MS);
    world.offered = 130.0;
    world.run(7_000 * MS);
    world
}

fn power_back(seed: u64, gateways: u32) -> World {
    let mut world = World::new(seed, gateways, true);
    world.run(18_000 * MS);
    world
}

/// While all hosts warm up, only responses show what they can execute.
#[test]
fn after_a_power_failure_requests_are_served_at_once_and_no_host_is_overloaded() {
    let sum = Sum::of("power back, 3 gateways", SEEDS, |seed| power_back(seed, 3));
    assert!(sum.runs.iter().all(|t| t.first_ms.is_some_and(|ms| ms <= 5)), "the first one is sent at once");
    assert_eq!(sum.count(|t| t.overloaded), 0);
    // The hosts could execute 0.91 of it: at the start they execute 56 of the 130 requests a second.
    assert!(sum.share(|t| t.within_objective) > 0.82 && sum.share(|t| t.served) > 0.88);
    assert!(sum.mean_peak() < 0.55, "one out at each host from each gateway");
}

#[test]
fn many_gateways_use_hosts_that_all_warm_up_and_overload_none() {
    let sum = Sum::of("power back, 20 gateways", FEW, |seed| power_back(seed, 20));
    assert_eq!(sum.count(|t| t.overloaded), 0);
    assert!(sum.share(|t| t.within_objective) > 0.75);
}

#[test]
fn hosts_that_all_restart_under_load_are_used_and_not_overloaded() {
    let sum = Sum::of("all restart, 3 gateways", SEEDS, |seed| replaced(seed, 3, 0.075, 130.0, 1));
    assert_eq!(sum.count(|t| t.overloaded), 0);
    assert!(sum.share(|t| t.within_objective) > 0.76);
}

/// The only warm host gets far more than it can execute, which says nothing about the others.
#[test]
fn nine_hosts_of_ten_replaced_under_load_are_not_overloaded() {
    let sum = Sum::of("nine replaced, 3 gateways", SEEDS, |seed| replaced(seed, 3, 0.1, 260.0, 2));
    assert_eq!(sum.count(|t| t.overloaded), 0);
    assert!(sum.mean_peak() < 0.75);
    let sum = Sum::of("nine replaced, 20 gateways", FEW, |seed| replaced(seed, 20, 0.1, 130.0, 2));
    assert_eq!(sum.count(|t| t.overloaded), 0);
}

#[test]
fn one_host_of_ten_that_restarts_is_used_and_not_overloaded() {
    let sum = Sum::of("one restarts, 3 gateways", SEEDS, |seed| replaced(seed, 3, 0.075, 130.0, HOSTS));
    assert_eq!(sum.count(|t| t.overloaded), 0);
    assert!(sum.runs.iter().all(|t| t.at_warming_hosts > 10), "work is found for it");
    assert!(sum.share(|t| t.within_objective) > 0.99);
    assert!(sum.mean_peak() < 0.25, "as long as warm hosts have room it is not used on credit");
}

/// A host gets attempts again after it has rejected some: without a limit each rejection would cause the next
/// attempt.
#[test]
fn hosts_that_accept_no_connection_while_they_warm_up_get_few_attempts_and_are_found_again() {
    let sum = Sum::of("not connected for 10 s", SEEDS, |seed| {
        let mut world = World::new(seed, 3, true);
        world.refuse(10_000 * MS);
        world.run(10_000 * MS);
        let refused = world.counts.not_connected;
        assert!(refused > 0 && refused < 400, "four a second at each of ten hosts: {refused}");
        world.reset_counts();
        world.run(4_000 * MS);
        world
    });
    assert_eq!(sum.count(|t| t.overloaded), 0);
    assert!(sum.share(|t| t.within_objective) > 0.9);
}

#[test]
fn many_gateways_do_not_all_use_a_restarted_host_at_once() {
    let open = Settings { gateways: 200, plans: vec![Plan::default()], ..settings() };
    let first = |seed| {
        let mut gateway = Harness::new(open.clone(), 0);
        gateway.policy = Policy::new(open.clone(), seed);
        gateway.list(HostListKind::Full, vec![HostEntry { started_at: gateway.now, ..entry(1) }]);
        attempts_in(&gateway.request(1, 0, 1, 1.0)).len()
    };
    let sent: usize = (0..200).map(first).sum();
    assert!((1..=6).contains(&sent), "two of two hundred in the mean: {sent}");
}
