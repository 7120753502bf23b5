//! Replaces the content of a file atomically, so that a gateway that reads it meanwhile gets either the complete
//! old or the complete new text.

use crate::output::path_text;
use anyhow::{bail, Context as _, Result};
use std::fs::{File, Metadata, OpenOptions};
use std::io::{ErrorKind, Write};
use std::os::unix::fs::{fchown, MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Number of names tried for the temporary file. Killed processes may have left files with the first ones.
const MAX_TEMPORARY_NAMES: usize = 100;

/// Replaces the content of a file. Its permissions and group stay. Of a symbolic link, the target is replaced.
///
/// # Errors
/// The file cannot be replaced, for instance because its folder is not writable. Then its content is unchanged.
pub fn replace(file: &Path, text: &[u8]) -> Result<()> {
    let target = file.canonicalize()?;
    // A rename needs no write permission for the file itself, so it is checked here.
    let original = OpenOptions::new().write(true).open(&target)?.metadata()?;
    let folder = target.parent().context("it has no parent folder")?;
    let (path, temporary) = create_temporary(folder)?;
    let result = write(&temporary, text, &original).and_then(|()| Ok(std::fs::rename(&path, &target)?));
    if result.is_err() {
        // The first error is returned, whether or not the temporary file can be removed.
        let _ = std::fs::remove_file(&path);
    }
    result
}

/// Creates a temporary file in the folder of the one that it will replace, since a rename cannot cross file systems.
fn create_temporary(folder: &Path) -> Result<(PathBuf, File)> {
    for number in 0..MAX_TEMPORARY_NAMES {
        let path = folder.join(format!(".fennelbeam-fmt.{number}.tmp"));
        // Only the owner may read it until it has the permissions of the original.
        match OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path) {
            Ok(file) => return Ok((path, file)),
            Err(error) if error.kind() == ErrorKind::AlreadyExists => {}
            Err(error) => {
                return Err(error).with_context(|| format!("{} cannot be created", path_text(&path)))
            }
        }
    }
    bail!("{} has too many leftover .fennelbeam-fmt.*.tmp files", path_text(folder))
}

/// Writes the text to the temporary file, and gives it the group, owner and permissions of the original.
fn write(mut temporary: &File, text: &[u8], original: &Metadata) -> Result<()> {
    temporary.write_all(text)?;
    let created = temporary.metadata()?;
    if created.gid() != original.gid() {
        fchown(temporary, None, Some(original.gid())).context("its group cannot be kept")?;
    }
    if created.uid() != original.uid() {
        // Only root can change the owner. With the group kept, the users of the group keep their access.
        let _ = fchown(temporary, Some(original.uid()), None);
    }
    // After the change of owner, which clears some permission bits.
    temporary.set_permissions(original.permissions())?;
    temporary.sync_all()?;
    Ok(())
}
