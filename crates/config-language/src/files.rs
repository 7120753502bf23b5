//! Follows includes: from the first file to all statements in their order.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::diagnostic::{is_printable, short, Diagnostic, Place, Report, Sources, Spot};
use crate::loader::{LoadError, Loader};
use crate::syntax::{parse, tree};

/// Files of a set.
pub const MOST_FILES: usize = 100;
/// Files that include one another in a chain, the first among them.
pub const MOST_DEPTH: usize = 16;

/// A name that `let` gives.
#[derive(Debug)]
pub(crate) struct Let {
    pub file: Arc<str>,
    pub name: tree::Word,
    pub value: Option<tree::Value>,
}

/// All statements of a set.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    pub lets: Vec<Let>,
    pub blocks: Vec<(Arc<str>, tree::Block)>,
    pub files: Vec<PathBuf>,
    pub sources: Sources,
    /// Something could not be read, so that a name that is missing may be there.
    pub unread: bool,
}

/// Reads a file and all that it includes.
pub(crate) fn read(root: &Path, loader: &dyn Loader, report: &mut Report) -> Statements {
    let mut reader = Reader {
        loader,
        report,
        stack: Vec::new(),
        seen: BTreeMap::new(),
        out: Statements::default(),
        full: false,
    };
    reader.file(root, None);
    reader.out
}

struct Reader<'a> {
    loader: &'a dyn Loader,
    report: &'a mut Report,
    /// The files that are being read, each included by the one before it.
    stack: Vec<(PathBuf, Arc<str>)>,
    /// Files that were read, by what they are, with who included them and where.
    seen: BTreeMap<PathBuf, Option<Place>>,
    out: Statements,
    /// It was said that there are too many files.
    full: bool,
}

/// The name of a file for messages: one line, whatever it is called.
fn display(path: &Path) -> Arc<str> {
    let name: String =
        path.to_string_lossy().chars().map(|c| if is_printable(c) { c } else { '?' }).collect();
    name.into()
}

impl Reader<'_> {
    /// Reads a file, included at a place or named by whoever asks.
    fn file(&mut self, path: &Path, from: Option<&Place>) {
        let name = display(path);
        let identity = match self.loader.identity(path) {
            Ok(identity) => identity,
            Err(error) => return self.unreadable(&name, from, &error),
        };
        if self.is_known(&identity, &name, from) || !self.has_room(from) {
            return;
        }
        let bytes = match self.loader.read(path) {
            Ok(bytes) => bytes,
            Err(error) => return self.unreadable(&name, from, &error),
        };
        self.seen.insert(identity.clone(), from.cloned());
        self.out.files.push(path.to_owned());
        let Some(text) = self.text(&name, bytes) else { return };
        self.stack.push((identity, name.clone()));
        self.statements(path, &name, &text);
        self.stack.pop();
    }

    fn unreadable(&mut self, name: &Arc<str>, from: Option<&Place>, error: &LoadError) {
        self.out.unread = true;
        let diagnostic = match from {
            Some(place) => {
                Diagnostic::error("include", place, format!("`{}` cannot be included: {error}", short(name)))
            }
            None => Diagnostic::error("unreadable", &beginning(name), format!("cannot be read: {error}")),
        };
        self.report.add(diagnostic);
    }

    /// Whether a file was read already, or is being read: then the includes lead round in a circle.
    fn is_known(&mut self, identity: &Path, name: &Arc<str>, from: Option<&Place>) -> bool {
        if let (Some(at), Some(place)) = (self.stack.iter().position(|(open, _)| open == identity), from) {
            let chain: Vec<&str> =
                self.stack[at..].iter().map(|(_, name)| &**name).chain([&**name]).collect();
            let reason = format!("the includes lead round in a circle: {}", chain.join(" -> "));
            self.report.add(Diagnostic::error("include-loop", place, reason));
            return true;
        }
        let (Some(first), Some(place)) = (self.seen.get(identity), from) else { return false };
        // Two files may both need a third, such as one of names; one file needs it once.
        if let Some(first) = first.as_ref().filter(|first| first.file == place.file) {
            let reason = format!("`{}` is included twice, first at {first}; once is enough", short(name));
            self.report.add(Diagnostic::warning("include-twice", place, reason).also(first, "first here"));
        }
        true
    }

    fn has_room(&mut self, from: Option<&Place>) -> bool {
        let Some(place) = from else { return true };
        if self.stack.len() >= MOST_DEPTH {
            self.out.unread = true;
            let reason = format!("includes go {MOST_DEPTH} files deep at the most");
            self.report.add(Diagnostic::error("include-depth", place, reason));
            return false;
        }
        if self.out.files.len() >= MOST_FILES {
            self.out.unread = true;
            if !std::mem::replace(&mut self.full, true) {
                let reason = format!("a file set has {MOST_FILES} files at the most");
                self.report.add(Diagnostic::error("many-files", place, reason));
            }
            return false;
        }
        true
    }

    /// The text of a file, if it is one.
    fn text(&mut self, name: &Arc<str>, bytes: Vec<u8>) -> Option<Arc<str>> {
        let bytes = match String::from_utf8(bytes) {
            Ok(text) => {
                let text: Arc<str> = text.into();
                self.out.sources.add(name, text.clone());
                return Some(text);
            }
            Err(error) => error,
        };
        self.out.unread = true;
        let good = bytes.utf8_error().valid_up_to();
        let bytes = bytes.into_bytes();
        // The line is shown with marks for what is no text.
        self.out.sources.add(name, String::from_utf8_lossy(&bytes).into());
        let before = String::from_utf8_lossy(&bytes[..good]);
        let column = before.rsplit('\n').next().unwrap_or("").chars().count();
        let line = before.matches('\n').count();
        let spot = Spot { line: line as u32 + 1, column: column as u32 + 1, length: 1 };
        let place = Place { file: name.clone(), spot };
        let byte = bytes.get(good).copied().unwrap_or(0);
        let reason = format!("the byte 0x{byte:02X} is not UTF-8");
        let wide = bytes.starts_with(&[0xFF, 0xFE]) || bytes.starts_with(&[0xFE, 0xFF]);
        let diagnostic = Diagnostic::error("utf8", &place, reason);
        self.report.add(if wide {
            diagnostic.help("this looks like UTF-16: save it as UTF-8")
        } else {
            diagnostic
        });
        None
    }

    fn statements(&mut self, path: &Path, name: &Arc<str>, text: &str) {
        let parsed = parse(text);
        self.out.unread |= parsed.tree.unread;
        self.report.count(parsed.steps);
        for fault in parsed.faults {
            self.report.add(fault.in_file(name));
        }
        for statement in parsed.tree.statements {
            match statement.what {
                tree::What::Include(file) => {
                    let place = Place { file: name.clone(), spot: file.spot };
                    let folder = path.parent().unwrap_or(Path::new(""));
                    self.file(&folder.join(&file.value), Some(&place));
                }
                tree::What::Let(word, value) => {
                    self.out.lets.push(Let { file: name.clone(), name: word, value });
                }
                tree::What::Block(block) => self.out.blocks.push((name.clone(), block)),
            }
        }
    }
}

/// The first place of a file that could not be read.
fn beginning(name: &Arc<str>) -> Place {
    Place { file: name.clone(), spot: Spot { line: 1, column: 1, length: 0 } }
}
