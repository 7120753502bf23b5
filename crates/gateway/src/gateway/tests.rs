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
