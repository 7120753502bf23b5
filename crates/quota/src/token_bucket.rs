//! One customer's quota as one gateway can know it: how much of it is left for this gateway's side. The totals of
//! the counter tell, while they come; in between and without them the store fills by the side's part of the rate.
//!
//! Nothing here decides on a request. The decision module asks what is left, how far below nothing it may go,
//! and says what was leased and spent.

use crate::bound::{OVERDRAFT_BURST_FRACTION, PARTITION_RATE_MARGIN, SAVED_BURST_FRACTION};
use crate::counter_health::CounterHealth;
use crate::idempotent_add::AddOutcome;
use crate::idempotent_add::{MarkScheme, MemberCounters};
use crate::partition_view::{CounterReachability, GatewaySet, PartitionView};
use crate::time::{seconds_between, Span, Time, MILLISECOND};
use libm::exp;

/// Seconds that what a customer asks for looks back.
const ASKED_SPAN: f64 = 8.0;
/// Who asks for so many times its rate gets no credit.
const GREEDY: f64 = 1.15;
/// A customer with whom the counter has been whole for this long is known.
const KNOWN: Span = 10_000_000_000;
/// Who was greedy gets no credit for so long after.
const REFORMS: Span = 60_000_000_000;
/// Seconds of the rate that others may take beyond their usual use before it counts as taken just now.
const SUDDEN: f64 = 1.0;

/// Whose store it is, and of what kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BucketConfig {
    /// Units a second.
    pub rate: f64,
    /// Units that it holds.
    pub burst: f64,
    /// It is a hard ceiling: nothing is lent, and parts are even.
    pub is_ceiling: bool,
    /// There is no counter: each gateway holds its even part.
    pub has_no_counter: bool,
    /// The gateways that the customer comes through.
    pub gateway_set: GatewaySet,
}

/// An epoch of a customer's number on the counter: with each one begins a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CounterEpoch {
    /// The epoch's number, counted from time zero.
    pub number: u64,
    /// The moment at which the epoch began.
    pub start: Time,
}

/// The latest total.
#[derive(Clone, Copy, Debug)]
struct Seen {
    epoch: u64,
    whole: f64,
    digits: Option<MemberCounters>,
    at: Time,
}

/// What there was when the counter fell silent, and when.
#[derive(Clone, Copy, Debug)]
struct Dark {
    /// Also what found no room: the next total may tell that others had taken it.
    filled: f64,
    part: f64,
    at: Time,
    spent: f64,
    /// It was only just back, so that the store was this gateway's own part before.
    own: bool,
}

/// A customer's store, in units.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    terms: BucketConfig,
    /// Leased here and not yet spent; below zero: let in before the counter was told.
    held: f64,
    /// What this side may still take; below zero: ahead of the refill.
    level: f64,
    at: Time,
    side: PartitionView,
    /// The level at the latest total, and what was filled since.
    base: f64,
    gained: f64,
    /// The level as it would be if nobody were apart, at the latest total.
    whole: f64,
    whole_at: Time,
    was_whole: bool,
    seen: Option<Seen>,
    /// The counter does not answer.
    dark: Option<Dark>,
    /// Others are heard again: what they took apart from us was their own part.
    rejoined: bool,
    /// The counter is just back, and others may still lend their parts.
    is_just_back: bool,
    /// Units below nothing to which the level went since the counter was whole.
    deepest: f64,
    /// Units asked for here, fading.
    asked: f64,
    born: Time,
    greedy: bool,
    /// Up to when it gets no credit, since it was greedy.
    wary_until: Time,
    known: Option<Time>,
}

/// All that a store at rest has to remember: see [`Store::rest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CompactBucket {
    at: Time,
    /// Milliseconds since it was met, as far as they can be counted.
    age_ms: u32,
    held: f32,
    /// Of the whole quota, also where this side has a part only since there is no counter.
    level: f32,
    whole: f32,
    asked: f32,
    seen_whole: f32,
    seen_epoch: u32,
    digits: MemberCounters,
    has_digits: bool,
    is_seen: bool,
    is_known: bool,
    greedy: bool,
    /// Milliseconds for which it gets no credit yet.
    wary_ms: u16,
}

impl TokenBucket {
    /// A full one, met now.
    pub fn new(now: Time, terms: BucketConfig) -> TokenBucket {
        let terms = BucketConfig { gateway_set: terms.gateway_set.normalized(), ..terms };
        TokenBucket {
            level: terms.burst,
            at: now,
            side: PartitionView::new(now, terms.gateway_set, terms.rate),
            base: terms.burst,
            whole: terms.burst,
            whole_at: now,
            born: now,
            terms,
            ..TokenBucket::default()
        }
    }

    /// What there is to remember of one that is in no doubt: not in the dark, and nobody apart. Of
    /// who came through which gateway nothing is kept, as of a customer that is met anew: in the dark that means a
    /// smaller part. `None`: there is more to it.
    pub(crate) fn rest(&self) -> Option<CompactBucket> {
        let BucketConfig { is_ceiling: strict, has_no_counter: alone, .. } = self.terms;
        let is_whole = self.side.is_complete() || alone;
        let is_dark = self.dark.is_some() && !alone;
        if strict || !is_whole || is_dark || self.is_just_back {
            return None;
        }
        let wary_ms = self.wary_until.saturating_sub(self.at).div_ceil(MILLISECOND);
        let seen_epoch = u32::try_from(self.seen.map_or(0, |seen| seen.epoch)).ok()?;
        let digits = self.seen.and_then(|seen| seen.digits);
        Some(CompactBucket {
            at: self.at,
            age_ms: u32::try_from(self.at.saturating_sub(self.born) / MILLISECOND).unwrap_or(u32::MAX),
            held: self.held as f32,
            level: (self.level / self.side.burst_fraction().max(1e-3)) as f32,
            whole: self.whole_now() as f32,
            asked: self.asked as f32,
            seen_whole: self.seen.map_or(0.0, |seen| seen.whole) as f32,
            seen_epoch,
            digits: digits.unwrap_or_default(),
            has_digits: digits.is_some(),
            is_seen: self.seen.is_some(),
            is_known: self.known.is_some(),
            greedy: self.greedy,
            wary_ms: u16::try_from(wary_ms).ok()?,
        })
    }

    /// One with these terms, and with what another had to remember when it came to rest. It has yet to fill since
    /// then, and to find its part.
    pub(crate) fn woken(rest: CompactBucket, terms: BucketConfig) -> TokenBucket {
        let CompactBucket { at, seen_epoch, digits, .. } = rest;
        let born = at.saturating_sub(u64::from(rest.age_ms) * MILLISECOND);
        let new = TokenBucket::new(at, terms);
        let (level, whole) = (f64::from(rest.level), f64::from(rest.whole));
        let digits = rest.has_digits.then_some(digits);
        let seen = Seen { epoch: seen_epoch.into(), whole: rest.seen_whole.into(), digits, at };
        TokenBucket {
            held: rest.held.into(),
            level: level.min(new.terms.burst),
            base: level.min(new.terms.burst),
            whole: whole.min(new.terms.burst),
            whole_at: at,
            was_whole: !terms.has_no_counter,
            seen: rest.is_seen.then_some(seen),
            asked: rest.asked.into(),
            greedy: rest.greedy,
            wary_until: at + u64::from(rest.wary_ms) * MILLISECOND,
            known: rest.is_known.then_some(born),
            born,
            ..new
        }
    }

    /// Whose it is.
    pub fn config(&self) -> &BucketConfig {
        &self.terms
    }

    /// Units leased here and not yet spent; below zero: let in before the counter was told.
    pub fn unspent_lease(&self) -> f64 {
        self.held
    }

    /// Whether the counter does not answer for this customer.
    pub fn is_counter_unreachable(&self) -> bool {
        self.dark.is_some()
    }

    /// This side's part of the quota, 0 to 1.
    pub fn fraction(&self) -> f64 {
        self.side.fraction()
    }

    /// The quota is another from now on. What is left stays, as far as the store holds it.
    pub fn set_quota(&mut self, now: Time, contact: &CounterHealth, rate: f64, burst: f64) {
        self.refill(now, contact);
        self.whole = self.whole_now();
        self.whole_at = now;
        if let Some(dark) = &mut self.dark {
            dark.filled += self.terms.rate * dark.part * seconds_between(dark.at, now);
            dark.at = now;
        }
        self.terms = BucketConfig { rate, burst, ..self.terms };
    }

    /// Lets the store fill, and finds the part that it fills with.
    pub fn refill(&mut self, now: Time, contact: &CounterHealth) {
        let span = seconds_between(self.at, now);
        self.at = now;
        self.asked *= exp(-span / ASKED_SPAN);
        let gain = self.terms.rate * span * self.side.fraction() * self.ample();
        self.gained += gain;
        self.level = (self.level + gain).min(self.room());
        if self.side.is_complete() && !self.is_counter_unreachable() {
            self.deepest = 0.0;
        }
        let light = self.light(now, contact);
        self.is_just_back = light == CounterReachability::Recovering;
        let strict = self.terms.is_ceiling;
        if let Some(before) = self.side.update(now, contact.failure_detector(), light, strict, self.greedy) {
            self.turn(before);
        }
    }

    fn light(&self, now: Time, contact: &CounterHealth) -> CounterReachability {
        match self.dark {
            _ if self.terms.has_no_counter => CounterReachability::NoCounter,
            Some(_) => CounterReachability::Unreachable,
            None if contact.is_just_recovered(now) => CounterReachability::Recovering,
            None => CounterReachability::Reachable,
        }
    }

    /// What is leased here and unspent is still in the customer's store.
    fn room(&self) -> f64 {
        let lacking =
            if self.is_trusted() { SAVED_BURST_FRACTION * (1.0 - self.side.fraction()) } else { 0.0 };
        self.terms.burst * (self.side.burst_fraction() + lacking) - self.held.max(0.0)
    }

    /// This side is smaller or larger from now on: it has its part of what there is.
    fn turn(&mut self, before: f64) {
        let part = self.side.fraction();
        // Filled, and found no room: others may have taken it before.
        let mut unseen = 0.0;
        if part < before {
            unseen = (self.base + self.gained - self.level).max(0.0);
            self.level *= if self.level > 0.0 { self.side.burst_fraction() / before } else { 1.0 };
            self.known = self.known.filter(|since| self.at >= since + KNOWN);
        }
        if part > before {
            // The others' parts are taken to be as full as ours. What they took apart from a known customer
            // was their own; of others it counts, as far as it shows.
            self.rejoined = self.is_trusted();
            let times = if self.greedy { 1.0 } else { part / before.max(1e-3) };
            let level = (self.level.max(0.0) * times).min(self.room());
            self.level = match (self.rejoined, self.was_whole) {
                (true, _) => level,
                (false, true) => level.min(self.whole_now()),
                // A gateway that has just started and now hears the others: nobody was apart.
                (false, false) => self.whole_now(),
            };
        }
        self.was_whole |= self.side.is_complete();
        self.base = self.level + unseen;
        self.gained = 0.0;
    }

    /// Whether it will have filled by then, if nothing is taken from it, by an even part at the least: one that is new
    /// holds no more.
    pub fn is_full_by(&self, then: Time) -> bool {
        let BucketConfig { rate, burst, gateway_set: set, .. } = self.terms;
        let part = self.side.fraction().max(1.0 / f64::from(set.set_size));
        self.level + rate * part * seconds_between(self.at, then) >= burst * part - self.held.max(0.0) - 1e-6
    }

    fn whole_now(&self) -> f64 {
        let filled = self.whole + self.terms.rate * seconds_between(self.whole_at, self.at);
        filled.min(self.terms.burst - self.held.max(0.0))
    }

    /// Known to stay within its quota: it may be lent something while its part falls short of its traffic.
    fn is_trusted(&self) -> bool {
        let known = self.known.is_some_and(|since| self.at >= since + KNOWN);
        known && self.at >= self.wary_until && !self.terms.is_ceiling && !self.terms.has_no_counter
    }

    /// Shares are never in all one to the last digit, and of a customer who keeps to its quota they may be more.
    fn ample(&self) -> f64 {
        if self.side.is_complete() || !self.is_trusted() {
            1.0
        } else {
            1.0 + PARTITION_RATE_MARGIN
        }
    }

    /// Units below nothing to which the level may go.
    fn line(&self) -> f64 {
        if self.side.is_complete() || !self.is_trusted() {
            0.0
        } else {
            OVERDRAFT_BURST_FRACTION * self.terms.burst
        }
    }

    /// The customer asks for these units, whatever becomes of that.
    pub fn record_demand(&mut self, units: f64) {
        self.asked += units;
        let age = seconds_between(self.born, self.at).max(1.0);
        let asked = self.asked / (ASKED_SPAN * (1.0 - exp(-age / ASKED_SPAN)));
        let over = GREEDY * self.terms.rate;
        // Apart from the others, what they saw last counts no more, and a verdict stays.
        let all = asked + self.side.usage_by_others();
        self.greedy = if self.side.is_complete() { all > over } else { self.greedy || asked > over };
        if self.greedy {
            self.wary_until = self.at + REFORMS;
        }
    }

    /// Units left to lease or to lend, with what may be lent ahead.
    pub fn available(&self) -> f64 {
        self.level + self.line()
    }

    /// Units that may be spent now: leased ones, less those the store has yet to fill.
    pub fn spendable(&self) -> f64 {
        match self.dark {
            Some(_) => self.held.max(0.0) + self.available(),
            None => self.held + self.available().min(0.0),
        }
    }

    /// Units are spent. Gives those that the counter has to be told of: what was lent in the dark.
    pub fn spend(&mut self, units: f64, contact: &mut CounterHealth) -> f64 {
        let mut lent = 0.0;
        match &mut self.dark {
            None => self.held -= units,
            Some(dark) => {
                let leased = self.held.clamp(0.0, units);
                lent = units - leased;
                self.held -= leased;
                self.level -= lent;
                dark.spent += lent;
            }
        }
        if self.is_counter_unreachable() || !self.side.is_complete() {
            let before = self.deepest;
            self.deepest = before.max(-self.level);
            contact.record_local_grant(units, before, self.deepest);
        }
        lent
    }

    /// Units were not spent after all, or more of them were (below zero). Gives those of which the counter need
    /// not be told any more.
    pub fn refund(&mut self, units: f64) -> f64 {
        let Some(dark) = &mut self.dark else {
            self.held += units;
            return 0.0;
        };
        self.level += units;
        dark.spent -= units;
        units
    }

    /// The counter is away.
    pub fn set_counter_unreachable(&mut self, now: Time, contact: &CounterHealth) {
        self.refill(now, contact);
        if self.dark.is_none() {
            let own = self.is_just_back;
            let filled = if own { self.level } else { self.base + self.gained };
            self.dark = Some(Dark { filled, part: self.side.fraction(), at: now, spent: 0.0, own });
            self.refill(now, contact);
        }
    }

    /// The counter answers a rationed customer.
    pub fn set_counter_reachable(&mut self) {
        self.dark = None;
    }

    /// When the latest total came.
    pub fn last_total_at(&self) -> Time {
        self.seen.map_or(0, |seen| seen.at)
    }

    /// Takes in a total of this epoch, which began then, and what it tells; `marks` are those of the number.
    pub fn record_total(
        &mut self,
        now: Time,
        contact: &CounterHealth,
        epoch: CounterEpoch,
        told: &AddOutcome,
        marks: Option<MarkScheme>,
    ) {
        self.refill(now, contact);
        self.held += told.confirmed_units;
        let before = self.seen.filter(|seen| {
            seen.epoch == epoch.number && told.forgotten_units == 0.0 && seen.whole <= told.total_units
        });
        let forgotten = self.seen.filter(|_| told.forgotten_units > 0.0).map_or(0.0, |seen| {
            // What others took between the latest total and the beginning of this counter no total shows.
            self.side.usage_by_others() * seconds_between(seen.at, contact.last_reset_at().unwrap_or(now))
        });
        let growth = told.total_units - before.map_or(0.0, |seen| seen.whole) + forgotten;
        let others = (growth - told.confirmed_units).max(0.0);
        let since_epoch = self.terms.burst + self.terms.rate * seconds_between(epoch.start, now);
        let whole = self.seen.map_or(since_epoch, |_| self.whole_now()) - growth;
        self.whole = whole.clamp(-self.terms.rate, self.terms.burst);
        self.whole_at = now;
        let left = self.after(now, told.confirmed_units, others, growth, since_epoch);
        // What was sent beyond the quota took nothing from the store: no debt beyond a second's refill.
        let least = -self.terms.rate - told.confirmed_units - self.line();
        self.level = left.max(least).min(self.room());
        self.base = self.level;
        self.gained = 0.0;
        self.rejoined = false;
        let then = self.seen.and_then(|seen| seen.digits);
        let moved =
            marks.zip(then).zip(told.member_counters).map(|((marks, before), after)| (marks, before, after));
        self.side.record_usage(now, contact.failure_detector(), told.confirmed_units, others, moved);
        self.seen = Some(Seen {
            epoch: epoch.number,
            whole: told.total_units,
            digits: told.member_counters,
            at: now,
        });
        self.known = self.known.or(Some(now).filter(|_| self.side.is_complete()));
    }

    /// What a total leaves to this side.
    fn after(&mut self, now: Time, landed: f64, others: f64, growth: f64, since_epoch: f64) -> f64 {
        let left = match (self.dark.take(), self.seen) {
            (Some(dark), seen) => {
                let filled = dark.filled + self.terms.rate * dark.part * seconds_between(dark.at, now);
                // Met in the dark: the number holds what was leased since the epoch began.
                let filled = seen.map_or(filled.max(since_epoch), |_| filled);
                let left = self.after_dark(dark, filled - if dark.own { landed } else { growth });
                if !self.is_just_back {
                    self.side.assume_complete(dark.part);
                }
                left
            }
            (None, Some(seen)) => self.after_quiet(seconds_between(seen.at, now), landed, others),
            // Met for the first time: likewise.
            (None, None) if self.terms.is_ceiling => {
                (since_epoch - self.terms.burst) * self.side.fraction() - growth
            }
            (None, None) => (since_epoch - growth) * self.side.burst_fraction(),
        };
        // Whoever may still lend has its own part; what was leased since is gone all the same.
        if self.is_just_back {
            left.min(self.whole)
        } else {
            left
        }
    }

    /// What is left so many seconds after the latest total. What others took beyond their usual use is set
    /// against a store that has filled since, and not against what overflowed: a customer's spell that began at
    /// another gateway goes on here.
    fn after_quiet(&self, span: f64, landed: f64, others: f64) -> f64 {
        let usual = self.side.usage_by_others() * span + SUDDEN * self.terms.rate;
        let sudden = if self.rejoined { 0.0 } else { (others - usual).max(0.0) };
        let taken = landed + if self.rejoined || self.is_just_back { 0.0 } else { others };
        let filled = self.base + self.gained - taken + sudden;
        let left = filled.min(self.terms.burst * self.side.fraction()) - sudden;
        // What overflowed others may have taken before: of a ceiling it is not there for what is leased here now.
        if self.terms.is_ceiling {
            left.min(self.level - landed)
        } else {
            left
        }
    }

    /// The counter answers again, and leaves so much by its total. Nobody knows what the others lent:
    /// not more is left than was then, and than our own part has left; of a known customer the others' parts
    /// are taken to have as much.
    fn after_dark(&self, dark: Dark, left: f64) -> f64 {
        let own = self.level.max(0.0);
        let whole = if self.is_trusted() { own * dark.part / self.side.fraction().max(1e-3) } else { own };
        (left - dark.spent).min(whole)
    }
}
