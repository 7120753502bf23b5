//! Customers' quotas at this gateway, which hold over all gateways together.
//!
//! - [`account`] is one limit of a customer: units are leased ahead from the shared counter, granted locally
//!   while it is unreachable, or admitted by windows where the limit is too small for leases.
//! - [`customer`] is a customer with its accounts, and its compact form; [`customers`] holds all of them
//!   within a bound on memory; [`customer_upkeep`] changes plans and removes idle customers.
//! - [`counter_client`] holds what is known of the counter service; [`counter_replies`] makes calls and takes
//!   in replies; [`counter_upkeep`] sends heartbeats and works through the [`reconciliation`] queue.
//! - [`counter_keys`] names the numbers that all gateways share.
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
