//! Real files: what is no regular file, what loops through links, what is too large.

mod common;

use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};

use common::{messages, platform};
use config_language::load;
use config_language::loader::{Fs, LoadError, Loader, MOST_BYTES};

struct Folder(tempfile::TempDir);

impl Folder {
    fn new() -> Folder {
        Folder(tempfile::tempdir().unwrap())
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn write(&self, name: &str, bytes: impl AsRef<[u8]>) {
        std::fs::write(self.path(name), bytes).unwrap();
    }

    /// The messages on `site.fb`, without the folder's name.
    fn told(&self) -> Vec<String> {
        let loaded = load(&self.path("site.fb"), &Fs, Some(&platform()));
        let folder = format!("{}/", self.0.path().display());
        messages(&loaded).iter().map(|message| message.replace(&folder, "")).collect()
    }
}

#[test]
fn what_is_no_regular_file_is_refused_without_waiting() {
    let folder = Folder::new();
    std::fs::create_dir(folder.path("folder.fb")).unwrap();
    assert!(std::process::Command::new("mkfifo").arg(folder.path("pipe.fb")).status().unwrap().success());
    symlink("/dev/zero", folder.path("zeros.fb")).unwrap();
    let socket = std::os::unix::net::UnixListener::bind(folder.path("socket.fb")).unwrap();
    let text = "include \"folder.fb\"\ninclude \"pipe.fb\"\ninclude \"zeros.fb\"\ninclude \"socket.fb\"\n\
                include \"\"\ninclude \"gone.fb\"\n";
    folder.write("site.fb", text);
    assert_eq!(
        folder.told(),
        [
            "site.fb:1:9: error: `folder.fb` cannot be included: it is a folder",
            "site.fb:2:9: error: `pipe.fb` cannot be included: it is no regular file",
            "site.fb:3:9: error: `zeros.fb` cannot be included: it is no regular file",
            "site.fb:4:9: error: `socket.fb` cannot be included: it is no regular file",
            "site.fb:5:9: error: `` cannot be included: it is a folder",
            "site.fb:6:9: error: `gone.fb` cannot be included: there is no such file",
        ]
    );
    drop(socket);
}

#[test]
fn the_first_file_may_be_none_too() {
    let folder = Folder::new();
    assert_eq!(folder.told(), ["site.fb:1:1: error: cannot be read: there is no such file"]);
    std::fs::create_dir(folder.path("site.fb")).unwrap();
    assert_eq!(folder.told(), ["site.fb:1:1: error: cannot be read: it is a folder"]);
}

#[test]
fn a_file_has_its_bound_and_one_of_a_gigabyte_is_not_read() {
    let folder = Folder::new();
    folder.write("site.fb", "include \"most.fb\"\ninclude \"more.fb\"\ninclude \"huge.fb\"\n");
    folder.write("most.fb", "#".repeat(MOST_BYTES));
    folder.write("more.fb", "#".repeat(MOST_BYTES + 1));
    // A hole: it takes no room.
    std::fs::File::create(folder.path("huge.fb")).unwrap().set_len(1 << 30).unwrap();
    assert_eq!(
        folder.told(),
        [
            "site.fb:2:9: error: `more.fb` cannot be included: it has more than 262144 bytes",
            "site.fb:3:9: error: `huge.fb` cannot be included: it has more than 262144 bytes",
        ]
    );
}

#[test]
fn loops_are_found_behind_links_of_files_and_of_folders() {
    let folder = Folder::new();
    std::fs::create_dir(folder.path("conf")).unwrap();
    symlink(folder.path("conf"), folder.path("other")).unwrap();
    symlink("../site.fb", folder.path("conf/again.fb")).unwrap();
    symlink("round.fb", folder.path("round.fb")).unwrap();
    folder.write("site.fb", "include \"other/a.fb\"\ninclude \"round.fb\"\n");
    folder.write("conf/a.fb", "include \"../conf/a.fb\"\ninclude \"again.fb\"\n");
    assert_eq!(
        folder.told(),
        [
            "site.fb:2:9: error: `round.fb` cannot be included: its symbolic links lead round in circles",
            "other/a.fb:1:9: error: the includes lead round in a circle: other/a.fb -> other/../conf/a.fb",
            "other/a.fb:2:9: error: the includes lead round in a circle: site.fb -> other/a.fb -> other/again.fb",
        ]
    );
}

#[test]
fn a_file_that_may_not_be_read_says_what_the_system_says() {
    // Whoever runs the tests may be allowed everything: a name that is too long is refused to all.
    let error = Fs.read(Path::new(&"x".repeat(5000))).unwrap_err();
    assert!(matches!(error, LoadError::Other(_)), "{error}");
}
