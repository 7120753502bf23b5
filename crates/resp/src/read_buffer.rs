//! A buffer for the input of one peer, which allocates little more than the bytes that it holds.

use crate::decode::parse;
use crate::{Frame, RespError};
use bytes::Bytes;
use std::future::poll_fn;
use std::io;
use std::mem::{self, MaybeUninit};
use std::pin::Pin;
use std::task::{ready, Poll};
use tokio::io::{AsyncRead, ReadBuf};

/// Maximum number of bytes that [`ReadBuffer::fill`] reads at once.
pub const MAX_READ_BYTES: usize = 16 * 1024;
/// A growing buffer allocates this fraction (one in eight) more than it holds, so that few of the pieces in which a
/// frame arrives cause an allocation.
const SPARE_DIVISOR: usize = 8;
/// Minimum spare capacity of a buffer that grows, in bytes.
const MIN_SPARE_BYTES: usize = 512;
/// Allocations up to this size, in bytes, are kept until the buffer is empty.
const MIN_RELEASED_BYTES: usize = 4 * 1024;

/// Unprocessed input of one peer.
///
/// A buffer without input holds no memory, so that a connection at rest costs none. Otherwise the allocation is bounded
/// by the input: twice its length, and some kilobytes for short input. Frames that are removed are either copied or
/// take the allocation with them, so that neither a short frame nor the rest of the input keeps a long allocation alive.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the beginning of `bytes` that have been removed.
    start: usize,
}

impl ReadBuffer {
    /// Creates an empty buffer, without an allocation.
    pub fn new() -> ReadBuffer {
        ReadBuffer::default()
    }

    /// Returns the input.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Returns the length of the input, in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Returns whether there is no input.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the size of the buffer's allocation, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Removes all input, and releases its memory.
    pub fn clear(&mut self) {
        *self = ReadBuffer::default();
    }

    /// Appends input.
    pub fn extend_from_slice(&mut self, input: &[u8]) {
        self.reserve(input.len());
        self.bytes.extend_from_slice(input);
    }

    /// Reads the available bytes of a peer into the buffer, and returns their number; waits until there is at least one,
    /// without holding memory meanwhile. No input is lost if the future is dropped.
    ///
    /// # Errors
    /// [`RespError::Closed`] at the end of the stream, [`RespError::Io`] if reading fails.
    pub async fn fill<R: AsyncRead + Unpin>(&mut self, from: &mut R) -> Result<usize, RespError> {
        match read_available(from, |input| self.extend_from_slice(input)).await? {
            0 => Err(RespError::Closed),
            count => Ok(count),
        }
    }

    /// Removes the first complete frame and returns it; `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`RespError::Malformed`] or [`RespError::TooLong`]; the rest of the stream cannot be decoded after either.
    pub fn decode(&mut self) -> Result<Option<Frame>, RespError> {
        let Some((parsed, length)) = parse(self.as_slice())? else { return Ok(None) };
        let bytes = self.take(length);
        Ok(Some(parsed.into_frame(&bytes)))
    }

    /// Removes the first bytes.
    pub(crate) fn consume(&mut self, count: usize) {
        self.start += count;
        if self.is_empty() {
            self.clear();
        } else if self.allocated_bytes() > MIN_RELEASED_BYTES && self.allocated_bytes() > 2 * self.len() {
            // At least as many bytes have been removed as are copied.
            *self = ReadBuffer { bytes: self.as_slice().to_vec(), start: 0 };
        }
    }

    /// Removes the first bytes and returns them. They take the allocation with them if it is hardly larger than they
    /// are, and are copied otherwise.
    fn take(&mut self, count: usize) -> Bytes {
        if self.allocated_bytes() > count + spare_capacity(count) {
            let bytes = Bytes::copy_from_slice(&self.as_slice()[..count]);
            self.consume(count);
            return bytes;
        }
        let end = self.start + count;
        let rest = ReadBuffer { bytes: self.bytes[end..].to_vec(), start: 0 };
        let whole = mem::replace(self, rest);
        Bytes::from(whole.bytes).slice(whole.start..end)
    }

    /// Ensures that this many bytes can be appended without another allocation.
    fn reserve(&mut self, additional: usize) {
        if self.bytes.capacity() - self.bytes.len() >= additional {
            return;
        }
        self.bytes.drain(..mem::take(&mut self.start));
        let length = self.len();
        let needed = length + additional;
        // What arrives first is usually a complete frame.
        let spare = if length == 0 { 0 } else { spare_capacity(needed) };
        self.bytes.reserve_exact(additional + spare);
    }
}

/// Discards the available bytes of a peer; waits until there is at least one. Returns their number, which is 0 at the end
/// of the stream.
///
/// # Errors
/// Reading fails.
pub async fn discard<R: AsyncRead + Unpin>(from: &mut R) -> io::Result<usize> {
    read_available(from, |_| ()).await
}

/// Reads available bytes by way of the stack, so that waiting takes no memory, and that the length of the input is known
/// before it is allocated. Returns the number of bytes.
async fn read_available<R: AsyncRead + Unpin>(
    from: &mut R,
    mut receive: impl FnMut(&[u8]),
) -> io::Result<usize> {
    poll_fn(|context| {
        let mut storage = [const { MaybeUninit::<u8>::uninit() }; MAX_READ_BYTES];
        let mut read = ReadBuf::uninit(&mut storage);
        ready!(Pin::new(&mut *from).poll_read(context, &mut read))?;
        receive(read.filled());
        Poll::Ready(Ok(read.filled().len()))
    })
    .await
}

/// Returns how many bytes a buffer that grows to this length may allocate in addition.
fn spare_capacity(length: usize) -> usize {
    (length / SPARE_DIVISOR).max(MIN_SPARE_BYTES)
}
