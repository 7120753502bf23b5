//! Clients that continue to send requests while the real program shuts down, on existing and on new connections, until
//! it has ended.
#[expect(dead_code, reason = "other tests use the rest")]
mod sockets;

use serde_json::Value;
use sockets::*;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Interval between two commands of a client, and between two new connections.
const SEND_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of runs of a case until one ends with all requests answered.
const MAX_RUNS: usize = 10;
/// Length of values that do not fit into the socket buffers of a client that does not read, in bytes.
const LONG_VALUE: usize = 60_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum HostBehavior {
    Serve,
    /// Answers after half of the deadline.
    Slow,
    Hang,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    deadline: Duration,
    hosts: HostBehavior,
    /// Whether one client never reads.
    has_non_reading_client: bool,
}

/// The end of a connection as command by its client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Closed,
    Reset,
}

/// The requests and answers of a connection.
struct Session {
    ids: Vec<u64>,
    answers: Vec<String>,
    end: End,
}

/// Returns a value that begins with the id of its request.
fn value(id: &str, case: Case) -> String {
    format!("{id}{}", if case.has_non_reading_client { "x".repeat(LONG_VALUE) } else { String::new() })
}

/// Reads answers until the end of the connection, each truncated to the length of an id.
fn read_all(stream: TcpStream) -> (Vec<String>, End) {
    let (mut reader, mut answers) = (BufReader::new(stream), Vec::new());
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) => return (answers, End::Closed),
            Ok(_) => {}
            Err(error) => {
                let is_reset = [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe].contains(&error.kind());
                assert!(is_reset, "neither an answer nor the end of the connection: {error}");
                return (answers, End::Reset);
            }
        }
        if let Some(length) = line.strip_prefix('$') {
            let mut text = vec![0; length.trim_end().parse::<usize>().unwrap() + 2];
            if reader.read_exact(&mut text).is_err() {
                return (answers, End::Reset);
            }
            line = String::from_utf8_lossy(&text[..16]).into_owned();
        }
        answers.push(line.trim_end().to_owned());
    }
}

/// Starts a client that sends commands at a fixed interval, whatever it receives, until its connection ends. Returns
/// `None` if the connection is refused.
fn run_client(to: SocketAddr, case: Case, next: Arc<AtomicU64>) -> JoinHandle<Option<Session>> {
    thread::spawn(move || {
        let mut stream = TcpStream::connect(to).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        let own = stream.try_clone().unwrap();
        let reader = thread::spawn(move || read_all(own));
        let list = format!("c=order,t=team,d={},units=1,spread=1,first=0", case.deadline.as_millis());
        let mut ids = Vec::new();
        while !reader.is_finished() {
            let id = next.fetch_add(1, Ordering::Relaxed);
            ids.push(id);
            let call = encode_command(&["CALL.POST", CUSTOMER, &format!("{id:016x}"), &list, "body"]);
            if stream.write_all(&call).is_err() {
                break;
            }
            thread::sleep(SEND_INTERVAL);
        }
        let (answers, end) = reader.join().unwrap();
        Some(Session { ids, answers, end })
    })
}

/// Answers commands as the case says, and returns the ids of all received requests.
fn serve(hosts: Peers, case: Case) -> Arc<Mutex<BTreeSet<u64>>> {
    let received: Arc<Mutex<BTreeSet<u64>>> = Arc::default();
    let recorded = received.clone();
    thread::spawn(move || {
        let mut hanging = Vec::new();
        loop {
            let mut command = hosts.next_command();
            recorded.lock().unwrap().insert(u64::from_str_radix(&command.arguments[2], 16).unwrap());
            let value = value(&command.arguments[2], case);
            match case.hosts {
                HostBehavior::Serve => command.serve_ignoring_errors(&value),
                HostBehavior::Slow => drop(thread::spawn(move || {
                    thread::sleep(case.deadline / 2);
                    command.serve_ignoring_errors(&value);
                })),
                HostBehavior::Hang => hanging.push(command),
            }
        }
    });
    received
}

impl Case {
    fn start(self) -> (Program, Arc<Mutex<BTreeSet<u64>>>, Discovery, Watch) {
        let mut settings = settings();
        for class in settings["services"].as_array_mut().unwrap() {
            let nanos = self.deadline.as_nanos() as u64;
            (class["aim"], class["hard-limit"]) = (nanos.into(), nanos.into());
        }
        let (hosts, discovery) = (Peers::start(4), Discovery::start());
        let line = |(i, addr): (usize, &SocketAddr)| host_entry(&format!("s-{i}"), *addr, "in_service", 0);
        let lines: Vec<Value> = hosts.addrs.iter().enumerate().map(line).collect();
        let gateway = Program::start(settings, &lines, discovery.addr, "127.0.0.1:9".parse().unwrap());
        let mut watch = discovery.accept_watch();
        watch.send_list(&endpoint_list(1, false, &[]));
        gateway.client().wait_until_ready();
        (gateway, serve(hosts, self), discovery, watch)
    }

    /// Runs the case, and returns whether the gateway answered all requests before it ended. It may not on a machine so
    /// busy that the process is not scheduled for a tenth of a second.
    fn run(self) -> bool {
        let (mut gateway, received, _discovery, _watch) = self.start();
        let (ids, addr) = (Arc::new(AtomicU64::new(1)), gateway.addr);
        let mut non_reading = self.has_non_reading_client.then(|| gateway.non_reading_client());
        non_reading
            .iter_mut()
            .for_each(|client| (0..12).for_each(|n| client.send_post(1_000_000 + n, "body")));
        let mut clients: Vec<_> = (0..3).map(|_| run_client(addr, self, ids.clone())).collect();
        // New clients connect until the program has ended.
        let has_ended = Arc::new(AtomicBool::new(false));
        let (ended, next) = (has_ended.clone(), ids.clone());
        let connector = thread::spawn(move || {
            let mut clients = Vec::new();
            while !ended.load(Ordering::Relaxed) {
                clients.push(run_client(addr, self, next.clone()));
                thread::sleep(SEND_INTERVAL);
            }
            clients
        });
        thread::sleep(Duration::from_millis(200));
        let start = Instant::now();
        gateway.terminate();
        // Connections close after 0.45 s, and no commands are accepted after 0.5 s.
        for (after, signal) in [(100, "TERM"), (200, "HUP"), (470, "HUP"), (550, "TERM")] {
            thread::sleep(Duration::from_millis(after).saturating_sub(start.elapsed()));
            gateway.try_signal(signal);
        }
        assert!(gateway.wait_for_exit().success(), "{self:?}");
        assert!(start.elapsed() < self.deadline + Duration::from_secs(5), "{self:?}: {:?}", start.elapsed());
        has_ended.store(true, Ordering::Relaxed);
        clients.extend(connector.join().unwrap());
        drop(non_reading);
        if gateway.log().iter().any(|line| line.contains("shutdown timed out with requests in flight")) {
            return false;
        }
        let sessions: Vec<Session> =
            clients.into_iter().filter_map(|client| client.join().unwrap()).collect();
        let received = received.lock().unwrap();
        sessions.iter().for_each(|session| self.check(session, &received));
        let served =
            sessions.iter().flat_map(|session| &session.answers).filter(|text| text.len() == 16).count();
        assert_eq!(served > 0, self.hosts != HostBehavior::Hang, "{self:?}: {served}");
        true
    }

    /// Checks that each forwarded request got its answer, in the order of the requests and before a close without a
    /// reset.
    fn check(self, session: &Session, received: &BTreeSet<u64>) {
        let Session { ids, answers, end } = session;
        assert!(*end == End::Closed || answers.is_empty(), "a reset after {answers:?}: {self:?}");
        for (id, answer) in ids.iter().zip(answers) {
            let is_expected =
                *answer == format!("{id:016x}") || answer.starts_with("-BUSY") || answer == "-ERR failed";
            assert!(is_expected, "{answer} for {id}: {self:?}");
        }
        let unanswered: Vec<&u64> =
            ids.iter().skip(answers.len()).filter(|id| received.contains(id)).collect();
        assert!(unanswered.is_empty(), "{unanswered:?} were forwarded, and have no answer: {self:?}");
    }
}

fn run_all(deadline: Duration, has_non_reading_client: bool) {
    let start = |hosts: HostBehavior| {
        let case = Case {
            deadline,
            hosts,
            has_non_reading_client: has_non_reading_client && hosts == HostBehavior::Serve,
        };
        thread::spawn(move || {
            assert!((0..MAX_RUNS).any(|_| case.run()), "ends with requests unanswered: {case:?}")
        })
    };
    let runs = [HostBehavior::Serve, HostBehavior::Slow, HostBehavior::Hang].map(start);
    runs.into_iter().for_each(|run| run.join().unwrap());
}

#[test]
fn answers_requests_forwarded_during_shutdown_with_a_short_deadline() {
    run_all(Duration::from_millis(100), false);
}

#[test]
fn answers_requests_forwarded_during_shutdown_with_a_long_deadline() {
    run_all(Duration::from_secs(3), true);
}
