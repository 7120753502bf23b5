//! Site losses seen by many gateways that decide independently: detection, shedding, recovery and false alarms.

use site_failover::SiteHealth;
use site_failover_model::{
    count_false_alarms, run_scenario, FailoverMode, FailureMode, FalseAlarmScenario, LossSummary, ReturnMode,
    Scenario, ScenarioResult,
};

const SECOND: u64 = 1_000_000_000;

fn transition_times(result: &ScenarioResult, gateway: Option<u32>, health: SiteHealth) -> Vec<u64> {
    let site_changes = result
        .health_changes
        .iter()
        .filter(|change| change.site == 0 && gateway.is_none_or(|g| g == change.gateway));
    site_changes
        .filter(|change| change.current == health && change.previous != health)
        .map(|change| change.at)
        .collect()
}

fn crashes(result: &ScenarioResult) -> u32 {
    result.seconds.iter().map(|second| second.crashes).sum()
}

#[test]
fn a_returning_site_crashes_no_host_and_gets_less_than_1_45_of_its_share() {
    for return_mode in
        [ReturnMode::Warm, ReturnMode::Cold, ReturnMode::Half, ReturnMode::Slow, ReturnMode::Flapping]
    {
        let mut scenario = Scenario::three_sites(4, 400.0).with_first_site_lost(
            20 * SECOND,
            20 * SECOND,
            FailureMode::Reset,
            return_mode,
        );
        scenario.duration = 400 * SECOND;
        let result = run_scenario(&scenario);
        assert_eq!(crashes(&result), 0, "{return_mode:?}");
        let share = scenario.traffic.rate / 3.0;
        let max_sent = result.seconds.iter().skip(40).map(|second| second.sent[0]).max().unwrap_or(0);
        assert!(f64::from(max_sent) < 1.45 * share, "{return_mode:?}: {max_sent} of {share}");
        for gateway in 0..4 {
            let recoveries = transition_times(&result, Some(gateway), SiteHealth::Recovering);
            assert!(!recoveries.is_empty(), "{return_mode:?}");
            assert!(
                recoveries.windows(2).all(|pair| pair[1] - pair[0] >= 60 * SECOND),
                "{return_mode:?}: {recoveries:?}"
            );
        }
    }
}

#[test]
fn without_a_failover_plan_a_warming_site_crashes() {
    let mut scenario = Scenario::three_sites(4, 400.0).with_first_site_lost(
        20 * SECOND,
        20 * SECOND,
        FailureMode::Reset,
        ReturnMode::Cold,
    );
    scenario.failover_mode = FailoverMode::HostByHost;
    assert!(crashes(&run_scenario(&scenario)) > 0);
}

#[test]
fn all_gateways_detect_a_loss_within_4_s_and_probe_the_site_at_the_fleet_rate() {
    let mut scenario = Scenario::three_sites(60, 3_600.0).with_first_site_lost(
        20 * SECOND,
        20 * SECOND,
        FailureMode::Silent,
        ReturnMode::Cold,
    );
    (scenario.hosts, scenario.duration) = (36, 45 * SECOND);
    let result = run_scenario(&scenario);
    let lost = transition_times(&result, None, SiteHealth::Lost);
    assert_eq!(lost.len(), 60);
    assert!(lost.iter().all(|at| (20 * SECOND..24 * SECOND).contains(at)), "{lost:?}");
    let probes: Vec<u32> = (24..40).map(|second| result.seconds[second].probes[0]).collect();
    // A probe may fall on either side of the boundary of a second; the long-term average is 30 per second.
    assert!(probes.iter().sum::<u32>() <= 31 * 16 && probes.iter().any(|count| *count > 0), "{probes:?}");
}

#[test]
fn every_gateway_sheds_a_tier_only_after_the_tiers_before_it_are_at_their_floor() {
    let mut scenario = Scenario::three_sites(4, 400.0).with_first_site_lost(
        20 * SECOND,
        40 * SECOND,
        FailureMode::Reset,
        ReturnMode::Cold,
    );
    scenario.plan.sites.iter_mut().for_each(|site| site.capacity = Some(400.0 * 0.4));
    let result = run_scenario(&scenario);
    assert!(result.admission_fractions.len() > 20);
    for (at, gateway, fractions) in
        result.admission_fractions.iter().filter(|(_, _, fractions)| !fractions.is_empty())
    {
        for (number, tier) in scenario.plan.shedding.tiers.iter().enumerate() {
            let previous_tiers = &scenario.plan.shedding.tiers[..number];
            let is_shed = fractions[tier.cells[0]] < 1.0 - 1e-9;
            let previous_tiers_at_floor =
                previous_tiers.iter().all(|tier| fractions[tier.cells[0]] <= tier.floor + 1e-9);
            assert!(!is_shed || previous_tiers_at_floor, "{at} {gateway}: {fractions:?}");
        }
        assert_eq!(fractions[3], 1.0, "orders are in no shedding tier");
    }
}

#[test]
fn faults_without_a_site_loss_move_no_load() {
    for (rate, hours) in [(2.0, 40), (20.0, 10)] {
        let false_alarms =
            count_false_alarms(&FalseAlarmScenario { duration: hours * 3_600 * SECOND, rate, seed: 7 });
        assert_eq!(false_alarms.load_moved, 0, "{rate}: {false_alarms:?}");
        assert!(
            false_alarms.by_consecutive_failures[1].1 > 0,
            "five failures in a row would have moved load: {false_alarms:?}"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_health_changes() {
    let changes_of = |seed| {
        let scenario = Scenario { seed, ..Scenario::three_sites(3, 150.0) };
        run_scenario(&scenario.with_first_site_lost(
            10 * SECOND,
            10 * SECOND,
            FailureMode::Silent,
            ReturnMode::Cold,
        ))
        .health_changes
    };
    assert_eq!(changes_of(3), changes_of(3));
    assert_ne!(changes_of(3), changes_of(4));
}

#[test]
fn a_scenario_from_an_operators_plan_runs_at_its_peak_load_and_needs_all_loads() {
    let three_sites = Scenario::three_sites(3, 300.0);
    let from_plan = |plan| Scenario::from_plan(plan, 3, vec![0.5, 0.5, 0.0, 0.0], vec![1]);
    let mut scenario = from_plan(three_sites.plan.clone()).unwrap().with_first_site_lost(
        10 * SECOND,
        20 * SECOND,
        FailureMode::Reset,
        ReturnMode::Cold,
    );
    scenario.duration = 150 * SECOND;
    let summary = LossSummary::of(&run_scenario(&scenario), &scenario, 0);
    assert_eq!(summary.lost.map(|(_, _, count)| count), Some(3));
    assert!(summary.lost.unwrap().1 < 5 * SECOND && summary.healthy.unwrap().0 > 50 * SECOND, "{summary:?}");
    assert!(summary.served[1] > 0.85 && summary.crashes == 0, "{summary:?}");
    let mut without_load = three_sites.plan;
    without_load.sites[1].load = None;
    assert!(from_plan(without_load).is_none());
}
