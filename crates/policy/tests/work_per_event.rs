//! The work for an event does not grow with the known customers, hosts and requests. It is counted in records
//! looked at, which are the same on each machine.
mod common;
use common::load::Load;
use common::*;
use policy::api::*;

/// Returns the work for one request once this number of customers is known.
fn cost(customers: u64, hosts: u64) -> f64 {
    let mut load = Load::new(hosts, 0);
    for customer in 0..customers {
        load.ask(customer);
        if customer % 10 == 9 {
            load.pass(MS);
        }
    }
    load.pass(100 * MS);
    load.cost(3_000, customers)
}

#[test]
fn the_work_for_a_request_does_not_grow_with_customers_and_hosts() {
    let (few, many) = (cost(100, 10), cost(100_000, 500));
    assert!(many <= 1.5 * few, "{many} records a request, with 100 customers and 10 hosts {few}");
    assert!(few > 5.0, "records are counted: {few}");
}

#[test]
fn idle_customers_cost_only_a_review_from_time_to_time() {
    let mut load = Load::new(10, 0);
    for customer in 0..100_000 {
        load.ask(customer);
        if customer % 20 == 19 {
            load.pass(MS);
        }
    }
    load.pass(1_000 * MS);
    let before = load.policy.work();
    load.most_work = 0;
    load.pass(20_000 * MS);
    // Each is reviewed at most twice in 50 s.
    let a_second = (load.policy.work() - before) as f64 / 20.0;
    assert!(a_second <= 4_100.0, "{a_second} records a second at rest");
    assert!(load.most_work <= 200, "{} records at once", load.most_work);
    load.pass(100_000 * MS);
    assert!(load.policy.record_count() < 50, "{} records are kept", load.policy.record_count());
}

#[test]
fn an_idle_gateway_runs_only_its_control_period_and_its_heartbeat() {
    let mut load = Load::new(500, 0);
    load.pass(1_000 * MS);
    let before = load.policy.work();
    load.pass(10_000 * MS);
    let looked = load.policy.work() - before;
    assert!(looked <= 30, "{looked} records in ten seconds");
}

#[test]
fn requests_in_flight_do_not_add_to_the_work_for_another() {
    let cost_of_one = |in_hand: u64| {
        let mut load = Load::new(6_000, 0);
        (0..in_hand).for_each(|n| load.ask(n % 1_000));
        assert_eq!(load.in_flight.len() as u64, in_hand, "all are out");
        let before = load.policy.work();
        (0..100).for_each(|n| load.ask(n));
        (load.policy.work() - before) as f64 / 100.0
    };
    let (few, many) = (cost_of_one(10), cost_of_one(20_000));
    assert!(many <= 1.2 * few, "{many} records with 20,000 in hand, {few} with 10");
}

#[test]
fn requests_without_a_host_are_not_considered_at_each_event() {
    // All hosts warm up: of 512 requests most wait, and an event that helps none of them costs next to
    // nothing.
    let mut load = Load::new(200, 1_000_000 * MS - MS);
    (0..512).for_each(|n| load.ask(n));
    assert!(load.served == 0 && load.in_flight.len() < 512);
    let before = load.policy.work();
    for n in 0..1_000 {
        load.report(Event::HealthCheckEnded {
            host: HostId(1 + n % 200),
            outcome: Outcome::Ok,
            report: None,
        });
    }
    let each = (load.policy.work() - before) as f64 / 1_000.0;
    assert!(each < 1.0, "{each} records an event");
}

#[test]
fn ten_thousand_customers_that_wait_while_the_counter_is_down_are_considered_once() {
    let mut load = Load::new(500, 0);
    // Calls are made and get no reply.
    let mut names = Vec::new();
    for customer in 0..10_000 {
        load.next += 1;
        let request = Request {
            id: RequestId(load.next),
            customer: CustomerId(customer),
            remaining: 4_000 * MS,
            units: 1.0,
            set_size: 1,
            ..Request::default()
        };
        let mut actions = Vec::new();
        load.policy.handle(load.now, Event::Request(request), &mut actions);
        names.extend(calls_in(&actions).into_iter().map(|(name, _)| name));
    }
    assert_eq!(names.len(), 10_000);
    let before = load.policy.work();
    load.now += 30 * MS;
    for name in names {
        let (outcome, total, elapsed) = (Outcome::Timeout, 0.0, 30 * MS);
        load.report(Event::CounterReplied { key: name, outcome, total, elapsed });
    }
    let each = (load.policy.work() - before) as f64 / 10_000.0;
    assert!(each <= 20.0, "{each} records for each of them");
    load.pass(2_000 * MS);
    assert_eq!(load.served + load.rejected, 10_000);
}

#[test]
fn many_waiting_requests_of_a_customer_do_not_add_to_the_work_for_each() {
    let mut settings = settings();
    settings.gateways = 1;
    settings.plans[0].max_concurrent = 2;
    let mut g = Harness::new(settings, 60);
    let mut worked = Vec::new();
    for id in 1..=2_000 {
        let before = g.policy.work();
        g.request(id, 0, 7, 0.001);
        worked.push(g.policy.work() - before);
    }
    let last: u64 = worked[1_900..].iter().sum();
    assert!(last <= 100 * 40, "{last} records for the last hundred of 2,000");
}

#[test]
fn five_hundred_hosts_replaced_at_once_are_taken_in_and_used() {
    let mut load = Load::new(500, 0);
    load.cost(500, 100);
    let entries = (1_001..=1_500).map(entry).collect();
    load.report(Event::HostList { kind: HostListKind::Full, entries });
    let before = load.served;
    let cost = load.cost(500, 100);
    load.pass(100 * MS);
    assert!(load.served - before >= 500 && load.rejected == 0);
    assert!(cost < 60.0, "{cost} records a request");
    load.pass(120_000 * MS);
    assert!(
        load.policy.record_count() < 520,
        "those that are gone are forgotten: {}",
        load.policy.record_count()
    );
}
