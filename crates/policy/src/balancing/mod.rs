//! Load balancing: the hosts, and the selection of one for each attempt.
//!
//! - [`host_set`] stores all hosts ([`host`]) and this gateway's subset of them; [`endpoint_list`] applies
//!   updates from discovery.
//! - [`selection`] chooses the host with the lowest expected wait, among those that the request's [`pools`]
//!   and its idempotency allow.
//! - [`outliers`] derives the latency and the failure rate of each host from responses, failures and load
//!   reports.
//! - [`slow_start`] limits the attempts at hosts that are warming up.
//!
//! State: [`host_set::HostSet`] with a [`host::Host`] for each host, and [`pools::Pools`].

mod endpoint_list;
pub(crate) mod host;
pub(crate) mod host_set;
mod outliers;
pub(crate) mod pools;
mod selection;
mod slow_start;
