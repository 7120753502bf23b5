//! The written grammar is what the parser takes: sentences made from it are read, and of texts that are nearly
//! sentences both take the same.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use config_language::kind::Registry;
use config_language::{format, UNITS};

const GRAMMAR: &str = include_str!("../../../docs/operators-language.ebnf");
const PAGE: &str = include_str!("../../../docs/operators-language.md");

#[derive(Clone, Debug)]
enum Expr {
    Either(Vec<Expr>),
    All(Vec<Expr>),
    Maybe(Box<Expr>),
    Many(Box<Expr>),
    Times(usize, Box<Expr>),
    Text(Vec<char>),
    Class(String),
    Rule(String),
}

/// Reads the notation.
struct Notation<'a> {
    rest: &'a str,
}

impl<'a> Notation<'a> {
    fn rules(text: &'a str) -> BTreeMap<String, Expr> {
        let mut notation = Notation { rest: text };
        let mut rules = BTreeMap::new();
        while !notation.blank().is_empty() {
            let name = notation.word();
            notation.take("=");
            let expr = notation.either();
            notation.take(";");
            assert!(rules.insert(name.clone(), expr).is_none(), "{name} stands there twice");
        }
        rules
    }

    /// Leaves out blanks and remarks; gives the rest.
    fn blank(&mut self) -> &'a str {
        loop {
            self.rest = self.rest.trim_start();
            let Some(remark) = self.rest.strip_prefix("(*") else { return self.rest };
            self.rest = remark.split_once("*)").expect("a remark ends").1;
        }
    }

    fn is(&mut self, mark: &str) -> bool {
        let there = self.blank().starts_with(mark);
        if there {
            self.rest = &self.rest[mark.len()..];
        }
        there
    }

    fn take(&mut self, mark: &str) {
        assert!(self.is(mark), "expected {mark} at {:.60}", self.rest);
    }

    /// A name of a rule: words with blanks between.
    fn word(&mut self) -> String {
        let rest = self.blank();
        let end = rest.find(|c: char| !(c.is_ascii_lowercase() || c == ' ')).unwrap_or(rest.len());
        self.rest = &rest[end..];
        rest[..end].trim().to_owned()
    }

    fn either(&mut self) -> Expr {
        let mut all = vec![self.all()];
        while self.is("|") {
            all.push(self.all());
        }
        Expr::Either(all)
    }

    fn all(&mut self) -> Expr {
        let mut all = vec![self.one()];
        while self.is(",") {
            all.push(self.one());
        }
        Expr::All(all)
    }

    fn one(&mut self) -> Expr {
        for quote in ["\"", "'"] {
            if self.is(quote) {
                return Expr::Text(self.until(quote).chars().collect());
            }
        }
        if self.is("?") {
            return Expr::Class(self.until("?").trim().to_owned());
        }
        for (open, close) in [("[", "]"), ("{", "}"), ("(", ")")] {
            if self.is(open) {
                let inner = self.either();
                self.take(close);
                return match open {
                    "[" => Expr::Maybe(Box::new(inner)),
                    "{" => Expr::Many(Box::new(inner)),
                    _ => inner,
                };
            }
        }
        let digits: String = self.blank().chars().take_while(char::is_ascii_digit).collect();
        if !digits.is_empty() {
            self.rest = &self.rest[digits.len()..];
            self.take("*");
            return Expr::Times(digits.parse().unwrap(), Box::new(self.one()));
        }
        Expr::Rule(self.word())
    }

    fn until(&mut self, mark: &str) -> &'a str {
        let (inner, rest) = self.rest.split_once(mark).expect("it is closed");
        self.rest = rest;
        inner
    }
}

/// Whether a character is of a class, and one that is for each choice.
fn class(name: &str) -> (fn(char) -> bool, &'static [char]) {
    fn forbidden(c: char) -> bool {
        let hidden = ['\u{200B}'..='\u{200F}', '\u{2028}'..='\u{202E}', '\u{2060}'..='\u{2069}'];
        (c.is_control() && c != '\t') || hidden.iter().any(|range| range.contains(&c)) || c == '\u{FEFF}'
    }
    match name {
        "tab" => (|c| c == '\t', &['\t']),
        "line feed" => (|c| c == '\n', &['\n']),
        "carriage return" => (|c| c == '\r', &['\r']),
        "U+FEFF" => (|c| c == '\u{FEFF}', &['\u{FEFF}']),
        "a letter of any language" => (char::is_alphabetic, &['a', 'Z', 'q', '\u{e9}', '\u{3b2}']),
        "a character that is not \", \\ or forbidden" => {
            (|c| !forbidden(c) && c != '"' && c != '\\', &['a', ' ', '#', '}', '=', '\u{e9}', '\t', '.'])
        }
        "a character that is not forbidden" => {
            (|c| !forbidden(c), &['a', ' ', '#', '"', '\\', '\u{e9}', '\t'])
        }
        other => panic!("a class that the test does not know: {other}"),
    }
}

struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) % bound as u64) as usize
    }
}

struct Grammar {
    rules: BTreeMap<String, Expr>,
}

impl Grammar {
    fn new() -> Grammar {
        Grammar { rules: Notation::rules(GRAMMAR) }
    }

    /// With all words for kinds and units: the parser knows none of them.
    fn of_any_words() -> Grammar {
        let mut grammar = Grammar::new();
        let words = "kind = name , { blanks , name } ;
            unit = \"%\" | unit start , { name start | digit | \"-\" | \"/\" , ( name start | digit ) } ;
            unit start = ? a letter of any language ? | \"/\" , ? a letter of any language ? ;";
        // `_` goes on a word, but not behind a stroke.
        let words = words.replace("( name start | digit )", "( ? a letter of any language ? | digit )");
        grammar.rules.extend(Notation::rules(&words));
        grammar
    }

    fn rule(&self, name: &str) -> &Expr {
        self.rules.get(name).unwrap_or_else(|| panic!("no rule {name}"))
    }

    fn sentence(&self, random: &mut Random) -> String {
        let mut out = String::new();
        self.write(self.rule("file"), random, &mut out);
        out
    }

    fn write(&self, expr: &Expr, random: &mut Random, out: &mut String) {
        match expr {
            Expr::Either(all) => self.write(&all[random.below(all.len())], random, out),
            Expr::All(all) => all.iter().for_each(|expr| self.write(expr, random, out)),
            Expr::Maybe(expr) if random.below(2) == 0 => self.write(expr, random, out),
            Expr::Maybe(_) => {}
            Expr::Many(expr) => {
                for _ in 0..[0, 1, 1, 2, 3][random.below(5)] {
                    self.write(expr, random, out);
                }
            }
            Expr::Times(times, expr) => (0..*times).for_each(|_| self.write(expr, random, out)),
            Expr::Text(text) => out.extend(text),
            Expr::Class(name) => {
                let some = class(name).1;
                out.push(some[random.below(some.len())]);
            }
            Expr::Rule(name) => self.write(self.rule(name), random, out),
        }
    }

    fn takes(&self, text: &str) -> bool {
        let chars: Vec<char> = text.chars().collect();
        let mut seen = BTreeMap::new();
        self.ends(self.rule("file"), &chars, 0, &mut seen).contains(&chars.len())
    }

    /// Where what begins at a place may end.
    fn ends<'g>(
        &'g self,
        expr: &'g Expr,
        text: &[char],
        at: usize,
        seen: &mut BTreeMap<(&'g str, usize), BTreeSet<usize>>,
    ) -> BTreeSet<usize> {
        match expr {
            Expr::Either(all) => all.iter().flat_map(|expr| self.ends(expr, text, at, seen)).collect(),
            Expr::All(all) => all.iter().fold(BTreeSet::from([at]), |ends, expr| {
                ends.into_iter().flat_map(|at| self.ends(expr, text, at, seen)).collect()
            }),
            Expr::Maybe(expr) => {
                let mut ends = self.ends(expr, text, at, seen);
                ends.insert(at);
                ends
            }
            Expr::Many(expr) => {
                let (mut ends, mut open) = (BTreeSet::from([at]), vec![at]);
                while let Some(at) = open.pop() {
                    let next = self.ends(expr, text, at, seen);
                    open.extend(next.into_iter().filter(|end| ends.insert(*end)));
                }
                ends
            }
            Expr::Times(times, expr) => (0..*times).fold(BTreeSet::from([at]), |ends, _| {
                ends.into_iter().flat_map(|at| self.ends(expr, text, at, seen)).collect()
            }),
            Expr::Text(wanted) => {
                text[at..].starts_with(wanted).then(|| at + wanted.len()).into_iter().collect()
            }
            Expr::Class(name) => {
                text.get(at).filter(|c| class(name).0(**c)).map(|_| at + 1).into_iter().collect()
            }
            Expr::Rule(name) => {
                if let Some(ends) = seen.get(&(name.as_str(), at)) {
                    return ends.clone();
                }
                let ends = self.ends(self.rule(name), text, at, seen);
                seen.insert((name, at), ends.clone());
                ends
            }
        }
    }
}

fn parser_takes(text: &str) -> bool {
    format(text, "site.fb").is_ok()
}

#[test]
fn sentences_of_the_grammar_are_read() {
    let grammar = Grammar::new();
    let mut random = Random(9);
    let mut blocks = 0;
    for _ in 0..3000 {
        let sentence = grammar.sentence(&mut random);
        blocks += sentence.matches('{').count();
        if let Err(error) = format(&sentence, "site.fb") {
            panic!("{}\n{sentence:?}", error.rendered());
        }
    }
    assert!(blocks > 1000, "{blocks}");
}

/// One character more, less, or another one.
fn nearly(sentence: &str, random: &mut Random) -> String {
    const OTHERS: [char; 24] = [
        '{', '}', '[', ']', '=', ',', '.', '"', '\\', '#', '\n', '\r', ' ', '%', '/', '-', '_', '0', '7',
        'a', 's', '\'', ':', '\u{1}',
    ];
    let mut chars: Vec<char> = sentence.chars().collect();
    let at = random.below(chars.len() + 1);
    let other = OTHERS[random.below(OTHERS.len())];
    match (random.below(3), at < chars.len()) {
        (0, true) => drop(chars.remove(at)),
        (1, true) => chars[at] = other,
        _ => chars.insert(at, other),
    }
    chars.into_iter().collect()
}

/// What remarks of the grammar except: digits with a word at once behind them that looks like an exponent, a
/// hexadecimal number or the key of a customer.
fn is_beyond_grammar(text: &str) -> bool {
    let runs = text.split(|c: char| !(c.is_alphanumeric() || c == '_' || c == '-'));
    runs.filter(|run| run.starts_with(|c: char| c.is_ascii_digit())).any(|run| {
        let word = run.trim_start_matches(|c: char| c.is_ascii_digit() || c == '_');
        let is_key = run.len() == 16 && run.bytes().all(|b| b.is_ascii_hexdigit());
        !is_key && (word.starts_with(['e', 'E', 'x', 'X']) || word.len() >= 15)
    })
}

#[test]
fn of_what_is_nearly_a_sentence_grammar_and_parser_take_the_same() {
    let grammar = Grammar::of_any_words();
    let mut random = Random(10);
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..6000 {
        let text = nearly(&grammar.sentence(&mut random), &mut random);
        if is_beyond_grammar(&text) {
            continue;
        }
        let both = (grammar.takes(&text), parser_takes(&text));
        assert_eq!(both.0, both.1, "grammar and parser: {both:?} for {text:?}");
        if both.0 {
            taken += 1;
        } else {
            refused += 1;
        }
    }
    assert!(taken > 1000 && refused > 1000, "{taken} taken, {refused} refused");
}

#[test]
fn the_grammar_names_the_units_and_kinds_that_there_are() {
    let grammar = Grammar::new();
    let Expr::Either(units) = grammar.rule("unit") else { panic!() };
    let named: BTreeSet<String> = units
        .iter()
        .map(|unit| match unit {
            Expr::All(all) => match &all[..] {
                [Expr::Text(word)] => word.iter().collect(),
                other => panic!("{other:?}"),
            },
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(named, UNITS.iter().map(|unit| unit.word.to_owned()).collect());
    let line = GRAMMAR.lines().find(|line| line.starts_with("kind ")).unwrap();
    let words: Vec<String> = line
        .split('|')
        .map(|kind| kind.split('"').skip(1).step_by(2).collect::<Vec<_>>().join(" "))
        .collect();
    let known: Vec<&str> = Registry::default().kinds().iter().map(|kind| kind.words()).collect();
    assert_eq!(words, known);
}

/// The blocks of the page that hold a file.
fn examples() -> Vec<String> {
    let parts = PAGE.split("```").skip(1).step_by(2);
    parts.filter_map(|part| part.strip_prefix("fb\n")).map(str::to_owned).collect()
}

#[test]
fn the_examples_of_the_page_are_files() {
    let examples = examples();
    assert!(examples.len() >= 3, "{}", examples.len());
    for example in examples {
        assert!(Grammar::new().takes(&example), "{example}");
        let files = config_language::loader::Memory::default().with("site.fb", example.as_str());
        let loaded = config_language::load("site.fb".as_ref(), &files, Some(&common::platform()));
        assert_eq!(common::messages(&loaded), [""; 0], "{example}");
        assert_eq!(format(&example, "site.fb").unwrap(), example);
    }
}

#[test]
fn the_page_tells_of_each_key_unit_and_message() {
    for kind in Registry::default().kinds() {
        let heading = format!("### `{} \"name\" {{ ... }}`", kind.words());
        let part = PAGE.split_once(&heading).unwrap_or_else(|| panic!("no {heading}")).1;
        let part = part.split("\n#").next().unwrap();
        assert!(part.contains(kind.about()), "{} lacks: {}", heading, kind.about());
        for key in kind.keys() {
            let default = if key.needed { "needed" } else { key.default };
            let row = format!("| `{}` | ", key.word);
            let line = part.lines().find(|line| line.starts_with(&row)).unwrap_or_else(|| panic!("no {row}"));
            assert!(line.contains(&format!("| {default} |")) && line.contains(key.about), "{line}");
        }
    }
    for unit in UNITS {
        assert!(PAGE.contains(&format!("`{}`", unit.word)), "{}", unit.word);
    }
    let told = BTreeSet::from_iter(PAGE.lines().filter_map(|line| {
        let (code, rest) = line.strip_prefix("| `")?.split_once("` | ")?;
        rest.contains(": ").then(|| code.to_owned())
    }));
    for code in codes() {
        assert!(told.contains(code), "the page says nothing of the message `{code}`");
    }
}

/// The codes of messages, as they stand in the sources.
fn codes() -> BTreeSet<&'static str> {
    const SOURCES: [&str; 15] = [
        include_str!("../src/changes.rs"),
        include_str!("../src/diagnostic.rs"),
        include_str!("../src/files.rs"),
        include_str!("../src/load.rs"),
        include_str!("../src/names.rs"),
        include_str!("../src/reader.rs"),
        include_str!("../src/kinds/mod.rs"),
        include_str!("../src/kinds/policy.rs"),
        include_str!("../src/kinds/pool.rs"),
        include_str!("../src/kinds/route.rs"),
        include_str!("../src/kinds/shed.rs"),
        include_str!("../src/kinds/site.rs"),
        include_str!("../src/kinds/takeover.rs"),
        include_str!("../src/syntax/lexer.rs"),
        include_str!("../src/syntax/parser.rs"),
    ];
    let calls = [
        "Diagnostic::error(\"",
        "Diagnostic::warning(\"",
        "Fault::new(\"",
        "self.say(\"",
        "self.bad(start, \"",
    ];
    let mut codes = BTreeSet::new();
    for source in SOURCES {
        let shipped = source.split("#[cfg(test)]").next().unwrap();
        for call in calls {
            codes.extend(shipped.split(call).skip(1).filter_map(|rest| rest.split('"').next()));
        }
    }
    assert!(codes.len() > 40, "{codes:?}");
    codes
}
