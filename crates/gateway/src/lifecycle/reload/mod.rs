//! What of a configuration that was read again a gateway takes without a start, and what it does not.

use crate::request_routing::Unusable;
use config_language::model::Operators;
use serde_json::Value;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Keys of the document that count without a start.
const TAKEN: [&str; 2] = ["discovery", "counter"];
/// Keys in which a whole list is one thing: another version of it is no news of its parts.
const WHOLE: [&str; 1] = ["known"];
/// Keys that a line names; what is beyond is counted.
const NAMED: usize = 8;

/// What the gateway puts in force, all of it or nothing.
#[derive(Debug)]
pub(crate) struct Reload {
    pub counter: Option<SocketAddr>,
    pub operators: Operators,
    /// Told when it is in force, or why all stays as it was.
    pub done: oneshot::Sender<Result<(), Unusable>>,
}

/// The keys in which a document differs from the one that the gateway started with, as far as it goes on by that one,
/// in words. `None`: there are none.
pub(crate) fn left_for_a_start(started: &Value, now: &Value) -> Option<String> {
    let mut keys = Vec::new();
    differences("", started, now, &mut keys);
    keys.retain(|key| !TAKEN.contains(&key.as_str()));
    let named: Vec<String> = keys.iter().take(NAMED).map(|key| format!("`{key}`")).collect();
    let more = keys.len() - named.len();
    let more = if more > 0 { format!(" and {more} more") } else { String::new() };
    (!keys.is_empty()).then(|| named.join(", ") + &more)
}

/// Adds the full names of the keys whose values are not the same.
fn differences(path: &str, a: &Value, b: &Value, keys: &mut Vec<String>) {
    match (a, b) {
        (Value::Object(a), Value::Object(b)) if !WHOLE.contains(&path) => {
            let only_b = b.keys().filter(|key| !a.contains_key(*key));
            for key in a.keys().chain(only_b) {
                let inner = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                let of =
                    |object: &serde_json::Map<String, Value>| object.get(key).cloned().unwrap_or_default();
                differences(&inner, &of(a), &of(b), keys);
            }
        }
        (Value::Array(a), Value::Array(b)) if a.len() == b.len() => {
            for (number, (a, b)) in a.iter().zip(b).enumerate() {
                differences(&format!("{path}[{number}]"), a, b, keys);
            }
        }
        // One number may be written in two ways.
        (Value::Number(a), Value::Number(b)) if a.as_f64() == b.as_f64() => {}
        _ if a == b => {}
        _ => keys.push(path.to_owned()),
    }
}

#[cfg(test)]
mod tests;
