//! The tables of the page's inputs: targets, assumptions, runs and slopes.

use super::data::{Measure, Run, Target};
use super::estimate::{format_count, format_figure};
use super::grid::Grid;
use super::model::Model;
use super::played;
use super::sensitivity;
use std::collections::BTreeSet;

/// Entries per row in tables of many small entries.
const ENTRIES_PER_ROW: usize = 3;

/// A table with [`ENTRIES_PER_ROW`] entries in a row, each with these column headings.
fn side_by_side<const N: usize>(head: [&str; N], entries: Vec<[String; N]>) -> String {
    let mut grid = Grid::new(&[head; ENTRIES_PER_ROW].concat());
    for row in entries.chunks(ENTRIES_PER_ROW) {
        let padding = vec![String::new(); N * (ENTRIES_PER_ROW - row.len())];
        grid.push(&[row.concat(), padding].concat());
    }
    grid.text()
}

/// Sizes and budgets that the operators have specified, and limits of the program.
pub fn targets(model: &Model) -> String {
    let cells = |target: &Target| {
        [target.name.clone(), format!("{} {}", format_value(target.value), target.unit), target.what.clone()]
    };
    side_by_side(["target", "value", "what it says"], model.data.targets.iter().map(cells).collect())
}

fn format_value(value: f64) -> String {
    if value.fract() == 0.0 { format_count(value) } else { format_figure(value) }
}

/// The assumptions, and the effects of their alternatives.
pub fn assumptions(model: &Model) -> Result<String, Vec<String>> {
    let mut grid = Grid::new(&["assumption", "taken", "why", "were it otherwise"]);
    for assumption in &model.data.assumptions {
        let mut effects_by_alternative = vec![];
        for alternative in &assumption.alternatives {
            let effects = sensitivity::effects(model, &assumption.name, *alternative)?;
            effects_by_alternative.push(format!("**{}**: {effects}", format_value(*alternative)));
        }
        let assumed = format!("{} {}", format_value(assumption.value), assumption.unit);
        grid.push(&[
            assumption.name.clone(),
            assumed,
            assumption.why.clone(),
            effects_by_alternative.join(". "),
        ]);
    }
    Ok(grid.text())
}

/// The recorded runs.
pub fn runs(model: &Model) -> String {
    let cells = |(name, run): (&String, &Run)| {
        let description = format!("{}, seed {}, {} rows", run.version, run.seed, run.rows.len());
        [name.clone(), format!("`{}`", run.command), description]
    };
    side_by_side(["run", "command", "version"], model.data.runs.iter().map(cells).collect())
}

/// The distinct texts of a field in the rows of a measure.
fn values(model: &Model, measure: &Measure, field: &str) -> String {
    let rows = model.data.rows(measure).unwrap_or_default();
    let values: BTreeSet<&str> = rows.iter().filter_map(|row| row.get(field)?.as_str()).collect();
    values.into_iter().collect::<Vec<_>>().join(" and ")
}

/// Growth of the measured quantities, except those that the table of runs shows with all their sizes.
pub fn slopes(model: &Model) -> String {
    let others = model.fits.iter().filter(|(name, _)| !played::includes(name));
    let rows = others.map(|(name, (measure, fit))| {
        let [unit, measured, setup] =
            ["unit", "measured", "setup"].map(|field| values(model, measure, field));
        let description = format!(
            "`{name}`: {} `{}`, {measured}, {setup}; {}",
            measure.role, measure.quantity, measure.run
        );
        let (first, last) = (fit.points[0], fit.points[fit.points.len() - 1]);
        let Some(along) = measure.along.as_ref().filter(|_| fit.points.len() > 1) else {
            return [description, format!("{} {unit}", format_figure(first.1)), "one size".to_owned()];
        };
        let divisor = if measure.divide == 1.0 {
            String::new()
        } else {
            format!(" / {}", format_value(measure.divide))
        };
        let ends = format!(
            "{along}{divisor} {} .. {}: {} .. {} {unit}",
            format_count(first.0),
            format_count(last.0),
            format_figure(first.1),
            format_figure(last.1)
        );
        [
            description,
            ends,
            format!("{}; {} each, r squared {:.3}", fit.shape, format_figure(fit.slope), fit.r_squared),
        ]
    });
    side_by_side(["measure", "at the ends", "fit"], rows.collect())
}
