//! Through which gateway a request comes.

use super::Arrival;
use crate::rng::Rng;
use crate::scenario::{Site, Traffic};
use crate::Span;

/// Deals out each customer's requests among the gateways of its set, by weights that change now and then.
#[derive(Clone, Copy, Debug)]
pub struct Deal {
    seed: u64,
    gateways: u32,
    skew: f64,
    shift: Span,
}

impl Deal {
    /// For this site.
    pub fn new(site: &Site, traffic: &Traffic, seed: u64) -> Deal {
        Deal { seed, gateways: site.gateways.max(1), skew: traffic.skew.max(0.0), shift: traffic.shift }
    }

    /// The gateway for a try, numbered from 0, that is made at `at`; only `usable` ones come into question,
    /// and one that is not leaves the requests of the others where they are. `None`: there is none.
    pub fn pick(
        &self,
        arrival: &Arrival,
        try_number: u32,
        at: Span,
        mut usable: impl FnMut(u32) -> bool,
    ) -> Option<u32> {
        let mut weights = self.weights(arrival.customer, at);
        let mut race = Rng::stream(self.seed, "gateway", crate::draw::id(arrival.thing, try_number));
        let mut best: Option<(f64, u32)> = None;
        for step in 0..arrival.spread {
            // Whoever has the first event of a stream with its weight as the rate: by its share of all weights.
            let event = race.exponential(1.0) / self.weight(&mut weights);
            let gateway = ((u64::from(arrival.first) + u64::from(step)) % u64::from(self.gateways)) as u32;
            if best.is_none_or(|(least, _)| event < least) && usable(gateway) {
                best = Some((event, gateway));
            }
        }
        best.map(|(_, gateway)| gateway)
    }

    /// Where a customer's weights are drawn from at that time.
    fn weights(&self, customer: u64, at: Span) -> Rng {
        let turn = at.checked_div(self.shift).unwrap_or(0);
        Rng::stream(self.seed, "weights", customer ^ turn << 33)
    }

    /// Above 0, up to 1.
    fn weight(&self, weights: &mut Rng) -> f64 {
        libm::pow(1.0 - weights.unit(), self.skew)
    }
}
