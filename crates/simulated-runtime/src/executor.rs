//! Tasks, and whose turn it is.

use crate::halt::Halt;
use crate::panics;
use crate::process::ProcessId;
use crate::shared::{lock, Shared};
use crate::slab::{Key, Slab};
use runtime::Time;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};

/// What a task has still to do.
pub(crate) type Body = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Tasks that can go on, in the order in which they were woken.
#[derive(Default)]
pub(crate) struct RunQueue(Mutex<VecDeque<Key>>);

impl RunQueue {
    fn pop(&self) -> Option<Key> {
        lock(&self.0).pop_front()
    }
}

/// What wakes a task.
struct TaskWaker {
    queue: Arc<RunQueue>,
    task: Key,
    queued: AtomicBool,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::AcqRel) {
            lock(&self.queue.0).push_back(self.task);
        }
    }
}

struct TaskState {
    process: ProcessId,
    /// None while it is being polled.
    body: Option<Body>,
    waker: Arc<TaskWaker>,
    /// It is dropped at its next turn.
    aborted: bool,
}

/// A process, as the executor knows it.
struct Runner {
    alive: bool,
    /// It does not run; its tasks that could go on wait here in their order.
    stopped: bool,
    waiting: Vec<Key>,
    /// Polls at this instant.
    at: Time,
    polls: u64,
}

/// All tasks.
pub(crate) struct Tasks {
    all: Slab<TaskState>,
    runners: Vec<Runner>,
    pub(crate) polls: u64,
    pub(crate) most_polls: u64,
}

/// What a turn is for.
enum Turn {
    Poll(Body, Arc<TaskWaker>),
    Drop(Option<Body>),
    Spins(u64),
}

impl Tasks {
    pub(crate) fn new(most_polls: u64) -> Tasks {
        Tasks { all: Slab::new(), runners: Vec::new(), polls: 0, most_polls }
    }

    pub(crate) fn add_process(&mut self) {
        self.runners.push(Runner { alive: true, stopped: false, waiting: Vec::new(), at: 0, polls: 0 });
    }

    /// The bodies of all tasks of a process that has ended. One that is being polled goes after that.
    #[must_use]
    fn end_process(&mut self, process: ProcessId) -> Vec<Body> {
        self.runners[process.0 as usize].alive = false;
        let tasks = self.all.keys_of(|task| task.process == process);
        tasks.into_iter().filter_map(|key| self.all.remove(key)?.body).collect()
    }

    /// Lets a process stand still, or go on; gives the tasks that have waited.
    fn stop(&mut self, process: ProcessId, stopped: bool) -> Vec<Key> {
        let runner = &mut self.runners[process.0 as usize];
        runner.stopped = stopped;
        if stopped {
            Vec::new()
        } else {
            std::mem::take(&mut runner.waiting)
        }
    }

    fn begin(&mut self, key: Key, now: Time) -> Option<(ProcessId, Turn)> {
        let task = self.all.get_mut(key)?;
        let process = task.process;
        if task.aborted {
            let body = self.all.remove(key).and_then(|task| task.body);
            return Some((process, Turn::Drop(body)));
        }
        let runner = &mut self.runners[process.0 as usize];
        if runner.stopped {
            runner.waiting.push(key);
            return None;
        }
        if runner.at != now {
            runner.at = now;
            runner.polls = 0;
        }
        runner.polls += 1;
        if runner.polls > self.most_polls {
            return Some((process, Turn::Spins(runner.polls)));
        }
        self.polls += 1;
        task.waker.queued.store(false, Ordering::Release);
        let body = task.body.take()?;
        Some((process, Turn::Poll(body, task.waker.clone())))
    }

    /// Puts a task back to rest; gives the body if the task is no more.
    #[must_use]
    fn rest(&mut self, key: Key, body: Body) -> Option<Body> {
        match self.all.get_mut(key) {
            Some(task) => {
                task.body = Some(body);
                None
            }
            None => Some(body),
        }
    }
}

impl Shared {
    /// Starts a task; in a process that has ended it is dropped at once.
    pub(crate) fn spawn(&self, process: ProcessId, body: Body) -> Option<Key> {
        let mut tasks = lock(&self.tasks);
        if !tasks.runners[process.0 as usize].alive {
            drop(tasks);
            drop(body);
            return None;
        }
        let mut started = None;
        let key = tasks.all.insert_with(|task| {
            let queue = self.queue.clone();
            let waker = Arc::new(TaskWaker { queue, task, queued: AtomicBool::new(false) });
            started = Some(waker.clone());
            TaskState { process, body: Some(body), waker, aborted: false }
        });
        drop(tasks);
        started.into_iter().for_each(Wake::wake);
        Some(key)
    }

    /// Lets a task be dropped at its next turn, and gives it one.
    pub(crate) fn abort(&self, key: Key) {
        let waker = lock(&self.tasks).all.get_mut(key).map(|task| {
            task.aborted = true;
            task.waker.clone()
        });
        waker.into_iter().for_each(Wake::wake);
    }

    /// Lets a process stand still, or go on where it was.
    pub(crate) fn stop(&self, process: ProcessId, stopped: bool) {
        let waited = lock(&self.tasks).stop(process, stopped);
        lock(&self.queue.0).extend(waited);
    }

    /// Drops the tasks of a process.
    pub(crate) fn drop_tasks(&self, process: ProcessId) {
        let bodies = lock(&self.tasks).end_process(process);
        bodies.into_iter().for_each(|body| self.drop_body(process, body));
    }

    /// Lets tasks go on until all rest.
    pub(crate) fn run_ready(&self) -> Result<(), Halt> {
        while let Some(key) = self.queue.pop() {
            self.turn(key);
            self.check()?;
        }
        Ok(())
    }

    fn turn(&self, key: Key) {
        let Some((process, turn)) = lock(&self.tasks).begin(key, self.now()) else { return };
        match turn {
            Turn::Poll(body, waker) => self.poll(key, process, body, waker),
            Turn::Drop(body) => body.into_iter().for_each(|body| self.drop_body(process, body)),
            Turn::Spins(polls) => self.halt(Halt::Spins { process: self.name_of(process), polls }),
        }
    }

    fn poll(&self, key: Key, process: ProcessId, mut body: Body, waker: Arc<TaskWaker>) {
        let waker = Waker::from(waker);
        let polled = self.guard(process, || body.as_mut().poll(&mut Context::from_waker(&waker)));
        if let Some(Poll::Pending) = polled {
            let left = lock(&self.tasks).rest(key, body);
            return left.into_iter().for_each(|body| self.drop_body(process, body));
        }
        lock(&self.tasks).all.remove(key);
        self.drop_body(process, body);
    }

    fn drop_body(&self, process: ProcessId, body: Body) {
        self.guard(process, || drop(body));
    }

    /// Runs code of a process; none if it panicked.
    fn guard<T>(&self, process: ProcessId, run: impl FnOnce() -> T) -> Option<T> {
        let before = self.progress.enter(process);
        let result = panics::catch(run);
        self.progress.leave(before);
        result.map_err(|text| self.halt(Halt::Panicked { process: self.name_of(process), text })).ok()
    }
}
