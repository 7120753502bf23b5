//! The identity of a gateway within its fleet, and the turns that follow from it.

use policy::api::{Span, Time};

use crate::hashing::uniform_from_hash;
use crate::time::SECOND;

/// Turns per second of all gateways together to probe a lost site, whatever the size of the fleet. A turn has at most
/// two probes.
const FLEET_TURNS_PER_SECOND: u64 = 30;
/// Minimum of the span between two turns of one gateway.
const MIN_TURN_INTERVAL: Span = SECOND;

/// Identity of this gateway within the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayIdentity {
    /// Number of gateways in the fleet.
    pub gateways: u32,
    /// Index of this gateway in the fleet, from 0.
    pub gateway_index: u32,
    /// Zone of this gateway, by the platform's number.
    pub zone: u32,
}

impl GatewayIdentity {
    /// Returns the span between two of this gateway's turns to probe a lost site.
    pub(super) fn turn_interval(&self) -> Span {
        (u64::from(self.gateways) * SECOND / FLEET_TURNS_PER_SECOND).max(MIN_TURN_INTERVAL)
    }

    /// Returns the time of this gateway's first turn at a site. The gateways' turns are spread evenly by their indices,
    /// and the turns at different sites are shifted by `seed`.
    pub(super) fn first_turn(&self, site: usize, seed: u64) -> Time {
        let position = f64::from(self.gateway_index) / f64::from(self.gateways.max(1));
        let shift = uniform_from_hash(seed, site as u64) * MIN_TURN_INTERVAL as f64;
        (position * self.turn_interval() as f64 + shift) as Time
    }
}
