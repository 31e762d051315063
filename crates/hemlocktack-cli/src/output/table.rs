//! Plain-text tables.

const GAP: &str = "  ";

/// Rows under a heading, each column as wide as its widest cell.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|cell| (*cell).to_owned()).collect();
        Table {
            rows: vec![heading],
        }
    }

    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    pub(crate) fn to_text(&self) -> String {
        let column_count = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths = (0..column_count)
            .map(|column| self.width(column))
            .collect::<Vec<_>>();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect::<Vec<_>>();
            text += cells.join(GAP).trim_end();
            text.push('\n');
        }
        text
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}
