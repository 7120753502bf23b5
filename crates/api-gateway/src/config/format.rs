//! `config fmt`: rewrites files in the language's standard format.

use super::replace::replace;
use crate::output::{path_text, print, print_diagnostics, print_error};
use anyhow::Result;
use clap::error::ErrorKind;
use clap::{Args, Command};
use config_language::loader::{Fs, LoadError, Loader, Memory, MOST_BYTES};
use config_language::{format, load, Diagnostic};
use std::io::Read;
use std::path::{Path, PathBuf};

/// The arguments of `config fmt`.
#[derive(Args, Debug)]
#[command(after_help = EXIT_CODES)]
pub struct Arguments {
    /// Files to rewrite; `-` as the only one formats standard input to standard output
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// List the files that would be rewritten, without changing them, and exit with 1 if there are any
    #[arg(long, conflicts_with = "stdout")]
    check: bool,
    /// Print the formatted text, without changing any file
    #[arg(long)]
    stdout: bool,
}

const EXIT_CODES: &str = "\
Files are rewritten atomically, and listed if they changed. A file that cannot be read is left as it is.
Only the given files are formatted, not those that they include.
Exit status: 0 done; 1 a file has errors, or with --check differs; 2 wrong usage.";

/// Argument that denotes standard input.
const STDIN_ARGUMENT: &str = "-";
/// Name of standard input in messages.
const STDIN_NAME: &str = "<stdin>";

/// The text of a file before and after formatting.
struct Formatted {
    before: String,
    after: String,
}

/// Reason why a file cannot be formatted.
enum FormatError {
    /// Its text has an error.
    InvalidText(Box<Diagnostic>),
    /// It cannot be read.
    Unreadable(LoadError),
}

/// Formats each file, and returns whether the exit status is 0. A file that cannot be formatted does not affect the
/// others.
///
/// # Errors
/// Standard output cannot be written.
pub fn run(arguments: &Arguments) -> Result<bool> {
    reject_stdin_beside_files(&arguments.files);
    let mut is_success = true;
    for file in &arguments.files {
        match format_file(file) {
            Ok(text) => is_success &= write_result(arguments, file, &text)?,
            Err(error) => {
                print_format_error(file, &error);
                is_success = false;
            }
        }
    }
    Ok(is_success)
}

/// Ends the program with a usage error if standard input is not the only file.
fn reject_stdin_beside_files(files: &[PathBuf]) {
    let reads_stdin = files.iter().any(|file| is_stdin(file));
    if reads_stdin && files.len() > 1 {
        let reason = "`-` must be the only file: standard input is formatted to standard output";
        let mut usage = Arguments::augment_args(Command::new("fmt").bin_name("api-gateway config fmt"));
        usage.error(ErrorKind::ArgumentConflict, reason).exit();
    }
}

fn print_format_error(file: &Path, error: &FormatError) {
    match error {
        FormatError::InvalidText(diagnostic) => print_diagnostics(std::slice::from_ref(diagnostic)),
        FormatError::Unreadable(reason) => {
            print_error(&format!("api-gateway: {}: cannot be read: {reason}\n", display_name(file)));
        }
    }
}

fn format_file(file: &Path) -> Result<Formatted, FormatError> {
    let bytes = if is_stdin(file) { read_stdin() } else { Fs.read(file) };
    let name = display_name(file);
    let before = decode(&name, bytes.map_err(FormatError::Unreadable)?)?;
    let after = format(&before, &name).map_err(FormatError::InvalidText)?;
    Ok(Formatted { before, after })
}

/// Reads standard input, up to the size limit of files.
fn read_stdin() -> Result<Vec<u8>, LoadError> {
    let mut bytes = Vec::new();
    let mut limited = std::io::stdin().lock().take(MOST_BYTES as u64 + 1);
    limited.read_to_end(&mut bytes).map_err(|error| LoadError::Other(error.to_string()))?;
    if bytes.len() > MOST_BYTES {
        return Err(LoadError::TooLarge);
    }
    Ok(bytes)
}

/// Decodes UTF-8. The error is the language's diagnostic, which has the position of the first invalid byte.
fn decode(name: &str, bytes: Vec<u8>) -> Result<String, FormatError> {
    String::from_utf8(bytes).map_err(|error| {
        let files = Memory::default().with(name, error.into_bytes());
        let mut diagnostics = load(Path::new(name), &files, None).diagnostics.into_iter();
        match diagnostics.next() {
            Some(diagnostic) => FormatError::InvalidText(Box::new(diagnostic)),
            None => FormatError::Unreadable(LoadError::Other("it is not UTF-8".into())),
        }
    })
}

/// Writes the formatted text to the destination that the arguments select, and returns whether the exit status is 0.
fn write_result(arguments: &Arguments, file: &Path, text: &Formatted) -> Result<bool> {
    let differs = text.before != text.after;
    if arguments.check {
        if differs {
            print(&format!("{}\n", display_name(file)))?;
        }
        return Ok(!differs);
    }
    if arguments.stdout || is_stdin(file) {
        print(&text.after)?;
    } else if differs {
        if let Err(error) = replace(file, text.after.as_bytes()) {
            print_error(&format!("api-gateway: {}: cannot be rewritten: {error:#}\n", display_name(file)));
            return Ok(false);
        }
        print(&format!("{}\n", display_name(file)))?;
    }
    Ok(true)
}

fn is_stdin(file: &Path) -> bool {
    file == Path::new(STDIN_ARGUMENT)
}

fn display_name(file: &Path) -> String {
    if is_stdin(file) {
        return STDIN_NAME.into();
    }
    path_text(file)
}
