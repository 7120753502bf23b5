//! Crash points: places at which a test build can be made to crash, to test that no invariant is violated by a crash.
//!
//! Crash points exist only with the feature `crash-points`, which is disabled in all releases (`.ci/run` checks that);
//! without the feature a point is an empty inline function. `FENNELBEAM_CRASH=point:n` kills the process when the point
//! is reached for the n-th time, counted from one. The process sends itself SIGKILL rather than aborting: the signal
//! cannot be caught, no buffer is flushed, no task finishes, and no core is dumped, exactly as after `kill -9`.

/// A point in the processing of a request, or in the lifecycle of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// A connection has been accepted; nothing has been read from it yet.
    Accepted,
    /// The last byte of an attempt has been written to a host; this has not been recorded yet.
    AttemptWritten,
    /// The response to an attempt has been read; the client has not been answered yet.
    AnswerRead,
    /// The first byte of an answer has been written to a client; the second has not.
    InAnswer,
    /// Calls have been written to the counter; this has not been recorded yet.
    CallWritten,
    /// The counter has replied; the units have not been recorded yet.
    Counted,
    /// An endpoint list, or changes to it, have been read but not applied yet.
    ListRead,
    /// A new configuration has been read; no part of it is in effect yet.
    ReloadRead,
    /// The operators' files of a new configuration are in effect; the counter's address is not yet.
    ReloadHalf,
    /// The gateway is shutting down: it has stopped accepting connections, and requests are still in flight.
    Stopping,
}

impl CrashPoint {
    /// All points, in the order of their declaration.
    pub const ALL: [CrashPoint; 10] = [
        CrashPoint::Accepted,
        CrashPoint::AttemptWritten,
        CrashPoint::AnswerRead,
        CrashPoint::InAnswer,
        CrashPoint::CallWritten,
        CrashPoint::Counted,
        CrashPoint::ListRead,
        CrashPoint::ReloadRead,
        CrashPoint::ReloadHalf,
        CrashPoint::Stopping,
    ];

    /// Returns the name of the point in `FENNELBEAM_CRASH`.
    pub fn name(self) -> &'static str {
        match self {
            CrashPoint::Accepted => "accepted",
            CrashPoint::AttemptWritten => "attempt-written",
            CrashPoint::AnswerRead => "answer-read",
            CrashPoint::InAnswer => "in-answer",
            CrashPoint::CallWritten => "call-written",
            CrashPoint::Counted => "counted",
            CrashPoint::ListRead => "list-read",
            CrashPoint::ReloadRead => "reload-read",
            CrashPoint::ReloadHalf => "reload-half",
            CrashPoint::Stopping => "stopping",
        }
    }
}

pub(crate) use imp::{crash, crash_if_armed, is_armed};

#[cfg(not(feature = "crash-points"))]
mod imp {
    use super::CrashPoint;

    /// No-op without the feature `crash-points`.
    #[inline(always)]
    pub(crate) fn crash_if_armed(_: CrashPoint) {}

    /// Returns false without the feature `crash-points`.
    #[inline(always)]
    pub(crate) fn is_armed(_: CrashPoint) -> bool {
        false
    }

    /// No-op; never called, since no point is armed.
    #[inline(always)]
    pub(crate) fn crash() {}
}

#[cfg(feature = "crash-points")]
mod imp {
    use super::CrashPoint;
    use rustix::process::{getpid, kill_process, Signal};
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::sync::OnceLock;

    /// The armed point, and the ordinal of the pass through it that crashes.
    static ARMED: OnceLock<Option<(CrashPoint, u64)>> = OnceLock::new();
    static REACHED: AtomicU64 = AtomicU64::new(0);

    /// Crashes if this is the armed point, reached for the n-th time.
    pub(crate) fn crash_if_armed(point: CrashPoint) {
        if is_armed(point) {
            crash();
        }
    }

    /// Returns whether this is the armed point, reached for the n-th time. Each call counts as reaching the point.
    pub(crate) fn is_armed(point: CrashPoint) -> bool {
        let armed = ARMED.get_or_init(|| parse(&std::env::var("FENNELBEAM_CRASH").ok()?));
        armed.is_some_and(|(at, nth)| at == point && REACHED.fetch_add(1, Ordering::Relaxed) + 1 == nth)
    }

    /// Kills the process as `kill -9` would.
    pub(crate) fn crash() {
        let _ = kill_process(getpid(), Signal::KILL);
        // The signal may take a while to arrive; this thread must not continue until then.
        loop {
            std::thread::park();
        }
    }

    /// Parses `point:n`. Panics if the point does not exist, so that a test with a misspelt point fails immediately
    /// instead of passing without a crash.
    fn parse(text: &str) -> Option<(CrashPoint, u64)> {
        let parts = text.split_once(':');
        let point = |name| CrashPoint::ALL.into_iter().find(|point| point.name() == name);
        let armed = parts.and_then(|(name, nth)| Some((point(name)?, nth.parse().ok()?)));
        assert!(armed.is_some(), "FENNELBEAM_CRASH: unknown crash point {text:?}, see CrashPoint");
        armed
    }
}
