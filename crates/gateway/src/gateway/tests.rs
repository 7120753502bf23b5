use super::*;
use crate::call;
use fennelbeam_env::Real;
use fennelbeam_resp::Frame;
use serde_json::json;
use tokio::sync::mpsc;

/// Decides nothing, and tells what it was told of, in order.
struct Told(mpsc::UnboundedSender<&'static str>);

thread_local! {
    static TELLS: std::cell::RefCell<Option<mpsc::UnboundedSender<&'static str>>> = const { std::cell::RefCell::new(None) };
}

impl Decisions for Told {
    fn start(_: Settings, _: u64) -> Self {
        Told(TELLS.with_borrow_mut(Option::take).expect("one gateway"))
    }
    fn handle(&mut self, _: Time, event: Event, _: &mut Vec<Action>) {
        let what = match event {
            Event::Request(_) => "request",
            Event::Hosts { .. } => "hosts",
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
    let site = Arc::new(config.site.clone());
    let routing = Routing::new(site.clone(), &config.operators).unwrap();
    let (tell, mut told) = mpsc::unbounded_channel();
    TELLS.set(Some(tell));
    let (inputs, inbox) = mpsc::unbounded_channel();
    let (news, binding) = mpsc::unbounded_channel();
    let (phase, _) = watch::channel(Phase::Starting);
    let gateway: Gateway<Real, Told> =
        Gateway::new(Real::start(), &config, site.clone(), routing, &inputs, 16, phase);
    assert_eq!(told.recv().await, Some("hosts"), "the list known before the start");
    // Far more than a batch lies there before the news does.
    let (answers, _answered) = mpsc::unbounded_channel();
    for id in 1..=5_000_u64 {
        let words = ["CALL.GET", "0000000000000001", &format!("{id:016x}")].map(str::to_owned);
        let list = "c=read,t=team,d=900,units=1,spread=1,first=0".to_owned();
        let frame = |word: &String| Frame::Bulk(Bytes::from(word.clone()));
        let words: Vec<Frame> = words.iter().chain([&list]).map(frame).collect();
        let (request, call) = call::parse(&site, RequestId(id), &words).unwrap();
        let reply = ReplyTo { slot: id, answers: answers.clone() };
        let incoming = Incoming { at: 1, request, call, reply };
        inputs.send(Input::Request(Box::new(incoming))).unwrap();
    }
    news.send(News::Hosts(Membership::default())).unwrap();
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

impl Decisions for SendsWhenTimed {
    fn start(_: Settings, _: u64) -> Self {
        SendsWhenTimed(None)
    }
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let note = |text: String| NOTED.with_borrow_mut(|noted| noted.push(text));
        match event {
            Event::Request(request) => {
                self.0 = Some(request.id);
                note("request".into());
            }
            Event::Left { .. } => note("left".into()),
            Event::Ended(ended) => note(format!("{:?}, closed: {}", ended.outcome, ended.closed)),
            Event::Timer { .. } => {
                let (id, host) = (self.0.expect("a request"), HostId(1));
                actions.push(Action::Send { id, host, until: now + 1_000 * MS, write_by: Time::MAX });
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
    let site = Arc::new(config.site.clone());
    let id = RequestId(7);
    let words =
        ["CALL.GET", "0000000000000001", "0000000000000007", "c=read,t=team,d=900,units=1,spread=1,first=0"];
    let words: Vec<Frame> =
        words.iter().map(|word| Frame::Bulk(Bytes::from_static(word.as_bytes()))).collect();
    let unsent = "Moot, closed: true";
    // Attempts before the client goes; `None`: it goes before the request is taken up.
    let cases: [(Option<u32>, &[&str]); 3] = [
        (None, &[]),
        (Some(0), &["request", "left", unsent]),
        (Some(1), &["request", "Moot, closed: false", "left", unsent]),
    ];
    for (attempts, expected) in cases {
        let routing = Routing::new(site.clone(), &config.operators).unwrap();
        let (inputs, _inbox) = mpsc::unbounded_channel();
        let (phase, _) = watch::channel(Phase::Starting);
        let mut gateway: Gateway<Real, SendsWhenTimed> =
            Gateway::new(Real::start(), &config, site.clone(), routing, &inputs, 16, phase);
        NOTED.take();
        let (answers, answered) = mpsc::unbounded_channel();
        let (request, call) = call::parse(&site, id, &words).unwrap();
        let incoming = Incoming { at: 1, request, call, reply: ReplyTo { slot: 0, answers } };
        let mut answered = Some(answered);
        if attempts.is_none() {
            answered.take();
        }
        gateway.on_input(Input::Request(Box::new(incoming)));
        if let Some(attempts) = attempts {
            for _ in 0..attempts {
                gateway.tell(Event::Timer { token: 0 });
                gateway.report_finished();
            }
            answered.take();
            gateway.tell(Event::Timer { token: 0 });
            gateway.report_finished();
        }
        gateway.on_input(Input::Left(id));
        assert_eq!(NOTED.take(), expected, "{attempts:?}");
        assert!(gateway.requests.is_empty() && gateway.open.is_empty(), "{attempts:?}: it is still held");
        assert_eq!(gateway.timers.next(), None, "{attempts:?}: something still falls due");
    }
}
