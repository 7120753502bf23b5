//! Formats a scenario as text that parses back to the same scenario.

use super::fields::*;
use super::quantity::span_text;
use crate::scenario::{ClassSpec, PlanSpec, Scenario, Site};
use std::fmt;

/// Line length in characters after which keys continue on another line with the same prefix.
const LINE_WIDTH: usize = 100;

/// Formats a scenario without its default values. For a file with the scenario's name, [`super::parse`]
/// returns an equal scenario, except for the line numbers.
///
/// This holds for every scenario that a file can express. A scenario with a value out of bounds or a machine
/// that the site does not have is formatted as well, and `parse` reports the error.
pub fn to_text(scenario: &Scenario) -> String {
    let title = scenario.title.replace('\\', "\\\\").replace('"', "\\\"");
    let mut text = format!("scenario \"{title}\"\nlength {}\n", span_text(scenario.length));
    section(&mut text, "site", site_lines(&scenario.site));
    let traffic = changes(TRAFFIC, &scenario.traffic, &Default::default());
    section(&mut text, "traffic", traffic);
    if !scenario.events.is_empty() {
        text.push('\n');
    }
    for scheduled in &scenario.events {
        let at = span_text(scheduled.at);
        text += &match &scheduled.trigger {
            None => format!("at {at}: {}\n", scheduled.event),
            Some(trigger) if scheduled.at == scenario.length => {
                format!("when {trigger}: {}\n", scheduled.event)
            }
            Some(trigger) => format!("when {trigger}, by {at}: {}\n", scheduled.event),
        };
    }
    text
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&to_text(self))
    }
}

fn section(text: &mut String, name: &str, lines: Vec<String>) {
    if lines.is_empty() {
        return;
    }
    *text += &format!("\n{name}\n");
    for line in lines {
        *text += &format!("  {line}\n");
    }
}

fn site_lines(site: &Site) -> Vec<String> {
    let mut defaults = Site::default();
    // The parser limits the default spread to the number of gateways in the same way.
    for plan in &mut defaults.plans {
        plan.spread = plan.spread.min(site.gateways);
    }
    let mut lines = changes(SITE, site, &defaults);
    lines.extend(prefixed_lines("host", &changes(HOST, &site.host, &defaults.host)));
    lines.extend(prefixed_lines("counter", &changes(COUNTER, &site.counter, &defaults.counter)));
    lines.extend(prefixed_lines("discovery", &changes(DISCOVERY, &site.discovery, &defaults.discovery)));
    lines.extend(prefixed_lines("network", &changes(NETWORK, &site.network, &defaults.network)));
    lines.extend(prefixed_lines("rules", &changes(RULES, &site.rules, &defaults.rules)));
    let class = |class: &ClassSpec| class.name.clone();
    lines.extend(named_lines("class", "classes", CLASS, &site.classes, &defaults.classes, class));
    let plan = |plan: &PlanSpec| plan.name.clone();
    lines.extend(named_lines("plan", "plans", PLAN, &site.plans, &defaults.plans, plan));
    lines
}

/// Formats classes or plans: the lines of new or changed ones, and a line with `only` if the list cannot be
/// derived from the defaults and these lines.
fn named_lines<T: Clone>(
    kind: &str,
    plural: &str,
    table: &[Field<T>],
    list: &[T],
    defaults: &[T],
    name: impl Fn(&T) -> String,
) -> Vec<String> {
    let mut lines = Vec::new();
    let mut names: Vec<String> = defaults.iter().map(&name).collect();
    for item in list {
        let keys = match defaults.iter().find(|default| name(default) == name(item)) {
            Some(default) => changes(table, item, default),
            None => {
                names.push(name(item));
                all_keys(table, item)
            }
        };
        lines.extend(prefixed_lines(&format!("{kind} {}", name(item)), &keys));
    }
    let actual: Vec<String> = list.iter().map(&name).collect();
    if actual != names {
        lines.push(format!("only {plural} {}", actual.join(", ")));
    }
    lines
}

/// Formats all keys with their values.
fn all_keys<T: Clone>(table: &[Field<T>], target: &T) -> Vec<String> {
    let mut target = target.clone();
    let key_text = |field: &Field<T>| {
        let value = (field.value)(&mut target);
        if value.is_keyword() {
            value.text()
        } else {
            format!("{} {}", field.key, value.text())
        }
    };
    table.iter().map(key_text).collect()
}

/// Formats the keys whose values differ from the defaults. Formatting is lossless, so values differ if and
/// only if their texts do.
fn changes<T: Clone>(table: &[Field<T>], target: &T, defaults: &T) -> Vec<String> {
    let pairs = all_keys(table, target).into_iter().zip(all_keys(table, defaults));
    pairs.filter(|(text, default)| text != default).map(|(text, _)| text).collect()
}

/// Joins keys with commas, on as many lines as needed, each with the same prefix.
fn prefixed_lines(prefix: &str, keys: &[String]) -> Vec<String> {
    let mut lines: Vec<String> = Vec::new();
    for key in keys {
        match lines.last_mut() {
            Some(line) if line.len() + key.len() < LINE_WIDTH => *line += &format!(", {key}"),
            _ => lines.push(format!("{prefix} {key}")),
        }
    }
    lines
}
