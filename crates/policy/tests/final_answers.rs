//! Final answers, idempotency, hosts that drain, warm up or do not respond, and invalid input.
mod common;
use common::*;
use policy::api::*;

/// Returns settings without quotas.
fn settings_without_quota() -> Settings {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    settings
}

#[test]
fn a_request_with_too_short_a_remaining_deadline_is_rejected_at_once() {
    let mut gateway = TestGateway::new(settings_without_quota(), 3);
    let request = Request { id: RequestId(1), remaining: 5 * MS, units: 1.0, ..Request::default() };
    assert!(is_rejected(&gateway.report(Event::Request(request)), 1));
}

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_fails_and_is_not_retried() {
    let mut gateway = TestGateway::new(settings_without_quota(), 3);
    let (_, host) = attempts_in(&gateway.request(1, 1, 1, 1.0))[0];
    let actions = gateway.end_attempt(1, 0, host, Outcome::ConnectionReset);
    assert!(is_failed(&actions, 1) && attempts_in(&actions).is_empty());
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried_at_another_host() {
    let mut gateway = TestGateway::new(settings_without_quota(), 3);
    let (_, host) = attempts_in(&gateway.request(1, 1, 1, 1.0))[0];
    let retries = attempts_in(&gateway.end_attempt(1, 0, host, Outcome::ConnectFailed));
    assert_eq!(retries.len(), 1);
    assert_ne!(retries[0].1, host);
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_within_its_scope() {
    let mut settings = settings_without_quota();
    settings.classes[1].idempotency = Idempotency::WithKey(DedupScope::Cell, 8_000 * MS);
    let mut gateway = TestGateway::new(settings, 0);
    let cell = |id, cell| HostEntry { cell, ..entry(id) };
    gateway.report_host_list(HostListKind::Full, vec![cell(1, 1), cell(2, 1), cell(3, 2), cell(4, 2)]);
    for id in 1..20 {
        let (_, host) = attempts_in(&gateway.request(id, 1, id, 1.0))[0];
        let retries = attempts_in(&gateway.end_attempt(id, 0, host, Outcome::Error));
        for (_, other) in retries {
            assert_eq!((other.0 - 1) / 2, (host.0 - 1) / 2);
            gateway.end_attempt(id, 1, other, Outcome::Ok);
        }
    }
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_while_its_bytes_arrive_within_the_window() {
    // Deduplication window, time until the first attempt fails, and the latest time for writing the retry, if
    // there is one. Both times are in milliseconds from the start of the first attempt.
    let cases = [
        (100, 0, None),
        (150, 40, Some(50)),
        (150, 50, None),
        (1_000, 800, Some(900)),
        (1_000, 900, None),
        (3_000, 100, Some(2_700)),
    ];
    for (window, fails_after, write_by) in cases {
        let mut settings = settings_without_quota();
        settings.classes[1].idempotency = Idempotency::WithKey(DedupScope::All, window * MS);
        settings.classes[1].latency_objective = 4_000 * MS;
        let mut gateway = TestGateway::new(settings, 2);
        let (_, host) = attempts_in(&gateway.request(1, 1, 1, 1.0))[0];
        let sent = gateway.now;
        gateway.now += fails_after * MS;
        let retries = gateway.end_attempt(1, 0, host, Outcome::Error);
        let retry_by = retries.iter().find_map(|action| match action {
            Action::Forward { write_by, .. } => Some((write_by - sent) / MS),
            _ => None,
        });
        assert_eq!(retry_by, write_by, "window {window}, first attempt fails after {fails_after}");
        assert!(
            retry_by.is_some() || is_rejected(&retries, 1),
            "the client can safely retry, since hosts drop duplicates"
        );
    }
}

#[test]
fn a_draining_or_removed_host_gets_no_new_attempt() {
    let mut gateway = TestGateway::new(settings_without_quota(), 3);
    gateway.report_host_list(HostListKind::Delta, vec![HostEntry { state: HostState::Draining, ..entry(1) }]);
    gateway.report_host_list(HostListKind::Delta, vec![HostEntry { state: HostState::Gone, ..entry(2) }]);
    assert!((1..12)
        .flat_map(|id| attempts_in(&gateway.request(id, 0, id, 1.0)))
        .all(|(_, s)| s == HostId(3)));
    gateway.report_host_list(HostListKind::Full, vec![entry(1)]);
    assert!((20..24)
        .flat_map(|id| attempts_in(&gateway.request(id, 0, id, 1.0)))
        .all(|(_, s)| s == HostId(1)));
}

#[test]
fn a_restarted_host_gets_its_fraction_and_no_burst() {
    let mut gateway = TestGateway::new(settings_without_quota(), 3);
    gateway.advance(2_000 * MS);
    gateway.report_host_list(HostListKind::Delta, vec![HostEntry { started_at: gateway.now, ..entry(9) }]);
    let mut to_restarted_host = 0;
    for id in 1..100 {
        let sent = attempts_in(&gateway.request(id, 0, id, 1.0));
        to_restarted_host += sent.iter().filter(|(_, s)| *s == HostId(9)).count();
        for (request, host) in sent {
            gateway.end_attempt(request.0, 0, host, Outcome::Ok);
        }
        gateway.advance(20 * MS);
    }
    assert!(
        to_restarted_host <= 8,
        "33 per second over three warmed-up hosts, and a fifth of that for the restarted host: {to_restarted_host}"
    );
}

#[test]
fn a_host_without_responses_is_avoided_and_idempotent_requests_are_retried_at_other_hosts() {
    let mut gateway = TestGateway::new(settings_without_quota(), 4);
    let mut id = 0;
    let mut rounds_without_response = Vec::new();
    let mut retries = Vec::new();
    for round in 0..100 {
        id += 1;
        let mut actions = gateway.request(id, 0, id, 1.0);
        actions.extend(gateway.advance(20 * MS));
        for action in &actions {
            if let Action::Cancel { id, attempt } = action {
                retries.extend(attempts_in(&gateway.end_attempt(
                    id.0,
                    *attempt,
                    HostId(1),
                    Outcome::Cancelled,
                )));
            }
        }
        for (request, host) in attempts_in(&actions) {
            if host != HostId(1) {
                gateway.end_attempt(request.0, 0, host, Outcome::Ok);
            } else {
                rounds_without_response.push(round);
            }
        }
    }
    assert!(
        !rounds_without_response.is_empty() && rounds_without_response.len() < 10,
        "an occasional attempt, not a burst: {rounds_without_response:?}"
    );
    assert!(
        retries.iter().any(|(_, host)| *host != HostId(1)),
        "the overdue attempts were retried at other hosts"
    );
}

#[test]
fn invalid_input_causes_no_panic() {
    let mut gateway = TestGateway::new(settings(), 2);
    gateway.end_attempt(99, 0, HostId(1), Outcome::Ok);
    gateway.end_attempt(99, 7, HostId(77), Outcome::Timeout);
    gateway.reply_to_call(CounterKey(5), Outcome::Ok, f64::NAN);
    gateway.report(Event::TimerExpired { token: 12345 });
    gateway.report(Event::ClientDisconnected { id: RequestId(3) });
    gateway.report(Event::ResponseStarted { id: RequestId(3), attempt: 0 });
    let report = Some(LoadReport { queued: Some(f64::INFINITY), ..LoadReport::default() });
    gateway.report(Event::HealthCheckEnded { host: HostId(77), outcome: Outcome::Ok, report });
    gateway.report(Event::Request(Request { id: RequestId(4), class: 9, ..Request::default() }));
    let actions = gateway.request(5, 0, 1, f64::NAN);
    let (key, _) = counter_calls_in(&actions)[0];
    gateway.reply_to_call(key, Outcome::Ok, f64::NAN);
    gateway.reply_to_call(key, Outcome::Ok, -3.0);
    gateway.request(6, 0, 1, -2.0);
    gateway.advance(2_000 * MS);
}

#[test]
fn each_request_is_forwarded_or_answered_with_extreme_settings() {
    for variant in 0..8 {
        let mut s = settings();
        match variant {
            0 => s.gateways = 1,
            1 => s.classes.truncate(1),
            2 => (s.plans[0].rate, s.plans[0].burst) = (1e-6, 1e-6),
            3 => s.classes.iter_mut().for_each(|c| c.latency_objective = 0),
            4 => s.classes.iter_mut().for_each(|c| (c.latency_objective, c.deadline) = (u64::MAX, u64::MAX)),
            5 => s.has_counter = false,
            6 => (s.warm_up, s.initial_capacity, s.max_attempts, s.gateways) = (0, 0.0, 0, 0),
            _ => (s.plans[0].max_concurrent, s.plans[0].rate, s.plans[0].ceiling_rate) = (1, 0.0, 1e9),
        }
        let classes = s.classes.len();
        let mut gateway = TestGateway::new(s, 1);
        let mut actions = Vec::new();
        for id in 1..=40 {
            actions.extend(gateway.request(id, id as usize % classes, id % 3, 30.0 * (id % 2) as f64));
            for (key, amount) in counter_calls_in(&actions).into_iter().skip(id as usize / 2).take(1) {
                actions.extend(gateway.reply_to_call(key, Outcome::Ok, amount));
            }
            actions.extend(gateway.advance(7 * MS));
        }
        for (request, host) in attempts_in(&actions) {
            actions.extend(gateway.end_attempt(request.0, 0, host, Outcome::Ok));
        }
        actions.extend(gateway.advance(10_000 * MS));
        for id in 1..=40 {
            let sent = attempts_in(&actions).iter().filter(|(request, _)| request.0 == id).count();
            let final_answers = usize::from(is_rejected(&actions, id)) + usize::from(is_failed(&actions, id));
            assert!(
                sent + final_answers >= 1,
                "variant {variant}: request {id} was neither forwarded nor answered"
            );
        }
    }
}

#[test]
fn a_host_that_fails_one_class_still_serves_the_other() {
    let mut gateway = TestGateway::new(Settings { gateways: 1, ..settings_without_quota() }, 2);
    for id in 1..100 {
        for (request, host) in attempts_in(&gateway.request(id, (id % 2) as usize, id, 1.0)) {
            let fails = id % 2 == 1 && host == HostId(1);
            gateway.end_attempt(request.0, 0, host, if fails { Outcome::Error } else { Outcome::Ok });
        }
        gateway.advance(40 * MS);
    }
    // While an attempt is in flight at the other host, the class that succeeds is forwarded to the idle host,
    // and the class that fails is not.
    let host_of = |actions: Vec<Action>| attempts_in(&actions)[0].1;
    assert_eq!(host_of(gateway.request(201, 1, 201, 1.0)), HostId(2));
    assert_eq!(host_of(gateway.request(202, 0, 202, 1.0)), HostId(1));
    assert_eq!(host_of(gateway.request(203, 1, 203, 1.0)), HostId(2));
}

#[test]
fn a_host_without_load_reports_does_not_count_as_idle() {
    let mut gateway = TestGateway::new(Settings { gateways: 1, ..settings_without_quota() }, 20);
    for id in 1..200 {
        for (id, host) in attempts_in(&gateway.request(id, 0, id, 1.0)) {
            let report = Some(LoadReport { queued: Some(2.0), ..LoadReport::default() });
            let (outcome, elapsed) = (Outcome::Ok, 50 * MS);
            let (attempt, is_request_closed, quota_used, actual_units) = (0, true, None, None);
            gateway.report(Event::AttemptEnded(AttemptEnded {
                id,
                attempt,
                host,
                outcome,
                elapsed,
                is_request_closed,
                quota_used,
                actual_units,
                report,
            }));
        }
        gateway.advance(20 * MS);
    }
    gateway.report_host_list(HostListKind::Delta, (21..=25).map(entry).collect());
    let next = (201..206).flat_map(|id| attempts_in(&gateway.request(id, 0, id, 1.0)));
    let to_new_hosts = next.filter(|(_, host)| host.0 > 20).count();
    assert!(to_new_hosts < 5, "new hosts without a load report do not get all requests");
}
