//! What was passed on to hosts, as the wires show it: the units of each customer's tries, settled by the true
//! ones, and how deep a store would be in debt that grants them all.

use bytes::BytesMut;
use cluster_emulator::OnPacket;
use cluster_model::scenario::{PlanSpec, Site};
use cluster_model::{requests, Time, SECOND};
use resp::{decode, Frame};
use simulated_runtime::{Packet, What};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Calls are counted by spans of this length.
const TENTH: Time = SECOND / 10;

/// A customer's try that was sent on.
struct Sent {
    customer: u64,
    units: f64,
    settled: bool,
}

/// What a customer was passed on.
pub struct Tally {
    /// Its plan.
    pub plan: PlanSpec,
    level: f64,
    at: Time,
    /// Units, and when.
    passed: Vec<(Time, f64)>,
    /// The most that was ever passed on beyond rate times time and burst, over any span of the run, in units.
    pub deepest: f64,
}

/// All that the wires show.
#[derive(Default)]
pub struct Ledger {
    plans: BTreeMap<String, PlanSpec>,
    /// By connection and direction: what has come and is no whole frame yet.
    unread: BTreeMap<(u64, bool), BytesMut>,
    sent: BTreeMap<u64, Sent>,
    /// By customer.
    pub tallies: BTreeMap<u64, Tally>,
    /// Calls that came to the counter, by the tenth of a second, on the clock.
    calls_by_tenth: BTreeMap<Time, u32>,
}

impl Tally {
    fn new(plan: &PlanSpec) -> Tally {
        Tally { plan: plan.clone(), level: plan.burst, at: 0, passed: Vec::new(), deepest: 0.0 }
    }

    fn pass(&mut self, at: Time, units: f64) {
        let span = (at - self.at) as f64 / SECOND as f64;
        self.level = (self.level + self.plan.rate * span).min(self.plan.burst) - units;
        self.at = at;
        self.passed.push((at, units));
        self.deepest = self.deepest.max(-self.level);
    }

    /// Units up to this moment.
    pub fn passed(&self, until: Time) -> f64 {
        self.passed.iter().filter(|(at, _)| *at <= until).map(|(_, units)| units).sum()
    }
}

impl Ledger {
    /// An empty one, and what fills it.
    pub fn open(site: &Site) -> (Arc<Mutex<Ledger>>, OnPacket) {
        let plans = site.plans.iter().map(|plan| (plan.name.clone(), plan.clone())).collect();
        let ledger = Arc::new(Mutex::new(Ledger { plans, ..Ledger::default() }));
        let fill = ledger.clone();
        (ledger, Box::new(move |packet| fill.lock().unwrap().see(packet)))
    }

    /// The most calls that came to the counter in one second between these triggers, to a tenth of a second.
    pub fn most_calls(&self, from: Time, until: Time) -> u32 {
        let calls =
            |from: Time, until: Time| self.calls_by_tenth.range(from..until).map(|(_, calls)| calls).sum();
        let seconds = from / TENTH..(until - SECOND) / TENTH + 1;
        seconds.map(|tenth| calls(tenth, tenth + SECOND / TENTH)).max().unwrap_or(0)
    }

    fn see(&mut self, packet: &Packet) {
        let (to, from) = (&*packet.to.machine, &*packet.from.machine);
        let at_gateway = to.starts_with("gateway");
        let peer = if at_gateway { from } else { to };
        let (is_host, is_counter) = (peer.starts_with("host"), peer == "counter");
        let What::Data(bytes) = &packet.what else { return };
        if !is_host && !is_counter {
            return;
        }
        let mut unread = self.unread.remove(&(packet.connection, at_gateway)).unwrap_or_default();
        unread.extend_from_slice(bytes);
        while let Ok(Some(frame)) = decode(&mut unread) {
            match (at_gateway, is_host) {
                (false, true) => self.command(packet.at, &frame),
                (true, true) => self.answer(packet.at, &frame),
                (false, false) => *self.calls_by_tenth.entry(packet.at / TENTH).or_default() += 1,
                (true, false) => {}
            }
        }
        self.unread.insert((packet.connection, at_gateway), unread);
    }

    /// A command has come whole to a host.
    fn command(&mut self, at: Time, frame: &Frame) {
        let Frame::Array(words) = frame else { return };
        let [Some(call), Some(customer), Some(id), Some(list)] = [0, 1, 2, 3].map(|n| text(words, n)) else {
            return;
        };
        let number = |hex: &str| u64::from_str_radix(hex, 16).ok();
        let (Some(customer), Some(id)) = (number(customer), number(id)) else { return };
        if !call.starts_with("CALL.") || self.sent.contains_key(&id) {
            return;
        }
        let plan = field(list, "t").and_then(|name| self.plans.get(name)).expect("a plan of the site");
        let units = field(list, "units").and_then(|units| units.parse().ok()).expect("units");
        self.sent.insert(id, Sent { customer, units, settled: false });
        self.tallies.entry(customer).or_insert_with(|| Tally::new(plan)).pass(at, units);
    }

    /// The first answer that tells the true units settles a try.
    fn answer(&mut self, at: Time, frame: &Frame) {
        let Frame::Array(words) = frame else { return };
        let (Some(value), Some(figures)) = (text(words, 0), text(words, 1)) else { return };
        let id = value.rsplit('-').next().and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let true_units: Option<f64> = field(figures, "cost").and_then(|units| units.parse().ok());
        let sent =
            id.filter(|id| requests::response_value(*id) == value).and_then(|id| self.sent.get_mut(&id));
        let (Some(sent), Some(units)) = (sent, true_units) else { return };
        if !std::mem::replace(&mut sent.settled, true) {
            let more = units - sent.units;
            self.tallies.get_mut(&sent.customer).expect("it was sent on").pass(at, more);
        }
    }
}

fn text(words: &[Frame], place: usize) -> Option<&str> {
    match words.get(place) {
        Some(Frame::Bulk(word)) => std::str::from_utf8(word).ok(),
        _ => None,
    }
}

fn field<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = list.split(',').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
}
