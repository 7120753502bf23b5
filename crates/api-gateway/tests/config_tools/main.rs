//! The tools for the operators' files, as the built program has them.

mod check;
mod command_line;
mod diff;
mod format;
mod pages;
mod show;
mod support;
