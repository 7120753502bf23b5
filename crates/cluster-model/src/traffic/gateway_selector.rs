//! Through which gateway a request comes.

use super::Arrival;
use crate::rng::Rng;
use crate::scenario::{Event, Site, Timed, Traffic};
use crate::Span;

/// A while in which the gateways of a building get another part of the traffic than usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BuildingBias {
    /// From here, from the first moment of the traffic.
    pub from: Span,
    /// To here.
    pub until: Span,
    /// The building, numbered from 0.
    pub building: u32,
    /// How many times its usual weight.
    pub factor: f64,
}

impl BuildingBias {
    /// All that a scenario's events speak of.
    pub fn from_events(events: &[Timed]) -> Vec<BuildingBias> {
        let lean = |timed: &Timed| match timed.event {
            Event::Lean(building, times, span) => {
                let until = timed.at.saturating_add(span);
                Some(BuildingBias {
                    from: timed.at,
                    until,
                    building: building.saturating_sub(1),
                    factor: times,
                })
            }
            _ => None,
        };
        events.iter().filter_map(lean).collect()
    }
}

/// Deals out each customer's requests among the gateways of its set, by weights that change now and then.
#[derive(Clone, Debug)]
pub struct GatewaySelector {
    seed: u64,
    gateways: u32,
    buildings: u32,
    skew: f64,
    shift: Span,
    /// Of each gateway, whoever asks; empty: all the same.
    uneven: Vec<f64>,
    leans: Vec<BuildingBias>,
}

impl GatewaySelector {
    /// For this site.
    pub fn new(site: &Site, traffic: &Traffic, seed: u64) -> GatewaySelector {
        let gateways = site.gateways.max(1);
        let weight = |gateway: u32| {
            let place = Rng::stream(seed, "uneven", u64::from(gateway)).unit();
            libm::pow(1.0 - place, traffic.uneven)
        };
        let uneven = (0..gateways).filter(|_| traffic.uneven > 0.0).map(weight).collect();
        let (skew, shift, buildings) = (traffic.skew.max(0.0), traffic.shift, site.buildings.max(1));
        GatewaySelector { seed, gateways, buildings, skew, shift, uneven, leans: Vec::new() }
    }

    /// The same, leaning to a building now and then.
    pub fn with_biases(self, leans: &[BuildingBias]) -> GatewaySelector {
        GatewaySelector { leans: leans.to_vec(), ..self }
    }

    /// The gateway for a try, numbered from 0, that is made at `at`; only `usable` ones come into question,
    /// and one that is not leaves the requests of the others where they are. `None`: there is none.
    pub fn select(
        &self,
        arrival: &Arrival,
        try_number: u32,
        at: Span,
        mut usable: impl FnMut(u32) -> bool,
    ) -> Option<u32> {
        let mut weights = self.weights(arrival.customer, at);
        let mut race =
            Rng::stream(self.seed, "gateway", crate::requests::request_id(arrival.operation, try_number));
        let mut best: Option<(f64, u32)> = None;
        for step in 0..arrival.gateway_set_size {
            let gateway =
                ((u64::from(arrival.first_gateway) + u64::from(step)) % u64::from(self.gateways)) as u32;
            // Whoever has the first event of a stream with its weight as the rate: by its share of all weights.
            let weight = self.weight(&mut weights) * self.favour(gateway, at);
            let event = race.exponential(1.0) / weight;
            if best.is_none_or(|(least, _)| event < least) && usable(gateway) {
                best = Some((event, gateway));
            }
        }
        best.map(|(_, gateway)| gateway)
    }

    /// What a gateway's weight is multiplied by, whoever asks.
    fn favour(&self, gateway: u32, at: Span) -> f64 {
        let building = gateway % self.buildings;
        let now = |lean: &&BuildingBias| lean.building == building && (lean.from..lean.until).contains(&at);
        let leans: f64 = self.leans.iter().filter(now).map(|lean| lean.factor).product();
        self.uneven.get(gateway as usize).copied().unwrap_or(1.0) * leans
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
