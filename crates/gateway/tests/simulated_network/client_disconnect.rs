//! Clients that disconnect while replies are pending.

use crate::support::{
    bulk, command, customer_plan, format_id, get, post, value_reply, Client, Received, Setup,
    SimulatedNetwork, CLIENT_DELAY, HOST_DELAY,
};
use cluster_model::MS;
use runtime::Span;

/// The longest deadline of a class in the default settings.
const LONGEST_DEADLINE: Span = 9_000 * MS;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Closes,
    Resets,
}

/// What the gateway holds for the clients when they disconnect.
#[derive(Debug)]
struct Case {
    /// Number of clients that disconnect at the same time.
    clients: u64,
    /// Number of calls of each client.
    calls: u64,
    body: usize,
    /// Number of bytes that each client reads of its replies.
    read_limit: usize,
    /// Number of calls that hosts answer before the clients disconnect.
    answered: usize,
    /// Number of bytes after the calls that are not a command.
    garbage: usize,
    departure: Departure,
    /// How much later than the end of the client connections the hosts' responses arrive, in nanoseconds; `None`: long
    /// after.
    reply_offset: Option<i64>,
}

impl Case {
    fn commands(&self, first: u64) -> Vec<u8> {
        let list = "c=order,t=team,d=8500,units=1,spread=1,first=0";
        let body = "b".repeat(self.body);
        let call = |id: u64| command(&["CALL.POST", &format_id(1), &format_id(id), list, &body]).to_vec();
        (first..first + self.calls).flat_map(call).chain(std::iter::repeat_n(b'x', self.garbage)).collect()
    }
}

/// Returns the commands that hosts have received since the last call, each with the number of its host.
fn commands(network: &SimulatedNetwork) -> Vec<(usize, Received)> {
    let of = |(number, host): (usize, &crate::support::Peer)| {
        host.take_received()
            .into_iter()
            .filter(|received| received.text.starts_with("CALL"))
            .map(move |received| (number, received))
    };
    network.hosts.iter().enumerate().flat_map(of).collect()
}

fn serve(network: &SimulatedNetwork, commands: &[(usize, Received)], length: usize) {
    let value = "v".repeat(length);
    commands
        .iter()
        .for_each(|(host, received)| network.hosts[*host].send(received.connection, value_reply(&value)));
}

/// Length of a value that is sent in many packets.
const LARGE_VALUE_LEN: usize = 60_000;

/// Sends the same calls before and after the clients of a case disconnect; returns how many attempts are in flight at
/// first each time.
fn run_case(case: &Case) -> [usize; 2] {
    let network = SimulatedNetwork::start(Setup { hosts: 2, ..Setup::default() });
    let send_calls = |first: u64| -> (Vec<Client>, Vec<(usize, Received)>) {
        let send_calls = |number: u64| {
            network.client_with_call(case.commands(first + number * case.calls).into(), case.read_limit)
        };
        let clients = (0..case.clients).map(send_calls).collect();
        network.run_for(50 * MS);
        let in_flight = commands(&network);
        (clients, in_flight)
    };
    let (clients, mut in_flight) = send_calls(1);
    let first = in_flight.len();
    assert!(
        first > 0 && (first as u64) < case.clients * case.calls,
        "{first}, and no request waits: {case:?}"
    );
    serve(&network, &in_flight.drain(..case.answered).collect::<Vec<_>>(), LARGE_VALUE_LEN);
    network.run_for(50 * MS);
    clients.iter().for_each(|client| match case.departure {
        Departure::Closes => client.close(),
        Departure::Resets => client.reset(),
    });
    let late: Span = network.now() + 100 * MS;
    if let Some(later) = case.reply_offset {
        network.run_for((CLIENT_DELAY - HOST_DELAY).saturating_add_signed(later));
        serve(&network, &std::mem::take(&mut in_flight), 1);
        // Attempts that start because a response arrived first are answered long after.
        network.run_for(10 * MS);
        in_flight = commands(&network);
    }
    network.run_until(late);
    // Concurrency slots become free, and connections with them.
    while !in_flight.is_empty() {
        serve(&network, &in_flight, LARGE_VALUE_LEN);
        network.run_for(50 * MS);
        in_flight = commands(&network);
        let sent_late: Vec<_> = in_flight.iter().filter(|(_, received)| received.sent > late).collect();
        assert!(
            sent_late.is_empty(),
            "{} are forwarded after their client has disconnected: {case:?}",
            sent_late.len()
        );
    }
    let (_clients, in_flight) = send_calls(1_000);
    [first, in_flight.len()]
}

#[test]
fn waiting_requests_of_a_client_that_disconnects_are_not_forwarded_and_release_their_slots() {
    let usual = Case {
        clients: 1,
        calls: 20,
        body: 10,
        read_limit: usize::MAX,
        answered: 0,
        garbage: 0,
        departure: Departure::Closes,
        reply_offset: None,
    };
    let cases = [
        Case { ..usual },
        Case { calls: 100, ..usual },
        Case { clients: 100, calls: 3, ..usual },
        Case { clients: 100, calls: 3, departure: Departure::Resets, ..usual },
        Case { calls: 100, answered: 2, read_limit: 0, ..usual },
        Case { answered: 1, read_limit: 0, ..usual },
        Case { answered: 1, read_limit: 0, body: 60_000, ..usual },
        Case { body: 60_000, ..usual },
        Case { body: 60_000, departure: Departure::Resets, ..usual },
        Case { garbage: 100, ..usual },
        Case { garbage: 30_000, ..usual },
        // The response arrives a nanosecond before the end of the client's connection, at the same time, and a
        // nanosecond after.
        Case { reply_offset: Some(-1), ..usual },
        Case { reply_offset: Some(0), ..usual },
        Case { reply_offset: Some(1), ..usual },
        Case { reply_offset: Some(0), clients: 100, calls: 3, ..usual },
        Case { reply_offset: Some(0), clients: 100, calls: 3, departure: Departure::Resets, ..usual },
    ];
    for case in cases {
        let [first, second] = run_case(&case);
        assert_eq!(first, second, "slots are not released: {case:?}");
    }
}

/// What a request waits for when its client disconnects.
#[derive(Clone, Copy, Debug)]
enum WaitsFor {
    /// The first counter call for its customer.
    Counter,
    /// A host that then rejects it without executing it, so that another host could be tried.
    Retry,
}

#[test]
fn no_attempt_starts_after_the_client_has_disconnected() {
    let cases = [WaitsFor::Counter, WaitsFor::Retry]
        .into_iter()
        .flat_map(|waits_for| [(waits_for, false), (waits_for, true)]);
    for (waits_for, client_closes) in cases {
        let mut setup = Setup { hosts: 2, ..Setup::default() };
        if matches!(waits_for, WaitsFor::Counter) {
            setup.settings["domain"]["shared-counter"] = true.into();
            setup.settings["tariffs"] = serde_json::json!([customer_plan(0.001, 10.0)]);
        }
        let network = SimulatedNetwork::start(setup);
        network.run_until(10 * MS);
        let client = network.client();
        client.send(post(1, 1, 1.0));
        network.run_for(10 * MS);
        let in_flight = commands(&network);
        let counted: Vec<Received> = network
            .counter
            .take_received()
            .into_iter()
            .filter(|received| received.text.starts_with("ADDGET"))
            .collect();
        if client_closes {
            client.close();
            // The gateway learns of it before the response arrives.
            network.run_for(5 * MS);
        }
        match waits_for {
            WaitsFor::Counter => {
                assert!(
                    in_flight.is_empty() && !counted.is_empty(),
                    "the request does not wait: {in_flight:?}"
                );
                counted.iter().for_each(|received| network.counter.send(received.connection, bulk("1")));
            }
            WaitsFor::Retry => {
                let [(host, received)] = &in_flight[..] else { panic!("{in_flight:?}") };
                network.hosts[*host].send(received.connection, "-BUSY\r\n");
            }
        }
        network.run_for(10 * MS);
        assert_eq!(
            commands(&network).len(),
            usize::from(!client_closes),
            "{waits_for:?}, client disconnected: {client_closes}"
        );
    }
}

/// Guards against orders that run twice because their id comes again after its client has disconnected: the id is not
/// forwarded while its attempt is in flight, nor for the longest deadline after that. Then it is released.
#[test]
fn an_id_that_may_have_been_executed_is_not_forwarded_again_until_the_longest_deadline_has_passed() {
    for may_cancel in [false, true] {
        let mut setup = Setup::default();
        setup.settings["allowed"]["cancel"] = may_cancel.into();
        let network = SimulatedNetwork::start(setup);
        network.run_until(10 * MS);
        let (disconnecting, other) = (network.client(), network.client());
        disconnecting.post(1);
        network.run_for(10 * MS);
        let in_flight = commands(&network);
        assert_eq!(in_flight.len(), 1);
        disconnecting.close();
        let expect_failure = |case: &str| {
            network.run_for(10 * MS);
            other.post(1);
            network.run_for(10 * MS);
            let outcome = (other.take_replies(), commands(&network));
            assert_eq!(outcome, (vec!["-ERR failed".to_owned()], Vec::new()), "{case}, {may_cancel}");
        };
        expect_failure("the attempt is in flight or cancelled");
        serve(&network, &in_flight, 1);
        expect_failure("the attempt has been answered");
        network.run_for(LONGEST_DEADLINE - 100 * MS);
        expect_failure("the longest deadline has not passed");
        network.run_for(100 * MS);
        other.post(1);
        network.run_for(10 * MS);
        assert_eq!(commands(&network).len(), 1, "the id is not released");
    }
}

/// An id is released at once if its request was not executed, or may be executed again.
#[test]
fn an_id_that_was_not_executed_or_is_idempotent_is_forwarded_again() {
    for (call, answer) in [(post(1, 1, 1.0), "-BUSY\r\n"), (get(1), "-ERR failed\r\n")] {
        let network = SimulatedNetwork::start(Setup::default());
        network.run_until(10 * MS);
        let (disconnecting, other) = (network.client(), network.client());
        disconnecting.send(call.clone());
        network.run_for(10 * MS);
        let in_flight = commands(&network);
        disconnecting.close();
        network.run_for(10 * MS);
        in_flight.iter().for_each(|(host, received)| network.hosts[*host].send(received.connection, answer));
        network.run_for(10 * MS);
        other.send(call);
        network.run_for(10 * MS);
        assert_eq!((in_flight.len(), commands(&network).len()), (1, 1), "{answer}");
    }
}
