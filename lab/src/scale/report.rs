//! Rows of figures: collected, printed as a table, and written atomically as JSON.

use super::{Fit, Plan, Setup};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::path::{Path, PathBuf};

/// One measured figure with the sizes of its run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Role of the measured processes.
    pub role: String,
    /// What was measured.
    pub quantity: String,
    /// Unit of the value.
    pub unit: String,
    /// The value.
    pub value: f64,
    /// Hollow schedulers of the run; in rows of hollow schedulers the number that ran.
    pub hollow: usize,
    /// Real schedulers of the run.
    pub real: usize,
    /// Workers on the list.
    pub workers: usize,
    /// Number of functions called.
    pub functions: usize,
    /// `hollow` for state machines in virtual time, `real` for figures of the operating system or a client.
    pub measured: String,
    /// How schedulers were set up.
    pub setup: String,
    /// Regions.
    pub regions: usize,
    /// Changes per second during the measurement.
    pub changes_per_second: f64,
    /// Faults per second during the measurement.
    pub faults_per_second: f64,
    /// Duration of the measurement.
    pub seconds: u64,
}

/// Rows of one part of a run.
pub struct Rows {
    template: Row,
    /// The rows added so far.
    pub rows: Vec<Row>,
}

impl Rows {
    /// Creates an empty collection for a part of this plan.
    pub fn new(plan: &Plan, measured: &str, setup: Setup) -> Rows {
        Rows {
            template: Row {
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

    /// The values that the next rows have in common.
    pub fn template(&mut self) -> &mut Row {
        &mut self.template
    }

    /// Adds a row.
    pub fn add(&mut self, role: &str, quantity: &str, unit: &str, value: f64) {
        let (role, quantity, unit) = (role.to_owned(), quantity.to_owned(), unit.to_owned());
        self.rows.push(Row { role, quantity, unit, value, ..self.template.clone() });
    }

    /// Adds median, 99th percentile and maximum of durations in seconds; adds nothing if there are none.
    pub fn add_seconds(&mut self, role: &str, quantity: &str, seconds: &mut [f64]) {
        seconds.sort_by(f64::total_cmp);
        for (name, part) in [("median", 0.5), ("p99", 0.99), ("last", 1.0)] {
            if let Some(value) = quantile(seconds, part) {
                self.add(role, &format!("{quantity}_{name}"), "s", value);
            }
        }
    }
}

/// The quantile of sorted values; `None` if there are none.
pub fn quantile(sorted: &[f64], part: f64) -> Option<f64> {
    let last_index = sorted.len().checked_sub(1)?;
    sorted.get(((sorted.len() as f64 * part).ceil() as usize).saturating_sub(1).min(last_index)).copied()
}

/// The mean and the maximum.
pub fn mean_and_max(values: impl IntoIterator<Item = f64>) -> (f64, f64) {
    let (mut sum, mut max, mut count) = (0.0, 0.0f64, 0.0f64);
    for value in values {
        (sum, max, count) = (sum + value, max.max(value), count + 1.0);
    }
    (sum / count.max(1.0), max)
}

/// Metadata of a run, written beside its rows.
pub struct RunInfo {
    /// The command line.
    pub command: String,
    /// The version under test, as given by the caller.
    pub version: String,
    /// The seed.
    pub seed: u64,
    /// The series, if one was run.
    pub series: Option<String>,
    /// The program of the real schedulers.
    pub program: String,
    /// Processors of the machine.
    pub cores: usize,
    /// Load average of the last minute, before and after the run.
    pub load: (f64, f64),
}

/// A file that is replaced atomically.
pub struct OutputFile {
    path: PathBuf,
    /// Temporary file beside it, renamed once complete.
    temporary: PathBuf,
    file: File,
}

impl OutputFile {
    /// Opens the temporary file, so that an unwritable target is detected before the run.
    pub fn new(path: &Path) -> Result<OutputFile, String> {
        let error = |why: &dyn std::fmt::Display| format!("cannot write {}: {why}", path.display());
        if path.is_dir() {
            return Err(error(&"it is a directory"));
        }
        let name = path.file_name().ok_or_else(|| error(&"it names no file"))?.to_string_lossy();
        let temporary = path.with_file_name(format!(".{name}.{}", std::process::id()));
        let file = File::create(&temporary).map_err(|e| error(&e))?;
        Ok(OutputFile { path: path.to_owned(), temporary, file })
    }

    /// Writes the report and moves it into place.
    pub fn write(mut self, info: &RunInfo, rows: &[Row], fits: &[Fit]) -> Result<(), String> {
        let mut head_fields = json!({"command": info.command, "version": info.version, "seed": info.seed,
            "program": info.program, "cores": info.cores,
            "load_before": info.load.0, "load_after": info.load.1});
        if let Some(series) = &info.series {
            head_fields["series"] = json!(series);
            head_fields["fits"] = json!(fits);
        }
        let head = serde_json::to_string(&head_fields).map_err(|e| e.to_string())?;
        // One row per line, so that two runs can be compared line by line.
        let lines: Result<Vec<String>, _> = rows.iter().map(serde_json::to_string).collect();
        let lines = lines.map_err(|e| e.to_string())?.join(",\n");
        let text = format!("{},\"rows\":[\n{lines}\n]}}\n", head.trim_end_matches('}'));
        // The closing bracket of the head is replaced by the one after the rows.
        debug_assert!(serde_json::from_str::<serde_json::Value>(&text).is_ok());
        let done = self.file.write_all(text.as_bytes()).and_then(|()| self.file.sync_all());
        let done = done.and_then(|()| std::fs::rename(&self.temporary, &self.path));
        done.map_err(|e| format!("cannot write {}: {e}", self.path.display()))
    }
}

impl Drop for OutputFile {
    fn drop(&mut self) {
        // After a successful write it no longer exists.
        let _ = std::fs::remove_file(&self.temporary);
    }
}

/// A table with one line for each row.
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
