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
const NAME: CounterKey = CounterKey(10);

/// A counter whose service is the listener, given up by the test alone or after a `patience`.
async fn counter(patience: Span) -> (CounterClient<SystemEnv>, TcpListener, UnboundedReceiver<TrafficEvent>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (tell, inbox) = mpsc::unbounded_channel();
    let address = Some(listener.local_addr().unwrap());
    (CounterClient::new(SystemEnv::start(), address, tell, patience), listener, inbox)
}

async fn call(counter: &mut CounterClient<SystemEnv>) -> CallId {
    counter.add(NAME, -2.5, 4 * SECOND).unwrap().0
}

async fn event(inbox: &mut UnboundedReceiver<TrafficEvent>) -> CounterEvent {
    match timeout(Duration::from_secs(20), inbox.recv()).await.unwrap() {
        Some(TrafficEvent::Counter(event)) => event,
        other => panic!("{other:?}"),
    }
}

async fn expect_command(stream: &mut TcpStream) {
    let wanted = b"*4\r\n$6\r\nADDGET\r\n$16\r\n000000000000000a\r\n$9\r\n-2.500000\r\n$4\r\n4000\r\n";
    let mut got = vec![0; wanted.len()];
    stream.read_exact(&mut got).await.unwrap();
    assert_eq!(String::from_utf8_lossy(&got), String::from_utf8_lossy(wanted));
}

#[tokio::test]
async fn a_late_answer_is_not_taken_for_the_next_call() {
    let (mut counter, listener, mut inbox) = counter(20 * SECOND).await;
    let first = call(&mut counter).await;
    let mut service = listener.accept().await.unwrap().0;
    expect_command(&mut service).await;
    assert_eq!(counter.time_out(first).unwrap().outcome, Outcome::Timeout, "it may have been added");
    // A link with a late answer to come is taken only when all others have calls out too.
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
    assert!(counter.on_event(event(&mut inbox).await).is_none(), "given up before");
    let second = counter.on_event(event(&mut inbox).await).unwrap();
    assert_eq!((second.outcome, second.total), (Outcome::Ok, 7.0));
}

#[tokio::test]
async fn a_call_given_up_before_it_was_written_is_never_written() {
    let (mut counter, listener, mut inbox) = counter(20 * SECOND).await;
    let first = call(&mut counter).await;
    assert_eq!(counter.time_out(first).unwrap().outcome, Outcome::ConnectFailed, "nothing was added");
    assert!(counter.on_event(event(&mut inbox).await).is_none(), "given up before");
    call(&mut counter).await;
    let mut service = listener.accept().await.unwrap().0;
    expect_command(&mut service).await;
    service.write_all(b"$1\r\n7\r\n").await.unwrap();
    let second = counter.on_event(event(&mut inbox).await).unwrap();
    assert_eq!((second.outcome, second.total), (Outcome::Ok, 7.0));
}

#[tokio::test]
async fn outcomes_follow_the_protocols_table() {
    for (answer, wanted) in [
        ("-BUSY\r\n", Outcome::Rejected),
        ("-ERR no such call\r\n", Outcome::Rejected),
        ("$3\r\nnan\r\n", Outcome::Timeout),
        ("-NOISE\r\n", Outcome::Timeout),
        ("-BUSYNESS\r\n", Outcome::Timeout),
        (":7\r\n", Outcome::Timeout),
        ("", Outcome::Timeout),
    ] {
        let (mut counter, listener, mut inbox) = counter(20 * SECOND).await;
        call(&mut counter).await;
        let mut service = listener.accept().await.unwrap().0;
        expect_command(&mut service).await;
        service.write_all(answer.as_bytes()).await.unwrap();
        drop(service);
        let ended = counter.on_event(event(&mut inbox).await).unwrap();
        assert_eq!(ended.outcome, wanted, "{answer:?}");
    }
}

#[tokio::test]
async fn nobody_listening_adds_nothing() {
    let (mut counter, listener, mut inbox) = counter(20 * SECOND).await;
    drop(listener);
    call(&mut counter).await;
    let ended = counter.on_event(event(&mut inbox).await).unwrap();
    assert_eq!(ended.outcome, Outcome::ConnectFailed);
}

#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let (mut counter, listener, mut inbox) = counter(SECOND / 2).await;
    call(&mut counter).await;
    let mut silent = listener.accept().await.unwrap().0;
    expect_command(&mut silent).await;
    let ended = counter.on_event(event(&mut inbox).await).unwrap();
    assert_eq!(ended.outcome, Outcome::Timeout);
    assert!(matches!(event(&mut inbox).await, CounterEvent::Closed(_)));
    call(&mut counter).await;
    let mut fresh = listener.accept().await.unwrap().0;
    expect_command(&mut fresh).await;
}

#[tokio::test]
async fn at_a_new_address_calls_on_old_links_finish() {
    let (mut counter, old, mut inbox) = counter(20 * SECOND).await;
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
async fn noise_without_an_end_soon_ends_its_link() {
    // A silent link goes after eight seconds here, one with half an answer after one.
    let (mut counter, listener, mut inbox) = counter(2 * SECOND).await;
    call(&mut counter).await;
    let mut service = listener.accept().await.unwrap().0;
    expect_command(&mut service).await;
    let start = Instant::now();
    service.write_all(b"+noise").await.unwrap();
    let ended = counter.on_event(event(&mut inbox).await).unwrap();
    assert_eq!(ended.outcome, Outcome::Timeout, "it may have been added");
    assert!(start.elapsed() < Duration::from_secs(6), "long before a silent one");
}

/// A counter in a room whose network takes half of a call unread, so that writing it rests in the middle.
struct SlowReader {
    sim: Sim,
    counter: CounterClient<SimEnv>,
    inbox: UnboundedReceiver<TrafficEvent>,
    heard: Arc<Mutex<Vec<u8>>>,
    service: ProcessId,
}

impl SlowReader {
    /// Its service reads nothing for a second, and then all that comes.
    fn start() -> SlowReader {
        let network = NetworkSpec { window: 32, ..NetworkSpec::default() };
        let sim = Sim::new(SimConfig { seed: 1, start: 0, network });
        let process = |name: &str| sim.machine(name, Place::Building(0)).process(name);
        let (service, gateway) = (process("service"), process("gateway"));
        let id = service.process_id();
        let mut listener = service.listen("0.0.0.0:80".parse().unwrap(), 16).unwrap();
        let address = Some(listener.local_addr().unwrap());
        let heard = Arc::new(Mutex::new(Vec::new()));
        let all = heard.clone();
        service.clone().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                service.spawn(hear_late(service.clone(), stream, all.clone()));
            }
        });
        let (tell, inbox) = mpsc::unbounded_channel();
        let counter = CounterClient::new(gateway, address, tell, 20 * SECOND);
        SlowReader { sim, counter, inbox, heard, service: id }
    }

    fn call(&mut self, amount: f64) -> CallId {
        self.counter.add(NAME, amount, 4 * SECOND).unwrap().0
    }

    /// All that the service has read by then.
    fn heard(&self, by: Time) -> Vec<u8> {
        self.sim.run_until(by).unwrap();
        self.heard.lock().unwrap().clone()
    }
}

async fn hear_late(service: SimEnv, mut stream: SimStream, heard: Arc<Mutex<Vec<u8>>>) {
    service.sleep_until(SECOND).await;
    let mut buf = [0; 256];
    while let Ok(count @ 1..) = stream.read(&mut buf).await {
        heard.lock().unwrap().extend_from_slice(&buf[..count]);
    }
}

#[test]
fn a_call_given_up_in_mid_write_may_have_been_added() {
    let mut room = SlowReader::start();
    let call = room.call(-2.5);
    assert!(room.heard(SECOND / 2).is_empty());
    assert_eq!(room.counter.time_out(call).unwrap().outcome, Outcome::Timeout);
    assert_eq!(room.heard(2 * SECOND), add_command(NAME, -2.5, 4 * SECOND), "all of it has come");
}

#[test]
fn a_call_given_up_behind_one_in_mid_write_is_never_written() {
    let mut room = SlowReader::start();
    for _ in 0..MAX_CONNECTIONS {
        room.call(1.0);
    }
    room.sim.run_until(SECOND / 2).unwrap();
    let behind = room.call(2.0);
    room.sim.run_until(SECOND * 3 / 4).unwrap();
    assert_eq!(room.counter.time_out(behind).unwrap().outcome, Outcome::ConnectFailed);
    let one = add_command(NAME, 1.0, 4 * SECOND).len();
    assert_eq!(room.heard(2 * SECOND).len(), MAX_CONNECTIONS * one);
    let Ok(TrafficEvent::Counter(event)) = room.inbox.try_recv() else { panic!("its end is told") };
    assert!(room.counter.on_event(event).is_none(), "given up before");
}

#[test]
fn a_call_half_written_when_its_connection_dies_added_nothing_and_neither_did_those_behind_it() {
    let mut room = SlowReader::start();
    let calls: Vec<CallId> = (0..=MAX_CONNECTIONS).map(|_| room.call(1.0)).collect();
    room.sim.run_until(SECOND / 2).unwrap();
    room.sim.kill(room.service);
    room.sim.run_until(2 * SECOND).unwrap();
    let events = std::iter::from_fn(|| room.inbox.try_recv().ok());
    let events: Vec<CounterEvent> = events
        .map(|input| match input {
            TrafficEvent::Counter(event) => event,
            other => panic!("{other:?}"),
        })
        .collect();
    let mut ended: Vec<(CallId, Outcome)> = events
        .into_iter()
        .filter_map(|event| room.counter.on_event(event))
        .map(|c| (c.call, c.outcome))
        .collect();
    ended.sort_by_key(|(call, _)| *call);
    let wanted: Vec<(CallId, Outcome)> =
        calls.into_iter().map(|call| (call, Outcome::ConnectFailed)).collect();
    assert_eq!(ended, wanted);
}
