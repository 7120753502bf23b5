//! Lines about the playing itself, while it goes on and when it is over.

use crate::{number, Heading};

/// Characters of the bar.
const BAR: usize = 10;

/// One line on how far a rehearsal is: `done_s` and `total_s` in seconds, things served and offered so far,
/// and `speed` as a multiple of real time. Its parts have fixed widths, so that a line written over an
/// earlier one leaves nothing of it; it has no line break.
pub fn progress(done_s: f64, total_s: f64, served: u64, offered: u64, speed: f64) -> String {
    let part = if total_s > 0.0 { (done_s / total_s).clamp(0.0, 1.0) } else { 1.0 };
    let full = (part * BAR as f64) as usize;
    let bar = format!("{}{}", "=".repeat(full), " ".repeat(BAR - full));
    let served = number::percent(served as f64, offered as f64);
    let total = number::fixed(total_s, 0);
    format!(
        "[{bar}] {:>width$} of {total} s, {:>7} asked, {served:>5} % served, {:>6} x real time",
        number::fixed(done_s, 0),
        number::count(offered),
        number::fixed(speed, 1),
        width = total.len(),
    )
}

/// How fast the rehearsal went. Apart from the table, since two runs of one seed differ in it. None where the
/// time on the wall is not known.
pub fn speed_line(heading: &Heading) -> Option<String> {
    let wall_s = heading.wall_s.filter(|wall| wall.is_finite() && *wall > 0.0)?;
    let length = number::length(heading.length_s);
    let took = number::fixed(wall_s, 1);
    Some(if heading.virtual_time {
        let times = number::fixed(heading.length_s / wall_s, 1);
        format!("Played {length} in {took} s: {times} times real time.")
    } else {
        format!("Played {length} in real time; with start and stop it took {took} s.")
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_covers_the_one_before_it() {
        let early = progress(0.0, 60.0, 0, 0, 0.0);
        let late = progress(59.9, 60.0, 9_000_000, 9_999_999, 1234.5);
        assert_eq!(early, "[          ]  0 of 60 s,       0 asked,     - % served,    0.0 x real time");
        assert_eq!(late, "[========= ] 60 of 60 s, 9,999,999 asked,  90.0 % served, 1,234.5 x real time");
        assert!(late.len() >= early.len());
    }

    #[test]
    fn a_line_is_whole_whatever_the_figures() {
        for done in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
            for total in [f64::NAN, 0.0, 1.0] {
                assert!(progress(done, total, u64::MAX, 1, f64::NAN).contains("real time"));
            }
        }
    }

    #[test]
    fn the_speed_is_told_only_where_it_is_known() {
        let heading = Heading { length_s: 60.0, virtual_time: true, ..Heading::default() };
        assert_eq!(speed_line(&heading), None);
        let quick = Heading { wall_s: Some(1.5), ..heading };
        assert_eq!(speed_line(&quick).as_deref(), Some("Played 60 s in 1.5 s: 40.0 times real time."));
        let real = Heading { virtual_time: false, wall_s: Some(61.24), ..quick };
        assert_eq!(
            speed_line(&real).as_deref(),
            Some("Played 60 s in real time; with start and stop it took 61.2 s.")
        );
    }
}
