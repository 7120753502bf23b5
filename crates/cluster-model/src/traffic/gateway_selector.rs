//! Selection of the gateway that a request is sent to.

use super::Arrival;
use crate::rng::Rng;
use crate::scenario::{Event, ScheduledEvent, Site, Traffic};
use crate::Span;

/// A time window in which the gateways of a building get more or less of the traffic than usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BuildingBias {
    /// Start of the window, from the start of the traffic.
    pub from: Span,
    /// End of the window.
    pub until: Span,
    /// The building, numbered from 0.
    pub building: u32,
    /// Multiple of the building's usual weight.
    pub factor: f64,
}

impl BuildingBias {
    /// The building biases of a scenario.
    pub fn from_events(events: &[ScheduledEvent]) -> Vec<BuildingBias> {
        let bias = |timed: &ScheduledEvent| match timed.event {
            Event::SkewTraffic(building, factor, span) => {
                let until = timed.at.saturating_add(span);
                Some(BuildingBias { from: timed.at, until, building: building.saturating_sub(1), factor })
            }
            _ => None,
        };
        events.iter().filter_map(bias).collect()
    }
}

/// Distributes each customer's requests over the gateways of its set, by weights that change periodically.
#[derive(Clone, Debug)]
pub struct GatewaySelector {
    seed: u64,
    gateways: u32,
    buildings: u32,
    skew: f64,
    shift: Span,
    /// Weight of each gateway for all customers; empty if all weights are equal.
    gateway_weights: Vec<f64>,
    biases: Vec<BuildingBias>,
}

impl GatewaySelector {
    /// Creates the selector for a site.
    pub fn new(site: &Site, traffic: &Traffic, seed: u64) -> GatewaySelector {
        let gateways = site.gateways.max(1);
        let weight = |gateway: u32| {
            let draw = Rng::stream(seed, "uneven", u64::from(gateway)).unit();
            libm::pow(1.0 - draw, traffic.gateway_imbalance)
        };
        let gateway_weights = (0..gateways).filter(|_| traffic.gateway_imbalance > 0.0).map(weight).collect();
        let (skew, shift, buildings) =
            (traffic.skew.max(0.0), traffic.imbalance_interval, site.buildings.max(1));
        GatewaySelector { seed, gateways, buildings, skew, shift, gateway_weights, biases: Vec::new() }
    }

    /// Returns the selector with these building biases.
    pub fn with_biases(self, biases: &[BuildingBias]) -> GatewaySelector {
        GatewaySelector { biases: biases.to_vec(), ..self }
    }

    /// Selects the gateway, numbered from 0, for a request sent at `at`; `retry` is 0 for the first request of
    /// the operation. Only gateways that are `usable` are selected; an unusable gateway does not change the
    /// selection of requests that go to other gateways. Returns `None` if no gateway is usable.
    pub fn select(
        &self,
        arrival: &Arrival,
        retry: u32,
        at: Span,
        mut usable: impl FnMut(u32) -> bool,
    ) -> Option<u32> {
        let mut weights = self.customer_weights(arrival.customer, at);
        let mut rng =
            Rng::stream(self.seed, "gateway", crate::requests::request_id(arrival.operation, retry));
        let mut best: Option<(f64, u32)> = None;
        for step in 0..arrival.gateway_set_size {
            let gateway =
                ((u64::from(arrival.first_gateway) + u64::from(step)) % u64::from(self.gateways)) as u32;
            // The first event among Poisson processes whose rates are the weights: each gateway is selected
            // with a probability proportional to its weight.
            let weight = self.next_weight(&mut weights) * self.shared_weight(gateway, at);
            let event = rng.exponential(1.0) / weight;
            if best.is_none_or(|(least, _)| event < least) && usable(gateway) {
                best = Some((event, gateway));
            }
        }
        best.map(|(_, gateway)| gateway)
    }

    /// The part of a gateway's weight that is the same for all customers.
    fn shared_weight(&self, gateway: u32, at: Span) -> f64 {
        let building = gateway % self.buildings;
        let active =
            |bias: &&BuildingBias| bias.building == building && (bias.from..bias.until).contains(&at);
        let biases: f64 = self.biases.iter().filter(active).map(|bias| bias.factor).product();
        self.gateway_weights.get(gateway as usize).copied().unwrap_or(1.0) * biases
    }

    /// Random stream of a customer's weights at `at`.
    fn customer_weights(&self, customer: u64, at: Span) -> Rng {
        let period = at.checked_div(self.shift).unwrap_or(0);
        Rng::stream(self.seed, "weights", customer ^ period << 33)
    }

    /// Draws the next weight, above 0 and at most 1.
    fn next_weight(&self, weights: &mut Rng) -> f64 {
        libm::pow(1.0 - weights.unit(), self.skew)
    }
}
