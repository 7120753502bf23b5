//! Watches and lists of discovery, and their failures.

use crate::sockets::*;
use crate::support::{assert_served, gateway_with_hosts, CLOSED_ADDRESS};
use serde_json::json;
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn resumes_an_ended_watch_after_the_last_version_and_keeps_the_list() {
    let host = Peers::start(1);
    let (gateway, discovery) = gateway_with_hosts(settings(), &Peers::start(0));
    let mut watch = discovery.accept_watch();
    assert!(watch.path.starts_with("GET /registry/instances?watch=1&after=1 "), "{}", watch.path);
    watch.send_list(&endpoint_list(41, true, &[host_entry("s-0", host.addrs[0], "in_service", 0)]));
    let mut client = gateway.client();
    client.wait_until_ready();
    watch.close();
    let watch = discovery.accept_watch();
    assert!(watch.path.contains("after=41 "), "{}", watch.path);
    assert_served(&mut client, &host, 1, "kept");
}

#[test]
fn ignores_a_truncated_list_until_it_arrives_complete() {
    let (head, chunked) = ("HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n");
    let forms = ["in a chunk of its own", "in half a chunk", "without a length", "with a length"];
    // On a watch, or as the answer to the request for the complete list after discovery has moved.
    for (form, moves) in forms.into_iter().flat_map(|form| [(form, false), (form, true)]) {
        let (hosts, new) = (Peers::start(3), Discovery::start());
        let line = |n: usize, state: &str| host_entry(&format!("s-{n}"), hosts.addrs[n], state, 0);
        let (known, discovery) = ([line(0, "in_service"), line(1, "in_service")], Discovery::start());
        let mut gateway = Program::start(settings(), &known, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
        let (agent, request) = if moves {
            gateway.client().wait_until_ready();
            gateway.reload(new.addr, CLOSED_ADDRESS.parse().unwrap());
            (&new, "GET /registry/instances ")
        } else {
            (&discovery, "GET /registry/instances?watch=1&after=1 ")
        };
        let asked = || {
            let watch = agent.next_request();
            assert!(watch.path.starts_with(request), "{form}: {}", watch.path);
            watch
        };
        let all = [line(0, "terminating"), line(1, "in_service"), line(2, "in_service")];
        let complete = endpoint_list(2, true, &all).to_string();
        // The first half contains the complete entry of the draining host.
        let (half, length) = (&complete[..complete.find("},").unwrap() + 1], complete.len());
        let mut truncated = asked();
        truncated.write_part(&match form {
            "in a chunk of its own" => format!("{head}{chunked}{:x}\r\n{half}\r\n", half.len()),
            "in half a chunk" => format!("{head}{chunked}{length:x}\r\n{half}"),
            "with a length" => format!("{head}Content-Length: {length}\r\n\r\n{half}"),
            _ => format!("{head}\r\n{half}"),
        });
        truncated.reset();
        // The gateway sends the same request again once it has processed the truncated list.
        let next = asked();
        let (mut client, mut ids) = (gateway.client(), 0..);
        let mut serving_host = || {
            client.send_get(ids.next().unwrap());
            let mut command = hosts.next_command();
            command.serve("served");
            assert_eq!(client.read_answer(), "served");
            command.connection.0
        };
        assert!((0..200).any(|_| serving_host() == 0), "{form}: a truncated list was applied");
        next.reset();
        asked().write_part(&format!("{head}{chunked}{length:x}\r\n{complete}\r\n"));
        assert!((0..200).any(|_| serving_host() == 2), "{form}: the complete list was not applied");
        assert!((0..20).all(|_| serving_host() != 0), "{form}: a request to the draining host");
    }
}

#[test]
fn replaces_a_silent_watch() {
    let (_gateway, discovery) = gateway_with_hosts(settings(), &Peers::start(0));
    let _silent = discovery.accept_watch();
    let start = Instant::now();
    let _next = discovery.accept_watch();
    let _after_that = discovery.accept_watch();
    // A change counts as known 6 s after discovery received it: two consecutive silent watches must not take as long.
    assert!(start.elapsed() < Duration::from_secs(8), "two watches took {:?}", start.elapsed());
}

#[test]
fn an_invalid_entry_does_not_affect_the_others() {
    let host = Peers::start(1);
    let (gateway, discovery) = gateway_with_hosts(settings(), &Peers::start(0));
    let mut watch = discovery.accept_watch();
    let mut bad = host_entry("s-1", host.addrs[0], "in_service", 0);
    bad["hostPort"] = "nowhere".into();
    watch.send_list(&endpoint_list(2, true, &[bad, host_entry("s-0", host.addrs[0], "in_service", 0)]));
    let mut client = gateway.client();
    client.wait_until_ready();
    assert_served(&mut client, &host, 1, "served");
}

#[test]
fn sends_no_requests_to_a_draining_host_whose_entry_has_an_invalid_field() {
    for field in ["hostPort", "weight", "startedAtMs", "zone"] {
        let hosts = Peers::start(2);
        let discovery = Discovery::start();
        let line = [host_entry("s-0", hosts.addrs[0], "in_service", 0)];
        let gateway = Program::start(settings(), &line, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
        let mut watch = discovery.accept_watch();
        let mut draining = host_entry("s-0", hosts.addrs[0], "terminating", 0);
        draining[field] = json!({"no": "such thing"});
        watch.send_list(&endpoint_list(
            3,
            false,
            &[host_entry("s-1", hosts.addrs[1], "in_service", 0), draining],
        ));
        let mut client = gateway.client();
        let mut ids = 0..;
        let mut serving_host = || {
            client.send_get(ids.next().unwrap());
            let mut command = hosts.next_command();
            command.serve("served");
            assert_eq!(client.read_answer(), "served");
            command.connection.0
        };
        // The same message adds the other host: its first request shows that the message has been processed.
        while serving_host() == 0 {}
        for _ in 0..8 {
            assert_eq!(serving_host(), 1, "a request to the draining host, with an invalid {field}");
        }
    }
}

#[test]
fn logs_unreachable_discovery_once_with_its_address() {
    let unreachable = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let host = Peers::start(1);
    let line = [host_entry("s-0", host.addrs[0], "in_service", 0)];
    let mut gateway = Program::start(settings(), &line, unreachable, CLOSED_ADDRESS.parse().unwrap());
    let mut client = gateway.client();
    // The gateway becomes ready after a second without a list: by then it has tried to reach discovery about eight
    // times.
    client.wait_until_ready();
    gateway.terminate();
    gateway.wait_for_exit();
    let log = gateway.log();
    let lines: Vec<&String> = log.iter().filter(|line| line.contains("discovery")).collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains(&unreachable.to_string()), "{lines:?}");
}
