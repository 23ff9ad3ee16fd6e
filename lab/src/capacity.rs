//! The capacity page: `docs/CAPACITY.md` from targets, assumptions and recorded runs, and whether they still agree.
//!
//! Tables between markers are derived; the prose round them is written by hand and may quote targets and assumptions,
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
        ("played", played::played(&model)),
        ("mechanisms", mechanisms::ranking(&model)),
        ("reach", questions::reach(&model)),
        ("without-control", questions::without_control(&model)),
        ("homes", questions::homes(&model)),
        ("function-memory", questions::function_memory(&model)),
        ("cold-starts", questions::cold_starts(&model)),
        ("slopes", sources::slopes(&model)),
        ("runs", sources::runs(&model)),
    ];
    let mistakes = model.mistakes();
    if mistakes.is_empty() { Ok(tables) } else { Err(mistakes) }
}

/// Figures that prose may quote: targets and assumptions.
fn quotable(data: &Data) -> BTreeSet<String> {
    let targets = data.targets.iter().map(|target| target.value);
    let assumed =
        data.assumptions.iter().flat_map(|each| each.alternatives.iter().copied().chain([each.value]));
    targets.chain(assumed).map(|value| value.to_string()).collect()
}

fn read(root: &Path) -> Result<(String, Data), Vec<String>> {
    let path = page_path(root);
    let page =
        std::fs::read_to_string(&path).map_err(|e| vec![format!("cannot read {}: {e}", path.display())])?;
    let data = Data::read(root).map_err(|why| vec![why])?;
    Ok((page, data))
}

/// Writes the tables into the page; all that is wrong with data or page otherwise, and the page stays.
pub fn write(root: &Path) -> Result<(), Vec<String>> {
    let (page, data) = read(root)?;
    let written = page::write(&page, &tables(&data)?)?;
    let loose = page::loose_figures(&written, &quotable(&data));
    if !loose.is_empty() {
        return Err(loose);
    }
    let path = page_path(root);
    std::fs::write(&path, written).map_err(|e| vec![format!("cannot write {}: {e}", path.display())])
}

/// What `lab capacity` does; the error names all that is wrong, a line each.
pub fn run(root: &Path, only_check: bool) -> Result<(), String> {
    let done = if only_check { check(root) } else { write(root) };
    done.map_err(|wrong| wrong.join("\n"))?;
    println!("{} and its data agree", page_path(root).display());
    Ok(())
}

/// Whether page and data agree; all differences otherwise, each with its table.
pub fn check(root: &Path) -> Result<(), Vec<String>> {
    let (page, data) = read(root)?;
    let mut wrong = page::differences(&page, &tables(&data)?);
    wrong.extend(page::loose_figures(&page, &quotable(&data)));
    if wrong.is_empty() { Ok(()) } else { Err(wrong) }
}
