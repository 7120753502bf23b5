//! Rooms to test in.

use cluster_model::scenario::NetworkSpec;
use cluster_model::{MS, SECOND};
use runtime::{Env, Listener, Time};
use simulated_runtime::{Machine, Packet, Place, Sim, SimConfig, SimEnv, SimListener, SimStream, What};
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// What the clock shows at first: not 0, so that a moment is not taken for a span.
pub const START: Time = 1_000 * SECOND;
/// One way from the client to the host.
pub const CLIENT: Time = 600_000;

/// Notes what happens and when, in milliseconds from the start.
#[derive(Clone, Default)]
pub struct Notes(Arc<Mutex<Vec<String>>>);

impl Notes {
    pub fn add(&self, env: &impl Env, what: impl Display) {
        let at = (env.now() - START) as f64 / MS as f64;
        self.0.lock().unwrap().push(format!("{at} {what}"));
    }

    pub fn take(&self) -> Vec<String> {
        std::mem::take(&mut self.0.lock().unwrap())
    }
}

/// A client and a host, 0.6 ms apart, with no jitter.
pub struct Pair {
    pub sim: Sim,
    pub client_machine: Machine,
    pub host_machine: Machine,
    pub client: SimEnv,
    pub host: SimEnv,
    pub notes: Notes,
}

pub fn network() -> NetworkSpec {
    NetworkSpec { jitter: 0.0, ..NetworkSpec::default() }
}

pub fn pair() -> Pair {
    pair_in(1, network())
}

pub fn pair_in(seed: u64, network: NetworkSpec) -> Pair {
    let sim = Sim::new(SimConfig { seed, start: START, network });
    let host_machine = sim.machine("host", Place::Building(1));
    let client_machine = sim.machine("client", Place::Client);
    Pair {
        client: client_machine.process("client"),
        host: host_machine.process("host"),
        client_machine,
        host_machine,
        sim,
        notes: Notes::default(),
    }
}

impl Pair {
    /// Where the host listens.
    pub fn addr(&self) -> SocketAddr {
        SocketAddr::new(self.host_machine.ip(), 80)
    }

    pub fn listen(&self) -> SimListener {
        self.host.listen(self.addr(), 16).unwrap()
    }

    /// The host accepts one connection and does this with it.
    pub fn serve<F: Future<Output = ()> + Send + 'static>(
        &self,
        serve: impl FnOnce(SimEnv, SimStream) -> F + Send + 'static,
    ) {
        let (mut listener, env) = (self.listen(), self.host.clone());
        self.host.spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            serve(env, stream).await;
            // It goes on listening.
            std::future::pending::<()>().await;
            drop(listener);
        });
    }

    /// The client opens a connection and does this with it.
    pub fn ask<F: Future<Output = ()> + Send + 'static>(
        &self,
        ask: impl FnOnce(SimEnv, SimStream) -> F + Send + 'static,
    ) {
        let (env, addr) = (self.client.clone(), self.addr());
        self.client.spawn(async move {
            let stream = env.connect(addr).await.unwrap();
            ask(env, stream).await;
        });
    }

    /// The client notes all that it reads, in one go at each moment, and how it ended.
    pub fn note_what_comes(&self) {
        let notes = self.notes.clone();
        self.ask(|env, mut stream| async move {
            notes.add(&env, "open");
            note_what_comes(&env, &notes, &mut stream).await;
        });
    }

    /// Runs until so long after the start, and gives the notes since the last time.
    pub fn run(&self, span: Time) -> Vec<String> {
        self.sim.run_until(START + span).unwrap();
        self.notes.take()
    }

    /// Shows what arrives from now on, without addresses.
    pub fn wire(&self) -> Arc<Mutex<Vec<(Time, String, What)>>> {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let seen_there = seen.clone();
        self.sim.trace(Box::new(move |packet: &Packet| {
            let from = packet.from.machine.to_string();
            seen_there.lock().unwrap().push((packet.at - START, from, packet.what.clone()));
        }));
        seen
    }
}

pub async fn note_what_comes(env: &SimEnv, notes: &Notes, stream: &mut SimStream) {
    let mut buf = vec![0; 1 << 20];
    loop {
        match stream.read(&mut buf).await {
            Ok(0) => return notes.add(env, "end"),
            Ok(count) if count > 20 => notes.add(env, format!("{count} bytes")),
            Ok(count) => notes.add(env, String::from_utf8_lossy(&buf[..count])),
            Err(error) => return notes.add(env, format!("{:?}", error.kind())),
        }
    }
}

/// Answers everything with itself.
pub async fn echo(_env: SimEnv, mut stream: SimStream) {
    let mut buf = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buf).await {
        if stream.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
