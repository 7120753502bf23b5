//! A line, read piece by piece.

use super::errors::{short, Fault, Parsed, Place, Reason};
use super::figure::{self, SIZE_NAMES, SIZE_UNITS, SPAN_NAMES, SPAN_UNITS};
use super::lexer::{tokens, Kind, Token};
use super::near::nearest;
use crate::Span;

/// The least and the most of a figure.
pub(super) type Bounds<T> = (T, T);

/// Words that join two figures: one of them after a figure means that its unit is missing.
const JOINING: [&str; 8] = ["to", "for", "x", "of", "over", "and", "in", "from"];

/// A line and how far it has been read.
pub(super) struct Line<'a> {
    pub number: u32,
    tokens: Vec<Token<'a>>,
    next: usize,
}

/// A figure as it stands in the text.
struct Figure<'a> {
    place: Place,
    text: &'a str,
}

impl<'a> Line<'a> {
    pub fn new(number: u32, text: &'a str) -> Parsed<Line<'a>> {
        Ok(Line { number, tokens: tokens(number, text)?, next: 0 })
    }

    /// The next piece. The last one, the end, stays.
    pub fn peek(&self) -> &Kind<'a> {
        &self.tokens[self.next].kind
    }

    /// The piece after the next.
    fn peek_second(&self) -> &Kind<'a> {
        &self.tokens[(self.next + 1).min(self.tokens.len() - 1)].kind
    }

    /// Where the next piece begins.
    pub fn place(&self) -> Place {
        Place { line: self.number, column: self.tokens[self.next].column }
    }

    fn skip(&mut self) {
        self.next = (self.next + 1).min(self.tokens.len() - 1);
    }

    pub fn is_at_end(&self) -> bool {
        *self.peek() == Kind::End
    }

    /// Something else should stand here.
    pub fn expected<T>(&self, wanted: impl Into<String>) -> Parsed<T> {
        self.fault(Reason::Expected { wanted: wanted.into(), found: self.peek().describe() })
    }

    /// Something is wrong with the next piece.
    pub fn fault<T>(&self, reason: Reason) -> Parsed<T> {
        Err(Fault::new(self.place(), reason))
    }

    /// The next piece is a word that is none of these.
    pub fn unknown<T>(&self, what: &'static str, word: &str, known: &[&str]) -> Parsed<T> {
        let near = nearest(word, known.iter().copied());
        self.fault(Reason::Unknown { what, word: short(word), near })
    }

    /// Takes this word, if it comes next.
    pub fn accept(&mut self, word: &str) -> bool {
        let here = *self.peek() == Kind::Word(word);
        if here {
            self.skip();
        }
        here
    }

    /// Takes this mark, if it comes next.
    pub fn accept_mark(&mut self, mark: char) -> bool {
        let here = *self.peek() == Kind::Mark(mark);
        if here {
            self.skip();
        }
        here
    }

    /// Takes a comma, if a figure comes behind it.
    pub fn accept_comma_before_figure(&mut self) -> bool {
        matches!(self.peek_second(), Kind::Figure(_)) && self.accept_mark(',')
    }

    /// Takes the end of one thing of a list: true if a comma announces another.
    pub fn another(&mut self) -> Parsed<bool> {
        if self.accept_mark(',') {
            return Ok(true);
        }
        if self.is_at_end() {
            return Ok(false);
        }
        self.expected("a comma or the end of the line")
    }

    pub fn require(&mut self, word: &str) -> Parsed<()> {
        if self.accept(word) {
            return Ok(());
        }
        self.expected(format!("`{word}`"))
    }

    pub fn require_mark(&mut self, mark: char) -> Parsed<()> {
        if self.accept_mark(mark) {
            return Ok(());
        }
        self.expected(format!("`{mark}`"))
    }

    pub fn require_end(&self) -> Parsed<()> {
        if self.is_at_end() {
            return Ok(());
        }
        self.expected("the end of the line")
    }

    /// Any word.
    pub fn word(&mut self, wanted: &str) -> Parsed<&'a str> {
        let Kind::Word(word) = *self.peek() else { return self.expected(wanted) };
        self.skip();
        Ok(word)
    }

    /// One of these words; `what` they are, for the message.
    pub fn one_of(&mut self, what: &'static str, known: &[&'static str]) -> Parsed<&'static str> {
        let Kind::Word(word) = *self.peek() else { return self.expected(with_article(what)) };
        let Some(found) = known.iter().find(|known| **known == word) else {
            return self.unknown(what, word, known);
        };
        self.skip();
        Ok(found)
    }

    /// The name of a class or plan.
    pub fn name(&mut self, what: &str) -> Parsed<&'a str> {
        let Kind::Word(word) = *self.peek() else { return self.expected(format!("the name of a {what}")) };
        if word.len() > 32 || word.contains(['/', '\'']) {
            return self.fault(Reason::Name(short(word)));
        }
        self.skip();
        Ok(word)
    }

    /// A text in quotes.
    pub fn text(&mut self, wanted: &str) -> Parsed<String> {
        let Kind::Text(text) = self.peek().clone() else { return self.expected(wanted) };
        self.skip();
        Ok(text)
    }

    /// Whether a figure comes next.
    pub fn is_at_figure(&self) -> bool {
        matches!(self.peek(), Kind::Figure(_) | Kind::Negative(_))
    }

    /// Whether a figure in per cent comes next.
    pub fn is_at_share(&self) -> bool {
        self.is_at_figure() && *self.peek_second() == Kind::Mark('%')
    }

    fn figure(&mut self, key: &str) -> Parsed<Figure<'a>> {
        let place = self.place();
        match *self.peek() {
            Kind::Figure(text) => {
                self.skip();
                Ok(Figure { place, text })
            }
            Kind::Negative(text) => self.fault(Reason::Negative { key: key.into(), found: short(text) }),
            _ => self.expected(format!("a figure for `{key}`")),
        }
    }

    /// The unit after a figure is missing, or one of something else.
    fn wrong_unit<T>(&self, key: &str, units: &'static str) -> Parsed<T> {
        let key = key.to_owned();
        match *self.peek() {
            Kind::Word(word) if !JOINING.contains(&word) => {
                self.fault(Reason::WrongUnit { key, units, found: short(word) })
            }
            Kind::Mark('%') => self.fault(Reason::WrongUnit { key, units, found: "%".into() }),
            _ => self.fault(Reason::NoUnit { key, units }),
        }
    }

    /// Takes one of these units and gives its factor.
    fn unit_of(&mut self, key: &str, units: &[(&str, u64)], names: &'static str) -> Parsed<u64> {
        let Kind::Word(word) = *self.peek() else { return self.wrong_unit(key, names) };
        let Some((_, factor)) = units.iter().find(|(name, _)| *name == word) else {
            return self.wrong_unit(key, names);
        };
        self.skip();
        Ok(*factor)
    }

    /// Takes this unit, in the plural or the singular; an empty one is none.
    fn unit(&mut self, key: &str, unit: &'static str) -> Parsed<()> {
        if unit.is_empty() || self.accept(unit) || unit.strip_suffix('s').is_some_and(|one| self.accept(one))
        {
            return Ok(());
        }
        self.wrong_unit(key, unit)
    }

    /// A whole number, with a unit unless that is empty.
    pub fn count(&mut self, key: &str, bounds: Bounds<u32>, unit: &'static str) -> Parsed<u32> {
        let figure = self.figure(key)?;
        let Some(count) = figure::whole(figure.text, 1) else {
            return figure.fault(Reason::Whole { key: key.into(), found: short(figure.text) });
        };
        self.unit(key, unit)?;
        let show = |n: u64| format!("{n} {unit}").trim_end().to_owned();
        let bounds = (u64::from(bounds.0), u64::from(bounds.1));
        // Within the bounds of a u32, hence no loss.
        figure.within(key, count, bounds, show).map(|count| count as u32)
    }

    /// A number, with a unit unless that is empty.
    pub fn number(&mut self, key: &str, bounds: Bounds<f64>, unit: &'static str) -> Parsed<f64> {
        let figure = self.figure(key)?;
        self.unit(key, unit)?;
        let show = |n: f64| format!("{} {unit}", figure::number_text(n)).trim_end().to_owned();
        figure.within(key, figure::number(figure.text), bounds, show)
    }

    /// A share, in per cent.
    pub fn share(&mut self, key: &str, bounds: Bounds<f64>) -> Parsed<f64> {
        let figure = self.figure(key)?;
        if !self.accept_mark('%') {
            return self.wrong_unit(key, "%");
        }
        figure.within(key, figure::share(figure.text), bounds, figure::share_text)
    }

    /// A factor: `x 1.8`.
    pub fn times(&mut self, key: &str, bounds: Bounds<f64>) -> Parsed<f64> {
        self.require("x")?;
        let figure = self.figure(key)?;
        let show = |n: f64| format!("x {}", figure::number_text(n));
        figure.within(key, figure::number(figure.text), bounds, show)
    }

    /// A span of time.
    pub fn span(&mut self, key: &str, bounds: Bounds<Span>) -> Parsed<Span> {
        let figure = self.figure(key)?;
        let unit = self.unit_of(key, &SPAN_UNITS, SPAN_NAMES)?;
        let Some(span) = figure::whole(figure.text, unit) else {
            return figure.fault(Reason::TooFine { key: key.into(), smallest: "a nanosecond" });
        };
        figure.within(key, span, bounds, figure::span_text)
    }

    /// A size in bytes.
    pub fn size(&mut self, key: &str, bounds: Bounds<u32>) -> Parsed<u32> {
        let figure = self.figure(key)?;
        let unit = self.unit_of(key, &SIZE_UNITS, SIZE_NAMES)?;
        let Some(size) = figure::whole(figure.text, unit) else {
            return figure.fault(Reason::TooFine { key: key.into(), smallest: "a byte" });
        };
        let size = u32::try_from(size).unwrap_or(u32::MAX);
        figure.within(key, size, bounds, figure::size_text)
    }

    /// `3 s to 5 s`.
    pub fn spans(&mut self, key: &str, bounds: Bounds<Span>) -> Parsed<(Span, Span)> {
        let place = self.place();
        let from = self.span(key, bounds)?;
        self.require("to")?;
        let to = self.span(key, bounds)?;
        upward(place, key, from, to, figure::span_text)
    }

    /// `15 % to 50 %`.
    pub fn shares(&mut self, key: &str, bounds: Bounds<f64>) -> Parsed<(f64, f64)> {
        let place = self.place();
        let from = self.share(key, bounds)?;
        self.require("to")?;
        let to = self.share(key, bounds)?;
        upward(place, key, from, to, figure::share_text)
    }
}

fn with_article(what: &str) -> String {
    format!("{} {what}", if what.starts_with(['a', 'e', 'i', 'o', 'u']) { "an" } else { "a" })
}

fn upward<T: PartialOrd>(
    place: Place,
    key: &str,
    from: T,
    to: T,
    show: impl Fn(T) -> String,
) -> Parsed<(T, T)> {
    if from <= to {
        return Ok((from, to));
    }
    Err(Fault::new(place, Reason::Backwards { key: key.into(), from: show(from), to: show(to) }))
}

impl Figure<'_> {
    fn fault<T>(&self, reason: Reason) -> Parsed<T> {
        Err(Fault::new(self.place, reason))
    }

    fn within<T: PartialOrd + Copy>(
        &self,
        key: &str,
        value: T,
        (low, high): Bounds<T>,
        show: impl Fn(T) -> String,
    ) -> Parsed<T> {
        if low <= value && value <= high {
            return Ok(value);
        }
        // As it stands in the text: what was read may be cut to what the type holds.
        let found = short(self.text);
        self.fault(Reason::Range { key: key.into(), found, low: show(low), high: show(high) })
    }
}
