//! Reads a gateway's configuration: the platform's document, and the operators' files.

use crate::operators;
use crate::operators::platform::language_platform;
use anyhow::{Context as _, Result};
use config_language::{big_changes, FileSet};
use gateway::{Config, PlatformSettings};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, OnceLock, PoisonError};

/// Number of big changes that a reload names in the log; further ones are only counted, to keep the log short.
const MAX_LOGGED_CHANGES: usize = 5;

/// The files of a gateway, read at its start and at each reload.
pub struct ConfigSource {
    config_path: PathBuf,
    operators_path: Option<PathBuf>,
    /// The settings in force: those of the first reading. A reload does not change them, so the operators' files are
    /// always checked against these.
    platform: OnceLock<PlatformSettings>,
    /// The last operators' files without errors.
    last_valid: Mutex<Option<FileSet>>,
}

impl ConfigSource {
    /// Returns a source that reads the platform's document and, if there is one, the operators' file.
    pub fn new(config_path: PathBuf, operators_path: Option<PathBuf>) -> ConfigSource {
        ConfigSource { config_path, operators_path, platform: OnceLock::new(), last_valid: Mutex::new(None) }
    }

    /// Reads all files, and logs big changes of the operators' figures since the last reading.
    ///
    /// # Errors
    /// A file cannot be read or has errors; then no part of any file is to be put in force.
    pub fn read(&self) -> Result<Config> {
        let config = read_config(&self.config_path)?;
        let Some(path) = &self.operators_path else { return Ok(config) };
        let platform = self.platform.get_or_init(|| config.platform.clone());
        let set = operators::load(path, Some(platform))?;
        let mut last_valid = self.last_valid.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(before) = last_valid.as_ref() {
            log_big_changes(before, &set, platform);
        }
        let operators = set.operators.clone();
        *last_valid = Some(set);
        Ok(Config { operators, ..config })
    }
}

/// Logs changes that may be a mistake of units. They take effect nevertheless, since an operator requested the reload.
fn log_big_changes(before: &FileSet, after: &FileSet, platform: &PlatformSettings) {
    let changes = big_changes(before, after, Some(&language_platform(platform)));
    for change in changes.iter().take(MAX_LOGGED_CHANGES) {
        tracing::warn!("{}", change.one_line());
    }
    if changes.len() > MAX_LOGGED_CHANGES {
        tracing::warn!("{} more figures changed by ten times or more", changes.len() - MAX_LOGGED_CHANGES);
    }
}

/// Reads the platform's document.
///
/// # Errors
/// The file cannot be read, or is no valid document.
pub fn read_config(path: &Path) -> Result<Config> {
    let text = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    Config::parse(&text).with_context(|| format!("cannot use {}", path.display()))
}

/// Reads the platform's settings from its document.
///
/// # Errors
/// As [`read_config`].
pub fn read_platform(path: &Path) -> Result<PlatformSettings> {
    Ok(read_config(path)?.platform)
}
