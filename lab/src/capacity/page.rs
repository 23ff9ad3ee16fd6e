//! The page: hand-written prose around tables between markers, which are generated and compared.

use std::collections::BTreeSet;

/// A table: its name, and its lines on the page, each with its line break.
pub type Table = (&'static str, String);

fn start_marker(name: &str) -> String {
    format!("<!-- table {name} -->\n")
}

fn end_marker(name: &str) -> String {
    format!("<!-- end {name} -->")
}

/// The byte range of a table's lines on the page.
fn table_range(page: &str, name: &str) -> Result<std::ops::Range<usize>, String> {
    let (opening, closing) = (start_marker(name), end_marker(name));
    if page.matches(&opening).count() != 1 || page.matches(&closing).count() != 1 {
        return Err(format!(
            "table `{name}`: its markers `{}` and `{closing}` must each appear exactly once",
            opening.trim()
        ));
    }
    let from = page.find(&opening).unwrap_or(0) + opening.len();
    match page[from..].find(&closing) {
        Some(length) => Ok(from..from + length),
        None => Err(format!("table `{name}`: its end marker precedes its start marker")),
    }
}

/// Errors for markers on the page that belong to no table.
fn unknown_markers(page: &str, tables: &[Table]) -> Vec<String> {
    let marked =
        page.lines().filter_map(|line| line.trim().strip_prefix("<!-- table ")?.strip_suffix(" -->"));
    let unknown = marked.filter(|name| !tables.iter().any(|(known, _)| known == name));
    unknown
        .map(|name| format!("table `{name}`: it is on the page, but `lab capacity` does not generate it"))
        .collect()
}

/// The page with these tables between their markers; all errors in the markers otherwise.
pub fn write(page: &str, tables: &[Table]) -> Result<String, Vec<String>> {
    let mut errors = unknown_markers(page, tables);
    let mut written = page.to_owned();
    for (name, lines) in tables {
        match table_range(&written, name) {
            Ok(range) => written.replace_range(range, lines),
            Err(why) => errors.push(why),
        }
    }
    if errors.is_empty() { Ok(written) } else { Err(errors) }
}

/// All differences between the page and the tables.
pub fn differences(page: &str, tables: &[Table]) -> Vec<String> {
    let mut errors = unknown_markers(page, tables);
    for (name, lines) in tables {
        match table_range(page, name) {
            Ok(range) if page[range.clone()] == *lines => {}
            Ok(range) => errors.push(difference(name, &page[range], lines)),
            Err(why) => errors.push(why),
        }
    }
    errors
}

fn difference(name: &str, page: &str, derived: &str) -> String {
    let mut derived_lines = derived.lines();
    let mut page_lines = page.lines();
    loop {
        match (page_lines.next(), derived_lines.next()) {
            (Some(page), Some(derived)) if page == derived => {}
            (page, derived) => {
                let text = |line: Option<&str>| line.unwrap_or("(no line)").to_owned();
                return format!(
                    "table `{name}`: page and data differ\n  page: {}\n  data: {}",
                    text(page),
                    text(derived)
                );
            }
        }
    }
}

/// Errors for figures in the prose that are not allowed there. Tables, headings and code are skipped.
pub fn unsourced_figures(page: &str, allowed: &BTreeSet<String>) -> Vec<String> {
    let mut in_table = false;
    let mut errors = vec![];
    for (number, line) in page.lines().enumerate() {
        let trimmed = line.trim();
        if trimmed.starts_with("<!-- table ") || trimmed.starts_with("<!-- end ") {
            in_table = trimmed.starts_with("<!-- table ");
            continue;
        }
        if in_table || trimmed.starts_with('#') || trimmed.starts_with("    ") {
            continue;
        }
        let prose: String = line.split('`').step_by(2).collect::<Vec<_>>().join(" ");
        let unsourced = figures(&prose).into_iter().filter(|figure| !allowed.contains(figure));
        errors.extend(unsourced.map(|figure| {
            format!("prose, line {}: `{figure}` is neither a target nor an assumption", number + 1)
        }));
    }
    errors
}

/// The figures in a text, without thousands separators; numbers of sections and issues are left out.
fn figures(text: &str) -> Vec<String> {
    let mut found = vec![];
    let mut previous_word = "";
    for word in text.split(|c: char| c.is_whitespace() || "()[]/;:".contains(c)) {
        let figure = word.trim_matches(|c: char| !c.is_ascii_digit());
        let is_reference = ["section", "sections", "issue"].contains(&previous_word.to_lowercase().as_str());
        if figure.starts_with(|c: char| c.is_ascii_digit()) && !is_reference {
            found.push(figure.replace(',', ""));
        }
        previous_word = word;
    }
    found
}
