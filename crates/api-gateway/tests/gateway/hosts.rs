//! Hosts that drain, restart or close idle connections.

use crate::sockets::*;
use crate::support::{gateway_with_hosts, CLOSED_ADDRESS};
use std::time::{Duration, Instant};

#[test]
fn an_attempt_that_waits_for_its_connection_does_not_start_after_the_drain() {
    // Nothing is accepted and the backlog is full, so the connection stays on its way.
    let (stuck, _listener, _full) = full_backlog();
    let host = Peers::start(1);
    let discovery = Discovery::start();
    let mut settings = settings();
    settings["allowed"]["dial-timeout"] = 60_000_000_000u64.into();
    let line = [host_line("s-0", stuck, "in_service", 0)];
    let gateway = Program::start(settings, &line, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
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
    let gateway = Program::start(settings, &line, discovery.addr, CLOSED_ADDRESS.parse().unwrap());
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
    let (gateway, discovery) = gateway_with_hosts(settings(), &host);
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
    let (gateway, discovery) = gateway_with_hosts(settings(), &host);
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
    let (gateway, _discovery) = gateway_with_hosts(settings, &host);
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
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
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
