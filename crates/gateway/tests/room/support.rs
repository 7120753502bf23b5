//! A room with one gateway in it, and peers that do just what a test tells them. A test speaks and lets time
//! pass in turns; what peers read is noted with its moment.

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

/// What the clock shows at first: not 0, so that a moment is not taken for a span.
const START: Time = 1_000_000 * SECOND;
/// One way between a client and the gateway, the gateway and a host or the counter, and on one machine.
pub const CLIENT: Span = 600_000;
pub const HOST: Span = 200_000;
pub const HERE: Span = 20_000;

/// Something that a peer has read, or how its connection ended. Moments are spans since the gateway's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// When it was there whole.
    pub at: Span,
    /// When the first byte of what it came with was sent.
    pub sent: Span,
    /// Number of the connection, in the order of their coming to this peer.
    pub line: usize,
    /// The words of a command, a value, an error with its `-`, the head of a question; or [`END`], [`BROKEN`].
    pub text: String,
}

/// The other side has ended the connection, with all that it had to say.
pub const END: &str = "(end)";
/// The connection is broken.
pub const BROKEN: &str = "(broken)";

/// What a peer says to a question, from how long after it and in parts: spans since the question.
pub type Says = Vec<(Span, Order)>;

type Script = Box<dyn FnMut(Span, &str) -> Says + Send>;

/// What a peer does by itself with the commands that come to it.
pub enum Manner {
    /// Nothing: the test answers.
    Wait,
    /// Serves each with its id, one after the other on so many cores, each for so long.
    Serve {
        /// Since when each core is free.
        free: Vec<Time>,
        /// Time for each.
        each: Span,
    },
    /// Adds, and answers with the total at once.
    Count(BTreeMap<String, f64>),
    /// Whatever the test says to this question, which came so long after the start.
    Script(Script),
}

impl Manner {
    pub fn serve(cores: usize, each: Span) -> Manner {
        Manner::Serve { free: vec![0; cores], each }
    }

    pub fn count() -> Manner {
        Manner::Count(BTreeMap::new())
    }

    pub fn script(says: impl FnMut(Span, &str) -> Says + Send + 'static) -> Manner {
        Manner::Script(Box::new(says))
    }

    /// The answer to a command, and when it is given.
    fn answer(&mut self, now: Time, words: &str) -> Says {
        let word = |n: usize| words.split(' ').nth(n).unwrap_or_default();
        match self {
            Manner::Wait => Vec::new(),
            Manner::Serve { free, each } => {
                let Some(core) = free.iter_mut().min() else { return Vec::new() };
                *core = now.max(*core) + *each;
                vec![(*core - now, Order::Say(served(word(2))))]
            }
            Manner::Count(totals) => {
                let total = totals.entry(word(1).to_owned()).or_default();
                *total += word(2).parse::<f64>().unwrap();
                vec![(0, Order::Say(bulk(&total.to_string())))]
            }
            Manner::Script(says) => says(now - START, words),
        }
    }
}

/// What a connection of a peer is told to do.
pub enum Order {
    Say(Bytes),
    Read(usize),
    Close,
    Reset,
}

/// What all connections of a peer share.
struct Shared {
    env: SimEnv,
    seen: Mutex<Vec<Seen>>,
    lines: Mutex<Vec<UnboundedSender<Order>>>,
    manner: Mutex<Manner>,
    /// Bytes that each connection reads before it is told to read more.
    reads: Mutex<usize>,
}

impl Shared {
    fn new(env: SimEnv) -> Arc<Shared> {
        Arc::new(Shared {
            env,
            seen: Mutex::default(),
            lines: Mutex::default(),
            manner: Mutex::new(Manner::Wait),
            reads: Mutex::new(usize::MAX),
        })
    }

    fn add_line(&self) -> (usize, UnboundedReceiver<Order>) {
        let (orders, inbox) = unbounded_channel();
        let mut lines = self.lines.lock().unwrap();
        lines.push(orders);
        (lines.len() - 1, inbox)
    }

    fn order(&self, line: usize, order: Order) {
        // One that has ended takes none.
        let _ = self.lines.lock().unwrap()[line].send(order);
    }

    fn see(&self, line: usize, sent: Time, text: String) {
        let seen = Seen { at: self.env.now() - START, sent: sent - START, line, text };
        self.seen.lock().unwrap().push(seen);
    }
}

/// One connection of a peer.
struct Carrier {
    shared: Arc<Shared>,
    line: usize,
    input: BytesMut,
    /// When the first byte of what lies in the input was sent.
    begun: Time,
    reads: usize,
}

impl Carrier {
    async fn run(mut self, stream: SimStream, mut orders: UnboundedReceiver<Order>) {
        let (mut reader, mut writer) = stream.into_split();
        let (mut output, mut open) = (BytesMut::new(), true);
        loop {
            tokio::select! {
                biased;
                order = orders.recv() => match order {
                    Some(Order::Say(bytes)) => output.extend_from_slice(&bytes),
                    Some(Order::Read(more)) => self.reads = self.reads.saturating_add(more),
                    Some(Order::Reset) => return writer.reset(),
                    Some(Order::Close) | None => return,
                },
                wrote = writer.write_buf(&mut output), if !output.is_empty() => if wrote.is_err() {
                    output.clear();
                },
                count = self.read(&mut reader), if open && self.reads > 0 => open = count > 0,
            }
        }
    }

    /// Reads what there is, notes it, and does what the peer does with it.
    async fn read(&mut self, reader: &mut SimReader) -> usize {
        let was_empty = self.input.is_empty();
        let read = (&mut *reader).take(self.reads as u64).read_buf(&mut self.input).await;
        if was_empty {
            self.begun = reader.sent_at().unwrap_or_default();
        }
        let now = self.shared.env.now();
        match read {
            Ok(0) => self.shared.see(self.line, now, END.into()),
            Err(_) => self.shared.see(self.line, now, BROKEN.into()),
            Ok(count) => {
                self.reads -= if self.reads == usize::MAX { 0 } else { count };
                while let Some(text) = take(&mut self.input) {
                    self.answer(&text);
                    self.shared.see(self.line, self.begun, text);
                }
                return count;
            }
        }
        0
    }

    fn answer(&self, text: &str) {
        let env = self.shared.env.clone();
        let (answer, asked) = (self.shared.manner.lock().unwrap().answer(env.now(), text), env.now());
        let (shared, line) = (self.shared.clone(), self.line);
        env.clone().spawn(async move {
            for (after, order) in answer {
                env.sleep_until(asked + after).await;
                shared.order(line, order);
            }
        });
    }
}

/// The first whole thing in the input: RESP, or the head of an HTTP question.
fn take(input: &mut BytesMut) -> Option<String> {
    if input.starts_with(b"GET ") {
        let end = input.windows(4).position(|four| four == b"\r\n\r\n")?;
        let head = input.split_to(end + 4);
        return Some(String::from_utf8_lossy(&head).lines().next()?.to_owned());
    }
    Some(words(&decode(input).unwrap()?))
}

fn words(frame: &Frame) -> String {
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    match frame {
        Frame::Bulk(bytes) => text(bytes),
        Frame::Simple(bytes) => format!("+{}", text(bytes)),
        Frame::Error(bytes) => format!("-{}", text(bytes)),
        Frame::Integer(bytes) => format!(":{}", text(bytes)),
        Frame::Null => "(null)".into(),
        Frame::Array(parts) => parts.iter().map(words).collect::<Vec<_>>().join(" "),
    }
}

/// A host, the counter or discovery: a listener, and the connections that have come to it.
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
                let (line, orders) = accepting.add_line();
                let reads = *accepting.reads.lock().unwrap();
                let shared = accepting.clone();
                let carrier = Carrier { shared, line, input: BytesMut::new(), begun: 0, reads };
                env.spawn(carrier.run(stream, orders));
            }
        });
        Peer { machine, addr, shared }
    }

    pub fn process(&self) -> ProcessId {
        self.shared.env.process_id()
    }

    /// What it does by itself from now on.
    pub fn manner(&self, manner: Manner) {
        *self.shared.manner.lock().unwrap() = manner;
    }

    /// Its connections read so many bytes, and no more until they are told to.
    pub fn deaf(&self, reads: usize) {
        *self.shared.reads.lock().unwrap() = reads;
    }

    /// All connections that there are read whatever comes.
    pub fn hear(&self) {
        self.deaf(usize::MAX);
        (0..self.lines()).for_each(|line| self.shared.order(line, Order::Read(usize::MAX)));
    }

    /// Connections that have come so far.
    pub fn lines(&self) -> usize {
        self.shared.lines.lock().unwrap().len()
    }

    /// What has been read since this was last asked.
    pub fn seen(&self) -> Vec<Seen> {
        std::mem::take(&mut self.shared.seen.lock().unwrap())
    }

    /// The one command, or the one end, that has come since this was last asked.
    pub fn one(&self) -> Seen {
        let mut seen = self.seen();
        assert_eq!(seen.len(), 1, "{seen:?}");
        seen.remove(0)
    }

    pub fn say(&self, line: usize, bytes: impl Into<Bytes>) {
        self.shared.order(line, Order::Say(bytes.into()));
    }

    /// Closes a connection: with bytes unread that is a reset.
    pub fn close(&self, line: usize) {
        self.shared.order(line, Order::Close);
    }

    /// Begins the answer to a watch.
    pub fn open_watch(&self, line: usize) {
        self.say(line, CHUNKED);
    }

    /// The empty line that comes every two seconds.
    pub fn keep_watch(&self, line: usize) {
        self.say(line, chunk("\n"));
    }

    /// A line of a watch.
    pub fn tell(&self, line: usize, list: &Value) {
        self.say(line, chunk(&format!("{list}\n")));
    }
}

/// The head of an answer in chunks.
pub const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A client's connection. It closes when it is dropped.
pub struct Client {
    shared: Arc<Shared>,
}

impl Client {
    pub fn say(&self, bytes: impl Into<Bytes>) {
        self.shared.order(0, Order::Say(bytes.into()));
    }

    /// A call that may be repeated.
    pub fn get(&self, id: u64) {
        self.say(get(id));
    }

    /// A call that may not.
    pub fn post(&self, id: u64) {
        self.say(post(id, 1, 1.0));
    }

    /// What has come since this was last asked: when, and what.
    pub fn seen(&self) -> Vec<(Span, String)> {
        let seen = std::mem::take(&mut *self.shared.seen.lock().unwrap());
        seen.into_iter().map(|seen| (seen.at, seen.text)).collect()
    }

    /// What has come since this was last asked.
    pub fn heard(&self) -> Vec<String> {
        self.seen().into_iter().map(|(_, text)| text).collect()
    }

    /// Reads so many more bytes.
    pub fn read(&self, more: usize) {
        self.shared.order(0, Order::Read(more));
    }

    pub fn close(&self) {
        self.shared.order(0, Order::Close);
    }

    pub fn reset(&self) {
        self.shared.order(0, Order::Reset);
    }
}

/// What a room is like before it starts.
pub struct Plan {
    pub seed: u64,
    pub network: NetworkSpec,
    pub hosts: usize,
    pub sockets: usize,
    pub memory_mb: usize,
    pub settings: Value,
    /// The list known before the start: its version, and the states of hosts that are not in service.
    pub known: (u64, Vec<&'static str>),
    /// The operators' file.
    pub operators: String,
}

impl Default for Plan {
    /// Without jitter. No quota, no counter; attempts may not be withdrawn.
    fn default() -> Plan {
        Plan {
            seed: 1,
            network: NetworkSpec {
                intra_building: HOST,
                client: CLIENT,
                jitter: 0.0,
                ..NetworkSpec::default()
            },
            hosts: 1,
            sockets: 256,
            memory_mb: 192,
            settings: settings(),
            known: (1, Vec::new()),
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
        "tariffs": [tariff(0.0, 0.0)],
    })
}

/// The plan of all customers: units a second, and what the store holds; zeros for no quota.
pub fn tariff(refill: f64, burst: f64) -> Value {
    json!({"name": "team", "worth-factor": 1.0, "refill": refill, "burst": burst, "concurrency": 0,
        "extra-worth": 0.0, "overrun-cost": 0.0, "ceiling-rate": 0.0, "never-over-depth": 0.0,
        "cap-slack": 0.0})
}

/// The gateway's process.
struct Gateway {
    signals: UnboundedSender<Signal>,
    /// As it is on the disk, if there is one.
    document: Arc<Mutex<Option<Value>>>,
    operators: Arc<Mutex<String>>,
    /// When it ended, on the clock.
    ended: Arc<Mutex<Option<Time>>>,
}

/// A room with a gateway that has just started, and knows these hosts from before.
pub struct Room {
    pub sim: Sim,
    pub hosts: Vec<Peer>,
    /// Listens on the gateway's own machine.
    pub discovery: Peer,
    pub counter: Peer,
    gateway: Gateway,
    gateway_machine: Machine,
    clients: SimEnv,
}

const GATEWAY_PORT: u16 = 6379;

impl Room {
    pub fn start(plan: Plan) -> Room {
        let sim = Sim::new(SimConfig { seed: plan.seed, start: START, network: plan.network.clone() });
        let gateway_machine = sim.machine("gateway", Place::Building(0));
        let machine = |name: &str| sim.machine(name, Place::Building(0));
        let host = |number: usize| Peer::start(machine(&format!("host {number}")), "host", 80);
        let hosts: Vec<Peer> = (0..plan.hosts).map(host).collect();
        let discovery = Peer::start(gateway_machine.clone(), "discovery", 8500);
        let counter = Peer::start(machine("counter"), "counter", 7000);
        // Its first question is answered at once: nothing has changed. The others are left to the test.
        let mut news = Some(chunk(&format!("{}\n", list(1, false, &[]))));
        discovery.manner(Manner::script(move |_, _| {
            news.take().map(|news| (0, Order::Say(format!("{CHUNKED}{news}").into()))).into_iter().collect()
        }));
        let document = document(&plan, &gateway_machine, &hosts, discovery.addr, counter.addr);
        let clients = sim.machine("clients", Place::Client).process("clients");
        let gateway = Gateway::start(&gateway_machine, document, plan.operators);
        Room { sim, hosts, discovery, counter, gateway, gateway_machine, clients }
    }

    /// Lets time pass.
    pub fn run(&self, span: Span) {
        self.run_to(self.now() + span);
    }

    /// Lets time pass up to so long after the start.
    pub fn run_to(&self, at: Span) {
        self.sim.run_until(START + at).unwrap();
    }

    /// Time since the start.
    pub fn now(&self) -> Span {
        self.sim.now() - START
    }

    /// Does something so long after the start.
    pub fn at(&self, at: Span, action: impl FnOnce(&Sim) + Send + 'static) {
        self.sim.at(START + at, action);
    }

    /// A client that asks for a connection now.
    pub fn client(&self) -> Client {
        self.client_that_reads(usize::MAX)
    }

    /// One that reads so many bytes and no more until it is told to.
    pub fn client_that_reads(&self, reads: usize) -> Client {
        let (env, shared) = (self.clients.clone(), Shared::new(self.clients.clone()));
        let (line, orders) = shared.add_line();
        let (addr, own) = (SocketAddr::new(self.gateway_machine.ip(), GATEWAY_PORT), shared.clone());
        env.clone().spawn(async move {
            match env.connect(addr).await {
                Ok(stream) => {
                    let carrier = Carrier { shared: own, line, input: BytesMut::new(), begun: 0, reads };
                    carrier.run(stream, orders).await;
                }
                Err(_) => own.see(line, env.now(), BROKEN.into()),
            }
        });
        Client { shared }
    }

    /// One that makes this call at once, and reads so many bytes.
    pub fn client_that_says(&self, call: Bytes, reads: usize) -> Client {
        let client = self.client_that_reads(reads);
        client.say(call);
        client
    }

    pub fn signal(&self, signal: Signal) {
        // One that has ended takes none.
        let _ = self.gateway.signals.send(signal);
    }

    /// Where signals to the gateway go, for what is set for later.
    pub fn signals(&self) -> UnboundedSender<Signal> {
        self.gateway.signals.clone()
    }

    /// Another counter or agent, in a process of its own.
    pub fn peer(&self, name: &str, port: u16) -> Peer {
        self.listen(&self.machine(name), name, port)
    }

    /// A machine on which nobody listens yet.
    pub fn machine(&self, name: &str) -> Machine {
        self.sim.machine(name, Place::Building(0))
    }

    /// Somebody listens there from now on.
    pub fn listen(&self, machine: &Machine, name: &str, port: u16) -> Peer {
        Peer::start(machine.clone(), name, port)
    }

    /// Changes the configuration as it is on the disk.
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

    /// Writes the operators' file.
    pub fn write_operators(&self, text: &str) {
        *self.gateway.operators.lock().unwrap() = text.to_owned();
    }

    /// Writes the operators' file and sends SIGHUP.
    pub fn reload_operators(&self, text: &str) {
        self.write_operators(text);
        self.signal(Signal::Reload);
    }

    /// The configuration is gone.
    pub fn lose_configuration(&self) {
        *self.gateway.document.lock().unwrap() = None;
    }

    /// When the gateway's process ended.
    pub fn ended(&self) -> Option<Span> {
        self.gateway.ended.lock().unwrap().map(|at| at - START)
    }

    /// The gateway's machine.
    pub fn gateway(&self) -> MachineId {
        self.gateway_machine.id()
    }

    /// What arrives from now on: when, from and to which machine, and what.
    pub fn wire(&self) -> Wire {
        let wire = Wire::default();
        let seen = wire.0.clone();
        self.sim.trace(Box::new(move |packet: &Packet| seen.lock().unwrap().push(packet.clone())));
        wire
    }
}

impl Gateway {
    fn start(machine: &Machine, document: Value, operators: String) -> Gateway {
        let env = machine.process("gateway");
        let config = read(&document, &operators).unwrap();
        let (signals, inbox) = unbounded_channel();
        let (document, ended) = (Arc::new(Mutex::new(Some(document))), Arc::new(Mutex::new(None)));
        let (own, end) = (env.clone(), ended.clone());
        let operators = Arc::new(Mutex::new(operators));
        let (disk, file) = (document.clone(), operators.clone());
        let again = move || match &*disk.lock().unwrap() {
            Some(document) => read(document, &file.lock().unwrap()),
            None => anyhow::bail!("no configuration"),
        };
        env.spawn(async move {
            serve(own.clone(), config, again, inbox).await.unwrap();
            *end.lock().unwrap() = Some(own.now());
            own.exit();
        });
        Gateway { signals, document, operators, ended }
    }
}

/// The configuration and the operators' file, read as the program does.
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
    plan: &Plan,
    gateway: &Machine,
    hosts: &[Peer],
    discovery: SocketAddr,
    counter: SocketAddr,
) -> Value {
    let (version, states) = &plan.known;
    let state = |number: usize| states.get(number).copied().unwrap_or("in_service");
    let known: Vec<Value> = (0..hosts.len()).map(|number| entry(hosts, number, state(number))).collect();
    json!({
        "name": "n0", "listen": SocketAddr::new(gateway.ip(), GATEWAY_PORT).to_string(), "seed": "7",
        "discovery": discovery.to_string(), "counter": counter.to_string(),
        "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.sockets},
        "known": list(*version, true, &known), "settings": plan.settings,
    })
}

/// What has passed on the wires.
#[derive(Clone, Default)]
pub struct Wire(Arc<Mutex<Vec<Packet>>>);

impl Wire {
    /// When this arrived from one machine at another.
    pub fn arrivals(&self, from: &str, to: &str, what: &What) -> Vec<Span> {
        let packets = self.0.lock().unwrap();
        let meant = |packet: &&Packet| {
            &*packet.from.machine == from && &*packet.to.machine == to && packet.what == *what
        };
        packets.iter().filter(meant).map(|packet| packet.at - START).collect()
    }

    /// How often this has arrived from a machine.
    pub fn count(&self, from: &str, what: &What) -> usize {
        let packets = self.0.lock().unwrap();
        packets.iter().filter(|packet| &*packet.from.machine == from && packet.what == *what).count()
    }
}

/// Discovery's entry of a host, which has run for long.
pub fn entry(hosts: &[Peer], number: usize, lifecycle: &str) -> Value {
    json!({"instanceId": format!("s-{number}"), "hostPort": hosts[number].addr.to_string(), "zone": "a",
        "machineType": "m", "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

pub fn list(generation: u64, reset: bool, entries: &[Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": entries})
}

/// A command.
pub fn command(words: &[&str]) -> Bytes {
    let mut bytes = BytesMut::new();
    encode_array_header(&mut bytes, words.len());
    words.iter().for_each(|word| encode_bulk(&mut bytes, word.as_bytes()));
    bytes.freeze()
}

/// An id as it stands in commands, and comes back as a value from a host that serves by itself.
pub fn name(id: u64) -> String {
    format!("{id:016x}")
}

/// A call that may be repeated.
pub fn get(id: u64) -> Bytes {
    command(&["CALL.GET", &name(1), &name(id), "c=read,t=team,d=8500,units=1,spread=1,first=0"])
}

/// A call that may not, of a customer, for so many units.
pub fn post(id: u64, customer: u64, units: f64) -> Bytes {
    let list = format!("c=order,t=team,d=8500,units={units},spread=1,first=0");
    command(&["CALL.POST", &name(customer), &name(id), &list, "body"])
}

pub fn bulk(value: &str) -> Bytes {
    format!("${}\r\n{value}\r\n", value.len()).into()
}

/// A host's answer with a value.
pub fn served(value: &str) -> Bytes {
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).into()
}
