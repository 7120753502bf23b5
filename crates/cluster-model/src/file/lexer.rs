//! The words, figures, texts and marks of a line.

use super::errors::{is_printable, short, Fault, Parsed, Place, Reason};

/// A piece of a line and where it begins.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Token<'a> {
    pub column: u32,
    pub kind: Kind<'a>,
}

/// A piece of a line.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Kind<'a> {
    /// A keyword, a unit or a name.
    Word(&'a str),
    /// Digits, perhaps with a point and more digits.
    Figure(&'a str),
    /// A figure after a minus, without it.
    Negative(&'a str),
    /// A text in quotes.
    Text(String),
    /// One of `% , : |`.
    Mark(char),
    /// Nothing more.
    End,
}

impl Kind<'_> {
    /// For a message.
    pub fn describe(&self) -> String {
        match self {
            Kind::Word(word) | Kind::Figure(word) => format!("`{}`", short(word)),
            Kind::Negative(figure) => format!("`-{}`", short(figure)),
            Kind::Text(_) => "a text in quotes".into(),
            Kind::Mark(mark) => format!("`{mark}`"),
            Kind::End => "the end of the line".into(),
        }
    }
}

/// Takes a line (without its end) to pieces. The last one is always [`Kind::End`].
pub(super) fn tokens(number: u32, text: &str) -> Parsed<Vec<Token<'_>>> {
    let mut lexer = Lexer { line: number, text, at: 0, column: 1 };
    lexer.refuse_control_characters()?;
    let mut tokens = Vec::new();
    loop {
        lexer.skip_blanks();
        let column = lexer.column;
        let kind = lexer.next()?;
        let last = kind == Kind::End;
        tokens.push(Token { column, kind });
        if last {
            return Ok(tokens);
        }
    }
}

struct Lexer<'a> {
    line: u32,
    text: &'a str,
    /// Byte.
    at: usize,
    column: u32,
}

impl<'a> Lexer<'a> {
    fn fault<T>(&self, column: u32, reason: Reason) -> Parsed<T> {
        Err(Fault::new(Place { line: self.line, column }, reason))
    }

    fn refuse_control_characters(&self) -> Parsed<()> {
        match (1..).zip(self.text.chars()).find(|(_, c)| *c != '\t' && !is_printable(*c)) {
            Some((column, c)) => self.fault(column, Reason::Control(c)),
            None => Ok(()),
        }
    }

    fn rest(&self) -> &'a str {
        &self.text[self.at..]
    }

    fn advance(&mut self, bytes: usize) -> &'a str {
        let taken = &self.rest()[..bytes];
        self.at += bytes;
        self.column += taken.chars().count() as u32;
        taken
    }

    fn take_while(&mut self, wanted: impl Fn(char) -> bool) -> &'a str {
        let rest = self.rest();
        self.advance(rest.find(|c| !wanted(c)).unwrap_or(rest.len()))
    }

    fn skip_blanks(&mut self) {
        self.take_while(|c| c == ' ' || c == '\t');
    }

    fn next(&mut self) -> Parsed<Kind<'a>> {
        let mut ahead = self.rest().chars();
        let Some(first) = ahead.next().filter(|c| *c != '#') else { return Ok(Kind::End) };
        match first {
            '"' => self.quoted(),
            '%' | ',' | ':' | '|' => {
                self.advance(1);
                Ok(Kind::Mark(first))
            }
            '0'..='9' => Ok(Kind::Figure(self.figure())),
            '-' if ahead.next().is_some_and(|c| c.is_ascii_digit()) => {
                self.advance(1);
                Ok(Kind::Negative(self.figure()))
            }
            'a'..='z' | 'A'..='Z' => {
                Ok(Kind::Word(self.take_while(|c| c.is_ascii_alphanumeric() || "-_/'".contains(c))))
            }
            _ => self.fault(self.column, Reason::Stray(first)),
        }
    }

    fn figure(&mut self) -> &'a str {
        let rest = self.rest();
        let digits = |text: &str| text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let whole = digits(rest);
        let part = rest[whole..].strip_prefix('.').map_or(0, digits);
        self.advance(if part > 0 { whole + 1 + part } else { whole })
    }

    fn quoted(&mut self) -> Parsed<Kind<'a>> {
        let begin = self.column;
        self.advance(1);
        let mut text = String::new();
        loop {
            text.push_str(self.take_while(|c| c != '"' && c != '\\'));
            let mut ahead = self.rest().chars();
            match (ahead.next(), ahead.next()) {
                (Some('"'), _) => {
                    self.advance(1);
                    return Ok(Kind::Text(text));
                }
                (Some(_), Some(escaped @ ('"' | '\\'))) => {
                    text.push(escaped);
                    self.advance(2);
                }
                (Some(_), Some(_)) => return self.fault(self.column, Reason::Escape),
                _ => return self.fault(begin, Reason::Unclosed),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kinds(text: &str) -> Vec<Kind<'_>> {
        tokens(1, text).unwrap().into_iter().map(|token| token.kind).collect()
    }

    #[test]
    fn a_unit_may_touch_its_figure() {
        use Kind::*;
        assert_eq!(
            kinds("250ms 4.5 units/s"),
            [Figure("250"), Word("ms"), Figure("4.5"), Word("units/s"), End]
        );
        assert_eq!(kinds("41% # of 3"), [Figure("41"), Mark('%'), End]);
    }

    #[test]
    fn columns_count_characters() {
        let columns: Vec<u32> =
            tokens(1, "\"\u{e9}\\\"\u{e9}\"\t7").unwrap().iter().map(|t| t.column).collect();
        assert_eq!(columns, [1, 8, 9]);
    }
}
