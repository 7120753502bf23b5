//! A line of tokens that is read from left to right.

use super::errors::{truncated, ParseError, ParseResult, Position, Reason};
use super::lexer::{tokenize, Token, TokenKind};
use super::quantity::{self, SIZE_UNITS, SIZE_UNIT_NAMES, SPAN_UNITS, SPAN_UNIT_NAMES};
use super::suggestion::nearest;
use crate::Span;

/// The lower and upper bound of a number, both inclusive.
pub(super) type Bounds<T> = (T, T);

/// Words that may follow a number with its unit: one of them directly after a number means that the unit is
/// missing.
const CONNECTING_WORDS: [&str; 8] = ["to", "for", "x", "of", "over", "and", "in", "from"];

/// A line and the index of the next token.
pub(super) struct Line<'a> {
    pub number: u32,
    tokens: Vec<Token<'a>>,
    next: usize,
}

/// A number as written in the file.
struct NumberToken<'a> {
    position: Position,
    text: &'a str,
}

impl<'a> Line<'a> {
    pub fn new(number: u32, text: &'a str) -> ParseResult<Line<'a>> {
        Ok(Line { number, tokens: tokenize(number, text)?, next: 0 })
    }

    /// Returns the next token. The end of the line is never consumed.
    pub fn peek(&self) -> &TokenKind<'a> {
        &self.tokens[self.next].kind
    }

    /// Returns the token after the next one.
    fn peek_second(&self) -> &TokenKind<'a> {
        &self.tokens[(self.next + 1).min(self.tokens.len() - 1)].kind
    }

    /// Returns the position of the next token.
    pub fn position(&self) -> Position {
        Position { line: self.number, column: self.tokens[self.next].column }
    }

    fn skip(&mut self) {
        self.next = (self.next + 1).min(self.tokens.len() - 1);
    }

    pub fn is_at_end(&self) -> bool {
        *self.peek() == TokenKind::End
    }

    /// Returns an error: the next token is not the expected one.
    pub fn expected<T>(&self, wanted: impl Into<String>) -> ParseResult<T> {
        self.error(Reason::Expected { wanted: wanted.into(), found: self.peek().describe() })
    }

    /// Returns an error at the next token.
    pub fn error<T>(&self, reason: Reason) -> ParseResult<T> {
        Err(ParseError::new(self.position(), reason))
    }

    /// Returns an error: the next token is none of the known words.
    pub fn unknown<T>(&self, kind: &'static str, word: &str, known: &[&str]) -> ParseResult<T> {
        let suggestion = nearest(word, known.iter().copied());
        self.error(Reason::Unknown { kind, word: truncated(word), suggestion })
    }

    /// Consumes this word if it is next.
    pub fn accept(&mut self, word: &str) -> bool {
        let is_next = *self.peek() == TokenKind::Word(word);
        if is_next {
            self.skip();
        }
        is_next
    }

    /// Consumes this symbol if it is next.
    pub fn accept_symbol(&mut self, symbol: char) -> bool {
        let is_next = *self.peek() == TokenKind::Symbol(symbol);
        if is_next {
            self.skip();
        }
        is_next
    }

    /// Consumes a comma if a number follows it.
    pub fn accept_comma_before_number(&mut self) -> bool {
        matches!(self.peek_second(), TokenKind::Number(_)) && self.accept_symbol(',')
    }

    /// Consumes the comma before another item of a list. Returns `false` at the end of the line.
    pub fn accept_separator(&mut self) -> ParseResult<bool> {
        if self.accept_symbol(',') {
            return Ok(true);
        }
        if self.is_at_end() {
            return Ok(false);
        }
        self.expected("a comma or the end of the line")
    }

    pub fn require(&mut self, word: &str) -> ParseResult<()> {
        if self.accept(word) {
            return Ok(());
        }
        self.expected(format!("`{word}`"))
    }

    pub fn require_symbol(&mut self, symbol: char) -> ParseResult<()> {
        if self.accept_symbol(symbol) {
            return Ok(());
        }
        self.expected(format!("`{symbol}`"))
    }

    pub fn require_end(&self) -> ParseResult<()> {
        if self.is_at_end() {
            return Ok(());
        }
        self.expected("the end of the line")
    }

    /// Reads any word.
    pub fn word(&mut self, wanted: &str) -> ParseResult<&'a str> {
        let TokenKind::Word(word) = *self.peek() else { return self.expected(wanted) };
        self.skip();
        Ok(word)
    }

    /// Reads one of these words; `kind` describes them in the message.
    pub fn one_of(&mut self, kind: &'static str, known: &[&'static str]) -> ParseResult<&'static str> {
        let TokenKind::Word(word) = *self.peek() else { return self.expected(with_article(kind)) };
        let Some(found) = known.iter().find(|known| **known == word) else {
            return self.unknown(kind, word, known);
        };
        self.skip();
        Ok(found)
    }

    /// Reads the name of a class or plan.
    pub fn name(&mut self, kind: &str) -> ParseResult<&'a str> {
        let TokenKind::Word(word) = *self.peek() else {
            return self.expected(format!("the name of a {kind}"));
        };
        if word.len() > 32 || word.contains(['/', '\'']) {
            return self.error(Reason::InvalidName(truncated(word)));
        }
        self.skip();
        Ok(word)
    }

    /// Reads a quoted string.
    pub fn quoted(&mut self, wanted: &str) -> ParseResult<String> {
        let TokenKind::Quoted(text) = self.peek().clone() else { return self.expected(wanted) };
        self.skip();
        Ok(text)
    }

    /// Returns whether a number is next.
    pub fn is_at_number(&self) -> bool {
        matches!(self.peek(), TokenKind::Number(_) | TokenKind::NegativeNumber(_))
    }

    /// Returns whether a percentage is next.
    pub fn is_at_share(&self) -> bool {
        self.is_at_number() && *self.peek_second() == TokenKind::Symbol('%')
    }

    fn number_token(&mut self, key: &str) -> ParseResult<NumberToken<'a>> {
        let position = self.position();
        match *self.peek() {
            TokenKind::Number(text) => {
                self.skip();
                Ok(NumberToken { position, text })
            }
            TokenKind::NegativeNumber(text) => {
                self.error(Reason::NegativeNumber { key: key.into(), found: truncated(text) })
            }
            _ => self.expected(format!("a number for `{key}`")),
        }
    }

    /// Returns an error: the unit after a number is missing or of another kind.
    fn wrong_unit<T>(&self, key: &str, units: &'static str) -> ParseResult<T> {
        let key = key.to_owned();
        match *self.peek() {
            TokenKind::Word(word) if !CONNECTING_WORDS.contains(&word) => {
                self.error(Reason::WrongUnit { key, units, found: truncated(word) })
            }
            TokenKind::Symbol('%') => self.error(Reason::WrongUnit { key, units, found: "%".into() }),
            _ => self.error(Reason::MissingUnit { key, units }),
        }
    }

    /// Reads one of these units and returns its factor.
    fn unit_factor(&mut self, key: &str, units: &[(&str, u64)], names: &'static str) -> ParseResult<u64> {
        let TokenKind::Word(word) = *self.peek() else { return self.wrong_unit(key, names) };
        let Some((_, factor)) = units.iter().find(|(name, _)| *name == word) else {
            return self.wrong_unit(key, names);
        };
        self.skip();
        Ok(*factor)
    }

    /// Reads this unit in plural or singular; nothing if `unit` is empty.
    fn unit(&mut self, key: &str, unit: &'static str) -> ParseResult<()> {
        if unit.is_empty()
            || self.accept(unit)
            || unit.strip_suffix('s').is_some_and(|singular| self.accept(singular))
        {
            return Ok(());
        }
        self.wrong_unit(key, unit)
    }

    /// Reads an integer, and its unit unless that is empty.
    pub fn integer(&mut self, key: &str, bounds: Bounds<u32>, unit: &'static str) -> ParseResult<u32> {
        let number = self.number_token(key)?;
        let Some(integer) = quantity::scaled_integer(number.text, 1) else {
            return number.error(Reason::NotAnInteger { key: key.into(), found: truncated(number.text) });
        };
        self.unit(key, unit)?;
        let show = |n: u64| format!("{n} {unit}").trim_end().to_owned();
        let bounds = (u64::from(bounds.0), u64::from(bounds.1));
        // The bounds fit into a u32, so the cast is lossless.
        number.within(key, integer, bounds, show).map(|integer| integer as u32)
    }

    /// Reads a number, and its unit unless that is empty.
    pub fn number(&mut self, key: &str, bounds: Bounds<f64>, unit: &'static str) -> ParseResult<f64> {
        let number = self.number_token(key)?;
        self.unit(key, unit)?;
        let show = |n: f64| format!("{} {unit}", quantity::number_text(n)).trim_end().to_owned();
        number.within(key, quantity::number(number.text), bounds, show)
    }

    /// Reads a share as a percentage.
    pub fn share(&mut self, key: &str, bounds: Bounds<f64>) -> ParseResult<f64> {
        let number = self.number_token(key)?;
        if !self.accept_symbol('%') {
            return self.wrong_unit(key, "%");
        }
        number.within(key, quantity::share(number.text), bounds, quantity::share_text)
    }

    /// Reads a factor such as `x 1.8`.
    pub fn factor(&mut self, key: &str, bounds: Bounds<f64>) -> ParseResult<f64> {
        self.require("x")?;
        let number = self.number_token(key)?;
        let show = |n: f64| format!("x {}", quantity::number_text(n));
        number.within(key, quantity::number(number.text), bounds, show)
    }

    /// Reads a time span.
    pub fn span(&mut self, key: &str, bounds: Bounds<Span>) -> ParseResult<Span> {
        let number = self.number_token(key)?;
        let unit = self.unit_factor(key, &SPAN_UNITS, SPAN_UNIT_NAMES)?;
        let Some(span) = quantity::scaled_integer(number.text, unit) else {
            return number.error(Reason::TooPrecise { key: key.into(), smallest: "a nanosecond" });
        };
        number.within(key, span, bounds, quantity::span_text)
    }

    /// Reads a size in bytes.
    pub fn size(&mut self, key: &str, bounds: Bounds<u32>) -> ParseResult<u32> {
        let number = self.number_token(key)?;
        let unit = self.unit_factor(key, &SIZE_UNITS, SIZE_UNIT_NAMES)?;
        let Some(size) = quantity::scaled_integer(number.text, unit) else {
            return number.error(Reason::TooPrecise { key: key.into(), smallest: "a byte" });
        };
        let size = u32::try_from(size).unwrap_or(u32::MAX);
        number.within(key, size, bounds, quantity::size_text)
    }

    /// Reads a range such as `3 s to 5 s`.
    pub fn span_range(&mut self, key: &str, bounds: Bounds<Span>) -> ParseResult<(Span, Span)> {
        let position = self.position();
        let from = self.span(key, bounds)?;
        self.require("to")?;
        let to = self.span(key, bounds)?;
        ordered_range(position, key, from, to, quantity::span_text)
    }

    /// Reads a range such as `15 % to 50 %`.
    pub fn share_range(&mut self, key: &str, bounds: Bounds<f64>) -> ParseResult<(f64, f64)> {
        let position = self.position();
        let from = self.share(key, bounds)?;
        self.require("to")?;
        let to = self.share(key, bounds)?;
        ordered_range(position, key, from, to, quantity::share_text)
    }
}

fn with_article(kind: &str) -> String {
    format!("{} {kind}", if kind.starts_with(['a', 'e', 'i', 'o', 'u']) { "an" } else { "a" })
}

fn ordered_range<T: PartialOrd>(
    position: Position,
    key: &str,
    from: T,
    to: T,
    show: impl Fn(T) -> String,
) -> ParseResult<(T, T)> {
    if from <= to {
        return Ok((from, to));
    }
    Err(ParseError::new(position, Reason::InvertedRange { key: key.into(), from: show(from), to: show(to) }))
}

impl NumberToken<'_> {
    fn error<T>(&self, reason: Reason) -> ParseResult<T> {
        Err(ParseError::new(self.position, reason))
    }

    fn within<T: PartialOrd + Copy>(
        &self,
        key: &str,
        value: T,
        (low, high): Bounds<T>,
        show: impl Fn(T) -> String,
    ) -> ParseResult<T> {
        if low <= value && value <= high {
            return Ok(value);
        }
        // The message shows the text of the file, since `value` may be saturated.
        let found = truncated(self.text);
        self.error(Reason::OutOfRange { key: key.into(), found, low: show(low), high: show(high) })
    }
}
