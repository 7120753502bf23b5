//! The operators' mix of customers through two minutes of a failing counter, against the same day with a
//! whole one, and beside each figure what the advance statement of error says.
//! `cargo run --release -p cluster-emulator --example quota_mix [SEEDS [THREADS]]`

#[path = "../tests/quota/ledger.rs"]
mod ledger;
#[path = "../tests/quota/many.rs"]
mod many;
#[path = "../tests/quota/mix.rs"]
mod mix;

use mix::{Fared, Fault, DAY_S, FAILS_S, START};

/// All faults of the tests and a few more.
fn faults() -> [Fault; 10] {
    [
        Fault::apart("whole", "", 1),
        Fault::apart("whole, but for 20 ms", "at 30 s: counter lost for 20 ms", 1),
        mix::LOST,
        Fault::dark("silent", "at 30 s: counter silent for 120 s"),
        Fault::dark("slow, adding", "at 30 s: counter slow 80 ms to 500 ms for 120 s"),
        mix::SPLIT,
        Fault::apart("split 1 + 1 + 1", "at 30 s: counter split 1 | 2 | 3 for 120 s", 3),
        mix::REPLACED,
        mix::FLAPPING,
        Fault::dark(
            "lost, gateways killed",
            "at 30 s: counter lost for 120 s\nat 50 s: kill gateway 1 for 4 s\nat 80 s: kill gateway 2 for 4 s\n\
             at 110 s: kill gateway 3 for 4 s",
        ),
    ]
}

/// What a fault came to on one day.
struct Day {
    seed: u64,
    fared: Vec<Fared>,
    worth: f64,
    calls: f64,
    /// The most calls that came in one second from its end on.
    most_calls: u32,
}

impl Day {
    /// Points by which the share refused of those within their quotas is above the calm day's.
    fn refused_more(&self) -> f64 {
        let within = self.fared.iter().filter(|one| one.is_within);
        let (asked, refused) = within.fold((0.0, 0.0), |(a, r), one| (a + one.asked, r + one.refused_more));
        100.0 * refused / f64::max(asked, 1.0)
    }
}

fn days(seed: u64) -> Vec<Day> {
    let calm = mix::day("", seed);
    let of = |fault: &Fault| {
        let failing = mix::day(fault.events, seed);
        let at = |seconds: f64| START + (seconds * 1e9) as u64;
        Day {
            seed,
            fared: mix::compare(seed, fault, &calm, &failing),
            worth: failing.verdict.weighted_score - calm.verdict.weighted_score,
            calls: failing.verdict.counter_calls_per_request,
            most_calls: failing.ledger.most_calls(at(30.0 + FAILS_S), at(DAY_S)),
        }
    };
    faults().iter().map(of).collect()
}

fn mean(list: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = list.fold((0.0, 0.0), |(sum, count), x| (sum + x, count + 1.0));
    sum / f64::max(count, 1.0)
}

/// The customer for whom this is most.
fn most<'a>(all: &[&'a Fared], of: impl Fn(&Fared) -> f64) -> Option<&'a Fared> {
    all.iter().copied().max_by(|a, b| of(a).total_cmp(&of(b)))
}

/// Units beside the bound of the customer for whom they come closest to it or are most beyond it.
fn beside(all: &[&Fared], units: fn(&Fared) -> f64) -> String {
    let Some(worst) = most(all, |one| units(one) / one.bound) else { return "none".into() };
    let over = all.iter().filter(|one| units(one) > one.bound).count();
    let over = if over > 0 { format!(", **{over} over**") } else { String::new() };
    format!("{:.0} of {:.0}{over} ({})", units(worst), worst.bound, worst.who())
}

/// Units beyond the quotas, of all customers, each against its bound.
fn print_overruns(name: &str, all: &[&Fared]) {
    let most_of = |burst: bool| {
        // Plans are told apart by their quotas.
        let least = all.iter().map(|one| one.bound).fold(f64::MAX, f64::min);
        let plan: Vec<&Fared> = all.iter().copied().filter(|one| (one.bound > least) == burst).collect();
        most(&plan, |one| one.over_span).map_or(0.0, |one| one.over_span)
    };
    println!(
        "| {name} | {} | {} | {:.0} and {:.0} | {} | {} | {} |",
        all.len(),
        beside(all, |one| one.over_day),
        most_of(false),
        most_of(true),
        beside(all, |one| one.over_span),
        beside(all, |one| one.gain),
        beside(all, |one| one.steps),
    );
}

/// What customers that ask for too much gained beyond what the statement lends.
fn print_gains(name: &str, all: &[&Fared]) {
    let greedy: Vec<&Fared> = all.iter().copied().filter(|one| !one.is_within).collect();
    let share = |one: &Fared| 100.0 * one.gain_share();
    let sum = |of: fn(&Fared) -> f64| greedy.iter().map(|one| of(one)).sum::<f64>();
    let Some(worst) = most(&greedy, share) else { return };
    println!(
        "| {name} | {} | {:+.1} % | {:.1} % | {} | {:.1} % ({}) |",
        greedy.len(),
        100.0 * sum(|one| one.gain) / sum(|one| one.allowed),
        mean(greedy.iter().map(|one| share(one))),
        greedy.iter().filter(|one| share(one) > 2.0).count(),
        share(worst),
        worst.who(),
    );
}

/// What those within their quotas lost, and the rest of the day.
fn print_service(name: &str, days: &[&Day]) {
    let within: Vec<&Fared> = days.iter().flat_map(|day| &day.fared).filter(|one| one.is_within).collect();
    let worst = days.iter().max_by(|a, b| a.refused_more().total_cmp(&b.refused_more()));
    let (Some(worst), Some(longest)) = (worst, most(&within, |one| one.longest_s)) else { return };
    println!(
        "| {name} | {:.2} | {:.2} (seed {}) | {} of {} | {:.1} s ({}; calm {:.1} s) | {} of {} | {:+.3} | {:.2} | {} |",
        mean(days.iter().map(|day| day.refused_more())),
        worst.refused_more(),
        worst.seed,
        days.iter().filter(|day| day.refused_more() > 2.0).count(),
        days.len(),
        longest.longest_s,
        longest.who(),
        longest.longest_calm_s,
        within.iter().filter(|one| one.longest_s > 3.0).count(),
        within.len(),
        mean(days.iter().map(|day| day.worth)),
        mean(days.iter().map(|day| day.calls)),
        days.iter().map(|day| day.most_calls).max().unwrap_or(0),
    );
}

fn main() {
    let mut numbers = std::env::args().skip(1).map(|text| text.parse::<u64>().ok());
    let seeds = numbers.next().flatten().unwrap_or(5);
    let threads = numbers.next().flatten().unwrap_or(2) as usize;
    let found = many::for_seeds(seeds, threads, days);
    let of = |place: usize| -> Vec<&Day> { found.iter().map(|days| &days[place]).collect() };
    let all = |place: usize| -> Vec<&Fared> { of(place).into_iter().flat_map(|day| &day.fared).collect() };
    println!("Units beyond the quotas beside the bound: of the customer that comes closest to it or is most over.\n");
    println!(
        "| two minutes of | customers | over the day | most over any span, standard and premium | over any span | more than on the \
         calm day | step by step, more than then |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    (0..).zip(faults()).for_each(|(place, fault)| print_overruns(fault.name, &all(place)));
    println!(
        "\nGain of those that ask for more than their quotas over the calm day, as a share of the quota.\n"
    );
    println!("| two minutes of | customers | all together | less what is lent: mean | above 2 % | most |");
    println!("| --- | --- | --- | --- | --- | --- |");
    (0..).zip(faults()).for_each(|(place, fault)| print_gains(fault.name, &all(place)));
    println!("\nThose within their quotas: refused more than on the calm day, in points of the tries of two minutes.\n");
    println!(
        "| two minutes of | mean | worst day | days above 2 | longest refused on end | above 3 s | worth | counter calls a \
         request | most in a second, after |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    (0..).zip(faults()).for_each(|(place, fault)| print_service(fault.name, &of(place)));
}
