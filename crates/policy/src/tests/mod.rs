//! Property test: invariants and state of the decision module under random sequences of legal events, with a
//! fixed seed.

mod steps;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use steps::{deployment, step};
use world::TestGateway;

/// Minimum number of cases; `PROPTEST_CASES` can raise it.
const CASES: u32 = 2_000;

#[test]
fn random_legal_events_violate_no_invariant_and_leave_no_state() {
    let config = Config { failure_persistence: None, ..Config::default() };
    let config = Config { cases: config.cases.max(CASES), ..config };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (deployment(), any::<u64>(), prop::collection::vec(step(), 1..150));
    let (attempts, retries) = (Cell::new(0), Cell::new(0));
    let run = |(deployment, seed, steps)| {
        let mut gateway = TestGateway::new(deployment, seed);
        for step in steps {
            gateway.step(step);
        }
        gateway.finish();
        attempts.set(attempts.get() + gateway.attempts);
        retries.set(retries.get() + gateway.retries);
        Ok(())
    };
    runner.run(&input, run).unwrap();
    let (attempts, retries) = (attempts.get(), retries.get());
    assert!(
        attempts > 10_000 && retries > 1_000,
        "too few attempts or retries for a meaningful test: {attempts} attempts, {retries} retries"
    );
}
