//! `quota policy`: tightens what the platform's settings grant the customers of a plan.

use std::collections::BTreeMap;

use super::unknown;
use crate::changes::big_change;
use crate::diagnostic::{Diagnostic, Place, Report};
use crate::kind::{Key, Kind, Shape, View};
use crate::model::QuotaPolicy;
use crate::platform::{Platform, PlatformPlan};
use crate::set::{quote, Block, FileSet};
use crate::units::Dimension;

pub(super) const WORDS: &str = "quota policy";
/// A store that holds more than this many seconds of its rate bounds nothing within a day's peak.
const MOST_BURST_SECONDS: f64 = 3600.0;

/// The kind of block `quota policy`.
#[derive(Debug)]
pub struct Policies;

const RATE: Shape = Shape::Figure(Dimension::Rate, 0.001, 1e9);
const BURST: Shape = Shape::Figure(Dimension::Units, 0.001, 1e9);
const OPEN: Shape = Shape::Figure(Dimension::Attempts, 1.0, 1e6);

const fn key(word: &'static str, shape: Shape, about: &'static str) -> Key {
    Key { word, shape, needed: false, default: "as the plan grants", about }
}

const KEYS: &[Key] = &[
    Key { needed: true, default: "", ..key("plan", Shape::Text, "The plan.") },
    key("rate", RATE, "Units a second that fill a customer's store."),
    key("burst", BURST, "Units that the store holds."),
    key("open", OPEN, "Attempts of one customer that may be out at once."),
];

/// The keys that are figures.
const FIGURES: [&str; 3] = ["rate", "burst", "open"];

impl Kind for Policies {
    fn words(&self) -> &'static str {
        WORDS
    }

    fn about(&self) -> &'static str {
        "Tightens what the platform's settings grant each customer of a plan."
    }

    fn keys(&self) -> &'static [Key] {
        KEYS
    }

    fn check(&self, view: View<'_>, report: &mut Report) {
        check_one_a_plan(view, report);
        let plans = Plans::new(view.platform);
        for block in view.of_kind(WORDS) {
            let Some(plan) = block.text("plan") else { continue };
            let granted = plans.get(&plan.text);
            if let (Some(platform), None) = (view.platform, granted) {
                unknown("plan", plan, platform.plans.iter().map(|plan| plan.name.as_str()), report);
            }
            check_granted(block, granted, report);
            // What could not be read is not missing.
            if !block.broken {
                check_idle(block, report);
                check_proportion(block, granted, view.platform, report);
            }
        }
    }

    fn default_text(&self, block: &Block, key: &Key, platform: Option<&Platform>) -> String {
        let plan = block.text("plan").and_then(|plan| platform?.plan(&plan.text));
        let Some((plan, Shape::Figure(dimension, ..))) = plan.map(|plan| (plan, key.shape)) else {
            return key.default.to_owned();
        };
        match grant(plan, key.word) {
            Some(granted) => format!("{}, {}", key.default, dimension.text(granted, " ")),
            None => format!("{}, no bound", key.default),
        }
    }

    fn big_changes(
        &self,
        old: &FileSet,
        new: &FileSet,
        platform: Option<&Platform>,
        report: &mut Report,
    ) -> bool {
        let plans = Plans::new(platform);
        let (before, now) = (by_plan(old), by_plan(new));
        for (plan, block) in &now {
            for key in FIGURES {
                let was = effective(before.get(plan).copied(), key, plans.get(plan));
                let is = effective(Some(block), key, plans.get(plan));
                say_big(block, key, was, is, report);
            }
        }
        for (plan, block) in before.iter().filter(|(plan, _)| !now.contains_key(*plan)) {
            for key in FIGURES {
                let was = effective(Some(block), key, plans.get(plan));
                let is = effective(None, key, plans.get(plan));
                // It is gone, so the message stands where the new set begins.
                say_gone(block, key, was, is, new, report);
            }
        }
        true
    }
}

pub(super) fn meaning(block: &Block) -> Option<QuotaPolicy> {
    Some(QuotaPolicy {
        name: block.at_name(),
        plan: block.at_text("plan")?,
        rate: block.at("rate", block.figure("rate")),
        burst: block.at("burst", block.figure("burst")),
        open: block.at_count("open"),
    })
}

/// Plans of the platform by name.
struct Plans<'a>(BTreeMap<&'a str, &'a PlatformPlan>);

impl<'a> Plans<'a> {
    fn new(platform: Option<&'a Platform>) -> Plans<'a> {
        let plans = platform.into_iter().flat_map(|platform| &platform.plans);
        Plans(plans.map(|plan| (plan.name.as_str(), plan)).collect())
    }

    fn get(&self, name: &str) -> Option<&'a PlatformPlan> {
        self.0.get(name).copied()
    }
}

/// What the platform grants; nothing if it sets no bound.
fn grant(plan: &PlatformPlan, key: &str) -> Option<f64> {
    let granted = match key {
        "rate" => plan.rate,
        // Without a rate there is no store.
        "burst" if plan.rate > 0.0 => plan.burst,
        "open" => f64::from(plan.open),
        _ => 0.0,
    };
    (granted > 0.0).then_some(granted)
}

/// What holds: the policy's, else the platform's.
fn effective(block: Option<&Block>, key: &str, granted: Option<&PlatformPlan>) -> Option<f64> {
    block.and_then(|block| block.figure(key)).or_else(|| granted.and_then(|plan| grant(plan, key)))
}

fn by_plan(set: &FileSet) -> BTreeMap<&str, &Block> {
    set.of_kind(WORDS).filter_map(|block| Some((block.text("plan")?.text.as_str(), block))).collect()
}

fn check_one_a_plan(view: View<'_>, report: &mut Report) {
    let mut first: BTreeMap<&str, (&Block, &Place)> = BTreeMap::new();
    for block in view.of_kind(WORDS) {
        let Some(plan) = block.text("plan") else { continue };
        let Some((other, place)) = first.get(plan.text.as_str()) else {
            first.insert(&plan.text, (block, &plan.place));
            continue;
        };
        // The same name twice was said already.
        if other.name.text != block.name.text {
            let (name, plan_name) = (quote(&other.name.text), quote(&plan.text));
            let reason = format!("plan {plan_name} has a quota policy already: {name}, at {place}");
            report.add(Diagnostic::error("two-policies", &plan.place, reason).also(place, "first here"));
        }
    }
}

/// A policy that says nothing.
fn check_idle(block: &Block, report: &mut Report) {
    if FIGURES.iter().all(|key| block.setting(key).is_none()) {
        let reason = format!("quota policy {} changes nothing", quote(&block.name.text));
        let help = "set `rate`, `burst` or `open`, or leave it out";
        report.add(Diagnostic::warning("idle-policy", &block.name.place, reason).help(help));
    }
}

/// A policy tightens; it cannot grant what the platform does not.
fn check_granted(block: &Block, granted: Option<&PlatformPlan>, report: &mut Report) {
    let Some(plan) = granted else { return };
    for key in KEYS {
        let Shape::Figure(dimension, ..) = key.shape else { continue };
        let (Some(set), Some(granted)) = (block.figure(key.word), grant(plan, key.word)) else { continue };
        if set > granted {
            let reason = format!(
                "`{}` is {}, and the platform grants plan {} no more than {}",
                key.word,
                dimension.text(set, " "),
                quote(&plan.name),
                dimension.text(granted, " ")
            );
            report.add(Diagnostic::error("above-grant", block.place(key.word), reason));
        }
    }
}

/// A store and the rate that fills it go together. Figures of the platform alone are none of the operators'.
fn check_proportion(
    block: &Block,
    granted: Option<&PlatformPlan>,
    platform: Option<&Platform>,
    report: &mut Report,
) {
    let (rate, burst) = (effective(Some(block), "rate", granted), effective(Some(block), "burst", granted));
    let at = if block.setting("burst").is_some() { "burst" } else { "rate" };
    if block.setting(at).is_none() {
        return;
    }
    let units = |value: f64| Dimension::Units.text(value, " ");
    let largest = platform.map_or(0.0, |platform| platform.units_top);
    if let Some(burst) = burst.filter(|burst| *burst < largest && at == "burst") {
        let reason = format!(
            "`burst` is {}, and one request takes up to {}: such a request never passes",
            units(burst),
            units(largest)
        );
        return report.add(Diagnostic::warning("small-burst", block.place(at), reason));
    }
    if let (Some(rate), Some(burst)) = (rate, burst) {
        if burst > rate * MOST_BURST_SECONDS {
            let reason = format!(
                "a burst of {} is more than an hour of {}: a full store bounds nothing for longer",
                units(burst),
                Dimension::Rate.text(rate, " ")
            );
            report.add(Diagnostic::warning("large-burst", block.place(at), reason));
        }
    }
}

fn dimension_of(key: &str) -> Dimension {
    match KEYS.iter().find(|known| known.word == key).map(|key| key.shape) {
        Some(Shape::Figure(dimension, ..)) => dimension,
        _ => Dimension::Units,
    }
}

fn say_big(block: &Block, key: &str, was: Option<f64>, is: Option<f64>, report: &mut Report) {
    let (Some(was), Some(is)) = (was, is) else { return };
    let what = format!("quota policy `{}`: {key}", block.name.text);
    report.big(big_change(&what, block.place(key), dimension_of(key), was, is));
}

fn say_gone(block: &Block, key: &str, was: Option<f64>, is: Option<f64>, new: &FileSet, report: &mut Report) {
    let (Some(was), Some(is)) = (was, is) else { return };
    let plan = block.text("plan").map_or("", |plan| plan.text.as_str());
    let what = format!("quota policy `{}` is gone: {key} of plan `{plan}`", block.name.text);
    report.big(big_change(&what, &new.beginning(), dimension_of(key), was, is));
}
