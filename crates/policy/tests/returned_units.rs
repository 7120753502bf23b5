//! Units of requests that reach a host are spent; those of others are returned.
mod common;
use common::*;
use policy::api::*;

/// A single gateway, with a customer whose token bucket holds one request of two units and hardly refills.
fn tight() -> Harness {
    let mut settings = Settings { gateways: 1, ..settings() };
    (settings.plans[0].rate, settings.plans[0].burst) = (0.01, 2.0);
    Harness::new(settings, 60)
}

/// Requests all units, replies to the calls, and returns the attempts.
fn ask_for_all(g: &mut Harness, id: u64, total: &mut f64) -> Vec<(RequestId, HostId)> {
    let mut actions = g.request(id, 1, 7, 2.0);
    for (name, amount) in calls_in(&actions) {
        *total += amount;
        actions.extend(g.counter_replied(name, Outcome::Ok, *total));
    }
    attempts_in(&actions)
}

/// Lets each attempt of a request end like this until the request has its final answer.
fn end_all(g: &mut Harness, mut out: Vec<(RequestId, HostId)>, outcome: Outcome) -> u32 {
    let mut attempt = 0;
    while let Some((id, host)) = out.pop() {
        out.extend(attempts_in(&g.ended(id.0, attempt, host, outcome)));
        attempt += 1;
    }
    attempt
}

#[test]
fn a_request_that_reached_no_host_returns_its_units() {
    let (mut g, mut total) = (tight(), 0.0);
    let out = ask_for_all(&mut g, 1, &mut total);
    assert!(end_all(&mut g, out, Outcome::ConnectFailed) > 1, "it is forwarded to several hosts");
    assert_eq!(ask_for_all(&mut g, 2, &mut total).len(), 1, "its units are there for the next one");
    assert_eq!(ask_for_all(&mut g, 3, &mut total).len(), 0, "and only once");
}

#[test]
fn a_request_that_reached_a_host_spends_its_units() {
    for outcome in
        [Outcome::Rejected, Outcome::ConnectionReset, Outcome::Timeout, Outcome::Error, Outcome::Cancelled]
    {
        let (mut g, mut total) = (tight(), 0.0);
        let out = ask_for_all(&mut g, 1, &mut total);
        end_all(&mut g, out, outcome);
        assert_eq!(ask_for_all(&mut g, 2, &mut total).len(), 0, "{outcome:?}");
    }
    let (mut g, mut total) = (tight(), 0.0);
    let (id, host) = ask_for_all(&mut g, 1, &mut total)[0];
    let next = attempts_in(&g.ended(id.0, 0, host, Outcome::Rejected));
    end_all(&mut g, next, Outcome::ConnectFailed);
    assert_eq!(
        ask_for_all(&mut g, 2, &mut total).len(),
        0,
        "the first attempt has reached its host, the others have not"
    );
}

#[test]
fn an_attempt_that_is_cancelled_unsent_returns_its_units_once() {
    let (mut g, mut total) = (tight(), 0.0);
    let (id, host) = ask_for_all(&mut g, 1, &mut total)[0];
    let left = g.on(Event::ClientDisconnected { id });
    assert!(left.contains(&Action::Cancel { id, attempt: 0 }));
    assert_eq!(ask_for_all(&mut g, 2, &mut total).len(), 0, "it may have been sent");
    g.ended(id.0, 0, host, Outcome::NotSent);
    g.ended(id.0, 0, host, Outcome::NotSent);
    g.on(Event::ClientDisconnected { id });
    assert_eq!(ask_for_all(&mut g, 3, &mut total).len(), 1, "it was not");
    assert_eq!(ask_for_all(&mut g, 4, &mut total).len(), 0);
}
