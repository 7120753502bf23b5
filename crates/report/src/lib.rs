//! Shows what the judge found: a table for the end of a rehearsal, JSON for programs, and a page with plots.
//!
//! All three come from the same [`Verdict`] and are the same text for the same verdict: no clock is read and
//! nothing depends on the order of a hash. Texts from scenario files (titles, names, words of events) are
//! never trusted: control characters are dropped everywhere, and the page escapes the rest.

mod facts;
mod number;
mod page;
mod progress;
mod rules;
mod text;
mod words;

pub use page::html;
pub use progress::{progress, speed_line};
pub use text::table;

use invariants::Verdict;
use serde::Serialize;

/// What was played, beside what the judge found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Heading {
    /// One line for people.
    pub title: String,
    /// Name of the site.
    pub site: String,
    /// The seed that all chance came from.
    pub seed: u64,
    /// For how long clients asked, in seconds.
    pub length_s: f64,
    /// Played in virtual time; otherwise on sockets in real time.
    pub virtual_time: bool,
    /// How long the playing took on a clock on the wall, in seconds. Not in the table nor on the page, which
    /// are the same for the same seed.
    pub wall_s: Option<f64>,
    /// The hash over everything that passed on any wire.
    pub digest: Option<String>,
}

/// The whole of the JSON document; the order of its keys is the order of the fields.
#[derive(Serialize)]
struct Document<'a> {
    /// Version of this document's form.
    format: u32,
    heading: &'a Heading,
    verdict: &'a Verdict,
}

/// The verdict as a JSON document with `"format": 1`, indented, its keys in a fixed order. Numbers that JSON
/// does not have (infinite, or none at all) become `null`.
pub fn json(verdict: &Verdict, heading: &Heading) -> String {
    let document = Document { format: 1, heading, verdict };
    // Writing to memory fails only on maps whose keys are not words, and the document has no maps.
    let mut text = serde_json::to_string_pretty(&document).expect("a document without maps");
    text.push('\n');
    text
}
