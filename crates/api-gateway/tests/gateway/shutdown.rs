//! Start and graceful shutdown.

use crate::sockets::*;
use crate::support::{assert_served, gateway_with_hosts};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

#[test]
fn answers_all_accepted_requests_after_sigterm() {
    let host = Peers::start(1);
    let (mut gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let (mut client, mut idle) = (gateway.client(), gateway.client());
    idle.send_command(&["PING"]);
    idle.read_answer();
    client.send_post(1, "body");
    let mut command = host.next_command();
    gateway.terminate();
    assert!(idle.is_closed(), "a connection between requests closes");
    command.serve("served");
    assert_eq!(client.read_answer(), "served");
    assert!(client.is_closed());
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn ignores_signals_during_shutdown() {
    let host = Peers::start(1);
    let (mut gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let (mut client, mut idle) = (gateway.client(), gateway.client());
    idle.send_command(&["PING"]);
    idle.read_answer();
    client.send_post(1, "body");
    let mut command = host.next_command();
    gateway.terminate();
    gateway.terminate();
    gateway.send_sighup();
    assert!(idle.is_closed(), "a connection between requests closes");
    gateway.send_sighup();
    gateway.terminate();
    command.serve("served");
    assert_eq!(client.read_answer(), "served");
    assert!(client.is_closed());
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn an_incomplete_command_does_not_delay_shutdown() {
    let mut settings = settings();
    for class in settings["services"].as_array_mut().unwrap() {
        class["aim"] = 500_000_000u64.into();
        class["hard-limit"] = 1_000_000_000u64.into();
    }
    let host = Peers::start(1);
    let (mut gateway, _discovery) = gateway_with_hosts(settings, &host);
    let mut incomplete = gateway.client();
    incomplete.send_command(&["PING"]);
    incomplete.read_answer();
    incomplete.write(b"*4\r\n$8\r\nCALL");
    gateway.terminate();
    assert!(gateway.wait_for_exit().success());
}

#[test]
fn serves_new_connections_shortly_after_sigterm() {
    // On a machine too busy to connect in time, the test tries again.
    let in_time = (0..10).any(|_| {
        let host = Peers::start(1);
        let (mut gateway, _discovery) = gateway_with_hosts(settings(), &host);
        let mut early = gateway.client();
        early.send_post(1, "body");
        let mut in_flight = host.next_command();
        let start = Instant::now();
        gateway.terminate();
        let late = gateway.try_client();
        if start.elapsed() > Duration::from_millis(250) {
            return false;
        }
        let mut late = late.expect("a connection soon after SIGTERM");
        assert_served(&mut late, &host, 2, "served");
        in_flight.serve("in flight");
        assert_eq!(early.read_answer(), "in flight");
        assert!(gateway.wait_for_exit().success());
        true
    });
    assert!(in_time);
}

#[test]
fn a_missing_or_invalid_configuration_fails_with_one_line() {
    let invalid = std::env::temp_dir().join(format!("fennelbeam-bad-{}.json", std::process::id()));
    std::fs::write(&invalid, "{\"name\": 3}").unwrap();
    for path in ["/nonexistent/config.json", invalid.to_str().unwrap()] {
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
    std::fs::remove_file(invalid).unwrap();
}
