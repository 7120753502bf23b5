//! Points at which a test build can be made to crash, to show that no rule is broken by it.
//!
//! Only the feature `crash-points`, which no release has (`.ci/run` checks that), arms them; without it a point is an
//! empty inline function. `FENNELBEAM_CRASH=point:n` kills the process when the point is reached for the n-th time, counted
//! from one. The process sends itself SIGKILL rather than aborting: nothing can catch it, no buffer is flushed, no task
//! ends in order, and no core is dumped. From outside it looks like `kill -9` at the worst time.

/// A point in the processing of a request, or in the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// A connection has been accepted, and nothing has been read from it yet.
    Accepted,
    /// The last byte of an attempt has been written to a host, and nothing records it yet.
    AttemptWritten,
    /// The response to an attempt has been read, and the client has no answer yet.
    AnswerRead,
    /// The first byte of an answer has been written to a client, the second has not.
    InAnswer,
    /// Calls have been written to the counter, and nothing records it yet.
    CallWritten,
    /// The counter has answered, and the units are not recorded yet.
    Counted,
    /// An endpoint list, or changes to it, have been read and not applied yet.
    ListRead,
    /// A new configuration has been read, and nothing of it is in effect yet.
    ReloadRead,
    /// The operators' files of a new configuration are in effect, and the counter's address is not yet.
    ReloadHalf,
    /// The gateway shuts down: it accepts no more connections, and requests are still without an answer.
    Stopping,
}

impl CrashPoint {
    /// All points, in the order in which a request passes them.
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

pub(crate) use switch::{crash, crash_if_armed, is_armed};

#[cfg(not(feature = "crash-points"))]
mod switch {
    use super::CrashPoint;

    /// Does nothing.
    #[inline(always)]
    pub(crate) fn crash_if_armed(_: CrashPoint) {}

    /// Returns false.
    #[inline(always)]
    pub(crate) fn is_armed(_: CrashPoint) -> bool {
        false
    }

    /// Never called, since no point is armed.
    #[inline(always)]
    pub(crate) fn crash() {}
}

#[cfg(feature = "crash-points")]
mod switch {
    use super::CrashPoint;
    use rustix::process::{getpid, kill_process, Signal};
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::sync::OnceLock;

    /// The armed point, and at which time of reaching it to crash.
    static ARMED: OnceLock<Option<(CrashPoint, u64)>> = OnceLock::new();
    static REACHED: AtomicU64 = AtomicU64::new(0);

    /// Crashes if this is the armed point, reached for the armed time.
    pub(crate) fn crash_if_armed(point: CrashPoint) {
        if is_armed(point) {
            crash();
        }
    }

    /// Returns whether this is the armed point, reached for the armed time. Each call counts as reaching the point.
    pub(crate) fn is_armed(point: CrashPoint) -> bool {
        let armed = ARMED.get_or_init(|| parse(&std::env::var("FENNELBEAM_CRASH").ok()?));
        armed.is_some_and(|(at, nth)| at == point && REACHED.fetch_add(1, Ordering::Relaxed) + 1 == nth)
    }

    /// Kills the process as `kill -9` would.
    pub(crate) fn crash() {
        let _ = kill_process(getpid(), Signal::KILL);
        // The signal may take a while to arrive: nothing else is done meanwhile.
        loop {
            std::thread::park();
        }
    }

    /// Reads `point:n`. A test that arms a point that does not exist fails at once, rather than showing nothing.
    fn parse(text: &str) -> Option<(CrashPoint, u64)> {
        let parts = text.split_once(':');
        let point = |name| CrashPoint::ALL.into_iter().find(|point| point.name() == name);
        let armed = parts.and_then(|(name, nth)| Some((point(name)?, nth.parse().ok()?)));
        assert!(armed.is_some(), "FENNELBEAM_CRASH: no such point as {text:?}, see CrashPoint");
        armed
    }
}
