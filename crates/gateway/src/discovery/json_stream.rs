//! Splits a stream of bytes into JSON documents. A document may be indented, arrive in several fragments, or share a
//! fragment with others. Each byte is scanned only once.

use crate::discovery::ListError;
use bytes::{Buf, BytesMut};

/// Maximum length of a document, in bytes.
pub(crate) const MAX_DOCUMENT: usize = 1 << 20;

/// An item of the stream.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StreamItem {
    /// White space between documents, which serves as a heartbeat.
    Whitespace,
    /// A complete document.
    Document(BytesMut),
}

/// A stream of JSON documents that are separated by optional white space.
#[derive(Debug, Default)]
pub(crate) struct JsonStream {
    /// Received bytes that have not been returned as items yet.
    bytes: BytesMut,
    /// Number of these bytes that have been scanned.
    scanned: usize,
    /// Number of brackets that are open after the scanned bytes.
    depth: usize,
    string: StringState,
}

/// Position relative to string literals, in which brackets are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StringState {
    #[default]
    Outside,
    Inside,
    /// After a backslash.
    Escaped,
}

impl StringState {
    fn after(self, byte: u8) -> StringState {
        match (self, byte) {
            (StringState::Outside, b'"') | (StringState::Escaped, _) => StringState::Inside,
            (StringState::Inside, b'"') => StringState::Outside,
            (StringState::Inside, b'\\') => StringState::Escaped,
            (state, _) => state,
        }
    }
}

impl JsonStream {
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete item; `None` if more bytes are needed.
    pub fn next(&mut self) -> Result<Option<StreamItem>, ListError> {
        if self.scanned == 0 {
            if self.skip_whitespace() {
                return Ok(Some(StreamItem::Whitespace));
            }
            match self.bytes.first() {
                None => return Ok(None),
                Some(b'{') => {}
                Some(_) => return Err(ListError::NoDocument),
            }
        }
        if let Some(document) = self.scan() {
            return Ok(Some(StreamItem::Document(document)));
        }
        if self.bytes.len() > MAX_DOCUMENT {
            return Err(ListError::TooLong);
        }
        Ok(None)
    }

    /// Removes leading white space. Returns whether there was any.
    fn skip_whitespace(&mut self) -> bool {
        let count = self.bytes.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        self.bytes.advance(count);
        count > 0
    }

    /// Scans new bytes up to the end of a document, and returns the document if it is complete.
    fn scan(&mut self) -> Option<BytesMut> {
        while let Some(byte) = self.bytes.get(self.scanned).copied() {
            self.scanned += 1;
            self.string = self.string.after(byte);
            match byte {
                b'{' | b'[' if self.string == StringState::Outside => self.depth += 1,
                b'}' | b']' if self.string == StringState::Outside => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                let length = std::mem::take(&mut self.scanned);
                return Some(self.bytes.split_to(length));
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
