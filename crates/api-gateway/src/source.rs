//! Where a gateway's configuration comes from: the platform's document, and the operators' files beside it.

use crate::operators;
use anyhow::{Context as _, Result};
use config_language::{big_changes, FileSet};
use gateway::{Config, PlatformSettings};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, OnceLock, PoisonError};

/// Changes by ten times and more that a reload names in the log; what is beyond is counted.
const NAMED: usize = 5;

/// The files of a gateway.
pub struct Source {
    config: PathBuf,
    operator: Option<PathBuf>,
    /// The settings in force: those of the first reading. A reload takes no others, so operators' files that speak of
    /// others cannot be used.
    site: OnceLock<PlatformSettings>,
    /// What the operators' files said when they could be used last.
    last: Mutex<Option<FileSet>>,
}

impl Source {
    /// These files.
    pub fn new(config: PathBuf, operator: Option<PathBuf>) -> Source {
        Source { config, operator, site: OnceLock::new(), last: Mutex::new(None) }
    }

    /// Reads all of them, at the start and at each reload. With any error nothing of them counts.
    pub fn read(&self) -> Result<Config> {
        let config = document(&self.config)?;
        let Some(path) = &self.operator else { return Ok(config) };
        let site = self.site.get_or_init(|| config.platform.clone());
        let set = operators::load(path, Some(site))?;
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(before) = last.as_ref() {
            speak_of_big_changes(before, &set, site);
        }
        let operators = set.operators.clone();
        *last = Some(set);
        Ok(Config { operators, ..config })
    }
}

/// Who sent the signal has decided; the log keeps what may have been a slip of units.
fn speak_of_big_changes(before: &FileSet, after: &FileSet, site: &PlatformSettings) {
    let changes = big_changes(before, after, Some(&operators::platform(site)));
    for change in changes.iter().take(NAMED) {
        tracing::warn!("{}", change.one_line());
    }
    if changes.len() > NAMED {
        tracing::warn!("{} more figures changed by ten times or more", changes.len() - NAMED);
    }
}

/// Reads the platform's document.
pub fn document(path: &Path) -> Result<Config> {
    let text = std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))?;
    Config::parse(&text).with_context(|| format!("cannot use {}", path.display()))
}
