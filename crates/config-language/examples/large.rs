//! How long it takes to check large file sets: `cargo run --release -p config-language --example large`.

use std::path::Path;
use std::time::Instant;

use config_language::loader::Memory;
use config_language::{diff, format, load, FileSet, Platform, PlatformPlan};

/// Routes of a file: 1,000 of them are 140 KiB.
const PER_FILE: usize = 1000;
const CLASSES: [&str; 3] = ["price-read", "unit-order", "report"];

fn platform(policies: usize) -> Platform {
    let plan = |n| PlatformPlan { name: format!("plan-{n}"), rate: 30.0, burst: 60.0, open: 0, worth: 0.0 };
    Platform {
        worths: Vec::new(),
        classes: CLASSES.map(str::to_owned).to_vec(),
        plans: (0..policies).map(plan).collect(),
        zones: vec!["building-1".into()],
        machines: Vec::new(),
        gateways: 3,
        units_top: 6.0,
    }
}

fn route(n: usize) -> String {
    let class = CLASSES[n % CLASSES.len()];
    format!(
        "route \"r{n}\" {{\n  classes = \"{class}\"\n  customers = [{}..{}]\n  pool = \"north\"\n  \
         fallback = \"all\"\n  most-out = bound\n}}\n",
        n * 100,
        n * 100 + 149
    )
}

fn files(routes: usize, policies: usize) -> Memory {
    let pools = "pool \"north\" { zones = \"building-1\" }\npool \"all\" {}\nlet bound = 40 attempts\n";
    let mut files = Memory::default().with("pools.fb", pools);
    let mut site = "include \"pools.fb\"\n".to_owned();
    for (part, start) in (0..routes).step_by(PER_FILE).enumerate() {
        let text: String = (start..routes.min(start + PER_FILE)).map(route).collect();
        site += &format!("include \"routes{part}.fb\"\n");
        files = files.with(format!("routes{part}.fb"), text);
    }
    for (part, start) in (0..policies).step_by(PER_FILE).enumerate() {
        let text: String = (start..policies.min(start + PER_FILE)).map(policy).collect();
        site += &format!("include \"policies{part}.fb\"\n");
        files = files.with(format!("policies{part}.fb"), text);
    }
    files.with("site.fb", site + "route \"rest\" {\n  pool = \"all\"\n}\n")
}

fn policy(n: usize) -> String {
    format!("quota policy \"q{n}\" {{\n  plan = \"plan-{n}\"\n  rate = 20 units/s\n  burst = 40 units\n}}\n")
}

fn check(files: &Memory, platform: &Platform) -> (f64, usize, FileSet) {
    let start = Instant::now();
    let loaded = load(Path::new("site.fb"), files, Some(platform));
    let took = start.elapsed().as_secs_f64() * 1000.0;
    let first = loaded.diagnostics.first().map(|diagnostic| diagnostic.one_line());
    (took, loaded.steps, loaded.set.unwrap_or_else(|| panic!("{first:?}")))
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn main() {
    println!("routes  policies  check ms (median of 9)  steps      diff ms  format ms");
    for (routes, policies) in [(100, 10), (10_000, 1_000), (20_000, 2_000), (40_000, 4_000)] {
        let (files, platform) = (files(routes, policies), platform(policies));
        let runs: Vec<f64> = (0..9).map(|_| check(&files, &platform).0).collect();
        let (_, steps, set) = check(&files, &platform);
        let start = Instant::now();
        assert!(diff(&set, &set).is_empty());
        let compared = start.elapsed().as_secs_f64() * 1000.0;
        let text: String = (0..PER_FILE.min(routes)).map(route).collect();
        let start = Instant::now();
        assert!(format(&text, "routes.fb").is_ok_and(|formatted| formatted.len() > text.len()));
        let formatted = start.elapsed().as_secs_f64() * 1000.0 * routes as f64 / PER_FILE as f64;
        println!(
            "{routes:<7} {policies:<9} {:<23.1} {steps:<10} {compared:<8.1} {formatted:.1}",
            median(runs)
        );
    }
}
