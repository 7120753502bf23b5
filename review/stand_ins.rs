//! Stand-ins for the platform, the hosts and the clients, as PROTOCOL describes them. Standard library only.
#![allow(dead_code)]

use std::collections::{HashMap, VecDeque};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------------------------------------------------- basics

/// Clock and record of a run, shared by all stand-ins.
pub struct World {
    start: Instant,
    record: Mutex<BufWriter<File>>,
    pub requests: Mutex<HashMap<u64, Req>>,
    rng: Mutex<u64>,
}

/// A request that a client has sent, and everything that was seen of it.
#[derive(Clone, Debug, Default)]
pub struct Req {
    pub class: String,
    pub customer: u64,
    /// The list without `d`, and the body: both go on unchanged.
    pub list: String,
    pub body: Vec<u8>,
    pub d_ms: u64,
    pub gateway: usize,
    pub sent: f64,
    pub answer: Option<(f64, Answer)>,
    /// The connection ended without an answer.
    pub ended: Option<f64>,
    /// Attempts that came whole to a host: time, host, what the host did.
    pub attempts: Vec<(f64, String, String)>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(String),
}

impl World {
    pub fn new(record: &Path, seed: u64) -> Arc<World> {
        Arc::new(World {
            start: Instant::now(),
            record: Mutex::new(BufWriter::new(File::create(record).expect("record.txt"))),
            requests: Mutex::default(),
            rng: Mutex::new(seed | 1),
        })
    }
    /// Milliseconds since the start of the run.
    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }
    pub fn note(&self, text: impl AsRef<str>) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:10.3} {}", self.start.elapsed().as_secs_f64() * 1e3, text.as_ref());
    }
    pub fn flush(&self) {
        let _ = self.record.lock().unwrap().flush();
    }
    pub fn random(&self) -> u64 {
        let mut s = self.rng.lock().unwrap();
        *s ^= *s << 13;
        *s ^= *s >> 7;
        *s ^= *s << 17;
        s.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }
    pub fn unit(&self) -> f64 {
        (self.random() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// Log-normal with this mean and coefficient of variation.
    pub fn lognormal(&self, mean: f64, cv: f64) -> f64 {
        let sigma2 = (1.0 + cv * cv).ln();
        let normal =
            (-2.0 * self.unit().max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        (mean.ln() - sigma2 / 2.0 + sigma2.sqrt() * normal).exp()
    }
    /// Mean `mean`, exponential.
    pub fn exponential(&self, mean: f64) -> f64 {
        -mean * self.unit().max(1e-12).ln()
    }
}

pub fn sleep_ms(ms: f64) {
    thread::sleep(Duration::from_secs_f64(ms.max(0.0) / 1e3));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn free_port() -> u16 {
    free_listener().local_addr().unwrap().port()
}

// ------------------------------------------------------------------------------------------------------------ RESP

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(r: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    if r.read_until(b'\n', &mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if !line.ends_with(b"\r\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.len() - 2);
    String::from_utf8(line).map_err(|_| bad("line"))
}

fn read_bulk(r: &mut impl BufRead, header: &str) -> io::Result<Vec<u8>> {
    let length: usize = header.strip_prefix('$').and_then(|n| n.parse().ok()).ok_or_else(|| bad("bulk"))?;
    let mut bytes = vec![0; length + 2];
    r.read_exact(&mut bytes)?;
    bytes.truncate(length);
    Ok(bytes)
}

pub fn read_command(r: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let line = read_line(r)?;
    let count: usize = line.strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(|| bad("array"))?;
    (0..count).map(|_| read_line(r).and_then(|header| read_bulk(r, &header))).collect()
}

pub fn read_answer(r: &mut impl BufRead) -> io::Result<Answer> {
    let line = read_line(r)?;
    Ok(match line.as_bytes().first() {
        Some(b'$') if line != "$-1" => Answer::Served(read_bulk(r, &line)?),
        Some(b'-') if line == "-BUSY" || line.starts_with("-BUSY ") => Answer::Refused,
        _ => Answer::Failed(line),
    })
}

pub fn encode(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend(format!("${}\r\n", part.len()).bytes());
        out.extend_from_slice(part);
        out.extend(b"\r\n");
    }
    out
}

/// The list of a call without its `d`, and the `d`.
fn split_d(list: &str) -> (String, Option<u64>) {
    let mut d = None;
    let rest: Vec<&str> = list
        .split(',')
        .filter(|pair| match pair.strip_prefix("d=") {
            Some(value) => {
                d = value.parse().ok();
                false
            }
            None => true,
        })
        .collect();
    (rest.join(","), d)
}

// ----------------------------------------------------------------------------------------------------------- hosts

/// What a host does with an attempt.
#[derive(Clone, Debug)]
pub enum Act {
    Serve,
    /// Serves, and sends the same answer once more after so many milliseconds.
    ServeTwice(f64),
}

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    world: Arc<World>,
    /// Requests that it holds: those at work and those that wait for a core.
    held: AtomicUsize,
    /// Most requests that it holds; further ones are turned away.
    pub most_held: usize,
    cores: (Mutex<usize>, Condvar),
    pub act: Mutex<Box<dyn FnMut(&Req) -> Act + Send>>,
    pub work_ms: Mutex<Box<dyn FnMut() -> f64 + Send>>,
}

impl Host {
    pub fn start(
        world: &Arc<World>,
        index: usize,
        work_ms: impl FnMut() -> f64 + Send + 'static,
    ) -> Arc<Host> {
        let listener = free_listener();
        let host = Arc::new(Host {
            name: format!("s-{index:08x}"),
            address: listener.local_addr().unwrap(),
            world: world.clone(),
            held: AtomicUsize::new(0),
            most_held: 40,
            cores: (Mutex::new(2), Condvar::new()),
            act: Mutex::new(Box::new(|_| Act::Serve)),
            work_ms: Mutex::new(Box::new(work_ms)),
        });
        let accepting = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let host = accepting.clone();
                thread::spawn(move || drop(host.serve(stream)));
            }
        });
        host
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream.try_clone()?;
        loop {
            let command = read_command(&mut reader)?;
            match command[0].to_ascii_uppercase().as_slice() {
                b"PING" => writer.write_all(b"+PONG\r\n")?,
                b"CLIENT" | b"SELECT" => writer.write_all(b"+OK\r\n")?,
                b"CALL.GET" | b"CALL.POST" => {
                    if !self.call(&stream, &mut writer, &command)? {
                        return Ok(());
                    }
                }
                b"INFO" => {
                    let held = self.held.load(SeqCst);
                    let report = format!("pending={},svc_ms=60,busy_reqs={held}", held.saturating_sub(2));
                    writer.write_all(format!("${}\r\n{report}\r\n", report.len()).as_bytes())?;
                }
                _ => writer.write_all(b"-ERR unknown\r\n")?,
            }
        }
    }

    /// Handles one attempt. Returns whether the connection goes on.
    fn call(&self, stream: &TcpStream, writer: &mut TcpStream, command: &[Vec<u8>]) -> io::Result<bool> {
        let text =
            |i: usize| String::from_utf8_lossy(command.get(i).map_or(&[][..], |part| part)).into_owned();
        let id = u64::from_str_radix(&text(2), 16).unwrap_or(0);
        let (list, _) = split_d(&text(3));
        let body = command.get(4).cloned().unwrap_or_default();
        let world = &self.world;
        let request = {
            let requests = world.requests.lock().unwrap();
            requests
                .get(&id)
                .filter(|r| format!("{:016x}", r.customer) == text(1) && r.list == list && r.body == body)
                .cloned()
        };
        let Some(request) = request else {
            world.note(format!("host {} NOT SENT BY A CLIENT {:016x} {}", self.name, id, text(3)));
            world.requests.lock().unwrap().entry(id).or_default().attempts.push((
                world.ms(),
                self.name.clone(),
                "unknown".into(),
            ));
            writer.write_all(b"-SYNTAX\r\n")?;
            return Ok(true);
        };
        let act = (self.act.lock().unwrap())(&request);
        let is_full = self.held.load(SeqCst) >= self.most_held;
        let what = if is_full { "turned away" } else { "run" };
        let attempt = (world.ms(), self.name.clone(), what.to_owned());
        world.requests.lock().unwrap().get_mut(&id).unwrap().attempts.push(attempt);
        world.note(format!("host {} {} {:016x} {:?}", self.name, what, id, act));
        if is_full {
            writer.write_all(b"-BUSY\r\n")?;
            return Ok(true);
        }
        let work = (self.work_ms.lock().unwrap())();
        self.held.fetch_add(1, SeqCst);
        let here = self.on_a_core(stream, work);
        self.held.fetch_sub(1, SeqCst);
        if !here {
            world.note(format!("host {} cancelled {:016x}", self.name, id));
            return Ok(false);
        }
        let mut value = value_of(id, &self.name);
        if request.body.len() > 10_000 {
            // A long order gets a long receipt.
            value += &"+".repeat(request.body.len().saturating_sub(value.len()));
        }
        let answer = format!("*3\r\n${}\r\n{}\r\n$-1\r\n$-1\r\n", value.len(), value).into_bytes();
        world.note(format!("host {} answers {:016x}", self.name, id));
        writer.write_all(&answer)?;
        if let Act::ServeTwice(after) = act {
            again(writer, after, answer);
        }
        Ok(true)
    }

    /// Waits for one of the two cores, and works for so long on it.
    fn on_a_core(&self, stream: &TcpStream, ms: f64) -> bool {
        let mut free = self.cores.0.lock().unwrap();
        while *free == 0 {
            free = self.cores.1.wait(free).unwrap();
        }
        *free -= 1;
        drop(free);
        let here = self.wait(stream, ms);
        *self.cores.0.lock().unwrap() += 1;
        self.cores.1.notify_one();
        here
    }

    /// Works for so long; false if the connection has ended meanwhile.
    fn wait(&self, stream: &TcpStream, ms: f64) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(ms.max(0.01) / 1e3);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left < Duration::from_micros(50) {
                return true;
            }
            let _ = stream.set_read_timeout(Some(left));
            let peeked = stream.peek(&mut [0]);
            let _ = stream.set_read_timeout(None);
            match peeked {
                Ok(0) => return false,
                Ok(_) => {
                    sleep_ms(left.as_secs_f64() * 1e3);
                    return true;
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
    }
}

pub fn value_of(id: u64, host: &str) -> String {
    format!("value of {id:016x} by {host}")
}

fn again(writer: &TcpStream, after_ms: f64, answer: Vec<u8>) {
    let Ok(mut writer) = writer.try_clone() else { return };
    thread::spawn(move || {
        sleep_ms(after_ms);
        let _ = writer.write_all(&answer);
    });
}

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

// --------------------------------------------------------------------------------------------------------- counter

pub struct Counter {
    pub address: SocketAddr,
}

impl Counter {
    pub fn start() -> Counter {
        let listener = free_listener();
        let address = listener.local_addr().unwrap();
        let totals: Arc<Mutex<HashMap<Vec<u8>, (f64, Instant)>>> = Arc::default();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let totals = totals.clone();
                thread::spawn(move || -> io::Result<()> {
                    let _ = stream.set_nodelay(true);
                    let mut reader = BufReader::new(stream.try_clone()?);
                    let mut writer = stream;
                    loop {
                        let command = read_command(&mut reader)?;
                        let number = |i: usize| -> f64 {
                            std::str::from_utf8(&command[i]).ok().and_then(|t| t.parse().ok()).unwrap_or(0.0)
                        };
                        let answer = match command[0].as_slice() {
                            b"PING" => "+PONG\r\n".to_owned(),
                            b"ADDGET" => {
                                let now = Instant::now();
                                let mut totals = totals.lock().unwrap();
                                let life = Duration::from_millis(number(3).clamp(1.0, 60_000.0) as u64);
                                let entry = totals.entry(command[1].clone()).or_insert((0.0, now + life));
                                if entry.1 <= now {
                                    *entry = (0.0, now + life);
                                }
                                entry.0 += number(2);
                                let text = format!("{}", entry.0);
                                format!("${}\r\n{}\r\n", text.len(), text)
                            }
                            _ => "+OK\r\n".to_owned(),
                        };
                        sleep_ms(1.0);
                        writer.write_all(answer.as_bytes())?;
                    }
                });
            }
        });
        Counter { address }
    }
}

// ------------------------------------------------------------------------------------------------------- discovery

#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: usize,
    pub cell: usize,
    pub lifecycle: &'static str,
    pub started_ms: u64,
    changed: u64,
}

impl Entry {
    pub fn of(host: &Host, index: usize) -> Entry {
        Entry {
            name: host.name.clone(),
            address: host.address,
            zone: index % 3,
            cell: index % 3,
            lifecycle: "in_service",
            started_ms: 0,
            changed: 1,
        }
    }
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"building-{}\",\"machineType\":\"std-2core\",\"cell\":{},\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
            self.name, self.address, self.zone + 1, self.cell, self.lifecycle, self.started_ms
        )
    }
}

#[derive(Default)]
struct List {
    generation: u64,
    entries: Vec<Entry>,
}

impl List {
    fn document(&self, after: Option<u64>) -> String {
        let whole = after.is_none();
        let entries: Vec<String> = self
            .entries
            .iter()
            .filter(|e| match after {
                None => e.lifecycle != "terminated",
                Some(after) => e.changed > after,
            })
            .map(Entry::json)
            .collect();
        format!(
            "{{\"generation\":{},\"reset\":{},\"instances\":[{}]}}",
            self.generation,
            whole,
            entries.join(",")
        )
    }
}

/// The agent of discovery on a gateway's machine.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    shared: Arc<(Mutex<List>, Condvar)>,
}

impl Agent {
    pub fn start(entries: Vec<Entry>) -> Agent {
        let listener = free_listener();
        let agent = Agent {
            address: listener.local_addr().unwrap(),
            shared: Arc::new((Mutex::new(List { generation: 1, entries }), Condvar::new())),
        };
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || drop(agent.serve(stream)));
            }
        });
        agent
    }

    pub fn known(&self) -> String {
        self.shared.0.lock().unwrap().document(None)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        let request = read_line(&mut reader)?;
        while !read_line(&mut reader)?.is_empty() {}
        if !request.contains("watch=1") {
            let list = self.known();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                list.len()
            );
            return writer.write_all(format!("{head}{list}").as_bytes());
        }
        let after = request
            .split("after=")
            .nth(1)
            .and_then(|t| t.split([' ', '&']).next())
            .and_then(|t| t.parse().ok());
        let mut after = after.filter(|after: &u64| *after > 0);
        writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let mut first = true;
        loop {
            let mut list = self.shared.0.lock().unwrap();
            if !first && Some(list.generation) == after {
                list = self.shared.1.wait_timeout(list, Duration::from_secs(2)).unwrap().0;
            }
            let line = if after != Some(list.generation) || after.is_none() {
                let line = list.document(after) + "\n";
                after = Some(list.generation);
                line
            } else {
                "\n".to_owned()
            };
            drop(list);
            first = false;
            writer.write_all(format!("{:x}\r\n{}\r\n", line.len(), line).as_bytes())?;
        }
    }
}

// -------------------------------------------------------------------------------------------------------- gateways

pub struct Gateway {
    pub name: String,
    pub listen: SocketAddr,
    pub config: PathBuf,
    root: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

/// The settings of a small deployment like `iasi-park`, for gateway `me`.
pub fn settings(me: usize, gateways: usize, services: &str, may_duplicate: bool) -> String {
    format!(
        r#"{{"allowed":{{"cancel":true,"conn-idle":15000000000,"cpu-us-per-request":0.0,"cpu-us-per-s":400000,"dial-timeout":250000000,"max-attempts":4,"max-open":20000,"max-retry-after":1000000000,"max-streams":100,"may-duplicate":{may_duplicate},"peer-messages":false,"probes":true,"retry-after":false}},
"balancers":{gateways},"clients":{{"marks-retry":false}},"discovery":"automatic",
"domain":{{"count-fee":0.02,"counter-timeout":50000000,"metering":0,"peer-intake":0.0,"post-paid":true,"shared-counter":true,"units-top":6}},
"family":"gate","feedback":{{"fields":["pending","svc_ms","busy_reqs"],"how":"probe"}},
"goal":{{"whole":0.55,"worst-class":0.0,"worst-tenant":0.25,"worst-window":0.2}},
"localities":["building-1","building-2","building-3"],"machine-types":["std-2core"],"me":{me},
"prices":{{"connection":0.0,"cross-zone":0.01,"discovery":0.0,"handshake":0.0,"late-fail":0.08,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.08}},
"rules":{{"answer-slack":16000000,"cold":17000000000,"cold-share":0.21,"drain-grace":250000000,"fall":1500000000,"fall-multiple":3.0,"must-ask-in":10000000000}},
"services":[{services}],
"tariffs":[{{"burst":29.0,"cap-slack":0.0,"ceiling-rate":0.0,"concurrency":3,"extra-worth":0.3,"name":"standard","never-over-depth":0.0,"overrun-cost":0.0,"refill":5.4,"worth-factor":1.3}},{{"burst":76.0,"cap-slack":0.0,"ceiling-rate":0.0,"concurrency":0,"extra-worth":0.0,"name":"premium","never-over-depth":0.0,"overrun-cost":0.6,"refill":38.0,"worth-factor":1.6}}],
"tick":4000000,"tier":0,"tiers":["fund-servers"],"weights":"rough","zone":{zone}}}"#,
        zone = me % 3
    )
}

pub const PRICE_READ: &str = r#"{"aim":600000000,"dedup-scope":"all","hard-limit":1500000000,"key-ttl":5000000000,"late-worth":0.2,"name":"price-read","semantics":"safe","stream":false,"worth":3.0}"#;
pub const UNIT_ORDER: &str = r#"{"aim":600000000,"dedup-scope":"all","hard-limit":2000000000,"key-ttl":5000000000,"late-worth":0.0,"name":"unit-order","semantics":"unsafe","stream":false,"worth":9.0}"#;

impl Gateway {
    /// Writes the configuration of gateway `me` into `folder`. `root` is the repository.
    #[allow(clippy::too_many_arguments)]
    pub fn configure(
        root: &Path,
        folder: &Path,
        me: usize,
        agent: &Agent,
        counter: &Counter,
        limits: (usize, usize),
        settings: &str,
    ) -> Gateway {
        let (memory_mb, sockets) = limits;
        let (known, agent, counter) = (agent.known(), agent.address, counter.address);
        let name = format!("gateway-{}", me + 1);
        let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let config = folder.join(format!("{name}.json"));
        let seed = unix_ms() ^ (me as u64) << 48;
        std::fs::write(
            &config,
            format!(
                r#"{{"name":"{name}","listen":"{listen}","discovery":"{agent}","counter":"{counter}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
            ),
        )
        .unwrap();
        let log = folder.join(format!("{name}.log"));
        Gateway { name, listen, config, root: root.to_owned(), log, child: None }
    }

    /// Starts the process with the command `run` of the deploy file, and waits until it is ready.
    pub fn start(&mut self) -> bool {
        let deploy =
            std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .and_then(|l| l.split('"').next())
            .expect("run");
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new("/bin/sh");
        // The gateway ends with this program, however that ends (PR_SET_PDEATHSIG is 1).
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(["-c", run])
            .current_dir(&self.root)
            .env("ROUTER_NAME", &self.name)
            .env("ROUTER_LISTEN", self.listen.to_string())
            .env("ROUTER_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = child.ok();
        for _ in 0..500 {
            if ping(self.listen) {
                return true;
            }
            sleep_ms(10.0);
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

const SIGKILL: i32 = 9;

pub fn ping(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    if stream.write_all(&encode(&[b"PING"])).is_err() {
        return false;
    }
    let mut answer = [0; 7];
    stream.read_exact(&mut answer).is_ok() && &answer == b"+PONG\r\n"
}

// --------------------------------------------------------------------------------------------------------- clients

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub class: &'static str,
    pub post: bool,
    pub plan: &'static str,
    pub customer: u64,
    pub d_ms: u64,
    pub units: f64,
    pub gateways: usize,
    pub body: Vec<u8>,
}

impl Ask {
    /// The list of names and values: without `d`, and as it is sent.
    pub fn lists(&self) -> (String, String) {
        let Ask { class, plan, d_ms, units, gateways, .. } = self;
        (
            format!("c={class},t={plan},units={units},spread={gateways},first=0"),
            format!("c={class},t={plan},d={d_ms},units={units},spread={gateways},first=0"),
        )
    }
}

/// A client's connection to a gateway. Commands may be written one behind another.
pub struct Link {
    pub gateway: usize,
    stream: TcpStream,
    write: Mutex<()>,
    pending: Arc<Mutex<VecDeque<u64>>>,
    pub closed: Arc<AtomicBool>,
    world: Arc<World>,
}

impl Link {
    pub fn open(world: &Arc<World>, gateway: usize, to: SocketAddr) -> io::Result<Arc<Link>> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        let _ = stream.set_nodelay(true);
        let pending: Arc<Mutex<VecDeque<u64>>> = Arc::default();
        let closed = Arc::new(AtomicBool::new(false));
        let link = Arc::new(Link {
            gateway,
            stream: stream.try_clone()?,
            write: Mutex::new(()),
            pending: pending.clone(),
            closed: closed.clone(),
            world: world.clone(),
        });
        let world = world.clone();
        thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            loop {
                let answer = read_answer(&mut reader);
                let now = world.ms();
                let mut requests = world.requests.lock().unwrap();
                match answer {
                    Ok(answer) => {
                        let Some(id) = pending.lock().unwrap().pop_front() else {
                            world.note(format!("client ANSWER WITHOUT A REQUEST {answer:?}"));
                            continue;
                        };
                        let shown = match &answer {
                            Answer::Served(value) => {
                                format!("served {}", String::from_utf8_lossy(&value[..value.len().min(60)]))
                            }
                            Answer::Refused => "refused".to_owned(),
                            Answer::Failed(line) => format!("failed {line}"),
                        };
                        world.note(format!("client answer {id:016x} {shown}"));
                        if let Some(request) = requests.get_mut(&id) {
                            request.answer = Some((now, answer));
                        }
                    }
                    Err(_) => {
                        closed.store(true, SeqCst);
                        for id in pending.lock().unwrap().drain(..) {
                            world.note(format!("client connection ended without an answer {id:016x}"));
                            if let Some(request) = requests.get_mut(&id) {
                                request.ended = Some(now);
                            }
                        }
                        return;
                    }
                }
            }
        });
        Ok(link)
    }

    pub fn idle(&self) -> bool {
        !self.closed.load(SeqCst) && self.pending.lock().unwrap().is_empty()
    }

    /// Encodes a call and registers it. Returns its id and its bytes.
    pub fn prepare(&self, ask: &Ask) -> (u64, Vec<u8>) {
        let world = &self.world;
        let id = world.random();
        let (list, sent) = ask.lists();
        let customer = format!("{:016x}", ask.customer);
        let hex = format!("{id:016x}");
        let bytes = if ask.post {
            encode(&[b"CALL.POST", customer.as_bytes(), hex.as_bytes(), sent.as_bytes(), &ask.body])
        } else {
            encode(&[b"CALL.GET", customer.as_bytes(), hex.as_bytes(), sent.as_bytes()])
        };
        world.note(format!(
            "client sends {hex} {} customer {customer} to gateway-{}",
            ask.class,
            self.gateway + 1
        ));
        world.requests.lock().unwrap().insert(
            id,
            Req {
                class: ask.class.into(),
                customer: ask.customer,
                list,
                body: if ask.post { ask.body.clone() } else { Vec::new() },
                d_ms: ask.d_ms,
                gateway: self.gateway,
                sent: world.ms(),
                ..Req::default()
            },
        );
        self.pending.lock().unwrap().push_back(id);
        (id, bytes)
    }

    /// Sends calls in one piece. Returns their ids.
    pub fn send(&self, asks: &[Ask]) -> Vec<u64> {
        let _turn = self.write.lock().unwrap();
        let mut bytes = Vec::new();
        let ids = asks
            .iter()
            .map(|ask| {
                let (id, call) = self.prepare(ask);
                bytes.extend(call);
                id
            })
            .collect();
        let _ = (&self.stream).write_all(&bytes);
        ids
    }
}

/// Waits until these requests are answered or ended; false after so long.
pub fn settled(world: &World, ids: &[u64], within_ms: f64) -> bool {
    let until = world.ms() + within_ms;
    loop {
        {
            let requests = world.requests.lock().unwrap();
            let open = |id: &&u64| requests.get(id).is_some_and(|r| r.answer.is_none() && r.ended.is_none());
            if !ids.iter().any(|id| open(&id)) {
                return true;
            }
        }
        if world.ms() > until {
            return false;
        }
        thread::sleep(Duration::from_micros(100));
    }
}

// -------------------------------------------------------------------------------------------------------- the case

/// Folders of a case, and whether the disruption is to happen. Ends the process with 2 after 115 s.
pub struct Case {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub world: Arc<World>,
    pub trouble: bool,
}

impl Case {
    /// Arguments: the repository, a temporary folder, the record.
    pub fn start() -> Case {
        let args: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
        let [root, folder, record] = args.as_slice() else {
            eprintln!("arguments: REPOSITORY FOLDER RECORD");
            std::process::exit(2);
        };
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(115));
            eprintln!("the case took too long");
            std::process::exit(2);
        });
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let world = World::new(record, unix_ms());
        world.note(format!("trouble {trouble}"));
        Case { root: root.clone(), folder: folder.clone(), world, trouble }
    }

    /// Starts a gateway; ends the process with 2 if it does not become ready.
    pub fn gateway(
        &self,
        me: usize,
        agent: &Agent,
        counter: &Counter,
        limits: (usize, usize),
        settings: &str,
    ) -> Gateway {
        let mut gateway = Gateway::configure(&self.root, &self.folder, me, agent, counter, limits, settings);
        if !gateway.start() {
            eprintln!("{} did not become ready", gateway.name);
            gateway.kill();
            std::process::exit(2);
        }
        self.world.note(format!("{} is ready", gateway.name));
        gateway
    }

    /// Ends all gateways and the process: 1 if the rule was broken, 0 if it held.
    pub fn end(&self, gateways: Vec<Gateway>, is_broken: bool, said: &str) -> ! {
        self.world.note(said);
        println!("{said}");
        println!("{}", if is_broken { "BROKEN" } else { "held" });
        self.world.note(if is_broken { "BROKEN" } else { "held" });
        self.world.flush();
        drop(gateways);
        std::process::exit(i32::from(is_broken))
    }
}

// ------------------------------------------------------------------------------------------------------ judgement

/// What was seen of the rules, from outside.
#[derive(Debug, Default)]
pub struct Verdict {
    pub requests: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    pub foreign: Vec<u64>,
}

pub fn judge(world: &World) -> Verdict {
    let mut v = Verdict::default();
    for (id, r) in world.requests.lock().unwrap().iter() {
        v.requests += 1;
        match &r.answer {
            Some((_, Answer::Served(value))) => {
                v.served += 1;
                let own = r.attempts.iter().any(|a| value.starts_with(value_of(*id, &a.1).as_bytes()));
                if !own {
                    v.foreign.push(*id);
                }
            }
            Some((_, Answer::Refused)) => v.refused += 1,
            Some((_, Answer::Failed(_))) => v.failed += 1,
            None => {}
        }
    }
    v
}
