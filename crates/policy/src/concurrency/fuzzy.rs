//! The fuzzy delay controller of Wei et al.: Table 1 of the paper, with breakpoints and step sizes of our
//! own.

/// Breakpoints of the five triangular membership functions, as fractions of the clamp; finer near zero, as
/// the paper requires.
const BREAKPOINTS: [f64; 5] = [-1.0, -0.4, 0.0, 0.4, 1.0];

/// Output terms NH NB NM NS Z PS PM PB PH. They scale a step of [`MAX_STEP_FRACTION`] of all slots.
const OUTPUTS: [f64; 9] = [-1.0, -0.6, -0.35, -0.15, 0.0, 0.15, 0.35, 0.6, 1.0];

/// Maximum change of a reservation per control period, as a fraction of all slots.
pub(super) const MAX_STEP_FRACTION: f64 = 0.25;

/// Table 1 of the paper, rows E and columns dE from NB to PB, as indexes into [`OUTPUTS`].
const RULES: [[usize; 5]; 5] =
    [[0, 1, 1, 2, 3], [1, 2, 3, 4, 5], [3, 4, 4, 4, 5], [3, 4, 5, 6, 7], [5, 6, 7, 7, 8]];

/// Returns the degrees of membership in the five triangular terms; they add up to one.
fn membership(x: f64) -> [f64; 5] {
    let x = if x.is_finite() { x.clamp(-1.0, 1.0) } else { 0.0 };
    let slope = |from: f64, to: f64| if from == to { 1.0 } else { ((x - from) / (to - from)).max(0.0) };
    std::array::from_fn(|i| {
        let left = BREAKPOINTS[i.saturating_sub(1)];
        let right = BREAKPOINTS[(i + 1).min(4)];
        slope(left, BREAKPOINTS[i]).min(slope(right, BREAKPOINTS[i])).min(1.0)
    })
}

/// Returns the controller output of the 25 rules, from -1 to 1, for an error and its change, each as a
/// fraction of its clamp.
#[must_use]
pub fn controller_output(error: f64, change: f64) -> f64 {
    let rows = membership(error);
    let columns = membership(change);
    let rule = |n: usize| rows[n / 5] * columns[n % 5] * OUTPUTS[RULES[n / 5][n % 5]];
    (0..25).map(rule).sum()
}
