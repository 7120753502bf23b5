//! A gateway that is simple on purpose: hosts in turn, one connection and one attempt for each request. It
//! keeps all rules but the one that it is told to break.

use anyhow::{bail, Context, Result};
use bytes::{Bytes, BytesMut};
use cluster_emulator::{Document, GatewayFactory, GatewayStart};
use cluster_model::{MS, SECOND};
use gateway::{Endpoint, EndpointList, Lifecycle, Signal};
use resp::{decode, encode_array_header, encode_bulk, fill, Frame, RespError};
use runtime::{Env, Listener, Span, Time};
use serde_json::Value;
use simulated_runtime::{SimEnv, SimStream};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

/// Some wrongs are done to one in so many requests.
const SELDOM: u64 = 50;
/// A host that does not take a connection by then is not asked.
const DIAL: Span = 250 * MS;
/// One that crashes does so after this.
const CRASH: Span = 6 * SECOND;
/// After SIGTERM connections go on coming for a while.
const STILL_ACCEPTING: Span = 450 * MS;

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    Nothing,
    AnswersTwice,
    Forgets,
    Invents,
    RepeatsOrders,
    RefusesWhatRan,
    SendsToDraining,
    NeverWatches,
    FloodsCold,
    ForgetsCeilings,
    Crashes,
}

/// Makes such gateways.
pub fn proxy(wrong: Wrong) -> GatewayFactory {
    Arc::new(move |start| Box::pin(run(start, wrong)))
}

async fn run(start: GatewayStart, wrong: Wrong) -> Result<()> {
    let GatewayStart { env, document, mut signals } = start;
    let proxy = Arc::new(Proxy::new(&env, wrong, &document)?);
    let mut listener = env.listen(address(&document, "listen")?, 1024)?;
    if wrong != Wrong::NeverWatches {
        env.spawn(proxy.clone().watch(document));
    }
    let (closing, phases) = watch::channel(false);
    let accepting = async move {
        while let Ok((stream, _)) = listener.accept().await {
            proxy.env.spawn(proxy.clone().client(stream, phases.clone()));
        }
    };
    tokio::select! {
        biased;
        () = env.sleep(CRASH), if wrong == Wrong::Crashes => bail!("crashed, as the test wants"),
        () = until_stopped(&env, &mut signals) => {}
        () = accepting => {}
    }
    closing.send_replace(true);
    closing.closed().await;
    Ok(())
}

async fn until_stopped(env: &SimEnv, signals: &mut UnboundedReceiver<Signal>) {
    while let Some(Signal::Reload) = signals.recv().await {}
    env.sleep(STILL_ACCEPTING).await;
}

fn address(document: &Document, key: &str) -> Result<SocketAddr> {
    let document: Value = serde_json::from_str(&document.text())?;
    Ok(document[key].as_str().context("no address")?.parse()?)
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Reply {
    Value(Bytes),
    Busy,
    Failed,
}

impl Reply {
    /// What a host's answer comes to.
    fn of(answer: Frame) -> Reply {
        match answer {
            Frame::Array(parts) => match parts.into_iter().next() {
                Some(Frame::Bulk(value)) => Reply::Value(value),
                _ => Reply::Failed,
            },
            Frame::Error(text) if text.starts_with(b"BUSY") => Reply::Busy,
            _ => Reply::Failed,
        }
    }

    fn bytes(&self) -> BytesMut {
        let mut out = BytesMut::new();
        match self {
            Reply::Value(value) => encode_bulk(&mut out, value),
            Reply::Busy => out.extend_from_slice(b"-BUSY\r\n"),
            Reply::Failed => out.extend_from_slice(b"-ERR failed\r\n"),
        }
        out
    }
}

/// A request.
struct Call {
    command: BytesMut,
    order: bool,
    customer: Bytes,
    plan: String,
    units: f64,
    spread: f64,
    wait: Span,
}

impl Call {
    fn read(words: &[Frame]) -> Option<Call> {
        let word = |word: &Frame| match word {
            Frame::Bulk(bytes) => Some(bytes.clone()),
            _ => None,
        };
        let words: Vec<Bytes> = words.iter().map(word).collect::<Option<_>>()?;
        let list = std::str::from_utf8(words.get(3)?).ok()?;
        let pairs: BTreeMap<&str, &str> = list.split(',').filter_map(|pair| pair.split_once('=')).collect();
        let mut command = BytesMut::new();
        encode_array_header(&mut command, words.len());
        words.iter().for_each(|word| encode_bulk(&mut command, word));
        Some(Call {
            command,
            order: &words[0][..] == b"CALL.POST",
            customer: words[1].clone(),
            plan: (*pairs.get("t")?).to_owned(),
            units: pairs.get("units")?.parse().ok()?,
            spread: pairs.get("spread")?.parse().ok()?,
            wait: pairs.get("d")?.parse::<u64>().ok()? * MS,
        })
    }
}

/// Hosts, as discovery tells of them.
#[derive(Default)]
struct Hosts {
    generation: u64,
    by_id: BTreeMap<String, Endpoint>,
    turn: usize,
    /// Those that drain or are gone stay.
    keeps_all: bool,
}

impl Hosts {
    fn told(&mut self, list: EndpointList) {
        self.generation = list.generation;
        if list.is_complete && !self.keeps_all {
            self.by_id.clear();
        }
        for member in list.endpoints {
            if member.lifecycle == Lifecycle::InService {
                self.by_id.insert(member.instance_id.clone(), member);
            } else if !self.keeps_all {
                self.by_id.remove(&member.instance_id);
            }
        }
    }

    /// The next in turn of those that are cold, or are not.
    fn next(&mut self, cold: bool, is_cold: impl Fn(&Endpoint) -> bool) -> Option<SocketAddr> {
        let hosts: Vec<&Endpoint> = self.by_id.values().filter(|host| is_cold(host) == cold).collect();
        self.turn += 1;
        hosts.get(self.turn % hosts.len().max(1))?.address
    }
}

/// A plan's hard ceiling.
struct Ceiling {
    rate: f64,
    burst: f64,
}

struct Proxy {
    env: SimEnv,
    wrong: Wrong,
    cold: Span,
    hosts: Mutex<Hosts>,
    ceilings: BTreeMap<String, Ceiling>,
    /// What is left to each customer, and when it was.
    stores: Mutex<BTreeMap<Bytes, (f64, Time)>>,
    calls: AtomicU64,
}

impl Proxy {
    fn new(env: &SimEnv, wrong: Wrong, document: &Document) -> Result<Proxy> {
        let document: Value = serde_json::from_str(&document.text())?;
        let settings = &document["settings"];
        let figure = |of: &Value, key: &str| of[key].as_f64().unwrap_or(0.0);
        let ceiling = |plan: &Value| {
            let (rate, burst) = match figure(plan, "ceiling-rate") {
                // Where nobody is let in beyond the quota on purpose, that is a ceiling too.
                0.0 if figure(plan, "overrun-cost") >= figure(plan, "extra-worth") => {
                    (figure(plan, "refill"), figure(plan, "burst"))
                }
                rate => (rate, figure(plan, "never-over-depth")),
            };
            let name = plan["name"].as_str().unwrap_or_default().to_owned();
            (rate > 0.0).then_some((name, Ceiling { rate, burst }))
        };
        let mut hosts = Hosts { keeps_all: wrong == Wrong::SendsToDraining, ..Hosts::default() };
        hosts.told(serde_json::from_value(document["known"].clone())?);
        Ok(Proxy {
            env: env.clone(),
            wrong,
            cold: settings["rules"]["cold"].as_u64().unwrap_or(0),
            hosts: Mutex::new(hosts),
            ceilings: settings["tariffs"].as_array().into_iter().flatten().filter_map(ceiling).collect(),
            stores: Mutex::default(),
            calls: AtomicU64::new(0),
        })
    }

    /// Hears of hosts. However a watch ends, there is another one.
    async fn watch(self: Arc<Self>, document: Document) {
        loop {
            let _ = self.watch_once(&document).await;
            self.env.sleep(100 * MS).await;
        }
    }

    async fn watch_once(&self, document: &Document) -> Result<()> {
        let agent = address(document, "discovery")?;
        let mut stream = self.env.timeout(SECOND, self.env.connect(agent)).await??;
        let after = self.hosts.lock().unwrap().generation;
        let ask = format!("GET /registry/instances?watch=1&after={after} HTTP/1.1\r\nHost: agent\r\n\r\n");
        stream.write_all(ask.as_bytes()).await?;
        let mut input = BytesMut::new();
        loop {
            self.env.timeout(3 * SECOND, fill(&mut stream, &mut input)).await??;
            while let Some(end) = input.iter().position(|byte| *byte == b'\n') {
                let line = input.split_to(end + 1);
                // The other lines are HTTP's.
                if line.starts_with(b"{") {
                    self.hosts.lock().unwrap().told(serde_json::from_slice(&line)?);
                }
            }
        }
    }

    /// Serves a client's connection, one command after another.
    async fn client(self: Arc<Self>, mut stream: SimStream, mut closing: watch::Receiver<bool>) {
        let mut input = BytesMut::new();
        loop {
            let frame = tokio::select! {
                biased;
                frame = frame(&mut stream, &mut input) => frame,
                _ = closing.wait_for(|closing| *closing) => return,
            };
            let Ok(Frame::Array(words)) = frame else { return };
            let answer = match words.first() {
                Some(Frame::Bulk(name)) if name.starts_with(b"CALL.") => self.call(&words).await,
                _ => BytesMut::from(&b"+PONG\r\n"[..]),
            };
            if stream.write_all(&answer).await.is_err() {
                return;
            }
        }
    }

    /// The bytes of the answer to a call.
    async fn call(&self, words: &[Frame]) -> BytesMut {
        let Some(call) = Call::read(words) else { return Reply::Failed.bytes() };
        let seldom = self.calls.fetch_add(1, Ordering::Relaxed) % SELDOM == SELDOM - 1;
        let mut reply = self.reply(&call).await;
        match self.wrong {
            Wrong::Forgets if seldom => return BytesMut::new(),
            Wrong::Invents if seldom => reply = Reply::Value(Bytes::from_static(b"something")),
            Wrong::RefusesWhatRan if reply == Reply::Failed => reply = Reply::Busy,
            _ => {}
        }
        let mut answer = reply.bytes();
        if self.wrong == Wrong::AnswersTwice && seldom {
            answer.extend_from_slice(&reply.bytes());
        }
        answer
    }

    async fn reply(&self, call: &Call) -> Reply {
        if self.wrong != Wrong::ForgetsCeilings && !self.is_under_ceiling(call) {
            return Reply::Busy;
        }
        let until = self.env.now() + call.wait;
        let reply = self.attempt(call, until).await;
        if self.wrong == Wrong::RepeatsOrders && call.order && reply == Reply::Failed {
            return self.attempt(call, until).await;
        }
        reply
    }

    async fn attempt(&self, call: &Call, until: Time) -> Reply {
        let Some(host) = self.pick() else { return Reply::Busy };
        let Ok(Ok(mut stream)) = self.env.timeout(DIAL, self.env.connect(host)).await else {
            return Reply::Busy;
        };
        let exchange = async {
            stream.write_all(&call.command).await?;
            frame(&mut stream, &mut BytesMut::new()).await
        };
        match self.env.timeout_at(until, exchange).await {
            Ok(Ok(answer)) => Reply::of(answer),
            _ => Reply::Failed,
        }
    }

    /// A host to ask: one that is not cold, or, to flood it, one that is.
    fn pick(&self) -> Option<SocketAddr> {
        let now = self.env.now();
        let is_cold = |host: &Endpoint| host.started_at_ms > 0 && now < host.started_at_ms * MS + self.cold;
        let mut hosts = self.hosts.lock().unwrap();
        let flooded = if self.wrong == Wrong::FloodsCold { hosts.next(true, is_cold) } else { None };
        flooded.or_else(|| hosts.next(false, is_cold))
    }

    /// Takes a request's units from what is left to its customer here: an even part at each of its gateways.
    fn is_under_ceiling(&self, call: &Call) -> bool {
        let Some(ceiling) = self.ceilings.get(&call.plan) else { return true };
        let (rate, burst) = (ceiling.rate / call.spread, ceiling.burst / call.spread);
        let now = self.env.now();
        let mut stores = self.stores.lock().unwrap();
        let (left, since) = stores.get(&call.customer).copied().unwrap_or((burst, now));
        let left = (left + rate * (now - since) as f64 / SECOND as f64).min(burst);
        let takes = call.units <= left;
        let left = if takes { left - call.units } else { left };
        stores.insert(call.customer.clone(), (left, now));
        takes
    }
}

/// The next whole frame.
async fn frame(stream: &mut SimStream, input: &mut BytesMut) -> Result<Frame, RespError> {
    loop {
        if let Some(frame) = decode(input)? {
            return Ok(frame);
        }
        fill(stream, input).await?;
    }
}
