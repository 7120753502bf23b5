//! The list of hosts: one watch on the discovery agent, resumed where it broke off.

use crate::crash::{self, CrashPoint};
use crate::membership::{Lifecycle, Membership};
use crate::messages::News;
use crate::outage::Outage;
use anyhow::{anyhow, bail, Context, Result};
use bytes::{Buf, Bytes, BytesMut};
use fennelbeam_env::{Env, Span};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

const MS: Span = 1_000_000;

/// An empty line comes every 2 s: silence for longer means that the connection is dead. News counts as told
/// some seconds after it was due, whether or not it came, so a dead watch is to be replaced well before.
const SILENCE: Span = 2_500 * MS;
const CONNECT: Span = 1_000 * MS;
const BACKOFF: (Span, Span) = (20 * MS, 200 * MS);
const MAX_LINE: usize = 1 << 20;

/// Watches for as long as the gateway runs; the last list stays in force while discovery is away. At a new
/// address the whole list is asked for: its versions need not compare with those of the old one.
pub(crate) async fn watch<E: Env>(
    env: E,
    mut agents: watch::Receiver<SocketAddr>,
    known: u64,
    gateway: UnboundedSender<News>,
) {
    let (mut after, mut pause) = (Some(known), BACKOFF.0);
    let (mut outage, mut versions) = (Outage::default(), Versions::default());
    loop {
        let (agent, before) = (*agents.borrow_and_update(), after);
        let turn = async {
            let (outage, versions) = (&mut outage, &mut versions);
            let mut turn = Turn { env: &env, agent, gateway: &gateway, outage, versions };
            if let Err(error) = turn.watch(&mut after).await {
                turn.failed(&error);
            }
            pause = if after == before { (pause * 2).min(BACKOFF.1) } else { BACKOFF.0 };
            env.sleep(pause).await;
        };
        tokio::select! {
            biased;
            moved = agents.changed() => match moved {
                Ok(()) => (after, pause) = (None, BACKOFF.0),
                Err(_) => return,
            },
            () = turn => {}
        }
    }
}

/// One watch at one address, for as long as it lasts.
struct Turn<'a, E> {
    env: &'a E,
    agent: SocketAddr,
    gateway: &'a UnboundedSender<News>,
    outage: &'a mut Outage,
    versions: &'a mut Versions,
}

/// Hosts that have left are remembered up to this many; beyond it, only those of the latest so many versions.
const REMEMBERED: usize = 1024;

/// The versions at which hosts were told to drain or to be gone.
#[derive(Default)]
struct Versions(BTreeMap<String, u64>);

impl Versions {
    /// Leaves out what is older than the news that a host wants nothing new: changes may come out of order, and
    /// nobody would say it again.
    fn sort_out(&mut self, list: &mut Membership) {
        if list.reset {
            self.0.clear();
        }
        let (version, left) = (list.generation, &mut self.0);
        list.instances.retain(|host| {
            let known = left.get(&host.instance_id).copied();
            let serves = host.lifecycle == Lifecycle::InService;
            let outdated = serves && known.is_some_and(|known| known > version);
            match known {
                Some(_) if serves && !outdated => drop(left.remove(&host.instance_id)),
                _ if !serves => drop(left.insert(host.instance_id.clone(), known.unwrap_or(0).max(version))),
                _ => {}
            }
            !outdated
        });
        if left.len() > REMEMBERED {
            left.retain(|_, known| version.saturating_sub(*known) < REMEMBERED as u64);
        }
    }
}

impl<E: Env> Turn<'_, E> {
    async fn watch(&mut self, after: &mut Option<u64>) -> Result<()> {
        let from = match *after {
            Some(generation) => generation,
            None => self.whole_list().await?,
        };
        *after = Some(from);
        let path = format!("/registry/instances?watch=1&after={from}");
        let mut body = self.open(&path).await?;
        let mut buf = BytesMut::new();
        loop {
            let frame = self.env.timeout(SILENCE, body.frame()).await.context("silent")?;
            let Ok(data) = frame.context("watch ended")??.into_data() else { continue };
            self.heard();
            buf.extend_from_slice(&data);
            while let Some(end) = buf.iter().position(|b| *b == b'\n') {
                let line = buf.split_to(end);
                buf.advance(1);
                if !line.trim_ascii().is_empty() {
                    *after = Some(self.tell(&line)?);
                }
            }
            if buf.len() > MAX_LINE {
                bail!("too long a line");
            }
        }
    }

    /// The whole list, at an address whose versions are not known; gives its version.
    async fn whole_list(&mut self) -> Result<u64> {
        let body = self.open("/registry/instances").await?;
        let list =
            self.env.timeout(SILENCE, Limited::new(body, MAX_LINE).collect()).await.context("silent")?;
        self.tell(&list.map_err(|error| anyhow!("not a list of hosts: {error}"))?.to_bytes())
    }

    fn tell(&mut self, line: &[u8]) -> Result<u64> {
        let mut list: Membership = serde_json::from_slice(line).context("not a list of hosts")?;
        crash::here(CrashPoint::ListRead);
        self.versions.sort_out(&mut list);
        let generation = list.generation;
        self.gateway.send(News::Hosts(list)).context("the gateway has stopped")?;
        Ok(generation)
    }

    async fn open(&self, path: &str) -> Result<Incoming> {
        self.env.timeout(SILENCE, self.ask(path)).await.context("no answer")?
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

    fn heard(&mut self) {
        if self.outage.is_on() {
            // Who is told of it may have stopped.
            let _ = self.gateway.send(News::DiscoverySilent(false));
        }
        if let Some(away) = self.outage.back(self.env.now()) {
            tracing::info!("discovery at {} is back after {:.1} s", self.agent, away as f64 / 1e9);
        }
    }

    fn failed(&mut self, error: &anyhow::Error) {
        if !self.outage.is_on() {
            let _ = self.gateway.send(News::DiscoverySilent(true));
        }
        if let Some(away) = self.outage.failed(self.env.now()) {
            let (agent, away) = (self.agent, away as f64 / 1e9);
            tracing::warn!("discovery at {agent}: {error:#}; away for {away:.1} s, the last list stays");
        }
    }
}

#[cfg(test)]
mod tests;
