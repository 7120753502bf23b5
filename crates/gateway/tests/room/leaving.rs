//! Clients that go while they are still owed answers.

use crate::support::{command, name, served, Client, Plan, Room, Seen};
use fennelbeam_env::Span;
use fennelbeam_model::MS;

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Going {
    Closes,
    Resets,
}

/// What lies at the gateway as its client goes.
#[derive(Debug)]
struct Case {
    calls: u64,
    body: usize,
    /// Bytes of answers that the client takes.
    reads: usize,
    /// Hosts answer this many calls before it goes.
    answered: usize,
    /// Bytes that are no command, behind the calls.
    nonsense: usize,
    going: Going,
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

fn serve(room: &Room, commands: &[(usize, Seen)]) {
    let value = "v".repeat(60_000);
    commands.iter().for_each(|(host, seen)| room.hosts[*host].say(seen.line, served(&value)));
}

/// Two clients ask alike, one after the other; gives how many attempts each has out at first.
fn play(case: &Case) -> [usize; 2] {
    let room = Room::start(Plan { hosts: 2, ..Plan::default() });
    let ask = |first: u64| -> (Client, Vec<(usize, Seen)>) {
        let client = room.client_that_says(case.commands(first).into(), case.reads);
        room.run(50 * MS);
        let out = commands(&room);
        (client, out)
    };
    let (client, mut out) = ask(1);
    let first = out.len();
    assert!(first > 0 && (first as u64) < case.calls, "{first} of them do not wait: {case:?}");
    serve(&room, &out.drain(..case.answered).collect::<Vec<_>>());
    room.run(50 * MS);
    match case.going {
        Going::Closes => client.close(),
        Going::Resets => client.reset(),
    }
    let late: Span = room.now() + 100 * MS;
    room.run_to(late);
    // Slots come free, and connections with them.
    while !out.is_empty() {
        serve(&room, &out);
        room.run(50 * MS);
        out = commands(&room);
        let sent_late: Vec<_> = out.iter().filter(|(_, seen)| seen.sent > late).collect();
        assert!(
            sent_late.is_empty(),
            "{} are sent on after their client has gone: {case:?}",
            sent_late.len()
        );
    }
    let (_client, out) = ask(1_000);
    [first, out.len()]
}

#[test]
fn what_waits_for_a_client_that_goes_is_not_sent_on_and_leaves_nothing_behind() {
    let usual =
        Case { calls: 20, body: 10, reads: usize::MAX, answered: 0, nonsense: 0, going: Going::Closes };
    let cases = [
        Case { ..usual },
        Case { calls: 100, ..usual },
        Case { calls: 100, answered: 2, reads: 0, ..usual },
        Case { answered: 1, reads: 0, ..usual },
        Case { answered: 1, reads: 0, body: 60_000, ..usual },
        Case { body: 60_000, ..usual },
        Case { body: 60_000, going: Going::Resets, ..usual },
        Case { nonsense: 100, ..usual },
        Case { nonsense: 30_000, ..usual },
    ];
    for case in cases {
        let [first, second] = play(&case);
        assert_eq!(first, second, "slots are left taken: {case:?}");
    }
}
