//! A discovery agent that does what a test tells it.

use super::next;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;

/// Discovery: each watch goes to the test.
pub struct Discovery {
    pub addr: SocketAddr,
    watches: Receiver<Watch>,
}

pub struct Watch {
    pub path: String,
    stream: TcpStream,
}

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (tell, watches) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let mut head = BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok);
                let path = head.next().unwrap_or_default();
                head.find(|line| line.is_empty());
                if tell.send(Watch { path, stream }).is_err() {
                    return;
                }
            }
        });
        Discovery { addr, watches }
    }

    /// The next question, still without an answer.
    pub fn asked(&self) -> Watch {
        next(&self.watches, "a question")
    }

    /// Whether there is a question that was not asked for.
    pub fn was_asked(&self) -> bool {
        self.watches.try_recv().is_ok()
    }

    pub fn watch(&self) -> Watch {
        let mut watch = self.asked();
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch
    }
}

impl Watch {
    fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }
    /// Answers a question for the whole list.
    pub fn answer(mut self, list: &Value) {
        let body = list.to_string();
        self.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
    pub fn tell(&mut self, list: &Value) {
        assert!(self.try_tell(list), "the watch has ended");
    }
    /// Whether the watch is still open, as far as is known.
    pub fn try_tell(&mut self, list: &Value) -> bool {
        let line = format!("{list}\n");
        self.stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok()
    }
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
    /// Begins an answer, with this much of it.
    pub fn say(&mut self, text: &str) {
        self.write(text);
    }
    /// Closes with nothing left to linger for: the system resets the connection.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}
