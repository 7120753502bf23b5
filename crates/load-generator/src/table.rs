//! Outcomes as lines of a table, and as JSON.

use crate::run::Outcome;
use std::fmt::Write;

/// What a column shows.
type Cell = fn(&Outcome) -> String;

const COLUMNS: [(&str, Cell); 12] = [
    ("subject", |o| o.subject.clone()),
    ("asked", |o| o.spec.title()),
    ("answers/s", |o| format!("{:.0}", o.answers_per_s)),
    ("in aim", |o| format!("{:.1} %", 100.0 * o.all.good())),
    ("refused", |o| format!("{:.1} %", 100.0 * o.all.refused as f64 / o.all.due.max(1) as f64)),
    ("p50 ms", |o| format!("{:.2}", o.latency.p50_ms)),
    ("p99 ms", |o| format!("{:.2}", o.latency.p99_ms)),
    ("us CPU", |o| format!("{:.1}", o.cpu_us)),
    ("kernel", |o| format!("{:.0} %", 100.0 * o.kernel_share)),
    ("calls", |o| o.calls.map_or_else(|| "-".into(), |calls| format!("{calls:.2}"))),
    ("MB", |o| format!("{:.0} / {:.0}", o.peak_mb, o.spec.memory_mb)),
    ("at rest", |o| o.at_rest.map_or_else(|| "-".into(), |share| format!("{:.2} %", 100.0 * share))),
];

/// A table for people, in the form that pages here are written in.
pub fn text(outcomes: &[Outcome]) -> String {
    let mut lines = vec![COLUMNS.map(|(title, _)| title.to_owned()).to_vec()];
    lines.extend(outcomes.iter().map(|outcome| COLUMNS.map(|(_, cell)| cell(outcome)).to_vec()));
    let widths: Vec<usize> = (0..COLUMNS.len())
        .map(|column| lines.iter().map(|line| line[column].len()).max().unwrap_or(0))
        .collect();
    let mut text = String::new();
    for (number, line) in lines.iter().enumerate() {
        for (cell, width) in line.iter().zip(&widths) {
            let _ = write!(text, "| {cell:width$} ");
        }
        text.push_str("|\n");
        if number == 0 {
            let rules: String = widths.iter().map(|width| format!("|{}", "-".repeat(width + 2))).collect();
            text += &format!("{rules}|\n");
        }
    }
    if outcomes.iter().any(|outcome| !outcome.comparable) {
        text.push_str(
            "\nNot comparable: the program had no core of its own beside three for the rig, or its ",
        );
        text.push_str("system calls were counted. Times of such runs say nothing.\n");
    }
    text
}

/// All outcomes as a JSON document.
pub fn json(outcomes: &[Outcome]) -> String {
    let document = serde_json::json!({"format": 1, "outcomes": outcomes});
    format!("{document:#}\n")
}
