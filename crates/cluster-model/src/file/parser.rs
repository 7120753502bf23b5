//! Sections, lines and keys.

use super::check::check;
use super::errors::{Fault, Parsed, Place, Reason};
use super::events::{self, Marks, EVENT_KEYWORDS};
use super::fields::*;
use super::lexer::Kind;
use super::line::Line;
use super::near::nearest;
use super::signs;
use super::{MAX_FILE_BYTES, MAX_LENGTH, MAX_LINE_BYTES, MAX_NAMES, MAX_TITLE_CHARS};
use crate::scenario::{Scenario, ScheduledEvent, Site, Trigger};
use crate::{Span, MS};
use std::collections::BTreeMap;

/// Words that begin a line outside the sections.
const TOP: [&str; 6] = ["scenario", "length", "site", "traffic", "at", "when"];
/// Stands for the end while the length may still come.
const END: Span = Span::MAX;

/// Where things stand in the text: what [`check`] finds wrong is shown there.
#[derive(Debug, Default)]
pub(super) struct Places {
    /// Keys by their path, such as `plan premium spread`.
    keys: BTreeMap<String, Place>,
    /// Events, in their order.
    pub events: Vec<EventPlaces>,
}

/// Where an event stands.
#[derive(Debug)]
pub(super) struct EventPlaces {
    /// Its time, or that by which its sign has to come.
    pub at: Place,
    /// What its sign names.
    pub sign: Marks,
    /// Its first word.
    pub event: Place,
    /// What it names.
    pub marks: Marks,
}

impl Places {
    /// Where this was given, if it was.
    pub fn given(&self, path: &str) -> Option<Place> {
        self.keys.get(path).copied()
    }

    /// Notes where something is given; it may be only once.
    fn note(&mut self, path: String, word: &str, place: Place) -> Parsed<()> {
        match self.keys.get(&path) {
            Some(first) => Err(Fault::new(place, Reason::Twice { what: word.into(), first: first.line })),
            None => {
                self.keys.insert(path, place);
                Ok(())
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Section {
    None,
    Site,
    Traffic,
}

/// The names that a line with `only` keeps, and where each stands.
type Kept = Vec<(String, Place)>;

struct Parser {
    scenario: Scenario,
    section: Section,
    places: Places,
    only_classes: Kept,
    only_plans: Kept,
}

/// Reads a scenario, all but its name.
pub(super) fn parse(text: &str) -> Parsed<Scenario> {
    let start = Place { line: 1, column: 1 };
    if text.len() > MAX_FILE_BYTES {
        return Err(Fault::new(start, Reason::LargeFile(text.len())));
    }
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let mut parser = Parser {
        scenario: Scenario::default(),
        section: Section::None,
        places: Places::default(),
        only_classes: Vec::new(),
        only_plans: Vec::new(),
    };
    for (number, line) in (1..).zip(text.split('\n')) {
        parser.line(number, line.strip_suffix('\r').unwrap_or(line))?;
    }
    if parser.places.given("scenario").is_none() {
        return Err(Fault::new(start, Reason::NoTitle));
    }
    parser.finish()
}

impl Parser {
    fn line(&mut self, number: u32, text: &str) -> Parsed<()> {
        if text.len() > MAX_LINE_BYTES {
            return Err(Fault::new(Place { line: number, column: 1 }, Reason::LongLine(text.len())));
        }
        let mut line = Line::new(number, text)?;
        let place = line.place();
        let word = match *line.peek() {
            Kind::End => return Ok(()),
            Kind::Word(word) => word,
            _ => return line.expected("a word that begins a line"),
        };
        if word != "scenario" && self.places.given("scenario").is_none() {
            return line.fault(Reason::NoTitle);
        }
        match (word, self.section) {
            ("scenario" | "length" | "site" | "traffic", _) => {
                self.places.note(word.into(), word, place)?;
                line.word(word)?;
                self.top(word, &mut line)
            }
            ("at", _) => self.event(&mut line),
            ("when", _) => self.signed(&mut line),
            (_, Section::Site) if GROUPS.contains(&word) => self.group(&mut line),
            (_, Section::Site) => keys(
                &mut line,
                SITE,
                &mut self.scenario.site,
                "site",
                &mut self.places,
                &known(SITE, &GROUPS),
            ),
            (_, Section::Traffic) => {
                let traffic = &mut self.scenario.traffic;
                keys(&mut line, TRAFFIC, traffic, "traffic", &mut self.places, &known(TRAFFIC, &[]))
            }
            (_, Section::None) => unknown_key(&line, word, &TOP),
        }
    }

    /// A line outside the sections, or the head of one; its first word is read.
    fn top(&mut self, word: &str, line: &mut Line<'_>) -> Parsed<()> {
        match word {
            "scenario" => self.scenario.title = title(line)?,
            "length" => self.scenario.length = line.span("length", (MS, MAX_LENGTH))?,
            "site" => self.section = Section::Site,
            _ => self.section = Section::Traffic,
        }
        line.require_end()
    }

    fn event(&mut self, line: &mut Line<'_>) -> Parsed<()> {
        line.require("at")?;
        let at_place = line.place();
        let at = line.span("at", (0, MAX_LENGTH))?;
        self.behind(line, (at, at_place), None)
    }

    /// `when call 100 from gateway 1 to the counter, by 30 s: ...`.
    fn signed(&mut self, line: &mut Line<'_>) -> Parsed<()> {
        line.require("when")?;
        let mut at_place = line.place();
        let (sign, marks) = signs::read(line)?;
        let mut at = END;
        if line.accept_mark(',') {
            line.require("by")?;
            at_place = line.place();
            at = line.span("by", (0, MAX_LENGTH))?;
        }
        self.behind(line, (at, at_place), Some((sign, marks)))
    }

    /// The event behind the colon.
    fn behind(
        &mut self,
        line: &mut Line<'_>,
        (at, at_place): (Span, Place),
        sign: Option<(Trigger, Marks)>,
    ) -> Parsed<()> {
        line.require_mark(':')?;
        let event_place = line.place();
        let (event, marks) = events::read(line)?;
        let (sign, sign_marks) = sign.unzip();
        self.scenario.events.push(ScheduledEvent { at, trigger: sign, line: line.number, event });
        let sign = sign_marks.unwrap_or_default();
        self.places.events.push(EventPlaces { at: at_place, sign, event: event_place, marks });
        Ok(())
    }

    /// A line of the section `site` that begins with a word of its own.
    fn group(&mut self, line: &mut Line<'_>) -> Parsed<()> {
        let group = line.one_of("line", &GROUPS)?;
        let Parser { scenario: Scenario { site, .. }, places, .. } = self;
        match group {
            "host" => keys(line, HOST, &mut site.host, group, places, &known(HOST, &[])),
            "counter" => keys(line, COUNTER, &mut site.counter, group, places, &known(COUNTER, &[])),
            "discovery" => keys(line, DISCOVERY, &mut site.discovery, group, places, &known(DISCOVERY, &[])),
            "network" => keys(line, NETWORK, &mut site.network, group, places, &known(NETWORK, &[])),
            "rules" => keys(line, RULES, &mut site.rules, group, places, &known(RULES, &[])),
            "class" => {
                let (path, name) = self.named("class", line)?;
                let classes = &mut self.scenario.site.classes;
                let class = find_or_add(classes, |class| class.name == name, || new_class(&name));
                keys(line, CLASS, class, &path, &mut self.places, &known(CLASS, &[]))
            }
            "plan" => {
                let (path, name) = self.named("plan", line)?;
                let plans = &mut self.scenario.site.plans;
                let plan = find_or_add(plans, |plan| plan.name == name, || new_plan(&name));
                keys(line, PLAN, plan, &path, &mut self.places, &known(PLAN, &[]))
            }
            _ => self.only(line),
        }
    }

    /// The name behind `class` or `plan`, and the path of its keys.
    fn named(&mut self, what: &str, line: &mut Line<'_>) -> Parsed<(String, String)> {
        let place = line.place();
        let name = line.name(what)?.to_owned();
        let path = format!("{what} {name}");
        self.places.keys.entry(path.clone()).or_insert(place);
        Ok((path, name))
    }

    /// `only classes a, b`.
    fn only(&mut self, line: &mut Line<'_>) -> Parsed<()> {
        let place = line.place();
        let what = line.one_of("list", &["classes", "plans"])?;
        self.places.note(format!("only {what}"), &format!("only {what}"), place)?;
        let (kept, one) = match what {
            "classes" => (&mut self.only_classes, "class"),
            _ => (&mut self.only_plans, "plan"),
        };
        loop {
            let place = line.place();
            let name = line.name(one)?.to_owned();
            if kept.iter().any(|(kept, _)| *kept == name) {
                return Err(Fault::new(place, Reason::NamedTwice(format!("{one} `{name}`"))));
            }
            kept.push((name, place));
            if !line.another()? {
                return Ok(());
            }
        }
    }

    fn finish(mut self) -> Parsed<Scenario> {
        let site = &mut self.scenario.site;
        keep("class", &mut site.classes, |class| &class.name, &self.only_classes, &self.places)?;
        keep("plan", &mut site.plans, |plan| &plan.name, &self.only_plans, &self.places)?;
        lower_spreads(site, &self.places);
        let length = self.scenario.length;
        self.scenario.events.iter_mut().filter(|timed| timed.at == END).for_each(|timed| timed.at = length);
        check(&self.scenario, &self.places)?;
        Ok(self.scenario)
    }
}

fn title(line: &mut Line<'_>) -> Parsed<String> {
    let place = line.place();
    let title = line.text("a title in quotes")?;
    let letters = title.chars().count();
    if (1..=MAX_TITLE_CHARS).contains(&letters) {
        return Ok(title);
    }
    Err(Fault::new(place, Reason::Title(letters)))
}

/// The words that may begin something in a table, and others beside it.
fn known<T>(table: &[Field<T>], others: &[&'static str]) -> Vec<&'static str> {
    table.iter().flat_map(|field| field.words).chain(others).copied().collect()
}

/// Reads keys and values, with commas between them, up to the end of the line.
fn keys<T>(
    line: &mut Line<'_>,
    table: &[Field<T>],
    target: &mut T,
    path: &str,
    places: &mut Places,
    known: &[&'static str],
) -> Parsed<()> {
    loop {
        let Kind::Word(word) = *line.peek() else { return line.expected("a key") };
        let Some(field) = table.iter().find(|field| field.words.contains(&word)) else {
            return unknown_key(line, word, known);
        };
        places.note(format!("{path} {}", field.key), word, line.place())?;
        line.word("a key")?;
        (field.slot)(target).read(line, field.key, word)?;
        if !line.another()? {
            return Ok(());
        }
    }
}

/// A word that is no key here: perhaps a slip of the hand, perhaps a key of another place.
fn unknown_key(line: &Line<'_>, word: &str, known: &[&str]) -> Parsed<()> {
    match home(word) {
        Some(home) => line.fault(Reason::Elsewhere { word: word.into(), home }),
        None => {
            let all: Vec<&str> = known.iter().chain(&TOP).chain(&EVENT_KEYWORDS).copied().collect();
            line.unknown("key", word, &all)
        }
    }
}

fn find_or_add<T>(list: &mut Vec<T>, is_it: impl Fn(&T) -> bool, new: impl Fn() -> T) -> &mut T {
    let index = list.iter().position(is_it).unwrap_or_else(|| {
        list.push(new());
        list.len() - 1
    });
    &mut list[index]
}

/// Leaves the classes or plans that a line with `only` names, in its order.
fn keep<T: Clone>(
    what: &'static str,
    list: &mut Vec<T>,
    name: fn(&T) -> &str,
    kept: &Kept,
    places: &Places,
) -> Parsed<()> {
    // Where a class or plan is first mentioned, if it is.
    let described = |item: &T| places.given(&format!("{what} {}", name(item)));
    if let Some((_, only)) = kept.first() {
        let left = kept.iter().map(|(wanted, place)| find_kept(what, list, name, wanted, *place));
        let left: Vec<T> = left.collect::<Parsed<_>>()?;
        let out = list.iter().filter(|item| !kept.iter().any(|(kept, _)| kept == name(item)));
        if let Some((place, item)) =
            out.filter_map(|item| Some((described(item)?, item))).min_by_key(|it| it.0)
        {
            let name = name(item).to_owned();
            return Err(Fault::new(place, Reason::LeftOut { what, name, line: only.line }));
        }
        *list = left;
    }
    if list.len() > MAX_NAMES {
        let plural = if what == "class" { "classes" } else { "plans" };
        let last = list.iter().filter_map(described).max();
        let place = last.unwrap_or(Place { line: 1, column: 1 });
        return Err(Fault::new(place, Reason::ManyNames(list.len(), plural)));
    }
    Ok(())
}

fn find_kept<T: Clone>(
    what: &'static str,
    list: &[T],
    name: fn(&T) -> &str,
    wanted: &str,
    place: Place,
) -> Parsed<T> {
    if let Some(found) = list.iter().find(|item| name(item) == wanted) {
        return Ok(found.clone());
    }
    let near = nearest(wanted, list.iter().map(name));
    Err(Fault::new(place, Reason::Unknown { what, word: wanted.into(), near }))
}

/// A smaller site than the usual one takes the plans as they are: their customers come through all of its
/// gateways, unless the file says otherwise.
fn lower_spreads(site: &mut Site, places: &Places) {
    for plan in &mut site.plans {
        if places.given(&format!("plan {} spread", plan.name)).is_none() {
            plan.spread = plan.spread.min(site.gateways);
        }
    }
}
