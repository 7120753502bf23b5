//! The controller of one gateway, by what it is told and what it says.

mod common;
mod returns;
mod verdicts;
