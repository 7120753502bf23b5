//! The pools of one version of the routing table with their bits, and which of them a host is in.

use std::collections::{BTreeMap, BTreeSet};

use config_language::model::{At, Pool};

use crate::error::{RoutingError, RoutingErrorKind};
use crate::limits::MAX_POOLS;
use crate::platform_names::{check_names, PlatformNames};
use crate::pool_mask::PoolMask;

/// Attributes of a host, as discovery reports them, by which pools select their hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostAttributes<'a> {
    /// Id of the host. Pools select hosts by prefixes of it.
    pub id: &'a str,
    /// Name of the zone.
    pub zone: &'a str,
    /// Machine type, `machines` in the operators' language.
    pub machine_type: &'a str,
    /// Number of the cell.
    pub cell: u32,
}

/// A pool with its bit.
#[derive(Clone, Debug)]
struct PoolEntry {
    bit: u32,
    pool: Pool,
    /// The pool is no longer in the files, but requests in flight still use it.
    is_removed: bool,
}

impl PoolEntry {
    fn name(&self) -> &str {
        &self.pool.name.value
    }

    fn mask(&self) -> PoolMask {
        PoolMask::single(self.bit)
    }

    /// Returns whether a host has all attributes that the pool selects by. An attribute without a list matches every
    /// host; an empty list matches none.
    fn contains(&self, host: &HostAttributes) -> bool {
        fn matches_any<T>(wanted: &Option<At<Vec<T>>>, matches: impl Fn(&T) -> bool) -> bool {
            wanted.as_ref().is_none_or(|list| list.value.iter().any(matches))
        }
        matches_any(&self.pool.zones, |zone| zone == host.zone)
            && matches_any(&self.pool.machines, |machine_type| machine_type == host.machine_type)
            && matches_any(&self.pool.cells, |cells| cells.contains(&host.cell))
            && matches_any(&self.pool.ids, |prefix| host.id.starts_with(prefix.as_str()))
    }
}

/// The pools of one version, in the order of their bits.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSet(Vec<PoolEntry>);

impl PoolSet {
    /// Assigns each pool a bit: the one that its name has in `previous`, otherwise the lowest one that is free. A pool
    /// of `previous` that is no longer among `pools` keeps its bit if `in_use` has it.
    ///
    /// # Errors
    /// Too many pools, a name that is unknown or not unique, or no free bit for a new pool.
    pub(crate) fn assign_bits(
        pools: &[Pool],
        names: &PlatformNames,
        previous: &PoolSet,
        in_use: PoolMask,
    ) -> Result<PoolSet, RoutingError> {
        check_pools(pools, names)?;
        let previous_masks = previous.masks_by_name();
        let mut entries = previous.removed_but_in_use(pools, in_use);
        let kept = entries.iter().map(PoolEntry::mask);
        let reused = pools.iter().filter_map(|pool| previous_masks.get(pool.name.value.as_str()).copied());
        let mut assigned: PoolMask = kept.chain(reused).collect();
        for pool in pools {
            let previous_mask = previous_masks.get(pool.name.value.as_str());
            let bit = previous_mask.map_or(assigned.0.trailing_ones(), |mask| mask.0.trailing_zeros());
            if bit as usize == MAX_POOLS {
                let name = pool.name.value.clone();
                return Err(RoutingErrorKind::NoFreePoolBit(name).at(&pool.name.origin));
            }
            assigned |= PoolMask::single(bit);
            entries.push(PoolEntry { bit, pool: pool.clone(), is_removed: false });
        }
        entries.sort_unstable_by_key(|entry| entry.bit);
        Ok(PoolSet(entries))
    }

    /// Returns the entries whose pools are not among `pools` but are still used by requests in flight.
    fn removed_but_in_use(&self, pools: &[Pool], in_use: PoolMask) -> Vec<PoolEntry> {
        let named: BTreeSet<&str> = pools.iter().map(|pool| pool.name.value.as_str()).collect();
        let is_kept = |entry: &&PoolEntry| !named.contains(entry.name()) && entry.mask().intersects(in_use);
        let kept = self.0.iter().filter(is_kept);
        kept.map(|entry| PoolEntry { is_removed: true, ..entry.clone() }).collect()
    }

    /// Returns the mask of each pool by name, including removed pools.
    fn masks_by_name(&self) -> BTreeMap<&str, PoolMask> {
        self.0.iter().map(|entry| (entry.name(), entry.mask())).collect()
    }

    /// Returns the pools that a host is in.
    pub(crate) fn pools_of(&self, host: &HostAttributes) -> PoolMask {
        self.0.iter().filter(|entry| entry.contains(host)).map(PoolEntry::mask).collect()
    }

    /// Returns the pools that a host is in according to this version but not according to `next`, as bits of this
    /// version.
    pub(crate) fn pools_left_by(&self, next: &PoolSet, host: &HostAttributes) -> PoolMask {
        let stays = |name| next.0.iter().any(|entry| entry.name() == name && entry.contains(host));
        let left = self.0.iter().filter(|entry| entry.contains(host) && !stays(entry.name()));
        left.map(PoolEntry::mask).collect()
    }

    /// Returns the mask of each pool that the files define, by name, without removed pools.
    pub(crate) fn defined_masks_by_name(&self) -> BTreeMap<&str, PoolMask> {
        let present = self.0.iter().filter(|entry| !entry.is_removed);
        present.map(|entry| (entry.name(), entry.mask())).collect()
    }

    /// Returns the names of the pools in a mask.
    pub(crate) fn names(&self, mask: PoolMask) -> impl Iterator<Item = &str> {
        self.0.iter().filter(move |entry| entry.mask().intersects(mask)).map(PoolEntry::name)
    }
}

/// Checks that there are not too many pools, that their names are unique, and that the platform has all zones and
/// machine types that they name.
fn check_pools(pools: &[Pool], names: &PlatformNames) -> Result<(), RoutingError> {
    if let Some(pool) = pools.get(MAX_POOLS) {
        return Err(RoutingErrorKind::TooManyPools(pool.name.value.clone()).at(&pool.name.origin));
    }
    let mut unique = BTreeSet::new();
    for pool in pools {
        if !unique.insert(&pool.name.value) {
            return Err(RoutingErrorKind::DuplicatePool(pool.name.value.clone()).at(&pool.name.origin));
        }
        if let Some(zones) = &pool.zones {
            check_names(zones, names.zones, RoutingErrorKind::UnknownZone)?;
        }
        if let Some(machine_types) = &pool.machines {
            check_names(machine_types, names.machine_types, RoutingErrorKind::UnknownMachineType)?;
        }
    }
    Ok(())
}
