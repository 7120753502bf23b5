//! Machines: where they stand, who they are, and what lies between them.

use super::{Room, LOOPBACK};
use crate::slab::Key;
use runtime::Span;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::Arc;

/// Ports for those who do not ask for one, as Linux has them.
const FREE_PORTS: RangeInclusive<u16> = 32_768..=60_999;
/// First byte of all addresses.
const NET: u8 = 10;

/// Where a machine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In this building.
    Building(u32),
    /// Outside, with the clients.
    Client,
}

/// A machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineId(pub(crate) u32);

/// A cut, to be healed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CutId(pub(crate) u64);

/// What a cut looks like to those on both sides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing passes and nobody is told.
    Silent,
    /// Connections are reset, new ones refused.
    Reset,
}

/// A cut that is in force.
pub(crate) struct CutState {
    pub(crate) sides: [BTreeSet<MachineId>; 2],
    pub(crate) how: Cut,
}

impl CutState {
    pub(crate) fn parts(&self, a: MachineId, b: MachineId) -> bool {
        let [one, two] = &self.sides;
        (one.contains(&a) && two.contains(&b)) || (one.contains(&b) && two.contains(&a))
    }
}

/// One machine.
pub(crate) struct MachineState {
    pub(crate) name: Arc<str>,
    place: Place,
    /// It has not vanished.
    pub(crate) up: bool,
    /// Who listens where.
    pub(crate) ports: BTreeMap<u16, Key>,
    /// Ports of the connections that it opened, and to whom.
    pub(crate) opened: BTreeSet<(u16, SocketAddr)>,
    next_port: u16,
}

impl MachineState {
    pub(crate) fn new(name: &str, place: Place) -> MachineState {
        MachineState {
            name: name.into(),
            place,
            up: true,
            ports: BTreeMap::new(),
            opened: BTreeSet::new(),
            next_port: *FREE_PORTS.start(),
        }
    }

    /// A port that nobody listens on and that has no connection to `to`, in turn.
    pub(crate) fn free_port(&mut self, to: Option<SocketAddr>) -> Option<u16> {
        for _ in FREE_PORTS {
            let port = self.next_port;
            self.next_port = if port == *FREE_PORTS.end() { *FREE_PORTS.start() } else { port + 1 };
            let opened = to.is_some_and(|to| self.opened.contains(&(port, to)));
            if !opened && !self.ports.contains_key(&port) {
                return Some(port);
            }
        }
        None
    }
}

impl MachineId {
    pub(crate) fn ip(self) -> IpAddr {
        let [_, a, b, c] = (self.0 + 1).to_be_bytes();
        Ipv4Addr::new(NET, a, b, c).into()
    }
}

impl Room {
    pub(crate) fn machine(&self, id: MachineId) -> &MachineState {
        &self.machines[id.0 as usize]
    }

    pub(crate) fn machine_mut(&mut self, id: MachineId) -> &mut MachineState {
        &mut self.machines[id.0 as usize]
    }

    /// Whose address this is; `from` asks, and has its own under the usual other names too.
    pub(crate) fn machine_at(&self, from: MachineId, ip: IpAddr) -> Option<MachineId> {
        if ip.is_unspecified() || ip.is_loopback() {
            return Some(from);
        }
        let IpAddr::V4(ip) = ip else { return None };
        let [net, a, b, c] = ip.octets();
        let index = u32::from_be_bytes([0, a, b, c]).checked_sub(1)?;
        (net == NET && (index as usize) < self.machines.len()).then_some(MachineId(index))
    }

    /// One way between two machines, without jitter.
    pub(crate) fn delay(&self, a: MachineId, b: MachineId) -> Span {
        if a == b {
            return LOOPBACK;
        }
        match (self.machine(a).place, self.machine(b).place) {
            (Place::Building(one), Place::Building(two)) if one == two => self.network.intra_building,
            (Place::Building(_), Place::Building(_)) => self.network.inter_building,
            _ => self.network.client,
        }
    }

    /// Whether what is due now between two machines arrives.
    pub(crate) fn passes(&self, a: MachineId, b: MachineId) -> bool {
        self.machine(a).up && self.machine(b).up && !self.is_cut(a, b, Cut::Silent)
    }

    /// Whether two machines are cut off from one another in this way. A machine is never from itself.
    pub(crate) fn is_cut(&self, a: MachineId, b: MachineId, how: Cut) -> bool {
        a != b && self.cuts.values().any(|cut| cut.how == how && cut.parts(a, b))
    }
}
