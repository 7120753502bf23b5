//! Learns for how long an idle connection to a host may be reused. Hosts and middleboxes drop idle connections
//! silently, and a request that is written to a dropped connection fails with a reset. Such a request may have been
//! executed, so one that is not idempotent cannot be retried and fails. The gateway therefore learns from the idle
//! times after which connections worked or turned out to be dropped: a limit per host, and one of all hosts together
//! for hosts without evidence.

use policy::api::{Span, Time};

const MS: Span = 1_000_000;
/// Connections may always be reused after this idle time.
const MIN_LIMIT: Span = 10 * MS;
/// Growth of the limit after each successful reuse near it. In equilibrium, about one in twenty-five of such reuses
/// finds a dropped connection.
const GROWTH: f64 = 1.04;
/// The limit also doubles in this time without any reuse: with few requests no connection is reused near the limit, and
/// a single dropped connection would otherwise prevent all later reuse. At one request per second, one in a hundred
/// requests finds a dropped connection because of this.
const DOUBLING_TIME: Span = 4_000 * MS;
/// Doublings after which the limit is beyond any maximum.
const MAX_DOUBLINGS: f64 = 64.0;
/// Factor on the limit when an idle connection closes, possibly due to the host's own idle timeout.
const ENDED_FACTOR: f64 = 0.9;
/// Requests that are not idempotent reuse connections up to this fraction of the limit (one in 4): a new connection
/// costs a round trip and some work at the host, while a dropped connection costs the request.
const NOT_IDEMPOTENT_DIVISOR: u64 = 4;

/// A limit on the idle time, valid at the time `at`.
#[derive(Clone, Copy, Debug)]
struct ReuseLimit {
    limit: Span,
    at: Time,
}

impl ReuseLimit {
    /// Returns the limit including its growth up to now.
    fn current(self, now: Time, maximum: Span) -> Span {
        let doublings = now.saturating_sub(self.at) as f64 / DOUBLING_TIME as f64;
        let grown = self.limit as f64 * doublings.min(MAX_DOUBLINGS).exp2();
        if grown < maximum as f64 {
            grown as Span
        } else {
            maximum
        }
    }

    /// Returns the limit after the successful reuse of a connection that had been idle for this long.
    fn after_success(self, now: Time, idle: Span, maximum: Span) -> ReuseLimit {
        let current = self.current(now, maximum);
        let grown = if idle > current / 2 { (current as f64 * GROWTH) as Span } else { current };
        ReuseLimit { limit: grown.min(maximum), at: now }
    }
}

/// The limit of one host; `None` if the limit of all hosts together applies.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HostIdleReuse(Option<ReuseLimit>);

/// The limit of all hosts together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleReuse {
    maximum: Span,
    all_hosts: ReuseLimit,
}

impl IdleReuse {
    /// Starts with the maximum idle time, after which the gateway closes connections.
    pub fn new(maximum: Span) -> IdleReuse {
        IdleReuse { maximum, all_hosts: ReuseLimit { limit: maximum, at: 0 } }
    }

    fn host_limit(&self, now: Time, host: HostIdleReuse) -> Span {
        host.0.unwrap_or(self.all_hosts).current(now, self.maximum)
    }

    /// Returns the idle time from which on a connection to a host may no longer be reused for a request.
    pub fn limit(&self, now: Time, host: HostIdleReuse, is_idempotent: bool) -> Span {
        let limit = self.host_limit(now, host);
        if is_idempotent {
            limit
        } else {
            limit / NOT_IDEMPOTENT_DIVISOR
        }
    }

    /// Records the successful reuse of a connection after this idle time.
    pub fn on_success(&mut self, now: Time, host: &mut HostIdleReuse, idle: Span) {
        let maximum = self.maximum;
        self.all_hosts = self.all_hosts.after_success(now, idle, maximum);
        let own = host.0.map(|limit| limit.after_success(now, idle, maximum));
        // A host whose limit has reached the maximum again needs no separate limit.
        host.0 = own.filter(|limit| limit.limit < maximum);
    }

    /// Records that a request found a connection dropped after this idle time.
    pub fn on_dropped(&mut self, now: Time, host: &mut HostIdleReuse, idle: Span) {
        if idle > MIN_LIMIT {
            let reduced = |limit: Span| ReuseLimit { limit: limit.min(idle / 2).max(MIN_LIMIT), at: now };
            host.0 = Some(reduced(self.host_limit(now, *host)));
            self.all_hosts = reduced(self.all_hosts.current(now, self.maximum));
        }
    }

    /// Records that an idle connection closed after this idle time.
    pub fn on_ended(&self, now: Time, host: &mut HostIdleReuse, idle: Span) {
        let limit = self.host_limit(now, *host);
        if (MIN_LIMIT..limit).contains(&idle) {
            let reduced = ((limit as f64 * ENDED_FACTOR) as Span).max(MIN_LIMIT);
            host.0 = Some(ReuseLimit { limit: reduced, at: now });
        }
    }
}

#[cfg(test)]
mod tests;
