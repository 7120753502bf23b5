//! From blocks as they are written to blocks as they are meant: keys, shapes, units and bounds.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;

use crate::diagnostic::{quoted, short, Diagnostic, Place, Report};
use crate::kind::{Key, Kind, Registry, Shape};
use crate::names::{no_unit, Leaf, Names};
use crate::set::{normal, Block, Name, Setting, Value};
use crate::syntax::tree;
use crate::units::{grouped, meaning, value, Dimension, Meaning};

/// The largest number of a customer that the wire knows.
pub const MOST_CUSTOMER: u64 = (1 << 33) - 1;
/// Letters of a name.
pub const MOST_NAME: usize = 64;

/// Reads blocks.
pub(crate) struct Reader<'a, 'n, 'r> {
    pub names: &'n mut Names<'a>,
    pub registry: &'r Registry,
    pub report: &'r mut Report,
}

impl<'a> Reader<'a, '_, '_> {
    /// Reads a block of a known kind.
    pub fn block(&mut self, file: &'a Arc<str>, block: &'a tree::Block) -> Option<Block> {
        let words = block.kind();
        let Some(kind) = self.registry.find(&words) else {
            self.unknown_kind(file, block, &words);
            return None;
        };
        let errors = self.report.errors();
        let place = Place { file: file.clone(), spot: block.name.spot };
        self.check_name(&block.name.value, &place);
        let mut settings = self.settings(kind, file, block);
        let order = |setting: &Setting| kind.keys().iter().position(|key| key.word == setting.key);
        settings.sort_by_key(order);
        // A setting may be missing because a name is, which was said where it is given.
        let unread = settings.len() < block.settings.len();
        let broken = block.broken || unread || self.report.errors() > errors;
        Some(Block { kind, name: Name { text: block.name.value.clone(), place }, settings, broken })
    }

    fn unknown_kind(&mut self, file: &Arc<str>, block: &tree::Block, words: &str) {
        let place = Place { file: file.clone(), spot: block.kind_spot() };
        let kinds = self.registry.kinds().iter().map(|kind| kind.words());
        let part = kinds.clone().find(|kind| kind.split(' ').any(|word| word == words));
        let near = part.map(str::to_owned).or_else(|| self.report.nearest(words, kinds.clone()));
        let diagnostic =
            Diagnostic::error("unknown-block", &place, format!("unknown block `{}`", short(words)));
        let help = || format!("blocks are {}", quoted(kinds.clone(), "and"));
        self.report.add(match near {
            Some(_) => diagnostic.near(near),
            None => diagnostic.help(help()),
        });
    }

    fn check_name(&mut self, name: &str, place: &Place) {
        let fits = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
        let length = name.chars().count();
        if length == 0 || length > MOST_NAME || !name.chars().all(fits) {
            let reason = format!("{} is no name", short(&crate::set::quote(name)));
            let help = format!("a name has 1 to {MOST_NAME} letters, digits, `-`, `_` and `.`");
            self.report.add(Diagnostic::error("name", place, reason).help(help));
        }
    }

    fn settings(
        &mut self,
        kind: &'static dyn Kind,
        file: &'a Arc<str>,
        block: &'a tree::Block,
    ) -> Vec<Setting> {
        let mut first: BTreeMap<&str, Place> = BTreeMap::new();
        let mut settings = Vec::new();
        for setting in &block.settings {
            let place = Place { file: file.clone(), spot: setting.key.spot };
            let Some(key) = kind.keys().iter().find(|key| key.word == setting.key.text) else {
                self.unknown_key(kind, &setting.key.text, &place);
                continue;
            };
            if let Some(first) = first.get(key.word) {
                let reason = format!("`{}` is set twice, first at {first}", key.word);
                self.report.add(Diagnostic::error("twice", &place, reason).also(first, "first here"));
                continue;
            }
            first.insert(key.word, place);
            settings.extend(self.setting(key, file, &setting.value));
        }
        let missing = kind.keys().iter().filter(|key| key.needed && !first.contains_key(key.word));
        let missing: Vec<&str> = missing.map(|key| key.word).collect();
        // A line that could not be read may have been the one.
        if !missing.is_empty() && !block.broken {
            let place = Place { file: file.clone(), spot: block.name.spot };
            let reason =
                format!("{} {} lacks {}", kind.words(), short(&block.name.raw), quoted(missing, "and"));
            self.report.add(Diagnostic::error("missing", &place, reason));
        }
        settings
    }

    fn unknown_key(&mut self, kind: &'static dyn Kind, word: &str, place: &Place) {
        let keys = kind.keys().iter().map(|key| key.word);
        let near = self.report.nearest(word, keys.clone());
        let reason = format!("{} has no key `{}`", article(kind.words()), short(word));
        let diagnostic = Diagnostic::error("unknown-key", place, reason);
        self.report.add(match near {
            Some(_) => diagnostic.near(near),
            None => diagnostic.help(format!("its keys are {}", quoted(keys, "and"))),
        });
    }

    fn setting(
        &mut self,
        key: &'static Key,
        file: &'a Arc<str>,
        written: &'a tree::Value,
    ) -> Option<Setting> {
        let place = Place { file: file.clone(), spot: written.spot() };
        let errors = self.report.errors();
        let (whole, _) = self.names.follow(written, file, hint(key, written), self.report).ok()?;
        let is_list = matches!(whole.value, tree::Value::List(..));
        if is_list && matches!(key.shape, Shape::Text | Shape::Figure(..)) {
            let reason = format!("`{}` takes {}, not a list", key.word, takes(key.shape));
            self.say("wrong-kind", &whole, reason, None);
            return None;
        }
        let hint = |word: &tree::Word| hint(key, &tree::Value::Name(word.clone()));
        let (leaves, complete) = self.names.leaves(written, file, hint, self.report);
        if leaves.is_empty() && complete {
            let reason = format!("`{}` is an empty list, which nothing is in", key.word);
            let help = format!("leave `{}` out if it may be anything", key.word);
            self.say("empty-list", &whole, reason, Some(help));
        }
        let value = self.value(key, &leaves)?;
        let fine = complete && self.report.errors() == errors;
        fine.then_some(Setting { key: key.word, value, place, through: whole.through })
    }

    fn say(&mut self, code: &'static str, leaf: &Leaf<'_>, reason: String, help: Option<String>) {
        let from = leaf.through.as_ref().map(|t| format!(" (from `{}` at {})", short(&t.name), t.place));
        let diagnostic = Diagnostic::error(code, &leaf.place, reason + &from.unwrap_or_default());
        self.report.add(diagnostic.help_if(help));
    }

    fn value(&mut self, key: &'static Key, leaves: &[Leaf<'_>]) -> Option<Value> {
        match key.shape {
            Shape::Text => leaves.first().and_then(|leaf| self.text(key, leaf)).map(Value::Text),
            Shape::Texts => {
                let names: Vec<Name> = leaves.iter().filter_map(|leaf| self.text(key, leaf)).collect();
                self.warn_of_repeats(key, &names);
                Some(Value::Texts(names))
            }
            Shape::Numbers(most) => Some(self.ranges(key, leaves, most)),
            Shape::Customers => Some(self.ranges(key, leaves, MOST_CUSTOMER)),
            Shape::Figure(dimension, least, most) => {
                let leaf = leaves.first()?;
                let figure = self.figure(key, leaf, dimension)?;
                self.check_bounds(key, leaf, dimension, figure, (least, most))?;
                Some(Value::Figure(figure, dimension))
            }
        }
    }

    fn wrong_kind(&mut self, key: &Key, leaf: &Leaf<'_>) {
        let found = match leaf.value {
            tree::Value::Text(text) => short(&text.raw),
            tree::Value::Range(from, to) => format!("the range `{}..{}`", short(&from.text), short(&to.text)),
            tree::Value::Figure(figure) => match &figure.unit {
                Some(unit) => format!("`{} {}`", short(&figure.number.text), short(&unit.text)),
                None => format!("`{}`", short(&figure.number.text)),
            },
            _ => "this".to_owned(),
        };
        let reason = format!("`{}` takes {}, not {found}", key.word, takes(key.shape));
        self.say("wrong-kind", leaf, reason, None);
    }

    fn text(&mut self, key: &Key, leaf: &Leaf<'_>) -> Option<Name> {
        let tree::Value::Text(text) = leaf.value else {
            self.wrong_kind(key, leaf);
            return None;
        };
        if text.value.is_empty() {
            self.say("empty-text", leaf, format!("`{}` names nothing: the text is empty", key.word), None);
            return None;
        }
        Some(Name { text: text.value.clone(), place: leaf.place.clone() })
    }

    fn warn_of_repeats(&mut self, key: &Key, names: &[Name]) {
        let mut seen: BTreeMap<&str, &Place> = BTreeMap::new();
        for name in names {
            if let Some(first) = seen.insert(&name.text, &name.place) {
                let reason = format!("`{}` names {} twice", key.word, short(&crate::set::quote(&name.text)));
                self.report.add(Diagnostic::warning("repeat", &name.place, reason).also(first, "first here"));
            }
        }
    }

    fn ranges(&mut self, key: &Key, leaves: &[Leaf<'_>], most: u64) -> Value {
        let mut ranges: Vec<RangeInclusive<u64>> = Vec::with_capacity(leaves.len());
        for leaf in leaves {
            ranges.extend(self.range(key, leaf, most));
        }
        let mut sorted: Vec<&RangeInclusive<u64>> = ranges.iter().collect();
        sorted.sort_unstable_by_key(|range| (*range.start(), *range.end()));
        let twice = sorted.windows(2).find(|pair| pair[1].start() <= pair[0].end());
        if let (Some(pair), Some(leaf)) = (twice, leaves.first()) {
            let reason = format!("`{}` names {} twice", key.word, pair[1].start());
            self.report.add(Diagnostic::warning("repeat", &leaf.place, reason));
        }
        Value::Ranges(normal(ranges))
    }

    fn range(&mut self, key: &Key, leaf: &Leaf<'_>, most: u64) -> Option<RangeInclusive<u64>> {
        match leaf.value {
            tree::Value::Figure(tree::Figure { number, unit: None, .. }) => {
                let number = self.whole(key, leaf, number, most)?;
                Some(number..=number)
            }
            tree::Value::Range(from, to) => {
                let start = self.whole(key, leaf, from, most)?;
                let end = self.whole(key, leaf, to, most)?;
                if start > end {
                    let reason = format!("`{}` runs from {} down to {}", key.word, from.text, to.text);
                    self.say("backwards", leaf, reason, None);
                    return None;
                }
                Some(start..=end)
            }
            tree::Value::Figure(tree::Figure { unit: Some(unit), .. }) => {
                let reason = format!(
                    "`{}` takes {}, and `{}` is a unit",
                    key.word,
                    takes(key.shape),
                    short(&unit.text)
                );
                self.say("wrong-kind", leaf, reason, None);
                None
            }
            _ => {
                self.wrong_kind(key, leaf);
                None
            }
        }
    }

    fn whole(&mut self, key: &Key, leaf: &Leaf<'_>, number: &tree::Number, most: u64) -> Option<u64> {
        let digits = number.digits();
        if number.hex && key.shape != Shape::Customers {
            self.wrong_kind(key, leaf);
            return None;
        }
        if digits.contains('.') {
            let reason = format!("`{}` is {}, and has to be a whole number", key.word, short(&number.text));
            self.say("whole", leaf, reason, None);
            return None;
        }
        let read = if number.hex { u64::from_str_radix(&digits, 16) } else { digits.parse() };
        // Digits only, so that it fails for want of room alone.
        let found = read.ok().filter(|found| *found <= most);
        if found.is_none() {
            let most = grouped(most as f64, " ");
            let reason = format!("`{}` is {}, and {most} is the most", key.word, short(&number.text));
            self.say("bounds", leaf, reason, None);
        }
        found
    }

    fn figure(&mut self, key: &Key, leaf: &Leaf<'_>, dimension: Dimension) -> Option<f64> {
        let tree::Value::Figure(figure) = leaf.value else {
            self.wrong_kind(key, leaf);
            return None;
        };
        let number = &figure.number;
        if number.hex {
            self.wrong_kind(key, leaf);
            return None;
        }
        let units = dimension.units();
        let Some(word) = &figure.unit else {
            let reason = format!("`{}` needs a unit: {units}", key.word);
            let help = format!("for example `{} {}`", short(&number.text), dimension.example());
            self.say("unit-missing", leaf, reason, Some(help));
            return None;
        };
        if let Some(fault) = no_unit(&number.text, word, Some(units)) {
            // Where it came through a name it was said there.
            let place = Place { spot: fault.spot, ..leaf.place.clone() };
            let diagnostic = Diagnostic::error(fault.code, &place, fault.reason);
            self.report.add(diagnostic.help_if(fault.help));
            return None;
        }
        let unit = match meaning(&word.text) {
            Meaning::Unit(unit) if unit.dimension == dimension => unit,
            _ => {
                let reason = format!("`{}` is given in {units}, not in `{}`", key.word, short(&word.text));
                self.say("unit-wrong", leaf, reason, None);
                return None;
            }
        };
        let read = value(&number.digits(), unit);
        if read.is_none() {
            let smallest = dimension.smallest();
            let reason =
                format!("`{}` is {} {}, finer than {smallest}", key.word, short(&number.text), unit.word);
            self.say("too-fine", leaf, reason, None);
        }
        read
    }

    fn check_bounds(
        &mut self,
        key: &Key,
        leaf: &Leaf<'_>,
        dimension: Dimension,
        figure: f64,
        (least, most): (f64, f64),
    ) -> Option<()> {
        if (least..=most).contains(&figure) {
            return Some(());
        }
        let found = match leaf.value {
            tree::Value::Figure(tree::Figure { number, unit: Some(unit), .. }) => {
                format!("{} {}", short(&number.text), unit.text)
            }
            _ => dimension.text(figure, " "),
        };
        let (least, most) = (dimension.text(least, " "), dimension.text(most, " "));
        let reason = format!("`{}` is {found}, and has to be from {least} to {most}", key.word);
        self.say("bounds", leaf, reason, None);
        None
    }
}

/// What a key takes, in words.
pub(crate) fn takes(shape: Shape) -> String {
    match shape {
        Shape::Text => "a text in quotes".into(),
        Shape::Texts => "texts in quotes".into(),
        Shape::Numbers(_) => "whole numbers and ranges such as `0..3`".into(),
        Shape::Customers => "numbers of customers, ranges such as `1..99` and 16 hex digits".into(),
        Shape::Figure(dimension, ..) => format!("a figure in {}", dimension.units()),
    }
}

/// What was meant by a name that is not known, where it stands alone.
fn hint(key: &Key, value: &tree::Value) -> Option<String> {
    let tree::Value::Name(word) = value else { return None };
    matches!(key.shape, Shape::Text | Shape::Texts)
        .then(|| format!("a text stands in quotes: `\"{}\"`", short(&word.text)))
}

/// "a pool", "an album".
fn article(word: &str) -> String {
    let vowel = word.starts_with(['a', 'e', 'i', 'o', 'u']);
    format!("{} {word}", if vowel { "an" } else { "a" })
}
