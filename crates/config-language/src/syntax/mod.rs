//! From text to a tree that keeps comments and blank lines. Knows no block and no key.

pub(crate) mod lexer;
pub(crate) mod parser;
pub(crate) mod tree;

use crate::diagnostic::{Diagnostic, Place, Spot};
use std::sync::Arc;

/// Something wrong in a text, before it is known which file it is.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Fault {
    pub code: &'static str,
    pub spot: Spot,
    pub reason: String,
    pub help: Option<String>,
}

impl Fault {
    pub fn new(code: &'static str, spot: Spot, reason: impl Into<String>) -> Fault {
        Fault { code, spot, reason: reason.into(), help: None }
    }

    pub fn help(self, help: impl Into<String>) -> Fault {
        Fault { help: Some(help.into()), ..self }
    }

    pub fn in_file(self, file: &Arc<str>) -> Diagnostic {
        let place = Place { file: file.clone(), spot: self.spot };
        Diagnostic::error(self.code, &place, self.reason).help_if(self.help)
    }
}

/// What a text is: its tree as far as it can be read, and what is wrong with the rest.
#[derive(Debug)]
pub(crate) struct Parsed {
    pub tree: tree::Tree,
    pub faults: Vec<Fault>,
    /// Steps that reading took.
    pub steps: usize,
}

/// Reads a text.
pub(crate) fn parse(text: &str) -> Parsed {
    parser::parse(lexer::lex(text))
}
