//! How attempts end: with a response in time, late, incomplete or invalid, with a failed connection, or never; and what
//! follows for safe requests, for keyed ones, whose duplicates hosts drop within a window, and for unsafe ones.

use crate::connections::{connection_numbers, lose_connection_requests, reset_connections};
use crate::host_races::calls;
use crate::support::{
    endpoint_list, format_id, get, host_entry, post, value_reply, Action, Behavior, Client, Received, Setup,
    SimulatedNetwork, TimedActions, CLIENT_DELAY, CLOSED, HOST_DELAY, LOCAL_DELAY,
};
use bytes::Bytes;
use cluster_model::{MS, SECOND};
use runtime::Span;
use serde_json::Value;
use simulated_runtime::What;

/// Time after its arrival by which a request has to be answered.
const LATENCY_OBJECTIVE: Span = 8 * SECOND;

/// What a duplicate execution of a request means.
#[derive(Clone, Copy, Debug)]
enum Semantics {
    Safe,
    /// Hosts drop duplicates for this long.
    Keyed(Span),
    Unsafe,
}

const ALL_SEMANTICS: [Semantics; 4] =
    [Semantics::Safe, Semantics::Keyed(300 * MS), Semantics::Keyed(6 * SECOND), Semantics::Unsafe];

impl Semantics {
    /// Returns a setup of two hosts, of which only the first is in service at the start.
    fn setup(self) -> Setup {
        let mut setup =
            Setup { hosts: 2, initial_list: (1, vec!["in_service", "terminating"]), ..Setup::default() };
        if let Semantics::Keyed(window) = self {
            let order = &mut setup.settings["services"][1];
            order["semantics"] = "keyed".into();
            order["dedup-scope"] = "all".into();
            order["key-ttl"] = window.into();
        }
        setup
    }

    fn call(self, id: u64) -> Bytes {
        match self {
            Semantics::Safe => get(id),
            _ => post(id, 1, 1.0),
        }
    }

    /// Returns whether a request is retried whose attempt failed this long after its start.
    fn is_retried(self, after: Span) -> bool {
        match self {
            Semantics::Safe => after < LATENCY_OBJECTIVE,
            Semantics::Keyed(window) => after < window - (100 * MS).max(window / 10),
            Semantics::Unsafe => false,
        }
    }

    /// Returns the reply to a request that may have been executed and is not retried.
    fn failure(self) -> String {
        match self {
            Semantics::Unsafe => "-ERR failed",
            _ => "-BUSY",
        }
        .to_owned()
    }
}

/// Reports these lifecycle states of the hosts from now on.
fn set_lifecycles(network: &SimulatedNetwork, version: u64, states: [&str; 2]) {
    let entries: Vec<Value> =
        (0..2).map(|number| host_entry(&network.hosts, number, states[number])).collect();
    network.discovery.send_list(0, &endpoint_list(version, false, &entries));
    network.run_for(LOCAL_DELAY);
}

fn half() -> Action {
    Action::Write(value_reply("half of it").slice(..12))
}

fn write(text: &str) -> Action {
    Action::Write(text.to_owned().into())
}

/// Delay of a host's first bytes; the other host is in service by then.
const RESPONSE_DELAY: Span = 20 * MS;

/// Returns the cases: a description, the host's response, and the time after the request at which its attempt has failed.
fn failures() -> Vec<(&'static str, TimedActions, Span)> {
    let endless_response = std::iter::once((RESPONSE_DELAY, write("*3\r\n$60000\r\n")));
    let endless_response =
        endless_response.chain((1..100).map(|n| (RESPONSE_DELAY + n * 100 * MS, write("x")))).collect();
    vec![
        ("an error", vec![(RESPONSE_DELAY, write("-ERR failed\r\n"))], RESPONSE_DELAY),
        ("an unexpected reply type", vec![(RESPONSE_DELAY, write("+OK\r\n"))], RESPONSE_DELAY),
        ("no value", vec![(RESPONSE_DELAY, write("*3\r\n$-1\r\n$-1\r\n$-1\r\n"))], RESPONSE_DELAY),
        ("a value too long", vec![(RESPONSE_DELAY, write("*3\r\n$65537\r\n"))], RESPONSE_DELAY),
        ("too many parts", vec![(RESPONSE_DELAY, write("*17\r\n"))], RESPONSE_DELAY),
        (
            "half a response, then a close",
            vec![(RESPONSE_DELAY, half()), (2 * RESPONSE_DELAY, Action::Close)],
            2 * RESPONSE_DELAY,
        ),
        (
            "half a response, then a reset",
            vec![(RESPONSE_DELAY, half()), (2 * RESPONSE_DELAY, Action::Reset)],
            2 * RESPONSE_DELAY,
        ),
        ("half a response and no more", vec![(RESPONSE_DELAY, half())], RESPONSE_DELAY + 200 * MS),
        (
            "half a response and the rest too late",
            vec![(RESPONSE_DELAY, half()), (500 * MS, write("rest"))],
            RESPONSE_DELAY + 200 * MS,
        ),
        ("a close after 5 s", vec![(5 * SECOND, Action::Close)], 5 * SECOND),
        ("a reset after 5 s", vec![(5 * SECOND, Action::Reset)], 5 * SECOND),
        ("half a response after 5 s", vec![(5 * SECOND, half())], 5 * SECOND + 200 * MS),
        ("a response that never ends", endless_response, LATENCY_OBJECTIVE),
        ("no response", vec![], LATENCY_OBJECTIVE),
        (
            "a response that arrives too late",
            vec![(9 * SECOND, Action::Write(value_reply("late")))],
            LATENCY_OBJECTIVE,
        ),
    ]
}

#[test]
fn a_failed_attempt_is_retried_only_where_its_semantics_and_window_allow_it() {
    for (semantics, number) in
        ALL_SEMANTICS.iter().flat_map(|semantics| (0..failures().len()).map(move |n| (*semantics, n)))
    {
        let (description, mut actions, after) = failures().remove(number);
        let network = SimulatedNetwork::start(semantics.setup());
        let (host, other) = (&network.hosts[0], &network.hosts[1]);
        host.set_behavior(Behavior::script(move |_, _| std::mem::take(&mut actions)));
        other.set_behavior(Behavior::serve(1, 0));
        network.run_until(10 * MS);
        let client = network.client_with_call(semantics.call(1), usize::MAX);
        network.run_for(10 * MS);
        let [sent] = &calls(host)[..] else { panic!("one attempt") };
        set_lifecycles(&network, 2, ["in_service", "in_service"]);
        network.run_until(12 * SECOND);
        // The attempt started when its connection was requested, two host delays before.
        let started_at = sent.sent - 2 * HOST_DELAY;
        let is_retried = semantics.is_retried(sent.at + after + HOST_DELAY - started_at);
        let retries = calls(other);
        assert_eq!(retries.len(), usize::from(is_retried), "{semantics:?}, {description}: {retries:?}");
        // The retry carries the deadline that remained when it was written.
        assert!(
            retries.iter().all(|received| deadline_at_host_ms(received)
                == (started_at + LATENCY_OBJECTIVE - received.sent) / MS),
            "{description}: {retries:?}"
        );
        if let Semantics::Keyed(window) = semantics {
            assert!(
                retries.iter().all(|received| received.at < started_at + window),
                "{semantics:?}, {description}: {retries:?}"
            );
        }
        let answer = if is_retried { format_id(1) } else { semantics.failure() };
        assert_eq!(client.take_replies(), [answer], "{semantics:?}, {description}");
        assert!(calls(host).is_empty(), "{semantics:?}, {description}");
        assert_eq!(host.connection_count(), 1, "{semantics:?}, {description}");
    }
}

/// Returns the remaining deadline that an attempt carries, in milliseconds.
fn deadline_at_host_ms(received: &Received) -> Span {
    let list = received.text.split(' ').find(|word| word.starts_with("c=")).unwrap();
    list.split(',').find_map(|pair| pair.strip_prefix("d=")).unwrap().parse().unwrap()
}

/// An attempt's deadline expires 1 ns after its response arrives, at the same instant, and 1 ns before.
#[test]
fn a_response_that_races_with_the_deadline_of_its_attempt_gives_one_reply() {
    for (semantics, offset) in
        ALL_SEMANTICS.iter().flat_map(|semantics| [-1_i64, 0, 1].map(|offset| (*semantics, offset)))
    {
        let network = SimulatedNetwork::start(semantics.setup());
        let (host, other) = (&network.hosts[0], &network.hosts[1]);
        network.run_until(10 * MS);
        let client = network.client_with_call(semantics.call(1), usize::MAX);
        network.run_for(10 * MS);
        let sent = host.take_single();
        set_lifecycles(&network, 2, ["in_service", "in_service"]);
        let expires_at = sent.sent - 2 * HOST_DELAY + LATENCY_OBJECTIVE;
        network.run_until(expires_at.saturating_add_signed(offset) - HOST_DELAY);
        host.send(sent.connection, value_reply("answer"));
        network.run_for(SECOND);
        let replies = client.take_replies();
        let is_served = replies == ["answer"];
        assert!(is_served || replies == [semantics.failure()], "{semantics:?}, {offset}: {replies:?}");
        assert!(offset == 0 || is_served == (offset < 0), "{semantics:?}, {offset}: {replies:?}");
        assert_eq!(other.connection_count(), 0, "{semantics:?}, {offset}");
        // Whichever came first, the next request gets its own response.
        network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(1, 0)));
        let client = network.client_with_call(semantics.call(2), usize::MAX);
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(2)], "{semantics:?}, {offset}");
    }
}

/// An incomplete response is abandoned 0.2 s after its last byte: the rest arrives 1 ns before, at that instant, 1 ns
/// after.
#[test]
fn the_rest_of_a_response_that_races_with_its_abandonment_gives_one_reply() {
    let answer = value_reply("whole");
    for (semantics, offset) in
        ALL_SEMANTICS.iter().flat_map(|semantics| [-1_i64, 0, 1].map(|offset| (*semantics, offset)))
    {
        let network = SimulatedNetwork::start(semantics.setup());
        let (host, other) = (&network.hosts[0], &network.hosts[1]);
        other.set_behavior(Behavior::serve(1, 0));
        network.run_until(10 * MS);
        let client = network.client_with_call(semantics.call(1), usize::MAX);
        network.run_for(10 * MS);
        let sent = host.take_single();
        set_lifecycles(&network, 2, ["in_service", "in_service"]);
        host.send(0, answer.slice(..12));
        network.run_for((200 * MS).saturating_add_signed(offset));
        let after = network.now() + HOST_DELAY - (sent.sent - 2 * HOST_DELAY);
        host.send(0, answer.slice(12..));
        network.run_for(SECOND);
        let is_retried = semantics.is_retried(after);
        let reply_after_failure = if is_retried { format_id(1) } else { semantics.failure() };
        let (replies, retries) = (client.take_replies(), calls(other).len());
        let is_complete = replies == ["whole"];
        assert!(is_complete || replies == [reply_after_failure], "{semantics:?}, {offset}: {replies:?}");
        assert!(offset == 0 || is_complete == (offset < 0), "{semantics:?}, {offset}: {replies:?}");
        assert_eq!(retries, usize::from(is_retried && !is_complete), "{semantics:?}, {offset}");
    }
}

/// A connection is established 1 ns before its dial timeout, at that instant, 1 ns after.
#[test]
fn a_connection_that_races_with_its_dial_timeout_carries_its_request_or_nothing() {
    for (semantics, offset) in
        ALL_SEMANTICS.iter().flat_map(|semantics| [-1_i64, 0, 1].map(|offset| (*semantics, offset)))
    {
        let mut setup = semantics.setup();
        let late = SECOND + 2 * HOST_DELAY;
        setup.settings["allowed"]["dial-timeout"] = late.saturating_add_signed(-offset).into();
        let network = SimulatedNetwork::start(setup);
        let host = &network.hosts[0];
        host.set_behavior(Behavior::serve(1, 0));
        let client = network.client();
        network.run_until(10 * MS);
        client.send(semantics.call(1));
        network.run_for(CLIENT_DELAY);
        let up = network.now() + late;
        lose_connection_requests(&network, host);
        network.run_for(3 * SECOND);
        assert_eq!(client.take_replies(), [format_id(1)], "{semantics:?}, {offset}");
        let [received] = &calls(host)[..] else { panic!("{semantics:?}, {offset}: once") };
        let is_first = received.sent == up;
        assert!(is_first || received.sent > up, "{semantics:?}, {offset}: {received:?}");
        assert!(offset == 0 || is_first == (offset < 0), "{semantics:?}, {offset}: {received:?}");
    }
}

/// The decision module cancels a safe attempt that hangs, and starts another; the response to the first arrives 1 ns
/// before the cancellation, at that instant, 1 ns after.
#[test]
fn a_response_that_races_with_the_cancellation_of_its_attempt_gives_one_reply() {
    let run = |responds_at: Option<Span>| {
        let mut setup = Semantics::Safe.setup();
        setup.settings["allowed"]["cancel"] = true.into();
        let network = SimulatedNetwork::start(setup);
        observe_short_latency(&network);
        let (host, other, trace) = (&network.hosts[0], &network.hosts[1], network.trace_packets());
        let client = network.client_with_call(get(1), usize::MAX);
        network.run_for(3 * CLIENT_DELAY + 3 * HOST_DELAY);
        assert_eq!(calls(host).len(), 1);
        set_lifecycles(&network, 4, ["in_service", "in_service"]);
        if let Some(at) = responds_at {
            network.run_until(at - HOST_DELAY);
            host.send(0, value_reply("first"));
        }
        network.run_for(SECOND);
        let cancelled_at = trace.arrivals("gateway", "host 0", &What::Fin).first().map(|at| at - HOST_DELAY);
        (cancelled_at, client.take_replies(), calls(other).len())
    };
    let (cancelled_at, replies, retries) = run(None);
    assert_eq!((replies, retries), (vec![format_id(1)], 1));
    let cancelled_at = cancelled_at.expect("its connection closes");
    for offset in [-1_i64, 0, 1] {
        let (_, replies, retries) = run(Some(cancelled_at.saturating_add_signed(offset)));
        let is_first = replies == ["first"];
        assert!(is_first || replies == [format_id(1)], "{offset}: {replies:?}");
        assert!(offset == 0 || is_first == (offset < 0), "{offset}: {replies:?}");
        assert_eq!(retries, usize::from(!is_first), "{offset}");
    }
}

/// Sets a window with which a connection accepts all but the last bytes of this call while its host does not read.
fn with_small_window(mut setup: Setup, call: &Bytes) -> Setup {
    setup.network.window = call.len() as u32 - 10;
    setup
}

/// The first host serves a request on a connection and then stops reading, so that all but the last bytes of the next
/// request are written to it. Returns the client, and when the attempt of that request started.
fn write_part_of_request(network: &SimulatedNetwork, semantics: Semantics) -> (Client, Span) {
    let (host, client) = (&network.hosts[0], network.client_with_call(semantics.call(1), usize::MAX));
    host.set_behavior(Behavior::serve(1, 0));
    // Calls differ in the remaining deadline that they carry, but not in its number of digits.
    host.set_read_limit(semantics.call(1).len());
    network.run_for(100 * MS);
    assert_eq!((client.take_replies(), calls(host).len()), (vec![format_id(1)], 1));
    host.set_read_limit(usize::MAX);
    client.send(semantics.call(2));
    // The last bytes of the call arrive once the first have been read.
    network.run_for(2 * CLIENT_DELAY);
    (client, network.now())
}

#[test]
fn a_partly_written_request_is_not_resent_after_a_reset_at_its_deadline() {
    for (semantics, offset) in
        ALL_SEMANTICS.iter().flat_map(|semantics| [-1_i64, 0, 1].map(|offset| (*semantics, offset)))
    {
        let network = SimulatedNetwork::start(with_small_window(semantics.setup(), &semantics.call(1)));
        network.run_until(10 * MS);
        let host = &network.hosts[0];
        let (client, started_at) = write_part_of_request(&network, semantics);
        network.run_until((started_at + LATENCY_OBJECTIVE).saturating_add_signed(offset));
        reset_connections(&network, host);
        host.read_all();
        network.run_for(SECOND);
        assert_eq!(calls(host), [], "{semantics:?}, {offset}");
        let replies = client.take_timed_replies();
        assert_eq!(
            replies,
            [(started_at + LATENCY_OBJECTIVE + CLIENT_DELAY, "-BUSY".to_owned())],
            "{semantics:?}, {offset}: it was never executed"
        );
    }
}

/// Routes reads to the first host only, and all other requests to both hosts.
const READS_TO_FIRST_HOST: &str =
    "pool \"first\" {\nids = \"s-0\"\n}\npool \"all\" {\nids = [\"s-0\", \"s-1\"]\n}\n\
    route \"reads\" {\nclasses = \"read\"\npool = \"first\"\n}\nroute \"rest\" {\npool = \"all\"\n}\n";

/// A keyed request is written until 100 ms before the end of its window, to leave time for its last bytes to arrive.
#[test]
fn a_partly_written_keyed_request_is_not_resent_after_its_deduplication_window() {
    let window = SECOND;
    let call = post(1, 1, 1.0);
    for (offset, is_resent) in [(-400 * MS as i64, true), (-1, false), (0, false), (1, false)] {
        let mut setup = with_small_window(Semantics::Keyed(window).setup(), &call);
        setup.operators = READS_TO_FIRST_HOST.into();
        let network = SimulatedNetwork::start(setup);
        let (host, other, client) = (&network.hosts[0], &network.hosts[1], network.client());
        network.run_until(10 * MS);
        // One read is in flight at the first host, so that the next request for both hosts goes to the second.
        let _reader = network.client_with_call(get(9), usize::MAX);
        network.run_for(10 * MS);
        host.set_behavior(Behavior::serve(1, 0));
        host.set_read_limit(call.len());
        client.post(1);
        network.run_for(100 * MS);
        assert_eq!(
            (client.take_replies(), connection_numbers(&calls(host))),
            (vec![format_id(1)], vec![0, 1])
        );
        host.set_read_limit(usize::MAX);
        set_lifecycles(&network, 2, ["in_service", "in_service"]);
        other.set_behavior(Behavior::script(|_, _| vec![(0, write("-ERR failed\r\n"))]));
        client.post(2);
        network.run_for(2 * CLIENT_DELAY);
        let started_at = network.now();
        network.run_for(50 * MS);
        assert_eq!((calls(other).len(), calls(host).len(), host.connection_count()), (1, 0, 2));
        let write_deadline = started_at + window - 100 * MS;
        network.run_until(write_deadline.saturating_add_signed(offset));
        reset_connections(&network, host);
        host.read_all();
        network.run_for(SECOND);
        let retries = calls(host).into_iter().filter(|received| received.text.contains(&format_id(2)));
        let retries: Vec<Received> = retries.collect();
        assert_eq!(retries.len(), usize::from(is_resent), "{offset}: {retries:?}");
        let answers = client.take_timed_replies();
        let [(at, answer)] = &answers[..] else { panic!("{offset}: {answers:?}") };
        assert_eq!(*answer, if is_resent { format_id(2) } else { "-BUSY".to_owned() }, "{offset}");
        assert!(*at <= write_deadline + 10 * MS, "{offset}: rejected as soon as no retry is possible: {at}");
    }
}

/// Starts a network in which hedged requests are allowed, and responses have been quick so far, so that a request which
/// takes longer is hedged.
fn start_with_hedging(mut setup: Setup) -> SimulatedNetwork {
    setup.settings["allowed"]["may-duplicate"] = true.into();
    setup.settings["allowed"]["max-attempts"] = 2.into();
    setup.settings["allowed"]["dial-timeout"] = (4 * SECOND).into();
    let network = SimulatedNetwork::start(setup);
    observe_short_latency(&network);
    network
}

/// Has the second host alone answer 40 requests without delay; then only the first one is in service.
fn observe_short_latency(network: &SimulatedNetwork) {
    let other = &network.hosts[1];
    other.set_behavior(Behavior::serve(1, 0));
    network.run_until(10 * MS);
    set_lifecycles(network, 2, ["terminating", "in_service"]);
    let client = network.client();
    for id in 1_000..1_040 {
        client.get(id);
        network.run_for(10 * MS);
    }
    assert_eq!((client.take_replies().len(), calls(other).len()), (40, 40));
    set_lifecycles(network, 3, ["in_service", "terminating"]);
}

/// What the host does that has received part of a request, after the request was hedged at the other host.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HostAction {
    /// Its connection is reset, before or after the hedged attempt is answered.
    Reset,
    /// It reads the rest.
    Reads,
}

#[test]
fn a_partly_written_request_is_not_resent_once_its_hedged_attempt_is_answered() {
    for (host_action, is_answered) in
        [(HostAction::Reset, true), (HostAction::Reads, true), (HostAction::Reset, false)]
    {
        let network = start_with_hedging(with_small_window(Semantics::Safe.setup(), &get(1)));
        let (host, other) = (&network.hosts[0], &network.hosts[1]);
        let (client, _) = write_part_of_request(&network, Semantics::Safe);
        if !is_answered {
            other.set_behavior(Behavior::Manual);
        }
        set_lifecycles(&network, 4, ["in_service", "in_service"]);
        network.run_for(SECOND);
        let hedged_attempts = calls(other);
        assert_eq!(hedged_attempts.len(), 1, "{host_action:?}: one hedged attempt");
        assert_eq!(client.take_replies().len(), usize::from(is_answered));
        match host_action {
            HostAction::Reset => reset_connections(&network, host),
            HostAction::Reads => {}
        }
        host.read_all();
        network.run_for(100 * MS);
        if !is_answered {
            other.send(hedged_attempts[0].connection, value_reply("late"));
        }
        network.run_for(10 * SECOND);
        let expected = if is_answered { vec![] } else { vec![1] };
        assert_eq!(connection_numbers(&calls(host)), expected, "{host_action:?}, answered: {is_answered}");
        let replies = if is_answered { vec![] } else { vec![format_id(2)] };
        assert_eq!(client.take_replies(), replies, "{host_action:?}, answered: {is_answered}");
    }
}

/// The connection to the first host is established a second late. If the request was hedged meanwhile and answered,
/// nothing is written to that connection.
#[test]
fn a_connection_established_after_the_hedged_attempt_was_answered_carries_nothing() {
    for (semantics, is_hedged) in
        ALL_SEMANTICS.map(|semantics| (semantics, matches!(semantics, Semantics::Safe)))
    {
        let network = start_with_hedging(semantics.setup());
        let (host, other) = (&network.hosts[0], &network.hosts[1]);
        host.set_behavior(Behavior::serve(1, 0));
        let client = network.client();
        network.run_for(10 * MS);
        client.send(semantics.call(1));
        network.run_for(CLIENT_DELAY);
        lose_connection_requests(&network, host);
        set_lifecycles(&network, 4, ["in_service", "in_service"]);
        network.run_for(500 * MS);
        assert_eq!(calls(other).len(), usize::from(is_hedged), "{semantics:?}");
        assert_eq!(client.take_replies().len(), usize::from(is_hedged), "{semantics:?}");
        network.run_for(2 * SECOND);
        let late = calls(host);
        assert_eq!((late.len(), host.connection_count()), (usize::from(!is_hedged), 1), "{semantics:?}");
        assert!(
            late.iter().all(|received| deadline_at_host_ms(received)
                == (LATENCY_OBJECTIVE - SECOND - 2 * HOST_DELAY) / MS),
            "{semantics:?}: {late:?}"
        );
        assert_eq!(client.take_replies().len(), usize::from(!is_hedged), "{semantics:?}");
        assert!(calls(other).is_empty(), "{semantics:?}");
    }
}

/// A host hangs while executing a request and recovers; meanwhile discovery reports that it restarted, or that another
/// host has its address. Its response answers its own request, as long as that one waits, and no other.
#[test]
fn a_host_that_recovers_as_restarted_or_renamed_answers_only_its_own_request() {
    for (semantics, is_abandoned) in
        ALL_SEMANTICS.iter().flat_map(|semantics| [false, true].map(|abandoned| (*semantics, abandoned)))
    {
        for is_renamed in [false, true] {
            let network = SimulatedNetwork::start(semantics.setup());
            let host = &network.hosts[0];
            network.run_until(10 * MS);
            let client = network.client_with_call(semantics.call(1), usize::MAX);
            network.run_for(10 * MS);
            assert_eq!(connection_numbers(&calls(host)), [0]);
            let mut started = host_entry(&network.hosts, 0, "in_service");
            match is_renamed {
                true => started["instanceId"] = "s-9".into(),
                false => started["startedAtMs"] = 1_000.into(),
            }
            network.discovery.send_list(0, &endpoint_list(2, true, &[started]));
            network.run_until(if is_abandoned { 9 * SECOND } else { SECOND });
            let next = network.client_with_call(semantics.call(2), usize::MAX);
            network.run_for(10 * MS);
            assert_eq!(connection_numbers(&calls(host)), [1]);
            host.send(0, value_reply("of the first"));
            network.run_for(10 * MS);
            host.send(1, value_reply("of the second"));
            network.run_for(10 * MS);
            let first = if is_abandoned { semantics.failure() } else { "of the first".to_owned() };
            let case = format!("{semantics:?}, abandoned: {is_abandoned}, renamed: {is_renamed}");
            assert_eq!(
                (client.take_replies(), next.take_replies()),
                (vec![first], vec!["of the second".to_owned()]),
                "{case}"
            );
            // The old connection closes when its attempt was abandoned, or after its response.
            let ends = host.take_received().into_iter().map(|received| (received.connection, received.text));
            let expected = (!is_abandoned).then(|| (0, CLOSED.to_owned()));
            assert_eq!(ends.collect::<Vec<_>>(), expected.into_iter().collect::<Vec<_>>(), "{case}");
        }
    }
}
