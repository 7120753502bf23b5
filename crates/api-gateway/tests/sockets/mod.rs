//! The real program on loopback, with clients, hosts, a counter and discovery that do just what a test tells them. All
//! ports are ephemeral, and every wait is for an event, with a limit far above what it takes.

mod client;
mod discovery;
mod peers;
mod program;

pub use client::*;
#[allow(unused_imports)] // some tests need no discovery of their own
pub use discovery::*;
pub use peers::*;
#[allow(unused_imports)] // some tests start the program in another way
pub use program::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::Receiver;
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

/// A listener whose backlog is full: connections to it stay on their way. Keep the streams.
pub fn full_backlog() -> (SocketAddr, socket2::Socket, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let addr = socket.local_addr().unwrap().as_socket().unwrap();
    let connect = || TcpStream::connect_timeout(&addr, Duration::from_millis(300)).ok();
    (addr, socket, std::iter::from_fn(connect).collect())
}
