//! Points at which a test build can be told to die, to show that no rule is broken by it.
//!
//! Only with the feature `crash-points`, which no release has (`.ci/run` checks that); without it a point is an empty
//! inline function. `FENNELBEAM_CRASH=point:n` ends the process at the n-th time (from 1) that the point is reached.
//! The process sends itself SIGKILL rather than aborting: nothing can catch it, no buffer is flushed, no task ends in
//! order, and no core is written. To whoever looks on it is a `kill -9` at the worst moment.

/// A moment in the life of a request or of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// A connection was accepted, and nothing read from it yet.
    Accepted,
    /// An attempt's last byte is written to a host, and nobody has noted it.
    AttemptWritten,
    /// An attempt's answer is read whole, and the client has none yet.
    AnswerRead,
    /// The first byte of an answer to a client is written, the second is not.
    InAnswer,
    /// Calls are written to the counter, and nobody has noted it.
    CallWritten,
    /// The counter has answered, and the units are not booked.
    Counted,
    /// A list of hosts, or changes to it, are read and not applied.
    ListRead,
    /// A new configuration is read, and nothing of it is in force.
    ReloadRead,
    /// Of a new configuration the operators' files are in force, and the counter's address is not.
    ReloadHalf,
    /// Told to stop, it accepts no more, and has yet to answer what it has taken.
    Stopping,
}

impl CrashPoint {
    /// All of them, in the order of a request's way.
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

    /// As the switch names it.
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

pub(crate) use switch::{die, here, is_due};

#[cfg(not(feature = "crash-points"))]
mod switch {
    use super::CrashPoint;

    /// Nothing.
    #[inline(always)]
    pub(crate) fn here(_: CrashPoint) {}

    /// Never.
    #[inline(always)]
    pub(crate) fn is_due(_: CrashPoint) -> bool {
        false
    }

    /// Never called.
    #[inline(always)]
    pub(crate) fn die() {}
}

#[cfg(feature = "crash-points")]
mod switch {
    use super::CrashPoint;
    use rustix::process::{getpid, kill_process, Signal};
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::sync::OnceLock;

    /// The point that is asked for, and which time it is reached.
    static ASKED: OnceLock<Option<(CrashPoint, u64)>> = OnceLock::new();
    static REACHED: AtomicU64 = AtomicU64::new(0);

    /// Dies here if this is the point and the time.
    pub(crate) fn here(point: CrashPoint) {
        if is_due(point) {
            die();
        }
    }

    /// Whether this is the point and the time. Counts, so it is to be asked once each time.
    pub(crate) fn is_due(point: CrashPoint) -> bool {
        let asked = ASKED.get_or_init(|| parse(&std::env::var("FENNELBEAM_CRASH").ok()?));
        asked.is_some_and(|(at, nth)| at == point && REACHED.fetch_add(1, Ordering::Relaxed) + 1 == nth)
    }

    /// Ends the process as `kill -9` would.
    pub(crate) fn die() {
        let _ = kill_process(getpid(), Signal::KILL);
        // The signal may take a moment to come: nothing is done meanwhile.
        loop {
            std::thread::park();
        }
    }

    /// `point:n`. A test that asks for what there is not is to end at once, rather than to show nothing.
    fn parse(text: &str) -> Option<(CrashPoint, u64)> {
        let parts = text.split_once(':');
        let point = |name| CrashPoint::ALL.into_iter().find(|point| point.name() == name);
        let asked = parts.and_then(|(name, nth)| Some((point(name)?, nth.parse().ok()?)));
        assert!(asked.is_some(), "FENNELBEAM_CRASH: no such point as {text:?}, see CrashPoint");
        asked
    }
}
