use super::super::heartbeat_timing::{HEARTBEAT_EPOCH, HEARTBEAT_INTERVAL};
use super::*;
use CounterReachability::{Reachable, Recovering, Unreachable};

/// Values of a member's counter in a heartbeat number.
const HEARTBEAT_BASE: f64 = 56.0;

/// Returns a set of gateways 1 and 2 in a fleet of three.
fn two_gateway_set(gateway_index: u32) -> GatewaySet {
    GatewaySet { first_gateway: 1, set_size: 2, gateway_index, gateways: 3 }.normalized()
}

/// A detector that reads heartbeats of some other gateways, from the beginning of an epoch on.
struct Heartbeats {
    detector: FailureDetector,
    total: f64,
    intervals: u64,
}

impl Heartbeats {
    fn new(gateway_index: u32) -> Heartbeats {
        Heartbeats { detector: FailureDetector::new(gateway_index, 3), total: 0.0, intervals: 0 }
    }

    /// Advances by this many intervals, each with heartbeats of these other gateways; returns the time.
    fn pass_intervals(&mut self, intervals: u64, others: &[u32]) -> Time {
        for _ in 0..intervals {
            self.intervals += 1;
            let now = HEARTBEAT_EPOCH + self.intervals * HEARTBEAT_INTERVAL;
            for call in self.detector.heartbeat_calls(now) {
                let heartbeats = others.iter().map(|other| HEARTBEAT_BASE.powi(*other as i32)).sum::<f64>();
                self.total += call.amount + heartbeats;
                self.detector.record_total(now, call.group, call.epoch, self.total);
            }
        }
        HEARTBEAT_EPOCH + self.intervals * HEARTBEAT_INTERVAL
    }
}

fn detector_with_heartbeats_of(gateway_index: u32, others: &[u32]) -> FailureDetector {
    let mut heartbeats = Heartbeats::new(gateway_index);
    heartbeats.pass_intervals(3, others);
    heartbeats.detector
}

/// Updates a view by learned fractions, and returns the previous fraction if the members have changed.
fn update_view(
    view: &mut PartitionView,
    now: Time,
    detector: &FailureDetector,
    reachability: CounterReachability,
) -> Option<f64> {
    view.update(&ViewUpdate {
        now,
        detector,
        reachability,
        fraction_policy: FractionPolicy::Learned,
        quiet_members: QuietMembers::Alive,
    })
}

/// Returns the members' adds between two totals between which no member has added.
fn no_adds() -> Option<MemberAdds> {
    let scheme = MarkScheme::new(2, 900.0).unwrap();
    let counters = scheme.decode(0.0).counters.unwrap();
    Some(MemberAdds { scheme, before: counters, after: counters })
}

/// Returns a complete view that has observed these units in each interval, through its own gateway and the other one.
fn view_after_usage(
    gateway_index: u32,
    intervals: u64,
    own_units: f64,
    other_units: f64,
) -> (PartitionView, Heartbeats) {
    let mut view = PartitionView::new(HEARTBEAT_EPOCH, two_gateway_set(gateway_index), 10.0);
    let mut heartbeats = Heartbeats::new(gateway_index);
    for _ in 0..intervals {
        let now = heartbeats.pass_intervals(1, &[3 - gateway_index]);
        let detector = &heartbeats.detector;
        view.record_usage(&Usage { now, detector, own_units, other_units, adds: no_adds() });
    }
    (view, heartbeats)
}

#[test]
fn only_gateways_of_the_set_decide_whether_the_view_is_complete() {
    let now = HEARTBEAT_EPOCH + 3 * HEARTBEAT_INTERVAL;
    let mut view = PartitionView::new(0, two_gateway_set(1), 10.0);
    assert_eq!(update_view(&mut view, now, &detector_with_heartbeats_of(1, &[2]), Reachable), None);
    assert!(view.is_complete());
    assert_eq!(update_view(&mut view, now, &detector_with_heartbeats_of(1, &[0]), Reachable), Some(1.0));
    assert!(!view.is_complete());
}

#[test]
fn fractions_while_the_counter_is_unreachable_follow_the_traffic_and_add_up_to_one() {
    let mut fractions = Vec::new();
    for (gateway_index, own_units, other_units) in [(1, 6.0, 2.0), (2, 2.0, 6.0)] {
        let (mut view, heartbeats) = view_after_usage(gateway_index, 20, own_units, other_units);
        let now = HEARTBEAT_EPOCH + 20 * HEARTBEAT_INTERVAL;
        update_view(&mut view, now, &heartbeats.detector, Unreachable);
        fractions.push(view.fraction());
    }
    assert!((fractions.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{fractions:?}");
    assert!(fractions[0] > 0.65, "{fractions:?}");
}

#[test]
fn the_fraction_is_unchanged_while_other_gateways_may_still_grant_locally() {
    let (mut view, heartbeats) = view_after_usage(1, 20, 6.0, 2.0);
    let detector = &heartbeats.detector;
    let now = HEARTBEAT_EPOCH + 20 * HEARTBEAT_INTERVAL;
    update_view(&mut view, now, detector, Unreachable);
    let unreachable_fraction = view.fraction();
    assert_eq!(update_view(&mut view, now, detector, Recovering), None);
    assert_eq!(view.fraction(), unreachable_fraction);
    assert_eq!(update_view(&mut view, now, detector, Reachable), Some(unreachable_fraction));
    assert!(view.is_complete());
}

#[test]
fn a_gateway_without_a_recent_total_keeps_a_small_fraction_of_a_busy_customer() {
    // The customer used all of its quota, evenly through both gateways. Then all of its traffic came through the other
    // gateway, and this one observed none of it.
    let fraction_after = |unobserved_intervals: u64| {
        let (mut view, mut heartbeats) = view_after_usage(1, 14, 3.75, 3.75);
        let now = heartbeats.pass_intervals(unobserved_intervals, &[2]);
        update_view(&mut view, now, &heartbeats.detector, Reachable);
        update_view(&mut view, now, &heartbeats.detector, Unreachable);
        view.fraction()
    };
    assert!(fraction_after(0) > 0.45, "{}", fraction_after(0));
    assert!(fraction_after(18) < 0.8 * fraction_after(0), "{} of {}", fraction_after(18), fraction_after(0));
    // A customer that used only a third of its quota leaves enough for both gateways.
    let (mut view, mut heartbeats) = view_after_usage(1, 14, 1.25, 1.25);
    let now = heartbeats.pass_intervals(18, &[2]);
    update_view(&mut view, now, &heartbeats.detector, Reachable);
    update_view(&mut view, now, &heartbeats.detector, Unreachable);
    assert!(view.fraction() > 0.4, "{}", view.fraction());
}

#[test]
fn a_quiet_member_of_a_customer_over_its_limit_is_partitioned_until_its_next_heartbeat() {
    let scheme = MarkScheme::new(2, 900.0).unwrap();
    let counters = |total: f64| scheme.decode(total).counters.unwrap();
    // The other member, gateway 2, has added between two totals.
    let after = counters(scheme.next_mark(1, 0).fraction);
    let other_added = Some(MemberAdds { scheme, before: counters(0.0), after });
    let start = HEARTBEAT_EPOCH + 3 * HEARTBEAT_INTERVAL;
    let detector = &detector_with_heartbeats_of(1, &[2]);
    let mut view = PartitionView::new(start, two_gateway_set(1), 10.0);
    let is_complete = |view: &mut PartitionView, elapsed, quiet_members| {
        view.update(&ViewUpdate {
            now: start + elapsed,
            detector,
            reachability: Reachable,
            fraction_policy: FractionPolicy::Learned,
            quiet_members,
        });
        view.is_complete()
    };
    let now = start + HEARTBEAT_INTERVAL / 4;
    view.record_usage(&Usage { now, detector, own_units: 1.0, other_units: 1.0, adds: other_added });
    assert!(is_complete(&mut view, HEARTBEAT_INTERVAL, QuietMembers::Partitioned));
    let quiet_for = HEARTBEAT_INTERVAL * 3 / 2;
    let now = start + quiet_for;
    view.record_usage(&Usage { now, detector, own_units: 1.0, other_units: 0.0, adds: no_adds() });
    let is_complete_with_suspicion = is_complete(&mut view, quiet_for, QuietMembers::Partitioned);
    assert!(!is_complete_with_suspicion, "the member is quiet and has sent no later heartbeat");
    let is_complete_without = is_complete(&mut view, quiet_for, QuietMembers::Alive);
    assert!(is_complete_without, "a member of a customer within its limit may be quiet");
}

#[test]
fn usage_learned_in_a_partition_before_its_detection_does_not_raise_the_sum_of_the_fractions() {
    let mut fractions = Vec::new();
    for gateway_index in [1, 2] {
        let (mut view, mut heartbeats) = view_after_usage(gateway_index, 20, 4.0, 4.0);
        // The partition is not detected yet: each gateway observes only its own traffic.
        for _ in 0..4 {
            let now = heartbeats.pass_intervals(1, &[]);
            let detector = &heartbeats.detector;
            let adds = no_adds();
            view.record_usage(&Usage { now, detector, own_units: 4.0, other_units: 0.0, adds });
        }
        let now = heartbeats.pass_intervals(1, &[]);
        update_view(&mut view, now, &heartbeats.detector, Reachable);
        fractions.push(view.fraction());
    }
    assert!(fractions.iter().sum::<f64>() < 1.02, "{fractions:?}");
}

#[test]
fn a_partitioned_gateway_keeps_an_even_fraction_whatever_it_observes() {
    // No other gateway was ever alive: the fractions are even.
    let detector = &FailureDetector::new(1, 3);
    let mut view = PartitionView::new(100 * HEARTBEAT_INTERVAL, two_gateway_set(1), 10.0);
    update_view(&mut view, 110 * HEARTBEAT_INTERVAL, detector, Reachable);
    for interval in 111..140 {
        let now = interval * HEARTBEAT_INTERVAL;
        view.record_usage(&Usage { now, detector, own_units: 9.0, other_units: 0.0, adds: None });
    }
    update_view(&mut view, 140 * HEARTBEAT_INTERVAL, detector, Reachable);
    assert!((view.fraction() - 0.5).abs() < 0.02, "{}", view.fraction());
    update_view(&mut view, 140 * HEARTBEAT_INTERVAL, detector, Unreachable);
    assert!((view.fraction() - 0.5).abs() < 0.02, "{}", view.fraction());
}

#[test]
fn a_new_customer_during_an_outage_gets_less_than_an_even_fraction_but_an_even_burst() {
    let mut heartbeats = Heartbeats::new(1);
    let start = heartbeats.pass_intervals(20, &[2]);
    let mut view = PartitionView::new(start, two_gateway_set(1), 10.0);
    update_view(&mut view, start, &heartbeats.detector, Unreachable);
    let first = view.fraction();
    assert!(first < 0.3 && view.burst_fraction() == 0.5, "{first}");
    update_view(&mut view, start + 60 * 1_000_000_000, &heartbeats.detector, Unreachable);
    assert!(view.fraction() > 0.45, "{}", view.fraction());
}
