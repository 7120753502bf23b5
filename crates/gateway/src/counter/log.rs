//! What the log says of the shared counter: a line for each change that lasts, how much rests on this gateway's
//! word meanwhile, and how far quotas may be overrun by then. Never a line for a request.

use crate::telemetry::debounced_state::Lasting;
use policy::api::Settings;
use quota::bound::{max_overshoot, Failure, Quota};
use quota::{CounterReport, CounterState, LocalGrants};
use runtime::{Span, Time};
use std::fmt;

const SECOND: Span = 1_000_000_000;
/// A trouble that goes on is spoken of again after this, then after twice as long each time.
const AGAIN: Span = 10 * SECOND;
/// And at the latest after so long.
const AGAIN_AT_MOST: Span = 600 * SECOND;

/// A line.
#[derive(Debug, PartialEq)]
pub(crate) enum Line {
    /// For the information of those who read.
    Info(String),
    /// For those who watch.
    Warn(String),
}

impl Line {
    /// Writes it.
    pub fn log(&self) {
        match self {
            Line::Info(text) => tracing::info!("{text}"),
            Line::Warn(text) => tracing::warn!("{text}"),
        }
    }
}

/// What was told, and when.
pub(crate) struct CounterLog {
    state: Lasting<CounterState>,
    /// Since when the counter has been in doubt, as far as it was told.
    trouble: Option<Trouble>,
    replaced: u32,
    plans: Vec<(String, Quota)>,
}

#[derive(Clone, Copy)]
struct Trouble {
    state: CounterState,
    since: Time,
    told: Time,
    again: Span,
}

impl CounterLog {
    /// Of a gateway that starts now.
    pub fn new(now: Time, plans: Vec<(String, Quota)>) -> CounterLog {
        CounterLog { state: Lasting::new(CounterState::Unused, now), trouble: None, replaced: 0, plans }
    }

    /// Whether it is time to look.
    pub fn is_due(&self, now: Time) -> bool {
        self.state.is_due(now)
    }

    /// Looks: the lines to be written.
    pub fn look(&mut self, now: Time, report: &CounterReport) -> Vec<Line> {
        let mut lines = Vec::new();
        if report.counter_resets > self.replaced {
            self.replaced = report.counter_resets;
            lines.push(Line::Warn(format!(
                "counter replaced: it has begun anew (time {} since the start); gateways tell it what it has forgotten",
                report.counter_resets
            )));
        }
        match self.state.look(now, report.state) {
            Some(state) if state.is_degraded() => {
                let since = self.trouble.map_or(now, |trouble| trouble.since);
                self.trouble = Some(Trouble { state, since, told: now, again: AGAIN });
                lines.push(Line::Warn(format!("counter {state}")));
            }
            Some(state) => {
                let before =
                    self.trouble.take().map(|trouble| self.account(now, &trouble, &report.local_grants));
                let before = before.map_or(String::new(), |account| format!("; {account}"));
                lines.push(Line::Info(format!("counter {state}{before}")));
            }
            None => lines.extend(self.remind(now, &report.local_grants)),
        }
        lines
    }

    /// Whether nothing is in doubt, nor about to be told: what was lent counts from here on.
    pub fn is_calm(&self, report: &CounterReport) -> bool {
        self.trouble.is_none() && !report.state.is_degraded()
    }

    fn remind(&mut self, now: Time, lent: &LocalGrants) -> Option<Line> {
        let mut trouble = self.trouble.filter(|trouble| now >= trouble.told.saturating_add(trouble.again))?;
        trouble.told = now;
        trouble.again = (2 * trouble.again).min(AGAIN_AT_MOST);
        self.trouble = Some(trouble);
        let name = if trouble.state == CounterState::Unreachable { "away" } else { "apart" };
        Some(Line::Warn(format!("counter still {name}; {}", self.account(now, &trouble, lent))))
    }

    /// What a trouble came to up to now.
    fn account(&self, now: Time, trouble: &Trouble, lent: &LocalGrants) -> Account<'_> {
        let failure = |quota: &Quota| {
            let (span_s, answers) =
                ((now - trouble.since) as f64 / SECOND as f64, trouble.state != CounterState::Unreachable);
            Failure {
                duration_s: span_s,
                partitions: quota.set_size,
                counter_answers: answers,
                counter_resets: 0,
            }
        };
        let stated = self
            .plans
            .iter()
            .map(|(name, quota)| (&**name, max_overshoot(quota, &failure(quota), true).ceil()));
        Account { span_s: (now - trouble.since) / SECOND, lent: *lent, stated: stated.collect() }
    }
}

/// What a trouble came to, in words.
struct Account<'a> {
    span_s: u64,
    lent: LocalGrants,
    stated: Vec<(&'a str, f64)>,
}

impl fmt::Display for Account<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LocalGrants { units, overshoot_units: beyond, max_customer_overshoot: most } = self.lent;
        let Account { span_s, stated, .. } = self;
        write!(
            f,
            "in {span_s} s this gateway let in {units:.0} units on its own word, {beyond:.0} of them beyond its parts \
             of the quotas, {most:.0} of one customer"
        )?;
        let all: Vec<String> =
            stated.iter().map(|(name, most)| format!("{most:.0} units of plan {name}")).collect();
        match all.is_empty() {
            true => Ok(()),
            false => write!(f, ". No customer gets more beyond its quota than {}", all.join(" or ")),
        }
    }
}

/// The quotas of a site's plans, as far as they have one.
pub(crate) fn quotas(settings: &Settings, names: &[String], most_units: f64) -> Vec<(String, Quota)> {
    let plans = names.iter().zip(&settings.plans).filter(|(_, plan)| plan.rate > 0.0);
    let quota = |rate, burst| Quota {
        rate,
        burst,
        set_size: settings.gateways.max(1),
        max_request_units: most_units,
    };
    plans.map(|(name, plan)| (name.clone(), quota(plan.rate, plan.burst))).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    const AWAY: CounterState = CounterState::Unreachable;
    const WHOLE: CounterState = CounterState::Complete;

    fn report(state: CounterState, replaced: u32, beyond: f64) -> CounterReport {
        CounterReport {
            state,
            counter_resets: replaced,
            local_grants: LocalGrants {
                units: 10.0 * beyond,
                overshoot_units: beyond,
                max_customer_overshoot: beyond / 2.0,
            },
        }
    }

    fn log() -> CounterLog {
        let quota = Quota { rate: 30.0, burst: 60.0, set_size: 3, max_request_units: 6.0 };
        CounterLog::new(0, vec![("premium".into(), quota)])
    }

    /// What is said when the counter looks like this at one look after the other, 4 s apart.
    fn said(log: &mut CounterLog, looks: &[CounterState]) -> Vec<(u64, Line)> {
        let mut lines = Vec::new();
        for (state, look) in looks.iter().zip(1..) {
            let at = 4 * look;
            let new = log.look(at * SECOND, &report(*state, 0, at as f64));
            lines.extend(new.into_iter().map(|line| (at, line)));
        }
        lines
    }

    #[test]
    fn a_trouble_is_told_again_ever_more_seldom_with_what_it_came_to() {
        let mut looks = vec![WHOLE, WHOLE];
        looks.extend([AWAY; 30]);
        looks.extend([WHOLE; 2]);
        let lines = said(&mut log(), &looks);
        let at: Vec<u64> = lines.iter().map(|(at, _)| *at).collect();
        // 16 s: told. Then after 10, 20, 40 and 80 s, each at the next look; whole at 136 s.
        assert_eq!(at, [8, 16, 28, 48, 88, 136]);
        let last = match &lines[5].1 {
            Line::Info(text) => text,
            Line::Warn(text) => panic!("{text}"),
        };
        let words =
            "; in 120 s this gateway let in 1360 units on its own word, 136 of them beyond its parts of the \
                     quotas, 68 of one customer. No customer gets more beyond its quota than ";
        assert!(last.contains(words), "{last}");
        assert!(last.ends_with(" units of plan premium"), "{last}");
    }

    #[test]
    fn the_operators_page_shows_these_lines() {
        let page = include_str!("../../../../docs/counter-failures.md");
        let plan = |name: &str, rate, burst| {
            (name.into(), Quota { rate, burst, set_size: 3, max_request_units: 6.0 })
        };
        let mut log = CounterLog::new(0, vec![plan("standard", 4.0, 20.0), plan("premium", 30.0, 60.0)]);
        let report = |state, replaced, units| CounterReport {
            state,
            counter_resets: replaced,
            local_grants: LocalGrants { units, overshoot_units: 31.0, max_customer_overshoot: 12.0 },
        };
        let mut lines = Vec::new();
        for (at, state, replaced, units) in [
            (4, AWAY, 0, 0.0),
            (8, AWAY, 0, 0.0),
            (48, AWAY, 0, 812.0),
            (124, WHOLE, 0, 2430.0),
            (132, WHOLE, 0, 2430.0),
            (136, WHOLE, 1, 0.0),
        ] {
            lines.extend(log.look(at * SECOND, &report(state, replaced, units)));
        }
        assert_eq!(lines.len(), 5, "{lines:?}");
        // The reminder after two minutes is like the one after 40 s.
        lines.remove(2);
        for line in lines {
            let text = match line {
                Line::Info(text) => format!("\nINFO {text}\n"),
                Line::Warn(text) => format!("\nWARN {text}\n"),
            };
            assert!(page.contains(&text), "the page lacks: {text}");
        }
    }

    #[test]
    fn what_is_stated_grows_with_the_trouble() {
        let mut log = log();
        let lines = said(&mut log, &[AWAY; 20]);
        let stated = |line: &Line| {
            let Line::Warn(text) = line else { panic!("{line:?}") };
            let (_, after) = text.split_once("than ").expect("a bound");
            after.split(' ').next().and_then(|units| units.parse::<f64>().ok()).expect("units")
        };
        let all: Vec<f64> = lines[1..].iter().map(|(_, line)| stated(line)).collect();
        assert!(all.len() >= 2 && all.windows(2).all(|two| two[0] < two[1]), "{all:?}");
    }

    #[test]
    fn a_replaced_counter_is_told_once_each_time() {
        let mut log = log();
        let mut lines = |replaced, at| log.look(at * SECOND, &report(WHOLE, replaced, 0.0)).len();
        assert_eq!([lines(0, 4), lines(1, 8), lines(1, 12), lines(3, 16), lines(3, 20)], [0, 2, 0, 1, 0]);
    }

    #[test]
    fn what_was_lent_counts_from_the_last_calm_look() {
        let mut log = log();
        assert!(log.is_calm(&report(WHOLE, 0, 0.0)));
        assert!(!log.is_calm(&report(AWAY, 0, 0.0)), "about to be told");
        said(&mut log, &[AWAY, AWAY]);
        assert!(!log.is_calm(&report(WHOLE, 0, 0.0)), "not yet told that it is whole");
    }
}
