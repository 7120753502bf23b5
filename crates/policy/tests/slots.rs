//! The fuzzy table, reservations, and the order in which slots are assigned.
mod common;
use common::load::Load;
use common::*;
use policy::api::*;
use policy::controller_output;

/// Table 1 of the paper, rows E and columns dE, with terms as the paper names them.
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
            let wanted = terms.iter().find(|t| t.0 == *term).map(|t| t.1);
            let got = controller_output(corners[i], corners[j]);
            assert!((got - wanted.expect("a term")).abs() < 1e-9, "E {i} dE {j}: {got}, table says {term}");
        }
    }
}

#[test]
fn errors_beyond_the_clamp_count_as_the_clamp() {
    assert_eq!(controller_output(50.0, 50.0), controller_output(1.0, 1.0));
    assert_eq!(controller_output(f64::NAN, 0.0), controller_output(0.0, 0.0));
    assert!(controller_output(0.2, 0.0) > 0.0 && controller_output(0.2, 0.0) < controller_output(0.4, 0.0));
}

#[test]
fn while_slots_are_short_the_class_of_higher_priority_is_forwarded_first() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 1);
    let mut out = Vec::new();
    let mut id = 0;
    // Fill every slot, then queue one of each class, the cheaper one first.
    while out.len() == id as usize {
        id += 1;
        out.extend(attempts_in(&g.request(id, 0, id, 1.0)));
    }
    let worthy = id + 1;
    assert!(attempts_in(&g.request(worthy, 1, worthy, 1.0)).is_empty());
    let freed = attempts_in(&g.ended(1, 0, HostId(1), Outcome::Ok));
    assert_eq!(freed, vec![(RequestId(worthy), HostId(1))]);
}

#[test]
fn a_request_queued_past_half_of_its_objective_is_rejected_in_time() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 0);
    assert!(attempts_in(&g.request(1, 1, 1, 1.0)).is_empty());
    let actions = g.pass(600 * MS);
    assert!(is_rejected(&actions, 1));
}

/// After a period of costly requests the class is still forwarded.
#[test]
fn a_class_with_slow_responses_is_still_forwarded() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 6);
    for id in 1..60 {
        for (request, host) in attempts_in(&g.request(id, 1, id, 1.0)) {
            g.now += 3_900 * MS;
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
            g.on(Event::AttemptEnded(end));
        }
    }
    assert_eq!(attempts_in(&g.request(100, 1, 100, 1.0)).len(), 1);
}

/// Hosts that warm up are slow at first, and warm up without attempts as well.
#[test]
fn a_host_that_was_slow_and_is_unused_is_used_again() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 2);
    let mut again = 0;
    for id in 1..=300 {
        for (request, host) in attempts_in(&g.request(id, 1, id, 1.0)) {
            let elapsed = if host == HostId(1) && id <= 100 { 400 * MS } else { 40 * MS };
            g.now += elapsed;
            let (attempt, outcome, closed) = (0, Outcome::Ok, true);
            let (used, true_units, report) = (None, None, None);
            let end = AttemptEnded {
                id: request,
                attempt,
                host,
                outcome,
                elapsed,
                is_request_closed: closed,
                quota_used: used,
                actual_units: true_units,
                report,
            };
            g.on(Event::AttemptEnded(end));
            again += u32::from(host == HostId(1) && id > 100);
        }
        g.now += 200 * MS;
    }
    assert!(again >= 2, "{again} of 200 in some 50 s");
}

/// Overdue attempts release their slots, so that others are still forwarded.
#[test]
fn overdue_attempts_do_not_occupy_slots() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 1);
    let sent: usize = (1..=40).map(|id| attempts_in(&g.request(id, 1, id, 1.0)).len()).sum();
    assert!(sent < 40, "slots bind");
    g.pass(1_200 * MS);
    assert_eq!(attempts_in(&g.request(100, 1, 100, 1.0)).len(), 1);
}

/// With hundreds of gateways an even share of the hosts is below one slot: it is saved up, and not exceeded
/// for long.
#[test]
fn a_share_below_two_slots_is_saved_up_and_not_exceeded_for_long() {
    let mut settings = Settings { gateways: 8, ..settings() };
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 1); // four slots in all, half a slot here
    assert_eq!(attempts_in(&g.request(1, 1, 1, 1.0)).len(), 1, "an idle gateway sends at once");
    let mut out = vec![(0, 0, HostId(0)); 0];
    let (mut held_for, mut id) = (0, 1);
    for _ in 0..1_000 {
        id += 1;
        let mut actions = g.request(id, 0, id, 1.0);
        actions.extend(g.pass(20 * MS));
        out.extend(attempts_in(&actions).into_iter().map(|(request, host)| (request.0, 0, host)));
        held_for += out.len();
        out.iter_mut().for_each(|o| o.1 += 1);
        for (request, _, host) in out.extract_if_over(10) {
            g.ended(request, 0, host, Outcome::Ok);
        }
    }
    let mean = held_for as f64 / 1_000.0;
    assert!((0.3..0.7).contains(&mean), "half a slot in the mean: {mean}");
}

trait ExtractOver {
    fn extract_if_over(&mut self, age: u32) -> Vec<(u64, u32, HostId)>;
}

impl ExtractOver for Vec<(u64, u32, HostId)> {
    fn extract_if_over(&mut self, age: u32) -> Vec<(u64, u32, HostId)> {
        let (over, rest) = self.iter().copied().partition(|o| o.1 >= age);
        *self = rest;
        over
    }
}

/// Where no host responds, released slots would only add to the overload.
#[test]
fn where_all_hosts_are_overloaded_overdue_attempts_keep_their_slots() {
    let mut settings = Settings { gateways: 1, ..settings() };
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 2); // eight slots
    let mut sent = 0;
    for id in 1..=400 {
        sent += attempts_in(&g.request(id, 1, id, 1.0)).len();
        sent += attempts_in(&g.pass(50 * MS)).len();
    }
    assert!(sent <= 24, "a silent fleet is not sent one attempt after another: {sent}");
}

#[test]
fn requests_that_cannot_be_forwarded_in_time_are_rejected_on_arrival_with_high_priorities_last() {
    let mut settings = settings();
    settings.gateways = 1;
    let plan = Plan { rate: 1e5, burst: 1e5, ..settings.plans[0].clone() };
    settings.plans = vec![Plan { weight_factor: 1.0, ..plan.clone() }, Plan { weight_factor: 2.0, ..plan }];
    // Ten hosts have forty slots at the least, and a response takes 20 ms: some hundreds are forwarded within
    // half of the objective.
    let mut load = Load::with(settings, 10, 0);
    load.cost(2_000, 10);
    load.pass(100 * MS);
    let (served, refused) = (load.served, load.rejected);
    let ask = |load: &mut Load, count: u64, class: usize, plan: usize| {
        let before = load.rejected;
        for _ in 0..count {
            load.next += 1;
            let (id, customer) = (RequestId(load.next), CustomerId(100 + plan as u64));
            let (remaining, units) = (4_000 * MS, 1.0);
            load.report(Event::Request(Request {
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
        load.rejected - before
    };
    assert_eq!(ask(&mut load, 500, 0, 0), 0, "as many as the slots take in time wait");
    let all_at_once = ask(&mut load, 20_000, 0, 0);
    assert!((10_000..20_000).contains(&all_at_once), "{all_at_once}");
    assert_eq!(ask(&mut load, 100, 0, 0), 100);
    assert_eq!(ask(&mut load, 100, 0, 1), 0, "a plan that pays more may wait a little longer");
    assert_eq!(ask(&mut load, 100, 1, 0), 0, "before orders nobody waits");
    load.pass(2_000 * MS);
    assert!(load.served - served >= 600, "{}", load.served - served);
    assert!(load.rejected - refused < 20_500);
}

#[test]
fn a_request_with_less_time_than_responses_take_is_rejected_on_arrival() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 20);
    let ask = |g: &mut Harness, id, remaining| {
        let request = Request { id: RequestId(id), units: 1.0, remaining, set_size: 2, ..Request::default() };
        g.on(Event::Request(request))
    };
    let answered = |g: &mut Harness, actions: &[Action]| {
        for (id, host) in attempts_in(actions) {
            g.ended_after(400 * MS, id.0, 0, host, Outcome::Ok);
        }
    };
    let early = ask(&mut g, 1, 200 * MS);
    assert_eq!(attempts_in(&early).len(), 1, "nobody knows yet how long answers take");
    answered(&mut g, &early);
    for id in 2..60 {
        let actions = ask(&mut g, id, 4_000 * MS);
        answered(&mut g, &actions);
    }
    for (id, remaining, is_refused) in [(100, 200, true), (101, 700, false), (102, 4_000, false)] {
        let actions = ask(&mut g, id, remaining * MS);
        assert_eq!(
            (is_rejected(&actions, id), attempts_in(&actions).len()),
            (is_refused, usize::from(!is_refused)),
            "{id}"
        );
        answered(&mut g, &actions);
    }
}
