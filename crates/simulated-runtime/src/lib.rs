//! A simulated machine room: machines, processes and the network between them, in virtual time of nanoseconds.
//!
//! Code that is generic over [`runtime::Env`] runs in a process of it ([`SimEnv`]) as it runs in a real
//! one. Everything happens on the thread that calls [`Sim::run_until`], and the same seed gives the same run,
//! to the byte and to the nanosecond; [`Sim::digest`] is one number to compare runs by.
//!
//! ```
//! use runtime::{Env, Listener};
//! use cluster_model::{scenario::NetworkSpec, SECOND};
//! use simulated_runtime::{Place, Sim, SimConfig};
//! use tokio::io::AsyncWriteExt;
//!
//! let sim = Sim::new(SimConfig { seed: 1, start: 0, network: NetworkSpec::default() });
//! let host = sim.machine("host", Place::Building(1));
//! let serving = host.process("host");
//! let mut listener = serving.listen("0.0.0.0:80".parse().unwrap(), 16).unwrap();
//! let addr = listener.local_addr().unwrap();
//! serving.spawn(async move {
//!     let (mut stream, _) = listener.accept().await.unwrap();
//!     stream.write_all(b"hello").await.unwrap();
//! });
//! let client = sim.machine("client", Place::Client).process("client");
//! client.clone().spawn(async move { drop(client.connect(addr).await.unwrap()) });
//! sim.run_until(SECOND).unwrap();
//! assert_eq!(sim.now(), SECOND);
//! ```
//!
//! # The order of things at one instant
//! When the clock reaches a moment, one thing happens after another:
//! 1. actions ([`Sim::at`]) that are due, in the order in which they were registered;
//! 2. tasks that can go on, in the order in which they were woken, until all rest;
//! 3. the first of the messages and timers that are due, by when they were sent, made or last reset.
//!
//! Then it begins again with 1, until nothing is due and all tasks rest; only then does the clock go on, to
//! the next moment at which anything is due. What is set for the present joins the end of its row.
//!
//! # Clocks
//! Each process has a clock of its own: as the room's, ahead of it or behind it ([`SimEnv::with_clock`]), or one that
//! stood still for a while together with its process ([`SimEnv::clock_stood_still`]).
//!
//! # The network
//! A message takes the delay between its machines and up to `jitter` of that more, drawn from a stream of
//! chance for each connection and direction; nothing overtakes in a direction. A write is one message.
//! Opening takes a request, a grant and its taking, as TCP does: the asker is connected after one round trip,
//! and what it opened can be accepted half a round later. A refusal takes a round trip. A request that finds
//! the listener's queue full, no such machine, or a silent cut is lost, and sent again.
//!
//! Links from a machine that opens connections to one that accepts them may fail one way or both: hold what
//! comes, lose it, carry it later or more slowly, or break. While one is cut either way no connection comes up on
//! it; while one is held they do.
//!
//! A writer may have `window` bytes on their way or unread. Space shows at once to the writer when the reader
//! reads, not half a round later: the one thing that travels faster than it should. Memory of systems for
//! bytes beyond that, segments, acknowledgements and congestion are left out.

mod digest;
mod env;
mod executor;
mod halt;
mod net;
mod panics;
mod process;
mod shared;
mod sim;
mod slab;
mod timers;
mod wakes;
mod watchdog;

pub use digest::{Packet, Peer, What};
pub use env::{SimEnv, SimTask};
pub use halt::Halt;
pub use net::links::{LinkFault, LinkFaultId};
pub use net::place::{Cut, CutId, MachineId, Place};
pub use net::stream::{SimListener, SimReader, SimStream, SimWriter};
pub use process::ProcessId;
pub(crate) use sim::Action;
pub use sim::{Machine, Sim, SimConfig, Stats};
pub use timers::SimSleep;
pub use watchdog::Watchdog;
