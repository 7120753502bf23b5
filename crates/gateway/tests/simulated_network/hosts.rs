//! Hosts that are killed, hang, or close a connection in the middle of a response.

use crate::support::{
    bulk, format_id, value_reply, Behavior, Peer, Setup, SimulatedNetwork, CLIENT_DELAY, CLOSED, HOST_DELAY,
};
use cluster_model::{MS, SECOND};
use runtime::Span;
use simulated_runtime::Cut;

/// Returns the host that has received the only command, and the other one.
fn called_and_other(network: &SimulatedNetwork) -> (&Peer, &Peer) {
    let [a, b] = &network.hosts[..] else { panic!("two hosts") };
    match (a.take_received().len(), b.take_received().len()) {
        (1, 0) => (a, b),
        (0, 1) => (b, a),
        other => panic!("{other:?}"),
    }
}

fn start_two_hosts() -> SimulatedNetwork {
    SimulatedNetwork::start(Setup { hosts: 2, ..Setup::default() })
}

#[test]
fn an_unsafe_call_fails_when_its_host_is_killed_in_the_middle_of_the_response() {
    let mut failed = 0;
    for seed in 0..60 {
        let network = SimulatedNetwork::start(Setup { seed, hosts: 2, ..Setup::default() });
        let client = network.client();
        client.post(1);
        network.run_until(10 * MS);
        let (host, other) = called_and_other(&network);
        host.send(0, value_reply("value"));
        // Usually only a first part of the response in transit arrives, followed by a reset.
        network.run_for(HOST_DELAY / 2);
        network.sim.kill(host.process());
        network.run_for(10 * SECOND);
        assert!(other.take_received().is_empty(), "retried, seed {seed}");
        let replies = client.take_timed_replies();
        match replies.iter().map(|(at, text)| (*at, text.as_str())).collect::<Vec<_>>()[..] {
            [(at, "-ERR failed")] => {
                failed += 1;
                assert_eq!(at, 10 * MS + HOST_DELAY * 3 / 2 + CLIENT_DELAY, "seed {seed}");
            }
            // The complete response arrived before the reset.
            [(_, "value")] => {}
            _ => panic!("seed {seed}: {replies:?}"),
        }
    }
    assert!((50..60).contains(&failed), "{failed}");
}

#[test]
fn a_safe_call_is_retried_when_its_host_is_killed_in_the_middle_of_the_response() {
    let mut retried = 0;
    for seed in 0..60 {
        let network = SimulatedNetwork::start(Setup { seed, hosts: 2, ..Setup::default() });
        let client = network.client();
        client.get(1);
        network.run_until(10 * MS);
        let (host, other) = called_and_other(&network);
        other.set_behavior(Behavior::serve(1, MS));
        host.send(0, value_reply("first value"));
        network.run_for(HOST_DELAY / 2);
        network.sim.kill(host.process());
        network.run_for(SECOND);
        let retries = other.take_received().len();
        let value = if retries == 0 { "first value".to_owned() } else { format_id(1) };
        assert_eq!(client.take_replies(), [value], "seed {seed}");
        retried += retries;
    }
    assert!((50..60).contains(&retried), "{retried}");
}

#[test]
fn a_response_that_stalls_halfway_is_abandoned_after_200_ms() {
    for safe in [false, true] {
        let network = start_two_hosts();
        let client = network.client();
        if safe {
            client.get(1);
        } else {
            client.post(1);
        }
        network.run_until(10 * MS);
        let (host, other) = called_and_other(&network);
        other.set_behavior(Behavior::serve(1, 0));
        let response = value_reply("value");
        // The response makes slow progress, and then stops.
        host.send(0, response.slice(..5));
        network.run_for(199 * MS);
        host.send(0, response.slice(5..9));
        let abandoned_at = network.now() + HOST_DELAY + 200 * MS;
        network.run_for(SECOND);
        let retried_at: Vec<Span> = other.take_received().iter().map(|received| received.sent).collect();
        if safe {
            assert_eq!(retried_at, [abandoned_at + 2 * HOST_DELAY], "on a new connection");
            assert_eq!(
                client.take_timed_replies(),
                [(abandoned_at + 4 * HOST_DELAY + CLIENT_DELAY, format_id(1))]
            );
        } else {
            assert!(retried_at.is_empty());
            assert_eq!(
                client.take_timed_replies(),
                [(abandoned_at + CLIENT_DELAY, "-ERR failed".to_owned())]
            );
        }
        assert_eq!(host.take_single().text, CLOSED, "abandoned by closing the connection");
    }
}

#[test]
fn a_request_whose_dial_times_out_is_retried_at_another_host() {
    let network = start_two_hosts();
    let machines = |peers: &[Peer]| peers.iter().map(|peer| peer.machine.id()).collect::<Vec<_>>();
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(1, 0)));
    let cuts = [0, 1].map(|n| {
        network.sim.cut(machines(&network.hosts[n..=n]), vec![network.gateway_machine_id()], Cut::Silent)
    });
    let client = network.client();
    client.post(1);
    // The connection to the host chosen first is not established in time; the other host is reachable from then on.
    let arrived = 3 * CLIENT_DELAY;
    network.run_until(arrived + 249 * MS);
    cuts.into_iter().for_each(|cut| network.sim.heal(cut));
    network.run_for(SECOND);
    let dialed = arrived + 250 * MS;
    let received: Vec<Span> =
        network.hosts.iter().flat_map(|host| host.take_received()).map(|received| received.at).collect();
    assert_eq!(received, [dialed + 3 * HOST_DELAY]);
    assert_eq!(client.take_timed_replies(), [(dialed + 4 * HOST_DELAY + CLIENT_DELAY, format_id(1))]);
}

#[test]
fn an_idle_connection_is_closed_at_half_of_the_hosts_idle_timeout() {
    let network = SimulatedNetwork::start(Setup::default());
    let (host, client) = (&network.hosts[0], network.client());
    host.set_behavior(Behavior::serve(1, 0));
    // The second call arrives at the gateway just in time to use the same connection.
    client.get(1);
    network.run_until(SECOND);
    let responded_at = client.take_timed_replies()[0].0 - CLIENT_DELAY;
    network.run_until(responded_at + 5 * SECOND - 1 - CLIENT_DELAY);
    client.get(2);
    network.run_for(SECOND);
    let responded_at = client.take_timed_replies()[0].0 - CLIENT_DELAY;
    assert_eq!(host.take_received().iter().map(|received| received.connection).collect::<Vec<_>>(), [0, 0]);
    // The third call finds the connection closed.
    network.run_until(responded_at + 5 * SECOND - CLIENT_DELAY);
    client.get(3);
    network.run_for(SECOND);
    let [end, command] = &host.take_received()[..] else { panic!("an end and a command") };
    assert_eq!((end.connection, end.at, &*end.text), (0, responded_at + 5 * SECOND + HOST_DELAY, CLOSED));
    assert_eq!((command.connection, command.at), (1, responded_at + 5 * SECOND + 3 * HOST_DELAY));
    assert_eq!(client.take_replies(), [format_id(3)]);
}

#[test]
fn extra_bytes_after_a_response_close_the_connection_but_do_not_fail_the_call() {
    let network = SimulatedNetwork::start(Setup::default());
    let (host, client) = (&network.hosts[0], network.client());
    client.post(1);
    network.run_until(10 * MS);
    host.take_received();
    host.send(0, [value_reply("value"), bulk("more")].concat());
    network.run_for(10 * MS);
    assert_eq!(client.take_replies(), ["value"]);
    assert_eq!(host.take_single().text, CLOSED);
    client.post(2);
    network.run_for(10 * MS);
    assert_eq!(host.take_single().connection, 1);
}
