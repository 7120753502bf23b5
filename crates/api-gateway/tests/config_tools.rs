//! The tools for the operators' files, as the built program has them.

use serde_json::{json, Value};
use std::fs;
use std::io::{Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::fs::{chown, symlink, MetadataExt, PermissionsExt};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::thread;
use tempfile::TempDir;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json");
const OPERATORS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operators.fb");

/// A file set that is written as `fmt` writes it.
const GOOD: &str = "\
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
const UNTIDY: &str = "pool   \"all\" { }   # all of them\nroute \"r\" { pool=\"all\" }\n";
const TIDY: &str = "pool \"all\" {}  # all of them\n\nroute \"r\" {\n  pool = \"all\"\n}\n";

fn policy(rate: &str) -> String {
    format!("quota policy \"night\" {{\n  plan = \"premium\"\n  rate = {rate}\n}}\n")
}

/// A folder of one test's own, in which the program runs.
struct Folder(TempDir);

impl Folder {
    fn new() -> Folder {
        Folder(tempfile::tempdir().unwrap())
    }

    fn with(name: &str, text: &str) -> Folder {
        let folder = Folder::new();
        folder.put(name, text);
        folder
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn put(&self, name: &str, text: impl AsRef<[u8]>) {
        fs::write(self.path(name), text).unwrap();
    }

    fn text(&self, name: &str) -> String {
        fs::read_to_string(self.path(name)).unwrap()
    }

    /// The names of all that is in it, in order.
    fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(self.0.path()).unwrap();
        let mut names: Vec<String> =
            entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
        names.sort();
        names
    }

    fn command(&self, words: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_api-gateway"));
        command.args(words).current_dir(self.0.path()).env_remove("ROUTER_CONFIG").stdin(Stdio::null());
        command
    }

    /// Runs the program to its end.
    fn run(&self, words: &[&str]) -> Ended {
        Ended::from(self.command(words).output().unwrap())
    }

    fn config(&self, words: &str) -> Ended {
        let words: Vec<&str> = std::iter::once("config").chain(words.split(' ')).collect();
        self.run(&words)
    }

    /// The same with a text on standard input.
    fn config_with(&self, words: &str, input: &[u8]) -> Ended {
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
struct Ended {
    code: i32,
    out: String,
    err: String,
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
    fn is(&self, code: i32, out: &str, err: &str) {
        assert_eq!((self.code, self.out.as_str(), self.err.as_str()), (code, out, err));
    }

    #[track_caller]
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// The example's platform with a change, as a file in the folder.
fn platform(folder: &Folder, change: impl FnOnce(&mut Value)) {
    let mut document = serde_json::from_slice(&fs::read(EXAMPLE).unwrap()).unwrap();
    change(&mut document);
    folder.put("platform.json", document.to_string());
}

// ---- check

#[test]
fn a_good_file_gets_one_line_that_says_what_is_in_it() {
    let folder = Folder::with("site.fb", GOOD);
    let contents = "site.fb: can be used: 1 file, 2 pools, 1 route, 1 quota policy";
    let without = format!("{contents}, not held against the platform's settings\n");
    folder.config("check site.fb").is(0, &without, "");
    folder.config(&format!("check site.fb --settings {EXAMPLE}")).is(0, &format!("{contents}\n"), "");
}

#[test]
fn all_mistakes_are_told_with_their_lines_and_counted() {
    let folder = Folder::with("names.fb", "let night = 20\n");
    folder.put(
        "site.fb",
        "include \"names.fb\"\npool \"all\" {}\nroute \"r\" {\n  pool = \"al\"\n  rate = 3\n}\n",
    );
    let expected = "\
error: unknown pool \"al\"
 --> site.fb:4:10
  |
4 |   pool = \"al\"
  |          ^^^^
  = help: did you mean `all`?

error: a route has no key `rate`
 --> site.fb:5:3
  |
5 |   rate = 3
  |   ^^^^
  = help: its keys are `classes`, `plans`, `customers`, `pool`, `fallback`, `most-out` and `after`
site.fb: cannot be used: 2 errors, not held against the platform's settings
";
    folder.config("check site.fb").is(1, "", expected);
}

#[test]
fn a_warning_is_told_and_keeps_nothing_from_being_used() {
    let folder = Folder::with("site.fb", "quota policy \"idle\" {\n  plan = \"premium\"\n}\n");
    let checked = folder.config("check site.fb");
    assert_eq!(checked.code, 0);
    assert!(checked.err.starts_with("warning: quota policy \"idle\" changes nothing\n --> site.fb:1:14\n"));
    assert!(checked.out.starts_with("site.fb: can be used: ") && checked.out.contains(", 1 warning,"));
    assert_eq!(checked.out.lines().count(), 1);
}

#[test]
fn the_platform_s_settings_are_held_against_the_file() {
    let pool = "pool \"p\" {\n  zones = \"building-9\"\n}\n";
    let route = "pool \"p\" {}\n\nroute \"r\" {\n  classes = \"unit-orders\"\n  pool = \"p\"\n}\n";
    let grant = policy("40 units/s");
    for (text, reason) in
        [(pool, "\"building-9\""), (route, "\"unit-orders\""), (&grant, "no more than 30 units/s")]
    {
        let folder = Folder::with("site.fb", text);
        assert_eq!(folder.config("check site.fb").code, 0, "{text}");
        let checked = folder.config(&format!("check site.fb --settings {EXAMPLE}"));
        assert_eq!(checked.code, 1, "{text}");
        assert!(checked.err.contains(reason) && checked.err.ends_with("site.fb: cannot be used: 1 error\n"));
    }
}

#[test]
fn what_a_gateway_could_not_put_in_force_is_an_error_of_a_check() {
    let folder = Folder::with("site.fb", &policy("20 units/s"));
    platform(&folder, |document| {
        let premium = &mut document["settings"]["tariffs"][1];
        premium["refill"] = json!(0.0);
        premium["burst"] = json!(0.0);
    });
    let reason = "the platform sets no quota for plan `premium`: a rate needs a burst beside it";
    let expected = format!("error: {reason}\n --> site.fb:3:10\nsite.fb: cannot be used: 1 error\n");
    folder.config("check site.fb --settings platform.json").is(1, "", &expected);

    let pools: String = (0..200).map(|number| format!("pool \"p{number}\" {{}}\n\n")).collect();
    folder.put("site.fb", pools);
    let checked = folder.config("check site.fb --settings platform.json");
    assert_eq!(checked.code, 1);
    assert!(checked.err.contains(" is one too many: at most "), "{}", checked.err);
    assert!(checked.err.contains("--> site.fb:"), "{}", checked.err);
}

#[test]
fn settings_that_cannot_be_used_get_one_line() {
    let folder = Folder::with("site.fb", GOOD);
    folder.put("half.json", "{\"name\": ");
    for (tool, file) in [("check", "half.json"), ("show", "half.json"), ("check", "missing.json")] {
        let ended = folder.config(&format!("{tool} site.fb --settings {file}"));
        assert_eq!((ended.code, ended.out.as_str()), (1, ""), "{tool}");
        assert_eq!(ended.err.lines().count(), 1, "{}", ended.err);
        assert!(ended.err.starts_with("api-gateway: cannot ") && ended.err.contains(file), "{}", ended.err);
    }
}

#[test]
fn a_big_change_wants_to_be_accepted() {
    let folder = Folder::with("old.fb", &policy("25 units/s"));
    folder.put("new.fb", policy("25 units/min"));
    folder.put("near.fb", policy("24 units/s"));
    let refused = folder.config("check new.fb --against old.fb");
    assert_eq!((refused.code, refused.out.as_str()), (1, ""));
    let reason =
        "warning: quota policy `night`: rate 25 units/s -> 25 units/min, 1/60 of it\n --> new.fb:3:10\n";
    assert!(refused.err.starts_with(reason), "{}", refused.err);
    let summary = "new.fb: is not accepted: 1 big change, which --accept lets through, 1 warning, ";
    assert!(refused.err.lines().last().unwrap().starts_with(summary), "{}", refused.err);

    let accepted = folder.config("check new.fb --against old.fb --accept");
    assert_eq!(accepted.code, 0);
    assert!(accepted.err.starts_with(reason) && accepted.out.starts_with("new.fb: can be used: "));
    let near = folder.config("check near.fb --against old.fb");
    assert_eq!((near.code, near.err.as_str()), (0, ""));
    // An error is none that one can accept.
    folder.put("new.fb", policy("25"));
    assert_eq!(folder.config("check new.fb --against old.fb --accept").code, 1);
}

#[test]
fn a_first_policy_is_compared_with_what_the_platform_grants() {
    let folder = Folder::with("old.fb", "");
    folder.put("new.fb", policy("3 units/s"));
    assert_eq!(folder.config("check new.fb --against old.fb").code, 0);
    let checked = folder.config(&format!("check new.fb --against old.fb --settings {EXAMPLE}"));
    assert_eq!(checked.code, 1);
    assert!(checked.err.contains("rate 30 units/s -> 3 units/s, 1/10 of it"), "{}", checked.err);
}

#[test]
fn what_runs_may_name_what_the_platform_no_longer_has() {
    let folder = Folder::with("old.fb", &policy("9 units/s").replace("premium", "gone"));
    folder.put("new.fb", "");
    assert_eq!(folder.config(&format!("check new.fb --against old.fb --settings {EXAMPLE}")).code, 0);
}

#[test]
fn an_old_file_that_cannot_be_read_gets_one_line_with_its_place() {
    let folder = Folder::with("site.fb", GOOD);
    folder.put("old.fb", "pool 7 {}\npool \"a\" {}\npool \"a\" {}\n");
    let checked = folder.config("check site.fb --against old.fb");
    let begin = "api-gateway: cannot compare with old.fb: old.fb:1:6: error: ";
    assert_eq!((checked.code, checked.out.as_str()), (1, ""));
    assert!(checked.err.starts_with(begin) && checked.err.ends_with(" (and 1 more)\n"), "{}", checked.err);
    assert_eq!(checked.err.lines().count(), 1);
}

#[test]
fn a_check_speaks_json() {
    let folder = Folder::with("site.fb", &policy("25"));
    folder.put("good.fb", policy("25 units/s"));
    folder.put("big.fb", policy("1 units/s"));
    let broken = folder.config("check site.fb --json");
    assert_eq!((broken.code, broken.err.as_str()), (1, ""));
    let expected = json!({
        "file": "site.fb", "verdict": "unusable", "errors": 1, "warnings": 0, "files": null, "settings": false,
        "diagnostics": [{
            "severity": "error", "code": "unit-missing", "file": "site.fb", "line": 3, "column": 10, "length": 2,
            "reason": "`rate` needs a unit: units/s, units/min or units/h", "help": "for example `25 units/s`",
        }],
    });
    assert_eq!(broken.json(), expected);

    let good = folder.config(&format!("check good.fb --json --settings {EXAMPLE}"));
    assert_eq!((good.code, good.err.as_str()), (0, ""));
    let expected = json!({
        "file": "good.fb", "verdict": "usable", "errors": 0, "warnings": 0, "files": ["good.fb"],
        "settings": true, "diagnostics": [],
    });
    assert_eq!(good.json(), expected);

    let big = folder.config("check big.fb --against good.fb --json");
    assert_eq!((big.code, &big.json()["verdict"]), (1, &json!("big-changes")));
    assert_eq!(big.json()["diagnostics"][0]["code"], json!("big-change"));
    let accepted = folder.config("check big.fb --against good.fb --json --accept");
    assert_eq!((accepted.code, &accepted.json()["verdict"]), (0, &json!("usable")));
}

// ---- fmt

#[test]
fn fmt_writes_a_file_anew_names_it_and_then_leaves_it_alone() {
    let folder = Folder::with("a.fb", UNTIDY);
    folder.put("b.fb", TIDY);
    folder.config("fmt a.fb b.fb").is(0, "a.fb\n", "");
    assert_eq!((folder.text("a.fb").as_str(), folder.text("b.fb").as_str()), (TIDY, TIDY));
    let number = fs::metadata(folder.path("a.fb")).unwrap().ino();
    folder.config("fmt a.fb b.fb").is(0, "", "");
    assert_eq!(fs::metadata(folder.path("a.fb")).unwrap().ino(), number);
}

#[test]
fn whoever_reads_a_file_while_it_is_formatted_has_all_of_the_old_one() {
    let folder = Folder::with("a.fb", UNTIDY);
    let mut before = fs::File::open(folder.path("a.fb")).unwrap();
    assert_eq!(folder.config("fmt a.fb").code, 0);
    let mut text = String::new();
    before.read_to_string(&mut text).unwrap();
    assert_eq!((text.as_str(), folder.text("a.fb").as_str()), (UNTIDY, TIDY));
    assert_eq!(folder.names(), ["a.fb"]);
}

#[test]
fn permissions_and_owner_stay() {
    let folder = Folder::with("a.fb", UNTIDY);
    let path = folder.path("a.fb");
    // Only root may give files away; others have nothing to lose.
    let given = chown(&path, Some(4321), Some(1234)).is_ok();
    fs::set_permissions(&path, fs::Permissions::from_mode(0o664)).unwrap();
    assert_eq!(folder.config("fmt a.fb").code, 0);
    let found = fs::metadata(&path).unwrap();
    assert_eq!((found.mode() & 0o7777, folder.text("a.fb").as_str()), (0o664, TIDY));
    assert!(!given || (found.uid(), found.gid()) == (4321, 1234), "{found:?}");
}

#[test]
fn behind_a_link_the_file_is_written_and_the_link_stays() {
    let folder = Folder::new();
    fs::create_dir(folder.path("real")).unwrap();
    folder.put("real/a.fb", UNTIDY);
    symlink("real/a.fb", folder.path("near.fb")).unwrap();
    symlink("near.fb", folder.path("far.fb")).unwrap();
    folder.config("fmt far.fb").is(0, "far.fb\n", "");
    assert_eq!(folder.text("real/a.fb"), TIDY);
    assert_eq!(fs::read_link(folder.path("far.fb")).unwrap(), Path::new("near.fb"));
    assert_eq!(fs::read_link(folder.path("near.fb")).unwrap(), Path::new("real/a.fb"));
    assert!(fs::symlink_metadata(folder.path("real/a.fb")).unwrap().is_file());
    assert_eq!(fs::read_dir(folder.path("real")).unwrap().count(), 1);
}

#[test]
fn what_a_killed_process_left_is_in_nobody_s_way() {
    let folder = Folder::with("a.fb", UNTIDY);
    folder.put(".fennelbeam-fmt.0.tmp", "half");
    assert_eq!(folder.config("fmt a.fb").code, 0);
    assert_eq!((folder.text("a.fb").as_str(), folder.text(".fennelbeam-fmt.0.tmp").as_str()), (TIDY, "half"));
    assert_eq!(folder.names(), [".fennelbeam-fmt.0.tmp", "a.fb"]);

    (0..100).for_each(|number| folder.put(&format!(".fennelbeam-fmt.{number}.tmp"), ""));
    folder.put("a.fb", UNTIDY);
    let full = folder.config("fmt a.fb");
    assert_eq!((full.code, full.out.as_str(), folder.text("a.fb").as_str()), (1, "", UNTIDY));
    assert!(full.err.starts_with("api-gateway: a.fb: cannot be rewritten: "), "{}", full.err);
}

#[test]
fn a_file_that_cannot_be_read_stays_and_the_others_are_formatted() {
    let broken = "pool \"a\" {\n  zones = \"b\n}\n";
    let folder = Folder::with("broken.fb", broken);
    folder.put("bytes.fb", b"pool \"a\" {}\n\xFF\n");
    folder.put("a.fb", UNTIDY);
    fs::create_dir(folder.path("folder")).unwrap();
    let ended = folder.config("fmt broken.fb bytes.fb folder missing.fb a.fb");
    assert_eq!((ended.code, ended.out.as_str()), (1, "a.fb\n"));
    for words in [
        "error: the text that begins here has no closing quote\n --> broken.fb:2:11\n",
        "error: the byte 0xFF is not UTF-8\n --> bytes.fb:2:1\n",
        "api-gateway: folder: cannot be read: it is a folder\n",
        "api-gateway: missing.fb: cannot be read: there is no such file\n",
    ] {
        assert!(ended.err.contains(words), "{words} is not in: {}", ended.err);
    }
    assert_eq!((folder.text("broken.fb").as_str(), folder.text("a.fb").as_str()), (broken, TIDY));
}

#[test]
fn fmt_check_names_what_differs_and_changes_nothing() {
    let folder = Folder::with("a.fb", UNTIDY);
    folder.put("b.fb", TIDY);
    folder.config("fmt --check a.fb b.fb").is(1, "a.fb\n", "");
    assert_eq!(folder.text("a.fb"), UNTIDY);
    folder.config("fmt --check b.fb").is(0, "", "");
}

#[test]
fn fmt_prints_instead_where_it_is_asked_to() {
    let folder = Folder::with("a.fb", UNTIDY);
    folder.config("fmt --stdout a.fb").is(0, TIDY, "");
    assert_eq!(folder.text("a.fb"), UNTIDY);
    folder.config_with("fmt -", UNTIDY.as_bytes()).is(0, TIDY, "");
    folder.config_with("fmt -", TIDY.as_bytes()).is(0, TIDY, "");
    folder.config_with("fmt --check -", UNTIDY.as_bytes()).is(1, "<stdin>\n", "");
    folder.config_with("fmt --check -", TIDY.as_bytes()).is(0, "", "");
    assert_eq!(folder.names(), ["a.fb"]);
}

#[test]
fn standard_input_is_bounded_and_what_is_wrong_with_it_is_told() {
    let folder = Folder::new();
    let broken = folder.config_with("fmt -", b"pool \"a\n");
    assert_eq!((broken.code, broken.out.as_str()), (1, ""));
    assert!(broken.err.contains(" --> <stdin>:1:6\n"), "{}", broken.err);
    let large = folder.config_with("fmt -", &b"# many\n".repeat(100_000));
    large.is(1, "", "api-gateway: <stdin>: cannot be read: it has more than 262144 bytes\n");
}

// ---- diff

#[test]
fn diff_tells_of_blocks_and_of_nothing_where_both_mean_the_same() {
    let folder = Folder::with("old.fb", GOOD);
    folder.put("new.fb", GOOD.replace("25 units/s", "30_000 units/s").replace("pool \"all\" {}", ""));
    folder.put("new.fb", folder.text("new.fb").replace("  fallback = \"all\"\n", ""));
    let expected = "\
pool `all`: removed (any)
route `orders`: fallback \"all\" -> none
quota policy `night`: rate 25 units/s -> 30 000 units/s, 1200 times
";
    folder.config("diff old.fb new.fb").is(0, expected, "");
    folder.config("diff --exit-code old.fb new.fb").is(1, expected, "");
    // Another text that means the same.
    folder.put("same.fb", GOOD.replace("25 units/s", "1_500 units/min").replace("# The", "#"));
    folder.config("diff old.fb same.fb").is(0, "", "");
    folder.config("diff --exit-code old.fb same.fb").is(0, "", "");
}

#[test]
fn diff_speaks_json() {
    let folder = Folder::with("old.fb", &policy("25 units/s"));
    folder.put("new.fb", policy("5 units/s"));
    let differs = folder.config("diff old.fb new.fb --json --exit-code");
    assert_eq!((differs.code, differs.err.as_str()), (1, ""));
    let expected = json!([{
        "what": "changed", "kind": "quota policy", "name": "night", "key": "rate",
        "old": "25 units/s", "new": "5 units/s", "factor": 0.2,
        "text": "quota policy `night`: rate 25 units/s -> 5 units/s, 1/5 of it",
    }]);
    assert_eq!(differs.json(), expected);
    assert_eq!(folder.config("diff old.fb old.fb --json").json(), json!([]));
}

#[test]
fn diff_says_what_is_wrong_with_either_file() {
    let idle = "quota policy \"idle\" {\n  plan = \"standard\"\n}\n";
    let folder = Folder::with("old.fb", &format!("{}{idle}", policy("25")));
    folder.put("new.fb", idle);
    let ended = folder.config("diff old.fb new.fb");
    assert_eq!((ended.code, ended.out.as_str()), (1, ""));
    assert!(ended.err.starts_with("error: `rate` needs a unit") && ended.err.contains(" --> old.fb:3:10\n"));
    assert!(!ended.err.contains("warning") && !ended.err.contains("new.fb"), "{}", ended.err);
    let both = folder.config("diff old.fb missing.fb");
    assert!(both.code == 1 && both.err.contains("old.fb:3:10") && both.err.contains("missing.fb:1:1"));
}

// ---- show

#[test]
fn show_prints_what_is_in_force_and_where_it_comes_from() {
    let folder = Folder::with("names.fb", "let night-rate = 25 units/s\n");
    folder.put("site.fb", format!("include \"names.fb\"\n{}", policy("night-rate")));
    let shown = folder.config("show site.fb");
    assert_eq!((shown.code, shown.err.as_str()), (0, ""));
    assert!(shown.out.contains("# site.fb:4:10, `night-rate` of names.fb:1:18\n"), "{}", shown.out);
    assert!(shown.out.contains("# burst: as the plan grants (not set)\n") && !shown.out.contains("# plan "));

    let shown = folder.config(&format!("show site.fb --settings {EXAMPLE}"));
    let quotas = "
# quotas in force, for each customer of a plan
# plan standard
#   rate: 4 units/s, from the platform's settings
#   burst: 20 units, from the platform's settings
#   open: 2 attempts, from the platform's settings
# plan premium
#   rate: 25 units/s, from quota policy `night`, site.fb:4:10
#   burst: 60 units, from the platform's settings
#   open: no bound, from the platform's settings
";
    assert_eq!((shown.code, shown.err.as_str()), (0, ""));
    assert!(shown.out.ends_with(quotas), "{}", shown.out);
    // It is a file that means the same.
    folder.put("shown.fb", shown.out);
    folder.config("diff --exit-code site.fb shown.fb").is(0, "", "");
}

#[test]
fn show_of_a_file_that_cannot_be_used_says_what_is_wrong() {
    let folder = Folder::with("site.fb", &policy("25"));
    let shown = folder.config("show site.fb");
    assert_eq!((shown.code, shown.out.as_str()), (1, ""));
    assert!(shown.err.contains(" --> site.fb:3:10\n"), "{}", shown.err);
    folder.put("site.fb", policy("40 units/s"));
    assert_eq!(folder.config(&format!("show site.fb --settings {EXAMPLE}")).code, 1);
}

// ---- all of them

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

// ---- the deploy folder's operators' file, and the pages

/// The examples of the operators' file, as a file of their own.
fn examples() -> String {
    let text = fs::read_to_string(OPERATORS).unwrap();
    let lines = text.lines().filter_map(|line| line.strip_prefix("#|"));
    // Each part of the text has its example; there is a blank line between them.
    lines.map(|line| format!("{}\n", line.strip_prefix(' ').unwrap_or(line))).collect()
}

#[test]
fn the_operators_file_is_good_tidy_and_changes_nothing() {
    let folder = Folder::with("empty.fb", "");
    folder.config(&format!("fmt --check {OPERATORS}")).is(0, "", "");
    for settings in ["", &format!(" --settings {EXAMPLE}")] {
        let checked = folder.config(&format!("check {OPERATORS}{settings}"));
        assert_eq!((checked.code, checked.err.as_str()), (0, ""));
        assert!(checked.out.contains(": can be used: 1 file, 0 pools, 0 routes, 0 quota policies"));
    }
    folder.config(&format!("diff --exit-code empty.fb {OPERATORS}")).is(0, "", "");
    let shown = folder.config(&format!("show {OPERATORS} --settings {EXAMPLE}")).out;
    assert_eq!(shown.matches("from the platform's settings").count(), 6, "{shown}");
    assert!(!shown.contains("from quota policy"), "{shown}");
}

/// Names in the example's settings, and what stands in their place in the operators' file.
const NEUTRAL: [(&str, &str); 8] = [
    ("price-read", "CLASS-1"),
    ("unit-order", "CLASS-2"),
    ("standard", "PLAN-1"),
    ("premium", "PLAN-2"),
    ("building-1", "ZONE-1"),
    ("building-2", "ZONE-2"),
    ("building-3", "ZONE-3"),
    ("std-2core", "MACHINE-1"),
];

#[test]
fn the_examples_in_the_operators_file_are_good_at_a_deployment_of_their_names() {
    let mut settings = fs::read_to_string(EXAMPLE).unwrap();
    for (name, neutral) in NEUTRAL {
        assert!(settings.contains(&format!("\"{name}\"")), "{name}");
        settings = settings.replace(&format!("\"{name}\""), &format!("\"{neutral}\""));
    }
    let folder = Folder::with("examples.fb", &examples());
    folder.put("settings.json", settings);
    let checked = folder.config("check examples.fb --settings settings.json");
    checked.is(
        0,
        "examples.fb: can be used: 1 file, 2 pools, 1 route, 1 quota policy, 3 sites, 2 takeovers, 1 shed\n",
        "",
    );
}

const PAGES: [&str; 5] = [
    "README.md",
    "CHANGELOG.md",
    "docs/operators-language.md",
    "docs/operators-config.md",
    "deploy/operators.fb",
];

fn page(name: &str) -> String {
    fs::read_to_string(Path::new(ROOT).join(name)).unwrap()
}

/// The commands `api-gateway config ...` of a text, each as its words.
fn commands(text: &str) -> Vec<Vec<&str>> {
    let parts = text.split("api-gateway config ").skip(1);
    let commands = parts.map(|part| part.split(['`', '\n']).next().unwrap());
    let words = commands.map(|command| command.split_whitespace().collect::<Vec<&str>>());
    // `api-gateway config ...` stands for all of them.
    words.filter(|words| words.first().is_some_and(|tool| *tool != "...")).collect()
}

#[test]
fn the_pages_name_commands_that_there_are() {
    let folder = Folder::new();
    let texts = PAGES.map(page);
    let all: Vec<Vec<&str>> = texts.iter().flat_map(|text| commands(text)).collect();
    assert!(all.len() >= 15, "{all:?}");
    for words in all {
        let tool = words[0].trim_end_matches(',');
        let help = folder.run(&["config", tool, "--help"]);
        assert_eq!(help.code, 0, "{words:?}");
        for option in words.iter().filter(|word| word.starts_with("--")) {
            assert!(help.out.contains(&format!("{option} ")), "{words:?}");
        }
    }
}

#[test]
fn the_pages_name_files_that_there_are() {
    for (name, text) in PAGES.iter().zip(PAGES.map(page)) {
        for (at, _) in text.match_indices("deploy/") {
            let path =
                text[at..].split(|c: char| !(c.is_alphanumeric() || "/.-_".contains(c))).next().unwrap();
            assert!(Path::new(ROOT).join(path.trim_end_matches('.')).exists(), "{name}: {path}");
        }
    }
}
