//! Scales a scenario to a site of another size.

use crate::scenario::{CounterSpec, Event, LinkEnd, Scenario, Selector};

/// Gateway sets of customers are not scaled below this size: customers with fewer gateways behave differently.
const MIN_GATEWAY_SET: u32 = 3;
/// Calls per second of a counter shard are not scaled below this: a shard that takes more than 10 ms per call
/// rejects none, but lets all of them time out.
const MIN_SHARD_CALLS_PER_S: f64 = 100.0;

impl Scenario {
    /// Scales the scenario to this number of gateways, at least 1. The numbers of hosts and requests, the counter's
    /// call rate, the sizes of customers' gateway sets and the machine counts in events are scaled in proportion.
    /// Shares and the properties of a single gateway, host or customer stay the same. Gateway sets are not scaled
    /// below three gateways (or their original size if that is smaller), nor above the number of gateways. The
    /// number of counter shards is scaled in proportion, to at least one; the rate of a shard is not scaled below
    /// 100 calls per second (or its original rate if that is lower), and the time to work off a full queue stays the
    /// same.
    ///
    /// Machines that events refer to by number keep their numbers; the file parser reports those that no longer
    /// exist.
    pub fn with_gateways(mut self, gateways: u32) -> Scenario {
        let gateways = gateways.max(1);
        let factor = f64::from(gateways) / f64::from(self.site.gateways.max(1));
        let scaled = |count: u32| (libm::round(f64::from(count) * factor) as u32).max(1);
        let site = &mut self.site;
        site.gateways = gateways;
        site.hosts = scaled(site.hosts);
        resize_counter(&mut site.counter, factor);
        for plan in &mut site.plans {
            let min = plan.spread.min(MIN_GATEWAY_SET);
            plan.spread = scaled(plan.spread).max(min).min(gateways);
        }
        self.traffic.rate *= factor;
        for timed in &mut self.events {
            if let Event::AddHosts(count) = &mut timed.event {
                *count = scaled(*count);
            }
            for which in selections(&mut timed.event) {
                if let Selector::Count(count) = which {
                    *count = scaled(*count);
                }
            }
        }
        self
    }
}

fn resize_counter(counter: &mut CounterSpec, factor: f64) {
    let old_shard_rate = counter.calls_per_s / f64::from(counter.shards.max(1));
    let shards = libm::round(f64::from(counter.shards) * factor).max(1.0);
    let shard_rate = (counter.calls_per_s * factor / shards).max(old_shard_rate.min(MIN_SHARD_CALLS_PER_S));
    counter.shards = shards as u32;
    counter.calls_per_s = shard_rate * shards;
    let queue = libm::round(f64::from(counter.queue) * shard_rate / old_shard_rate);
    counter.queue = (queue as u32).max(counter.queue.min(1));
}

/// The machine selections of an event; for events on links, those at both ends.
fn selections(event: &mut Event) -> Vec<&mut Selector> {
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
    fn counts_are_scaled_with_the_gateways_and_the_rest_stays_the_same() {
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
        let counter = |scenario: &Scenario| {
            let CounterSpec { shards: parts, calls_per_s, queue, .. } = scenario.site.counter;
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
