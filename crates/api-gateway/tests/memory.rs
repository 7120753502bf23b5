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
