//! Processes, as the network knows them.

use crate::net::place::MachineId;
use std::io;

/// As Linux has it.
const TOO_MANY_OPEN_FILES: i32 = 24;

/// A process; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId(pub(crate) u32);

/// What the network knows of a process.
pub(crate) struct Process {
    pub(crate) machine: MachineId,
    pub(crate) alive: bool,
    /// Descriptors it may have open, and has.
    pub(crate) most: usize,
    pub(crate) open: usize,
}

impl Process {
    pub(crate) fn new(machine: MachineId) -> Process {
        Process { machine, alive: true, most: usize::MAX, open: 0 }
    }

    /// Whether it may open another descriptor.
    pub(crate) fn check(&self) -> io::Result<()> {
        if !self.alive {
            return Err(io::Error::other("the process has ended"));
        }
        if self.open >= self.most {
            return Err(io::Error::from_raw_os_error(TOO_MANY_OPEN_FILES));
        }
        Ok(())
    }
}
