//! A customer whose burst is too thin to lease blocks of it to all its gateways: some requests ask the counter,
//! each for several, and what all gateways were asked for gives the share that the quota covers.

use crate::{Time, SECOND};

/// What is known of a rationed customer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ration {
    rate: f64,
    burst: f64,
    /// Share of what is asked for that the quota covers, once known.
    share: Option<f64>,
    /// Units let in by the odds and not yet used.
    credit: f64,
    /// The store at the latest total.
    store: f64,
    seen: Option<(u64, f64, Time)>,
}

/// All that a ration at rest has to remember.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RationAtRest {
    at: Time,
    total: f64,
    epoch: u32,
    credit: f32,
    store: f32,
    share: Option<f32>,
    is_seen: bool,
}

impl Ration {
    /// For a customer with this rate, in units a second, and burst.
    pub fn new(rate: f64, burst: f64) -> Ration {
        Ration { rate, burst, share: None, credit: 0.0, store: burst, seen: None }
    }

    /// What there is to remember of one.
    pub(crate) fn rest(&self) -> Option<RationAtRest> {
        let Ration { share, credit, store, seen, .. } = *self;
        let (epoch, total, at) = seen.unwrap_or_default();
        let epoch = u32::try_from(epoch).ok()?;
        let (credit, store, share) = (credit as f32, store as f32, share.map(|share| share as f32));
        Some(RationAtRest { at, total, epoch, credit, store, share, is_seen: seen.is_some() })
    }

    /// One of a customer with this rate and burst, with what another had to remember.
    pub(crate) fn woken(rest: RationAtRest, rate: f64, burst: f64) -> Ration {
        let RationAtRest { at, total, epoch, credit, store, share, is_seen } = rest;
        Ration {
            rate,
            burst,
            share: share.map(f64::from),
            credit: credit.into(),
            store: f64::from(store).min(burst),
            seen: is_seen.then_some((epoch.into(), total, at)),
        }
    }

    /// The quota is another from now on.
    pub fn retune(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.store = self.store.min(burst);
    }

    /// Share of what is asked for that the quota covers, once known.
    pub fn share(&self) -> Option<f64> {
        self.share
    }

    /// Begins somewhere between nothing and one request, so that gateways do not all begin alike.
    pub fn begin(&mut self, units: f64) {
        self.credit = units;
    }

    /// Whether a request is let in: at those odds, spread evenly.
    pub fn grant(&mut self, units: f64, odds: f64) -> bool {
        self.credit = (self.credit + units * odds.clamp(0.0, 1.0)).min(2.0 * units);
        let granted = self.credit + 1e-9 >= units;
        self.credit -= if granted { units } else { 0.0 };
        granted
    }

    /// The count holds this total, with `amount` of ours added last. `epoch`: which one, and since when its
    /// count has been kept. Gives the share.
    pub fn counted(&mut self, now: Time, epoch: (u64, Time), total: f64, amount: f64) -> f64 {
        let seen = self.seen.filter(|(then, before, _)| *then == epoch.0 && *before <= total);
        let (before, since, store) = match seen {
            Some((_, before, at)) => (before, at, self.store),
            None => (0.0, epoch.1, self.burst),
        };
        let asked = total - before;
        let filled = store + self.rate * (now.saturating_sub(since) as f64 / SECOND);
        let share = (filled / asked.max(amount).max(1e-9)).clamp(0.0, 1.0);
        self.store = (filled - asked).clamp(0.0, self.burst);
        self.seen = Some((epoch.0, total, now));
        self.share = Some(share);
        share
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_share_is_what_the_quota_covers_of_what_is_asked() {
        let mut ration = Ration::new(10.0, 20.0);
        let at = |seconds: u64| seconds * 1_000_000_000;
        assert_eq!(ration.counted(at(100), (2, at(100)), 40.0, 4.0), 0.5);
        // Ten units came in a second, and twenty were asked for.
        assert_eq!(ration.counted(at(101), (2, at(100)), 60.0, 4.0), 0.5);
        assert_eq!(ration.counted(at(111), (2, at(100)), 80.0, 4.0), 1.0);
        assert_eq!(ration.share(), Some(1.0));
    }

    #[test]
    fn grants_follow_the_odds_evenly() {
        let mut ration = Ration::new(10.0, 20.0);
        let granted = (0..100).filter(|_| ration.grant(2.0, 0.25)).count();
        assert_eq!(granted, 25);
    }
}
