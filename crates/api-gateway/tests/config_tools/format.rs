//! `config fmt`: atomic rewriting, permissions, links, standard input.

use crate::support::{Folder, TIDY, UNTIDY};
use std::fs;
use std::io::Read;
use std::os::unix::fs::{chown, symlink, MetadataExt, PermissionsExt};
use std::path::Path;

#[test]
fn fmt_rewrites_and_lists_a_file_only_if_its_format_differs() {
    let folder = Folder::with("a.fb", UNTIDY);
    folder.put("b.fb", TIDY);
    folder.config("fmt a.fb b.fb").is(0, "a.fb\n", "");
    assert_eq!((folder.text("a.fb").as_str(), folder.text("b.fb").as_str()), (TIDY, TIDY));
    let number = fs::metadata(folder.path("a.fb")).unwrap().ino();
    folder.config("fmt a.fb b.fb").is(0, "", "");
    assert_eq!(fs::metadata(folder.path("a.fb")).unwrap().ino(), number);
}

#[test]
fn a_concurrent_reader_gets_the_complete_old_file() {
    let folder = Folder::with("a.fb", UNTIDY);
    let mut before = fs::File::open(folder.path("a.fb")).unwrap();
    assert_eq!(folder.config("fmt a.fb").code, 0);
    let mut text = String::new();
    before.read_to_string(&mut text).unwrap();
    assert_eq!((text.as_str(), folder.text("a.fb").as_str()), (UNTIDY, TIDY));
    assert_eq!(folder.names(), ["a.fb"]);
}

#[test]
fn permissions_and_owner_stay() {
    let folder = Folder::with("a.fb", UNTIDY);
    let path = folder.path("a.fb");
    // Only root may change the owner; without root only the mode is checked.
    let is_owner_changed = chown(&path, Some(4321), Some(1234)).is_ok();
    fs::set_permissions(&path, fs::Permissions::from_mode(0o664)).unwrap();
    assert_eq!(folder.config("fmt a.fb").code, 0);
    let found = fs::metadata(&path).unwrap();
    assert_eq!((found.mode() & 0o7777, folder.text("a.fb").as_str()), (0o664, TIDY));
    assert!(!is_owner_changed || (found.uid(), found.gid()) == (4321, 1234), "{found:?}");
}

#[test]
fn fmt_rewrites_the_target_of_a_symbolic_link() {
    let folder = Folder::new();
    fs::create_dir(folder.path("real")).unwrap();
    folder.put("real/a.fb", UNTIDY);
    symlink("real/a.fb", folder.path("near.fb")).unwrap();
    symlink("near.fb", folder.path("far.fb")).unwrap();
    folder.config("fmt far.fb").is(0, "far.fb\n", "");
    assert_eq!(folder.text("real/a.fb"), TIDY);
    assert_eq!(fs::read_link(folder.path("far.fb")).unwrap(), Path::new("near.fb"));
    assert_eq!(fs::read_link(folder.path("near.fb")).unwrap(), Path::new("real/a.fb"));
    assert!(fs::symlink_metadata(folder.path("real/a.fb")).unwrap().is_file());
    assert_eq!(fs::read_dir(folder.path("real")).unwrap().count(), 1);
}

#[test]
fn fmt_works_beside_leftover_temporary_files_up_to_their_limit() {
    let folder = Folder::with("a.fb", UNTIDY);
    folder.put(".fennelbeam-fmt.0.tmp", "half");
    assert_eq!(folder.config("fmt a.fb").code, 0);
    assert_eq!((folder.text("a.fb").as_str(), folder.text(".fennelbeam-fmt.0.tmp").as_str()), (TIDY, "half"));
    assert_eq!(folder.names(), [".fennelbeam-fmt.0.tmp", "a.fb"]);

    (0..100).for_each(|number| folder.put(&format!(".fennelbeam-fmt.{number}.tmp"), ""));
    folder.put("a.fb", UNTIDY);
    let full = folder.config("fmt a.fb");
    assert_eq!((full.code, full.out.as_str(), folder.text("a.fb").as_str()), (1, "", UNTIDY));
    assert!(full.err.starts_with("api-gateway: a.fb: cannot be rewritten: "), "{}", full.err);
}

#[test]
fn an_invalid_file_stays_and_the_others_are_formatted() {
    let broken = "pool \"a\" {\n  zones = \"b\n}\n";
    let folder = Folder::with("broken.fb", broken);
    folder.put("bytes.fb", b"pool \"a\" {}\n\xFF\n");
    folder.put("a.fb", UNTIDY);
    fs::create_dir(folder.path("folder")).unwrap();
    let ended = folder.config("fmt broken.fb bytes.fb folder missing.fb a.fb");
    assert_eq!((ended.code, ended.out.as_str()), (1, "a.fb\n"));
    for message in [
        "error: the text that begins here has no closing quote\n --> broken.fb:2:11\n",
        "error: the byte 0xFF is not UTF-8\n --> bytes.fb:2:1\n",
        "api-gateway: folder: cannot be read: it is a folder\n",
        "api-gateway: missing.fb: cannot be read: there is no such file\n",
    ] {
        assert!(ended.err.contains(message), "{message} is not in: {}", ended.err);
    }
    assert_eq!((folder.text("broken.fb").as_str(), folder.text("a.fb").as_str()), (broken, TIDY));
}

#[test]
fn fmt_check_lists_files_that_differ_and_changes_nothing() {
    let folder = Folder::with("a.fb", UNTIDY);
    folder.put("b.fb", TIDY);
    folder.config("fmt --check a.fb b.fb").is(1, "a.fb\n", "");
    assert_eq!(folder.text("a.fb"), UNTIDY);
    folder.config("fmt --check b.fb").is(0, "", "");
}

#[test]
fn fmt_prints_the_text_with_stdout_or_standard_input() {
    let folder = Folder::with("a.fb", UNTIDY);
    folder.config("fmt --stdout a.fb").is(0, TIDY, "");
    assert_eq!(folder.text("a.fb"), UNTIDY);
    folder.config_with("fmt -", UNTIDY.as_bytes()).is(0, TIDY, "");
    folder.config_with("fmt -", TIDY.as_bytes()).is(0, TIDY, "");
    folder.config_with("fmt --check -", UNTIDY.as_bytes()).is(1, "<stdin>\n", "");
    folder.config_with("fmt --check -", TIDY.as_bytes()).is(0, "", "");
    assert_eq!(folder.names(), ["a.fb"]);
}

#[test]
fn standard_input_is_limited_and_its_errors_are_printed() {
    let folder = Folder::new();
    let broken = folder.config_with("fmt -", b"pool \"a\n");
    assert_eq!((broken.code, broken.out.as_str()), (1, ""));
    assert!(broken.err.contains(" --> <stdin>:1:6\n"), "{}", broken.err);
    let large = folder.config_with("fmt -", &b"# many\n".repeat(100_000));
    large.is(1, "", "api-gateway: <stdin>: cannot be read: it has more than 262144 bytes\n");
}
