//! Names that `let` gives: what they stand for, and whether they can.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::diagnostic::{short, Diagnostic, Place, Report};
use crate::files::Let;
use crate::set::Through;
use crate::syntax::tree::{Value, Word};
use crate::syntax::Fault;
use crate::units::{meaning, Meaning};

/// Names that stand for one another in a chain.
pub const MOST_NAMES_DEEP: usize = 16;
/// Items of one list, with those of the names in it.
pub const MOST_ITEMS: usize = 10_000;
/// Items of all lists together, those of names counted where they are used.
pub const MOST_ITEMS_IN_ALL: usize = 1_000_000;

/// What all names stand for.
#[derive(Debug)]
pub(crate) struct Names<'a> {
    known: BTreeMap<&'a str, Known<'a>>,
    /// Items that were put in so far.
    items: usize,
    /// It was said that these are too many.
    full: bool,
    unread: bool,
}

#[derive(Debug)]
struct Known<'a> {
    file: &'a Arc<str>,
    word: &'a Word,
    value: Option<&'a Value>,
    /// It was said that it stands for nothing.
    broken: bool,
}

/// A value that is still to be looked at: with the place of use and the name, if it came through one.
type Open<'a> = (&'a Value, &'a Arc<str>, Option<(Place, Through)>);

/// A text, figure or range, with where it is used and where it is written.
#[derive(Clone, Debug)]
pub(crate) struct Leaf<'a> {
    pub value: &'a Value,
    pub place: Place,
    pub through: Option<Through>,
}

/// Why a value is not known. If it was said already, nothing is.
pub(crate) struct Missing;

impl<'a> Names<'a> {
    /// Takes up all names, and says which cannot be.
    pub fn new(lets: &'a [Let], unread: bool, report: &mut Report) -> Names<'a> {
        let mut names = Names { known: BTreeMap::new(), items: 0, full: false, unread };
        for one in lets {
            names.take(one, report);
        }
        names.check_references(report);
        names.check_circles(report);
        names
    }

    fn take(&mut self, one: &'a Let, report: &mut Report) {
        let place = Place { file: one.file.clone(), spot: one.name.spot };
        if let Some(first) = self.known.get(one.name.text.as_str()) {
            let first = Place { file: first.file.clone(), spot: first.word.spot };
            let reason = format!("`{}` is given twice, first at {first}", short(&one.name.text));
            report.add(Diagnostic::error("twice", &place, reason).also(&first, "first here"));
            return;
        }
        let broken = one.value.as_ref().is_none_or(|value| !has_units(value, &one.file, report));
        let known = Known { file: &one.file, word: &one.name, value: one.value.as_ref(), broken };
        self.known.insert(&one.name.text, known);
    }

    /// Names within values of names have to be known.
    fn check_references(&mut self, report: &mut Report) {
        let mut broken = BTreeSet::new();
        for (name, known) in &self.known {
            for word in references(known.value) {
                let Some(place) = self.unknown(word, known.file) else { continue };
                broken.insert(*name);
                self.say_unknown(word, &place, None, report);
            }
        }
        for name in broken {
            self.break_name(name);
        }
    }

    fn break_name(&mut self, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.broken = true;
        }
    }

    fn unknown(&self, word: &Word, file: &Arc<str>) -> Option<Place> {
        let known = self.known.contains_key(word.text.as_str());
        (!known).then(|| Place { file: file.clone(), spot: word.spot })
    }

    fn say_unknown(&self, word: &Word, place: &Place, hint: Option<String>, report: &mut Report) {
        if self.unread {
            return;
        }
        let near = report.nearest(&word.text, self.known.keys().copied());
        let diagnostic = Diagnostic::error("unknown", place, format!("unknown name `{}`", short(&word.text)));
        report.add(match (near, hint) {
            (None, Some(hint)) => diagnostic.help(hint),
            (near, _) => diagnostic.near(near),
        });
    }

    /// Finds circles and chains that are too long.
    fn check_circles(&mut self, report: &mut Report) {
        let mut walk = Walk { names: self, path: Vec::new(), on: BTreeSet::new(), heights: BTreeMap::new() };
        let mut broken: Vec<String> = Vec::new();
        for start in self.known.keys().copied() {
            walk.enter(start);
            while !walk.path.is_empty() {
                broken.extend(walk.step(report));
            }
        }
        for name in broken {
            self.break_name(&name);
        }
    }

    fn say_deep(&self, name: &str, report: &mut Report) {
        let known = &self.known[name];
        let place = Place { file: known.file.clone(), spot: known.word.spot };
        let reason = format!("names stand for one another {MOST_NAMES_DEEP} deep at the most");
        report.add(Diagnostic::error("name-depth", &place, reason));
    }

    fn say_circle(&self, circle: &[&str], word: &Word, report: &mut Report) {
        let last = circle.last().map_or("", |last| last);
        let place = Place { file: self.known[last].file.clone(), spot: word.spot };
        let shown: Vec<String> =
            circle.iter().chain(circle.first()).take(20).map(|name| short(name)).collect();
        let reason = format!("names stand for one another in a circle: {}", shown.join(" -> "));
        report.add(Diagnostic::error("name-loop", &place, reason));
    }

    /// The value that a value is, once names are followed; a list stays one.
    pub fn follow(
        &self,
        value: &'a Value,
        file: &'a Arc<str>,
        hint: Option<String>,
        report: &mut Report,
    ) -> Result<(Leaf<'a>, &'a Arc<str>), Missing> {
        let place = Place { file: file.clone(), spot: value.spot() };
        let mut leaf = Leaf { value, place, through: None };
        let mut file = file;
        for _ in 0..=MOST_NAMES_DEEP {
            let Value::Name(word) = leaf.value else { return Ok((leaf, file)) };
            let Some(known) = self.known.get(word.text.as_str()) else {
                self.say_unknown(word, &leaf.place, hint, report);
                return Err(Missing);
            };
            let (Some(value), false) = (known.value, known.broken) else { return Err(Missing) };
            file = known.file;
            let name = leaf.through.map_or_else(|| word.text.clone(), |through| through.name);
            let place = Place { file: file.clone(), spot: value.spot() };
            leaf = Leaf { value, through: Some(Through { name, place }), ..leaf };
        }
        Err(Missing)
    }

    /// All texts, figures and ranges of a value, and whether that is all of them.
    pub fn leaves(
        &mut self,
        value: &'a Value,
        file: &'a Arc<str>,
        hint: impl Fn(&Word) -> Option<String>,
        report: &mut Report,
    ) -> (Vec<Leaf<'a>>, bool) {
        let use_place = Place { file: file.clone(), spot: value.spot() };
        let mut leaves = Vec::new();
        let mut whole = true;
        let mut steps = 0;
        // The next one last.
        let mut open: Vec<Open<'a>> = vec![(value, file, None)];
        while let Some((value, file, used)) = open.pop() {
            steps += 1;
            if steps > MOST_ITEMS + 1 || !self.count(&use_place, report) {
                if steps > MOST_ITEMS + 1 {
                    let reason =
                        format!("a list has {MOST_ITEMS} items at the most, with those of its names");
                    report.add(Diagnostic::error("long-list", &use_place, reason));
                }
                return (Vec::new(), false);
            }
            let word = match value {
                Value::Name(word) => Some(word),
                _ => None,
            };
            let Ok((mut leaf, at)) = self.follow(value, file, word.and_then(&hint), report) else {
                whole = false;
                continue;
            };
            if let Some((place, through)) = used {
                leaf.place = place;
                leaf.through = leaf.through.or(Some(through));
            }
            match leaf.value {
                Value::List(list, _) => {
                    let used = leaf.through.map(|through| (leaf.place, through));
                    open.extend(list.items.iter().rev().map(|item| (&item.value, at, used.clone())));
                }
                _ => leaves.push(leaf),
            }
        }
        (leaves, whole)
    }

    /// Counts an item; false if there are too many in all.
    fn count(&mut self, place: &Place, report: &mut Report) -> bool {
        self.items += 1;
        report.count(1);
        let room = self.items <= MOST_ITEMS_IN_ALL;
        if !room && !std::mem::replace(&mut self.full, true) {
            let reason = format!("the lists of a file set have {MOST_ITEMS_IN_ALL} items at the most");
            report.add(Diagnostic::error("many-items", place, reason));
        }
        room
    }
}

/// Goes through names depth first, without recursion: a chain may be as long as the files are.
struct Walk<'b, 'a> {
    names: &'b Names<'a>,
    /// The names from the first to this one, each with the references that are still to be followed.
    path: Vec<(&'b str, Vec<&'b Word>)>,
    on: BTreeSet<&'b str>,
    /// How deep names are that are done.
    heights: BTreeMap<&'b str, usize>,
}

impl<'b> Walk<'b, '_> {
    fn enter(&mut self, name: &'b str) {
        if let Some(known) = self.names.known.get(name).filter(|_| !self.heights.contains_key(name)) {
            self.path.push((name, references(known.value).collect()));
            self.on.insert(name);
        }
    }

    /// Follows one reference, or leaves a name that has no more; gives the names that turn out to be broken.
    fn step(&mut self, report: &mut Report) -> Vec<String> {
        let Some((name, open)) = self.path.last_mut() else { return Vec::new() };
        let name = *name;
        let Some(word) = open.pop() else { return self.leave(name, report) };
        if !self.on.contains(word.text.as_str()) {
            self.enter(&word.text);
            return Vec::new();
        }
        let at = self.path.iter().position(|(open, _)| *open == word.text).unwrap_or(0);
        let circle: Vec<&str> = self.path[at..].iter().map(|(name, _)| *name).collect();
        self.names.say_circle(&circle, word, report);
        circle.into_iter().map(str::to_owned).collect()
    }

    fn leave(&mut self, name: &'b str, report: &mut Report) -> Vec<String> {
        self.path.pop();
        self.on.remove(name);
        let value = self.names.known.get(name).and_then(|known| known.value);
        let below = references(value).filter_map(|word| self.heights.get(word.text.as_str()));
        let height = below.max().copied().unwrap_or(0) + 1;
        self.heights.insert(name, height);
        if height == MOST_NAMES_DEEP + 1 {
            self.names.say_deep(name, report);
        }
        if height > MOST_NAMES_DEEP {
            vec![name.to_owned()]
        } else {
            Vec::new()
        }
    }
}

/// The names in a value.
fn references(value: Option<&Value>) -> impl Iterator<Item = &Word> {
    let (one, list) = match value {
        Some(Value::Name(word)) => (Some(word), None),
        Some(Value::List(list, _)) => (None, Some(list)),
        _ => (None, None),
    };
    let in_list = list.into_iter().flat_map(|list| &list.items).filter_map(|item| match &item.value {
        Value::Name(word) => Some(word),
        _ => None,
    });
    one.into_iter().chain(in_list)
}

/// Whether the units in the value of a name are units; says which are not.
fn has_units(value: &Value, file: &Arc<str>, report: &mut Report) -> bool {
    let items: Vec<&Value> = match value {
        Value::List(list, _) => list.items.iter().map(|item| &item.value).collect(),
        one => vec![one],
    };
    let mut fine = true;
    for item in items {
        let Value::Figure(figure) = item else { continue };
        let Some(unit) = &figure.unit else { continue };
        if let Some(fault) = no_unit(&figure.number.text, unit, None) {
            report.add(fault.in_file(file));
            fine = false;
        }
    }
    fine
}

/// What is wrong with a unit, if it is none. `units` are those that could stand here.
pub(crate) fn no_unit(number: &str, unit: &Word, units: Option<&'static str>) -> Option<Fault> {
    let number = short(number);
    let word = short(&unit.text);
    match meaning(&unit.text) {
        Meaning::Unit(_) => None,
        Meaning::Ambiguous(readings, instead) => {
            let reason = format!("`{number} {word}` may be {readings}");
            Some(Fault::new("ambiguous", unit.spot, reason).help(format!("write {instead}")))
        }
        Meaning::OfWhat => {
            let reason = format!("`{number}{word}` does not say of what");
            let help = format!("write `{number} units{word}` if units are meant");
            Some(Fault::new("of-what", unit.spot, reason).help(help))
        }
        Meaning::Unknown(known) => {
            let fault = Fault::new("unknown-unit", unit.spot, format!("unknown unit `{word}`"));
            Some(match (known, units) {
                (Some(known), _) => fault.help(format!("did you mean `{known}`?")),
                (None, Some(units)) => fault.help(format!("it is given in {units}")),
                (None, None) => fault,
            })
        }
    }
}
