//! The program, as people call it.

mod digests;
mod usage;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The night of the shipped scenarios in short, and a little worse.
const SHORT_NIGHT: &str = "
scenario \"A short night\"
length 8 s
traffic
  rate 60 requests/s
at 2 s: traffic x 1.8 for 3 s, rising in 0.5 s
at 3 s: kill 41 % of the gateways for 2 s
at 3 s: restart host 3
at 4 s: counter lost for 1 s
at 4 s: drain 2 hosts, gone after 2 s
";

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cluster-emulator")).args(args).output().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// What it prints where all goes well.
fn said(args: &[&str]) -> String {
    let output = run(args);
    assert_eq!(output.status.code(), Some(0), "{args:?}: {}{}", stdout(&output), stderr(&output));
    stdout(&output)
}

/// A folder that goes with the test.
struct Folder(tempfile::TempDir);

impl Folder {
    fn new() -> Folder {
        Folder(tempfile::tempdir().unwrap())
    }

    fn path(&self, name: &str) -> String {
        let path: PathBuf = self.0.path().join(name);
        path.to_str().unwrap().to_owned()
    }

    /// Where a scenario with this text lies.
    fn scenario(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::write(Path::new(&path), text).unwrap();
        path
    }
}
