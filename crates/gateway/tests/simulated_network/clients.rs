//! Clients that say nothing, or take nothing.

use crate::support::{command, get, name, served, Client, Manner, Plan, Room, CLIENT, END, HOST};
use cluster_model::{MS, SECOND};
use runtime::Span;
use simulated_runtime::What;

/// When the gateway has the connection of a client that asks for it at the start.
const ACCEPTED: Span = 3 * CLIENT;

#[test]
fn a_silent_client_is_ended_after_two_seconds_with_no_word() {
    let room = Room::start(Plan::default());
    let client = room.client();
    room.run(5 * SECOND);
    assert_eq!(client.seen(), [(ACCEPTED + 2 * SECOND + CLIENT, END.to_owned())]);
}

#[test]
fn the_rest_of_a_command_is_owed_for_two_seconds_since_its_begin() {
    let room = Room::start(Plan::default());
    room.discovery.manner(Manner::Wait);
    let (client, call) = (room.client(), get(1));
    client.say(command(&["PING"]));
    room.run_to(SECOND);
    assert_eq!(client.heard(), ["-ERR starting"]);
    client.say(call.slice(..10));
    // A byte now and then gains nothing.
    for byte in 10..15 {
        room.run(500 * MS);
        client.say(call.slice(byte..byte + 1));
    }
    room.run(SECOND);
    let refused = SECOND + CLIENT + 2 * SECOND + CLIENT;
    let error = "-ERR protocol error: command not whole in time";
    assert_eq!(client.seen(), [(refused, error.to_owned()), (refused, END.to_owned())]);
}

/// Places for commands in hand in the least memory that a gateway starts with.
const PLACES: usize = 32;

/// A gateway with as few places, with slots at its hosts for all of them, and a network that takes a quarter of an answer unread.
fn narrow() -> Room {
    let mut plan = Plan { memory_mb: 4, hosts: 8, ..Plan::default() };
    plan.network.window = 16 * 1024;
    Room::start(plan)
}

/// Serves all commands that have come to hosts, with more than the network takes. Gives when the answers are
/// with the gateway, which passes them on whole.
fn serve_much(room: &Room) -> Span {
    let value = "x".repeat(60_000);
    for host in &room.hosts {
        host.seen().iter().for_each(|seen| host.say(seen.line, served(&value)));
    }
    // The first quarter arrives, is read, and makes way for the next.
    room.now() + 4 * HOST
}

#[test]
fn clients_that_take_nothing_hold_their_places_for_three_seconds() {
    let room = narrow();
    let wire = room.wire();
    let stuck: Vec<_> = (1..=PLACES as u64).map(|id| room.client_that_says(get(id), 0)).collect();
    room.run_to(10 * MS);
    let given = serve_much(&room);
    room.run(MS);
    let other = room.client();
    other.get(98);
    room.run(10 * MS);
    assert_eq!(other.heard(), ["-BUSY"], "no place is left");
    // That the gateway gets ready after a second is no sign of life of theirs.
    room.run_to(given + 3 * SECOND);
    other.get(99);
    room.run(10 * MS);
    serve_much(&room);
    room.run(100 * MS);
    assert_eq!(wire.arrivals("gateway", "clients", &What::Fin), [given + 3 * SECOND + CLIENT; PLACES]);
    assert_eq!(other.heard()[0].len(), 60_000, "their places are free");
    // What they have of it cannot be taken for a whole answer.
    stuck.iter().for_each(|client| client.read(usize::MAX));
    room.run(100 * MS);
    assert!(stuck.iter().all(|client| client.heard() == [END]));
}

#[test]
fn a_client_that_takes_a_byte_now_and_then_holds_its_place_for_ten_seconds() {
    let room = narrow();
    let wire = room.wire();
    let trickling = room.client_that_says(get(1), 0);
    room.run_to(10 * MS);
    let given = serve_much(&room);
    while room.now() < given + 11 * SECOND {
        trickling.read(1);
        room.run(50 * MS);
    }
    assert_eq!(wire.arrivals("gateway", "clients", &What::Fin), [given + 10 * SECOND + CLIENT]);
}

/// With 64 descriptors there are 24 places for clients.
#[test]
fn one_that_takes_the_last_place_keeps_it_for_its_first_command_and_no_longer() {
    let call = get(24);
    // Half a command keeps none: clients that say little must not crowd out the others. Its rest goes nowhere.
    for (says, rest) in [(&call[..], None), (&call[..30], Some(&call[30..])), (&[], None)] {
        let speaks = says.len() == call.len();
        let room = Room::start(Plan { sockets: 64, ..Plan::default() });
        let busy: Vec<_> = (1..24)
            .map(|id| {
                let client = room.client();
                client.get(id);
                client
            })
            .collect();
        room.run_to(10 * MS);
        let (last, next) = (room.client(), room.client());
        room.run(90 * MS);
        assert!(busy.iter().all(|client| client.heard().is_empty()), "all others are owed an answer");
        assert_eq!(last.heard(), [""; 0], "its command may be on the way");
        last.say(says.to_vec());
        next.get(25);
        room.run(20 * MS);
        rest.into_iter().for_each(|rest| last.say(rest.to_vec()));
        room.hosts.iter().for_each(|host| host.manner(Manner::serve(8, 0)));
        for host in &room.hosts {
            host.seen().iter().for_each(|seen| host.say(seen.line, served("value")));
        }
        room.run(SECOND);
        // Some may be refused, for want of slots: that is an answer, too.
        let is_answered = |client: &Client| client.heard().first().is_some_and(|text| text != END);
        assert_eq!((is_answered(&last), is_answered(&next)), (speaks, true));
        assert!(busy.iter().all(is_answered));
        let is_sent =
            room.hosts.iter().flat_map(|host| host.seen()).any(|seen| seen.text.contains(&name(24)));
        assert_eq!(is_sent, speaks, "sent on after its connection ended, or never");
    }
}
