//! Start and graceful shutdown.

use crate::sockets::*;
use crate::support::{assert_served, gateway_with_hosts};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

#[test]
fn after_sigterm_all_that_was_taken_is_answered() {
    let host = Peers::start(1);
    let (mut gateway, _discovery) = gateway_with_hosts(settings(), &host);
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
    let (mut gateway, _discovery) = gateway_with_hosts(settings(), &host);
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
    let (mut gateway, _discovery) = gateway_with_hosts(settings, &host);
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
        let (mut gateway, _discovery) = gateway_with_hosts(settings(), &host);
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
        assert_served(&mut late, &host, 2, "served");
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
