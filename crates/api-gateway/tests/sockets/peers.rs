//! Fake hosts or counters whose answers each test controls.

use super::receive;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// An event at a peer that speaks RESP.
enum PeerEvent {
    Command(ReceivedCommand),
    Ended(ConnectionId),
}

/// The number of a peer, and the number of a connection to it, in the order in which they were accepted.
pub type ConnectionId = (usize, u32);

/// A completely received command, and its connection.
pub struct ReceivedCommand {
    pub connection: ConnectionId,
    pub arguments: Vec<String>,
    stream: TcpStream,
}

impl ReceivedCommand {
    pub fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }
    /// Writes to a connection that the gateway may have closed.
    pub fn write_ignoring_errors(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes());
    }
    pub fn serve(&mut self, value: &str) {
        self.write(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
    }
    /// Answers on a connection that the gateway may have closed.
    pub fn serve_ignoring_errors(&mut self, value: &str) {
        self.write_ignoring_errors(&format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()));
    }
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
    /// Closes the connection, with a reset right after it if it is still open.
    pub fn close_with_reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Fake hosts or counters that pass all events to the test.
pub struct Peers {
    pub addrs: Vec<SocketAddr>,
    events: Receiver<PeerEvent>,
}

impl Peers {
    pub fn start(count: usize) -> Self {
        Self::listen((0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()))
    }

    /// Starts one peer on an existing listener.
    pub fn on_listener(listener: TcpListener) -> Self {
        Self::listen([listener].into_iter())
    }

    fn listen(listeners: impl Iterator<Item = TcpListener>) -> Self {
        let (sender, events) = channel();
        let start = |(peer, listener): (usize, TcpListener)| {
            let addr = listener.local_addr().unwrap();
            let sender = sender.clone();
            thread::spawn(move || {
                for (number, stream) in (0..).zip(listener.incoming()) {
                    let (Ok(stream), sender) = (stream, sender.clone()) else { return };
                    thread::spawn(move || read_commands((peer, number), stream, &sender));
                }
            });
            addr
        };
        Peers { addrs: listeners.enumerate().map(start).collect(), events }
    }

    pub fn next_command(&self) -> ReceivedCommand {
        loop {
            if let PeerEvent::Command(command) = receive(&self.events, "a command") {
                return command;
            }
        }
    }

    /// Waits for the end of a connection, with no command on any connection before it.
    pub fn wait_for_end(&self, connection: ConnectionId) {
        loop {
            match receive(&self.events, "the end of a connection") {
                PeerEvent::Ended(ended) if ended == connection => return,
                PeerEvent::Ended(_) => {}
                PeerEvent::Command(command) => {
                    panic!("a command instead of the end: {:?}", command.arguments)
                }
            }
        }
    }

    /// Waits for the ends of all these connections in any order, with no command before the last one.
    pub fn wait_for_ends(&self, mut connections: BTreeSet<ConnectionId>) {
        while !connections.is_empty() {
            match receive(&self.events, "the ends of connections") {
                PeerEvent::Ended(connection) => drop(connections.remove(&connection)),
                PeerEvent::Command(command) => panic!("a command instead of an end: {:?}", command.arguments),
            }
        }
    }

    /// Waits for the end of a connection, and skips all other events.
    pub fn skip_until_end(&self, connection: ConnectionId) {
        while !matches!(receive(&self.events, "the end of a connection"), PeerEvent::Ended(ended) if ended == connection)
        {
        }
    }

    /// Answers all further commands with this value, and returns their count.
    pub fn serve_all(self, value: String) -> Arc<AtomicUsize> {
        let served = Arc::new(AtomicUsize::new(0));
        let count = served.clone();
        thread::spawn(move || {
            for event in self.events {
                if let PeerEvent::Command(mut command) = event {
                    count.fetch_add(1, Ordering::Relaxed);
                    command.write_ignoring_errors(&format!(
                        "*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n",
                        value.len()
                    ));
                }
            }
        });
        served
    }

    /// Returns the number of commands that have arrived and that the test has not taken.
    pub fn count_unread_commands(&self) -> usize {
        self.events.try_iter().filter(|event| matches!(event, PeerEvent::Command(_))).count()
    }
}

fn read_commands(connection: ConnectionId, stream: TcpStream, sender: &Sender<PeerEvent>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(arguments) = read_command(&mut reader) {
        let stream = stream.try_clone().unwrap();
        if sender.send(PeerEvent::Command(ReceivedCommand { connection, arguments, stream })).is_err() {
            return;
        }
    }
    let _ = sender.send(PeerEvent::Ended(connection));
}

fn read_command(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let number = |reader: &mut BufReader<TcpStream>| -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        line.get(1..)?.trim_end().parse().ok()
    };
    let count = number(reader)?;
    let mut arguments = Vec::new();
    for _ in 0..count {
        let mut value = vec![0; number(reader)? + 2];
        reader.read_exact(&mut value).ok()?;
        value.truncate(value.len() - 2);
        arguments.push(String::from_utf8(value).ok()?);
    }
    Some(arguments)
}
