//! `site`: hosts that are lost together, because they stand in the same building.

use std::collections::BTreeMap;

use super::Known;
use crate::diagnostic::{Diagnostic, Place, Report};
use crate::kind::{Key, Kind, Shape, View};
use crate::model::Site;
use crate::set::{quote, Block, Name};
use crate::units::Dimension;

pub(super) const WORDS: &str = "site";
/// Sites of a file set: a gateway keeps a bit for each in one word, and one for what is in none.
pub const MOST_SITES: usize = 63;
/// What `told` may say.
const TOLD: [&str; 2] = ["lost", "whole"];

/// The kind of block `site`.
#[derive(Debug)]
pub struct Sites;

const CAPACITY: Shape = Shape::Figure(Dimension::Requests, 0.001, 1e9);
const LOAD: Shape = Shape::Figure(Dimension::Requests, 0.0, 1e9);
const HEADROOM: Shape = Shape::Figure(Dimension::Share, 0.0, 0.9);
/// From a second to an hour, in nanoseconds.
const RAMP: Shape = Shape::Figure(Dimension::Span, 1e9, 3.6e12);

const fn key(word: &'static str, shape: Shape, default: &'static str, about: &'static str) -> Key {
    Key { word, shape, needed: false, default, about }
}

const KEYS: &[Key] = &[
    Key { needed: true, ..key("zones", Shape::Texts, "", "Its hosts stand in one of these zones.") },
    key("capacity", CAPACITY, "not known", "What its hosts carry when all of them are warm."),
    key("load", LOAD, "not known", "What its hosts are asked for at the busiest hour."),
    key(
        "headroom",
        HEADROOM,
        "0 %",
        "Share of its capacity that stays free when it takes load of other sites.",
    ),
    key("ramp", RAMP, "30 s", "How long its return to its full share takes at the least."),
    key("told", Shape::Text, "nothing", "`lost` or `whole`, by hand: it goes before all that is seen."),
];

impl Kind for Sites {
    fn words(&self) -> &'static str {
        WORDS
    }

    fn about(&self) -> &'static str {
        "Hosts that are lost together, because they stand in the same building."
    }

    fn keys(&self) -> &'static [Key] {
        KEYS
    }

    fn check(&self, view: View<'_>, report: &mut Report) {
        check_number(view, report);
        check_one_a_zone(view, report);
        if let Some(platform) = view.platform {
            let zones = Known::new("zone", platform.zones.iter().map(String::as_str));
            for block in view.of_kind(WORDS) {
                zones.check(block.texts("zones"), report);
            }
        }
        for block in view.of_kind(WORDS) {
            check_told(block, report);
            check_load(block, report);
        }
    }
}

pub(super) fn meaning(block: &Block) -> Option<Site> {
    Some(Site {
        name: block.at_name(),
        zones: block.at_texts("zones")?,
        capacity: block.at("capacity", block.figure("capacity")),
        load: block.at("load", block.figure("load")),
        headroom: block.at("headroom", block.figure("headroom")),
        // Whole, and within the bounds of its key.
        ramp: block.at("ramp", block.figure("ramp").map(|span| span as u64)),
        told: block.at_text("told"),
    })
}

fn check_number(view: View<'_>, report: &mut Report) {
    if let Some(block) = view.of_kind(WORDS).nth(MOST_SITES) {
        let reason = format!("site {} is one too many: at most {MOST_SITES} sites", quote(&block.name.text));
        report.add(Diagnostic::error("many-sites", &block.name.place, reason));
    }
}

/// A host is lost with one site, so load that is kept from it and load that is sent to it never meet.
fn check_one_a_zone(view: View<'_>, report: &mut Report) {
    let mut first: BTreeMap<&str, (&Name, &Place)> = BTreeMap::new();
    for block in view.of_kind(WORDS) {
        for zone in block.texts("zones") {
            let (site, place) = *first.entry(&zone.text).or_insert((&block.name, &zone.place));
            // The same site twice, or a zone twice in it, was said already.
            if site.text != block.name.text {
                let (zone_name, site) = (quote(&zone.text), quote(&site.text));
                let reason = format!("zone {zone_name} is in site {site} already, at {place}");
                let diagnostic = Diagnostic::error("two-sites", &zone.place, reason);
                report.add(diagnostic.also(place, "first here"));
            }
        }
    }
}

fn check_told(block: &Block, report: &mut Report) {
    let Some(told) = block.text("told") else { return };
    let name = quote(&block.name.text);
    if !TOLD.contains(&told.text.as_str()) {
        let reason = format!("`told` is {}, and has to be \"lost\" or \"whole\"", quote(&told.text));
        return report.add(Diagnostic::error("told", &told.place, reason));
    }
    let reason = format!("site {name} is told {}, whatever is seen of it", told.text);
    let diagnostic = Diagnostic::warning("told-by-hand", &told.place, reason);
    report.add(diagnostic.help("take `told` out when what it was for is over"));
}

/// What is asked for every day is carried every day.
fn check_load(block: &Block, report: &mut Report) {
    let (Some(load), Some(capacity)) = (block.figure("load"), block.figure("capacity")) else { return };
    if load > capacity {
        let text = |value| Dimension::Requests.text(value, " ");
        let reason = format!("`load` is {}, and `capacity` no more than {}", text(load), text(capacity));
        report.add(Diagnostic::error("overloaded", block.place("load"), reason));
    }
}
