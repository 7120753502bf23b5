//! `takeover`: who takes the load of a site that is lost.

use std::collections::BTreeMap;

use super::{site, unknown};
use crate::diagnostic::{Diagnostic, Report};
use crate::kind::{Key, Kind, Shape, View};
use crate::model::Takeover;
use crate::set::{quote, Block};
use crate::units::Dimension;

pub(super) const WORDS: &str = "takeover";
/// Shares that make up the whole, whatever became of the last bit.
const WHOLE: f64 = 1.0 + 1e-9;

/// The kind of block `takeover`.
#[derive(Debug)]
pub struct Takeovers;

const SHARE: Shape = Shape::Figure(Dimension::Share, 0.001, 1.0);

const fn key(word: &'static str, about: &'static str) -> Key {
    Key { word, shape: Shape::Text, needed: true, default: "", about }
}

const KEYS: &[Key] = &[
    key("lost", "The site that is lost."),
    key("by", "The site that takes load of it."),
    Key {
        shape: SHARE,
        needed: false,
        default: "what is left, evenly",
        ..key("share", "Share of the lost site's load.")
    },
];

impl Kind for Takeovers {
    fn words(&self) -> &'static str {
        WORDS
    }

    fn about(&self) -> &'static str {
        "Who takes the load of a site that is lost, and how much of it."
    }

    fn keys(&self) -> &'static [Key] {
        KEYS
    }

    fn check(&self, view: View<'_>, report: &mut Report) {
        check_sites(view, report);
        let mut by_lost: BTreeMap<&str, Vec<(usize, &Block)>> = BTreeMap::new();
        for (number, block) in view.of_kind(WORDS).enumerate().filter(|(_, block)| !block.broken) {
            if let Some(lost) = block.text("lost") {
                by_lost.entry(&lost.text).or_default().push((number, block));
            }
        }
        let mut closed = BTreeMap::new();
        for (lost, takeovers) in &by_lost {
            let is_whole = check_shares(takeovers.iter().map(|(_, block)| *block), report);
            if let ([only], true) = (&takeovers[..], is_whole) {
                closed.insert(*lost, *only);
            }
        }
        check_circles(view, &closed, report);
    }
}

pub(super) fn meaning(block: &Block) -> Option<Takeover> {
    Some(Takeover {
        name: block.at_name(),
        lost: block.at_text("lost")?,
        by: block.at_text("by")?,
        share: block.at("share", block.figure("share")),
    })
}

fn check_sites(view: View<'_>, report: &mut Report) {
    let sites: BTreeMap<&str, &Block> =
        view.of_kind(site::WORDS).map(|block| (block.name.text.as_str(), block)).collect();
    for block in view.of_kind(WORDS) {
        let known = ["lost", "by"].map(|key| {
            let name = block.text(key)?;
            let site = sites.get(name.text.as_str());
            if site.is_none() && !view.unread {
                unknown("site", name, sites.keys().copied(), report);
            }
            site.map(|site| (name, *site))
        });
        let [Some((lost, _)), Some((by, taker))] = known else { continue };
        if lost.text == by.text {
            let reason = format!("site {} cannot take over from itself", quote(&by.text));
            report.add(Diagnostic::error("itself", &by.place, reason));
        } else if let Some(told) = taker.text("told").filter(|told| told.text == "lost") {
            let reason = format!(
                "`by` is site {}, which is told lost at {}: its share goes where waits are least",
                quote(&by.text),
                told.place
            );
            let diagnostic = Diagnostic::warning("lost-taker", &by.place, reason);
            report.add(diagnostic.also(&told.place, "told here"));
        }
    }
}

/// Each pair once, and no more than the whole; whether all of the load has a taker.
fn check_shares<'a>(takeovers: impl Iterator<Item = &'a Block> + Clone, report: &mut Report) -> bool {
    let mut first: BTreeMap<&str, &Block> = BTreeMap::new();
    let (mut all, mut open) = (0.0, false);
    for block in takeovers.clone() {
        let (Some(lost), Some(by)) = (block.text("lost"), block.text("by")) else { continue };
        if let Some(other) = first.insert(&by.text, block) {
            // Two blocks of one name were said already.
            if other.name.text != block.name.text {
                let (place, name) = (&other.name.place, quote(&other.name.text));
                let reason = format!(
                    "site {} takes over from site {} already: {name}, at {place}",
                    quote(&by.text),
                    quote(&lost.text)
                );
                let diagnostic = Diagnostic::error("two-takeovers", &by.place, reason);
                report.add(diagnostic.also(place, "first here"));
            }
            continue;
        }
        let share = block.figure("share");
        open |= share.is_none();
        let before = all;
        all += share.unwrap_or(0.0);
        if all > WHOLE && before <= WHOLE {
            let text = Dimension::Share.text((all * 1e6).round() / 1e6, " ");
            let reason = format!("the shares of site {} come to {text}", quote(&lost.text));
            report.add(Diagnostic::error("shares", block.place("share"), reason));
        }
    }
    if all > 1.0 - 1e-9 && all <= WHOLE {
        say_none_left(takeovers, report);
    }
    open || all > 1.0 - 1e-9
}

/// A takeover that is to have what is left, where nothing is.
fn say_none_left<'a>(mut takeovers: impl Iterator<Item = &'a Block>, report: &mut Report) {
    if let Some(block) = takeovers.find(|block| block.setting("share").is_none()) {
        let reason =
            format!("takeover {} is left with nothing: the others take all", quote(&block.name.text));
        let diagnostic = Diagnostic::error("none-left", &block.name.place, reason);
        report.add(diagnostic.help("give it a `share`, and the others less"));
    }
}

/// Two sites that have only one another send load in a circle when both are lost, though others stand. `closed` has
/// the sites of which one other takes all, with the number of the block that says so.
fn check_circles(view: View<'_>, closed: &BTreeMap<&str, (usize, &Block)>, report: &mut Report) {
    if view.of_kind(site::WORDS).count() <= 2 {
        return;
    }
    for (number, block) in closed.values() {
        let (Some(lost), Some(by)) = (block.text("lost"), block.text("by")) else { continue };
        // Of each pair the later block is told of.
        let back = closed.get(by.text.as_str()).filter(|(back, _)| back < number);
        let leads_back = |back: &Block| back.text("by").is_some_and(|by| by.text == lost.text);
        let Some((_, back)) = back.filter(|(_, back)| leads_back(back)) else { continue };
        let reason = format!(
            "sites {} and {} send all of their load in a circle when both are lost: takeover {}, at {}, leads back",
            quote(&lost.text),
            quote(&by.text),
            quote(&back.name.text),
            back.name.place
        );
        let diagnostic = Diagnostic::error("circle", &block.name.place, reason);
        let help = "let a third site take a part, or leave a part to whoever has room: `share = 90 %`";
        report.add(diagnostic.also(&back.name.place, "leads back").help(help));
    }
}
