//! Judges a site by what passed on its wires, never by a gateway's own books.

mod verdict;

pub use verdict::*;
