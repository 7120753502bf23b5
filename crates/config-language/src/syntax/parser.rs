//! From pieces to the tree: recursive descent that goes on behind each mistake.
//!
//! A line end ends a statement or a setting, so a mistake costs its line. One message a line: what else is wrong
//! in it may follow from the first. A block whose beginning cannot be read is read on all the same, so that its
//! lines are not taken for others.

use std::collections::BTreeSet;

use super::lexer::{Kind, Lexed, Token};
use super::tree::*;
use super::{Fault, Parsed};
use crate::diagnostic::{short, Spot};

/// What could not be read was said.
struct Said;

type Read<T> = Result<T, Said>;

/// Reads a list of pieces.
pub(super) fn parse(lexed: Lexed<'_>) -> Parsed {
    let Lexed { tokens, faults, bad_lines, steps } = lexed;
    let mut parser = Parser { tokens, at: 0, faults, bad_lines, steps, spare_brace: false, unread: false };
    let tree = parser.file();
    let Parser { mut faults, steps, .. } = parser;
    faults.sort_by_key(|fault| fault.spot);
    Parsed { tree, faults, steps }
}

struct Parser<'a> {
    tokens: Vec<Token<'a>>,
    at: usize,
    faults: Vec<Fault>,
    bad_lines: BTreeSet<u32>,
    steps: usize,
    /// A block was closed for a brace that was missed: one that comes later without a block may be that one.
    spare_brace: bool,
    unread: bool,
}

const END: Token<'static> = Token { kind: Kind::End, text: "", spot: Spot { line: 1, column: 1, length: 0 } };

impl<'a> Parser<'a> {
    fn ahead(&self, n: usize) -> Token<'a> {
        // The last is the end, however far one looks.
        self.tokens.get(self.at + n).or(self.tokens.last()).copied().unwrap_or(END)
    }

    fn peek(&self) -> Token<'a> {
        self.ahead(0)
    }

    fn next(&mut self) -> Token<'a> {
        let token = self.peek();
        self.at += usize::from(token.kind != Kind::End);
        self.steps += 1;
        token
    }

    fn is(&self, mark: &str) -> bool {
        is_mark(self.peek(), mark)
    }

    fn take(&mut self, mark: &str) -> bool {
        let there = self.is(mark);
        if there {
            self.next();
        }
        there
    }

    fn at_line_end(&self) -> bool {
        matches!(self.peek().kind, Kind::Newline | Kind::End | Kind::Comment)
    }

    /// Says what is wrong, unless something was wrong in this line before.
    fn fail<T>(&mut self, fault: Fault) -> Read<T> {
        if self.bad_lines.insert(fault.spot.line) {
            self.faults.push(fault);
        }
        Err(Said)
    }

    fn expected<T>(&mut self, wanted: &str) -> Read<T> {
        self.expected_with(wanted, None)
    }

    fn expected_with<T>(&mut self, wanted: &str, help: Option<String>) -> Read<T> {
        let found = self.peek();
        if found.kind == Kind::Bad {
            return Err(Said);
        }
        let what = match found.kind {
            Kind::Newline | Kind::Comment => "the end of the line".to_owned(),
            Kind::End => "the end of the file".to_owned(),
            Kind::Text => short(found.text),
            _ => format!("`{}`", short(found.text)),
        };
        let fault = Fault::new("expected", found.spot, format!("expected {wanted}, found {what}"));
        self.fail(Fault { help, ..fault })
    }

    fn file(&mut self) -> Tree {
        let mut tree = Tree::default();
        loop {
            let lead = self.lead();
            if self.peek().kind == Kind::End {
                tree.tail = lead.comments;
                tree.unread = self.unread;
                return tree;
            }
            match self.statement() {
                Ok(what) => {
                    let after = self.line_end(&what);
                    tree.statements.push(Statement { lead, what, after });
                }
                Err(Said) => self.skip_line(),
            }
        }
    }

    /// Comments and blank lines before a statement.
    fn lead(&mut self) -> Lead {
        let mut lead = Lead::default();
        loop {
            match self.peek().kind {
                Kind::Newline => lead.blank = true,
                Kind::Comment => {
                    let text = comment(self.peek());
                    lead.comments.push(Comment { text, blank: lead.blank });
                    lead.blank = false;
                    if self.ahead(1).kind == Kind::Newline {
                        self.next();
                    }
                }
                _ => return lead,
            }
            self.next();
        }
    }

    fn statement(&mut self) -> Read<What> {
        let token = self.peek();
        match (token.kind, token.text) {
            (Kind::Word, "include") => self.include(),
            (Kind::Word, "let") => self.let_value(),
            (Kind::Word, _) if is_mark(self.ahead(1), "=") => {
                let reason = format!("the setting `{}` stands outside of a block", short(token.text));
                self.fail(Fault::new("outside", token.spot, reason))
            }
            (Kind::Word, _) => self.block().map(What::Block),
            (Kind::Mark, "}") => self.stray_brace(token),
            (Kind::Bad, _) => {
                self.unread = true;
                Err(Said)
            }
            _ => {
                self.unread = true;
                self.expected("a block, `include` or `let`")
            }
        }
    }

    fn stray_brace<T>(&mut self, token: Token<'a>) -> Read<T> {
        self.next();
        if std::mem::take(&mut self.spare_brace) {
            return Err(Said);
        }
        self.fail(Fault::new("outside", token.spot, "this `}` closes no block"))
    }

    fn include(&mut self) -> Read<What> {
        self.next();
        if self.peek().kind != Kind::Text {
            self.unread = true;
            return self.expected("the name of a file in quotes");
        }
        Ok(What::Include(self.text()))
    }

    fn let_value(&mut self) -> Read<What> {
        self.next();
        let name = self.peek();
        if name.kind != Kind::Word || name.text.contains('/') {
            self.unread = true;
            let help = "it has letters, digits, `-` and `_`, begins with a letter, and is no 16 hex digits";
            return self.expected_with("a name to give", Some(help.into()));
        }
        let name = self.word();
        let value = self.equals().and_then(|()| self.value());
        if value.is_err() {
            self.skip_to_line_end();
        }
        Ok(What::Let(name, value.ok()))
    }

    fn equals(&mut self) -> Read<()> {
        if self.take("=") {
            return Ok(());
        }
        self.expected("`=`")
    }

    fn word(&mut self) -> Word {
        let token = self.next();
        Word { text: token.text.to_owned(), spot: token.spot }
    }

    /// A text; the piece is one.
    fn text(&mut self) -> Text {
        let token = self.next();
        let inner = token.text.trim_matches_once('"');
        let mut value = String::with_capacity(inner.len());
        let mut chars = inner.chars();
        while let Some(c) = chars.next() {
            value.extend(if c == '\\' { chars.next() } else { Some(c) });
        }
        Text { value, raw: token.text.to_owned(), spot: token.spot }
    }

    fn block(&mut self) -> Read<Block> {
        let mut head = Vec::new();
        while self.peek().kind == Kind::Word {
            head.push(self.word());
        }
        let Some(first) = head.first() else { return Err(Said) };
        let begin = first.spot;
        if self.peek().kind == Kind::Text {
            let name = self.text();
            let opened = self.take("{");
            if opened {
                return Ok(self.body(Block::new(head, name), begin));
            }
            let said: Read<()> = self.expected_with("`{`", Some("it stands on the line of the name".into()));
            return self.unopened(said, Block::new(head, name), begin);
        }
        let help = head.get(1).filter(|_| is_mark(self.peek(), "{")).and_then(|_| head.last());
        let help = help.map(|last| format!("a name stands in quotes: `\"{}\"`", short(&last.text)));
        let said: Read<()> = self.expected_with("a name in quotes", help);
        self.unread = true;
        let name = Text { value: String::new(), raw: String::new(), spot: begin };
        self.unopened(said, Block::new(head, name), begin)
    }

    /// A block whose beginning is wrong: its lines are read, as they would be taken for others.
    fn unopened(&mut self, said: Read<()>, block: Block, begin: Spot) -> Read<Block> {
        while !self.at_line_end() && !self.is("{") {
            self.next();
        }
        let named = !block.name.raw.is_empty();
        if self.body_follows() {
            self.skip_to_line_end();
            self.take_line_end();
            self.take("{");
            return self.unopened_body(named, block, begin);
        }
        let opened = self.take("{");
        if opened {
            return self.unopened_body(named, block, begin);
        }
        if named {
            return Ok(Block { broken: true, ..block });
        }
        said.and(Err(Said))
    }

    fn unopened_body(&mut self, named: bool, block: Block, begin: Spot) -> Read<Block> {
        let block = self.body(Block { broken: true, ..block }, begin);
        named.then_some(block).ok_or(Said)
    }

    /// Whether the next line is a brace or a setting, so that the block goes on there.
    fn body_follows(&self) -> bool {
        let line = usize::from(self.peek().kind == Kind::Comment);
        let first = self.ahead(line + 1);
        let setting = first.kind == Kind::Word && is_mark(self.ahead(line + 2), "=");
        self.ahead(line).kind == Kind::Newline && (is_mark(first, "{") || is_mark(first, "}") || setting)
    }

    /// The lines of a block and its closing brace.
    fn body(&mut self, mut block: Block, begin: Spot) -> Block {
        if self.peek().kind == Kind::Comment {
            block.open = Some(comment(self.peek()));
            self.next();
        }
        self.take_newline();
        loop {
            let lead = self.lead();
            if self.take("}") {
                block.tail = lead.comments;
                return block;
            }
            if self.peek().kind == Kind::End || self.begins_block() {
                self.unclosed(&mut block, begin);
                block.tail = lead.comments;
                return block;
            }
            match self.setting(lead) {
                Ok(setting) => block.settings.push(setting),
                Err(Said) => {
                    block.broken = true;
                    self.skip_setting();
                }
            }
        }
    }

    /// Whether a block begins here: words, a text and a brace.
    fn begins_block(&self) -> bool {
        let words = (0..4).take_while(|n| self.ahead(*n).kind == Kind::Word).count();
        words > 0 && self.ahead(words).kind == Kind::Text && is_mark(self.ahead(words + 1), "{")
    }

    fn unclosed(&mut self, block: &mut Block, begin: Spot) {
        self.spare_brace = self.peek().kind != Kind::End;
        // What could not be read may have held the brace.
        if !block.broken {
            let reason = format!("the block {} that begins here is not closed", short(&block.name.raw));
            let fault = Fault::new("unclosed-block", begin, reason).help("it ends with a `}`");
            let _: Read<()> = self.fail(fault);
        }
        block.broken = true;
    }

    fn setting(&mut self, lead: Lead) -> Read<Setting> {
        let token = self.peek();
        if token.kind != Kind::Word {
            return self.expected("a key or `}`");
        }
        let next = self.ahead(1).kind;
        if matches!(token.text, "include" | "let") && matches!(next, Kind::Text | Kind::Word) {
            let reason = format!("`{}` stands outside of blocks", token.text);
            let fault = Fault::new("inside", token.spot, reason).help("is a `}` missing before it?");
            return self.fail(fault);
        }
        let key = self.word();
        self.equals()?;
        let value = self.value()?;
        let after = self.setting_end(&value)?;
        Ok(Setting { lead, key, value, after })
    }

    /// The end of a setting: the end of its line, or the end of the block.
    fn setting_end(&mut self, value: &Value) -> Read<Option<String>> {
        if self.is("}") {
            return Ok(None);
        }
        if !self.at_line_end() {
            let help = self.help_behind(value);
            return self.expected_with("the end of the line", help);
        }
        Ok(self.take_line_end())
    }

    /// What may have been meant by something behind a value.
    fn help_behind(&self, value: &Value) -> Option<String> {
        let found = self.peek();
        let figure = match value {
            Value::Figure(figure) => Some(figure),
            _ => None,
        };
        match (figure, found.kind, found.text) {
            (Some(figure), Kind::Mark, ",") if figure.unit.is_none() => {
                let next = self.ahead(1);
                let number =
                    (next.kind == Kind::Number).then(|| format!("{}.{}", figure.number.text, next.text));
                Some(match number {
                    Some(number) => format!("write `{}`, or a list between `[` and `]`", short(&number)),
                    None => "a list stands between `[` and `]`".into(),
                })
            }
            (_, Kind::Mark, ",") => Some("a list stands between `[` and `]`".into()),
            (Some(figure), Kind::Word, "per") => {
                let unit = figure.unit.as_ref().map_or("units", |unit| unit.text.as_str());
                Some(format!("write `{}/s`", short(unit)))
            }
            (Some(figure), Kind::Number, _) if figure.unit.is_none() => Some(format!(
                "write thousands apart with `_`: `{}_{}`",
                figure.number.text,
                short(found.text)
            )),
            (_, Kind::Word, _) if is_mark(self.ahead(1), "=") => {
                Some("each setting stands on a line of its own".into())
            }
            _ => None,
        }
    }

    fn take_line_end(&mut self) -> Option<String> {
        let after = (self.peek().kind == Kind::Comment).then(|| comment(self.peek()));
        if after.is_some() {
            self.next();
        }
        if self.peek().kind == Kind::Newline {
            self.next();
        }
        after
    }

    /// The end of a statement's line; says so if something else stands there.
    fn line_end(&mut self, what: &What) -> Option<String> {
        // A brace that was missed: the next block begins on a line of its own.
        let cut_short = matches!(what, What::Block(block) if block.broken) && self.begins_block();
        if !self.at_line_end() && !cut_short {
            let help = match what {
                What::Let(_, Some(value)) => self.help_behind(value),
                What::Block(_) => Some("each block begins on a line of its own".into()),
                What::Include(_) => Some("each `include` names one file, on a line of its own".into()),
                _ => None,
            };
            let _: Read<()> = self.expected_with("the end of the line", help);
            self.skip_to_line_end();
        }
        if cut_short {
            return None;
        }
        self.take_line_end()
    }

    fn skip_to_line_end(&mut self) {
        while !self.at_line_end() {
            self.next();
        }
    }

    fn skip_line(&mut self) {
        self.skip_to_line_end();
        self.take_line_end();
    }

    /// To the end of the line or the brace that closes the block.
    fn skip_setting(&mut self) {
        let mut open = 0_u32;
        while !self.at_line_end() {
            if self.is("{") {
                open += 1;
            } else if self.is("}") {
                if open == 0 {
                    return;
                }
                open -= 1;
            }
            self.next();
        }
        self.take_line_end();
    }

    fn value(&mut self) -> Read<Value> {
        let token = self.peek();
        match (token.kind, token.text) {
            (Kind::Text, _) => Ok(Value::Text(self.text())),
            (Kind::Number | Kind::Hex, _) => self.figure_or_range(),
            (Kind::Word, word) if word.contains('/') => self.expected("a value"),
            (Kind::Word, word) if is_no_figure(word) => {
                self.fail(Fault::new("number", token.spot, format!("`{word}` is no figure")))
            }
            (Kind::Word, _) => Ok(Value::Name(self.word())),
            (Kind::Mark, "[") => self.list(),
            _ => self.expected("a value"),
        }
    }

    fn number(&mut self) -> Number {
        let token = self.next();
        Number { text: token.text.to_owned(), hex: token.kind == Kind::Hex, spot: token.spot }
    }

    fn figure_or_range(&mut self) -> Read<Value> {
        let number = self.number();
        // A customer has none.
        let unit = if number.hex { None } else { self.unit() };
        if !self.is("..") {
            let spot = unit.as_ref().map_or(number.spot, |unit| from_to(number.spot, unit.spot));
            return Ok(Value::Figure(Figure { number, unit, spot }));
        }
        if let Some(unit) = unit {
            let reason =
                format!("a range counts from number to number, and `{}` is a unit", short(&unit.text));
            return self.fail(Fault::new("range", unit.spot, reason));
        }
        self.next();
        if !matches!(self.peek().kind, Kind::Number | Kind::Hex) {
            return self
                .expected_with("the number that the range ends with", Some("for example `1..99`".into()));
        }
        let last = self.number();
        match self.unit() {
            None => Ok(Value::Range(number, last)),
            Some(unit) => {
                let reason =
                    format!("a range counts from number to number, and `{}` is a unit", short(&unit.text));
                self.fail(Fault::new("range", unit.spot, reason))
            }
        }
    }

    fn unit(&mut self) -> Option<Word> {
        let word = self.peek();
        let is_unit = word.kind == Kind::Word && word.text != "per" && !is_mark(self.ahead(1), "=");
        (is_unit || is_mark(word, "%")).then(|| self.word())
    }

    fn list(&mut self) -> Read<Value> {
        let open = self.next();
        let list = self.items(open.spot);
        if list.is_err() {
            self.skip_list();
        }
        list
    }

    fn items(&mut self, open: Spot) -> Read<Value> {
        let mut list = List::default();
        let mut lead = Vec::new();
        let mut apart = true;
        self.take_newline();
        loop {
            // A comment on a line of its own, or behind the bracket, belongs to the next item.
            lead.append(&mut self.lead().comments);
            if self.is("]") {
                list.tail = lead;
                let close = self.next();
                return Ok(Value::List(list, from_to(open, close.spot)));
            }
            if self.list_ends_early() {
                let fault = Fault::new("unclosed-list", open, "the list that begins here is not closed");
                return self.fail(fault.help("it ends with a `]`"));
            }
            if !apart {
                if !self.take(",") {
                    return self.expected("`,` or `]`");
                }
                self.take_newline();
                apart = true;
                continue;
            }
            let (item, comma) = self.item(std::mem::take(&mut lead))?;
            list.items.push(item);
            apart = comma;
        }
    }

    /// One item, and whether a comma stands behind it on its line.
    fn item(&mut self, lead: Vec<Comment>) -> Read<(Item, bool)> {
        if self.is("[") {
            let spot = self.peek().spot;
            return self.fail(Fault::new("list-in-list", spot, "a list holds no lists"));
        }
        let value = self.value()?;
        let comma = self.take(",");
        let after = (self.peek().kind == Kind::Comment).then(|| comment(self.next()));
        self.take_newline();
        Ok((Item { lead, value, after }, comma))
    }

    /// Takes the end of a line, so that it does not count as a blank one.
    fn take_newline(&mut self) {
        if self.peek().kind == Kind::Newline {
            self.next();
        }
    }

    /// Whether what stands here shows that the list's end was missed.
    fn list_ends_early(&self) -> bool {
        let token = self.peek();
        let brace = is_mark(token, "}") || is_mark(token, "{");
        let next = self.ahead(1);
        let setting = token.kind == Kind::Word && is_mark(next, "=");
        let statement =
            matches!(token.text, "include" | "let") && matches!(next.kind, Kind::Text | Kind::Word);
        token.kind == Kind::End || brace || setting || statement || self.begins_block()
    }

    /// To the end of a list that cannot be read, as far as one can tell.
    fn skip_list(&mut self) {
        let mut depth = 0_u32;
        while !self.list_ends_early() {
            if self.is("[") {
                depth += 1;
            } else if self.is("]") {
                if depth == 0 {
                    self.next();
                    return;
                }
                depth -= 1;
            }
            self.next();
        }
        // Who goes on from here leaves out the rest of a line: not that of the next setting.
        let before = self.at.checked_sub(1).and_then(|before| self.tokens.get(before));
        self.at -= usize::from(before.is_some_and(|token| token.kind == Kind::Newline));
    }
}

impl Block {
    fn new(head: Vec<Word>, name: Text) -> Block {
        Block { head, name, open: None, settings: Vec::new(), tail: Vec::new(), broken: false }
    }
}

/// What others call figures that are none.
fn is_no_figure(word: &str) -> bool {
    ["nan", "inf", "infinity"].iter().any(|known| word.eq_ignore_ascii_case(known))
}

fn is_mark(token: Token<'_>, mark: &str) -> bool {
    token.kind == Kind::Mark && token.text == mark
}

fn comment(token: Token<'_>) -> String {
    token.text.trim_end().to_owned()
}

/// Takes one character off both ends.
trait TrimOnce {
    fn trim_matches_once(&self, c: char) -> &str;
}

impl TrimOnce for str {
    fn trim_matches_once(&self, c: char) -> &str {
        let inner = self.strip_prefix(c).unwrap_or(self);
        inner.strip_suffix(c).unwrap_or(inner)
    }
}
