//! The work for an event does not grow with the number of known customers, hosts and requests. Work is
//! counted in records that are accessed, so that the result is the same on each machine.
mod common;
use common::load::LoadedGateway;
use common::*;
use policy::api::*;

/// Returns the mean work per request once this number of customers is known.
fn work_per_request(customers: u64, hosts: u64) -> f64 {
    let mut gateway = LoadedGateway::new(hosts, 0);
    for customer in 0..customers {
        gateway.send_request(customer);
        if customer % 10 == 9 {
            gateway.advance(MS);
        }
    }
    gateway.advance(100 * MS);
    gateway.mean_work(3_000, customers)
}

#[test]
fn the_work_for_a_request_does_not_grow_with_customers_and_hosts() {
    let (few, many) = (work_per_request(100, 10), work_per_request(100_000, 500));
    assert!(many <= 1.5 * few, "{many} records per request, {few} with 100 customers and 10 hosts");
    assert!(few > 5.0, "records are counted: {few}");
}

#[test]
fn idle_customers_cost_only_a_periodic_review_and_are_removed() {
    let mut gateway = LoadedGateway::new(10, 0);
    for customer in 0..100_000 {
        gateway.send_request(customer);
        if customer % 20 == 19 {
            gateway.advance(MS);
        }
    }
    gateway.advance(1_000 * MS);
    let before = gateway.policy.work();
    gateway.max_work = 0;
    gateway.advance(20_000 * MS);
    // Each customer is reviewed at most twice in 50 s.
    let per_second = (gateway.policy.work() - before) as f64 / 20.0;
    assert!(per_second <= 4_100.0, "{per_second} records per second while idle");
    assert!(gateway.max_work <= 200, "{} records in one event", gateway.max_work);
    gateway.advance(100_000 * MS);
    assert!(gateway.policy.record_count() < 50, "{} records remain", gateway.policy.record_count());
}

#[test]
fn an_idle_gateway_runs_only_its_control_period_and_its_heartbeat() {
    let mut gateway = LoadedGateway::new(500, 0);
    gateway.advance(1_000 * MS);
    let before = gateway.policy.work();
    gateway.advance(10_000 * MS);
    let accessed = gateway.policy.work() - before;
    assert!(accessed <= 30, "{accessed} records in ten seconds");
}

#[test]
fn requests_in_flight_do_not_add_to_the_work_for_another() {
    let work_of_another_request = |requests_in_flight: u64| {
        let mut gateway = LoadedGateway::new(6_000, 0);
        (0..requests_in_flight).for_each(|n| gateway.send_request(n % 1_000));
        assert_eq!(gateway.in_flight.len() as u64, requests_in_flight, "all requests are in flight");
        let before = gateway.policy.work();
        (0..100).for_each(|n| gateway.send_request(n));
        (gateway.policy.work() - before) as f64 / 100.0
    };
    let (few, many) = (work_of_another_request(10), work_of_another_request(20_000));
    assert!(many <= 1.2 * few, "{many} records with 20,000 requests in flight, {few} with 10");
}

#[test]
fn requests_without_a_host_are_not_considered_at_each_event() {
    // All hosts warm up, so that most of 512 requests wait. An event after which none of them can be
    // forwarded takes almost no work.
    let mut gateway = LoadedGateway::new(200, 1_000_000 * MS - MS);
    (0..512).for_each(|n| gateway.send_request(n));
    assert!(gateway.served == 0 && gateway.in_flight.len() < 512);
    let before = gateway.policy.work();
    for n in 0..1_000 {
        gateway.report(Event::HealthCheckEnded {
            host: HostId(1 + n % 200),
            outcome: Outcome::Ok,
            report: None,
        });
    }
    let mean = (gateway.policy.work() - before) as f64 / 1_000.0;
    assert!(mean < 1.0, "{mean} records per event");
}

#[test]
fn ten_thousand_customers_that_wait_while_the_counter_is_down_are_considered_once() {
    let mut gateway = LoadedGateway::new(500, 0);
    // The calls to the counter get no reply.
    let mut keys = Vec::new();
    for customer in 0..10_000 {
        gateway.last_id += 1;
        let request = Request {
            id: RequestId(gateway.last_id),
            customer: CustomerId(customer),
            remaining: 4_000 * MS,
            units: 1.0,
            set_size: 1,
            ..Request::default()
        };
        let mut actions = Vec::new();
        gateway.policy.handle(gateway.now, Event::Request(request), &mut actions);
        keys.extend(counter_calls_in(&actions).into_iter().map(|(key, _)| key));
    }
    assert_eq!(keys.len(), 10_000);
    let before = gateway.policy.work();
    gateway.now += 30 * MS;
    for key in keys {
        let (outcome, total, elapsed) = (Outcome::Timeout, 0.0, 30 * MS);
        gateway.report(Event::CounterReplied { key, outcome, total, elapsed });
    }
    let mean = (gateway.policy.work() - before) as f64 / 10_000.0;
    assert!(mean <= 20.0, "{mean} records per customer");
    gateway.advance(2_000 * MS);
    assert_eq!(gateway.served + gateway.rejected, 10_000);
}

#[test]
fn many_waiting_requests_of_a_customer_do_not_add_to_the_work_for_another() {
    let mut settings = settings();
    settings.gateways = 1;
    settings.plans[0].max_concurrent = 2;
    let mut gateway = TestGateway::new(settings, 60);
    let mut work_of_requests = Vec::new();
    for id in 1..=2_000 {
        let before = gateway.policy.work();
        gateway.request(id, 0, 7, 0.001);
        work_of_requests.push(gateway.policy.work() - before);
    }
    let last: u64 = work_of_requests[1_900..].iter().sum();
    assert!(last <= 100 * 40, "{last} records for the last hundred of 2,000 requests");
}

#[test]
fn five_hundred_hosts_replaced_at_once_are_used_and_former_hosts_are_removed() {
    let mut gateway = LoadedGateway::new(500, 0);
    gateway.mean_work(500, 100);
    let entries = (1_001..=1_500).map(entry).collect();
    gateway.report(Event::HostList { kind: HostListKind::Full, entries });
    let before = gateway.served;
    let work_per_request = gateway.mean_work(500, 100);
    gateway.advance(100 * MS);
    assert!(gateway.served - before >= 500 && gateway.rejected == 0);
    assert!(work_per_request < 60.0, "{work_per_request} records per request");
    gateway.advance(120_000 * MS);
    assert!(
        gateway.policy.record_count() < 520,
        "the state of removed hosts is removed: {}",
        gateway.policy.record_count()
    );
}
