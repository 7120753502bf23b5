//! The five rules, and what the module keeps, under random legal events in any order, with a fixed seed.
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use world::{given, step, World};

/// `PROPTEST_CASES` asks for more cases than these, where it is run by hand.
const CASES: u32 = 2_000;

#[test]
fn random_legal_events_break_no_rule_and_leave_nothing_behind() {
    let config = Config { failure_persistence: None, ..Config::default() };
    let config = Config { cases: config.cases.max(CASES), ..config };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (given(), any::<u64>(), prop::collection::vec(step(), 1..150));
    let (sends, further) = (Cell::new(0), Cell::new(0));
    let run = |(given, seed, steps)| {
        let mut world = World::new(given, seed);
        for step in steps {
            world.step(step);
        }
        world.rest();
        sends.set(sends.get() + world.sends);
        further.set(further.get() + world.further);
        Ok(())
    };
    runner.run(&input, run).unwrap();
    let (sends, further) = (sends.get(), further.get());
    assert!(
        sends > 10_000 && further > 1_000,
        "the cases come to something: {sends} attempts, {further} further ones"
    );
}
