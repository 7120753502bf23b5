//! Random sites with random faults: the real gateway keeps all rules on them.

use fennelbeam_rehearse::Swarm;

#[test]
fn no_rule_breaks_on_a_hundred_random_sites() {
    let jobs = std::thread::available_parallelism().map_or(2, |cores| cores.get());
    let swarm = Swarm { count: 100, seed: 1, jobs };
    if let Some(found) = swarm.play(&|_| {}) {
        let places: Vec<String> = found.kept.iter().map(usize::to_string).collect();
        panic!("site {}, events {}: {}", found.site, places.join(","), found.what);
    }
}
