//! Emulates a whole site, with gateways, hosts, the counter, discovery and clients, through a scenario of failures.
//!
//! In virtual time the gateway's network code runs once per gateway in one process on a simulated network, and the same
//! seed gives the same run to the byte. On real sockets the release program runs once per gateway, against the same fake
//! services. An invariant checker watches the traffic, and the history of each run is checked after it.

mod backend;
mod counter;
mod crash_scenario;
mod explain;
mod fault_injector;
mod operator_file;
mod real;
mod run;
mod site;
mod stated;
mod swarm;
mod trace;
mod triggers;
mod virtual_time;

pub use crash_scenario::CrashScenario;
pub use operator_file::{operators_of, read_operators};
pub use real::{run_child_process, CounterProcess, GatewayOverride};
pub use run::{
    run_real, run_virtual, HistoryCheck, OnPacket, OnProgress, Progress, RealOptions, RunOutcome,
    VirtualOptions,
};
pub use stated::stated;
pub use swarm::{only, random_fleet, random_scenario, shrink, Found, Ground, Swarm};
pub use trace::{RunTrace, TraceError};
pub use virtual_time::{Document, GatewayFactory, GatewayStart, GatewayTask};
