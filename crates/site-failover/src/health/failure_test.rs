//! A sequential probability ratio test (Wald) of whether a site has failed, from how attempts at its hosts end.
//!
//! An answer shows that the site is alive, and ends the run of failures. Each failure of a run adds the log-likelihood
//! ratio of a failure at a failed site to one at a healthy site. The failure probability of a healthy site, the
//! baseline, is the highest of four values: a fixed minimum, the site's usual failure fraction, its failure fraction
//! just before the run, and the lowest failure fraction of the other sites that answer. Thus no site counts as failed
//! because of a fault that affects all sites, or of one during which the site keeps answering. The evidence of one host
//! is bounded, so that failures of a single host are not enough, unless it is the site's only one.

use policy::api::{Span, Time};

use super::observations::{FailureRun, SiteObservations};
use crate::time::MILLISECOND;

/// Failure probability of attempts at a failed site. Less than 1, as some attempts are cancelled and not counted.
const FAILURE_PROBABILITY_IF_LOST: f64 = 0.98;
/// Minimum of the failure probability of attempts at a healthy site, however few have failed so far.
const MIN_BASELINE: f64 = 0.1;
/// Failure fraction at or above which another site is not used as a reference.
const MAX_REFERENCE_FAILURES: f64 = 0.5;
/// False alarms per hour and site that the test of one gateway may raise if failures are independent.
const FALSE_ALARMS_PER_HOUR: f64 = 1e-7;
/// Minimum of the rate that the threshold is computed for, in attempts per second.
const MIN_ATTEMPT_RATE: f64 = 0.05;
/// Minimum length of a run of failures; a shorter one may be a network glitch.
const MIN_RUN_LENGTH: Span = 250 * MILLISECOND;
/// Hosts that have to fail before a site is lost, if it has that many.
const MIN_FAILED_HOSTS: usize = 4;
/// Fraction of the threshold from which on a site is suspect.
const SUSPECT_FRACTION: f64 = 0.5;
/// Rounding error by which the evidence may fall short of the threshold.
const EVIDENCE_TOLERANCE: f64 = 1e-9;

const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Evidence that a site has failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FailureEvidence {
    /// Sum of the log-likelihood ratios of the failures in the current run.
    pub evidence: f64,
    /// Evidence at which the site counts as lost.
    pub threshold: f64,
    /// Failure probability of an attempt if the site is healthy.
    pub baseline: f64,
}

impl FailureEvidence {
    /// Returns whether the evidence reaches the threshold: the site is lost.
    pub fn is_conclusive(&self) -> bool {
        self.evidence >= self.threshold - EVIDENCE_TOLERANCE
    }

    /// Returns whether the evidence is large enough to suspect the site.
    pub fn is_suspicious(&self) -> bool {
        self.evidence >= self.threshold * SUSPECT_FRACTION
    }
}

/// Returns the evidence against a site with `ready_hosts` hosts in service, with the `other_sites` that receive load as
/// references. Returns `None` if attempts have not been failing for long enough, or if no other site is a reference.
pub(crate) fn failure_evidence<'a>(
    site: &SiteObservations,
    now: Time,
    ready_hosts: usize,
    other_sites: impl Iterator<Item = &'a SiteObservations>,
) -> Option<FailureEvidence> {
    let run = sustained_run(site, now)?;
    let elsewhere = other_sites
        .filter(|other| is_reference(other, now, run.started))
        .map(|other| other.recent.failure_fraction())
        .min_by(f64::total_cmp)?;
    let usual = site.usual.failure_fraction();
    let baseline = MIN_BASELINE.max(usual).max(site.failure_fraction_before_run).max(elsewhere);
    Some(evidence_of_run(run, site.attempts_per_second, ready_hosts, baseline))
}

/// Returns whether this gateway fails to reach a site with `ready_hosts` hosts in service, whatever other sites do.
pub(crate) fn is_unreachable(site: &SiteObservations, now: Time, ready_hosts: usize) -> bool {
    sustained_run(site, now).is_some_and(|run| {
        evidence_of_run(run, site.attempts_per_second, ready_hosts, MIN_BASELINE).is_conclusive()
    })
}

fn sustained_run(site: &SiteObservations, now: Time) -> Option<&FailureRun> {
    site.failure_run.as_ref().filter(|run| now >= run.started + MIN_RUN_LENGTH)
}

/// Returns whether a site answered in the second half of a run of failures elsewhere, which shows that the network path
/// that the sites share is not the cause of that run.
fn is_reference(other: &SiteObservations, now: Time, run_started: Time) -> bool {
    let second_half = run_started + (now - run_started) / 2;
    other.last_answer.is_some_and(|answered| answered >= second_half)
        && other.recent.failure_fraction() < MAX_REFERENCE_FAILURES
}

fn evidence_of_run(
    run: &FailureRun,
    attempts_per_second: f64,
    ready_hosts: usize,
    baseline: f64,
) -> FailureEvidence {
    let log_likelihood_ratio = libm::log(FAILURE_PROBABILITY_IF_LOST / baseline).max(0.0);
    let tests_per_hour = attempts_per_second.max(MIN_ATTEMPT_RATE) * SECONDS_PER_HOUR;
    let threshold = libm::log(tests_per_hour / FALSE_ALARMS_PER_HOUR);
    let max_per_host = threshold / ready_hosts.clamp(1, MIN_FAILED_HOSTS) as f64;
    let of_host = |failures: &u32| (f64::from(*failures) * log_likelihood_ratio).min(max_per_host);
    FailureEvidence { evidence: run.failures.values().map(of_host).sum(), threshold, baseline }
}
