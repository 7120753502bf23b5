//! The operators' file of the deploy folder, and the commands and files that documentation pages name.

use crate::support::{Folder, EXAMPLE, OPERATORS, ROOT};
use std::fs;
use std::path::Path;

/// Returns the examples in the comments of the operators' file as one text.
fn examples() -> String {
    let text = fs::read_to_string(OPERATORS).unwrap();
    let lines = text.lines().filter_map(|line| line.strip_prefix("#|"));
    // Each section of the file has an example, and ends it with an empty line.
    lines.map(|line| format!("{}\n", line.strip_prefix(' ').unwrap_or(line))).collect()
}

#[test]
fn the_operators_file_is_valid_formatted_and_without_effect() {
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

/// Names in the example's settings, and the placeholders for them in the operators' file.
const PLACEHOLDERS: [(&str, &str); 8] = [
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
fn the_examples_in_the_operators_file_are_valid_with_their_names() {
    let mut settings = fs::read_to_string(EXAMPLE).unwrap();
    for (name, placeholder) in PLACEHOLDERS {
        assert!(settings.contains(&format!("\"{name}\"")), "{name}");
        settings = settings.replace(&format!("\"{name}\""), &format!("\"{placeholder}\""));
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

/// Returns the commands `api-gateway config ...` in a text, each split into its arguments.
fn commands(text: &str) -> Vec<Vec<&str>> {
    let parts = text.split("api-gateway config ").skip(1);
    let commands = parts.map(|part| part.split(['`', '\n']).next().unwrap());
    let arguments = commands.map(|command| command.split_whitespace().collect::<Vec<&str>>());
    // `api-gateway config ...` itself denotes all of them.
    arguments.filter(|arguments| arguments.first().is_some_and(|tool| *tool != "...")).collect()
}

#[test]
fn commands_in_the_pages_exist() {
    let folder = Folder::new();
    let texts = PAGES.map(page);
    let all: Vec<Vec<&str>> = texts.iter().flat_map(|text| commands(text)).collect();
    assert!(all.len() >= 15, "{all:?}");
    for arguments in all {
        let tool = arguments[0].trim_end_matches(',');
        let help = folder.run(&["config", tool, "--help"]);
        assert_eq!(help.code, 0, "{arguments:?}");
        for option in arguments.iter().filter(|argument| argument.starts_with("--")) {
            assert!(help.out.contains(&format!("{option} ")), "{arguments:?}");
        }
    }
}

#[test]
fn files_in_the_pages_exist() {
    for (name, text) in PAGES.iter().zip(PAGES.map(page)) {
        for (at, _) in text.match_indices("deploy/") {
            let path =
                text[at..].split(|c: char| !(c.is_alphanumeric() || "/.-_".contains(c))).next().unwrap();
            assert!(Path::new(ROOT).join(path.trim_end_matches('.')).exists(), "{name}: {path}");
        }
    }
}
