use super::*;
use crate::client::call;
use crate::lifecycle::reload::Reload;
use crate::messages::{IncomingRequest, ReplyTo};
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

/// Decides nothing, and tells what it was told of, in order.
struct Told(mpsc::UnboundedSender<&'static str>);

thread_local! {
    static TELLS: std::cell::RefCell<Option<mpsc::UnboundedSender<&'static str>>> = const { std::cell::RefCell::new(None) };
}

impl DecisionModule for Told {
    fn start(_: Settings, _: u64) -> Self {
        Told(TELLS.with_borrow_mut(Option::take).expect("one gateway"))
    }
    fn handle(&mut self, _: Time, event: Event, _: &mut Vec<Action>) {
        let what = match event {
            Event::Request(_) => "request",
            Event::HostList { .. } => "hosts",
            _ => "other",
        };
        let _ = self.0.send(what);
    }
}

#[tokio::test]
async fn a_drain_goes_before_all_requests_that_came_earlier() {
    let document = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": crate::config::sample("safe", 8_000_000_000, 9_000_000_000),
    });
    let config = Config::parse(document.to_string().as_bytes()).unwrap();
    let site = Arc::new(config.platform.clone());
    let routing = RequestRouter::new(site.clone(), &config.operators).unwrap();
    let (tell, mut told) = mpsc::unbounded_channel();
    TELLS.set(Some(tell));
    let (inputs, inbox) = mpsc::unbounded_channel();
    let (news, binding) = mpsc::unbounded_channel();
    let (phase, _) = watch::channel(LifecyclePhase::Starting);
    let gateway: Gateway<SystemEnv, Told> =
        Gateway::new(SystemEnv::start(), &config, site.clone(), routing, &inputs, 16, phase);
    assert_eq!(told.recv().await, Some("hosts"), "the list known before the start");
    // Far more than a batch lies there before the news does.
    let (answers, _answered) = mpsc::unbounded_channel();
    for id in 1..=5_000_u64 {
        let words = ["CALL.GET", "0000000000000001", &format!("{id:016x}")].map(str::to_owned);
        let list = "c=read,t=team,d=900,units=1,spread=1,first=0".to_owned();
        let frame = |word: &String| Frame::Bulk(Bytes::from(word.clone()));
        let words: Vec<Frame> = words.iter().chain([&list]).map(frame).collect();
        let (request, call) = call::parse(&site, RequestId(id), &words).unwrap();
        let reply_to = ReplyTo { command: id, answers: answers.clone() };
        let incoming = IncomingRequest { arrived_at: 1, request, call, reply_to };
        inputs.send(TrafficEvent::Request(Box::new(incoming))).unwrap();
    }
    news.send(ControlEvent::EndpointList(EndpointList::default())).unwrap();
    tokio::spawn(gateway.run(binding, inbox));
    assert_eq!(told.recv().await, Some("hosts"));
    for _ in 0..5_000 {
        while told.recv().await.expect("it runs") != "request" {}
    }
}

/// Sends the request that came last to the one host at each timer, and notes what it is told of requests.
struct SendsWhenTimed(Option<RequestId>);

thread_local! {
    static NOTED: std::cell::RefCell<Vec<String>> = const { std::cell::RefCell::new(Vec::new()) };
}

fn note(text: String) {
    NOTED.with_borrow_mut(|noted| noted.push(text));
}

impl DecisionModule for SendsWhenTimed {
    fn start(_: Settings, _: u64) -> Self {
        SendsWhenTimed(None)
    }
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                self.0 = Some(request.id);
                note("request".into());
            }
            Event::ClientDisconnected { .. } => note("left".into()),
            Event::AttemptEnded(ended) => {
                note(format!("{:?}, closed: {}", ended.outcome, ended.is_request_closed))
            }
            Event::TimerExpired { .. } => {
                let (id, host) = (self.0.expect("a request"), HostId(1));
                actions.push(Action::Forward { id, host, deadline: now + 1_000 * MS, write_by: Time::MAX });
            }
            _ => {}
        }
    }
}

/// The word that a client has left waits behind all that came before it, in a burst for long: it is looked for when a
/// request is taken up and before each attempt. The host is not in the list, so that an attempt that is started ends at
/// once.
#[tokio::test]
async fn a_client_that_has_gone_is_noticed_before_the_word_of_it() {
    let document = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": crate::config::sample("safe", 8_000_000_000, 9_000_000_000),
    });
    let config = Config::parse(document.to_string().as_bytes()).unwrap();
    let site = Arc::new(config.platform.clone());
    let id = RequestId(7);
    let words =
        ["CALL.GET", "0000000000000001", "0000000000000007", "c=read,t=team,d=900,units=1,spread=1,first=0"];
    let words: Vec<Frame> =
        words.iter().map(|word| Frame::Bulk(Bytes::from_static(word.as_bytes()))).collect();
    let unsent = "NotSent, closed: true";
    // Attempts before the client goes; `None`: it goes before the request is taken up.
    let cases: [(Option<u32>, &[&str]); 3] = [
        (None, &[]),
        (Some(0), &["request", "left", unsent]),
        (Some(1), &["request", "NotSent, closed: false", "left", unsent]),
    ];
    for (attempts, expected) in cases {
        let routing = RequestRouter::new(site.clone(), &config.operators).unwrap();
        let (inputs, _inbox) = mpsc::unbounded_channel();
        let (phase, _) = watch::channel(LifecyclePhase::Starting);
        let mut gateway: Gateway<SystemEnv, SendsWhenTimed> =
            Gateway::new(SystemEnv::start(), &config, site.clone(), routing, &inputs, 16, phase);
        NOTED.take();
        let (answers, answered) = mpsc::unbounded_channel();
        let (request, call) = call::parse(&site, id, &words).unwrap();
        let incoming =
            IncomingRequest { arrived_at: 1, request, call, reply_to: ReplyTo { command: 0, answers } };
        let mut answered = Some(answered);
        if attempts.is_none() {
            answered.take();
        }
        gateway.on_traffic(TrafficEvent::Request(Box::new(incoming)));
        if let Some(attempts) = attempts {
            for _ in 0..attempts {
                gateway.notify(Event::TimerExpired { token: 0 });
                gateway.report_finished();
            }
            answered.take();
            gateway.notify(Event::TimerExpired { token: 0 });
            gateway.report_finished();
        }
        gateway.on_traffic(TrafficEvent::ClientDisconnected(id));
        assert_eq!(NOTED.take(), expected, "{attempts:?}");
        assert!(
            gateway.requests.is_empty() && gateway.client_ids.is_empty(),
            "{attempts:?}: it is still held"
        );
        assert_eq!(gateway.timers.next(), None, "{attempts:?}: something still falls due");
    }
}

/// Asks the counter at each request, and panics at one for six units. Notes the rate of the first plan that it starts
/// with, and what it is told of plans, hosts and the counter.
struct Frail;

impl DecisionModule for Frail {
    fn start(settings: Settings, _: u64) -> Self {
        note(format!("starts at {}", settings.plans[0].rate));
        Frail
    }
    fn handle(&mut self, _: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                actions.push(Action::AddToCounter {
                    key: CounterKey(10),
                    amount: 1.0,
                    time_to_live: 1_000 * MS,
                });
                assert!(request.units < 6.0, "as the test wants");
            }
            Event::PlansChanged(plans) => note(format!("plans at {}", plans[0].rate)),
            Event::HostList { kind, entries } => note(format!("{kind:?}, {} hosts", entries.len())),
            Event::CounterReplied { outcome, total, .. } => note(format!("{outcome:?} {total}")),
            _ => {}
        }
    }
}

/// A gateway that knows one host from before, whose module is frail, and its counter.
struct FrailRoom {
    sim: Sim,
    site: Arc<PlatformSettings>,
    gateway: Gateway<SimEnv, Frail>,
    inbox: UnboundedReceiver<TrafficEvent>,
    /// Calls that have come to the counter. Each gets this number for an answer, 10 ms later.
    counted: Arc<AtomicU32>,
}

impl FrailRoom {
    fn new() -> FrailRoom {
        let sim = Sim::new(SimConfig { seed: 1, start: 1_000 * MS, network: NetworkSpec::default() });
        let process = |name: &str| sim.machine(name, Place::Building(0)).process(name);
        let (service, env) = (process("counter"), process("gateway"));
        let mut listener = service.listen("0.0.0.0:80".parse().unwrap(), 16).unwrap();
        let counted = Arc::new(AtomicU32::new(0));
        let (address, count) = (listener.local_addr().unwrap(), counted.clone());
        service.clone().spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (env, count) = (service.clone(), count.clone());
                service.spawn(async move {
                    while stream.read(&mut [0; 512]).await.is_ok_and(|count| count > 0) {
                        let total = count.fetch_add(1, Ordering::Relaxed) + 1;
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
        let site = Arc::new(config.platform.clone());
        let routing = RequestRouter::new(site.clone(), &config.operators).unwrap();
        let (inputs, inbox) = mpsc::unbounded_channel();
        let (phase, _) = watch::channel(LifecyclePhase::Starting);
        NOTED.take();
        let gateway = Gateway::new(env, &config, site.clone(), routing, &inputs, 16, phase);
        assert_eq!(NOTED.take(), ["starts at 10"]);
        FrailRoom { sim, site, gateway, inbox, counted }
    }

    /// Whether a request for so many units is answered at once.
    fn ask(&mut self, id: u64, units: u32) -> bool {
        let list = format!("c=read,t=team,d=900,units={units},spread=1,first=0");
        let words = ["CALL.GET".to_owned(), "0000000000000001".to_owned(), format!("{id:016x}"), list];
        let words: Vec<Frame> = words.into_iter().map(|word| Frame::Bulk(word.into())).collect();
        let (request, call) = call::parse(&self.site, RequestId(id), &words).unwrap();
        let (answers, mut answered) = mpsc::unbounded_channel();
        let incoming = IncomingRequest {
            arrived_at: self.sim.now(),
            request,
            call,
            reply_to: ReplyTo { command: 0, answers },
        };
        self.gateway.on_traffic(TrafficEvent::Request(Box::new(incoming)));
        answered.try_recv().is_ok()
    }

    /// Lets time pass, and the gateway do what has come up.
    fn run(&mut self, span: Span) {
        self.sim.run_until(self.sim.now() + span).unwrap();
        while let Ok(input) = self.inbox.try_recv() {
            self.gateway.on_traffic(input);
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
fn a_module_that_panics_before_the_first_list_has_come_leaves_the_known_one_to_the_next() {
    let mut room = FrailRoom::new();
    assert!(room.ask(1, 6), "it is failed");
    assert_eq!(NOTED.take(), ["starts at 10", "Cached, 0 hosts"]);
    room.run(999 * MS);
    assert_eq!(NOTED.take(), [""; 0]);
    room.run(MS);
    assert_eq!(NOTED.take(), ["Cached, 1 hosts"], "the known list has to do");
    // The same with a list of changes before that.
    let mut room = FrailRoom::new();
    assert!(room.ask(1, 6));
    NOTED.take();
    room.gateway
        .on_control(ControlEvent::EndpointList(EndpointList { generation: 2, ..EndpointList::default() }));
    assert_eq!(NOTED.take(), ["Cached, 1 hosts"]);
    room.run(1_000 * MS);
    assert_eq!(NOTED.take(), [""; 0], "once");
}

#[test]
fn a_module_that_panics_after_a_reload_is_followed_by_one_with_the_plans_in_force() {
    let mut room = FrailRoom::new();
    room.reload("quota policy \"tight\" {\n  plan = \"team\"\n  rate = 5 units/s\n  burst = 50 units\n}\n");
    assert_eq!(NOTED.take(), ["plans at 5", "Delta, 0 hosts"]);
    assert!(room.ask(1, 6));
    assert_eq!(NOTED.take(), ["starts at 5", "Cached, 0 hosts"]);
    room.reload("");
    assert_eq!(NOTED.take(), ["plans at 10", "Delta, 0 hosts"], "and goes on from there");
}

#[test]
fn what_the_counter_answers_to_a_module_that_panicked_is_not_told_to_the_next() {
    // The first call is out, or has not been written yet, when the module panics.
    for (written, calls) in [(true, 2), (false, 1)] {
        let mut room = FrailRoom::new();
        assert!(!room.ask(1, 1));
        if written {
            room.run(5 * MS);
            assert_eq!(room.counted.load(Ordering::Relaxed), 1);
        }
        assert!(room.ask(2, 6));
        // Of the same name: the answer of one would pass for that of the other.
        assert!(!room.ask(3, 1));
        NOTED.take();
        room.run(50 * MS);
        assert_eq!(room.counted.load(Ordering::Relaxed), calls, "what was not written never is");
        assert_eq!(NOTED.take(), [format!("Ok {calls}")], "{written}: its own call alone");
        room.run(500 * MS);
        assert_eq!(NOTED.take(), [""; 0], "{written}");
    }
}
