//! Prints the figures that the design note on site losses states. `cargo run --release -p site-failover-model --example
//! site_loss -- detection|alarms|returns|fleet|ladder|log`.

use policy::api::Time;
use site_failover::SiteHealth;
use site_failover_model::{
    count_false_alarms, run_scenario, FailoverMode, FailureMode, FalseAlarmScenario, ReturnMode, Scenario,
    ScenarioResult,
};

const SECOND: Time = 1_000_000_000;
const LOSS_START: Time = 30 * SECOND;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("detection") => print_detection(),
        Some("alarms") => print_false_alarms(),
        Some("returns") => print_returns(),
        Some("fleet") => print_fleet_sizes(),
        Some("ladder") => print_shedding(),
        Some("log") => print_log(),
        _ => eprintln!("usage: site_loss detection|alarms|returns|fleet|ladder|log"),
    }
}

fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

/// Returns the sorted times, in seconds after `from`, at which each gateway first changed the first site to `health`.
fn transition_times(result: &ScenarioResult, health: SiteHealth, from: Time) -> Vec<f64> {
    let mut first = std::collections::BTreeMap::new();
    for change in result.health_changes.iter().filter(|change| change.site == 0 && change.at >= from) {
        if change.current == health && change.previous != health {
            first.entry(change.gateway).or_insert(seconds(change.at - from));
        }
    }
    let mut times: Vec<f64> = first.into_values().collect();
    times.sort_by(f64::total_cmp);
    times
}

fn print_detection() {
    println!("| requests a second | failures | median, s | worst of 20, s |");
    println!("| --- | --- | --- | --- |");
    for rate in [1.0 / 6.0, 2.0, 10.0, 50.0, 500.0] {
        for failure in [FailureMode::Silent, FailureMode::Refused, FailureMode::Reset] {
            let mut times = vec![];
            for seed in 0..20 {
                let scenario = Scenario { seed, ..Scenario::three_sites(1, rate) };
                let duration = (20_000.0 / rate.max(40.0)) as Time * SECOND;
                let mut scenario =
                    scenario.with_first_site_lost(LOSS_START, duration, failure, ReturnMode::Warm);
                scenario.plan.sites.iter_mut().for_each(|site| site.capacity = Some(rate.max(300.0)));
                scenario.duration = LOSS_START + duration;
                times.extend(transition_times(&run_scenario(&scenario), SiteHealth::Lost, LOSS_START));
            }
            times.sort_by(f64::total_cmp);
            let (median, worst) = (times.get(times.len() / 2), times.last());
            println!("| {rate:.2} | {failure:?} | {median:.2?} | {worst:.2?} of {} |", times.len());
        }
    }
}

fn print_false_alarms() {
    println!("| requests a second | hours | load moved | doubtful | slow | 3, 5, 10 in a row |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (rate, hours) in [(2.0, 400), (10.0, 400), (50.0, 200), (500.0, 100)] {
        let false_alarms =
            count_false_alarms(&FalseAlarmScenario { duration: hours * 3_600 * SECOND, rate, seed: 1 });
        let row: Vec<u32> = false_alarms.by_consecutive_failures.iter().map(|(_, count)| *count).collect();
        println!(
            "| {rate} | {hours} | {} | {} | {} | {row:?} |",
            false_alarms.load_moved, false_alarms.suspect, false_alarms.slow
        );
    }
}

fn print_returns() {
    println!("| return | begins, s | full share, s | most of its share | swings | returns begun | most in 60 s | fell over | worth kept | without a plan |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for return_mode in
        [ReturnMode::Warm, ReturnMode::Cold, ReturnMode::Half, ReturnMode::Slow, ReturnMode::Flapping]
    {
        let mut scenario = Scenario::three_sites(8, 800.0).with_first_site_lost(
            LOSS_START,
            30 * SECOND,
            FailureMode::Silent,
            return_mode,
        );
        scenario.duration = 600 * SECOND;
        let returned_at =
            LOSS_START + 30 * SECOND + if return_mode == ReturnMode::Flapping { 120 * SECOND } else { 0 };
        let result = run_scenario(&scenario);
        let recovery_starts = transition_times(&result, SiteHealth::Recovering, LOSS_START + 30 * SECOND);
        let healthy = transition_times(&result, SiteHealth::Healthy, returned_at);
        let (swings, recoveries, most) = count_swings_and_recoveries(&result, scenario.gateways);
        let crashes: u32 = result.seconds.iter().map(|second| second.crashes).sum();
        let without_plan =
            run_scenario(&Scenario { failover_mode: FailoverMode::HostByHost, ..scenario.clone() });
        let crashes_without_plan: u32 = without_plan.seconds.iter().map(|second| second.crashes).sum();
        println!(
            "| {return_mode:?} | {:.1?} to {:.1?} | {:.1?} | {:.2} | {swings} | {recoveries} | {most} | {crashes} ({crashes_without_plan}) | {:.3} | {:.3} |",
            recovery_starts.first(),
            recovery_starts.last(),
            healthy.last(),
            max_sent_fraction(&result, &scenario),
            weighted_served_fraction(&result),
            weighted_served_fraction(&without_plan),
        );
    }
}

/// Returns the maxima over the gateways of: changes of direction of the traffic fraction, recoveries begun, and
/// recoveries begun within any 60 s.
fn count_swings_and_recoveries(result: &ScenarioResult, gateways: u32) -> (usize, usize, usize) {
    let mut most = (0, 0, 0);
    for gateway in 0..gateways {
        let site_changes =
            || result.health_changes.iter().filter(|change| change.site == 0 && change.gateway == gateway);
        let shares: Vec<f64> = site_changes().map(|change| change.traffic_fraction).collect();
        let increases: Vec<bool> = shares.windows(2).filter(|w| w[0] != w[1]).map(|w| w[1] > w[0]).collect();
        let swings = increases.windows(2).filter(|w| w[0] != w[1]).count();
        let recoveries: Vec<Time> = site_changes()
            .filter(|change| {
                change.current == SiteHealth::Recovering && change.previous != SiteHealth::Recovering
            })
            .map(|change| change.at)
            .collect();
        let within =
            |from: Time| recoveries.iter().filter(|at| (from..from + 60 * SECOND).contains(*at)).count();
        let max_in_a_minute = recoveries.iter().map(|at| within(*at)).max().unwrap_or(0);
        most = (most.0.max(swings), most.1.max(recoveries.len()), most.2.max(max_in_a_minute));
    }
    most
}

/// Returns the maximum of attempts sent to the first site in a second after the loss, relative to its share of the
/// request rate.
fn max_sent_fraction(result: &ScenarioResult, scenario: &Scenario) -> f64 {
    let from = (scenario.site_losses[0].at + scenario.site_losses[0].duration) / SECOND;
    let most = result.seconds.iter().skip(from as usize).map(|second| second.sent[0]).max().unwrap_or(0);
    f64::from(most) / (scenario.traffic.rate / scenario.plan.sites.len() as f64)
}

/// Returns the fraction of the requests served since the start of the loss, with a priority weight that doubles from
/// each cell to the next.
fn weighted_served_fraction(result: &ScenarioResult) -> f64 {
    let (mut received, mut served) = (0.0, 0.0);
    for second in result.seconds.iter().skip((LOSS_START / SECOND) as usize) {
        for cell in 0..second.received.len() {
            let weight = f64::from(1_u32 << cell);
            received += weight * f64::from(second.received[cell]);
            served += weight * f64::from(second.served[cell]);
        }
    }
    served / received
}

fn print_fleet_sizes() {
    println!("| gateways | down | lost, s | begins, s | whole, s | trials a second, most | sent to it while lost, most of its share | while it returns, most |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for gateways in [3, 30, 300_u32] {
        for loss_seconds in [5, 30, 300] {
            let mut scenario = Scenario::three_sites(gateways, f64::from(gateways) * 60.0);
            scenario.hosts = (u64::from(gateways) * 3 / 5).max(4);
            let mut scenario = scenario.with_first_site_lost(
                LOSS_START,
                loss_seconds * SECOND,
                FailureMode::Silent,
                ReturnMode::Cold,
            );
            let returned_at = LOSS_START + loss_seconds * SECOND;
            scenario.duration = returned_at + 200 * SECOND;
            let result = run_scenario(&scenario);
            let span = |times: &[f64]| match (times.first(), times.last()) {
                (Some(first), Some(last)) => format!("{first:.1} to {last:.1} ({})", times.len()),
                _ => "-".to_string(),
            };
            let lost = transition_times(&result, SiteHealth::Lost, LOSS_START);
            let last_lost = lost.last().map_or(5, |last| *last as u64 + 2);
            let while_lost = |second: &u64| *second >= 30 + last_lost && *second < returned_at / SECOND;
            let all = 0..scenario.duration / SECOND;
            let probes = all.clone().filter(while_lost).map(|s| result.seconds[s as usize].probes[0]).max();
            let share = scenario.traffic.rate / 3.0;
            let sent =
                (30..30 + last_lost.min(loss_seconds)).map(|s| result.seconds[s as usize].sent[0]).max();
            let after =
                all.skip((returned_at / SECOND) as usize).map(|s| result.seconds[s as usize].sent[0]).max();
            println!(
                "| {gateways} | {loss_seconds} s | {} | {} | {} | {probes:?} | {:.2} | {:.2} |",
                span(&lost),
                span(&transition_times(&result, SiteHealth::Recovering, returned_at)),
                span(&transition_times(&result, SiteHealth::Healthy, returned_at)),
                f64::from(sent.unwrap_or(0)) / share,
                f64::from(after.unwrap_or(0)) / share,
            );
        }
    }
}

fn print_shedding() {
    let mut scenario = Scenario::three_sites(8, 800.0).with_first_site_lost(
        LOSS_START,
        60 * SECOND,
        FailureMode::Silent,
        ReturnMode::Cold,
    );
    scenario.plan.sites.iter_mut().for_each(|site| site.capacity = Some(800.0 * 0.42));
    scenario.duration = 240 * SECOND;
    let result = run_scenario(&scenario);
    println!("| second | level | batch in | browse in | search in | orders in | wanting | orders in time |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (number, second) in result.seconds.iter().enumerate().skip(28).filter(|(n, _)| *n < 50 || n % 10 == 0)
    {
        let share =
            |part: &[u32], cell: usize| f64::from(part[cell]) / f64::from(second.received[cell].max(1));
        let admitted: Vec<String> =
            (0..4).map(|cell| format!("{:.2}", 1.0 - share(&second.shed, cell))).collect();
        let no_capacity: u32 = second.no_capacity.iter().sum();
        let orders = share(&second.served, 3);
        println!(
            "| {number} | {:.2} | {} | {no_capacity} | {orders:.2} |",
            second.shedding_level,
            admitted.join(" | ")
        );
    }
}

fn print_log() {
    let mut scenario = Scenario::three_sites(8, 800.0).with_first_site_lost(
        LOSS_START,
        30 * SECOND,
        FailureMode::Silent,
        ReturnMode::Cold,
    );
    scenario.duration = 240 * SECOND;
    for change in run_scenario(&scenario).health_changes.iter().filter(|change| change.gateway == 0) {
        println!("{:8.2} s  {}", seconds(change.at), change.log_line);
    }
}
