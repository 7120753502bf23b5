//! env
