//! The gateway's event loop: owns the decision module, reports events to it, and executes the actions that it returns.
//!
//! This file dispatches events and timers. `decisions` runs the decision module, `requests` keeps the requests in
//! flight and their attempts, `client_ids` the identifiers that clients gave them, `endpoints` applies endpoint lists, reloads and site failover, and `logging` writes the
//! log.

mod client_ids;
mod decisions;
mod endpoints;
mod logging;
mod requests;

pub(crate) use decisions::DecisionModule;

use crate::config::Config;
use crate::counter::log::{named_quotas, CounterLog};
use crate::counter::CounterClient;
use crate::crash_points::{self, CrashPoint};
use crate::discovery::endpoint_list::EndpointList;
use crate::messages::{AttemptKey, CallId, ControlEvent, CounterResult, LifecyclePhase, TrafficEvent};
use crate::request_routing::RequestRouter;
use crate::site_control::SiteControl;
use crate::telemetry::event_loop_delay::EventLoopDelay;
use crate::telemetry::failure_stats::FailureStats;
use crate::telemetry::in_flight::InFlightGauge;
use crate::telemetry::outage_log::OutageLog;
use crate::timers::TimerQueue;
use crate::upstream::{StopReason, Upstream};
use client_ids::ClientIds;
use config_language::model::Operators;
use platform_settings::PlatformSettings;
use policy::api::{Event, HostListKind, RequestId, Settings, Span};
use requests::InFlightRequest;
use runtime::{Env, Sleep};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;

const MS: Span = 1_000_000;
/// Time to wait for an endpoint list from discovery before the cached list is used.
const CACHED_LIST_DELAY: Span = 1_000 * MS;
/// Maximum number of traffic events that are processed in one iteration.
const MAX_BATCH_EVENTS: usize = 128;
/// Control events are polled each time this many traffic events of a batch have been processed: a traffic event can
/// take about 20 microseconds, and a host that starts to drain must be noticed without delay.
const CONTROL_POLL_EVENTS: usize = 16;

/// A timer of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A timer of the decision module, by its token.
    Module(u32),
    /// The deadline of an attempt.
    AttemptDeadline(AttemptKey),
    /// The attempt is cancelled if its request has not been written completely by now.
    WriteBy(AttemptKey),
    /// A request has had no answer for `requests::OVERDUE_GRACE` after its deadline.
    Overdue(RequestId),
    /// The timeout of a call to the counter.
    CounterCall(CallId),
    /// The next tick of the site failover controller.
    Sites,
    /// [`CACHED_LIST_DELAY`] has passed without a list from discovery.
    CachedList,
}

/// The state of the event loop.
pub(crate) struct Gateway<E: Env, D> {
    env: E,
    platform: Arc<PlatformSettings>,
    /// The decision module's settings, with the plans in effect.
    settings: Settings,
    seed: u64,
    module: D,
    upstream: Upstream<E>,
    /// The endpoint list cached before the start, until discovery sends a list or [`CACHED_LIST_DELAY`] has passed. It
    /// is not used at once, because hosts in it may be draining by now.
    cached_endpoints: Option<EndpointList>,
    router: RequestRouter,
    sites: SiteControl,
    /// The operators' files in effect.
    operators: Operators,
    counter: CounterClient<E>,
    requests: FxHashMap<RequestId, InFlightRequest>,
    client_ids: ClientIds,
    timers: TimerQueue<Timer>,
    /// Events that have not been reported to the decision module yet, in order: executing an action can cause events
    /// while other actions have not been executed.
    pending_events: VecDeque<Event>,
    is_notifying: bool,
    counter_log: CounterLog,
    phase: watch::Sender<LifecyclePhase>,
    in_flight: InFlightGauge,
    event_loop_delay: EventLoopDelay,
    failure_stats: FailureStats,
    invalid_entries: OutageLog,
}

impl<E: Env, D: DecisionModule> Gateway<E, D> {
    /// Creates the event loop's state at the start of the process.
    pub fn new(
        env: E,
        config: &Config,
        platform: Arc<PlatformSettings>,
        router: RequestRouter,
        traffic: &UnboundedSender<TrafficEvent>,
        max_host_connections: usize,
        phase: watch::Sender<LifecyclePhase>,
    ) -> Self {
        let settings = Settings {
            plans: router.plans().to_vec(),
            customer_bytes: config.memory_budget().customers as u64,
            ..platform.settings.clone()
        };
        let quotas = named_quotas(&settings, &platform.plan_names, platform.max_request_units);
        let call_timeout = platform.settings.counter_timeout;
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(0);
        let now = env.now();
        let mut gateway = Gateway {
            module: D::start(settings.clone(), config.seed),
            upstream: Upstream::new(env.clone(), platform.clone(), traffic.clone(), max_host_connections),
            cached_endpoints: None,
            platform,
            sites: SiteControl::new(router.failover_plan(), &settings, config.seed, now),
            router,
            operators: config.operators.clone(),
            counter: CounterClient::new(env.clone(), config.counter, traffic.clone(), call_timeout),
            settings,
            seed: config.seed,
            requests: FxHashMap::default(),
            client_ids: ClientIds::new(longest_deadline),
            timers: TimerQueue::new(),
            pending_events: VecDeque::new(),
            is_notifying: false,
            counter_log: CounterLog::new(now, quotas),
            phase,
            in_flight: InFlightGauge::default(),
            event_loop_delay: EventLoopDelay::default(),
            failure_stats: FailureStats::new(now),
            invalid_entries: OutageLog::default(),
            env,
        };
        if config.cached_endpoints.endpoints.is_empty() {
            gateway.apply_endpoints(&config.cached_endpoints, HostListKind::Cached);
        } else {
            gateway.cached_endpoints = Some(config.cached_endpoints.clone());
            gateway.timers.set(gateway.env.now() + CACHED_LIST_DELAY, Timer::CachedList);
        }
        gateway
    }

    /// Returns the number of requests without a final answer.
    pub fn in_flight(&self) -> InFlightGauge {
        self.in_flight.clone()
    }

    /// Runs until the process ends. Control events are processed before traffic events, regardless of how many of those
    /// are queued.
    pub async fn run(
        mut self,
        mut control: UnboundedReceiver<ControlEvent>,
        mut traffic: UnboundedReceiver<TrafficEvent>,
    ) {
        let mut batch = Vec::with_capacity(MAX_BATCH_EVENTS);
        let sleep = self.env.sleep(0);
        tokio::pin!(sleep);
        let mut is_sleep_armed = true;
        loop {
            // The sleep is only ever rescheduled to an earlier time. If its timer is cancelled, it expires once without
            // effect, which costs less than rescheduling it for each request.
            let next_timer = self.timers.next();
            if let Some(at) = next_timer.filter(|at| !is_sleep_armed || *at < sleep.deadline()) {
                sleep.as_mut().reset(at);
                is_sleep_armed = true;
            }
            tokio::select! {
                biased;
                Some(event) = control.recv() => self.on_control(event),
                count = traffic.recv_many(&mut batch, MAX_BATCH_EVENTS) => if count == 0 { return },
                () = &mut sleep, if is_sleep_armed => is_sleep_armed = false,
            }
            for (index, event) in batch.drain(..).enumerate() {
                if index % CONTROL_POLL_EVENTS == 0 {
                    while let Ok(event) = control.try_recv() {
                        self.on_control(event);
                    }
                }
                self.on_traffic(event);
            }
            self.fire_timers();
            self.update_sites();
            self.log_counter_state();
            self.log_failure_summary();
        }
    }

    fn on_control(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Reload(reload) => self.on_reload(*reload),
            ControlEvent::DiscoveryReachable(is_reachable) => {
                self.sites.on_discovery_reachable(self.env.now(), is_reachable);
            }
            ControlEvent::EndpointList(list) => self.on_endpoint_list(list),
        }
        self.report_finished();
    }

    fn on_traffic(&mut self, event: TrafficEvent) {
        match event {
            TrafficEvent::Request(incoming) => self.on_request(*incoming),
            TrafficEvent::ClientDisconnected(id) => self.on_client_disconnected(id),
            TrafficEvent::Host(event) => self.upstream.on_event(event),
            TrafficEvent::Counter(event) => {
                if let Some(result) = self.counter.on_event(event) {
                    crash_points::crash_if_armed(CrashPoint::Counted);
                    self.timers.cancel(result.deadline, Timer::CounterCall(result.call));
                    self.on_counter_result(&result);
                }
            }
        }
        self.report_finished();
    }

    fn on_counter_result(&mut self, result: &CounterResult) {
        let CounterResult { key, outcome, total, elapsed, .. } = *result;
        self.notify(Event::CounterReplied { key, outcome, total, elapsed });
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.pop_expired(self.env.now()) {
            match timer {
                Timer::Module(token) => self.notify(Event::TimerExpired { token }),
                Timer::AttemptDeadline(key) => self.upstream.stop(key, StopReason::TimedOut),
                Timer::WriteBy(key) => self.upstream.cancel_unwritten(key),
                Timer::Overdue(id) => self.on_overdue(id),
                Timer::CounterCall(call) => {
                    if let Some(result) = self.counter.time_out(call) {
                        self.on_counter_result(&result);
                    }
                }
                // `run` updates the sites after all timers have fired.
                Timer::Sites => {}
                Timer::CachedList => self.use_cached_endpoints(),
            }
            self.report_finished();
        }
    }
}

#[cfg(test)]
mod tests;
