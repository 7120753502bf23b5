//! `route`: sends requests to a pool. The first route that holds counts.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::ControlFlow;

use super::overlap::{Overlaps, Reach, TooMany, EVERYBODY};
use super::{pool, unknown, Known};
use crate::changes::Change;
use crate::diagnostic::{listed, Diagnostic, Report};
use crate::kind::{Key, Kind, Shape, View};
use crate::model::Route;
use crate::platform::Platform;
use crate::set::{quote, Block, FileSet};
use crate::units::Dimension;

pub(super) const WORDS: &str = "route";
/// Routes that one message names.
const MOST_NAMED: usize = 3;

/// The kind of block `route`.
#[derive(Debug)]
pub struct Routes;

const fn key(word: &'static str, shape: Shape, default: &'static str, about: &'static str) -> Key {
    Key { word, shape, needed: false, default, about }
}

const ATTEMPTS: Shape = Shape::Figure(Dimension::Attempts, 1.0, 1e6);

const KEYS: &[Key] = &[
    key("classes", Shape::Texts, "any", "The request is of one of these classes."),
    key("plans", Shape::Texts, "any", "Its customer has one of these plans."),
    key("customers", Shape::Customers, "any", "Its customer is one of these."),
    Key { needed: true, ..key("pool", Shape::Text, "", "The pool that it goes to.") },
    key(
        "fallback",
        Shape::Text,
        "none",
        "The pool that takes over while no host of the first is in service.",
    ),
    key(
        "most-out",
        ATTEMPTS,
        "no bound",
        "Attempts of this route that may be out at once, from one gateway.",
    ),
    key(
        "after",
        Shape::Texts,
        "none",
        "Earlier routes that come first where both hold; says that this is meant.",
    ),
];

impl Kind for Routes {
    fn words(&self) -> &'static str {
        WORDS
    }

    fn about(&self) -> &'static str {
        "Sends requests to a pool. All that is set has to hold; the first route that holds counts."
    }

    fn keys(&self) -> &'static [Key] {
        KEYS
    }

    fn check(&self, view: View<'_>, report: &mut Report) {
        check_pools(view, report);
        if let Some(platform) = view.platform {
            let classes = Known::new("class", platform.classes.iter().map(String::as_str));
            let plans = Known::new("plan", platform.plans.iter().map(|plan| plan.name.as_str()));
            for block in view.of_kind(WORDS) {
                classes.check(block.texts("classes"), report);
                plans.check(block.texts("plans"), report);
            }
        }
        check_after(view, report);
        check_overlaps(view, report);
    }

    fn note(&self, block: &Block, key: &Key, platform: Option<&Platform>) -> Option<String> {
        let gateways = platform.map(|platform| platform.gateways).filter(|gateways| *gateways > 1)?;
        let one = block.figure("most-out").filter(|_| key.word == "most-out")?;
        let all = Dimension::Attempts.text(one * f64::from(gateways), " ");
        Some(format!("{all} from {gateways} gateways"))
    }

    fn further_changes(&self, old: &FileSet, new: &FileSet) -> Vec<Change> {
        reordered(old, new)
    }
}

pub(super) fn meaning(block: &Block) -> Option<Route> {
    Some(Route {
        name: block.at_name(),
        classes: block.at_texts("classes"),
        plans: block.at_texts("plans"),
        customers: block.at_ranges("customers"),
        pool: block.at_text("pool")?,
        fallback: block.at_text("fallback"),
        most_out: block.at_count("most-out"),
    })
}

fn check_pools(view: View<'_>, report: &mut Report) {
    let pools: BTreeSet<&str> = view.of_kind(pool::WORDS).map(|block| block.name.text.as_str()).collect();
    for block in view.of_kind(WORDS) {
        for key in ["pool", "fallback"] {
            let name = block.text(key).filter(|name| !view.unread && !pools.contains(name.text.as_str()));
            if let Some(name) = name {
                unknown("pool", name, pools.iter().copied(), report);
            }
        }
        if let (Some(first), Some(then)) = (block.text("pool"), block.text("fallback")) {
            if first.text == then.text {
                let reason = format!("`fallback` is the pool {} itself", quote(&then.text));
                let diagnostic = Diagnostic::error("fallback", &then.place, reason);
                report.add(diagnostic.help("leave `fallback` out, or name another pool"));
            }
        }
    }
}

/// What `after` names comes before.
fn check_after(view: View<'_>, report: &mut Report) {
    let routes: Vec<&Block> = view.of_kind(WORDS).collect();
    let mut numbers: BTreeMap<&str, usize> = BTreeMap::new();
    for (number, block) in routes.iter().enumerate() {
        numbers.entry(&block.name.text).or_insert(number);
    }
    for (number, block) in routes.iter().enumerate() {
        for name in block.texts("after") {
            match numbers.get(name.text.as_str()) {
                None if view.unread => {}
                None => unknown("route", name, numbers.keys().copied(), report),
                Some(other) if *other == number => {
                    let reason = "`after` names the route itself";
                    report.add(Diagnostic::error("after", &name.place, reason));
                }
                Some(other) if *other > number => {
                    let place = &routes[*other].name.place;
                    let reason =
                        format!("`after` names route {}, which comes later, at {place}", quote(&name.text));
                    let diagnostic = Diagnostic::error("after", &name.place, reason);
                    report.add(diagnostic.also(place, "comes later"));
                }
                Some(_) => {}
            }
        }
    }
}

/// Names and their numbers, so that routes can be compared.
struct Numbers<'a> {
    classes: BTreeMap<&'a str, u32>,
    plans: BTreeMap<&'a str, u32>,
    /// All names are known: a route that names all of them is one for any.
    closed: bool,
}

impl<'a> Numbers<'a> {
    fn new(routes: &[&'a Block], platform: Option<&'a Platform>) -> Numbers<'a> {
        let mut numbers =
            Numbers { classes: BTreeMap::new(), plans: BTreeMap::new(), closed: platform.is_some() };
        let known_classes = platform.into_iter().flat_map(|p| &p.classes).map(String::as_str);
        let known_plans = platform.into_iter().flat_map(|p| &p.plans).map(|plan| plan.name.as_str());
        known_classes.for_each(|name| number(&mut numbers.classes, name));
        known_plans.for_each(|name| number(&mut numbers.plans, name));
        for block in routes {
            block.texts("classes").iter().for_each(|name| number(&mut numbers.classes, &name.text));
            block.texts("plans").iter().for_each(|name| number(&mut numbers.plans, &name.text));
        }
        numbers
    }

    /// All numbers there may be; where names are not all known, one for the others.
    fn all(&self, names: &BTreeMap<&str, u32>) -> Vec<u32> {
        let others = (!self.closed || names.is_empty()).then_some(u32::MAX);
        others.into_iter().chain(names.values().copied()).collect()
    }

    fn some(&self, block: &Block, key: &str, names: &BTreeMap<&str, u32>) -> Option<Vec<u32>> {
        block.setting(key)?;
        let of = block.texts(key).iter().filter_map(|name| names.get(name.text.as_str()).copied());
        let some: BTreeSet<u32> = of.collect();
        let all = self.closed && some.len() == names.len();
        (!all).then(|| some.into_iter().collect())
    }

    fn reach(&self, block: &Block) -> Reach {
        Reach {
            classes: self.some(block, "classes", &self.classes),
            plans: self.some(block, "plans", &self.plans),
            customers: block.ranges("customers").map_or_else(|| vec![EVERYBODY], <[_]>::to_vec),
        }
    }

    fn overlaps(&self, routes: usize) -> Overlaps {
        Overlaps::new(routes, self.all(&self.classes), self.all(&self.plans))
    }
}

fn number<'a>(names: &mut BTreeMap<&'a str, u32>, name: &'a str) {
    let next = names.len() as u32;
    names.entry(name).or_insert(next);
}

/// Routes that never come to be tried, and routes that cross.
fn check_overlaps(view: View<'_>, report: &mut Report) {
    let routes: Vec<&Block> = view.of_kind(WORDS).filter(|block| !block.broken).collect();
    let numbers = Numbers::new(&routes, view.platform);
    let reaches: Vec<Reach> = routes.iter().map(|block| numbers.reach(block)).collect();
    let mut overlaps = numbers.overlaps(routes.len());
    for (number, block) in routes.iter().enumerate() {
        if check_overlap(number, &routes, &reaches, &mut overlaps, report).is_err() {
            let reason = format!(
                "routes overlap so often that only the first {number} of {} were compared",
                routes.len()
            );
            report.add(Diagnostic::warning("overlap-many", &block.name.place, reason));
            break;
        }
    }
    report.count(overlaps.taken());
}

fn check_overlap(
    number: usize,
    routes: &[&Block],
    reaches: &[Reach],
    overlaps: &mut Overlaps,
    report: &mut Report,
) -> Result<(), TooMany> {
    let (Some(block), Some(reach)) = (routes.get(number), reaches.get(number)) else { return Ok(()) };
    if let Some(by) = overlaps.shadow(reach)? {
        say_shadowed(block, &by, routes, report);
        return Ok(());
    }
    let crossing = crossing(number, routes, reaches, overlaps)?;
    if !crossing.is_empty() {
        say_crossing(block, &crossing, routes, report);
    }
    overlaps.add(number, reach)
}

/// Earlier routes that come first for some requests of this one, have others too, and do something else with them,
/// where nobody said that this is meant.
fn crossing(
    number: usize,
    routes: &[&Block],
    reaches: &[Reach],
    overlaps: &mut Overlaps,
) -> Result<Vec<usize>, TooMany> {
    let (block, reach) = (routes[number], &reaches[number]);
    let after: BTreeSet<&str> = block.texts("after").iter().map(|name| name.text.as_str()).collect();
    let everybody = reach.customers == [EVERYBODY];
    let mut found: Vec<usize> = Vec::new();
    let mut last = None;
    overlaps.visit(
        reach,
        |narrower| narrower && everybody,
        |earlier| {
            let known = last.replace(earlier) == Some(earlier);
            let fine = known
                || after.contains(routes[earlier].name.text.as_str())
                || same_end(routes[earlier], block)
                || reaches[earlier].is_within(reach);
            if !fine && !found.contains(&earlier) {
                found.push(earlier);
            }
            match found.len() > MOST_NAMED {
                true => ControlFlow::Break(()),
                false => ControlFlow::Continue(()),
            }
        },
    )?;
    Ok(found)
}

/// Whether both do the same with a request.
fn same_end(a: &Block, b: &Block) -> bool {
    let text = |block: &Block, key| block.text(key).map(|name| name.text.clone());
    let unbounded = a.setting("most-out").is_none() && b.setting("most-out").is_none();
    unbounded && text(a, "pool") == text(b, "pool") && text(a, "fallback") == text(b, "fallback")
}

/// Routes by name, cut where they are many.
fn named(numbers: &[usize], routes: &[&Block]) -> String {
    let mut names: Vec<String> =
        numbers.iter().take(MOST_NAMED).map(|n| quote(&routes[*n].name.text)).collect();
    if numbers.len() > MOST_NAMED {
        names.push("others".into());
    }
    let word = if numbers.len() == 1 { "route" } else { "routes" };
    format!("{word} {}", listed(&names, "and"))
}

fn say_shadowed(block: &Block, by: &[usize], routes: &[&Block], report: &mut Report) {
    let place = &block.name.place;
    let name = quote(&block.name.text);
    let [one] = by else {
        let reason =
            format!("route {name} never comes to be tried: {} take all of it before", named(by, routes));
        return report.add(Diagnostic::error("shadowed", place, reason));
    };
    let first = &routes[*one].name.place;
    let reason = format!(
        "route {name} never comes to be tried: {}, at {first}, takes all of it before",
        named(by, routes)
    );
    let diagnostic = Diagnostic::error("shadowed", place, reason).also(first, "takes all of it");
    report.add(diagnostic.help("the narrower route has to come first"));
}

fn say_crossing(block: &Block, crossing: &[usize], routes: &[&Block], report: &mut Report) {
    let Some(first) = crossing.first().map(|first| &routes[*first].name) else { return };
    let reason = format!(
        "route {} crosses {}, first at {}: requests that both hold for go to the earlier one",
        quote(&block.name.text),
        named(crossing, routes),
        first.place
    );
    let names = crossing.iter().take(MOST_NAMED).map(|n| quote(&routes[*n].name.text));
    let names: Vec<String> = names.collect();
    let help = format!("say `after = [{}]` if that is meant", names.join(", "));
    let diagnostic = Diagnostic::warning("crossing", &block.name.place, reason);
    report.add(diagnostic.also(&first.place, "comes first").help(help));
}

/// Pairs of routes, by name, of which the first comes before the second for some request.
type Pairs = BTreeSet<(String, String)>;

/// Routes that stand in both sets, and which of them now comes first for requests that both hold for.
fn reordered(old: &FileSet, new: &FileSet) -> Vec<Change> {
    let names = |set: &FileSet| -> Vec<String> { set.of_kind(WORDS).map(|b| b.name.text.clone()).collect() };
    let (old_names, new_names) = (names(old), names(new));
    let (old_set, new_set): (BTreeSet<&String>, BTreeSet<&String>) =
        (old_names.iter().collect(), new_names.iter().collect());
    let stayed = old_names.iter().filter(|name| new_set.contains(name));
    if stayed.eq(new_names.iter().filter(|name| old_set.contains(name))) {
        return Vec::new();
    }
    let (Ok(before), Ok(now)) = (pairs(old, &new_set), pairs(new, &old_set)) else {
        let text =
            "routes: their order changed, and they overlap too often to say for which requests".to_owned();
        return vec![Change::of_order(WORDS, "", text)];
    };
    let turned = now.iter().filter(|(first, then)| before.contains(&(then.clone(), first.clone())));
    turned.map(|(first, then)| turned_around(first, then)).collect()
}

fn turned_around(first: &str, then: &str) -> Change {
    let text = format!("route `{first}`: now comes before route `{then}`, for requests that both hold for");
    Change::of_order(WORDS, first, text)
}

/// Which routes come before which for some request; of those that the other set has too.
fn pairs(set: &FileSet, both: &BTreeSet<&String>) -> Result<Pairs, TooMany> {
    let routes: Vec<&Block> = set.of_kind(WORDS).collect();
    let numbers = Numbers::new(&routes, None);
    let mut overlaps = numbers.overlaps(routes.len());
    let mut pairs = Pairs::new();
    for (number, block) in routes.iter().enumerate() {
        let reach = numbers.reach(block);
        if both.contains(&block.name.text) {
            let show = |earlier: usize| {
                let other = &routes[earlier];
                if both.contains(&other.name.text) && !same_end(other, block) {
                    pairs.insert((other.name.text.clone(), block.name.text.clone()));
                }
                ControlFlow::Continue(())
            };
            overlaps.visit(&reach, |_| false, show)?;
        }
        overlaps.add(number, &reach)?;
    }
    Ok(pairs)
}
