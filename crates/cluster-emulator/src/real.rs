//! The real stage: the release program once per gateway, on loopback sockets, in real time. What the network
//! does on the virtual stage, links between the processes do here ([`wires`]); without them the stand-ins do: they
//! take the way's time into their own (`lag`), and say nothing to gateways that they are cut off from.

mod counter;
mod lag;
mod launch;
mod logs;
mod wires;

pub use counter::CounterProcess;
pub(crate) use lag::Lag;
pub use launch::become_process;
pub(crate) use wires::{Pair, WAIT};

use crate::counter::CounterOf;
use crate::play::RealOptions;
use crate::stage::{counter_tasks, lock, Exit, Post, Signal, Stage};
use crate::trace::{LinkLine, ProcessLine};
use cluster_model::scenario::{LinkFault, Scenario, Site};
use cluster_model::MS;
use fake_services::Recorder;
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
use wires::Wires;

/// A gateway that listens is connected to sooner.
const PROBE: Duration = Duration::from_millis(5);
/// Links may hold one of so many of this process's descriptors; stand-ins have the rest.
const LINKS_SHARE: usize = 2;

/// By this a test build is told by how many milliseconds its clock is ahead.
const CLOCK: &str = "FENNELBEAM_CLOCK";
/// What processes may be told for a trace of it.
const MOST_TOLD: usize = 200_000;

/// What a cut parts: stand-ins and the gateways that they are silent to.
type CutOff = Vec<(Post, u32)>;

/// A gateway's process that runs.
struct Running {
    pid: Pid,
    /// CPU that it had taken when it was last looked at, in clock ticks.
    cpu: u64,
    /// Nanoseconds that it had waited for a core then.
    waited: u64,
}

/// A gateway whose first process is another program, or has a world of its own; its later ones are as all others.
#[derive(Clone, Debug)]
pub struct Special {
    /// Which, counted from 0.
    pub gateway: u32,
    /// The program.
    pub program: PathBuf,
    /// Environment variables that it gets besides.
    pub environment: Vec<(String, String)>,
    /// It may end itself by SIGKILL: that counts as the scenario's doing, and it is started again after this.
    pub dies: Option<Span>,
}

/// A stage of processes and sockets.
pub struct RealStage {
    env: SystemEnv,
    program: PathBuf,
    special: Option<Special>,
    operators: Option<PathBuf>,
    launcher: Option<PathBuf>,
    limits: launch::Limits,
    logs: Option<PathBuf>,
    watched: Watched,
    /// Configuration documents, in files without a name: nothing is left of them whoever is killed.
    documents: BTreeMap<u32, File>,
    wires: Option<Wires>,
    counter: Option<CounterProcess>,
    /// When the links were started.
    wired: Time,
    /// What processes of gateways were told: when, which, what.
    told: Vec<(Time, u32, &'static str)>,
    lag: Span,
    addresses: Vec<SocketAddr>,
    running: BTreeMap<u32, Running>,
    /// Nanoseconds by which clocks of gateways that start from now on are ahead.
    clocks: BTreeMap<u32, i64>,
    /// CPU of processes that have ended, in clock ticks.
    spent: u64,
    exits: Arc<Mutex<Vec<Exit>>>,
    cuts: BTreeMap<u64, CutOff>,
    next_cut: u64,
    /// What is silent for whom: the director asks for it after each change.
    pub silences: Vec<Silence>,
}

/// A stand-in that has to be silent, or to speak again, to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// The stand-in's machine.
    pub post: Post,
    /// The gateway.
    pub gateway: u32,
    /// Silent; else it speaks again.
    pub silent: bool,
    /// Its connections are reset.
    pub reset: bool,
}

impl RealStage {
    /// A stage that starts the program for each gateway, with logs in a folder if one is given.
    pub fn new(site: &Site, seed: u64, options: &RealOptions<'_>) -> io::Result<RealStage> {
        let addresses: Vec<SocketAddr> = (0..site.gateways).map(|_| own_address()).collect();
        // One that somebody else has is told of here, and not by a gateway that ends.
        addresses.iter().try_for_each(is_free)?;
        if let Some(folder) = &options.logs {
            std::fs::create_dir_all(folder)?;
        }
        let descriptors = launch::most_descriptors();
        let env = SystemEnv::start();
        let wired = env.now();
        let wires = options.links.then(|| Wires::new(site, seed, descriptors / LINKS_SHARE)).transpose()?;
        if let (Some(wires), Some(trace)) = (&wires, options.replay) {
            wires.replay(trace);
        }
        Ok(RealStage {
            env,
            program: options.program.clone(),
            special: options.special.clone(),
            operators: options.operators.clone(),
            launcher: options.launcher.clone(),
            limits: launch::Limits {
                descriptors: u64::from(site.file_descriptors),
                memory_mb: u64::from(site.memory_mb),
            },
            logs: options.logs.clone(),
            watched: Watched::default(),
            documents: BTreeMap::new(),
            wires,
            counter: None,
            wired,
            told: Vec::new(),
            // Two of three hosts are in another building, as gateways and hosts are dealt out in turn.
            lag: if options.links { 0 } else { mean_way(site) },
            addresses,
            running: BTreeMap::new(),
            clocks: BTreeMap::new(),
            spent: 0,
            exits: Arc::default(),
            cuts: BTreeMap::new(),
            next_cut: 0,
            silences: Vec::new(),
        })
    }

    /// The world of the stand-ins.
    pub fn env(&self) -> SystemEnv {
        self.env
    }

    /// What links and processes did, in times from `start`.
    pub fn done(&self, start: Time) -> Result<(Vec<LinkLine>, Vec<ProcessLine>), String> {
        let wires = self.wires.as_ref().ok_or("only runs with links between the processes have a trace")?;
        if self.told.len() >= MOST_TOLD {
            return Err(format!("processes were told {MOST_TOLD} things or more"));
        }
        let line = |(at, gateway, told): &(Time, u32, &'static str)| ProcessLine {
            at: *at as i64 - start as i64,
            gateway: *gateway,
            told,
        };
        Ok((wires.done(self.wired, start)?, self.told.iter().map(line).collect()))
    }

    fn note(&mut self, gateway: u32, told: &'static str) {
        if self.told.len() < MOST_TOLD {
            self.told.push((self.env.now(), gateway, told));
        }
    }

    /// Seconds of CPU that all gateways together have taken so far.
    pub fn cpu_s(&mut self) -> f64 {
        for running in self.running.values_mut() {
            running.cpu = cpu_ticks(running.pid).unwrap_or(running.cpu);
        }
        let ticks = self.spent + self.running.values().map(|running| running.cpu).sum::<u64>();
        ticks as f64 / ticks_per_s()
    }

    /// How long gateways have waited for a core, as a share of the time since this was last asked, which is `span`.
    pub fn waits(&mut self, span: Span) -> Vec<(u32, f64)> {
        let mut shares = Vec::new();
        for (gateway, running) in &mut self.running {
            let Some(waited) = waited(running.pid) else { continue };
            shares.push((*gateway, waited.saturating_sub(running.waited) as f64 / span.max(1) as f64));
            running.waited = waited;
        }
        shares
    }

    /// Writes a gateway's document, and says where the gateway finds it.
    fn write_config(&mut self, gateway: u32, document: &Value) -> io::Result<PathBuf> {
        let file = match self.documents.entry(gateway) {
            Entry::Occupied(there) => there.into_mut(),
            Entry::Vacant(none) => none.insert(tempfile::tempfile()?),
        };
        file.set_len(0)?;
        file.rewind()?;
        file.write_all(document.to_string().as_bytes())?;
        Ok(PathBuf::from(format!("/proc/{}/fd/{}", std::process::id(), file.as_raw_fd())))
    }

    fn wires(&self) -> io::Result<&Wires> {
        self.wires.as_ref().ok_or_else(|| io::Error::other("links fail only with --links"))
    }

    fn command(&self, program: &Path) -> Command {
        let Some(launcher) = &self.launcher else { return Command::new(program) };
        let mut command = Command::new(launcher);
        command.args(launch::words(program, self.limits));
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

    /// Looks for lines in the log of this gateway from its next start on.
    pub fn watch_log(&mut self, gateway: u32) {
        self.watched.add(gateway);
    }

    fn silence(&mut self, cut: &CutOff, silent: bool, reset: bool) {
        let silences =
            cut.iter().map(|(post, gateway)| Silence { post: *post, gateway: *gateway, silent, reset });
        self.silences.extend(silences);
    }
}

impl Stage for RealStage {
    type Env = SystemEnv;

    fn process(&self, _post: Post, _name: &str) -> SystemEnv {
        self.env
    }

    fn address(&self, _post: Post) -> SocketAddr {
        own_address()
    }

    fn gateway_address(&self, gateway: u32) -> SocketAddr {
        self.addresses[gateway as usize]
    }

    fn lag(&self, post: Post) -> Span {
        if matches!(post, Post::Host(_) | Post::Counter) {
            self.lag
        } else {
            0
        }
    }

    fn start_counter(
        &mut self,
        scenario: &Scenario,
        seed: u64,
        recorder: &Recorder,
    ) -> io::Result<CounterOf<SystemEnv>> {
        let Some(launcher) = self.launcher.as_ref().filter(|_| self.wires.is_some()) else {
            return counter_tasks(self, scenario, seed, recorder);
        };
        let addrs = (0..scenario.site.gateways).map(|_| own_address()).collect();
        let world = (self.env, recorder.clone());
        let counter = CounterProcess::start(launcher, scenario, (seed, addrs), world)?;
        self.counter = Some(counter.clone());
        Ok(CounterOf::Process(counter))
    }

    fn start_gateway(&mut self, gateway: u32, incarnation: u32, document: &Value) -> io::Result<()> {
        let config = self.write_config(gateway, document)?;
        let log = self.log(gateway, incarnation)?;
        let special = self.special.as_ref().filter(|one| one.gateway == gateway && incarnation == 0);
        let environment = special.map_or(&[][..], |one| &one.environment);
        let clock = self.clocks.get(&gateway);
        let child = self
            .command(special.map_or(&self.program, |one| &one.program))
            .args(
                self.operators
                    .iter()
                    .flat_map(|file| ["serve".as_ref(), "--operator".as_ref(), file.as_os_str()]),
            )
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .envs(clock.map(|ahead| (CLOCK, (ahead / MS as i64).to_string())))
            .env("ROUTER_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| io::Error::other("ended at once"))?;
        self.running.insert(gateway, Running { pid, cpu: 0, waited: 0 });
        let dies = special.and_then(|one| one.dies);
        self.env.spawn(wait(child, (gateway, incarnation), dies, self.exits.clone()));
        self.note(gateway, "start");
        Ok(())
    }

    fn refuse(&mut self, post: Post, gone: bool) -> io::Result<()> {
        self.wires.as_ref().map_or(Ok(()), |wires| wires.refuse(post, gone))
    }

    fn refuses_well(&self, gateway: u32) -> bool {
        let address = &self.addresses[gateway as usize];
        // On loopback it answers at once, whether or not it is scheduled: the system does.
        self.wires.is_none() || TcpStream::connect_timeout(address, PROBE).is_ok()
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
        // It may have ended just now.
        let _ = kill_process(running.pid, told);
        self.note(gateway, word);
    }

    fn set_clock(&mut self, gateway: u32, ahead: i64) -> io::Result<()> {
        // A release would go by the machine's clock, and the run would seem to show what it does not.
        if !knows(&self.program, CLOCK)? {
            let program = self.program.display();
            return Err(io::Error::other(format!(
                "{program} is no test build that can be told a clock (feature told-clock)"
            )));
        }
        self.clocks.insert(gateway, ahead);
        Ok(())
    }

    fn clock_stood_still(&mut self, _gateway: u32, _span: Span) -> io::Result<()> {
        Err(io::Error::other("the system's clock stands still for no process: play it in virtual time"))
    }

    fn stand_still(&mut self, post: Post, still: bool) -> io::Result<()> {
        match &self.counter {
            Some(counter) if post == Post::Counter => {
                counter.signal(if still { UnixSignal::STOP } else { UnixSignal::CONT });
                Ok(())
            }
            // A host is tasks of this process that hear and say nothing: its system takes in what comes meanwhile.
            _ if post != Post::Counter && self.wires.is_some() => {
                let cut: CutOff = (0..self.addresses.len() as u32).map(|gateway| (post, gateway)).collect();
                self.silence(&cut, still, false);
                Ok(())
            }
            _ => Err(io::Error::other("a stand-in's process stands still only with --links")),
        }
    }

    fn exits(&mut self) -> Vec<Exit> {
        let exits = std::mem::take(&mut *lock(&self.exits));
        for exit in &exits {
            self.spent += self.running.remove(&exit.gateway).map_or(0, |running| running.cpu);
        }
        exits
    }

    fn logged(&mut self) -> Vec<(u32, String)> {
        self.watched.lines()
    }

    fn cut(&mut self, a: &[Post], b: &[Post], span: Span, reset: bool) -> io::Result<u64> {
        if let Some(wires) = &self.wires {
            wires.cut(a, b, span, reset)?;
            self.next_cut += 1;
            return Ok(self.next_cut);
        }
        let cut: CutOff = pairs(a, b).chain(pairs(b, a)).collect();
        self.silence(&cut, true, reset);
        self.next_cut += 1;
        self.cuts.insert(self.next_cut, cut);
        Ok(self.next_cut)
    }

    fn heal(&mut self, cut: u64) {
        if let Some(cut) = self.cuts.remove(&cut) {
            self.silence(&cut, false, false);
        }
    }

    fn fail_links(&mut self, pairs: &[(Post, Post)], fault: &LinkFault, span: Span) -> io::Result<()> {
        self.wires()?.fail(pairs, fault, span)
    }

    fn reset_links(&mut self, pairs: &[(Post, Post)]) -> io::Result<()> {
        self.wires()?.reset(pairs)
    }

    fn reach(&self, from: Post, to: Post, address: SocketAddr) -> io::Result<SocketAddr> {
        self.wires.as_ref().map_or(Ok(address), |wires| wires.reach((from, to), address))
    }

    fn knows_when_sent(&self) -> bool {
        false
    }

    fn late_by(&self) -> Span {
        let replays = self.wires.as_ref().is_some_and(Wires::replays);
        if replays {
            wires::WAIT
        } else {
            0
        }
    }

    fn now(&self) -> Time {
        self.env.now()
    }
}

/// Where one process of the site listens: at a loopback address that no other rehearsal takes, and at a port that the
/// system picks for nobody. So each finds its own free when it comes back.
fn own_address() -> SocketAddr {
    /// Rehearsals of one process take their ports in turn.
    static NEXT: AtomicU32 = AtomicU32::new(0);
    /// The first, and how many: below those that the system picks.
    const PORTS: (u32, u32) = (10_000, 22_000);
    let port = PORTS.0 + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS.1;
    // A process id has 22 bits at the most.
    let [_, a, b, c] = std::process::id().to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(127, 64 | a, b, c).into(), port as u16)
}

/// Whether nobody listens there.
fn is_free(address: &SocketAddr) -> io::Result<()> {
    let bound = TcpListener::bind(address);
    bound.map(drop).map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))
}

/// Stand-ins of one side with the gateways of the other.
fn pairs<'a>(standins: &'a [Post], gateways: &'a [Post]) -> impl Iterator<Item = (Post, u32)> + 'a {
    let gateways = gateways.iter().filter_map(|post| match post {
        Post::Gateway(gateway) => Some(*gateway),
        _ => None,
    });
    let here = |post: &&Post| matches!(post, Post::Host(_) | Post::Counter);
    gateways.flat_map(move |gateway| standins.iter().filter(here).map(move |post| (*post, gateway)))
}

/// Waits for the end of a gateway's process.
async fn wait(
    mut child: Child,
    (gateway, incarnation): (u32, u32),
    dies: Option<Span>,
    exits: Arc<Mutex<Vec<Exit>>>,
) {
    let mut arranged = None;
    let error = match child.wait().await {
        Ok(status) if dies.is_some() && status.signal() == Some(UnixSignal::KILL.as_raw()) => {
            arranged = dies;
            None
        }
        Ok(status) if status.success() => None,
        Ok(status) if status.code().is_none() => None,
        Ok(status) => Some(format!("ended with {status}")),
        Err(error) => Some(error.to_string()),
    };
    let exit = Exit { gateway, incarnation, error, arranged };
    lock(&exits).push(exit);
}

/// Whether a program knows of an environment variable: its name stands in it.
fn knows(program: &Path, variable: &str) -> io::Result<bool> {
    let bytes = std::fs::read(program)?;
    let first = variable.as_bytes()[0];
    Ok(bytes.windows(variable.len()).any(|part| part[0] == first && part == variable.as_bytes()))
}

/// The mean way between a gateway and a host.
fn mean_way(site: &Site) -> Span {
    let buildings = u64::from(site.buildings.max(1));
    let network = &site.network;
    (network.intra_building + network.inter_building * (buildings - 1)) / buildings
}

/// User and system time of a process, in clock ticks.
fn cpu_ticks(pid: Pid) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", pid.as_raw_nonzero())).ok()?;
    // Fields 14 and 15; the second, in parentheses, may hold spaces.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
}

/// Nanoseconds that a process could have run and waited for a core.
fn waited(pid: Pid) -> Option<u64> {
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
    fn a_port_that_somebody_else_has_is_named() {
        let other = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = other.local_addr().unwrap();
        let said = is_free(&address).unwrap_err().to_string();
        assert!(said.starts_with(&format!("{address}: ")), "{said}");
        drop(other);
        is_free(&address).unwrap();
    }

    #[test]
    fn a_cut_between_buildings_leaves_each_to_itself() {
        let one = [Post::Gateway(0), Post::Host(0), Post::Counter];
        let two = [Post::Gateway(1), Post::Host(1)];
        let cut: Vec<_> = pairs(&one, &two).chain(pairs(&two, &one)).collect();
        assert_eq!(cut, [(Post::Host(0), 1), (Post::Counter, 1), (Post::Host(1), 0)]);
    }
}
