//! Watches and lists of discovery, and their failures.

use crate::sockets::*;
use crate::support::{assert_served, gateway_with_hosts, CLOSED_ADDRESS};
use serde_json::json;
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn a_watch_that_ends_is_resumed_after_the_last_version_and_the_list_kept() {
    let host = Peers::start(1);
    let (gateway, discovery) = gateway_with_hosts(settings(), &Peers::start(0));
    let mut watch = discovery.watch();
    assert!(watch.path.starts_with("GET /registry/instances?watch=1&after=1 "), "{}", watch.path);
    watch.tell(&list(41, true, &[host_line("s-0", host.addrs[0], "in_service", 0)]));
    let mut client = gateway.client();
    client.until_ready();
    watch.close();
    let watch = discovery.watch();
    assert!(watch.path.contains("after=41 "), "{}", watch.path);
    assert_served(&mut client, &host, 1, "kept");
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
        let mut gateway = Program::start(settings(), &known, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
        let (agent, question) = if moves {
            gateway.client().until_ready();
            gateway.reload(new.addr, CLOSED_ADDRESS.parse().unwrap());
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
    let (_gateway, discovery) = gateway_with_hosts(settings(), &Peers::start(0));
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
    let (gateway, discovery) = gateway_with_hosts(settings(), &Peers::start(0));
    let mut watch = discovery.watch();
    let mut bad = host_line("s-1", host.addrs[0], "in_service", 0);
    bad["hostPort"] = "nowhere".into();
    watch.tell(&list(2, true, &[bad, host_line("s-0", host.addrs[0], "in_service", 0)]));
    let mut client = gateway.client();
    client.until_ready();
    assert_served(&mut client, &host, 1, "served");
}

#[test]
fn a_host_that_drains_gets_nothing_new_whatever_else_its_entry_holds() {
    for field in ["hostPort", "weight", "startedAtMs", "zone"] {
        let hosts = Peers::start(2);
        let discovery = Discovery::start();
        let line = [host_line("s-0", hosts.addrs[0], "in_service", 0)];
        let gateway = Program::start(settings(), &line, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
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
    let mut gateway = Program::start(settings(), &line, gone, CLOSED_ADDRESS.parse().unwrap());
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
