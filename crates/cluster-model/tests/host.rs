//! The model of a host: how work is shared, what is turned away, and when a cold host falls.

use cluster_model::host::{Admission, FinishedJob, Host, HostSetup, JobId, JobOutcome, JobStage, Request};
use cluster_model::rng::Rng;
use cluster_model::scenario::{Effect, HostSpec, RulesSpec};
use cluster_model::{Span, Time, MS, SECOND};
use std::collections::BTreeMap;

/// Far beyond any test.
const LATE: Time = 3600 * SECOND;

/// Two plain cores: nothing is drawn by chance, nothing thrashes, connections cost nothing.
fn plain() -> HostSpec {
    HostSpec { speed_spread: 0.0, thrash: 0.0, handshake: 0, error_rate: 0.0, ..HostSpec::default() }
}

fn setup(spec: HostSpec, cold: bool) -> HostSetup {
    HostSetup { spec, rules: RulesSpec::default(), mean_work: 75 * MS, number: 0, seed: 7, warming_up: cold }
}

fn warm(spec: HostSpec) -> Host {
    Host::new(setup(spec, false), 0)
}

fn request(id: u64, work: Span, deadline: Time) -> Request {
    Request { id, work, expected_work: work, deadline, effect: Effect::Safe }
}

fn take(host: &mut Host, now: Time, id: u64, work: Span) -> JobId {
    match host.submit(now, request(id, work, LATE)) {
        Admission::Accepted(job) => job,
        other => panic!("{other:?}"),
    }
}

/// Follows the host's own calls to come back, up to `end`.
fn play(host: &mut Host, end: Time) -> Vec<FinishedJob> {
    let mut finished = Vec::new();
    while let Some(due) = host.next_event().filter(|due| *due <= end) {
        host.advance(due, &mut finished);
    }
    host.advance(end, &mut finished);
    finished
}

fn times(finished: &[FinishedJob]) -> Vec<(JobId, Time)> {
    finished.iter().map(|f| (f.job, f.at)).collect()
}

#[test]
fn two_requests_share_a_core_evenly() {
    let mut host = warm(HostSpec { cores: 1, ..plain() });
    let long = take(&mut host, 0, 1, 100 * MS);
    let short = take(&mut host, 50 * MS, 2, 30 * MS);
    // From 50 ms on each runs at half speed: the short one takes 60 ms, the long one has 20 ms left then.
    assert_eq!(times(&play(&mut host, SECOND)), [(short, 110 * MS), (long, 130 * MS)]);
}

#[test]
fn a_request_gets_one_core_at_the_most() {
    let mut host = warm(HostSpec { cores: 4, speed: 2.0, ..plain() });
    let job = take(&mut host, 0, 1, 100 * MS);
    assert_eq!(times(&play(&mut host, SECOND)), [(job, 50 * MS)]);
}

#[test]
fn when_it_is_asked_does_not_change_what_it_does() {
    let run = |step: Span| {
        let mut host = Host::new(setup(HostSpec::default(), true), 0);
        let mut finished = Vec::new();
        for n in 0..12 {
            let _ = host.submit(n * 20 * MS, request(n, 40 * MS, 700 * MS));
        }
        for at in (240 * MS..20 * SECOND).step_by(step as usize) {
            host.advance(at, &mut finished);
        }
        finished
    };
    let often = run(MS);
    let rarely = run(SECOND);
    assert_eq!(often.len(), 12);
    // Rounding differs by a few nanoseconds where the pace was looked at in between.
    for (a, b) in often.iter().zip(&rarely) {
        assert!(a.job == b.job && a.outcome == b.outcome && a.at.abs_diff(b.at) < 100, "{a:?} {b:?}");
    }
}

#[test]
fn under_saturation_throughput_is_the_capacity() {
    let spec = HostSpec { speed: 1.3, ..plain() };
    let mut host = warm(spec);
    let mut rng = Rng::stream(1, "test", 0);
    let mut works = BTreeMap::new();
    let mut done = 0;
    let end = 100 * SECOND;
    for n in 0..4000 {
        let now = n * 25 * MS;
        let work = rng.exponential(75e6).max(1.0) as Span;
        if let Admission::Accepted(job) = host.submit(now, request(n, work, LATE)) {
            works.insert(job, work);
        }
        let mut finished = Vec::new();
        host.advance(now, &mut finished);
        done += finished.iter().map(|f| works[&f.job]).sum::<Span>();
    }
    let share = done as f64 / (2.0 * 1.3 * end as f64);
    assert!((share - 1.0).abs() < 0.02, "{share}");
    assert!((host.utilization_since_last(end) - 1.0).abs() < 0.01);
}

#[test]
fn the_waiting_room_is_bounded_and_first_come_is_first_served() {
    let mut host = warm(HostSpec { cores: 1, slots: 2, queue: 3, ..plain() });
    let jobs: Vec<JobId> = (0..5).map(|n| take(&mut host, 0, n, 10 * MS)).collect();
    assert_eq!(host.submit(0, request(5, MS, LATE)), Admission::Rejected);
    assert_eq!(host.request_count(), 5);
    let order: Vec<JobId> = play(&mut host, SECOND).iter().map(|f| f.job).collect();
    assert_eq!(order, jobs);
    assert!(matches!(host.submit(SECOND, request(6, MS, LATE)), Admission::Accepted(_)));
}

#[test]
fn cancelled_work_frees_its_capacity() {
    let mut host = warm(HostSpec { cores: 1, slots: 1, ..plain() });
    let first = take(&mut host, 0, 1, SECOND);
    let second = take(&mut host, 0, 2, 50 * MS);
    let third = take(&mut host, 0, 3, 50 * MS);
    assert_eq!(host.cancel(10 * MS, second), Some(JobStage::Queued));
    assert_eq!(host.cancel(10 * MS, first), Some(JobStage::Running));
    assert_eq!(host.cancel(10 * MS, first), None);
    assert_eq!(times(&play(&mut host, SECOND)), [(third, 60 * MS)]);
}

#[test]
fn work_stops_when_nobody_waits_for_it_any_more() {
    let mut host = warm(HostSpec { cores: 1, slots: 1, ..plain() });
    let Admission::Accepted(first) = host.submit(0, request(1, SECOND, 100 * MS)) else { panic!() };
    let Admission::Accepted(second) = host.submit(0, request(2, SECOND, 40 * MS)) else { panic!() };
    let third = take(&mut host, 0, 3, 50 * MS);
    assert_eq!(host.submit(5 * MS, request(4, MS, 5 * MS)), Admission::Rejected);
    let endings = [
        FinishedJob { job: second, at: 40 * MS, outcome: JobOutcome::Expired(JobStage::Queued) },
        FinishedJob { job: first, at: 100 * MS, outcome: JobOutcome::Expired(JobStage::Running) },
        FinishedJob { job: third, at: 150 * MS, outcome: JobOutcome::Served },
    ];
    assert_eq!(play(&mut host, SECOND), endings);
}

#[test]
fn holding_too_many_makes_it_less_efficient() {
    let spec = HostSpec { cores: 2, slots: 40, thrash_at: 2.0, thrash: 0.1, ..plain() };
    let mut host = warm(spec);
    let capacity_with = |host: &mut Host, held: u64| {
        while (host.request_count() as u64) < held {
            let id = host.request_count() as u64;
            take(host, 0, id, SECOND);
        }
        host.capacity(0) / SECOND as f64
    };
    assert_eq!(capacity_with(&mut host, 4), 2.0);
    // Three a core is one more than it bears, eight a core is six more.
    assert!((capacity_with(&mut host, 6) - 1.8).abs() < 1e-9);
    assert!((capacity_with(&mut host, 16) - 0.8).abs() < 1e-9);
    assert!((capacity_with(&mut host, 40) - 0.5).abs() < 1e-9);
    let mut finished = Vec::new();
    host.advance(100 * SECOND, &mut finished);
    assert_eq!(finished[0].at, 80 * SECOND);
}

#[test]
fn a_slow_spell_and_a_pause_take_the_time_that_they_should() {
    let mut host = warm(HostSpec { cores: 1, ..plain() });
    let job = take(&mut host, 0, 1, 100 * MS);
    host.set_slowdown(20 * MS, 4.0);
    host.pause(60 * MS, 360 * MS);
    assert_eq!(host.capacity(100 * MS), 0.0);
    host.set_slowdown(400 * MS, 1.0);
    // 20 ms at full speed, 40 ms and 40 ms at a quarter of it: 60 ms of work are left at 400 ms.
    assert_eq!(times(&play(&mut host, SECOND)), [(job, 460 * MS)]);
}

#[test]
fn a_cold_host_warms_up_evenly() {
    let spec = HostSpec { cold_share: 0.25, cold: 10 * SECOND, cores: 1, ..plain() };
    let sturdy = RulesSpec { fall_multiple: 100.0, ..RulesSpec::default() };
    let setup = HostSetup { rules: sturdy, ..setup(spec, true) };
    let mut host = Host::new(setup.clone(), 5 * SECOND);
    let share = |host: &Host, at: Time| host.capacity(5 * SECOND + at) / host.full_capacity();
    assert!((share(&host, 0) - 0.25).abs() < 1e-12);
    assert!((share(&host, 5 * SECOND) - 0.625).abs() < 1e-12);
    assert_eq!([share(&host, 10 * SECOND), share(&host, 20 * SECOND)], [1.0, 1.0]);
    // Over the rise it does 6.25 s of work, then one second a second.
    let job = take(&mut host, 5 * SECOND, 1, 7_250 * MS);
    let [(_, at)] = times(&play(&mut host, 60 * SECOND))[..] else { panic!() };
    assert!(at.abs_diff(16 * SECOND) <= 2, "{at} {job:?}");
    // Half a second of work from the start: 0.25 x + 0.0375 x^2 = 0.5.
    let mut host = Host::new(setup, 0);
    take(&mut host, 0, 1, 500 * MS);
    let [(_, at)] = times(&play(&mut host, 60 * SECOND))[..] else { panic!() };
    let x = (-0.25 + libm::sqrt(0.0625 + 4.0 * 0.0375 * 0.5)) / 0.075;
    assert!((at as f64 / 1e9 - x).abs() < 1e-6, "{at} {x}");
}

#[test]
fn a_new_connection_costs_work_ahead_of_all_requests_and_their_number_is_bounded() {
    let spec = HostSpec { cores: 1, handshake: 10 * MS, connections: 2, ..plain() };
    let mut host = warm(spec);
    assert!(host.connect(0) && host.connect(0));
    assert!(!host.connect(0));
    let job = take(&mut host, 0, 1, 5 * MS);
    assert_eq!(times(&play(&mut host, SECOND)), [(job, 25 * MS)]);
    host.disconnect();
    assert!(host.connect(SECOND));
    assert!((host.utilization_since_last(SECOND) - 0.025).abs() < 1e-9);
}

#[test]
fn a_share_of_what_ran_ends_in_an_error() {
    let mut host = warm(HostSpec { error_rate: 0.2, ..plain() });
    for n in 0..5000 {
        take(&mut host, n * MS, n, 1);
    }
    let finished = play(&mut host, 6 * SECOND);
    let failed = finished.iter().filter(|f| f.outcome == JobOutcome::Failed).count();
    assert!((900..1100).contains(&failed), "{failed}");
}

#[test]
fn a_draining_host_finishes_what_it_has_and_takes_nothing_new() {
    let mut host = warm(plain());
    let job = take(&mut host, 0, 1, 50 * MS);
    host.drain(10 * MS);
    assert_eq!(host.submit(20 * MS, request(2, MS, LATE)), Admission::Rejected);
    assert_eq!(times(&play(&mut host, SECOND)), [(job, 50 * MS)]);
}

#[test]
fn repeats_of_keyed_requests_do_not_run_again_within_their_window() {
    let mut host = warm(plain());
    let keyed = |id| Request { effect: Effect::Keyed(SECOND), ..request(id, 50 * MS, LATE) };
    assert!(matches!(host.submit(0, keyed(1)), Admission::Accepted(_)));
    assert_eq!(host.submit(10 * MS, keyed(1)), Admission::Rejected);
    assert_eq!(host.submit(60 * MS, keyed(1)), Admission::Cached);
    assert!(matches!(host.submit(60 * MS, keyed(2)), Admission::Accepted(_)));
    assert!(matches!(host.submit(1_050 * MS, keyed(1)), Admission::Accepted(_)));
}

/// Offers a share of present capacity for a while; when it fell, and what was lost.
fn flood(host: &mut Host, share: f64, end: Time) -> Option<Time> {
    let mut rng = Rng::stream(3, "flood", 0);
    let mut now = 0;
    let mut finished = Vec::new();
    for n in 0.. {
        let mean = 75.0 * MS as f64;
        let ramp = (0.25 + 0.075 * now as f64 / 1e9).min(1.0);
        now += rng.exponential(mean / (share * ramp * 2.0)) as Span;
        if now > end {
            break;
        }
        let work = rng.lognormal(mean, 0.8) as Span;
        let _ = host.submit(now, request(n, work, now + 600 * MS));
        host.advance(now, &mut finished);
        if host.crashed_by_overload() {
            return Some(now);
        }
    }
    None
}

#[test]
fn a_cold_host_falls_over_under_too_much_work_and_not_at_a_fair_load() {
    let mut host = Host::new(setup(plain(), true), 0);
    let fell = flood(&mut host, 4.0, 20 * SECOND).unwrap();
    assert!(fell < 4 * SECOND, "{fell}");
    let mut host = Host::new(setup(plain(), true), 0);
    assert_eq!(flood(&mut host, 1.2, 20 * SECOND), None);
}

#[test]
fn a_short_heavy_burst_right_after_the_start_is_enough() {
    // 3 x 0.25 x 2 cores x 1.5 s and twice 75 ms: 2.4 s of work.
    let mut host = Host::new(setup(plain(), true), 0);
    for n in 0..24 {
        assert_ne!(host.submit(n, request(n, 100 * MS, LATE)), Admission::Down);
    }
    assert_eq!(host.submit(24, request(24, 100 * MS, LATE)), Admission::Down);
    assert!(host.crashed_by_overload());
}

#[test]
fn work_that_is_turned_away_counts_and_work_before_the_window_does_not() {
    let offer = |host: &mut Host, at: Time| host.submit(at, request(at, 1_200 * MS, at + MS));
    let mut host = Host::new(setup(HostSpec { queue: 0, slots: 1, ..plain() }, true), 0);
    assert!(matches!(offer(&mut host, 0), Admission::Accepted(_)));
    assert_eq!(offer(&mut host, 1), Admission::Rejected);
    assert_eq!(offer(&mut host, 2), Admission::Down);
    let mut host = Host::new(setup(plain(), true), 0);
    for n in 0..6 {
        assert!(matches!(offer(&mut host, n * 760 * MS), Admission::Accepted(_)));
    }
}

#[test]
fn what_counts_against_a_cold_host_is_the_usual_work_of_its_requests() {
    let cold = || Host::new(setup(plain(), true), 0);
    let offer = |host: &mut Host, id, work, usual| {
        host.submit(0, Request { expected_work: usual, ..request(id, work, LATE) })
    };
    let (mut heavy, mut light) = (cold(), cold());
    for id in 0..8 {
        offer(&mut heavy, id, 20 * SECOND, 75 * MS);
        offer(&mut light, id, 75 * MS, 20 * SECOND);
    }
    assert!(!heavy.crashed_by_overload(), "eight requests, whatever they weigh");
    assert!(light.crashed_by_overload());
}

#[test]
fn a_host_that_fell_has_lost_everything_and_stays_down() {
    let mut host = Host::new(setup(HostSpec { slots: 1, ..plain() }, true), 0);
    let in_work = take(&mut host, 0, 1, SECOND);
    let waiting = take(&mut host, 0, 2, SECOND);
    assert_eq!(host.submit(5, request(3, SECOND, LATE)), Admission::Down);
    let lost = [
        FinishedJob { job: in_work, at: 5, outcome: JobOutcome::Lost(JobStage::Running) },
        FinishedJob { job: waiting, at: 5, outcome: JobOutcome::Lost(JobStage::Queued) },
    ];
    assert_eq!(play(&mut host, SECOND), lost);
    assert!(!host.connect(100 * SECOND));
    assert_eq!(host.submit(100 * SECOND, request(4, MS, LATE)), Admission::Down);
    assert_eq!((host.request_count(), host.capacity(100 * SECOND)), (0, 0.0));
}

#[test]
fn a_warm_host_never_falls() {
    let mut host = warm(plain());
    assert_eq!(flood(&mut host, 50.0, 5 * SECOND), None);
    let mut host = Host::new(setup(plain(), true), 0);
    for n in 0..200 {
        let at = 10 * SECOND + n * MS;
        assert_ne!(host.submit(at, request(n, SECOND, LATE)), Admission::Down);
    }
}

#[test]
fn hosts_differ_in_speed_within_the_spread() {
    let full = |number| {
        let spec = HostSpec { speed_spread: 0.15, ..plain() };
        Host::new(HostSetup { number, ..setup(spec, false) }, 0).full_capacity() / 2e9
    };
    let speeds: Vec<f64> = (0..100).map(full).collect();
    assert!(speeds.iter().all(|s| (0.85..1.15).contains(s)));
    assert!(speeds.iter().any(|s| *s < 0.9) && speeds.iter().any(|s| *s > 1.1));
}

/// Takes down an ending: each request that was taken has one.
fn close(open: &mut Vec<JobId>, log: &mut Vec<String>, ended: &FinishedJob) {
    let before = open.len();
    open.retain(|job| *job != ended.job);
    assert_eq!(open.len() + 1, before, "{ended:?}");
    log.push(format!("{ended:?}"));
}

/// Random events; every offer and every ending, in words.
fn random_run(seed: u64) -> Vec<String> {
    let mut rng = Rng::stream(seed, "events", 0);
    let spec = HostSpec { slots: 3, queue: 5, error_rate: 0.1, ..HostSpec::default() };
    let rules = RulesSpec { fall_multiple: rng.between(0.3, 3.0), ..RulesSpec::default() };
    let mut host = Host::new(HostSetup { seed, rules, ..setup(spec, rng.chance(0.5)) }, 0);
    let mut log = Vec::new();
    let mut open: Vec<JobId> = Vec::new();
    let mut now = 0;
    for n in 0..400 {
        now += rng.exponential(20e6) as Span;
        let mut finished = Vec::new();
        host.advance(now, &mut finished);
        finished.drain(..).for_each(|ended| close(&mut open, &mut log, &ended));
        match rng.below(12) {
            0 if !open.is_empty() => {
                let job = open[rng.below(open.len() as u64) as usize];
                assert!(host.cancel(now, job).is_some(), "{job:?} is open");
                open.retain(|other| *other != job);
                log.push(format!("{now} {job:?} cancelled"));
            }
            1 => host.set_slowdown(now, rng.between(0.5, 4.0)),
            2 => host.pause(now, now + rng.below(40) * MS),
            3 => drop(host.connect(now)),
            _ => {
                let work = rng.exponential(40e6) as Span;
                let offer = host.submit(now, request(n, work, now + rng.below(400) * MS));
                log.push(format!("{now} {offer:?}"));
                if let Admission::Accepted(job) = offer {
                    open.push(job);
                }
            }
        }
        if n == 399 {
            now += 10 * SECOND;
        }
        host.advance(now, &mut finished);
        finished.iter().for_each(|ended| close(&mut open, &mut log, ended));
        assert_eq!(host.request_count(), open.len());
    }
    assert_eq!((open.len(), host.next_event()), (0, None));
    log
}

#[test]
fn whatever_happens_each_request_taken_ends_exactly_once() {
    let runs: Vec<Vec<String>> = (0..100).map(random_run).collect();
    let seen = |word: &str| runs.iter().flatten().any(|line| line.contains(word));
    for word in ["Served", "Failed", "Expired", "Lost", "cancelled", "Rejected", "Down"] {
        assert!(seen(word), "{word}");
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    assert_eq!(random_run(5), random_run(5));
    assert_ne!(random_run(5), random_run(6));
}
