//! A customer's store, as this gateway sees it through the counter. Units are leased ahead in blocks; while
//! the counter answers nobody, or hears only some of the gateways, each side lives on its part of the quota.

use crate::api::{Span, Time};
use fennelbeam_quota::bound::{LENT, SAVED};
use fennelbeam_quota::{Adder, Digits, Hearing, Light, Ration, Set, Side};
use libm::exp;

const SECOND: f64 = 1e9;
const RATE_SPAN: f64 = 4.0; // seconds that the running rates look back
const THIN: f64 = 2.0; // units: an even part of the store below this is rationed, not leased
pub(crate) const RETRY: Span = 500_000_000; // a silent counter is asked again after this
const ASKED_SPAN: f64 = 8.0; // seconds that what a customer asks for looks back
const GREEDY: f64 = 1.15; // asks for so many times its rate: gets no credit
const KNOWN: Span = 10_000_000_000; // a customer with whom the counter has been whole for this long is known

/// Whose it is, and of what kind.
#[derive(Clone, Copy, Default)]
pub(crate) struct Terms {
    pub rate: f64,
    pub burst: f64,
    pub strict: bool, // a hard ceiling
    pub alone: bool,  // there is no counter: each gateway holds its even part
    pub set: Set,
}

/// The latest total.
#[derive(Clone, Copy)]
struct Seen {
    epoch: u64,
    whole: f64,
    digits: Option<Digits>,
}

/// What there was when the counter fell silent, and when.
#[derive(Clone, Copy)]
struct Dark {
    filled: f64, // also what found no room: the next total may tell that others had taken it
    part: f64,
    at: Time,
    spent: f64,
}

/// `level`: what this side may still take (below zero: ahead of the refill); `held`: leased here and not yet
/// spent (below zero: let in before the counter was told).
#[derive(Default)]
pub(crate) struct Account {
    terms: Terms,
    pub thin: bool, // too many gateways for blocks: what is asked for is counted, and rationed
    pub held: f64,
    pub level: f64,
    at: Time,
    side: Side,
    base: f64,   // level at the latest total
    gained: f64, // filled since
    whole: f64,  // level as it would be if nobody were apart, at the latest total
    whole_at: Time,
    was_whole: bool,
    seen: Option<Seen>,
    dark: Option<Dark>, // the counter does not answer
    rejoined: bool,     // others are heard again: what they took apart from us was their own part
    adder: Adder,
    late: Adder,      // tells what was lent in the dark, under another name
    debt: f64,        // lent in the dark and not yet told
    asked_late: bool, // what stands under that name has been asked for
    asked: f64,       // units asked for here, fading
    born: Time,
    greedy: bool,
    known: Option<Time>,
    pub next_call: Time,
    pub ration: Ration,
    mine: f64, // units a second let in here
}

impl Account {
    pub fn new(now: Time, terms: Terms, epoch: u64) -> Self {
        let set = terms.set.sound();
        let terms = Terms { set, ..terms };
        let most = terms.rate * 60.0 + terms.burst;
        let thin = !terms.strict && !terms.alone && terms.burst < THIN * f64::from(set.spread);
        let adder = || Adder::new(set.member(), if thin { 0 } else { set.spread }, most, epoch);
        Account {
            thin,
            level: terms.burst,
            at: now,
            side: Side::new(now, terms.set, terms.rate),
            base: terms.burst,
            whole: terms.burst,
            whole_at: now,
            adder: adder(),
            late: adder(),
            born: now,
            ration: Ration::new(terms.rate, terms.burst),
            terms,
            ..Account::default()
        }
    }

    /// The quota is another from now on. What is left stays, as far as the store holds it. The marks keep to
    /// what the platform grants, which is never less, so that gateways that change later read the same.
    pub fn retune(&mut self, now: Time, hearing: &Hearing, rate: f64, burst: f64) {
        self.refill(now, hearing);
        (self.whole, self.whole_at) = (self.whole_now(), now);
        if let Some(dark) = &mut self.dark {
            dark.filled += self.terms.rate * dark.part * seconds(dark.at, now);
            dark.at = now;
        }
        self.terms = Terms { rate, burst, ..self.terms };
        self.ration.retune(rate, burst);
    }

    pub fn is_strict(&self) -> bool {
        self.terms.strict
    }

    pub fn is_blind(&self) -> bool {
        self.dark.is_some()
    }

    pub fn is_calling(&self) -> bool {
        self.adder.is_out()
    }

    pub fn spread(&self) -> f64 {
        f64::from(self.terms.set.spread)
    }

    /// Lets the store fill, and finds the part that it fills with.
    pub fn refill(&mut self, now: Time, hearing: &Hearing) {
        let span = seconds(self.at, now);
        self.at = now;
        self.mine *= exp(-span / RATE_SPAN);
        self.asked *= exp(-span / ASKED_SPAN);
        let gain = self.terms.rate * span * self.side.part();
        self.gained += gain;
        self.level = (self.level + gain).min(self.room());
        let light = match (self.terms.alone, self.dark) {
            (true, _) => Light::None,
            (_, Some(_)) => Light::Dark,
            _ => Light::Answers,
        };
        if let Some(before) = self.side.look(now, hearing, light, self.terms.strict, self.greedy) {
            self.turn(before);
        }
    }

    /// What is leased here and unspent is still in the customer's store.
    fn room(&self) -> f64 {
        let lacking = if self.is_trusted() { SAVED * (1.0 - self.side.part()) } else { 0.0 };
        self.terms.burst * (self.side.part() + lacking) - self.held.max(0.0)
    }

    /// This side is smaller or larger from now on: it has its part of what there is.
    fn turn(&mut self, before: f64) {
        let part = self.side.part();
        let mut unseen = 0.0; // filled and found no room, which others may have taken before
        if part < before {
            unseen = (self.base + self.gained - self.level).max(0.0);
            self.level *= if self.level > 0.0 { part / before } else { 1.0 };
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
        self.was_whole |= self.side.is_whole();
        self.base = self.level + unseen;
        self.gained = 0.0;
    }

    fn whole_now(&self) -> f64 {
        let filled = self.whole + self.terms.rate * seconds(self.whole_at, self.at);
        filled.min(self.terms.burst - self.held.max(0.0))
    }

    /// Known to stay within its quota: it may be lent something while its part falls short of its traffic.
    fn is_trusted(&self) -> bool {
        let known = self.known.is_some_and(|since| self.at >= since + KNOWN);
        known && !self.greedy && !self.terms.strict && !self.terms.alone
    }

    /// Units below nothing to which the level may go.
    fn line(&self) -> f64 {
        if self.side.is_whole() || !self.is_trusted() {
            0.0
        } else {
            LENT * self.terms.burst
        }
    }

    /// A customer asks for these units, whatever becomes of that.
    pub fn ask(&mut self, units: f64) {
        self.asked += units;
        let age = seconds(self.born, self.at).max(1.0);
        let asked = self.asked / (ASKED_SPAN * (1.0 - exp(-age / ASKED_SPAN)));
        let over = GREEDY * self.terms.rate;
        // Apart from the others, what they saw last counts no more, and a verdict stays.
        let all = asked + self.side.others();
        self.greedy = if self.side.is_whole() { all > over } else { self.greedy || asked > over };
    }

    /// Units that may be spent now: leased ones, less those the store has yet to fill.
    pub fn ready(&self) -> f64 {
        match self.dark {
            Some(_) => self.held.max(0.0) + self.level + self.line(),
            None => self.held + (self.level + self.line()).min(0.0),
        }
    }

    /// Whether there is anything to lease for a request.
    pub fn has_room(&self, units: f64, back: f64) -> bool {
        let left = self.level + self.line();
        let enough = back == 0.0 || self.held + left - units >= back * self.terms.burst * self.side.part();
        self.held < units && (self.is_blind() || left >= 0.5 * units.min(self.terms.burst) && enough)
    }

    /// Whether units can be spent now, with a part of the store kept back.
    pub fn covers(&self, units: f64, back: f64) -> bool {
        let left = self.held.max(0.0) + self.level + self.line();
        let kept = back > 0.0 && left - units < back * self.terms.burst * self.side.part();
        !kept && self.ready() + 1e-6 >= units
    }

    pub fn spend(&mut self, units: f64) {
        self.mine += units / RATE_SPAN;
        match &mut self.dark {
            None => self.held -= units,
            Some(dark) => {
                let leased = self.held.clamp(0.0, units);
                self.held -= leased;
                self.level -= units - leased;
                self.debt += units - leased;
                dark.spent += units - leased;
            }
        }
    }

    /// Units were not spent after all, or more of them were (below zero).
    pub fn give_back(&mut self, units: f64) {
        match &mut self.dark {
            None => self.held += units,
            Some(dark) => {
                self.level += units;
                self.debt -= units;
                dark.spent -= units;
            }
        }
    }

    /// No answer: go by what this gateway's share of the traffic was.
    pub fn silent(&mut self, now: Time, hearing: &Hearing, may_count: bool) {
        self.adder.unanswered(may_count && !self.thin);
        self.next_call = now + RETRY;
        self.go_dark(now, hearing);
    }

    /// The counter is away. A call that is out may still be answered.
    pub fn go_dark(&mut self, now: Time, hearing: &Hearing) {
        self.refill(now, hearing);
        if self.dark.is_none() {
            let filled = self.base + self.gained;
            self.dark = Some(Dark { filled, part: self.side.part(), at: now, spent: 0.0 });
            self.refill(now, hearing);
        }
    }

    /// A call to the counter for what waits, and recent demand over the horizon as far as there is room: its
    /// amount. In the dark it only asks whether there is light.
    pub fn call(&mut self, epoch: u64, wanted: f64, horizon: f64) -> f64 {
        if self.is_blind() {
            return self.adder.call(epoch, 0.0);
        }
        let need = (wanted - self.held).max(0.0);
        let room = (self.level + self.line() - need).max(0.0) * 2.0 / self.spread();
        self.adder.call(epoch, need + (self.mine * horizon).min(room))
    }

    /// A call of a rationed customer: what was asked for.
    pub fn call_for(&mut self, epoch: u64, units: f64) -> f64 {
        self.adder.call(epoch, units)
    }

    /// Takes in a total of a rationed customer: the share of what is asked for that its quota covers.
    pub fn rationed(&mut self, now: Time, epoch: (u64, Time), total: f64) -> f64 {
        self.dark = None;
        let amount = self.adder.answered(epoch.0, total).landed;
        self.ration.counted(now, epoch, total, amount)
    }

    /// Takes in a total.
    pub fn counted(&mut self, now: Time, hearing: &Hearing, epoch: (u64, Time), total: f64) {
        self.refill(now, hearing);
        let told = self.adder.answered(epoch.0, total);
        // What a new counter has forgotten is told it again, beside what is leased from now on.
        self.debt += told.lost;
        self.held += told.landed;
        let before =
            self.seen.filter(|seen| seen.epoch == epoch.0 && told.lost == 0.0 && seen.whole <= told.whole);
        let growth = told.whole - before.map_or(0.0, |seen| seen.whole);
        let others = (growth - told.landed).max(0.0);
        let taken = told.landed + if self.rejoined { 0.0 } else { others };
        let since_epoch = self.terms.burst + self.terms.rate * seconds(epoch.1, now);
        let whole = self.seen.map_or(since_epoch, |_| self.whole_now()) - growth;
        (self.whole, self.whole_at) = (whole.clamp(-self.terms.rate, self.terms.burst), now);
        let left = match (self.dark.take(), self.seen) {
            (Some(dark), seen) => {
                let filled = dark.filled + self.terms.rate * dark.part * seconds(dark.at, now);
                // Met in the dark: the number holds what was leased since the epoch began.
                let filled = seen.map_or(filled.max(since_epoch), |_| filled);
                let left = self.after_dark(dark, filled - growth);
                self.side.lit(dark.part);
                left
            }
            (None, Some(_)) => self.base + self.gained - taken,
            // Met for the first time: likewise.
            (None, None) if self.terms.strict => (since_epoch - self.terms.burst) * self.side.part() - growth,
            (None, None) => (since_epoch - growth) * self.side.part(),
        };
        // What was sent beyond the quota took nothing from the store: no debt beyond a second's refill.
        let least = -self.terms.rate - told.landed - self.line();
        self.level = left.max(least).min(self.room());
        (self.base, self.gained, self.rejoined) = (self.level, 0.0, false);
        let then = self.seen.and_then(|seen| seen.digits);
        let marks =
            self.adder.marks().zip(then).zip(told.digits).map(|((m, before), after)| (m, before, after));
        self.side.saw(now, told.landed, others, marks);
        self.seen = Some(Seen { epoch: epoch.0, whole: told.whole, digits: told.digits });
        self.known = self.known.or(Some(now).filter(|_| self.side.is_whole()));
        self.next_call = now;
    }

    /// The counter answers again, and leaves so much by its total. Nobody knows what the others lent:
    /// not more is left than was then, and than our own part has left; of a known customer the others' parts
    /// are taken to have as much.
    fn after_dark(&self, dark: Dark, left: f64) -> f64 {
        let own = self.level.max(0.0);
        let whole = if self.is_trusted() { own * dark.part / self.side.part().max(1e-3) } else { own };
        (left - dark.spent).min(whole)
    }

    /// Lent in the dark, or forgotten by a new counter, and not yet told.
    pub fn owes(&self) -> bool {
        !self.thin && (self.debt >= 0.5 || self.late.doubt() > 0.0) && !self.late.is_out()
    }

    /// A call that tells it: its amount. The first only reads, lest one without an answer be told again.
    pub fn tell(&mut self, epoch: u64) -> f64 {
        let units = if self.asked_late || self.late.will_prove() { self.debt } else { 0.0 };
        self.late.call(epoch, units)
    }

    /// It got this total; `None`: no answer, and it may have counted or not.
    pub fn was_told(&mut self, epoch: u64, total: Option<f64>, may_count: bool) {
        match total {
            Some(total) => {
                self.asked_late = true;
                let told = self.late.answered(epoch, total);
                self.debt += told.lost - told.landed;
            }
            None => self.late.unanswered(may_count),
        }
    }
}

fn seconds(from: Time, to: Time) -> f64 {
    to.saturating_sub(from) as f64 / SECOND
}
