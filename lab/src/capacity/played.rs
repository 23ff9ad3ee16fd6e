//! What the shipped machines did in runs: seconds and bytes at each size that was played.

use super::estimate::{Estimate, count};
use super::grid::Grid;
use super::model::Model;

/// What is shown, in which unit, and the target that it is held against.
const SHOWN: [(&str, &str, &str, Option<&str>); 12] = [
    ("in_force_median", "a change in force, median", "s", None),
    ("in_force_p99", "a change in force, at 99%", "s", Some("in_force_p99_seconds")),
    ("in_force_last", "a change in force, last", "s", Some("in_force_seconds")),
    (
        "dying_p99",
        "the same while a quarter of the control processes dies, at 99%",
        "s",
        Some("in_force_p99_seconds"),
    ),
    ("dying_last", "the same, last", "s", Some("in_force_seconds")),
    ("dead_p99", "the same without that quarter, at 99%", "s", Some("in_force_p99_seconds")),
    ("dead_last", "the same, last", "s", Some("in_force_seconds")),
    ("regions_last", "a change in force over several regions, last", "s", Some("in_force_seconds")),
    ("return_last", "schedulers that come back at once: until the last one has its list", "s", None),
    ("return_bytes", "bytes that each of them receives", "B", None),
    ("return_relay_bytes", "most bytes a second that a relay sends meanwhile", "B/s", None),
    ("scheduler_start", "a single scheduler that starts: until it has its list", "s", None),
];

/// One row for each quantity, with all sizes.
pub fn played(model: &Model) -> String {
    let mut grid = Grid::new(&["what", "along", "at the sizes", "at the target size", "bound", "holds"]);
    for (name, what, unit, target) in SHOWN {
        let Some((measure, fit)) = model.points(name) else {
            grid.push(&[what, "", "not played", "", "", ""].map(str::to_owned));
            continue;
        };
        let at = |(x, y): &(f64, f64)| format!("{}: {}", count(*x), Estimate::from(*y).show(unit));
        let sizes: Vec<String> = fit.points.iter().map(at).collect();
        // Where a run is along schedulers, all of them are the size to read; where not, the largest that was played is.
        let along = measure.along.as_deref().unwrap_or_default();
        let whole = if along == "hollow" {
            model.measured(name, model.target("schedulers"))
        } else {
            Estimate::MISSING
        };
        let most = fit.points.iter().map(|(_, y)| *y).fold(f64::MIN, f64::max);
        let (read, judged) = match whole.stands() {
            true => (format!("{} ({})", whole.show(unit), whole.basis.name()), whole),
            false => ("not read beyond the runs; judged by the most".to_owned(), Estimate::from(most)),
        };
        let bound = target.map(|target| model.target(target));
        grid.push(&[
            what.to_owned(),
            along.to_owned(),
            sizes.join(", "),
            read,
            bound.map(|bound| Estimate::from(bound).show(unit)).unwrap_or_default(),
            bound.map(|bound| judged.against(bound)).unwrap_or_default(),
        ]);
    }
    grid.text()
}
