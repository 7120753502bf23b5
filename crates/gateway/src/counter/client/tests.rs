use super::*;
use cluster_model::scenario::NetworkSpec;
use runtime::{Listener, SystemEnv};
use simulated_runtime::{Place, ProcessId, Sim, SimConfig, SimEnv, SimStream};
use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

const SECOND: Span = 1_000_000_000;
const KEY: CounterKey = CounterKey(10);

/// Returns a client with this call timeout, the listener of its counter service, and the events.
async fn connect(
    call_timeout: Span,
) -> (CounterClient<SystemEnv>, TcpListener, UnboundedReceiver<TrafficEvent>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (sender, inbox) = mpsc::unbounded_channel();
    let address = Some(listener.local_addr().unwrap());
    (CounterClient::new(SystemEnv::start(), address, sender, call_timeout), listener, inbox)
}

async fn call(counter: &mut CounterClient<SystemEnv>) -> CallId {
    counter.add(KEY, -2.5, 4 * SECOND).unwrap().0
}

async fn event(inbox: &mut UnboundedReceiver<TrafficEvent>) -> CounterEvent {
    match timeout(Duration::from_secs(20), inbox.recv()).await.unwrap() {
        Some(TrafficEvent::Counter(event)) => event,
        other => panic!("{other:?}"),
    }
}

async fn expect_command(stream: &mut TcpStream) {
    let expected = b"*4\r\n$6\r\nADDGET\r\n$16\r\n000000000000000a\r\n$9\r\n-2.500000\r\n$4\r\n4000\r\n";
    let mut actual = vec![0; expected.len()];
    stream.read_exact(&mut actual).await.unwrap();
    assert_eq!(String::from_utf8_lossy(&actual), String::from_utf8_lossy(expected));
}

#[tokio::test]
async fn a_reply_after_the_timeout_is_not_matched_to_the_next_call() {
    let (mut counter, listener, mut inbox) = connect(20 * SECOND).await;
    let first = call(&mut counter).await;
    let mut service = listener.accept().await.unwrap().0;
    expect_command(&mut service).await;
    assert_eq!(counter.time_out(first).unwrap().outcome, Outcome::Timeout, "the amount may have been added");
    // A connection that still awaits a reply is used only when all others have calls in flight as well.
    for _ in 1..MAX_CONNECTIONS {
        call(&mut counter).await;
    }
    let mut others = Vec::new();
    for _ in 1..MAX_CONNECTIONS {
        others.push(listener.accept().await.unwrap());
    }
    call(&mut counter).await;
    expect_command(&mut service).await;
    service.write_all(b"$1\r\n3\r\n$1\r\n7\r\n").await.unwrap();
    assert!(counter.on_event(event(&mut inbox).await).is_none(), "the call had already ended");
    let second = counter.on_event(event(&mut inbox).await).unwrap();
    assert_eq!((second.outcome, second.total), (Outcome::Ok, 7.0));
}

#[tokio::test]
async fn a_call_that_times_out_before_it_is_written_is_never_written() {
    let (mut counter, listener, mut inbox) = connect(20 * SECOND).await;
    let first = call(&mut counter).await;
    assert_eq!(counter.time_out(first).unwrap().outcome, Outcome::ConnectFailed, "nothing was added");
    assert!(counter.on_event(event(&mut inbox).await).is_none(), "the call had already ended");
    call(&mut counter).await;
    let mut service = listener.accept().await.unwrap().0;
    expect_command(&mut service).await;
    service.write_all(b"$1\r\n7\r\n").await.unwrap();
    let second = counter.on_event(event(&mut inbox).await).unwrap();
    assert_eq!((second.outcome, second.total), (Outcome::Ok, 7.0));
}

#[tokio::test]
async fn replies_map_to_the_outcomes_of_the_protocol() {
    for (reply, expected) in [
        ("-BUSY\r\n", Outcome::Rejected),
        ("-ERR no such call\r\n", Outcome::Rejected),
        ("$3\r\nnan\r\n", Outcome::Timeout),
        ("-NOISE\r\n", Outcome::Timeout),
        ("-BUSYNESS\r\n", Outcome::Timeout),
        (":7\r\n", Outcome::Timeout),
        ("", Outcome::Timeout),
    ] {
        let (mut counter, listener, mut inbox) = connect(20 * SECOND).await;
        call(&mut counter).await;
        let mut service = listener.accept().await.unwrap().0;
        expect_command(&mut service).await;
        service.write_all(reply.as_bytes()).await.unwrap();
        drop(service);
        let ended = counter.on_event(event(&mut inbox).await).unwrap();
        assert_eq!(ended.outcome, expected, "{reply:?}");
    }
}

#[tokio::test]
async fn a_call_to_a_closed_port_fails_to_connect() {
    let (mut counter, listener, mut inbox) = connect(20 * SECOND).await;
    drop(listener);
    call(&mut counter).await;
    let ended = counter.on_event(event(&mut inbox).await).unwrap();
    assert_eq!(ended.outcome, Outcome::ConnectFailed);
}

#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let (mut counter, listener, mut inbox) = connect(SECOND / 2).await;
    call(&mut counter).await;
    let mut silent = listener.accept().await.unwrap().0;
    expect_command(&mut silent).await;
    let ended = counter.on_event(event(&mut inbox).await).unwrap();
    assert_eq!(ended.outcome, Outcome::Timeout);
    assert!(matches!(event(&mut inbox).await, CounterEvent::Closed(_)));
    call(&mut counter).await;
    let mut replacement = listener.accept().await.unwrap().0;
    expect_command(&mut replacement).await;
}

#[tokio::test]
async fn calls_in_flight_finish_at_the_old_address_after_a_move() {
    let (mut counter, old, mut inbox) = connect(20 * SECOND).await;
    call(&mut counter).await;
    let mut service = old.accept().await.unwrap().0;
    expect_command(&mut service).await;
    let new = TcpListener::bind("127.0.0.1:0").await.unwrap();
    counter.move_to(Some(new.local_addr().unwrap()));
    call(&mut counter).await;
    let mut moved = new.accept().await.unwrap().0;
    expect_command(&mut moved).await;
    service.write_all(b"$1\r\n7\r\n").await.unwrap();
    let ended = counter.on_event(event(&mut inbox).await).unwrap();
    assert_eq!((ended.outcome, ended.total), (Outcome::Ok, 7.0));
}

#[tokio::test]
async fn a_reply_that_stays_incomplete_closes_its_connection_early() {
    // A connection without a reply closes after 8 s here, one with an incomplete reply after 1 s.
    let (mut counter, listener, mut inbox) = connect(2 * SECOND).await;
    call(&mut counter).await;
    let mut service = listener.accept().await.unwrap().0;
    expect_command(&mut service).await;
    let start = Instant::now();
    service.write_all(b"+noise").await.unwrap();
    let ended = counter.on_event(event(&mut inbox).await).unwrap();
    assert_eq!(ended.outcome, Outcome::Timeout, "the amount may have been added");
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "the connection closed as late as one without any reply"
    );
}

/// A counter client on a simulated network with a window smaller than a call, so that a write stalls in the middle of
/// the call until the service reads.
struct SlowReader {
    sim: Sim,
    counter: CounterClient<SimEnv>,
    inbox: UnboundedReceiver<TrafficEvent>,
    received: Arc<Mutex<Vec<u8>>>,
    service: ProcessId,
}

impl SlowReader {
    /// Starts a service that reads nothing for a second, and everything after that.
    fn start() -> SlowReader {
        let network = NetworkSpec { window: 32, ..NetworkSpec::default() };
        let sim = Sim::new(SimConfig { seed: 1, start: 0, network });
        let process = |name: &str| sim.machine(name, Place::Building(0)).process(name);
        let (service, gateway) = (process("service"), process("gateway"));
        let id = service.process_id();
        let mut listener = service.listen("0.0.0.0:80".parse().unwrap(), 16).unwrap();
        let address = Some(listener.local_addr().unwrap());
        let received = Arc::new(Mutex::new(Vec::new()));
        let sink = received.clone();
        service.clone().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                service.spawn(read_after_a_second(service.clone(), stream, sink.clone()));
            }
        });
        let (sender, inbox) = mpsc::unbounded_channel();
        let counter = CounterClient::new(gateway, address, sender, 20 * SECOND);
        SlowReader { sim, counter, inbox, received, service: id }
    }

    fn call(&mut self, amount: f64) -> CallId {
        self.counter.add(KEY, amount, 4 * SECOND).unwrap().0
    }

    /// Runs the simulation until `by`, and returns all bytes that the service has read.
    fn received_by(&self, by: Time) -> Vec<u8> {
        self.sim.run_until(by).unwrap();
        self.received.lock().unwrap().clone()
    }
}

async fn read_after_a_second(service: SimEnv, mut stream: SimStream, received: Arc<Mutex<Vec<u8>>>) {
    service.sleep_until(SECOND).await;
    let mut buf = [0; 256];
    while let Ok(count @ 1..) = stream.read(&mut buf).await {
        received.lock().unwrap().extend_from_slice(&buf[..count]);
    }
}

#[test]
fn a_call_that_times_out_during_its_write_may_have_been_added() {
    let mut fixture = SlowReader::start();
    let call = fixture.call(-2.5);
    assert!(fixture.received_by(SECOND / 2).is_empty());
    assert_eq!(fixture.counter.time_out(call).unwrap().outcome, Outcome::Timeout);
    assert_eq!(
        fixture.received_by(2 * SECOND),
        add_command(KEY, -2.5, 4 * SECOND),
        "the service received something else than the complete call"
    );
}

#[test]
fn a_call_that_times_out_behind_a_partially_written_one_is_never_written() {
    let mut fixture = SlowReader::start();
    for _ in 0..MAX_CONNECTIONS {
        fixture.call(1.0);
    }
    fixture.sim.run_until(SECOND / 2).unwrap();
    let queued = fixture.call(2.0);
    fixture.sim.run_until(SECOND * 3 / 4).unwrap();
    assert_eq!(fixture.counter.time_out(queued).unwrap().outcome, Outcome::ConnectFailed);
    let call_length = add_command(KEY, 1.0, 4 * SECOND).len();
    assert_eq!(fixture.received_by(2 * SECOND).len(), MAX_CONNECTIONS * call_length);
    let Ok(TrafficEvent::Counter(event)) = fixture.inbox.try_recv() else {
        panic!("no event reports the end of the call")
    };
    assert!(fixture.counter.on_event(event).is_none(), "the call had already ended");
}

#[test]
fn partially_written_and_queued_calls_fail_to_connect_when_the_connection_closes() {
    let mut fixture = SlowReader::start();
    let calls: Vec<CallId> = (0..=MAX_CONNECTIONS).map(|_| fixture.call(1.0)).collect();
    fixture.sim.run_until(SECOND / 2).unwrap();
    fixture.sim.kill(fixture.service);
    fixture.sim.run_until(2 * SECOND).unwrap();
    let events = std::iter::from_fn(|| fixture.inbox.try_recv().ok());
    let events: Vec<CounterEvent> = events
        .map(|input| match input {
            TrafficEvent::Counter(event) => event,
            other => panic!("{other:?}"),
        })
        .collect();
    let mut ended: Vec<(CallId, Outcome)> = events
        .into_iter()
        .filter_map(|event| fixture.counter.on_event(event))
        .map(|c| (c.call, c.outcome))
        .collect();
    ended.sort_by_key(|(call, _)| *call);
    let expected: Vec<(CallId, Outcome)> =
        calls.into_iter().map(|call| (call, Outcome::ConnectFailed)).collect();
    assert_eq!(ended, expected);
}
