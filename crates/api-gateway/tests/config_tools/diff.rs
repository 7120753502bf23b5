//! `config diff`: changes by block, JSON and exit status.

use crate::support::{policy, Folder, GOOD};
use serde_json::json;

#[test]
fn diff_lists_changed_blocks_and_nothing_for_equivalent_files() {
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
    // A different text with the same meaning.
    folder.put("same.fb", GOOD.replace("25 units/s", "1_500 units/min").replace("# The", "#"));
    folder.config("diff old.fb same.fb").is(0, "", "");
    folder.config("diff --exit-code old.fb same.fb").is(0, "", "");
}

#[test]
fn diff_prints_json() {
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
fn diff_prints_the_errors_of_both_files() {
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
