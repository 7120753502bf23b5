//! Errors of link operations.

use std::io;
use std::net::SocketAddr;

use crate::plan::{FaultId, LinkId};

/// Error of a call on a [`LinkSet`](crate::LinkSet). Repeating the same call does not help, except for
/// `PortTaken` after the other process has released the port.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Another process listens on the address.
    #[error("link {name}: {address} is already in use by another process")]
    PortTaken {
        /// Name of the link.
        name: String,
        /// The address to listen on.
        address: SocketAddr,
    },
    /// Another system call failed.
    #[error("links: cannot {operation}: {error}")]
    System {
        /// The operation that failed.
        operation: &'static str,
        /// Error of the system.
        error: io::Error,
    },
    /// The descriptor limit of the set is reached.
    #[error("links: {used} of {bound} descriptors are in use, and a link needs one")]
    Descriptors {
        /// Descriptors in use.
        used: usize,
        /// Limit from the settings.
        bound: usize,
    },
    /// The link does not exist or was removed.
    #[error("links: there is no link {}", .0 .0)]
    NoLink(LinkId),
    /// No such fault is active.
    #[error("links: no fault {} is active on link {}", .1 .0, .0 .0)]
    NoFault(LinkId, FaultId),
    /// A plan entry that can never fire: an empty pattern, or an ordinal of 0.
    #[error("links: {0:?} can never fire")]
    Never(Box<crate::plan::Entry>),
    /// The thread of the set has ended.
    #[error("links: the set has stopped")]
    Stopped,
}
