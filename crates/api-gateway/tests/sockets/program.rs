//! The program under test, as a process.

use super::{endpoint_list, receive, wait_until, Client, TIMEOUT};
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

/// The program under test, which is killed when it is dropped.
pub struct Program {
    child: Child,
    path: PathBuf,
    config: Value,
    log: Arc<Mutex<Vec<String>>>,
    pub addr: SocketAddr,
}

impl Program {
    pub fn start(
        settings: Value,
        cached_hosts: &[Value],
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Self {
        Self::with_sockets(256, settings, cached_hosts, discovery, counter)
    }

    pub fn with_sockets(
        sockets: usize,
        settings: Value,
        cached_hosts: &[Value],
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Self {
        let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": sockets});
        Self::with_limits(limits, None, settings, cached_hosts, discovery, counter)
    }

    /// Starts the program with an operators' file.
    pub fn with_operators(
        file: &Path,
        settings: Value,
        cached_hosts: &[Value],
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Self {
        let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": 256});
        let mut command = Command::new(env!("CARGO_BIN_EXE_api-gateway"));
        command.args(["serve", "--operator"]).arg(file);
        Self::spawn(command, limits, settings, cached_hosts, discovery, counter)
    }

    /// Starts the program with these limits in its configuration, and with this limit of descriptors of the system.
    pub fn with_limits(
        limits: Value,
        descriptors: Option<u32>,
        settings: Value,
        cached_hosts: &[Value],
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_api-gateway"));
        if let Some(descriptors) = descriptors {
            command = Command::new("sh");
            let script = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_api-gateway"));
            command.args(["-c", &script]);
        }
        Self::spawn(command, limits, settings, cached_hosts, discovery, counter)
    }

    /// Starts the program by a command that executes it.
    pub fn spawn(
        mut command: Command,
        limits: Value,
        settings: Value,
        cached_hosts: &[Value],
        discovery: SocketAddr,
        counter: SocketAddr,
    ) -> Self {
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "7",
            "limits": limits, "counter": counter.to_string(),
            "known": endpoint_list(1, true, cached_hosts), "settings": settings,
        });
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("fennelbeam-test-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).unwrap();
        let mut child = command.env("ROUTER_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (sender, address) = channel();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let log_lines = lines.clone();
        thread::spawn(move || {
            let mut line = String::new();
            while log.read_line(&mut line).is_ok_and(|n| n > 0) {
                log_lines.lock().unwrap().push(line.trim_end().to_owned());
                if line.contains("listening name=") {
                    let (_, addr) = line.trim_end().rsplit_once("address=").unwrap();
                    let _ = sender.send(addr.parse().unwrap());
                }
                line.clear();
            }
        });
        let addr = receive(&address, "the gateway to listen");
        Program { child, path, config, log: lines, addr }
    }

    pub fn client(&self) -> Client {
        self.try_client().unwrap()
    }

    /// Returns a client that never reads, with a small receive buffer.
    pub fn non_reading_client(&self) -> Client {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&self.addr.into()).unwrap();
        Client { stream: BufReader::new(socket.into()) }
    }

    pub fn try_client(&self) -> std::io::Result<Client> {
        let stream = TcpStream::connect(self.addr)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        Ok(Client { stream: BufReader::new(stream) })
    }

    /// Replaces the configuration file atomically, as a deployment does, and sends SIGHUP.
    pub fn reload(&mut self, discovery: SocketAddr, counter: SocketAddr) {
        self.config["discovery"] = discovery.to_string().into();
        self.config["counter"] = counter.to_string().into();
        self.reload_text(&self.config.to_string());
    }

    /// Returns the configuration of the start, with the addresses of the last [`Program::reload`].
    pub fn document(&self) -> &Value {
        &self.config
    }

    pub fn reload_text(&self, text: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &self.path).unwrap();
        self.signal("HUP");
    }

    /// Returns the path of the configuration file.
    pub fn config_path(&self) -> PathBuf {
        self.path.clone()
    }

    /// Sends SIGHUP.
    pub fn send_sighup(&self) {
        self.signal("HUP");
    }

    /// Waits until this number of log lines contain the text.
    pub fn wait_for_log(&self, count: usize, text: &str) {
        let end = Instant::now() + TIMEOUT;
        while self.log().iter().filter(|line| line.contains(text)).count() < count {
            assert!(
                Instant::now() < end,
                "timed out waiting for {count} log lines with `{text}`: {:?}",
                self.log()
            );
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Returns the lines of the log until now.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Returns the peak of its resident memory, in bytes.
    pub fn peak_memory(&self) -> usize {
        self.memory("VmHWM:")
    }

    /// Returns its resident memory without pages of files, in bytes.
    pub fn anonymous_memory(&self) -> usize {
        self.memory("RssAnon:")
    }

    fn memory(&self, name: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() << 10
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Stops the process with SIGSTOP. Time and the peers go on, and incoming bytes stay in the system's buffers.
    pub fn pause(&self) {
        self.signal("STOP");
        wait_until("the program to stop", || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
            stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'))
        });
    }

    /// Resumes the process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Returns the number of its connections whose local port and peer port match.
    pub fn count_connections(&self, matches: impl Fn(u16, u16) -> bool) -> usize {
        let table = std::fs::read_to_string(format!("/proc/{}/net/tcp", self.child.id())).unwrap();
        let port = |address: &str| u16::from_str_radix(address.rsplit(':').next().unwrap(), 16).unwrap();
        let is_counted = |line: &&str| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            // Sockets that the process has closed have no inode; state 0A is a listener.
            columns[9] != "0" && columns[3] != "0A" && matches(port(columns[1]), port(columns[2]))
        };
        table.lines().skip(1).filter(is_counted).count()
    }

    fn signal(&self, name: &str) {
        assert!(self.try_signal(name));
    }

    /// Sends a signal, and returns whether the process still exists.
    pub fn try_signal(&self, name: &str) -> bool {
        let kill = format!("kill -{name} {}", self.child.id());
        Command::new("sh").args(["-c", &kill]).stderr(Stdio::null()).status().unwrap().success()
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let end = Instant::now() + TIMEOUT;
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
