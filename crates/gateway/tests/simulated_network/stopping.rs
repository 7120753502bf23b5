//! Clients that go on as if nothing were while a gateway stops: on connections that they have, and on new ones.

use crate::support::{
    command, format_id, get, Behavior, Client, Setup, SimulatedNetwork, CLOSED, CONNECTION_ERROR,
};
use cluster_model::{MS, SECOND};
use gateway::Signal;
use runtime::Span;
use std::collections::BTreeSet;

const SIGTERM_AT: Span = 500 * MS;
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
    interval: Span,
}

/// A client, and the ids of what it has sent.
struct Sender {
    client: Client,
    ids: Vec<u64>,
}

impl Case {
    fn start(&self) -> SimulatedNetwork {
        let mut setup = Setup { hosts: 4, ..Setup::default() };
        for class in setup.settings["services"].as_array_mut().unwrap() {
            (class["aim"], class["hard-limit"]) = (self.deadline.into(), self.deadline.into());
        }
        let network = SimulatedNetwork::start(setup);
        if let Hosts::Serve(service_time) = self.hosts {
            network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(8, service_time)));
        }
        network
    }

    fn order_call(&self, id: u64) -> bytes::Bytes {
        let list = format!("c=order,t=team,d={},units=1,spread=1,first=0", self.deadline / MS);
        command(&["CALL.POST", &format_id(1), &format_id(id), &list, "body"])
    }

    fn run(&self) {
        let (network, mut ids) = (self.start(), 1..);
        let mut senders: Vec<Sender> =
            (0..3).map(|_| Sender { client: network.client(), ids: Vec::new() }).collect();
        // One never takes an answer.
        senders.push(Sender { client: network.client_with_read_limit(0), ids: Vec::new() });
        for (after, signal) in [
            (0, Signal::Terminate),
            (100 * MS, Signal::Terminate),
            (200 * MS, Signal::Reload),
            (470 * MS, Signal::Reload),
            (550 * MS, Signal::Terminate),
        ] {
            let signals = network.signal_sender();
            network.schedule(SIGTERM_AT + after, move |_| {
                let _ = signals.send(signal);
            });
        }
        network.run_until(SIGTERM_AT - self.interval);
        let last = SIGTERM_AT + self.deadline + AFTER_DEADLINE;
        while network.now() < last {
            for sender in &mut senders {
                let id = ids.next().unwrap();
                sender.client.send(self.order_call(id));
                sender.ids.push(id);
            }
            senders.push(Sender { client: network.client(), ids: Vec::new() });
            network.run_for(self.interval);
        }
        network.run_for(2 * SECOND);
        let ended = network.ended_at().expect("it goes on");
        assert!(ended <= last, "{} ms late: {self:?}", (ended - last) / MS);
        let received: Vec<String> = network
            .hosts
            .iter()
            .flat_map(|host| host.take_received())
            .map(|received| received.text)
            .collect();
        let received: BTreeSet<u64> = received
            .iter()
            .filter_map(|text| u64::from_str_radix(text.split(' ').nth(2)?, 16).ok())
            .collect();
        for (number, sender) in senders.iter().enumerate().filter(|(number, _)| *number != 3) {
            self.check(number, sender, &received);
        }
    }

    /// Each command that went on to a host has its answer, in its place and before an end that is no reset.
    fn check(&self, number: usize, sender: &Sender, received: &BTreeSet<u64>) {
        let mut replies = sender.client.take_replies();
        let end = replies.pop().unwrap_or_else(|| panic!("client {number} hears nothing: {self:?}"));
        assert!(
            end == CLOSED || replies.is_empty() && end == CONNECTION_ERROR,
            "client {number}: {replies:?} {end} {self:?}"
        );
        for (id, answer) in sender.ids.iter().zip(&replies) {
            let is_right =
                *answer == format_id(*id) || answer.starts_with("-BUSY") || answer == "-ERR failed";
            assert!(is_right, "client {number}: {answer} for {id}: {self:?}");
            let must_succeed =
                matches!(self.hosts, Hosts::Serve(service_time) if service_time * 8 < self.deadline);
            assert!(!must_succeed || answer != "-ERR failed", "client {number}: {id} fails: {self:?}");
        }
        let unanswered: Vec<&u64> =
            sender.ids.iter().skip(replies.len()).filter(|id| received.contains(id)).collect();
        assert!(
            unanswered.is_empty(),
            "client {number}: {unanswered:?} were sent on, and have no answer: {self:?}"
        );
    }
}

#[test]
fn whatever_clients_send_during_a_stop_what_is_sent_on_is_answered_before_its_end() {
    for deadline in [100 * MS, 3 * SECOND] {
        for hosts in [Hosts::Serve(5 * MS), Hosts::Serve(deadline / 2), Hosts::Hang] {
            for interval in [7 * MS, 50 * MS] {
                Case { deadline, hosts, interval }.run();
            }
        }
    }
}

/// Half a command as connections close: its rest is waited for as long as commands are taken; what comes later crosses
/// the end, and goes nowhere.
#[test]
fn half_a_command_holds_a_connection_until_no_more_are_taken() {
    for (rest, answer) in [(480 * MS, Some(format_id(1))), (510 * MS, None)] {
        let network = SimulatedNetwork::start(Setup::default());
        network.hosts[0].set_behavior(Behavior::serve(1, MS));
        let (client, call) = (network.client(), get(1));
        client.send(call.slice(..30));
        network.run_until(SIGTERM_AT);
        network.signal(Signal::Terminate);
        network.run_until(SIGTERM_AT + rest);
        client.send(call.slice(30..));
        network.run_for(SECOND);
        let expected: Vec<String> = answer.clone().into_iter().chain([CLOSED.to_owned()]).collect();
        assert_eq!(client.take_replies(), expected);
        let sent = network.hosts[0]
            .take_received()
            .iter()
            .filter(|received| received.text.starts_with("CALL"))
            .count();
        assert_eq!(sent, usize::from(answer.is_some()));
        let end = if answer.is_some() { 480 * MS + 10 * MS } else { 500 * MS };
        assert!(
            network.ended_at().is_some_and(|at| at <= SIGTERM_AT + end + 500 * MS),
            "{:?}",
            network.ended_at()
        );
    }
}
