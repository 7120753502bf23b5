//! What all gateways together ask of the counter, of hosts and of discovery. A few additions an event, and no
//! walk over anything but what is summed at the end.

use crate::FleetFigures;
use cluster_model::scenario::Site;
use cluster_model::{Span, Time};

#[derive(Debug)]
pub(crate) struct Fleet {
    start: Time,
    gateways: u32,
    counter_timeout: Span,
    handshake: Span,
    /// When the last try was asked.
    last: Time,
    calls: u64,
    turned_away: u64,
    unanswered: u64,
    only_read: u64,
    probes: u64,
    opened: u64,
    open: u64,
    most_open: u64,
    lists: u64,
    watches: u64,
    list_lines: u64,
    /// From the last byte of a try to the first of its first attempt.
    first_attempts: Vec<Span>,
}

/// A call to the counter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) amount: f64,
    pub(crate) answered: bool,
    pub(crate) turned_away: bool,
    /// From its coming to the end of its answer.
    pub(crate) took: Span,
}

/// What a gateway asked of discovery or was told by it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum News {
    List,
    Watch,
    Line,
}

impl Fleet {
    pub(crate) fn new(site: &Site, start: Time) -> Fleet {
        Fleet {
            start,
            gateways: site.gateways,
            counter_timeout: site.counter.timeout,
            handshake: site.host.handshake,
            last: start,
            calls: 0,
            turned_away: 0,
            unanswered: 0,
            only_read: 0,
            probes: 0,
            opened: 0,
            open: 0,
            most_open: 0,
            lists: 0,
            watches: 0,
            list_lines: 0,
            first_attempts: Vec::new(),
        }
    }

    /// Before the first request the counter takes no calls, and gateways get ready.
    fn counts(&self, now: Time) -> bool {
        now >= self.start
    }

    pub(crate) fn asked(&mut self, now: Time) {
        self.last = self.last.max(now);
    }

    pub(crate) fn counted(&mut self, now: Time, call: Call) {
        if !self.counts(now) {
            return;
        }
        self.calls += 1;
        self.turned_away += u64::from(call.turned_away);
        // An answer that comes after the caller's time-out is none to it.
        let heard = call.answered && call.took <= self.counter_timeout;
        self.unanswered += u64::from(!heard && !call.turned_away);
        self.only_read += u64::from(call.amount == 0.0);
    }

    pub(crate) fn probed(&mut self, now: Time) {
        self.probes += u64::from(self.counts(now));
    }

    pub(crate) fn connected(&mut self, now: Time) {
        self.opened += u64::from(self.counts(now));
        self.open += 1;
        self.most_open = self.most_open.max(self.open);
    }

    pub(crate) fn disconnected(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    pub(crate) fn news(&mut self, now: Time, news: News) {
        let sum = match news {
            News::List => &mut self.lists,
            News::Watch => &mut self.watches,
            News::Line => &mut self.list_lines,
        };
        *sum += u64::from(now >= self.start);
    }

    pub(crate) fn first_attempt(&mut self, asked: Time, first_byte: Time) {
        self.first_attempts.push(first_byte.saturating_sub(asked));
    }

    /// `passed` and `beyond`: units sent on, and beyond quotas; `tries` and `refused`: all, and those refused
    /// with room in the quota.
    pub(crate) fn finish(
        mut self,
        (passed, beyond): (f64, f64),
        (tries, refused): (u64, u64),
    ) -> FleetFigures {
        let seconds = (self.last - self.start) as f64 / 1e9;
        let rate = |count: u64| if seconds > 0.0 { count as f64 / seconds } else { 0.0 };
        let of = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        let of_calls = |part: u64| of(part as f64, self.calls as f64);
        self.first_attempts.sort_unstable();
        let waits = &self.first_attempts;
        let of_100 = |share: usize| {
            let rank = (waits.len() * share).div_ceil(100);
            waits.get(rank.saturating_sub(1)).map_or(0.0, |span| *span as f64 / 1e6)
        };
        FleetFigures {
            gateways: self.gateways,
            counter_calls_per_s: rate(self.calls),
            counter_rejected: of_calls(self.turned_away),
            counter_unanswered: of_calls(self.unanswered),
            counter_read_only: of_calls(self.only_read),
            health_checks_per_s: rate(self.probes),
            connections_per_s: rate(self.opened),
            peak_open_connections: self.most_open,
            handshake_cores: rate(self.opened) * self.handshake as f64 / 1e9,
            list_calls_per_s: rate(self.lists),
            watches_per_s: rate(self.watches),
            list_lines_per_s: rate(self.list_lines),
            beyond_quota: of(beyond, passed),
            rejected_with_quota: of(refused as f64, tries as f64),
            first_attempt_p50_ms: of_100(50),
            first_attempt_p99_ms: of_100(99),
        }
    }
}
