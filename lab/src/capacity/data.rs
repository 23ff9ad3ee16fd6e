//! The data that the page is derived from: targets, assumptions, measures and runs, read from `lab/capacity`.

use super::fit::Fit;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::Path;

type Json = serde_json::Value;

/// A size or a budget that the operators have specified.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Key by which tables look it up.
    pub name: String,
    /// The value, in `unit`.
    pub value: f64,
    /// Unit of the value.
    pub unit: String,
    /// Description for the page.
    pub what: String,
}

/// A figure that the operators have not specified and that no run can measure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// Key by which tables look it up.
    pub name: String,
    /// The assumed value, in `unit`.
    pub value: f64,
    /// Other plausible values, for the sensitivity column.
    pub alternatives: Vec<f64>,
    /// Unit of the values.
    pub unit: String,
    /// Reason for this value.
    pub why: String,
}

/// Selects the rows of a run that measure one quantity.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measure {
    /// Key by which tables look it up.
    pub name: String,
    /// The run's file name without its extension.
    pub run: String,
    /// Required role of a row.
    pub role: String,
    /// Required quantity of a row.
    pub quantity: String,
    /// The field that is the x axis of the fit; without one the rows are averaged.
    pub along: Option<String>,
    /// Divisor of the positions on the axis: rows count all schedulers where the measure is per child of one of several
    /// control processes.
    #[serde(default = "one")]
    pub divide: f64,
    /// Required values of other fields.
    #[serde(default, rename = "where")]
    pub filter: BTreeMap<String, toml::Value>,
    /// Exclusive lower bounds of other fields.
    #[serde(default)]
    pub above: BTreeMap<String, f64>,
}

/// A recorded run of `lab scale`.
#[derive(Clone, Debug)]
pub struct Run {
    /// The command line.
    pub command: String,
    /// Version of the program that was measured.
    pub version: String,
    /// The seed; empty if the run has none.
    pub seed: String,
    /// The measured rows.
    pub rows: Vec<Json>,
}

/// All inputs of the page.
#[derive(Clone, Debug)]
pub struct Data {
    /// Specified sizes and budgets.
    pub targets: Vec<Target>,
    /// Assumed figures.
    pub assumptions: Vec<Assumption>,
    /// Selections of measured rows.
    pub measures: Vec<Measure>,
    /// Recorded runs by file name without extension.
    pub runs: BTreeMap<String, Run>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetFile {
    target: Vec<Target>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AssumptionFile {
    assumption: Vec<Assumption>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MeasureFile {
    #[serde(default)]
    measure: Vec<Measure>,
}

fn one() -> f64 {
    1.0
}

fn read_text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))
}

fn read_toml<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    toml::from_str(&read_text(path)?).map_err(|e| format!("{}: {e}", path.display()))
}

/// Rejects duplicate names: lookups would never see the second entry.
fn check_unique<'a>(what: &str, names: impl Iterator<Item = &'a str>) -> Result<(), String> {
    let mut seen = std::collections::BTreeSet::new();
    match names.into_iter().find(|name| !seen.insert(*name)) {
        Some(name) => Err(format!("{what} `{name}` is defined twice")),
        None => Ok(()),
    }
}

impl Run {
    fn read(path: &Path) -> Result<Run, String> {
        let json: Json =
            serde_json::from_str(&read_text(path)?).map_err(|e| format!("{}: {e}", path.display()))?;
        let field =
            |name: &str| json.get(name).and_then(Json::as_str).map(str::trim).filter(|t| !t.is_empty());
        let missing_error = |what: &str| format!("table `runs`: {} has no {what}", path.display());
        let rows = json.get("rows").and_then(Json::as_array).filter(|rows| !rows.is_empty());
        let seed = json.get("seed").filter(|seed| !seed.is_null());
        Ok(Run {
            command: field("command").ok_or_else(|| missing_error("command"))?.to_owned(),
            version: field("version").ok_or_else(|| missing_error("version"))?.to_owned(),
            seed: seed.map(|seed| seed.to_string().trim_matches('"').to_owned()).unwrap_or_default(),
            rows: rows.ok_or_else(|| missing_error("rows"))?.clone(),
        })
    }
}

impl Data {
    /// Reads `lab/capacity` below `root`.
    pub fn read(root: &Path) -> Result<Data, String> {
        let folder = root.join("lab/capacity");
        let targets = read_toml::<TargetFile>(&folder.join("targets.toml"))?.target;
        let assumptions = read_toml::<AssumptionFile>(&folder.join("assumptions.toml"))?.assumption;
        let measures = read_toml::<MeasureFile>(&folder.join("measures.toml"))?.measure;
        check_unique("target", targets.iter().map(|target| target.name.as_str()))?;
        check_unique("assumption", assumptions.iter().map(|assumption| assumption.name.as_str()))?;
        check_unique("measure", measures.iter().map(|measure| measure.name.as_str()))?;
        let mut runs = BTreeMap::new();
        let runs_folder = folder.join("runs");
        let entries = std::fs::read_dir(&runs_folder)
            .map_err(|e| format!("cannot read {}: {e}", runs_folder.display()))?;
        for entry in entries {
            let path = entry.map_err(|e| format!("cannot read {}: {e}", runs_folder.display()))?.path();
            let name = path.file_stem().and_then(|name| name.to_str()).unwrap_or_default().to_owned();
            if path.extension().is_some_and(|extension| extension == "json") {
                runs.insert(name, Run::read(&path)?);
            }
        }
        Ok(Data { targets, assumptions, measures, runs })
    }

    /// The target with this name; NaN if there is none, which [`Model`](super::model::Model) reports as an error.
    pub fn target(&self, name: &str) -> f64 {
        self.targets.iter().find(|target| target.name == name).map_or(f64::NAN, |target| target.value)
    }

    /// The assumption with this name, as [`Data::target`].
    pub fn assumption(&self, name: &str) -> f64 {
        self.assumptions.iter().find(|each| each.name == name).map_or(f64::NAN, |each| each.value)
    }

    /// A copy with a different value of one assumption.
    pub fn with(&self, name: &str, value: f64) -> Data {
        let mut data = self.clone();
        data.assumptions.iter_mut().filter(|each| each.name == name).for_each(|each| each.value = value);
        data
    }

    /// The rows that a measure selects; an error if there are none.
    pub fn rows(&self, measure: &Measure) -> Result<Vec<&Json>, String> {
        let Some(run) = self.runs.get(&measure.run) else {
            let (name, run) = (&measure.name, &measure.run);
            return Err(format!(
                "table `slopes`: measure `{name}` refers to the run `{run}`, which is missing"
            ));
        };
        let has_text =
            |row: &Json, field: &str, wanted: &str| row.get(field).and_then(Json::as_str) == Some(wanted);
        let matches = |row: &&Json| {
            has_text(row, "role", &measure.role)
                && has_text(row, "quantity", &measure.quantity)
                && measure.filter.iter().all(|(field, wanted)| equals(field_of(row, field), wanted))
                && measure.above.iter().all(|(field, least)| is_above(field_of(row, field), *least))
        };
        let rows: Vec<&Json> = run.rows.iter().filter(matches).collect();
        if rows.is_empty() {
            Err(format!("table `slopes`: no row of run `{}` matches measure `{}`", measure.run, measure.name))
        } else {
            Ok(rows)
        }
    }

    /// Fits the points of a measure. Without an axis all of them are at position 0.
    pub fn fit(&self, measure: &Measure) -> Result<Fit, String> {
        let rows = self.rows(measure)?;
        let position = |row: &Json| match &measure.along {
            Some(along) => field_of(row, along).and_then(number).map(|position| position / measure.divide),
            None => Some(0.0),
        };
        let point = |row: &&Json| Some((position(row)?, row.get("value").and_then(number)?));
        let points: Option<Vec<(f64, f64)>> = rows.iter().map(point).collect();
        let fit = points.as_deref().and_then(Fit::from_points);
        fit.ok_or_else(|| {
            format!(
                "table `slopes`: measure `{}`: a row has no number on the axis or as its value",
                measure.name
            )
        })
    }
}

/// A row's field; dots separate nested names (`setup.changes`).
pub fn field_of<'a>(row: &'a Json, field: &str) -> Option<&'a Json> {
    field.split('.').try_fold(row, |inside, name| inside.get(name))
}

fn number(value: &Json) -> Option<f64> {
    value.as_f64().filter(|value| value.is_finite())
}

fn is_above(value: Option<&Json>, least: f64) -> bool {
    value.and_then(number).is_some_and(|value| value > least)
}

fn equals(value: Option<&Json>, wanted: &toml::Value) -> bool {
    let Some(value) = value else { return false };
    match wanted {
        toml::Value::String(expected) => value.as_str() == Some(expected),
        toml::Value::Integer(count) => number(value) == Some(*count as f64),
        toml::Value::Float(count) => number(value) == Some(*count),
        toml::Value::Boolean(yes) => value.as_bool() == Some(*yes),
        _ => false,
    }
}
