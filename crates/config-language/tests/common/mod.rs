//! A site for checks, and file sets from texts.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::path::Path;

use config_language::loader::Memory;
use config_language::{load, FileSet, Loaded, Platform, PlatformPlan};

pub fn platform() -> Platform {
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let plan =
        |name: &str, rate, burst, open, worth| PlatformPlan { name: name.into(), rate, burst, open, worth };
    Platform {
        classes: names(&["price-read", "unit-order", "report"]),
        worths: vec![2.0, 8.0, 1.0],
        plans: vec![plan("standard", 4.0, 20.0, 2, 1.0), plan("premium", 30.0, 60.0, 0, 1.5)],
        zones: names(&["building-1", "building-2", "building-3"]),
        machines: names(&["std-2core", "std-4core"]),
        gateways: 3,
        units_top: 6.0,
    }
}

pub fn read(text: &str) -> Loaded {
    load(Path::new("site.fb"), &Memory::default().with("site.fb", text), None)
}

/// The messages, each in a line.
pub fn messages(loaded: &Loaded) -> Vec<String> {
    loaded.diagnostics.iter().map(|diagnostic| diagnostic.one_line()).collect()
}

/// A file set without errors.
pub fn set(text: &str) -> FileSet {
    let loaded = read(text);
    let messages = messages(&loaded);
    loaded.set.unwrap_or_else(|| panic!("{messages:#?}\n{text}"))
}

pub fn sets(files: &[(&str, &str)]) -> FileSet {
    let memory = files.iter().fold(Memory::default(), |memory, (name, text)| memory.with(name, *text));
    let loaded = load(Path::new(files[0].0), &memory, None);
    let messages = messages(&loaded);
    loaded.set.unwrap_or_else(|| panic!("{messages:#?}"))
}
