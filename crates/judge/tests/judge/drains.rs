//! Drains are kept.

use crate::day::{first, read, Day, SERVED};
use fennelbeam_judge::Rule;
use fennelbeam_model::seen::{Dealt, Told};

/// Told the news of host 3 one after another, gateway 0 sends to it from then on.
fn broken(news: &[(u64, Told)], sent_ms: u64) -> Vec<Rule> {
    let mut day = Day::default();
    news.iter().for_each(|(ms, state)| {
        day.tell(*ms, 0, 3, *state);
    });
    let id = first(1);
    day.ask(5_000, read(id)).receive_sent(sent_ms, 5_500, id, 3).done(5_550, id, 3, Dealt::Served);
    day.answer(5_551, id, SERVED).broken()
}

#[test]
fn a_send_counts_from_its_first_byte_and_the_grace_is_50_ms_longer() {
    for state in [Told::Draining, Told::Gone] {
        assert_eq!(broken(&[(4_900, state)], 5_200), []);
        assert_eq!(broken(&[(4_900, state)], 5_201), [Rule::DrainsKept]);
    }
}

#[test]
fn the_same_news_again_gives_no_new_grace() {
    let news = [(4_000, Told::Draining), (4_900, Told::Draining), (4_950, Told::Gone)];
    assert_eq!(broken(&news, 5_001), [Rule::DrainsKept]);
}

#[test]
fn a_host_told_to_be_in_service_again_takes_work() {
    assert_eq!(broken(&[(1_000, Told::Draining), (4_000, Told::InService)], 5_001), []);
    let back = [(1_000, Told::Draining), (4_000, Told::InService), (4_500, Told::Gone)];
    assert_eq!(broken(&back, 5_001), [Rule::DrainsKept]);
}

#[test]
fn each_gateway_goes_by_what_it_was_told_itself() {
    let mut day = Day::default();
    day.tell(0, 1, 0, Told::Gone).tell(0, 0, 1, Told::Gone).serve(1_000, read(first(1)));
    assert_eq!(day.broken(), []);
}
