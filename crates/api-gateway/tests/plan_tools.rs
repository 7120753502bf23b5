//! The tools for a plan for the loss of a site, as the built program has them, and the operators' page on them.

use serde_json::{json, Value};
use std::fs;
use std::os::unix::fs::symlink;
use std::path::Path;
use std::process::{Command, Output};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_api-gateway");
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json");
const PAGE: &str = include_str!("../../../docs/site-loss.md");

/// Two sites, of which one carries all and the other does not.
const PLAN: &str = r#"
site "a" {
  zones = "building-1"
  capacity = 300 requests/s
  load = 200 requests/s
}
site "b" {
  zones = ["building-2", "building-3"]
  capacity = 900 requests/s
  load = 400 requests/s
}
takeover "a-b" {
  lost = "a"
  by = "b"
}
shed "reads" {
  classes = "price-read"
  floor = 40 %
}
"#;

fn folder(plan: &str) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("park.fb"), plan).unwrap();
    folder
}

fn run(folder: &TempDir, words: &str) -> (i32, String, String) {
    let mut command = Command::new(PROGRAM);
    let output: Output = command
        .args(words.split(' '))
        .current_dir(folder.path())
        .env_remove("ROUTER_CONFIG")
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().expect("a signal ended it"), text(output.stdout), text(output.stderr))
}

fn shown(plan: &str, further: &str) -> (i32, String, String) {
    run(&folder(plan), &format!("plan show park.fb --settings {EXAMPLE}{further}"))
}

fn document(plan: &str, further: &str) -> Value {
    let (code, out, err) = shown(plan, &format!(" --json{further}"));
    assert_eq!((code, err.as_str()), (0, ""));
    serde_json::from_str(&out).unwrap()
}

#[test]
fn what_a_loss_comes_to_is_told_as_data_too() {
    let all = document(PLAN, "");
    assert_eq!(all["mix"], "even");
    let a = json!({"name": "a", "zones": ["building-1"], "capacity": 300.0, "load": 200.0, "headroom": 0.0,
        "ramp_s": 30.0, "told": null, "takers": [{"site": "b", "share": 1.0}]});
    assert_eq!(all["sites"][0], a);
    let reads =
        json!({"name": "reads", "floor": 0.4, "requests": ["price-read/standard", "price-read/premium"]});
    assert_eq!(all["sheds"], json!([reads]));
    let [first, second, both] = &all["losses"].as_array().unwrap()[..] else { panic!("{all}") };
    assert_eq!((&first["lost"], &first["verdict"]), (&json!(["a"]), &json!("carried")));
    assert_eq!(first["left"], json!([{"site": "b", "own": 400.0, "taken": 200.0, "room": 900.0}]));
    let refused = json!({"lost": ["b"], "verdict": "refused", "asked": 600.0, "refused": 300.0,
        "left": [{"site": "a", "own": 200.0, "taken": 400.0, "room": 300.0}], "fullest": "a",
        "sheds": [{"shed": "reads", "asked": 300.0, "refused": 180.0}], "beyond": 120.0,
        "floors_at_risk": ["reads"]});
    assert_eq!(second, &refused);
    assert_eq!(both, &json!({"lost": ["a", "b"], "verdict": "nobody-left"}));
    // With more reads there is more to refuse of them.
    let mixed = document(PLAN, " --mix price-read/standard=9,unit-order/premium=1");
    assert_eq!(
        (&mixed["losses"][1]["sheds"][0]["refused"], &mixed["losses"][1]["beyond"]),
        (&json!(300.0), &json!(0.0))
    );
    // Without figures nothing is known, and without sites there is nothing to know.
    let bare = PLAN.replace("  capacity = 300 requests/s\n", "");
    assert_eq!(
        document(&bare, "")["losses"][1],
        json!({"lost": ["b"], "verdict": "unknown", "lacking": ["a"]})
    );
    let (code, out, err) = shown("", "");
    assert_eq!(
        (code, out.as_str(), err.as_str()),
        (0, "park.fb: no site, so nothing is planned for the loss of one\n", "")
    );
}

#[test]
fn a_check_warns_of_a_loss_that_is_not_carried() {
    let check = |plan: &str| run(&folder(plan), &format!("config check park.fb --settings {EXAMPLE}"));
    let (code, out, err) = check(PLAN);
    assert_eq!((code, out.as_str()), (0, "park.fb: can be used: 1 file, 0 pools, 0 routes, 0 quota policies, 2 sites, 1 takeover, 1 shed, 1 warning\n"));
    let line = "warning: the loss of site \"b\" is not carried: 300 of 600 requests/s (50 %) are refused (shed `reads` \
                180 of 300, beyond the sheds 120): site \"a\" is asked for 600 and has room for 300\n --> park.fb:7:6\n";
    assert!(err.starts_with(line), "{err}");
    let warned = |plan: &str| check(plan).2.lines().next().unwrap_or("").to_owned();
    assert_eq!(warned(&PLAN.replace("capacity = 300", "capacity = 600")), "");
    assert_eq!(
        warned(&PLAN.replace("  load = 400 requests/s\n", "")),
        "warning: whether a loss is carried is not known: site \"b\" lacks `load`"
    );
    // Who declares no figures at all wants nothing reckoned.
    let bare: String = PLAN.lines().filter(|l| !l.contains("requests/s")).map(|l| format!("{l}\n")).collect();
    assert_eq!(warned(&bare), "");
    // What is told lost is lost in each case, and no loss of its own.
    let night = PLAN.replace("\"building-1\"", "\"building-1\"\n  told = \"lost\"");
    assert_eq!(check(&night).2.matches("is not carried").count(), 0);
}

#[test]
fn statuses_tell_of_files_that_cannot_be_used_and_of_wrong_usage() {
    let cases = [
        (PLAN, format!("plan show park.fb --settings {EXAMPLE}"), 0, ""),
        (PLAN, "plan show park.fb --settings nowhere.json".into(), 1, "cannot read nowhere.json"),
        (PLAN, format!("plan show gone.fb --settings {EXAMPLE}"), 1, "there is no such file"),
        (
            "site \"a\" { zones = \"moon\" }\n",
            format!("plan show park.fb --settings {EXAMPLE}"),
            1,
            "unknown zone \"moon\"",
        ),
        (
            PLAN,
            format!("plan show park.fb --settings {EXAMPLE} --mix price-read=3"),
            1,
            "is not CLASS/PLAN=WEIGHT",
        ),
        (
            PLAN,
            format!("plan show park.fb --settings {EXAMPLE} --mix sale/standard=3"),
            1,
            "has no class `sale`",
        ),
        (
            PLAN,
            format!("plan show park.fb --settings {EXAMPLE} --mix price-read/standard=-3"),
            1,
            "is no weight",
        ),
        (
            PLAN,
            format!("plan show park.fb --settings {EXAMPLE} --mix price-read/standard=0"),
            1,
            "nothing weighs",
        ),
        (PLAN, "plan show park.fb".into(), 2, "--settings"),
        (PLAN, "plan".into(), 2, "Usage: api-gateway plan"),
        (PLAN, "plan shoe".into(), 2, "show"),
    ];
    for (plan, words, code, said) in cases {
        let (ended, out, err) = run(&folder(plan), &words);
        assert_eq!(ended, code, "{words}: {err}");
        assert!(err.contains(said), "{words}: {err}");
        assert_eq!(out.is_empty(), code != 0, "{words}: {out}");
    }
    let (_, help, _) = run(&folder(""), "plan show --help");
    assert!(help.contains("Exit status: 0 shown") && help.contains("--mix"), "{help}");
}

#[test]
fn to_try_a_plan_hands_over_all_words() {
    let folder = folder(PLAN);
    let program = folder.path().join("api-gateway");
    // A link, since a copy may still be open for writing where another test starts a process just then.
    fs::hard_link(PROGRAM, &program).unwrap();
    let ended = |words: &[&str]| {
        let output = Command::new(&program).args(words).current_dir(folder.path()).output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (output.status.code(), text(output.stdout), text(output.stderr))
    };
    let words = ["plan", "try", "park.fb", "--settings", EXAMPLE, "--help"];
    let (code, out, err) = ended(&words);
    assert_eq!((code, out.as_str()), (Some(1), ""));
    assert!(err.contains("cargo build --release -p cluster-emulator"), "{err}");
    // A shell in its place reads the file `plan`, and gets the words behind that.
    symlink("/bin/sh", folder.path().join("cluster-emulator")).unwrap();
    fs::write(folder.path().join("plan"), "echo $*; exit 3\n").unwrap();
    let expected = format!("park.fb --settings {EXAMPLE} --help\n");
    assert_eq!(ended(&words), (Some(3), expected, String::new()));
}

/// What stands in the page between lines of three strokes, of this kind.
fn parts(kind: &str) -> Vec<&'static str> {
    let parts = PAGE.split("```").skip(1).step_by(2);
    parts
        .filter_map(|part| part.split_once('\n'))
        .filter(|(word, _)| *word == kind)
        .map(|(_, text)| text)
        .collect()
}

#[test]
fn the_page_shows_what_the_program_says_of_its_example() {
    let folder = folder(parts("fb")[0]);
    assert!(Path::new(EXAMPLE).exists());
    let settings = folder.path().join("CONFIG_JSON");
    symlink(EXAMPLE, settings).unwrap();
    let (code, out, err) = run(&folder, "config fmt --check park.fb");
    assert_eq!((code, out.as_str(), err.as_str()), (0, "", ""));
    let asked = parts("console");
    assert!(asked.len() >= 2, "{asked:?}");
    for text in asked {
        let (words, said) = text.strip_prefix("$ api-gateway ").unwrap().split_once('\n').unwrap();
        let (code, out, err) = run(&folder, words);
        assert_eq!((code, err + &out), (0, said.to_owned()), "{words}");
    }
}
