//! The endpoint list in the form in which discovery sends it.

use serde::Deserialize;
use serde_json::Value;
use std::collections::HashSet;
use std::net::SocketAddr;

/// An endpoint list, or changes to one.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(try_from = "Document")]
pub struct EndpointList {
    /// Version of the list.
    pub generation: u64,
    /// Whether the list is complete (`reset` on the wire): a host that it does not name is gone.
    pub is_complete: bool,
    /// The hosts (`instances` on the wire).
    pub endpoints: Vec<Endpoint>,
    /// Number of entries that could not be read completely.
    pub invalid_entries: usize,
}

impl EndpointList {
    /// Returns this list with changes applied to it.
    pub(crate) fn with_changes(mut self, changes: EndpointList) -> EndpointList {
        let changed: HashSet<&str> = changes.endpoints.iter().map(|host| &*host.instance_id).collect();
        self.endpoints.retain(|host| !changed.contains(&*host.instance_id));
        self.endpoints.extend(changes.endpoints);
        EndpointList { generation: changes.generation, ..self }
    }

    /// Returns whether this is a complete list without a host.
    pub(crate) fn is_complete_and_empty(&self) -> bool {
        self.is_complete && self.endpoints.is_empty()
    }
}

/// One host of the list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Endpoint {
    /// Name of the host, the same at every gateway.
    pub instance_id: String,
    /// Address of the host (`hostPort` on the wire). `None` for a host that accepts nothing new and of which nothing
    /// else could be read.
    #[serde(rename = "hostPort")]
    pub address: Option<SocketAddr>,
    /// State of the host.
    pub lifecycle: Lifecycle,
    /// Name of the host's zone.
    #[serde(default)]
    pub zone: String,
    /// Name of the host's machine type.
    #[serde(default)]
    pub machine_type: String,
    /// Cell of the host.
    #[serde(default)]
    pub cell: u32,
    /// Relative size of the host, without a unit.
    #[serde(default)]
    pub weight: f64,
    /// Latest start of the host, in milliseconds of Unix time; 0 for one long past.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// The host accepts requests.
    InService,
    /// The host is draining: it finishes what is in flight and accepts nothing new.
    Terminating,
    /// The host is gone.
    Terminated,
}

/// The document that discovery sends.
#[derive(Deserialize)]
struct Document {
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Value>,
}

/// The error of a list of which no entry can be read.
#[derive(Debug, thiserror::Error)]
#[error("no entry can be read")]
struct NoEntry;

impl TryFrom<Document> for EndpointList {
    type Error = NoEntry;

    /// Reads the entries one by one: an invalid one does not invalidate the others. That a host drains or is gone
    /// counts whatever else its entry holds, since the version advances and discovery would not send it again.
    fn try_from(document: Document) -> Result<EndpointList, NoEntry> {
        let Document { generation, reset, instances } = document;
        let mut endpoints = Vec::with_capacity(instances.len());
        let mut invalid_entries = 0;
        for entry in &instances {
            match Endpoint::deserialize(entry).ok().filter(|endpoint| endpoint.address.is_some()) {
                Some(endpoint) => endpoints.push(endpoint),
                None => {
                    invalid_entries += 1;
                    endpoints.extend(departure_in(entry));
                }
            }
        }
        if endpoints.is_empty() && !instances.is_empty() {
            return Err(NoEntry);
        }
        Ok(EndpointList { generation, is_complete: reset, endpoints, invalid_entries })
    }
}

/// Reads an invalid entry of a host that drains or is gone, as far as it says so.
fn departure_in(entry: &Value) -> Option<Endpoint> {
    let lifecycle = Lifecycle::deserialize(entry.get("lifecycle")?).ok()?;
    let instance_id = entry.get("instanceId")?.as_str()?.to_owned();
    (lifecycle != Lifecycle::InService).then(|| Endpoint {
        instance_id,
        address: None,
        lifecycle,
        zone: String::new(),
        machine_type: String::new(),
        cell: 0,
        weight: 0.0,
        started_at_ms: 0,
    })
}
