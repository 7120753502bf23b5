//! What a swarm makes of a wrongdoer.

use crate::proxy::{proxy, Wrong};
use crate::rules;
use cluster_emulator::{only, random_scenario, run_virtual, Swarm, VirtualOptions};
use invariants::Rule;
use std::collections::BTreeSet;

#[test]
fn a_swarm_finds_a_wrongdoer_and_keeps_the_event_that_matters() {
    let gateway = proxy(Wrong::SendsToDraining);
    let swarm = Swarm { count: 20, seed: 5, jobs: 2 };
    let found = swarm.play_with(Some(&gateway), &|_| {}).expect("something is wrong");
    let all = random_scenario(found.site);
    assert!(found.what.contains("that the host is draining or removed"), "{}", found.what);
    assert!(found.kept.len() == 1 && all.events.len() > 1, "kept {:?} of {:?}", found.kept, all.events);
    assert_eq!(found.scenario, only(&all, &found.kept));

    let options = VirtualOptions { gateway: Some(gateway), ..VirtualOptions::default() };
    let again = run_virtual(&found.scenario, found.site, options).unwrap();
    assert_eq!(rules(&again), BTreeSet::from([Rule::DrainGrace]));
}
