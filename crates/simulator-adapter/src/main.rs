//! Hosts decision modules on the simulator's wire: standard input to standard output.
use simulator_adapter::{Adapter, WireError};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

fn serve() -> Result<(), WireError> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut adapter = Adapter::default();
    while let Some(frame) = read_frame(&mut input)? {
        output.write_all(&adapter.answer(&frame)?)?;
        output.flush()?;
    }
    Ok(())
}

fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, WireError> {
    let mut frame = Vec::new();
    input.by_ref().take(16).read_to_end(&mut frame)?;
    if frame.is_empty() {
        return Ok(None);
    }
    if frame.len() < 16 {
        return Err(WireError::Truncated { what: "batch header", at: frame.len() });
    }
    let size = u32::from_le_bytes([frame[8], frame[9], frame[10], frame[11]]) as usize;
    if size < 16 {
        return Err(WireError::Invalid { what: "frame length", at: 8, value: size as u64 });
    }
    input.take(size as u64 - 16).read_to_end(&mut frame)?;
    if frame.len() < size {
        return Err(WireError::Truncated { what: "batch", at: frame.len() });
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
