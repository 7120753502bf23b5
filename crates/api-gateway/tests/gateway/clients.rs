//! Commands of clients: their order, their errors, and clients that disconnect.

use crate::sockets::*;
use crate::support::{assert_served, gateway_with_hosts, settings_with_cancel};
use std::time::{Duration, Instant};

#[test]
fn answers_commands_in_their_order() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut client = gateway.client();
    client.send_get(1);
    let mut first = host.next_command();
    client.send_get(2);
    let mut second = host.next_command();
    assert_ne!(first.connection, second.connection, "one request at a time on a connection");
    client.send_command(&["PING"]);
    second.serve("two");
    first.serve("one");
    assert_eq!(client.read_answer(), "one");
    assert_eq!(client.read_answer(), "two");
    assert!(["+PONG", "-ERR starting"].contains(&client.read_answer().as_str()));
}

#[test]
fn cancels_the_attempt_of_a_client_that_disconnects() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings_with_cancel(), &host);
    let mut client = gateway.client();
    let start = Instant::now();
    client.send_post(1, "body");
    let command = host.next_command();
    drop(client);
    host.wait_for_end(command.connection);
    assert!(start.elapsed() < Duration::from_secs(6), "the latency objective is 8 s");
}

#[test]
fn invalid_commands_get_an_error_and_the_connection_stays_open() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut client = gateway.client();
    let id = "0000000000000001";
    let good = "c=read,t=team,d=100,units=1,spread=1,first=0";
    for arguments in [
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
        client.send_command(arguments);
        let answer = client.read_answer();
        assert!(answer.starts_with("-ERR "), "{arguments:?}: {answer}");
    }
    assert_served(&mut client, &host, 2, "still here");
}

#[test]
fn does_not_forward_requests_with_invalid_fields() {
    let host = Peers::start(1);
    let mut settings = settings();
    settings["domain"]["units-top"] = 6.0.into();
    let (gateway, _discovery) = gateway_with_hosts(settings, &host);
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
        client.send_command(&["CALL.GET", CUSTOMER, "0000000000000001", &list.join(",")]);
        let answer = client.read_answer();
        assert!(answer.starts_with("-ERR "), "{bad:?}: {answer}");
    }
    for missing_or_twice in ["c=read,t=team,d=100", "c=read,t=team,d=100,d=100,units=1,spread=1,first=0"] {
        client.send_command(&["CALL.GET", CUSTOMER, "0000000000000001", missing_or_twice]);
        assert!(client.read_answer().starts_with("-ERR "), "{missing_or_twice:?}");
    }
    assert_eq!(host.count_unread_commands(), 0);
}

#[test]
fn rejects_a_request_with_the_id_of_one_in_flight() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let (mut client, mut other) = (gateway.client(), gateway.client());
    client.send_get(1);
    let mut command = host.next_command();
    other.send_get(1);
    assert!(other.read_answer().starts_with("-ERR "));
    command.serve("own");
    assert_eq!(client.read_answer(), "own");
    assert_served(&mut other, &host, 1, "over");
}

#[test]
fn malformed_or_oversized_input_gets_an_error_and_ends_the_connection() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let nested = "*1\r\n".repeat(20_000);
    for bytes in
        ["GET / HTTP/1.1\r\n\r\n", "*1\r\n$70000\r\n", "*9999\r\n", "*-7\r\n", "*1\r\n$1\r\nabc", &nested]
    {
        let mut client = gateway.client();
        client.write(bytes.as_bytes());
        let answer = client.read_answer();
        assert!(answer.starts_with("-ERR "), "{answer}");
        assert!(client.is_closed(), "after {:?}", &bytes[..8]);
    }
}

#[test]
fn malformed_input_after_requests_gets_one_error_after_their_answers() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    // After each malformed input, further commands follow, which the gateway ignores.
    for (n, malformed) in (0..).zip(["GET / HTTP/1.1\r\n\r\n", "*1\r\n$70000\r\n", "*-7\r\n", ":1\r\n"]) {
        let (mut client, mut other) = (gateway.client(), gateway.client());
        client.send_get(2 * n);
        let mut first = host.next_command();
        client.send_get(2 * n + 1);
        let mut second = host.next_command();
        client.write(malformed.as_bytes());
        client.send_command(&["PING"]);
        client.send_post(99, "ignored");
        // The first request is answered only after the malformed input has been read: by then a later request of
        // another client has been served.
        assert_served(&mut other, &host, 1_000 + n, "others go on");
        second.serve("second");
        first.serve("first");
        assert_eq!(
            (client.read_answer(), client.read_answer()),
            ("first".into(), "second".into()),
            "{malformed:?}"
        );
        let error = client.read_answer();
        assert!(error.starts_with("-ERR protocol error: "), "{malformed:?}: {error}");
        assert!(client.is_closed(), "{malformed:?}");
        assert_eq!(host.count_unread_commands(), 0);
    }
}
