//! A client of the gateway.

use super::LONG;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// A connection of a client.
pub struct Client {
    pub(super) stream: BufReader<TcpStream>,
}

impl Client {
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).unwrap();
    }
    /// Writes to a connection that may be gone.
    pub fn write_late(&mut self, bytes: &[u8]) {
        let _ = self.stream.get_mut().write_all(bytes);
    }
    pub fn get(&mut self, id: u64) {
        self.call(&[
            "CALL.GET",
            CUSTOMER,
            &format!("{id:016x}"),
            "c=read,t=team,d=8500,units=2,spread=1,first=0,k=7",
        ]);
    }
    pub fn post(&mut self, id: u64, body: &str) {
        let id = format!("{id:016x}");
        self.call(&["CALL.POST", CUSTOMER, &id, "c=order,t=team,d=8500,units=2,spread=1,first=0", body]);
    }
    pub fn call(&mut self, words: &[&str]) {
        self.write(&command(words));
    }
    /// The next line; for a bulk string, its value.
    pub fn answer(&mut self) -> String {
        self.try_answer().unwrap()
    }
    /// The same of a connection that may be broken.
    pub fn try_answer(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line)?;
        if let Some(length) = line.strip_prefix('$') {
            let mut value = vec![0; length.trim_end().parse::<usize>().unwrap() + 2];
            self.stream.read_exact(&mut value)?;
            return Ok(String::from_utf8(value).unwrap().trim_end().to_owned());
        }
        Ok(line.trim_end().to_owned())
    }
    /// Whether the gateway has ended the connection with nothing more to read.
    pub fn ended(&mut self) -> bool {
        let mut byte = [0];
        matches!(self.stream.read(&mut byte), Ok(0))
    }
    /// Waits until an answer has come, and leaves it unread.
    pub fn until_answered(&self) {
        assert_eq!(self.stream.get_ref().peek(&mut [0]).unwrap(), 1);
    }
    /// Goes by a reset.
    pub fn reset(self) {
        socket2::SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }
    /// Goes, and waits until the gateway has taken note.
    pub fn leave(mut self) {
        self.stream.get_mut().shutdown(Shutdown::Write).unwrap();
        assert!(self.ended());
    }
    pub fn until_ready(&mut self) {
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            self.call(&["PING"]);
            if self.answer() == "+PONG" {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the gateway did not get ready");
    }
}

pub const CUSTOMER: &str = "00000000b4d65521";

pub fn command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n{word}\r\n", word.len()).into_bytes());
    }
    bytes
}
