//! From a scenario to a text that reads back as the same scenario.

use super::fields::*;
use super::figure::span_text;
use crate::scenario::{ClassSpec, PlanSpec, Scenario, Site};
use std::fmt;

/// Lines are broken behind so many characters: the rest goes on in another line with the same beginning.
const WIDTH: usize = 100;

/// Writes a scenario so that [`super::parse`] reads an equal one back, given a file of the scenario's name
/// and leaving aside the numbers of lines. What is as usual is left out.
///
/// This holds for every scenario that could have come from a file. One that could not, with a figure out of
/// its bounds or a machine that the site does not have, is written all the same, and the reader names it.
pub fn to_text(scenario: &Scenario) -> String {
    let title = scenario.title.replace('\\', "\\\\").replace('"', "\\\"");
    let mut text = format!("scenario \"{title}\"\nlength {}\n", span_text(scenario.length));
    section(&mut text, "site", site_lines(&scenario.site));
    let traffic = changes(TRAFFIC, &scenario.traffic, &Default::default());
    section(&mut text, "traffic", traffic);
    if !scenario.events.is_empty() {
        text.push('\n');
    }
    for timed in &scenario.events {
        let at = span_text(timed.at);
        text += &match &timed.trigger {
            None => format!("at {at}: {}\n", timed.event),
            Some(sign) if timed.at == scenario.length => format!("when {sign}: {}\n", timed.event),
            Some(sign) => format!("when {sign}, by {at}: {}\n", timed.event),
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
    let mut usual = Site::default();
    // What the reader does for a smaller site.
    for plan in &mut usual.plans {
        plan.spread = plan.spread.min(site.gateways);
    }
    let mut lines = changes(SITE, site, &usual);
    lines.extend(group("host", &changes(HOST, &site.host, &usual.host)));
    lines.extend(group("counter", &changes(COUNTER, &site.counter, &usual.counter)));
    lines.extend(group("discovery", &changes(DISCOVERY, &site.discovery, &usual.discovery)));
    lines.extend(group("network", &changes(NETWORK, &site.network, &usual.network)));
    lines.extend(group("rules", &changes(RULES, &site.rules, &usual.rules)));
    let class = |class: &ClassSpec| class.name.clone();
    lines.extend(named("class", "classes", CLASS, &site.classes, &usual.classes, class));
    let plan = |plan: &PlanSpec| plan.name.clone();
    lines.extend(named("plan", "plans", PLAN, &site.plans, &usual.plans, plan));
    lines
}

/// Classes or plans: what is new or different, and which there are if that is not what the rest says.
fn named<T: Clone>(
    what: &str,
    plural: &str,
    table: &[Field<T>],
    list: &[T],
    usual: &[T],
    name: impl Fn(&T) -> String,
) -> Vec<String> {
    let mut lines = Vec::new();
    let mut names: Vec<String> = usual.iter().map(&name).collect();
    for item in list {
        let words = match usual.iter().find(|usual| name(usual) == name(item)) {
            Some(usual) => changes(table, item, usual),
            None => {
                names.push(name(item));
                all(table, item)
            }
        };
        lines.extend(group(&format!("{what} {}", name(item)), &words));
    }
    let wanted: Vec<String> = list.iter().map(&name).collect();
    if wanted != names {
        lines.push(format!("only {plural} {}", wanted.join(", ")));
    }
    lines
}

/// All keys with their values.
fn all<T: Clone>(table: &[Field<T>], of: &T) -> Vec<String> {
    let mut of = of.clone();
    let words = |field: &Field<T>| {
        let slot = (field.slot)(&mut of);
        if slot.stands_alone() {
            slot.text()
        } else {
            format!("{} {}", field.key, slot.text())
        }
    };
    table.iter().map(words).collect()
}

/// The keys whose values are not as usual. Values are written without loss: they differ if their texts do.
fn changes<T: Clone>(table: &[Field<T>], of: &T, usual: &T) -> Vec<String> {
    let pairs = all(table, of).into_iter().zip(all(table, usual));
    pairs.filter(|(is, usual)| is != usual).map(|(is, _)| is).collect()
}

/// Keys with commas between them behind a common beginning, in as many lines as they take.
fn group(head: &str, words: &[String]) -> Vec<String> {
    let mut lines: Vec<String> = Vec::new();
    for word in words {
        match lines.last_mut() {
            Some(line) if line.len() + word.len() < WIDTH => *line += &format!(", {word}"),
            _ => lines.push(format!("{head} {word}")),
        }
    }
    lines
}
