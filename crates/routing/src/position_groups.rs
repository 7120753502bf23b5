//! Classes, or plans, that no route tells apart share their tables.

use std::collections::BTreeMap;

use config_language::model::At;

use crate::{RoutingError, RoutingErrorKind};

/// Finds names in a list of the platform's. A name that stands there twice means both positions.
pub(crate) struct Names<'a>(BTreeMap<&'a str, Vec<usize>>);

impl<'a> Names<'a> {
    pub(crate) fn new(names: &'a [String]) -> Names<'a> {
        let mut positions: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (position, name) in names.iter().enumerate() {
            positions.entry(name).or_default().push(position);
        }
        Names(positions)
    }

    /// The positions of the names in a list.
    pub(crate) fn find(
        &self,
        names: &At<Vec<String>>,
        unknown: impl Fn(String) -> RoutingErrorKind,
    ) -> Result<Vec<usize>, RoutingError> {
        let mut positions = Vec::new();
        for name in &names.value {
            let found = self.0.get(name.as_str());
            positions.extend(found.ok_or_else(|| unknown(name.clone()).at(&names.origin))?);
        }
        Ok(positions)
    }
}

/// Positions that the same routes name are one group. What no route names is a group as well.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups {
    /// The group of each position.
    of: Box<[u32]>,
    /// How many groups there are.
    pub(crate) count: usize,
}

impl Groups {
    /// Groups `positions` many. `named` has an entry for each route: the positions it names, or none if it leaves
    /// them open.
    pub(crate) fn new<'a>(positions: usize, named: impl Iterator<Item = Option<&'a [usize]>>) -> Groups {
        let mut namers: Vec<Vec<usize>> = vec![Vec::new(); positions];
        for (route, named) in named.enumerate() {
            for &position in named.unwrap_or_default() {
                if namers[position].last() != Some(&route) {
                    namers[position].push(route);
                }
            }
        }
        let mut groups = BTreeMap::new();
        let mut group = |namers| {
            let next = groups.len() as u32;
            *groups.entry(namers).or_insert(next)
        };
        let of = namers.into_iter().map(&mut group).collect();
        Groups { of, count: groups.len() }
    }

    /// The group of a position.
    #[inline]
    pub(crate) fn of(&self, position: usize) -> Option<usize> {
        self.of.get(position).map(|group| *group as usize)
    }

    /// The groups that a route's positions make up; all where it leaves them open.
    pub(crate) fn named(&self, positions: Option<&[usize]>) -> Vec<usize> {
        let Some(positions) = positions else { return (0..self.count).collect() };
        let mut groups: Vec<usize> = positions.iter().filter_map(|p| self.of(*p)).collect();
        groups.sort_unstable();
        groups.dedup();
        groups
    }

    /// Bytes on the heap.
    pub(crate) fn bytes(&self) -> usize {
        size_of_val(&*self.of)
    }
}
