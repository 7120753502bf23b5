//! The list of hosts: one watch on the discovery agent, resumed where it broke off.

mod documents;
pub(crate) mod endpoint_list;
mod versions;

use crate::crash_points::{self, CrashPoint};
use crate::discovery::endpoint_list::Membership;
use crate::messages::News;
use crate::telemetry::outage_log::Outage;
use anyhow::{bail, Context, Result};
use bytes::{Bytes, BytesMut};
use documents::{Documents, Part};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use runtime::{Env, Span, Time};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch::{self, error::RecvError};
use versions::Versions;

const MS: Span = 1_000_000;

/// An empty line comes every 2 s: a watch without one, or without an answer, for longer is dead. News counts as told
/// 6 s after it could be had, whether or not it came: two failures in a row and a third call have to fit into that.
const SILENCE: Span = 2_500 * MS;
/// A watch may keep up its empty lines and tell nothing. One that has told no list for so long is replaced once
/// another one has answered, which is asked for what has changed since and so costs the agent next to nothing.
const RENEWAL: Span = 2_500 * MS;
const CONNECT: Span = 1_000 * MS;
/// The first call at an address gets another one beside it if it has no answer by then: the list known before the
/// start may be too old to be used, and has to do after a second.
const HEDGE: Span = 300 * MS;
const BACKOFF: (Span, Span) = (20 * MS, 200 * MS);
/// What an agent had written when discovery moves away from it counts as told, also where it lies unread: its watch is
/// read for so much longer.
const LAST_WORDS: Span = 5 * MS;
/// Between calls for the whole list where that cannot be used.
const UNUSABLE: Span = 1_000 * MS;

/// Why a list is of no use. The last one stays, and the whole list is asked for next.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ListError {
    #[error("not a list of hosts")]
    NoDocument,
    #[error("too long a list of hosts")]
    TooLong,
    #[error("not a list of hosts: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("a whole list without hosts")]
    Empty,
}

/// Watches for as long as the gateway runs; the last list stays in force while discovery is away. At a new
/// address the whole list is asked for: its versions need not compare with those of the old one.
pub(crate) async fn watch<E: Env>(
    env: E,
    mut agents: watch::Receiver<SocketAddr>,
    mut known: Membership,
    gateway: UnboundedSender<News>,
) {
    let (mut after, mut pause, mut is_first) = (Some(known.generation), BACKOFF.0, true);
    let (mut outage, mut versions) = (Outage::default(), Versions::default());
    versions.sort_out(&mut known);
    loop {
        let (agent, before) = (*agents.borrow_and_update(), after);
        let turn = async {
            let (outage, versions) = (&mut outage, &mut versions);
            let calls = Calls { env: env.clone(), agent, is_first: std::mem::take(&mut is_first) };
            let mut turn = Turn { calls, gateway: &gateway, outage, versions };
            let Err(error) = turn.watch(&mut after).await;
            turn.failed(&error);
            let is_unusable = error.is::<ListError>();
            pause = match before {
                None if is_unusable => UNUSABLE,
                _ if after == before => (pause * 2).min(BACKOFF.1),
                _ => BACKOFF.0,
            };
            if is_unusable {
                after = None;
            }
            env.sleep(pause).await;
        };
        match until_moved(&env, &mut agents, turn).await {
            None => {}
            Some(Ok(())) => {
                (after, pause, is_first) = (None, BACKOFF.0, true);
                versions = Versions::default();
            }
            Some(Err(_)) => return,
        }
    }
}

/// Plays a turn to its end (`None`), or until discovery moves or nobody can move it any more.
async fn until_moved<E: Env>(
    env: &E,
    agents: &mut watch::Receiver<SocketAddr>,
    turn: impl Future<Output = ()> + Send,
) -> Option<Result<(), RecvError>> {
    let mut turn = pin!(turn);
    let moved = tokio::select! {
        biased;
        moved = agents.changed() => moved,
        () = turn.as_mut() => return None,
    };
    let _ = env.timeout(LAST_WORDS, turn).await;
    Some(moved)
}

/// Watches at one address, one after the other, up to the first failure.
struct Turn<'a, E> {
    calls: Calls<E>,
    gateway: &'a UnboundedSender<News>,
    outage: &'a mut Outage,
    versions: &'a mut Versions,
}

impl<E: Env> Turn<'_, E> {
    async fn watch(&mut self, after: &mut Option<u64>) -> Result<Infallible> {
        let mut from = match *after {
            Some(generation) => generation,
            None => self.whole_list().await?,
        };
        *after = Some(from);
        let calls = self.calls.clone();
        let mut open = calls.hedged(|| calls.watch(0, from)).await?;
        let mut renewal = pin!(calls.watch(RENEWAL, from));
        loop {
            tokio::select! {
                biased;
                part = open.next() => {
                    let part = part?;
                    self.heard();
                    if let Part::Document(list) = part {
                        from = self.tell(&list)?;
                        *after = Some(from);
                        renewal.set(calls.watch(RENEWAL, from));
                    }
                }
                next = &mut renewal => {
                    // Without a successor this one stays for as long as it is heard.
                    let pause = next.map_or(BACKOFF.1, |next| {
                        open = next;
                        RENEWAL
                    });
                    renewal.set(calls.watch(pause, from));
                }
            }
        }
    }

    /// The whole list, at an address whose versions are not known; gives its version.
    async fn whole_list(&mut self) -> Result<u64> {
        let calls = self.calls.clone();
        let list =
            calls.env.timeout(SILENCE, calls.hedged(|| calls.whole_list())).await.context("no list")??;
        self.calls.is_first = false;
        self.heard();
        self.tell(&list)
    }

    fn tell(&mut self, text: &[u8]) -> Result<u64> {
        let mut list: Membership = serde_json::from_slice(text).map_err(ListError::from)?;
        crash_points::here(CrashPoint::ListRead);
        let is_empty = |list: &Membership| list.reset && list.instances.is_empty();
        if !is_empty(&list) {
            self.versions.sort_out(&mut list);
        }
        // Whatever it means, no service ends by it.
        if is_empty(&list) {
            return Err(ListError::Empty.into());
        }
        let generation = list.generation;
        self.gateway.send(News::Hosts(list)).context("the gateway has stopped")?;
        Ok(generation)
    }

    fn heard(&mut self) {
        if self.outage.is_on() {
            // Who is told of it may have stopped.
            let _ = self.gateway.send(News::DiscoverySilent(false));
        }
        if let Some(away) = self.outage.back(self.calls.env.now()) {
            tracing::info!("discovery at {} is back after {:.1} s", self.calls.agent, away as f64 / 1e9);
        }
    }

    fn failed(&mut self, error: &anyhow::Error) {
        if !self.outage.is_on() {
            let _ = self.gateway.send(News::DiscoverySilent(true));
        }
        if let Some(away) = self.outage.failed(self.calls.env.now()) {
            let (agent, away) = (self.calls.agent, away as f64 / 1e9);
            tracing::warn!("discovery at {agent}: {error:#}; away for {away:.1} s, the last list stays");
        }
    }
}

/// How to call an agent.
#[derive(Clone)]
struct Calls<E> {
    env: E,
    agent: SocketAddr,
    /// It has not been called before.
    is_first: bool,
}

impl<E: Env> Calls<E> {
    /// Opens a watch after a while.
    async fn watch(&self, pause: Span, from: u64) -> Result<Answer<E>> {
        self.env.sleep(pause).await;
        self.open(&format!("/registry/instances?watch=1&after={from}")).await
    }

    /// Reads the first document of an answer: some have no length, and their connections may stay open.
    async fn whole_list(&self) -> Result<BytesMut> {
        let mut answer = self.open("/registry/instances").await?;
        loop {
            if let Part::Document(list) = answer.next().await? {
                return Ok(list);
            }
        }
    }

    /// The first call at an address; while it hangs, a second one.
    async fn hedged<T, F: Future<Output = Result<T>> + Send>(&self, call: impl Fn() -> F) -> Result<T> {
        let mut first = pin!(call());
        if !self.is_first {
            return first.await;
        }
        if let Ok(answer) = self.env.timeout(HEDGE, &mut first).await {
            return answer;
        }
        tokio::select! {
            answer = first => answer,
            answer = call() => answer,
        }
    }

    async fn open(&self, path: &str) -> Result<Answer<E>> {
        let heard = self.env.now();
        let body = self.env.timeout(SILENCE, self.ask(path)).await.context("no answer")??;
        Ok(Answer { env: self.env.clone(), body, documents: Documents::default(), heard })
    }

    async fn ask(&self, path: &str) -> Result<Incoming> {
        let stream = self.env.timeout(CONNECT, self.env.connect(self.agent)).await;
        let stream = stream.context("no connection")??;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        // Ends with the body, or with the sender where none comes.
        self.env.spawn(async { drop(connection.await) });
        let host = self.agent.to_string();
        let request = Request::get(path).header(header::HOST, host).body(Empty::<Bytes>::new())?;
        let answer = sender.send_request(request).await?;
        if answer.status() != StatusCode::OK {
            bail!("status {}", answer.status());
        }
        Ok(answer.into_body())
    }
}

/// An answer that has begun.
struct Answer<E> {
    env: E,
    body: Incoming,
    documents: Documents,
    /// When it last showed that it is alive, by a whole list or an empty line: half of a list may be all that comes.
    heard: Time,
}

impl<E: Env> Answer<E> {
    async fn next(&mut self) -> Result<Part> {
        loop {
            if let Some(part) = self.documents.next()? {
                self.heard = self.env.now();
                return Ok(part);
            }
            let frame =
                self.env.timeout_at(self.heard + SILENCE, self.body.frame()).await.context("silent")?;
            let Ok(data) = frame.context("the answer ended")??.into_data() else { continue };
            self.documents.push(&data);
        }
    }
}
