//! The operators' file at a real gateway: routes, reloads, and invalid files.
#[allow(dead_code)]
mod sockets;

use sockets::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use tempfile::TempDir;

/// Reads go to one host and orders to another; the third host is in no pool.
const ROUTES: &str = r#"
include "pools.fb"
route "reads" {
  classes = "read"
  pool = "first"
}
route "orders" {
  pool = "second"
}
"#;
const POOLS: &str = r#"
pool "first" {
  ids = "s-0"
}
pool "second" {
  ids = "s-1"
}
"#;

/// A folder with the operators' files.
struct Files(TempDir);

impl Files {
    fn new() -> Files {
        let files = Files(tempfile::tempdir().unwrap());
        files.write("pools.fb", POOLS);
        files.write("site.fb", ROUTES);
        files
    }
    fn site(&self) -> PathBuf {
        self.0.path().join("site.fb")
    }
    /// Replaces a file atomically.
    fn write(&self, name: &str, text: &str) {
        let new = self.0.path().join("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, self.0.path().join(name)).unwrap();
    }
}

/// Starts hosts that answer at once with their own number.
fn hosts(count: usize) -> Vec<SocketAddr> {
    let host = |number: usize| {
        let peers = Peers::start(1);
        let addr = peers.addrs[0];
        peers.serve_all(format!("host-{number}"));
        addr
    };
    (0..count).map(host).collect()
}

fn gateway(file: &Path) -> Program {
    let (discovery, counter) = (Discovery::start(), Peers::start(1));
    let line = |(number, addr)| host_entry(&format!("s-{number}"), addr, "in_service", 0);
    let known: Vec<_> = hosts(3).into_iter().enumerate().map(line).collect();
    let mut settings = settings();
    settings["tariffs"][0]["refill"] = 1e6.into();
    settings["tariffs"][0]["burst"] = 1e6.into();
    let gateway = Program::with_operators(file, settings, &known, discovery.addr, counter.addrs[0]);
    gateway.client().wait_until_ready();
    gateway
}

fn read(client: &mut Client, id: u64) -> String {
    client.send_get(id);
    client.read_answer()
}

fn order(client: &mut Client, id: u64) -> String {
    client.send_post(id, "body");
    client.read_answer()
}

#[test]
fn requests_go_to_their_pools_and_a_reload_moves_them() {
    let files = Files::new();
    let gateway = gateway(&files.site());
    let mut client = gateway.client();
    for id in 1..20 {
        assert_eq!(read(&mut client, 2 * id), "host-0");
        assert_eq!(order(&mut client, 2 * id + 1), "host-1");
    }
    // Only the included file changes.
    files.write("pools.fb", &POOLS.replace("s-0", "s-2"));
    gateway.send_sighup();
    gateway.wait_for_log(1, "operators' files are in effect routes=2");
    for id in 20..40 {
        assert_eq!(read(&mut client, 2 * id), "host-2");
        assert_eq!(order(&mut client, 2 * id + 1), "host-1");
    }
}

#[test]
fn an_invalid_file_changes_nothing_and_is_logged_with_file_and_line() {
    let files = Files::new();
    let gateway = gateway(&files.site());
    let mut client = gateway.client();
    let invalid_files = [
        ("pools.fb", "pool \"second\" {}\npool \"first\" {\n  ids = \"s-2\n}\n", "pools.fb:3:9: error: "),
        ("pools.fb", "pool \"first\" {\n  ids = \"s-2\"\n}\n", "site.fb:8:10: error: "),
        ("site.fb", "include \"gone.fb\"\n", "site.fb:1:9: error: "),
        ("site.fb", "quota policy \"q\" {\n  plan = \"team\"\n  rate = 30\n}\n", "site.fb:3:10: error: "),
        (
            "site.fb",
            "quota policy \"q\" {\n  plan = \"tema\"\n  rate = 30 units/s\n}\n",
            "site.fb:2:10: error: ",
        ),
    ];
    for (n, (name, text, expected)) in invalid_files.into_iter().enumerate() {
        files.write("site.fb", ROUTES);
        files.write(name, text);
        gateway.send_sighup();
        gateway.wait_for_log(n + 1, "configuration reload failed, the current one stays in effect error=");
        let line = gateway.log().into_iter().rfind(|line| line.contains("reload failed")).unwrap();
        assert!(line.contains(expected), "{line}");
        assert_eq!(read(&mut client, 2 * n as u64 + 2), "host-0", "{name}: {text}");
        files.write("pools.fb", POOLS);
    }
    assert!(!gateway.log().iter().any(|line| line.contains("files are in effect")));
}

#[test]
fn an_invalid_file_fails_the_start_with_one_line() {
    let files = Files::new();
    files.write("site.fb", "pool \"a\" {\n  zones = \"elsewhere\"\n}\n");
    let document = files.0.path().join("config.json");
    std::fs::write(&document, include_str!("../../../deploy/example.json")).unwrap();
    let program = std::process::Command::new(env!("CARGO_BIN_EXE_api-gateway"))
        .args(["serve", "--config"])
        .arg(&document)
        .arg("--operator")
        .arg(files.site())
        .output()
        .unwrap();
    assert_eq!(program.status.code(), Some(1));
    let log = String::from_utf8(program.stderr).unwrap();
    assert!(log.contains("site.fb:2:11: error: ") && log.lines().count() == 1, "{log}");
}

#[test]
fn logs_a_tenfold_change() {
    let files = Files::new();
    let policy =
        |rate: &str| format!("quota policy \"q\" {{\n  plan = \"team\"\n  rate = {rate} units/s\n}}\n");
    files.write("site.fb", &policy("30"));
    let gateway = gateway(&files.site());
    files.write("site.fb", &policy("300"));
    gateway.send_sighup();
    gateway.wait_for_log(1, "site.fb:3:10: warning: ");
    gateway.wait_for_log(1, "operators' files are in effect");
}

#[test]
fn a_thousand_reloads_under_load_lose_no_requests() {
    let files = Files::new();
    let gateway = gateway(&files.site());
    let versions =
        [POOLS.to_owned(), POOLS.replace("s-0", "s-x").replace("s-1", "s-0").replace("s-x", "s-1")];
    let (is_running, next) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicU64::new(1)));
    let served: Arc<Mutex<Vec<(bool, String)>>> = Arc::default();
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let mut client = gateway.client();
            let (is_running, next, served) = (is_running.clone(), next.clone(), served.clone());
            thread::spawn(move || {
                let mut sent = 0;
                while is_running.load(Ordering::Relaxed) {
                    let id = next.fetch_add(1, Ordering::Relaxed);
                    let is_read = id % 2 == 0;
                    let answer = if is_read { read(&mut client, id) } else { order(&mut client, id) };
                    served.lock().unwrap().push((is_read, answer));
                    sent += 1;
                }
                sent
            })
        })
        .collect();
    for n in 1..=1_000 {
        files.write("pools.fb", &versions[n % 2]);
        gateway.send_sighup();
        gateway.wait_for_log(n, "operators' files are in effect");
    }
    is_running.store(false, Ordering::Relaxed);
    let sent: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    let served = std::mem::take(&mut *served.lock().unwrap());
    assert_eq!(served.len(), sent);
    assert!(sent > 1_000, "{sent}");
    // Both versions use the first two hosts and not the third; no request may fail or be rejected.
    let unexpected = served.iter().find(|(_, answer)| !["host-0", "host-1"].contains(&answer.as_str()));
    assert_eq!(unexpected, None, "of {sent}");
    assert!(served.iter().any(|(is_read, answer)| *is_read && answer == "host-1"), "no reload took effect");
    assert!(!gateway.log().iter().any(|line| line.contains("reload failed")));
}
