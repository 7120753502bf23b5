//! Hosts decision modules for the simulator: reads frames from standard input and writes replies to standard output.

use simulator_adapter::{Adapter, WireError, HEADER_BYTES};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

/// Size of the read buffer of standard input, in bytes.
const INPUT_BUFFER: usize = 1 << 20;
/// Position of the frame length in the header of a frame, in bytes.
const LENGTH_POSITION: usize = 8;

fn serve() -> Result<(), WireError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER, io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut adapter = Adapter::default();
    while let Some(frame) = read_frame(&mut input)? {
        output.write_all(&adapter.answer(&frame)?)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads one frame; `None` at the end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, WireError> {
    let mut frame = Vec::new();
    input.by_ref().take(HEADER_BYTES as u64).read_to_end(&mut frame)?;
    if frame.is_empty() {
        return Ok(None);
    }
    if frame.len() < HEADER_BYTES {
        return Err(WireError::Truncated { part: "frame header", at: frame.len() });
    }
    let length = [
        frame[LENGTH_POSITION],
        frame[LENGTH_POSITION + 1],
        frame[LENGTH_POSITION + 2],
        frame[LENGTH_POSITION + 3],
    ];
    let size = u32::from_le_bytes(length) as usize;
    if size < HEADER_BYTES {
        return Err(WireError::Invalid { field: "frame length", at: LENGTH_POSITION, value: size as u64 });
    }
    input.take((size - HEADER_BYTES) as u64).read_to_end(&mut frame)?;
    if frame.len() < size {
        return Err(WireError::Truncated { part: "frame", at: frame.len() });
    }
    Ok(Some(frame))
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
