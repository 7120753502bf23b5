//! The operators' page on scenario files says what the reader does.

use cluster_model::file::{parse, reference, shipped, EVENT_KEYWORDS};
use cluster_model::scenario::Selector;

const PAGE: &str = include_str!("../../../docs/rehearsal-scenarios.md");

/// The fenced blocks of the page that are marked so.
fn blocks(mark: &str) -> Vec<String> {
    let fence = format!("```{mark}\n");
    let bodies = PAGE.split(&fence).skip(1);
    bodies.map(|rest| rest.split("```").next().unwrap_or_default().to_owned()).collect()
}

/// The part of the page under the heading that begins so.
fn part(heading: &str) -> &'static str {
    let under = PAGE.split("\n### ").find(|part| part.starts_with(heading));
    under.unwrap_or_else(|| panic!("no heading {heading}"))
}

#[test]
fn each_example_can_be_read() {
    let examples = blocks("scenario");
    assert!(examples.len() >= 8);
    for text in examples {
        parse("page", &text).unwrap_or_else(|error| panic!("{error}\n{text}"));
    }
}

#[test]
fn each_event_is_explained_and_has_an_example() {
    let examples = blocks("events").concat();
    let read =
        parse("page", &format!("scenario \"events\"\n{examples}")).unwrap_or_else(|error| panic!("{error}"));
    let faults = ["lost", "silent", "mute", "slow", "split", "fresh", "flapping", "full"];
    let news = ["silent", "late", "repeats", "reordered", "cut"];
    let counter = faults.map(|fault| format!("counter {fault}"));
    let discovery = news.map(|fault| format!("discovery {fault}"));
    let plain = EVENT_KEYWORDS
        .iter()
        .filter(|verb| !["counter", "discovery"].contains(*verb))
        .map(|verb| verb.to_string());
    for words in plain.chain(counter).chain(discovery) {
        assert!(PAGE.contains(&format!("\n| `{words}` | ")), "{words} is not explained");
        let shown = read.events.iter().any(|timed| timed.event.to_string().starts_with(&words));
        assert!(shown, "{words} has no example");
    }
    assert!(PAGE.contains("\n| `leave early` | ") && examples.contains("leave early"));
}

#[test]
fn each_sign_is_explained_and_has_an_example() {
    let signs = blocks("signs").concat();
    let read =
        parse("page", &format!("scenario \"signs\"\n{signs}")).unwrap_or_else(|error| panic!("{error}"));
    // One of each kind, and the states and ends of machines both ways.
    assert_eq!(read.events.len(), 14);
    for timed in &read.events {
        let sign = timed.trigger.as_ref().map(ToString::to_string).unwrap_or_default();
        assert!(PAGE.contains(&format!("\n| `{sign}` | ")), "{sign} is not explained");
    }
}

#[test]
fn each_key_stands_with_its_default_and_bounds() {
    for entry in reference() {
        let heading = match entry.section {
            "site" | "traffic" => format!("Lines of `{}`", entry.section),
            "class" | "plan" => format!("`{} NAME`", entry.section),
            section => format!("`{section}`"),
        };
        let row = format!("\n| `{}` | `{}` | {} | ", entry.key, entry.default, entry.bounds);
        assert!(part(&heading).contains(&row), "{}: {row}", entry.section);
    }
}

#[test]
fn each_shipped_scenario_is_listed() {
    for (name, _) in shipped() {
        assert!(PAGE.contains(&format!("\n| `{name}` | ")), "{name}");
    }
}

#[test]
fn the_rounding_of_shares_is_the_one_of_the_page() {
    assert!(
        PAGE.contains("**41 % of 3 gateways is 1**") && PAGE.contains("of 10 it is 4, and 1 % of 3 is 1")
    );
    assert_eq!(
        [(0.41, 3), (0.41, 10), (0.01, 3)].map(|(share, all)| Selector::Share(share).count(all)),
        [1, 4, 1]
    );
}

#[test]
fn the_messages_on_the_page_are_those_of_the_reader() {
    let lines = ["site", "\n  hsots 3", "traffic", "\n  rate 130"];
    for (pair, line, wanted) in [
        (&lines[..2], 7, "night.scenario:7:3: unknown key `hsots`; did you mean `hosts`?"),
        (&lines[2..], 9, "night.scenario:9:11: `rate` needs a unit: requests/s"),
    ] {
        let blank = "\n".repeat(line - 3);
        let told = parse("night.scenario", &format!("scenario \"x\"\n{blank}{}", pair.concat())).unwrap_err();
        assert!(PAGE.contains(wanted));
        assert_eq!(told.to_string(), wanted);
    }
}
