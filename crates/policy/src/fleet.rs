//! All hosts, and lists of those that take work: by pool and by cell, so that a choice looks at the right
//! ones only.

use crate::api::{HostEntry, HostId};
use crate::host::Host;
use crate::pools::bits;
use crate::room::LEAST;
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap};

/// Hosts by their numbers, and lists of those that take work.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Numbers come from discovery, not from clients.
    by_id: HashMap<HostId, Host, rustc_hash::FxBuildHasher>,
    /// Those that take work, in the order of their numbers: all, by pool, and by zone and cell.
    ready: Vec<HostId>,
    by_pool: BTreeMap<usize, Vec<HostId>>,
    by_cell: BTreeMap<(u32, u32), Vec<HostId>>,
    /// Those among them that this gateway works with, see [`subset`]: all, or its circle.
    near: Vec<HostId>,
    /// Circles in which all hosts are once.
    circles: f64,
    /// Of those that this gateway works with, how many are warm.
    warm: usize,
}

/// Whom a request may go to, before any other question is asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Reach {
    /// Hosts of these pools; none: any.
    Pools(u64),
    /// Hosts of one zone, of all its cells or of one.
    Cell(u32, Option<u32>),
}

impl Fleet {
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub fn get(&self, id: HostId) -> Option<&Host> {
        self.by_id.get(&id)
    }

    pub fn get_mut(&mut self, id: HostId) -> Option<&mut Host> {
        self.by_id.get_mut(&id)
    }

    /// The host with this number, which may be new.
    pub fn meet(&mut self, id: HostId) -> &mut Host {
        self.by_id.entry(id).or_default()
    }

    pub fn forget(&mut self, id: HostId) {
        self.by_id.remove(&id);
    }

    /// All hosts, and the slots of each.
    pub fn rooms(&self) -> impl Iterator<Item = (&HostEntry, f64)> {
        self.by_id.values().map(|host| (&host.entry, host.room.slots))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Host> {
        self.by_id.values_mut()
    }

    /// Slots of all that take work, for all gateways.
    pub fn slots(&self) -> f64 {
        let slots = self.by_id.values().filter(|host| host.is_ready()).map(|host| host.room.slots);
        slots.sum::<f64>().max(LEAST)
    }

    /// Hosts that take work, in the order of their numbers.
    pub fn ready(&self) -> &[HostId] {
        &self.ready
    }

    /// Of those, the ones that this gateway works with.
    pub fn near(&self) -> &[HostId] {
        &self.near
    }

    /// Of these, the warm ones.
    pub fn warm(&self) -> usize {
        self.warm
    }

    /// Circles in which all hosts are once: of so many gateways one has a host in its circle.
    pub fn circles(&self) -> f64 {
        self.circles.max(1.0)
    }

    /// One that was cold is warm now.
    pub fn warmed(&mut self) {
        self.warm += 1;
    }

    /// Makes the lists anew: for each list of discovery, not for each request. Gives those that take no work
    /// any more, each once.
    pub fn sort(&mut self, me: u32, gateways: u32) -> Vec<HostId> {
        let mut ready: Vec<&Host> = self.by_id.values().filter(|host| host.is_ready()).collect();
        ready.sort_unstable_by_key(|host| host.entry.id);
        self.by_pool.clear();
        self.by_cell.clear();
        for host in &ready {
            let entry = &host.entry;
            self.by_cell.entry((entry.zone, entry.cell)).or_default().push(entry.id);
            bits(entry.pools).for_each(|pool| self.by_pool.entry(pool).or_default().push(entry.id));
        }
        self.ready = ready.into_iter().map(|host| host.entry.id).collect();
        let numbers: Vec<u64> = self.ready.iter().map(|id| id.0).collect();
        let (me, gateways) = (me as usize, gateways.max(1) as usize);
        self.circles = subset::subset_count(numbers.len(), gateways) as f64;
        let circle = subset::subset_of_gateway(&numbers, me, gateways);
        self.near = circle.into_iter().map(|index| self.ready[index]).collect();
        let far = 1.0 / self.circles();
        self.by_id.values_mut().for_each(|host| host.near = far);
        for id in &self.near {
            self.by_id.entry(*id).and_modify(|host| host.near = 1.0);
        }
        self.warm =
            self.near.iter().filter(|id| self.by_id.get(id).is_some_and(|host| !host.is_cold())).count();
        let mut leave = Vec::new();
        for host in self.by_id.values_mut().filter(|host| !host.is_ready() && !host.is_leaving) {
            host.is_leaving = true;
            leave.push(host.entry.id);
        }
        leave.sort_unstable();
        leave
    }

    /// The lists that hold whom a request may go to; a host may stand in several.
    pub fn lists(&self, reach: Reach) -> SmallVec<[&[HostId]; 4]> {
        match reach {
            Reach::Pools(0) => std::iter::once(self.ready.as_slice()).collect(),
            Reach::Pools(mask) => {
                bits(mask).filter_map(|pool| self.by_pool.get(&pool)).map(Vec::as_slice).collect()
            }
            Reach::Cell(zone, Some(cell)) => {
                self.by_cell.get(&(zone, cell)).map(Vec::as_slice).into_iter().collect()
            }
            Reach::Cell(zone, None) => {
                let cells = self.by_cell.range((zone, 0)..=(zone, u32::MAX));
                cells.map(|(_, list)| list.as_slice()).collect()
            }
        }
    }
}
