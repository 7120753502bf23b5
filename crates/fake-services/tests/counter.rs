//! The stand-in counter on loopback sockets.

use cluster_model::observation::{Observation, ObservationKind};
use cluster_model::scenario::{CounterFault, CounterSpec};
use cluster_model::SECOND;
use fake_services::counter::{CounterConfig, CounterStandIn};
use fake_services::Recorder;
use runtime::SystemEnv;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const LONG: u64 = 600 * SECOND;

struct Site {
    counter: CounterStandIn<SystemEnv>,
    recorder: Recorder,
}

/// A counter for two gateways that takes calls.
fn site() -> Site {
    let recorder = Recorder::default();
    let config = CounterConfig {
        spec: CounterSpec { calls_per_s: 1e6, service_time: 0, ..CounterSpec::default() },
        seed: 5,
        listen: vec![SocketAddr::from(([127, 0, 0, 1], 0)); 2],
        recorder: recorder.clone(),
        lag: 0,
    };
    let counter = CounterStandIn::start(SystemEnv::start(), config).expect("it listens");
    counter.open();
    Site { counter, recorder }
}

impl Site {
    async fn connect(&self, gateway: usize) -> TcpStream {
        TcpStream::connect(self.counter.addrs()[gateway]).await.expect("it listens")
    }

    /// Whether and how the next call was counted: added, answered.
    async fn counted(&self) -> (bool, bool) {
        loop {
            let seen = self.recorder.take().into_iter().map(|seen| seen.kind).next();
            if let Some(ObservationKind::CounterCall { added, answered, .. }) = seen {
                return (added, answered);
            }
            tokio::task::yield_now().await;
        }
    }

    /// A connection that was answered, however many tries it takes.
    async fn answered(&self, gateway: usize) -> TcpStream {
        loop {
            if let Ok(mut stream) = TcpStream::connect(self.counter.addrs()[gateway]).await {
                let written = stream.write_all(command(&["PING"]).as_bytes()).await;
                if written.is_ok() && answer(&mut stream).await.is_ok() {
                    return stream;
                }
            }
            tokio::task::yield_now().await;
        }
    }

    /// A connection that was answered, so that it is one of the 32.
    async fn greeted(&self, gateway: usize) -> TcpStream {
        let mut stream = self.connect(gateway).await;
        assert_eq!(ask(&mut stream, &["PING"]).await, "+PONG\r\n");
        stream
    }
}

fn command(words: &[&str]) -> String {
    let words: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*{}\r\n{words}", words.matches('$').count())
}

/// One answer: a line, and the value behind it.
async fn answer(stream: &mut TcpStream) -> io::Result<String> {
    let mut text = Vec::new();
    let lines = |text: &[u8]| text.windows(2).filter(|end| end == b"\r\n").count();
    while lines(&text) < if text.first() == Some(&b'$') { 2 } else { 1 } {
        text.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&text).into_owned())
}

async fn ask(stream: &mut TcpStream, words: &[&str]) -> String {
    stream.write_all(command(words).as_bytes()).await.expect("written");
    answer(stream).await.expect("answered")
}

async fn is_reset(stream: &mut TcpStream) -> bool {
    matches!(stream.read_u8().await, Err(error) if error.kind() == io::ErrorKind::ConnectionReset)
}

#[tokio::test]
async fn calls_are_answered_as_the_protocol_says() {
    let site = site();
    let mut stream = site.connect(0).await;
    for (words, wanted) in [
        (&["ADDGET", "name", "2.5", "4000"][..], "$3\r\n2.5\r\n"),
        (&["ADDGET", "name", "-4", "4000"], "$4\r\n-1.5\r\n"),
        (&["addget", "other", "1000000000", "999999"], "$10\r\n1000000000\r\n"),
        (&["PING"], "+PONG\r\n"),
        (&["CLIENT", "SETNAME", "x"], "+OK\r\n"),
        (&["SELECT", "0"], "+OK\r\n"),
    ] {
        assert_eq!(ask(&mut stream, words).await, wanted, "{words:?}");
    }
    let long = "n".repeat(65);
    for words in [
        &["ADDGET", "name", "much", "4000"][..],
        &["ADDGET", "name", "1000000000.5", "4000"],
        &["ADDGET", &long, "1", "4000"],
        &["ADDGET", "", "1", "4000"],
        &["ADDGET", "name", "1", "0"],
        &["ADDGET", "name", "1"],
        &["HELLO", "3"],
    ] {
        assert!(ask(&mut stream, words).await.starts_with("-ERR "), "{words:?}");
    }
    assert_eq!(site.counter.total(b"name"), Some(-1.5));
    assert_eq!(site.counter.names(), 2);
    let seen = site.recorder.take();
    assert_eq!(seen.len(), 3, "what is no call is not counted");
    assert!(matches!(
        seen[0].kind,
        ObservationKind::CounterCall {
            gateway: 0,
            amount: 2.5,
            added: true,
            answered: true,
            rejected: false,
            ..
        }
    ));
}

#[tokio::test]
async fn pipelined_calls_are_answered_in_order_however_they_are_cut() {
    let site = site();
    let mut stream = site.connect(0).await;
    let text: String = (0..50)
        .map(|n| command(if n % 5 == 4 { &["PING"] } else { &["ADDGET", "name", "1", "4000"] }))
        .collect();
    for piece in text.as_bytes().chunks(7) {
        stream.write_all(piece).await.expect("written");
        tokio::task::yield_now().await;
    }
    let mut total = 0;
    for n in 0..50 {
        let answer = answer(&mut stream).await.expect("answered");
        if n % 5 == 4 {
            assert_eq!(answer, "+PONG\r\n");
        } else {
            total += 1;
            assert!(answer.ends_with(&format!("\n{total}\r\n")), "{answer:?} at {total}");
        }
    }
}

#[tokio::test]
async fn what_cannot_be_read_gets_an_error_and_an_end() {
    let site = site();
    let mut stream = site.connect(0).await;
    let text = command(&["ADDGET", "name", "1", "4000"]) + "?what\r\n";
    stream.write_all(text.as_bytes()).await.expect("written");
    let mut all = String::new();
    stream.read_to_string(&mut all).await.expect("an end");
    assert_eq!(all, "$1\r\n1\r\n-ERR cannot be read\r\n");
}

#[tokio::test]
async fn calls_are_turned_away_until_it_is_opened() {
    let recorder = Recorder::default();
    let config = CounterConfig {
        spec: CounterSpec::default(),
        seed: 5,
        listen: vec![SocketAddr::from(([127, 0, 0, 1], 0))],
        recorder: recorder.clone(),
        lag: 0,
    };
    let counter = CounterStandIn::start(SystemEnv::start(), config).expect("it listens");
    let mut stream = TcpStream::connect(counter.addrs()[0]).await.expect("it listens");
    assert_eq!(ask(&mut stream, &["ADDGET", "name", "1", "4000"]).await, "-BUSY\r\n");
    assert_eq!(ask(&mut stream, &["PING"]).await, "+PONG\r\n");
    assert!(ask(&mut stream, &["ADDGET", "name", "x", "4000"]).await.starts_with("-ERR"));
    counter.open();
    assert_eq!(ask(&mut stream, &["ADDGET", "name", "1", "4000"]).await, "$1\r\n1\r\n");
    let call = |seen: Observation| match seen.kind {
        ObservationKind::CounterCall { amount, added, answered, rejected: turned_away, .. } => {
            (amount, [added, answered, turned_away])
        }
        other => panic!("{other:?}"),
    };
    let calls: Vec<(f64, [bool; 3])> = recorder.take().into_iter().map(call).collect();
    assert_eq!(calls, [(1.0, [false, false, true]), (1.0, [true, true, false])]);
}

#[tokio::test]
async fn a_gateway_has_32_connections_and_further_ones_are_reset() {
    let site = site();
    let mut held = Vec::new();
    for _ in 0..32 {
        held.push(site.greeted(0).await);
    }
    assert!(is_reset(&mut site.connect(0).await).await);
    site.greeted(1).await;
    held.pop();
    site.answered(0).await;
}

#[tokio::test]
async fn a_lost_counter_comes_back_at_its_address_with_its_counts() {
    let site = site();
    let mut stream = site.connect(0).await;
    ask(&mut stream, &["ADDGET", "name", "1", "60000"]).await;
    site.counter.fail(CounterFault::Unreachable, LONG);
    assert!(is_reset(&mut stream).await);
    let addr = site.counter.addrs()[0];
    while TcpStream::connect(addr).await.is_ok() {}
    let refused = TcpStream::connect(addr).await.expect_err("nobody listens");
    assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
    site.counter.heal();
    let mut stream = site.answered(0).await;
    assert_eq!(ask(&mut stream, &["ADDGET", "name", "1", "60000"]).await, "$1\r\n2\r\n");
}

#[tokio::test]
async fn a_fault_ends_by_itself() {
    let site = site();
    let mut stream = site.greeted(0).await;
    site.counter.fail(CounterFault::Unreachable, 5_000_000);
    assert!(is_reset(&mut stream).await);
    site.answered(0).await;
}

#[tokio::test]
async fn a_fresh_counter_resets_its_connections_and_has_forgotten() {
    let site = site();
    let mut stream = site.connect(0).await;
    ask(&mut stream, &["ADDGET", "name", "1", "60000"]).await;
    site.counter.fail(CounterFault::Reset, 0);
    assert!(is_reset(&mut stream).await);
    let mut stream = site.connect(0).await;
    assert_eq!(ask(&mut stream, &["ADDGET", "name", "5", "60000"]).await, "$1\r\n5\r\n");
}

#[tokio::test]
async fn a_silent_counter_takes_calls_in_and_a_mute_one_adds_them() {
    for (fault, added) in [(CounterFault::DropCalls, false), (CounterFault::DropReplies, true)] {
        let site = site();
        let mut stream = site.connect(0).await;
        site.counter.fail(fault, LONG);
        let call = command(&["ADDGET", "name", "1", "60000"]);
        stream.write_all(call.as_bytes()).await.expect("written");
        assert_eq!(site.counted().await, (added, false));
        assert_eq!(site.counter.total(b"name"), added.then_some(1.0));
        site.counter.heal();
        let mut other = site.connect(0).await;
        let total = if added { "$1\r\n2\r\n" } else { "$1\r\n1\r\n" };
        assert_eq!(ask(&mut other, &["ADDGET", "name", "1", "60000"]).await, total);
        let nothing = stream.try_read(&mut [0]).expect_err("nothing is said");
        assert_eq!(nothing.kind(), io::ErrorKind::WouldBlock);
    }
}

#[tokio::test]
async fn a_full_counter_turns_calls_away() {
    let site = site();
    let mut stream = site.connect(0).await;
    site.counter.fail(CounterFault::Overloaded, LONG);
    assert_eq!(ask(&mut stream, &["ADDGET", "name", "1", "60000"]).await, "-BUSY\r\n");
    site.counter.heal();
    assert_eq!(ask(&mut stream, &["ADDGET", "name", "1", "60000"]).await, "$1\r\n1\r\n");
}

#[tokio::test]
async fn groups_of_gateways_are_told_apart_by_their_listeners() {
    let site = site();
    let (mut one, mut two) = (site.connect(0).await, site.connect(1).await);
    site.counter.fail(CounterFault::SplitBrain(vec![vec![1], vec![2]]), LONG);
    assert_eq!(ask(&mut one, &["ADDGET", "name", "1", "60000"]).await, "$1\r\n1\r\n");
    assert_eq!(ask(&mut two, &["ADDGET", "name", "2", "60000"]).await, "$1\r\n2\r\n");
    site.counter.heal();
    assert_eq!(ask(&mut two, &["ADDGET", "name", "0", "60000"]).await, "$1\r\n3\r\n");
}

#[tokio::test]
async fn spoilt_answers_have_no_total_and_the_amount_was_added() {
    let site = site();
    site.counter.garble(1.0, LONG);
    for n in 1..=20 {
        let mut stream = site.connect(0).await;
        stream.write_all(command(&["ADDGET", "name", "1", "60000"]).as_bytes()).await.expect("written");
        assert_ne!(stream.read_u8().await.expect("noise"), b'-');
        assert_eq!(site.counted().await, (true, false));
        assert_eq!(site.counter.total(b"name"), Some(f64::from(n)));
    }
}

#[tokio::test]
async fn a_silent_way_holds_what_comes_until_it_is_open_again() {
    let site = site();
    let (mut one, mut two) = (site.greeted(0).await, site.greeted(1).await);
    site.counter.set_silent(0, true);
    let call = command(&["ADDGET", "name", "1", "60000"]);
    one.write_all(call.as_bytes()).await.expect("written");
    let mut new = site.connect(0).await;
    new.write_all(call.as_bytes()).await.expect("written");
    for _ in 0..20 {
        ask(&mut two, &["PING"]).await;
    }
    assert_eq!(site.counter.total(b"name"), None);
    site.counter.set_silent(0, false);
    let totals = [answer(&mut one).await.expect("answered"), answer(&mut new).await.expect("answered")];
    assert_eq!(totals, ["$1\r\n1\r\n", "$1\r\n2\r\n"]);
}

#[tokio::test]
async fn connections_of_one_gateway_are_reset_and_new_ones_come_up() {
    let site = site();
    let (mut one, mut two) = (site.greeted(0).await, site.greeted(1).await);
    site.counter.reset_gateway(0);
    assert!(is_reset(&mut one).await);
    assert_eq!(ask(&mut two, &["PING"]).await, "+PONG\r\n");
    site.greeted(0).await;
}

#[tokio::test]
async fn a_stopped_counter_is_gone() {
    let site = site();
    let mut stream = site.greeted(0).await;
    site.counter.stop();
    assert!(is_reset(&mut stream).await);
    while TcpStream::connect(site.counter.addrs()[0]).await.is_ok() {}
}
