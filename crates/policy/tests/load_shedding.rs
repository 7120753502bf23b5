//! Load shedding by the operators' plan for lost hosts: the planned fraction of each class and plan is
//! rejected at once with a `Retry-After` time, and no other request is.
mod common;
use common::*;
use policy::api::*;

/// Requests of each class and plan.
const REQUESTS_PER_PLAN: u64 = 1_000;

fn new_gateway(hosts: u64) -> TestGateway {
    let mut settings = settings();
    settings.plans = vec![Plan { weight_factor: 1.0, ..Plan::default() }; 2];
    settings.max_retry_after = Some(800 * MS);
    TestGateway::new(settings, hosts)
}

fn request(id: u64, class: usize, plan: usize) -> Event {
    let (id, customer, set_size) = (RequestId(id), CustomerId(id), 2);
    let (remaining, units) = (4_000 * MS, 1.0);
    Event::Request(Request { id, class, plan, customer, remaining, units, set_size, ..Request::default() })
}

/// Sends requests of one class and plan, and returns how many are shed. Each of the others gets a response at
/// once.
fn count_shed(gateway: &mut TestGateway, from: u64, class: usize, plan: usize) -> usize {
    let mut rejected = 0;
    for id in from..from + REQUESTS_PER_PLAN {
        let actions = gateway.report(request(id, class, plan));
        let retry_after = Some(800 * MS);
        let reason = RejectReason::LoadShed;
        if actions.contains(&Action::Reject { id: RequestId(id), retry_after, reason }) {
            assert_eq!(attempts_in(&actions), [], "a shed request is not forwarded");
            rejected += 1;
        } else {
            let (_, host) = attempts_in(&actions)[0];
            gateway.end_attempt(id, 0, host, Outcome::Ok);
        }
    }
    rejected
}

#[test]
fn of_each_class_and_plan_the_given_fraction_is_admitted() {
    // The index is `class * plans + plan`: none of class 0 and plan 0 is admitted, three tenths of class 0
    // and plan 1, all of class 1 and plan 0. The element for class 1 and plan 1 is missing.
    let fractions = vec![0.0, 0.3, 1.0];
    let mut gateway = new_gateway(4);
    gateway.report(Event::AdmissionFractionsChanged(fractions));
    for (index, (class, plan, from, to)) in
        [(0, 0, 1_000, 1_000), (0, 1, 650, 750), (1, 0, 0, 0), (1, 1, 0, 0)].into_iter().enumerate()
    {
        let rejected = count_shed(&mut gateway, 1 + index as u64 * REQUESTS_PER_PLAN, class, plan);
        assert!((from..=to).contains(&rejected), "class {class}, plan {plan}: {rejected}");
    }
}

#[test]
fn requests_in_flight_are_not_shed_and_none_is_once_all_are_admitted_again() {
    let mut gateway = new_gateway(4);
    let (_, host) = attempts_in(&gateway.report(request(1, 0, 0)))[0];
    assert_eq!(
        gateway.report(Event::AdmissionFractionsChanged(vec![0.0])).len(),
        0,
        "the request in flight is not affected"
    );
    assert!(gateway
        .end_attempt(1, 0, host, Outcome::Rejected)
        .iter()
        .all(|action| !matches!(action, Action::Reject { .. })));
    for admit_all in [vec![], vec![1.0; 4]] {
        gateway.report(Event::AdmissionFractionsChanged(vec![0.0]));
        assert_eq!(count_shed(&mut gateway, 5 * REQUESTS_PER_PLAN, 0, 0), REQUESTS_PER_PLAN as usize);
        gateway.report(Event::AdmissionFractionsChanged(admit_all));
        assert_eq!(count_shed(&mut gateway, 9 * REQUESTS_PER_PLAN, 0, 0), 0);
    }
}
