use super::*;
use serde_json::json;

fn example() -> Value {
    serde_json::from_str(include_str!("../../../../../deploy/example.json")).unwrap()
}

/// Returns the named keys if the example has these values in place of its own.
fn named_keys(changes: &[(&str, Value)]) -> Option<String> {
    let mut document = example();
    for (pointer, value) in changes {
        match document.pointer_mut(pointer) {
            Some(place) => *place = value.clone(),
            None => document[&pointer[1..]] = value.clone(),
        }
    }
    keys_that_need_a_start(&example(), &document)
}

#[test]
fn each_key_that_needs_a_start_is_named_and_no_other() {
    for (pointer, value, named) in [
        ("/discovery", json!("127.0.0.1:1"), None),
        ("/counter", json!("127.0.0.1:1"), None),
        // The same figure, written in another way.
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
fn many_keys_are_one_bounded_line() {
    let all: Vec<String> = (0..20).map(|number| format!("/more-{number:02}")).collect();
    let changes: Vec<(&str, Value)> = all.iter().map(|key| (key.as_str(), json!(1))).collect();
    let line = named_keys(&changes).unwrap();
    assert!(line.starts_with("`more-00`, `more-01`, ") && line.ends_with("`more-07` and 12 more"), "{line}");
}

#[test]
fn a_key_that_is_gone_is_named_like_one_that_came() {
    let mut without = example();
    without.as_object_mut().unwrap().remove("known");
    let line = Some("`known`".to_owned());
    assert_eq!(keys_that_need_a_start(&example(), &without), line);
    assert_eq!(keys_that_need_a_start(&without, &example()), line);
    without["counter"] = Value::Null;
    without["known"] = example()["known"].clone();
    assert_eq!(
        keys_that_need_a_start(&example(), &without),
        None,
        "where the counter is counts at once, also that there is none"
    );
}
