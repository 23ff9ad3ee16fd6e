//! Markdown tables.

/// A Markdown table under construction.
pub struct Grid(String);

impl Grid {
    /// A table with these column headings and no rows.
    pub fn new(head: &[&str]) -> Grid {
        let separator = vec!["---"; head.len()].join(" | ");
        Grid(format!("| {} |\n| {separator} |\n", head.join(" | ")))
    }

    /// Appends a row and returns the table, for chaining.
    pub fn row<const N: usize>(mut self, cells: [String; N]) -> Grid {
        self.push(&cells);
        self
    }

    /// Appends a row.
    pub fn push(&mut self, cells: &[String]) {
        let cells: Vec<String> =
            cells.iter().map(|cell| cell.replace('|', "\\|").replace('\n', " ")).collect();
        self.0.push_str(&format!("| {} |\n", cells.join(" | ")));
    }

    /// The Markdown text.
    pub fn text(self) -> String {
        self.0
    }
}
