//! `shed`: what is refused when load does not fit after a loss. The first goes first.

use std::collections::{BTreeMap, BTreeSet};

use super::{site, Known};
use crate::changes::Change;
use crate::diagnostic::{Diagnostic, Report};
use crate::kind::{Key, Kind, Shape, View};
use crate::model::Shed;
use crate::platform::Platform;
use crate::set::{quote, Block, FileSet, Name};
use crate::units::Dimension;

pub(super) const WORDS: &str = "shed";
/// Sheds of a file set.
pub const MOST_SHEDS: usize = 64;
/// Pairs of class and plan that are looked at, over all sheds.
const MOST_CELLS: usize = 1_000_000;

/// The kind of block `shed`.
#[derive(Debug)]
pub struct Sheds;

const fn key(word: &'static str, shape: Shape, default: &'static str, about: &'static str) -> Key {
    Key { word, shape, needed: false, default, about }
}

const FLOOR: Shape = Shape::Figure(Dimension::Share, 0.0, 1.0);

const KEYS: &[Key] = &[
    key("classes", Shape::Texts, "any", "The request is of one of these classes."),
    key("plans", Shape::Texts, "any", "Its customer has one of these plans."),
    key("floor", FLOOR, "0 %", "Share of these requests that the plan never refuses."),
];

impl Kind for Sheds {
    fn words(&self) -> &'static str {
        WORDS
    }

    fn about(&self) -> &'static str {
        "What is refused when load does not fit after a loss. The first goes first."
    }

    fn keys(&self) -> &'static [Key] {
        KEYS
    }

    fn check(&self, view: View<'_>, report: &mut Report) {
        if let Some(platform) = view.platform {
            let classes = Known::new("class", platform.classes.iter().map(String::as_str));
            let plans = Known::new("plan", platform.plans.iter().map(|plan| plan.name.as_str()));
            for block in view.of_kind(WORDS) {
                classes.check(block.texts("classes"), report);
                plans.check(block.texts("plans"), report);
            }
        }
        let sheds: Vec<&Block> = view.of_kind(WORDS).filter(|block| !block.broken).collect();
        if let Some(block) = sheds.get(MOST_SHEDS) {
            let name = quote(&block.name.text);
            let reason = format!("shed {name} is one too many: at most {MOST_SHEDS} sheds");
            return report.add(Diagnostic::error("many-sheds", &block.name.place, reason));
        }
        check_idle(view, &sheds, report);
    }

    fn further_changes(&self, old: &FileSet, new: &FileSet) -> Vec<Change> {
        reordered(old, new)
    }
}

pub(super) fn meaning(block: &Block) -> Shed {
    Shed {
        name: block.at_name(),
        classes: block.at_texts("classes"),
        plans: block.at_texts("plans"),
        floor: block.at("floor", block.figure("floor")),
    }
}

/// Names of classes or of plans that there are, by number. Where the platform is not known there may be others:
/// these have one number more.
struct Names<'a>(BTreeMap<&'a str, usize>, usize);

impl<'a> Names<'a> {
    fn new(platform: Option<Vec<&'a str>>, named: impl Iterator<Item = &'a Name>) -> Names<'a> {
        let mut numbers = BTreeMap::new();
        let others = usize::from(platform.is_none());
        let all = platform.into_iter().flatten().chain(named.map(|name| name.text.as_str()));
        for name in all {
            let next = numbers.len();
            numbers.entry(name).or_insert(next);
        }
        let count = numbers.len() + others;
        Names(numbers, count)
    }

    /// Those that a shed names, or all.
    fn of(&self, block: &Block, key: &str) -> Vec<usize> {
        match block.setting(key) {
            None => (0..self.1).collect(),
            Some(_) => block.texts(key).iter().filter_map(|n| self.0.get(n.text.as_str()).copied()).collect(),
        }
    }
}

/// Sheds that refuse nothing, and sheds that come too early.
fn check_idle(view: View<'_>, sheds: &[&Block], report: &mut Report) {
    let platform = view.platform;
    let classes = platform.map(|platform| platform.classes.iter().map(String::as_str).collect());
    let plans = platform.map(|platform| platform.plans.iter().map(|plan| plan.name.as_str()).collect());
    let classes = Names::new(classes, sheds.iter().flat_map(|block| block.texts("classes")));
    let plans = Names::new(plans, sheds.iter().flat_map(|block| block.texts("plans")));
    let has_sites = view.unread || view.of_kind(site::WORDS).next().is_some();
    let (mut taken, mut left) = (BTreeSet::new(), MOST_CELLS);
    let mut worths = Vec::new();
    for block in sheds {
        let (own_classes, own_plans) = (classes.of(block, "classes"), plans.of(block, "plans"));
        let Some(rest) = left.checked_sub(own_classes.len() * own_plans.len()) else {
            let reason = "the sheds name so many classes and plans that from here on they were not compared";
            report.add(Diagnostic::warning("shed-many", &block.name.place, reason));
            break;
        };
        left = rest;
        let cells = own_classes.iter().flat_map(|class| own_plans.iter().map(move |plan| (*class, *plan)));
        let own: Vec<(usize, usize)> = cells.filter(|cell| taken.insert(*cell)).collect();
        say_idle(block, !own.is_empty(), has_sites, report);
        worths.push(platform.and_then(|platform| worth(platform, &own)));
    }
    report.count(MOST_CELLS - left);
    check_order(sheds, &worths, report);
}

fn say_idle(block: &Block, has_cells: bool, has_sites: bool, report: &mut Report) {
    let why = match block.figure("floor") {
        _ if !has_sites => "there is no site that could be lost",
        _ if !has_cells => "earlier sheds name all of it",
        Some(1.0) => "its floor is 100 %",
        _ => return,
    };
    let reason = format!("shed {} refuses nothing: {why}", quote(&block.name.text));
    report.add(Diagnostic::warning("idle-shed", &block.name.place, reason));
}

/// What the cheapest and the dearest of these requests are worth, where the platform says.
fn worth(platform: &Platform, cells: &[(usize, usize)]) -> Option<(f64, f64)> {
    let worths = cells.iter().map(|(class, plan)| {
        let worth = platform.worths.get(*class)? * platform.plans.get(*plan)?.worth;
        (worth > 0.0).then_some(worth)
    });
    let worths: Vec<f64> = worths.collect::<Option<_>>()?;
    let least = worths.iter().copied().reduce(f64::min)?;
    Some((least, worths.into_iter().fold(least, f64::max)))
}

/// A shed of which each request is worth more than any of a later one: orders before reads.
fn check_order(sheds: &[&Block], worths: &[Option<(f64, f64)>], report: &mut Report) {
    for (number, (block, own)) in sheds.iter().zip(worths).enumerate() {
        let Some((least, _)) = own else { continue };
        let later = sheds.iter().zip(worths).skip(number + 1);
        let mut cheaper = later.filter_map(|(other, worth)| Some((*other, (*worth)?.1)));
        let Some((other, most)) = cheaper.find(|(_, most)| most < least) else { continue };
        let reason = format!(
            "shed {} goes first, and the least that it refuses is worth {least}: shed {}, at {}, refuses nothing \
             worth more than {most}",
            quote(&block.name.text),
            quote(&other.name.text),
            other.name.place
        );
        let diagnostic = Diagnostic::warning("dear-first", &block.name.place, reason);
        report
            .add(diagnostic.also(&other.name.place, "is cheaper").help("the cheaper one has to come first"));
    }
}

/// Sheds that stand in both sets, and come before another one that they came behind. Neighbours are enough to tell:
/// where any two are turned round, two neighbours are.
fn reordered(old: &FileSet, new: &FileSet) -> Vec<Change> {
    let places: BTreeMap<&str, usize> =
        old.of_kind(WORDS).enumerate().map(|(n, block)| (block.name.text.as_str(), n)).collect();
    let stayed: Vec<(&str, usize)> = new
        .of_kind(WORDS)
        .filter_map(|block| places.get_key_value(block.name.text.as_str()).map(|(name, n)| (*name, *n)))
        .collect();
    let turned = stayed.windows(2).filter(|pair| pair[0].1 > pair[1].1);
    turned.map(|pair| turned_around(pair[0].0, pair[1].0)).collect()
}

fn turned_around(first: &str, then: &str) -> Change {
    let text = format!("shed `{first}`: now comes before shed `{then}`, and is refused first");
    Change::of_order(WORDS, first, text)
}
