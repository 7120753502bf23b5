//! Latencies, hosts, and the run second by second.

use crate::{seconds, HostFigures, Latency, SecondFigures};
use cluster_model::observation::HostOutcome;
use cluster_model::{Span, Time, SECOND};
use std::collections::BTreeMap;

/// How a try ended, for the second in which it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Served,
    Late,
    Refused,
    Failed,
}

#[derive(Debug)]
pub(crate) struct Figures {
    start: Time,
    plans: usize,
    hosts: BTreeMap<u32, HostFigures>,
    /// Of served tries, by class.
    latencies: Vec<Vec<Span>>,
    seconds: Vec<SecondFigures>,
    /// How many gateways were up from which second on.
    gateways: Vec<(usize, u32)>,
    events: Vec<(f64, String)>,
    /// Tries that came to a gateway that ran.
    tries: u64,
    attempts: u64,
    counter_calls: u64,
}

impl Figures {
    pub(crate) fn new(start: Time, classes: usize, plans: usize, gateways: u32) -> Figures {
        Figures {
            start,
            plans,
            hosts: BTreeMap::new(),
            latencies: vec![Vec::new(); classes],
            seconds: Vec::new(),
            gateways: vec![(0, gateways)],
            events: Vec::new(),
            tries: 0,
            attempts: 0,
            counter_calls: 0,
        }
    }

    /// Position of the second of `at`; what was before the first request counts to the first second.
    fn position(&self, at: Time) -> usize {
        (at.saturating_sub(self.start) / SECOND) as usize
    }

    fn second(&mut self, at: Time) -> &mut SecondFigures {
        let position = self.position(at);
        self.reach(position + 1);
        &mut self.seconds[position]
    }

    fn reach(&mut self, count: usize) {
        let plans = self.plans;
        let empty =
            || SecondFigures { units: vec![0.0; plans], quota: vec![0.0; plans], ..Default::default() };
        if self.seconds.len() < count {
            self.seconds.resize_with(count, empty);
        }
    }

    fn host(&mut self, host: u32) -> &mut HostFigures {
        self.hosts.entry(host).or_insert_with(|| HostFigures { host, ..HostFigures::default() })
    }

    pub(crate) fn asked(&mut self, now: Time, running: bool) {
        self.second(now).offered += 1;
        self.tries += u64::from(running);
    }

    pub(crate) fn ended(&mut self, now: Time, end: End) {
        let second = self.second(now);
        let count = match end {
            End::Served => &mut second.served,
            End::Late => &mut second.late,
            End::Refused => &mut second.refused,
            End::Failed => &mut second.failed,
        };
        *count += 1;
    }

    pub(crate) fn latency(&mut self, class: usize, latency: Span) {
        self.latencies[class].push(latency);
    }

    /// Units were passed on, or turned out to be more by so many.
    pub(crate) fn passed(&mut self, at: Time, plan: usize, units: f64) {
        self.second(at).units[plan] += units;
    }

    pub(crate) fn received(&mut self, host: u32) {
        self.attempts += 1;
        self.host(host).received += 1;
    }

    pub(crate) fn dealt(&mut self, host: u32, dealt: HostOutcome) {
        match dealt {
            HostOutcome::Served => self.host(host).served += 1,
            HostOutcome::Rejected => self.host(host).rejected += 1,
            HostOutcome::Failed | HostOutcome::Dropped | HostOutcome::Undelivered => {}
        }
    }

    pub(crate) fn started(&mut self, host: u32) {
        self.host(host);
    }

    pub(crate) fn connected(&mut self, host: u32) {
        self.host(host).connections += 1;
    }

    pub(crate) fn fell(&mut self, host: u32) {
        self.host(host).overload_crashed = true;
    }

    pub(crate) fn load(&mut self, now: Time, host: u32, share: f64) {
        let busy = &mut self.second(now).busy;
        let position = host as usize;
        if busy.len() <= position {
            busy.resize(position + 1, None);
        }
        busy[position] = Some(share.clamp(0.0, 1.0));
    }

    pub(crate) fn counted(&mut self, now: Time) {
        self.counter_calls += 1;
        self.second(now).counter_calls += 1;
    }

    /// So many gateways run from now on.
    pub(crate) fn gateways_up(&mut self, now: Time, count: u32) {
        let position = self.position(now);
        self.gateways.push((position, count));
    }

    pub(crate) fn event(&mut self, now: Time, text: &str) {
        self.events.push((seconds(self.start, now), text.to_owned()));
    }

    pub(crate) fn take_events(&mut self) -> Vec<(f64, String)> {
        std::mem::take(&mut self.events)
    }

    pub(crate) fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.tries.max(1) as f64
    }

    pub(crate) fn counter_calls_per_request(&self) -> f64 {
        self.counter_calls as f64 / self.tries.max(1) as f64
    }

    pub(crate) fn hosts(&self) -> Vec<HostFigures> {
        self.hosts.values().cloned().collect()
    }

    /// By class.
    pub(crate) fn latencies(&mut self) -> Vec<Latency> {
        std::mem::take(&mut self.latencies).into_iter().map(latency).collect()
    }

    /// Up to `end`. `newcomers`: when customers were first seen, and their plans; `rates`: what plans grant.
    pub(crate) fn timeline(
        mut self,
        end: Time,
        newcomers: impl Iterator<Item = (Time, usize)>,
        rates: &[f64],
    ) -> Vec<SecondFigures> {
        let span = end.saturating_sub(self.start);
        self.reach(span.div_ceil(SECOND) as usize);
        for (at, plan) in newcomers {
            self.second(at).quota[plan] += rates[plan];
        }
        let hosts = self.seconds.iter().map(|second| second.busy.len()).max().unwrap_or(0);
        let mut granted = vec![0.0; self.plans];
        let mut gateways = self.gateways.iter().peekable();
        let mut up = 0;
        for (position, second) in self.seconds.iter_mut().enumerate() {
            for (quota, granted) in second.quota.iter_mut().zip(&mut granted) {
                *granted += *quota;
                *quota = *granted;
            }
            while let Some((_, count)) = gateways.next_if(|(from, _)| *from <= position) {
                up = *count;
            }
            second.gateways_up = up;
            second.busy.resize(hosts, None);
        }
        self.seconds
    }
}

/// Exact: the smallest latency that so many of 100 do not exceed.
fn latency(mut all: Vec<Span>) -> Latency {
    all.sort_unstable();
    let ms = |span: Span| span as f64 / 1e6;
    let of_100 = |share: usize| {
        let rank = (all.len() * share).div_ceil(100);
        all.get(rank.saturating_sub(1)).copied().map_or(0.0, ms)
    };
    Latency {
        p50_ms: of_100(50),
        p95_ms: of_100(95),
        p99_ms: of_100(99),
        max_ms: all.last().copied().map_or(0.0, ms),
    }
}
