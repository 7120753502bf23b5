//! What passed on the wires: one hash over all of it, and each of it for those who want to see.

use bytes::Bytes;
use runtime::Time;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

/// Something that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// When.
    pub at: Time,
    /// Number of the connection, in the order of their asking, from 0.
    pub connection: u64,
    /// From whom.
    pub from: Peer,
    /// To whom.
    pub to: Peer,
    /// What.
    pub what: What,
}

/// An end of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of its machine.
    pub machine: Arc<str>,
    /// Its address.
    pub addr: SocketAddr,
}

/// What arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A connection is asked for.
    Syn,
    /// It is granted...
    SynAck,
    /// ... and taken.
    Ack,
    /// It is refused.
    Refused,
    /// Bytes.
    Data(Bytes),
    /// The sending has ended.
    Fin,
    /// The connection is broken.
    Reset,
}

impl What {
    /// Bytes of the sender that it carries.
    pub(crate) fn bytes(&self) -> &[u8] {
        match self {
            What::Data(bytes) => bytes,
            _ => &[],
        }
    }

    /// Stands in digests and is never changed.
    fn code(&self) -> u8 {
        match self {
            What::Syn => 1,
            What::SynAck => 2,
            What::Ack => 3,
            What::Refused => 4,
            What::Data(_) => 5,
            What::Fin => 6,
            What::Reset => 7,
        }
    }
}

impl fmt::Display for Packet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seconds, rest) = (self.at / 1_000_000_000, self.at % 1_000_000_000);
        write!(f, "{seconds}.{rest:09} #{} {} > {} ", self.connection, self.from, self.to)?;
        match &self.what {
            What::Data(bytes) => write!(f, "{} bytes", bytes.len()),
            What::Syn => f.write_str("syn"),
            What::SynAck => f.write_str("syn-ack"),
            What::Ack => f.write_str("ack"),
            What::Refused => f.write_str("refused"),
            What::Fin => f.write_str("end"),
            What::Reset => f.write_str("reset"),
        }
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.machine, self.addr)
    }
}

/// SipHash-1-3 with 128 bits and a key of zeros, over one record after another: code (1 byte), 0 if it came
/// from the one who asked for the connection and else 1 (1), time (8), connection (8), length (8), bytes;
/// numbers with their lowest byte first.
pub(crate) struct Digest(SipHasher13);

impl Digest {
    pub(crate) fn new() -> Digest {
        Digest(SipHasher13::new())
    }

    pub(crate) fn add(&mut self, at: Time, connection: u64, from: u8, what: &What) {
        let bytes = what.bytes();
        let mut head = [0; 26];
        head[0] = what.code();
        head[1] = from;
        head[2..10].copy_from_slice(&at.to_le_bytes());
        head[10..18].copy_from_slice(&connection.to_le_bytes());
        head[18..].copy_from_slice(&(bytes.len() as u64).to_le_bytes());
        self.0.write(&head);
        self.0.write(bytes);
    }

    pub(crate) fn value(&self) -> u128 {
        self.0.finish128().as_u128()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_hash_is_the_stated_one() {
        // Written down once: digests of different releases compare.
        let mut digest = Digest::new();
        digest.add(5, 1, 0, &What::Data(Bytes::from_static(b"hello")));
        digest.add(7, 1, 1, &What::Reset);
        assert_eq!(format!("{:032x}", digest.value()), "6e8e5cd3a14177949c8dcd5550c16df1");
    }

    #[test]
    fn a_packet_reads_as_a_line() {
        let peer = |machine: &str, addr: &str| Peer { machine: machine.into(), addr: addr.parse().unwrap() };
        let packet = Packet {
            at: 1_000_002_000,
            connection: 3,
            from: peer("a", "10.0.0.1:7"),
            to: peer("b", "10.0.0.2:8"),
            what: What::Data(Bytes::from_static(b"xy")),
        };
        assert_eq!(packet.to_string(), "1.000002000 #3 a 10.0.0.1:7 > b 10.0.0.2:8 2 bytes");
    }
}
