//! The load rig: how much one gateway carries, and what a request costs it.
//!
//! A run puts up stand-ins for hosts, the counter and discovery and clients on loopback, starts one program on a core
//! of its own, lets it warm up, and counts for some seconds. The program is a gateway, or, for comparison, a relay
//! that decides nothing, or a loop that only reads and writes.
//!
//! 1. `spec`: what a run is made of. `draw`: what each request is; neither does I/O.
//! 2. `run` puts up `hosts`, `counter` and discovery, starts the program (`process`), and lets `client` ask. Clients
//!    write down what they saw in `stats`.
//! 3. `table`, `compare` and `page` show what came of it.
//!
//! All traffic stays on loopback, and each run is bounded in hosts, connections, requests a second and time.

mod calls;
mod client;
pub mod compare;
mod counter;
mod draw;
pub mod floor;
mod hosts;
pub mod page;
mod process;
mod progress;
pub mod relay;
mod run;
mod spec;
mod stats;
pub mod table;

pub use process::{part_cores, Cores};
pub use progress::Progress;
pub use run::{play, Outcome, Rig, Subject};
pub use spec::{Customers, Spec};
pub use stats::{Counts, Latency};
