//! The real program on loopback, with peers that do just what a test tells them. All ports are ephemeral,
//! and every wait is for an event, with a limit far above what it takes.
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far above what anything takes, also on a loaded machine.
pub const LONG: Duration = Duration::from_secs(20);

/// Attempts may not be withdrawn: the module does so with safe ones that are slow against those before, and
/// between tests on a busy machine any may be.
pub fn settings() -> Value {
    json!({
        "allowed": {"cancel": false, "conn-idle": 60_000_000_000u64, "dial-timeout": 2_000_000_000u64,
            "max-attempts": 4, "may-duplicate": false, "retry-after": false, "probes": false},
        "balancers": 1, "me": 0, "zone": 0, "discovery": "automatic",
        "domain": {"counter-timeout": 1_000_000_000u64, "shared-counter": false, "post-paid": true,
            "units-top": 0.0},
        "feedback": {"fields": [], "how": "none"},
        "localities": ["a"], "machine-types": ["m"],
        "rules": {"cold": 1_000_000_000u64, "cold-share": 0.5, "must-ask-in": 0},
        "services": [
            {"name": "read", "semantics": "safe", "aim": 8_000_000_000u64, "hard-limit": 9_000_000_000u64,
                "worth": 1.0, "late-worth": 0.0, "stream": false},
            {"name": "order", "semantics": "unsafe", "aim": 8_000_000_000u64, "hard-limit": 9_000_000_000u64,
                "worth": 3.0, "late-worth": 0.0, "stream": false}],
        "tariffs": [{"name": "team", "refill": 1000.0, "burst": 1000.0, "worth-factor": 1.0,
            "concurrency": 0, "extra-worth": 0.0, "overrun-cost": 0.0, "ceiling-rate": 0.0,
            "never-over-depth": 0.0, "cap-slack": 0.0}],
    })
}

pub fn host_line(name: &str, addr: SocketAddr, lifecycle: &str, started: u64) -> Value {
    json!({"instanceId": name, "hostPort": addr.to_string(), "zone": "a", "machineType": "m", "cell": 1,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started})
}

pub fn list(generation: u64, reset: bool, hosts: &[Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": hosts})
}

fn next<T>(from: &Receiver<T>, what: &str) -> T {
    from.recv_timeout(LONG).unwrap_or_else(|_| panic!("waited in vain for {what}"))
}

/// Waits for something that is sure to come.
pub fn until(what: &str, mut is: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !is() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// The program under test; killed with the test.
pub struct Program {
    child: Child,
    path: PathBuf,
    config: Value,
    log: Arc<Mutex<Vec<String>>>,
    pub addr: SocketAddr,
}

impl Program {
    pub fn start(settings: Value, known: &[Value], discovery: SocketAddr, counter: SocketAddr) -> Self {
        Self::with_sockets(256, settings, known, discovery, counter)
    }

    pub fn with_sockets(
        sockets: usize,
        settings: Value,
        known: &[Value],
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Self {
        let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": sockets});
        Self::within(limits, None, settings, known, discovery, counter)
    }

    /// With an operators' file.
    pub fn with_operators(
        file: &Path,
        settings: Value,
        known: &[Value],
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Self {
        let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": 256});
        let mut command = Command::new(env!("CARGO_BIN_EXE_api-gateway"));
        command.args(["serve", "--operator"]).arg(file);
        Self::spawn(command, limits, settings, known, discovery, counter)
    }

    /// Within these limits of its configuration, and so many descriptors of the system.
    pub fn within(
        limits: Value,
        descriptors: Option<u32>,
        settings: Value,
        known: &[Value],
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_api-gateway"));
        if let Some(descriptors) = descriptors {
            command = Command::new("sh");
            let run = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_api-gateway"));
            command.args(["-c", &run]);
        }
        Self::spawn(command, limits, settings, known, discovery, counter)
    }

    /// By a command that ends up as the program.
    pub fn spawn(
        mut command: Command,
        limits: Value,
        settings: Value,
        known: &[Value],
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Self {
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "7",
            "limits": limits, "counter": counter.to_string(),
            "known": list(1, true, known), "settings": settings,
        });
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("fennelbeam-test-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).unwrap();
        let mut child = command.env("ROUTER_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (told, port) = channel();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let kept = lines.clone();
        thread::spawn(move || {
            let mut line = String::new();
            while log.read_line(&mut line).is_ok_and(|n| n > 0) {
                kept.lock().unwrap().push(line.trim_end().to_owned());
                if line.contains("listening name=") {
                    let (_, addr) = line.trim_end().rsplit_once("address=").unwrap();
                    let _ = told.send(addr.parse().unwrap());
                }
                line.clear();
            }
        });
        let addr = next(&port, "the gateway to listen");
        Program { child, path, config, log: lines, addr }
    }

    pub fn client(&self) -> Client {
        self.try_client().unwrap()
    }

    /// One whose system takes few bytes that it has not read.
    pub fn deaf_client(&self) -> Client {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&self.addr.into()).unwrap();
        Client { stream: BufReader::new(socket.into()) }
    }

    pub fn try_client(&self) -> std::io::Result<Client> {
        let stream = TcpStream::connect(self.addr)?;
        stream.set_read_timeout(Some(LONG))?;
        Ok(Client { stream: BufReader::new(stream) })
    }

    /// Replaces the configuration, whole as a deployment does, and sends SIGHUP.
    pub fn reload(&mut self, discovery: SocketAddr, counter: SocketAddr) {
        self.config["discovery"] = discovery.to_string().into();
        self.config["counter"] = counter.to_string().into();
        self.reload_text(&self.config.to_string());
    }

    /// The configuration that it started with, but for the addresses that [`Program::reload`] has moved.
    pub fn document(&self) -> &Value {
        &self.config
    }

    pub fn reload_text(&self, text: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &self.path).unwrap();
        self.signal("HUP");
    }

    /// Where its configuration is.
    pub fn config(&self) -> PathBuf {
        self.path.clone()
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal("HUP");
    }

    /// Waits until so many lines of its log hold this.
    pub fn until_logged(&self, count: usize, text: &str) {
        let end = Instant::now() + LONG;
        while self.log().iter().filter(|line| line.contains(text)).count() < count {
            assert!(Instant::now() < end, "waited in vain for {count} times `{text}`: {:?}", self.log());
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// What it has written to its log so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// The most memory it has held, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() << 10
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// It stands still from now on, while time and its peers go on: what comes lies with the system.
    pub fn freeze(&self) {
        self.signal("STOP");
        until("the program to stand still", || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
            stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'))
        });
    }

    /// It goes on.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// How many connections it holds, of those whose own port and whose peer's are meant.
    pub fn connections(&self, is_meant: impl Fn(u16, u16) -> bool) -> usize {
        let table = std::fs::read_to_string(format!("/proc/{}/net/tcp", self.child.id())).unwrap();
        let port = |address: &str| u16::from_str_radix(address.rsplit(':').next().unwrap(), 16).unwrap();
        let is_held = |line: &&str| {
            let words: Vec<&str> = line.split_whitespace().collect();
            // What its process has closed has no inode any more; 0A listens.
            words[9] != "0" && words[3] != "0A" && is_meant(port(words[1]), port(words[2]))
        };
        table.lines().skip(1).filter(is_held).count()
    }

    fn signal(&self, name: &str) {
        assert!(self.try_signal(name));
    }

    /// Sends it a signal; false: it has ended.
    pub fn try_signal(&self, name: &str) -> bool {
        let kill = format!("kill -{name} {}", self.child.id());
        Command::new("sh").args(["-c", &kill]).stderr(Stdio::null()).status().unwrap().success()
    }

    pub fn exit(&mut self) -> ExitStatus {
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the gateway did not exit");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).unwrap();
    }
    /// Writes to a connection that may be gone.
    pub fn write_late(&mut self, bytes: &[u8]) {
        let _ = self.stream.get_mut().write_all(bytes);
    }
    pub fn get(&mut self, id: u64) {
        self.call(&[
            "CALL.GET",
            CUSTOMER,
            &format!("{id:016x}"),
            "c=read,t=team,d=8500,units=2,spread=1,first=0,k=7",
        ]);
    }
    pub fn post(&mut self, id: u64, body: &str) {
        let id = format!("{id:016x}");
        self.call(&["CALL.POST", CUSTOMER, &id, "c=order,t=team,d=8500,units=2,spread=1,first=0", body]);
    }
    pub fn call(&mut self, words: &[&str]) {
        self.write(&command(words));
    }
    /// The next line; for a bulk string, its value.
    pub fn answer(&mut self) -> String {
        self.try_answer().unwrap()
    }
    /// The same of a connection that may be broken.
    pub fn try_answer(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line)?;
        if let Some(length) = line.strip_prefix('$') {
            let mut value = vec![0; length.trim_end().parse::<usize>().unwrap() + 2];
            self.stream.read_exact(&mut value)?;
            return Ok(String::from_utf8(value).unwrap().trim_end().to_owned());
        }
        Ok(line.trim_end().to_owned())
    }
    /// Whether the gateway has ended the connection with nothing more to read.
    pub fn ended(&mut self) -> bool {
        let mut byte = [0];
        matches!(self.stream.read(&mut byte), Ok(0))
    }
    /// Waits until an answer has come, and leaves it unread.
    pub fn until_answered(&self) {
        assert_eq!(self.stream.get_ref().peek(&mut [0]).unwrap(), 1);
    }
    /// Goes by a reset.
    pub fn reset(self) {
        socket2::SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }
    /// Goes, and waits until the gateway has taken note.
    pub fn leave(mut self) {
        self.stream.get_mut().shutdown(Shutdown::Write).unwrap();
        assert!(self.ended());
    }
    pub fn until_ready(&mut self) {
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            self.call(&["PING"]);
            if self.answer() == "+PONG" {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the gateway did not get ready");
    }
}

pub const CUSTOMER: &str = "00000000b4d65521";

pub fn command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n{word}\r\n", word.len()).into_bytes());
    }
    bytes
}

/// What a peer that speaks RESP saw.
enum Saw {
    Command(Seen),
    Ended(Conn),
}

/// Number of a peer, and of a connection to it in the order of coming.
pub type Conn = (usize, u32);

/// A command that has come whole, and the connection that it came on.
pub struct Seen {
    pub conn: Conn,
    pub words: Vec<String>,
    stream: TcpStream,
}

impl Seen {
    pub fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }
    /// Writes to a connection that may be gone.
    pub fn write_late(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes());
    }
    pub fn serve(&mut self, value: &str) {
        self.write(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
    }
    /// Serves on a connection that may be gone.
    pub fn serve_late(&mut self, value: &str) {
        self.write_late(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
    }
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
    /// Ends the connection, with a reset right behind; one that is gone takes none.
    pub fn break_off(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Hosts or counters: what comes to any of them goes to the test.
pub struct Peers {
    pub addrs: Vec<SocketAddr>,
    saw: Receiver<Saw>,
}

impl Peers {
    pub fn start(count: usize) -> Self {
        Self::listen((0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()))
    }

    /// One that takes over a listener.
    pub fn behind(listener: TcpListener) -> Self {
        Self::listen([listener].into_iter())
    }

    fn listen(listeners: impl Iterator<Item = TcpListener>) -> Self {
        let (tell, saw) = channel();
        let start = |(peer, listener): (usize, TcpListener)| {
            let addr = listener.local_addr().unwrap();
            let tell = tell.clone();
            thread::spawn(move || {
                for (number, stream) in (0..).zip(listener.incoming()) {
                    let (Ok(stream), tell) = (stream, tell.clone()) else { return };
                    thread::spawn(move || read_commands((peer, number), stream, &tell));
                }
            });
            addr
        };
        Peers { addrs: listeners.enumerate().map(start).collect(), saw }
    }

    pub fn command(&self) -> Seen {
        loop {
            if let Saw::Command(seen) = next(&self.saw, "a command") {
                return seen;
            }
        }
    }

    /// Waits for the end of a connection on which nothing more comes.
    pub fn end(&self, conn: Conn) {
        loop {
            match next(&self.saw, "the end of a connection") {
                Saw::Ended(ended) if ended == conn => return,
                Saw::Ended(_) => {}
                Saw::Command(seen) => panic!("a command in place of the end: {:?}", seen.words),
            }
        }
    }

    /// Waits for the ends of all these connections, in any order, with no command meanwhile.
    pub fn all_end(&self, mut conns: BTreeSet<Conn>) {
        while !conns.is_empty() {
            match next(&self.saw, "the ends of connections") {
                Saw::Ended(conn) => drop(conns.remove(&conn)),
                Saw::Command(seen) => panic!("a command in place of an end: {:?}", seen.words),
            }
        }
    }

    /// Waits for the end of a connection, whatever comes on others.
    pub fn skip_to_end(&self, conn: Conn) {
        while !matches!(next(&self.saw, "the end of a connection"), Saw::Ended(ended) if ended == conn) {}
    }

    /// Serves all commands that come, from now on, and counts them.
    pub fn serve_all(self, value: String) -> Arc<AtomicUsize> {
        let served = Arc::new(AtomicUsize::new(0));
        let count = served.clone();
        thread::spawn(move || {
            for saw in self.saw {
                if let Saw::Command(mut seen) = saw {
                    count.fetch_add(1, Ordering::Relaxed);
                    seen.write_late(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
                }
            }
        });
        served
    }

    /// Commands that have come and were not asked for.
    pub fn others(&self) -> usize {
        self.saw.try_iter().filter(|saw| matches!(saw, Saw::Command(_))).count()
    }
}

fn read_commands(conn: Conn, stream: TcpStream, tell: &Sender<Saw>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(words) = read_command(&mut reader) {
        let stream = stream.try_clone().unwrap();
        if tell.send(Saw::Command(Seen { conn, words, stream })).is_err() {
            return;
        }
    }
    let _ = tell.send(Saw::Ended(conn));
}

fn read_command(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let number = |reader: &mut BufReader<TcpStream>| -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        line.get(1..)?.trim_end().parse().ok()
    };
    let count = number(reader)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut value = vec![0; number(reader)? + 2];
        reader.read_exact(&mut value).ok()?;
        value.truncate(value.len() - 2);
        words.push(String::from_utf8(value).ok()?);
    }
    Some(words)
}

/// Discovery: each watch goes to the test.
pub struct Discovery {
    pub addr: SocketAddr,
    watches: Receiver<Watch>,
}

pub struct Watch {
    pub path: String,
    stream: TcpStream,
}

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (tell, watches) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let mut head = BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok);
                let path = head.next().unwrap_or_default();
                head.find(|line| line.is_empty());
                if tell.send(Watch { path, stream }).is_err() {
                    return;
                }
            }
        });
        Discovery { addr, watches }
    }

    /// The next question, still without an answer.
    pub fn asked(&self) -> Watch {
        next(&self.watches, "a question")
    }

    /// Whether there is a question that was not asked for.
    pub fn was_asked(&self) -> bool {
        self.watches.try_recv().is_ok()
    }

    pub fn watch(&self) -> Watch {
        let mut watch = self.asked();
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch
    }
}

impl Watch {
    fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }
    /// Answers a question for the whole list.
    pub fn answer(mut self, list: &Value) {
        let body = list.to_string();
        self.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
    pub fn tell(&mut self, list: &Value) {
        assert!(self.try_tell(list), "the watch has ended");
    }
    /// Whether the watch is still open, as far as is known.
    pub fn try_tell(&mut self, list: &Value) -> bool {
        let line = format!("{list}\n");
        self.stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok()
    }
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
    /// Begins an answer, with this much of it.
    pub fn say(&mut self, text: &str) {
        self.write(text);
    }
    /// Closes with nothing left to linger for: the system resets the connection.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// A listener whose backlog is full: connections to it stay on their way. Keep the streams.
pub fn full_backlog() -> (SocketAddr, socket2::Socket, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let addr = socket.local_addr().unwrap().as_socket().unwrap();
    let connect = || TcpStream::connect_timeout(&addr, Duration::from_millis(300)).ok();
    (addr, socket, std::iter::from_fn(connect).collect())
}
