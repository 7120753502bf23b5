//! Tests that a violation is explained by the shortest chain of events that causes it.

use crate::found;
use crate::run_builder::{first, order, read, RequestSpec, RunBuilder, SERVED};
use cluster_model::observation::{HostOutcome, Lifecycle};

const ID: u64 = 16;

/// Returns the chain of the only violation.
fn chain(run: &RunBuilder) -> Vec<String> {
    let found = found(run);
    assert_eq!(found.len(), 1, "{found:?}");
    let text = found[0].to_string();
    text.lines().skip(1).map(|line| line.trim().to_owned()).collect()
}

#[test]
fn duplicate_order_is_explained_by_three_events() {
    let mut run = RunBuilder::default();
    run.ask(0, order(ID)).receive(1, ID, 3).done(2, ID, 3, HostOutcome::Rejected);
    run.receive(5, ID, 0).done(100, ID, 0, HostOutcome::Undelivered).receive(102, ID, 1);
    run.receive(104, ID, 2).done(150, ID, 1, HostOutcome::Served).answer(151, ID, SERVED);
    let wanted = [
        "0.005000 s  host 1 had received attempt A completely from gateway 1",
        "0.100000 s  host 1 executed attempt A, the response was lost",
        "0.102000 s  host 2 had received attempt B completely from gateway 1",
    ];
    assert_eq!(chain(&run), wanted);
}

#[test]
fn quota_excess_is_explained_by_earliest_and_latest_events_of_the_window() {
    let mut run = RunBuilder::default();
    // Long before the window, and not part of it.
    run.serve(0, RequestSpec { units: 9.0, ..read(first(1)) });
    (0..20).for_each(|n| {
        run.serve(60_000 + n, RequestSpec { units: 1.0, ..read(first(10 + n)) });
    });
    let lines = chain(&run);
    assert_eq!(lines.len(), 7, "{lines:?}");
    assert!(lines[0].starts_with("60.002000 s  request"), "{lines:?}");
    assert!(lines[3].ends_with("... and 14 more, 14.0 units"), "{lines:?}");
    assert!(lines[6].starts_with("60.021000 s  request"), "{lines:?}");
    let text = &found(&run)[0].text;
    assert!(text.contains("20.0 units within 0.019 s, 7.9 more than 4.0 x 0.019 + 10.0 + 2.0"), "{text}");
}

#[test]
fn drain_violation_names_who_was_notified_and_when() {
    let mut run = RunBuilder::default();
    run.notify_agent(500, 0, 0, Lifecycle::Draining).serve(8_000, read(ID));
    let lines = chain(&run);
    assert!(
        lines[0].starts_with("0.500000 s  the agent of gateway 1 was notified that host 1 is draining"),
        "{lines:?}"
    );
    assert!(lines[1].starts_with("6.500000 s  gateway 1 is considered notified"), "{lines:?}");
    assert!(lines[2].ends_with("the grace period expired"), "{lines:?}");
    assert!(lines[3].ends_with("request 0000000000000010 was forwarded to host 1"), "{lines:?}");
}
