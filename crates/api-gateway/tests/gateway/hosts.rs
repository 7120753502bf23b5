//! Hosts that drain, restart or close idle connections.

use crate::sockets::*;
use crate::support::{gateway_with_hosts, CLOSED_ADDRESS};
use std::time::{Duration, Instant};

#[test]
fn moves_an_attempt_that_waits_for_a_connection_to_another_host_after_a_drain() {
    // The backlog is full and nothing is accepted, so the connection is not established.
    let (stuck, _listener, _full) = full_backlog();
    let host = Peers::start(1);
    let discovery = Discovery::start();
    let mut settings = settings();
    settings["allowed"]["dial-timeout"] = 60_000_000_000u64.into();
    let line = [host_entry("s-0", stuck, "in_service", 0)];
    let gateway = Program::start(settings, &line, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
    let (mut client, mut other) = (gateway.client(), gateway.client());
    let mut watch = discovery.accept_watch();
    client.send_post(1, "body");
    other.send_command(&["PING"]);
    other.read_answer();
    let draining = host_entry("s-0", stuck, "terminating", 0);
    let other_host = host_entry("s-1", host.addrs[0], "in_service", 0);
    watch.send_list(&endpoint_list(2, false, &[other_host, draining]));
    host.next_command().serve("other host");
    assert_eq!(client.read_answer(), "other host");
}

#[test]
fn does_not_send_an_attempt_whose_client_disconnected_while_it_waited_for_a_connection() {
    let (stuck, listener, full) = full_backlog();
    let discovery = Discovery::start();
    let mut settings = settings();
    settings["allowed"]["dial-timeout"] = 60_000_000_000u64.into();
    let line = [host_entry("s-0", stuck, "in_service", 0)];
    let gateway = Program::start(settings, &line, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
    let (mut disconnecting, mut remaining) = (gateway.client(), gateway.client());
    disconnecting.send_post(1, "of the disconnected client");
    disconnecting.disconnect();
    remaining.send_post(2, "of the remaining client");
    drop(full);
    let host = Peers::on_listener(listener.into());
    let mut command = host.next_command();
    assert_eq!(command.arguments[4], "of the remaining client");
    command.serve("served");
    assert_eq!(remaining.read_answer(), "served");
    assert_eq!(host.count_unread_commands(), 0);
}

#[test]
fn a_restarted_host_gets_a_new_connection() {
    let host = Peers::start(1);
    let (gateway, discovery) = gateway_with_hosts(settings(), &host);
    let mut client = gateway.client();
    client.send_get(1);
    let mut command = host.next_command();
    command.serve("old");
    assert_eq!(client.read_answer(), "old");
    let mut watch = discovery.accept_watch();
    watch.send_list(&endpoint_list(2, false, &[host_entry("s-0", host.addrs[0], "in_service", 1_000)]));
    host.wait_for_end(command.connection);
    client.send_get(2);
    let mut command = host.next_command();
    assert_eq!(command.connection, (0, 1));
    command.serve("new");
    assert_eq!(client.read_answer(), "new");
}

#[test]
fn requests_in_flight_finish_on_a_draining_host() {
    let host = Peers::start(1);
    let (gateway, discovery) = gateway_with_hosts(settings(), &host);
    let (mut client, mut other) = (gateway.client(), gateway.client());
    client.send_post(1, "body");
    let mut command = host.next_command();
    other.send_get(2);
    let mut idle = host.next_command();
    idle.serve("idle");
    assert_eq!(other.read_answer(), "idle");
    let mut watch = discovery.accept_watch();
    watch.send_list(&endpoint_list(2, false, &[host_entry("s-0", host.addrs[0], "terminated", 0)]));
    host.wait_for_end(idle.connection);
    command.serve("finished");
    assert_eq!(client.read_answer(), "finished");
    host.wait_for_end(command.connection);
}

#[test]
fn closes_idle_connections_before_the_host_would() {
    let mut settings = settings();
    settings["allowed"]["conn-idle"] = 2_000_000_000u64.into();
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings, &host);
    let mut client = gateway.client();
    client.send_get(1);
    let mut command = host.next_command();
    let idle = Instant::now();
    command.serve("served");
    assert_eq!(client.read_answer(), "served");
    host.wait_for_end(command.connection);
    assert!(idle.elapsed().as_millis() >= 900, "not at once, since it may be reused");
}

#[test]
fn shortens_the_idle_lifetime_after_an_idle_connection_broke() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut client = gateway.client();
    // An idle connection breaks at its next request. On a machine too busy for these delays, the test tries again.
    let is_shortened = (0..20).any(|round| {
        client.send_get(3 * round);
        let mut command = host.next_command();
        command.serve("first");
        assert_eq!(client.read_answer(), "first");
        std::thread::sleep(Duration::from_millis(400));
        client.send_get(3 * round + 1);
        host.next_command().close();
        let mut again = host.next_command();
        again.serve("again");
        assert_eq!(client.read_answer(), "again");
        std::thread::sleep(Duration::from_millis(400));
        client.send_get(3 * round + 2);
        let mut last = host.next_command();
        last.serve("last");
        assert_eq!(client.read_answer(), "last");
        last.connection != again.connection
    });
    assert!(is_shortened, "the idle lifetime is as long as before");
}
