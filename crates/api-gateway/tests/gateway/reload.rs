//! SIGHUP: a new configuration.

use crate::sockets::*;
use crate::support::{assert_served, gateway_with_hosts, CLOSED_ADDRESS};

#[test]
fn sighup_moves_discovery_and_asks_there_for_the_whole_list() {
    let (old, new) = (Peers::start(1), Peers::start(1));
    let (mut gateway, _discovery) = gateway_with_hosts(settings(), &old);
    let mut client = gateway.client();
    for text in ["", "{\"name\": 3}"] {
        gateway.reload_text(text);
        assert_served(&mut client, &old, 1, "a bad file changes nothing");
    }
    let moved = Discovery::start();
    gateway.reload(moved.addr, CLOSED_ADDRESS.parse().unwrap());
    let asked = moved.asked();
    assert!(asked.path.starts_with("GET /registry/instances "), "{}", asked.path);
    assert_served(&mut client, &old, 2, "the last list stays until then");
    // A version lower than that of the old address is no reason to doubt it.
    asked.answer(&list(0, true, &[host_line("s-9", new.addrs[0], "in_service", 0)]));
    let watch = moved.watch();
    assert!(watch.path.contains("watch=1&after=0 "), "{}", watch.path);
    assert_served(&mut client, &new, 3, "from the new list");
}

#[test]
fn sighup_several_times_and_while_stopping_is_no_crash() {
    let host = Peers::start(1);
    let (mut gateway, _discovery) = gateway_with_hosts(settings(), &host);
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
