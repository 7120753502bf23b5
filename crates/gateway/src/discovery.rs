//! The list of hosts: one watch on the discovery agent, resumed where it broke off.

use crate::clock::Clock;
use crate::gateway::Input;
use crate::outage::Outage;
use anyhow::{anyhow, bail, Context, Result};
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::timeout;

/// An empty line comes every 2 s: silence for longer means that the connection is dead. News counts as told
/// some seconds after it was due, whether or not it came, so a dead watch is to be replaced well before.
const SILENCE: Duration = Duration::from_millis(2500);
const CONNECT: Duration = Duration::from_secs(1);
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(200));
const MAX_LINE: usize = 1 << 20;

/// A list of hosts, or the entries that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Membership {
    #[serde(default)]
    pub generation: u64,
    #[serde(default)]
    pub reset: bool,
    #[serde(default, deserialize_with = "readable")]
    pub instances: Vec<Member>,
}

/// One host.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Member {
    pub instance_id: String,
    /// `None`: what is told is that it wants nothing new, and nothing else of it could be read.
    pub host_port: Option<SocketAddr>,
    pub lifecycle: Lifecycle,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub machine_type: String,
    #[serde(default)]
    pub cell: u32,
    #[serde(default)]
    pub weight: f64,
    #[serde(default)]
    pub started_at_ms: u64,
}

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    InService,
    Terminating,
    Terminated,
}

/// Entries one by one: what cannot be read of one says nothing of the others. That a host drains or is gone
/// counts whatever else its entry holds: the version goes on, and nobody would say it again.
fn readable<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Member>, D::Error> {
    let all = Vec::<Value>::deserialize(from)?;
    let (count, mut whole) = (all.len(), 0);
    let mut entries = Vec::with_capacity(count);
    for entry in all {
        match Member::deserialize(&entry).ok().filter(|member| member.host_port.is_some()) {
            Some(member) => {
                whole += 1;
                entries.push(member);
            }
            None => entries.extend(end_of(&entry)),
        }
    }
    if whole < count {
        tracing::warn!("discovery: {} of {count} entries cannot be read whole", count - whole);
    }
    if entries.is_empty() && count > 0 {
        return Err(D::Error::custom("no entry can be read"));
    }
    Ok(entries)
}

/// What an entry that cannot be read whole says of a host that wants nothing new.
fn end_of(entry: &Value) -> Option<Member> {
    let lifecycle = Lifecycle::deserialize(entry.get("lifecycle")?).ok()?;
    let instance_id = entry.get("instanceId")?.as_str()?.to_owned();
    (lifecycle != Lifecycle::InService).then(|| Member {
        instance_id,
        host_port: None,
        lifecycle,
        zone: String::new(),
        machine_type: String::new(),
        cell: 0,
        weight: 0.0,
        started_at_ms: 0,
    })
}

/// Watches for as long as the gateway runs; the last list stays in force while discovery is away. At a new
/// address the whole list is asked for: its versions need not compare with those of the old one.
pub async fn watch(
    mut agents: watch::Receiver<SocketAddr>,
    known: u64,
    clock: Clock,
    gateway: UnboundedSender<Input>,
) {
    let (mut after, mut pause) = (Some(known), BACKOFF.0);
    let mut outage = Outage::default();
    loop {
        let (agent, before) = (*agents.borrow_and_update(), after);
        let turn = async {
            if let Err(error) = watch_once(agent, &mut after, &gateway, &mut || {
                if let Some(away) = outage.back(clock.now()) {
                    tracing::info!("discovery at {agent} is back after {:.1} s", away as f64 / 1e9);
                }
            })
            .await
            {
                if let Some(away) = outage.failed(clock.now()) {
                    let away = away as f64 / 1e9;
                    tracing::warn!(
                        "discovery at {agent}: {error:#}; away for {away:.1} s, the last list stays"
                    );
                }
            }
            pause = if after == before { (pause * 2).min(BACKOFF.1) } else { BACKOFF.0 };
            tokio::time::sleep(pause).await;
        };
        tokio::select! {
            () = turn => {}
            moved = agents.changed() => match moved {
                Ok(()) => (after, pause) = (None, BACKOFF.0),
                Err(_) => return,
            },
        }
    }
}

async fn watch_once(
    agent: SocketAddr,
    after: &mut Option<u64>,
    gateway: &UnboundedSender<Input>,
    heard: &mut (dyn FnMut() + Send),
) -> Result<()> {
    let tell = |line: &[u8]| {
        let list: Membership = serde_json::from_slice(line).context("not a list of hosts")?;
        let generation = list.generation;
        gateway.send(Input::Hosts(list)).context("the gateway has stopped")?;
        anyhow::Ok(generation)
    };
    let from = match *after {
        Some(generation) => generation,
        None => {
            let body = timeout(SILENCE, open(agent, "/registry/instances")).await.context("no answer")??;
            let list = timeout(SILENCE, Limited::new(body, MAX_LINE).collect()).await.context("silent")?;
            tell(&list.map_err(|error| anyhow!("not a list of hosts: {error}"))?.to_bytes())?
        }
    };
    *after = Some(from);
    let path = format!("/registry/instances?watch=1&after={from}");
    let mut body = timeout(SILENCE, open(agent, &path)).await.context("no answer")??;
    let mut buf = BytesMut::new();
    loop {
        let frame = timeout(SILENCE, body.frame()).await.context("silent")?.context("watch ended")??;
        let Ok(data) = frame.into_data() else { continue };
        heard();
        buf.extend_from_slice(&data);
        while let Some(end) = buf.iter().position(|b| *b == b'\n') {
            let line = buf.split_to(end);
            buf.advance(1);
            if !line.trim_ascii().is_empty() {
                *after = Some(tell(&line)?);
            }
        }
        if buf.len() > MAX_LINE {
            bail!("too long a line");
        }
    }
}

async fn open(agent: SocketAddr, path: &str) -> Result<Incoming> {
    let stream = timeout(CONNECT, TcpStream::connect(agent)).await.context("no connection")??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::get(path).header(header::HOST, agent.to_string()).body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await?;
    if answer.status() != StatusCode::OK {
        bail!("status {}", answer.status());
    }
    Ok(answer.into_body())
}
