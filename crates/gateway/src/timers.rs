//! What falls due in a gateway, each at its own time. What is over is taken out again, so that nobody is woken for it.

use policy::api::Time;
use std::collections::BTreeSet;

/// Things that fall due, the earliest first; of one moment in their own order, so that all is the same each time.
#[derive(Debug)]
pub(crate) struct Timers<T>(BTreeSet<(Time, T)>);

impl<T: Copy + Ord> Timers<T> {
    pub fn new() -> Timers<T> {
        Timers(BTreeSet::new())
    }

    /// This falls due then.
    pub fn set(&mut self, at: Time, what: T) {
        self.0.insert((at, what));
    }

    /// It does not any more.
    pub fn cancel(&mut self, at: Time, what: T) {
        self.0.remove(&(at, what));
    }

    /// When the first of all falls due.
    pub fn next(&self) -> Option<Time> {
        self.0.first().map(|(at, _)| *at)
    }

    /// The first that is due by now.
    pub fn take(&mut self, now: Time) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, what)| what)
    }

    /// Only those that `keep` says.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.0.retain(|(_, what)| keep(what));
    }
}
