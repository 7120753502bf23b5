//! The part of each pool that stands in a site, as a pool of its own, so that requests can be kept from a site that is
//! lost by what says where they go anyway.

use std::collections::BTreeMap;

use config_language::model::{At, Operators, Pool};

use crate::pools::Pools;
use crate::{PlatformNames, PoolMask, RoutingError, RoutingErrorKind, MAX_POOLS};

/// Parts a pool's name from a site's. No file can have it in a name.
const AT: char = '\u{1f}';
/// The bit of hosts that are in no site, among the bits of sites.
const NO_SITE: usize = 63;

/// Names the part of a pool, or of all hosts, that is in a site, or in none.
fn name(pool: Option<&Pool>, site: Option<&str>) -> String {
    let pool = pool.map_or("", |pool| &pool.name.value);
    format!("{pool}{AT}{}", site.unwrap_or_default())
}

/// Zones of each site, and last those that are in none.
fn zones(operators: &Operators, facts: &PlatformNames) -> Vec<(Option<String>, Vec<String>)> {
    let sites = operators.sites.iter().map(|site| (Some(site.name.value.clone()), site.zones.value.clone()));
    let mut all: Vec<_> = sites.collect();
    let is_taken = |zone: &&String| all.iter().any(|(_, zones)| zones.contains(zone));
    let left = facts.zones.iter().filter(|zone| !is_taken(zone)).cloned().collect();
    all.push((None, left));
    all
}

/// The pools of the operators, and those that their sites make of them. Without sites, nothing is added.
///
/// # Errors
/// More than a mask has bits.
pub(crate) fn with_parts(operators: &Operators, facts: &PlatformNames) -> Result<Vec<Pool>, RoutingError> {
    let mut pools = operators.pools.clone();
    let Some(first) = operators.sites.first() else { return Ok(pools) };
    for (site, zones) in zones(operators, facts) {
        for pool in std::iter::once(None).chain(operators.pools.iter().map(Some)) {
            let wanted = pool.and_then(|pool| pool.zones.as_ref());
            let here = |zone: &&String| wanted.is_none_or(|wanted| wanted.value.contains(zone));
            let here: Vec<String> = zones.iter().filter(here).cloned().collect();
            if here.is_empty() {
                continue;
            }
            let at = |value| At { value, origin: first.name.origin.clone() };
            let name = At { value: name(pool, site.as_deref()), origin: first.name.origin.clone() };
            let (machines, cells, ids) = pool.map_or((None, None, None), |pool| {
                (pool.machines.clone(), pool.cells.clone(), pool.ids.clone())
            });
            pools.push(Pool { name, zones: Some(at(here)), machines, cells, ids });
        }
    }
    let (own, sites, makes) = (operators.pools.len(), operators.sites.len(), pools.len());
    if own <= MAX_POOLS && makes > MAX_POOLS {
        return Err(
            RoutingErrorKind::TooManySitePools { pools: own, sites, total: makes }.at(&first.name.origin)
        );
    }
    Ok(pools)
}

/// Of each pool the parts in sites. Empty without sites.
#[derive(Clone, Debug, Default)]
pub(crate) struct Parts(Vec<(PoolMask, Vec<(usize, PoolMask)>)>);

impl Parts {
    pub fn new(operators: &Operators, facts: &PlatformNames, pools: &Pools) -> Parts {
        if operators.sites.is_empty() {
            return Parts::default();
        }
        let named: BTreeMap<&str, PoolMask> = pools.by_name();
        let zones = zones(operators, facts);
        let numbers = |number: usize| if number == operators.sites.len() { NO_SITE } else { number };
        let parts = |pool: Option<&Pool>| {
            let sites = zones.iter().enumerate();
            let part = |(number, (site, _)): (usize, &(Option<String>, _))| {
                Some((numbers(number), *named.get(name(pool, site.as_deref()).as_str())?))
            };
            let whole = pool.and_then(|pool| named.get(pool.name.value.as_str()).copied());
            (whole.unwrap_or(PoolMask::ALL), sites.filter_map(part).collect())
        };
        Parts(std::iter::once(None).chain(operators.pools.iter().map(Some)).map(parts).collect())
    }

    /// The parts of these pools that are in sites of a set, a bit each; bit 63: hosts that are in no site.
    pub fn within(&self, pools: PoolMask, sites: u64) -> PoolMask {
        let asked = |whole: PoolMask| match (pools, whole) {
            (PoolMask::ALL | PoolMask::NONE, whole) => whole == PoolMask::ALL,
            (pools, whole) => whole != PoolMask::ALL && whole.0 & pools.0 != 0,
        };
        let of = self.0.iter().filter(|(whole, _)| asked(*whole)).flat_map(|(_, parts)| parts);
        of.filter(|(site, _)| sites >> site & 1 == 1).fold(PoolMask::NONE, |all, (_, part)| all | *part)
    }
}
