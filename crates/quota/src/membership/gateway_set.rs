//! The set of gateways that serves one customer.

use crate::time::Span;

#[cfg(test)]
mod tests;

/// Multiplier that spreads consecutive sets over all phases: 2^64 divided by the golden ratio (Fibonacci hashing,
/// Knuth, The Art of Computer Programming, volume 3, section 6.4).
const PHASE_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Bits of the product that are dropped, so that a phase is below 2^40 nanoseconds (18 minutes).
const PHASE_SHIFT: u32 = 24;

/// The gateways that serve a customer: `set_size` consecutive ones from `first_gateway`, wrapping around after the
/// last gateway of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewaySet {
    /// Index of the first gateway of the set.
    pub first_gateway: u32,
    /// Number of gateways in the set.
    pub set_size: u32,
    /// Index of this gateway, which need not be in the set.
    pub gateway_index: u32,
    /// Number of gateways in the fleet.
    pub gateways: u32,
}

impl GatewaySet {
    /// Returns the set with a valid first gateway and a size from one to all gateways of the fleet.
    #[must_use]
    pub(crate) fn normalized(self) -> GatewaySet {
        let gateways = self.gateways.max(1);
        GatewaySet {
            first_gateway: self.first_gateway % gateways,
            set_size: self.set_size.clamp(1, gateways),
            gateway_index: self.gateway_index,
            gateways,
        }
    }

    /// Returns the index of this gateway within the set; for a gateway outside the set it is `set_size` or more.
    pub fn member_index(&self) -> u32 {
        (self.gateway_index + self.gateways - self.first_gateway) % self.gateways.max(1)
    }

    /// Returns the gateway with this index within the set.
    pub(crate) fn gateway_at(&self, member: u32) -> u32 {
        (self.first_gateway + member) % self.gateways.max(1)
    }

    /// Returns an offset in nanoseconds that is the same at all gateways of the set and differs between most sets.
    pub fn phase(&self) -> Span {
        let set = u64::from(self.first_gateway) << 32 | u64::from(self.set_size);
        set.wrapping_mul(PHASE_MULTIPLIER) >> PHASE_SHIFT
    }
}
