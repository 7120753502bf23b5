//! The program under test, as a process.

use super::{list, next, until, Client, LONG};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

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
