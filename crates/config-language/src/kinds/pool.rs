//! `pool`: a set of hosts, chosen by what discovery tells.

use super::Known;
use crate::diagnostic::Report;
use crate::kind::{Key, Kind, Shape, View};
use crate::model::Pool;
use crate::set::Block;

pub(super) const WORDS: &str = "pool";

/// The kind of block `pool`.
#[derive(Debug)]
pub struct Pools;

const fn key(word: &'static str, shape: Shape, about: &'static str) -> Key {
    Key { word, shape, needed: false, default: "any", about }
}

const KEYS: &[Key] = &[
    key("zones", Shape::Texts, "The host stands in one of these zones."),
    key("machines", Shape::Texts, "The host is one of these kinds of machine."),
    key("cells", Shape::Numbers(u32::MAX as u64), "The host is in one of these cells."),
    key("ids", Shape::Texts, "The host's id begins with one of these."),
];

impl Kind for Pools {
    fn words(&self) -> &'static str {
        WORDS
    }

    fn about(&self) -> &'static str {
        "A set of hosts, chosen by what discovery tells."
    }

    fn keys(&self) -> &'static [Key] {
        KEYS
    }

    /// A pool that is empty just now is fine; one of zones or machines that the platform does not have can never
    /// have a host.
    fn check(&self, view: View<'_>, report: &mut Report) {
        let Some(platform) = view.platform else { return };
        let zones = Known::new("zone", platform.zones.iter().map(String::as_str));
        let machines = Known::new("machine", platform.machines.iter().map(String::as_str));
        for block in view.of_kind(WORDS) {
            zones.check(block.texts("zones"), report);
            machines.check(block.texts("machines"), report);
        }
    }
}

pub(super) fn meaning(block: &Block) -> Pool {
    let cells = block.at_ranges("cells").map(|cells| {
        // Their key bounds them.
        let small = |n: &u64| u32::try_from(*n).unwrap_or(u32::MAX);
        let value = cells.value.iter().map(|range| small(range.start())..=small(range.end())).collect();
        crate::model::At { value, origin: cells.origin }
    });
    Pool {
        name: block.at_name(),
        zones: block.at_texts("zones"),
        machines: block.at_texts("machines"),
        cells,
        ids: block.at_texts("ids"),
    }
}
