//! What can go wrong with links themselves.

use std::io;
use std::net::SocketAddr;

use crate::plan::{FaultId, LinkId};

/// Why a call on a [`LinkSet`](crate::LinkSet) failed. None is worth a second try with the same words, but
/// `PortTaken` once the other process is gone.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Somebody else listens there.
    #[error("link {name}: {address} is taken by somebody else")]
    PortTaken {
        /// The link that was to listen.
        name: String,
        /// Where.
        address: SocketAddr,
    },
    /// The system refuses something else.
    #[error("links: cannot {what}: {error}")]
    System {
        /// What was tried.
        what: &'static str,
        /// What the system said.
        error: io::Error,
    },
    /// The set may not open more descriptors.
    #[error("links: {used} of {bound} descriptors are in use, and a link needs one")]
    Descriptors {
        /// In use now.
        used: usize,
        /// As stated in the settings.
        bound: usize,
    },
    /// There is no such link, or it was removed.
    #[error("links: there is no link {}", .0 .0)]
    NoLink(LinkId),
    /// There is no such fault in force.
    #[error("links: no fault {} is in force on link {}", .1 .0, .0 .0)]
    NoFault(LinkId, FaultId),
    /// Something that can never come: an empty pattern, or the 0th of anything.
    #[error("links: {0:?} can never come")]
    Never(Box<crate::plan::Entry>),
    /// The thread has ended.
    #[error("links: the set has stopped")]
    Stopped,
}
