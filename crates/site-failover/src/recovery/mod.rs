//! The recovery of a lost site: health probes while it is lost, a ramp of its traffic once probes succeed, and the
//! minimum time between two recoveries.

mod backoff;
mod probing;
mod ramp;

pub(crate) use backoff::RecoveryBackoff;
pub(crate) use probing::{ProbeTurns, Probing};
pub(crate) use ramp::{RampInput, RampProgress, RampSpeed, RecoveryRamp};
