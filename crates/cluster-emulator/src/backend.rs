//! Execution backends of a site: machines, gateway processes and the network between them. The virtual backend simulates
//! all of them in one process; the real one starts the release program once per gateway on loopback sockets.

use crate::counter::CounterHandle;
use cluster_model::scenario::{LinkFault, Scenario};
use fake_services::counter::{CounterConfig, CounterStandIn};
use fake_services::Recorder;
use runtime::{Env, Span, Time};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The role of a machine of the site. Numbers count from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineRole {
    /// A gateway and its discovery agent.
    Gateway(u32),
    /// A host machine; a host that takes over the address of another one runs on the same machine.
    Host(u32),
    /// The quota counter.
    Counter,
    /// All clients.
    Clients,
}

/// The end of a gateway process.
#[derive(Clone, Debug)]
pub struct Exit {
    /// Gateway number, from 0.
    pub gateway: u32,
    /// The gateway's processes are counted from 0.
    pub incarnation: u32,
    /// The error, unless the process ended normally.
    pub error: Option<String>,
    /// The process ended at its crash point, and is to be started again after this time.
    pub restart_after: Option<Span>,
}

/// A signal to a gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP.
    Reload,
    /// SIGTERM.
    Terminate,
    /// SIGKILL.
    Kill,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
}

/// Runs the processes and the network of a site.
pub trait Backend {
    /// The runtime environment of the fake services.
    type Env: Env;

    /// Creates a process for a fake service on this machine.
    fn process(&self, role: MachineRole, name: &str) -> Self::Env;

    /// Returns a listen address for a fake service on this machine; port 0 picks a free port.
    fn address(&self, role: MachineRole) -> SocketAddr;

    /// Returns a gateway's listen address, which stays the same across restarts.
    fn gateway_address(&self, gateway: u32) -> SocketAddr;

    /// Returns the address at which `_from` connects to `_to`, which listens at `address`.
    fn dial_address(
        &self,
        _from: MachineRole,
        _to: MachineRole,
        address: SocketAddr,
    ) -> io::Result<SocketAddr> {
        Ok(address)
    }

    /// Returns the latency that a fake service on this machine has to add to that of the network.
    fn extra_latency(&self, role: MachineRole) -> Span;

    /// Starts the counter.
    fn start_counter(
        &mut self,
        scenario: &Scenario,
        seed: u64,
        recorder: &Recorder,
    ) -> io::Result<CounterHandle<Self::Env>>
    where
        Self: Sized,
    {
        counter_tasks(self, scenario, seed, recorder)
    }

    /// Starts a gateway process with this configuration document.
    fn start_gateway(&mut self, gateway: u32, incarnation: u32, document: &Value) -> io::Result<()>;

    /// Sets whether links to a machine refuse connections, as they do while its process is down.
    fn set_refusing(&mut self, _role: MachineRole, _refusing: bool) -> io::Result<()> {
        Ok(())
    }

    /// Whether connections to the gateway are refused until it listens. Links accept a connection before they connect to
    /// the gateway, so they could only break it.
    fn refuses_until_ready(&self, _gateway: u32) -> bool {
        true
    }

    /// Replaces a gateway's configuration document.
    fn replace_document(&mut self, gateway: u32, document: &Value) -> io::Result<()>;

    /// Sends a signal to a gateway process.
    fn signal(&mut self, gateway: u32, signal: Signal);

    /// Sets how many nanoseconds the clock of a gateway's later processes is ahead; negative: behind.
    fn set_clock(&mut self, gateway: u32, ahead: i64) -> io::Result<()>;

    /// Hides a pause of this length from the clock of a suspended gateway process.
    fn exclude_pause_from_clock(&mut self, gateway: u32, span: Span) -> io::Result<()>;

    /// Suspends (SIGSTOP) or resumes the processes of a fake service on this machine.
    fn set_suspended(&mut self, role: MachineRole, suspended: bool) -> io::Result<()>;

    /// Returns the gateway processes that have ended since the last call.
    fn take_exits(&mut self) -> Vec<Exit>;

    /// Returns complete log lines of watched gateways since the last call.
    fn take_log_lines(&mut self) -> Vec<(u32, String)> {
        Vec::new()
    }

    /// Partitions two sides, which end by `heal` with the returned number after `span`; `reset`: connections are reset.
    fn partition(&mut self, a: &[MachineRole], b: &[MachineRole], span: Span, reset: bool)
        -> io::Result<u64>;

    /// Ends a partition.
    fn heal(&mut self, partition: u64);

    /// Starts a lasting fault on the links by which the first machine of each pair connects to the second. Flapping is
    /// not supported.
    fn start_link_fault(
        &mut self,
        pairs: &[(MachineRole, MachineRole)],
        fault: &LinkFault,
        span: Span,
    ) -> io::Result<()>;

    /// Resets the connections from the first machine of each pair to the second.
    fn reset_links(&mut self, pairs: &[(MachineRole, MachineRole)]) -> io::Result<()>;

    /// Returns the longest time by which link faults may start and end late.
    fn max_fault_delay(&self) -> Span {
        0
    }

    /// Whether fake services know the send time of received bytes.
    fn knows_send_times(&self) -> bool;

    /// Returns the current time.
    fn now(&self) -> Time;
}

/// Starts the counter as tasks of this process.
pub(crate) fn counter_tasks<S: Backend>(
    backend: &S,
    scenario: &Scenario,
    seed: u64,
    recorder: &Recorder,
) -> io::Result<CounterHandle<S::Env>> {
    let config = CounterConfig {
        spec: scenario.site.counter.clone(),
        seed,
        listen: (0..scenario.site.gateways).map(|_| backend.address(MachineRole::Counter)).collect(),
        recorder: recorder.clone(),
        lag: backend.extra_latency(MachineRole::Counter),
    };
    CounterStandIn::start(backend.process(MachineRole::Counter, "counter"), config).map(CounterHandle::Tasks)
}

/// Locks a mutex, poisoned or not: its contents are consistent after each statement, so a panic elsewhere is harmless.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
