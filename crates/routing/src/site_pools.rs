//! The part of each pool that is in a site, which is itself a pool with a bit.
//!
//! To keep a request away from a lost site, its destination is narrowed to the parts of its pool in the other sites.
//! The decision module then needs only the mask of the destination.

use std::collections::BTreeMap;

use config_language::model::{At, Operators, Origin, Pool};

use crate::error::{RoutingError, RoutingErrorKind};
use crate::limits::MAX_POOLS;
use crate::platform_names::PlatformNames;
use crate::pool_mask::PoolMask;
use crate::pool_set::PoolSet;

/// Separates the names of pool and site in the name of a part. The operators' language allows it in no name.
const SEPARATOR: char = '\u{1f}';
/// In a set of sites, the bit for the hosts that are in no site. The other bits are the positions of sites in the
/// files.
const NO_SITE_BIT: usize = 63;

/// A site and its zones; if `site` is `None`, the zones that are in no site.
struct SiteZones {
    site: Option<String>,
    zones: Vec<String>,
}

impl SiteZones {
    /// Returns all sites in the order of the files, followed by the zones that are in no site.
    fn all(operators: &Operators, names: &PlatformNames) -> Vec<SiteZones> {
        let in_sites = operators
            .sites
            .iter()
            .map(|site| SiteZones { site: Some(site.name.value.clone()), zones: site.zones.value.clone() });
        let mut all: Vec<SiteZones> = in_sites.collect();
        let is_in_site = |zone: &&String| all.iter().any(|site| site.zones.contains(zone));
        let zones = names.zones.iter().filter(|zone| !is_in_site(zone)).cloned().collect();
        all.push(SiteZones { site: None, zones });
        all
    }

    /// Returns the name of the part of a pool in this site; without a pool, of the part of all hosts.
    fn part_name(&self, pool: Option<&Pool>) -> String {
        let pool = pool.map_or("", |pool| &pool.name.value);
        format!("{pool}{SEPARATOR}{}", self.site.as_deref().unwrap_or_default())
    }

    /// Returns the part of a pool in this site, or `None` if no zone of the pool is in it; without a pool, the part of
    /// all hosts.
    fn part(&self, pool: Option<&Pool>, origin: &Origin) -> Option<Pool> {
        let wanted = pool.and_then(|pool| pool.zones.as_ref());
        let is_wanted = |zone: &&String| wanted.is_none_or(|wanted| wanted.value.contains(zone));
        let zones: Vec<String> = self.zones.iter().filter(is_wanted).cloned().collect();
        if zones.is_empty() {
            return None;
        }
        Some(Pool {
            name: At { value: self.part_name(pool), origin: origin.clone() },
            zones: Some(At { value: zones, origin: origin.clone() }),
            machines: pool.and_then(|pool| pool.machines.clone()),
            cells: pool.and_then(|pool| pool.cells.clone()),
            ids: pool.and_then(|pool| pool.ids.clone()),
        })
    }
}

/// Returns `None`, which means all hosts, followed by each pool of the operators.
fn all_hosts_and_pools(operators: &Operators) -> impl Iterator<Item = Option<&Pool>> {
    std::iter::once(None).chain(operators.pools.iter().map(Some))
}

/// Returns the pools of the operators, followed by the part of each pool in each site. Without sites there are no
/// parts.
///
/// # Errors
/// More pools and parts together than a mask has bits.
pub(crate) fn with_site_pools(
    operators: &Operators,
    names: &PlatformNames,
) -> Result<Vec<Pool>, RoutingError> {
    let mut pools = operators.pools.clone();
    let Some(first_site) = operators.sites.first() else { return Ok(pools) };
    let origin = &first_site.name.origin;
    for site in SiteZones::all(operators, names) {
        pools.extend(all_hosts_and_pools(operators).filter_map(|pool| site.part(pool, origin)));
    }
    let (defined, total) = (operators.pools.len(), pools.len());
    // Too many pools even without parts is left to the later check that names the first pool beyond the bound.
    if defined <= MAX_POOLS && total > MAX_POOLS {
        let sites = operators.sites.len();
        return Err(RoutingErrorKind::TooManySitePools { pools: defined, sites, total }.at(origin));
    }
    Ok(pools)
}

/// The part of a pool in one site.
#[derive(Clone, Debug)]
struct SitePart {
    /// Bit of the site in a set of sites.
    site_bit: usize,
    mask: PoolMask,
}

/// A pool and its parts.
#[derive(Clone, Debug)]
struct PoolParts {
    /// The pool, or [`PoolMask::ALL`] for all hosts.
    pool: PoolMask,
    parts: Vec<SitePart>,
}

/// The parts of all pools. Empty without sites.
#[derive(Clone, Debug, Default)]
pub(crate) struct SitePools(Vec<PoolParts>);

impl SitePools {
    /// Finds the masks of the parts that [`with_site_pools`] added.
    pub(crate) fn new(operators: &Operators, names: &PlatformNames, pools: &PoolSet) -> SitePools {
        if operators.sites.is_empty() {
            return SitePools::default();
        }
        let masks: BTreeMap<&str, PoolMask> = pools.defined_masks_by_name();
        let sites = SiteZones::all(operators, names);
        let site_bit = |position| if position == operators.sites.len() { NO_SITE_BIT } else { position };
        let parts_of = |pool: Option<&Pool>| {
            let part = |(position, site): (usize, &SiteZones)| {
                let mask = *masks.get(site.part_name(pool).as_str())?;
                Some(SitePart { site_bit: site_bit(position), mask })
            };
            let pool_mask = pool.and_then(|pool| masks.get(pool.name.value.as_str()).copied());
            let parts = sites.iter().enumerate().filter_map(part).collect();
            PoolParts { pool: pool_mask.unwrap_or(PoolMask::ALL), parts }
        };
        SitePools(all_hosts_and_pools(operators).map(parts_of).collect())
    }

    /// Returns the parts of `pools` in a set of sites, see
    /// [`RoutingTable::pools_in_sites`](crate::RoutingTable::pools_in_sites).
    pub(crate) fn in_sites(&self, pools: PoolMask, sites: u64) -> PoolMask {
        let wants_all_hosts = pools == PoolMask::ALL || pools.is_empty();
        let is_wanted = |parts: &&PoolParts| match parts.pool {
            PoolMask::ALL => wants_all_hosts,
            pool => !wants_all_hosts && pool.intersects(pools),
        };
        let parts = self.0.iter().filter(is_wanted).flat_map(|pool| &pool.parts);
        parts.filter(|part| sites >> part.site_bit & 1 == 1).map(|part| part.mask).collect()
    }
}
