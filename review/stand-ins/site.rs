//! Stand-ins for the second review: hosts, the counter, discovery's agent and clients on loopback addresses, and the
//! gateways as separate processes, started by the `run` line of the deploy file. Standard library only.

#![allow(dead_code)] // each case uses a part of it

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of a play: what was sent, answered and run, one line each, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("record: {error}")));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }
    /// Milliseconds since the start of the play.
    pub fn ms(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64() * 1e3
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:10.1} {}\n", self.ms(), text.as_ref());
        let _ = self.0 .1.lock().unwrap().write_all(line.as_bytes());
    }
    /// A line for the record and for the terminal.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// The numbers of the gateways' processes that have not been waited for, and the file that `run.sh` finds them in.
static PROCESSES: Mutex<(Vec<u32>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

fn with_processes(change: impl FnOnce(&mut Vec<u32>)) {
    let mut processes = PROCESSES.lock().unwrap();
    change(&mut processes.0);
    if let Some(file) = &processes.1 {
        let _ = std::fs::write(file, processes.0.iter().map(|id| format!("{id}\n")).collect::<String>());
    }
}

/// Ends the play: all gateways are killed, then the process exits.
pub fn end(status: i32) -> ! {
    with_processes(|processes| {
        for process in processes.drain(..) {
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {process}")]).status();
        }
    });
    std::process::exit(status)
}

/// Ends the play with status 2: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    println!("cannot run: {why}");
    end(2)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A small generator of random numbers with a fixed seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) ^ (self.0 >> 11)
    }
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

// ---- RESP ----

/// An answer as it came over a socket.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Value(Vec<u8>),
    Busy,
    Failed(String),
}

/// Reads the bytes of a connection.
pub struct Input {
    stream: TcpStream,
    bytes: Vec<u8>,
    at: usize,
}

impl Input {
    pub fn new(stream: &TcpStream) -> Input {
        Input { stream: stream.try_clone().expect("clone"), bytes: Vec::new(), at: 0 }
    }
    fn fill(&mut self) -> io::Result<()> {
        if self.at > 0 {
            self.bytes.drain(..self.at);
            self.at = 0;
        }
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.bytes.extend_from_slice(&buffer[..count]);
                Ok(())
            }
        }
    }
    pub fn has_bytes(&self) -> bool {
        self.at < self.bytes.len()
    }
    pub fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(length) = self.bytes[self.at..].windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.bytes[self.at..self.at + length]).into_owned();
                self.at += length + 2;
                return Ok(line);
            }
            self.fill()?;
        }
    }
    fn bulk(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() - self.at < length + 2 {
            self.fill()?;
        }
        let content = self.bytes[self.at..self.at + length].to_vec();
        self.at += length + 2;
        Ok(content)
    }
    /// Reads a command: an array of bulk strings.
    pub fn command(&mut self) -> io::Result<Vec<Vec<u8>>> {
        let bad = || io::Error::from(ErrorKind::InvalidData);
        let count: usize = self.line()?.strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
        let mut words = Vec::new();
        for _ in 0..count {
            let length = self.line()?.strip_prefix('$').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
            words.push(self.bulk(length)?);
        }
        Ok(words)
    }
    /// Reads a gateway's answer to a client.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let line = self.line()?;
        if let Some(length) = line.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) {
            return Ok(Answer::Value(self.bulk(length)?));
        }
        Ok(if line.starts_with("-BUSY") { Answer::Busy } else { Answer::Failed(line) })
    }
}

pub fn command_bytes(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

// ---- Hosts ----

/// What a host does with one command.
#[derive(Clone, Copy, Debug)]
pub struct Deed {
    /// Milliseconds of work.
    pub work_ms: u64,
    /// The answer goes out again this long after the first time.
    pub again_after_ms: Option<u64>,
    /// Instead of the answer the connection ends, this long after the work.
    pub end_after_ms: Option<u64>,
    /// The command is turned away unseen, as by a host that is full at this moment.
    pub turns_away: bool,
    /// The value is filled up to this length.
    pub value_bytes: usize,
}

impl Deed {
    /// Work, then an answer.
    pub fn serve(work_ms: u64) -> Deed {
        Deed { work_ms, again_after_ms: None, end_after_ms: None, turns_away: false, value_bytes: 0 }
    }
}

#[derive(Clone, Debug)]
pub struct Ran {
    pub at_ms: f64,
    pub host: usize,
    pub order: bool,
    pub id: String,
    pub key: Option<String>,
}

/// The keys that all hosts together have seen, each remembered for a time from its first request on.
#[derive(Default)]
pub struct Keys {
    pub remembered: Duration,
    seen: Mutex<HashMap<String, Instant>>,
}

impl Keys {
    pub fn remembered_for(ms: u64) -> Arc<Keys> {
        Arc::new(Keys { remembered: Duration::from_millis(ms), seen: Mutex::default() })
    }
    fn is_repeat(&self, key: &str) -> bool {
        let mut seen = self.seen.lock().unwrap();
        if seen.get(key).is_some_and(|at| at.elapsed() <= self.remembered) {
            return true;
        }
        seen.insert(key.to_owned(), Instant::now());
        false
    }
}

struct HostState {
    index: usize,
    free_slots: Mutex<usize>,
    freed: Condvar,
}

impl HostState {
    fn wait_for_slot(&self) {
        let mut free = self.free_slots.lock().unwrap();
        while *free == 0 {
            free = self.freed.wait(free).unwrap();
        }
        *free -= 1;
    }
    fn leave(&self) {
        *self.free_slots.lock().unwrap() += 1;
        self.freed.notify_one();
    }
}

/// The hosts of a site. Each serves the commands of a connection one after the other, as many at a time as it has slots.
pub struct Hosts {
    pub addresses: Vec<SocketAddr>,
    pub ran: Arc<Mutex<Vec<Ran>>>,
}

impl Hosts {
    /// Starts hosts. `deed` tells what a host, by its number, does with its command of this number.
    pub fn start<F>(record: &Record, count: usize, slots: usize, keys: &Arc<Keys>, deed: F) -> Hosts
    where
        F: Fn(usize, u64, bool) -> Deed + Send + Sync + 'static,
    {
        let deed: Arc<dyn Fn(usize, u64, bool) -> Deed + Send + Sync> = Arc::new(deed);
        let ran = Arc::new(Mutex::new(Vec::new()));
        let mut addresses = Vec::new();
        for index in 0..count {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for a host");
            addresses.push(listener.local_addr().unwrap());
            let state = Arc::new(HostState { index, free_slots: Mutex::new(slots), freed: Condvar::new() });
            let (deed, ran, record, keys) = (deed.clone(), ran.clone(), record.clone(), keys.clone());
            let commands = Arc::new(AtomicU64::new(0));
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (deed, ran, record) = (deed.clone(), ran.clone(), record.clone());
                    let (state, commands, keys) = (state.clone(), commands.clone(), keys.clone());
                    thread::spawn(move || {
                        let _ = serve_host(&state, stream, &commands, &keys, &*deed, &ran, &record);
                    });
                }
            });
        }
        Hosts { addresses, ran }
    }
}

fn serve_host(
    state: &HostState,
    stream: TcpStream,
    commands: &AtomicU64,
    keys: &Keys,
    deed: &(dyn Fn(usize, u64, bool) -> Deed + Send + Sync),
    ran: &Mutex<Vec<Ran>>,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = Input::new(&stream);
    let mut output = stream.try_clone()?;
    let host = state.index;
    loop {
        let words = input.command()?;
        let name = String::from_utf8_lossy(&words[0]).to_uppercase();
        if !name.starts_with("CALL.") {
            output.write_all(if name == "PING" { b"+PONG\r\n" } else { b"-ERR unknown command\r\n" })?;
            continue;
        }
        let id = String::from_utf8_lossy(&words[2]).into_owned();
        let order = name == "CALL.POST";
        let deed = deed(host, commands.fetch_add(1, Ordering::SeqCst), order);
        if deed.turns_away {
            record.line(format!("host {host} turned {id} away"));
            output.write_all(b"-BUSY\r\n")?;
            if let Some(after) = deed.again_after_ms {
                sleep_ms(after);
                output.write_all(b"-BUSY\r\n")?;
                record.line(format!("host {host} turned {id} away a second time"));
            }
            continue;
        }
        state.wait_for_slot();
        let list = String::from_utf8_lossy(&words[3]).into_owned();
        let key = list.split(',').find_map(|pair| pair.strip_prefix("k=")).map(str::to_owned);
        let is_repeat = key.as_ref().is_some_and(|key| keys.is_repeat(key));
        if is_repeat {
            record.line(format!("host {host} drops the effect of {name} {id} {list}, a repeat"));
        } else {
            record.line(format!("host {host} runs {name} {id} {list}"));
            ran.lock().unwrap().push(Ran { at_ms: record.ms(), host, order, id: id.clone(), key });
        }
        sleep_ms(deed.work_ms);
        state.leave();
        if let Some(after) = deed.end_after_ms {
            sleep_ms(after);
            record.line(format!("host {host} ended the connection of {id} without an answer"));
            return stream.shutdown(std::net::Shutdown::Both);
        }
        let mut value = format!("value-of-{id}");
        value.push_str(&".".repeat(deed.value_bytes.saturating_sub(value.len())));
        let answer = format!("*3\r\n${}\r\n{value}\r\n$6\r\ncost=1\r\n$-1\r\n", value.len());
        output.write_all(answer.as_bytes())?;
        record.line(format!("host {host} answered {id}"));
        if let Some(after) = deed.again_after_ms {
            sleep_ms(after);
            output.write_all(answer.as_bytes())?;
            record.line(format!("host {host} answered {id} a second time"));
        }
    }
}

// ---- Counter ----

/// Starts a counter: `ADDGET NAME AMOUNT LIFE` adds and answers with the total.
pub fn start_counter() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for the counter");
    let address = listener.local_addr().unwrap();
    type Totals = HashMap<Vec<u8>, (f64, Instant)>;
    let totals: Arc<Mutex<Totals>> = Arc::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let totals = totals.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut input = Input::new(&stream);
                let mut output = stream;
                loop {
                    let words = input.command()?;
                    let number =
                        |i: usize| -> Option<f64> { std::str::from_utf8(words.get(i)?).ok()?.parse().ok() };
                    let answer = match (words[0].as_slice(), number(2), number(3)) {
                        (b"ADDGET", Some(amount), Some(life)) => {
                            let life = Duration::from_millis(life.clamp(1.0, 60_000.0) as u64);
                            let mut totals = totals.lock().unwrap();
                            let now = Instant::now();
                            let entry = totals.entry(words[1].clone()).or_insert((0.0, now + life));
                            if entry.1 < now {
                                *entry = (0.0, now + life);
                            }
                            entry.0 += amount;
                            let total = format!("{:.6}", entry.0);
                            format!("${}\r\n{total}\r\n", total.len())
                        }
                        (b"PING", ..) => "+PONG\r\n".into(),
                        (b"CLIENT" | b"SELECT", ..) => "+OK\r\n".into(),
                        _ => "-ERR no such call\r\n".into(),
                    };
                    output.write_all(answer.as_bytes())?;
                }
            });
        }
    });
    address
}

// ---- Discovery ----

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: usize,
    pub cell: usize,
    pub lifecycle: &'static str,
    pub weight: f64,
    pub started_at_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"building-{}\",\"machineType\":\"std-2core\",\
             \"cell\":{},\"lifecycle\":\"{}\",\"weight\":{:?},\"startedAtMs\":{}}}",
            self.id,
            self.address,
            self.zone + 1,
            self.cell,
            self.lifecycle,
            self.weight,
            self.started_at_ms
        )
    }
}

pub fn list_json(generation: u64, reset: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(","))
}

/// The entries of hosts that are in service for a long time.
pub fn in_service(addresses: &[SocketAddr]) -> Vec<Entry> {
    let entry = |(index, address): (usize, &SocketAddr)| Entry {
        id: format!("s-{:08x}", 0x1a2b_0000 + index),
        address: *address,
        zone: index % 3,
        cell: index % 3,
        lifecycle: "in_service",
        weight: 1.0,
        started_at_ms: 0,
    };
    addresses.iter().enumerate().map(entry).collect()
}

/// How an agent words its lists.
pub type Wording = fn(&str) -> String;

/// Discovery's agent: the whole list, and watches that tell each change at once.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    /// The version, the whole list, and the changes with their versions.
    list: Arc<Mutex<(u64, Vec<Entry>, Vec<(u64, Entry)>)>>,
    told_at_ms: Arc<Mutex<Vec<(u64, f64)>>>,
}

impl Agent {
    /// Starts an agent whose list has version 41. With `whole_first`, the first document of each watch is the whole
    /// list where anything has changed since.
    pub fn start(record: &Record, entries: Vec<Entry>, whole_first: bool, wording: Wording) -> Agent {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for the agent");
        let address = listener.local_addr().unwrap();
        let agent = Agent {
            address,
            list: Arc::new(Mutex::new((41, entries, Vec::new()))),
            told_at_ms: Arc::default(),
        };
        let (serving, record) = (agent.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (agent, record) = (serving.clone(), record.clone());
                thread::spawn(move || {
                    let _ = agent.serve(stream, whole_first, wording, &record);
                });
            }
        });
        agent
    }
    /// Changes an entry of the list. Returns the new version.
    pub fn change(&self, entry: Entry) -> u64 {
        let mut list = self.list.lock().unwrap();
        list.0 += 1;
        let version = list.0;
        list.1.retain(|other| other.id != entry.id);
        if entry.lifecycle != "terminated" {
            list.1.push(entry.clone());
        }
        list.2.push((version, entry));
        version
    }
    /// When a document with this version, or a later one, was first written whole to a gateway.
    pub fn told_at_ms(&self, version: u64) -> Option<f64> {
        let told = self.told_at_ms.lock().unwrap();
        told.iter().filter(|(told, _)| *told >= version).map(|(_, at)| *at).reduce(f64::min)
    }
    fn serve(
        &self,
        stream: TcpStream,
        whole_first: bool,
        wording: Wording,
        record: &Record,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut lines = BufReader::new(stream).lines();
        let request = lines.next().ok_or(ErrorKind::UnexpectedEof)??;
        while !lines.next().ok_or(ErrorKind::UnexpectedEof)??.is_empty() {}
        let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        if !path.contains("watch=1") {
            let (version, text) = {
                let list = self.list.lock().unwrap();
                (list.0, wording(&list_json(list.0, true, &list.1)))
            };
            write!(output, "{head}Content-Length: {}\r\nConnection: close\r\n\r\n", text.len())?;
            output.write_all(text.as_bytes())?;
            record.line(format!("agent told the whole list of version {version}, {} bytes", text.len()));
            self.told_at_ms.lock().unwrap().push((version, record.ms()));
            return Ok(());
        }
        let after = path.split("after=").nth(1).and_then(|n| n.split('&').next()?.parse().ok()).unwrap_or(0);
        write!(output, "{head}Transfer-Encoding: chunked\r\n\r\n")?;
        let mut version: u64 = after;
        let mut is_first = true;
        let mut last_line = Instant::now();
        loop {
            let next = {
                let list = self.list.lock().unwrap();
                if list.0 <= version {
                    None
                } else if is_first && (whole_first || version < 41) {
                    Some((list.0, list_json(list.0, true, &list.1)))
                } else {
                    let since = list.2.iter().filter(|(at, _)| *at > version);
                    let entries: Vec<Entry> = since.map(|(_, entry)| entry.clone()).collect();
                    Some((list.0, list_json(list.0, false, &entries)))
                }
            };
            is_first = false;
            if let Some((told, text)) = next {
                let text = wording(&text) + "\n";
                write!(output, "{:x}\r\n{text}\r\n", text.len())?;
                record.line(format!("agent told version {told} on a watch, {} bytes", text.len()));
                self.told_at_ms.lock().unwrap().push((told, record.ms()));
                version = told;
                last_line = Instant::now();
            } else if last_line.elapsed() >= Duration::from_secs(2) {
                output.write_all(b"1\r\n\n\r\n")?;
                last_line = Instant::now();
            }
            sleep_ms(5);
        }
    }
}

// ---- Gateways ----

/// The settings of the site, with one class that is safe to repeat and one that is not; `{me}` is the gateway's number.
pub const SETTINGS: &str = r#"{"allowed": {"cancel": true, "conn-idle": 15000000000, "cpu-us-per-request": 0.0,
 "cpu-us-per-s": 400000, "dial-timeout": 250000000, "max-attempts": 4, "max-open": 20000,
 "max-retry-after": 1000000000, "max-streams": 100, "may-duplicate": true, "peer-messages": false, "probes": true,
 "retry-after": false},
 "balancers": 3, "clients": {"marks-retry": false}, "discovery": "automatic",
 "domain": {"count-fee": 0.02, "counter-timeout": 50000000, "metering": 0, "peer-intake": 0.0, "post-paid": true,
 "shared-counter": true, "units-top": 6},
 "family": "gate", "feedback": {"fields": ["pending", "svc_ms", "busy_reqs"], "how": "probe"},
 "goal": {"whole": 0.55, "worst-class": 0.0, "worst-tenant": 0.25, "worst-window": 0.2},
 "localities": ["building-1", "building-2", "building-3"], "machine-types": ["std-2core"], "me": {me},
 "prices": {"connection": 0.0, "cross-zone": 0.01, "discovery": 0.0, "handshake": 0.0, "late-fail": 0.08,
 "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.08},
 "rules": {"answer-slack": 16000000, "cold": 17000000000, "cold-share": 0.21, "drain-grace": 250000000,
 "fall": 1500000000, "fall-multiple": 3.0, "must-ask-in": 10000000000},
 "services": [{"aim": 600000000, "dedup-scope": "all", "hard-limit": 1500000000, "key-ttl": 5000000000,
 "late-worth": 0.2, "name": "price-read", "semantics": "safe", "stream": false, "worth": 3.0},
 {"aim": 600000000, "dedup-scope": "all", "hard-limit": 2000000000, "key-ttl": 5000000000, "late-worth": 0.0,
 "name": "unit-order", "semantics": "unsafe", "stream": false, "worth": 9.0}],
 "tariffs": [{"burst": 29.0, "cap-slack": 0.0, "ceiling-rate": 0.0, "concurrency": 2, "extra-worth": 0.3,
 "name": "standard", "never-over-depth": 0.0, "overrun-cost": 0.0, "refill": 5.4, "worth-factor": 1.3},
 {"burst": 46.0, "cap-slack": 0.0, "ceiling-rate": 0.0, "concurrency": 0, "extra-worth": 0.0, "name": "premium",
 "never-over-depth": 0.0, "overrun-cost": 0.6, "refill": 25.0, "worth-factor": 1.6}],
 "tick": 4000000, "tier": 0, "tiers": ["fund-servers"], "weights": "rough", "zone": {me}}"#;

/// Folders of a play, from its command line: the repository, the case and a temporary folder.
pub struct Places {
    pub root: PathBuf,
    pub case: PathBuf,
    pub temporary: PathBuf,
}

impl Places {
    pub fn from_arguments() -> Places {
        let mut arguments = std::env::args_os().skip(1).map(PathBuf::from);
        match (arguments.next(), arguments.next(), arguments.next()) {
            (Some(root), Some(case), Some(temporary)) => Places { root, case, temporary },
            _ => cannot_run("arguments: REPOSITORY CASE TEMPORARY"),
        }
    }
    /// The `run` line of the deploy file.
    fn run_line(&self) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml"));
        let text = text.unwrap_or_else(|error| cannot_run(&format!("deploy file: {error}")));
        let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
        line.and_then(|line| line.split('"').next()).unwrap_or_else(|| cannot_run("no run line")).to_owned()
    }
}

/// Whether the disruption is to be played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Memory in MB and descriptors of a gateway, where a case sets no others.
pub const LIMITS: (u64, u64) = (192, 1024);

/// A gateway process.
pub struct Gateway {
    pub address: SocketAddr,
    pub config: PathBuf,
    child: Child,
}

impl Gateway {
    /// Writes the configuration and starts a gateway by the deploy file's `run`.
    pub fn start(
        places: &Places,
        me: usize,
        settings: &str,
        known: &str,
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Gateway {
        Gateway::start_within(LIMITS, places, me, settings, known, discovery, counter)
    }
    /// The same with limits of memory, in MB, and of descriptors.
    pub fn start_within(
        (memory_mb, sockets): (u64, u64),
        places: &Places,
        me: usize,
        settings: &str,
        known: &str,
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Gateway {
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for a gateway");
        let address = free.local_addr().unwrap();
        drop(free);
        let name = format!("n{me}");
        let settings = settings.replace("{me}", &me.to_string());
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"counter\":\"{counter}\",\
             \"seed\":\"8c1f30d27a5be96{me}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\
             \"known\":{known},\"settings\":{settings}}}"
        );
        let config = places.temporary.join(format!("{name}.json"));
        std::fs::write(&config, text).unwrap_or_else(|error| cannot_run(&format!("configuration: {error}")));
        let log = File::create(places.temporary.join(format!("{name}.log"))).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", &places.run_line()])
            .current_dir(&places.root)
            .env("ROUTER_NAME", &name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("gateway: {error}")));
        PROCESSES.lock().unwrap().1 = Some(places.temporary.join("processes"));
        with_processes(|processes| processes.push(child.id()));
        Gateway { address, config, child }
    }
    /// Waits until the gateway answers `PING` with `+PONG`.
    pub fn wait_until_ready(&mut self) {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                cannot_run(&format!("the gateway ended: {status}"));
            }
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let mut input = Input::new(&stream);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                if stream.write_all(&command_bytes(&[b"PING"])).is_ok() {
                    if let Ok(line) = input.line() {
                        if line == "+PONG" {
                            return;
                        }
                    }
                }
            }
            sleep_ms(20);
        }
        cannot_run("the gateway is not ready after 30 s");
    }
    /// Sends a signal to the process, by name.
    pub fn signal(&self, name: &str) {
        let line = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").args(["-c", &line]).status();
        if !status.is_ok_and(|status| status.success()) {
            cannot_run(&format!("no signal {name}"));
        }
    }
    /// The number of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
    /// The memory of its own that is resident, without pages of files, in kB, as the system tells it.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
    /// The status of the process, if it has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.config.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        with_processes(|processes| processes.retain(|id| *id != self.child.id()));
    }
}

// ---- Clients ----

/// The command of a request.
pub fn call(order: bool, customer: u64, id: u64, plan: &str, patience_ms: u64, body: &[u8]) -> Vec<u8> {
    let class = if order { "unit-order" } else { "price-read" };
    let list = format!("c={class},t={plan},d={patience_ms},units=1,spread=3,first=0");
    let (customer, id) = (format!("{customer:016x}"), format!("{id:016x}"));
    if order {
        command_bytes(&[b"CALL.POST", customer.as_bytes(), id.as_bytes(), list.as_bytes(), body])
    } else {
        command_bytes(&[b"CALL.GET", customer.as_bytes(), id.as_bytes(), list.as_bytes()])
    }
}

/// Connects to a gateway as a client.
pub fn connect(address: SocketAddr) -> io::Result<(TcpStream, Input)> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let input = Input::new(&stream);
    Ok((stream, input))
}
