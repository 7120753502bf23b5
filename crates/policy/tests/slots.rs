//! The rule table of the fuzzy controller, slots of overdue attempts, and the order in which slots are
//! assigned.
mod common;
use common::load::LoadedGateway;
use common::*;
use policy::api::*;
use policy::controller_output;

/// Table 1 of the paper: rows by the error E, columns by its change dE, with the paper's names of the terms.
const TABLE: [[&str; 5]; 5] = [
    ["NH", "NB", "NB", "NM", "NS"],
    ["NB", "NM", "NS", "Z", "PS"],
    ["NS", "Z", "Z", "Z", "PS"],
    ["NS", "Z", "PS", "PM", "PB"],
    ["PS", "PM", "PB", "PB", "PH"],
];

#[test]
fn all_25_rules_hold_at_the_corners() {
    let corners = [-1.0, -0.4, 0.0, 0.4, 1.0];
    let terms = [
        ("NH", -1.0),
        ("NB", -0.6),
        ("NM", -0.35),
        ("NS", -0.15),
        ("Z", 0.0),
        ("PS", 0.15),
        ("PM", 0.35),
        ("PB", 0.6),
        ("PH", 1.0),
    ];
    for (i, row) in TABLE.iter().enumerate() {
        for (j, term) in row.iter().enumerate() {
            let expected = terms.iter().find(|t| t.0 == *term).map(|t| t.1);
            let actual = controller_output(corners[i], corners[j]);
            assert!(
                (actual - expected.expect("a term")).abs() < 1e-9,
                "E {i} dE {j}: {actual}, but {term} in the table"
            );
        }
    }
}

#[test]
fn errors_beyond_the_clamp_are_clamped() {
    assert_eq!(controller_output(50.0, 50.0), controller_output(1.0, 1.0));
    assert_eq!(controller_output(f64::NAN, 0.0), controller_output(0.0, 0.0));
    assert!(controller_output(0.2, 0.0) > 0.0 && controller_output(0.2, 0.0) < controller_output(0.4, 0.0));
}

#[test]
fn while_slots_are_short_the_class_of_higher_priority_is_forwarded_first() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut gateway = TestGateway::new(settings, 1);
    let mut in_flight = Vec::new();
    let mut id = 0;
    // Requests of the lower priority fill all slots and one is queued; then one of the higher priority is
    // queued.
    while in_flight.len() == id as usize {
        id += 1;
        in_flight.extend(attempts_in(&gateway.request(id, 0, id, 1.0)));
    }
    let higher_priority = id + 1;
    assert!(attempts_in(&gateway.request(higher_priority, 1, higher_priority, 1.0)).is_empty());
    let forwarded = attempts_in(&gateway.end_attempt(1, 0, HostId(1), Outcome::Ok));
    assert_eq!(forwarded, vec![(RequestId(higher_priority), HostId(1))]);
}

#[test]
fn a_request_queued_past_half_of_its_objective_is_rejected_in_time() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut gateway = TestGateway::new(settings, 0);
    assert!(attempts_in(&gateway.request(1, 1, 1, 1.0)).is_empty());
    let actions = gateway.advance(600 * MS);
    assert!(is_rejected(&actions, 1));
}

/// Guards against a class that is never forwarded again after a period of slow responses.
#[test]
fn a_class_with_slow_responses_is_still_forwarded() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut gateway = TestGateway::new(settings, 6);
    for id in 1..60 {
        for (request, host) in attempts_in(&gateway.request(id, 1, id, 1.0)) {
            gateway.now += 3_900 * MS;
            let end = AttemptEnded {
                id: request,
                attempt: 0,
                host,
                outcome: Outcome::Ok,
                elapsed: 3_900 * MS,
                is_request_closed: true,
                quota_used: None,
                actual_units: None,
                report: None,
            };
            gateway.report(Event::AttemptEnded(end));
        }
    }
    assert_eq!(attempts_in(&gateway.request(100, 1, 100, 1.0)).len(), 1);
}

/// Hosts are slow while they warm up, and they also warm up without attempts.
#[test]
fn a_host_that_was_slow_and_is_unused_is_used_again() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut gateway = TestGateway::new(settings, 2);
    let mut attempts_at_host = 0;
    for id in 1..=300 {
        for (request, host) in attempts_in(&gateway.request(id, 1, id, 1.0)) {
            let elapsed = if host == HostId(1) && id <= 100 { 400 * MS } else { 40 * MS };
            gateway.now += elapsed;
            let (attempt, outcome, is_request_closed) = (0, Outcome::Ok, true);
            let (quota_used, actual_units, report) = (None, None, None);
            let end = AttemptEnded {
                id: request,
                attempt,
                host,
                outcome,
                elapsed,
                is_request_closed,
                quota_used,
                actual_units,
                report,
            };
            gateway.report(Event::AttemptEnded(end));
            attempts_at_host += u32::from(host == HostId(1) && id > 100);
        }
        gateway.now += 200 * MS;
    }
    assert!(attempts_at_host >= 2, "{attempts_at_host} of 200 attempts in about 50 s");
}

/// Overdue attempts release their slots, so that others are still forwarded.
#[test]
fn overdue_attempts_do_not_occupy_slots() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut gateway = TestGateway::new(settings, 1);
    let sent: usize = (1..=40).map(|id| attempts_in(&gateway.request(id, 1, id, 1.0)).len()).sum();
    assert!(sent < 40, "the slots limit the attempts in flight");
    gateway.advance(1_200 * MS);
    assert_eq!(attempts_in(&gateway.request(100, 1, 100, 1.0)).len(), 1);
}

/// With hundreds of gateways an even share of the slots is less than one. It accumulates until an attempt can
/// be made, and is exceeded for a short time only.
#[test]
fn a_share_below_one_slot_accumulates_and_is_not_exceeded_on_average() {
    let mut settings = Settings { gateways: 8, ..settings() };
    settings.plans[0].rate = 0.0;
    let mut gateway = TestGateway::new(settings, 1); // four slots in total, half a slot for this gateway
    assert_eq!(attempts_in(&gateway.request(1, 1, 1, 1.0)).len(), 1, "an idle gateway forwards at once");
    let mut in_flight = vec![(0, 0, HostId(0)); 0];
    let (mut slots_used, mut id) = (0, 1);
    for _ in 0..1_000 {
        id += 1;
        let mut actions = gateway.request(id, 0, id, 1.0);
        actions.extend(gateway.advance(20 * MS));
        in_flight.extend(attempts_in(&actions).into_iter().map(|(request, host)| (request.0, 0, host)));
        slots_used += in_flight.len();
        in_flight.iter_mut().for_each(|o| o.1 += 1);
        for (request, _, host) in in_flight.remove_older_than(10) {
            gateway.end_attempt(request, 0, host, Outcome::Ok);
        }
    }
    let mean = slots_used as f64 / 1_000.0;
    assert!((0.3..0.7).contains(&mean), "half a slot on average: {mean}");
}

trait RemoveOlder {
    fn remove_older_than(&mut self, age: u32) -> Vec<(u64, u32, HostId)>;
}

impl RemoveOlder for Vec<(u64, u32, HostId)> {
    fn remove_older_than(&mut self, age: u32) -> Vec<(u64, u32, HostId)> {
        let (older, younger) = self.iter().copied().partition(|o| o.1 >= age);
        *self = younger;
        older
    }
}

/// If no host responds, releasing the slots would increase the overload.
#[test]
fn overdue_attempts_do_not_release_slots_while_all_hosts_are_unresponsive() {
    let mut settings = Settings { gateways: 1, ..settings() };
    settings.plans[0].rate = 0.0;
    let mut gateway = TestGateway::new(settings, 2); // eight slots
    let mut sent = 0;
    for id in 1..=400 {
        sent += attempts_in(&gateway.request(id, 1, id, 1.0)).len();
        sent += attempts_in(&gateway.advance(50 * MS)).len();
    }
    assert!(sent <= 24, "unresponsive hosts do not get one attempt after another: {sent}");
}

#[test]
fn requests_that_cannot_be_forwarded_in_time_are_rejected_on_arrival_with_high_priorities_last() {
    let mut settings = settings();
    settings.gateways = 1;
    let plan = Plan { rate: 1e5, burst: 1e5, ..settings.plans[0].clone() };
    settings.plans = vec![Plan { weight_factor: 1.0, ..plan.clone() }, Plan { weight_factor: 2.0, ..plan }];
    // Ten hosts have at least forty slots, and a response takes 20 ms, so several hundred requests are
    // forwarded within half of the latency objective.
    let mut gateway = LoadedGateway::with_settings(settings, 10, 0);
    gateway.mean_work(2_000, 10);
    gateway.advance(100 * MS);
    let (served, rejected) = (gateway.served, gateway.rejected);
    let send_requests = |gateway: &mut LoadedGateway, count: u64, class: usize, plan: usize| {
        let before = gateway.rejected;
        for _ in 0..count {
            gateway.last_id += 1;
            let (id, customer) = (RequestId(gateway.last_id), CustomerId(100 + plan as u64));
            let (remaining, units) = (4_000 * MS, 1.0);
            gateway.report(Event::Request(Request {
                id,
                class,
                plan,
                customer,
                remaining,
                units,
                set_size: 1,
                ..Request::default()
            }));
        }
        gateway.rejected - before
    };
    assert_eq!(
        send_requests(&mut gateway, 500, 0, 0),
        0,
        "requests that can be forwarded in time are queued"
    );
    let rejected_at_once = send_requests(&mut gateway, 20_000, 0, 0);
    assert!((10_000..20_000).contains(&rejected_at_once), "{rejected_at_once}");
    assert_eq!(send_requests(&mut gateway, 100, 0, 0), 100);
    assert_eq!(send_requests(&mut gateway, 100, 0, 1), 0, "a plan of higher weight may be queued for longer");
    assert_eq!(
        send_requests(&mut gateway, 100, 1, 0),
        0,
        "no request is queued ahead of the class of highest priority"
    );
    gateway.advance(2_000 * MS);
    assert!(gateway.served - served >= 600, "{}", gateway.served - served);
    assert!(gateway.rejected - rejected < 20_500);
}

#[test]
fn a_request_with_a_remaining_deadline_below_the_response_time_is_rejected_on_arrival() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut gateway = TestGateway::new(settings, 20);
    let send_request = |gateway: &mut TestGateway, id, remaining| {
        let request = Request { id: RequestId(id), units: 1.0, remaining, set_size: 2, ..Request::default() };
        gateway.report(Event::Request(request))
    };
    let respond = |gateway: &mut TestGateway, actions: &[Action]| {
        for (id, host) in attempts_in(actions) {
            gateway.end_attempt_after(400 * MS, id.0, 0, host, Outcome::Ok);
        }
    };
    let first = send_request(&mut gateway, 1, 200 * MS);
    assert_eq!(attempts_in(&first).len(), 1, "response times are not known yet");
    respond(&mut gateway, &first);
    for id in 2..60 {
        let actions = send_request(&mut gateway, id, 4_000 * MS);
        respond(&mut gateway, &actions);
    }
    for (id, remaining, is_rejected_on_arrival) in [(100, 200, true), (101, 700, false), (102, 4_000, false)]
    {
        let actions = send_request(&mut gateway, id, remaining * MS);
        assert_eq!(
            (is_rejected(&actions, id), attempts_in(&actions).len()),
            (is_rejected_on_arrival, usize::from(!is_rejected_on_arrival)),
            "{id}"
        );
        respond(&mut gateway, &actions);
    }
}
