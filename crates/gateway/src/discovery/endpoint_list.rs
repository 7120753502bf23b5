//! The endpoint list, parsed from the document that discovery sends.

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
    /// Whether the list is complete (`reset` on the wire): a host that it does not name has been removed.
    pub is_complete: bool,
    /// The hosts (`instances` on the wire).
    pub endpoints: Vec<Endpoint>,
    /// Number of entries that could not be parsed completely.
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
    /// Address of the host (`hostPort` on the wire). `None` if the entry is invalid and only shows that the host is
    /// draining or has been removed.
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
    /// Latest start of the host, in milliseconds of Unix time; 0 for a start in the distant past.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// The host accepts requests.
    InService,
    /// The host is draining: it finishes the requests in flight and accepts no new ones.
    Terminating,
    /// The host has been removed.
    Terminated,
}

/// The document as discovery sends it.
#[derive(Deserialize)]
struct Document {
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Value>,
}

/// None of the entries of a list can be parsed.
#[derive(Debug, thiserror::Error)]
#[error("no entry can be read")]
struct NoEntry;

impl TryFrom<Document> for EndpointList {
    type Error = NoEntry;

    /// Parses each entry separately, so that an invalid one does not invalidate the others. An entry that marks its
    /// host as draining or removed takes effect even if the rest of it is invalid: the version advances, so discovery
    /// would not send the entry again.
    fn try_from(document: Document) -> Result<EndpointList, NoEntry> {
        let Document { generation, reset, instances } = document;
        let mut endpoints = Vec::with_capacity(instances.len());
        let mut invalid_entries = 0;
        for entry in &instances {
            match Endpoint::deserialize(entry).ok().filter(|endpoint| endpoint.address.is_some()) {
                Some(endpoint) => endpoints.push(endpoint),
                None => {
                    invalid_entries += 1;
                    endpoints.extend(parse_departure(entry));
                }
            }
        }
        if endpoints.is_empty() && !instances.is_empty() {
            return Err(NoEntry);
        }
        Ok(EndpointList { generation, is_complete: reset, endpoints, invalid_entries })
    }
}

/// Parses an invalid entry for the departure of its host: that the host is draining or has been removed.
fn parse_departure(entry: &Value) -> Option<Endpoint> {
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
