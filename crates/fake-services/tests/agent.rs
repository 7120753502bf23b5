//! The stand-in for discovery on loopback sockets; what it hears when, on a clock that stands still while anything
//! moves.

#[path = "client/memory.rs"]
mod memory;

use cluster_model::agent::{Detection, Endpoint, Registry};
use cluster_model::observation::{Lifecycle, Observation, ObservationKind};
use cluster_model::scenario::{DiscoveryFault, DiscoverySpec};
use cluster_model::{MS, SECOND};
use fake_services::agent::{AgentConfig, AgentStandIn, SharedRegistry};
use fake_services::Recorder;
use memory::Memory;
use runtime::{Env, Span, SystemEnv, Time};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const LONG: u64 = 600 * SECOND;
const HERE: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

struct Site<E: Env> {
    env: E,
    registry: SharedRegistry,
    recorder: Recorder,
    agent: AgentStandIn<E>,
}

fn member(host: u32, lifecycle: Lifecycle) -> Endpoint {
    Endpoint {
        id: format!("s-{host}"),
        host,
        addrs: [SocketAddr::from(HERE), SocketAddr::from(([10, 1, 0, host as u8], 6379))].into(),
        zone: "a".into(),
        machine_type: "m2".into(),
        cell: 3,
        lifecycle,
        weight: 1.0,
        started_ms: 7,
    }
}

/// On loopback, where the agent hears of changes at once.
fn site() -> Site<SystemEnv> {
    site_in(SystemEnv::start(), (0, 0))
}

/// Two gateways and two hosts; the agent of the second gateway.
fn site_in<E: Env>(env: E, notice: (Span, Span)) -> Site<E> {
    let spec = DiscoverySpec { update_delay: notice, crash_detection_delay: (0, 0) };
    let members = (0..2).map(|host| member(host, Lifecycle::InService)).collect();
    let recorder = Recorder::default();
    let registry = SharedRegistry::new(Registry::new(&spec, 5, 2, members), recorder.clone());
    let agent = start(env.clone(), &registry);
    Site { env, registry, recorder, agent }
}

fn start<E: Env>(env: E, registry: &SharedRegistry) -> AgentStandIn<E> {
    let config = AgentConfig { registry: registry.clone(), gateway: 1, listen: SocketAddr::from(HERE) };
    AgentStandIn::start(env, config).expect("it listens")
}

impl<E: Env> Site<E> {
    fn change(&self, host: u32, lifecycle: Lifecycle) {
        self.registry.change(self.env.now(), member(host, lifecycle), Detection::Announced);
    }

    /// What has been told since this was last asked.
    fn told(&self) -> Vec<(u32, Lifecycle)> {
        let seen = self.recorder.take().into_iter().map(|seen| seen.kind);
        seen.filter_map(|what| match what {
            ObservationKind::GatewayNotified { gateway: 1, host, state, started } if started == 7 * MS => {
                Some((host, state))
            }
            ObservationKind::AgentNotified { gateway: 1, .. } => None,
            ObservationKind::DiscoveryRequest { gateway: 1, .. }
            | ObservationKind::DiscoveryMessage { gateway: 1 } => None,
            other => panic!("{other:?}"),
        })
        .collect()
    }

    /// What has been heard within so long from now on, and when. Nothing has been told.
    async fn heard_within(&self, span: Span) -> Vec<(Time, Lifecycle)> {
        self.env.sleep(span).await;
        let heard = |seen: Observation| match seen.kind {
            ObservationKind::AgentNotified { gateway: 1, host: 0, state, started } if started == 7 * MS => {
                (seen.at, state)
            }
            other => panic!("{other:?}"),
        };
        self.recorder.take().into_iter().map(heard).collect()
    }
}

/// An HTTP/1.1 connection, read as it comes.
struct Http(TcpStream);

impl Http {
    async fn connect(agent: &AgentStandIn<SystemEnv>) -> Http {
        Http(TcpStream::connect(agent.addr()).await.expect("it listens"))
    }

    async fn get(&mut self, target: &str) {
        let head = format!("GET {target} HTTP/1.1\r\nHost: a\r\n\r\n");
        self.0.write_all(head.as_bytes()).await.expect("written");
    }

    async fn line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(self.0.read_u8().await?);
        }
        line.truncate(line.len() - 2);
        Ok(String::from_utf8_lossy(&line).into_owned())
    }

    /// First line of a head, and the headers.
    async fn head(&mut self) -> (String, Vec<String>) {
        let status = self.line().await.expect("a head");
        let mut headers = Vec::new();
        loop {
            match self.line().await.expect("a head") {
                line if line.is_empty() => return (status, headers),
                line => headers.push(line),
            }
        }
    }

    async fn body(&mut self, length: usize) -> Vec<u8> {
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).await.expect("a body");
        body
    }

    /// Asks for the whole list.
    async fn list(&mut self) -> Value {
        self.get("/registry/instances").await;
        let (status, headers) = self.head().await;
        assert_eq!(status, "HTTP/1.1 200 OK");
        let length = headers.iter().find_map(|line| line.strip_prefix("Content-Length: "));
        let length = length.and_then(|length| length.parse().ok()).expect("a length");
        serde_json::from_slice(&self.body(length).await).expect("a list")
    }

    /// Opens a watch; its first line.
    async fn watch(&mut self, query: &str) -> Value {
        self.get(&format!("/registry/instances?{query}")).await;
        let (status, headers) = self.head().await;
        assert_eq!(status, "HTTP/1.1 200 OK");
        assert!(headers.contains(&"Transfer-Encoding: chunked".to_owned()));
        self.news().await
    }

    /// The next line of a watch.
    async fn chunk(&mut self) -> io::Result<String> {
        let length = usize::from_str_radix(&self.line().await?, 16).expect("a length");
        let text = String::from_utf8(self.body(length).await).expect("text");
        assert!(text.ends_with('\n') && self.line().await?.is_empty());
        Ok(text)
    }

    /// The next line that is not empty.
    async fn news(&mut self) -> Value {
        loop {
            let text = self.chunk().await.expect("a line");
            if text != "\n" {
                return serde_json::from_str(&text).expect("an object");
            }
        }
    }
}

/// Generation, whether it is the whole list, and the hosts with their states.
fn gist(list: &Value) -> (u64, bool, Vec<(String, String)>) {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let hosts = list["instances"].as_array().expect("a list").iter();
    let hosts = hosts.map(|host| (text(&host["instanceId"]), text(&host["lifecycle"]))).collect();
    (list["generation"].as_u64().expect("a number"), list["reset"] == true, hosts)
}

fn host(id: &str, lifecycle: &str) -> (String, String) {
    (id.into(), lifecycle.into())
}

fn both() -> Vec<(String, String)> {
    vec![host("s-0", "in_service"), host("s-1", "in_service")]
}

#[tokio::test]
async fn the_whole_list_is_told_on_request_again_and_again() {
    let site = site();
    let mut http = Http::connect(&site.agent).await;
    let list = http.list().await;
    assert_eq!(gist(&list), (1, true, both()));
    assert_eq!(list["instances"][1]["hostPort"], "10.1.0.1:6379", "as this gateway reaches it");
    assert_eq!(site.told(), [(0, Lifecycle::InService), (1, Lifecycle::InService)]);
    site.change(0, Lifecycle::Removed);
    assert_eq!(gist(&http.list().await), (2, true, vec![host("s-1", "in_service")]));
    assert_eq!(site.told(), [(0, Lifecycle::Removed), (1, Lifecycle::InService)]);
}

#[tokio::test]
async fn a_watch_begins_with_what_changed_and_goes_on_with_what_changes() {
    let site = site();
    site.change(0, Lifecycle::Draining);
    let mut http = Http::connect(&site.agent).await;
    let first = http.watch("watch=1&after=1").await;
    assert_eq!(gist(&first), (2, false, vec![host("s-0", "terminating")]));
    assert_eq!(site.told(), [(0, Lifecycle::Draining)]);
    site.change(0, Lifecycle::Removed);
    site.change(2, Lifecycle::InService);
    assert_eq!(gist(&http.news().await), (3, false, vec![host("s-0", "terminated")]));
    assert_eq!(gist(&http.news().await), (4, false, vec![host("s-2", "in_service")]));
    assert_eq!(site.told(), [(0, Lifecycle::Removed), (2, Lifecycle::InService)]);
    let mut resumed = Http::connect(&site.agent).await;
    assert_eq!(gist(&resumed.watch("watch=1&after=3").await).2, [host("s-2", "in_service")]);
}

#[tokio::test]
async fn a_watch_after_a_version_that_is_not_known_begins_with_the_whole_list() {
    let site = site();
    for query in ["watch=1", "watch=1&after=0", "after=99&watch=1"] {
        let first = Http::connect(&site.agent).await.watch(query).await;
        assert_eq!(gist(&first), (1, true, both()), "{query}");
    }
}

#[tokio::test]
async fn other_paths_are_not_found_and_nonsense_is_a_bad_request() {
    let site = site();
    let mut http = Http::connect(&site.agent).await;
    http.get("/registry").await;
    assert_eq!(http.head().await.0, "HTTP/1.1 404 Not Found");
    assert_eq!(gist(&http.list().await).0, 1, "the connection stays");
    http.get("/registry/instances?watch=1&after=x").await;
    assert_eq!(http.head().await.0, "HTTP/1.1 400 Bad Request");
    assert!(http.line().await.is_err(), "the connection ends");
    let mut http = Http::connect(&site.agent).await;
    let long = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(8 * 1024));
    http.0.write_all(long.as_bytes()).await.expect("written");
    assert_eq!(http.head().await.0, "HTTP/1.1 400 Bad Request");
}

#[tokio::test]
async fn while_discovery_is_silent_nobody_is_told_anything() {
    let site = site();
    let mut watch = Http::connect(&site.agent).await;
    watch.watch("watch=1&after=1").await;
    site.registry.fail(site.env.now(), DiscoveryFault::Stalled, LONG);
    site.change(0, Lifecycle::Draining);
    let mut new = Http::connect(&site.agent).await;
    new.get("/registry/instances").await;
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    for stream in [&watch.0, &new.0] {
        let nothing = stream.try_read(&mut [0]).expect_err("nothing is said");
        assert_eq!(nothing.kind(), io::ErrorKind::WouldBlock);
    }
    assert!(site.told().is_empty());
    assert_eq!(site.registry.list(site.env.now(), 1), None);
    site.registry.heal();
    assert_eq!(gist(&watch.news().await).2, [host("s-0", "terminating")]);
    assert_eq!(new.head().await.0, "HTTP/1.1 200 OK");
}

#[tokio::test]
async fn a_silence_ends_by_itself() {
    let site = site();
    site.registry.fail(site.env.now(), DiscoveryFault::Stalled, 5 * MS);
    assert_eq!(gist(&Http::connect(&site.agent).await.list().await).0, 1);
}

#[tokio::test]
async fn a_retired_agent_takes_nobody_in_and_goes_on_telling_for_a_while() {
    let site = site();
    let mut old = Http::connect(&site.agent).await;
    old.watch("watch=1&after=1").await;
    let next = start(site.env, &site.registry);
    site.agent.retire();
    while TcpStream::connect(site.agent.addr()).await.is_ok() {}
    let mut new = Http::connect(&next).await;
    new.watch("watch=1&after=1").await;
    site.change(0, Lifecycle::Draining);
    assert_eq!(gist(&old.news().await).0, 2);
    assert_eq!(gist(&new.news().await).0, 2, "both are told");
    site.agent.stop();
    assert!(old.chunk().await.is_err(), "its connections end");
    site.change(1, Lifecycle::Draining);
    assert_eq!(gist(&new.news().await).0, 3);
}

#[tokio::test]
async fn there_is_no_agent_for_a_gateway_that_the_registry_does_not_know() {
    let site = site();
    let config = AgentConfig { registry: site.registry.clone(), gateway: 2, listen: SocketAddr::from(HERE) };
    let error = AgentStandIn::start(site.env, config).expect_err("no such gateway");
    assert_eq!(error.kind(), io::ErrorKind::InvalidInput);
}

#[tokio::test]
async fn what_is_told_has_been_heard_before() {
    let site = site();
    let mut watch = Http::connect(&site.agent).await;
    watch.watch("watch=1&after=1").await;
    site.change(0, Lifecycle::Draining);
    watch.news().await;
    let (gateway, host, state, started) = (1, 0, Lifecycle::Draining, 7 * MS);
    let seen: Vec<ObservationKind> = site.recorder.take().into_iter().map(|seen| seen.kind).collect();
    let (heard, told) = (
        ObservationKind::AgentNotified { gateway, host, state, started },
        ObservationKind::GatewayNotified { gateway, host, state, started },
    );
    // The watch's first line is empty: the generation that it asked after is the newest.
    let (asked, line) = (
        ObservationKind::DiscoveryRequest { gateway, watch: true },
        ObservationKind::DiscoveryMessage { gateway },
    );
    assert_eq!(seen, [asked, line.clone(), heard, line, told]);
    // Also by whoever writes the list into a configuration.
    site.change(0, Lifecycle::Removed);
    site.registry.list(site.env.now(), 1).expect("it speaks");
    let first = site.recorder.take().into_iter().next().map(|seen| seen.kind);
    assert_eq!(
        first,
        Some(ObservationKind::AgentNotified { gateway, host, state: Lifecycle::Removed, started })
    );
}

#[tokio::test(start_paused = true)]
async fn news_is_heard_when_it_is_due_though_nobody_watches() {
    let site = site_in(Memory::new(), (500 * MS, 3 * SECOND));
    let began = site.env.now();
    site.change(0, Lifecycle::Draining);
    assert_eq!(site.heard_within(500 * MS - MS).await, []);
    let heard = site.heard_within(10 * SECOND).await;
    assert!(matches!(heard[..], [(_, Lifecycle::Draining)]), "{heard:?}");
    // Not before the first moment, nor (to the millisecond of the runtime's clock) after the last.
    assert!((began + 500 * MS..=began + 3_001 * MS).contains(&heard[0].0), "{heard:?}");
    site.change(0, Lifecycle::Removed);
    let later = site.heard_within(10 * SECOND).await;
    assert!(matches!(later[..], [(_, Lifecycle::Removed)]), "{later:?}");
}

#[tokio::test(start_paused = true)]
async fn nothing_is_heard_before_discovery_speaks_again() {
    let site = site_in(Memory::new(), (0, 0));
    let over = site.env.now() + 20 * SECOND;
    site.registry.fail(site.env.now(), DiscoveryFault::Stalled, 20 * SECOND);
    site.change(0, Lifecycle::Draining);
    assert_eq!(site.heard_within(20 * SECOND - MS).await, []);
    let heard = site.heard_within(10 * SECOND).await;
    assert!(
        matches!(heard[..], [(at, Lifecycle::Draining)] if (over..=over + MS).contains(&at)),
        "{heard:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn an_agent_that_follows_another_hears_in_its_place() {
    let site = site_in(Memory::new(), (0, 0));
    let next = start(site.env.clone(), &site.registry);
    site.change(0, Lifecycle::Draining);
    assert_eq!(site.heard_within(SECOND).await.len(), 1, "once, though there are two for a while");
    site.agent.retire();
    site.change(0, Lifecycle::Removed);
    assert_eq!(site.heard_within(SECOND).await.len(), 1);
    next.stop();
    site.change(0, Lifecycle::InService);
    assert_eq!(site.heard_within(SECOND).await, [], "nobody is there");
}
