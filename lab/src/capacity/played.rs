//! Measurements of the distribution and start-up in runs: seconds and bytes at each size that was run.

use super::estimate::{Estimate, format_count};
use super::grid::Grid;
use super::model::Model;

/// Seconds until a change is in force: prefix of the measures' names, and the description of the run.
const CHANGE_MEASURES: [(&str, &str); 4] = [
    ("in_force", "a change in force"),
    ("dying", "the same while a quarter of the control processes dies"),
    ("dead", "the same without that quarter"),
    ("regions", "a change in force over several regions"),
];

/// Other measures: name, description and unit.
const OTHER_MEASURES: [(&str, &str, &str); 4] = [
    ("return_last", "schedulers that come back at once: until the last one has its list", "s"),
    ("return_bytes", "bytes that each of them receives", "B"),
    ("return_relay_bytes", "most bytes a second that a relay sends meanwhile", "B/s"),
    ("scheduler_start", "a single scheduler that starts: until it has its list", "s"),
];

/// Whether this table shows a measure, with all its sizes.
pub fn includes(name: &str) -> bool {
    let has_prefix = |prefix: &str| name.strip_prefix(prefix).is_some_and(|rest| rest.starts_with('_'));
    CHANGE_MEASURES.iter().any(|(prefix, _)| has_prefix(prefix))
        || OTHER_MEASURES.iter().any(|(other, ..)| *other == name)
}

/// A measure's values at all sizes, and its reading at the target number of schedulers if that is its axis; `None` if there
/// is no run.
fn values_by_size(model: &Model, name: &str, unit: &str) -> Option<String> {
    let (measure, fit) = model.measure_and_fit(name)?;
    let value_text = |(x, y): &(f64, f64)| match measure.along {
        Some(_) => format!("{}: {}", format_count(*x), Estimate::from(*y).show(unit)),
        None => Estimate::from(*y).show(unit),
    };
    let mut texts: Vec<String> = fit.points.iter().map(value_text).collect();
    let target = model.target("schedulers");
    let reading = model.measured(name, target);
    if measure.along.as_deref() == Some("hollow") && reading.is_known() {
        texts.push(format!("{}: {} ({})", format_count(target), reading.show(unit), reading.basis.name()));
    }
    let fit_text = format!(" ({}, r squared {:.2})", fit.shape, fit.r_squared);
    Some(texts.join("; ") + if fit.points.len() > 1 { &fit_text } else { "" })
}

/// Compares with a target the larger of the reading at the target number of schedulers, if there is one, and the maximum
/// that was run.
fn verdict(model: &Model, name: &str, target: &str) -> String {
    let along = model.measure_and_fit(name).and_then(|(measure, _)| measure.along.clone());
    let reading = model.measured(name, model.target("schedulers"));
    let worst = if along.as_deref() == Some("hollow") && reading.is_known() {
        reading.value.max(model.maximum(name).value)
    } else {
        model.maximum(name).value
    };
    Estimate::from(worst).against_budget(model.target(target))
}

/// One row for each quantity, with its values at all sizes.
pub fn measured_runs(model: &Model) -> String {
    let head = ["what", "median", "at 99%", "within the aim", "last", "within the target"];
    let mut grid = Grid::new(&head);
    let not_run = || "not played".to_owned();
    for (name, what) in CHANGE_MEASURES {
        let cell = |part: &str| values_by_size(model, &format!("{name}_{part}"), "s").unwrap_or_else(not_run);
        let verdict_cell = |part: &str, target: &str| verdict(model, &format!("{name}_{part}"), target);
        grid.push(&[
            what.to_owned(),
            cell("median"),
            cell("p99"),
            verdict_cell("p99", "in_force_p99_seconds"),
            cell("last"),
            verdict_cell("last", "in_force_seconds"),
        ]);
    }
    for (name, what, unit) in OTHER_MEASURES {
        let empty = String::new;
        grid.push(&[
            what.to_owned(),
            empty(),
            empty(),
            empty(),
            values_by_size(model, name, unit).unwrap_or_else(not_run),
            empty(),
        ]);
    }
    grid.text()
}
