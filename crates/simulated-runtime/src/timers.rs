//! What is due when, and the timers of tasks.

use crate::net::connection::Side;
use crate::shared::Shared;
use crate::slab::Key;
use runtime::{Sleep, Time};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// When something is due, and its turn among what is due then.
pub(crate) type Due = (Time, u64);

/// Something that happens by itself.
pub(crate) enum Event {
    /// A timer falls due.
    Timer(Waker),
    /// The first of what is on its way on a connection, from this side, arrives.
    Arrive(Key, Side),
    /// A request for a connection arrives.
    Syn(Key),
    /// A request for a connection has been sent often enough.
    SynOver(Key),
}

/// All that is due some time.
pub(crate) struct Agenda {
    events: BTreeMap<Due, Event>,
    order: Arc<AtomicU64>,
}

impl Agenda {
    /// `order` gives turns.
    pub(crate) fn new(order: Arc<AtomicU64>) -> Agenda {
        Agenda { events: BTreeMap::new(), order }
    }

    pub(crate) fn add(&mut self, at: Time, event: Event) -> Due {
        let due = (at, self.order.fetch_add(1, Ordering::Relaxed));
        self.events.insert(due, event);
        due
    }

    pub(crate) fn remove(&mut self, due: Due) -> Option<Event> {
        self.events.remove(&due)
    }

    /// The next event, if it is due by now.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Event> {
        let first = self.events.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    /// When the next event is due.
    pub(crate) fn next(&self) -> Option<Time> {
        self.events.keys().next().map(|due| due.0)
    }

    /// Forgets everything and gives it, to be dropped where no lock is held.
    pub(crate) fn clear(&mut self) -> BTreeMap<Due, Event> {
        std::mem::take(&mut self.events)
    }

    /// Lets `waker` wait for the timer at `due`; the one who waited before.
    fn wait(&mut self, due: Due, waker: &Waker) -> Option<Event> {
        match self.events.get(&due) {
            Some(Event::Timer(old)) if old.will_wake(waker) => None,
            _ => self.events.insert(due, Event::Timer(waker.clone())),
        }
    }
}

/// What the clock of a process shows: so many nanoseconds more than the room's, or fewer. Clones are of the same one.
#[derive(Clone, Default)]
pub(crate) struct Clock(Arc<AtomicI64>);

impl Clock {
    pub(crate) fn ahead(by: i64) -> Clock {
        Clock(Arc::new(AtomicI64::new(by)))
    }

    /// What it shows when the room's shows this.
    pub(crate) fn shown(&self, room: Time) -> Time {
        room.saturating_add_signed(self.0.load(Ordering::Relaxed))
    }

    /// What the room's shows when it shows this.
    fn room(&self, shown: Time) -> Time {
        shown.saturating_add_signed(-self.0.load(Ordering::Relaxed))
    }

    pub(crate) fn turn(&self, by: i64) {
        self.0.fetch_add(by, Ordering::Relaxed);
    }
}

/// A timer of a task. Its turn among those for the same moment is that of its making, or of its last reset.
pub struct SimSleep {
    shared: Arc<Shared>,
    clock: Clock,
    /// When it falls due on its process's clock.
    at: Time,
    /// And on the room's, by how the two differed when it was set.
    due: Due,
    /// It stands on the agenda, as far as it knows.
    set: bool,
}

impl SimSleep {
    pub(crate) fn new(shared: Arc<Shared>, clock: Clock, at: Time) -> SimSleep {
        let due = (clock.room(at), shared.next_turn());
        SimSleep { shared, clock, at, due, set: false }
    }

    fn unset(&mut self) -> Option<Event> {
        let set = std::mem::replace(&mut self.set, false);
        set.then(|| self.shared.room(|room| room.agenda.remove(self.due))).flatten()
    }
}

impl Future for SimSleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.due.0 <= self.shared.now() {
            drop(self.unset());
            let due = self.clock.room(self.at);
            if due <= self.shared.now() {
                return Poll::Ready(());
            }
            // Its clock has stood still since it was set.
            self.due = (due, self.shared.next_turn());
        }
        let old = self.shared.room(|room| room.agenda.wait(self.due, cx.waker()));
        drop(old);
        self.set = true;
        Poll::Pending
    }
}

impl Sleep for SimSleep {
    fn deadline(&self) -> Time {
        self.at
    }

    fn reset(mut self: Pin<&mut Self>, at: Time) {
        let waiting = self.unset();
        self.at = at;
        self.due = (self.clock.room(at), self.shared.next_turn());
        // Who waits for it goes on waiting, and is woken at once if the moment has passed.
        if let Some(Event::Timer(waker)) = waiting {
            if self.due.0 <= self.shared.now() {
                return waker.wake();
            }
            self.shared.room(|room| room.agenda.events.insert(self.due, Event::Timer(waker)));
            self.set = true;
        }
    }
}

impl Drop for SimSleep {
    fn drop(&mut self) {
        drop(self.unset());
    }
}
