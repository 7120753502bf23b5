//! Invalid settings are rejected with a one-line message that names the key.

use platform_settings::PlatformSettings;
use proptest::prelude::*;
use serde_json::{json, Value};

fn example_settings() -> Value {
    let document = include_str!("../../../deploy/example.json");
    serde_json::from_str::<Value>(document).unwrap()["settings"].take()
}

/// Returns the example with the value at a JSON pointer replaced or removed.
fn example_with(pointer: &str, value: Option<Value>) -> Value {
    let mut settings = example_settings();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = settings.pointer_mut(parent).unwrap_or_else(|| panic!("no {pointer}"));
    match (parent, value) {
        (Value::Object(object), Some(value)) => drop(object.insert(key.into(), value)),
        (Value::Object(object), None) => {
            assert!(object.remove(key).is_some(), "no {pointer} to remove");
        }
        (Value::Array(list), Some(value)) => list[key.parse::<usize>().unwrap()] = value,
        (other, _) => panic!("{pointer} is in {other}"),
    }
    settings
}

fn rejection_message(settings: &Value) -> String {
    match PlatformSettings::parse(settings) {
        Ok(_) => panic!("accepted: {settings}"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn accepts_the_example_without_unknown_keys() {
    assert_eq!(PlatformSettings::parse(&example_settings()).unwrap().unknown_keys, Vec::<String>::new());
}

#[test]
fn rejects_a_missing_key_by_its_full_name() {
    for (pointer, named) in [
        ("/allowed", "`allowed`"),
        ("/domain", "`domain`"),
        ("/rules", "`rules`"),
        ("/feedback", "`feedback`"),
        ("/services", "`services`"),
        ("/tariffs", "`tariffs`"),
        ("/balancers", "`balancers`"),
        ("/me", "`me`"),
        ("/zone", "`zone`"),
        ("/discovery", "`discovery`"),
        ("/allowed/cancel", "`allowed.cancel`"),
        ("/allowed/may-duplicate", "`allowed.may-duplicate`"),
        ("/allowed/max-attempts", "`allowed.max-attempts`"),
        ("/allowed/retry-after", "`allowed.retry-after`"),
        ("/allowed/max-retry-after", "`allowed.max-retry-after`"),
        ("/allowed/dial-timeout", "`allowed.dial-timeout`"),
        ("/allowed/conn-idle", "`allowed.conn-idle`"),
        ("/domain/shared-counter", "`domain.shared-counter`"),
        ("/domain/counter-timeout", "`domain.counter-timeout`"),
        ("/domain/units-top", "`domain.units-top`"),
        ("/rules/cold", "`rules.cold`"),
        ("/rules/cold-share", "`rules.cold-share`"),
        ("/rules/must-ask-in", "`rules.must-ask-in`"),
        ("/feedback/how", "`feedback.how`"),
        ("/services/1/name", "`services[1].name`"),
        ("/services/0/semantics", "`services[0].semantics`"),
        ("/services/0/aim", "`services[0].aim`"),
        ("/services/0/hard-limit", "`services[0].hard-limit`"),
        ("/services/0/worth", "`services[0].worth`"),
        ("/services/1/late-worth", "`services[1].late-worth`"),
        ("/services/1/stream", "`services[1].stream`"),
        ("/tariffs/1/name", "`tariffs[1].name`"),
        ("/tariffs/0/refill", "`tariffs[0].refill`"),
        ("/tariffs/0/burst", "`tariffs[0].burst`"),
        ("/tariffs/0/concurrency", "`tariffs[0].concurrency`"),
        ("/tariffs/1/worth-factor", "`tariffs[1].worth-factor`"),
        ("/tariffs/1/extra-worth", "`tariffs[1].extra-worth`"),
        ("/tariffs/1/overrun-cost", "`tariffs[1].overrun-cost`"),
        ("/tariffs/1/ceiling-rate", "`tariffs[1].ceiling-rate`"),
        ("/tariffs/1/never-over-depth", "`tariffs[1].never-over-depth`"),
        ("/tariffs/1/cap-slack", "`tariffs[1].cap-slack`"),
    ] {
        assert_eq!(
            rejection_message(&example_with(pointer, None)),
            format!("{named} is missing"),
            "{pointer}"
        );
        assert_eq!(
            rejection_message(&example_with(pointer, Some(Value::Null))),
            format!("{named} is missing"),
            "null {pointer}"
        );
    }
}

#[test]
fn rejects_an_invalid_value_with_the_key_and_the_reason() {
    let keyed = json!({"name": "hold", "semantics": "keyed", "dedup-scope": "house", "key-ttl": 5_000_000_000u64,
        "aim": 500_000_000, "hard-limit": 900_000_000, "worth": 1.0, "late-worth": 0.0, "stream": false});
    let without_ttl = {
        let mut class = keyed.clone();
        class["dedup-scope"] = json!("all");
        class["key-ttl"] = json!(0);
        class
    };
    for (pointer, value, message) in [
        ("/balancers", json!(0), "`me` is 0, but `balancers` is 0: gateways are numbered from 0"),
        ("/balancers", json!(1.5), "`balancers` is 1.5, not an integer from 0 to 4294967295"),
        ("/balancers", json!(1e12), "`balancers` is 1000000000000.0, not an integer from 0 to 4294967295"),
        ("/me", json!(3), "`me` is 3, but `balancers` is 3: gateways are numbered from 0"),
        ("/zone", json!(3), "`zone` is 3, but `localities` names 3 zones, numbered from 0"),
        ("/zone", json!(-1), "`zone` is -1, not an integer from 0 to 4294967295"),
        ("/localities", json!("a"), "`localities` is \"a\", not an array"),
        ("/localities/1", json!(2), "`localities[1]` is 2, not a string"),
        (
            "/discovery",
            json!("automatc"),
            "`discovery` is `automatc`, which is none of `automatic`, `subscribe`",
        ),
        ("/allowed", json!([]), "`allowed` is an array, not an object"),
        ("/allowed/max-attempts", json!(0), "`allowed.max-attempts` is 0: no request could be forwarded"),
        ("/allowed/dial-timeout", json!(0), "`allowed.dial-timeout` is 0, but has to be above 0"),
        (
            "/allowed/dial-timeout",
            json!(250),
            "`allowed.dial-timeout` is 250: times are in nanoseconds, and the shortest is 1000000",
        ),
        ("/allowed/conn-idle", json!("12 s"), "`allowed.conn-idle` is \"12 s\", not an integer number of nanoseconds"),
        (
            "/allowed/conn-idle",
            json!(12_000_000.5),
            "`allowed.conn-idle` is 12000000.5, not an integer number of nanoseconds",
        ),
        (
            "/allowed/conn-idle",
            json!(u64::MAX),
            "`allowed.conn-idle` is 18446744073709551615, not an integer number of nanoseconds",
        ),
        ("/allowed/retry-after", json!(1), "`allowed.retry-after` is 1, not true or false"),
        ("/domain/counter-timeout", json!(0), "`domain.counter-timeout` is 0, but has to be above 0"),
        (
            "/domain/counter-timeout",
            json!(50),
            "`domain.counter-timeout` is 50: times are in nanoseconds, and the shortest is 1000000",
        ),
        ("/domain/units-top", json!(-6.0), "`domain.units-top` is -6.0, not a number of at least 0"),
        ("/rules/cold-share", json!(1.5), "`rules.cold-share` is 1.5, not a fraction from 0 to 1"),
        ("/services", json!([]), "`services` is empty: no request could be served"),
        ("/services", json!({}), "`services` is an object, not an array"),
        ("/services/0", json!(3), "`services[0]` is 3, not an object"),
        ("/services/0/name", json!(""), "`services[0].name` is empty"),
        (
            "/services/1/name",
            json!("price-read"),
            "`services[1].name` is `price-read`, the name of an earlier entry",
        ),
        (
            "/services/0/semantics",
            json!("save"),
            "`services[0].semantics` is `save`, which is none of `safe`, `keyed`, `unsafe`",
        ),
        (
            "/services/0",
            keyed,
            "`services[0].dedup-scope` is `house`, which is none of `all`, `zone`, `cell`",
        ),
        ("/services/0", without_ttl, "`services[0].key-ttl` is 0, but has to be above 0"),
        ("/services/0/aim", json!(0), "`services[0].aim` is 0, but has to be above 0"),
        (
            "/services/0/aim",
            json!(500),
            "`services[0].aim` is 500: times are in nanoseconds, and the shortest is 1000000",
        ),
        (
            "/services/0/hard-limit",
            json!(400_000_000),
            "`services[0].aim` is 500000000, which exceeds `hard-limit` 400000000, the deadline of requests",
        ),
        ("/services/0/late-worth", json!(20), "`services[0].late-worth` is 20, not a fraction from 0 to 1"),
        ("/services/0/worth", json!("2"), "`services[0].worth` is \"2\", not a number of at least 0"),
        ("/tariffs", json!([]), "`tariffs` is empty: no request could be served"),
        ("/tariffs/1/refill", json!("30/s"), "`tariffs[1].refill` is \"30/s\", not a number of at least 0"),
        ("/tariffs/1/refill", json!(-30.0), "`tariffs[1].refill` is -30.0, not a number of at least 0"),
        (
            "/tariffs/1/burst",
            json!(0.0),
            "`tariffs[1].burst` is 0 although the rate is not: a token bucket without capacity admits nothing",
        ),
        (
            "/tariffs/1/ceiling-rate",
            json!(40.0),
            "`tariffs[1].never-over-depth` is 0 although the rate is not: a token bucket without capacity admits nothing",
        ),
        ("/tariffs/0/concurrency", json!(2.5), "`tariffs[0].concurrency` is 2.5, not an integer from 0 to 4294967295"),
        ("/feedback/fields", json!([1]), "`feedback.fields[0]` is 1, not a string"),
    ] {
        assert_eq!(rejection_message(&example_with(pointer, Some(value.clone()))), message, "{pointer} = {value}");
    }
}

#[test]
fn rejects_a_misspelt_key_and_lists_an_unknown_one() {
    for (pointer, misspelt, message) in [
        ("/balancers", "balancer", "`balancer` is unknown: is `balancers` meant?"),
        (
            "/allowed/dial-timeout",
            "dial-timout",
            "`allowed.dial-timout` is unknown: is `dial-timeout` meant?",
        ),
        ("/tariffs/0/refill", "refil", "`tariffs[0].refil` is unknown: is `refill` meant?"),
        ("/services/1/aim", "aims", "`services[1].aims` is unknown: is `aim` meant?"),
    ] {
        let mut settings = example_with(pointer, None);
        let parent = pointer.rsplit_once('/').unwrap().0;
        settings.pointer_mut(parent).unwrap()[misspelt] = json!(1);
        assert_eq!(rejection_message(&settings), message);
    }
    let mut newer = example_settings();
    newer["observability"] = json!({"traces": true});
    newer["tariffs"][1]["colour"] = json!("green");
    assert_eq!(PlatformSettings::parse(&newer).unwrap().unknown_keys, ["observability", "tariffs[1].colour"]);
}

#[test]
fn does_not_require_the_counter_timeout_without_a_counter() {
    let mut settings = example_with("/domain/shared-counter", Some(json!(false)));
    settings["domain"].as_object_mut().unwrap().remove("counter-timeout");
    assert_eq!(PlatformSettings::parse(&settings).unwrap().settings.counter_timeout, 0);
}

/// Returns a strategy for arbitrary JSON values, nested up to three levels.
fn arbitrary_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        ".{0,50}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("[a-z-]{1,8}", inner, 0..4)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// Collects the JSON pointers to all values of a document.
fn collect_pointers(value: &Value, parent: &str, pointers: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(i, value)| (i.to_string(), value)).collect(),
        _ => Vec::new(),
    };
    for (key, value) in children {
        let pointer = format!("{parent}/{key}");
        collect_pointers(value, &pointer, pointers);
        pointers.push(pointer);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// An arbitrary value at an arbitrary position is accepted, or rejected with one short line that names a key.
    #[test]
    fn an_arbitrary_value_is_accepted_or_rejected_without_a_panic(position in any::<prop::sample::Index>(), value in arbitrary_value()) {
        let mut pointers = Vec::new();
        collect_pointers(&example_settings(), "", &mut pointers);
        let settings = example_with(&pointers[position.index(pointers.len())], Some(value));
        if let Err(error) = PlatformSettings::parse(&settings) {
            let message = error.to_string();
            prop_assert!(message.starts_with('`') && message.len() < 300, "{}", message);
            prop_assert!(!message.contains('\n'), "{}", message);
        }
    }
}
