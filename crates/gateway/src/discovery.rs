//! The list of hosts: one watch on the discovery agent, resumed where it broke off.

use crate::membership::Membership;
use crate::messages::Input;
use crate::outage::Outage;
use anyhow::{anyhow, bail, Context, Result};
use bytes::{Buf, Bytes, BytesMut};
use fennelbeam_env::{Env, Span};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
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
    gateway: UnboundedSender<Input>,
) {
    let (mut after, mut pause) = (Some(known), BACKOFF.0);
    let mut outage = Outage::default();
    loop {
        let (agent, before) = (*agents.borrow_and_update(), after);
        let turn = async {
            let mut turn = Turn { env: &env, agent, gateway: &gateway, outage: &mut outage };
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
    gateway: &'a UnboundedSender<Input>,
    outage: &'a mut Outage,
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
    async fn whole_list(&self) -> Result<u64> {
        let body = self.open("/registry/instances").await?;
        let list =
            self.env.timeout(SILENCE, Limited::new(body, MAX_LINE).collect()).await.context("silent")?;
        self.tell(&list.map_err(|error| anyhow!("not a list of hosts: {error}"))?.to_bytes())
    }

    fn tell(&self, line: &[u8]) -> Result<u64> {
        let list: Membership = serde_json::from_slice(line).context("not a list of hosts")?;
        let generation = list.generation;
        self.gateway.send(Input::Hosts(list)).context("the gateway has stopped")?;
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
        if let Some(away) = self.outage.back(self.env.now()) {
            tracing::info!("discovery at {} is back after {:.1} s", self.agent, away as f64 / 1e9);
        }
    }

    fn failed(&mut self, error: &anyhow::Error) {
        if let Some(away) = self.outage.failed(self.env.now()) {
            let (agent, away) = (self.agent, away as f64 / 1e9);
            tracing::warn!("discovery at {agent}: {error:#}; away for {away:.1} s, the last list stays");
        }
    }
}
