//! The command line: what it says, and with which status it ends.

use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_api-gateway");

fn run(program: &Path, words: &[&str]) -> Output {
    Command::new(program).args(words).env_remove("ROUTER_CONFIG").output().unwrap()
}

fn api_gateway(words: &[&str]) -> Output {
    run(Path::new(PROGRAM), words)
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("a signal ended it")
}

fn said(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).unwrap()
}

fn complained(output: &Output) -> &str {
    std::str::from_utf8(&output.stderr).unwrap()
}

/// A folder of one test's own, which goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// The program under another path. A link, since a copy may still be open for writing where another test
    /// starts a process just then, and could not be started.
    fn program(&self) -> PathBuf {
        let path = self.0.join("api-gateway");
        std::fs::hard_link(PROGRAM, &path).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn it_tells_its_version() {
    let output = api_gateway(&["--version"]);
    assert_eq!(code(&output), 0);
    assert_eq!(said(&output), concat!("api-gateway ", env!("CARGO_PKG_VERSION"), "\n"));
}

#[test]
fn help_names_the_commands_the_statuses_and_the_signals() {
    let output = api_gateway(&["--help"]);
    assert_eq!(code(&output), 0);
    for words in ["serve", "check", "rehearse", "ROUTER_CONFIG", "Exit status: 0", "SIGHUP", "SIGTERM"] {
        assert!(said(&output).contains(words), "{words} is not in: {}", said(&output));
    }
}

#[test]
fn a_configuration_that_cannot_be_used_gets_one_line() {
    let folder = Folder::new("check");
    let not_whole = folder.file("half.json", "{\"name\": \"n0\", ");
    let no_listen = folder.file("no-listen.json", "{\"name\": \"n0\"}");
    let missing = folder.0.join("missing.json").to_str().unwrap().to_owned();
    for (file, reason) in [(not_whole, "EOF"), (no_listen, "missing field"), (missing, "cannot read")] {
        for words in [&["check", &file][..], &["serve", "--config", &file]] {
            let output = run(Path::new(PROGRAM), words);
            assert_eq!(code(&output), 1, "{words:?}");
            let line = complained(&output);
            assert_eq!(line.lines().count(), 1, "{words:?}: {line}");
            assert!(line.starts_with("api-gateway: "), "{words:?}: {line}");
            assert!(line.contains(&file) && line.contains(reason), "{words:?}: {line}");
            assert_eq!(said(&output), "", "{words:?}");
        }
    }
}

#[test]
fn without_a_configuration_it_says_which_variable_is_missing() {
    for words in [&[][..], &["serve"]] {
        let output = run(Path::new(PROGRAM), words);
        assert_eq!(code(&output), 1);
        assert_eq!(complained(&output), "api-gateway: ROUTER_CONFIG is not set\n");
    }
}

#[test]
fn wrong_usage_has_a_status_of_its_own() {
    for words in [&["serv"][..], &["check"], &["serve", "--port", "1"], &["check", "a", "b"]] {
        let output = api_gateway(words);
        assert_eq!(code(&output), 2, "{words:?}");
        assert!(complained(&output).contains("Usage: api-gateway"), "{words:?}: {}", complained(&output));
    }
}

#[test]
fn rehearse_without_the_program_beside_it_says_how_to_build_it() {
    let folder = Folder::new("alone");
    let output = run(&folder.program(), &["rehearse", "night", "--seed", "7"]);
    assert_eq!(code(&output), 1);
    let beside = folder.0.join("cluster-emulator");
    let line = complained(&output);
    assert_eq!(line.lines().count(), 1, "{line}");
    assert!(line.contains(&format!("cannot start {}", beside.display())), "{line}");
    assert!(line.contains("cargo build --release -p cluster-emulator"), "{line}");
}

#[test]
fn rehearse_hands_over_all_words_and_ends_as_the_other_program_does() {
    let folder = Folder::new("beside");
    let program = folder.program();
    symlink("/bin/sh", folder.0.join("cluster-emulator")).unwrap();
    let output =
        run(&program, &["rehearse", "-c", "echo $*; exit 3", "sh", "night", "--seed", "7", "--help"]);
    assert_eq!(said(&output), "night --seed 7 --help\n");
    assert_eq!(code(&output), 3);
}
