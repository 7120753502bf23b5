//! Load shedding by the operators' plan for lost hosts: the given fraction of each class and plan is rejected
//! at once, with the time for `Retry-After`, and nothing else.
mod common;
use common::*;
use policy::api::*;

const ASKED: u64 = 1_000;

fn gateway(seed_hosts: u64) -> Harness {
    let mut settings = settings();
    settings.plans = vec![Plan { weight_factor: 1.0, ..Plan::default() }; 2];
    settings.max_retry_after = Some(800 * MS);
    Harness::new(settings, seed_hosts)
}

fn request(id: u64, class: usize, plan: usize) -> Event {
    let (id, customer, spread) = (RequestId(id), CustomerId(id), 2);
    let (remaining, units) = (4_000 * MS, 1.0);
    Event::Request(Request {
        id,
        class,
        plan,
        customer,
        remaining,
        units,
        set_size: spread,
        ..Request::default()
    })
}

/// Returns the number of a cell's requests that are shed; each of the others is served at once.
fn count_rejected(g: &mut Harness, from: u64, class: usize, plan: usize) -> usize {
    let mut refused = 0;
    for id in from..from + ASKED {
        let actions = g.on(request(id, class, plan));
        let advice = Some(800 * MS);
        let why = RejectReason::LoadShed;
        if actions.contains(&Action::Reject { id: RequestId(id), retry_after: advice, reason: why }) {
            assert_eq!(attempts_in(&actions), [], "it is over");
            refused += 1;
        } else {
            let (_, host) = attempts_in(&actions)[0];
            g.ended(id, 0, host, Outcome::Ok);
        }
    }
    refused
}

#[test]
fn of_each_class_and_plan_the_given_fraction_is_admitted() {
    // By `class * plans + plan`: no reads of plan 0, three tenths of those of plan 1, all orders of plan 0;
    // the cell of plan 1 is missing.
    let fractions = vec![0.0, 0.3, 1.0];
    let mut g = gateway(4);
    g.on(Event::AdmissionFractionsChanged(fractions));
    for (cell, (class, plan, from, to)) in
        [(0, 0, 1_000, 1_000), (0, 1, 650, 750), (1, 0, 0, 0), (1, 1, 0, 0)].into_iter().enumerate()
    {
        let rejected = count_rejected(&mut g, 1 + cell as u64 * ASKED, class, plan);
        assert!((from..=to).contains(&rejected), "class {class}, plan {plan}: {rejected}");
    }
}

#[test]
fn requests_in_flight_are_not_shed_and_none_is_once_all_are_admitted_again() {
    let mut g = gateway(4);
    let (_, host) = attempts_in(&g.on(request(1, 0, 0)))[0];
    assert_eq!(g.on(Event::AdmissionFractionsChanged(vec![0.0])).len(), 0, "it stays where it is");
    assert!(g
        .ended(1, 0, host, Outcome::Rejected)
        .iter()
        .all(|action| !matches!(action, Action::Reject { .. })));
    for all in [vec![], vec![1.0; 4]] {
        g.on(Event::AdmissionFractionsChanged(vec![0.0]));
        assert_eq!(count_rejected(&mut g, 5 * ASKED, 0, 0), ASKED as usize);
        g.on(Event::AdmissionFractionsChanged(all));
        assert_eq!(count_rejected(&mut g, 9 * ASKED, 0, 0), 0);
    }
}
