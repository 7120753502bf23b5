//! Finds message boundaries in a stream, for counting only: it keeps a constant amount of state for any
//! input. Input that is not RESP2 is counted by lines.

use crate::set::Framing;

/// A message boundary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Edge {
    /// The next byte is the first of a message.
    Start,
    /// The previous byte was the last of a message.
    End,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Between two messages.
    Between,
    /// At the first byte of an element.
    Element,
    /// In a line with the length of an array or a string.
    Length { array: bool, number: u64, negative: bool },
    /// In a line.
    Line,
    /// In a string and the line end after it.
    Text { left: u64 },
}

/// Counts the messages of one direction of a connection.
#[derive(Clone, Debug)]
pub struct Splitter {
    messages: Framing,
    state: State,
    /// Remaining elements of the message, including the current one.
    elements: u64,
}

impl Splitter {
    /// Creates a splitter at the start of a stream.
    pub fn new(messages: Framing) -> Splitter {
        Splitter { messages, state: State::Between, elements: 0 }
    }

    /// Consumes bytes up to the next boundary. Returns their number and the boundary, if there is one.
    pub fn next(&mut self, bytes: &[u8]) -> (usize, Option<Edge>) {
        if self.messages == Framing::None || bytes.is_empty() {
            return (bytes.len(), None);
        }
        if let State::Between = self.state {
            self.elements = 1;
            self.state = if self.messages == Framing::Lines { State::Line } else { State::Element };
            return (0, Some(Edge::Start));
        }
        let mut at = 0;
        while at < bytes.len() {
            let (taken, whole) = self.element(&bytes[at..]);
            at += taken;
            if whole && self.elements == 0 {
                self.state = State::Between;
                return (at, Some(Edge::End));
            }
        }
        (at, None)
    }

    /// Consumes at least one byte. Returns the number of bytes and whether an element ends with them.
    fn element(&mut self, bytes: &[u8]) -> (usize, bool) {
        match self.state {
            State::Between | State::Element => {
                self.state = match bytes[0] {
                    b'*' => State::Length { array: true, number: 0, negative: false },
                    b'$' => State::Length { array: false, number: 0, negative: false },
                    // An empty line ends here.
                    b'\n' => return (1, self.ended(0)),
                    _ => State::Line,
                };
                (1, false)
            }
            State::Line => match memchr::memchr(b'\n', bytes) {
                Some(end) => (end + 1, self.ended(0)),
                None => (bytes.len(), false),
            },
            State::Length { .. } => self.length(bytes),
            State::Text { left } => {
                let taken = left.min(bytes.len() as u64);
                self.state = State::Text { left: left - taken };
                (taken as usize, left == taken && self.ended(0))
            }
        }
    }

    fn length(&mut self, bytes: &[u8]) -> (usize, bool) {
        let State::Length { array, mut number, mut negative } = self.state else { return (0, false) };
        for (at, byte) in bytes.iter().enumerate() {
            match byte {
                b'0'..=b'9' => number = number.saturating_mul(10).saturating_add(u64::from(byte - b'0')),
                b'-' => negative = true,
                b'\n' if negative => return (at + 1, self.ended(0)),
                b'\n' if array => return (at + 1, self.ended(number)),
                b'\n' => {
                    self.state = State::Text { left: number.saturating_add(2) };
                    return (at + 1, false);
                }
                _ => {}
            }
        }
        self.state = State::Length { array, number, negative };
        (bytes.len(), false)
    }

    /// Ends an element that contains `holds` nested elements, which are still to come.
    fn ended(&mut self, holds: u64) -> bool {
        self.elements = (self.elements - 1).saturating_add(holds);
        self.state = State::Element;
        true
    }
}
