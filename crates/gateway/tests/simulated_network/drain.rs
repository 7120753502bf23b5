//! A drain that comes among more requests than are taken.
//!
//! Work costs no time here, so this shows what is done in which order, and not that news still gets through
//! where a gateway lags behind its traffic: that takes a real clock.

use crate::support::{entry, get, list, name, Client, Manner, Peer, Plan, Room, CLIENT, HERE};
use cluster_model::{MS, SECOND};
use runtime::Span;

const HOSTS: usize = 20;
const CLIENTS: usize = 125;
/// What a client may have waiting on its connection.
const PIPELINE: usize = 16;
/// Commands in hand at the most.
const IN_HAND: usize = 512;

/// A gateway that has open and idle connections to all hosts, a watch, and many clients.
fn warm() -> (Room, Vec<Client>) {
    let room = Room::start(Plan { hosts: HOSTS, sockets: 1024, ..Plan::default() });
    room.hosts.iter().for_each(|host| host.manner(Manner::serve(4, 20 * MS)));
    let clients: Vec<_> = (0..CLIENTS).map(|_| room.client()).collect();
    room.run_to(10 * MS);
    clients.iter().zip(1..=100).for_each(|(client, id)| client.get(id));
    room.run_to(500 * MS);
    assert!(room.hosts.iter().all(|host| host.lines() > 1 && !host.seen().is_empty()));
    assert!(clients[..100].iter().all(|client| client.heard().len() == 1));
    (room, clients)
}

#[test]
fn no_send_follows_a_drain_that_comes_between_two_thousand_requests() {
    let (room, clients) = warm();
    let ask = |number: usize| {
        let ids = (0..PIPELINE).map(|n| 1_000 + (number * PIPELINE + n) as u64);
        clients[number].say(ids.map(get).collect::<Vec<_>>().concat());
    };
    // Half of them are there just before the news, at the same instant; the others a nanosecond later.
    let told = room.now() + CLIENT;
    (0..CLIENTS / 2).for_each(ask);
    room.run(1);
    (CLIENTS / 2..CLIENTS).for_each(ask);
    room.run_to(told - HERE);
    room.discovery.tell(0, &list(2, false, &[entry(&room.hosts, 0, "terminating")]));
    room.run(2 * SECOND);

    let calls = |host: &Peer| host.seen().into_iter().filter(|seen| seen.text.starts_with("CALL"));
    let sent: Vec<Span> = calls(&room.hosts[0]).map(|seen| seen.sent).collect();
    assert!(!sent.is_empty() && sent.iter().all(|sent| *sent == told), "{sent:?}, told at {told}");
    let elsewhere: usize = room.hosts[1..].iter().map(|host| calls(host).count()).sum();
    let heard: Vec<_> = clients.iter().map(|client| client.heard()).collect();
    assert!(heard.iter().all(|answers| answers.len() == PIPELINE), "one answer each");
    let (refused, values): (Vec<_>, Vec<_>) = heard.iter().flatten().partition(|text| *text == "-BUSY");
    assert_eq!(refused.len() + values.len(), CLIENTS * PIPELINE);
    assert!(values.iter().all(|value| value.len() == name(0).len()), "{values:?}");
    assert_eq!(sent.len() + elsewhere, values.len(), "each was sent once");
    // What waits for the module at one time is bounded by this, and so is what news may wait behind.
    assert!((IN_HAND * 3 / 4..=IN_HAND).contains(&values.len()), "{}", values.len());
}
