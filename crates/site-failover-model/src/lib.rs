//! Simulates the loss and the return of sites in virtual time: a fleet of gateways, each with its own controller
//! ([`site_failover::FailoverController`]), and hosts that queue, warm up, crash through overload and fail at
//! random. Host selection is simplified: the least busy of a few hosts drawn at random, with a backoff after failures.
//! Never linked into a gateway.

mod false_alarms;
mod gateway;
mod host;
mod scenario;
mod simulation;
mod summary;

pub use false_alarms::{count_false_alarms, FalseAlarmScenario, FalseAlarms};
pub use scenario::{FailoverMode, FailureMode, FaultRates, ReturnMode, Scenario, SiteLoss, Traffic};
pub use simulation::{run_scenario, HealthChange, ScenarioResult, SecondStats};
pub use summary::LossSummary;
