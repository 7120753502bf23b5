//! RESP2, bounded: flat frames only, so neither nesting, counts nor lengths that a peer claims can cost
//! more than the bytes it has sent. (The usual crate recurses into nested arrays without a bound, and a
//! few kilobytes of `*1` overflow its stack.) Long values are slices of the read buffer, not copies.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// The longest value.
pub const MAX_VALUE: usize = 64 * 1024;
/// The longest frame: a value, and room for the rest.
pub const MAX_FRAME: usize = MAX_VALUE + 4 * 1024;
const MAX_LINE: usize = 1024;
const MAX_ITEMS: usize = 16;
const READ: usize = 4 * 1024;
const SMALL: usize = 1024;

/// What was wrong with the bytes of a peer.
#[derive(Debug, thiserror::Error)]
pub enum RespError {
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The peer has ended the connection.
    #[error("connection closed")]
    Closed,
    /// This part cannot be read.
    #[error("malformed {0}")]
    Malformed(&'static str),
    /// This part is beyond its bound.
    #[error("too long a {0}")]
    TooLong(&'static str),
}

impl RespError {
    /// Whether the peer said what the protocol does not have, rather than nothing more.
    pub fn is_nonsense(&self) -> bool {
        matches!(self, RespError::Malformed(_) | RespError::TooLong(_))
    }
}

/// One frame; arrays hold no arrays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// `+`: a status line.
    Simple(Bytes),
    /// `-`: an error line.
    Error(Bytes),
    /// `:`: a number, as it was written.
    Integer(Bytes),
    /// `$`: a value.
    Bulk(Bytes),
    /// A missing value or array.
    Null,
    /// `*`: several of the others.
    Array(Vec<Frame>),
}

#[derive(Clone, Copy)]
enum Kind {
    Simple,
    Error,
    Integer,
    Bulk,
    Null,
}

struct Item {
    kind: Kind,
    start: usize,
    end: usize,
}

/// Takes the first whole frame off `buf`; `None`: more bytes are needed.
pub fn decode(buf: &mut BytesMut) -> Result<Option<Frame>, RespError> {
    let mut scan = Scan { buf, at: 0 };
    if scan.buf.first() != Some(&b'*') {
        let Some(item) = scan.item()? else { return Ok(None) };
        let whole = scan.at;
        return Ok(Some(cut(&take(buf, whole), &item)));
    }
    let Some((start, end)) = scan.line()? else { return Ok(None) };
    let count = match number(&scan.buf[start + 1..end])? {
        -1 => None,
        n => Some(usize::try_from(n).map_err(|_| RespError::Malformed("array length"))?),
    };
    if count.is_some_and(|n| n > MAX_ITEMS) {
        return Err(RespError::TooLong("array"));
    }
    let mut items = Vec::with_capacity(count.unwrap_or(0));
    for _ in 0..count.unwrap_or(0) {
        let Some(item) = scan.item()? else { return Ok(None) };
        items.push(item);
    }
    let whole = scan.at;
    let bytes = take(buf, whole);
    Ok(Some(match count {
        None => Frame::Null,
        Some(_) => Frame::Array(items.iter().map(|item| cut(&bytes, item)).collect()),
    }))
}

/// The first bytes of `buf`. A slice keeps all of the buffer: few bytes of a large one are copied.
fn take(buf: &mut BytesMut, count: usize) -> Bytes {
    if count >= SMALL {
        return buf.split_to(count).freeze();
    }
    let bytes = Bytes::copy_from_slice(&buf[..count]);
    buf.advance(count);
    if buf.is_empty() && buf.capacity() > 4 * READ {
        *buf = BytesMut::new();
    }
    bytes
}

fn cut(bytes: &Bytes, item: &Item) -> Frame {
    let part = || bytes.slice(item.start..item.end);
    match item.kind {
        Kind::Simple => Frame::Simple(part()),
        Kind::Error => Frame::Error(part()),
        Kind::Integer => Frame::Integer(part()),
        Kind::Bulk => Frame::Bulk(part()),
        Kind::Null => Frame::Null,
    }
}

struct Scan<'a> {
    buf: &'a [u8],
    at: usize,
}

impl Scan<'_> {
    /// The next line without its end, type byte included.
    fn line(&mut self) -> Result<Option<(usize, usize)>, RespError> {
        let rest = &self.buf[self.at..];
        let Some(cr) = rest.iter().take(MAX_LINE).position(|b| *b == b'\r') else {
            return if rest.len() < MAX_LINE { Ok(None) } else { Err(RespError::TooLong("line")) };
        };
        match rest.get(cr + 1) {
            None => Ok(None),
            Some(b'\n') => {
                let line = (self.at, self.at + cr);
                self.at += cr + 2;
                Ok(Some(line))
            }
            Some(_) => Err(RespError::Malformed("line end")),
        }
    }

    fn item(&mut self) -> Result<Option<Item>, RespError> {
        let kind = match self.buf.get(self.at) {
            None => return Ok(None),
            Some(b'+') => Kind::Simple,
            Some(b'-') => Kind::Error,
            Some(b':') => Kind::Integer,
            Some(b'$') => Kind::Bulk,
            Some(_) => return Err(RespError::Malformed("frame type")),
        };
        let Some((start, end)) = self.line()? else { return Ok(None) };
        if !matches!(kind, Kind::Bulk) {
            return Ok(Some(Item { kind, start: start + 1, end }));
        }
        let length = number(&self.buf[start + 1..end])?;
        if length == -1 {
            return Ok(Some(Item { kind: Kind::Null, start: end, end }));
        }
        let length = usize::try_from(length).map_err(|_| RespError::Malformed("bulk length"))?;
        let (start, end) = (self.at, self.at.saturating_add(length));
        if length > MAX_VALUE || end > MAX_FRAME {
            return Err(RespError::TooLong("value"));
        }
        match self.buf.get(end..end + 2) {
            None => Ok(None),
            Some(b"\r\n") => {
                self.at = end + 2;
                Ok(Some(Item { kind, start, end }))
            }
            Some(_) => Err(RespError::Malformed("bulk end")),
        }
    }
}

fn number(digits: &[u8]) -> Result<i64, RespError> {
    let text = std::str::from_utf8(digits).ok().filter(|t| !t.starts_with('+'));
    text.and_then(|t| t.parse().ok()).ok_or(RespError::Malformed("length"))
}

/// Reads what is there into `buf`.
pub async fn fill<R: AsyncRead + Unpin>(from: &mut R, buf: &mut BytesMut) -> Result<(), RespError> {
    buf.reserve(READ);
    match from.read_buf(buf).await? {
        0 => Err(RespError::Closed),
        _ => Ok(()),
    }
}

/// The line before a bulk string or an array.
pub fn put_header(out: &mut BytesMut, kind: u8, length: usize) {
    out.put_u8(kind);
    out.put_slice(length.to_string().as_bytes());
    out.put_slice(b"\r\n");
}

/// A whole bulk string.
pub fn put_bulk(out: &mut BytesMut, value: &[u8]) {
    put_header(out, b'$', value.len());
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngSeed};

    fn bulk(text: &[u8]) -> Frame {
        Frame::Bulk(Bytes::copy_from_slice(text))
    }

    #[test]
    fn frames_of_every_kind() {
        let mut buf = BytesMut::from(
            &b"+OK\r\n-BUSY 5\r\n:7\r\n$2\r\nhi\r\n$-1\r\n*2\r\n$0\r\n\r\n$-1\r\n*-1\r\n*0\r\n"[..],
        );
        let text = Bytes::from_static;
        for wanted in [
            Frame::Simple(text(b"OK")),
            Frame::Error(text(b"BUSY 5")),
            Frame::Integer(text(b"7")),
            bulk(b"hi"),
            Frame::Null,
            Frame::Array(vec![bulk(b""), Frame::Null]),
            Frame::Null,
            Frame::Array(vec![]),
        ] {
            assert_eq!(decode(&mut buf).unwrap(), Some(wanted));
        }
        assert!(buf.is_empty());
    }

    #[test]
    fn what_a_peer_claims_is_bounded() {
        let long = format!("+{}", "x".repeat(MAX_LINE));
        let nested = "*1\r\n".repeat(20_000);
        let many_values = format!("*2\r\n$65536\r\n{}\r\n$65536\r\n", "x".repeat(MAX_VALUE));
        for text in ["$65537\r\n", "*17\r\n", "$-2\r\n", "$+1\r\n", "*1e3\r\n", &long, &nested, &many_values]
        {
            assert!(decode(&mut BytesMut::from(text)).is_err(), "{}", &text[..text.len().min(20)]);
        }
    }

    proptest! {
        #![proptest_config(Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

        #[test]
        fn a_command_reads_alike_however_it_is_cut(
            words in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..6),
            cut in 0usize..2000,
        ) {
            let mut text = BytesMut::new();
            put_header(&mut text, b'*', words.len());
            words.iter().for_each(|word| put_bulk(&mut text, word));
            let cut = cut.min(text.len() - 1);
            let mut buf = BytesMut::from(&text[..cut]);
            prop_assert_eq!(decode(&mut buf).unwrap(), None);
            buf.extend_from_slice(&text[cut..]);
            let wanted = Frame::Array(words.iter().map(|word| bulk(word)).collect());
            prop_assert_eq!(decode(&mut buf).unwrap(), Some(wanted));
        }

        #[test]
        fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let mut buf = BytesMut::from(&bytes[..]);
            while let Ok(Some(_)) = decode(&mut buf) {}
        }
    }
}
