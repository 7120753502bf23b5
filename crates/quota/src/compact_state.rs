//! The compact state of a customer's quota, for a customer that rarely makes requests: about eighty bytes instead of
//! six hundred. The quota continues from it at the customer's next request; it only does not record which gateways the
//! customer's traffic came through.

use crate::idempotent_add::{CompactAdder, IdempotentAdder};
use crate::token_bucket::{CompactBucket, TokenBucket};
use crate::windowed_limiter::{CompactLimiter, WindowedLimiter};

#[cfg(test)]
mod tests;

/// The complete state of one customer's quota at one gateway.
#[derive(Clone, Debug)]
pub struct QuotaState {
    /// The customer's units.
    pub bucket: TokenBucket,
    /// Adds to the customer's number on the counter.
    pub adder: IdempotentAdder,
    /// Admission by windows; `None` for a customer that leases units.
    pub limiter: Option<WindowedLimiter>,
}

/// The compact state of one customer's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompactState {
    adder: CompactAdder,
    admission: CompactAdmission,
}

/// The compact state of a customer's admission.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CompactAdmission {
    Leased(CompactBucket),
    Windowed(CompactLimiter),
}

impl CompactState {
    /// Returns the compact state of these parts of a quota; `None` if one of them is in doubt or in use. `limiter`:
    /// `None` for a customer that leases units.
    pub fn of(
        bucket: &TokenBucket,
        adder: &IdempotentAdder,
        limiter: Option<&WindowedLimiter>,
    ) -> Option<CompactState> {
        let admission = match limiter {
            Some(limiter) => CompactAdmission::Windowed(limiter.compact()?),
            None => CompactAdmission::Leased(bucket.compact()?),
        };
        Some(CompactState { adder: adder.compact()?, admission })
    }

    /// Returns whether the customer is admitted by windows.
    pub fn is_windowed(&self) -> bool {
        matches!(self.admission, CompactAdmission::Windowed(_))
    }

    /// Returns whether the customer leases units and some are known to have been added to its number in this epoch.
    pub fn has_added_in(&self, epoch: u64) -> bool {
        !self.is_windowed() && self.adder.has_added_in(epoch)
    }

    /// Returns the complete state. `fresh`: the state of the same customer as at its first request; its configuration
    /// applies. Of a customer that is admitted by windows, no bucket is restored.
    #[must_use]
    pub fn restore(&self, fresh: QuotaState) -> QuotaState {
        let adder = fresh.adder.restored(self.adder);
        match self.admission {
            CompactAdmission::Leased(state) => {
                let bucket = TokenBucket::restored(state, *fresh.bucket.config());
                QuotaState { bucket, adder, limiter: None }
            }
            CompactAdmission::Windowed(state) => {
                let limiter = fresh.limiter.map(|limiter| limiter.restored(state));
                QuotaState { bucket: fresh.bucket, adder, limiter }
            }
        }
    }
}
