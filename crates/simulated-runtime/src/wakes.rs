//! Whom to wake. A waker may run code of anyone's, so it is neither woken nor dropped under a lock.

use std::task::Waker;

/// Wakers to be dealt with once no lock is held. One is by far the usual number and needs no memory.
#[derive(Default)]
pub(crate) struct Wakes {
    first: Option<Waker>,
    more: Vec<Waker>,
    /// Not to be woken, only dropped.
    old: Vec<Waker>,
}

impl Wakes {
    /// Wakes this one.
    pub(crate) fn add(&mut self, waker: Waker) {
        match &self.first {
            None => self.first = Some(waker),
            Some(_) => self.more.push(waker),
        }
    }

    /// Wakes the one who waits there, if any.
    pub(crate) fn wake(&mut self, place: &mut Option<Waker>) {
        if let Some(waker) = place.take() {
            self.add(waker);
        }
    }

    /// Lets this one wait there.
    pub(crate) fn wait(&mut self, place: &mut Option<Waker>, waker: &Waker) {
        match place {
            Some(old) if old.will_wake(waker) => {}
            _ => self.old.extend(place.replace(waker.clone())),
        }
    }

    /// Nobody waits there any more.
    pub(crate) fn forget(&mut self, place: &mut Option<Waker>) {
        self.old.extend(place.take());
    }

    /// Wakes them, in order.
    pub(crate) fn done(self) {
        self.first.into_iter().chain(self.more).for_each(Waker::wake);
    }
}
