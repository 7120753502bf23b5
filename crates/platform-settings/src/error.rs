//! Why a settings document is rejected.

/// Why a settings document is rejected. Keys are full names such as `services[0].aim`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The document is not JSON.
    #[error("{0}")]
    NotJson(String),
    /// The document itself is not a JSON object.
    #[error("the settings are {found}, not an object")]
    NotAnObject {
        /// The value, shortened.
        found: String,
    },
    /// A required key is missing.
    #[error("`{key}` is missing")]
    Missing {
        /// The key.
        key: String,
    },
    /// A key is unknown and looks like a known one that is missing.
    #[error("`{key}` is unknown: is `{suggestion}` meant?")]
    Unknown {
        /// The key.
        key: String,
        /// The known key that it looks like.
        suggestion: &'static str,
    },
    /// A value has another type than its key expects.
    #[error("`{key}` is {found}, not {expected}")]
    WrongType {
        /// The key.
        key: String,
        /// The value, shortened.
        found: String,
        /// What the key expects.
        expected: &'static str,
    },
    /// A value has the right type, and no gateway can serve by it.
    #[error("`{key}` {reason}")]
    Invalid {
        /// The key.
        key: String,
        /// What is wrong with the value.
        reason: String,
    },
}
