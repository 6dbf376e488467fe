//! Text tables and formatting for terminals.

/// Separator between two columns.
const COLUMN_GAP: &str = "  ";

/// Text table with a heading. Each column is as wide as its widest cell.
#[derive(Clone, Debug)]
pub struct TextTable {
    /// Rows, starting with the heading.
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table without rows below the heading.
    pub fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(ToString::to_string).collect();
        Self {
            rows: vec![heading],
        }
    }

    /// Appends a row, which may have fewer cells than the heading.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Renders the table, one line per row without trailing spaces.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let cells: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            text.push_str(cells.join(COLUMN_GAP).trim_end());
            text.push('\n');
        }
        text
    }

    /// Returns the width of each column in characters.
    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let cells = |column: usize| self.rows.iter().filter_map(move |row| row.get(column));
        let width = |column| cells(column).map(|cell| cell.chars().count()).max();
        (0..columns)
            .map(|column| width(column).unwrap_or(0))
            .collect()
    }
}

/// Formats a duration in ms, rounded down: ms below 1 s, s below 2 min, min below 2 h, then h.
pub fn format_duration(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{} s", ms / 1_000),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

/// Formats a count with its noun, which takes an `s` unless the count is 1.
pub fn format_count(count: usize, noun: &str) -> String {
    match count {
        1 => format!("1 {noun}"),
        count => format!("{count} {noun}s"),
    }
}
