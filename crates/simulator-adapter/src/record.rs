//! Reads the fields of one record at fixed positions.

use crate::error::WireError;
use policy::api::{HostId, Outcome};

/// One record of a frame. Positions of fields count from the start of the record, in bytes.
pub(crate) struct Record<'a> {
    frame: &'a [u8],
    start: usize,
    /// Position in the frame at which the variable parts begin, in bytes.
    tail: usize,
}

impl<'a> Record<'a> {
    /// Creates a record without variable parts.
    pub fn new(frame: &'a [u8], start: usize) -> Record<'a> {
        Record { frame, start, tail: frame.len() }
    }

    /// Creates a record whose variable parts are in the frame's tail, which begins at `tail`.
    pub fn with_tail(frame: &'a [u8], start: usize, tail: usize) -> Record<'a> {
        Record { frame, start, tail }
    }

    /// Returns the position of the record in its frame.
    pub fn start(&self) -> usize {
        self.start
    }

    fn bytes<const N: usize>(&self, at: usize) -> Result<[u8; N], WireError> {
        let start = self.start + at;
        let bytes = self.frame.get(start..start + N);
        bytes
            .and_then(|bytes| bytes.try_into().ok())
            .ok_or(WireError::Truncated { part: "record", at: start })
    }

    /// Reads a single byte.
    pub fn u8(&self, at: usize) -> Result<u8, WireError> {
        Ok(self.bytes::<1>(at)?[0])
    }

    /// Reads a little-endian number of 16 bits.
    pub fn u16(&self, at: usize) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.bytes(at)?))
    }

    /// Reads a little-endian number of 32 bits.
    pub fn u32(&self, at: usize) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.bytes(at)?))
    }

    /// Reads a little-endian number of 64 bits.
    pub fn u64(&self, at: usize) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.bytes(at)?))
    }

    /// Reads a little-endian floating-point number of 32 bits.
    pub fn f32(&self, at: usize) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_le_bytes(self.bytes(at)?)))
    }

    /// Reads a host: four bytes of address and two of port.
    pub fn host(&self, at: usize) -> Result<HostId, WireError> {
        let [a, b, c, d, e, f] = self.bytes::<6>(at)?;
        Ok(HostId(u64::from_le_bytes([a, b, c, d, e, f, 0, 0])))
    }

    /// Reads the outcome of an attempt, a health check or a call to the counter.
    pub fn outcome(&self, at: usize) -> Result<Outcome, WireError> {
        Ok(match self.u16(at)? {
            10 => Outcome::Ok,
            20 => Outcome::Error,
            30 => Outcome::Rejected,
            40 => Outcome::Timeout,
            50 => Outcome::ConnectFailed,
            60 => Outcome::ConnectionReset,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
            other => return Err(self.invalid("outcome", at, other.into())),
        })
    }

    /// Reads a variable part: the field at the position contains its offset in the tail and its length in items.
    pub fn variable_part(&self, at: usize, item_bytes: usize) -> Result<&'a [u8], WireError> {
        let offset = self.u32(at)? as usize;
        let length = (self.u32(at + 4)? as usize).saturating_mul(item_bytes);
        let start = self.tail.saturating_add(offset);
        let end = start.saturating_add(length);
        self.frame.get(start..end).ok_or(WireError::Truncated { part: "tail", at: self.frame.len() })
    }

    /// Returns the error for a field with an invalid value.
    pub fn invalid(&self, field: &'static str, at: usize, value: u64) -> WireError {
        WireError::Invalid { field, at: self.start + at, value }
    }
}
