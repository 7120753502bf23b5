//! What is wrong with a file, where, in one line.

use super::{
    MAX_CUSTOMERS, MAX_FILE_BYTES, MAX_LINE_BYTES, MAX_LISTED_MACHINES, MAX_LOG_TEXT_CHARS, MAX_NAMES,
    MAX_TITLE_CHARS,
};

/// A place in a file; lines and columns count from 1, columns in characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub line: u32,
    pub column: u32,
}

/// Something wrong at a place of the text.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Fault {
    pub place: Place,
    pub reason: Reason,
}

impl Fault {
    pub fn new(place: Place, reason: Reason) -> Fault {
        Fault { place, reason }
    }

    pub fn in_file(self, name: &str) -> FileError {
        // A message is one line, whatever the file is called.
        let file = name.chars().map(|c| if is_printable(c) { c } else { '?' }).collect();
        FileError { file, line: self.place.line, column: self.place.column, reason: self.reason.into() }
    }
}

/// What reading a part of the text gives.
pub(super) type Parsed<T> = Result<T, Fault>;

/// Why a scenario file cannot be used: one line, `file:line:column: reason`.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}:{line}:{column}: {reason}")]
pub struct FileError {
    /// The file's name as it was given, with control characters replaced.
    pub file: String,
    /// The line, from 1.
    pub line: u32,
    /// The column, from 1, in characters.
    pub column: u32,
    /// What is wrong there.
    pub reason: Box<Reason>,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum Reason {
    /// The file is too large.
    #[error("the file has {0} bytes, and {MAX_FILE_BYTES} is the most")]
    LargeFile(usize),
    /// A line is too long.
    #[error("the line has {0} bytes, and {MAX_LINE_BYTES} is the most")]
    LongLine(usize),
    /// A character that a terminal would act on.
    #[error("the character U+{:04X} is not allowed", u32::from(*.0))]
    Control(char),
    /// A character that belongs to nothing.
    #[error("the character `{0}` means nothing here")]
    Stray(char),
    /// The line, or the file, ends inside a text.
    #[error("the text that begins here has no closing quote")]
    Unclosed,
    /// A backslash before something else than a quote or a backslash.
    #[error("in a text, `\\` stands only before `\"` and `\\`")]
    Escape,
    /// Something else should stand here.
    #[error("expected {wanted}, found {found}")]
    Expected {
        /// What should.
        wanted: String,
        /// What does.
        found: String,
    },
    /// A word that is not known.
    #[error("unknown {what} `{word}`{}", did_you_mean(.near))]
    Unknown {
        /// What it should be.
        what: &'static str,
        /// The word.
        word: String,
        /// A known one like it.
        near: Option<String>,
    },
    /// A known word in a place where it means nothing.
    #[error("`{word}` does not stand here: it belongs {home}")]
    Elsewhere {
        /// The word.
        word: String,
        /// Where it belongs.
        home: &'static str,
    },
    /// The file does not begin as it must.
    #[error("a file begins with `scenario` and a title in quotes")]
    NoTitle,
    /// The title is empty or too long.
    #[error("a title has 1 to {MAX_TITLE_CHARS} letters, and this one has {0}")]
    Title(usize),
    /// A name of a class or plan has other characters, or too many.
    #[error("`{0}` is no name: a name has 1 to 32 letters, digits, `-` and `_`, and begins with a letter")]
    Name(String),
    /// A bare figure.
    #[error("`{key}` needs a unit: {units}")]
    NoUnit {
        /// What it is the figure of.
        key: String,
        /// The units there are.
        units: &'static str,
    },
    /// A figure with a unit of something else.
    #[error("`{key}` is given in {units}, not in `{found}`")]
    WrongUnit {
        /// What it is the figure of.
        key: String,
        /// The units there are.
        units: &'static str,
        /// What stands there.
        found: String,
    },
    /// A figure below nothing.
    #[error("`{key}` is -{found}, and no figure may be negative")]
    Negative {
        /// What it is the figure of.
        key: String,
        /// The figure without its sign.
        found: String,
    },
    /// A fraction where only whole numbers are.
    #[error("`{key}` is {found}, and has to be a whole number")]
    Whole {
        /// What it is the figure of.
        key: String,
        /// The figure.
        found: String,
    },
    /// Finer than the clock, or than a byte.
    #[error("`{key}` is finer than {smallest}")]
    TooFine {
        /// What it is the figure of.
        key: String,
        /// The smallest there is.
        smallest: &'static str,
    },
    /// A figure outside its bounds.
    #[error("`{key}` is {found}, and has to be from {low} to {high}")]
    Range {
        /// What it is the figure of.
        key: String,
        /// The figure.
        found: String,
        /// The least.
        low: String,
        /// The most.
        high: String,
    },
    /// `from` above `to`.
    #[error("`{key}` runs from {from} down to {to}")]
    Backwards {
        /// What they are the figures of.
        key: String,
        /// The first figure.
        from: String,
        /// The second.
        to: String,
    },
    /// The same thing said twice.
    #[error("`{what}` is given twice, first in line {first}")]
    Twice {
        /// What.
        what: String,
        /// Where first.
        first: u32,
    },
    /// A machine or group member named twice in one event.
    #[error("{0} is named twice")]
    NamedTwice(String),
    /// A new class or plan lacks figures that have no default.
    #[error("{what} `{name}` is new and also needs {missing}")]
    Incomplete {
        /// Class or plan.
        what: &'static str,
        /// Its name.
        name: String,
        /// The keys that are missing, as a list in words.
        missing: String,
    },
    /// A class or plan is described and left out.
    #[error("{what} `{name}` is described here and left out in line {line}")]
    LeftOut {
        /// Class or plan.
        what: &'static str,
        /// Its name.
        name: String,
        /// The line with `only`.
        line: u32,
    },
    /// Too many classes or plans.
    #[error("these are {0} {1}, and {MAX_NAMES} is the most")]
    ManyNames(usize, &'static str),
    /// Shares do not add up.
    #[error("the shares of the {what} come to {sum}, not to 100 %")]
    Shares {
        /// Classes or plans.
        what: &'static str,
        /// Their sum.
        sum: String,
    },
    /// Kinds of customers are more than all.
    #[error("`full`, `heavy`, `spiky` and `greedy` come to {0} of the customers")]
    Customers(String),
    /// A plan whose rate is next to nothing beside what its customers ask for together.
    #[error(
        "plan `{0}` would have {1} customers or more to come to its share, and {MAX_CUSTOMERS} is the most"
    )]
    ManyCustomers(String, u64),
    /// Wanted later than given up.
    #[error("class `{class}` is given up after {deadline}, before its aim of {aim}")]
    Deadline {
        /// The class.
        class: String,
        /// Its deadline.
        deadline: String,
        /// Its aim.
        aim: String,
    },
    /// A customer comes through more gateways than there are.
    #[error("plan `{plan}` has a spread of {spread}, and the site has {gateways}")]
    Spread {
        /// The plan.
        plan: String,
        /// Its spread.
        spread: u32,
        /// Gateways in words.
        gateways: String,
    },
    /// A ceiling whose store holds nothing lets nothing pass.
    #[error("plan `{0}` has a ceiling, which needs a `ceiling-burst` above 0 units")]
    Ceiling(String),
    /// A machine or building that the site does not have.
    #[error("there is no {kind} {number}: {there}")]
    NoSuch {
        /// What kind.
        kind: &'static str,
        /// The number that was named.
        number: u32,
        /// How many there are, in words.
        there: String,
    },
    /// More machines than there are.
    #[error("there are no {what}: {there}")]
    NotSoMany {
        /// How many were named, in words.
        what: String,
        /// How many there are, in words.
        there: String,
    },
    /// Too many numbers.
    #[error("an event names {MAX_LISTED_MACHINES} machines at the most, a share or a count any number")]
    ManyNumbers,
    /// Hosts came beyond all measure.
    #[error("with these, {0} hosts have come in all, and {1} is the most")]
    ManyHosts(u32, u32),
    /// An event when all is over.
    #[error("the rehearsal is over after {0}")]
    AfterEnd(String),
    /// Something happens to a counter that is not there.
    #[error("the site has no counter")]
    NoCounter,
    /// A part of a log's line that is empty or too long.
    #[error("what a log says has 1 to {MAX_LOG_TEXT_CHARS} letters, and this has {0}")]
    Sign(usize),
    /// Clients plan ahead, so nothing seen on the way can change what they will ask.
    #[error("`{0}` stands only behind `at`: clients know of it from the start")]
    Planned(&'static str),
    /// Not each gateway in one group.
    #[error("a split puts each gateway into one group, and leaves out {0}")]
    Split(String),
    /// A cut with one side only.
    #[error("both sides of the cut are the same")]
    SameSides,
    /// Traffic rises for longer than it lasts.
    #[error("traffic rises in {rise} and falls in as much, and all of it is to last {whole}")]
    Rise {
        /// The time of the rise.
        rise: String,
        /// The time of all.
        whole: String,
    },
}

fn did_you_mean(near: &Option<String>) -> String {
    near.as_ref().map(|near| format!("; did you mean `{near}`?")).unwrap_or_default()
}

/// Whether a character may stand in a file or a message: no control characters, and none that break lines or
/// turn the direction of writing.
pub(super) fn is_printable(c: char) -> bool {
    !(c.is_control()
        || matches!(c, '\u{2028}' | '\u{2029}' | '\u{202A}'..='\u{202E}' | '\u{2066}'..='\u{2069}'))
}

/// A word of the file for a message, cut where it is long.
pub(super) fn short(word: &str) -> String {
    const MOST: usize = 40;
    if word.chars().count() <= MOST {
        return word.to_owned();
    }
    word.chars().take(MOST).chain("...".chars()).collect()
}

/// "`a`", "`a` and `b`", "`a`, `b` and `c`".
pub(super) fn listed(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
    match quoted.split_last() {
        Some((last, rest)) if !rest.is_empty() => format!("{} and {last}", rest.join(", ")),
        _ => quoted.join(""),
    }
}
