//! Takes what was seen, and goes over all of it at the end.

use crate::downs::Downs;
use crate::ears::Ears;
use crate::finding::{Finding, Findings};
use crate::news::{News, Pairs, Sent};
use crate::tale::{Asked, Attempt, End, Tale, Through};
use crate::terms::Limits;
use crate::units::Spent;
use crate::{answers, claims, drains, twice, units, StateUse};
use cluster_model::observation::{Lifecycle, Observation, ObservationKind};
use cluster_model::Time;
use std::collections::BTreeMap;

/// The history of one run.
#[derive(Debug)]
pub struct History {
    terms: Limits,
    start: Time,
    tales: BTreeMap<u64, Tale>,
    pairs: Pairs,
    downs: Downs,
    ears: Ears,
    unasked: Vec<(Time, u32)>,
    claims: Vec<StateUse>,
}

impl History {
    /// Of a run whose first request is due at `start`, in nanoseconds on the clock of the sightings.
    pub fn new(terms: Limits, start: Time) -> History {
        History {
            terms,
            start,
            tales: BTreeMap::new(),
            pairs: Pairs::new(),
            downs: Downs::default(),
            ears: Ears::default(),
            unasked: Vec::new(),
            claims: Vec::new(),
        }
    }

    /// Takes down a sighting; the order does not matter. What no rule speaks of is left out.
    pub fn observe(&mut self, seen: &Observation) {
        let at = seen.at;
        match seen.kind {
            ObservationKind::RequestSent { .. } => self.asked(seen),
            ObservationKind::RequestEnded { request, gateway, outcome: got } => {
                self.tale(request).ends.push((at, End::Got(gateway, got)));
            }
            ObservationKind::ClientDisconnected { request } => self.tale(request).ends.push((at, End::Left)),
            ObservationKind::AttemptReceived { request, host, gateway, first_byte, .. } => {
                let attempt = Attempt { host, gateway, first_byte, came: at, ended: None };
                self.tale(request).attempts.push(attempt);
                let pair = self.pairs.entry((gateway, host)).or_default();
                pair.sent.push(Sent { first_byte, request });
            }
            ObservationKind::AttemptEnded { request, host, gateway, outcome: dealt, units } => {
                self.tale(request).through.push(Through { at, host, gateway, dealt, units });
            }
            ObservationKind::AgentNotified { gateway, host, state, started } => {
                self.news(at, false, (gateway, host), state, started)
            }
            ObservationKind::GatewayNotified { gateway, host, state, started } => {
                self.news(at, true, (gateway, host), state, started)
            }
            ObservationKind::UnexpectedResponse { gateway } => self.unasked.push((at, gateway)),
            _ => {
                self.downs.see(at, &seen.kind);
                self.ears.see(at, &seen.kind);
            }
        }
    }

    /// Takes down that somebody used a verdict.
    pub fn record_state_use(&mut self, claim: StateUse) {
        self.claims.push(claim);
    }

    fn tale(&mut self, request: u64) -> &mut Tale {
        self.tales.entry(request).or_default()
    }

    fn asked(&mut self, seen: &Observation) {
        let ObservationKind::RequestSent {
            request,
            gateway,
            customer,
            class,
            plan,
            units,
            timeout: patience,
            ..
        } = seen.kind
        else {
            return;
        };
        let tale = self.tale(request);
        (tale.customer, tale.class, tale.plan, tale.units) = (customer, class as usize, plan as usize, units);
        tale.asked.push(Asked { at: seen.at, gateway, patience });
    }

    fn news(&mut self, at: Time, told: bool, pair: (u32, u32), state: Lifecycle, started: Time) {
        self.pairs.entry(pair).or_default().news.push(News { at, told, state, started });
    }

    /// What is wrong with the history of a run that ended at `end`, in the order of time. Of each request, customer
    /// and pair of gateway and host the first breach of each rule is told.
    pub fn check(mut self, end: Time) -> Vec<Finding> {
        let mut found = Findings::new(self.start);
        self.downs.settle();
        self.ears.settle();
        self.unasked.iter().for_each(|(at, gateway)| answers::unasked(*at, *gateway, &mut found));
        let mut customers: BTreeMap<(u64, usize), Vec<Spent>> = BTreeMap::new();
        for (id, tale) in &mut self.tales {
            tale.settle(&self.ears);
            answers::check(*id, tale, &self.downs, &self.terms, end, &mut found);
            twice::check(*id, tale, &self.downs, &self.terms, &mut found);
            spend(*id, tale, customers.entry((tale.customer, tale.plan)).or_default());
        }
        for ((customer, plan), events) in &mut customers {
            if let Some(Some(bound)) = self.terms.quota_bounds.get(*plan) {
                units::check(*customer, events, bound, &mut found);
            }
        }
        for (who, pair) in &mut self.pairs {
            pair.settle(*who, &self.ears);
            drains::check(*who, pair, (&self.downs, &self.ears), &self.terms, &mut found);
            self.claims.extend(claims::of_starts(*who, pair, &self.downs, &self.ears));
        }
        self.claims.iter().for_each(|claim| claims::check(claim, &mut found));
        found.finish()
    }
}

/// What a request took of its customer's quota: the units it names when it was first sent on, and the difference when
/// an answer told the true ones.
fn spend(request: u64, tale: &Tale, events: &mut Vec<Spent>) {
    let Some(first) = tale.attempts.first().filter(|_| !tale.asked.is_empty()) else { return };
    events.push(Spent { at: first.came, request, units: tale.units, corrects: false });
    if let Some((at, units)) = tale.true_units().filter(|(_, units)| *units != tale.units) {
        events.push(Spent { at, request, units: units - tale.units, corrects: true });
    }
}
