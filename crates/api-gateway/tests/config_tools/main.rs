//! The subcommands of `config`, tested with the built program.

mod check;
mod command_line;
mod diff;
mod format;
mod pages;
mod show;
mod support;
