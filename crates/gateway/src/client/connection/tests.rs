use super::input::{MAX_PENDING_RUNS, MAX_PIPELINE};
use super::*;
use crate::client::linger::{MAX_DISCARDED_BYTES, MAX_LINGERING};
use crate::client::listener::{accept, listen, ConnectionLimits};
use crate::client::replies::READ_TIMEOUT;
use crate::client::slots::SlotContention;
use crate::client::CommandBudget;
use crate::config::memory_budget::MemoryBudget;
use crate::messages::IncomingRequest;
use bytes::Bytes;
use cluster_model::SECOND;
use platform_settings::PlatformSettings;
use policy::api::Span;
use runtime::{Listener, SystemEnv, Writer};
use simulated_runtime::{Place, Sim, SimConfig, SimEnv};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::task::Waker;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::ReadBuf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

const MS: Span = 1_000_000;

fn context(
    command_slots: usize,
    phase: watch::Receiver<LifecyclePhase>,
) -> (Context<SystemEnv>, UnboundedReceiver<TrafficEvent>) {
    context_in(SystemEnv::start(), "safe", command_slots, phase)
}

fn context_in<E: Env>(
    env: E,
    semantics: &str,
    command_slots: usize,
    phase: watch::Receiver<LifecyclePhase>,
) -> (Context<E>, UnboundedReceiver<TrafficEvent>) {
    let settings = crate::config::sample(semantics, 1_000_000_000, 1_000_000_000);
    let (gateway, inbox) = mpsc::unbounded_channel();
    let platform = Arc::new(PlatformSettings::parse(&settings).unwrap());
    let memory = MemoryBudget::within(command_slots * 2 * resp::MAX_VALUE, 0);
    let context = Context::new(env, platform, gateway, phase, CommandBudget::within(&memory));
    (context, inbox)
}

async fn receive_request(inbox: &mut UnboundedReceiver<TrafficEvent>) -> IncomingRequest {
    match timeout(Duration::from_secs(20), inbox.recv()).await.unwrap() {
        Some(TrafficEvent::Request(incoming)) => *incoming,
        other => panic!("{other:?}"),
    }
}

fn encoded_call() -> BytesMut {
    let mut call = BytesMut::new();
    resp::encode_array_header(&mut call, 4);
    for word in
        ["CALL.GET", "0000000000000001", "0000000000000002", "c=read,t=team,d=900,units=1,spread=1,first=0"]
    {
        resp::encode_bulk(&mut call, word.as_bytes());
    }
    call
}

/// Starts to accept connections with this context. Returns the listener's address.
fn start_accepting(context: Context<SystemEnv>) -> SocketAddr {
    let listener = listen(&context.env, "127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(accept(listener, ConnectionLimits { connections: 16, callers: 16 }, context));
    address
}

async fn expect_reply(client: &mut TcpStream, expected: &[u8]) {
    let mut actual = vec![0; expected.len()];
    timeout(Duration::from_secs(20), client.read_exact(&mut actual))
        .await
        .expect("no reply in time")
        .unwrap();
    assert_eq!(String::from_utf8_lossy(&actual), String::from_utf8_lossy(expected));
}

#[tokio::test]
async fn commands_in_flight_are_bounded_across_all_connections() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(2, phases);
    let (address, call) = (start_accepting(context), encoded_call());
    let (mut clients, mut requests) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(&call).await.unwrap();
        requests.push(receive_request(&mut inbox).await);
        clients.push(client);
    }
    let mut other = TcpStream::connect(address).await.unwrap();
    other.write_all(&call).await.unwrap();
    expect_reply(&mut other, b"-BUSY\r\n").await;
    requests.pop().unwrap().reply_to.send(FinalAnswer::Failed);
    expect_reply(&mut clients[1], b"-ERR failed\r\n").await;
    other.write_all(&call).await.unwrap();
    receive_request(&mut inbox).await.reply_to.send(FinalAnswer::Failed);
}

#[tokio::test]
async fn a_connection_with_many_commands_leaves_command_slots_for_others() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(8, phases);
    let (address, call) = (start_accepting(context), encoded_call());
    let mut busy_client = TcpStream::connect(address).await.unwrap();
    busy_client.write_all(&call.repeat(8)).await.unwrap();
    // The connection gets its first slot while it holds 0 and 8 are available, and its second while it holds 1 and 7
    // are available. It gets no third one, since the 2 that it holds are not less than a quarter of the 6 available.
    let (first, second) = (receive_request(&mut inbox).await, receive_request(&mut inbox).await);
    let mut others = Vec::new();
    for _ in 0..6 {
        let mut other = TcpStream::connect(address).await.unwrap();
        other.write_all(&call).await.unwrap();
        receive_request(&mut inbox).await.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"v")));
        expect_reply(&mut other, b"$1\r\nv\r\n").await;
        others.push(other);
    }
    first.reply_to.send(FinalAnswer::Failed);
    second.reply_to.send(FinalAnswer::Failed);
    expect_reply(&mut busy_client, b"-ERR failed\r\n-ERR failed\r\n-BUSY\r\n-BUSY\r\n").await;
}

#[tokio::test]
async fn an_unread_value_keeps_its_command_slot() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(1, phases);
    let (address, call) = (start_accepting(context), encoded_call());
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut slow_reader = socket.connect(address).await.unwrap();
    // The values fill the kernel's buffers at some point, and the next one stays in the gateway.
    let mut unread = 0;
    let mut other = TcpStream::connect(address).await.unwrap();
    loop {
        slow_reader.write_all(&call).await.unwrap();
        let next = timeout(Duration::from_secs(20), inbox.recv());
        let Ok(Some(TrafficEvent::Request(incoming))) = next.await else { panic!("no request") };
        incoming.reply_to.send(FinalAnswer::Response(Bytes::from(vec![b'x'; resp::MAX_VALUE])));
        unread += 1;
        other.write_all(&call).await.unwrap();
        let rejection = async {
            let mut reply = [0; 7];
            other.read_exact(&mut reply).await.unwrap();
            reply
        };
        tokio::select! {
            biased;
            reply = rejection => {
                assert_eq!(&reply, b"-BUSY\r\n");
                break;
            }
            Some(TrafficEvent::Request(incoming)) = inbox.recv() => {
                incoming.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"v")));
            }
        }
        expect_reply(&mut other, b"$1\r\nv\r\n").await;
        assert!(unread < 1000, "unread values hold no command slots");
    }
}

#[tokio::test]
async fn each_complete_command_gets_its_own_reply_when_the_byte_budget_is_exhausted() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (mut context, mut inbox) = context(2, phases);
    context.budget =
        CommandBudget { slots: Arc::new(Semaphore::new(64)), bytes: Arc::new(Semaphore::new(1)) };
    tokio::spawn(async move {
        while let Some(TrafficEvent::Request(incoming)) = inbox.recv().await {
            incoming.reply_to.send(FinalAnswer::Failed);
        }
    });
    let mut client = TcpStream::connect(start_accepting(context)).await.unwrap();
    // More than the unbudgeted bytes, in one write.
    let mut all = encoded_call().repeat(200);
    all.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
    client.write_all(&all).await.unwrap();
    let mut replies = String::new();
    while !replies.ends_with("+PONG\r\n") {
        let byte = timeout(Duration::from_secs(20), client.read_u8()).await.expect("no PONG").unwrap();
        replies.push(char::from(byte));
    }
    let count = |reply: &str| replies.matches(reply).count();
    assert_eq!(count("-BUSY\r\n") + count("-ERR failed\r\n"), 200, "{replies}");
    assert!(count("-BUSY\r\n") > 0, "no command was rejected");
}

/// A connection whose first request has been answered, with the state that its task shares with the listener.
struct ServedConnection {
    client: TcpStream,
    phase: watch::Sender<LifecyclePhase>,
    contention: SlotContention,
    slot: Arc<ConnectionSlot>,
    slot_permits: Arc<Semaphore>,
    inbox: UnboundedReceiver<TrafficEvent>,
}

impl ServedConnection {
    async fn start() -> ServedConnection {
        let (phase, phases) = watch::channel(LifecyclePhase::Ready);
        let (context, inbox) = context(4, phases);
        let mut listener = listen(&context.env, "127.0.0.1:0".parse().unwrap()).unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (slot, slot_permits) =
            (Arc::new(ConnectionSlot::new(context.env.now())), Arc::new(Semaphore::new(1)));
        let (contention, permit) =
            (context.contention.clone(), slot_permits.clone().try_acquire_owned().unwrap());
        tokio::spawn(serve(stream, context, slot.clone(), permit));
        let mut inbox = inbox;
        client.write_all(&encoded_call()).await.unwrap();
        receive_request(&mut inbox).await.reply_to.send(FinalAnswer::Failed);
        expect_reply(&mut client, b"-ERR failed\r\n").await;
        ServedConnection { client, phase, contention, slot, slot_permits, inbox }
    }

    /// Sends bytes without yielding: they are in the kernel's buffer, and the connection's task is not notified of them
    /// until the test waits.
    fn send_without_yielding(&self, bytes: &[u8]) {
        assert_eq!(self.client.try_write(bytes).unwrap(), bytes.len());
    }

    /// Triggers a close: at once, or, with `SlotWanted`, when the connection next becomes idle.
    fn trigger_close(&self, trigger: CloseTrigger) {
        match trigger {
            CloseTrigger::SlotWanted => self.contention.set_wanted(true),
            CloseTrigger::Eviction => self.slot.evict.notify_one(),
            CloseTrigger::Shutdown => drop(self.phase.send_replace(LifecyclePhase::Closing)),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum CloseTrigger {
    SlotWanted,
    Eviction,
    Shutdown,
}

const CLOSE_TRIGGERS: [CloseTrigger; 3] =
    [CloseTrigger::SlotWanted, CloseTrigger::Eviction, CloseTrigger::Shutdown];

// The tests below run on one thread: the connection's task reads nothing until the test waits.

#[tokio::test]
async fn a_request_in_the_kernel_buffer_before_a_close_is_answered() {
    for trigger in CLOSE_TRIGGERS {
        let mut served = ServedConnection::start().await;
        if trigger == CloseTrigger::SlotWanted {
            served.send_without_yielding(&encoded_call());
            let first = receive_request(&mut served.inbox).await;
            served.send_without_yielding(&encoded_call());
            served.trigger_close(trigger);
            first.reply_to.send(FinalAnswer::Failed);
            expect_reply(&mut served.client, b"-ERR failed\r\n").await;
        } else {
            served.send_without_yielding(&encoded_call());
            served.trigger_close(trigger);
        }
        receive_request(&mut served.inbox).await.reply_to.send(FinalAnswer::Failed);
        expect_reply(&mut served.client, b"-ERR failed\r\n").await;
    }
}

#[tokio::test]
async fn bytes_that_arrive_after_a_close_are_discarded_without_a_reset() {
    for trigger in CLOSE_TRIGGERS {
        let mut served = ServedConnection::start().await;
        served.send_without_yielding(&encoded_call());
        let last = receive_request(&mut served.inbox).await;
        match trigger {
            // The slot is released before the client has closed the connection.
            CloseTrigger::SlotWanted => served.trigger_close(trigger),
            CloseTrigger::Eviction | CloseTrigger::Shutdown => {}
        }
        last.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"last")));
        // The reply has been sent, and the client has not read it yet.
        served.client.readable().await.unwrap();
        served.trigger_close(trigger);
        if trigger == CloseTrigger::Shutdown {
            // The connection is evicted while it lingers.
            while served.slot.get().0 != Activity::Lingering {
                tokio::task::yield_now().await;
            }
            served.trigger_close(CloseTrigger::Eviction);
        }
        let slot_permit = timeout(Duration::from_secs(20), served.slot_permits.acquire()).await;
        drop(slot_permit.expect("the slot has not been released").unwrap());
        for _ in 0..3 {
            served.send_without_yielding(&encoded_call());
            tokio::task::yield_now().await;
        }
        let mut all = Vec::new();
        let read = timeout(Duration::from_secs(20), served.client.read_to_end(&mut all)).await;
        assert!(read.expect("connection not closed").is_ok(), "{trigger:?}: reset after {all:?}");
        assert_eq!(all, b"$4\r\nlast\r\n", "{trigger:?}");
        assert!(
            served.inbox.try_recv().is_err(),
            "{trigger:?}: a request was read and forwarded after the close"
        );
    }
}

#[tokio::test]
async fn a_connection_that_closes_for_another_reason_clears_the_request_for_a_slot() {
    for client_disconnects in [false, true] {
        let mut served = ServedConnection::start().await;
        served.trigger_close(CloseTrigger::SlotWanted);
        if client_disconnects {
            served.client.shutdown().await.unwrap();
        } else {
            served.trigger_close(CloseTrigger::Shutdown);
        }
        let slot_permit = timeout(Duration::from_secs(20), served.slot_permits.acquire()).await;
        drop(slot_permit.expect("the slot has not been released").unwrap());
        let is_slot_wanted = served.contention.is_wanted();
        assert!(
            !is_slot_wanted,
            "another connection would close too; client disconnects: {client_disconnects}"
        );
    }
}

#[tokio::test]
async fn the_oldest_connections_that_linger_without_a_slot_are_closed() {
    let contention = SlotContention::default();
    let linger = |contention: SlotContention| {
        tokio::spawn(async move { contention.linger_without_slot(std::future::pending::<()>()).await })
    };
    let mut lingering: Vec<_> = (0..MAX_LINGERING + 2).map(|_| linger(contention.clone())).collect();
    for oldest in lingering.drain(..2) {
        timeout(Duration::from_secs(20), oldest).await.expect("too many connections linger").unwrap();
    }
    assert!(lingering.iter().all(|task| !task.is_finished()));
}

/// A client that sends more than the limits allow is abandoned: its request in flight is reported as disconnected and
/// answered with a failure, before the replies to later commands. A late response is discarded.
#[tokio::test]
async fn a_client_that_sends_beyond_the_limits_is_abandoned() {
    let alternating = [&encoded_call()[..], PING].concat();
    for (input, flood) in [
        ("undecodable bytes", vec![b'x'; 2 * MAX_DISCARDED_BYTES]),
        ("commands with alternating replies", alternating.repeat(8 * MAX_PENDING_RUNS)),
    ] {
        let mut served = ServedConnection::start().await;
        let (mut reader, mut writer) = served.client.split();
        let sending = async {
            writer.write_all(&encoded_call()).await.unwrap();
            // The connection is closed before all of it has been written.
            let _ = writer.write_all(&flood).await;
        };
        let reading = async {
            let in_flight = receive_request(&mut served.inbox).await;
            let event =
                timeout(Duration::from_secs(20), served.inbox.recv()).await.expect("client not abandoned");
            assert!(
                matches!(event, Some(TrafficEvent::ClientDisconnected(id)) if id == in_flight.request.id),
                "{input}: {event:?}"
            );
            in_flight.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"late")));
            let mut first = [0; 13];
            reader.read_exact(&mut first).await.unwrap();
            assert_eq!(&first, b"-ERR failed\r\n", "{input}");
        };
        timeout(Duration::from_secs(20), async { tokio::join!(sending, reading) }).await.expect(input);
    }
}

#[tokio::test]
async fn commands_far_beyond_a_full_pipeline_are_rejected_in_order() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (mut context, mut inbox) = context(2, phases);
    context.budget =
        CommandBudget { slots: Arc::new(Semaphore::new(512)), bytes: Arc::new(Semaphore::new(64 << 20)) };
    let (mut reader, mut writer) = TcpStream::connect(start_accepting(context)).await.unwrap().into_split();
    // Encodes a call. With a length above zero, it is long and invalid, since it has an additional argument of this
    // length.
    let encode_call = |length: usize| {
        let list = "c=read,t=team,d=900,units=1,spread=1,first=0";
        let parts = ["CALL.GET", "0000000000000001", "0000000000000002", list];
        let mut call = BytesMut::new();
        resp::encode_array_header(&mut call, parts.len() + usize::from(length > 0));
        parts.iter().for_each(|part| resp::encode_bulk(&mut call, part.as_bytes()));
        if length > 0 {
            resp::encode_bulk(&mut call, &vec![b'x'; length]);
        }
        call
    };
    // Far more than the kernel's buffers hold: once all of it has been written, most of it has been read.
    let long_calls = 500;
    let all: Vec<u8> = std::iter::repeat_n(encode_call(0), MAX_PIPELINE)
        .chain(std::iter::repeat_n(encode_call(60_000), long_calls))
        .flatten()
        .collect();
    let writing = async {
        timeout(Duration::from_secs(20), writer.write_all(&all)).await.expect("input not read").unwrap()
    };
    let mut requests = Vec::new();
    let receiving = async {
        for _ in 0..MAX_PIPELINE {
            requests.push(receive_request(&mut inbox).await);
        }
    };
    tokio::join!(writing, receiving);
    for (number, incoming) in (0..).zip(requests.drain(..).rev()) {
        incoming.reply_to.send(if number % 2 == 0 {
            FinalAnswer::Failed
        } else {
            FinalAnswer::Rejected(Some(MS))
        });
    }
    let mut replies = Vec::new();
    let mut lines = tokio::io::BufReader::new(&mut reader);
    for _ in 0..MAX_PIPELINE + long_calls {
        let mut line = String::new();
        let read = tokio::io::AsyncBufReadExt::read_line(&mut lines, &mut line);
        timeout(Duration::from_secs(20), read).await.expect("no reply in time").unwrap();
        replies.push(line);
    }
    let (pipeline, beyond) = replies.split_at(MAX_PIPELINE);
    let is_expected = |(number, line): (usize, &String)| {
        line == if number % 2 == 0 { "-BUSY 1\r\n" } else { "-ERR failed\r\n" }
    };
    assert!(pipeline.iter().enumerate().all(is_expected), "{pipeline:?}");
    // A long call that is processed instead of rejected gets an error. That is so for the last ones, which were still
    // in the kernel's buffers when the pipeline became free.
    let rejected = beyond.iter().take_while(|line| *line == "-BUSY\r\n").count();
    assert!(rejected >= long_calls / 2 && rejected < long_calls, "{rejected} are rejected");
    assert!(beyond[rejected..].iter().all(|line| line.starts_with("-ERR wrong number")), "{beyond:?}");
}

/// The kernel has already established the connections in the accept queue when the phase `Closing` begins: they are
/// served instead of reset.
#[tokio::test]
async fn connections_in_the_accept_queue_when_closing_begins_are_answered() {
    let (phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(8, phases);
    let address = start_accepting(context);
    let mut early = TcpStream::connect(address).await.unwrap();
    early.write_all(&encoded_call()).await.unwrap();
    let in_flight = receive_request(&mut inbox).await;
    // No task is notified of the following until the test waits.
    let mut late: Vec<std::net::TcpStream> =
        (0..3).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    late.iter_mut().for_each(|client| std::io::Write::write_all(client, &encoded_call()).unwrap());
    phase.send_replace(LifecyclePhase::Closing);
    for _ in &late {
        receive_request(&mut inbox).await.reply_to.send(FinalAnswer::Failed);
    }
    in_flight.reply_to.send(FinalAnswer::Failed);
    let to_tokio = |client: std::net::TcpStream| {
        client.set_nonblocking(true).unwrap();
        TcpStream::from_std(client).unwrap()
    };
    for mut client in late.into_iter().map(to_tokio).chain([early]) {
        let mut all = String::new();
        let read = timeout(Duration::from_secs(20), client.read_to_string(&mut all)).await;
        read.expect("connection not closed").expect("connection reset");
        assert_eq!(all, "-ERR failed\r\n");
    }
    let stopped_listening = async { while TcpStream::connect(address).await.is_ok() {} };
    timeout(Duration::from_secs(20), stopped_listening).await.expect("still listening");
}

/// The client writes more commands at once than the pipeline holds, and then nothing: no command may wait for another
/// event.
#[tokio::test]
async fn commands_beyond_the_pipeline_are_answered_without_a_further_event() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, _inbox) = context(2, phases);
    let mut client = TcpStream::connect(start_accepting(context)).await.unwrap();
    for count in [MAX_PIPELINE + 1, 3 * MAX_PIPELINE] {
        client.write_all(&b"*1\r\n$4\r\nPING\r\n".repeat(count)).await.unwrap();
        expect_reply(&mut client, &b"+PONG\r\n".repeat(count)).await;
    }
}

/// Guards against calls that are read and never answered: a client with more than 1,024 unanswered commands was
/// disconnected, although rejections take almost no memory.
#[test]
fn ten_thousand_calls_written_at_once_are_all_answered() {
    let mut connection = SimulatedConnection::start();
    connection.stream.0.lock().unwrap().writable = usize::MAX;
    let calls = 10_000;
    connection.stream.send(&encoded_call().repeat(calls));
    assert!(connection.run(MS), "closed with unanswered calls");
    assert_eq!(connection.take_replies(), "", "the first call has no reply yet");
    let mut requests = Vec::new();
    while let Ok(TrafficEvent::Request(incoming)) = connection.inbox.try_recv() {
        requests.push(incoming);
    }
    let forwarded = requests.len();
    assert_eq!(forwarded, MAX_PIPELINE);
    requests.into_iter().rev().for_each(|incoming| incoming.reply_to.send(FinalAnswer::Failed));
    assert!(connection.run(MS), "closed with unanswered calls");
    while let Ok(TrafficEvent::Request(incoming)) = connection.inbox.try_recv() {
        incoming.reply_to.send(FinalAnswer::Failed);
        connection.run(MS);
    }
    let replies = connection.take_replies();
    let rejected = replies.matches("-BUSY\r\n").count();
    assert_eq!(rejected + replies.matches("-ERR failed\r\n").count(), calls);
    assert!(replies.starts_with(&"-ERR failed\r\n".repeat(forwarded)), "not in the order of the commands");
    assert!(rejected > calls / 2, "{rejected} calls were rejected");
}

/// State of a fake stream between a connection and its client, which the test controls in virtual time.
#[derive(Default)]
struct StreamState {
    /// Bytes that the connection can read.
    readable: BytesMut,
    /// Whether the kernel has input that the runtime has not been notified of.
    has_kernel_input: bool,
    read_waker: Option<Waker>,
    /// Number of reply bytes that the client will read. The connection's task is not woken when this increases.
    writable: usize,
    /// The reply bytes that the client has read.
    written: Vec<u8>,
}

#[derive(Clone, Default)]
struct FakeStream(Arc<Mutex<StreamState>>);

impl FakeStream {
    fn send(&self, bytes: &[u8]) {
        let mut state = self.0.lock().unwrap();
        state.readable.extend_from_slice(bytes);
        state.read_waker.take().into_iter().for_each(Waker::wake);
    }
}

impl AsyncRead for FakeStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.0.lock().unwrap();
        if state.readable.is_empty() {
            state.read_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let count = state.readable.len().min(buf.remaining());
        buf.put_slice(&state.readable.split_to(count));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FakeStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.0.lock().unwrap();
        let count = state.writable.min(bytes.len());
        state.writable -= count;
        state.written.extend_from_slice(&bytes[..count]);
        if count > 0 {
            Poll::Ready(Ok(count))
        } else {
            Poll::Pending
        }
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut std::task::Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut std::task::Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Writer for FakeStream {
    fn has_no_unread_input(&self) -> bool {
        !self.0.lock().unwrap().has_kernel_input
    }
    fn reset(self) {}
}

/// A new connection on a fake stream, in a simulation.
struct SimulatedConnection {
    sim: Sim,
    stream: FakeStream,
    slot: Arc<ConnectionSlot>,
    contention: SlotContention,
    inbox: UnboundedReceiver<TrafficEvent>,
    has_ended: Arc<AtomicBool>,
    phase: watch::Sender<LifecyclePhase>,
}

impl SimulatedConnection {
    fn start() -> SimulatedConnection {
        SimulatedConnection::start_with("safe", None)
    }

    /// Starts with a class of these semantics, and a budget in place of one that is large enough for most tests.
    fn start_with(semantics: &str, budget: Option<CommandBudget>) -> SimulatedConnection {
        let sim = Sim::new(SimConfig { seed: 1, start: SECOND, network: Default::default() });
        let env: SimEnv = sim.machine("gateway", Place::Building(0)).process("gateway");
        let (phase, phases) = watch::channel(LifecyclePhase::Ready);
        let (mut context, inbox) = context_in(env.clone(), semantics, 512, phases);
        context.budget = budget.unwrap_or(context.budget);
        let (stream, has_ended) = (FakeStream::default(), Arc::new(AtomicBool::new(false)));
        let (mut reader, mut writer, ended) = (stream.clone(), stream.clone(), has_ended.clone());
        let (slot, contention) = (Arc::new(ConnectionSlot::new(env.now())), context.contention.clone());
        let own = slot.clone();
        env.spawn(async move {
            let (mut connection, inbox) = Connection::new(context, own);
            let _ = connection.run(&mut reader, &mut writer, inbox).await;
            ended.store(true, Ordering::Relaxed);
        });
        SimulatedConnection { sim, stream, slot, contention, inbox, has_ended, phase }
    }

    /// Advances the virtual time. Returns whether the connection is still open.
    fn run(&self, span: Span) -> bool {
        self.sim.run_until(self.sim.now() + span).unwrap();
        !self.has_ended.load(Ordering::Relaxed)
    }

    /// Returns the replies that the client has read since the last call.
    fn take_replies(&self) -> String {
        String::from_utf8(std::mem::take(&mut self.stream.0.lock().unwrap().written)).unwrap()
    }

    fn receive_request(&mut self) -> IncomingRequest {
        match self.inbox.try_recv() {
            Ok(TrafficEvent::Request(incoming)) => *incoming,
            other => panic!("{other:?}"),
        }
    }
}

/// A client reads half of a reply each second, and each time the connection first receives the answer to another
/// command: the bytes that are written then renew the write deadline like all others.
#[test]
fn a_client_that_reads_slowly_while_answers_arrive_is_not_disconnected() {
    let mut connection = SimulatedConnection::start();
    connection.stream.send(&encoded_call().repeat(MAX_PIPELINE));
    assert!(connection.run(MS));
    for second in 0..MAX_PIPELINE {
        let value = vec![b'v'; 2_000];
        connection.receive_request().reply_to.send(FinalAnswer::Response(value.into()));
        connection.stream.0.lock().unwrap().writable += 1_000;
        assert!(connection.run(SECOND), "closed after {second} s");
    }
    assert!(!connection.run(READ_TIMEOUT), "the client has stopped reading");
}

/// When the command deadline expires, the connection checks the kernel for input that the runtime has not been notified
/// of.
#[test]
fn a_first_command_in_the_kernel_buffer_at_the_command_timeout_is_accepted() {
    for has_kernel_input in [true, false] {
        let mut connection = SimulatedConnection::start();
        connection.run(COMMAND_TIMEOUT - 1);
        connection.stream.0.lock().unwrap().has_kernel_input = has_kernel_input;
        assert_eq!(
            connection.run(2),
            has_kernel_input,
            "closed despite a command, or still open without one"
        );
        if has_kernel_input {
            connection.stream.send(&encoded_call());
            assert!(connection.run(MS));
            connection.receive_request();
        }
    }
}

/// The connection is evicted, once or several times, after it has received another request. It refuses, so that another
/// connection is evicted, and stays open when it becomes idle.
#[test]
fn an_eviction_while_busy_does_not_close_the_connection_when_it_becomes_idle() {
    for evictions in [1, 2] {
        let mut connection = SimulatedConnection::start();
        connection.stream.0.lock().unwrap().writable = usize::MAX;
        connection.stream.send(&encoded_call());
        connection.run(MS);
        (0..evictions).for_each(|_| connection.slot.evict.notify_one());
        assert!(connection.run(MS), "closed with a request in flight");
        let eviction_refused = connection.contention.eviction_refused.clone();
        assert!(pin!(eviction_refused.notified()).enable(), "the listener is not notified of the refusal");
        connection.receive_request().reply_to.send(FinalAnswer::Failed);
        assert!(connection.run(MS), "closed after {evictions} evictions");
        connection.slot.evict.notify_one();
        assert!(!connection.run(MS), "not closed by an eviction while idle");
    }
}

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

fn encoded_order(body_length: usize) -> BytesMut {
    let list = "c=order,t=team,d=900,units=1,spread=1,first=0";
    let mut order = BytesMut::new();
    resp::encode_array_header(&mut order, 5);
    for part in ["CALL.POST", "0000000000000001", "0000000000000002", list] {
        resp::encode_bulk(&mut order, part.as_bytes());
    }
    resp::encode_bulk(&mut order, &vec![b'b'; body_length]);
    order
}

/// A connection with an order in flight, and the permits that leave no memory for the bytes of further commands.
fn connection_without_command_memory() -> (SimulatedConnection, OwnedSemaphorePermit) {
    let bytes = Arc::new(Semaphore::new(resp::MAX_FRAME));
    let budget = CommandBudget { slots: Arc::new(Semaphore::new(64)), bytes: bytes.clone() };
    let connection = SimulatedConnection::start_with("unsafe", Some(budget));
    connection.stream.0.lock().unwrap().writable = usize::MAX;
    // Longer than the unbudgeted bytes.
    connection.stream.send(&encoded_order(5_000));
    assert!(connection.run(MS));
    let available = u32::try_from(bytes.available_permits()).unwrap();
    (connection, bytes.try_acquire_many_owned(available).unwrap())
}

/// Guards against orders that were written completely and never answered: when the memory for commands had no room for
/// the rest of one, it and all behind it were discarded, and the connection was closed.
#[test]
fn a_long_command_without_memory_is_rejected_at_its_end_and_the_commands_behind_it_are_answered() {
    let order = encoded_order(60_000);
    let commands = [&order[..], &order, PING].concat();
    let within_first = [1, 1_000, 5_000, 40_000].into_iter().chain(order.len() - 3..order.len() + 3);
    for split_at in within_first.chain([order.len() + 5_000, 2 * order.len()]) {
        let (mut connection, permits) = connection_without_command_memory();
        for part in [&commands[..split_at], &commands[split_at..]] {
            connection.stream.send(part);
            assert!(connection.run(MS), "closed; first part of {split_at} bytes");
        }
        assert_eq!(connection.take_replies(), "", "the first command has no reply yet");
        connection.receive_request().reply_to.send(FinalAnswer::Failed);
        assert!(connection.run(COMMAND_TIMEOUT + MS), "closed; first part of {split_at} bytes");
        assert_eq!(
            connection.take_replies(),
            "-ERR failed\r\n-BUSY\r\n-BUSY\r\n+PONG\r\n",
            "first part of {split_at} bytes"
        );
        drop(permits);
        connection.stream.send(&order);
        assert!(connection.run(MS));
        connection.receive_request();
    }
}

/// Guards against health checks that are skipped because they arrive in pieces: what a connection holds for its
/// requests in flight has room for one.
#[test]
fn a_health_check_in_pieces_is_answered_without_memory_for_commands() {
    let (mut connection, _permits) = connection_without_command_memory();
    for piece in [&PING[..5], &PING[5..]] {
        connection.stream.send(piece);
        assert!(connection.run(MS));
    }
    connection.receive_request().reply_to.send(FinalAnswer::Failed);
    assert!(connection.run(MS));
    assert_eq!(connection.take_replies(), "-ERR failed\r\n+PONG\r\n");
}

/// A command that is skipped counts as one that has arrived in part: its connection is not evicted, stays open in the
/// phase `Closing`, and gets an error if the rest is late.
#[test]
fn a_long_command_without_memory_keeps_its_connection_until_its_rest_is_late() {
    let (order, arrived) = (encoded_order(60_000), 40_000);
    for (rest_arrives, phase) in [
        (true, LifecyclePhase::Ready),
        (true, LifecyclePhase::Closing),
        (false, LifecyclePhase::Ready),
        (false, LifecyclePhase::Closing),
    ] {
        let case = format!("{phase:?}, rest arrives: {rest_arrives}");
        let (mut connection, _permits) = connection_without_command_memory();
        connection.stream.send(&order[..arrived]);
        assert!(connection.run(MS), "{case}");
        connection.receive_request().reply_to.send(FinalAnswer::Failed);
        assert!(connection.run(MS), "{case}");
        assert_eq!(connection.take_replies(), "-ERR failed\r\n", "{case}");
        connection.slot.evict.notify_one();
        assert!(connection.run(MS), "evicted in the middle of a command; {case}");
        connection.phase.send_replace(phase);
        assert!(connection.run(COMMAND_TIMEOUT - 4 * MS), "closed in the middle of a command; {case}");
        assert_eq!(connection.take_replies(), "", "{case}");
        if rest_arrives {
            connection.stream.send(&order[arrived..]);
        }
        let is_open = connection.run(10 * MS);
        let expected =
            if rest_arrives { "-BUSY\r\n" } else { "-ERR protocol error: command not whole in time\r\n" };
        assert_eq!(connection.take_replies(), expected, "{case}");
        assert_eq!(is_open, rest_arrives && phase == LifecyclePhase::Ready, "{case}");
    }
}

#[test]
fn a_long_command_without_memory_that_is_malformed_ends_with_an_error_after_the_earlier_replies() {
    let (mut connection, _permits) = connection_without_command_memory();
    let (mut order, arrived) = (encoded_order(60_000), 40_000);
    let end = order.len() - 2;
    order[end..].copy_from_slice(b"xx");
    for part in [&order[..arrived], &order[arrived..]] {
        connection.stream.send(part);
        assert!(connection.run(MS));
    }
    connection.receive_request().reply_to.send(FinalAnswer::Failed);
    assert!(!connection.run(MS));
    assert_eq!(connection.take_replies(), "-ERR failed\r\n-ERR protocol error: malformed bulk end\r\n");
}
