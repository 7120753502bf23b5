//! Scenarios: the fleet, its traffic and the faults to simulate.

use policy::api::{Span, Time};
use site_failover::{FailoverPlan, FailoverTarget, SheddingTier, SheddingTiers, Site};

/// One second, in nanoseconds.
pub(crate) const SECOND: Span = 1_000_000_000;
/// One millisecond, in nanoseconds.
pub(crate) const MILLISECOND: Span = 1_000_000;

/// How attempts at hosts of a lost site fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureMode {
    /// Hosts do not answer, so that attempts time out.
    Silent,
    /// Hosts refuse connections.
    Refused,
    /// Connections are reset.
    Reset,
}

/// How a lost site returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnMode {
    /// All hosts return at once, at full capacity.
    Warm,
    /// All hosts return just started, and warm up.
    Cold,
    /// Half of the hosts return just started; the others stay down.
    Half,
    /// All hosts return at a third of their speed.
    Slow,
    /// The site alternates between up and down six times, 10 s each; then it stays up. Its hosts restart each time.
    Flapping,
}

/// The loss of a site.
#[derive(Clone, Copy, Debug)]
pub struct SiteLoss {
    /// Index of the site in the plan.
    pub site: usize,
    /// Start of the loss.
    pub at: Time,
    /// Duration of the loss.
    pub duration: Span,
    /// How attempts at its hosts fail during the loss.
    pub failure: FailureMode,
    /// How the site returns.
    pub return_mode: ReturnMode,
}

/// Requests of the clients.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Requests per second, over all gateways.
    pub rate: f64,
    /// Share of each cell in the traffic; the index of a cell is `class * plans + plan`.
    pub cells: Vec<f64>,
    /// Cells whose requests are not idempotent and must not be executed twice.
    pub non_idempotent_cells: Vec<usize>,
    /// How many times a client repeats a request that was rejected or failed, 1 to 3 s later each time.
    pub max_client_retries: u32,
}

/// Background faults outside of site losses, as fractions of the attempts.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// Fraction of attempts that end in a connection reset.
    pub connection_resets: f64,
    /// Fraction of attempts that the host answers with an error.
    pub host_errors: f64,
}

/// How gateways redirect the load of a lost site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverMode {
    /// By the failover plan and each gateway's own failure detection.
    Plan,
    /// Only by the backoff that each gateway keeps for each host, without a failover plan.
    HostByHost,
}

/// All inputs of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The failover plan. Each site needs a capacity; hosts are allocated in proportion, so that they are about equal.
    pub plan: FailoverPlan,
    /// Number of gateways; they are placed round-robin in the first zone of each site.
    pub gateways: u32,
    /// Number of hosts of a site of mean capacity.
    pub hosts: u64,
    /// Requests of the clients.
    pub traffic: Traffic,
    /// Losses of sites.
    pub site_losses: Vec<SiteLoss>,
    /// Background faults outside of the site losses.
    pub fault_rates: FaultRates,
    /// How gateways redirect the load of a lost site.
    pub failover_mode: FailoverMode,
    /// Fraction of its capacity that a host has at its start; it grows to 1 over `warm_up`.
    pub initial_capacity_fraction: f64,
    /// Time from the start of a host to its full capacity.
    pub warm_up: Span,
    /// Simulated time.
    pub duration: Span,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl Scenario {
    /// Returns a scenario of three sites with half as much capacity again as their load, so that two of them just carry
    /// all of it. Of the four classes, the last is not idempotent and is in no shedding tier, so that it is
    /// rejected last.
    pub fn three_sites(gateways: u32, rate: f64) -> Scenario {
        let site = |number: usize| Site {
            name: ["north", "south", "west"][number].to_string(),
            zones: vec![number as u32],
            capacity: Some(rate / 2.0),
            load: Some(rate / 3.0),
            headroom: 0.05,
            failover_targets: (0..3)
                .filter(|other| *other != number)
                .map(|site| FailoverTarget { site, fraction: 0.5 })
                .collect(),
            recovery_ramp: 60 * SECOND,
            operator_override: None,
        };
        let tier =
            |name: &str, cell, floor| SheddingTier { name: name.to_string(), cells: vec![cell], floor };
        let tiers = vec![tier("batch", 0, 0.0), tier("browse", 1, 0.3), tier("search", 2, 0.5)];
        Scenario {
            plan: FailoverPlan {
                sites: (0..3).map(site).collect(),
                shedding: SheddingTiers { tiers, classes: 4, plans: 1 },
            },
            gateways,
            hosts: 6,
            traffic: Traffic {
                rate,
                cells: vec![0.3, 0.4, 0.2, 0.1],
                non_idempotent_cells: vec![3],
                max_client_retries: 1,
            },
            site_losses: vec![],
            fault_rates: FaultRates { connection_resets: 0.01, host_errors: 0.02 },
            failover_mode: FailoverMode::Plan,
            initial_capacity_fraction: 0.2,
            warm_up: 30 * SECOND,
            duration: 120 * SECOND,
            seed: 1,
        }
    }

    /// Returns a scenario for an operators' plan at its peak hour: the request rate is the sum of its sites' loads, and
    /// `cells` are the shares of the cells. Returns `None` if a site has no capacity or no load.
    pub fn from_plan(
        plan: FailoverPlan,
        gateways: u32,
        cells: Vec<f64>,
        non_idempotent_cells: Vec<usize>,
    ) -> Option<Scenario> {
        let capacity_and_load =
            |site: &Site| Some((site.capacity.filter(|c| *c > 0.0)?, site.load.filter(|l| *l > 0.0)?));
        let loads: Option<Vec<(f64, f64)>> = plan.sites.iter().map(capacity_and_load).collect();
        let rate: f64 = loads.filter(|loads| !loads.is_empty())?.iter().map(|(_, load)| load).sum();
        let three_sites = Scenario::three_sites(gateways, rate);
        Some(Scenario {
            traffic: Traffic { cells, non_idempotent_cells, ..three_sites.traffic.clone() },
            plan,
            ..three_sites
        })
    }

    /// Returns the same scenario with one loss, of the first site.
    pub fn with_first_site_lost(
        self,
        at: Time,
        duration: Span,
        failure: FailureMode,
        return_mode: ReturnMode,
    ) -> Scenario {
        Scenario { site_losses: vec![SiteLoss { site: 0, at, duration, failure, return_mode }], ..self }
    }
}
