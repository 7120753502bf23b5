//! Finds inconsistencies between the lines of a scenario, each of which is valid by itself.

use super::errors::{listed, ParseError, ParseResult, Position, Reason};
use super::events::{references, NamePositions, Reference};
use super::fields::{REQUIRED_CLASS_KEYS, REQUIRED_PLAN_KEYS};
use super::parser::{EventPositions, Positions};
use super::quantity::{share_text, span_text};
use super::suggestion::nearest;
use super::triggers;
use super::{MAX_CUSTOMERS, MAX_HOSTS};
use crate::requests::RequestSampler;
use crate::scenario::{CounterFault, Event, LinkEnd, PartitionSide, Scenario, ScheduledEvent, Site, Trigger};

/// Tolerance for the sum of shares, so that three thirds written as 33.3 % are accepted.
const SHARE_SUM_TOLERANCE: f64 = 0.002;

/// Returns the first inconsistency in the order of the text.
pub(super) fn check(scenario: &Scenario, positions: &Positions) -> ParseResult<()> {
    let mut checker = Checker { scenario, positions, errors: Vec::new() };
    checker.check_classes();
    checker.check_plans();
    checker.check_customer_kinds();
    checker.check_customer_counts();
    checker.check_counter();
    checker.check_events();
    match checker.errors.into_iter().min_by_key(|error| error.position) {
        Some(first) => Err(first),
        None => Ok(()),
    }
}

/// Formats a count with its noun: `3 gateways`, `1 gateway`.
fn counted(count: u32, kind: &str) -> String {
    format!("{count} {kind}{}", if count == 1 { "" } else { "s" })
}

struct Checker<'a> {
    scenario: &'a Scenario,
    positions: &'a Positions,
    errors: Vec<ParseError>,
}

impl<'a> Checker<'a> {
    fn add_error(&mut self, position: Position, reason: Reason) {
        self.errors.push(ParseError::new(position, reason));
    }

    /// Adds an error about several keys, at the position of the last one that the file contains.
    fn add_error_at_last(&mut self, paths: &[String], reason: Reason) {
        let last = paths.iter().filter_map(|path| self.positions.find(path)).max();
        self.add_error(last.unwrap_or(Position { line: 1, column: 1 }), reason);
    }

    fn check_classes(&mut self) {
        let defaults = Site::default().classes;
        let classes = &self.scenario.site.classes;
        for class in classes {
            if !defaults.iter().any(|default| default.name == class.name) {
                self.check_required_keys("class", &class.name, REQUIRED_CLASS_KEYS);
            }
            if class.deadline < class.latency_objective {
                let keys = ["aim", "deadline"].map(|key| format!("class {} {key}", class.name));
                let (deadline, objective) = (span_text(class.deadline), span_text(class.latency_objective));
                self.add_error_at_last(
                    &keys,
                    Reason::DeadlineBeforeObjective { class: class.name.clone(), deadline, objective },
                );
            }
        }
        let shares: Vec<_> = classes.iter().map(|class| (class.name.as_str(), class.share)).collect();
        self.check_share_sum("classes", "class", &shares);
    }

    fn check_plans(&mut self) {
        let defaults = Site::default().plans;
        let site = &self.scenario.site;
        for plan in &site.plans {
            if !defaults.iter().any(|default| default.name == plan.name) {
                self.check_required_keys("plan", &plan.name, REQUIRED_PLAN_KEYS);
            }
            if plan.spread > site.gateways {
                let gateways = counted(site.gateways, "gateway");
                let reason =
                    Reason::SpreadTooLarge { plan: plan.name.clone(), spread: plan.spread, gateways };
                self.add_error_at_last(&[format!("plan {} spread", plan.name)], reason);
            }
            if plan.ceiling_rate > 0.0 && plan.ceiling_burst == 0.0 {
                let keys = ["ceiling-rate", "ceiling-burst"].map(|key| format!("plan {} {key}", plan.name));
                self.add_error_at_last(&keys, Reason::MissingCeilingBurst(plan.name.clone()));
            }
        }
        let shares: Vec<_> = site.plans.iter().map(|plan| (plan.name.as_str(), plan.share)).collect();
        self.check_share_sum("plans", "plan", &shares);
    }

    /// Checks that the building of the counter exists.
    fn check_counter(&mut self) {
        let site = &self.scenario.site;
        let missing = unknown_machine("building", site.counter.building, site.buildings, "the site has");
        if let Some(reason) = missing {
            self.add_error_at_last(&["counter building".into()], reason);
        }
    }

    /// Checks that no plan needs too many customers to generate its share of the load.
    fn check_customer_counts(&mut self) {
        let traffic = &self.scenario.traffic;
        let units = traffic.rate * RequestSampler::new(0, traffic).mean_units();
        for plan in self.scenario.site.plans.iter().filter(|plan| plan.rate > 0.0) {
            // A lower bound: each customer uses its full rate.
            let customers = libm::round(units * plan.share / plan.rate) as u64;
            if customers > MAX_CUSTOMERS {
                let (rate, share) = (format!("plan {} rate", plan.name), format!("plan {} share", plan.name));
                let paths = [rate, share, "traffic rate".into(), "traffic most-units".into()];
                let reason = Reason::TooManyCustomers(plan.name.clone(), customers);
                self.add_error_at_last(&paths, reason);
            }
        }
    }

    /// Checks that a new class or plan has all required keys.
    fn check_required_keys(&mut self, kind: &'static str, name: &str, required: &[&str]) {
        let path = format!("{kind} {name}");
        let is_missing = |key: &&&str| self.positions.find(&format!("{path} {key}")).is_none();
        let missing: Vec<&str> = required.iter().filter(is_missing).copied().collect();
        if !missing.is_empty() {
            self.add_error_at_last(
                &[path],
                Reason::MissingKeys { kind, name: name.into(), missing: listed(&missing) },
            );
        }
    }

    fn check_share_sum(&mut self, kind: &'static str, singular: &str, shares: &[(&str, f64)]) {
        let sum: f64 = shares.iter().map(|(_, share)| share).sum();
        if (sum - 1.0).abs() > SHARE_SUM_TOLERANCE {
            let mut paths: Vec<_> =
                shares.iter().map(|(name, _)| format!("{singular} {name} share")).collect();
            paths.push(format!("only {kind}"));
            self.add_error_at_last(&paths, Reason::ShareSum { kind, sum: rounded(sum) });
        }
    }

    fn check_customer_kinds(&mut self) {
        let traffic = &self.scenario.traffic;
        let sum = traffic.near_quota + traffic.heavy.0 + traffic.bursty.0 + traffic.greedy.0;
        if sum > 1.0 + SHARE_SUM_TOLERANCE {
            let paths = ["full", "heavy", "spiky", "greedy"].map(|key| format!("traffic {key}"));
            self.add_error_at_last(&paths, Reason::CustomerShareSum(rounded(sum)));
        }
    }

    fn check_events(&mut self) {
        let (scenario, positions) = (self.scenario, self.positions);
        let mut by_time: Vec<(&ScheduledEvent, &EventPositions)> =
            scenario.events.iter().zip(&positions.events).collect();
        // The sort is stable: events at the same instant stay in the order of the lines.
        by_time.sort_by_key(|(scheduled, _)| scheduled.at);
        let mut hosts = scenario.site.hosts;
        for (scheduled, positions) in by_time {
            if scheduled.at > scenario.length {
                self.add_error(positions.at, Reason::AfterEnd(span_text(scenario.length)));
            }
            if let Some(trigger) = &scheduled.trigger {
                self.check_references(&triggers::references(trigger), &positions.trigger, hosts, false);
                self.check_trigger(trigger, scheduled, positions);
            }
            let may_repeat = matches!(scheduled.event, Event::Partition(..));
            self.check_references(&references(&scheduled.event), &positions.references, hosts, may_repeat);
            self.check_event(&scheduled.event, positions.event);
            let total = hosts.saturating_add(hosts_added(&scheduled.event, hosts));
            if total > MAX_HOSTS && hosts <= MAX_HOSTS {
                self.add_error(positions.event, Reason::TooManyHosts(total, MAX_HOSTS));
            }
            hosts = total;
        }
    }

    /// Checks that whatever an event or a trigger refers to exists, and is named only once.
    fn check_references(
        &mut self,
        references: &[Reference<'_>],
        positions: &NamePositions,
        hosts: u32,
        may_repeat: bool,
    ) {
        let site = &self.scenario.site;
        for (i, (reference, position)) in references.iter().zip(&positions.0).enumerate() {
            let twice = references[..i].contains(reference) && !may_repeat;
            let reason = match reference {
                Reference::Gateway(n) if twice => Some(Reason::DuplicateReference(format!("gateway {n}"))),
                Reference::Host(n) if twice => Some(Reason::DuplicateReference(format!("host {n}"))),
                Reference::Gateway(n) => unknown_machine("gateway", *n, site.gateways, "the site has"),
                Reference::Building(n) => unknown_machine("building", *n, site.buildings, "the site has"),
                Reference::Host(n) => unknown_machine("host", *n, hosts, "the total by then is"),
                Reference::Gateways(n) => too_few_machines("gateway", *n, site.gateways, "the site has"),
                Reference::Hosts(n) => too_few_machines("host", *n, hosts, "the total by then is"),
                Reference::Class(class) => unknown_class(site, class),
            };
            if let Some(reason) = reason {
                self.add_error(*position, reason);
            }
        }
    }

    /// Checks that an event may start by this trigger.
    fn check_trigger(&mut self, trigger: &Trigger, scheduled: &ScheduledEvent, positions: &EventPositions) {
        if matches!(trigger, Trigger::CounterCall(..)) && !self.scenario.site.counter.enabled {
            self.add_error(positions.trigger.0[0], Reason::NoCounter);
        }
        match scheduled.event {
            Event::Traffic(..) => self.add_error(positions.event, Reason::NotTriggerable("traffic")),
            Event::SkewTraffic(..) => self.add_error(positions.event, Reason::NotTriggerable("lean")),
            _ => {}
        }
    }

    /// Checks an event against the site and its own parameters.
    fn check_event(&mut self, event: &Event, position: Position) {
        let site = &self.scenario.site;
        let reason = match event {
            Event::Counter(..) | Event::CorruptCounterReplies(..) | Event::SuspendCounter(_)
                if !site.counter.enabled =>
            {
                Some(Reason::NoCounter)
            }
            Event::Links(_, LinkEnd::Counter, ..) if !site.counter.enabled => Some(Reason::NoCounter),
            Event::Partition(PartitionSide::Counter, ..)
            | Event::Partition(_, PartitionSide::Counter, ..)
                if !site.counter.enabled =>
            {
                Some(Reason::NoCounter)
            }
            Event::Counter(CounterFault::SplitBrain(groups), _) => missing_gateway(groups, site.gateways),
            Event::Partition(one, other, ..) if one == other => Some(Reason::SameSides),
            Event::Traffic(_, duration, rise) if rise.saturating_mul(2) > *duration => {
                Some(Reason::RiseTooLong { rise: span_text(*rise), duration: span_text(*duration) })
            }
            _ => None,
        };
        if let Some(reason) = reason {
            self.add_error(position, reason);
        }
    }
}

/// Formats a sum of shares, without the rounding errors of the addition.
fn rounded(sum: f64) -> String {
    share_text(libm::round(sum * 1e6) / 1e6)
}

/// Returns an upper bound of the number of hosts that an event adds to the given number.
fn hosts_added(event: &Event, hosts: u32) -> u32 {
    match event {
        Event::AddHosts(count) => *count,
        Event::ReplaceHosts(selector, _) => selector.count(hosts),
        _ => 0,
    }
}

fn unknown_machine(kind: &'static str, number: u32, existing: u32, prefix: &str) -> Option<Reason> {
    let text = || format!("{prefix} {}", counted(existing, kind));
    (number > existing).then(|| Reason::UnknownMachine { kind, number, existing: text() })
}

fn too_few_machines(kind: &'static str, count: u32, existing: u32, prefix: &str) -> Option<Reason> {
    let text = || format!("{prefix} {}", counted(existing, kind));
    (count > existing).then(|| Reason::TooFewMachines { wanted: counted(count, kind), existing: text() })
}

fn unknown_class(site: &Site, class: &str) -> Option<Reason> {
    let names = || site.classes.iter().map(|class| class.name.as_str());
    let suggestion = || nearest(class, names());
    let known = names().any(|name| name == class);
    (!known).then(|| Reason::Unknown { kind: "class", word: class.into(), suggestion: suggestion() })
}

fn missing_gateway(groups: &[Vec<u32>], gateways: u32) -> Option<Reason> {
    let missing = (1..=gateways).find(|gateway| !groups.iter().flatten().any(|n| n == gateway));
    missing.map(|gateway| Reason::IncompleteSplit(format!("gateway {gateway}")))
}
