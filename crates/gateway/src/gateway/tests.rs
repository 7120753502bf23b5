use super::*;
use crate::client::call;
use crate::lifecycle::reload::Reload;
use crate::messages::{ClientChannel, FinalAnswer, IncomingRequest, ReplyTo};
use bytes::Bytes;
use cluster_model::scenario::NetworkSpec;
use config_language::{load, loader::Memory};
use policy::api::{Action, CounterKey, HostId, Time};
use resp::Frame;
use runtime::{Listener, SystemEnv};
use serde_json::json;
use simulated_runtime::{Place, Sim, SimConfig, SimEnv};
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot};

/// Returns no actions, and sends the kinds of the events that are reported to it to a channel, in order.
struct RecordingModule(mpsc::UnboundedSender<&'static str>);

thread_local! {
    static EVENT_SENDER: std::cell::RefCell<Option<mpsc::UnboundedSender<&'static str>>> = const { std::cell::RefCell::new(None) };
}

impl DecisionModule for RecordingModule {
    fn start(_: Settings, _: u64) -> Self {
        RecordingModule(
            EVENT_SENDER.with_borrow_mut(Option::take).expect("one module is started for each test"),
        )
    }
    fn handle(&mut self, _: Time, event: Event, _: &mut Vec<Action>) {
        let kind = match event {
            Event::Request(_) => "request",
            Event::HostList { .. } => "hosts",
            _ => "other",
        };
        let _ = self.0.send(kind);
    }
}

#[tokio::test]
async fn an_endpoint_list_is_processed_before_requests_that_are_already_queued() {
    let document = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": crate::config::sample("safe", 8_000_000_000, 9_000_000_000),
    });
    let config = Config::parse(document.to_string().as_bytes()).unwrap();
    let platform = Arc::new(config.platform.clone());
    let router = RequestRouter::new(platform.clone(), &config.operators).unwrap();
    let (sender, mut reported_events) = mpsc::unbounded_channel();
    EVENT_SENDER.set(Some(sender));
    let (traffic_sender, traffic) = mpsc::unbounded_channel();
    let (control_sender, control) = mpsc::unbounded_channel();
    let (phase, _) = watch::channel(LifecyclePhase::Starting);
    let gateway: Gateway<SystemEnv, RecordingModule> =
        Gateway::new(SystemEnv::start(), &config, platform.clone(), router, &traffic_sender, 16, phase);
    assert_eq!(reported_events.recv().await, Some("hosts"), "the cached list");
    // Many batches of requests are queued before the endpoint list.
    let (answers, _answer_receiver) = mpsc::unbounded_channel();
    for id in 1..=5_000_u64 {
        let parts = ["CALL.GET", "0000000000000001", &format!("{id:016x}")].map(str::to_owned);
        let list = "c=read,t=team,d=900,units=1,spread=1,first=0".to_owned();
        let frame = |part: &String| Frame::Bulk(Bytes::from(part.clone()));
        let parts: Vec<Frame> = parts.iter().chain([&list]).map(frame).collect();
        let (request, call) = call::parse(&platform, RequestId(id), &parts).unwrap();
        let reply_to = ReplyTo { command: id, client: ClientChannel::new(answers.clone()) };
        let incoming = IncomingRequest { arrived_at: 1, request, call, reply_to };
        traffic_sender.send(TrafficEvent::Request(Box::new(incoming))).unwrap();
    }
    control_sender.send(ControlEvent::EndpointList(EndpointList::default())).unwrap();
    tokio::spawn(gateway.run(control, traffic));
    assert_eq!(reported_events.recv().await, Some("hosts"));
    for _ in 0..5_000 {
        while reported_events.recv().await.expect("the event loop runs") != "request" {}
    }
}

/// Orders an attempt of the latest request at host 1 whenever a timer expires, and records the events about requests.
struct ForwardingModule(Option<RequestId>);

thread_local! {
    static RECORDED: std::cell::RefCell<Vec<String>> = const { std::cell::RefCell::new(Vec::new()) };
}

fn record(text: String) {
    RECORDED.with_borrow_mut(|recorded| recorded.push(text));
}

impl DecisionModule for ForwardingModule {
    fn start(_: Settings, _: u64) -> Self {
        ForwardingModule(None)
    }
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                self.0 = Some(request.id);
                record("request".into());
            }
            Event::ClientDisconnected { .. } => record("disconnected".into()),
            Event::AttemptEnded(ended) => {
                record(format!("{:?}, closed: {}", ended.outcome, ended.is_request_closed))
            }
            Event::TimerExpired { .. } => {
                let (id, host) = (self.0.expect("a request"), HostId(1));
                actions.push(Action::Forward { id, host, deadline: now + 1_000 * MS, write_by: Time::MAX });
            }
            _ => {}
        }
    }
}

/// Returns a gateway that has received a request of this client. No host is in its endpoint list, so that an attempt that
/// is started ends at once.
fn gateway_with_request(client: ClientChannel) -> Gateway<SystemEnv, ForwardingModule> {
    let document = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": crate::config::sample("safe", 8_000_000_000, 9_000_000_000),
    });
    let config = Config::parse(document.to_string().as_bytes()).unwrap();
    let platform = Arc::new(config.platform.clone());
    let parts =
        ["CALL.GET", "0000000000000001", "0000000000000007", "c=read,t=team,d=900,units=1,spread=1,first=0"];
    let parts: Vec<Frame> =
        parts.iter().map(|part| Frame::Bulk(Bytes::from_static(part.as_bytes()))).collect();
    let router = RequestRouter::new(platform.clone(), &config.operators).unwrap();
    let (traffic_sender, _traffic) = mpsc::unbounded_channel();
    let (phase, _) = watch::channel(LifecyclePhase::Starting);
    let mut gateway =
        Gateway::new(SystemEnv::start(), &config, platform.clone(), router, &traffic_sender, 16, phase);
    RECORDED.take();
    let (request, call) = call::parse(&platform, FORWARDED_REQUEST, &parts).unwrap();
    let reply_to = ReplyTo { command: 0, client };
    let incoming = IncomingRequest { arrived_at: 1, request, call, reply_to };
    gateway.on_traffic(TrafficEvent::Request(Box::new(incoming)));
    gateway
}

const FORWARDED_REQUEST: RequestId = RequestId(7);
/// The end of an attempt that was not started, since its request had been answered.
const NOT_SENT: &str = "NotSent, closed: true";

/// Orders an attempt.
fn forward(gateway: &mut Gateway<SystemEnv, ForwardingModule>) {
    gateway.notify(Event::TimerExpired { token: 0 });
    gateway.report_finished();
}

fn assert_nothing_is_left(gateway: &Gateway<SystemEnv, ForwardingModule>, case: &str) {
    assert!(gateway.requests.is_empty() && gateway.client_ids.is_empty(), "{case}: a request is left");
    assert_eq!(gateway.timers.next(), None, "{case}: a timer has not been cancelled");
}

/// In a burst, the event of a disconnected client stays queued behind many others. The event loop therefore also checks
/// for the disconnection when it receives a request and before each attempt.
#[tokio::test]
async fn a_disconnected_client_is_noticed_before_its_event_is_processed() {
    // Number of attempts before the client disconnects; `None` if it disconnects before its request is processed.
    let cases: [(Option<u32>, &[&str]); 3] = [
        (None, &[]),
        (Some(0), &["request", "disconnected", NOT_SENT]),
        (Some(1), &["request", "NotSent, closed: false", "disconnected", NOT_SENT]),
    ];
    for (attempts, expected) in cases {
        let (answers, answer_receiver) = mpsc::unbounded_channel();
        let mut answer_receiver = Some(answer_receiver).filter(|_| attempts.is_some());
        let mut gateway = gateway_with_request(ClientChannel::new(answers));
        if let Some(attempts) = attempts {
            (0..attempts).for_each(|_| forward(&mut gateway));
            answer_receiver.take();
            forward(&mut gateway);
        }
        gateway.on_traffic(TrafficEvent::ClientDisconnected(FORWARDED_REQUEST));
        assert_eq!(RECORDED.take(), expected, "{attempts:?}");
        assert_nothing_is_left(&gateway, &format!("{attempts:?}"));
    }
}

/// Guards against requests that are forwarded long after their client has disconnected: the end of its connection lies
/// behind input that has not been read. No attempt begins then, and the request is rejected, since it was not executed.
#[tokio::test]
async fn a_request_whose_connection_has_a_stale_backlog_is_rejected_instead_of_forwarded() {
    for attempts in [0, 1] {
        let (answers, mut answer_receiver) = mpsc::unbounded_channel();
        let client = ClientChannel::new(answers);
        let mut gateway = gateway_with_request(client.clone());
        (0..attempts).for_each(|_| forward(&mut gateway));
        let now = gateway.env.now();
        client.backlog.record(now - 40 * MS);
        client.backlog.record(now);
        RECORDED.take();
        forward(&mut gateway);
        assert_eq!(RECORDED.take(), ["disconnected", NOT_SENT], "after {attempts} attempts");
        let answer = answer_receiver.try_recv().map(|numbered| numbered.1);
        assert!(matches!(answer, Ok(FinalAnswer::Rejected(None))), "{answer:?} after {attempts} attempts");
        assert_nothing_is_left(&gateway, &format!("after {attempts} attempts"));
    }
}

/// Adds one unit to the counter for each request, and panics at a request for six units. Records the rate of the first
/// plan when it starts, and the events about plans, hosts and the counter.
struct PanickingModule;

impl DecisionModule for PanickingModule {
    fn start(settings: Settings, _: u64) -> Self {
        record(format!("starts at {}", settings.plans[0].rate));
        PanickingModule
    }
    fn handle(&mut self, _: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                actions.push(Action::AddToCounter {
                    key: CounterKey(10),
                    amount: 1.0,
                    time_to_live: 1_000 * MS,
                });
                assert!(request.units < 6.0, "deliberate panic");
            }
            Event::PlansChanged(plans) => record(format!("plans at {}", plans[0].rate)),
            Event::HostList { kind, entries } => record(format!("{kind:?}, {} hosts", entries.len())),
            Event::CounterReplied { outcome, total, .. } => record(format!("{outcome:?} {total}")),
            _ => {}
        }
    }
}

/// A gateway whose decision module can panic and whose cached list has one host, with a counter service.
struct PanickingModuleFixture {
    sim: Sim,
    platform: Arc<PlatformSettings>,
    gateway: Gateway<SimEnv, PanickingModule>,
    traffic: UnboundedReceiver<TrafficEvent>,
    /// Number of calls that the counter has received. The reply to each call is this number, 10 ms later.
    counter_calls: Arc<AtomicU32>,
}

impl PanickingModuleFixture {
    fn new() -> PanickingModuleFixture {
        let sim = Sim::new(SimConfig { seed: 1, start: 1_000 * MS, network: NetworkSpec::default() });
        let process = |name: &str| sim.machine(name, Place::Building(0)).process(name);
        let (counter_env, env) = (process("counter"), process("gateway"));
        let mut listener = counter_env.listen("0.0.0.0:80".parse().unwrap(), 16).unwrap();
        let counter_calls = Arc::new(AtomicU32::new(0));
        let (address, calls) = (listener.local_addr().unwrap(), counter_calls.clone());
        counter_env.clone().spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (env, calls) = (counter_env.clone(), calls.clone());
                counter_env.spawn(async move {
                    while stream.read(&mut [0; 512]).await.is_ok_and(|count| count > 0) {
                        let total = calls.fetch_add(1, Ordering::Relaxed) + 1;
                        env.sleep(10 * MS).await;
                        stream.write_all(format!("$1\r\n{total}\r\n").as_bytes()).await.unwrap();
                    }
                });
            }
        });
        let mut settings = crate::config::sample("safe", 8_000_000_000, 9_000_000_000);
        (settings["tariffs"][0]["refill"], settings["tariffs"][0]["burst"]) = (10.0.into(), 100.0.into());
        settings["domain"] = json!({"shared-counter": true, "counter-timeout": 100 * MS, "units-top": 6.0});
        let host = json!({"instanceId": "s-1", "hostPort": "10.0.0.9:80", "lifecycle": "in_service"});
        let document = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "7",
            "counter": address.to_string(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": {"generation": 1, "reset": true, "instances": [host]}, "settings": settings,
        });
        let config = Config::parse(document.to_string().as_bytes()).unwrap();
        let platform = Arc::new(config.platform.clone());
        let router = RequestRouter::new(platform.clone(), &config.operators).unwrap();
        let (traffic_sender, traffic) = mpsc::unbounded_channel();
        let (phase, _) = watch::channel(LifecyclePhase::Starting);
        RECORDED.take();
        let gateway = Gateway::new(env, &config, platform.clone(), router, &traffic_sender, 16, phase);
        assert_eq!(RECORDED.take(), ["starts at 10"]);
        PanickingModuleFixture { sim, platform, gateway, traffic, counter_calls }
    }

    /// Sends a request for this number of units. Returns whether it is answered at once.
    fn send_request(&mut self, id: u64, units: u32) -> bool {
        let list = format!("c=read,t=team,d=900,units={units},spread=1,first=0");
        let parts = ["CALL.GET".to_owned(), "0000000000000001".to_owned(), format!("{id:016x}"), list];
        let parts: Vec<Frame> = parts.into_iter().map(|part| Frame::Bulk(part.into())).collect();
        let (request, call) = call::parse(&self.platform, RequestId(id), &parts).unwrap();
        let (answers, mut answer_receiver) = mpsc::unbounded_channel();
        let incoming = IncomingRequest {
            arrived_at: self.sim.now(),
            request,
            call,
            reply_to: ReplyTo { command: 0, client: ClientChannel::new(answers) },
        };
        self.gateway.on_traffic(TrafficEvent::Request(Box::new(incoming)));
        answer_receiver.try_recv().is_ok()
    }

    /// Advances the virtual time, then processes the queued events and the expired timers.
    fn run(&mut self, span: Span) {
        self.sim.run_until(self.sim.now() + span).unwrap();
        while let Ok(event) = self.traffic.try_recv() {
            self.gateway.on_traffic(event);
        }
        self.gateway.fire_timers();
    }

    fn reload(&mut self, operators: &str) {
        let operators = load("site.fb".as_ref(), &Memory::default().with("site.fb", operators), None);
        let (done, mut outcome) = oneshot::channel();
        let operators = operators.set.unwrap().operators;
        let reload = Reload { counter: None, operators, done };
        self.gateway.on_control(ControlEvent::Reload(Box::new(reload)));
        outcome.try_recv().unwrap().unwrap();
    }
}

#[test]
fn the_cached_list_is_reported_to_the_next_module_after_a_panic_before_the_first_list() {
    let mut fixture = PanickingModuleFixture::new();
    assert!(fixture.send_request(1, 6), "the request fails");
    assert_eq!(RECORDED.take(), ["starts at 10", "Cached, 0 hosts"]);
    fixture.run(999 * MS);
    assert_eq!(RECORDED.take(), [""; 0]);
    fixture.run(MS);
    assert_eq!(RECORDED.take(), ["Cached, 1 hosts"], "the cached list is used");
    // The same with a list of changes before the cached list is used.
    let mut fixture = PanickingModuleFixture::new();
    assert!(fixture.send_request(1, 6));
    RECORDED.take();
    fixture
        .gateway
        .on_control(ControlEvent::EndpointList(EndpointList { generation: 2, ..EndpointList::default() }));
    assert_eq!(RECORDED.take(), ["Cached, 1 hosts"]);
    fixture.run(1_000 * MS);
    assert_eq!(RECORDED.take(), [""; 0], "reported only once");
}

#[test]
fn a_module_started_after_a_panic_has_the_reloaded_plans() {
    let mut fixture = PanickingModuleFixture::new();
    fixture
        .reload("quota policy \"tight\" {\n  plan = \"team\"\n  rate = 5 units/s\n  burst = 50 units\n}\n");
    assert_eq!(RECORDED.take(), ["plans at 5", "Delta, 0 hosts"]);
    assert!(fixture.send_request(1, 6));
    assert_eq!(RECORDED.take(), ["starts at 5", "Cached, 0 hosts"]);
    fixture.reload("");
    assert_eq!(RECORDED.take(), ["plans at 10", "Delta, 0 hosts"], "the next reload applies");
}

#[test]
fn counter_replies_to_a_module_that_panicked_are_not_reported_to_the_next() {
    // When the module panics, the first call has been written, or is still queued.
    for (is_written, calls) in [(true, 2), (false, 1)] {
        let mut fixture = PanickingModuleFixture::new();
        assert!(!fixture.send_request(1, 1));
        if is_written {
            fixture.run(5 * MS);
            assert_eq!(fixture.counter_calls.load(Ordering::Relaxed), 1);
        }
        assert!(fixture.send_request(2, 6));
        // Both calls have the same key, so a reply to the first could be attributed to the second.
        assert!(!fixture.send_request(3, 1));
        RECORDED.take();
        fixture.run(50 * MS);
        assert_eq!(
            fixture.counter_calls.load(Ordering::Relaxed),
            calls,
            "a call that was not written is never sent"
        );
        assert_eq!(
            RECORDED.take(),
            [format!("Ok {calls}")],
            "written: {is_written}: only the reply to its own call"
        );
        fixture.run(500 * MS);
        assert_eq!(RECORDED.take(), [""; 0], "written: {is_written}");
    }
}
