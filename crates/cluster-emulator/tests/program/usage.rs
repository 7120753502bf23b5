//! What it takes, prints and writes.

use crate::{run, said, stderr, stdout, Folder, SHORT_NIGHT};
use cluster_model::file::shipped;
use serde_json::Value;
use std::process::Output;

/// It fails with status 1 and this one line.
fn fails_with(output: &Output, line: &str) {
    assert_eq!((output.status.code(), stdout(output).as_str()), (Some(1), ""));
    assert_eq!(stderr(output), format!("cluster-emulator: {line}\n"));
}

#[test]
fn all_shipped_scenarios_are_listed() {
    let list = said(&["--list"]);
    assert_eq!(list.lines().count(), shipped().len());
    for ((name, _), line) in shipped().iter().zip(list.lines()) {
        let title = line.strip_prefix(name).unwrap_or_else(|| panic!("{name}: {line}"));
        assert!(title.starts_with(' ') && !title.trim().is_empty(), "{line}");
    }
}

#[test]
fn a_name_that_nothing_has_is_one_line_and_status_1() {
    let wanted = "no shipped scenario is called `nigth`, and there is no such file (see --list)";
    fails_with(&run(&["nigth"]), wanted);
}

#[test]
fn a_broken_scenario_is_one_line_that_names_file_line_and_column() {
    let folder = Folder::new();
    let broken = folder.scenario("broken.scenario", "scenario \"x\"\nsite\n  hsots 4\n");
    fails_with(&run(&[&broken]), &format!("{broken}:3:3: unknown key `hsots`; did you mean `hosts`?"));
}

#[test]
fn a_file_that_is_not_there_is_one_line() {
    let output = run(&["/nowhere/a.scenario"]);
    assert_eq!(output.status.code(), Some(1));
    let said = stderr(&output);
    assert!(said.starts_with("cluster-emulator: cannot read /nowhere/a.scenario: "), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
}

#[test]
fn wrong_usage_is_status_2() {
    for args in [
        &["--sede", "1"][..],
        &["--seed", "x"],
        &["--real", "--digest"],
        &["--only", "1"],
        // What would say nothing of it, and do nothing.
        &["--swarm", "1", "--json", "x"],
        &["night", "--swarm", "1"],
        &["night", "--swarm-site", "1"],
        &["--replay", "x"],
        &["night", "--real", "--links", "--replay", "x"],
    ] {
        let output = run(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {}", stderr(&output));
    }
}

#[test]
fn json_and_the_report_are_written() {
    let folder = Folder::new();
    let night = folder.scenario("short.scenario", SHORT_NIGHT);
    let (json, page) = (folder.path("out.json"), folder.path("out.html"));
    let table = said(&[&night, "--json", &json, "--report", &page]);
    assert!(table.contains("All rules kept."), "{table}");
    let json: Value = serde_json::from_str(&std::fs::read_to_string(json).unwrap()).unwrap();
    assert_eq!(json["format"], 1);
    assert_eq!(json["heading"]["title"], "A short night");
    assert!(json["verdict"]["counts"]["served"].as_u64().is_some_and(|served| served > 100));
    let page = std::fs::read_to_string(page).unwrap();
    assert!(page.contains("<svg") && page.contains("A short night"));
}

#[test]
fn a_broken_rule_is_status_1_and_stands_in_the_table() {
    // No gateway can keep this: answers have to be there at once, and the way takes 0.2 s.
    let folder = Folder::new();
    let far = folder.scenario(
        "far.scenario",
        "scenario \"Too far away\"
        length 4 s
        site
          rules answer-slack 0 s
          network client 200 ms
        traffic
          rate 20 requests/s
        at 1 s: slow all hosts x 100 for 3 s",
    );
    let output = run(&[&far]);
    assert_eq!(output.status.code(), Some(1));
    let table = stdout(&output);
    assert!(table.contains("BROKEN  one answer") && table.contains("was lost at gateway"), "{table}");
}

#[test]
fn a_random_site_is_shown_as_a_file_that_plays_the_same() {
    let folder = Folder::new();
    let shown = said(&["--swarm-site", "3", "--show"]);
    let file = folder.scenario("swarm-3.scenario", &shown);
    assert_eq!(said(&[&file, "--seed", "3", "--digest"]), said(&["--swarm-site", "3", "--digest"]));
    assert!(said(&["--swarm", "2", "--seed", "3", "--jobs", "2"])
        .contains("2 random sites from 3: no rule broken"));
}
