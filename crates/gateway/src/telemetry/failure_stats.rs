//! Requests that were not answered within their aim, and why: a line for each at a bounded rate, and each minute what
//! all of them were worth, by cause. A request is lost for one cause only, so the parts add up to the whole.

use policy::api::{HostId, Outcome, RejectReason, Span, Time};
use std::collections::BTreeMap;
use std::fmt::Write;

const MS: Span = 1_000_000;
const SECOND: Span = 1_000 * MS;
/// Lines about single requests: so many at once, and so many a second after that.
const LINES: f64 = 100.0;
const LINES_A_SECOND: f64 = 10.0;
const PERIOD: Span = 60 * SECOND;
/// Causes that a summary names; the rest are put together.
const NAMED: usize = 8;
/// A request that breaks this soon on a kept connection found it dead.
pub(crate) const AT_ONCE: Span = 10 * MS;

/// Why a request was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Cause {
    /// The module gave it up.
    GivenUp(RejectReason),
    /// Its client went away.
    Left,
    /// Its client's time was over with no answer.
    Overdue,
    /// It was answered after its aim.
    Slow,
}

impl Cause {
    /// For people; these words stand in logs and on the page `failed-requests.md`.
    pub fn words(self) -> &'static str {
        match self {
            Cause::GivenUp(RejectReason::UnknownClassOrPlan) => "class or plan unknown",
            Cause::GivenUp(RejectReason::DeadlineTooShort) => "came with too little time",
            Cause::GivenUp(RejectReason::NoHost) => "no host takes it",
            Cause::GivenUp(RejectReason::TooManyCustomers) => "too many customers at once",
            Cause::GivenUp(RejectReason::QuotaExceeded) => "beyond its quota",
            Cause::GivenUp(RejectReason::QueueTooLong) => "too many wait before it",
            Cause::GivenUp(RejectReason::QueuedTooLong) => "waited too long",
            Cause::GivenUp(RejectReason::NotIdempotent) => "may not run again",
            Cause::GivenUp(RejectReason::TooLateForRetry) => "too late for a further attempt",
            Cause::GivenUp(RejectReason::RetriesExhausted) => "no further attempt left",
            Cause::GivenUp(RejectReason::LoadShed) => "refused by the plan for lost hosts",
            Cause::Left => "client left",
            Cause::Overdue => "client's time over",
            Cause::Slow => "answered too late",
        }
    }
}

/// How an attempt ended, as far as it explains a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Tried {
    /// Where it went.
    pub host: HostId,
    /// How it ended.
    pub outcome: Outcome,
    /// After how long.
    pub took: Span,
    /// How long its connection had stood idle; zero: a new one; `None`: it never had one.
    pub stood: Option<Span>,
}

impl Tried {
    /// For people.
    pub fn words(&self) -> &'static str {
        let kept = self.stood.is_some_and(|stood| stood > 0);
        match self.outcome {
            Outcome::Ok => "answered",
            Outcome::Error => "error",
            Outcome::Rejected => "turned away",
            Outcome::Timeout => "no answer",
            Outcome::ConnectFailed => "no connection",
            Outcome::ConnectionReset if kept && self.took < AT_ONCE => "dead connection",
            Outcome::ConnectionReset => "reset",
            Outcome::Cancelled => "withdrawn",
            Outcome::NotSent => "not sent",
        }
    }
}

/// Attempts in one line: where, on what connection, how it ended and after how long.
pub(crate) fn line<'a>(tried: &[Tried], name: impl Fn(HostId) -> &'a str) -> String {
    let mut text = String::new();
    for one in tried {
        let gap = if text.is_empty() { "" } else { "; " };
        let on = match one.stood {
            None => "no connection".to_owned(),
            Some(0) => "new connection".to_owned(),
            Some(stood) => format!("connection idle for {} ms", stood / MS),
        };
        let _ = write!(text, "{gap}{}: {on}, {} after {} ms", name(one.host), one.words(), one.took / MS);
    }
    text
}

/// What was lost in this period.
#[derive(Debug)]
pub(crate) struct Losses {
    begun: Time,
    asked: u64,
    worth: f64,
    by: BTreeMap<(Cause, &'static str), (u64, f64)>,
    lines: f64,
    filled: Time,
    left_out: u64,
}

impl Losses {
    /// From now on.
    pub fn new(now: Time) -> Losses {
        let by = BTreeMap::new();
        Losses { begun: now, asked: 0, worth: 0.0, by, lines: LINES, filled: now, left_out: 0 }
    }

    /// A request has come in that is worth so much.
    pub fn asked(&mut self, worth: f64) {
        self.asked += 1;
        self.worth += worth;
    }

    /// One is lost, after its last attempt ended like this. `Some`: a line may be written of it, and so many were not
    /// since the last one.
    pub fn lost(&mut self, now: Time, cause: Cause, last: Option<&Tried>, worth: f64) -> Option<u64> {
        let (count, sum) = self.by.entry((cause, last.map_or("", Tried::words))).or_default();
        (*count, *sum) = (*count + 1, *sum + worth);
        let span = now.saturating_sub(std::mem::replace(&mut self.filled, now)) as f64 / SECOND as f64;
        self.lines = (self.lines + span * LINES_A_SECOND).min(LINES);
        if self.lines < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.lines -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }

    /// Whether a period is over.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.begun + PERIOD
    }

    /// What was lost in the period, the greatest part first, and a new one begins. `None`: nothing was.
    pub fn summary(&mut self, now: Time) -> Option<String> {
        let over =
            std::mem::replace(self, Losses { lines: self.lines, filled: self.filled, ..Losses::new(now) });
        self.left_out = over.left_out;
        let mut parts: Vec<_> = over.by.into_iter().collect();
        parts.sort_by(|(_, (_, a)), (_, (_, b))| b.total_cmp(a));
        let (count, worth) =
            parts.iter().fold((0, 0.0), |(n, w), (_, (count, worth))| (n + count, w + worth));
        let share = |part: f64| 100.0 * part / over.worth.max(part).max(f64::MIN_POSITIVE);
        let mut text = format!("{:.1} % of the worth, {count} of {} requests", share(worth), over.asked);
        for ((cause, last), (count, worth)) in parts.iter().take(NAMED) {
            let after = if last.is_empty() { String::new() } else { format!(" after {last}") };
            let _ = write!(text, "; {:.1} % {}{after} ({count})", share(*worth), cause.words());
        }
        let rest: f64 = parts.iter().skip(NAMED).map(|(_, (_, worth))| worth).sum();
        if rest > 0.0 {
            let _ = write!(text, "; {:.1} % for other reasons", share(rest));
        }
        (count > 0).then_some(text)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn tried(outcome: Outcome, took: Span, stood: Option<Span>) -> Tried {
        Tried { host: HostId(1), outcome, took, stood }
    }

    #[test]
    fn a_line_names_each_attempt_with_its_connection() {
        let all = [
            tried(Outcome::ConnectionReset, 3 * MS, Some(1_200 * MS)),
            tried(Outcome::ConnectionReset, 80 * MS, Some(0)),
            tried(Outcome::ConnectFailed, 20 * MS, None),
        ];
        assert_eq!(
            line(&all, |_| "s-1"),
            "s-1: connection idle for 1200 ms, dead connection after 3 ms; s-1: new connection, reset after 80 ms; \
             s-1: no connection, no connection after 20 ms"
        );
    }

    #[test]
    fn a_summary_adds_up_and_names_the_greatest_part_first() {
        let mut losses = Losses::new(0);
        (0..100).for_each(|_| losses.asked(2.0));
        let dead = tried(Outcome::ConnectionReset, MS, Some(MS));
        for (cause, last, worth) in [
            (Cause::GivenUp(RejectReason::QuotaExceeded), None, 2.0),
            (Cause::GivenUp(RejectReason::NotIdempotent), Some(&dead), 2.0),
            (Cause::GivenUp(RejectReason::NotIdempotent), Some(&dead), 2.0),
        ] {
            assert_eq!(losses.lost(1, cause, last, worth), Some(0));
        }
        assert!(!losses.is_due(PERIOD - 1) && losses.is_due(PERIOD));
        let text = losses.summary(PERIOD).unwrap();
        assert_eq!(
            text,
            "3.0 % of the worth, 3 of 100 requests; 2.0 % may not run again after dead connection (2); \
             1.0 % beyond its quota (1)"
        );
        assert_eq!(losses.summary(2 * PERIOD), None);
    }

    #[test]
    fn lines_are_bounded_and_tell_how_many_were_left_out() {
        let mut losses = Losses::new(0);
        let mut lost = |now| losses.lost(now, Cause::Slow, None, 1.0);
        let lines = (0..1_000).filter_map(|_| lost(MS)).count();
        assert_eq!(lines, LINES as usize);
        assert_eq!(lost(SECOND), Some(900));
        assert_eq!(losses.by[&(Cause::Slow, "")].0, 1_001, "all are counted");
    }
}
