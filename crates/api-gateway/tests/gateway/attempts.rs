//! Attempts at hosts: what is forwarded, and whether a failed attempt is repeated.

use crate::sockets::*;
use crate::support::{
    assert_served, field, gateway_with_hosts, wait_for_reusable_connections, CLOSED_ADDRESS,
};
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn a_call_goes_on_unchanged_but_for_its_time() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut client = gateway.client();
    client.get(5);
    let mut seen = host.command();
    assert_eq!(seen.words[..3], ["CALL.GET", CUSTOMER, "0000000000000005"]);
    let (sent, got) = ("c=read,t=team,d=8500,units=2,spread=1,first=0,k=7", seen.words[3].clone());
    let d: u64 = field(&got, "d").parse().unwrap();
    assert!((1..=8000).contains(&d), "{got}");
    assert_eq!(got.replace(&format!("d={d}"), "d=8500"), sent);
    seen.serve("price");
    assert_eq!(client.answer(), "price");

    wait_for_reusable_connections();
    client.post(6, "buy");
    let mut seen = host.command();
    assert_eq!(seen.words[0], "CALL.POST");
    assert_eq!(seen.words[4], "buy");
    assert_eq!(seen.conn, (0, 0), "the idle connection is used again");
    seen.serve("done");
    assert_eq!(client.answer(), "done");
}

#[test]
fn a_value_of_the_greatest_length_passes() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let (mut client, long) = (gateway.client(), "x".repeat(64 * 1024));
    client.post(1, &long);
    let mut seen = host.command();
    assert_eq!(seen.words[4], long);
    seen.serve(&long);
    assert_eq!(client.answer(), long);
}

// Rows of the table: may the host have run it? An unsafe call moves on only if it never ran.

#[test]
fn turned_away_never_ran_so_an_unsafe_call_moves_on() {
    let hosts = Peers::start(2);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    let mut client = gateway.client();
    client.post(1, "body");
    let mut first = hosts.command();
    first.write("-BUSY\r\n");
    let mut second = hosts.command();
    assert_ne!(first.conn.0, second.conn.0);
    second.serve("second");
    assert_eq!(client.answer(), "second");
}

#[test]
fn refused_connections_never_ran_so_an_unsafe_call_moves_on() {
    let refusing = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let host = Peers::start(1);
    let discovery = Discovery::start();
    let lines =
        [host_line("s-0", refusing, "in_service", 0), host_line("s-1", host.addrs[0], "in_service", 0)];
    let gateway = Program::start(settings(), &lines, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
    let mut client = gateway.client();
    for id in 0..4 {
        client.post(id, "body");
        host.command().serve("served");
        assert_eq!(client.answer(), "served");
    }
}

#[test]
fn an_error_may_have_run_so_an_unsafe_call_fails() {
    let hosts = Peers::start(2);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    let mut client = gateway.client();
    client.post(1, "body");
    hosts.command().write("-ERR failed\r\n");
    assert_eq!(client.answer(), "-ERR failed");
    assert_eq!(hosts.others(), 0);
}

#[test]
fn a_break_after_the_last_byte_may_have_run_so_an_unsafe_call_fails() {
    let hosts = Peers::start(2);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    let mut client = gateway.client();
    client.post(1, "body");
    hosts.command().close();
    assert_eq!(client.answer(), "-ERR failed");
    assert_eq!(hosts.others(), 0);
}

#[test]
fn the_log_says_why_a_request_failed_and_how_its_attempts_went() {
    let hosts = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    let mut client = gateway.client();
    client.post(7, "body");
    hosts.command().serve("served");
    assert_eq!(client.answer(), "served");
    wait_for_reusable_connections();
    client.post(8, "body");
    hosts.command().close();
    assert_eq!(client.answer(), "-ERR failed");
    gateway.until_logged(1, "request missed its latency objective request=");
    let log = gateway.log();
    let line =
        log.iter().find(|line| line.contains("request missed its latency objective request=")).unwrap();
    for part in ["0000000000000008", "reason=\"not idempotent\"", "s-0: connection idle for ", "after_ms="] {
        assert!(line.contains(part), "{part}: {line}");
    }
}

#[test]
fn nonsense_from_a_host_is_its_failure_and_ends_the_connection() {
    let hosts = Peers::start(2);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    for (id, nonsense) in
        [":1\r\n", "*1\r\n$-1\r\n", "*1\r\n*1\r\n", "$99999999\r\n", "huh"].iter().enumerate()
    {
        let mut client = gateway.client();
        client.post(id as u64, "body");
        let mut seen = hosts.command();
        seen.write(nonsense);
        assert_eq!(client.answer(), "-ERR failed", "{nonsense:?}");
        hosts.end(seen.conn);
    }
}

#[test]
fn a_begun_answer_that_gets_no_further_is_spoilt_long_before_the_time_out() {
    let hosts = Peers::start(2);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &hosts);
    let mut client = gateway.client();
    let start = Instant::now();
    client.get(1);
    let mut first = hosts.command();
    first.write("*3\r\n$9\r\nhalf");
    let mut second = hosts.command();
    second.serve("whole");
    assert_eq!(client.answer(), "whole");
    assert!(start.elapsed() < Duration::from_secs(6), "the aim is 8 s");
}

#[test]
fn silence_ends_at_the_time_out_by_closing_the_connection() {
    let mut settings = settings();
    settings["services"][1]["aim"] = 2_000_000_000u64.into();
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings, &host);
    let mut client = gateway.client();
    client.post(1, "body");
    let mut seen = host.command();
    assert_eq!(client.answer(), "-ERR failed");
    host.end(seen.conn);
    // An answer that comes after all finds nobody, and the next call gets its own.
    seen.write_late("*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n");
    assert_served(&mut client, &host, 2, "own");
}

#[test]
fn a_host_silent_through_a_time_out_keeps_no_idle_connections() {
    let mut settings = settings();
    settings["services"][1]["aim"] = 2_000_000_000u64.into();
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings, &host);
    let (mut client, mut other) = (gateway.client(), gateway.client());
    client.get(1);
    let mut first = host.command();
    other.get(2);
    let mut second = host.command();
    first.serve("one");
    assert_eq!(client.answer(), "one");
    second.serve("two");
    assert_eq!(other.answer(), "two");
    wait_for_reusable_connections();
    client.post(3, "body");
    assert_eq!(host.command().conn, second.conn, "the newest idle one is used");
    assert_eq!(client.answer(), "-ERR failed");
    host.end(first.conn);
}

#[test]
fn a_safe_call_is_repeated_after_a_break() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut client = gateway.client();
    client.get(1);
    host.command().close();
    host.command().serve("again");
    assert_eq!(client.answer(), "again");
}
