//! The operators' file of the deploy folder, and the pages that name commands.

use crate::support::{Folder, EXAMPLE, OPERATORS, ROOT};
use std::fs;
use std::path::Path;

/// The examples of the operators' file, as a file of their own.
fn examples() -> String {
    let text = fs::read_to_string(OPERATORS).unwrap();
    let lines = text.lines().filter_map(|line| line.strip_prefix("#|"));
    // Each part of the text has its example; there is a blank line between them.
    lines.map(|line| format!("{}\n", line.strip_prefix(' ').unwrap_or(line))).collect()
}

#[test]
fn the_operators_file_is_good_tidy_and_changes_nothing() {
    let folder = Folder::with("empty.fb", "");
    folder.config(&format!("fmt --check {OPERATORS}")).is(0, "", "");
    for settings in ["", &format!(" --settings {EXAMPLE}")] {
        let checked = folder.config(&format!("check {OPERATORS}{settings}"));
        assert_eq!((checked.code, checked.err.as_str()), (0, ""));
        assert!(checked.out.contains(": can be used: 1 file, 0 pools, 0 routes, 0 quota policies"));
    }
    folder.config(&format!("diff --exit-code empty.fb {OPERATORS}")).is(0, "", "");
    let shown = folder.config(&format!("show {OPERATORS} --settings {EXAMPLE}")).out;
    assert_eq!(shown.matches("from the platform's settings").count(), 6, "{shown}");
    assert!(!shown.contains("from quota policy"), "{shown}");
}

/// Names in the example's settings, and what stands in their place in the operators' file.
const NEUTRAL: [(&str, &str); 8] = [
    ("price-read", "CLASS-1"),
    ("unit-order", "CLASS-2"),
    ("standard", "PLAN-1"),
    ("premium", "PLAN-2"),
    ("building-1", "ZONE-1"),
    ("building-2", "ZONE-2"),
    ("building-3", "ZONE-3"),
    ("std-2core", "MACHINE-1"),
];

#[test]
fn the_examples_in_the_operators_file_are_good_at_a_deployment_of_their_names() {
    let mut settings = fs::read_to_string(EXAMPLE).unwrap();
    for (name, neutral) in NEUTRAL {
        assert!(settings.contains(&format!("\"{name}\"")), "{name}");
        settings = settings.replace(&format!("\"{name}\""), &format!("\"{neutral}\""));
    }
    let folder = Folder::with("examples.fb", &examples());
    folder.put("settings.json", settings);
    let checked = folder.config("check examples.fb --settings settings.json");
    checked.is(
        0,
        "examples.fb: can be used: 1 file, 2 pools, 1 route, 1 quota policy, 3 sites, 2 takeovers, 1 shed\n",
        "",
    );
}

const PAGES: [&str; 5] = [
    "README.md",
    "CHANGELOG.md",
    "docs/operators-language.md",
    "docs/operators-config.md",
    "deploy/operators.fb",
];

fn page(name: &str) -> String {
    fs::read_to_string(Path::new(ROOT).join(name)).unwrap()
}

/// The commands `api-gateway config ...` of a text, each as its words.
fn commands(text: &str) -> Vec<Vec<&str>> {
    let parts = text.split("api-gateway config ").skip(1);
    let commands = parts.map(|part| part.split(['`', '\n']).next().unwrap());
    let words = commands.map(|command| command.split_whitespace().collect::<Vec<&str>>());
    // `api-gateway config ...` stands for all of them.
    words.filter(|words| words.first().is_some_and(|tool| *tool != "...")).collect()
}

#[test]
fn the_pages_name_commands_that_there_are() {
    let folder = Folder::new();
    let texts = PAGES.map(page);
    let all: Vec<Vec<&str>> = texts.iter().flat_map(|text| commands(text)).collect();
    assert!(all.len() >= 15, "{all:?}");
    for words in all {
        let tool = words[0].trim_end_matches(',');
        let help = folder.run(&["config", tool, "--help"]);
        assert_eq!(help.code, 0, "{words:?}");
        for option in words.iter().filter(|word| word.starts_with("--")) {
            assert!(help.out.contains(&format!("{option} ")), "{words:?}");
        }
    }
}

#[test]
fn the_pages_name_files_that_there_are() {
    for (name, text) in PAGES.iter().zip(PAGES.map(page)) {
        for (at, _) in text.match_indices("deploy/") {
            let path =
                text[at..].split(|c: char| !(c.is_alphanumeric() || "/.-_".contains(c))).next().unwrap();
            assert!(Path::new(ROOT).join(path.trim_end_matches('.')).exists(), "{name}: {path}");
        }
    }
}
