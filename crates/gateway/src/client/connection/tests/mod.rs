//! Tests of client connections: on loopback sockets, and on a stream that the test controls in virtual time.

mod closing;
mod memory;
mod pipeline;

use super::input::{MAX_PENDING_RUNS, MAX_PIPELINE, UNBUDGETED_RUNS};
use super::*;
use crate::client::linger::{MAX_DISCARDED_BYTES, MAX_LINGERING};
use crate::client::listener::{accept, listen, ConnectionLimits};
use crate::client::replies::READ_TIMEOUT;
use crate::client::slots::SlotContention;
use crate::client::CommandBudget;
use crate::config::memory_budget::MemoryBudget;
use crate::messages::{FinalAnswer, IncomingRequest};
use bytes::{Bytes, BytesMut};
use cluster_model::SECOND;
use platform_settings::PlatformSettings;
use policy::api::Span;
use runtime::{Listener, SystemEnv, Writer};
use simulated_runtime::{Place, Sim, SimConfig, SimEnv};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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
    /// Maximum number of reply bytes that the connection's task has written in one poll.
    max_written_in_poll: Arc<AtomicUsize>,
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
        let max_written_in_poll = Arc::new(AtomicUsize::new(0));
        let (own, max_written, polled) = (slot.clone(), max_written_in_poll.clone(), stream.clone());
        env.spawn(async move {
            let (mut connection, inbox) = Connection::new(context, own);
            let mut run = pin!(connection.run(&mut reader, &mut writer, inbox));
            let written = || polled.0.lock().unwrap().written.len();
            let _ = poll_fn(|context| {
                let before = written();
                let poll = run.as_mut().poll(context);
                max_written.fetch_max(written() - before, Ordering::Relaxed);
                poll
            })
            .await;
            ended.store(true, Ordering::Relaxed);
        });
        SimulatedConnection { sim, stream, slot, contention, inbox, has_ended, phase, max_written_in_poll }
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

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
