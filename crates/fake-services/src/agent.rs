//! The stand-in for discovery: an agent for each gateway that speaks HTTP/1.1 over any [`Env`]. What it tells
//! when is in the model; here are the sockets.

mod http;

use crate::Recorder;
use bytes::BytesMut;
use cluster_model::agent::{Detection, DiscoveryMessage, Endpoint, EndpointStatus, Registry, Watch};
use cluster_model::observation::ObservationKind;
use cluster_model::scenario::DiscoveryFault;
use cluster_model::MS;
use http::Request;
use runtime::{Env, Listener, Span, Stream, Task, Time, Writer};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;

const BACKLOG: u32 = 64;
/// Between tries to accept when the system does not let it.
const PAUSE: Span = 20 * MS;
/// A retired agent closes what is still open after this.
const RETIRED: Span = 1500 * MS;

/// A registry that agents share with whoever changes it.
#[derive(Clone, Debug)]
pub struct SharedRegistry(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    registry: Mutex<Registry>,
    /// Takes down what is heard and what is told.
    recorder: Recorder,
    /// For all who wait for something to tell.
    stirred: Notify,
}

impl SharedRegistry {
    /// Shares a registry. What agents hear and tell is taken down.
    pub fn new(registry: Registry, recorder: Recorder) -> SharedRegistry {
        let registry = Mutex::new(registry);
        SharedRegistry(Arc::new(Inner { registry, recorder, stirred: Notify::new() }))
    }

    /// See [`Registry::update`].
    pub fn change(&self, now: Time, member: Endpoint, notice: Detection) -> u64 {
        let generation = self.lock().update(now, member, notice);
        self.0.stirred.notify_waiters();
        generation
    }

    /// It fails for so many nanoseconds, see [`Registry::inject_fault`].
    pub fn fail(&self, now: Time, fault: DiscoveryFault, span: Span) {
        self.lock().inject_fault(now, fault, now.saturating_add(span));
        self.0.stirred.notify_waiters();
    }

    /// All faults are over.
    pub fn heal(&self) {
        self.lock().clear_faults();
        self.0.stirred.notify_waiters();
    }

    /// All hosts as they are, by number.
    pub fn members(&self) -> Vec<Endpoint> {
        self.lock().endpoints().into_iter().cloned().collect()
    }

    /// The list that a gateway's agent has at this time, if it is not silent.
    pub fn list(&self, now: Time, gateway: u32) -> Option<DiscoveryMessage> {
        self.hear(now, gateway).endpoint_list(now, gateway)
    }

    /// This has been written to a gateway, or into its configuration.
    pub fn told(&self, now: Time, gateway: u32, line: &DiscoveryMessage) {
        for EndpointStatus { host, state, started } in line.endpoints.iter().copied() {
            self.0.recorder.see(now, ObservationKind::GatewayNotified { gateway, host, state, started });
        }
    }

    /// A gateway asked for the list, or opened a watch.
    fn asked(&self, now: Time, gateway: u32, watch: bool) {
        self.0.recorder.see(now, ObservationKind::DiscoveryRequest { gateway, watch });
    }

    /// This was written to a gateway that had asked.
    fn wrote(&self, now: Time, gateway: u32, line: &DiscoveryMessage) {
        self.0.recorder.see(now, ObservationKind::DiscoveryMessage { gateway });
        self.told(now, gateway, line);
    }

    /// The registry, once a gateway's agent has heard of what is due. That it has is taken down before anyone
    /// can be told of it.
    fn hear(&self, now: Time, gateway: u32) -> MutexGuard<'_, Registry> {
        let mut registry = self.lock();
        for EndpointStatus { host, state, started } in registry.take_updates(now, gateway) {
            self.0.recorder.see(now, ObservationKind::AgentNotified { gateway, host, state, started });
        }
        registry
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.0.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What an agent is like.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// What it tells of.
    pub registry: SharedRegistry,
    /// Number of its gateway, from 0.
    pub gateway: u32,
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
}

/// A running agent. It runs on when this is dropped.
#[derive(Debug)]
pub struct AgentStandIn<E: Env> {
    shared: Arc<Shared<E>>,
    addr: SocketAddr,
    tasks: [E::Task; 2],
}

#[derive(Debug)]
struct Shared<E> {
    env: E,
    registry: SharedRegistry,
    gateway: u32,
    /// When open connections are closed.
    closing: Mutex<Option<Time>>,
    retired: Notify,
}

impl<E: Env> AgentStandIn<E> {
    /// Listens, and serves until it is stopped.
    pub fn start(env: E, config: AgentConfig) -> io::Result<AgentStandIn<E>> {
        let AgentConfig { registry, gateway, listen } = config;
        if gateway >= registry.lock().agent_count() {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "the registry has no such gateway"));
        }
        let listener = env.listen(listen, BACKLOG)?;
        let addr = listener.local_addr()?;
        let (closing, retired) = (Mutex::new(None), Notify::new());
        let shared = Arc::new(Shared { env, registry, gateway, closing, retired });
        let accepts = shared.env.spawn(accept(shared.clone(), listener));
        let hears = shared.env.spawn(hear(shared.clone()));
        Ok(AgentStandIn { shared, addr, tasks: [accepts, hears] })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Takes no new connections, and closes the open ones 1.5 s later: another agent takes its place.
    pub fn retire(&self) {
        self.end(RETIRED);
    }

    /// Takes no new connections, and closes the open ones at once.
    pub fn stop(&self) {
        self.end(0);
    }

    fn end(&self, after: Span) {
        self.tasks.iter().for_each(Task::abort);
        let at = self.shared.env.now().saturating_add(after);
        *self.shared.closing.lock().unwrap_or_else(PoisonError::into_inner) = Some(at);
        self.shared.retired.notify_waiters();
    }
}

async fn accept<E: Env>(shared: Arc<Shared<E>>, mut listener: E::Listener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                shared.env.spawn(connection(shared.clone(), stream));
            }
            Err(_) => shared.env.sleep(PAUSE).await,
        }
    }
}

/// Hears of changes when they are due, also while nobody asks.
async fn hear<E: Env>(shared: Arc<Shared<E>>) {
    let registry = &shared.registry;
    loop {
        let stirred = registry.0.stirred.notified();
        let now = shared.env.now();
        let due = registry.hear(now, shared.gateway).next_update(now, shared.gateway);
        tokio::select! {
            biased;
            () = stirred => {}
            () = shared.env.sleep_until(due.unwrap_or(Time::MAX)), if due.is_some() => {}
        }
    }
}

/// Serves a connection until it ends, or the agent closes it.
async fn connection<E: Env>(shared: Arc<Shared<E>>, stream: E::Stream) {
    let (mut reader, mut writer) = stream.into_split();
    let opened = shared.env.now();
    let reset = tokio::select! {
        biased;
        () = shared.closed() => false,
        () = shared.cut(opened) => true,
        // However it ends, there is nobody to tell.
        _ = shared.serve(&mut reader, &mut writer) => false,
    };
    if reset {
        writer.reset();
    }
}

impl<E: Env> Shared<E> {
    /// Comes when open connections are to be closed.
    async fn closed(&self) {
        loop {
            let retired = self.retired.notified();
            let closing = *self.closing.lock().unwrap_or_else(PoisonError::into_inner);
            match closing {
                // It may yet be brought forward.
                Some(at) => tokio::select! {
                    biased;
                    () = self.env.sleep_until(at) => return,
                    () = retired => {}
                },
                None => retired.await,
            }
        }
    }

    /// Comes when a connection that was opened then is to be reset.
    async fn cut(&self, opened: Time) {
        loop {
            let stirred = self.registry.0.stirred.notified();
            let now = self.env.now();
            let at = self.registry.lock().watch_reset_at(now, opened);
            if at.is_some_and(|at| at <= now) {
                return;
            }
            tokio::select! {
                biased;
                () = stirred => {}
                () = self.env.sleep_until(at.unwrap_or(Time::MAX)), if at.is_some() => {}
            }
        }
    }

    /// Answers requests until one is a watch, which lasts as long as the connection.
    async fn serve<R, W>(&self, reader: &mut R, writer: &mut W) -> Result<(), resp::RespError>
    where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        let mut input = BytesMut::new();
        loop {
            let request = loop {
                match http::take(&mut input) {
                    Some(request) => break request,
                    None => resp::fill(reader, &mut input).await?,
                }
            };
            match request {
                Request::List => {
                    self.registry.asked(self.env.now(), self.gateway, false);
                    let list =
                        self.when_it_speaks(|registry, now| registry.endpoint_list(now, self.gateway)).await;
                    writer.write_all(&http::whole(&list.text)).await?;
                    self.registry.wrote(self.env.now(), self.gateway, &list);
                }
                Request::Watch(after) => return self.watch(reader, writer, &mut input, after).await,
                Request::Unknown => writer.write_all(http::NOT_FOUND).await?,
                Request::Bad => {
                    writer.write_all(http::BAD_REQUEST).await?;
                    writer.shutdown().await?;
                    return Ok(());
                }
            }
        }
    }

    /// An agent that is silent answers once it no longer is.
    async fn when_it_speaks<T>(&self, mut ask: impl FnMut(&mut Registry, Time) -> Option<T>) -> T {
        loop {
            let stirred = self.registry.0.stirred.notified();
            let (answer, silent) = {
                let now = self.env.now();
                let mut registry = self.registry.hear(now, self.gateway);
                (ask(&mut registry, now), registry.silent_until(now))
            };
            if let Some(answer) = answer {
                return answer;
            }
            tokio::select! {
                biased;
                () = stirred => {}
                () = self.env.sleep_until(silent.unwrap_or_default()) => {}
            }
        }
    }

    async fn watch<R, W>(
        &self,
        reader: &mut R,
        writer: &mut W,
        input: &mut BytesMut,
        after: Option<u64>,
    ) -> Result<(), resp::RespError>
    where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        self.registry.asked(self.env.now(), self.gateway, true);
        let open = |registry: &mut Registry, now| Watch::open(registry, now, self.gateway, after);
        let (mut watch, first) = self.when_it_speaks(open).await;
        writer.write_all(http::CHUNKED).await?;
        self.tell(writer, &first).await?;
        loop {
            let stirred = self.registry.0.stirred.notified();
            let (lines, due) = {
                let now = self.env.now();
                let mut registry = self.registry.hear(now, self.gateway);
                (watch.take_messages(&mut registry, now), watch.next_message_at(&registry, now))
            };
            for line in &lines {
                self.tell(writer, line).await?;
            }
            if !lines.is_empty() {
                continue;
            }
            tokio::select! {
                biased;
                () = stirred => {}
                () = self.env.sleep_until(due) => {}
                // What still comes is no request any more; its end is the end.
                read = resp::fill(reader, input) => {
                    read?;
                    input.clear();
                }
            }
        }
    }

    async fn tell<W: AsyncWrite + Unpin>(&self, writer: &mut W, line: &DiscoveryMessage) -> io::Result<()> {
        writer.write_all(&http::chunk(&line.text)).await?;
        self.registry.wrote(self.env.now(), self.gateway, line);
        Ok(())
    }
}
