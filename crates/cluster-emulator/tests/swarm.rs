//! Random sites and fleets with random faults: the real gateway keeps all rules on them.

use cluster_emulator::{Ground, Swarm};

fn plays_well(count: u64, ground: &Ground) {
    let jobs = std::thread::available_parallelism().map_or(2, |cores| cores.get());
    let swarm = Swarm { count, seed: 1, jobs };
    if let Some(found) = swarm.play_on(ground, &|_| {}) {
        let places: Vec<String> = found.kept.iter().map(usize::to_string).collect();
        panic!("site {}, events {}: {}", found.site, places.join(","), found.what);
    }
}

#[test]
fn no_rule_breaks_on_a_hundred_random_sites() {
    plays_well(100, &Ground::Sites);
}

#[test]
fn no_rule_breaks_on_sixty_random_fleets_whose_links_fail() {
    plays_well(60, &Ground::Fleets);
}
