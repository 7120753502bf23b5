//! The table of broken file sets in `broken.txt`: each gets exactly one message, compared in full.
//!
//! With `FENNELBEAM_BLESS=1` the table is written anew with the messages that there are, to be read before it is
//! committed.

mod common;

use std::path::Path;

use common::{messages, platform};
use config_language::load;
use config_language::loader::Memory;

const TABLE: &str = include_str!("broken.txt");

/// One broken file set.
struct Case<'a> {
    title: &'a str,
    /// Its lines in the table, without the message.
    lines: Vec<&'a str>,
    expected: Vec<&'a str>,
}

fn cases() -> (Vec<&'static str>, Vec<Case<'static>>) {
    let mut head = Vec::new();
    let mut cases: Vec<Case> = Vec::new();
    for line in TABLE.lines() {
        if let Some(title) = line.strip_prefix("=== ") {
            cases.push(Case { title, lines: Vec::new(), expected: Vec::new() });
        } else if let Some(case) = cases.last_mut() {
            match line.strip_prefix(">>> ") {
                Some(message) => case.expected.push(message),
                None => case.lines.push(line),
            }
        } else {
            head.push(line);
        }
    }
    (head, cases)
}

fn bytes(lines: &[&str]) -> Vec<u8> {
    // Blank lines and headings at the end are the table's.
    let used =
        lines.iter().rposition(|line| !line.is_empty() && !is_heading(line)).map_or(0, |last| last + 1);
    let mut text = lines[..used].join("\n") + "\n";
    if let Some((before, _)) = text.split_once("<END>") {
        text = before.to_owned();
    }
    let marks =
        [("<CR>", "\r"), ("<TAB>", "\t"), ("<NUL>", "\0"), ("<BOM>", "\u{FEFF}"), ("<RLO>", "\u{202E}")];
    for (mark, meant) in marks {
        text = text.replace(mark, meant);
    }
    let mut out = Vec::new();
    for (i, part) in text.split("<FF>").enumerate() {
        out.extend((i > 0).then_some(0xFF));
        for (i, part) in part.split("<FE>").enumerate() {
            out.extend((i > 0).then_some(0xFE));
            out.extend_from_slice(part.as_bytes());
        }
    }
    out
}

/// A heading of the table: it stands alone, between blank lines, behind a case.
fn is_heading(line: &str) -> bool {
    [
        "# Pieces",
        "# Blocks",
        "# Lists",
        "# Figures and units",
        "# Names",
        "# Includes",
        "# What only the whole tells",
    ]
    .contains(&line)
}

fn told(case: &Case) -> Vec<String> {
    let mut files = Memory::default();
    let mut root = None;
    let starts: Vec<usize> = (0..case.lines.len()).filter(|n| begins_file(case.lines[*n])).collect();
    for (i, start) in starts.iter().enumerate() {
        let end = starts.get(i + 1).copied().unwrap_or(case.lines.len());
        let line = case.lines[*start];
        if let Some(name) = line.strip_prefix("--- ") {
            root.get_or_insert(name);
            files = files.with(name, bytes(&case.lines[start + 1..end]));
        } else if let Some((link, target)) = line.strip_prefix("@@@ ").and_then(|line| line.split_once(' ')) {
            files = files.link(link, target);
        }
    }
    let root = root.unwrap_or_else(|| panic!("{}: no file", case.title));
    messages(&load(Path::new(root), &files, Some(&platform())))
}

fn begins_file(line: &str) -> bool {
    line.starts_with("--- ") || line.starts_with("@@@ ")
}

#[test]
fn each_broken_file_set_gets_exactly_its_message() {
    let (head, cases) = cases();
    assert!(cases.len() >= 100, "{} cases", cases.len());
    if std::env::var_os("FENNELBEAM_BLESS").is_some() {
        return bless(&head, &cases);
    }
    let mut wrong = Vec::new();
    for case in &cases {
        let told = told(case);
        if told.len() != 1 || told != case.expected {
            wrong.push(format!("{}\n  expected {:#?}\n  told {told:#?}", case.title, case.expected));
        }
    }
    assert!(wrong.is_empty(), "{} of {}:\n{}", wrong.len(), cases.len(), wrong.join("\n"));
}

fn bless(head: &[&str], cases: &[Case]) {
    let mut out = head.join("\n") + "\n";
    for case in cases {
        let used = case.lines.iter().rposition(|line| !line.is_empty() && !is_heading(line)).unwrap_or(0) + 1;
        let messages: Vec<String> = told(case).iter().map(|message| format!(">>> {message}")).collect();
        out += &format!("=== {}\n{}\n{}\n\n", case.title, case.lines[..used].join("\n"), messages.join("\n"));
        for heading in case.lines[used..].iter().filter(|line| is_heading(line)) {
            out += &format!("{heading}\n\n");
        }
    }
    std::fs::write(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/broken.txt"), out).unwrap();
}

#[test]
fn each_message_names_its_file_line_and_column() {
    for case in cases().1 {
        let place = case.expected[0].split(": ").next().unwrap();
        let parts: Vec<&str> = place.rsplitn(3, ':').collect();
        assert!(parts.len() == 3 && parts[2].ends_with(".fb"), "{place}");
        assert!(parts[..2].iter().all(|number| number.parse::<u32>().unwrap() > 0), "{place}");
    }
}
