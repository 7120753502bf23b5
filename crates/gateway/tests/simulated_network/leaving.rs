//! Clients that go while they are still owed answers.

use crate::support::{bulk, command, name, post, served, tariff, Client, Plan, Room, Seen, CLIENT, HOST};
use cluster_model::MS;
use runtime::Span;

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Going {
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
    reads: usize,
    /// Hosts answer this many calls before it goes.
    answered: usize,
    /// Bytes that are no command, behind the calls.
    nonsense: usize,
    going: Going,
    /// The hosts' answers arrive so much later than the clients' ends, in nanoseconds; `None`: long after.
    meets: Option<i64>,
}

impl Case {
    fn commands(&self, first: u64) -> Vec<u8> {
        let list = "c=order,t=team,d=8500,units=1,spread=1,first=0";
        let body = "b".repeat(self.body);
        let call = |id: u64| command(&["CALL.POST", &name(1), &name(id), list, &body]).to_vec();
        (first..first + self.calls).flat_map(call).chain(std::iter::repeat_n(b'x', self.nonsense)).collect()
    }
}

/// Commands that have come to the hosts.
fn commands(room: &Room) -> Vec<(usize, Seen)> {
    let of = |(number, host): (usize, &crate::support::Peer)| {
        host.seen().into_iter().filter(|seen| seen.text.starts_with("CALL")).map(move |seen| (number, seen))
    };
    room.hosts.iter().enumerate().flat_map(of).collect()
}

fn serve(room: &Room, commands: &[(usize, Seen)], length: usize) {
    let value = "v".repeat(length);
    commands.iter().for_each(|(host, seen)| room.hosts[*host].say(seen.line, served(&value)));
}

/// Of a value that goes in many pieces.
const LONG: usize = 60_000;

/// Two clients ask alike, one after the other; gives how many attempts each has out at first.
fn play(case: &Case) -> [usize; 2] {
    let room = Room::start(Plan { hosts: 2, ..Plan::default() });
    let ask = |first: u64| -> (Vec<Client>, Vec<(usize, Seen)>) {
        let ask = |number: u64| {
            room.client_that_says(case.commands(first + number * case.calls).into(), case.reads)
        };
        let clients = (0..case.clients).map(ask).collect();
        room.run(50 * MS);
        let out = commands(&room);
        (clients, out)
    };
    let (clients, mut out) = ask(1);
    let first = out.len();
    assert!(first > 0 && (first as u64) < case.clients * case.calls, "{first}, and none waits: {case:?}");
    serve(&room, &out.drain(..case.answered).collect::<Vec<_>>(), LONG);
    room.run(50 * MS);
    clients.iter().for_each(|client| match case.going {
        Going::Closes => client.close(),
        Going::Resets => client.reset(),
    });
    let late: Span = room.now() + 100 * MS;
    if let Some(later) = case.meets {
        room.run((CLIENT - HOST).saturating_add_signed(later));
        serve(&room, &std::mem::take(&mut out), 1);
        // What an answer that came first has let out is answered long after.
        room.run(10 * MS);
        out = commands(&room);
    }
    room.run_to(late);
    // Slots come free, and connections with them.
    while !out.is_empty() {
        serve(&room, &out, LONG);
        room.run(50 * MS);
        out = commands(&room);
        let sent_late: Vec<_> = out.iter().filter(|(_, seen)| seen.sent > late).collect();
        assert!(
            sent_late.is_empty(),
            "{} are sent on after their client has gone: {case:?}",
            sent_late.len()
        );
    }
    let (_clients, out) = ask(1_000);
    [first, out.len()]
}

#[test]
fn what_waits_for_a_client_that_goes_is_not_sent_on_and_leaves_nothing_behind() {
    let usual = Case {
        clients: 1,
        calls: 20,
        body: 10,
        reads: usize::MAX,
        answered: 0,
        nonsense: 0,
        going: Going::Closes,
        meets: None,
    };
    let cases = [
        Case { ..usual },
        Case { calls: 100, ..usual },
        Case { clients: 100, calls: 3, ..usual },
        Case { clients: 100, calls: 3, going: Going::Resets, ..usual },
        Case { calls: 100, answered: 2, reads: 0, ..usual },
        Case { answered: 1, reads: 0, ..usual },
        Case { answered: 1, reads: 0, body: 60_000, ..usual },
        Case { body: 60_000, ..usual },
        Case { body: 60_000, going: Going::Resets, ..usual },
        Case { nonsense: 100, ..usual },
        Case { nonsense: 30_000, ..usual },
        // As their answers are given: a nanosecond before, in the same one, a nanosecond after.
        Case { meets: Some(-1), ..usual },
        Case { meets: Some(0), ..usual },
        Case { meets: Some(1), ..usual },
        Case { meets: Some(0), clients: 100, calls: 3, ..usual },
        Case { meets: Some(0), clients: 100, calls: 3, going: Going::Resets, ..usual },
    ];
    for case in cases {
        let [first, second] = play(&case);
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
    for (what, goes) in cases {
        let mut plan = Plan { hosts: 2, ..Plan::default() };
        if matches!(what, WaitsFor::Counter) {
            plan.settings["domain"]["shared-counter"] = true.into();
            plan.settings["tariffs"] = serde_json::json!([tariff(0.001, 10.0)]);
        }
        let room = Room::start(plan);
        room.run_to(10 * MS);
        let client = room.client();
        client.say(post(1, 1, 1.0));
        room.run(10 * MS);
        let out = commands(&room);
        let counted: Vec<Seen> =
            room.counter.seen().into_iter().filter(|seen| seen.text.starts_with("ADDGET")).collect();
        if goes {
            client.close();
            // The word of it is there before the answer.
            room.run(5 * MS);
        }
        match what {
            WaitsFor::Counter => {
                assert!(out.is_empty() && !counted.is_empty(), "it does not wait: {out:?}");
                counted.iter().for_each(|seen| room.counter.say(seen.line, bulk("1")));
            }
            WaitsFor::Retry => {
                let [(host, seen)] = &out[..] else { panic!("{out:?}") };
                room.hosts[*host].say(seen.line, "-BUSY\r\n");
            }
        }
        room.run(10 * MS);
        assert_eq!(commands(&room).len(), usize::from(!goes), "{what:?}, gone: {goes}");
    }
}

/// A host that cannot be told to stop goes on with what its client has left, and the id is not free before it ends.
#[test]
fn an_id_whose_attempt_is_still_out_is_not_sent_on_again_whoever_asks() {
    let room = Room::start(Plan::default());
    room.run_to(10 * MS);
    let (gone, again) = (room.client(), room.client());
    gone.post(1);
    room.run(10 * MS);
    let out = commands(&room);
    gone.close();
    room.run(10 * MS);
    again.post(1);
    room.run(10 * MS);
    assert_eq!((again.heard(), commands(&room)), (vec!["-ERR failed".to_owned()], Vec::new()));
    serve(&room, &out, 1);
    room.run(10 * MS);
    again.post(1);
    room.run(10 * MS);
    assert_eq!(commands(&room).len(), 1, "it stays taken");
}
