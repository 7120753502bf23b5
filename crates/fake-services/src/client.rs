//! The stand-in for clients and the front that they come through.
//!
//! One task sends each thing that is asked for on its way when its time comes; a task of its own sees it
//! through all its tries. The front knows which gateways are in service and keeps the connections that lie
//! idle; each connection is a task that carries one request at a time, writes down what it sees, and watches
//! for bytes that nobody asked for while it lies idle.
//!
//! A request is written down as asked at the write that is whole, once. If its connection breaks before, or
//! ends cleanly without a byte of an answer and so early that the two have crossed (on a connection that had
//! carried a request before), it is sent once more under the same id on a new connection, and the client's time
//! goes on from the first write. A try that comes to no gateway is not written down, only counted.

mod call;
mod front;
mod line;
mod open;
mod rude;
mod thing;

pub use rude::RUDE_THINGS;

use crate::Recorder;
use call::Caller;
use cluster_model::requests::RequestSampler;
use cluster_model::scenario::{Site, Traffic};
use cluster_model::traffic::{Arrivals, BuildingBias, ClientBehaviour, GatewaySelector, TrafficWindow};
use front::Front;
use open::{Hold, Open};
use rude::Rude;
use runtime::{Env, Span, Time};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What the clients of a site need to know.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// The site.
    pub site: Site,
    /// What they ask.
    pub traffic: Traffic,
    /// What requests are like.
    pub draws: RequestSampler,
    /// Of the traffic and of how clients behave.
    pub seed: u64,
    /// Where the gateways listen.
    pub gateways: Vec<SocketAddr>,
    /// Windows of more or less traffic.
    pub scales: Vec<TrafficWindow>,
    /// Whiles in which a building gets another part of the traffic.
    pub leans: Vec<BuildingBias>,
    /// The first moment of the traffic.
    pub start: Time,
    /// For how long they ask.
    pub length: Span,
    /// Where they write down what they see.
    pub recorder: Recorder,
    /// Connections that the front has to a gateway at the most; further requests wait for one of them.
    pub most_connections: usize,
}

/// What a client does that leaves early, for now.
#[derive(Clone, Copy, Debug)]
struct Impatience {
    /// Share of the clients.
    share: f64,
    until: Time,
}

/// What all tasks of the clients share.
struct Crowd<E: Env> {
    env: E,
    front: Arc<Front<E>>,
    caller: Caller,
    behaviour: ClientBehaviour,
    deal: GatewaySelector,
    start: Time,
    /// For so long beyond its patience a client would still take an answer.
    slack: Span,
    /// Share of the clients that leave early at usual times.
    impatient: f64,
    unusual: Mutex<Impatience>,
    unreached: AtomicU64,
    recorder: Recorder,
}

impl<E: Env> Crowd<E> {
    /// Share of the clients that leave early, as of now.
    fn impatience(&self) -> f64 {
        let unusual = *lock(&self.unusual);
        if self.env.now() < unusual.until {
            unusual.share
        } else {
            self.impatient
        }
    }
}

/// All clients of a site, and the front that they come through.
pub struct Clients<E: Env> {
    crowd: Arc<Crowd<E>>,
    open: Open,
    rude: Rude<E>,
}

impl<E: Env> Clients<E> {
    /// Starts to ask the gateways for a `PONG`, and from the start of the traffic for what it holds.
    pub fn start(env: E, config: ClientConfig) -> Clients<E> {
        let ClientConfig { site, traffic, draws, seed, start, length, recorder, .. } = config;
        let front = Front::new(
            env.clone(),
            &config.gateways,
            traffic.front_detection_delay,
            config.most_connections,
            recorder.clone(),
            seed,
        );
        let crowd = Arc::new(Crowd {
            env: env.clone(),
            front,
            caller: Caller::new(&site, draws),
            behaviour: ClientBehaviour::new(&site, &traffic, seed),
            deal: GatewaySelector::new(&site, &traffic, seed).with_biases(&config.leans),
            start,
            slack: site.rules.deadline_slack,
            impatient: traffic.early_disconnects,
            unusual: Mutex::new(Impatience { share: 0.0, until: 0 }),
            unreached: AtomicU64::new(0),
            recorder,
        });
        let open = Open::default();
        let arrivals =
            Arrivals::new(&site, &traffic, seed).with_biases(&config.leans).with_windows(&config.scales);
        env.spawn(drive(crowd.clone(), arrivals, length, open.hold()));
        Clients { rude: Rude::new(seed), crowd, open }
    }

    /// Waits until all that comes within the length has been asked for and has ended.
    pub async fn done(&self) {
        self.open.ended().await;
    }

    /// The same, for a task of its own.
    pub fn waiter(&self) -> impl Future<Output = ()> + Send + 'static {
        let open = self.open.clone();
        async move { open.ended().await }
    }

    /// From now on a gateway, counted from 0, is reached here.
    pub fn gateway_address(&self, gateway: u32, address: SocketAddr) {
        self.crowd.front.set_address(gateway, address);
    }

    /// A gateway, counted from 0, is asked to stop as planned. Soon no new connections come to it, the open
    /// ones are used as long as they last, and it is taken in again once it answers `PING`.
    pub fn planned_stop(&self, gateway: u32) {
        self.crowd.front.planned_stop(gateway);
    }

    /// This share of the clients leaves early, for so long.
    pub fn set_impatient(&self, share: f64, span: Span) {
        let until = self.crowd.env.now().saturating_add(span);
        *lock(&self.crowd.unusual) = Impatience { share, until };
    }

    /// Tries so far that came to no gateway and that therefore nobody has written down.
    pub fn unreached(&self) -> u64 {
        self.crowd.unreached.load(Ordering::Relaxed)
    }

    /// Opens connections to a gateway, counted from 0, that send so many calls each, one behind another, and
    /// never read. Their ids are from [`RUDE_THINGS`] on, and they are not written down.
    pub fn never_read(&self, gateway: u32, connections: u32, calls_each: u32) {
        self.rude.never_read(&self.crowd, gateway, connections, calls_each);
    }

    /// Opens connections to a gateway, counted from 0, that say nothing.
    pub fn idle(&self, gateway: u32, count: u32) {
        self.rude.idle(&self.crowd, gateway, count);
    }

    /// Closes all connections that never read or say nothing.
    pub fn rude_leave(&self) {
        self.rude.leave();
    }
}

/// Sends each thing on its way when its time comes.
async fn drive<E: Env>(crowd: Arc<Crowd<E>>, arrivals: Arrivals, length: Span, hold: Hold) {
    for arrival in arrivals.take_while(|arrival| arrival.at < length) {
        crowd.env.sleep_until(crowd.start.saturating_add(arrival.at)).await;
        crowd.env.spawn(thing::see_through(crowd.clone(), arrival, hold.clone()));
    }
}

/// What a lock holds is whole at every rest, so a panic elsewhere does not spoil it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
