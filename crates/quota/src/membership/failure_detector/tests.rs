use super::super::heartbeat_timing::HEARTBEAT_INTERVAL;
use super::*;
use std::collections::BTreeMap;

const S: Time = 1_000_000_000;

/// Gateways that send heartbeats to one counter, or to several after a partition.
struct Site {
    detectors: Vec<FailureDetector>,
    totals: Vec<BTreeMap<(u32, u64), f64>>,
    counter_of: Vec<usize>,
    now: Time,
}

impl Site {
    fn new(gateways: u32) -> Site {
        let detectors =
            (0..gateways).map(|gateway_index| FailureDetector::new(gateway_index, gateways)).collect();
        Site {
            detectors,
            totals: vec![BTreeMap::new(); 3],
            counter_of: vec![0; gateways as usize],
            now: 100 * HEARTBEAT_EPOCH,
        }
    }

    /// Advances by one interval, in which each active gateway sends a heartbeat, at times that drift.
    fn pass_interval(&mut self, is_active: impl Fn(usize) -> bool) {
        let count = self.detectors.len() as u64;
        for (index, detector) in self.detectors.iter_mut().enumerate().filter(|(index, _)| is_active(*index))
        {
            let at = self.now + HEARTBEAT_INTERVAL * index as Span / count + self.now % 37_000_000;
            for call in detector.heartbeat_calls(at) {
                let total = self.totals[self.counter_of[index]].entry((call.group, call.epoch)).or_default();
                *total += call.amount;
                detector.record_total(at, call.group, call.epoch, *total);
            }
        }
        self.now += HEARTBEAT_INTERVAL;
    }

    fn alive_counts(&self) -> Vec<u32> {
        self.detectors.iter().map(|detector| detector.count_alive(self.now).alive).collect()
    }
}

#[test]
fn all_gateways_are_alive_from_three_intervals_after_the_start_on() {
    let mut site = Site::new(3);
    assert_eq!(site.alive_counts(), [1, 1, 1]);
    (0..3).for_each(|_| site.pass_interval(|_| true));
    for _ in 0..300 {
        assert_eq!(
            site.alive_counts(),
            [3, 3, 3],
            "at interval {} of an epoch",
            site.now % HEARTBEAT_EPOCH / HEARTBEAT_INTERVAL
        );
        site.pass_interval(|_| true);
    }
}

#[test]
fn a_gateway_that_dies_or_is_partitioned_off_is_detected_within_four_intervals() {
    let mut site = Site::new(3);
    (0..5).for_each(|_| site.pass_interval(|_| true));
    (0..4).for_each(|_| site.pass_interval(|index| index != 2));
    assert_eq!(site.alive_counts()[..2], [2, 2]);
    (0..4).for_each(|_| site.pass_interval(|_| true));
    assert_eq!(site.alive_counts(), [3, 3, 3]);
    site.counter_of[0] = 1;
    site.totals[1] = site.totals[0].clone();
    (0..4).for_each(|_| site.pass_interval(|_| true));
    assert_eq!(site.alive_counts(), [1, 2, 2]);
}

#[test]
fn a_counter_reset_leaves_all_gateways_alive() {
    let mut site = Site::new(3);
    (0..10).for_each(|_| site.pass_interval(|_| true));
    site.totals[0].clear();
    for _ in 0..20 {
        site.pass_interval(|_| true);
        assert_eq!(site.alive_counts(), [3, 3, 3]);
    }
}

#[test]
fn a_heartbeat_without_an_answer_is_followed_by_a_read() {
    let mut detector = FailureDetector::new(0, 3);
    let mut heartbeat = |n: u64, answer: Option<f64>| {
        let call = detector.heartbeat_calls(HEARTBEAT_EPOCH + n * HEARTBEAT_INTERVAL)[0];
        if let Some(total) = answer {
            detector.record_total(HEARTBEAT_EPOCH + n * HEARTBEAT_INTERVAL, 0, call.epoch, total);
        }
        call.amount
    };
    assert_eq!(heartbeat(0, Some(0.0)), 0.0, "a gateway that has just started reads first");
    assert_eq!(heartbeat(1, None), 1.0);
    assert_eq!(heartbeat(2, Some(1.0)), 0.0, "the next call reads after a missing answer");
    assert_eq!(heartbeat(3, Some(2.0)), 1.0);
}

#[test]
fn a_gateway_that_restarts_continues_from_its_counter_in_the_first_total() {
    let mut site = Site::new(2);
    (0..8).for_each(|_| site.pass_interval(|_| true));
    site.detectors[1] = FailureDetector::new(1, 2);
    for _ in 0..12 {
        site.pass_interval(|_| true);
        assert_eq!(site.alive_counts()[0], 2);
    }
    assert_eq!(site.alive_counts(), [2, 2]);
}

#[test]
fn a_small_fleet_of_several_groups_watches_all_of_them() {
    let mut site = Site::new(16);
    (0..16).for_each(|_| site.pass_interval(|_| true));
    assert!(site.alive_counts().iter().all(|count| *count == 16), "{:?}", site.alive_counts());
    // A lease sets no end to the watching: in a small fleet all gateways are watched permanently.
    let set = GatewaySet { first_gateway: 0, set_size: 16, gateway_index: 0, gateways: 16 };
    site.detectors[0].watch_gateways(site.now, &set);
    assert_eq!(site.detectors[0].heartbeat_calls(site.now + 2 * WATCH_TIME).len(), 2);
}

#[test]
fn a_large_fleet_watches_only_the_gateways_of_shared_customers_and_makes_no_other_calls() {
    let mut site = Site::new(300);
    let heartbeat_calls = |site: &mut Site, has_lease: bool| {
        let mut calls = 0;
        for gateway_index in 0..300_u32 {
            if has_lease {
                let set = GatewaySet {
                    first_gateway: (gateway_index / 3) * 3,
                    set_size: 3,
                    gateway_index,
                    gateways: 300,
                };
                site.detectors[gateway_index as usize].watch_gateways(site.now, &set);
            }
            for call in site.detectors[gateway_index as usize].heartbeat_calls(site.now) {
                calls += 1;
                let total = site.totals[0].entry((call.group, call.epoch)).or_default();
                *total += call.amount;
                let total = *total;
                site.detectors[gateway_index as usize].record_total(site.now, call.group, call.epoch, total);
            }
        }
        site.now += site.detectors[0].heartbeat_interval();
        calls
    };
    assert_eq!(heartbeat_calls(&mut site, false), 0);
    assert_eq!(site.detectors[7].count_alive(site.now), AliveCount::default(), "no gateway is watched");
    let max_calls = (0..12).map(|_| heartbeat_calls(&mut site, true)).max();
    assert!(
        max_calls <= Some(600) && site.detectors[0].heartbeat_interval() >= 5 * S,
        "at most about 100 calls per second: {max_calls:?}"
    );
    for gateway_index in 0..300_u32 {
        let detector = &site.detectors[gateway_index as usize];
        assert!(
            (gateway_index / 3 * 3..gateway_index / 3 * 3 + 3)
                .all(|other| detector.is_alive(other, site.now)),
            "{gateway_index}"
        );
        let count = detector.count_alive(site.now);
        assert!(count.alive == count.gateways && count.gateways <= 8, "{gateway_index}: {count:?}");
    }
    site.now += 2 * WATCH_TIME;
    assert_eq!(heartbeat_calls(&mut site, false), 0, "no units have been leased recently");
}
