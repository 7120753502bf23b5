//! Attempts at hosts: the forwarded request, and whether a failed attempt is retried.

use crate::sockets::*;
use crate::support::{
    assert_served, field, gateway_with_hosts, wait_for_reusable_connections, CLOSED_ADDRESS,
};
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn forwards_a_request_with_only_its_deadline_changed() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut client = gateway.client();
    client.send_get(5);
    let mut command = host.next_command();
    assert_eq!(command.arguments[..3], ["CALL.GET", CUSTOMER, "0000000000000005"]);
    let (sent, got) = ("c=read,t=team,d=8500,units=2,spread=1,first=0,k=7", command.arguments[3].clone());
    let d: u64 = field(&got, "d").parse().unwrap();
    assert!((1..=8000).contains(&d), "{got}");
    assert_eq!(got.replace(&format!("d={d}"), "d=8500"), sent);
    command.serve("price");
    assert_eq!(client.read_answer(), "price");

    wait_for_reusable_connections();
    client.send_post(6, "buy");
    let mut command = host.next_command();
    assert_eq!(command.arguments[0], "CALL.POST");
    assert_eq!(command.arguments[4], "buy");
    assert_eq!(command.connection, (0, 0), "the idle connection is reused");
    command.serve("done");
    assert_eq!(client.read_answer(), "done");
}

#[test]
fn forwards_a_value_of_the_maximum_length() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let (mut client, long) = (gateway.client(), "x".repeat(64 * 1024));
    client.send_post(1, &long);
    let mut command = host.next_command();
    assert_eq!(command.arguments[4], long);
    command.serve(&long);
    assert_eq!(client.read_answer(), long);
}

// Each of these tests covers a row of the protocol's table: whether the host may have executed the request. A request
// that is not idempotent is retried only if it was certainly not executed.

#[test]
fn retries_a_non_idempotent_request_that_a_host_rejected() {
    let hosts = Peers::start(2);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    let mut client = gateway.client();
    client.send_post(1, "body");
    let mut first = hosts.next_command();
    first.write("-BUSY\r\n");
    let mut second = hosts.next_command();
    assert_ne!(first.connection.0, second.connection.0);
    second.serve("second");
    assert_eq!(client.read_answer(), "second");
}

#[test]
fn retries_a_non_idempotent_request_after_a_refused_connection() {
    let refusing = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let host = Peers::start(1);
    let discovery = Discovery::start();
    let lines =
        [host_entry("s-0", refusing, "in_service", 0), host_entry("s-1", host.addrs[0], "in_service", 0)];
    let gateway = Program::start(settings(), &lines, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
    let mut client = gateway.client();
    for id in 0..4 {
        client.send_post(id, "body");
        host.next_command().serve("served");
        assert_eq!(client.read_answer(), "served");
    }
}

#[test]
fn does_not_retry_a_non_idempotent_request_after_an_error() {
    let hosts = Peers::start(2);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    let mut client = gateway.client();
    client.send_post(1, "body");
    hosts.next_command().write("-ERR failed\r\n");
    assert_eq!(client.read_answer(), "-ERR failed");
    assert_eq!(hosts.count_unread_commands(), 0);
}

#[test]
fn does_not_retry_a_non_idempotent_request_whose_connection_broke_after_the_last_byte() {
    let hosts = Peers::start(2);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    let mut client = gateway.client();
    client.send_post(1, "body");
    hosts.next_command().close();
    assert_eq!(client.read_answer(), "-ERR failed");
    assert_eq!(hosts.count_unread_commands(), 0);
}

#[test]
fn logs_why_a_request_failed_with_the_outcomes_of_its_attempts() {
    let hosts = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    let mut client = gateway.client();
    client.send_post(7, "body");
    hosts.next_command().serve("served");
    assert_eq!(client.read_answer(), "served");
    wait_for_reusable_connections();
    client.send_post(8, "body");
    hosts.next_command().close();
    assert_eq!(client.read_answer(), "-ERR failed");
    gateway.wait_for_log(1, "request missed its latency objective request=");
    let log = gateway.log();
    let line =
        log.iter().find(|line| line.contains("request missed its latency objective request=")).unwrap();
    for part in ["0000000000000008", "reason=\"not idempotent\"", "s-0: connection idle for ", "after_ms="] {
        assert!(line.contains(part), "{part}: {line}");
    }
}

#[test]
fn a_malformed_answer_fails_the_request_and_ends_the_connection() {
    let hosts = Peers::start(2);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    for (id, malformed) in
        [":1\r\n", "*1\r\n$-1\r\n", "*1\r\n*1\r\n", "$99999999\r\n", "huh"].iter().enumerate()
    {
        let mut client = gateway.client();
        client.send_post(id as u64, "body");
        let mut command = hosts.next_command();
        command.write(malformed);
        assert_eq!(client.read_answer(), "-ERR failed", "{malformed:?}");
        hosts.wait_for_end(command.connection);
    }
}

#[test]
fn retries_an_incomplete_answer_long_before_the_request_timeout() {
    let hosts = Peers::start(2);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    let mut client = gateway.client();
    let start = Instant::now();
    client.send_get(1);
    let mut first = hosts.next_command();
    first.write("*3\r\n$9\r\nhalf");
    let mut second = hosts.next_command();
    second.serve("whole");
    assert_eq!(client.read_answer(), "whole");
    assert!(start.elapsed() < Duration::from_secs(6), "the latency objective is 8 s");
}

#[test]
fn closes_the_connection_of_an_unanswered_request_at_the_timeout() {
    let mut settings = settings();
    settings["services"][1]["aim"] = 2_000_000_000u64.into();
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings, &host);
    let mut client = gateway.client();
    client.send_post(1, "body");
    let mut command = host.next_command();
    assert_eq!(client.read_answer(), "-ERR failed");
    host.wait_for_end(command.connection);
    // A late answer reaches no client, and the next request gets its own answer.
    command.write_ignoring_errors("*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n");
    assert_served(&mut client, &host, 2, "own");
}

#[test]
fn a_timeout_closes_the_idle_connections_of_its_host() {
    let mut settings = settings();
    settings["services"][1]["aim"] = 2_000_000_000u64.into();
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings, &host);
    let (mut client, mut other) = (gateway.client(), gateway.client());
    client.send_get(1);
    let mut first = host.next_command();
    other.send_get(2);
    let mut second = host.next_command();
    first.serve("one");
    assert_eq!(client.read_answer(), "one");
    second.serve("two");
    assert_eq!(other.read_answer(), "two");
    wait_for_reusable_connections();
    client.send_post(3, "body");
    assert_eq!(host.next_command().connection, second.connection, "the newest idle connection is used");
    assert_eq!(client.read_answer(), "-ERR failed");
    host.wait_for_end(first.connection);
}

#[test]
fn retries_an_idempotent_request_after_its_connection_broke() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut client = gateway.client();
    client.send_get(1);
    host.next_command().close();
    host.next_command().serve("again");
    assert_eq!(client.read_answer(), "again");
}
