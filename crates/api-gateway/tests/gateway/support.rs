//! Gateways with their hosts and discovery, as the tests of this target start them.

use crate::sockets::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// An address on which nothing listens.
pub const CLOSED_ADDRESS: &str = "127.0.0.1:9";

/// Starts a gateway with hosts that are in service, and discovery. Returns when the gateway is ready: discovery sends
/// no list, so the gateway uses the list of its configuration after a second.
pub fn gateway_with_hosts(settings: Value, hosts: &Peers) -> (Program, Discovery) {
    let discovery = Discovery::start();
    let line = |(i, addr): (usize, &SocketAddr)| host_entry(&format!("s-{i}"), *addr, "in_service", 0);
    let lines: Vec<Value> = hosts.addrs.iter().enumerate().map(line).collect();
    let gateway = Program::start(settings, &lines, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
    if !lines.is_empty() {
        gateway.client().wait_until_ready();
    }
    (gateway, discovery)
}

/// Settings that allow attempts to be cancelled.
pub fn settings_with_cancel() -> Value {
    let mut settings = settings();
    settings["allowed"]["cancel"] = true.into();
    settings
}

/// Starts a gateway with one host, and descriptors for 24 clients.
pub fn gateway_with_few_sockets(host: &Peers) -> (Program, Discovery) {
    let discovery = Discovery::start();
    let line = [host_entry("s-0", host.addrs[0], "in_service", 0)];
    let gateway =
        Program::with_sockets(64, settings(), &line, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
    (gateway, discovery)
}

/// Sends a request, has the host answer it with this value, and checks that the client gets the value.
pub fn assert_served(client: &mut Client, host: &Peers, id: u64, value: &str) {
    client.send_get(id);
    host.next_command().serve(value);
    assert_eq!(client.read_answer(), value);
}

/// Waits until connections to hosts may be reused after their last answer. A longer wait does no harm.
pub fn wait_for_reusable_connections() {
    std::thread::sleep(Duration::from_millis(26));
}

pub fn field<'a>(list: &'a str, name: &str) -> &'a str {
    list.split(',').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).unwrap().1
}
