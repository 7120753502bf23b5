//! Lines of a trace, both ways.

use super::{LinkLine, ProcessLine, RunTrace, HEAD, TOLD};
use crate::backend::MachineRole;
use cluster_model::file;
use cluster_model::scenario::Scenario;
use fault_proxy::{Direction, Directions, Fault, LastActivity, Place};
use std::str::FromStr;
use std::time::Duration;

/// What is wrong with a line.
type Wrong = String;

/// The words of a line that are still to be read.
struct Words<'a>(std::str::SplitAsciiWhitespace<'a>);

impl<'a> Words<'a> {
    fn word(&mut self, what: &str) -> Result<&'a str, Wrong> {
        self.0.next().ok_or_else(|| format!("expected {what}, found the end of the line"))
    }

    fn number<T: FromStr>(&mut self, what: &str) -> Result<T, Wrong> {
        let word = self.word(what)?;
        word.parse().map_err(|_| format!("expected {what}, found `{}`", short(word)))
    }

    fn one_of<T: Copy>(&mut self, what: &str, known: &[(&'static str, T)]) -> Result<T, Wrong> {
        let word = self.word(what)?;
        let found = known.iter().find(|(name, _)| *name == word);
        found.map(|(_, is)| *is).ok_or_else(|| format!("unknown {what} `{}`", short(word)))
    }

    fn end(mut self) -> Result<(), Wrong> {
        match self.0.next() {
            None => Ok(()),
            Some(word) => Err(format!("expected the end of the line, found `{}`", short(word))),
        }
    }
}

fn short(word: &str) -> String {
    word.chars().take(40).map(|c| if c.is_control() { '?' } else { c }).collect()
}

const WAYS: [(&str, Directions); 3] =
    [("calls", Directions::Calls), ("answers", Directions::Answers), ("both", Directions::Both)];
const DIRECTIONS: [(&str, Direction); 2] = [("calls", Direction::Calls), ("answers", Direction::Answers)];

fn name_of<T: PartialEq>(is: &T, known: &[(&'static str, T)]) -> &'static str {
    known.iter().find(|(_, one)| one == is).map_or("", |(name, _)| name)
}

/// A fault's line.
pub(super) fn link_text(line: &LinkLine) -> String {
    let ((from, to), port) = line.link;
    let lasts = line.lasts.map_or(String::new(), |lasts| format!(" for {}", lasts.as_nanos()));
    let after = match line.after {
        LastActivity::Nothing => "first".to_owned(),
        LastActivity::Connecting(n) => format!("connection {n}"),
        LastActivity::Passed(Place { connection, way, bytes }) => {
            format!("{} {connection} {bytes}", name_of(&way, &DIRECTIONS))
        }
    };
    let (at, fault) = (line.at, fault_text(&line.fault));
    format!("link {at} {} {} {port} {fault}{lasts} at {after}", post_text(from), post_text(to))
}

fn fault_text(fault: &Fault) -> String {
    let way = |way: &Directions| name_of(way, &WAYS);
    match fault {
        Fault::Delay { way: slow, base, jitter } => {
            format!("delay {} {} {}", way(slow), base.as_nanos(), jitter.as_nanos())
        }
        Fault::Rate { way: narrow, bytes_per_s } => format!("rate {} {bytes_per_s}", way(narrow)),
        Fault::Hold { way: held } => format!("hold {}", way(held)),
        Fault::Cut { way: cut } => format!("cut {}", way(cut)),
        Fault::Unanswered => "unanswered".into(),
        Fault::Refuse => "refuse".into(),
        Fault::Reset => "reset".into(),
        // Scenarios have no words for the others.
        other => format!("{other:?}"),
    }
}

fn post_text(post: MachineRole) -> String {
    match post {
        MachineRole::Gateway(number) => format!("gateway-{}", number + 1),
        MachineRole::Host(number) => format!("host-{}", number + 1),
        MachineRole::Counter => "counter".into(),
        MachineRole::Clients => "clients".into(),
    }
}

fn post(words: &mut Words<'_>) -> Result<MachineRole, Wrong> {
    let word = words.word("a machine")?;
    let numbered = |text: &str| text.parse::<u32>().ok().and_then(|number| number.checked_sub(1));
    let gateway = word.strip_prefix("gateway-").and_then(numbered).map(MachineRole::Gateway);
    let host = word.strip_prefix("host-").and_then(numbered).map(MachineRole::Host);
    match word {
        "counter" => Ok(MachineRole::Counter),
        "clients" => Ok(MachineRole::Clients),
        _ => gateway.or(host).ok_or_else(|| format!("unknown machine `{}`", short(word))),
    }
}

fn fault(words: &mut Words<'_>) -> Result<Fault, Wrong> {
    let span = |words: &mut Words<'_>| words.number("nanoseconds").map(Duration::from_nanos);
    let kind = words.word("a fault")?;
    Ok(match kind {
        "delay" => {
            let way = words.one_of("direction", &WAYS)?;
            Fault::Delay { way, base: span(words)?, jitter: span(words)? }
        }
        "rate" => Fault::Rate {
            way: words.one_of("direction", &WAYS)?,
            bytes_per_s: words.number("bytes a second")?,
        },
        "hold" => Fault::Hold { way: words.one_of("direction", &WAYS)? },
        "cut" => Fault::Cut { way: words.one_of("direction", &WAYS)? },
        "unanswered" => Fault::Unanswered,
        "refuse" => Fault::Refuse,
        "reset" => Fault::Reset,
        _ => return Err(format!("unknown fault `{}`", short(kind))),
    })
}

fn link(words: &mut Words<'_>) -> Result<LinkLine, Wrong> {
    let at = words.number("a time")?;
    let pair = (post(words)?, post(words)?);
    let port = words.number("a port")?;
    let fault = fault(words)?;
    let mut lasts = None;
    let mut next = words.word("`for` or `at`")?;
    if next == "for" {
        lasts = Some(Duration::from_nanos(words.number("nanoseconds")?));
        next = words.word("`at`")?;
    }
    if next != "at" {
        return Err(format!("expected `at`, found `{}`", short(next)));
    }
    let after = match words.word("a place")? {
        "first" => LastActivity::Nothing,
        "connection" => LastActivity::Connecting(words.number("a connection")?),
        word => {
            let way = DIRECTIONS.iter().find(|(name, _)| *name == word);
            let way = way.ok_or_else(|| format!("unknown place `{}`", short(word)))?.1;
            let (connection, bytes) = (words.number("a connection")?, words.number("bytes")?);
            LastActivity::Passed(Place { connection, way, bytes })
        }
    };
    if matches!(after, LastActivity::Connecting(0) | LastActivity::Passed(Place { connection: 0, .. })) {
        return Err("connections count from 1".into());
    }
    Ok(LinkLine { at, link: (pair, port), fault, lasts, after })
}

fn process(words: &mut Words<'_>, gateways: u32) -> Result<ProcessLine, Wrong> {
    let at = words.number("a time")?;
    let MachineRole::Gateway(gateway) = post(words)? else { return Err("expected a gateway".into()) };
    if gateway >= gateways {
        return Err(format!("there is no gateway {}: the scenario has {gateways}", gateway + 1));
    }
    let told = words.one_of("word to a process", &TOLD.map(|told| (told, told)))?;
    Ok(ProcessLine { at, gateway, told })
}

/// The lines of a text, numbered from 1, and where they stand.
struct Text<'a> {
    lines: std::iter::Zip<std::ops::RangeFrom<usize>, std::str::Lines<'a>>,
    last: usize,
}

impl<'a> Text<'a> {
    fn line(&mut self, what: &str) -> Result<(usize, &'a str), (usize, Wrong)> {
        let line =
            self.lines.next().ok_or_else(|| (self.last + 1, format!("expected {what}, found the end")))?;
        self.last = line.0;
        Ok(line)
    }

    /// A line `KEY ...` with what is read of it.
    fn keyed<T>(
        &mut self,
        key: &str,
        read: impl FnOnce(&mut Words<'a>) -> Result<T, Wrong>,
    ) -> Result<T, (usize, Wrong)> {
        let (number, line) = self.line(&format!("`{key}`"))?;
        let mut words = Words(line.split_ascii_whitespace());
        let read = words.word(key).and_then(|word| {
            let is = if word == key {
                read(&mut words)
            } else {
                Err(format!("expected `{key}`, found `{}`", short(word)))
            };
            is.and_then(|is| words.end().map(|()| is))
        });
        read.map_err(|reason| (number, reason))
    }

    /// The scenario, of which errors name lines of the trace.
    fn scenario(&mut self, name: &str, count: usize) -> Result<Scenario, (usize, Wrong)> {
        let before = self.last;
        let mut text = String::new();
        for _ in 0..count {
            text += self.line("a line of the scenario")?.1;
            text.push('\n');
        }
        file::parse(&format!("{name}.scenario"), &text)
            .map_err(|error| (before + error.line as usize, format!("scenario: {}", error.reason)))
    }
}

/// Reads a whole trace.
pub(super) fn parse(text: &str) -> Result<RunTrace, (usize, Wrong)> {
    let mut text = Text { lines: (1..).zip(text.lines()), last: 0 };
    let (_, head) = text.line(&format!("`{HEAD}`"))?;
    if head != HEAD {
        return Err((1, format!("expected `{HEAD}`, found `{}`", short(head))));
    }
    let seed = text.keyed("seed", |words| words.number("a seed"))?;
    let (name, count): (String, usize) = text.keyed("scenario", |words| {
        Ok((words.word("a name")?.to_owned(), words.number("a count of lines")?))
    })?;
    let scenario = text.scenario(&name, count)?;
    let mut trace = RunTrace { seed, scenario, events: Vec::new(), links: Vec::new(), processes: Vec::new() };
    loop {
        let (number, line) = text.line("`end`")?;
        let wrong = |reason| (number, reason);
        if trace.add(number, line).map_err(wrong)? {
            break;
        }
    }
    match text.lines.next() {
        None => Ok(trace),
        Some((number, _)) => Err((number, "nothing stands behind `end`".into())),
    }
}

impl RunTrace {
    /// Takes one line; whether it was the last.
    fn add(&mut self, number: usize, line: &str) -> Result<bool, Wrong> {
        let mut words = Words(line.split_ascii_whitespace());
        match words.word("a line")? {
            "event" => {
                let (at, place): (_, usize) = (words.number("a time")?, words.number("a place")?);
                let events = self.scenario.events.len();
                if !(1..=events).contains(&place) {
                    return Err(format!("there is no event {place}: the scenario has {events}"));
                }
                self.events.push((at, place - 1));
            }
            "link" => self.links.push(link(&mut words)?),
            "process" => self.processes.push(process(&mut words, self.scenario.site.gateways)?),
            "end" => {
                let count: usize = words.number("a count of lines")?;
                words.end()?;
                return match count == number - 1 {
                    true => Ok(true),
                    false => Err(format!("{} lines stand before this one, and {count} should", number - 1)),
                };
            }
            word => return Err(format!("unknown line `{}`", short(word))),
        }
        words.end().map(|()| false)
    }
}
