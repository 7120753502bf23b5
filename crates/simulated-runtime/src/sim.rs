//! The room from outside: machines, faults, scripts, and the run.

use crate::digest::Packet;
use crate::env::SimEnv;
use crate::halt::Halt;
use crate::net::faults::HangUp;
use crate::net::links::{LinkFault, LinkFaultId};
use crate::net::place::{Cut, CutId, MachineId, MachineState, Place};
use crate::net::Next;
use crate::panics;
use crate::process::ProcessId;
use crate::shared::{lock, Shared};
use cluster_model::scenario::NetworkSpec;
use runtime::Time;
use std::net::IpAddr;
use std::sync::Arc;

/// A room to begin with.
#[derive(Clone, Debug)]
pub struct SimConfig {
    /// All chance comes from it.
    pub seed: u64,
    /// What the clock shows at first, in nanoseconds of Unix time.
    pub start: Time,
    /// Delays, jitter and windows.
    pub network: NetworkSpec,
}

/// Something scripted.
pub(crate) type Action = Box<dyn FnOnce(&Sim) + Send>;

/// A simulated machine room. Clones are of the same one; when the last is dropped, all its processes end, so
/// tasks and actions should hold none.
#[derive(Clone)]
pub struct Sim(Arc<Owner>);

struct Owner(Arc<Shared>);

impl Drop for Owner {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Counts, for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Polls of tasks.
    pub polls: u64,
    /// Packets that have arrived.
    pub packets: u64,
    /// Timers that fell due while someone waited for them.
    pub timers: u64,
}

impl Sim {
    /// An empty room.
    pub fn new(config: SimConfig) -> Sim {
        panics::keep_texts();
        Sim(Arc::new(Owner(Arc::new(Shared::new(config)))))
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.0 .0
    }

    /// Now.
    pub fn now(&self) -> Time {
        self.shared().now()
    }

    /// Puts up a machine. Its address is the next one of 10.0.0.1, 10.0.0.2, ...
    pub fn machine(&self, name: &str, place: Place) -> Machine {
        let id = self.shared().room(|room| {
            room.machines.push(MachineState::new(name, place));
            MachineId(room.machines.len() as u32 - 1)
        });
        Machine { shared: self.shared().clone(), id }
    }

    /// Ends a process as SIGKILL does. Its tasks are dropped in one go, and with them their timers; its
    /// listeners are no more; its connections are reset, and of the bytes that are on their way only a first
    /// part, up to a random byte, comes before that. A task that does this to its own process runs on to its
    /// next rest, with nothing left in its hands.
    pub fn kill(&self, process: ProcessId) {
        self.end(process, HangUp::Torn);
    }

    /// Ends a process in the ordinary way. Its tasks are dropped, and its connections closed as a system
    /// closes them: what is on its way arrives, and after it the end; a reset instead where unread bytes lay.
    pub fn exit(&self, process: ProcessId) {
        self.end(process, HangUp::Close);
    }

    fn end(&self, process: ProcessId, how: HangUp) {
        // The connections first: what tasks do as they are dropped reaches nobody.
        self.shared().room(|room| room.end_process(process, how));
        self.shared().drop_tasks(process);
    }

    /// Lets a process stand still as SIGSTOP does, or go on as SIGCONT does. The clock goes on, timers fall due
    /// and are seen late, and the system takes in connections and bytes as long as there is room.
    pub fn stop(&self, process: ProcessId, stopped: bool) {
        self.shared().stop(process, stopped);
    }

    /// Something goes wrong with the links from each first machine to each second one, where the first opened the
    /// connection, until it is ended.
    pub fn begin_link(&self, pairs: Vec<(MachineId, MachineId)>, fault: LinkFault) -> LinkFaultId {
        self.shared().room(|room| room.begin_link(pairs, fault))
    }

    /// It is over.
    pub fn end_link(&self, fault: LinkFaultId) {
        self.shared().room(|room| room.end_link(fault));
    }

    /// Resets all connections that each first machine has opened to each second one, at both ends; what is on its
    /// way is lost.
    pub fn reset_links(&self, pairs: &[(MachineId, MachineId)]) {
        self.shared().room(|room| room.reset_links(pairs));
    }

    /// The name that a process was given.
    pub fn process_name(&self, process: ProcessId) -> String {
        self.shared().name_of(process)
    }

    /// Parts two sides from one another. A machine on both is never cut off from itself.
    ///
    /// [`Cut::Silent`]: what is due to arrive while the cut is in force is lost. It is sent again with a
    /// time-out of 200 ms that doubles (up to 120 s) and is never given up, so it comes after the heal, in
    /// order; requests for connections are sent again 1, 3, 7, 15 and 31 s after the first and given up after
    /// 63 s; resets are not sent again. [`Cut::Reset`]: open connections are reset at both ends now, with the
    /// loss of what is on its way; new ones are refused.
    pub fn cut(&self, a: Vec<MachineId>, b: Vec<MachineId>, how: Cut) -> CutId {
        self.shared().room(|room| room.cut(&a, &b, how))
    }

    /// Takes a cut away.
    pub fn heal(&self, cut: CutId) {
        self.shared().room(|room| room.heal(cut));
    }

    /// Does something at this time, before any timer or message that is due then, in the order of these calls;
    /// if the time has passed, at the next turn. A panic of it goes through to who runs the room.
    pub fn at(&self, time: Time, action: impl FnOnce(&Sim) + Send + 'static) {
        self.shared().add_action(time, Box::new(action));
    }

    /// Runs until all that is due by this time has happened. The clock then shows this time, unless it was
    /// past it before.
    ///
    /// # Errors
    /// When a task panics or spins; after that the room stays halted.
    ///
    /// # Panics
    /// When called while the room is being run, as from inside a task.
    pub fn run_until(&self, time: Time) -> Result<(), Halt> {
        let shared = self.shared();
        let _running = shared.start_running();
        shared.check()?;
        loop {
            while let Some(action) = shared.take_action() {
                action(self);
            }
            shared.run_ready()?;
            let event = match shared.next() {
                Next::Done => continue,
                Next::At(time) => Some(time),
                Next::Nothing => None,
            };
            let due = shared.next_action().into_iter().chain(event).min();
            match due.filter(|due| *due <= time) {
                Some(due) => shared.advance(due.max(shared.now())),
                None => break,
            }
        }
        shared.advance(time.max(shared.now()));
        Ok(())
    }

    /// Polls that one process may have at one instant; one more halts the run. 1,000,000 at first.
    pub fn limit_polls(&self, polls: u64) {
        lock(&self.shared().tasks).most_polls = polls;
    }

    /// One hash over all that has passed on any wire so far, in order and with its time: SipHash-1-3 with 128
    /// bits. It depends on no log, build or machine.
    pub fn digest(&self) -> u128 {
        self.shared().room(|room| room.log.digest.value())
    }

    /// Shows each thing that arrives from now on, just after it has. There is one who is shown; the last one
    /// counts.
    pub fn trace(&self, tracer: Box<dyn FnMut(&Packet) + Send>) {
        self.shared().trace(tracer);
    }

    /// Counts since the beginning.
    pub fn stats(&self) -> Stats {
        let polls = lock(&self.shared().tasks).polls;
        self.shared().room(|room| Stats { polls, packets: room.log.packets, timers: room.log.timers })
    }
}

/// A machine.
#[derive(Clone)]
pub struct Machine {
    shared: Arc<Shared>,
    id: MachineId,
}

impl Machine {
    /// Which one it is.
    pub fn id(&self) -> MachineId {
        self.id
    }

    /// Its address.
    pub fn ip(&self) -> IpAddr {
        self.id.ip()
    }

    /// Starts a process, with no task in it. On a machine that has vanished, it is not heard.
    pub fn process(&self, name: &str) -> SimEnv {
        SimEnv::new(self.shared.clone(), self.shared.add_process(self.id, name))
    }

    /// Loses power: its processes end, and nothing says so to anyone. What is sent to it is lost.
    pub fn vanish(&self) {
        let ended = self.shared.room(|room| room.vanish(self.id));
        ended.into_iter().for_each(|process| self.shared.drop_tasks(process));
    }

    /// Has power again. It runs no process, and answers what comes on connections from before with resets.
    pub fn back(&self) {
        self.shared.room(|room| room.machine_mut(self.id).up = true);
    }
}
