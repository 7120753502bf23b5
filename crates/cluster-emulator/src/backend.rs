//! Where a site is played: machines, gateways and the network between them. The virtual stage has them all
//! in one process; the real one starts the release program once per gateway on loopback sockets.

use crate::counter::CounterHandle;
use cluster_model::scenario::{LinkFault, Scenario};
use fake_services::counter::{CounterConfig, CounterStandIn};
use fake_services::Recorder;
use runtime::{Env, Span, Time};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A machine of the site. Numbers are counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineRole {
    /// Of a gateway, and of its agent of discovery.
    Gateway(u32),
    /// Of a host, by its place: a host that comes at the address of another stands on its machine.
    Host(u32),
    /// Of the counter.
    Counter,
    /// Of all clients.
    Clients,
}

/// A gateway's process that has ended.
#[derive(Clone, Debug)]
pub struct Exit {
    /// Which gateway.
    pub gateway: u32,
    /// Which of its processes, counted from 0.
    pub incarnation: u32,
    /// Why, where it was not in the ordinary way.
    pub error: Option<String>,
    /// It was to die by itself, as if it had been killed from outside, and to be started again after this.
    pub arranged: Option<Span>,
}

/// What a process of a gateway is told from outside.
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

/// Where a site is played.
pub trait Backend {
    /// The world that the stand-ins run in.
    type Env: Env;

    /// A new process for a stand-in on this machine.
    fn process(&self, post: MachineRole, name: &str) -> Self::Env;

    /// Where a stand-in on this machine may listen; port 0 takes a free one.
    fn address(&self, post: MachineRole) -> SocketAddr;

    /// Where a gateway listens, the same after each start.
    fn gateway_address(&self, gateway: u32) -> SocketAddr;

    /// Where the first of two machines reaches the second, which listens at this address.
    fn reach(&self, _from: MachineRole, _to: MachineRole, address: SocketAddr) -> io::Result<SocketAddr> {
        Ok(address)
    }

    /// The way that messages of a stand-in at this machine take beside what the network does by itself.
    fn lag(&self, post: MachineRole) -> Span;

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

    /// Starts a gateway's process with this configuration document.
    fn start_gateway(&mut self, gateway: u32, incarnation: u32, document: &Value) -> io::Result<()>;

    /// A process that others connect to is no more, or is back: nobody is taken in for it meanwhile.
    fn refuse(&mut self, _post: MachineRole, _gone: bool) -> io::Result<()> {
        Ok(())
    }

    /// Whether who connects to a gateway that does not listen yet would be told so. Links take connections in before
    /// they have asked it, and can only break them then.
    fn refuses_until_ready(&self, _gateway: u32) -> bool {
        true
    }

    /// Puts another document in the place of a gateway's.
    fn replace_document(&mut self, gateway: u32, document: &Value) -> io::Result<()>;

    /// Signals a gateway's process.
    fn signal(&mut self, gateway: u32, signal: Signal);

    /// A gateway's processes that start from now on have a clock that is ahead by so many nanoseconds, or behind.
    fn set_clock(&mut self, gateway: u32, ahead: i64) -> io::Result<()>;

    /// The clock of a gateway's process, which stands still, has done so too, for so long.
    fn clock_stood_still(&mut self, gateway: u32, span: Span) -> io::Result<()>;

    /// The processes of a stand-in's machine stand still (SIGSTOP), or go on.
    fn set_suspended(&mut self, post: MachineRole, still: bool) -> io::Result<()>;

    /// Processes of gateways that have ended since this was last asked.
    fn exits(&mut self) -> Vec<Exit>;

    /// Whole lines that watched gateways have logged since this was last asked.
    fn logged(&mut self) -> Vec<(u32, String)> {
        Vec::new()
    }

    /// Parts two sides from one another; true: with resets. Gives a number to heal it by, so long after now.
    fn cut(&mut self, a: &[MachineRole], b: &[MachineRole], span: Span, reset: bool) -> io::Result<u64>;

    /// Takes a cut away.
    fn heal(&mut self, cut: u64);

    /// Something that lasts goes wrong for so long with the links on which each first opens connections to each
    /// second. Flapping is not among it.
    fn start_link_fault(
        &mut self,
        pairs: &[(MachineRole, MachineRole)],
        fault: &LinkFault,
        span: Span,
    ) -> io::Result<()>;

    /// Resets the connections that each first has opened to each second.
    fn reset_links(&mut self, pairs: &[(MachineRole, MachineRole)]) -> io::Result<()>;

    /// Faults of links may begin so much later than they are asked for, and end as much later.
    fn max_fault_delay(&self) -> Span {
        0
    }

    /// Whether stand-ins know when what they read was sent.
    fn knows_send_times(&self) -> bool;

    /// Now.
    fn now(&self) -> Time;
}

/// The counter as tasks of this process.
pub(crate) fn counter_tasks<S: Backend>(
    stage: &S,
    scenario: &Scenario,
    seed: u64,
    recorder: &Recorder,
) -> io::Result<CounterHandle<S::Env>> {
    let config = CounterConfig {
        spec: scenario.site.counter.clone(),
        seed,
        listen: (0..scenario.site.gateways).map(|_| stage.address(MachineRole::Counter)).collect(),
        recorder: recorder.clone(),
        lag: stage.lag(MachineRole::Counter),
    };
    CounterStandIn::start(stage.process(MachineRole::Counter, "counter"), config).map(CounterHandle::Tasks)
}

/// Holds a lock. What it holds is whole between any two lines, so a panic elsewhere does not spoil it.
pub(crate) fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}
