//! Whether the counter answers this gateway, and how much it may be asked: when it was given up, since when it
//! has answered again, how often it has begun anew, and the calls that are left for one that is just back.

use crate::hearing::{Hearing, Pulse};
use crate::side::Set;
use crate::state::{CounterReport, CounterState, Lent};
use crate::{Span, Time, SECOND};

const MS: Span = 1_000_000;
/// A silent counter is asked again after this.
pub const RETRY: Span = 500 * MS;
/// Calls in a row without an answer after which the counter is taken to be away, whoever asks.
const GIVEN_UP: u32 = 3;
/// A counter that is back is asked no more than `BACK_CALLS` for so long.
const BACK: Span = 3_000 * MS;
/// Calls a second of all gateways together to one that is just back, or that has begun anew.
const BACK_CALLS: f64 = 300.0;
/// So long after it is back others may not have found out and still lend.
const OTHERS_FIND_OUT: Span = RETRY + 50 * MS;
/// Signs that the counter has begun anew within so long are signs of one beginning.
const ONE_BEGINNING: Span = 1_000 * MS;

/// What a gateway makes of the counter, over all customers.
#[derive(Clone, Debug)]
pub struct Contact {
    hearing: Hearing,
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
    lent: Lent,
}

impl Contact {
    /// Of a gateway with this number, counted from 0, among so many.
    pub fn new(me: u32, gateways: u32) -> Contact {
        Contact {
            hearing: Hearing::new(me, gateways),
            gateways: gateways.max(1),
            fails: 0,
            retry_at: 0,
            away_since: None,
            back: None,
            calls_left: 0.0,
            filled: 0,
            fresh: None,
            replaced: 0,
            lent: Lent::default(),
        }
    }

    /// Who is heard through it.
    pub fn hearing(&self) -> &Hearing {
        &self.hearing
    }

    /// It has answered a call.
    pub fn answered(&mut self, now: Time) {
        if self.away_since.take().is_some() {
            self.back = Some(now);
            self.calls_left = 0.0;
            self.filled = now;
        }
        self.fails = 0;
    }

    /// It has not, or has turned it away.
    pub fn unanswered(&mut self, now: Time) {
        self.fails = self.fails.saturating_add(1);
        if self.fails == GIVEN_UP {
            self.away_since = Some(now);
        }
        // All gateways together ask a silent counter a hundred times a second at the most.
        self.retry_at = now + RETRY.max(Span::from(self.gateways) * 10 * MS);
    }

    /// A call is made.
    pub fn called(&mut self, now: Time) {
        self.calls_left = self.left(now) - 1.0;
        self.filled = now;
        self.retry_at = self.retry_at.max(now + RETRY);
    }

    /// Whether it is given up, and the next try is not due.
    pub fn is_down(&self, now: Time) -> bool {
        self.away_since.is_some() && now < self.retry_at
    }

    /// Whether it was away until just now, so that other gateways may still lend.
    pub fn is_just_back(&self, now: Time) -> bool {
        self.back.is_some_and(|back| now < back + OTHERS_FIND_OUT)
    }

    /// Whether a call that can wait has to: the counter is just back, and this gateway has had its part.
    pub fn is_paced(&self, now: Time) -> bool {
        self.back.is_some_and(|back| now < back + BACK) && self.left(now) < 1.0
    }

    /// Calls that may be made now in the background.
    pub fn spare_calls(&self, now: Time) -> usize {
        self.left(now).max(0.0) as usize
    }

    /// Calls that may be made by now: so many a second, a few saved up.
    fn left(&self, now: Time) -> f64 {
        let a_second = BACK_CALLS / f64::from(self.gateways);
        let span = now.saturating_sub(self.filled) as f64 / SECOND;
        (self.calls_left + a_second * span).min(BACK_CALLS / 20.0)
    }

    /// The pulses of this beat.
    pub fn beat(&mut self, now: Time) -> Vec<Pulse> {
        self.hearing.beat(now)
    }

    /// Between two beats.
    pub fn beat_span(&self) -> Span {
        self.hearing.beat_span()
    }

    /// Until the first beat: at once, but where beats are slow drawn by a `lot` from 0 to 1, so that gateways that
    /// start together do not beat together.
    pub fn first_beat(&self, lot: impl FnOnce() -> f64) -> Span {
        let slower = self.beat_span() - crate::BEAT;
        if slower > 0 {
            (slower as f64 * lot()) as Span
        } else {
            0
        }
    }

    /// A customer of this set is leased for.
    pub fn leased(&mut self, now: Time, set: &Set) {
        self.hearing.listen(now, set);
    }

    /// A group's pulse has been read. Whether it shows that the counter has begun anew.
    pub fn heard(&mut self, now: Time, group: u32, epoch: u64, total: f64) -> bool {
        let is_fresh = self.hearing.read(now, group, epoch, total);
        is_fresh && self.has_begun_anew(now)
    }

    /// Something shows that the counter has begun anew. Whether that is news.
    pub fn has_begun_anew(&mut self, now: Time) -> bool {
        let is_news = self.fresh.is_none_or(|at| now > at + ONE_BEGINNING);
        if is_news {
            self.replaced += 1;
            self.fresh = Some(now);
        }
        is_news
    }

    /// Whether it is known to have begun anew since this moment, or just before.
    pub fn is_fresh_since(&self, moment: Time) -> bool {
        self.fresh.is_some_and(|fresh| fresh + ONE_BEGINNING > moment)
    }

    /// When it was last found to have begun anew.
    pub fn fresh_at(&self) -> Option<Time> {
        self.fresh
    }

    /// Units that rest on this gateway's word alone, see [`Lent::add`].
    pub fn lend(&mut self, units: f64, from: f64, to: f64) {
        self.lent.add(units, from, to);
    }

    /// Counts what is lent from here on.
    pub fn forget_lent(&mut self) {
        self.lent = Lent::default();
    }

    /// What the counter looks like.
    pub fn report(&self, now: Time) -> CounterReport {
        let (heard, of) = self.hearing.count(now);
        let state = match self.away_since {
            Some(_) => CounterState::Away,
            None if heard < of => CounterState::Apart { heard, of },
            None => CounterState::Whole,
        };
        CounterReport { state, replaced: self.replaced, lent: self.lent }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::hearing::{BEAT, EPOCH};

    const S: Time = 1_000_000_000;
    const START: Time = 40 * EPOCH;

    /// One that was away, and whose first answer comes at `START`.
    fn back() -> Contact {
        let mut contact = Contact::new(0, 3);
        (0..3).for_each(|n| contact.unanswered(START - 2 * S + n * 100 * MS));
        contact.answered(START);
        contact
    }

    #[test]
    fn three_calls_in_a_row_give_it_up_and_one_answer_brings_it_back() {
        let mut contact = Contact::new(0, 3);
        (0..2).for_each(|_| contact.unanswered(START));
        contact.answered(START);
        (0..2).for_each(|_| contact.unanswered(START));
        assert!(!contact.is_down(START));
        contact.unanswered(START);
        assert!(contact.is_down(START) && !contact.is_down(START + RETRY));
        assert_eq!(contact.report(START).state, CounterState::Away);
        contact.answered(START + S);
        assert!(!contact.is_down(START + S) && contact.is_just_back(START + S));
        assert!(!contact.is_just_back(START + S + OTHERS_FIND_OUT));
    }

    #[test]
    fn a_lost_call_or_two_are_no_outage_from_which_it_could_be_back() {
        let mut contact = Contact::new(0, 3);
        (0..2).for_each(|_| contact.unanswered(START));
        contact.answered(START);
        assert!(!contact.is_just_back(START) && !contact.is_paced(START));
    }

    #[test]
    fn many_gateways_ask_a_silent_counter_ever_more_seldom_each() {
        let mut contact = Contact::new(0, 100);
        (0..3).for_each(|_| contact.unanswered(START));
        assert!(contact.is_down(START + S - MS) && !contact.is_down(START + S));
    }

    #[test]
    fn one_that_is_just_back_is_asked_its_part_of_so_many_calls_a_second() {
        let mut contact = back();
        let mut calls = 0;
        for tick in 0..150 {
            let now = START + tick * 20 * MS;
            while !contact.is_paced(now) && calls < 10_000 {
                contact.called(now);
                calls += 1;
            }
        }
        // 100 a second for 3 s, and a little saved up.
        assert!((285..=320).contains(&calls), "{calls}");
        assert!(!contact.is_paced(START + 3 * S));
    }

    #[test]
    fn a_counter_that_has_begun_anew_is_noticed_by_the_own_pulse_and_counted_once() {
        let mut contact = Contact::new(0, 3);
        let mut total = 0.0;
        let mut beat = |contact: &mut Contact, n: u64, forgets: bool| {
            let now = START + n * BEAT;
            let mut fresh = false;
            for pulse in contact.beat(now) {
                total = if forgets { pulse.amount } else { total + pulse.amount };
                fresh |= contact.heard(now, pulse.group, pulse.epoch, total);
            }
            fresh
        };
        assert!((0..6).all(|n| !beat(&mut contact, n, false)));
        assert!(beat(&mut contact, 6, true));
        assert!((7..12).all(|n| !beat(&mut contact, n, false)));
        let at = START + 6 * BEAT;
        assert_eq!((contact.fresh_at(), contact.report(at).replaced), (Some(at), 1));
        // What came from then on, and just before, is in doubt; what came later is not.
        assert!(contact.is_fresh_since(at) && contact.is_fresh_since(at + ONE_BEGINNING - 1));
        assert!(!contact.is_fresh_since(at + ONE_BEGINNING));
    }

    #[test]
    fn signs_of_one_beginning_are_counted_once() {
        let mut contact = Contact::new(0, 3);
        assert!(contact.has_begun_anew(START));
        assert!(!contact.has_begun_anew(START + ONE_BEGINNING));
        assert!(contact.has_begun_anew(START + ONE_BEGINNING + 1));
        assert_eq!(contact.report(START).replaced, 2);
    }

    #[test]
    fn what_is_lent_adds_up_until_it_is_forgotten() {
        let mut contact = Contact::new(0, 3);
        contact.lend(5.0, 0.0, 0.0);
        contact.lend(5.0, 0.0, 3.0);
        contact.lend(4.0, 3.0, 7.0);
        contact.lend(2.0, 0.0, 2.0);
        let lent = contact.report(START).lent;
        assert_eq!((lent.units, lent.beyond, lent.most), (16.0, 9.0, 7.0));
        contact.forget_lent();
        assert_eq!(contact.report(START).lent, Lent::default());
    }
}
