//! Which pools a host is in.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{BitOr, BitOrAssign};

use config_language::model::{At, Pool};

use crate::{PlatformNames, RoutingError, RoutingErrorKind};

/// The most pools that may stand at a time: one for each bit of a mask.
pub const MAX_POOLS: usize = 64;

/// A set of pools, a bit each. Which pool a bit stands for stays the same from one version of the routes to the
/// next while the pool's name stays, see [`RoutingTable::compile_after`](crate::RoutingTable::compile_after).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolMask(pub u64);

impl PoolMask {
    /// No pool. A host with this mask is in none; a choice with it as fall-back has none.
    pub const NONE: PoolMask = PoolMask(0);
    /// As the pool of a choice: any host will do, those in no pool included. No route makes this mask: what it
    /// names is one pool, one bit.
    pub const ALL: PoolMask = PoolMask(u64::MAX);

    /// Whether a request sent to these pools may go to a host that is in those.
    #[inline]
    pub fn accepts(self, host: PoolMask) -> bool {
        self.0 & host.0 != 0 || self == PoolMask::ALL
    }

    /// Whether it has no pool.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    fn bit(bit: u32) -> PoolMask {
        PoolMask(1 << bit)
    }
}

impl BitOr for PoolMask {
    type Output = PoolMask;
    fn bitor(self, other: PoolMask) -> PoolMask {
        PoolMask(self.0 | other.0)
    }
}

impl BitOrAssign for PoolMask {
    fn bitor_assign(&mut self, other: PoolMask) {
        self.0 |= other.0;
    }
}

/// What discovery tells of a host, as far as pools are chosen by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostAttributes<'a> {
    /// Its id.
    pub id: &'a str,
    /// The name of its zone.
    pub zone: &'a str,
    /// Its kind of machine.
    pub machine_type: &'a str,
    /// Its cell.
    pub cell: u32,
}

/// A pool and its bit.
#[derive(Clone, Debug)]
struct Seat {
    bit: u32,
    pool: Pool,
    /// No longer in the files, but requests that are sent there are still in hand.
    removed: bool,
}

impl Seat {
    fn name(&self) -> &str {
        &self.pool.name.value
    }

    fn holds(&self, host: &HostAttributes) -> bool {
        fn any<T>(wanted: &Option<At<Vec<T>>>, holds: impl Fn(&T) -> bool) -> bool {
            wanted.as_ref().is_none_or(|list| list.value.iter().any(holds))
        }
        any(&self.pool.zones, |zone| zone == host.zone)
            && any(&self.pool.machines, |machine| machine == host.machine_type)
            && any(&self.pool.cells, |cells| cells.contains(&host.cell))
            && any(&self.pool.ids, |beginning| host.id.starts_with(beginning.as_str()))
    }
}

/// The pools of a version, by their bits.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pools(Vec<Seat>);

impl Pools {
    /// Gives each pool a bit: the one its name had before, or else one that is free. A pool that is no longer named
    /// keeps its bit if that is `in_use`.
    pub(crate) fn new(
        pools: &[Pool],
        facts: &PlatformNames,
        before: &Pools,
        in_use: PoolMask,
    ) -> Result<Pools, RoutingError> {
        check(pools, facts)?;
        let named: BTreeSet<&str> = pools.iter().map(|pool| pool.name.value.as_str()).collect();
        let kept = |seat: &&Seat| !named.contains(seat.name()) && PoolMask::bit(seat.bit).accepts(in_use);
        let mut seats: Vec<Seat> =
            before.0.iter().filter(kept).map(|seat| Seat { removed: true, ..seat.clone() }).collect();
        let old: BTreeMap<&str, u32> = before.0.iter().map(|seat| (seat.name(), seat.bit)).collect();
        let known = pools.iter().filter_map(|pool| old.get(pool.name.value.as_str()).copied());
        let mut taken = seats.iter().map(|seat| seat.bit).chain(known).fold(0, |all, bit| all | 1_u64 << bit);
        for pool in pools {
            let bit = old.get(pool.name.value.as_str()).copied().unwrap_or(taken.trailing_ones());
            if bit as usize == MAX_POOLS {
                return Err(RoutingErrorKind::NoFreePoolBit(pool.name.value.clone()).at(&pool.name.origin));
            }
            taken |= 1 << bit;
            seats.push(Seat { bit, pool: pool.clone(), removed: false });
        }
        seats.sort_unstable_by_key(|seat| seat.bit);
        Ok(Pools(seats))
    }

    /// The pools that a host is in.
    pub(crate) fn of(&self, host: &HostAttributes) -> PoolMask {
        let held = self.0.iter().filter(|seat| seat.holds(host));
        held.fold(PoolMask::NONE, |all, seat| all | PoolMask::bit(seat.bit))
    }

    /// The pools that a host is in here but not in `after`, by the bits here.
    pub(crate) fn left_by(&self, after: &Pools, host: &HostAttributes) -> PoolMask {
        let stays = |name| after.0.iter().any(|seat| seat.name() == name && seat.holds(host));
        let left = self.0.iter().filter(|seat| seat.holds(host) && !stays(seat.name()));
        left.fold(PoolMask::NONE, |all, seat| all | PoolMask::bit(seat.bit))
    }

    /// The pools that routes may name.
    pub(crate) fn by_name(&self) -> BTreeMap<&str, PoolMask> {
        let named = self.0.iter().filter(|seat| !seat.removed);
        named.map(|seat| (seat.name(), PoolMask::bit(seat.bit))).collect()
    }

    /// The names of the pools in a mask.
    pub(crate) fn names(&self, mask: PoolMask) -> impl Iterator<Item = &str> {
        self.0.iter().filter(move |seat| mask.0 >> seat.bit & 1 == 1).map(Seat::name)
    }
}

/// Whether there are few enough, each has a name of its own and all that they name is there.
fn check(pools: &[Pool], facts: &PlatformNames) -> Result<(), RoutingError> {
    if let Some(pool) = pools.get(MAX_POOLS) {
        return Err(RoutingErrorKind::TooManyPools(pool.name.value.clone()).at(&pool.name.origin));
    }
    let mut names = BTreeSet::new();
    for pool in pools {
        if !names.insert(&pool.name.value) {
            return Err(RoutingErrorKind::DuplicatePool(pool.name.value.clone()).at(&pool.name.origin));
        }
        check_names(&pool.zones, facts.zones, RoutingErrorKind::UnknownZone)?;
        check_names(&pool.machines, facts.machine_types, RoutingErrorKind::UnknownMachineType)?;
    }
    Ok(())
}

fn check_names(
    wanted: &Option<At<Vec<String>>>,
    known: &[String],
    unknown: impl Fn(String) -> RoutingErrorKind,
) -> Result<(), RoutingError> {
    let Some(wanted) = wanted else { return Ok(()) };
    match wanted.value.iter().find(|name| !known.contains(name)) {
        Some(name) => Err(unknown(name.clone()).at(&wanted.origin)),
        None => Ok(()),
    }
}
