//! What the checker has to say: where, why, and how to mend it, in one line or with the line shown.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

use crate::model::Origin;
use crate::near::nearest;

/// Diagnostics that a report holds. Beyond that, one line says how many there are.
pub const MOST_DIAGNOSTICS: usize = 100;
/// Characters of a line that are shown; of longer lines, those around the place.
const MOST_SHOWN: usize = 100;
/// Known words that unknown ones are compared with, in all: what nobody will read is not worth quadratic time.
const MOST_COMPARED: usize = 200_000;

/// How bad it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The file set cannot be used.
    Error,
    /// It can, and this may not be what was meant.
    Warning,
}

impl Severity {
    /// Its word in messages.
    pub fn word(self) -> &'static str {
        match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        }
    }
}

/// A stretch of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Spot {
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// Characters.
    pub length: u32,
}

/// A stretch of a line of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The file, as it was named.
    pub file: Arc<str>,
    /// Where in it.
    pub spot: Spot,
}

impl Place {
    /// Where it begins.
    pub fn origin(&self) -> Origin {
        Origin { file: self.file.clone(), line: self.spot.line, column: self.spot.column }
    }
}

impl std::fmt::Display for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.spot.line, self.spot.column)
    }
}

impl std::fmt::Display for Origin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// A second place that a message speaks of.
#[derive(Clone, Debug, PartialEq)]
struct Also {
    place: Place,
    label: &'static str,
    line: Option<String>,
}

/// One mistake or doubt.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    /// How bad it is.
    pub severity: Severity,
    /// A word for this kind of message, for the reference and for scripts. It does not change between versions.
    pub code: &'static str,
    /// Where.
    pub place: Place,
    /// What is wrong.
    pub reason: String,
    /// How to mend it.
    pub help: Option<String>,
    line: Option<String>,
    also: Vec<Also>,
}

impl Diagnostic {
    /// An error.
    pub fn error(code: &'static str, place: &Place, reason: impl Into<String>) -> Diagnostic {
        Diagnostic {
            severity: Severity::Error,
            code,
            place: place.clone(),
            reason: reason.into(),
            help: None,
            line: None,
            also: Vec::new(),
        }
    }

    /// A warning.
    pub fn warning(code: &'static str, place: &Place, reason: impl Into<String>) -> Diagnostic {
        Diagnostic { severity: Severity::Warning, ..Diagnostic::error(code, place, reason) }
    }

    /// The same, with how to mend it.
    pub fn help(self, help: impl Into<String>) -> Diagnostic {
        Diagnostic { help: Some(help.into()), ..self }
    }

    /// The same, with how to mend it if that is known.
    pub(crate) fn help_if(self, help: Option<String>) -> Diagnostic {
        Diagnostic { help, ..self }
    }

    /// The same, with the nearest known word, if there is one.
    pub fn near(self, near: Option<String>) -> Diagnostic {
        match near {
            Some(near) => self.help(format!("did you mean `{near}`?")),
            None => self,
        }
    }

    /// The same, with a second place to show, which the reason names too.
    pub fn also(mut self, place: &Place, label: &'static str) -> Diagnostic {
        self.also.push(Also { place: place.clone(), label, line: None });
        self
    }

    /// `file:line:column: error: reason (help: ...)`.
    pub fn one_line(&self) -> String {
        let help = self.help.as_ref().map(|help| format!(" (help: {help})")).unwrap_or_default();
        format!("{}: {}: {}{help}", self.place, self.severity.word(), self.reason)
    }

    /// Several lines, with the line of the file shown and the place marked. They end with a newline.
    pub fn rendered(&self) -> String {
        let shown = self.also.iter().map(|also| also.place.spot.line).max().unwrap_or(0);
        let width = self.place.spot.line.max(shown).to_string().len();
        let mut out = format!("{}: {}\n", self.severity.word(), self.reason);
        let _ = writeln!(out, "{:width$}--> {}", "", self.place);
        excerpt(&mut out, width, self.place.spot, self.line.as_deref(), '^', "");
        for also in &self.also {
            let _ = writeln!(out, "{:width$}::: {}", "", also.place);
            excerpt(&mut out, width, also.place.spot, also.line.as_deref(), '-', also.label);
        }
        if let Some(help) = &self.help {
            let _ = writeln!(out, "{:width$} = help: {help}", "");
        }
        out
    }

    /// Takes the lines that are shown out of the sources.
    pub(crate) fn with_lines(mut self, sources: &Sources) -> Diagnostic {
        self.line = sources.line(&self.place);
        for also in &mut self.also {
            also.line = sources.line(&also.place);
        }
        self
    }
}

fn excerpt(out: &mut String, width: usize, spot: Spot, line: Option<&str>, mark: char, label: &str) {
    let Some(line) = line else { return };
    let before = spot.column.saturating_sub(1) as usize;
    let cut = before.saturating_sub(MOST_SHOWN / 2);
    // A tab takes one column here, so that the mark stands below its place.
    let mut shown: String =
        line.chars().skip(cut).take(MOST_SHOWN).map(|c| if is_printable(c) { c } else { ' ' }).collect();
    let mut indent = before - cut;
    if cut > 0 {
        shown.insert_str(0, "...");
        indent += 3;
    }
    if line.chars().count() > cut + MOST_SHOWN {
        shown.push_str("...");
    }
    let room = (shown.chars().count() + 1).saturating_sub(indent).max(1);
    let marks = mark.to_string().repeat((spot.length as usize).clamp(1, room));
    let gap = if label.is_empty() { "" } else { " " };
    let _ = writeln!(out, "{:width$} |", "");
    let _ = writeln!(out, "{:>width$} | {}", spot.line, shown.trim_end());
    let _ = writeln!(out, "{:width$} | {:indent$}{marks}{gap}{label}", "", "");
}

/// Whether a character may stand in a file or a message: no control characters, and none that break lines,
/// turn the direction of writing or cannot be seen.
pub(crate) fn is_printable(c: char) -> bool {
    let hidden = matches!(c, '\u{200B}'..='\u{200F}' | '\u{2028}'..='\u{202E}' | '\u{2060}'..='\u{2069}');
    !(c.is_control() || hidden || c == '\u{FEFF}')
}

/// A word of a file for a message, cut where it is long.
pub(crate) fn short(word: &str) -> String {
    const MOST: usize = 40;
    if word.chars().count() <= MOST {
        return word.to_owned();
    }
    word.chars().take(MOST).chain("...".chars()).collect()
}

/// "a", "a and b", "a, b and c".
pub(crate) fn listed(words: &[String], last: &str) -> String {
    match words.split_last() {
        Some((end, rest)) if !rest.is_empty() => format!("{} {last} {end}", rest.join(", ")),
        _ => words.concat(),
    }
}

/// The same, each word quoted.
pub(crate) fn quoted<'a>(words: impl IntoIterator<Item = &'a str>, last: &str) -> String {
    let words: Vec<String> = words.into_iter().map(|word| format!("`{}`", short(word))).collect();
    listed(&words, last)
}

/// The texts that were read, for the lines that messages show.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sources {
    files: BTreeMap<Arc<str>, Source>,
}

#[derive(Clone, Debug)]
struct Source {
    /// When it was first read, among all.
    number: usize,
    text: Arc<str>,
    starts: Vec<usize>,
}

impl Sources {
    pub fn add(&mut self, name: &Arc<str>, text: Arc<str>) {
        let starts = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        let number = self.files.len();
        self.files.insert(name.clone(), Source { number, text, starts });
    }

    fn line(&self, place: &Place) -> Option<String> {
        let source = self.files.get(&place.file)?;
        let start = *source.starts.get(place.spot.line.checked_sub(1)? as usize)?;
        let rest = source.text.get(start..)?;
        let line = rest.split('\n').next().unwrap_or("");
        // The byte order mark is no column.
        Some(line.trim_end_matches('\r').trim_start_matches('\u{FEFF}').to_owned())
    }

    fn number(&self, file: &str) -> usize {
        self.files.get(file).map_or(usize::MAX, |source| source.number)
    }
}

/// Collects what the checker has to say.
#[derive(Debug, Default)]
pub struct Report {
    found: Vec<Diagnostic>,
    dropped: usize,
    errors: usize,
    compared: usize,
    steps: usize,
}

impl Report {
    /// Adds one.
    pub fn add(&mut self, diagnostic: Diagnostic) {
        self.errors += usize::from(diagnostic.severity == Severity::Error);
        if self.found.len() < MOST_DIAGNOSTICS {
            self.found.push(diagnostic);
        } else {
            self.dropped += 1;
        }
    }

    /// Counts steps of work.
    pub(crate) fn count(&mut self, steps: usize) {
        self.steps += steps;
    }

    /// Steps that were counted.
    pub(crate) fn steps(&self) -> usize {
        self.steps + self.compared
    }

    /// Errors so far.
    pub fn errors(&self) -> usize {
        self.errors
    }

    /// The known word nearest to `word`, if there is one and not too many were looked for already.
    pub fn nearest<'a>(&mut self, word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
        let left = MOST_COMPARED.saturating_sub(self.compared);
        let mut seen = 0;
        let near = nearest(word, known.into_iter().take(left).inspect(|_| seen += 1));
        self.compared += seen;
        near
    }

    /// All, in the order of files and lines.
    pub(crate) fn finish(mut self, sources: &Sources) -> Vec<Diagnostic> {
        let key = |d: &Diagnostic| (sources.number(&d.place.file), d.place.spot);
        self.found.sort_by_key(key);
        let mut all: Vec<Diagnostic> = self.found.into_iter().map(|d| d.with_lines(sources)).collect();
        if let (1.., Some(last)) = (self.dropped, all.last()) {
            let reason = format!("{} more messages are not shown", self.dropped);
            all.push(Diagnostic {
                severity: if self.errors > 0 { Severity::Error } else { Severity::Warning },
                ..Diagnostic::error("more", &last.place.clone(), reason)
            });
        }
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn shown(text: &str, line: u32, column: u32, length: u32) -> String {
        let mut sources = Sources::default();
        let file: Arc<str> = "a.fb".into();
        sources.add(&file, text.into());
        let place = Place { file, spot: Spot { line, column, length } };
        Diagnostic::error("x", &place, "is wrong").help("mend it").with_lines(&sources).rendered()
    }

    #[test]
    fn the_line_is_shown_and_the_place_marked() {
        let text = "pool \"a\" {\r\n\tzones = 3\r\n}\r\n";
        let expected =
            "error: is wrong\n --> a.fb:2:10\n  |\n2 |  zones = 3\n  |          ^\n  = help: mend it\n";
        assert_eq!(shown(text, 2, 10, 1), expected);
    }

    #[test]
    fn of_a_long_line_the_part_around_the_place_is_shown() {
        let text = format!("{}here{}", "x".repeat(5000), "y".repeat(5000));
        let shown = shown(&text, 1, 5001, 4);
        let lines: Vec<&str> = shown.lines().collect();
        assert_eq!(lines[3], format!("1 | ...{}here{}...", "x".repeat(50), "y".repeat(46)));
        assert_eq!(lines[4], format!("  | {}^^^^", " ".repeat(53)));
    }

    #[test]
    fn beyond_a_hundred_messages_only_their_number_is_told() {
        let mut report = Report::default();
        let place = Place { file: "a.fb".into(), spot: Spot::default() };
        (0..250).for_each(|_| report.add(Diagnostic::error("x", &place, "is wrong")));
        let all = report.finish(&Sources::default());
        assert_eq!(all.len(), MOST_DIAGNOSTICS + 1);
        assert_eq!(all[MOST_DIAGNOSTICS].reason, "150 more messages are not shown");
    }
}
