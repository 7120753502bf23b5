//! `config fmt`: writes files in the one way in which all are written.

use super::rendered;
use super::replace::replace;
use crate::output::{complain, path_text, print};
use anyhow::Result;
use clap::error::ErrorKind;
use clap::{Args, Command};
use config_language::loader::{Fs, LoadError, Loader, Memory, MOST_BYTES};
use config_language::{format, load, Diagnostic};
use std::io::Read;
use std::path::{Path, PathBuf};

/// The words of `config fmt`.
#[derive(Args, Debug)]
#[command(after_help = EXIT_CODES)]
pub struct Words {
    /// Files to rewrite; `-` alone takes standard input to standard output
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Change nothing, name the files that would be rewritten, and end with 1 if there are any
    #[arg(long, conflicts_with = "stdout")]
    check: bool,
    /// Print what would be written, and change nothing
    #[arg(long)]
    stdout: bool,
}

const EXIT_CODES: &str = "\
Files are rewritten whole or not at all, and named if they changed. One that cannot be read is left as it is.
Only the files named are formatted, not those that they include.
Exit status: 0 done; 1 a file has errors, or with --check differs; 2 wrong usage.";

/// What stands for standard input, and its name in messages.
const STDIN: (&str, &str) = ("-", "<stdin>");

/// Formats each file; whether all is well. One that cannot be formatted does not keep the others from it.
///
/// # Errors
/// The result cannot be written to standard output.
pub fn run(words: &Words) -> Result<bool> {
    let reads_stdin = words.files.iter().any(|file| file == Path::new(STDIN.0));
    if reads_stdin && words.files.len() > 1 {
        let reason = "`-` stands alone: standard input goes to standard output";
        let mut usage = Words::augment_args(Command::new("fmt").bin_name("api-gateway config fmt"));
        usage.error(ErrorKind::ArgumentConflict, reason).exit();
    }
    let mut is_well = true;
    for file in &words.files {
        match formatted(file) {
            Ok(text) => is_well &= put(words, file, &text)?,
            Err(Failure::Text(diagnostic)) => {
                complain(&rendered(&[*diagnostic]));
                is_well = false;
            }
            Err(Failure::File(reason)) => {
                complain(&format!("api-gateway: {}: cannot be read: {reason}\n", shown(file)));
                is_well = false;
            }
        }
    }
    Ok(is_well)
}

/// A file before and after.
struct Formatted {
    before: String,
    after: String,
}

/// Why a file cannot be formatted.
enum Failure {
    /// What stands in it.
    Text(Box<Diagnostic>),
    /// The file.
    File(LoadError),
}

fn formatted(file: &Path) -> Result<Formatted, Failure> {
    let bytes = if file == Path::new(STDIN.0) { stdin() } else { Fs.read(file) }.map_err(Failure::File)?;
    let name = shown(file);
    let before = text(&name, bytes)?;
    let after = format(&before, &name).map_err(Failure::Text)?;
    Ok(Formatted { before, after })
}

/// Standard input, bounded as files are.
fn stdin() -> Result<Vec<u8>, LoadError> {
    let mut bytes = Vec::new();
    let bounded = std::io::stdin().lock().take(MOST_BYTES as u64 + 1).read_to_end(&mut bytes);
    bounded.map_err(|error| LoadError::Other(error.to_string()))?;
    if bytes.len() > MOST_BYTES {
        return Err(LoadError::TooLarge);
    }
    Ok(bytes)
}

/// The text, or the message with the place of the byte that is none.
fn text(name: &str, bytes: Vec<u8>) -> Result<String, Failure> {
    String::from_utf8(bytes).map_err(|error| {
        let files = Memory::default().with(name, error.into_bytes());
        let mut found = load(Path::new(name), &files, None).diagnostics.into_iter();
        match found.next() {
            Some(diagnostic) => Failure::Text(Box::new(diagnostic)),
            None => Failure::File(LoadError::Other("it is not UTF-8".into())),
        }
    })
}

/// Puts it where it belongs; whether all is well.
fn put(words: &Words, file: &Path, text: &Formatted) -> Result<bool> {
    let differs = text.before != text.after;
    if words.check {
        if differs {
            print(&format!("{}\n", shown(file)))?;
        }
        return Ok(!differs);
    }
    if words.stdout || file == Path::new(STDIN.0) {
        print(&text.after)?;
    } else if differs {
        if let Err(error) = replace(file, text.after.as_bytes()) {
            complain(&format!("api-gateway: {}: cannot be rewritten: {error:#}\n", shown(file)));
            return Ok(false);
        }
        print(&format!("{}\n", shown(file)))?;
    }
    Ok(true)
}

fn shown(file: &Path) -> String {
    if file == Path::new(STDIN.0) {
        return STDIN.1.into();
    }
    path_text(file)
}
