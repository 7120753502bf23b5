//! A customer whose burst is too thin to lease blocks of it to all its gateways.
//!
//! Its time is cut into **windows** of about what its burst lasts. Each window has a number of its own on the counter,
//! to which some requests add what they ask for, each for several: so one total tells what all gateways were asked for
//! just now, also a gateway that meets the customer once a minute and remembers nothing of it. What the window's part
//! of the quota covers is let in, those that are worth most first; who did not ask the counter goes by what was seen
//! just now, or else by how often the customer comes here.

use crate::{Span, Time, SECOND};

/// Spans of a window at the least and at the most, in seconds.
const WINDOW: (f64, f64) = (1.0, 5.0);
/// What was known before counts for so much of a window's part of the quota, beside what the window itself shows.
const BEFORE: f64 = 0.25;
/// Of the quota of a customer that asks for more, so much is let in with all but the worthiest: what is admitted
/// unseen comes on top.
const FULL: f64 = 0.9;
/// What was seen this long ago tells nothing any more.
const STALE: Span = 30_000_000_000;
/// What was seen this lately need hardly be asked for again, and goes before what is seen here alone.
const FRESH: Span = 4_000_000_000;
/// Where a gateway sees enough of a customer to tell by itself, it looks back on so many seconds.
const LOOKS_BACK: f64 = 10.0;
/// One call may speak for so much of a window's part; what it speaks for beyond that may be chance.
const COARSE: f64 = 0.15;

/// The latest total.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Sight {
    window: u64,
    at: Time,
    /// What all gateways together were asked for in that window up to then.
    asked: f64,
    /// How many times its quota the customer was found to ask for.
    times: f64,
    /// What may be chance in it.
    chance: f64,
}

/// What a gateway makes by itself of how many times its quota a customer asks for: it begins with what is usual or was
/// seen, each request that comes here raises it, and time without one lowers it.
#[derive(Clone, Copy, Debug, Default)]
struct Guess {
    times: f64,
    at: Time,
    /// Units of the latest request, which does not speak against itself.
    latest: f64,
}

/// What is known of a rationed customer.
#[derive(Clone, Copy, Debug, Default)]
pub struct WindowedLimiter {
    rate: f64,
    burst: f64,
    /// Windows of different customers do not begin together.
    phase: Span,
    /// Units a second that its quota covers at one of its gateways, if they come evenly.
    fair: f64,
    /// Units let in by the odds and not yet used.
    credit: f64,
    sight: Option<Sight>,
    guess: Guess,
}

/// All that a ration at rest has to remember.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CompactLimiter {
    at: Time,
    window: u32,
    credit: f32,
    asked: f32,
    times: f32,
    chance: f32,
    guess: f32,
    guessed_at: Time,
    is_seen: bool,
}

impl WindowedLimiter {
    /// For a customer with this rate, in units a second, and burst, that comes through `spread` gateways. `phase`: where
    /// its windows begin, any span.
    pub fn new(rate: f64, burst: f64, phase: Span, spread: u32) -> WindowedLimiter {
        let rate = rate.max(1e-9);
        WindowedLimiter {
            rate,
            burst,
            phase,
            fair: rate / f64::from(spread.max(1)),
            ..WindowedLimiter::default()
        }
    }

    /// What there is to remember of one.
    pub(crate) fn rest(&self) -> Option<CompactLimiter> {
        let none = Sight { window: 0, at: 0, asked: 0.0, times: 0.0, chance: 0.0 };
        let Sight { window, at, asked, times, chance } = self.sight.unwrap_or(none);
        Some(CompactLimiter {
            at,
            window: u32::try_from(window).ok()?,
            credit: self.credit as f32,
            asked: asked as f32,
            times: times as f32,
            chance: chance as f32,
            guess: (self.guess.times + self.guess.latest / self.weight(self.guess.latest)) as f32,
            guessed_at: self.guess.at,
            is_seen: self.sight.is_some(),
        })
    }

    /// This one, which is new, with what another had to remember.
    pub(crate) fn woken(self, rest: CompactLimiter) -> WindowedLimiter {
        let CompactLimiter { at, window, credit, asked, times, chance, guess, guessed_at, is_seen } = rest;
        let (asked, times, chance) = (asked.into(), times.into(), chance.into());
        let sight = Sight { window: window.into(), at, asked, times, chance };
        let guess = Guess { times: guess.into(), at: guessed_at, latest: 0.0 };
        WindowedLimiter { credit: credit.into(), sight: is_seen.then_some(sight), guess, ..self }
    }

    /// The quota is another from now on.
    pub fn set_quota(&mut self, rate: f64, burst: f64) {
        let rate = rate.max(1e-9);
        *self = WindowedLimiter { rate, burst, fair: self.fair * rate / self.rate, ..*self };
    }

    /// How long a window is, in nanoseconds.
    pub fn window_length(&self) -> Span {
        ((self.burst / self.rate).clamp(WINDOW.0, WINDOW.1) * SECOND) as Span
    }

    /// The window at this moment, the same at all gateways whose clocks agree.
    pub fn window_at(&self, now: Time) -> u64 {
        let span = self.window_length();
        (now + self.phase % span) / span
    }

    /// When a window began.
    pub fn window_start(&self, window: u64) -> Time {
        let span = self.window_length();
        (window * span).saturating_sub(self.phase % span)
    }

    /// A window's part of the quota, in units.
    fn part(&self) -> f64 {
        self.rate * self.window_length() as f64 / SECOND
    }

    /// Begins somewhere between nothing and one request, so that gateways do not all begin alike.
    pub fn set_initial_credit(&mut self, units: f64) {
        self.credit = units;
    }

    /// What the guess weighs beside a request of so many units, in units: as much as one like it, or all that the quota
    /// covers here in the time that is looked back on.
    fn weight(&self, units: f64) -> f64 {
        units.max(LOOKS_BACK * self.fair)
    }

    /// The customer asks this gateway for these units. `usual`: how many times its quota one asks for of whom nothing is
    /// known but that it was not here since `since`.
    pub fn record_request(&mut self, now: Time, units: f64, usual: f64, since: Time) {
        if self.guess.at == 0 {
            self.guess = Guess { times: usual, at: since.max(now.saturating_sub(STALE)), latest: 0.0 };
        }
        let Guess { times, at, latest } = self.guess;
        let (weight, covered) = (self.weight(units), self.fair * now.saturating_sub(at) as f64 / SECOND);
        let times = (weight * times + latest) / (weight + covered);
        self.guess = Guess { times, at: now, latest: units };
    }

    /// The number of a window stands at this total, of which `amount` was added by the call itself: for the request
    /// that made it, and for several like it.
    pub fn record_total(&mut self, now: Time, window: u64, total: f64, amount: f64) {
        let part = self.part();
        let (asked, begun) = (total - amount, self.window_start(window));
        let lasted = self.rate * now.saturating_sub(begun).min(self.window_length()) as f64 / SECOND;
        let before = self.demand_ratio(now).unwrap_or(1.0);
        let times = (asked + BEFORE * part * before) / (lasted + BEFORE * part);
        let chance = (amount - COARSE * part).max(0.0);
        self.sight = Some(Sight { window, at: now, asked, times, chance });
        (self.guess.times, self.guess.at) = (times, now);
    }

    /// How many times its quota the customer asks for, as far as a total has told.
    pub fn demand_ratio(&self, now: Time) -> Option<f64> {
        self.sight.filter(|sight| now < sight.at + STALE).map(|sight| sight.times)
    }

    /// Whether a total was seen just now.
    pub fn has_recent_total(&self, now: Time) -> bool {
        self.sight.is_some_and(|sight| now < sight.at + FRESH)
    }

    /// Odds at which a request is let in: nought or one in a window whose total has been seen, else the share that the
    /// quota covers. `top`: the share of the worthiest class in what is asked for, which goes first as far as the quota
    /// reaches.
    pub fn admission_probability(&self, now: Time, worthiest: bool, top: f64) -> f64 {
        let window = self.window_at(now);
        let seen = self.sight.filter(|sight| sight.window == window || now < sight.at + FRESH);
        let times = seen.map_or(self.guess.times, |sight| sight.times).max(FULL);
        let share = match worthiest {
            true => (1.0 / (top * times)).min(1.0),
            false if times <= FULL => 1.0,
            false => ((FULL - top * times) / (times * (1.0 - top))).clamp(0.0, 1.0),
        };
        let Some(sight) = seen.filter(|sight| sight.window == window) else { return share };
        let since = now.saturating_sub(sight.at) as f64 / SECOND;
        let asked = sight.asked + times * self.rate * since;
        let is_covered = asked <= share * times * self.part() + sight.chance;
        f64::from(u8::from(is_covered))
    }

    /// Whether a request is let in: at those odds, spread evenly.
    pub fn admit(&mut self, units: f64, odds: f64) -> bool {
        self.credit = (self.credit + units * odds.clamp(0.0, 1.0)).min(2.0 * units);
        let granted = self.credit + 1e-9 >= units;
        self.credit -= if granted { units } else { 0.0 };
        granted
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000_000;
    /// Windows of two seconds that begin with even ones.
    const NEW: fn() -> WindowedLimiter = || WindowedLimiter::new(10.0, 20.0, 0, 100);

    /// One that saw, a second into its window, that so much had been asked for.
    fn saw(asked: f64) -> WindowedLimiter {
        let mut ration = NEW();
        let window = ration.window_at(101 * S);
        ration.record_total(101 * S, window, asked + 2.0, 2.0);
        ration
    }

    #[test]
    fn a_gateway_that_knows_nothing_learns_from_one_total_what_all_were_asked_for() {
        assert_eq!(NEW().demand_ratio(101 * S), None);
        let times = |asked| saw(asked).demand_ratio(101 * S).unwrap();
        assert!(
            (times(40.0) - 45.0 / 15.0).abs() < 1e-9,
            "forty, and five as expected, where fifteen are covered"
        );
        assert!(times(3.0) < 1.0 && times(10.0) == 1.0);
    }

    #[test]
    fn a_window_is_let_in_up_to_its_part_of_the_quota_and_the_worthiest_go_first() {
        // (asked for before it, worthiest, whether it is let in)
        let cases =
            [(8.0, false, 1.0), (19.0, true, 1.0), (19.0, false, 0.0), (60.0, false, 0.0), (60.0, true, 1.0)];
        for (asked, worthiest, odds) in cases {
            assert_eq!(
                saw(asked).admission_probability(101 * S, worthiest, 0.16),
                odds,
                "{asked} {worthiest}"
            );
        }
        let alone = saw(19.0).admission_probability(101 * S, true, 0.99);
        assert_eq!(alone, 1.0, "with one class there is nobody to go before");
        assert_eq!(saw(60.0).admission_probability(101 * S, true, 0.99), 0.0);
    }

    #[test]
    fn after_its_window_what_was_seen_gives_the_share_that_the_quota_covers_and_then_what_comes_here_does() {
        let mut ration = saw(60.0);
        let times = ration.demand_ratio(101 * S).unwrap();
        let share = |ration: &WindowedLimiter, at: u64| ration.admission_probability(at * S, false, 0.0);
        assert_eq!(share(&ration, 102), FULL / times);
        assert!(ration.has_recent_total(104 * S) && !ration.has_recent_total(106 * S));
        assert!(ration.demand_ratio(130 * S).is_some() && ration.demand_ratio(132 * S).is_none());
        // A tenth of a unit a second is covered here: ten seconds in silence weigh half of a request of two units.
        ration.record_request(111 * S, 2.0, 1.0, 0);
        assert!((share(&ration, 111) - FULL / (times / 1.5)).abs() < 1e-9);
        ration.record_request(112 * S, 2.0, 1.0, 0);
        assert!(share(&ration, 112) < FULL / (times / 1.5), "two requests in a second speak of many");
    }

    #[test]
    fn whom_no_total_tells_of_is_let_in_by_how_often_it_comes_here() {
        // A tenth of a unit a second is covered here, of what is asked in requests of two units each so many seconds:
        // in ten minutes 60 units, and a request or two in advance.
        for (every, least, most) in [(60, 18.0, 20.0), (20, 50.0, 60.0), (5, 50.0, 62.0), (1, 50.0, 64.0)] {
            let mut ration = NEW();
            let mut passed = 0.0;
            for n in 0..600 / every {
                let now = (100 + n * every) * S;
                ration.record_request(now, 2.0, 1.5, 90 * S);
                let odds = ration.admission_probability(now, false, 0.0);
                passed += if ration.admit(2.0, odds) { 2.0 } else { 0.0 };
            }
            assert!((least..=most).contains(&passed), "each {every} s: {passed}");
        }
        let mut new = NEW();
        new.record_request(100 * S, 2.0, 1.5, 100 * S);
        assert_eq!(new.admission_probability(100 * S, false, 0.0), FULL / 1.5, "the first one is as usual");
    }

    #[test]
    fn a_call_that_speaks_for_many_requests_refuses_none_by_chance() {
        let mut ration = NEW();
        // One call of a customer that asks little, for twenty requests like it.
        ration.record_total(101 * S, ration.window_at(101 * S), 60.0, 40.0);
        assert_eq!(ration.admission_probability(101 * S, false, 0.0), 1.0);
        ration.record_total(101 * S, ration.window_at(101 * S), 120.0, 40.0);
        assert_eq!(ration.admission_probability(101 * S, false, 0.0), 0.0, "three of them are no chance");
    }

    #[test]
    fn windows_follow_one_another_and_do_not_begin_together() {
        let ration = WindowedLimiter::new(10.0, 20.0, 700_000_000, 100);
        let window = ration.window_at(100 * S);
        assert_eq!(ration.window_at(ration.window_start(window)), window);
        assert_eq!(ration.window_at(ration.window_start(window) - 1), window - 1);
        assert_eq!(ration.window_start(window + 1) - ration.window_start(window), ration.window_length());
        assert_ne!(
            ration.window_start(window) % ration.window_length(),
            NEW().window_start(window) % NEW().window_length()
        );
        assert_eq!(WindowedLimiter::new(10.0, 2.0, 0, 100).window_length(), S, "not below a second");
        assert_eq!(WindowedLimiter::new(1.0, 60.0, 0, 100).window_length(), 5 * S);
    }

    #[test]
    fn grants_follow_the_odds_evenly() {
        let mut ration = NEW();
        assert_eq!((0..100).filter(|_| ration.admit(2.0, 0.25)).count(), 25);
    }
}
