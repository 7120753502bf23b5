//! Kinds of blocks. A subsystem that wants to be set in the operators' file writes one [`Kind`] in a module of its
//! own, and adds it to a [`Registry`]: keys, checks and words for comparisons. The parser knows none of them.

use std::fmt::Debug;

use crate::changes::Change;
use crate::diagnostic::Report;
use crate::platform::Platform;
use crate::set::{Block, FileSet};
use crate::units::Dimension;

/// What a key takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// One text.
    Text,
    /// One text or a list of them.
    Texts,
    /// One whole number, a range, or a list of them, up to a most.
    Numbers(u64),
    /// The same for customers, also as the wire names them: with 16 hex digits.
    Customers,
    /// A figure of a dimension, from a least to a most, in its smallest unit.
    Figure(Dimension, f64, f64),
}

/// A key of a kind of block.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Its word.
    pub word: &'static str,
    /// What it takes.
    pub shape: Shape,
    /// Whether a block has to set it.
    pub needed: bool,
    /// What holds where it is not set, in words.
    pub default: &'static str,
    /// What it is, in a line, for the reference.
    pub about: &'static str,
}

/// What the checks of a kind may look at.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// All blocks, those that are broken among them: their names count, their settings do not.
    pub blocks: &'a [Block],
    /// The platform, if it is known.
    pub platform: Option<&'a Platform>,
    /// Something could not be read: a name that is not here may be there.
    pub unread: bool,
}

impl<'a> View<'a> {
    /// The blocks of a kind, in order.
    pub fn of_kind(self, words: &'a str) -> impl Iterator<Item = &'a Block> + 'a {
        self.blocks.iter().filter(move |block| block.kind.words() == words)
    }
}

/// A kind of block.
pub trait Kind: Sync + Debug {
    /// The words before the name: `quota policy`.
    fn words(&self) -> &'static str;

    /// What it is, in a line.
    fn about(&self) -> &'static str;

    /// Its keys, in the order in which they are shown.
    fn keys(&self) -> &'static [Key];

    /// Checks beyond single settings, once for all blocks of the kind.
    fn check(&self, _view: View<'_>, _report: &mut Report) {}

    /// What holds where a key is not set, if the platform tells more than [`Key::default`].
    fn default_text(&self, _block: &Block, key: &Key, _platform: Option<&Platform>) -> String {
        key.default.to_owned()
    }

    /// What else there is to know of a setting that is set, for [`crate::show()`].
    fn note(&self, _block: &Block, _key: &Key, _platform: Option<&Platform>) -> Option<String> {
        None
    }

    /// What a changed setting is called in a comparison, if there is more to say than both values. Both are as
    /// people read them.
    fn words_for_change(&self, _key: &Key, _old: &str, _new: &str) -> Option<String> {
        None
    }

    /// Changes beyond those of single blocks, such as of their order.
    fn further_changes(&self, _old: &FileSet, _new: &FileSet) -> Vec<Change> {
        Vec::new()
    }

    /// Whether the figures of a block went up or down by a lot, told by [`crate::big_changes`] otherwise: by name
    /// and key. A kind that returns true looks after its own.
    fn big_changes(
        &self,
        _old: &FileSet,
        _new: &FileSet,
        _platform: Option<&Platform>,
        _report: &mut Report,
    ) -> bool {
        false
    }
}

/// The kinds of blocks that are known.
#[derive(Clone, Debug)]
pub struct Registry {
    kinds: Vec<&'static dyn Kind>,
}

impl Default for Registry {
    /// Pools, routes and quota policies; sites, who takes over from them, and what is refused when one is lost.
    fn default() -> Registry {
        use crate::kinds::{Policies, Pools, Routes, Sheds, Sites, Takeovers};
        Registry { kinds: vec![&Pools, &Routes, &Policies, &Sites, &Takeovers, &Sheds] }
    }
}

impl Registry {
    /// The same with one kind more.
    pub fn with(mut self, kind: &'static dyn Kind) -> Registry {
        self.kinds.push(kind);
        self
    }

    /// The kinds, in order.
    pub fn kinds(&self) -> &[&'static dyn Kind] {
        &self.kinds
    }

    pub(crate) fn find(&self, words: &str) -> Option<&'static dyn Kind> {
        self.kinds.iter().copied().find(|kind| kind.words() == words)
    }
}
