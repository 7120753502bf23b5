//! The decision state machine of one gateway: consumes events and returns actions.
//!
//! This file only dispatches. [`Policy`] holds the state of all modules; each module modifies its own part in
//! methods of [`Policy`] defined in that module, since most decisions involve several parts.

use crate::admission::state::AdmissionState;
use crate::api::{Action, Event, RequestId, Settings, Time};
use crate::attempts::class_statistics::ClassStatistics;
use crate::attempts::request::InFlightRequest;
use crate::attempts::retry_budget::RetryBudget;
use crate::balancing::host_set::HostSet;
use crate::balancing::pools::Pools;
use crate::concurrency::state::ConcurrencyState;
use crate::quota::counter_client::CounterClient;
use crate::quota::counter_keys::EPOCH;
use crate::quota::customer::GatewayContext;
use crate::quota::customers::Customers;
use crate::rng::Rng;
use crate::timers::{Timer, TimerQueue, CONTROL_PERIOD};
use ::quota::CounterReport;
use std::collections::HashMap;

/// Requests in flight by identifier. The gateway assigns the identifiers, so the hash needs no secret seed.
type RequestMap = HashMap<RequestId, InFlightRequest, rustc_hash::FxBuildHasher>;

/// The decision state machine of one gateway.
pub struct Policy {
    pub(crate) settings: Settings,
    /// Time of the first event; zero before it.
    pub(crate) started_at: Time,
    pub(crate) rng: Rng,
    pub(crate) timers: TimerQueue<Timer>,
    /// Actions returned for the current event.
    pub(crate) actions: Vec<Action>,
    /// Number of records examined since the start.
    pub(crate) work: u64,
    pub(crate) admission: AdmissionState,
    pub(crate) customers: Customers,
    pub(crate) counter: CounterClient,
    pub(crate) concurrency: ConcurrencyState,
    pub(crate) hosts: HostSet,
    pub(crate) pools: Pools,
    pub(crate) requests: RequestMap,
    /// Statistics of the attempts of each class, by index.
    pub(crate) class_statistics: Vec<ClassStatistics>,
    pub(crate) retry_budget: RetryBudget,
}

impl Policy {
    /// Returns the policy of a gateway that has just started, with no hosts or customers.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let context = GatewayContext::new(&settings);
        Policy {
            started_at: 0,
            rng: Rng::seeded(seed),
            timers: TimerQueue::default(),
            actions: Vec::new(),
            work: 0,
            admission: AdmissionState::new(&settings),
            customers: Customers::new(seed, settings.customer_bytes as usize, context),
            counter: CounterClient::new(&settings),
            concurrency: ConcurrencyState::new(&settings),
            hosts: HostSet::default(),
            pools: Pools::new(settings.gateways),
            requests: HashMap::default(),
            class_statistics: settings.classes.iter().map(|_| ClassStatistics::default()).collect(),
            retry_budget: RetryBudget::new(),
            settings,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if self.started_at == 0 {
            self.start(now);
        }
        self.on_event(now, event);
        self.run_expired_timers(now);
        self.assign_freed_capacity(now);
        if let Some(after) = self.timers.arm(now) {
            self.actions.push(Action::SetTimer { after, token: 0 });
        }
        actions.append(&mut self.actions);
    }

    /// Initialises all time measurements and sets the first timers.
    fn start(&mut self, now: Time) {
        self.started_at = now;
        self.hosts.start(now);
        self.concurrency.budget.start(now);
        self.customers.context.start_epoch = now / EPOCH;
        self.timers.schedule(now + CONTROL_PERIOD, Timer::ControlPeriod);
        let first_heartbeat = self.counter.health.first_heartbeat_delay(|| self.rng.unit());
        self.timers.schedule(now + 1 + first_heartbeat, Timer::Heartbeat);
        if self.settings.must_subscribe {
            self.timers.schedule(now + 1, Timer::PollHosts);
        }
    }

    fn on_event(&mut self, now: Time, event: Event) {
        match event {
            Event::HostList { kind, entries } => self.on_host_list(now, kind, entries),
            Event::Request(request) => self.on_request(now, request),
            Event::ResponseStarted { id, .. } => self.on_response_started(id),
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end),
            Event::ClientDisconnected { id } => self.close(id),
            Event::TimerExpired { .. } => self.timers.on_wake_up(now),
            Event::HealthCheckEnded { host, outcome, report } => {
                self.on_host_report(now, host, outcome, report);
            }
            Event::CounterReplied { key, outcome, total, elapsed } => {
                self.on_counter_reply(now, key, outcome, total, elapsed);
            }
            Event::PlansChanged(plans) => self.on_plans_changed(now, plans),
            Event::AdmissionFractionsChanged(fractions) => self.admission.fractions = fractions,
            Event::PeerMessage { .. } => {}
        }
    }

    fn run_expired_timers(&mut self, now: Time) {
        loop {
            let expired = self.timers.pop_expired(now);
            if expired.is_empty() {
                return;
            }
            for timer in expired {
                self.on_timer(now, timer);
            }
        }
    }

    fn on_timer(&mut self, now: Time, timer: Timer) {
        self.work += 1;
        match timer {
            Timer::ControlPeriod => self.on_control_period(now),
            Timer::PollHosts => self.poll_hosts(now),
            Timer::UnitsWait(id) => self.check_waiting_request(now, id),
            Timer::QueueTimeout(id) => self.on_queue_timeout(now, id),
            Timer::RetryDispatch => self.on_retry_dispatch(),
            Timer::AttemptOverdue(id, attempt) => self.on_attempt_overdue(now, id, attempt),
            Timer::HostWarmUp(host) => self.on_host_warm_up(now, host),
            Timer::HostRemoval(host) => self.on_host_removal(now, host),
            Timer::CustomerExpiry => self.review_customers(now),
            Timer::Heartbeat => self.send_heartbeat(now),
            Timer::Reconciliation => self.reconcile(now),
        }
    }

    /// Admits waiting requests of customers whose other requests were closed, and assigns free slots to
    /// queued requests, until neither step frees further capacity.
    fn assign_freed_capacity(&mut self, now: Time) {
        loop {
            self.check_customers(now);
            self.dispatch(now);
            if self.admission.customers_to_check.is_empty() {
                return;
            }
        }
    }

    /// Returns the state of the shared counter as observed by this gateway, and the units granted locally
    /// without it.
    #[must_use]
    pub fn counter_report(&self, now: Time) -> CounterReport {
        if self.counter.is_used {
            self.counter.health.report(now)
        } else {
            CounterReport::default()
        }
    }

    /// Resets the count of locally granted units to zero.
    pub fn clear_local_grants(&mut self) {
        self.counter.health.clear_local_grants();
    }

    /// Returns the number of records in memory: requests, customers, hosts and counter calls in flight.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.requests.len() + self.customers.len() + self.hosts.len() + self.counter.pending_calls.len()
    }

    /// Returns the memory used for customers, in bytes, computed from the constant cost of the full and the
    /// compact form.
    #[must_use]
    pub fn customer_bytes(&self) -> usize {
        self.customers.bytes()
    }

    /// Returns the number of records examined since the start, a machine-independent measure of the cost of
    /// events.
    #[must_use]
    pub fn work(&self) -> u64 {
        self.work
    }
}
