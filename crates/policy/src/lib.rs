//! Decisions of an API gateway that holds customers to shared quotas before a common back end.
//!
//! A gateway owns one [`policy::Policy`], tells it what happens as [`api::Event`]s and carries out the
//! [`api::Action`]s it gets back. The library does no I/O, reads no clock and has no global state.
//!
//! ```
//! use policy::api::*;
//! use policy::policy::Policy;
//!
//! let class = Class { aim: 500_000_000, deadline: 2_000_000_000, worth: 1.0, ..Class::default() };
//! let settings = Settings { classes: vec![class], plans: vec![Plan::default()], ..Settings::default() };
//! let mut gateway = Policy::new(settings, 7);
//! let mut todo = Vec::new();
//!
//! let host = HostEntry { id: HostId(1), size: 1.0, ..HostEntry::default() };
//! gateway.handle(0, Event::Hosts { kind: ListKind::Full, entries: vec![host] }, &mut todo);
//! let request = Request { id: RequestId(9), patience: 2_000_000_000, units: 1.0, ..Request::default() };
//! gateway.handle(1_000_000, Event::Request(request), &mut todo);
//! assert!(todo.iter().any(|a| matches!(a, Action::Send { host: HostId(1), .. })));
//! ```

mod account;
pub mod api;
mod attempts;
mod chance;
mod class;
mod counting;
mod customer;
mod customers;
mod debts;
mod due;
mod fleet;
mod fuzzy;
mod host;
mod hosts;
pub mod names;
mod pace;
mod pending;
pub mod policy;
mod pools;
mod quotas;
mod room;
mod slab;
mod slots;
mod strain;
#[cfg(test)]
mod tests;

pub use customers::customers_within;
