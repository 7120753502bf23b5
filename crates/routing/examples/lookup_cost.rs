//! Time and memory of the tables: `cargo run --release -p routing --example look_up`.

use std::hint::black_box;
use std::time::Instant;

use config_language::model::{At, Operators, Origin, Pool, Route};
use routing::{PlatformNames, RoutingTable};

const CUSTOMERS: u64 = 1 << 33;
const CLASSES: usize = 6;
const PLANS: usize = 4;

/// What routes tell apart besides customers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// Nothing: one table.
    Shared,
    /// Each route is for one class and one plan: 24 tables that share the routes out.
    Apart,
    /// The first 24 routes are; all others are for everyone: 24 tables, each with nearly all routes.
    Mixed,
}

fn at<T>(value: T) -> At<T> {
    At { value, origin: Origin::default() }
}

/// The next of a row of numbers that look like chance (SplitMix64).
fn next(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (*state ^ *state >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}

/// RoutingTable for ranges of customers that overlap here and there.
fn operators(count: usize, kind: Kind) -> Operators {
    let mut state = 7;
    let pool = |number: usize| Pool {
        name: at(format!("pool-{number}")),
        zones: None,
        machines: None,
        cells: None,
        ids: None,
    };
    let route = |number: usize| {
        let first = next(&mut state) % CUSTOMERS;
        let width = CUSTOMERS / (count as u64 + 1);
        let names = kind == Kind::Apart || kind == Kind::Mixed && number < CLASSES * PLANS;
        let named = |kind: &str, position| names.then(|| at(vec![format!("{kind}-{position}")]));
        Route {
            name: at(format!("route-{number}")),
            classes: named("class", number % CLASSES),
            plans: named("plan", number / CLASSES % PLANS),
            customers: Some(at(vec![first..=first + next(&mut state) % width])),
            pool: at(format!("pool-{}", number % 8)),
            fallback: None,
            most_out: None,
        }
    };
    Operators {
        pools: (0..8).map(pool).collect(),
        routes: (0..count).map(route).collect(),
        ..Operators::default()
    }
}

/// Nanoseconds that a call takes for each of a row of requests, the best of five rounds.
fn pace(mut call: impl FnMut(usize, usize, u64)) -> f64 {
    const REQUESTS: usize = 5_000_000;
    let mut best = f64::INFINITY;
    for _ in 0..5 {
        let mut state = 1;
        let begun = Instant::now();
        for _ in 0..REQUESTS {
            let chance = next(&mut state);
            call(chance as usize % CLASSES, (chance >> 8) as usize % PLANS, chance % CUSTOMERS);
        }
        best = best.min(begun.elapsed().as_nanos() as f64 / REQUESTS as f64);
    }
    best
}

/// A line of the process's own figures, in KiB.
fn memory(line: &str) -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    status.lines().find_map(|l| l.strip_prefix(line)?.trim_end_matches("kB").trim().parse().ok())
}

fn report(count: usize, kind: Kind) {
    let names = |kind: &str, count| (0..count).map(|n| format!("{kind}-{n}")).collect::<Vec<_>>();
    let (classes, plans) = (names("class", CLASSES), names("plan", PLANS));
    let facts = PlatformNames { classes: &classes, plans: &plans, ..PlatformNames::default() };
    let operators = operators(count, kind);
    let before = memory("VmRSS:").unwrap_or(0);
    let begun = Instant::now();
    let routes = RoutingTable::compile(&operators, &facts).expect("the routes are sound");
    let took = begun.elapsed().as_secs_f64() * 1e3;
    let most = memory("VmHWM:").unwrap_or(0).saturating_sub(before);
    let drawing = pace(|class, plan, customer| {
        black_box((class, plan, customer));
    });
    let both = pace(|class, plan, customer| {
        black_box(routes.lookup(black_box(class), black_box(plan), black_box(customer)));
    });
    println!(
        "{count:6} {kind:6?} {:9} {:9.1} {took:9.1} {most:9} {:7.1}",
        routes.range_count(),
        routes.lookup_bytes() as f64 / 1024.0,
        both - drawing,
    );
}

/// `look_up ROUTES shared|apart|mixed` for one case in a process of its own, as its memory wants; else all of them.
fn main() {
    println!("routes tables    ranges look-up KiB  compile ms  KiB more  ns each");
    let given: Vec<String> = std::env::args().skip(1).collect();
    let kinds = [("shared", Kind::Shared), ("apart", Kind::Apart), ("mixed", Kind::Mixed)];
    for count in [0, 10, 10_000, 50_000].map(|count: usize| count.to_string()) {
        for (name, kind) in kinds {
            if given.is_empty() {
                report(count.parse().expect("a number"), kind);
            } else if given[1..] == [name] {
                return report(given[0].parse().expect("a number of routes"), kind);
            }
        }
    }
}
