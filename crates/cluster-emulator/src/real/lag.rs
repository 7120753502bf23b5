//! Decides whether the machine was fast enough for a run to be judged.

use cluster_model::MS;
use runtime::{Span, Time};

/// Most delay of the thread of fake services, clients and invariant checker in a run with violations. With a larger
/// delay than the rules allow on sockets (`invariants`: 50 ms) a violation may be caused by it, since a late
/// observation looks like a late gateway.
const MAX_LATENESS: Span = 50 * MS;
/// Most delay in a run without violations. Late observations make a gateway look worse and not better, so it may exceed
/// `MAX_LATENESS`; but quotas and warming-up hosts are judged by the traffic of one or two seconds.
const MAX_LATENESS_WITHOUT_VIOLATION: Span = 250 * MS;
/// Most share of its runnable time that a gateway may wait for a core in a run that can be judged.
const MAX_CPU_WAIT_SHARE: f64 = 0.5;

/// The largest delays caused by the machine during a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LagMonitor {
    lateness: Span,
    /// The largest share of time that a gateway waited for a core, and which gateway.
    cpu_wait: (f64, u32),
    last: Option<Time>,
}

impl LagMonitor {
    /// Records a pass of the run loop, which should come each `interval`.
    pub fn record_pass(&mut self, now: Time, interval: Span) {
        let expected = self.last.map_or(now, |last| last.saturating_add(interval));
        self.lateness = self.lateness.max(now.saturating_sub(expected));
        self.last = Some(now);
    }

    /// Records the share of time since the last call that a gateway waited for a core.
    pub fn record_cpu_wait(&mut self, gateway: u32, share: f64) {
        if share > self.cpu_wait.0 {
            self.cpu_wait = (share, gateway);
        }
    }

    /// Returns the largest delay of the run loop, in nanoseconds.
    pub fn max_lateness(&self) -> Span {
        self.lateness
    }

    /// Returns why the machine was too slow to judge the run, if it was; `has_violation`: the run has a violation.
    pub fn too_slow(&self, has_violation: bool) -> Option<String> {
        let most = if has_violation { MAX_LATENESS } else { MAX_LATENESS_WITHOUT_VIOLATION };
        if self.lateness > most {
            let (late, most) = (self.lateness / MS, most / MS);
            return Some(format!(
                "too slow to judge: fake services were {late} ms late; at most {most} ms are allowed"
            ));
        }
        let (share, gateway) = self.cpu_wait;
        (share > MAX_CPU_WAIT_SHARE).then(|| {
            let (share, gateway) = ((share * 100.0).round(), gateway + 1);
            let most = MAX_CPU_WAIT_SHARE * 100.0;
            format!(
                "too slow to judge: gateway {gateway} waited for a core for {share} % of its time; at most {most} % are allowed"
            )
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_a_late_thread_and_a_gateway_that_waited_for_a_core() {
        let run = |late: Span, waited: f64, broken: bool| {
            let mut lag = LagMonitor::default();
            lag.record_pass(0, 10 * MS);
            lag.record_pass(10 * MS + late, 10 * MS);
            lag.record_pass(20 * MS + late, 10 * MS);
            lag.record_cpu_wait(3, waited);
            lag.record_cpu_wait(2, 0.1);
            lag.too_slow(broken)
        };
        assert_eq!(run(MAX_LATENESS, MAX_CPU_WAIT_SHARE, true), None);
        assert_eq!(run(MAX_LATENESS_WITHOUT_VIOLATION, 0.0, false), None);
        let late = "too slow to judge: fake services were 51 ms late; at most 50 ms are allowed";
        assert_eq!(run(51 * MS, 0.0, true).as_deref(), Some(late));
        assert!(run(251 * MS, 0.0, false).is_some());
        let waited =
            "too slow to judge: gateway 4 waited for a core for 60 % of its time; at most 50 % are allowed";
        assert_eq!(run(0, 0.6, false).as_deref(), Some(waited));
    }
}
