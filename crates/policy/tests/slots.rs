//! The fuzzy table, reserves, and the order in which slots are given.
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
fn when_slots_bind_the_worthier_class_leaves_first() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 1);
    let mut out = Vec::new();
    let mut id = 0;
    // Fill every slot, then queue one of each class, the cheaper one first.
    while out.len() == id as usize {
        id += 1;
        out.extend(sends(&g.request(id, 0, id, 1.0)));
    }
    let worthy = id + 1;
    assert!(sends(&g.request(worthy, 1, worthy, 1.0)).is_empty());
    let freed = sends(&g.ended(1, 0, HostId(1), Outcome::Ok));
    assert_eq!(freed, vec![(RequestId(worthy), HostId(1))]);
}

#[test]
fn a_request_held_past_half_its_aim_is_refused_in_time() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 0);
    assert!(sends(&g.request(1, 1, 1, 1.0)).is_empty());
    let actions = g.pass(600 * MS);
    assert!(refused(&actions, 1));
}

/// A spell of costly requests must not shut their class out once it is over.
#[test]
fn a_class_whose_answers_were_slow_is_still_tried() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 6);
    for id in 1..60 {
        for (request, host) in sends(&g.request(id, 1, id, 1.0)) {
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
    assert_eq!(sends(&g.request(100, 1, 100, 1.0)).len(), 1);
}

/// Cold hosts are slow, and warm up while nobody looks.
#[test]
fn a_host_that_was_slow_and_is_not_used_since_is_tried_again() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 2);
    let mut again = 0;
    for id in 1..=300 {
        for (request, host) in sends(&g.request(id, 1, id, 1.0)) {
            let took = if host == HostId(1) && id <= 100 { 400 * MS } else { 40 * MS };
            g.now += took;
            let (attempt, outcome, closed) = (0, Outcome::Ok, true);
            let (used, true_units, report) = (None, None, None);
            let end = AttemptEnded {
                id: request,
                attempt,
                host,
                outcome,
                elapsed: took,
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

/// Attempts that hang past their aim leave the slot count, so that others are still sent.
#[test]
fn hung_attempts_do_not_hold_the_slots() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 1);
    let sent: usize = (1..=40).map(|id| sends(&g.request(id, 1, id, 1.0)).len()).sum();
    assert!(sent < 40, "slots bind");
    g.pass(1_200 * MS);
    assert_eq!(sends(&g.request(100, 1, 100, 1.0)).len(), 1);
}

/// With hundreds of gateways a fair part of the fleet is below one slot: it is saved up, not exceeded for long.
#[test]
fn a_part_below_two_slots_is_saved_up_and_not_exceeded_for_long() {
    let mut settings = Settings { gateways: 8, ..settings() };
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 1); // four slots in all, half a slot here
    assert_eq!(sends(&g.request(1, 1, 1, 1.0)).len(), 1, "an idle gateway sends at once");
    let mut out = vec![(0, 0, HostId(0)); 0];
    let (mut held_for, mut id) = (0, 1);
    for _ in 0..1_000 {
        id += 1;
        let mut actions = g.request(id, 0, id, 1.0);
        actions.extend(g.pass(20 * MS));
        out.extend(sends(&actions).into_iter().map(|(request, host)| (request.0, 0, host)));
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

/// Where every host is silent, leaving slots would only pile more on them.
#[test]
fn where_all_hosts_drown_hung_attempts_keep_their_slots() {
    let mut settings = Settings { gateways: 1, ..settings() };
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 2); // eight slots
    let mut sent = 0;
    for id in 1..=400 {
        sent += sends(&g.request(id, 1, id, 1.0)).len();
        sent += sends(&g.pass(50 * MS)).len();
    }
    assert!(sent <= 24, "a silent fleet is not sent one attempt after another: {sent}");
}

#[test]
fn what_cannot_be_sent_in_time_is_refused_as_it_comes_and_orders_and_dear_plans_last() {
    let mut settings = settings();
    settings.gateways = 1;
    let plan = Plan { rate: 1e5, burst: 1e5, ..settings.plans[0].clone() };
    settings.plans = vec![Plan { weight_factor: 1.0, ..plan.clone() }, Plan { weight_factor: 2.0, ..plan }];
    // Ten hosts have forty slots at the least, and an answer takes 20 ms: some hundreds go out in half of a read's aim.
    let mut load = Load::with(settings, 10, 0);
    load.cost(2_000, 10);
    load.pass(100 * MS);
    let (served, refused) = (load.served, load.refused);
    let ask = |load: &mut Load, count: u64, class: usize, plan: usize| {
        let before = load.refused;
        for _ in 0..count {
            load.next += 1;
            let (id, customer) = (RequestId(load.next), CustomerId(100 + plan as u64));
            let (patience, units) = (4_000 * MS, 1.0);
            load.tell(Event::Request(Request {
                id,
                class,
                plan,
                customer,
                remaining: patience,
                units,
                set_size: 1,
                ..Request::default()
            }));
        }
        load.refused - before
    };
    assert_eq!(ask(&mut load, 500, 0, 0), 0, "as many as the slots take in time wait");
    let all_at_once = ask(&mut load, 20_000, 0, 0);
    assert!((10_000..20_000).contains(&all_at_once), "{all_at_once}");
    assert_eq!(ask(&mut load, 100, 0, 0), 100);
    assert_eq!(ask(&mut load, 100, 0, 1), 0, "a plan that pays more may wait a little longer");
    assert_eq!(ask(&mut load, 100, 1, 0), 0, "before orders nobody waits");
    load.pass(2_000 * MS);
    assert!(load.served - served >= 600, "{}", load.served - served);
    assert!(load.refused - refused < 20_500);
}

#[test]
fn whoever_waits_less_than_answers_take_is_refused_as_it_comes() {
    let mut settings = settings();
    settings.plans[0].rate = 0.0;
    let mut g = Harness::new(settings, 20);
    let ask = |g: &mut Harness, id, patience| {
        let request =
            Request { id: RequestId(id), units: 1.0, remaining: patience, set_size: 2, ..Request::default() };
        g.on(Event::Request(request))
    };
    let answered = |g: &mut Harness, actions: &[Action]| {
        for (id, host) in sends(actions) {
            g.ended_after(400 * MS, id.0, 0, host, Outcome::Ok);
        }
    };
    let early = ask(&mut g, 1, 200 * MS);
    assert_eq!(sends(&early).len(), 1, "nobody knows yet how long answers take");
    answered(&mut g, &early);
    for id in 2..60 {
        let actions = ask(&mut g, id, 4_000 * MS);
        answered(&mut g, &actions);
    }
    for (id, patience, is_refused) in [(100, 200, true), (101, 700, false), (102, 4_000, false)] {
        let actions = ask(&mut g, id, patience * MS);
        assert_eq!(
            (refused(&actions, id), sends(&actions).len()),
            (is_refused, usize::from(!is_refused)),
            "{id}"
        );
        answered(&mut g, &actions);
    }
}
