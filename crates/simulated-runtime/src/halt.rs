//! Why a run cannot go on.

use thiserror::Error;

/// Why a run cannot go on. It stays halted: whoever runs on gets the same again.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Halt {
    /// A task panicked.
    #[error("process {process} panicked: {text}")]
    Panicked {
        /// Its process, as it was named.
        process: String,
        /// What the panic said, and where.
        text: String,
    },
    /// The tasks of a process wake each other, or themselves, and never let time pass.
    #[error("process {process} spins: its tasks were polled {polls} times at one instant")]
    Spins {
        /// The process, as it was named.
        process: String,
        /// Polls at one instant, more than the limit (see [`Sim::limit_polls`](crate::Sim::limit_polls)).
        polls: u64,
    },
}
