//! Signals that arrive while the program starts, and two simultaneous signals.
#[allow(dead_code)]
mod sockets;

use serde_json::{json, Value};
use sockets::*;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use tempfile::TempDir;

/// Two signals in both orders.
const ORDERS: [[&str; 2]; 2] = [["HUP", "TERM"], ["TERM", "HUP"]];

/// The starting program, and the folder of its configuration.
struct Starting {
    folder: TempDir,
    child: Child,
}

impl Drop for Starting {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Starting {
    /// Starts the program after `write_config` has created the file at the configuration's path.
    fn new(write_config: impl FnOnce(PathBuf)) -> Starting {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        write_config(path.clone());
        let mut command = Command::new(env!("CARGO_BIN_EXE_api-gateway"));
        let child = command.env("ROUTER_CONFIG", path).stderr(Stdio::piped()).spawn().unwrap();
        Starting { folder, child }
    }

    fn config_path(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    fn signal(&self, names: &[&str]) {
        let kills: Vec<String> =
            names.iter().map(|name| format!("kill -{name} {}", self.child.id())).collect();
        assert!(Command::new("sh").args(["-c", &kills.join("; ")]).status().unwrap().success());
    }

    /// Takes the program's log.
    fn log(&mut self) -> BufReader<ChildStderr> {
        BufReader::new(self.child.stderr.take().unwrap())
    }

    fn wait_for_exit(&mut self) -> ExitStatus {
        let end = std::time::Instant::now() + TIMEOUT;
        while std::time::Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            thread::sleep(std::time::Duration::from_millis(1));
        }
        panic!("the gateway did not exit");
    }
}

fn document(discovery: SocketAddr) -> Value {
    let host = host_entry("s-0", "127.0.0.1:9".parse().unwrap(), "in_service", 0);
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "counter": "127.0.0.1:9",
        "known": endpoint_list(1, true, &[host]), "settings": settings(),
    })
}

/// Puts a pipe in place of the configuration file, which blocks the program as soon as it reads the configuration. The
/// returned function waits until the program is blocked, and returns the other end.
fn pipe(path: PathBuf) -> impl FnOnce() -> File {
    let next = path.with_extension("pipe");
    assert!(Command::new("mkfifo").arg(&next).status().unwrap().success());
    std::fs::rename(next, &path).unwrap();
    move || {
        let (opened, pipe) = channel();
        thread::spawn(move || opened.send(File::options().write(true).open(path).unwrap()));
        pipe.recv_timeout(TIMEOUT).expect("the program does not read the configuration")
    }
}

#[test]
fn signals_during_the_first_configuration_read_take_effect_once_the_gateway_listens() {
    for signals in [&["HUP"][..], &["TERM"], &ORDERS[0], &ORDERS[1], &["HUP", "HUP", "TERM", "TERM"]] {
        let (old, new) = (Discovery::start(), Discovery::start());
        let mut open_pipe = None;
        let mut starting = Starting::new(|path| open_pipe = Some(pipe(path)));
        // From here on the program is blocked in the middle of its start.
        let mut pipe = open_pipe.take().unwrap()();
        let next = starting.config_path().with_extension("new");
        std::fs::write(&next, document(new.addr).to_string()).unwrap();
        std::fs::rename(&next, starting.config_path()).unwrap();
        starting.signal(signals);
        pipe.write_all(document(old.addr).to_string().as_bytes()).unwrap();
        drop(pipe);
        let mut log = starting.log().lines().map_while(Result::ok);
        assert!(log.any(|line| line.contains("listening name=")), "{signals:?}");
        if signals.contains(&"HUP") {
            let asked = new.next_request();
            assert!(asked.path.starts_with("GET /registry/instances "), "{signals:?}: {}", asked.path);
        }
        if !signals.contains(&"TERM") {
            starting.signal(&["TERM"]);
        }
        let status = starting.wait_for_exit();
        assert!(status.success(), "{signals:?}: {status}: {:?}", log.collect::<Vec<_>>());
    }
}

/// Until the program has installed its handlers, either signal ends it, like any process. Afterwards SIGHUP does not,
/// and SIGTERM ends it with status 0. The system's scheduling decides which of the two happens to signals sent at once.
#[test]
fn signals_right_after_the_start_kill_the_program_or_stop_it_gracefully() {
    for signals in ORDERS.into_iter().cycle().take(20) {
        let discovery = Discovery::start();
        let write = |path| std::fs::write(path, document(discovery.addr).to_string()).unwrap();
        let mut starting = Starting::new(write);
        starting.signal(&signals);
        let status = starting.wait_for_exit();
        let is_killed = [Some(1), Some(15)].contains(&status.signal());
        assert!(status.success() || is_killed, "{signals:?}: {status}");
    }
}

#[test]
fn a_simultaneous_reload_and_shutdown_both_take_effect() {
    for signals in ORDERS {
        let (old, new) = (Discovery::start(), Discovery::start());
        let write = |path| std::fs::write(path, document(old.addr).to_string()).unwrap();
        let mut starting = Starting::new(write);
        let mut log = starting.log().lines().map_while(Result::ok);
        assert!(log.any(|line| line.contains("listening name=")));
        std::fs::write(starting.config_path(), document(new.addr).to_string()).unwrap();
        // Both signals are pending while the process is stopped.
        starting.signal(&["STOP", signals[0], signals[1], "CONT"]);
        let asked = new.next_request();
        assert!(asked.path.starts_with("GET /registry/instances "), "{signals:?}: {}", asked.path);
        assert!(starting.wait_for_exit().success(), "{signals:?}: {:?}", log.collect::<Vec<_>>());
    }
}

#[test]
fn a_drain_sent_by_the_old_agent_takes_effect_although_a_reload_moves_discovery() {
    let (hosts, old, new) = (Peers::start(2), Discovery::start(), Discovery::start());
    let line = |n: usize, state: &str| host_entry(&format!("s-{n}"), hosts.addrs[n], state, 0);
    let known = [line(0, "in_service"), line(1, "in_service")];
    let mut gateway = Program::start(settings(), &known, old.addr, "127.0.0.1:9".parse().unwrap());
    let mut watch = old.accept_watch();
    watch.send_list(&endpoint_list(1, false, &[]));
    let mut client = gateway.client();
    client.wait_until_ready();
    let mut document = gateway.document().clone();
    document["discovery"] = new.addr.to_string().into();
    let open_pipe = pipe(gateway.config_path());
    gateway.send_sighup();
    let mut pipe = open_pipe();
    // The program is blocked, so the list is in the system's buffers when it continues.
    watch.send_list(&endpoint_list(2, false, &[line(0, "terminating")]));
    pipe.write_all(document.to_string().as_bytes()).unwrap();
    drop(pipe);
    // The new agent does not answer.
    let _silent = new.next_request();
    for id in 0..20 {
        client.send_get(id);
        let mut command = hosts.next_command();
        command.serve("served");
        assert_eq!((client.read_answer().as_str(), command.connection.0), ("served", 1), "request {id}");
    }
    gateway.terminate();
    assert!(gateway.wait_for_exit().success());
}
