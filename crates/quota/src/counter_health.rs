//! Whether the counter answers this gateway, and how much it may be asked: when it was given up, since when it
//! has answered again, how often it has begun anew, and the calls that are left for one that is just back.

use crate::counter_report::{CounterReport, CounterState, LocalGrants};
use crate::failure_detector::{FailureDetector, HeartbeatCall};
use crate::partition_view::GatewaySet;
use crate::time::{Span, Time, MILLISECOND, NANOS_PER_SECOND};

/// A silent counter is asked again after this.
pub const RETRY_INTERVAL: Span = 500 * MILLISECOND;
/// Calls in a row without an answer after which the counter is taken to be away, whoever asks.
const GIVEN_UP: u32 = 3;
/// A counter that is back is asked no more than `BACK_CALLS` for so long.
const BACK: Span = 3_000 * MILLISECOND;
/// Calls a second of all gateways together to one that is just back, or that has begun anew.
const BACK_CALLS: f64 = 300.0;
/// So long after it is back others may not have found out and still lend.
const OTHERS_FIND_OUT: Span = RETRY_INTERVAL + 50 * MILLISECOND;
/// Signs that the counter has begun anew within so long are signs of one beginning.
const ONE_BEGINNING: Span = 1_000 * MILLISECOND;

/// What a gateway makes of the counter, over all customers.
#[derive(Clone, Debug)]
pub struct CounterHealth {
    hearing: FailureDetector,
    gateways: u32,
    fails: u32,
    retry_at: Time,
    away_since: Option<Time>,
    /// Since when it has answered again, after it was away.
    back: Option<Time>,
    /// Calls that may be made while it is just back.
    calls_left: f64,
    filled: Time,
    /// When it was last seen to have begun anew, and how often.
    fresh: Option<Time>,
    replaced: u32,
    lent: LocalGrants,
}

impl CounterHealth {
    /// Of a gateway with this number, counted from 0, among so many.
    pub fn new(me: u32, gateways: u32) -> CounterHealth {
        CounterHealth {
            hearing: FailureDetector::new(me, gateways),
            gateways: gateways.max(1),
            fails: 0,
            retry_at: 0,
            away_since: None,
            back: None,
            calls_left: 0.0,
            filled: 0,
            fresh: None,
            replaced: 0,
            lent: LocalGrants::default(),
        }
    }

    /// Who is heard through it.
    pub fn failure_detector(&self) -> &FailureDetector {
        &self.hearing
    }

    /// It has answered a call.
    pub fn record_answer(&mut self, now: Time) {
        if self.away_since.take().is_some() {
            self.back = Some(now);
            self.calls_left = 0.0;
            self.filled = now;
        }
        self.fails = 0;
    }

    /// It has not, or has turned it away.
    pub fn record_failure(&mut self, now: Time) {
        self.fails = self.fails.saturating_add(1);
        if self.fails == GIVEN_UP {
            self.away_since = Some(now);
        }
        // All gateways together ask a silent counter a hundred times a second at the most.
        self.retry_at = now + RETRY_INTERVAL.max(Span::from(self.gateways) * 10 * MILLISECOND);
    }

    /// A call is made.
    pub fn record_call(&mut self, now: Time) {
        self.calls_left = self.left(now) - 1.0;
        self.filled = now;
        self.retry_at = self.retry_at.max(now + RETRY_INTERVAL);
    }

    /// Whether it is given up, and the next try is not due.
    pub fn is_backing_off(&self, now: Time) -> bool {
        self.away_since.is_some() && now < self.retry_at
    }

    /// Whether it was away until just now, so that other gateways may still lend.
    pub fn is_just_recovered(&self, now: Time) -> bool {
        self.back.is_some_and(|back| now < back + OTHERS_FIND_OUT)
    }

    /// Whether a call that can wait has to: the counter is just back, and this gateway has had its part.
    pub fn must_defer_calls(&self, now: Time) -> bool {
        self.back.is_some_and(|back| now < back + BACK) && self.left(now) < 1.0
    }

    /// Calls that may be made now in the background.
    pub fn background_calls(&self, now: Time) -> usize {
        self.left(now).max(0.0) as usize
    }

    /// Calls that may be made by now: so many a second, a few saved up.
    fn left(&self, now: Time) -> f64 {
        let a_second = BACK_CALLS / f64::from(self.gateways);
        let span = now.saturating_sub(self.filled) as f64 / NANOS_PER_SECOND;
        (self.calls_left + a_second * span).min(BACK_CALLS / 20.0)
    }

    /// The pulses of this beat.
    pub fn heartbeat_calls(&mut self, now: Time) -> Vec<HeartbeatCall> {
        self.hearing.heartbeat_calls(now)
    }

    /// Between two beats.
    pub fn heartbeat_interval(&self) -> Span {
        self.hearing.heartbeat_interval()
    }

    /// Until the first beat: at once, but where beats are slow drawn by a `lot` from 0 to 1, so that gateways that
    /// start together do not beat together.
    pub fn first_heartbeat_delay(&self, lot: impl FnOnce() -> f64) -> Span {
        let slower = self.heartbeat_interval() - crate::HEARTBEAT_INTERVAL;
        if slower > 0 {
            (slower as f64 * lot()) as Span
        } else {
            0
        }
    }

    /// A customer of this set is leased for.
    pub fn record_lease(&mut self, now: Time, set: &GatewaySet) {
        self.hearing.watch_gateways(now, set);
    }

    /// A group's pulse has been read. Whether it shows that the counter has begun anew.
    pub fn record_heartbeats(&mut self, now: Time, group: u32, epoch: u64, total: f64) -> bool {
        let is_fresh = self.hearing.record_total(now, group, epoch, total);
        is_fresh && self.record_reset(now)
    }

    /// Something shows that the counter has begun anew. Whether that is news.
    pub fn record_reset(&mut self, now: Time) -> bool {
        let is_news = self.fresh.is_none_or(|at| now > at + ONE_BEGINNING);
        if is_news {
            self.replaced += 1;
            self.fresh = Some(now);
        }
        is_news
    }

    /// Whether it is known to have begun anew since this moment, or just before.
    pub fn was_reset_since(&self, moment: Time) -> bool {
        self.fresh.is_some_and(|fresh| fresh + ONE_BEGINNING > moment)
    }

    /// When it was last found to have begun anew.
    pub fn last_reset_at(&self) -> Option<Time> {
        self.fresh
    }

    /// Units that rest on this gateway's word alone, see [`Lent::add`].
    pub fn record_local_grant(&mut self, units: f64, from: f64, to: f64) {
        self.lent.record(units, from, to);
    }

    /// Counts what is lent from here on.
    pub fn clear_local_grants(&mut self) {
        self.lent = LocalGrants::default();
    }

    /// What the counter looks like.
    pub fn report(&self, now: Time) -> CounterReport {
        let (heard, of) = self.hearing.count_alive(now);
        let state = match self.away_since {
            Some(_) => CounterState::Unreachable,
            None if heard < of => CounterState::Partitioned { alive: heard, gateways: of },
            None => CounterState::Complete,
        };
        CounterReport { state, counter_resets: self.replaced, local_grants: self.lent }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::failure_detector::{HEARTBEAT_EPOCH, HEARTBEAT_INTERVAL};

    const S: Time = 1_000_000_000;
    const START: Time = 40 * HEARTBEAT_EPOCH;

    /// One that was away, and whose first answer comes at `START`.
    fn back() -> CounterHealth {
        let mut contact = CounterHealth::new(0, 3);
        (0..3).for_each(|n| contact.record_failure(START - 2 * S + n * 100 * MILLISECOND));
        contact.record_answer(START);
        contact
    }

    #[test]
    fn three_calls_in_a_row_give_it_up_and_one_answer_brings_it_back() {
        let mut contact = CounterHealth::new(0, 3);
        (0..2).for_each(|_| contact.record_failure(START));
        contact.record_answer(START);
        (0..2).for_each(|_| contact.record_failure(START));
        assert!(!contact.is_backing_off(START));
        contact.record_failure(START);
        assert!(contact.is_backing_off(START) && !contact.is_backing_off(START + RETRY_INTERVAL));
        assert_eq!(contact.report(START).state, CounterState::Unreachable);
        contact.record_answer(START + S);
        assert!(!contact.is_backing_off(START + S) && contact.is_just_recovered(START + S));
        assert!(!contact.is_just_recovered(START + S + OTHERS_FIND_OUT));
    }

    #[test]
    fn a_lost_call_or_two_are_no_outage_from_which_it_could_be_back() {
        let mut contact = CounterHealth::new(0, 3);
        (0..2).for_each(|_| contact.record_failure(START));
        contact.record_answer(START);
        assert!(!contact.is_just_recovered(START) && !contact.must_defer_calls(START));
    }

    #[test]
    fn many_gateways_ask_a_silent_counter_ever_more_seldom_each() {
        let mut contact = CounterHealth::new(0, 100);
        (0..3).for_each(|_| contact.record_failure(START));
        assert!(contact.is_backing_off(START + S - MILLISECOND) && !contact.is_backing_off(START + S));
    }

    #[test]
    fn one_that_is_just_back_is_asked_its_part_of_so_many_calls_a_second() {
        let mut contact = back();
        let mut calls = 0;
        for tick in 0..150 {
            let now = START + tick * 20 * MILLISECOND;
            while !contact.must_defer_calls(now) && calls < 10_000 {
                contact.record_call(now);
                calls += 1;
            }
        }
        // 100 a second for 3 s, and a little saved up.
        assert!((285..=320).contains(&calls), "{calls}");
        assert!(!contact.must_defer_calls(START + 3 * S));
    }

    #[test]
    fn a_counter_that_has_begun_anew_is_noticed_by_the_own_pulse_and_counted_once() {
        let mut contact = CounterHealth::new(0, 3);
        let mut total = 0.0;
        let mut beat = |contact: &mut CounterHealth, n: u64, forgets: bool| {
            let now = START + n * HEARTBEAT_INTERVAL;
            let mut fresh = false;
            for pulse in contact.heartbeat_calls(now) {
                total = if forgets { pulse.amount } else { total + pulse.amount };
                fresh |= contact.record_heartbeats(now, pulse.group, pulse.epoch, total);
            }
            fresh
        };
        assert!((0..6).all(|n| !beat(&mut contact, n, false)));
        assert!(beat(&mut contact, 6, true));
        assert!((7..12).all(|n| !beat(&mut contact, n, false)));
        let at = START + 6 * HEARTBEAT_INTERVAL;
        assert_eq!((contact.last_reset_at(), contact.report(at).counter_resets), (Some(at), 1));
        // What came from then on, and just before, is in doubt; what came later is not.
        assert!(contact.was_reset_since(at) && contact.was_reset_since(at + ONE_BEGINNING - 1));
        assert!(!contact.was_reset_since(at + ONE_BEGINNING));
    }

    #[test]
    fn signs_of_one_beginning_are_counted_once() {
        let mut contact = CounterHealth::new(0, 3);
        assert!(contact.record_reset(START));
        assert!(!contact.record_reset(START + ONE_BEGINNING));
        assert!(contact.record_reset(START + ONE_BEGINNING + 1));
        assert_eq!(contact.report(START).counter_resets, 2);
    }

    #[test]
    fn what_is_lent_adds_up_until_it_is_forgotten() {
        let mut contact = CounterHealth::new(0, 3);
        contact.record_local_grant(5.0, 0.0, 0.0);
        contact.record_local_grant(5.0, 0.0, 3.0);
        contact.record_local_grant(4.0, 3.0, 7.0);
        contact.record_local_grant(2.0, 0.0, 2.0);
        let lent = contact.report(START).local_grants;
        assert_eq!((lent.units, lent.overshoot_units, lent.max_customer_overshoot), (16.0, 9.0, 7.0));
        contact.clear_local_grants();
        assert_eq!(contact.report(START).local_grants, LocalGrants::default());
    }
}
