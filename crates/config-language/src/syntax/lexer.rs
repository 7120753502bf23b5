//! Words, numbers, texts, marks, comments and line ends.

use std::collections::BTreeSet;

use super::Fault;
use crate::diagnostic::{is_printable, short, Spot};

/// What a token is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Word,
    Number,
    /// 16 hex digits.
    Hex,
    Text,
    /// One of `{ } [ ] = , %` and `..`.
    Mark,
    Comment,
    Newline,
    /// What cannot be read, and was said so.
    Bad,
    End,
}

/// A piece of the text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Token<'a> {
    pub kind: Kind,
    pub text: &'a str,
    pub spot: Spot,
}

/// The pieces of a text. The last is the end.
#[derive(Debug)]
pub(crate) struct Lexed<'a> {
    pub tokens: Vec<Token<'a>>,
    pub faults: Vec<Fault>,
    /// Lines with something that cannot be read.
    pub bad_lines: BTreeSet<u32>,
    pub steps: usize,
}

/// Cuts a text into pieces.
pub(crate) fn lex(text: &str) -> Lexed<'_> {
    let text = text.strip_prefix('\u{FEFF}').unwrap_or(text);
    let out = Lexed { tokens: Vec::new(), faults: Vec::new(), bad_lines: BTreeSet::new(), steps: 0 };
    let mut lexer = Lexer { text, at: 0, line: 1, column: 1, unclosed_line: None, out };
    while lexer.step() {}
    lexer.out
}

struct Lexer<'a> {
    text: &'a str,
    at: usize,
    line: u32,
    column: u32,
    /// The last line with a text that has no end.
    unclosed_line: Option<u32>,
    out: Lexed<'a>,
}

/// Where a token began.
#[derive(Clone, Copy)]
struct Start {
    at: usize,
    line: u32,
    column: u32,
}

impl<'a> Lexer<'a> {
    /// Takes one piece; false at the end.
    fn step(&mut self) -> bool {
        let start = self.here();
        let Some(c) = self.peek() else {
            self.push(Kind::End, start);
            return false;
        };
        match c {
            ' ' | '\t' => self.bump(),
            '\n' => self.newline(start),
            '\r' if self.rest().starts_with("\r\n") => {
                self.bump();
                self.newline(start);
            }
            '#' => self.comment(start),
            '"' => self.quoted(start),
            '{' | '}' | '[' | ']' | '=' | ',' | '%' => {
                self.bump();
                self.push(Kind::Mark, start);
            }
            '.' if self.rest().starts_with("..") => self.dots(start),
            c if c.is_ascii_digit() => self.number(start),
            c if begins_word(c) => self.word(start),
            '/' if self.peek_second().is_some_and(char::is_alphabetic) => self.word(start),
            c => self.stray(start, c),
        }
        true
    }

    fn rest(&self) -> &'a str {
        &self.text[self.at..]
    }

    fn peek(&self) -> Option<char> {
        self.rest().chars().next()
    }

    fn peek_second(&self) -> Option<char> {
        self.rest().chars().nth(1)
    }

    fn bump(&mut self) {
        if let Some(c) = self.peek() {
            self.at += c.len_utf8();
            self.column += 1;
            self.out.steps += 1;
        }
    }

    fn bump_while(&mut self, take: impl Fn(char) -> bool) {
        while self.peek().is_some_and(&take) {
            self.bump();
        }
    }

    fn here(&self) -> Start {
        Start { at: self.at, line: self.line, column: self.column }
    }

    fn spot(&self, start: Start) -> Spot {
        Spot { line: start.line, column: start.column, length: self.column.saturating_sub(start.column) }
    }

    fn push(&mut self, kind: Kind, start: Start) {
        let token = Token { kind, text: &self.text[start.at..self.at], spot: self.spot(start) };
        self.out.tokens.push(token);
    }

    /// Says what is wrong, the first time in a line: the rest of such a line may follow from it.
    fn fault(&mut self, fault: Fault) {
        if self.out.bad_lines.insert(fault.spot.line) {
            self.out.faults.push(fault);
        }
    }

    fn bad(&mut self, start: Start, code: &'static str, reason: String, help: Option<&str>) {
        let fault = Fault { help: help.map(str::to_owned), ..Fault::new(code, self.spot(start), reason) };
        self.fault(fault);
        self.push(Kind::Bad, start);
    }

    fn newline(&mut self, start: Start) {
        self.bump();
        self.push(Kind::Newline, start);
        self.line += 1;
        self.column = 1;
    }

    fn at_line_end(&self) -> bool {
        let rest = self.rest();
        rest.is_empty() || rest.starts_with('\n') || rest.starts_with("\r\n")
    }

    fn dots(&mut self, start: Start) {
        self.bump_while(|c| c == '.');
        let dots = &self.text[start.at..self.at];
        if dots == ".." {
            return self.push(Kind::Mark, start);
        }
        let reason = format!("`{}` means nothing here", short(dots));
        self.bad(start, "stray", reason, Some("a range has two points: `1..99`"));
    }

    fn comment(&mut self, start: Start) {
        while !self.at_line_end() {
            self.refuse_control();
            self.bump();
        }
        self.push(Kind::Comment, start);
    }

    /// Refuses a character that a terminal would act on, within a text or a comment; true if it is one.
    fn refuse_control(&mut self) -> bool {
        let Some(c) = self.peek().filter(|c| !is_printable(*c) && *c != '\t') else { return false };
        let spot = Spot { length: 1, ..self.spot(self.here()) };
        self.fault(control(spot, c));
        true
    }

    fn quoted(&mut self, start: Start) {
        let mut fine = true;
        self.bump();
        loop {
            if self.at_line_end() {
                return self.unclosed(start);
            }
            fine &= !self.refuse_control();
            match self.peek() {
                Some('"') => break,
                Some('\\') => fine &= self.escape(),
                _ => self.bump(),
            }
        }
        self.bump();
        self.push(if fine { Kind::Text } else { Kind::Bad }, start);
    }

    fn unclosed(&mut self, start: Start) {
        // A text that goes on in the next line ends there with what looks like another one.
        let goes_on = self.unclosed_line.replace(start.line).is_some_and(|line| line + 1 == start.line);
        if goes_on {
            self.out.bad_lines.insert(start.line);
            return self.push(Kind::Bad, start);
        }
        let reason = "the text that begins here has no closing quote".into();
        self.bad(start, "unclosed-text", reason, None);
    }

    fn escape(&mut self) -> bool {
        let start = self.here();
        self.bump();
        let known = matches!(self.peek(), Some('"' | '\\'));
        if known {
            self.bump();
        } else {
            let spot = self.spot(start);
            self.fault(Fault::new("escape", spot, "in a text, `\\` stands only before `\"` and `\\`"));
        }
        known
    }

    fn word(&mut self, start: Start) {
        self.bump();
        loop {
            match self.peek() {
                Some(c) if continues_word(c) => self.bump(),
                Some('/') if self.peek_second().is_some_and(char::is_alphanumeric) => self.bump(),
                _ => break,
            }
        }
        if self.peek() == Some('.') && self.peek_second().is_some_and(char::is_alphabetic) {
            self.bump_while(|c| continues_word(c) || c == '.');
            let text = short(&self.text[start.at..self.at]);
            let help = format!("a text stands in quotes: `\"{text}\"`");
            return self.bad(start, "stray", format!("`{text}` means nothing here"), Some(&help));
        }
        let text = &self.text[start.at..self.at];
        self.push(if is_hex_key(text) { Kind::Hex } else { Kind::Word }, start);
    }

    fn number(&mut self, start: Start) {
        let run = self.rest().split(|c: char| !(c.is_ascii_alphanumeric() || c == '_')).next().unwrap_or("");
        // A number may only grow: what is taken here is within the run.
        if is_hex_key(run) {
            self.bump_while(|c| c.is_ascii_hexdigit());
            return self.push(Kind::Hex, start);
        }
        // `0B` is nothing in bytes.
        let zero = run.starts_with('0') && run[1..].starts_with(|c: char| c.is_ascii_digit() || c == '_');
        if zero && run.bytes().all(|b| b.is_ascii_hexdigit() || b == b'_') {
            return self.begins_with_zero(start, run);
        }
        if run.starts_with("0x") || run.starts_with("0X") {
            self.bump_while(|c| c.is_ascii_alphanumeric() || c == '_');
            let help = Some("a customer is its number, or all 16 hex digits of the wire without `0x`");
            let text = short(&self.text[start.at..self.at]);
            return self.bad(start, "number", format!("`{text}` is no number"), help);
        }
        self.bump_while(is_digit);
        if self.peek() == Some('.') && self.peek_second().is_some_and(|c| c.is_ascii_digit()) {
            self.bump();
            self.bump_while(is_digit);
        }
        if self.has_exponent() {
            self.bump();
            self.bump();
            self.bump_while(|c| c.is_ascii_digit());
            let text = short(&self.text[start.at..self.at]);
            let reason = format!("`{text}` has an exponent, which figures do not have");
            return self.bad(start, "number", reason, Some("write the digits: `30_000`"));
        }
        self.end_number(start);
    }

    /// `007`: a number without its zeros, or a customer with too few digits; or the thousands of `1 000`.
    fn begins_with_zero(&mut self, start: Start, run: &str) {
        let last = self.out.tokens.last().filter(|last| last.kind == Kind::Number);
        let thousands = last.filter(|last| last.spot.line == start.line && run.len() == 3);
        let help = match thousands {
            Some(last) => format!("write thousands apart with `_`: `{}_{run}`", short(last.text)),
            None => "a number begins with no zero, and a customer of the wire has all 16 hex digits".into(),
        };
        let reason = format!("`{}` begins with a zero", short(run));
        self.bump_while(|c| c.is_ascii_hexdigit() || c == '_');
        self.bad(start, "number", reason, Some(&help));
    }

    fn has_exponent(&self) -> bool {
        let mut next = self.rest().chars();
        let e = matches!(next.next(), Some('e' | 'E'));
        let mut after = next.skip_while(|c| matches!(c, '+' | '-'));
        e && after.next().is_some_and(|c| c.is_ascii_digit())
    }

    fn end_number(&mut self, start: Start) {
        let rest = self.rest();
        if rest.starts_with('.') && !rest.starts_with("..") {
            self.bump();
            self.bump_while(|c| c.is_ascii_digit() || c == '.');
            let text = short(&self.text[start.at..self.at]);
            let reason = format!("`{text}` is no number: a point stands between two digits, and once");
            return self.bad(start, "number", reason, None);
        }
        let text = &self.text[start.at..self.at];
        let apart = text.split(['.', '_']).all(|part| !part.is_empty());
        if !apart {
            let reason = format!("in `{}`, each `_` has to stand between two digits", short(text));
            return self.bad(start, "number", reason, None);
        }
        self.push(Kind::Number, start);
    }

    fn stray(&mut self, start: Start, c: char) {
        self.bump();
        if !is_printable(c) {
            let spot = self.spot(start);
            self.fault(control(spot, c));
            return self.push(Kind::Bad, start);
        }
        let next = self.peek();
        match c {
            '-' if next.is_some_and(|c| c.is_ascii_digit() || c == '.') => {
                self.bump_while(|c| is_digit(c) || c == '.');
                let text = short(&self.text[start.at..self.at]);
                let reason = format!("`{text}` is below zero, which no figure may be");
                self.bad(start, "negative", reason, None);
            }
            '.' if next.is_some_and(|c| c.is_ascii_digit()) => {
                self.bump_while(is_digit);
                let text = short(&self.text[start.at..self.at]);
                let help = format!("write `0{text}`");
                self.bad(start, "number", format!("`{text}` has no digit before its point"), Some(&help));
            }
            c => self.bad(
                start,
                "stray",
                format!("the character `{c}` means nothing here"),
                stray_help(c, next),
            ),
        }
    }
}

fn stray_help(c: char, next: Option<char>) -> Option<&'static str> {
    match (c, next) {
        ('/', Some('/' | '*')) => Some("a comment begins with `#`"),
        ('/', _) => Some("a unit such as `units/s` is written without blanks"),
        ('\'' | '\u{201C}' | '\u{201D}' | '\u{201E}' | '\u{2018}' | '\u{2019}' | '`', _) => {
            Some("a text stands between two `\"`")
        }
        (':', _) => Some("a key and its value have a `=` between them"),
        (';', _) => Some("a line end ends a setting"),
        ('(' | ')', _) => Some("a list stands between `[` and `]`"),
        ('+', _) => Some("a number has no sign"),
        ('$', _) => Some("a name that `let` gave stands alone, without a sign"),
        _ => None,
    }
}

fn control(spot: Spot, c: char) -> Fault {
    let help = (c == '\r').then(|| "lines end with LF or CR LF".to_owned());
    let reason = format!("the character U+{:04X} is not allowed", u32::from(c));
    Fault { help, ..Fault::new("control", spot, reason) }
}

fn is_digit(c: char) -> bool {
    c.is_ascii_digit() || c == '_'
}

fn begins_word(c: char) -> bool {
    c.is_alphabetic() || c == '_'
}

fn continues_word(c: char) -> bool {
    c.is_alphanumeric() || c == '_' || c == '-'
}

/// Exactly 16 hex digits: a customer as the wire names it.
fn is_hex_key(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kinds(text: &str) -> Vec<(Kind, &str)> {
        lex(text).tokens.iter().map(|token| (token.kind, token.text)).collect()
    }

    #[test]
    fn numbers_units_ranges_and_keys_of_customers_come_apart() {
        use Kind::*;
        assert_eq!(kinds("30units/s"), [(Number, "30"), (Word, "units/s"), (End, "")]);
        assert_eq!(kinds("30/s"), [(Number, "30"), (Word, "/s"), (End, "")]);
        assert_eq!(kinds("1..5"), [(Number, "1"), (Mark, ".."), (Number, "5"), (End, "")]);
        assert_eq!(kinds("1.5..2"), [(Number, "1.5"), (Mark, ".."), (Number, "2"), (End, "")]);
        assert_eq!(kinds("00000000000000ff"), [(Hex, "00000000000000ff"), (End, "")]);
        assert_eq!(kinds("deadbeefdeadbeef"), [(Hex, "deadbeefdeadbeef"), (End, "")]);
        assert_eq!(kinds("41%"), [(Number, "41"), (Mark, "%"), (End, "")]);
    }

    #[test]
    fn columns_count_characters_and_lines_end_both_ways() {
        let lexed = lex("\u{FEFF}\"\u{e9}\" = 1\r\n\tx");
        let spots: Vec<(u32, u32)> = lexed.tokens.iter().map(|t| (t.spot.line, t.spot.column)).collect();
        assert_eq!(spots, [(1, 1), (1, 5), (1, 7), (1, 8), (2, 2), (2, 3)]);
    }
}
