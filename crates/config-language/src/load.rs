//! Reads and checks a file set.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use crate::diagnostic::{short, Diagnostic, Place, Report, Severity};
use crate::files;
use crate::kind::{Registry, View};
use crate::kinds;
use crate::loader::Loader;
use crate::names::Names;
use crate::platform::Platform;
use crate::reader::Reader;
use crate::set::{quote, Block, FileSet};

/// What came of reading a file set.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// The file set, if it has no errors.
    pub set: Option<FileSet>,
    /// Errors and warnings, in the order of files and lines.
    pub diagnostics: Vec<Diagnostic>,
    /// The files that were read, the first one first; for those who watch them.
    pub files: Vec<PathBuf>,
    /// Steps that it took: characters, pieces, items, comparisons. They grow no faster than the files.
    pub steps: usize,
}

impl Loaded {
    /// The first error.
    pub fn first_error(&self) -> Option<&Diagnostic> {
        self.diagnostics.iter().find(|diagnostic| diagnostic.severity == Severity::Error)
    }
}

/// Reads and checks a file and all that it includes. Without a platform, what only its settings tell is not
/// checked.
pub fn load(root: &Path, loader: &dyn Loader, platform: Option<&Platform>) -> Loaded {
    load_with(&Registry::default(), root, loader, platform)
}

/// The same with further kinds of blocks.
pub fn load_with(
    registry: &Registry,
    root: &Path,
    loader: &dyn Loader,
    platform: Option<&Platform>,
) -> Loaded {
    let mut report = Report::default();
    let statements = files::read(root, loader, &mut report);
    let mut names = Names::new(&statements.lets, statements.unread, &mut report);
    let mut reader = Reader { names: &mut names, registry, report: &mut report };
    let read = statements.blocks.iter().filter_map(|(file, block)| reader.block(file, block));
    let mut blocks: Vec<Block> = read.collect();
    check_names(&blocks, &mut report);
    let view = View { blocks: &blocks, platform, unread: statements.unread };
    for kind in registry.kinds() {
        kind.check(view, &mut report);
    }
    let files = statements.files;
    let set = (report.errors() == 0).then(|| {
        blocks.shrink_to_fit();
        let operators = kinds::operators(&blocks);
        FileSet { operators, blocks, files: files.clone(), sources: statements.sources.clone() }
    });
    let steps = report.steps();
    Loaded { set, steps, diagnostics: report.finish(&statements.sources), files }
}

/// No two blocks of a kind have one name.
fn check_names(blocks: &[Block], report: &mut Report) {
    let mut seen: BTreeMap<(&str, &str), &Place> = BTreeMap::new();
    for block in blocks {
        let key = (block.kind.words(), block.name.text.as_str());
        let Some(first) = seen.get(&key) else {
            seen.insert(key, &block.name.place);
            continue;
        };
        let reason = format!("{} {} is there twice, first at {first}", key.0, short(&quote(key.1)));
        report.add(Diagnostic::error("twice", &block.name.place, reason).also(first, "first here"));
    }
}
