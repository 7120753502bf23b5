//! Appends frames to a buffer.

use bytes::{BufMut, BytesMut};

/// Appends the header line of an array of `count` items.
pub fn encode_array_header(out: &mut BytesMut, count: usize) {
    encode_header(out, b'*', count);
}

/// Appends the header line of a bulk string of `length` bytes.
pub fn encode_bulk_header(out: &mut BytesMut, length: usize) {
    encode_header(out, b'$', length);
}

/// Appends a complete bulk string.
pub fn encode_bulk(out: &mut BytesMut, value: &[u8]) {
    encode_bulk_header(out, value.len());
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

fn encode_header(out: &mut BytesMut, frame_type: u8, length: usize) {
    out.put_u8(frame_type);
    out.put_slice(length.to_string().as_bytes());
    out.put_slice(b"\r\n");
}
