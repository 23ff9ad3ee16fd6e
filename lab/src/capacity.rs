//! The capacity page: generates the tables of `docs/CAPACITY.md` from targets, assumptions and recorded runs, and checks
//! that page and data agree.
//!
//! Tables between markers are generated; the prose around them is written by hand and may quote targets and assumptions,
//! but no other figure.

mod codec;
mod data;
mod estimate;
mod fit;
mod grid;
mod mechanisms;
mod model;
mod moments;
mod page;
mod played;
mod questions;
mod roles;
mod sensitivity;
mod sources;

pub use data::Data;
pub use fit::{Fit, Reading, Shape};

use model::Model;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn page_path(root: &Path) -> PathBuf {
    root.join("docs/CAPACITY.md")
}

fn tables(data: &Data) -> Result<Vec<page::Table>, Vec<String>> {
    let model = Model::new(data)?;
    let tables = vec![
        ("targets", sources::targets(&model)),
        ("assumptions", sources::assumptions(&model)?),
        ("sizes", roles::sizes(&model)),
        ("who-knows", questions::who_knows(&model)),
        ("places", roles::places(&model)),
        ("machines", roles::machines(&model)),
        ("scheduler", roles::scheduler(&model)),
        ("control", roles::control(&model)),
        ("moments-scheduler", moments::scheduler(&model)),
        ("moments-control", moments::control(&model)),
        ("commits", moments::commits(&model)),
        ("played", played::measured_runs(&model)),
        ("mechanisms", mechanisms::ranking(&model)),
        ("reach", questions::reach(&model)),
        ("without-control", questions::without_control(&model)),
        ("homes", questions::homes(&model)),
        ("function-memory", questions::function_memory(&model)),
        ("cold-starts", questions::cold_starts(&model)),
        ("slopes", sources::slopes(&model)),
        ("runs", sources::runs(&model)),
    ];
    let errors = model.input_errors();
    if errors.is_empty() { Ok(tables) } else { Err(errors) }
}

/// Figures that the prose may quote: values of targets, and values and alternatives of assumptions.
fn quotable(data: &Data) -> BTreeSet<String> {
    let target_values = data.targets.iter().map(|target| target.value);
    let assumption_values = data
        .assumptions
        .iter()
        .flat_map(|assumption| assumption.alternatives.iter().copied().chain([assumption.value]));
    target_values.chain(assumption_values).map(|value| value.to_string()).collect()
}

fn read(root: &Path) -> Result<(String, Data), Vec<String>> {
    let path = page_path(root);
    let page =
        std::fs::read_to_string(&path).map_err(|e| vec![format!("cannot read {}: {e}", path.display())])?;
    let data = Data::read(root).map_err(|why| vec![why])?;
    Ok((page, data))
}

/// Writes the tables into the page. On errors in the data or the page it returns all of them and leaves the page
/// unchanged.
pub fn write(root: &Path) -> Result<(), Vec<String>> {
    let (page, data) = read(root)?;
    let written = page::write(&page, &tables(&data)?)?;
    let unsourced = page::unsourced_figures(&written, &quotable(&data));
    if !unsourced.is_empty() {
        return Err(unsourced);
    }
    let path = page_path(root);
    std::fs::write(&path, written).map_err(|e| vec![format!("cannot write {}: {e}", path.display())])
}

/// Runs `lab capacity`; the error text lists all errors, one per line.
pub fn run(root: &Path, only_check: bool) -> Result<(), String> {
    let result = if only_check { check(root) } else { write(root) };
    result.map_err(|errors| errors.join("\n"))?;
    println!("{} and its data agree", page_path(root).display());
    Ok(())
}

/// Checks that page and data agree; returns all differences otherwise, each with the name of its table.
pub fn check(root: &Path) -> Result<(), Vec<String>> {
    let (page, data) = read(root)?;
    let mut errors = page::differences(&page, &tables(&data)?);
    errors.extend(page::unsourced_figures(&page, &quotable(&data)));
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}
