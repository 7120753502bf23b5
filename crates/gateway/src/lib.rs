//! The network side of the gateway: a library that the program and rehearsals drive. Everything here carries
//! out what the decision module asks for, over any [`runtime::Env`].
//!
//! One request's way: `clients` takes a command off a connection and reads it (`call`); the gateway
//! (`gateway`) tells the decision module, which wants an attempt; `hosts` puts that on a connection; what comes
//! back goes through the gateway to the client's connection, in the order of its commands. The `counter` and
//! `discovery` speak to the outside on their own tasks. Where a request may go is found in `routing`, and what is kept from it while
//! a whole site is lost in `sites`. What passes between them is in `messages`, and none of
//! them knows another.

mod client;
mod config;
mod counter;
mod crash_points;
mod discovery;
mod gateway;
mod lifecycle;
mod messages;
mod request_routing;
mod site_control;
mod telemetry;
mod timers;
mod upstream;

pub use config::memory_budget::Budget;
pub use config::{Config, MIN_SOCKETS};
pub use config_language::model::Operators;
pub use crash_points::CrashPoint;
pub use discovery::endpoint_list::{Lifecycle, Member, Membership};
pub use lifecycle::{serve, Signal};
pub use platform_settings::PlatformSettings;
pub use request_routing::check_operators;
