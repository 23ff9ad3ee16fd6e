//! Rows of figures: collected, printed, and written as JSON, whole or not at all.

use super::{Fit, Plan, Setup};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::path::{Path, PathBuf};

/// One figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Of which processes.
    pub role: String,
    /// What was measured.
    pub quantity: String,
    /// In what.
    pub unit: String,
    /// How much.
    pub value: f64,
    /// Hollow schedulers of the run; in a row of theirs as many as were played.
    pub hollow: usize,
    /// Real schedulers of the run.
    pub real: usize,
    /// Workers on the list.
    pub workers: usize,
    /// Functions that were called.
    pub functions: usize,
    /// `hollow` for machines in virtual time, `real` for what the operating system or a client measured.
    pub measured: String,
    /// How schedulers were set up.
    pub setup: String,
    /// Regions.
    pub regions: usize,
    /// Changes a second while it was measured.
    pub changes_per_second: f64,
    /// Faults a second while it was measured.
    pub faults_per_second: f64,
    /// For how long it was measured.
    pub seconds: u64,
}

/// Rows of one part.
pub struct Rows {
    like: Row,
    /// Those there are.
    pub rows: Vec<Row>,
}

impl Rows {
    /// No rows yet, of a part that is played as the plan says.
    pub fn new(plan: &Plan, measured: &str, setup: Setup) -> Rows {
        Rows {
            like: Row {
                role: "scheduler".to_owned(),
                quantity: String::new(),
                unit: String::new(),
                value: 0.0,
                hollow: plan.hollow,
                real: plan.real,
                workers: plan.workers,
                functions: 0,
                measured: measured.to_owned(),
                setup: setup.name().to_owned(),
                regions: plan.regions,
                changes_per_second: 0.0,
                faults_per_second: 0.0,
                seconds: plan.seconds,
            },
            rows: vec![],
        }
    }

    /// What the next rows have in common.
    pub fn like(&mut self) -> &mut Row {
        &mut self.like
    }

    /// One more.
    pub fn add(&mut self, role: &str, quantity: &str, unit: &str, value: f64) {
        let (role, quantity, unit) = (role.to_owned(), quantity.to_owned(), unit.to_owned());
        self.rows.push(Row { role, quantity, unit, value, ..self.like.clone() });
    }

    /// Median, 99th percentile and last of the seconds until something had reached all; nothing where there are none.
    pub fn add_seconds(&mut self, role: &str, quantity: &str, seconds: &mut [f64]) {
        seconds.sort_by(f64::total_cmp);
        for (name, part) in [("median", 0.5), ("p99", 0.99), ("last", 1.0)] {
            if let Some(value) = quantile(seconds, part) {
                self.add(role, &format!("{quantity}_{name}"), "s", value);
            }
        }
    }
}

/// The value below which this part of all sorted ones lies.
pub fn quantile(sorted: &[f64], part: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get(((sorted.len() as f64 * part).ceil() as usize).saturating_sub(1).min(last)).copied()
}

/// The mean, and the most.
pub fn mean_and_most(values: impl IntoIterator<Item = f64>) -> (f64, f64) {
    let (mut sum, mut most, mut count) = (0.0, 0.0f64, 0.0f64);
    for value in values {
        (sum, most, count) = (sum + value, most.max(value), count + 1.0);
    }
    (sum / count.max(1.0), most)
}

/// What stands beside the rows.
pub struct About {
    /// What was called.
    pub command: String,
    /// Of what version, as was told.
    pub version: String,
    /// The seed.
    pub seed: u64,
    /// The series, if one was played.
    pub series: Option<String>,
    /// What real schedulers ran.
    pub program: String,
    /// Processors of the machine.
    pub cores: usize,
    /// Processes that wanted one on average over the last minute, before the run and after it.
    pub load: (f64, f64),
}

/// A file that is written whole, or not at all.
pub struct Target {
    path: PathBuf,
    /// Beside it, until all is written.
    draft: PathBuf,
    file: File,
}

impl Target {
    /// A target that can be written: its draft is there already.
    pub fn new(path: &Path) -> Result<Target, String> {
        let cannot = |why: &dyn std::fmt::Display| format!("cannot write {}: {why}", path.display());
        if path.is_dir() {
            return Err(cannot(&"it is a folder"));
        }
        let name = path.file_name().ok_or_else(|| cannot(&"it names no file"))?.to_string_lossy();
        let draft = path.with_file_name(format!(".{name}.{}", std::process::id()));
        let file = File::create(&draft).map_err(|e| cannot(&e))?;
        Ok(Target { path: path.to_owned(), draft, file })
    }

    /// Writes all, and puts it in place.
    pub fn write(mut self, about: &About, rows: &[Row], fits: &[Fit]) -> Result<(), String> {
        let mut whole = json!({"command": about.command, "version": about.version, "seed": about.seed,
            "program": about.program, "cores": about.cores,
            "load_before": about.load.0, "load_after": about.load.1});
        if let Some(series) = &about.series {
            whole["series"] = json!(series);
            whole["fits"] = json!(fits);
        }
        let head = serde_json::to_string(&whole).map_err(|e| e.to_string())?;
        // A row a line, so that two runs can be compared line by line.
        let lines: Result<Vec<String>, _> = rows.iter().map(serde_json::to_string).collect();
        let lines = lines.map_err(|e| e.to_string())?.join(",\n");
        let text = format!("{},\"rows\":[\n{lines}\n]}}\n", head.trim_end_matches('}'));
        // The head ends with one bracket of its own.
        debug_assert!(serde_json::from_str::<serde_json::Value>(&text).is_ok());
        let done = self.file.write_all(text.as_bytes()).and_then(|()| self.file.sync_all());
        let done = done.and_then(|()| std::fs::rename(&self.draft, &self.path));
        done.map_err(|e| format!("cannot write {}: {e}", self.path.display()))
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        // It is gone where all went well.
        let _ = std::fs::remove_file(&self.draft);
    }
}

/// All rows, one a line.
pub fn table(rows: &[(f64, Row)]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<7} {:<12} {:<10} {:<34} {:>14} {:<12} {:>6} {:>5} {:>7} {:>9} {:>7} {:>7}",
        "how",
        "setup",
        "role",
        "quantity",
        "value",
        "unit",
        "hollow",
        "real",
        "workers",
        "functions",
        "changes",
        "regions"
    );
    for (_, row) in rows {
        let _ = writeln!(
            out,
            "{:<7} {:<12} {:<10} {:<34} {:>14.4} {:<12} {:>6} {:>5} {:>7} {:>9} {:>7} {:>7}",
            row.measured,
            row.setup,
            row.role,
            row.quantity,
            row.value,
            row.unit,
            row.hollow,
            row.real,
            row.workers,
            row.functions,
            row.changes_per_second,
            row.regions
        );
    }
    out
}
