//! The real stage: the release program once per gateway, on loopback sockets, in real time. What the network
//! does on the virtual stage, the stand-ins do here: they take the way's time into their own (`lag`), and say
//! nothing to gateways that they are cut off from.

use crate::stage::{lock, Exit, Post, Signal, Stage};
use fennelbeam_env::{Env, Real, Span, Time};
use fennelbeam_model::scenario::{LinkFault, Site};
use rustix::process::{kill_process, Pid, Signal as UnixSignal};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use tempfile::TempDir;
use tokio::process::{Child, Command};

/// What a cut parts: stand-ins and the gateways that they are silent to.
type CutOff = Vec<(Post, u32)>;

/// A gateway's process that runs.
struct Running {
    pid: Pid,
    /// CPU that it had taken when it was last looked at, in clock ticks.
    cpu: u64,
}

/// A stage of processes and sockets.
pub struct RealStage {
    env: Real,
    program: PathBuf,
    logs: Option<PathBuf>,
    folder: TempDir,
    lag: Span,
    addresses: Vec<SocketAddr>,
    running: BTreeMap<u32, Running>,
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
    /// A stage that starts `program` for each gateway, with logs in a folder if one is given.
    pub fn new(site: &Site, program: &Path, logs: Option<PathBuf>) -> io::Result<RealStage> {
        let loopback = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        // All are held until all are known, so that no two are the same.
        let held = (0..site.gateways).map(|_| loopback()).collect::<io::Result<Vec<_>>>()?;
        let addresses = held.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        if let Some(folder) = &logs {
            std::fs::create_dir_all(folder)?;
        }
        Ok(RealStage {
            env: Real::start(),
            program: program.to_owned(),
            logs,
            folder: tempfile::tempdir()?,
            // Two of three hosts are in another building, as gateways and hosts are dealt out in turn.
            lag: mean_way(site),
            addresses,
            running: BTreeMap::new(),
            spent: 0,
            exits: Arc::default(),
            cuts: BTreeMap::new(),
            next_cut: 0,
            silences: Vec::new(),
        })
    }

    /// The world of the stand-ins.
    pub fn env(&self) -> Real {
        self.env
    }

    /// Seconds of CPU that all gateways together have taken so far.
    pub fn cpu_s(&mut self) -> f64 {
        for running in self.running.values_mut() {
            running.cpu = cpu_ticks(running.pid).unwrap_or(running.cpu);
        }
        let ticks = self.spent + self.running.values().map(|running| running.cpu).sum::<u64>();
        ticks as f64 / ticks_per_s()
    }

    fn config(&self, gateway: u32) -> PathBuf {
        self.folder.path().join(format!("gateway-{}.json", gateway + 1))
    }

    /// Replaced whole, as a deployment does.
    fn write_config(&self, gateway: u32, document: &Value) -> io::Result<()> {
        let (path, new) = (self.config(gateway), self.folder.path().join("new.json"));
        std::fs::write(&new, document.to_string())?;
        std::fs::rename(new, path)
    }

    fn log(&self, gateway: u32, incarnation: u32) -> io::Result<Stdio> {
        let Some(folder) = &self.logs else { return Ok(Stdio::null()) };
        let name = format!("gateway-{}.{incarnation}.log", gateway + 1);
        Ok(File::create(folder.join(name))?.into())
    }

    fn silence(&mut self, cut: &CutOff, silent: bool, reset: bool) {
        let silences =
            cut.iter().map(|(post, gateway)| Silence { post: *post, gateway: *gateway, silent, reset });
        self.silences.extend(silences);
    }
}

impl Stage for RealStage {
    type Env = Real;

    fn process(&self, _post: Post, _name: &str) -> Real {
        self.env
    }

    fn address(&self, _post: Post) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0)
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

    fn start_gateway(&mut self, gateway: u32, incarnation: u32, document: &Value) -> io::Result<()> {
        self.write_config(gateway, document)?;
        let child = Command::new(&self.program)
            .env("ROUTER_CONFIG", self.config(gateway))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(self.log(gateway, incarnation)?)
            .kill_on_drop(true)
            .spawn()?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| io::Error::other("ended at once"))?;
        self.running.insert(gateway, Running { pid, cpu: 0 });
        self.env.spawn(wait(child, gateway, incarnation, self.exits.clone()));
        Ok(())
    }

    fn replace_document(&mut self, gateway: u32, document: &Value) -> io::Result<()> {
        self.write_config(gateway, document)
    }

    fn signal(&mut self, gateway: u32, signal: Signal) {
        self.cpu_s();
        let Some(running) = self.running.get(&gateway) else { return };
        let told = match signal {
            Signal::Reload => UnixSignal::HUP,
            Signal::Terminate => UnixSignal::TERM,
            Signal::Kill => UnixSignal::KILL,
            Signal::Stop => UnixSignal::STOP,
            Signal::Continue => UnixSignal::CONT,
        };
        // It may have ended just now.
        let _ = kill_process(running.pid, told);
    }

    fn exits(&mut self) -> Vec<Exit> {
        let exits = std::mem::take(&mut *lock(&self.exits));
        for exit in &exits {
            self.spent += self.running.remove(&exit.gateway).map_or(0, |running| running.cpu);
        }
        exits
    }

    fn cut(&mut self, a: &[Post], b: &[Post], _span: Span, reset: bool) -> io::Result<u64> {
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

    fn fail_links(&mut self, _: &[(Post, Post)], _: &LinkFault, _: Span) -> io::Result<()> {
        Err(io::Error::other("links fail only with --links"))
    }

    fn reset_links(&mut self, _: &[(Post, Post)]) -> io::Result<()> {
        Err(io::Error::other("links fail only with --links"))
    }

    fn knows_when_sent(&self) -> bool {
        false
    }

    fn now(&self) -> Time {
        self.env.now()
    }
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
async fn wait(mut child: Child, gateway: u32, incarnation: u32, exits: Arc<Mutex<Vec<Exit>>>) {
    let error = match child.wait().await {
        Ok(status) if status.success() => None,
        Ok(status) if status.code().is_none() => None,
        Ok(status) => Some(format!("ended with {status}")),
        Err(error) => Some(error.to_string()),
    };
    let exit = Exit { gateway, incarnation, error };
    lock(&exits).push(exit);
}

/// The mean way between a gateway and a host.
fn mean_way(site: &Site) -> Span {
    let buildings = u64::from(site.buildings.max(1));
    let network = &site.network;
    (network.same + network.cross * (buildings - 1)) / buildings
}

/// User and system time of a process, in clock ticks.
fn cpu_ticks(pid: Pid) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", pid.as_raw_nonzero())).ok()?;
    // Fields 14 and 15; the second, in parentheses, may hold spaces.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
}

fn ticks_per_s() -> f64 {
    rustix::param::clock_ticks_per_second() as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cut_between_buildings_leaves_each_to_itself() {
        let one = [Post::Gateway(0), Post::Host(0), Post::Counter];
        let two = [Post::Gateway(1), Post::Host(1)];
        let cut: Vec<_> = pairs(&one, &two).chain(pairs(&two, &one)).collect();
        assert_eq!(cut, [(Post::Host(0), 1), (Post::Counter, 1), (Post::Host(1), 0)]);
    }
}
