//! Rehearsals of a whole site: gateways, hosts, the counter, discovery and clients, through a scenario of
//! failures. In virtual time the real network side runs once per gateway in one process, on a simulated
//! network, and the same seed gives the same run to the byte; on real sockets the release program runs once
//! per gateway, before the same stand-ins. A judge looks at what passes on the wires, and the history of each run is
//! checked after it.

mod counter;
mod deaths;
mod director;
mod explain;
mod moments;
mod operators;
mod play;
mod real;
mod site;
mod stage;
mod stated;
mod swarm;
mod trace;
mod virtual_time;

pub use deaths::Death;
pub use operators::{operators_of, read_operators};
pub use play::{
    play_real, play_virtual, Checked, OnPacket, OnProgress, Played, Progress, RealOptions, VirtualOptions,
};
pub use real::{become_process, CounterProcess, Special};
pub use stated::stated;
pub use swarm::{only, random_fleet, random_scenario, shrink, Found, Ground, Swarm};
pub use trace::{RunTrace, TraceError};
pub use virtual_time::{Document, GatewayMaker, GatewayStart, GatewayTask};
