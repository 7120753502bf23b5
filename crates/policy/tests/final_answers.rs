//! Final answers, idempotency, draining hosts, hosts that warm up or do not respond, and invalid input.
mod common;
use common::*;
use policy::api::*;

fn open() -> Settings {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    settings
}

#[test]
fn a_request_without_time_left_is_answered_at_once() {
    let mut g = Harness::new(open(), 3);
    let request = Request { id: RequestId(1), remaining: 5 * MS, units: 1.0, ..Request::default() };
    assert!(is_rejected(&g.on(Event::Request(request)), 1));
}

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_fails_and_is_not_retried() {
    let mut g = Harness::new(open(), 3);
    let (_, host) = attempts_in(&g.request(1, 1, 1, 1.0))[0];
    let actions = g.ended(1, 0, host, Outcome::ConnectionReset);
    assert!(is_failed(&actions, 1) && attempts_in(&actions).is_empty());
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried_at_another_host() {
    let mut g = Harness::new(open(), 3);
    let (_, host) = attempts_in(&g.request(1, 1, 1, 1.0))[0];
    let again = attempts_in(&g.ended(1, 0, host, Outcome::ConnectFailed));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, host);
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_within_its_scope() {
    let mut settings = open();
    settings.classes[1].idempotency = Idempotency::WithKey(DedupScope::Cell, 8_000 * MS);
    let mut g = Harness::new(settings, 0);
    let cell = |id, cell| HostEntry { cell, ..entry(id) };
    g.list(HostListKind::Full, vec![cell(1, 1), cell(2, 1), cell(3, 2), cell(4, 2)]);
    for id in 1..20 {
        let (_, host) = attempts_in(&g.request(id, 1, id, 1.0))[0];
        let again = attempts_in(&g.ended(id, 0, host, Outcome::Error));
        for (_, other) in again {
            assert_eq!((other.0 - 1) / 2, (host.0 - 1) / 2);
            g.ended(id, 1, other, Outcome::Ok);
        }
    }
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_while_its_bytes_arrive_within_the_window() {
    // The window, when the first attempt fails, and when the next has to be written, the last two counted
    // from the first attempt.
    let cases = [
        (100, 0, None),
        (150, 40, Some(50)),
        (150, 50, None),
        (1_000, 800, Some(900)),
        (1_000, 900, None),
        (3_000, 100, Some(2_700)),
    ];
    for (window, fails, write_by) in cases {
        let mut settings = open();
        settings.classes[1].idempotency = Idempotency::WithKey(DedupScope::All, window * MS);
        settings.classes[1].latency_objective = 4_000 * MS;
        let mut g = Harness::new(settings, 2);
        let (_, host) = attempts_in(&g.request(1, 1, 1, 1.0))[0];
        let sent = g.now;
        g.now += fails * MS;
        let again = g.ended(1, 0, host, Outcome::Error);
        let bound = again.iter().find_map(|action| match action {
            Action::Forward { write_by, .. } => Some((write_by - sent) / MS),
            _ => None,
        });
        assert_eq!(bound, write_by, "window {window}, fails after {fails}");
        assert!(
            bound.is_some() || is_rejected(&again, 1),
            "hosts drop repeats, so to try again does no harm"
        );
    }
}

#[test]
fn a_draining_or_removed_host_gets_no_new_attempt() {
    let mut g = Harness::new(open(), 3);
    g.list(HostListKind::Delta, vec![HostEntry { state: HostState::Draining, ..entry(1) }]);
    g.list(HostListKind::Delta, vec![HostEntry { state: HostState::Gone, ..entry(2) }]);
    assert!((1..12).flat_map(|id| attempts_in(&g.request(id, 0, id, 1.0))).all(|(_, s)| s == HostId(3)));
    g.list(HostListKind::Full, vec![entry(1)]);
    assert!((20..24).flat_map(|id| attempts_in(&g.request(id, 0, id, 1.0))).all(|(_, s)| s == HostId(1)));
}

#[test]
fn a_restarted_host_gets_its_part_and_no_burst() {
    let mut g = Harness::new(open(), 3);
    g.pass(2_000 * MS);
    g.list(HostListKind::Delta, vec![HostEntry { started_at: g.now, ..entry(9) }]);
    let mut cold = 0;
    for id in 1..100 {
        let sent = attempts_in(&g.request(id, 0, id, 1.0));
        cold += sent.iter().filter(|(_, s)| *s == HostId(9)).count();
        for (request, host) in sent {
            g.ended(request.0, 0, host, Outcome::Ok);
        }
        g.pass(20 * MS);
    }
    assert!(cold <= 8, "33 a second over three warm hosts, a fifth of that for the cold one: {cold}");
}

#[test]
fn a_host_without_responses_is_avoided_and_idempotent_requests_are_retried_elsewhere() {
    let mut g = Harness::new(open(), 4);
    let mut id = 0;
    let mut silent = Vec::new();
    let mut retries = Vec::new();
    for round in 0..100 {
        id += 1;
        let mut actions = g.request(id, 0, id, 1.0);
        actions.extend(g.pass(20 * MS));
        for action in &actions {
            if let Action::Cancel { id, attempt } = action {
                retries.extend(attempts_in(&g.ended(id.0, *attempt, HostId(1), Outcome::Cancelled)));
            }
        }
        for (request, host) in attempts_in(&actions) {
            if host != HostId(1) {
                g.ended(request.0, 0, host, Outcome::Ok);
            } else {
                silent.push(round);
            }
        }
    }
    assert!(!silent.is_empty() && silent.len() < 10, "a trial now and then, not a flood: {silent:?}");
    assert!(
        retries.iter().any(|(_, host)| *host != HostId(1)),
        "the overdue attempts were retried elsewhere"
    );
}

#[test]
fn invalid_input_does_no_harm() {
    let mut g = Harness::new(settings(), 2);
    g.ended(99, 0, HostId(1), Outcome::Ok);
    g.ended(99, 7, HostId(77), Outcome::Timeout);
    g.counter_replied(CounterKey(5), Outcome::Ok, f64::NAN);
    g.on(Event::TimerExpired { token: 12345 });
    g.on(Event::ClientDisconnected { id: RequestId(3) });
    g.on(Event::ResponseStarted { id: RequestId(3), attempt: 0 });
    let report = Some(LoadReport { queued: Some(f64::INFINITY), ..LoadReport::default() });
    g.on(Event::HealthCheckEnded { host: HostId(77), outcome: Outcome::Ok, report });
    g.on(Event::Request(Request { id: RequestId(4), class: 9, ..Request::default() }));
    let actions = g.request(5, 0, 1, f64::NAN);
    let (name, _) = calls_in(&actions)[0];
    g.counter_replied(name, Outcome::Ok, f64::NAN);
    g.counter_replied(name, Outcome::Ok, -3.0);
    g.request(6, 0, 1, -2.0);
    g.pass(2_000 * MS);
}

#[test]
fn extreme_settings_leave_no_request_unanswered() {
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
        let mut g = Harness::new(s, 1);
        let mut all = Vec::new();
        for id in 1..=40 {
            all.extend(g.request(id, id as usize % classes, id % 3, 30.0 * (id % 2) as f64));
            for (name, amount) in calls_in(&all).into_iter().skip(id as usize / 2).take(1) {
                all.extend(g.counter_replied(name, Outcome::Ok, amount));
            }
            all.extend(g.pass(7 * MS));
        }
        for (request, host) in attempts_in(&all) {
            all.extend(g.ended(request.0, 0, host, Outcome::Ok));
        }
        all.extend(g.pass(10_000 * MS));
        for id in 1..=40 {
            let sent = attempts_in(&all).iter().filter(|(request, _)| request.0 == id).count();
            let answers = usize::from(is_rejected(&all, id)) + usize::from(is_failed(&all, id));
            assert!(sent + answers >= 1, "variant {variant}: request {id} was forgotten");
        }
    }
}

#[test]
fn a_host_that_fails_one_class_still_serves_the_other() {
    let mut g = Harness::new(Settings { gateways: 1, ..open() }, 2);
    for id in 1..100 {
        for (request, host) in attempts_in(&g.request(id, (id % 2) as usize, id, 1.0)) {
            let bad = id % 2 == 1 && host == HostId(1);
            g.ended(request.0, 0, host, if bad { Outcome::Error } else { Outcome::Ok });
        }
        g.pass(40 * MS);
    }
    // With an attempt in flight at the other host, the class that is served is forwarded to the idle one, the
    // failing class is not.
    let to = |actions: Vec<Action>| attempts_in(&actions)[0].1;
    assert_eq!(to(g.request(201, 1, 201, 1.0)), HostId(2));
    assert_eq!(to(g.request(202, 0, 202, 1.0)), HostId(1));
    assert_eq!(to(g.request(203, 1, 203, 1.0)), HostId(2));
}

#[test]
fn a_host_without_load_reports_does_not_count_as_idle() {
    let mut g = Harness::new(Settings { gateways: 1, ..open() }, 20);
    for id in 1..200 {
        for (id, host) in attempts_in(&g.request(id, 0, id, 1.0)) {
            let report = Some(LoadReport { queued: Some(2.0), ..LoadReport::default() });
            let (outcome, elapsed) = (Outcome::Ok, 50 * MS);
            let (attempt, closed, used, true_units) = (0, true, None, None);
            g.on(Event::AttemptEnded(AttemptEnded {
                id,
                attempt,
                host,
                outcome,
                elapsed,
                is_request_closed: closed,
                quota_used: used,
                actual_units: true_units,
                report,
            }));
        }
        g.pass(20 * MS);
    }
    g.list(HostListKind::Delta, (21..=25).map(entry).collect());
    let next = (201..206).flat_map(|id| attempts_in(&g.request(id, 0, id, 1.0)));
    let strangers = next.filter(|(_, host)| host.0 > 20).count();
    assert!(strangers < 5, "five busy-looking hosts are not all passed over for five unknown ones");
}
