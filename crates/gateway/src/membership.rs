//! The list of hosts, as discovery tells it.

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::collections::HashSet;
use std::net::SocketAddr;

/// A list of hosts, or the entries that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Membership {
    /// Its version.
    #[serde(default)]
    pub generation: u64,
    /// It is whole: a host that is not in it is gone.
    #[serde(default)]
    pub reset: bool,
    /// The hosts.
    #[serde(default, deserialize_with = "readable")]
    pub instances: Vec<Member>,
}

impl Membership {
    /// This list with these changes to it.
    pub(crate) fn changed_by(mut self, changes: Membership) -> Membership {
        let changed: HashSet<&str> = changes.instances.iter().map(|host| &*host.instance_id).collect();
        self.instances.retain(|host| !changed.contains(&*host.instance_id));
        self.instances.extend(changes.instances);
        Membership { generation: changes.generation, ..self }
    }
}

/// One host.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Member {
    /// Its name, the same at every gateway.
    pub instance_id: String,
    /// Where it listens. `None`: what is told is that it wants nothing new, and nothing else of it could be read.
    pub host_port: Option<SocketAddr>,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The name of its kind of machine.
    #[serde(default)]
    pub machine_type: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Its size, without a unit.
    #[serde(default)]
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// Takes work.
    InService,
    /// Finishes what it has, wants nothing new.
    Terminating,
    /// Gone.
    Terminated,
}

/// Entries one by one: what cannot be read of one says nothing of the others. That a host drains or is gone
/// counts whatever else its entry holds: the version goes on, and nobody would say it again.
fn readable<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Member>, D::Error> {
    let all = Vec::<Value>::deserialize(from)?;
    let (count, mut whole) = (all.len(), 0);
    let mut entries = Vec::with_capacity(count);
    for entry in all {
        match Member::deserialize(&entry).ok().filter(|member| member.host_port.is_some()) {
            Some(member) => {
                whole += 1;
                entries.push(member);
            }
            None => entries.extend(end_of(&entry)),
        }
    }
    if whole < count {
        tracing::warn!("discovery: {} of {count} entries cannot be read whole", count - whole);
    }
    if entries.is_empty() && count > 0 {
        return Err(D::Error::custom("no entry can be read"));
    }
    Ok(entries)
}

/// What an entry that cannot be read whole says of a host that wants nothing new.
fn end_of(entry: &Value) -> Option<Member> {
    let lifecycle = Lifecycle::deserialize(entry.get("lifecycle")?).ok()?;
    let instance_id = entry.get("instanceId")?.as_str()?.to_owned();
    (lifecycle != Lifecycle::InService).then(|| Member {
        instance_id,
        host_port: None,
        lifecycle,
        zone: String::new(),
        machine_type: String::new(),
        cell: 0,
        weight: 0.0,
        started_at_ms: 0,
    })
}
