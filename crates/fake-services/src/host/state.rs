//! What a stand-in host keeps: the model, its connections, and the commands on them in their order. Nothing
//! here waits or does I/O; whoever has to act on a change is woken through [`Signals`].

use super::answer::{self, Answer, Spoiling};
use super::command::{Call, Command};
use super::{HostConfig, Settled};
use crate::Recorder;
use bytes::Bytes;
use cluster_model::host::{Admission, FinishedJob, Host, HostSetup, JobId, JobOutcome, JobStage, Request};
use cluster_model::observation::{HostOutcome, ObservationKind};
use cluster_model::requests::RequestSampler;
use cluster_model::rng::Rng;
use cluster_model::scenario::{ClassSpec, HostSpec, RequestFault};
use cluster_model::{Span, Time};
use resp::Frame;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use tokio::sync::Notify;

/// Commands that may be unanswered on a connection; further ones wait unread.
pub(super) const PIPELINE: usize = 64;

/// Number of a connection.
pub(super) type ConnId = u64;

/// Wakes the parts of a connection.
#[derive(Debug, Default)]
pub(super) struct Signals {
    /// An answer may be ready.
    pub answers: Notify,
    /// There may be room for another command.
    pub room: Notify,
    /// The connection is to be reset.
    pub cut: Notify,
}

/// How a host ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Down {
    Fell,
    Stopped,
}

/// What is to become of the command on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is reset once the answer is there, before it is written.
    BeforeAnswer,
    /// It is reset within the answer.
    WithinAnswer,
}

#[derive(Clone, Copy, Debug)]
struct Heavy {
    share: f64,
    times: f64,
    until: Time,
}

/// How a command is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Line(&'static str),
    Served,
    Failed,
    TurnedAway,
    /// Not at all: the host is down.
    Lost(JobStage),
}

#[derive(Clone, Copy, Debug)]
enum Progress {
    Held(JobId),
    Ready(Reply),
    /// Its answer is being written.
    Leaving,
}

/// A command on a connection.
#[derive(Debug)]
struct Entry {
    /// `None` for commands that are no requests.
    request: Option<u64>,
    progress: Progress,
    /// When it became ready.
    ready: Time,
}

#[derive(Debug)]
struct Conn {
    gateway: u32,
    signals: Arc<Signals>,
    /// The oldest first.
    entries: VecDeque<Entry>,
    /// When bytes last came or went.
    active: Time,
    /// A spoilt answer was sent, or the command on it was swallowed; nothing follows.
    mute: bool,
    fate: Option<Fate>,
    /// It had stood idle for too long: nothing on it counts.
    dead: bool,
}

/// All of a stand-in host that is under its lock.
#[derive(Debug)]
pub(super) struct State {
    pub model: Host,
    number: u32,
    spec: HostSpec,
    classes: Vec<ClassSpec>,
    draws: RequestSampler,
    settled: Settled,
    recorder: Recorder,
    conns: BTreeMap<ConnId, Conn>,
    /// Where the requests that are held came in.
    jobs: BTreeMap<JobId, ConnId>,
    next_conn: ConnId,
    /// By gateway: nothing passes.
    pub silent: Vec<bool>,
    pub paused_until: Time,
    garble: Option<(f64, Time)>,
    heavy: BTreeMap<usize, Heavy>,
    /// Shares of the requests that are swallowed, and reset, and until when.
    swallows: Option<(f64, Time)>,
    resets: Option<(f64, Time)>,
    /// Connections that have stood idle for longer are dead, until then.
    stale: Option<(Span, Time)>,
    rng: Rng,
    down: Option<Down>,
    /// When the driver wakes next.
    pub armed: Time,
    malformed: u64,
}

impl State {
    pub(super) fn new(config: &HostConfig, now: Time) -> State {
        let shares: f64 = config.classes.iter().map(|class| class.share).sum();
        let works: f64 = config.classes.iter().map(|class| class.share * class.work as f64).sum();
        let setup = HostSetup {
            spec: config.spec.clone(),
            rules: config.rules.clone(),
            mean_work: if shares > 0.0 { (works / shares) as Span } else { 0 },
            number: config.number,
            seed: config.seed,
            warming_up: config.cold,
        };
        let state = State {
            model: Host::new(setup, now),
            number: config.number,
            spec: config.spec.clone(),
            classes: config.classes.clone(),
            draws: config.draws.clone(),
            settled: config.settled.clone(),
            recorder: config.recorder.clone(),
            conns: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_conn: 0,
            silent: vec![false; config.listen.len()],
            paused_until: now,
            garble: None,
            heavy: BTreeMap::new(),
            swallows: None,
            resets: None,
            stale: None,
            rng: Rng::stream(config.seed, "garble", u64::from(config.number)),
            down: None,
            armed: Time::MAX,
            malformed: 0,
        };
        let (share, cold) =
            if config.cold { (config.spec.warmup_share, config.spec.warmup) } else { (1.0, 0) };
        state.see(
            now,
            ObservationKind::HostStarted {
                host: config.number,
                full_capacity: state.model.full_capacity(),
                initial_share: share,
                warm_up: cold,
            },
        );
        state
    }

    fn see(&self, now: Time, what: ObservationKind) {
        self.recorder.see(now, what);
    }

    /// It fell or was stopped.
    pub(super) fn is_down(&self) -> bool {
        self.down.is_some()
    }

    /// When the driver has to come back; `Time::MAX`: not by itself.
    pub(super) fn due(&self) -> Time {
        self.model.next_event().unwrap_or(Time::MAX)
    }

    pub(super) fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Bytes that could not be read ended a connection.
    pub(super) fn on_unreadable(&mut self) {
        self.malformed += 1;
    }

    /// Takes over what has ended in the model.
    pub(super) fn collect(&mut self, now: Time) {
        let mut finished = Vec::new();
        self.model.advance(now, &mut finished);
        finished.iter().for_each(|ended| self.on_finished(now, ended));
    }

    fn on_finished(&mut self, now: Time, ended: &FinishedJob) {
        let Some(conn) = self.jobs.remove(&ended.job).and_then(|id| self.conns.get_mut(&id)) else { return };
        let held = |entry: &&mut Entry| matches!(entry.progress, Progress::Held(job) if job == ended.job);
        let Some(entry) = conn.entries.iter_mut().find(held) else { return };
        entry.progress = Progress::Ready(match ended.outcome {
            JobOutcome::Served => Reply::Served,
            JobOutcome::Failed | JobOutcome::Expired(JobStage::Running) => Reply::Failed,
            JobOutcome::Expired(JobStage::Queued) => Reply::TurnedAway,
            JobOutcome::Lost(stage) => Reply::Lost(stage),
        });
        entry.ready = now;
        conn.signals.answers.notify_one();
    }

    /// A connection came in; `None`: it is reset.
    pub(super) fn open(&mut self, now: Time, gateway: u32) -> Option<(ConnId, Arc<Signals>)> {
        if self.is_down() || !self.model.connect(now) {
            return None;
        }
        self.see(now, ObservationKind::HostConnectionOpened { host: self.number, gateway });
        let id = self.next_conn;
        self.next_conn += 1;
        let signals = Arc::<Signals>::default();
        let entries = VecDeque::new();
        let (mute, fate, dead) = (false, None, false);
        let conn = Conn { gateway, signals: signals.clone(), entries, active: now, mute, fate, dead };
        self.conns.insert(id, conn);
        Some((id, signals))
    }

    /// A connection has ended: what is on it is given up.
    pub(super) fn close(&mut self, now: Time, id: ConnId) {
        let Some(conn) = self.conns.remove(&id) else { return };
        self.model.disconnect();
        self.see(now, ObservationKind::HostConnectionClosed { host: self.number, gateway: conn.gateway });
        conn.signals.cut.notify_one();
        // From the back: those that wait do not come into work by the end of those before them.
        for entry in conn.entries.iter().rev() {
            self.give_up(now, conn.gateway, entry);
        }
    }

    fn give_up(&mut self, now: Time, gateway: u32, entry: &Entry) {
        let Some(request) = entry.request else { return };
        let stage = match entry.progress {
            Progress::Held(job) => {
                self.jobs.remove(&job);
                self.model.cancel(now, job)
            }
            Progress::Ready(Reply::Lost(stage)) => Some(stage),
            _ => None,
        };
        let dealt = match (entry.progress, stage) {
            (Progress::Leaving, _) => None,
            (Progress::Ready(Reply::TurnedAway), _) => Some(HostOutcome::Rejected),
            (_, Some(JobStage::Queued)) => Some(HostOutcome::Dropped),
            _ => Some(HostOutcome::Undelivered),
        };
        if let Some(dealt) = dealt {
            self.see_ended(now, gateway, request, dealt, None);
        }
        self.see(now, ObservationKind::AttemptClosed { request, host: self.number, gateway });
    }

    fn see_ended(&self, now: Time, gateway: u32, request: u64, dealt: HostOutcome, units: Option<f64>) {
        self.see(
            now,
            ObservationKind::AttemptEnded { request, host: self.number, gateway, outcome: dealt, units },
        );
    }

    /// Bytes came.
    pub(super) fn touch(&mut self, now: Time, id: ConnId) {
        let stale = self.stale.filter(|(_, until)| now < *until).map(|(after, _)| after);
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if conn.entries.is_empty() && stale.is_some_and(|after| now.saturating_sub(conn.active) > after) {
            conn.dead = true;
            conn.signals.cut.notify_one();
        }
        conn.active = now;
    }

    /// Another command may be begun on this connection.
    pub(super) fn has_room(&self, id: ConnId) -> bool {
        self.conns.get(&id).is_some_and(|conn| conn.entries.len() < PIPELINE)
    }

    /// When the connection has stood idle for too long, as things are.
    pub(super) fn idle_at(&self, now: Time, id: ConnId) -> Time {
        let Some(conn) = self.conns.get(&id) else { return now };
        let since = if conn.entries.is_empty() { conn.active } else { now };
        since.saturating_add(self.spec.idle_timeout)
    }

    /// A command has come whole.
    pub(super) fn on_command(&mut self, now: Time, id: ConnId, frame: &Frame, first_byte: Time) {
        match Command::read(frame, &self.classes) {
            Command::Call(call) => self.on_call(now, id, call, first_byte),
            Command::Line(line) => {
                if let Some(gateway) = self.conns.get(&id).map(|conn| conn.gateway) {
                    self.see(now, ObservationKind::HealthCheckReceived { host: self.number, gateway });
                }
                self.enter(now, id, None, Progress::Ready(Reply::Line(line)));
            }
            Command::Malformed => {
                self.malformed += 1;
                self.enter(now, id, None, Progress::Ready(Reply::Line("-SYNTAX")));
            }
        }
    }

    fn on_call(&mut self, now: Time, id: ConnId, call: Call, first_byte: Time) {
        let Some(gateway) = self.conns.get(&id).filter(|conn| !conn.dead).map(|conn| conn.gateway) else {
            return;
        };
        let Some(class) = self.classes.get(call.class) else { return };
        let heavy = self.heavy.get(&call.class).filter(|heavy| now < heavy.until);
        let usual = self.draws.work(call.id, class, None);
        let work =
            heavy.map_or(usual, |heavy| self.draws.work(call.id, class, Some((heavy.share, heavy.times))));
        let deadline = now.saturating_add(call.wait);
        let request =
            Request { id: call.id, work, expected_work: usual, deadline, effect: class.idempotency };
        let offer = self.model.submit(now, request);
        let work = if offer == Admission::Cached { 0 } else { usual };
        self.see(
            now,
            ObservationKind::AttemptReceived {
                request: call.id,
                host: self.number,
                gateway,
                first_byte,
                expected_work: work,
            },
        );
        let progress = match offer {
            Admission::Accepted(job) => {
                self.jobs.insert(job, id);
                Progress::Held(job)
            }
            Admission::Rejected => Progress::Ready(Reply::TurnedAway),
            Admission::Cached => Progress::Ready(Reply::Served),
            Admission::Down => Progress::Ready(Reply::Lost(JobStage::Queued)),
        };
        self.enter(now, id, Some(call.id), progress);
        self.befall(now, id);
        if offer == Admission::Down {
            self.go_down(now, Down::Fell);
        }
    }

    /// What happens to a request that has come, without a word.
    fn befall(&mut self, now: Time, id: ConnId) {
        let share =
            |of: Option<(f64, Time)>| of.filter(|(_, until)| now < *until).map_or(0.0, |(share, _)| share);
        let (swallowed, reset) = (share(self.swallows), share(self.resets));
        if swallowed + reset <= 0.0 {
            return;
        }
        let (swallowed, reset) = (self.rng.chance(swallowed), self.rng.chance(reset));
        let phase = self.rng.below(3);
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.mute |= swallowed;
        match phase {
            _ if !reset => {}
            0 => conn.signals.cut.notify_one(),
            1 => conn.fate = Some(Fate::BeforeAnswer),
            _ => conn.fate = Some(Fate::WithinAnswer),
        }
    }

    fn enter(&mut self, now: Time, id: ConnId, request: Option<u64>, progress: Progress) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.entries.push_back(Entry { request, progress, ready: now });
        conn.signals.answers.notify_one();
    }

    /// Since when the answer that is next on this connection has been ready.
    pub(super) fn ready_since(&self, id: ConnId) -> Option<Time> {
        let conn = self.conns.get(&id).filter(|conn| !conn.mute)?;
        let first = conn.entries.front()?;
        matches!(first.progress, Progress::Ready(_)).then_some(first.ready)
    }

    /// Begins to write the next answer. [`State::on_written`] has to follow.
    pub(super) fn begin(&mut self, now: Time, id: ConnId) -> Option<Bytes> {
        self.ready_since(id)?;
        let conn = self.conns.get_mut(&id)?;
        if conn.fate == Some(Fate::BeforeAnswer) {
            conn.signals.cut.notify_one();
            conn.mute = true;
            return None;
        }
        let alone = conn.entries.len() == 1;
        let first = conn.entries.front_mut()?;
        let Progress::Ready(reply) = first.progress else { return None };
        first.progress = Progress::Leaving;
        let (gateway, request) = (conn.gateway, first.request);
        let (line, dealt) = match (reply, request) {
            (Reply::Line(line), _) => return Some(Bytes::from(format!("{line}\r\n"))),
            (Reply::Served, Some(request)) => return Some(self.serve(now, id, request, alone)),
            (Reply::TurnedAway, _) => ("-BUSY\r\n", HostOutcome::Rejected),
            _ => ("-ERR failed\r\n", HostOutcome::Failed),
        };
        if let Some(request) = request {
            self.see_ended(now, gateway, request, dealt, None);
        }
        Some(Bytes::from_static(line.as_bytes()))
    }

    fn serve(&mut self, now: Time, id: ConnId, request: u64, alone: bool) -> Bytes {
        let units = self.settled.is_open(request).then(|| self.draws.units(request));
        let mut answer = self.garbled(now, request, answer::served(request, units), alone);
        if self.conns.get(&id).is_some_and(|conn| conn.fate.is_some()) {
            answer = answer.half();
        }
        let units = units.filter(|_| answer.figures);
        if units.is_some() {
            self.settled.close(request);
        }
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.mute = !answer.good;
            let dealt = if answer.good { HostOutcome::Served } else { HostOutcome::Failed };
            let gateway = conn.gateway;
            self.see_ended(now, gateway, request, dealt, units.map(f64::from));
        }
        answer.bytes
    }

    fn garbled(&mut self, now: Time, request: u64, answer: Answer, alone: bool) -> Answer {
        let share = self.garble.filter(|(_, until)| now < *until).map_or(0.0, |(share, _)| share);
        if share <= 0.0 || !self.rng.chance(share) {
            return answer;
        }
        Spoiling::draw(&mut self.rng, alone).apply(&mut self.rng, request, answer)
    }

    /// The answer that was begun is written.
    pub(super) fn on_written(&mut self, now: Time, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.active = now;
        conn.signals.room.notify_one();
        if conn.fate.is_some() {
            conn.signals.cut.notify_one();
        }
        let gateway = conn.gateway;
        if let Some(request) = conn.entries.pop_front().and_then(|entry| entry.request) {
            self.see(now, ObservationKind::AttemptClosed { request, host: self.number, gateway });
        }
    }

    pub(super) fn slow(&mut self, now: Time, times: f64) {
        self.model.set_slowdown(now, times);
        self.see(now, ObservationKind::HostSlowed { host: self.number, factor: times });
    }

    pub(super) fn pause(&mut self, now: Time, until: Time) {
        self.model.pause(now, until);
        self.paused_until = self.paused_until.max(until);
    }

    pub(super) fn garble(&mut self, share: f64, until: Time) {
        self.garble = Some((share, until));
    }

    pub(super) fn mishaps(&mut self, mishap: RequestFault, share: f64, until: Time) {
        let of = match mishap {
            RequestFault::Dropped => &mut self.swallows,
            RequestFault::ConnectionReset => &mut self.resets,
        };
        *of = Some((share, until));
    }

    pub(super) fn stale(&mut self, after: Span, until: Time) {
        self.stale = Some((after, until));
    }

    pub(super) fn heavy(&mut self, class: usize, share: f64, times: f64, until: Time) {
        self.heavy.insert(class, Heavy { share, times, until });
    }

    pub(super) fn reset_gateway(&mut self, now: Time, gateway: u32) {
        let of_gateway = |(id, conn): (&ConnId, &Conn)| (conn.gateway == gateway).then_some(*id);
        let ids: Vec<ConnId> = self.conns.iter().filter_map(of_gateway).collect();
        ids.into_iter().for_each(|id| self.close(now, id));
    }

    pub(super) fn stop(&mut self, now: Time) {
        if self.down != Some(Down::Stopped) {
            self.model.stop(now);
            self.go_down(now, Down::Stopped);
        }
    }

    pub(super) fn sample(&mut self, now: Time) {
        let busy = self.model.utilization_since_last(now);
        let held = self.model.request_count() as u32;
        self.see(now, ObservationKind::HostLoad { host: self.number, requests: held, utilization: busy });
    }

    fn go_down(&mut self, now: Time, down: Down) {
        self.down = Some(down);
        self.see(
            now,
            match down {
                Down::Fell => ObservationKind::HostOverloadCrash { host: self.number },
                Down::Stopped => ObservationKind::HostStopped { host: self.number },
            },
        );
        // All that the model held has ended there as lost.
        self.collect(now);
        let ids: Vec<ConnId> = self.conns.keys().copied().collect();
        ids.into_iter().for_each(|id| self.close(now, id));
    }
}
