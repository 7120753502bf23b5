//! Errors in frames of the simulator.

use platform_settings::SettingsError;

/// The reason why a frame cannot be processed.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
    /// A frame is shorter than its contents.
    #[error("{part} is truncated at byte {at}")]
    Truncated {
        /// The part of the frame that is incomplete.
        part: &'static str,
        /// Position of the missing bytes, or of the field that contains them, in bytes.
        at: usize,
    },
    /// A field has an invalid value.
    #[error("{field} at byte {at} has invalid value {value}")]
    Invalid {
        /// The field.
        field: &'static str,
        /// Position of the field in the frame, in bytes.
        at: usize,
        /// The value.
        value: u64,
    },
    /// An event is addressed to an instance that has not been started.
    #[error("event {code} at byte {at} is for instance {instance}, which has not been started")]
    UnknownInstance {
        /// Code of the event.
        code: u16,
        /// Position of the event in the frame, in bytes.
        at: usize,
        /// Number of the instance.
        instance: u32,
    },
    /// The settings of an instance are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}
