//! The gateway: owns the decision module, tells it what happens and carries out what it asks for. Each
//! request is kept here until its one final answer has left and its attempts have ended.

use crate::call::Call;
use crate::clients::{Answer, Incoming, Phase, ReplyTo};
use crate::clock::Clock;
use crate::config::Config;
use crate::counter::{CallId, Counted, Counter, CounterEvent};
use crate::discovery::Membership;
use crate::hosts::{AttemptKey, Finished, HostEvent, Hosts};
use bytes::Bytes;
use fennelbeam_policy::api::*;
use fennelbeam_policy::policy::Policy;
use fennelbeam_settings::Site;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

const MS: Span = 1_000_000;
/// A request that the module still holds this long after its client's time is failed: none is lost.
const OVERDUE: Span = 10 * MS;
/// Without news of the hosts, the list known before the start has to do after this.
const KNOWN_WILL_DO: Span = 1_000 * MS;
const BATCH: usize = 128;

/// What happens around the gateway.
#[derive(Debug)]
pub enum Input {
    Request(Box<Incoming>),
    /// The client of this request has gone.
    Left(RequestId),
    Host(HostEvent),
    Counter(CounterEvent),
    Hosts(Membership),
    /// Where the counter is from now on.
    CounterAt(Option<SocketAddr>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u32),
    Attempt(AttemptKey),
    Overdue(RequestId),
    Call(CallId),
    Ready,
}

struct InHand {
    call: Arc<Call>,
    reply: Option<ReplyTo>,
    deadline: Time,
    attempts: u32,
    out: u32,
}

/// One gateway.
pub struct Gateway {
    clock: Clock,
    policy: Policy,
    hosts: Hosts,
    counter: Counter,
    requests: HashMap<RequestId, InHand>,
    /// Ids that clients gave to the requests call.
    open: HashSet<u64>,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    actions: Vec<Action>,
    phase: watch::Sender<Phase>,
    unanswered: watch::Sender<usize>,
}

impl Gateway {
    pub fn new(
        config: &Config,
        site: Arc<Site>,
        clock: Clock,
        inputs: &UnboundedSender<Input>,
        most_conns: usize,
        phase: watch::Sender<Phase>,
    ) -> Self {
        let policy = Policy::new(site.settings.clone(), config.seed);
        let counter = Counter::new(config.counter, clock, inputs.clone(), site.settings.counter_timeout);
        let hosts = Hosts::new(site, clock, inputs.clone(), most_conns);
        let mut gateway = Gateway {
            clock,
            policy,
            hosts,
            counter,
            requests: HashMap::new(),
            open: HashSet::new(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            phase,
            unanswered: watch::Sender::new(0),
        };
        if !config.known.instances.is_empty() {
            gateway.set_timer(clock.now() + KNOWN_WILL_DO, Timer::Ready);
        }
        gateway.on_hosts(&config.known, ListKind::Cached);
        gateway
    }

    /// How many requests have no final answer yet.
    pub fn unanswered(&self) -> watch::Receiver<usize> {
        self.unanswered.subscribe()
    }

    /// Runs for as long as the program does.
    pub async fn run(mut self, mut inputs: UnboundedReceiver<Input>) {
        let mut batch = Vec::with_capacity(BATCH);
        let sleep = sleep_until(Instant::now());
        tokio::pin!(sleep);
        loop {
            if let Some(due) = self.timers.peek().map(|Reverse((at, _))| self.clock.instant(*at)) {
                if due != sleep.deadline() {
                    sleep.as_mut().reset(due);
                }
            }
            tokio::select! {
                biased;
                count = inputs.recv_many(&mut batch, BATCH) => if count == 0 { return },
                () = &mut sleep => {}
            }
            batch.drain(..).for_each(|input| self.on_input(input));
            self.fire_timers();
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Request(incoming) => self.on_request(*incoming),
            Input::Left(id) => self.on_left(id),
            Input::Host(event) => self.hosts.on_event(event),
            Input::Counter(event) => {
                if let Some(counted) = self.counter.on_event(event) {
                    self.on_counted(counted);
                }
            }
            Input::CounterAt(address) => self.counter.move_to(address),
            Input::Hosts(list) => {
                self.on_hosts(&list, if list.reset { ListKind::Full } else { ListKind::Delta });
                self.ready();
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
        let Incoming { at, request, call, reply } = incoming;
        // Two requests of one id could not be told apart at a host.
        if !self.open.insert(call.client_id) {
            return reply.answer(Answer::Failed);
        }
        let (id, deadline) = (request.id, at.saturating_add(request.patience));
        let call = InHand { call: Arc::new(call), reply: Some(reply), deadline, attempts: 0, out: 0 };
        self.requests.insert(id, call);
        self.unanswered.send_modify(|n| *n += 1);
        self.set_timer(deadline + OVERDUE, Timer::Overdue(id));
        self.tell(Event::Request(request));
    }

    /// The client has gone, or its time is over: nothing is owed any more.
    fn on_left(&mut self, id: RequestId) {
        if self.take_reply(id).is_some() {
            self.tell(Event::Left { id });
            self.forget(id);
        }
    }

    /// Whoever takes this gives the one final answer; there is no second. Attempts that still wait for a
    /// connection are never made: a request that is over goes to no host.
    fn take_reply(&mut self, id: RequestId) -> Option<ReplyTo> {
        let call = self.requests.get_mut(&id)?;
        let reply = call.reply.take()?;
        (0..call.attempts).for_each(|attempt| self.hosts.drop_unsent((id, attempt)));
        self.unanswered.send_modify(|n| *n -= 1);
        Some(reply)
    }

    fn on_hosts(&mut self, list: &Membership, kind: ListKind) {
        let entries = self.hosts.update(list, kind);
        self.tell(Event::Hosts { kind, entries });
        self.report_finished();
    }

    fn on_counted(&mut self, counted: Counted) {
        let Counted { name, outcome, total, took } = counted;
        self.tell(Event::Counted { name, outcome, total, took });
    }

    /// Tells the module of the attempts that have ended; the first value goes to the client on its own.
    fn report_finished(&mut self) {
        while let Some(finished) = self.hosts.finished() {
            let Finished { mut ended, sent, value } = finished;
            let id = ended.id;
            ended.closed = self.served(id, value);
            ended.took = self.clock.now().saturating_sub(sent);
            self.tell(Event::Ended(ended));
            self.forget(id);
        }
    }

    /// One attempt less is out. Whether the request is over.
    fn served(&mut self, id: RequestId, value: Option<Bytes>) -> bool {
        if let Some((value, reply)) = value.and_then(|value| Some((value, self.take_reply(id)?))) {
            reply.answer(Answer::Served(value));
        }
        let Some(call) = self.requests.get_mut(&id) else { return true };
        call.out -= 1;
        call.reply.is_none()
    }

    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|call| call.reply.is_none() && call.out == 0) {
            if let Some(call) = self.requests.remove(&id) {
                self.open.remove(&call.call.client_id);
            }
        }
    }

    /// Lets the module decide, and carries out what it wants. A panic in it must not end the gateway; what
    /// it then holds is failed when overdue.
    fn tell(&mut self, event: Event) {
        let now = self.clock.now();
        let (policy, actions) = (&mut self.policy, &mut self.actions);
        if catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, actions))).is_err() {
            tracing::error!("the decision module panicked");
        }
        for action in std::mem::take(&mut self.actions) {
            self.carry_out(now, action);
        }
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { id, host, until } => self.send(id, host, until),
            Action::Withdraw { id, attempt } => self.hosts.stop((id, attempt), true),
            Action::Refuse { id, retry_after } => self.answer(id, Answer::Busy(retry_after)),
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::Timer { after, token } => self.set_timer(now.saturating_add(after), Timer::Module(token)),
            Action::Count { name, amount, keep } => match self.counter.call(name, amount, keep) {
                Some((call, until)) => self.set_timer(until, Timer::Call(call)),
                None => {
                    self.on_counted(Counted { name, outcome: Outcome::NoConnection, total: 0.0, took: 0 })
                }
            },
            // The watch runs from the start and sees to itself.
            Action::Subscribe => {}
        }
    }

    fn send(&mut self, id: RequestId, host: HostId, until: Time) {
        let Some(call) = self.requests.get_mut(&id).filter(|call| call.reply.is_some()) else { return };
        let (key, until) = ((id, call.attempts), until.min(call.deadline));
        call.attempts += 1;
        call.out += 1;
        self.hosts.start(key, host, until, call.call.clone());
        self.set_timer(until, Timer::Attempt(key));
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(reply) = self.take_reply(id) {
            reply.answer(answer);
        }
        self.forget(id);
    }

    fn set_timer(&mut self, at: Time, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    fn fire_timers(&mut self) {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > self.clock.now() {
                return;
            }
            self.timers.pop();
            match timer {
                Timer::Module(token) => self.tell(Event::Timer { token }),
                Timer::Attempt(key) => self.hosts.stop(key, false),
                Timer::Overdue(id) => self.overdue(id),
                Timer::Call(call) => {
                    if let Some(counted) = self.counter.give_up(call) {
                        self.on_counted(counted);
                    }
                }
                Timer::Ready => self.ready(),
            }
            self.report_finished();
        }
    }

    fn overdue(&mut self, id: RequestId) {
        if let Some(reply) = self.take_reply(id) {
            reply.answer(Answer::Failed);
            self.tell(Event::Left { id });
            self.forget(id);
        }
    }
}
