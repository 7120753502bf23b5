//! A bounded reader and writer of RESP2, the protocol of clients, hosts and the counter service.
//!
//! Only flat frames are decoded: the items of an array are not arrays. Neither nesting nor the counts and lengths that
//! a peer declares can therefore cost more memory or stack than the bytes it has sent. (The usual crate recurses into
//! nested arrays without a limit; a few kilobytes of `*1` overflow its stack.)
//!
//! [`ReadBuffer`] reads the input of a peer, bounds its memory and removes complete frames from it, and the `encode`
//! functions append to a buffer. [`ArraySkipper`] removes an array that is too long to be kept:
//!
//! ```
//! use bytes::BytesMut;
//! use resp::{encode_array_header, encode_bulk, Frame, ReadBuffer};
//!
//! let mut command = BytesMut::new();
//! encode_array_header(&mut command, 1);
//! encode_bulk(&mut command, b"PING");
//! let mut input = ReadBuffer::new();
//! input.extend_from_slice(&command);
//! let Ok(Some(Frame::Array(words))) = input.decode() else { panic!("a complete frame") };
//! assert_eq!(words, [Frame::Bulk("PING".into())]);
//! assert_eq!(input.decode().expect("no error"), None, "more bytes are needed");
//! ```
//!
//! `error` and `frame` define the types, `decode` and `encode` read and write frames, `read_buffer` holds input, and
//! `skip` discards arrays. [`fill`] and [`decode`] do the same for tools and tests that hold their input in a `BytesMut`.

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

mod decode;
mod encode;
mod error;
mod frame;
mod read_buffer;
mod skip;
#[cfg(test)]
mod tests;

pub use decode::{decode, fill};
pub use encode::{encode_array_header, encode_bulk, encode_bulk_header};
pub use error::RespError;
pub use frame::Frame;
pub use read_buffer::{discard, ReadBuffer, MAX_READ_BYTES};
pub use skip::ArraySkipper;

/// Maximum length of a value, in bytes.
pub const MAX_VALUE: usize = 64 * 1024;
/// Maximum length of a frame, in bytes: one value of the maximum length, and space for the other items.
pub const MAX_FRAME: usize = MAX_VALUE + 4 * 1024;
