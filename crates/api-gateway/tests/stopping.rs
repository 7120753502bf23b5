//! Clients that go on as if nothing were while the real program stops: on connections that they have and on new ones, up
//! to the end.
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

/// Time from one command, and from one new connection, to the next.
const EVERY: Duration = Duration::from_millis(40);
/// Plays of a case, until one ends with all answered.
const PLAYS: usize = 10;
/// What an answer takes to be more than the systems hold for a client that does not read.
const LONG_VALUE: usize = 60_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Hosts {
    Serve,
    /// Half of the time that there is.
    Slow,
    Hang,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    deadline: Duration,
    hosts: Hosts,
    /// One client takes nothing.
    deaf: bool,
}

/// How a connection ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Plain,
    Reset,
}

/// What passed on a connection.
struct Talk {
    ids: Vec<u64>,
    heard: Vec<String>,
    end: End,
}

/// A value names its id at its begin.
fn value(id: &str, case: Case) -> String {
    format!("{id}{}", if case.deaf { "x".repeat(LONG_VALUE) } else { String::new() })
}

/// Answers up to the end of the connection, each cut to an id's length.
fn read_all(stream: TcpStream) -> (Vec<String>, End) {
    let (mut reader, mut heard) = (BufReader::new(stream), Vec::new());
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) => return (heard, End::Plain),
            Ok(_) => {}
            Err(error) => {
                let is_reset = [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe].contains(&error.kind());
                assert!(is_reset, "neither an answer nor an end: {error}");
                return (heard, End::Reset);
            }
        }
        if let Some(length) = line.strip_prefix('$') {
            let mut text = vec![0; length.trim_end().parse::<usize>().unwrap() + 2];
            if reader.read_exact(&mut text).is_err() {
                return (heard, End::Reset);
            }
            line = String::from_utf8_lossy(&text[..16]).into_owned();
        }
        heard.push(line.trim_end().to_owned());
    }
}

/// A client that sends a command every so often, whatever it hears, until its connection ends. `None`: it is refused.
fn talk(to: SocketAddr, case: Case, next: Arc<AtomicU64>) -> JoinHandle<Option<Talk>> {
    thread::spawn(move || {
        let mut stream = TcpStream::connect(to).ok()?;
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.set_nodelay(true).unwrap();
        let own = stream.try_clone().unwrap();
        let reading = thread::spawn(move || read_all(own));
        let list = format!("c=order,t=team,d={},units=1,spread=1,first=0", case.deadline.as_millis());
        let mut ids = Vec::new();
        while !reading.is_finished() {
            let id = next.fetch_add(1, Ordering::Relaxed);
            ids.push(id);
            let call = command(&["CALL.POST", CUSTOMER, &format!("{id:016x}"), &list, "body"]);
            if stream.write_all(&call).is_err() {
                break;
            }
            thread::sleep(EVERY);
        }
        let (heard, end) = reading.join().unwrap();
        Some(Talk { ids, heard, end })
    })
}

/// Answers commands in their manner, and notes their ids.
fn serve(hosts: Peers, case: Case) -> Arc<Mutex<BTreeSet<u64>>> {
    let received: Arc<Mutex<BTreeSet<u64>>> = Arc::default();
    let noted = received.clone();
    thread::spawn(move || {
        let mut hanging = Vec::new();
        loop {
            let mut seen = hosts.command();
            noted.lock().unwrap().insert(u64::from_str_radix(&seen.words[2], 16).unwrap());
            let value = value(&seen.words[2], case);
            match case.hosts {
                Hosts::Serve => seen.serve_late(&value),
                Hosts::Slow => drop(thread::spawn(move || {
                    thread::sleep(case.deadline / 2);
                    seen.serve_late(&value);
                })),
                Hosts::Hang => hanging.push(seen),
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
        let line = |(i, addr): (usize, &SocketAddr)| host_line(&format!("s-{i}"), *addr, "in_service", 0);
        let lines: Vec<Value> = hosts.addrs.iter().enumerate().map(line).collect();
        let gateway = Program::start(settings, &lines, discovery.addr, "127.0.0.1:9".parse().unwrap());
        let mut watch = discovery.watch();
        watch.tell(&list(1, false, &[]));
        gateway.client().until_ready();
        (gateway, serve(hosts, self), discovery, watch)
    }

    /// Whether it ended with all answered: on a machine so busy that the process stood still for a tenth of a second,
    /// it may not have.
    fn play(self) -> bool {
        let (mut gateway, received, _discovery, _watch) = self.start();
        let (ids, addr) = (Arc::new(AtomicU64::new(1)), gateway.addr);
        let mut deaf = self.deaf.then(|| gateway.deaf_client());
        deaf.iter_mut().for_each(|deaf| (0..12).for_each(|n| deaf.post(1_000_000 + n, "body")));
        let mut talks: Vec<_> = (0..3).map(|_| talk(addr, self, ids.clone())).collect();
        // New ones come all the while, up to the end.
        let has_ended = Arc::new(AtomicBool::new(false));
        let (ended, next) = (has_ended.clone(), ids.clone());
        let coming = thread::spawn(move || {
            let mut talks = Vec::new();
            while !ended.load(Ordering::Relaxed) {
                talks.push(talk(addr, self, next.clone()));
                thread::sleep(EVERY);
            }
            talks
        });
        thread::sleep(Duration::from_millis(200));
        let begun = Instant::now();
        gateway.terminate();
        // Connections close after 0.45 s, and no commands are taken after 0.5 s.
        for (after, signal) in [(100, "TERM"), (200, "HUP"), (470, "HUP"), (550, "TERM")] {
            thread::sleep(Duration::from_millis(after).saturating_sub(begun.elapsed()));
            gateway.try_signal(signal);
        }
        assert!(gateway.exit().success(), "{self:?}");
        assert!(begun.elapsed() < self.deadline + Duration::from_secs(5), "{self:?}: {:?}", begun.elapsed());
        has_ended.store(true, Ordering::Relaxed);
        talks.extend(coming.join().unwrap());
        drop(deaf);
        if gateway.log().iter().any(|line| line.contains("shutdown timed out with requests in flight")) {
            return false;
        }
        let talks: Vec<Talk> = talks.into_iter().filter_map(|talk| talk.join().unwrap()).collect();
        let received = received.lock().unwrap();
        talks.iter().for_each(|talk| self.check(talk, &received));
        let served = talks.iter().flat_map(|talk| &talk.heard).filter(|text| text.len() == 16).count();
        assert_eq!(served > 0, self.hosts != Hosts::Hang, "{self:?}: {served}");
        true
    }

    /// Each command that went on to a host has its answer, in its place and before an end that is no reset.
    fn check(self, talk: &Talk, received: &BTreeSet<u64>) {
        let Talk { ids, heard, end } = talk;
        assert!(*end == End::Plain || heard.is_empty(), "a reset behind {heard:?}: {self:?}");
        for (id, answer) in ids.iter().zip(heard) {
            let is_right =
                *answer == format!("{id:016x}") || answer.starts_with("-BUSY") || answer == "-ERR failed";
            assert!(is_right, "{answer} for {id}: {self:?}");
        }
        let without: Vec<&u64> = ids.iter().skip(heard.len()).filter(|id| received.contains(id)).collect();
        assert!(without.is_empty(), "{without:?} were sent on, and have no answer: {self:?}");
    }
}

fn play_all(deadline: Duration, deaf: bool) {
    let play = |hosts: Hosts| {
        let case = Case { deadline, hosts, deaf: deaf && hosts == Hosts::Serve };
        thread::spawn(move || {
            assert!((0..PLAYS).any(|_| case.play()), "ends with requests unanswered: {case:?}")
        })
    };
    let plays = [Hosts::Serve, Hosts::Slow, Hosts::Hang].map(play);
    plays.into_iter().for_each(|play| play.join().unwrap());
}

#[test]
fn what_is_sent_on_during_a_stop_is_answered_before_its_end_where_time_is_short() {
    play_all(Duration::from_millis(100), false);
}

#[test]
fn what_is_sent_on_during_a_stop_is_answered_before_its_end_where_time_is_long() {
    play_all(Duration::from_secs(3), true);
}
