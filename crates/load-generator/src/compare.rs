//! Two programs in turn, A B A B: the ratio of each pair, and its spread. Machines are shared and change their pace;
//! what two runs side by side have in common cancels out.

use crate::run::Outcome;

/// A figure of both, pair by pair.
#[derive(Clone, Debug, PartialEq)]
pub struct Ratio {
    /// What it is.
    pub name: &'static str,
    /// Of A, in the middle of all runs.
    pub a: f64,
    /// Of B.
    pub b: f64,
    /// A over B: the least, the middle and the greatest of all pairs.
    pub ratio: [f64; 3],
}

type Figure = fn(&Outcome) -> f64;

const FIGURES: [(&str, Figure); 5] = [
    ("CPU us an answer", |o| o.cpu_us),
    ("answers/s", |o| o.answers_per_s),
    ("p50 ms", |o| o.latency.p50_ms),
    ("p99 ms", |o| o.latency.p99_ms),
    ("peak MB", |o| o.peak_mb),
];

/// Compares runs of A with as many runs of B.
pub fn ratios(a: &[Outcome], b: &[Outcome]) -> Vec<Ratio> {
    let all = |outcomes: &[Outcome], figure: Figure| outcomes.iter().map(figure).collect::<Vec<_>>();
    let of = |(name, figure): (&'static str, Figure)| {
        let (mut a, mut b) = (all(a, figure), all(b, figure));
        let mut ratio: Vec<f64> = a.iter().zip(&b).map(|(a, b)| a / b.max(1e-9)).collect();
        [&mut a, &mut b, &mut ratio].into_iter().for_each(|all| all.sort_by(f64::total_cmp));
        let ends = [ratio.first(), ratio.get(ratio.len() / 2), ratio.last()];
        Ratio { name, a: middle(&a), b: middle(&b), ratio: ends.map(|end| end.copied().unwrap_or(0.0)) }
    };
    FIGURES.into_iter().map(of).collect()
}

fn middle(sorted: &[f64]) -> f64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// A table for people.
pub fn text(ratios: &[Ratio]) -> String {
    let mut text = format!("{:<18} {:>10} {:>10}   A/B: least, middle, greatest\n", "", "A", "B");
    for Ratio { name, a, b, ratio: [least, middle, greatest] } in ratios {
        text += &format!("{name:<18} {a:>10.2} {b:>10.2}   {least:.3}  {middle:.3}  {greatest:.3}\n");
    }
    text
}
