//! The page: prose by hand round tables between markers, which are written and compared.

use std::collections::BTreeSet;

/// A table as it stands on the page: its name and its lines, each with its line break.
pub type Table = (&'static str, String);

fn start(name: &str) -> String {
    format!("<!-- table {name} -->\n")
}

fn end(name: &str) -> String {
    format!("<!-- end {name} -->")
}

/// Where the lines of a table lie on the page.
fn place(page: &str, name: &str) -> Result<std::ops::Range<usize>, String> {
    let (opening, closing) = (start(name), end(name));
    if page.matches(&opening).count() != 1 || page.matches(&closing).count() != 1 {
        return Err(format!(
            "table `{name}`: its markers `{}` and `{closing}` must stand once each",
            opening.trim()
        ));
    }
    let from = page.find(&opening).unwrap_or(0) + opening.len();
    match page[from..].find(&closing) {
        Some(length) => Ok(from..from + length),
        None => Err(format!("table `{name}`: its end comes before its beginning")),
    }
}

/// Markers on the page that no table has.
fn strangers(page: &str, tables: &[Table]) -> Vec<String> {
    let marked =
        page.lines().filter_map(|line| line.trim().strip_prefix("<!-- table ")?.strip_suffix(" -->"));
    let unknown = marked.filter(|name| !tables.iter().any(|(known, _)| known == name));
    unknown.map(|name| format!("table `{name}`: the page has it, `lab capacity` does not")).collect()
}

/// The page with these tables in their places; all that is wrong with its markers otherwise.
pub fn write(page: &str, tables: &[Table]) -> Result<String, Vec<String>> {
    let mut wrong = strangers(page, tables);
    let mut written = page.to_owned();
    for (name, lines) in tables {
        match place(&written, name) {
            Ok(range) => written.replace_range(range, lines),
            Err(why) => wrong.push(why),
        }
    }
    if wrong.is_empty() { Ok(written) } else { Err(wrong) }
}

/// All that differs between the page and the tables.
pub fn differences(page: &str, tables: &[Table]) -> Vec<String> {
    let mut wrong = strangers(page, tables);
    for (name, lines) in tables {
        match place(page, name) {
            Ok(range) if page[range.clone()] == *lines => {}
            Ok(range) => wrong.push(difference(name, &page[range], lines)),
            Err(why) => wrong.push(why),
        }
    }
    wrong
}

fn difference(name: &str, page: &str, derived: &str) -> String {
    let mut ours = derived.lines();
    let mut theirs = page.lines();
    loop {
        match (theirs.next(), ours.next()) {
            (Some(page), Some(derived)) if page == derived => {}
            (page, derived) => {
                let show = |line: Option<&str>| line.unwrap_or("(no line)").to_owned();
                return format!(
                    "table `{name}`: page and data differ\n  page: {}\n  data: {}",
                    show(page),
                    show(derived)
                );
            }
        }
    }
}

/// Figures in the prose that are not among those allowed. Tables, code and links have their own.
pub fn loose_figures(page: &str, allowed: &BTreeSet<String>) -> Vec<String> {
    let mut inside = false;
    let mut wrong = vec![];
    for (number, line) in page.lines().enumerate() {
        let trimmed = line.trim();
        if trimmed.starts_with("<!-- table ") || trimmed.starts_with("<!-- end ") {
            inside = trimmed.starts_with("<!-- table ");
            continue;
        }
        if inside || trimmed.starts_with('#') || trimmed.starts_with("    ") {
            continue;
        }
        let prose: String = line.split('`').step_by(2).collect::<Vec<_>>().join(" ");
        let loose = figures(&prose).into_iter().filter(|figure| !allowed.contains(figure));
        wrong.extend(loose.map(|figure| {
            format!("prose, line {}: `{figure}` is neither target nor assumption", number + 1)
        }));
    }
    wrong
}

/// The figures of a text, without separators of thousands; not the numbers of sections and issues.
fn figures(text: &str) -> Vec<String> {
    let mut found = vec![];
    let mut before = "";
    for word in text.split(|c: char| c.is_whitespace() || "()[]/;:".contains(c)) {
        let figure = word.trim_matches(|c: char| !c.is_ascii_digit());
        let numbered = ["section", "sections", "issue"].contains(&before.to_lowercase().as_str());
        if figure.starts_with(|c: char| c.is_ascii_digit()) && !numbered {
            found.push(figure.replace(',', ""));
        }
        before = word;
    }
    found
}
