//! The network side of the gateway: a library that the program and rehearsals drive. Everything here carries
//! out what the decision module asks for, over any [`runtime::Env`].
//!
//! One request's way: `clients` takes a command off a connection and reads it (`call`); the gateway
//! (`gateway`) tells the decision module, which wants an attempt; `hosts` puts that on a connection; what comes
//! back goes through the gateway to the client's connection, in the order of its commands. The `counter` and
//! `discovery` speak to the outside on their own tasks. Where a request may go is found in `routing`, and what is kept from it while
//! a whole site is lost in `sites`. What passes between them is in `messages`, and none of
//! them knows another.

mod budget;
mod call;
mod clients;
mod config;
mod counter;
mod counter_log;
mod crash;
mod discovery;
mod gateway;
mod host_line;
mod hosts;
mod keep;
mod lag;
mod lasting;
mod losses;
mod membership;
mod messages;
mod outage;
mod reload;
mod routing;
mod serve;
mod shortage;
mod sites;
mod timers;
mod unanswered;

pub use budget::Budget;
pub use config::{Config, MIN_SOCKETS};
pub use config_language::model::Operators;
pub use crash::CrashPoint;
pub use membership::{Lifecycle, Member, Membership};
pub use platform_settings::PlatformSettings;
pub use routing::check_operators;
pub use serve::{serve, Signal};
