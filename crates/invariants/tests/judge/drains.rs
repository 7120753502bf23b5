//! Drains are kept.

use crate::day::{first, read, Day, SERVED};
use cluster_model::observation::{HostOutcome, Lifecycle, ObservationKind};
use invariants::Rule;

/// Told the news of host 3 one after another, gateway 0 sends to it from then on.
fn broken(news: &[(u64, Lifecycle)], sent_ms: u64) -> Vec<Rule> {
    let mut day = Day::default();
    news.iter().for_each(|(ms, state)| {
        day.tell(*ms, 0, 3, *state);
    });
    send(&mut day, sent_ms)
}

/// Rules broken when gateway 0 sends to host 3 from then on, 500 ms at the most before the command is whole.
fn send(day: &mut Day, sent_ms: u64) -> Vec<Rule> {
    let (id, whole) = (first(1), sent_ms + 300);
    day.ask(sent_ms, read(id)).receive_sent(sent_ms, whole, id, 3).done(
        whole + 50,
        id,
        3,
        HostOutcome::Served,
    );
    day.answer(whole + 51, id, SERVED).broken()
}

#[test]
fn a_send_counts_from_its_first_byte_and_the_grace_is_50_ms_longer() {
    for state in [Lifecycle::Draining, Lifecycle::Removed] {
        assert_eq!(broken(&[(4_900, state)], 5_200), []);
        assert_eq!(broken(&[(4_900, state)], 5_201), [Rule::DrainGrace]);
    }
}

#[test]
fn the_same_news_again_gives_no_new_grace() {
    let news = [(4_000, Lifecycle::Draining), (4_900, Lifecycle::Draining), (4_950, Lifecycle::Removed)];
    assert_eq!(broken(&news, 5_001), [Rule::DrainGrace]);
}

#[test]
fn a_host_told_to_be_in_service_again_takes_work() {
    assert_eq!(broken(&[(1_000, Lifecycle::Draining), (4_000, Lifecycle::InService)], 5_001), []);
    let back = [(1_000, Lifecycle::Draining), (4_000, Lifecycle::InService), (4_500, Lifecycle::Removed)];
    assert_eq!(broken(&back, 5_001), [Rule::DrainGrace]);
}

#[test]
fn what_an_agent_has_heard_counts_as_told_six_seconds_later() {
    for state in [Lifecycle::Draining, Lifecycle::Removed] {
        let mut day = Day::default();
        day.hear(4_000, 0, 3, state).hear(5_000, 0, 3, Lifecycle::Removed);
        assert_eq!(send(&mut day.clone(), 10_300), []);
        assert_eq!(send(&mut day.clone(), 10_301), [Rule::DrainGrace]);
        day.tell(4_100, 0, 3, state);
        assert_eq!(send(&mut day.clone(), 4_401), [Rule::DrainGrace], "at the latest");
    }
}

#[test]
fn a_gateway_that_starts_later_counts_as_told_from_then_on() {
    let mut day = Day::default();
    day.hear(1_000, 0, 3, Lifecycle::Draining).see(500, ObservationKind::GatewayUp { gateway: 0 });
    assert_eq!(send(&mut day.clone(), 7_301), [Rule::DrainGrace]);
    day.see(4_000, ObservationKind::GatewayDown { gateway: 0, expected: true });
    assert_eq!(send(day.clone().see(6_000, ObservationKind::GatewayUp { gateway: 0 }), 7_300), []);
    assert_eq!(
        send(day.clone().see(6_000, ObservationKind::GatewayUp { gateway: 0 }), 7_301),
        [Rule::DrainGrace]
    );
    assert_eq!(send(day.clone().see(9_000, ObservationKind::GatewayUp { gateway: 0 }), 9_300), []);
    assert_eq!(
        send(day.clone().see(9_000, ObservationKind::GatewayUp { gateway: 0 }), 9_301),
        [Rule::DrainGrace]
    );
}

#[test]
fn what_no_longer_holds_does_not_count_as_told() {
    let mut day = Day::default();
    day.hear(1_000, 0, 3, Lifecycle::Draining).hear(4_000, 0, 3, Lifecycle::InService);
    assert_eq!(send(&mut day.clone(), 9_000), []);
    // That it is back counts as told just as late; before, what was written holds.
    day.tell(1_000, 0, 3, Lifecycle::Draining);
    assert_eq!(send(&mut day.clone(), 9_999), [Rule::DrainGrace]);
    assert_eq!(send(&mut day.clone(), 10_000), []);
    assert_eq!(send(day.clone().hear(8_000, 0, 3, Lifecycle::Removed), 10_000), [Rule::DrainGrace]);
}

#[test]
fn what_is_written_in_the_instant_in_which_it_is_heard_may_be_seen_first() {
    let mut day = Day::default();
    day.tell(1_000, 0, 3, Lifecycle::Draining).hear(1_000, 0, 3, Lifecycle::Draining);
    day.tell(3_000, 0, 3, Lifecycle::InService).hear(3_000, 0, 3, Lifecycle::InService);
    assert_eq!(send(&mut day.clone(), 3_000), []);
    assert_eq!(send(&mut day.clone(), 9_000), []);
}

#[test]
fn each_gateway_goes_by_what_it_was_told_itself() {
    let mut day = Day::default();
    day.tell(0, 1, 0, Lifecycle::Removed).tell(0, 0, 1, Lifecycle::Removed).serve(1_000, read(first(1)));
    day.hear(0, 1, 0, Lifecycle::Removed).hear(0, 0, 1, Lifecycle::Removed).serve(9_000, read(first(2)));
    assert_eq!(day.broken(), []);
}
