//! Numbered flags above a plot, one for each event, placed so that none covers another.

/// Height of a flag.
pub(crate) const HIGH: f64 = 15.0;
/// From the top of one row of flags to the next.
const PITCH: f64 = 18.0;
/// Rows of flags; where more events crowd together, neighbours share a flag.
const ROWS: usize = 4;
/// Room between flags in a row.
const GAP: f64 = 3.0;

/// A flag.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Flag {
    /// Where its line stands.
    pub x: f64,
    /// Its left edge.
    pub left: f64,
    /// Its upper edge.
    pub top: f64,
    /// Its width.
    pub wide: f64,
    /// The numbers of its first and last events, from 1.
    pub numbers: (usize, usize),
}

impl Flag {
    /// What is written on it.
    pub(crate) fn label(&self) -> String {
        label(self.numbers)
    }
}

fn label((first, last): (usize, usize)) -> String {
    if first == last {
        first.to_string()
    } else {
        format!("{first}-{last}")
    }
}

/// Width of a flag with so many characters.
fn width(characters: usize) -> f64 {
    characters as f64 * 6.8 + 8.0
}

/// Flags for numbered events at `marks` (number and place, in order of place), none beyond `right`.
pub(crate) fn place(marks: &[(usize, f64)], right: f64) -> Vec<Flag> {
    // Each place is as wide as the longest label can get, since a flag may take in further events later.
    let digits = marks.iter().map(|(number, _)| number.to_string().len()).max().unwrap_or(1);
    let room = width(2 * digits + 1);
    let mut flags: Vec<Flag> = Vec::new();
    let mut ends = [f64::NEG_INFINITY; ROWS];
    for &(number, x) in marks {
        let left = x.min(right - room);
        let same_place = flags.last().is_some_and(|flag| x - flag.x < 1.0);
        let row = ends.iter().position(|end| end + GAP <= left).filter(|_| !same_place);
        match (row, flags.last_mut()) {
            (None, Some(last)) => {
                last.numbers.1 = number;
                last.wide = width(last.label().len());
                last.left = last.x.min(right - last.wide);
            }
            (row, _) => {
                let row = row.unwrap_or(0);
                ends[row] = left + room;
                let wide = width(label((number, number)).len());
                // Near the right edge it is pushed to the left, no further than its own width asks.
                let left = x.min(right - wide);
                flags.push(Flag { x, left, top: row as f64 * PITCH, wide, numbers: (number, number) });
            }
        }
    }
    flags
}

/// Height of the strip that the flags need.
pub(crate) fn strip(flags: &[Flag]) -> f64 {
    flags.iter().map(|flag| flag.top + PITCH).fold(0.0, f64::max)
}

#[cfg(test)]
mod tests {
    use super::*;
    use cluster_model::rng::Rng;

    fn meet(a: &Flag, b: &Flag) -> bool {
        let across = a.left < b.left + b.wide && b.left < a.left + a.wide;
        across && a.top < b.top + HIGH && b.top < a.top + HIGH
    }

    /// Events at random places, many of them close together.
    fn crowd(seed: u64, count: usize) -> Vec<(usize, f64)> {
        let mut rng = Rng::stream(seed, "flags", 0);
        let spread = rng.between(5.0, 888.0);
        let mut places: Vec<f64> = (0..count).map(|_| 888.0 - rng.between(0.0, spread)).collect();
        places.sort_by(f64::total_cmp);
        places.into_iter().enumerate().map(|(i, x)| (i + 1, x)).collect()
    }

    #[test]
    fn no_flag_covers_another_however_events_crowd() {
        for seed in 0..300 {
            let marks = crowd(seed, 1 + seed as usize * 7 % 130);
            let flags = place(&marks, 888.0);
            for (i, flag) in flags.iter().enumerate() {
                assert!(flag.left + flag.wide <= 888.0, "seed {seed}: {flag:?} is clipped");
                let covered = flags[i + 1..].iter().find(|other| meet(flag, other));
                assert_eq!(covered, None, "seed {seed}: {flag:?}");
            }
            assert!(strip(&flags) <= ROWS as f64 * PITCH);
        }
    }

    #[test]
    fn each_event_has_a_flag() {
        for seed in 0..100 {
            let marks = crowd(seed, 100);
            let flags = place(&marks, 888.0);
            let mut next = 1;
            for flag in &flags {
                assert_eq!(flag.numbers.0, next);
                next = flag.numbers.1 + 1;
            }
            assert_eq!(next, marks.len() + 1);
        }
    }

    #[test]
    fn events_at_one_instant_share_a_flag_and_distant_ones_a_row() {
        let flags = place(&[(1, 100.0), (2, 100.0), (3, 400.0)], 888.0);
        let labels: Vec<String> = flags.iter().map(Flag::label).collect();
        assert_eq!(labels, ["1-2", "3"]);
        assert_eq!([flags[0].top, flags[1].top], [0.0, 0.0]);
    }
}
