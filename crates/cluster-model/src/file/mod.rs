//! Scenario files: parsing a line-based language into a [`Scenario`], and formatting it back.
//!
//! `lexer` splits a line into tokens, and `line` reads them one by one, numbers together with their units
//! (`quantity`). `parser` reads sections and keys by the tables in `fields`, `events` reads what follows
//! `at`, and `triggers` what follows `when`. `check` then validates whatever depends on several lines.
//! `writer` formats a scenario as text. `docs/rehearsal-scenarios.md` is the documentation for authors of
//! such files.

mod check;
mod errors;
mod events;
mod fields;
mod lexer;
mod line;
mod parser;
mod quantity;
mod shipped;
mod suggestion;
mod triggers;
mod writer;

pub use errors::{FileError, Reason};
pub use events::EVENT_KEYWORDS;
pub use fields::{reference, KeyEntry};
pub use shipped::{find, shipped};
pub use writer::to_text;

use crate::scenario::Scenario;
use crate::Span;

/// Maximum size of a file in bytes.
pub const MAX_FILE_BYTES: usize = 256 * 1024;
/// Maximum length of a line in bytes.
pub const MAX_LINE_BYTES: usize = 1000;
/// Maximum number of gateways of a site.
pub const MAX_GATEWAYS: u32 = 1000;
/// Maximum number of hosts in a run, including those that join later.
pub const MAX_HOSTS: u32 = 1000;
/// Maximum number of customers of a plan.
pub const MAX_CUSTOMERS: u64 = 100_000;
/// Maximum number of classes, and of plans, of a site.
pub const MAX_NAMES: usize = 20;
/// Maximum number of buildings of a site.
pub const MAX_BUILDINGS: u32 = 100;
/// Maximum number of machines that one event lists by number.
pub const MAX_LISTED_MACHINES: usize = 100;
/// Maximum length of a title in characters.
pub const MAX_TITLE_CHARS: usize = 200;
/// Maximum length, in characters, of the log text that a trigger waits for.
pub const MAX_LOG_TEXT_CHARS: usize = 200;
/// Maximum length of a run: two hours.
pub const MAX_LENGTH: Span = 2 * 3600 * crate::SECOND;

/// Parses a scenario. `name` is the file name: it appears in messages, and without directories and the
/// extension `.scenario` it becomes the name of the scenario.
///
/// Returns the first error only: that of the first line that cannot be parsed, otherwise the first
/// inconsistency.
pub fn parse(name: &str, text: &str) -> Result<Scenario, FileError> {
    parser::parse(text)
        .map(|parsed| Scenario { name: stem(name), ..parsed })
        .map_err(|error| error.in_file(name))
}

/// Returns the scenario name for a file name.
fn stem(name: &str) -> String {
    let last = name.rsplit(['/', '\\']).next().unwrap_or(name);
    last.strip_suffix(".scenario").unwrap_or(last).to_owned()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_scenario_name_is_the_file_name_without_directory_and_extension() {
        assert_eq!(
            ["scenarios/night.scenario", "C:\\a\\b.scenario", "plain"].map(stem),
            ["night", "b", "plain"]
        );
    }
}
