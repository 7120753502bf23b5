//! Checks the platform's settings document and converts it into settings of the decision module.
//!
//! [`PlatformSettings::parse`] reads the JSON document. A document with which no request could be served, or in which a
//! typing error would remove a limit, is rejected with a [`SettingsError`] that contains the full name of the key. Keys
//! that this version does not know are ignored and listed, unless they are similar to a known key that is missing.
//!
//! ```
//! use platform_settings::{PlatformSettings, SettingsError};
//!
//! let error = PlatformSettings::parse(&serde_json::json!({})).expect_err("an empty document");
//! assert_eq!(error, SettingsError::Missing { key: "allowed".into() });
//! assert_eq!(error.to_string(), "`allowed` is missing");
//! ```
//!
//! `document` reads the document, `classes` and `plans` the entries of its two lists, and `reader` the keys of one JSON
//! object; `keys` lists the keys of the platform, and `error` contains the error type.

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

/// Returns the full names of the keys of an object that are not among the known ones.
///
/// # Errors
/// [`SettingsError::Unknown`] for a key that is similar to a known one that is missing: it is probably misspelt, and
/// the setting would silently be ignored. [`SettingsError::NotAnObject`] if the value is not an object.
pub fn unknown_keys(object: &Value, accepted: &'static [&'static str]) -> Result<Vec<String>, SettingsError> {
    let mut unknown = Vec::new();
    Reader::new(object, "", accepted, &mut unknown)?;
    Ok(unknown)
}
