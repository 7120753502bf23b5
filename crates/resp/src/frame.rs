//! The frames of the protocol.

use bytes::Bytes;

/// One frame. The items of an array are not arrays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// `+`: a status line.
    Simple(Bytes),
    /// `-`: an error line.
    Error(Bytes),
    /// `:`: the digits of a number as the peer wrote them.
    Integer(Bytes),
    /// `$`: a value of arbitrary bytes.
    Bulk(Bytes),
    /// `$-1` or `*-1`: a null value or array.
    Null,
    /// `*`: several frames of the other kinds.
    Array(Vec<Frame>),
}
