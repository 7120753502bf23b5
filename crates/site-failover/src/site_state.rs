//! The state machine of one site: its health, and how much of its load it receives.
//!
//! Health and traffic are two dimensions. A site whose health becomes `Slow` or `Suspect` keeps the traffic that it
//! has; [`SiteState::exclude`] excludes it, [`SiteState::start_recovery`] lets it back in by a ramp, and
//! [`SiteState::admit_fully`] restores all of its load.

use policy::api::{HostId, Span, Time};

use crate::health::SiteHealth;
use crate::recovery::{
    ProbeTurns, Probing, RampInput, RampProgress, RampSpeed, RecoveryBackoff, RecoveryRamp,
};
use crate::time::SECOND;

/// Time for which a recovery waits while discovery is silent or the counter in doubt; then it continues at half speed.
const MAX_WAIT_IN_DOUBT: Span = 30 * SECOND;

/// How much of its load a site receives.
#[derive(Clone, Debug)]
enum Traffic {
    /// All of its load.
    Full,
    /// No load but health probes.
    Excluded(Probing),
    /// A fraction of its load, which a recovery ramp determines.
    Ramping(RecoveryRamp),
}

/// Exclusion of a site's hosts from new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Exclusion {
    /// The one host that is not excluded, as it is being probed.
    pub probed_host: Option<HostId>,
}

impl Exclusion {
    /// Returns whether a host of the site is excluded.
    pub fn excludes(&self, host: HostId) -> bool {
        self.probed_host != Some(host)
    }
}

/// State of one site at one gateway.
#[derive(Clone, Debug)]
pub(crate) struct SiteState {
    health: SiteHealth,
    /// Time since which the site has this health.
    since: Time,
    traffic: Traffic,
    capacity_fraction: f64,
    probe_turns: ProbeTurns,
    backoff: RecoveryBackoff,
}

impl SiteState {
    /// Returns the state of a healthy site, for which this gateway's turns to probe begin at `first_turn`.
    pub fn new(now: Time, first_turn: Time) -> SiteState {
        SiteState {
            health: SiteHealth::Healthy,
            since: now,
            traffic: Traffic::Full,
            capacity_fraction: 0.0,
            probe_turns: ProbeTurns::starting_at(first_turn),
            backoff: RecoveryBackoff::new(),
        }
    }

    /// Returns the health of the site.
    pub fn health(&self) -> SiteHealth {
        self.health
    }

    /// Returns the time since which the site has its health.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Returns the fraction of the fleet's capacity that the site's hosts make up, 0 to 1.
    pub fn capacity_fraction(&self) -> f64 {
        self.capacity_fraction
    }

    /// Sets the fraction of the fleet's capacity that the site's hosts make up, 0 to 1.
    pub fn set_capacity_fraction(&mut self, fraction: f64) {
        self.capacity_fraction = fraction;
    }

    /// Returns whether the site's hosts are excluded from new requests.
    pub fn is_excluded(&self) -> bool {
        matches!(self.traffic, Traffic::Excluded(_))
    }

    /// Returns whether the site receives all of its load, so that it may take over that of others.
    pub fn has_full_traffic(&self) -> bool {
        matches!(self.traffic, Traffic::Full)
    }

    /// Returns whether the site receives all of its load and is reachable, so that the fleet's capacity is not reduced.
    pub fn is_fully_available(&self) -> bool {
        self.has_full_traffic() && self.health != SiteHealth::Unreachable
    }

    /// Returns the fraction of its load that the site may receive, 0 to 1.
    pub fn traffic_fraction(&self) -> f64 {
        match &self.traffic {
            Traffic::Full => 1.0,
            Traffic::Excluded(_) => 0.0,
            Traffic::Ramping(ramp) => ramp.traffic_fraction(),
        }
    }

    /// Returns the exclusion of the site's hosts, if they are excluded.
    pub fn exclusion(&self) -> Option<Exclusion> {
        match &self.traffic {
            Traffic::Excluded(probing) => Some(Exclusion { probed_host: probing.host() }),
            Traffic::Full | Traffic::Ramping(_) => None,
        }
    }

    /// Returns whether a request may go to the site, given the request's uniform draw from `[0, 1)`. Of the site's
    /// share of all requests, at most the traffic fraction is admitted.
    pub fn admits(&self, draw: f64, is_idempotent: bool) -> bool {
        match &self.traffic {
            Traffic::Full => true,
            Traffic::Excluded(_) => false,
            Traffic::Ramping(ramp) => ramp.admits(draw, self.capacity_fraction, is_idempotent),
        }
    }

    /// Uses a request as the health probe if one is open, and returns whether it does.
    pub fn start_probe(&mut self, now: Time) -> bool {
        match &mut self.traffic {
            Traffic::Excluded(probing) => probing.start_probe(now),
            Traffic::Full | Traffic::Ramping(_) => false,
        }
    }

    /// Returns whether a health probe has succeeded or failed, so that the site's state may change.
    pub fn is_probe_finished(&self) -> bool {
        match &self.traffic {
            Traffic::Excluded(probing) => probing.is_probe_finished(),
            Traffic::Full | Traffic::Ramping(_) => false,
        }
    }

    /// Observes the end of an attempt at a host of the site.
    pub fn on_attempt_ended(&mut self, now: Time, host: HostId, is_answered: bool, response_time: Span) {
        match &mut self.traffic {
            Traffic::Full => {}
            Traffic::Excluded(probing) => probing.on_attempt_ended(now, host, is_answered),
            Traffic::Ramping(ramp) => ramp.on_attempt_ended(host, is_answered, response_time),
        }
    }

    /// Sets the health without changing the traffic, and returns whether the health has changed.
    pub fn set_health(&mut self, now: Time, health: SiteHealth) -> bool {
        if self.health == health {
            return false;
        }
        self.health = health;
        self.since = now;
        true
    }

    /// Excludes the site, which is lost or unreachable.
    pub fn exclude(&mut self, now: Time, health: SiteHealth) {
        let is_recovering = matches!(self.traffic, Traffic::Ramping(_));
        self.backoff.on_lost(now, is_recovering);
        self.set_health(now, health);
        self.traffic = Traffic::Excluded(Probing::default());
    }

    /// Keeps a site that operators have set to lost excluded and without probes, and returns whether its health has
    /// changed.
    pub fn hold_excluded(&mut self, now: Time) -> bool {
        self.traffic = Traffic::Excluded(Probing::default());
        self.set_health(now, SiteHealth::Lost)
    }

    /// Restores all of the site's load at once.
    pub fn admit_fully(&mut self, now: Time, health: SiteHealth) {
        self.set_health(now, health);
        self.traffic = Traffic::Full;
    }

    /// Resets the backoff of recoveries once the site has been healthy for long.
    pub fn reset_backoff_if_healthy(&mut self, now: Time) {
        if self.health == SiteHealth::Healthy {
            self.backoff.on_healthy(now, self.since);
        }
    }

    /// Probes an excluded site that has the hosts `ready`, and returns whether enough of them answer for a recovery.
    /// `turn_interval` is the span between two of this gateway's turns.
    pub fn probe(&mut self, now: Time, ready: &[HostId], turn_interval: Span) -> bool {
        let Traffic::Excluded(probing) = &mut self.traffic else { return false };
        probing.tick(now, ready, &mut self.probe_turns, turn_interval);
        probing.is_answering(now, ready.len(), turn_interval)
    }

    /// Returns whether a recovery may start: the backoff has expired, and no doubt about the control plane delays it.
    /// `in_doubt_since` is the time since which discovery is silent or the counter in doubt.
    pub fn may_recover(&self, now: Time, in_doubt_since: Option<Time>) -> bool {
        let is_waiting = self.doubt_wait_end(in_doubt_since).is_some_and(|wait_end| now < wait_end);
        self.backoff.has_expired(now) && !is_waiting
    }

    /// Starts a recovery of the site by a ramp.
    pub fn start_recovery(&mut self, now: Time) {
        self.set_health(now, SiteHealth::Recovering);
        self.traffic = Traffic::Ramping(RecoveryRamp::default());
        self.backoff.on_recovery_started(now);
    }

    /// Returns the speed of the recovery ramp.
    pub fn ramp_speed(
        &self,
        now: Time,
        in_doubt_since: Option<Time>,
        is_another_recovering: bool,
    ) -> RampSpeed {
        match self.doubt_wait_end(in_doubt_since) {
            Some(wait_end) if now < wait_end => RampSpeed::Paused,
            Some(_) => RampSpeed::Half,
            None if is_another_recovering => RampSpeed::Half,
            None => RampSpeed::Full,
        }
    }

    /// Advances the recovery ramp. A site whose ramp is complete is healthy.
    pub fn advance_ramp(&mut self, now: Time, input: &RampInput) -> RampProgress {
        let Traffic::Ramping(ramp) = &mut self.traffic else { return RampProgress::Unchanged };
        let progress = ramp.tick(input);
        if progress == RampProgress::Complete {
            self.admit_fully(now, SiteHealth::Healthy);
        }
        progress
    }

    /// Returns the time until which a recovery waits for the doubt to end, counted from the later of two times: when
    /// the doubt began, and when the site entered its present health.
    fn doubt_wait_end(&self, in_doubt_since: Option<Time>) -> Option<Time> {
        in_doubt_since.map(|since| since.max(self.since) + MAX_WAIT_IN_DOUBT)
    }
}
