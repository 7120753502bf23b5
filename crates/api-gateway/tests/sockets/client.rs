//! A client of the gateway.

use super::TIMEOUT;
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
    /// Writes to a connection that the gateway may have closed.
    pub fn write_ignoring_errors(&mut self, bytes: &[u8]) {
        let _ = self.stream.get_mut().write_all(bytes);
    }
    pub fn send_get(&mut self, id: u64) {
        self.send_command(&[
            "CALL.GET",
            CUSTOMER,
            &format!("{id:016x}"),
            "c=read,t=team,d=8500,units=2,spread=1,first=0,k=7",
        ]);
    }
    pub fn send_post(&mut self, id: u64, body: &str) {
        let id = format!("{id:016x}");
        self.send_command(&[
            "CALL.POST",
            CUSTOMER,
            &id,
            "c=order,t=team,d=8500,units=2,spread=1,first=0",
            body,
        ]);
    }
    pub fn send_command(&mut self, arguments: &[&str]) {
        self.write(&encode_command(arguments));
    }
    /// Returns the next line, or the value of a bulk string.
    pub fn read_answer(&mut self) -> String {
        self.try_read_answer().unwrap()
    }
    /// As [`Client::read_answer`], for a connection that may be broken.
    pub fn try_read_answer(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line)?;
        if let Some(length) = line.strip_prefix('$') {
            let mut value = vec![0; length.trim_end().parse::<usize>().unwrap() + 2];
            self.stream.read_exact(&mut value)?;
            return Ok(String::from_utf8(value).unwrap().trim_end().to_owned());
        }
        Ok(line.trim_end().to_owned())
    }
    /// Waits for further bytes, and returns whether the gateway has closed the connection instead.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        matches!(self.stream.read(&mut byte), Ok(0))
    }
    /// Waits until an answer has arrived, and leaves it unread.
    pub fn wait_for_answer(&self) {
        assert_eq!(self.stream.get_ref().peek(&mut [0]).unwrap(), 1);
    }
    /// Closes the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }
    /// Closes the connection, and waits until the gateway has closed it too.
    pub fn disconnect(mut self) {
        self.stream.get_mut().shutdown(Shutdown::Write).unwrap();
        assert!(self.is_closed());
    }
    pub fn wait_until_ready(&mut self) {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            self.send_command(&["PING"]);
            if self.read_answer() == "+PONG" {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the gateway did not become ready");
    }
}

/// The customer of all requests that do not name another one.
pub const CUSTOMER: &str = "00000000b4d65521";

/// Returns a command as a RESP array of bulk strings.
pub fn encode_command(arguments: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        bytes.extend(format!("${}\r\n{argument}\r\n", argument.len()).into_bytes());
    }
    bytes
}
