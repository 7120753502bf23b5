//! Commands of clients: their order, their errors, and clients that leave.

use crate::sockets::*;
use crate::support::{assert_served, gateway_with_hosts, settings_with_cancel};
use std::time::{Duration, Instant};

#[test]
fn answers_come_in_the_order_of_the_commands() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut client = gateway.client();
    client.get(1);
    let mut first = host.command();
    client.get(2);
    let mut second = host.command();
    assert_ne!(first.conn, second.conn, "one request at a time on a connection");
    client.call(&["PING"]);
    second.serve("two");
    first.serve("one");
    assert_eq!(client.answer(), "one");
    assert_eq!(client.answer(), "two");
    assert!(["+PONG", "-ERR starting"].contains(&client.answer().as_str()));
}

#[test]
fn a_client_that_goes_takes_its_attempt_along() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings_with_cancel(), &host);
    let mut client = gateway.client();
    let start = Instant::now();
    client.post(1, "body");
    let seen = host.command();
    drop(client);
    host.end(seen.conn);
    assert!(start.elapsed() < Duration::from_secs(6), "the aim is 8 s");
}

#[test]
fn what_is_no_call_gets_an_error_and_the_connection_stays() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let mut client = gateway.client();
    let id = "0000000000000001";
    let good = "c=read,t=team,d=100,units=1,spread=1,first=0";
    for words in [
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
        client.call(words);
        let answer = client.answer();
        assert!(answer.starts_with("-ERR "), "{words:?}: {answer}");
    }
    assert_served(&mut client, &host, 2, "still here");
}

#[test]
fn what_the_settings_cannot_mean_reaches_no_host() {
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
        client.call(&["CALL.GET", CUSTOMER, "0000000000000001", &list.join(",")]);
        let answer = client.answer();
        assert!(answer.starts_with("-ERR "), "{bad:?}: {answer}");
    }
    for missing_or_twice in ["c=read,t=team,d=100", "c=read,t=team,d=100,d=100,units=1,spread=1,first=0"] {
        client.call(&["CALL.GET", CUSTOMER, "0000000000000001", missing_or_twice]);
        assert!(client.answer().starts_with("-ERR "), "{missing_or_twice:?}");
    }
    assert_eq!(host.others(), 0);
}

#[test]
fn the_id_of_an_open_request_is_refused_to_others() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let (mut client, mut other) = (gateway.client(), gateway.client());
    client.get(1);
    let mut seen = host.command();
    other.get(1);
    assert!(other.answer().starts_with("-ERR "));
    seen.serve("own");
    assert_eq!(client.answer(), "own");
    assert_served(&mut other, &host, 1, "over");
}

#[test]
fn malformed_or_oversized_input_gets_an_error_and_ends() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    let nested = "*1\r\n".repeat(20_000);
    for bytes in
        ["GET / HTTP/1.1\r\n\r\n", "*1\r\n$70000\r\n", "*9999\r\n", "*-7\r\n", "*1\r\n$1\r\nabc", &nested]
    {
        let mut client = gateway.client();
        client.write(bytes.as_bytes());
        let answer = client.answer();
        assert!(answer.starts_with("-ERR "), "{answer}");
        assert!(client.ended(), "after {:?}", &bytes[..8]);
    }
}

#[test]
fn malformed_input_behind_calls_gets_one_error_after_what_was_owed() {
    let host = Peers::start(1);
    let (gateway, _discovery) = gateway_with_hosts(settings(), &host);
    // Each with more behind it, of which nothing is taken.
    for (n, malformed) in (0..).zip(["GET / HTTP/1.1\r\n\r\n", "*1\r\n$70000\r\n", "*-7\r\n", ":1\r\n"]) {
        let (mut client, mut other) = (gateway.client(), gateway.client());
        client.get(2 * n);
        let mut owed = host.command();
        client.get(2 * n + 1);
        let mut second = host.command();
        client.write(malformed.as_bytes());
        client.call(&["PING"]);
        client.post(99, "never taken");
        // The end of the first is held back until the malformed one has been read: another client's call comes later.
        assert_served(&mut other, &host, 1_000 + n, "others go on");
        second.serve("second");
        owed.serve("first");
        assert_eq!((client.answer(), client.answer()), ("first".into(), "second".into()), "{malformed:?}");
        let error = client.answer();
        assert!(error.starts_with("-ERR protocol error: "), "{malformed:?}: {error}");
        assert!(client.ended(), "{malformed:?}");
        assert_eq!(host.others(), 0);
    }
}
