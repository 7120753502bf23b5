//! The documentation of scenario files agrees with the parser.

use cluster_model::file::{parse, reference, shipped, EVENT_KEYWORDS};
use cluster_model::scenario::Selector;

const PAGE: &str = include_str!("../../../docs/rehearsal-scenarios.md");

/// Returns the fenced code blocks of the page with this language tag.
fn blocks(tag: &str) -> Vec<String> {
    let fence = format!("```{tag}\n");
    let bodies = PAGE.split(&fence).skip(1);
    bodies.map(|rest| rest.split("```").next().unwrap_or_default().to_owned()).collect()
}

/// Returns the part of the page under the heading that begins with this text.
fn section(heading: &str) -> &'static str {
    let found = PAGE.split("\n### ").find(|part| part.starts_with(heading));
    found.unwrap_or_else(|| panic!("no heading {heading}"))
}

#[test]
fn each_example_is_a_valid_scenario() {
    let examples = blocks("scenario");
    assert!(examples.len() >= 8);
    for text in examples {
        parse("page", &text).unwrap_or_else(|error| panic!("{error}\n{text}"));
    }
}

#[test]
fn each_event_is_documented_and_has_an_example() {
    let examples = blocks("events").concat();
    let scenario =
        parse("page", &format!("scenario \"events\"\n{examples}")).unwrap_or_else(|error| panic!("{error}"));
    let counter_faults = ["lost", "silent", "mute", "slow", "split", "fresh", "flapping", "full"];
    let discovery_faults = ["silent", "late", "repeats", "reordered", "cut"];
    let counter = counter_faults.map(|fault| format!("counter {fault}"));
    let discovery = discovery_faults.map(|fault| format!("discovery {fault}"));
    let keywords = EVENT_KEYWORDS
        .iter()
        .filter(|word| !["counter", "discovery"].contains(*word))
        .map(|word| word.to_string());
    for words in keywords.chain(counter).chain(discovery) {
        assert!(PAGE.contains(&format!("\n| `{words}` | ")), "{words} is not documented");
        let shown = scenario.events.iter().any(|scheduled| scheduled.event.to_string().starts_with(&words));
        assert!(shown, "{words} has no example");
    }
    assert!(PAGE.contains("\n| `leave early` | ") && examples.contains("leave early"));
}

#[test]
fn each_trigger_is_documented_and_has_an_example() {
    let triggers = blocks("signs").concat();
    let scenario =
        parse("page", &format!("scenario \"signs\"\n{triggers}")).unwrap_or_else(|error| panic!("{error}"));
    // One of each kind, with each state of a host, and both start and end of machines.
    assert_eq!(scenario.events.len(), 14);
    for scheduled in &scenario.events {
        let trigger = scheduled.trigger.as_ref().map(ToString::to_string).unwrap_or_default();
        assert!(PAGE.contains(&format!("\n| `{trigger}` | ")), "{trigger} is not documented");
    }
}

#[test]
fn each_key_is_documented_with_its_default_and_bounds() {
    for entry in reference() {
        let heading = match entry.section {
            "site" | "traffic" => format!("Lines of `{}`", entry.section),
            "class" | "plan" => format!("`{} NAME`", entry.section),
            section => format!("`{section}`"),
        };
        let row = format!("\n| `{}` | `{}` | {} | ", entry.key, entry.default, entry.bounds);
        assert!(section(&heading).contains(&row), "{}: {row}", entry.section);
    }
}

#[test]
fn each_shipped_scenario_is_listed() {
    for (name, _) in shipped() {
        assert!(PAGE.contains(&format!("\n| `{name}` | ")), "{name}");
    }
}

#[test]
fn shares_are_rounded_as_documented() {
    assert!(
        PAGE.contains("**41 % of 3 gateways is 1**") && PAGE.contains("of 10 it is 4, and 1 % of 3 is 1")
    );
    assert_eq!(
        [(0.41, 3), (0.41, 10), (0.01, 3)].map(|(share, all)| Selector::Share(share).count(all)),
        [1, 4, 1]
    );
}

#[test]
fn the_documented_messages_are_those_of_the_parser() {
    let lines = ["site", "\n  hsots 3", "traffic", "\n  rate 130"];
    for (pair, line, expected) in [
        (&lines[..2], 7, "night.scenario:7:3: unknown key `hsots`; did you mean `hosts`?"),
        (&lines[2..], 9, "night.scenario:9:11: `rate` needs a unit: requests/s"),
    ] {
        let blank = "\n".repeat(line - 3);
        let error =
            parse("night.scenario", &format!("scenario \"x\"\n{blank}{}", pair.concat())).unwrap_err();
        assert!(PAGE.contains(expected));
        assert_eq!(error.to_string(), expected);
    }
}
