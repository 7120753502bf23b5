//! Measures the look-up time and the memory of routing tables: `cargo run --release -p routing --example lookup_cost`.

use std::hint::black_box;
use std::time::Instant;

use config_language::model::{At, Operators, Origin, Pool, Route};
use routing::{PlatformNames, RequestAttributes, RoutingTable};

const CUSTOMERS: u64 = 1 << 33;
const CLASSES: usize = 6;
const PLANS: usize = 4;
const POOLS: usize = 8;
/// Requests per round: enough for milliseconds, so that the time to read the clock is negligible.
const REQUESTS: usize = 5_000_000;
/// Rounds per measurement, of which the fastest is reported.
const ROUNDS: usize = 5;

/// Which routes name classes and plans, besides customers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scopes {
    /// No route does: one table.
    Shared,
    /// Each route names one class and one plan: 24 tables, each with a part of the routes.
    Apart,
    /// The first 24 routes each name one class and one plan, the others apply to all: 24 tables, each with nearly all
    /// routes.
    Mixed,
}

fn at<T>(value: T) -> At<T> {
    At { value, origin: Origin::default() }
}

/// Returns the next pseudo-random number (SplitMix64).
fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (*state ^ *state >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}

/// Returns routes for ranges of customers, some of which overlap.
fn operators(route_count: usize, scopes: Scopes) -> Operators {
    let mut state = 7;
    let pool = |number: usize| Pool {
        name: at(format!("pool-{number}")),
        zones: None,
        machines: None,
        cells: None,
        ids: None,
    };
    let route = |number: usize| {
        let first = next_random(&mut state) % CUSTOMERS;
        let max_width = CUSTOMERS / (route_count as u64 + 1);
        let is_scoped = match scopes {
            Scopes::Shared => false,
            Scopes::Apart => true,
            Scopes::Mixed => number < CLASSES * PLANS,
        };
        let name = |kind: &str, position| is_scoped.then(|| at(vec![format!("{kind}-{position}")]));
        Route {
            name: at(format!("route-{number}")),
            classes: name("class", number % CLASSES),
            plans: name("plan", number / CLASSES % PLANS),
            customers: Some(at(vec![first..=first + next_random(&mut state) % max_width])),
            pool: at(format!("pool-{}", number % POOLS)),
            fallback: None,
            most_out: None,
        }
    };
    Operators {
        pools: (0..POOLS).map(pool).collect(),
        routes: (0..route_count).map(route).collect(),
        ..Operators::default()
    }
}

/// Returns the mean duration of `call` in nanoseconds, in the fastest round.
fn nanoseconds_per_request(mut call: impl FnMut(RequestAttributes)) -> f64 {
    let mut fastest = f64::INFINITY;
    for _ in 0..ROUNDS {
        let mut state = 1;
        let start = Instant::now();
        for _ in 0..REQUESTS {
            let random = next_random(&mut state);
            let class = random as usize % CLASSES;
            let plan = (random >> 8) as usize % PLANS;
            call(RequestAttributes { class, plan, customer: random % CUSTOMERS });
        }
        fastest = fastest.min(start.elapsed().as_nanos() as f64 / REQUESTS as f64);
    }
    fastest
}

/// Returns a value of `/proc/self/status` in KiB.
fn process_memory(key: &str) -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    status.lines().find_map(|line| line.strip_prefix(key)?.trim_end_matches("kB").trim().parse().ok())
}

/// Measures one case and prints a line of the report.
fn report(route_count: usize, scopes: Scopes) {
    let numbered = |kind: &str, count| (0..count).map(|n| format!("{kind}-{n}")).collect::<Vec<_>>();
    let classes = numbered("class", CLASSES);
    let plans = numbered("plan", PLANS);
    let names = PlatformNames { classes: &classes, plans: &plans, ..PlatformNames::default() };
    let operators = operators(route_count, scopes);
    let memory_before = process_memory("VmRSS:").unwrap_or(0);
    let start = Instant::now();
    let table = RoutingTable::compile(&operators, &names).expect("the generated routes are valid");
    let compile_ms = start.elapsed().as_secs_f64() * 1e3;
    let added_memory = process_memory("VmHWM:").unwrap_or(0).saturating_sub(memory_before);
    let without_lookup = nanoseconds_per_request(|request| {
        black_box(request);
    });
    let with_lookup = nanoseconds_per_request(|request| {
        black_box(table.lookup(black_box(request)));
    });
    println!(
        "{route_count:6} {scopes:6?} {:9} {:9.1} {compile_ms:9.1} {added_memory:9} {:7.1}",
        table.range_count(),
        table.lookup_bytes() as f64 / 1024.0,
        with_lookup - without_lookup,
    );
}

/// Measures one case, `lookup_cost ROUTES shared|apart|mixed`, in a separate process, so that its memory is not mixed
/// with that of other cases; without arguments, all cases.
fn main() {
    println!("routes tables    ranges look-up KiB  compile ms  KiB more  ns each");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let cases = [("shared", Scopes::Shared), ("apart", Scopes::Apart), ("mixed", Scopes::Mixed)];
    if let [route_count, scopes] = &arguments[..] {
        let route_count = route_count.parse().expect("ROUTES is a number");
        let case = cases.iter().find(|(name, _)| name == scopes);
        let (_, scopes) = case.expect("the tables are shared, apart or mixed");
        return report(route_count, *scopes);
    }
    for route_count in [0, 10, 10_000, 50_000] {
        for (_, scopes) in cases {
            report(route_count, scopes);
        }
    }
}
