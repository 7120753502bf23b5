//! Links that fail on request: a relay on loopback between any two processes. For rehearsals only.
//!
//! A link listens on an address and leads each connection to a target. Faults begin when they are asked for or
//! at moments that a [`Plan`] names, several at once; a [`Trace`] tells what was done when. One thread serves all
//! links of a [`LinkSet`].
//!
//! ```
//! use std::io::{Read, Write};
//! use std::net::{TcpListener, TcpStream};
//! use fault_proxy::{Direction, Fault, LinkSet, LinkSpec, Trigger, Plan, Settings, Directions, ConnectionSelector};
//!
//! let host = TcpListener::bind("127.0.0.1:0")?;
//! let links = LinkSet::start(Settings { seed: 7, ..Settings::default() })?;
//! let (link, address) = links.add(LinkSpec::to("gateway-1 to host-3", host.local_addr()?))?;
//!
//! // The second call arrives, and its answer never does.
//! let second = Trigger::after(Direction::Calls, 2);
//! links.plan(Plan::new().at(link, second, Fault::Cut { way: Directions::Answers }))?;
//! // Anything may also begin and end by hand; the call returns when it is in force.
//! let slow = links.begin(link, ConnectionSelector::Every, Fault::Rate { way: Directions::Both, bytes_per_s: 100_000 })?;
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
//! - [`plan`]: what may go wrong, and when: plain data.
//! - [`core`]: one link without I/O and clock. `queue`, `flow` and `split` are its streams, `faults` what is in
//!   force, `planned` what is planned.
//! - `set` is the handle, `runner` the thread behind it, `socket` what it asks of the system.
//! - [`trace`]: what was done, and back to a plan.
//!
//! docs/links.md says what each fault means exactly, and what loopback cannot show.

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
