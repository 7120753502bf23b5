//! Decision logic of an API gateway in front of a shared back end, with customer quotas enforced across all
//! gateways.
//!
//! # Contract
//!
//! A gateway owns one [`policy::Policy`], passes each [`api::Event`] to it with the current time, and
//! executes the returned [`api::Action`]s in order. This crate alone decides which host receives an attempt,
//! whether a request is retried or hedged, and whether it is rejected. It does no I/O, reads no clock and has
//! no global state. Random numbers are derived from the given seed: the same events produce the same actions.
//!
//! - Each request receives exactly one final answer while its client is connected: a response,
//!   [`api::Action::Reject`] or [`api::Action::Fail`].
//! - A request that may have been executed is forwarded again only to hosts where a duplicate is harmless.
//! - A host that is not listed as ready in the endpoint list receives no new attempt.
//! - No event iterates over all customers, requests or hosts, except changes of plans and of the endpoint
//!   list. The settings limit the memory used for customers.
//!
//! # Example
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
//!
//! # Request flow
//!
//! 1. `policy.rs`: [`policy::Policy::handle`] dispatches the event [`api::Event::Request`].
//! 2. `admission/arrival.rs` registers the request. It is rejected immediately if its remaining deadline is
//!    too short, no host can serve it, or its load is shed.
//! 3. `admission/waiting.rs` checks the customer's quota: `admission/leased_units.rs` takes units from the
//!    customer's accounts (`quota/account.rs`), or `admission/windowed.rs` admits a fraction of the requests.
//!    If there are too few units, a call leases more from the counter (`quota/counter_replies.rs`), and the
//!    request waits.
//! 4. `concurrency/dispatch.rs` queues the admitted request, and assigns a free slot to it according to the
//!    reservation and priority of its class (`concurrency/state.rs`).
//! 5. `balancing/selection.rs` chooses the host, and `attempts/forwarding.rs` forwards the request to it.
//! 6. `attempts/completion.rs` handles the end of the attempt; `balancing/outliers.rs`,
//!    `concurrency/host_limit.rs` and `attempts/class_statistics.rs` update their statistics.
//! 7. The request is closed after a response. Otherwise, or if the attempt is overdue, `attempts/retries.rs`
//!    decides whether to make another attempt, which continues at step 4; if none is made, the request is
//!    rejected or fails.
//!
//! After each event, expired timers (`timers.rs`) run, and then freed slots and units are assigned.
//!
//! # State
//!
//! Each part of the state is owned by one module, which modifies it in methods of [`policy::Policy`]:
//!
//! | module | state |
//! |---|---|
//! | `admission` | fractions to admit, customers with requests to consider again |
//! | `quota` | customers and their accounts, the counter's health, its calls, pending reconciliations |
//! | `concurrency` | slots of the gateway, reservations and queues of the classes |
//! | `balancing` | hosts with their limits, failures and slow start; slots of pools and routes |
//! | `attempts` | requests in flight, statistics of the classes, retry budget |
//! | `timers`, `rng` | pending timers, random numbers |

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

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
