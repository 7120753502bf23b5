//! What is in force: all blocks after includes and names, with their defaults, and where each value comes from.

use std::fmt::Write as _;

use crate::kind::Key;
use crate::platform::Platform;
use crate::set::{quote, Block, FileSet};

/// Column of the comments, as far as it goes.
const COMMENTS: usize = 44;
/// Characters of a line that a list may fill.
const MOST_WIDTH: usize = 100;

/// Writes what is in force, as a file of the language that means the same: what is set stands there with its place
/// as a comment, what is not stands in a comment with its default.
pub fn show(set: &FileSet, platform: Option<&Platform>) -> String {
    let mut out = String::new();
    let files: Vec<String> = set.files.iter().map(|file| file.display().to_string()).collect();
    let _ = writeln!(out, "# in force, from {}", one_line(&files.join(", ")));
    for block in &set.blocks {
        let head = format!("{} {} {{", block.kind.words(), quote(&block.name.text));
        out.push('\n');
        with_comment(&mut out, &head, &block.name.place.to_string());
        for key in block.kind.keys() {
            key_line(&mut out, block, key, platform);
        }
        out.push_str("}\n");
    }
    out
}

fn key_line(out: &mut String, block: &Block, key: &Key, platform: Option<&Platform>) {
    let Some(setting) = block.setting(key.word) else {
        let default = block.kind.default_text(block, key, platform);
        let _ = writeln!(out, "  # {}: {} (not set)", key.word, one_line(&default));
        return;
    };
    let mut from = setting.place.to_string();
    if let Some(through) = &setting.through {
        let _ = write!(from, ", `{}` of {}", through.name, through.place);
    }
    if let Some(note) = block.kind.note(block, key, platform) {
        let _ = write!(from, "; {note}");
    }
    let line = format!("  {} = {}", key.word, setting.value.text());
    if line.chars().count() <= MOST_WIDTH {
        return with_comment(out, &line, &from);
    }
    with_comment(out, &format!("  {} = [", key.word), &from);
    for item in setting.value.items() {
        let _ = writeln!(out, "    {item},");
    }
    out.push_str("  ]\n");
}

fn with_comment(out: &mut String, line: &str, comment: &str) {
    let _ = writeln!(out, "{line:<COMMENTS$}  # {}", one_line(comment));
}

/// A file may be called anything; a comment is one line.
fn one_line(text: &str) -> String {
    text.chars().map(|c| if crate::diagnostic::is_printable(c) { c } else { '?' }).collect()
}
