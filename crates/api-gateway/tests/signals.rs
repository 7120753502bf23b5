//! Signals that come while the program starts, and two at one instant.
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

/// In either order.
const ORDERS: [[&str; 2]; 2] = [["HUP", "TERM"], ["TERM", "HUP"]];

/// The program as it starts, and where its configuration is.
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
    /// `place` puts something where the configuration is.
    fn new(place: impl FnOnce(PathBuf)) -> Starting {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        place(path.clone());
        let mut command = Command::new(env!("CARGO_BIN_EXE_api-gateway"));
        let child = command.env("ROUTER_CONFIG", path).stderr(Stdio::piped()).spawn().unwrap();
        Starting { folder, child }
    }

    fn config(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    fn signal(&self, names: &[&str]) {
        let kills: Vec<String> =
            names.iter().map(|name| format!("kill -{name} {}", self.child.id())).collect();
        assert!(Command::new("sh").args(["-c", &kills.join("; ")]).status().unwrap().success());
    }

    /// Its log, which is read once.
    fn log(&mut self) -> BufReader<ChildStderr> {
        BufReader::new(self.child.stderr.take().unwrap())
    }

    fn exit(&mut self) -> ExitStatus {
        let end = std::time::Instant::now() + LONG;
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
    let host = host_line("s-0", "127.0.0.1:9".parse().unwrap(), "in_service", 0);
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "counter": "127.0.0.1:9",
        "known": list(1, true, &[host]), "settings": settings(),
    })
}

/// What holds whoever reads the configuration: a pipe in its place. Gives the other end once that is held.
fn pipe(path: PathBuf) -> impl FnOnce() -> File {
    let next = path.with_extension("pipe");
    assert!(Command::new("mkfifo").arg(&next).status().unwrap().success());
    std::fs::rename(next, &path).unwrap();
    move || {
        let (opened, pipe) = channel();
        thread::spawn(move || opened.send(File::options().write(true).open(path).unwrap()));
        pipe.recv_timeout(LONG).expect("the configuration is not read")
    }
}

#[test]
fn signals_that_come_while_the_configuration_is_read_count_once_it_listens() {
    for signals in [&["HUP"][..], &["TERM"], &ORDERS[0], &ORDERS[1], &["HUP", "HUP", "TERM", "TERM"]] {
        let (old, new) = (Discovery::start(), Discovery::start());
        let mut held = None;
        let mut starting = Starting::new(|path| held = Some(pipe(path)));
        // The program is in the middle of its start.
        let mut pipe = held.take().unwrap()();
        let next = starting.config().with_extension("new");
        std::fs::write(&next, document(new.addr).to_string()).unwrap();
        std::fs::rename(&next, starting.config()).unwrap();
        starting.signal(signals);
        pipe.write_all(document(old.addr).to_string().as_bytes()).unwrap();
        drop(pipe);
        let mut log = starting.log().lines().map_while(Result::ok);
        assert!(log.any(|line| line.contains("listening name=")), "{signals:?}");
        if signals.contains(&"HUP") {
            let asked = new.asked();
            assert!(asked.path.starts_with("GET /registry/instances "), "{signals:?}: {}", asked.path);
        }
        if !signals.contains(&"TERM") {
            starting.signal(&["TERM"]);
        }
        let status = starting.exit();
        assert!(status.success(), "{signals:?}: {status}: {:?}", log.collect::<Vec<_>>());
    }
}

/// Before the program has taken signals over, either of them ends it, as it does any process. From then on SIGHUP does
/// not, and after SIGTERM it ends with 0. Which of the two a signal meets that is sent at once is up to the system.
#[test]
fn signals_that_come_at_once_end_the_program_by_themselves_or_as_later_ones_do() {
    for signals in ORDERS.into_iter().cycle().take(20) {
        let discovery = Discovery::start();
        let write = |path| std::fs::write(path, document(discovery.addr).to_string()).unwrap();
        let mut starting = Starting::new(write);
        starting.signal(&signals);
        let status = starting.exit();
        let by_itself = [Some(1), Some(15)].contains(&status.signal());
        assert!(status.success() || by_itself, "{signals:?}: {status}");
    }
}

#[test]
fn a_reload_and_the_stop_that_reach_the_program_at_one_instant_both_count() {
    for signals in ORDERS {
        let (old, new) = (Discovery::start(), Discovery::start());
        let write = |path| std::fs::write(path, document(old.addr).to_string()).unwrap();
        let mut starting = Starting::new(write);
        let mut log = starting.log().lines().map_while(Result::ok);
        assert!(log.any(|line| line.contains("listening name=")));
        std::fs::write(starting.config(), document(new.addr).to_string()).unwrap();
        // It is stopped, so both wait for it to go on.
        starting.signal(&["STOP", signals[0], signals[1], "CONT"]);
        let asked = new.asked();
        assert!(asked.path.starts_with("GET /registry/instances "), "{signals:?}: {}", asked.path);
        assert!(starting.exit().success(), "{signals:?}: {:?}", log.collect::<Vec<_>>());
    }
}

#[test]
fn a_drain_that_the_old_agent_has_written_counts_though_a_reload_moves_discovery_before_it_is_read() {
    let (hosts, old, new) = (Peers::start(2), Discovery::start(), Discovery::start());
    let line = |n: usize, state: &str| host_line(&format!("s-{n}"), hosts.addrs[n], state, 0);
    let known = [line(0, "in_service"), line(1, "in_service")];
    let mut gateway = Program::start(settings(), &known, old.addr, "127.0.0.1:9".parse().unwrap());
    let mut watch = old.watch();
    watch.tell(&list(1, false, &[]));
    let mut client = gateway.client();
    client.until_ready();
    let mut document = gateway.document().clone();
    document["discovery"] = new.addr.to_string().into();
    let held = pipe(gateway.config());
    gateway.hang_up();
    let mut pipe = held();
    // The program stands still, so this lies with its system when it goes on.
    watch.tell(&list(2, false, &[line(0, "terminating")]));
    pipe.write_all(document.to_string().as_bytes()).unwrap();
    drop(pipe);
    // The new agent does not answer.
    let _silent = new.asked();
    for id in 0..20 {
        client.get(id);
        let mut seen = hosts.command();
        seen.serve("served");
        assert_eq!((client.answer().as_str(), seen.conn.0), ("served", 1), "call {id}");
    }
    gateway.terminate();
    assert!(gateway.exit().success());
}
