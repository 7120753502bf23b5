//! Where files come from: the only I/O of this package, behind a small trait.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read};
use std::path::{Component, Path, PathBuf};

/// Bytes of a file.
pub const MOST_BYTES: usize = 256 * 1024;

/// Why a file cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum LoadError {
    /// It is not there.
    #[error("there is no such file")]
    Missing,
    /// It is a folder.
    #[error("it is a folder")]
    Folder,
    /// It is a pipe, a device or a socket, which may never end.
    #[error("it is no regular file")]
    NotRegular,
    /// It is too large.
    #[error("it has more than {MOST_BYTES} bytes")]
    TooLarge,
    /// Its name leads round in circles.
    #[error("its symbolic links lead round in circles")]
    Links,
    /// The system says something else.
    #[error("{0}")]
    Other(String),
}

/// Reads files.
pub trait Loader {
    /// The whole of a file, at the most [`MOST_BYTES`].
    fn read(&self, path: &Path) -> Result<Vec<u8>, LoadError>;

    /// One name for a file, whatever path or symbolic link leads to it.
    fn identity(&self, path: &Path) -> Result<PathBuf, LoadError>;
}

/// The file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fs;

impl Loader for Fs {
    fn read(&self, path: &Path) -> Result<Vec<u8>, LoadError> {
        // Asked before it is opened: opening a pipe waits for its writer.
        regular(&std::fs::metadata(path).map_err(told)?)?;
        let file = File::open(path).map_err(told)?;
        regular(&file.metadata().map_err(told)?)?;
        let mut bytes = Vec::new();
        // Not by its length: a file may grow, and those of /proc have none.
        file.take(MOST_BYTES as u64 + 1).read_to_end(&mut bytes).map_err(told)?;
        if bytes.len() > MOST_BYTES {
            return Err(LoadError::TooLarge);
        }
        Ok(bytes)
    }

    fn identity(&self, path: &Path) -> Result<PathBuf, LoadError> {
        path.canonicalize().map_err(told)
    }
}

fn regular(metadata: &std::fs::Metadata) -> Result<(), LoadError> {
    match metadata.file_type() {
        kind if kind.is_file() => Ok(()),
        kind if kind.is_dir() => Err(LoadError::Folder),
        _ => Err(LoadError::NotRegular),
    }
}

fn told(error: std::io::Error) -> LoadError {
    match error.kind() {
        ErrorKind::NotFound => LoadError::Missing,
        ErrorKind::IsADirectory => LoadError::Folder,
        // `ErrorKind::FilesystemLoop` is not stable yet; 40 is ELOOP of Linux.
        _ if error.raw_os_error() == Some(40) => LoadError::Links,
        _ => LoadError::Other(error.to_string()),
    }
}

/// Files that were never written: for tests, and for texts that come from elsewhere.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    files: BTreeMap<PathBuf, Vec<u8>>,
    links: BTreeMap<PathBuf, PathBuf>,
}

impl Memory {
    /// With a file more.
    pub fn with(mut self, path: impl AsRef<Path>, bytes: impl Into<Vec<u8>>) -> Memory {
        self.files.insert(plain(path.as_ref()), bytes.into());
        self
    }

    /// With a symbolic link more, to a path from the root.
    pub fn link(mut self, path: impl AsRef<Path>, target: impl AsRef<Path>) -> Memory {
        self.links.insert(plain(path.as_ref()), plain(target.as_ref()));
        self
    }
}

impl Loader for Memory {
    fn read(&self, path: &Path) -> Result<Vec<u8>, LoadError> {
        let bytes = self.files.get(&self.identity(path)?).ok_or(LoadError::Missing)?;
        if bytes.len() > MOST_BYTES {
            return Err(LoadError::TooLarge);
        }
        Ok(bytes.clone())
    }

    fn identity(&self, path: &Path) -> Result<PathBuf, LoadError> {
        let mut path = plain(path);
        for _ in 0..40 {
            let Some(target) = self.links.get(&path) else { return Ok(path) };
            path.clone_from(target);
        }
        Err(LoadError::Links)
    }
}

/// The path without `.` and `..`.
fn plain(path: &Path) -> PathBuf {
    let mut plain = PathBuf::new();
    for part in path.components() {
        match part {
            Component::CurDir => {}
            Component::ParentDir => drop(plain.pop()),
            other => plain.push(other),
        }
    }
    plain
}
