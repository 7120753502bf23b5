//! The load that all gateways together put on the counter, the hosts and discovery. Each event costs a few
//! additions; only the sums at the end iterate over recorded values.

use crate::FleetFigures;
use cluster_model::scenario::Site;
use cluster_model::{Span, Time};

#[derive(Debug)]
pub(crate) struct Fleet {
    start: Time,
    gateways: u32,
    counter_timeout: Span,
    handshake: Span,
    /// Time when the last request was sent.
    last_request: Time,
    calls: u64,
    rejected: u64,
    unanswered: u64,
    read_only: u64,
    health_checks: u64,
    opened: u64,
    open: u64,
    peak_open: u64,
    lists: u64,
    watches: u64,
    messages: u64,
    /// Times from the last byte of a request to the first byte of its first attempt.
    first_attempt_delays: Vec<Span>,
}

/// A call to the counter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterCall {
    pub(crate) amount: f64,
    pub(crate) answered: bool,
    pub(crate) rejected: bool,
    /// Time from the arrival of the call to the end of the response.
    pub(crate) duration: Span,
}

/// Traffic between a gateway and discovery.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DiscoveryTraffic {
    List,
    Watch,
    Message,
}

impl Fleet {
    pub(crate) fn new(site: &Site, start: Time) -> Fleet {
        Fleet {
            start,
            gateways: site.gateways,
            counter_timeout: site.counter.timeout,
            handshake: site.host.handshake,
            last_request: start,
            calls: 0,
            rejected: 0,
            unanswered: 0,
            read_only: 0,
            health_checks: 0,
            opened: 0,
            open: 0,
            peak_open: 0,
            lists: 0,
            watches: 0,
            messages: 0,
            first_attempt_delays: Vec::new(),
        }
    }

    /// Returns whether events at this time are counted: before the first request the gateways only start up.
    fn is_counted(&self, now: Time) -> bool {
        now >= self.start
    }

    pub(crate) fn request_sent(&mut self, now: Time) {
        self.last_request = self.last_request.max(now);
    }

    pub(crate) fn counter_call(&mut self, now: Time, call: CounterCall) {
        if !self.is_counted(now) {
            return;
        }
        self.calls += 1;
        self.rejected += u64::from(call.rejected);
        // The caller ignores a response that arrives after its timeout.
        let answered_in_time = call.answered && call.duration <= self.counter_timeout;
        self.unanswered += u64::from(!answered_in_time && !call.rejected);
        self.read_only += u64::from(call.amount == 0.0);
    }

    pub(crate) fn health_check(&mut self, now: Time) {
        self.health_checks += u64::from(self.is_counted(now));
    }

    pub(crate) fn connection_opened(&mut self, now: Time) {
        self.opened += u64::from(self.is_counted(now));
        self.open += 1;
        self.peak_open = self.peak_open.max(self.open);
    }

    pub(crate) fn connection_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    pub(crate) fn discovery_traffic(&mut self, now: Time, traffic: DiscoveryTraffic) {
        let sum = match traffic {
            DiscoveryTraffic::List => &mut self.lists,
            DiscoveryTraffic::Watch => &mut self.watches,
            DiscoveryTraffic::Message => &mut self.messages,
        };
        *sum += u64::from(now >= self.start);
    }

    pub(crate) fn first_attempt(&mut self, sent_at: Time, first_byte: Time) {
        self.first_attempt_delays.push(first_byte.saturating_sub(sent_at));
    }

    /// Returns the figures. `forwarded` and `beyond` are the units forwarded, and those beyond quotas; `requests` and
    /// `rejected` are all requests, and those rejected although quota was available.
    pub(crate) fn finish(
        mut self,
        (forwarded, beyond): (f64, f64),
        (requests, rejected): (u64, u64),
    ) -> FleetFigures {
        let seconds = (self.last_request - self.start) as f64 / 1e9;
        let rate = |count: u64| if seconds > 0.0 { count as f64 / seconds } else { 0.0 };
        let ratio = |part: f64, total: f64| if total > 0.0 { part / total } else { 0.0 };
        let share_of_calls = |part: u64| ratio(part as f64, self.calls as f64);
        self.first_attempt_delays.sort_unstable();
        let delays = &self.first_attempt_delays;
        let percentile = |percent: usize| {
            let rank = (delays.len() * percent).div_ceil(100);
            delays.get(rank.saturating_sub(1)).map_or(0.0, |span| *span as f64 / 1e6)
        };
        FleetFigures {
            gateways: self.gateways,
            counter_calls_per_s: rate(self.calls),
            counter_rejected: share_of_calls(self.rejected),
            counter_unanswered: share_of_calls(self.unanswered),
            counter_read_only: share_of_calls(self.read_only),
            health_checks_per_s: rate(self.health_checks),
            connections_per_s: rate(self.opened),
            peak_open_connections: self.peak_open,
            handshake_cores: rate(self.opened) * self.handshake as f64 / 1e9,
            list_calls_per_s: rate(self.lists),
            watches_per_s: rate(self.watches),
            list_lines_per_s: rate(self.messages),
            beyond_quota: ratio(beyond, forwarded),
            rejected_with_quota: ratio(rejected as f64, requests as f64),
            first_attempt_p50_ms: percentile(50),
            first_attempt_p99_ms: percentile(99),
        }
    }
}
