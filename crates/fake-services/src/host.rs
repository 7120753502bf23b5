//! A stand-in host: the host's side of the protocol, with the model deciding what runs, waits, falls and ends.
//!
//! Each gateway has a listener of its own, which tells the host who speaks. One task drives the model; one
//! for each listener takes connections in; one for each connection reads commands and writes answers. What
//! they share lies under a lock that is held for one step at a time and never across a rest.

mod answer;
mod command;
mod connection;
mod settled;
mod state;

pub use settled::Settled;

use crate::Recorder;
use cluster_model::requests::RequestSampler;
use cluster_model::scenario::{ClassSpec, HostSpec, RequestFault, RulesSpec};
use cluster_model::MS;
use connection::Connection;
use runtime::{Env, Listener, Sleep, Span, Stream, Task, Time, Writer};
use state::State;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

const BACKLOG: u32 = 1024;
/// Pause after a connection could not be taken in, as when descriptors run out.
const ACCEPT_AGAIN: Span = 10 * MS;

/// What makes a stand-in host.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Number of the host, in the order of their coming, from 0.
    pub number: u32,
    /// What it is like.
    pub spec: HostSpec,
    /// What pushes it over while it is cold.
    pub rules: RulesSpec,
    /// Classes of requests.
    pub classes: Vec<ClassSpec>,
    /// What requests are like.
    pub draws: RequestSampler,
    /// Seed of the site.
    pub seed: u64,
    /// It has just started; else it has run for long.
    pub cold: bool,
    /// Where to listen, by gateway; port 0 takes a free one.
    pub listen: Vec<SocketAddr>,
    /// Where to write down what passes.
    pub recorder: Recorder,
    /// Extra time that commands and answers take one way, in nanoseconds; 0 where the network itself takes it.
    pub lag: Span,
    /// Requests whose units have been told, by any host of the site.
    pub settled: Settled,
}

/// A handle of a running stand-in host. The host runs until it falls or [`HostStandIn::stop`].
pub struct HostStandIn<E: Env>(Arc<Shared<E>>);

impl<E: Env> Clone for HostStandIn<E> {
    fn clone(&self) -> Self {
        HostStandIn(self.0.clone())
    }
}

struct Shared<E: Env> {
    env: E,
    lag: Span,
    addrs: Arc<[SocketAddr]>,
    state: Mutex<State>,
    /// The driver has to look anew.
    changed: Notify,
    /// A gateway may be heard again.
    heard: Notify,
    acceptors: Mutex<Vec<E::Task>>,
}

impl<E: Env> HostStandIn<E> {
    /// Starts a host. Fails where it cannot listen.
    pub fn start(env: E, config: HostConfig) -> io::Result<HostStandIn<E>> {
        let listen = |on: &SocketAddr| env.listen(*on, BACKLOG);
        let listeners = config.listen.iter().map(listen).collect::<io::Result<Vec<_>>>()?;
        let addrs = listeners.iter().map(Listener::local_addr).collect::<io::Result<Arc<[_]>>>()?;
        let state = State::new(&config, env.now());
        let shared = Arc::new(Shared {
            env: env.clone(),
            lag: config.lag,
            addrs,
            state: Mutex::new(state),
            changed: Notify::new(),
            heard: Notify::new(),
            acceptors: Mutex::default(),
        });
        env.spawn(shared.clone().drive());
        let accept = |(gateway, listener)| env.spawn(shared.clone().accept(gateway, listener));
        // Under the lock, so that a host that falls at once finds them all.
        shared.acceptors().extend((0..).zip(listeners).map(accept));
        Ok(HostStandIn(shared))
    }

    /// Where it listens, by gateway.
    pub fn addrs(&self) -> Arc<[SocketAddr]> {
        self.0.addrs.clone()
    }

    /// Works so many times slower from now on; 1: as usual.
    pub fn slow(&self, times: f64) {
        self.0.act(|state, now| state.slow(now, times));
    }

    /// Does nothing until then; connections stay open and silent.
    pub fn pause(&self, until: Time) {
        self.0.act(|state, now| state.pause(now, until));
    }

    /// Takes nothing new from now on, and finishes what it has.
    pub fn drain(&self) {
        self.0.act(|state, now| state.model.drain(now));
    }

    /// Ends it: connections are reset and new ones refused.
    pub fn stop(&self) {
        self.0.act(|state, now| state.stop(now));
        self.0.changed.notify_one();
    }

    /// Until then this share of its good answers comes spoilt.
    pub fn garble(&self, share: f64, until: Time) {
        self.0.act(|state, _| state.garble(share, until));
    }

    /// Until then this share of the requests of a class, named by its position, costs so many times the usual
    /// work.
    pub fn heavy(&self, class: usize, share: f64, times: f64, until: Time) {
        self.0.act(|state, _| state.heavy(class, share, times, until));
    }

    /// Until then this happens to a share of the requests.
    pub fn mishaps(&self, mishap: RequestFault, share: f64, until: Time) {
        self.0.act(|state, _| state.mishaps(mishap, share, until));
    }

    /// Until then connections that have stood idle for longer are dead, without a word.
    pub fn stale(&self, after: Span, until: Time) {
        self.0.act(|state, _| state.stale(after, until));
    }

    /// While it is silent to a gateway, nothing that the gateway sends comes, and nothing leaves for it. What
    /// was on its way comes after that. (The system still completes connections that it opens.)
    pub fn set_silent(&self, gateway: u32, silent: bool) {
        self.0.act(|state, _| {
            if let Some(entry) = state.silent.get_mut(gateway as usize) {
                *entry = silent;
            }
        });
        self.0.heard.notify_waiters();
    }

    /// Resets all connections of a gateway.
    pub fn reset_gateway(&self, gateway: u32) {
        self.0.act(|state, now| state.reset_gateway(now, gateway));
    }

    /// It was pushed over while it was cold, and stays down.
    pub fn fallen(&self) -> bool {
        self.0.lock().model.crashed_by_overload()
    }

    /// Requests in work and waiting.
    pub fn held(&self) -> usize {
        self.0.lock().model.request_count()
    }

    /// Commands so far in a form that no client sends, and connections ended by bytes that cannot be read.
    pub fn malformed(&self) -> u64 {
        self.0.lock().malformed()
    }

    /// Writes down its load since this was last asked.
    pub fn sample(&self) {
        self.0.act(|state, now| state.sample(now));
    }
}

impl<E: Env> Shared<E> {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn acceptors(&self) -> MutexGuard<'_, Vec<E::Task>> {
        self.acceptors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One step: what has ended by now comes before it, and whoever has to act on it is woken after it.
    fn act<T>(&self, step: impl FnOnce(&mut State, Time) -> T) -> T {
        let mut state = self.lock();
        let now = self.env.now();
        state.collect(now);
        let result = step(&mut state, now);
        state.collect(now);
        let (sooner, down) = (state.due() < state.armed, state.is_down());
        drop(state);
        if sooner {
            self.changed.notify_one();
        }
        if down {
            self.acceptors().drain(..).for_each(|task| task.abort());
        }
        result
    }

    /// Comes back to the model whenever something ends in it.
    async fn drive(self: Arc<Self>) {
        let mut sleep = pin!(self.env.sleep_until(self.env.now()));
        loop {
            let due = self.act(|state, _| {
                state.armed = state.due();
                (!state.is_down()).then_some(state.armed)
            });
            let Some(due) = due else { return };
            if due < Time::MAX {
                sleep.as_mut().reset(due);
            }
            tokio::select! {
                biased;
                () = self.changed.notified() => {}
                () = sleep.as_mut(), if due < Time::MAX => {}
            }
        }
    }

    async fn accept(self: Arc<Self>, gateway: u32, mut listener: E::Listener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.until_heard(gateway).await;
                    self.clone().open(gateway, stream);
                }
                Err(_) => self.env.sleep(ACCEPT_AGAIN).await,
            }
        }
    }

    fn open(self: Arc<Self>, gateway: u32, stream: E::Stream) {
        match self.act(|state, now| state.open(now, gateway)) {
            Some((id, signals)) => {
                let connection = Connection { shared: self.clone(), id, gateway, signals };
                self.env.spawn(connection.run(stream));
            }
            None => stream.into_split().1.reset(),
        }
    }

    /// Rests while nothing passes between the host and a gateway.
    async fn until_heard(&self, gateway: u32) {
        loop {
            let heard = self.heard.notified();
            if !self.lock().silent.get(gateway as usize).is_some_and(|silent| *silent) {
                return;
            }
            heard.await;
        }
    }

    /// Rests while the host is paused, or nothing passes between it and a gateway.
    async fn until_may_send(&self, gateway: u32) {
        loop {
            self.until_heard(gateway).await;
            let until = self.lock().paused_until;
            if until <= self.env.now() {
                return;
            }
            self.env.sleep_until(until).await;
        }
    }
}
