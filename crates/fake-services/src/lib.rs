//! Stand-ins for the outside systems: hosts, the counter, discovery and clients. They speak the platform's
//! protocols over any [`runtime::Env`], on loopback sockets or on a simulated network, keep what they
//! decide in the I/O-free model, and write down what passes on the wires.

pub mod agent;
pub mod client;
pub mod counter;
pub mod host;

use cluster_model::observation::{Observation, ObservationKind};
use cluster_model::Time;
use std::sync::{Arc, Mutex, PoisonError};

/// Where stand-ins write down what they see, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct Recorder(Arc<Mutex<Vec<Observation>>>);

impl Recorder {
    /// Writes down a sighting.
    pub fn see(&self, at: Time, what: ObservationKind) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(Observation { at, kind: what });
    }

    /// All that has been written down since this was last asked.
    pub fn take(&self) -> Vec<Observation> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
