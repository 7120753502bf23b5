//! What differs between two file sets, in terms of what they mean: never of lines, files or order without effect.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::diagnostic::{Diagnostic, Place, Report};
use crate::kind::{Key, Kind};
use crate::platform::Platform;
use crate::set::{quote, Block, FileSet, Setting, Value};
use crate::units::Dimension;

/// A figure that goes up or down by this factor wants to be meant.
pub const BIG: f64 = 10.0;
/// Items of a list that one change names.
const MOST_NAMED: usize = 10;

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// A setting of it changed.
    Changed,
    /// It comes before another one that it came behind, and that counts.
    Reordered,
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// What happened.
    pub what: What,
    /// The kind of block: `quota policy`.
    pub kind: &'static str,
    /// Its name.
    pub name: String,
    /// The key that changed, if one did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<&'static str>,
    /// Its value before as the language writes it; nothing if it was not set.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub old: Option<String>,
    /// Its value now.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub new: Option<String>,
    /// For a figure that was set and is set: the new one as a multiple of the old one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// All of it in a line, for people.
    pub text: String,
}

impl Change {
    /// A change of order.
    pub(crate) fn of_order(kind: &'static str, name: &str, text: String) -> Change {
        Change { text, ..Change::of(What::Reordered, kind, name) }
    }

    fn of(what: What, kind: &'static str, name: &str) -> Change {
        let text = String::new();
        Change { what, kind, name: name.into(), key: None, old: None, new: None, factor: None, text }
    }
}

/// What differs between two file sets: first what is gone, then changes in the order of the new one.
pub fn diff(old: &FileSet, new: &FileSet) -> Vec<Change> {
    let (before, now) = (old.by_name(), new.by_name());
    let name = |block: &Block| (block.kind.words(), block.name.text.clone());
    let mut changes = Vec::new();
    for block in &old.blocks {
        if !now.contains_key(&(block.kind.words(), block.name.text.as_str())) {
            let (kind, name) = name(block);
            let text = format!("{kind} `{name}`: removed ({})", summary(block));
            changes.push(Change { text, ..Change::of(What::Removed, kind, &name) });
        }
    }
    for block in &new.blocks {
        match before.get(&(block.kind.words(), block.name.text.as_str())) {
            Some(was) => changes.extend(changed(was, block)),
            None => {
                let (kind, name) = name(block);
                let text = format!("{kind} `{name}`: added ({})", summary(block));
                changes.push(Change { text, ..Change::of(What::Added, kind, &name) });
            }
        }
    }
    for kind in kinds(old, new) {
        changes.extend(kind.further_changes(old, new));
    }
    changes
}

/// The kinds of which there are blocks, each once.
fn kinds(old: &FileSet, new: &FileSet) -> Vec<&'static dyn Kind> {
    let mut seen = BTreeSet::new();
    let all = old.blocks.iter().chain(&new.blocks).map(|block| block.kind);
    all.filter(|kind| seen.insert(kind.words())).collect()
}

/// What a block says, in a line.
fn summary(block: &Block) -> String {
    if block.settings.is_empty() {
        return "any".into();
    }
    let say = |setting: &Setting| format!("{} {}", setting.key, cut(&setting.value));
    block.settings.iter().map(say).collect::<Vec<_>>().join("; ")
}

/// A value as people read it, without what is beyond measure.
fn cut(value: &Value) -> String {
    let count = match value {
        Value::Texts(names) => names.len(),
        Value::Ranges(ranges) => ranges.len(),
        _ => 1,
    };
    if count <= MOST_NAMED {
        return value.read_out();
    }
    format!("a list of {count}")
}

fn changed(old: &Block, new: &Block) -> Vec<Change> {
    new.kind.keys().iter().filter_map(|key| changed_key(old, new, key)).collect()
}

fn changed_key(old: &Block, new: &Block, key: &'static Key) -> Option<Change> {
    let value = |block: &Block| block.setting(key.word).map(|setting| setting.value.clone());
    let (was, is) = (value(old), value(new));
    let same = match (&was, &is) {
        (Some(was), Some(is)) => was.means(is),
        (None, None) => true,
        _ => false,
    };
    if same {
        return None;
    }
    let said = |value: &Option<Value>| value.as_ref().map_or_else(|| key.default.to_owned(), cut);
    let factor = match (&was, &is) {
        (Some(Value::Figure(was, _)), Some(Value::Figure(is, _))) => Some(is / was),
        _ => None,
    };
    let words = new.kind.words_for_change(key, &said(&was), &said(&is));
    let words = words.or_else(|| match (&was, &is) {
        (Some(was), Some(is)) => differing_texts(was, is),
        _ => None,
    });
    let words = words.unwrap_or_else(|| format!("{} -> {}{}", said(&was), said(&is), times(factor)));
    Some(Change {
        key: Some(key.word),
        old: was.map(|value| value.text()),
        new: is.map(|value| value.text()),
        factor,
        text: format!("{} `{}`: {} {words}", new.kind.words(), new.name.text, key.word),
        ..Change::of(What::Changed, new.kind.words(), &new.name.text)
    })
}

/// What came and what went, where lists are long.
fn differing_texts(was: &Value, is: &Value) -> Option<String> {
    let (old, new) = (was.sorted(), is.sorted());
    if old.len().max(new.len()) < 4 {
        return None;
    }
    let without = |all: &[&str], other: &[&str]| -> Vec<String> {
        all.iter().filter(|text| other.binary_search(text).is_err()).map(|text| quote(text)).collect()
    };
    let (came, went) = (without(&new, &old), without(&old, &new));
    if came.len() + went.len() > MOST_NAMED {
        return Some(format!("{} came and {} went, now {}", came.len(), went.len(), new.len()));
    }
    let part =
        |word: &str, texts: Vec<String>| (!texts.is_empty()).then(|| format!("{word} {}", texts.join(", ")));
    let parts: Vec<String> = [part("with", came), part("without", went)].into_iter().flatten().collect();
    Some(parts.join(", "))
}

/// ", 1000 times", where that says something.
fn times(factor: Option<f64>) -> String {
    match factor {
        Some(factor) if factor >= 2.0 => format!(", {} times", rounded(factor)),
        Some(factor) if factor <= 0.5 => format!(", 1/{} of it", rounded(1.0 / factor)),
        _ => String::new(),
    }
}

/// To one digit behind the point, and to none from 100 on.
fn rounded(factor: f64) -> String {
    let digits = if factor >= 100.0 { 0 } else { 1 };
    let text = format!("{factor:.digits$}");
    text.strip_suffix(".0").unwrap_or(&text).to_owned()
}

/// Figures that go up or down by a factor of [`BIG`] or more against the version that runs: warnings, in the order
/// of the new one's files. Whoever loads it says that this is meant.
///
/// With a platform, what it grants counts where a quota policy sets nothing.
pub fn big_changes(old: &FileSet, new: &FileSet, platform: Option<&Platform>) -> Vec<Diagnostic> {
    let mut report = Report::default();
    let mut own = BTreeSet::new();
    for kind in kinds(old, new) {
        if kind.big_changes(old, new, platform, &mut report) {
            own.insert(kind.words());
        }
    }
    let before = old.by_name();
    for block in new.blocks.iter().filter(|block| !own.contains(block.kind.words())) {
        let Some(was) = before.get(&(block.kind.words(), block.name.text.as_str())) else { continue };
        for setting in &block.settings {
            let (Value::Figure(is, dimension), Some(was)) = (&setting.value, was.figure(setting.key)) else {
                continue;
            };
            let what = format!("{} `{}`: {}", block.kind.words(), block.name.text, setting.key);
            report.big(big_change(&what, &setting.place, *dimension, was, *is));
        }
    }
    report.finish(&new.sources)
}

/// The warning of a figure that changed by a lot.
pub(crate) fn big_change(
    what: &str,
    place: &Place,
    dimension: Dimension,
    was: f64,
    is: f64,
) -> Option<Diagnostic> {
    // What reads as ten times counts as ten times, whatever became of the last bit.
    let least = BIG * (1.0 - 1e-9);
    if was <= 0.0 || is <= 0.0 || (is / was < least && was / is < least) {
        return None;
    }
    let text = |value| dimension.text(value, " ");
    let reason = format!("{what} {} -> {}{}", text(was), text(is), times(Some(is / was)));
    Some(Diagnostic::warning("big-change", place, reason).help("`--accept` says that it is meant"))
}

impl Report {
    /// Adds a warning, if there is one.
    pub(crate) fn big(&mut self, warning: Option<Diagnostic>) {
        if let Some(warning) = warning {
            self.add(warning);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn factors_are_told_where_they_say_something() {
        assert_eq!(times(Some(1000.0)), ", 1000 times");
        assert_eq!(times(Some(2.5)), ", 2.5 times");
        assert_eq!(times(Some(1.1)), "");
        assert_eq!(times(Some(0.001)), ", 1/1000 of it");
        assert_eq!(times(None), "");
    }
}
