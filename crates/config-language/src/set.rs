//! A file set as it is in force: blocks with their settings, names put in and figures read.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use crate::diagnostic::{Place, Sources, Spot};
use crate::kind::Kind;
use crate::model::{At, Operators};
use crate::units::Dimension;

/// A name that `let` gave, through which a value came.
#[derive(Clone, Debug, PartialEq)]
pub struct Through {
    /// The name.
    pub name: String,
    /// Where the value stands that was put in for it.
    pub place: Place,
}

/// One text of a setting.
#[derive(Clone, Debug, PartialEq)]
pub struct Name {
    /// The text.
    pub text: String,
    /// Where it stands, or the name that stands for it.
    pub place: Place,
}

/// What a setting is set to.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// One text.
    Text(Name),
    /// Texts; as a set, so that their order means nothing.
    Texts(Vec<Name>),
    /// Whole numbers; as a set, apart and in order.
    Ranges(Vec<RangeInclusive<u64>>),
    /// A figure, in the smallest unit of its dimension (units a second, units, attempts, nanoseconds, bytes,
    /// parts of one).
    Figure(f64, Dimension),
}

impl Value {
    /// Whether both mean the same, wherever they stand.
    pub fn means(&self, other: &Value) -> bool {
        match (self, other) {
            (Value::Text(a), Value::Text(b)) => a.text == b.text,
            (Value::Texts(_), Value::Texts(_)) => self.sorted() == other.sorted(),
            (Value::Ranges(a), Value::Ranges(b)) => a == b,
            (Value::Figure(a, x), Value::Figure(b, y)) => a == b && x == y,
            _ => false,
        }
    }

    /// The texts in order, each once.
    pub fn sorted(&self) -> Vec<&str> {
        let mut texts: Vec<&str> = match self {
            Value::Text(name) => vec![&name.text],
            Value::Texts(names) => names.iter().map(|name| name.text.as_str()).collect(),
            _ => Vec::new(),
        };
        texts.sort_unstable();
        texts.dedup();
        texts
    }

    /// As the language writes it.
    pub fn text(&self) -> String {
        self.with_separator("_")
    }

    /// As people read it: thousands are apart.
    pub(crate) fn read_out(&self) -> String {
        self.with_separator(" ")
    }

    /// The items of a list, as the language writes them.
    pub fn items(&self) -> Vec<String> {
        match self {
            Value::Texts(names) => names.iter().map(|name| quote(&name.text)).collect(),
            Value::Ranges(ranges) => ranges.iter().map(range_text).collect(),
            one => vec![one.text()],
        }
    }

    fn with_separator(&self, separator: &str) -> String {
        match self {
            Value::Text(name) => quote(&name.text),
            Value::Texts(_) | Value::Ranges(_) => format!("[{}]", self.items().join(", ")),
            Value::Figure(value, dimension) => dimension.text(*value, separator),
        }
    }
}

/// A text in quotes.
pub(crate) fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn range_text(range: &RangeInclusive<u64>) -> String {
    match (range.start(), range.end()) {
        (start, end) if start == end => start.to_string(),
        (start, end) => format!("{start}..{end}"),
    }
}

/// Ranges apart and in order.
pub(crate) fn normal(mut ranges: Vec<RangeInclusive<u64>>) -> Vec<RangeInclusive<u64>> {
    ranges.sort_unstable_by_key(|range| (*range.start(), *range.end()));
    let mut out: Vec<RangeInclusive<u64>> = Vec::with_capacity(ranges.len());
    for range in ranges {
        match out.last_mut() {
            Some(last) if *range.start() <= last.end().saturating_add(1) => {
                *last = *last.start()..=*last.end().max(range.end());
            }
            _ => out.push(range),
        }
    }
    out
}

/// One setting of a block.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// Its key.
    pub key: &'static str,
    /// What it is set to.
    pub value: Value,
    /// Where the value stands in the block.
    pub place: Place,
    /// The name that stands there, if the value came through one.
    pub through: Option<Through>,
}

/// One block.
#[derive(Clone, Debug)]
pub struct Block {
    /// Its kind.
    pub kind: &'static dyn Kind,
    /// Its name and where it stands.
    pub name: Name,
    /// Its settings, in the order of the kind's keys.
    pub settings: Vec<Setting>,
    /// Something in it is wrong: what it means is not known.
    pub broken: bool,
}

impl Block {
    /// A setting.
    pub fn setting(&self, key: &str) -> Option<&Setting> {
        self.settings.iter().find(|setting| setting.key == key)
    }

    /// A setting that is one text.
    pub fn text(&self, key: &str) -> Option<&Name> {
        match &self.setting(key)?.value {
            Value::Text(name) => Some(name),
            _ => None,
        }
    }

    /// A setting that is texts; none if it is not given.
    pub fn texts(&self, key: &str) -> &[Name] {
        match self.setting(key).map(|setting| &setting.value) {
            Some(Value::Texts(names)) => names,
            _ => &[],
        }
    }

    /// A setting that is whole numbers.
    pub fn ranges(&self, key: &str) -> Option<&[RangeInclusive<u64>]> {
        match &self.setting(key)?.value {
            Value::Ranges(ranges) => Some(ranges),
            _ => None,
        }
    }

    /// A setting that is a figure, in the smallest unit of its dimension.
    pub fn figure(&self, key: &str) -> Option<f64> {
        match self.setting(key)?.value {
            Value::Figure(value, _) => Some(value),
            _ => None,
        }
    }

    /// Where a setting stands, else the block's name.
    pub fn place(&self, key: &str) -> &Place {
        self.setting(key).map_or(&self.name.place, |setting| &setting.place)
    }

    /// The same with the place of the model.
    pub(crate) fn at<T>(&self, key: &str, value: Option<T>) -> Option<At<T>> {
        value.map(|value| At { value, origin: self.place(key).origin() })
    }

    pub(crate) fn at_name(&self) -> At<String> {
        At { value: self.name.text.clone(), origin: self.name.place.origin() }
    }

    pub(crate) fn at_text(&self, key: &str) -> Option<At<String>> {
        self.at(key, self.text(key).map(|name| name.text.clone()))
    }

    pub(crate) fn at_texts(&self, key: &str) -> Option<At<Vec<String>>> {
        let texts = self.texts(key).iter().map(|name| name.text.clone()).collect();
        self.setting(key).and_then(|_| self.at(key, Some(texts)))
    }

    pub(crate) fn at_ranges(&self, key: &str) -> Option<At<Vec<RangeInclusive<u64>>>> {
        self.at(key, self.ranges(key).map(<[_]>::to_vec))
    }

    pub(crate) fn at_count(&self, key: &str) -> Option<At<u32>> {
        // Whole, and within the bounds of its key.
        self.at(key, self.figure(key).map(|figure| figure as u32))
    }
}

/// A file set without errors.
#[derive(Clone, Debug, Default)]
pub struct FileSet {
    /// What it means for the gateway.
    pub operators: Operators,
    /// All its blocks, in the order in which they stand after includes.
    pub blocks: Vec<Block>,
    /// Its files, in the order in which they were read.
    pub files: Vec<PathBuf>,
    pub(crate) sources: Sources,
}

impl FileSet {
    /// The blocks of a kind, in order.
    pub fn of_kind<'a>(&'a self, words: &'a str) -> impl Iterator<Item = &'a Block> + 'a {
        self.blocks.iter().filter(move |block| block.kind.words() == words)
    }

    /// The first place of all.
    pub(crate) fn beginning(&self) -> Place {
        let file = self.files.first().map(|file| file.to_string_lossy().into_owned()).unwrap_or_default();
        Place { file: file.into(), spot: Spot { line: 1, column: 1, length: 0 } }
    }

    /// The blocks by kind and name.
    pub(crate) fn by_name(&self) -> BTreeMap<(&'static str, &str), &Block> {
        self.blocks.iter().map(|block| ((block.kind.words(), block.name.text.as_str()), block)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_that_touch_are_one() {
        assert_eq!(normal(vec![5..=9, 1..=2, 3..=3, 7..=20, 22..=22]), [1..=3, 5..=20, 22..=22]);
        assert_eq!(normal(vec![0..=u64::MAX, 4..=5]), [0..=u64::MAX]);
    }
}
