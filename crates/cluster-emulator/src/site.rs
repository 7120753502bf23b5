//! The stand-ins of a site, and what is known of its machines.

use crate::backend::{Backend, MachineRole};
use crate::counter::CounterHandle;
use crate::fault_injector::select_targets;
use anyhow::{Context, Result};
use cluster_model::agent::{Detection, DiscoveryMessage, Endpoint, Registry};
use cluster_model::observation::{Lifecycle, ObservationKind};
use cluster_model::requests::RequestSampler;
use cluster_model::rng::Rng;
use cluster_model::scenario::{Event, Scenario};
use cluster_model::settings::{config_document, machine_type, zone_name, GatewayStart};
use cluster_model::traffic::{BuildingBias, TrafficWindow};
use cluster_model::{MS, SECOND};
use fake_services::agent::{AgentConfig, AgentStandIn, SharedRegistry};
use fake_services::client::{ClientConfig, Clients};
use fake_services::host::{HostConfig, HostStandIn, Settled};
use fake_services::Recorder;
use runtime::{Env, Span, Time};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Connections that the front has to a gateway at the most: the platform's clients hold a third of the
/// descriptors for requests.
const FRONT_SHARE: u32 = 3;

/// A host of the site, in the order of their coming.
pub struct Machine<E: Env> {
    /// Its id in discovery.
    pub id: String,
    /// The machine that it stands on: the number of the host that first stood there.
    pub place: u32,
    /// Where it listens for each gateway.
    pub listen: Arc<[SocketAddr]>,
    /// Where each gateway reaches it.
    pub addrs: Arc<[SocketAddr]>,
    /// The running stand-in; `None`: it is gone.
    pub running: Option<HostStandIn<E>>,
    /// It has been told to drain.
    pub draining: bool,
    /// It fell over, and discovery has missed it.
    pub missed: bool,
    /// How many times slower it works for reasons that each last until then.
    pub slow: Vec<(f64, Time)>,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    pub started_ms: u64,
}

impl<E: Env> Machine<E> {
    /// How many times slower it works now: of several reasons the worst counts. 1: as usual.
    pub fn slowness(&self, now: Time) -> f64 {
        worst(&self.slow, now)
    }
}

/// Of several reasons that each last until then, the worst now; 1: none.
fn worst(slow: &[(f64, Time)], now: Time) -> f64 {
    let active = slow.iter().filter(|(_, until)| *until > now).map(|(times, _)| *times);
    active.reduce(f64::max).unwrap_or(1.0)
}

/// A gateway of the site.
pub struct GatewayPost<E: Env> {
    /// Its agent of discovery.
    pub agent: AgentStandIn<E>,
    /// Its process, counted from 0; `None`: it is down.
    pub up: Option<u32>,
    /// Processes that it has had.
    pub starts: u32,
    /// Its end is the scenario's doing.
    pub ending: bool,
    /// It is to be started again as soon as it has ended.
    pub again: bool,
    /// Reasons for its process to stand still.
    pub stops: u32,
    /// It runs one part of so many of the time for reasons that each last until then.
    pub slow: Vec<(f64, Time)>,
}

impl<E: Env> GatewayPost<E> {
    /// It runs one part of so many of the time now: of several reasons the worst counts. 1: as usual.
    pub fn slowness(&self, now: Time) -> f64 {
        worst(&self.slow, now)
    }
}

/// What is at work for a while, also on hosts that come meanwhile.
#[derive(Clone, Debug, Default)]
pub struct Weather {
    /// This share of the hosts' answers comes spoilt, until then.
    pub garble: Option<(f64, Time)>,
    /// Of a class, by its position, this share of the requests costs so many times the usual work, until then.
    pub heavy: BTreeMap<usize, (f64, f64, Time)>,
}

/// All stand-ins of a site, and its gateways.
pub struct SiteOf<S: Backend> {
    /// What is played.
    pub scenario: Scenario,
    /// All chance comes from it.
    pub seed: u64,
    /// The backend.
    pub backend: S,
    /// The truth of discovery.
    pub registry: SharedRegistry,
    /// The counter.
    pub counter: CounterHandle<S::Env>,
    /// All hosts that there have been.
    pub hosts: Vec<Machine<S::Env>>,
    /// The gateways.
    pub gateways: Vec<GatewayPost<S::Env>>,
    /// The clients.
    pub clients: Clients<S::Env>,
    /// What is at work for a while.
    pub weather: Weather,
    recorder: Recorder,
    draws: RequestSampler,
    settled: Settled,
}

impl<S: Backend> SiteOf<S> {
    /// Puts up a site whose clients begin at `start`. Its gateways are started, and given until then to get
    /// ready; those that do not start at one instant are left for the fault injector to start.
    pub fn put_up(
        scenario: Scenario,
        seed: u64,
        mut backend: S,
        start: Time,
        recorder: Recorder,
    ) -> Result<Self> {
        let draws = RequestSampler::new(seed, &scenario.traffic);
        let settled = Settled::default();
        let site = scenario.site.clone();
        let mut hosts = Vec::new();
        let maker =
            Maker { scenario: &scenario, seed, draws: &draws, settled: &settled, recorder: &recorder };
        for number in 0..site.hosts {
            let host = maker.host(&backend, number, number, &[], false);
            hosts.push(host.with_context(|| format!("cannot put up host {}", number + 1))?);
        }
        let members = hosts.iter().enumerate().map(|(n, host)| member(&scenario, n as u32, host)).collect();
        let registry = Registry::new(&site.discovery, seed, site.gateways, members);
        let registry = SharedRegistry::new(registry, recorder.clone());
        let counter = backend.start_counter(&scenario, seed, &recorder);
        let counter = counter.context("cannot put up the counter")?;
        let mut gateways = Vec::new();
        for gateway in 0..site.gateways {
            let agent = start_agent(&backend, &registry, gateway)?;
            gateways.push(GatewayPost {
                agent,
                up: None,
                starts: 0,
                ending: false,
                again: false,
                stops: 0,
                slow: Vec::new(),
            });
        }
        let doors = (0..site.gateways).map(|gateway| {
            let listens = backend.gateway_address(gateway);
            backend.dial_address(MachineRole::Clients, MachineRole::Gateway(gateway), listens)
        });
        let doors = doors.collect::<io::Result<Vec<_>>>()?;
        let clients = Clients::start(
            backend.process(MachineRole::Clients, "clients"),
            ClientConfig {
                site: site.clone(),
                traffic: scenario.traffic.clone(),
                draws: draws.clone(),
                seed,
                gateways: doors,
                scales: TrafficWindow::from_events(&scenario.events),
                leans: BuildingBias::from_events(&scenario.events),
                start,
                length: scenario.length,
                recorder: recorder.clone(),
                most_connections: (site.file_descriptors / FRONT_SHARE) as usize,
            },
        );
        let weather = Weather::default();
        // The backend is moved in last: what borrows it above is done.
        backend.take_exits();
        let mut put_up = SiteOf {
            scenario,
            seed,
            backend,
            registry,
            counter,
            hosts,
            gateways,
            clients,
            weather,
            recorder,
            draws,
            settled,
        };
        put_up.set_first_clocks()?;
        if site.start_jitter == 0 {
            (0..site.gateways).try_for_each(|gateway| put_up.start_gateway(gateway))?;
        }
        Ok(put_up)
    }

    /// Clocks that are told differently at 0 are so from the first start on. The fault injector says it once more then.
    fn set_first_clocks(&mut self) -> io::Result<()> {
        for (place, timed) in self.scenario.events.iter().enumerate().filter(|(_, timed)| timed.at == 0) {
            if let Event::ClockOffset(which, ahead) = &timed.event {
                let mut rng = Rng::stream(self.seed, "event", place as u64);
                let site = &self.scenario.site;
                let all: Vec<u32> = (0..site.gateways).collect();
                let building = |gateway: u32| gateway % site.buildings.max(1) + 1;
                for gateway in select_targets(which, site.gateways, all, building, &mut rng) {
                    self.backend.set_clock(gateway, *ahead)?;
                }
            }
        }
        Ok(())
    }

    /// Writes down a sighting of now.
    pub fn see(&self, what: ObservationKind) {
        self.recorder.see(self.backend.now(), what);
    }

    /// Starts a gateway's process, with nothing but the list of hosts that its agent has.
    pub fn start_gateway(&mut self, gateway: u32) -> Result<()> {
        let post = &mut self.gateways[gateway as usize];
        let incarnation = post.starts;
        post.starts += 1;
        post.up = Some(incarnation);
        post.ending = false;
        post.again = false;
        post.stops = 0;
        let known = self.known(gateway);
        // The list in its configuration tells a gateway of hosts as discovery does.
        known.iter().for_each(|known| self.registry.told(self.backend.now(), gateway, known));
        let document = self.document(gateway, incarnation, known.as_ref())?;
        self.backend
            .start_gateway(gateway, incarnation, &document)
            .with_context(|| format!("cannot start gateway {}", gateway + 1))?;
        self.see(ObservationKind::GatewayUp { gateway });
        Ok(())
    }

    /// How much later than the others of its kind a gateway starts.
    pub fn start_delay(&self, gateway: u32) -> Span {
        let starts = u64::from(self.gateways[gateway as usize].starts);
        let mut rng = Rng::stream(self.seed, "start", u64::from(gateway) << 32 | starts);
        rng.below(self.scenario.site.start_jitter.max(1))
    }

    /// The list of hosts that a gateway's agent has, if it is not silent.
    pub fn known(&self, gateway: u32) -> Option<DiscoveryMessage> {
        self.registry.list(self.backend.now(), gateway)
    }

    /// The configuration document of a gateway that knows this list.
    pub fn document(
        &self,
        gateway: u32,
        incarnation: u32,
        known: Option<&DiscoveryMessage>,
    ) -> Result<Value> {
        let known = known.and_then(|list| serde_json::from_str(&list.text).ok());
        let mut rng = Rng::stream(self.seed, "gateway", u64::from(gateway) << 32 | u64::from(incarnation));
        let post = MachineRole::Gateway(gateway);
        let start = GatewayStart {
            name: format!("n{gateway}"),
            listen: self.backend.gateway_address(gateway),
            discovery: self.backend.dial_address(post, post, self.gateways[gateway as usize].agent.addr())?,
            counter: self.backend.dial_address(
                post,
                MachineRole::Counter,
                self.counter.addrs()[gateway as usize],
            )?,
            seed: rng.bits(),
            known_endpoints: known
                .unwrap_or_else(|| json!({"generation": 0, "reset": true, "instances": []})),
        };
        Ok(config_document(&self.scenario, gateway, &start))
    }

    /// Moves a gateway's agent to another address; the old one closes a while later.
    pub fn move_agent(&mut self, gateway: u32) -> Result<()> {
        let agent = start_agent(&self.backend, &self.registry, gateway)?;
        let old = std::mem::replace(&mut self.gateways[gateway as usize].agent, agent);
        old.retire();
        Ok(())
    }

    /// A new host comes, cold; at a place where another was, or at one of its own.
    pub fn add_host(&mut self, place: Option<u32>) -> Result<u32> {
        let number = self.hosts.len() as u32;
        let listen: Arc<[SocketAddr]> =
            place.map_or_else(|| [].into(), |old| self.hosts[old as usize].listen.clone());
        let place = place.map_or(number, |old| self.hosts[old as usize].place);
        let host = self.maker().host(&self.backend, number, place, &listen, true)?;
        self.hosts.push(host);
        self.weather_on(number);
        self.tell(number, Lifecycle::InService, Detection::Announced);
        Ok(number)
    }

    /// A host's process starts anew where it was, cold.
    pub fn restart_host(&mut self, number: u32) -> Result<()> {
        let old = &self.hosts[number as usize];
        let (place, addrs, id) = (old.place, old.listen.clone(), old.id.clone());
        let mut host = self.maker().host(&self.backend, number, place, &addrs, true)?;
        host.id = id;
        self.hosts[number as usize] = host;
        self.weather_on(number);
        self.tell(number, Lifecycle::InService, Detection::Announced);
        Ok(())
    }

    /// Discovery gets to know how a host is now.
    pub fn tell(&self, number: u32, lifecycle: Lifecycle, notice: Detection) {
        let mut member = member(&self.scenario, number, &self.hosts[number as usize]);
        member.lifecycle = lifecycle;
        self.registry.change(self.backend.now(), member, notice);
    }

    /// Numbers of the hosts that run and are not told to go.
    pub fn in_service(&self) -> Vec<u32> {
        let runs = |host: &Machine<S::Env>| host.running.is_some() && !host.draining;
        (0..).zip(&self.hosts).filter(|(_, host)| runs(host)).map(|(number, _)| number).collect()
    }

    fn maker(&self) -> Maker<'_> {
        Maker {
            scenario: &self.scenario,
            seed: self.seed,
            draws: &self.draws,
            settled: &self.settled,
            recorder: &self.recorder,
        }
    }

    /// What is at work for a while is at work on this host too.
    fn weather_on(&self, number: u32) {
        let Some(host) = &self.hosts[number as usize].running else { return };
        if let Some((share, until)) = self.weather.garble {
            host.garble(share, until);
        }
        for (class, (share, times, until)) in &self.weather.heavy {
            host.heavy(*class, *share, *times, *until);
        }
    }
}

/// What it takes to make a host.
struct Maker<'a> {
    scenario: &'a Scenario,
    seed: u64,
    draws: &'a RequestSampler,
    settled: &'a Settled,
    recorder: &'a Recorder,
}

impl Maker<'_> {
    /// A host that listens at these addresses, or at new ones of its place.
    fn host<S: Backend>(
        &self,
        backend: &S,
        number: u32,
        place: u32,
        addrs: &[SocketAddr],
        cold: bool,
    ) -> Result<Machine<S::Env>> {
        let site = &self.scenario.site;
        let post = MachineRole::Host(place);
        let listen = match addrs {
            [] => (0..site.gateways).map(|_| backend.address(post)).collect(),
            old => old.to_vec(),
        };
        let config = HostConfig {
            number,
            spec: site.host.clone(),
            rules: site.rules.clone(),
            classes: site.classes.clone(),
            draws: self.draws.clone(),
            seed: self.seed,
            cold,
            listen,
            recorder: self.recorder.clone(),
            lag: backend.extra_latency(post),
            settled: self.settled.clone(),
        };
        let started_ms = if cold { backend.now() / MS } else { 0 };
        let running = HostStandIn::start(backend.process(post, &format!("host {}", number + 1)), config)?;
        let listen = running.addrs();
        let reached = |(gateway, at): (u32, &SocketAddr)| {
            backend.dial_address(MachineRole::Gateway(gateway), post, *at)
        };
        let addrs = (0..).zip(listen.iter()).map(reached).collect::<io::Result<Arc<[_]>>>()?;
        let id = format!("s-{:08x}", Rng::stream(self.seed, "host id", u64::from(number)).bits() as u32);
        let (draining, missed, slow) = (false, false, Vec::new());
        Ok(Machine { id, place, listen, addrs, running: Some(running), draining, missed, slow, started_ms })
    }
}

fn start_agent<S: Backend>(
    backend: &S,
    registry: &SharedRegistry,
    gateway: u32,
) -> Result<AgentStandIn<S::Env>> {
    let post = MachineRole::Gateway(gateway);
    let listen = backend.address(post);
    let config = AgentConfig { registry: registry.clone(), gateway, listen };
    let agent = AgentStandIn::start(backend.process(post, &format!("agent {}", gateway + 1)), config);
    agent.with_context(|| format!("cannot put up the agent of gateway {}", gateway + 1))
}

/// A host as discovery knows it. Cells are of three hosts of one building.
fn member<E: Env>(scenario: &Scenario, number: u32, host: &Machine<E>) -> Endpoint {
    let buildings = scenario.site.buildings.max(1);
    Endpoint {
        id: host.id.clone(),
        host: number,
        addrs: host.addrs.clone(),
        zone: zone_name(host.place % buildings),
        machine_type: machine_type(scenario),
        cell: host.place / buildings / 3 * buildings + host.place % buildings,
        lifecycle: Lifecycle::InService,
        weight: 1.0,
        started_ms: host.started_ms,
    }
}

/// Time that a site gets to start up before its clients begin.
pub const HEAD_START: Span = 2 * SECOND;
