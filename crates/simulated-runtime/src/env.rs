//! A process, as the code that runs in it sees the world.

use crate::net::faults::HangUp;
use crate::net::stream::{SimListener, SimStream};
use crate::process::ProcessId;
use crate::shared::Shared;
use crate::slab::Key;
use crate::timers::{Clock, SimSleep};
use runtime::{Env, Span, Task, Time};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// A process. Clones are of the same one.
#[derive(Clone)]
pub struct SimEnv {
    shared: Arc<Shared>,
    process: ProcessId,
    clock: Clock,
}

impl SimEnv {
    pub(crate) fn new(shared: Arc<Shared>, process: ProcessId) -> SimEnv {
        SimEnv { shared, process, clock: Clock::default() }
    }

    /// The same process, whose clock is ahead of the room's by so many nanoseconds, or behind. To be said before
    /// anything runs in it.
    pub fn with_clock(self, ahead: i64) -> SimEnv {
        SimEnv { clock: Clock::ahead(ahead), ..self }
    }

    /// Its clock has stood still for so long, and its timers with it: what falls due by its own clock does so that
    /// much later. To be said while the process stands still, or what it has seen of its clock would go back.
    pub fn clock_stood_still(&self, span: Span) {
        self.clock.turn(-(span.min(i64::MAX as u64) as i64));
    }

    /// Which process it is.
    pub fn process_id(&self) -> ProcessId {
        self.process
    }

    /// Whether it has not ended.
    pub fn is_alive(&self) -> bool {
        self.shared.room(|room| room.process(self.process).alive)
    }

    /// Ends it in the ordinary way, as [`Sim::exit`](crate::Sim::exit) does. A task that does this to its own
    /// process runs on to its next rest, with nothing left in its hands.
    pub fn exit(&self) {
        self.shared.room(|room| room.end_process(self.process, HangUp::Close));
        self.shared.drop_tasks(self.process);
    }

    /// Descriptors that it may have open: connections, also those that it asks for, and listeners. Beyond it,
    /// connecting, accepting and listening fail as "too many open files" (EMFILE); what was to be accepted
    /// stays. There is no limit at first.
    pub fn set_descriptors(&self, most: usize) {
        self.shared.room(|room| room.process_mut(self.process).most = most);
    }

    /// Descriptors that it has open.
    pub fn open_descriptors(&self) -> usize {
        self.shared.room(|room| room.process(self.process).open)
    }
}

impl Env for SimEnv {
    type Stream = SimStream;
    type Listener = SimListener;
    type Sleep = SimSleep;
    type Task = SimTask;

    fn now(&self) -> Time {
        self.clock.shown(self.shared.now())
    }

    fn sleep_until(&self, at: Time) -> SimSleep {
        SimSleep::new(self.shared.clone(), self.clock.clone(), at)
    }

    fn spawn<F: Future<Output = ()> + Send + 'static>(&self, task: F) -> SimTask {
        let key = self.shared.spawn(self.process, Box::pin(task));
        SimTask { shared: self.shared.clone(), key }
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<SimStream> {
        SimStream::connect(&self.shared, self.process, to).await
    }

    fn listen(&self, on: SocketAddr, backlog: u32) -> io::Result<SimListener> {
        let (key, addr) = self.shared.room(|room| room.listen(self.process, on, backlog))?;
        Ok(SimListener::new(&self.shared, key, addr))
    }
}

/// A task.
pub struct SimTask {
    shared: Arc<Shared>,
    /// None: its process had ended before it began.
    key: Option<Key>,
}

impl Task for SimTask {
    fn abort(&self) {
        self.key.into_iter().for_each(|key| self.shared.abort(key));
    }
}
