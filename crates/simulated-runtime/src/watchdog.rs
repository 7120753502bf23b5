//! What no count of polls finds: a task that never gives its turn back.

use crate::process::ProcessId;
use crate::shared::lock;
use crate::Sim;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError, Sender};
use std::sync::Mutex;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Looks per limit, so that it fires at most a quarter late.
const LOOKS: u32 = 4;

/// Whose turn it is, for those who look from outside.
#[derive(Default)]
pub(crate) struct Progress {
    /// Turns begun.
    turns: AtomicU64,
    /// Whose it is: a process counted from 1, or 0 for nobody's.
    process: AtomicU64,
    names: Mutex<Vec<String>>,
}

impl Progress {
    pub(crate) fn add_process(&self, name: &str) {
        lock(&self.names).push(name.to_owned());
    }

    pub(crate) fn name_of(&self, process: ProcessId) -> Option<String> {
        lock(&self.names).get(process.0 as usize).cloned()
    }

    /// A process has its turn now; who had it before.
    pub(crate) fn enter(&self, process: ProcessId) -> u64 {
        self.turns.fetch_add(1, Ordering::Relaxed);
        self.process.swap(u64::from(process.0) + 1, Ordering::Relaxed)
    }

    /// It is over, and `before` goes on.
    pub(crate) fn leave(&self, before: u64) {
        self.process.store(before, Ordering::Relaxed);
    }

    fn look(&self) -> Option<(u64, ProcessId)> {
        let process = self.process.load(Ordering::Relaxed).checked_sub(1)?;
        Some((self.turns.load(Ordering::Relaxed), ProcessId(process as u32)))
    }
}

/// A thread that watches for a task that does not give its turn back. It is for programs: it goes by real
/// time and has no part in what a run gives. Dropped, it stops.
pub struct Watchdog {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Watchdog {
    /// Calls `on_stuck` once, with a sentence that names the process, if one turn of a task has lasted for
    /// longer than `limit` of real time. The turn cannot be ended from outside: usually the program is.
    pub fn start(sim: &Sim, limit: Duration, on_stuck: impl FnOnce(String) + Send + 'static) -> Watchdog {
        let progress = sim.shared().progress.clone();
        let (stop, stopped) = mpsc::channel();
        let thread = thread::spawn(move || {
            let pause = || match stopped.recv_timeout(limit / LOOKS) {
                Err(RecvTimeoutError::Timeout) => true,
                Ok(()) | Err(RecvTimeoutError::Disconnected) => false,
            };
            if let Some(process) = find_stuck(&progress, limit, pause) {
                let name = progress.name_of(process).unwrap_or_default();
                on_stuck(format!("process {name} is stuck: one turn of a task has lasted over {limit:?}"));
            }
        });
        Watchdog { stop: Some(stop), thread: Some(thread) }
    }
}

/// Who is stuck; none when `pause` says that it is over.
fn find_stuck(progress: &Progress, limit: Duration, pause: impl Fn() -> bool) -> Option<ProcessId> {
    let mut seen: Option<((u64, ProcessId), Instant)> = None;
    while pause() {
        let look = progress.look();
        match (look, seen) {
            (Some(turn), Some((before, since))) if turn == before => {
                if since.elapsed() > limit {
                    return Some(turn.1);
                }
            }
            _ => seen = look.map(|turn| (turn, Instant::now())),
        }
    }
    None
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // What `on_stuck` panicked with has been printed.
            let _ = thread.join();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;

    /// Who is found stuck in so many looks at a limit of nothing, where this happens before each look.
    fn found(looks: u32, between: impl Fn(&Progress)) -> Option<ProcessId> {
        let (progress, left) = (Progress::default(), Cell::new(looks));
        let pause = || {
            between(&progress);
            // Until some time has passed on the machine's own clock.
            let now = Instant::now();
            while now.elapsed().is_zero() {}
            left.replace(left.get().saturating_sub(1)) > 0
        };
        find_stuck(&progress, Duration::ZERO, pause)
    }

    #[test]
    fn only_a_turn_that_lasts_is_stuck() {
        assert_eq!(found(3, |_| {}), None, "nobody has a turn");
        let lasts = |progress: &Progress| {
            if progress.look().is_none() {
                progress.enter(ProcessId(4));
            }
        };
        assert_eq!(found(3, lasts), Some(ProcessId(4)));
        assert_eq!(found(1, lasts), None, "it takes two looks");
    }

    #[test]
    fn turns_that_come_and_go_are_none_that_lasts() {
        let next = |progress: &Progress| {
            progress.enter(ProcessId(4));
        };
        assert_eq!(found(100, next), None);
        let ended = |progress: &Progress| {
            let before = progress.enter(ProcessId(4));
            progress.leave(before);
        };
        assert_eq!(found(100, ended), None);
    }
}
