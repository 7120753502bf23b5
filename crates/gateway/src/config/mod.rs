//! What this gateway is told at its start.

pub(crate) mod memory_budget;

use crate::config::memory_budget::Budget;
use crate::discovery::endpoint_list::Membership;
use anyhow::{anyhow, ensure, Context, Result};
use config_language::model::Operators;
use platform_settings::{unknown_keys, PlatformSettings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// With fewer descriptors there is no room for clients beside hosts, discovery and the counter.
pub const MIN_SOCKETS: usize = 64;

/// A gateway and its buffers do not fit in less.
const MIN_MEMORY_MB: usize = 4;
const KEYS: &[&str] = &["name", "listen", "discovery", "counter", "seed", "limits", "known", "settings"];
const LIMITS: &[&str] = &["cores", "memory_mb", "sockets"];

#[derive(Debug, Deserialize)]
struct Document {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    #[serde(default = "no_seed")]
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Membership,
    settings: Value,
}

#[derive(Debug, Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

fn no_seed() -> String {
    "0".into()
}

/// The configuration, checked.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
    /// The counter service.
    pub counter: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes beyond which it is killed.
    pub memory: usize,
    /// The list of hosts as it was last held.
    pub known: Membership,
    /// The settings.
    pub site: PlatformSettings,
    /// What the operators' files say; the document itself names none.
    pub operators: Operators,
    /// Keys that are not known here and are skipped, by their full names.
    pub unknown: Vec<String>,
    /// The document itself, which another one is compared with.
    pub document: Value,
}

impl Config {
    /// Reads the document. The error says what is wrong with it, and names the key.
    pub fn parse(text: &[u8]) -> Result<Config> {
        let whole: Value = serde_json::from_slice(text)?;
        let mut unknown = keys(&whole)?;
        let document: Document =
            serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(text))
                .map_err(|error| anyhow!("`{}`: {}", error.path(), error.inner()))?;
        let site = PlatformSettings::parse(&document.settings).context("`settings`")?;
        unknown.extend(site.unknown_keys.iter().map(|key| format!("settings.{key}")));
        let (limits, counter) = (&document.limits, document.counter);
        ensure!(limits.sockets >= MIN_SOCKETS, "`limits.sockets` is {}, under {MIN_SOCKETS}", limits.sockets);
        let memory_mb = limits.memory_mb;
        ensure!(memory_mb >= MIN_MEMORY_MB, "`limits.memory_mb` is {memory_mb}, under {MIN_MEMORY_MB}");
        ensure!(
            counter.is_some() || !site.settings.has_counter,
            "`counter` is missing: the settings allow the counter, and nothing says where it is"
        );
        let seed = &document.seed;
        let seed = u64::from_str_radix(seed, 16)
            .with_context(|| format!("`seed` is `{seed}`, not a hexadecimal number of 64 bits"))?;
        Ok(Config {
            name: document.name,
            listen: document.listen,
            discovery: document.discovery,
            counter: document.counter,
            seed,
            sockets: document.limits.sockets,
            memory: document.limits.memory_mb.saturating_mul(1 << 20),
            known: document.known,
            site,
            operators: Operators::default(),
            unknown,
            document: whole,
        })
    }

    /// What the memory goes to.
    pub fn budget(&self) -> Budget {
        Budget::within(self.memory, self.sockets)
    }
}

/// The keys that are not known here, outside the settings; an error for a misspelt one.
fn keys(document: &Value) -> Result<Vec<String>> {
    let mut unknown = unknown_keys(document, KEYS)?;
    if let Some(limits) = document.get("limits").filter(|limits| limits.is_object()) {
        let inside = unknown_keys(limits, LIMITS).context("`limits`")?;
        unknown.extend(inside.into_iter().map(|key| format!("limits.{key}")));
    }
    Ok(unknown)
}

/// Settings of one class, named `read` where it is safe and else `order`, and of the plan `team`, for tests.
#[cfg(test)]
pub(crate) fn sample(semantics: &str, aim: u64, limit: u64) -> Value {
    let name = if semantics == "safe" { "read" } else { "order" };
    serde_json::json!({
        "allowed": {"cancel": false, "conn-idle": 60_000_000_000u64, "dial-timeout": 2_000_000_000u64,
            "max-attempts": 1, "may-duplicate": false, "retry-after": false},
        "balancers": 1, "me": 0, "zone": 0, "discovery": "automatic",
        "domain": {"shared-counter": false, "units-top": 6.0},
        "feedback": {"fields": [], "how": "none"},
        "rules": {"cold": 0, "cold-share": 0.0, "must-ask-in": 0},
        "services": [{"name": name, "semantics": semantics, "aim": aim, "hard-limit": limit, "worth": 1.0,
            "late-worth": 0.0, "stream": false}],
        "tariffs": [{"name": "team", "refill": 0.0, "burst": 0.0, "concurrency": 0, "worth-factor": 1.0,
            "extra-worth": 0.0, "overrun-cost": 0.0, "ceiling-rate": 0.0, "never-over-depth": 0.0,
            "cap-slack": 0.0}],
    })
}
