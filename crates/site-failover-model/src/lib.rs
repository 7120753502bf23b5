//! Plays the loss and the return of sites in virtual time: a fleet of gateways, each with a controller of its own
//! ([`site_failover::FailoverController`]), and hosts that queue, are cold, fall over and fail now and then. Which host a request
//! goes to is simplified: the least busy of a few that are drawn; a host that failed is left alone for a while. Never
//! linked into a gateway.

mod calm;
mod figures;
mod gateway;
mod host;
mod setting;
mod world;

pub use calm::{calm, Alarms, Calm};
pub use figures::Figures;
pub use setting::{Back, Down, Loss, Setting, Spill, Traffic, Trouble};
pub use world::{play, Change, Played, Second};
