//! Messages that an agent sends, as text and as the endpoint states in them.

use super::Endpoint;
use crate::observation::Lifecycle;
use crate::{Time, MS};
use std::net::SocketAddr;

/// An endpoint list, a watch event or a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryMessage {
    /// A JSON object without a line end; empty for a heartbeat.
    pub text: String,
    /// States of the endpoints that the message covers. A complete list also covers removed endpoints, by their
    /// absence.
    pub endpoints: Vec<EndpointStatus>,
}

/// State of an endpoint in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointStatus {
    /// Number of the host.
    pub host: u32,
    /// State of the host.
    pub state: Lifecycle,
    /// When the host last started; 0 if it started before the run.
    pub started: Time,
}

impl DiscoveryMessage {
    /// Creates a message with these endpoints for a gateway. A complete list (`reset`) omits removed endpoints.
    pub(super) fn new(
        gateway: u32,
        generation: u64,
        reset: bool,
        endpoints: &[&Endpoint],
    ) -> DiscoveryMessage {
        let mut endpoints = endpoints.to_vec();
        endpoints.sort_by_key(|endpoint| endpoint.host);
        let reachable: Vec<_> =
            endpoints.iter().filter_map(|e| e.addrs.get(gateway as usize).map(|addr| (*e, addr))).collect();
        let is_listed = |endpoint: &Endpoint| !reset || endpoint.lifecycle != Lifecycle::Removed;
        let objects: Vec<String> =
            reachable.iter().filter(|(e, _)| is_listed(e)).map(|(e, addr)| object(e, addr)).collect();
        let text =
            format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, objects.join(","));
        DiscoveryMessage {
            text,
            endpoints: reachable.iter().map(|(endpoint, _)| EndpointStatus::of(endpoint)).collect(),
        }
    }
}

impl EndpointStatus {
    pub(super) fn of(endpoint: &Endpoint) -> EndpointStatus {
        let started = endpoint.started_ms.saturating_mul(MS);
        EndpointStatus { host: endpoint.host, state: endpoint.lifecycle, started }
    }
}

/// Formats an endpoint with the fields in the order of the protocol's example; the order of a JSON library may
/// depend on its features.
fn object(endpoint: &Endpoint, addr: &SocketAddr) -> String {
    let lifecycle = match endpoint.lifecycle {
        Lifecycle::InService => "in_service",
        Lifecycle::Draining => "terminating",
        Lifecycle::Removed => "terminated",
    };
    let Endpoint { id, zone, machine_type, cell, weight, started_ms, .. } = endpoint;
    format!(
        r#"{{"instanceId":{},"hostPort":"{addr}","zone":{},"machineType":{},"cell":{cell},"lifecycle":"{lifecycle}","weight":{weight:?},"startedAtMs":{started_ms}}}"#,
        quoted(id),
        quoted(zone),
        quoted(machine_type),
    )
}

fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
