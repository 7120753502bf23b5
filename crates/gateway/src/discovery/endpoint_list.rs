//! The list of hosts, as discovery tells it.

use serde::Deserialize;
use serde_json::Value;
use std::collections::HashSet;
use std::net::SocketAddr;

/// A list of hosts, or the entries that changed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(try_from = "Told")]
pub struct Membership {
    /// Its version.
    pub generation: u64,
    /// It is whole: a host that is not in it is gone.
    pub reset: bool,
    /// The hosts.
    pub instances: Vec<Member>,
    /// Entries that could not be read whole, if only some of each.
    pub unreadable: usize,
}

/// A list as it comes.
#[derive(Deserialize)]
struct Told {
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Value>,
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

/// Why a list says nothing.
#[derive(Debug, thiserror::Error)]
#[error("no entry can be read")]
struct NoEntry;

impl TryFrom<Told> for Membership {
    type Error = NoEntry;

    /// Entries one by one: what cannot be read of one says nothing of the others. That a host drains or is gone
    /// counts whatever else its entry holds: the version goes on, and nobody would say it again.
    fn try_from(told: Told) -> Result<Membership, NoEntry> {
        let Told { generation, reset, instances: all } = told;
        let (mut instances, mut unreadable) = (Vec::with_capacity(all.len()), 0);
        for entry in &all {
            match Member::deserialize(entry).ok().filter(|member| member.host_port.is_some()) {
                Some(member) => instances.push(member),
                None => {
                    unreadable += 1;
                    instances.extend(end_of(entry));
                }
            }
        }
        if instances.is_empty() && !all.is_empty() {
            return Err(NoEntry);
        }
        Ok(Membership { generation, reset, instances, unreadable })
    }
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
