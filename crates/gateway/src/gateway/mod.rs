//! The gateway: owns the decision module, tells it what happens and carries out what it asks for. Each
//! request is kept here until its one final answer has left and its attempts have ended.

use crate::client::call::Call;
use crate::config::Config;
use crate::counter::log::{quotas, CounterLog, Line};
use crate::counter::Counter;
use crate::crash_points::{self, CrashPoint};
use crate::discovery::endpoint_list::Membership;
use crate::lifecycle::reload::Reload;
use crate::messages::{Answer, AttemptKey, CallId, Counted, Incoming, Input, News, Phase, ReplyTo};
use crate::request_routing::{Routing, Unusable};
use crate::site_control::Watch;
use crate::telemetry::event_loop_delay::{Lag, Said};
use crate::telemetry::failure_stats::{self, Cause, Losses, Tried};
use crate::telemetry::in_flight::Unanswered;
use crate::telemetry::outage_log::Outage;
use crate::timers::Timers;
use crate::upstream::{Finished, Hosts, Order};
use bytes::Bytes;
use config_language::model::Operators;
use platform_settings::PlatformSettings;
use policy::api::*;
use policy::policy::Policy;
use quota::CounterReport;
use runtime::{Env, Sleep};
use rustc_hash::FxHashMap;
use site_failover::FailoverUpdate;
use std::collections::{HashSet, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;

const MS: Span = 1_000_000;
/// A request that the module still holds this long after its client's time is failed: none is lost.
const OVERDUE: Span = 10 * MS;
/// Without news of the hosts, the list known before the start has to do after this.
const KNOWN_WILL_DO: Span = 1_000 * MS;
const BATCH: usize = 128;
/// News is looked for after so many of a batch: each may take some twenty microseconds, and a drain is not to wait.
const BETWEEN_NEWS: usize = 16;

/// Whoever decides: the decision module, or one that a test puts in its place.
pub(crate) trait Decisions: Send + 'static {
    fn start(settings: Settings, seed: u64) -> Self;
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
    /// What the counter looks like, and what rests on this gateway's word, for people.
    fn counter_report(&self, _now: Time) -> CounterReport {
        CounterReport::default()
    }
    /// Counts from here on what rests on this gateway's word.
    fn forget_lent(&mut self) {}
}

impl Decisions for Policy {
    fn start(settings: Settings, seed: u64) -> Self {
        Policy::new(settings, seed)
    }
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Policy::handle(self, now, event, actions);
    }
    fn counter_report(&self, now: Time) -> CounterReport {
        Policy::counter_report(self, now)
    }
    fn forget_lent(&mut self) {
        Policy::clear_local_grants(self);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u32),
    Attempt(AttemptKey),
    /// What is not whole with its host by then is not sent any more.
    WriteBy(AttemptKey),
    Overdue(RequestId),
    Call(CallId),
    Sites,
    Ready,
}

struct InHand {
    call: Arc<Call>,
    reply: Option<ReplyTo>,
    deadline: Time,
    route: Route,
    attempts: u32,
    out: u32,
    class: usize,
    plan: usize,
    arrived: Time,
    /// Of an answer within its aim.
    worth: f64,
    /// Attempts that ended without a value.
    tried: Vec<Tried>,
}

/// One gateway.
pub(crate) struct Gateway<E: Env, D> {
    env: E,
    site: Arc<PlatformSettings>,
    settings: Settings,
    seed: u64,
    module: D,
    hosts: Hosts<E>,
    /// The list known before the start, until the first one comes or it has to do: hosts in it may drain by now.
    known: Option<Membership>,
    routing: Routing,
    sites: Watch,
    /// What the operators' files in force say.
    operators: Operators,
    counter: Counter<E>,
    requests: FxHashMap<RequestId, InHand>,
    /// Ids that clients gave to the requests held. They choose them, so the set's own seed is random; nothing
    /// is ever done in its order.
    open: HashSet<u64>,
    timers: Timers<Timer>,
    /// What the module has yet to be told, in order: carrying out one action may bring news while others of
    /// the same turn still wait.
    news: VecDeque<Event>,
    telling: bool,
    counter_log: CounterLog,
    phase: watch::Sender<Phase>,
    unanswered: Unanswered,
    lag: Lag,
    losses: Losses,
    /// When a list last held entries that cannot be read whole.
    unreadable: Outage,
}

impl<E: Env, D: Decisions> Gateway<E, D> {
    pub fn new(
        env: E,
        config: &Config,
        site: Arc<PlatformSettings>,
        routing: Routing,
        inputs: &UnboundedSender<Input>,
        most_conns: usize,
        phase: watch::Sender<Phase>,
    ) -> Self {
        let patience = site.settings.counter_timeout;
        let customer_bytes = config.budget().customers as u64;
        let plans = routing.plans().to_vec();
        let settings = Settings { plans, customer_bytes, ..site.settings.clone() };
        let counter_log =
            CounterLog::new(env.now(), quotas(&settings, &site.plan_names, site.max_request_units));
        let mut gateway = Gateway {
            module: D::start(settings.clone(), config.seed),
            hosts: Hosts::new(env.clone(), site.clone(), inputs.clone(), most_conns),
            known: None,
            site,
            sites: Watch::new(routing.sites(), &settings, config.seed, env.now()),
            routing,
            operators: config.operators.clone(),
            counter: Counter::new(env.clone(), config.counter, inputs.clone(), patience),
            settings,
            seed: config.seed,
            requests: FxHashMap::default(),
            open: HashSet::new(),
            timers: Timers::new(),
            news: VecDeque::new(),
            telling: false,
            counter_log,
            phase,
            unanswered: Unanswered::default(),
            lag: Lag::default(),
            losses: Losses::new(env.now()),
            unreadable: Outage::default(),
            env,
        };
        if config.known.instances.is_empty() {
            gateway.on_hosts(&config.known, HostListKind::Cached);
        } else {
            gateway.known = Some(config.known.clone());
            gateway.set_timer(gateway.env.now() + KNOWN_WILL_DO, Timer::Ready);
        }
        gateway
    }

    /// How many requests have no final answer yet.
    pub fn unanswered(&self) -> Unanswered {
        self.unanswered.clone()
    }

    /// Runs for as long as the program does. News that binds goes before all traffic, however much of that waits.
    pub async fn run(mut self, mut news: UnboundedReceiver<News>, mut inputs: UnboundedReceiver<Input>) {
        let mut batch = Vec::with_capacity(BATCH);
        let sleep = self.env.sleep(0);
        tokio::pin!(sleep);
        let mut armed = true;
        loop {
            // Where it is armed for too early a moment, that is a look in vain; to move it back and forth with each
            // request costs more.
            if let Some(due) = self.timers.next().filter(|due| !armed || *due < sleep.deadline()) {
                sleep.as_mut().reset(due);
                armed = true;
            }
            tokio::select! {
                biased;
                Some(news) = news.recv() => self.on_news(news),
                count = inputs.recv_many(&mut batch, BATCH) => if count == 0 { return },
                () = &mut sleep, if armed => armed = false,
            }
            for (number, input) in batch.drain(..).enumerate() {
                if number % BETWEEN_NEWS == 0 {
                    while let Ok(news) = news.try_recv() {
                        self.on_news(news);
                    }
                }
                self.on_input(input);
            }
            self.fire_timers();
            self.look_at_sites();
            self.speak_of_counter();
            self.speak_of_losses();
        }
    }

    fn on_news(&mut self, news: News) {
        match news {
            News::Reload(reload) => self.on_reload(*reload),
            News::DiscoverySilent(silent) => self.sites.on_discovery(self.env.now(), silent),
            News::Hosts(list) => {
                match self.known.take() {
                    // In one event: in between, requests that wait would go to hosts that drain.
                    Some(known) if !list.reset => {
                        self.on_hosts(&known.changed_by(list), HostListKind::Cached)
                    }
                    _ => self
                        .on_hosts(&list, if list.reset { HostListKind::Full } else { HostListKind::Delta }),
                }
                self.ready();
            }
        }
        self.report_finished();
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Request(incoming) => self.on_request(*incoming),
            Input::Left(id) => self.on_left(id),
            Input::Host(event) => self.hosts.on_event(event),
            Input::Counter(event) => {
                if let Some(counted) = self.counter.on_event(event) {
                    crash_points::here(CrashPoint::Counted);
                    self.timers.cancel(counted.until, Timer::Call(counted.call));
                    self.on_counted(counted);
                }
            }
        }
        self.report_finished();
    }

    fn ready(&mut self) {
        self.phase.send_if_modified(|phase| {
            let starting = *phase == Phase::Starting;
            if starting {
                *phase = Phase::Ready;
            }
            starting
        });
    }

    fn on_request(&mut self, incoming: Incoming) {
        let Incoming { at, mut request, call, reply } = incoming;
        self.speak_of_lag(at);
        if reply.is_gone() {
            return;
        }
        // Two requests of one id could not be told apart at a host.
        if !self.open.insert(call.client_id) {
            return reply.answer(Answer::Failed);
        }
        let (id, deadline) = (request.id, at.saturating_add(request.remaining));
        let is_safe = self
            .settings
            .classes
            .get(request.class)
            .is_some_and(|c| c.idempotency == Idempotency::Idempotent);
        let sites = self.sites.on_asked(self.env.now(), &request, call.client_id, is_safe);
        request.route = self.routing.choose(&request, sites);
        request.arrived_at = at;
        let route = request.route;
        let (class, plan) = (request.class, request.plan);
        let worth = self.worth(&request);
        self.losses.asked(worth);
        let (call, reply) = (Arc::new(call), Some(reply));
        let (attempts, out, tried) = (0, 0, Vec::new());
        let held =
            InHand { call, reply, deadline, route, attempts, out, class, plan, arrived: at, worth, tried };
        self.requests.insert(id, held);
        self.unanswered.taken();
        self.set_timer(deadline + OVERDUE, Timer::Overdue(id));
        self.tell(Event::Request(request));
    }

    /// The client has gone, or its time is over: nothing is owed any more.
    fn on_left(&mut self, id: RequestId) {
        if self.take_reply(id).is_some() {
            self.lost(id, Cause::Left);
            self.tell(Event::ClientDisconnected { id });
            self.forget(id);
        }
    }

    /// Whoever takes this gives the one final answer; there is no second. Attempts that still wait for a
    /// connection are never made: a request that is over goes to no host.
    fn take_reply(&mut self, id: RequestId) -> Option<ReplyTo> {
        let call = self.requests.get_mut(&id)?;
        let reply = call.reply.take()?;
        let (attempts, overdue) = (call.attempts, call.deadline + OVERDUE);
        (0..attempts).for_each(|attempt| self.hosts.drop_unsent((id, attempt)));
        self.timers.cancel(overdue, Timer::Overdue(id));
        self.unanswered.answered();
        Some(reply)
    }

    fn on_hosts(&mut self, list: &Membership, kind: HostListKind) {
        if list.unreadable > 0 && self.unreadable.failed(self.env.now()).is_some() {
            tracing::warn!("discovery: entries that cannot be read whole: {}", list.unreadable);
        }
        let mut entries = self.hosts.update(list, kind, &self.routing);
        self.sites.on_list(self.env.now(), kind, &mut entries);
        self.people_pools();
        self.tell(Event::HostList { kind, entries });
        self.report_finished();
    }

    /// A configuration that was read again comes into force as a whole, or nothing of it.
    fn on_reload(&mut self, reload: Reload) {
        let Reload { counter, operators, done } = reload;
        let outcome = self.on_operators(operators);
        crash_points::here(CrashPoint::ReloadHalf);
        if outcome.is_ok() {
            self.counter.move_to(counter);
        }
        // Who read it may have stopped.
        let _ = done.send(outcome);
    }

    /// Another version of the operators' files comes into force as a whole, or nothing changes. Requests in hand
    /// keep to the pools that they began with; where a host has left one, what waits there for a connection is
    /// not sent any more. Files that say the same as before are no news to the module.
    fn on_operators(&mut self, operators: Operators) -> Result<(), Unusable> {
        if operators == self.operators {
            return Ok(());
        }
        self.routing.turn(&operators)?;
        self.operators = operators;
        tracing::info!("operators' files in force: {} routes", self.routing.len());
        let plans = self.routing.plans().to_vec();
        self.settings.plans.clone_from(&plans);
        self.tell(Event::PlansChanged(plans));
        let (now, mut ready) = (self.env.now(), self.hosts.entries());
        self.sites.turn(self.routing.sites(), now);
        self.sites.on_list(now, HostListKind::Full, &mut ready);
        let mut entries = self.hosts.reassign(&self.routing);
        self.sites.withhold(&mut entries);
        self.people_pools();
        self.tell(Event::HostList { kind: HostListKind::Delta, entries });
        for ((id, attempt), pools) in self.hosts.unsent() {
            let left = |call: &InHand| {
                call.route.pools != 0 && pools & (call.route.pools | call.route.fallback) == 0
            };
            if self.requests.get(&id).is_some_and(left) {
                self.hosts.drop_unsent((id, attempt));
            }
        }
        self.report_finished();
        Ok(())
    }

    fn on_counted(&mut self, counted: Counted) {
        let Counted { name, outcome, total, took, .. } = counted;
        self.tell(Event::CounterReplied { key: name, outcome, total, elapsed: took });
    }

    /// Tells the module of the attempts that have ended; the first value goes to the client on its own.
    fn report_finished(&mut self) {
        while let Some(finished) = self.hosts.finished() {
            self.report(finished);
        }
    }

    fn report(&mut self, finished: Finished) {
        let Finished { mut ended, sent, stood, until, value } = finished;
        let id = ended.id;
        self.timers.cancel(until, Timer::Attempt((id, ended.attempt)));
        ended.elapsed = self.env.now().saturating_sub(sent);
        if let Some(call) = self.requests.get_mut(&id).filter(|call| call.reply.is_some() && value.is_none())
        {
            let AttemptEnded { host, outcome, elapsed: took, .. } = ended;
            call.tried.push(Tried { host, outcome, took, stood });
        }
        ended.is_request_closed = self.served(id, value);
        self.sites.on_ended(self.env.now(), &ended);
        self.tell(Event::AttemptEnded(ended));
        self.forget(id);
    }

    /// One attempt less is out. Whether the request is over.
    fn served(&mut self, id: RequestId, value: Option<Bytes>) -> bool {
        if let Some((value, reply)) = value.and_then(|value| Some((value, self.take_reply(id)?))) {
            reply.answer(Answer::Served(value));
            let aim = |call: &&InHand| {
                self.settings.classes.get(call.class).map_or(0, |class| class.latency_objective)
            };
            let is_late = |call: &&InHand| self.env.now() > call.arrived.saturating_add(aim(call));
            if self.requests.get(&id).filter(is_late).is_some() {
                self.lost(id, Cause::Slow);
            }
        }
        let Some(call) = self.requests.get_mut(&id) else { return true };
        call.out -= 1;
        call.reply.is_none()
    }

    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|call| call.reply.is_none() && call.out == 0) {
            if let Some(call) = self.requests.remove(&id) {
                self.open.remove(&call.call.client_id);
                self.routing.let_go(&call.route);
            }
        }
    }

    /// A request that came in then is taken up now.
    fn speak_of_lag(&mut self, came: Time) {
        match self.lag.took(self.env.now(), came) {
            None => {}
            Some(Said::Behind(lag)) => tracing::warn!(
                lag_ms = lag / MS,
                in_hand = self.requests.len(),
                "too little of a core: requests wait before they are looked at"
            ),
            Some(Said::Over(span)) => tracing::info!(after_s = span / (1_000 * MS), "requests wait no more"),
        }
    }

    /// What an answer within its aim is worth.
    fn worth(&self, request: &Request) -> f64 {
        let class = self.settings.classes.get(request.class).map_or(0.0, |class| class.priority_weight);
        let price = self.settings.plans.get(request.plan).map_or(0.0, |plan| plan.weight_factor);
        let units = if request.units.is_finite() { request.units.max(0.0) } else { 1.0 };
        class * price * units
    }

    /// A request has no answer within its aim, and will have none.
    fn lost(&mut self, id: RequestId, cause: Cause) {
        let Some(call) = self.requests.get(&id) else { return };
        let now = self.env.now();
        let Some(left_out) = self.losses.lost(now, cause, call.tried.last(), call.worth) else { return };
        let name = |names: &'_ [String], at: usize| names.get(at).cloned().unwrap_or_default();
        tracing::info!(
            request = format_args!("{:016x}", call.call.client_id),
            class = name(&self.site.class_names, call.class),
            plan = name(&self.site.plan_names, call.plan),
            after_ms = now.saturating_sub(call.arrived) / MS,
            reason = cause.words(),
            attempts = failure_stats::line(&call.tried, |host| self.hosts.name(host)),
            left_out,
            "lost"
        );
    }

    fn speak_of_losses(&mut self) {
        let now = self.env.now();
        if self.losses.is_due(now) {
            if let Some(summary) = self.losses.summary(now) {
                tracing::info!("lost in the last minute: {summary}");
            }
        }
    }

    /// Where it is time, looks at how the sites are.
    fn look_at_sites(&mut self) {
        let now = self.env.now();
        if self.sites.is_due(now) {
            let counter_in_doubt = self.module.counter_report(now).state.is_degraded();
            if let Some(turn) = self.sites.tick(now, counter_in_doubt) {
                self.turn_sites(turn);
            }
        }
        if let Some((before, due)) = self.sites.arm(now) {
            self.timers.cancel(before, Timer::Sites);
            self.set_timer(due, Timer::Sites);
        }
    }

    /// Carries out what is to be done about sites. What waits for a connection to a host that is withheld now is not
    /// sent any more.
    fn turn_sites(&mut self, turn: FailoverUpdate) {
        turn.transitions.iter().for_each(|said| tracing::info!("{said}"));
        if !turn.changed_hosts.is_empty() {
            let mut entries = self.hosts.entries();
            entries.retain(|entry| turn.changed_hosts.contains(&entry.id));
            self.sites.withhold(&mut entries);
            let withheld = entries.iter().filter(|entry| entry.state == HostState::Draining);
            withheld.for_each(|entry| self.hosts.drop_waiting(entry.id));
            self.people_pools();
            self.tell(Event::HostList { kind: HostListKind::Delta, entries });
        }
        if let Some(keep) = turn.admission_fractions {
            self.tell(Event::AdmissionFractionsChanged(keep));
        }
        self.report_finished();
    }

    /// Says which pools have a host that takes work, for requests that are kept to some sites.
    fn people_pools(&mut self) {
        if !self.sites.is_idle() {
            let mut entries = self.hosts.entries();
            self.sites.withhold(&mut entries);
            let ready = entries.iter().filter(|entry| entry.state == HostState::Ready);
            self.routing.people(ready.map(|entry| entry.pools));
        }
    }

    fn speak_of_counter(&mut self) {
        let now = self.env.now();
        if !self.counter_log.is_due(now) {
            return;
        }
        let report = self.module.counter_report(now);
        self.counter_log.look(now, &report).iter().for_each(Line::log);
        if self.counter_log.is_calm(&report) {
            self.module.forget_lent();
        }
    }

    /// Lets the module decide, and carries out what it wants, one turn after the other.
    fn tell(&mut self, event: Event) {
        self.news.push_back(event);
        if std::mem::replace(&mut self.telling, true) {
            return;
        }
        let mut actions = Vec::new();
        while let Some(event) = self.news.pop_front() {
            let now = self.env.now();
            let module = &mut self.module;
            if catch_unwind(AssertUnwindSafe(|| module.handle(now, event, &mut actions))).is_err() {
                self.start_over(&mut actions);
                continue;
            }
            actions.drain(..).for_each(|action| self.carry_out(now, action));
        }
        self.telling = false;
    }

    /// The module has panicked: what it holds may be half changed, and what it wanted half said. All requests
    /// are failed at once, and another module starts from the hosts in service, as after a restart.
    fn start_over(&mut self, actions: &mut Vec<Action>) {
        tracing::error!("the decision module panicked: {} requests are failed", self.requests.len());
        actions.clear();
        self.news.clear();
        self.seed = self.seed.wrapping_add(1);
        self.module = D::start(self.settings.clone(), self.seed);
        // Names of calls are those of customers: an answer to the old module would pass for one to the new.
        self.counter.disown();
        self.timers.retain(|timer| !matches!(timer, Timer::Module(_) | Timer::Call(_)));
        let mut ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let attempts = self.requests.get(&id).map_or(0, |call| call.attempts);
            (0..attempts).for_each(|attempt| self.hosts.stop((id, attempt), true));
            self.answer(id, Answer::Failed, None);
        }
        let mut entries = self.hosts.entries();
        self.sites.withhold(&mut entries);
        self.news.push_back(Event::HostList { kind: HostListKind::Cached, entries });
        if !self.sites.is_idle() {
            self.news.push_back(Event::AdmissionFractionsChanged(self.sites.keep()));
        }
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Forward { id, host, deadline: until, write_by } => self.send(id, host, until, write_by),
            Action::Cancel { id, attempt } => self.hosts.stop((id, attempt), true),
            Action::Reject { id, retry_after, reason: why } => {
                self.answer(id, Answer::Busy(retry_after), Some(why))
            }
            Action::Fail { id, reason: why } => self.answer(id, Answer::Failed, Some(why)),
            Action::SetTimer { after, token } => {
                self.set_timer(now.saturating_add(after), Timer::Module(token))
            }
            Action::AddToCounter { key: name, amount, time_to_live: keep } => {
                match self.counter.call(name, amount, keep) {
                    Some((call, until)) => self.set_timer(until, Timer::Call(call)),
                    None => {
                        let outcome = Outcome::ConnectFailed;
                        self.tell(Event::CounterReplied { key: name, outcome, total: 0.0, elapsed: 0 });
                    }
                }
            }
            // The watch runs from the start and sees to itself.
            Action::SubscribeToHosts => {}
        }
    }

    /// Each attempt that the module starts ends once, also one that comes too late to be made: the request is over,
    /// or its client has gone and the word of that still waits behind other input.
    fn send(&mut self, id: RequestId, host_id: HostId, until: Time, write_by: Time) {
        let Some(call) = self.requests.get_mut(&id) else {
            debug_assert!(false, "an attempt of a request that is not held");
            return;
        };
        let (key, until) = ((id, call.attempts), until.min(call.deadline));
        call.attempts += 1;
        call.out += 1;
        let client = match &call.reply {
            Some(reply) if !reply.is_gone() => reply.answers.clone(),
            _ => {
                self.on_left(id);
                return self.end_unsent(key, host_id, until);
            }
        };
        let effect = self
            .settings
            .classes
            .get(call.class)
            .map_or(Idempotency::NotIdempotent, |class| class.idempotency);
        let (call, once) = (call.call.clone(), effect != Idempotency::Idempotent);
        self.hosts.start(key, Order { host_id, until, write_by, call, once, client });
        self.set_timer(until, Timer::Attempt(key));
        if write_by < until {
            self.set_timer(write_by, Timer::WriteBy(key));
        }
    }

    fn end_unsent(&mut self, (id, attempt): AttemptKey, host: HostId, until: Time) {
        let (outcome, used, true_units, report) = (Outcome::NotSent, None, None, None);
        let ended = AttemptEnded {
            id,
            attempt,
            host,
            outcome,
            elapsed: 0,
            is_request_closed: false,
            quota_used: used,
            actual_units: true_units,
            report,
        };
        self.report(Finished { ended, sent: self.env.now(), stood: None, until, value: None });
    }

    fn answer(&mut self, id: RequestId, answer: Answer, why: Option<RejectReason>) {
        if let Some(reply) = self.take_reply(id) {
            reply.answer(answer);
            if let Some(why) = why {
                if let Some(call) = self.requests.get(&id) {
                    self.sites.on_given_up(call.class, call.plan, why);
                }
                self.lost(id, Cause::GivenUp(why));
            }
        }
        self.forget(id);
    }

    fn set_timer(&mut self, at: Time, timer: Timer) {
        self.timers.set(at, timer);
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.take(self.env.now()) {
            match timer {
                Timer::Module(token) => self.tell(Event::TimerExpired { token }),
                Timer::Attempt(key) => self.hosts.stop(key, false),
                Timer::WriteBy(key) => self.hosts.drop_unsent(key),
                Timer::Overdue(id) => self.overdue(id),
                Timer::Call(call) => {
                    if let Some(counted) = self.counter.give_up(call) {
                        self.on_counted(counted);
                    }
                }
                // What it is for is done once all timers have been looked at.
                Timer::Sites => {}
                Timer::Ready => {
                    if let Some(known) = self.known.take() {
                        self.on_hosts(&known, HostListKind::Cached);
                    }
                    self.ready();
                }
            }
            self.report_finished();
        }
    }

    fn overdue(&mut self, id: RequestId) {
        if let Some(reply) = self.take_reply(id) {
            reply.answer(Answer::Failed);
            self.lost(id, Cause::Overdue);
            self.tell(Event::ClientDisconnected { id });
            self.forget(id);
        }
    }
}

#[cfg(test)]
mod tests;
