//! What can be wrong with the simulator's frames.

use platform_settings::SettingsError;

/// Why a frame cannot be answered.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
    /// A frame ends early.
    #[error("{part} is cut short at byte {at}")]
    Truncated {
        /// The part of the frame.
        part: &'static str,
        /// Where the frame ends, in bytes.
        at: usize,
    },
    /// A field holds a value that it may not have.
    #[error("{field} at byte {at} cannot be {value}")]
    Invalid {
        /// The field.
        field: &'static str,
        /// Position of the field in the frame, in bytes.
        at: usize,
        /// The value.
        value: u64,
    },
    /// An instance gets an event before its start.
    #[error("event {code} at byte {at} is for instance {instance}, which has not been started")]
    UnknownInstance {
        /// Code of the event.
        code: u16,
        /// Position of the event in the frame, in bytes.
        at: usize,
        /// Number of the instance.
        instance: u32,
    },
    /// The settings of an instance cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}
