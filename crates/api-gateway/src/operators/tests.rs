use super::platform::language_platform;
use super::{check, load};
use config_language::PlatformPlan;
use gateway::{Config, PlatformSettings};

const EXAMPLE: &[u8] = include_bytes!("../../../../deploy/example.json");

fn example_platform() -> PlatformSettings {
    Config::parse(EXAMPLE).unwrap().platform
}

/// Returns a file with this text, which is removed with the folder.
fn operators_file(text: &str) -> (tempfile::TempDir, std::path::PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("site.fb");
    std::fs::write(&path, text).unwrap();
    (folder, path)
}

fn quota_policy(rate: &str) -> String {
    format!("quota policy \"night\" {{\n  plan = \"premium\"\n  rate = {rate}\n}}\n")
}

#[test]
fn the_language_platform_has_the_names_and_figures_of_the_settings() {
    let platform = language_platform(&example_platform());
    assert_eq!(platform.classes, ["price-read", "unit-order"]);
    assert_eq!(platform.worths, [2.0, 8.0]);
    assert_eq!(platform.zones, ["building-1", "building-2", "building-3"]);
    assert_eq!(platform.machines, ["std-2core"]);
    assert_eq!((platform.gateways, platform.units_top), (3, 6.0));
    let standard = PlatformPlan { name: "standard".into(), rate: 4.0, burst: 20.0, open: 2, worth: 1.0 };
    let premium = PlatformPlan { name: "premium".into(), rate: 30.0, burst: 60.0, open: 0, worth: 1.5 };
    assert_eq!(platform.plans, [standard, premium]);
}

#[test]
fn a_quota_above_the_platforms_is_an_error_only_with_its_settings() {
    let (_folder, path) = operators_file(&quota_policy("40 units/s"));
    assert_eq!(load(&path, None).unwrap().operators.policies.len(), 1);
    let line = load(&path, Some(&example_platform())).unwrap_err().to_string();
    let reason = "`rate` is 40 units/s, and the platform grants plan \"premium\" no more than 30 units/s";
    assert_eq!(line, format!("{}:3:10: error: {reason}", path.display()));
}

#[test]
fn an_incomplete_quota_of_the_routing_tables_is_an_error_too() {
    let mut platform = example_platform();
    let premium = &mut platform.settings.plans[1];
    premium.rate = 0.0;
    premium.burst = 0.0;
    let (_folder, path) = operators_file(&quota_policy("20 units/s"));
    let line = load(&path, Some(&platform)).unwrap_err().to_string();
    let reason = "the platform sets no quota for plan `premium`: a rate needs a burst beside it";
    assert_eq!(line, format!("{}:3:10: error: {reason}", path.display()));
    let found = check(&path, Some(&platform)).diagnostics;
    assert_eq!(found.iter().map(|d| d.code).collect::<Vec<_>>(), ["half-quota"]);
}

#[test]
fn an_invalid_file_set_gives_its_first_error_and_the_number_of_further_ones() {
    let (_folder, path) = operators_file(&quota_policy("20\n  bursts = 9"));
    let line = load(&path, None).unwrap_err().to_string();
    let at = path.display();
    assert!(line.starts_with(&format!("{at}:3:10: error: `rate` needs a unit")), "{line}");
    assert!(line.ends_with(" (and 1 more)") && !line.contains('\n'), "{line}");
    // Messages beyond the first hundred are only counted, errors and warnings alike.
    let (_folder, path) = operators_file(&"pool 7 {}\n".repeat(150));
    let line = load(&path, None).unwrap_err().to_string();
    assert!(line.ends_with(" (and at least 99 more)"), "{line}");
}
