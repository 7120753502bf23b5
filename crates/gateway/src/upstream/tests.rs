use super::*;
use crate::client::call;
use crate::config::{sample, Config};
use crate::messages::{ClientChannel, HostEvent};
use bytes::Bytes;
use policy::api::RequestId;
use resp::Frame;
use runtime::SystemEnv;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, UnboundedReceiver};

/// Returns an upstream with one host in service, its configuration, the host's listener and the connections' events.
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
    let mut upstream = Upstream::new(SystemEnv::start(), site, gateway, 16);
    upstream.update(&config.cached_endpoints, HostListKind::Full, &routing);
    (upstream, config, listener, events)
}

/// The disconnection of a client is visible immediately through its channel, while the event for it may still be
/// queued.
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_not_written_after_its_client_has_disconnected() {
    for is_disconnected in [false, true] {
        let (mut upstream, config, listener, mut events) = one_host().await;
        let words = ["CALL.POST", "0000000000000001", "0000000000000002"].map(str::to_owned);
        let arguments = "c=order,t=team,d=900,units=1,spread=1,first=0".to_owned();
        let words =
            words.iter().chain([&arguments, &arguments]).map(|word| Frame::Bulk(Bytes::from(word.clone())));
        let words: Vec<Frame> = words.collect();
        let key = (RequestId(2), 0);
        let (_, call) = call::parse(&config.platform, key.0, &words).unwrap();
        let (answers, answer_inbox) = mpsc::unbounded_channel();
        let client = ClientChannel::new(answers);
        let host_id = upstream.ready_entries()[0].id;
        let (deadline, call) = (Time::MAX, Arc::new(call));
        upstream.start(
            key,
            ForwardOrder { host_id, deadline, write_by: deadline, call, is_idempotent: false, client },
        );
        let receiver = (!is_disconnected).then_some(answer_inbox);
        let mut host = listener.accept().await.unwrap().0;
        let Some(TrafficEvent::Host(connected @ HostEvent::Connected(_))) = events.recv().await else {
            panic!("the connection was not established")
        };
        upstream.on_event(connected);
        let ended = upstream.next_finished().map(|finished| finished.ended.outcome);
        assert_eq!(ended, is_disconnected.then_some(Outcome::NotSent));
        drop((upstream, receiver));
        let mut received = Vec::new();
        let _ = host.read_to_end(&mut received).await;
        assert_eq!(received.is_empty(), is_disconnected, "{}", String::from_utf8_lossy(&received));
    }
}
