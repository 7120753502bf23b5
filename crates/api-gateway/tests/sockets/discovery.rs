//! A fake discovery agent whose answers each test controls.

use super::receive;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;

/// A discovery agent that passes each HTTP request to the test.
pub struct Discovery {
    pub addr: SocketAddr,
    requests: Receiver<Watch>,
}

/// An HTTP request for the endpoint list or for a watch, and its connection.
pub struct Watch {
    pub path: String,
    stream: TcpStream,
}

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (sender, requests) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let mut head = BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok);
                let path = head.next().unwrap_or_default();
                head.find(|line| line.is_empty());
                if sender.send(Watch { path, stream }).is_err() {
                    return;
                }
            }
        });
        Discovery { addr, requests }
    }

    /// Waits for the next request, and leaves it unanswered.
    pub fn next_request(&self) -> Watch {
        receive(&self.requests, "a request to discovery")
    }

    /// Returns whether there is a request that the test has not taken.
    pub fn has_request(&self) -> bool {
        self.requests.try_recv().is_ok()
    }

    /// Waits for the next request, and answers it with the head of a watch.
    pub fn accept_watch(&self) -> Watch {
        let mut watch = self.next_request();
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch
    }
}

impl Watch {
    fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }
    /// Answers a request for the complete list.
    pub fn respond(mut self, list: &Value) {
        let body = list.to_string();
        self.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
    pub fn send_list(&mut self, list: &Value) {
        assert!(self.try_send_list(list), "the watch has ended");
    }
    /// Sends a list, and returns whether the connection accepted it. A closed watch may be noticed only later.
    pub fn try_send_list(&mut self, list: &Value) -> bool {
        let line = format!("{list}\n");
        self.stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok()
    }
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
    /// Writes a part of an answer.
    pub fn write_part(&mut self, text: &str) {
        self.write(text);
    }
    /// Disables lingering, so that the system resets the connection when it is dropped.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}
