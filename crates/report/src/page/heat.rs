//! How busy each host is: a map with a row for each host and a column for each second.

use super::bins::mean_of;
use super::figure::{px, Figure, Key, Panel, Sheet, PLOT};
use super::plots::column_note;
use crate::facts::host_name;
use crate::number;

/// Rows at the most; where there are more hosts, neighbours share a row.
const ROWS: usize = 60;
/// Shades.
const LEVELS: usize = 10;
/// Height of a map, unless its rows get too low or too high.
const HEIGHT: f64 = 300.0;
/// Least distance of the labels of rows.
const LABEL: f64 = 13.0;

/// Title of the figure.
pub(crate) const TITLE: &str = "Load of hosts";

/// The map's cells.
pub(crate) struct Map {
    /// Names of the rows.
    pub rows: Vec<String>,
    /// For each row a character for each column: the shade as a digit, or a point where no host is.
    pub cells: Vec<String>,
    /// Height of a row.
    pub row_height: f64,
}

impl Map {
    /// The cells of a timeline.
    pub(crate) fn of(sheet: &Sheet) -> Map {
        let hosts = sheet.bins.hosts;
        let together = hosts.div_ceil(ROWS).max(1);
        let starts: Vec<usize> = (0..hosts).step_by(together).collect();
        let range = |start: &usize| *start..(*start + together).min(hosts);
        let row = |start: &usize| {
            let shares = |hosts: &[Option<f64>]| mean_of(hosts[range(start)].iter().copied().flatten());
            sheet.bins.columns.iter().map(|bin| shade(shares(&bin.busy))).collect()
        };
        let row_height = (HEIGHT / starts.len().max(1) as f64).clamp(6.0, 18.0);
        Map {
            rows: starts.iter().map(|start| name(range(start))).collect(),
            cells: starts.iter().map(row).collect(),
            row_height,
        }
    }

    fn height(&self) -> f64 {
        self.row_height * self.rows.len().max(1) as f64
    }
}

fn name(hosts: std::ops::Range<usize>) -> String {
    let first = host_name(hosts.start as u32);
    if hosts.len() <= 1 {
        first
    } else {
        format!("{first}-{}", host_name(hosts.end as u32 - 1))
    }
}

fn shade(share: Option<f64>) -> char {
    match share {
        Some(share) => char::from(b'0' + ((share * LEVELS as f64) as u8).min(LEVELS as u8 - 1)),
        None => '.',
    }
}

/// The map as a figure.
pub(crate) fn figure(sheet: &Sheet, map: &Map) -> Figure {
    let together = sheet.bins.hosts.div_ceil(ROWS);
    let rows = match together {
        0 | 1 => String::new(),
        n => format!(" Each row is the mean of {n} hosts."),
    };
    let caption =
        "Share of a host's present capacity in use; a host that is cold has less of it than a warm one.";
    let mut keys = vec![Key { class: "k-none", label: "0 % busy".into() }];
    let last = SHADES.len() - 1;
    let label = |level| if level == last { "100 %" } else { "" };
    keys.extend(SHADES.iter().enumerate().map(|(level, class)| Key { class, label: label(level).into() }));
    keys.push(Key { class: "k-absent", label: "not running".into() });
    Figure {
        id: "hosts",
        title: TITLE,
        caption: format!("{caption}{rows}{}", column_note(sheet)),
        description: describe(sheet),
        keys,
        panels: vec![Panel {
            heading: "host".into(),
            height: map.height(),
            ticks: ticks(map),
            lines: false,
            body: body(sheet, map),
        }],
    }
}

/// Style classes of the shades.
const SHADES: [&str; LEVELS] = ["h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"];

/// Labels of as many rows as have room for one.
fn ticks(map: &Map) -> Vec<(f64, String)> {
    let each = (1..).find(|each| f64::from(*each) * map.row_height >= LABEL).unwrap_or(1) as usize;
    let middle = |row: usize| (row as f64 + 0.5) * map.row_height;
    map.rows.iter().enumerate().step_by(each).map(|(row, name)| (middle(row), name.clone())).collect()
}

/// One path for each shade, in units of columns and rows: a dash as thick as a row for each run of like
/// cells.
fn body(sheet: &Sheet, map: &Map) -> String {
    let mut paths = vec![String::new(); LEVELS];
    for (row, cells) in map.cells.iter().enumerate() {
        for (start, length, shade) in runs(cells.as_bytes()) {
            if let Some(path) = shade.checked_sub(b'0').and_then(|level| paths.get_mut(usize::from(level))) {
                *path += &format!("M{start} {row}h{length}");
            }
        }
    }
    let mut drawing = format!(
        "<defs><pattern id=\"hatch\" width=\"6\" height=\"6\" patternUnits=\"userSpaceOnUse\">\
         <path class=\"hatch\" d=\"M-1 7L7 -1M-1 1L1 -1M5 7L7 5\"/></pattern>\
         <clipPath id=\"map\"><rect width=\"{0}\" height=\"{1}\"/></clipPath></defs>\n\
         <rect class=\"absent\" width=\"{0}\" height=\"{1}\"/>\n\
         <g class=\"heat\" clip-path=\"url(#map)\"><g transform=\"scale({2:.4} {3:.4}) translate(0 .5)\">\n",
        px(PLOT),
        px(map.height()),
        sheet.column(),
        map.row_height
    );
    for (path, class) in paths.iter().zip(SHADES).filter(|(path, _)| !path.is_empty()) {
        drawing += &format!("<path class=\"{class}\" d=\"{path}\"/>\n");
    }
    drawing + "</g></g>\n"
}

/// Runs of like cells: start, length, cell.
fn runs(cells: &[u8]) -> Vec<(usize, usize, u8)> {
    let mut runs: Vec<(usize, usize, u8)> = Vec::new();
    for (i, cell) in cells.iter().enumerate() {
        match runs.last_mut() {
            Some(run) if run.2 == *cell => run.1 += 1,
            _ => runs.push((i, 1, *cell)),
        }
    }
    runs
}

fn describe(sheet: &Sheet) -> String {
    let columns = &sheet.bins.columns;
    let shares = || columns.iter().flat_map(|bin| bin.busy.iter().copied().flatten());
    match mean_of(shares()) {
        None => "Nothing to show.".into(),
        Some(mean) => {
            let full = shares().filter(|share| *share >= 0.9).count();
            let all = shares().count();
            format!(
                "{} hosts; busy on average {} %; busy by 90 % or more in {} % of the cells.",
                sheet.bins.hosts,
                number::share(mean),
                number::percent(full as f64, all as f64)
            )
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use invariants::{SecondFigures, Verdict};

    fn map(hosts: usize, share: f64) -> Map {
        let busy = (0..hosts).map(|host| (host != 1).then_some(share)).collect();
        let timeline = vec![SecondFigures { busy, ..SecondFigures::default() }; 3];
        Map::of(&Sheet::of(&Verdict { timeline, ..Verdict::default() }, 600))
    }

    #[test]
    fn a_host_that_does_not_run_leaves_a_gap() {
        let map = map(3, 0.55);
        assert_eq!(map.cells, ["555", "...", "555"]);
        assert_eq!(map.rows, ["1", "2", "3"]);
    }

    #[test]
    fn many_hosts_share_rows() {
        let map = map(500, 1.0);
        assert_eq!((map.rows.len(), map.rows[0].as_str(), map.rows[55].as_str()), (56, "1-9", "496-500"));
        assert_eq!(map.cells[0], "999");
    }

    #[test]
    fn labels_of_rows_have_room() {
        for hosts in 1..=500 {
            let ticks = ticks(&map(hosts, 0.1));
            assert!(ticks.windows(2).all(|pair| pair[1].0 - pair[0].0 >= LABEL), "{hosts} hosts");
        }
    }

    #[test]
    fn like_cells_make_one_run() {
        assert_eq!(runs(b"00..1"), [(0, 2, b'0'), (2, 2, b'.'), (4, 1, b'1')]);
    }
}
