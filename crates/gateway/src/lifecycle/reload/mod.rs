//! The part of a configuration that a running gateway can reload, and the detection of changes that require a restart.

use crate::request_routing::OperatorsError;
use config_language::model::Operators;
use serde_json::Value;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Keys of the document that take effect without a restart.
const RELOADABLE_KEYS: [&str; 2] = ["discovery", "counter"];
/// Keys whose differences are not reported by inner key: the differences between two endpoint lists are irrelevant.
const OPAQUE_KEYS: [&str; 1] = ["known"];
/// Maximum number of keys that a log line names; further ones are counted.
const MAX_NAMED: usize = 8;

/// The reloadable part of a configuration, which takes effect completely or not at all.
#[derive(Debug)]
pub(crate) struct Reload {
    pub counter: Option<SocketAddr>,
    pub operators: Operators,
    /// Receives the result.
    pub done: oneshot::Sender<Result<(), OperatorsError>>,
}

/// Returns the names of the keys that differ from the initial document and take effect only at a restart; `None` if
/// there are none.
pub(crate) fn keys_requiring_restart(initial: &Value, current: &Value) -> Option<String> {
    let mut keys = Vec::new();
    collect_differences("", initial, current, &mut keys);
    keys.retain(|key| !RELOADABLE_KEYS.contains(&key.as_str()));
    if keys.is_empty() {
        return None;
    }
    let named: Vec<String> = keys.iter().take(MAX_NAMED).map(|key| format!("`{key}`")).collect();
    let others = keys.len() - named.len();
    let others = if others > 0 { format!(" and {others} more") } else { String::new() };
    Some(named.join(", ") + &others)
}

/// Adds the full names of the keys whose values differ.
fn collect_differences(path: &str, old: &Value, new: &Value, keys: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) if !OPAQUE_KEYS.contains(&path) => {
            let added = new.keys().filter(|key| !old.contains_key(*key));
            for key in old.keys().chain(added) {
                let full_name = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                let value_in =
                    |object: &serde_json::Map<String, Value>| object.get(key).cloned().unwrap_or_default();
                collect_differences(&full_name, &value_in(old), &value_in(new), keys);
            }
        }
        (Value::Array(old), Value::Array(new)) if old.len() == new.len() => {
            for (index, (old, new)) in old.iter().zip(new).enumerate() {
                collect_differences(&format!("{path}[{index}]"), old, new, keys);
            }
        }
        // The same number may be written in several ways.
        (Value::Number(old), Value::Number(new)) if old.as_f64() == new.as_f64() => {}
        _ if old == new => {}
        _ => keys.push(path.to_owned()),
    }
}

#[cfg(test)]
mod tests;
