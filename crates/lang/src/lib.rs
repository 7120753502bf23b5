//! The operators' language: pools, routes and quota policies.

pub mod model;
