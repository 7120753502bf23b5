//! The same day at a site of another size.

use crate::scenario::{CounterSpec, Event, LinkEnd, Scenario, Selector};

/// A customer's set is not scaled below this: fewer gateways would be another kind of customer.
const LEAST_SPREAD: u32 = 3;
/// Calls a second of a part of the counter are not scaled below this: one that takes more than 10 ms for a
/// call turns nobody away, it lets all calls time out.
const LEAST_CALLS: f64 = 100.0;

impl Scenario {
    /// The same day with so many gateways, at least 1: hosts, requests, the counter's calls and customers'
    /// sets go with them, and events that count hosts or gateways too. Shares stay as they are, and so does
    /// what one gateway, host or customer is like. Sets stay at three gateways or what they were below that,
    /// and as many as there are at the most. The counter has as many parts as go with it, one at the least;
    /// each takes 100 calls a second or what it took below that, and a full line of calls takes as long as it
    /// did.
    ///
    /// Machines that events name by number keep their numbers; the reader of files tells where there is no
    /// such machine any more.
    pub fn with_gateways(mut self, gateways: u32) -> Scenario {
        let gateways = gateways.max(1);
        let times = f64::from(gateways) / f64::from(self.site.gateways.max(1));
        let scaled = |count: u32| (libm::round(f64::from(count) * times) as u32).max(1);
        let site = &mut self.site;
        site.gateways = gateways;
        site.hosts = scaled(site.hosts);
        resize_counter(&mut site.counter, times);
        for plan in &mut site.plans {
            let least = plan.spread.min(LEAST_SPREAD);
            plan.spread = scaled(plan.spread).max(least).min(gateways);
        }
        self.traffic.rate *= times;
        for timed in &mut self.events {
            if let Event::AddHosts(count) = &mut timed.event {
                *count = scaled(*count);
            }
            for which in whiches(&mut timed.event) {
                if let Selector::Count(count) = which {
                    *count = scaled(*count);
                }
            }
        }
        self
    }
}

fn resize_counter(counter: &mut CounterSpec, times: f64) {
    let before = counter.calls_per_s / f64::from(counter.shards.max(1));
    let parts = libm::round(f64::from(counter.shards) * times).max(1.0);
    let each = (counter.calls_per_s * times / parts).max(before.min(LEAST_CALLS));
    counter.shards = parts as u32;
    counter.calls_per_s = each * parts;
    let queue = libm::round(f64::from(counter.queue) * each / before);
    counter.queue = (queue as u32).max(counter.queue.min(1));
}

/// The machines that an event hits, where it hits some; of links, those at both ends.
fn whiches(event: &mut Event) -> Vec<&mut Selector> {
    match event {
        Event::Links(gateways, LinkEnd::Hosts(hosts), ..) => vec![gateways, hosts],
        Event::Links(which, ..)
        | Event::SuspendGateways(which, _)
        | Event::FreezeGateways(which, _)
        | Event::ClockOffset(which, _)
        | Event::SlowGateways(which, _, _)
        | Event::KillGateways(which, _)
        | Event::RestartGateways(which, _)
        | Event::ReloadGateways(which)
        | Event::SlowHosts(which, _, _)
        | Event::PauseHosts(which, _)
        | Event::SuspendHosts(which, _)
        | Event::DrainHosts(which, _, _)
        | Event::KillHosts(which, _)
        | Event::RestartHosts(which)
        | Event::ReplaceHosts(which, _)
        | Event::RequestFaults(_, _, which, _)
        | Event::StaleConnections(_, which, _) => vec![which],
        _ => Vec::new(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::{LinkFault, ScheduledEvent, Site};

    #[test]
    fn what_counts_goes_with_the_gateways_and_the_rest_stays() {
        let mut site = Site { gateways: 300, hosts: 150, ..Site::default() };
        site.counter = CounterSpec { shards: 3, calls_per_s: 3000.0, queue: 20, ..CounterSpec::default() };
        (site.plans[0].spread, site.plans[1].spread) = (3, 100);
        let timed = |event| ScheduledEvent { at: 0, trigger: None, event, line: 1 };
        let events = vec![
            timed(Event::AddHosts(15)),
            timed(Event::PauseHosts(Selector::Count(10), 1)),
            timed(Event::ReloadGateways(Selector::Share(0.1))),
            timed(Event::Links(
                Selector::Count(50),
                LinkEnd::Hosts(Selector::Count(10)),
                LinkFault::Reset,
                0,
            )),
        ];
        let scenario = Scenario { site, events, ..Scenario::default() };
        let small = scenario.clone().with_gateways(60);
        assert_eq!((small.site.gateways, small.site.hosts, small.traffic.rate), (60, 30, 26.0));
        let counter = |day: &Scenario| {
            let CounterSpec { shards: parts, calls_per_s, queue, .. } = day.site.counter;
            (parts, calls_per_s, queue)
        };
        assert_eq!(counter(&small), (1, 600.0, 12));
        assert_eq!(counter(&scenario.clone().with_gateways(300)), (3, 3000.0, 20));
        assert_eq!(counter(&scenario.clone().with_gateways(3)), (1, 100.0, 2));
        assert_eq!(small.site.plans.iter().map(|plan| plan.spread).collect::<Vec<_>>(), [3, 20]);
        assert_eq!(small.events[0].event, Event::AddHosts(3));
        assert_eq!(small.events[1].event, Event::PauseHosts(Selector::Count(2), 1));
        assert_eq!(small.events[2].event, scenario.events[2].event);
        let links =
            Event::Links(Selector::Count(10), LinkEnd::Hosts(Selector::Count(2)), LinkFault::Reset, 0);
        assert_eq!(small.events[3].event, links);
        assert_eq!(small.site.host, scenario.site.host);
        let smallest = scenario.with_gateways(2);
        assert_eq!(smallest.site.plans.iter().map(|plan| plan.spread).collect::<Vec<_>>(), [2, 2]);
        assert_eq!(
            (smallest.site.hosts, &smallest.events[1].event),
            (1, &Event::PauseHosts(Selector::Count(1), 1))
        );
    }
}
