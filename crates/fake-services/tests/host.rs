//! A stand-in host on loopback sockets: each row of the protocol's table, and the ways in which hosts fail.

use bytes::BytesMut;
use cluster_model::observation::{HostOutcome, Observation, ObservationKind};
use cluster_model::requests::{self, RequestSampler};
use cluster_model::scenario::{ClassSpec, HostSpec, Idempotency, RulesSpec, Site, Traffic};
use cluster_model::{MS, SECOND};
use fake_services::host::{HostConfig, HostStandIn, Settled};
use fake_services::Recorder;
use resp::{decode, fill, Frame, RespError};
use runtime::{Env, SystemEnv, Time};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CUSTOMER: &str = "00000000b4d65521";

/// A host with two gateways, and all that it has written down.
struct Rig {
    host: HostStandIn<SystemEnv>,
    env: SystemEnv,
    draws: RequestSampler,
    recorder: Recorder,
    seen: Vec<Observation>,
}

/// Classes: quick ones, one whose requests never end, and one that drops repeats.
fn classes() -> Vec<ClassSpec> {
    let like = &Site::default().classes[0];
    let class = |name: &str, share, work, effect| ClassSpec {
        name: name.into(),
        share,
        work,
        work_cv: 0.0,
        idempotency: effect,
        ..like.clone()
    };
    vec![
        class("quick", 0.5, MS / 10, Idempotency::Idempotent),
        class("endless", 0.0, 3600 * SECOND, Idempotency::Idempotent),
        class("keyed", 0.5, MS / 10, Idempotency::Keyed(60 * SECOND)),
    ]
}

fn spec() -> HostSpec {
    HostSpec { error_rate: 0.0, handshake: 0, ..HostSpec::default() }
}

fn config(spec: HostSpec) -> HostConfig {
    HostConfig {
        number: 3,
        spec,
        rules: RulesSpec::default(),
        classes: classes(),
        draws: RequestSampler::new(7, &Traffic::default()),
        seed: 7,
        cold: false,
        listen: vec!["127.0.0.1:0".parse().unwrap(); 2],
        recorder: Recorder::default(),
        lag: 0,
        settled: Settled::default(),
    }
}

impl Rig {
    fn new(spec: HostSpec) -> Rig {
        Rig::start(config(spec))
    }

    fn start(config: HostConfig) -> Rig {
        let env = SystemEnv::start();
        let (draws, recorder) = (config.draws.clone(), config.recorder.clone());
        let host = HostStandIn::start(env, config).unwrap();
        Rig { host, env, draws, recorder, seen: Vec::new() }
    }

    async fn connect(&self, gateway: usize) -> Peer {
        let stream = TcpStream::connect(self.host.addrs()[gateway]).await.unwrap();
        Peer { stream, buf: BytesMut::new() }
    }

    fn seen(&mut self) -> &[Observation] {
        self.seen.extend(self.recorder.take());
        &self.seen
    }

    /// Rests until something of this kind was seen so many times.
    async fn until(&mut self, count: usize, wanted: impl Fn(&ObservationKind) -> bool) {
        while self.seen().iter().filter(|seen| wanted(&seen.kind)).count() < count {
            tokio::task::yield_now().await;
        }
    }

    /// How this request's command was dealt with, each time that one came.
    fn dealt(&mut self, id: u64) -> Vec<HostOutcome> {
        let dealt = |seen: &Observation| match seen.kind {
            ObservationKind::AttemptEnded { request, outcome: dealt, .. } if request == id => Some(dealt),
            _ => None,
        };
        self.seen().iter().filter_map(dealt).collect()
    }

    /// New connections are refused, once the listener is gone.
    async fn until_refused(&self, gateway: usize) {
        loop {
            match TcpStream::connect(self.host.addrs()[gateway]).await {
                Err(error) => return assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused),
                Ok(_) => tokio::task::yield_now().await,
            }
        }
    }
}

/// A gateway's end of a connection.
struct Peer {
    stream: TcpStream,
    buf: BytesMut,
}

fn command(words: &[&str]) -> String {
    let bulk = |word: &&str| format!("${}\r\n{word}\r\n", word.len());
    format!("*{}\r\n{}", words.len(), words.iter().map(bulk).collect::<String>())
}

fn call_within(class: &str, id: u64, d: u64) -> String {
    let list = format!("c={class},t=standard,d={d},units=2,spread=3,first=1");
    let id = format!("{id:016x}");
    match class {
        "keyed" => command(&["CALL.POST", CUSTOMER, &id, &list, "BODY"]),
        _ => command(&["CALL.GET", CUSTOMER, &id, &list]),
    }
}

fn call(class: &str, id: u64) -> String {
    call_within(class, id, 3_600_000)
}

impl Peer {
    async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    async fn answer(&mut self) -> Result<Frame, RespError> {
        loop {
            if let Some(frame) = decode(&mut self.buf)? {
                return Ok(frame);
            }
            fill(&mut self.stream, &mut self.buf).await?;
        }
    }

    async fn ask(&mut self, text: &str) -> Frame {
        self.send(text).await;
        self.answer().await.unwrap()
    }

    async fn is_reset(&mut self) -> bool {
        let ended = self.answer().await.unwrap_err();
        matches!(ended, RespError::Io(error) if error.kind() == io::ErrorKind::ConnectionReset)
    }
}

fn bulk(text: &str) -> Frame {
    Frame::Bulk(text.to_owned().into())
}

fn served(id: u64, units: Option<u32>) -> Frame {
    let figures = units.map_or(Frame::Null, |units| bulk(&format!("cost={units}")));
    Frame::Array(vec![bulk(&requests::response_value(id)), figures, Frame::Null])
}

fn error(line: &str) -> Frame {
    Frame::Error(line.to_owned().into())
}

fn pong() -> Frame {
    Frame::Simple("PONG".into())
}

#[tokio::test]
async fn a_request_is_served_with_its_value_and_its_units_once() {
    let mut rig = Rig::new(spec());
    let mut peer = rig.connect(0).await;
    let units = rig.draws.units(0x50);
    assert_eq!(peer.ask(&call("quick", 0x50)).await, served(0x50, Some(units)));
    assert_eq!(peer.ask(&call("quick", 0x50)).await, served(0x50, None));
    rig.until(2, |what| matches!(what, ObservationKind::AttemptClosed { .. })).await;
    let whats: Vec<ObservationKind> = rig.seen().iter().map(|seen| seen.kind.clone()).collect();
    let work = rig.draws.work(0x50, &classes()[0], None);
    let (request, host, gateway) = (0x50, 3, 0);
    assert!(matches!(whats[0], ObservationKind::HostStarted { host: 3, initial_share: 1.0, warm_up: 0, .. }));
    assert_eq!(whats[1], ObservationKind::HostConnectionOpened { host, gateway });
    assert!(
        matches!(whats[2], ObservationKind::AttemptReceived { request: 0x50, host: 3, gateway: 0, expected_work: w, .. } if w == work)
    );
    let told = Some(f64::from(units));
    assert_eq!(
        whats[3],
        ObservationKind::AttemptEnded { request, host, gateway, outcome: HostOutcome::Served, units: told }
    );
    assert_eq!(whats[4], ObservationKind::AttemptClosed { request, host, gateway });
    assert_eq!(
        whats[6],
        ObservationKind::AttemptEnded { request, host, gateway, outcome: HostOutcome::Served, units: None }
    );
    assert!(rig.seen.is_sorted_by_key(|seen| seen.at));
}

#[tokio::test]
async fn an_error_is_one_after_it_has_run() {
    let mut rig = Rig::new(HostSpec { error_rate: 1.0, ..spec() });
    let mut peer = rig.connect(0).await;
    assert_eq!(peer.ask(&call("quick", 1)).await, error("ERR failed"));
    assert_eq!(rig.dealt(1), [HostOutcome::Failed]);
}

#[tokio::test]
async fn a_full_host_turns_away_what_then_never_ran() {
    let mut rig = Rig::new(HostSpec { slots: 1, queue: 0, ..spec() });
    let mut first = rig.connect(0).await;
    first.send(&call("endless", 1)).await;
    rig.until(1, |what| matches!(what, ObservationKind::AttemptReceived { .. })).await;
    let mut second = rig.connect(1).await;
    assert_eq!(second.ask(&call("quick", 2)).await, error("BUSY"));
    assert_eq!((rig.dealt(1), rig.dealt(2)), (vec![], vec![HostOutcome::Rejected]));
}

#[tokio::test]
async fn a_stopped_host_resets_and_refuses_connections() {
    let mut rig = Rig::new(HostSpec { slots: 1, ..spec() });
    let mut peers = [rig.connect(0).await, rig.connect(1).await];
    for (id, peer) in (1..).zip(&mut peers) {
        peer.send(&call("endless", id)).await;
        rig.until(id as usize, |what| matches!(what, ObservationKind::AttemptReceived { .. })).await;
    }
    rig.host.stop();
    rig.host.stop();
    for peer in &mut peers {
        assert!(peer.is_reset().await);
    }
    rig.until_refused(0).await;
    rig.until_refused(1).await;
    assert_eq!((rig.dealt(1), rig.dealt(2)), (vec![HostOutcome::Undelivered], vec![HostOutcome::Dropped]));
    let stops =
        rig.seen.iter().filter(|seen| matches!(seen.kind, ObservationKind::HostStopped { host: 3 })).count();
    assert_eq!((stops, rig.host.held()), (1, 0));
}

#[tokio::test]
async fn pipelined_commands_are_begun_at_once_and_answered_in_order() {
    let mut rig = Rig::new(HostSpec { slots: 2, ..spec() });
    rig.host.heavy(2, 1.0, 300.0, Time::MAX);
    let mut peer = rig.connect(0).await;
    let ping = command(&["PING"]);
    peer.send(&[call("keyed", 0x10), call("quick", 0x20), ping].concat()).await;
    assert_eq!(peer.answer().await.unwrap(), served(0x10, Some(rig.draws.units(0x10))));
    assert_eq!(peer.answer().await.unwrap(), served(0x20, Some(rig.draws.units(0x20))));
    assert_eq!(peer.answer().await.unwrap(), pong());
    let seen = rig.seen();
    let place =
        |wanted: &dyn Fn(&ObservationKind) -> bool| seen.iter().position(|seen| wanted(&seen.kind)).unwrap();
    let began = place(&|what| matches!(what, ObservationKind::AttemptReceived { request: 0x20, .. }));
    assert!(began < place(&|what| matches!(what, ObservationKind::AttemptEnded { request: 0x10, .. })));
}

#[tokio::test]
async fn commands_beyond_the_pipeline_wait_unread() {
    let mut rig = Rig::new(HostSpec { slots: 2, queue: 1000, ..spec() });
    let mut peer = rig.connect(0).await;
    let calls: String = (0..200).map(|id| call("endless", id)).collect();
    peer.send(&calls).await;
    rig.until(64, |what| matches!(what, ObservationKind::AttemptReceived { .. })).await;
    // Another connection has its whole turn in the meantime.
    assert_eq!(rig.connect(0).await.ask(&command(&["PING"])).await, pong());
    assert_eq!(rig.host.held(), 64);
    drop(peer);
    rig.until(64, |what| matches!(what, ObservationKind::AttemptClosed { .. })).await;
    assert_eq!((rig.host.held(), rig.dealt(63)), (0, vec![HostOutcome::Dropped]));
}

#[tokio::test]
async fn a_draining_host_turns_away_and_finishes_what_it_has() {
    let mut rig = Rig::new(spec());
    rig.host.heavy(2, 1.0, 300.0, Time::MAX);
    let mut first = rig.connect(0).await;
    first.send(&call("keyed", 1)).await;
    rig.until(1, |what| matches!(what, ObservationKind::AttemptReceived { .. })).await;
    rig.host.drain();
    assert_eq!(rig.connect(0).await.ask(&call("quick", 2)).await, error("BUSY"));
    assert_eq!(first.answer().await.unwrap(), served(1, Some(rig.draws.units(1))));
}

#[tokio::test]
async fn a_cold_host_that_is_pushed_over_resets_all_and_stays_down() {
    let mut rig = Rig::start(HostConfig { cold: true, ..config(spec()) });
    assert!(
        matches!(rig.seen()[0].kind, ObservationKind::HostStarted { initial_share: 0.25, warm_up: cold, .. } if cold == 10 * SECOND)
    );
    let mut idle = rig.connect(0).await;
    assert_eq!(idle.ask(&command(&["PING"])).await, pong());
    let mut peer = rig.connect(1).await;
    peer.send(&call("endless", 1)).await;
    assert!(peer.is_reset().await && idle.is_reset().await);
    assert!(rig.host.fallen());
    rig.until_refused(0).await;
    rig.host.stop();
    assert_eq!(rig.dealt(1), [HostOutcome::Dropped]);
    let downs = |seen: &&Observation| {
        matches!(
            seen.kind,
            ObservationKind::HostOverloadCrash { host: 3 } | ObservationKind::HostStopped { host: 3 }
        )
    };
    assert_eq!(rig.seen.iter().filter(downs).count(), 2);
}

#[tokio::test]
async fn gateways_are_told_apart_by_their_listeners() {
    let mut rig = Rig::new(spec());
    rig.connect(1).await.ask(&call("quick", 1)).await;
    rig.connect(0).await.ask(&call("quick", 2)).await;
    let of = |seen: &Observation| match seen.kind {
        ObservationKind::AttemptReceived { request, gateway, .. } => Some((request, gateway)),
        _ => None,
    };
    assert_eq!(rig.seen().iter().filter_map(of).collect::<Vec<_>>(), [(1, 1), (2, 0)]);
}

#[tokio::test]
async fn spoilt_answers_leave_the_connection_open_and_the_host_alive() {
    let mut rig = Rig::new(spec());
    rig.host.garble(1.0, Time::MAX);
    let mut peers = Vec::new();
    for id in 0..60 {
        let mut peer = rig.connect(0).await;
        peer.send(&[call("quick", id), call("quick", id + 100)].concat()).await;
        assert_ne!(peer.stream.read_buf(&mut peer.buf).await.unwrap(), 0);
        peers.push(peer);
    }
    // None of them has been ended by the host, and nothing follows a spoilt answer.
    rig.until(120, |what| matches!(what, ObservationKind::AttemptReceived { .. })).await;
    while rig.host.held() > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(rig.connect(1).await.ask(&command(&["PING"])).await, pong());
    let failed: Vec<u64> = (0..60).filter(|id| rig.dealt(*id) == [HostOutcome::Failed]).collect();
    assert!((20..60).contains(&failed.len()), "{failed:?}");
    assert!(failed.iter().all(|id| rig.dealt(id + 100).is_empty()));
    drop(peers);
    rig.until(120, |what| matches!(what, ObservationKind::AttemptClosed { .. })).await;
    assert!(failed.iter().all(|id| rig.dealt(id + 100) == [HostOutcome::Undelivered]));
    rig.host.garble(0.0, 0);
    let mut fresh = rig.connect(0).await;
    assert_eq!(fresh.ask(&call("quick", 99)).await, served(99, Some(rig.draws.units(99))));
}

#[tokio::test]
async fn an_ended_connection_ends_its_work() {
    let mut rig = Rig::new(HostSpec { slots: 1, ..spec() });
    let mut closing = rig.connect(0).await;
    closing.send(&call("endless", 1)).await;
    rig.until(1, |what| matches!(what, ObservationKind::AttemptReceived { .. })).await;
    let mut shutting = rig.connect(0).await;
    shutting.send(&call("endless", 2)).await;
    rig.until(2, |what| matches!(what, ObservationKind::AttemptReceived { .. })).await;
    shutting.stream.shutdown().await.unwrap();
    rig.until(1, |what| matches!(what, ObservationKind::AttemptClosed { .. })).await;
    assert_eq!((rig.dealt(2), rig.host.held()), (vec![HostOutcome::Dropped], 1));
    drop(closing);
    rig.until(2, |what| matches!(what, ObservationKind::AttemptClosed { .. })).await;
    assert_eq!((rig.dealt(1), rig.host.held()), (vec![HostOutcome::Undelivered], 0));
}

#[tokio::test]
async fn work_stops_when_the_gateway_waits_no_more() {
    let mut rig = Rig::new(HostSpec { slots: 1, ..spec() });
    let mut first = rig.connect(0).await;
    first.send(&call("endless", 1)).await;
    rig.until(1, |what| matches!(what, ObservationKind::AttemptReceived { .. })).await;
    let mut peer = rig.connect(0).await;
    assert_eq!(peer.ask(&call_within("endless", 2, 10)).await, error("BUSY"));
    drop(first);
    rig.until(2, |what| matches!(what, ObservationKind::AttemptClosed { .. })).await;
    assert_eq!(peer.ask(&call_within("endless", 3, 10)).await, error("ERR failed"));
    assert_eq!((rig.dealt(2), rig.dealt(3)), (vec![HostOutcome::Rejected], vec![HostOutcome::Failed]));
}

#[tokio::test]
async fn what_is_no_call_is_answered_or_ended() {
    let rig = Rig::new(spec());
    let mut peer = rig.connect(0).await;
    assert_eq!(peer.ask(&command(&["INFO", "load"])).await, error("NOPERM"));
    assert_eq!(peer.ask(&call("unknown", 1)).await, error("SYNTAX"));
    assert_eq!(rig.host.malformed(), 1);
    peer.send("*1\r\n$70000\r\n").await;
    assert!(matches!(peer.answer().await.unwrap_err(), RespError::Closed));
    assert_eq!(rig.host.malformed(), 2);
    assert_eq!(rig.connect(0).await.ask(&command(&["PING"])).await, pong());
}

#[tokio::test]
async fn idle_connections_close_and_busy_ones_do_not() {
    let mut rig = Rig::new(HostSpec { idle_timeout: 30 * MS, ..spec() });
    let mut busy = rig.connect(0).await;
    busy.send(&call("endless", 1)).await;
    let mut idle = rig.connect(0).await;
    let sent = rig.env.now();
    assert_eq!(idle.ask(&command(&["PING"])).await, pong());
    assert!(matches!(idle.answer().await.unwrap_err(), RespError::Closed));
    assert!(rig.env.now() >= sent + 30 * MS);
    assert_eq!((rig.host.held(), rig.dealt(1)), (1, vec![]));
}

#[tokio::test]
async fn a_paused_host_says_nothing_until_it_is_back() {
    let rig = Rig::new(spec());
    let mut peer = rig.connect(0).await;
    let until = rig.env.now() + 40 * MS;
    rig.host.pause(until);
    assert_eq!(peer.ask(&command(&["PING"])).await, pong());
    assert!(rig.env.now() >= until);
}

#[tokio::test]
async fn nothing_passes_between_a_host_and_a_gateway_that_it_is_silent_to() {
    let mut rig = Rig::new(spec());
    let mut cut = rig.connect(0).await;
    assert_eq!(cut.ask(&command(&["PING"])).await, pong());
    rig.host.set_silent(0, true);
    cut.send(&call("quick", 1)).await;
    let mut late = rig.connect(0).await;
    late.send(&call("quick", 2)).await;
    let mut other = rig.connect(1).await;
    for id in 10..20 {
        other.ask(&call("quick", id)).await;
    }
    let of = |what: &ObservationKind, wanted: u64| matches!(what, ObservationKind::AttemptReceived { request, .. } if *request == wanted);
    assert!(!rig.seen().iter().any(|seen| of(&seen.kind, 1) || of(&seen.kind, 2)));
    rig.host.set_silent(0, false);
    assert_eq!(cut.answer().await.unwrap(), served(1, Some(rig.draws.units(1))));
    assert_eq!(late.answer().await.unwrap(), served(2, Some(rig.draws.units(2))));
}

#[tokio::test]
async fn resets_of_one_gateway_leave_the_other_alone() {
    let rig = Rig::new(spec());
    let (mut near, mut far) = (rig.connect(0).await, rig.connect(1).await);
    near.ask(&command(&["PING"])).await;
    far.ask(&command(&["PING"])).await;
    rig.host.reset_gateway(1);
    assert!(far.is_reset().await);
    assert_eq!(near.ask(&command(&["PING"])).await, pong());
}

#[tokio::test]
async fn connections_beyond_the_most_are_reset() {
    let mut rig = Rig::new(HostSpec { connections: 1, ..spec() });
    let mut first = rig.connect(0).await;
    first.ask(&command(&["PING"])).await;
    assert!(rig.connect(0).await.is_reset().await);
    drop(first);
    loop {
        let mut next = rig.connect(0).await;
        next.send(&command(&["PING"])).await;
        if next.answer().await.is_ok() {
            break;
        }
    }
    let connected = |seen: &&Observation| matches!(seen.kind, ObservationKind::HostConnectionOpened { .. });
    assert_eq!(rig.seen().iter().filter(connected).count(), 2);
}

#[tokio::test]
async fn a_lag_delays_commands_and_answers() {
    let mut rig = Rig::start(HostConfig { lag: 15 * MS, ..config(spec()) });
    let mut peer = rig.connect(0).await;
    let sent = rig.env.now();
    peer.ask(&call("quick", 1)).await;
    assert!(rig.env.now() >= sent + 30 * MS);
    let received =
        rig.seen().iter().find(|seen| matches!(seen.kind, ObservationKind::AttemptReceived { .. })).unwrap();
    assert!(received.at >= sent + 15 * MS);
}

#[tokio::test]
async fn the_first_byte_of_a_command_has_its_own_time() {
    let mut rig = Rig::new(spec());
    let mut peer = rig.connect(0).await;
    let text = call("quick", 1);
    let (head, tail) = text.split_at(30);
    assert_eq!(peer.ask(&[&command(&["PING"]), head].concat()).await, pong());
    let between = rig.env.now();
    peer.ask(tail).await;
    let received = |seen: &Observation| match seen.kind {
        ObservationKind::AttemptReceived { first_byte, .. } => Some((first_byte, seen.at)),
        _ => None,
    };
    let (first_byte, at) = rig.seen().iter().find_map(received).unwrap();
    assert!(first_byte < between && at > between);
}

#[tokio::test]
async fn heavy_spells_and_slow_spells_show() {
    let mut rig = Rig::new(spec());
    rig.host.heavy(0, 1.0, 20.0, Time::MAX);
    rig.host.slow(2.0);
    let mut peer = rig.connect(0).await;
    let begun = rig.env.now();
    peer.ask(&call("quick", 1)).await;
    let took = rig.env.now() - begun;
    rig.host.sample();
    let usual = rig.draws.work(1, &classes()[0], None);
    assert!(took > 20 * usual, "{took} ns, for {usual} ns of usual work");
    let work = |seen: &Observation| match seen.kind {
        ObservationKind::AttemptReceived { expected_work: work, .. } => Some(work),
        _ => None,
    };
    assert_eq!(rig.seen().iter().find_map(work), Some(usual));
    assert!(rig.seen.iter().any(|seen| seen.kind == ObservationKind::HostSlowed { host: 3, factor: 2.0 }));
    let load = |seen: &Observation| matches!(seen.kind, ObservationKind::HostLoad { host: 3, requests: 0, utilization: busy } if busy > 0.0);
    assert!(rig.seen.iter().any(load));
}

#[tokio::test]
async fn repeats_of_keyed_requests_are_served_from_memory() {
    let mut rig = Rig::new(spec());
    let mut peer = rig.connect(0).await;
    peer.ask(&call("keyed", 1)).await;
    assert_eq!(peer.ask(&call("keyed", 1)).await, served(1, None));
    let works = |seen: &Observation| match seen.kind {
        ObservationKind::AttemptReceived { expected_work: work, .. } => Some(work > 0),
        _ => None,
    };
    assert_eq!(rig.seen().iter().filter_map(works).collect::<Vec<_>>(), [true, false]);
}
