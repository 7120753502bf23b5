//! Skips an array for whose bytes there is no memory.

use crate::decode::{ArrayHeader, ItemHeader, Scanner, BULK_END};
use crate::{ReadBuffer, RespError};

/// What comes next in the array.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    ArrayHeader,
    /// The first line of the next item, or the end of the array.
    Item,
    /// The content of a bulk string, of which this many bytes have not arrived.
    Content(usize),
    ContentEnd,
}

/// Removes an array from a buffer while it arrives, without keeping its contents. It accepts exactly the arrays that
/// [`ReadBuffer::decode`] accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArraySkipper {
    next: Part,
    /// Number of items that have not been skipped completely.
    remaining_items: usize,
    skipped_bytes: usize,
}

impl Default for ArraySkipper {
    /// Starts before the first byte of an array.
    fn default() -> ArraySkipper {
        ArraySkipper { next: Part::ArrayHeader, remaining_items: 0, skipped_bytes: 0 }
    }
}

impl ArraySkipper {
    /// Removes the bytes of the array from the buffer. Returns whether the array is complete; what follows it stays in
    /// the buffer. Of an incomplete one, at most a part of a line stays.
    ///
    /// # Errors
    /// As [`ReadBuffer::decode`], and [`RespError::Malformed`] if the frame is not an array.
    pub fn skip(&mut self, buffer: &mut ReadBuffer) -> Result<bool, RespError> {
        while !self.is_complete() {
            if !self.skip_part(buffer)? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn is_complete(&self) -> bool {
        self.next == Part::Item && self.remaining_items == 0
    }

    /// Skips the next part. Returns false if more bytes are needed.
    fn skip_part(&mut self, buffer: &mut ReadBuffer) -> Result<bool, RespError> {
        match self.next {
            Part::ArrayHeader => self.skip_array_header(buffer),
            Part::Item => self.skip_item_header(buffer),
            Part::Content(remaining) => Ok(self.skip_content(buffer, remaining)),
            Part::ContentEnd => self.skip_content_end(buffer),
        }
    }

    fn skip_array_header(&mut self, buffer: &mut ReadBuffer) -> Result<bool, RespError> {
        if buffer.as_slice().first().is_some_and(|byte| *byte != b'*') {
            return Err(RespError::Malformed("array"));
        }
        let mut scanner = Scanner::new(buffer.as_slice(), self.skipped_bytes);
        let Some(header) = scanner.array_header()? else { return Ok(false) };
        let length = scanner.position();
        self.remaining_items = match header {
            ArrayHeader::Null => 0,
            ArrayHeader::Items(count) => count,
        };
        self.next = Part::Item;
        self.remove(buffer, length);
        Ok(true)
    }

    fn skip_item_header(&mut self, buffer: &mut ReadBuffer) -> Result<bool, RespError> {
        let mut scanner = Scanner::new(buffer.as_slice(), self.skipped_bytes);
        let Some(header) = scanner.item_header()? else { return Ok(false) };
        let length = scanner.position();
        match header {
            ItemHeader::Complete(_) => self.remaining_items -= 1,
            ItemHeader::Bulk(content) => self.next = Part::Content(content),
        }
        self.remove(buffer, length);
        Ok(true)
    }

    fn skip_content(&mut self, buffer: &mut ReadBuffer, remaining: usize) -> bool {
        let arrived = remaining.min(buffer.len());
        self.remove(buffer, arrived);
        let is_complete = arrived == remaining;
        self.next = if is_complete { Part::ContentEnd } else { Part::Content(remaining - arrived) };
        is_complete
    }

    fn skip_content_end(&mut self, buffer: &mut ReadBuffer) -> Result<bool, RespError> {
        match buffer.as_slice().get(..BULK_END.len()) {
            None => return Ok(false),
            Some(BULK_END) => {}
            Some(_) => return Err(RespError::Malformed("bulk end")),
        }
        self.remove(buffer, BULK_END.len());
        self.remaining_items -= 1;
        self.next = Part::Item;
        Ok(true)
    }

    fn remove(&mut self, buffer: &mut ReadBuffer, count: usize) {
        buffer.consume(count);
        self.skipped_bytes += count;
    }
}
