//! Clients that keep sending during a graceful shutdown, on existing and on new connections.

use crate::support::{
    command, format_id, Behavior, Client, Setup, SimulatedNetwork, CLOSED, CONNECTION_ERROR,
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

/// A client that writes a command in two pieces around a shutdown, on a connection that has carried one before. Times
/// count from SIGTERM.
#[derive(Clone, Copy, Debug)]
struct SlowCommand {
    deadline: Span,
    begun_at: Span,
    /// When the rest is written; `None` if it never is.
    rest_at: Option<Span>,
    /// The reply, and when it arrives.
    expected: (&'static str, Span),
}

impl SlowCommand {
    fn run(&self) {
        let case = Case { deadline: self.deadline, hosts: Hosts::Serve(MS), interval: 0 };
        let network = case.start();
        let (client, order) = (network.client(), case.order_call(1));
        let signals = network.signal_sender();
        network.schedule(SIGTERM_AT, move |_| signals.send(Signal::Terminate).unwrap());
        client.send(case.order_call(0));
        network.run_until(SIGTERM_AT + self.begun_at);
        assert_eq!(client.take_replies(), [format_id(0)]);
        client.send(order.slice(..30));
        if let Some(rest_at) = self.rest_at {
            network.run_until(SIGTERM_AT + rest_at);
            client.send(order.slice(30..));
        }
        network.run_until(SIGTERM_AT + self.deadline + 2 * SECOND);
        let (text, expected_at) = self.expected;
        let replies = client.take_timed_replies();
        let [(replied_at, reply), (_, end)] = &replies[..] else { panic!("{replies:?}: {self:?}") };
        assert!(reply.starts_with(text) && end == CLOSED, "{replies:?}: {self:?}");
        let delay = replied_at.checked_sub(SIGTERM_AT + expected_at);
        assert!(delay.is_some_and(|delay| delay <= 10 * MS), "{replies:?}: {self:?}");
        let received = network.hosts.iter().flat_map(|host| host.take_received());
        let forwarded = received.filter(|received| received.text.starts_with("CALL")).count();
        assert_eq!(forwarded, 1 + usize::from(*reply == format_id(1)), "{self:?}");
        let ended = network.ended_at().expect("the gateway has not ended") - SIGTERM_AT;
        assert!(ended <= self.deadline + AFTER_DEADLINE, "ended after {} ms: {self:?}", ended / MS);
        assert!(ended <= expected_at + 510 * MS, "ended after {} ms: {self:?}", ended / MS);
    }
}

/// Guards against commands that were never answered because their first bytes were read during a graceful shutdown, and
/// the rest arrived after the gateway had stopped to admit requests: the connection was closed in the middle of them. The
/// rest has the usual time of two seconds. If the process ends before, the client gets an error.
#[test]
fn a_command_that_has_begun_to_arrive_is_answered_during_a_shutdown() {
    let (served, rejected) = ("0000000000000001", "-BUSY");
    let (late, ending) =
        ("-ERR protocol error: command not whole in time", "-ERR protocol error: command not whole");
    let long = 3 * SECOND;
    for (deadline, begun_at, rest_at, expected) in [
        (long, 0, Some(480 * MS), (served, 480 * MS)),
        (long, 0, Some(510 * MS), (rejected, 510 * MS)),
        (long, 440 * MS, Some(510 * MS), (rejected, 510 * MS)),
        (long, 440 * MS, Some(2_430 * MS), (rejected, 2_430 * MS)),
        (long, 440 * MS, None, (late, 2_440 * MS)),
        (100 * MS, 440 * MS, Some(590 * MS), (rejected, 590 * MS)),
        (100 * MS, 440 * MS, Some(650 * MS), (ending, 600 * MS)),
        (100 * MS, 440 * MS, None, (ending, 600 * MS)),
    ] {
        SlowCommand { deadline, begun_at, rest_at, expected }.run();
    }
}

/// As above, for a command that begins to arrive when requests are no longer admitted, on a connection that is open
/// because an earlier request is in flight.
#[test]
fn a_command_that_begins_to_arrive_behind_a_request_in_flight_is_answered_during_a_shutdown() {
    let case = Case { deadline: 3 * SECOND, hosts: Hosts::Serve(700 * MS), interval: 0 };
    let network = case.start();
    let client = network.client();
    network.run_until(SIGTERM_AT - MS);
    client.send(case.order_call(1));
    network.run_until(SIGTERM_AT);
    network.signal(Signal::Terminate);
    network.run_until(SIGTERM_AT + 600 * MS);
    let second = case.order_call(2);
    client.send(second.slice(..30));
    network.run_until(SIGTERM_AT + 900 * MS);
    assert_eq!(client.take_replies(), [format_id(1)]);
    client.send(second.slice(30..));
    network.run_for(SECOND);
    assert_eq!(client.take_replies(), ["-BUSY", CLOSED]);
    assert!(network.ended_at().is_some_and(|at| at <= SIGTERM_AT + 900 * MS + 510 * MS));
}
