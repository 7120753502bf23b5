//! The platform's settings document, checked and read into the decision module's terms.
//!
//! [`PlatformSettings::parse`] reads the JSON document. A document that could serve no request, or that would lift a
//! limit by a slip of the pen, is rejected with a [`SettingsError`] that names the key in full. Keys that this version
//! does not know are skipped and listed, unless they look like a misspelt known key that is missing.
//!
//! ```
//! use platform_settings::{PlatformSettings, SettingsError};
//!
//! let error = PlatformSettings::parse(&serde_json::json!({})).expect_err("an empty document");
//! assert_eq!(error, SettingsError::Missing { key: "allowed".into() });
//! assert_eq!(error.to_string(), "`allowed` is missing");
//! ```
//!
//! `document` reads the document as a whole, `classes` and `plans` its two lists, `reader` one JSON object key by key;
//! `keys` lists the keys of the platform, and `error` says what can be wrong.

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

mod classes;
mod document;
mod error;
mod keys;
mod plans;
mod reader;

pub use document::PlatformSettings;
pub use error::SettingsError;

use reader::Reader;
use serde_json::Value;

/// Returns the keys of an object that are not among the known ones, by their full names.
///
/// # Errors
/// [`SettingsError::Unknown`] for a key that looks like a known one that is missing: it is misspelt, and what it should
/// have set would silently be left out. [`SettingsError::WrongType`] if the value is no object.
pub fn unknown_keys(object: &Value, accepted: &'static [&'static str]) -> Result<Vec<String>, SettingsError> {
    let mut unknown = Vec::new();
    Reader::new(object, "", accepted, &mut unknown)?;
    Ok(unknown)
}
