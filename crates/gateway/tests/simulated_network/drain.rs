//! A drain that comes among more requests than are taken.
//!
//! Work costs no time here, so this shows what is done in which order, and not that news still gets through
//! where a gateway lags behind its traffic: that takes a real clock.

use crate::support::{
    endpoint_list, format_id, get, host_entry, Behavior, Client, Peer, Setup, SimulatedNetwork, CLIENT_DELAY,
    LOCAL_DELAY,
};
use cluster_model::{MS, SECOND};
use runtime::Span;

const HOSTS: usize = 20;
const CLIENTS: usize = 125;
/// What a client may have waiting on its connection.
const PIPELINE: usize = 16;
/// Commands in hand at the most.
const MAX_COMMANDS: usize = 512;

/// A gateway that has open and idle connections to all hosts, a watch, and many clients.
fn start_warmed_up() -> (SimulatedNetwork, Vec<Client>) {
    let network = SimulatedNetwork::start(Setup { hosts: HOSTS, sockets: 1024, ..Setup::default() });
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(4, 20 * MS)));
    let clients: Vec<_> = (0..CLIENTS).map(|_| network.client()).collect();
    network.run_until(10 * MS);
    clients.iter().zip(1..=100).for_each(|(client, id)| client.get(id));
    network.run_until(500 * MS);
    assert!(network.hosts.iter().all(|host| host.connection_count() > 1 && !host.take_received().is_empty()));
    assert!(clients[..100].iter().all(|client| client.take_replies().len() == 1));
    (network, clients)
}

#[test]
fn no_send_follows_a_drain_that_comes_between_two_thousand_requests() {
    let (network, clients) = start_warmed_up();
    let send_calls = |number: usize| {
        let ids = (0..PIPELINE).map(|n| 1_000 + (number * PIPELINE + n) as u64);
        clients[number].send(ids.map(get).collect::<Vec<_>>().concat());
    };
    // Half of them are there just before the news, at the same instant; the others a nanosecond later.
    let notified_at = network.now() + CLIENT_DELAY;
    (0..CLIENTS / 2).for_each(send_calls);
    network.run_for(1);
    (CLIENTS / 2..CLIENTS).for_each(send_calls);
    network.run_until(notified_at - LOCAL_DELAY);
    network.discovery.send_list(0, &endpoint_list(2, false, &[host_entry(&network.hosts, 0, "terminating")]));
    network.run_for(2 * SECOND);

    let calls =
        |host: &Peer| host.take_received().into_iter().filter(|received| received.text.starts_with("CALL"));
    let sent: Vec<Span> = calls(&network.hosts[0]).map(|received| received.sent).collect();
    assert!(
        !sent.is_empty() && sent.iter().all(|sent| *sent == notified_at),
        "{sent:?}, told at {notified_at}"
    );
    let elsewhere: usize = network.hosts[1..].iter().map(|host| calls(host).count()).sum();
    let replies: Vec<_> = clients.iter().map(|client| client.take_replies()).collect();
    assert!(replies.iter().all(|answers| answers.len() == PIPELINE), "one answer each");
    let (refused, values): (Vec<_>, Vec<_>) = replies.iter().flatten().partition(|text| *text == "-BUSY");
    assert_eq!(refused.len() + values.len(), CLIENTS * PIPELINE);
    assert!(values.iter().all(|value| value.len() == format_id(0).len()), "{values:?}");
    assert_eq!(sent.len() + elsewhere, values.len(), "each was sent once");
    // What waits for the module at one time is bounded by this, and so is what news may wait behind.
    assert!((MAX_COMMANDS * 3 / 4..=MAX_COMMANDS).contains(&values.len()), "{}", values.len());
}
