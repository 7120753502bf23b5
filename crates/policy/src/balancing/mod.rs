//! Load balancing: the hosts, and the choice of one for each attempt.
//!
//! - [`host_set`] holds all hosts ([`host`]) and this gateway's subset of them; [`endpoint_list`] keeps them
//!   in line with discovery.
//! - [`selection`] chooses the host with the least expected wait, among those that the request's [`pools`]
//!   and its idempotency allow.
//! - [`outliers`] learns from responses, failures and load reports how slow and how faulty a host is.
//! - [`slow_start`] bounds what hosts get while they warm up.
//!
//! State: [`host_set::HostSet`] with a [`host::Host`] for each host, and [`pools::Pools`].

mod endpoint_list;
pub(crate) mod host;
pub(crate) mod host_set;
mod outliers;
pub(crate) mod pools;
mod selection;
mod slow_start;
