use super::*;
use serde_json::json;

fn example() -> Value {
    serde_json::from_str(include_str!("../../../../../deploy/example.json")).unwrap()
}

/// Returns the names of the keys that require a restart if these values of the example document change.
fn named_keys(changes: &[(&str, Value)]) -> Option<String> {
    let mut document = example();
    for (pointer, value) in changes {
        match document.pointer_mut(pointer) {
            Some(slot) => *slot = value.clone(),
            None => document[&pointer[1..]] = value.clone(),
        }
    }
    keys_requiring_restart(&example(), &document)
}

#[test]
fn names_the_keys_that_require_a_restart_and_no_others() {
    for (pointer, value, named) in [
        ("/discovery", json!("127.0.0.1:1"), None),
        ("/counter", json!("127.0.0.1:1"), None),
        // The same number, written differently.
        ("/settings/tariffs/0/refill", json!(4), None),
        ("/name", json!("gateway-2"), Some("`name`")),
        ("/listen", json!("127.0.0.1:1"), Some("`listen`")),
        ("/seed", json!("1"), Some("`seed`")),
        ("/limits/memory_mb", json!(4096), Some("`limits.memory_mb`")),
        ("/known/instances/1/lifecycle", json!("terminating"), Some("`known`")),
        ("/known/generation", json!(13), Some("`known`")),
        ("/settings/services/0/hard-limit", json!(1), Some("`settings.services[0].hard-limit`")),
        ("/settings/services/1/semantics", json!("safe"), Some("`settings.services[1].semantics`")),
        ("/settings/services", json!([]), Some("`settings.services`")),
        ("/settings/domain/shared-counter", json!(false), Some("`settings.domain.shared-counter`")),
        ("/added", json!(1), Some("`added`")),
    ] {
        assert_eq!(named_keys(&[(pointer, value)]).as_deref(), named, "{pointer}");
    }
}

#[test]
fn many_keys_are_named_in_one_bounded_line() {
    let names: Vec<String> = (0..20).map(|number| format!("/more-{number:02}")).collect();
    let changes: Vec<(&str, Value)> = names.iter().map(|key| (key.as_str(), json!(1))).collect();
    let line = named_keys(&changes).unwrap();
    assert!(line.starts_with("`more-00`, `more-01`, ") && line.ends_with("`more-07` and 12 more"), "{line}");
}

#[test]
fn a_removed_key_is_named_like_an_added_one() {
    let mut without = example();
    without.as_object_mut().unwrap().remove("known");
    let line = Some("`known`".to_owned());
    assert_eq!(keys_requiring_restart(&example(), &without), line);
    assert_eq!(keys_requiring_restart(&without, &example()), line);
    without["counter"] = Value::Null;
    without["known"] = example()["known"].clone();
    assert_eq!(
        keys_requiring_restart(&example(), &without),
        None,
        "the removal of the counter requires a restart"
    );
}
