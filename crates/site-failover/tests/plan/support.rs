//! Plans compiled from operators' files, for tests.

use std::path::Path;

use config_language::loader::Memory;
use config_language::model::Operators;
use site_failover::{FailoverPlan, PlatformNames};

/// Two shedding tiers: reads, followed by the other requests of the standard plan.
pub const SHEDS: &str = "shed \"reads\" {\n  classes = \"read\"\n  floor = 20 %\n}\n\
                         shed \"standard\" {\n  plans = \"standard\"\n  floor = 60 %\n}\n";

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Loads an operators' file, which must be valid.
pub fn operators(text: &str) -> Operators {
    let loaded = config_language::load(Path::new("site.fb"), &Memory::default().with("site.fb", text), None);
    let messages: Vec<String> = loaded.diagnostics.iter().map(|found| found.one_line()).collect();
    loaded.set.unwrap_or_else(|| panic!("{messages:#?}\n{text}")).operators
}

/// Compiles operators' blocks for a platform with two classes, two plans and four zones.
pub fn compile(operators: &Operators) -> Result<FailoverPlan, String> {
    let classes = names(&["read", "order"]);
    let plans = names(&["standard", "premium"]);
    let zones = names(&["z1", "z2", "z3", "z4"]);
    let platform = PlatformNames { classes: &classes, plans: &plans, zones: &zones };
    FailoverPlan::compile(operators, &platform).map_err(|error| error.to_string())
}

/// Compiles an operators' file, which must be valid.
pub fn plan(text: &str) -> FailoverPlan {
    compile(&operators(text)).unwrap()
}

/// Returns sites `a`, `b`, ... in the zones `z1`, `z2`, ..., each with these settings.
pub fn sites(settings: &[&str]) -> String {
    let site = |(n, settings): (usize, &&str)| {
        let name = char::from(b'a' + n as u8);
        format!("site \"{name}\" {{\n  zones = \"z{}\"\n  {settings}\n}}\n", n + 1)
    };
    settings.iter().enumerate().map(site).collect()
}

/// Returns takeovers. `a>b 60%` means that `b` takes over this share of the load of `a`; without a share, `b` takes
/// over the rest.
pub fn takeovers(all: &str) -> String {
    let one = |text: &str| {
        let (sites, share) = text.split_once(' ').unwrap_or((text, ""));
        let (lost, by) = sites.split_once('>').unwrap();
        let share = if share.is_empty() { String::new() } else { format!("  share = {share}\n") };
        format!("takeover \"{lost}-{by}\" {{\n  lost = \"{lost}\"\n  by = \"{by}\"\n{share}}}\n")
    };
    all.split(", ").filter(|text| !text.is_empty()).map(one).collect()
}
