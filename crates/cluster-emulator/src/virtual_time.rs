//! The virtual stage: the real network side, once per gateway, in processes of a simulated machine room.

use crate::stage::{lock, Exit, Post, Signal, Stage};
use anyhow::Result;
use cluster_model::scenario::{LinkFault, NetworkSpec, Site};
use gateway::{serve, Config, Operators};
use runtime::{Env, Span, Time};
use serde_json::Value;
use simulated_runtime::{Cut, CutId, Machine, MachineId, Place, ProcessId, Sim, SimConfig, SimEnv};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

/// Where gateways listen on their machines.
const PORT: u16 = 6379;
/// Bytes.
const KIB: f64 = 1024.0;

/// A gateway's process, as it begins.
pub struct GatewayStart {
    /// Its world.
    pub env: SimEnv,
    /// Its configuration document, which may be another one at a reload.
    pub document: Document,
    /// What it is told from outside.
    pub signals: UnboundedReceiver<gateway::Signal>,
}

/// A gateway's configuration document.
#[derive(Clone, Debug)]
pub struct Document(Arc<Mutex<String>>);

impl Document {
    fn new(document: &Value) -> Document {
        Document(Arc::new(Mutex::new(document.to_string())))
    }

    /// Its text, as it is now.
    pub fn text(&self) -> String {
        lock(&self.0).clone()
    }

    fn replace(&self, document: &Value) {
        *lock(&self.0) = document.to_string();
    }
}

/// A gateway at work. Its process ends with it, in the ordinary way, or by an error.
pub type GatewayTask = Pin<Box<dyn Future<Output = Result<()>> + Send>>;

/// Makes what runs in the place of the real gateway, once for each start of a process.
pub type GatewayMaker = Arc<dyn Fn(GatewayStart) -> GatewayTask + Send + Sync>;

/// The real one, with these operators' files. Fails where its document cannot be read.
fn real_gateway(start: GatewayStart, operators: Operators) -> Result<GatewayTask> {
    let GatewayStart { env, document, signals } = start;
    let read = move || {
        let config = Config::parse(document.text().as_bytes())?;
        Ok(Config { operators: operators.clone(), ..config })
    };
    let config = read()?;
    Ok(Box::pin(async move { Ok(serve(env, config, read, signals).await?) }))
}

/// A gateway's process that runs.
struct Running {
    env: SimEnv,
    incarnation: u32,
    signals: UnboundedSender<gateway::Signal>,
    document: Document,
}

/// A stage in virtual time.
pub struct VirtualStage {
    sim: Sim,
    gateway: Option<GatewayMaker>,
    operators: Operators,
    buildings: u32,
    /// Where the counter stands, from 0.
    counter: u32,
    descriptors: usize,
    machines: Arc<Mutex<BTreeMap<Post, Machine>>>,
    running: BTreeMap<u32, Running>,
    /// Nanoseconds by which clocks of gateways that start from now on are ahead.
    clocks: BTreeMap<u32, i64>,
    /// The last process of each stand-in's machine.
    standins: Mutex<BTreeMap<Post, ProcessId>>,
    exits: Arc<Mutex<Vec<Exit>>>,
    cuts: BTreeMap<u64, CutId>,
    next_cut: u64,
}

impl VirtualStage {
    /// An empty one whose clock shows `start`.
    pub fn new(site: &Site, seed: u64, start: Time) -> VirtualStage {
        let network: NetworkSpec = site.network.clone();
        VirtualStage {
            sim: Sim::new(SimConfig { seed, start, network }),
            gateway: None,
            operators: Operators::default(),
            buildings: site.buildings.max(1),
            counter: site.counter.building - 1,
            descriptors: site.file_descriptors as usize,
            machines: Arc::default(),
            running: BTreeMap::new(),
            clocks: BTreeMap::new(),
            standins: Mutex::default(),
            exits: Arc::default(),
            cuts: BTreeMap::new(),
            next_cut: 0,
        }
    }

    /// The same with other gateways in the place of the real ones.
    pub fn with_gateway(self, gateway: Option<GatewayMaker>) -> VirtualStage {
        VirtualStage { gateway, ..self }
    }

    /// The same with operators' files for the real gateways.
    pub fn with_operators(self, operators: Operators) -> VirtualStage {
        VirtualStage { operators, ..self }
    }

    /// The machine room.
    pub fn sim(&self) -> &Sim {
        &self.sim
    }

    fn machine(&self, post: Post) -> Machine {
        let place = |number: u32| Place::Building(number % self.buildings);
        let (name, place) = match post {
            Post::Gateway(number) => (format!("gateway {}", number + 1), place(number)),
            Post::Host(number) => (format!("host {}", number + 1), place(number)),
            Post::Counter => ("counter".to_owned(), place(self.counter)),
            Post::Clients => ("clients".to_owned(), Place::Client),
        };
        lock(&self.machines).entry(post).or_insert_with(|| self.sim.machine(&name, place)).clone()
    }

    fn machines(&self, pairs: &[(Post, Post)]) -> Vec<(MachineId, MachineId)> {
        pairs.iter().map(|(a, b)| (self.machine(*a).id(), self.machine(*b).id())).collect()
    }

    fn end(&mut self, gateway: u32) {
        let Some(running) = self.running.remove(&gateway) else { return };
        self.sim.kill(running.env.process_id());
        lock(&self.exits).push(Exit {
            gateway,
            incarnation: running.incarnation,
            error: None,
            arranged: None,
        });
    }
}

impl Stage for VirtualStage {
    type Env = SimEnv;

    fn process(&self, post: Post, name: &str) -> SimEnv {
        let env = self.machine(post).process(name);
        lock(&self.standins).insert(post, env.process_id());
        env
    }

    fn address(&self, post: Post) -> SocketAddr {
        SocketAddr::new(self.machine(post).ip(), 0)
    }

    fn gateway_address(&self, gateway: u32) -> SocketAddr {
        SocketAddr::new(self.machine(Post::Gateway(gateway)).ip(), PORT)
    }

    fn lag(&self, _post: Post) -> Span {
        0
    }

    fn start_gateway(&mut self, gateway: u32, incarnation: u32, document: &Value) -> io::Result<()> {
        let name = format!("gateway {}.{incarnation}", gateway + 1);
        let ahead = self.clocks.get(&gateway).copied().unwrap_or(0);
        let env = self.machine(Post::Gateway(gateway)).process(&name).with_clock(ahead);
        env.set_descriptors(self.descriptors);
        let document = Document::new(document);
        let (signals, inbox) = mpsc::unbounded_channel();
        let start = GatewayStart { env: env.clone(), document: document.clone(), signals: inbox };
        let serving = match &self.gateway {
            Some(other) => other(start),
            None => real_gateway(start, self.operators.clone()).map_err(io::Error::other)?,
        };
        let (exits, own) = (self.exits.clone(), env.clone());
        env.spawn(async move {
            let error = serving.await.err().map(|error| format!("{error:#}"));
            lock(&exits).push(Exit { gateway, incarnation, error, arranged: None });
            own.exit();
        });
        self.running.insert(gateway, Running { env, incarnation, signals, document });
        Ok(())
    }

    fn replace_document(&mut self, gateway: u32, document: &Value) -> io::Result<()> {
        if let Some(running) = self.running.get(&gateway) {
            running.document.replace(document);
        }
        Ok(())
    }

    fn signal(&mut self, gateway: u32, signal: Signal) {
        let told = match signal {
            Signal::Kill => return self.end(gateway),
            Signal::Stop | Signal::Continue => {
                let running = self.running.get(&gateway);
                return running
                    .into_iter()
                    .for_each(|it| self.sim.stop(it.env.process_id(), signal == Signal::Stop));
            }
            Signal::Reload => gateway::Signal::Reload,
            Signal::Terminate => gateway::Signal::Terminate,
        };
        if let Some(running) = self.running.get(&gateway) {
            // One that has ended takes none.
            let _ = running.signals.send(told);
        }
    }

    fn set_clock(&mut self, gateway: u32, ahead: i64) -> io::Result<()> {
        self.clocks.insert(gateway, ahead);
        Ok(())
    }

    fn clock_stood_still(&mut self, gateway: u32, span: Span) -> io::Result<()> {
        self.running.get(&gateway).into_iter().for_each(|running| running.env.clock_stood_still(span));
        Ok(())
    }

    fn stand_still(&mut self, post: Post, still: bool) -> io::Result<()> {
        let process = lock(&self.standins).get(&post).copied();
        process.into_iter().for_each(|process| self.sim.stop(process, still));
        Ok(())
    }

    fn exits(&mut self) -> Vec<Exit> {
        std::mem::take(&mut *lock(&self.exits))
    }

    fn cut(&mut self, a: &[Post], b: &[Post], _span: Span, reset: bool) -> io::Result<u64> {
        let ids = |side: &[Post]| side.iter().map(|post| self.machine(*post).id()).collect();
        let how = if reset { Cut::Reset } else { Cut::Silent };
        let cut = self.sim.cut(ids(a), ids(b), how);
        self.next_cut += 1;
        self.cuts.insert(self.next_cut, cut);
        Ok(self.next_cut)
    }

    fn heal(&mut self, cut: u64) {
        if let Some(cut) = self.cuts.remove(&cut) {
            self.sim.heal(cut);
        }
    }

    fn fail_links(&mut self, pairs: &[(Post, Post)], fault: &LinkFault, span: Span) -> io::Result<()> {
        let fault = match fault {
            LinkFault::Hold(way) => simulated_runtime::LinkFault::Hold(*way),
            LinkFault::Blackhole(way) => simulated_runtime::LinkFault::Cut(*way),
            LinkFault::Delay(from, to) => simulated_runtime::LinkFault::Slow(*from, *to),
            LinkFault::RateLimit(rate) => simulated_runtime::LinkFault::Narrow(rate * KIB),
            LinkFault::Reset | LinkFault::Flap(_) => return Ok(()),
        };
        let id = self.sim.begin_link(self.machines(pairs), fault);
        self.sim.at(self.sim.now() + span, move |sim| sim.end_link(id));
        Ok(())
    }

    fn reset_links(&mut self, pairs: &[(Post, Post)]) -> io::Result<()> {
        self.sim.reset_links(&self.machines(pairs));
        Ok(())
    }

    fn knows_when_sent(&self) -> bool {
        true
    }

    fn now(&self) -> Time {
        self.sim.now()
    }
}
