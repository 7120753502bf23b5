//! The blocks of the gateway itself: pools, routes and quota policies, and the plan for the loss of a site.

mod overlap;
mod policy;
mod pool;
mod route;
mod shed;
mod site;
mod takeover;

pub use policy::Policies;
pub use pool::Pools;
pub use route::Routes;
pub use shed::{Sheds, MOST_SHEDS};
pub use site::{Sites, MOST_SITES};
pub use takeover::Takeovers;

use std::collections::BTreeSet;

use crate::diagnostic::{quoted, short, Diagnostic, Report};
use crate::model::Operators;
use crate::set::{quote, Block, Name};

/// What checked blocks mean. Blocks of other kinds are none of the gateway's.
pub(crate) fn operators(blocks: &[Block]) -> Operators {
    let of = |words: &'static str| blocks.iter().filter(move |block| block.kind.words() == words);
    Operators {
        pools: of(pool::WORDS).map(pool::meaning).collect(),
        routes: of(route::WORDS).filter_map(route::meaning).collect(),
        policies: of(policy::WORDS).filter_map(policy::meaning).collect(),
        sites: of(site::WORDS).filter_map(site::meaning).collect(),
        takeovers: of(takeover::WORDS).filter_map(takeover::meaning).collect(),
        sheds: of(shed::WORDS).map(shed::meaning).collect(),
    }
}

/// Says that the platform, or the file set, does not have something of this name.
fn unknown<'a>(
    what: &'static str,
    name: &Name,
    known: impl Iterator<Item = &'a str> + Clone,
    report: &mut Report,
) {
    let near = report.nearest(&name.text, known.clone());
    let reason = format!("unknown {what} {}", short(&quote(&name.text)));
    let diagnostic = Diagnostic::error("unknown", &name.place, reason);
    let mut few: Vec<&str> = known.take(7).collect();
    let more = few.len() > 6;
    few.truncate(6);
    report.add(match near {
        Some(_) => diagnostic.near(near),
        None if few.is_empty() => diagnostic.help(format!("there is no {what} at all")),
        None if more => diagnostic,
        None => diagnostic.help(format!("there is {}", quoted(few, "and"))),
    });
}

/// Names of one kind that the platform knows; made once, as there may be as many as blocks.
struct Known<'a> {
    what: &'static str,
    /// As the platform lists them.
    list: Vec<&'a str>,
    names: BTreeSet<&'a str>,
}

impl<'a> Known<'a> {
    fn new(what: &'static str, names: impl Iterator<Item = &'a str>) -> Known<'a> {
        let list: Vec<&str> = names.collect();
        Known { what, names: list.iter().copied().collect(), list }
    }

    /// Says for each name of a setting whether the platform has it.
    fn check(&self, names: &[Name], report: &mut Report) {
        for name in names.iter().filter(|name| !self.names.contains(name.text.as_str())) {
            unknown(self.what, name, self.list.iter().copied(), report);
        }
    }
}
