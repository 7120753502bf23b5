//! Cold hosts. The one here can do 2 s of work a second when warm, starts at a quarter of that and is warm after
//! 10 s. It falls when sent more than 3 times what it can do for 1.5 s.

use crate::day::{first, read, Day, SERVED, START};
use cluster_model::observation::{HostOutcome, Lifecycle, ObservationKind};
use cluster_model::scenario::Site;
use cluster_model::{Time, MS, SECOND};
use invariants::{Rule, Verdict};

const HOST: u32 = 10;

/// Host 10 starts at 1000 ms.
fn started() -> Day {
    let mut day = Day::default();
    day.see(
        1_000,
        ObservationKind::HostStarted {
            host: HOST,
            full_capacity: 2e9,
            initial_share: 0.25,
            warm_up: 10 * SECOND,
        },
    );
    day
}

fn tell(day: &mut Day, ms: u64, gateway: u32, started: Time) {
    day.see(
        ms,
        ObservationKind::GatewayNotified { gateway, host: HOST, state: Lifecycle::InService, started },
    );
}

/// A gateway sends it a request that costs so much work.
fn work(day: &mut Day, ms: u64, thing: u64, gateway: u32, work: u64) {
    let request = first(thing);
    day.ask(ms, read(request));
    let first_byte = START + ms * MS;
    day.see(
        ms,
        ObservationKind::AttemptReceived { request, host: HOST, gateway, first_byte, expected_work: work },
    );
    day.see(
        ms + 10,
        ObservationKind::AttemptEnded {
            request,
            host: HOST,
            gateway,
            outcome: HostOutcome::Served,
            units: None,
        },
    );
    day.see(ms + 10, ObservationKind::AttemptClosed { request, host: HOST, gateway }).answer(
        ms + 11,
        request,
        SERVED,
    );
}

fn fell(day: &mut Day, ms: u64) -> Verdict {
    day.see(ms, ObservationKind::HostOverloadCrash { host: HOST }).verdict(&Site::default())
}

fn rules(verdict: &Verdict) -> Vec<Rule> {
    verdict.violations.iter().map(|breach| breach.rule).collect()
}

#[test]
fn a_flood_from_gateways_that_knew_breaks_the_rule_and_from_others_it_does_not() {
    let flood = |told: &[(u64, Time)]| {
        let mut day = started();
        told.iter().for_each(|(ms, started)| tell(&mut day, *ms, 0, *started));
        (0..10).for_each(|n| work(&mut day, 1_900 + 10 * n, n + 1, 0, 400 * MS));
        rules(&fell(&mut day, 2_000))
    };
    let start = START + SECOND;
    assert_eq!(flood(&[(1_500, start)]), [Rule::SlowStart]);
    // Discovery tells whole milliseconds.
    assert_eq!(flood(&[(1_500, start + MS - 1)]), [Rule::SlowStart]);
    assert_eq!(flood(&[]), []);
    assert_eq!(flood(&[(1_500, 0)]), []);
    assert_eq!(flood(&[(500, start - 60 * SECOND)]), []);
    // The news came just before the flood: what was sent 50 ms later is 7 parts of 10, or 6.
    assert_eq!(flood(&[(1_880, start)]), [Rule::SlowStart]);
    assert_eq!(flood(&[(1_890, start)]), []);
}

#[test]
fn a_start_that_an_agent_has_heard_of_counts_as_told_six_seconds_later() {
    let flood = |heard_ms: u64, told_ms: Option<u64>| {
        let (mut day, start) = (started(), START + SECOND);
        let (gateway, state, started) = (0, Lifecycle::InService, start);
        day.see(heard_ms, ObservationKind::AgentNotified { gateway, host: HOST, state, started });
        told_ms.iter().for_each(|ms| tell(&mut day, *ms, 0, start));
        (0..10).for_each(|n| work(&mut day, 7_900 + 10 * n, n + 1, 0, 1_000 * MS));
        rules(&fell(&mut day, 8_000))
    };
    // 7 parts of 10 were sent 50 ms after it counted as told, or 6.
    assert_eq!(flood(1_880, None), [Rule::SlowStart]);
    assert_eq!(flood(1_890, None), []);
    assert_eq!(flood(1_890, Some(7_800)), [Rule::SlowStart], "at the latest");
    assert_eq!(flood(1_880, Some(7_990)), [Rule::SlowStart], "whatever is written later");
}

#[test]
fn two_thirds_of_the_work_have_to_come_from_those_that_knew() {
    for (knew, expected) in [(667, vec![Rule::SlowStart]), (666, vec![])] {
        let mut day = started();
        tell(&mut day, 1_100, 0, START + SECOND);
        work(&mut day, 1_900, 1, 0, knew * 4 * MS);
        work(&mut day, 1_910, 2, 1, (1_000 - knew) * 4 * MS);
        assert_eq!(rules(&fell(&mut day, 2_000)), expected);
    }
}

#[test]
fn work_from_before_the_window_does_not_count() {
    let mut day = started();
    tell(&mut day, 1_000, 0, START + SECOND);
    work(&mut day, 1_100, 1, 0, 40_000 * MS);
    work(&mut day, 2_600, 2, 1, 4_000 * MS);
    // The window began at 1.2 s; in it all came from a gateway that had not heard.
    assert_eq!(rules(&fell(&mut day, 2_700)), []);
}

#[test]
fn what_pushed_a_host_over_may_be_written_down_after_its_fall() {
    let mut day = started();
    tell(&mut day, 1_100, 0, START + SECOND);
    day.see(2_000, ObservationKind::HostOverloadCrash { host: HOST });
    work(&mut day, 2_000, 1, 0, 4_000 * MS);
    let verdict = day.verdict(&Site::default());
    assert_eq!((rules(&verdict), verdict.notes), (vec![Rule::SlowStart], vec![]));
    assert!(verdict.hosts.iter().any(|host| host.host == HOST && host.overload_crashed));
}

#[test]
fn a_fall_under_less_than_a_host_must_bear_is_noted() {
    // Its capacity from 0 to 1.5 s after the start: 2 x 1.5 s x (0.25 + 0.75 x 0.75 / 10) = 0.91875 s of work.
    for (work_us, notes) in [(2_756_200, 1), (2_756_300, 0)] {
        let mut day = started();
        work(&mut day, 1_900, 1, 0, work_us * 1_000);
        assert_eq!(fell(&mut day, 2_000).notes.len(), notes, "{work_us}");
    }
}

#[test]
fn a_host_that_is_warm_before_the_window_is_over_bears_more() {
    // 0.75 s of warming up at 0.625 of 2 s of work a second on average, then 0.75 s at full pace; 3 times that.
    for (work_us, notes) in [(7_312_400, 1), (7_312_600, 0)] {
        let mut day = Day::default();
        day.see(
            1_000,
            ObservationKind::HostStarted {
                host: HOST,
                full_capacity: 2e9,
                initial_share: 0.25,
                warm_up: 750 * MS,
            },
        );
        work(&mut day, 1_700, 1, 0, work_us * 1_000);
        assert_eq!(fell(&mut day, 1_740).notes.len(), notes, "{work_us}");
    }
}

#[test]
fn a_host_has_to_bear_no_more_than_its_present_capacity_stands_for() {
    // 0.1 s after the start it can do 0.515 s of work a second, though more on average in the window that begins
    // then: 3 x 1.5 x 0.515 s.
    for (work_us, notes) in [(2_317_400, 1), (2_317_600, 0)] {
        let mut day = started();
        work(&mut day, 1_050, 1, 0, work_us * 1_000);
        assert_eq!(fell(&mut day, 1_100).notes.len(), notes, "{work_us}");
    }
}

#[test]
fn a_slowed_host_has_to_bear_less() {
    // Half a second at full pace and one at half: (0.26875 + 0.325) x 3 s of work.
    for (work_us, notes) in [(1_781_200, 1), (1_781_300, 0)] {
        let mut day = started();
        day.see(500, ObservationKind::HostSlowed { host: HOST, factor: 1.0 })
            .see(1_500, ObservationKind::HostSlowed { host: HOST, factor: 2.0 });
        work(&mut day, 1_900, 1, 0, work_us * 1_000);
        assert_eq!(fell(&mut day, 2_000).notes.len(), notes, "{work_us}");
    }
}

#[test]
fn a_host_that_bears_more_than_it_can_is_noted() {
    // One second after the start it can do 0.65 s of work a second: 3 x 1.5 x 0.65 s, and three requests of 75 ms.
    for (work_ms, notes) in [(3_149, 0), (3_151, 1)] {
        let mut day = started();
        work(&mut day, 2_000, 1, 0, work_ms * MS);
        let verdict = day.verdict(&Site::default());
        assert_eq!((rules(&verdict), verdict.notes.len()), (vec![], notes), "{work_ms}");
    }
}

#[test]
fn a_warm_host_is_not_watched() {
    let mut day = started();
    tell(&mut day, 1_100, 0, START + SECOND);
    work(&mut day, 11_000, 1, 0, 60 * SECOND);
    assert_eq!(day.verdict(&Site::default()).notes.len(), 0);
    let verdict = fell(&mut day, 11_100);
    assert_eq!((rules(&verdict), verdict.notes.len()), (vec![], 1), "it fell without having been cold");
}
