//! Hosts of different sizes: a gateway learns from responses what a host can execute.
mod common;
use common::world::{single_gateway, HostSpec, World, USUAL_HOST};
use common::*;
use policy::api::*;

/// A host of one core executes 12.5 requests a second, one of eight cores 100; 95 a second are 0.84 of both
/// together, and an even share would be four times what the small one can execute.
#[test]
fn a_large_host_gets_what_it_can_execute_without_knowledge_of_its_size() {
    let mut world =
        World::new(single_gateway(), &[USUAL_HOST, HostSpec { cores: 8, ..USUAL_HOST }], |_| 80 * MS);
    world.run(60, 60, 4_000 * MS);
    world.run(60, 95, 4_000 * MS);
    world.reset_counts();
    world.run(30, 95, 4_000 * MS);
    let sent = |host| world.sent.get(&HostId(host)).copied().unwrap_or(0) as f64;
    let large = sent(2) / (sent(1) + sent(2));
    let served = world.served as f64 / world.requests as f64;
    assert!(served > 0.95, "served {served}, {large} of it by the large one");
    assert!((0.80..0.95).contains(&large), "{large} by the large one, served {served}");
}
