//! A folder in which the program runs, and the texts shared by the tests.

use serde_json::Value;
use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::thread;
use tempfile::TempDir;

pub const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
pub const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json");
pub const OPERATORS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operators.fb");

/// A valid file set in the format of `fmt`.
pub const GOOD: &str = "\
# The north takes orders.
pool \"north\" {
  zones = \"building-1\"
}

pool \"all\" {}

route \"orders\" {
  classes = \"unit-order\"
  pool = \"north\"
  fallback = \"all\"
}

quota policy \"night\" {
  plan = \"premium\"
  rate = 25 units/s
}
";
pub const UNTIDY: &str = "pool   \"all\" { }   # all of them\nroute \"r\" { pool=\"all\" }\n";
pub const TIDY: &str = "pool \"all\" {}  # all of them\n\nroute \"r\" {\n  pool = \"all\"\n}\n";

pub fn policy(rate: &str) -> String {
    format!("quota policy \"night\" {{\n  plan = \"premium\"\n  rate = {rate}\n}}\n")
}

/// A folder for one test, in which the program runs.
pub struct Folder(TempDir);

impl Folder {
    pub fn new() -> Folder {
        Folder(tempfile::tempdir().unwrap())
    }

    pub fn with(name: &str, text: &str) -> Folder {
        let folder = Folder::new();
        folder.put(name, text);
        folder
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    pub fn put(&self, name: &str, text: impl AsRef<[u8]>) {
        fs::write(self.path(name), text).unwrap();
    }

    pub fn text(&self, name: &str) -> String {
        fs::read_to_string(self.path(name)).unwrap()
    }

    /// Returns the names of all entries, sorted.
    pub fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(self.0.path()).unwrap();
        let mut names: Vec<String> =
            entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
        names.sort();
        names
    }

    pub fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_api-gateway"));
        command.args(arguments).current_dir(self.0.path()).env_remove("ROUTER_CONFIG").stdin(Stdio::null());
        command
    }

    /// Runs the program, and returns its exit status and output.
    pub fn run(&self, arguments: &[&str]) -> Ended {
        Ended::from(self.command(arguments).output().unwrap())
    }

    pub fn config(&self, arguments: &str) -> Ended {
        let arguments: Vec<&str> = std::iter::once("config").chain(arguments.split(' ')).collect();
        self.run(&arguments)
    }

    /// As [`Folder::config`], with a text on standard input.
    pub fn config_with(&self, arguments: &str, input: &[u8]) -> Ended {
        let arguments: Vec<&str> = std::iter::once("config").chain(arguments.split(' ')).collect();
        let mut command = self.command(&arguments);
        let pipes = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = pipes.spawn().unwrap();
        let mut stdin = child.stdin.take().unwrap();
        let input = input.to_vec();
        // Written in a thread, since writing and reading the output could block each other. The program may exit before
        // it has read an input that is too large.
        let writer = thread::spawn(move || drop(stdin.write_all(&input)));
        let ended = Ended::from(child.wait_with_output().unwrap());
        writer.join().unwrap();
        ended
    }
}

/// The exit status and the output of the program.
#[derive(Debug)]
pub struct Ended {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl From<Output> for Ended {
    fn from(output: Output) -> Ended {
        Ended {
            code: output.status.code().expect("the program was ended by a signal"),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

impl Ended {
    #[track_caller]
    pub fn is(&self, code: i32, out: &str, err: &str) {
        assert_eq!((self.code, self.out.as_str(), self.err.as_str()), (code, out, err));
    }

    #[track_caller]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Writes a changed copy of the example's configuration to `platform.json` in the folder.
pub fn platform(folder: &Folder, change: impl FnOnce(&mut Value)) {
    let mut document = serde_json::from_slice(&fs::read(EXAMPLE).unwrap()).unwrap();
    change(&mut document);
    folder.put("platform.json", document.to_string());
}
