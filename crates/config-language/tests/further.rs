//! A kind of block that the package does not know: keys, checks and words of its own, and no line in the parser.

mod common;

use std::path::Path;

use common::messages;
use config_language::diagnostic::{Diagnostic, Report};
use config_language::kind::{Key, Kind, Registry, Shape, View};
use config_language::loader::Memory;
use config_language::{big_changes, diff, format, load_with, show, Dimension, FileSet, Loaded};

/// Levels of reduced service: what a later subsystem may want.
#[derive(Debug)]
struct Levels;

const KEYS: &[Key] = &[
    Key { word: "refuse", shape: Shape::Texts, needed: true, default: "", about: "Classes to refuse." },
    figure("enter-above", Dimension::Share, 0.0, 1.0),
    figure("leave-below", Dimension::Share, 0.0, 1.0),
    figure("for", Dimension::Span, 1e6, 600e9),
    figure("memory", Dimension::Size, 1.0, 1e12),
];

const fn figure(word: &'static str, dimension: Dimension, least: f64, most: f64) -> Key {
    Key {
        word,
        shape: Shape::Figure(dimension, least, most),
        needed: false,
        default: "never",
        about: "A bound.",
    }
}

impl Kind for Levels {
    fn words(&self) -> &'static str {
        "service level"
    }

    fn about(&self) -> &'static str {
        "A level of reduced service."
    }

    fn keys(&self) -> &'static [Key] {
        KEYS
    }

    fn check(&self, view: View<'_>, report: &mut Report) {
        for level in view.of_kind("service level") {
            let (leave, enter) = (level.figure("leave-below"), level.figure("enter-above"));
            if leave.zip(enter).is_some_and(|(leave, enter)| leave >= enter) {
                let reason = "`leave-below` is not below `enter-above`: the level would swing";
                report.add(Diagnostic::error("swing", level.place("leave-below"), reason));
            }
        }
    }

    fn words_for_change(&self, key: &Key, old: &str, new: &str) -> Option<String> {
        (key.word == "enter-above").then(|| format!("begins at {new} of the load, no longer at {old}"))
    }
}

const TEXT: &str = "service level \"amber\" {\n  refuse = \"report\"  # costly\n  enter-above = 80 %\n  \
                    leave-below = 41%\n  for = 1.5 s\n  memory = 64 KiB\n}\n";

fn read(text: &str) -> Loaded {
    let registry = Registry::default().with(&Levels);
    load_with(&registry, Path::new("site.fb"), &Memory::default().with("site.fb", text), None)
}

fn set(text: &str) -> FileSet {
    let loaded = read(text);
    let messages = messages(&loaded);
    loaded.set.unwrap_or_else(|| panic!("{messages:?}"))
}

#[test]
fn its_values_are_read_with_their_units() {
    let set = set(TEXT);
    let level = set.of_kind("service level").next().unwrap();
    assert_eq!(level.figure("enter-above"), Some(0.8));
    assert_eq!(level.figure("leave-below"), Some(0.41));
    assert_eq!(level.figure("for"), Some(1.5e9));
    assert_eq!(level.figure("memory"), Some(65_536.0));
    assert_eq!(level.texts("refuse")[0].text, "report");
}

#[test]
fn its_mistakes_have_places_and_reasons_like_all_others() {
    let told = |from: &str, to: &str| messages(&read(&TEXT.replace(from, to)));
    assert_eq!(
        told("41%", "90 %"),
        ["site.fb:4:17: error: `leave-below` is not below `enter-above`: the level would swing"]
    );
    assert_eq!(
        told("1.5 s", "1.5m"),
        ["site.fb:5:12: error: `1.5 m` may be minutes or milliseconds (help: write `min` or `ms`)"]
    );
    assert_eq!(told("1.5 s", "0.5 ns"), ["site.fb:5:9: error: `for` is 0.5 ns, finer than 1 ns"]);
    assert_eq!(
        told("64 KiB", "64 KB"),
        ["site.fb:6:15: error: `64 KB` may be 1000 or 1024 bytes (help: write `KiB`, or the number in `B`)"]
    );
    assert_eq!(
        told("80 %", "0.8"),
        ["site.fb:3:17: error: `enter-above` needs a unit: % (help: for example `0.8 %`)"]
    );
    assert_eq!(
        told("service level", "level"),
        ["site.fb:1:1: error: unknown block `level` (help: did you mean `service level`?)"]
    );
    let without = config_language::load(Path::new("site.fb"), &Memory::default().with("site.fb", TEXT), None);
    assert!(messages(&without)[0].contains("unknown block `service level`"));
}

#[test]
fn the_tools_know_it() {
    let (old, new) = (set(TEXT), set(&TEXT.replace("80 %", "90 %").replace("1.5 s", "20 s")));
    let texts: Vec<String> = diff(&old, &new).into_iter().map(|change| change.text).collect();
    assert_eq!(
        texts,
        [
            "service level `amber`: enter-above begins at 90 % of the load, no longer at 80 %",
            "service level `amber`: for 1.5 s -> 20 s, 13.3 times",
        ]
    );
    let warnings = big_changes(&old, &new, None);
    assert_eq!(warnings.len(), 1);
    assert_eq!(warnings[0].reason, "service level `amber`: for 1.5 s -> 20 s, 13.3 times");
    assert!(show(&new, None).contains("  for = 20 s"));
    assert_eq!(format(TEXT, "site.fb").unwrap(), TEXT.replace("41%", "41 %"));
}
