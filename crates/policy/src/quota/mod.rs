//! Customer quotas at this gateway, which are shared by all gateways.
//!
//! - [`account`] is one limit of a customer: units are leased in advance from the shared counter, granted
//!   locally while it is unreachable, or handled by windowed admission if the limit is too small for leases.
//! - [`customer`] is a customer with its accounts, and its compact form; [`customers`] stores all of them
//!   within a memory limit; [`customer_upkeep`] applies changes of plans and removes idle customers.
//! - [`counter_client`] tracks the health of the counter service; [`counter_replies`] makes calls and handles
//!   replies; [`counter_upkeep`] sends heartbeats and processes the [`reconciliation`] queue.
//! - [`counter_keys`] defines the keys of the entries that all gateways share.
//!
//! State: [`customers::Customers`] and [`counter_client::CounterClient`].

mod account;
pub(crate) mod counter_client;
pub mod counter_keys;
mod counter_replies;
mod counter_upkeep;
pub(crate) mod customer;
mod customer_upkeep;
pub(crate) mod customers;
mod reconciliation;
