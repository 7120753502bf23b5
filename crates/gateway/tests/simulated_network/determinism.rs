//! The same seed gives the same run, even when connections close, hosts drain and requests move to other hosts.

use crate::support::{endpoint_list, get, host_entry, Behavior, Client, Peer, Setup, SimulatedNetwork};
use cluster_model::{MS, SECOND};
use simulated_runtime::{Cut, What};

const HOSTS: usize = 30;
const CLIENTS: usize = 5;
/// Number of calls that each client sends at once.
const CALLS: usize = 4;
/// Number of descriptors: with these the gateway may have 24 connections to hosts, fewer than there are hosts.
const SOCKETS: usize = 128;

/// All clients send their calls at once, with ids that begin at `first`.
fn send_burst(clients: &[Client], first: usize) {
    for (number, client) in clients.iter().enumerate() {
        let ids = (0..CALLS).map(|n| (first + CALLS * number + n) as u64);
        client.send(ids.map(get).collect::<Vec<_>>().concat());
    }
}

fn count_replies(clients: &[Client]) -> usize {
    clients.iter().map(|client| client.take_replies().len()).sum()
}

/// Connections are closed in favor of others; then half of the hosts drain at once, while attempts wait for connections
/// to them that are never established. Returns the digest of the run.
fn run_scenario(seed: u64) -> u128 {
    let mut setup = Setup { seed, hosts: HOSTS, sockets: SOCKETS, ..Setup::default() };
    setup.network.jitter = 0.5;
    let network = SimulatedNetwork::start(setup);
    let trace = network.trace_packets();
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 5 * MS)));
    let clients: Vec<_> = (0..CLIENTS).map(|_| network.client()).collect();
    network.run_until(10 * MS);
    for first in [1_000, 2_000, 3_000] {
        send_burst(&clients, first);
        network.run_for(100 * MS);
        assert_eq!(count_replies(&clients), CLIENTS * CALLS);
    }
    assert!(trace.count("gateway", &What::Fin) > 5, "no connection was closed in favor of another");

    // The remaining connections reach their idle lifetime during this time.
    for _ in 0..3 {
        network.run_for(2 * SECOND);
        network.discovery.send_keep_alive(0);
    }
    let drained_hosts = &network.hosts[..HOSTS / 2];
    drained_hosts.iter().for_each(|host| drop(host.take_received()));
    let machines = drained_hosts.iter().map(|host: &Peer| host.machine.id()).collect();
    network.sim.cut(machines, vec![network.gateway_machine_id()], Cut::Silent);
    send_burst(&clients, 4_000);
    network.run_for(20 * MS);
    let before = count_replies(&clients);
    let drained: Vec<_> =
        (0..drained_hosts.len()).map(|host| host_entry(&network.hosts, host, "terminating")).collect();
    network.discovery.send_list(0, &endpoint_list(2, false, &drained));
    network.run_for(100 * MS);
    assert!(before < 15, "{before}");
    assert_eq!(before + count_replies(&clients), CLIENTS * CALLS);
    assert!(drained_hosts.iter().all(|host| host.take_received().is_empty()));
    network.sim.digest()
}

#[test]
fn hosts_that_drain_at_once_give_the_same_digest_for_the_same_seed() {
    let digest = run_scenario(1);
    assert_eq!(digest, run_scenario(1));
    assert_ne!(digest, run_scenario(2));
    // A fixed value, so that other processes, builds and machines are compared too. It has to be updated when the
    // gateway's behavior changes, but must not differ from run to run.
    assert_eq!(format!("{digest:032x}"), "81515e6c62c08a3072d81cf3f69a8102");
}
