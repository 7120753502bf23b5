//! All that the stand-in decides, without I/O: what comes on which connection, what is answered when, and
//! what is written down.

use super::command::Command;
use super::pipe::{Answer, Batch, Pipe, Settled};
use crate::Recorder;
use bytes::{Bytes, BytesMut};
use cluster_model::counter::{Amount, CallAdmission, CallId, CallOutcome, Counter};
use cluster_model::observation::ObservationKind;
use cluster_model::rng::Rng;
use cluster_model::scenario::CounterFault;
use cluster_model::{Span, Time};
use std::collections::BTreeMap;

/// Connections that a gateway may have; further ones are reset.
const MAX_PIPES: usize = 32;

/// Number of a connection.
pub(super) type PipeId = u64;

/// Where a command came from.
#[derive(Clone, Copy, Debug)]
struct Origin {
    gateway: u32,
    pipe: PipeId,
    number: u64,
    /// When it came.
    came: Time,
}

/// What is on its way.
#[derive(Debug)]
enum Passing {
    Command(Origin, Command),
    Answer(Origin, Answer),
}

#[derive(Debug)]
struct Garble {
    share: f64,
    until: Time,
}

/// How a gateway reaches the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    /// It does.
    Open,
    /// Nothing passes, nothing is said.
    Silent,
    /// Connections are refused.
    Shut,
}

/// What a connection is to do.
#[derive(Clone, Copy, Debug)]
pub(super) struct View {
    /// Reset it.
    pub doomed: bool,
    /// Nothing passes.
    pub silent: bool,
    /// Read nothing more for now.
    pub full: bool,
    /// No answer is to come any more.
    pub settled: bool,
    /// Close it then.
    pub idle_at: Option<Time>,
}

/// The stand-in's state.
#[derive(Debug)]
pub(super) struct Desk {
    counter: Counter,
    /// One way, beside the network's own.
    lag: Span,
    is_open: bool,
    garble: Option<Garble>,
    rng: Rng,
    silent: Vec<bool>,
    pipes: BTreeMap<PipeId, Pipe>,
    calls: BTreeMap<CallId, (Origin, Amount)>,
    passing: BTreeMap<(Time, u64), Passing>,
    next: u64,
    /// The counter's resets that have been carried out.
    resets: u64,
    /// Whether connections were refused when this was last looked at.
    was_lost: bool,
    recorder: Recorder,
    stirred: Stirred,
}

/// Who is to look again at what to do.
#[derive(Debug, Default)]
pub(super) struct Stirred {
    /// Connections.
    pub pipes: Vec<PipeId>,
    /// Gateways to which the way has changed.
    pub gateways: Vec<u32>,
}

impl Desk {
    /// For so many gateways.
    pub fn new(counter: Counter, seed: u64, gateways: usize, lag: Span, recorder: Recorder) -> Desk {
        Desk {
            counter,
            lag,
            is_open: false,
            garble: None,
            rng: Rng::stream(seed, "garbled counter", 0),
            silent: vec![false; gateways],
            pipes: BTreeMap::new(),
            calls: BTreeMap::new(),
            passing: BTreeMap::new(),
            next: 0,
            resets: 0,
            was_lost: false,
            recorder,
            stirred: Stirred::default(),
        }
    }

    /// From now on calls are taken.
    pub fn open(&mut self) {
        self.is_open = true;
    }

    /// See [`Counter::fail`].
    pub fn fail(&mut self, now: Time, fault: CounterFault, span: Span) {
        self.counter.inject_fault(now, fault, now.saturating_add(span));
        self.run(now);
    }

    /// See [`Counter::heal`]; spoilt answers are over as well.
    pub fn heal(&mut self, now: Time) {
        self.garble = None;
        self.counter.clear_faults(now);
        self.run(now);
    }

    /// This share of the answers comes spoilt.
    pub fn garble(&mut self, now: Time, share: f64, span: Span) {
        self.garble = Some(Garble { share, until: now.saturating_add(span) });
    }

    /// Between a gateway and the counter nothing passes, or passes again.
    pub fn set_silent(&mut self, gateway: u32, silent: bool) {
        if let Some(way) = self.silent.get_mut(gateway as usize) {
            *way = silent;
            self.stirred.gateways.push(gateway);
        }
        self.stir(|pipe| pipe.gateway == gateway);
    }

    /// All connections of a gateway are reset.
    pub fn reset_gateway(&mut self, gateway: u32) {
        self.doom(|pipe| pipe.gateway == gateway);
    }

    /// All connections are reset.
    pub fn reset_all(&mut self) {
        self.doom(|_| true);
    }

    /// The total of a name.
    pub fn total(&self, now: Time, name: &[u8]) -> Option<f64> {
        self.counter.total(now, name).map(Amount::as_f64)
    }

    /// How many names there are.
    pub fn distinct(&self, now: Time) -> usize {
        self.counter.name_count(now)
    }

    /// How a gateway reaches the counter.
    pub fn way(&self, gateway: u32) -> Way {
        if self.counter.is_unreachable() {
            return Way::Shut;
        }
        let silent = self.silent.get(gateway as usize).is_some_and(|silent| *silent);
        if silent {
            Way::Silent
        } else {
            Way::Open
        }
    }

    /// A connection has come up; `None`: reset it.
    pub fn connect(&mut self, now: Time, gateway: u32) -> Option<PipeId> {
        self.run(now);
        let held = self.pipes.values().filter(|pipe| pipe.gateway == gateway).count();
        if self.counter.is_unreachable() || held >= MAX_PIPES {
            return None;
        }
        let id = self.number();
        self.pipes.insert(id, Pipe::new(now, gateway));
        Some(id)
    }

    /// A command has come whole on a connection.
    pub fn hear(&mut self, now: Time, id: PipeId, command: Command) {
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        let gateway = pipe.gateway;
        match pipe.owe(now) {
            Some(number) => {
                let origin = Origin { gateway, pipe: id, number, came: now };
                self.pass(now, Passing::Command(origin, command));
                self.run(now);
            }
            None => {
                if let Command::Add(_, amount, _) = command {
                    self.record(now, gateway, Settled::unsaid(amount.as_f64(), false, now), false);
                }
            }
        }
    }

    /// What a connection is to do; gives it the answers whose turn it is if `batch` is used up.
    pub fn look(&mut self, id: PipeId, batch: &mut Batch) -> View {
        let Some(pipe) = self.pipes.get_mut(&id) else {
            return View { doomed: true, silent: false, full: false, settled: true, idle_at: None };
        };
        if batch.bytes.is_empty() {
            *batch = pipe.take();
        }
        let silent = self.silent.get(pipe.gateway as usize).is_some_and(|silent| *silent);
        View {
            doomed: pipe.doomed,
            silent,
            full: pipe.is_full(),
            settled: pipe.is_settled(),
            idle_at: pipe.idle_at().filter(|_| !silent),
        }
    }

    /// All of a batch is written.
    pub fn wrote(&mut self, now: Time, id: PipeId, batch: Batch) {
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        pipe.wrote(now);
        let gateway = pipe.gateway;
        batch.calls.into_iter().for_each(|call| self.record(now, gateway, call, true));
    }

    /// A connection has ended, with this much unwritten.
    pub fn close(&mut self, now: Time, id: PipeId, batch: Batch) {
        let Some(pipe) = self.pipes.remove(&id) else { return };
        let gateway = pipe.gateway;
        let unsaid: Vec<Settled> = batch.calls.into_iter().chain(pipe.unsaid()).collect();
        unsaid.into_iter().for_each(|call| self.record(now, gateway, call, false));
    }

    /// When [`Desk::run`] is to be called next.
    pub fn next_due(&self) -> Option<Time> {
        let passing = self.passing.keys().next().map(|(at, _)| *at);
        [passing, self.counter.next_event()].into_iter().flatten().min()
    }

    /// Does what is due.
    pub fn run(&mut self, now: Time) {
        while let Some(at) = self.next_due().filter(|at| *at <= now) {
            self.advance(now, at);
        }
        self.advance(now, now);
    }

    /// Who is to look again.
    pub fn take_stirred(&mut self) -> Stirred {
        std::mem::take(&mut self.stirred)
    }

    /// What is due at one instant: faults first.
    fn advance(&mut self, now: Time, at: Time) {
        for ended in self.counter.advance(at) {
            if let Some((origin, amount)) = self.calls.remove(&ended.call) {
                self.settled(now, at, origin, amount, ended.outcome);
            }
        }
        if self.counter.connection_resets() != self.resets {
            self.resets = self.counter.connection_resets();
            self.reset_all();
        }
        if self.counter.is_unreachable() != self.was_lost {
            self.was_lost = self.counter.is_unreachable();
            self.stirred.gateways.extend((0..).take(self.silent.len()));
        }
        while let Some(entry) = self.passing.first_entry().filter(|entry| entry.key().0 <= at) {
            match entry.remove() {
                Passing::Command(origin, command) => self.arrive(now, at, origin, command),
                Passing::Answer(origin, answer) => self.deliver(now, origin, answer),
            }
        }
    }

    fn arrive(&mut self, now: Time, at: Time, origin: Origin, command: Command) {
        let (name, amount, keep) = match command {
            Command::Add(name, amount, keep) => (name, amount, keep),
            Command::Say(text) => {
                let text = Bytes::from_static(text.as_bytes());
                return self.answer(at, origin, Answer { text, call: None, spoils: false });
            }
        };
        let taken = match self.is_open {
            true => self.counter.call(at, origin.gateway, &name, amount, keep),
            false => CallAdmission::Rejected,
        };
        let call = Settled::unsaid(amount.as_f64(), false, origin.came);
        match taken {
            CallAdmission::Accepted(ticket) => {
                self.calls.insert(ticket, (origin, amount));
            }
            CallAdmission::Rejected => {
                let text = Bytes::from_static(b"-BUSY\r\n");
                self.answer(
                    at,
                    origin,
                    Answer { text, call: Some(Settled { refused: true, ..call }), spoils: false },
                );
            }
            CallAdmission::Unreachable => self.never(now, origin, call),
        }
    }

    fn settled(&mut self, now: Time, at: Time, origin: Origin, amount: Amount, end: CallOutcome) {
        let amount = amount.as_f64();
        match end {
            CallOutcome::Dropped => self.never(now, origin, Settled::unsaid(amount, false, origin.came)),
            CallOutcome::NoReply => self.never(now, origin, Settled::unsaid(amount, true, origin.came)),
            CallOutcome::Replied(total) => {
                let (text, spoils) = self.word(at, total);
                let call = Settled { total: !spoils, ..Settled::unsaid(amount, true, origin.came) };
                self.answer(at, origin, Answer { text, call: Some(call), spoils });
            }
        }
    }

    /// The answer that tells a total, or what becomes of it; true: it is spoilt.
    fn word(&mut self, at: Time, total: Amount) -> (Bytes, bool) {
        let garbled = self.garble.as_ref().filter(|garble| at < garble.until);
        if garbled.is_some_and(|garble| self.rng.chance(garble.share)) {
            return (Bytes::from_static(self.noise()), true);
        }
        let mut text = BytesMut::new();
        resp::encode_bulk(&mut text, total.to_string().as_bytes());
        (text.freeze(), false)
    }

    fn noise(&mut self) -> &'static [u8] {
        const NOISE: [&[u8]; 8] = [
            b"$5\r\nhello\r\n",
            b"$3\r\nnan\r\n",
            b"$0\r\n\r\n",
            b"$-1\r\n",
            b"+OK\r\n",
            b"$9\r\n1.5\r\n",
            b"$1\r\n12.5\r\n",
            b"\x00\xff\x17\r\n\r\n",
        ];
        NOISE[self.rng.below(NOISE.len() as u64) as usize]
    }

    fn answer(&mut self, at: Time, origin: Origin, answer: Answer) {
        self.pass(at, Passing::Answer(origin, answer));
    }

    fn deliver(&mut self, now: Time, origin: Origin, answer: Answer) {
        match self.pipes.get_mut(&origin.pipe) {
            Some(pipe) => {
                pipe.settle(origin.number, Some(answer));
                self.stirred.pipes.push(origin.pipe);
            }
            None => {
                if let Some(call) = answer.call {
                    self.record(now, origin.gateway, call, false);
                }
            }
        }
    }

    /// A call has no answer.
    fn never(&mut self, now: Time, origin: Origin, call: Settled) {
        self.record(now, origin.gateway, call, false);
        if let Some(pipe) = self.pipes.get_mut(&origin.pipe) {
            pipe.settle(origin.number, None);
            self.stirred.pipes.push(origin.pipe);
        }
    }

    /// On its way from now on.
    fn pass(&mut self, now: Time, what: Passing) {
        let number = self.number();
        self.passing.insert((now.saturating_add(self.lag), number), what);
    }

    fn record(&self, now: Time, gateway: u32, call: Settled, written: bool) {
        let Settled { amount, added, total, refused: turned_away, came } = call;
        let (answered, took) = (written && total, now.saturating_sub(came));
        self.recorder.see(
            now,
            ObservationKind::CounterCall {
                gateway,
                amount,
                added,
                answered,
                rejected: turned_away,
                duration: took,
            },
        );
    }

    fn doom(&mut self, which: impl Fn(&Pipe) -> bool) {
        self.pipes.values_mut().filter(|pipe| which(pipe)).for_each(|pipe| pipe.doomed = true);
        self.stir(which);
    }

    fn stir(&mut self, which: impl Fn(&Pipe) -> bool) {
        self.stirred.pipes.extend(self.pipes.iter().filter(|(_, pipe)| which(pipe)).map(|(id, _)| *id));
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cluster_model::scenario::CounterSpec;
    use cluster_model::{MS, SECOND};

    const START: Time = 1000 * SECOND;

    fn desk(lag: Span) -> Desk {
        let counter = Counter::new(&CounterSpec::default(), 5);
        let mut desk = Desk::new(counter, 5, 2, lag, Recorder::default());
        desk.open();
        desk
    }

    fn add(name: &'static str) -> Command {
        Command::Add(Bytes::from_static(name.as_bytes()), Amount::parse(b"1").expect("a number"), 30 * SECOND)
    }

    /// What a connection has to say at this time.
    fn says(desk: &mut Desk, now: Time, id: PipeId) -> Batch {
        desk.run(now);
        let mut batch = Batch::default();
        desk.look(id, &mut batch);
        batch
    }

    fn counted(desk: &Desk) -> Vec<(bool, bool)> {
        let seen = desk.recorder.take().into_iter();
        seen.filter_map(|seen| match seen.kind {
            ObservationKind::CounterCall { added, answered, .. } => Some((added, answered)),
            _ => None,
        })
        .collect()
    }

    #[test]
    fn both_ways_take_the_lag() {
        let mut desk = desk(10 * MS);
        let id = desk.connect(START, 0).expect("room");
        desk.hear(START, id, add("a"));
        assert_eq!(desk.total(START + 10 * MS - 1, b"a"), None);
        assert_eq!(desk.next_due(), Some(START + 10 * MS));
        assert!(says(&mut desk, START + 10 * MS, id).bytes.is_empty());
        assert_eq!(desk.total(START + 10 * MS, b"a"), Some(1.0));
        assert!(says(&mut desk, START + 21 * MS - 1, id).bytes.is_empty());
        assert_eq!(says(&mut desk, START + 21 * MS, id).bytes, "$1\r\n1\r\n");
    }

    #[test]
    fn a_call_is_answered_once_its_answer_is_written() {
        let mut desk = desk(0);
        let id = desk.connect(START, 0).expect("room");
        desk.hear(START, id, add("a"));
        desk.hear(START, id, add("b"));
        let batch = says(&mut desk, START + SECOND, id);
        assert!(counted(&desk).is_empty());
        desk.wrote(START + SECOND, id, batch);
        assert_eq!(counted(&desk), [(true, true), (true, true)]);
    }

    #[test]
    fn calls_whose_caller_has_gone_are_added_and_not_answered() {
        let mut desk = desk(0);
        let id = desk.connect(START, 0).expect("room");
        let other = desk.connect(START, 0).expect("room");
        desk.hear(START, id, add("a"));
        desk.hear(START, id, add("b"));
        desk.hear(START, other, add("a"));
        desk.hear(START, other, add("a"));
        desk.close(START, id, Batch::default());
        let batch = says(&mut desk, START + SECOND, other);
        desk.close(START + SECOND, other, batch);
        assert_eq!(counted(&desk), [(true, false); 4]);
        assert_eq!(desk.total(START, b"a"), Some(3.0));
    }

    #[test]
    fn spoilt_answers_add_and_end_with_their_time() {
        let mut desk = desk(0);
        let id = desk.connect(START, 0).expect("room");
        desk.garble(START, 1.0, 100 * MS);
        desk.hear(START, id, add("a"));
        let batch = says(&mut desk, START + 50 * MS, id);
        let text = String::from_utf8_lossy(&batch.bytes).into_owned();
        assert!(!text.is_empty() && text != "$1\r\n1\r\n", "{text:?}");
        desk.wrote(START + 50 * MS, id, batch);
        desk.hear(START + 60 * MS, id, add("a"));
        assert_eq!(counted(&desk), [(true, false), (false, false)], "of no further use");
        let other = desk.connect(START + 100 * MS, 0).expect("room");
        desk.hear(START + 100 * MS, other, add("a"));
        assert_eq!(says(&mut desk, START + 200 * MS, other).bytes, "$1\r\n2\r\n");
    }

    #[test]
    fn no_noise_is_an_answer() {
        let mut desk = desk(0);
        for _ in 0..100 {
            let mut text = BytesMut::from(desk.noise());
            let total = match resp::decode(&mut text) {
                Ok(Some(resp::Frame::Bulk(text))) => Amount::parse(&text),
                _ => None,
            };
            assert_eq!(total, None);
        }
    }

    #[test]
    fn a_silent_way_lets_connections_stand() {
        let mut desk = desk(0);
        let id = desk.connect(START, 0).expect("room");
        desk.set_silent(0, true);
        assert_eq!((desk.way(0), desk.way(1)), (Way::Silent, Way::Open));
        let view = desk.look(id, &mut Batch::default());
        assert!(view.silent && view.idle_at.is_none());
        desk.set_silent(0, false);
        assert_eq!(desk.look(id, &mut Batch::default()).idle_at, Some(START + 10 * SECOND));
    }

    #[test]
    fn who_is_concerned_is_stirred() {
        let mut desk = desk(0);
        let pipes: Vec<PipeId> = (0..2).filter_map(|gateway| desk.connect(START, gateway)).collect();
        desk.fail(START, CounterFault::Unreachable, SECOND);
        let stirred = desk.take_stirred();
        assert_eq!((stirred.pipes, stirred.gateways), (pipes.clone(), vec![0, 1]));
        assert!(desk.look(pipes[0], &mut Batch::default()).doomed);
        assert_eq!(desk.connect(START, 0), None);
        desk.run(START + SECOND);
        assert_eq!((desk.take_stirred().gateways, desk.way(0)), (vec![0, 1], Way::Open));
    }
}
