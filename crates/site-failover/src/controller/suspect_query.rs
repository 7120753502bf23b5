//! Requests that are sent to a suspect site on purpose. Load balancing avoids hosts that failed, so without such
//! requests the evidence against the site would stop growing.

use policy::api::{Span, Time};

use super::site_table::SiteTable;
use crate::time::{MILLISECOND, SECOND};

/// Minimum of the span between two of these requests.
const MIN_INTERVAL: Span = 200 * MILLISECOND;
/// Upper bound of the fraction of the gateway's attempts that these requests make up.
const MAX_FRACTION: f64 = 0.25;
/// Lower bound of the rate of attempts that the interval is computed from, in attempts per second.
const MIN_RATE: f64 = 0.1;
/// Consecutive failures from which on a site is suspect.
pub(super) const MIN_FAILURES: u32 = 3;
/// Number of hosts at which these failures have to occur.
const MIN_FAILED_HOSTS: usize = 2;

/// The site that the next of these requests goes to.
#[derive(Clone, Copy, Debug)]
struct Query {
    site: usize,
    next_at: Time,
}

/// Requests that are sent to a suspect site on purpose.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SuspectQueries {
    query: Option<Query>,
}

impl SuspectQueries {
    /// Forgets the suspect site.
    pub fn clear(&mut self) {
        self.query = None;
    }

    /// Chooses the suspect site with the most failures. A site is suspect only if another one is available for its
    /// load.
    pub fn update(&mut self, table: &SiteTable, now: Time) {
        let sites = (0..table.states.len()).filter(|site| is_suspect(table, *site));
        let suspect = sites.max_by_key(|site| table.observations[*site].failure_count().failures);
        let next_at = self.query.map_or(now, |query| query.next_at);
        self.query = suspect.map(|site| Query { site, next_at });
    }

    /// Returns the suspect site if a request is to be sent there, and schedules the next one.
    pub fn next_query(&mut self, table: &SiteTable, now: Time) -> Option<usize> {
        let query = self.query.as_mut().filter(|query| now >= query.next_at)?;
        query.next_at = now + interval(table);
        Some(query.site)
    }
}

fn is_suspect(table: &SiteTable, site: usize) -> bool {
    let count = table.observations[site].failure_count();
    count.failures >= MIN_FAILURES
        && count.hosts >= MIN_FAILED_HOSTS
        && !table.states[site].is_excluded()
        && table.is_another_available(site)
}

fn interval(table: &SiteTable) -> Span {
    let rate: f64 = table.observations.iter().map(|site| site.attempts_per_second).sum();
    let by_rate = SECOND as f64 / (MAX_FRACTION * rate.max(MIN_RATE));
    MIN_INTERVAL.max(by_rate as Span)
}
