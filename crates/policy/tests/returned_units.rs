//! A request that reaches a host spends its units; units of any other request are returned to the token
//! bucket.
mod common;
use common::*;
use policy::api::*;

/// Returns a single gateway. The token bucket of its customers has units for one request of two units, and
/// almost does not refill.
fn gateway_with_small_quota() -> TestGateway {
    let mut settings = Settings { gateways: 1, ..settings() };
    (settings.plans[0].rate, settings.plans[0].burst) = (0.01, 2.0);
    TestGateway::new(settings, 60)
}

/// Sends a request for all units, replies to the calls, and returns the attempts.
fn request_all_units(gateway: &mut TestGateway, id: u64, total: &mut f64) -> Vec<(RequestId, HostId)> {
    let mut actions = gateway.request(id, 1, 7, 2.0);
    for (key, amount) in counter_calls_in(&actions) {
        *total += amount;
        actions.extend(gateway.reply_to_call(key, Outcome::Ok, *total));
    }
    attempts_in(&actions)
}

/// Ends each attempt of a request with this outcome until the request has its final answer. Returns the
/// number of attempts.
fn end_all_attempts(
    gateway: &mut TestGateway,
    mut attempts: Vec<(RequestId, HostId)>,
    outcome: Outcome,
) -> u32 {
    let mut attempt = 0;
    while let Some((id, host)) = attempts.pop() {
        attempts.extend(attempts_in(&gateway.end_attempt(id.0, attempt, host, outcome)));
        attempt += 1;
    }
    attempt
}

#[test]
fn a_request_that_reached_no_host_returns_its_units() {
    let (mut gateway, mut total) = (gateway_with_small_quota(), 0.0);
    let attempts = request_all_units(&mut gateway, 1, &mut total);
    assert!(
        end_all_attempts(&mut gateway, attempts, Outcome::ConnectFailed) > 1,
        "the request is retried at other hosts"
    );
    assert_eq!(
        request_all_units(&mut gateway, 2, &mut total).len(),
        1,
        "its units are available to the next request"
    );
    assert_eq!(request_all_units(&mut gateway, 3, &mut total).len(), 0, "the units are returned only once");
}

#[test]
fn a_request_that_reached_a_host_spends_its_units() {
    for outcome in
        [Outcome::Rejected, Outcome::ConnectionReset, Outcome::Timeout, Outcome::Error, Outcome::Cancelled]
    {
        let (mut gateway, mut total) = (gateway_with_small_quota(), 0.0);
        let attempts = request_all_units(&mut gateway, 1, &mut total);
        end_all_attempts(&mut gateway, attempts, outcome);
        assert_eq!(request_all_units(&mut gateway, 2, &mut total).len(), 0, "{outcome:?}");
    }
    let (mut gateway, mut total) = (gateway_with_small_quota(), 0.0);
    let (id, host) = request_all_units(&mut gateway, 1, &mut total)[0];
    let next = attempts_in(&gateway.end_attempt(id.0, 0, host, Outcome::Rejected));
    end_all_attempts(&mut gateway, next, Outcome::ConnectFailed);
    assert_eq!(
        request_all_units(&mut gateway, 2, &mut total).len(),
        0,
        "the first attempt has reached its host, though the others have not"
    );
}

#[test]
fn an_attempt_that_is_cancelled_unsent_returns_its_units_once() {
    let (mut gateway, mut total) = (gateway_with_small_quota(), 0.0);
    let (id, host) = request_all_units(&mut gateway, 1, &mut total)[0];
    let actions = gateway.report(Event::ClientDisconnected { id });
    assert!(actions.contains(&Action::Cancel { id, attempt: 0 }));
    assert_eq!(request_all_units(&mut gateway, 2, &mut total).len(), 0, "the attempt may have been sent");
    gateway.end_attempt(id.0, 0, host, Outcome::NotSent);
    gateway.end_attempt(id.0, 0, host, Outcome::NotSent);
    gateway.report(Event::ClientDisconnected { id });
    assert_eq!(request_all_units(&mut gateway, 3, &mut total).len(), 1, "the attempt was not sent");
    assert_eq!(request_all_units(&mut gateway, 4, &mut total).len(), 0);
}
