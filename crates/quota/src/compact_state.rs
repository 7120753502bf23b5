//! The compact state of a customer's quota: what is kept of a customer that comes seldom, in about eighty bytes instead
//! of six hundred. A customer that asks again continues where it was, except that it is no longer known which gateways
//! it came through.

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

/// The compact state of what admits a customer's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CompactAdmission {
    Leased(CompactBucket),
    Windowed(CompactLimiter),
}

impl CompactState {
    /// Returns the compact state of these parts of a quota; `None` if one of them is in doubt or in use. `limiter`: `None` for a
    /// customer that leases units.
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

    /// Returns whether units of the customer are known to be added in this epoch, to a number that units are leased
    /// from.
    pub fn has_added_in(&self, epoch: u64) -> bool {
        !self.is_windowed() && self.adder.has_added_in(epoch)
    }

    /// Returns the complete state. `fresh`: the state of the same customer as if it were met now, whose configuration
    /// applies. The bucket of a customer that is admitted by windows holds nothing to restore.
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
