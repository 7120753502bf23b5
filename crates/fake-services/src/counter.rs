//! The stand-in counter: RESP2 over any [`Env`], one listener for each gateway, so that it knows by whom it
//! is called. What it decides is in the model and in `desk`; here are the sockets.

mod command;
mod desk;
mod pipe;

use crate::Recorder;
use bytes::BytesMut;
use cluster_model::counter::Counter;
use cluster_model::scenario::{CounterFault, CounterSpec};
use cluster_model::MS;
use command::Command;
use desk::{Desk, PipeId, View, Way};
use pipe::Batch;
use runtime::{Env, Listener, Span, Stream, Task, Time, Writer};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

const BACKLOG: u32 = 128;
/// Between tries to listen or accept when the system does not let it.
const PAUSE: Span = 20 * MS;

/// What a stand-in counter is like.
#[derive(Clone, Debug)]
pub struct CounterConfig {
    /// The service.
    pub spec: CounterSpec,
    /// For its chances.
    pub seed: u64,
    /// Where it listens for each gateway; port 0 takes a free one.
    pub listen: Vec<SocketAddr>,
    /// Takes down each call.
    pub recorder: Recorder,
    /// Nanoseconds that everything is on its way in each direction beside what the network takes.
    pub lag: Span,
}

/// A running stand-in counter. It turns calls away until it is opened, and runs on when this is dropped.
#[derive(Debug)]
pub struct CounterStandIn<E: Env> {
    shared: Arc<Shared<E>>,
    addrs: Vec<SocketAddr>,
    tasks: Vec<E::Task>,
}

#[derive(Debug)]
struct Shared<E> {
    env: E,
    state: Mutex<State>,
    /// For the task that waits for what is due.
    driver: Notify,
    /// For the tasks that accept, by gateway.
    doors: Vec<Notify>,
}

#[derive(Debug)]
struct State {
    desk: Desk,
    /// For the tasks of connections.
    pipes: BTreeMap<PipeId, Arc<Notify>>,
    /// What the driver waits for.
    due: Option<Time>,
}

impl<E: Env> CounterStandIn<E> {
    /// Listens, and serves until it is stopped.
    pub fn start(env: E, config: CounterConfig) -> io::Result<CounterStandIn<E>> {
        let listening = config.listen.iter().map(|on| env.listen(*on, BACKLOG));
        let listeners = listening.collect::<io::Result<Vec<_>>>()?;
        let addrs = listeners.iter().map(Listener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let counter = Counter::new(&config.spec, config.seed);
        let desk = Desk::new(counter, config.seed, addrs.len(), config.lag, config.recorder);
        let shared = Arc::new(Shared {
            env,
            state: Mutex::new(State { desk, pipes: BTreeMap::new(), due: None }),
            driver: Notify::new(),
            doors: addrs.iter().map(|_| Notify::new()).collect(),
        });
        let mut tasks = vec![shared.env.spawn(drive(shared.clone()))];
        for ((gateway, listener), addr) in (0..).zip(listeners).zip(&addrs) {
            tasks.push(shared.env.spawn(door(shared.clone(), gateway, *addr, listener)));
        }
        Ok(CounterStandIn { shared, addrs, tasks })
    }

    /// Where it listens for each gateway.
    pub fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// The run begins: calls are taken from now on.
    pub fn open(&self) {
        self.shared.with(|desk, _| desk.open());
    }

    /// It fails for so many nanoseconds, beside what fails already.
    pub fn fail(&self, fault: CounterFault, span: Span) {
        self.shared.with(|desk, now| desk.fail(now, fault, span));
    }

    /// All faults are over.
    pub fn heal(&self) {
        self.shared.with(Desk::heal);
    }

    /// For so many nanoseconds this share of its answers comes spoilt: the amount was added, and the
    /// connection is of no further use.
    pub fn garble(&self, share: f64, span: Span) {
        self.shared.with(|desk, now| desk.garble(now, share, span));
    }

    /// Nothing passes to and from a gateway (numbered from 0), or it passes again. Connections stay open, and
    /// what is on its way is not lost.
    pub fn set_silent(&self, gateway: u32, silent: bool) {
        self.shared.with(|desk, _| desk.set_silent(gateway, silent));
    }

    /// Resets all connections of a gateway (numbered from 0).
    pub fn reset_gateway(&self, gateway: u32) {
        self.shared.with(|desk, _| desk.reset_gateway(gateway));
    }

    /// The total of a name, if it has one; in a split what it will be when that is over.
    pub fn total(&self, name: &[u8]) -> Option<f64> {
        self.shared.with(|desk, now| desk.total(now, name))
    }

    /// How many names there are.
    pub fn names(&self) -> usize {
        self.shared.with(|desk, now| desk.distinct(now))
    }

    /// Stops: connections are reset and new ones refused, for good.
    pub fn stop(&self) {
        self.tasks.iter().for_each(Task::abort);
        self.shared.with(|desk, _| desk.reset_all());
    }
}

impl<E: Env> Shared<E> {
    /// Does something at the desk, and lets everyone know whom it concerns.
    fn with<T>(&self, act: impl FnOnce(&mut Desk, Time) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.env.now();
        let result = act(&mut state.desk, now);
        state.desk.run(now);
        let stirred = state.desk.take_stirred();
        let pipes: Vec<_> = stirred.pipes.iter().filter_map(|id| state.pipes.get(id).cloned()).collect();
        let due = state.desk.next_due();
        let sooner = due.is_some_and(|due| state.due.is_none_or(|waits| due < waits));
        drop(state);
        pipes.iter().for_each(|pipe| pipe.notify_one());
        stirred.gateways.iter().for_each(|gateway| self.doors[*gateway as usize].notify_one());
        if sooner {
            self.driver.notify_one();
        }
        result
    }

    /// What the driver is to wait for.
    fn due(&self) -> Option<Time> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.due = state.desk.next_due();
        state.due
    }

    fn add_pipe(&self, id: PipeId) -> Arc<Notify> {
        let notify = Arc::new(Notify::new());
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.pipes.insert(id, notify.clone());
        notify
    }

    fn close(&self, id: PipeId, batch: Batch) {
        self.with(|desk, now| desk.close(now, id, batch));
        self.state.lock().unwrap_or_else(PoisonError::into_inner).pipes.remove(&id);
    }
}

/// Does what is due when it is due.
async fn drive<E: Env>(shared: Arc<Shared<E>>) {
    loop {
        match shared.due() {
            None => shared.driver.notified().await,
            Some(due) => tokio::select! {
                biased;
                () = shared.driver.notified() => {}
                () = shared.env.sleep_until(due) => shared.with(|_, _| ()),
            },
        }
    }
}

/// Takes in the connections of one gateway, and listens only while the counter can be reached.
async fn door<E: Env>(shared: Arc<Shared<E>>, gateway: u32, addr: SocketAddr, listener: E::Listener) {
    let mut listener = Some(listener);
    let changed = &shared.doors[gateway as usize];
    loop {
        match shared.with(|desk, _| desk.way(gateway)) {
            Way::Open => {}
            Way::Silent => {
                changed.notified().await;
                continue;
            }
            Way::Shut => {
                listener = None;
                changed.notified().await;
                continue;
            }
        }
        let Some(open) = &mut listener else {
            listener = shared.env.listen(addr, BACKLOG).ok();
            if listener.is_none() {
                shared.env.sleep(PAUSE).await;
            }
            continue;
        };
        tokio::select! {
            biased;
            () = changed.notified() => {}
            accepted = open.accept() => match accepted {
                Ok((stream, _)) => welcome(&shared, gateway, stream),
                Err(_) => shared.env.sleep(PAUSE).await,
            },
        }
    }
}

fn welcome<E: Env>(shared: &Arc<Shared<E>>, gateway: u32, stream: E::Stream) {
    match shared.with(|desk, now| desk.connect(now, gateway)) {
        Some(id) => {
            let stirred = shared.add_pipe(id);
            shared.env.spawn(serve(shared.clone(), id, stirred, stream));
        }
        None => {
            let (_reader, writer) = stream.into_split();
            writer.reset();
        }
    }
}

/// Serves a connection until it ends.
async fn serve<E: Env>(shared: Arc<Shared<E>>, id: PipeId, stirred: Arc<Notify>, stream: E::Stream) {
    let (mut reader, mut writer) = stream.into_split();
    let (mut input, mut batch) = (BytesMut::new(), Batch::default());
    // No more is read: the rest cannot be understood.
    let mut deaf = false;
    let doomed = loop {
        let view = shared.with(|desk, _| desk.look(id, &mut batch));
        let View { doomed, silent, full, settled, idle_at } = view;
        let said = batch.bytes.is_empty();
        if doomed || (deaf && settled && said) {
            break doomed;
        }
        tokio::select! {
            biased;
            () = stirred.notified() => {}
            wrote = writer.write_buf(&mut batch.bytes), if !silent && !said => match wrote {
                Ok(count) if count > 0 => if batch.bytes.is_empty() {
                    let batch = std::mem::take(&mut batch);
                    shared.with(|desk, now| desk.wrote(now, id, batch));
                },
                _ => break false,
            },
            read = resp::fill(&mut reader, &mut input), if !silent && !full && !deaf => match read {
                Ok(()) => deaf = !hear(&shared, id, &mut input),
                Err(_) => break false,
            },
            () = shared.env.sleep_until(idle_at.unwrap_or(Time::MAX)), if idle_at.is_some() => break false,
        }
    };
    shared.close(id, batch);
    if doomed {
        writer.reset();
    }
}

/// Hands over the commands that have come whole; false: what follows cannot be understood.
fn hear<E: Env>(shared: &Shared<E>, id: PipeId, input: &mut BytesMut) -> bool {
    loop {
        let (command, understood) = match resp::decode(input) {
            Ok(Some(frame)) => (command::read(frame), true),
            Ok(None) => return true,
            Err(_) => (Command::Say("-ERR cannot be read\r\n"), false),
        };
        shared.with(|desk, now| desk.hear(now, id, command));
        if !understood {
            return false;
        }
    }
}
