//! The network side of the gateway, as a library that both the gateway program and the cluster emulator run. It
//! executes the actions of the decision module ([`policy`]), on any [`runtime::Env`].
//!
//! The path of a request:
//!
//! 1. `client` accepts a connection, reads a command and parses it as a call.
//! 2. `gateway`, the event loop, selects the request's route (`request_routing`, `site_control`) and reports it to the
//!    decision module.
//! 3. The decision module adds the request's units to the shared counter (`counter`) if it needs to, and then orders an
//!    attempt at a host, or rejects or fails the request at once.
//! 4. `upstream` writes the request to a connection to the host and reads the response.
//! 5. `gateway` sends the single final answer to the client's connection, which writes the replies in the order of the
//!    commands.
//!
//! `discovery` watches the endpoint list; `lifecycle` starts the tasks, reloads the configuration (`config`) and shuts
//! down; `telemetry` collects the figures for the log. Apart from `gateway`, the modules know the messages between them
//! (`messages`) and not one another.

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

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

pub use config::memory_budget::MemoryBudget;
pub use config::{Config, ConfigError, MIN_SOCKETS};
pub use config_language::model::Operators;
pub use crash_points::CrashPoint;
pub use discovery::endpoint_list::{Endpoint, EndpointList, Lifecycle};
pub use lifecycle::{serve, ServeError, Signal};
pub use platform_settings::PlatformSettings;
pub use request_routing::{check_operators, OperatorsError};
