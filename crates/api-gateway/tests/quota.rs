//! Three real gateways and a fake counter on loopback, which is unreachable for some seconds and then empty.
#[expect(dead_code, reason = "other tests use the rest")]
mod sockets;

use cluster_model::scenario::{CounterFault, CounterSpec};
use fake_services::counter::{CounterConfig, CounterStandIn};
use fake_services::Recorder;
use quota::bound::{max_overshoot, Failure, Quota};
use runtime::SystemEnv;
use serde_json::Value;
use sockets::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const GATEWAYS: u32 = 3;
const QUOTA: Quota = Quota { rate: 40.0, burst: 40.0, set_size: GATEWAYS, max_request_units: UNITS };
/// Units of each request.
const UNITS: f64 = 2.0;
/// Duration of the counter's outage.
const OUTAGE: Duration = Duration::from_secs(3);
const OVER_LIMIT: &str = "00000000000000aa";
const WITHIN_LIMIT: &str = "00000000000000bb";

/// Returns the settings of the gateway with this number.
fn settings_of(gateway: u32) -> Value {
    let mut settings = settings();
    settings["balancers"] = GATEWAYS.into();
    settings["me"] = gateway.into();
    settings["domain"]["shared-counter"] = true.into();
    settings["domain"]["counter-timeout"] = 200_000_000u64.into();
    settings["tariffs"][0]["refill"] = QUOTA.rate.into();
    settings["tariffs"][0]["burst"] = QUOTA.burst.into();
    settings
}

/// Starts a counter with a listener for each gateway, on a separate thread.
fn counter() -> (Runtime, CounterStandIn<SystemEnv>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let guard = runtime.enter();
    let config = CounterConfig {
        spec: CounterSpec::default(),
        seed: 1,
        listen: vec!["127.0.0.1:0".parse().unwrap(); GATEWAYS as usize],
        recorder: Recorder::default(),
        lag: 0,
    };
    let counter = CounterStandIn::start(SystemEnv::start(), config).unwrap();
    counter.open();
    drop(guard);
    (runtime, counter)
}

/// Answers all requests, and returns their ids by customer.
fn serve(hosts: Peers) -> Arc<Mutex<BTreeMap<String, BTreeSet<String>>>> {
    let served: Arc<Mutex<BTreeMap<String, BTreeSet<String>>>> = Arc::default();
    let recorded = served.clone();
    thread::spawn(move || loop {
        let mut command = hosts.next_command();
        let (customer, id) = (command.arguments[1].clone(), command.arguments[2].clone());
        recorded.lock().unwrap().entry(customer).or_default().insert(id);
        command.write_ignoring_errors("*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n");
    });
    served
}

/// Waits for a condition that is certain to become true.
fn wait_until(awaited: &str, is_reached: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !is_reached() {
        assert!(Instant::now() < end, "timed out waiting for {awaited}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A customer that sends requests to several gateways in turn until it is stopped.
struct Customer {
    stop: Arc<AtomicBool>,
    rejected: Arc<AtomicU64>,
    thread: JoinHandle<u64>,
}

impl Customer {
    fn start(mut gateways: Vec<Client>, customer: &'static str, ids: u64, pause: Duration) -> Self {
        let (stop, rejected) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stopped, counted) = (stop.clone(), rejected.clone());
        let thread = thread::spawn(move || {
            let mut sent = 0;
            while !stopped.load(Ordering::Relaxed) {
                let gateway = sent as usize % gateways.len();
                let id = format!("{:016x}", ids + sent);
                let list = format!("c=read,t=team,d=8500,units={UNITS},spread={GATEWAYS},first=0,k=7");
                gateways[gateway].send_command(&["CALL.GET", customer, &id, &list]);
                let answer = gateways[gateway].read_answer();
                assert!(answer == "value" || answer.starts_with("-BUSY"), "{answer}");
                counted.fetch_add(u64::from(answer != "value"), Ordering::Relaxed);
                sent += 1;
                thread::sleep(pause);
            }
            sent
        });
        Customer { stop, rejected, thread }
    }

    /// Stops the customer, and returns the numbers of requests sent and rejected.
    fn stop(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        let sent = self.thread.join().unwrap();
        (sent, self.rejected.load(Ordering::Relaxed))
    }
}

#[test]
fn quotas_hold_during_a_counter_outage_and_after_a_counter_reset() {
    let (_runtime, counter) = counter();
    let (hosts, discovery) = (Peers::start(8), Discovery::start());
    let line = |(i, addr)| host_entry(&format!("s-{i}"), addr, "in_service", 0);
    let lines: Vec<Value> = hosts.addrs.iter().copied().enumerate().map(line).collect();
    let start =
        |me: u32| Program::start(settings_of(me), &lines, discovery.addr, counter.addrs()[me as usize]);
    let gateways: Vec<Program> = (0..GATEWAYS).map(start).collect();
    let served = serve(hosts);
    let units = |customer| served.lock().unwrap().get(customer).map_or(0, BTreeSet::len) as f64 * UNITS;
    for gateway in &gateways {
        gateway.client().wait_until_ready();
    }

    let start_time = Instant::now();
    let over_limit: Vec<Customer> = (1..)
        .zip(&gateways)
        .map(|(n, gateway)| {
            Customer::start(vec![gateway.client()], OVER_LIMIT, n << 32, Duration::from_millis(5))
        })
        .collect();
    // At most 10 units a second: a quarter of its quota, and three quarters of each gateway's share.
    let all = gateways.iter().map(Program::client).collect();
    let within_limit = Customer::start(all, WITHIN_LIMIT, 9 << 32, Duration::from_millis(200));
    wait_until("a burst and more to be spent", || units(OVER_LIMIT) > QUOTA.burst * 2.0);

    let before = units(OVER_LIMIT);
    counter.fail(CounterFault::Unreachable, OUTAGE.as_nanos() as u64);
    counter.fail(CounterFault::Reset, 0);
    let outage_start = Instant::now();
    wait_until("the counter to be called again", || counter.names() > 0);
    let (outage, granted_locally) = (outage_start.elapsed(), units(OVER_LIMIT) - before);
    let before = units(OVER_LIMIT);
    wait_until("requests to pass again", || units(OVER_LIMIT) > before + QUOTA.burst);

    let (sent, rejected) = within_limit.stop();
    let sent_over_limit: u64 = over_limit.into_iter().map(|customer| customer.stop().0).sum();
    let duration_s = start_time.elapsed().as_secs_f64();
    let admitted = units(OVER_LIMIT);
    let failure = Failure { counter_resets: 1, ..Failure::counter_unreachable(outage.as_secs_f64(), &QUOTA) };
    let max_units = QUOTA.rate * duration_s + QUOTA.burst + max_overshoot(&QUOTA, &failure, false);
    assert!(
        sent_over_limit as f64 * UNITS > max_units,
        "demand below {max_units} units: {sent_over_limit} requests"
    );
    assert!(admitted <= max_units, "{admitted} of {max_units} units in {duration_s} s");
    assert!(
        granted_locally >= 0.3 * QUOTA.rate * OUTAGE.as_secs_f64(),
        "{granted_locally} units during the outage"
    );
    assert!(rejected * 10 <= sent, "{rejected} of {sent} requests rejected within the quota");
}
