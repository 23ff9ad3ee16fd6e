//! The tables that show what all others rest on: targets, assumptions, runs and slopes.

use super::data::Target;
use super::estimate::{count, show};
use super::fit::Shape;
use super::grid::Grid;
use super::model::Model;
use super::sensitivity;

/// Sizes and budgets that the operators have named, and bounds of the program: two in a row.
pub fn targets(model: &Model) -> String {
    let head = ["target", "value", "what it says"];
    let mut grid = Grid::new(&[head, head].concat());
    let cells = |target: &Target| {
        [target.name.clone(), format!("{} {}", plain(target.value), target.unit), target.what.clone()]
    };
    for pair in model.data.targets.chunks(2) {
        let second = pair.get(1).map(cells).unwrap_or_default();
        grid.push(&[cells(&pair[0]), second].concat());
    }
    grid.text()
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
    let mut grid = Grid::new(&["run", "command", "version", "seed", "rows"]);
    for (name, run) in &model.data.runs {
        let rows = run.rows.len().to_string();
        grid.push(&[name.clone(), format!("`{}`", run.command), run.version.clone(), run.seed.clone(), rows]);
    }
    grid.text()
}

/// How measured quantities grow.
pub fn slopes(model: &Model) -> String {
    let mut grid = Grid::new(&[
        "measure",
        "of",
        "run",
        "along",
        "from .. to",
        "at the ends",
        "each unit more",
        "r squared",
        "shape",
    ]);
    for (name, (measure, fit)) in &model.fits {
        let (first, last) = (fit.points[0], fit.points[fit.points.len() - 1]);
        let mut along = measure.along.clone().unwrap_or_default();
        if measure.divide != 1.0 {
            along = format!("{along} / {}", plain(measure.divide));
        }
        let alone = measure.along.is_none() || fit.points.len() == 1;
        let shape = match fit.shape {
            _ if alone => "one size".to_owned(),
            Shape::Flat => "flat".to_owned(),
            Shape::Line => "line".to_owned(),
            Shape::Curve(power) => format!("curve, power {}", show(power)),
            Shape::Scattered => "neither line nor curve".to_owned(),
        };
        let ends = if alone { show(first.1) } else { format!("{} .. {}", show(first.1), show(last.1)) };
        let range = if alone { show(first.0) } else { format!("{} .. {}", count(first.0), count(last.0)) };
        let line = |text: String| if alone { String::new() } else { text };
        grid.push(&[
            (*name).to_owned(),
            format!("{}, `{}`", measure.role, measure.quantity),
            measure.run.clone(),
            along,
            line(range),
            ends,
            line(show(fit.slope)),
            line(format!("{:.3}", fit.r_squared)),
            shape,
        ]);
    }
    grid.text()
}
