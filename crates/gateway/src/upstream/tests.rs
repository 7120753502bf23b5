use super::*;
use crate::client::call;
use crate::config::{sample, Config};
use crate::messages::HostEvent;
use bytes::Bytes;
use policy::api::RequestId;
use resp::Frame;
use runtime::SystemEnv;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, UnboundedReceiver};

/// One host in service, and what its connections tell.
async fn one_host() -> (Upstream<SystemEnv>, Config, TcpListener, UnboundedReceiver<TrafficEvent>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let host = json!({"instanceId": "s-0", "hostPort": listener.local_addr().unwrap().to_string(), "zone": "a",
        "machineType": "m", "cell": 1, "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0});
    let document = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"generation": 1, "reset": true, "instances": [host]},
        "settings": sample("unsafe", 8_000_000_000, 9_000_000_000),
    });
    let config = Config::parse(document.to_string().as_bytes()).unwrap();
    let site = Arc::new(config.platform.clone());
    let routing = RequestRouter::new(site.clone(), &config.operators).unwrap();
    let (gateway, events) = mpsc::unbounded_channel();
    let mut hosts = Upstream::new(SystemEnv::start(), site, gateway, 16);
    hosts.update(&config.cached_endpoints, HostListKind::Full, &routing);
    (hosts, config, listener, events)
}

/// That the client has gone shows at once, while the word of it may wait behind others for the gateway to hear.
#[tokio::test]
async fn what_waited_for_a_connection_is_not_written_once_nobody_is_there_to_take_the_answer() {
    for is_gone in [false, true] {
        let (mut hosts, config, listener, mut events) = one_host().await;
        let words = ["CALL.POST", "0000000000000001", "0000000000000002"].map(str::to_owned);
        let list = "c=order,t=team,d=900,units=1,spread=1,first=0".to_owned();
        let words = words.iter().chain([&list, &list]).map(|word| Frame::Bulk(Bytes::from(word.clone())));
        let words: Vec<Frame> = words.collect();
        let key = (RequestId(2), 0);
        let (_, call) = call::parse(&config.platform, key.0, &words).unwrap();
        let (client, answers) = mpsc::unbounded_channel();
        let host_id = hosts.ready_entries()[0].id;
        let (deadline, call) = (Time::MAX, Arc::new(call));
        hosts.start(
            key,
            ForwardOrder { host_id, deadline, write_by: deadline, call, is_idempotent: false, client },
        );
        let kept = (!is_gone).then_some(answers);
        let mut host = listener.accept().await.unwrap().0;
        let Some(TrafficEvent::Host(up @ HostEvent::Connected(_))) = events.recv().await else {
            panic!("it comes up")
        };
        hosts.on_event(up);
        let ended = hosts.next_finished().map(|finished| finished.ended.outcome);
        assert_eq!(ended, is_gone.then_some(Outcome::NotSent));
        drop((hosts, kept));
        let mut got = Vec::new();
        let _ = host.read_to_end(&mut got).await;
        assert_eq!(got.is_empty(), is_gone, "{}", String::from_utf8_lossy(&got));
    }
}
