//! Clients of the real program that come in numbers and mean no good, or rest until they are ended.
#[expect(dead_code, reason = "other tests use the rest")]
mod sockets;

use serde_json::{json, Value};
use sockets::*;
use std::collections::{BTreeSet, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Where nobody listens.
const NOWHERE: &str = "127.0.0.1:9";

/// A gateway with places for 24 clients, of whom 16 may have called.
fn narrow(host: &Peers) -> (Program, Discovery, Watch) {
    let discovery = Discovery::start();
    let lines = [host_line("s-0", host.addrs[0], "in_service", 0)];
    let gateway = Program::with_sockets(64, settings(), &lines, discovery.addr, NOWHERE.parse().unwrap());
    let mut watch = discovery.watch();
    watch.tell(&list(1, false, &[]));
    gateway.client().until_ready();
    (gateway, discovery, watch)
}

/// Serves all that comes with its id, and notes the ids.
fn serve(hosts: Peers) -> Arc<Mutex<BTreeSet<String>>> {
    let received: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let noted = received.clone();
    thread::spawn(move || loop {
        let mut seen = hosts.command();
        let name = seen.words[2].clone();
        noted.lock().unwrap().insert(name.clone());
        seen.serve_late(&name);
    });
    received
}

fn name(id: u64) -> String {
    format!("{id:016x}")
}

/// The program stands still as the command is sent and the time for it ends: when it goes on, its timers are due before
/// it has been told of any bytes.
#[test]
fn a_first_command_that_lies_unread_as_it_is_overdue_is_answered() {
    let host = Peers::start(1);
    let (gateway, _discovery, _watch) = narrow(&host);
    serve(host);
    // A machine too busy to be in time tells nothing: then once more.
    let in_time = (0..5).any(|id| {
        let start = Instant::now();
        let mut client = gateway.client();
        thread::sleep(Duration::from_millis(1_700));
        gateway.freeze();
        let in_time = start.elapsed() < Duration::from_millis(1_950);
        if in_time {
            client.get(id);
            thread::sleep(Duration::from_millis(2_100).saturating_sub(start.elapsed()));
        }
        gateway.thaw();
        assert!(!in_time || client.answer() == name(id));
        in_time
    });
    assert!(in_time);
}

#[test]
fn a_request_that_meets_the_end_of_a_resting_connection_is_answered_or_never_sent_on() {
    let host = Peers::start(1);
    let (gateway, _discovery, _watch) = narrow(&host);
    let received = serve(host);
    let caller = |id: u64| {
        let mut client = gateway.client();
        client.get(id);
        assert_eq!(client.answer(), name(id));
        client
    };
    let mut resting: Vec<Client> = (0..16).map(caller).collect();
    // New ones want room as each that rests has a request with the system.
    gateway.freeze();
    let new: Vec<Client> = (0..8).map(|_| gateway.client()).collect();
    (100..).zip(&mut resting).for_each(|(id, client)| client.get(id));
    gateway.thaw();
    (100..).zip(&mut resting).for_each(|(id, client)| assert_eq!(client.answer(), name(id)));
    drop(new);
    // All that rest make room, in whatever order they were answered, and send a request as they see their end.
    let _others: Vec<Client> = (200..224).map(caller).collect();
    for (id, client) in (300..).zip(&mut resting[..8]) {
        assert!(client.ended());
        client.write_late(&command(&[
            "CALL.GET",
            CUSTOMER,
            &name(id),
            "c=read,t=team,d=8500,units=1,spread=1,first=0",
        ]));
    }
    caller(400);
    let late: Vec<String> = (300..308).map(name).filter(|id| received.lock().unwrap().contains(id)).collect();
    assert!(late.is_empty(), "sent on after the shutdown: {late:?}");
}

/// Opens connections that say nothing, and others that send much and go, until it is told to stop.
fn flood(to: SocketAddr, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    let calls = |first: u64| -> Vec<u8> {
        let list = "c=read,t=team,d=8500,units=1,spread=1,first=0";
        (first..first + 20).flat_map(|id| command(&["CALL.GET", CUSTOMER, &name(id), list])).collect()
    };
    thread::spawn(move || {
        let mut silent = VecDeque::new();
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            silent.extend(TcpStream::connect(to));
            if silent.len() > 150 {
                silent.pop_front();
            }
            if let Ok(mut hasty) = TcpStream::connect(to) {
                let _ = hasty.write_all(&calls(1_000_000 + 20 * number));
            }
            thread::sleep(Duration::from_millis(5));
        }
    })
}

/// One client after the other asks, each for a customer of its own, until one is served: its connection may be shut unread.
fn until_served(gateway: &Program, customers: &mut std::ops::RangeFrom<u64>, wanted: &str) {
    until("a new client to be served", || {
        let id = customers.next().unwrap();
        let list = "c=read,t=team,d=8500,units=1,spread=1,first=0";
        let Ok(mut client) = gateway.try_client() else { return false };
        client.write_late(&command(&["CALL.GET", &name(id), &name(id), list]));
        client.try_answer().is_ok_and(|answer| answer == wanted)
    });
}

/// Answers each call of a counter as the first of its name.
fn count(counter: Peers) {
    thread::spawn(move || loop {
        let mut seen = counter.command();
        let text = seen.words[2].clone();
        seen.write_late(&format!("${}\r\n{text}\r\n", text.len()));
    });
}

/// Clients hold all that they may; so discovery, the counter and hosts are reached with what is kept for them.
#[test]
fn a_flood_of_clients_keeps_no_discovery_counter_or_host_away() {
    let (first, second, third) = (Peers::start(1), Peers::start(1), Peers::start(1));
    let (counter, other_counter) = (Peers::start(1), Peers::start(1));
    let (counters, discovery, moved) =
        ([counter.addrs[0], other_counter.addrs[0]], Discovery::start(), Discovery::start());
    [counter, other_counter].into_iter().for_each(count);
    let mut settings = settings();
    settings["domain"]["shared-counter"] = true.into();
    settings["tariffs"][0]["refill"] = 0.001.into();
    let lines = [host_line("s-1", first.addrs[0], "in_service", 0)];
    let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": 100});
    let mut gateway = Program::within(limits, Some(100), settings, &lines, discovery.addr, counters[0]);
    let mut watch = discovery.watch();
    watch.tell(&list(1, false, &[]));
    gateway.client().until_ready();

    // Discovery is away and the host breaks off each connection under its request.
    watch.close();
    thread::spawn(move || loop {
        first.command().break_off();
    });
    let mut deaf: Vec<Client> = (0..10).map(|_| gateway.deaf_client()).collect();
    (0..).zip(&mut deaf).for_each(|(n, deaf)| (0..16).for_each(|call| deaf.get(16 * n + call)));
    let stop = Arc::new(AtomicBool::new(false));
    let flooding = flood(gateway.addr, stop.clone());
    thread::sleep(Duration::from_secs(1));

    // It is back, and answers whatever it is asked from now on.
    let news = list(
        2,
        false,
        &[
            host_line("s-1", first_addr(&lines), "terminated", 0),
            host_line("s-2", second.addrs[0], "in_service", 0),
        ],
    );
    thread::spawn(move || loop {
        let mut watch = discovery.watch();
        watch.try_tell(&news);
        std::mem::forget(watch);
    });
    thread::spawn(move || loop {
        second.command().serve_late(&"s".repeat(60_000));
    });
    let mut customers = 1..;
    until_served(&gateway, &mut customers, &"s".repeat(60_000));
    let whole = list(1, true, &[host_line("s-3", third.addrs[0], "in_service", 0)]);
    thread::spawn(move || loop {
        third.command().serve_late("third");
    });
    gateway.reload(moved.addr, counters[1]);
    moved.asked().answer(&whole);
    until_served(&gateway, &mut customers, "third");

    stop.store(true, Ordering::Relaxed);
    flooding.join().unwrap();
    let failed: Vec<String> = gateway
        .log()
        .into_iter()
        .filter(|line| line.contains("accept") || line.contains("os error 24"))
        .collect();
    assert!(failed.is_empty(), "out of descriptors: {failed:?}");
    drop(deaf);
    let own = gateway.addr.port();
    until("all connections to be given back", || gateway.connections(|at, _| at == own) == 0);
}

fn first_addr(lines: &[Value]) -> SocketAddr {
    lines[0]["hostPort"].as_str().unwrap().parse().unwrap()
}
