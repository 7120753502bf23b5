//! The room, by subject.

mod descriptors;
mod faults;
mod halts;
mod http;
mod links;
mod network;
mod repeat;
mod support;
mod tasks;
