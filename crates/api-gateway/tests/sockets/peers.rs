//! Hosts or counters that do what a test tells them.

use super::next;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What a peer that speaks RESP saw.
enum Saw {
    Command(Seen),
    Ended(Conn),
}

/// Number of a peer, and of a connection to it in the order of coming.
pub type Conn = (usize, u32);

/// A command that has come whole, and the connection that it came on.
pub struct Seen {
    pub conn: Conn,
    pub words: Vec<String>,
    stream: TcpStream,
}

impl Seen {
    pub fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }
    /// Writes to a connection that may be gone.
    pub fn write_late(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes());
    }
    pub fn serve(&mut self, value: &str) {
        self.write(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
    }
    /// Serves on a connection that may be gone.
    pub fn serve_late(&mut self, value: &str) {
        self.write_late(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
    }
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
    /// Ends the connection, with a reset right behind; one that is gone takes none.
    pub fn break_off(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Hosts or counters: what comes to any of them goes to the test.
pub struct Peers {
    pub addrs: Vec<SocketAddr>,
    saw: Receiver<Saw>,
}

impl Peers {
    pub fn start(count: usize) -> Self {
        Self::listen((0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()))
    }

    /// One that takes over a listener.
    pub fn behind(listener: TcpListener) -> Self {
        Self::listen([listener].into_iter())
    }

    fn listen(listeners: impl Iterator<Item = TcpListener>) -> Self {
        let (tell, saw) = channel();
        let start = |(peer, listener): (usize, TcpListener)| {
            let addr = listener.local_addr().unwrap();
            let tell = tell.clone();
            thread::spawn(move || {
                for (number, stream) in (0..).zip(listener.incoming()) {
                    let (Ok(stream), tell) = (stream, tell.clone()) else { return };
                    thread::spawn(move || read_commands((peer, number), stream, &tell));
                }
            });
            addr
        };
        Peers { addrs: listeners.enumerate().map(start).collect(), saw }
    }

    pub fn command(&self) -> Seen {
        loop {
            if let Saw::Command(seen) = next(&self.saw, "a command") {
                return seen;
            }
        }
    }

    /// Waits for the end of a connection on which nothing more comes.
    pub fn end(&self, conn: Conn) {
        loop {
            match next(&self.saw, "the end of a connection") {
                Saw::Ended(ended) if ended == conn => return,
                Saw::Ended(_) => {}
                Saw::Command(seen) => panic!("a command in place of the end: {:?}", seen.words),
            }
        }
    }

    /// Waits for the ends of all these connections, in any order, with no command meanwhile.
    pub fn all_end(&self, mut conns: BTreeSet<Conn>) {
        while !conns.is_empty() {
            match next(&self.saw, "the ends of connections") {
                Saw::Ended(conn) => drop(conns.remove(&conn)),
                Saw::Command(seen) => panic!("a command in place of an end: {:?}", seen.words),
            }
        }
    }

    /// Waits for the end of a connection, whatever comes on others.
    pub fn skip_to_end(&self, conn: Conn) {
        while !matches!(next(&self.saw, "the end of a connection"), Saw::Ended(ended) if ended == conn) {}
    }

    /// Serves all commands that come, from now on, and counts them.
    pub fn serve_all(self, value: String) -> Arc<AtomicUsize> {
        let served = Arc::new(AtomicUsize::new(0));
        let count = served.clone();
        thread::spawn(move || {
            for saw in self.saw {
                if let Saw::Command(mut seen) = saw {
                    count.fetch_add(1, Ordering::Relaxed);
                    seen.write_late(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
                }
            }
        });
        served
    }

    /// Commands that have come and were not asked for.
    pub fn others(&self) -> usize {
        self.saw.try_iter().filter(|saw| matches!(saw, Saw::Command(_))).count()
    }
}

fn read_commands(conn: Conn, stream: TcpStream, tell: &Sender<Saw>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(words) = read_command(&mut reader) {
        let stream = stream.try_clone().unwrap();
        if tell.send(Saw::Command(Seen { conn, words, stream })).is_err() {
            return;
        }
    }
    let _ = tell.send(Saw::Ended(conn));
}

fn read_command(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let number = |reader: &mut BufReader<TcpStream>| -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        line.get(1..)?.trim_end().parse().ok()
    };
    let count = number(reader)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut value = vec![0; number(reader)? + 2];
        reader.read_exact(&mut value).ok()?;
        value.truncate(value.len() - 2);
        words.push(String::from_utf8(value).ok()?);
    }
    Some(words)
}
