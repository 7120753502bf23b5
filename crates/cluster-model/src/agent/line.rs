//! What an agent tells, as text.

use super::Member;
use crate::seen::Told;
use crate::{Time, MS};
use std::net::SocketAddr;

/// A line that an agent tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Line {
    /// A JSON object, or nothing while nothing changes; without the end of the line.
    pub text: String,
    /// What it tells. A whole list tells also of the hosts that are no longer in it.
    pub told: Vec<Entry>,
}

/// What a line tells of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Number of the host.
    pub host: u32,
    /// Its state.
    pub state: Told,
    /// When it last started; 0: long ago.
    pub started: Time,
}

impl Line {
    /// Of these hosts, to the gateway of this number. In a whole list (`reset`) those that are gone do not
    /// stand.
    pub(super) fn new(gateway: u32, generation: u64, reset: bool, members: &[&Member]) -> Line {
        let mut members = members.to_vec();
        members.sort_by_key(|member| member.host);
        let reached: Vec<_> =
            members.iter().filter_map(|m| m.addrs.get(gateway as usize).map(|addr| (*m, addr))).collect();
        let stands = |member: &Member| !reset || member.lifecycle != Told::Gone;
        let objects: Vec<String> =
            reached.iter().filter(|(m, _)| stands(m)).map(|(m, addr)| object(m, addr)).collect();
        let text =
            format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, objects.join(","));
        Line { text, told: reached.iter().map(|(member, _)| Entry::of(member)).collect() }
    }
}

impl Entry {
    pub(super) fn of(member: &Member) -> Entry {
        let started = member.started_ms.saturating_mul(MS);
        Entry { host: member.host, state: member.lifecycle, started }
    }
}

/// The fields stand in the order of the protocol's example; a JSON library's order may hang on its features.
fn object(member: &Member, addr: &SocketAddr) -> String {
    let lifecycle = match member.lifecycle {
        Told::InService => "in_service",
        Told::Draining => "terminating",
        Told::Gone => "terminated",
    };
    let Member { id, zone, machine_type, cell, weight, started_ms, .. } = member;
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
