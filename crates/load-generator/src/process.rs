//! A program under test: started on one core, ready, looked at, ended. Its figures are the system's own.

use anyhow::{bail, Context, Result};
use rustix::process::{kill_process, Pid, Signal};
use rustix::thread::{sched_getaffinity, sched_setaffinity, CpuSet};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const READY_WITHIN: Duration = Duration::from_secs(15);
const ENDS_WITHIN: Duration = Duration::from_secs(8);

/// What the system tells of a process, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Time on a core, in nanoseconds.
    pub cpu_ns: u64,
    /// Part of it in the kernel, in nanoseconds, as coarse as the system's ticks.
    pub system_ns: u64,
    /// Times that it gave its core away, and that it was taken from it.
    pub switches: u64,
    /// Memory that it has in use, in bytes.
    pub resident: u64,
    /// The most that it has had.
    pub peak: u64,
    /// What of it is the program's own: no pages of files, which the system can take back and reads in as it likes.
    pub anonymous: u64,
}

impl Usage {
    /// From this until then; memory as it is then.
    pub fn until(&self, then: &Usage) -> Usage {
        Usage {
            cpu_ns: then.cpu_ns.saturating_sub(self.cpu_ns),
            system_ns: then.system_ns.saturating_sub(self.system_ns),
            switches: then.switches.saturating_sub(self.switches),
            ..*then
        }
    }
}

/// Cores: one for the program under test, the others for the rig.
#[derive(Clone, Copy, Debug)]
pub struct Cores {
    /// The program's.
    pub program: usize,
    /// How many the rig has.
    pub rig: usize,
}

/// Takes the last core that this process may use for the program, and keeps the others. `None`: with fewer than four
/// in all, the rig and what it measures are in each other's way.
pub fn part_cores() -> Result<Option<Cores>> {
    let mine = sched_getaffinity(None).context("cannot tell which cores there are")?;
    let cores: Vec<usize> = (0..CpuSet::MAX_CPU).filter(|core| mine.is_set(*core)).collect();
    let Some((program, rig)) = cores.split_last().filter(|(_, rig)| rig.len() >= 3) else { return Ok(None) };
    let mut others = CpuSet::new();
    rig.iter().for_each(|core| others.set(*core));
    sched_setaffinity(None, &others).context("cannot keep to some cores")?;
    Ok(Some(Cores { program: *program, rig: rig.len() }))
}

/// A running program.
pub struct Program {
    child: Child,
    pid: Pid,
}

impl Program {
    /// Starts it on one core, with its log in a file.
    pub fn start(command: &mut Command, core: Option<usize>, log: &Path) -> Result<Program> {
        let log = File::create(log).with_context(|| format!("cannot write {}", log.display()))?;
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().with_context(|| format!("cannot start {:?}", command.get_program()))?;
        let pid = Pid::from_child(&child);
        if let Some(core) = core {
            let mut one = CpuSet::new();
            one.set(core);
            sched_setaffinity(Some(pid), &one).context("cannot put the program on its core")?;
        }
        Ok(Program { child, pid })
    }

    /// Waits until it answers `PING` with `+PONG`.
    pub fn until_ready(&mut self, address: SocketAddr) -> Result<()> {
        let until = Instant::now() + READY_WITHIN;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                bail!("the program ended with {status} before it was ready");
            }
            if ping(address).is_ok_and(|is_ready| is_ready) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        bail!("the program was not ready within {} s", READY_WITHIN.as_secs())
    }

    /// Stops it and lets it go on, by turns, until what is given back is dropped; it goes on then.
    pub fn halt_by_turns(&self, stop: Duration, go: Duration) -> Halting {
        let pid = self.pid;
        Halting(tokio::spawn(async move {
            loop {
                let going = Going(pid);
                let _ = kill_process(pid, Signal::STOP);
                tokio::time::sleep(stop).await;
                drop(going);
                tokio::time::sleep(go).await;
            }
        }))
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has used so far; an error once it has ended.
    pub fn usage(&self) -> Result<Usage> {
        usage(self.id())
    }

    /// Tells it to end, and waits; one that does not is killed. Whether it ended as it should.
    pub fn end(mut self) -> bool {
        let _ = kill_process(self.pid, Signal::TERM);
        let until = Instant::now() + ENDS_WITHIN;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

/// A program that is stopped by turns.
pub struct Halting(tokio::task::JoinHandle<()>);

impl Halting {
    /// Waits until it is stopped no more.
    pub async fn end(self) {
        self.0.abort();
        let _ = self.0.await;
    }
}

/// However a turn ends, the program goes on after it.
struct Going(Pid);

impl Drop for Going {
    fn drop(&mut self) {
        let _ = kill_process(self.0, Signal::CONT);
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn ping(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
    let mut answer = [0; 7];
    stream.read_exact(&mut answer)?;
    Ok(&answer == b"+PONG\r\n")
}

/// Reads what the system tells of a process and its threads.
pub fn usage(pid: u32) -> Result<Usage> {
    let read = |name: &str| fs::read_to_string(format!("/proc/{pid}/{name}"));
    let status = read("status").context("the program has ended")?;
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0)
    };
    let mut cpu_ns = 0;
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = thread?.path().join("schedstat");
        let text = fs::read_to_string(path).unwrap_or_default();
        cpu_ns += text.split_whitespace().next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0);
    }
    // Field 15; the second, in parentheses, may hold spaces.
    let stat = read("stat")?;
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace();
    let system: u64 = fields.clone().nth(12).and_then(|ticks| ticks.parse().ok()).unwrap_or(0);
    let user: u64 = fields.clone().nth(11).and_then(|ticks| ticks.parse().ok()).unwrap_or(0);
    let tick_ns = 1_000_000_000 / rustix::param::clock_ticks_per_second().max(1);
    Ok(Usage {
        // Where the scheduler keeps no figures, ticks have to do.
        cpu_ns: if cpu_ns == 0 { (user + system) * tick_ns } else { cpu_ns },
        system_ns: system * tick_ns,
        switches: field("voluntary_ctxt_switches") + field("nonvoluntary_ctxt_switches"),
        resident: field("VmRSS") << 10,
        peak: field("VmHWM") << 10,
        anonymous: (field("RssAnon") + field("RssShmem")) << 10,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rustix::time::{clock_gettime, ClockId};

    #[test]
    fn a_process_that_works_is_seen_to() {
        let cpu_time = || Duration::try_from(clock_gettime(ClockId::ProcessCPUTime)).unwrap();
        let before = usage(std::process::id()).unwrap();
        let until = cpu_time() + Duration::from_millis(60);
        let mut sum = 0u64;
        while cpu_time() < until {
            sum = sum.wrapping_mul(31).wrapping_add(7);
        }
        let used = before.until(&usage(std::process::id()).unwrap());
        assert!(used.cpu_ns > 20_000_000 && used.resident > 100_000, "{used:?} {sum}");
        assert!(usage(u32::MAX).is_err());
    }
}
