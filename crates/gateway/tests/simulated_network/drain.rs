//! A drain that arrives between more requests than the gateway admits.
//!
//! Processing takes no time on the simulated clock, so this test checks the order of processing. It cannot show that
//! endpoint updates still get through when a gateway lags behind its traffic: that takes a real clock.

use crate::support::{
    endpoint_list, format_id, get, host_entry, Behavior, Client, Peer, Setup, SimulatedNetwork, CLIENT_DELAY,
    LOCAL_DELAY,
};
use cluster_model::{MS, SECOND};
use runtime::Span;

const HOSTS: usize = 20;
const CLIENTS: usize = 125;
/// Maximum number of commands that a client may have outstanding on its connection.
const PIPELINE: usize = 16;
/// Maximum number of commands that the gateway holds.
const MAX_COMMANDS: usize = 512;

/// Starts a gateway with open, idle connections to all hosts, an open watch, and many clients.
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
fn nothing_is_forwarded_after_a_drain_that_arrives_between_two_thousand_requests() {
    let (network, clients) = start_warmed_up();
    let send_calls = |number: usize| {
        let ids = (0..PIPELINE).map(|n| 1_000 + (number * PIPELINE + n) as u64);
        clients[number].send(ids.map(get).collect::<Vec<_>>().concat());
    };
    // Half of the requests arrive just before the drain, at the same instant; the others a nanosecond later.
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
        "{sent:?}, notified at {notified_at}"
    );
    let forwarded_elsewhere: usize = network.hosts[1..].iter().map(|host| calls(host).count()).sum();
    let replies: Vec<_> = clients.iter().map(|client| client.take_replies()).collect();
    assert!(replies.iter().all(|client_replies| client_replies.len() == PIPELINE), "one reply each");
    let (rejected, values): (Vec<_>, Vec<_>) = replies.iter().flatten().partition(|text| *text == "-BUSY");
    assert_eq!(rejected.len() + values.len(), CLIENTS * PIPELINE);
    assert!(values.iter().all(|value| value.len() == format_id(0).len()), "{values:?}");
    assert_eq!(sent.len() + forwarded_elsewhere, values.len(), "each was forwarded once");
    // This limit bounds the requests queued for the decision module, and so those that an update may queue behind.
    assert!((MAX_COMMANDS * 3 / 4..=MAX_COMMANDS).contains(&values.len()), "{}", values.len());
}
