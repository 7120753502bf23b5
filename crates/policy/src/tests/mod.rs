//! The module's rules and its state under random legal events in any order, with a fixed seed.

mod steps;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use steps::{deployment, step};
use world::World;

/// Cases of a run; `PROPTEST_CASES` can ask for more.
const CASES: u32 = 2_000;

#[test]
fn random_legal_events_break_no_rule_and_leave_nothing_behind() {
    let config = Config { failure_persistence: None, ..Config::default() };
    let config = Config { cases: config.cases.max(CASES), ..config };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (deployment(), any::<u64>(), prop::collection::vec(step(), 1..150));
    let (attempts, retries) = (Cell::new(0), Cell::new(0));
    let run = |(deployment, seed, steps)| {
        let mut world = World::new(deployment, seed);
        for step in steps {
            world.step(step);
        }
        world.finish();
        attempts.set(attempts.get() + world.attempts);
        retries.set(retries.get() + world.retries);
        Ok(())
    };
    runner.run(&input, run).unwrap();
    let (attempts, retries) = (attempts.get(), retries.get());
    assert!(
        attempts > 10_000 && retries > 1_000,
        "the cases are not trivial: {attempts} attempts, {retries} retries"
    );
}
