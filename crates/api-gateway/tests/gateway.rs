//! The real gateway between a client, hosts and discovery: one test for each row of the protocol's table
//! and for each thing that may go wrong on a socket.
#[allow(dead_code)]
mod sockets;

use serde_json::{json, Value};
use sockets::*;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Where nobody listens.
const NOWHERE: &str = "127.0.0.1:9";

/// A gateway before hosts that are in service, with discovery at hand. It is ready, as it is before any front sends it
/// a request: discovery says nothing, so the list known before the start is used after a second.
fn before(settings: Value, hosts: &Peers) -> (Program, Discovery) {
    let discovery = Discovery::start();
    let line = |(i, addr): (usize, &SocketAddr)| host_line(&format!("s-{i}"), *addr, "in_service", 0);
    let lines: Vec<Value> = hosts.addrs.iter().enumerate().map(line).collect();
    let gateway = Program::start(settings, &lines, discovery.addr, NOWHERE.parse().unwrap());
    if !lines.is_empty() {
        gateway.client().until_ready();
    }
    (gateway, discovery)
}

/// Where attempts may be withdrawn.
fn with_cancel() -> Value {
    let mut settings = settings();
    settings["allowed"]["cancel"] = true.into();
    settings
}

/// A gateway before one host, with places for 24 clients.
fn narrow(host: &Peers) -> (Program, Discovery) {
    let discovery = Discovery::start();
    let line = [host_line("s-0", host.addrs[0], "in_service", 0)];
    let gateway = Program::with_sockets(64, settings(), &line, discovery.addr, NOWHERE.parse().unwrap());
    (gateway, discovery)
}

/// A call that the host serves with this value.
fn served(client: &mut Client, host: &Peers, id: u64, value: &str) {
    client.get(id);
    host.command().serve(value);
    assert_eq!(client.answer(), value);
}

/// Lets the connections to hosts rest after their last answer, so that they are used again: for longer does no harm.
fn rest() {
    std::thread::sleep(Duration::from_millis(26));
}

fn field<'a>(list: &'a str, name: &str) -> &'a str {
    list.split(',').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).unwrap().1
}

#[test]
fn a_call_goes_on_unchanged_but_for_its_time() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings(), &host);
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

    rest();
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
    let (gateway, _discovery) = before(settings(), &host);
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
    let (gateway, _discovery) = before(settings(), &hosts);
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
    let gateway = Program::start(settings(), &lines, discovery.addr, NOWHERE.parse().unwrap());
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
    let (gateway, _discovery) = before(settings(), &hosts);
    let mut client = gateway.client();
    client.post(1, "body");
    hosts.command().write("-ERR failed\r\n");
    assert_eq!(client.answer(), "-ERR failed");
    assert_eq!(hosts.others(), 0);
}

#[test]
fn a_break_after_the_last_byte_may_have_run_so_an_unsafe_call_fails() {
    let hosts = Peers::start(2);
    let (gateway, _discovery) = before(settings(), &hosts);
    let mut client = gateway.client();
    client.post(1, "body");
    hosts.command().close();
    assert_eq!(client.answer(), "-ERR failed");
    assert_eq!(hosts.others(), 0);
}

#[test]
fn the_log_says_why_a_request_failed_and_how_its_attempts_went() {
    let hosts = Peers::start(1);
    let (gateway, _discovery) = before(settings(), &hosts);
    let mut client = gateway.client();
    client.post(7, "body");
    hosts.command().serve("served");
    assert_eq!(client.answer(), "served");
    rest();
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
    let (gateway, _discovery) = before(settings(), &hosts);
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
    let (gateway, _discovery) = before(settings(), &hosts);
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
    let (gateway, _discovery) = before(settings, &host);
    let mut client = gateway.client();
    client.post(1, "body");
    let mut seen = host.command();
    assert_eq!(client.answer(), "-ERR failed");
    host.end(seen.conn);
    // An answer that comes after all finds nobody, and the next call gets its own.
    seen.write_late("*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n");
    served(&mut client, &host, 2, "own");
}

#[test]
fn a_host_silent_through_a_time_out_keeps_no_idle_connections() {
    let mut settings = settings();
    settings["services"][1]["aim"] = 2_000_000_000u64.into();
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings, &host);
    let (mut client, mut other) = (gateway.client(), gateway.client());
    client.get(1);
    let mut first = host.command();
    other.get(2);
    let mut second = host.command();
    first.serve("one");
    assert_eq!(client.answer(), "one");
    second.serve("two");
    assert_eq!(other.answer(), "two");
    rest();
    client.post(3, "body");
    assert_eq!(host.command().conn, second.conn, "the newest idle one is used");
    assert_eq!(client.answer(), "-ERR failed");
    host.end(first.conn);
}

#[test]
fn a_safe_call_is_repeated_after_a_break() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings(), &host);
    let mut client = gateway.client();
    client.get(1);
    host.command().close();
    host.command().serve("again");
    assert_eq!(client.answer(), "again");
}

// Clients

#[test]
fn answers_come_in_the_order_of_the_commands() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings(), &host);
    let mut client = gateway.client();
    client.get(1);
    let mut first = host.command();
    client.get(2);
    let mut second = host.command();
    assert_ne!(first.conn, second.conn, "one request at a time on a connection");
    client.call(&["PING"]);
    second.serve("two");
    first.serve("one");
    assert_eq!(client.answer(), "one");
    assert_eq!(client.answer(), "two");
    assert!(["+PONG", "-ERR starting"].contains(&client.answer().as_str()));
}

#[test]
fn a_client_that_goes_takes_its_attempt_along() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(with_cancel(), &host);
    let mut client = gateway.client();
    let start = Instant::now();
    client.post(1, "body");
    let seen = host.command();
    drop(client);
    host.end(seen.conn);
    assert!(start.elapsed() < Duration::from_secs(6), "the aim is 8 s");
}

#[test]
fn what_is_no_call_gets_an_error_and_the_connection_stays() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings(), &host);
    let mut client = gateway.client();
    let id = "0000000000000001";
    let good = "c=read,t=team,d=100,units=1,spread=1,first=0";
    for words in [
        &["NOPE"][..],
        &["CALL.GET", CUSTOMER, id],
        &["CALL.GET", "zz", id, good],
        &["CALL.GET", "ffffffffffffffff", id, good],
        &["CALL.GET", CUSTOMER, "1", good],
        &["CALL.GET", CUSTOMER, id, "c=none,t=team,d=100"],
        &["CALL.GET", CUSTOMER, id, "c=read,t=none,d=100"],
        &["CALL.GET", CUSTOMER, id, "c=read,t=team"],
        &["CALL.GET", CUSTOMER, id, "c=read,t=team,d=-4"],
        &["CALL.GET", CUSTOMER, id, "c=order,t=team,d=100,units=1,spread=1,first=0"],
        &["CALL.POST", CUSTOMER, id, good, "body"],
    ] {
        client.call(words);
        let answer = client.answer();
        assert!(answer.starts_with("-ERR "), "{words:?}: {answer}");
    }
    served(&mut client, &host, 2, "still here");
}

#[test]
fn what_the_settings_cannot_mean_reaches_no_host() {
    let host = Peers::start(1);
    let mut settings = settings();
    settings["domain"]["units-top"] = 6.0.into();
    let (gateway, _discovery) = before(settings, &host);
    let mut client = gateway.client();
    let good = ["c=read", "t=team", "d=100", "units=1", "spread=1", "first=0"];
    for bad in [
        "d=0",
        "d=9001",
        "d=x",
        "d=+9",
        "d=4294967295",
        "units=0",
        "units=7",
        "units=1e300",
        "units=nan",
        "units=-1",
        "units=inf",
        "units=",
        "spread=0",
        "spread=2",
        "spread=99999999999",
        "spread=1.0",
        "first=1",
        "first=-1",
        "first=x",
        "r=2",
        "k=\n",
        "nothing",
    ] {
        let name = bad.split('=').next().unwrap();
        let mut list: Vec<&str> =
            good.into_iter().filter(|pair| pair.split('=').next() != Some(name)).collect();
        list.push(bad);
        client.call(&["CALL.GET", CUSTOMER, "0000000000000001", &list.join(",")]);
        let answer = client.answer();
        assert!(answer.starts_with("-ERR "), "{bad:?}: {answer}");
    }
    for missing_or_twice in ["c=read,t=team,d=100", "c=read,t=team,d=100,d=100,units=1,spread=1,first=0"] {
        client.call(&["CALL.GET", CUSTOMER, "0000000000000001", missing_or_twice]);
        assert!(client.answer().starts_with("-ERR "), "{missing_or_twice:?}");
    }
    assert_eq!(host.others(), 0);
}

#[test]
fn the_id_of_an_open_request_is_refused_to_others() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings(), &host);
    let (mut client, mut other) = (gateway.client(), gateway.client());
    client.get(1);
    let mut seen = host.command();
    other.get(1);
    assert!(other.answer().starts_with("-ERR "));
    seen.serve("own");
    assert_eq!(client.answer(), "own");
    served(&mut other, &host, 1, "over");
}

#[test]
fn malformed_or_oversized_input_gets_an_error_and_ends() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings(), &host);
    let nested = "*1\r\n".repeat(20_000);
    for bytes in
        ["GET / HTTP/1.1\r\n\r\n", "*1\r\n$70000\r\n", "*9999\r\n", "*-7\r\n", "*1\r\n$1\r\nabc", &nested]
    {
        let mut client = gateway.client();
        client.write(bytes.as_bytes());
        let answer = client.answer();
        assert!(answer.starts_with("-ERR "), "{answer}");
        assert!(client.ended(), "after {:?}", &bytes[..8]);
    }
}

#[test]
fn malformed_input_behind_calls_gets_one_error_after_what_was_owed() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings(), &host);
    // Each with more behind it, of which nothing is taken.
    for (n, malformed) in (0..).zip(["GET / HTTP/1.1\r\n\r\n", "*1\r\n$70000\r\n", "*-7\r\n", ":1\r\n"]) {
        let (mut client, mut other) = (gateway.client(), gateway.client());
        client.get(2 * n);
        let mut owed = host.command();
        client.get(2 * n + 1);
        let mut second = host.command();
        client.write(malformed.as_bytes());
        client.call(&["PING"]);
        client.post(99, "never taken");
        // The end of the first is held back until the malformed one has been read: another client's call comes later.
        served(&mut other, &host, 1_000 + n, "others go on");
        second.serve("second");
        owed.serve("first");
        assert_eq!((client.answer(), client.answer()), ("first".into(), "second".into()), "{malformed:?}");
        let error = client.answer();
        assert!(error.starts_with("-ERR protocol error: "), "{malformed:?}: {error}");
        assert!(client.ended(), "{malformed:?}");
        assert_eq!(host.others(), 0);
    }
}

#[test]
fn idle_clients_make_room_for_new_ones() {
    let host = Peers::start(1);
    // Far fewer than 80 fit: idle ones make room, and none is lost in the backlog.
    let (gateway, _discovery) = narrow(&host);
    let mut clients = Vec::new();
    for id in 0..80 {
        let mut client = gateway.client();
        served(&mut client, &host, id, "served");
        clients.push(client);
    }
    assert!(clients[0].ended(), "the one that has been idle longest went first");
}

#[test]
fn callers_that_ask_once_and_stay_make_room_before_all_places_are_taken() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings(), &host);
    let mut usual = gateway.client();
    let mut stayed = Vec::new();
    // Descriptors are 256: callers may hold a third for requests, with 160 places in all.
    for id in 0..80 {
        let mut client = gateway.client();
        for (client, id) in [(&mut client, 2 * id), (&mut usual, 2 * id + 1)] {
            served(client, &host, id, "served");
        }
        stayed.push(client);
    }
    assert!(stayed[0].ended(), "the one that has been idle longest went");
}

#[test]
fn connections_that_only_ping_go_before_idle_callers() {
    let host = Peers::start(1);
    let (gateway, _discovery) = narrow(&host);
    let mut usual = gateway.client();
    served(&mut usual, &host, 1, "first");
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
    served(&mut usual, &host, 2, "still here");
}

#[test]
fn silent_connections_go_before_usual_ones_that_are_idle() {
    let host = Peers::start(1);
    let (gateway, _discovery) = narrow(&host);
    let mut usual = gateway.client();
    served(&mut usual, &host, 1, "first");
    let mut silent: Vec<Client> = (0..20).map(|_| gateway.client()).collect();
    // Long enough for their first command not to be on its way.
    std::thread::sleep(Duration::from_millis(300));
    silent.extend((0..15).map(|_| gateway.client()));
    let mut last = gateway.client();
    last.call(&["PING"]);
    assert_ne!(last.answer(), "", "by then all before it have had their place");
    served(&mut usual, &host, 2, "still here");
}

#[test]
fn a_first_command_and_the_rest_of_one_are_owed_in_time() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings(), &host);
    let (mut half, mut later) = (gateway.client(), gateway.client());
    half.write(b"*4\r\n$8\r\nCALL");
    served(&mut later, &host, 1, "served");
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
    let (gateway, _discovery) = before(settings(), &host);
    // An error line would pass for the answer to a command that crosses it.
    assert!(gateway.client().ended());
}

#[test]
fn the_end_of_a_client_is_noticed_while_its_pipeline_is_full() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(with_cancel(), &host);
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
    let nowhere = NOWHERE.parse().unwrap();
    let gateway = Program::within(limits, Some(100), settings(), &line, discovery.addr, nowhere);
    // More of those that say nothing than there are descriptors.
    let silent: Vec<Client> = (0..150).map(|_| gateway.client()).collect();
    let mut usual = gateway.client();
    served(&mut usual, &host, 1, "served");
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
    let gateway = Program::within(limits, None, settings, &lines, discovery.addr, NOWHERE.parse().unwrap());
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
        let (gateway, _discovery) = before(settings, &host);
        let mut client = gateway.client();
        served(&mut client, &host, 1, "inside");
        client.get(2);
        assert_eq!(client.answer(), wanted);
        assert_eq!(host.others(), 0);
    }
}

// Hosts that come and go

#[test]
fn an_attempt_that_waits_for_its_connection_does_not_start_after_the_drain() {
    // Nothing is accepted and the backlog is full, so the connection stays on its way.
    let (stuck, _listener, _full) = full_backlog();
    let host = Peers::start(1);
    let discovery = Discovery::start();
    let mut settings = settings();
    settings["allowed"]["dial-timeout"] = 60_000_000_000u64.into();
    let line = [host_line("s-0", stuck, "in_service", 0)];
    let gateway = Program::start(settings, &line, discovery.addr, NOWHERE.parse().unwrap());
    let (mut client, mut other) = (gateway.client(), gateway.client());
    let mut watch = discovery.watch();
    client.post(1, "body");
    other.call(&["PING"]);
    other.answer();
    let drained = host_line("s-0", stuck, "terminating", 0);
    let fresh = host_line("s-1", host.addrs[0], "in_service", 0);
    watch.tell(&list(2, false, &[fresh, drained]));
    host.command().serve("elsewhere");
    assert_eq!(client.answer(), "elsewhere");
}

#[test]
fn an_attempt_that_waits_for_its_connection_does_not_start_after_its_client_left() {
    let (stuck, listener, full) = full_backlog();
    let discovery = Discovery::start();
    let mut settings = settings();
    settings["allowed"]["dial-timeout"] = 60_000_000_000u64.into();
    let line = [host_line("s-0", stuck, "in_service", 0)];
    let gateway = Program::start(settings, &line, discovery.addr, NOWHERE.parse().unwrap());
    let (mut leaver, mut stayer) = (gateway.client(), gateway.client());
    leaver.post(1, "of one who left");
    leaver.leave();
    stayer.post(2, "of one who stays");
    drop(full);
    let host = Peers::behind(listener.into());
    let mut seen = host.command();
    assert_eq!(seen.words[4], "of one who stays");
    seen.serve("served");
    assert_eq!(stayer.answer(), "served");
    assert_eq!(host.others(), 0);
}

#[test]
fn a_host_that_started_anew_gets_a_new_connection() {
    let host = Peers::start(1);
    let (gateway, discovery) = before(settings(), &host);
    let mut client = gateway.client();
    client.get(1);
    let mut seen = host.command();
    seen.serve("old");
    assert_eq!(client.answer(), "old");
    let mut watch = discovery.watch();
    watch.tell(&list(2, false, &[host_line("s-0", host.addrs[0], "in_service", 1_000)]));
    host.end(seen.conn);
    client.get(2);
    let mut seen = host.command();
    assert_eq!(seen.conn, (0, 1));
    seen.serve("new");
    assert_eq!(client.answer(), "new");
}

#[test]
fn in_flight_work_finishes_on_a_host_that_drains() {
    let host = Peers::start(1);
    let (gateway, discovery) = before(settings(), &host);
    let (mut client, mut other) = (gateway.client(), gateway.client());
    client.post(1, "body");
    let mut seen = host.command();
    other.get(2);
    let mut idle = host.command();
    idle.serve("idle");
    assert_eq!(other.answer(), "idle");
    let mut watch = discovery.watch();
    watch.tell(&list(2, false, &[host_line("s-0", host.addrs[0], "terminated", 0)]));
    host.end(idle.conn);
    seen.serve("finished");
    assert_eq!(client.answer(), "finished");
    host.end(seen.conn);
}

#[test]
fn idle_connections_are_retired_before_the_host_would_close_them() {
    let mut settings = settings();
    settings["allowed"]["conn-idle"] = 2_000_000_000u64.into();
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings, &host);
    let mut client = gateway.client();
    client.get(1);
    let mut seen = host.command();
    let idle = Instant::now();
    seen.serve("served");
    assert_eq!(client.answer(), "served");
    host.end(seen.conn);
    assert!(idle.elapsed().as_millis() >= 900, "not at once: it may be used again");
}

#[test]
fn where_kept_connections_turn_out_dead_they_are_kept_for_less_long() {
    let host = Peers::start(1);
    let (gateway, _discovery) = before(settings(), &host);
    let mut client = gateway.client();
    // A kept connection breaks at once under its next request; on a machine too busy for that, once more.
    let learnt = (0..20).any(|round| {
        client.get(3 * round);
        let mut seen = host.command();
        seen.serve("first");
        assert_eq!(client.answer(), "first");
        std::thread::sleep(Duration::from_millis(400));
        client.get(3 * round + 1);
        host.command().close();
        let mut again = host.command();
        again.serve("again");
        assert_eq!(client.answer(), "again");
        std::thread::sleep(Duration::from_millis(400));
        client.get(3 * round + 2);
        let mut last = host.command();
        last.serve("last");
        assert_eq!(client.answer(), "last");
        last.conn != again.conn
    });
    assert!(learnt, "as long as before");
}

// Discovery

#[test]
fn a_watch_that_ends_is_resumed_after_the_last_version_and_the_list_kept() {
    let host = Peers::start(1);
    let (gateway, discovery) = before(settings(), &Peers::start(0));
    let mut watch = discovery.watch();
    assert!(watch.path.starts_with("GET /registry/instances?watch=1&after=1 "), "{}", watch.path);
    watch.tell(&list(41, true, &[host_line("s-0", host.addrs[0], "in_service", 0)]));
    let mut client = gateway.client();
    client.until_ready();
    watch.close();
    let watch = discovery.watch();
    assert!(watch.path.contains("after=41 "), "{}", watch.path);
    served(&mut client, &host, 1, "kept");
}

#[test]
fn half_a_list_that_a_reset_cuts_short_is_none_and_its_drain_counts_once_it_is_told_whole() {
    let (head, chunked) = ("HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n");
    let forms = ["in a chunk of its own", "in half a chunk", "without a length", "with a length"];
    // On a watch, or in place of the whole list that is asked for where discovery has moved.
    for (form, moves) in forms.into_iter().flat_map(|form| [(form, false), (form, true)]) {
        let (hosts, new) = (Peers::start(3), Discovery::start());
        let line = |n: usize, state: &str| host_line(&format!("s-{n}"), hosts.addrs[n], state, 0);
        let (known, discovery) = ([line(0, "in_service"), line(1, "in_service")], Discovery::start());
        let mut gateway = Program::start(settings(), &known, discovery.addr, NOWHERE.parse().unwrap());
        let (agent, question) = if moves {
            gateway.client().until_ready();
            gateway.reload(new.addr, NOWHERE.parse().unwrap());
            (&new, "GET /registry/instances ")
        } else {
            (&discovery, "GET /registry/instances?watch=1&after=1 ")
        };
        let asked = || {
            let watch = agent.asked();
            assert!(watch.path.starts_with(question), "{form}: {}", watch.path);
            watch
        };
        let all = [line(0, "terminating"), line(1, "in_service"), line(2, "in_service")];
        let whole = list(2, true, &all).to_string();
        // It holds the whole entry of the host that drains.
        let (half, length) = (&whole[..whole.find("},").unwrap() + 1], whole.len());
        let mut cut = asked();
        cut.say(&match form {
            "in a chunk of its own" => format!("{head}{chunked}{:x}\r\n{half}\r\n", half.len()),
            "in half a chunk" => format!("{head}{chunked}{length:x}\r\n{half}"),
            "with a length" => format!("{head}Content-Length: {length}\r\n\r\n{half}"),
            _ => format!("{head}\r\n{half}"),
        });
        cut.reset();
        // The same is asked for again: by then it has been taken in.
        let next = asked();
        let (mut client, mut ids) = (gateway.client(), 0..);
        let mut call = || {
            client.get(ids.next().unwrap());
            let mut seen = hosts.command();
            seen.serve("served");
            assert_eq!(client.answer(), "served");
            seen.conn.0
        };
        assert!((0..200).any(|_| call() == 0), "{form}: half a list was taken for one");
        next.reset();
        asked().say(&format!("{head}{chunked}{length:x}\r\n{whole}\r\n"));
        assert!((0..200).any(|_| call() == 2), "{form}: the list that was told whole does not count");
        assert!((0..20).all(|_| call() != 0), "{form}: a call to the host that drains");
    }
}

#[test]
fn a_silent_watch_is_replaced() {
    let (_gateway, discovery) = before(settings(), &Peers::start(0));
    let _silent = discovery.watch();
    let start = Instant::now();
    let _next = discovery.watch();
    let _after_that = discovery.watch();
    // News counts as told 6 s after it was due: no two silences in a row may take as long.
    assert!(start.elapsed() < Duration::from_secs(8), "two watches took {:?}", start.elapsed());
}

#[test]
fn an_entry_that_cannot_be_read_leaves_the_others() {
    let host = Peers::start(1);
    let (gateway, discovery) = before(settings(), &Peers::start(0));
    let mut watch = discovery.watch();
    let mut bad = host_line("s-1", host.addrs[0], "in_service", 0);
    bad["hostPort"] = "nowhere".into();
    watch.tell(&list(2, true, &[bad, host_line("s-0", host.addrs[0], "in_service", 0)]));
    let mut client = gateway.client();
    client.until_ready();
    served(&mut client, &host, 1, "served");
}

#[test]
fn a_host_that_drains_gets_nothing_new_whatever_else_its_entry_holds() {
    for field in ["hostPort", "weight", "startedAtMs", "zone"] {
        let hosts = Peers::start(2);
        let discovery = Discovery::start();
        let line = [host_line("s-0", hosts.addrs[0], "in_service", 0)];
        let gateway = Program::start(settings(), &line, discovery.addr, NOWHERE.parse().unwrap());
        let mut watch = discovery.watch();
        let mut draining = host_line("s-0", hosts.addrs[0], "terminating", 0);
        draining[field] = json!({"no": "such thing"});
        watch.tell(&list(3, false, &[host_line("s-1", hosts.addrs[1], "in_service", 0), draining]));
        let mut client = gateway.client();
        let mut ids = 0..;
        let mut call = || {
            client.get(ids.next().unwrap());
            let mut seen = hosts.command();
            seen.serve("served");
            assert_eq!(client.answer(), "served");
            seen.conn.0
        };
        // The other host is told of in the same message: from its first call on the news has been taken in.
        while call() == 0 {}
        for _ in 0..8 {
            assert_eq!(call(), 1, "a call to the host that drains, with a bad {field}");
        }
    }
}

#[test]
fn discovery_that_is_away_is_told_once_with_its_address() {
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let host = Peers::start(1);
    let line = [host_line("s-0", host.addrs[0], "in_service", 0)];
    let mut gateway = Program::start(settings(), &line, gone, NOWHERE.parse().unwrap());
    let mut client = gateway.client();
    // Ready after a second without news: by then discovery has been asked some eight times.
    client.until_ready();
    gateway.terminate();
    gateway.exit();
    let log = gateway.log();
    let told: Vec<&String> = log.iter().filter(|line| line.contains("discovery")).collect();
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(told[0].contains(&gone.to_string()), "{told:?}");
}

// New configurations

#[test]
fn sighup_moves_discovery_and_asks_there_for_the_whole_list() {
    let (old, new) = (Peers::start(1), Peers::start(1));
    let (mut gateway, _discovery) = before(settings(), &old);
    let mut client = gateway.client();
    for text in ["", "{\"name\": 3}"] {
        gateway.reload_text(text);
        served(&mut client, &old, 1, "a bad file changes nothing");
    }
    let moved = Discovery::start();
    gateway.reload(moved.addr, NOWHERE.parse().unwrap());
    let asked = moved.asked();
    assert!(asked.path.starts_with("GET /registry/instances "), "{}", asked.path);
    served(&mut client, &old, 2, "the last list stays until then");
    // A version lower than that of the old address is no reason to doubt it.
    asked.answer(&list(0, true, &[host_line("s-9", new.addrs[0], "in_service", 0)]));
    let watch = moved.watch();
    assert!(watch.path.contains("watch=1&after=0 "), "{}", watch.path);
    served(&mut client, &new, 3, "from the new list");
}

#[test]
fn sighup_several_times_and_while_stopping_is_no_crash() {
    let host = Peers::start(1);
    let (mut gateway, _discovery) = before(settings(), &host);
    let mut client = gateway.client();
    client.post(1, "body");
    let mut seen = host.command();
    let agents: Vec<Discovery> = (0..3).map(|_| Discovery::start()).collect();
    for agent in &agents {
        gateway.reload(agent.addr, agent.addr);
    }
    agents[2].asked();
    gateway.terminate();
    gateway.reload(agents[0].addr, agents[0].addr);
    seen.serve("served");
    assert_eq!(client.answer(), "served");
    assert!(gateway.exit().success());
}

// Start and stop

#[test]
fn after_sigterm_all_that_was_taken_is_answered() {
    let host = Peers::start(1);
    let (mut gateway, _discovery) = before(settings(), &host);
    let (mut client, mut idle) = (gateway.client(), gateway.client());
    idle.call(&["PING"]);
    idle.answer();
    client.post(1, "body");
    let mut seen = host.command();
    gateway.terminate();
    assert!(idle.ended(), "a connection between requests closes");
    seen.serve("served");
    assert_eq!(client.answer(), "served");
    assert!(client.ended());
    assert!(gateway.exit().success());
}

#[test]
fn signals_during_a_stop_change_nothing() {
    let host = Peers::start(1);
    let (mut gateway, _discovery) = before(settings(), &host);
    let (mut client, mut idle) = (gateway.client(), gateway.client());
    idle.call(&["PING"]);
    idle.answer();
    client.post(1, "body");
    let mut seen = host.command();
    gateway.terminate();
    gateway.terminate();
    gateway.hang_up();
    assert!(idle.ended(), "a connection between requests closes");
    gateway.hang_up();
    gateway.terminate();
    seen.serve("served");
    assert_eq!(client.answer(), "served");
    assert!(client.ended());
    assert!(gateway.exit().success());
}

#[test]
fn a_client_stuck_within_a_command_does_not_hold_up_the_stop() {
    let mut settings = settings();
    for class in settings["services"].as_array_mut().unwrap() {
        class["aim"] = 500_000_000u64.into();
        class["hard-limit"] = 1_000_000_000u64.into();
    }
    let host = Peers::start(1);
    let (mut gateway, _discovery) = before(settings, &host);
    let mut stuck = gateway.client();
    stuck.call(&["PING"]);
    stuck.answer();
    stuck.write(b"*4\r\n$8\r\nCALL");
    gateway.terminate();
    assert!(gateway.exit().success());
}

#[test]
fn for_a_while_after_sigterm_new_connections_are_served() {
    // A machine too busy to connect in time tells nothing: then once more.
    let in_time = (0..10).any(|_| {
        let host = Peers::start(1);
        let (mut gateway, _discovery) = before(settings(), &host);
        let mut early = gateway.client();
        early.post(1, "body");
        let mut held = host.command();
        let start = Instant::now();
        gateway.terminate();
        let late = gateway.try_client();
        if start.elapsed() > Duration::from_millis(250) {
            return false;
        }
        let mut late = late.expect("a connection soon after SIGTERM");
        served(&mut late, &host, 2, "served");
        held.serve("held");
        assert_eq!(early.answer(), "held");
        assert!(gateway.exit().success());
        true
    });
    assert!(in_time);
}

#[test]
fn a_missing_or_bad_configuration_is_one_line_and_a_failure() {
    let bad = std::env::temp_dir().join(format!("fennelbeam-bad-{}.json", std::process::id()));
    std::fs::write(&bad, "{\"name\": 3}").unwrap();
    for path in ["/nonexistent/config.json", bad.to_str().unwrap()] {
        let output = Command::new(env!("CARGO_BIN_EXE_api-gateway"))
            .env("ROUTER_CONFIG", path)
            .stdin(Stdio::null())
            .output()
            .unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.starts_with("api-gateway: "), "{text}");
    }
    std::fs::remove_file(bad).unwrap();
}
