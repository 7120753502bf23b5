//! What is wrong with a scenario whose lines are all right by themselves.

use super::errors::{listed, Fault, Parsed, Place, Reason};
use super::events::{named, Marks, Named};
use super::fields::{CLASS_NEEDS, PLAN_NEEDS};
use super::figure::{share_text, span_text};
use super::near::nearest;
use super::parser::{EventPlaces, Places};
use super::signs;
use super::{MOST_CUSTOMERS, MOST_HOSTS};
use crate::requests::RequestSampler;
use crate::scenario::{CounterFault, Event, LinkEnd, Scenario, Side, Sign, Site, Timed};

/// How far shares may miss the whole: three thirds written as 33.3 % are meant as one.
const SHARES_MISS: f64 = 0.002;

/// Finds the first place, in the order of the text, that contradicts something.
pub(super) fn check(scenario: &Scenario, places: &Places) -> Parsed<()> {
    let mut check = Check { scenario, places, faults: Vec::new() };
    check.classes();
    check.plans();
    check.customer_kinds();
    check.customer_numbers();
    check.counter();
    check.events();
    match check.faults.into_iter().min_by_key(|fault| fault.place) {
        Some(first) => Err(first),
        None => Ok(()),
    }
}

/// `3 gateways`, `1 gateway`.
fn so_many(count: u32, what: &str) -> String {
    format!("{count} {what}{}", if count == 1 { "" } else { "s" })
}

struct Check<'a> {
    scenario: &'a Scenario,
    places: &'a Places,
    faults: Vec<Fault>,
}

impl<'a> Check<'a> {
    fn fault(&mut self, place: Place, reason: Reason) {
        self.faults.push(Fault::new(place, reason));
    }

    /// Something that is wrong between keys: shown at the last of them that was given.
    fn fault_at(&mut self, paths: &[String], reason: Reason) {
        let last = paths.iter().filter_map(|path| self.places.given(path)).max();
        self.fault(last.unwrap_or(Place { line: 1, column: 1 }), reason);
    }

    fn classes(&mut self) {
        let usual = Site::default().classes;
        let classes = &self.scenario.site.classes;
        for class in classes {
            if !usual.iter().any(|usual| usual.name == class.name) {
                self.complete("class", &class.name, CLASS_NEEDS);
            }
            if class.deadline < class.aim {
                let keys = ["aim", "deadline"].map(|key| format!("class {} {key}", class.name));
                let (deadline, aim) = (span_text(class.deadline), span_text(class.aim));
                self.fault_at(&keys, Reason::Deadline { class: class.name.clone(), deadline, aim });
            }
        }
        let shares: Vec<_> = classes.iter().map(|class| (class.name.as_str(), class.share)).collect();
        self.shares("classes", "class", &shares);
    }

    fn plans(&mut self) {
        let usual = Site::default().plans;
        let site = &self.scenario.site;
        for plan in &site.plans {
            if !usual.iter().any(|usual| usual.name == plan.name) {
                self.complete("plan", &plan.name, PLAN_NEEDS);
            }
            if plan.spread > site.gateways {
                let gateways = so_many(site.gateways, "gateway");
                let reason = Reason::Spread { plan: plan.name.clone(), spread: plan.spread, gateways };
                self.fault_at(&[format!("plan {} spread", plan.name)], reason);
            }
            if plan.ceiling_rate > 0.0 && plan.ceiling_burst == 0.0 {
                let keys = ["ceiling-rate", "ceiling-burst"].map(|key| format!("plan {} {key}", plan.name));
                self.fault_at(&keys, Reason::Ceiling(plan.name.clone()));
            }
        }
        let shares: Vec<_> = site.plans.iter().map(|plan| (plan.name.as_str(), plan.share)).collect();
        self.shares("plans", "plan", &shares);
    }

    /// The counter stands in a building of the site.
    fn counter(&mut self) {
        let site = &self.scenario.site;
        let missing = no_such("building", site.counter.building, site.buildings, "the site has");
        if let Some(reason) = missing {
            self.fault_at(&["counter building".into()], reason);
        }
    }

    /// No plan is so small beside the traffic that it takes customers without number to ask for its share.
    fn customer_numbers(&mut self) {
        let traffic = &self.scenario.traffic;
        let units = traffic.rate * RequestSampler::new(0, traffic).mean_units();
        for plan in self.scenario.site.plans.iter().filter(|plan| plan.rate > 0.0) {
            // As few as could be: each asks for all of its rate.
            let customers = libm::round(units * plan.share / plan.rate) as u64;
            if customers > MOST_CUSTOMERS {
                let (rate, share) = (format!("plan {} rate", plan.name), format!("plan {} share", plan.name));
                let paths = [rate, share, "traffic rate".into(), "traffic most-units".into()];
                let reason = Reason::ManyCustomers(plan.name.clone(), customers);
                self.fault_at(&paths, reason);
            }
        }
    }

    /// A new class or plan tells all that it has to.
    fn complete(&mut self, what: &'static str, name: &str, needs: &[&str]) {
        let path = format!("{what} {name}");
        let is_missing = |key: &&&str| self.places.given(&format!("{path} {key}")).is_none();
        let missing: Vec<&str> = needs.iter().filter(is_missing).copied().collect();
        if !missing.is_empty() {
            self.fault_at(&[path], Reason::Incomplete { what, name: name.into(), missing: listed(&missing) });
        }
    }

    fn shares(&mut self, what: &'static str, one: &str, shares: &[(&str, f64)]) {
        let sum: f64 = shares.iter().map(|(_, share)| share).sum();
        if (sum - 1.0).abs() > SHARES_MISS {
            let mut paths: Vec<_> = shares.iter().map(|(name, _)| format!("{one} {name} share")).collect();
            paths.push(format!("only {what}"));
            self.fault_at(&paths, Reason::Shares { what, sum: rounded(sum) });
        }
    }

    fn customer_kinds(&mut self) {
        let traffic = &self.scenario.traffic;
        let sum = traffic.full + traffic.heavy.0 + traffic.spiky.0 + traffic.greedy.0;
        if sum > 1.0 + SHARES_MISS {
            let paths = ["full", "heavy", "spiky", "greedy"].map(|key| format!("traffic {key}"));
            self.fault_at(&paths, Reason::Customers(rounded(sum)));
        }
    }

    fn events(&mut self) {
        let (scenario, places) = (self.scenario, self.places);
        let mut in_time: Vec<(&Timed, &EventPlaces)> = scenario.events.iter().zip(&places.events).collect();
        // At the same instant, earlier lines come first.
        in_time.sort_by_key(|(timed, _)| timed.at);
        let mut hosts = scenario.site.hosts;
        for (timed, places) in in_time {
            if timed.at > scenario.length {
                self.fault(places.at, Reason::AfterEnd(span_text(scenario.length)));
            }
            if let Some(sign) = &timed.sign {
                self.named(&signs::named(sign), &places.sign, hosts, false);
                self.signed(sign, timed, places);
            }
            let may_repeat = matches!(timed.event, Event::Cut(..));
            self.named(&named(&timed.event), &places.marks, hosts, may_repeat);
            self.fits(&timed.event, places.event);
            let come = hosts.saturating_add(come(&timed.event, hosts));
            if come > MOST_HOSTS && hosts <= MOST_HOSTS {
                self.fault(places.event, Reason::ManyHosts(come, MOST_HOSTS));
            }
            hosts = come;
        }
    }

    /// What an event names is there, and named once.
    fn named(&mut self, all: &[Named<'_>], marks: &Marks, hosts: u32, may_repeat: bool) {
        let site = &self.scenario.site;
        for (i, (name, place)) in all.iter().zip(&marks.0).enumerate() {
            let twice = all[..i].contains(name) && !may_repeat;
            let reason = match name {
                Named::Gateway(n) if twice => Some(Reason::NamedTwice(format!("gateway {n}"))),
                Named::Host(n) if twice => Some(Reason::NamedTwice(format!("host {n}"))),
                Named::Gateway(n) => no_such("gateway", *n, site.gateways, "the site has"),
                Named::Building(n) => no_such("building", *n, site.buildings, "the site has"),
                Named::Host(n) => no_such("host", *n, hosts, "all that have come by then are"),
                Named::Gateways(n) => not_so_many("gateway", *n, site.gateways, "the site has"),
                Named::Hosts(n) => not_so_many("host", *n, hosts, "all that have come by then are"),
                Named::Class(class) => no_class(site, class),
            };
            if let Some(reason) = reason {
                self.fault(*place, reason);
            }
        }
    }

    /// An event may begin by this sign.
    fn signed(&mut self, sign: &Sign, timed: &Timed, places: &EventPlaces) {
        if matches!(sign, Sign::CounterCall(..)) && !self.scenario.site.counter.on {
            self.fault(places.sign.0[0], Reason::NoCounter);
        }
        match timed.event {
            Event::Traffic(..) => self.fault(places.event, Reason::Planned("traffic")),
            Event::Lean(..) => self.fault(places.event, Reason::Planned("lean")),
            _ => {}
        }
    }

    /// What an event does makes sense.
    fn fits(&mut self, event: &Event, place: Place) {
        let site = &self.scenario.site;
        let reason = match event {
            Event::Counter(..) | Event::GarbleCounter(..) | Event::StopCounter(_) if !site.counter.on => {
                Some(Reason::NoCounter)
            }
            Event::Links(_, LinkEnd::Counter, ..) if !site.counter.on => Some(Reason::NoCounter),
            Event::Cut(Side::Counter, ..) | Event::Cut(_, Side::Counter, ..) if !site.counter.on => {
                Some(Reason::NoCounter)
            }
            Event::Counter(CounterFault::Split(groups), _) => left_out(groups, site.gateways),
            Event::Cut(one, other, ..) if one == other => Some(Reason::SameSides),
            Event::Traffic(_, whole, rise) if rise.saturating_mul(2) > *whole => {
                Some(Reason::Rise { rise: span_text(*rise), whole: span_text(*whole) })
            }
            _ => None,
        };
        if let Some(reason) = reason {
            self.fault(place, reason);
        }
    }
}

/// A sum of shares, without the dust of adding.
fn rounded(sum: f64) -> String {
    share_text(libm::round(sum * 1e6) / 1e6)
}

/// Hosts that an event brings at the most, where so many have come before.
fn come(event: &Event, hosts: u32) -> u32 {
    match event {
        Event::AddHosts(count) => *count,
        Event::ReplaceHosts(which, _) => which.count(hosts),
        _ => 0,
    }
}

fn no_such(kind: &'static str, number: u32, there: u32, whose: &str) -> Option<Reason> {
    let text = || format!("{whose} {}", so_many(there, kind));
    (number > there).then(|| Reason::NoSuch { kind, number, there: text() })
}

fn not_so_many(kind: &'static str, count: u32, there: u32, whose: &str) -> Option<Reason> {
    let text = || format!("{whose} {}", so_many(there, kind));
    (count > there).then(|| Reason::NotSoMany { what: so_many(count, kind), there: text() })
}

fn no_class(site: &Site, class: &str) -> Option<Reason> {
    let names = || site.classes.iter().map(|class| class.name.as_str());
    let near = || nearest(class, names());
    let known = names().any(|name| name == class);
    (!known).then(|| Reason::Unknown { what: "class", word: class.into(), near: near() })
}

fn left_out(groups: &[Vec<u32>], gateways: u32) -> Option<Reason> {
    let out = (1..=gateways).find(|gateway| !groups.iter().flatten().any(|n| n == gateway));
    out.map(|gateway| Reason::Split(format!("gateway {gateway}")))
}
