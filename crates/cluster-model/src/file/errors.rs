//! Errors of scenario files, each with its position and a one-line message.

use super::{
    MAX_CUSTOMERS, MAX_FILE_BYTES, MAX_LINE_BYTES, MAX_LISTED_MACHINES, MAX_LOG_TEXT_CHARS, MAX_NAMES,
    MAX_TITLE_CHARS,
};

/// A position in a file. Lines and columns count from 1, columns in characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    pub line: u32,
    pub column: u32,
}

/// An error at a position of the text, before the file name is known.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ParseError {
    pub position: Position,
    pub reason: Reason,
}

impl ParseError {
    pub fn new(position: Position, reason: Reason) -> ParseError {
        ParseError { position, reason }
    }

    pub fn in_file(self, name: &str) -> FileError {
        // A message has to stay on one line whatever characters the file name contains.
        let file = name.chars().map(|c| if is_printable(c) { c } else { '?' }).collect();
        FileError { file, line: self.position.line, column: self.position.column, reason: self.reason.into() }
    }
}

/// The result of parsing a part of the text.
pub(super) type ParseResult<T> = Result<T, ParseError>;

/// The error of a scenario file, displayed on one line as `file:line:column: reason`.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}:{line}:{column}: {reason}")]
pub struct FileError {
    /// The file name as given, with control characters replaced.
    pub file: String,
    /// Line, counted from 1.
    pub line: u32,
    /// Column, counted from 1, in characters.
    pub column: u32,
    /// The error at this position.
    pub reason: Box<Reason>,
}

/// The kinds of errors.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum Reason {
    /// The file is too large.
    #[error("the file has {0} bytes; the maximum is {MAX_FILE_BYTES}")]
    LargeFile(usize),
    /// A line is too long.
    #[error("the line has {0} bytes; the maximum is {MAX_LINE_BYTES}")]
    LongLine(usize),
    /// A character that a terminal would interpret.
    #[error("the character U+{:04X} is not allowed", u32::from(*.0))]
    ControlCharacter(char),
    /// A character that begins no token.
    #[error("unexpected character `{0}`")]
    UnexpectedCharacter(char),
    /// The line or the file ends inside a quoted string.
    #[error("the quoted string that begins here has no closing quote")]
    UnclosedString,
    /// A backslash that is followed by something other than a quote or a backslash.
    #[error("in a quoted string, `\\` is only allowed before `\"` and `\\`")]
    InvalidEscape,
    /// A token other than the expected one.
    #[error("expected {wanted}, found {found}")]
    Expected {
        /// Description of the expected token.
        wanted: String,
        /// Description of the actual token.
        found: String,
    },
    /// An unknown word.
    #[error("unknown {kind} `{word}`{}", did_you_mean(.suggestion))]
    Unknown {
        /// The expected kind of word.
        kind: &'static str,
        /// The word.
        word: String,
        /// A known word with a similar spelling.
        suggestion: Option<String>,
    },
    /// A known word in a place where it is not allowed.
    #[error("`{word}` is not allowed here: it belongs {location}")]
    Misplaced {
        /// The word.
        word: String,
        /// Where it is allowed.
        location: &'static str,
    },
    /// The file does not begin with its title.
    #[error("a file must begin with `scenario` and a title in quotes")]
    MissingTitle,
    /// The title is empty or too long.
    #[error("a title must have 1 to {MAX_TITLE_CHARS} characters, and this one has {0}")]
    TitleLength(usize),
    /// The name of a class or plan is too long or contains other characters.
    #[error("invalid name `{0}`: a name has 1 to 32 letters, digits, `-` and `_`, and begins with a letter")]
    InvalidName(String),
    /// A number without its unit.
    #[error("`{key}` needs a unit: {units}")]
    MissingUnit {
        /// The key of the number.
        key: String,
        /// The accepted units.
        units: &'static str,
    },
    /// A number with a unit of another kind.
    #[error("`{key}` is given in {units}, not in `{found}`")]
    WrongUnit {
        /// The key of the number.
        key: String,
        /// The accepted units.
        units: &'static str,
        /// The unit in the file.
        found: String,
    },
    /// A negative number.
    #[error("`{key}` is -{found}, but must not be negative")]
    NegativeNumber {
        /// The key of the number.
        key: String,
        /// The number without its sign.
        found: String,
    },
    /// A fraction where an integer is required.
    #[error("`{key}` is {found}, but must be an integer")]
    NotAnInteger {
        /// The key of the number.
        key: String,
        /// The number.
        found: String,
    },
    /// A fraction of a nanosecond or of a byte.
    #[error("`{key}` is finer than {smallest}")]
    TooPrecise {
        /// The key of the number.
        key: String,
        /// The smallest unit.
        smallest: &'static str,
    },
    /// A number outside its bounds.
    #[error("`{key}` is {found}, but must be from {low} to {high}")]
    OutOfRange {
        /// The key of the number.
        key: String,
        /// The number.
        found: String,
        /// Lower bound.
        low: String,
        /// Upper bound.
        high: String,
    },
    /// A range whose lower end is greater than its upper end.
    #[error("the range of `{key}` is inverted: {from} to {to}")]
    InvertedRange {
        /// The key of the range.
        key: String,
        /// The first number.
        from: String,
        /// The second number.
        to: String,
    },
    /// A key or section that is given more than once.
    #[error("`{key}` is given twice, first in line {first_line}")]
    DuplicateKey {
        /// The key or section.
        key: String,
        /// The line where it is given first.
        first_line: u32,
    },
    /// A machine, class or plan that is named more than once in one list.
    #[error("{0} is named twice")]
    DuplicateReference(String),
    /// A new class or plan without keys that have no default.
    #[error("{kind} `{name}` is new and also needs {missing}")]
    MissingKeys {
        /// `class` or `plan`.
        kind: &'static str,
        /// The name of the class or plan.
        name: String,
        /// The missing keys, as an enumeration.
        missing: String,
    },
    /// A class or plan that is defined but excluded by `only`.
    #[error("{kind} `{name}` is defined here but left out in line {line}")]
    Excluded {
        /// `class` or `plan`.
        kind: &'static str,
        /// The name of the class or plan.
        name: String,
        /// The line with `only`.
        line: u32,
    },
    /// Too many classes or plans.
    #[error("there are {0} {1}; the maximum is {MAX_NAMES}")]
    TooManyNames(usize, &'static str),
    /// The shares of the classes or plans do not add up to 100 %.
    #[error("the shares of the {kind} add up to {sum}, not to 100 %")]
    ShareSum {
        /// `classes` or `plans`.
        kind: &'static str,
        /// The sum of the shares.
        sum: String,
    },
    /// The shares of the kinds of customers exceed 100 %.
    #[error("`full`, `heavy`, `spiky` and `greedy` add up to {0} of the customers")]
    CustomerShareSum(String),
    /// The rate of a plan is so small relative to its share of the load that too many customers are needed.
    #[error(
        "plan `{0}` would need {1} customers or more to reach its share; the maximum is {MAX_CUSTOMERS}"
    )]
    TooManyCustomers(String, u64),
    /// A deadline shorter than the latency objective.
    #[error("class `{class}` has a deadline of {deadline}, which is shorter than its aim of {objective}")]
    DeadlineBeforeObjective {
        /// The class.
        class: String,
        /// Its deadline.
        deadline: String,
        /// Its latency objective.
        objective: String,
    },
    /// A plan whose customers use more gateways than the site has.
    #[error("plan `{plan}` has a spread of {spread}, and the site has {gateways}")]
    SpreadTooLarge {
        /// The plan.
        plan: String,
        /// Its spread.
        spread: u32,
        /// Number of gateways, with the noun.
        gateways: String,
    },
    /// A ceiling with an empty token bucket would let no request pass.
    #[error("plan `{0}` has a ceiling, which needs a `ceiling-burst` above 0 units")]
    MissingCeilingBurst(String),
    /// A machine or building that the site does not have.
    #[error("there is no {kind} {number}: {existing}")]
    UnknownMachine {
        /// The kind of machine, or `building`.
        kind: &'static str,
        /// The number in the file.
        number: u32,
        /// The number of existing ones, in words.
        existing: String,
    },
    /// A count that exceeds the number of existing machines.
    #[error("there are no {wanted}: {existing}")]
    TooFewMachines {
        /// The count in the file, with the noun.
        wanted: String,
        /// The number of existing ones, in words.
        existing: String,
    },
    /// An event that lists too many machine numbers.
    #[error("an event may list at most {MAX_LISTED_MACHINES} machines; use a share or a count for more")]
    TooManyListedMachines,
    /// More hosts than the maximum for one run, including those that join later.
    #[error("this event brings the total to {0} hosts; the maximum is {1}")]
    TooManyHosts(u32, u32),
    /// An event after the end of the run.
    #[error("the run ends after {0}")]
    AfterEnd(String),
    /// An event or trigger that refers to a counter that does not exist.
    #[error("the site has no counter")]
    NoCounter,
    /// The log text of a trigger is empty or too long.
    #[error("the text of a log line must have 1 to {MAX_LOG_TEXT_CHARS} characters, and this one has {0}")]
    LogTextLength(usize),
    /// A traffic event with a trigger: clients plan their load in advance, so nothing that is observed during
    /// the run can change it.
    #[error("`{0}` is only allowed after `at`: clients plan their load in advance")]
    NotTriggerable(&'static str),
    /// A split in which a gateway belongs to no group.
    #[error("a split must assign each gateway to a group: {0} is missing")]
    IncompleteSplit(String),
    /// A partition between a side and itself.
    #[error("both sides of the cut are the same")]
    SameSides,
    /// A traffic event whose rise and fall take longer than the event.
    #[error("traffic rises for {rise} and falls for as long, but the event lasts only {duration}")]
    RiseTooLong {
        /// Duration of the rise.
        rise: String,
        /// Duration of the event.
        duration: String,
    },
}

fn did_you_mean(suggestion: &Option<String>) -> String {
    suggestion.as_ref().map(|word| format!("; did you mean `{word}`?")).unwrap_or_default()
}

/// Returns whether a character is allowed in a file or a message: not a control character, a line separator
/// or a character that changes the writing direction.
pub(super) fn is_printable(c: char) -> bool {
    !(c.is_control()
        || matches!(c, '\u{2028}' | '\u{2029}' | '\u{202A}'..='\u{202E}' | '\u{2066}'..='\u{2069}'))
}

/// Truncates a long word for a message.
pub(super) fn truncated(word: &str) -> String {
    const MAX_CHARS: usize = 40;
    if word.chars().count() <= MAX_CHARS {
        return word.to_owned();
    }
    word.chars().take(MAX_CHARS).chain("...".chars()).collect()
}

/// Formats words as an enumeration: "`a`", "`a` and `b`", "`a`, `b` and `c`".
pub(super) fn listed(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
    match quoted.split_last() {
        Some((last, rest)) if !rest.is_empty() => format!("{} and {last}", rest.join(", ")),
        _ => quoted.join(""),
    }
}
