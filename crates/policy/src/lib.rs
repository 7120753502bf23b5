//! Decisions of an API gateway that holds customers to shared quotas before a common back end.
//!
//! A gateway owns one [`policy::Policy`], tells it what happens as [`api::Event`]s and carries out the
//! [`api::Action`]s it gets back. The library does no I/O, reads no clock and has no global state.
//!
//! ```
//! use policy::api::*;
//! use policy::policy::Policy;
//!
//! const SECOND: Span = 1_000_000_000;
//!
//! let class = Class { latency_objective: SECOND / 2, deadline: 2 * SECOND, ..Class::default() };
//! let settings = Settings { classes: vec![class], plans: vec![Plan::default()], ..Settings::default() };
//! let mut policy = Policy::new(settings, 7);
//! let mut actions = Vec::new();
//!
//! let host = HostEntry { id: HostId(1), size: 1.0, ..HostEntry::default() };
//! policy.handle(0, Event::HostList { kind: HostListKind::Full, entries: vec![host] }, &mut actions);
//! let request = Request { id: RequestId(9), remaining: 2 * SECOND, units: 1.0, ..Request::default() };
//! policy.handle(1_000_000, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Forward { host: HostId(1), .. })));
//! ```

mod admission;
pub mod api;
mod attempts;
mod balancing;
mod concurrency;
pub mod policy;
mod quota;
mod rng;
mod slab;
#[cfg(test)]
mod tests;
mod time;
mod timers;

pub use concurrency::fuzzy::controller_output;
pub use quota::counter_keys;
pub use quota::customers::customers_within;
