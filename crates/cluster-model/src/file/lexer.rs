//! Splits a line into tokens: words, numbers, quoted strings and symbols.

use super::errors::{is_printable, truncated, ParseError, ParseResult, Position, Reason};

/// A token and the column where it begins.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Token<'a> {
    pub column: u32,
    pub kind: TokenKind<'a>,
}

/// The kinds of tokens.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TokenKind<'a> {
    /// A keyword, a unit or a name.
    Word(&'a str),
    /// Digits, optionally followed by a decimal point and more digits.
    Number(&'a str),
    /// A number after a minus sign, without the sign.
    NegativeNumber(&'a str),
    /// A quoted string, without the quotes and with its escapes resolved.
    Quoted(String),
    /// One of `% , : |`.
    Symbol(char),
    /// The end of the line or the beginning of a comment.
    End,
}

impl TokenKind<'_> {
    /// Describes the token for a message.
    pub fn describe(&self) -> String {
        match self {
            TokenKind::Word(word) | TokenKind::Number(word) => format!("`{}`", truncated(word)),
            TokenKind::NegativeNumber(number) => format!("`-{}`", truncated(number)),
            TokenKind::Quoted(_) => "a quoted string".into(),
            TokenKind::Symbol(symbol) => format!("`{symbol}`"),
            TokenKind::End => "the end of the line".into(),
        }
    }
}

/// Splits a line (without its line ending) into tokens. The last one is always [`TokenKind::End`].
pub(super) fn tokenize(number: u32, text: &str) -> ParseResult<Vec<Token<'_>>> {
    let mut lexer = Lexer { line: number, text, offset: 0, column: 1 };
    lexer.reject_control_characters()?;
    let mut tokens = Vec::new();
    loop {
        lexer.skip_blanks();
        let column = lexer.column;
        let kind = lexer.next()?;
        let last = kind == TokenKind::End;
        tokens.push(Token { column, kind });
        if last {
            return Ok(tokens);
        }
    }
}

struct Lexer<'a> {
    line: u32,
    text: &'a str,
    /// Byte offset of the next character.
    offset: usize,
    column: u32,
}

impl<'a> Lexer<'a> {
    fn error<T>(&self, column: u32, reason: Reason) -> ParseResult<T> {
        Err(ParseError::new(Position { line: self.line, column }, reason))
    }

    fn reject_control_characters(&self) -> ParseResult<()> {
        match (1..).zip(self.text.chars()).find(|(_, c)| *c != '\t' && !is_printable(*c)) {
            Some((column, c)) => self.error(column, Reason::ControlCharacter(c)),
            None => Ok(()),
        }
    }

    fn remaining(&self) -> &'a str {
        &self.text[self.offset..]
    }

    fn advance(&mut self, bytes: usize) -> &'a str {
        let consumed = &self.remaining()[..bytes];
        self.offset += bytes;
        self.column += consumed.chars().count() as u32;
        consumed
    }

    fn take_while(&mut self, accepts: impl Fn(char) -> bool) -> &'a str {
        let remaining = self.remaining();
        self.advance(remaining.find(|c| !accepts(c)).unwrap_or(remaining.len()))
    }

    fn skip_blanks(&mut self) {
        self.take_while(|c| c == ' ' || c == '\t');
    }

    fn next(&mut self) -> ParseResult<TokenKind<'a>> {
        let mut upcoming = self.remaining().chars();
        let Some(first) = upcoming.next().filter(|c| *c != '#') else { return Ok(TokenKind::End) };
        match first {
            '"' => self.quoted(),
            '%' | ',' | ':' | '|' => {
                self.advance(1);
                Ok(TokenKind::Symbol(first))
            }
            '0'..='9' => Ok(TokenKind::Number(self.number())),
            '-' if upcoming.next().is_some_and(|c| c.is_ascii_digit()) => {
                self.advance(1);
                Ok(TokenKind::NegativeNumber(self.number()))
            }
            'a'..='z' | 'A'..='Z' => {
                Ok(TokenKind::Word(self.take_while(|c| c.is_ascii_alphanumeric() || "-_/'".contains(c))))
            }
            _ => self.error(self.column, Reason::UnexpectedCharacter(first)),
        }
    }

    fn number(&mut self) -> &'a str {
        let remaining = self.remaining();
        let digits = |text: &str| text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let integer_len = digits(remaining);
        let fraction_len = remaining[integer_len..].strip_prefix('.').map_or(0, digits);
        self.advance(if fraction_len > 0 { integer_len + 1 + fraction_len } else { integer_len })
    }

    fn quoted(&mut self) -> ParseResult<TokenKind<'a>> {
        let begin = self.column;
        self.advance(1);
        let mut text = String::new();
        loop {
            text.push_str(self.take_while(|c| c != '"' && c != '\\'));
            let mut upcoming = self.remaining().chars();
            match (upcoming.next(), upcoming.next()) {
                (Some('"'), _) => {
                    self.advance(1);
                    return Ok(TokenKind::Quoted(text));
                }
                (Some(_), Some(escaped @ ('"' | '\\'))) => {
                    text.push(escaped);
                    self.advance(2);
                }
                (Some(_), Some(_)) => return self.error(self.column, Reason::InvalidEscape),
                _ => return self.error(begin, Reason::UnclosedString),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kinds(text: &str) -> Vec<TokenKind<'_>> {
        tokenize(1, text).unwrap().into_iter().map(|token| token.kind).collect()
    }

    #[test]
    fn splits_a_number_from_a_unit_without_a_blank() {
        use TokenKind::*;
        assert_eq!(
            kinds("250ms 4.5 units/s"),
            [Number("250"), Word("ms"), Number("4.5"), Word("units/s"), End]
        );
        assert_eq!(kinds("41% # of 3"), [Number("41"), Symbol('%'), End]);
    }

    #[test]
    fn counts_columns_in_characters() {
        let columns: Vec<u32> =
            tokenize(1, "\"\u{e9}\\\"\u{e9}\"\t7").unwrap().iter().map(|t| t.column).collect();
        assert_eq!(columns, [1, 8, 9]);
    }
}
