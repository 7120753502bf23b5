//! Fault proxy for tests: links that relay connections on loopback between two processes and fail on request.
//!
//! A link listens on an address and forwards each connection to a target. Faults start on request or on the
//! triggers of a [`Plan`], and several can be active at once; a [`Trace`] records each event with its time. One
//! thread serves all links of a [`LinkSet`].
//!
//! ```
//! use std::io::{Read, Write};
//! use std::net::{TcpListener, TcpStream};
//! use fault_proxy::{
//!     ConnectionSelector, Direction, Directions, Fault, LinkSet, LinkSpec, Plan, Settings, Trigger,
//! };
//!
//! let host = TcpListener::bind("127.0.0.1:0")?;
//! let links = LinkSet::start(Settings { seed: 7, ..Settings::default() })?;
//! let (link, address) = links.add(LinkSpec::to("gateway-1 to host-3", host.local_addr()?))?;
//!
//! // The second call arrives, but its answer is never delivered.
//! let second = Trigger::after(Direction::Calls, 2);
//! links.plan(Plan::new().at(link, second, Fault::Cut { way: Directions::Answers }))?;
//! // Faults can also be started and ended explicitly; the call returns once the fault is in effect.
//! let slow_link = Fault::Rate { way: Directions::Both, bytes_per_s: 100_000 };
//! let slow = links.begin(link, ConnectionSelector::Every, slow_link)?;
//! links.end(link, slow)?;
//!
//! let mut client = TcpStream::connect(address)?;
//! client.write_all(b"*1\r\n$4\r\nPING\r\n")?;
//! let (mut served, _) = host.accept()?;
//! served.read_exact(&mut [0; 14])?;
//! print!("{}", links.stop()?);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! - [`plan`]: faults and their triggers, as plain data.
//! - [`core`]: one link without I/O and without a clock. `queue`, `flow` and `split` handle its streams, `faults`
//!   the active faults, `planned` the faults that wait for a trigger.
//! - `set` is the handle, `runner` the thread that serves it, `socket` wraps the system calls.
//! - [`trace`]: the record of events, and its conversion to a plan.
//!
//! docs/links.md defines the exact meaning of each fault, and the effects that loopback cannot reproduce.

pub mod core;
mod error;
mod faults;
mod flow;
pub mod plan;
mod planned;
mod queue;
mod runner;
mod set;
mod socket;
mod split;
pub mod trace;

pub use error::LinkError;
pub use plan::{
    ConnectionSelector, Direction, Directions, End, Entry, Fault, FaultId, LinkId, Plan, Trigger,
};
pub use set::{Counts, Framing, LinkSet, LinkSpec, Settings};
pub use trace::{Event, EventKind, IncompleteTrace, LastActivity, Place, Trace};
