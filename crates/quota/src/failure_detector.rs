//! Who reaches the counter that this gateway reaches.
//!
//! Each gateway adds to a number of its own kind, its group's pulse, once a beat: that holds nothing but marks,
//! and tells who has added lately. Whoever has not been heard for a while is dead, or on the other side of a
//! split: nothing tells the two apart, and the safe reading is a split.
//!
//! That costs two calls a gateway and beat. A small fleet hears itself whole. In a larger one a gateway listens only
//! to the groups of those with whom it shares a leased customer, beats only while there are any, and more slowly, so
//! that the calls of all do not grow with the fleet's square and leave the counter to the quotas.

use crate::idempotent_add::{MarkScheme, MemberCounters};
use crate::partition_view::GatewaySet;
use crate::time::{Span, Time};

/// Between the adds of a gateway to its pulse.
pub const HEARTBEAT_INTERVAL: Span = 750_000_000;
/// Whoever was heard this lately, as far as its beats prove, is heard. Two readings prove that there was a beat
/// between them, and a beat may miss the one and come twice in the next: so three beats, and a little.
pub const ALIVE_TIMEOUT: Span = 2_500_000_000;
/// Pulses start anew this often.
pub const HEARTBEAT_EPOCH: Span = 25_000_000_000;
/// Gateways that share a pulse.
const MEMBERS: u32 = 4;
/// A fleet of no more groups than this hears itself whole.
const FEW: usize = 4;
/// Gateways beyond which each beats more slowly, and the slowest beat: an epoch of pulses still holds four.
const QUICK: u32 = 16;
const SLOWEST: Span = 6_000_000_000;
/// A group is listened to for so long after a customer was last leased for with one of its gateways.
const LISTENS: Span = 60_000_000_000;
/// Values of a digit of a pulse: all beats of an epoch fit, so that none ever turns back, and a counter
/// that has forgotten them can be read like any other. Four such digits stay under ten million, which is exact.
const BASE: u32 = 56;

/// One call to a pulse.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatCall {
    /// Number of the group whose pulse it is.
    pub group: u32,
    /// In which epoch.
    pub epoch: u64,
    /// What to add: nought only reads.
    pub amount: f64,
}

/// What is known of a group's pulse.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    seen: Option<(Time, u64, MemberCounters)>,
}

/// Who has been heard, and when.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    me: u32,
    heard: Vec<Time>,
    groups: Vec<Group>,
    /// Own digit as it was read last in this epoch; `None`: not known, so that nothing is added blindly.
    digit: Option<u8>,
    epoch: u64,
    /// An add has no answer yet.
    is_out: bool,
    /// Groups beside the own one that are read in turn, and up to when.
    listened: Vec<(u32, Time)>,
    turn: usize,
    /// Up to when it beats at all.
    beats_until: Time,
    beat: Span,
}

/// Between two beats of one of so many gateways.
fn beat(gateways: u32) -> Span {
    let slower = (f64::from(gateways) / f64::from(QUICK)).max(1.0);
    ((HEARTBEAT_INTERVAL as f64 * slower) as Span).min(SLOWEST)
}

/// Whoever was heard this lately is heard, where so many other groups are read in turn.
fn within(beat: Span, groups: Span) -> Span {
    (ALIVE_TIMEOUT as f64 / HEARTBEAT_INTERVAL as f64 * beat as f64) as Span + 2 * beat * groups
}

/// After so long one of so many gateways is missed at the latest by one that shares a leased customer's set of
/// `spread` with it, once it is dead or on the other side of a split.
pub fn detection_time(gateways: u32, spread: u32) -> Span {
    let all = gateways.div_ceil(MEMBERS);
    let groups = if all as usize <= FEW { all } else { all.min(spread.div_ceil(MEMBERS) + 1) };
    within(beat(gateways), Span::from(groups - 1)) + beat(gateways)
}

impl FailureDetector {
    /// Of a gateway with this number, counted from 0, among so many.
    pub fn new(me: u32, gateways: u32) -> FailureDetector {
        let gateways = gateways.max(1).max(me + 1);
        let groups = gateways.div_ceil(MEMBERS);
        let is_small = groups as usize <= FEW;
        let others = (0..groups).filter(|group| is_small && *group != me / MEMBERS);
        FailureDetector {
            me,
            heard: vec![0; gateways as usize],
            groups: vec![Group::default(); groups as usize],
            digit: None,
            epoch: u64::MAX,
            is_out: false,
            listened: others.map(|group| (group, Time::MAX)).collect(),
            turn: 0,
            beats_until: if is_small { Time::MAX } else { 0 },
            beat: beat(gateways),
        }
    }

    /// A customer of this set is leased for: its gateways are listened to from now on, for a while.
    pub fn watch_gateways(&mut self, now: Time, set: &GatewaySet) {
        if self.groups.len() <= FEW || set.set_size < 2 {
            return;
        }
        self.beats_until = now + LISTENS;
        let mut last = self.own_group();
        for member in 0..set.set_size {
            let group = set.gateway_at(member) / MEMBERS;
            if group == std::mem::replace(&mut last, group) || group == self.own_group() {
                continue;
            }
            match self.listened.binary_search_by_key(&group, |(group, _)| *group) {
                Ok(at) => self.listened[at].1 = now + LISTENS,
                Err(at) => self.listened.insert(at, (group, now + LISTENS)),
            }
        }
    }

    /// Between two beats of this gateway.
    pub fn heartbeat_interval(&self) -> Span {
        self.beat
    }

    fn marks() -> MarkScheme {
        MarkScheme::heartbeat(MEMBERS, BASE)
    }

    fn own_group(&self) -> u32 {
        self.me / MEMBERS
    }

    /// The calls of this beat: the own pulse, and in turn one of another group; none while nobody is listened to.
    pub fn heartbeat_calls(&mut self, now: Time) -> Vec<HeartbeatCall> {
        let epoch = now / HEARTBEAT_EPOCH;
        self.listened.retain(|(_, until)| now < *until);
        if now >= self.beats_until {
            return Vec::new();
        }
        if epoch != self.epoch {
            // A number that is new holds no mark of ours.
            self.digit = if self.epoch == u64::MAX { None } else { Some(0) };
            self.epoch = epoch;
            self.is_out = false;
        }
        let own = self.own_group();
        // After an add without an answer the digit may be either: reading tells. One that is full stays.
        let digit = self.digit.filter(|digit| !self.is_out && u32::from(*digit) + 1 < BASE);
        self.is_out = digit.is_some();
        let amount = digit.map_or(0.0, |digit| Self::marks().next_mark(self.me % MEMBERS, digit).fraction);
        let mut calls = vec![HeartbeatCall { group: own, epoch, amount }];
        self.turn = (self.turn + 1) % self.listened.len().max(1);
        calls.extend(self.listened.get(self.turn).map(|(group, _)| HeartbeatCall {
            group: *group,
            epoch,
            amount: 0.0,
        }));
        calls
    }

    /// A group's pulse has been read. Whether a digit went back, which none does while the counter remembers.
    pub fn record_total(&mut self, now: Time, group: u32, epoch: u64, total: f64) -> bool {
        let marks = Self::marks();
        let Some(digits) = marks.decode(total).counters else { return false };
        let Some(known) = self.groups.get_mut(group as usize) else { return false };
        let before = known.seen.replace((now, epoch, digits)).filter(|(_, then, _)| *then == epoch);
        let went_back = |(_, _, then): (Time, u64, MemberCounters)| {
            (0..MEMBERS).any(|member| digits.get(member) < then.get(member))
        };
        let mut is_fresh = before.is_some_and(went_back);
        // Met for the first time, what stands there has come since the epoch began.
        let (at, then) =
            before.map_or((epoch * HEARTBEAT_EPOCH, MemberCounters::default()), |(at, _, then)| (at, then));
        for member in 0..MEMBERS {
            let gateway = (group * MEMBERS + member) as usize;
            if digits.get(member) != then.get(member) {
                // Some time since then: the earliest is what is sure.
                self.heard.iter_mut().skip(gateway).take(1).for_each(|heard| *heard = (*heard).max(at));
            }
        }
        if group == self.own_group() && epoch == self.epoch {
            // An add that was answered counts.
            let found = digits.get(self.me % MEMBERS);
            is_fresh |= self.digit.is_some_and(|digit| found < digit + u8::from(self.is_out));
            self.digit = Some(found);
            self.is_out = false;
        }
        is_fresh
    }

    /// Whether a gateway is heard: this one always hears itself.
    pub fn is_alive(&self, gateway: u32, now: Time) -> bool {
        gateway == self.me
            || self.heard.get(gateway as usize).is_some_and(|heard| now < heard + self.within())
    }

    /// Of the gateways listened to, with this one's group, how many are heard, and how many there are.
    pub fn count_alive(&self, now: Time) -> (u32, u32) {
        let own = Some(self.own_group()).filter(|_| now < self.beats_until);
        let groups = own.into_iter().chain(self.listened.iter().map(|(group, _)| *group));
        let all = self.heard.len() as u32;
        let gateways = groups.flat_map(|group| group * MEMBERS..((group + 1) * MEMBERS).min(all));
        gateways.fold((0, 0), |(heard, of), gateway| (heard + u32::from(self.is_alive(gateway, now)), of + 1))
    }

    /// When a gateway was heard last, as far as that is sure.
    pub fn last_heartbeat_at(&self, gateway: u32) -> Time {
        self.heard.get(gateway as usize).copied().unwrap_or(0)
    }

    fn within(&self) -> Span {
        within(self.beat, self.listened.len() as Span)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    const S: Time = 1_000_000_000;

    /// Gateways that beat on one counter, or on several.
    struct Site {
        all: Vec<FailureDetector>,
        totals: Vec<BTreeMap<(u32, u64), f64>>,
        side: Vec<usize>,
        now: Time,
    }

    impl Site {
        fn new(gateways: u32) -> Site {
            let all = (0..gateways).map(|me| FailureDetector::new(me, gateways)).collect();
            Site {
                all,
                totals: vec![BTreeMap::new(); 3],
                side: vec![0; gateways as usize],
                now: 100 * HEARTBEAT_EPOCH,
            }
        }

        /// Each beats once, with phases that wander.
        fn beat(&mut self, beating: impl Fn(usize) -> bool) {
            let count = self.all.len() as u64;
            for (n, hearing) in self.all.iter_mut().enumerate().filter(|(n, _)| beating(*n)) {
                let at = self.now + HEARTBEAT_INTERVAL * n as Span / count + self.now % 37_000_000;
                for pulse in hearing.heartbeat_calls(at) {
                    let total = self.totals[self.side[n]].entry((pulse.group, pulse.epoch)).or_default();
                    *total += pulse.amount;
                    hearing.record_total(at, pulse.group, pulse.epoch, *total);
                }
            }
            self.now += HEARTBEAT_INTERVAL;
        }

        fn counts(&self) -> Vec<u32> {
            self.all.iter().map(|hearing| hearing.count_alive(self.now).0).collect()
        }
    }

    #[test]
    fn at_the_start_nobody_is_heard_and_three_beats_later_all_are_for_good() {
        let mut site = Site::new(3);
        assert_eq!(site.counts(), [1, 1, 1]);
        (0..3).for_each(|_| site.beat(|_| true));
        for _ in 0..300 {
            assert_eq!(
                site.counts(),
                [3, 3, 3],
                "at {} beats of an epoch",
                site.now % HEARTBEAT_EPOCH / HEARTBEAT_INTERVAL
            );
            site.beat(|_| true);
        }
    }

    #[test]
    fn who_dies_or_is_split_off_is_missed_within_four_beats() {
        let mut site = Site::new(3);
        (0..5).for_each(|_| site.beat(|_| true));
        (0..4).for_each(|_| site.beat(|n| n != 2));
        assert_eq!(site.counts()[..2], [2, 2]);
        (0..4).for_each(|_| site.beat(|_| true));
        assert_eq!(site.counts(), [3, 3, 3]);
        site.side[0] = 1;
        site.totals[1] = site.totals[0].clone();
        (0..4).for_each(|_| site.beat(|_| true));
        assert_eq!(site.counts(), [1, 2, 2]);
    }

    #[test]
    fn a_counter_that_has_forgotten_all_beats_deafens_nobody() {
        let mut site = Site::new(3);
        (0..10).for_each(|_| site.beat(|_| true));
        site.totals[0].clear();
        for _ in 0..20 {
            site.beat(|_| true);
            assert_eq!(site.counts(), [3, 3, 3]);
        }
    }

    #[test]
    fn a_beat_without_an_answer_is_not_guessed_at() {
        let mut hearing = FailureDetector::new(0, 3);
        let mut beat = |n: u64, answer: Option<f64>| {
            let pulse = hearing.heartbeat_calls(HEARTBEAT_EPOCH + n * HEARTBEAT_INTERVAL)[0];
            if let Some(total) = answer {
                hearing.record_total(HEARTBEAT_EPOCH + n * HEARTBEAT_INTERVAL, 0, pulse.epoch, total);
            }
            pulse.amount
        };
        assert_eq!(beat(0, Some(0.0)), 0.0, "who has just started reads first");
        assert_eq!(beat(1, None), 1.0);
        assert_eq!(beat(2, Some(1.0)), 0.0, "no answer came: the next call reads");
        assert_eq!(beat(3, Some(2.0)), 1.0);
    }

    #[test]
    fn a_gateway_that_starts_anew_goes_on_from_the_digit_that_it_finds() {
        let mut site = Site::new(2);
        (0..8).for_each(|_| site.beat(|_| true));
        site.all[1] = FailureDetector::new(1, 2);
        for _ in 0..12 {
            site.beat(|_| true);
            assert_eq!(site.counts()[0], 2);
        }
        assert_eq!(site.counts(), [2, 2]);
    }

    #[test]
    fn how_long_a_split_goes_unnoticed_grows_with_the_fleet_up_to_a_bound() {
        let tenths = |gateways| (detection_time(gateways, 3) + S / 20) * 10 / S;
        assert_eq!([3, 16, 30, 60, 150, 1_000].map(tenths), [33, 78, 89, 178, 380, 380]);
    }

    #[test]
    fn a_few_groups_are_heard_in_turn() {
        let mut site = Site::new(16);
        (0..16).for_each(|_| site.beat(|_| true));
        assert!(site.counts().iter().all(|count| *count == 16), "{:?}", site.counts());
        // A lease is no reason to stop: a small fleet hears itself for good.
        let set = GatewaySet { first_gateway: 0, set_size: 16, gateway_index: 0, gateways: 16 };
        site.all[0].watch_gateways(site.now, &set);
        assert_eq!(site.all[0].heartbeat_calls(site.now + 2 * LISTENS).len(), 2);
    }

    #[test]
    fn a_large_fleet_listens_only_to_those_with_whom_it_shares_a_customer_and_else_makes_no_call() {
        let mut site = Site::new(300);
        let calls = |site: &mut Site, listens: bool| {
            let mut calls = 0;
            for me in 0..300_u32 {
                if listens {
                    let set = GatewaySet {
                        first_gateway: (me / 3) * 3,
                        set_size: 3,
                        gateway_index: me,
                        gateways: 300,
                    };
                    site.all[me as usize].watch_gateways(site.now, &set);
                }
                for pulse in site.all[me as usize].heartbeat_calls(site.now) {
                    calls += 1;
                    let total = site.totals[0].entry((pulse.group, pulse.epoch)).or_default();
                    *total += pulse.amount;
                    let total = *total;
                    site.all[me as usize].record_total(site.now, pulse.group, pulse.epoch, total);
                }
            }
            site.now += site.all[0].heartbeat_interval();
            calls
        };
        assert_eq!(calls(&mut site, false), 0);
        assert_eq!(site.all[7].count_alive(site.now), (0, 0), "nobody is missed");
        let most = (0..12).map(|_| calls(&mut site, true)).max();
        assert!(most <= Some(600) && site.all[0].heartbeat_interval() >= 5 * S, "100 a second: {most:?}");
        for me in 0..300_u32 {
            let hearing = &site.all[me as usize];
            assert!((me / 3 * 3..me / 3 * 3 + 3).all(|other| hearing.is_alive(other, site.now)), "{me}");
            let (heard, of) = hearing.count_alive(site.now);
            assert!(heard == of && of <= 8, "{me}: {heard} of {of}");
        }
        site.now += 2 * LISTENS;
        assert_eq!(calls(&mut site, false), 0, "nobody has come for a while");
    }
}
