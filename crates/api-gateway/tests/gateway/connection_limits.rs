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
fn idle_clients_make_room_for_new_ones() {
    let host = Peers::start(1);
    // Far fewer than 80 fit: idle ones make room, and none is lost in the backlog.
    let (gateway, _discovery) = gateway_with_few_sockets(&host);
    let mut clients = Vec::new();
    for id in 0..80 {
        let mut client = gateway.client();
        assert_served(&mut client, &host, id, "served");
        clients.push(client);
    }
    assert!(clients[0].ended(), "the one that has been idle longest went first");
}

#[test]
fn callers_that_ask_once_and_stay_make_room_before_all_places_are_taken() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut usual = gateway.client();
    let mut stayed = Vec::new();
    // Descriptors are 256: callers may hold a third for requests, with 160 places in all.
    for id in 0..80 {
        let mut client = gateway.client();
        for (client, id) in [(&mut client, 2 * id), (&mut usual, 2 * id + 1)] {
            assert_served(client, &host, id, "served");
        }
        stayed.push(client);
    }
    assert!(stayed[0].ended(), "the one that has been idle longest went");
}

#[test]
fn connections_that_only_ping_go_before_idle_callers() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_few_sockets(&host);
    let mut usual = gateway.client();
    assert_served(&mut usual, &host, 1, "first");
    let ping = || {
        let mut client = gateway.client();
        client.call(&["PING"]);
        client.answer();
        client
    };
    let mut pings: Vec<Client> = (0..20).map(|_| ping()).collect();
    std::thread::sleep(Duration::from_millis(300));
    pings.extend((0..15).map(|_| ping()));
    assert!(pings[0].ended(), "the oldest made room");
    assert_served(&mut usual, &host, 2, "still here");
}

#[test]
fn silent_connections_go_before_usual_ones_that_are_idle() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_few_sockets(&host);
    let mut usual = gateway.client();
    assert_served(&mut usual, &host, 1, "first");
    let mut silent: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    // Long enough for their first command not to be on its way.
    std::thread::sleep(Duration::from_millis(300));
    silent.extend((0..15).map(|_| gateway.client()));
    let mut last = gateway.client();
    last.call(&["PING"]);
    assert_ne!(last.answer(), "", "by then all before it have had their place");
    assert_served(&mut usual, &host, 2, "still here");
}

#[test]
fn a_first_command_and_the_rest_of_one_are_owed_in_time() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let (mut half, mut later) = (gateway.client(), gateway.client());
    half.write(b"*4\r\n$8\r\nCALL");
    assert_served(&mut later, &host, 1, "served");
    later.write(b"*1\r\n");
    for client in [&mut half, &mut later] {
        let answer = client.answer();
        assert!(answer.starts_with("-ERR "), "{answer:?}");
        assert!(client.ended());
    }
}

#[test]
fn a_client_that_never_spoke_gets_a_plain_end() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    // An error line would pass for the answer to a command that crosses it.
    assert!(gateway.client().ended());
}

#[test]
fn the_end_of_a_client_is_noticed_while_its_pipeline_is_full() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings_with_cancel(), &host);
    let mut client = gateway.client();
    let start = Instant::now();
    for id in 0..17 {
        client.get(id);
    }
    let seen = host.command();
    drop(client);
    host.skip_to_end(seen.conn);
    assert!(start.elapsed() < Duration::from_secs(6), "the aim is 8 s");
}

#[test]
fn fewer_descriptors_than_configured_are_told_and_kept_to() {
    let host = Peers::start(1);
    let discovery = Discovery::start();
    let line = [host_line("s-0", host.addrs[0], "in_service", 0)];
    let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": 1024});
    let nowhere = CLOSED_ADDRESS.parse().unwrap();
    let gateway = Program::within(limits, Some(100), settings(), &line, discovery.addr, nowhere);
    // More of those that say nothing than there are descriptors.
    let silent: Vec<Client> = (0..150).map(|_| gateway.client()).collect();
    let mut usual = gateway.client();
    assert_served(&mut usual, &host, 1, "served");
    drop(silent);
    let log = gateway.log();
    assert!(log.iter().any(|line| line.contains("grants 100 descriptors")), "{log:?}");
    let failed = log.iter().filter(|line| line.contains("accept")).count();
    assert_eq!(failed, 0, "out of descriptors all the same: {log:?}");
}

#[test]
fn clients_that_never_read_do_not_fill_the_memory() {
    let hosts = Peers::start(4);
    let discovery = Discovery::start();
    let line = |(i, addr): (usize, &SocketAddr)| host_line(&format!("s-{i}"), *addr, "in_service", 0);
    let lines: Vec<Value> = hosts.addrs.iter().enumerate().map(line).collect();
    let limits = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    let mut settings = settings();
    settings["tariffs"][0]["refill"] = 1e6.into();
    settings["tariffs"][0]["burst"] = 1e6.into();
    let gateway =
        Program::within(limits, None, settings, &lines, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
    let served = hosts.serve_all("x".repeat(65_000));
    // Before that, requests wait for the list of hosts, and hold their places.
    let mut usual = gateway.client();
    usual.until_ready();
    let deaf: Vec<Client> = (0..32)
        .map(|client| {
            let mut deaf = gateway.deaf_client();
            (0..100).for_each(|call| deaf.get(1000 * client + call));
            deaf
        })
        .collect();
    // Others are served all the while; when they have been, the deaf ones have had their turns too.
    for id in 0..200 {
        usual.get(1_000_000 + id);
        let answer = usual.answer();
        assert!(answer == "-BUSY" || answer.len() == 65_000, "{answer}");
    }
    // At one moment all places may be taken; not for as long as this, far below what ends a deaf connection.
    let is_served = (0..1_000).any(|id| {
        usual.get(2_000_000 + id);
        usual.answer().len() == 65_000
    });
    assert!(is_served, "no place is left for those who read");
    let (peak, sent) = (gateway.peak_memory(), served.load(Ordering::Relaxed));
    assert!(peak < 32 << 20, "{} MB", peak >> 20);
    assert!(sent < 800, "{sent} of 3401 calls were sent to hosts, most of them for nobody");
    drop(deaf);
}

#[test]
fn beyond_the_quota_is_refused_at_once_with_the_advice_that_is_allowed() {
    for (advice, wanted) in [(false, "-BUSY"), (true, "-BUSY 1500")] {
        let mut settings = settings();
        settings["allowed"]["retry-after"] = advice.into();
        settings["allowed"]["max-retry-after"] = 1_500_000_000u64.into();
        settings["tariffs"][0]["refill"] = 0.001.into();
        settings["tariffs"][0]["burst"] = 3.0.into();
        let host = Peers::start(1);
        let (gateway, _discovery) = gateway_with_hosts(settings, &host);
        let mut client = gateway.client();
        assert_served(&mut client, &host, 1, "inside");
        client.get(2);
        assert_eq!(client.answer(), wanted);
        assert_eq!(host.others(), 0);
    }
}
