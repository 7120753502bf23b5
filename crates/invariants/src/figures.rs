//! Statistics of latencies and hosts, and of the run second by second.

use crate::{seconds, HostFigures, Latency, SecondFigures};
use cluster_model::observation::HostOutcome;
use cluster_model::{Span, Time, SECOND};
use std::collections::BTreeMap;

/// The end of a request, counted in the second in which it occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    Served,
    Late,
    Rejected,
    Failed,
}

#[derive(Debug)]
pub(crate) struct Figures {
    start: Time,
    plans: usize,
    hosts: BTreeMap<u32, HostFigures>,
    /// Latencies of served requests, by class.
    latencies: Vec<Vec<Span>>,
    seconds: Vec<SecondFigures>,
    /// Number of running gateways, with the second from which it applies.
    running_gateways: Vec<(usize, u32)>,
    events: Vec<(f64, String)>,
    /// Requests that arrived at a running gateway.
    requests: u64,
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
            running_gateways: vec![(0, gateways)],
            events: Vec::new(),
            requests: 0,
            attempts: 0,
            counter_calls: 0,
        }
    }

    /// Returns the index of the second of `at`; times before the first request count to the first second.
    fn position(&self, at: Time) -> usize {
        (at.saturating_sub(self.start) / SECOND) as usize
    }

    fn second(&mut self, at: Time) -> &mut SecondFigures {
        let position = self.position(at);
        self.extend_to(position + 1);
        &mut self.seconds[position]
    }

    fn extend_to(&mut self, count: usize) {
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

    pub(crate) fn request_sent(&mut self, now: Time, running: bool) {
        self.second(now).offered += 1;
        self.requests += u64::from(running);
    }

    pub(crate) fn request_ended(&mut self, now: Time, end: RequestEnd) {
        let second = self.second(now);
        let count = match end {
            RequestEnd::Served => &mut second.served,
            RequestEnd::Late => &mut second.late,
            RequestEnd::Rejected => &mut second.refused,
            RequestEnd::Failed => &mut second.failed,
        };
        *count += 1;
    }

    pub(crate) fn record_latency(&mut self, class: usize, latency: Span) {
        self.latencies[class].push(latency);
    }

    /// Records forwarded units, or a correction of that number.
    pub(crate) fn units_forwarded(&mut self, at: Time, plan: usize, units: f64) {
        self.second(at).units[plan] += units;
    }

    pub(crate) fn attempt_received(&mut self, host: u32) {
        self.attempts += 1;
        self.host(host).received += 1;
    }

    pub(crate) fn attempt_ended(&mut self, host: u32, outcome: HostOutcome) {
        match outcome {
            HostOutcome::Served => self.host(host).served += 1,
            HostOutcome::Rejected => self.host(host).rejected += 1,
            HostOutcome::Failed | HostOutcome::Dropped | HostOutcome::Undelivered => {}
        }
    }

    pub(crate) fn host_started(&mut self, host: u32) {
        self.host(host);
    }

    pub(crate) fn connection_opened(&mut self, host: u32) {
        self.host(host).connections += 1;
    }

    pub(crate) fn host_crashed(&mut self, host: u32) {
        self.host(host).overload_crashed = true;
    }

    pub(crate) fn host_load(&mut self, now: Time, host: u32, utilization: f64) {
        let busy = &mut self.second(now).busy;
        let position = host as usize;
        if busy.len() <= position {
            busy.resize(position + 1, None);
        }
        busy[position] = Some(utilization.clamp(0.0, 1.0));
    }

    pub(crate) fn counter_call(&mut self, now: Time) {
        self.counter_calls += 1;
        self.second(now).counter_calls += 1;
    }

    /// Records the number of gateways that run from now on.
    pub(crate) fn set_running_gateways(&mut self, now: Time, count: u32) {
        let position = self.position(now);
        self.running_gateways.push((position, count));
    }

    pub(crate) fn event(&mut self, now: Time, text: &str) {
        self.events.push((seconds(self.start, now), text.to_owned()));
    }

    pub(crate) fn take_events(&mut self) -> Vec<(f64, String)> {
        std::mem::take(&mut self.events)
    }

    pub(crate) fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.requests.max(1) as f64
    }

    pub(crate) fn counter_calls_per_request(&self) -> f64 {
        self.counter_calls as f64 / self.requests.max(1) as f64
    }

    pub(crate) fn hosts(&self) -> Vec<HostFigures> {
        self.hosts.values().cloned().collect()
    }

    /// Takes the latencies, by class.
    pub(crate) fn latencies(&mut self) -> Vec<Latency> {
        std::mem::take(&mut self.latencies).into_iter().map(latency).collect()
    }

    /// Returns the seconds up to `end`. `first_seen` holds the time of the first request and the plan of each
    /// customer, `rates` the units a second that each plan grants.
    pub(crate) fn timeline(
        mut self,
        end: Time,
        first_seen: impl Iterator<Item = (Time, usize)>,
        rates: &[f64],
    ) -> Vec<SecondFigures> {
        let duration = end.saturating_sub(self.start);
        self.extend_to(duration.div_ceil(SECOND) as usize);
        for (at, plan) in first_seen {
            self.second(at).quota[plan] += rates[plan];
        }
        let hosts = self.seconds.iter().map(|second| second.busy.len()).max().unwrap_or(0);
        let mut granted = vec![0.0; self.plans];
        let mut gateways = self.running_gateways.iter().peekable();
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

/// Returns exact percentiles: the p-th is the smallest latency that p % of the requests do not exceed.
fn latency(mut all: Vec<Span>) -> Latency {
    all.sort_unstable();
    let ms = |span: Span| span as f64 / 1e6;
    let percentile = |percent: usize| {
        let rank = (all.len() * percent).div_ceil(100);
        all.get(rank.saturating_sub(1)).copied().map_or(0.0, ms)
    };
    Latency {
        p50_ms: percentile(50),
        p95_ms: percentile(95),
        p99_ms: percentile(99),
        max_ms: all.last().copied().map_or(0.0, ms),
    }
}
