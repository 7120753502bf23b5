//! Clients that keep sending during a graceful shutdown, on existing and on new connections.

use crate::support::{
    command, format_id, get, Behavior, Client, Setup, SimulatedNetwork, CLOSED, CONNECTION_ERROR,
};
use cluster_model::{MS, SECOND};
use gateway::Signal;
use runtime::Span;
use std::collections::BTreeSet;

const SIGTERM_AT: Span = 500 * MS;
/// Time after the longest deadline by which the process has to end, before a SIGKILL may arrive.
const AFTER_DEADLINE: Span = 600 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Hosts {
    /// Each command takes this long.
    Serve(Span),
    Hang,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    deadline: Span,
    hosts: Hosts,
    /// Interval between commands, and between new connections.
    interval: Span,
}

/// A client, and the ids of the calls that it has sent.
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
        // One client never reads a reply.
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
        let ended = network.ended_at().expect("the gateway has not ended");
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

    /// Checks that each command that was forwarded to a host has its reply, in order and before an end of the connection
    /// that is not a reset.
    fn check(&self, number: usize, sender: &Sender, received: &BTreeSet<u64>) {
        let mut replies = sender.client.take_replies();
        let end = replies.pop().unwrap_or_else(|| panic!("client {number} received nothing: {self:?}"));
        assert!(
            end == CLOSED || replies.is_empty() && end == CONNECTION_ERROR,
            "client {number}: {replies:?} {end} {self:?}"
        );
        for (id, reply) in sender.ids.iter().zip(&replies) {
            let is_expected =
                *reply == format_id(*id) || reply.starts_with("-BUSY") || reply == "-ERR failed";
            assert!(is_expected, "client {number}: {reply} for {id}: {self:?}");
            let must_succeed =
                matches!(self.hosts, Hosts::Serve(service_time) if service_time * 8 < self.deadline);
            assert!(!must_succeed || reply != "-ERR failed", "client {number}: {id} fails: {self:?}");
        }
        let unanswered: Vec<&u64> =
            sender.ids.iter().skip(replies.len()).filter(|id| received.contains(id)).collect();
        assert!(
            unanswered.is_empty(),
            "client {number}: {unanswered:?} were forwarded, and have no reply: {self:?}"
        );
    }
}

#[test]
fn every_call_forwarded_during_a_shutdown_is_answered_before_its_connection_closes() {
    for deadline in [100 * MS, 3 * SECOND] {
        for hosts in [Hosts::Serve(5 * MS), Hosts::Serve(deadline / 2), Hosts::Hang] {
            for interval in [7 * MS, 50 * MS] {
                Case { deadline, hosts, interval }.run();
            }
        }
    }
}

/// When connections close with half a command received, the gateway waits for the rest as long as it accepts commands. A
/// rest that arrives later crosses the close of the connection, and is not forwarded.
#[test]
fn half_a_command_keeps_a_connection_open_until_no_more_commands_are_accepted() {
    for (rest, reply) in [(480 * MS, Some(format_id(1))), (510 * MS, None)] {
        let network = SimulatedNetwork::start(Setup::default());
        network.hosts[0].set_behavior(Behavior::serve(1, MS));
        let (client, call) = (network.client(), get(1));
        client.send(call.slice(..30));
        network.run_until(SIGTERM_AT);
        network.signal(Signal::Terminate);
        network.run_until(SIGTERM_AT + rest);
        client.send(call.slice(30..));
        network.run_for(SECOND);
        let expected: Vec<String> = reply.clone().into_iter().chain([CLOSED.to_owned()]).collect();
        assert_eq!(client.take_replies(), expected);
        let sent = network.hosts[0]
            .take_received()
            .iter()
            .filter(|received| received.text.starts_with("CALL"))
            .count();
        assert_eq!(sent, usize::from(reply.is_some()));
        let end = if reply.is_some() { 480 * MS + 10 * MS } else { 500 * MS };
        assert!(
            network.ended_at().is_some_and(|at| at <= SIGTERM_AT + end + 500 * MS),
            "{:?}",
            network.ended_at()
        );
    }
}
