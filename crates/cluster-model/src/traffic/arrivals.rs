//! Who asks for what, and when.

use super::customers::{self, Customer, PlanRates};
use super::spells::Spells;
use super::traffic_window::{self as scale, TrafficWindow};
use super::{BuildingBias, GatewaySelector};
use crate::requests::RequestSampler;
use crate::rng::Rng;
use crate::scenario::{Site, Traffic};
use crate::{Span, SECOND};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Bits of a thing's number that count. The bits above them are 0 for the usual traffic, and name the window,
/// from 1, of what comes on top: a window renumbers nothing.
pub const OPERATION_INDEX_BITS: u32 = 40;

/// Somebody asks for something.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the first moment of the traffic.
    pub at: Span,
    /// Its number: from 1 in the order of time, with holes where a window takes traffic away. What a window
    /// adds is counted in a range of its own, see [`OPERATION_INDEX_BITS`].
    pub operation: u64,
    /// Who asks.
    pub customer: u64,
    /// Position of its plan in the site.
    pub plan: u32,
    /// Position of the class in the site.
    pub class: u32,
    /// Gateways in the customer's set.
    pub gateway_set_size: u32,
    /// The first of them; the others follow in a row, counted round.
    pub first_gateway: u32,
    /// The one that this comes through, if it is up.
    pub gateway: u32,
}

/// One stream of requests: a customer's usual ones, or what a window adds to them.
#[derive(Clone, Debug)]
struct Flow {
    customer: u32,
    lane: u32,
    rng: Rng,
    spells: Spells,
    at: Span,
}

impl Flow {
    fn new(customer: u32, of: &Customer, lane: u32, from: Span, seed: u64) -> Flow {
        let mut spells = Spells::new(of.kind, Rng::stream(seed, "spells", u64::from(customer)));
        spells.seek(from);
        let number = u64::from(lane) << 32 | u64::from(customer);
        Flow { customer, lane, rng: Rng::stream(seed, "arrivals", number), spells, at: from }
    }

    /// The next event of a Poisson stream of `times` the customer's rate. `None`: never.
    fn step(&mut self, of: &Customer, times: f64) -> Option<Span> {
        let mut left = self.rng.exponential(1.0);
        loop {
            let rate = times * if self.spells.loud() { of.loud } else { of.quiet };
            let until = self.spells.until();
            let passed = (until - self.at) as f64 / SECOND as f64 * rate;
            if left < passed {
                let ahead = (left / rate * SECOND as f64) as Span;
                self.at = self.at.saturating_add(ahead).min(until);
                return Some(self.at);
            }
            left -= passed;
            self.at = until;
            if !self.spells.turn() {
                return None;
            }
        }
    }

    /// When this stream's next request comes.
    fn next(&mut self, of: &Customer, scales: &[TrafficWindow]) -> Option<Span> {
        let Some(window) = (self.lane as usize).checked_sub(1).and_then(|n| scales.get(n)) else {
            return self.step(of, 1.0);
        };
        loop {
            let at = self.step(of, window.most_more()).filter(|at| *at < window.until)?;
            if self.rng.chance(window.more(at) / window.most_more()) {
                return Some(at);
            }
        }
    }
}

/// All that is asked for, in the order of time and without an end.
#[derive(Clone, Debug)]
pub struct Arrivals {
    seed: u64,
    customers: Vec<Customer>,
    rates: Vec<PlanRates>,
    flows: Vec<Flow>,
    due: BinaryHeap<Reverse<(Span, usize)>>,
    scales: Vec<TrafficWindow>,
    /// Requests so far, by lane.
    counts: Vec<u64>,
    /// Shares of the classes.
    classes: Vec<f64>,
    deal: GatewaySelector,
}

impl Arrivals {
    /// The usual traffic of a site.
    pub fn new(site: &Site, traffic: &Traffic, seed: u64) -> Arrivals {
        let mean_units = RequestSampler::new(seed, traffic).mean_units();
        let (customers, rates) = customers::make(site, traffic, mean_units, seed);
        let mut arrivals = Arrivals {
            seed,
            rates,
            flows: Vec::with_capacity(customers.len()),
            due: BinaryHeap::with_capacity(customers.len()),
            customers,
            scales: Vec::new(),
            counts: Vec::new(),
            classes: site.classes.iter().map(|class| class.share.max(0.0)).collect(),
            deal: GatewaySelector::new(site, traffic, seed),
        };
        arrivals.open_lane(0);
        arrivals
    }

    /// The same with windows of more or less traffic, before anything has been asked for. What comes outside
    /// the windows stays as it is.
    pub fn with_windows(mut self, scales: &[TrafficWindow]) -> Arrivals {
        for scale in scales {
            self.scales.push(*scale);
            self.open_lane(scale.from);
        }
        self
    }

    /// The same, leaning to a building now and then.
    pub fn with_biases(self, leans: &[BuildingBias]) -> Arrivals {
        Arrivals { deal: self.deal.with_biases(leans), ..self }
    }

    /// Starts a stream of each customer, for the usual traffic or for the newest window.
    fn open_lane(&mut self, from: Span) {
        let lane = self.counts.len() as u32;
        self.counts.push(0);
        if lane > 0 && self.scales.last().is_none_or(|scale| scale.most_more() <= 0.0) {
            return;
        }
        for (number, customer) in self.customers.iter().enumerate() {
            let mut flow = Flow::new(number as u32, customer, lane, from, self.seed);
            if let Some(at) = flow.next(customer, &self.scales) {
                self.due.push(Reverse((at, self.flows.len())));
                self.flows.push(flow);
            }
        }
    }

    /// What the customers of each plan ask for outside windows, on average over time.
    pub fn rates(&self) -> &[PlanRates] {
        &self.rates
    }

    /// How many times the usual traffic there is at that time.
    pub fn traffic_factor(&self, at: Span) -> f64 {
        scale::factor(&self.scales, at)
    }

    /// Whether the windows leave this thing its place.
    fn is_kept(&self, thing: u64, at: Span) -> bool {
        let left = scale::left(&self.scales, at);
        left >= 1.0 || Rng::stream(self.seed, "kept", thing).chance(left)
    }

    fn class(&self, thing: u64) -> u32 {
        let all: f64 = self.classes.iter().sum();
        let mut left = Rng::stream(self.seed, "class", thing).unit() * all;
        let found = self.classes.iter().position(|share| {
            left -= share;
            left < 0.0
        });
        found.unwrap_or(self.classes.len().saturating_sub(1)) as u32
    }

    fn arrival(&self, at: Span, thing: u64, customer: &Customer) -> Arrival {
        let mut arrival = Arrival {
            at,
            operation: thing,
            customer: customer.number,
            plan: customer.plan,
            class: self.class(thing),
            gateway_set_size: customer.spread,
            first_gateway: customer.first,
            gateway: customer.first,
        };
        arrival.gateway = self.deal.select(&arrival, 0, at, |_| true).unwrap_or(customer.first);
        arrival
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        while let Some(Reverse((at, number))) = self.due.pop() {
            let flow = &mut self.flows[number];
            let (lane, customer) = (flow.lane, flow.customer as usize);
            if let Some(next) = flow.next(&self.customers[customer], &self.scales) {
                self.due.push(Reverse((next, number)));
            }
            let count = &mut self.counts[lane as usize];
            *count += 1;
            let thing = u64::from(lane) << OPERATION_INDEX_BITS | *count;
            if self.is_kept(thing, at) {
                return Some(self.arrival(at, thing, &self.customers[customer]));
            }
        }
        None
    }
}
