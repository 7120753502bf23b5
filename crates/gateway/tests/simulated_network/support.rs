//! A simulated network with one gateway, and peers that are scripted by the test. A test alternates between sending
//! and advancing the simulated time; everything that peers read is recorded with its time.

use bytes::{Bytes, BytesMut};
use cluster_model::scenario::NetworkSpec;
use cluster_model::{MS, SECOND};
use config_language::{load, loader::Memory};
use gateway::{serve, Config, Signal};
use resp::{decode, encode_array_header, encode_bulk, Frame};
use runtime::{Env, Listener, Reader, Span, Stream, Time, Writer};
use serde_json::{json, Value};
use simulated_runtime::{
    Machine, MachineId, Packet, Place, ProcessId, Sim, SimConfig, SimEnv, SimReader, SimStream, What,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// Clock reading at the start: not 0, so that mistaking a point in time for a duration shows up.
const START: Time = 1_000_000 * SECOND;
/// One-way delay between a client and the gateway.
pub const CLIENT_DELAY: Span = 600_000;
/// One-way delay between the gateway and a host, or the counter.
pub const HOST_DELAY: Span = 200_000;
/// One-way delay between processes on the same machine.
pub const LOCAL_DELAY: Span = 20_000;

/// A message that a peer has read, or how its connection ended. Times count from the gateway's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// When the message was complete.
    pub at: Span,
    /// When the first byte of the input that contained the message was sent.
    pub sent: Span,
    /// Number of the connection, in the order in which this peer accepted them.
    pub connection: usize,
    /// The words of a command, a value, an error with its `-`, or the first line of an HTTP request; else
    /// [`CLOSED`] or [`CONNECTION_ERROR`].
    pub text: String,
}

/// The other side has closed the connection after sending everything (FIN).
pub const CLOSED: &str = "(closed)";
/// The connection has failed, or could not be opened.
pub const CONNECTION_ERROR: &str = "(connection error)";

/// A peer's response to a request: actions, each with its delay after the request.
pub type TimedActions = Vec<(Span, Action)>;

type Script = Box<dyn FnMut(Span, &str) -> TimedActions + Send>;

/// How a peer responds to the requests that it receives.
pub enum Behavior {
    /// Not at all: the test sends the responses.
    Manual,
    /// Answers each request with its id; a fixed number of cores each serve one request at a time.
    Serve {
        /// Time at which each core becomes free.
        core_free_at: Vec<Time>,
        /// Service time of one request.
        service_time: Span,
    },
    /// Acts as the counter: adds, and answers with the total at once. Holds the totals by key.
    Counter(BTreeMap<String, f64>),
    /// Asks the test's function, which gets the time of the request since the start, and its text.
    Script(Script),
}

impl Behavior {
    pub fn serve(cores: usize, service_time: Span) -> Behavior {
        Behavior::Serve { core_free_at: vec![0; cores], service_time }
    }

    pub fn counter() -> Behavior {
        Behavior::Counter(BTreeMap::new())
    }

    pub fn script(respond: impl FnMut(Span, &str) -> TimedActions + Send + 'static) -> Behavior {
        Behavior::Script(Box::new(respond))
    }

    /// Returns the response to a request, given its words.
    fn respond(&mut self, now: Time, words: &str) -> TimedActions {
        let word = |n: usize| words.split(' ').nth(n).unwrap_or_default();
        match self {
            Behavior::Manual => Vec::new(),
            Behavior::Serve { core_free_at, service_time } => {
                let Some(core) = core_free_at.iter_mut().min() else { return Vec::new() };
                *core = now.max(*core) + *service_time;
                vec![(*core - now, Action::Write(value_reply(word(2))))]
            }
            Behavior::Counter(totals) => {
                let total = totals.entry(word(1).to_owned()).or_default();
                *total += word(2).parse::<f64>().unwrap();
                vec![(0, Action::Write(bulk(&total.to_string())))]
            }
            Behavior::Script(respond) => respond(now - START, words),
        }
    }
}

/// An action of a peer or client on one of its connections.
pub enum Action {
    Write(Bytes),
    Read(usize),
    Close,
    Reset,
}

/// State shared by all connections of a peer.
struct Shared {
    env: SimEnv,
    received: Mutex<Vec<Received>>,
    connections: Mutex<Vec<UnboundedSender<Action>>>,
    behavior: Mutex<Behavior>,
    /// Number of bytes that each new connection reads until [`Action::Read`] allows more.
    read_limit: Mutex<usize>,
}

impl Shared {
    fn new(env: SimEnv) -> Arc<Shared> {
        Arc::new(Shared {
            env,
            received: Mutex::default(),
            connections: Mutex::default(),
            behavior: Mutex::new(Behavior::Manual),
            read_limit: Mutex::new(usize::MAX),
        })
    }

    fn add_connection(&self) -> (usize, UnboundedReceiver<Action>) {
        let (actions, inbox) = unbounded_channel();
        let mut connections = self.connections.lock().unwrap();
        connections.push(actions);
        (connections.len() - 1, inbox)
    }

    fn queue(&self, connection: usize, action: Action) {
        // Ignores actions on a connection that has ended.
        let _ = self.connections.lock().unwrap()[connection].send(action);
    }

    fn record(&self, connection: usize, sent: Time, text: String) {
        let received = Received { at: self.env.now() - START, sent: sent - START, connection, text };
        self.received.lock().unwrap().push(received);
    }
}

/// One connection of a peer.
struct PeerConnection {
    shared: Arc<Shared>,
    connection: usize,
    input: BytesMut,
    /// When the first byte in `input` was sent.
    input_sent_at: Time,
    read_limit: usize,
}

impl PeerConnection {
    async fn run(mut self, stream: SimStream, mut actions: UnboundedReceiver<Action>) {
        let (mut reader, mut writer) = stream.into_split();
        let (mut output, mut open) = (BytesMut::new(), true);
        loop {
            tokio::select! {
                biased;
                action = actions.recv() => match action {
                    Some(Action::Write(bytes)) => output.extend_from_slice(&bytes),
                    Some(Action::Read(more)) => self.read_limit = self.read_limit.saturating_add(more),
                    Some(Action::Reset) => return writer.reset(),
                    Some(Action::Close) | None => return,
                },
                wrote = writer.write_buf(&mut output), if !output.is_empty() => if wrote.is_err() {
                    output.clear();
                },
                count = self.read(&mut reader), if open && self.read_limit > 0 => open = count > 0,
            }
        }
    }

    /// Reads available bytes, records complete messages, and responds to them as the peer's behavior says. Returns
    /// the number of bytes read; 0 at the end of the connection.
    async fn read(&mut self, reader: &mut SimReader) -> usize {
        let was_empty = self.input.is_empty();
        let read = (&mut *reader).take(self.read_limit as u64).read_buf(&mut self.input).await;
        if was_empty {
            self.input_sent_at = reader.sent_at().unwrap_or_default();
        }
        let now = self.shared.env.now();
        match read {
            Ok(0) => self.shared.record(self.connection, now, CLOSED.into()),
            Err(_) => self.shared.record(self.connection, now, CONNECTION_ERROR.into()),
            Ok(count) => {
                self.read_limit -= if self.read_limit == usize::MAX { 0 } else { count };
                while let Some(text) = take_message(&mut self.input) {
                    self.respond(&text);
                    self.shared.record(self.connection, self.input_sent_at, text);
                }
                return count;
            }
        }
        0
    }

    fn respond(&self, text: &str) {
        let env = self.shared.env.clone();
        let (response, received_at) =
            (self.shared.behavior.lock().unwrap().respond(env.now(), text), env.now());
        let (shared, connection) = (self.shared.clone(), self.connection);
        env.clone().spawn(async move {
            for (after, action) in response {
                env.sleep_until(received_at + after).await;
                shared.queue(connection, action);
            }
        });
    }
}

/// Takes the first complete message from the input: a RESP value, or the head of an HTTP request.
fn take_message(input: &mut BytesMut) -> Option<String> {
    if input.starts_with(b"GET ") {
        let end = input.windows(4).position(|window| window == b"\r\n\r\n")?;
        let head = input.split_to(end + 4);
        return Some(String::from_utf8_lossy(&head).lines().next()?.to_owned());
    }
    Some(frame_text(&decode(input).unwrap()?))
}

fn frame_text(frame: &Frame) -> String {
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    match frame {
        Frame::Bulk(bytes) => text(bytes),
        Frame::Simple(bytes) => format!("+{}", text(bytes)),
        Frame::Error(bytes) => format!("-{}", text(bytes)),
        Frame::Integer(bytes) => format!(":{}", text(bytes)),
        Frame::Null => "(null)".into(),
        Frame::Array(parts) => parts.iter().map(frame_text).collect::<Vec<_>>().join(" "),
    }
}

/// A host, the counter or discovery: a listener, and the connections that it has accepted.
pub struct Peer {
    pub machine: Machine,
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Peer {
    fn start(machine: Machine, name: &str, port: u16) -> Peer {
        let env = machine.process(name);
        let addr = SocketAddr::new(machine.ip(), port);
        let (shared, mut listener) = (Shared::new(env.clone()), env.listen(addr, 1024).unwrap());
        let accepting = shared.clone();
        env.clone().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (connection, actions) = accepting.add_connection();
                let read_limit = *accepting.read_limit.lock().unwrap();
                let shared = accepting.clone();
                let connection_task = PeerConnection {
                    shared,
                    connection,
                    input: BytesMut::new(),
                    input_sent_at: 0,
                    read_limit,
                };
                env.spawn(connection_task.run(stream, actions));
            }
        });
        Peer { machine, addr, shared }
    }

    pub fn process(&self) -> ProcessId {
        self.shared.env.process_id()
    }

    /// Sets how the peer responds from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.shared.behavior.lock().unwrap() = behavior;
    }

    /// Sets how many bytes each new connection reads until [`Peer::read_all`].
    pub fn set_read_limit(&self, read_limit: usize) {
        *self.shared.read_limit.lock().unwrap() = read_limit;
    }

    /// Removes the read limit of existing and new connections.
    pub fn read_all(&self) {
        self.set_read_limit(usize::MAX);
        (0..self.connection_count())
            .for_each(|connection| self.shared.queue(connection, Action::Read(usize::MAX)));
    }

    /// Returns the number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        self.shared.connections.lock().unwrap().len()
    }

    /// Returns what has been received since the last call.
    pub fn take_received(&self) -> Vec<Received> {
        std::mem::take(&mut self.shared.received.lock().unwrap())
    }

    /// Returns the only message, or end of a connection, received since the last call; panics unless there is exactly
    /// one.
    pub fn take_single(&self) -> Received {
        let mut received = self.take_received();
        assert_eq!(received.len(), 1, "{received:?}");
        received.remove(0)
    }

    pub fn send(&self, connection: usize, bytes: impl Into<Bytes>) {
        self.shared.queue(connection, Action::Write(bytes.into()));
    }

    /// Closes a connection; if received bytes are unread, this resets it.
    pub fn close(&self, connection: usize) {
        self.shared.queue(connection, Action::Close);
    }

    /// Sends the head of the response to a watch request.
    pub fn start_watch_response(&self, connection: usize) {
        self.send(connection, CHUNKED_HEAD);
    }

    /// Sends the empty line that an agent writes to a watch every two seconds.
    pub fn send_keep_alive(&self, connection: usize) {
        self.send(connection, chunk("\n"));
    }

    /// Sends a list as one line of a watch.
    pub fn send_list(&self, connection: usize, list: &Value) {
        self.send(connection, chunk(&format!("{list}\n")));
    }
}

/// The head of an HTTP response with chunked transfer encoding.
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A client with one connection, which is closed on drop.
pub struct Client {
    shared: Arc<Shared>,
}

impl Client {
    pub fn send(&self, bytes: impl Into<Bytes>) {
        self.shared.queue(0, Action::Write(bytes.into()));
    }

    /// Sends a safe call.
    pub fn get(&self, id: u64) {
        self.send(get(id));
    }

    /// Sends an unsafe call, of customer 1 and for one unit.
    pub fn post(&self, id: u64) {
        self.send(post(id, 1, 1.0));
    }

    /// Returns the replies received since the last call, each with its time.
    pub fn take_timed_replies(&self) -> Vec<(Span, String)> {
        let received = std::mem::take(&mut *self.shared.received.lock().unwrap());
        received.into_iter().map(|received| (received.at, received.text)).collect()
    }

    /// Returns the replies received since the last call.
    pub fn take_replies(&self) -> Vec<String> {
        self.take_timed_replies().into_iter().map(|(_, text)| text).collect()
    }

    /// Allows the connection to read `more` bytes.
    pub fn read(&self, more: usize) {
        self.shared.queue(0, Action::Read(more));
    }

    pub fn close(&self) {
        self.shared.queue(0, Action::Close);
    }

    pub fn reset(&self) {
        self.shared.queue(0, Action::Reset);
    }
}

/// How a simulated network is set up.
pub struct Setup {
    pub seed: u64,
    pub network: NetworkSpec,
    pub hosts: usize,
    pub sockets: usize,
    pub memory_mb: usize,
    pub settings: Value,
    /// The endpoint list that the gateway starts with: its generation, and the lifecycle states of the first hosts;
    /// the others are in service.
    pub initial_list: (u64, Vec<&'static str>),
    /// Text of the operators' configuration file.
    pub operators: String,
}

impl Default for Setup {
    /// Without network jitter, quotas and counter; the gateway may not cancel attempts.
    fn default() -> Setup {
        Setup {
            seed: 1,
            network: NetworkSpec {
                intra_building: HOST_DELAY,
                client: CLIENT_DELAY,
                jitter: 0.0,
                ..NetworkSpec::default()
            },
            hosts: 1,
            sockets: 256,
            memory_mb: 192,
            settings: settings(),
            initial_list: (1, Vec::new()),
            operators: String::new(),
        }
    }
}

fn settings() -> Value {
    json!({
        "allowed": {"cancel": false, "conn-idle": 10 * SECOND, "dial-timeout": 250 * MS, "max-attempts": 4,
            "may-duplicate": false, "retry-after": false, "probes": false},
        "balancers": 1, "me": 0, "zone": 0, "discovery": "automatic",
        "domain": {"counter-timeout": 100 * MS, "shared-counter": false, "units-top": 6.0},
        "feedback": {"fields": [], "how": "none"},
        "localities": ["a"], "machine-types": ["m"],
        "rules": {"cold": SECOND, "cold-share": 0.5, "must-ask-in": 0},
        "services": [
            {"name": "read", "semantics": "safe", "aim": 8 * SECOND, "hard-limit": 9 * SECOND,
                "worth": 1.0, "late-worth": 0.0, "stream": false},
            {"name": "order", "semantics": "unsafe", "aim": 8 * SECOND, "hard-limit": 9 * SECOND,
                "worth": 3.0, "late-worth": 0.0, "stream": false}],
        "tariffs": [customer_plan(0.0, 0.0)],
    })
}

/// Returns the plan of all customers: the token bucket's refill in units per second and its burst in units; zeros for
/// no quota.
pub fn customer_plan(refill: f64, burst: f64) -> Value {
    json!({"name": "team", "worth-factor": 1.0, "refill": refill, "burst": burst, "concurrency": 0,
        "extra-worth": 0.0, "overrun-cost": 0.0, "ceiling-rate": 0.0, "never-over-depth": 0.0,
        "cap-slack": 0.0})
}

/// The gateway's process, and what it reads and reports.
struct Gateway {
    signals: UnboundedSender<Signal>,
    /// The configuration document on disk, if it exists.
    document: Arc<Mutex<Option<Value>>>,
    operators: Arc<Mutex<String>>,
    /// Clock time at which the process ended.
    ended: Arc<Mutex<Option<Time>>>,
}

/// A simulated network with a gateway that has just started with a list of these hosts.
pub struct SimulatedNetwork {
    pub sim: Sim,
    pub hosts: Vec<Peer>,
    /// Runs on the gateway's machine.
    pub discovery: Peer,
    pub counter: Peer,
    gateway: Gateway,
    gateway_machine: Machine,
    clients: SimEnv,
}

const GATEWAY_PORT: u16 = 6379;

impl SimulatedNetwork {
    pub fn start(setup: Setup) -> SimulatedNetwork {
        let sim = Sim::new(SimConfig { seed: setup.seed, start: START, network: setup.network.clone() });
        let gateway_machine = sim.machine("gateway", Place::Building(0));
        let machine = |name: &str| sim.machine(name, Place::Building(0));
        let host = |number: usize| Peer::start(machine(&format!("host {number}")), "host", 80);
        let hosts: Vec<Peer> = (0..setup.hosts).map(host).collect();
        let discovery = Peer::start(gateway_machine.clone(), "discovery", 8500);
        let counter = Peer::start(machine("counter"), "counter", 7000);
        // The first request is answered at once with an empty change. The test answers all further ones.
        let mut update = Some(chunk(&format!("{}\n", endpoint_list(1, false, &[]))));
        discovery.set_behavior(Behavior::script(move |_, _| {
            update
                .take()
                .map(|update| (0, Action::Write(format!("{CHUNKED_HEAD}{update}").into())))
                .into_iter()
                .collect()
        }));
        let document = document(&setup, &gateway_machine, &hosts, discovery.addr, counter.addr);
        let clients = sim.machine("clients", Place::Client).process("clients");
        let gateway = Gateway::start(&gateway_machine, document, setup.operators);
        SimulatedNetwork { sim, hosts, discovery, counter, gateway, gateway_machine, clients }
    }

    /// Advances the simulated time by a duration.
    pub fn run_for(&self, span: Span) {
        self.run_until(self.now() + span);
    }

    /// Advances the simulated time to a time since the start.
    pub fn run_until(&self, at: Span) {
        self.sim.run_until(START + at).unwrap();
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Span {
        self.sim.now() - START
    }

    /// Schedules an action for a time since the start.
    pub fn schedule(&self, at: Span, action: impl FnOnce(&Sim) + Send + 'static) {
        self.sim.at(START + at, action);
    }

    /// Starts a client, which connects now.
    pub fn client(&self) -> Client {
        self.client_with_read_limit(usize::MAX)
    }

    /// Starts a client that reads `read_limit` bytes, and more only after [`Client::read`].
    pub fn client_with_read_limit(&self, read_limit: usize) -> Client {
        let (env, shared) = (self.clients.clone(), Shared::new(self.clients.clone()));
        let (connection, actions) = shared.add_connection();
        let (addr, own_shared) = (SocketAddr::new(self.gateway_machine.ip(), GATEWAY_PORT), shared.clone());
        env.clone().spawn(async move {
            match env.connect(addr).await {
                Ok(stream) => {
                    let connection_task = PeerConnection {
                        shared: own_shared,
                        connection,
                        input: BytesMut::new(),
                        input_sent_at: 0,
                        read_limit,
                    };
                    connection_task.run(stream, actions).await;
                }
                Err(_) => own_shared.record(connection, env.now(), CONNECTION_ERROR.into()),
            }
        });
        Client { shared }
    }

    /// Starts a client that sends this call at once, and reads `read_limit` bytes.
    pub fn client_with_call(&self, call: Bytes, read_limit: usize) -> Client {
        let client = self.client_with_read_limit(read_limit);
        client.send(call);
        client
    }

    pub fn signal(&self, signal: Signal) {
        // Ignored by a gateway that has ended.
        let _ = self.gateway.signals.send(signal);
    }

    /// Returns the sender of signals to the gateway, for scheduled actions.
    pub fn signal_sender(&self) -> UnboundedSender<Signal> {
        self.gateway.signals.clone()
    }

    /// Starts another counter or discovery agent on a new machine.
    pub fn start_peer(&self, name: &str, port: u16) -> Peer {
        self.listen(&self.add_machine(name), name, port)
    }

    /// Adds a machine without a listener.
    pub fn add_machine(&self, name: &str) -> Machine {
        self.sim.machine(name, Place::Building(0))
    }

    /// Starts a peer that listens on this machine.
    pub fn listen(&self, machine: &Machine, name: &str, port: u16) -> Peer {
        Peer::start(machine.clone(), name, port)
    }

    /// Changes the configuration document on disk.
    pub fn write_document(&self, change: impl FnOnce(&mut Value)) {
        if let Some(document) = self.gateway.document.lock().unwrap().as_mut() {
            change(document);
        }
    }

    /// Writes these addresses into the configuration and sends SIGHUP.
    pub fn reload(&self, discovery: SocketAddr, counter: SocketAddr) {
        self.write_document(|document| {
            document["discovery"] = discovery.to_string().into();
            document["counter"] = counter.to_string().into();
        });
        self.signal(Signal::Reload);
    }

    /// Writes the operators' configuration file.
    pub fn write_operators(&self, text: &str) {
        *self.gateway.operators.lock().unwrap() = text.to_owned();
    }

    /// Writes the operators' configuration file and sends SIGHUP.
    pub fn reload_operators(&self, text: &str) {
        self.write_operators(text);
        self.signal(Signal::Reload);
    }

    /// Removes the configuration document from disk.
    pub fn remove_configuration(&self) {
        *self.gateway.document.lock().unwrap() = None;
    }

    /// Returns the time since the start at which the gateway's process ended.
    pub fn ended_at(&self) -> Option<Span> {
        self.gateway.ended.lock().unwrap().map(|at| at - START)
    }

    pub fn gateway_machine_id(&self) -> MachineId {
        self.gateway_machine.id()
    }

    /// Records each packet that arrives from now on.
    pub fn trace_packets(&self) -> PacketTrace {
        let trace = PacketTrace::default();
        let received = trace.0.clone();
        self.sim.trace(Box::new(move |packet: &Packet| received.lock().unwrap().push(packet.clone())));
        trace
    }
}

impl Gateway {
    fn start(machine: &Machine, document: Value, operators: String) -> Gateway {
        let env = machine.process("gateway");
        let config = read(&document, &operators).unwrap();
        let (signals, inbox) = unbounded_channel();
        let (document, ended) = (Arc::new(Mutex::new(Some(document))), Arc::new(Mutex::new(None)));
        let (process, end) = (env.clone(), ended.clone());
        let operators = Arc::new(Mutex::new(operators));
        let (document_on_disk, operators_file) = (document.clone(), operators.clone());
        let reload = move || match &*document_on_disk.lock().unwrap() {
            Some(document) => read(document, &operators_file.lock().unwrap()),
            None => anyhow::bail!("no configuration"),
        };
        env.spawn(async move {
            serve(process.clone(), config, reload, inbox).await.unwrap();
            *end.lock().unwrap() = Some(process.now());
            process.exit();
        });
        Gateway { signals, document, operators, ended }
    }
}

/// Loads the configuration and the operators' configuration file as the program does.
fn read(document: &Value, operators: &str) -> anyhow::Result<Config> {
    let config = Config::parse(document.to_string().as_bytes())?;
    let loaded = load("site.fb".as_ref(), &Memory::default().with("site.fb", operators), None);
    if let Some(error) = loaded.first_error() {
        anyhow::bail!("{}", error.one_line());
    }
    let set = loaded.set.unwrap();
    Ok(Config { operators: set.operators, ..config })
}

fn document(
    setup: &Setup,
    gateway: &Machine,
    hosts: &[Peer],
    discovery: SocketAddr,
    counter: SocketAddr,
) -> Value {
    let (version, states) = &setup.initial_list;
    let state = |number: usize| states.get(number).copied().unwrap_or("in_service");
    let initial_list: Vec<Value> =
        (0..hosts.len()).map(|number| host_entry(hosts, number, state(number))).collect();
    json!({
        "name": "n0", "listen": SocketAddr::new(gateway.ip(), GATEWAY_PORT).to_string(), "seed": "7",
        "discovery": discovery.to_string(), "counter": counter.to_string(),
        "limits": {"cores": 1.0, "memory_mb": setup.memory_mb, "sockets": setup.sockets},
        "known": endpoint_list(*version, true, &initial_list), "settings": setup.settings,
    })
}

/// The packets that have arrived.
#[derive(Clone, Default)]
pub struct PacketTrace(Arc<Mutex<Vec<Packet>>>);

impl PacketTrace {
    /// Returns the arrival times of packets of this kind from one machine at another.
    pub fn arrivals(&self, from: &str, to: &str, kind: &What) -> Vec<Span> {
        let packets = self.0.lock().unwrap();
        let matches = |packet: &&Packet| {
            &*packet.from.machine == from && &*packet.to.machine == to && packet.what == *kind
        };
        packets.iter().filter(matches).map(|packet| packet.at - START).collect()
    }

    /// Returns how many packets of this kind have arrived from a machine.
    pub fn count(&self, from: &str, kind: &What) -> usize {
        let packets = self.0.lock().unwrap();
        packets.iter().filter(|packet| &*packet.from.machine == from && packet.what == *kind).count()
    }
}

/// Returns discovery's entry of a host that started long ago.
pub fn host_entry(hosts: &[Peer], number: usize, lifecycle: &str) -> Value {
    json!({"instanceId": format!("s-{number}"), "hostPort": hosts[number].addr.to_string(), "zone": "a",
        "machineType": "m", "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

pub fn endpoint_list(generation: u64, reset: bool, entries: &[Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": entries})
}

/// Encodes a command.
pub fn command(words: &[&str]) -> Bytes {
    let mut bytes = BytesMut::new();
    encode_array_header(&mut bytes, words.len());
    words.iter().for_each(|word| encode_bulk(&mut bytes, word.as_bytes()));
    bytes.freeze()
}

/// Formats an id as in commands; a host with [`Behavior::Serve`] answers with it as the value.
pub fn format_id(id: u64) -> String {
    format!("{id:016x}")
}

/// Encodes a safe call of customer 1 for one unit.
pub fn get(id: u64) -> Bytes {
    command(&["CALL.GET", &format_id(1), &format_id(id), "c=read,t=team,d=8500,units=1,spread=1,first=0"])
}

/// Encodes an unsafe call of a customer for a number of units.
pub fn post(id: u64, customer: u64, units: f64) -> Bytes {
    let list = format!("c=order,t=team,d=8500,units={units},spread=1,first=0");
    command(&["CALL.POST", &format_id(customer), &format_id(id), &list, "body"])
}

pub fn bulk(value: &str) -> Bytes {
    format!("${}\r\n{value}\r\n", value.len()).into()
}

/// Encodes a host's response with a value.
pub fn value_reply(value: &str) -> Bytes {
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).into()
}
