//! What is kept of a customer that comes seldom: a fill, a time, and what it left on the counter, in some eighty
//! bytes in place of six hundred. It is nothing but a smaller form: whoever asks again goes on where it was, but that
//! it is not known any more which gateways it came through.

use crate::idempotent_add::{CompactAdder, IdempotentAdder};
use crate::token_bucket::{BucketConfig, CompactBucket, TokenBucket};
use crate::windowed_limiter::{CompactLimiter, WindowedLimiter};

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

/// A customer's quota at rest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompactState {
    adder: CompactAdder,
    kind: Kind,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Leased(CompactBucket),
    Rationed(CompactLimiter),
}

impl CompactState {
    /// The small form of these; `None`: one of them is in doubt, or in use.
    pub fn of(
        store: &TokenBucket,
        adder: &IdempotentAdder,
        ration: Option<&WindowedLimiter>,
    ) -> Option<CompactState> {
        let kind = match ration {
            Some(ration) => Kind::Rationed(ration.compact()?),
            None => Kind::Leased(store.rest()?),
        };
        Some(CompactState { adder: adder.compact()?, kind })
    }

    /// Whether it is one of a customer that is rationed.
    pub fn is_windowed(&self) -> bool {
        matches!(self.kind, Kind::Rationed(_))
    }

    /// Whether units of it are known to stand on the counter in this epoch, under a number that is leased from.
    pub fn has_added_in(&self, epoch: u64) -> bool {
        !self.is_windowed() && self.adder.has_added_in(epoch)
    }

    /// The full form, with these terms. `adder`, `store` and `ration` are those of a customer met now; a rationed
    /// one has nothing in its store.
    pub fn restore(&self, fresh: QuotaState) -> QuotaState {
        let config: BucketConfig = *fresh.bucket.config();
        let adder = fresh.adder.restored(self.adder);
        match self.kind {
            Kind::Leased(rest) => {
                QuotaState { bucket: TokenBucket::woken(rest, config), adder, limiter: None }
            }
            Kind::Rationed(rest) => QuotaState {
                bucket: fresh.bucket,
                adder,
                limiter: fresh.limiter.map(|limiter| limiter.restored(rest)),
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{CounterEpoch, CounterHealth, GatewaySet};

    const S: u64 = 1_000_000_000;
    const EPOCH: u64 = 50 * S;

    struct Quota {
        store: TokenBucket,
        adder: IdempotentAdder,
        contact: CounterHealth,
        total: f64,
        now: u64,
    }

    impl Quota {
        fn new(alone: bool) -> Quota {
            let set = GatewaySet { first_gateway: 0, set_size: 1, gateway_index: 0, gateways: 1 };
            let terms = BucketConfig {
                rate: 10.0,
                burst: 20.0,
                is_ceiling: false,
                has_no_counter: alone,
                gateway_set: set,
            };
            Quota {
                store: TokenBucket::new(EPOCH, terms),
                adder: IdempotentAdder::new(0, 1, 900.0, 0),
                contact: CounterHealth::new(0, 1),
                total: 0.0,
                now: EPOCH,
            }
        }

        /// Leases these units with one call, and spends them.
        fn use_up(&mut self, units: f64) {
            self.store.refill(self.now, &self.contact);
            self.store.record_demand(units);
            self.total += self.adder.start_call(self.now / EPOCH, units, false);
            let told = self.adder.complete_call(self.now / EPOCH, self.total, false);
            let epoch = CounterEpoch { number: self.now / EPOCH, start: self.now / EPOCH * EPOCH };
            self.store.record_total(self.now, &self.contact, epoch, &told, self.adder.mark_scheme());
            self.store.spend(units, &mut self.contact);
        }

        fn rest(&self) -> Option<CompactState> {
            CompactState::of(&self.store, &self.adder, None)
        }

        fn wake(&mut self, rest: CompactState) {
            let terms = *self.store.config();
            let new = (TokenBucket::new(self.now, terms), IdempotentAdder::new(0, 1, 900.0, 0));
            let restored = rest.restore(QuotaState { bucket: new.0, adder: new.1, limiter: None });
            (self.store, self.adder) = (restored.bucket, restored.adder);
        }

        fn left_after(&mut self, span: u64) -> (f64, f64) {
            self.now += span;
            self.store.refill(self.now, &self.contact);
            (self.store.available(), self.store.spendable())
        }
    }

    #[test]
    fn a_quota_goes_on_after_a_rest_where_it_was() {
        for (units, span) in [(1.0, 0), (7.5, S / 2), (19.0, S), (20.0, 40 * S)] {
            let [mut rested, mut awake] = [Quota::new(false), Quota::new(false)];
            for quota in [&mut rested, &mut awake] {
                quota.use_up(units);
                quota.now += S / 4;
            }
            let rest = rested.rest().expect("in no doubt");
            rested.wake(rest);
            let [one, other] = [&mut rested, &mut awake].map(|quota| quota.left_after(span));
            assert!((one.0 - other.0).abs() < 1e-5 && (one.1 - other.1).abs() < 1e-5, "{one:?} {other:?}");
            // What it left on the counter is still its own: the next total takes nothing from it but its own use.
            for quota in [&mut rested, &mut awake] {
                quota.use_up(2.0);
            }
            let [one, other] = [&mut rested, &mut awake].map(|quota| quota.left_after(0).0);
            assert!((one - other).abs() < 1e-5, "{one} {other}");
            assert_eq!(rested.total, awake.total, "marks go on from the digit that was left");
        }
    }

    #[test]
    fn without_a_counter_a_rest_gives_no_units() {
        let mut quota = Quota::new(true);
        quota.store.set_counter_unreachable(EPOCH, &quota.contact);
        quota.store.spend(20.0, &mut quota.contact);
        quota.store.refund(0.5);
        let before = quota.left_after(0);
        let rest = quota.rest().expect("in no doubt");
        quota.wake(rest);
        quota.store.set_counter_unreachable(quota.now, &quota.contact);
        let after = quota.left_after(0);
        assert!((before.1 - after.1).abs() < 1e-5, "{before:?} {after:?}");
    }

    #[test]
    fn what_is_in_doubt_has_no_rest() {
        let calls = |quota: &mut Quota| {
            quota.adder.start_call(1, 3.0, false);
        };
        let doubts = |quota: &mut Quota| {
            quota.adder.start_call(1, 3.0, false);
            quota.adder.fail_call(true);
        };
        let is_dark = |quota: &mut Quota| quota.store.set_counter_unreachable(quota.now, &quota.contact);
        for (name, make) in
            [("calls", &calls as &dyn Fn(&mut Quota)), ("doubts", &doubts), ("is dark", &is_dark)]
        {
            let mut quota = Quota::new(false);
            quota.use_up(1.0);
            assert!(quota.rest().is_some());
            make(&mut quota);
            assert!(quota.rest().is_none(), "one that {name}");
        }
    }

    #[test]
    fn a_ration_goes_on_with_its_share_and_its_credit() {
        let set = GatewaySet { first_gateway: 0, set_size: 1, gateway_index: 0, gateways: 1 };
        let terms = BucketConfig {
            rate: 10.0,
            burst: 1.0,
            is_ceiling: false,
            has_no_counter: false,
            gateway_set: set,
        };
        let new = || {
            (
                TokenBucket::new(EPOCH, terms),
                IdempotentAdder::new(0, 0, 900.0, 0),
                WindowedLimiter::new(10.0, 1.0, 0, 100),
            )
        };
        let (store, adder, mut ration) = new();
        ration.set_initial_credit(0.3);
        ration.record_request(EPOCH + S / 2, 4.0, 1.0, EPOCH);
        let window = ration.window_at(EPOCH + S / 2);
        ration.record_total(EPOCH + S / 2, window, 40.0, 4.0);
        let rest = CompactState::of(&store, &adder, Some(&ration)).expect("in no doubt");
        let (store, adder, fresh) = new();
        let woken = rest.restore(QuotaState { bucket: store, adder, limiter: Some(fresh) }).limiter;
        let mut woken = woken.expect("rationed");
        for at in [EPOCH + S / 2, EPOCH + 2 * S] {
            let [mine, other] = [&woken, &ration].map(|ration| ration.demand_ratio(at).unwrap());
            assert!((mine - other).abs() < 1e-5 && mine > 3.0, "{mine} {other}");
        }
        let odds = [&mut woken, &mut ration].map(|ration| {
            ration.record_request(EPOCH + 20 * S, 4.0, 1.0, EPOCH);
            ration.admission_probability(EPOCH + 20 * S, false, 0.0)
        });
        assert!((odds[0] - odds[1]).abs() < 1e-5 && odds[0] < 0.5, "{odds:?}");
        let granted =
            |ration: &mut WindowedLimiter| (0..9).map(|_| ration.admit(1.0, 0.25)).collect::<Vec<_>>();
        assert_eq!(granted(&mut woken), granted(&mut ration));
    }

    #[test]
    fn a_rest_is_small() {
        assert!(size_of::<CompactState>() <= 80, "{} bytes", size_of::<CompactState>());
    }
}
