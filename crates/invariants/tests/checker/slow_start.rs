//! Hosts that are warming up. The host in these tests can do 2 s of work a second when warm, starts at a quarter of that
//! and is warm after 10 s. It crashes when it receives more than 3 times its capacity over 1.5 s.

use crate::run_builder::{first, read, RunBuilder, SERVED, START};
use cluster_model::observation::{HostOutcome, Lifecycle, ObservationKind};
use cluster_model::scenario::Site;
use cluster_model::{Time, MS, SECOND};
use invariants::{Rule, Verdict};

const HOST: u32 = 10;

/// Host 10 starts at 1000 ms.
fn started() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.observe(
        1_000,
        ObservationKind::HostStarted {
            host: HOST,
            full_capacity: 2e9,
            initial_share: 0.25,
            warm_up: 10 * SECOND,
        },
    );
    run
}

fn notify_gateway(run: &mut RunBuilder, ms: u64, gateway: u32, started: Time) {
    run.observe(
        ms,
        ObservationKind::GatewayNotified { gateway, host: HOST, state: Lifecycle::InService, started },
    );
}

/// Adds a request that a gateway forwards to the host and that costs `work`.
fn work(run: &mut RunBuilder, ms: u64, thing: u64, gateway: u32, work: u64) {
    let request = first(thing);
    run.ask(ms, read(request));
    let first_byte = START + ms * MS;
    run.observe(
        ms,
        ObservationKind::AttemptReceived { request, host: HOST, gateway, first_byte, expected_work: work },
    );
    run.observe(
        ms + 10,
        ObservationKind::AttemptEnded {
            request,
            host: HOST,
            gateway,
            outcome: HostOutcome::Served,
            units: None,
        },
    );
    run.observe(ms + 10, ObservationKind::AttemptClosed { request, host: HOST, gateway }).answer(
        ms + 11,
        request,
        SERVED,
    );
}

fn fell(run: &mut RunBuilder, ms: u64) -> Verdict {
    run.observe(ms, ObservationKind::HostOverloadCrash { host: HOST }).verdict(&Site::default())
}

fn rules(verdict: &Verdict) -> Vec<Rule> {
    verdict.violations.iter().map(|violation| violation.rule).collect()
}

#[test]
fn overload_violates_the_rule_only_from_notified_gateways() {
    let flood = |told: &[(u64, Time)]| {
        let mut run = started();
        told.iter().for_each(|(ms, started)| notify_gateway(&mut run, *ms, 0, *started));
        (0..10).for_each(|n| work(&mut run, 1_900 + 10 * n, n + 1, 0, 400 * MS));
        rules(&fell(&mut run, 2_000))
    };
    let start = START + SECOND;
    assert_eq!(flood(&[(1_500, start)]), [Rule::SlowStart]);
    // Discovery reports whole milliseconds.
    assert_eq!(flood(&[(1_500, start + MS - 1)]), [Rule::SlowStart]);
    assert_eq!(flood(&[]), []);
    assert_eq!(flood(&[(1_500, 0)]), []);
    assert_eq!(flood(&[(500, start - 60 * SECOND)]), []);
    // The notification came just before the overload: 7 tenths of the work, or 6, were sent 50 ms after it.
    assert_eq!(flood(&[(1_880, start)]), [Rule::SlowStart]);
    assert_eq!(flood(&[(1_890, start)]), []);
}

#[test]
fn gateway_is_considered_notified_of_a_start_six_seconds_after_its_agent() {
    let flood = |heard_ms: u64, told_ms: Option<u64>| {
        let (mut run, start) = (started(), START + SECOND);
        let (gateway, state, started) = (0, Lifecycle::InService, start);
        run.observe(heard_ms, ObservationKind::AgentNotified { gateway, host: HOST, state, started });
        told_ms.iter().for_each(|ms| notify_gateway(&mut run, *ms, 0, start));
        (0..10).for_each(|n| work(&mut run, 7_900 + 10 * n, n + 1, 0, 1_000 * MS));
        rules(&fell(&mut run, 8_000))
    };
    // 7 tenths of the work, or 6, were sent 50 ms after the gateway was considered notified.
    assert_eq!(flood(1_880, None), [Rule::SlowStart]);
    assert_eq!(flood(1_890, None), []);
    assert_eq!(flood(1_890, Some(7_800)), [Rule::SlowStart], "at the latest");
    assert_eq!(flood(1_880, Some(7_990)), [Rule::SlowStart], "whatever is written later");
}

#[test]
fn violation_requires_two_thirds_of_the_work_from_notified_gateways() {
    for (knew, expected) in [(667, vec![Rule::SlowStart]), (666, vec![])] {
        let mut run = started();
        notify_gateway(&mut run, 1_100, 0, START + SECOND);
        work(&mut run, 1_900, 1, 0, knew * 4 * MS);
        work(&mut run, 1_910, 2, 1, (1_000 - knew) * 4 * MS);
        assert_eq!(rules(&fell(&mut run, 2_000)), expected);
    }
}

#[test]
fn work_from_before_the_window_does_not_count() {
    let mut run = started();
    notify_gateway(&mut run, 1_000, 0, START + SECOND);
    work(&mut run, 1_100, 1, 0, 40_000 * MS);
    work(&mut run, 2_600, 2, 1, 4_000 * MS);
    // The window began at 1.2 s; all work in it came from a gateway that had not been notified.
    assert_eq!(rules(&fell(&mut run, 2_700)), []);
}

#[test]
fn overloading_work_may_be_recorded_after_the_crash() {
    let mut run = started();
    notify_gateway(&mut run, 1_100, 0, START + SECOND);
    run.observe(2_000, ObservationKind::HostOverloadCrash { host: HOST });
    work(&mut run, 2_000, 1, 0, 4_000 * MS);
    let verdict = run.verdict(&Site::default());
    assert_eq!((rules(&verdict), verdict.notes), (vec![Rule::SlowStart], vec![]));
    assert!(verdict.hosts.iter().any(|host| host.host == HOST && host.overload_crashed));
}

#[test]
fn crash_below_the_required_capacity_is_noted() {
    // Its capacity from 0 to 1.5 s after the start: 2 x 1.5 s x (0.25 + 0.75 x 0.75 / 10) = 0.91875 s of work.
    for (work_us, notes) in [(2_756_200, 1), (2_756_300, 0)] {
        let mut run = started();
        work(&mut run, 1_900, 1, 0, work_us * 1_000);
        assert_eq!(fell(&mut run, 2_000).notes.len(), notes, "{work_us}");
    }
}

#[test]
fn host_warm_before_the_end_of_the_window_must_sustain_more() {
    // 0.75 s of warming up at 0.625 of 2 s of work a second on average, then 0.75 s at full capacity; 3 times that.
    for (work_us, notes) in [(7_312_400, 1), (7_312_600, 0)] {
        let mut run = RunBuilder::default();
        run.observe(
            1_000,
            ObservationKind::HostStarted {
                host: HOST,
                full_capacity: 2e9,
                initial_share: 0.25,
                warm_up: 750 * MS,
            },
        );
        work(&mut run, 1_700, 1, 0, work_us * 1_000);
        assert_eq!(fell(&mut run, 1_740).notes.len(), notes, "{work_us}");
    }
}

#[test]
fn host_must_sustain_at_most_its_present_capacity() {
    // 0.1 s after the start it can do 0.515 s of work a second, but more on average in the window that begins
    // then: 3 x 1.5 x 0.515 s.
    for (work_us, notes) in [(2_317_400, 1), (2_317_600, 0)] {
        let mut run = started();
        work(&mut run, 1_050, 1, 0, work_us * 1_000);
        assert_eq!(fell(&mut run, 1_100).notes.len(), notes, "{work_us}");
    }
}

#[test]
fn slowed_host_must_sustain_less() {
    // Half a second at full speed and one second at half speed: (0.26875 + 0.325) x 3 s of work.
    for (work_us, notes) in [(1_781_200, 1), (1_781_300, 0)] {
        let mut run = started();
        run.observe(500, ObservationKind::HostSlowed { host: HOST, factor: 1.0 })
            .observe(1_500, ObservationKind::HostSlowed { host: HOST, factor: 2.0 });
        work(&mut run, 1_900, 1, 0, work_us * 1_000);
        assert_eq!(fell(&mut run, 2_000).notes.len(), notes, "{work_us}");
    }
}

#[test]
fn host_that_survives_overload_is_noted() {
    // One second after the start it can do 0.65 s of work a second: 3 x 1.5 x 0.65 s, and three requests of 75 ms.
    for (work_ms, notes) in [(3_149, 0), (3_151, 1)] {
        let mut run = started();
        work(&mut run, 2_000, 1, 0, work_ms * MS);
        let verdict = run.verdict(&Site::default());
        assert_eq!((rules(&verdict), verdict.notes.len()), (vec![], notes), "{work_ms}");
    }
}

#[test]
fn warm_host_is_not_checked() {
    let mut run = started();
    notify_gateway(&mut run, 1_100, 0, START + SECOND);
    work(&mut run, 11_000, 1, 0, 60 * SECOND);
    assert_eq!(run.verdict(&Site::default()).notes.len(), 0);
    let verdict = fell(&mut run, 11_100);
    assert_eq!((rules(&verdict), verdict.notes.len()), (vec![], 1), "it fell without having been cold");
}
