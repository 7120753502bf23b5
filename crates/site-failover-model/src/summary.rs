//! Summary of one site loss of a simulated scenario, in one row.

use policy::api::Time;
use site_failover::SiteHealth;

use crate::scenario::{Scenario, SECOND};
use crate::simulation::ScenarioResult;

/// Summary of one site loss. Times are in nanoseconds from the start or the end of the loss, and `None` if no gateway
/// reached the state.
#[derive(Clone, Debug, PartialEq)]
pub struct LossSummary {
    /// Times at which the first and the last gateway declared the site lost or unreachable, from the start of the loss,
    /// and the number of gateways that did.
    pub lost: Option<(Time, Time, usize)>,
    /// The same for the start of the recovery, from the end of the loss.
    pub recovering: Option<(Time, Time, usize)>,
    /// The same for the return to healthy, from the end of the loss.
    pub healthy: Option<(Time, Time, usize)>,
    /// Fraction of the requests of each cell answered within the latency objective, during the loss.
    pub served: Vec<f64>,
    /// Fraction of the requests of each cell shed by the shedding tiers, during the loss.
    pub shed: Vec<f64>,
    /// Like `served`, from the end of the loss to the end of the scenario.
    pub served_after: Vec<f64>,
    /// Like `shed`, from the end of the loss to the end of the scenario.
    pub shed_after: Vec<f64>,
    /// Maximum over time of the number of tiers shed, averaged over the gateways.
    pub shedding_level: f64,
    /// Crashes of warming hosts through overload.
    pub crashes: u32,
}

impl LossSummary {
    /// Summarises the loss at index `loss` of the scenario's site losses.
    pub fn of(result: &ScenarioResult, scenario: &Scenario, loss: usize) -> LossSummary {
        let loss = &scenario.site_losses[loss];
        let returned_at = loss.at + loss.duration;
        let transition_times = |targets: &[SiteHealth], from: Time| {
            let mut first = std::collections::BTreeMap::new();
            for change in
                result.health_changes.iter().filter(|change| change.site == loss.site && change.at >= from)
            {
                if targets.contains(&change.current) && change.previous != change.current {
                    first.entry(change.gateway).or_insert(change.at - from);
                }
            }
            Some((*first.values().min()?, *first.values().max()?, first.len()))
        };
        let during = (loss.at / SECOND) as usize..(returned_at / SECOND) as usize;
        let after = during.end..result.seconds.len();
        let fraction = |counts: fn(&crate::SecondStats) -> &Vec<u32>, range: &std::ops::Range<usize>| {
            let seconds =
                &result.seconds[range.start.min(result.seconds.len())..range.end.min(result.seconds.len())];
            let cell_fraction = |cell: usize| {
                let received_total: u32 = seconds.iter().map(|second| second.received[cell]).sum();
                let count: u32 = seconds.iter().map(|second| counts(second)[cell]).sum();
                f64::from(count) / f64::from(received_total.max(1))
            };
            (0..scenario.traffic.cells.len()).map(cell_fraction).collect()
        };
        LossSummary {
            lost: transition_times(&[SiteHealth::Lost, SiteHealth::Unreachable], loss.at),
            recovering: transition_times(&[SiteHealth::Recovering], returned_at),
            healthy: transition_times(&[SiteHealth::Healthy], returned_at),
            served: fraction(|second| &second.served, &during),
            shed: fraction(|second| &second.shed, &during),
            served_after: fraction(|second| &second.served, &after),
            shed_after: fraction(|second| &second.shed, &after),
            shedding_level: result.seconds.iter().map(|second| second.shedding_level).fold(0.0, f64::max),
            crashes: result.seconds.iter().map(|second| second.crashes).sum(),
        }
    }
}
