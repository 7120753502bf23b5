//! Invalid configurations are rejected with a single error message that names the offending key.

use gateway::Config;
use serde_json::{json, Value};

fn example() -> Value {
    serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap()
}

fn parse_error(document: &Value) -> String {
    match Config::parse(document.to_string().as_bytes()) {
        Ok(_) => panic!("accepted: {document}"),
        Err(error) => format!("{error:#}"),
    }
}

#[test]
fn accepts_the_example_without_unknown_keys() {
    let config = Config::parse(example().to_string().as_bytes()).unwrap();
    assert_eq!(config.unknown_keys, Vec::<String>::new());
}

#[test]
fn each_parse_error_names_its_key() {
    for (pointer, value, prefix) in [
        ("/listen", json!("localhost:7001"), "`listen`: invalid socket address syntax"),
        ("/listen", json!(7001), "`listen`: invalid type: integer `7001`"),
        ("/discovery", Value::Null, "`discovery`: invalid type: null"),
        ("/counter", json!("10.0.0.1"), "`counter`: invalid socket address syntax"),
        ("/counter", Value::Null, "`counter` is missing: the settings allow the counter"),
        ("/seed", json!("xyz"), "`seed` is `xyz`, not a hexadecimal number of 64 bits"),
        ("/seed", json!("00112233445566778899"), "`seed` is `00112233445566778899`, not a hexadecimal"),
        ("/limits/sockets", json!("1024"), "`limits.sockets`: invalid type: string \"1024\""),
        ("/limits/sockets", json!(63), "`limits.sockets` is 63, under 64"),
        ("/limits/memory_mb", json!(1), "`limits.memory_mb` is 1, under 4"),
        ("/limits/memory_mb", json!(-1), "`limits.memory_mb`: invalid value: integer `-1`"),
        ("/known/generation", json!("12"), "`known.generation`: invalid type: string \"12\""),
        ("/settings", json!(null), "`settings`: the settings are null, not an object"),
        ("/settings/domain", json!(1), "`settings`: `domain` is 1, not an object"),
    ] {
        let mut document = example();
        *document.pointer_mut(pointer).unwrap_or_else(|| panic!("no {pointer}")) = value;
        let message = parse_error(&document);
        assert!(message.starts_with(prefix), "{pointer}: {message}");
    }
}

#[test]
fn rejects_a_misspelt_key_and_reports_an_unknown_one() {
    for (right, misspelt) in [("listen", "listn"), ("counter", "countr"), ("seed", "sead")] {
        let mut document = example();
        let value = document.as_object_mut().unwrap().remove(right).unwrap();
        document[misspelt] = value;
        assert_eq!(parse_error(&document), format!("`{misspelt}` is unknown: is `{right}` meant?"));
    }
    let mut document = example();
    document["limits"]["socket"] = json!(10);
    document["limits"].as_object_mut().unwrap().remove("sockets");
    assert_eq!(parse_error(&document), "`limits`: `socket` is unknown: is `sockets` meant?");

    let mut newer = example();
    newer["rack"] = json!(4);
    newer["limits"]["files"] = json!(10);
    newer["settings"]["rules"]["quiet-hours"] = json!(true);
    let config = Config::parse(newer.to_string().as_bytes()).unwrap();
    assert_eq!(config.unknown_keys, ["rack", "limits.files", "settings.rules.quiet-hours"]);
}

#[test]
fn a_json_syntax_error_reports_its_line_and_column() {
    let message = format!("{:#}", Config::parse(b"{\"name\": \"n1\",\n \"listen\" 3}").unwrap_err());
    assert!(message.contains("line 2 column 11"), "{message}");
}
