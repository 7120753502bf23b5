//! The same day at a site of another size.

use crate::scenario::{Event, Scenario, Which};

/// A customer's set is not scaled below this: fewer gateways would be another kind of customer.
const LEAST_SPREAD: u32 = 3;

impl Scenario {
    /// The same day with so many gateways, at least 1: hosts, requests, the counter's calls and customers' sets
    /// go with them, and events that count hosts or gateways too. Shares stay as they are, and so does what one
    /// gateway, host, customer or part of the counter is like. Sets stay at three gateways or what they were
    /// below that, and as many as there are at the most.
    ///
    /// Machines that events name by number keep their numbers; the reader of files tells where there is no such
    /// machine any more.
    pub fn with_gateways(mut self, gateways: u32) -> Scenario {
        let gateways = gateways.max(1);
        let times = f64::from(gateways) / f64::from(self.site.gateways.max(1));
        let scaled = |count: u32| (libm::round(f64::from(count) * times) as u32).max(1);
        let site = &mut self.site;
        site.gateways = gateways;
        site.hosts = scaled(site.hosts);
        site.counter.calls_per_s = (site.counter.calls_per_s * times).max(1.0);
        for plan in &mut site.plans {
            let least = plan.spread.min(LEAST_SPREAD);
            plan.spread = scaled(plan.spread).max(least).min(gateways);
        }
        self.traffic.rate *= times;
        for timed in &mut self.events {
            match &mut timed.event {
                Event::AddHosts(count) => *count = scaled(*count),
                event => {
                    if let Some(Which::Count(count)) = which_mut(event) {
                        *count = scaled(*count);
                    }
                }
            }
        }
        self
    }
}

/// The machines that an event hits, where it hits some.
fn which_mut(event: &mut Event) -> Option<&mut Which> {
    match event {
        Event::KillGateways(which, _)
        | Event::RestartGateways(which, _)
        | Event::ReloadGateways(which)
        | Event::SlowHosts(which, _, _)
        | Event::PauseHosts(which, _)
        | Event::DrainHosts(which, _, _)
        | Event::KillHosts(which, _)
        | Event::RestartHosts(which)
        | Event::ReplaceHosts(which, _)
        | Event::Mishaps(_, _, which, _)
        | Event::Stale(_, which, _) => Some(which),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::{Site, Timed};

    #[test]
    fn what_counts_goes_with_the_gateways_and_the_rest_stays() {
        let mut site = Site { gateways: 300, hosts: 150, ..Site::default() };
        site.counter.calls_per_s = 3000.0;
        (site.plans[0].spread, site.plans[1].spread) = (3, 100);
        let timed = |event| Timed { at: 0, event, line: 1 };
        let events = vec![
            timed(Event::AddHosts(15)),
            timed(Event::PauseHosts(Which::Count(10), 1)),
            timed(Event::ReloadGateways(Which::Share(0.1))),
        ];
        let scenario = Scenario { site, events, ..Scenario::default() };
        let small = scenario.clone().with_gateways(60);
        let sizes = (small.site.hosts, small.site.counter.calls_per_s, small.traffic.rate);
        assert_eq!((small.site.gateways, sizes), (60, (30, 600.0, 26.0)));
        assert_eq!(small.site.plans.iter().map(|plan| plan.spread).collect::<Vec<_>>(), [3, 20]);
        assert_eq!(small.events[0].event, Event::AddHosts(3));
        assert_eq!(small.events[1].event, Event::PauseHosts(Which::Count(2), 1));
        assert_eq!(small.events[2].event, scenario.events[2].event);
        assert_eq!(small.site.host, scenario.site.host);
        let smallest = scenario.with_gateways(2);
        assert_eq!(smallest.site.plans.iter().map(|plan| plan.spread).collect::<Vec<_>>(), [2, 2]);
        assert_eq!(
            (smallest.site.hosts, &smallest.events[1].event),
            (1, &Event::PauseHosts(Which::Count(1), 1))
        );
    }
}
