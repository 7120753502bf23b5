//! The virtual backend: runs the gateway's network code once per gateway, in processes on a simulated network.

use crate::backend::{lock, Backend, Exit, MachineRole, Signal};
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

/// Listen port of gateways on their machines.
const GATEWAY_PORT: u16 = 6379;
/// Bytes of a KiB.
const KIB: f64 = 1024.0;

/// Arguments of a new gateway process.
pub struct GatewayStart {
    /// Runtime environment of the process.
    pub env: SimEnv,
    /// Configuration document, which may be replaced before a reload.
    pub document: Document,
    /// Signals to the process.
    pub signals: UnboundedReceiver<gateway::Signal>,
}

/// A gateway's configuration document.
#[derive(Clone, Debug)]
pub struct Document(Arc<Mutex<String>>);

impl Document {
    fn new(document: &Value) -> Document {
        Document(Arc::new(Mutex::new(document.to_string())))
    }

    /// Returns the current text.
    pub fn text(&self) -> String {
        lock(&self.0).clone()
    }

    fn replace(&self, document: &Value) {
        *lock(&self.0) = document.to_string();
    }
}

/// The main task of a gateway, whose process ends when it completes, normally or with an error.
pub type GatewayTask = Pin<Box<dyn Future<Output = Result<()>> + Send>>;

/// Creates the task that runs in place of the real gateway, once for each start of a process.
pub type GatewayFactory = Arc<dyn Fn(GatewayStart) -> GatewayTask + Send + Sync>;

/// Creates the task of the real gateway with these operators' settings. Fails if its document cannot be parsed.
fn real_gateway(start: GatewayStart, operators: Operators) -> Result<GatewayTask> {
    let GatewayStart { env, document, signals } = start;
    let read = move || {
        let config = Config::parse(document.text().as_bytes())?;
        Ok(Config { operators: operators.clone(), ..config })
    };
    let config = read()?;
    Ok(Box::pin(async move { Ok(serve(env, config, read, signals).await?) }))
}

/// A running gateway process.
struct Running {
    env: SimEnv,
    incarnation: u32,
    signals: UnboundedSender<gateway::Signal>,
    document: Document,
}

/// A backend in virtual time.
pub struct VirtualBackend {
    sim: Sim,
    gateway: Option<GatewayFactory>,
    operators: Operators,
    buildings: u32,
    /// The building of the counter, from 0.
    counter_building: u32,
    descriptors: usize,
    machines: Arc<Mutex<BTreeMap<MachineRole, Machine>>>,
    running: BTreeMap<u32, Running>,
    /// Nanoseconds by which the clocks of gateways started later are ahead.
    clocks: BTreeMap<u32, i64>,
    /// The last process of each fake service's machine.
    service_processes: Mutex<BTreeMap<MachineRole, ProcessId>>,
    exits: Arc<Mutex<Vec<Exit>>>,
    partitions: BTreeMap<u64, CutId>,
    next_partition: u64,
}

impl VirtualBackend {
    /// Creates an empty backend whose clock starts at `start`.
    pub fn new(site: &Site, seed: u64, start: Time) -> VirtualBackend {
        let network: NetworkSpec = site.network.clone();
        VirtualBackend {
            sim: Sim::new(SimConfig { seed, start, network }),
            gateway: None,
            operators: Operators::default(),
            buildings: site.buildings.max(1),
            counter_building: site.counter.building - 1,
            descriptors: site.file_descriptors as usize,
            machines: Arc::default(),
            running: BTreeMap::new(),
            clocks: BTreeMap::new(),
            service_processes: Mutex::default(),
            exits: Arc::default(),
            partitions: BTreeMap::new(),
            next_partition: 0,
        }
    }

    /// Replaces the real gateways by others.
    pub fn with_gateway(self, gateway: Option<GatewayFactory>) -> VirtualBackend {
        VirtualBackend { gateway, ..self }
    }

    /// Sets the operators' settings of the real gateways.
    pub fn with_operators(self, operators: Operators) -> VirtualBackend {
        VirtualBackend { operators, ..self }
    }

    /// Returns the simulated network.
    pub fn sim(&self) -> &Sim {
        &self.sim
    }

    fn machine(&self, role: MachineRole) -> Machine {
        let place = |number: u32| Place::Building(number % self.buildings);
        let (name, place) = match role {
            MachineRole::Gateway(number) => (format!("gateway {}", number + 1), place(number)),
            MachineRole::Host(number) => (format!("host {}", number + 1), place(number)),
            MachineRole::Counter => ("counter".to_owned(), place(self.counter_building)),
            MachineRole::Clients => ("clients".to_owned(), Place::Client),
        };
        lock(&self.machines).entry(role).or_insert_with(|| self.sim.machine(&name, place)).clone()
    }

    fn machines(&self, pairs: &[(MachineRole, MachineRole)]) -> Vec<(MachineId, MachineId)> {
        pairs.iter().map(|(a, b)| (self.machine(*a).id(), self.machine(*b).id())).collect()
    }

    fn kill(&mut self, gateway: u32) {
        let Some(running) = self.running.remove(&gateway) else { return };
        self.sim.kill(running.env.process_id());
        lock(&self.exits).push(Exit {
            gateway,
            incarnation: running.incarnation,
            error: None,
            restart_after: None,
        });
    }
}

impl Backend for VirtualBackend {
    type Env = SimEnv;

    fn process(&self, role: MachineRole, name: &str) -> SimEnv {
        let env = self.machine(role).process(name);
        lock(&self.service_processes).insert(role, env.process_id());
        env
    }

    fn address(&self, role: MachineRole) -> SocketAddr {
        SocketAddr::new(self.machine(role).ip(), 0)
    }

    fn gateway_address(&self, gateway: u32) -> SocketAddr {
        SocketAddr::new(self.machine(MachineRole::Gateway(gateway)).ip(), GATEWAY_PORT)
    }

    fn extra_latency(&self, _role: MachineRole) -> Span {
        0
    }

    fn start_gateway(&mut self, gateway: u32, incarnation: u32, document: &Value) -> io::Result<()> {
        let name = format!("gateway {}.{incarnation}", gateway + 1);
        let ahead = self.clocks.get(&gateway).copied().unwrap_or(0);
        let env = self.machine(MachineRole::Gateway(gateway)).process(&name).with_clock(ahead);
        env.set_descriptors(self.descriptors);
        let document = Document::new(document);
        let (signals, inbox) = mpsc::unbounded_channel();
        let start = GatewayStart { env: env.clone(), document: document.clone(), signals: inbox };
        let serving = match &self.gateway {
            Some(factory) => factory(start),
            None => real_gateway(start, self.operators.clone()).map_err(io::Error::other)?,
        };
        let (exits, own) = (self.exits.clone(), env.clone());
        env.spawn(async move {
            let error = serving.await.err().map(|error| format!("{error:#}"));
            lock(&exits).push(Exit { gateway, incarnation, error, restart_after: None });
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
        let gateway_signal = match signal {
            Signal::Kill => return self.kill(gateway),
            Signal::Stop | Signal::Continue => {
                let running = self.running.get(&gateway);
                return running
                    .into_iter()
                    .for_each(|process| self.sim.stop(process.env.process_id(), signal == Signal::Stop));
            }
            Signal::Reload => gateway::Signal::Reload,
            Signal::Terminate => gateway::Signal::Terminate,
        };
        if let Some(running) = self.running.get(&gateway) {
            // A gateway that has ended receives no signals.
            let _ = running.signals.send(gateway_signal);
        }
    }

    fn set_clock(&mut self, gateway: u32, ahead: i64) -> io::Result<()> {
        self.clocks.insert(gateway, ahead);
        Ok(())
    }

    fn exclude_pause_from_clock(&mut self, gateway: u32, span: Span) -> io::Result<()> {
        self.running.get(&gateway).into_iter().for_each(|running| running.env.clock_stood_still(span));
        Ok(())
    }

    fn set_suspended(&mut self, role: MachineRole, suspended: bool) -> io::Result<()> {
        let process = lock(&self.service_processes).get(&role).copied();
        process.into_iter().for_each(|process| self.sim.stop(process, suspended));
        Ok(())
    }

    fn take_exits(&mut self) -> Vec<Exit> {
        std::mem::take(&mut *lock(&self.exits))
    }

    fn partition(
        &mut self,
        a: &[MachineRole],
        b: &[MachineRole],
        _span: Span,
        reset: bool,
    ) -> io::Result<u64> {
        let ids = |side: &[MachineRole]| side.iter().map(|role| self.machine(*role).id()).collect();
        let how = if reset { Cut::Reset } else { Cut::Silent };
        let cut = self.sim.cut(ids(a), ids(b), how);
        self.next_partition += 1;
        self.partitions.insert(self.next_partition, cut);
        Ok(self.next_partition)
    }

    fn heal(&mut self, partition: u64) {
        if let Some(cut) = self.partitions.remove(&partition) {
            self.sim.heal(cut);
        }
    }

    fn start_link_fault(
        &mut self,
        pairs: &[(MachineRole, MachineRole)],
        fault: &LinkFault,
        span: Span,
    ) -> io::Result<()> {
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

    fn reset_links(&mut self, pairs: &[(MachineRole, MachineRole)]) -> io::Result<()> {
        self.sim.reset_links(&self.machines(pairs));
        Ok(())
    }

    fn knows_send_times(&self) -> bool {
        true
    }

    fn now(&self) -> Time {
        self.sim.now()
    }
}
