//! Connection slots: the state that each connection publishes to the listener, and the signals by which the listener
//! reclaims slots when all are in use.

use crate::client::linger::MAX_LINGERING;
use runtime::{Span, Time};
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::{watch, Notify};

const MS: Span = 1_000_000;
/// Time after which a new connection without a command may be evicted: its client is unlikely to send one soon.
pub(super) const FIRST_COMMAND_GRACE: Span = 100 * MS;

/// The activity of a connection, which determines whether it may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// All commands have been answered and the sending direction is shut down, but the client has not closed the
    /// connection yet.
    Lingering,
    /// No call has arrived yet, and no reply is outstanding.
    New,
    /// Between calls: a call has arrived, and no reply is outstanding.
    Idle,
    /// A reply is outstanding, or a command has arrived in part.
    Busy,
}

impl Activity {
    const ALL: [Activity; 4] = [Activity::Lingering, Activity::New, Activity::Idle, Activity::Busy];
}

/// Eviction order: connections with the lowest rank are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    Lingering,
    /// Ranked before idle ones; otherwise large numbers of connections without a call would displace the clients that
    /// send requests.
    New,
    Idle,
}

/// The slot of a connection, shared with the listener.
pub(super) struct ConnectionSlot {
    /// The activity in the two highest bits, and in the others when it began, in nanoseconds, which never need these
    /// two bits.
    state: AtomicU64,
    /// Notifies the connection to close if it has no outstanding reply.
    pub evict: Notify,
}

/// Number of bits of the time in [`ConnectionSlot::state`].
const TIME_BITS: u32 = 62;

impl ConnectionSlot {
    /// Creates the slot of a connection that has just been accepted.
    pub fn new(now: Time) -> ConnectionSlot {
        let slot = ConnectionSlot { state: AtomicU64::new(0), evict: Notify::new() };
        slot.set(Activity::New, now);
        slot
    }

    /// Publishes the activity to the listener.
    pub fn set(&self, activity: Activity, since: Time) {
        self.state.store((activity as u64) << TIME_BITS | since, Ordering::Relaxed);
    }

    /// Returns the activity and when it began.
    pub fn get(&self) -> (Activity, Time) {
        let state = self.state.load(Ordering::Relaxed);
        let activity = Activity::ALL[(state >> TIME_BITS) as usize];
        (activity, state & (u64::MAX >> (u64::BITS - TIME_BITS)))
    }

    /// Returns the eviction rank and when the activity began. Returns `None` if a reply is outstanding, or if the first
    /// command may still be in transit.
    pub fn eviction_rank(&self, now: Time) -> Option<(EvictionRank, Time)> {
        let (activity, since) = self.get();
        let rank = match activity {
            Activity::Lingering => EvictionRank::Lingering,
            Activity::New if since + FIRST_COMMAND_GRACE <= now => EvictionRank::New,
            Activity::Idle => EvictionRank::Idle,
            Activity::New | Activity::Busy => return None,
        };
        Some((rank, since))
    }
}

/// Signals between connections and the listener when all slots are in use.
#[derive(Clone, Default)]
pub(super) struct SlotContention {
    /// Set if no connection could be evicted: the next one to become idle closes.
    pub is_slot_wanted: Arc<AtomicBool>,
    /// Notified by a connection that does not close on an eviction, because it has received another request.
    pub eviction_refused: Arc<Notify>,
    /// Total number of connections that have lingered without a slot since the start.
    lingering_without_slot: Arc<watch::Sender<u64>>,
}

impl SlotContention {
    /// Returns whether the listener is waiting for a slot.
    pub fn is_wanted(&self) -> bool {
        self.is_slot_wanted.load(Ordering::Relaxed)
    }

    /// Clears the flag, and returns whether it was set.
    pub fn take_wanted(&self) -> bool {
        self.is_slot_wanted.swap(false, Ordering::Relaxed)
    }

    /// Sets whether the next connection to become idle closes.
    pub fn set_wanted(&self, is_wanted: bool) {
        self.is_slot_wanted.store(is_wanted, Ordering::Relaxed);
    }

    /// Lingers without a slot, and stops once [`MAX_LINGERING`] later connections do so too.
    pub async fn linger_without_slot<F: Future>(&self, lingering: F) {
        let mut count = self.lingering_without_slot.subscribe();
        let mut own_number = 0;
        self.lingering_without_slot.send_modify(|count| {
            *count += 1;
            own_number = *count;
        });
        tokio::select! {
            biased;
            _ = lingering => {}
            _ = count.wait_for(|count| *count >= own_number + MAX_LINGERING) => {}
        }
    }
}
