//! Whether the machine was quick enough for a run to be judged.

use cluster_model::MS;
use runtime::{Span, Time};

/// Stand-ins, clients and judge share a thread. When it comes late by more than the rules allow sockets for
/// (`invariants`: 50 ms), a broken rule may be its doing: what it sees late looks like a gateway's lateness.
const MOST_LATE: Span = 50 * MS;
/// Seen late, a gateway looks worse and not better, so a run that broke nothing may be later than that. Not later than
/// this: quotas and cold hosts are judged by what came within a second or two.
const MOST_LATE_OF_ALL: Span = 250 * MS;
/// A gateway that waited for a core for more than this share of the time that it could have run cannot be judged either.
const MOST_WAITING: f64 = 0.5;

/// The worst that was seen of the machine itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lag {
    late: Span,
    /// Share of a second, and which gateway.
    waiting: (f64, u32),
    last: Option<Time>,
}

impl Lag {
    /// The thread that plays has come round once more; it means to each `beat`.
    pub fn beat(&mut self, now: Time, beat: Span) {
        let due = self.last.map_or(now, |last| last.saturating_add(beat));
        self.late = self.late.max(now.saturating_sub(due));
        self.last = Some(now);
    }

    /// A gateway has waited for a core for this share of the time that it had since it was last looked at.
    pub fn waited(&mut self, gateway: u32, share: f64) {
        if share > self.waiting.0 {
            self.waiting = (share, gateway);
        }
    }

    /// The longest that the thread that plays came late, in nanoseconds.
    pub fn late(&self) -> Span {
        self.late
    }

    /// Why the run cannot be judged, if it cannot; `broken`: a rule seems to be.
    pub fn too_slow(&self, broken: bool) -> Option<String> {
        let most = if broken { MOST_LATE } else { MOST_LATE_OF_ALL };
        if self.late > most {
            let (late, most) = (self.late / MS, most / MS);
            return Some(format!(
                "too slow to judge: stand-ins came {late} ms late, and {most} ms is the most"
            ));
        }
        let (share, gateway) = self.waiting;
        (share > MOST_WAITING).then(|| {
            let (share, gateway) = ((share * 100.0).round(), gateway + 1);
            let most = MOST_WAITING * 100.0;
            format!(
                "too slow to judge: gateway {gateway} waited for a core for {share} % of its time, and {most} % is the most"
            )
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_run_on_a_machine_that_came_late_or_gave_no_core_says_so() {
        let run = |late: Span, waited: f64, broken: bool| {
            let mut lag = Lag::default();
            lag.beat(0, 10 * MS);
            lag.beat(10 * MS + late, 10 * MS);
            lag.beat(20 * MS + late, 10 * MS);
            lag.waited(3, waited);
            lag.waited(2, 0.1);
            lag.too_slow(broken)
        };
        assert_eq!(run(MOST_LATE, MOST_WAITING, true), None);
        assert_eq!(run(MOST_LATE_OF_ALL, 0.0, false), None);
        let late = "too slow to judge: stand-ins came 51 ms late, and 50 ms is the most";
        assert_eq!(run(51 * MS, 0.0, true).as_deref(), Some(late));
        assert!(run(251 * MS, 0.0, false).is_some());
        let waited =
            "too slow to judge: gateway 4 waited for a core for 60 % of its time, and 50 % is the most";
        assert_eq!(run(0, 0.6, false).as_deref(), Some(waited));
    }
}
