//! Where requests may go: which pools have hosts that take work, the slots of each pool, the limits of
//! routes, and the requests that wait, in a line for each route so that a full pool holds up no other.

use crate::api::{HostEntry, HostState, RequestId, Route, RouteLimit};
use crate::strain::Strain;
use std::collections::{BTreeMap, VecDeque};

/// Bits of a mask.
const POOLS: usize = 64;
/// Lines that stay while they are empty, so that usual ones are not made again for each request.
const LINES_KEPT: usize = 16;

/// Pools and limited routes, as far as they say what may go out now.
pub struct Pools {
    gateways: f64,
    /// What all answers show: too few go to a single pool to tell.
    strain: Strain,
    /// Slots of this gateway at the hosts that take work.
    slots: [f64; POOLS],
    /// Pools with a host that takes work, a bit each.
    alive: u64,
    out: [u32; POOLS],
    limited: BTreeMap<u32, u32>,
}

/// The bits that are set: none, and no work, for a request without a route.
pub(crate) fn bits(mask: u64) -> impl Iterator<Item = usize> {
    let rest = std::iter::successors(Some(mask), |left| Some(left & left.wrapping_sub(1)));
    rest.take_while(|left| *left != 0).map(|left| left.trailing_zeros() as usize)
}

impl Pools {
    /// Without hosts, at one of so many gateways.
    pub fn new(gateways: u32) -> Pools {
        let (strain, gateways) = (Strain::new(gateways), f64::from(gateways.max(1)));
        Pools { gateways, strain, slots: [0.0; POOLS], alive: 0, out: [0; POOLS], limited: BTreeMap::new() }
    }

    /// Counts the hosts anew, all of them, each with its slots for all gateways: for each list, not for each
    /// request.
    pub fn recount<'a>(&mut self, hosts: impl Iterator<Item = (&'a HostEntry, f64)>) {
        self.slots = [0.0; POOLS];
        self.alive = 0;
        for (host, slots) in hosts.filter(|(host, _)| host.state == HostState::Ready) {
            self.alive |= host.pools;
            self.widen(host.pools, slots / self.gateways);
        }
    }

    /// The slots of single pools follow what answers show.
    pub fn follow(&mut self, strain: Strain) {
        self.strain = strain;
    }

    /// A host of these pools has so many more slots for this gateway, or fewer.
    pub fn widen(&mut self, pools: u64, slots: f64) {
        bits(pools).for_each(|bit| self.slots[bit] += slots);
    }

    /// The pools that serve a route now; zero: all hosts do.
    pub fn in_force(&self, route: &Route) -> u64 {
        let deserted = route.pools & self.alive == 0;
        if deserted && route.fallback != 0 {
            route.fallback
        } else {
            route.pools
        }
    }

    /// Whether a request of this route may go to this host.
    pub fn takes(&self, route: &Route, host: &HostEntry) -> bool {
        let pools = self.in_force(route);
        pools == 0 || pools & host.pools != 0
    }

    /// Nothing can be sent for it, though there are hosts for others: waiting is of no use.
    pub fn lets_nothing_out(&self, route: &Route, hosts: bool) -> bool {
        let pools = self.in_force(route);
        let deserted = hosts && pools != 0 && pools & self.alive == 0;
        deserted || route.limit.is_some_and(|limit| limit.max_in_flight == 0)
    }

    /// Whether the pools have a free slot, and the route a place under its limit.
    pub fn has_room(&self, route: &Route) -> bool {
        let below = |limit: &RouteLimit| self.out_of(limit.route) < limit.max_in_flight;
        let pools = self.in_force(route);
        route.limit.as_ref().is_none_or(below) && (pools == 0 || bits(pools).any(|bit| self.has_slot(bit)))
    }

    fn has_slot(&self, bit: usize) -> bool {
        f64::from(self.out[bit]) < (self.strain.slots(self.slots[bit]) - 1e-6).ceil()
    }

    fn out_of(&self, route: u32) -> u32 {
        self.limited.get(&route).copied().unwrap_or(0)
    }

    /// An attempt is sent; gives the pools whose slots it takes, for [`Pools::free`].
    pub fn send(&mut self, route: &Route) -> u64 {
        if let Some(limit) = &route.limit {
            *self.limited.entry(limit.route).or_default() += 1;
        }
        let pools = self.in_force(route);
        bits(pools).for_each(|bit| self.out[bit] += 1);
        pools
    }

    /// An attempt leaves its slot, if it has not before: it has ended, or hangs. Whether it had one.
    pub fn free(&mut self, slot: &mut Option<u64>) -> bool {
        let Some(pools) = slot.take() else { return false };
        bits(pools).for_each(|bit| self.out[bit] -= 1);
        true
    }

    /// An attempt has ended.
    pub fn end(&mut self, route: &Route) {
        let Some(limit) = &route.limit else { return };
        if let Some(out) = self.limited.get_mut(&limit.route) {
            *out -= 1;
            if *out == 0 {
                self.limited.remove(&limit.route);
            }
        }
    }
}

/// Requests of one route that wait, with their numbers in the order of all.
#[derive(Default)]
struct Line {
    waiting: VecDeque<(i64, RequestId)>,
    /// There was no host for the first of them: there is none for the others until there is news.
    is_blocked: bool,
}

/// Requests that wait for a slot, in their order, in a line for each route.
#[derive(Default)]
pub struct Waiting {
    lines: BTreeMap<Route, Line>,
    len: usize,
    /// Lines that are blocked.
    blocked: usize,
    first: i64,
    last: i64,
}

impl Waiting {
    /// Behind all others.
    pub fn push_back(&mut self, route: Route, id: RequestId) {
        self.last += 1;
        self.len += 1;
        self.lines.entry(route).or_default().waiting.push_back((self.last, id));
    }

    /// Before all others.
    pub fn push_front(&mut self, route: Route, id: RequestId) {
        self.first -= 1;
        self.len += 1;
        self.lines.entry(route).or_default().waiting.push_front((self.first, id));
    }

    /// Takes the one that has waited longest among those whose route has room.
    pub fn pop(&mut self, has_room: impl Fn(&Route) -> bool) -> Option<RequestId> {
        let open = self.lines.iter().filter(|(route, line)| line.is_open() && has_room(route));
        let oldest = open.min_by_key(|(_, line)| line.waiting.front().map(|(number, _)| *number));
        let route = *oldest?.0;
        let line = self.lines.get_mut(&route)?;
        let (_, id) = line.waiting.pop_front()?;
        if line.waiting.is_empty() && self.lines.len() > LINES_KEPT {
            self.lines.remove(&route);
        }
        self.len -= 1;
        Some(id)
    }

    /// Whether one waits whose route has room.
    pub fn any(&self, has_room: impl Fn(&Route) -> bool) -> bool {
        self.len > 0 && self.lines.iter().any(|(route, line)| line.is_open() && has_room(route))
    }

    /// There is no host for this route's requests until there is news.
    pub fn block(&mut self, route: Route) {
        if let Some(line) = self.lines.get_mut(&route) {
            self.blocked += usize::from(!std::mem::replace(&mut line.is_blocked, true));
        }
    }

    /// There may be hosts for all routes.
    pub fn unblock(&mut self) {
        if std::mem::take(&mut self.blocked) > 0 {
            self.lines.values_mut().for_each(|line| line.is_blocked = false);
        }
    }

    /// Whether there was no host for some.
    pub fn is_blocked(&self) -> bool {
        self.blocked > 0
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.len
    }
}

impl Line {
    fn is_open(&self) -> bool {
        !self.waiting.is_empty() && !self.is_blocked
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whoever_has_waited_longest_goes_first_whatever_the_route() {
        let route = |pools| Route { pools, ..Route::default() };
        let mut waiting = Waiting::default();
        for (id, pools) in [(1, 4), (2, 1), (3, 4), (4, 2)] {
            waiting.push_back(route(pools), RequestId(id));
        }
        waiting.push_front(route(2), RequestId(5));
        let order: Vec<u64> = std::iter::from_fn(|| waiting.pop(|_| true)).map(|id| id.0).collect();
        assert_eq!(order, [5, 1, 2, 3, 4]);
        assert!(waiting.len() == 0 && !waiting.any(|_| true));
    }

    #[test]
    fn a_line_without_room_is_passed_over_and_kept() {
        let mut waiting = Waiting::default();
        waiting.push_back(Route { pools: 1, ..Route::default() }, RequestId(1));
        waiting.push_back(Route { pools: 2, ..Route::default() }, RequestId(2));
        assert_eq!(waiting.pop(|route| route.pools == 2), Some(RequestId(2)));
        assert_eq!(waiting.pop(|route| route.pools == 2), None);
        assert_eq!((waiting.len(), waiting.pop(|_| true)), (1, Some(RequestId(1))));
    }

    #[test]
    fn a_line_without_a_host_is_passed_over_until_there_is_news() {
        let route = |pools| Route { pools, ..Route::default() };
        let mut waiting = Waiting::default();
        waiting.push_back(route(1), RequestId(1));
        waiting.push_back(route(2), RequestId(2));
        waiting.block(route(1));
        assert_eq!((waiting.pop(|_| true), waiting.pop(|_| true)), (Some(RequestId(2)), None));
        assert!(waiting.is_blocked() && !waiting.any(|_| true) && waiting.len() == 1);
        waiting.unblock();
        assert_eq!(waiting.pop(|_| true), Some(RequestId(1)));
        assert!(!waiting.is_blocked());
    }

    #[test]
    fn lines_that_are_empty_do_not_add_up() {
        let mut waiting = Waiting::default();
        for route in 0..1_000 {
            let limit = Some(RouteLimit { route, max_in_flight: 1 });
            waiting.push_back(Route { limit, ..Route::default() }, RequestId(u64::from(route)));
            waiting.pop(|_| true);
        }
        assert!(waiting.lines.len() <= LINES_KEPT + 1, "{}", waiting.lines.len());
    }
}
