//! A stream of bytes, cut into JSON documents: lists may come indented, over several lines and frames, and
//! several in one. Each byte is looked at once.

use crate::discovery::ListError;
use bytes::{Buf, BytesMut};

/// The longest document.
pub(crate) const MAX_DOCUMENT: usize = 1 << 20;

/// What stands next in the stream.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// White space between documents: whoever sends it is there.
    Blank,
    /// A whole document.
    Document(BytesMut),
}

/// Bytes that have come, up to one document that is not whole yet.
#[derive(Debug, Default)]
pub(crate) struct Documents {
    bytes: BytesMut,
    /// So many of them have been looked at.
    scanned: usize,
    /// Brackets that are open there.
    depth: usize,
    text: Text,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Text {
    #[default]
    Outside,
    Inside,
    /// Behind a backslash.
    Escaped,
}

impl Documents {
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// What has come whole.
    pub fn next(&mut self) -> Result<Option<Part>, ListError> {
        if self.scanned == 0 {
            let blank = self.bytes.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            self.bytes.advance(blank);
            match self.bytes.first() {
                _ if blank > 0 => return Ok(Some(Part::Blank)),
                None => return Ok(None),
                Some(b'{') => {}
                Some(_) => return Err(ListError::NoDocument),
            }
        }
        while let Some(byte) = self.bytes.get(self.scanned).copied() {
            self.scanned += 1;
            self.text = match (self.text, byte) {
                (Text::Outside, b'"') | (Text::Escaped, _) => Text::Inside,
                (Text::Inside, b'"') => Text::Outside,
                (Text::Inside, b'\\') => Text::Escaped,
                (text, _) => text,
            };
            match byte {
                b'{' | b'[' if self.text == Text::Outside => self.depth += 1,
                b'}' | b']' if self.text == Text::Outside => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                let document = self.bytes.split_to(std::mem::take(&mut self.scanned));
                return Ok(Some(Part::Document(document)));
            }
        }
        if self.bytes.len() > MAX_DOCUMENT {
            return Err(ListError::TooLong);
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests;
