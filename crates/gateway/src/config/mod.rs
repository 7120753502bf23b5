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

/// Minimum number of descriptors: with fewer there is no room for clients beside hosts, discovery and the counter.
pub const MIN_SOCKETS: usize = 64;
/// Minimum memory in which a gateway and its buffers fit, in megabytes.
const MIN_MEMORY_MB: usize = 4;
const KEYS: &[&str] = &["name", "listen", "discovery", "counter", "seed", "limits", "known", "settings"];
const LIMITS: &[&str] = &["cores", "memory_mb", "sockets"];

/// Why a configuration document is rejected.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The document is not JSON.
    #[error(transparent)]
    NotJson(#[from] serde_json::Error),
    /// A key has a value of another type.
    #[error("`{key}`: {error}")]
    Key {
        /// Full name of the key.
        key: String,
        /// What is wrong with its value.
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
    /// Too few descriptors.
    #[error("`limits.sockets` is {0}, under {MIN_SOCKETS}")]
    TooFewSockets(usize),
    /// Too little memory.
    #[error("`limits.memory_mb` is {0}, under {MIN_MEMORY_MB}")]
    TooLittleMemory(usize),
    /// The settings allow the counter, and its address is missing.
    #[error("`counter` is missing: the settings allow the counter, and nothing says where it is")]
    NoCounter,
    /// The seed is not a number.
    #[error("`seed` is `{seed}`, not a hexadecimal number of 64 bits: {error}")]
    Seed {
        /// The value.
        seed: String,
        /// What is wrong with it.
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

/// A configuration that has been checked.
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
    /// Seed of the random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory beyond which the process is killed, in bytes.
    pub memory_bytes: usize,
    /// The endpoint list as the gateway had it before (`known` in the document); it may be old.
    pub cached_endpoints: EndpointList,
    /// The platform's settings.
    pub platform: PlatformSettings,
    /// The operators' files; the document itself names none.
    pub operators: Operators,
    /// Full names of the keys that this version does not know and skips.
    pub unknown_keys: Vec<String>,
    /// The document itself, for comparison with later ones.
    pub document: Value,
}

impl Config {
    /// Reads the document.
    ///
    /// # Errors
    /// What is wrong with the document, with the name of the key.
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

    /// Returns how the memory is divided.
    pub fn memory_budget(&self) -> MemoryBudget {
        MemoryBudget::within(self.memory_bytes, self.sockets)
    }
}

/// Returns the keys that this version does not know, except those of the settings.
fn unknown_keys_of(document: &Value) -> Result<Vec<String>, ConfigError> {
    let mut unknown = unknown_keys(document, KEYS)?;
    if let Some(limits) = document.get("limits").filter(|limits| limits.is_object()) {
        let inside = unknown_keys(limits, LIMITS).map_err(ConfigError::LimitKeys)?;
        unknown.extend(inside.into_iter().map(|key| format!("limits.{key}")));
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
