//! The gateway's configuration document.

pub(crate) mod memory_budget;

use crate::discovery::endpoint_list::EndpointList;
use config_language::model::Operators;
use memory_budget::MemoryBudget;
use platform_settings::{unknown_keys, PlatformSettings, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::num::ParseIntError;

/// Minimum number of file descriptors; with fewer, none would remain for clients besides hosts, discovery and the
/// counter.
pub const MIN_SOCKETS: usize = 64;
/// Minimum memory for a gateway and its buffers, in megabytes.
const MIN_MEMORY_MB: usize = 4;
const DOCUMENT_KEYS: &[&str] =
    &["name", "listen", "discovery", "counter", "seed", "limits", "known", "settings"];
const LIMIT_KEYS: &[&str] = &["cores", "memory_mb", "sockets"];

/// Why a configuration document is rejected.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The document is not JSON.
    #[error(transparent)]
    NotJson(#[from] serde_json::Error),
    /// The value of a key has the wrong type.
    #[error("`{key}`: {error}")]
    Key {
        /// Full name of the key.
        key: String,
        /// The error in its value.
        error: serde_json::Error,
    },
    /// A key of the document is misspelt.
    #[error(transparent)]
    Keys(#[from] SettingsError),
    /// A key of `limits` is misspelt.
    #[error("`limits`: {0}")]
    LimitKeys(SettingsError),
    /// The platform's settings cannot be used.
    #[error("`settings`: {0}")]
    Settings(SettingsError),
    /// The limit of file descriptors is too low.
    #[error("`limits.sockets` is {0}, under {MIN_SOCKETS}")]
    TooFewSockets(usize),
    /// The memory limit is too low.
    #[error("`limits.memory_mb` is {0}, under {MIN_MEMORY_MB}")]
    TooLittleMemory(usize),
    /// The settings allow the counter, but its address is missing.
    #[error("`counter` is missing: the settings allow the counter, but its address is not configured")]
    NoCounter,
    /// The seed is not a hexadecimal number.
    #[error("`seed` is `{seed}`, not a hexadecimal number of 64 bits: {error}")]
    Seed {
        /// The value of the key.
        seed: String,
        /// The parse error.
        error: ParseIntError,
    },
}

#[derive(Debug, Deserialize)]
struct Document {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    #[serde(default = "default_seed")]
    seed: String,
    limits: Limits,
    #[serde(default, rename = "known")]
    cached_endpoints: EndpointList,
    settings: Value,
}

#[derive(Debug, Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

fn default_seed() -> String {
    "0".into()
}

/// The gateway's configuration, parsed from its document and validated.
#[derive(Debug)]
pub struct Config {
    /// Name of the gateway.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Address of the counter service.
    pub counter: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub sockets: usize,
    /// Memory limit above which the process is killed, in bytes.
    pub memory_bytes: usize,
    /// The endpoint list from before the start (`known` in the document); it may be outdated.
    pub cached_endpoints: EndpointList,
    /// The platform's settings.
    pub platform: PlatformSettings,
    /// The operators' files, which the document does not contain.
    pub operators: Operators,
    /// Full names of the keys that this version does not know and ignores.
    pub unknown_keys: Vec<String>,
    /// The document itself, for comparison with later ones.
    pub document: Value,
}

impl Config {
    /// Parses the document.
    ///
    /// # Errors
    /// The document is invalid; the error names the key.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let json: Value = serde_json::from_slice(text)?;
        let mut unknown_keys = unknown_keys_of(&json)?;
        let document: Document = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(
            text,
        ))
        .map_err(|error| ConfigError::Key { key: error.path().to_string(), error: error.into_inner() })?;
        let platform = PlatformSettings::parse(&document.settings).map_err(ConfigError::Settings)?;
        unknown_keys.extend(platform.unknown_keys.iter().map(|key| format!("settings.{key}")));
        check_limits(&document.limits)?;
        if document.counter.is_none() && platform.settings.has_counter {
            return Err(ConfigError::NoCounter);
        }
        Ok(Config {
            seed: parse_seed(&document.seed)?,
            name: document.name,
            listen: document.listen,
            discovery: document.discovery,
            counter: document.counter,
            sockets: document.limits.sockets,
            memory_bytes: document.limits.memory_mb.saturating_mul(1 << 20),
            cached_endpoints: document.cached_endpoints,
            platform,
            operators: Operators::default(),
            unknown_keys,
            document: json,
        })
    }

    /// Returns the memory budget for the limits of the document.
    pub fn memory_budget(&self) -> MemoryBudget {
        MemoryBudget::within(self.memory_bytes, self.sockets)
    }
}

/// Returns the keys that this version does not know, except those of the settings.
fn unknown_keys_of(document: &Value) -> Result<Vec<String>, ConfigError> {
    let mut unknown = unknown_keys(document, DOCUMENT_KEYS)?;
    if let Some(limits) = document.get("limits").filter(|limits| limits.is_object()) {
        let unknown_limits = unknown_keys(limits, LIMIT_KEYS).map_err(ConfigError::LimitKeys)?;
        unknown.extend(unknown_limits.into_iter().map(|key| format!("limits.{key}")));
    }
    Ok(unknown)
}

fn check_limits(limits: &Limits) -> Result<(), ConfigError> {
    if limits.sockets < MIN_SOCKETS {
        return Err(ConfigError::TooFewSockets(limits.sockets));
    }
    if limits.memory_mb < MIN_MEMORY_MB {
        return Err(ConfigError::TooLittleMemory(limits.memory_mb));
    }
    Ok(())
}

fn parse_seed(seed: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(seed, 16).map_err(|error| ConfigError::Seed { seed: seed.to_owned(), error })
}

/// Returns settings for tests, with one class and the plan `team`. The class is named `read` if its semantics are
/// `safe`, and `order` otherwise.
#[cfg(test)]
pub(crate) fn sample(semantics: &str, latency_objective: u64, deadline: u64) -> Value {
    let name = if semantics == "safe" { "read" } else { "order" };
    serde_json::json!({
        "allowed": {"cancel": false, "conn-idle": 60_000_000_000u64, "dial-timeout": 2_000_000_000u64,
            "max-attempts": 1, "may-duplicate": false, "retry-after": false},
        "balancers": 1, "me": 0, "zone": 0, "discovery": "automatic",
        "domain": {"shared-counter": false, "units-top": 6.0},
        "feedback": {"fields": [], "how": "none"},
        "rules": {"cold": 0, "cold-share": 0.0, "must-ask-in": 0},
        "services": [{"name": name, "semantics": semantics, "aim": latency_objective, "hard-limit": deadline, "worth": 1.0,
            "late-worth": 0.0, "stream": false}],
        "tariffs": [{"name": "team", "refill": 0.0, "burst": 0.0, "concurrency": 0, "worth-factor": 1.0,
            "extra-worth": 0.0, "overrun-cost": 0.0, "ceiling-rate": 0.0, "never-over-depth": 0.0,
            "cap-slack": 0.0}],
    })
}
