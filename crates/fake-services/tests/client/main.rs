//! The stand-in for clients against gateways that do as a script tells them: within the process, on a clock
//! that stands still while anything moves, and in a few tests on loopback sockets.

mod gateway;
mod memory;

use cluster_model::observation::{ClientOutcome, Observation, ObservationKind};
use cluster_model::requests::{self, RequestSampler};
use cluster_model::scenario::{Idempotency, Site, Traffic};
use cluster_model::{Span, MS, SECOND};
use fake_services::client::{ClientConfig, Clients, RUDE_THINGS};
use fake_services::Recorder;
use gateway::{Act, Command, Gateway};
use memory::Memory;
use runtime::{Env, SystemEnv, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

const SEED: u64 = 4;
/// The traffic begins so long after the clients start.
const BEFORE: Span = 60 * MS;

/// About fifty things within a second, from one plan, through all gateways. All clients wait for the whole time
/// of their class, and none tries again.
fn config<E: Env>(gateways: &[&Gateway<E>]) -> ClientConfig {
    let mut site = Site { gateways: gateways.len() as u32, ..Site::default() };
    site.plans.truncate(1);
    site.plans[0].spread = site.gateways;
    site.classes.iter_mut().for_each(|class| class.deadline = 2 * SECOND);
    site.classes.iter_mut().for_each(|class| class.share = 0.5);
    let calm = Traffic { heavy: (0.0, 1.0), bursty: (0.0, 1.0), skew: 0.0, ..Traffic::default() };
    let traffic = Traffic { rate: 50.0, retries: 0, request_timeout_share: (1.0, 1.0), ..calm };
    ClientConfig {
        site,
        draws: RequestSampler::new(SEED, &traffic),
        traffic,
        seed: SEED,
        gateways: gateways.iter().map(|gateway| gateway.address).collect(),
        scales: Vec::new(),
        leans: Vec::new(),
        start: 0,
        length: SECOND,
        recorder: Recorder::default(),
        most_connections: 100,
    }
}

fn start<E: Env>(env: &E, config: ClientConfig) -> Clients<E> {
    Clients::start(env.clone(), ClientConfig { start: env.now() + BEFORE, ..config })
}

async fn done<E: Env>(env: &E, clients: &Clients<E>) {
    env.timeout(60 * SECOND, clients.done()).await.expect("does not end");
}

async fn play<E: Env>(env: &E, config: ClientConfig) -> Vec<Observation> {
    let recorder = config.recorder.clone();
    done(env, &start(env, config)).await;
    recorder.take()
}

/// Waits for something that is about to happen.
async fn until<E: Env>(env: &E, what: impl Fn() -> bool) {
    let end = env.now() + 60 * SECOND;
    while !what() {
        assert!(env.now() < end, "does not happen");
        env.sleep(MS).await;
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Asked {
    at: Time,
    gateway: u32,
    class: u32,
    first_try: u64,
    patience: Span,
}

impl Asked {
    /// Whether this is the first try of a thing.
    fn is_first(&self, id: u64) -> bool {
        self.first_try == id
    }
}

/// Requests by id, as they were asked first. One is asked again only where its command crossed the end of its
/// connection: by the same client, with no more time, and once.
fn asked(seen: &[Observation]) -> BTreeMap<u64, Asked> {
    let mut all: BTreeMap<u64, Asked> = BTreeMap::new();
    let mut again = BTreeSet::new();
    for Observation { at, kind: what } in seen {
        if let ObservationKind::RequestSent {
            request,
            first_request: first_try,
            gateway,
            class,
            timeout: patience,
            ..
        } = *what
        {
            let asked = Asked { at: *at, gateway, class, first_try, patience };
            let Some(first) = all.insert(request, asked) else { continue };
            let goes_on = asked.at >= first.at && asked.patience <= first.patience;
            assert!(
                goes_on && asked.class == first.class,
                "{request:x} is asked twice: {first:?}, {asked:?}"
            );
            assert!(again.insert(request), "{request:x} is asked for a third time");
            all.insert(request, first);
        }
    }
    all
}

/// When and what the requests got, by id. None gets two answers, or one that it has not asked for.
fn got(seen: &[Observation]) -> BTreeMap<u64, (Time, ClientOutcome)> {
    let asked = asked(seen);
    let mut all = BTreeMap::new();
    for Observation { at, kind: what } in seen {
        if let ObservationKind::RequestEnded { request, outcome: got, .. } = *what {
            assert!(asked.contains_key(&request));
            assert_eq!(all.insert(request, (*at, got)), None, "{request:x} is answered twice");
        }
    }
    all
}

/// All requests, none of which got anything else.
fn all_got(seen: &[Observation], wanted: ClientOutcome) -> BTreeMap<u64, Asked> {
    let (asked, got) = (asked(seen), got(seen));
    assert!(asked.len() > 20, "{}", asked.len());
    assert!(asked.keys().eq(got.keys()));
    assert!(got.values().all(|(_, got)| *got == wanted), "{got:?}");
    asked
}

fn count_unasked(seen: &[Observation]) -> usize {
    seen.iter().filter(|seen| seen.kind == ObservationKind::UnexpectedResponse { gateway: 0 }).count()
}

#[tokio::test(start_paused = true)]
async fn requests_are_served_over_connections_that_are_kept() {
    let env = Memory::new();
    let gateway = Gateway::serving(&env);
    let seen = play(&env, config(&[&gateway])).await;
    let asked = all_got(&seen, ClientOutcome::Served(true));
    let calls = gateway.calls();
    assert!(calls.iter().map(Command::id).collect::<BTreeSet<_>>().iter().eq(asked.keys()));
    let connections: BTreeSet<usize> = calls.iter().map(|call| call.connection).collect();
    assert_eq!(connections.len(), 1, "they come one by one");
    for call in &calls {
        let post = asked[&call.id()].class == 1;
        assert_eq!(call.words[0], if post { "CALL.POST" } else { "CALL.GET" });
        assert_eq!(call.words.len(), if post { 5 } else { 4 });
        assert!(call.words[3].contains(",d=2000,"), "{}", call.words[3]);
        assert_eq!(asked[&call.id()].patience, 2 * SECOND);
    }
}

#[tokio::test(start_paused = true)]
async fn what_was_turned_away_comes_again_under_a_new_id() {
    let env = Memory::new();
    let gateway = Gateway::ready(&env, |call| match call.id() == requests::first_request_id(call.id()) {
        true => Act::Answer("-BUSY 1\r\n".into()),
        false => Act::Answer(call.served()),
    });
    let mut config = config(&[&gateway]);
    config.traffic.retries = 1;
    let seen = play(&env, config).await;
    let (asked, got) = (asked(&seen), got(&seen));
    assert!(asked.len() > 40);
    for (id, first) in asked.iter().filter(|(id, asked)| asked.is_first(**id)) {
        assert_eq!(got[id], (first.at, ClientOutcome::Rejected(Some(MS))));
        let again = asked[&(id + 1)];
        assert_eq!((again.at, again.first_try, again.class), (first.at + 100 * MS, *id, first.class));
        assert_eq!(again.patience, 1900 * MS);
        assert_eq!(got[&(id + 1)].1, ClientOutcome::Served(true));
    }
    assert!(gateway.calls().iter().all(|call| call.words[3].ends_with(",r=1") == (call.id() & 1 == 1)));
}

async fn fails_with<E: Env>(env: &E, act: fn() -> Act, wanted: ClientOutcome) {
    let gateway = Gateway::ready(env, move |_| act());
    let mut config = config(&[&gateway]);
    config.traffic.retries = 1;
    let asked = all_got(&play(env, config).await, wanted);
    for (id, first) in asked.iter().filter(|(id, asked)| asked.is_first(**id)) {
        assert_eq!(asked.contains_key(&(id + 1)), first.class == 0, "{wanted:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn only_what_may_run_again_comes_again_after_a_failure() {
    let env = Memory::new();
    fails_with(&env, || Act::Answer("-ERR failed\r\n".into()), ClientOutcome::Failed).await;
    fails_with(&env, || Act::Answer("?\r\n".into()), ClientOutcome::Failed).await;
    fails_with(&env, || Act::End(0, "$9\r\nvalu".into()), ClientOutcome::ConnectionClosed).await;
    fails_with(&env, || Act::Reset, ClientOutcome::ConnectionClosed).await;
}

#[tokio::test(start_paused = true)]
async fn a_client_that_gets_nothing_goes_when_its_time_and_a_little_more_are_over() {
    let env = Memory::new();
    let gateway = Gateway::ready(&env, |_| Act::Silence);
    let config = config(&[&gateway]);
    let slack = config.site.rules.deadline_slack;
    let seen = play(&env, config).await;
    let asked = all_got(&seen, ClientOutcome::NoResponse);
    assert!(got(&seen).iter().all(|(id, (at, _))| *at == asked[id].at + 2 * SECOND + slack));
    until(&env, || gateway.book.lock().unwrap().open == 0).await;
}

#[tokio::test(start_paused = true)]
async fn an_answer_counts_until_a_little_after_the_client_s_time() {
    let env = Memory::new();
    let late = |call: &Command| Act::Late(2 * SECOND + 60 * MS, call.served());
    let gateway = Gateway::ready(&env, late);
    all_got(&play(&env, config(&[&gateway])).await, ClientOutcome::Served(true));
}

#[tokio::test(start_paused = true)]
async fn a_value_that_no_host_made_for_the_request_is_told_apart() {
    let env = Memory::new();
    let gateway = Gateway::ready(&env, |_| Act::Answer("$5\r\nwrong\r\n".into()));
    all_got(&play(&env, config(&[&gateway])).await, ClientOutcome::Served(false));
}

#[tokio::test(start_paused = true)]
async fn a_second_answer_is_one_that_nobody_asked_for() {
    let env = Memory::new();
    let at_once = |call: &Command| Act::Answer(call.served().repeat(2));
    let gateway = Gateway::ready(&env, at_once);
    let seen = play(&env, config(&[&gateway])).await;
    assert_eq!(count_unasked(&seen), all_got(&seen, ClientOutcome::Served(true)).len());

    // When the connection lies idle; a request that comes in between takes it for its own answer.
    let later = |call: &Command| Act::Again(call.served(), 5 * MS, "-ERR late\r\n".into());
    let gateway = Gateway::ready(&env, later);
    let seen = play(&env, config(&[&gateway])).await;
    let taken = got(&seen).values().filter(|(_, got)| *got == ClientOutcome::Failed).count();
    assert!(count_unasked(&seen) > 20);
    // The last one is served, and so all is done, before more comes.
    assert_eq!(count_unasked(&seen) + 2 * taken + 1, asked(&seen).len());
}

#[tokio::test(start_paused = true)]
async fn nothing_comes_to_a_gateway_before_it_is_ready() {
    let env = Memory::new();
    let pings = Mutex::new(0);
    let gateway = Gateway::start(&env, move |command| {
        if !command.is_ping() {
            return Act::Answer(command.served());
        }
        *pings.lock().unwrap() += 1;
        match *pings.lock().unwrap() {
            1 => Act::Answer("-ERR starting\r\n".into()),
            2 => Act::Reset,
            // Too late to be heard.
            3 => Act::Late(1100 * MS, "+PONG\r\n".into()),
            _ => Act::Answer("+PONG\r\n".into()),
        }
    });
    let config = ClientConfig { length: 3 * SECOND, ..config(&[&gateway]) };
    let (recorder, began) = (config.recorder.clone(), env.now());
    let clients = start(&env, config);
    done(&env, &clients).await;
    let asked = all_got(&recorder.take(), ClientOutcome::Served(true));
    // 100 ms after each of two answers, and after a second without one.
    let ready = began + 1300 * MS;
    let first = asked.values().map(|asked| asked.at).min().unwrap();
    assert!((ready..ready + 100 * MS).contains(&first));
    assert!(clients.unreached() > 20);
    assert!(gateway.commands()[..4].iter().all(Command::is_ping));
    assert_eq!(gateway.commands().len(), asked.len() + 4, "it is not asked again");
}

#[tokio::test(start_paused = true)]
async fn the_front_notices_a_dead_gateway_and_takes_it_in_again_when_it_answers() {
    let env = Memory::new();
    let [steady, dying] = [Gateway::serving(&env), Gateway::serving(&env)];
    let config = ClientConfig { length: 10 * SECOND, ..config(&[&steady, &dying]) };
    let recorder = config.recorder.clone();
    let clients = start(&env, config);
    env.sleep(SECOND).await;
    let count = |gateway: u32| {
        let seen = recorder.take();
        asked(&seen).values().filter(|asked| asked.gateway == gateway).count()
    };
    assert!(count(1) > 10);
    dying.die().await;
    until(&env, || clients.unreached() > 0).await;
    env.sleep(1900 * MS).await;
    let unnoticed = clients.unreached();
    assert!(unnoticed > 20, "{unnoticed}");
    env.sleep(101 * MS).await;
    let noticed = clients.unreached();
    recorder.take();
    env.sleep(SECOND).await;
    assert_eq!(clients.unreached(), noticed);
    assert!(count(0) > 30);

    let anew = Gateway::serving(&env);
    clients.gateway_address(1, anew.address);
    done(&env, &clients).await;
    assert_eq!(clients.unreached(), noticed);
    assert!(count(1) > 20 && anew.calls().len() > 20);
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_is_back_before_the_front_notices_was_never_away() {
    let env = Memory::new();
    let gateway = Gateway::serving(&env);
    let config = ClientConfig { length: 6 * SECOND, ..config(&[&gateway]) };
    let clients = start(&env, config);
    env.sleep(SECOND).await;
    gateway.die().await;
    until(&env, || clients.unreached() > 0).await;
    env.sleep(1500 * MS).await;
    let anew = Gateway::serving(&env);
    clients.gateway_address(0, anew.address);
    let unreached = clients.unreached();
    done(&env, &clients).await;
    assert_eq!((clients.unreached(), anew.pings()), (unreached, 0));
    assert!(anew.calls().len() > 100);
}

#[tokio::test(start_paused = true)]
async fn without_a_gateway_everything_fails_at_once_and_may_be_tried_again() {
    let env = Memory::new();
    let gateway = Gateway::serving(&env);
    let mut config = config(&[&gateway]);
    config.traffic.retries = 2;
    let recorder = config.recorder.clone();
    gateway.die().await;
    let (clients, began) = (start(&env, config), env.now());
    done(&env, &clients).await;
    assert!(clients.unreached() > 60 && clients.unreached() % 3 == 0);
    assert!(env.now() <= began + BEFORE + SECOND + 310 * MS);
    assert!(recorder.take().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crosses_the_end_of_its_connection_is_sent_once_more() {
    let env = Memory::new();
    let gateway = Gateway::ready(&env, |call| match call.place {
        0 | 1 => Act::Answer(call.served()),
        _ => Act::End(0, String::new()),
    });
    let seen = play(&env, config(&[&gateway])).await;
    let asked = all_got(&seen, ClientOutcome::Served(true));
    let mut sent: BTreeMap<u64, Vec<Command>> = BTreeMap::new();
    gateway.calls().into_iter().for_each(|call| sent.entry(call.id()).or_default().push(call));
    assert!(sent.keys().eq(asked.keys()));
    let twice: Vec<_> = sent.values().filter(|calls| calls.len() > 1).collect();
    assert!(twice.len() > 10);
    assert!(twice.iter().all(|calls| calls.len() == 2 && calls[0].place == 2 && calls[1].place == 0));
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_connection_was_new_or_ends_late_is_lost_and_is_not_sent_again() {
    let env = Memory::new();
    // A new connection that ends has been closed by somebody who had time to read.
    let gateway = Gateway::ready(&env, |_| Act::End(0, String::new()));
    let asked_once = all_got(&play(&env, config(&[&gateway])).await, ClientOutcome::ConnectionClosed);
    assert_eq!(gateway.calls().len(), asked_once.len());

    let gateway = Gateway::ready(&env, |call| match call.place {
        0 => Act::Answer(call.served()),
        _ => Act::End(250 * MS, String::new()),
    });
    let seen = play(&env, config(&[&gateway])).await;
    let broken = got(&seen).values().filter(|(_, got)| *got == ClientOutcome::ConnectionClosed).count();
    assert!(broken > 10);
    assert_eq!(gateway.calls().len(), asked(&seen).len());
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crosses_the_end_of_the_last_gateway_is_left() {
    let env = Memory::new();
    let gateway = Gateway::ready(&env, |call| match call.place {
        0 => Act::Answer(call.served()),
        _ => Act::End(20 * MS, String::new()),
    });
    let config = config(&[&gateway]);
    let recorder = config.recorder.clone();
    let clients = start(&env, config);
    until(&env, || gateway.calls().iter().any(|call| call.place == 1)).await;
    gateway.die().await;
    done(&env, &clients).await;
    let seen = recorder.take();
    assert!(clients.unreached() > 0);
    // Whoever closed the connection has not read it, and there is nobody to ask again: no answer is owed.
    let left: BTreeSet<u64> = seen.iter().filter_map(left_request).collect();
    assert!(!left.is_empty());
    let ended: BTreeSet<u64> = got(&seen).into_keys().chain(left).collect();
    assert!(asked(&seen).into_keys().eq(ended));
}

fn left_request(seen: &Observation) -> Option<u64> {
    match seen.kind {
        ObservationKind::ClientDisconnected { request } => Some(request),
        _ => None,
    }
}

#[tokio::test(start_paused = true)]
async fn impatient_clients_leave_and_do_not_come_again() {
    let env = Memory::new();
    let gateway = Gateway::ready(&env, |_| Act::Silence);
    let mut config = config(&[&gateway]);
    config.traffic.retries = 2;
    let recorder = config.recorder.clone();
    let clients = start(&env, config);
    clients.set_impatient(1.0, BEFORE + 500 * MS);
    done(&env, &clients).await;
    let seen = recorder.take();
    let (asked, got) = (asked(&seen), got(&seen));
    let left: BTreeMap<u64, Time> = seen
        .iter()
        .filter_map(|Observation { at, kind: what }| match what {
            ObservationKind::ClientDisconnected { request } => Some((*request, *at)),
            _ => None,
        })
        .collect();
    assert!(left.len() > 10);
    assert!(left.iter().all(|(id, at)| asked[id].is_first(*id) && *at < asked[id].at + 2 * SECOND));
    // Later ones stay.
    assert!(got.len() > 10 && got.values().all(|(_, got)| *got == ClientOutcome::NoResponse));
    assert_eq!(asked.len(), got.len() + left.len());
    until(&env, || gateway.book.lock().unwrap().open == 0).await;
}

#[tokio::test(start_paused = true)]
async fn requests_wait_for_a_connection_where_there_may_be_no_more() {
    let env = Memory::new();
    let gateway = Gateway::ready(&env, |call| Act::Late(50 * MS, call.served()));
    let config = ClientConfig { most_connections: 2, ..config(&[&gateway]) };
    all_got(&play(&env, config).await, ClientOutcome::Served(true));
    assert_eq!(gateway.book.lock().unwrap().most_open, 2);
    assert_eq!(gateway.book.lock().unwrap().connections, 3, "one of them for the PING");
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_stops_as_planned_gets_no_new_connections_and_its_open_ones_are_used_up() {
    let env = Memory::new();
    let steady = Gateway::serving(&env);
    let stops = Arc::new(Mutex::new(false));
    let stopped = stops.clone();
    let leaving = Gateway::start(&env, move |command| match (command.is_ping(), *stopped.lock().unwrap()) {
        (true, false) => Act::Answer("+PONG\r\n".into()),
        (true, true) => Act::Answer("-ERR stopping\r\n".into()),
        (false, true) if command.place > 60 => Act::End(0, String::new()),
        (false, _) => Act::Late(10 * MS, command.served()),
    });
    let config = ClientConfig { length: 6 * SECOND, ..config(&[&steady, &leaving]) };
    let recorder = config.recorder.clone();
    let clients = start(&env, config);
    env.sleep(SECOND).await;
    *stops.lock().unwrap() = true;
    let began = env.now();
    clients.planned_stop(1);
    // It is asked for a PONG again once it gets nothing new.
    until(&env, || leaving.pings() > 1).await;
    assert!((200 * MS..402 * MS).contains(&(env.now() - began)));
    let before = leaving.calls();
    done(&env, &clients).await;
    let calls = leaving.calls();
    assert!(calls.len() > before.len(), "the open connection is used");
    let last = before.iter().map(|call| call.connection).max();
    assert!(calls.iter().all(|call| Some(call.connection) <= last));
    // What crosses the end of a connection goes to the other one, which has all from then on.
    all_got(&recorder.take(), ClientOutcome::Served(true));
    let crossed: Vec<u64> = calls.iter().filter(|call| call.place > 60).map(Command::id).collect();
    assert!(!crossed.is_empty());
    assert!(crossed.iter().all(|id| steady.calls().iter().any(|call| call.id() == *id)));
    assert!(steady.calls().len() > 150);
    assert_eq!(clients.unreached(), 0);
}

#[tokio::test(start_paused = true)]
async fn rude_clients_ask_or_stay_silent_and_are_not_written_down() {
    let env = Memory::new();
    let gateway = Gateway::serving(&env);
    let config = ClientConfig { length: 0, ..config(&[&gateway]) };
    let recorder = config.recorder.clone();
    let clients = start(&env, config);
    clients.never_read(0, 3, 5);
    clients.never_read(0, 1, 2);
    clients.idle(0, 4);
    done(&env, &clients).await;
    assert_eq!(gateway.book.lock().unwrap().connections, 9, "one of them for the PING");
    let ids: BTreeSet<u64> = gateway.calls().iter().map(Command::id).collect();
    assert_eq!((ids.len(), gateway.calls().len()), (17, 17));
    assert!(ids.iter().all(|id| *id >= requests::request_id(RUDE_THINGS, 0)));
    assert!(recorder.take().is_empty());
    assert!(gateway.book.lock().unwrap().ended < 2, "they stay");
    clients.rude_leave();
    until(&env, || gateway.book.lock().unwrap().ended == 9).await;
}

#[tokio::test(start_paused = true)]
async fn the_same_seed_gives_the_same_sightings() {
    let once = || async {
        let env = Memory::new();
        let gateways = [(); 3].map(|()| {
            Gateway::ready(&env, |call| match call.id() >> 4 & 7 {
                0 => Act::Answer("-BUSY\r\n".into()),
                1 => Act::Reset,
                2 => Act::Silence,
                _ => Act::Late(20 * MS, call.served()),
            })
        });
        let mut config = config(&gateways.each_ref());
        config.traffic.retries = 1;
        let start = env.now();
        let seen = play(&env, config).await;
        seen.into_iter().map(|seen| (seen.at - start, seen.kind)).collect::<Vec<_>>()
    };
    let first = once().await;
    assert!(first.len() > 100);
    assert_eq!(first, once().await);
}

/// On sockets, where a machine that is busy may lag: tries that come before the gateway answers come again.
fn config_for_sockets(gateway: &Gateway<SystemEnv>) -> ClientConfig {
    let mut config = ClientConfig { length: 200 * MS, most_connections: 1, ..config(&[gateway]) };
    config.traffic = Traffic { rate: 200.0, retries: 4, backoff: 100 * MS, ..config.traffic };
    config
}

#[tokio::test]
async fn sockets_serve_and_carry_a_crossing_request_again() {
    let env = SystemEnv::start();
    let gateway = Gateway::ready(&env, |call| match call.place {
        0 | 1 => Act::Answer(call.served()),
        _ => Act::End(0, String::new()),
    });
    let seen = play(&env, config_for_sockets(&gateway)).await;
    let asked = all_got(&seen, ClientOutcome::Served(true));
    assert!(gateway.calls().len() > asked.len());
}

#[tokio::test]
async fn a_socket_that_is_reset_is_broken() {
    let env = SystemEnv::start();
    let gateway = Gateway::ready(&env, |_| Act::Reset);
    let mut config = config_for_sockets(&gateway);
    config.site.classes.iter_mut().for_each(|class| class.idempotency = Idempotency::NonIdempotent);
    all_got(&play(&env, config).await, ClientOutcome::ConnectionClosed);
}

#[tokio::test]
async fn a_socket_that_is_refused_reaches_nothing() {
    let env = SystemEnv::start();
    let gateway = Gateway::serving(&env);
    let mut config = config_for_sockets(&gateway);
    config.traffic.retries = 0;
    let recorder = config.recorder.clone();
    gateway.die().await;
    let clients = start(&env, config);
    done(&env, &clients).await;
    assert!(clients.unreached() > 20);
    assert!(recorder.take().is_empty());
}
