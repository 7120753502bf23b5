//! Parses sections, lines and keys.

use super::check::check;
use super::errors::{ParseError, ParseResult, Position, Reason};
use super::events::{self, NamePositions, EVENT_KEYWORDS};
use super::fields::*;
use super::lexer::TokenKind;
use super::line::Line;
use super::suggestion::nearest;
use super::triggers;
use super::{MAX_FILE_BYTES, MAX_LENGTH, MAX_LINE_BYTES, MAX_NAMES, MAX_TITLE_CHARS};
use crate::scenario::{Scenario, ScheduledEvent, Site, Trigger};
use crate::{Span, MS};
use std::collections::BTreeMap;

/// Words that begin a line outside of sections.
const TOP_LEVEL_KEYWORDS: [&str; 6] = ["scenario", "length", "site", "traffic", "at", "when"];
/// Placeholder for the end of the run until the length is known.
const UNTIL_END: Span = Span::MAX;

/// Positions in the text, which [`check`] uses for its errors.
#[derive(Debug, Default)]
pub(super) struct Positions {
    /// Keys by their path, such as `plan premium spread`.
    keys: BTreeMap<String, Position>,
    /// Positions of the events, in the order of the file.
    pub events: Vec<EventPositions>,
}

/// The positions of an event and its parts.
#[derive(Debug)]
pub(super) struct EventPositions {
    /// The time of the event, or the latest time of its trigger.
    pub at: Position,
    /// The machines that the trigger refers to.
    pub trigger: NamePositions,
    /// The beginning of the event.
    pub event: Position,
    /// The machines, buildings and classes that the event refers to.
    pub references: NamePositions,
}

impl Positions {
    /// Returns the position of a key, section, class or plan, if the file contains it.
    pub fn find(&self, path: &str) -> Option<Position> {
        self.keys.get(path).copied()
    }

    /// Records the position of a key or section, which must not be given twice.
    fn record(&mut self, path: String, word: &str, position: Position) -> ParseResult<()> {
        match self.keys.get(&path) {
            Some(first) => Err(ParseError::new(
                position,
                Reason::DuplicateKey { key: word.into(), first_line: first.line },
            )),
            None => {
                self.keys.insert(path, position);
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

/// The names that a line with `only` selects, with their positions.
type SelectedNames = Vec<(String, Position)>;

struct Parser {
    scenario: Scenario,
    section: Section,
    positions: Positions,
    only_classes: SelectedNames,
    only_plans: SelectedNames,
}

/// Parses a scenario, except for its name.
pub(super) fn parse(text: &str) -> ParseResult<Scenario> {
    let start = Position { line: 1, column: 1 };
    if text.len() > MAX_FILE_BYTES {
        return Err(ParseError::new(start, Reason::LargeFile(text.len())));
    }
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let mut parser = Parser {
        scenario: Scenario::default(),
        section: Section::None,
        positions: Positions::default(),
        only_classes: Vec::new(),
        only_plans: Vec::new(),
    };
    for (number, line) in (1..).zip(text.split('\n')) {
        parser.line(number, line.strip_suffix('\r').unwrap_or(line))?;
    }
    if parser.positions.find("scenario").is_none() {
        return Err(ParseError::new(start, Reason::MissingTitle));
    }
    parser.finish()
}

impl Parser {
    fn line(&mut self, number: u32, text: &str) -> ParseResult<()> {
        if text.len() > MAX_LINE_BYTES {
            return Err(ParseError::new(Position { line: number, column: 1 }, Reason::LongLine(text.len())));
        }
        let mut line = Line::new(number, text)?;
        let position = line.position();
        let word = match *line.peek() {
            TokenKind::End => return Ok(()),
            TokenKind::Word(word) => word,
            _ => return line.expected("a keyword"),
        };
        if word != "scenario" && self.positions.find("scenario").is_none() {
            return line.error(Reason::MissingTitle);
        }
        match (word, self.section) {
            ("scenario" | "length" | "site" | "traffic", _) => {
                self.positions.record(word.into(), word, position)?;
                line.word(word)?;
                self.top_level(word, &mut line)
            }
            ("at", _) => self.timed_event(&mut line),
            ("when", _) => self.triggered_event(&mut line),
            (_, Section::Site) if SITE_LINE_KEYWORDS.contains(&word) => self.site_line(&mut line),
            (_, Section::Site) => read_keys(
                &mut line,
                SITE,
                &mut self.scenario.site,
                "site",
                &mut self.positions,
                &known(SITE, &SITE_LINE_KEYWORDS),
            ),
            (_, Section::Traffic) => {
                let traffic = &mut self.scenario.traffic;
                read_keys(&mut line, TRAFFIC, traffic, "traffic", &mut self.positions, &known(TRAFFIC, &[]))
            }
            (_, Section::None) => unknown_key(&line, word, &TOP_LEVEL_KEYWORDS),
        }
    }

    /// Reads a line outside of sections, or the heading of a section, after its first word.
    fn top_level(&mut self, word: &str, line: &mut Line<'_>) -> ParseResult<()> {
        match word {
            "scenario" => self.scenario.title = title(line)?,
            "length" => self.scenario.length = line.span("length", (MS, MAX_LENGTH))?,
            "site" => self.section = Section::Site,
            _ => self.section = Section::Traffic,
        }
        line.require_end()
    }

    fn timed_event(&mut self, line: &mut Line<'_>) -> ParseResult<()> {
        line.require("at")?;
        let at_position = line.position();
        let at = line.span("at", (0, MAX_LENGTH))?;
        self.scheduled_event(line, (at, at_position), None)
    }

    /// Reads a line such as `when call 100 from gateway 1 to the counter, by 30 s: ...`.
    fn triggered_event(&mut self, line: &mut Line<'_>) -> ParseResult<()> {
        line.require("when")?;
        let mut at_position = line.position();
        let (trigger, references) = triggers::read(line)?;
        let mut at = UNTIL_END;
        if line.accept_symbol(',') {
            line.require("by")?;
            at_position = line.position();
            at = line.span("by", (0, MAX_LENGTH))?;
        }
        self.scheduled_event(line, (at, at_position), Some((trigger, references)))
    }

    /// Reads the event after the colon and adds it to the scenario.
    fn scheduled_event(
        &mut self,
        line: &mut Line<'_>,
        (at, at_position): (Span, Position),
        trigger: Option<(Trigger, NamePositions)>,
    ) -> ParseResult<()> {
        line.require_symbol(':')?;
        let event_position = line.position();
        let (event, references) = events::read(line)?;
        let (trigger, trigger_references) = trigger.unzip();
        self.scenario.events.push(ScheduledEvent { at, trigger, line: line.number, event });
        let trigger = trigger_references.unwrap_or_default();
        self.positions.events.push(EventPositions {
            at: at_position,
            trigger,
            event: event_position,
            references,
        });
        Ok(())
    }

    /// Reads a line of the section `site` that begins with one of [`SITE_LINE_KEYWORDS`].
    fn site_line(&mut self, line: &mut Line<'_>) -> ParseResult<()> {
        let group = line.one_of("line", &SITE_LINE_KEYWORDS)?;
        let Parser { scenario: Scenario { site, .. }, positions, .. } = self;
        match group {
            "host" => read_keys(line, HOST, &mut site.host, group, positions, &known(HOST, &[])),
            "counter" => read_keys(line, COUNTER, &mut site.counter, group, positions, &known(COUNTER, &[])),
            "discovery" => {
                read_keys(line, DISCOVERY, &mut site.discovery, group, positions, &known(DISCOVERY, &[]))
            }
            "network" => read_keys(line, NETWORK, &mut site.network, group, positions, &known(NETWORK, &[])),
            "rules" => read_keys(line, RULES, &mut site.rules, group, positions, &known(RULES, &[])),
            "class" => {
                let (path, name) = self.named_path("class", line)?;
                let classes = &mut self.scenario.site.classes;
                let class = find_or_insert(classes, |class| class.name == name, || new_class(&name));
                read_keys(line, CLASS, class, &path, &mut self.positions, &known(CLASS, &[]))
            }
            "plan" => {
                let (path, name) = self.named_path("plan", line)?;
                let plans = &mut self.scenario.site.plans;
                let plan = find_or_insert(plans, |plan| plan.name == name, || new_plan(&name));
                read_keys(line, PLAN, plan, &path, &mut self.positions, &known(PLAN, &[]))
            }
            _ => self.only(line),
        }
    }

    /// Reads the name after `class` or `plan`, and returns the path of its keys with the name.
    fn named_path(&mut self, kind: &str, line: &mut Line<'_>) -> ParseResult<(String, String)> {
        let position = line.position();
        let name = line.name(kind)?.to_owned();
        let path = format!("{kind} {name}");
        self.positions.keys.entry(path.clone()).or_insert(position);
        Ok((path, name))
    }

    /// Reads what follows `only`, such as `classes a, b`.
    fn only(&mut self, line: &mut Line<'_>) -> ParseResult<()> {
        let position = line.position();
        let kind = line.one_of("list", &["classes", "plans"])?;
        self.positions.record(format!("only {kind}"), &format!("only {kind}"), position)?;
        let (selected, singular) = match kind {
            "classes" => (&mut self.only_classes, "class"),
            _ => (&mut self.only_plans, "plan"),
        };
        loop {
            let position = line.position();
            let name = line.name(singular)?.to_owned();
            if selected.iter().any(|(selected, _)| *selected == name) {
                return Err(ParseError::new(
                    position,
                    Reason::DuplicateReference(format!("{singular} `{name}`")),
                ));
            }
            selected.push((name, position));
            if !line.accept_separator()? {
                return Ok(());
            }
        }
    }

    fn finish(mut self) -> ParseResult<Scenario> {
        let site = &mut self.scenario.site;
        apply_only("class", &mut site.classes, |class| &class.name, &self.only_classes, &self.positions)?;
        apply_only("plan", &mut site.plans, |plan| &plan.name, &self.only_plans, &self.positions)?;
        limit_spreads(site, &self.positions);
        let length = self.scenario.length;
        self.scenario
            .events
            .iter_mut()
            .filter(|event| event.at == UNTIL_END)
            .for_each(|event| event.at = length);
        check(&self.scenario, &self.positions)?;
        Ok(self.scenario)
    }
}

fn title(line: &mut Line<'_>) -> ParseResult<String> {
    let position = line.position();
    let title = line.quoted("a title in quotes")?;
    let length = title.chars().count();
    if (1..=MAX_TITLE_CHARS).contains(&length) {
        return Ok(title);
    }
    Err(ParseError::new(position, Reason::TitleLength(length)))
}

/// Returns the keywords of a table, and additional ones.
fn known<T>(table: &[Field<T>], additional: &[&'static str]) -> Vec<&'static str> {
    table.iter().flat_map(|field| field.keywords).chain(additional).copied().collect()
}

/// Reads keys and values, separated by commas, up to the end of the line.
fn read_keys<T>(
    line: &mut Line<'_>,
    table: &[Field<T>],
    target: &mut T,
    path: &str,
    positions: &mut Positions,
    known: &[&'static str],
) -> ParseResult<()> {
    loop {
        let TokenKind::Word(word) = *line.peek() else { return line.expected("a key") };
        let Some(field) = table.iter().find(|field| field.keywords.contains(&word)) else {
            return unknown_key(line, word, known);
        };
        positions.record(format!("{path} {}", field.key), word, line.position())?;
        line.word("a key")?;
        (field.value)(target).read(line, field.key, word)?;
        if !line.accept_separator()? {
            return Ok(());
        }
    }
}

/// Returns an error for a word that is no key here: a misspelt key, or a key that belongs elsewhere.
fn unknown_key(line: &Line<'_>, word: &str, known: &[&str]) -> ParseResult<()> {
    match expected_location(word) {
        Some(location) => line.error(Reason::Misplaced { word: word.into(), location }),
        None => {
            let candidates: Vec<&str> =
                known.iter().chain(&TOP_LEVEL_KEYWORDS).chain(&EVENT_KEYWORDS).copied().collect();
            line.unknown("key", word, &candidates)
        }
    }
}

fn find_or_insert<T>(list: &mut Vec<T>, matches: impl Fn(&T) -> bool, new: impl Fn() -> T) -> &mut T {
    let index = list.iter().position(matches).unwrap_or_else(|| {
        list.push(new());
        list.len() - 1
    });
    &mut list[index]
}

/// Reduces the list to the classes or plans that a line with `only` names, in its order.
fn apply_only<T: Clone>(
    kind: &'static str,
    list: &mut Vec<T>,
    name: fn(&T) -> &str,
    selected: &SelectedNames,
    positions: &Positions,
) -> ParseResult<()> {
    // Position where a class or plan is first defined, if it is in the file.
    let definition = |item: &T| positions.find(&format!("{kind} {}", name(item)));
    if let Some((_, only)) = selected.first() {
        let remaining =
            selected.iter().map(|(wanted, position)| find_selected(kind, list, name, wanted, *position));
        let remaining: Vec<T> = remaining.collect::<ParseResult<_>>()?;
        let excluded =
            list.iter().filter(|item| !selected.iter().any(|(selected, _)| selected == name(item)));
        if let Some((position, item)) =
            excluded.filter_map(|item| Some((definition(item)?, item))).min_by_key(|found| found.0)
        {
            let name = name(item).to_owned();
            return Err(ParseError::new(position, Reason::Excluded { kind, name, line: only.line }));
        }
        *list = remaining;
    }
    if list.len() > MAX_NAMES {
        let plural = if kind == "class" { "classes" } else { "plans" };
        let last = list.iter().filter_map(definition).max();
        let position = last.unwrap_or(Position { line: 1, column: 1 });
        return Err(ParseError::new(position, Reason::TooManyNames(list.len(), plural)));
    }
    Ok(())
}

fn find_selected<T: Clone>(
    kind: &'static str,
    list: &[T],
    name: fn(&T) -> &str,
    wanted: &str,
    position: Position,
) -> ParseResult<T> {
    if let Some(found) = list.iter().find(|item| name(item) == wanted) {
        return Ok(found.clone());
    }
    let suggestion = nearest(wanted, list.iter().map(name));
    Err(ParseError::new(position, Reason::Unknown { kind, word: wanted.into(), suggestion }))
}

/// Limits the default spread of plans to the number of gateways, so that the default plans also fit a smaller
/// site. A spread that the file gives is left for [`check`].
fn limit_spreads(site: &mut Site, positions: &Positions) {
    for plan in &mut site.plans {
        if positions.find(&format!("plan {} spread", plan.name)).is_none() {
            plan.spread = plan.spread.min(site.gateways);
        }
    }
}
