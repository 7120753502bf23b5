//! Errors of a settings document.

/// The reason why a settings document is rejected. Keys are full names such as `services[0].aim`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The document is not JSON.
    #[error("{0}")]
    NotJson(String),
    /// The document itself is not a JSON object.
    #[error("the settings are {found}, not an object")]
    NotAnObject {
        /// The value, abbreviated.
        found: String,
    },
    /// A required key is missing.
    #[error("`{key}` is missing")]
    Missing {
        /// The key.
        key: String,
    },
    /// A key is unknown and similar to a known one that is missing.
    #[error("`{key}` is unknown: is `{suggestion}` meant?")]
    Unknown {
        /// The key.
        key: String,
        /// The similar known key.
        suggestion: &'static str,
    },
    /// A value has a different type than its key requires.
    #[error("`{key}` is {found}, not {expected}")]
    WrongType {
        /// The key.
        key: String,
        /// The value, abbreviated.
        found: String,
        /// The expected type.
        expected: &'static str,
    },
    /// A value has the right type, but no gateway could serve requests with it.
    #[error("`{key}` {reason}")]
    Invalid {
        /// The key.
        key: String,
        /// The defect of the value.
        reason: String,
    },
}
