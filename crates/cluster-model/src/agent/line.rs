//! What an agent tells, as text.

use super::Endpoint;
use crate::observation::Lifecycle;
use crate::{Time, MS};
use std::net::SocketAddr;

/// A line that an agent tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryMessage {
    /// A JSON object, or nothing while nothing changes; without the end of the line.
    pub text: String,
    /// What it tells. A whole list tells also of the hosts that are no longer in it.
    pub endpoints: Vec<EndpointStatus>,
}

/// What a line tells of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointStatus {
    /// Number of the host.
    pub host: u32,
    /// Its state.
    pub state: Lifecycle,
    /// When it last started; 0: long ago.
    pub started: Time,
}

impl DiscoveryMessage {
    /// Of these hosts, to the gateway of this number. In a whole list (`reset`) those that are gone do not
    /// stand.
    pub(super) fn new(gateway: u32, generation: u64, reset: bool, members: &[&Endpoint]) -> DiscoveryMessage {
        let mut members = members.to_vec();
        members.sort_by_key(|member| member.host);
        let reached: Vec<_> =
            members.iter().filter_map(|m| m.addrs.get(gateway as usize).map(|addr| (*m, addr))).collect();
        let stands = |member: &Endpoint| !reset || member.lifecycle != Lifecycle::Removed;
        let objects: Vec<String> =
            reached.iter().filter(|(m, _)| stands(m)).map(|(m, addr)| object(m, addr)).collect();
        let text =
            format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, objects.join(","));
        DiscoveryMessage {
            text,
            endpoints: reached.iter().map(|(member, _)| EndpointStatus::of(member)).collect(),
        }
    }
}

impl EndpointStatus {
    pub(super) fn of(member: &Endpoint) -> EndpointStatus {
        let started = member.started_ms.saturating_mul(MS);
        EndpointStatus { host: member.host, state: member.lifecycle, started }
    }
}

/// The fields stand in the order of the protocol's example; a JSON library's order may hang on its features.
fn object(member: &Endpoint, addr: &SocketAddr) -> String {
    let lifecycle = match member.lifecycle {
        Lifecycle::InService => "in_service",
        Lifecycle::Draining => "terminating",
        Lifecycle::Removed => "terminated",
    };
    let Endpoint { id, zone, machine_type, cell, weight, started_ms, .. } = member;
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
