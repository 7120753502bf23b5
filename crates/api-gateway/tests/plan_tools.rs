//! The subcommands of `plan`, tested with the built program, and the operators' page on them.

use serde_json::{json, Value};
use std::fs;
use std::os::unix::fs::symlink;
use std::path::Path;
use std::process::{Command, Output};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_api-gateway");
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json");
const PAGE: &str = include_str!("../../../docs/site-loss.md");

/// Two sites: the plan carries the loss of one of them, but not that of the other.
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

fn run(folder: &TempDir, arguments: &str) -> (i32, String, String) {
    let mut command = Command::new(PROGRAM);
    let output: Output = command
        .args(arguments.split(' '))
        .current_dir(folder.path())
        .env_remove("ROUTER_CONFIG")
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (
        output.status.code().expect("the program was ended by a signal"),
        text(output.stdout),
        text(output.stderr),
    )
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
fn plan_show_prints_outcomes_as_json() {
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
    // With a larger share of reads, more of them can be shed.
    let mixed = document(PLAN, " --mix price-read/standard=9,unit-order/premium=1");
    assert_eq!(
        (&mixed["losses"][1]["sheds"][0]["refused"], &mixed["losses"][1]["beyond"]),
        (&json!(300.0), &json!(0.0))
    );
    // Without capacities and loads no outcome is known, and without sites there is no loss.
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
fn check_warns_of_a_loss_that_is_not_carried() {
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
    // A plan without any figures gets no warnings, since it is not meant to be computed.
    let bare: String = PLAN.lines().filter(|l| !l.contains("requests/s")).map(|l| format!("{l}\n")).collect();
    assert_eq!(warned(&bare), "");
    // A site that the operators have declared lost is lost in each scenario, and is not a further loss.
    let overridden = PLAN.replace("\"building-1\"", "\"building-1\"\n  told = \"lost\"");
    assert_eq!(check(&overridden).2.matches("is not carried").count(), 0);
}

#[test]
fn exit_statuses_distinguish_invalid_files_and_wrong_usage() {
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
            "is not a valid weight",
        ),
        (
            PLAN,
            format!("plan show park.fb --settings {EXAMPLE} --mix price-read/standard=0"),
            1,
            "no weight is positive",
        ),
        (PLAN, "plan show park.fb".into(), 2, "--settings"),
        (PLAN, "plan".into(), 2, "Usage: api-gateway plan"),
        (PLAN, "plan shoe".into(), 2, "show"),
    ];
    for (plan, arguments, code, expected) in cases {
        let (status, out, err) = run(&folder(plan), &arguments);
        assert_eq!(status, code, "{arguments}: {err}");
        assert!(err.contains(expected), "{arguments}: {err}");
        assert_eq!(out.is_empty(), code != 0, "{arguments}: {out}");
    }
    let (_, help, _) = run(&folder(""), "plan show --help");
    assert!(help.contains("Exit status: 0 shown") && help.contains("--mix"), "{help}");
}

#[test]
fn plan_try_passes_all_arguments_and_the_exit_status_of_the_emulator() {
    let folder = folder(PLAN);
    let program = folder.path().join("api-gateway");
    // A hard link, since a copy could not be executed while a process that another test has just started still has it
    // open for writing.
    fs::hard_link(PROGRAM, &program).unwrap();
    let run_linked = |arguments: &[&str]| {
        let output = Command::new(&program).args(arguments).current_dir(folder.path()).output().unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (output.status.code(), text(output.stdout), text(output.stderr))
    };
    let arguments = ["plan", "try", "park.fb", "--settings", EXAMPLE, "--help"];
    let (code, out, err) = run_linked(&arguments);
    assert_eq!((code, out.as_str()), (Some(1), ""));
    assert!(err.contains("cargo build --release -p cluster-emulator"), "{err}");
    // A shell in place of the emulator executes the file `plan`, with the further arguments.
    symlink("/bin/sh", folder.path().join("cluster-emulator")).unwrap();
    fs::write(folder.path().join("plan"), "echo $*; exit 3\n").unwrap();
    let expected = format!("park.fb --settings {EXAMPLE} --help\n");
    assert_eq!(run_linked(&arguments), (Some(3), expected, String::new()));
}

/// Returns the code blocks of the page that are marked with this language.
fn code_blocks(language: &str) -> Vec<&'static str> {
    let blocks = PAGE.split("```").skip(1).step_by(2);
    blocks
        .filter_map(|block| block.split_once('\n'))
        .filter(|(marker, _)| *marker == language)
        .map(|(_, text)| text)
        .collect()
}

#[test]
fn the_page_shows_the_output_of_the_program_for_its_example() {
    let folder = folder(code_blocks("fb")[0]);
    assert!(Path::new(EXAMPLE).exists());
    let settings = folder.path().join("CONFIG_JSON");
    symlink(EXAMPLE, settings).unwrap();
    let (code, out, err) = run(&folder, "config fmt --check park.fb");
    assert_eq!((code, out.as_str(), err.as_str()), (0, "", ""));
    let sessions = code_blocks("console");
    assert!(sessions.len() >= 2, "{sessions:?}");
    for text in sessions {
        let (arguments, expected) = text.strip_prefix("$ api-gateway ").unwrap().split_once('\n').unwrap();
        let (code, out, err) = run(&folder, arguments);
        assert_eq!((code, err + &out), (0, expected.to_owned()), "{arguments}");
    }
}
