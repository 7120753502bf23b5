//! The sequence of operations that customers start.

use super::customers::{self, Customer, PlanRates};
use super::demand_phases::DemandPhases;
use super::traffic_window::{self, TrafficWindow};
use super::{BuildingBias, GatewaySelector};
use crate::requests::RequestSampler;
use crate::rng::Rng;
use crate::scenario::{Site, Traffic};
use crate::{Span, SECOND};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Bits of an operation's number that hold its index. The bits above are the layer: 0 for the usual traffic,
/// `n` for the additional traffic of the `n`-th window. Adding a window therefore renumbers no other operation.
pub const OPERATION_INDEX_BITS: u32 = 40;

/// The start of an operation.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time from the start of the traffic.
    pub at: Span,
    /// Number of the operation: from 1 in time order, with gaps where a window removes traffic. Additional
    /// traffic of a window has a separate number range, see [`OPERATION_INDEX_BITS`].
    pub operation: u64,
    /// Customer who starts the operation.
    pub customer: u64,
    /// Index of the customer's plan in the site.
    pub plan: u32,
    /// Index of the operation's class in the site.
    pub class: u32,
    /// Number of gateways in the customer's set.
    pub gateway_set_size: u32,
    /// First gateway of the set; the others follow it in sequence, wrapping around.
    pub first_gateway: u32,
    /// Gateway that the first request is sent to if it is up.
    pub gateway: u32,
}

/// The arrivals of one customer in one layer: its usual traffic, or the additional traffic of a window.
#[derive(Clone, Debug)]
struct ArrivalStream {
    customer: u32,
    layer: u32,
    rng: Rng,
    phases: DemandPhases,
    at: Span,
}

impl ArrivalStream {
    fn new(index: u32, customer: &Customer, layer: u32, from: Span, seed: u64) -> ArrivalStream {
        let mut phases = DemandPhases::new(customer.pattern, Rng::stream(seed, "spells", u64::from(index)));
        phases.seek(from);
        let number = u64::from(layer) << 32 | u64::from(index);
        ArrivalStream { customer: index, layer, rng: Rng::stream(seed, "arrivals", number), phases, at: from }
    }

    /// Next event of a Poisson process at `factor` times the customer's rate; `None` if there is none.
    fn next_event(&mut self, customer: &Customer, factor: f64) -> Option<Span> {
        let mut remaining = self.rng.exponential(1.0);
        loop {
            let rate = factor * if self.phases.is_high() { customer.high_rate } else { customer.base_rate };
            let until = self.phases.ends_at();
            let passed = (until - self.at) as f64 / SECOND as f64 * rate;
            if remaining < passed {
                let ahead = (remaining / rate * SECOND as f64) as Span;
                self.at = self.at.saturating_add(ahead).min(until);
                return Some(self.at);
            }
            remaining -= passed;
            self.at = until;
            if !self.phases.advance() {
                return None;
            }
        }
    }

    /// Time of the next arrival in this stream.
    fn next(&mut self, customer: &Customer, windows: &[TrafficWindow]) -> Option<Span> {
        let Some(window) = (self.layer as usize).checked_sub(1).and_then(|n| windows.get(n)) else {
            return self.next_event(customer, 1.0);
        };
        loop {
            let at = self.next_event(customer, window.max_increase()).filter(|at| *at < window.until)?;
            if self.rng.chance(window.increase(at) / window.max_increase()) {
                return Some(at);
            }
        }
    }
}

/// An endless iterator over all arrivals in time order.
#[derive(Clone, Debug)]
pub struct Arrivals {
    seed: u64,
    customers: Vec<Customer>,
    rates: Vec<PlanRates>,
    streams: Vec<ArrivalStream>,
    /// Time of the next arrival and index of its stream.
    next_arrivals: BinaryHeap<Reverse<(Span, usize)>>,
    windows: Vec<TrafficWindow>,
    /// Operations so far, by layer.
    counts: Vec<u64>,
    /// Shares of the classes.
    classes: Vec<f64>,
    selector: GatewaySelector,
}

impl Arrivals {
    /// The usual traffic of a site.
    pub fn new(site: &Site, traffic: &Traffic, seed: u64) -> Arrivals {
        let mean_units = RequestSampler::new(seed, traffic).mean_units();
        let (customers, rates) = customers::make(site, traffic, mean_units, seed);
        let mut arrivals = Arrivals {
            seed,
            rates,
            streams: Vec::with_capacity(customers.len()),
            next_arrivals: BinaryHeap::with_capacity(customers.len()),
            customers,
            windows: Vec::new(),
            counts: Vec::new(),
            classes: site.classes.iter().map(|class| class.share.max(0.0)).collect(),
            selector: GatewaySelector::new(site, traffic, seed),
        };
        arrivals.add_layer(0);
        arrivals
    }

    /// Adds traffic windows; to be called before the first call of `next`. Arrivals outside the windows stay
    /// the same.
    pub fn with_windows(mut self, windows: &[TrafficWindow]) -> Arrivals {
        for window in windows {
            self.windows.push(*window);
            self.add_layer(window.from);
        }
        self
    }

    /// Returns the arrivals with these building biases.
    pub fn with_biases(self, biases: &[BuildingBias]) -> Arrivals {
        Arrivals { selector: self.selector.with_biases(biases), ..self }
    }

    /// Adds a stream for each customer, for the usual traffic or for the window added last.
    fn add_layer(&mut self, from: Span) {
        let layer = self.counts.len() as u32;
        self.counts.push(0);
        if layer > 0 && self.windows.last().is_none_or(|window| window.max_increase() <= 0.0) {
            return;
        }
        for (index, customer) in self.customers.iter().enumerate() {
            let mut stream = ArrivalStream::new(index as u32, customer, layer, from, self.seed);
            if let Some(at) = stream.next(customer, &self.windows) {
                self.next_arrivals.push(Reverse((at, self.streams.len())));
                self.streams.push(stream);
            }
        }
    }

    /// Mean demand of the customers of each plan, outside traffic windows.
    pub fn rates(&self) -> &[PlanRates] {
        &self.rates
    }

    /// Traffic at `at` as a multiple of the usual traffic.
    pub fn traffic_factor(&self, at: Span) -> f64 {
        traffic_window::traffic_factor(&self.windows, at)
    }

    /// Whether an operation is retained by windows that reduce the traffic.
    fn is_kept(&self, operation: u64, at: Span) -> bool {
        let share = traffic_window::remaining_share(&self.windows, at);
        share >= 1.0 || Rng::stream(self.seed, "kept", operation).chance(share)
    }

    fn class(&self, operation: u64) -> u32 {
        let total: f64 = self.classes.iter().sum();
        let mut remaining = Rng::stream(self.seed, "class", operation).unit() * total;
        let found = self.classes.iter().position(|share| {
            remaining -= share;
            remaining < 0.0
        });
        found.unwrap_or(self.classes.len().saturating_sub(1)) as u32
    }

    fn arrival(&self, at: Span, operation: u64, customer: &Customer) -> Arrival {
        let mut arrival = Arrival {
            at,
            operation,
            customer: customer.number,
            plan: customer.plan,
            class: self.class(operation),
            gateway_set_size: customer.gateway_set_size,
            first_gateway: customer.first_gateway,
            gateway: customer.first_gateway,
        };
        arrival.gateway = self.selector.select(&arrival, 0, at, |_| true).unwrap_or(customer.first_gateway);
        arrival
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        while let Some(Reverse((at, index))) = self.next_arrivals.pop() {
            let stream = &mut self.streams[index];
            let (layer, customer) = (stream.layer, stream.customer as usize);
            if let Some(next) = stream.next(&self.customers[customer], &self.windows) {
                self.next_arrivals.push(Reverse((next, index)));
            }
            let count = &mut self.counts[layer as usize];
            *count += 1;
            let operation = u64::from(layer) << OPERATION_INDEX_BITS | *count;
            if self.is_kept(operation, at) {
                return Some(self.arrival(at, operation, &self.customers[customer]));
            }
        }
        None
    }
}
