//! Clients that go on as if nothing were while a gateway stops: on connections that they have, and on new ones.

use crate::support::{command, get, name, Client, Manner, Plan, Room, BROKEN, END};
use cluster_model::{MS, SECOND};
use gateway::Signal;
use runtime::Span;
use std::collections::BTreeSet;

const TERM: Span = 500 * MS;
/// The process has ended so long after the longest deadline, before SIGKILL may come.
const AFTER_DEADLINE: Span = 600 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Hosts {
    /// So long for each command.
    Serve(Span),
    Hang,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    deadline: Span,
    hosts: Hosts,
    /// Time from one command, and from one new connection, to the next.
    every: Span,
}

/// A client, and the ids of what it has sent.
struct Sender {
    client: Client,
    ids: Vec<u64>,
}

impl Case {
    fn start(&self) -> Room {
        let mut plan = Plan { hosts: 4, ..Plan::default() };
        for class in plan.settings["services"].as_array_mut().unwrap() {
            (class["aim"], class["hard-limit"]) = (self.deadline.into(), self.deadline.into());
        }
        let room = Room::start(plan);
        if let Hosts::Serve(each) = self.hosts {
            room.hosts.iter().for_each(|host| host.manner(Manner::serve(8, each)));
        }
        room
    }

    fn order(&self, id: u64) -> bytes::Bytes {
        let list = format!("c=order,t=team,d={},units=1,spread=1,first=0", self.deadline / MS);
        command(&["CALL.POST", &name(1), &name(id), &list, "body"])
    }

    fn play(&self) {
        let (room, mut ids) = (self.start(), 1..);
        let mut senders: Vec<Sender> =
            (0..3).map(|_| Sender { client: room.client(), ids: Vec::new() }).collect();
        // One never takes an answer.
        senders.push(Sender { client: room.client_that_reads(0), ids: Vec::new() });
        for (after, signal) in [
            (0, Signal::Terminate),
            (100 * MS, Signal::Terminate),
            (200 * MS, Signal::Reload),
            (470 * MS, Signal::Reload),
            (550 * MS, Signal::Terminate),
        ] {
            let signals = room.signals();
            room.at(TERM + after, move |_| {
                let _ = signals.send(signal);
            });
        }
        room.run_to(TERM - self.every);
        let last = TERM + self.deadline + AFTER_DEADLINE;
        while room.now() < last {
            for sender in &mut senders {
                let id = ids.next().unwrap();
                sender.client.say(self.order(id));
                sender.ids.push(id);
            }
            senders.push(Sender { client: room.client(), ids: Vec::new() });
            room.run(self.every);
        }
        room.run(2 * SECOND);
        let ended = room.ended().expect("it goes on");
        assert!(ended <= last, "{} ms late: {self:?}", (ended - last) / MS);
        let seen: Vec<String> =
            room.hosts.iter().flat_map(|host| host.seen()).map(|seen| seen.text).collect();
        let received: BTreeSet<u64> =
            seen.iter().filter_map(|text| u64::from_str_radix(text.split(' ').nth(2)?, 16).ok()).collect();
        for (number, sender) in senders.iter().enumerate().filter(|(number, _)| *number != 3) {
            self.check(number, sender, &received);
        }
    }

    /// Each command that went on to a host has its answer, in its place and before an end that is no reset.
    fn check(&self, number: usize, sender: &Sender, received: &BTreeSet<u64>) {
        let mut heard = sender.client.heard();
        let end = heard.pop().unwrap_or_else(|| panic!("client {number} hears nothing: {self:?}"));
        assert!(end == END || heard.is_empty() && end == BROKEN, "client {number}: {heard:?} {end} {self:?}");
        for (id, answer) in sender.ids.iter().zip(&heard) {
            let is_right = *answer == name(*id) || answer.starts_with("-BUSY") || answer == "-ERR failed";
            assert!(is_right, "client {number}: {answer} for {id}: {self:?}");
            let sure = matches!(self.hosts, Hosts::Serve(each) if each * 8 < self.deadline);
            assert!(!sure || answer != "-ERR failed", "client {number}: {id} fails: {self:?}");
        }
        let without: Vec<&u64> =
            sender.ids.iter().skip(heard.len()).filter(|id| received.contains(id)).collect();
        assert!(
            without.is_empty(),
            "client {number}: {without:?} were sent on, and have no answer: {self:?}"
        );
    }
}

#[test]
fn whatever_clients_send_during_a_stop_what_is_sent_on_is_answered_before_its_end() {
    for deadline in [100 * MS, 3 * SECOND] {
        for hosts in [Hosts::Serve(5 * MS), Hosts::Serve(deadline / 2), Hosts::Hang] {
            for every in [7 * MS, 50 * MS] {
                Case { deadline, hosts, every }.play();
            }
        }
    }
}

/// Half a command as connections close: its rest is waited for as long as commands are taken; what comes later crosses
/// the end, and goes nowhere.
#[test]
fn half_a_command_holds_a_connection_until_no_more_are_taken() {
    for (rest, answer) in [(480 * MS, Some(name(1))), (510 * MS, None)] {
        let room = Room::start(Plan::default());
        room.hosts[0].manner(Manner::serve(1, MS));
        let (client, call) = (room.client(), get(1));
        client.say(call.slice(..30));
        room.run_to(TERM);
        room.signal(Signal::Terminate);
        room.run_to(TERM + rest);
        client.say(call.slice(30..));
        room.run(SECOND);
        let expected: Vec<String> = answer.clone().into_iter().chain([END.to_owned()]).collect();
        assert_eq!(client.heard(), expected);
        let sent = room.hosts[0].seen().iter().filter(|seen| seen.text.starts_with("CALL")).count();
        assert_eq!(sent, usize::from(answer.is_some()));
        let end = if answer.is_some() { 480 * MS + 10 * MS } else { 500 * MS };
        assert!(room.ended().is_some_and(|at| at <= TERM + end + 500 * MS), "{:?}", room.ended());
    }
}
