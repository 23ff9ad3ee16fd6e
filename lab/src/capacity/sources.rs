//! The tables that show what all others rest on: targets, assumptions, runs and slopes.

use super::data::{Measure, Run, Target};
use super::estimate::{count, show};
use super::grid::Grid;
use super::model::Model;
use super::played;
use super::sensitivity;
use std::collections::BTreeSet;

/// Tables of many small entries have so many in a row.
const IN_A_ROW: usize = 3;

/// So many entries in a row, each with these heads.
fn side_by_side<const N: usize>(head: [&str; N], entries: Vec<[String; N]>) -> String {
    let mut grid = Grid::new(&[head; IN_A_ROW].concat());
    for row in entries.chunks(IN_A_ROW) {
        let missing = vec![String::new(); N * (IN_A_ROW - row.len())];
        grid.push(&[row.concat(), missing].concat());
    }
    grid.text()
}

/// Sizes and budgets that the operators have named, and bounds of the program.
pub fn targets(model: &Model) -> String {
    let cells = |target: &Target| {
        [target.name.clone(), format!("{} {}", plain(target.value), target.unit), target.what.clone()]
    };
    side_by_side(["target", "value", "what it says"], model.data.targets.iter().map(cells).collect())
}

fn plain(value: f64) -> String {
    if value.fract() == 0.0 { count(value) } else { show(value) }
}

/// What is assumed, and what would differ if it were otherwise.
pub fn assumptions(model: &Model) -> Result<String, Vec<String>> {
    let mut grid = Grid::new(&["assumption", "taken", "why", "were it otherwise"]);
    for each in &model.data.assumptions {
        let mut otherwise = vec![];
        for alternative in &each.alternatives {
            let effects = sensitivity::effects(model, &each.name, *alternative)?;
            otherwise.push(format!("**{}**: {effects}", plain(*alternative)));
        }
        let taken = format!("{} {}", plain(each.value), each.unit);
        grid.push(&[each.name.clone(), taken, each.why.clone(), otherwise.join(". ")]);
    }
    Ok(grid.text())
}

/// The runs that figures come from.
pub fn runs(model: &Model) -> String {
    let cells = |(name, run): (&String, &Run)| {
        let of = format!("{}, seed {}, {} rows", run.version, run.seed, run.rows.len());
        [name.clone(), format!("`{}`", run.command), of]
    };
    side_by_side(["run", "command", "version"], model.data.runs.iter().map(cells).collect())
}

/// What the rows of a measure say in a field, each once.
fn values(model: &Model, measure: &Measure, field: &str) -> String {
    let rows = model.data.rows(measure).unwrap_or_default();
    let values: BTreeSet<&str> = rows.iter().filter_map(|row| row.get(field)?.as_str()).collect();
    values.into_iter().collect::<Vec<_>>().join(" and ")
}

/// How measured quantities grow; those that are shown where they were played stand there.
pub fn slopes(model: &Model) -> String {
    let others = model.fits.iter().filter(|(name, _)| !played::shows(name));
    let rows = others.map(|(name, (measure, fit))| {
        let [unit, how, setup] = ["unit", "measured", "setup"].map(|field| values(model, measure, field));
        let of =
            format!("`{name}`: {} `{}`, {how}, {setup}; {}", measure.role, measure.quantity, measure.run);
        let (first, last) = (fit.points[0], fit.points[fit.points.len() - 1]);
        let Some(along) = measure.along.as_ref().filter(|_| fit.points.len() > 1) else {
            return [of, format!("{} {unit}", show(first.1)), "one size".to_owned()];
        };
        let by = if measure.divide == 1.0 { String::new() } else { format!(" / {}", plain(measure.divide)) };
        let ends = format!(
            "{along}{by} {} .. {}: {} .. {} {unit}",
            count(first.0),
            count(last.0),
            show(first.1),
            show(last.1)
        );
        [of, ends, format!("{}; {} each, r squared {:.3}", fit.shape, show(fit.slope), fit.r_squared)]
    });
    side_by_side(["measure", "at the ends", "fit"], rows.collect())
}
