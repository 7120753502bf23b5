//! Scenario files: a small language of lines, from text to a [`Scenario`] and back.
//!
//! A text goes through `lexer` (words, figures and marks of a line), `line` (reading them one after
//! another, figures with their units), `parser` (sections and keys, by the tables in `fields`) and
//! `events` (`at` lines) and `signs` (`when` lines); `check` then looks at what only the whole tells. `writer` goes the other way.
//! `docs/rehearsal-scenarios.md` is the page for those who write such files.

mod check;
mod errors;
mod events;
mod fields;
mod figure;
mod lexer;
mod line;
mod near;
mod parser;
mod shipped;
mod signs;
mod writer;

pub use errors::{FileError, Reason};
pub use events::EVENT_KEYWORDS;
pub use fields::{reference, Entry};
pub use shipped::{find, shipped};
pub use writer::to_text;

use crate::scenario::Scenario;
use crate::Span;

/// Bytes of a file.
pub const MAX_FILE_BYTES: usize = 256 * 1024;
/// Bytes of a line.
pub const MAX_LINE_BYTES: usize = 1000;
/// Gateways of a site.
pub const MAX_GATEWAYS: u32 = 1000;
/// Hosts that a site has in the course of a rehearsal.
pub const MAX_HOSTS: u32 = 1000;
/// Customers of a plan.
pub const MAX_CUSTOMERS: u64 = 100_000;
/// Classes or plans of a site.
pub const MAX_NAMES: usize = 20;
/// Buildings of a site.
pub const MAX_BUILDINGS: u32 = 100;
/// Machines that one event names by number.
pub const MAX_LISTED_MACHINES: usize = 100;
/// Letters of a title.
pub const MAX_TITLE_CHARS: usize = 200;
/// Letters of a part of a log's line.
pub const MAX_LOG_TEXT_CHARS: usize = 200;
/// The longest rehearsal, in nanoseconds: two hours.
pub const MAX_LENGTH: Span = 2 * 3600 * crate::SECOND;

/// Reads a scenario. `name` is the file's name: it stands in messages, and without folders and the ending
/// `.scenario` it becomes the scenario's name.
///
/// The error is the first one: the first line that cannot be read, else a place that contradicts another one.
pub fn parse(name: &str, text: &str) -> Result<Scenario, FileError> {
    parser::parse(text).map(|read| Scenario { name: stem(name), ..read }).map_err(|fault| fault.in_file(name))
}

/// The name of a scenario in a file of this name.
fn stem(name: &str) -> String {
    let last = name.rsplit(['/', '\\']).next().unwrap_or(name);
    last.strip_suffix(".scenario").unwrap_or(last).to_owned()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_scenario_is_called_like_its_file() {
        assert_eq!(
            ["scenarios/night.scenario", "C:\\a\\b.scenario", "plain"].map(stem),
            ["night", "b", "plain"]
        );
    }
}
