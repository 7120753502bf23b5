//! Replaces a file at once, so that a gateway that reads it meanwhile never meets half of it.

use crate::output::path_text;
use anyhow::{bail, Context as _, Result};
use std::fs::{File, Metadata, OpenOptions};
use std::io::{ErrorKind, Write};
use std::os::unix::fs::{fchown, MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Files beside it that processes which were killed may have left over.
const MOST_LEFT: usize = 100;

/// Replaces what a file holds. Its permissions and group stay; behind a symbolic link it is the file that is
/// replaced.
///
/// # Errors
/// What kept it from that, such as a folder in which nothing may be created. The file is as it was then.
pub fn replace(file: &Path, text: &[u8]) -> Result<()> {
    let target = file.canonicalize()?;
    // A rename asks nobody whether the file may be written.
    let as_it_was = OpenOptions::new().write(true).open(&target)?.metadata()?;
    let folder = target.parent().context("it is in no folder")?;
    let (path, beside) = create_in(folder)?;
    let done = write(&beside, text, &as_it_was).and_then(|()| Ok(std::fs::rename(&path, &target)?));
    if done.is_err() {
        // It is of no use any more, and the first failure is the one to tell.
        let _ = std::fs::remove_file(&path);
    }
    done
}

/// A new file in the folder of the one that it will replace, since a rename stays within a file system.
fn create_in(folder: &Path) -> Result<(PathBuf, File)> {
    for number in 0..MOST_LEFT {
        let path = folder.join(format!(".fennelbeam-fmt.{number}.tmp"));
        // Nobody else reads it before it has the permissions of the other.
        match OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path) {
            Ok(file) => return Ok((path, file)),
            Err(error) if error.kind() == ErrorKind::AlreadyExists => {}
            Err(error) => {
                return Err(error).with_context(|| format!("{} cannot be created", path_text(&path)))
            }
        }
    }
    bail!("{} is full of .fennelbeam-fmt.*.tmp that were left over", path_text(folder))
}

fn write(mut beside: &File, text: &[u8], as_it_was: &Metadata) -> Result<()> {
    beside.write_all(text)?;
    let own = beside.metadata()?;
    if own.gid() != as_it_was.gid() {
        fchown(beside, None, Some(as_it_was.gid())).context("its group cannot be kept")?;
    }
    if own.uid() != as_it_was.uid() {
        // Only root may give files away. With their group, those who share the file can go on.
        let _ = fchown(beside, Some(as_it_was.uid()), None);
    }
    // After the owner, since a change of that takes permissions away.
    beside.set_permissions(as_it_was.permissions())?;
    beside.sync_all()?;
    Ok(())
}
