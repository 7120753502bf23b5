//! A failure detector that uses heartbeats through the counter to find the gateways that reach the same counter as this
//! one.
//!
//! Four gateways form a group and share one heartbeat number, which contains only contribution marks: each gateway
//! adds to it once per interval, and its total shows which of them have done so recently. A gateway without a heartbeat
//! for a while is either dead or on the other side of a partition. The two cannot be distinguished, so a partition is
//! assumed, which is the safe assumption.
//!
//! In a small fleet each gateway watches all others. In a larger one it watches only the groups of the gateways with
//! which it shares a leased customer, and sends heartbeats only while there are any, so that the calls of all gateways
//! do not grow with the square of the fleet.

use super::gateway_set::GatewaySet;
use super::heartbeat_timing::{
    alive_timeout, heartbeat_interval, GROUP_SIZE, HEARTBEAT_EPOCH, MAX_GROUPS_OF_SMALL_FLEET,
};
use crate::idempotent_add::{MarkScheme, MemberCounters};
use crate::time::{Span, Time};

#[cfg(test)]
mod tests;

/// Time for which a group is watched after the latest lease for a customer of one of its gateways, in nanoseconds.
const WATCH_TIME: Span = 60_000_000_000;
/// Values of one gateway's counter in a heartbeat number. All heartbeats of an epoch fit, so that no counter wraps and
/// a total can be decoded after a reset of the counter service as well. Four such digits stay below ten million, up to
/// which totals are exact.
const HEARTBEAT_BASE: u32 = 56;

/// A call to the heartbeat number of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatCall {
    /// Index of the group.
    pub group: u32,
    /// Epoch of the number.
    pub epoch: u64,
    /// Amount to add; zero only reads.
    pub amount: f64,
}

/// The numbers of watched gateways and of those that are alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AliveCount {
    /// Watched gateways that are alive.
    pub(crate) alive: u32,
    /// All watched gateways.
    pub(crate) gateways: u32,
}

/// The latest total of a group's heartbeat number.
#[derive(Clone, Copy, Debug)]
struct GroupTotal {
    at: Time,
    epoch: u64,
    counters: MemberCounters,
}

/// A group other than the own one whose number is read in rotation.
#[derive(Clone, Copy, Debug)]
struct WatchedGroup {
    group: u32,
    until: Time,
}

/// The known state of this gateway's own counter in its group's heartbeat number.
#[derive(Clone, Copy, Debug)]
enum OwnCounter {
    /// Not read yet since this gateway started: nothing may be added.
    Unknown,
    /// The value in the latest total of this epoch.
    Known(u8),
    /// The value before a heartbeat that has no answer yet.
    HeartbeatInFlight(u8),
}

/// Detects by heartbeats which gateways reach the same counter as this one.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    gateway_index: u32,
    /// Time of the latest proven heartbeat of each gateway.
    last_heartbeats: Vec<Time>,
    /// The latest total of each group; `None` before the first.
    group_totals: Vec<Option<GroupTotal>>,
    own_counter: OwnCounter,
    /// Epoch of the latest heartbeat; `None` before the first.
    epoch: Option<u64>,
    /// Groups other than the own one, in ascending order.
    watched_groups: Vec<WatchedGroup>,
    next_watched_group: usize,
    /// Time from which on this gateway sends no heartbeats.
    active_until: Time,
    interval: Span,
}

impl FailureDetector {
    /// Returns the failure detector of the gateway with this index in a fleet of `gateways`.
    pub(crate) fn new(gateway_index: u32, gateways: u32) -> FailureDetector {
        let gateways = gateways.max(1).max(gateway_index + 1);
        let groups = gateways.div_ceil(GROUP_SIZE);
        let is_small_fleet = groups as usize <= MAX_GROUPS_OF_SMALL_FLEET;
        let own_group = gateway_index / GROUP_SIZE;
        let others = (0..groups).filter(|group| is_small_fleet && *group != own_group);
        FailureDetector {
            gateway_index,
            last_heartbeats: vec![0; gateways as usize],
            group_totals: vec![None; groups as usize],
            own_counter: OwnCounter::Unknown,
            epoch: None,
            watched_groups: others.map(|group| WatchedGroup { group, until: Time::MAX }).collect(),
            next_watched_group: 0,
            active_until: if is_small_fleet { Time::MAX } else { 0 },
            interval: heartbeat_interval(gateways),
        }
    }

    fn mark_scheme() -> MarkScheme {
        MarkScheme::heartbeat(GROUP_SIZE, HEARTBEAT_BASE)
    }

    fn own_group(&self) -> u32 {
        self.gateway_index / GROUP_SIZE
    }

    /// Returns this gateway's index within its group.
    fn own_member(&self) -> u32 {
        self.gateway_index % GROUP_SIZE
    }

    /// Returns the interval between two heartbeats of this gateway, in nanoseconds.
    pub(crate) fn heartbeat_interval(&self) -> Span {
        self.interval
    }

    /// Watches the gateways of this set for [`WATCH_TIME`], since units are leased for a customer that they serve.
    pub(crate) fn watch_gateways(&mut self, now: Time, set: &GatewaySet) {
        let is_small_fleet = self.group_totals.len() <= MAX_GROUPS_OF_SMALL_FLEET;
        if is_small_fleet || set.set_size < 2 {
            return;
        }
        let until = now + WATCH_TIME;
        self.active_until = until;
        let own_group = self.own_group();
        let mut previous_group = own_group;
        for member in 0..set.set_size {
            let group = set.gateway_at(member) / GROUP_SIZE;
            let is_new_group = group != previous_group && group != own_group;
            previous_group = group;
            if is_new_group {
                self.watch_group(group, until);
            }
        }
    }

    fn watch_group(&mut self, group: u32, until: Time) {
        match self.watched_groups.binary_search_by_key(&group, |watched| watched.group) {
            Ok(position) => self.watched_groups[position].until = until,
            Err(position) => self.watched_groups.insert(position, WatchedGroup { group, until }),
        }
    }

    /// Returns the calls of this interval: one to the own group's number, and one that reads the next other
    /// watched group; none while no gateway is watched.
    pub(crate) fn heartbeat_calls(&mut self, now: Time) -> Vec<HeartbeatCall> {
        let epoch = now / HEARTBEAT_EPOCH;
        self.watched_groups.retain(|watched| now < watched.until);
        if now >= self.active_until {
            return Vec::new();
        }
        self.enter_epoch(epoch);
        let amount = self.next_heartbeat_amount();
        let mut calls = vec![HeartbeatCall { group: self.own_group(), epoch, amount }];
        self.next_watched_group = (self.next_watched_group + 1) % self.watched_groups.len().max(1);
        if let Some(watched) = self.watched_groups.get(self.next_watched_group) {
            calls.push(HeartbeatCall { group: watched.group, epoch, amount: 0.0 });
        }
        calls
    }

    /// Switches to a new heartbeat number if the epoch has changed; a new number contains no mark of this gateway.
    fn enter_epoch(&mut self, epoch: u64) {
        if self.epoch == Some(epoch) {
            return;
        }
        // An earlier process of this gateway may have added to the number of the first epoch.
        self.own_counter = if self.epoch.is_none() { OwnCounter::Unknown } else { OwnCounter::Known(0) };
        self.epoch = Some(epoch);
    }

    /// Returns the amount of the next heartbeat. It is zero, so that the call only reads, where the own counter is
    /// unknown, uncertain after a heartbeat without an answer, or full.
    fn next_heartbeat_amount(&mut self) -> f64 {
        let counter = match self.own_counter {
            OwnCounter::Unknown => return 0.0,
            OwnCounter::HeartbeatInFlight(counter) => {
                self.own_counter = OwnCounter::Known(counter);
                return 0.0;
            }
            OwnCounter::Known(counter) => counter,
        };
        if u32::from(counter) + 1 >= HEARTBEAT_BASE {
            return 0.0;
        }
        self.own_counter = OwnCounter::HeartbeatInFlight(counter);
        Self::mark_scheme().next_mark(self.own_member(), counter).fraction
    }

    /// Records a total of a group's heartbeat number. Returns whether it shows that the counter was reset: a member's
    /// counter decreased, which cannot happen unless the counter loses its numbers.
    pub(crate) fn record_total(&mut self, now: Time, group: u32, epoch: u64, total: f64) -> bool {
        let Some(counters) = Self::mark_scheme().decode(total).counters else { return false };
        let Some(latest) = self.group_totals.get_mut(group as usize) else { return false };
        let previous = latest.replace(GroupTotal { at: now, epoch, counters });
        let previous = previous.filter(|previous| previous.epoch == epoch);
        let has_decreased = previous.is_some_and(|previous| {
            (0..GROUP_SIZE).any(|member| counters.get(member) < previous.counters.get(member))
        });
        // All marks in the first total of an epoch have been added since the epoch began.
        let epoch_start =
            GroupTotal { at: epoch * HEARTBEAT_EPOCH, epoch, counters: MemberCounters::default() };
        self.record_heartbeats(group, previous.unwrap_or(epoch_start), counters);
        let is_own_number = group == self.own_group() && self.epoch == Some(epoch);
        let own_heartbeat_lost = is_own_number && self.record_own_counter(counters);
        has_decreased || own_heartbeat_lost
    }

    /// Records the heartbeats between two totals of a group. Each is recorded at the time of the earlier total: only
    /// that it came later is certain.
    fn record_heartbeats(&mut self, group: u32, previous: GroupTotal, counters: MemberCounters) {
        for member in 0..GROUP_SIZE {
            let gateway = group * GROUP_SIZE + member;
            let has_added = counters.get(member) != previous.counters.get(member);
            if let Some(last_heartbeat) = self.last_heartbeats.get_mut(gateway as usize) {
                if has_added {
                    *last_heartbeat = (*last_heartbeat).max(previous.at);
                }
            }
        }
    }

    /// Records the own counter in a total. Returns whether a heartbeat is missing from it that was answered.
    fn record_own_counter(&mut self, counters: MemberCounters) -> bool {
        let found = counters.get(self.own_member());
        let is_lost = match self.own_counter {
            OwnCounter::Unknown => false,
            OwnCounter::Known(counter) => found < counter,
            OwnCounter::HeartbeatInFlight(counter) => found < counter + 1,
        };
        self.own_counter = OwnCounter::Known(found);
        is_lost
    }

    /// Returns whether a gateway is alive at `now`; this gateway always is.
    pub(crate) fn is_alive(&self, gateway: u32, now: Time) -> bool {
        if gateway == self.gateway_index {
            return true;
        }
        let timeout = alive_timeout(self.interval, self.watched_groups.len() as Span);
        let last_heartbeat = self.last_heartbeats.get(gateway as usize);
        last_heartbeat.is_some_and(|last_heartbeat| now < last_heartbeat + timeout)
    }

    /// Counts the gateways of the watched groups and the own group, and those of them that are alive.
    pub(crate) fn count_alive(&self, now: Time) -> AliveCount {
        let own_group = Some(self.own_group()).filter(|_| now < self.active_until);
        let groups = own_group.into_iter().chain(self.watched_groups.iter().map(|watched| watched.group));
        let all = self.last_heartbeats.len() as u32;
        let gateways = groups.flat_map(|group| group * GROUP_SIZE..((group + 1) * GROUP_SIZE).min(all));
        let mut count = AliveCount::default();
        for gateway in gateways {
            count.alive += u32::from(self.is_alive(gateway, now));
            count.gateways += 1;
        }
        count
    }

    /// Returns the time of a gateway's latest proven heartbeat; zero if there was none.
    pub(crate) fn last_heartbeat_at(&self, gateway: u32) -> Time {
        self.last_heartbeats.get(gateway as usize).copied().unwrap_or(0)
    }
}
