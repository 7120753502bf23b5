//! The command line: its output and its exit statuses.

use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_api-gateway");

fn run(program: &Path, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).env_remove("ROUTER_CONFIG").output().unwrap()
}

fn api_gateway(arguments: &[&str]) -> Output {
    run(Path::new(PROGRAM), arguments)
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("the program was ended by a signal")
}

fn stdout(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).unwrap()
}

fn stderr(output: &Output) -> &str {
    std::str::from_utf8(&output.stderr).unwrap()
}

/// A folder for one test, which is removed with the test.
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

    /// Returns a hard link to the program. A copy could not be executed while a process that another test has just
    /// started still has it open for writing.
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
fn prints_its_version() {
    let output = api_gateway(&["--version"]);
    assert_eq!(exit_code(&output), 0);
    assert_eq!(stdout(&output), concat!("api-gateway ", env!("CARGO_PKG_VERSION"), "\n"));
}

#[test]
fn help_lists_subcommands_exit_statuses_and_signals() {
    let output = api_gateway(&["--help"]);
    assert_eq!(exit_code(&output), 0);
    for expected in ["serve", "check", "rehearse", "ROUTER_CONFIG", "Exit status: 0", "SIGHUP", "SIGTERM"] {
        assert!(stdout(&output).contains(expected), "{expected} is not in: {}", stdout(&output));
    }
}

#[test]
fn an_invalid_configuration_fails_with_one_line() {
    let folder = Folder::new("check");
    let truncated = folder.file("half.json", "{\"name\": \"n0\", ");
    let no_listen = folder.file("no-listen.json", "{\"name\": \"n0\"}");
    let missing = folder.0.join("missing.json").to_str().unwrap().to_owned();
    for (file, reason) in [(truncated, "EOF"), (no_listen, "missing field"), (missing, "cannot read")] {
        for arguments in [&["check", &file][..], &["serve", "--config", &file]] {
            let output = run(Path::new(PROGRAM), arguments);
            assert_eq!(exit_code(&output), 1, "{arguments:?}");
            let line = stderr(&output);
            assert_eq!(line.lines().count(), 1, "{arguments:?}: {line}");
            assert!(line.starts_with("api-gateway: "), "{arguments:?}: {line}");
            assert!(line.contains(&file) && line.contains(reason), "{arguments:?}: {line}");
            assert_eq!(stdout(&output), "", "{arguments:?}");
        }
    }
}

#[test]
fn names_the_missing_variable_without_a_configuration() {
    for arguments in [&[][..], &["serve"]] {
        let output = run(Path::new(PROGRAM), arguments);
        assert_eq!(exit_code(&output), 1);
        assert_eq!(stderr(&output), "api-gateway: ROUTER_CONFIG is not set\n");
    }
}

#[test]
fn wrong_usage_exits_with_status_2() {
    for arguments in [&["serv"][..], &["check"], &["serve", "--port", "1"], &["check", "a", "b"]] {
        let output = api_gateway(arguments);
        assert_eq!(exit_code(&output), 2, "{arguments:?}");
        assert!(stderr(&output).contains("Usage: api-gateway"), "{arguments:?}: {}", stderr(&output));
    }
}

#[test]
fn rehearse_without_the_emulator_says_how_to_build_it() {
    let folder = Folder::new("alone");
    let output = run(&folder.program(), &["rehearse", "night", "--seed", "7"]);
    assert_eq!(exit_code(&output), 1);
    let emulator = folder.0.join("cluster-emulator");
    let line = stderr(&output);
    assert_eq!(line.lines().count(), 1, "{line}");
    assert!(line.contains(&format!("cannot start {}", emulator.display())), "{line}");
    assert!(line.contains("cargo build --release -p cluster-emulator"), "{line}");
}

#[test]
fn rehearse_passes_all_arguments_and_the_exit_status_of_the_emulator() {
    let folder = Folder::new("beside");
    let program = folder.program();
    symlink("/bin/sh", folder.0.join("cluster-emulator")).unwrap();
    let output =
        run(&program, &["rehearse", "-c", "echo $*; exit 3", "sh", "night", "--seed", "7", "--help"]);
    assert_eq!(stdout(&output), "night --seed 7 --help\n");
    assert_eq!(exit_code(&output), 3);
}
