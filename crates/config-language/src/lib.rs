//! The operators' language: pools, routes, quota policies and the plan for the loss of a site, read, checked,
//! formatted and compared.
//!
//! A text goes through `syntax` (pieces, then a tree that keeps comments), `files` (includes), `names` (`let`) and
//! `reader` (keys, units and bounds) to blocks; the kinds of blocks in `kinds` then check what only the whole
//! tells. [`load`] does all of it and gives a [`FileSet`], or diagnostics. [`format()`], [`diff`], [`big_changes`]
//! and [`show`] are the tools around it.
//!
//! Only [`loader`] touches files. Nothing here knows the gateway: what a file set means for it is data in
//! [`model`]. A subsystem with blocks of its own writes a [`kind::Kind`] and leaves the rest alone.
//!
//! `docs/operators-language.md` is the page for those who write such files.
//!
//! ```
//! use config_language::{load, loader::Memory};
//!
//! let files = Memory::default().with("site.fb", "quota policy \"night\" {\n  plan = \"premium\"\n  rate = 30\n}\n");
//! let loaded = load("site.fb".as_ref(), &files, None);
//! assert_eq!(
//!     loaded.diagnostics[0].one_line(),
//!     "site.fb:3:10: error: `rate` needs a unit: units/s, units/min or units/h (help: for example `30 units/s`)"
//! );
//! ```

mod changes;
pub mod diagnostic;
mod files;
mod format;
pub mod kind;
pub mod kinds;
mod load;
pub mod loader;
pub mod model;
mod names;
mod near;
mod platform;
mod reader;
pub mod set;
mod show;
mod syntax;
mod units;

pub use changes::{big_changes, diff, Change, What, BIG};
pub use diagnostic::{Diagnostic, Severity};
pub use files::{MOST_DEPTH, MOST_FILES};
pub use format::format;
pub use load::{load, load_with, Loaded};
pub use names::{MOST_ITEMS, MOST_ITEMS_IN_ALL, MOST_NAMES_DEEP};
pub use platform::{Platform, PlatformPlan};
pub use reader::{MOST_CUSTOMER, MOST_NAME};
pub use set::FileSet;
pub use show::show;
pub use units::{Dimension, Unit, UNITS};
