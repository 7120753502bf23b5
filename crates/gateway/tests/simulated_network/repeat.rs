//! The same seed gives the same run, whatever is closed, drained or moved in it.

use crate::support::{entry, get, list, Client, Manner, Peer, Plan, Room};
use cluster_model::{MS, SECOND};
use simulated_runtime::{Cut, What};

const HOSTS: usize = 30;
const CLIENTS: usize = 5;
/// Calls that each client makes at once.
const CALLS: usize = 4;
/// Descriptors with which the gateway may have 24 connections to hosts: fewer than there are hosts.
const SOCKETS: usize = 128;

/// All clients ask at once, with ids from here on.
fn burst(clients: &[Client], first: usize) {
    for (number, client) in clients.iter().enumerate() {
        let ids = (0..CALLS).map(|n| (first + CALLS * number + n) as u64);
        client.say(ids.map(get).collect::<Vec<_>>().concat());
    }
}

fn answers(clients: &[Client]) -> usize {
    clients.iter().map(|client| client.heard().len()).sum()
}

/// Connections make room for others; then half of the hosts drain at once, with attempts at them that wait for
/// connections which do not come up. Gives the digest.
fn scene(seed: u64) -> u128 {
    let mut plan = Plan { seed, hosts: HOSTS, sockets: SOCKETS, ..Plan::default() };
    plan.network.jitter = 0.5;
    let room = Room::start(plan);
    let wire = room.wire();
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 5 * MS)));
    let clients: Vec<_> = (0..CLIENTS).map(|_| room.client()).collect();
    room.run_to(10 * MS);
    for first in [1_000, 2_000, 3_000] {
        burst(&clients, first);
        room.run(100 * MS);
        assert_eq!(answers(&clients), CLIENTS * CALLS);
    }
    assert!(wire.count("gateway", &What::Fin) > 5, "no connection had to make room");

    // All that are left have retired by then.
    for _ in 0..3 {
        room.run(2 * SECOND);
        room.discovery.keep_watch(0);
    }
    let gone = &room.hosts[..HOSTS / 2];
    gone.iter().for_each(|host| drop(host.seen()));
    let machines = gone.iter().map(|host: &Peer| host.machine.id()).collect();
    room.sim.cut(machines, vec![room.gateway()], Cut::Silent);
    burst(&clients, 4_000);
    room.run(20 * MS);
    let before = answers(&clients);
    let drained: Vec<_> = (0..gone.len()).map(|host| entry(&room.hosts, host, "terminating")).collect();
    room.discovery.tell(0, &list(2, false, &drained));
    room.run(100 * MS);
    assert!(before < 15, "{before}");
    assert_eq!(before + answers(&clients), CLIENTS * CALLS);
    assert!(gone.iter().all(|host| host.seen().is_empty()));
    room.sim.digest()
}

#[test]
fn hosts_that_drain_at_once_give_the_same_run_each_time() {
    let digest = scene(1);
    assert_eq!(digest, scene(1));
    assert_ne!(digest, scene(2));
    // Written down so that other processes, builds and machines compare. It changes with what the gateway does,
    // and is then written down anew; it may not change from run to run.
    assert_eq!(format!("{digest:032x}"), "81515e6c62c08a3072d81cf3f69a8102");
}
