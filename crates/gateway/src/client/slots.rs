//! Connection slots: what the listener knows of each connection, and how it takes slots back when all are in use.

use crate::client::linger::MAX_LINGERING;
use runtime::{Span, Time};
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::{watch, Notify};

const MS: Span = 1_000_000;
/// A client that has sent nothing for this long after it connected is not about to.
pub(super) const FIRST_COMMAND_GRACE: Span = 100 * MS;

/// What a connection is doing, as far as it matters for taking its slot back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// All commands are answered, and the client has not closed the connection yet.
    Lingering,
    /// No call has arrived yet, and no reply is owed.
    New,
    /// Between calls.
    Idle,
    /// A reply is owed, or a command has arrived in part.
    Busy,
}

impl Activity {
    const ALL: [Activity; 4] = [Activity::Lingering, Activity::New, Activity::Idle, Activity::Busy];
}

/// Which connection is closed first: the lowest value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    Lingering,
    /// Before idle ones, or silent connections in large numbers would displace the usual clients.
    New,
    Idle,
}

/// The slot of a connection, shared with the listener.
pub(super) struct ConnectionSlot {
    /// The activity in the two highest bits, and since when in the others: nanoseconds leave them free.
    state: AtomicU64,
    /// Asks the connection to close if it owes no reply.
    pub evict: Notify,
}

/// Number of bits for the time in [`ConnectionSlot::state`].
const TIME_BITS: u32 = 62;

impl ConnectionSlot {
    /// The slot of a connection that has just been accepted.
    pub fn new(now: Time) -> ConnectionSlot {
        let slot = ConnectionSlot { state: AtomicU64::new(0), evict: Notify::new() };
        slot.set(Activity::New, now);
        slot
    }

    /// Publishes the activity to the listener.
    pub fn set(&self, activity: Activity, since: Time) {
        self.state.store((activity as u64) << TIME_BITS | since, Ordering::Relaxed);
    }

    /// Returns the activity, and since when.
    pub fn get(&self) -> (Activity, Time) {
        let state = self.state.load(Ordering::Relaxed);
        let activity = Activity::ALL[(state >> TIME_BITS) as usize];
        (activity, state & (u64::MAX >> (u64::BITS - TIME_BITS)))
    }

    /// Returns the rank for eviction and since when; `None` if the connection is owed a reply, or its first command may be
    /// on the way.
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

/// What connections and the listener tell each other when all slots are in use.
#[derive(Clone, Default)]
pub(super) struct SlotContention {
    /// No connection could be evicted: the next one to become idle closes.
    pub is_slot_wanted: Arc<AtomicBool>,
    /// A connection that was to be evicted has a request again.
    pub eviction_refused: Arc<Notify>,
    /// Number of connections that have ever gone on lingering without a slot.
    lingering_without_slot: Arc<watch::Sender<u64>>,
}

impl SlotContention {
    /// Returns whether a slot is wanted.
    pub fn is_wanted(&self) -> bool {
        self.is_slot_wanted.load(Ordering::Relaxed)
    }

    /// Returns whether a slot was wanted; it no longer is.
    pub fn take_wanted(&self) -> bool {
        self.is_slot_wanted.swap(false, Ordering::Relaxed)
    }

    /// Sets whether a slot is wanted.
    pub fn set_wanted(&self, is_wanted: bool) {
        self.is_slot_wanted.store(is_wanted, Ordering::Relaxed);
    }

    /// Goes on lingering without a slot, until [`MAX_LINGERING`] later connections do.
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
