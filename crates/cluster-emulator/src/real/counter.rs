//! The counter as a process of its own: it dies by SIGKILL with all that it knew, and stands still by SIGSTOP while
//! its system takes connections and bytes in, neither of which tasks among others can show.
//!
//! It is this program once more ([`super::launch`]). What it is like comes in a file without a name, the scenario
//! among it; what happens to it meanwhile comes on its standard input, a line each; and each call that it has
//! settled goes out on its standard output, a bounded line each, with the time on the clock of the one who judges.

use crate::counter::act;
use crate::stage::lock;
use cluster_model::file;
use cluster_model::observation::{Observation, ObservationKind};
use cluster_model::scenario::Scenario;
use cluster_model::MS;
use fake_services::counter::{CounterConfig, CounterStandIn};
use fake_services::Recorder;
use runtime::{Env, Span, SystemEnv, Time};
use rustix::process::{kill_process, Pid, Signal};
use rustix::time::{clock_gettime, ClockId};
use serde_json::{json, Value};
use std::fs::File;
use std::io::{self, Seek, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, AsRawFd};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::unix::pipe;
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

/// Settled calls go out this often.
const FLUSH: Span = 5 * MS;
/// Bytes of a line that tells of a call.
const LONGEST: u64 = 200;
/// A first process listens within this, or the site is not put up.
const PATIENCE: Duration = Duration::from_secs(10);
/// One that listens is connected to sooner.
const PROBE: Duration = Duration::from_millis(5);
/// Two clocks are read together when it took no longer than this.
const TOGETHER: u64 = 100_000;
/// Tries to do so.
const READINGS: u32 = 20;

/// A handle of the counter's process. Clones are of the same one.
#[derive(Clone)]
pub struct CounterProcess(Arc<Inner>);

struct Inner {
    launcher: PathBuf,
    addrs: Vec<SocketAddr>,
    document: File,
    recorder: Recorder,
    state: Mutex<State>,
    troubles: Mutex<Vec<String>>,
}

#[derive(Default)]
struct State {
    running: Option<Running>,
    is_open: bool,
    /// Reasons for which its machine has no power.
    dark: u32,
}

struct Running {
    pid: Pid,
    orders: ChildStdin,
}

impl CounterProcess {
    /// Starts it, and waits until it listens.
    pub(super) fn start(
        launcher: &Path,
        scenario: &Scenario,
        (seed, addrs): (u64, Vec<SocketAddr>),
        (env, recorder): (SystemEnv, Recorder),
    ) -> io::Result<CounterProcess> {
        let (now, monotonic) = read_together(&env);
        let config = json!({
            "name": scenario.name, "scenario": file::to_text(scenario), "seed": seed, "listen": addrs,
            "now": now, "monotonic": monotonic,
        });
        let mut document = tempfile::tempfile()?;
        document.write_all(config.to_string().as_bytes())?;
        document.rewind()?;
        let (state, troubles) = (Mutex::default(), Mutex::default());
        let launcher = launcher.to_owned();
        let counter =
            CounterProcess(Arc::new(Inner { launcher, addrs, document, recorder, state, troubles }));
        counter.spawn()?;
        let until = Instant::now() + PATIENCE;
        while !counter.listens() {
            if Instant::now() > until {
                return Err(io::Error::other("the counter's process does not listen"));
            }
            std::thread::sleep(PROBE);
        }
        Ok(counter)
    }

    fn spawn(&self) -> io::Result<()> {
        let Inner { launcher, document, recorder, .. } = &*self.0;
        let document = format!("/proc/{}/fd/{}", std::process::id(), document.as_raw_fd());
        let mut command = Command::new(launcher);
        command.args(super::launch::stand_in_words(document.as_ref())).kill_on_drop(true);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let (Some(pid), Some(orders), Some(calls)) = (pid, child.stdin.take(), child.stdout.take()) else {
            return Err(io::Error::other("the counter's process ended at once"));
        };
        lock(&self.0.state).running = Some(Running { pid, orders });
        tokio::spawn(hear(self.clone(), child, pid, calls, recorder.clone()));
        Ok(())
    }

    pub(crate) fn addrs(&self) -> &[SocketAddr] {
        &self.0.addrs
    }

    pub(crate) fn open(&self) -> io::Result<()> {
        lock(&self.0.state).is_open = true;
        self.order("open\n")
    }

    pub(crate) fn event(&self, place: usize) -> io::Result<()> {
        self.order(&format!("event {place}\n"))
    }

    /// One that is down hears of nothing.
    fn order(&self, line: &str) -> io::Result<()> {
        let state = lock(&self.0.state);
        let Some(running) = &state.running else { return Ok(()) };
        // A few bytes into an empty pipe, without waiting for a reader that may stand still.
        let wrote = rustix::io::write(running.orders.as_fd(), line.as_bytes())?;
        if wrote == line.len() {
            return Ok(());
        }
        Err(io::Error::other("the counter's process does not hear"))
    }

    pub(crate) fn kill(&self) {
        lock(&self.0.state).dark += 1;
        self.signal(Signal::KILL);
        lock(&self.0.state).running = None;
    }

    pub(crate) fn start_anew(&self) -> io::Result<bool> {
        let mut state = lock(&self.0.state);
        state.dark = state.dark.saturating_sub(1);
        let (is_due, is_open) = (state.dark == 0 && state.running.is_none(), state.is_open);
        drop(state);
        if !is_due {
            return Ok(false);
        }
        self.spawn()?;
        if is_open {
            self.order("open\n")?;
        }
        Ok(true)
    }

    /// Its listeners come up in turn, and this is the last.
    pub(crate) fn listens(&self) -> bool {
        let last = self.0.addrs.last();
        last.is_none_or(|last| TcpStream::connect_timeout(last, PROBE).is_ok())
    }

    pub(crate) fn troubles(&self) -> Vec<String> {
        std::mem::take(&mut *lock(&self.0.troubles))
    }

    /// A process is no more. Whether it was thought to run.
    fn forget(&self, pid: Pid) -> bool {
        let mut state = lock(&self.0.state);
        let is_known = state.running.as_ref().is_some_and(|running| running.pid == pid);
        if is_known {
            state.running = None;
        }
        is_known
    }

    pub(super) fn signal(&self, signal: Signal) {
        if let Some(running) = &lock(&self.0.state).running {
            // It may have ended just now.
            let _ = kill_process(running.pid, signal);
        }
    }
}

/// Takes down what a process tells, until it ends.
async fn hear(counter: CounterProcess, mut child: Child, pid: Pid, calls: ChildStdout, recorder: Recorder) {
    let mut calls = BufReader::new(calls);
    let mut line = String::new();
    let trouble = loop {
        line.clear();
        match (&mut calls).take(LONGEST).read_line(&mut line).await {
            Ok(0) => break "ended",
            Ok(_) => {}
            Err(_) => break "cannot be read",
        }
        match read(&line) {
            Some(seen) => recorder.see(seen.at, seen.kind),
            // The last line of one that was killed may be half of one.
            None if !line.ends_with('\n') => {}
            None => break "says what is no call",
        }
    };
    if counter.forget(pid) {
        lock(&counter.0.troubles).push(format!("the counter's process {trouble}"));
    }
    // Nothing is to be done where it cannot be waited for.
    let _ = child.kill().await;
}

/// A call as a line.
fn write(seen: &Observation) -> Option<String> {
    let ObservationKind::CounterCall {
        gateway,
        amount,
        added,
        answered,
        rejected: turned_away,
        duration: took,
    } = seen.kind
    else {
        return None;
    };
    Some(format!("{} {gateway} {amount} {added} {answered} {turned_away} {took}\n", seen.at))
}

fn read(line: &str) -> Option<Observation> {
    let words: Vec<&str> = line.strip_suffix('\n')?.split(' ').collect();
    let [at, gateway, amount, added, answered, turned_away, took] = words[..] else { return None };
    let what = ObservationKind::CounterCall {
        gateway: gateway.parse().ok()?,
        amount: amount.parse().ok()?,
        added: added.parse().ok()?,
        answered: answered.parse().ok()?,
        rejected: turned_away.parse().ok()?,
        duration: took.parse().ok()?,
    };
    Some(Observation { at: at.parse().ok()?, kind: what })
}

/// Nanoseconds of the clock that all processes of a machine share.
fn monotonic() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// What two clocks show at one moment.
fn read_together(env: &SystemEnv) -> (Time, u64) {
    let mut read = (env.now(), monotonic());
    for _ in 0..READINGS {
        let before = monotonic();
        read = (env.now(), before);
        if monotonic() - before <= TOGETHER {
            break;
        }
    }
    read
}

/// Is the counter, until its standard input ends.
///
/// # Errors
/// Where it cannot read what it is to be, or cannot listen.
pub(super) fn be_counter(document: &Path) -> io::Result<()> {
    let config: Value = serde_json::from_slice(&std::fs::read(document)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(&config))
}

async fn serve(config: &Value) -> io::Result<()> {
    let wrong = || io::Error::new(io::ErrorKind::InvalidData, "not a counter's document");
    let number = |key: &str| config[key].as_u64().ok_or_else(wrong);
    let text = |key: &str| config[key].as_str().ok_or_else(wrong);
    let name = format!("{}.scenario", text("name")?);
    let scenario = file::parse(&name, text("scenario")?).map_err(io::Error::other)?;
    let listen = config["listen"].as_array().ok_or_else(wrong)?.iter();
    let listen = listen.map(|on| on.as_str().and_then(|on| on.parse().ok()).ok_or_else(wrong));
    let env = SystemEnv::with_clock_at(number("now")? + (monotonic() - number("monotonic")?));
    let recorder = Recorder::default();
    let config = CounterConfig {
        spec: scenario.site.counter.clone(),
        seed: number("seed")?,
        listen: listen.collect::<io::Result<_>>()?,
        recorder: recorder.clone(),
        lag: 0,
    };
    let counter = CounterStandIn::start(env, config)?;
    let orders = pipe::Receiver::from_owned_fd(io::stdin().as_fd().try_clone_to_owned()?)?;
    let mut calls = pipe::Sender::from_owned_fd(io::stdout().as_fd().try_clone_to_owned()?)?;
    let mut orders = BufReader::new(orders).lines();
    loop {
        tokio::select! {
            goes_on = obey(&mut orders, &counter, &scenario) => if !goes_on? {
                return Ok(());
            },
            () = env.sleep(FLUSH) => {
                let lines: String = recorder.take().iter().filter_map(write).collect();
                match calls.write_all(lines.as_bytes()).await {
                    // The one who listened is no more, and this process neither in a moment.
                    Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return Ok(()),
                    wrote => wrote?,
                }
            }
        }
    }
}

/// Does what one line says; false: there is no more.
async fn obey(
    orders: &mut Lines<BufReader<pipe::Receiver>>,
    counter: &CounterStandIn<SystemEnv>,
    scenario: &Scenario,
) -> io::Result<bool> {
    let Some(line) = orders.next_line().await? else { return Ok(false) };
    let place = line.strip_prefix("event ").and_then(|place| place.parse::<usize>().ok());
    match place.and_then(|place| scenario.events.get(place)) {
        Some(timed) => act(counter, &timed.event),
        None => counter.open(),
    }
    Ok(true)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_reads_back_from_its_line_and_what_is_none_is_refused() {
        let what = ObservationKind::CounterCall {
            gateway: 999,
            amount: -0.1 - 0.2,
            added: true,
            answered: false,
            rejected: true,
            duration: u64::MAX,
        };
        let seen = Observation { at: u64::MAX, kind: what };
        let line = write(&seen).unwrap();
        assert!(line.len() as u64 <= LONGEST, "{line}");
        assert_eq!(read(&line), Some(seen));
        for line in ["", "\n", "1 2 3 true true true 4", "1 2 3 true true 4\n", "1 -2 3 true true true 4\n"] {
            assert_eq!(read(line), None, "{line}");
        }
    }
}
