//! Parses frames, and removes complete ones from a buffer.

use crate::{Frame, RespError, MAX_FRAME, MAX_VALUE};
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum length of a line, in bytes.
pub(crate) const MAX_LINE: usize = 1024;
/// Maximum number of items in an array.
const MAX_ITEMS: usize = 16;
/// Bytes of free capacity to read into.
const READ_CAPACITY: usize = 4 * 1024;
/// What follows the content of a bulk string.
pub(crate) const BULK_END: &[u8] = b"\r\n";
/// The length in the header of a null value or array.
const NULL_LENGTH: i64 = -1;

/// Reads the available bytes of a peer into the buffer; waits until there is at least one.
///
/// # Errors
/// [`RespError::Closed`] at the end of the stream, [`RespError::Io`] if reading fails.
pub async fn fill<R: AsyncRead + Unpin>(from: &mut R, buffer: &mut BytesMut) -> Result<(), RespError> {
    buffer.reserve(READ_CAPACITY);
    match from.read_buf(buffer).await? {
        0 => Err(RespError::Closed),
        _ => Ok(()),
    }
}

/// Removes the first complete frame from the buffer and returns it; `None` if more bytes are needed. The frame shares the
/// memory of the buffer, and keeps all of it: where memory is bounded, [`ReadBuffer`](crate::ReadBuffer) serves instead.
///
/// # Errors
/// [`RespError::Malformed`] or [`RespError::TooLong`]; the rest of the stream cannot be decoded after either.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, RespError> {
    let Some((parsed, length)) = parse(buffer)? else { return Ok(None) };
    Ok(Some(parsed.into_frame(&buffer.split_to(length).freeze())))
}

/// Parses the first complete frame, and returns it with its length in bytes; `None` if more bytes are needed.
pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(ParsedFrame, usize)>, RespError> {
    let mut scanner = Scanner::new(bytes, 0);
    let parsed = scanner.frame()?;
    Ok(parsed.map(|parsed| (parsed, scanner.position)))
}

/// A parsed frame whose contents are still in the buffer.
pub(crate) enum ParsedFrame {
    Item(Item),
    Array(Vec<Item>),
    NullArray,
}

impl ParsedFrame {
    pub(crate) fn into_frame(self, bytes: &Bytes) -> Frame {
        match self {
            ParsedFrame::Item(item) => item.to_frame(bytes),
            ParsedFrame::Array(items) => {
                Frame::Array(items.iter().map(|item| item.to_frame(bytes)).collect())
            }
            ParsedFrame::NullArray => Frame::Null,
        }
    }
}

#[derive(Clone, Copy)]
enum ItemKind {
    Simple,
    Error,
    Integer,
    Bulk,
    Null,
}

/// An item, with the position of its content in the buffer.
pub(crate) struct Item {
    kind: ItemKind,
    start: usize,
    end: usize,
}

impl Item {
    fn to_frame(&self, bytes: &Bytes) -> Frame {
        let content = || bytes.slice(self.start..self.end);
        match self.kind {
            ItemKind::Simple => Frame::Simple(content()),
            ItemKind::Error => Frame::Error(content()),
            ItemKind::Integer => Frame::Integer(content()),
            ItemKind::Bulk => Frame::Bulk(content()),
            ItemKind::Null => Frame::Null,
        }
    }
}

/// The header of an array.
pub(crate) enum ArrayHeader {
    Null,
    /// The number of items that follow.
    Items(usize),
}

/// The first line of an item.
pub(crate) enum ItemHeader {
    /// The item consists of this line only.
    Complete(Item),
    /// A bulk string of this length follows.
    Bulk(usize),
}

/// The position of a line in the buffer, without its terminator.
struct Line {
    start: usize,
    end: usize,
}

/// Parses the buffer without modifying it. Each method returns `None` if more bytes are needed.
pub(crate) struct Scanner<'a> {
    buffer: &'a [u8],
    /// Number of bytes of the frame that precede the buffer.
    offset: usize,
    position: usize,
}

impl Scanner<'_> {
    /// Starts at the beginning of the buffer, which `offset` bytes of the same frame precede.
    pub(crate) fn new(buffer: &[u8], offset: usize) -> Scanner<'_> {
        Scanner { buffer, offset, position: 0 }
    }

    /// Returns the number of bytes that have been parsed.
    pub(crate) fn position(&self) -> usize {
        self.position
    }

    fn frame(&mut self) -> Result<Option<ParsedFrame>, RespError> {
        if self.buffer.first() == Some(&b'*') {
            self.array()
        } else {
            Ok(self.item()?.map(ParsedFrame::Item))
        }
    }

    fn array(&mut self) -> Result<Option<ParsedFrame>, RespError> {
        let count = match self.array_header()? {
            None => return Ok(None),
            Some(ArrayHeader::Null) => return Ok(Some(ParsedFrame::NullArray)),
            Some(ArrayHeader::Items(count)) => count,
        };
        let mut items = Vec::with_capacity(count);
        for _ in 0..count {
            let Some(item) = self.item()? else { return Ok(None) };
            items.push(item);
        }
        Ok(Some(ParsedFrame::Array(items)))
    }

    /// Parses the header line of an array; it includes the byte of its frame type, which is not checked.
    pub(crate) fn array_header(&mut self) -> Result<Option<ArrayHeader>, RespError> {
        let Some(line) = self.line()? else { return Ok(None) };
        let count = match self.length_in(&line)? {
            NULL_LENGTH => return Ok(Some(ArrayHeader::Null)),
            count => usize::try_from(count).map_err(|_| RespError::Malformed("array length"))?,
        };
        if count > MAX_ITEMS {
            return Err(RespError::TooLong("array"));
        }
        Ok(Some(ArrayHeader::Items(count)))
    }

    fn item(&mut self) -> Result<Option<Item>, RespError> {
        match self.item_header()? {
            None => Ok(None),
            Some(ItemHeader::Complete(item)) => Ok(Some(item)),
            Some(ItemHeader::Bulk(length)) => self.bulk(length),
        }
    }

    /// Parses the first line of an item.
    pub(crate) fn item_header(&mut self) -> Result<Option<ItemHeader>, RespError> {
        let kind = match self.buffer.get(self.position) {
            None => return Ok(None),
            Some(b'+') => ItemKind::Simple,
            Some(b'-') => ItemKind::Error,
            Some(b':') => ItemKind::Integer,
            Some(b'$') => ItemKind::Bulk,
            Some(_) => return Err(RespError::Malformed("frame type")),
        };
        let Some(line) = self.line()? else { return Ok(None) };
        let header = match kind {
            ItemKind::Bulk => self.bulk_header(&line)?,
            _ => ItemHeader::Complete(Item { kind, start: line.start + 1, end: line.end }),
        };
        Ok(Some(header))
    }

    fn bulk_header(&self, line: &Line) -> Result<ItemHeader, RespError> {
        let length = match self.length_in(line)? {
            NULL_LENGTH => {
                let null = Item { kind: ItemKind::Null, start: line.end, end: line.end };
                return Ok(ItemHeader::Complete(null));
            }
            length => usize::try_from(length).map_err(|_| RespError::Malformed("bulk length"))?,
        };
        let end = (self.offset + self.position).saturating_add(length);
        if length > MAX_VALUE || end > MAX_FRAME {
            return Err(RespError::TooLong("value"));
        }
        Ok(ItemHeader::Bulk(length))
    }

    /// Parses the content of a bulk string.
    fn bulk(&mut self, length: usize) -> Result<Option<Item>, RespError> {
        let start = self.position;
        let end = start + length;
        match self.buffer.get(end..end + BULK_END.len()) {
            None => Ok(None),
            Some(BULK_END) => {
                self.position = end + BULK_END.len();
                Ok(Some(Item { kind: ItemKind::Bulk, start, end }))
            }
            Some(_) => Err(RespError::Malformed("bulk end")),
        }
    }

    /// Parses the next line; it includes the byte of its frame type.
    fn line(&mut self) -> Result<Option<Line>, RespError> {
        let rest = &self.buffer[self.position..];
        let Some(length) = rest.iter().take(MAX_LINE).position(|byte| *byte == b'\r') else {
            return if rest.len() < MAX_LINE { Ok(None) } else { Err(RespError::TooLong("line")) };
        };
        match rest.get(length + 1) {
            None => Ok(None),
            Some(b'\n') => {
                let line = Line { start: self.position, end: self.position + length };
                self.position = line.end + 2;
                Ok(Some(line))
            }
            Some(_) => Err(RespError::Malformed("line end")),
        }
    }

    /// Returns the length in a header line, which follows the byte of its frame type.
    fn length_in(&self, header: &Line) -> Result<i64, RespError> {
        let digits = &self.buffer[header.start + 1..header.end];
        let text = std::str::from_utf8(digits).ok().filter(|text| !text.starts_with('+'));
        text.and_then(|text| text.parse().ok()).ok_or(RespError::Malformed("length"))
    }
}
