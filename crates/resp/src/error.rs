//! Errors of reading frames from a peer.

use std::io;

/// The reason why no frame could be read from a peer.
#[derive(Debug, thiserror::Error)]
pub enum RespError {
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The peer has closed the connection.
    #[error("connection closed")]
    Closed,
    /// The named part of a frame cannot be decoded.
    #[error("malformed {0}")]
    Malformed(&'static str),
    /// The named part of a frame exceeds its maximum length.
    #[error("too long a {0}")]
    TooLong(&'static str),
}

impl RespError {
    /// Returns whether the peer violated the protocol, in contrast to a connection that failed or closed.
    pub fn is_protocol_violation(&self) -> bool {
        matches!(self, RespError::Malformed(_) | RespError::TooLong(_))
    }
}
