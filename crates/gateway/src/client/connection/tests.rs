use super::input::{MAX_OUTSTANDING, MAX_PIPELINE};
use super::*;
use crate::client::linger::{MAX_DISCARDED, MAX_LINGERING};
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
    room: usize,
    phase: watch::Receiver<LifecyclePhase>,
) -> (Context<SystemEnv>, UnboundedReceiver<TrafficEvent>) {
    context_in(SystemEnv::start(), room, phase)
}

fn context_in<E: Env>(
    env: E,
    room: usize,
    phase: watch::Receiver<LifecyclePhase>,
) -> (Context<E>, UnboundedReceiver<TrafficEvent>) {
    let settings = crate::config::sample("safe", 1_000_000_000, 1_000_000_000);
    let (gateway, inbox) = mpsc::unbounded_channel();
    let platform = Arc::new(PlatformSettings::parse(&settings).unwrap());
    let memory = MemoryBudget::within(room * 2 * resp::MAX_VALUE, 0);
    let context = Context::new(env, platform, gateway, phase, CommandBudget::within(&memory));
    (context, inbox)
}

async fn request(inbox: &mut UnboundedReceiver<TrafficEvent>) -> IncomingRequest {
    match timeout(Duration::from_secs(20), inbox.recv()).await.unwrap() {
        Some(TrafficEvent::Request(incoming)) => *incoming,
        other => panic!("{other:?}"),
    }
}

fn a_call() -> BytesMut {
    let mut call = BytesMut::new();
    resp::encode_array_header(&mut call, 4);
    for word in
        ["CALL.GET", "0000000000000001", "0000000000000002", "c=read,t=team,d=900,units=1,spread=1,first=0"]
    {
        resp::encode_bulk(&mut call, word.as_bytes());
    }
    call
}

/// Accepts connections with this room for their commands.
fn accepting(context: Context<SystemEnv>) -> SocketAddr {
    let listener = listen(&context.env, "127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(accept(listener, ConnectionLimits { connections: 16, callers: 16 }, context));
    address
}

async fn expect(client: &mut TcpStream, wanted: &[u8]) {
    let mut got = vec![0; wanted.len()];
    timeout(Duration::from_secs(20), client.read_exact(&mut got)).await.expect("starved").unwrap();
    assert_eq!(String::from_utf8_lossy(&got), String::from_utf8_lossy(wanted));
}

#[tokio::test]
async fn commands_in_hand_are_bounded_over_all_connections() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(2, phases);
    let (address, call) = (accepting(context), a_call());
    let (mut clients, mut taken) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(&call).await.unwrap();
        taken.push(request(&mut inbox).await);
        clients.push(client);
    }
    let mut other = TcpStream::connect(address).await.unwrap();
    other.write_all(&call).await.unwrap();
    expect(&mut other, b"-BUSY\r\n").await;
    taken.pop().unwrap().reply_to.send(FinalAnswer::Failed);
    expect(&mut clients[1], b"-ERR failed\r\n").await;
    other.write_all(&call).await.unwrap();
    request(&mut inbox).await.reply_to.send(FinalAnswer::Failed);
}

#[tokio::test]
async fn a_connection_that_takes_many_places_leaves_some_to_others() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(8, phases);
    let (address, call) = (accepting(context), a_call());
    let mut greedy = TcpStream::connect(address).await.unwrap();
    greedy.write_all(&call.repeat(8)).await.unwrap();
    // The first holds none of eight, the second one of seven left; two are not fewer than a quarter of six.
    let (first, second) = (request(&mut inbox).await, request(&mut inbox).await);
    let mut others = Vec::new();
    for _ in 0..6 {
        let mut other = TcpStream::connect(address).await.unwrap();
        other.write_all(&call).await.unwrap();
        request(&mut inbox).await.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"v")));
        expect(&mut other, b"$1\r\nv\r\n").await;
        others.push(other);
    }
    first.reply_to.send(FinalAnswer::Failed);
    second.reply_to.send(FinalAnswer::Failed);
    expect(&mut greedy, b"-ERR failed\r\n-ERR failed\r\n-BUSY\r\n-BUSY\r\n").await;
}

#[tokio::test]
async fn a_value_that_is_not_read_keeps_its_place() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(1, phases);
    let (address, call) = (accepting(context), a_call());
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut deaf = socket.connect(address).await.unwrap();
    // So many values that some are not taken by the system's buffers.
    let mut unread = 0;
    let mut other = TcpStream::connect(address).await.unwrap();
    loop {
        deaf.write_all(&call).await.unwrap();
        let next = timeout(Duration::from_secs(20), inbox.recv());
        let Ok(Some(TrafficEvent::Request(incoming))) = next.await else { panic!("no request") };
        incoming.reply_to.send(FinalAnswer::Response(Bytes::from(vec![b'x'; resp::MAX_VALUE])));
        unread += 1;
        other.write_all(&call).await.unwrap();
        let busy = async {
            let mut answer = [0; 7];
            other.read_exact(&mut answer).await.unwrap();
            answer
        };
        tokio::select! {
            biased;
            answer = busy => {
                assert_eq!(&answer, b"-BUSY\r\n");
                break;
            }
            Some(TrafficEvent::Request(incoming)) = inbox.recv() => {
                incoming.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"v")));
            }
        }
        expect(&mut other, b"$1\r\nv\r\n").await;
        assert!(unread < 1000, "unread values take no places");
    }
}

#[tokio::test]
async fn without_room_each_whole_command_gets_an_answer_of_its_own() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (mut context, mut inbox) = context(2, phases);
    context.budget =
        CommandBudget { slots: Arc::new(Semaphore::new(64)), bytes: Arc::new(Semaphore::new(1)) };
    tokio::spawn(async move {
        while let Some(TrafficEvent::Request(incoming)) = inbox.recv().await {
            incoming.reply_to.send(FinalAnswer::Failed);
        }
    });
    let mut client = TcpStream::connect(accepting(context)).await.unwrap();
    // More than the free bytes, in one go.
    let mut all = a_call().repeat(200);
    all.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
    client.write_all(&all).await.unwrap();
    let mut answers = String::new();
    while !answers.ends_with("+PONG\r\n") {
        let byte = timeout(Duration::from_secs(20), client.read_u8()).await.expect("no PONG").unwrap();
        answers.push(char::from(byte));
    }
    let count = |what: &str| answers.matches(what).count();
    assert_eq!(count("-BUSY\r\n") + count("-ERR failed\r\n"), 200, "{answers}");
    assert!(count("-BUSY\r\n") > 0, "there was room");
}

#[tokio::test]
async fn long_commands_beyond_the_room_are_an_error_not_a_wait() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (mut context, _inbox) = context(2, phases);
    context.budget = CommandBudget::within(&MemoryBudget::within(8 * 64 * 1024, 0));
    let address = accepting(context);
    let mut begun = BytesMut::new();
    resp::encode_array_header(&mut begun, 5);
    resp::encode_bulk_header(&mut begun, resp::MAX_VALUE);
    begun.resize(40 * 1024, b'x');
    let mut first = TcpStream::connect(address).await.unwrap();
    first.write_all(&begun).await.unwrap();
    let mut second = TcpStream::connect(address).await.unwrap();
    second.write_all(&begun).await.unwrap();
    // Either may be the one without room.
    let refused = tokio::select! {
        byte = first.read_u8() => byte.unwrap(),
        byte = second.read_u8() => byte.unwrap(),
    };
    assert_eq!(refused, b'-');
}

/// One connection that has had its first answer, with all that its task shares with others.
struct Served {
    client: TcpStream,
    phase: watch::Sender<LifecyclePhase>,
    contention: SlotContention,
    slot: Arc<ConnectionSlot>,
    places: Arc<Semaphore>,
    inbox: UnboundedReceiver<TrafficEvent>,
}

impl Served {
    async fn start() -> Served {
        let (phase, phases) = watch::channel(LifecyclePhase::Ready);
        let (context, inbox) = context(4, phases);
        let mut listener = listen(&context.env, "127.0.0.1:0".parse().unwrap()).unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (slot, places) = (Arc::new(ConnectionSlot::new(context.env.now())), Arc::new(Semaphore::new(1)));
        let (contention, permit) = (context.contention.clone(), places.clone().try_acquire_owned().unwrap());
        tokio::spawn(serve(stream, context, slot.clone(), permit));
        let mut inbox = inbox;
        client.write_all(&a_call()).await.unwrap();
        request(&mut inbox).await.reply_to.send(FinalAnswer::Failed);
        expect(&mut client, b"-ERR failed\r\n").await;
        Served { client, phase, contention, slot, places, inbox }
    }

    /// Sends a request that only the system knows of: until the test waits, nobody is told.
    fn send_unseen(&self, what: &[u8]) {
        assert_eq!(self.client.try_write(what).unwrap(), what.len());
    }

    /// Why it is to close: now, or (`full`) after its next answer.
    fn close_for(&self, reason: Reason) {
        match reason {
            Reason::Full => self.contention.set_wanted(true),
            Reason::Told => self.slot.evict.notify_one(),
            Reason::Stop => drop(self.phase.send_replace(LifecyclePhase::Closing)),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Reason {
    Full,
    Told,
    Stop,
}

const REASONS: [Reason; 3] = [Reason::Full, Reason::Told, Reason::Stop];

// These run on one thread: between two waits of the test nobody reads.

#[tokio::test]
async fn a_request_that_lies_with_the_system_before_a_close_is_answered() {
    for reason in REASONS {
        let mut served = Served::start().await;
        if reason == Reason::Full {
            served.send_unseen(&a_call());
            let first = request(&mut served.inbox).await;
            served.send_unseen(&a_call());
            served.close_for(reason);
            first.reply_to.send(FinalAnswer::Failed);
            expect(&mut served.client, b"-ERR failed\r\n").await;
        } else {
            served.send_unseen(&a_call());
            served.close_for(reason);
        }
        request(&mut served.inbox).await.reply_to.send(FinalAnswer::Failed);
        expect(&mut served.client, b"-ERR failed\r\n").await;
    }
}

#[tokio::test]
async fn bytes_that_come_after_a_close_are_dropped_and_make_it_no_reset() {
    for reason in REASONS {
        let mut served = Served::start().await;
        served.send_unseen(&a_call());
        let last = request(&mut served.inbox).await;
        match reason {
            // Its place is free before its client has ended.
            Reason::Full => served.close_for(reason),
            Reason::Told | Reason::Stop => {}
        }
        last.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"last")));
        // The answer has left, and nobody has read it.
        served.client.readable().await.unwrap();
        served.close_for(reason);
        if reason == Reason::Stop {
            // It lingers, and is told to make room.
            while served.slot.get().0 != Activity::Lingering {
                tokio::task::yield_now().await;
            }
            served.close_for(Reason::Told);
        }
        let place = timeout(Duration::from_secs(20), served.places.acquire()).await;
        drop(place.expect("its place stays taken").unwrap());
        for _ in 0..3 {
            served.send_unseen(&a_call());
            tokio::task::yield_now().await;
        }
        let mut all = Vec::new();
        let read = timeout(Duration::from_secs(20), served.client.read_to_end(&mut all)).await;
        assert!(read.expect("no end").is_ok(), "{reason:?}: a reset, behind {all:?}");
        assert_eq!(all, b"$4\r\nlast\r\n", "{reason:?}");
        assert!(served.inbox.try_recv().is_err(), "{reason:?}: read after the shutdown and sent on");
    }
}

#[tokio::test]
async fn one_that_closes_by_itself_gives_its_place_to_whoever_waits_for_one() {
    for client_goes in [false, true] {
        let mut served = Served::start().await;
        served.close_for(Reason::Full);
        if client_goes {
            served.client.shutdown().await.unwrap();
        } else {
            served.close_for(Reason::Stop);
        }
        let place = timeout(Duration::from_secs(20), served.places.acquire()).await;
        drop(place.expect("its place stays taken").unwrap());
        let is_full = served.contention.is_wanted();
        assert!(!is_full, "another would go for it as well; its client goes: {client_goes}");
    }
}

#[tokio::test]
async fn of_those_that_linger_without_a_place_the_oldest_are_cut() {
    let contention = SlotContention::default();
    let linger = |contention: SlotContention| {
        tokio::spawn(async move { contention.linger_without_slot(std::future::pending::<()>()).await })
    };
    let mut lingering: Vec<_> = (0..MAX_LINGERING + 2).map(|_| linger(contention.clone())).collect();
    for cut in lingering.drain(..2) {
        timeout(Duration::from_secs(20), cut).await.expect("too many linger").unwrap();
    }
    assert!(lingering.iter().all(|task| !task.is_finished()));
}

/// A client that floods gets its answers in order, then an end; what it waits for is let go.
#[tokio::test]
async fn a_client_that_sends_without_an_end_is_given_up() {
    let ping = b"*1\r\n$4\r\nPING\r\n";
    for (what, flood) in
        [("nonsense", vec![b'x'; 2 * MAX_DISCARDED]), ("commands", ping.repeat(16 * MAX_OUTSTANDING))]
    {
        let mut served = Served::start().await;
        let (mut from, mut to) = served.client.split();
        let sending = async {
            to.write_all(&a_call()).await.unwrap();
            // At last it is closed in the middle of it.
            let _ = to.write_all(&flood).await;
        };
        let reading = async {
            let waiting = request(&mut served.inbox).await;
            let left =
                timeout(Duration::from_secs(20), served.inbox.recv()).await.expect("it is not given up");
            assert!(
                matches!(left, Some(TrafficEvent::ClientDisconnected(id)) if id == waiting.request.id),
                "{what}: {left:?}"
            );
            waiting.reply_to.send(FinalAnswer::Response(Bytes::from_static(b"late")));
            let mut first = [0; 13];
            from.read_exact(&mut first).await.unwrap();
            assert_eq!(&first, b"-ERR failed\r\n", "{what}");
        };
        timeout(Duration::from_secs(20), async { tokio::join!(sending, reading) }).await.expect(what);
    }
}

#[tokio::test]
async fn commands_far_behind_a_full_pipeline_are_refused_in_their_order() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (mut context, mut inbox) = context(2, phases);
    context.budget =
        CommandBudget { slots: Arc::new(Semaphore::new(512)), bytes: Arc::new(Semaphore::new(64 << 20)) };
    let (mut from, mut to) = TcpStream::connect(accepting(context)).await.unwrap().into_split();
    // A word that means nothing makes a call long.
    let long = |length: usize| {
        let list = "c=read,t=team,d=900,units=1,spread=1,first=0";
        let words = ["CALL.GET", "0000000000000001", "0000000000000002", list];
        let mut call = BytesMut::new();
        resp::encode_array_header(&mut call, words.len() + usize::from(length > 0));
        words.iter().for_each(|word| resp::encode_bulk(&mut call, word.as_bytes()));
        if length > 0 {
            resp::encode_bulk(&mut call, &vec![b'x'; length]);
        }
        call
    };
    // Far more than systems hold: when all of it has been written, most of it has been read.
    let behind = 500;
    let all: Vec<u8> = std::iter::repeat_n(long(0), MAX_PIPELINE)
        .chain(std::iter::repeat_n(long(60_000), behind))
        .flatten()
        .collect();
    let writing =
        async { timeout(Duration::from_secs(20), to.write_all(&all)).await.expect("not read").unwrap() };
    let mut taken = Vec::new();
    let taking = async {
        for _ in 0..MAX_PIPELINE {
            taken.push(request(&mut inbox).await);
        }
    };
    tokio::join!(writing, taking);
    for (number, incoming) in (0..).zip(taken.drain(..).rev()) {
        incoming.reply_to.send(if number % 2 == 0 {
            FinalAnswer::Failed
        } else {
            FinalAnswer::Rejected(Some(MS))
        });
    }
    let mut answers = Vec::new();
    let mut lines = tokio::io::BufReader::new(&mut from);
    for _ in 0..MAX_PIPELINE + behind {
        let mut line = String::new();
        let read = tokio::io::AsyncBufReadExt::read_line(&mut lines, &mut line);
        timeout(Duration::from_secs(20), read).await.expect("starved").unwrap();
        answers.push(line);
    }
    let (pipeline, refused) = answers.split_at(MAX_PIPELINE);
    let alternate = |(number, line): (usize, &String)| {
        line == if number % 2 == 0 { "-BUSY 1\r\n" } else { "-ERR failed\r\n" }
    };
    assert!(pipeline.iter().enumerate().all(alternate), "{pipeline:?}");
    // Long ones would be an error of their own if they were taken: so are the last, which still lay here.
    let far = refused.iter().take_while(|line| *line == "-BUSY\r\n").count();
    assert!(far >= behind / 2 && far < behind, "{far} are refused");
    assert!(refused[far..].iter().all(|line| line.starts_with("-ERR wrong number")), "{refused:?}");
}

/// What is in the backlog as connections begin to close has been taken by the machine: it is not reset.
#[tokio::test]
async fn what_waits_to_be_accepted_as_connections_close_is_answered() {
    let (phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, mut inbox) = context(8, phases);
    let address = accepting(context);
    let mut early = TcpStream::connect(address).await.unwrap();
    early.write_all(&a_call()).await.unwrap();
    let held = request(&mut inbox).await;
    // From here on nobody is told of anything until the test waits.
    let mut late: Vec<std::net::TcpStream> =
        (0..3).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    late.iter_mut().for_each(|client| std::io::Write::write_all(client, &a_call()).unwrap());
    phase.send_replace(LifecyclePhase::Closing);
    for _ in &late {
        request(&mut inbox).await.reply_to.send(FinalAnswer::Failed);
    }
    held.reply_to.send(FinalAnswer::Failed);
    let tokio_of = |client: std::net::TcpStream| {
        client.set_nonblocking(true).unwrap();
        TcpStream::from_std(client).unwrap()
    };
    for mut client in late.into_iter().map(tokio_of).chain([early]) {
        let mut all = String::new();
        let read = timeout(Duration::from_secs(20), client.read_to_string(&mut all)).await;
        read.expect("no end").expect("a reset");
        assert_eq!(all, "-ERR failed\r\n");
    }
    let refused = async { while TcpStream::connect(address).await.is_ok() {} };
    timeout(Duration::from_secs(20), refused).await.expect("it goes on listening");
}

/// More commands in one go than are taken at once, and nothing that comes later: none waits for another event.
#[tokio::test]
async fn commands_beyond_the_pipeline_are_answered_without_a_further_event() {
    let (_phase, phases) = watch::channel(LifecyclePhase::Ready);
    let (context, _inbox) = context(2, phases);
    let mut client = TcpStream::connect(accepting(context)).await.unwrap();
    for count in [MAX_PIPELINE + 1, 3 * MAX_PIPELINE] {
        client.write_all(&b"*1\r\n$4\r\nPING\r\n".repeat(count)).await.unwrap();
        expect(&mut client, &b"+PONG\r\n".repeat(count)).await;
    }
}

/// What lies between a connection and its client, as the test says and in virtual time.
#[derive(Default)]
struct Wire {
    /// Bytes that the runtime has been told of.
    sent: BytesMut,
    /// There are some that only the system knows of.
    is_unseen: bool,
    reads: Option<Waker>,
    /// Bytes of answers that the client takes; nobody is told when these get more.
    room: usize,
}

#[derive(Clone, Default)]
struct Half(Arc<Mutex<Wire>>);

impl Half {
    fn say(&self, bytes: &[u8]) {
        let mut wire = self.0.lock().unwrap();
        wire.sent.extend_from_slice(bytes);
        wire.reads.take().into_iter().for_each(Waker::wake);
    }
}

impl AsyncRead for Half {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut wire = self.0.lock().unwrap();
        if wire.sent.is_empty() {
            wire.reads = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let count = wire.sent.len().min(buf.remaining());
        buf.put_slice(&wire.sent.split_to(count));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Half {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut wire = self.0.lock().unwrap();
        let count = wire.room.min(bytes.len());
        wire.room -= count;
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

impl Writer for Half {
    fn has_no_unread_input(&self) -> bool {
        !self.0.lock().unwrap().is_unseen
    }
    fn reset(self) {}
}

/// A connection that has just come, between the halves of a wire.
struct Wired {
    sim: Sim,
    half: Half,
    slot: Arc<ConnectionSlot>,
    contention: SlotContention,
    inbox: UnboundedReceiver<TrafficEvent>,
    has_ended: Arc<AtomicBool>,
    _phase: watch::Sender<LifecyclePhase>,
}

impl Wired {
    fn start() -> Wired {
        let sim = Sim::new(SimConfig { seed: 1, start: SECOND, network: Default::default() });
        let env: SimEnv = sim.machine("gateway", Place::Building(0)).process("gateway");
        let (phase, phases) = watch::channel(LifecyclePhase::Ready);
        let (context, inbox) = context_in(env.clone(), 512, phases);
        let (half, has_ended) = (Half::default(), Arc::new(AtomicBool::new(false)));
        let (mut reader, mut writer, ended) = (half.clone(), half.clone(), has_ended.clone());
        let (slot, contention) = (Arc::new(ConnectionSlot::new(env.now())), context.contention.clone());
        let own = slot.clone();
        env.spawn(async move {
            let (mut connection, inbox) = Connection::new(context, own);
            let _ = connection.run(&mut reader, &mut writer, inbox).await;
            ended.store(true, Ordering::Relaxed);
        });
        Wired { sim, half, slot, contention, inbox, has_ended, _phase: phase }
    }

    fn run(&self, span: Span) -> bool {
        self.sim.run_until(self.sim.now() + span).unwrap();
        !self.has_ended.load(Ordering::Relaxed)
    }

    fn request(&mut self) -> IncomingRequest {
        match self.inbox.try_recv() {
            Ok(TrafficEvent::Request(incoming)) => *incoming,
            other => panic!("{other:?}"),
        }
    }
}

/// A client takes half of an answer a second, and each time its connection learns of an answer to another command
/// first: what it takes then counts like all else.
#[test]
fn a_client_that_takes_as_further_answers_come_has_not_gone() {
    let mut wired = Wired::start();
    wired.half.say(&a_call().repeat(MAX_PIPELINE));
    assert!(wired.run(MS));
    for second in 0..MAX_PIPELINE {
        let value = vec![b'v'; 2_000];
        wired.request().reply_to.send(FinalAnswer::Response(value.into()));
        wired.half.0.lock().unwrap().room += 1_000;
        assert!(wired.run(SECOND), "given up after {second} s");
    }
    assert!(!wired.run(READ_TIMEOUT), "it takes nothing any more");
}

/// What a moment's look at the system finds, before the runtime has been told of it.
#[test]
fn a_first_command_that_lies_with_the_system_as_it_is_overdue_is_answered() {
    for comes in [true, false] {
        let mut wired = Wired::start();
        wired.run(COMMAND_TIMEOUT - 1);
        wired.half.0.lock().unwrap().is_unseen = comes;
        assert_eq!(wired.run(2), comes, "ended over a command, or not for want of one");
        if comes {
            wired.half.say(&a_call());
            assert!(wired.run(MS));
            wired.request();
        }
    }
}

/// It had a request again when it was told, once or more often: another goes, and it stays when it falls idle.
#[test]
fn a_word_to_leave_that_came_while_it_was_busy_ends_it_no_more() {
    for told in [1, 2] {
        let mut wired = Wired::start();
        wired.half.0.lock().unwrap().room = usize::MAX;
        wired.half.say(&a_call());
        wired.run(MS);
        (0..told).for_each(|_| wired.slot.evict.notify_one());
        assert!(wired.run(MS), "ended with a request in hand");
        let stays = wired.contention.eviction_refused.clone();
        assert!(pin!(stays.notified()).enable(), "nobody else is asked");
        wired.request().reply_to.send(FinalAnswer::Failed);
        assert!(wired.run(MS), "told {told} times");
        wired.slot.evict.notify_one();
        assert!(!wired.run(MS), "it does not leave");
    }
}
