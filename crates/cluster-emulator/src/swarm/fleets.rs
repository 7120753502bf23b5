//! Random fleets: more gateways than a random site has, thin traffic, and links, processes and buildings that fail.

use super::{cut, event, is_about_the_counter, random_events, share, some, span, times};
use cluster_model::rng::Rng;
use cluster_model::scenario::{Event, LinkDirection, LinkEnd, LinkFault, Scenario, ScheduledEvent, Selector};
use cluster_model::{Span, MS, SECOND};

/// Gateways, from and to.
const GATEWAYS: (u64, u64) = (3, 30);
/// Of two faults one may begin so much after another, before anybody has noticed that one.
const AT_ONCE: Span = MS;

/// The random fleet with this number.
pub fn random_fleet(number: u64) -> Scenario {
    let mut rng = Rng::stream(number, "fleet", 0);
    let mut scenario = Scenario { name: format!("fleet-{number}"), ..Scenario::default() };
    scenario.title = format!("Random fleet {number}");
    scenario.length = (9 + rng.below(5)) * SECOND;
    let site = &mut scenario.site;
    // Small ones more often: what goes wrong there is understood sooner.
    let most = GATEWAYS.0 + rng.below(GATEWAYS.1 - GATEWAYS.0 + 1);
    site.gateways = (GATEWAYS.0 + rng.below(most - GATEWAYS.0 + 1)) as u32;
    site.hosts = 4 + rng.below(9) as u32;
    site.buildings = 1 + rng.below(4) as u32;
    site.host.warmup_share = share(&mut rng, 21, 39);
    site.host.warmup = span(&mut rng, 5.2, 17.0);
    site.counter.enabled = rng.chance(0.9);
    site.counter.building = 1 + rng.below(u64::from(site.buildings)) as u32;
    site.hedging = rng.chance(0.5);
    site.retry_after = rng.chance(0.5).then_some(SECOND);
    site.max_attempts = 2 + rng.below(3) as u32;
    let traffic = &mut scenario.traffic;
    traffic.rate = 20.0 + rng.below(60) as f64;
    traffic.retries = rng.below(2) as u32;
    traffic.front_detection_delay = span(&mut rng, 0.8, 3.0);
    scenario.events = random_events(&mut rng, &scenario, fault);
    at_once(&mut rng, &mut scenario);
    // A counter that fails is there.
    scenario.site.counter.enabled |= scenario.events.iter().any(|timed| is_about_the_counter(&timed.event));
    scenario
}

/// Now and then a fault begins within a millisecond of another.
fn at_once(rng: &mut Rng, scenario: &mut Scenario) {
    if rng.chance(0.4) {
        let nth = rng.below(scenario.events.len() as u64) as usize;
        let at = scenario.events[nth].at + rng.below(AT_ONCE);
        let event = fault(rng, scenario);
        scenario.events.push(ScheduledEvent { at, trigger: None, line: 0, event });
        scenario.events.sort_by_key(|timed| timed.at);
    }
}

fn fault(rng: &mut Rng, scenario: &Scenario) -> Event {
    let site = &scenario.site;
    let building = 1 + rng.below(u64::from(site.buildings)) as u32;
    match rng.below(11) {
        0..=2 => event(rng, scenario),
        3..=5 => links(rng),
        6 => Event::SuspendGateways(some(rng), span(rng, 0.1, 5.0)),
        7 => Event::SlowGateways(some(rng), times(rng, 20, 60), span(rng, 1.0, 5.0)),
        8 => Event::PowerLoss(building, span(rng, 1.0, 5.0)),
        9 => Event::IsolateBuilding(building, span(rng, 0.5, 5.0)),
        _ => cut(rng, site.gateways, site.hosts, site.buildings),
    }
}

fn links(rng: &mut Rng) -> Event {
    let gateways = if rng.chance(0.3) { Selector::All } else { some(rng) };
    let end = match rng.below(5) {
        0 => LinkEnd::Clients,
        1 => LinkEnd::Discovery,
        2 => LinkEnd::Counter,
        3 => LinkEnd::Hosts(Selector::All),
        _ => LinkEnd::Hosts(some(rng)),
    };
    let way = [LinkDirection::Both, LinkDirection::FromInitiator, LinkDirection::ToInitiator]
        [rng.below(3) as usize];
    let from = rng.below(200) * MS;
    let fault = match rng.below(7) {
        0 | 1 => LinkFault::Hold(way),
        2 | 3 => LinkFault::Blackhole(way),
        4 => LinkFault::Delay(from, from + rng.below(300) * MS),
        5 => LinkFault::RateLimit((1 + rng.below(40)) as f64 / 2.0),
        _ if rng.chance(0.5) => return Event::Links(gateways, end, LinkFault::Reset, 0),
        _ => LinkFault::Flap((1 + rng.below(10)) * 100 * MS),
    };
    Event::Links(gateways, end, fault, span(rng, 0.3, 6.0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use cluster_model::file;
    use std::collections::BTreeSet;

    #[test]
    fn fleets_can_be_read_as_files_and_each_fault_comes_in_some() {
        let mut seen = BTreeSet::new();
        for number in 1..=300 {
            let fleet = random_fleet(number);
            let text = file::to_text(&fleet);
            let read = file::parse(&format!("{}.scenario", fleet.name), &text).unwrap();
            assert_eq!(file::to_text(&read), text);
            assert!((GATEWAYS.0..=GATEWAYS.1).contains(&u64::from(fleet.site.gateways)));
            for timed in &fleet.events {
                let word = |text: String| text.split('(').next().unwrap_or_default().to_owned();
                if let Event::Links(_, end, fault, _) = &timed.event {
                    seen.extend([word(format!("{end:?}")), word(format!("{fault:?}"))]);
                } else {
                    seen.insert(word(format!("{:?}", timed.event)));
                }
            }
        }
        let wanted = [
            "Blackhole",
            "Clients",
            "Counter",
            "Delay",
            "Discovery",
            "Flap",
            "Hold",
            "Hosts",
            "IsolateBuilding",
            "PowerLoss",
            "RateLimit",
            "Reset",
            "SlowGateways",
            "SuspendGateways",
        ];
        wanted.iter().for_each(|kind| assert!(seen.contains(*kind), "{kind}: {seen:?}"));
    }
}
