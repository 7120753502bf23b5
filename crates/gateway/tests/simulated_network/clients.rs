//! Clients that say nothing, or take nothing.

use crate::support::{
    command, format_id, get, value_reply, Behavior, Client, Setup, SimulatedNetwork, CLIENT_DELAY, CLOSED,
    HOST_DELAY,
};
use cluster_model::{MS, SECOND};
use runtime::Span;
use simulated_runtime::What;

/// When the gateway has the connection of a client that asks for it at the start.
const ACCEPTED: Span = 3 * CLIENT_DELAY;

#[test]
fn a_silent_client_is_ended_after_two_seconds_with_no_word() {
    let network = SimulatedNetwork::start(Setup::default());
    let client = network.client();
    network.run_for(5 * SECOND);
    assert_eq!(client.take_timed_replies(), [(ACCEPTED + 2 * SECOND + CLIENT_DELAY, CLOSED.to_owned())]);
}

#[test]
fn the_rest_of_a_command_is_owed_for_two_seconds_since_its_begin() {
    let network = SimulatedNetwork::start(Setup::default());
    network.discovery.set_behavior(Behavior::Manual);
    let (client, call) = (network.client(), get(1));
    client.send(command(&["PING"]));
    network.run_until(SECOND);
    assert_eq!(client.take_replies(), ["-ERR starting"]);
    client.send(call.slice(..10));
    // A byte now and then gains nothing.
    for byte in 10..15 {
        network.run_for(500 * MS);
        client.send(call.slice(byte..byte + 1));
    }
    network.run_for(SECOND);
    let refused = SECOND + CLIENT_DELAY + 2 * SECOND + CLIENT_DELAY;
    let error = "-ERR protocol error: command not whole in time";
    assert_eq!(client.take_timed_replies(), [(refused, error.to_owned()), (refused, CLOSED.to_owned())]);
}

/// Places for commands in hand in the least memory that a gateway starts with.
const COMMAND_SLOTS: usize = 32;

/// A gateway with as few places, with slots at its hosts for all of them, and a network that takes a quarter of an answer unread.
fn start_with_least_memory() -> SimulatedNetwork {
    let mut setup = Setup { memory_mb: 4, hosts: 8, ..Setup::default() };
    setup.network.window = 16 * 1024;
    SimulatedNetwork::start(setup)
}

/// Serves all commands that have come to hosts, with more than the network takes. Gives when the answers are
/// with the gateway, which passes them on whole.
fn answer_with_large_values(network: &SimulatedNetwork) -> Span {
    let value = "x".repeat(60_000);
    for host in &network.hosts {
        host.take_received().iter().for_each(|received| host.send(received.connection, value_reply(&value)));
    }
    // The first quarter arrives, is read, and makes way for the next.
    network.now() + 4 * HOST_DELAY
}

#[test]
fn clients_that_take_nothing_hold_their_places_for_three_seconds() {
    let network = start_with_least_memory();
    let trace = network.trace_packets();
    let stuck: Vec<_> = (1..=COMMAND_SLOTS as u64).map(|id| network.client_with_call(get(id), 0)).collect();
    network.run_until(10 * MS);
    let answered_at = answer_with_large_values(&network);
    network.run_for(MS);
    let other = network.client();
    other.get(98);
    network.run_for(10 * MS);
    assert_eq!(other.take_replies(), ["-BUSY"], "no place is left");
    // That the gateway gets ready after a second is no sign of life of theirs.
    network.run_until(answered_at + 3 * SECOND);
    other.get(99);
    network.run_for(10 * MS);
    answer_with_large_values(&network);
    network.run_for(100 * MS);
    assert_eq!(
        trace.arrivals("gateway", "clients", &What::Fin),
        [answered_at + 3 * SECOND + CLIENT_DELAY; COMMAND_SLOTS]
    );
    assert_eq!(other.take_replies()[0].len(), 60_000, "their places are free");
    // What they have of it cannot be taken for a whole answer.
    stuck.iter().for_each(|client| client.read(usize::MAX));
    network.run_for(100 * MS);
    assert!(stuck.iter().all(|client| client.take_replies() == [CLOSED]));
}

#[test]
fn a_client_that_takes_a_byte_now_and_then_holds_its_place_for_ten_seconds() {
    let network = start_with_least_memory();
    let trace = network.trace_packets();
    let trickling = network.client_with_call(get(1), 0);
    network.run_until(10 * MS);
    let answered_at = answer_with_large_values(&network);
    while network.now() < answered_at + 11 * SECOND {
        trickling.read(1);
        network.run_for(50 * MS);
    }
    assert_eq!(trace.arrivals("gateway", "clients", &What::Fin), [answered_at + 10 * SECOND + CLIENT_DELAY]);
}

/// With 64 descriptors there are 24 places for clients.
#[test]
fn one_that_takes_the_last_place_keeps_it_for_its_first_command_and_no_longer() {
    let call = get(24);
    // Half a command keeps none: clients that say little must not crowd out the others. Its rest goes nowhere.
    for (sent_bytes, rest) in [(&call[..], None), (&call[..30], Some(&call[30..])), (&[], None)] {
        let sends_whole_call = sent_bytes.len() == call.len();
        let network = SimulatedNetwork::start(Setup { sockets: 64, ..Setup::default() });
        let busy: Vec<_> = (1..24)
            .map(|id| {
                let client = network.client();
                client.get(id);
                client
            })
            .collect();
        network.run_until(10 * MS);
        let (last, next) = (network.client(), network.client());
        network.run_for(90 * MS);
        assert!(busy.iter().all(|client| client.take_replies().is_empty()), "all others are owed an answer");
        assert_eq!(last.take_replies(), [""; 0], "its command may be on the way");
        last.send(sent_bytes.to_vec());
        next.get(25);
        network.run_for(20 * MS);
        rest.into_iter().for_each(|rest| last.send(rest.to_vec()));
        network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(8, 0)));
        for host in &network.hosts {
            host.take_received()
                .iter()
                .for_each(|received| host.send(received.connection, value_reply("value")));
        }
        network.run_for(SECOND);
        // Some may be refused, for want of slots: that is an answer, too.
        let is_answered = |client: &Client| client.take_replies().first().is_some_and(|text| text != CLOSED);
        assert_eq!((is_answered(&last), is_answered(&next)), (sends_whole_call, true));
        assert!(busy.iter().all(is_answered));
        let is_sent = network
            .hosts
            .iter()
            .flat_map(|host| host.take_received())
            .any(|received| received.text.contains(&format_id(24)));
        assert_eq!(is_sent, sends_whole_call, "sent on after its connection ended, or never");
    }
}
