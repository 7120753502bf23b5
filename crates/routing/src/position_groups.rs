//! Groups of classes, or of plans, that all routes treat alike and that can therefore share tables.

use std::collections::BTreeMap;

/// Groups of positions in a list: two positions are in the same group if the same routes name them. Positions that no
/// route names form a group as well.
#[derive(Clone, Debug, Default)]
pub(crate) struct PositionGroups {
    /// The group of each position.
    group_of: Box<[u32]>,
    /// Number of groups.
    pub(crate) count: usize,
}

impl PositionGroups {
    /// Groups the positions below `position_count`. `named` has an entry for each route: the positions that the route
    /// names, or `None` if it applies to all.
    pub(crate) fn new<'a>(
        position_count: usize,
        named: impl Iterator<Item = Option<&'a [usize]>>,
    ) -> PositionGroups {
        let mut naming_routes: Vec<Vec<usize>> = vec![Vec::new(); position_count];
        for (route, named) in named.enumerate() {
            for &position in named.unwrap_or_default() {
                // A route may name a position twice.
                if naming_routes[position].last() != Some(&route) {
                    naming_routes[position].push(route);
                }
            }
        }
        let mut groups = BTreeMap::new();
        let mut assign_group = |routes| {
            let next = groups.len() as u32;
            *groups.entry(routes).or_insert(next)
        };
        let group_of = naming_routes.into_iter().map(&mut assign_group).collect();
        PositionGroups { group_of, count: groups.len() }
    }

    /// Returns the group of a position, or `None` for a position past the end of the list.
    #[inline]
    pub(crate) fn group_of(&self, position: usize) -> Option<usize> {
        self.group_of.get(position).map(|group| *group as usize)
    }

    /// Returns the groups of these positions, ascending and each once; without positions, all groups.
    pub(crate) fn groups_of(&self, positions: Option<&[usize]>) -> Vec<usize> {
        let Some(positions) = positions else { return (0..self.count).collect() };
        let mut groups: Vec<usize> =
            positions.iter().filter_map(|position| self.group_of(*position)).collect();
        groups.sort_unstable();
        groups.dedup();
        groups
    }

    /// Returns the number of bytes on the heap.
    pub(crate) fn heap_bytes(&self) -> usize {
        size_of_val(&*self.group_of)
    }
}
