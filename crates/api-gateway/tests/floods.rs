//! Floods of abusive clients against the real program, and idle clients whose connections it closes.
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

/// An address on which nothing listens.
const CLOSED_ADDRESS: &str = "127.0.0.1:9";

/// Starts a gateway with connection slots for 24 clients, of which 16 may have sent requests.
fn small_gateway(host: &Peers) -> (Program, Discovery, Watch) {
    let discovery = Discovery::start();
    let lines = [host_entry("s-0", host.addrs[0], "in_service", 0)];
    let gateway =
        Program::with_sockets(64, settings(), &lines, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
    let mut watch = discovery.accept_watch();
    watch.send_list(&endpoint_list(1, false, &[]));
    gateway.client().wait_until_ready();
    (gateway, discovery, watch)
}

/// Answers all requests with their ids, and returns the ids.
fn serve(hosts: Peers) -> Arc<Mutex<BTreeSet<String>>> {
    let received: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let recorded = received.clone();
    thread::spawn(move || loop {
        let mut command = hosts.next_command();
        let id = command.arguments[2].clone();
        recorded.lock().unwrap().insert(id.clone());
        command.serve_ignoring_errors(&id);
    });
    received
}

fn id_text(id: u64) -> String {
    format!("{id:016x}")
}

/// The program is stopped while the command is sent and the time limit for it expires: when it resumes, its timer
/// expires before it has read any bytes.
#[test]
fn answers_a_first_command_that_is_unread_when_its_time_limit_expires() {
    let host = Peers::start(1);
    let (gateway, _discovery, _watch) = small_gateway(&host);
    serve(host);
    // On a machine too busy for these delays, the test tries again.
    let in_time = (0..5).any(|id| {
        let start = Instant::now();
        let mut client = gateway.client();
        thread::sleep(Duration::from_millis(1_700));
        gateway.pause();
        let in_time = start.elapsed() < Duration::from_millis(1_950);
        if in_time {
            client.send_get(id);
            thread::sleep(Duration::from_millis(2_100).saturating_sub(start.elapsed()));
        }
        gateway.resume();
        assert!(!in_time || client.read_answer() == id_text(id));
        in_time
    });
    assert!(in_time);
}

#[test]
fn a_request_that_crosses_the_eviction_of_its_idle_connection_is_answered_or_not_forwarded() {
    let host = Peers::start(1);
    let (gateway, _discovery, _watch) = small_gateway(&host);
    let received = serve(host);
    let served_client = |id: u64| {
        let mut client = gateway.client();
        client.send_get(id);
        assert_eq!(client.read_answer(), id_text(id));
        client
    };
    let mut idle: Vec<Client> = (0..16).map(served_client).collect();
    // New clients connect while each idle connection has an unread request in the system's buffers.
    gateway.pause();
    let new: Vec<Client> = (0..8).map(|_| gateway.client()).collect();
    (100..).zip(&mut idle).for_each(|(id, client)| client.send_get(id));
    gateway.resume();
    (100..).zip(&mut idle).for_each(|(id, client)| assert_eq!(client.read_answer(), id_text(id)));
    drop(new);
    // All idle connections are evicted, in whatever order they were answered, and their clients send a request when
    // they see the end.
    let _others: Vec<Client> = (200..224).map(served_client).collect();
    for (id, client) in (300..).zip(&mut idle[..8]) {
        assert!(client.is_closed());
        client.write_ignoring_errors(&encode_command(&[
            "CALL.GET",
            CUSTOMER,
            &id_text(id),
            "c=read,t=team,d=8500,units=1,spread=1,first=0",
        ]));
    }
    served_client(400);
    let late: Vec<String> =
        (300..308).map(id_text).filter(|id| received.lock().unwrap().contains(id)).collect();
    assert!(late.is_empty(), "forwarded after the connection was shut down: {late:?}");
}

/// Opens silent connections, and others that send many requests and close at once, until `stop` is set.
fn flood(to: SocketAddr, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    let requests = |first: u64| -> Vec<u8> {
        let list = "c=read,t=team,d=8500,units=1,spread=1,first=0";
        (first..first + 20)
            .flat_map(|id| encode_command(&["CALL.GET", CUSTOMER, &id_text(id), list]))
            .collect()
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
            if let Ok(mut closing) = TcpStream::connect(to) {
                let _ = closing.write_all(&requests(1_000_000 + 20 * number));
            }
            thread::sleep(Duration::from_millis(5));
        }
    })
}

/// Sends requests from one client after the other, each for a different customer, until one is served. The gateway may
/// close a client's connection before it has read the request.
fn until_served(gateway: &Program, customers: &mut std::ops::RangeFrom<u64>, expected: &str) {
    wait_until("a new client to be served", || {
        let id = customers.next().unwrap();
        let list = "c=read,t=team,d=8500,units=1,spread=1,first=0";
        let Ok(mut client) = gateway.try_client() else { return false };
        client.write_ignoring_errors(&encode_command(&["CALL.GET", &id_text(id), &id_text(id), list]));
        client.try_read_answer().is_ok_and(|answer| answer == expected)
    });
}

/// Answers each counter call as the first one of its key.
fn serve_counter(counter: Peers) {
    thread::spawn(move || loop {
        let mut command = counter.next_command();
        let text = command.arguments[2].clone();
        command.write_ignoring_errors(&format!("${}\r\n{text}\r\n", text.len()));
    });
}

/// Clients occupy all descriptors that they may, so the gateway reaches discovery, the counter and hosts only by the
/// descriptors reserved for them.
#[test]
fn a_flood_of_clients_does_not_cut_off_discovery_the_counter_or_hosts() {
    let (first, second, third) = (Peers::start(1), Peers::start(1), Peers::start(1));
    let (counter, other_counter) = (Peers::start(1), Peers::start(1));
    let (counters, discovery, moved) =
        ([counter.addrs[0], other_counter.addrs[0]], Discovery::start(), Discovery::start());
    [counter, other_counter].into_iter().for_each(serve_counter);
    let mut settings = settings();
    settings["domain"]["shared-counter"] = true.into();
    settings["tariffs"][0]["refill"] = 0.001.into();
    let lines = [host_entry("s-1", first.addrs[0], "in_service", 0)];
    let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": 100});
    let mut gateway = Program::with_limits(limits, Some(100), settings, &lines, discovery.addr, counters[0]);
    let mut watch = discovery.accept_watch();
    watch.send_list(&endpoint_list(1, false, &[]));
    gateway.client().wait_until_ready();

    // Discovery closes its watch without a new one, and the host resets the connection of each request.
    watch.close();
    thread::spawn(move || loop {
        first.next_command().close_with_reset();
    });
    let mut non_reading: Vec<Client> = (0..10).map(|_| gateway.non_reading_client()).collect();
    (0..)
        .zip(&mut non_reading)
        .for_each(|(n, client)| (0..16).for_each(|request| client.send_get(16 * n + request)));
    let stop = Arc::new(AtomicBool::new(false));
    let flood_thread = flood(gateway.addr, stop.clone());
    thread::sleep(Duration::from_secs(1));

    // From here on discovery answers all requests.
    let update = endpoint_list(
        2,
        false,
        &[
            host_entry("s-1", first_addr(&lines), "terminated", 0),
            host_entry("s-2", second.addrs[0], "in_service", 0),
        ],
    );
    thread::spawn(move || loop {
        let mut watch = discovery.accept_watch();
        watch.try_send_list(&update);
        std::mem::forget(watch);
    });
    thread::spawn(move || loop {
        second.next_command().serve_ignoring_errors(&"s".repeat(60_000));
    });
    let mut customers = 1..;
    until_served(&gateway, &mut customers, &"s".repeat(60_000));
    let complete_list = endpoint_list(1, true, &[host_entry("s-3", third.addrs[0], "in_service", 0)]);
    thread::spawn(move || loop {
        third.next_command().serve_ignoring_errors("third");
    });
    gateway.reload(moved.addr, counters[1]);
    moved.next_request().respond(&complete_list);
    until_served(&gateway, &mut customers, "third");

    stop.store(true, Ordering::Relaxed);
    flood_thread.join().unwrap();
    let accept_failures: Vec<String> = gateway
        .log()
        .into_iter()
        .filter(|line| line.contains("accept") || line.contains("os error 24"))
        .collect();
    assert!(accept_failures.is_empty(), "out of descriptors: {accept_failures:?}");
    drop(non_reading);
    let own_port = gateway.addr.port();
    wait_until("all connections to be closed", || {
        gateway.count_connections(|local, _| local == own_port) == 0
    });
}

fn first_addr(lines: &[Value]) -> SocketAddr {
    lines[0]["hostPort"].as_str().unwrap().parse().unwrap()
}
