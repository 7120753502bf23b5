//! The memory of the real program stays within its limit, whatever clients send and in whatever pieces.
#[expect(dead_code, reason = "other tests use the rest")]
mod sockets;

use serde_json::json;
use sockets::*;

/// The smallest memory of a gateway, in MB, and the most descriptors of one.
const MEMORY_MB: usize = 32;
const SOCKETS: usize = 1024;
/// Maximum length of a value.
const LONG_VALUE: usize = 64 * 1024;

/// Starts a gateway with ten hosts that answer all commands with this value.
fn start_gateway(value: &str) -> (Program, Discovery, Watch) {
    let hosts = Peers::start(10);
    let lines: Vec<_> = (0..)
        .zip(&hosts.addrs)
        .map(|(number, address)| host_entry(&format!("s-{number}"), *address, "in_service", 0))
        .collect();
    let (discovery, counter) = (Discovery::start(), "127.0.0.1:9".parse().unwrap());
    let limits = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
    let gateway = Program::with_limits(limits, None, settings(), &lines, discovery.addr, counter);
    let mut watch = discovery.accept_watch();
    watch.send_list(&endpoint_list(1, true, &lines));
    gateway.client().wait_until_ready();
    hosts.serve_all(value.to_owned());
    (gateway, discovery, watch)
}

/// Guards against connections at rest that keep the buffers of long requests and responses: a gateway passed its memory
/// limit after some 300 long orders, and was killed.
#[test]
fn connections_that_have_carried_long_values_do_not_exceed_the_memory_limit() {
    let value = "v".repeat(LONG_VALUE);
    let (gateway, _discovery, _watch) = start_gateway(&value);
    let mut clients = Vec::new();
    for first in (1..=384).step_by(48) {
        let mut crowd: Vec<Client> = (0..48).map(|_| gateway.client()).collect();
        (first..).zip(&mut crowd).for_each(|(id, client)| client.send_post(id, &value));
        for client in &mut crowd {
            assert_eq!(client.read_answer().len(), LONG_VALUE);
        }
        clients.extend(crowd);
        let memory = gateway.anonymous_memory();
        assert!(memory <= MEMORY_MB << 20, "{} kB after {} orders", memory >> 10, clients.len());
    }
}

/// The part of the memory for the program and for connections without commands in flight, as `check` prints it: 6 MB, and
/// 4 KiB for each descriptor.
const PROGRAM_AND_CONNECTIONS: usize = (6 << 20) + SOCKETS * (4 << 10);
/// As many connections as the descriptors for clients allow.
const CONNECTIONS: usize = 700;

/// Opens connections, and writes these bytes on each of them.
fn connect_and_write(gateway: &Program, bytes: &[u8]) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..CONNECTIONS).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| client.write_ignoring_errors(bytes));
    clients
}

/// Guards against buffers of connections that are about to close: each took 16 KiB until its client had closed it too, so
/// that memory grew after malformed requests.
#[test]
fn connections_that_end_with_an_error_stay_within_their_part_of_the_memory() {
    let (gateway, _discovery, _watch) = start_gateway("v");
    let many_fields = format!("*20000\r\n{}", "$1\r\na\r\n".repeat(20_000));
    let mut clients = connect_and_write(&gateway, many_fields.as_bytes());
    for client in &mut clients {
        assert!(client.read_answer().starts_with("-ERR protocol error"));
    }
    let memory = gateway.anonymous_memory();
    assert!(memory <= PROGRAM_AND_CONNECTIONS, "{} kB", memory >> 10);
}

/// The part of the memory for the bytes of commands, an eighth, as `check` prints it.
const COMMANDS: usize = (MEMORY_MB << 20) / 8;

/// Writes the same bytes on all connections, in pieces by turns, so that their buffers grow side by side.
fn write_by_turns(clients: &mut [Client], bytes: &[u8], piece_length: usize) {
    for piece in bytes.chunks(piece_length) {
        clients.iter_mut().for_each(|client| client.write_ignoring_errors(piece));
    }
}

/// Guards against memory that grows with hundreds of clients that write slowly, stop within a large request or send many
/// short pairs: buffers doubled as they grew, and their allocations were not budgeted. A gateway of 32 MB had 30 MB and more.
#[test]
fn large_incomplete_requests_stay_within_the_memory_for_commands() {
    let list = "c=order,t=team,d=8500,units=2,spread=1,first=0";
    let value = "v".repeat(LONG_VALUE);
    let long_order = encode_command(&["CALL.POST", CUSTOMER, "0000000000000001", list, &value]);
    let many_pairs = format!("{list}{}", ",a=1".repeat(12_000));
    let many_pairs = encode_command(&["CALL.POST", CUSTOMER, "0000000000000001", &many_pairs, "body"]);
    for (case, bytes) in [
        ("almost complete orders", &long_order[..long_order.len() - 10]),
        ("half of an order", &long_order[..long_order.len() / 2]),
        ("many short pairs", &many_pairs[..many_pairs.len() - 10]),
    ] {
        let (gateway, _discovery, _watch) = start_gateway("v");
        let mut clients: Vec<Client> = (0..CONNECTIONS).map(|_| gateway.client()).collect();
        write_by_turns(&mut clients, bytes, 2_000);
        let written = gateway.anonymous_memory();
        for client in &mut clients {
            assert!(client.read_answer().starts_with("-ERR protocol error"), "{case}");
        }
        let closing = gateway.anonymous_memory();
        let limit = PROGRAM_AND_CONNECTIONS + COMMANDS;
        assert!(written.max(closing) <= limit, "{case}: {} kB, then {} kB", written >> 10, closing >> 10);
    }
}
