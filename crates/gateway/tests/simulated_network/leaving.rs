//! Clients that go while they are still owed answers.

use crate::support::{
    bulk, command, customer_plan, format_id, post, value_reply, Client, Received, Setup, SimulatedNetwork,
    CLIENT_DELAY, HOST_DELAY,
};
use cluster_model::MS;
use runtime::Span;

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Closes,
    Resets,
}

/// What lies at the gateway as its client goes.
#[derive(Debug)]
struct Case {
    /// Clients that go in one moment, and the calls of each.
    clients: u64,
    calls: u64,
    body: usize,
    /// Bytes of answers that the client takes.
    read_limit: usize,
    /// Hosts answer this many calls before it goes.
    answered: usize,
    /// Bytes that are no command, behind the calls.
    garbage: usize,
    departure: Departure,
    /// The hosts' answers arrive so much later than the clients' ends, in nanoseconds; `None`: long after.
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

/// Commands that have come to the hosts.
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

/// Of a value that goes in many pieces.
const LARGE_VALUE_LEN: usize = 60_000;

/// Two clients ask alike, one after the other; gives how many attempts each has out at first.
fn run_case(case: &Case) -> [usize; 2] {
    let network = SimulatedNetwork::start(Setup { hosts: 2, ..Setup::default() });
    let ask = |first: u64| -> (Vec<Client>, Vec<(usize, Received)>) {
        let ask = |number: u64| {
            network.client_with_call(case.commands(first + number * case.calls).into(), case.read_limit)
        };
        let clients = (0..case.clients).map(ask).collect();
        network.run_for(50 * MS);
        let in_flight = commands(&network);
        (clients, in_flight)
    };
    let (clients, mut in_flight) = ask(1);
    let first = in_flight.len();
    assert!(first > 0 && (first as u64) < case.clients * case.calls, "{first}, and none waits: {case:?}");
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
        // What an answer that came first has let out is answered long after.
        network.run_for(10 * MS);
        in_flight = commands(&network);
    }
    network.run_until(late);
    // Slots come free, and connections with them.
    while !in_flight.is_empty() {
        serve(&network, &in_flight, LARGE_VALUE_LEN);
        network.run_for(50 * MS);
        in_flight = commands(&network);
        let sent_late: Vec<_> = in_flight.iter().filter(|(_, received)| received.sent > late).collect();
        assert!(
            sent_late.is_empty(),
            "{} are sent on after their client has gone: {case:?}",
            sent_late.len()
        );
    }
    let (_clients, in_flight) = ask(1_000);
    [first, in_flight.len()]
}

#[test]
fn what_waits_for_a_client_that_goes_is_not_sent_on_and_leaves_nothing_behind() {
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
        // As their answers are given: a nanosecond before, in the same one, a nanosecond after.
        Case { reply_offset: Some(-1), ..usual },
        Case { reply_offset: Some(0), ..usual },
        Case { reply_offset: Some(1), ..usual },
        Case { reply_offset: Some(0), clients: 100, calls: 3, ..usual },
        Case { reply_offset: Some(0), clients: 100, calls: 3, departure: Departure::Resets, ..usual },
    ];
    for case in cases {
        let [first, second] = run_case(&case);
        assert_eq!(first, second, "slots are left taken: {case:?}");
    }
}

/// What a request waits for as its client goes.
#[derive(Clone, Copy, Debug)]
enum WaitsFor {
    /// A first call to the counter.
    Counter,
    /// Its host, which then turns it away: that never ran, and another host would do.
    Retry,
}

#[test]
fn nothing_that_comes_after_its_client_has_gone_starts_an_attempt() {
    let cases =
        [WaitsFor::Counter, WaitsFor::Retry].into_iter().flat_map(|what| [(what, false), (what, true)]);
    for (what, client_closes) in cases {
        let mut setup = Setup { hosts: 2, ..Setup::default() };
        if matches!(what, WaitsFor::Counter) {
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
            // The word of it is there before the answer.
            network.run_for(5 * MS);
        }
        match what {
            WaitsFor::Counter => {
                assert!(in_flight.is_empty() && !counted.is_empty(), "it does not wait: {in_flight:?}");
                counted.iter().for_each(|received| network.counter.send(received.connection, bulk("1")));
            }
            WaitsFor::Retry => {
                let [(host, received)] = &in_flight[..] else { panic!("{in_flight:?}") };
                network.hosts[*host].send(received.connection, "-BUSY\r\n");
            }
        }
        network.run_for(10 * MS);
        assert_eq!(commands(&network).len(), usize::from(!client_closes), "{what:?}, gone: {client_closes}");
    }
}

/// A host that cannot be told to stop goes on with what its client has left, and the id is not free before it ends.
#[test]
fn an_id_whose_attempt_is_still_out_is_not_sent_on_again_whoever_asks() {
    let network = SimulatedNetwork::start(Setup::default());
    network.run_until(10 * MS);
    let (gone, again) = (network.client(), network.client());
    gone.post(1);
    network.run_for(10 * MS);
    let in_flight = commands(&network);
    gone.close();
    network.run_for(10 * MS);
    again.post(1);
    network.run_for(10 * MS);
    assert_eq!((again.take_replies(), commands(&network)), (vec!["-ERR failed".to_owned()], Vec::new()));
    serve(&network, &in_flight, 1);
    network.run_for(10 * MS);
    again.post(1);
    network.run_for(10 * MS);
    assert_eq!(commands(&network).len(), 1, "it stays taken");
}
