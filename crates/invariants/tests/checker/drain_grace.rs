//! Grace period of draining hosts.

use crate::run_builder::{first, read, RunBuilder, SERVED};
use cluster_model::observation::{HostOutcome, Lifecycle, ObservationKind};
use invariants::Rule;

/// Returns the rules violated when gateway 0 is notified of these states of host 3 and then forwards to it.
fn violated_rules(news: &[(u64, Lifecycle)], sent_ms: u64) -> Vec<Rule> {
    let mut run = RunBuilder::default();
    news.iter().for_each(|(ms, state)| {
        run.notify_gateway(*ms, 0, 3, *state);
    });
    send(&mut run, sent_ms)
}

/// Returns the rules violated when gateway 0 starts to send a command to host 3 at `sent_ms`, at most 500 ms before the
/// host has received it completely.
fn send(run: &mut RunBuilder, sent_ms: u64) -> Vec<Rule> {
    let (id, whole) = (first(1), sent_ms + 300);
    run.ask(sent_ms, read(id)).receive_sent(sent_ms, whole, id, 3).done(
        whole + 50,
        id,
        3,
        HostOutcome::Served,
    );
    run.answer(whole + 51, id, SERVED).violated_rules()
}

#[test]
fn command_counts_from_its_first_byte_and_grace_is_50_ms_longer() {
    for state in [Lifecycle::Draining, Lifecycle::Removed] {
        assert_eq!(violated_rules(&[(4_900, state)], 5_200), []);
        assert_eq!(violated_rules(&[(4_900, state)], 5_201), [Rule::DrainGrace]);
    }
}

#[test]
fn repeated_notification_does_not_restart_the_grace_period() {
    let news = [(4_000, Lifecycle::Draining), (4_900, Lifecycle::Draining), (4_950, Lifecycle::Removed)];
    assert_eq!(violated_rules(&news, 5_001), [Rule::DrainGrace]);
}

#[test]
fn host_notified_as_in_service_again_accepts_requests() {
    assert_eq!(violated_rules(&[(1_000, Lifecycle::Draining), (4_000, Lifecycle::InService)], 5_001), []);
    let back = [(1_000, Lifecycle::Draining), (4_000, Lifecycle::InService), (4_500, Lifecycle::Removed)];
    assert_eq!(violated_rules(&back, 5_001), [Rule::DrainGrace]);
}

#[test]
fn gateway_is_considered_notified_six_seconds_after_its_agent() {
    for state in [Lifecycle::Draining, Lifecycle::Removed] {
        let mut run = RunBuilder::default();
        run.notify_agent(4_000, 0, 3, state).notify_agent(5_000, 0, 3, Lifecycle::Removed);
        assert_eq!(send(&mut run.clone(), 10_300), []);
        assert_eq!(send(&mut run.clone(), 10_301), [Rule::DrainGrace]);
        run.notify_gateway(4_100, 0, 3, state);
        assert_eq!(send(&mut run.clone(), 4_401), [Rule::DrainGrace], "at the latest");
    }
}

#[test]
fn gateway_is_considered_notified_no_earlier_than_its_start() {
    let mut run = RunBuilder::default();
    run.notify_agent(1_000, 0, 3, Lifecycle::Draining)
        .observe(500, ObservationKind::GatewayUp { gateway: 0 });
    assert_eq!(send(&mut run.clone(), 7_301), [Rule::DrainGrace]);
    run.observe(4_000, ObservationKind::GatewayDown { gateway: 0, expected: true });
    assert_eq!(send(run.clone().observe(6_000, ObservationKind::GatewayUp { gateway: 0 }), 7_300), []);
    assert_eq!(
        send(run.clone().observe(6_000, ObservationKind::GatewayUp { gateway: 0 }), 7_301),
        [Rule::DrainGrace]
    );
    assert_eq!(send(run.clone().observe(9_000, ObservationKind::GatewayUp { gateway: 0 }), 9_300), []);
    assert_eq!(
        send(run.clone().observe(9_000, ObservationKind::GatewayUp { gateway: 0 }), 9_301),
        [Rule::DrainGrace]
    );
}

#[test]
fn superseded_notification_does_not_count() {
    let mut run = RunBuilder::default();
    run.notify_agent(1_000, 0, 3, Lifecycle::Draining).notify_agent(4_000, 0, 3, Lifecycle::InService);
    assert_eq!(send(&mut run.clone(), 9_000), []);
    // The notification of the return takes as long as any other; until then the notification of the drain holds.
    run.notify_gateway(1_000, 0, 3, Lifecycle::Draining);
    assert_eq!(send(&mut run.clone(), 9_999), [Rule::DrainGrace]);
    assert_eq!(send(&mut run.clone(), 10_000), []);
    assert_eq!(send(run.clone().notify_agent(8_000, 0, 3, Lifecycle::Removed), 10_000), [Rule::DrainGrace]);
}

#[test]
fn gateway_notification_may_precede_agent_notification_with_equal_timestamps() {
    let mut run = RunBuilder::default();
    run.notify_gateway(1_000, 0, 3, Lifecycle::Draining).notify_agent(1_000, 0, 3, Lifecycle::Draining);
    run.notify_gateway(3_000, 0, 3, Lifecycle::InService).notify_agent(3_000, 0, 3, Lifecycle::InService);
    assert_eq!(send(&mut run.clone(), 3_000), []);
    assert_eq!(send(&mut run.clone(), 9_000), []);
}

#[test]
fn notifications_apply_only_to_their_gateway_and_host() {
    let mut run = RunBuilder::default();
    run.notify_gateway(0, 1, 0, Lifecycle::Removed)
        .notify_gateway(0, 0, 1, Lifecycle::Removed)
        .serve(1_000, read(first(1)));
    run.notify_agent(0, 1, 0, Lifecycle::Removed)
        .notify_agent(0, 0, 1, Lifecycle::Removed)
        .serve(9_000, read(first(2)));
    assert_eq!(run.violated_rules(), []);
}
