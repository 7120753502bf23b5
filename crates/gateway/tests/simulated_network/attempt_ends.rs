//! How attempts end: with an answer, in time or not, spoilt, broken, or never; and what follows for requests that may be
//! repeated, that hosts drop the repeats of for a while, and that may run only once.

use crate::connections::{connection_numbers, lose_connection_requests, reset_connections};
use crate::host_crossings::calls;
use crate::support::{
    endpoint_list, format_id, get, host_entry, post, value_reply, Action, Behavior, Client, Received, Setup,
    SimulatedNetwork, TimedActions, CLIENT_DELAY, CLOSED, HOST_DELAY, LOCAL_DELAY,
};
use bytes::Bytes;
use cluster_model::{MS, SECOND};
use runtime::Span;
use serde_json::Value;
use simulated_runtime::What;

/// Up to when a request may be answered, since it came.
const LATENCY_OBJECTIVE: Span = 8 * SECOND;

/// What it means that a request runs twice.
#[derive(Clone, Copy, Debug)]
enum Semantics {
    Safe,
    /// Hosts drop its repeats for so long.
    Keyed(Span),
    Unsafe,
}

const ALL_SEMANTICS: [Semantics; 4] =
    [Semantics::Safe, Semantics::Keyed(300 * MS), Semantics::Keyed(6 * SECOND), Semantics::Unsafe];

impl Semantics {
    /// Two hosts, the second of which is not in service at first.
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

    /// Whether a request is sent again that failed so long after it was sent.
    fn is_repeated(self, after: Span) -> bool {
        match self {
            Semantics::Safe => after < LATENCY_OBJECTIVE,
            Semantics::Keyed(window) => after < window - (100 * MS).max(window / 10),
            Semantics::Unsafe => false,
        }
    }

    /// What a client is told of one that may have run and is not sent again.
    fn failure(self) -> String {
        match self {
            Semantics::Unsafe => "-ERR failed",
            _ => "-BUSY",
        }
        .to_owned()
    }
}

/// The hosts in these states from now on.
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

/// When the other host is in service.
const RESPONSE_DELAY: Span = 20 * MS;

/// What a host does with a request, from when it has it, and after how long its attempt has failed.
fn failures() -> Vec<(&'static str, TimedActions, Span)> {
    let endless = std::iter::once((RESPONSE_DELAY, write("*3\r\n$60000\r\n")));
    let endless = endless.chain((1..100).map(|n| (RESPONSE_DELAY + n * 100 * MS, write("x")))).collect();
    vec![
        ("an error", vec![(RESPONSE_DELAY, write("-ERR failed\r\n"))], RESPONSE_DELAY),
        ("nonsense", vec![(RESPONSE_DELAY, write("+OK\r\n"))], RESPONSE_DELAY),
        ("no value", vec![(RESPONSE_DELAY, write("*3\r\n$-1\r\n$-1\r\n$-1\r\n"))], RESPONSE_DELAY),
        ("a value too long", vec![(RESPONSE_DELAY, write("*3\r\n$65537\r\n"))], RESPONSE_DELAY),
        ("too many parts", vec![(RESPONSE_DELAY, write("*17\r\n"))], RESPONSE_DELAY),
        (
            "half an answer, then an end",
            vec![(RESPONSE_DELAY, half()), (2 * RESPONSE_DELAY, Action::Close)],
            2 * RESPONSE_DELAY,
        ),
        (
            "half an answer, then a reset",
            vec![(RESPONSE_DELAY, half()), (2 * RESPONSE_DELAY, Action::Reset)],
            2 * RESPONSE_DELAY,
        ),
        ("half an answer and no more", vec![(RESPONSE_DELAY, half())], RESPONSE_DELAY + 200 * MS),
        (
            "half an answer and the rest too late",
            vec![(RESPONSE_DELAY, half()), (500 * MS, write("rest"))],
            RESPONSE_DELAY + 200 * MS,
        ),
        ("an end after long", vec![(5 * SECOND, Action::Close)], 5 * SECOND),
        ("a reset after long", vec![(5 * SECOND, Action::Reset)], 5 * SECOND),
        ("half an answer after long", vec![(5 * SECOND, half())], 5 * SECOND + 200 * MS),
        ("an answer that never ends", endless, LATENCY_OBJECTIVE),
        ("nothing", vec![], LATENCY_OBJECTIVE),
        (
            "an answer that comes too late",
            vec![(9 * SECOND, Action::Write(value_reply("late")))],
            LATENCY_OBJECTIVE,
        ),
    ]
}

#[test]
fn a_failed_attempt_is_followed_by_another_only_where_its_effect_and_its_window_allow_it() {
    for (semantics, number) in
        ALL_SEMANTICS.iter().flat_map(|semantics| (0..failures().len()).map(move |n| (*semantics, n)))
    {
        let (what, mut actions, after) = failures().remove(number);
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
        // The attempt began when its connection was asked for, two ways before.
        let begun = sent.sent - 2 * HOST_DELAY;
        let is_repeated = semantics.is_repeated(sent.at + after + HOST_DELAY - begun);
        let again = calls(other);
        assert_eq!(again.len(), usize::from(is_repeated), "{semantics:?}, {what}: {again:?}");
        // Of what was left when it was written, and no more.
        assert!(
            again
                .iter()
                .all(|received| deadline_at_host_ms(received)
                    == (begun + LATENCY_OBJECTIVE - received.sent) / MS),
            "{what}: {again:?}"
        );
        if let Semantics::Keyed(window) = semantics {
            assert!(
                again.iter().all(|received| received.at < begun + window),
                "{semantics:?}, {what}: {again:?}"
            );
        }
        let answer = if is_repeated { format_id(1) } else { semantics.failure() };
        assert_eq!(client.take_replies(), [answer], "{semantics:?}, {what}");
        assert!(calls(host).is_empty(), "{semantics:?}, {what}");
        assert_eq!(host.connection_count(), 1, "{semantics:?}, {what}");
    }
}

/// Milliseconds that an attempt tells its host to have.
fn deadline_at_host_ms(received: &Received) -> Span {
    let list = received.text.split(' ').find(|word| word.starts_with("c=")).unwrap();
    list.split(',').find_map(|pair| pair.strip_prefix("d=")).unwrap().parse().unwrap()
}

/// An attempt's time is up 1 ns after its answer, in that instant, 1 ns before.
#[test]
fn an_answer_in_the_instant_in_which_its_attempt_s_time_is_up_is_one_end_and_one_answer() {
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
        let over = sent.sent - 2 * HOST_DELAY + LATENCY_OBJECTIVE;
        network.run_until(over.saturating_add_signed(offset) - HOST_DELAY);
        host.send(sent.connection, value_reply("answer"));
        network.run_for(SECOND);
        let replies = client.take_replies();
        let is_served = replies == ["answer"];
        assert!(is_served || replies == [semantics.failure()], "{semantics:?}, {offset}: {replies:?}");
        assert!(offset == 0 || is_served == (offset < 0), "{semantics:?}, {offset}: {replies:?}");
        assert_eq!(other.connection_count(), 0, "{semantics:?}, {offset}");
        // Whichever came first, the next request has an answer of its own.
        network.hosts.iter().for_each(|host| host.set_behavior(Behavior::serve(1, 0)));
        let client = network.client_with_call(semantics.call(2), usize::MAX);
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(2)], "{semantics:?}, {offset}");
    }
}

/// A begun answer is spoilt 0.2 s after its last byte: the rest comes 1 ns before, in that instant, 1 ns after.
#[test]
fn the_rest_of_an_answer_in_the_instant_in_which_it_is_spoilt_makes_one_answer() {
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
        let is_repeated = semantics.is_repeated(after);
        let reply_after_failure = if is_repeated { format_id(1) } else { semantics.failure() };
        let (replies, again) = (client.take_replies(), calls(other).len());
        let is_whole = replies == ["whole"];
        assert!(is_whole || replies == [reply_after_failure], "{semantics:?}, {offset}: {replies:?}");
        assert!(offset == 0 || is_whole == (offset < 0), "{semantics:?}, {offset}: {replies:?}");
        assert_eq!(again, usize::from(is_repeated && !is_whole), "{semantics:?}, {offset}");
    }
}

/// A connection comes up 1 ns before its time is up, in that instant, 1 ns after.
#[test]
fn a_connection_that_comes_up_in_the_instant_in_which_it_is_given_up_carries_its_request_or_nothing() {
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

/// The module gives a safe attempt up that hangs, and makes another in its place; its answer comes 1 ns before, in that
/// instant, 1 ns after.
#[test]
fn an_answer_in_the_instant_in_which_its_attempt_is_withdrawn_is_one_answer() {
    let run = |answered: Option<Span>| {
        let mut setup = Semantics::Safe.setup();
        setup.settings["allowed"]["cancel"] = true.into();
        let network = SimulatedNetwork::start(setup);
        observe_short_latency(&network);
        let (host, other, trace) = (&network.hosts[0], &network.hosts[1], network.trace_packets());
        let client = network.client_with_call(get(1), usize::MAX);
        network.run_for(3 * CLIENT_DELAY + 3 * HOST_DELAY);
        assert_eq!(calls(host).len(), 1);
        set_lifecycles(&network, 4, ["in_service", "in_service"]);
        if let Some(at) = answered {
            network.run_until(at - HOST_DELAY);
            host.send(0, value_reply("first"));
        }
        network.run_for(SECOND);
        let withdrawn = trace.arrivals("gateway", "host 0", &What::Fin).first().map(|at| at - HOST_DELAY);
        (withdrawn, client.take_replies(), calls(other).len())
    };
    let (withdrawn, replies, again) = run(None);
    assert_eq!((replies, again), (vec![format_id(1)], 1));
    let withdrawn = withdrawn.expect("its connection closes");
    for offset in [-1_i64, 0, 1] {
        let (_, replies, again) = run(Some(withdrawn.saturating_add_signed(offset)));
        let is_first = replies == ["first"];
        assert!(is_first || replies == [format_id(1)], "{offset}: {replies:?}");
        assert!(offset == 0 || is_first == (offset < 0), "{offset}: {replies:?}");
        assert_eq!(again, usize::from(!is_first), "{offset}");
    }
}

/// With connections that take all but the last bytes of this call, where their host does not read.
fn with_small_window(mut setup: Setup, call: &Bytes) -> Setup {
    setup.network.window = call.len() as u32 - 10;
    setup
}

/// The first host serves a request on a connection and reads no more on that: all but the last bytes of the next request
/// are written there. Its client, and when its attempt began.
fn half_written(network: &SimulatedNetwork, semantics: Semantics) -> (Client, Span) {
    let (host, client) = (&network.hosts[0], network.client_with_call(semantics.call(1), usize::MAX));
    host.set_behavior(Behavior::serve(1, 0));
    // Calls differ in the time that they tell, not in its digits.
    host.set_read_limit(semantics.call(1).len());
    network.run_for(100 * MS);
    assert_eq!((client.take_replies(), calls(host).len()), (vec![format_id(1)], 1));
    host.set_read_limit(usize::MAX);
    client.send(semantics.call(2));
    // Its last bytes come when the first have been read.
    network.run_for(2 * CLIENT_DELAY);
    (client, network.now())
}

#[test]
fn a_request_whose_time_is_over_is_not_written_again_where_its_connection_lost_a_part_of_it() {
    for (semantics, offset) in
        ALL_SEMANTICS.iter().flat_map(|semantics| [-1_i64, 0, 1].map(|offset| (*semantics, offset)))
    {
        let network = SimulatedNetwork::start(with_small_window(semantics.setup(), &semantics.call(1)));
        network.run_until(10 * MS);
        let host = &network.hosts[0];
        let (client, begun) = half_written(&network, semantics);
        network.run_until((begun + LATENCY_OBJECTIVE).saturating_add_signed(offset));
        reset_connections(&network, host);
        host.read_all();
        network.run_for(SECOND);
        assert_eq!(calls(host), [], "{semantics:?}, {offset}");
        let replies = client.take_timed_replies();
        assert_eq!(
            replies,
            [(begun + LATENCY_OBJECTIVE + CLIENT_DELAY, "-BUSY".to_owned())],
            "{semantics:?}, {offset}: it never ran"
        );
    }
}

/// All go to both hosts, but reads to the first alone.
const READS_TO_FIRST_HOST: &str =
    "pool \"first\" {\nids = \"s-0\"\n}\npool \"all\" {\nids = [\"s-0\", \"s-1\"]\n}\n\
    route \"reads\" {\nclasses = \"read\"\npool = \"first\"\n}\nroute \"rest\" {\npool = \"all\"\n}\n";

/// The window of a keyed request leaves 100 ms for the way of its last bytes.
#[test]
fn a_keyed_request_is_not_written_again_after_its_window_where_its_connection_lost_a_part_of_it() {
    let window = SECOND;
    let call = post(1, 1, 1.0);
    for (offset, is_again) in [(-400 * MS as i64, true), (-1, false), (0, false), (1, false)] {
        let mut setup = with_small_window(Semantics::Keyed(window).setup(), &call);
        setup.operators = READS_TO_FIRST_HOST.into();
        let network = SimulatedNetwork::start(setup);
        let (host, other, client) = (&network.hosts[0], &network.hosts[1], network.client());
        network.run_until(10 * MS);
        // One read is out at the first host, so that the next request of all goes to the second.
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
        let begun = network.now();
        network.run_for(50 * MS);
        assert_eq!((calls(other).len(), calls(host).len(), host.connection_count()), (1, 0, 2));
        let write_by = begun + window - 100 * MS;
        network.run_until(write_by.saturating_add_signed(offset));
        reset_connections(&network, host);
        host.read_all();
        network.run_for(SECOND);
        let again = calls(host).into_iter().filter(|received| received.text.contains(&format_id(2)));
        let again: Vec<Received> = again.collect();
        assert_eq!(again.len(), usize::from(is_again), "{offset}: {again:?}");
        let answers = client.take_timed_replies();
        let [(at, answer)] = &answers[..] else { panic!("{offset}: {answers:?}") };
        assert_eq!(*answer, if is_again { format_id(2) } else { "-BUSY".to_owned() }, "{offset}");
        assert!(*at <= write_by + 10 * MS, "{offset}: told when no more can be done, not later: {at}");
    }
}

/// A room in which second copies are allowed, and answers have been quick so far, so that a request
/// which takes longer is given a second copy.
fn start_with_hedging(mut setup: Setup) -> SimulatedNetwork {
    setup.settings["allowed"]["may-duplicate"] = true.into();
    setup.settings["allowed"]["max-attempts"] = 2.into();
    setup.settings["allowed"]["dial-timeout"] = (4 * SECOND).into();
    let network = SimulatedNetwork::start(setup);
    observe_short_latency(&network);
    network
}

/// The second host alone answers for a while, each request at once; then the first alone is in service.
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

/// What the host does that has a part of a request, of which another has a second copy.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HostAction {
    /// It is reset, after the copy was answered or before.
    Reset,
    /// It reads on.
    Reads,
}

#[test]
fn what_is_half_written_goes_no_further_once_a_second_copy_is_answered() {
    for (host_action, is_answered) in
        [(HostAction::Reset, true), (HostAction::Reads, true), (HostAction::Reset, false)]
    {
        let network = start_with_hedging(with_small_window(Semantics::Safe.setup(), &get(1)));
        let (host, other) = (&network.hosts[0], &network.hosts[1]);
        let (client, _) = half_written(&network, Semantics::Safe);
        if !is_answered {
            other.set_behavior(Behavior::Manual);
        }
        set_lifecycles(&network, 4, ["in_service", "in_service"]);
        network.run_for(SECOND);
        let copies = calls(other);
        assert_eq!(copies.len(), 1, "{host_action:?}: a second copy");
        assert_eq!(client.take_replies().len(), usize::from(is_answered));
        match host_action {
            HostAction::Reset => reset_connections(&network, host),
            HostAction::Reads => {}
        }
        host.read_all();
        network.run_for(100 * MS);
        if !is_answered {
            other.send(copies[0].connection, value_reply("late"));
        }
        network.run_for(10 * SECOND);
        let expected = if is_answered { vec![] } else { vec![1] };
        assert_eq!(connection_numbers(&calls(host)), expected, "{host_action:?}, answered: {is_answered}");
        let replies = if is_answered { vec![] } else { vec![format_id(2)] };
        assert_eq!(client.take_replies(), replies, "{host_action:?}, answered: {is_answered}");
    }
}

/// The connection to the first host comes up a second late. Where a second copy may be made, and is answered, nothing is
/// written to it.
#[test]
fn a_connection_that_comes_up_after_a_second_copy_was_answered_carries_nothing() {
    for (semantics, has_copy) in
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
        assert_eq!(calls(other).len(), usize::from(has_copy), "{semantics:?}");
        assert_eq!(client.take_replies().len(), usize::from(has_copy), "{semantics:?}");
        network.run_for(2 * SECOND);
        let late = calls(host);
        assert_eq!((late.len(), host.connection_count()), (usize::from(!has_copy), 1), "{semantics:?}");
        assert!(
            late.iter().all(|received| deadline_at_host_ms(received)
                == (LATENCY_OBJECTIVE - SECOND - 2 * HOST_DELAY) / MS),
            "{semantics:?}: {late:?}"
        );
        assert_eq!(client.take_replies().len(), usize::from(!has_copy), "{semantics:?}");
        assert!(calls(other).is_empty(), "{semantics:?}");
    }
}

/// A host hangs in its work and comes back; meanwhile discovery says that it started anew, or that another listens at its
/// address. Its answer is that to its own request, as long as somebody waits for it, and to no other.
#[test]
fn a_host_that_hangs_and_comes_back_under_another_start_or_name_answers_its_own_request_alone() {
    for (semantics, is_given_up) in
        ALL_SEMANTICS.iter().flat_map(|semantics| [false, true].map(|given_up| (*semantics, given_up)))
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
            network.run_until(if is_given_up { 9 * SECOND } else { SECOND });
            let next = network.client_with_call(semantics.call(2), usize::MAX);
            network.run_for(10 * MS);
            assert_eq!(connection_numbers(&calls(host)), [1]);
            host.send(0, value_reply("of the first"));
            network.run_for(10 * MS);
            host.send(1, value_reply("of the second"));
            network.run_for(10 * MS);
            let first = if is_given_up { semantics.failure() } else { "of the first".to_owned() };
            let case = format!("{semantics:?}, given up: {is_given_up}, renamed: {is_renamed}");
            assert_eq!(
                (client.take_replies(), next.take_replies()),
                (vec![first], vec!["of the second".to_owned()]),
                "{case}"
            );
            // The old connection ends when it was given up, or has answered.
            let ends = host.take_received().into_iter().map(|received| (received.connection, received.text));
            let expected = (!is_given_up).then(|| (0, CLOSED.to_owned()));
            assert_eq!(ends.collect::<Vec<_>>(), expected.into_iter().collect::<Vec<_>>(), "{case}");
        }
    }
}
