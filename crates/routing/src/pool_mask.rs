//! A set of pools as a bit mask.

use std::ops::{BitOr, BitOrAssign};

/// A set of pools, one bit for each. A pool keeps its bit from one version of the routing table to the next while it
/// keeps its name, see [`RoutingTable::compile_after`](crate::RoutingTable::compile_after).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolMask(pub u64);

impl PoolMask {
    /// The empty set: the mask of a host that is in no pool, and the fallback of a destination that has none.
    pub const NONE: PoolMask = PoolMask(0);
    /// The pool of a destination without a route: accepts any host, even one that is in no pool. No route has this
    /// mask, because a route names one pool, which is one bit.
    pub const ALL: PoolMask = PoolMask(u64::MAX);

    /// Returns the mask with one bit.
    pub(crate) fn single(bit: u32) -> PoolMask {
        PoolMask(1 << bit)
    }

    /// Returns whether a request whose destination is this mask may go to a host that is in the pools `host`.
    #[inline]
    #[must_use]
    pub fn accepts(self, host: PoolMask) -> bool {
        self.intersects(host) || self == PoolMask::ALL
    }

    /// Returns whether the masks have a pool in common.
    pub(crate) fn intersects(self, other: PoolMask) -> bool {
        self.0 & other.0 != 0
    }

    /// Returns whether the mask has no pool.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.0 == 0
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

impl FromIterator<PoolMask> for PoolMask {
    fn from_iter<I: IntoIterator<Item = PoolMask>>(masks: I) -> PoolMask {
        masks.into_iter().fold(PoolMask::NONE, BitOr::bitor)
    }
}
