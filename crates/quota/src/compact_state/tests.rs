use super::*;
use crate::{BucketConfig, CounterEpoch, CounterHealth, GatewaySet};

const S: u64 = 1_000_000_000;
const EPOCH: u64 = 50 * S;

/// One customer's quota at the only gateway of a fleet, and the total of its number.
struct Quota {
    bucket: TokenBucket,
    adder: IdempotentAdder,
    health: CounterHealth,
    total: f64,
    now: u64,
}

impl Quota {
    fn new(has_no_counter: bool) -> Quota {
        let set = GatewaySet { first_gateway: 0, set_size: 1, gateway_index: 0, gateways: 1 };
        let config =
            BucketConfig { rate: 10.0, burst: 20.0, is_ceiling: false, has_no_counter, gateway_set: set };
        Quota {
            bucket: TokenBucket::new(EPOCH, config),
            adder: IdempotentAdder::new(0, 1, 900.0, 0),
            health: CounterHealth::new(0, 1),
            total: 0.0,
            now: EPOCH,
        }
    }

    /// Leases these units with one call, and spends them.
    fn use_up(&mut self, units: f64) {
        self.bucket.refill(self.now, &self.health);
        self.bucket.record_demand(units);
        self.total += self.adder.start_call(self.now / EPOCH, units, false);
        let outcome = self.adder.complete_call(self.now / EPOCH, self.total, false);
        let epoch = CounterEpoch { number: self.now / EPOCH, start: self.now / EPOCH * EPOCH };
        self.bucket.record_total(self.now, &self.health, epoch, &outcome, self.adder.mark_scheme());
        self.bucket.spend(units, &mut self.health);
    }

    fn compact(&self) -> Option<CompactState> {
        CompactState::of(&self.bucket, &self.adder, None)
    }

    fn restore(&mut self, state: CompactState) {
        let config = *self.bucket.config();
        let fresh = QuotaState {
            bucket: TokenBucket::new(self.now, config),
            adder: IdempotentAdder::new(0, 1, 900.0, 0),
            limiter: None,
        };
        let restored = state.restore(fresh);
        self.bucket = restored.bucket;
        self.adder = restored.adder;
    }

    /// Returns the units that are available and spendable after this span.
    fn units_after(&mut self, span: u64) -> (f64, f64) {
        self.now += span;
        self.bucket.refill(self.now, &self.health);
        (self.bucket.available(), self.bucket.spendable())
    }
}

#[test]
fn a_restored_quota_equals_one_that_was_kept() {
    for (units, span) in [(1.0, 0), (7.5, S / 2), (19.0, S), (20.0, 40 * S)] {
        let [mut restored, mut kept] = [Quota::new(false), Quota::new(false)];
        for quota in [&mut restored, &mut kept] {
            quota.use_up(units);
            quota.now += S / 4;
        }
        let state = restored.compact().expect("nothing is in doubt");
        restored.restore(state);
        let [one, other] = [&mut restored, &mut kept].map(|quota| quota.units_after(span));
        assert!((one.0 - other.0).abs() < 1e-5 && (one.1 - other.1).abs() < 1e-5, "{one:?} {other:?}");
        // The units that it added to the counter still count as its own: the next total takes only the new ones from
        // it.
        for quota in [&mut restored, &mut kept] {
            quota.use_up(2.0);
        }
        let [one, other] = [&mut restored, &mut kept].map(|quota| quota.units_after(0).0);
        assert!((one - other).abs() < 1e-5, "{one} {other}");
        assert_eq!(restored.total, kept.total, "marks continue from the member's latest counter");
    }
}

#[test]
fn restoring_a_quota_without_a_counter_leaves_its_spendable_units_unchanged() {
    let mut quota = Quota::new(true);
    quota.bucket.set_counter_unreachable(EPOCH, &quota.health);
    quota.bucket.spend(20.0, &mut quota.health);
    quota.bucket.refund(0.5);
    let before = quota.units_after(0);
    let state = quota.compact().expect("nothing is in doubt");
    quota.restore(state);
    quota.bucket.set_counter_unreachable(quota.now, &quota.health);
    let after = quota.units_after(0);
    assert!((before.1 - after.1).abs() < 1e-5, "{before:?} {after:?}");
}

#[test]
fn a_quota_with_an_unsettled_call_or_an_outage_has_no_compact_state() {
    let has_call_in_flight = |quota: &mut Quota| {
        quota.adder.start_call(1, 3.0, false);
    };
    let has_add_in_doubt = |quota: &mut Quota| {
        quota.adder.start_call(1, 3.0, false);
        quota.adder.fail_call(true);
    };
    let is_in_outage = |quota: &mut Quota| quota.bucket.set_counter_unreachable(quota.now, &quota.health);
    for (state, enter_state) in [
        ("has a call in flight", &has_call_in_flight as &dyn Fn(&mut Quota)),
        ("has an add in doubt", &has_add_in_doubt),
        ("is in an outage", &is_in_outage),
    ] {
        let mut quota = Quota::new(false);
        quota.use_up(1.0);
        assert!(quota.compact().is_some());
        enter_state(&mut quota);
        assert!(quota.compact().is_none(), "a quota that {state}");
    }
}

#[test]
fn a_restored_limiter_continues_with_its_demand_ratio_and_its_credit() {
    let set = GatewaySet { first_gateway: 0, set_size: 1, gateway_index: 0, gateways: 1 };
    let config =
        BucketConfig { rate: 10.0, burst: 1.0, is_ceiling: false, has_no_counter: false, gateway_set: set };
    let new_parts = || {
        (
            TokenBucket::new(EPOCH, config),
            IdempotentAdder::new(0, 0, 900.0, 0),
            WindowedLimiter::new(10.0, 1.0, 0, 100),
        )
    };
    let (bucket, adder, mut limiter) = new_parts();
    limiter.set_initial_credit(0.3);
    limiter.record_request(EPOCH + S / 2, 4.0, 1.0, EPOCH);
    let window = limiter.window_at(EPOCH + S / 2);
    limiter.record_total(EPOCH + S / 2, window, 40.0, 4.0);
    let state = CompactState::of(&bucket, &adder, Some(&limiter)).expect("nothing is in doubt");
    let (bucket, adder, fresh) = new_parts();
    let restored = state.restore(QuotaState { bucket, adder, limiter: Some(fresh) }).limiter;
    let mut restored = restored.expect("the customer is admitted by windows");
    for at in [EPOCH + S / 2, EPOCH + 2 * S] {
        let [one, other] = [&restored, &limiter].map(|limiter| limiter.demand_ratio(at).unwrap());
        assert!((one - other).abs() < 1e-5 && one > 3.0, "{one} {other}");
    }
    let probabilities = [&mut restored, &mut limiter].map(|limiter| {
        limiter.record_request(EPOCH + 20 * S, 4.0, 1.0, EPOCH);
        limiter.admission_probability(EPOCH + 20 * S, false, 0.0)
    });
    assert!(
        (probabilities[0] - probabilities[1]).abs() < 1e-5 && probabilities[0] < 0.5,
        "{probabilities:?}"
    );
    let admitted =
        |limiter: &mut WindowedLimiter| (0..9).map(|_| limiter.admit(1.0, 0.25)).collect::<Vec<_>>();
    assert_eq!(admitted(&mut restored), admitted(&mut limiter));
}

#[test]
fn a_compact_state_takes_at_most_eighty_bytes() {
    assert!(size_of::<CompactState>() <= 80, "{} bytes", size_of::<CompactState>());
}
