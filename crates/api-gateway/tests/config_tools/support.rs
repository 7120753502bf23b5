//! A folder in which the program runs, and the texts that the tests share.

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

/// A file set that is written as `fmt` writes it.
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

/// A folder of one test's own, in which the program runs.
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

    /// The names of all that is in it, in order.
    pub fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(self.0.path()).unwrap();
        let mut names: Vec<String> =
            entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
        names.sort();
        names
    }

    pub fn command(&self, words: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_api-gateway"));
        command.args(words).current_dir(self.0.path()).env_remove("ROUTER_CONFIG").stdin(Stdio::null());
        command
    }

    /// Runs the program to its end.
    pub fn run(&self, words: &[&str]) -> Ended {
        Ended::from(self.command(words).output().unwrap())
    }

    pub fn config(&self, words: &str) -> Ended {
        let words: Vec<&str> = std::iter::once("config").chain(words.split(' ')).collect();
        self.run(&words)
    }

    /// The same with a text on standard input.
    pub fn config_with(&self, words: &str, input: &[u8]) -> Ended {
        let words: Vec<&str> = std::iter::once("config").chain(words.split(' ')).collect();
        let mut command = self.command(&words);
        let pipes = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = pipes.spawn().unwrap();
        let mut stdin = child.stdin.take().unwrap();
        let input = input.to_vec();
        // Beside the reading, or both might wait for one another. It may end before it has read what is too much.
        let written = thread::spawn(move || drop(stdin.write_all(&input)));
        let ended = Ended::from(child.wait_with_output().unwrap());
        written.join().unwrap();
        ended
    }
}

/// How the program ended, and what it said.
#[derive(Debug)]
pub struct Ended {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl From<Output> for Ended {
    fn from(output: Output) -> Ended {
        Ended {
            code: output.status.code().expect("a signal ended it"),
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

/// The example's platform with a change, as a file in the folder.
pub fn platform(folder: &Folder, change: impl FnOnce(&mut Value)) {
    let mut document = serde_json::from_slice(&fs::read(EXAMPLE).unwrap()).unwrap();
    change(&mut document);
    folder.put("platform.json", document.to_string());
}
