//! Hosts of different sizes: a gateway learns from responses how many requests a host can execute.
mod common;
use common::world::{single_gateway, HostSpec, World, NORMAL_HOST};
use common::*;
use policy::api::*;

/// A host of one core executes 12.5 requests per second, and one of eight cores executes 100. The load of 95
/// requests per second is 0.84 of their total capacity; an even share of it is four times the capacity of the
/// small host.
#[test]
fn a_large_host_gets_load_in_proportion_to_the_capacity_learned_from_responses() {
    let mut world =
        World::new(single_gateway(), &[NORMAL_HOST, HostSpec { cores: 8, ..NORMAL_HOST }], |_| 80 * MS);
    world.run(60, 60, 4_000 * MS);
    world.run(60, 95, 4_000 * MS);
    world.reset_counts();
    world.run(30, 95, 4_000 * MS);
    let attempts = |host| world.sent.get(&HostId(host)).copied().unwrap_or(0) as f64;
    let large = attempts(2) / (attempts(1) + attempts(2));
    let served = world.served as f64 / world.requests as f64;
    assert!(served > 0.95, "{served} of the requests served, {large} of the attempts at the large host");
    assert!(
        (0.80..0.95).contains(&large),
        "{large} of the attempts at the large host, {served} of the requests served"
    );
}
