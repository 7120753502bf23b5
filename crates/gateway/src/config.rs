//! What this gateway is told at its start.

use crate::membership::Membership;
use anyhow::Result;
use fennelbeam_settings::Site;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// With fewer descriptors there is no room for clients beside hosts, discovery and the counter.
pub const MIN_SOCKETS: usize = 64;

#[derive(Debug, Deserialize)]
struct Document {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    #[serde(default)]
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
    pub site: Site,
}

impl Config {
    /// Reads the document. The error says what is wrong with it.
    pub fn parse(text: &[u8]) -> Result<Config> {
        let document: Document = serde_json::from_slice(text)?;
        let site = Site::parse(&document.settings)?;
        anyhow::ensure!(document.limits.sockets >= MIN_SOCKETS, "limits.sockets is under {MIN_SOCKETS}");
        anyhow::ensure!(
            document.counter.is_some() || !site.settings.counter,
            "the settings allow the counter, but `counter` gives no address"
        );
        Ok(Config {
            name: document.name,
            listen: document.listen,
            discovery: document.discovery,
            counter: document.counter,
            seed: u64::from_str_radix(&document.seed, 16).unwrap_or(0),
            sockets: document.limits.sockets,
            memory: document.limits.memory_mb.saturating_mul(1 << 20),
            known: document.known,
            site,
        })
    }
}
