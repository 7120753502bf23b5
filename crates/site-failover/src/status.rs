//! The status of a site, for logs and for operators' queries.

use std::fmt;

use policy::api::Time;

use crate::health::{FailureCount, SiteHealth};
use crate::plan::OperatorOverride;

/// Status of a site, with the figures from which its health is decided.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteStatus {
    /// Name of the site in the operators' files.
    pub name: String,
    /// Health of the site.
    pub health: SiteHealth,
    /// Health set by the operators, if any. In logs: `told ... by hand`.
    pub operator_override: Option<OperatorOverride>,
    /// Fraction of its load that the site may receive, 0 to 1. In logs: `share`.
    pub traffic_fraction: f64,
    /// Time since which the site has this health.
    pub since: Time,
    /// Hosts that discovery lists as ready.
    pub ready_hosts: usize,
    /// Fraction of the fleet's capacity that the site's hosts make up, 0 to 1, as of the last time when all sites were
    /// healthy. In logs: `part`.
    pub capacity_fraction: f64,
    /// Mean rate of attempts over the last minutes.
    pub attempts_per_second: f64,
    /// Fraction of the attempts of the last seconds that failed, 0 to 1.
    pub failure_fraction: f64,
    /// Failures since the last answer.
    pub failures: FailureCount,
}

impl fmt::Display for SiteStatus {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "site {} is {}, share {:.2}, hosts in service {}, part {:.2}, attempts {:.1}/s, failing {:.2}, \
             failures since an answer {} at {} hosts",
            self.name,
            self.health.name(),
            self.traffic_fraction,
            self.ready_hosts,
            self.capacity_fraction,
            self.attempts_per_second,
            self.failure_fraction,
            self.failures.failures,
            self.failures.hosts,
        )?;
        match self.operator_override {
            Some(OperatorOverride::Lost) => write!(f, ", told lost by hand"),
            Some(OperatorOverride::Healthy) => write!(f, ", told whole by hand"),
            None => Ok(()),
        }
    }
}
