//! `config check`: messages, summary, JSON and exit status.

use crate::support::{platform, policy, Folder, EXAMPLE, GOOD};
use serde_json::json;

#[test]
fn a_valid_file_gets_one_line_with_its_block_counts() {
    let folder = Folder::with("site.fb", GOOD);
    let contents = "site.fb: can be used: 1 file, 2 pools, 1 route, 1 quota policy";
    let without = format!("{contents}, not held against the platform's settings\n");
    folder.config("check site.fb").is(0, &without, "");
    folder.config(&format!("check site.fb --settings {EXAMPLE}")).is(0, &format!("{contents}\n"), "");
}

#[test]
fn prints_and_counts_all_errors_with_their_lines() {
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
fn prints_a_warning_of_a_file_that_can_be_used() {
    let folder = Folder::with("site.fb", "quota policy \"idle\" {\n  plan = \"premium\"\n}\n");
    let checked = folder.config("check site.fb");
    assert_eq!(checked.code, 0);
    assert!(checked.err.starts_with("warning: quota policy \"idle\" changes nothing\n --> site.fb:1:14\n"));
    assert!(checked.out.starts_with("site.fb: can be used: ") && checked.out.contains(", 1 warning,"));
    assert_eq!(checked.out.lines().count(), 1);
}

#[test]
fn checks_the_file_against_the_platforms_settings() {
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
fn reports_errors_that_only_a_gateways_routing_tables_reveal() {
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
fn invalid_settings_fail_with_one_line() {
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
fn a_big_change_has_to_be_accepted() {
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
    // Errors cannot be accepted.
    folder.put("new.fb", policy("25"));
    assert_eq!(folder.config("check new.fb --against old.fb --accept").code, 1);
}

#[test]
fn compares_a_first_policy_with_the_platforms_quota() {
    let folder = Folder::with("old.fb", "");
    folder.put("new.fb", policy("3 units/s"));
    assert_eq!(folder.config("check new.fb --against old.fb").code, 0);
    let checked = folder.config(&format!("check new.fb --against old.fb --settings {EXAMPLE}"));
    assert_eq!(checked.code, 1);
    assert!(checked.err.contains("rate 30 units/s -> 3 units/s, 1/10 of it"), "{}", checked.err);
}

#[test]
fn the_file_in_force_may_use_names_that_the_platform_has_removed() {
    let folder = Folder::with("old.fb", &policy("9 units/s").replace("premium", "gone"));
    folder.put("new.fb", "");
    assert_eq!(folder.config(&format!("check new.fb --against old.fb --settings {EXAMPLE}")).code, 0);
}

#[test]
fn an_invalid_file_in_force_fails_with_one_line_with_its_place() {
    let folder = Folder::with("site.fb", GOOD);
    folder.put("old.fb", "pool 7 {}\npool \"a\" {}\npool \"a\" {}\n");
    let checked = folder.config("check site.fb --against old.fb");
    let begin = "api-gateway: cannot compare with old.fb: old.fb:1:6: error: ";
    assert_eq!((checked.code, checked.out.as_str()), (1, ""));
    assert!(checked.err.starts_with(begin) && checked.err.ends_with(" (and 1 more)\n"), "{}", checked.err);
    assert_eq!(checked.err.lines().count(), 1);
}

#[test]
fn check_prints_json() {
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
