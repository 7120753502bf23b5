//! How many attempts may be out at a host at once: learnt from what it answers.
//!
//! Each host begins with [`LEAST`] slots, for all gateways together, and never gets less. Where its answers
//! take no longer while all of this gateway's part of them are in use than while few are, and more are
//! wanted, it gets more; where they take longer, or it turns attempts away, fewer. Where it was never seen
//! calm, more are tried: if its answers then take longer by half of what was added, it carries no more than
//! before, and it is left in peace for a while. Nothing is done before chance is ruled out: answers of very
//! different lengths take many more of them.

use crate::api::{Span, Time};
use crate::policy::Policy;

/// Slots of a host at the least, and of one that is not known: well above ordinary use of a small machine.
pub(crate) const LEAST: f64 = 4.0;
/// And at the most.
const MOST: f64 = 64.0;
/// Shares of our part of the slots in use, at the sending, at which a host is calm, and at which it is busy.
const CALM: f64 = 0.5;
const BUSY: f64 = 0.9;
/// Logarithms of how much longer answers may take while it is busy: up to the first it carries them with
/// ease, from the second on it is strained.
const EASE: f64 = 0.14;
const STRAIN: f64 = 0.4;
/// In a period slots grow or shrink by these.
const GROWS: f64 = 1.25;
const SHRINKS: f64 = 0.8;
/// How much longer answers may take after slots have grown, if they are to stay: half of the growth, as a
/// logarithm.
const KEPT: f64 = 0.11;
/// A host that carries no more is left in peace for this long.
const PEACE: Span = 60_000_000_000;
/// A trial has to be decided within this.
const SOON: Span = 20_000_000_000;
/// Answers that make a mean at the least, and that it follows at the most.
const ENOUGH: f64 = 12.0;
const FOLLOWED: f64 = 8192.0;
/// Standard errors that rule out chance.
const SURE: f64 = 2.5;

/// A mean that follows what comes.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    variance: f64,
    count: f64,
}

impl Mean {
    fn take(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(FOLLOWED);
        let off = value - self.value;
        self.value += off / self.count;
        self.variance += (off * (value - self.value) - self.variance) / self.count;
    }

    /// This one, once enough has come.
    fn known(&self) -> Option<&Mean> {
        Some(self).filter(|mean| mean.count >= ENOUGH)
    }

    /// How far it may be off, by chance, from another: so much, and never below a hundredth.
    fn doubt(&self, other: &Mean) -> f64 {
        SURE * libm::sqrt(self.variance / self.count + other.variance / other.count) + 0.01
    }
}

/// What the last growth is held against.
#[derive(Clone, Copy, Debug)]
struct Before {
    busy: Mean,
    slots: f64,
}

/// The room of one host.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    /// Attempts that may be out there at once, from all gateways.
    pub slots: f64,
    calm: Mean,
    busy: Mean,
    /// Since when the busy mean is of these slots.
    since: Time,
    /// More slots are being tried.
    trial: Option<Before>,
    /// Until then no more are.
    peace: Time,
    /// It has turned an attempt away in this period.
    has_refused: bool,
}

impl Default for Room {
    fn default() -> Room {
        Room {
            slots: LEAST,
            calm: Mean::default(),
            busy: Mean::default(),
            since: 0,
            trial: None,
            peace: 0,
            has_refused: false,
        }
    }
}

impl Room {
    /// An answer came, so long (a logarithm) against what its class usually takes; `used`: the share of our
    /// part of the slots that was in use when it was sent.
    pub fn answered(&mut self, sent: Time, used: f64, longer: f64) {
        if used <= CALM {
            self.calm.take(longer);
        } else if used >= BUSY && sent >= self.since {
            self.busy.take(longer);
        }
    }

    /// It has turned an attempt away.
    pub fn turned_away(&mut self) {
        self.has_refused = true;
    }

    /// A period is over, in which more slots were `wanted` or not. By how much its slots have changed.
    pub fn settle(&mut self, now: Time, wanted: bool) -> f64 {
        let before = self.slots;
        if std::mem::take(&mut self.has_refused) {
            self.trial = None;
            self.turn(now, self.slots * SHRINKS);
        } else if let (Some(busy), Some(calm)) = (self.busy.known().copied(), self.calm.known().copied()) {
            self.compare(now, wanted, busy.value - calm.value, busy.doubt(&calm));
        } else if let Some(busy) = self.busy.known().copied() {
            self.try_more(now, wanted, busy);
        }
        self.slots - before
    }

    /// It was seen both busy and calm.
    fn compare(&mut self, now: Time, wanted: bool, strain: f64, doubt: f64) {
        if strain - doubt > STRAIN {
            self.turn(now, self.slots * SHRINKS);
        } else if wanted && strain + doubt < EASE {
            self.turn(now, self.slots * GROWS);
        }
    }

    /// It was never seen calm.
    fn try_more(&mut self, now: Time, wanted: bool, busy: Mean) {
        match self.trial {
            Some(before) => {
                let (longer, doubt) = (busy.value - before.busy.value, busy.doubt(&before.busy));
                if longer + doubt < KEPT {
                    self.trial = None;
                } else if longer - doubt > KEPT || now > self.since + PEACE {
                    self.trial = None;
                    self.peace = now + PEACE;
                    self.turn(now, before.slots);
                }
            }
            None if wanted && now >= self.peace && self.decides_soon(now) => {
                self.trial = Some(Before { busy, slots: self.slots });
                self.turn(now, self.slots * GROWS);
            }
            None => {}
        }
    }

    /// Whether answers come so fast that a trial would be decided soon: else it only does harm meanwhile.
    fn decides_soon(&self, now: Time) -> bool {
        let span = now.saturating_sub(self.since) as f64;
        let needed = 2.0 * self.busy.variance * (2.0 * SURE / KEPT) * (2.0 * SURE / KEPT) + ENOUGH;
        self.busy.count * SOON as f64 >= needed * span
    }

    fn turn(&mut self, now: Time, slots: f64) {
        let slots = slots.clamp(LEAST, MOST);
        if slots != self.slots {
            self.slots = slots;
            self.busy = Mean::default();
            self.since = now;
        }
    }

    /// How loaded it is with so many of ours out, as if it had [`LEAST`] slots.
    pub fn load(&self, out: u32) -> f64 {
        f64::from(out) * LEAST / self.slots
    }
}

/// What the answers of a class take on hosts that are calm, as a logarithm of seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usual(Mean);

impl Usual {
    /// An answer took so long; gives by how much longer than usual that is. Until calm hosts have answered,
    /// usual is what the class takes anyhow.
    pub fn answered(&mut self, took: Span, used: f64) -> f64 {
        let took = libm::log((took as f64 / 1e9).max(1e-6));
        if used <= CALM || self.0.known().is_none() {
            self.0.take(took);
        }
        took - self.0.value
    }
}

impl Policy {
    /// A period is over: hosts that have answered get more slots or fewer.
    pub(crate) fn settle_rooms(&mut self, now: Time) {
        let wanted = std::mem::take(&mut self.pace.bound);
        for id in std::mem::take(&mut self.changing) {
            let Some(s) = self.fleet.get_mut(id) else { continue };
            s.is_changing = false;
            let change = s.room.settle(now, wanted) / self.s.gateways.max(1) as f64;
            if s.is_ready() {
                self.pace.part += change;
                self.pace.total = self.pace.strain.slots(self.pace.part);
                self.pools.widen(s.entry.pools, change);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A host whose answers take `longer` while our part of so many slots is in use, for so many periods.
    fn play(periods: u64, wanted: bool, longer: impl Fn(f64) -> f64) -> Room {
        let mut room = Room::default();
        for period in 1..=periods {
            for _ in 0..30 {
                room.answered(period, 0.3, 0.0);
                room.answered(period, 1.0, longer(room.slots));
            }
            room.settle(period, wanted);
        }
        room
    }

    #[test]
    fn a_host_that_carries_more_with_ease_gets_more_up_to_a_bound() {
        assert!((play(5, true, |_| 0.0).slots - LEAST * GROWS.powi(5)).abs() < 1e-9);
        assert_eq!(play(100, true, |_| 0.05).slots, MOST);
        assert_eq!(play(100, false, |_| 0.0).slots, LEAST, "nobody wants more");
    }

    #[test]
    fn a_host_that_takes_longer_stays_as_it_is() {
        assert_eq!(play(100, true, |_| 0.2).slots, LEAST);
        assert_eq!(play(100, true, |_| 0.7).slots, LEAST);
    }

    #[test]
    fn slots_end_where_a_host_begins_to_strain() {
        // It carries 20 at once, and then takes its time.
        let room = play(200, true, |slots| libm::log((slots / 20.0).max(1.0)));
        assert!((16.0..=30.0).contains(&room.slots), "{}", room.slots);
    }

    #[test]
    fn one_that_turns_attempts_away_gets_fewer_and_never_less_than_at_first() {
        let mut room = play(10, true, |_| 0.0);
        let before = room.slots;
        room.turned_away();
        assert!(room.settle(11, true) < 0.0);
        for period in 12..60 {
            room.turned_away();
            room.settle(period, true);
        }
        assert!(before > LEAST && room.slots == LEAST);
    }

    #[test]
    fn answers_of_what_was_sent_under_other_slots_say_nothing_of_these() {
        let mut room = play(3, true, |_| 0.0);
        let slots = room.slots;
        (0..100).for_each(|_| room.answered(1, 1.0, 2.0));
        assert_eq!(room.settle(4, true), 0.0);
        assert_eq!(room.slots, slots);
    }

    #[test]
    fn few_answers_decide_nothing() {
        let mut room = Room::default();
        (0..100).for_each(|_| room.answered(1, 0.3, 0.0));
        (0..11).for_each(|_| room.answered(1, 1.0, 0.0));
        assert_eq!(room.settle(1, true), 0.0);
        room.answered(1, 1.0, 0.0);
        assert!(room.settle(1, true) > 0.0);
    }

    #[test]
    fn one_that_was_never_calm_is_tried_with_more_and_left_in_peace_where_it_carries_no_more() {
        let play = |most: f64| {
            let mut room = Room::default();
            let mut most_slots = LEAST;
            for second in 1..=50 {
                for _ in 0..50 {
                    // Beyond what it carries the others wait.
                    room.answered(second * 1_000_000_000, 1.0, libm::log((room.slots / most).max(1.0)));
                }
                room.settle(second * 1_000_000_000, true);
                most_slots = most_slots.max(room.slots);
            }
            (room.slots, most_slots)
        };
        let (weak, tried) = play(4.0);
        assert_eq!((weak, tried), (LEAST, LEAST * GROWS));
        let (strong, _) = play(40.0);
        assert!((30.0..=52.0).contains(&strong), "{strong}");
    }

    #[test]
    fn nothing_is_tried_where_answers_come_too_seldom_to_decide_it() {
        let tried = |a_second: u32, noise: f64| {
            let mut room = Room::default();
            for second in 1..=30 {
                for n in 0..a_second {
                    room.answered(second * 1_000_000_000, 1.0, if n % 2 == 0 { noise } else { -noise });
                }
                room.settle(second * 1_000_000_000, true);
            }
            room.slots > LEAST
        };
        assert_eq!([tried(5, 1.0), tried(500, 1.0), tried(5, 0.0)], [false, true, true]);
    }

    #[test]
    fn answers_of_very_different_lengths_are_no_reason_to_grow_or_shrink() {
        let mut chance = crate::chance::Chance::seeded(7);
        let mut room = Room::default();
        let mut most = LEAST;
        for second in 1..=60 {
            // Four answers a second, as they come by an exponential clock, half of them on a calm host.
            for used in [0.3, 1.0, 0.3, 1.0] {
                room.answered(second * 1_000_000_000, used, libm::log(-libm::log(1.0 - chance.unit())));
            }
            room.settle(second * 1_000_000_000, true);
            most = most.max(room.slots);
        }
        assert_eq!(most, LEAST);
    }

    #[test]
    fn what_is_usual_is_what_calm_hosts_take() {
        let mut usual = Usual::default();
        (0..12).for_each(|_| assert!(usual.answered(20_000_000, 0.2).abs() < 1e-9));
        let longer = usual.answered(40_000_000, 1.0);
        assert!((longer - libm::log(2.0)).abs() < 1e-9, "{longer}");
        (0..1000).for_each(|_| assert!((usual.answered(40_000_000, 1.0) - longer).abs() < 1e-9));
    }
}
