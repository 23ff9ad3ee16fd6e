//! Tables in Markdown.

/// Rows under a head.
pub struct Grid(String);

impl Grid {
    /// A table with this head.
    pub fn new(head: &[&str]) -> Grid {
        let rule = vec!["---"; head.len()].join(" | ");
        Grid(format!("| {} |\n| {rule} |\n", head.join(" | ")))
    }

    /// With one row more.
    pub fn row<const N: usize>(mut self, cells: [String; N]) -> Grid {
        self.push(&cells);
        self
    }

    /// One row more.
    pub fn push(&mut self, cells: &[String]) {
        let cells: Vec<String> =
            cells.iter().map(|cell| cell.replace('|', "\\|").replace('\n', " ")).collect();
        self.0.push_str(&format!("| {} |\n", cells.join(" | ")));
    }

    /// As it stands on the page.
    pub fn text(self) -> String {
        self.0
    }
}
