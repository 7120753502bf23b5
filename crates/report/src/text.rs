//! The table that ends a rehearsal.

use crate::facts::{self, Column, Section};
use crate::{number, rules, words, Heading};
use invariants::Verdict;

/// Characters of a line of running text.
const WIDTH: usize = 80;
/// Characters of a name in a cell; longer ones are clipped, so that no row passes 100.
const NAME: usize = 16;

/// The verdict as text for a terminal: at most 100 columns wide, 80 with figures of usual size, no colour
/// codes, each line ended. Two runs of one seed give the same text.
pub fn table(verdict: &Verdict, heading: &Heading) -> String {
    let mut lines = head(verdict, heading);
    lines.extend(rules_lines(verdict));
    for section in facts::sections(verdict) {
        lines.push(String::new());
        lines.extend(section_lines(&section));
    }
    let mut text = String::new();
    for line in lines {
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

fn head(verdict: &Verdict, heading: &Heading) -> Vec<String> {
    let (of_rules, of_figures) = facts::sentences(verdict);
    let mut lines = words::wrap(title(heading), WIDTH);
    lines.push("=".repeat(lines.iter().map(|line| line.chars().count()).max().unwrap_or(0)));
    lines.extend(words::wrap(&played(heading), WIDTH));
    if let Some(digest) = &heading.digest {
        lines.extend(words::wrap(&format!("digest {digest}"), WIDTH));
    }
    lines.push(String::new());
    lines.extend(words::wrap(&format!("{of_rules} {of_figures}"), WIDTH));
    lines
}

/// The title, or what stands for it.
pub(crate) fn title(heading: &Heading) -> &str {
    if heading.title.trim().is_empty() {
        "Rehearsal"
    } else {
        &heading.title
    }
}

/// Site, seed, length and kind of time.
pub(crate) fn played(heading: &Heading) -> String {
    let time = if heading.virtual_time { "virtual" } else { "real" };
    let length = number::length(heading.length_s);
    let site = if heading.site.is_empty() { "-" } else { &heading.site };
    format!("site {site}, seed {}, {length} of {time} time", heading.seed)
}

fn rules_lines(verdict: &Verdict) -> Vec<String> {
    let mut lines = vec![String::new(), "Rules".into()];
    for fact in rules::facts(verdict) {
        let state = if fact.broken > 0 { "BROKEN" } else { "kept" };
        let times = if fact.broken > 0 { format!("{}: ", rules::times(fact.broken)) } else { String::new() };
        for (i, part) in words::wrap(&format!("{times}{}", fact.asks), WIDTH - 25).into_iter().enumerate() {
            let (state, name) = if i == 0 { (state, fact.name) } else { ("", "") };
            lines.push(format!("  {state:<6}  {name:<13}  {part}"));
        }
    }
    if verdict.violations.is_empty() {
        return lines;
    }
    lines.push(String::new());
    lines.push("Broken rules".into());
    let shown = rules::shown(verdict);
    for breach in &shown {
        let at = number::moment(breach.at_s);
        let text = format!("{}: {}", rules::name(breach.rule), breach.text);
        for (i, part) in words::wrap(&text, WIDTH - 14).into_iter().enumerate() {
            let at = if i == 0 { at.as_str() } else { "" };
            lines.push(format!("  {at:>10}  {part}"));
        }
    }
    lines.extend(more(verdict.violations.len() - shown.len()));
    lines
}

fn section_lines(section: &Section) -> Vec<String> {
    let mut lines = vec![section.title.to_owned()];
    if section.rows.is_empty() {
        lines.push("  none".into());
        return lines;
    }
    if section.running {
        lines.extend(section.rows.iter().flat_map(|row| &row.cells).flat_map(|text| item(text)));
        lines.extend(more(section.more));
        return lines;
    }
    let cell = |text: &String| if section.fixed_rows { text.clone() } else { name(text) };
    let rows: Vec<Vec<String>> =
        section.rows.iter().map(|row| row.cells.iter().map(cell).collect()).collect();
    let heads = heads(&section.columns);
    let width = |column: usize| {
        heads.iter().chain(&rows).filter_map(|row| row.get(column)).map(|text| text.chars().count()).max()
    };
    let widths: Vec<usize> = (0..section.columns.len()).map(|column| width(column).unwrap_or(0)).collect();
    lines.extend(heads.iter().chain(&rows).map(|row| line(row, &widths, &section.columns)));
    lines.extend(more(section.more));
    lines
}

/// A sentence with a dash before it.
fn item(text: &str) -> Vec<String> {
    let lines = words::wrap(text, WIDTH - 4).into_iter().enumerate();
    lines.map(|(i, line)| format!("  {} {line}", if i == 0 { "-" } else { " " })).collect()
}

/// A text from a file, or a figure, which is never as long.
fn name(text: &str) -> String {
    words::clip(&words::plain(text), NAME)
}

/// The labels in as many lines as the longest of them needs, the last word of each at the bottom.
fn heads(columns: &[Column]) -> Vec<Vec<String>> {
    let high = columns.iter().map(|column| column.label.split('|').count()).max().unwrap_or(1);
    let part = |column: &Column, line: usize| {
        let parts: Vec<&str> = column.label.split('|').collect();
        (line + parts.len()).checked_sub(high).and_then(|i| parts.get(i).copied()).unwrap_or("").to_owned()
    };
    (0..high).map(|line| columns.iter().map(|column| part(column, line)).collect()).collect()
}

fn line(cells: &[String], widths: &[usize], columns: &[Column]) -> String {
    let mut line = String::new();
    for ((cell, width), column) in cells.iter().zip(widths).zip(columns) {
        line.push_str("  ");
        if column.words {
            line.push_str(&format!("{cell:<width$}"));
        } else {
            line.push_str(&format!("{cell:>width$}"));
        }
    }
    line
}

/// What is left out, if anything is.
fn more(count: usize) -> Option<String> {
    (count > 0).then(|| format!("  and {} more", number::count(count as u64)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn labels_of_one_line_stand_above_their_figures() {
        let columns = [Column { label: "plan", words: true }, Column { label: "units|asked", words: false }];
        assert_eq!(heads(&columns), [["", "units"], ["plan", "asked"]]);
    }
}
