//! What the counter's totals say beyond what was passed on, 5 s after each failure is over, for all customers of
//! the operators' mix, beside the doubt that is stated.
//! `cargo run --release -p cluster-emulator --example quota_totals [SEEDS [THREADS]]`

#[allow(dead_code, reason = "only what was passed on is used here")]
#[path = "../tests/quota/ledger.rs"]
mod ledger;
#[path = "../tests/quota/many.rs"]
mod many;
#[allow(dead_code, reason = "only the site and the time of its start are used here")]
#[path = "../tests/quota/mix.rs"]
mod mix;
#[path = "../tests/quota/totals.rs"]
mod totals;

/// Failures, and when each is over, in seconds. Names change at 48 s.
const FAULTS: [(&str, &str, u64); 10] = [
    ("whole", "", 20),
    ("lost", "at 20 s: counter lost for 20 s", 40),
    ("mute", "at 20 s: counter mute for 20 s", 40),
    ("slow, adding", "at 20 s: counter slow 80 ms to 500 ms for 20 s", 40),
    ("split 1 + 2", "at 20 s: counter split 1 | 2 3 for 20 s", 40),
    ("flapping", "at 20 s: counter flapping every 700 ms for 20 s", 40),
    ("lost while names change", "at 44 s: counter lost for 10 s", 54),
    ("replaced, 10 s after names changed", "at 10 s: counter fresh", 10),
    ("replaced, 35 s after names changed", "at 35 s: counter fresh", 35),
    ("replaced three times", "at 12 s: counter fresh\nat 24 s: counter fresh\nat 36 s: counter fresh", 36),
];

fn main() {
    let mut numbers = std::env::args().skip(1).map(|text| text.parse::<u64>().ok());
    let seeds = numbers.next().flatten().unwrap_or(5);
    let threads = numbers.next().flatten().unwrap_or(2) as usize;
    println!("| counter | customers | units missing beyond the doubt: customers, most | units too many: customers, most |");
    println!("| --- | --- | --- | --- |");
    for (name, events, over) in FAULTS {
        let days = many::for_seeds(seeds, threads, |seed| totals::differences(mix::SITE, events, over, seed));
        let all: Vec<(u64, f64, f64)> = days.into_iter().flatten().collect();
        let beyond = |sign: f64| {
            let units: Vec<f64> = all
                .iter()
                .map(|one| (sign * one.1, one.2))
                .filter(|one| one.0 > one.1)
                .map(|one| one.0)
                .collect();
            format!("{}, {:.0}", units.len(), units.iter().copied().fold(0.0, f64::max))
        };
        println!("| {name} | {} | {} | {} |", all.len(), beyond(-1.0), beyond(1.0));
    }
}
