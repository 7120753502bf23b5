//! Output, help, usage errors and completions of all tools.

use crate::support::{policy, Ended, Folder, GOOD, UNTIDY};
use std::fs;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Command, Stdio};

/// Returns a stream whose other end is closed.
fn closed_stream() -> Stdio {
    let (end, _closed_end) = UnixStream::pair().unwrap();
    Stdio::from(OwnedFd::from(end))
}

#[test]
fn an_output_closed_by_its_reader_does_not_change_the_exit_status() {
    let folder = Folder::with("site.fb", GOOD);
    folder.put("bad.fb", policy("25"));
    folder.put("untidy.fb", UNTIDY);
    let all = [
        ("config check site.fb", 0),
        ("config check bad.fb --json", 1),
        ("config show site.fb", 0),
        ("config diff site.fb untidy.fb --exit-code", 1),
        ("config fmt --check untidy.fb", 1),
        ("config fmt --stdout untidy.fb", 0),
        ("completions zsh", 0),
    ];
    for (arguments, code) in all {
        let arguments: Vec<&str> = arguments.split(' ').collect();
        let ended = Ended::from(folder.command(&arguments).stdout(closed_stream()).output().unwrap());
        assert_eq!((ended.code, ended.err.as_str()), (code, ""), "{arguments:?}");
    }
    for (arguments, code) in [("config check bad.fb", 1), ("config show site.fb --settings nowhere", 1)] {
        let arguments: Vec<&str> = arguments.split(' ').collect();
        let ended = Ended::from(folder.command(&arguments).stderr(closed_stream()).output().unwrap());
        assert_eq!(ended.code, code, "{arguments:?}");
    }
}

#[test]
fn fails_if_the_result_cannot_be_written() {
    let folder = Folder::with("site.fb", GOOD);
    for arguments in [["config", "show", "site.fb"], ["config", "check", "site.fb"]] {
        let full = fs::OpenOptions::new().write(true).open("/dev/full").unwrap();
        let ended = Ended::from(folder.command(&arguments).stdout(full).output().unwrap());
        assert_eq!(ended.code, 1, "{arguments:?}");
        assert!(ended.err.starts_with("api-gateway: cannot write the result: "), "{}", ended.err);
    }
}

#[test]
fn help_of_each_tool_lists_its_options_and_exit_statuses() {
    let folder = Folder::new();
    let all = [
        ("check", &["--settings", "--against", "--accept", "--json"][..]),
        ("fmt", &["--check", "--stdout", "`-`"]),
        ("diff", &["--json", "--exit-code"]),
        ("show", &["--settings"]),
    ];
    for (tool, options) in all {
        let help = folder.run(&["config", tool, "--help"]);
        assert_eq!((help.code, help.err.as_str()), (0, ""));
        for expected in options.iter().chain(&["Exit status: 0 ", "2 wrong usage"]) {
            assert!(help.out.contains(expected), "{tool}: {expected} is not in: {}", help.out);
        }
        assert!(folder.run(&["config", "--help"]).out.contains(&format!("\n  {tool} ")), "{tool}");
    }
    let help = folder.run(&["--help"]).out;
    assert!(
        ["config", "plan", "completions"].iter().all(|word| help.contains(&format!("\n  {word} "))),
        "{help}"
    );
}

#[test]
fn wrong_usage_exits_with_status_2() {
    let folder = Folder::with("a.fb", UNTIDY);
    for arguments in [
        "config",
        "config fit a.fb",
        "config check",
        "config check a.fb b.fb",
        "config check a.fb --accept",
        "config fmt",
        "config fmt --check --stdout a.fb",
        "config fmt - a.fb",
        "config diff a.fb",
        "config show",
        "completions",
        "completions tcsh",
    ] {
        let ended = folder.run(&arguments.split(' ').collect::<Vec<_>>());
        assert_eq!((ended.code, ended.out.as_str()), (2, ""), "{arguments}");
        assert!(
            ended.err.contains("Usage: api-gateway") || ended.err.contains("possible values"),
            "{}",
            ended.err
        );
    }
    assert_eq!(folder.text("a.fb"), UNTIDY);
}

#[test]
fn prints_a_completion_script_for_each_shell() {
    let folder = Folder::new();
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let script = folder.run(&["completions", shell]);
        assert_eq!((script.code, script.err.as_str()), (0, ""), "{shell}");
        for word in ["config", "fmt", "against", "plan", "mix", "rehearse"] {
            assert!(script.out.contains(word), "{shell} lacks {word}");
        }
    }
}

#[test]
fn bash_completes_the_subcommands_of_config() {
    let folder = Folder::new();
    let script = folder.run(&["completions", "bash"]).out;
    let registered = script.lines().find(|line| line.trim_start().starts_with("complete -F "));
    let function = registered.and_then(|line| line.split_whitespace().nth(2)).expect("a completion function");
    let completion = format!(
        "compopt() {{ :; }}; COMP_WORDS=(api-gateway config f); COMP_CWORD=2\n\
         {function} api-gateway f config; echo \"${{COMPREPLY[@]}}\"\n"
    );
    let bash = Command::new("bash").args(["-c", &format!("{script}\n{completion}")]).output().unwrap();
    let output = Ended::from(bash);
    output.is(0, "fmt\n", "");
}
