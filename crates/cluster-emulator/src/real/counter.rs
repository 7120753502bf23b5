//! Runs the counter as a separate process: SIGKILL ends it with its state, and SIGSTOP suspends it while the system still
//! accepts connections and bytes. Tasks within this process could emulate neither.
//!
//! The process runs this program again ([`super::launch`]). It reads its configuration, with the scenario, from an unnamed
//! file, and commands from standard input, one per line. It writes each completed call to standard output in a line of
//! bounded length, with the time on the clock of the invariant checker.

use crate::backend::lock;
use crate::counter::apply_event;
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

/// Interval between writes of completed calls.
const FLUSH_INTERVAL: Span = 5 * MS;
/// Most bytes of the line of a call.
const MAX_LINE_BYTES: u64 = 200;
/// Time for the first process to listen, after which the start of the site fails.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a connection attempt that checks whether the counter listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(5);
/// Most nanoseconds for reading two clocks to count as simultaneous.
const MAX_READ_NS: u64 = 100_000;
/// Most attempts to read two clocks simultaneously.
const MAX_READ_ATTEMPTS: u32 = 20;

/// A handle of the counter's process, which clones share.
#[derive(Clone)]
pub struct CounterProcess(Arc<Inner>);

struct Inner {
    launcher: PathBuf,
    addrs: Vec<SocketAddr>,
    document: File,
    recorder: Recorder,
    state: Mutex<State>,
    errors: Mutex<Vec<String>>,
}

#[derive(Default)]
struct State {
    running: Option<Running>,
    is_open: bool,
    /// Number of active power losses of its machine.
    power_losses: u32,
}

struct Running {
    pid: Pid,
    commands: ChildStdin,
}

impl CounterProcess {
    /// Starts the process, and waits until it listens.
    pub(super) fn start(
        launcher: &Path,
        scenario: &Scenario,
        (seed, addrs): (u64, Vec<SocketAddr>),
        (env, recorder): (SystemEnv, Recorder),
    ) -> io::Result<CounterProcess> {
        let (now, monotonic) = read_clocks(&env);
        let config = json!({
            "name": scenario.name, "scenario": file::to_text(scenario), "seed": seed, "listen": addrs,
            "now": now, "monotonic": monotonic,
        });
        let mut document = tempfile::tempfile()?;
        document.write_all(config.to_string().as_bytes())?;
        document.rewind()?;
        let (state, errors) = (Mutex::default(), Mutex::default());
        let launcher = launcher.to_owned();
        let counter = CounterProcess(Arc::new(Inner { launcher, addrs, document, recorder, state, errors }));
        counter.spawn()?;
        let deadline = Instant::now() + START_TIMEOUT;
        while !counter.listens() {
            if Instant::now() > deadline {
                return Err(io::Error::other("the counter's process does not listen"));
            }
            std::thread::sleep(PROBE_TIMEOUT);
        }
        Ok(counter)
    }

    fn spawn(&self) -> io::Result<()> {
        let Inner { launcher, document, recorder, .. } = &*self.0;
        let document = format!("/proc/{}/fd/{}", std::process::id(), document.as_raw_fd());
        let mut command = Command::new(launcher);
        command.args(super::launch::counter_args(document.as_ref())).kill_on_drop(true);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let (Some(pid), Some(commands), Some(calls)) = (pid, child.stdin.take(), child.stdout.take()) else {
            return Err(io::Error::other("the counter's process ended at once"));
        };
        lock(&self.0.state).running = Some(Running { pid, commands });
        tokio::spawn(record_calls(self.clone(), child, pid, calls, recorder.clone()));
        Ok(())
    }

    pub(crate) fn addrs(&self) -> &[SocketAddr] {
        &self.0.addrs
    }

    pub(crate) fn open(&self) -> io::Result<()> {
        lock(&self.0.state).is_open = true;
        self.send_command("open\n")
    }

    pub(crate) fn event(&self, index: usize) -> io::Result<()> {
        self.send_command(&format!("event {index}\n"))
    }

    /// Sends a command to the process; without effect while it is down.
    fn send_command(&self, line: &str) -> io::Result<()> {
        let state = lock(&self.0.state);
        let Some(running) = &state.running else { return Ok(()) };
        // The few bytes fit into the empty pipe, so that the write does not wait for a suspended reader.
        let wrote = rustix::io::write(running.commands.as_fd(), line.as_bytes())?;
        if wrote == line.len() {
            return Ok(());
        }
        Err(io::Error::other("the counter's process does not read its commands"))
    }

    pub(crate) fn kill(&self) {
        lock(&self.0.state).power_losses += 1;
        self.signal(Signal::KILL);
        lock(&self.0.state).running = None;
    }

    pub(crate) fn restart(&self) -> io::Result<bool> {
        let mut state = lock(&self.0.state);
        state.power_losses = state.power_losses.saturating_sub(1);
        let (can_start, is_open) = (state.power_losses == 0 && state.running.is_none(), state.is_open);
        drop(state);
        if !can_start {
            return Ok(false);
        }
        self.spawn()?;
        if is_open {
            self.send_command("open\n")?;
        }
        Ok(true)
    }

    /// Whether the last listener accepts connections; the listeners start in order.
    pub(crate) fn listens(&self) -> bool {
        let last = self.0.addrs.last();
        last.is_none_or(|last| TcpStream::connect_timeout(last, PROBE_TIMEOUT).is_ok())
    }

    pub(crate) fn take_errors(&self) -> Vec<String> {
        std::mem::take(&mut *lock(&self.0.errors))
    }

    /// Removes an ended process. Returns whether it was expected to run.
    fn remove_process(&self, pid: Pid) -> bool {
        let mut state = lock(&self.0.state);
        let is_known = state.running.as_ref().is_some_and(|running| running.pid == pid);
        if is_known {
            state.running = None;
        }
        is_known
    }

    pub(super) fn signal(&self, signal: Signal) {
        if let Some(running) = &lock(&self.0.state).running {
            // The process may just have ended.
            let _ = kill_process(running.pid, signal);
        }
    }
}

/// Records the calls that a process reports, until it ends.
async fn record_calls(
    counter: CounterProcess,
    mut child: Child,
    pid: Pid,
    calls: ChildStdout,
    recorder: Recorder,
) {
    let mut calls = BufReader::new(calls);
    let mut line = String::new();
    let error = loop {
        line.clear();
        match (&mut calls).take(MAX_LINE_BYTES).read_line(&mut line).await {
            Ok(0) => break "ended",
            Ok(_) => {}
            Err(_) => break "cannot be read",
        }
        match parse_call(&line) {
            Some(observation) => recorder.see(observation.at, observation.kind),
            // The last line of a killed process may be incomplete.
            None if !line.ends_with('\n') => {}
            None => break "wrote an invalid line",
        }
    };
    if counter.remove_process(pid) {
        lock(&counter.0.errors).push(format!("the counter's process {error}"));
    }
    // A failed wait needs no handling.
    let _ = child.kill().await;
}

/// Formats a call as a line.
fn format_call(observation: &Observation) -> Option<String> {
    let ObservationKind::CounterCall { gateway, amount, added, answered, rejected, duration } =
        observation.kind
    else {
        return None;
    };
    Some(format!("{} {gateway} {amount} {added} {answered} {rejected} {duration}\n", observation.at))
}

/// Parses a line of [`format_call`].
fn parse_call(line: &str) -> Option<Observation> {
    let words: Vec<&str> = line.strip_suffix('\n')?.split(' ').collect();
    let [at, gateway, amount, added, answered, rejected, duration] = words[..] else { return None };
    let kind = ObservationKind::CounterCall {
        gateway: gateway.parse().ok()?,
        amount: amount.parse().ok()?,
        added: added.parse().ok()?,
        answered: answered.parse().ok()?,
        rejected: rejected.parse().ok()?,
        duration: duration.parse().ok()?,
    };
    Some(Observation { at: at.parse().ok()?, kind })
}

/// Returns the nanoseconds of the monotonic clock, which all processes of a machine share.
fn monotonic() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// Reads two clocks simultaneously.
fn read_clocks(env: &SystemEnv) -> (Time, u64) {
    let mut read = (env.now(), monotonic());
    for _ in 0..MAX_READ_ATTEMPTS {
        let before = monotonic();
        read = (env.now(), before);
        if monotonic() - before <= MAX_READ_NS {
            break;
        }
    }
    read
}

/// Runs the counter until its standard input ends.
///
/// # Errors
/// Fails if the configuration cannot be read, or the counter cannot listen.
pub(super) fn run_counter(document: &Path) -> io::Result<()> {
    let config: Value = serde_json::from_slice(&std::fs::read(document)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(&config))
}

async fn serve(config: &Value) -> io::Result<()> {
    let invalid = || io::Error::new(io::ErrorKind::InvalidData, "invalid counter configuration");
    let number = |key: &str| config[key].as_u64().ok_or_else(invalid);
    let text = |key: &str| config[key].as_str().ok_or_else(invalid);
    let name = format!("{}.scenario", text("name")?);
    let scenario = file::parse(&name, text("scenario")?).map_err(io::Error::other)?;
    let listen = config["listen"].as_array().ok_or_else(invalid)?.iter();
    let listen = listen.map(|on| on.as_str().and_then(|on| on.parse().ok()).ok_or_else(invalid));
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
    let commands = pipe::Receiver::from_owned_fd(io::stdin().as_fd().try_clone_to_owned()?)?;
    let mut calls = pipe::Sender::from_owned_fd(io::stdout().as_fd().try_clone_to_owned()?)?;
    let mut commands = BufReader::new(commands).lines();
    loop {
        tokio::select! {
            more = execute_command(&mut commands, &counter, &scenario) => if !more? {
                return Ok(());
            },
            () = env.sleep(FLUSH_INTERVAL) => {
                let lines: String = recorder.take().iter().filter_map(format_call).collect();
                match calls.write_all(lines.as_bytes()).await {
                    // The parent process has ended, and this process is about to be killed.
                    Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return Ok(()),
                    wrote => wrote?,
                }
            }
        }
    }
}

/// Executes one command line; returns false at the end of the input.
async fn execute_command(
    commands: &mut Lines<BufReader<pipe::Receiver>>,
    counter: &CounterStandIn<SystemEnv>,
    scenario: &Scenario,
) -> io::Result<bool> {
    let Some(line) = commands.next_line().await? else { return Ok(false) };
    let index = line.strip_prefix("event ").and_then(|index| index.parse::<usize>().ok());
    match index.and_then(|index| scenario.events.get(index)) {
        Some(scheduled) => apply_event(counter, &scheduled.event),
        None => counter.open(),
    }
    Ok(true)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_a_formatted_call_and_rejects_invalid_lines() {
        let kind = ObservationKind::CounterCall {
            gateway: 999,
            amount: -0.1 - 0.2,
            added: true,
            answered: false,
            rejected: true,
            duration: u64::MAX,
        };
        let observation = Observation { at: u64::MAX, kind };
        let line = format_call(&observation).unwrap();
        assert!(line.len() as u64 <= MAX_LINE_BYTES, "{line}");
        assert_eq!(parse_call(&line), Some(observation));
        for line in ["", "\n", "1 2 3 true true true 4", "1 2 3 true true 4\n", "1 -2 3 true true true 4\n"] {
            assert_eq!(parse_call(line), None, "{line}");
        }
    }
}
