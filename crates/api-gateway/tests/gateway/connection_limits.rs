//! Limits of client connections: descriptors, silent and idle clients, memory and quotas.

use crate::sockets::*;
use crate::support::{
    assert_served, gateway_with_few_sockets, gateway_with_hosts, settings_with_cancel, CLOSED_ADDRESS,
};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[test]
fn evicts_idle_clients_for_new_ones() {
    let host = Peers::start(1);
    // Far fewer than 80 clients fit: idle connections are closed for new ones, and none is lost in the backlog.
    let (gateway, _discovery) = gateway_with_few_sockets(&host);
    let mut clients = Vec::new();
    for id in 0..80 {
        let mut client = gateway.client();
        assert_served(&mut client, &host, id, "served");
        clients.push(client);
    }
    assert!(clients[0].is_closed(), "the longest idle client was evicted first");
}

#[test]
fn evicts_clients_idle_after_a_request_before_all_connection_slots_are_taken() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut regular = gateway.client();
    let mut idle = Vec::new();
    // Of the 256 descriptors, clients use at most a third for requests; there are 160 connection slots in all.
    for id in 0..80 {
        let mut client = gateway.client();
        for (client, id) in [(&mut client, 2 * id), (&mut regular, 2 * id + 1)] {
            assert_served(client, &host, id, "served");
        }
        idle.push(client);
    }
    assert!(idle[0].is_closed(), "the longest idle client was evicted");
}

#[test]
fn evicts_connections_that_only_ping_before_idle_clients_with_requests() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_few_sockets(&host);
    let mut regular = gateway.client();
    assert_served(&mut regular, &host, 1, "first");
    let ping = || {
        let mut client = gateway.client();
        client.send_command(&["PING"]);
        client.read_answer();
        client
    };
    let mut pings: Vec<Client> = (0..20).map(|_| ping()).collect();
    std::thread::sleep(Duration::from_millis(300));
    pings.extend((0..15).map(|_| ping()));
    assert!(pings[0].is_closed(), "the oldest was evicted");
    assert_served(&mut regular, &host, 2, "still here");
}

#[test]
fn evicts_silent_connections_before_idle_clients_with_requests() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_few_sockets(&host);
    let mut regular = gateway.client();
    assert_served(&mut regular, &host, 1, "first");
    let mut silent: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    // Long enough for the gateway to assume that no first command is in transit.
    std::thread::sleep(Duration::from_millis(300));
    silent.extend((0..15).map(|_| gateway.client()));
    let mut last = gateway.client();
    last.send_command(&["PING"]);
    assert_ne!(last.read_answer(), "", "all earlier connections have been accepted by then");
    assert_served(&mut regular, &host, 2, "still here");
}

#[test]
fn an_incomplete_command_times_out_with_an_error() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let (mut first_command, mut later_command) = (gateway.client(), gateway.client());
    first_command.write(b"*4\r\n$8\r\nCALL");
    assert_served(&mut later_command, &host, 1, "served");
    later_command.write(b"*1\r\n");
    for client in [&mut first_command, &mut later_command] {
        let answer = client.read_answer();
        assert!(answer.starts_with("-ERR "), "{answer:?}");
        assert!(client.is_closed());
    }
}

#[test]
fn a_client_that_sent_nothing_is_closed_without_an_error_line() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    // The client would take an error line for the answer to a command that it has just sent.
    assert!(gateway.client().is_closed());
}

#[test]
fn cancels_the_attempts_of_a_client_that_disconnects_with_a_full_pipeline() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings_with_cancel(), &host);
    let mut client = gateway.client();
    let start = Instant::now();
    for id in 0..17 {
        client.send_get(id);
    }
    let command = host.next_command();
    drop(client);
    host.skip_until_end(command.connection);
    assert!(start.elapsed() < Duration::from_secs(6), "the latency objective is 8 s");
}

#[test]
fn logs_and_respects_a_descriptor_limit_below_the_configured_one() {
    let host = Peers::start(1);
    let discovery = Discovery::start();
    let line = [host_entry("s-0", host.addrs[0], "in_service", 0)];
    let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": 1024});
    let nowhere = CLOSED_ADDRESS.parse().unwrap();
    let gateway = Program::with_limits(limits, Some(100), settings(), &line, discovery.addr, nowhere);
    // More silent clients than there are descriptors.
    let silent: Vec<Client> = (0..150).map(|_| gateway.client()).collect();
    let mut regular = gateway.client();
    assert_served(&mut regular, &host, 1, "served");
    drop(silent);
    let log = gateway.log();
    assert!(log.iter().any(|line| line.contains("grants 100 descriptors")), "{log:?}");
    let failed = log.iter().filter(|line| line.contains("accept")).count();
    assert_eq!(failed, 0, "out of descriptors despite the limit: {log:?}");
}

#[test]
fn clients_that_never_read_stay_within_the_memory_limit() {
    let hosts = Peers::start(4);
    let discovery = Discovery::start();
    let line = |(i, addr): (usize, &SocketAddr)| host_entry(&format!("s-{i}"), *addr, "in_service", 0);
    let lines: Vec<Value> = hosts.addrs.iter().enumerate().map(line).collect();
    let limits = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    let mut settings = settings();
    settings["tariffs"][0]["refill"] = 1e6.into();
    settings["tariffs"][0]["burst"] = 1e6.into();
    let gateway =
        Program::with_limits(limits, None, settings, &lines, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
    let served = hosts.serve_all("x".repeat(65_000));
    // Until the gateway is ready, requests wait for the endpoint list and occupy their slots.
    let mut regular = gateway.client();
    regular.wait_until_ready();
    let non_reading: Vec<Client> = (0..32)
        .map(|number| {
            let mut client = gateway.non_reading_client();
            (0..100).for_each(|request| client.send_get(1000 * number + request));
            client
        })
        .collect();
    // Another client is served meanwhile; afterwards the requests of the non-reading clients have had their turns too.
    for id in 0..200 {
        regular.send_get(1_000_000 + id);
        let answer = regular.read_answer();
        assert!(answer == "-BUSY" || answer.len() == 65_000, "{answer}");
    }
    // All slots may be taken for a moment, but not for this many requests, which take far less time than the limit
    // after which a connection that does not read is closed.
    let is_served = (0..1_000).any(|id| {
        regular.send_get(2_000_000 + id);
        regular.read_answer().len() == 65_000
    });
    assert!(is_served, "no slot is left for clients that read");
    let (peak, sent) = (gateway.peak_memory(), served.load(Ordering::Relaxed));
    assert!(peak < 32 << 20, "{} MB", peak >> 20);
    assert!(
        sent < 800,
        "{sent} of 3401 requests were sent to hosts, most of them for clients that do not read"
    );
    drop(non_reading);
}

#[test]
fn rejects_requests_beyond_the_quota_at_once_with_the_allowed_retry_after() {
    for (retry_after, expected) in [(false, "-BUSY"), (true, "-BUSY 1500")] {
        let mut settings = settings();
        settings["allowed"]["retry-after"] = retry_after.into();
        settings["allowed"]["max-retry-after"] = 1_500_000_000u64.into();
        settings["tariffs"][0]["refill"] = 0.001.into();
        settings["tariffs"][0]["burst"] = 3.0.into();
        let host = Peers::start(1);
        let (gateway, _discovery) = gateway_with_hosts(settings, &host);
        let mut client = gateway.client();
        assert_served(&mut client, &host, 1, "inside");
        client.send_get(2);
        assert_eq!(client.read_answer(), expected);
        assert_eq!(host.count_unread_commands(), 0);
    }
}
