//! SIGHUP: a new configuration.

use crate::sockets::*;
use crate::support::{assert_served, gateway_with_hosts, CLOSED_ADDRESS};

#[test]
fn sighup_moves_discovery_and_requests_the_complete_list() {
    let (old, new) = (Peers::start(1), Peers::start(1));
    let (mut gateway, _discovery) = gateway_with_hosts(settings(), &old);
    let mut client = gateway.client();
    for text in ["", "{\"name\": 3}"] {
        gateway.reload_text(text);
        assert_served(&mut client, &old, 1, "an invalid file changes nothing");
    }
    let moved = Discovery::start();
    gateway.reload(moved.addr, CLOSED_ADDRESS.parse().unwrap());
    let request = moved.next_request();
    assert!(request.path.starts_with("GET /registry/instances "), "{}", request.path);
    assert_served(&mut client, &old, 2, "the last list stays in effect until then");
    // The list is accepted although its version is lower than that of the old address.
    request.respond(&endpoint_list(0, true, &[host_entry("s-9", new.addrs[0], "in_service", 0)]));
    let watch = moved.accept_watch();
    assert!(watch.path.contains("watch=1&after=0 "), "{}", watch.path);
    assert_served(&mut client, &new, 3, "from the new list");
}

#[test]
fn repeated_sighups_also_during_shutdown_do_not_crash() {
    let host = Peers::start(1);
    let (mut gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut client = gateway.client();
    client.send_post(1, "body");
    let mut command = host.next_command();
    let agents: Vec<Discovery> = (0..3).map(|_| Discovery::start()).collect();
    for agent in &agents {
        gateway.reload(agent.addr, agent.addr);
    }
    agents[2].next_request();
    gateway.terminate();
    gateway.reload(agents[0].addr, agents[0].addr);
    command.serve("served");
    assert_eq!(client.read_answer(), "served");
    assert!(gateway.wait_for_exit().success());
}
