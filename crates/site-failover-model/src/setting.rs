//! What is played.

use policy::api::{Span, Time};
use site_failover::{FailoverPlan, FailoverTarget, SheddingTier, SheddingTiers, Site};

/// One second, in nanoseconds.
pub(crate) const SECOND: Span = 1_000_000_000;
/// One millisecond, in nanoseconds.
pub(crate) const MILLISECOND: Span = 1_000_000;

/// How hosts of a lost site answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// Not at all.
    Silent,
    /// Connections are refused.
    Refused,
    /// Connections break.
    Reset,
}

/// How a site comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Back {
    /// All its hosts, warm, at once.
    Warm,
    /// All its hosts, just started.
    Cold,
    /// Half its hosts, just started; the others stay away.
    Half,
    /// All its hosts, at a third of their speed.
    Slow,
    /// It comes and goes each 10 s, six times; then it stays, just started.
    Flapping,
}

/// The loss of a site.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    /// Its number in the plan.
    pub site: usize,
    /// When.
    pub at: Time,
    /// For how long.
    pub lasts: Span,
    /// How its hosts answer meanwhile.
    pub down: Down,
    /// How it comes back.
    pub back: Back,
}

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Requests a second, over the fleet.
    pub rate: f64,
    /// Part of each cell (class times plans, plus plan) in it.
    pub cells: Vec<f64>,
    /// Cells whose requests must not run twice.
    pub unsafe_cells: Vec<usize>,
    /// Clients that were refused or failed come again so often, after 1 to 3 s.
    pub again: u32,
}

/// What goes wrong on ordinary days: shares of attempts.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// Connections that break.
    pub breaks: f64,
    /// Errors of hosts.
    pub errors: f64,
}

/// Where the load of a lost site goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spill {
    /// As the plan and each gateway's own verdict say.
    Plan,
    /// Nothing but what each gateway learns host by host.
    HostByHost,
}

/// All that is played.
#[derive(Clone, Debug)]
pub struct Setting {
    /// The plan. Hosts are dealt out by the sites' capacities, which have to be given, so that they are about equal.
    pub plan: FailoverPlan,
    /// Gateways; they stand in the sites' first zones in turn.
    pub gateways: u32,
    /// Hosts of a site of mean capacity.
    pub hosts: u64,
    /// What is asked for.
    pub traffic: Traffic,
    /// What is lost.
    pub losses: Vec<Loss>,
    /// What goes wrong anyway.
    pub trouble: Trouble,
    /// Where the load goes.
    pub spill: Spill,
    /// A fresh host has this share of its capacity, and all of it after `cold`.
    pub cold_share: f64,
    /// How long a host is cold.
    pub cold: Span,
    /// How long it is played.
    pub lasts: Span,
    /// For all chance.
    pub seed: u64,
}

impl Setting {
    /// Three sites that have half as much capacity again as they are asked for, so that two of them just carry all of
    /// it; four classes, of which the last must not run twice and is refused last.
    pub fn usual(gateways: u32, rate: f64) -> Setting {
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
        let rung =
            |name: &str, cell, floor| SheddingTier { name: name.to_string(), cells: vec![cell], floor };
        let rungs = vec![rung("batch", 0, 0.0), rung("browse", 1, 0.3), rung("search", 2, 0.5)];
        Setting {
            plan: FailoverPlan {
                sites: (0..3).map(site).collect(),
                shedding: SheddingTiers { tiers: rungs, classes: 4, plans: 1 },
            },
            gateways,
            hosts: 6,
            traffic: Traffic { rate, cells: vec![0.3, 0.4, 0.2, 0.1], unsafe_cells: vec![3], again: 1 },
            losses: vec![],
            trouble: Trouble { breaks: 0.01, errors: 0.02 },
            spill: Spill::Plan,
            cold_share: 0.2,
            cold: 30 * SECOND,
            lasts: 120 * SECOND,
            seed: 1,
        }
    }

    /// An operators' plan at its busiest hour: as much is asked for as its sites' loads say, in these parts by cell.
    /// Nothing if a site has no capacity or no load in it.
    pub fn of_plan(
        plan: FailoverPlan,
        gateways: u32,
        cells: Vec<f64>,
        unsafe_cells: Vec<usize>,
    ) -> Option<Setting> {
        let said = |site: &Site| Some((site.capacity.filter(|c| *c > 0.0)?, site.load.filter(|l| *l > 0.0)?));
        let loads: Option<Vec<(f64, f64)>> = plan.sites.iter().map(said).collect();
        let rate: f64 = loads.filter(|loads| !loads.is_empty())?.iter().map(|(_, load)| load).sum();
        let usual = Setting::usual(gateways, rate);
        Some(Setting { traffic: Traffic { cells, unsafe_cells, ..usual.traffic.clone() }, plan, ..usual })
    }

    /// The same with the first site lost.
    pub fn losing(self, at: Time, lasts: Span, down: Down, back: Back) -> Setting {
        Setting { losses: vec![Loss { site: 0, at, lasts, down, back }], ..self }
    }
}
