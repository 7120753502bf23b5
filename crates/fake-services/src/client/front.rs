//! The front: which gateways are in service, and the connections to them that lie idle.

use super::call;
use super::line::{self, Job};
use super::lock;
use crate::Recorder;
use bytes::BytesMut;
use cluster_model::rng::Rng;
use cluster_model::{MS, SECOND};
use resp::{Frame, RespError};
use runtime::{Env, Span, Time};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};

/// A gateway that is not in service is asked again this long after the last answer.
const ASK_AGAIN: Span = 100 * MS;
/// For so long the front waits for the answer.
const PONG_WAIT: Span = SECOND;
/// After the word that a gateway stops as planned, new connections go on coming to it for so long.
const STOP_NOTICE: (Span, Span) = (200 * MS, 400 * MS);

/// What the front knows of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing goes to it before it has answered `PING`.
    Out,
    /// It gets its share.
    In,
    /// The same; connections have failed to come up since then, and none has come up.
    Suspect(Time),
    /// It stops as planned: no new connections, and the open ones are used up.
    Leaving,
}

struct Door {
    address: SocketAddr,
    state: State,
    /// Connections that lie idle, the newest last.
    idle: Vec<oneshot::Sender<Job>>,
}

impl Door {
    /// Forgets connections that have ended.
    fn sweep(&mut self) {
        self.idle.retain(|line| !line.is_closed());
    }
}

/// A way to carry a request.
pub(super) enum Way<E: Env> {
    /// A connection that lies idle.
    Idle(oneshot::Sender<Job>),
    /// A new one.
    New(E::Stream),
}

/// Why there is no way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoWay {
    /// The gateway is no longer in service: another may be.
    Out,
    /// The connection was refused or did not come up in time.
    Unreached,
}

/// What deals out requests among the gateways.
pub(super) struct Front<E: Env> {
    pub env: E,
    pub recorder: Recorder,
    doors: Mutex<Vec<Door>>,
    /// Places for requests, by gateway.
    places: Vec<Arc<Semaphore>>,
    /// How long requests go on coming to a gateway that has died.
    notice: Span,
    rng: Mutex<Rng>,
}

impl<E: Env> Front<E> {
    /// Starts to ask all gateways for a `PONG`.
    pub(super) fn new(
        env: E,
        gateways: &[SocketAddr],
        notice: Span,
        most_connections: usize,
        recorder: Recorder,
        seed: u64,
    ) -> Arc<Front<E>> {
        let door = |address: &SocketAddr| Door { address: *address, state: State::Out, idle: Vec::new() };
        let places = most_connections.clamp(1, Semaphore::MAX_PERMITS);
        let front = Arc::new(Front {
            env,
            recorder,
            doors: Mutex::new(gateways.iter().map(door).collect()),
            places: gateways.iter().map(|_| Arc::new(Semaphore::new(places))).collect(),
            notice,
            rng: Mutex::new(Rng::stream(seed, "front", 0)),
        });
        for gateway in 0..gateways.len() as u32 {
            front.env.spawn(front.clone().take_in(gateway));
        }
        front
    }

    /// Does something with a gateway, if there is one of this number.
    fn with<T>(&self, gateway: u32, act: impl FnOnce(&mut Door) -> T) -> Option<T> {
        lock(&self.doors).get_mut(gateway as usize).map(act)
    }

    pub(super) fn set_address(&self, gateway: u32, address: SocketAddr) {
        self.with(gateway, |door| door.address = address);
    }

    pub(super) fn address(&self, gateway: u32) -> Option<SocketAddr> {
        self.with(gateway, |door| door.address)
    }

    /// Whether requests go to a gateway; `fresh`: on new connections.
    pub(super) fn is_usable(&self, gateway: u32, fresh: bool) -> bool {
        let usable = self.with(gateway, |door| match door.state {
            State::Out => false,
            State::In | State::Suspect(_) => true,
            State::Leaving => !fresh && door.idle.iter().any(|line| !line.is_closed()),
        });
        usable.unwrap_or(false)
    }

    /// A way to a gateway, once there is a place, and a permit to be kept for as long as the way is used.
    pub(super) async fn way(
        self: &Arc<Self>,
        gateway: u32,
        fresh: bool,
        until: Time,
    ) -> Result<(Way<E>, OwnedSemaphorePermit), NoWay> {
        let places = self.places.get(gateway as usize).ok_or(NoWay::Out)?.clone();
        let place = self.env.timeout_at(until, places.acquire_owned()).await;
        let Ok(Ok(place)) = place else { return Err(NoWay::Unreached) };
        if let Some(line) = self.take_idle(gateway, fresh) {
            return Ok((Way::Idle(line), place));
        }
        let address = self.address(gateway).filter(|_| self.is_usable(gateway, true)).ok_or(NoWay::Out)?;
        let began = self.env.now();
        match self.env.timeout_at(until, self.env.connect(address)).await {
            Ok(Ok(stream)) => {
                self.came_up(gateway);
                Ok((Way::New(stream), place))
            }
            Ok(Err(_)) | Err(_) => {
                self.clone().failed(gateway, began);
                Err(NoWay::Unreached)
            }
        }
    }

    /// The newest idle connection. If a new one is wanted, the oldest makes place for it.
    fn take_idle(&self, gateway: u32, fresh: bool) -> Option<oneshot::Sender<Job>> {
        let take = |door: &mut Door| {
            door.sweep();
            match fresh {
                true if door.idle.is_empty() => None,
                true => {
                    door.idle.remove(0);
                    None
                }
                false => door.idle.pop(),
            }
        };
        self.with(gateway, take).flatten()
    }

    /// A connection lies idle from now on, and gets its next request here. `None`: it is not wanted.
    pub(super) fn park(&self, gateway: u32) -> Option<oneshot::Receiver<Job>> {
        let park = |door: &mut Door| {
            let (line, next) = oneshot::channel();
            door.idle.push(line);
            next
        };
        self.with(gateway, |door| (door.state != State::Out).then(|| park(door))).flatten()
    }

    /// Forgets connections that have ended.
    pub(super) fn sweep(&self, gateway: u32) {
        self.with(gateway, Door::sweep);
    }

    fn came_up(&self, gateway: u32) {
        self.with(gateway, |door| {
            if matches!(door.state, State::Suspect(_)) {
                door.state = State::In;
            }
        });
    }

    /// A connection that was begun at `began` did not come up. If none does before the front notices, the
    /// gateway counts as dead.
    fn failed(self: Arc<Self>, gateway: u32, began: Time) {
        let suspect = State::Suspect(began);
        let is_first = self.with(gateway, |door| {
            let is_first = door.state == State::In;
            if is_first {
                door.state = suspect;
            }
            is_first
        });
        if is_first != Some(true) {
            return;
        }
        let env = self.env.clone();
        env.spawn(async move {
            self.env.sleep_until(began.saturating_add(self.notice)).await;
            if self.leave(gateway, suspect, State::Out) {
                self.take_in(gateway).await;
            }
        });
    }

    /// Goes over from one state to another, if this is still the state. Dead gateways lose their connections.
    fn leave(&self, gateway: u32, from: State, to: State) -> bool {
        let leave = |door: &mut Door| {
            let leaves = door.state == from;
            if leaves {
                door.state = to;
            }
            if leaves && to == State::Out {
                door.idle.clear();
            }
            leaves
        };
        self.with(gateway, leave).unwrap_or(false)
    }

    /// Stops sending new connections in a moment.
    pub(super) fn planned_stop(self: &Arc<Self>, gateway: u32) {
        let (from, to) = STOP_NOTICE;
        let notice = lock(&self.rng).between(from as f64, to as f64) as Span;
        let front = self.clone();
        self.env.spawn(async move {
            front.env.sleep(notice).await;
            let state = front.with(gateway, |door| door.state);
            let Some(state @ (State::In | State::Suspect(_))) = state else { return };
            if front.leave(gateway, state, State::Leaving) {
                front.clone().until_gone(gateway).await;
                front.take_in(gateway).await;
            }
        });
    }

    /// Asks a gateway until it no longer answers that it is ready: what it says until then is not of its next
    /// start.
    async fn until_gone(self: Arc<Self>, gateway: u32) {
        while let Some(address) = self.address(gateway) {
            if !matches!(self.env.timeout(PONG_WAIT, self.ping(address)).await, Ok(Ok(true))) {
                return;
            }
            self.env.sleep(ASK_AGAIN).await;
        }
    }

    /// Asks a gateway until it answers that it is ready, and takes it in.
    async fn take_in(self: Arc<Self>, gateway: u32) {
        while let Some(address) = self.address(gateway) {
            if let Ok(Ok(true)) = self.env.timeout(PONG_WAIT, self.ping(address)).await {
                self.with(gateway, |door| door.state = State::In);
                return;
            }
            self.env.sleep(ASK_AGAIN).await;
        }
    }

    async fn ping(&self, address: SocketAddr) -> Result<bool, RespError> {
        let mut stream = self.env.connect(address).await?;
        stream.write_all(&call::command(&["PING"])).await?;
        let answer = line::answer(&mut stream, &mut BytesMut::new()).await?;
        Ok(matches!(answer, Frame::Simple(word) if word == "PONG"))
    }
}
