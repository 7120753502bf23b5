//! Which routes reach for the same requests.
//!
//! A route is a box: some classes, some plans, some customers. Routes of the same classes and plans are a group.
//! Within a group the customers are painted: each number belongs to the first route that reaches for it, so that
//! a look-up meets only what counts. The steps are bounded whatever the routes are.

use std::collections::BTreeMap;
use std::ops::{ControlFlow, RangeInclusive};

/// Some of the names there are, or all.
pub(super) type Among = Option<Vec<u32>>;

/// The requests that a route reaches for.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Reach {
    /// Classes by number, in order.
    pub classes: Among,
    /// Plans by number, in order.
    pub plans: Among,
    /// Customers, apart and in order.
    pub customers: Vec<RangeInclusive<u64>>,
}

/// The customers of a route that names none.
pub(super) const EVERYBODY: RangeInclusive<u64> = 0..=crate::MOST_CUSTOMER;

impl Reach {
    /// Whether each request of this one is one of the other.
    pub fn is_within(&self, other: &Reach) -> bool {
        within(&self.classes, &other.classes)
            && within(&self.plans, &other.plans)
            && self.customers.iter().all(|range| covers(&other.customers, range))
    }
}

fn within(some: &Among, other: &Among) -> bool {
    match (some, other) {
        (_, None) => true,
        (None, Some(_)) => false,
        (Some(some), Some(other)) => some.iter().all(|n| other.binary_search(n).is_ok()),
    }
}

fn meet(some: &Among, other: &Among) -> bool {
    match (some, other) {
        (Some(some), Some(other)) => some.iter().any(|n| other.binary_search(n).is_ok()),
        _ => true,
    }
}

/// Whether one of the ranges, which are apart and in order, holds all of `range`.
fn covers(ranges: &[RangeInclusive<u64>], range: &RangeInclusive<u64>) -> bool {
    let at = ranges.partition_point(|other| other.start() <= range.start());
    at.checked_sub(1).and_then(|at| ranges.get(at)).is_some_and(|other| other.end() >= range.end())
}

/// Routes of the same classes and plans.
#[derive(Debug)]
struct Group {
    classes: Among,
    plans: Among,
    /// By their first customer: the last one, and the route.
    painted: BTreeMap<u64, (u64, usize)>,
}

impl Group {
    /// The painted stretch that holds a number, or else the next one.
    fn from(&self, number: u64) -> Option<(u64, u64, usize)> {
        let before = self.painted.range(..=number).next_back().filter(|(_, (end, _))| *end >= number);
        let found = before.or_else(|| self.painted.range(number..).next());
        found.map(|(start, (end, route))| (*start, *end, *route))
    }

    fn holds(&self, class: u32, plan: u32) -> bool {
        let has = |some: &Among, n: u32| some.as_ref().is_none_or(|some| some.binary_search(&n).is_ok());
        has(&self.classes, class) && has(&self.plans, plan)
    }
}

/// All routes up to one, and what they reach for.
#[derive(Debug)]
pub(super) struct Overlaps {
    groups: Vec<Group>,
    by_signature: BTreeMap<(Among, Among), usize>,
    /// The groups that name a class, by its number.
    by_class: BTreeMap<u32, Vec<usize>>,
    /// The groups of all classes.
    of_any_class: Vec<usize>,
    /// Numbers of all classes there may be, and of plans.
    classes: Vec<u32>,
    plans: Vec<u32>,
    /// Steps that are left.
    steps: usize,
    most: usize,
}

/// There are too many overlaps to look at them all.
#[derive(Debug)]
pub(super) struct TooMany;

impl Overlaps {
    /// For so many routes, over these classes and plans.
    pub fn new(routes: usize, classes: Vec<u32>, plans: Vec<u32>) -> Overlaps {
        let most = 1_000_000 + 300 * routes;
        Overlaps {
            groups: Vec::new(),
            by_signature: BTreeMap::new(),
            by_class: BTreeMap::new(),
            of_any_class: Vec::new(),
            classes,
            plans,
            steps: most,
            most,
        }
    }

    /// Steps that were taken.
    pub fn taken(&self) -> usize {
        self.most - self.steps
    }

    fn step(&mut self) -> Result<(), TooMany> {
        self.steps = self.steps.checked_sub(1).ok_or(TooMany)?;
        Ok(())
    }

    /// The groups that a route may meet.
    fn met(&mut self, reach: &Reach) -> Result<Vec<usize>, TooMany> {
        let mut met: Vec<usize> = match &reach.classes {
            None => (0..self.groups.len()).collect(),
            Some(classes) => {
                let named = classes.iter().filter_map(|class| self.by_class.get(class)).flatten();
                named.chain(&self.of_any_class).copied().collect()
            }
        };
        self.steps = self.steps.checked_sub(met.len()).ok_or(TooMany)?;
        met.sort_unstable();
        met.dedup();
        met.retain(|at| {
            let group = &self.groups[*at];
            meet(&group.classes, &reach.classes) && meet(&group.plans, &reach.plans)
        });
        Ok(met)
    }

    /// Shows the earlier routes that come first for a request of this one, until told to stop. A route may be
    /// shown more than once. Groups of which `skip` says so are left out: it is told whether all of the group's
    /// classes and plans are among the route's.
    pub fn visit(
        &mut self,
        reach: &Reach,
        skip: impl Fn(bool) -> bool,
        mut show: impl FnMut(usize) -> ControlFlow<()>,
    ) -> Result<(), TooMany> {
        for at in self.met(reach)? {
            let group = &self.groups[at];
            if skip(within(&group.classes, &reach.classes) && within(&group.plans, &reach.plans)) {
                continue;
            }
            for range in &reach.customers {
                let mut next = *range.start();
                while let Some((start, end, route)) = self.groups[at].from(next) {
                    if start > *range.end() {
                        break;
                    }
                    self.step()?;
                    if show(route).is_break() {
                        return Ok(());
                    }
                    if end >= *range.end() {
                        break;
                    }
                    next = end + 1;
                }
            }
        }
        Ok(())
    }

    /// The earlier routes that leave nothing to this one, if they do.
    pub fn shadow(&mut self, reach: &Reach) -> Result<Option<Vec<usize>>, TooMany> {
        let met = self.met(reach)?;
        let classes = reach.classes.clone().unwrap_or_else(|| self.classes.clone());
        let plans = reach.plans.clone().unwrap_or_else(|| self.plans.clone());
        let mut by = Vec::new();
        for class in &classes {
            for plan in &plans {
                self.step()?;
                let groups = met.iter().copied().filter(|at| self.groups[*at].holds(*class, *plan));
                let groups: Vec<usize> = groups.collect();
                if !self.is_covered(&groups, reach, &mut by)? {
                    return Ok(None);
                }
            }
        }
        by.sort_unstable();
        by.dedup();
        Ok(Some(by))
    }

    /// Whether these groups hold all customers of a route; the routes that do it are added.
    fn is_covered(&mut self, groups: &[usize], reach: &Reach, by: &mut Vec<usize>) -> Result<bool, TooMany> {
        for range in &reach.customers {
            let mut next = *range.start();
            loop {
                self.steps = self.steps.checked_sub(groups.len() + 1).ok_or(TooMany)?;
                let stretches = groups.iter().filter_map(|at| self.groups[*at].from(next));
                let furthest = stretches.filter(|(start, ..)| *start <= next).max_by_key(|(_, end, _)| *end);
                let Some((_, end, route)) = furthest else { return Ok(false) };
                // Of many, some are enough to name.
                if by.len() < 64 {
                    by.push(route);
                }
                if end >= *range.end() {
                    break;
                }
                next = end + 1;
            }
        }
        Ok(true)
    }

    /// Adds a route behind all others.
    pub fn add(&mut self, route: usize, reach: &Reach) -> Result<(), TooMany> {
        let at = self.group(reach);
        for range in &reach.customers {
            let mut next = *range.start();
            loop {
                self.step()?;
                let ahead = self.groups[at].from(next).filter(|(start, ..)| start <= range.end());
                let (free_to, then) = match ahead {
                    Some((start, end, _)) => (start.checked_sub(1), (end < *range.end()).then(|| end + 1)),
                    None => (Some(*range.end()), None),
                };
                if let Some(last) = free_to.filter(|last| *last >= next) {
                    self.groups[at].painted.insert(next, (last, route));
                }
                match then {
                    Some(then) => next = then,
                    None => break,
                }
            }
        }
        Ok(())
    }

    fn group(&mut self, reach: &Reach) -> usize {
        let signature = (reach.classes.clone(), reach.plans.clone());
        if let Some(at) = self.by_signature.get(&signature) {
            return *at;
        }
        let at = self.groups.len();
        match &reach.classes {
            None => self.of_any_class.push(at),
            Some(classes) => {
                for class in classes {
                    self.by_class.entry(*class).or_default().push(at);
                }
            }
        }
        let (classes, plans) = signature.clone();
        self.by_signature.insert(signature, at);
        self.groups.push(Group { classes, plans, painted: BTreeMap::new() });
        at
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn reach(classes: &[u32], customers: &[RangeInclusive<u64>]) -> Reach {
        let classes = (!classes.is_empty()).then(|| classes.to_vec());
        let customers = if customers.is_empty() { vec![EVERYBODY] } else { customers.to_vec() };
        Reach { classes, plans: None, customers }
    }

    fn seen(overlaps: &mut Overlaps, reach: &Reach) -> Vec<usize> {
        let mut seen = Vec::new();
        let show = |route| {
            seen.push(route);
            ControlFlow::Continue(())
        };
        overlaps.visit(reach, |_| false, show).unwrap();
        seen
    }

    #[test]
    fn each_customer_belongs_to_the_first_route_that_reaches_for_it() {
        let mut overlaps = Overlaps::new(4, vec![0, 1], vec![0]);
        overlaps.add(0, &reach(&[], &[10..=20])).unwrap();
        overlaps.add(1, &reach(&[], &[5..=30, 40..=*EVERYBODY.end()])).unwrap();
        assert_eq!(seen(&mut overlaps, &reach(&[], &[12..=13])), [0]);
        assert_eq!(seen(&mut overlaps, &reach(&[], &[0..=35])), [1, 0, 1]);
        assert_eq!(seen(&mut overlaps, &reach(&[1], &[])), [1, 0, 1, 1]);
        assert_eq!(seen(&mut overlaps, &reach(&[1], &[0..=4, 31..=39])), [0; 0]);
    }

    #[test]
    fn routes_together_leave_nothing_to_a_later_one() {
        let mut overlaps = Overlaps::new(4, vec![0, 1], vec![0]);
        overlaps.add(0, &reach(&[0], &[])).unwrap();
        assert_eq!(overlaps.shadow(&reach(&[], &[])).unwrap(), None);
        overlaps.add(1, &reach(&[1], &[0..=9])).unwrap();
        assert_eq!(overlaps.shadow(&reach(&[], &[3..=10])).unwrap(), None);
        assert_eq!(overlaps.shadow(&reach(&[], &[3..=9])).unwrap(), Some(vec![0, 1]));
        assert_eq!(overlaps.shadow(&reach(&[0], &[])).unwrap(), Some(vec![0]));
    }

    #[test]
    fn too_many_overlaps_end_the_search_instead_of_the_patience() {
        let mut overlaps = Overlaps::new(0, vec![0], vec![0]);
        let narrow: Vec<_> = (0..600_000).map(|n| 2 * n..=2 * n).collect();
        overlaps.add(0, &reach(&[], &narrow)).unwrap();
        let wide = reach(&[0], &[]);
        assert!(overlaps.visit(&wide, |_| false, |_| ControlFlow::Continue(())).is_err());
    }
}
