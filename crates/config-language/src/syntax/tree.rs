//! What a file says, as it is written.

use crate::diagnostic::Spot;

/// A comment on lines of its own.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Comment {
    /// From the `#` on.
    pub text: String,
    /// A blank line stands before it.
    pub blank: bool,
}

/// What stands before a statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Lead {
    pub comments: Vec<Comment>,
    /// A blank line stands between those and the statement.
    pub blank: bool,
}

/// A word and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Word {
    pub text: String,
    pub spot: Spot,
}

/// A text in quotes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Text {
    /// What it says.
    pub value: String,
    /// What is written, with the quotes.
    pub raw: String,
    pub spot: Spot,
}

/// A number, with its unit where it has one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Figure {
    pub number: Number,
    pub unit: Option<Word>,
    pub spot: Spot,
}

/// A number as it is written.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Number {
    pub text: String,
    /// 16 hex digits: a customer as the wire names it.
    pub hex: bool,
    pub spot: Spot,
}

impl Number {
    /// The digits without separators.
    pub fn digits(&self) -> String {
        self.text.replace('_', "")
    }
}

/// A list.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct List {
    pub items: Vec<Item>,
    /// Comments before the closing bracket.
    pub tail: Vec<Comment>,
}

/// One of a list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Item {
    pub lead: Vec<Comment>,
    pub value: Value,
    /// The comment behind it.
    pub after: Option<String>,
}

/// What stands behind a `=`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Text(Text),
    Figure(Figure),
    Range(Number, Number),
    Name(Word),
    List(List, Spot),
}

impl Value {
    pub fn spot(&self) -> Spot {
        match self {
            Value::Text(text) => text.spot,
            Value::Figure(figure) => figure.spot,
            Value::Range(from, to) => from_to(from.spot, to.spot),
            Value::Name(word) => word.spot,
            Value::List(_, spot) => *spot,
        }
    }
}

/// From the beginning of one to the end of another, if that is on the same line.
pub(crate) fn from_to(from: Spot, to: Spot) -> Spot {
    let end = to.column + to.length;
    let length = if to.line == from.line { end.saturating_sub(from.column) } else { from.length };
    Spot { length, ..from }
}

/// `key = value`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Setting {
    pub lead: Lead,
    pub key: Word,
    pub value: Value,
    pub after: Option<String>,
}

/// `kind "name" { ... }`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Block {
    /// The words before the name.
    pub head: Vec<Word>,
    pub name: Text,
    /// The comment behind the opening brace.
    pub open: Option<String>,
    pub settings: Vec<Setting>,
    /// Comments before the closing brace.
    pub tail: Vec<Comment>,
    /// Some of it could not be read.
    pub broken: bool,
}

impl Block {
    /// Its kind: the words before the name.
    pub fn kind(&self) -> String {
        let words: Vec<&str> = self.head.iter().map(|word| word.text.as_str()).collect();
        words.join(" ")
    }

    /// Where its kind stands.
    pub fn kind_spot(&self) -> Spot {
        match (self.head.first(), self.head.last()) {
            (Some(first), Some(last)) => from_to(first.spot, last.spot),
            _ => self.name.spot,
        }
    }
}

/// One statement of a file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum What {
    Include(Text),
    /// Without a value if it could not be read.
    Let(Word, Option<Value>),
    Block(Block),
}

/// One statement, with the comments around it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Statement {
    pub lead: Lead,
    pub what: What,
    pub after: Option<String>,
}

/// A file.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Tree {
    pub statements: Vec<Statement>,
    /// Comments at the end.
    pub tail: Vec<Comment>,
    /// There are statements that could not be read so far as to know what they name.
    pub unread: bool,
}
