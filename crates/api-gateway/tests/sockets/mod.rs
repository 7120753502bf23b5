//! The real program on loopback, with clients, hosts, a counter and discovery that each test controls. All ports are
//! ephemeral, and every wait is for an event, with a time limit far above the usual duration.

mod client;
mod discovery;
mod peers;
mod program;

pub use client::*;
#[allow(unused_imports)] // some tests need no discovery
pub use discovery::*;
pub use peers::*;
#[allow(unused_imports)] // some tests start the program in a different way
pub use program::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of all waits, far above their usual duration also on a loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns settings that forbid to cancel attempts. The policy module cancels idempotent attempts that are slow
/// compared with earlier ones, which any attempt may be on a machine that is busy with other tests.
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

pub fn host_entry(name: &str, addr: SocketAddr, lifecycle: &str, started: u64) -> Value {
    json!({"instanceId": name, "hostPort": addr.to_string(), "zone": "a", "machineType": "m", "cell": 1,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started})
}

pub fn endpoint_list(generation: u64, reset: bool, hosts: &[Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": hosts})
}

fn receive<T>(receiver: &Receiver<T>, awaited: &str) -> T {
    receiver.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("timed out waiting for {awaited}"))
}

/// Waits for a condition that is certain to become true.
pub fn wait_until(awaited: &str, mut is_reached: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !is_reached() {
        assert!(Instant::now() < end, "timed out waiting for {awaited}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Returns a listener whose backlog is full as long as the streams are kept: connections to it are not established.
pub fn full_backlog() -> (SocketAddr, socket2::Socket, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let addr = socket.local_addr().unwrap().as_socket().unwrap();
    let connect = || TcpStream::connect_timeout(&addr, Duration::from_millis(300)).ok();
    (addr, socket, std::iter::from_fn(connect).collect())
}
