//! The compact state of a token bucket.

use super::{BucketConfig, LatestTotal, TokenBucket, MIN_DIVISOR};
use crate::idempotent_add::MemberCounters;
use crate::time::{Time, MILLISECOND};

/// The compact state of a token bucket. Units are stored with seven significant digits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CompactBucket {
    refilled_at: Time,
    /// Milliseconds since the customer's first request, saturating.
    age_ms: u32,
    unspent_lease: f32,
    /// The level scaled to a fraction of one, also if this gateway's fraction is smaller because there is no counter.
    level: f32,
    complete_level: f32,
    requested_units: f32,
    total_units: f32,
    total_epoch: u32,
    member_counters: MemberCounters,
    has_member_counters: bool,
    has_total: bool,
    has_credit_history: bool,
    is_over_limit: bool,
    /// Milliseconds until the customer may get credit.
    no_credit_ms: u16,
}

impl TokenBucket {
    /// Returns the compact state; `None` during an outage or partition, for a ceiling, or if a number does not fit.
    ///
    /// It does not record which gateways the customer's traffic came through: as at a first request, that means a
    /// smaller fraction in an outage.
    pub(crate) fn compact(&self) -> Option<CompactBucket> {
        let has_no_counter = self.config.has_no_counter;
        let is_partitioned = !self.view.is_complete() && !has_no_counter;
        let is_in_outage = self.outage.is_some() && !has_no_counter;
        if self.config.is_ceiling || is_partitioned || is_in_outage || self.is_just_recovered {
            return None;
        }
        let no_credit_ms = self.no_credit_until.saturating_sub(self.refilled_at).div_ceil(MILLISECOND);
        let age_ms = self.refilled_at.saturating_sub(self.first_request_at) / MILLISECOND;
        let total_epoch = self.latest_total.map_or(0, |total| total.epoch);
        let member_counters = self.latest_total.and_then(|total| total.member_counters);
        Some(CompactBucket {
            refilled_at: self.refilled_at,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            unspent_lease: self.unspent_lease as f32,
            level: (self.level / self.view.burst_fraction().max(MIN_DIVISOR)) as f32,
            complete_level: self.complete_level_now() as f32,
            requested_units: self.requested_units as f32,
            total_units: self.latest_total.map_or(0.0, |total| total.units) as f32,
            total_epoch: u32::try_from(total_epoch).ok()?,
            member_counters: member_counters.unwrap_or_default(),
            has_member_counters: member_counters.is_some(),
            has_total: self.latest_total.is_some(),
            has_credit_history: self.credit_history_since.is_some(),
            is_over_limit: self.is_over_limit,
            no_credit_ms: u16::try_from(no_credit_ms).ok()?,
        })
    }

    /// Returns the bucket with this configuration, continued from the compact state of an earlier one. The caller
    /// refills it afterwards, which also updates its fraction.
    pub(crate) fn restored(state: CompactBucket, config: BucketConfig) -> TokenBucket {
        let fresh = TokenBucket::new(state.refilled_at, config);
        let burst = fresh.config.burst;
        let level = f64::from(state.level).min(burst);
        let first_request_at = state.refilled_at.saturating_sub(u64::from(state.age_ms) * MILLISECOND);
        let latest_total = LatestTotal {
            epoch: state.total_epoch.into(),
            units: state.total_units.into(),
            member_counters: state.has_member_counters.then_some(state.member_counters),
            at: state.refilled_at,
        };
        TokenBucket {
            unspent_lease: state.unspent_lease.into(),
            level,
            base_level: level,
            complete_level: f64::from(state.complete_level).min(burst),
            complete_level_at: state.refilled_at,
            was_complete: !config.has_no_counter,
            latest_total: state.has_total.then_some(latest_total),
            requested_units: state.requested_units.into(),
            is_over_limit: state.is_over_limit,
            no_credit_until: state.refilled_at + u64::from(state.no_credit_ms) * MILLISECOND,
            credit_history_since: state.has_credit_history.then_some(first_request_at),
            first_request_at,
            ..fresh
        }
    }
}
