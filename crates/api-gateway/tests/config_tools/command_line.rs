//! Output, help, usage errors and completions of all tools.

use crate::support::{policy, Ended, Folder, GOOD, UNTIDY};
use std::fs;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Command, Stdio};

/// A stream whose other end is gone.
fn broken() -> Stdio {
    let (end, _gone) = UnixStream::pair().unwrap();
    Stdio::from(OwnedFd::from(end))
}

#[test]
fn a_reader_that_goes_away_is_no_failure() {
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
    for (words, code) in all {
        let words: Vec<&str> = words.split(' ').collect();
        let ended = Ended::from(folder.command(&words).stdout(broken()).output().unwrap());
        assert_eq!((ended.code, ended.err.as_str()), (code, ""), "{words:?}");
    }
    for (words, code) in [("config check bad.fb", 1), ("config show site.fb --settings nowhere", 1)] {
        let words: Vec<&str> = words.split(' ').collect();
        let ended = Ended::from(folder.command(&words).stderr(broken()).output().unwrap());
        assert_eq!(ended.code, code, "{words:?}");
    }
}

#[test]
fn a_result_that_cannot_be_written_is_a_failure() {
    let folder = Folder::with("site.fb", GOOD);
    for words in [["config", "show", "site.fb"], ["config", "check", "site.fb"]] {
        let full = fs::OpenOptions::new().write(true).open("/dev/full").unwrap();
        let ended = Ended::from(folder.command(&words).stdout(full).output().unwrap());
        assert_eq!(ended.code, 1, "{words:?}");
        assert!(ended.err.starts_with("api-gateway: cannot write the result: "), "{}", ended.err);
    }
}

#[test]
fn each_tool_explains_itself() {
    let folder = Folder::new();
    let all = [
        ("check", &["--settings", "--against", "--accept", "--json"][..]),
        ("fmt", &["--check", "--stdout", "`-`"]),
        ("diff", &["--json", "--exit-code"]),
        ("show", &["--settings"]),
    ];
    for (tool, words) in all {
        let help = folder.run(&["config", tool, "--help"]);
        assert_eq!((help.code, help.err.as_str()), (0, ""));
        for word in words.iter().chain(&["Exit status: 0 ", "2 wrong usage"]) {
            assert!(help.out.contains(word), "{tool}: {word} is not in: {}", help.out);
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
fn wrong_usage_has_a_status_of_its_own() {
    let folder = Folder::with("a.fb", UNTIDY);
    for words in [
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
        let ended = folder.run(&words.split(' ').collect::<Vec<_>>());
        assert_eq!((ended.code, ended.out.as_str()), (2, ""), "{words}");
        assert!(
            ended.err.contains("Usage: api-gateway") || ended.err.contains("possible values"),
            "{}",
            ended.err
        );
    }
    assert_eq!(folder.text("a.fb"), UNTIDY);
}

#[test]
fn each_shell_gets_its_completions() {
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
fn bash_completes_the_words_of_the_tools() {
    let folder = Folder::new();
    let script = folder.run(&["completions", "bash"]).out;
    let registered = script.lines().find(|line| line.trim_start().starts_with("complete -F "));
    let function = registered.and_then(|line| line.split_whitespace().nth(2)).expect("a completion function");
    let ask = format!(
        "compopt() {{ :; }}; COMP_WORDS=(api-gateway config f); COMP_CWORD=2\n\
         {function} api-gateway f config; echo \"${{COMPREPLY[@]}}\"\n"
    );
    let bash = Command::new("bash").args(["-c", &format!("{script}\n{ask}")]).output().unwrap();
    let told = Ended::from(bash);
    told.is(0, "fmt\n", "");
}
