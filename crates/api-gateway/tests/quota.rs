//! Three real gateways and a stand-in counter on loopback, which is cut off for some seconds and comes back
//! empty.
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
/// Of each request.
const UNITS: f64 = 2.0;
/// The counter is away for so long.
const CUT: Duration = Duration::from_secs(3);
const GREEDY: &str = "00000000000000aa";
const MODEST: &str = "00000000000000bb";

/// Of all gateways, as the platform tells this one.
fn settings_of(me: u32) -> Value {
    let mut settings = settings();
    settings["balancers"] = GATEWAYS.into();
    settings["me"] = me.into();
    settings["domain"]["shared-counter"] = true.into();
    settings["domain"]["counter-timeout"] = 200_000_000u64.into();
    settings["tariffs"][0]["refill"] = QUOTA.rate.into();
    settings["tariffs"][0]["burst"] = QUOTA.burst.into();
    settings
}

/// A counter with a listener for each gateway, on a thread of its own.
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

/// Serves all that comes, and notes the ids that have come, by customer.
fn serve(hosts: Peers) -> Arc<Mutex<BTreeMap<String, BTreeSet<String>>>> {
    let served: Arc<Mutex<BTreeMap<String, BTreeSet<String>>>> = Arc::default();
    let noted = served.clone();
    thread::spawn(move || loop {
        let mut seen = hosts.command();
        let (customer, id) = (seen.words[1].clone(), seen.words[2].clone());
        noted.lock().unwrap().entry(customer).or_default().insert(id);
        seen.write_late("*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n");
    });
    served
}

/// Waits for something that is sure to come.
fn until(what: &str, is: impl Fn() -> bool) {
    let end = Instant::now() + LONG;
    while !is() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// One that asks a few gateways in turn, until it is told to stop.
struct Asking {
    stop: Arc<AtomicBool>,
    refused: Arc<AtomicU64>,
    thread: JoinHandle<u64>,
}

impl Asking {
    fn start(mut gateways: Vec<Client>, customer: &'static str, ids: u64, pause: Duration) -> Self {
        let (stop, refused) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stopped, counted) = (stop.clone(), refused.clone());
        let thread = thread::spawn(move || {
            let mut asked = 0;
            while !stopped.load(Ordering::Relaxed) {
                let gateway = asked as usize % gateways.len();
                let id = format!("{:016x}", ids + asked);
                let list = format!("c=read,t=team,d=8500,units={UNITS},spread={GATEWAYS},first=0,k=7");
                gateways[gateway].call(&["CALL.GET", customer, &id, &list]);
                let answer = gateways[gateway].answer();
                assert!(answer == "value" || answer.starts_with("-BUSY"), "{answer}");
                counted.fetch_add(u64::from(answer != "value"), Ordering::Relaxed);
                asked += 1;
                thread::sleep(pause);
            }
            asked
        });
        Asking { stop, refused, thread }
    }

    /// Tries asked, and refused.
    fn end(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        let asked = self.thread.join().unwrap();
        (asked, self.refused.load(Ordering::Relaxed))
    }
}

#[test]
fn quotas_hold_while_the_counter_is_cut_off_and_comes_back_empty() {
    let (_runtime, counter) = counter();
    let (hosts, discovery) = (Peers::start(8), Discovery::start());
    let line = |(i, addr)| host_line(&format!("s-{i}"), addr, "in_service", 0);
    let lines: Vec<Value> = hosts.addrs.iter().copied().enumerate().map(line).collect();
    let start =
        |me: u32| Program::start(settings_of(me), &lines, discovery.addr, counter.addrs()[me as usize]);
    let gateways: Vec<Program> = (0..GATEWAYS).map(start).collect();
    let served = serve(hosts);
    let units = |customer| served.lock().unwrap().get(customer).map_or(0, BTreeSet::len) as f64 * UNITS;
    for gateway in &gateways {
        gateway.client().until_ready();
    }

    let begun = Instant::now();
    let greedy: Vec<Asking> = (1..)
        .zip(&gateways)
        .map(|(n, gateway)| Asking::start(vec![gateway.client()], GREEDY, n << 32, Duration::from_millis(5)))
        .collect();
    // 10 units a second, a quarter of its quota, and of each gateway's part three quarters at the most.
    let all = gateways.iter().map(Program::client).collect();
    let modest = Asking::start(all, MODEST, 9 << 32, Duration::from_millis(200));
    until("a burst and more to be spent", || units(GREEDY) > QUOTA.burst * 2.0);

    let before = units(GREEDY);
    counter.fail(CounterFault::Unreachable, CUT.as_nanos() as u64);
    counter.fail(CounterFault::Reset, 0);
    let away = Instant::now();
    until("the counter to be asked again", || counter.names() > 0);
    let (away, lent) = (away.elapsed(), units(GREEDY) - before);
    let before = units(GREEDY);
    until("requests to pass again", || units(GREEDY) > before + QUOTA.burst);

    let (asked, refused) = modest.end();
    let tried: u64 = greedy.into_iter().map(|asking| asking.end().0).sum();
    let took_s = begun.elapsed().as_secs_f64();
    let passed = units(GREEDY);
    let failure = Failure { counter_resets: 1, ..Failure::counter_unreachable(away.as_secs_f64(), &QUOTA) };
    let most = QUOTA.rate * took_s + QUOTA.burst + max_overshoot(&QUOTA, &failure, false);
    assert!(tried as f64 * UNITS > most, "it asked for no more than {most} units: {tried} tries");
    assert!(passed <= most, "{passed} of {most} units in {took_s} s");
    assert!(lent >= 0.3 * QUOTA.rate * CUT.as_secs_f64(), "{lent} units while the counter was away");
    assert!(refused * 10 <= asked, "{refused} of {asked} refused within the quota");
}
