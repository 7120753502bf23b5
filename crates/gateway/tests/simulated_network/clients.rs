//! Clients that send nothing, and clients that do not read their replies.

use crate::support::{
    command, format_id, get, value_reply, Behavior, Client, Setup, SimulatedNetwork, CLIENT_DELAY, CLOSED,
    HOST_DELAY,
};
use cluster_model::{MS, SECOND};
use runtime::Span;
use simulated_runtime::What;

/// When the gateway has accepted the connection of a client that connects at the start.
const ACCEPTED: Span = 3 * CLIENT_DELAY;

#[test]
fn a_silent_client_is_disconnected_after_two_seconds_without_a_reply() {
    let network = SimulatedNetwork::start(Setup::default());
    let client = network.client();
    network.run_for(5 * SECOND);
    assert_eq!(client.take_timed_replies(), [(ACCEPTED + 2 * SECOND + CLIENT_DELAY, CLOSED.to_owned())]);
}

#[test]
fn a_partial_command_is_rejected_two_seconds_after_its_first_byte() {
    let network = SimulatedNetwork::start(Setup::default());
    network.discovery.set_behavior(Behavior::Manual);
    let (client, call) = (network.client(), get(1));
    client.send(command(&["PING"]));
    network.run_until(SECOND);
    assert_eq!(client.take_replies(), ["-ERR starting"]);
    client.send(call.slice(..10));
    // A single byte from time to time does not extend the deadline.
    for byte in 10..15 {
        network.run_for(500 * MS);
        client.send(call.slice(byte..byte + 1));
    }
    network.run_for(SECOND);
    let rejected_at = SECOND + CLIENT_DELAY + 2 * SECOND + CLIENT_DELAY;
    let error = "-ERR protocol error: command not whole in time";
    assert_eq!(
        client.take_timed_replies(),
        [(rejected_at, error.to_owned()), (rejected_at, CLOSED.to_owned())]
    );
}

/// Number of commands that a gateway holds at most with the least memory that it starts with.
const COMMAND_SLOTS: usize = 32;

/// Starts a gateway with [`COMMAND_SLOTS`] slots, hosts with concurrency slots for all of them, and a network whose
/// window holds a quarter of a large reply.
fn start_with_least_memory() -> SimulatedNetwork {
    let mut setup = Setup { memory_mb: 4, hosts: 8, ..Setup::default() };
    setup.network.window = 16 * 1024;
    SimulatedNetwork::start(setup)
}

/// Answers all commands that hosts have received with values larger than the network window. Returns when the gateway
/// has the complete replies: it forwards only these.
fn answer_with_large_values(network: &SimulatedNetwork) -> Span {
    let value = "x".repeat(60_000);
    for host in &network.hosts {
        host.take_received().iter().for_each(|received| host.send(received.connection, value_reply(&value)));
    }
    // Each quarter is sent once the gateway has read the one before.
    network.now() + 4 * HOST_DELAY
}

#[test]
fn clients_that_read_nothing_hold_their_command_slots_for_three_seconds() {
    let network = start_with_least_memory();
    let trace = network.trace_packets();
    let stalled: Vec<_> = (1..=COMMAND_SLOTS as u64).map(|id| network.client_with_call(get(id), 0)).collect();
    network.run_until(10 * MS);
    let answered_at = answer_with_large_values(&network);
    network.run_for(MS);
    let other = network.client();
    other.get(98);
    network.run_for(10 * MS);
    assert_eq!(other.take_replies(), ["-BUSY"], "no slot is free");
    // The gateway becoming ready after a second does not count as progress of these clients.
    network.run_until(answered_at + 3 * SECOND);
    other.get(99);
    network.run_for(10 * MS);
    answer_with_large_values(&network);
    network.run_for(100 * MS);
    assert_eq!(
        trace.arrivals("gateway", "clients", &What::Fin),
        [answered_at + 3 * SECOND + CLIENT_DELAY; COMMAND_SLOTS]
    );
    assert_eq!(other.take_replies()[0].len(), 60_000, "their slots are free");
    // The part of a reply that they have received cannot be mistaken for a complete one.
    stalled.iter().for_each(|client| client.read(usize::MAX));
    network.run_for(100 * MS);
    assert!(stalled.iter().all(|client| client.take_replies() == [CLOSED]));
}

#[test]
fn a_client_that_reads_single_bytes_holds_its_command_slot_for_ten_seconds() {
    let network = start_with_least_memory();
    let trace = network.trace_packets();
    let slow_reader = network.client_with_call(get(1), 0);
    network.run_until(10 * MS);
    let answered_at = answer_with_large_values(&network);
    while network.now() < answered_at + 11 * SECOND {
        slow_reader.read(1);
        network.run_for(50 * MS);
    }
    assert_eq!(trace.arrivals("gateway", "clients", &What::Fin), [answered_at + 10 * SECOND + CLIENT_DELAY]);
}

/// Clients write several long orders at once, more than the memory for commands holds. Guards against orders that are
/// read and never answered: those behind the first one without room were discarded, and their connection was closed.
#[test]
fn long_orders_written_at_once_are_all_answered_although_the_memory_for_commands_is_used_up() {
    const CLIENTS: u64 = 8;
    const ORDERS: u64 = 8;
    let network = start_with_least_memory();
    network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(8, 50 * MS)));
    network.run_until(2 * SECOND);
    let (list, body) = ("c=order,t=team,d=8500,units=1,spread=1,first=0", "b".repeat(60_000));
    let order = |id: u64| command(&["CALL.POST", &format_id(1), &format_id(id), list, &body]).to_vec();
    let clients: Vec<Client> = (0..CLIENTS)
        .map(|number| {
            let client = network.client();
            let orders = (1..=ORDERS).flat_map(|place| order(number * ORDERS + place));
            client.send(orders.chain(command(&["PING"])).collect::<Vec<u8>>());
            client
        })
        .collect();
    network.run_for(10 * SECOND);
    let mut rejected = 0;
    for (number, client) in (0..).zip(&clients) {
        let replies = client.take_replies();
        assert_eq!(replies.len() as u64, ORDERS + 1, "client {number}: {replies:?}");
        assert_eq!(replies.last().map(String::as_str), Some("+PONG"), "client {number}: {replies:?}");
        for (place, reply) in (1..=ORDERS).zip(&replies) {
            rejected += u64::from(reply == "-BUSY");
            assert!(
                *reply == format_id(number * ORDERS + place) || reply == "-BUSY",
                "client {number}, order {place}: {replies:?}"
            );
        }
    }
    assert!(rejected > 0, "the memory for commands was not used up");
    assert!(rejected < CLIENTS * ORDERS, "no order was served");
}

/// With 64 descriptors there are 24 connection slots for clients.
#[test]
fn a_client_in_the_last_connection_slot_keeps_it_only_if_its_first_command_is_complete() {
    let call = get(24);
    // Half a command does not keep the slot: clients that send little must not crowd out the others. The rest of that
    // command is not forwarded.
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
        assert!(
            busy.iter().all(|client| client.take_replies().is_empty()),
            "all others have a pending reply"
        );
        assert_eq!(last.take_replies(), [""; 0], "its command may be in transit");
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
        // Some may be rejected for lack of concurrency slots: that is a reply, too.
        let is_answered = |client: &Client| client.take_replies().first().is_some_and(|text| text != CLOSED);
        assert_eq!((is_answered(&last), is_answered(&next)), (sends_whole_call, true));
        assert!(busy.iter().all(is_answered));
        let is_sent = network
            .hosts
            .iter()
            .flat_map(|host| host.take_received())
            .any(|received| received.text.contains(&format_id(24)));
        assert_eq!(is_sent, sends_whole_call, "forwarded after its connection ended, or never");
    }
}
