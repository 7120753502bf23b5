//! Whole outputs against files under `tests/expected`. A test never writes there: where an output differs, it
//! says which command takes the new one over, for someone who has read the difference.

mod common;

use invariants::*;
use report::{html, json, table, Heading};
use std::path::Path;

fn expect(name: &str, actual: &str) {
    let expected = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/expected").join(name);
    let text = std::fs::read_to_string(&expected).unwrap_or_default();
    if text == actual {
        return;
    }
    let kept = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&kept, actual).expect("the target folder can be written");
    let line = text.lines().zip(actual.lines()).take_while(|(old, new)| old == new).count();
    panic!(
        "{name} differs from line {} on:\n  expected: {:?}\n  now:      {:?}\nSee `diff {3} {4}`; if that is \
         meant, `cp {4} {3}`.",
        line + 1,
        text.lines().nth(line),
        actual.lines().nth(line),
        expected.display(),
        kept.display(),
    );
}

/// Three seconds with a bit of everything.
fn small() -> (Verdict, Heading) {
    let second = |offered: u32, busy: Vec<Option<f64>>| SecondFigures {
        offered,
        served: offered.saturating_sub(4),
        late: 1,
        refused: 2,
        failed: 1,
        units: vec![f64::from(offered) * 2.0],
        quota: vec![25.0],
        busy,
        gateways_up: 2,
        counter_calls: 5,
    };
    let counts = Counts { asked: 36, served: 28, within_objective: 25, refused: 5, failed: 2, left: 1 };
    let verdict = Verdict {
        violations: vec![Violation {
            rule: Rule::DrainGrace,
            at_s: 1.25,
            text: "a request went to host 1".into(),
        }],
        counts,
        share_served: 0.75,
        weighted_score: 0.7,
        classes: vec![ClassFigures { name: "price-read".into(), counts, latency: Latency::default() }],
        plans: vec![PlanFigures { name: "standard".into(), counts, customers: 2, ..PlanFigures::default() }],
        hosts: vec![HostFigures { host: 0, received: 36, served: 30, ..HostFigures::default() }],
        timeline: vec![
            second(10, vec![Some(0.31), None]),
            second(14, vec![Some(0.97), Some(0.05)]),
            second(12, vec![None, Some(0.5)]),
        ],
        events: vec![(1.0, "kill host 0".into()), (2.9, "the end is near".into())],
        ..Verdict::default()
    };
    (verdict, Heading { length_s: 3.0, digest: None, ..common::heading("Three seconds") })
}

/// The page without its style and script, which are files of their own.
fn without_inlined(page: &str) -> String {
    let style = include_str!("../src/page/style.css");
    let script = include_str!("../src/page/hover.js");
    assert!(page.contains(style) && page.contains(script));
    page.replace(style, "").replace(script, "")
}

#[test]
fn the_table_of_a_night() {
    let (verdict, heading) = common::night();
    expect("night.txt", &table(&verdict, &heading));
}

#[test]
fn the_table_of_a_run_without_requests() {
    expect("empty.txt", &table(&Verdict::default(), &Heading::default()));
}

#[test]
fn the_table_of_many_broken_rules() {
    let rules = [Rule::SingleResponse, Rule::NoDuplicateExecution, Rule::Ceilings, Rule::NoCrash];
    let breach = |i: u32| Violation {
        rule: rules[(i as usize * i as usize / 40) % rules.len()],
        at_s: f64::from(i) * 0.5,
        text: format!(
            "request {i:016x} was wrong in a way that takes more than one line of eighty characters to tell"
        ),
    };
    let verdict = Verdict { violations: (0..2000).map(breach).collect(), ..Verdict::default() };
    expect("broken.txt", &table(&verdict, &common::heading("Many broken rules")));
}

#[test]
fn the_document_of_three_seconds() {
    let (verdict, heading) = small();
    expect("small.json", &json(&verdict, &heading));
}

#[test]
fn the_page_of_three_seconds() {
    let (verdict, heading) = small();
    expect("small.html", &without_inlined(&html(&verdict, &heading)));
}
