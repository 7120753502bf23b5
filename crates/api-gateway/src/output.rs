//! Writes to standard output and standard error, whose reader may close them at any time, and replaces
//! control characters in foreign text.

use anyhow::{Context as _, Result};
use config_language::Diagnostic;
use std::io::{ErrorKind, Write};
use std::path::Path;

/// Writes results to standard output. A reader that closes it early, such as `head`, is no error.
///
/// # Errors
/// The text cannot be written for another reason, such as a full disk.
pub fn print(text: &str) -> Result<()> {
    let mut stdout = std::io::stdout().lock();
    match stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error).context("cannot write the result"),
        _ => Ok(()),
    }
}

/// Writes a JSON value and a line end to standard output.
///
/// # Errors
/// As [`print()`].
pub fn print_json(value: &serde_json::Value) -> Result<()> {
    let text = serde_json::to_string_pretty(value).context("cannot write the result")?;
    print(&format!("{text}\n"))
}

/// Writes messages to standard error. A failure is ignored, since the exit status reports the error too.
pub fn print_error(text: &str) {
    let _ = std::io::stderr().lock().write_all(text.as_bytes());
}

/// Writes diagnostics to standard error, each with the line of the file that it refers to.
pub fn print_diagnostics(diagnostics: &[Diagnostic]) {
    let rendered: Vec<String> = diagnostics.iter().map(Diagnostic::rendered).collect();
    print_error(&rendered.join("\n"));
}

/// Returns a path as one line of text, with control characters replaced.
pub fn path_text(path: &Path) -> String {
    one_line(&path.to_string_lossy())
}

/// Returns a text with its control characters, such as line ends, replaced by question marks.
pub fn one_line(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { '?' } else { c }).collect()
}
