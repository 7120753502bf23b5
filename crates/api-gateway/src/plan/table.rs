//! Lays out text in columns.

/// Distance between two columns.
const COLUMN_GAP: &str = "  ";

/// A table of text, each column as wide as its widest cell.
pub struct Table {
    /// All rows, of which the first is the heading.
    rows: Vec<Vec<String>>,
    /// Columns of numbers, which are aligned to the right.
    right_aligned: &'static [usize],
}

impl Table {
    /// Returns a table with these headings and no further row.
    pub fn new(headings: &[&str], right_aligned: &'static [usize]) -> Table {
        let heading = headings.iter().map(|heading| (*heading).to_owned()).collect();
        Table { rows: vec![heading], right_aligned }
    }

    /// Adds a row, which may have fewer cells than the heading.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns all rows, each with a line end and without spaces at its end.
    pub fn render(&self) -> String {
        let widths = self.column_widths();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).enumerate();
            let aligned: Vec<String> =
                cells.map(|(column, (cell, width))| self.align(column, cell, *width)).collect();
            text += aligned.join(COLUMN_GAP).trim_end();
            text.push('\n');
        }
        text
    }

    /// Returns the width of each column, in characters.
    fn column_widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let mut widths = vec![0; columns];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = cell.chars().count().max(*width);
            }
        }
        widths
    }

    fn align(&self, column: usize, cell: &str, width: usize) -> String {
        if self.right_aligned.contains(&column) {
            format!("{cell:>width$}")
        } else {
            format!("{cell:<width$}")
        }
    }
}
