//! What all handles of a room share. Each lock is held for a few lines that run no code of anyone else's:
//! futures are polled and dropped, and tasks woken, with none held.

use crate::digest::Packet;
use crate::executor::{RunQueue, Tasks};
use crate::halt::Halt;
use crate::net::place::MachineId;
use crate::net::{Next, Room};
use crate::process::{Process, ProcessId};
use crate::timers::Agenda;
use crate::watchdog::Progress;
use crate::{Action, SimConfig};
use runtime::Time;
use std::collections::BTreeMap;
use std::mem;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// More polls of one process at one instant are no honest work.
const MOST_POLLS: u64 = 1_000_000;

/// Who is shown what passes.
pub(crate) type Tracer = Box<dyn FnMut(&Packet) + Send>;

/// What all handles of a room share.
pub(crate) struct Shared {
    now: AtomicU64,
    /// Turns of what is due at the same moment.
    order: Arc<AtomicU64>,
    room: Mutex<Room>,
    pub(crate) tasks: Mutex<Tasks>,
    pub(crate) queue: Arc<RunQueue>,
    actions: Mutex<BTreeMap<(Time, u64), Action>>,
    tracing: AtomicBool,
    tracer: Mutex<Option<Tracer>>,
    pub(crate) progress: Arc<Progress>,
    halted: AtomicBool,
    halt: Mutex<Option<Halt>>,
    running: AtomicBool,
}

/// Holds a lock. Code under our locks does not panic halfway through a change, so one that was poisoned by a
/// panic elsewhere on its thread is as good as any.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(crate) fn new(config: SimConfig) -> Shared {
        let order = Arc::new(AtomicU64::new(0));
        let agenda = Agenda::new(order.clone());
        Shared {
            now: AtomicU64::new(config.start),
            order,
            room: Mutex::new(Room::new(config.seed, config.start, config.network, agenda)),
            tasks: Mutex::new(Tasks::new(MOST_POLLS)),
            queue: Arc::default(),
            actions: Mutex::default(),
            tracing: AtomicBool::new(false),
            tracer: Mutex::default(),
            progress: Arc::default(),
            halted: AtomicBool::new(false),
            halt: Mutex::default(),
            running: AtomicBool::new(false),
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.now.load(Ordering::Relaxed)
    }

    pub(crate) fn advance(&self, to: Time) {
        self.now.store(to, Ordering::Relaxed);
        lock(&self.room).now = to;
    }

    pub(crate) fn next_turn(&self) -> u64 {
        self.order.fetch_add(1, Ordering::Relaxed)
    }

    /// Does something in the room, then wakes those whom it concerns.
    pub(crate) fn room<T>(&self, act: impl FnOnce(&mut Room) -> T) -> T {
        let mut room = lock(&self.room);
        let result = act(&mut room);
        let wakes = mem::take(&mut room.wakes);
        drop(room);
        wakes.done();
        result
    }

    /// Lets the next event happen, if it is due.
    pub(crate) fn next(&self) -> Next {
        let next = self.room(Room::next);
        self.show();
        next
    }

    /// Shows what has passed to the one who traces.
    pub(crate) fn show(&self) {
        if !self.tracing.load(Ordering::Relaxed) {
            return;
        }
        let Some(mut tracer) = lock(&self.tracer).take() else { return };
        let traced = mem::take(&mut lock(&self.room).log.traced);
        traced.iter().for_each(&mut tracer);
        lock(&self.tracer).get_or_insert(tracer);
    }

    pub(crate) fn trace(&self, tracer: Tracer) {
        lock(&self.room).log.tracing = true;
        let old = lock(&self.tracer).replace(tracer);
        self.tracing.store(true, Ordering::Relaxed);
        drop(old);
    }

    pub(crate) fn add_action(&self, at: Time, action: Action) {
        let turn = self.next_turn();
        lock(&self.actions).insert((at, turn), action);
    }

    /// The next action, if it is due.
    pub(crate) fn take_action(&self) -> Option<Action> {
        let mut actions = lock(&self.actions);
        let first = actions.first_entry()?;
        (first.key().0 <= self.now()).then(|| first.remove())
    }

    pub(crate) fn next_action(&self) -> Option<Time> {
        lock(&self.actions).keys().next().map(|(at, _)| *at)
    }

    pub(crate) fn add_process(&self, machine: MachineId, name: &str) -> ProcessId {
        let mut room = lock(&self.room);
        let id = ProcessId(room.processes.len() as u32);
        room.processes.push(Process::new(machine));
        drop(room);
        lock(&self.tasks).add_process();
        self.progress.add_process(name);
        id
    }

    pub(crate) fn name_of(&self, process: ProcessId) -> String {
        self.progress.name_of(process).unwrap_or_default()
    }

    /// The run cannot go on. The first reason counts.
    pub(crate) fn halt(&self, halt: Halt) {
        lock(&self.halt).get_or_insert(halt);
        self.halted.store(true, Ordering::Relaxed);
    }

    pub(crate) fn check(&self) -> Result<(), Halt> {
        if !self.halted.load(Ordering::Relaxed) {
            return Ok(());
        }
        lock(&self.halt).clone().map_or(Ok(()), Err)
    }

    /// Marks the room as being run.
    pub(crate) fn start_running(&self) -> Running<'_> {
        let was = self.running.swap(true, Ordering::AcqRel);
        assert!(!was, "a simulated room is run from one place at a time, and not from inside itself");
        Running(self)
    }

    /// Ends everything, so that nothing keeps itself alive.
    pub(crate) fn close(&self) {
        let processes = lock(&self.room).processes.len() as u32;
        for process in (0..processes).map(ProcessId) {
            self.room(|room| room.end_process(process, crate::net::faults::HangUp::Silent));
            self.drop_tasks(process);
        }
        let actions = mem::take(&mut *lock(&self.actions));
        let events = lock(&self.room).agenda.clear();
        let tracer = lock(&self.tracer).take();
        drop((actions, events, tracer));
    }
}

/// While the room is run.
pub(crate) struct Running<'a>(&'a Shared);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.store(false, Ordering::Release);
    }
}
