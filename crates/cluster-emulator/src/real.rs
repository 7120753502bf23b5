//! The real backend: runs the release program once per gateway, on loopback sockets, in real time.
//!
//! Links between the processes ([`links`]) emulate the network. Without them the fake services do: they add the network
//! latency to their own (`extra_latency`), and are silent towards gateways that they are partitioned from.

mod counter;
mod lag;
mod launch;
mod links;
mod logs;

pub use counter::CounterProcess;
pub(crate) use lag::LagMonitor;
pub use launch::run_child_process;
pub(crate) use links::{Pair, REPLAY_WAIT};

use crate::backend::{counter_tasks, lock, Backend, Exit, MachineRole, Signal};
use crate::counter::CounterHandle;
use crate::run::RealOptions;
use crate::trace::{LinkLine, ProcessLine};
use cluster_model::scenario::{LinkFault, Scenario, Site};
use cluster_model::MS;
use fake_services::Recorder;
use links::Links;
use logs::Watched;
use runtime::{Env, Span, SystemEnv, Time};
use rustix::process::{kill_process, Pid, Signal as UnixSignal};
use serde_json::Value;
use std::collections::btree_map::{BTreeMap, Entry};
use std::fs::File;
use std::io::{self, Seek, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::process::{Child, Command};

/// Timeout of a connection attempt that checks whether a gateway listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(5);
/// Links may use this process's descriptors divided by this number; fake services use the rest.
const LINK_DESCRIPTOR_DIVISOR: usize = 2;

/// Environment variable that sets how many milliseconds the clock of a test build is ahead.
const CLOCK_VARIABLE: &str = "FENNELBEAM_CLOCK";
/// Most process signals and starts in a trace.
const MAX_PROCESS_EVENTS: usize = 200_000;

/// Fake services and the gateways that they are partitioned from.
type PartitionedPairs = Vec<(MachineRole, u32)>;

/// A running gateway process.
struct Running {
    pid: Pid,
    /// CPU time at the last check, in clock ticks.
    cpu_ticks: u64,
    /// Nanoseconds of waiting for a core at the last check.
    cpu_wait: u64,
}

/// Overrides the program or the environment of the first process of one gateway.
#[derive(Clone, Debug)]
pub struct GatewayOverride {
    /// Gateway number, from 0.
    pub gateway: u32,
    /// Program of its first process.
    pub program: PathBuf,
    /// Additional environment variables.
    pub environment: Vec<(String, String)>,
    /// Expects the process to end itself by SIGKILL: counts as a kill by the scenario, with a restart after this time.
    pub restart_after_crash: Option<Span>,
}

/// A backend of processes and sockets.
pub struct RealBackend {
    env: SystemEnv,
    program: PathBuf,
    gateway_override: Option<GatewayOverride>,
    operators: Option<PathBuf>,
    launcher: Option<PathBuf>,
    limits: launch::Limits,
    logs: Option<PathBuf>,
    watched: Watched,
    /// Configuration documents in unnamed files, of which nothing remains if a process is killed.
    documents: BTreeMap<u32, File>,
    links: Option<Links>,
    counter: Option<CounterProcess>,
    /// Start time of the links.
    links_started: Time,
    /// Starts and signals of gateway processes: time, gateway and kind.
    process_events: Vec<(Time, u32, &'static str)>,
    extra_latency: Span,
    addresses: Vec<SocketAddr>,
    running: BTreeMap<u32, Running>,
    /// Nanoseconds by which the clocks of gateways started later are ahead.
    clocks: BTreeMap<u32, i64>,
    /// CPU time of ended processes, in clock ticks.
    ended_cpu_ticks: u64,
    exits: Arc<Mutex<Vec<Exit>>>,
    partitions: BTreeMap<u64, PartitionedPairs>,
    next_partition: u64,
    /// Changes of silences, which the run loop takes and applies to the fake services.
    pub silences: Vec<Silence>,
}

/// Sets whether a fake service is silent towards a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Machine of the fake service.
    pub role: MachineRole,
    /// Gateway number, from 0.
    pub gateway: u32,
    /// Whether the service is silent from now on.
    pub silent: bool,
    /// Whether to reset the connections of the gateway.
    pub reset: bool,
}

impl RealBackend {
    /// Creates a backend that starts the program for each gateway, with logs in a folder if one is given.
    pub fn new(site: &Site, seed: u64, options: &RealOptions<'_>) -> io::Result<RealBackend> {
        let addresses: Vec<SocketAddr> = (0..site.gateways).map(|_| unique_address()).collect();
        // Reports an address that is in use here, not by a gateway that fails to start.
        addresses.iter().try_for_each(check_free)?;
        if let Some(folder) = &options.logs {
            std::fs::create_dir_all(folder)?;
        }
        let descriptors = launch::raise_descriptor_limit();
        let env = SystemEnv::start();
        let links_started = env.now();
        let links = options
            .links
            .then(|| Links::new(site, seed, descriptors / LINK_DESCRIPTOR_DIVISOR))
            .transpose()?;
        if let (Some(links), Some(trace)) = (&links, options.replay) {
            links.replay(trace);
        }
        Ok(RealBackend {
            env,
            program: options.program.clone(),
            gateway_override: options.gateway_override.clone(),
            operators: options.operators.clone(),
            launcher: options.launcher.clone(),
            limits: launch::Limits {
                descriptors: u64::from(site.file_descriptors),
                memory_mb: u64::from(site.memory_mb),
            },
            logs: options.logs.clone(),
            watched: Watched::default(),
            documents: BTreeMap::new(),
            links,
            counter: None,
            links_started,
            process_events: Vec::new(),
            // With gateways and hosts assigned to buildings in turn, two of three hosts are in another building.
            extra_latency: if options.links { 0 } else { mean_latency(site) },
            addresses,
            running: BTreeMap::new(),
            clocks: BTreeMap::new(),
            ended_cpu_ticks: 0,
            exits: Arc::default(),
            partitions: BTreeMap::new(),
            next_partition: 0,
            silences: Vec::new(),
        })
    }

    /// Returns the runtime environment of the fake services.
    pub fn env(&self) -> SystemEnv {
        self.env
    }

    /// Returns the trace of links and processes, with times from `start`.
    pub fn trace_lines(&self, start: Time) -> Result<(Vec<LinkLine>, Vec<ProcessLine>), String> {
        let links = self.links.as_ref().ok_or("only runs with links between the processes have a trace")?;
        if self.process_events.len() >= MAX_PROCESS_EVENTS {
            return Err(format!("processes had {MAX_PROCESS_EVENTS} starts and signals or more"));
        }
        let line = |(at, gateway, told): &(Time, u32, &'static str)| ProcessLine {
            at: *at as i64 - start as i64,
            gateway: *gateway,
            told,
        };
        Ok((links.trace_lines(self.links_started, start)?, self.process_events.iter().map(line).collect()))
    }

    fn note(&mut self, gateway: u32, told: &'static str) {
        if self.process_events.len() < MAX_PROCESS_EVENTS {
            self.process_events.push((self.env.now(), gateway, told));
        }
    }

    /// Returns the CPU seconds of all gateways so far.
    pub fn cpu_s(&mut self) -> f64 {
        for running in self.running.values_mut() {
            running.cpu_ticks = cpu_ticks(running.pid).unwrap_or(running.cpu_ticks);
        }
        let ticks =
            self.ended_cpu_ticks + self.running.values().map(|running| running.cpu_ticks).sum::<u64>();
        ticks as f64 / ticks_per_s()
    }

    /// Returns the share of time that each gateway waited for a core since the last call, which was `span` ago.
    pub fn cpu_wait_shares(&mut self, span: Span) -> Vec<(u32, f64)> {
        let mut shares = Vec::new();
        for (gateway, running) in &mut self.running {
            let Some(waited) = cpu_wait_ns(running.pid) else { continue };
            shares.push((*gateway, waited.saturating_sub(running.cpu_wait) as f64 / span.max(1) as f64));
            running.cpu_wait = waited;
        }
        shares
    }

    /// Writes a gateway's document, and returns its path.
    fn write_config(&mut self, gateway: u32, document: &Value) -> io::Result<PathBuf> {
        let file = match self.documents.entry(gateway) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => entry.insert(tempfile::tempfile()?),
        };
        file.set_len(0)?;
        file.rewind()?;
        file.write_all(document.to_string().as_bytes())?;
        Ok(PathBuf::from(format!("/proc/{}/fd/{}", std::process::id(), file.as_raw_fd())))
    }

    fn links(&self) -> io::Result<&Links> {
        self.links.as_ref().ok_or_else(|| io::Error::other("link faults need --links"))
    }

    fn command(&self, program: &Path) -> Command {
        let Some(launcher) = &self.launcher else { return Command::new(program) };
        let mut command = Command::new(launcher);
        command.args(launch::gateway_args(program, self.limits));
        command
    }

    fn log(&mut self, gateway: u32, incarnation: u32) -> io::Result<Stdio> {
        let file = match &self.logs {
            Some(folder) => {
                let path = folder.join(format!("gateway-{}.{incarnation}.log", gateway + 1));
                File::options().read(true).write(true).create(true).truncate(true).open(path)?
            }
            None if self.watched.has(gateway) => tempfile::tempfile()?,
            None => return Ok(Stdio::null()),
        };
        self.watched.follow(gateway, &file)?;
        Ok(file.into())
    }

    /// Watches the log of this gateway from its next start on.
    pub fn watch_log(&mut self, gateway: u32) {
        self.watched.add(gateway);
    }

    fn silence(&mut self, partition: &PartitionedPairs, silent: bool, reset: bool) {
        let silences =
            partition.iter().map(|(role, gateway)| Silence { role: *role, gateway: *gateway, silent, reset });
        self.silences.extend(silences);
    }
}

impl Backend for RealBackend {
    type Env = SystemEnv;

    fn process(&self, _role: MachineRole, _name: &str) -> SystemEnv {
        self.env
    }

    fn address(&self, _role: MachineRole) -> SocketAddr {
        unique_address()
    }

    fn gateway_address(&self, gateway: u32) -> SocketAddr {
        self.addresses[gateway as usize]
    }

    fn extra_latency(&self, role: MachineRole) -> Span {
        if matches!(role, MachineRole::Host(_) | MachineRole::Counter) {
            self.extra_latency
        } else {
            0
        }
    }

    fn start_counter(
        &mut self,
        scenario: &Scenario,
        seed: u64,
        recorder: &Recorder,
    ) -> io::Result<CounterHandle<SystemEnv>> {
        let Some(launcher) = self.launcher.as_ref().filter(|_| self.links.is_some()) else {
            return counter_tasks(self, scenario, seed, recorder);
        };
        let addrs = (0..scenario.site.gateways).map(|_| unique_address()).collect();
        let world = (self.env, recorder.clone());
        let counter = CounterProcess::start(launcher, scenario, (seed, addrs), world)?;
        self.counter = Some(counter.clone());
        Ok(CounterHandle::Process(counter))
    }

    fn start_gateway(&mut self, gateway: u32, incarnation: u32, document: &Value) -> io::Result<()> {
        let config = self.write_config(gateway, document)?;
        let log = self.log(gateway, incarnation)?;
        let gateway_override = self
            .gateway_override
            .as_ref()
            .filter(|gateway_override| gateway_override.gateway == gateway && incarnation == 0);
        let environment = gateway_override.map_or(&[][..], |gateway_override| &gateway_override.environment);
        let clock = self.clocks.get(&gateway);
        let child = self
            .command(gateway_override.map_or(&self.program, |gateway_override| &gateway_override.program))
            .args(
                self.operators
                    .iter()
                    .flat_map(|file| ["serve".as_ref(), "--operator".as_ref(), file.as_os_str()]),
            )
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .envs(clock.map(|ahead| (CLOCK_VARIABLE, (ahead / MS as i64).to_string())))
            .env("ROUTER_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| io::Error::other("ended at once"))?;
        self.running.insert(gateway, Running { pid, cpu_ticks: 0, cpu_wait: 0 });
        let restart_after_crash =
            gateway_override.and_then(|gateway_override| gateway_override.restart_after_crash);
        self.env.spawn(wait_for_exit(child, (gateway, incarnation), restart_after_crash, self.exits.clone()));
        self.note(gateway, "start");
        Ok(())
    }

    fn set_refusing(&mut self, role: MachineRole, refusing: bool) -> io::Result<()> {
        self.links.as_ref().map_or(Ok(()), |links| links.set_refusing(role, refusing))
    }

    fn refuses_until_ready(&self, gateway: u32) -> bool {
        let address = &self.addresses[gateway as usize];
        // On loopback the system accepts at once, whether or not the gateway is scheduled.
        self.links.is_none() || TcpStream::connect_timeout(address, PROBE_TIMEOUT).is_ok()
    }

    fn replace_document(&mut self, gateway: u32, document: &Value) -> io::Result<()> {
        self.write_config(gateway, document).map(drop)
    }

    fn signal(&mut self, gateway: u32, signal: Signal) {
        self.cpu_s();
        let Some(running) = self.running.get(&gateway) else { return };
        let (told, word) = match signal {
            Signal::Reload => (UnixSignal::HUP, "reload"),
            Signal::Terminate => (UnixSignal::TERM, "terminate"),
            Signal::Kill => (UnixSignal::KILL, "kill"),
            Signal::Stop => (UnixSignal::STOP, "stop"),
            Signal::Continue => (UnixSignal::CONT, "continue"),
        };
        // The process may just have ended.
        let _ = kill_process(running.pid, told);
        self.note(gateway, word);
    }

    fn set_clock(&mut self, gateway: u32, ahead: i64) -> io::Result<()> {
        // A release build would use the machine's clock, and the run would silently test nothing.
        if !mentions_variable(&self.program, CLOCK_VARIABLE)? {
            let program = self.program.display();
            return Err(io::Error::other(format!(
                "{program} is not a test build with a settable clock (feature told-clock)"
            )));
        }
        self.clocks.insert(gateway, ahead);
        Ok(())
    }

    fn exclude_pause_from_clock(&mut self, _gateway: u32, _span: Span) -> io::Result<()> {
        Err(io::Error::other(
            "the clock of a single process cannot be stopped: run the scenario in virtual time",
        ))
    }

    fn set_suspended(&mut self, role: MachineRole, suspended: bool) -> io::Result<()> {
        match &self.counter {
            Some(counter) if role == MachineRole::Counter => {
                counter.signal(if suspended { UnixSignal::STOP } else { UnixSignal::CONT });
                Ok(())
            }
            // A host is a set of tasks in this process that stop reading and writing, while the system still receives.
            _ if role != MachineRole::Counter && self.links.is_some() => {
                let partition: PartitionedPairs =
                    (0..self.addresses.len() as u32).map(|gateway| (role, gateway)).collect();
                self.silence(&partition, suspended, false);
                Ok(())
            }
            _ => Err(io::Error::other("suspending a fake service needs --links")),
        }
    }

    fn take_exits(&mut self) -> Vec<Exit> {
        let exits = std::mem::take(&mut *lock(&self.exits));
        for exit in &exits {
            self.ended_cpu_ticks += self.running.remove(&exit.gateway).map_or(0, |running| running.cpu_ticks);
        }
        exits
    }

    fn take_log_lines(&mut self) -> Vec<(u32, String)> {
        self.watched.take_lines()
    }

    fn partition(
        &mut self,
        a: &[MachineRole],
        b: &[MachineRole],
        span: Span,
        reset: bool,
    ) -> io::Result<u64> {
        if let Some(links) = &self.links {
            links.partition(a, b, span, reset)?;
            self.next_partition += 1;
            return Ok(self.next_partition);
        }
        let partition: PartitionedPairs =
            service_gateway_pairs(a, b).chain(service_gateway_pairs(b, a)).collect();
        self.silence(&partition, true, reset);
        self.next_partition += 1;
        self.partitions.insert(self.next_partition, partition);
        Ok(self.next_partition)
    }

    fn heal(&mut self, partition: u64) {
        if let Some(partition) = self.partitions.remove(&partition) {
            self.silence(&partition, false, false);
        }
    }

    fn start_link_fault(
        &mut self,
        pairs: &[(MachineRole, MachineRole)],
        fault: &LinkFault,
        span: Span,
    ) -> io::Result<()> {
        self.links()?.fail(pairs, fault, span)
    }

    fn reset_links(&mut self, pairs: &[(MachineRole, MachineRole)]) -> io::Result<()> {
        self.links()?.reset(pairs)
    }

    fn dial_address(
        &self,
        from: MachineRole,
        to: MachineRole,
        address: SocketAddr,
    ) -> io::Result<SocketAddr> {
        self.links.as_ref().map_or(Ok(address), |links| links.dial_address((from, to), address))
    }

    fn knows_send_times(&self) -> bool {
        false
    }

    fn max_fault_delay(&self) -> Span {
        let is_replay = self.links.as_ref().is_some_and(Links::is_replay);
        if is_replay {
            links::REPLAY_WAIT
        } else {
            0
        }
    }

    fn now(&self) -> Time {
        self.env.now()
    }
}

/// Returns a listen address for one process of the site: a loopback address that no other run uses, and a port that the
/// system does not assign. So the address is free when the process restarts.
fn unique_address() -> SocketAddr {
    /// Runs of one process take their ports in turn.
    static NEXT: AtomicU32 = AtomicU32::new(0);
    /// First port and number of ports, below those that the system assigns.
    const PORT_RANGE: (u32, u32) = (10_000, 22_000);
    let port = PORT_RANGE.0 + NEXT.fetch_add(1, Ordering::Relaxed) % PORT_RANGE.1;
    // A process id has at most 22 bits.
    let [_, a, b, c] = std::process::id().to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(127, 64 | a, b, c).into(), port as u16)
}

/// Fails if the address is in use.
fn check_free(address: &SocketAddr) -> io::Result<()> {
    let bound = TcpListener::bind(address);
    bound.map(drop).map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))
}

/// Pairs the fake services of one side with the gateways of the other.
fn service_gateway_pairs<'a>(
    services: &'a [MachineRole],
    gateways: &'a [MachineRole],
) -> impl Iterator<Item = (MachineRole, u32)> + 'a {
    let gateways = gateways.iter().filter_map(|role| match role {
        MachineRole::Gateway(gateway) => Some(*gateway),
        _ => None,
    });
    let is_service = |role: &&MachineRole| matches!(role, MachineRole::Host(_) | MachineRole::Counter);
    gateways.flat_map(move |gateway| services.iter().filter(is_service).map(move |role| (*role, gateway)))
}

/// Waits for the end of a gateway process.
async fn wait_for_exit(
    mut child: Child,
    (gateway, incarnation): (u32, u32),
    restart_after_crash: Option<Span>,
    exits: Arc<Mutex<Vec<Exit>>>,
) {
    let mut restart_after = None;
    let error = match child.wait().await {
        Ok(status) if restart_after_crash.is_some() && status.signal() == Some(UnixSignal::KILL.as_raw()) => {
            restart_after = restart_after_crash;
            None
        }
        Ok(status) if status.success() => None,
        Ok(status) if status.code().is_none() => None,
        Ok(status) => Some(format!("ended with {status}")),
        Err(error) => Some(error.to_string()),
    };
    let exit = Exit { gateway, incarnation, error, restart_after };
    lock(&exits).push(exit);
}

/// Whether a program uses an environment variable: its file contains the name.
fn mentions_variable(program: &Path, variable: &str) -> io::Result<bool> {
    let bytes = std::fs::read(program)?;
    let first = variable.as_bytes()[0];
    Ok(bytes.windows(variable.len()).any(|part| part[0] == first && part == variable.as_bytes()))
}

/// Returns the mean one-way latency between a gateway and a host.
fn mean_latency(site: &Site) -> Span {
    let buildings = u64::from(site.buildings.max(1));
    let network = &site.network;
    (network.intra_building + network.inter_building * (buildings - 1)) / buildings
}

/// Returns the user and system time of a process, in clock ticks.
fn cpu_ticks(pid: Pid) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", pid.as_raw_nonzero())).ok()?;
    // Fields 14 and 15; field 2, in parentheses, may contain spaces.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
}

/// Returns the nanoseconds that a runnable process waited for a core.
fn cpu_wait_ns(pid: Pid) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", pid.as_raw_nonzero())).ok()?;
    stat.split_whitespace().nth(1)?.parse().ok()
}

fn ticks_per_s() -> f64 {
    rustix::param::clock_ticks_per_second() as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_an_address_that_is_in_use() {
        let other = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = other.local_addr().unwrap();
        let said = check_free(&address).unwrap_err().to_string();
        assert!(said.starts_with(&format!("{address}: ")), "{said}");
        drop(other);
        check_free(&address).unwrap();
    }

    #[test]
    fn a_partition_pairs_the_services_of_each_building_with_the_gateways_of_the_other() {
        let one = [MachineRole::Gateway(0), MachineRole::Host(0), MachineRole::Counter];
        let two = [MachineRole::Gateway(1), MachineRole::Host(1)];
        let partition: Vec<_> =
            service_gateway_pairs(&one, &two).chain(service_gateway_pairs(&two, &one)).collect();
        assert_eq!(
            partition,
            [(MachineRole::Host(0), 1), (MachineRole::Counter, 1), (MachineRole::Host(1), 0)]
        );
    }
}
