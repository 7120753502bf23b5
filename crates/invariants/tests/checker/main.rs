//! Tests of the invariant checker with hand-written observations.

mod ceilings;
mod drain_grace;
mod duplicate_execution;
mod faulty_gateways;
mod figures;
mod observation_order;
mod quota;
mod responses;
mod run_builder;
mod slow_start;
mod weight;
