//! Columns of text.

/// Rows of cells, each column as wide as its widest cell; the first row is its head.
pub struct Table {
    rows: Vec<Vec<String>>,
    /// Columns of figures, which stand to the right.
    figures: &'static [usize],
}

impl Table {
    /// One with this head.
    pub fn new(head: &[&str], figures: &'static [usize]) -> Table {
        Table { rows: vec![head.iter().map(|word| (*word).to_owned()).collect()], figures }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// All rows, with a line end each.
    pub fn text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            self.rows.iter().filter_map(|row| row.get(column)).map(|c| c.chars().count()).max()
        };
        let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
        let mut out = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).enumerate().map(|(column, (cell, width))| {
                match self.figures.contains(&column) {
                    true => format!("{cell:>width$}"),
                    false => format!("{cell:<width$}"),
                }
            });
            out += cells.collect::<Vec<_>>().join("  ").trim_end();
            out.push('\n');
        }
        out
    }
}
