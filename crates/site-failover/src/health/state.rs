//! States of a site's health.

/// Health of a site as one gateway sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SiteHealth {
    /// The site receives all of its load. In logs: `whole`.
    Healthy,
    /// The site responds, but takes much longer than usual and than other sites do. It keeps its load.
    Slow,
    /// There is evidence against the site, but too little to act on. It keeps its load. In logs: `doubtful`.
    Suspect,
    /// This gateway cannot reach the site, and does not know whether other gateways reach it. In logs: `cut off from
    /// here`.
    Unreachable,
    /// The site has failed: it receives health probes only.
    Lost,
    /// Health probes succeed; the recovery has not started yet. In logs: `tried`.
    Probing,
    /// The site receives a growing fraction of its load. In logs: `returning`.
    Recovering,
}

impl SiteHealth {
    /// Returns the name of the state in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            SiteHealth::Healthy => "whole",
            SiteHealth::Slow => "slow",
            SiteHealth::Suspect => "doubtful",
            SiteHealth::Unreachable => "cut off from here",
            SiteHealth::Lost => "lost",
            SiteHealth::Probing => "tried",
            SiteHealth::Recovering => "returning",
        }
    }
}
