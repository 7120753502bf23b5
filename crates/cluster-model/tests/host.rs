//! The model of a host: sharing of the cores, rejection of requests, and overload crashes while warming up.

use cluster_model::host::{Admission, FinishedJob, Host, HostSetup, JobId, JobOutcome, JobStage, Request};
use cluster_model::rng::Rng;
use cluster_model::scenario::{HostSpec, Idempotency, RulesSpec};
use cluster_model::{Span, Time, MS, SECOND};
use std::collections::BTreeMap;

/// Later than the end of any test.
const FAR_DEADLINE: Time = 3600 * SECOND;

/// Two cores without random variation, thrashing or connection costs.
fn plain_spec() -> HostSpec {
    HostSpec { speed_spread: 0.0, thrash_loss: 0.0, handshake: 0, error_rate: 0.0, ..HostSpec::default() }
}

fn host_setup(spec: HostSpec, warming_up: bool) -> HostSetup {
    HostSetup { spec, rules: RulesSpec::default(), mean_work: 75 * MS, number: 0, seed: 7, warming_up }
}

fn warm_host(spec: HostSpec) -> Host {
    Host::new(host_setup(spec, false), 0)
}

fn request(id: u64, work: Span, deadline: Time) -> Request {
    Request { id, work, expected_work: work, deadline, effect: Idempotency::Idempotent }
}

fn submit_accepted(host: &mut Host, now: Time, id: u64, work: Span) -> JobId {
    match host.submit(now, request(id, work, FAR_DEADLINE)) {
        Admission::Accepted(job) => job,
        other => panic!("{other:?}"),
    }
}

/// Advances the host from event to event up to `end`.
fn run_until(host: &mut Host, end: Time) -> Vec<FinishedJob> {
    let mut finished = Vec::new();
    while let Some(at) = host.next_event().filter(|at| *at <= end) {
        host.advance(at, &mut finished);
    }
    host.advance(end, &mut finished);
    finished
}

fn end_times(finished: &[FinishedJob]) -> Vec<(JobId, Time)> {
    finished.iter().map(|f| (f.job, f.at)).collect()
}

#[test]
fn two_requests_share_a_core_evenly() {
    let mut host = warm_host(HostSpec { cores: 1, ..plain_spec() });
    let long = submit_accepted(&mut host, 0, 1, 100 * MS);
    let short = submit_accepted(&mut host, 50 * MS, 2, 30 * MS);
    // From 50 ms on each request runs at half speed: the short one takes 60 ms, after which the long one has 20 ms of
    // work left.
    assert_eq!(end_times(&run_until(&mut host, SECOND)), [(short, 110 * MS), (long, 130 * MS)]);
}

#[test]
fn a_request_uses_at_most_one_core() {
    let mut host = warm_host(HostSpec { cores: 4, speed: 2.0, ..plain_spec() });
    let job = submit_accepted(&mut host, 0, 1, 100 * MS);
    assert_eq!(end_times(&run_until(&mut host, SECOND)), [(job, 50 * MS)]);
}

#[test]
fn the_interval_of_advance_calls_does_not_change_the_outcomes() {
    let run = |step: Span| {
        let mut host = Host::new(host_setup(HostSpec::default(), true), 0);
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
    // Intermediate calls change the rounding by a few nanoseconds.
    for (a, b) in often.iter().zip(&rarely) {
        assert!(a.job == b.job && a.outcome == b.outcome && a.at.abs_diff(b.at) < 100, "{a:?} {b:?}");
    }
}

#[test]
fn throughput_at_saturation_equals_the_capacity() {
    let spec = HostSpec { speed: 1.3, ..plain_spec() };
    let mut host = warm_host(spec);
    let mut rng = Rng::stream(1, "test", 0);
    let mut works = BTreeMap::new();
    let mut done = 0;
    let end = 100 * SECOND;
    for n in 0..4000 {
        let now = n * 25 * MS;
        let work = rng.exponential(75e6).max(1.0) as Span;
        if let Admission::Accepted(job) = host.submit(now, request(n, work, FAR_DEADLINE)) {
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
fn the_queue_is_bounded_and_first_in_first_out() {
    let mut host = warm_host(HostSpec { cores: 1, slots: 2, queue: 3, ..plain_spec() });
    let jobs: Vec<JobId> = (0..5).map(|n| submit_accepted(&mut host, 0, n, 10 * MS)).collect();
    assert_eq!(host.submit(0, request(5, MS, FAR_DEADLINE)), Admission::Rejected);
    assert_eq!(host.request_count(), 5);
    let order: Vec<JobId> = run_until(&mut host, SECOND).iter().map(|f| f.job).collect();
    assert_eq!(order, jobs);
    assert!(matches!(host.submit(SECOND, request(6, MS, FAR_DEADLINE)), Admission::Accepted(_)));
}

#[test]
fn cancelling_a_request_frees_its_capacity() {
    let mut host = warm_host(HostSpec { cores: 1, slots: 1, ..plain_spec() });
    let first = submit_accepted(&mut host, 0, 1, SECOND);
    let second = submit_accepted(&mut host, 0, 2, 50 * MS);
    let third = submit_accepted(&mut host, 0, 3, 50 * MS);
    assert_eq!(host.cancel(10 * MS, second), Some(JobStage::Queued));
    assert_eq!(host.cancel(10 * MS, first), Some(JobStage::Running));
    assert_eq!(host.cancel(10 * MS, first), None);
    assert_eq!(end_times(&run_until(&mut host, SECOND)), [(third, 60 * MS)]);
}

#[test]
fn requests_end_at_their_deadlines() {
    let mut host = warm_host(HostSpec { cores: 1, slots: 1, ..plain_spec() });
    let Admission::Accepted(first) = host.submit(0, request(1, SECOND, 100 * MS)) else { panic!() };
    let Admission::Accepted(second) = host.submit(0, request(2, SECOND, 40 * MS)) else { panic!() };
    let third = submit_accepted(&mut host, 0, 3, 50 * MS);
    assert_eq!(host.submit(5 * MS, request(4, MS, 5 * MS)), Admission::Rejected);
    let expected = [
        FinishedJob { job: second, at: 40 * MS, outcome: JobOutcome::Expired(JobStage::Queued) },
        FinishedJob { job: first, at: 100 * MS, outcome: JobOutcome::Expired(JobStage::Running) },
        FinishedJob { job: third, at: 150 * MS, outcome: JobOutcome::Served },
    ];
    assert_eq!(run_until(&mut host, SECOND), expected);
}

#[test]
fn too_many_requests_reduce_the_efficiency() {
    let spec = HostSpec { cores: 2, slots: 40, thrash_threshold: 2.0, thrash_loss: 0.1, ..plain_spec() };
    let mut host = warm_host(spec);
    let capacity_with = |host: &mut Host, requests: u64| {
        while (host.request_count() as u64) < requests {
            let id = host.request_count() as u64;
            submit_accepted(host, 0, id, SECOND);
        }
        host.capacity(0) / SECOND as f64
    };
    assert_eq!(capacity_with(&mut host, 4), 2.0);
    // The threshold is two per core: three per core exceed it by one, eight per core by six.
    assert!((capacity_with(&mut host, 6) - 1.8).abs() < 1e-9);
    assert!((capacity_with(&mut host, 16) - 0.8).abs() < 1e-9);
    assert!((capacity_with(&mut host, 40) - 0.5).abs() < 1e-9);
    let mut finished = Vec::new();
    host.advance(100 * SECOND, &mut finished);
    assert_eq!(finished[0].at, 80 * SECOND);
}

#[test]
fn a_slowdown_and_a_pause_delay_the_end_accordingly() {
    let mut host = warm_host(HostSpec { cores: 1, ..plain_spec() });
    let job = submit_accepted(&mut host, 0, 1, 100 * MS);
    host.set_slowdown(20 * MS, 4.0);
    host.pause(60 * MS, 360 * MS);
    assert_eq!(host.capacity(100 * MS), 0.0);
    host.set_slowdown(400 * MS, 1.0);
    // 20 ms at full speed, then twice 40 ms at a quarter of it: 60 ms of work are left at 400 ms.
    assert_eq!(end_times(&run_until(&mut host, SECOND)), [(job, 460 * MS)]);
}

#[test]
fn the_capacity_of_a_warming_host_rises_linearly() {
    let spec = HostSpec { warmup_share: 0.25, warmup: 10 * SECOND, cores: 1, ..plain_spec() };
    let tolerant = RulesSpec { overload_factor: 100.0, ..RulesSpec::default() };
    let setup = HostSetup { rules: tolerant, ..host_setup(spec, true) };
    let mut host = Host::new(setup.clone(), 5 * SECOND);
    let share = |host: &Host, at: Time| host.capacity(5 * SECOND + at) / host.full_capacity();
    assert!((share(&host, 0) - 0.25).abs() < 1e-12);
    assert!((share(&host, 5 * SECOND) - 0.625).abs() < 1e-12);
    assert_eq!([share(&host, 10 * SECOND), share(&host, 20 * SECOND)], [1.0, 1.0]);
    // The host does 6.25 s of work during the warm-up, then one second per second.
    let job = submit_accepted(&mut host, 5 * SECOND, 1, 7_250 * MS);
    let [(_, at)] = end_times(&run_until(&mut host, 60 * SECOND))[..] else { panic!() };
    assert!(at.abs_diff(16 * SECOND) <= 2, "{at} {job:?}");
    // Half a second of work from the start: 0.25 x + 0.0375 x^2 = 0.5.
    let mut host = Host::new(setup, 0);
    submit_accepted(&mut host, 0, 1, 500 * MS);
    let [(_, at)] = end_times(&run_until(&mut host, 60 * SECOND))[..] else { panic!() };
    let x = (-0.25 + libm::sqrt(0.0625 + 4.0 * 0.0375 * 0.5)) / 0.075;
    assert!((at as f64 / 1e9 - x).abs() < 1e-6, "{at} {x}");
}

#[test]
fn handshakes_take_precedence_over_requests_and_connections_are_bounded() {
    let spec = HostSpec { cores: 1, handshake: 10 * MS, connections: 2, ..plain_spec() };
    let mut host = warm_host(spec);
    assert!(host.connect(0) && host.connect(0));
    assert!(!host.connect(0));
    let job = submit_accepted(&mut host, 0, 1, 5 * MS);
    assert_eq!(end_times(&run_until(&mut host, SECOND)), [(job, 25 * MS)]);
    host.disconnect();
    assert!(host.connect(SECOND));
    assert!((host.utilization_since_last(SECOND) - 0.025).abs() < 1e-9);
}

#[test]
fn the_error_rate_is_the_share_of_requests_that_fail() {
    let mut host = warm_host(HostSpec { error_rate: 0.2, ..plain_spec() });
    for n in 0..5000 {
        submit_accepted(&mut host, n * MS, n, 1);
    }
    let finished = run_until(&mut host, 6 * SECOND);
    let failed = finished.iter().filter(|f| f.outcome == JobOutcome::Failed).count();
    assert!((900..1100).contains(&failed), "{failed}");
}

#[test]
fn a_draining_host_finishes_accepted_requests_and_rejects_new_ones() {
    let mut host = warm_host(plain_spec());
    let job = submit_accepted(&mut host, 0, 1, 50 * MS);
    host.drain(10 * MS);
    assert_eq!(host.submit(20 * MS, request(2, MS, FAR_DEADLINE)), Admission::Rejected);
    assert_eq!(end_times(&run_until(&mut host, SECOND)), [(job, 50 * MS)]);
}

#[test]
fn repeats_of_keyed_requests_do_not_run_within_the_window() {
    let mut host = warm_host(plain_spec());
    let keyed = |id| Request { effect: Idempotency::Keyed(SECOND), ..request(id, 50 * MS, FAR_DEADLINE) };
    assert!(matches!(host.submit(0, keyed(1)), Admission::Accepted(_)));
    assert_eq!(host.submit(10 * MS, keyed(1)), Admission::Rejected);
    assert_eq!(host.submit(60 * MS, keyed(1)), Admission::Cached);
    assert!(matches!(host.submit(60 * MS, keyed(2)), Admission::Accepted(_)));
    assert!(matches!(host.submit(1_050 * MS, keyed(1)), Admission::Accepted(_)));
}

/// Submits load at a multiple of the current capacity until `end`. Returns when the host crashed, if it did.
fn overload(host: &mut Host, factor: f64, end: Time) -> Option<Time> {
    let mut rng = Rng::stream(3, "flood", 0);
    let mut now = 0;
    let mut finished = Vec::new();
    for n in 0.. {
        let mean = 75.0 * MS as f64;
        let ramp = (0.25 + 0.075 * now as f64 / 1e9).min(1.0);
        now += rng.exponential(mean / (factor * ramp * 2.0)) as Span;
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
fn a_warming_host_crashes_under_overload_and_not_at_a_moderate_load() {
    let mut host = Host::new(host_setup(plain_spec(), true), 0);
    let crashed_at = overload(&mut host, 4.0, 20 * SECOND).unwrap();
    assert!(crashed_at < 4 * SECOND, "{crashed_at}");
    let mut host = Host::new(host_setup(plain_spec(), true), 0);
    assert_eq!(overload(&mut host, 1.2, 20 * SECOND), None);
}

#[test]
fn a_short_burst_right_after_the_start_crashes_the_host() {
    // Budget: 3 x 0.25 x 2 cores x 1.5 s plus twice 75 ms, which is 2.4 s of work.
    let mut host = Host::new(host_setup(plain_spec(), true), 0);
    for n in 0..24 {
        assert_ne!(host.submit(n, request(n, 100 * MS, FAR_DEADLINE)), Admission::Down);
    }
    assert_eq!(host.submit(24, request(24, 100 * MS, FAR_DEADLINE)), Admission::Down);
    assert!(host.crashed_by_overload());
}

#[test]
fn rejected_work_counts_against_the_budget_and_work_before_the_window_does_not() {
    let submit = |host: &mut Host, at: Time| host.submit(at, request(at, 1_200 * MS, at + MS));
    let mut host = Host::new(host_setup(HostSpec { queue: 0, slots: 1, ..plain_spec() }, true), 0);
    assert!(matches!(submit(&mut host, 0), Admission::Accepted(_)));
    assert_eq!(submit(&mut host, 1), Admission::Rejected);
    assert_eq!(submit(&mut host, 2), Admission::Down);
    let mut host = Host::new(host_setup(plain_spec(), true), 0);
    for n in 0..6 {
        assert!(matches!(submit(&mut host, n * 760 * MS), Admission::Accepted(_)));
    }
}

#[test]
fn the_expected_work_counts_against_the_budget_of_a_warming_host() {
    let warming_host = || Host::new(host_setup(plain_spec(), true), 0);
    let submit = |host: &mut Host, id, work, expected_work| {
        host.submit(0, Request { expected_work, ..request(id, work, FAR_DEADLINE) })
    };
    let (mut heavy, mut light) = (warming_host(), warming_host());
    for id in 0..8 {
        submit(&mut heavy, id, 20 * SECOND, 75 * MS);
        submit(&mut light, id, 75 * MS, 20 * SECOND);
    }
    assert!(!heavy.crashed_by_overload(), "actual work does not count");
    assert!(light.crashed_by_overload());
}

#[test]
fn a_crashed_host_loses_all_requests_and_stays_down() {
    let mut host = Host::new(host_setup(HostSpec { slots: 1, ..plain_spec() }, true), 0);
    let running = submit_accepted(&mut host, 0, 1, SECOND);
    let queued = submit_accepted(&mut host, 0, 2, SECOND);
    assert_eq!(host.submit(5, request(3, SECOND, FAR_DEADLINE)), Admission::Down);
    let lost = [
        FinishedJob { job: running, at: 5, outcome: JobOutcome::Lost(JobStage::Running) },
        FinishedJob { job: queued, at: 5, outcome: JobOutcome::Lost(JobStage::Queued) },
    ];
    assert_eq!(run_until(&mut host, SECOND), lost);
    assert!(!host.connect(100 * SECOND));
    assert_eq!(host.submit(100 * SECOND, request(4, MS, FAR_DEADLINE)), Admission::Down);
    assert_eq!((host.request_count(), host.capacity(100 * SECOND)), (0, 0.0));
}

#[test]
fn a_warm_host_never_crashes_by_overload() {
    let mut host = warm_host(plain_spec());
    assert_eq!(overload(&mut host, 50.0, 5 * SECOND), None);
    let mut host = Host::new(host_setup(plain_spec(), true), 0);
    for n in 0..200 {
        let at = 10 * SECOND + n * MS;
        assert_ne!(host.submit(at, request(n, SECOND, FAR_DEADLINE)), Admission::Down);
    }
}

#[test]
fn host_speeds_vary_within_the_spread() {
    let full = |number| {
        let spec = HostSpec { speed_spread: 0.15, ..plain_spec() };
        Host::new(HostSetup { number, ..host_setup(spec, false) }, 0).full_capacity() / 2e9
    };
    let speeds: Vec<f64> = (0..100).map(full).collect();
    assert!(speeds.iter().all(|s| (0.85..1.15).contains(s)));
    assert!(speeds.iter().any(|s| *s < 0.9) && speeds.iter().any(|s| *s > 1.1));
}

/// Logs the end of a request, and checks that it had not ended before.
fn record_end(unfinished: &mut Vec<JobId>, log: &mut Vec<String>, ended: &FinishedJob) {
    let before = unfinished.len();
    unfinished.retain(|job| *job != ended.job);
    assert_eq!(unfinished.len() + 1, before, "{ended:?}");
    log.push(format!("{ended:?}"));
}

/// Runs random events and logs every admission and every end.
fn random_run(seed: u64) -> Vec<String> {
    let mut rng = Rng::stream(seed, "events", 0);
    let spec = HostSpec { slots: 3, queue: 5, error_rate: 0.1, ..HostSpec::default() };
    let rules = RulesSpec { overload_factor: rng.between(0.3, 3.0), ..RulesSpec::default() };
    let mut host = Host::new(HostSetup { seed, rules, ..host_setup(spec, rng.chance(0.5)) }, 0);
    let mut log = Vec::new();
    let mut unfinished: Vec<JobId> = Vec::new();
    let mut now = 0;
    for n in 0..400 {
        now += rng.exponential(20e6) as Span;
        let mut finished = Vec::new();
        host.advance(now, &mut finished);
        finished.drain(..).for_each(|ended| record_end(&mut unfinished, &mut log, &ended));
        match rng.below(12) {
            0 if !unfinished.is_empty() => {
                let job = unfinished[rng.below(unfinished.len() as u64) as usize];
                assert!(host.cancel(now, job).is_some(), "{job:?} is unfinished");
                unfinished.retain(|other| *other != job);
                log.push(format!("{now} {job:?} cancelled"));
            }
            1 => host.set_slowdown(now, rng.between(0.5, 4.0)),
            2 => host.pause(now, now + rng.below(40) * MS),
            3 => drop(host.connect(now)),
            _ => {
                let work = rng.exponential(40e6) as Span;
                let admission = host.submit(now, request(n, work, now + rng.below(400) * MS));
                log.push(format!("{now} {admission:?}"));
                if let Admission::Accepted(job) = admission {
                    unfinished.push(job);
                }
            }
        }
        if n == 399 {
            now += 10 * SECOND;
        }
        host.advance(now, &mut finished);
        finished.iter().for_each(|ended| record_end(&mut unfinished, &mut log, ended));
        assert_eq!(host.request_count(), unfinished.len());
    }
    assert_eq!((unfinished.len(), host.next_event()), (0, None));
    log
}

#[test]
fn each_accepted_request_ends_exactly_once_in_random_runs() {
    let runs: Vec<Vec<String>> = (0..100).map(random_run).collect();
    let occurs = |word: &str| runs.iter().flatten().any(|line| line.contains(word));
    for word in ["Served", "Failed", "Expired", "Lost", "cancelled", "Rejected", "Down"] {
        assert!(occurs(word), "{word}");
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    assert_eq!(random_run(5), random_run(5));
    assert_ne!(random_run(5), random_run(6));
}
