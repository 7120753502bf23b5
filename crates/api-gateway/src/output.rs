//! Standard output and standard error, of which a reader may go away at any time.

use anyhow::{Context as _, Result};
use std::io::{ErrorKind, Write};
use std::path::Path;

/// Writes results. A reader that has enough and goes away, such as `head`, is no failure.
///
/// # Errors
/// What else keeps the text from being written, such as a full disk.
pub fn print(text: &str) -> Result<()> {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error).context("cannot write the result"),
        _ => Ok(()),
    }
}

/// Writes messages. Where nobody takes them there is nobody left to tell, and the exit status still says it.
pub fn complain(text: &str) {
    let _ = std::io::stderr().lock().write_all(text.as_bytes());
}

/// A path as one line of text, whatever the file is called.
pub fn path_text(path: &Path) -> String {
    one_line(&path.to_string_lossy())
}

/// A text of others as one line.
pub fn one_line(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { '?' } else { c }).collect()
}
