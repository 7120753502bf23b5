//! Properties: nothing panics, nothing takes more than linear time, and what is formatted means the same.

mod common;

use std::path::Path;

use config_language::loader::Memory;
use config_language::model::Operators;
use config_language::{diff, format, load, show, FileSet, Loaded};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The same cases each time.
fn run<S: Strategy>(cases: u32, strategy: S, test: impl Fn(S::Value)) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let outcome = TestRunner::new_with_rng(config, rng).run(&strategy, |value| {
        test(value);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

fn checked(bytes: impl Into<Vec<u8>>) -> Loaded {
    let files = Memory::default().with("site.fb", bytes).with("a.fb", "pool \"a\" {}\n");
    load(Path::new("site.fb"), &files, Some(&common::platform()))
}

/// Whatever is read: it ends, its messages have places within it, and it takes steps in proportion.
fn is_sane(bytes: &[u8]) {
    let loaded = checked(bytes);
    let lines = String::from_utf8_lossy(bytes).matches('\n').count() as u32 + 1;
    for diagnostic in &loaded.diagnostics {
        let spot = diagnostic.place.spot;
        assert!((1..=lines).contains(&spot.line) && spot.column > 0, "{}", diagnostic.one_line());
        assert!(!diagnostic.one_line().contains('\n'));
        assert!(diagnostic.rendered().ends_with('\n'));
    }
    assert_eq!(loaded.set.is_none(), loaded.first_error().is_some());
    assert!(loaded.steps <= 60 * bytes.len() + 2000, "{} steps for {} bytes", loaded.steps, bytes.len());
    if let Ok(text) = std::str::from_utf8(bytes) {
        formats_well(text);
    }
}

/// If it can be written, then once is enough.
fn formats_well(text: &str) {
    let Ok(once) = format(text, "site.fb") else { return };
    assert_eq!(format(&once, "site.fb").unwrap(), once, "from {text:?}");
}

#[test]
fn arbitrary_bytes_are_read_without_harm() {
    run(600, proptest::collection::vec(any::<u8>(), 0..300), |bytes| is_sane(&bytes));
}

#[test]
fn arbitrary_pieces_are_read_without_harm() {
    const PIECES: [&str; 44] = [
        "pool",
        "route",
        "quota",
        "policy",
        "include",
        "let",
        "\"a\"",
        "\"a.fb\"",
        "\"premium\"",
        "{",
        "}",
        "[",
        "]",
        "=",
        ",",
        "..",
        "%",
        "\n",
        "\n",
        "\n",
        "\r\n",
        " ",
        "\t",
        "# x\n",
        "1",
        "1.5",
        "7_0",
        "30 units/s",
        "1.5m",
        "/s",
        "units",
        "00000000000000ff",
        "zones",
        "rate",
        "plan",
        "pool = \"a\"\n",
        "customers",
        "x",
        "\"",
        "\\",
        "-",
        "\u{e9}",
        "pool \"a\" {\n",
        "route \"b\" {\n",
    ];
    let pieces = proptest::collection::vec(proptest::sample::select(&PIECES[..]), 0..60);
    run(4000, pieces, |pieces| {
        is_sane(pieces.concat().as_bytes());
        is_sane(pieces.join(" ").as_bytes());
    });
}

#[test]
fn a_file_that_is_cut_anywhere_is_read_without_harm() {
    let text = "let a = [\"x\", # y\n \"z\"]\npool \"n\" {\n  zones = a\n  cells = 1..2\n}\nroute \"r\" {\n  pool = \"n\"\n  \
                most-out = 3 attempts\n}\nquota policy \"q\" {\n  plan = \"premium\"\n  rate = 1.5 units/s\n}\n";
    (0..text.len()).for_each(|end| is_sane(&text.as_bytes()[..end]));
}

// Sources that are right, in all shapes that the language allows.

fn blank() -> impl Strategy<Value = &'static str> {
    proptest::sample::select(&["", " ", "  ", "\t"][..])
}

/// The end of a line, with what may stand there.
fn end() -> impl Strategy<Value = &'static str> {
    proptest::sample::select(
        &["\n", "\n", "\r\n", " # why\n", "\n\n\n", "\n# own\n", "\n\n  # own\n\n", "#x\n"][..],
    )
}

fn texts() -> impl Strategy<Value = String> {
    let text = || proptest::sample::select(&["a", "b", "s-0", "\u{e9}\\\"\\\\", "premium"][..]);
    let apart = || proptest::sample::select(&[", ", ",", ",\n", " # c\n,", ", # d\n  # e\n"][..]);
    let list = proptest::collection::vec((text(), apart()), 1..5).prop_map(|items| {
        let mut seen = std::collections::BTreeSet::new();
        let items = items.into_iter().filter(|(text, _)| seen.insert(*text));
        items.map(|(text, apart)| format!("\"{text}\"{apart}")).collect::<String>()
    });
    let closed =
        (list, end()).prop_map(|(list, end)| format!("[{}{list}]", if end.contains('#') { end } else { "" }));
    prop_oneof![text().prop_map(|text| format!("\"{text}\"")), closed, Just("given".to_owned())]
}

fn numbers() -> impl Strategy<Value = String> {
    let one = prop_oneof![
        (0..1000_u32).prop_map(|n| n.to_string()),
        (0..1000_u32, 1000..2000_u32).prop_map(|(a, b)| format!("{a}..{b}")),
        Just("1_000_000".to_owned()),
    ];
    proptest::collection::vec(one, 1..4).prop_map(|items| format!("[{}]", items.join(" ,")))
}

fn rate() -> impl Strategy<Value = String> {
    (
        1..1000_u32,
        0..100_u32,
        proptest::sample::select(&["units/s", "units/min", " units/h", "  units/s"][..]),
    )
        .prop_map(|(whole, part, unit)| format!("{whole}.{part}{unit}"))
}

fn block() -> impl Strategy<Value = (String, Vec<(&'static str, String)>)> {
    let pool = (texts(), numbers()).prop_map(|(zones, cells)| {
        ("pool".to_owned(), vec![("zones", zones), ("cells", cells), ("ids", "\"i\"".to_owned())])
    });
    let route = (texts(), numbers(), 1..99_u32).prop_map(|(plans, customers, out)| {
        let out = format!("{out}attempts");
        (
            "route".to_owned(),
            vec![("pool", "\"there\"".into()), ("plans", plans), ("customers", customers), ("most-out", out)],
        )
    });
    let policy = rate()
        .prop_map(|rate| ("quota  policy".to_owned(), vec![("rate", rate), ("open", "1 attempt".into())]));
    let site = (1..9000_u32, 2..999_u32).prop_map(|(load, ramp)| {
        let settings = vec![
            ("load", format!("{load}requests/min")),
            ("headroom", "7.5%".into()),
            ("ramp", format!("{ramp} s")),
        ];
        ("site".to_owned(), settings)
    });
    let shed = (texts(), 0..99_u32).prop_map(|(plans, floor)| {
        ("shed".to_owned(), vec![("plans", plans), ("floor", format!("{floor} percent"))])
    });
    prop_oneof![pool, route, policy, site, shed]
}

fn source() -> impl Strategy<Value = String> {
    let written = (block(), blank(), end(), end(), proptest::collection::vec((blank(), end()), 4));
    proptest::collection::vec(written, 0..6).prop_map(|blocks| {
        let mut text = "let given = \"x\"\npool \"there\" {}\n".to_owned();
        for (n, ((kind, settings), indent, open, close, ends)) in blocks.into_iter().enumerate() {
            text += &format!("{indent}{kind} \"n{n}\"{indent}{{{open}");
            if kind.starts_with("quota") {
                text += &format!("plan=\"p{n}\"\n");
            }
            if kind == "site" {
                text += &format!("zones=\"z{n}\"\n");
            }
            for ((key, value), (blank, end)) in settings.iter().zip(&ends) {
                text += &format!("{indent}{key}{blank}={blank}{value}{end}");
            }
            text += &format!("}}{close}");
        }
        text
    })
}

fn set(text: &str) -> Option<FileSet> {
    load(Path::new("site.fb"), &Memory::default().with("site.fb", text), None).set
}

/// What it means, without where that is written.
fn meaning(operators: &Operators) -> String {
    let text = format!("{operators:?}");
    let mut out = String::new();
    for (i, part) in text.split("origin: Origin {").enumerate() {
        out += if i == 0 { part } else { part.split_once('}').map_or("", |(_, rest)| rest) };
    }
    out
}

#[test]
fn formatting_changes_no_meaning_and_loses_no_comment() {
    let (read, shadowed) = (std::cell::Cell::new(0), std::cell::Cell::new(0));
    run(1500, source(), |text| {
        let formatted =
            format(&text, "site.fb").unwrap_or_else(|error| panic!("{}\n{text}", error.rendered()));
        assert_eq!(format(&formatted, "site.fb").unwrap(), formatted, "from\n{text}");
        assert_eq!(comments(&formatted), comments(&text), "{text}\n->\n{formatted}");
        match (set(&text), set(&formatted)) {
            (Some(before), Some(after)) => {
                assert_eq!(meaning(&before.operators), meaning(&after.operators), "{text}");
                assert_eq!(diff(&before, &after), []);
                let shown = set(&show(&before, None)).expect("what is shown is a file");
                assert_eq!(meaning(&before.operators), meaning(&shown.operators), "{text}");
                read.set(read.get() + 1);
            }
            (None, None) => shadowed.set(shadowed.get() + 1),
            _ => panic!("one can be used, the other cannot:\n{text}\n->\n{formatted}"),
        }
    });
    assert!(read.get() > 1000, "{} of 1500 could be used, {} not", read.get(), shadowed.get());
}

fn comments(text: &str) -> Vec<String> {
    let mut all: Vec<String> = text
        .lines()
        .filter_map(|line| line.split_once('#').map(|(_, comment)| comment.trim_end().to_owned()))
        .collect();
    all.sort();
    all
}

// Time, counted in steps.

/// A set over several files: routes by customers, classes and plans, and a policy for each of many plans.
fn large(routes: usize, policies: usize) -> Memory {
    let mut files = Memory::default();
    let mut names = vec!["pools.fb".to_owned()];
    files = files.with(
        "pools.fb",
        "pool \"north\" { zones = \"building-1\" }\npool \"all\" {}\nlet bound = 40 attempts\n",
    );
    for (part, start) in (0..routes).step_by(1000).enumerate() {
        let text: String = (start..routes.min(start + 1000)).map(route).collect();
        names.push(format!("routes{part}.fb"));
        files = files.with(format!("routes{part}.fb"), text);
    }
    let text: String = (0..policies)
        .map(|n| format!("quota policy \"q{n}\" {{\n  plan = \"plan-{n}\"\n  rate = 20 units/s\n  burst = 40 units\n}}\n"))
        .collect();
    names.push("policies.fb".into());
    files = files.with("policies.fb", text);
    let text: String = names.iter().map(|name| format!("include \"{name}\"\n")).collect();
    files.with("site.fb", text + "route \"rest\" {\n  pool = \"all\"\n}\n")
}

fn route(n: usize) -> String {
    let class = ["price-read", "unit-order", "report"][n % 3];
    let customers = format!("{}..{}", n * 100, n * 100 + 99);
    format!(
        "route \"r{n}\" {{\n  classes = \"{class}\"\n  customers = [{customers}]\n  pool = \"north\"\n  fallback = \"all\"\n  \
         most-out = bound\n}}\n"
    )
}

fn steps(files: &Memory) -> usize {
    let loaded = load(Path::new("site.fb"), files, None);
    assert_eq!(common::messages(&loaded), [""; 0]);
    loaded.steps
}

#[test]
fn ten_times_the_routes_take_ten_times_the_steps() {
    let (small, large) = (steps(&large(600, 60)), steps(&large(6000, 600)));
    assert!(large < 11 * small, "{small} and {large} steps");
}

/// Texts made to take long, of a size.
fn hostile(kind: usize, size: usize) -> String {
    let times = |text: &str| text.repeat(size / text.len());
    match kind {
        0 => times("["),
        1 => times("\"a\" "),
        2 => times("pool \"a\" {\n"),
        3 => format!("let a = [{}", times("1,")),
        4 => times("a "),
        5 => times("1.1.1."),
        6 => (0..size / 16).map(|n| format!("let a{n} = a{}\n", n + 1)).collect(),
        7 => (0..size / 16).map(|n| format!("pool \"p{n}\" {{}}\n")).collect(),
        8 => (0..size / 40)
            .map(|n| format!("route \"r{n}\" {{\n customers = 0..{n}\n pool = \"x\"\n}}\n"))
            .collect(),
        9 => (0..size / 50)
            .map(|n| {
                format!(
                    "route \"r{n}\" {{\n classes = \"c{n}\"\n customers = {n}..90000\n pool = \"x\"\n}}\n"
                )
            })
            .collect(),
        10 => (0..size / 40).map(|n| format!("route \"r{n}\" {{\n pool = \"abcdefg{n}\"\n}}\n")).collect(),
        _ => times("\\\"\\"),
    }
}

#[test]
fn texts_made_to_take_long_take_steps_in_proportion() {
    for kind in 0..12 {
        let steps = |size| {
            let text = hostile(kind, size);
            checked(text.as_bytes()).steps
        };
        let (small, large) = (steps(20_000), steps(200_000));
        // What overlaps too often is given up at a bound of its own.
        assert!(large < 11 * small + 1_500_000, "kind {kind}: {small} and {large} steps");
    }
}
